//! The JSON bodies of an upstream's control interface.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A change of the upstream's behaviour; absent fields leave theirs unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// The factor by which execution times are multiplied.
    pub slow: Option<f64>,
    /// The share of calls that fail immediately with status 500.
    pub fail_share: Option<f64>,
    /// Restricts `slow` and `fail_share` to paths with this prefix.
    pub only_prefix: Option<String>,
    /// Restricts `slow` and `fail_share` to calls that arrive while at least this many are in
    /// flight.
    pub above_in_flight: Option<usize>,
    /// Whether every call is shed, as by an upstream that is shutting down.
    pub drain: Option<bool>,
    /// Makes the upstream cold again until it has executed this many calls.
    pub cold_calls: Option<u32>,
    /// How the reported load relates to the actual load.
    pub report: Option<Reporting>,
    /// The fault of responses.
    pub spoil: Option<Fault>,
    /// The share of responses with that fault; all if absent.
    pub spoil_share: Option<f64>,
    /// Makes a nested call for each call, which fails if the nested call fails.
    pub nested: Option<Nested>,
}

/// The call that an upstream makes for each call that it executes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Nested {
    /// The service to call.
    pub service: String,
    /// The entry hosts, of which one is chosen at random for each attempt.
    pub entries: Vec<SocketAddr>,
    /// Whether the context of the outer call is copied, as upstreams are required to.
    pub copies_context: bool,
    /// The maximum number of attempts that the upstream itself makes.
    pub attempts: usize,
}

/// How the reported load relates to the actual load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reporting {
    /// The actual load is reported.
    Honest,
    /// The previous sample of the load is reported; samples are at least half a second apart.
    Lagging,
    /// A load of zero is always reported.
    Lying,
    /// No load is reported.
    Silent,
}

/// A fault of an upstream's responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    Nothing,
    /// The connection is closed halfway through the body.
    Cut,
    /// The response carries another call's id and body.
    Cross,
    /// The connection is reset after the call has been executed.
    Reset,
    /// Bytes that are not HTTP are sent, and the connection is closed.
    Garbage,
    /// A second response follows the first.
    Double,
    /// The response is sent long after the call has been executed.
    Late,
    /// The call is shed instead of executed.
    Shed,
}

/// A call whose execution has begun.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The call id that the entry host assigned.
    pub call: Option<String>,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The caller's tag.
    pub tag: Option<String>,
    /// The request path.
    pub path: String,
    /// Whether the execution was completed.
    pub done: bool,
    /// When the execution began, in microseconds since the upstream started.
    pub at_us: u64,
}

/// The statistics of an upstream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Stats {
    /// The number of calls begun.
    pub begun: usize,
    /// The number of calls completed.
    pub done: usize,
    /// The number of calls shed.
    pub shed: usize,
    /// The number of calls cancelled because the caller closed the connection or the time limit
    /// ended.
    pub cancelled: usize,
    /// The maximum number of calls in flight at one time.
    pub max_in_flight: usize,
    /// The maximum number of calls in flight at one time while cold.
    pub max_in_flight_cold: usize,
    /// The number of calls in flight now.
    pub in_flight: usize,
    /// The number of calls until the upstream is no longer cold.
    pub cold_left: u32,
    /// When the last call began, in microseconds since the upstream started.
    pub last_at_us: u64,
    /// The current time, in microseconds since the upstream started.
    pub now_us: u64,
}
