//! The hosts of the system, as each host sees them.
//!
//! Every host counts beats and passes on the highest count that it has heard of each other host. A
//! host is live while its count rises.
//!
//! Out of the live hosts each host draws the same [`advertised`], those that the directory names to callers; the
//! messages between hosts are sent and read in [`datagram`].

use std::cell::{Cell, Ref, RefCell};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

pub mod advertised;
pub mod datagram;

/// Hosts that a host sends its view to at each beat, among few hosts and among many.
const FANOUT: usize = 3;
const FANOUT_AMONG_MANY: usize = 2;

/// Among many hosts, the part of the datagrams to other data centres, of those that would go there if hosts
/// were drawn from all alike; every host still gets as many.
const FAR_SHARE: f64 = 0.5;

/// A host whose count has not risen for this long is taken for dead, among few hosts and among many:
/// with two hosts told at each beat, counts of one in ten thousand are as old.
const DEAD_AFTER: Duration = Duration::from_millis(1800);
const DEAD_AFTER_AMONG_MANY: Duration = Duration::from_millis(4500);

/// The most hosts that are few.
const FEW: usize = 24;

/// Hosts that watch the store, among few hosts and among many.
const WATCHERS: usize = 2;
const WATCHERS_AMONG_MANY: usize = 3;

/// Hosts for each watcher that take its place when it has lost the store, until the others have heard of
/// that; with all of them lost, the store is most likely down for everyone.
const RESERVES_PER_WATCHER: usize = 3;

/// How long a host that could not read the store is passed over as a watcher.
const BLIND_TIME: Duration = Duration::from_secs(5);

/// How long a host that was live counts among those that may send to cold upstreams.
const EXPECTED_MEMORY: Duration = Duration::from_secs(8);

/// How long after its start a host may take itself for alone.
const LONELY_TIME: Duration = Duration::from_millis(1500);

/// The most hosts that one datagram tells of; it stays below 1,400 bytes.
const MAX_PULSES: usize = 48;

/// What a host tells the store of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Where other hosts reach it.
    pub peer: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: Rc<str>,
}

/// Whether callers are sent to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It has started, and can't serve yet.
    Starting,
    /// It serves.
    Ready,
    /// It is stopping.
    Leaving,
}

/// What hosts tell each other of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    address: [u8; 4],
    peer_port: u16,
    caller_port: u16,
    data_centre: u16,
    /// Tells one run of its process from another.
    run: u16,
    beat: u32,
    state: State,
    /// Whether it can read the store.
    sees_store: bool,
    /// How much it can carry, compared with other hosts.
    capacity: u8,
}

impl Heartbeat {
    /// An order of hosts that is the same on all of them, and that of no list.
    fn rank(&self) -> u64 {
        rapidhash::v3::rapidhash_v3(&self.address)
    }

    /// Where other hosts reach it.
    pub fn peer(&self) -> SocketAddr {
        SocketAddrV4::new(Ipv4Addr::from(self.address), self.peer_port).into()
    }

    /// Where callers reach it.
    pub fn callers(&self) -> SocketAddr {
        SocketAddrV4::new(Ipv4Addr::from(self.address), self.caller_port).into()
    }
}

/// A host that was heard of.
#[derive(Debug, Clone, Copy)]
struct Heard {
    pulse: Heartbeat,
    at: Instant,
}

/// The hosts that one host knows.
#[derive(Debug)]
pub struct Members {
    own: Cell<Heartbeat>,
    started: Instant,
    heard: RefCell<IndexMap<SocketAddr, Heard>>,
    contacts: RefCell<IndexSet<SocketAddr>>,
    blind_since: Cell<Option<Instant>>,
    /// Slots of all upstreams.
    slots: Cell<usize>,
    homes: RefCell<advertised::Hosts>,
}

/// The hosts that watch the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Watchers {
    /// Whether this host is one of them.
    pub is_watcher: bool,
    /// The other ones.
    pub others: Vec<SocketAddr>,
    /// Whether this host watches the store when the watchers have lost it.
    pub is_reserve: bool,
    /// The other hosts that do.
    pub reserves: Vec<SocketAddr>,
}

