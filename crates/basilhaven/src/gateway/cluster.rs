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
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::gateway::usage::message::Target;

pub mod advertised;
pub mod assignment;
pub mod datagram;
pub mod partition;
pub mod reach;

/// Number of hosts to which a host sends each of its heartbeats, along with those that it forwards,
/// in a small and in a large cluster.
const FANOUT: usize = 3;
const FANOUT_IN_LARGE_CLUSTER: usize = 2;

/// Datagrams to other data centres in a large cluster, as a share of those that a uniform choice
/// among all hosts would send there. The total number of datagrams stays the same.
const REMOTE_SHARE: f64 = 0.5;

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

/// The coordinator, and the host that would replace it.
const COORDINATOR_COUNT: usize = 2;

/// Number of hosts that watch the store, in a small and in a large cluster.
const WATCHER_COUNT: usize = 2;
const WATCHER_COUNT_IN_LARGE_CLUSTER: usize = 3;

/// Number of reserves for each watcher. Reserves watch the store when the watchers cannot reach it,
/// until all hosts know of that and have selected other watchers. If no reserve can reach the store
/// either, it is most likely down for every host.
const RESERVES_PER_WATCHER: usize = 3;

/// How long a host that failed to read the store is passed over as a watcher.
const STORE_FAILURE_TIME: Duration = Duration::from_secs(5);

/// How long after its last heartbeat a host counts among those that may be sending calls.
const MEMBER_RETENTION: Duration = Duration::from_secs(8);

/// [`MEMBER_RETENTION`] of a host that receives no heartbeats at all. It is more likely cut off from
/// the others than the only one left, and must not claim the common budgets for itself.
const ISOLATED_RETENTION: Duration = Duration::from_secs(30);

/// Uptime below which a host that knows no other live host assumes that it has not discovered the
/// others yet.
const DISCOVERY_TIME: Duration = Duration::from_millis(1500);

/// The most heartbeats in one datagram, which take 1,700 bytes at most.
const MAX_HEARTBEATS: usize = 48;

/// Uptime up to which a host is young: it says how many hosts it knows, and is sent the heartbeats
/// of all hosts by those that know more. All hosts may have been restarted at once, and one datagram
/// has only half of the heartbeats of a large cluster.
const YOUNG_TIME: Duration = Duration::from_secs(3);

/// Time without a new host after which a young host takes the hosts that it knows for all. It has
/// sent at least two heartbeats in that time.
const SETTLING_TIME: Duration = Duration::from_millis(150);

/// Number of hosts that a young host assumes until then, to determine its share of the common
/// budgets: more than any deployment has. With the number that it knows, the shares of hosts that
/// are restarted at once would add up to several times the whole.
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

/// State of a host; only ready hosts are advertised to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The host has started and cannot serve yet.
    Starting,
    /// The host serves calls.
    Ready,
    /// The host is shutting down.
    Leaving,
}

/// Heartbeat of one host, as hosts send and forward it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// IPv4 address of the host.
    address: [u8; 4],
    peer_port: u16,
    caller_port: u16,
    /// Hash of the data centre's name.
    data_centre: u16,
    /// Distinguishes incarnations of the host's process.
    incarnation: u16,
    sequence: u32,
    state: State,
    /// Whether the host can read the store.
    can_read_store: bool,
    /// Capacity of the host, in twentieths of a core.
    capacity: u8,
    /// The services that the host reaches; sent after the [frame](datagram::encode), which earlier
    /// builds ignore.
    #[serde(skip)]
    reach: reach::Reach,
    /// What the host says of the hosts that it knows; sent after the frame.
    #[serde(skip)]
    view: View,
    /// The time since the host itself sent this heartbeat, in milliseconds, as far as the hosts that
    /// have forwarded it know; sent after the frame. A host that has just started would otherwise
    /// take a host for live that has been dead for seconds, until it has been silent for as long
    /// again.
    #[serde(skip)]
    age_ms: u32,
}

