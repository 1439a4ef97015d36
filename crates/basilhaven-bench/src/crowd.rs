//! Crowds: clients that take connections, memory and time of a host without making ordinary calls.
//!
//! Load tools make calls; clients that nobody controls also stop within them. Each client of a crowd
//! has one connection at a time, and opens another one when the host has closed it.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use basilhaven::http1;
use bpaf::Bpaf;
use bytes::Bytes;
use serde::Serialize;

use crate::process;
use crate::soak::caller;
use crate::standin::block_on;

/// Limits on the size of a crowd and the time for which it is played.
pub const MAX_CONNECTIONS: usize = 4_000;
const MAX_SECONDS: u64 = 900;

/// Descriptors of a process beside the connections of its crowd.
const OTHER_FDS: u64 = 500;

/// How long a client waits for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a client waits between two connections, and one that does nothing but connect.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// The length of the bodies that are announced and not completed, in bytes.
const BODY_LEN: usize = 64 * 1024;

/// Pauses between two bytes of a slow body, and between two fields of a head without end.
const BYTE_INTERVAL: Duration = Duration::from_secs(1);
const FIELD_INTERVAL: Duration = Duration::from_millis(50);

/// Chunks and requests that are sent at once.
const CHUNKS_PER_WRITE: usize = 1_000;
const REQUESTS_PER_WRITE: usize = 200;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What the clients of a crowd do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// They send a body but for its last byte, and wait.
    ShortBody,
    /// They send one byte of a body a second.
    SlowBody,
    /// They send a body without end, in chunks of one byte, as fast as the host reads.
    TinyChunks,
    /// They send requests without end that need no upstream, and read nothing.
    Pipeline,
    /// They connect and close.
    Reconnect,
    /// They send the fields of a head without end.
    EndlessHead,
    /// Each does what one of the other profiles says, all in equal parts.
    Mixed,
}

impl Profile {
    /// All profiles; the last one is made of the others.
    pub const ALL: [Profile; 7] = [
        Profile::ShortBody,
        Profile::SlowBody,
        Profile::TinyChunks,
        Profile::Pipeline,
        Profile::Reconnect,
        Profile::EndlessHead,
        Profile::Mixed,
    ];

    /// Returns the name of the profile on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Profile::ShortBody => "short-body",
            Profile::SlowBody => "slow-body",
            Profile::TinyChunks => "tiny-chunks",
            Profile::Pipeline => "pipeline",
            Profile::Reconnect => "reconnect",
            Profile::EndlessHead => "endless-head",
            Profile::Mixed => "mixed",
        }
    }

    /// Returns what one client does.
    fn of_client(self, client: usize) -> Profile {
        match self {
            Profile::Mixed => Profile::ALL[client % (Profile::ALL.len() - 1)],
            profile => profile,
        }
    }
}

impl std::str::FromStr for Profile {
    type Err = String;

    fn from_str(raw: &str) -> Result<Profile, String> {
        let profile = Profile::ALL.into_iter().find(|profile| profile.name() == raw);
        profile.ok_or_else(|| {
            let names = Profile::ALL.map(Profile::name).join(", ");
            format!("profile {raw:?} does not exist; the profiles are {names}")
        })
    }
}

/// Command-line options of a crowd.
#[derive(Debug, Clone, Copy, Bpaf)]
pub struct Options {
    /// The address at which a host accepts calls
    #[bpaf(long, argument("ADDR"))]
    pub address: SocketAddr,
    /// What the clients do: short-body, slow-body, tiny-chunks, pipeline, reconnect, endless-head or
    /// mixed
    #[bpaf(long, argument("NAME"), fallback(Profile::Mixed))]
    pub profile: Profile,
    /// Number of clients, 4,000 at most
    #[bpaf(
        long,
        argument("N"),
        fallback(500),
        guard(is_connections, "a crowd has 1 to 4,000 connections")
    )]
    pub connections: usize,
    /// How long they go on, in seconds, 900 at most
    #[bpaf(
        long,
        argument("S"),
        fallback(10),
        guard(is_seconds, "a crowd goes on for 1 to 900 seconds")
    )]
    pub seconds: u64,
}

fn is_connections(connections: &usize) -> bool {
    (1..=MAX_CONNECTIONS).contains(connections)
}

fn is_seconds(seconds: &u64) -> bool {
    (1..=MAX_SECONDS).contains(seconds)
}

/// What a crowd has met.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// The connections that were opened.
    pub opened: usize,
    /// The connections that ended before the crowd did.
    pub ended: usize,
    /// The connections that could not be opened.
    pub failed: usize,
}

/// A crowd, played on a thread of its own until it is finished.
#[derive(Debug)]
pub struct Crowd {
    is_finished: Arc<AtomicBool>,
    player: JoinHandle<Summary>,
}

