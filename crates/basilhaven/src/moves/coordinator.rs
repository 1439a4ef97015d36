//! The tasks that run moves: every host watches its own calls, and one host lets the share grow.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use monoio::net::udp::UdpSocket;

use super::{aggregate, evidence, halt, schedule, Move, Moves, Phase};
use crate::wire;
use crate::{budget, call, commit, directory, lease, member, name, node, peer, split, upstream};

/// How often a host looks at its moves.
const TICK: Duration = Duration::from_millis(50);

/// The time between two judgements of the calls' times.
const JUDGE_INTERVAL: Duration = Duration::from_millis(250);

/// The time between two digests of one move.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// How often the steering host weighs the next step.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// How long the lease lasts that the steering host holds.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Hosts that get the evidence; one of them steers, and the others can take over.
const CANDIDATES: usize = 2;

/// How long a new brake is repeated often.
const URGENT: Duration = Duration::from_secs(1);

/// The time between two tellings of a new brake,
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// and of one that every host should know.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Peers that are told of a brake at a time, once all have been told.
const TOLD_PEERS: usize = 3;

/// Bytes of digests and repeated brakes in a second, of the budget for control.
const BYTES_PER_SECOND: f64 = 1_500.0;

/// What a host that may steer knows.
#[derive(Debug, Default)]
pub struct Coordinator {
    aggregates: RefCell<IndexMap<call::Id, aggregate::Aggregate>>,
    holds: RefCell<IndexMap<call::Id, schedule::Hold>>,
    is_active: Cell<bool>,
}

impl Coordinator {
    /// Takes in a digest; stops the move when the sum shows a bad version.
    pub fn apply(&self, node: &node::Node, digest: evidence::Digest) {
        let Some(split) = running(node, &digest.service).filter(|s| s.id() == digest.id) else {
            return;
        };
        let now = Instant::now();
        let verdict = {
            let mut aggregates = self.aggregates.borrow_mut();
            let aggregate =
                aggregates.entry(digest.id).or_insert_with(|| aggregate::Aggregate::new(now));
            aggregate.apply(&digest, now)
        };
        if let Some(reason) = verdict {
            stop(node, digest.service, &split, reason);
        }
    }

    /// What all hosts have seen of a move, as far as this one knows.
    pub fn evidence(&self, id: call::Id) -> Option<evidence::Evidence> {
        self.aggregates.borrow().get(&id).map(|aggregate| aggregate.total().clone())
    }

    /// Why a move stays at its stage; known on the steering host only.
    pub fn hold(&self, id: call::Id) -> Option<schedule::Hold> {
        self.holds.borrow().get(&id).cloned()
    }

    /// Whether this host steers.
    pub fn is_active(&self) -> bool {
        self.is_active.get()
    }

    /// Forgets moves that do not run.
    fn keep_running(&self, node: &node::Node) {
        let rows = node.rows();
        let runs =
            |id: &call::Id| rows.moves.0.values().any(|m| m.id == *id && m.phase == Phase::Running);
        self.aggregates.borrow_mut().retain(|id, _| runs(id));
        self.holds.borrow_mut().retain(|id, _| runs(id));
    }
}

fn running(node: &node::Node, service: &name::Name) -> Option<Rc<split::Split>> {
    let split = node.service(service.as_str())?.split()?;
    (split.state() == split::State::Running).then_some(split)
}

fn stop(node: &node::Node, service: name::Name, split: &split::Split, reason: halt::Reason) {
    let host = node.settings().name.clone();
    node.halt_move(halt::Halt { service, id: split.id(), host, reason });
}

/// The hosts that may steer; all hosts that know the same members name the same ones.
pub fn candidates(node: &node::Node) -> Vec<member::Host> {
    let subject = name::Name::try_from("moves").expect("a constant name");
    let mut hosts = node.members().serving();
    hosts.sort_by_key(|host| std::cmp::Reverse(directory::weight(&subject, &host.name)));
    hosts.truncate(CANDIDATES);
    hosts
}

/// A brake that peers are told of.
#[derive(Debug)]
struct Telling {
    halt: Rc<halt::Halt>,
    since: Instant,
    due: Instant,
}

/// The state of the task that watches.
#[derive(Debug)]
struct Watcher {
    node: Rc<node::Node>,
    socket: Rc<UdpSocket>,
    budget: budget::Bucket,
    tellings: IndexMap<call::Id, Telling>,
    sequence: u64,
}

