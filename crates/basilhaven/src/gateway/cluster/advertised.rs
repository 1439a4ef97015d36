//! The hosts that callers are sent to, and how hosts share out what all may spend together.
//!
//! The load that this answers: a small service short of room. Few hosts know more of each upstream, and queue
//! its calls in one order.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::gateway::cluster;

/// Slots of upstreams for each home, a host that callers are sent to: few hosts know more of each upstream,
/// queue in one order and reuse what they open, and the loss of one is still the loss of a small part.
const SLOTS_PER_HOME: usize = 32;

/// The fewest homes, so that the loss of one leaves most.
const MIN_HOMES: usize = 3;

/// Hosts of a data centre with which its callers need no others.
const ENOUGH_NEAR: usize = 8;

/// The part of what hosts share out that all get alike, since callers keep old answers of the directory;
/// homes share the rest.
const COMMON_SHARE: f64 = 0.2;

/// How long the homes are not drawn anew while nothing is heard.
const HOMES_AGE: Duration = Duration::from_millis(100);

/// How long after its start a host takes an equal share: it may not know all homes yet.
pub(super) const YOUNG_TIME: Duration = Duration::from_secs(2);

/// How many hosts callers are sent to, where there are as many, when all upstreams together have `slots` slots.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::cluster::advertised;
///
/// assert_eq!(advertised::required_count(40), 3);
/// assert_eq!(advertised::required_count(3600), 113);
/// ```
pub fn required_count(slots: usize) -> usize {
    slots.div_ceil(SLOTS_PER_HOME).max(MIN_HOMES)
}

/// The homes that a host has drawn.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    /// When they were drawn; `None` when they have to be drawn anew.
    drawn: Option<Instant>,
    now: Vec<cluster::Heartbeat>,
    /// When each host that was a home of late was one last.
    recent: IndexMap<SocketAddr, Instant>,
}

impl Hosts {
    /// Has them drawn anew at the next use: a host has come, or its state has changed.
    pub(super) fn invalidate(&mut self) {
        self.drawn = None;
    }

    /// Whether they have to be drawn.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.drawn.is_none_or(|at| now.saturating_duration_since(at) >= HOMES_AGE)
    }

    /// The homes now.
    pub(super) fn now(&self) -> &[cluster::Heartbeat] {
        &self.now
    }

    /// Draws them from the hosts that serve, all hosts alike: as many of each data centre, those first that can
    /// carry most.
    pub(super) fn draw(&mut self, mut ready: Vec<cluster::Heartbeat>, slots: usize, now: Instant) {
        // Not in the order of those that watch the store: one loss is not to meet both.
        let place = |pulse: &cluster::Heartbeat| !pulse.rank();
        ready.sort_by_key(|p| (u8::MAX - p.capacity, place(p), p.peer()));
        let mut counts: IndexMap<u16, usize> = IndexMap::new();
        let mut ranked: Vec<(usize, cluster::Heartbeat)> = Vec::with_capacity(ready.len());
        for pulse in ready {
            let count = counts.entry(pulse.data_centre).or_default();
            ranked.push((*count, pulse));
            *count += 1;
        }
        ranked.sort_by_key(|(number, pulse)| (*number, place(pulse)));
        ranked.truncate(required_count(slots));
        self.drawn = Some(now);
        self.now = ranked.into_iter().map(|(_, pulse)| pulse).collect();
        self.recent.extend(self.now.iter().map(|pulse| (pulse.peer(), now)));
        self.recent.retain(|_, at| now.saturating_duration_since(*at) <= cluster::EXPECTED_MEMORY);
    }

    /// Where callers of a data centre are sent: to its homes first, and to no others if it has enough.
    pub(super) fn near(&self, data_centre: u16) -> Vec<SocketAddr> {
        let (near, far): (Vec<&cluster::Heartbeat>, Vec<&cluster::Heartbeat>) =
            self.now.iter().partition(|pulse| pulse.data_centre == data_centre);
        let far = if near.len() < ENOUGH_NEAR { far } else { Vec::new() };
        near.into_iter().chain(far).map(cluster::Heartbeat::callers).collect()
    }

    /// The share of one of `all` hosts.
    pub(super) fn share(&self, own: SocketAddr, all: usize) -> f64 {
        let common = COMMON_SHARE / all as f64;
        // Callers keep coming for a while to one that was a home.
        match self.recent.contains_key(&own) {
            true => common + (1.0 - COMMON_SHARE) / self.recent.len() as f64,
            false => common,
        }
    }

    /// Takes what is known as known that much later; see [`Members`](cluster::Members::record_pause).
    pub(super) fn note_standstill(&mut self, length: Duration) {
        self.recent.values_mut().for_each(|at| *at += length);
        self.invalidate();
    }
}
