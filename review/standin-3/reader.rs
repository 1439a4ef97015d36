//! Clients read their answers slowly, on connections that they keep. Then a crowd of other clients
//! connects, whose bodies stop short of their end.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::full;

/// Clients that read slowly, and how: so many bytes every 50 ms.
const READERS: usize = 16;
const BYTES_PER_READ: usize = 1024;
const PAUSE: Duration = Duration::from_millis(50);
/// The longest answer of the site's `status-reads`.
const ANSWER_LEN: usize = 30_000;
/// How long a client waits for its whole answer.
const DEADLINE_MS: u64 = 2000;

/// Chunks of a body of the crowd: its 3,000 requests take 0.6 s of the machine's link of 10 Mbit/s.
const CHUNKS: usize = 4;

const DAY: Duration = Duration::from_secs(16);
const CROWD_AT: Duration = Duration::from_secs(6);

/// The receive buffer of a client's system; "links have [...] small windows".
const RECEIVE_BUFFER: i32 = 4096;

/// An IPv4 address as the system takes it.
#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, address: *const Address, len: u32) -> i32;
}

/// Opens a connection whose receive buffer is small from the beginning, which the standard library
/// can't do.
fn open(to: SocketAddr) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(to) = to else { return Err(io::Error::other("not IPv4")) };
    let address = Address {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        ip: to.ip().octets(),
        zero: [0; 8],
    };
    // The descriptor belongs to the stream as soon as it is known to be valid.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let set = setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4);
        if set < 0 || connect(fd, &address, std::mem::size_of::<Address>() as u32) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// How the answer to a request ended, when it was sent and how long that took.
type End = (usize, Duration, Duration, Result<usize, String>);

pub fn run(record: &Record) -> bool {
    let store = Store::start();
    store.put("op", "config", &config(7, 1.2));
    let serve = |own: &Upstream, request: &Message, conn: &mut Conn| -> io::Result<bool> {
        let id = own.run(request);
        thread::sleep(Duration::from_millis(50));
        let len = if request.path() == "/safe/large" { ANSWER_LEN } else { 100 };
        own.answer(conn, &id, 200, &vec![b'a'; len])?;
        Ok(true)
    };
    let servers = start_with(&store, 16, Arc::new(serve));
    // The smallest machine of the site mpew-ladowanie-grown.
    let daemon = Daemon::start(
        "127.0.0.1",
        &store,
        "",
        &[
            ("BASILHAVEN_CORES", "0.1"),
            ("BASILHAVEN_MEMORY_MB", "160"),
            ("BASILHAVEN_LINK_MBPS", "10"),
            ("BASILHAVEN_RETRY_SLACK", "160"),
            ("BASILHAVEN_PROBE_RATE", "42"),
            ("BASILHAVEN_ORDERS_WITHIN_S", "2.5"),
        ],
    );
    daemon.wait_until_ready();
    record.line("the machine is ready");
    let (callers, started) = (daemon.callers, Instant::now());
    let ends: Arc<Mutex<Vec<End>>> = Arc::default();
    let readers: Vec<_> = (0..READERS)
        .map(|reader| {
            let ends = Arc::clone(&ends);
            thread::spawn(move || read_slowly(callers, reader, started, &ends))
        })
        .collect();
    thread::sleep(CROWD_AT);
    let crowd = with_trouble().then(|| thread::spawn(move || full::crowd(callers, CHUNKS)));
    readers.into_iter().for_each(|reader| drop(reader.join()));
    crowd.into_iter().for_each(|crowd| drop(crowd.join()));
    let ends = ends.lock().unwrap();
    let mut broken = 0;
    for (reader, at, took, end) in ends.iter() {
        let Err(error) = end else { continue };
        let is_in_time = took.as_millis() < u128::from(DEADLINE_MS);
        broken += usize::from(is_in_time);
        record.line(&format!(
            "client {reader}: request sent at {at:.3?}, ended after {took:.3?}: {error}"
        ));
    }
    let runs: usize = servers.iter().map(|server| server.runs.lock().unwrap().len()).sum();
    let whole = ends.iter().filter(|(.., end)| end.is_ok()).count();
    let slowest = ends.iter().filter(|(.., end)| end.is_ok()).map(|end| end.2).max();
    record.line(&format!(
        "{} requests on kept connections, {whole} whole answers, the slowest after {slowest:.3?}; the \
         servers ran {runs} requests and sent whole answers to all; connections closed before the \
         deadline without a whole answer: {broken}",
        ends.len()
    ));
    broken > 3
}

/// Makes a request on a new connection, keeps it, and makes another one whose answer it reads slowly.
fn read_slowly(callers: SocketAddr, reader: usize, started: Instant, ends: &Mutex<Vec<End>>) {
    for number in 0.. {
        if started.elapsed() > DAY - Duration::from_secs(3) {
            return;
        }
        let Ok(mut conn) = open(callers).map(Conn::new) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
        let head = |path: &str, part: &str| {
            request_head("GET", path, &format!("r-{reader}-{number}-{part}"), DEADLINE_MS, "")
        };
        let first = conn.stream.write_all(head("/safe/small", "first").as_bytes());
        if !matches!(first.and_then(|()| conn.read()), Ok(Some(answer)) if answer.status() == 200) {
            thread::sleep(Duration::from_millis(200));
            continue;
        }
        let (at, sent) = (started.elapsed(), Instant::now());
        let end = match conn.stream.write_all(head("/safe/large", "second").as_bytes()) {
            Ok(()) => receive(&mut conn.stream, sent),
            Err(error) => Err(error.to_string()),
        };
        ends.lock().unwrap().push((reader, at, sent.elapsed(), end));
    }
}

/// Reads an answer slowly; returns its length if it was whole.
fn receive(stream: &mut TcpStream, sent: Instant) -> Result<usize, String> {
    let mut answer: Vec<u8> = Vec::new();
    let mut piece = [0; BYTES_PER_READ];
    loop {
        match stream.read(&mut piece) {
            Ok(0) => return Err(format!("closed after {} bytes", answer.len())),
            Ok(len) => answer.extend_from_slice(&piece[..len]),
            Err(error) => return Err(format!("{error} after {} bytes", answer.len())),
        }
        let end = answer.windows(4).position(|part| part == b"\r\n\r\n");
        if end.is_some_and(|end| answer.len() >= end + 4 + ANSWER_LEN) {
            return Ok(answer.len());
        }
        if sent.elapsed() > Duration::from_millis(DEADLINE_MS) {
            return Err(format!("given up after {} bytes", answer.len()));
        }
        thread::sleep(PAUSE);
    }
}
