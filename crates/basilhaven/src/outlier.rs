//! Ejection of failing upstreams, and their readmission after a successful call.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Weight of one call in the moving average of the failure share.
const FAILURE_WEIGHT: f64 = 0.2;

/// Failure share above which an upstream is ejected.
const MAX_FAILURE_SHARE: f64 = 0.5;

/// Time from the ejection to the first trial call.
const MIN_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum time between two trial calls.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// The passive health state of an upstream: whether this host has ejected it for the failures of
/// its recent calls, so that it gets only single trial calls.
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
/// // After the backoff one trial call is admitted, and its success ends the ejection.
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
    /// When the next trial call is admitted.
    until: Instant,
    /// Time from the ejection or the last trial call to the next trial call; doubles with every
    /// trial call that fails.
    backoff: Duration,
}

impl Health {
    /// Returns `true` if the upstream is ejected, even if a trial call is admitted now.
    pub fn is_ejected(&self) -> bool {
        self.ejected.get().is_some()
    }

    /// Returns `true` if the upstream may get a call in addition to `in_flight` calls of this host.
    pub fn admits(&self, now: Instant, in_flight: u32) -> bool {
        self.ejected.get().is_none_or(|ejection| ejection.until <= now && in_flight == 0)
    }

    /// Records a successful call, which ends an ejection.
    pub fn record_success(&self) {
        self.failure_share.set(self.failure_share.get() * (1.0 - FAILURE_WEIGHT));
        self.ejected.set(None);
    }

    /// Records a failed call. Returns `true` if the failure share calls for an ejection.
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

    /// Ejects the upstream.
    pub fn eject(&self, now: Instant) {
        let until = now + MIN_BACKOFF;
        self.ejected.set(Some(Ejection { since: now, until, backoff: MIN_BACKOFF }));
    }

    /// Returns when the upstream was ejected, if it is.
    pub fn ejected_since(&self) -> Option<Instant> {
        self.ejected.get().map(|ejection| ejection.since)
    }

    /// Ends the ejection without a trial call. Earlier failures still count.
    pub fn readmit(&self) {
        self.ejected.set(None);
    }
}
