//! The hosts that the directory advertises to callers, and the shares of the hosts in common
//! budgets.
//!
//! The number of advertised hosts is kept low, because small services have little spare capacity:
//! when few hosts take the calls, each host knows more of every upstream, and calls wait in few
//! queues.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use crate::gateway::cluster;

/// Slots of upstreams per advertised host. With few hosts, each knows more of every upstream, calls
/// wait in few queues and connections are reused, while the failure of one host still affects only
/// a small part of the calls.
const SLOTS_PER_HOST: usize = 32;

/// Minimum number of advertised hosts, so that most are left when one fails.
const MIN_HOSTS: usize = 3;

/// Number of advertised hosts in a data centre at which its callers get no hosts of other data
/// centres.
const ENOUGH_LOCAL: usize = 8;

/// Minimum number of hosts that a directory response names, if there are that many: a caller that
/// cannot connect to one of them tries the others.
const MIN_NAMED: usize = 3;

/// Share of the common budgets that is divided equally among all hosts, because callers with an old
/// directory response still call hosts that are no longer advertised; the rest is divided among the
/// advertised hosts.
const EQUAL_SHARE: f64 = 0.2;

/// Longest time between two selections of the advertised hosts.
const MAX_AGE: Duration = Duration::from_millis(100);

/// Uptime up to which a host takes an equal share of the budgets, since it may not know all
/// advertised hosts yet.
pub(super) const STARTUP_TIME: Duration = Duration::from_secs(2);

/// Returns the number of hosts to advertise for upstreams that have `slots` slots in total; fewer
/// are advertised if fewer are ready.
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
    slots.div_ceil(SLOTS_PER_HOST).max(MIN_HOSTS)
}

/// The advertised hosts that this host has selected.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    /// When the current hosts were selected; `None` if they have to be selected again.
    selected_at: Option<Instant>,
    current: Vec<cluster::Heartbeat>,
    /// When each host that was advertised recently was last selected, and its capacity.
    recent: IndexMap<SocketAddr, (Instant, u8)>,
}

impl Hosts {
    /// Makes the next use select the hosts again, because a host was added or has changed its
    /// state.
    pub(super) fn invalidate(&mut self) {
        self.selected_at = None;
    }

    /// Returns whether the hosts have to be selected again.
    pub(super) fn is_stale(&self, now: Instant) -> bool {
        self.selected_at.is_none_or(|at| now.saturating_duration_since(at) >= MAX_AGE)
    }

    /// Returns the current advertised hosts.
    pub(super) fn current(&self) -> &[cluster::Heartbeat] {
        &self.current
    }

    /// Returns the current advertised hosts that are not stranded, or all if every one is.
    pub(super) fn reaching(&self) -> Vec<cluster::Heartbeat> {
        let is_reaching = |heartbeat: &&cluster::Heartbeat| !heartbeat.is_stranded();
        match self.current.iter().any(|heartbeat| !heartbeat.is_stranded()) {
            true => self.current.iter().filter(is_reaching).copied().collect(),
            false => self.current.clone(),
        }
    }

