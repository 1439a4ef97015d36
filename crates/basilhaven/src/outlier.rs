//! Ejection of upstreams that fail, and their way back by real calls.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The weight of one call in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// The share of failures above which an upstream is ejected.
const MAX_FAILURE_SHARE: f64 = 0.5;

/// How long a first ejection lasts until one call is let through.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// The longest time between two such calls.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Whether an upstream gets calls, by how its last ones ended on this host.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use basilhaven::outlier;
///
/// let now = Instant::now();
/// let health = outlier::Health::default();
/// while !health.record_failure(now) {}
/// health.eject(now);
/// assert!(!health.admits(now, 0));
/// // After a while one call is let through, and its success ends the ejection.
/// let later = now + Duration::from_secs(1);
/// assert!(health.admits(later, 0) && !health.admits(later, 1));
/// health.record_success();
/// assert!(health.admits(later, 1));
/// ```
#[derive(Debug, Default)]
pub struct Health {
    failure_share: Cell<f64>,
    ejected: Cell<Option<Ejection>>,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    since: Instant,
    until: Instant,
    backoff: Duration,
}

impl Health {
    /// Whether it is ejected, be it that a call is let through now.
    pub fn is_ejected(&self) -> bool {
        self.ejected.get().is_some()
    }

    /// Whether it may get a call beside `in_flight` others.
    pub fn admits(&self, now: Instant, in_flight: u32) -> bool {
        self.ejected.get().is_none_or(|ejection| ejection.until <= now && in_flight == 0)
    }

    /// A call was answered without a fault.
    pub fn record_success(&self) {
        self.failure_share.set(self.failure_share.get() * (1.0 - FAILURE_WEIGHT));
        self.ejected.set(None);
    }

    /// A call failed; tells whether so many have that it should be ejected.
    pub fn record_failure(&self, now: Instant) -> bool {
        let share = self.failure_share.get();
        self.failure_share.set(share + (1.0 - share) * FAILURE_WEIGHT);
        match self.ejected.get() {
            Some(ejection) if ejection.until <= now => {
                let backoff = (ejection.backoff * 2).min(MAX_BACKOFF);
                let until = now + backoff;
                self.ejected.set(Some(Ejection { until, backoff, ..ejection }));
                false
            }
            Some(_) => false,
            None => self.failure_share.get() > MAX_FAILURE_SHARE,
        }
    }

    /// Ejects it.
    pub fn eject(&self, now: Instant) {
        let until = now + MIN_BACKOFF;
        self.ejected.set(Some(Ejection { since: now, until, backoff: MIN_BACKOFF }));
    }

    /// When it was ejected, while it is.
    pub fn ejected_since(&self) -> Option<Instant> {
        self.ejected.get().map(|ejection| ejection.since)
    }

    /// Ends its ejection without a trial; what it failed before still counts against it.
    pub fn readmit(&self) {
        self.ejected.set(None);
    }
}
