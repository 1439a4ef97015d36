//! Callers' connections: one task each, from accept to close.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::future::{self, Either};
use http::header::{self, HeaderMap, HeaderValue};
use monoio::net::{TcpListener, TcpStream};

use super::{attempt, cluster, place, protocol, retries, route, signal, updates};
use crate::http1::{self, body, head};
use crate::profile;

mod attempts;

/// Pause after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How long a caller may take to read an answer.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a connection may take to end after its last answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a connection stays idle after its last answer while the host stops, for a request that is
/// on its way.
const STOP_GRACE: Duration = Duration::from_millis(300);

/// What a stopping host leaves a call for its answer: some round trips to a caller.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// What the tasks of callers' connections share.
#[derive(Debug)]
pub struct Frontend {
    /// The configuration in force.
    pub config: Rc<updates::Config>,
    /// Places calls.
    pub placer: place::Placer,
    /// The hosts.
    pub members: Rc<cluster::Members>,
    /// The protocol.
    pub protocol: protocol::Protocol,
    /// What all hosts together may spend on sending calls again.
    pub retries: retries::Allowance,
    /// Connections that are open.
    pub open_connections: Cell<usize>,
    /// Calls that are being served.
    pub active_calls: Cell<usize>,
    /// Notified when idle connections are to be closed.
    pub close_idle: signal::Signal,
    /// When the process ends, once it has been told to stop.
    pub exit_at: Cell<Option<Instant>>,
}

impl Frontend {
    /// What this host may spend on sending calls again.
    fn retry_allowance(&self) -> retries::Allowance {
        self.retries.of_one(self.members.share(Instant::now()))
    }
}

/// Whether a connection may carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// It may.
    Request,
    /// It is closed once the caller has read everything.
    Close,
    /// It is closed at once: the caller has gone, or is to see that its answer has no end.
    Abort,
}

