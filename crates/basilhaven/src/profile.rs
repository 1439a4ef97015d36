//! Profiles: named sets of policy, limits and budgets that services run under.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::finding;

/// How an upstream is chosen among those that may take a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// In turn; a baseline.
    #[display("round-robin")]
    RoundRobin,
    /// The less busy of two drawn at random; a baseline.
    #[display("power-of-two")]
    PowerOfTwo,
    /// The fewest calls in flight on this host's own counts; a baseline.
    #[display("least-in-flight")]
    LeastInFlight,
    /// The least expected cost: wait, observed latency and round trip.
    #[display("cost")]
    Cost,
}

/// Which entry hosts the directory names for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum HostCount {
    /// Every live host; a baseline.
    #[display("all")]
    All,
    /// A few, chosen by rendezvous hashing and spread over data centres.
    #[serde(untagged)]
    #[display("{_0}")]
    Few(u8),
}

/// Whether a call may be run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// A second run does no harm: it may be retried, hedged and cancelled.
    #[display("idempotent")]
    Idempotent,
    /// It runs at most once.
    #[display("at-most-once")]
    AtMostOnce,
}

/// A rule for the paths of a service that start with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The prefix of the path; the longest that fits wins.
    pub prefix: String,
    /// The method that the rule is for; all when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// Whether such calls may be run more than once.
    pub idempotency: Idempotency,
}

/// A profile as it stands in the configuration.
///
/// Every field has a default, so a profile names only what differs.
///
/// # Examples
///
/// ```
/// use basilhaven::profile;
///
/// let profile: profile::Profile = serde_json::from_str(r#"{"policy": "round-robin"}"#).unwrap();
/// assert_eq!(profile.policy, profile::Policy::RoundRobin);
/// assert!(profile.check().is_empty());
/// ```
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Profile {
    /// How an upstream is chosen.
    pub policy: Policy,
    /// Which entry hosts serve the service.
    pub homes: HostCount,
    /// Calls in flight beyond an upstream's slots, over all hosts together.
    pub extra_in_flight: u32,
    /// Calls that may wait for an upstream on one host.
    pub queue_len: usize,
    /// The share of the queue that free callers may fill, in per cent.
    pub free_queue_percent: u8,
    /// The longest wait that a free call may have to expect, in milliseconds; others are refused at
    /// once.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "free_wait_ms")]
    pub free_wait: Duration,
    /// The longest that a call may take, in milliseconds, when its caller sets no deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// The longest that opening a connection may take, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_timeout_ms")]
    pub connect_timeout: Duration,
    /// Attempts of one call beyond its first, at most.
    pub retries: u8,
    /// Retries per 100 calls that the service may spend.
    pub retry_budget_percent: u8,
    /// Hedged attempts per 100 calls that the service may spend; 0 switches hedging off.
    pub hedge_budget_percent: u8,
    /// Whether a call that runs at most once does so over all hosts, when it has an idempotency key; each
    /// such call then writes a row of the platform's table. If not, it does on the host that it was sent to.
    pub claims: bool,
    /// How long an upstream that was out takes to get its usual share of the calls again, in
    /// milliseconds; 0 gives it all at once.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "return_ramp_ms")]
    pub return_ramp: Duration,
    /// Connections to one upstream, over all hosts together.
    pub connections: u32,
    /// Rules for paths, by idempotency; where none fits the method decides.
    pub routes: Vec<Route>,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            policy: Policy::Cost,
            homes: HostCount::Few(3),
            extra_in_flight: 1,
            queue_len: 512,
            free_queue_percent: 25,
            free_wait: Duration::from_millis(100),
            timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(250),
            retries: 2,
            retry_budget_percent: 10,
            hedge_budget_percent: 2,
            claims: false,
            return_ramp: Duration::from_secs(10),
            connections: 200,
            routes: Vec::new(),
        }
    }
}

/// The longest time limit that a profile may set.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(600);

impl Profile {
    /// Checks the numbers of the profile against each other and against their limits.
    pub fn check(&self) -> finding::Findings {
        let mut findings = finding::Findings::default();
        if matches!(self.homes, HostCount::Few(0)) {
            findings.add("homes", "must be \"all\" or 1 to 255");
        }
        if self.timeout.is_zero() || self.timeout > MAX_TIMEOUT {
            findings.add("timeout_ms", "must be 1 to 600000");
        }
        if self.connect_timeout.is_zero() || self.connect_timeout > self.timeout {
            findings.add("connect_timeout_ms", "must be 1 to timeout_ms");
        }
        if self.free_wait > self.timeout {
            findings.add("free_wait_ms", "must be timeout_ms at most");
        }
        if self.queue_len > 100_000 {
            findings.add("queue_len", "must be 100000 at most");
        }
        if self.return_ramp > MAX_TIMEOUT {
            findings.add("return_ramp_ms", "must be 600000 at most");
        }
        if self.connections == 0 {
            findings.add("connections", "must be 1 at least");
        }
        if self.retries > 5 {
            findings.add("retries", "must be 5 at most");
        }
        let percents: IndexMap<&str, u8> = IndexMap::from([
            ("free_queue_percent", self.free_queue_percent),
            ("retry_budget_percent", self.retry_budget_percent),
            ("hedge_budget_percent", self.hedge_budget_percent),
        ]);
        for (place, percent) in percents {
            if percent > 100 {
                findings.add(place, "must be 0 to 100");
            }
        }
        for (i, route) in self.routes.iter().enumerate() {
            if !route.prefix.starts_with('/') {
                findings.add(format!("routes.{i}.prefix"), "must start with '/'");
            }
        }
        findings
    }

    /// Whether a call of this method and path may be run more than once.
    ///
    /// The rule with the longest fitting prefix decides; without one, the method: `GET`, `HEAD` and
    /// `OPTIONS` are idempotent, and anything else is run at most once.
    pub fn idempotency(&self, method: &http::Method, path: &str) -> Idempotency {
        let fits = |route: &&Route| {
            let method_fits = route.method.as_deref().is_none_or(|m| m == method.as_str());
            method_fits && path.starts_with(&route.prefix)
        };
        let rule = self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len());
        match (rule, method) {
            (Some(rule), _) => rule.idempotency,
            (None, &http::Method::GET | &http::Method::HEAD | &http::Method::OPTIONS) => {
                Idempotency::Idempotent
            }
            (None, _) => Idempotency::AtMostOnce,
        }
    }
}
