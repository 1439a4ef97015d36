//! What calls have shown of the two versions, by route, and how hosts tell each other.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{call, name, profile};

/// Routes that are told apart in one service; the calls of others count as one more.
pub const MAX_ROUTES: usize = 8;

/// The most bytes of a route's path.
const MAX_PATH_LEN: usize = 32;

/// The calls that are judged together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display("{path}{}", if *at_most_once { " (at most once)" } else { "" })]
pub struct Route {
    /// The prefix of the profile's rule that fits, or else the path's first segment.
    pub path: String,
    /// Whether the calls run at most once.
    pub at_most_once: bool,
}

impl Route {
    /// The route of a call.
    ///
    /// # Examples
    ///
    /// ```
    /// use basilhaven::{moves::evidence, profile};
    ///
    /// let profile = profile::Profile::default();
    /// let route = evidence::Route::of(&profile, "/stock/17?full", profile::Idempotency::Idempotent);
    /// assert_eq!(route.path, "/stock");
    /// ```
    pub fn of(profile: &profile::Profile, path: &str, idempotency: profile::Idempotency) -> Route {
        let fitting = profile.routes.iter().filter(|route| path.starts_with(&route.prefix));
        let rule = fitting.max_by_key(|route| route.prefix.len()).map(|route| &*route.prefix);
        let path = rule.unwrap_or_else(|| first_segment(path));
        let end = (0..=MAX_PATH_LEN.min(path.len())).rev().find(|end| path.is_char_boundary(*end));
        Route {
            path: path[..end.unwrap_or_default()].to_owned(),
            at_most_once: idempotency == profile::Idempotency::AtMostOnce,
        }
    }

    /// The route that stands for all routes beyond [`MAX_ROUTES`].
    pub fn other(at_most_once: bool) -> Route {
        Route { path: "*".to_owned(), at_most_once }
    }
}

fn first_segment(path: &str) -> &str {
    let end = path.char_indices().skip(1).find(|(_, c)| matches!(c, '/' | '?'));
    end.map_or(path, |(end, _)| &path[..end])
}

/// Counts of one version's calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Calls that ended.
    pub calls: u64,
    /// Those that failed.
    pub errors: u64,
    /// Calls whose time could be compared with the old version's.
    pub timed: u64,
    /// Those that took longer than nearly all of the old version's.
    pub slow: u64,
}

impl Tally {
    /// Adds other calls.
    pub fn add(&mut self, other: &Tally) {
        self.calls += other.calls;
        self.errors += other.errors;
        self.timed += other.timed;
        self.slow += other.slow;
    }

    /// The calls counted since `earlier`; all of them when the count has started again since.
    pub fn since(&self, earlier: &Tally) -> Tally {
        let restarted = self.calls < earlier.calls
            || self.errors < earlier.errors
            || self.timed < earlier.timed
            || self.slow < earlier.slow;
        if restarted {
            return *self;
        }
        Tally {
            calls: self.calls - earlier.calls,
            errors: self.errors - earlier.errors,
            timed: self.timed - earlier.timed,
            slow: self.slow - earlier.slow,
        }
    }
}

/// The calls of one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// Those of the old version.
    pub old: Tally,
    /// Those of the new version.
    pub new: Tally,
}

impl Pair {
    /// Adds other calls.
    pub fn add(&mut self, other: &Pair) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// The calls counted since `earlier`.
    pub fn since(&self, earlier: &Pair) -> Pair {
        Pair { old: self.old.since(&earlier.old), new: self.new.since(&earlier.new) }
    }
}

/// The calls of all routes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence(pub IndexMap<Route, Pair>);

impl Evidence {
    /// The calls of one route; once there are [`MAX_ROUTES`], those of a new one join the others.
    pub fn entry(&mut self, route: &Route) -> (Route, &mut Pair) {
        let full = self.0.len() >= MAX_ROUTES && !self.0.contains_key(route);
        let route = if full { Route::other(route.at_most_once) } else { route.clone() };
        let pair = self.0.entry(route.clone()).or_default();
        (route, pair)
    }

    /// Adds other calls.
    pub fn add(&mut self, other: &Evidence) {
        for (route, pair) in &other.0 {
            self.entry(route).1.add(pair);
        }
    }

    /// The calls counted since `earlier`.
    pub fn since(&self, earlier: &Evidence) -> Evidence {
        let none = Pair::default();
        let since = |route, pair: &Pair| pair.since(earlier.0.get(route).unwrap_or(&none));
        Evidence(self.0.iter().map(|(r, pair)| (r.clone(), since(r, pair))).collect())
    }

    /// All calls together.
    pub fn total(&self) -> Pair {
        let mut total = Pair::default();
        for pair in self.0.values() {
            total.add(pair);
        }
        total
    }
}

/// What one host has seen of one move since it began there; a lost digest is made up for by the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The host.
    pub host: name::Name,
    /// Its incarnation: one that starts again counts anew.
    pub incarnation: u64,
    /// Rises with each digest of one incarnation.
    pub sequence: u64,
    /// The service.
    pub service: name::Name,
    /// The move.
    pub id: call::Id,
    /// Calls of the service that it had in flight on average since its last digest, in hundredths.
    pub in_flight: u32,
    /// The calls.
    pub evidence: Evidence,
}
