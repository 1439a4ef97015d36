//! Heads of requests and responses: validated when decoded, and encoded with the framing of their
//! body.

use std::io::Write as _;
use std::time::Duration;

use bytes::{Buf as _, Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use monoio_codec::{Decoded, Decoder as _};
use monoio_http::h1::codec::decoder::{RequestHeadDecoder, ResponseHeadDecoder};

use super::{body, Error};

/// The head of a request and the framing of its body.
#[derive(Debug)]
pub struct Request {
    /// The method, target, version and header fields.
    pub parts: http::request::Parts,
    /// The framing of the body.
    pub framing: body::Framing,
}

/// The head of a response and the framing of its body.
#[derive(Debug)]
pub struct Response {
    /// The status, version and header fields.
    pub parts: http::response::Parts,
    /// The framing of the body.
    pub framing: body::Framing,
}

impl Response {
    /// Returns `true` if the connection may carry another request after the body has been read.
    pub fn allows_reuse(&self) -> bool {
        keeps_alive(self.parts.version, &self.parts.headers)
            && self.framing != body::Framing::UntilClose
    }

    /// Returns how long the server keeps an idle connection open, if it says so.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
        let value = self.parts.headers.get(KEEP_ALIVE)?.to_str().ok()?;
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.parse().ok().map(Duration::from_secs)
    }
}

/// The status codes that HTTP defines.
const STATUS_CODES: std::ops::RangeInclusive<u16> = 100..=599;

/// Header fields that apply to a single connection, not to the message.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the next request head from the buffer if it is complete.
///
/// # Errors
///
/// Returns an error if the head is malformed, ambiguous or larger than `max_len` bytes.
pub fn decode_request(buffer: &mut BytesMut, max_len: usize) -> Result<Option<Request>, Error> {
    skip_empty_lines(buffer);
    let Some(mut head) = take_head(buffer, max_len)? else { return Ok(None) };
    let decoded = RequestHeadDecoder.decode(&mut head);
    let parts = match decoded.map_err(|_| Error::malformed("malformed request head"))? {
        Decoded::Some(parts) => parts,
        _ => return Err(Error::malformed("malformed request head")),
    };
    if parts.version == http::Version::HTTP_11 && single(&parts.headers, &header::HOST)?.is_none() {
        return Err(Error::malformed("HTTP/1.1 request without a host field"));
    }
    check_target(&parts)?;
    let framing = match declared_framing(&parts.headers)? {
        Some(framing) => framing,
        None => body::Framing::Empty,
    };
    if framing == body::Framing::Chunked && parts.version != http::Version::HTTP_11 {
        return Err(Error::malformed("transfer-encoding in HTTP/1.0"));
    }
    Ok(Some(Request { parts, framing }))
}

/// Checks that the target is a path. `CONNECT`, which asks for a tunnel, is rejected, and `*` is
/// only valid with `OPTIONS`.
fn check_target(parts: &http::request::Parts) -> Result<(), Error> {
    let path = parts.uri.path();
    let is_path = path.starts_with('/');
    let is_asterisk = path == "*" && parts.method == http::Method::OPTIONS;
    match parts.method == http::Method::CONNECT || !(is_path || is_asterisk) {
        true => Err(Error::malformed("request target is not a path")),
        false => Ok(()),
    }
}

/// Removes the next response head from the buffer if it is complete.
///
/// # Errors
///
/// Returns an error if the head is malformed, ambiguous or larger than `max_len` bytes.
pub fn decode_response(
    buffer: &mut BytesMut,
    method: &http::Method,
    max_len: usize,
) -> Result<Option<Response>, Error> {
    let Some(mut head) = take_head(buffer, max_len)? else { return Ok(None) };
    let decoded = ResponseHeadDecoder.decode(&mut head);
    let parts = match decoded.map_err(|_| Error::malformed("malformed response head"))? {
        Decoded::Some(parts) => parts,
        _ => return Err(Error::malformed("malformed response head")),
    };
    if !STATUS_CODES.contains(&parts.status.as_u16()) {
        return Err(Error::malformed("status code outside of 100 to 599"));
    }
    let declared = declared_framing(&parts.headers)?;
    let has_no_body = method == http::Method::HEAD
        || parts.status.is_informational()
        || parts.status == http::StatusCode::NO_CONTENT
        || parts.status == http::StatusCode::NOT_MODIFIED;
    let framing = match (has_no_body, declared) {
        (true, _) => body::Framing::Empty,
        (false, Some(framing)) => framing,
        (false, None) => body::Framing::UntilClose,
    };
    Ok(Some(Response { parts, framing }))
}

