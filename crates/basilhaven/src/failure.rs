//! The failure detector: hosts are probed in random order, first directly and, if that fails,
//! through other hosts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use local_sync::oneshot;
use monoio::net::udp::UdpSocket;

use crate::{member, node, peer, wire};

/// The interval between probes of this host.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time to wait for the acknowledgement of a direct probe before indirect probes are requested.
const ACK_TIMEOUT: Duration = Duration::from_millis(200);

/// Time to wait for the acknowledgement of an indirect probe.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The number of hosts that are asked to probe a host that did not acknowledge a direct probe.
const INDIRECT_PROBES: usize = 3;

/// The mean interval between attempts to reach a dead host or a seed that belongs to no known host.
/// Seeds are the peer addresses in the settings and in the platform's list of hosts.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(1);

/// The mean interval between full exchanges with a random host.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(60);

/// The minimum time between full exchanges (see [`peer::exchange`]) that are triggered by frames
/// about unknown hosts or with a diverging membership digest.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// If a timer fires late by more than this, this host assumes that its own process was paused, and
/// does not take a missing acknowledgement for the failure of another host.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(100);

/// Probes that this host has sent and that await an acknowledgement, and the time of the last
/// triggered full exchange.
#[derive(Debug)]
pub struct Probes {
    // Completes the waiting probe, by the number of the probe.
    ack_senders: RefCell<IndexMap<u32, oneshot::Sender<()>>>,
    exchanged_at: Cell<Option<Instant>>,
}

impl Default for Probes {
    fn default() -> Self {
        Probes { ack_senders: RefCell::default(), exchanged_at: Cell::new(None) }
    }
}

impl Probes {
    /// Records an acknowledgement; one that no probe awaits is ignored.
    pub fn acknowledge(&self, number: u32) {
        let sender = self.ack_senders.borrow_mut().swap_remove(&number);
        if let Some(sender) = sender {
            // Sending fails if the probe has just timed out.
            let _ = sender.send(());
        }
    }

    /// Returns whether an unknown host or a diverging digest may trigger a full exchange now, and
    /// if so, counts one as started.
    pub fn may_exchange(&self) -> bool {
        if self.exchanged_at.get().is_some_and(|at| at.elapsed() < MIN_EXCHANGE_INTERVAL) {
            return false;
        }
        self.exchanged_at.set(Some(Instant::now()));
        true
    }

    fn register(&self) -> (u32, oneshot::Receiver<()>) {
        let number = fastrand::u32(..);
        let (sender, receiver) = oneshot::channel();
        self.ack_senders.borrow_mut().insert(number, sender);
        (number, receiver)
    }
}

/// Probes one host after another, in rounds of random order, until the process ends.
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
        let delay = started.elapsed().saturating_sub(PROBE_INTERVAL);
        node.members().expire(if delay > PAUSE_THRESHOLD { delay } else { Duration::ZERO });
    }
}

/// Probes one host, first directly and then through others, and marks it as suspect if neither is
/// acknowledged. A probe that took longer than its timeouts shows a pause of this process, not a
/// failure of the host.
async fn probe(node: Rc<node::Node>, socket: Rc<UdpSocket>, id: member::Id) {
    let Some((target, health)) = node.members().find(id) else { return };
    if health == member::Health::Dead {
        return;
    }
    let started = Instant::now();
    let (number, mut ack) = node.probes().register();
    peer::send_membership(&node, &socket, wire::Purpose::Probe(number), &target).await;
    if monoio::time::timeout(ACK_TIMEOUT, &mut ack).await.is_ok() {
        return;
    }
    let mut relays = node.members().with_health(member::Health::Alive);
    relays.retain(|host| host.id() != id);
    fastrand::shuffle(&mut relays);
    for relay in relays.iter().take(INDIRECT_PROBES) {
        peer::send_membership(&node, &socket, wire::Purpose::ProbeRequest(number, id), relay).await;
    }
    let is_acknowledged = monoio::time::timeout(INDIRECT_TIMEOUT, &mut ack).await.is_ok();
    node.probes().ack_senders.borrow_mut().swap_remove(&number);
    let was_paused = started.elapsed() > ACK_TIMEOUT + INDIRECT_TIMEOUT + PAUSE_THRESHOLD;
    if !is_acknowledged && !was_paused {
        node.members().suspect(id, target.incarnation);
    }
}

/// Probes a host on behalf of another host, and forwards the acknowledgement to it.
pub async fn probe_on_behalf(
    node: Rc<node::Node>,
    socket: Rc<UdpSocket>,
    requester: member::Host,
    target: member::Host,
    number: u32,
) {
    let (own_number, ack) = node.probes().register();
    peer::send_membership(&node, &socket, wire::Purpose::Probe(own_number), &target).await;
    if monoio::time::timeout(INDIRECT_TIMEOUT, ack).await.is_ok() {
        peer::send_membership(&node, &socket, wire::Purpose::Ack(number), &requester).await;
    }
    node.probes().ack_senders.borrow_mut().swap_remove(&own_number);
}

/// Joins through the seeds, then keeps trying to reach dead hosts and seeds that belong to no known
/// host, until the process ends.
pub async fn join_and_reconnect(node: Rc<node::Node>, socket: Rc<UdpSocket>) {
    join(&node).await;
    loop {
        monoio::time::sleep(RECONNECT_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        let dead = fastrand::choice(node.members().with_health(member::Health::Dead));
        if let Some(dead) = dead {
            let number = fastrand::u32(..);
            peer::send_membership(&node, &socket, wire::Purpose::Probe(number), &dead).await;
        }
        if let Some(seed) = fastrand::choice(unknown_seeds(&node)) {
            // A seed that does not respond is tried again later.
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

/// Starts a full exchange with a random host at intervals, to repair differences between membership
/// tables that gossip left, until the process ends.
pub async fn exchange_periodically(node: Rc<node::Node>) {
    loop {
        monoio::time::sleep(EXCHANGE_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        if let Some(target) = fastrand::choice(node.members().others()) {
            // A failed exchange is compensated by the next one.
            let _ = peer::exchange(&node, target.peer).await;
        }
    }
}

/// Returns those peer addresses from the settings and the platform's list of hosts that belong to
/// no host in the membership table, in random order.
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
