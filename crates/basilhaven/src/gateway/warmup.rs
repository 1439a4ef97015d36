//! How much a host may send to an upstream that is cold.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The part of what a cold upstream bears that hosts use together; hosts count each other with a lag.
const USED_SHARE: f64 = 0.75;

/// The longest that an upstream is taken to stay cold, whatever it or another host says.
const MAX_LEFT: Duration = Duration::from_secs(24 * 3600);

/// The warm-up of one upstream, and this host's share of what it bears meanwhile.
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
/// // Ten hosts share a call a second: this one's turn comes within the next 14 seconds, and once.
/// warmup.admits(now);
/// let later = now + Duration::from_secs(14);
/// assert!(warmup.admits(later));
/// warmup.record_call(later);
/// assert!(!warmup.admits(later));
/// ```
#[derive(Debug, Default)]
pub struct Warmup {
    until: Cell<Option<Instant>>,
    /// The time between two calls of this host.
    pause: Cell<Duration>,
    next: Cell<Option<Instant>>,
}

impl Warmup {
    /// Notes that the upstream stays cold for `left` from now on.
    pub fn set_remaining(&self, now: Instant, left: Duration) {
        if left.is_zero() {
            self.until.set(None);
            self.next.set(None);
        } else {
            self.until.set(Some(now + left.min(MAX_LEFT)));
        }
    }

    /// How much longer it is cold.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until.get().map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        !self.remaining(now).is_zero()
    }

    /// Notes this host's share of the `rate` calls a second that all hosts may send.
    pub fn set_rate(&self, rate: f64, share: f64) {
        let share = (rate * USED_SHARE * share).max(f64::MIN_POSITIVE);
        self.pause.set(Duration::try_from_secs_f64(1.0 / share).unwrap_or(Duration::MAX));
    }

    /// Whether this host may send a call now.
    ///
    /// Its first turn comes at random within a pause: all hosts learn at once that an upstream is cold.
    pub fn admits(&self, now: Instant) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let first = || now.checked_add(self.pause.get().mul_f64(fastrand::f64()));
        let next = self.next.get().or_else(first);
        self.next.set(next);
        next.is_some_and(|next| now >= next)
    }

    /// Counts a call that this host sends.
    pub fn record_call(&self, now: Instant) {
        if self.is_cold(now) {
            self.next.set(now.checked_add(self.pause.get()));
        }
    }
}
