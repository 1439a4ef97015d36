//! One attempt of a call at one upstream, and its outcome.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderValue};

use super::{history, memory, protocol, reply, shaper, upstream};
use crate::http1::{self, body, head};
use crate::profile;

/// Maximum length in bytes of a response head.
pub(super) const MAX_HEAD_LEN: usize = 64 * 1024;

/// Bytes of a response body that are buffered; a longer body is streamed to the caller.
const MAX_BUFFERED_LEN: usize = 256 * 1024;

/// Maximum idle time of a connection that is reused for an at-most-once call: if the upstream
/// closes the connection at the same moment, it stays unknown whether the call ran.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(500);

/// Maximum idle time of a connection that is reused for an idempotent call.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(60);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Responses to other requests that are skipped before a connection is abandoned.
const MAX_MISMATCHED_RESPONSES: usize = 2;

/// A call in the form in which it is sent to upstreams.
#[derive(Debug)]
pub struct Call {
    /// The head of the caller's request, without hop-by-hop header fields.
    pub parts: http::request::Parts,
    /// The whole request body.
    pub body: body::Held,
    /// The request id set by the caller.
    pub id: Option<HeaderValue>,
    /// Whether the call may run more than once.
    pub idempotency: profile::Idempotency,
    /// The earlier of the caller's deadline and the end of the route's timeout.
    pub deadline: Instant,
    /// The organisation of the caller, if it is known.
    pub organisation: Option<Rc<str>>,
    /// The priority of the organisation if it has one, or else of the route; 0 is the highest.
    pub priority: u32,
}

impl Call {
    /// Adds the header field that names the organisation.
    pub(super) fn write_organisation(&self, names: &protocol::Headers, headers: &mut HeaderMap) {
        let name = self.organisation.as_ref().map(|name| HeaderValue::from_bytes(name.as_bytes()));
        if let Some(Ok(name)) = name {
            headers.insert(names.organisation.clone(), name);
        }
    }

    /// Returns the request id for log lines; empty if there is none.
    pub fn id_text(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}

/// Why an attempt brought no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Cause {
    /// No connection could be opened.
    #[display("connect")]
    Connect,
    /// The upstream refused the call without running it.
    #[display("shed")]
    Shed,
    /// The connection failed.
    #[display("connection-lost")]
    ConnectionLost,
    /// The response is malformed, belongs to another request, or is a success without the signature
    /// that marks the response of an upstream.
    #[display("bad-answer")]
    InvalidResponse,
    /// The deadline passed first.
    #[display("timeout")]
    Timeout,
}

/// A response of an upstream.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: http::StatusCode,
    /// The header fields for the caller.
    pub headers: HeaderMap,
    /// The body, or its start if there is a remainder.
    pub body: Bytes,
    /// The part of a long body that is still to be read.
    pub remainder: Option<Box<Remainder>>,
    /// Counts the memory of the body; `None` if there is none.
    pub share: Option<memory::Share>,
    /// The upstream, if the response says that it is leaving.
    pub leaving: Option<Rc<str>>,
}

impl Response {
    /// Returns a response without header fields and body.
    pub(super) fn empty(status: http::StatusCode) -> Response {
        Response {
            status,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            remainder: None,
            share: None,
            leaving: None,
        }
    }

    /// Returns whether the upstream has failed the call: with a server error, or with a
    /// [refusal](reply::is_refusal), which an upstream proves if it has not run the call.
    pub fn is_failure(&self) -> bool {
        self.status.is_server_error() || reply::is_refusal(self.status)
    }
}

