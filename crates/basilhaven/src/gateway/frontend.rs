//! Serves callers' connections, each in a task of its own from accept to close.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::future::{self, Either};
use http::header::{self, HeaderMap, HeaderValue};
use monoio::net::{TcpListener, TcpStream};

use super::{
    access, attempt, balancer, cluster, config, forward, memory, notify, protocol, relay, retries,
    route, shaper, usage,
};
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

/// Length up to which a response is written in one piece with its head, which costs a copy and saves
/// a packet.
const MAX_JOINED_LEN: usize = 16 * 1024;

/// Memory that a piece of a response takes besides its bytes.
const PIECE_OVERHEAD: usize = 64;

/// Length up to which a body that is not needed is skipped, so that its connection stays open for
/// the requests behind it.
const MAX_SKIPPED_LEN: u64 = 64 * 1024;

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
    /// Bounds what is held for callers.
    pub memory: Rc<memory::Budget>,
    /// Header names and encodings that callers and upstreams use.
    pub protocol: protocol::Protocol,
    /// Shapes the large bodies that are received.
    pub inbound: shaper::Shaper,
    /// Shapes the large bodies that are sent.
    pub outbound: shaper::Shaper,
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
    /// Returns the shaper of the bodies that are sent; `None` while there is no other call that they
    /// could delay.
    fn outbound_shaper(&self) -> Option<&shaper::Shaper> {
        (self.active_calls.get() > 1).then_some(&self.outbound)
    }

    /// Returns how long the caller of a call waits from its arrival, if the call says so.
    fn remaining_time(&self, call: &attempt::Call) -> Option<Duration> {
        parse_timeout(&call.parts.headers, &self.protocol.headers)
    }

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
    Host(relay::Sender),
}

