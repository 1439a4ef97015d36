//! The return of upstreams that were out: their share of the calls rises with time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::upstream;

/// The share of its usual calls that an upstream gets right after its return.
const FIRST_SHARE: f64 = 0.05;

/// Since when an upstream is back.
#[derive(Debug, Default)]
pub struct Ramp(Cell<Option<Instant>>);

impl Ramp {
    /// The upstream is back from now on.
    pub fn start(&self) {
        self.0.set(Some(Instant::now()));
    }

    /// The upstream has been back for so long; what this host has seen itself counts more.
    pub fn resume(&self, ago: Duration) {
        if self.0.get().is_none() {
            self.0.set(Instant::now().checked_sub(ago));
        }
    }

    /// The share of its usual calls that it may get, where the whole return takes `duration`.
    ///
    /// # Examples
    ///
    /// ```
    /// use basilhaven::ramp;
    /// use std::time::Duration;
    ///
    /// let ramp = ramp::Ramp::default();
    /// assert_eq!(ramp.share(Duration::from_secs(10)), 1.0);
    /// ramp.start();
    /// assert!(ramp.share(Duration::from_secs(10)) < 0.1);
    /// assert_eq!(ramp.share(Duration::ZERO), 1.0);
    /// ```
    pub fn share(&self, duration: Duration) -> f64 {
        let Some(since) = self.0.get() else { return 1.0 };
        let passed = since.elapsed();
        if passed >= duration {
            self.0.set(None);
            return 1.0;
        }
        (passed.as_secs_f64() / duration.as_secs_f64()).max(FIRST_SHARE)
    }
}

/// Draws which of the upstreams that are on their way back may compete for one call: each with its
/// share of the chance that it has among all, so that over all hosts together it gets that share of
/// its usual calls at most. The others are taken out of `upstreams`; returned are those of them that
/// may take the call when nothing else has room for it.
pub fn hold_back(
    upstreams: &mut Vec<Rc<upstream::Upstream>>,
    duration: Duration,
) -> Vec<Rc<upstream::Upstream>> {
    let share = |upstream: &upstream::Upstream| upstream.ramp().share(duration);
    if upstreams.iter().all(|upstream| share(upstream) >= 1.0) {
        return Vec::new();
    }
    let chance = 1.0 / upstreams.len() as f64;
    let mut held_back = Vec::new();
    upstreams.retain(|upstream| {
        let share = share(upstream);
        if share >= 1.0 {
            return true;
        }
        if upstream.in_flight() >= usable_slots(upstream.slots(), share) {
            return false;
        }
        let competes = fastrand::f64() < share * chance;
        if !competes {
            held_back.push(Rc::clone(upstream));
        }
        competes
    });
    held_back
}

/// Calls that one host may have in flight to an upstream that gets this share.
fn usable_slots(slots: u32, share: f64) -> u32 {
    ((f64::from(slots) * share) as u32).max(1)
}
