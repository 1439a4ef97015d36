//! Selects the upstream that runs a call.
//!
//! The baseline latency is the mean latency of all calls of the service ([`crate::load`]).

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::{name, profile, upstream};

/// The upstream selected for a call, and the inputs of the decision.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The selected upstream.
    pub upstream: Rc<upstream::Upstream>,
    /// The number of upstreams that had room for the call.
    pub candidates: usize,
    /// The cost of the selected upstream: the expected duration of the call there, in multiples of
    /// the service's baseline latency.
    pub cost: f64,
}

/// Selects an upstream by the policy of a service's profile.
#[derive(Debug)]
pub struct Selector<'a> {
    /// The data centre of this host.
    pub data_centre: &'a name::Name,
    /// The profile of the service.
    pub profile: &'a profile::Profile,
    /// Counter of round-robin selections; modulo the number of candidates, it is the index of the
    /// selected one.
    pub cursor: &'a Cell<usize>,
    /// The baseline latency of the service.
    pub baseline: Duration,
    /// The number of calls that all other hosts together are assumed to have in flight to one
    /// upstream, for lack of a current load report.
    pub expected_others_in_flight: f64,
    /// The time of the selection.
    pub now: Instant,
}

impl Selector<'_> {
    /// Selects one of the upstreams that have room, or returns `None` if no upstream has room.
    pub fn choose(&self, candidates: &[Rc<upstream::Upstream>]) -> Option<Choice> {
        let with_room = || candidates.iter().filter(|u| self.has_room(u));
        let in_flight = |u: &upstream::Upstream| f64::from(u.in_flight());
        let chosen = match self.profile.policy {
            profile::Policy::RoundRobin => self.next_round_robin(with_room())?,
            profile::Policy::PowerOfTwo => {
                let all: Vec<_> = with_room().collect();
                let two = (0..2).filter_map(|_| fastrand::choice(all.iter().copied()));
                min_by(two, in_flight)?
            }
            profile::Policy::LeastInFlight => min_by(with_room(), in_flight)?,
            profile::Policy::Cost => min_by(with_room(), |u| self.cost(u))?,
        };
        let cost = self.cost(chosen);
        Some(Choice { upstream: Rc::clone(chosen), candidates: with_room().count(), cost })
    }

    /// Returns `true` if this host may send calls to the upstream once a slot there is available.
    pub fn is_usable(&self, upstream: &upstream::Upstream) -> bool {
        match self.profile.policy {
            profile::Policy::Cost => upstream.is_usable(),
            _ => true,
        }
    }

    /// Returns `true` if this host may have one more call in flight to the upstream.
    fn has_room(&self, upstream: &upstream::Upstream) -> bool {
        match self.profile.policy {
            profile::Policy::Cost => upstream.admits(self.now, self.baseline),
            _ => upstream.in_flight() < upstream.slots() + self.profile.extra_in_flight,
        }
    }

    fn next_round_robin<'c, I>(&self, candidates: I) -> Option<&'c Rc<upstream::Upstream>>
    where
        I: Iterator<Item = &'c Rc<upstream::Upstream>>,
    {
        let candidates: Vec<_> = candidates.collect();
        self.cursor.set(self.cursor.get().wrapping_add(1));
        let index = self.cursor.get().checked_rem(candidates.len())?;
        Some(candidates[index])
    }

    /// Returns the expected duration of a call at the upstream, in multiples of the baseline
    /// latency.
    fn cost(&self, upstream: &upstream::Upstream) -> f64 {
        let others =
            upstream.others_in_flight(self.now, self.baseline, self.expected_others_in_flight);
        let ahead = f64::from(upstream.in_flight()) + others;
        let queueing_factor = (ahead + 1.0) / f64::from(upstream.slots().max(1));
        upstream.slowdown(self.now, self.baseline) * queueing_factor
    }
}

/// Returns the candidate with the lowest `key`. Ties are broken at random: with a fixed order, all
/// hosts would send to the same upstream at once.
fn min_by<'c, I, K>(candidates: I, key: K) -> Option<&'c Rc<upstream::Upstream>>
where
    I: Iterator<Item = &'c Rc<upstream::Upstream>>,
    K: Fn(&upstream::Upstream) -> f64,
{
    let mut best: Option<(&Rc<upstream::Upstream>, f64)> = None;
    let mut ties = 0;
    for candidate in candidates {
        let cost = key(candidate);
        match best {
            Some((_, lowest)) if cost > lowest => {}
            Some((_, lowest)) if cost == lowest => {
                // Reservoir sampling: the nth of n equal candidates replaces the current one with
                // probability 1/n.
                ties += 1;
                if fastrand::u32(..ties) == 0 {
                    best = Some((candidate, cost));
                }
            }
            _ => {
                best = Some((candidate, cost));
                ties = 1;
            }
        }
    }
    best.map(|(chosen, _)| chosen)
}
