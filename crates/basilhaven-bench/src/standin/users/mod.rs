//! Stand-ins for what the users' platform puts around a gateway: its store and its upstreams.
//!
//! They speak the published protocol, on threads of the test that starts them.

use std::io::{self, Read as _, Write as _};
use std::net::TcpStream;

pub mod store;
pub mod upstream;

/// Bytes of a request's head.
const MAX_HEAD_LEN: usize = 16 * 1024;

/// A request that has been read whole.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields, their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(own, _)| *own == name).map(|(_, value)| value).next()
    }
}

/// Reads the next request of a connection; `None` at its end.
fn read_request(stream: &mut TcpStream) -> io::Result<Option<Request>> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
        if head.len() > MAX_HEAD_LEN {
            return Err(io::Error::other("a head is too long"));
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

/// Writes a response with a body of known length.
fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut message = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        message.push_str(&format!("{name}: {value}\r\n"));
    }
    message.push_str("\r\n");
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}