/// The unread remainder of a long response body.
#[derive(Debug)]
pub struct Remainder {
    /// The connection to the upstream.
    pub conn: http1::Conn,
    /// Decodes the body.
    pub reader: body::Reader,
    /// The framing of the body as the upstream sends it.
    pub framing: body::Framing,
    /// The deadline of the call.
    pub deadline: Instant,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum Outcome {
    /// The upstream responded.
    Answered(Response),
    /// The upstream did not run the call and will not run it.
    NotRun(Cause),
    /// The upstream may have run the call, or may still run it.
    Unknown(Cause),
}

/// Sends a call to an upstream and waits for the response, whose memory `share` counts. `sends` are
/// the earlier attempts of the call; `outbound` shapes the body.
pub async fn send(
    call: &Call,
    upstream: &upstream::Upstream,
    protocol: &protocol::Protocol,
    sends: &history::Sends,
    outbound: Option<&shaper::Shaper>,
    share: memory::Share,
) -> Outcome {
    let opened = timeout_at(call.deadline, connect(call, upstream, sends)).await;
    let mut conn = match opened {
        Ok(Ok(conn)) => conn,
        Ok(Err(error)) => {
            tracing::debug!(event = "connect_failed", upstream = &*upstream.id, %error);
            upstream.contact.record_silence(Instant::now());
            return Outcome::NotRun(Cause::Connect);
        }
        Err(_) => return Outcome::NotRun(Cause::Timeout),
    };
    let sent_at = Instant::now();
    let exchange = exchange(call, upstream, protocol, &mut conn, outbound, &share);
    let received = match timeout_at(call.deadline, exchange).await {
        Ok(received) => received,
        Err(_) => return Outcome::Unknown(Cause::Timeout),
    };
    match received {
        Ok(received) => {
            upstream.contact.record_response(Instant::now());
            let parts = &received.response.parts;
            // A misdirected call was answered by another upstream, at a reused address.
            if parts.status != http::StatusCode::MISDIRECTED_REQUEST {
                upstream.record_limit((protocol.parse_limit)(&parts.headers), Instant::now());
                let pause = (protocol.parse_pause)(parts.status, &parts.headers);
                upstream.record_pause(pause, Instant::now());
                if (protocol.parse_leaving)(&parts.headers) {
                    upstream.mark_leaving(upstream::Source::Call);
                }
            }
            finish(received, conn, upstream, protocol, call.deadline, share)
        }
        Err(error) => {
            tracing::debug!(event = "exchange_failed", upstream = &*upstream.id, %error);
            upstream.record_error(&error, Instant::now());
            Outcome::Unknown(match error.category() {
                http1::Category::Malformed | http1::Category::HeadTooLarge => {
                    Cause::InvalidResponse
                }
                http1::Category::CutShort | http1::Category::Io => {
                    upstream.record_reset(sent_at, Instant::now());
                    Cause::ConnectionLost
                }
            })
        }
    }
}

/// Awaits a future until a deadline.
pub(super) async fn timeout_at<F>(
    deadline: Instant,
    work: F,
) -> Result<F::Output, monoio::time::error::Elapsed>
where
    F: std::future::Future,
{
    monoio::time::timeout(deadline.saturating_duration_since(Instant::now()), work).await
}

async fn connect(
    call: &Call,
    upstream: &upstream::Upstream,
    sends: &history::Sends,
) -> std::io::Result<http1::Conn> {
    let max_idle = match call.idempotency {
        profile::Idempotency::Idempotent => MAX_IDLE_IDEMPOTENT,
        profile::Idempotency::AtMostOnce => MAX_IDLE_AT_MOST_ONCE,
    };
    // A late copy of an earlier response is recognised by its request id, unless that belongs to an
    // earlier attempt of the same call.
    if call.id.is_some() && !sends.may_include(&upstream.id) {
        if let Some(conn) = upstream.take_conn(Instant::now(), max_idle) {
            return Ok(conn);
        }
    }
    let address = upstream.entry().address;
    http1::Conn::open(address, CONNECT_TIMEOUT).await
}

/// A response, its body read as far as it is buffered.
struct Received {
    response: head::Response,
    body: Bytes,
    reader: body::Reader,
    /// Whether the response states that the call was not run.
    is_not_run: bool,
    /// Whether the response is valid: a success has to carry the upstream's signature.
    is_valid: bool,
    /// Whether the connection can be reused.
    is_reusable: bool,
}

async fn exchange(
    call: &Call,
    upstream: &upstream::Upstream,
    protocol: &protocol::Protocol,
    conn: &mut http1::Conn,
    outbound: Option<&shaper::Shaper>,
    share: &memory::Share,
) -> Result<Received, http1::Error> {
    let mut unsent = encode(call, upstream, &protocol.headers);
    conn.write(unsent.take_first()).await?;
    if let Some(outbound) = outbound {
        outbound.send(conn, &mut unsent).await?;
    }
    let mut mismatched = 0;
    loop {
        let response =
            conn.send_and_read_response(&mut unsent, &call.parts.method, MAX_HEAD_LEN).await?;
        let mut reader = body::Reader::new(response.framing);
        let echoed = response.parts.headers.get(&protocol.headers.request_id);
        let is_own = match (echoed, &call.id) {
            (Some(echoed), Some(id)) => echoed == id,
            // A health response carries the id of the upstream and no request id.
            (None, Some(_)) => !response.parts.headers.contains_key(&protocol.headers.upstream_id),
            _ => true,
        };
        let body = buffer_body(conn, &mut reader, share).await?;
        if is_own {
            let has_id = echoed.is_some() || call.id.is_none();
            let mut received =
                inspect(response, body, reader, protocol, conn, (has_id, mismatched));
            // The rest of the request would be taken for the start of the next one.
            received.is_reusable &= unsent.is_empty();
            return Ok(received);
        }
        mismatched += 1;
        share.release(share.len());
        let is_last = response.framing == body::Framing::UntilClose || !reader.is_done();
        if is_last || mismatched > MAX_MISMATCHED_RESPONSES {
            return Err(http1::Error::malformed("response to another request"));
        }
    }
}

/// Reads the body up to the length that is buffered, or until there is no memory for more: the rest
/// is then read as the caller takes it. `share` counts what is held.
pub(super) async fn buffer_body(
    conn: &mut http1::Conn,
    reader: &mut body::Reader,
    share: &memory::Share,
) -> Result<Bytes, http1::Error> {
    let mut buffer = BytesMut::new();
    let mut conn_len = 0;
    while buffer.len() < MAX_BUFFERED_LEN {
        let Some(piece) = reader.next(conn).await? else { break };
        if buffer.is_empty() && reader.is_done() {
            share.add_held(piece.len(), Instant::now());
            return Ok(piece);
        }
        if buffer.is_empty() {
            conn_len = share.add_connection(conn, Instant::now());
        }
        let capacity = buffer.capacity();
        let is_full = buffer.len() + piece.len() > capacity;
        // A buffer grows to twice its length.
        let more = if is_full { capacity.max(piece.len()) } else { 0 };
        let has_room = share.try_grow(more);
        if !has_room {
            share.add_held(piece.len(), Instant::now());
            buffer.reserve(piece.len());
        } else if is_full {
            buffer.reserve(capacity + more - buffer.len());
        }
        buffer.extend_from_slice(&piece);
        if !has_room {
            break;
        }
    }
    if reader.is_done() {
        share.release(conn_len);
    }
    Ok(buffer.freeze())
}

fn inspect(
    response: head::Response,
    body: Bytes,
    reader: body::Reader,
    protocol: &protocol::Protocol,
    conn: &http1::Conn,
    (has_id, mismatched): (bool, usize),
) -> Received {
    let headers = &response.parts.headers;
    let status = response.parts.status;
    let is_rejection = headers.contains_key(&protocol.headers.not_run)
        || status == http::StatusCode::MISDIRECTED_REQUEST;
    // A rejection without the id may be a copy of one of an earlier call.
    let is_not_run = is_rejection && has_id;
    let is_valid = match status.is_success() {
        true => headers.contains_key(&protocol.headers.signature),
        false => !is_rejection || has_id,
    };
    let is_reusable = is_valid
        && response.allows_reuse()
        && reader.is_done()
        && mismatched == 0
        && !conn.has_buffered();
    Received { response, body, reader, is_not_run, is_valid, is_reusable }
}

fn finish(
    received: Received,
    conn: http1::Conn,
    upstream: &upstream::Upstream,
    protocol: &protocol::Protocol,
    deadline: Instant,
    share: memory::Share,
) -> Outcome {
    let Received { response, body, reader, is_not_run, is_valid, is_reusable } = received;
    let mut remainder = None;
    if is_reusable {
        upstream.put_conn(conn, Instant::now(), response.keep_alive_timeout());
    } else if !reader.is_done() {
        remainder = Some(Box::new(Remainder { conn, reader, framing: response.framing, deadline }));
    }
    if is_not_run {
        return Outcome::NotRun(Cause::Shed);
    }
    if !is_valid {
        return Outcome::Unknown(Cause::InvalidResponse);
    }
    let mut headers = response.parts.headers;
    head::remove_hop_by_hop(&mut headers);
    // The time is for this host, not for its callers.
    if response.parts.status == http::StatusCode::SERVICE_UNAVAILABLE {
        headers.remove(header::RETRY_AFTER);
    }
    let leaving = headers.remove(&protocol.headers.leaving).map(|_| Rc::clone(&upstream.id));
    let (status, share) = (response.parts.status, Some(share));
    Outcome::Answered(Response { status, headers, body, remainder, share, leaving })
}

/// Encodes the request to an upstream.
fn encode(call: &Call, upstream: &upstream::Upstream, names: &protocol::Headers) -> body::Unsent {
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let mut headers = call.parts.headers.clone();
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(remaining.as_millis() as u64));
    if let Ok(id) = HeaderValue::from_str(&upstream.id) {
        headers.insert(names.expected_upstream.clone(), id);
    }
    call.write_organisation(names, &mut headers);
    encode_request(call, &headers)
}

/// Encodes the request of a call with these header fields. Its body is not copied.
pub(super) fn encode_request(call: &Call, headers: &HeaderMap) -> body::Unsent {
    let framing = call.body.framing();
    let head = head::encode_request(&call.parts.method, &call.parts.uri, headers, framing);
    body::Unsent::new(head, &call.body)
}
