//! Limits the rate of calls to an upstream during its cold start, in which it can take only few
//! calls.

use std::cell::Cell;
use std::time::{Duration, Instant};

use crate::budget;

/// Share of a cold upstream's rate that all hosts together use; the rest allows for the lag with
/// which hosts learn how many hosts there are.
const USED_SHARE: f64 = 0.75;

/// Maximum number of unused calls that a host may accumulate for one upstream.
const BURST: f64 = 1.0;

/// Upper bound on the remaining time of a cold start, whatever an upstream or another host reports.
const MAX_REMAINING: Duration = Duration::from_secs(24 * 3600);

/// The cold start of one upstream, and this host's share of the rate of calls that it can take
/// until it is warm.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use basilhaven::gateway::warmup;
///
/// let now = Instant::now();
/// let warmup = warmup::Warmup::default();
/// assert!(warmup.admits(now));
/// warmup.set_remaining(now, Duration::from_secs(60));
/// warmup.set_rate(1.0, 0.1);
/// // Ten hosts share one call per second: this one may send one call within the next 14 seconds.
/// warmup.admits(now);
/// let later = now + Duration::from_secs(14);
/// assert!(warmup.admits(later));
/// warmup.record_call(later);
/// assert!(!warmup.admits(later));
/// ```
#[derive(Debug)]
pub struct Warmup {
    /// When the cold start ends; `None` if the upstream is warm.
    until: Cell<Option<Instant>>,
    /// Calls that this host may send while the upstream is cold.
    calls: budget::Bucket,
}

impl Default for Warmup {
    fn default() -> Warmup {
        Warmup { until: Cell::default(), calls: budget::Bucket::new(0.0, BURST) }
    }
}

impl Warmup {
    /// Sets the remaining time of the cold start, counted from now; zero ends the cold start.
    pub fn set_remaining(&self, now: Instant, remaining: Duration) {
        if remaining.is_zero() {
            self.until.set(None);
            return;
        }
        if !self.is_cold(now) {
            // All hosts learn at the same time that an upstream is cold, and must not send their
            // first calls at the same time.
            self.calls.set_tokens(fastrand::f64(), now);
        }
        self.until.set(Some(now + remaining.min(MAX_REMAINING)));
    }

    /// Returns the remaining time of the cold start.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until.get().map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns whether the upstream is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        !self.remaining(now).is_zero()
    }

    /// Sets the calls per second that all hosts together may send to the upstream while it is cold,
    /// and this host's share of these calls.
    pub fn set_rate(&self, rate: f64, share: f64) {
        self.calls.set_rate(rate * USED_SHARE * share);
    }

    /// Returns whether this host may send the upstream a call now; always true if it is warm.
    pub fn admits(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.calls.tokens(now) >= 1.0
    }

    /// Records that this host sends the upstream a call now.
    pub fn record_call(&self, now: Instant) {
        if self.is_cold(now) {
            self.calls.charge(1.0);
        }
    }
}
