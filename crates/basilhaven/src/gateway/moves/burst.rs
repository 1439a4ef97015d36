//! Bursts, in which few upstreams of an unproven version are loaded as they would be later.
//!
//! A version that gets a small share of the calls is nearly idle, and shows no fault that depends on
//! load. In a burst, all hosts send it all calls of the service, and fill one upstream after the
//! other; between bursts it gets none. Its share of the calls stays the same.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{Stage, STAGE_LENGTH, TRIAL_END};
use crate::gateway::{selection, upstream};

/// Share of the trial after which calls come in bursts. Until then they are spread over time, so that
/// a version that fails whatever its load gets as few calls as possible. They are spread again if the
/// trial takes longer because too few calls have come, which bursts may miss.
const SPREAD_PART: f64 = 0.5;

/// Interval between the starts of bursts during the trial, as a share of the move's duration; two
/// fit into the trial. During the ramp each step has one.
const TRIAL_PERIOD: f64 = 0.1;

/// Maximum interval, so that bursts are short however long the move takes.
const MAX_PERIOD: Duration = Duration::from_secs(2);

/// Share of an upstream's slots that is filled before the next upstream is used. With more, many
/// upstreams take longer for every call, whatever their version.
const FILLED_SHARE: f64 = 0.75;

/// The bursts of a stage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    period: Duration,
}

impl Burst {
    /// Returns the bursts of a stage of a move that was ordered `age` ago, with this duration; `None`
    /// if calls are spread over time.
    pub fn of(stage: Stage, age: Duration, duration: Duration) -> Option<Burst> {
        let trial_end = duration.mul_f64(TRIAL_END);
        let trial_bursts = trial_end.mul_f64(SPREAD_PART)..trial_end;
        let share = match stage {
            Stage::Trial if trial_bursts.contains(&age) => TRIAL_PERIOD,
            Stage::Ramp(_) => STAGE_LENGTH,
            Stage::Trial | Stage::Full | Stage::Completed | Stage::RolledBack => return None,
        };
        Some(Burst { period: duration.mul_f64(share).min(MAX_PERIOD) })
    }

    /// Returns whether the new version takes all calls at this age of the order, so that it gets
    /// `share` of them over time. All hosts know the age to within a heartbeat's way.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use basilhaven::gateway::moves::{burst, Stage};
    ///
    /// let age = Duration::from_secs(10);
    /// let burst = burst::Burst::of(Stage::Ramp(1), age, Duration::from_secs(20)).unwrap();
    /// let at = |ms: u64| Duration::from_millis(12_000 + ms);
    /// assert!(burst.is_active(at(100), 0.25) && !burst.is_active(at(900), 0.25));
    /// ```
    pub fn is_active(&self, age: Duration, share: f64) -> bool {
        let period = self.period.as_secs_f64().max(f64::MIN_POSITIVE);
        (age.as_secs_f64() / period).fract() < share
    }
}

/// Returns the upstream that takes the next call of a burst: the first that admits one, is not slow
/// and not yet filled, in an order that is the same on all hosts.
pub fn fill<'a>(
    upstreams: &[&'a Rc<upstream::Upstream>],
    now: Instant,
) -> Option<Vec<&'a Rc<upstream::Upstream>>> {
    let mut ranked = upstreams.to_vec();
    ranked.sort_unstable_by_key(|u| u.ring_point());
    ranked.iter().find(|u| u.admits(now) && has_room(u, now)).map(|upstream| vec![*upstream])
}

/// Returns whether an upstream is neither filled nor slow. A report that is not recent is left out:
/// calls of the last burst have ended, and the load is requested before a call is sent.
fn has_room(upstream: &upstream::Upstream, now: Instant) -> bool {
    let slots = upstream.slots();
    // Load from two calls on can show on any upstream that runs several.
    let filled = ((f64::from(slots) * FILLED_SHARE) as u32).max(2).min(slots);
    let report = upstream.report().filter(|report| {
        now.saturating_duration_since(report.received_at) <= selection::MAX_REPORT_AGE
    });
    match report {
        Some(report) => {
            f64::from(report.load.slowdown) <= selection::GOOD_COST && upstream.occupancy() < filled
        }
        None => upstream.in_flight() < filled,
    }
}
