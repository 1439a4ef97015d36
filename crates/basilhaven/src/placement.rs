//! Which upstream takes a call.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::{name, profile, upstream};

/// The upstream chosen for a call, and on what grounds.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The upstream.
    pub upstream: Rc<upstream::Upstream>,
    /// Upstreams that might have taken the call.
    pub candidates: usize,
    /// The cost by which it was chosen; lower is better.
    pub cost: f64,
}

/// What a choice takes into account besides the upstreams themselves.
#[derive(Debug)]
pub struct Selector<'a> {
    /// This host's data centre.
    pub data_centre: &'a name::Name,
    /// The profile of the service.
    pub profile: &'a profile::Profile,
    /// Where the last round-robin choice stood.
    pub cursor: &'a Cell<usize>,
    /// The usual latency of the service.
    pub baseline: Duration,
    /// Calls that other hosts are expected to have in flight to an upstream.
    pub expected_others: f64,
    /// The time of the choice.
    pub now: Instant,
}

impl Selector<'_> {
    /// Chooses among upstreams that have room; `None` when there are none.
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

    /// Whether this upstream gets calls from this host, as soon as it has room.
    pub fn is_usable(&self, upstream: &upstream::Upstream) -> bool {
        match self.profile.policy {
            profile::Policy::Cost => upstream.is_usable(),
            _ => true,
        }
    }

    /// Whether one more call may be in flight to this upstream.
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
        let turn = self.cursor.get().checked_rem(candidates.len())?;
        Some(candidates[turn])
    }

    /// The expected time that a call would take, in usual latencies.
    fn cost(&self, upstream: &upstream::Upstream) -> f64 {
        let others = upstream.others_in_flight(self.now, self.baseline, self.expected_others);
        let ahead = f64::from(upstream.in_flight()) + others;
        let waiting = (ahead + 1.0) / f64::from(upstream.slots().max(1));
        upstream.slowdown(self.now, self.baseline) * waiting
    }
}

/// The least by `key`; ties are broken at random, since hosts would herd on a fixed order.
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
                // The nth of equals replaces the one held with a chance of 1 in n.
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