/// What the sender of a datagram says of the hosts that it knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number of live hosts that the sender knows, including itself; 0 if it has not said so, as
    /// hosts of earlier builds.
    hosts: u16,
    /// Whether the sender has just started, and wants to be sent the heartbeats of more hosts.
    is_young: bool,
}

impl Heartbeat {
    /// Returns a rank that is the same on all hosts and does not follow the order of addresses.
    fn rank(&self) -> u64 {
        rapidhash::v3::rapidhash_v3(&self.address)
    }

    /// Returns a hash that distinguishes hosts, also those that share an address.
    fn key(&self) -> u64 {
        self.rank() ^ u64::from(self.peer_port)
    }

    /// Returns whether the host reaches no service.
    fn is_stranded(&self) -> bool {
        self.reach == reach::Reach::Nothing
    }

    /// Keeps what is known of the same process besides if this heartbeat was forwarded: hosts of an
    /// earlier build drop the reach, and the view is sent only by the host itself.
    fn keep_known(&mut self, known: &Heartbeat) {
        if self.incarnation != known.incarnation {
            return;
        }
        if self.reach == reach::Reach::Unknown {
            self.reach = known.reach;
        }
        if self.view == View::default() {
            self.view = known.view;
        }
    }

    /// Returns the address for other hosts.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddrV4::new(Ipv4Addr::from(self.address), self.peer_port).into()
    }

    /// Returns the address for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        SocketAddrV4::new(Ipv4Addr::from(self.address), self.caller_port).into()
    }
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

/// The hosts that watch the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Watchers {
    /// Whether this host is a watcher.
    pub is_watcher: bool,
    /// The other watchers.
    pub others: Vec<SocketAddr>,
    /// Whether this host is a reserve, which watches the store when no watcher can reach it.
    pub is_reserve: bool,
    /// The other reserves.
    pub reserves: Vec<SocketAddr>,
}

