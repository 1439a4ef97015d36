//! A connection with its read buffer.

use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::task::Poll;
use std::{io, time::Duration};

use bytes::{Buf as _, Bytes, BytesMut};
use futures_util::future;
use monoio::io::AsyncWriteRentExt as _;
use monoio::net::TcpStream;
use nix::sys::socket;

use super::{body, head, Error};
use crate::pace;

/// Maximum number of bytes per read.
const READ_LEN: usize = 16 * 1024;

/// Maximum number of interim responses before a final one; servers send one or two.
const MAX_INTERIM: usize = 16;

/// Number of lines between chunks whose decoding is a unit of work.
const LINES_PER_UNIT: u32 = 256;

/// Number of written bytes that are a unit of work.
const WRITTEN_PER_UNIT: usize = 4 * 1024;

/// Limits the bytes that the operating system receives on a socket before they are read. The
/// connections that a listener accepts take its limit.
///
/// # Errors
///
/// Returns an error if the socket option cannot be set.
pub fn limit_receive_buffer<S>(socket: &S, len: usize) -> io::Result<()>
where
    S: AsRawFd,
{
    socket::setsockopt(socket.as_raw_fd(), socket::sockopt::RcvBuf, &len)?;
    Ok(())
}

/// A connection of a client or server, with the bytes that were read but not yet consumed.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    pub(super) buffer: BytesMut,
    pace: pace::Pace,
}

impl Conn {
    /// Wraps an accepted or opened stream.
    ///
    /// # Errors
    ///
    /// Returns an error if Nagle's algorithm cannot be disabled.
    pub fn new(stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        Ok(Conn { stream, buffer: BytesMut::new(), pace: pace::Pace::of_connection() })
    }

