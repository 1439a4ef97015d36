//! Reading and writing of HTTP/1.1 messages.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The head of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The three parts of the first line.
    pub line: [String; 3],
    /// The header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.line[1].split('?').next().unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.line[1].split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|p| p.1)
    }
}

/// A connection with the bytes that were read and not consumed.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 65536];
        let len = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..len]);
        Ok(len)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let mut words = lines.next().unwrap_or_default().splitn(3, ' ').map(str::to_owned);
                let mut word = || words.next().unwrap_or_default();
                let line = [word(), word(), word()];
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
                return Ok(Some(Head { line, fields: fields.collect() }));
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads a body with `content-length`.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let len: usize = head.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        while self.buffer.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..len).collect())
    }

    /// Writes a response with `content-length`.
    pub fn respond(&mut self, status: u16, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut message = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in fields {
            message.push_str(&format!("{name}: {value}\r\n"));
        }
        message.push_str("\r\n");
        let mut message = message.into_bytes();
        message.extend_from_slice(body);
        self.stream.write_all(&message)
    }
}
