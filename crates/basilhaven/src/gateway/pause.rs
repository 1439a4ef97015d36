//! The time for which an upstream that has turned a call away wants nothing from this host.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Upper bound on the time, whatever an upstream says.
const MAX_TIME: Duration = Duration::from_secs(24 * 3600);

/// Longest random delay after the end of the time, and its share of the time: hosts that were
/// turned away together do not return together.
const MAX_SPREAD: Duration = Duration::from_millis(250);
const SPREAD_SHARE: f64 = 0.1;

/// How long an upstream wants nothing: finite, not negative, and at most a day.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use basilhaven::gateway::pause;
///
/// let time: pause::Time = "1.5".parse().unwrap();
/// assert_eq!(time.duration(), Duration::from_millis(1500));
/// assert_eq!("-1".parse::<pause::Time>(), Err(pause::Error::OutOfRange));
/// assert_eq!("soon".parse::<pause::Time>(), Err(pause::Error::NotANumber));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(Duration);

/// Why a time is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The text is not a decimal number.
    #[display("the time is not a decimal number of seconds")]
    NotANumber,
    /// The number is negative or not finite.
    #[display("the time is negative or not finite")]
    OutOfRange,
}

impl Time {
    /// Returns the time as a duration.
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl TryFrom<f64> for Time {
    type Error = Error;

    fn try_from(seconds: f64) -> Result<Time, Error> {
        match seconds.is_finite() && seconds >= 0.0 {
            true => {
                let seconds = seconds.min(MAX_TIME.as_secs_f64());
                Ok(Time(Duration::from_secs_f64(seconds)))
            }
            false => Err(Error::OutOfRange),
        }
    }
}

impl std::str::FromStr for Time {
    type Err = Error;

    fn from_str(text: &str) -> Result<Time, Error> {
        text.trim().parse::<f64>().map_err(|_| Error::NotANumber)?.try_into()
    }
}

/// Until when an upstream wants nothing from this host.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use basilhaven::gateway::pause;
///
/// let now = Instant::now();
/// let pause = pause::Pause::default();
/// assert!(!pause.is_active(now));
/// pause.begin("2".parse().unwrap(), now);
/// assert!(pause.is_active(now + Duration::from_secs(2)));
/// assert!(!pause.is_active(now + Duration::from_secs(3)));
/// ```
#[derive(Debug, Default)]
pub struct Pause {
    until: Cell<Option<Instant>>,
}

impl Pause {
    /// Begins a pause, or extends the one that is active; returns whether none was active.
    pub fn begin(&self, time: Time, now: Instant) -> bool {
        let was_active = self.is_active(now);
        let spread = time.0.mul_f64(SPREAD_SHARE).min(MAX_SPREAD).mul_f64(fastrand::f64());
        let until = now + time.0 + spread;
        self.until.set(Some(self.until.get().map_or(until, |known| known.max(until))));
        !was_active && !time.0.is_zero()
    }

    /// Ends the pause, because the upstream has started anew.
    pub fn end(&self) {
        self.until.set(None);
    }

    /// Returns whether the upstream wants nothing from this host now.
    pub fn is_active(&self, now: Instant) -> bool {
        self.until(now).is_some()
    }

    /// Returns the end of the pause; `None` if it is over.
    pub fn until(&self, now: Instant) -> Option<Instant> {
        self.until.get().filter(|until| now <= *until)
    }

    /// Returns when the first of these pauses ends; `None` unless all are active.
    pub fn first_end<'a, I>(pauses: I, now: Instant) -> Option<Instant>
    where
        I: IntoIterator<Item = &'a Pause>,
    {
        let ends: Option<Vec<Instant>> = pauses.into_iter().map(|pause| pause.until(now)).collect();
        ends?.into_iter().min()
    }
}