    /// Opens a connection within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or takes longer than `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> io::Result<Conn> {
        match monoio::time::timeout(limit, TcpStream::connect_addr(address)).await {
            Ok(Ok(stream)) => Conn::new(stream),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
        }
    }

    /// Returns the connection without its read buffer's memory, for a connection that will be idle.
    pub fn without_buffer(mut self) -> Conn {
        self.release_buffer();
        self
    }

    /// Frees the memory of the read buffer if it holds no unread bytes.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Enables TCP keepalive: a silent connection is probed every `seconds`, and closed after
    /// `probes` probes without a reply. Without it, a connection whose peer vanished without a
    /// reset stays open.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket options cannot be set.
    pub fn enable_keepalive(&self, seconds: u32, probes: u32) -> io::Result<()> {
        let fd = self.stream.as_raw_fd();
        socket::setsockopt(fd, socket::sockopt::KeepAlive, &true)?;
        socket::setsockopt(fd, socket::sockopt::TcpKeepIdle, &seconds)?;
        socket::setsockopt(fd, socket::sockopt::TcpKeepInterval, &seconds)?;
        socket::setsockopt(fd, socket::sockopt::TcpKeepCount, &probes)?;
        Ok(())
    }

    /// Returns the address of the peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has already ended.
    pub fn peer_addr(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Reads more bytes into the buffer. Returns 0 if the peer has finished sending.
    ///
    /// Nothing is held while the connection waits, and nothing is lost if the returned future is
    /// dropped.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        loop {
            self.pace.pause_if_due().await;
            match self.fill_nonblocking() {
                Ok(len) => {
                    self.pace.add(1);
                    return Ok(len);
                }
                Err(nix::Error::EINTR) => {}
                Err(nix::Error::EAGAIN) => {
                    self.release_buffer();
                    self.readable().await?;
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Reads into the buffer what the operating system has received, up to [`READ_LEN`] bytes.
    fn fill_nonblocking(&mut self) -> nix::Result<usize> {
        let len = self.buffer.len();
        if self.buffer.capacity() < len + READ_LEN {
            // `reserve` would make room for more than one read.
            let mut buffer = BytesMut::with_capacity(len + READ_LEN);
            buffer.extend_from_slice(&self.buffer);
            self.buffer = buffer;
        }
        self.buffer.resize(len + READ_LEN, 0);
        let flags = socket::MsgFlags::MSG_DONTWAIT;
        let result = socket::recv(self.stream.as_raw_fd(), &mut self.buffer[len..], flags);
        self.buffer.truncate(len + result.unwrap_or(0));
        result
    }

    /// Counts the decoding of so many lines as work.
    pub(super) fn count_lines(&self, lines: u32) {
        self.pace.add(lines / LINES_PER_UNIT);
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails. It is then unknown how much was written.
    pub async fn write(&mut self, bytes: Bytes) -> io::Result<()> {
        let (result, _) = self.stream.write_all(bytes).await;
        result.map(|_| ())
    }

    /// Writes all of `bytes` within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the peer does not read in time. It is then
    /// unknown how much was written.
    pub async fn write_within(&mut self, mut bytes: Bytes, limit: Duration) -> io::Result<()> {
        // Most writes fit into the socket's send buffer and need no timer.
        self.send_nonblocking(&mut bytes)?;
        if bytes.is_empty() {
            return Ok(());
        }
        match monoio::time::timeout(limit, self.write(bytes)).await {
            Ok(result) => result,
            Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
        }
    }

    /// Writes `bytes` until the peer sends something. Returns `true` if everything was written.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails. It is then unknown how much was written.
    pub async fn write_unless_answered(&mut self, mut bytes: Bytes) -> io::Result<bool> {
        while !bytes.is_empty() {
            if self.has_input() {
                return Ok(false);
            }
            self.send_nonblocking(&mut bytes)?;
            if !bytes.is_empty() {
                let writable = std::pin::pin!(self.stream.writable(false));
                let readable = std::pin::pin!(self.stream.readable(false));
                future::select(writable, readable).await;
            }
        }
        Ok(true)
    }

    /// Writes what is unsent of a message until the peer sends something. Returns `true` if
    /// everything was written.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails. It is then unknown how much was written.
    pub async fn write_unsent_unless_answered(
        &mut self,
        unsent: &mut body::Unsent,
    ) -> io::Result<bool> {
        while let Some(block) = unsent.first_mut() {
            if self.has_input() {
                return Ok(false);
            }
            self.send_nonblocking(block)?;
            if block.is_empty() {
                unsent.remove_first();
                yield_now().await;
            } else {
                let writable = std::pin::pin!(self.stream.writable(false));
                let readable = std::pin::pin!(self.stream.readable(false));
                future::select(writable, readable).await;
            }
        }
        Ok(true)
    }

    /// Passes to the operating system as much of `bytes` as it accepts without blocking.
    fn send_nonblocking(&self, bytes: &mut Bytes) -> io::Result<()> {
        self.pace.add((bytes.len() / WRITTEN_PER_UNIT) as u32);
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

    /// Returns `true` if the peer has sent bytes that are not consumed yet, or has ended the
    /// connection.
    pub fn has_input(&self) -> bool {
        !self.is_idle()
    }

    /// Shuts down the sending side, and discards what still arrives until the peer has finished too
    /// or `limit` has passed. Closing at once would send a reset, which the peer may receive before
    /// it has read what was sent.
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
        // Whatever has not arrived within the limit is abandoned.
        let _ = monoio::time::timeout(limit, drained).await;
    }

    /// Waits until the peer has sent more bytes or has ended the connection.
    ///
    /// Nothing is read, so the returned future may be dropped at any time.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn readable(&self) -> io::Result<()> {
        self.pace.wait(self.stream.readable(false)).await
    }

    /// Waits until the peer has ended the connection. Bytes that it sent before remain unread.
    ///
    /// Never completes if there are such bytes, since the end behind them cannot be detected.
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

    /// Returns `true` if the connection is open and no bytes from the peer are unread.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && matches!(self.peek(), Err(nix::Error::EAGAIN))
    }

    fn peek(&self) -> nix::Result<usize> {
        let flags = socket::MsgFlags::MSG_PEEK | socket::MsgFlags::MSG_DONTWAIT;
        socket::recv(self.stream.as_raw_fd(), &mut [0], flags)
    }

    /// Makes the following close send a reset, so that the peer cannot take it for a regular end.
    pub fn reset_on_close(&self) {
        let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
        // If this fails, the connection has already ended.
        let _ = socket::setsockopt(self.stream.as_raw_fd(), socket::sockopt::Linger, &linger);
    }

    /// Reads the head of the next request. Returns `None` if the connection ends between two
    /// requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or larger than `max_len` bytes, or if the
    /// connection fails within it.
    pub async fn read_request(&mut self, max_len: usize) -> Result<Option<head::Request>, Error> {
        loop {
            if let Some(request) = self.take_request(max_len).await? {
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

    /// Reads the head of the next final response. Interim responses (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or larger than `max_len` bytes, if there are too
    /// many interim responses, or if the connection ends before the head does.
    pub async fn read_response(
        &mut self,
        method: &http::Method,
        max_len: usize,
    ) -> Result<head::Response, Error> {
        self.send_and_read_response(&mut body::Unsent::default(), method, max_len).await
    }

    /// Writes what is unsent of a request, and reads the head of the final response as
    /// [`read_response`](Conn::read_response) does.
    ///
    /// A peer may respond before it has read the whole request. The rest of the request then stays
    /// unsent, and the connection can't carry another one.
    ///
    /// # Errors
    ///
    /// Returns an error under the conditions of [`read_response`](Conn::read_response).
    pub async fn send_and_read_response(
        &mut self,
        unsent: &mut body::Unsent,
        method: &http::Method,
        max_len: usize,
    ) -> Result<head::Response, Error> {
        let mut interim = 0;
        loop {
            while let Some(response) = head::decode_response(&mut self.buffer, method, max_len)? {
                match response.parts.status {
                    // No request sent by this crate asks for a protocol upgrade.
                    http::StatusCode::SWITCHING_PROTOCOLS => {
                        return Err(Error::malformed(
                            "unexpected response 101 Switching Protocols",
                        ));
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
            self.write_unsent_unless_answered(unsent).await?;
            if self.fill().await? == 0 {
                return Err(Error::cut_short("connection ended before the response head"));
            }
        }
    }

    /// Removes the head of the next request from the read buffer if it is complete. A peer that has
    /// sent many requests waits between them while others are served.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or larger than `max_len` bytes.
    pub async fn take_request(&mut self, max_len: usize) -> Result<Option<head::Request>, Error> {
        self.pace.pause_if_due().await;
        let request = head::decode_request(&mut self.buffer, max_len)?;
        self.pace.add(u32::from(request.is_some()));
        Ok(request)
    }

    /// Reads more bytes of a head into the read buffer, and returns how many.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or ends within the head.
    pub async fn read_more_of_head(&mut self) -> Result<usize, Error> {
        match self.fill().await? {
            0 if !self.buffer.is_empty() => Err(Error::cut_short("request head cut short")),
            len => Ok(len),
        }
    }

    /// Returns the memory that the read buffer takes during the next read.
    pub fn next_buffer_len(&self) -> usize {
        self.buffer.capacity().max(self.buffer.len() + READ_LEN)
    }

    /// Returns the memory that the read buffer takes.
    pub fn buffer_len(&self) -> usize {
        self.buffer.capacity()
    }

    /// Limits the bytes that the operating system receives before they are read.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket option cannot be set.
    pub fn limit_receive_buffer(&self, len: usize) -> io::Result<()> {
        limit_receive_buffer(&self.stream, len)
    }

    /// Returns `true` if the buffer holds bytes that do not belong to any message read so far.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Lets other tasks run before this one continues.
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
