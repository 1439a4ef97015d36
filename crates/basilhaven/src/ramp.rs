//! The return of upstreams that operators had taken out of service: their share of the calls
//! increases over time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::upstream;

/// Share of its normal calls that an upstream gets right after its return.
const FIRST_SHARE: f64 = 0.05;

/// The ramp of an upstream's return to service: holds the time of the return while the ramp is
/// under way.
#[derive(Debug, Default)]
pub struct Ramp(Cell<Option<Instant>>);

impl Ramp {
    /// Starts the ramp: the upstream has just returned.
    pub fn start(&self) {
        self.0.set(Some(Instant::now()));
    }

    /// Continues the ramp of an upstream that returned to service the time `ago` before now, unless
    /// this host has seen the return itself.
    pub fn resume(&self, ago: Duration) {
        if self.0.get().is_none() {
            self.0.set(Instant::now().checked_sub(ago));
        }
    }

    /// Returns the share of its normal calls that the upstream may get, for a ramp of `duration`.
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

/// Draws at random which of the returning upstreams compete for one call, and removes the others
/// from `upstreams`. An upstream competes with a probability of its ramp's share divided by the
/// number of upstreams, so that over all hosts it gets at most that share of its normal calls.
/// Returns those of the removed upstreams that may still run the call if no other one has room.
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

/// Returns the number of calls that one host may have in flight to a returning upstream that may
/// get this share of its normal calls.
fn usable_slots(slots: u32, share: f64) -> u32 {
    ((f64::from(slots) * share) as u32).max(1)
}
