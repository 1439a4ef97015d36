//! One request of a caller, from admission to the last byte of its response.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap};

use super::{delivery, exchange, refuse, Persistence};
use crate::http1::{self, body, head};
use crate::{call, claim, config, node, profile, service};

/// Bodies up to this length are buffered until the call ends, so that they can be sent again.
const MAX_BUFFERED_LEN: usize = 64 * 1024;

/// The body of a request, as far as it has been read.
#[derive(Debug)]
pub(super) struct Upload {
    /// The part that has been read.
    pub(super) buffered: Bytes,
    /// The reader of the remaining part.
    pub(super) rest: body::Reader,
    /// The framing of the body on the upstream's connection.
    pub(super) framing: body::Framing,
    /// Whether `buffered` holds the whole body, so that it can be sent again.
    pub(super) is_fully_buffered: bool,
}

/// Serves one request.
///
/// # Errors
///
/// Returns an error if the caller's connection fails.
pub(super) async fn serve(
    node: &Rc<node::Node>,
    conn: &mut http1::Conn,
    service: Rc<service::Service>,
    mut request: head::Request,
    persistence: Persistence,
) -> Result<Persistence, http1::Error> {
    let started = Instant::now();
    let call = match new_call(node, &service, &request) {
        Ok(call) => call,
        Err(reason) => {
            let refusal =
                call::Refusal { outcome: super::outcome_if_unsent(&request.parts), reason };
            return refuse(conn, refusal, super::close_if_body(&request, persistence)).await;
        }
    };
    let mut upload = match monoio::time::timeout(call.remaining(), receive(conn, &request)).await {
        Ok(Ok(upload)) => upload,
        Ok(Err(error)) => {
            super::reject(conn, &error, super::outcome_if_unsent(&request.parts)).await;
            return Ok(Persistence::Close);
        }
        Err(_) => {
            let reason = call::Reason::Deadline;
            let refusal =
                call::Refusal { outcome: super::outcome_if_unsent(&request.parts), reason };
            return refuse(conn, refusal, Persistence::Close).await;
        }
    };
    let claim = match claim_key(node, &service, &call, &request).await {
        Ok(claim) => claim,
        Err(ClaimError::Refused(refusal)) => {
            let persistence = if upload.rest.is_done() { persistence } else { Persistence::Close };
            return refuse(conn, refusal, persistence).await;
        }
        Err(ClaimError::BadKey(error)) => {
            super::reject(conn, &error, call::Outcome::NotRun).await;
            return Ok(Persistence::Close);
        }
    };
    prepare_headers(&call, &mut request.parts.headers);
    let profile = service.profile();
    service.retry_budget().deposit(profile.retry_budget_percent);
    service.hedging().budget().deposit(profile.hedge_budget_percent);
    let signing_key = &node.settings().peer_key;
    let delivery =
        delivery::Delivery { signing_key, service: &service, call: &call, request: &request };
    let result = delivery.run(conn, &mut upload, persistence).await;
    record(&service, &call, started, &result);
    if let Some(claim) = claim {
        match &result {
            Err(failure) if failure.is_not_run() => claim.release(node),
            _ => claim.release_after_window(node),
        }
    }
    let close_if_body_unread =
        |persistence| if upload.rest.is_done() { persistence } else { Persistence::Close };
    match result {
        Ok(persistence) => Ok(close_if_body_unread(persistence)),
        Err(exchange::Failure::Refused(refusal)) => {
            refuse(conn, refusal, close_if_body_unread(persistence)).await
        }
        Err(exchange::Failure::Malformed(error)) => {
            super::reject(conn, &error, call::Outcome::Unknown).await;
            Ok(Persistence::Close)
        }
        Err(exchange::Failure::Truncated(_)) => {
            conn.reset_on_close();
            Ok(Persistence::Abort)
        }
        Err(exchange::Failure::CallerLost | exchange::Failure::Withdrawn) => Ok(Persistence::Abort),
    }
}

/// Returns the call for a request. Its class and retries come from the signed context if the
/// request is nested in another call, otherwise from the caller's credential and the service's
/// profile. Its time limit is the lowest of those that the request, the profile and the context
/// set.
///
/// # Errors
///
/// Returns an error if the call is nested too deeply.
fn new_call(
    node: &node::Node,
    service: &service::Service,
    request: &head::Request,
) -> Result<call::Call, call::Reason> {
    let headers = &request.parts.headers;
    let text = |name| headers.get(name).and_then(|v: &http::HeaderValue| v.to_str().ok());
    let profile = service.profile();
    let key = &node.settings().peer_key;
    let context = text(call::field::CONTEXT).and_then(|t| call::Context::verify(t, key));
    let requested =
        text(call::field::TIMEOUT).and_then(|t| t.parse().ok()).map(Duration::from_millis);
    let mut limit = requested.map_or(profile.timeout, |requested| requested.min(profile.timeout));
    let (class, depth, retries_left) = match context {
        Some(context) => {
            limit = limit.min(context.remaining());
            (context.class, context.depth, context.retries_left)
        }
        None => {
            let credential = text(header::AUTHORIZATION).and_then(|t| t.strip_prefix("Bearer "));
            (node.class_of(credential), 0, profile.retries)
        }
    };
    if depth > call::MAX_DEPTH {
        return Err(call::Reason::TooDeep);
    }
    Ok(call::Call {
        id: call::Id::random(),
        class,
        idempotency: idempotency(&profile, &request.parts),
        deadline: Instant::now() + limit,
        depth,
        retries_left,
    })
}