/// A short form of a name, the same on all hosts.
fn digest(name: &str) -> u16 {
    rapidhash::v3::rapidhash_v3(name.as_bytes()) as u16
}

impl Members {
    /// A host that knows no other one yet; addresses that are not IPv4 are reached by no host.
    pub fn new(record: &Record, capacity: u8, now: Instant) -> Members {
        let address = match record.peer {
            SocketAddr::V4(address) => address.ip().octets(),
            SocketAddr::V6(_) => [0; 4],
        };
        let own = Heartbeat {
            address,
            peer_port: record.peer.port(),
            caller_port: record.callers.port(),
            data_centre: digest(&record.data_centre),
            run: fastrand::u16(..),
            beat: 0,
            state: State::Starting,
            sees_store: true,
            capacity,
        };
        Members {
            own: Cell::new(own),
            started: now,
            heard: RefCell::default(),
            contacts: RefCell::default(),
            blind_since: Cell::default(),
            slots: Cell::default(),
            homes: RefCell::default(),
        }
    }

    /// Adds an address at which a host may be.
    pub fn add_seed(&self, peer: SocketAddr) {
        if peer != self.own.get().peer() {
            self.contacts.borrow_mut().insert(peer);
        }
    }

    /// Whether callers are sent to this host.
    pub fn state(&self) -> State {
        self.own.get().state
    }

    /// Changes whether callers are sent to this host.
    pub fn set_state(&self, state: State) {
        self.own.set(Heartbeat { state, ..self.own.get() });
        self.homes.borrow_mut().invalidate();
    }

    /// Whether there are many hosts.
    fn are_many(&self) -> bool {
        self.heard.borrow().len() >= FEW
    }

    /// How long a host may be silent that is live.
    fn dead_after(&self) -> Duration {
        match self.are_many() {
            true => DEAD_AFTER_AMONG_MANY,
            false => DEAD_AFTER,
        }
    }

    /// Notes whether this host can read the store.
    pub fn set_store_reachable(&self, sees_store: bool, now: Instant) {
        self.blind_since.set((!sees_store).then_some(now));
        self.own.set(Heartbeat { sees_store, ..self.own.get() });
    }

