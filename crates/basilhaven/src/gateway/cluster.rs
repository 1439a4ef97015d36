//! Membership: the hosts of the system as this host knows them.
//!
//! Each host increments the sequence number of its own heartbeat and forwards the newest heartbeat
//! that it has received of each other host. A host is live while its sequence number increases.
//!
//! From the live hosts every host selects the same [`advertised`] hosts, which the directory
//! returns to callers, and the same [`Watchers`], the few hosts that read changes from the store;
//! the other hosts receive the changes from them. The messages between hosts are sent and received
//! in [`datagram`].

use std::cell::{Cell, Ref, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

pub mod advertised;
pub mod assignment;
pub mod datagram;
mod gossip;
mod heartbeat;
pub mod partition;
pub mod reach;
mod roles;

pub use heartbeat::{name_hash, Heartbeat, State, View};
pub use roles::{Process, Watchers};

/// A host whose sequence number has not increased for this long counts as dead, in a small and in a
/// large cluster. With the fanout of two in a large cluster, about one in ten thousand sequence
/// numbers that are known of live hosts is that old.
const DEAD_AFTER: Duration = Duration::from_millis(1800);
const DEAD_AFTER_IN_LARGE_CLUSTER: Duration = Duration::from_millis(4500);

/// How long ago a host may have sent its last known heartbeat to be named to callers, who must not be
/// directed to it 6 s after its end. In a large cluster a heartbeat is forwarded for more than two
/// seconds until the last host has received it, so that the time since it was received tells less.
const MAX_ADVERTISED_SILENCE: Duration = Duration::from_secs(5);

/// Maximum number of hosts of a small cluster.
const MAX_SMALL_CLUSTER: usize = 24;

/// How long after its last heartbeat a host counts among those that may be sending calls.
const MEMBER_RETENTION: Duration = Duration::from_secs(8);

/// [`MEMBER_RETENTION`] of a host that receives no heartbeats at all. It is more likely cut off from
/// the others than the only one left, and must not claim the common budgets for itself.
const ISOLATED_RETENTION: Duration = Duration::from_secs(30);

/// Uptime below which a host that knows no other live host assumes that it has not discovered the
/// others yet.
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);

/// Uptime up to which a host is young: it says how many hosts it knows, and is sent the heartbeats
/// of all hosts by those that know more. All hosts may have been restarted at once, and one datagram
/// has only half of the heartbeats of a large cluster.
const YOUNG_TIME: Duration = Duration::from_secs(3);

/// Time without a new host after which a young host takes the hosts that it knows for all. It has
/// sent at least two heartbeats in that time.
const SETTLING_TIME: Duration = Duration::from_millis(150);

/// Number of hosts that a young host assumes until then if it knows of fewer, to determine its share
/// of the common budgets. With the number that it knows, the shares of hosts that are restarted at
/// once would add up to several times the whole.
const ASSUMED_COUNT: usize = 160;

/// The record by which a host registers in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Data centre of the host.
    pub data_centre: Rc<str>,
}

/// Another host that may take calls of this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Whether the host is in the data centre of this one.
    pub is_local: bool,
    /// Whether the host is advertised to callers. It then has most of the common budget of probes.
    pub is_advertised: bool,
}

/// The newest heartbeat of another host, and when it was received.
#[derive(Debug, Clone, Copy)]
struct Peer {
    heartbeat: Heartbeat,
    received_at: Instant,
    /// When the host itself sent the heartbeat, by its age.
    sent_at: Instant,
}

/// The hosts known to this host, and its own state.
#[derive(Debug)]
pub struct Members {
    /// The newest heartbeat of this host.
    own: Cell<Heartbeat>,
    started: Instant,
    peers: RefCell<IndexMap<SocketAddr, Peer>>,
    /// When a host was last met that was not known.
    last_met: Cell<Instant>,
    /// Addresses at which other hosts may run.
    seeds: RefCell<IndexSet<SocketAddr>>,
    store_failed_at: Cell<Option<Instant>>,
    /// Total slots of all upstreams.
    upstream_slots: Cell<usize>,
    advertised: RefCell<advertised::Hosts>,
}