/// Judges this host's own calls, and tells peers, until the process ends.
pub async fn report(node: Rc<node::Node>, socket: Rc<UdpSocket>) {
    let budget = budget::Bucket::new(BYTES_PER_SECOND, 2.0 * BYTES_PER_SECOND);
    let mut watcher = Watcher { node, socket, budget, tellings: IndexMap::new(), sequence: 0 };
    let (mut judged, mut digested) = (Instant::now(), Instant::now());
    loop {
        monoio::time::sleep(TICK).await;
        let judges = judged.elapsed() >= JUDGE_INTERVAL;
        if judges {
            judged = Instant::now();
        }
        watcher.look(judges);
        watcher.tell().await;
        if digested.elapsed() >= DIGEST_INTERVAL {
            digested = Instant::now();
            watcher.digest().await;
        }
    }
}

impl Watcher {
    fn look(&mut self, judges: bool) {
        for service in self.node.services() {
            let Some(split) = service.split() else { continue };
            if judges {
                split.tick();
            }
            if let Some(reason) = split.take_verdict() {
                stop(&self.node, service.name().clone(), &split, reason);
            }
            let Some(halt) = self.node.halts().get(split.id()) else { continue };
            let now = Instant::now();
            let telling = Telling { halt, since: now, due: now };
            self.tellings.entry(split.id()).or_insert(telling);
        }
        let rows = self.node.rows();
        // Once the row says so itself, every host learns it with the row.
        self.tellings.retain(|id, _| {
            let current = rows.moves.0.values().find(|m| m.id == *id);
            current.is_some_and(|m| !matches!(m.phase, Phase::RolledBack(_)))
        });
    }

    /// Tells peers of brakes: all of them at first, when this host has found the fault, and a few at a
    /// time from then on.
    async fn tell(&mut self) {
        let now = Instant::now();
        let own = self.node.settings().name.clone();
        let mut frames = Vec::new();
        for telling in self.tellings.values_mut().filter(|telling| telling.due <= now) {
            let first = telling.due == telling.since && telling.halt.host == own;
            let urgent = now - telling.since < URGENT;
            telling.due = now + if urgent { URGENT_INTERVAL } else { IDLE_INTERVAL };
            frames.push((first, urgent, wire::Frame::Halt((*telling.halt).clone())));
        }
        for (first, urgent, frame) in frames {
            let mut peers = self.node.members().others();
            if !first {
                fastrand::shuffle(&mut peers);
                peers.truncate(TOLD_PEERS);
            }
            for host in peers {
                if urgent || self.affords(&frame) {
                    peer::send_frame(&self.node, &self.socket, &frame, host.peer).await;
                }
            }
        }
    }

    /// Sends what calls have shown to the hosts that may steer.
    async fn digest(&mut self) {
        let own = self.node.members().own();
        let candidates = candidates(&self.node);
        let mut services = self.node.services();
        // When not all can be sent, it is another's turn next time.
        fastrand::shuffle(&mut services);
        for service in services {
            let Some(split) = running(&self.node, service.name()) else { continue };
            self.sequence += 1;
            let digest = evidence::Digest {
                host: own.name.clone(),
                incarnation: own.incarnation,
                sequence: self.sequence,
                service: service.name().clone(),
                id: split.id(),
                in_flight: (split.monitor().take_in_flight(Instant::now()) * 100.0) as u32,
                evidence: split.monitor().evidence(),
            };
            for host in &candidates {
                if host.name == own.name {
                    self.node.coordinator().apply(&self.node, digest.clone());
                    continue;
                }
                let frame = wire::Frame::Evidence(digest.clone());
                if self.affords(&frame) {
                    peer::send_frame(&self.node, &self.socket, &frame, host.peer).await;
                }
            }
        }
    }

    fn affords(&self, frame: &wire::Frame) -> bool {
        let encoded = frame.encode(&self.node.settings().peer_key);
        encoded.is_ok_and(|bytes| self.budget.try_take(bytes.len() as f64))
    }
}

/// Steers all moves while this host holds the lease, until the process ends.
pub async fn run(node: Rc<node::Node>) {
    let own = node.members().own();
    let lease = lease::Lease::new(lease::Holder::from(&own), LEASE_DURATION);
    loop {
        monoio::time::sleep(STEP_INTERVAL).await;
        let coordinator = node.coordinator();
        coordinator.keep_running(&node);
        let may_steer = candidates(&node).iter().any(|host| host.name == own.name);
        let right = match (node.platform(), may_steer && needs_steering(&node)) {
            (Some(platform), true) => lease.acquire_or_renew(platform).await.map(Right::Lease),
            (Some(platform), false) => {
                lease.release(platform).await;
                None
            }
            (None, needed) => needed.then_some(Right::Alone),
        };
        let is_active = right.is_some();
        if is_active != coordinator.is_active.replace(is_active) {
            tracing::info!(event = "moves_steering", host = %own.name, steers = is_active);
        }
        if let Some(right) = right {
            step(&node, right).await;
        }
    }
}

