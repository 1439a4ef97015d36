//! How fast an upstream is now, compared with its service.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// The weight of one call in a service's usual latency.
const USUAL_WEIGHT: f64 = 0.005;

/// Calls until a mean is taken for usual by those who judge upstreams by it.
const USUAL_CALLS: u32 = 20;

/// How long what was seen of an upstream counts, in usual latencies of its service.
const WINDOW_LATENCIES: f64 = 24.0;

/// Calls of the usual latency that are assumed before any was seen.
const PRIOR_CALLS: f64 = 3.0;

/// What a failed call counts as having taken, in usual latencies.
const FAILURE_LATENCIES: f64 = 8.0;

/// The slowdown of a passing slow-down, and that of an upstream that fell back into a cold start.
const SLOW_DOWN: f64 = 4.0;
const RELAPSE: f64 = 20.0;

/// The log-likelihood ratio of a relapse against a slow-down at which it is taken for one.
const RELAPSE_EVIDENCE: f64 = 5.0;

/// The most evidence that is kept: a few answers in time outweigh however long a pause before them.
const MAX_RELAPSE_EVIDENCE: f64 = 8.2;

/// How long the evidence must stand before it is believed: longer than processes and hosts pause.
const RELAPSE_STANDING: Duration = Duration::from_millis(50);

/// The usual latency of a service, over all its upstreams.
#[derive(Debug, Default)]
pub struct Baseline {
    seconds: Cell<Option<f64>>,
    calls: Cell<u32>,
}

impl Baseline {
    /// The mean over the last few hundred calls, once one was answered.
    pub fn latency(&self) -> Option<Duration> {
        self.seconds.get().map(Duration::from_secs_f64)
    }

    /// The same once enough calls were answered to judge an upstream by it.
    pub fn reliable_latency(&self) -> Option<Duration> {
        self.latency().filter(|_| self.calls.get() >= USUAL_CALLS)
    }

    /// Takes in the latency of a call that was answered without a fault.
    pub fn record(&self, took: Duration) {
        let took = took.as_secs_f64();
        self.calls.set(self.calls.get().saturating_add(1));
        let weight = USUAL_WEIGHT.max(1.0 / f64::from(self.calls.get()));
        let mean = self.seconds.get().map_or(took, |mean| mean + (took - mean) * weight);
        self.seconds.set(Some(mean));
    }
}

/// An estimate of an upstream's slowdown out of its busy time and its calls.
///
/// Calls that still run count with the time that they have taken so far, so a slow-down is seen before
/// the first slow call ends; and what was seen is forgotten within a few usual latencies.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use basilhaven::load;
///
/// let ms = Duration::from_millis;
/// let start = Instant::now();
/// let estimator = load::Estimator::new(start);
/// estimator.start(start, ms(8));
/// assert!(estimator.slowdown(start, ms(8)) < 1.1);
/// // The call has not come back after ten times the usual latency.
/// assert!(estimator.slowdown(start + ms(80), ms(8)) > 3.0);
/// ```
#[derive(Debug)]
pub struct Estimator {
    state: RefCell<State>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    at: Instant,
    in_flight: u32,
    /// Seconds that calls were in flight, and calls that came back; older ones count less.
    busy: f64,
    calls: f64,
    /// The evidence of a relapse; it is kept, however rarely calls are sent.
    relapse: f64,
    /// Since when each look has found enough of it.
    suspected: Option<Instant>,
}

impl Estimator {
    /// Nothing seen yet.
    pub fn new(now: Instant) -> Estimator {
        let state =
            State { at: now, in_flight: 0, busy: 0.0, calls: 0.0, relapse: 0.0, suspected: None };
        Estimator { state: RefCell::new(state) }
    }

    /// Whether it is so slow, and for so long, that it has fallen back into a cold start: a cumulative
    /// sum of the evidence for that against a passing slow-down.
    ///
    /// The evidence must be found again at looks that are some time apart: after a pause of this host
    /// calls seem to have taken long whose answers have arrived already, and are about to be read.
    pub fn detects_cold_restart(&self, now: Instant, baseline: Duration) -> bool {
        let mut state = self.state.borrow_mut();
        if state.at(now, baseline).relapse < RELAPSE_EVIDENCE {
            state.suspected = None;
            return false;
        }
        let since = *state.suspected.get_or_insert(now);
        now.saturating_duration_since(since) >= RELAPSE_STANDING
    }

    /// A call is sent.
    pub fn start(&self, now: Instant, baseline: Duration) {
        let mut state = self.state.borrow_mut();
        *state = state.at(now, baseline);
        state.in_flight += 1;
    }

    /// A call came back, whole.
    pub fn record_success(&self, now: Instant, baseline: Duration) {
        self.end(now, baseline, 1.0, 0.0);
        self.come_back();
    }

    /// A call failed: however fast, it counts as a slow one.
    pub fn record_failure(&self, now: Instant, baseline: Duration) {
        self.end(now, baseline, 1.0, FAILURE_LATENCIES);
        self.come_back();
    }

    /// A call ended that says nothing, since its caller left after `took`.
    ///
    /// Against a relapse it says nothing: a call that is hedged is given up because it is slow.
    pub fn record_cancelled(&self, now: Instant, baseline: Duration, took: Duration) {
        let part = took.as_secs_f64() / baseline.as_secs_f64().max(f64::MIN_POSITIVE);
        self.end(now, baseline, part.min(1.0), 0.0);
    }

    /// Forgets what was seen; calls in flight stay counted.
    pub fn reset(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        *state = State { at: now, busy: 0.0, calls: 0.0, relapse: 0.0, suspected: None, ..*state };
    }

    fn end(&self, now: Instant, baseline: Duration, calls: f64, added_latencies: f64) {
        let mut state = self.state.borrow_mut();
        *state = state.at(now, baseline);
        state.in_flight = state.in_flight.saturating_sub(1);
        state.calls += calls;
        state.busy += added_latencies * baseline.as_secs_f64();
    }

    /// Weighs that a call came back as evidence against a relapse.
    fn come_back(&self) {
        let mut state = self.state.borrow_mut();
        state.relapse = (state.relapse - (RELAPSE / SLOW_DOWN).ln()).max(0.0);
    }

    /// How many times slower than usual it is; 1 at least, so that luck or haste attract nothing.
    pub fn slowdown(&self, now: Instant, baseline: Duration) -> f64 {
        let state = self.state.borrow().at(now, baseline);
        let baseline = baseline.as_secs_f64();
        if baseline <= 0.0 {
            return 1.0;
        }
        ((state.busy / baseline + PRIOR_CALLS) / (state.calls + PRIOR_CALLS)).max(1.0)
    }
}

impl State {
    /// The state at `now`: what was seen has faded, and calls in flight have gone on.
    fn at(self, now: Instant, baseline: Duration) -> State {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let window = WINDOW_LATENCIES * baseline.as_secs_f64();
        if window <= 0.0 {
            return State { at: now, ..self };
        }
        let kept = (-passed / window).exp();
        let ran = f64::from(self.in_flight) * window * (1.0 - kept);
        let latencies = f64::from(self.in_flight) * passed / baseline.as_secs_f64();
        let relapse = self.relapse + latencies * (1.0 / SLOW_DOWN - 1.0 / RELAPSE);
        State {
            at: now,
            in_flight: self.in_flight,
            busy: self.busy * kept + ran,
            calls: self.calls * kept,
            relapse: relapse.min(MAX_RELAPSE_EVIDENCE),
            suspected: self.suspected,
        }
    }
}
