//! The evidence on a move over time.
//!
//! Failures of the new version tell little of it while the old version fails many of its calls as
//! well: a fault of their surroundings, such as a database that both use, affects both. The versions
//! are compared by the calls since the old version last recovered, besides all calls since the order.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::evidence;

/// Share of failed calls of the old version from which the new version cannot be compared with it.
/// Above a third, no failures of the new version would count as a regression.
const FAILING_SHARE: f64 = 0.15;

/// Failures of the old version that are required before it counts as failing.
const MIN_OLD_FAILURES: u32 = 4;

/// Share of failed calls from which a route fails whatever the version, and the responses of the old
/// version that are required to tell. Such a route does not make the old version count as failing.
const BROKEN_ROUTE_SHARE: f64 = 0.9;
const MIN_ROUTE_RESPONSES: u32 = 5;

/// The time over which the failures of the old version are counted. It is extended, up to a maximum,
/// until the old version has [`MIN_WINDOW_RESPONSES`].
const WINDOW: Duration = Duration::from_secs(1);
const MAX_WINDOW: Duration = Duration::from_secs(8);
const MIN_WINDOW_RESPONSES: u32 = 20;

/// Interval at which the evidence is kept.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a look after which the earlier ones are too old to be compared with.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The evidence on a move at several moments, as one host has seen it.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use basilhaven::gateway::moves::{evidence, history};
///
/// let (mut history, start) = (history::History::default(), Instant::now());
/// let old = |responses, failed| {
///     let old = evidence::Count { responses, failed, seconds: 0.1 * responses as f32 };
///     let pair = evidence::Pair { old, ..evidence::Pair::default() };
///     [("prices".into(), pair)].into_iter().collect::<evidence::Combined>()
/// };
/// assert!(!history.look(old(100, 1), start).is_old_failing);
/// assert!(history.look(old(150, 30), start + Duration::from_millis(500)).is_old_failing);
/// let recovered = history.look(old(300, 30), start + Duration::from_secs(2));
/// assert_eq!(recovered.comparable().unwrap().total().old.responses, 150);
/// ```
#[derive(Debug, Default)]
pub struct History {
    /// The looks that the window needs, oldest first.
    looks: VecDeque<(Instant, evidence::Combined)>,
    /// The first look since the last pause, and the newest look.
    first_look: Option<Instant>,
    last_look: Option<Instant>,
    /// The evidence when the old version was last failing.
    baseline: Option<evidence::Combined>,
}

/// What the evidence on a move tells at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Findings {
    /// All evidence since the order.
    pub all: evidence::Combined,
    /// The evidence since the old version last recovered, if it has been failing since the order.
    pub since_recovery: Option<evidence::Combined>,
    /// Whether the old version fails so many of its calls that the new one cannot be compared with
    /// it.
    pub is_old_failing: bool,
    /// Whether the evidence was followed for long enough to tell that the old version is not failing.
    pub is_settled: bool,
}

/// The findings if the versions can be compared by all evidence.
impl From<evidence::Combined> for Findings {
    fn from(all: evidence::Combined) -> Findings {
        Findings { all, since_recovery: None, is_old_failing: false, is_settled: true }
    }
}

impl Findings {
    /// Returns the evidence by which the versions can be compared; `None` while the old one fails.
    pub fn comparable(&self) -> Option<&evidence::Combined> {
        let comparable = self.since_recovery.as_ref().unwrap_or(&self.all);
        (!self.is_old_failing).then_some(comparable)
    }

    /// Returns a regression of the new version, if the evidence shows one.
    pub fn regression(&self) -> Option<evidence::Regression> {
        let since_recovery = self.since_recovery.as_ref().filter(|_| !self.is_old_failing);
        evidence::find_regression(&self.all)
            .or_else(|| since_recovery.and_then(evidence::find_regression))
    }
}

impl History {
    /// Records all evidence since the order as it is known now, and returns what it tells.
    pub fn look(&mut self, all: evidence::Combined, now: Instant) -> Findings {
        if self.last_look.is_none_or(|at| now.saturating_duration_since(at) > MAX_PAUSE) {
            self.looks.clear();
            self.first_look = Some(now);
        }
        self.last_look = Some(now);
        self.remove_unneeded(&all, now);
        let window = match self.looks.front().map(|(_, look)| look).or(self.baseline.as_ref()) {
            Some(earlier) => all.since(earlier),
            None => all.clone(),
        };
        let is_old_failing = is_old_failing(&window, &all);
        if is_old_failing {
            self.baseline = Some(all.clone());
        }
        let is_due = |(at, _): &(Instant, _)| now.saturating_duration_since(*at) >= LOOK_INTERVAL;
        if self.looks.back().is_none_or(is_due) {
            self.looks.push_back((now, all.clone()));
        }
        let since_recovery = self.baseline.as_ref().map(|baseline| {
            let mut since = all.since(baseline);
            since.set_recent(&window);
            since
        });
        let is_settled =
            self.first_look.is_some_and(|at| now.saturating_duration_since(at) >= WINDOW);
        Findings { all, since_recovery, is_old_failing, is_settled }
    }

    /// Removes the looks before the one at which the window starts.
    fn remove_unneeded(&mut self, all: &evidence::Combined, now: Instant) {
        let responses = |look: &evidence::Combined| {
            all.total().old.responses.saturating_sub(look.total().old.responses)
        };
        while let Some((at, look)) = self.looks.get(1) {
            let age = now.saturating_duration_since(*at);
            let is_enough = age >= WINDOW && responses(look) >= MIN_WINDOW_RESPONSES;
            if !is_enough && age < MAX_WINDOW {
                break;
            }
            self.looks.pop_front();
        }
    }
}

/// Returns whether the old version fails too many of the calls in `window` for a comparison, apart
/// from routes that fail whatever the version.
fn is_old_failing(window: &evidence::Combined, all: &evidence::Combined) -> bool {
    let old = window.total().old;
    if old.failed < MIN_OLD_FAILURES {
        return false;
    }
    let is_broken = |route: &str| {
        all.routes().get(route).is_some_and(|pair| {
            pair.old.responses >= MIN_ROUTE_RESPONSES
                && pair.old.failure_share() >= BROKEN_ROUTE_SHARE
        })
    };
    let broken = window.routes().iter().filter(|(route, _)| is_broken(route));
    let elsewhere = broken.fold(old, |others, (_, pair)| others.since(&pair.old));
    // If most calls go to broken routes, it is the version that fails.
    elsewhere.responses < old.responses / 2
        || (elsewhere.failed >= MIN_OLD_FAILURES && elsewhere.failure_share() >= FAILING_SHARE)
}
