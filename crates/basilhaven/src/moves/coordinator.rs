//! The tasks that carry out moves of a service's traffic to a new version.
//!
//! Every host counts its own calls to both versions, with errors and slow calls by route (the
//! evidence), and sends these counts to a few hosts in digests. A host that finds the new version
//! worse than the old one broadcasts a halt: no host sends calls to the new version any more. One
//! host, the coordinator, writes the steps of all moves to the platform's table.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use monoio::net::udp::UdpSocket;

use super::{aggregate, evidence, halt, schedule, Move, Moves, Phase};
use crate::wire;
use crate::{budget, call, commit, directory, lease, member, name, node, peer, split, upstream};

/// Interval at which a host checks the running moves for new halts.
const HALT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a host compares the latencies of its calls to the two versions.
const LATENCY_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two digests that a host sends about one move.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the coordinator decides on the next step of each move.
const STEP_INTERVAL: Duration = Duration::from_millis(250);

/// Duration of the lease in the platform's table that makes a host the coordinator.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Number of hosts that receive the evidence of all hosts: one of them is the coordinator, and the
/// others can take over.
const CANDIDATE_COUNT: usize = 2;

/// How long a new halt is broadcast at [`URGENT_INTERVAL`], without regard to the budget.
const URGENT_PERIOD: Duration = Duration::from_secs(1);

/// Interval between two broadcasts of a new halt.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two broadcasts of a halt that every host should know by now.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of peers, chosen at random, to which each repetition of a halt is sent.
const FANOUT: usize = 3;

/// Rate limit of one host's digests and of its halts after [`URGENT_PERIOD`]; part of the budget
/// for control traffic.
const BYTES_PER_SECOND: f64 = 1_500.0;

/// State of a host that may coordinate moves.
#[derive(Debug, Default)]
pub struct Coordinator {
    aggregates: RefCell<IndexMap<call::Id, aggregate::Aggregate>>,
    holds: RefCell<IndexMap<call::Id, schedule::Hold>>,
    is_active: Cell<bool>,
}

impl Coordinator {
    /// Adds the evidence of a digest to that of its move, and halts the move if the evidence of all
    /// hosts together shows that the new version is worse than the old one.
    pub fn apply(&self, node: &node::Node, digest: evidence::Digest) {
        let Some(split) = running_split(node, &digest.service).filter(|s| s.id() == digest.id)
        else {
            return;
        };
        let now = Instant::now();
        let reason = {
            let mut aggregates = self.aggregates.borrow_mut();
            let aggregate =
                aggregates.entry(digest.id).or_insert_with(|| aggregate::Aggregate::new(now));
            aggregate.apply(&digest, now)
        };
        if let Some(reason) = reason {
            halt_move(node, digest.service, &split, reason);
        }
    }

    /// Returns the evidence of all hosts on a move, as far as this host has received it.
    pub fn evidence(&self, id: call::Id) -> Option<evidence::Evidence> {
        self.aggregates.borrow().get(&id).map(|aggregate| aggregate.evidence().clone())
    }

    /// Returns the reason why a move stays at its current stage; `None` on all hosts but the
    /// coordinator.
    pub fn hold(&self, id: call::Id) -> Option<schedule::Hold> {
        self.holds.borrow().get(&id).cloned()
    }

    /// Returns whether this host is the coordinator.
    pub fn is_active(&self) -> bool {
        self.is_active.get()
    }

    /// Drops the state of moves that are not running.
    fn retain_running(&self, node: &node::Node) {
        let rows = node.rows();
        let is_running =
            |id: &call::Id| rows.moves.0.values().any(|m| m.id == *id && m.phase == Phase::Running);
        self.aggregates.borrow_mut().retain(|id, _| is_running(id));
        self.holds.borrow_mut().retain(|id, _| is_running(id));
    }
}

fn running_split(node: &node::Node, service: &name::Name) -> Option<Rc<split::Split>> {
    let split = node.service(service.as_str())?.split()?;
    (split.state() == split::State::Running).then_some(split)
}

fn halt_move(node: &node::Node, service: name::Name, split: &split::Split, reason: halt::Reason) {
    let host = node.settings().name.clone();
    node.halt_move(halt::Halt { service, id: split.id(), host, reason });
}

/// Returns the hosts that may become the coordinator. All hosts with the same view of the cluster's
/// members return the same candidates.
pub fn candidates(node: &node::Node) -> Vec<member::Host> {
    let subject = name::Name::try_from("moves").expect("a constant name");
    let mut hosts = node.members().serving();
    hosts.sort_by_key(|host| std::cmp::Reverse(directory::weight(&subject, &host.name)));
    hosts.truncate(CANDIDATE_COUNT);
    hosts
}

