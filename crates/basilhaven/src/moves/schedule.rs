//! How fast the new version's share grows.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{detector, evidence, Move, Phase, FULL_SHARE, UNPROVEN_SHARE};

/// The shares of idempotent calls and of those that run at most once, stage by stage. A fault then
/// meets calls first that can be made again.
pub const STAGES: [(u16, u16); 7] = [
    (100, 0),
    (UNPROVEN_SHARE, 0),
    (1_000, UNPROVEN_SHARE),
    (2_500, 1_000),
    (5_000, 2_500),
    (FULL_SHARE, 5_000),
    (FULL_SHARE, FULL_SHARE),
];

/// The last stage at which the version is not proven.
const UNPROVEN_STAGE: u8 = 1;

/// Calls of the new version that prove it, on all routes together.
const PROOF_CALLS: u64 = 60;

/// Calls of the new version at the present stage on each route with traffic, while the route's share is
/// at most [`UNPROVEN_SHARE`],
const FIRST_ROUTE_CALLS: u64 = 5;

/// and beyond.
const ROUTE_CALLS: u64 = 10;

/// A route with less than this share of the service's calls is not waited for, in hundredths of a
/// per cent.
const MIN_ROUTE_SHARE: u64 = 200;

/// The least time at one stage.
const MIN_STAGE: Duration = Duration::from_millis(1_500);

/// Stages whose time is kept in reserve for the unforeseen.
const RESERVE_STAGES: u32 = 1;

/// The share of the new version's slots that may be busy on average.
const USABLE_SLOTS: f64 = 0.8;

/// The least time that a move is given.
pub const MIN_TIME: Duration = Duration::from_secs(15);

/// Why a move stays at its stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Hold {
    /// Its time for the next stage has not come.
    #[display("its time for the next stage has not come")]
    Pace,
    /// Too few calls have reached the new version.
    #[display("too few calls on {_0} to judge by")]
    Evidence(String),
    /// The new version does slightly worse than the old one, and it is not certain yet.
    #[display("calls on {_0} do slightly worse than on the old version")]
    Doubt(String),
    /// The new version has too few slots for a larger share.
    #[display("the new version has too few slots for a larger share")]
    Slots,
}

/// What comes next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Nothing yet.
    Hold(Hold),
    /// The move as it is to be written.
    Advance(Move),
}

/// What is known when the next step is weighed.
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// All calls since the move began.
    pub total: &'a evidence::Evidence,
    /// The calls since it reached its present stage.
    pub stage: &'a evidence::Evidence,
    /// The time at the present stage.
    pub stage_elapsed: Duration,
    /// The time left until all traffic is to have moved; zero when it is over.
    pub remaining: Duration,
    /// The slots of the new version's upstreams that get new work.
    pub slots: u32,
    /// The calls of the service in flight on average, over all hosts and both versions.
    pub in_flight: f64,
}

/// Weighs the next step of a running move.
pub fn decide(current: &Move, input: &Input<'_>) -> Decision {
    let stages_left = STAGES.len() as u32 - u32::from(current.stage) + RESERVE_STAGES;
    let pace = ((input.stage_elapsed + input.remaining) / stages_left).max(MIN_STAGE);
    // The time already spent at this stage is part of what it may take.
    if input.stage_elapsed < pace {
        return Decision::Hold(Hold::Pace);
    }
    if let Some(wait) = missing(current, input) {
        return Decision::Hold(wait);
    }
    let mut next = current.clone();
    if usize::from(current.stage) + 1 == STAGES.len() && current.share == FULL_SHARE {
        next.phase = Phase::Done;
        return Decision::Advance(next);
    }
    next.stage = (current.stage + 1).min(STAGES.len() as u8 - 1);
    let (share, once_share) = shares(next.stage, input);
    let most = share_of_slots(input);
    next.share = share.min(most).max(current.share);
    next.once_share = once_share.min(most).max(current.once_share);
    if (next.share, next.once_share) == (current.share, current.once_share) && most < share {
        return Decision::Hold(Hold::Slots);
    }
    Decision::Advance(next)
}

/// The shares of a stage. Where no idempotent calls can go ahead, the others go at the stage's pace.
fn shares(stage: u8, input: &Input<'_>) -> (u16, u16) {
    let (share, once_share) = STAGES[usize::from(stage)];
    let idempotent = input.total.0.iter().any(|(r, p)| !r.at_most_once && p.old.calls > 0);
    (share, if idempotent { once_share } else { share })
}

/// The share that the new version's slots bear.
fn share_of_slots(input: &Input<'_>) -> u16 {
    let usable = f64::from(input.slots) * USABLE_SLOTS;
    let most = usable / input.in_flight.max(f64::EPSILON) * f64::from(FULL_SHARE);
    most.min(f64::from(FULL_SHARE)) as u16
}

/// What keeps the evidence from being enough.
fn missing(current: &Move, input: &Input<'_>) -> Option<Hold> {
    for (route, pair) in &input.total.0 {
        if !detector::is_within_margin(pair) {
            return Some(Hold::Doubt(route.to_string()));
        }
    }
    if current.stage < UNPROVEN_STAGE {
        return None;
    }
    if input.total.total().new.calls < PROOF_CALLS {
        return Some(Hold::Evidence("all routes".to_owned()));
    }
    let calls = input.stage.total();
    let all_calls = calls.old.calls + calls.new.calls;
    for (route, pair) in &input.stage.0 {
        let share = if route.at_most_once { current.once_share } else { current.share };
        let route_calls = pair.old.calls + pair.new.calls;
        let has_traffic =
            route_calls * u64::from(FULL_SHARE) >= all_calls * MIN_ROUTE_SHARE && route_calls > 0;
        let needed = if share > UNPROVEN_SHARE { ROUTE_CALLS } else { FIRST_ROUTE_CALLS };
        if share > 0 && has_traffic && pair.new.calls < needed {
            return Some(Hold::Evidence(route.to_string()));
        }
    }
    if all_calls == 0 {
        return Some(Hold::Evidence("all routes".to_owned()));
    }
    None
}