    /// The hosts that watch the store: of those that can read it, the ones that can carry most.
    pub fn watchers(&self, now: Instant) -> Watchers {
        let own = self.own.get().peer();
        let ranked: Vec<SocketAddr> = self.ranked(now).iter().map(Heartbeat::peer).collect();
        let count = if ranked.len() > FEW { WATCHERS_AMONG_MANY } else { WATCHERS };
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

    /// Takes in what a host has told; returns whether it told of a host that was not known.
    pub fn merge(&self, from: SocketAddr, pulses: &[Heartbeat], now: Instant) -> bool {
        let own = self.own.get().peer();
        let dead_after = self.dead_after();
        let mut heard = self.heard.borrow_mut();
        let mut news = false;
        for &pulse in pulses.iter().filter(|pulse| pulse.peer() != own) {
            let is_direct = pulse.peer() == from;
            let is_newer = match heard.get(&pulse.peer()) {
                None => true,
                Some(known) if known.pulse.run == pulse.run => pulse.beat > known.pulse.beat,
                // Only the host itself, or the silence of its earlier run, ends that run.
                Some(known) => is_direct || now.saturating_duration_since(known.at) > dead_after,
            };
            if is_newer {
                let known = heard.insert(pulse.peer(), Heard { pulse, at: now });
                let is_known = known.is_some_and(|known| known.pulse.run == pulse.run);
                let same_state = known.is_some_and(|known| known.pulse.state == pulse.state);
                news |= !is_known;
                if !is_known || !same_state {
                    self.homes.borrow_mut().invalidate();
                }
            }
        }
        news
    }

    fn live_among<'a>(
        &self,
        heard: &'a IndexMap<SocketAddr, Heard>,
        now: Instant,
    ) -> impl Iterator<Item = &'a Heard> {
        let dead_after = self.dead_after();
        heard.values().filter(move |h| now.saturating_duration_since(h.at) <= dead_after)
    }

    /// The live hosts: this one, then those that were heard of last.
    fn live(&self, now: Instant) -> Vec<Heartbeat> {
        let heard = self.heard.borrow();
        let mut others: Vec<&Heard> = self.live_among(&heard, now).collect();
        others.sort_by_key(|h| std::cmp::Reverse(h.at));
        std::iter::once(self.own.get()).chain(others.iter().map(|h| h.pulse)).collect()
    }

    /// The other hosts that serve: those of this data centre, or else all.
    pub fn ready_peers(&self, now: Instant) -> Vec<SocketAddr> {
        let own = self.own.get().data_centre;
        let mut ready = self.live(now).split_off(1);
        ready.retain(|pulse| pulse.state == State::Ready);
        if ready.iter().any(|pulse| pulse.data_centre == own) {
            ready.retain(|pulse| pulse.data_centre == own);
        }
        ready.iter().map(Heartbeat::peer).collect()
    }

    /// Whether an address is known at which another host may be.
    pub fn has_seeds(&self) -> bool {
        !self.contacts.borrow().is_empty()
    }

    /// How many hosts are live, this one among them.
    pub fn live_count(&self, now: Instant) -> usize {
        self.live_among(&self.heard.borrow(), now).count() + 1
    }

    /// How long this host has been running.
    pub fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// The hosts that callers may be sent to, those of the caller's data centre first; `None` while this
    /// host may not know the others yet.
    pub fn advertised(&self, near: &str, now: Instant) -> Option<Vec<SocketAddr>> {
        if self.live_count(now) == 1 && self.uptime(now) < LONELY_TIME {
            return None;
        }
        Some(self.homes(now).near(digest(near)))
    }

    /// Notes how many slots all upstreams have together, which tells how many homes are needed.
    pub fn set_upstream_slots(&self, slots: usize) {
        self.slots.set(slots);
    }

    /// The hosts that callers are sent to now, drawn anew where that is due.
    fn homes(&self, now: Instant) -> Ref<'_, advertised::Hosts> {
        if self.homes.borrow().is_due(now) {
            let mut ready = self.live(now);
            ready.retain(|pulse| pulse.state == State::Ready);
            self.homes.borrow_mut().draw(ready, self.slots.get(), now);
        }
        self.homes.borrow()
    }

    /// This host's share of what all hosts may use together: homes get most, by how many hosts were homes of
    /// late.
    ///
    /// The shares of all hosts add up to one where these agree on who is live.
    pub fn budget_share(&self, now: Instant) -> f64 {
        let all = self.expected_count(now);
        match self.uptime(now) < advertised::YOUNG_TIME {
            true => 1.0 / all as f64,
            false => self.homes(now).share(self.own.get().peer(), all),
        }
    }

    /// How many homes there are now.
    pub fn advertised_count(&self, now: Instant) -> usize {
        self.homes(now).now().len()
    }

    /// How many hosts may be sending calls, this one among them.
    pub fn expected_count(&self, now: Instant) -> usize {
        let heard = self.heard.borrow();
        let recent =
            heard.values().filter(|h| now.saturating_duration_since(h.at) <= EXPECTED_MEMORY);
        let known = recent.count() + 1;
        let young = now.saturating_duration_since(self.started) < EXPECTED_MEMORY;
        match young {
            true => known.max(self.contacts.borrow().len() + 1),
            false => known,
        }
    }

    /// This host's point on the ring of upstreams; those of the homes are evenly spread, and those of the
    /// other live hosts.
    pub fn ring_point(&self, now: Instant) -> u64 {
        let own = self.own.get();
        let homes = self.homes(now);
        match homes.now().iter().any(|pulse| pulse.peer() == own.peer()) {
            true => point_among(homes.now(), &own),
            false => point_among(&self.live(now), &own),
        }
    }

    /// The host that steers what only one host may: the first of those that watch the store. `None`
    /// when that is this one.
    pub fn remote_coordinator(&self, now: Instant) -> Option<SocketAddr> {
        let own = self.own.get().peer();
        let first = self.ranked(now).first().map(Heartbeat::peer);
        first.filter(|leader| *leader != own)
    }

    /// The hosts that are not stopping: those that can read the store first, then those that can carry
    /// most.
    fn ranked(&self, now: Instant) -> Vec<Heartbeat> {
        let mut live = self.live(now);
        live.retain(|pulse| pulse.state != State::Leaving);
        live.sort_by_key(|p| (!p.sees_store, u8::MAX - p.capacity, p.rank(), p.peer()));
        live
    }

    /// All other live hosts.
    fn others(&self, now: Instant) -> Vec<SocketAddr> {
        self.live(now)[1..].iter().map(Heartbeat::peer).collect()
    }

    /// The pulses of the next beat, and to whom they go.
    pub fn next_heartbeat(&self, now: Instant) -> (Vec<Heartbeat>, Vec<SocketAddr>) {
        let own = self.own.get();
        let blind = self.blind_since.get();
        let is_blind = blind.is_some_and(|since| now.saturating_duration_since(since) < BLIND_TIME);
        self.own.set(Heartbeat { beat: own.beat + 1, sees_store: !is_blind, ..own });
        let mut pulses = self.live(now);
        let mut targets = match self.are_many() {
            true => near_targets(&own, &pulses[1..]),
            false => draw(pulses[1..].iter().collect(), FANOUT),
        };
        let silent: Vec<SocketAddr> = {
            let contacts = self.contacts.borrow();
            let is_known = |address: &SocketAddr| pulses.iter().any(|p| p.peer() == *address);
            contacts.iter().filter(|address| !is_known(address)).copied().collect()
        };
        if targets.is_empty() {
            targets = silent;
        } else if let Some(one) = fastrand::choice(&silent) {
            targets.push(*one);
        }
        pulses.truncate(MAX_PULSES);
        (pulses, targets)
    }

    /// Notes that this process stood still for some time, in which it could hear of no host.
    ///
    /// Without this it would take all others for dead when it wakes, and itself for the only one that shares
    /// what hosts may spend together.
    pub fn record_pause(&self, length: Duration) {
        self.heard.borrow_mut().values_mut().for_each(|heard| heard.at += length);
        self.homes.borrow_mut().note_standstill(length);
    }

    /// Removes hosts that have been silent for so long that nothing depends on them.
    fn forget(&self, now: Instant) {
        let mut heard = self.heard.borrow_mut();
        heard.retain(|_, h| now.saturating_duration_since(h.at) <= EXPECTED_MEMORY);
    }
}

