//! How many attempts beyond the first a service may spend.

use std::cell::Cell;

/// Attempts that may be saved up for a moment of need.
const MAX_SAVED: f64 = 10.0;

/// A share of the calls of a service, saved up call by call.
///
/// It starts empty: a host that has just started adds no load to a service that is failing already.
///
/// # Examples
///
/// ```
/// use basilhaven::retry;
///
/// let budget = retry::Budget::default();
/// for _ in 0..9 {
///     budget.deposit(10);
/// }
/// assert!(!budget.try_spend());
/// budget.deposit(10);
/// budget.deposit(10);
/// assert!(budget.try_spend());
/// ```
#[derive(Debug, Default)]
pub struct Budget {
    saved: Cell<f64>,
}

impl Budget {
    /// Counts a call, which adds `percent` hundredths of an attempt.
    pub fn deposit(&self, percent: u8) {
        let saved = self.saved.get() + f64::from(percent) / 100.0;
        self.saved.set(saved.min(MAX_SAVED));
    }

    /// Whether an attempt is saved.
    pub fn can_spend(&self) -> bool {
        self.saved.get() >= 1.0
    }

    /// Spends one attempt when that much is saved.
    pub fn try_spend(&self) -> bool {
        let enough = self.can_spend();
        if enough {
            self.saved.set(self.saved.get() - 1.0);
        }
        enough
    }
}
