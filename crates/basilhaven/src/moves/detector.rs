//! Detects whether a new version is worse than the old one, by comparing their calls.
//!
//! For errors and for slow calls, two CUSUM tests (cumulative sums of log-likelihood ratios) run
//! side by side: one tuned to a mild fault (a moderately higher rate), one to a gross fault (most
//! calls affected). The normal rate is the old version's rate of the last seconds plus a margin. A
//! sum above the alarm threshold counts as a fault only if the old version has not become worse as
//! well: among the calls since the sum began to rise, the new version must be worse by Fisher's
//! exact test.
//!
//! An event is a failed call in the test for errors, and a slow call in the test for slow calls.

use serde::{Deserialize, Serialize};

use super::evidence::{Pair, Tally};

/// Alarm threshold of a sum. The mean number of calls between two false alarms of one sum is at
/// least e to the power of the threshold: 200,000 calls, as ln(200,000) = 12.2.
const ALARM_THRESHOLD: f64 = 12.2;

/// Alarm threshold of a sum without the exact test, for an old version with too few calls to
/// compare with.
const UNPAIRED_ALARM_THRESHOLD: f64 = 3.0 * ALARM_THRESHOLD;

/// Maximum ratio of the new version's calls to the old version's; above it, the old version has too
/// few calls to compare with.
const MAX_CALL_RATIO: u64 = 20;

/// Significance level of the exact test: the versions are considered different if a difference at
/// least as large as the observed one would arise by chance with a lower probability than this.
const SIGNIFICANCE_LEVEL: f64 = 1e-4;

/// Maximum increase of a sum by the slow calls of one batch, so that one short stall does not make
/// a version count as slow.
const MAX_SLOW_STEP: f64 = ALARM_THRESHOLD / 3.0;

/// Time constant of the exponential decay of the old version's counts, in seconds.
const DECAY_SECONDS: f64 = 10.0;

/// What is worse about a new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Fault {
    /// More of its calls fail.
    #[display("errors")]
    Errors,
    /// More of its calls are slow.
    #[display("slow")]
    Slow,
}

/// Parameters of the tests for one kind of event. The normal rate is the old version's rate times
/// `margin` plus `added_rate`. Rates are fractions of the calls, from 0 to 1.
#[derive(Debug, Clone, Copy)]
struct Tuning {
    /// Factor on the old version's rate.
    margin: f64,
    /// Rate added to that product, so that the normal rate is never zero.
    added_rate: f64,
    /// Minimum difference of a mild fault's rate from the normal rate.
    mild_excess: f64,
    /// Minimum ratio of a mild fault's rate to the normal rate.
    mild_factor: f64,
    /// Minimum rate of a gross fault.
    gross_rate: f64,
}

const ERRORS: Tuning = Tuning {
    margin: 1.5,
    added_rate: 0.003,
    mild_excess: 0.045,
    mild_factor: 3.0,
    gross_rate: 0.5,
};

const SLOW: Tuning =
    Tuning { margin: 1.25, added_rate: 0.01, mild_excess: 0.05, mild_factor: 2.5, gross_rate: 0.6 };

/// Event rate of the old version, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    calls: f64,
    events: f64,
}

impl Rate {
    fn decay(&mut self, seconds: f64) {
        let factor = (-seconds / DECAY_SECONDS).exp();
        self.calls *= factor;
        self.events *= factor;
    }

    fn add(&mut self, counts: Counts) {
        self.calls += counts.calls as f64;
        self.events += counts.events as f64;
    }

    fn value(&self) -> f64 {
        // A small sample gives no reliable rate: 20 calls without an event are added to it.
        self.events / (self.calls + 20.0)
    }
}

/// Number of calls, and of events among them.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    calls: u64,
    events: u64,
}

impl std::ops::AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.calls += other.calls;
        self.events += other.events;
    }
}

/// The cumulative sum of one CUSUM test, with the counts of both versions since the sum was last
/// zero.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    value: f64,
    old: Counts,
    new: Counts,
}

impl Sum {
    fn add(&mut self, step: f64, old: Counts, new: Counts) {
        let value = self.value + step;
        if value <= 0.0 {
            *self = Sum::default();
            return;
        }
        self.value = value;
        self.old += old;
        self.new += new;
    }

    fn is_alarm(&self) -> bool {
        if self.value < ALARM_THRESHOLD {
            return false;
        }
        let unpaired = self.old.calls * MAX_CALL_RATIO < self.new.calls;
        (unpaired && self.value >= UNPAIRED_ALARM_THRESHOLD)
            || p_value(self.old, self.new) < SIGNIFICANCE_LEVEL
    }
}

/// The two CUSUM tests, for a mild and for a gross fault, on one kind of event.
#[derive(Debug, Clone, Copy)]
struct Test {
    tuning: Tuning,
    /// Event rate of the old version, before the margin.
    old_rate: Rate,
    mild: Sum,
    gross: Sum,
}

impl Test {
    fn new(tuning: Tuning) -> Test {
        Test { tuning, old_rate: Rate::default(), mild: Sum::default(), gross: Sum::default() }
    }

