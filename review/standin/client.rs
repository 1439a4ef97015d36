//! A stand-in for a client.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::Conn;

/// An answer; status 0 stands for none.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub error: String,
}

/// A kept connection to a host, opened when it is needed.
pub struct Client {
    address: SocketAddr,
    conn: Option<Conn>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, conn: None }
    }

    /// Sends a request and waits for its answer until its deadline.
    pub fn call(&mut self, method: &str, path: &str, id: &str, ms: u64, body: &[u8]) -> Answer {
        match self.exchange(method, path, id, ms, body) {
            Ok(answer) => answer,
            Err(error) => {
                self.conn = None;
                Answer { error: error.to_string(), ..Answer::default() }
            }
        }
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        ms: u64,
        body: &[u8],
    ) -> io::Result<Answer> {
        let conn = match &mut self.conn {
            Some(conn) => conn,
            none => {
                let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
                none.insert(Conn::new(stream))
            }
        };
        conn.stream.set_read_timeout(Some(Duration::from_millis(ms + 200)))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Basilhaven-Request-Id: {id}\r\n\
             X-Basilhaven-Deadline-Ms: {ms}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        conn.stream.write_all(&message)?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        conn.read_body(&head)?;
        let status = head.line[1].parse().unwrap_or(0);
        let answer = Answer { status, error: String::new() };
        if head.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.conn = None;
        }
        Ok(answer)
    }
}
