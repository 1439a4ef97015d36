//! Hedging: sends an idempotent call to a second upstream if the first has not answered after a
//! delay.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use crate::{call, name, retry, service};

/// Quantile of the latency after which a call is hedged.
const QUANTILE: f64 = 0.95;

/// Relative change of the estimate by one observation.
const STEP: f64 = 0.05;

/// Number of observations before the first hedge.
const MIN_OBSERVATIONS: u32 = 50;

/// Minimum delay; below it, hedging costs more than it saves.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// The hedging state of one service on one host: a budget, and the delay before a hedge.
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
    /// Estimated quantile of the latency in seconds.
    estimate: Cell<f64>,
    observations: Cell<u32>,
}

impl Hedging {
    /// Returns the budget for hedges.
    pub fn budget(&self) -> &retry::Budget {
        &self.budget
    }

    /// Records the latency of a response.
    pub fn observe(&self, took: Duration) {
        let took = took.as_secs_f64();
        if self.observations.get() == 0 {
            self.estimate.set(took.max(MIN_DELAY.as_secs_f64() / 10.0));
        }
        self.observations.set(self.observations.get().saturating_add(1));
        self.step(took > self.estimate.get());
    }

    /// Records that no response had arrived within the delay before a hedge.
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

    /// Returns how long to wait for the first upstream: the estimated 95th percentile of the
    /// latency, or `None` until there are enough observations.
    pub fn delay(&self) -> Option<Duration> {
        let is_reliable = self.observations.get() >= MIN_OBSERVATIONS;
        is_reliable.then(|| Duration::from_secs_f64(self.estimate.get()).max(MIN_DELAY))
    }
}

/// Returns a permit for a second attempt of a call, if an upstream besides those in
/// `tried_upstreams` has a spare slot, the hedge budget allows the attempt and no call waits in the
/// queue.
pub fn try_acquire(
    service: &Rc<service::Service>,
    call: &call::Call,
    tried_upstreams: &[name::Name],
) -> Option<service::Permit> {
    let budget = service.hedging().budget();
    if service.queued() > 0 || !budget.can_spend() {
        return None;
    }
    let permit = service.try_acquire(call.class, call.idempotency, tried_upstreams)?;
    let upstream = permit.upstream();
    let has_spare_slot = upstream.in_flight() <= upstream.slots()
        && upstream.report().is_none_or(|report| report.in_flight < report.slots);
    (has_spare_slot && !tried_upstreams.contains(upstream.name()) && budget.try_spend())
        .then_some(permit)
}
