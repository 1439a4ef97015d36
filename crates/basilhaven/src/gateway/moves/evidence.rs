//! Evidence on the two versions of a move, and the detection of a regression in the new one.
//!
//! The versions are compared on each route, since a version may be bad on one only, and over all
//! routes together, since the calls may be spread so thinly that no route shows a fault by itself.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Failures of the new version that are required before they count as a regression.
const MIN_FAILURES: u32 = 4;

/// The new version has a regression if its failures exceed this multiple of the failures expected
/// from the old version, plus this number.
const FAILURE_RATIO: f64 = 3.0;
const FAILURE_EXCESS: f64 = 3.0;

/// Prior of the old version: the number of responses, and the share of failed ones among them, that
/// are assumed in addition to the counted ones. The number is small, so that few failures of the
/// old version suffice to show that a route fails whatever the version; such routes get few calls.
const PRIOR_RESPONSES: f64 = 10.0;
const PRIOR_FAILURE_SHARE: f64 = 0.03;

/// Successful responses of both versions that are required to compare their latency, and the ratio
/// of the mean latencies above which the new version has a regression.
const MIN_TIMED_RESPONSES: u32 = 6;
const SLOW_RATIO: f64 = 2.5;

/// [`MIN_TIMED_RESPONSES`] of all routes together. There are more, since upstreams that have just
/// started are slow for their first calls.
const MIN_TIMED_RESPONSES_IN_ALL: u32 = 30;

/// Responses at the mean latency of all routes that are assumed of the old version on each route.
const PRIOR_TIMED_RESPONSES: f64 = 3.0;

/// Mean latencies below this are treated as equal, since round trips and probes dominate them.
const MIN_MEAN_SECONDS: f64 = 0.03;

/// The results of the calls to one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Responses, including failed ones and calls without a response.
    pub responses: u32,
    /// Failed responses, and calls without a response.
    pub failed: u32,
    /// Total latency of the calls that have not failed, in seconds, with the latency of each divided
    /// by the cost of its upstream.
    pub seconds: f32,
}

impl Count {
    /// Returns the count of one call with its latency at an upstream of this cost.
    ///
    /// The latency is divided by the cost, because the part that the cost predicts does not depend
    /// on the version: the upstreams of a new version are idle while those of the old version are
    /// busy, which would hide that the new version is slow. The latency of a failed call is left out:
    /// many fail at once, or after their whole time.
    pub fn single(has_failed: bool, cost: f64, took: Duration) -> Count {
        let seconds = match has_failed {
            true => 0.0,
            false => (took.as_secs_f64() / cost.max(1.0)) as f32,
        };
        Count { responses: 1, failed: u32::from(has_failed), seconds }
    }

    fn add(&mut self, other: &Count) {
        self.responses = self.responses.saturating_add(other.responses);
        self.failed = self.failed.saturating_add(other.failed);
        self.seconds += other.seconds;
    }

    /// Returns the part of this count that came after `earlier`. It is too small if a host has been
    /// restarted in between, as a host begins to count anew.
    pub(super) fn since(&self, earlier: &Count) -> Count {
        Count {
            responses: self.responses.saturating_sub(earlier.responses),
            failed: self.failed.saturating_sub(earlier.failed),
            seconds: (self.seconds - earlier.seconds).max(0.0),
        }
    }

    pub(super) fn failure_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.responses.max(1))
    }

    /// Returns the number of responses that have not failed.
    fn succeeded(&self) -> u32 {
        self.responses.saturating_sub(self.failed)
    }

    fn mean_seconds(&self) -> f64 {
        f64::from(self.seconds) / f64::from(self.succeeded().max(1))
    }
}

/// The results of both versions on one route.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    /// Results of the new version.
    pub new: Count,
    /// Results of the old version.
    pub old: Count,
    /// Recent results of the old version: a fault that affects both versions may have begun after
    /// most of the calls in [`old`](Pair::old).
    pub old_recent: Recent,
}

/// Recent results, as decaying sums: each new response reduces the weight of the earlier ones by an
/// eighth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Recent {
    /// The weight of all responses.
    pub responses: f32,
    /// The weight of failed responses.
    pub failed: f32,
}

