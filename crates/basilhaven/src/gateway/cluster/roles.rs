//! The hosts that have tasks for all: those that watch the store, and the coordinator.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Heartbeat, Members, State, MAX_SMALL_CLUSTER};

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
pub(super) const STORE_FAILURE_TIME: Duration = Duration::from_secs(5);

/// One run of a host's process; the next one knows nothing of what this one was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Process {
    /// The host's address for other hosts.
    pub host: SocketAddr,
    /// Distinguishes the runs.
    pub incarnation: u16,
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

impl Members {
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

    /// Returns the coordinator, or `None` if this host is the coordinator.
    pub fn remote_coordinator(&self, now: Instant) -> Option<SocketAddr> {
        let own = self.own.get().peer_addr();
        let first = self.coordinators(now).first().map(Heartbeat::peer_addr);
        first.filter(|coordinator| *coordinator != own)
    }

    /// Returns the coordinator and the host that would replace it, without this host.
    pub fn remote_coordinators(&self, now: Instant) -> Vec<Process> {
        let own = self.own.get().peer_addr();
        let first = self.coordinators(now).into_iter().take(COORDINATOR_COUNT);
        let processes =
            first.map(|host| Process { host: host.peer_addr(), incarnation: host.incarnation });
        processes.filter(|process| process.host != own).collect()
    }

    /// Returns the hosts in the order in which they become coordinator: the first of those that
    /// watch the store, but stranded hosts last.
    fn coordinators(&self, now: Instant) -> Vec<Heartbeat> {
        let mut ranked = self.ranked(now);
        ranked.sort_by_key(Heartbeat::is_stranded);
        ranked
    }

    /// Returns the live hosts that are not shutting down: those that can read the store first, then
    /// by descending capacity.
    fn ranked(&self, now: Instant) -> Vec<Heartbeat> {
        let mut live = self.live(now);
        live.retain(|heartbeat| heartbeat.state != State::Leaving);
        live.sort_by_key(|p| (!p.can_read_store, u8::MAX - p.capacity, p.rank(), p.peer_addr()));
        live
    }
}
