//! How much a host may send to an upstream that is cold.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The part of what a cold upstream bears that hosts use together; hosts count each other with a lag.
const USED_SHARE: f64 = 0.75;

/// The warm-up of one upstream, and this host's share of what it bears meanwhile.
#[derive(Debug, Default)]
pub struct Warmup {
    until: Cell<Option<Instant>>,
    next: Cell<Option<Instant>>,
}

impl Warmup {
    /// Notes that the upstream stays cold for `left` from now on.
    pub fn note(&self, now: Instant, left: Duration) {
        self.until.set((!left.is_zero()).then(|| now + left));
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.get().is_some_and(|until| now < until)
    }

    /// Whether this host may send a call now.
    pub fn admits(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.next.get().is_none_or(|next| now >= next)
    }

    /// Counts a call that this host sends, one of `hosts` that share `rate` calls a second.
    pub fn count(&self, now: Instant, rate: f64, hosts: usize) {
        let share = (rate * USED_SHARE / hosts.max(1) as f64).max(f64::MIN_POSITIVE);
        let pause = Duration::try_from_secs_f64(1.0 / share).unwrap_or(Duration::MAX);
        self.next.set(now.checked_add(pause));
    }
}