/// Accepts callers' connections and serves each in its own task.
pub async fn accept(frontend: Rc<Frontend>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            // The next connection is accepted only once there is room for this one.
            Ok((stream, _)) => {
                if let Some(share) = frontend.memory.accept(&stream).await {
                    spawn_connection(&frontend, stream, Source::Caller, share);
                }
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                monoio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves the calls that another host passes on, in a task of its own.
pub fn serve_host(frontend: &Rc<Frontend>, stream: TcpStream, sender: relay::Sender) {
    let frontend = Rc::clone(frontend);
    monoio::spawn(async move {
        if let Some(share) = frontend.memory.accept(&stream).await {
            spawn_connection(&frontend, stream, Source::Host(sender), share);
        }
    });
}

fn spawn_connection(
    frontend: &Rc<Frontend>,
    stream: TcpStream,
    source: Source,
    share: memory::Share,
) {
    frontend.open_connections.set(frontend.open_connections.get() + 1);
    let frontend = Rc::clone(frontend);
    monoio::spawn(async move {
        handle_connection(&frontend, stream, source, &share).await;
        // The connection is closed by now, so that its descriptor is free for others.
        drop(share);
        frontend.open_connections.set(frontend.open_connections.get() - 1);
    });
}

async fn handle_connection(
    frontend: &Frontend,
    stream: TcpStream,
    source: Source,
    share: &memory::Share,
) {
    let mut conn = match http1::Conn::new(stream) {
        Ok(conn) => conn,
        Err(error) => {
            tracing::debug!(event = "connection_lost", %error);
            return;
        }
    };
    match serve_requests(frontend, &mut conn, source, share).await {
        Ok(Persistence::Reuse | Persistence::Close) => {
            share.set_phase(memory::Phase::Receiving);
            let linger = std::pin::pin!(conn.linger(LINGER_TIMEOUT));
            future::select(linger, std::pin::pin!(share.dropped())).await;
        }
        Ok(Persistence::Abort) => conn.reset_on_close(),
        Err(error) => tracing::debug!(event = "connection_lost", %error),
    }
}

/// Serves requests one after another and returns how the connection is to be closed.
async fn serve_requests(
    frontend: &Frontend,
    conn: &mut http1::Conn,
    source: Source,
    share: &memory::Share,
) -> Result<Persistence, http1::Error> {
    loop {
        let limits = frontend.config.limits();
        release_buffer(conn, share);
        share.restart(Instant::now());
        share.set_phase(memory::Phase::Receiving);
        let received = {
            let receive = std::pin::pin!(receive_request(frontend, conn, &limits, share));
            match future::select(receive, std::pin::pin!(share.dropped())).await {
                Either::Left((received, _)) => received,
                Either::Right(_) => {
                    tracing::debug!(event = "connection_dropped");
                    Received::End(Persistence::Abort)
                }
            }
        };
        let request = match received {
            Received::Request(request) => *request,
            Received::End(persistence) => return Ok(persistence),
            Received::Invalid(error) => return reject(conn, &error).await,
        };
        share.set_phase(memory::Phase::Serving);
        frontend.active_calls.set(frontend.active_calls.get() + 1);
        let persistence = serve_request(frontend, conn, request, &limits, source, share).await;
        frontend.active_calls.set(frontend.active_calls.get() - 1);
        match persistence? {
            Persistence::Reuse => {}
            persistence => return Ok(persistence),
        }
    }
}

/// Frees the read buffer unless the caller has sent more requests.
fn release_buffer(conn: &mut http1::Conn, share: &memory::Share) {
    conn.release_buffer();
    share.release(share.len().saturating_sub(conn.buffer_len()));
}

/// What arrives on a connection between two requests.
enum Received {
    /// A request's head.
    Request(Box<head::Request>),
    /// Nothing that can be answered.
    End(Persistence),
    /// An invalid head.
    Invalid(http1::Error),
}

/// Waits for the next request, and reads its head.
async fn receive_request(
    frontend: &Frontend,
    conn: &mut http1::Conn,
    limits: &route::Limits,
    share: &memory::Share,
) -> Received {
    if !wait_for_request(frontend, conn, limits.idle_timeout).await {
        return Received::End(Persistence::Close);
    }
    let reading = read_head(conn, limits.max_head_len, share);
    match monoio::time::timeout(limits.head_timeout, reading).await {
        Ok(received) => received.unwrap_or_else(Received::Invalid),
        Err(_) => Received::End(Persistence::Abort),
    }
}

async fn read_head(
    conn: &mut http1::Conn,
    max_len: usize,
    share: &memory::Share,
) -> Result<Received, http1::Error> {
    loop {
        if let Some(request) = conn.take_request(max_len)? {
            return Ok(Received::Request(Box::new(request)));
        }
        if share.resize(conn.next_buffer_len()).await.is_err() {
            return Ok(Received::End(Persistence::Abort));
        }
        let len = conn.read_more_of_head().await?;
        if len == 0 {
            return Ok(Received::End(Persistence::Close));
        }
        share.record_received(len, Instant::now());
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
    respond_empty(conn, status, Persistence::Close).await
}

async fn serve_request(
    frontend: &Frontend,
    conn: &mut http1::Conn,
    mut request: head::Request,
    limits: &route::Limits,
    source: Source,
    conn_share: &memory::Share,
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
    // Whatever is known without the body is answered before it is read.
    let unread = Unread::new(&request);
    let Some(table) = frontend.config.table() else {
        tracing::info!(event = "not_configured");
        return unread
            .reply(frontend, conn, attempts::Reply::refused(), persistence(), source)
            .await;
    };
    let terms = match take_terms(&mut request.parts.headers, &table, source) {
        Ok(terms) => terms,
        Err(rejection) => {
            return unread.reply(frontend, conn, rejection.reply(), persistence(), source).await
        }
    };
    let admission = match admit(frontend, &request, table, terms.as_ref()) {
        Ok(admission) => admission,
        Err(rejection) => {
            return unread.reply(frontend, conn, rejection.reply(), persistence(), source).await
        }
    };
    if unread.exceeds(limits.max_body_len) {
        log_too_long(frontend, &request, &admission.route, limits);
        let status = http::StatusCode::PAYLOAD_TOO_LARGE;
        return unread.respond(conn, status, persistence()).await;
    }
    let deadline = deadline(frontend, &request, &admission.route, started);
    if stops_before(frontend, deadline, &request, &admission.route) {
        let reply = attempts::Reply::refused();
        return unread.reply(frontend, conn, reply, Persistence::Close, source).await;
    }
    let (purpose, phase) = (memory::Purpose::Body, memory::Phase::Receiving);
    let share = frontend.memory.share(purpose, phase, started);
    let body = match read_body(frontend, conn, &request, limits, &share).await {
        Ok(Body::Whole(body)) => body,
        Ok(Body::TooLarge) => {
            log_too_long(frontend, &request, &admission.route, limits);
            let status = http::StatusCode::PAYLOAD_TOO_LARGE;
            return respond_empty(conn, status, Persistence::Close).await;
        }
        Ok(Body::NoMemory) => {
            drop(share);
            metrics::counter!("basilhaven_bodies_refused_total").increment(1);
            tracing::info!(
                event = "body_refused",
                id = id_text(frontend, &request),
                route = &*admission.route.name,
                held = frontend.memory.held(memory::Purpose::Body),
                waited_ms = started.elapsed().as_millis() as u64,
            );
            return deliver(frontend, conn, attempts::Reply::refused(), Persistence::Close, source)
                .await;
        }
        Err(error) => return reject(conn, &error).await,
    };
    share.set_phase(memory::Phase::Serving);
    release_buffer(conn, conn_share);
    // The host may have begun to stop while the body arrived.
    if stops_before(frontend, deadline, &request, &admission.route) {
        let reply = attempts::Reply::refused();
        return deliver(frontend, conn, reply, Persistence::Close, source).await;
    }
    // The route or the key may have been removed while the body arrived.
    let admission = match frontend.config.table() {
        Some(newer) if !Rc::ptr_eq(&newer, &admission.table) => {
            match admit(frontend, &request, newer, terms.as_ref()) {
                Ok(admission) => admission,
                Err(rejection) => {
                    return deliver(frontend, conn, rejection.reply(), persistence(), source).await
                }
            }
        }
        _ => admission,
    };
    let call = build_call(frontend, request, body, &admission, deadline);
    let Admission { table, route, .. } = admission;
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
                tracing::info!(
                    event = "caller_left",
                    id = call.id_text(),
                    organisation = call.organisation.as_deref(),
                    route = &*route.name
                );
                return Ok(Persistence::Abort);
            }
        }
    };
    log_unanswered(&call, &route, &reply, started);
    // A caller that reads its response slowly must not keep its request in memory.
    drop((call, share));
    // Computed again: the host may have begun to stop while the call ran.
    deliver(frontend, conn, reply, persistence(), source).await
}