/// Returns a short hash of a name, which is the same on all hosts.
pub fn name_hash(name: &str) -> u16 {
    rapidhash::v3::rapidhash_v3(name.as_bytes()) as u16
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

    /// Sets whether this host can read the store.
    pub fn set_store_reachable(&self, can_read_store: bool, now: Instant) {
        self.store_failed_at.set((!can_read_store).then_some(now));
        self.own.set(Heartbeat { can_read_store, ..self.own.get() });
    }

    /// Returns the hosts that watch the store: the first by rank, so hosts that can read the store
    /// come first, then those of higher capacity.
    pub fn watchers(&self, now: Instant) -> Watchers {
        let own = self.own.get().peer_addr();
        let ranked: Vec<SocketAddr> = self.ranked(now).iter().map(Heartbeat::peer_addr).collect();
        let count = if ranked.len() > MAX_SMALL_CLUSTER {
            WATCHER_COUNT_IN_LARGE_CLUSTER
        } else {
            WATCHER_COUNT
        };
        let (first, rest) = ranked.split_at(count.min(ranked.len()));
        let second = &rest[..rest.len().min(count * RESERVES_PER_WATCHER)];
        let without_own = |hosts: &[SocketAddr]| {
            hosts.iter().copied().filter(|host| *host != own).collect::<Vec<SocketAddr>>()
        };
        Watchers {
            is_watcher: first.contains(&own),
            others: without_own(first),
            is_reserve: second.contains(&own),
            reserves: without_own(second),
        }
    }

    /// Merges heartbeats received from a host; returns whether they include a host or an
    /// incarnation that was not known.
    pub fn merge(&self, from: SocketAddr, heartbeats: &[Heartbeat], now: Instant) -> bool {
        let own = self.own.get().peer_addr();
        let dead_after = self.dead_after();
        let mut peers = self.peers.borrow_mut();
        let mut has_new = false;
        for &heartbeat in heartbeats.iter().filter(|heartbeat| heartbeat.peer_addr() != own) {
            let is_direct = heartbeat.peer_addr() == from;
            let is_newer = match peers.get(&heartbeat.peer_addr()) {
                None => true,
                Some(known) if known.heartbeat.incarnation == heartbeat.incarnation => {
                    heartbeat.sequence > known.heartbeat.sequence
                }
                // A new incarnation counts only if the host itself sent it, or the known one is
                // dead.
                Some(known) => {
                    is_direct || now.saturating_duration_since(known.received_at) > dead_after
                }
            };
            if is_newer {
                let mut heartbeat = heartbeat;
                let age = Duration::from_millis(heartbeat.age_ms.into());
                let sent_at = now.checked_sub(age).unwrap_or(now);
                let mut received_at = now;
                match peers.get(&heartbeat.peer_addr()) {
                    Some(known) => heartbeat.keep_known(&known.heartbeat),
                    // A known host has been heard of with its earlier heartbeats.
                    None => received_at = sent_at,
                }
                let peer = Peer { heartbeat, received_at, sent_at };
                let known = peers.insert(heartbeat.peer_addr(), peer);
                let is_known =
                    known.is_some_and(|known| known.heartbeat.incarnation == heartbeat.incarnation);
                let has_same_state = known.is_some_and(|known| {
                    known.heartbeat.state == heartbeat.state
                        && known.heartbeat.reach == heartbeat.reach
                });
                if !is_known {
                    has_new = true;
                    self.last_met.set(now);
                }
                if !is_known || !has_same_state {
                    self.advertised.borrow_mut().invalidate();
                }
            }
        }
        has_new
    }

    /// Merges the heartbeats of a datagram as [`merge`](Members::merge) does, and returns whether
    /// they include a new host, and the heartbeats to respond with, one item a datagram.
    ///
    /// A young host that knows fewer hosts than this one gets the heartbeats of all. So hosts that
    /// were all restarted at once know each other within a few heartbeats, and the responses end
    /// once they do. A host that is new, or starting and looking for a host that is ready, gets one
    /// datagram.
    pub fn exchange(
        &self,
        from: SocketAddr,
        heartbeats: &[Heartbeat],
        now: Instant,
    ) -> (bool, Vec<Vec<Heartbeat>>) {
        let Some(sender) = heartbeats.first() else { return (false, Vec::new()) };
        let is_new_sender = {
            let peers = self.peers.borrow();
            let known = peers.get(&sender.peer_addr()).map(|peer| peer.heartbeat.incarnation);
            known != Some(sender.incarnation)
        };
        let has_new = self.merge(from, heartbeats, now);
        let view = sender.view;
        let is_waiting = sender.state == State::Starting && self.state() == State::Ready;
        // Hosts of earlier builds do not say what they know.
        let may_lack = is_new_sender || has_new && view == View::default();
        let responses = if view.is_young && usize::from(view.hosts) < self.live_count(now) {
            self.all_heartbeats(now)
        } else if may_lack || is_waiting {
            self.all_heartbeats(now).into_iter().take(1).collect()
        } else {
            Vec::new()
        };
        (has_new, responses)
    }

    /// Returns the heartbeats of all live hosts, one item a datagram. Each has this host's first,
    /// so that it counts as received from this host.
    fn all_heartbeats(&self, now: Instant) -> Vec<Vec<Heartbeat>> {
        // A response to a response is not wanted.
        let view = View { is_young: false, ..self.view(now) };
        let own = Heartbeat { view, ..self.own.get() };
        let others = self.live(now).split_off(1);
        match others.is_empty() {
            true => vec![vec![own]],
            false => {
                let parts = others.chunks(MAX_HEARTBEATS - 1);
                parts.map(|part| std::iter::once(&own).chain(part).copied().collect()).collect()
            }
        }
    }

    /// Returns what this host says of the hosts that it knows.
    fn view(&self, now: Instant) -> View {
        let hosts = u16::try_from(self.live_count(now)).unwrap_or(u16::MAX);
        View { hosts, is_young: self.is_young(now) }
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

    /// Returns the coordinator, which is the first of the hosts that watch the store unless it is
    /// stranded, or `None` if this host is the coordinator.
    pub fn remote_coordinator(&self, now: Instant) -> Option<SocketAddr> {
        let own = self.own.get().peer_addr();
        let ranked = self.ranked(now);
        let first = ranked.iter().find(|heartbeat| !heartbeat.is_stranded()).or(ranked.first());
        first.map(Heartbeat::peer_addr).filter(|coordinator| *coordinator != own)
    }

    /// Returns the coordinator and the host that would replace it, without this host.
    pub fn remote_coordinators(&self, now: Instant) -> Vec<Target> {
        let own = self.own.get().peer_addr();
        let ranked = self.ranked(now);
        let (stranded, others): (Vec<Heartbeat>, Vec<Heartbeat>) =
            ranked.into_iter().partition(Heartbeat::is_stranded);
        let first = others.iter().chain(&stranded).take(COORDINATOR_COUNT);
        let targets =
            first.map(|host| Target { host: host.peer_addr(), incarnation: host.incarnation });
        targets.filter(|target| target.host != own).collect()
    }

    /// Returns the live hosts that are not shutting down: those that can read the store first, then
    /// by descending capacity.
    fn ranked(&self, now: Instant) -> Vec<Heartbeat> {
        let mut live = self.live(now);
        live.retain(|heartbeat| heartbeat.state != State::Leaving);
        live.sort_by_key(|p| (!p.can_read_store, u8::MAX - p.capacity, p.rank(), p.peer_addr()));
        live
    }

    /// Returns the addresses of all other live hosts.
    fn live_peers(&self, now: Instant) -> Vec<SocketAddr> {
        self.live(now)[1..].iter().map(Heartbeat::peer_addr).collect()
    }

    /// Increments this host's sequence number; returns the heartbeats to send, and their targets.
    pub fn next_heartbeat(&self, now: Instant) -> (Vec<Heartbeat>, Vec<SocketAddr>) {
        let own = self.own.get();
        let failed_at = self.store_failed_at.get();
        let has_failed_recently = failed_at
            .is_some_and(|since| now.saturating_duration_since(since) < STORE_FAILURE_TIME);
        self.own.set(Heartbeat {
            sequence: own.sequence + 1,
            can_read_store: !has_failed_recently,
            view: self.view(now),
            ..own
        });
        let mut heartbeats = self.live(now);
        let mut targets = match self.is_large_cluster() {
            true => mostly_local_targets(&own, &heartbeats[1..]),
            false => sample(heartbeats[1..].iter().collect(), FANOUT),
        };
        let undiscovered: Vec<SocketAddr> = {
            let seeds = self.seeds.borrow();
            let is_known =
                |address: &SocketAddr| heartbeats.iter().any(|p| p.peer_addr() == *address);
            seeds.iter().filter(|address| !is_known(address)).copied().collect()
        };
        if targets.is_empty() {
            targets = undiscovered;
        } else if let Some(seed) = fastrand::choice(&undiscovered) {
            targets.push(*seed);
        }
        heartbeats.truncate(MAX_HEARTBEATS);
        (heartbeats, targets)
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

/// Returns the targets of a heartbeat in a large cluster. Hosts of the same data centre are chosen
/// more often than uniformly, because datagrams between data centres are expensive.
fn mostly_local_targets(own: &Heartbeat, others: &[Heartbeat]) -> Vec<SocketAddr> {
    let (local, remote): (Vec<&Heartbeat>, Vec<&Heartbeat>) =
        others.iter().partition(|heartbeat| heartbeat.data_centre == own.data_centre);
    let remote_share = REMOTE_SHARE * remote.len() as f64 / others.len() as f64;
    let remote_count =
        (0..FANOUT_IN_LARGE_CLUSTER).filter(|_| fastrand::f64() < remote_share).count();
    let local_count = local.len().min(FANOUT_IN_LARGE_CLUSTER - remote_count);
    let mut targets = sample(local, local_count);
    targets.extend(sample(remote, FANOUT_IN_LARGE_CLUSTER - local_count));
    targets
}

/// Returns `count` hosts chosen at random.
fn sample(mut hosts: Vec<&Heartbeat>, count: usize) -> Vec<SocketAddr> {
    fastrand::shuffle(&mut hosts);
    hosts.into_iter().take(count).map(Heartbeat::peer_addr).collect()
}