    fn observe(&mut self, old: Counts, new: Counts, max_step: f64) {
        self.old_rate.add(old);
        let Tuning { margin, added_rate, mild_excess, mild_factor, gross_rate } = self.tuning;
        let normal_rate = self.old_rate.value() * margin + added_rate;
        let mild_rate = (normal_rate + mild_excess).max(normal_rate * mild_factor);
        for (sum, bad_rate) in
            [(&mut self.mild, mild_rate), (&mut self.gross, gross_rate.max(mild_rate))]
        {
            // A rate of a fault of 0.95 or more means that the old version's own rate is very high,
            // so that the comparison shows nothing.
            let step = if bad_rate < 0.95 { log_ratio(new, normal_rate, bad_rate) } else { 0.0 };
            sum.add(step.min(max_step), old, new);
        }
    }

    fn is_alarm(&self) -> bool {
        self.mild.is_alarm() || self.gross.is_alarm()
    }
}

/// Returns the logarithm of the ratio of the likelihood of `counts` at the event rate `bad_rate` to
/// that at `normal_rate`.
fn log_ratio(counts: Counts, normal_rate: f64, bad_rate: f64) -> f64 {
    let (calls, events) = (counts.calls as f64, counts.events as f64);
    events * (bad_rate / normal_rate).ln()
        + (calls - events) * ((1.0 - bad_rate) / (1.0 - normal_rate)).ln()
}

/// Returns the one-sided p-value of Fisher's exact test: the probability that, if the versions are
/// equal, at least this many of all events fall on the new one (the tail of the hypergeometric
/// distribution).
fn p_value(old: Counts, new: Counts) -> f64 {
    let events = old.events + new.events;
    let calls = old.calls + new.calls;
    let max_on_new = events.min(new.calls);
    let ways = ln_choose(calls, events);
    let probability = |on_new: u64| match events - on_new <= old.calls {
        true => (ln_choose(new.calls, on_new) + ln_choose(old.calls, events - on_new) - ways).exp(),
        false => 0.0,
    };
    (new.events..=max_on_new).map(probability).sum()
}

/// Returns the logarithm of the binomial coefficient of `n` and `k`.
fn ln_choose(n: u64, k: u64) -> f64 {
    ln_factorial(n) - ln_factorial(k) - ln_factorial(n - k)
}

fn ln_factorial(n: u64) -> f64 {
    if n < 16 {
        return (1..=n).map(|i| (i as f64).ln()).sum();
    }
    let n = n as f64;
    // Stirling's series.
    n * n.ln() - n + 0.5 * (std::f64::consts::TAU * n).ln() + 1.0 / (12.0 * n)
}

/// Compares the versions on the calls of one route.
#[derive(Debug, Clone, Copy)]
pub struct Detector {
    errors: Test,
    slow: Test,
}

impl Default for Detector {
    fn default() -> Detector {
        Detector { errors: Test::new(ERRORS), slow: Test::new(SLOW) }
    }
}

impl Detector {
    /// Records a batch of calls, which ended in the last `seconds`, and returns a fault if a test
    /// raises an alarm.
    pub fn observe(&mut self, batch: &Pair, seconds: f64) -> Option<Fault> {
        self.errors.old_rate.decay(seconds);
        self.slow.old_rate.decay(seconds);
        let errors = |t: &Tally| Counts { calls: t.calls, events: t.errors };
        let slow = |t: &Tally| Counts { calls: t.timed, events: t.slow };
        self.errors.observe(errors(&batch.old), errors(&batch.new), f64::INFINITY);
        self.slow.observe(slow(&batch.old), slow(&batch.new), MAX_SLOW_STEP);
        match (self.errors.is_alarm(), self.slow.is_alarm()) {
            (true, _) => Some(Fault::Errors),
            (false, true) => Some(Fault::Slow),
            (false, false) => None,
        }
    }
}

/// Returns whether the new version may receive a larger share: its numbers of errors and of slow
/// calls are at most what the normal rate (the old version's rate with the margin of [`Detector`])
/// predicts, plus three standard deviations and one call.
pub fn is_within_margin(pair: &Pair) -> bool {
    let rate = |events: u64, calls: u64| events as f64 / (calls as f64).max(1.0);
    let is_within = |tuning: Tuning, events: u64, calls: u64, old_rate: f64| {
        let expected = (old_rate * tuning.margin + tuning.added_rate) * calls as f64;
        events as f64 <= expected + 3.0 * expected.sqrt() + 1.0
    };
    let Pair { old, new } = pair;
    is_within(ERRORS, new.errors, new.calls, rate(old.errors, old.calls))
        && is_within(SLOW, new.slow, new.timed, rate(old.slow, old.timed))
}

impl Tally {
    /// Returns the percentages of failed and of slow calls, rounded to two decimals for display.
    pub fn percents(&self) -> (f64, f64) {
        let percent = |events: u64, calls: u64| match calls {
            0 => 0.0,
            _ => (events as f64 / calls as f64 * 1e4).round() / 1e2,
        };
        (percent(self.errors, self.calls), percent(self.slow, self.timed))
    }
}
