//! When an idempotent call is sent to a second upstream while the first has not answered yet.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::{call, name, retry, service};

/// The quantile of the latency after which a call is hedged.
const QUANTILE: f64 = 0.95;

/// How far one observation moves the estimate, as a share of it.
const STEP: f64 = 0.05;

/// Observations before the first hedge.
const MIN_OBSERVATIONS: u32 = 50;

/// The shortest delay; below it, hedging costs more than it saves.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// The hedging of one service on one host: a budget, and the delay after which it is spent.
///
/// # Examples
///
/// ```
/// use basilhaven::hedge;
/// use std::time::Duration;
///
/// let hedging = hedge::Hedging::default();
/// assert_eq!(hedging.delay(), None);
/// for i in 0..10_000 {
///     hedging.observe(Duration::from_millis(1 + i * 37 % 100));
/// }
/// let delay = hedging.delay().unwrap();
/// assert!(delay > Duration::from_millis(85) && delay < Duration::from_millis(105));
/// ```
#[derive(Debug, Default)]
pub struct Hedging {
    budget: retry::Budget,
    estimate: Cell<f64>,
    observations: Cell<u32>,
}

impl Hedging {
    /// The budget.
    pub fn budget(&self) -> &retry::Budget {
        &self.budget
    }

    /// Takes in how long an answer took.
    pub fn observe(&self, took: Duration) {
        let took = took.as_secs_f64();
        if self.observations.get() == 0 {
            self.estimate.set(took.max(MIN_DELAY.as_secs_f64() / 10.0));
        }
        self.observations.set(self.observations.get().saturating_add(1));
        self.step(took > self.estimate.get());
    }

    /// Takes in that an answer had not come when the delay had passed.
    pub fn observe_late(&self) {
        self.step(true);
    }

    fn step(&self, is_above: bool) {
        let factor = match is_above {
            true => 1.0 + STEP * QUANTILE,
            false => 1.0 - STEP * (1.0 - QUANTILE),
        };
        self.estimate.set(self.estimate.get() * factor);
    }

    /// How long to wait for the first upstream: the 95th percentile of the latency, once enough is
    /// known of it.
    pub fn delay(&self) -> Option<Duration> {
        let is_known = self.observations.get() >= MIN_OBSERVATIONS;
        is_known.then(|| Duration::from_secs_f64(self.estimate.get()).max(MIN_DELAY))
    }
}

/// An upstream for a second attempt of a call: one with a slot to spare besides those `tried`, within
/// the budget, and none while calls wait.
pub fn try_acquire(
    service: &Rc<service::Service>,
    call: &call::Call,
    tried: &[name::Name],
) -> Option<service::Permit> {
    let budget = service.hedging().budget();
    if service.queued() > 0 || !budget.can_spend() {
        return None;
    }
    let permit = service.try_acquire(call.class, call.idempotency, tried)?;
    let upstream = permit.upstream();
    let is_free = upstream.in_flight() <= upstream.slots()
        && upstream.report().is_none_or(|report| report.in_flight < report.slots);
    (is_free && !tried.contains(upstream.name()) && budget.try_spend()).then_some(permit)
}
