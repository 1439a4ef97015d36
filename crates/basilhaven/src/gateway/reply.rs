//! What the caller of a call is told.
//!
//! Callers take a [refusal](is_refusal) as a promise that their call has not run and never will, and
//! send it again. A [`Reply`] keeps that promise: only [`Reply::NotRun`], which rests on a proof,
//! refuses a call that runs at most once.

use std::time::Duration;

use super::{attempt, history};
use crate::profile;

/// How soon the caller of a call that was not run may retry if nothing else is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Returns whether callers take a status as a promise that their call has not run and never will.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::reply;
///
/// assert!(reply::is_refusal(http::StatusCode::TOO_MANY_REQUESTS));
/// assert!(!reply::is_refusal(http::StatusCode::BAD_GATEWAY));
/// ```
pub fn is_refusal(status: http::StatusCode) -> bool {
    matches!(
        status,
        http::StatusCode::REQUEST_TIMEOUT
            | http::StatusCode::MISDIRECTED_REQUEST
            | http::StatusCode::TOO_MANY_REQUESTS
            | http::StatusCode::SERVICE_UNAVAILABLE
    )
}

/// The reply to the caller of a call.
#[derive(Debug)]
pub enum Reply {
    /// The response of an upstream, or an error that no upstream has had a part in.
    Response(Answer),
    /// The call did not run and will not run.
    NotRun {
        /// When the caller may retry.
        retry_after: Duration,
        /// The attempts that were made.
        attempts: u32,
        /// The upstreams that they were made at.
        sends: history::Sends,
    },
    /// The call may have run, but no response can be forwarded.
    Unknown(Failure),
}

impl Reply {
    /// Returns the reply to a call for which no upstream was looked for.
    pub fn refused() -> Reply {
        Reply::NotRun { retry_after: RETRY_AFTER, attempts: 0, sends: history::Sends::default() }
    }
}

/// A response that can be delivered to the caller of a call.
#[derive(Debug)]
pub struct Answer {
    response: attempt::Response,
    withheld: Option<http::StatusCode>,
}

impl Answer {
    /// Takes the response of an upstream to a call that it may have run; another host may have
    /// passed it on.
    ///
    /// An upstream's refusal proves nothing to this host. The caller of a call that runs at most
    /// once gets 502 in its place, without the header fields and the body. The caller of an
    /// idempotent call may send it again in any case, and gets the response as it is.
    pub fn new(response: attempt::Response, idempotency: profile::Idempotency) -> Answer {
        let status = response.status;
        if idempotency == profile::Idempotency::Idempotent || !is_refusal(status) {
            return Answer { response, withheld: None };
        }
        let response = attempt::Response {
            leaving: response.leaving,
            ..attempt::Response::empty(Failure::BadGateway.status())
        };
        Answer { response, withheld: Some(status) }
    }

    /// Returns an error of this host, for a request that is not sent to any upstream.
    pub fn rejection(status: http::StatusCode) -> Answer {
        Answer { response: attempt::Response::empty(status), withheld: None }
    }

    /// Returns the upstream's status if it is withheld from the caller.
    pub fn withheld(&self) -> Option<http::StatusCode> {
        self.withheld
    }

    /// Returns the response.
    pub fn response(&self) -> &attempt::Response {
        &self.response
    }

    /// Returns the response for delivery.
    pub fn into_response(self) -> attempt::Response {
        self.response
    }
}

/// Why there is no response to a call that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The upstream gave no usable response, or the host that the call was passed to.
    BadGateway,
    /// There was no response before the deadline.
    GatewayTimeout,
}

impl Failure {
    /// Returns the status of the response to the caller, which is no [refusal](is_refusal).
    pub fn status(self) -> http::StatusCode {
        match self {
            Failure::BadGateway => http::StatusCode::BAD_GATEWAY,
            Failure::GatewayTimeout => http::StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl From<http::StatusCode> for Failure {
    /// Takes the status with which another host says that a call may have run.
    fn from(status: http::StatusCode) -> Failure {
        match status {
            http::StatusCode::GATEWAY_TIMEOUT => Failure::GatewayTimeout,
            _ => Failure::BadGateway,
        }
    }
}
