//! Short exchanges with small bodies: peers, the platform, operators and tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{HeaderMap, HeaderValue};

use super::{body, head, Conn, Error};

/// The most bytes that a response's head may have.
const MAX_HEAD_LEN: usize = 16 * 1024;

/// A request whose body is in memory.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: http::Method,
    /// Path and query.
    pub target: http::Uri,
    /// Header fields; `host` is added when absent.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// A request without header fields.
    ///
    /// # Errors
    ///
    /// `target` is no path.
    pub fn new<B>(method: http::Method, target: &str, body: B) -> Result<Request, http::Error>
    where
        B: Into<Bytes>,
    {
        let target = target.parse::<http::Uri>()?;
        Ok(Request { method, target, headers: HeaderMap::new(), body: body.into() })
    }
}

/// A response whose body is in memory.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status.
    pub status: http::StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub is_reusable: bool,
}

/// Sends one request on an open connection and reads its whole response, of `max_body_len` bytes at
/// most.
///
/// # Errors
///
/// The connection failed, or what came back is no whole response; the connection is then to be
/// closed.
pub async fn exchange(
    conn: &mut Conn,
    request: &Request,
    max_body_len: usize,
) -> Result<Response, Error> {
    let mut headers = request.headers.clone();
    if !headers.contains_key(http::header::HOST) {
        headers.insert(http::header::HOST, HeaderValue::from_static("basilhaven"));
    }
    let framing = match request.body.len() as u64 {
        0 => body::Framing::Empty,
        len => body::Framing::Length(len),
    };
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

/// Reads what is left of a body, of `max_len` bytes at most.
///
/// # Errors
///
/// The body is malformed, cut short or longer.
pub async fn read_all(
    conn: &mut Conn,
    reader: &mut body::Reader,
    max_len: usize,
) -> Result<Bytes, Error> {
    let mut all = BytesMut::new();
    while let Some(piece) = reader.next(conn).await? {
        if all.len() + piece.len() > max_len {
            return Err(Error::malformed("body too large"));
        }
        all.extend_from_slice(&piece);
    }
    Ok(all.freeze())
}

/// Opens a connection, makes one exchange on it within `limit`, and closes it.
///
/// # Errors
///
/// As [`exchange`], or the limit has passed.
pub async fn call(
    address: SocketAddr,
    request: &Request,
    limit: Duration,
    max_body_len: usize,
) -> Result<Response, Error> {
    let whole = async {
        let mut conn = Conn::open(address, limit).await?;
        exchange(&mut conn, request, max_body_len).await
    };
    match monoio::time::timeout(limit, whole).await {
        Ok(result) => result,
        Err(_) => Err(Error::from(std::io::Error::from(std::io::ErrorKind::TimedOut))),
    }
}
