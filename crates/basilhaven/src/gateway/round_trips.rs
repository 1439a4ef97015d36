//! Round trips to the upstreams of each data centre, as measured by probes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;

/// Weights of a sample that is shorter, and of one that is longer than the estimate. The estimate is
/// thus near the shortest round trips: longer ones mostly show that this process or the upstream
/// was busy. A link that has become slower is followed within some hundred probes.
const SHORTER_WEIGHT: f64 = 0.3;
const LONGER_WEIGHT: f64 = 0.02;

/// Number of samples of a data centre before its round trip counts as known.
const MIN_SAMPLES: u32 = 5;

/// The round trips from this host, by data centre.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use basilhaven::gateway::round_trips;
///
/// let ms = Duration::from_millis;
/// let trips = round_trips::RoundTrips::default();
/// let (near, far) = ("near".into(), "far".into());
/// assert_eq!(trips.extra("far", "near"), None);
/// for _ in 0..9 {
///     trips.record(&near, ms(1));
///     trips.record(&far, ms(5));
/// }
/// let extra = trips.extra("far", "near").unwrap();
/// assert!(extra > ms(3) && extra <= ms(4));
/// ```
#[derive(Debug, Default)]
pub struct RoundTrips {
    /// The number of samples, up to the required one, and the estimate in seconds.
    estimates: RefCell<IndexMap<Rc<str>, (u32, f64)>>,
}

impl RoundTrips {
    /// Records the time that a probe on an open connection took.
    pub fn record(&self, data_centre: &Rc<str>, took: Duration) {
        let sample = took.as_secs_f64();
        let mut estimates = self.estimates.borrow_mut();
        let (samples, estimate) = estimates.entry(Rc::clone(data_centre)).or_insert((0, sample));
        *samples = (*samples + 1).min(MIN_SAMPLES);
        let weight = if sample < *estimate { SHORTER_WEIGHT } else { LONGER_WEIGHT };
        *estimate += (sample - *estimate) * weight;
    }

    /// Returns how much longer a round trip to a data centre takes than one within `own`; `None`
    /// unless both are known.
    pub fn extra(&self, data_centre: &str, own: &str) -> Option<Duration> {
        let estimates = self.estimates.borrow();
        let known = |name: &str| {
            let (samples, estimate) = estimates.get(name).copied()?;
            (samples >= MIN_SAMPLES).then_some(estimate)
        };
        Some(Duration::from_secs_f64((known(data_centre)? - known(own)?).max(0.0)))
    }
}