    /// Selects the advertised hosts from the ready ones, in the same way on all hosts: as evenly
    /// from the data centres as possible, hosts of higher capacity first. Stranded hosts only fill
    /// up to the minimum number of hosts. Hosts that were advertised within `retention` still share
    /// in the budgets.
    pub(super) fn select(
        &mut self,
        mut ready: Vec<cluster::Heartbeat>,
        slots: usize,
        retention: Duration,
        now: Instant,
    ) {
        // The inverse of the order of watchers, so that the failure of one host does not take away
        // both a watcher and an advertised host.
        let inverse_rank = |heartbeat: &cluster::Heartbeat| !heartbeat.rank();
        ready.sort_by_key(|p| {
            (p.is_stranded(), u8::MAX - p.capacity, inverse_rank(p), p.peer_addr())
        });
        let stranded: Vec<SocketAddr> = ready
            .iter()
            .filter(|heartbeat| heartbeat.is_stranded())
            .map(cluster::Heartbeat::peer_addr)
            .collect();
        let mut counts: IndexMap<u16, usize> = IndexMap::new();
        let mut ranked: Vec<(usize, cluster::Heartbeat)> = Vec::with_capacity(ready.len());
        for heartbeat in ready {
            let count = counts.entry(heartbeat.data_centre).or_default();
            ranked.push((*count, heartbeat));
            *count += 1;
        }
        ranked.sort_by_key(|(number, h)| (h.is_stranded(), *number, inverse_rank(h)));
        let reaching = ranked.iter().filter(|(_, heartbeat)| !heartbeat.is_stranded()).count();
        let count = required_count(slots);
        ranked.truncate(if reaching == 0 { count } else { count.min(reaching.max(MIN_HOSTS)) });
        self.selected_at = Some(now);
        self.current = ranked.into_iter().map(|(_, heartbeat)| heartbeat).collect();
        self.recent.retain(|host, _| !stranded.contains(host));
        self.recent.retain(|_, (at, _)| now.saturating_duration_since(*at) <= retention);
        // A host that knows no other selects itself, but the others may still be using their shares.
        if self.current.len() > 1 || self.recent.is_empty() {
            let reaching = self.reaching();
            self.recent.extend(reaching.iter().map(|h| (h.peer_addr(), (now, h.capacity))));
        }
    }

    /// Returns the hosts to advertise to callers of a data centre: the hosts of that data centre
    /// first, and no others if these are at least `ENOUGH_LOCAL`. Hosts that are `silent` are left
    /// out.
    pub(super) fn for_data_centre(
        &self,
        data_centre: u16,
        silent: &IndexSet<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let named = self.current.iter().filter(|host| !silent.contains(&host.caller_addr()));
        let (local, remote): (Vec<&cluster::Heartbeat>, Vec<&cluster::Heartbeat>) =
            named.partition(|heartbeat| heartbeat.data_centre == data_centre);
        let remote = if local.len() < ENOUGH_LOCAL { remote } else { Vec::new() };
        let named = by_capacity(local.into_iter().chain(remote).collect());
        named.into_iter().map(cluster::Heartbeat::caller_addr).collect()
    }

    /// Returns the share of the host `own`, one of `all` hosts, in the common budgets. Advertised
    /// hosts share by their capacity, as they are named to callers.
    pub(super) fn share(&self, own: SocketAddr, all: usize) -> f64 {
        let equal = EQUAL_SHARE / all as f64;
        // A host that was advertised recently still gets calls for a while.
        match self.recent.get(&own) {
            Some((_, capacity)) => {
                let total: u32 = self.recent.values().map(|(_, c)| u32::from(*c)).sum();
                equal + (1.0 - EQUAL_SHARE) * f64::from(*capacity) / f64::from(total.max(1))
            }
            None => equal,
        }
    }

    /// Shifts the times of selection by a pause of the process; see
    /// [`Members::record_pause`](cluster::Members::record_pause).
    pub(super) fn record_pause(&mut self, length: Duration) {
        self.recent.values_mut().for_each(|(at, _)| *at += length);
        self.invalidate();
    }
}

/// Returns the hosts that one directory response names: a random sample in which a host is the
/// likelier the larger its capacity is. All hosts are named if their capacities are equal.
///
/// Answers load at which the smaller hosts are saturated while the larger ones are nearly idle:
/// callers choose uniformly among the hosts that are named to them.
fn by_capacity(hosts: Vec<&cluster::Heartbeat>) -> Vec<&cluster::Heartbeat> {
    let total: u32 = hosts.iter().map(|host| u32::from(host.capacity)).sum();
    let largest = hosts.iter().map(|host| u32::from(host.capacity)).max().unwrap_or(1).max(1);
    let count = ((total / largest) as usize).max(MIN_NAMED);
    if count >= hosts.len() {
        return hosts;
    }
    // Weighted sampling without replacement: the largest keys `random^(1 / weight)`.
    let key = |host: &cluster::Heartbeat| fastrand::f64().ln() / f64::from(host.capacity.max(1));
    let mut keyed: Vec<(f64, &cluster::Heartbeat)> =
        hosts.into_iter().map(|host| (key(host), host)).collect();
    keyed.sort_by(|a, b| b.0.total_cmp(&a.0));
    keyed.into_iter().take(count).map(|(_, host)| host).collect()
}
