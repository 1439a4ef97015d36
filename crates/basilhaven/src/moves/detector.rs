//! Whether a new version is bad, by its calls against those of the old one.
//!
//! Two cumulative sums of log-likelihood ratios run for errors and two for slow calls: one tuned to a
//! mild fault, one to a gross one. What is normal is taken from the old version's last seconds, with a
//! margin. A sum that is high is a fault only if the old version has not changed as well: of the calls
//! since the sum began to rise, the new version's must be worse by an exact test.

use serde::{Deserialize, Serialize};

use super::evidence::{Pair, Tally};

/// A sum at this height may be a fault. It is the logarithm of the calls, at the least, between two
/// false alarms of one sum: the logarithm of 200,000.
const ALARM: f64 = 12.2;

/// A sum at this height is a fault when the old version has too few calls left to compare with.
const ALARM_ALONE: f64 = 3.0 * ALARM;

/// The old version has too few calls left below one in this many.
const ALONE_RATIO: u64 = 20;

/// The chance that two equal versions differ as much, below which they are not thought equal.
const SAME_CHANCE: f64 = 1e-4;

/// What slow calls of one batch may add at most: one short stall does not make a version slow.
const MAX_SLOW_STEP: f64 = ALARM / 3.0;

/// The mean age of the old version's calls that show what is normal, in seconds.
const MEMORY_SECONDS: f64 = 10.0;

/// What is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Fault {
    /// Its calls fail.
    #[display("errors")]
    Errors,
    /// Its calls take longer.
    #[display("slow")]
    Slow,
}

/// How one kind of event is judged.
#[derive(Debug, Clone, Copy)]
struct Tuning {
    /// What the old version's rate is multiplied by.
    margin: f64,
    /// What is added to it.
    floor: f64,
    /// A mild fault's rate is at least this much more than the normal one,
    mild_excess: f64,
    /// and at least this many times it.
    mild_factor: f64,
    /// A gross fault's rate.
    gross: f64,
}

const ERRORS: Tuning =
    Tuning { margin: 1.5, floor: 0.003, mild_excess: 0.045, mild_factor: 3.0, gross: 0.5 };

const SLOW: Tuning =
    Tuning { margin: 1.25, floor: 0.01, mild_excess: 0.05, mild_factor: 2.5, gross: 0.6 };

/// How often the old version's events occur.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    calls: f64,
    events: f64,
}

impl Rate {
    fn age(&mut self, seconds: f64) {
        let kept = (-seconds / MEMORY_SECONDS).exp();
        self.calls *= kept;
        self.events *= kept;
    }

    fn add(&mut self, counts: Counts) {
        self.calls += counts.calls as f64;
        self.events += counts.events as f64;
    }

    fn value(&self) -> f64 {
        // A few calls say little: as many that went well are thought added.
        self.events / (self.calls + 20.0)
    }
}

/// Calls, and how many of them were events.
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

/// One cumulative sum, and the calls since it began to rise.
#[derive(Debug, Clone, Copy, Default)]
struct Sum {
    height: f64,
    old: Counts,
    new: Counts,
}

impl Sum {
    fn add(&mut self, step: f64, old: Counts, new: Counts) {
        let height = self.height + step;
        if height <= 0.0 {
            *self = Sum::default();
            return;
        }
        self.height = height;
        self.old += old;
        self.new += new;
    }

    fn alarms(&self) -> bool {
        if self.height < ALARM {
            return false;
        }
        let alone = self.old.calls * ALONE_RATIO < self.new.calls;
        (alone && self.height >= ALARM_ALONE) || same_chance(self.old, self.new) < SAME_CHANCE
    }
}

/// Judges one kind of event.
#[derive(Debug, Clone, Copy)]
struct Test {
    tuning: Tuning,
    normal: Rate,
    mild: Sum,
    gross: Sum,
}

