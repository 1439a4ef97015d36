//! The header fields that callers, hosts and upstreams use among them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName};

use super::directory;

/// Names of header fields, given by the embedding program.
#[derive(Debug, Clone)]
pub struct Headers {
    /// On requests and responses: the id of one attempt of a caller.
    pub request_id: HeaderName,
    /// On requests: milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// On requests to upstreams: the id of the only upstream that may run it.
    pub expected_upstream: HeaderName,
    /// On responses of upstreams: the request was not run.
    pub not_run: HeaderName,
    /// On responses of upstreams: the mark of an answer that was made by running the request.
    pub signature: HeaderName,
    /// On health responses: the id of the upstream that answered.
    pub upstream_id: HeaderName,
    /// On health responses: milliseconds until the upstream is warm.
    pub cold_ms: HeaderName,
}

/// What an upstream says of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the upstream's own queue.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// How long work takes now, as a multiple of the usual.
    pub slowdown: f32,
}

/// The protocol between callers, hosts and upstreams.
#[derive(Debug, Clone)]
pub struct Protocol {
    /// Names of header fields.
    pub headers: Headers,
    /// Reads the load out of a response's header fields.
    pub parse_load: fn(&HeaderMap) -> Option<Load>,
    /// The path at which the platform asks whether a host is ready.
    pub ready_path: &'static str,
    /// Reads a question to the directory out of a request's target.
    pub parse_query: fn(&http::Uri) -> Option<directory::Query>,
    /// The JSON body of an answer of the directory: addresses, and how long they may be used.
    pub encode_addresses: fn(&[SocketAddr], Duration) -> Bytes,
}
