//! True time, and a steady clock that also counts the time in which the machine is suspended.

use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{clock_gettime, ClockId};

/// Largest change of the time of day against the steady clock that is followed at once. Slewing
/// changes it by at most half a millisecond a second.
const MAX_SLEW: Duration = Duration::from_millis(100);

/// How long a step of the time of day must have lasted until it is followed. A correction lasts; a
/// clock that is set wrongly is mostly set right within half a minute.
const STEP_HOLD: Duration = Duration::from_secs(30);

/// A moment on the steady clock, as the time since the start of the machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::From)]
pub struct Boot(Duration);

impl Boot {
    /// Returns the current moment.
    ///
    /// # Panics
    ///
    /// Panics if the operating system has no such clock.
    pub fn now() -> Boot {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock");
        Boot(Duration::from(time))
    }

    /// Returns the time since an earlier moment; zero if that is later.
    pub fn since(self, earlier: Boot) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment that is this much later.
    pub fn after(self, time: Duration) -> Boot {
        Boot(self.0.saturating_add(time))
    }

    /// Returns the moment that is this much earlier.
    pub fn before(self, time: Duration) -> Boot {
        Boot(self.0.saturating_sub(time))
    }
}

/// A moment in true time, as the time since the start of 1970.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::From)]
pub struct Wall(Duration);

impl Wall {
    /// Returns the time since the start of 1970.
    pub fn since_epoch(self) -> Duration {
        self.0
    }

    /// Returns the moment that is this much earlier.
    pub fn before(self, time: Duration) -> Wall {
        Wall(self.0.saturating_sub(time))
    }
}

/// What both clocks of the machine show at one moment.
#[derive(Debug, Clone, Copy)]
pub struct Reading {
    /// The steady clock.
    pub boot: Boot,
    /// The time of day, which may be stepped.
    pub day: Wall,
}

impl Reading {
    /// Reads both clocks.
    pub fn now() -> Reading {
        let day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Reading { boot: Boot::now(), day: Wall(day) }
    }

    /// Returns by how many nanoseconds the time of day is ahead of the steady clock.
    fn offset(&self) -> i128 {
        self.day.0.as_nanos() as i128 - self.boot.0.as_nanos() as i128
    }
}

/// Estimates true time: follows the machine's time of day, but a step of it only once the step has
/// lasted for half a minute.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use basilhaven::gateway::usage::clock::{Clock, Reading};
///
/// let at = |boot, day| Reading {
///     boot: Duration::from_secs(boot).into(),
///     day: Duration::from_secs(day).into(),
/// };
/// let clock = Clock::default();
/// assert_eq!(clock.observe(at(1, 1001)), Duration::from_secs(1001).into());
/// assert_eq!(clock.observe(at(2, 5002)), Duration::from_secs(1002).into());
/// assert_eq!(clock.observe(at(40, 5040)), Duration::from_secs(5040).into());
/// ```
#[derive(Debug, Default)]
pub struct Clock {
    /// By how much true time is ahead of the steady clock, in nanoseconds.
    offset: Cell<Option<i128>>,
    /// The offset after a step that is not followed yet, and since when it has been seen.
    step: Cell<Option<(i128, Boot)>>,
}

impl Clock {
    /// Takes a reading of the clocks into account, and returns the true time at that moment.
    pub fn observe(&self, reading: Reading) -> Wall {
        let seen = reading.offset();
        let is_close = |other: i128| other.abs_diff(seen) <= MAX_SLEW.as_nanos();
        let followed = match (self.offset.get(), self.step.get()) {
            (None, _) => seen,
            (Some(known), _) if is_close(known) => seen,
            (Some(known), Some((step, since))) if is_close(step) => {
                match reading.boot.since(since) >= STEP_HOLD {
                    true => seen,
                    false => known,
                }
            }
            (Some(known), _) => {
                self.step.set(Some((seen, reading.boot)));
                known
            }
        };
        if followed == seen {
            self.step.set(None);
        }
        self.offset.set(Some(followed));
        let nanos = u128::try_from(reading.boot.0.as_nanos() as i128 + followed).unwrap_or(0);
        Wall(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }

    /// Returns the current true time.
    pub fn now(&self) -> Wall {
        self.observe(Reading::now())
    }
}
