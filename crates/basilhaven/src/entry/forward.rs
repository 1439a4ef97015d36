//! One request of a caller, from admission to the last byte of its answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap};

use super::{delivery, exchange, refuse, Next};
use crate::http1::{self, body, head};
use crate::{call, claim, config, node, profile, service};

/// Bodies up to this length are held until the call ends, so that it can be sent again.
const RETAINED_LEN: usize = 64 * 1024;

/// A request's body as far as it has been read.
#[derive(Debug)]
pub(super) struct Upload {
    /// What has been read.
    pub(super) retained: Bytes,
    /// What is left to read.
    pub(super) rest: body::Reader,
    /// How the upstream is to find its end.
    pub(super) framing: body::Framing,
    /// Whether all of it is retained, so that it can be sent again.
    pub(super) is_held_whole: bool,
}

/// Serves one request.
///
/// # Errors
///
/// The caller's connection failed.
pub(super) async fn serve(
    node: &Rc<node::Node>,
    conn: &mut http1::Conn,
    service: Rc<service::Service>,
    mut request: head::Request,
    next: Next,
) -> Result<Next, http1::Error> {
    let started = Instant::now();
    let call = match new_call(node, &service, &request) {
        Ok(call) => call,
        Err(reason) => {
            let refusal = call::Refusal { outcome: super::unsent(&request.parts), reason };
            return refuse(conn, refusal, super::pass_over(&request, next)).await;
        }
    };
    let mut upload = match monoio::time::timeout(call.remaining(), receive(conn, &request)).await {
        Ok(Ok(upload)) => upload,
        Ok(Err(error)) => {
            super::reject(conn, &error, super::unsent(&request.parts)).await;
            return Ok(Next::Close);
        }
        Err(_) => {
            let reason = call::Reason::Deadline;
            let refusal = call::Refusal { outcome: super::unsent(&request.parts), reason };
            return refuse(conn, refusal, Next::Close).await;
        }
    };
    let claim = match claim_key(node, &service, &call, &request).await {
        Ok(claim) => claim,
        Err(ClaimError::Refused(refusal)) => {
            let next = if upload.rest.is_done() { next } else { Next::Close };
            return refuse(conn, refusal, next).await;
        }
        Err(ClaimError::BadKey(error)) => {
            super::reject(conn, &error, call::Outcome::NotRun).await;
            return Ok(Next::Close);
        }
    };
    prepare_headers(&call, &mut request.parts.headers);
    let profile = service.profile();
    service.retry_budget().deposit(profile.retry_budget_percent);
    service.hedging().budget().deposit(profile.hedge_budget_percent);
    let key = &node.settings().peer_key;
    let delivery = delivery::Delivery { key, service: &service, call: &call, request: &request };
    let result = delivery.run(conn, &mut upload, next).await;
    record(&service, &call, started, &result);
    if let Some(claim) = claim {
        match &result {
            Err(failure) if failure.is_not_run() => claim.release(node),
            _ => claim.release_after_window(node),
        }
    }
    let next_unless_cut = |next| if upload.rest.is_done() { next } else { Next::Close };
    match result {
        Ok(next) => Ok(next_unless_cut(next)),
        Err(exchange::Failure::Refused(refusal)) => {
            refuse(conn, refusal, next_unless_cut(next)).await
        }
        Err(exchange::Failure::Malformed(error)) => {
            super::reject(conn, &error, call::Outcome::Unknown).await;
            Ok(Next::Close)
        }
        Err(exchange::Failure::Broken(_)) => {
            conn.reset_on_close();
            Ok(Next::Abort)
        }
        Err(exchange::Failure::CallerLost | exchange::Failure::Withdrawn) => Ok(Next::Abort),
    }
}

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
    let asked = text(call::field::TIMEOUT).and_then(|t| t.parse().ok()).map(Duration::from_millis);
    let mut limit = asked.map_or(profile.timeout, |asked| asked.min(profile.timeout));
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

/// Why a call's key was not won.
enum ClaimError {
    Refused(call::Refusal),
    BadKey(http1::Error),
}

/// Wins the key of a call that runs at most once; `None` for calls that need none or whose profile asks
/// for no claims.
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
    let (key, others) = (keys.next(), keys.next());
    let Some(key) = key else { return Ok(None) };
    let digest = claim::Key::new(service.name(), key.as_bytes()).filter(|_| others.is_none());
    let Some(digest) = digest else {
        return Err(ClaimError::BadKey(http1::Error::malformed("bad idempotency-key")));
    };
    let profile = service.profile();
    if !profile.claims {
        return Ok(None);
    }
    let claim = claim::acquire(node, digest, call, profile.timeout).await;
    claim.map(Some).map_err(ClaimError::Refused)
}

/// Whether a call may be run more than once. The rules go by the path's start, which says nothing of a
/// path that the upstream may read as another.
fn idempotency(profile: &profile::Profile, parts: &http::request::Parts) -> profile::Idempotency {
    match is_plain(parts.uri.path()) {
        true => profile.idempotency(&parts.method, parts.uri.path()),
        false => profile::Idempotency::AtMostOnce,
    }
}

/// Whether a path has no empty or dot segments, nor anything that some readers take for a separator.
fn is_plain(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let has_alias = ["%2e", "%2f", "%5c", "\\", "//"].iter().any(|alias| lower.contains(alias));
    !has_alias && !path.split('/').any(|segment| segment == "." || segment == "..")
}

/// Reads a small body whole, and the start of a large one.
async fn receive(conn: &mut http1::Conn, request: &head::Request) -> Result<Upload, http1::Error> {
    let mut rest = body::Reader::new(request.framing);
    if rest.is_done() {
        let framing = body::Framing::Empty;
        return Ok(Upload { retained: Bytes::new(), rest, framing, is_held_whole: true });
    }
    if expects_continue(request) && !conn.has_buffered() {
        conn.write(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n")).await?;
    }
    let mut retained = BytesMut::new();
    while retained.len() < RETAINED_LEN {
        match rest.next(conn).await? {
            Some(piece) => retained.extend_from_slice(&piece),
            None => break,
        }
    }
    let is_held_whole = rest.is_done();
    let framing = match is_held_whole {
        true if retained.is_empty() => body::Framing::Empty,
        true => body::Framing::Length(retained.len() as u64),
        false => request.framing,
    };
    Ok(Upload { retained: retained.freeze(), rest, framing, is_held_whole })
}

/// Whether the caller waits for a word before it sends the body.
fn expects_continue(request: &head::Request) -> bool {
    let expected = request.parts.headers.get(header::EXPECT);
    request.parts.version == http::Version::HTTP_11
        && expected.is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Leaves in the headers what the upstream is to see.
fn prepare_headers(call: &call::Call, headers: &mut HeaderMap) {
    head::remove_hop_by_hop(headers);
    headers.remove(header::EXPECT);
    headers.insert(call::field::CALL, value(call.id.to_string()));
}

pub(super) fn value(text: String) -> http::HeaderValue {
    http::HeaderValue::from_str(&text).expect("letters and digits")
}

fn record(
    service: &service::Service,
    call: &call::Call,
    started: Instant,
    result: &Result<Next, exchange::Failure>,
) {
    let result = match result {
        Ok(_) => "answered".to_owned(),
        Err(exchange::Failure::Refused(refusal)) => refusal.reason.to_string(),
        Err(exchange::Failure::Broken(reason)) => format!("broken-{reason}"),
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
