//! Finds out which hosts have failed: each is probed in turn, directly and then through others.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use local_sync::oneshot;
use monoio::net::udp::UdpSocket;

use crate::{member, node, peer, wire};

/// The time between two probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// How long an answer to a probe may take before others are asked to probe too.
const ACK_TIMEOUT: Duration = Duration::from_millis(200);

/// How long the answers to their probes may take in all.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);

/// Hosts that are asked to probe a host that gave no answer.
const RELAYS: usize = 3;

/// The time between two tries to reach a host that is dead or never answered.
const REVIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The mean time between two full exchanges with a host drawn at random.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(60);

/// The least time between two exchanges for want of knowing a host.
const UNKNOWN_INTERVAL: Duration = Duration::from_secs(1);

/// How late a timer may be before this host takes itself for the one that stood still.
const MAX_LATE: Duration = Duration::from_millis(100);

/// Probes of this host that wait for an answer.
#[derive(Debug)]
pub struct Probes {
    waiting: RefCell<IndexMap<u32, oneshot::Sender<()>>>,
    exchanged: Cell<Option<Instant>>,
}

impl Default for Probes {
    fn default() -> Self {
        Probes { waiting: RefCell::default(), exchanged: Cell::new(None) }
    }
}

impl Probes {
    /// Takes in an answer; one that no probe waits for changes nothing.
    pub fn acknowledge(&self, number: u32) {
        let waiting = self.waiting.borrow_mut().swap_remove(&number);
        if let Some(sender) = waiting {
            // The probe may have ended a moment ago.
            let _ = sender.send(());
        }
    }

    /// Whether an exchange may be made now for want of knowing a host.
    pub fn may_exchange(&self) -> bool {
        if self.exchanged.get().is_some_and(|at| at.elapsed() < UNKNOWN_INTERVAL) {
            return false;
        }
        self.exchanged.set(Some(Instant::now()));
        true
    }

    fn expect(&self) -> (u32, oneshot::Receiver<()>) {
        let number = fastrand::u32(..);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        (number, receiver)
    }
}

/// Probes the hosts in turn until the process ends.
pub async fn probe_all(node: Rc<node::Node>, socket: Rc<UdpSocket>) {
    let mut round: Vec<member::Host> = Vec::new();
    loop {
        if round.is_empty() {
            round = node.members().others();
            fastrand::shuffle(&mut round);
        }
        if let Some(target) = round.pop() {
            monoio::spawn(probe(Rc::clone(&node), Rc::clone(&socket), target.id()));
        }
        let started = Instant::now();
        monoio::time::sleep(PROBE_INTERVAL).await;
        let late = started.elapsed().saturating_sub(PROBE_INTERVAL);
        node.members().expire(if late > MAX_LATE { late } else { Duration::ZERO });
    }
}

/// Probes one host, directly and then through others; suspects it when neither brings an answer.
async fn probe(node: Rc<node::Node>, socket: Rc<UdpSocket>, id: member::Id) {
    let Some((target, health)) = node.members().find(id) else { return };
    if health == member::Health::Dead {
        return;
    }
    let started = Instant::now();
    let (number, mut ack) = node.probes().expect();
    peer::send_membership(&node, &socket, wire::Purpose::Probe(number), &target).await;
    if monoio::time::timeout(ACK_TIMEOUT, &mut ack).await.is_ok() {
        return;
    }
    let mut relays = node.members().with_health(member::Health::Alive);
    relays.retain(|host| host.id() != id);
    fastrand::shuffle(&mut relays);
    for relay in relays.iter().take(RELAYS) {
        peer::send_membership(&node, &socket, wire::Purpose::ProbeRequest(number, id), relay).await;
    }
    let answered = monoio::time::timeout(RELAY_TIMEOUT, &mut ack).await.is_ok();
    node.probes().waiting.borrow_mut().swap_remove(&number);
    let is_late = started.elapsed() > ACK_TIMEOUT + RELAY_TIMEOUT + MAX_LATE;
    if !answered && !is_late {
        node.members().suspect(id, target.incarnation);
    }
}

/// Probes a host for another that got no answer from it.
pub async fn probe_on_behalf(
    node: Rc<node::Node>,
    socket: Rc<UdpSocket>,
    asker: member::Host,
    target: member::Host,
    number: u32,
) {
    let (own_number, ack) = node.probes().expect();
    peer::send_membership(&node, &socket, wire::Purpose::Probe(own_number), &target).await;
    if monoio::time::timeout(RELAY_TIMEOUT, ack).await.is_ok() {
        peer::send_membership(&node, &socket, wire::Purpose::Ack(number), &asker).await;
    }
    node.probes().waiting.borrow_mut().swap_remove(&own_number);
}

/// Joins through the seeds, and goes on trying to reach hosts that are dead or never answered.
pub async fn join_and_reconnect(node: Rc<node::Node>, socket: Rc<UdpSocket>) {
    join(&node).await;
    loop {
        monoio::time::sleep(REVIVE_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        let dead = fastrand::choice(node.members().with_health(member::Health::Dead));
        if let Some(dead) = dead {
            let number = fastrand::u32(..);
            peer::send_membership(&node, &socket, wire::Purpose::Probe(number), &dead).await;
        }
        if let Some(seed) = fastrand::choice(unknown_seeds(&node)) {
            // A seed that gives no answer is tried again later.
            let _ = peer::exchange(&node, seed).await;
        }
    }
}

async fn join(node: &Rc<node::Node>) {
    for seed in unknown_seeds(node) {
        if peer::exchange(node, seed).await.is_ok() {
            return;
        }
    }
}

/// Exchanges views with a host drawn at random now and then, so that what gossip missed is made good.
pub async fn exchange_periodically(node: Rc<node::Node>) {
    loop {
        monoio::time::sleep(EXCHANGE_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        if let Some(target) = fastrand::choice(node.members().others()) {
            // The next one makes good a failed one.
            let _ = peer::exchange(&node, target.peer).await;
        }
    }
}

/// Addresses from the settings and the host list at which no known host stands.
fn unknown_seeds(node: &node::Node) -> Vec<std::net::SocketAddr> {
    let mut known: Vec<_> = node.members().others().iter().map(|host| host.peer).collect();
    known.extend(node.members().with_health(member::Health::Dead).iter().map(|host| host.peer));
    known.push(node.members().own().peer);
    let rows = node.rows();
    let mut seeds: Vec<_> =
        node.settings().seeds.iter().chain(&rows.hosts.entries).copied().collect();
    seeds.retain(|seed| !known.contains(seed));
    seeds.sort();
    seeds.dedup();
    fastrand::shuffle(&mut seeds);
    seeds
}
