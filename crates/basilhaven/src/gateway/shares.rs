//! Divides the calls of one priority among organisations while they wait for upstreams.
//!
//! The load that this answers: a large organisation sends more calls than the upstreams can run,
//! and the calls of small ones wait behind them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;

/// What an organisation has used since calls began to wait, as in start-time fair queueing: of the
/// organisations with waiting calls, the one that has used least is served next.
#[derive(Debug, Default)]
pub struct Account {
    /// Work of the placed calls in seconds; never negative.
    used: Cell<f64>,
    /// Waiting calls.
    waiting: Cell<u32>,
}

impl Account {
    /// Returns the place of the organisation's calls among those of other organisations.
    pub fn order(&self) -> u64 {
        // The bits of numbers that are not negative have the order of the numbers.
        self.used.get().to_bits()
    }

    /// Records that a call with this much work was placed.
    pub fn charge(&self, work: Duration) {
        self.used.set(self.used.get() + work.as_secs_f64());
    }
}

/// A priority and an organisation.
type Key = (u32, Option<Rc<str>>);

/// The organisations whose calls wait for a service, by priority. Calls without an organisation
/// count as those of one.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use basilhaven::gateway::shares;
///
/// let shares = shares::Shares::default();
/// let (large, small) = (Some("large".into()), Some("small".into()));
/// let first = shares.join(0, large.clone());
/// let second = shares.join(0, large);
/// first.charge(Duration::from_millis(100));
/// shares.leave(&first);
/// let other = shares.join(0, small);
/// second.charge(Duration::from_millis(100));
/// assert!(other.order() < second.order());
/// ```
#[derive(Debug, Default)]
pub struct Shares {
    accounts: RefCell<IndexMap<Key, Rc<Account>>>,
}

impl Shares {
    /// Counts a call that begins to wait. An organisation without waiting calls so far joins those
    /// that have used least: what it has not used while it had no calls gives no claim.
    pub fn join(&self, priority: u32, organisation: Option<Rc<str>>) -> Rc<Account> {
        let mut accounts = self.accounts.borrow_mut();
        let of_priority = accounts.iter().filter(|((other, _), _)| *other == priority);
        let waiting = of_priority.filter(|(_, account)| account.waiting.get() > 0);
        let least = waiting.map(|(_, account)| account.used.get()).min_by(f64::total_cmp);
        let account = accounts.entry((priority, organisation)).or_default();
        if account.waiting.get() == 0 {
            account.used.set(account.used.get().max(least.unwrap_or(0.0)));
        }
        account.waiting.set(account.waiting.get() + 1);
        Rc::clone(account)
    }

    /// Counts a call that no longer waits. What was used is forgotten once no call waits.
    pub fn leave(&self, account: &Account) {
        account.waiting.set(account.waiting.get().saturating_sub(1));
        let mut accounts = self.accounts.borrow_mut();
        if accounts.values().all(|account| account.waiting.get() == 0) {
            accounts.clear();
        }
    }
}