impl Crowd {
    /// Starts a crowd with so many clients, each of which stays with one of the hosts.
    ///
    /// # Panics
    ///
    /// Panics if there are more than [`MAX_CONNECTIONS`], or if the limit on descriptors cannot be
    /// read or raised.
    pub fn start(hosts: &caller::Hosts, profile: Profile, connections: usize) -> Crowd {
        assert!(connections <= MAX_CONNECTIONS, "{connections} connections are too many");
        process::allow_descriptors(connections as u64 + OTHER_FDS);
        let is_finished = Arc::new(AtomicBool::new(false));
        let (is_player_finished, hosts) = (Arc::clone(&is_finished), Arc::clone(hosts));
        let player = std::thread::spawn(move || {
            block_on(async {
                let summary = Rc::new(Cell::new(Summary::default()));
                for number in 0..connections {
                    let client = Client { number, profile: profile.of_client(number) };
                    monoio::spawn(client.run(Arc::clone(&hosts), Rc::clone(&summary)));
                }
                while !is_player_finished.load(Ordering::Relaxed) {
                    monoio::time::sleep(POLL_INTERVAL).await;
                }
                // The clients end, and close their connections, together with the event queue.
                summary.get()
            })
        });
        Crowd { is_finished, player }
    }

    /// Ends the crowd, and returns what it has met.
    ///
    /// # Panics
    ///
    /// Panics if its thread has panicked.
    pub fn finish(self) -> Summary {
        self.is_finished.store(true, Ordering::Relaxed);
        self.player.join().expect("a crowd does not panic")
    }
}

/// Plays a crowd for as long as the options say.
pub fn run(options: Options) -> Summary {
    let hosts = Arc::new(Mutex::new(vec![Some(options.address)]));
    let crowd = Crowd::start(&hosts, options.profile, options.connections);
    std::thread::sleep(Duration::from_secs(options.seconds));
    crowd.finish()
}

#[derive(Debug, Clone, Copy)]
struct Client {
    number: usize,
    profile: Profile,
}

impl Client {
    async fn run(self, hosts: caller::Hosts, summary: Rc<Cell<Summary>>) {
        let count = |change: fn(&mut Summary)| {
            let mut counted = summary.get();
            change(&mut counted);
            summary.set(counted);
        };
        for attempt in 0.. {
            match self.connect(&hosts).await {
                Some(conn) => {
                    count(|summary| summary.opened += 1);
                    // Whether the host closes the connection or resets it makes no difference.
                    let _ = self.hold(conn, attempt).await;
                    count(|summary| summary.ended += 1);
                }
                None => count(|summary| summary.failed += 1),
            }
            let is_fast = self.profile == Profile::Reconnect;
            monoio::time::sleep(if is_fast { RECONNECT_INTERVAL } else { RETRY_INTERVAL }).await;
        }
    }

    /// Connects to its host; returns `None` if that is not running, or not in time.
    async fn connect(self, hosts: &caller::Hosts) -> Option<http1::Conn> {
        let address = {
            let hosts = hosts.lock().expect("no thread panics while it holds the list");
            hosts[self.number % hosts.len()]?
        };
        http1::Conn::open(address, CONNECT_TIMEOUT).await.ok()
    }

    /// Holds a connection until the host answers or closes it.
    async fn hold(self, mut conn: http1::Conn, attempt: usize) -> io::Result<()> {
        match self.profile {
            Profile::ShortBody => {
                let mut message =
                    self.head(attempt, &format!("content-length: {BODY_LEN}\r\n\r\n"));
                message.resize(message.len() + BODY_LEN - 1, b'x');
                conn.write_unless_answered(Bytes::from(message)).await?;
                conn.readable().await
            }
            Profile::SlowBody => {
                let head = self.head(attempt, &format!("content-length: {BODY_LEN}\r\n\r\n"));
                send_without_end(&mut conn, head, b"x", BYTE_INTERVAL).await
            }
            Profile::TinyChunks => {
                let head = self.head(attempt, "transfer-encoding: chunked\r\n\r\n");
                let chunks = b"1\r\nx\r\n".repeat(CHUNKS_PER_WRITE);
                send_without_end(&mut conn, head, &chunks, Duration::ZERO).await
            }
            Profile::Pipeline => {
                let request = b"GET /no-route HTTP/1.1\r\nhost: shop.example\r\n\r\n";
                let requests = Bytes::from(request.repeat(REQUESTS_PER_WRITE));
                loop {
                    conn.write(requests.clone()).await?;
                }
            }
            Profile::EndlessHead => {
                let head = self.head(attempt, "");
                send_without_end(&mut conn, head, b"x: y\r\n", FIELD_INTERVAL).await
            }
            // No client is `Mixed` itself.
            Profile::Reconnect | Profile::Mixed => Ok(()),
        }
    }

    /// Returns the head of a request up to these last fields.
    fn head(self, attempt: usize, last: &str) -> Vec<u8> {
        let id = format!("crowd-{}-{attempt}", self.number);
        format!(
            "POST /unsafe/{id} HTTP/1.1\r\nhost: shop.example\r\nx-basilhaven-request-id: {id}\r\n\
             x-basilhaven-deadline-ms: 60000\r\n{last}"
        )
        .into_bytes()
    }
}

/// Sends a head, and then the same bytes again and again, until the host answers or closes the
/// connection.
async fn send_without_end(
    conn: &mut http1::Conn,
    head: Vec<u8>,
    repeated: &[u8],
    interval: Duration,
) -> io::Result<()> {
    let mut bytes = Bytes::from(head);
    while conn.write_unless_answered(bytes).await? {
        monoio::time::sleep(interval).await;
        bytes = Bytes::copy_from_slice(repeated);
    }
    Ok(())
}
