//! Serves callers' connections, each in a task of its own from accept to close.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::future::{self, Either};
use http::header::{self, HeaderMap, HeaderValue};
use monoio::net::{TcpListener, TcpStream};

use super::{attempt, balancer, cluster, config, forward, notify, protocol, retries, route, usage};
use crate::http1::{self, body, head};
use crate::profile;

mod attempts;

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Timeout of one write to a caller that reads slowly.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long to wait, after the last response, for the caller to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a caller may take to send a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a stopping host keeps an idle connection open for a request that is already on its way.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(300);

/// Time that a stopping host reserves for delivering a response before it exits: several round
/// trips to a caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// State shared by the tasks of all callers' connections.
#[derive(Debug)]
pub struct Frontend {
    /// The configuration in force.
    pub config: Rc<config::Config>,
    /// Chooses the upstream of each attempt.
    pub balancer: balancer::Balancer,
    /// Passes calls that this host cannot place to other hosts.
    pub forwarder: forward::Forwarder,
    /// Counts the calls of organisations for usage reports.
    pub usage: Rc<usage::Counter>,
    /// The hosts of the system, as this host sees them.
    pub members: Rc<cluster::Members>,
    /// Header names and encodings that callers and upstreams use.
    pub protocol: protocol::Protocol,
    /// The retry limit of all hosts together.
    pub retries: retries::Allowance,
    /// Number of callers' open connections.
    pub open_connections: Cell<usize>,
    /// Number of calls in progress.
    pub active_calls: Cell<usize>,
    /// Notified when a stopping host closes its idle connections.
    pub close_idle: notify::Notifier,
    /// When the process exits at the latest; set once it has received the signal to stop.
    pub exit_at: Cell<Option<Instant>>,
}

impl Frontend {
    /// Returns this host's share of the retry limit.
    fn retry_allowance(&self) -> retries::Allowance {
        self.retries.for_host(self.members.budget_share(Instant::now()))
    }
}

/// What happens to a connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Persistence {
    /// The connection stays open for another request.
    Reuse,
    /// The connection is closed once the caller has read the response.
    Close,
    /// The connection is reset: the caller has left, or must see that the response is incomplete.
    Abort,
}

/// Where a request comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// A caller.
    Caller,
    /// Another host, which [passes on](forward) calls of its callers.
    Host,
}

