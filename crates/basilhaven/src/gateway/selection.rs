//! Selects the upstream of a call by the time at which it is expected to respond, from load reports
//! that were requested right before. That time is the [`cost`], a multiple, times the baseline of
//! the kind of call.
//!
//! The selection is designed for upstreams that run several times slower for a few hundred
//! milliseconds at a time, a quarter of them at any moment, while all have many free slots.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::cluster::assignment;
use super::{round_trips, upstream};

/// Load reports older than this are ignored, since slow phases of upstreams last only a few hundred
/// milliseconds.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(150);

/// Age up to which a load report is used for an at-most-once call, for each free slot that it shows
/// besides those that this host has filled since. Some upstreams reset the connections of calls for
/// which they have no room, and it stays unknown whether such a call has run. The queue of an
/// upstream is the margin for hosts that see the same free slot meanwhile.
pub const REPORT_AGE_PER_FREE_SLOT: Duration = Duration::from_millis(50);

/// Relative increase of a call's latency when all slots of the upstream are in use.
const OCCUPANCY_COST: f64 = 0.3;

/// Share of the slots in use above which an upstream takes longer for every call, and the factor by
/// which the latency then increases.
const HIGH_OCCUPANCY: f64 = 0.8;
const HIGH_OCCUPANCY_FACTOR: f64 = 1.7;

/// Cost added for calls in excess of the slots: this much when the excess equals the number of
/// slots, and proportionally otherwise.
const EXCESS_COST: f64 = 3.0;

/// Cost added for an upstream in another data centre while the round trip to it is unknown.
const REMOTE_COST: f64 = 0.2;

/// The least time that counts for an upstream in another data centre, so that of two equal
/// upstreams the local one is chosen. Round trips are measured less exactly than that.
const MIN_REMOTE_TIME: Duration = Duration::from_millis(1);

/// Cost added for each recent failure of the upstream.
const FAILURE_COST: f64 = 1.0;

/// Cost up to which an upstream is as good as can be expected.
pub const GOOD_COST: f64 = 1.5;

/// The call for which an upstream is chosen, and the host that chooses.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// The data centre of the host.
    pub data_centre: &'a str,
    /// Baseline latency of the kind of call, at an upstream of [`cost`] 1.
    pub baseline: Duration,
    /// The round trips from the host.
    pub round_trips: &'a round_trips::RoundTrips,
}

impl Context<'_> {
    /// Returns the cost of the way to a data centre.
    fn remote_cost(&self, data_centre: &str) -> f64 {
        if data_centre == self.data_centre {
            return 0.0;
        }
        match self.round_trips.extra(data_centre, self.data_centre) {
            Some(extra) => {
                extra.max(MIN_REMOTE_TIME).as_secs_f64() / self.baseline.as_secs_f64().max(1e-3)
            }
            None => REMOTE_COST,
        }
    }
}

/// Returns the expected latency of one more call at an upstream, as a multiple of the baseline.
pub fn cost(upstream: &upstream::Upstream, context: &Context<'_>, now: Instant) -> f64 {
    let report = upstream.report().filter(|r| now - r.received_at <= MAX_REPORT_AGE);
    let slowdown = report.map_or(UNKNOWN_SLOWDOWN, |r| f64::from(r.load.slowdown));
    let slots = f64::from(upstream.slots());
    let after = f64::from(upstream.occupancy()) + 1.0;
    let excess = (after - slots).max(0.0);
    let occupancy_factor = if after > slots * HIGH_OCCUPANCY { HIGH_OCCUPANCY_FACTOR } else { 1.0 };
    let load_factor =
        occupancy_factor * (1.0 + OCCUPANCY_COST * after / slots) + EXCESS_COST * excess / slots;
    let remote = context.remote_cost(&upstream.entry().data_centre);
    slowdown * load_factor + remote + FAILURE_COST * upstream.failures(now)
}

/// Slowdown assumed of an upstream without a recent load report.
const UNKNOWN_SLOWDOWN: f64 = 2.0;

/// Returns whether an upstream has a free slot, as far as this host knows.
pub fn has_free_slot(upstream: &upstream::Upstream) -> bool {
    upstream.occupancy() < upstream.slots()
}

/// Returns whether a recent load report shows that an upstream is full.
pub fn is_known_full(upstream: &upstream::Upstream, now: Instant) -> bool {
    has_recent_report(upstream, now) && !has_free_slot(upstream)
}

/// Returns whether a recent load report of an upstream is known.
pub fn has_recent_report(upstream: &upstream::Upstream, now: Instant) -> bool {
    upstream
        .report()
        .is_some_and(|r| now.saturating_duration_since(r.received_at) <= MAX_REPORT_AGE)
}

