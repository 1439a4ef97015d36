//! Selects the upstream of a call by its [`cost`], the expected latency as a multiple of the
//! baseline, from load reports that were requested right before.
//!
//! The selection is designed for upstreams that run several times slower for a few hundred
//! milliseconds at a time, a quarter of them at any moment, while all have many free slots.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::upstream;

/// Load reports older than this are ignored, since slow phases of upstreams last only a few hundred
/// milliseconds.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(150);

/// Relative increase of a call's latency when all slots of the upstream are in use.
const OCCUPANCY_COST: f64 = 0.3;

/// Share of the slots in use above which an upstream takes longer for every call, and the factor by
/// which the latency then increases.
const HIGH_OCCUPANCY: f64 = 0.8;
const HIGH_OCCUPANCY_FACTOR: f64 = 1.7;

/// Cost added for calls in excess of the slots: this much when the excess equals the number of
/// slots, and proportionally otherwise.
const EXCESS_COST: f64 = 3.0;

/// Cost added for an upstream in another data centre: the round trip as a share of a call's
/// latency.
const REMOTE_COST: f64 = 0.2;

/// Cost added for each recent failure of the upstream.
const FAILURE_COST: f64 = 1.0;

/// Cost up to which an upstream is as good as can be expected.
pub const GOOD_COST: f64 = 1.5;

/// Returns the expected latency of one more call at an upstream, as a multiple of the baseline.
pub fn cost(upstream: &upstream::Upstream, data_centre: &str, now: Instant) -> f64 {
    let report = upstream.report().filter(|r| now - r.received_at <= MAX_REPORT_AGE);
    let slowdown = report.map_or(UNKNOWN_SLOWDOWN, |r| f64::from(r.load.slowdown));
    let slots = f64::from(upstream.slots());
    let after = f64::from(upstream.occupancy()) + 1.0;
    let excess = (after - slots).max(0.0);
    let occupancy_factor = if after > slots * HIGH_OCCUPANCY { HIGH_OCCUPANCY_FACTOR } else { 1.0 };
    let load_factor =
        occupancy_factor * (1.0 + OCCUPANCY_COST * after / slots) + EXCESS_COST * excess / slots;
    let remote = if &*upstream.entry().data_centre == data_centre { 0.0 } else { REMOTE_COST };
    slowdown * load_factor + remote + FAILURE_COST * upstream.failures(now)
}

/// Slowdown assumed of an upstream without a recent load report.
const UNKNOWN_SLOWDOWN: f64 = 2.0;

/// Returns whether an upstream has a free slot, as far as this host knows.
pub fn has_free_slot(upstream: &upstream::Upstream) -> bool {
    upstream.occupancy() < upstream.slots()
}

/// Returns the subset of the candidates that the host with this `point` on the hash ring chooses
/// from: `count` warm upstreams, and all cold ones, because every host may send a cold upstream its
/// share of the calls that the upstream can take.
///
/// Without subsets, in a system of many hosts and upstreams, a host would use each upstream too
/// rarely to keep a connection open. The warm upstreams of the subset are those that follow `point`
/// on the ring, half of them from the host's own data centre if it has enough. The points of the
/// hosts are evenly spaced, so that all upstreams are in about the same number of subsets.
pub fn subset<'a>(
    mut candidates: Vec<&'a Rc<upstream::Upstream>>,
    point: u64,
    data_centre: &str,
    count: usize,
    now: Instant,
) -> Vec<&'a Rc<upstream::Upstream>> {
    if candidates.len() <= count {
        return candidates;
    }
    let (cold, warm): (Vec<_>, Vec<_>) = candidates.drain(..).partition(|u| u.is_cold(now));
    candidates.extend(warm);
    candidates.sort_unstable_by_key(|u| u.ring_point().wrapping_sub(point));
    let (mut local, mut remote): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|u| *u.entry().data_centre == *data_centre);
    local.truncate(count.div_ceil(2).max(count.saturating_sub(remote.len())));
    remote.truncate(count - local.len());
    local.into_iter().chain(remote).chain(cold).collect()
}

/// Returns the `count` candidates to probe: those with the fewest calls in flight from this host
/// plus recent failures, ties in random order.
pub fn sample<'a>(
    candidates: &[&'a Rc<upstream::Upstream>],
    count: usize,
    now: Instant,
) -> Vec<&'a Rc<upstream::Upstream>> {
    let mut order: Vec<(u32, u32, &Rc<upstream::Upstream>)> = candidates
        .iter()
        .map(|&u| (u.in_flight() + u.failures(now) as u32, fastrand::u32(..), u))
        .collect();
    order.sort_by_key(|&(load, tie, _)| (load, tie));
    order.into_iter().take(count).map(|(_, _, upstream)| upstream).collect()
}

/// Returns the candidate with the lowest cost, and that cost, among those that have a free slot and
/// a recent load report.
pub fn cheapest<'a>(
    candidates: &[&'a Rc<upstream::Upstream>],
    data_centre: &str,
    now: Instant,
) -> Option<(&'a Rc<upstream::Upstream>, f64)> {
    let is_usable = |u: &upstream::Upstream| {
        u.report().is_some_and(|r| now - r.received_at <= MAX_REPORT_AGE) && has_free_slot(u)
    };
    let costs = candidates.iter().filter(|u| is_usable(u)).map(|&u| (u, cost(u, data_centre, now)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1))
}
