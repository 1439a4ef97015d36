//! Serves callers' connections, each in a task of its own from accept to close.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{self, Either};
use monoio::net::{TcpListener, TcpStream};

use super::{
    attempt, balancer, cluster, config, forward, memory, notify, protocol, relay, reply, retries,
    route, shaper, task, usage,
};
use crate::http1::{self, head};
use crate::{pace, profile};

mod admission;
mod attempts;
mod request_body;
mod response;

use admission::{Admission, Rejection};
use request_body::{log_too_long, read_body, Body, Unread};
use response::{deliver, respond_empty};

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// How long to wait, after the last response, for the caller to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a stopping host keeps an idle connection open for a request that is already on its way.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(300);

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
        admission::parse_timeout(&call.parts.headers, &self.protocol.headers)
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
    let pace = pace::Pace::of_listener();
    loop {
        frontend.memory.limit_unread(&listener);
        match pace.step(listener.accept()).await {
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
        let serving = handle_connection(&frontend, stream, source, &share);
        task::contain("connection", serving).await;
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
                    Received::End(Persistence::Close)
                }
            }
        };
        let request = match received {
            Received::Request(request) => *request,
            Received::End(persistence) => return Ok(persistence),
            Received::Invalid(error) => return reject(conn, &error).await,
        };
        share.set_phase(memory::Phase::Serving);
        let persistence = {
            let _count = task::Count::new(&frontend.active_calls);
            serve_request(frontend, conn, request, &limits, source, share).await
        };
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

/// Waits for the next request, and reads its head. The caller may still be reading the response
/// before, which a reset would discard.
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
        Err(_) => Received::End(Persistence::Close),
    }
}

async fn read_head(
    conn: &mut http1::Conn,
    max_len: usize,
    share: &memory::Share,
) -> Result<Received, http1::Error> {
    loop {
        if let Some(request) = conn.take_request(max_len).await? {
            return Ok(Received::Request(Box::new(request)));
        }
        if share.resize(conn.next_buffer_len()).await.is_err() {
            return Ok(Received::End(Persistence::Close));
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
    let after = |rejection| match rejection {
        Rejection::Exiting => Persistence::Close,
        Rejection::NotRun | Rejection::Status(_) => persistence(),
    };
    // Whatever is known without the body is answered before it is read.
    let unread = Unread::new(&request);
    let admission = match admission::check_head(frontend, &mut request, limits, source, started) {
        Ok(admission) => admission,
        Err(rejection) => {
            let (reply, persistence) = (rejection.reply(), after(rejection));
            return unread.reply(frontend, conn, reply, persistence, source).await;
        }
    };
    let (purpose, phase) = (memory::Purpose::Body, memory::Phase::Receiving);
    let share = frontend.memory.share(purpose, phase, started);
    let body = match read_body(frontend, conn, &request, limits, (&share, conn_share)).await {
        Ok(Body::Whole(body)) => body,
        Ok(Body::TooLarge) => {
            log_too_long(frontend, &request, &admission.route, limits);
            let rejection = Rejection::Status(http::StatusCode::PAYLOAD_TOO_LARGE);
            return deliver(frontend, conn, rejection.reply(), Persistence::Close, source).await;
        }
        Ok(Body::Dropped) => {
            drop(share);
            metrics::counter!("basilhaven_bodies_refused_total").increment(1);
            tracing::info!(
                event = "body_refused",
                id = id_text(frontend, &request),
                route = &*admission.route.name,
                held = frontend.memory.held(memory::Purpose::Body),
                waited_ms = started.elapsed().as_millis() as u64,
            );
            return deliver(frontend, conn, reply::Reply::refused(), Persistence::Close, source)
                .await;
        }
        Err(error) => return reject(conn, &error).await,
    };
    share.set_phase(memory::Phase::Serving);
    release_buffer(conn, conn_share);
    let admission = match admission::check_again(frontend, &request, admission, started) {
        Ok(admission) => admission,
        Err(rejection) => {
            return deliver(frontend, conn, rejection.reply(), after(rejection), source).await
        }
    };
    let call = admission::build_call(frontend, request, body, &admission);
    let Admission { table, route, terms, .. } = admission;
    let task = attempts::Task { route: &route, call: &call, terms };
    let Some(reply) = run_call(frontend, conn, &table, task).await else {
        return Ok(Persistence::Abort);
    };
    log_unanswered(&call, &route, &reply, started);
    // A caller that reads its response slowly must not keep its request in memory.
    drop((call, share));
    // Computed again: the host may have begun to stop while the call ran.
    deliver(frontend, conn, reply, persistence(), source).await
}

/// Runs a call; returns `None` if the caller leaves before there is a reply.
async fn run_call(
    frontend: &Frontend,
    conn: &mut http1::Conn,
    table: &route::Table,
    task: attempts::Task<'_>,
) -> Option<reply::Reply> {
    let (call, route) = (task.call, task.route);
    let caller_left = notify::Notifier::default();
    let run = std::pin::pin!(attempts::run(frontend, table, task, &caller_left));
    let closed = std::pin::pin!(conn.closed());
    match future::select(run, closed).await {
        Either::Left((reply, _)) => Some(reply),
        Either::Right(((), run)) => {
            caller_left.notify();
            // An at-most-once call is not cancelled part-way: it runs to its end without a caller.
            if call.idempotency == profile::Idempotency::AtMostOnce {
                run.await;
            }
            tracing::info!(
                event = "caller_left",
                id = call.id_text(),
                organisation = call.organisation.as_deref(),
                route = &*route.name
            );
            None
        }
    }
}

/// Returns the request id for log lines; empty if there is none.
fn id_text<'a>(frontend: &Frontend, request: &'a head::Request) -> &'a str {
    let id = request.parts.headers.get(&frontend.protocol.headers.request_id);
    id.and_then(|id| id.to_str().ok()).unwrap_or_default()
}

/// Logs and counts a call that ends without an upstream's response.
fn log_unanswered(
    call: &attempt::Call,
    route: &route::Route,
    reply: &reply::Reply,
    started: Instant,
) {
    let status = match reply {
        reply::Reply::Response(_) => return,
        reply::Reply::NotRun { retry_after, .. } => {
            metrics::histogram!("basilhaven_retry_after_seconds").record(retry_after.as_secs_f64());
            http::StatusCode::SERVICE_UNAVAILABLE
        }
        reply::Reply::Unknown(failure) => failure.status(),
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
