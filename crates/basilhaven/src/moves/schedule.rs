//! The schedule by which the new version's share of the calls grows during a move.
//!
//! Evidence means the counted calls, errors and slow calls of both versions on each route
//! ([`evidence`]). A route is a group of calls with the same path prefix ([`evidence::Route`]).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{detector, evidence, Move, Phase, FULL_SHARE, UNPROVEN_SHARE};

/// The new version's shares of idempotent and of at-most-once calls at each stage, in hundredths of
/// a per cent. The share of at-most-once calls lags behind, so that a fault first affects calls
/// that can be retried.
pub const STAGES: [(u16, u16); 7] = [
    (100, 0),
    (UNPROVEN_SHARE, 0),
    (1_000, UNPROVEN_SHARE),
    (2_500, 1_000),
    (5_000, 2_500),
    (FULL_SHARE, 5_000),
    (FULL_SHARE, FULL_SHARE),
];

/// Last stage that a version may enter without sufficient evidence; an index into [`STAGES`].
const UNPROVEN_STAGE: u8 = 1;

/// Minimum number of calls to the new version since the move began, on all routes together, to go
/// beyond [`UNPROVEN_STAGE`].
const MIN_CALLS: u64 = 60;

/// Minimum number of calls to the new version on each route with traffic before the next stage, if
/// the new version's share at the current stage is at most [`UNPROVEN_SHARE`].
const MIN_ROUTE_CALLS_UNPROVEN: u64 = 5;

/// Minimum number of calls to the new version on each route with traffic before the next stage, if
/// the new version's share at the current stage is above [`UNPROVEN_SHARE`].
const MIN_ROUTE_CALLS: u64 = 10;

/// Share of the service's calls, in hundredths of a per cent, below which a route does not count as
/// a route with traffic, and needs no minimum number of calls.
const MIN_ROUTE_SHARE: u64 = 200;

/// Minimum time at one stage.
const MIN_STAGE_TIME: Duration = Duration::from_millis(1_500);

/// Number of additional stages among which the time until the deadline is divided, as a reserve for
/// delays.
const RESERVE_STAGES: u32 = 1;

/// Share of the new version's slots that may be busy on average.
const MAX_SLOT_UTILISATION: f64 = 0.8;

/// Minimum time from the order of a move to its deadline.
pub const MIN_TIME: Duration = Duration::from_secs(15);

/// Reason why a move stays at its stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Hold {
    /// The time planned for the current stage has not passed.
    #[display("the time for the next stage has not come yet")]
    Pace,
    /// Too few calls went to the new version on the named route.
    #[display("too few calls on {_0} to judge by")]
    Evidence(String),
    /// The new version is slightly worse than the old one on the named route, not yet
    /// significantly.
    #[display("calls on {_0} are slightly worse than on the old version")]
    Doubt(String),
    /// The new version has too few slots for a larger share.
    #[display("the new version has too few slots for a larger share")]
    Slots,
}

/// Next step of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Keep the move at its stage, for the given reason.
    Hold(Hold),
    /// Continue the move: contains its new value, to be written to the row of moves.
    Advance(Move),
}

/// Data from which [`decide`] chooses the next step of a move.
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// Evidence since the move began.
    pub evidence: &'a evidence::Evidence,
    /// Evidence since the move reached its current stage.
    pub stage_evidence: &'a evidence::Evidence,
    /// Time at the current stage.
    pub stage_elapsed: Duration,
    /// Time until the move's deadline; zero once it has passed.
    pub remaining: Duration,
    /// Total slots (calls that can run concurrently) of those upstreams of the new version that are
    /// open to new calls.
    pub slots: u32,
    /// Average number of the service's calls in flight, over all hosts and both versions.
    pub in_flight: f64,
}

/// Decides the next step of a running move.
pub fn decide(current: &Move, input: &Input<'_>) -> Decision {
    let stages_left = STAGES.len() as u32 - u32::from(current.stage) + RESERVE_STAGES;
    // Splits the time since the start of this stage, not only the remaining time, so that the
    // stage's target does not shrink while it runs.
    let stage_time = ((input.stage_elapsed + input.remaining) / stages_left).max(MIN_STAGE_TIME);
    if input.stage_elapsed < stage_time {
        return Decision::Hold(Hold::Pace);
    }
    if let Some(hold) = missing_evidence(current, input) {
        return Decision::Hold(hold);
    }
    let mut next = current.clone();
    if usize::from(current.stage) + 1 == STAGES.len() && current.share == FULL_SHARE {
        next.phase = Phase::Done;
        return Decision::Advance(next);
    }
    next.stage = (current.stage + 1).min(STAGES.len() as u8 - 1);
    let (share, once_share) = shares(next.stage, input);
    let max_share = share_of_slots(input);
    next.share = share.min(max_share).max(current.share);
    next.once_share = once_share.min(max_share).max(current.once_share);
    if (next.share, next.once_share) == (current.share, current.once_share) && max_share < share {
        return Decision::Hold(Hold::Slots);
    }
    Decision::Advance(next)
}

/// Returns the shares of idempotent and of at-most-once calls at a stage. If the service has no
/// idempotent calls, at-most-once calls get the share meant for idempotent ones.
fn shares(stage: u8, input: &Input<'_>) -> (u16, u16) {
    let (share, once_share) = STAGES[usize::from(stage)];
    let has_idempotent = input.evidence.0.iter().any(|(r, p)| !r.at_most_once && p.old.calls > 0);
    (share, if has_idempotent { once_share } else { share })
}

/// Returns the largest share that the new version's slots can take.
fn share_of_slots(input: &Input<'_>) -> u16 {
    let usable = f64::from(input.slots) * MAX_SLOT_UTILISATION;
    let share = usable / input.in_flight.max(f64::EPSILON) * f64::from(FULL_SHARE);
    share.min(f64::from(FULL_SHARE)) as u16
}

/// Returns why the evidence is not sufficient for the next stage, if it is not.
fn missing_evidence(current: &Move, input: &Input<'_>) -> Option<Hold> {
    for (route, pair) in &input.evidence.0 {
        if !detector::is_within_margin(pair) {
            return Some(Hold::Doubt(route.to_string()));
        }
    }
    if current.stage < UNPROVEN_STAGE {
        return None;
    }
    if input.evidence.total().new.calls < MIN_CALLS {
        return Some(Hold::Evidence("all routes".to_owned()));
    }
    let calls = input.stage_evidence.total();
    let all_calls = calls.old.calls + calls.new.calls;
    for (route, pair) in &input.stage_evidence.0 {
        let share = if route.at_most_once { current.once_share } else { current.share };
        let route_calls = pair.old.calls + pair.new.calls;
        let has_traffic =
            route_calls * u64::from(FULL_SHARE) >= all_calls * MIN_ROUTE_SHARE && route_calls > 0;
        let needed =
            if share > UNPROVEN_SHARE { MIN_ROUTE_CALLS } else { MIN_ROUTE_CALLS_UNPROVEN };
        if share > 0 && has_traffic && pair.new.calls < needed {
            return Some(Hold::Evidence(route.to_string()));
        }
    }
    if all_calls == 0 {
        return Some(Hold::Evidence("all routes".to_owned()));
    }
    None
}