impl Members {
    /// Creates the membership of a host that knows no other host yet. The host must have an IPv4
    /// address, since heartbeats carry no others.
    pub fn new(record: &Record, capacity: u8, now: Instant) -> Members {
        let address = match record.peer {
            SocketAddr::V4(address) => address.ip().octets(),
            SocketAddr::V6(_) => [0; 4],
        };
        let own = Heartbeat {
            address,
            peer_port: record.peer.port(),
            caller_port: record.callers.port(),
            data_centre: name_hash(&record.data_centre),
            incarnation: fastrand::u16(..),
            sequence: 0,
            state: State::Starting,
            can_read_store: true,
            capacity,
            reach: reach::Reach::All,
            view: View::default(),
            age_ms: 0,
        };
        Members {
            own: Cell::new(own),
            started: now,
            peers: RefCell::default(),
            last_met: Cell::new(now),
            seeds: RefCell::default(),
            store_failed_at: Cell::default(),
            upstream_slots: Cell::default(),
            advertised: RefCell::default(),
        }
    }

    /// Adds an address at which another host may run; heartbeats are sent there to discover it.
    pub fn add_seed(&self, peer: SocketAddr) {
        if peer != self.own.get().peer_addr() {
            self.seeds.borrow_mut().insert(peer);
        }
    }

    /// Returns the state of this host.
    pub fn state(&self) -> State {
        self.own.get().state
    }

    /// Sets the state of this host.
    pub fn set_state(&self, state: State) {
        self.own.set(Heartbeat { state, ..self.own.get() });
        self.advertised.borrow_mut().invalidate();
    }

    /// Returns the services that this host has announced to reach.
    pub fn reach(&self) -> reach::Reach {
        self.own.get().reach
    }

    /// Sets the services that this host announces to reach; returns whether they have changed.
    pub fn set_reach(&self, reach: reach::Reach) -> bool {
        let has_changed = self.reach() != reach;
        if has_changed {
            self.own.set(Heartbeat { reach, ..self.own.get() });
            self.advertised.borrow_mut().invalidate();
        }
        has_changed
    }

    /// Returns the other hosts that are ready and reach a service.
    pub fn hosts_reaching(&self, service: &str, now: Instant) -> Vec<Candidate> {
        let own = self.own.get();
        let advertised: Vec<SocketAddr> =
            self.advertised_hosts(now).current().iter().map(Heartbeat::peer_addr).collect();
        let peers = self.peers.borrow();
        let is_reaching = |h: &Heartbeat| h.state == State::Ready && h.reach.includes(service);
        let reaching = self.live_among(&peers, now).map(|p| p.heartbeat).filter(is_reaching);
        reaching
            .map(|heartbeat| Candidate {
                peer: heartbeat.peer_addr(),
                is_local: heartbeat.data_centre == own.data_centre,
                is_advertised: advertised.contains(&heartbeat.peer_addr()),
            })
            .collect()
    }

    /// Returns whether the cluster is large.
    fn is_large_cluster(&self) -> bool {
        self.peers.borrow().len() >= MAX_SMALL_CLUSTER
    }

    /// Returns for how long after its last heartbeat a host counts as live.
    fn dead_after(&self) -> Duration {
        match self.is_large_cluster() {
            true => DEAD_AFTER_IN_LARGE_CLUSTER,
            false => DEAD_AFTER,
        }
    }

    /// Returns whether this host has just started and may not know all others yet.
    pub fn is_young(&self, now: Instant) -> bool {
        self.uptime(now) < YOUNG_TIME
    }

    /// Returns whether this host has just started and goes on to meet other hosts.
    fn is_settling(&self, now: Instant) -> bool {
        let since_met = now.saturating_duration_since(self.last_met.get());
        self.has_seeds() && self.is_young(now) && since_met < SETTLING_TIME
    }

