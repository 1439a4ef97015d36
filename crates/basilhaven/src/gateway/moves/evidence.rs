//! What was seen of two versions of a service, and whether the new one is bad by it.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Answers of a version on one route from which it can be judged by its failures.
const LEAST_FAILURES: u32 = 4;

/// By how much failures have to exceed what the old version's share of failures leads to expect.
const FAILED_RATIO: f64 = 3.0;
const FAILED_EXCESS: f64 = 3.0;

/// Answers, and the share of failed ones, that are assumed of the old version before any was seen. They
/// weigh little: routes on which every call fails, whatever the version, get few calls.
const PRIOR_ANSWERS: f64 = 10.0;
const PRIOR_SHARE: f64 = 0.03;

/// Answers from which a version can be judged by its times, and the ratio of means that is too high.
const LEAST_TIMED: u32 = 6;
const SLOW_RATIO: f64 = 2.5;

/// Means below this are taken for equal, in seconds: round trips and probes weigh more.
const LEAST_SECONDS: f64 = 0.03;

/// What was seen of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Answers, failed ones among them.
    pub responses: u32,
    /// Failed answers, and calls without an answer.
    pub failed: u32,
    /// Seconds that the answers took together, each divided by the cost of its upstream.
    pub seconds: f32,
}

impl Count {
    /// One answer that took some time at an upstream of some cost.
    ///
    /// What the cost foretells says nothing of the version: upstreams of a new one are idle, those of the old
    /// one full, and would hide that the new one is slow.
    pub fn single(failed: bool, cost: f64, took: Duration) -> Count {
        let seconds = (took.as_secs_f64() / cost.max(1.0)) as f32;
        Count { responses: 1, failed: u32::from(failed), seconds }
    }

    fn add(&mut self, other: &Count) {
        self.responses = self.responses.saturating_add(other.responses);
        self.failed = self.failed.saturating_add(other.failed);
        self.seconds += other.seconds;
    }

    fn failed_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.responses.max(1))
    }

    fn mean(&self) -> f64 {
        f64::from(self.seconds) / f64::from(self.responses.max(1))
    }
}

/// What was seen of both versions on one route.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    /// The new version.
    pub new: Count,
    /// The old version.
    pub old: Count,
    /// The old version's last answers: faults that strike both versions may have begun after most of
    /// [`old`](Pair::old).
    pub old_recent: Recent,
}

/// Answers of late; each new one takes an eighth of the weight of those before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Recent {
    /// The weight of all answers.
    pub responses: f32,
    /// The weight of those that failed.
    pub failed: f32,
}

/// What is left of the weight of answers at each new one.
const LATE_DECAY: f32 = 7.0 / 8.0;

impl Recent {
    fn add(&mut self, count: &Count) {
        self.responses = self.responses * LATE_DECAY + count.responses as f32;
        self.failed = self.failed * LATE_DECAY + count.failed as f32;
    }
}

impl Pair {
    /// Takes in how a call ended that was sent to the new version, or to the old one.
    pub(super) fn record(&mut self, is_new: bool, count: &Count) {
        match is_new {
            true => self.new.add(count),
            false => {
                self.old.add(count);
                self.old_recent.add(count);
            }
        }
    }

    /// Takes in what another host has seen.
    pub(super) fn merge(&mut self, other: &Pair) {
        self.new.add(&other.new);
        self.old.add(&other.old);
        self.old_recent.responses += other.old_recent.responses;
        self.old_recent.failed += other.old_recent.failed;
    }

    /// The share of failures that the old version leads to expect.
    fn expected_share(&self) -> f64 {
        let share = |answers: f64, failed: f64, prior: f64| {
            (failed + prior * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS)
        };
        let long = share(self.old.responses.into(), self.old.failed.into(), PRIOR_SHARE);
        let late = self.old_recent;
        long.max(share(late.responses.into(), late.failed.into(), long))
    }
}

/// What one host has seen during a move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The service.
    pub service: Rc<str>,
    /// The revision of the order.
    pub order: u64,
    /// What was seen on each route.
    pub routes: IndexMap<Rc<str>, Pair>,
}

/// Why a version is taken for bad.
#[derive(Debug, Clone, PartialEq, derive_more::Display)]
#[display("{fault} on {route}: {new:.3} against {old:.3}")]
pub struct Regression {
    /// What is wrong with it.
    pub fault: Fault,
    /// The route on which it shows.
    pub route: Rc<str>,
    /// The figure of the new version.
    pub new: f64,
    /// That of the old version.
    pub old: f64,
}

/// What may be wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Fault {
    /// Its answers fail.
    #[display("failures")]
    Failures,
    /// Its answers take too long.
    #[display("slow answers")]
    Slow,
}

/// Whether a version is bad by what all hosts have seen together.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::moves::evidence;
///
/// let good = evidence::Count { responses: 200, failed: 2, seconds: 20.0 };
/// let bad = evidence::Count { responses: 12, failed: 6, seconds: 1.2 };
/// let recent = evidence::Recent::default();
/// let seen = [("prices".into(), evidence::Pair { new: bad, old: good, old_recent: recent })];
/// assert!(evidence::find_regression(seen.iter().map(|(r, p)| (r, p))).is_some());
/// let seen = [("prices".into(), evidence::Pair { new: good, old: good, old_recent: recent })];
/// assert!(evidence::find_regression(seen.iter().map(|(r, p)| (r, p))).is_none());
/// ```
pub fn find_regression<'a, I>(routes: I) -> Option<Regression>
where
    I: Iterator<Item = (&'a Rc<str>, &'a Pair)>,
{
    routes.filter_map(|(route, pair)| judge_route(route, pair)).next()
}

fn judge_route(route: &Rc<str>, pair: &Pair) -> Option<Regression> {
    let (new, old) = (pair.new.failed_share(), pair.old.failed_share());
    let verdict = |fault, new, old| Some(Regression { fault, route: Rc::clone(route), new, old });
    let expected = pair.expected_share() * f64::from(pair.new.responses);
    let failed = f64::from(pair.new.failed);
    if pair.new.failed >= LEAST_FAILURES && failed > FAILED_RATIO * expected + FAILED_EXCESS {
        return verdict(Fault::Failures, new, old);
    }
    let (new, old) = (pair.new.mean(), pair.old.mean());
    let timed = pair.new.responses.min(pair.old.responses) >= LEAST_TIMED;
    if timed && new > SLOW_RATIO * old.max(LEAST_SECONDS) {
        return verdict(Fault::Slow, new, old);
    }
    None
}
