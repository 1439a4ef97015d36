//! Rate limits by token buckets.

use std::cell::Cell;
use std::time::Instant;

/// A token bucket.
///
/// # Examples
///
/// ```
/// use basilhaven::budget;
///
/// // 6,000 bytes a second, and 100 at once.
/// let bucket = budget::Bucket::new(6_000.0, 100.0);
/// assert!(bucket.try_take(100.0));
/// assert!(!bucket.try_take(100.0));
/// ```
#[derive(Debug)]
pub struct Bucket {
    per_second: Cell<f64>,
    burst: f64,
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
}

impl Bucket {
    /// Creates a full bucket that gains `per_second` tokens per second and holds at most `burst`.
    pub fn new(per_second: f64, burst: f64) -> Bucket {
        Bucket {
            per_second: Cell::new(per_second),
            burst,
            tokens: Cell::new(burst),
            refilled_at: Cell::new(Instant::now()),
        }
    }

    /// Sets the rate at which the bucket gains tokens, from the last refill on.
    pub fn set_rate(&self, per_second: f64) {
        self.per_second.set(per_second);
    }

    /// Sets the number of tokens at the time `now`.
    pub fn set_tokens(&self, tokens: f64, now: Instant) {
        self.tokens.set(tokens);
        self.refilled_at.set(now);
    }

    /// Takes `amount` tokens if the bucket holds that many, and returns whether it did.
    pub fn try_take(&self, amount: f64) -> bool {
        let is_enough = self.tokens(Instant::now()) >= amount;
        if is_enough {
            self.tokens.set(self.tokens.get() - amount);
        }
        is_enough
    }

    /// Takes `amount` tokens unconditionally. The number of tokens may become negative.
    pub fn charge(&self, amount: f64) {
        self.tokens.set(self.tokens(Instant::now()) - amount);
    }

    /// Returns the number of tokens at the time `now`, after adding those for the time since the
    /// last refill.
    pub fn tokens(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.refilled_at.get()).as_secs_f64();
        self.refilled_at.set(now.max(self.refilled_at.get()));
        let tokens = (self.tokens.get() + passed * self.per_second.get()).min(self.burst);
        self.tokens.set(tokens);
        tokens
    }
}
