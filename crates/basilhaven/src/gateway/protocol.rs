//! The header fields and encodings between callers, hosts and upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName};

use super::{directory, limit, pause, upstream};

/// Names of header fields, set by the embedding program.
#[derive(Debug, Clone)]
pub struct Headers {
    /// On requests and responses: the id of one attempt by the caller.
    pub request_id: HeaderName,
    /// On requests: how many milliseconds the sender waits for the response.
    pub deadline_ms: HeaderName,
    /// On requests to upstreams: the id of the only upstream that may run the call.
    pub expected_upstream: HeaderName,
    /// On responses of upstreams: marks that the call was not run.
    pub not_run: HeaderName,
    /// On responses of upstreams: the signature of a response that was produced by running the
    /// call.
    pub signature: HeaderName,
    /// On health responses: the id of the responding upstream.
    pub upstream_id: HeaderName,
    /// On health responses: how many milliseconds of the cold start remain.
    pub cold_ms: HeaderName,
    /// On responses of upstreams: marks that the upstream is leaving. Not sent to callers.
    pub leaving: HeaderName,
    /// On requests of callers: the key of the caller's organisation. Not sent to upstreams.
    pub key: HeaderName,
    /// On requests to upstreams: the name of the caller's organisation, which only hosts set.
    pub organisation: HeaderName,
}

/// The load that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the upstream's own queue.
    pub waiting: u32,
    /// Number of requests that the upstream can run at once.
    pub slots: u32,
    /// The current processing time as a multiple of the normal one.
    pub slowdown: f32,
}

impl Load {
    /// The most requests, and the highest slowdown, that a report is taken to mean.
    pub const MAX_REQUESTS: u32 = upstream::MAX_SLOTS;
    /// See [`MAX_REQUESTS`](Load::MAX_REQUESTS).
    pub const MAX_SLOWDOWN: f32 = 1000.0;

    /// Returns this load with its numbers within bounds, so that times and sums derived from them
    /// are. The number of slots is 0, for unknown, if no upstream can have that many.
    ///
    /// # Examples
    ///
    /// ```
    /// use basilhaven::gateway::protocol;
    ///
    /// let load = protocol::Load { running: 3, waiting: 0, slots: 4, slowdown: 1.0 };
    /// assert_eq!(load.bounded(), load);
    /// let load = protocol::Load { running: u32::MAX, slots: u32::MAX, ..load }.bounded();
    /// assert_eq!((load.running, load.slots), (protocol::Load::MAX_REQUESTS, 0));
    /// ```
    pub fn bounded(self) -> Load {
        Load {
            running: self.running.min(Load::MAX_REQUESTS),
            waiting: self.waiting.min(Load::MAX_REQUESTS),
            slots: if self.slots > upstream::MAX_SLOTS { 0 } else { self.slots },
            slowdown: self.slowdown.min(Load::MAX_SLOWDOWN),
        }
    }
}

/// The protocol between callers, hosts and upstreams.
#[derive(Debug, Clone)]
pub struct Protocol {
    /// The names of header fields.
    pub headers: Headers,
    /// Parses the load in the header fields of a response.
    pub parse_load: fn(&HeaderMap) -> Option<Load>,
    /// Parses the rate of calls that a response of an upstream names; `None` if it names none.
    pub parse_limit: fn(&HeaderMap) -> Result<Option<limit::Rate>, limit::Error>,
    /// Parses the time for which the upstream that has sent a response wants nothing from this
    /// host; `None` if the response does not turn a call away or names no time.
    pub parse_pause: fn(http::StatusCode, &HeaderMap) -> Result<Option<pause::Time>, pause::Error>,
    /// Returns whether a response of an upstream says that the upstream is leaving.
    pub parse_leaving: fn(&HeaderMap) -> bool,
    /// The path at which the platform checks whether a host is ready.
    pub ready_path: &'static str,
    /// Parses a directory query in the target of a request; `None` if the path is another one.
    pub parse_query: fn(&http::Uri) -> Option<directory::Query>,
    /// Encodes the JSON body of a directory response: addresses, and how long callers may use them.
    pub encode_addresses: fn(&[SocketAddr], Duration) -> Bytes,
}
