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
/// assert!(budget.try_spend(now, allowance, 0));
/// assert!(!budget.try_spend(now, allowance, 0));
/// (0..10).for_each(|_| budget.record_call(now));
/// assert!(budget.try_spend(now, allowance, 0));
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

/// Number of ranks that are told apart; 0 is the highest.
const RANK_COUNT: usize = 3;

/// The rank of the least urgent retries; larger ranks count as this one.
pub const LOWEST_RANK: usize = RANK_COUNT - 1;

/// Parts of the allowance that are kept for calls of higher rank whose retries were denied within
/// the window, by rank. As long as none was denied, an allowance serves all ranks alike.
const KEPT_PARTS: [f64; RANK_COUNT] = [0.0, 0.2, 0.4];

/// Part of the allowance that each rank may use in any case. Without it, lower ranks get almost
/// nothing while a higher one asks for more than the allowance.
const GUARANTEED_PART: f64 = 0.15;

/// What was counted in a slice, or in several.
#[derive(Debug, Default, Clone, Copy)]
struct Slice {
    calls: u32,
    /// Retries that were asked for, by rank.
    requested: [u32; RANK_COUNT],
    /// Retries that were spent, by rank.
    spent: [u32; RANK_COUNT],
}

impl Slice {
    fn add(mut self, other: &Slice) -> Slice {
        self.calls += other.calls;
        for rank in 0..RANK_COUNT {
            self.requested[rank] += other.requested[rank];
            self.spent[rank] += other.spent[rank];
        }
        self
    }

    /// Returns how many of the first `part` requested retries of a rank were denied.
    fn denied(&self, rank: usize, part: f64) -> f64 {
        (f64::from(self.requested[rank]).min(part) - f64::from(self.spent[rank])).max(0.0)
    }

    /// Returns whether this window leaves a retry to a call of this rank, out of `allowed`.
    fn admits(&self, rank: usize, allowed: f64) -> bool {
        let guaranteed = GUARANTEED_PART * allowed;
        let others = (0..RANK_COUNT).filter(|&other| other != rank);
        let owed: f64 = others.map(|other| self.denied(other, guaranteed)).sum();
        let denied: f64 = (0..rank).map(|higher| self.denied(higher, f64::INFINITY)).sum();
        let is_guaranteed = f64::from(self.spent[rank]) + 1.0 <= guaranteed;
        let kept = if is_guaranteed { 0.0 } else { denied.min(KEPT_PARTS[rank] * allowed) };
        let spent: u32 = self.spent.iter().sum();
        f64::from(spent) + 1.0 + owed.max(kept) <= allowed
    }
}

#[derive(Debug)]
struct State {
    /// Start of the current slice.
    since: Instant,
    /// The current slice first.
    slices: [Slice; SLICE_COUNT + 1],
}

impl Budget {
    /// Creates a budget with a window of this length.
    pub fn new(window: Duration) -> Budget {
        let state = State { since: Instant::now(), slices: Default::default() };
        Budget { slice_len: window / SLICE_COUNT as u32, state: RefCell::new(state) }
    }

    /// Records a call.
    pub fn record_call(&self, now: Instant) {
        self.advance(now);
        self.state.borrow_mut().slices[0].calls += 1;
    }

    /// Withdraws a recorded call, because another host sends it.
    pub fn withdraw_call(&self, now: Instant) {
        self.advance(now);
        let mut state = self.state.borrow_mut();
        state.slices[0].calls = state.slices[0].calls.saturating_sub(1);
    }

    /// Spends one retry of a call of this rank if the allowance of the window permits it; returns
    /// whether it does. While the allowance is short, its last part is kept for the higher ranks.
    pub fn try_spend(&self, now: Instant, allowance: Allowance, rank: usize) -> bool {
        self.advance(now);
        let rank = rank.min(LOWEST_RANK);
        let mut state = self.state.borrow_mut();
        let window = state.slices.iter().fold(Slice::default(), Slice::add);
        state.slices[0].requested[rank] += 1;
        let allowed = allowance.ratio * f64::from(window.calls) + allowance.slack;
        let is_admitted = window.admits(rank, allowed);
        if is_admitted {
            state.slices[0].spent[rank] += 1;
        }
        is_admitted
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
        state.slices[..SLICE_COUNT + 1 - kept].fill(Slice::default());
    }
}
