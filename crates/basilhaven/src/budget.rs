//! Budgets that refill with time.

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
    level: Cell<f64>,
    filled: Cell<Instant>,
}

impl Bucket {
    /// A full bucket.
    pub fn new(per_second: f64, burst: f64) -> Bucket {
        let level = Cell::new(burst);
        Bucket { per_second, burst, level, filled: Cell::new(Instant::now()) }
    }

    /// Takes `amount` when there is that much.
    pub fn try_take(&self, amount: f64) -> bool {
        let enough = self.refilled() >= amount;
        if enough {
            self.level.set(self.level.get() - amount);
        }
        enough
    }

    /// Takes `amount` in any case; what was too much is missing later.
    pub fn charge(&self, amount: f64) {
        self.level.set(self.refilled() - amount);
    }

    fn refilled(&self) -> f64 {
        let now = Instant::now();
        let passed = now.duration_since(self.filled.replace(now)).as_secs_f64();
        let level = (self.level.get() + passed * self.per_second).min(self.burst);
        self.level.set(level);
        level
    }
}
