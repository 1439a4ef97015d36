//! Evidence: counts of calls, errors and slow calls of the two versions of a move, by route, and
//! the digests that carry these counts between hosts.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{call, name, profile};

/// Maximum number of routes counted separately per service; calls of all further routes are counted
/// together.
pub const MAX_ROUTES: usize = 8;

/// Maximum length of a route's path, in bytes; bounds the size of a digest.
const MAX_PATH_LEN: usize = 32;

/// A group of calls whose results are compared between the versions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display("{path}{}", if *at_most_once { " (at most once)" } else { "" })]
pub struct Route {
    /// Prefix of the longest rule of the profile that matches the path of the calls; without a
    /// matching rule, the first segment of that path. Cut to `MAX_PATH_LEN` bytes.
    pub path: String,
    /// Whether the calls are at-most-once calls.
    pub at_most_once: bool,
}

impl Route {
    /// Returns the route of a call.
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

    /// Returns the route that stands for all routes beyond [`MAX_ROUTES`].
    pub fn other(at_most_once: bool) -> Route {
        Route { path: "*".to_owned(), at_most_once }
    }
}

fn first_segment(path: &str) -> &str {
    let end = path.char_indices().skip(1).find(|(_, c)| matches!(c, '/' | '?'));
    end.map_or(path, |(end, _)| &path[..end])
}

/// Counts of calls to one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Calls that have ended.
    pub calls: u64,
    /// Calls that failed.
    pub errors: u64,
    /// Calls whose latency was compared with the latency limit, which is derived from the old
    /// version's latencies ([`super::monitor`]).
    pub timed: u64,
    /// Calls counted in `timed` whose latency exceeded the limit.
    pub slow: u64,
}

impl Tally {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Tally) {
        self.calls += other.calls;
        self.errors += other.errors;
        self.timed += other.timed;
        self.slow += other.slow;
    }

    /// Returns the calls counted since the state `earlier` of the same counters, or all calls if
    /// the counters have been reset since then.
    pub fn since(&self, earlier: &Tally) -> Tally {
        let has_restarted = self.calls < earlier.calls
            || self.errors < earlier.errors
            || self.timed < earlier.timed
            || self.slow < earlier.slow;
        if has_restarted {
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

/// Counts of the calls of one route, by version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pair {
    /// Calls to the old version.
    pub old: Tally,
    /// Calls to the new version.
    pub new: Tally,
}

impl Pair {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Pair) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Returns the calls counted since the state `earlier` of the same counters.
    pub fn since(&self, earlier: &Pair) -> Pair {
        Pair { old: self.old.since(&earlier.old), new: self.new.since(&earlier.new) }
    }
}

/// Counts of the calls of all routes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence(pub IndexMap<Route, Pair>);

impl Evidence {
    /// Returns the counts of one route. Once there are [`MAX_ROUTES`] routes, a new route shares
    /// the counts of [`Route::other`], which is then the returned route.
    pub fn entry(&mut self, route: &Route) -> (Route, &mut Pair) {
        let is_full = self.0.len() >= MAX_ROUTES && !self.0.contains_key(route);
        let route = if is_full { Route::other(route.at_most_once) } else { route.clone() };
        let pair = self.0.entry(route.clone()).or_default();
        (route, pair)
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Evidence) {
        for (route, pair) in &other.0 {
            self.entry(route).1.add(pair);
        }
    }

    /// Returns the calls counted since the state `earlier` of the same counters.
    pub fn since(&self, earlier: &Evidence) -> Evidence {
        let none = Pair::default();
        let since = |route, pair: &Pair| pair.since(earlier.0.get(route).unwrap_or(&none));
        Evidence(self.0.iter().map(|(r, pair)| (r.clone(), since(r, pair))).collect())
    }

    /// Returns the sum over all routes.
    pub fn total(&self) -> Pair {
        let mut total = Pair::default();
        for pair in self.0.values() {
            total.add(pair);
        }
        total
    }
}

/// Message with the evidence of one host on one move, sent periodically. The counts are cumulative,
/// so a digest that does not arrive is made up for by the next one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Name of the sending host.
    pub host: name::Name,
    /// Incarnation of the sending host; its counts restart from zero with each incarnation.
    pub incarnation: u64,
    /// Sequence number, increasing within one incarnation.
    pub sequence: u64,
    /// Service of the move.
    pub service: name::Name,
    /// Identifier of the move.
    pub id: call::Id,
    /// Average number of the service's calls in flight on the sending host since its last digest,
    /// in hundredths.
    pub in_flight: u32,
    /// Counts since the sending host began to carry out the move.
    pub evidence: Evidence,
}
