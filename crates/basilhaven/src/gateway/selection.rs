//! Which upstream takes a call, out of what was learned of some right before.
//!
//! The load that this answers: upstreams that run several times slower for a few hundred
//! milliseconds, a quarter of them at any moment, while all are far from full.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::upstream;

/// Load reports older than this say nothing of now; the slow spells of upstreams last a few hundred
/// milliseconds.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(150);

/// What a full set of slots adds to the time of a call, as a part of it.
const OCCUPANCY_COST: f64 = 0.3;

/// The part of its slots beyond which an upstream takes longer for every call, and by how much.
const CROWDED: f64 = 0.8;
const CROWDED_COST: f64 = 1.7;

/// What each set of slots beyond the first adds.
const EXCESS_COST: f64 = 3.0;

/// What another data centre adds: its round trip as a part of a call.
const REMOTE_COST: f64 = 0.2;

/// What each failure of late adds.
const FAILURE_COST: f64 = 1.0;

/// The cost at which an upstream is as good as can be hoped for.
pub const GOOD_COST: f64 = 1.5;

/// The expected time of one more call at an upstream, as a multiple of the usual time.
pub fn cost(upstream: &upstream::Upstream, data_centre: &str, now: Instant) -> f64 {
    let report = upstream.report().filter(|r| now - r.received_at <= MAX_REPORT_AGE);
    let slowdown = report.map_or(UNKNOWN_SLOWDOWN, |r| f64::from(r.load.slowdown));
    let slots = f64::from(upstream.slots());
    let after = f64::from(upstream.occupancy()) + 1.0;
    let excess = (after - slots).max(0.0);
    let crowded = if after > slots * CROWDED { CROWDED_COST } else { 1.0 };
    let busy = crowded * (1.0 + OCCUPANCY_COST * after / slots) + EXCESS_COST * excess / slots;
    let remote = if &*upstream.entry().data_centre == data_centre { 0.0 } else { REMOTE_COST };
    slowdown * busy + remote + FAILURE_COST * upstream.failures(now)
}

/// The slowdown that is assumed of an upstream that has not said any.
const UNKNOWN_SLOWDOWN: f64 = 2.0;

/// Whether an upstream has a free slot, as far as this host can know.
pub fn has_free_slot(upstream: &upstream::Upstream) -> bool {
    upstream.occupancy() < upstream.slots()
}

/// The `count` candidates that a host sends its calls to while these have room, and all cold ones, which
/// each host may use in its turn.
///
/// The load that this answers: so many hosts and upstreams that a host would send to each upstream less often
/// than connections are kept. The candidates are those that follow the host's `point` on a ring, half of
/// them of its own data centre as far as there are; since points spread evenly over the hosts, all
/// upstreams get about as many.
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
    let (mut near, mut far): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|u| *u.entry().data_centre == *data_centre);
    near.truncate(count.div_ceil(2).max(count.saturating_sub(far.len())));
    far.truncate(count - near.len());
    near.into_iter().chain(far).chain(cold).collect()
}

/// The `count` candidates that are asked for their load: those with the fewest calls of this host
/// and failures first, equals in random order.
pub fn sample<'a>(
    candidates: &[&'a Rc<upstream::Upstream>],
    count: usize,
    now: Instant,
) -> Vec<&'a Rc<upstream::Upstream>> {
    let mut order: Vec<(u32, u32, &Rc<upstream::Upstream>)> = candidates
        .iter()
        .map(|&u| (u.in_flight() + u.failures(now) as u32, fastrand::u32(..), u))
        .collect();
    order.sort_by_key(|&(busy, tie, _)| (busy, tie));
    order.into_iter().take(count).map(|(_, _, upstream)| upstream).collect()
}

/// The candidate with the least cost among those that have room and a fresh report.
pub fn cheapest<'a>(
    candidates: &[&'a Rc<upstream::Upstream>],
    data_centre: &str,
    now: Instant,
) -> Option<(&'a Rc<upstream::Upstream>, f64)> {
    let fresh = |u: &upstream::Upstream| {
        u.report().is_some_and(|r| now - r.received_at <= MAX_REPORT_AGE) && has_free_slot(u)
    };
    let costs = candidates.iter().filter(|u| fresh(u)).map(|&u| (u, cost(u, data_centre, now)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1))
}
