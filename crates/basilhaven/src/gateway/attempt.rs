//! One send of a call to one upstream, and what came back.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{HeaderMap, HeaderValue};

use super::{protocol, upstream};
use crate::http1::{self, body, head};
use crate::profile;

/// Bytes of a response's head.
const MAX_HEAD_LEN: usize = 64 * 1024;

/// Bytes of a response's body that are held until it is whole; longer ones are passed on in pieces.
const MAX_HELD_LEN: usize = 256 * 1024;

/// How long a connection may have been idle that carries a call which may not run twice: an
/// upstream that closes it at the same moment leaves open whether the call ran.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(500);

/// How long a connection may have been idle that carries any other call.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(60);

/// The longest that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Responses to other requests that are passed over before a connection is given up.
const MAX_STRANGE_RESPONSES: usize = 2;

/// A call as it is sent to upstreams.
#[derive(Debug)]
pub struct Call {
    /// The caller's request, its head without the fields that concern one connection.
    pub parts: http::request::Parts,
    /// Its whole body.
    pub body: Bytes,
    /// The id that the caller gave it.
    pub id: Option<HeaderValue>,
    /// Whether it may run more than once.
    pub idempotency: profile::Idempotency,
    /// When its caller stops waiting, or the route's time limit passes.
    pub deadline: Instant,
}

impl Call {
    /// The id that the caller gave it, for log lines.
    pub fn id_text(&self) -> &str {
        self.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}

/// Why a send brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Cause {
    /// No connection could be opened.
    #[display("connect")]
    Connect,
    /// The upstream says that it did not run the call.
    #[display("shed")]
    Shed,
    /// The connection failed.
    #[display("connection-lost")]
    ConnectionLost,
    /// What came back is no right answer.
    #[display("bad-answer")]
    InvalidResponse,
    /// No answer came in time.
    #[display("timeout")]
    Timeout,
}

/// A response of an upstream.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: http::StatusCode,
    /// The header fields for the caller.
    pub headers: HeaderMap,
    /// The body, or its start when there is a rest.
    pub body: Bytes,
    /// What is still to be read of a long body.
    pub remainder: Option<Box<Remainder>>,
}

