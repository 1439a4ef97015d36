//! Callers that reuse a connection until it closes, and a record of each call's outcome.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::{self, Response};

/// The interval between two calls of one caller, in milliseconds.
const CALL_INTERVAL_MS: std::ops::Range<u64> = 5..40;

/// How long a caller waits for a response beyond the call's deadline.
const RESPONSE_TIMEOUT_SLACK: Duration = Duration::from_millis(2_500);

/// How long a caller waits for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// One call and its outcome.
#[derive(Debug, Clone)]
pub struct Record {
    /// The request id that the caller sent.
    pub id: String,
    /// The HTTP method.
    pub method: &'static str,
    /// The request path.
    pub path: String,
    /// The index of the host that the call was sent to.
    pub host: usize,
    /// The deadline sent with the call, as a duration.
    pub deadline: Duration,
    /// When the call was sent.
    pub sent: Instant,
    /// When the call ended.
    pub ended: Instant,
    /// How the call ended.
    pub end: End,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A response arrived.
    Answered(Response),
    /// The connection closed before a response arrived.
    Cut,
    /// No response arrived before the caller's timeout.
    TimedOut,
}

impl Record {
    /// Returns the status of the response, or 0 if there was none.
    pub fn status(&self) -> u16 {
        match &self.end {
            End::Answered(response) => response.status,
            End::Cut | End::TimedOut => 0,
        }
    }

    /// Returns whether the call may be executed more than once.
    pub fn is_safe(&self) -> bool {
        self.method == "GET"
    }
}

/// The address at which each host accepts calls, by index; `None` while the host is not running.
pub type Hosts = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// Callers, each on its own thread.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<Record>>>,
}

impl Callers {
    /// Starts `count` callers.
    pub fn start(count: usize, seed: u64, hosts: &Hosts) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number: usize| {
            let (stop, hosts) = (Arc::clone(&stop), Arc::clone(hosts));
            let random = fastrand::Rng::with_seed(seed.wrapping_mul(1_000) + number as u64);
            std::thread::spawn(move || call_until_stopped(&stop, &hosts, random, number))
        };
        let threads = (0..count).map(start).collect();
        Callers { stop, threads }
    }

    /// Starts a caller that opens a connection for each call. A connection that cannot be opened
    /// counts as a call that was cut.
    pub fn start_reconnecting(hosts: &Hosts, seed: u64, interval: Duration) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let (is_stopped, hosts) = (Arc::clone(&stop), Arc::clone(hosts));
        let mut random = fastrand::Rng::with_seed(seed);
        let thread = std::thread::spawn(move || {
            let mut records = Vec::new();
            while !is_stopped.load(Ordering::Relaxed) {
                let id = format!("new-{}", records.len());
                records.push(call_once(&hosts, id, &mut random));
                std::thread::sleep(interval);
            }
            records
        });
        Callers { stop, threads: vec![thread] }
    }

    /// Stops the callers and returns the records of all calls.
    ///
    /// # Panics
    ///
    /// Panics if a caller thread panicked.
    pub fn finish(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        let records = self
            .threads
            .into_iter()
            .map(|thread| thread.join().expect("a caller thread does not panic"));
        records.flatten().collect()
    }
}

fn call_until_stopped(
    stop: &AtomicBool,
    hosts: &Hosts,
    mut random: fastrand::Rng,
    caller: usize,
) -> Vec<Record> {
    let mut records = Vec::new();
    let mut conn: Option<(usize, TcpStream)> = None;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(random.u64(CALL_INTERVAL_MS)));
        let Some((host, mut stream)) = conn.take().or_else(|| connect(hosts, &mut random)) else {
            continue;
        };
        let id = format!("{caller}-{}", records.len());
        let record = call(&mut stream, host, id, &mut random);
        let closes = match &record.end {
            End::Answered(response) => {
                response.head.contains("connection: close") || !response.is_complete
            }
            End::Cut | End::TimedOut => true,
        };
        records.push(record);
        if !closes {
            conn = Some((host, stream));
        }
    }
    records
}

/// Makes one call on a connection of its own.
fn call_once(hosts: &Hosts, id: String, random: &mut fastrand::Rng) -> Record {
    let sent = Instant::now();
    let Some((host, mut stream)) = connect(hosts, random) else {
        return Record {
            id,
            method: "GET",
            path: String::new(),
            host: 0,
            deadline: CONNECT_TIMEOUT,
            sent,
            ended: Instant::now(),
            end: End::Cut,
        };
    };
    Record { sent, ..call(&mut stream, host, id, random) }
}

fn connect(hosts: &Hosts, random: &mut fastrand::Rng) -> Option<(usize, TcpStream)> {
    let (number, address) = {
        let hosts = hosts.lock().expect("no thread panics while it holds the list");
        let number = random.usize(0..hosts.len());
        (number, hosts[number]?)
    };
    // After a failed connection the next call picks a host again.
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    Some((number, stream))
}

/// Makes one call with a random method and deadline.
pub fn call(stream: &mut TcpStream, host: usize, id: String, random: &mut fastrand::Rng) -> Record {
    let (method, kind) = if random.bool() { ("GET", "safe") } else { ("POST", "unsafe") };
    let path = format!("/{kind}/{id}");
    let deadline = Duration::from_millis(random.u64(300..2_500));
    let sent = Instant::now();
    let end = exchange(stream, method, &path, &id, deadline);
    Record { id, method, path, host, deadline, sent, ended: Instant::now(), end }
}

fn exchange(stream: &mut TcpStream, method: &str, path: &str, id: &str, deadline: Duration) -> End {
    let result = stream
        .set_read_timeout(Some(deadline + RESPONSE_TIMEOUT_SLACK))
        .and_then(|()| gateway::send(stream, method, path, id, deadline.as_millis() as u64))
        .and_then(|()| gateway::receive(stream));
    match result {
        Ok(response) => End::Answered(response),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => End::TimedOut,
        Err(_) => End::Cut,
    }
}
