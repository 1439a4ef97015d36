//! Callers that keep using a connection until it ends, and what each call got.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::{self, Response};

/// The pause between two calls of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..40;

/// How long a caller waits for an answer beyond its deadline.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// How long a caller waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What became of one call.
#[derive(Debug, Clone)]
pub struct Record {
    /// The id of the attempt.
    pub id: String,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The host that got it, by number.
    pub host: usize,
    /// How long the caller waits.
    pub deadline: Duration,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub end: End,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// It was answered.
    Answered(Response),
    /// The connection ended first.
    Cut,
    /// The caller gave up waiting.
    TimedOut,
}

impl Record {
    /// The status of its answer, 0 without one.
    pub fn status(&self) -> u16 {
        match &self.end {
            End::Answered(answer) => answer.status,
            End::Cut | End::TimedOut => 0,
        }
    }

    /// Whether it may run more than once.
    pub fn is_safe(&self) -> bool {
        self.method == "GET"
    }
}

/// Where the hosts take calls now, by number; `None` while one is not running.
pub type Hosts = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// Callers on threads of their own.
#[derive(Debug)]
pub struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Vec<Record>>>,
}

impl Callers {
    /// Starts callers.
    pub fn start(count: usize, seed: u64, hosts: &Hosts) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number: usize| {
            let (stop, hosts) = (Arc::clone(&stop), Arc::clone(hosts));
            let random = fastrand::Rng::with_seed(seed.wrapping_mul(1_000) + number as u64);
            std::thread::spawn(move || call_until(&stop, &hosts, random, number))
        };
        let threads = (0..count).map(start).collect();
        Callers { stop, threads }
    }

    /// Ends the callers; what became of all calls.
    ///
    /// # Panics
    ///
    /// A caller panicked.
    pub fn finish(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        let records = self.threads.into_iter().map(|thread| thread.join().expect("a caller"));
        records.flatten().collect()
    }
}

fn call_until(
    stop: &AtomicBool,
    hosts: &Hosts,
    mut random: fastrand::Rng,
    caller: usize,
) -> Vec<Record> {
    let mut records = Vec::new();
    let mut conn: Option<(usize, TcpStream)> = None;
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(random.u64(PAUSE_MS)));
        let Some((host, mut stream)) = conn.take().or_else(|| connect(hosts, &mut random)) else {
            continue;
        };
        let id = format!("{caller}-{}", records.len());
        let record = call(&mut stream, host, id, &mut random);
        let closes = match &record.end {
            End::Answered(answer) => {
                answer.head.contains("connection: close") || !answer.is_complete
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

fn connect(hosts: &Hosts, random: &mut fastrand::Rng) -> Option<(usize, TcpStream)> {
    let (number, address) = {
        let hosts = hosts.lock().expect("no thread panics while it holds the list");
        let number = random.usize(0..hosts.len());
        (number, hosts[number]?)
    };
    // A host that does not answer is left for another one.
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    Some((number, stream))
}

/// Makes one call.
pub fn call(stream: &mut TcpStream, host: usize, id: String, random: &mut fastrand::Rng) -> Record {
    let (method, kind) = if random.bool() { ("GET", "safe") } else { ("POST", "unsafe") };
    let path = format!("/{kind}/{id}");
    let deadline = Duration::from_millis(random.u64(300..2_500));
    let sent = Instant::now();
    let end = exchange(stream, method, &path, &id, deadline);
    Record { id, method, path, host, deadline, sent, ended: Instant::now(), end }
}

fn exchange(stream: &mut TcpStream, method: &str, path: &str, id: &str, deadline: Duration) -> End {
    let answer = stream
        .set_read_timeout(Some(deadline + PATIENCE))
        .and_then(|()| gateway::send(stream, method, path, id, deadline.as_millis() as u64))
        .and_then(|()| gateway::receive(stream));
    match answer {
        Ok(answer) => End::Answered(answer),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => End::TimedOut,
        Err(_) => End::Cut,
    }
}
