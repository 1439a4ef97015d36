//! What an upstream is told, and what it tells of itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What the upstream is told while it runs; absent fields stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Multiplies the time that a call runs.
    pub slow: Option<f64>,
    /// Fails this share of the calls at once, with status 500.
    pub fail_share: Option<f64>,
    /// Restricts `slow` and `fail_share` to paths with this prefix.
    pub only_prefix: Option<String>,
    /// Restricts `slow` and `fail_share` to times with more calls in flight than this.
    pub above_in_flight: Option<usize>,
    /// Sheds every call, as one that is about to stop does.
    pub drain: Option<bool>,
    /// Becomes cold again, until it has run this many calls.
    pub cold_calls: Option<u32>,
    /// How the load that it reports relates to its load.
    pub report: Option<Reporting>,
    /// How answers are spoilt.
    pub spoil: Option<Fault>,
    /// The share of the answers that are; all when absent.
    pub spoil_share: Option<f64>,
    /// Makes a call of its own for each call, and answers by what becomes of it.
    pub nested: Option<Nested>,
}

/// A call that an upstream makes for each call that it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Nested {
    /// The service to call.
    pub service: String,
    /// Entry hosts, one of which is drawn for each attempt.
    pub entries: Vec<SocketAddr>,
    /// Whether the context is copied, as upstreams are asked to.
    pub copies_context: bool,
    /// Attempts that it makes itself, at most.
    pub attempts: usize,
}

/// How the load that an upstream reports relates to its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reporting {
    /// It is the load.
    Honest,
    /// It is the load of half a second ago.
    Lagging,
    /// It is always idle.
    Lying,
    /// Nothing is reported.
    Silent,
}

/// How an upstream spoils its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Not at all.
    Nothing,
    /// The connection ends halfway through the body.
    Cut,
    /// The call's id is another's.
    Cross,
    /// The connection is reset once the call has run.
    Reset,
    /// The head is no HTTP.
    Garbage,
    /// A second response follows the first.
    Double,
    /// The answer comes long after the call has run.
    Late,
    /// The call is shed in place of being run.
    Shed,
}

/// One call that the upstream has begun.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The entry host's id of the call.
    pub call: Option<String>,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The caller's tag.
    pub tag: Option<String>,
    /// The path.
    pub path: String,
    /// Whether it ran to its end.
    pub done: bool,
    /// When it began, in microseconds since the upstream started.
    pub at_us: u64,
}

/// What the upstream tells of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Stats {
    /// Calls begun.
    pub begun: usize,
    /// Calls run to their end.
    pub done: usize,
    /// Calls shed.
    pub shed: usize,
    /// Calls given up because the caller left.
    pub cancelled: usize,
    /// The most calls in flight at one time.
    pub max_in_flight: usize,
    /// The most calls in flight at one time while cold.
    pub max_in_flight_cold: usize,
    /// Calls in flight now.
    pub in_flight: usize,
    /// Calls that it will still run cold.
    pub cold_left: u32,
    /// When the last call began, in microseconds since the upstream started.
    pub last_at_us: u64,
    /// Now, in microseconds since the upstream started.
    pub now_us: u64,
}
