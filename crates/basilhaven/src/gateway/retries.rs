//! Limits retries to this host's share of a budget that all hosts have in common.

use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Counts the calls and retries of one service over a sliding window.
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
    slice_len: Duration,
    state: RefCell<State>,
}

/// The retries that are allowed within a window.
#[derive(Debug, Clone, Copy)]
pub struct Allowance {
    /// Retries per call.
    pub ratio: f64,
    /// Retries that are allowed in addition, whatever the number of calls.
    pub slack: f64,
}

/// Share of the common budget that all hosts together use. The rest allows for windows that do not
/// begin at the same time, and for the lag with which hosts learn how many hosts there are.
const USED_SHARE: f64 = 0.85;

impl Allowance {
    /// Returns the allowance of one host with this share of the slack. The ratio is not divided,
    /// since it applies to the host's own calls.
    pub fn for_host(self, share: f64) -> Allowance {
        let slack = self.slack * USED_SHARE * share;
        Allowance { ratio: self.ratio * USED_SHARE, slack }
    }
}

/// Slices of a window; each expires as a whole.
const SLICE_COUNT: usize = 10;

#[derive(Debug)]
struct State {
    /// Start of the current slice.
    since: Instant,
    /// Calls and retries of each slice, the current one first.
    slices: [(u32, u32); SLICE_COUNT + 1],
}

impl Budget {
    /// Creates a budget with a window of this length.
    pub fn new(window: Duration) -> Budget {
        let state = State { since: Instant::now(), slices: [(0, 0); SLICE_COUNT + 1] };
        Budget { slice_len: window / SLICE_COUNT as u32, state: RefCell::new(state) }
    }

    /// Records a call.
    pub fn record_call(&self, now: Instant) {
        self.advance(now);
        self.state.borrow_mut().slices[0].0 += 1;
    }

    /// Withdraws a recorded call, because another host sends it.
    pub fn withdraw_call(&self, now: Instant) {
        self.advance(now);
        let mut state = self.state.borrow_mut();
        state.slices[0].0 = state.slices[0].0.saturating_sub(1);
    }

    /// Spends one retry if the allowance of the window permits it; returns whether it does.
    pub fn try_spend(&self, now: Instant, allowance: Allowance) -> bool {
        self.advance(now);
        let mut state = self.state.borrow_mut();
        let calls: u32 = state.slices.iter().map(|slice| slice.0).sum();
        let spent: u32 = state.slices.iter().map(|slice| slice.1).sum();
        let is_allowed =
            f64::from(spent) + 1.0 <= allowance.ratio * f64::from(calls) + allowance.slack;
        if is_allowed {
            state.slices[0].1 += 1;
        }
        is_allowed
    }

    /// Drops the slices that have left the window.
    fn advance(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        let elapsed = now.saturating_duration_since(state.since);
        let slices = (elapsed.as_nanos() / self.slice_len.as_nanos().max(1)) as usize;
        if slices == 0 {
            return;
        }
        // The time passed since the end of the last full slice counts towards the new one.
        let counted =
            u32::try_from(slices).ok().and_then(|slices| self.slice_len.checked_mul(slices));
        state.since = counted.map_or(now, |counted| state.since + counted);
        let kept = SLICE_COUNT + 1 - slices.min(SLICE_COUNT + 1);
        state.slices.copy_within(0..kept, SLICE_COUNT + 1 - kept);
        state.slices[..SLICE_COUNT + 1 - kept].fill((0, 0));
    }
}