impl Test {
    fn new(tuning: Tuning) -> Test {
        Test { tuning, normal: Rate::default(), mild: Sum::default(), gross: Sum::default() }
    }

    fn observe(&mut self, old: Counts, new: Counts, max_step: f64) {
        self.normal.add(old);
        let Tuning { margin, floor, mild_excess, mild_factor, gross } = self.tuning;
        let normal = self.normal.value() * margin + floor;
        let mild = (normal + mild_excess).max(normal * mild_factor);
        for (sum, bad) in [(&mut self.mild, mild), (&mut self.gross, gross.max(mild))] {
            // Where the old version is as bad, nothing can be said of the new one.
            let step = if bad < 0.95 { log_ratio(new, normal, bad) } else { 0.0 };
            sum.add(step.min(max_step), old, new);
        }
    }

    fn alarms(&self) -> bool {
        self.mild.alarms() || self.gross.alarms()
    }
}

/// The logarithm of how much likelier the events are at the rate `bad` than at `normal`.
fn log_ratio(counts: Counts, normal: f64, bad: f64) -> f64 {
    let (calls, events) = (counts.calls as f64, counts.events as f64);
    events * (bad / normal).ln() + (calls - events) * ((1.0 - bad) / (1.0 - normal)).ln()
}

/// The chance that, of the events of two equal versions, as many or more fall on the new one: the tail
/// of the hypergeometric distribution.
fn same_chance(old: Counts, new: Counts) -> f64 {
    let events = old.events + new.events;
    let calls = old.calls + new.calls;
    let most = events.min(new.calls);
    let ways = ln_choose(calls, events);
    let chance = |on_new: u64| match events - on_new <= old.calls {
        true => (ln_choose(new.calls, on_new) + ln_choose(old.calls, events - on_new) - ways).exp(),
        false => 0.0,
    };
    (new.events..=most).map(chance).sum()
}

/// The logarithm of the number of ways to choose `k` out of `n`.
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

/// Judges one route.
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
    /// Takes in the calls of the last `seconds`; tells what is bad as soon as something is.
    pub fn observe(&mut self, batch: &Pair, seconds: f64) -> Option<Fault> {
        self.errors.normal.age(seconds);
        self.slow.normal.age(seconds);
        let errors = |t: &Tally| Counts { calls: t.calls, events: t.errors };
        let slow = |t: &Tally| Counts { calls: t.timed, events: t.slow };
        self.errors.observe(errors(&batch.old), errors(&batch.new), f64::INFINITY);
        self.slow.observe(slow(&batch.old), slow(&batch.new), MAX_SLOW_STEP);
        match (self.errors.alarms(), self.slow.alarms()) {
            (true, _) => Some(Fault::Errors),
            (false, true) => Some(Fault::Slow),
            (false, false) => None,
        }
    }
}

/// Whether nothing speaks against a version that goes on to a larger share: its events are no more
/// than the old version's, with the margin of [`Detector`] and three standard deviations of chance.
pub fn is_within_margin(pair: &Pair) -> bool {
    let rate = |events: u64, calls: u64| events as f64 / (calls as f64).max(1.0);
    let within = |tuning: Tuning, events: u64, calls: u64, old: f64| {
        let expected = (old * tuning.margin + tuning.floor) * calls as f64;
        events as f64 <= expected + 3.0 * expected.sqrt() + 1.0
    };
    let Pair { old, new } = pair;
    within(ERRORS, new.errors, new.calls, rate(old.errors, old.calls))
        && within(SLOW, new.slow, new.timed, rate(old.slow, old.timed))
}

impl Tally {
    /// The share of calls that failed and of those that were slow, in per cent, for a reader.
    pub fn percents(&self) -> (f64, f64) {
        let percent = |events: u64, calls: u64| match calls {
            0 => 0.0,
            _ => (events as f64 / calls as f64 * 1e4).round() / 1e2,
        };
        (percent(self.errors, self.calls), percent(self.slow, self.timed))
    }
}