/// A halt that is being broadcast to peers.
#[derive(Debug)]
struct Broadcast {
    halt: Rc<halt::Halt>,
    since: Instant,
    due: Instant,
}

/// State of the task [`report`].
#[derive(Debug)]
struct Reporter {
    node: Rc<node::Node>,
    socket: Rc<UdpSocket>,
    budget: budget::Bucket,
    broadcasts: IndexMap<call::Id, Broadcast>,
    sequence: u64,
}

/// Evaluates this host's own calls and sends digests and halts to peers, until the process ends.
pub async fn report(node: Rc<node::Node>, socket: Rc<UdpSocket>) {
    let budget = budget::Bucket::new(BYTES_PER_SECOND, 2.0 * BYTES_PER_SECOND);
    let mut reporter = Reporter { node, socket, budget, broadcasts: IndexMap::new(), sequence: 0 };
    let (mut evaluated, mut reported) = (Instant::now(), Instant::now());
    loop {
        monoio::time::sleep(HALT_CHECK_INTERVAL).await;
        let evaluates_latencies = evaluated.elapsed() >= LATENCY_INTERVAL;
        if evaluates_latencies {
            evaluated = Instant::now();
        }
        reporter.check_halts(evaluates_latencies);
        reporter.broadcast_halts().await;
        if reported.elapsed() >= DIGEST_INTERVAL {
            reported = Instant::now();
            reporter.send_digests().await;
        }
    }
}

impl Reporter {
    fn check_halts(&mut self, evaluates_latencies: bool) {
        for service in self.node.services() {
            let Some(split) = service.split() else { continue };
            if evaluates_latencies {
                split.tick();
            }
            if let Some(reason) = split.take_verdict() {
                halt_move(&self.node, service.name().clone(), &split, reason);
            }
            let Some(halt) = self.node.halts().get(split.id()) else { continue };
            let now = Instant::now();
            let broadcast = Broadcast { halt, since: now, due: now };
            self.broadcasts.entry(split.id()).or_insert(broadcast);
        }
        let rows = self.node.rows();
        // Once the row of moves records the rollback, every host learns of the rollback with the
        // row.
        self.broadcasts.retain(|id, _| {
            let current = rows.moves.0.values().find(|m| m.id == *id);
            current.is_some_and(|m| !matches!(m.phase, Phase::RolledBack(_)))
        });
    }

    /// Broadcasts the halts that are due: to all peers the first time if this host halted the move,
    /// and otherwise to [`FANOUT`] random peers.
    async fn broadcast_halts(&mut self) {
        let now = Instant::now();
        let own = self.node.settings().name.clone();
        let mut frames = Vec::new();
        for broadcast in self.broadcasts.values_mut().filter(|broadcast| broadcast.due <= now) {
            let is_first = broadcast.due == broadcast.since && broadcast.halt.host == own;
            let is_urgent = now - broadcast.since < URGENT_PERIOD;
            broadcast.due = now + if is_urgent { URGENT_INTERVAL } else { IDLE_INTERVAL };
            frames.push((is_first, is_urgent, wire::Frame::Halt((*broadcast.halt).clone())));
        }
        for (is_first, is_urgent, frame) in frames {
            let mut peers = self.node.members().others();
            if !is_first {
                fastrand::shuffle(&mut peers);
                peers.truncate(FANOUT);
            }
            for host in peers {
                if is_urgent || self.try_spend(&frame) {
                    peer::send_frame(&self.node, &self.socket, &frame, host.peer).await;
                }
            }
        }
    }

    /// Sends the evidence of this host's calls to the hosts that may become the coordinator.
    async fn send_digests(&mut self) {
        let own = self.node.members().own();
        let candidates = candidates(&self.node);
        let mut services = self.node.services();
        // If the budget does not suffice for all services, a random order gives each of them a
        // chance.
        fastrand::shuffle(&mut services);
        for service in services {
            let Some(split) = running_split(&self.node, service.name()) else { continue };
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
                if self.try_spend(&frame) {
                    peer::send_frame(&self.node, &self.socket, &frame, host.peer).await;
                }
            }
        }
    }

    /// Takes the size of a frame from the budget and returns whether the budget sufficed.
    fn try_spend(&self, frame: &wire::Frame) -> bool {
        let encoded = frame.encode(&self.node.settings().peer_key);
        encoded.is_ok_and(|bytes| self.budget.try_take(bytes.len() as f64))
    }
}