/// Factor by which each new response reduces the weight of the earlier ones.
const RECENT_DECAY: f32 = 7.0 / 8.0;

impl Recent {
    fn add(&mut self, count: &Count) {
        self.responses = self.responses * RECENT_DECAY + count.responses as f32;
        self.failed = self.failed * RECENT_DECAY + count.failed as f32;
    }
}

impl Pair {
    /// Records the result of a call to the new or the old version.
    pub(super) fn record(&mut self, is_new: bool, count: &Count) {
        match is_new {
            true => self.new.add(count),
            false => {
                self.old.add(count);
                self.old_recent.add(count);
            }
        }
    }

    /// Adds the results of another host.
    pub(super) fn merge(&mut self, other: &Pair) {
        self.new.add(&other.new);
        self.old.add(&other.old);
        self.old_recent.responses += other.old_recent.responses;
        self.old_recent.failed += other.old_recent.failed;
    }

    /// Returns the results that came after `earlier`, without recent ones.
    fn since(&self, earlier: &Pair) -> Pair {
        let (new, old) = (self.new.since(&earlier.new), self.old.since(&earlier.old));
        Pair { new, old, old_recent: Recent::default() }
    }

    /// Returns the share of failures to expect from the new version, given the old one, if `prior`
    /// is the share before any response was counted.
    fn expected_share(&self, prior: f64) -> f64 {
        let share = |responses: f64, failed: f64, prior: f64| {
            (failed + prior * PRIOR_RESPONSES) / (responses + PRIOR_RESPONSES)
        };
        let long = share(self.old.responses.into(), self.old.failed.into(), prior);
        let recent = self.old_recent;
        long.max(share(recent.responses.into(), recent.failed.into(), long))
    }

    /// Returns whether the new version has more failures than `expected` explains.
    fn fails_more(&self, expected: f64) -> bool {
        let failed = f64::from(self.new.failed);
        self.new.failed >= MIN_FAILURES && failed > FAILURE_RATIO * expected + FAILURE_EXCESS
    }

    /// Returns whether the new version took longer than `expected_seconds` explain, given so many
    /// successful responses of each version.
    fn takes_longer(&self, expected_seconds: f64, min_responses: u32) -> bool {
        let floor = MIN_MEAN_SECONDS * f64::from(self.new.succeeded());
        self.new.succeeded().min(self.old.succeeded()) >= min_responses
            && f64::from(self.new.seconds) > SLOW_RATIO * expected_seconds.max(floor)
    }
}

/// The evidence that one host has collected during a move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The service.
    pub service: Rc<str>,
    /// The number of the order's revision.
    pub order: u64,
    /// The results on each route, or on some of them.
    pub routes: IndexMap<Rc<str>, Pair>,
    /// The results on all routes; `None` from a host of a build that sends those on some only. It is
    /// sent besides, since earlier builds do not expect it here.
    #[serde(skip)]
    pub total: Option<Pair>,
}

impl Evidence {
    /// Creates the evidence of a host that has seen no response yet.
    pub fn new(service: Rc<str>, order: u64) -> Evidence {
        Evidence { service, order, routes: IndexMap::new(), total: Some(Pair::default()) }
    }

    /// Records the result of a call to the new or the old version.
    pub fn record(&mut self, route: &Rc<str>, is_new: bool, count: &Count) {
        self.routes.entry(Rc::clone(route)).or_default().record(is_new, count);
        self.total.get_or_insert_default().record(is_new, count);
    }

    /// Replaces this evidence by newer evidence of the same host, which need not have all routes.
    pub fn update(&mut self, newer: Evidence) {
        self.routes.extend(newer.routes);
        self.total = newer.total;
    }

    /// Returns the results on all routes, as far as they are known.
    fn total(&self) -> Pair {
        self.total.clone().unwrap_or_else(|| sum(self.routes.values()))
    }
}

fn sum<'a, I>(pairs: I) -> Pair
where
    I: IntoIterator<Item = &'a Pair>,
{
    pairs.into_iter().fold(Pair::default(), |mut all, pair| {
        all.merge(pair);
        all
    })
}