/// Returns whether this host exits before a call with this deadline is sure to have ended, and logs
/// that.
fn stops_before(
    frontend: &Frontend,
    deadline: Instant,
    request: &head::Request,
    route: &route::Route,
) -> bool {
    let is_too_late = frontend.exit_at.get().is_some_and(|end| deadline + RESPONSE_MARGIN > end);
    if is_too_late {
        let id = id_text(frontend, request);
        tracing::info!(event = "stopping_too_soon", id, route = &*route.name);
    }
    is_too_late
}

/// Returns the request id for log lines; empty if there is none.
fn id_text<'a>(frontend: &Frontend, request: &'a head::Request) -> &'a str {
    let id = request.parts.headers.get(&frontend.protocol.headers.request_id);
    id.and_then(|id| id.to_str().ok()).unwrap_or_default()
}

fn log_too_long(
    frontend: &Frontend,
    request: &head::Request,
    route: &route::Route,
    limits: &route::Limits,
) {
    tracing::info!(
        event = "body_too_long",
        id = id_text(frontend, request),
        route = &*route.name,
        limit = limits.max_body_len,
    );
}

/// Takes the terms of a call that another host passes on from its request; a caller's request has
/// none. Returns an error if this host must not place the call, because it has an older
/// configuration.
fn take_terms(
    headers: &mut HeaderMap,
    table: &route::Table,
    source: Source,
) -> Result<Option<forward::Terms>, Rejection> {
    let Source::Host(sender) = source else { return Ok(None) };
    let terms = forward::Terms::try_from(&*headers);
    forward::remove_terms(headers);
    match terms {
        Ok(mut terms) if terms.version <= table.version => {
            terms.is_key_checked &= sender == relay::Sender::KnowsOrganisations;
            Ok(Some(terms))
        }
        Ok(terms) => {
            tracing::info!(event = "configuration_behind", version = table.version, terms.version);
            Err(Rejection::NotRun)
        }
        Err(error) => {
            tracing::warn!(event = "terms_unreadable", %error);
            Err(Rejection::NotRun)
        }
    }
}

