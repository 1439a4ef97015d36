//! Profiles: named sets of a load-balancing policy, limits and budgets for services.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::finding;

/// Load-balancing policy: how an upstream is chosen among those available for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Each upstream in turn; offered for comparison.
    #[display("round-robin")]
    RoundRobin,
    /// The less busy of two upstreams drawn at random; offered for comparison.
    #[display("power-of-two")]
    PowerOfTwo,
    /// The upstream with the fewest calls in flight from this host; offered for comparison.
    #[display("least-in-flight")]
    LeastInFlight,
    /// The upstream with the lowest expected cost: waiting time, observed latency and round trip.
    #[display("cost")]
    Cost,
}

/// Number of entry hosts that the directory returns for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum HostCount {
    /// All live hosts; offered for comparison.
    #[display("all")]
    All,
    /// This many hosts, chosen by rendezvous hashing and spread over data centres.
    #[serde(untagged)]
    #[display("{_0}")]
    Few(u8),
}

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// The call may run more than once, so it may be retried, hedged and cancelled.
    #[display("idempotent")]
    Idempotent,
    /// The call runs at most once.
    #[display("at-most-once")]
    AtMostOnce,
}

/// A rule for the calls whose path starts with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Prefix of the path; the longest matching prefix takes precedence.
    pub prefix: String,
    /// Method to which the rule applies; all methods if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// Whether calls to which the rule applies may run more than once.
    pub idempotency: Idempotency,
}

/// A profile in the configuration.
///
/// Every field has a default, so a profile lists only the fields that differ.
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
    /// Load-balancing policy.
    pub policy: Policy,
    /// Number of entry hosts that serve the service (its assigned hosts).
    pub homes: HostCount,
    /// Maximum number of calls in flight to one upstream in excess of its slots, over all entry
    /// hosts together.
    pub extra_in_flight: u32,
    /// Maximum number of calls that wait for an upstream on one entry host.
    pub queue_len: usize,
    /// Share of the queue available to calls of callers of the free tier
    /// ([`Class::Free`](crate::config::Class::Free)), in per cent of `queue_len`.
    pub free_queue_percent: u8,
    /// Maximum expected wait in the queue of a call of a free-tier caller, in milliseconds; a call
    /// with a longer expected wait is refused at once.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "free_wait_ms")]
    pub free_wait: Duration,
    /// Time limit of a call whose caller sets no deadline, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Time limit for opening a connection, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "connect_timeout_ms")]
    pub connect_timeout: Duration,
    /// Maximum number of attempts of a call after its first attempt.
    pub retries: u8,
    /// Retry budget of the service: retries per 100 calls.
    pub retry_budget_percent: u8,
    /// Hedging budget of the service: hedged attempts per 100 calls; 0 disables hedging.
    pub hedge_budget_percent: u8,
    /// Whether an at-most-once call with an idempotency key runs at most once across all entry
    /// hosts; to claim the key, each such call then writes a row of the platform's table. If false,
    /// the guarantee holds only on the host that received the call.
    pub claims: bool,
    /// Time over which an upstream that returns to service regains its full share of the calls, in
    /// milliseconds; 0 restores the full share at once.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "return_ramp_ms")]
    pub return_ramp: Duration,
    /// Maximum number of idle connections to one upstream that are kept for reuse, over all entry
    /// hosts together.
    pub connections: u32,
    /// Rules on the idempotency of calls by path; without a matching rule, the method decides.
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

/// Maximum value of a profile's `timeout` and `return_ramp`.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(600);

impl Profile {
    /// Validates the profile's values against their limits and against each other; returns a
    /// finding for each invalid value.
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
            findings.add("free_wait_ms", "must be at most timeout_ms");
        }
        if self.queue_len > 100_000 {
            findings.add("queue_len", "must be at most 100000");
        }
        if self.return_ramp > MAX_TIMEOUT {
            findings.add("return_ramp_ms", "must be at most 600000");
        }
        if self.connections == 0 {
            findings.add("connections", "must be at least 1");
        }
        if self.retries > 5 {
            findings.add("retries", "must be at most 5");
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

    /// Returns whether a call of this method and path may run more than once.
    ///
    /// The matching rule with the longest prefix decides. Without a matching rule, `GET`, `HEAD`
    /// and `OPTIONS` are idempotent, and calls of all other methods run at most once.
    pub fn idempotency(&self, method: &http::Method, path: &str) -> Idempotency {
        let matches = |route: &&Route| {
            let method_matches = route.method.as_deref().is_none_or(|m| m == method.as_str());
            method_matches && path.starts_with(&route.prefix)
        };
        let rule = self.routes.iter().filter(matches).max_by_key(|route| route.prefix.len());
        match (rule, method) {
            (Some(rule), _) => rule.idempotency,
            (None, &http::Method::GET | &http::Method::HEAD | &http::Method::OPTIONS) => {
                Idempotency::Idempotent
            }
            (None, _) => Idempotency::AtMostOnce,
        }
    }
}