/// Accepts callers.
pub async fn accept(frontend: Rc<Frontend>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                frontend.open_connections.set(frontend.open_connections.get() + 1);
                let frontend = Rc::clone(&frontend);
                monoio::spawn(async move {
                    connection(&frontend, stream).await;
                    frontend.open_connections.set(frontend.open_connections.get() - 1);
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(frontend: &Frontend, stream: TcpStream) {
    let mut conn = match http1::Conn::new(stream) {
        Ok(conn) => conn,
        Err(error) => {
            tracing::debug!(event = "connection_lost", %error);
            return;
        }
    };
    match requests(frontend, &mut conn).await {
        Ok(Next::Request | Next::Close) => conn.linger(LINGER_TIMEOUT).await,
        Ok(Next::Abort) => conn.reset_on_close(),
        Err(error) => tracing::debug!(event = "connection_lost", %error),
    }
}

/// Serves one request after another; tells how the connection is to be closed.
async fn requests(frontend: &Frontend, conn: &mut http1::Conn) -> Result<Next, http1::Error> {
    loop {
        let limits = frontend.config.limits();
        conn.release();
        if !await_request(frontend, conn, limits.idle_timeout).await {
            return Ok(Next::Close);
        }
        let read = conn.read_request(limits.max_head_len);
        let request = match monoio::time::timeout(limits.head_timeout, read).await {
            Ok(Ok(Some(request))) => request,
            Ok(Ok(None)) => return Ok(Next::Close),
            Ok(Err(error)) => return reject(conn, &error).await,
            Err(_) => return Ok(Next::Abort),
        };
        frontend.active_calls.set(frontend.active_calls.get() + 1);
        let next = serve(frontend, conn, request, &limits).await;
        frontend.active_calls.set(frontend.active_calls.get() - 1);
        match next? {
            Next::Request => {}
            next => return Ok(next),
        }
    }
}

/// Waits until the caller sends something; false when the connection is to be closed.
async fn await_request(frontend: &Frontend, conn: &http1::Conn, idle_timeout: Duration) -> bool {
    if conn.has_leftover() {
        return true;
    }
    let arrived = std::pin::pin!(monoio::time::timeout(idle_timeout, conn.readable()));
    let closing = std::pin::pin!(async {
        frontend.close_idle.changed(0).await;
        monoio::time::sleep(STOP_GRACE).await;
    });
    match future::select(arrived, closing).await {
        Either::Left((Ok(Ok(())), _)) => true,
        Either::Left(_) => false,
        // A request that is here already is still served.
        Either::Right(_) => conn.has_arrived(),
    }
}

/// Tells a caller what is wrong with its request; the connection is closed after it.
async fn reject(conn: &mut http1::Conn, error: &http1::Error) -> Result<Next, http1::Error> {
    let status = match error.category() {
        http1::Category::Malformed => http::StatusCode::BAD_REQUEST,
        http1::Category::HeadTooLarge => http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        http1::Category::CutShort | http1::Category::Io => return Ok(Next::Abort),
    };
    tracing::info!(event = "request_rejected", status = status.as_u16(), %error);
    send(conn, status, &HeaderMap::new(), Bytes::new(), Next::Close).await
}

async fn serve(
    frontend: &Frontend,
    conn: &mut http1::Conn,
    request: head::Request,
    limits: &route::Limits,
) -> Result<Next, http1::Error> {
    let started = Instant::now();
    let keeps = head::keeps_alive(request.parts.version, &request.parts.headers);
    let next = || {
        let stays = frontend.members.state() != cluster::State::Leaving;
        if keeps && stays {
            Next::Request
        } else {
            Next::Close
        }
    };
    let body = match read_body(conn, &request, limits).await {
        Ok(Some(body)) => body,
        Ok(None) => {
            let status = http::StatusCode::PAYLOAD_TOO_LARGE;
            return send(conn, status, &HeaderMap::new(), Bytes::new(), Next::Close).await;
        }
        Err(error) => return reject(conn, &error).await,
    };
    let Some(table) = frontend.config.table() else {
        tracing::info!(event = "not_configured");
        return not_run(conn, attempts::RETRY_AFTER, next()).await;
    };
    let host = head::host(&request.parts).unwrap_or_default();
    let Some(route) = table.find(host, request.parts.uri.path()).cloned() else {
        tracing::info!(event = "no_route", host, version = table.version);
        return send(conn, http::StatusCode::NOT_FOUND, &HeaderMap::new(), Bytes::new(), next())
            .await;
    };
    let call = call(frontend, request, body, &route, started);
    if frontend.exit_at.get().is_some_and(|end| call.deadline + ANSWER_TIME > end) {
        tracing::info!(event = "stopping_too_soon", id = call.id_text(), route = &*route.name);
        return not_run(conn, attempts::RETRY_AFTER, Next::Close).await;
    }
    let left = Cell::new(false);
    let reply = {
        let run = std::pin::pin!(attempts::run(frontend, &table, &route, &call, &left));
        let ended = std::pin::pin!(conn.ended());
        match future::select(run, ended).await {
            Either::Left((reply, _)) => reply,
            Either::Right(((), run)) => {
                left.set(true);
                // A call that may not be repeated is not cut off half-way.
                if call.idempotency == profile::Idempotency::AtMostOnce {
                    run.await;
                }
                tracing::info!(event = "caller_left", id = call.id_text(), route = &*route.name);
                return Ok(Next::Abort);
            }
        }
    };
    log_failure(&call, &route, &reply, started);
    // The host may have been told to stop while the call ran.
    deliver(conn, reply, next()).await
}

/// Reads a request's whole body; `None` when it is too long.
async fn read_body(
    conn: &mut http1::Conn,
    request: &head::Request,
    limits: &route::Limits,
) -> Result<Option<Bytes>, http1::Error> {
    let mut reader = body::Reader::new(request.framing);
    if reader.is_done() {
        return Ok(Some(Bytes::new()));
    }
    let expects = request.parts.headers.get(header::EXPECT);
    if expects.is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
        conn.write(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n")).await?;
    }
    let whole = async {
        let mut held = BytesMut::new();
        while let Some(piece) = reader.next(conn).await? {
            if held.len() + piece.len() > limits.max_body_len {
                return Ok(None);
            }
            held.extend_from_slice(&piece);
        }
        Ok(Some(held.freeze()))
    };
    match monoio::time::timeout(BODY_TIMEOUT, whole).await {
        Ok(result) => result,
        Err(_) => Err(http1::Error::cut_short("body took too long")),
    }
}

fn call(
    frontend: &Frontend,
    request: head::Request,
    body: Bytes,
    route: &route::Route,
    started: Instant,
) -> attempt::Call {
    let names = &frontend.protocol.headers;
    let mut parts = request.parts;
    head::remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(header::EXPECT);
    let timeout = parts.headers.get(&names.deadline_ms).and_then(|v| v.to_str().ok()?.parse().ok());
    let timeout = timeout.map_or(route.timeout, Duration::from_millis);
    let id = parts.headers.get(&names.request_id).cloned();
    let deadline = started + timeout.min(route.timeout);
    attempt::Call { parts, body, id, idempotency: route.idempotency, deadline }
}

/// Says that a caller gets no answer of an upstream; every such call has a line.
fn log_failure(
    call: &attempt::Call,
    route: &route::Route,
    reply: &attempts::Reply,
    started: Instant,
) {
    let status = match reply {
        attempts::Reply::Answer(_) => return,
        attempts::Reply::NotRun(_) => http::StatusCode::SERVICE_UNAVAILABLE,
        attempts::Reply::Unknown(status) => *status,
    };
    metrics::counter!("basilhaven_unanswered_total", "status" => status.as_u16().to_string())
        .increment(1);
    tracing::info!(
        event = "not_answered",
        id = call.id_text(),
        route = &*route.name,
        status = status.as_u16(),
        total_ms = started.elapsed().as_millis() as u64,
    );
}

async fn deliver(
    conn: &mut http1::Conn,
    reply: attempts::Reply,
    next: Next,
) -> Result<Next, http1::Error> {
    match reply {
        attempts::Reply::NotRun(after) => not_run(conn, after, next).await,
        attempts::Reply::Unknown(status) => {
            send(conn, status, &HeaderMap::new(), Bytes::new(), next).await
        }
        attempts::Reply::Answer(answer) => match answer.remainder {
            None => send(conn, answer.status, &answer.headers, answer.body, next).await,
            Some(rest) => {
                let head = (answer.status, answer.headers);
                relay(conn, head, answer.body, rest, next).await
            }
        },
    }
}

async fn not_run(
    conn: &mut http1::Conn,
    after: Duration,
    next: Next,
) -> Result<Next, http1::Error> {
    let mut headers = HeaderMap::new();
    let after = format!("{:.3}", after.as_secs_f64());
    headers.insert(header::RETRY_AFTER, HeaderValue::from_str(&after).expect("a number"));
    send(conn, http::StatusCode::SERVICE_UNAVAILABLE, &headers, Bytes::new(), next).await
}

/// Sends a response whose body is in memory.
async fn send(
    conn: &mut http1::Conn,
    status: http::StatusCode,
    headers: &HeaderMap,
    content: Bytes,
    next: Next,
) -> Result<Next, http1::Error> {
    let framing = match content.len() as u64 {
        0 => body::Framing::Empty,
        len => body::Framing::Length(len),
    };
    let encoded = head::encode_response(status, headers, framing, next == Next::Request);
    let mut message = BytesMut::with_capacity(encoded.len() + content.len());
    message.extend_from_slice(&encoded);
    message.extend_from_slice(&content);
    conn.write_within(message.freeze(), SEND_TIMEOUT).await?;
    Ok(next)
}

/// Sends a long response piece by piece; when it has no end, the connection is reset.
async fn relay(
    conn: &mut http1::Conn,
    (status, headers): (http::StatusCode, HeaderMap),
    start: Bytes,
    mut rest: Box<attempt::Remainder>,
    next: Next,
) -> Result<Next, http1::Error> {
    let framing = match rest.framing {
        body::Framing::UntilClose => body::Framing::Chunked,
        framing => framing,
    };
    let encoded = head::encode_response(status, &headers, framing, next == Next::Request);
    conn.write_within(encoded, SEND_TIMEOUT).await?;
    conn.write_within(body::encode_piece(framing, start), SEND_TIMEOUT).await?;
    loop {
        // A timeout alone does not end bytes that are always there already.
        let piece = match Instant::now() < rest.deadline {
            true => attempt::timeout_at(rest.deadline, rest.reader.next(&mut rest.conn)).await.ok(),
            false => None,
        };
        match piece {
            Some(Ok(Some(piece))) => {
                conn.write_within(body::encode_piece(framing, piece), SEND_TIMEOUT).await?;
            }
            Some(Ok(None)) => break,
            Some(Err(error)) => {
                tracing::info!(event = "answer_cut_short", %error);
                return Ok(Next::Abort);
            }
            None => {
                tracing::info!(event = "answer_cut_short", error = "the deadline has passed");
                return Ok(Next::Abort);
            }
        }
    }
    conn.write_within(body::encode_end(framing), SEND_TIMEOUT).await?;
    Ok(next)
}