/// The evidence of all hosts on a move.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Combined {
    routes: IndexMap<Rc<str>, Pair>,
    total: Pair,
}

impl Combined {
    /// Adds the evidence of one host.
    pub fn add(&mut self, evidence: &Evidence) {
        for (route, pair) in &evidence.routes {
            self.routes.entry(Rc::clone(route)).or_default().merge(pair);
        }
        self.total.merge(&evidence.total());
    }

    /// Returns the evidence that came after `earlier`, without recent results.
    pub(super) fn since(&self, earlier: &Combined) -> Combined {
        let none = Pair::default();
        let since = |(route, pair): (&Rc<str>, &Pair)| {
            (Rc::clone(route), pair.since(earlier.routes.get(route).unwrap_or(&none)))
        };
        let routes = self.routes.iter().map(since).collect();
        Combined { routes, total: self.total.since(&earlier.total) }
    }

    /// Sets the recent results of the old version to all of its results in `window`.
    pub(super) fn set_recent(&mut self, window: &Combined) {
        let recent = |pair: &Pair| Recent {
            responses: pair.old.responses as f32,
            failed: pair.old.failed as f32,
        };
        for (route, pair) in &mut self.routes {
            pair.old_recent = window.routes.get(route).map(recent).unwrap_or_default();
        }
        self.total.old_recent = recent(&window.total);
    }

    /// Returns whether the new version has so few failures that it needs no comparison: no more than
    /// a version without a fault, on each route and in all.
    pub fn is_new_sound(&self) -> bool {
        let expected = |pair: &Pair| PRIOR_FAILURE_SHARE * f64::from(pair.new.responses);
        let fails = |pair: &Pair| pair.fails_more(expected(pair));
        !fails(&self.total) && !self.routes.values().any(fails)
    }

    /// Returns the results on each route, as far as they are known.
    pub fn routes(&self) -> &IndexMap<Rc<str>, Pair> {
        &self.routes
    }

    /// Returns the results on all routes together.
    pub fn total(&self) -> &Pair {
        &self.total
    }

    /// Returns the share of failures of the old version on all routes but each of these, in their
    /// order.
    ///
    /// No route has more weight than [`PRIOR_RESPONSES`], so that one with many calls that always
    /// fails says little of the others.
    fn shares_elsewhere(&self) -> Vec<f64> {
        let weight = |pair: &Pair| f64::from(pair.old.responses).min(PRIOR_RESPONSES);
        let failed = |pair: &Pair| weight(pair) * pair.old.failure_share();
        let all_weight: f64 = self.routes.values().map(weight).sum();
        let all_failed: f64 = self.routes.values().map(failed).sum();
        let elsewhere = self.routes.values().map(|pair| {
            let prior = PRIOR_FAILURE_SHARE * PRIOR_RESPONSES;
            (all_failed - failed(pair) + prior) / (all_weight - weight(pair) + PRIOR_RESPONSES)
        });
        elsewhere.collect()
    }

    /// Returns the failures of the new version to expect on all routes together: what the old version
    /// shows on each, and what it shows on all. The former holds if the versions get calls of other
    /// routes, the latter if most routes have few calls.
    fn expected_failures(&self, elsewhere: &[f64]) -> f64 {
        let by_route = self
            .routes
            .values()
            .zip(elsewhere)
            .map(|(pair, prior)| pair.expected_share(*prior) * f64::from(pair.new.responses));
        let share = self.total.expected_share(PRIOR_FAILURE_SHARE);
        by_route.sum::<f64>().max(share * f64::from(self.total.new.responses))
    }

    /// Returns the total latency of the new version to expect on all routes together, in seconds;
    /// see [`expected_failures`](Combined::expected_failures).
    fn expected_seconds(&self) -> f64 {
        let mean = self.total.old.mean_seconds();
        let by_route = self.routes.values().map(|pair| {
            let seconds = f64::from(pair.old.seconds) + mean * PRIOR_TIMED_RESPONSES;
            let responses = f64::from(pair.old.succeeded()) + PRIOR_TIMED_RESPONSES;
            seconds / responses * f64::from(pair.new.succeeded())
        });
        by_route.sum::<f64>().max(mean * f64::from(self.total.new.succeeded()))
    }
}