/// Why a request is not served, before an upstream is looked for.
#[derive(Debug, Clone, Copy)]
enum Rejection {
    /// Another host may serve it.
    NotRun,
    /// No host with this configuration serves it.
    Status(http::StatusCode),
}

impl Rejection {
    fn reply(self) -> attempts::Reply {
        match self {
            Rejection::NotRun => attempts::Reply::refused(),
            Rejection::Status(status) => attempts::Reply::rejected(status),
        }
    }
}

/// A request that has a route and may be served.
struct Admission {
    /// The configuration by which it was decided.
    table: Rc<route::Table>,
    route: Rc<route::Route>,
    organisation: Option<access::Organisation>,
    /// Whether the header fields of keys and organisations have a meaning, and are removed.
    is_key_checked: bool,
}

/// Finds the route of a request and checks its key, unless the host that passes it on has done that.
/// Returns an error if the request is not served.
fn admit(
    frontend: &Frontend,
    request: &head::Request,
    table: Rc<route::Table>,
    terms: Option<&forward::Terms>,
) -> Result<Admission, Rejection> {
    let (parts, names) = (&request.parts, &frontend.protocol.headers);
    let host = head::host(parts).unwrap_or_default();
    let Some(route) = table.find(host, parts.uri.path()).cloned() else {
        tracing::info!(event = "no_route", host, version = table.version);
        return Err(Rejection::Status(http::StatusCode::NOT_FOUND));
    };
    if terms.is_some_and(|terms| terms.is_key_checked) {
        let name = parts.headers.get(&names.organisation);
        let name = name.and_then(|name| std::str::from_utf8(name.as_bytes()).ok());
        let organisation = name.map(|name| access::Organisation {
            name: name.into(),
            priority: table.directory.priority_of(name),
        });
        return Ok(Admission { table, route, organisation, is_key_checked: true });
    }
    let key = access::presented_key(&parts.headers, &names.key);
    match table.directory.check(&route, key) {
        access::Decision::Allowed(organisation) => {
            let is_key_checked = table.directory.is_on();
            Ok(Admission { table, route, organisation, is_key_checked })
        }
        access::Decision::Denied => {
            metrics::counter!("basilhaven_keys_refused_total").increment(1);
            let id = parts.headers.get(&names.request_id).and_then(|id| id.to_str().ok());
            tracing::info!(
                event = "key_refused",
                id,
                route = &*route.name,
                version = table.version,
                has_key = parts.headers.contains_key(&names.key),
            );
            Err(Rejection::Status(http::StatusCode::UNAUTHORIZED))
        }
    }
}

/// A request whose body has not been read.
struct Unread {
    framing: body::Framing,
    /// Whether the caller sends the body only after an interim response.
    awaits_continue: bool,
}

impl Unread {
    fn new(request: &head::Request) -> Unread {
        Unread { framing: request.framing, awaits_continue: awaits_continue(request) }
    }

    /// Returns whether the announced body is longer than this.
    fn exceeds(&self, max_len: usize) -> bool {
        matches!(self.framing, body::Framing::Length(len) if len > max_len as u64)
    }

    /// Responds with an empty body.
    async fn respond(
        self,
        conn: &mut http1::Conn,
        status: http::StatusCode,
        persistence: Persistence,
    ) -> Result<Persistence, http1::Error> {
        let persistence = self.persistence(persistence);
        respond_empty(conn, status, persistence).await?;
        self.skip(conn, persistence).await
    }

    /// Delivers a reply that is known without the body.
    async fn reply(
        self,
        frontend: &Frontend,
        conn: &mut http1::Conn,
        reply: attempts::Reply,
        persistence: Persistence,
        source: Source,
    ) -> Result<Persistence, http1::Error> {
        let persistence = self.persistence(persistence);
        deliver(frontend, conn, reply, persistence, source).await?;
        self.skip(conn, persistence).await
    }

    /// Returns what happens to the connection: it can carry another request only if the body is
    /// short enough to be skipped.
    fn persistence(&self, persistence: Persistence) -> Persistence {
        match self.framing {
            body::Framing::Empty => persistence,
            body::Framing::Length(len) if len <= MAX_SKIPPED_LEN && !self.awaits_continue => {
                persistence
            }
            _ => Persistence::Close,
        }
    }

