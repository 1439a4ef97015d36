//! Warm-up of cold upstreams.
//!
//! A cold upstream has recently started and is slow until it has run some calls. At first it gets
//! one call at a time, from a single host, its cold-start owner. The limit rises as the latencies
//! of its responses give evidence that it is warm.

use std::cell::Cell;
use std::time::Duration;

/// Expected slowdown factor of a cold upstream that runs one call at a time.
const COLD_SLOWDOWN: f64 = 2.0;

/// Log-likelihood ratio of warm against cold from which an upstream counts as warm.
const WARM_EVIDENCE: f64 = 9.2;

/// Number of responses that suffice as evidence when there is no baseline to compare with.
const UNCOMPARED_RESPONSES: f64 = 256.0;

/// Number of responses after which the limit of calls in flight rises by one.
const STEP_RESPONSES: u32 = 16;

/// Whether an upstream is cold, as agreed between hosts, and how many calls may be in flight to it
/// meanwhile.
///
/// The generation is odd while the upstream is cold. It only increases, and the higher of two
/// generations wins, so hosts agree in whatever order they receive changes.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use basilhaven::warmup;
///
/// let ms = Duration::from_millis;
/// let warmup = warmup::Warmup::default();
/// warmup.mark_cold();
/// assert_eq!(warmup.max_in_flight(), 1);
/// // Responses as fast as the baseline, one at a time, are evidence that it is warm.
/// for _ in 0..100 {
///     warmup.record_success(ms(8), Some(ms(8)), 5);
/// }
/// assert!(warmup.max_in_flight() > 1);
/// ```
#[derive(Debug)]
pub struct Warmup {
    generation: Cell<u64>,
    max_in_flight: Cell<u32>,
    /// Log-likelihood ratio of warm against cold.
    evidence: Cell<f64>,
    /// Responses since `max_in_flight` last rose.
    step_responses: Cell<u32>,
}

impl Default for Warmup {
    fn default() -> Self {
        Warmup {
            generation: Cell::new(0),
            max_in_flight: Cell::new(1),
            evidence: Cell::new(0.0),
            step_responses: Cell::new(0),
        }
    }
}

impl Warmup {
    /// Returns the generation, by which hosts agree on the state.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Returns `true` if the upstream is cold.
    pub fn is_cold(&self) -> bool {
        self.generation.get() % 2 == 1
    }

    /// Returns the number of calls that may be in flight to the upstream while it is cold, over all
    /// hosts.
    pub fn max_in_flight(&self) -> u32 {
        self.max_in_flight.get()
    }

    /// Marks the upstream cold, or cold again.
    pub fn mark_cold(&self) {
        let step = if self.is_cold() { 2 } else { 1 };
        self.generation.set(self.generation.get() + step);
        self.restart();
    }

    /// Merges a generation received from another host. Returns `true` if it was newer.
    pub fn merge(&self, generation: u64) -> bool {
        let is_newer = generation > self.generation.get();
        if is_newer {
            self.generation.set(generation);
            self.restart();
        }
        is_newer
    }

    /// Records a successful call that took `took`, while the upstream is cold. `limit` is the
    /// upstream's limit of calls in flight when warm. Returns `true` if the upstream has become
    /// warm.
    pub fn record_success(&self, took: Duration, baseline: Option<Duration>, limit: u32) -> bool {
        if !self.is_cold() {
            return false;
        }
        if self.evidence.get() < WARM_EVIDENCE {
            self.add_evidence(took, baseline);
            return false;
        }
        self.step_responses.set(self.step_responses.get() + 1);
        if self.step_responses.get() < STEP_RESPONSES {
            return false;
        }
        self.step_responses.set(0);
        self.max_in_flight.set(self.max_in_flight.get() + 1);
        let is_warm = self.max_in_flight.get() >= limit;
        if is_warm {
            self.generation.set(self.generation.get() + 1);
        }
        is_warm
    }

    /// Restarts the warm-up with one call at a time, after a failure or a slowdown while cold.
    pub fn restart(&self) {
        self.max_in_flight.set(1);
        self.evidence.set(0.0);
        self.step_responses.set(0);
    }

    /// Adds the log-likelihood ratio of one latency, warm against cold, assuming exponentially
    /// distributed service times.
    fn add_evidence(&self, took: Duration, baseline: Option<Duration>) {
        let ratio = match baseline {
            Some(baseline) => {
                let latencies = took.as_secs_f64() / baseline.as_secs_f64().max(f64::MIN_POSITIVE);
                COLD_SLOWDOWN.ln() - latencies * (1.0 - 1.0 / COLD_SLOWDOWN)
            }
            None => WARM_EVIDENCE / UNCOMPARED_RESPONSES,
        };
        self.evidence.set((self.evidence.get() + ratio).max(0.0));
        if self.evidence.get() >= WARM_EVIDENCE {
            self.max_in_flight.set(2);
        }
    }
}
