//! A simple client for requests and responses with small bodies: for other hosts, the platform,
//! operators and tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{HeaderMap, HeaderValue};

use super::{body, head, Conn, Error};

/// Maximum length of a response head in bytes.
const MAX_HEAD_LEN: usize = 16 * 1024;

/// A request with its body in memory.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: http::Method,
    /// The path and query.
    pub target: http::Uri,
    /// The header fields; `host` is added if it is missing.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Creates a request without header fields.
    ///
    /// # Errors
    ///
    /// Returns an error if `target` is not a valid path.
    pub fn new<B>(method: http::Method, target: &str, body: B) -> Result<Request, http::Error>
    where
        B: Into<Bytes>,
    {
        let target = target.parse::<http::Uri>()?;
        Ok(Request { method, target, headers: HeaderMap::new(), body: body.into() })
    }
}

/// A response with its body in memory.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status.
    pub status: http::StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub is_reusable: bool,
}

/// Sends a request on an open connection and reads the complete response, with a body of at most
/// `max_body_len` bytes.
///
/// # Errors
///
/// Returns an error if the connection fails or the response is malformed, incomplete or too long.
/// The connection must then be closed.
pub async fn exchange(
    conn: &mut Conn,
    request: &Request,
    max_body_len: usize,
) -> Result<Response, Error> {
    let mut headers = request.headers.clone();
    if !headers.contains_key(http::header::HOST) {
        headers.insert(http::header::HOST, HeaderValue::from_static("basilhaven"));
    }
    let framing = body::Framing::of_len(request.body.len());
    let encoded = head::encode_request(&request.method, &request.target, &headers, framing);
    let mut message = BytesMut::from(&encoded[..]);
    message.extend_from_slice(&request.body);
    conn.write(message.freeze()).await?;
    let response = conn.read_response(&request.method, MAX_HEAD_LEN).await?;
    let mut reader = body::Reader::new(response.framing);
    let body = read_all(conn, &mut reader, max_body_len).await?;
    let is_reusable = response.allows_reuse() && !conn.has_buffered();
    Ok(Response {
        status: response.parts.status,
        headers: response.parts.headers,
        body,
        is_reusable,
    })
}

/// Reads the remaining body, of at most `max_len` bytes.
///
/// # Errors
///
/// Returns an error if the body is malformed, truncated or longer than `max_len`.
pub async fn read_all(
    conn: &mut Conn,
    reader: &mut body::Reader,
    max_len: usize,
) -> Result<Bytes, Error> {
    let mut all = BytesMut::new();
    while let Some(piece) = reader.next(conn).await? {
        if all.len() + piece.len() > max_len {
            return Err(Error::malformed("body exceeds the length limit"));
        }
        all.extend_from_slice(&piece);
    }
    Ok(all.freeze())
}

/// Opens a connection, sends one request on it and closes it, all within `limit`.
///
/// # Errors
///
/// Returns an error under the conditions of [`exchange`], or if the limit has passed.
pub async fn call(
    address: SocketAddr,
    request: &Request,
    limit: Duration,
    max_body_len: usize,
) -> Result<Response, Error> {
    let attempt = async {
        let mut conn = Conn::open(address, limit).await?;
        exchange(&mut conn, request, max_body_len).await
    };
    match monoio::time::timeout(limit, attempt).await {
        Ok(result) => result,
        Err(_) => Err(Error::from(std::io::Error::from(std::io::ErrorKind::TimedOut))),
    }
}
