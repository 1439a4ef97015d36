//! Tells callers which hosts to connect to, and the platform whether this host is ready.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderValue};
use monoio::net::{TcpListener, TcpStream};

use super::cluster;
use crate::http1::{self, body, head};

/// Bytes of a request's head.
const MAX_HEAD_LEN: usize = 4 * 1024;

/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a caller may take to read an answer.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The most hosts that one answer names.
pub const MAX_ADDRESSES: usize = 64;

/// What a small page answers.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: http::StatusCode,
    /// The type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// An answer without a body.
    pub fn empty(status: http::StatusCode) -> Response {
        Response { status, content_type: "text/plain", body: Bytes::new() }
    }
}

/// A question of a caller to the directory.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Query {
    /// The host name that it wants to call.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
}

/// The addresses that a caller is told, or `None` while this host can't say.
pub fn resolve(
    members: &cluster::Members,
    query: &Query,
    now: Instant,
) -> Option<Vec<std::net::SocketAddr>> {
    let mut named = members.serving(&query.data_centre, now)?;
    named.truncate(MAX_ADDRESSES);
    (!named.is_empty()).then_some(named)
}

/// Serves a page of short answers on a listener of its own.
pub async fn serve<F>(listener: TcpListener, answer: Rc<F>)
where
    F: Fn(&http::request::Parts) -> Response + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(connection(stream, Rc::clone(&answer)));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<F>(stream: TcpStream, answer: Rc<F>)
where
    F: Fn(&http::request::Parts) -> Response,
{
    let result = match http1::Conn::new(stream) {
        Ok(conn) => requests(conn, &*answer).await,
        Err(error) => Err(error.into()),
    };
    if let Err(error) = result {
        tracing::debug!(event = "page_connection_lost", %error);
    }
}

async fn requests<F>(mut conn: http1::Conn, answer: &F) -> Result<(), http1::Error>
where
    F: Fn(&http::request::Parts) -> Response,
{
    loop {
        let request = monoio::time::timeout(IDLE_TIMEOUT, conn.read_request(MAX_HEAD_LEN)).await;
        let Ok(Some(request)) = request.unwrap_or(Ok(None)) else { return Ok(()) };
        let keep = head::keeps_alive(request.parts.version, &request.parts.headers)
            && request.framing == body::Framing::Empty;
        let answer = answer(&request.parts);
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(answer.content_type));
        let framing = match answer.body.len() as u64 {
            0 => body::Framing::Empty,
            len => body::Framing::Length(len),
        };
        let encoded = head::encode_response(answer.status, &headers, framing, keep);
        let mut message = BytesMut::from(&encoded[..]);
        message.extend_from_slice(&answer.body);
        conn.write_within(message.freeze(), SEND_TIMEOUT).await?;
        if !keep {
            conn.linger(SEND_TIMEOUT).await;
            return Ok(());
        }
    }
}