/// Accepts callers' connections and serves each in its own task.
pub async fn accept(frontend: Rc<Frontend>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(&frontend, stream, Source::Caller),
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                monoio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves the calls that another host passes on, in a task of its own.
pub fn serve_host(frontend: &Rc<Frontend>, stream: TcpStream) {
    spawn_connection(frontend, stream, Source::Host);
}

fn spawn_connection(frontend: &Rc<Frontend>, stream: TcpStream, source: Source) {
    frontend.open_connections.set(frontend.open_connections.get() + 1);
    let frontend = Rc::clone(frontend);
    monoio::spawn(async move {
        handle_connection(&frontend, stream, source).await;
        frontend.open_connections.set(frontend.open_connections.get() - 1);
    });
}

async fn handle_connection(frontend: &Frontend, stream: TcpStream, source: Source) {
    let mut conn = match http1::Conn::new(stream) {
        Ok(conn) => conn,
        Err(error) => {
            tracing::debug!(event = "connection_lost", %error);
            return;
        }
    };
    match serve_requests(frontend, &mut conn, source).await {
        Ok(Persistence::Reuse | Persistence::Close) => conn.linger(LINGER_TIMEOUT).await,
        Ok(Persistence::Abort) => conn.reset_on_close(),
        Err(error) => tracing::debug!(event = "connection_lost", %error),
    }
}

/// Serves requests one after another and returns how the connection is to be closed.
async fn serve_requests(
    frontend: &Frontend,
    conn: &mut http1::Conn,
    source: Source,
) -> Result<Persistence, http1::Error> {
    loop {
        let limits = frontend.config.limits();
        conn.release_buffer();
        if !wait_for_request(frontend, conn, limits.idle_timeout).await {
            return Ok(Persistence::Close);
        }
        let reading = conn.read_request(limits.max_head_len);
        let request = match monoio::time::timeout(limits.head_timeout, reading).await {
            Ok(Ok(Some(request))) => request,
            Ok(Ok(None)) => return Ok(Persistence::Close),
            Ok(Err(error)) => return reject(conn, &error).await,
            Err(_) => return Ok(Persistence::Abort),
        };
        frontend.active_calls.set(frontend.active_calls.get() + 1);
        let persistence = serve_request(frontend, conn, request, &limits, source).await;
        frontend.active_calls.set(frontend.active_calls.get() - 1);
        match persistence? {
            Persistence::Reuse => {}
            persistence => return Ok(persistence),
        }
    }
}

/// Waits for the first bytes of a request; returns false if the connection is to be closed instead.
async fn wait_for_request(frontend: &Frontend, conn: &http1::Conn, idle_timeout: Duration) -> bool {
    if conn.has_buffered() {
        return true;
    }
    let first_bytes = std::pin::pin!(monoio::time::timeout(idle_timeout, conn.readable()));
    let stopping = std::pin::pin!(async {
        frontend.close_idle.wait(0).await;
        monoio::time::sleep(IDLE_CLOSE_DELAY).await;
    });
    match future::select(first_bytes, stopping).await {
        Either::Left((Ok(Ok(())), _)) => true,
        Either::Left(_) => false,
        // A request whose first bytes have arrived is still served.
        Either::Right(_) => conn.has_input(),
    }
}

/// Answers an invalid request with an error status, after which the connection is closed.
async fn reject(conn: &mut http1::Conn, error: &http1::Error) -> Result<Persistence, http1::Error> {
    let status = match error.category() {
        http1::Category::Malformed => http::StatusCode::BAD_REQUEST,
        http1::Category::HeadTooLarge => http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        http1::Category::CutShort | http1::Category::Io => return Ok(Persistence::Abort),
    };
    tracing::info!(event = "request_rejected", status = status.as_u16(), %error);
    send_response(conn, status, &HeaderMap::new(), Bytes::new(), Persistence::Close).await
}

async fn serve_request(
    frontend: &Frontend,
    conn: &mut http1::Conn,
    mut request: head::Request,
    limits: &route::Limits,
    source: Source,
) -> Result<Persistence, http1::Error> {
    let started = Instant::now();
    let keeps_alive = head::keeps_alive(request.parts.version, &request.parts.headers);
    let persistence = || {
        let is_serving = frontend.members.state() != cluster::State::Leaving;
        if keeps_alive && is_serving {
            Persistence::Reuse
        } else {
            Persistence::Close
        }
    };
    let body = match read_body(conn, &request, limits).await {
        Ok(Some(body)) => body,
        Ok(None) => {
            let status = http::StatusCode::PAYLOAD_TOO_LARGE;
            return send_response(
                conn,
                status,
                &HeaderMap::new(),
                Bytes::new(),
                Persistence::Close,
            )
            .await;
        }
        Err(error) => return reject(conn, &error).await,
    };
    let Some(table) = frontend.config.table() else {
        tracing::info!(event = "not_configured");
        return deliver(conn, attempts::Reply::refused(), persistence(), source).await;
    };
    let terms = match source {
        Source::Caller => None,
        Source::Host => match take_terms(&mut request, &table) {
            Some(terms) => Some(terms),
            None => return deliver(conn, attempts::Reply::refused(), persistence(), source).await,
        },
    };
    let host = head::host(&request.parts).unwrap_or_default();
    let Some(route) = table.find(host, request.parts.uri.path()).cloned() else {
        tracing::info!(event = "no_route", host, version = table.version);
        return send_response(
            conn,
            http::StatusCode::NOT_FOUND,
            &HeaderMap::new(),
            Bytes::new(),
            persistence(),
        )
        .await;
    };
    let call = build_call(frontend, request, body, &route, started);
    if frontend.exit_at.get().is_some_and(|end| call.deadline + RESPONSE_MARGIN > end) {
        tracing::info!(event = "stopping_too_soon", id = call.id_text(), route = &*route.name);
        return deliver(conn, attempts::Reply::refused(), Persistence::Close, source).await;
    }
    let task = attempts::Task { route: &route, call: &call, terms };
    let caller_left = notify::Notifier::default();
    let reply = {
        let run = std::pin::pin!(attempts::run(frontend, &table, task, &caller_left));
        let closed = std::pin::pin!(conn.closed());
        match future::select(run, closed).await {
            Either::Left((reply, _)) => reply,
            Either::Right(((), run)) => {
                caller_left.notify();
                // An at-most-once call is not cancelled part-way: it runs to its end without a
                // caller.
                if call.idempotency == profile::Idempotency::AtMostOnce {
                    run.await;
                }
                tracing::info!(event = "caller_left", id = call.id_text(), route = &*route.name);
                return Ok(Persistence::Abort);
            }
        }
    };
    log_unanswered(&call, &route, &reply, started);
    // Computed again: the host may have begun to stop while the call ran.
    deliver(conn, reply, persistence(), source).await
}

/// Takes the terms of a call that another host passes on from its request; `None` if this host must
/// not place the call, because it has an older configuration.
fn take_terms(request: &mut head::Request, table: &route::Table) -> Option<forward::Terms> {
    let terms = forward::Terms::try_from(&request.parts.headers);
    forward::remove_terms(&mut request.parts.headers);
    match terms {
        Ok(terms) if terms.version <= table.version => Some(terms),
        Ok(terms) => {
            tracing::info!(event = "configuration_behind", version = table.version, terms.version);
            None
        }
        Err(error) => {
            tracing::warn!(event = "terms_unreadable", %error);
            None
        }
    }
}

/// Reads the request body; returns `None` if it exceeds the configured limit.
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
    let read_all = async {
        let mut buffer = BytesMut::new();
        while let Some(piece) = reader.next(conn).await? {
            if buffer.len() + piece.len() > limits.max_body_len {
                return Ok(None);
            }
            buffer.extend_from_slice(&piece);
        }
        Ok(Some(buffer.freeze()))
    };
    match monoio::time::timeout(BODY_TIMEOUT, read_all).await {
        Ok(result) => result,
        Err(_) => Err(http1::Error::cut_short("body took too long")),
    }
}