/// Skips empty lines before a request line, as RFC 9112 section 2.2 asks.
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        let _ = buffer.split_to(2);
    }
}

/// Moves a complete head out of the buffer. It is copied: the header fields of a message share its
/// memory, and would keep that of the whole buffer for as long as the message is in use.
fn take_head(buffer: &mut BytesMut, max_len: usize) -> Result<Option<BytesMut>, Error> {
    let Some(len) = complete_len(buffer, max_len)? else { return Ok(None) };
    let head = BytesMut::from(&buffer[..len]);
    buffer.advance(len);
    Ok(Some(head))
}

/// Returns the length of the head in the buffer if it is complete. A line that ends without a
/// carriage return is rejected, since parsers disagree on whether it ends the head.
fn complete_len(buffer: &[u8], max_len: usize) -> Result<Option<usize>, Error> {
    let mut line_start = 0;
    while let Some(at) = buffer[line_start..].iter().position(|&b| b == b'\n') {
        let end = line_start + at;
        if end >= max_len {
            return Err(Error::head_too_large());
        }
        if end == line_start || buffer[end - 1] != b'\r' {
            return Err(Error::malformed("line feed without carriage return"));
        }
        if end - line_start == 1 {
            return Ok(Some(end + 1));
        }
        line_start = end + 1;
    }
    if buffer.len() >= max_len {
        return Err(Error::head_too_large());
    }
    Ok(None)
}

/// Returns the framing declared by the header fields.
///
/// A content length together with a transfer coding, repeated fields, and codings other than
/// `chunked` are rejected, since parsers could disagree on where the body ends.
fn declared_framing(headers: &HeaderMap) -> Result<Option<body::Framing>, Error> {
    let coding = single(headers, &header::TRANSFER_ENCODING)?;
    let length = single(headers, &header::CONTENT_LENGTH)?;
    match (coding, length) {
        (Some(_), Some(_)) => Err(Error::malformed("both transfer-encoding and content-length")),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(body::Framing::Chunked))
        }
        (Some(_), None) => Err(Error::malformed("transfer-encoding other than chunked")),
        (None, Some(length)) => match parse_decimal(length.as_bytes()) {
            Some(0) => Ok(Some(body::Framing::Empty)),
            Some(length) => Ok(Some(body::Framing::Length(length))),
            None => Err(Error::malformed("content-length is not a number")),
        },
        (None, None) => Ok(None),
    }
}

/// Returns the value of a field that may occur only once.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, Error> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (_, Some(_)) => {
            Err(Error::malformed("repeated host, content-length or transfer-encoding field"))
        }
        (value, None) => Ok(value),
    }
}

/// Parses a number of decimal digits only; `str::parse` would accept a sign.
fn parse_decimal(digits: &[u8]) -> Option<u64> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// Returns the host that a request names, without the port: from its target, or else from its
/// `host` field.
///
/// # Examples
///
/// ```
/// use basilhaven::http1::head;
///
/// let request = http::Request::get("/prices").header("host", "shop.example:8080").body(())?;
/// let (parts, ()) = request.into_parts();
/// assert_eq!(head::host(&parts), Some("shop.example"));
/// # Ok::<(), http::Error>(())
/// ```
pub fn host(parts: &http::request::Parts) -> Option<&str> {
    if let Some(host) = parts.uri.host() {
        return Some(host);
    }
    let host = parts.headers.get(header::HOST)?.to_str().ok()?;
    Some(host.split(':').next().unwrap_or(host))
}

