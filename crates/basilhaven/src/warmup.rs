//! Cold upstreams: how few calls one gets at first, and what evidence lets it have more.

use std::cell::Cell;
use std::time::Duration;

/// How many times slower than usual one call at a time is thought to be on a cold upstream.
const COLD_SLOWNESS: f64 = 2.0;

/// The log-likelihood ratio of warm against cold at which an upstream is taken for warm.
const WARM_EVIDENCE: f64 = 9.2;

/// Answers that do for evidence where there is no usual latency to compare with.
const UNCOMPARED_ANSWERS: f64 = 256.0;

/// Answers at one step of the ramp until the next.
const STEP_ANSWERS: u32 = 16;

/// Whether an upstream is cold, as agreed between hosts, and how far this host has ramped it up.
///
/// The generation is odd while the upstream is cold. It only ever rises, and of two the higher holds,
/// so hosts agree whatever order they hear of changes in.
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
/// // Answers as fast as usual, one at a time, are evidence that it is warm.
/// for _ in 0..100 {
///     warmup.record_success(ms(8), Some(ms(8)), 5);
/// }
/// assert!(warmup.max_in_flight() > 1);
/// ```
#[derive(Debug)]
pub struct Warmup {
    generation: Cell<u64>,
    max_in_flight: Cell<u32>,
    evidence: Cell<f64>,
    step_answers: Cell<u32>,
}

impl Default for Warmup {
    fn default() -> Self {
        Warmup {
            generation: Cell::new(0),
            max_in_flight: Cell::new(1),
            evidence: Cell::new(0.0),
            step_answers: Cell::new(0),
        }
    }
}

impl Warmup {
    /// What hosts agree by.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Whether it is cold.
    pub fn is_cold(&self) -> bool {
        self.generation.get() % 2 == 1
    }

    /// Calls that may be in flight to it while it is cold, over all hosts together.
    pub fn max_in_flight(&self) -> u32 {
        self.max_in_flight.get()
    }

    /// It is cold from now on, or again.
    pub fn mark_cold(&self) {
        let step = if self.is_cold() { 2 } else { 1 };
        self.generation.set(self.generation.get() + step);
        self.restart();
    }

    /// Takes in the generation that a peer tells; tells whether it was news.
    pub fn merge(&self, generation: u64) -> bool {
        let is_news = generation > self.generation.get();
        if is_news {
            self.generation.set(generation);
            self.restart();
        }
        is_news
    }

    /// It was answered while cold, without a fault, after `took`; `limit` is what it gets when warm.
    /// Tells whether it is warm now.
    pub fn record_success(&self, took: Duration, usual: Option<Duration>, limit: u32) -> bool {
        if !self.is_cold() {
            return false;
        }
        if self.evidence.get() < WARM_EVIDENCE {
            self.add_evidence(took, usual);
            return false;
        }
        self.step_answers.set(self.step_answers.get() + 1);
        if self.step_answers.get() < STEP_ANSWERS {
            return false;
        }
        self.step_answers.set(0);
        self.max_in_flight.set(self.max_in_flight.get() + 1);
        let is_warm = self.max_in_flight.get() >= limit;
        if is_warm {
            self.generation.set(self.generation.get() + 1);
        }
        is_warm
    }

    /// It failed, or got slow, while cold: the ramp starts anew.
    pub fn restart(&self) {
        self.max_in_flight.set(1);
        self.evidence.set(0.0);
        self.step_answers.set(0);
    }

    /// Adds the log-likelihood ratio of one latency, warm against cold, for exponential service times.
    fn add_evidence(&self, took: Duration, usual: Option<Duration>) {
        let ratio = match usual {
            Some(usual) => {
                let latencies = took.as_secs_f64() / usual.as_secs_f64().max(f64::MIN_POSITIVE);
                COLD_SLOWNESS.ln() - latencies * (1.0 - 1.0 / COLD_SLOWNESS)
            }
            None => WARM_EVIDENCE / UNCOMPARED_ANSWERS,
        };
        self.evidence.set((self.evidence.get() + ratio).max(0.0));
        if self.evidence.get() >= WARM_EVIDENCE {
            self.max_in_flight.set(2);
        }
    }
}
