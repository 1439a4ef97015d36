//! Estimates of how fast an upstream currently is, compared with the baseline latency: the mean
//! latency of all calls of its service.
//!
//! A cold restart is a restart of an upstream's process without notice, after which its calls are
//! slow for a while; this host detects it by their latency.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// Weight of one call in the moving average that is a service's baseline latency.
const BASELINE_WEIGHT: f64 = 0.005;

/// Number of calls after which the baseline is reliable enough to judge upstreams by.
const MIN_BASELINE_CALLS: u32 = 20;

/// Time constant with which observations of an upstream decay, in multiples of the baseline
/// latency.
const WINDOW_LATENCIES: f64 = 24.0;

/// Number of calls at the baseline latency that are assumed before any observation.
const PRIOR_CALLS: f64 = 3.0;

/// Additional latency that a failed call counts for, in multiples of the baseline latency.
const FAILURE_LATENCIES: f64 = 8.0;

/// Expected slowdown factors of a transient slowdown and of an upstream that has restarted cold.
const TRANSIENT_SLOWDOWN: f64 = 4.0;
const COLD_RESTART_SLOWDOWN: f64 = 20.0;

/// Log-likelihood ratio of a cold restart against a transient slowdown that counts as detection.
const COLD_RESTART_EVIDENCE: f64 = 5.0;

/// Upper bound of the accumulated evidence: a few prompt responses outweigh a preceding pause of
/// any length.
const MAX_COLD_RESTART_EVIDENCE: f64 = 8.2;

/// Time for which the evidence must persist before it counts. It is longer than typical pauses of
/// processes and hosts.
const MIN_SUSPICION_TIME: Duration = Duration::from_millis(50);

/// The baseline latency of a service, over all its upstreams.
#[derive(Debug, Default)]
pub struct Baseline {
    mean_secs: Cell<Option<f64>>,
    calls: Cell<u32>,
}

impl Baseline {
    /// Returns the mean latency of the last few hundred calls, once a call has succeeded.
    pub fn latency(&self) -> Option<Duration> {
        self.mean_secs.get().map(Duration::from_secs_f64)
    }

    /// Returns the baseline latency once enough calls have succeeded to judge an upstream by it.
    pub fn reliable_latency(&self) -> Option<Duration> {
        self.latency().filter(|_| self.calls.get() >= MIN_BASELINE_CALLS)
    }

    /// Records the latency of a successful call.
    pub fn record(&self, took: Duration) {
        let took = took.as_secs_f64();
        self.calls.set(self.calls.get().saturating_add(1));
        let weight = BASELINE_WEIGHT.max(1.0 / f64::from(self.calls.get()));
        let mean = self.mean_secs.get().map_or(took, |mean| mean + (took - mean) * weight);
        self.mean_secs.set(Some(mean));
    }
}

/// Estimates an upstream's slowdown from its busy time and the number of its calls.
///
/// Calls in flight count with the time they have taken so far, so a slowdown shows before the first
/// slow call ends. Observations decay within a few baseline latencies.
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
/// // The call has not returned after ten times the baseline latency.
/// assert!(estimator.slowdown(start + ms(80), ms(8)) > 3.0);
/// ```
#[derive(Debug)]
pub struct Estimator {
    state: RefCell<State>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    /// The time to which the other fields apply.
    at: Instant,
    in_flight: u32,
    /// Seconds for which calls were in flight, summed over the calls; decays.
    busy_secs: f64,
    /// Number of calls that returned; decays.
    returned_calls: f64,
    /// Log-likelihood ratio of a cold restart against a transient slowdown. It does not decay,
    /// however rarely calls are sent.
    evidence: f64,
    /// The time since which every check has found enough evidence of a cold restart.
    suspected_since: Option<Instant>,
}

impl Estimator {
    /// Creates an estimator without observations.
    pub fn new(now: Instant) -> Estimator {
        let state = State {
            at: now,
            in_flight: 0,
            busy_secs: 0.0,
            returned_calls: 0.0,
            evidence: 0.0,
            suspected_since: None,
        };
        Estimator { state: RefCell::new(state) }
    }

