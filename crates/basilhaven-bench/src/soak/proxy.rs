//! A TCP proxy on loopback that can delay, drop and reset traffic.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use nix::sys::socket;
use std::os::fd::AsRawFd as _;

use super::links::Links;

/// How often an idle direction checks whether its connections are to be reset.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The size of the copy buffer, in bytes.
const BUFFER_LEN: usize = 16 * 1024;

/// The state of a proxied link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Bytes are forwarded.
    Open,
    /// Bytes are forwarded after a delay.
    Delays(Duration),
    /// Bytes of both directions are dropped. A connection that lost bytes forwards nothing from
    /// then on.
    Blackhole,
    /// Bytes from the server are dropped. Here too, a connection that lost bytes forwards nothing
    /// more.
    DropsResponses,
    /// Open connections are reset, and new ones as soon as they are accepted.
    Resets,
    /// Open connections forward bytes, and new ones are reset as soon as they are accepted.
    ResetsNew,
}

/// The two directions of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// The client of a connection.
#[derive(Debug)]
struct Client {
    address: SocketAddr,
    /// The address of the proxy to which it is connected.
    connected_to: SocketAddr,
    /// The process that has opened the connection, once it was looked up; `None` if it has closed
    /// the connection already.
    process: OnceLock<Option<u32>>,
}

/// A running proxy; its threads end with the process.
#[derive(Debug, Clone)]
pub struct Proxy {
    address: SocketAddr,
    link: Arc<Mutex<Link>>,
    links: Links,
}

impl Proxy {
    /// Starts a proxy for the server at this address.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start(server: SocketAddr) -> Proxy {
        Proxy::start_among(server, &Links::default())
    }

    /// Starts a proxy for the server at this address, which also obeys the links of the processes
    /// that connect to it.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start_among(server: SocketAddr, links: &Links) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let link = Arc::new(Mutex::new(Link::Open));
        let proxy = Proxy { address, link, links: links.clone() };
        let served = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let served = served.clone();
                // A failed connection is closed on both sides; the client reconnects.
                std::thread::spawn(move || served.connect(client, server));
            }
        });
        proxy
    }

    /// Returns the address at which the proxy accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the state of the link, for open connections too.
    pub fn set_link(&self, link: Link) {
        *self.lock() = link;
    }

    fn lock(&self) -> MutexGuard<'_, Link> {
        self.link.lock().expect("no thread panics while it holds the link")
    }

    /// Returns the state of the link for a connection of this client.
    fn link_for(&self, client: &Client) -> Link {
        if self.links.are_open() {
            return *self.lock();
        }
        let process =
            client.process.get_or_init(|| self.links.owner(client.address, client.connected_to));
        let link = process.map(|process| self.links.link_of(process));
        match link {
            None | Some(Link::Open) => *self.lock(),
            Some(link) => link,
        }
    }

    fn connect(&self, client: TcpStream, server: SocketAddr) -> io::Result<()> {
        let opened_by = Arc::new(Client {
            address: client.peer_addr()?,
            connected_to: client.local_addr()?,
            process: OnceLock::new(),
        });
        if matches!(self.link_for(&opened_by), Link::Resets | Link::ResetsNew) {
            return reset_on_close(&client);
        }
        let server = TcpStream::connect(server)?;
        let has_lost_bytes = Arc::new(Mutex::new(false));
        let directions =
            [(&client, &server, Direction::ToServer), (&server, &client, Direction::ToClient)];
        for (from, to, direction) in directions {
            from.set_nodelay(true)?;
            from.set_read_timeout(Some(POLL_INTERVAL))?;
            let (from, to) = (from.try_clone()?, to.try_clone()?);
            let (proxy, has_lost_bytes) = (self.clone(), Arc::clone(&has_lost_bytes));
            let opened_by = Arc::clone(&opened_by);
            std::thread::spawn(move || {
                // An error on one side ends the connection on both.
                let _ = proxy.forward(&from, &to, direction, &opened_by, &has_lost_bytes);
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
            });
        }
        Ok(())
    }

    fn forward(
        &self,
        mut from: &TcpStream,
        mut to: &TcpStream,
        direction: Direction,
        client: &Client,
        has_lost_bytes: &Mutex<bool>,
    ) -> io::Result<()> {
        let mut buffer = vec![0; BUFFER_LEN];
        loop {
            let read = from.read(&mut buffer);
            let link = self.link_for(client);
            if link == Link::Resets {
                reset_on_close(from)?;
                return reset_on_close(to);
            }
            let len = match read {
                Ok(0) => return Ok(()),
                Ok(len) => len,
                Err(error) if is_timeout(&error) => continue,
                Err(error) => return Err(error),
            };
            let mut lost_bytes =
                has_lost_bytes.lock().expect("no thread panics while it holds this");
            *lost_bytes |= link == Link::Blackhole
                || link == Link::DropsResponses && direction == Direction::ToClient;
            if *lost_bytes {
                continue;
            }
            drop(lost_bytes);
            if let Link::Delays(delay) = link {
                std::thread::sleep(delay);
            }
            to.write_all(&buffer[..len])?;
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Makes closing the connection reset it, by a linger time of zero.
fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
    socket::setsockopt(stream.as_raw_fd(), socket::sockopt::Linger, &linger)?;
    Ok(())
}
