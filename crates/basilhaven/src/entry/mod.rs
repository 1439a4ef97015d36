//! Callers' connections: one task per connection, from accept to close.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{self, Either};
use http::header::{self, HeaderMap, HeaderValue};
use monoio::net::{TcpListener, TcpStream};

use crate::http1::{self, body, head};
use crate::{call, name, node, pace};

mod delivery;
mod exchange;
mod forward;

/// Maximum length of a request head in bytes.
pub const MAX_HEAD_LEN: usize = 16 * 1024;

/// Maximum idle time of a connection between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time limit for a request head, from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time in which a new connection may send its first request after the shutdown of connections has
/// begun.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Time limit for closing a connection after its last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for sending a short response to the caller.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Path prefix of the directory; the name of the service follows.
const ENTRIES_PATH: &str = "/v1/entries/";

/// What happens to a connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Persistence {
    /// The connection may carry another request.
    Reuse,
    /// The connection is closed after the caller has read the whole response.
    Close,
    /// The connection is closed immediately, because the caller has closed its side or has to see
    /// that the response is truncated.
    Abort,
}

/// Accepts connections until the returned future is dropped.
pub async fn accept(node: Rc<node::Node>, listener: &TcpListener) {
    let pace = pace::Pace::of_listener();
    loop {
        match pace.step(listener.accept()).await {
            Ok((stream, _)) => spawn_connection(&node, stream),
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts the connections in the listener's backlog. Returns `true` if there were any.
pub async fn accept_backlog(node: &Rc<node::Node>, listener: &TcpListener) -> bool {
    let mut has_accepted = false;
    while let Ok(Ok((stream, _))) =
        monoio::time::timeout(ACCEPT_RETRY_DELAY, listener.accept()).await
    {
        spawn_connection(node, stream);
        has_accepted = true;
    }
    has_accepted
}

fn spawn_connection(node: &Rc<node::Node>, stream: TcpStream) {
    match http1::Conn::new(stream) {
        Ok(conn) => {
            let guard = Guard::new(node);
            monoio::spawn(serve_connection(Rc::clone(node), conn, guard));
        }
        Err(error) => tracing::debug!(event = "connection_lost", %error),
    }
}

/// Counts a caller's connection as open until it is dropped.
struct Guard(Rc<node::Node>);

impl Guard {
    fn new(node: &Rc<node::Node>) -> Guard {
        let open = node.open_connections();
        open.set(open.get() + 1);
        Guard(Rc::clone(node))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let open = self.0.open_connections();
        open.set(open.get() - 1);
    }
}

async fn serve_connection(node: Rc<node::Node>, mut conn: http1::Conn, guard: Guard) {
    if node.open_connections().get() > node.settings().max_connections {
        let refusal = call::Refusal::not_run(call::Reason::TooManyConnections);
        let _ = refuse(&mut conn, refusal, Persistence::Close).await;
        return;
    }
    if serve_requests(&node, &mut conn).await == Persistence::Close {
        conn.linger(LINGER_TIMEOUT).await;
    }
    drop(guard);
}

/// Serves requests one after another. Returns how to close the connection.
async fn serve_requests(node: &Rc<node::Node>, conn: &mut http1::Conn) -> Persistence {
    let mut closing_grace = FIRST_REQUEST_GRACE;
    loop {
        let request = match next_request(node, conn, closing_grace).await {
            Ok(Some(request)) => request,
            Ok(None) => return Persistence::Abort,
            Err(error) => {
                reject(conn, &error, call::Outcome::NotRun).await;
                return Persistence::Close;
            }
        };
        closing_grace = Duration::ZERO;
        match respond(node, conn, request).await {
            Ok(Persistence::Reuse) => {}
            Ok(persistence) => return persistence,
            Err(error) => {
                tracing::debug!(event = "caller_lost", %error);
                return Persistence::Abort;
            }
        }
    }
}

/// Reads the next request head. Returns `None` if the connection is to be closed without a
/// response. During shutdown, a request may still arrive within `closing_grace`.
async fn next_request(
    node: &node::Node,
    conn: &mut http1::Conn,
    closing_grace: Duration,
) -> Result<Option<head::Request>, http1::Error> {
    if !conn.has_buffered() {
        let arrived = std::pin::pin!(monoio::time::timeout(IDLE_TIMEOUT, conn.readable()));
        let closing = std::pin::pin!(async {
            node.close_requested().await;
            monoio::time::sleep(closing_grace).await;
        });
        match future::select(arrived, closing).await {
            Either::Left((Ok(Ok(())), _)) => {}
            Either::Left(_) => return Ok(None),
            // A request that has already arrived is still served.
            Either::Right(_) if conn.is_idle() => return Ok(None),
            Either::Right(_) => {}
        }
    }
    match monoio::time::timeout(HEAD_TIMEOUT, conn.read_request(MAX_HEAD_LEN)).await {
        Ok(result) => result,
        Err(_) => Ok(None),
    }
}

/// Reports an invalid request to the caller; the connection is closed afterwards.
async fn reject(conn: &mut http1::Conn, error: &http1::Error, outcome: call::Outcome) {
    let status = match error.category() {
        http1::Category::Malformed => http::StatusCode::BAD_REQUEST,
        http1::Category::HeadTooLarge => http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        http1::Category::CutShort | http1::Category::Io => return,
    };
    metrics::counter!("basilhaven_requests_rejected_total", "status" => status.as_u16().to_string())
        .increment(1);
    let mut headers = HeaderMap::new();
    let outcome = HeaderValue::from_str(&outcome.to_string())
        .expect("letters and dashes are valid in a header");
    headers.insert(call::field::OUTCOME, outcome);
    let _ =
        send(conn, status, headers, Bytes::from(format!("{error}\n")), Persistence::Close).await;
}

/// Serves one request, and returns what happens to the connection afterwards.
async fn respond(
    node: &Rc<node::Node>,
    conn: &mut http1::Conn,
    request: head::Request,
) -> Result<Persistence, http1::Error> {
    let keeps_alive = head::keeps_alive(request.parts.version, &request.parts.headers);
    let persistence = if keeps_alive && !node.members().is_leaving() {
        Persistence::Reuse
    } else {
        Persistence::Close
    };
    if !node.is_configured() {
        let persistence = close_if_body(&request, persistence);
        return refuse(conn, call::Refusal::not_run(call::Reason::NoConfiguration), persistence)
            .await;
    }
    let path = request.parts.uri.path();
    if let Some(service) = path.strip_prefix(ENTRIES_PATH) {
        let service = service.to_owned();
        return serve_directory(node, conn, &request, &service, persistence).await;
    }
    let service = head::host(&request.parts).and_then(|name| node.service(name));
    match service {
        Some(service) => forward::serve(node, conn, service, request, persistence).await,
        None => {
            let persistence = close_if_body(&request, persistence);
            let text = Bytes::from_static(b"unknown service\n");
            let outcome = outcome_if_unsent(&request.parts).to_string();
            let outcome =
                HeaderValue::from_str(&outcome).expect("letters and dashes are valid in a header");
            let mut headers = HeaderMap::new();
            headers.insert(call::field::OUTCOME, outcome);
            send(conn, http::StatusCode::NOT_FOUND, headers, text, persistence).await
        }
    }
}

/// Returns the outcome of a call that this host has not sent to any upstream. A call with an
/// idempotency key may have been sent before through another host, and have run.
fn outcome_if_unsent(parts: &http::request::Parts) -> call::Outcome {
    match parts.headers.contains_key(call::field::KEY) {
        true => call::Outcome::Unknown,
        false => call::Outcome::NotRun,
    }
}

/// Serves a request to the directory: the entry hosts that callers of a service connect to.
async fn serve_directory(
    node: &Rc<node::Node>,
    conn: &mut http1::Conn,
    request: &head::Request,
    service: &str,
    persistence: Persistence,
) -> Result<Persistence, http1::Error> {
    let persistence = close_if_body(request, persistence);
    if request.parts.method != http::Method::GET {
        let text = Bytes::from_static(b"only GET is served here\n");
        let status = http::StatusCode::METHOD_NOT_ALLOWED;
        return send(conn, status, HeaderMap::new(), text, persistence).await;
    }
    let found = name::Name::try_from(service).ok().and_then(|name| node.service(name.as_str()));
    let Some(service) = found else {
        let text = Bytes::from_static(b"unknown service\n");
        return send(conn, http::StatusCode::NOT_FOUND, HeaderMap::new(), text, persistence).await;
    };
    let query = request.parts.uri.query().unwrap_or_default();
    let caller_data_centre = query.split('&').find_map(|pair| pair.strip_prefix("data_centre="));
    let response = node.entries(&service, caller_data_centre);
    let text = serde_json::to_vec(&response).expect("a directory response is serialisable");
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    send(conn, http::StatusCode::OK, headers, Bytes::from(text), persistence).await
}

/// Returns `Close` if the request has a body, which is not going to be read; otherwise
/// `persistence`.
fn close_if_body(request: &head::Request, persistence: Persistence) -> Persistence {
    match request.framing {
        body::Framing::Empty => persistence,
        _ => Persistence::Close,
    }
}

/// Reports to the caller that its call was refused or failed.
async fn refuse(
    conn: &mut http1::Conn,
    refusal: call::Refusal,
    persistence: Persistence,
) -> Result<Persistence, http1::Error> {
    let mut headers = HeaderMap::new();
    let value = |text: String| {
        HeaderValue::from_str(&text).expect("letters and dashes are valid in a header")
    };
    headers.insert(call::field::OUTCOME, value(refusal.outcome.to_string()));
    headers.insert(call::field::REASON, value(refusal.reason.to_string()));
    send(conn, refusal.status(), headers, Bytes::from(format!("{refusal}\n")), persistence).await
}

/// Sends a response whose body is in memory.
async fn send(
    conn: &mut http1::Conn,
    status: http::StatusCode,
    headers: HeaderMap,
    content: Bytes,
    persistence: Persistence,
) -> Result<Persistence, http1::Error> {
    let framing = body::Framing::of_len(content.len());
    let encoded =
        head::encode_response(status, &headers, framing, persistence == Persistence::Reuse);
    let mut message = bytes::BytesMut::from(&encoded[..]);
    message.extend_from_slice(&content);
    conn.write_within(message.freeze(), SEND_TIMEOUT).await?;
    Ok(persistence)
}

/// Binds a listener that does not share its port with other processes.
///
/// # Errors
///
/// Returns an error if the port is in use or may not be used by this process.
pub fn bind(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    let options = monoio::net::ListenerOpts::new().reuse_port(false).backlog(4096);
    TcpListener::bind_with_config(address, &options)
}