/// The point of a host on a ring on which some hosts, this one among them, are evenly spread.
fn point_among(hosts: &[Heartbeat], own: &Heartbeat) -> u64 {
    let place = |pulse: &Heartbeat| (pulse.rank(), pulse.peer());
    let before = hosts.iter().filter(|other| place(other) < place(own)).count() as u64;
    before * (u64::MAX / hosts.len().max(1) as u64)
}

/// The hosts that a host among many sends its view to: more often of its own data centre than drawn from all
/// alike, since datagrams between data centres are dear.
fn near_targets(own: &Heartbeat, others: &[Heartbeat]) -> Vec<SocketAddr> {
    let (near, far): (Vec<&Heartbeat>, Vec<&Heartbeat>) =
        others.iter().partition(|pulse| pulse.data_centre == own.data_centre);
    let far_part = FAR_SHARE * far.len() as f64 / others.len() as f64;
    let far_count = (0..FANOUT_AMONG_MANY).filter(|_| fastrand::f64() < far_part).count();
    let near_count = near.len().min(FANOUT_AMONG_MANY - far_count);
    let mut targets = draw(near, near_count);
    targets.extend(draw(far, FANOUT_AMONG_MANY - near_count));
    targets
}

/// Some hosts, drawn at random.
fn draw(mut hosts: Vec<&Heartbeat>, count: usize) -> Vec<SocketAddr> {
    fastrand::shuffle(&mut hosts);
    hosts.into_iter().take(count).map(Heartbeat::peer).collect()
}