/// By what right this host steers.
#[derive(Debug, Clone, Copy)]
enum Right {
    /// It holds the lease.
    Lease(lease::Token),
    /// There is no platform, and it knows no other host.
    Alone,
}

/// Whether a move runs, or is stopped and the row does not say so yet.
fn needs_steering(node: &node::Node) -> bool {
    let is_open = |m: &Move| match m.phase {
        Phase::Running => true,
        Phase::Done => node.halts().get(m.id).is_some(),
        Phase::RolledBack(_) => false,
    };
    node.rows().moves.0.values().any(is_open)
}

/// Writes the next step of every move that has one.
async fn step(node: &node::Node, right: Right) {
    let rows = node.rows();
    let mut moves = (*rows.moves).clone();
    let mut changed = Vec::new();
    for (service, current) in &mut moves.0 {
        let Some(next) = next_of(node, service, current) else { continue };
        *current = next;
        changed.push(service.clone());
    }
    if changed.is_empty() {
        return;
    }
    match write(node, right, rows.revisions.moves, &moves).await {
        Ok(revision) => {
            changed.iter().for_each(|service| log(service, &moves.0[service], revision))
        }
        Err(error) => tracing::warn!(event = "move_step_failed", %error),
    }
}

async fn write(
    node: &node::Node,
    right: Right,
    expect: u64,
    moves: &Moves,
) -> Result<u64, commit::Error> {
    match right {
        Right::Lease(token) => commit::commit_moves_under_lease(node, token, expect, moves).await,
        Right::Alone => commit::commit_moves(node, expect, moves).await,
    }
}

fn next_of(node: &node::Node, service: &name::Name, current: &Move) -> Option<Move> {
    if matches!(current.phase, Phase::RolledBack(_)) {
        return None;
    }
    if let Some(halt) = node.halts().get(current.id) {
        let mut next = current.clone();
        next.roll_back(halt.reason.to_string());
        return Some(next);
    }
    if current.phase == Phase::Done {
        return None;
    }
    let now = Instant::now();
    let coordinator = node.coordinator();
    let mut aggregates = coordinator.aggregates.borrow_mut();
    let aggregate = aggregates.entry(current.id).or_insert_with(|| aggregate::Aggregate::new(now));
    aggregate.enter_stage(current.stage, now);
    let input = schedule::Input {
        total: aggregate.total(),
        stage: &aggregate.stage_evidence(),
        stage_elapsed: aggregate.stage_elapsed(now),
        remaining: current.deadline.saturating_sub(super::since_epoch()),
        slots: slots_of(node, service, &current.to),
        in_flight: aggregate.in_flight(now),
    };
    match schedule::decide(current, &input) {
        schedule::Decision::Advance(next) => {
            coordinator.holds.borrow_mut().shift_remove(&current.id);
            Some(next)
        }
        schedule::Decision::Hold(wait) => {
            let before = coordinator.holds.borrow_mut().insert(current.id, wait.clone());
            if before.is_none_or(|before| before != wait) && wait != schedule::Hold::Pace {
                tracing::info!(event = "move_held", %service, id = %current.id, reason = %wait);
            }
            None
        }
    }
}

/// The slots of a version's upstreams that get new work.
fn slots_of(node: &node::Node, service: &name::Name, version: &name::Name) -> u32 {
    let Some(service) = node.service(service.as_str()) else { return 0 };
    let open =
        |u: &&Rc<upstream::Upstream>| u.state() == upstream::State::Open && u.version() == *version;
    service.upstreams().iter().filter(open).map(|u| u.slots()).sum()
}

fn log(service: &name::Name, current: &Move, revision: u64) {
    let event = match current.phase {
        Phase::Running => "move_step",
        Phase::Done => "move_done",
        Phase::RolledBack(_) => "move_taken_back",
    };
    tracing::info!(
        event,
        %service,
        id = %current.id,
        from = %current.from,
        to = %current.to,
        stage = current.stage,
        share = current.share,
        once_share = current.once_share,
        phase = %current.phase,
        revision,
    );
}