    /// Returns the live hosts among `peers`.
    fn live_among<'a>(
        &self,
        peers: &'a IndexMap<SocketAddr, Peer>,
        now: Instant,
    ) -> impl Iterator<Item = &'a Peer> {
        let dead_after = self.dead_after();
        peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.received_at) <= dead_after)
    }

    /// Returns the heartbeats of the live hosts: this one, then the others, most recent first.
    fn live(&self, now: Instant) -> Vec<Heartbeat> {
        let peers = self.peers.borrow();
        let mut others: Vec<&Peer> = self.live_among(&peers, now).collect();
        others.sort_by_key(|peer| std::cmp::Reverse(peer.received_at));
        let with_age = |peer: &&Peer| {
            let age = now.saturating_duration_since(peer.sent_at).as_millis();
            Heartbeat { age_ms: u32::try_from(age).unwrap_or(u32::MAX), ..peer.heartbeat }
        };
        std::iter::once(self.own.get()).chain(others.iter().map(with_age)).collect()
    }

    /// Returns the other hosts that are ready: those of this data centre or, if it has none, those
    /// of all data centres.
    pub fn ready_peers(&self, now: Instant) -> Vec<SocketAddr> {
        let own = self.own.get().data_centre;
        let mut ready = self.live(now).split_off(1);
        ready.retain(|heartbeat| heartbeat.state == State::Ready);
        if ready.iter().any(|heartbeat| heartbeat.data_centre == own) {
            ready.retain(|heartbeat| heartbeat.data_centre == own);
        }
        ready.iter().map(Heartbeat::peer_addr).collect()
    }

    /// Returns whether an address at which another host may run is known.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.borrow().is_empty()
    }

    /// Returns the number of live hosts, including this one.
    pub fn live_count(&self, now: Instant) -> usize {
        self.live_among(&self.peers.borrow(), now).count() + 1
    }

    /// Returns the time since the start of this host.
    pub fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Returns the advertised hosts, those of the caller's data centre first, or `None` while this
    /// host may not know the other hosts yet.
    pub fn advertised(&self, data_centre: &str, now: Instant) -> Option<Vec<SocketAddr>> {
        if self.live_count(now) == 1 && self.uptime(now) < DISCOVERY_TIME {
            return None;
        }
        let silent = self.silent_hosts(now);
        Some(self.advertised_hosts(now).for_data_centre(name_hash(data_centre), &silent))
    }

    /// Returns the callers' addresses of the hosts that have been silent for so long that callers
    /// are not directed to them, although they still count as live.
    fn silent_hosts(&self, now: Instant) -> IndexSet<SocketAddr> {
        let peers = self.peers.borrow();
        let is_silent =
            |peer: &&Peer| now.saturating_duration_since(peer.sent_at) > MAX_ADVERTISED_SILENCE;
        peers.values().filter(is_silent).map(|peer| peer.heartbeat.caller_addr()).collect()
    }

    /// Sets the total slots of all upstreams, which determine the number of advertised hosts.
    pub fn set_upstream_slots(&self, slots: usize) {
        self.upstream_slots.set(slots);
    }

    /// Returns the current advertised hosts, after selecting them again if they are stale.
    fn advertised_hosts(&self, now: Instant) -> Ref<'_, advertised::Hosts> {
        if self.advertised.borrow().is_stale(now) {
            let mut ready = self.live(now);
            ready.retain(|heartbeat| heartbeat.state == State::Ready);
            // A host that has just started selects some that no other one does, as it does not know
            // yet which of them are ready.
            let retention = match self.has_seeds() && self.is_young(now) {
                true => Duration::ZERO,
                false => self.retention(now),
            };
            self.advertised.borrow_mut().select(ready, self.upstream_slots.get(), retention, now);
        }
        self.advertised.borrow()
    }

    /// Returns this host's share of the budgets that all hosts have in common: the limits on
    /// retries and on calls to cold upstreams. Most of a budget is divided among the hosts
    /// that were advertised recently.
    ///
    /// The shares of all hosts add up to one if all hosts know the same live hosts.
    pub fn budget_share(&self, now: Instant) -> f64 {
        let all = self.expected_count(now);
        if self.is_settling(now) {
            return 1.0 / all.max(ASSUMED_COUNT) as f64;
        }
        let equal = 1.0 / all as f64;
        let share = || self.advertised_hosts(now).share(self.own.get().peer_addr(), all);
        match self.uptime(now) {
            uptime if uptime < advertised::STARTUP_TIME => equal,
            // Hosts that started a little later still take an equal share.
            uptime if uptime < YOUNG_TIME => share().min(equal),
            _ => share(),
        }
    }

    /// Returns this host's share of the limit on probes.
    ///
    /// That limit holds on average over a long time. So a host that has just started takes the share
    /// of the hosts that it knows, although all hosts together may exceed the whole for a second:
    /// without probes it could not place the calls that come back after all hosts were restarted.
    pub fn probe_share(&self, now: Instant) -> f64 {
        let all = self.expected_count(now);
        self.advertised_hosts(now).share(self.own.get().peer_addr(), all)
    }

    /// Returns the number of advertised hosts.
    pub fn advertised_count(&self, now: Instant) -> usize {
        self.advertised_hosts(now).current().len()
    }

    /// Returns the number of hosts that may be sending calls, including this one.
    pub fn expected_count(&self, now: Instant) -> usize {
        let retention = self.retention(now);
        let peers = self.peers.borrow();
        let recent = peers
            .values()
            .filter(|peer| now.saturating_duration_since(peer.received_at) <= retention);
        let (mut known, mut known_to_others) = (1, 0);
        for peer in recent {
            known += 1;
            known_to_others = known_to_others.max(usize::from(peer.heartbeat.view.hosts));
        }
        match self.uptime(now) < MEMBER_RETENTION {
            true => known.max(self.seeds.borrow().len() + 1).max(known_to_others),
            false => known,
        }
    }

    /// Returns the order in which this host uses upstreams: its assignment among the advertised
    /// hosts, or among all live hosts if it is not advertised.
    pub fn assignment(&self, now: Instant) -> assignment::Assignment {
        let own = self.own.get();
        let advertised = self.advertised_hosts(now);
        match advertised.current().iter().any(|heartbeat| heartbeat.peer_addr() == own.peer_addr())
        {
            true => assignment::Assignment::among(&own, advertised.current()),
            false => assignment::Assignment::among(&own, &self.live(now)),
        }
    }

    /// Returns this host's part of the upstreams whose calls come from one host each.
    pub fn partition(&self, now: Instant) -> partition::Partition {
        if self.live_count(now) == 1 {
            let others = self.seeds.borrow().len().max(self.expected_count(now) - 1);
            return partition::Partition::isolated(others);
        }
        let own = self.own.get();
        let advertised = self.advertised_hosts(now);
        let owners = advertised.reaching();
        match owners.iter().any(|heartbeat| heartbeat.peer_addr() == own.peer_addr()) {
            true => partition::Partition::new(rank_among(&owners, &own), owners.len()),
            false => partition::Partition::none(),
        }
    }

    /// Returns the addresses of all other live hosts.
    fn live_peers(&self, now: Instant) -> Vec<SocketAddr> {
        self.live(now)[1..].iter().map(Heartbeat::peer_addr).collect()
    }

    /// Records that this process was paused for some time, in which it could not receive
    /// heartbeats.
    ///
    /// Otherwise all other hosts would count as dead when the process resumes, and this host would
    /// claim the common budgets for itself.
    pub fn record_pause(&self, length: Duration) {
        for peer in self.peers.borrow_mut().values_mut() {
            peer.received_at += length;
            peer.sent_at += length;
        }
        self.advertised.borrow_mut().record_pause(length);
    }

    /// Removes hosts that have been silent for so long that nothing depends on them any more.
    fn remove_expired(&self, now: Instant) {
        let retention = self.retention(now);
        let mut peers = self.peers.borrow_mut();
        peers.retain(|_, peer| now.saturating_duration_since(peer.received_at) <= retention);
    }

    /// Returns for how long after its last heartbeat a host counts among those that may be sending
    /// calls.
    fn retention(&self, now: Instant) -> Duration {
        let peers = self.peers.borrow();
        let newest =
            peers.values().map(|peer| now.saturating_duration_since(peer.received_at)).min();
        match newest.is_some_and(|age| age > self.dead_after()) {
            true => ISOLATED_RETENTION,
            false => MEMBER_RETENTION,
        }
    }
}

/// Returns the position of a host among these hosts, in an order that is the same on all hosts.
fn rank_among(hosts: &[Heartbeat], own: &Heartbeat) -> usize {
    let key = |heartbeat: &Heartbeat| (heartbeat.rank(), heartbeat.peer_addr());
    hosts.iter().filter(|other| key(other) < key(own)).count()
}
