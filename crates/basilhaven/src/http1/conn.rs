//! One connection with its read buffer.

use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::task::Poll;
use std::{io, time::Duration};

use bytes::{Buf as _, Bytes, BytesMut};
use futures_util::future;
use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use nix::sys::socket;

use super::{head, Error};

/// Bytes that one read takes at most.
const READ_LEN: usize = 16 * 1024;

/// Interim responses that are passed over before a response; servers send one or two.
const MAX_INTERIM: usize = 16;

/// Reads after which other tasks get their turn: bytes that keep coming would leave them none, nor any timer.
const READS_PER_YIELD: u32 = 16;

/// A connection, from either side, and what was read from it but not yet used.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    pub(super) buffer: BytesMut,
    reads: u32,
}

impl Conn {
    /// Takes over an accepted or opened stream.
    ///
    /// # Errors
    ///
    /// The operating system refuses to switch off Nagle's algorithm.
    pub fn new(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        Ok(Conn { stream, buffer: BytesMut::new(), reads: 0 })
    }

    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// It was refused, or took longer.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Conn> {
        match monoio::time::timeout(limit, TcpStream::connect_addr(address)).await {
            Ok(Ok(stream)) => Conn::new(stream),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
        }
    }

    /// The connection with no memory held for reading, for one that will be idle.
    pub fn without_buffer(mut self) -> Conn {
        self.release_buffer();
        self
    }

    /// Gives back the memory held for reading, when nothing unread is in it.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Has the operating system probe a silent connection every `seconds`, and end it after `probes`
    /// without an answer: a connection may go silent for good without a reset.
    ///
    /// # Errors
    ///
    /// The operating system does not take the options.
    pub fn enable_keepalive(&self, seconds: u32, probes: u32) -> io::Result<()> {
        let fd = self.stream.as_raw_fd();
        socket::setsockopt(fd, socket::sockopt::KeepAlive, &true)?;
        socket::setsockopt(fd, socket::sockopt::TcpKeepIdle, &seconds)?;
        socket::setsockopt(fd, socket::sockopt::TcpKeepInterval, &seconds)?;
        socket::setsockopt(fd, socket::sockopt::TcpKeepCount, &probes)?;
        Ok(())
    }

    /// The other side's address.
    ///
    /// # Errors
    ///
    /// The connection has ended already.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Reads more into the buffer; 0 bytes say that the other side has finished.
    ///
    /// When the returned future is dropped early, the connection is to be closed.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        self.reads = self.reads.wrapping_add(1);
        if self.reads.is_multiple_of(READS_PER_YIELD) {
            yield_now().await;
        }
        self.buffer.reserve(READ_LEN);
        let tail = self.buffer.split_off(self.buffer.len());
        let (result, tail) = self.stream.read(tail).await;
        self.buffer.unsplit(tail);
        result
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// The connection failed; how much was written is then not known.
    pub async fn write(&mut self, bytes: Bytes) -> io::Result<()> {
        let (result, _) = self.stream.write_all(bytes).await;
        result.map(|_| ())
    }

    /// Writes all of `bytes` within `limit`.
    ///
    /// # Errors
    ///
    /// The connection failed, or the other side does not read; how much was written is then not known.
    pub async fn write_within(&mut self, mut bytes: Bytes, limit: Duration) -> io::Result<()> {
        // Most writes fit the socket's buffer at once, and need no timer.
        self.send_some(&mut bytes)?;
        if bytes.is_empty() {
            return Ok(());
        }
        match monoio::time::timeout(limit, self.write(bytes)).await {
            Ok(result) => result,
            Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
        }
    }

    /// Writes `bytes` unless the other side sends something first; tells whether all was written.
    ///
    /// # Errors
    ///
    /// The connection failed; how much was written is then not known.
    pub async fn write_unless_answered(&mut self, mut bytes: Bytes) -> io::Result<bool> {
        while !bytes.is_empty() {
            if self.has_input() {
                return Ok(false);
            }
            self.send_some(&mut bytes)?;
            if !bytes.is_empty() {
                let writable = std::pin::pin!(self.stream.writable(false));
                let readable = std::pin::pin!(self.stream.readable(false));
                future::select(writable, readable).await;
            }
        }
        Ok(true)
    }

    /// Hands the operating system what it takes of `bytes` without waiting.
    fn send_some(&self, bytes: &mut Bytes) -> io::Result<()> {
        let flags = socket::MsgFlags::MSG_DONTWAIT | socket::MsgFlags::MSG_NOSIGNAL;
        while !bytes.is_empty() {
            match socket::send(self.stream.as_raw_fd(), bytes, flags) {
                Ok(sent) => bytes.advance(sent),
                Err(nix::Error::EINTR) => {}
                Err(nix::Error::EAGAIN) => return Ok(()),
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }

    /// Whether the other side has sent what was not used yet, or has ended the connection.
    pub fn has_input(&self) -> bool {
        !self.is_idle()
    }

    /// Finishes sending, and passes over what still arrives until the other side has finished too, or
    /// `limit` has passed: closing at once would make a reset, which may overtake what was sent.
    pub async fn linger(&mut self, limit: Duration) {
        if socket::shutdown(self.stream.as_raw_fd(), socket::Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            loop {
                self.buffer.clear();
                match self.fill().await {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
            }
        };
        // What is left when the time has passed is given up.
        let _ = monoio::time::timeout(limit, drained).await;
    }

    /// Waits until the other side has sent something more, or has ended the connection.
    ///
    /// Reads nothing, so that the future may be dropped at any moment.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable(false).await
    }

    /// Waits until the other side has ended the connection; bytes that it sends before stay unread.
    ///
    /// Pends for ever once such bytes are there, for an end behind them can't be seen.
    pub async fn closed(&self) {
        if !self.buffer.is_empty() {
            return std::future::pending().await;
        }
        loop {
            if self.readable().await.is_err() {
                return;
            }
            match self.peek() {
                Ok(0) => return,
                Ok(_) => return std::future::pending().await,
                Err(nix::Error::EAGAIN) => {}
                Err(_) => return,
            }
        }
    }

    /// Whether the connection is open, with nothing sent by the other side that was not read.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && matches!(self.peek(), Err(nix::Error::EAGAIN))
    }

    fn peek(&self) -> nix::Result<usize> {
        let flags = socket::MsgFlags::MSG_PEEK | socket::MsgFlags::MSG_DONTWAIT;
        socket::recv(self.stream.as_raw_fd(), &mut [0], flags)
    }

    /// Makes the close that follows a reset, so that the other side can't take it for a clean end.
    pub fn reset_on_close(&self) {
        let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
        // Nothing is lost when it fails: the connection has then ended already.
        let _ = socket::setsockopt(self.stream.as_raw_fd(), socket::sockopt::Linger, &linger);
    }

    /// Reads the head of the next request; `None` at a clean end between two requests.
    ///
    /// # Errors
    ///
    /// The head is malformed or larger than `max_len` bytes, or the connection failed within it.
    pub async fn read_request(&mut self, max_len: usize) -> Result<Option<head::Request>, Error> {
        loop {
            if let Some(request) = head::decode_request(&mut self.buffer, max_len)? {
                return Ok(Some(request));
            }
            if self.fill().await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(Error::cut_short("request head cut short")),
                };
            }
        }
    }

    /// Reads the head of the next final response; interim ones (1xx) are passed over.
    ///
    /// # Errors
    ///
    /// The head is malformed or larger than `max_len` bytes, too many interim ones come, or the connection
    /// ended before its end.
    pub async fn read_response(
        &mut self,
        method: &http::Method,
        max_len: usize,
    ) -> Result<head::Response, Error> {
        let mut interim = 0;
        loop {
            while let Some(response) = head::decode_response(&mut self.buffer, method, max_len)? {
                match response.parts.status {
                    // No request of ours asks for another protocol.
                    http::StatusCode::SWITCHING_PROTOCOLS => {
                        return Err(Error::malformed("switch of protocols"));
                    }
                    status if status.is_informational() => {
                        interim += 1;
                        if interim > MAX_INTERIM {
                            return Err(Error::malformed("too many interim responses"));
                        }
                    }
                    _ => return Ok(response),
                }
            }
            if self.fill().await? == 0 {
                return Err(Error::cut_short("connection ended before the response head"));
            }
        }
    }

    /// Whether bytes are left that belong to no message read so far.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Lets other tasks run before this one goes on.
async fn yield_now() {
    let mut has_yielded = false;
    std::future::poll_fn(|context| {
        if has_yielded {
            return Poll::Ready(());
        }
        has_yielded = true;
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
