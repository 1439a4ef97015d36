//! The directory, which tells callers which hosts to connect to, and a small HTTP server for the
//! directory and for other short pages.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::future::{self, Either};
use http::header::{self, HeaderMap, HeaderValue};
use monoio::net::{TcpListener, TcpStream};

use super::{cluster, memory, task};
use crate::http1::{self, body, head};
use crate::pace;

/// Maximum length in bytes of a request head.
const MAX_HEAD_LEN: usize = 4 * 1024;

/// Memory of a connection's read buffer.
const BUFFER_LEN: usize = 16 * 1024;

const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of one write to a client that reads slowly, and of closing a connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Maximum number of addresses in one directory response.
pub const MAX_ADDRESSES: usize = 64;

/// The response to a request.
#[derive(Debug)]
pub struct Response {
    /// The status code.
    pub status: http::StatusCode,
    /// The content type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Creates a response without a body.
    pub fn empty(status: http::StatusCode) -> Response {
        Response { status, content_type: "text/plain", body: Bytes::new() }
    }
}

/// A query of a caller to the directory.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Query {
    /// The host name that the caller wants to call.
    pub name: String,
    /// The caller's data centre.
    pub data_centre: String,
}

/// Returns the addresses for a caller, or `None` if there are none or if this host may not know the
/// other hosts yet.
pub fn resolve(
    members: &cluster::Members,
    query: &Query,
    now: Instant,
) -> Option<Vec<std::net::SocketAddr>> {
    let mut addresses = members.advertised(&query.data_centre, now)?;
    addresses.truncate(MAX_ADDRESSES);
    (!addresses.is_empty()).then_some(addresses)
}

/// Serves a page on a listener: `respond` maps a request head to a response. The connections to a
/// page for callers are counted in `memory`; operators and probes are let in when it is short.
pub async fn serve<F>(listener: TcpListener, respond: Rc<F>, memory: Option<Rc<memory::Budget>>)
where
    F: Fn(&http::request::Parts) -> Response + 'static,
{
    let pace = pace::Pace::of_listener();
    loop {
        match pace.step(listener.accept()).await {
            Ok((stream, _)) => {
                let share = match &memory {
                    None => None,
                    Some(memory) => match memory.accept(&stream).await {
                        Some(share) => Some(share),
                        None => continue,
                    },
                };
                let serving = handle_connection(stream, Rc::clone(&respond), share);
                monoio::spawn(task::contain("page", serving));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                monoio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn handle_connection<F>(stream: TcpStream, respond: Rc<F>, share: Option<memory::Share>)
where
    F: Fn(&http::request::Parts) -> Response,
{
    let dropped = std::pin::pin!(async {
        match &share {
            Some(share) => share.dropped().await,
            None => std::future::pending().await,
        }
    });
    let result = match http1::Conn::new(stream) {
        Ok(conn) => {
            if let Some(share) = &share {
                share.add_held(BUFFER_LEN, Instant::now());
            }
            match future::select(std::pin::pin!(serve_requests(conn, &*respond)), dropped).await {
                Either::Left((result, _)) => result,
                Either::Right(_) => Ok(()),
            }
        }
        Err(error) => Err(error.into()),
    };
    if let Err(error) = result {
        tracing::debug!(event = "page_connection_lost", %error);
    }
}

async fn serve_requests<F>(mut conn: http1::Conn, respond: &F) -> Result<(), http1::Error>
where
    F: Fn(&http::request::Parts) -> Response,
{
    loop {
        let request = monoio::time::timeout(IDLE_TIMEOUT, conn.read_request(MAX_HEAD_LEN)).await;
        let Ok(Some(request)) = request.unwrap_or(Ok(None)) else { return Ok(()) };
        let keeps_alive = head::keeps_alive(request.parts.version, &request.parts.headers)
            && request.framing == body::Framing::Empty;
        let response = respond(&request.parts);
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(response.content_type));
        let framing = body::Framing::of_len(response.body.len());
        let encoded = head::encode_response(response.status, &headers, framing, keeps_alive);
        let mut message = BytesMut::from(&encoded[..]);
        message.extend_from_slice(&response.body);
        conn.write_within(message.freeze(), WRITE_TIMEOUT).await?;
        if !keeps_alive {
            conn.linger(WRITE_TIMEOUT).await;
            return Ok(());
        }
    }
}
