//! A proxy of TCP connections on loopback that delays, silences, cuts and resets them.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use nix::sys::socket;
use std::os::fd::AsRawFd as _;

/// How often an idle direction looks whether its connection has been reset.
const STEP: Duration = Duration::from_millis(10);

/// Bytes that are passed on at once.
const PIECE_LEN: usize = 16 * 1024;

/// What a proxy does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// It passes them on.
    Open,
    /// It passes them on late.
    Delays(Duration),
    /// It drops what either side sends. Connections that lost bytes stay silent for good.
    Silent,
    /// It drops what the server sends, likewise.
    DropsResponses,
    /// It resets all connections, and new ones at once.
    Resets,
}

/// The two directions of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// The proxy; its threads end with the process.
#[derive(Debug, Clone)]
pub struct Proxy {
    address: SocketAddr,
    link: Arc<Mutex<Link>>,
}

impl Proxy {
    /// Starts a proxy of the server at this address.
    ///
    /// # Panics
    ///
    /// No port is free.
    pub fn start(server: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let proxy = Proxy { address, link: Arc::new(Mutex::new(Link::Open)) };
        let served = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // A connection that fails has ended; its client opens another one.
                let _ = served.connect(client, server);
            }
        });
        proxy
    }

    /// Where it takes connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does from now on.
    pub fn set_link(&self, link: Link) {
        *self.lock() = link;
    }

    fn lock(&self) -> MutexGuard<'_, Link> {
        self.link.lock().expect("no thread panics while it holds the link")
    }

    fn connect(&self, client: TcpStream, server: SocketAddr) -> io::Result<()> {
        if *self.lock() == Link::Resets {
            return reset(&client);
        }
        let server = TcpStream::connect(server)?;
        let is_silent = Arc::new(Mutex::new(false));
        let ways =
            [(&client, &server, Direction::ToServer), (&server, &client, Direction::ToClient)];
        for (from, to, direction) in ways {
            from.set_nodelay(true)?;
            from.set_read_timeout(Some(STEP))?;
            let (from, to) = (from.try_clone()?, to.try_clone()?);
            let (proxy, is_silent) = (self.clone(), Arc::clone(&is_silent));
            std::thread::spawn(move || {
                // An error on one side ends the connection on both.
                let _ = proxy.pass(&from, &to, direction, &is_silent);
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
            });
        }
        Ok(())
    }

    fn pass(
        &self,
        mut from: &TcpStream,
        mut to: &TcpStream,
        direction: Direction,
        is_silent: &Mutex<bool>,
    ) -> io::Result<()> {
        let mut piece = vec![0; PIECE_LEN];
        loop {
            let read = from.read(&mut piece);
            let link = *self.lock();
            if link == Link::Resets {
                reset(from)?;
                return reset(to);
            }
            let len = match read {
                Ok(0) => return Ok(()),
                Ok(len) => len,
                Err(error) if is_timeout(&error) => continue,
                Err(error) => return Err(error),
            };
            let mut silent = is_silent.lock().expect("no thread panics while it holds this");
            *silent |= link == Link::Silent
                || link == Link::DropsResponses && direction == Direction::ToClient;
            if *silent {
                continue;
            }
            drop(silent);
            if let Link::Delays(time) = link {
                std::thread::sleep(time);
            }
            to.write_all(&piece[..len])?;
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Has a connection reset once it is closed.
fn reset(stream: &TcpStream) -> io::Result<()> {
    let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
    socket::setsockopt(stream.as_raw_fd(), socket::sockopt::Linger, &linger)?;
    Ok(())
}