/// The rest of a long response.
#[derive(Debug)]
pub struct Remainder {
    /// The connection that it comes on.
    pub conn: http1::Conn,
    /// Reads it.
    pub reader: body::Reader,
    /// How the body is framed for the caller.
    pub framing: body::Framing,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// What became of a send.
#[derive(Debug)]
pub enum Outcome {
    /// The upstream ran the call and answered.
    Answered(Response),
    /// The upstream did not run the call, nor will.
    NotRun(Cause),
    /// The upstream may have run the call.
    Unknown(Cause),
}

/// Sends a call to an upstream and waits for its answer.
pub async fn send(
    call: &Call,
    upstream: &upstream::Upstream,
    protocol: &protocol::Protocol,
) -> Outcome {
    let opened = timeout_at(call.deadline, connect(call, upstream)).await;
    let mut conn = match opened {
        Ok(Ok(conn)) => conn,
        Ok(Err(error)) => {
            tracing::debug!(event = "connect_failed", upstream = &*upstream.id, %error);
            return Outcome::NotRun(Cause::Connect);
        }
        Err(_) => return Outcome::NotRun(Cause::Timeout),
    };
    let exchange = exchange(call, upstream, protocol, &mut conn);
    let received = match timeout_at(call.deadline, exchange).await {
        Ok(received) => received,
        Err(_) => return Outcome::Unknown(Cause::Timeout),
    };
    match received {
        Ok(received) => finish(received, conn, upstream, call.deadline),
        Err(error) => {
            tracing::debug!(event = "exchange_failed", upstream = &*upstream.id, %error);
            Outcome::Unknown(match error.category() {
                http1::Category::Malformed | http1::Category::HeadTooLarge => {
                    Cause::InvalidResponse
                }
                http1::Category::CutShort | http1::Category::Io => Cause::ConnectionLost,
            })
        }
    }
}

/// Waits for something until a moment.
pub(super) async fn timeout_at<F>(
    until: Instant,
    work: F,
) -> Result<F::Output, monoio::time::error::Elapsed>
where
    F: std::future::Future,
{
    monoio::time::timeout(until.saturating_duration_since(Instant::now()), work).await
}

async fn connect(call: &Call, upstream: &upstream::Upstream) -> std::io::Result<http1::Conn> {
    let max_idle = match call.idempotency {
        profile::Idempotency::Idempotent => MAX_IDLE_IDEMPOTENT,
        profile::Idempotency::AtMostOnce => MAX_IDLE_AT_MOST_ONCE,
    };
    if let Some(conn) = upstream.take_conn(Instant::now(), max_idle) {
        return Ok(conn);
    }
    let address = upstream.entry().address;
    http1::Conn::open(address, CONNECT_TIMEOUT).await
}

/// A response that has come, as far as it is held.
struct Received {
    response: head::Response,
    body: Bytes,
    reader: body::Reader,
    /// Whether it can be told from the response that the call was not run.
    not_run: bool,
    /// Whether it is right: not a success without the mark of the upstream's answers.
    right: bool,
    /// Whether the connection may carry another call.
    reusable: bool,
}

async fn exchange(
    call: &Call,
    upstream: &upstream::Upstream,
    protocol: &protocol::Protocol,
    conn: &mut http1::Conn,
) -> Result<Received, http1::Error> {
    conn.write(encode(call, upstream, &protocol.headers)).await?;
    let mut strange = 0;
    loop {
        let response = conn.read_response(&call.parts.method, MAX_HEAD_LEN).await?;
        let mut reader = body::Reader::new(response.framing);
        let echoed = response.parts.headers.get(&protocol.headers.request_id);
        let is_own = match (echoed, &call.id) {
            (Some(echoed), Some(id)) => echoed == id,
            // Only answers to health checks name the upstream and no call.
            (None, Some(_)) => !response.parts.headers.contains_key(&protocol.headers.upstream_id),
            _ => true,
        };
        let body = hold(conn, &mut reader).await?;
        if is_own {
            return Ok(judge(response, body, reader, protocol, conn, strange));
        }
        strange += 1;
        let ends = response.framing == body::Framing::UntilClose || !reader.is_done();
        if ends || strange > MAX_STRANGE_RESPONSES {
            return Err(http1::Error::malformed("response to another request"));
        }
    }
}

/// Reads a body up to what is held.
async fn hold(conn: &mut http1::Conn, reader: &mut body::Reader) -> Result<Bytes, http1::Error> {
    let mut held = BytesMut::new();
    while held.len() < MAX_HELD_LEN {
        match reader.next(conn).await? {
            Some(piece) if held.is_empty() && reader.is_done() => return Ok(piece),
            Some(piece) => held.extend_from_slice(&piece),
            None => break,
        }
    }
    Ok(held.freeze())
}

fn judge(
    response: head::Response,
    body: Bytes,
    reader: body::Reader,
    protocol: &protocol::Protocol,
    conn: &http1::Conn,
    strange: usize,
) -> Received {
    let headers = &response.parts.headers;
    let status = response.parts.status;
    let not_run = headers.contains_key(&protocol.headers.not_run)
        || status == http::StatusCode::MISDIRECTED_REQUEST;
    let right = !status.is_success() || headers.contains_key(&protocol.headers.signature);
    let reusable =
        response.allows_reuse() && reader.is_done() && strange == 0 && !conn.has_buffered();
    Received { response, body, reader, not_run, right, reusable }
}

fn finish(
    received: Received,
    conn: http1::Conn,
    upstream: &upstream::Upstream,
    deadline: Instant,
) -> Outcome {
    let Received { response, body, reader, not_run, right, reusable } = received;
    let mut remainder = None;
    if reusable {
        upstream.keep_conn(conn, Instant::now(), response.keep_alive_timeout());
    } else if !reader.is_done() {
        remainder = Some(Box::new(Remainder { conn, reader, framing: response.framing, deadline }));
    }
    if not_run {
        return Outcome::NotRun(Cause::Shed);
    }
    if !right {
        return Outcome::Unknown(Cause::InvalidResponse);
    }
    let mut headers = response.parts.headers;
    head::remove_hop_by_hop(&mut headers);
    Outcome::Answered(Response { status: response.parts.status, headers, body, remainder })
}

/// The bytes of the request to an upstream.
fn encode(call: &Call, upstream: &upstream::Upstream, fields: &protocol::Headers) -> Bytes {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let mut headers = call.parts.headers.clone();
    headers.insert(fields.deadline_ms.clone(), HeaderValue::from(left.as_millis() as u64));
    if let Ok(id) = HeaderValue::from_str(&upstream.id) {
        headers.insert(fields.expected_upstream.clone(), id);
    }
    let framing = match call.body.len() as u64 {
        0 => body::Framing::Empty,
        len => body::Framing::Length(len),
    };
    let head = head::encode_request(&call.parts.method, &call.parts.uri, &headers, framing);
    if call.body.is_empty() {
        return head;
    }
    let mut message = BytesMut::from(&head[..]);
    message.extend_from_slice(&call.body);
    message.freeze()
}
