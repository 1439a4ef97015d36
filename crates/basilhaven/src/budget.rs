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
    per_second: f64,
    burst: f64,
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
}

impl Bucket {
    /// Creates a full bucket that gains `per_second` tokens per second and holds at most `burst`.
    pub fn new(per_second: f64, burst: f64) -> Bucket {
        let tokens = Cell::new(burst);
        Bucket { per_second, burst, tokens, refilled_at: Cell::new(Instant::now()) }
    }

    /// Takes `amount` tokens if the bucket holds that many, and returns whether it did.
    pub fn try_take(&self, amount: f64) -> bool {
        let is_enough = self.refill() >= amount;
        if is_enough {
            self.tokens.set(self.tokens.get() - amount);
        }
        is_enough
    }

    /// Takes `amount` tokens unconditionally. The number of tokens may become negative.
    pub fn charge(&self, amount: f64) {
        self.tokens.set(self.refill() - amount);
    }

    /// Adds the tokens for the time since the last refill, and returns the number of tokens.
    fn refill(&self) -> f64 {
        let now = Instant::now();
        let passed = now.duration_since(self.refilled_at.replace(now)).as_secs_f64();
        let tokens = (self.tokens.get() + passed * self.per_second).min(self.burst);
        self.tokens.set(tokens);
        tokens
    }
}
