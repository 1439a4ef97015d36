//! How many sends beyond the first a host may spend, out of a budget that all hosts share.

use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Counts calls and repeated sends of one service over a sliding window.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use basilhaven::gateway::retries;
///
/// let now = Instant::now();
/// let budget = retries::Budget::new(Duration::from_secs(10));
/// let allowance = retries::Allowance { ratio: 0.1, slack: 1.0 };
/// assert!(budget.try_spend(now, allowance));
/// assert!(!budget.try_spend(now, allowance));
/// (0..10).for_each(|_| budget.record_call(now));
/// assert!(budget.try_spend(now, allowance));
/// ```
#[derive(Debug)]
pub struct Budget {
    slice: Duration,
    state: RefCell<State>,
}

/// What may be spent within a window.
#[derive(Debug, Clone, Copy)]
pub struct Allowance {
    /// Repeated sends for each call.
    pub ratio: f64,
    /// Repeated sends besides.
    pub slack: f64,
}

/// The part of the shared budget that hosts use together: their windows do not begin at the same time,
/// and they count each other with a lag.
const USED_SHARE: f64 = 0.85;

impl Allowance {
    /// What a host may spend that has this share of the slack; the ratio goes with each host's own calls.
    pub fn for_host(self, share: f64) -> Allowance {
        let slack = self.slack * USED_SHARE * share;
        Allowance { ratio: self.ratio * USED_SHARE, slack }
    }
}

/// Slices of a window; a slice is forgotten as a whole.
const SLICES: usize = 10;

#[derive(Debug)]
struct State {
    since: Instant,
    /// Calls and repeated sends, the current slice first.
    slices: [(u32, u32); SLICES + 1],
}

impl Budget {
    /// Nothing counted yet.
    pub fn new(window: Duration) -> Budget {
        let state = State { since: Instant::now(), slices: [(0, 0); SLICES + 1] };
        Budget { slice: window / SLICES as u32, state: RefCell::new(state) }
    }

    /// Counts a call.
    pub fn record_call(&self, now: Instant) {
        self.advance(now);
        self.state.borrow_mut().slices[0].0 += 1;
    }

    /// Spends one repeated send when the window has room for it.
    pub fn try_spend(&self, now: Instant, allowance: Allowance) -> bool {
        self.advance(now);
        let mut state = self.state.borrow_mut();
        let calls: u32 = state.slices.iter().map(|slice| slice.0).sum();
        let spent: u32 = state.slices.iter().map(|slice| slice.1).sum();
        let enough = f64::from(spent) + 1.0 <= allowance.ratio * f64::from(calls) + allowance.slack;
        if enough {
            state.slices[0].1 += 1;
        }
        enough
    }

    fn advance(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        let passed = now.saturating_duration_since(state.since);
        let slices = (passed.as_nanos() / self.slice.as_nanos().max(1)) as usize;
        if slices == 0 {
            return;
        }
        // What is left of the current slice still counts for the next one.
        let counted = u32::try_from(slices).ok().and_then(|slices| self.slice.checked_mul(slices));
        state.since = counted.map_or(now, |counted| state.since + counted);
        let kept = SLICES + 1 - slices.min(SLICES + 1);
        state.slices.copy_within(0..kept, SLICES + 1 - kept);
        state.slices[..SLICES + 1 - kept].fill((0, 0));
    }
}