/// Coordinates all moves while this host holds the lease, until the process ends.
pub async fn run(node: Rc<node::Node>) {
    let own = node.members().own();
    let lease = lease::Lease::new(lease::Holder::from(&own), LEASE_DURATION);
    loop {
        monoio::time::sleep(STEP_INTERVAL).await;
        let coordinator = node.coordinator();
        coordinator.retain_running(&node);
        let is_candidate = candidates(&node).iter().any(|host| host.name == own.name);
        let authority = match (node.platform(), is_candidate && needs_coordinator(&node)) {
            (Some(platform), true) => lease.acquire_or_renew(platform).await.map(Authority::Lease),
            (Some(platform), false) => {
                lease.release(platform).await;
                None
            }
            (None, needed) => needed.then_some(Authority::Alone),
        };
        let is_active = authority.is_some();
        if is_active != coordinator.is_active.replace(is_active) {
            tracing::info!(event = "moves_steering", host = %own.name, steers = is_active);
        }
        if let Some(authority) = authority {
            advance_all(&node, authority).await;
        }
    }
}

/// What entitles this host to write the steps of moves.
#[derive(Debug, Clone, Copy)]
enum Authority {
    /// The lease in the platform's table.
    Lease(lease::Token),
    /// No platform is configured. Writes then succeed only while this host knows no other host.
    Alone,
}

/// Returns whether any move is running, or is halted but not yet recorded as rolled back in the row
/// of moves.
fn needs_coordinator(node: &node::Node) -> bool {
    let is_open = |m: &Move| match m.phase {
        Phase::Running => true,
        Phase::Done => node.halts().get(m.id).is_some(),
        Phase::RolledBack(_) => false,
    };
    node.rows().moves.0.values().any(is_open)
}

/// Writes the next steps of all moves that are to change, in a single write.
async fn advance_all(node: &node::Node, authority: Authority) {
    let rows = node.rows();
    let mut moves = (*rows.moves).clone();
    let mut changed = Vec::new();
    for (service, current) in &mut moves.0 {
        let Some(next) = next_step(node, service, current) else { continue };
        *current = next;
        changed.push(service.clone());
    }
    if changed.is_empty() {
        return;
    }
    match write(node, authority, rows.revisions.moves, &moves).await {
        Ok(revision) => {
            changed.iter().for_each(|service| log_step(service, &moves.0[service], revision))
        }
        Err(error) => tracing::warn!(event = "move_step_failed", %error),
    }
}

async fn write(
    node: &node::Node,
    authority: Authority,
    expect: u64,
    moves: &Moves,
) -> Result<u64, commit::Error> {
    match authority {
        Authority::Lease(token) => commit::commit_as_coordinator(node, token, expect, moves).await,
        Authority::Alone => commit::commit_moves(node, expect, moves).await,
    }
}

/// Returns the new value of a move, or `None` if the move stays as it is.
fn next_step(node: &node::Node, service: &name::Name, current: &Move) -> Option<Move> {
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
        evidence: aggregate.evidence(),
        stage_evidence: &aggregate.stage_evidence(),
        stage_elapsed: aggregate.stage_elapsed(now),
        remaining: current.deadline.saturating_sub(super::since_epoch()),
        slots: open_slots(node, service, &current.to),
        in_flight: aggregate.in_flight(now),
    };
    match schedule::decide(current, &input) {
        schedule::Decision::Advance(next) => {
            coordinator.holds.borrow_mut().shift_remove(&current.id);
            Some(next)
        }
        schedule::Decision::Hold(hold) => {
            let before = coordinator.holds.borrow_mut().insert(current.id, hold.clone());
            if before.is_none_or(|before| before != hold) && hold != schedule::Hold::Pace {
                tracing::info!(event = "move_held", %service, id = %current.id, reason = %hold);
            }
            None
        }
    }
}

/// Returns the total slots of those upstreams of a version that are open to new calls.
fn open_slots(node: &node::Node, service: &name::Name, version: &name::Name) -> u32 {
    let Some(service) = node.service(service.as_str()) else { return 0 };
    let open =
        |u: &&Rc<upstream::Upstream>| u.state() == upstream::State::Open && u.version() == *version;
    service.upstreams().iter().filter(open).map(|u| u.slots()).sum()
}

fn log_step(service: &name::Name, current: &Move, revision: u64) {
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
