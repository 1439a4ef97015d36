//! Callers' connections: one task each, from accept to close.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{self, Either};
use http::header::{self, HeaderMap, HeaderValue};
use monoio::net::{TcpListener, TcpStream};

use crate::http1::{self, body, head};
use crate::{call, name, node};

mod delivery;
mod exchange;
mod forward;

/// The most bytes that a request's head may have.
pub const MAX_HEAD_LEN: usize = 16 * 1024;

/// How long a connection may stay silent between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a request's head may take from its first byte.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a new connection may take to send its first request while connections are being closed.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);
/// How long a connection may take to end after its last answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a caller may take to read a short answer.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The path under which the directory answers, before the service's name.
const ENTRIES_PATH: &str = "/v1/entries/";

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

/// Accepts callers until the returned future is dropped.
pub async fn accept(node: Rc<node::Node>, listener: &TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => welcome(&node, stream),
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts the callers that wait in the listener's backlog; tells whether there were any.
pub async fn accept_waiting(node: &Rc<node::Node>, listener: &TcpListener) -> bool {
    let mut any = false;
    while let Ok(Ok((stream, _))) = monoio::time::timeout(ACCEPT_PAUSE, listener.accept()).await {
        welcome(node, stream);
        any = true;
    }
    any
}

fn welcome(node: &Rc<node::Node>, stream: TcpStream) {
    match http1::Conn::new(stream) {
        Ok(conn) => {
            let open = Open::new(node);
            monoio::spawn(connection(Rc::clone(node), conn, open));
        }
        Err(error) => tracing::debug!(event = "connection_lost", %error),
    }
}

/// Counts a caller's connection as open while it lives.
struct Open(Rc<node::Node>);

impl Open {
    fn new(node: &Rc<node::Node>) -> Open {
        let open = node.open_connections();
        open.set(open.get() + 1);
        Open(Rc::clone(node))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let open = self.0.open_connections();
        open.set(open.get() - 1);
    }
}

async fn connection(node: Rc<node::Node>, mut conn: http1::Conn, open: Open) {
    if node.open_connections().get() > node.settings().max_connections {
        let refusal = call::Refusal::not_run(call::Reason::TooManyConnections);
        let _ = refuse(&mut conn, refusal, Next::Close).await;
        return;
    }
    if requests(&node, &mut conn).await == Next::Close {
        conn.linger(LINGER_TIMEOUT).await;
    }
    drop(open);
}

/// Serves one request after another; tells how the connection is to be closed.
async fn requests(node: &Rc<node::Node>, conn: &mut http1::Conn) -> Next {
    let mut closing_grace = FIRST_REQUEST_GRACE;
    loop {
        let request = match next_request(node, conn, closing_grace).await {
            Ok(Some(request)) => request,
            Ok(None) => return Next::Abort,
            Err(error) => {
                reject(conn, &error, call::Outcome::NotRun).await;
                return Next::Close;
            }
        };
        closing_grace = Duration::ZERO;
        match respond(node, conn, request).await {
            Ok(Next::Request) => {}
            Ok(next) => return next,
            Err(error) => {
                tracing::debug!(event = "caller_lost", %error);
                return Next::Abort;
            }
        }
    }
}

/// The next request's head; `None` when the connection is to be closed without a word. While
/// connections are being closed, a request may still come within `closing_grace`.
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
            // A request that is here already is still served.
            Either::Right(_) if conn.is_idle() => return Ok(None),
            Either::Right(_) => {}
        }
    }
    match monoio::time::timeout(HEAD_TIMEOUT, conn.read_request(MAX_HEAD_LEN)).await {
        Ok(result) => result,
        Err(_) => Ok(None),
    }
}

/// Tells a caller what is wrong with its request; the connection is closed after it.
async fn reject(conn: &mut http1::Conn, error: &http1::Error, outcome: call::Outcome) {
    let status = match error.category() {
        http1::Category::Malformed => http::StatusCode::BAD_REQUEST,
        http1::Category::HeadTooLarge => http::StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        http1::Category::CutShort | http1::Category::Io => return,
    };
    metrics::counter!("basilhaven_requests_rejected_total", "status" => status.as_u16().to_string())
        .increment(1);
    let mut headers = HeaderMap::new();
    let outcome = HeaderValue::from_str(&outcome.to_string()).expect("letters and dashes");
    headers.insert(call::field::OUTCOME, outcome);
    let _ = send(conn, status, headers, Bytes::from(format!("{error}\n")), Next::Close).await;
}

