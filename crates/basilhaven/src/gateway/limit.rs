//! The rate of calls that an upstream names while it is short of capacity: how many calls per
//! second it takes from all hosts together.

use std::cell::Cell;
use std::time::{Duration, Instant};

use crate::budget;

/// A number of calls per second, of at most [`Rate::MAX`]. One of less than a call a day is 0.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::limit;
///
/// assert_eq!("3.5".parse::<limit::Rate>().unwrap().per_second(), 3.5);
/// assert_eq!("0.000000000000000001".parse::<limit::Rate>().unwrap().per_second(), 0.0);
/// assert_eq!("-1".parse::<limit::Rate>(), Err(limit::Error::OutOfRange));
/// assert_eq!("few".parse::<limit::Rate>(), Err(limit::Error::NotANumber));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// Why a rate is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The text is not a decimal number.
    #[display("the rate is not a decimal number")]
    NotANumber,
    /// The number is negative or not finite.
    #[display("the rate is negative or not finite")]
    OutOfRange,
}

/// The longest time that is waited for a call under a rate.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3600);

impl Rate {
    /// The highest rate, in calls per second; higher ones are no limit to any host.
    pub const MAX: f64 = 1e9;

    /// Returns the number of calls per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = Error;

    fn try_from(per_second: f64) -> Result<Rate, Error> {
        match per_second.is_finite() && per_second >= 0.0 {
            true if per_second * MAX_WAIT.as_secs_f64() < 1.0 => Ok(Rate(0.0)),
            true => Ok(Rate(per_second.min(Rate::MAX))),
            false => Err(Error::OutOfRange),
        }
    }
}

impl std::str::FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Rate, Error> {
        text.trim().parse::<f64>().map_err(|_| Error::NotANumber)?.try_into()
    }
}

/// Maximum number of unused calls that a host may accumulate for one upstream.
const BURST: f64 = 4.0;

/// Age of the last response above which the upstream may have ceased to name a rate.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// The rate that one upstream has named last, and the calls that this host may send under it.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use basilhaven::gateway::limit;
///
/// let now = Instant::now();
/// let limit = limit::Limit::default();
/// assert!(limit.admits(now));
/// limit.record("1".parse().ok(), now);
/// limit.set_share(1.0, now);
/// assert!(!limit.admits(now));
/// let later = now + Duration::from_secs(1);
/// assert!(limit.admits(later));
/// limit.record_call(later);
/// assert!(!limit.admits(later));
/// ```
#[derive(Debug)]
pub struct Limit {
    rate: Cell<Option<Rate>>,
    reported_at: Cell<Option<Instant>>,
    /// Calls that this host may send while the upstream names a rate.
    calls: budget::Bucket,
    /// Calls per second that this host may send while the upstream names a rate.
    own_rate: Cell<f64>,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            rate: Cell::default(),
            reported_at: Cell::default(),
            calls: budget::Bucket::new(0.0, BURST),
            own_rate: Cell::default(),
        }
    }
}

impl Limit {
    /// Records the rate that a response of the upstream names; `None` if it names none. Returns
    /// whether the upstream has begun or ceased to name one.
    pub fn record(&self, rate: Option<Rate>, now: Instant) -> bool {
        self.reported_at.set(Some(now));
        let has_changed = self.rate.replace(rate).is_some() != rate.is_some();
        if has_changed {
            self.set_own_rate(0.0, now);
        }
        has_changed
    }

    /// Returns the rate that the upstream has named; `None` if its last response named none.
    pub fn rate(&self) -> Option<Rate> {
        self.rate.get()
    }

    /// Sets this host's share in the rate. A host that had none starts without accumulated calls,
    /// since the host that had it before may just have sent some.
    pub fn set_share(&self, share: f64, now: Instant) {
        let rate = self.rate.get().map_or(0.0, Rate::per_second);
        self.set_own_rate(rate * share, now);
    }

    fn set_own_rate(&self, per_second: f64, now: Instant) {
        if self.own_rate.replace(per_second) == 0.0 || per_second == 0.0 {
            self.calls.set_tokens(0.0, now);
        }
        self.calls.set_rate(per_second);
    }

    /// Returns whether this host may send the upstream a call now; always true if the upstream
    /// names no rate.
    pub fn admits(&self, now: Instant) -> bool {
        self.rate.get().is_none() || self.calls.tokens(now) >= 1.0
    }

    /// Records that this host sends the upstream a call now.
    pub fn record_call(&self, now: Instant) {
        if self.rate.get().is_some() {
            self.calls.set_tokens(self.calls.tokens(now) - 1.0, now);
        }
    }

    /// Returns whether the upstream has to be probed, because it may have ceased to name a rate.
    pub fn is_stale(&self, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) > MAX_REPORT_AGE;
        self.rate.get().is_some() && self.reported_at.get().is_none_or(is_old)
    }
}

/// The calls that this host may send to a set of upstreams that all name a rate.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use basilhaven::gateway::limit;
///
/// let supply = limit::Supply { available: 1.0, per_second: 4.0 };
/// assert_eq!(supply.wait(0), Some(Duration::ZERO));
/// assert_eq!(supply.wait(2), Some(Duration::from_millis(500)));
/// assert_eq!(limit::Supply::default().wait(0), None);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Supply {
    /// Calls that may be sent now.
    pub available: f64,
    /// Further calls per second.
    pub per_second: f64,
}

impl Supply {
    /// Returns the supply of these limits; `None` if one of the upstreams names no rate.
    pub fn of<'a, I>(limits: I, now: Instant) -> Option<Supply>
    where
        I: IntoIterator<Item = &'a Limit>,
    {
        let mut supply = Supply::default();
        for limit in limits {
            limit.rate()?;
            supply.available += limit.calls.tokens(now).max(0.0);
            supply.per_second += limit.own_rate.get();
        }
        Some(supply)
    }

    /// Returns the time until a call can be sent before which `ahead` others are sent; `None` if
    /// this host may not send it within a day.
    pub fn wait(&self, ahead: usize) -> Option<Duration> {
        let missing = (ahead as f64 + 1.0 - self.available).max(0.0);
        let seconds = if missing == 0.0 { 0.0 } else { missing / self.per_second };
        Duration::try_from_secs_f64(seconds).ok().filter(|wait| *wait <= MAX_WAIT)
    }

    /// Checks that a call before which `ahead` others are sent can be sent within `left`.
    ///
    /// # Errors
    ///
    /// Returns the [time until it can be sent](Supply::wait) if it can't.
    pub fn check(&self, ahead: usize, left: Duration) -> Result<(), Option<Duration>> {
        match self.wait(ahead) {
            Some(wait) if wait <= left => Ok(()),
            wait => Err(wait),
        }
    }
}