/// Why a call's idempotency key was not claimed.
enum ClaimError {
    Refused(call::Refusal),
    BadKey(http1::Error),
}

/// Claims the idempotency key of an at-most-once call, so that no other call with the same key is
/// run ([`claim`]). Returns `None` if the call has no key, if it is idempotent, or if claims are
/// not enabled in the profile.
async fn claim_key(
    node: &Rc<node::Node>,
    service: &service::Service,
    call: &call::Call,
    request: &head::Request,
) -> Result<Option<claim::Claim>, ClaimError> {
    if call.idempotency == profile::Idempotency::Idempotent {
        return Ok(None);
    }
    let mut keys = request.parts.headers.get_all(call::field::KEY).iter();
    let (key, second) = (keys.next(), keys.next());
    let Some(key) = key else { return Ok(None) };
    let digest = claim::Key::new(service.name(), key.as_bytes()).filter(|_| second.is_none());
    let Some(digest) = digest else {
        return Err(ClaimError::BadKey(http1::Error::malformed(
            "idempotency-key is not one field of 1 to 255 visible ASCII characters",
        )));
    };
    let profile = service.profile();
    if !profile.claims {
        return Ok(None);
    }
    let claim = claim::acquire(node, digest, call, profile.timeout).await;
    claim.map(Some).map_err(ClaimError::Refused)
}

/// Returns whether the call may be run more than once. The profile's rules match path prefixes,
/// which is unsafe for a path that the upstream may normalise to another one: such a call is
/// at-most-once.
fn idempotency(profile: &profile::Profile, parts: &http::request::Parts) -> profile::Idempotency {
    match is_plain(parts.uri.path()) {
        true => profile.idempotency(&parts.method, parts.uri.path()),
        false => profile::Idempotency::AtMostOnce,
    }
}

/// Returns `true` if the path has no empty or dot segments and nothing that some servers read as a
/// separator.
fn is_plain(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let has_alias = ["%2e", "%2f", "%5c", "\\", "//"].iter().any(|alias| lower.contains(alias));
    !has_alias && !path.split('/').any(|segment| segment == "." || segment == "..")
}

/// Reads a small body completely, or the start of a large one.
async fn receive(conn: &mut http1::Conn, request: &head::Request) -> Result<Upload, http1::Error> {
    let mut rest = body::Reader::new(request.framing);
    if rest.is_done() {
        let framing = body::Framing::Empty;
        return Ok(Upload { buffered: Bytes::new(), rest, framing, is_fully_buffered: true });
    }
    if expects_continue(request) && !conn.has_buffered() {
        conn.write(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n")).await?;
    }
    let mut buffered = BytesMut::new();
    while buffered.len() < MAX_BUFFERED_LEN {
        match rest.next(conn).await? {
            Some(piece) => buffered.extend_from_slice(&piece),
            None => break,
        }
    }
    let is_fully_buffered = rest.is_done();
    let framing = match is_fully_buffered {
        true if buffered.is_empty() => body::Framing::Empty,
        true => body::Framing::Length(buffered.len() as u64),
        false => request.framing,
    };
    Ok(Upload { buffered: buffered.freeze(), rest, framing, is_fully_buffered })
}

/// Returns `true` if the caller waits for `100 Continue` before it sends the body.
fn expects_continue(request: &head::Request) -> bool {
    let expected = request.parts.headers.get(header::EXPECT);
    request.parts.version == http::Version::HTTP_11
        && expected.is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Removes hop-by-hop headers and adds the call's id.
fn prepare_headers(call: &call::Call, headers: &mut HeaderMap) {
    head::remove_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    headers.insert(call::field::CALL, header_value(call.id.to_string()));
}

pub(super) fn header_value(text: String) -> http::HeaderValue {
    http::HeaderValue::from_str(&text).expect("letters and digits are valid in a header")
}

/// Records the result and the duration of a call in the metrics.
fn record(
    service: &service::Service,
    call: &call::Call,
    started: Instant,
    result: &Result<Persistence, exchange::Failure>,
) {
    let result = match result {
        Ok(_) => "answered".to_owned(),
        Err(exchange::Failure::Refused(refusal)) => refusal.reason.to_string(),
        Err(exchange::Failure::Truncated(reason)) => format!("broken-{reason}"),
        Err(exchange::Failure::CallerLost | exchange::Failure::Withdrawn) => {
            "caller-lost".to_owned()
        }
        Err(exchange::Failure::Malformed(_)) => "malformed-request".to_owned(),
    };
    let class = match call.class {
        config::Class::Paying => "paying",
        config::Class::Free => "free",
    };
    let service = service.name().to_string();
    metrics::counter!(
        "basilhaven_calls_total",
        "service" => service.clone(), "class" => class, "result" => result
    )
    .increment(1);
    metrics::histogram!("basilhaven_call_seconds", "service" => service, "class" => class)
        .record(started.elapsed().as_secs_f64());
}