/// Returns the subset of the candidates that a host with this assignment chooses from: `count` warm
/// upstreams, and all cold ones, because every host may send a cold upstream its share of the calls
/// that the upstream can take.
///
/// Without subsets, in a system of many hosts and upstreams, a host would use each upstream too
/// rarely to keep a connection open. The warm upstreams of the subset are the first ones by the
/// assignment that are usable, half of them from the host's own data centre if it has enough. So
/// the subset is only as wide as room and probes require, and a call that finds others full or
/// probed too often goes on to the next. Others fill up the subset if too few are usable.
pub fn subset<'a, F>(
    candidates: Vec<&'a Rc<upstream::Upstream>>,
    assignment: &assignment::Assignment,
    data_centre: &str,
    count: usize,
    is_usable: F,
    now: Instant,
) -> Vec<&'a Rc<upstream::Upstream>>
where
    F: Fn(&upstream::Upstream) -> bool,
{
    if candidates.len() <= count {
        return candidates;
    }
    let (cold, mut warm): (Vec<_>, Vec<_>) = candidates.into_iter().partition(|u| u.is_cold(now));
    warm.sort_by_cached_key(|u| u.place(assignment));
    let (usable, rest): (Vec<_>, Vec<_>) = warm.into_iter().partition(|u| is_usable(u));
    let (mut local, mut remote): (Vec<_>, Vec<_>) =
        usable.into_iter().partition(|u| *u.entry().data_centre == *data_centre);
    local.truncate(count.div_ceil(2).max(count.saturating_sub(remote.len())));
    remote.truncate(count - local.len());
    let missing = count - local.len() - remote.len();
    local.into_iter().chain(remote).chain(rest.into_iter().take(missing)).chain(cold).collect()
}

/// Returns the candidate that has not responded for the longest time, or never, among those that a
/// probe needs a new connection to.
///
/// Samples prefer open connections, so that an upstream that has joined would get no call while the
/// others have room.
pub fn least_heard<'a, F>(
    candidates: &[&'a Rc<upstream::Upstream>],
    effort: F,
) -> Option<&'a Rc<upstream::Upstream>>
where
    F: Fn(&upstream::Upstream) -> Effort,
{
    let unconnected = candidates.iter().copied().filter(|u| effort(u) == Effort::Connect);
    unconnected.min_by_key(|u| u.contact.responded_at())
}

/// What it takes to learn the load of an upstream before a call; less is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effort {
    /// A probe on an open connection.
    Probe,
    /// None: a recent report is known. It is worse than a new one.
    Nothing,
    /// A probe on a new connection.
    Connect,
    /// The upstream may not be probed now.
    Impossible,
}

impl Effort {
    /// Returns what it takes for an upstream which `may_be_probed`, `is_connected` and has a report
    /// that `is_recent`, or not.
    pub fn of(may_be_probed: bool, is_connected: bool, is_recent: bool) -> Effort {
        match (may_be_probed, is_connected, is_recent) {
            (true, true, _) => Effort::Probe,
            (_, _, true) => Effort::Nothing,
            (true, false, false) => Effort::Connect,
            (false, _, false) => Effort::Impossible,
        }
    }
}

/// Returns the `count` candidates to probe: those with the fewest calls in flight from this host
/// plus recent failures, and of these the ones with the least `effort`. They are
/// returned in random order.
pub fn sample<'a, F>(
    candidates: &[&'a Rc<upstream::Upstream>],
    count: usize,
    effort: F,
    now: Instant,
) -> Vec<&'a Rc<upstream::Upstream>>
where
    F: Fn(&upstream::Upstream) -> Effort,
{
    let mut order = candidates.to_vec();
    order.sort_by_cached_key(|u| {
        (u.in_flight() + u.failures(now) as u32, effort(u), fastrand::u32(..))
    });
    order.truncate(count);
    // Of upstreams with equal costs the first one is chosen.
    fastrand::shuffle(&mut order);
    order
}

/// Returns the candidate with the lowest cost, and that cost, among those that have a free slot and
/// a recent load report.
pub fn cheapest<'a>(
    candidates: &[&'a Rc<upstream::Upstream>],
    context: &Context<'_>,
    now: Instant,
) -> Option<(&'a Rc<upstream::Upstream>, f64)> {
    let is_usable = |u: &upstream::Upstream| has_recent_report(u, now) && has_free_slot(u);
    let costs = candidates.iter().filter(|u| is_usable(u)).map(|&u| (u, cost(u, context, now)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1))
}
