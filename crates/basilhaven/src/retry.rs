//! The budget for additional attempts of a service's calls: retries and hedges.

use std::cell::Cell;

/// Maximum number of attempts that can be saved up.
const MAX_SAVED: f64 = 10.0;

/// A budget of additional attempts that grows by a percentage of the service's calls.
///
/// It starts empty, so that a newly started host adds no load to a service that is already failing.
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
    /// Counts a call, which adds `percent` hundredths of an attempt to the budget.
    pub fn deposit(&self, percent: u8) {
        let saved = self.saved.get() + f64::from(percent) / 100.0;
        self.saved.set(saved.min(MAX_SAVED));
    }

    /// Returns `true` if the budget holds at least one attempt.
    pub fn can_spend(&self) -> bool {
        self.saved.get() >= 1.0
    }

    /// Spends one attempt if the budget holds one.
    pub fn try_spend(&self) -> bool {
        let has_enough = self.can_spend();
        if has_enough {
            self.saved.set(self.saved.get() - 1.0);
        }
        has_enough
    }
}