    /// Returns `true` if the upstream has been so slow for so long that it must have restarted
    /// cold. The test is a cumulative sum (CUSUM) of the evidence for a cold restart against a
    /// transient slowdown.
    ///
    /// The evidence must persist over checks that are some time apart: after a pause of this
    /// process, calls seem to have taken long although their responses have arrived and are about
    /// to be read.
    pub fn detects_cold_restart(&self, now: Instant, baseline: Duration) -> bool {
        let mut state = self.state.borrow_mut();
        if state.at(now, baseline).evidence < COLD_RESTART_EVIDENCE {
            state.suspected_since = None;
            return false;
        }
        let since = *state.suspected_since.get_or_insert(now);
        now.saturating_duration_since(since) >= MIN_SUSPICION_TIME
    }

    /// Records that a call was sent.
    pub fn start(&self, now: Instant, baseline: Duration) {
        let mut state = self.state.borrow_mut();
        *state = state.at(now, baseline);
        state.in_flight += 1;
    }

    /// Records that a call returned a complete response.
    pub fn record_success(&self, now: Instant, baseline: Duration) {
        self.end(now, baseline, 1.0, 0.0);
        self.weaken_suspicion();
    }

    /// Records that a call failed. However fast it failed, it counts as a slow call.
    pub fn record_failure(&self, now: Instant, baseline: Duration) {
        self.end(now, baseline, 1.0, FAILURE_LATENCIES);
        self.weaken_suspicion();
    }

    /// Records that a call was cancelled after `took`, because its caller left or another attempt
    /// was answered. This says little about the upstream.
    ///
    /// A cancellation is not evidence against a cold restart: a hedged call is cancelled because it
    /// is slow.
    pub fn record_cancelled(&self, now: Instant, baseline: Duration, took: Duration) {
        let fraction = took.as_secs_f64() / baseline.as_secs_f64().max(f64::MIN_POSITIVE);
        self.end(now, baseline, fraction.min(1.0), 0.0);
    }

    /// Discards all observations. Calls in flight stay counted.
    pub fn reset(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        *state = State {
            at: now,
            busy_secs: 0.0,
            returned_calls: 0.0,
            evidence: 0.0,
            suspected_since: None,
            ..*state
        };
    }

    fn end(&self, now: Instant, baseline: Duration, calls: f64, added_latencies: f64) {
        let mut state = self.state.borrow_mut();
        *state = state.at(now, baseline);
        state.in_flight = state.in_flight.saturating_sub(1);
        state.returned_calls += calls;
        state.busy_secs += added_latencies * baseline.as_secs_f64();
    }

    /// Counts a returned call as evidence against a cold restart.
    fn weaken_suspicion(&self) {
        let mut state = self.state.borrow_mut();
        state.evidence =
            (state.evidence - (COLD_RESTART_SLOWDOWN / TRANSIENT_SLOWDOWN).ln()).max(0.0);
    }

    /// Returns the factor by which the upstream is slower than the baseline. The factor is at least
    /// 1, so that a few unusually fast calls or fast failures do not attract calls.
    pub fn slowdown(&self, now: Instant, baseline: Duration) -> f64 {
        let state = self.state.borrow().at(now, baseline);
        let baseline = baseline.as_secs_f64();
        if baseline <= 0.0 {
            return 1.0;
        }
        ((state.busy_secs / baseline + PRIOR_CALLS) / (state.returned_calls + PRIOR_CALLS)).max(1.0)
    }
}

impl State {
    /// Returns the state at `now`: observations have decayed, and calls in flight have taken
    /// longer.
    fn at(self, now: Instant, baseline: Duration) -> State {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let window = WINDOW_LATENCIES * baseline.as_secs_f64();
        if window <= 0.0 {
            return State { at: now, ..self };
        }
        let decay = (-passed / window).exp();
        let ran = f64::from(self.in_flight) * window * (1.0 - decay);
        let latencies = f64::from(self.in_flight) * passed / baseline.as_secs_f64();
        let evidence =
            self.evidence + latencies * (1.0 / TRANSIENT_SLOWDOWN - 1.0 / COLD_RESTART_SLOWDOWN);
        State {
            at: now,
            in_flight: self.in_flight,
            busy_secs: self.busy_secs * decay + ran,
            returned_calls: self.returned_calls * decay,
            evidence: evidence.min(MAX_COLD_RESTART_EVIDENCE),
            suspected_since: self.suspected_since,
        }
    }
}