/// Collects the results on all routes.
impl FromIterator<(Rc<str>, Pair)> for Combined {
    fn from_iter<I>(routes: I) -> Combined
    where
        I: IntoIterator<Item = (Rc<str>, Pair)>,
    {
        let routes: IndexMap<Rc<str>, Pair> = routes.into_iter().collect();
        Combined { total: sum(routes.values()), routes }
    }
}

/// A regression of a new version against the old one.
#[derive(Debug, Clone, PartialEq, derive_more::Display)]
#[display("{fault} on {scope}: {new:.3} against {old:.3}")]
pub struct Regression {
    /// The kind of the regression.
    pub fault: Fault,
    /// Where it was found.
    pub scope: Scope,
    /// The share of failures, or the mean latency in seconds, of the new version.
    pub new: f64,
    /// The same figure of the old version.
    pub old: f64,
}

/// The calls that show a regression.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Scope {
    /// Those of one route.
    #[display("{_0}")]
    Route(Rc<str>),
    /// Those of all routes together.
    #[display("all routes")]
    AllRoutes,
}

/// Kinds of regressions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Fault {
    /// Too many calls fail.
    #[display("failures")]
    Failures,
    /// Responses take too long.
    #[display("slow answers")]
    Slow,
}

/// Returns a regression of the new version, if the evidence of all hosts shows one.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::moves::evidence;
///
/// let good = evidence::Count { responses: 200, failed: 2, seconds: 20.0 };
/// let bad = evidence::Count { responses: 12, failed: 6, seconds: 1.2 };
/// let old_recent = evidence::Recent::default();
/// let pair = evidence::Pair { new: bad, old: good, old_recent };
/// let seen: evidence::Combined = [("prices".into(), pair)].into_iter().collect();
/// assert!(evidence::find_regression(&seen).is_some());
/// let pair = evidence::Pair { new: good, old: good, old_recent };
/// let seen: evidence::Combined = [("prices".into(), pair)].into_iter().collect();
/// assert!(evidence::find_regression(&seen).is_none());
/// ```
pub fn find_regression(evidence: &Combined) -> Option<Regression> {
    let elsewhere = evidence.shares_elsewhere();
    let mut routes = evidence.routes.iter().zip(&elsewhere);
    routes
        .find_map(|((route, pair), elsewhere)| find_regression_on(route, pair, *elsewhere))
        .or_else(|| find_regression_in_all(evidence, &elsewhere))
}

/// Returns a regression on one route, if the old version fails the share `elsewhere` of the calls of
/// the others.
fn find_regression_on(route: &Rc<str>, pair: &Pair, elsewhere: f64) -> Option<Regression> {
    let scope = || Scope::Route(Rc::clone(route));
    // Where many routes have few calls each, some show no failure of the old version by chance.
    let prior = elsewhere.max(PRIOR_FAILURE_SHARE);
    if pair.fails_more(pair.expected_share(prior) * f64::from(pair.new.responses)) {
        return Some(Regression::new(Fault::Failures, scope(), pair));
    }
    let expected = pair.old.mean_seconds() * f64::from(pair.new.succeeded());
    let is_slow = pair.takes_longer(expected, MIN_TIMED_RESPONSES);
    is_slow.then(|| Regression::new(Fault::Slow, scope(), pair))
}

fn find_regression_in_all(evidence: &Combined, elsewhere: &[f64]) -> Option<Regression> {
    let total = &evidence.total;
    if total.fails_more(evidence.expected_failures(elsewhere)) {
        return Some(Regression::new(Fault::Failures, Scope::AllRoutes, total));
    }
    let is_slow = total.takes_longer(evidence.expected_seconds(), MIN_TIMED_RESPONSES_IN_ALL);
    is_slow.then(|| Regression::new(Fault::Slow, Scope::AllRoutes, total))
}

impl Regression {
    fn new(fault: Fault, scope: Scope, pair: &Pair) -> Regression {
        let figure = |count: &Count| match fault {
            Fault::Failures => count.failure_share(),
            Fault::Slow => count.mean_seconds(),
        };
        Regression { fault, scope, new: figure(&pair.new), old: figure(&pair.old) }
    }
}