/// Returns `true` if the sender of this head intends to keep the connection open.
pub fn keeps_alive(version: http::Version, headers: &HeaderMap) -> bool {
    match version {
        http::Version::HTTP_11 => !has_connection_option(headers, "close"),
        _ => has_connection_option(headers, "keep-alive"),
    }
}

fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    connection_options(headers).any(|o| o.eq_ignore_ascii_case(option))
}

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(header::CONNECTION).iter();
    values.filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(',')).map(str::trim)
}

/// Removes the header fields that apply only to the connection on which the head was received.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        let listed: Vec<HeaderName> =
            connection_options(headers).filter_map(|o| o.parse().ok()).collect();
        for name in listed {
            // The sender must not have the framing or the host removed this way.
            if name != header::CONTENT_LENGTH && name != header::HOST {
                headers.remove(name);
            }
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Encodes the head of a request, with the header field that declares `framing`.
pub fn encode_request(
    method: &http::Method,
    uri: &http::Uri,
    headers: &HeaderMap,
    framing: body::Framing,
) -> Bytes {
    let mut out = Vec::with_capacity(256 + headers.len() * 32);
    out.extend_from_slice(method.as_str().as_bytes());
    out.push(b' ');
    match uri.path_and_query() {
        Some(target) => out.extend_from_slice(target.as_str().as_bytes()),
        None => out.push(b'/'),
    }
    out.extend_from_slice(b" HTTP/1.1\r\n");
    let has_no_body = matches!(*method, http::Method::GET | http::Method::HEAD);
    match framing {
        body::Framing::Empty if has_no_body => {}
        framing => encode_framing(&mut out, framing),
    }
    encode_fields(out, headers)
}

/// Encodes the head of a response, with the header field that declares `framing`.
///
/// With [`body::Framing::Empty`], the `content-length` in `headers` is kept: the response to a
/// `HEAD` request declares the length that a `GET` request would return.
pub fn encode_response(
    status: http::StatusCode,
    headers: &HeaderMap,
    framing: body::Framing,
    keep_alive: bool,
) -> Bytes {
    let mut out = Vec::with_capacity(256 + headers.len() * 32);
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(status.as_str().as_bytes());
    out.push(b' ');
    out.extend_from_slice(status.canonical_reason().unwrap_or("").as_bytes());
    out.extend_from_slice(b"\r\n");
    let declared =
        headers.get(header::CONTENT_LENGTH).filter(|_| status != http::StatusCode::NO_CONTENT);
    match (framing, declared) {
        (body::Framing::Empty, Some(length)) => {
            out.extend_from_slice(b"content-length: ");
            out.extend_from_slice(length.as_bytes());
            out.extend_from_slice(b"\r\n");
        }
        (body::Framing::Empty, None) if may_omit_length(status) => {}
        (framing, _) => encode_framing(&mut out, framing),
    }
    if !keep_alive {
        out.extend_from_slice(b"connection: close\r\n");
    }
    encode_fields(out, headers)
}

fn may_omit_length(status: http::StatusCode) -> bool {
    matches!(status, http::StatusCode::NO_CONTENT | http::StatusCode::NOT_MODIFIED)
}

fn encode_framing(out: &mut Vec<u8>, framing: body::Framing) {
    match framing {
        body::Framing::Empty => out.extend_from_slice(b"content-length: 0\r\n"),
        body::Framing::Length(length) => {
            write!(out, "content-length: {length}\r\n").expect("writing to memory");
        }
        body::Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        body::Framing::UntilClose => {}
    }
}

fn encode_fields(mut out: Vec<u8>, headers: &HeaderMap) -> Bytes {
    for (name, value) in headers {
        if *name == header::CONTENT_LENGTH || *name == header::TRANSFER_ENCODING {
            continue;
        }
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"\r\n");
    Bytes::from(out)
}