async fn respond(
    node: &Rc<node::Node>,
    conn: &mut http1::Conn,
    request: head::Request,
) -> Result<Next, http1::Error> {
    let keeps = head::keeps_alive(request.parts.version, &request.parts.headers);
    let next = if keeps && !node.members().is_leaving() { Next::Request } else { Next::Close };
    if !node.is_configured() {
        let next = pass_over(&request, next);
        return refuse(conn, call::Refusal::not_run(call::Reason::NoConfiguration), next).await;
    }
    let path = request.parts.uri.path();
    if let Some(service) = path.strip_prefix(ENTRIES_PATH) {
        let service = service.to_owned();
        return entries(node, conn, &request, &service, next).await;
    }
    let service = head::host(&request.parts).and_then(|name| node.service(name));
    match service {
        Some(service) => forward::serve(node, conn, service, request, next).await,
        None => {
            let next = pass_over(&request, next);
            let text = Bytes::from_static(b"unknown service\n");
            let outcome = unsent(&request.parts).to_string();
            let outcome = HeaderValue::from_str(&outcome).expect("letters and dashes");
            let mut headers = HeaderMap::new();
            headers.insert(call::field::OUTCOME, outcome);
            send(conn, http::StatusCode::NOT_FOUND, headers, text, next).await
        }
    }
}

/// What is known of a call that this host sent nowhere: under a key, it may have run from another host.
fn unsent(parts: &http::request::Parts) -> call::Outcome {
    match parts.headers.contains_key(call::field::KEY) {
        true => call::Outcome::Unknown,
        false => call::Outcome::NotRun,
    }
}

async fn entries(
    node: &Rc<node::Node>,
    conn: &mut http1::Conn,
    request: &head::Request,
    service: &str,
    next: Next,
) -> Result<Next, http1::Error> {
    let next = pass_over(request, next);
    if request.parts.method != http::Method::GET {
        let text = Bytes::from_static(b"only GET is served here\n");
        let status = http::StatusCode::METHOD_NOT_ALLOWED;
        return send(conn, status, HeaderMap::new(), text, next).await;
    }
    let known = name::Name::try_from(service).ok().and_then(|name| node.service(name.as_str()));
    let Some(service) = known else {
        let text = Bytes::from_static(b"unknown service\n");
        return send(conn, http::StatusCode::NOT_FOUND, HeaderMap::new(), text, next).await;
    };
    let query = request.parts.uri.query().unwrap_or_default();
    let near = query.split('&').find_map(|pair| pair.strip_prefix("data_centre="));
    let answer = node.entries(&service, near);
    let text = serde_json::to_vec(&answer).expect("an answer is plain data");
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    send(conn, http::StatusCode::OK, headers, Bytes::from(text), next).await
}

/// A connection is closed after a request whose body nobody reads.
fn pass_over(request: &head::Request, next: Next) -> Next {
    match request.framing {
        body::Framing::Empty => next,
        _ => Next::Close,
    }
}

/// Tells a caller that its call got no answer.
async fn refuse(
    conn: &mut http1::Conn,
    refusal: call::Refusal,
    next: Next,
) -> Result<Next, http1::Error> {
    let mut headers = HeaderMap::new();
    let value = |text: String| HeaderValue::from_str(&text).expect("letters and dashes");
    headers.insert(call::field::OUTCOME, value(refusal.outcome.to_string()));
    headers.insert(call::field::REASON, value(refusal.reason.to_string()));
    send(conn, refusal.status(), headers, Bytes::from(format!("{refusal}\n")), next).await
}

/// Sends a response whose body is in memory.
async fn send(
    conn: &mut http1::Conn,
    status: http::StatusCode,
    headers: HeaderMap,
    content: Bytes,
    next: Next,
) -> Result<Next, http1::Error> {
    let framing = match content.len() as u64 {
        0 => body::Framing::Empty,
        len => body::Framing::Length(len),
    };
    let encoded = head::encode_response(status, &headers, framing, next == Next::Request);
    let mut message = bytes::BytesMut::from(&encoded[..]);
    message.extend_from_slice(&content);
    conn.write_within(message.freeze(), SEND_TIMEOUT).await?;
    Ok(next)
}

/// Binds a listener that shares its port with no other process.
///
/// # Errors
///
/// The port is in use, or not this process's to use.
pub fn bind(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    let options = monoio::net::ListenerOpts::new().reuse_port(false).backlog(4096);
    TcpListener::bind_with_config(address, &options)
}