fn build_call(
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

/// Logs and counts a call that ends without an upstream's response.
fn log_unanswered(
    call: &attempt::Call,
    route: &route::Route,
    reply: &attempts::Reply,
    started: Instant,
) {
    let status = match reply {
        attempts::Reply::Response(_) => return,
        attempts::Reply::NotRun { .. } => http::StatusCode::SERVICE_UNAVAILABLE,
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
    persistence: Persistence,
    source: Source,
) -> Result<Persistence, http1::Error> {
    let ending = reply.ending();
    let leaving = match &reply {
        attempts::Reply::Response(response) => response.leaving.clone(),
        attempts::Reply::NotRun { .. } | attempts::Reply::Unknown(_) => None,
    };
    let (status, mut headers, body, remainder) = match reply {
        attempts::Reply::NotRun { retry_after, .. } => {
            let mut headers = HeaderMap::new();
            let after = format!("{:.3}", retry_after.as_secs_f64());
            headers.insert(header::RETRY_AFTER, HeaderValue::from_str(&after).expect("a number"));
            (http::StatusCode::SERVICE_UNAVAILABLE, headers, Bytes::new(), None)
        }
        attempts::Reply::Unknown(status) => (status, HeaderMap::new(), Bytes::new(), None),
        attempts::Reply::Response(response) => {
            (response.status, response.headers, response.body, response.remainder)
        }
    };
    if source == Source::Host {
        ending.write(&mut headers);
        if let Some(upstream) = leaving {
            forward::write_leaving(&mut headers, &upstream);
        }
    }
    match remainder {
        None => send_response(conn, status, &headers, body, persistence).await,
        Some(remainder) => {
            stream_response(conn, (status, headers), body, remainder, persistence).await
        }
    }
}

/// Sends a response whose whole body is in memory.
async fn send_response(
    conn: &mut http1::Conn,
    status: http::StatusCode,
    headers: &HeaderMap,
    content: Bytes,
    persistence: Persistence,
) -> Result<Persistence, http1::Error> {
    let framing = match content.len() as u64 {
        0 => body::Framing::Empty,
        len => body::Framing::Length(len),
    };
    let encoded =
        head::encode_response(status, headers, framing, persistence == Persistence::Reuse);
    let mut message = BytesMut::with_capacity(encoded.len() + content.len());
    message.extend_from_slice(&encoded);
    message.extend_from_slice(&content);
    conn.write_within(message.freeze(), WRITE_TIMEOUT).await?;
    Ok(persistence)
}

/// Streams a long response to the caller. If the upstream fails or the deadline passes before its
/// end, the connection is reset, so that the caller does not take the response for complete.
async fn stream_response(
    conn: &mut http1::Conn,
    (status, headers): (http::StatusCode, HeaderMap),
    start: Bytes,
    mut remainder: Box<attempt::Remainder>,
    persistence: Persistence,
) -> Result<Persistence, http1::Error> {
    let framing = match remainder.framing {
        body::Framing::UntilClose => body::Framing::Chunked,
        framing => framing,
    };
    let encoded =
        head::encode_response(status, &headers, framing, persistence == Persistence::Reuse);
    conn.write_within(encoded, WRITE_TIMEOUT).await?;
    conn.write_within(body::encode_piece(framing, start), WRITE_TIMEOUT).await?;
    loop {
        // A timeout fires only when a read has to wait, so the deadline is also checked here: an
        // upstream may send without a pause.
        let piece = match Instant::now() < remainder.deadline {
            true => {
                attempt::timeout_at(remainder.deadline, remainder.reader.next(&mut remainder.conn))
                    .await
                    .ok()
            }
            false => None,
        };
        match piece {
            Some(Ok(Some(piece))) => {
                conn.write_within(body::encode_piece(framing, piece), WRITE_TIMEOUT).await?;
            }
            Some(Ok(None)) => break,
            Some(Err(error)) => {
                tracing::info!(event = "answer_cut_short", %error);
                return Ok(Persistence::Abort);
            }
            None => {
                tracing::info!(event = "answer_cut_short", error = "the deadline has passed");
                return Ok(Persistence::Abort);
            }
        }
    }
    conn.write_within(body::encode_end(framing), WRITE_TIMEOUT).await?;
    Ok(persistence)
}