    /// Skips the body after the response if the connection stays open.
    async fn skip(
        self,
        conn: &mut http1::Conn,
        persistence: Persistence,
    ) -> Result<Persistence, http1::Error> {
        let mut reader = body::Reader::new(self.framing);
        if persistence != Persistence::Reuse || reader.is_done() {
            return Ok(persistence);
        }
        let skip = async {
            while reader.next(conn).await?.is_some() {}
            Ok(persistence)
        };
        // A caller that does not send the rest has its response.
        monoio::time::timeout(BODY_TIMEOUT, skip).await.unwrap_or(Ok(Persistence::Close))
    }
}

fn awaits_continue(request: &head::Request) -> bool {
    let expects = request.parts.headers.get(header::EXPECT);
    expects.is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// A request body, as far as it was read.
enum Body {
    Whole(body::Held),
    /// It exceeds the configured limit.
    TooLarge,
    /// There is no memory for it.
    NoMemory,
}

/// Reads the request body into memory that `share` counts.
async fn read_body(
    frontend: &Frontend,
    conn: &mut http1::Conn,
    request: &head::Request,
    limits: &route::Limits,
    share: &memory::Share,
) -> Result<Body, http1::Error> {
    let mut reader = body::Reader::new(request.framing);
    if reader.is_done() {
        return Ok(Body::Whole(body::Held::default()));
    }
    if awaits_continue(request) {
        conn.write(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n")).await?;
    }
    let read_all = async {
        let mut collector = body::Collector::default();
        while let Some(mut piece) = reader.next(conn).await? {
            if collector.len() + piece.len() > limits.max_body_len {
                return Ok(Body::TooLarge);
            }
            share.record_received(piece.len(), Instant::now());
            if collector.len() > shaper::UNSHAPED_LEN && frontend.active_calls.get() > 1 {
                frontend.inbound.wait(piece.len()).await;
            }
            while !piece.is_empty() {
                if collector.is_full() {
                    let missing = reader.missing().map(|missing| missing + piece.len() as u64);
                    let len = collector.next_block_len(missing);
                    if share.acquire(len).await.is_err() {
                        return Ok(Body::NoMemory);
                    }
                    collector.add_block(len);
                }
                collector.fill(&mut piece);
            }
        }
        Ok(Body::Whole(collector.finish()))
    };
    let read_all = std::pin::pin!(monoio::time::timeout(BODY_TIMEOUT, read_all));
    match future::select(read_all, std::pin::pin!(share.dropped())).await {
        Either::Left((Ok(result), _)) => result,
        Either::Left((Err(_), _)) => Err(http1::Error::cut_short("body took too long")),
        Either::Right(_) => Ok(Body::NoMemory),
    }
}

/// Returns how long the caller of a request still waits, if the request says so.
fn parse_timeout(headers: &HeaderMap, names: &protocol::Headers) -> Option<Duration> {
    let ms = headers.get(&names.deadline_ms)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

/// Returns when the call ends: at the caller's deadline, or after the route's timeout.
fn deadline(
    frontend: &Frontend,
    request: &head::Request,
    route: &route::Route,
    started: Instant,
) -> Instant {
    let timeout = parse_timeout(&request.parts.headers, &frontend.protocol.headers);
    started + timeout.unwrap_or(route.timeout).min(route.timeout)
}

fn build_call(
    frontend: &Frontend,
    request: head::Request,
    body: body::Held,
    admission: &Admission,
    deadline: Instant,
) -> attempt::Call {
    let (route, organisation) = (&admission.route, admission.organisation.as_ref());
    let names = &frontend.protocol.headers;
    let mut parts = request.parts;
    head::remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(header::EXPECT);
    if admission.is_key_checked {
        parts.headers.remove(&names.key);
        parts.headers.remove(&names.organisation);
    }
    let id = parts.headers.get(&names.request_id).cloned();
    attempt::Call {
        parts,
        body,
        id,
        idempotency: route.idempotency,
        deadline,
        organisation: organisation.map(|organisation| Rc::clone(&organisation.name)),
        priority: organisation.and_then(|known| known.priority).unwrap_or(route.priority),
    }
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
        attempts::Reply::NotRun { retry_after, .. } => {
            metrics::histogram!("basilhaven_retry_after_seconds").record(retry_after.as_secs_f64());
            http::StatusCode::SERVICE_UNAVAILABLE
        }
        attempts::Reply::Unknown(status) => *status,
    };
    metrics::counter!("basilhaven_unanswered_total", "status" => status.as_u16().to_string())
        .increment(1);
    tracing::info!(
        event = "not_answered",
        id = call.id_text(),
        organisation = call.organisation.as_deref(),
        route = &*route.name,
        status = status.as_u16(),
        total_ms = started.elapsed().as_millis() as u64,
    );
}

async fn deliver(
    frontend: &Frontend,
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
    if let Source::Host(_) = source {
        ending.write(&mut headers);
        if let Some(upstream) = leaving {
            forward::write_leaving(&mut headers, &upstream);
        }
    }
    let (purpose, phase) = (memory::Purpose::Response, memory::Phase::Serving);
    let share = frontend.memory.share(purpose, phase, Instant::now());
    share.add_held(body.len(), Instant::now());
    let head = (status, headers);
    match remainder {
        None => send_response(conn, head, body, persistence, &share).await,
        Some(remainder) => {
            let max_ahead = frontend.memory.max_response_len();
            stream_response(conn, head, body, (remainder, max_ahead), persistence, &share).await
        }
    }
}

/// Sends a response without a body.
async fn respond_empty(
    conn: &mut http1::Conn,
    status: http::StatusCode,
    persistence: Persistence,
) -> Result<Persistence, http1::Error> {
    let keeps_open = persistence == Persistence::Reuse;
    let encoded =
        head::encode_response(status, &HeaderMap::new(), body::Framing::Empty, keeps_open);
    conn.write_within(encoded, WRITE_TIMEOUT).await?;
    Ok(persistence)
}

/// Sends a response whose whole body is in memory.
async fn send_response(
    conn: &mut http1::Conn,
    (status, headers): (http::StatusCode, HeaderMap),
    content: Bytes,
    persistence: Persistence,
    share: &memory::Share,
) -> Result<Persistence, http1::Error> {
    let framing = match content.len() as u64 {
        0 => body::Framing::Empty,
        len => body::Framing::Length(len),
    };
    let encoded =
        head::encode_response(status, &headers, framing, persistence == Persistence::Reuse);
    if content.len() > MAX_JOINED_LEN {
        write(conn, encoded, share).await?;
        write(conn, content, share).await?;
        return Ok(persistence);
    }
    let mut message = BytesMut::with_capacity(encoded.len() + content.len());
    message.extend_from_slice(&encoded);
    message.extend_from_slice(&content);
    write(conn, message.freeze(), share).await?;
    Ok(persistence)
}

/// Writes a part of a response. A caller that reads slowly may lose it if memory is short.
async fn write(
    conn: &mut http1::Conn,
    bytes: Bytes,
    share: &memory::Share,
) -> Result<(), http1::Error> {
    let len = bytes.len();
    share.set_phase(memory::Phase::Receiving);
    let result = {
        let written = std::pin::pin!(conn.write_within(bytes, WRITE_TIMEOUT));
        match future::select(written, std::pin::pin!(share.dropped())).await {
            Either::Left((result, _)) => result.map_err(http1::Error::from),
            Either::Right(_) => Err(http1::Error::cut_short("no memory for an unread response")),
        }
    };
    share.set_phase(memory::Phase::Serving);
    share.record_received(len, Instant::now());
    result
}

/// Streams a long response to the caller, and reads it from the upstream ahead of the caller by up
/// to `max_ahead` bytes: upstreams cut off a response that stays unread. If the upstream fails or
/// the deadline passes before its end, the connection is reset, so that the caller does not take
/// the response for complete.
async fn stream_response(
    conn: &mut http1::Conn,
    (status, headers): (http::StatusCode, HeaderMap),
    start: Bytes,
    (mut remainder, max_ahead): (Box<attempt::Remainder>, Option<usize>),
    persistence: Persistence,
    share: &memory::Share,
) -> Result<Persistence, http1::Error> {
    let framing = match remainder.framing {
        body::Framing::UntilClose => body::Framing::Chunked,
        framing => framing,
    };
    if max_ahead.is_some() {
        // Fails only if the connection has ended, which the next read tells.
        let _ = remainder.conn.limit_receive_buffer(memory::RECEIVE_LEN);
    }
    let pieces = Pieces::new(share, max_ahead.unwrap_or(0));
    let deliver = async {
        let encoded =
            head::encode_response(status, &headers, framing, persistence == Persistence::Reuse);
        write(conn, encoded, share).await?;
        let start_len = start.len();
        write(conn, body::encode_piece(framing, start), share).await?;
        share.release(start_len);
        while let Some(piece) = pieces.next().await {
            write(conn, body::encode_piece(framing, piece), share).await?;
        }
        if let Some(error) = pieces.error.take() {
            tracing::info!(event = "answer_cut_short", error);
            return Ok(Persistence::Abort);
        }
        write(conn, body::encode_end(framing), share).await?;
        Ok(persistence)
    };
    let deliver = std::pin::pin!(deliver);
    let read = std::pin::pin!(pieces.read(&mut remainder));
    match future::select(deliver, read).await {
        Either::Left((result, _)) => result,
        Either::Right(((), deliver)) => deliver.await,
    }
}

/// The pieces of a response that were read from the upstream and not yet written to the caller.
struct Pieces<'a> {
    pieces: RefCell<VecDeque<Bytes>>,
    /// How many bytes may be held before the caller has taken them; one piece always may.
    max_len: usize,
    share: &'a memory::Share,
    is_complete: Cell<bool>,
    /// Why the response is incomplete, once it is known to be.
    error: RefCell<Option<String>>,
    changed: notify::Notifier,
}

impl<'a> Pieces<'a> {
    fn new(share: &'a memory::Share, max_len: usize) -> Pieces<'a> {
        Pieces {
            pieces: RefCell::default(),
            max_len,
            share,
            is_complete: Cell::default(),
            error: RefCell::default(),
            changed: notify::Notifier::default(),
        }
    }

    /// Reads the remainder of a response to its end, as far ahead of the caller as memory allows.
    async fn read(&self, remainder: &mut attempt::Remainder) {
        loop {
            // A timeout fires only when a read has to wait, so the deadline is also checked here:
            // an upstream may send without a pause.
            let is_in_time = Instant::now() < remainder.deadline;
            let next = remainder.reader.next(&mut remainder.conn);
            let piece = match is_in_time {
                true => attempt::timeout_at(remainder.deadline, next).await.ok(),
                false => None,
            };
            match piece {
                Some(Ok(Some(piece))) => self.push(piece).await,
                Some(Ok(None)) => break,
                Some(Err(error)) => {
                    self.error.replace(Some(error.to_string()));
                    break;
                }
                None => {
                    self.error.replace(Some("the deadline has passed".to_owned()));
                    break;
                }
            }
        }
        self.is_complete.set(true);
        self.changed.notify();
    }

    /// Adds a piece once there is room for it.
    async fn push(&self, piece: Bytes) {
        loop {
            let seen = self.changed.count();
            let is_empty = self.pieces.borrow().is_empty();
            let has_room = self.share.len() + piece.len() <= self.max_len;
            if is_empty || has_room && self.share.try_grow(PIECE_OVERHEAD + piece.len()) {
                if is_empty {
                    self.share.add_held(PIECE_OVERHEAD + piece.len(), Instant::now());
                }
                // A slice of the read buffer would keep all of it.
                let is_held = self.max_len > 0;
                let piece = if is_held { Bytes::copy_from_slice(&piece) } else { piece };
                self.pieces.borrow_mut().push_back(piece);
                self.changed.notify();
                return;
            }
            self.changed.wait(seen).await;
        }
    }

    /// Takes the next piece; `None` at the end.
    async fn next(&self) -> Option<Bytes> {
        loop {
            let seen = self.changed.count();
            let piece = self.pieces.borrow_mut().pop_front();
            if let Some(piece) = piece {
                self.share.release(PIECE_OVERHEAD + piece.len());
                self.changed.notify();
                return Some(piece);
            }
            if self.is_complete.get() {
                return None;
            }
            self.changed.wait(seen).await;
        }
    }
}
