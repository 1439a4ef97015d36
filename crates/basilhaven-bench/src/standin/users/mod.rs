//! Stand-ins for the parts of the users' platform that a gateway talks to: its store, its upstreams
//! and its endpoint for usage reports.
//!
//! They implement the platform's published protocol, on threads of the test that starts them.

use std::io::{self, Read as _, Write as _};
use std::net::TcpStream;

pub mod endpoint;
pub mod store;
pub mod upstream;

/// The maximum length of a request's head, in bytes.
const MAX_HEAD_LEN: usize = 16 * 1024;

/// A complete request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The request target: path and query.
    pub target: String,
    /// The header fields, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header field, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(own, _)| *own == name).map(|(_, value)| value).next()
    }
}

/// Reads the next request of a connection; returns `None` when the client has closed it.
pub fn read_request(stream: &mut TcpStream) -> io::Result<Option<Request>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
        if head.len() > MAX_HEAD_LEN {
            return Err(io::Error::other("request head exceeds 16384 bytes"));
        }
    }
    let mut fields = [httparse::EMPTY_HEADER; 32];
    let mut parsed = httparse::Request::new(&mut fields);
    parsed.parse(&head).map_err(io::Error::other)?;
    let headers = parsed.headers.iter().map(|field| {
        (field.name.to_ascii_lowercase(), String::from_utf8_lossy(field.value).into_owned())
    });
    let mut request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        headers: headers.collect(),
        body: Vec::new(),
    };
    let len = request.header("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
    request.body.resize(len, 0);
    stream.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// Writes a response with `content-length`.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let framing = format!("content-length: {}\r\n", body.len());
    let mut message = response_head(status, &framing, headers).into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}

/// Returns the head of a response. `framing` is empty or the line that tells the length of the body.
fn response_head(status: u16, framing: &str, headers: &[(&str, &str)]) -> String {
    let fields: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    format!("HTTP/1.1 {status} -\r\n{framing}{fields}\r\n")
}
