//! Crowds of clients send large bodies of legal size at once, most of which stop just short of their
//! end and stay open. The platform ends a process that exceeds its memory, and starts it again.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// `MemoryMb` of the site, taken as MiB, which is the larger reading.
const MEMORY: u64 = 260 * 1024 * 1024;

/// Clients of a crowd; the daemon itself lets in 2,925 under `MaxFds` 4,100.
const CLIENTS: usize = 2800;
/// Length of their bodies; `MaxBodyBytes` is 64 MiB.
const BODY_LEN: usize = 128 * 1024;
/// One client in so many sends its whole body.
const WHOLE: usize = 8;

/// What all clients send together, at most: nine tenths of the machine's link of 1,000 Mbit/s.
const BYTES_PER_SECOND: f64 = 0.9 * 1e9 / 8.0;
const PIECE: usize = 16 * 1024;

const WAVES: usize = 3;
const WAVE: Duration = Duration::from_secs(6);

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Bounds what the test itself holds for a client's connection.
fn limit_send_buffer(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_SNDBUF: i32 = 7;
    // Without the bound the test takes more memory, and nothing else changes.
    let _ = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_SNDBUF, &(64 << 10), 4) };
}

fn resident(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

/// Returns the bytes that were received on the connections of this address and that the process has
/// not read.
fn unread(own: SocketAddr) -> u64 {
    let end = format!(":{:04X}", own.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let bytes = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_accepted = fields.get(1)?.ends_with(&end) && *fields.get(3)? != "0A";
        let (_, bytes) = fields.get(4)?.split_once(':')?;
        u64::from_str_radix(bytes, 16).ok().filter(|_| is_accepted)
    });
    bytes.sum()
}

pub fn run(record: &Record) -> bool {
    let store = Store::start();
    store.put("op", "config", &config(7, 1.0));
    let _upstreams = start_upstreams(&store, 8, Duration::from_millis(50));
    let ips = ["127.0.0.1", "127.0.0.2"];
    let peer = free_port(&ips);
    let start = |ip: &str, first: &str| {
        let own = format!("{ip}:{peer}");
        let seeds = ips.map(|ip| format!("{ip}:{peer}")).join(",");
        let changed = [
            ("BASILHAVEN_PEER", &*own),
            ("BASILHAVEN_SEEDS", &*seeds),
            ("BASILHAVEN_FIRST_START", first),
        ];
        Daemon::start(ip, &store, "", &changed)
    };
    let mut daemons: Vec<Daemon> = ips.iter().map(|ip| start(ip, "true")).collect();
    daemons.iter().for_each(Daemon::wait_until_ready);
    record.line("two machines are ready");
    let mut ends = [0; 2];
    for wave in 1..=WAVES {
        for machine in 0..2 {
            let daemon = &mut daemons[machine];
            let (peak, is_over) = play(daemon, with_trouble());
            let (resident, unread) = peak;
            record.line(&format!(
                "wave {wave}, machine {machine}: at most {} bytes, of these {resident} resident and \
                 {unread} received and unread; the limit is {MEMORY}",
                resident + unread
            ));
            if is_over {
                ends[machine] += 1;
                let _ = daemon.child.kill();
                let _ = daemon.child.wait();
                record.line(&format!("machine {machine}: the process has exceeded its memory, ends"));
                thread::sleep(Duration::from_millis(1000));
                *daemon = start(ips[machine], "false");
                daemon.wait_until_ready();
                record.line(&format!("machine {machine}: the process was started again"));
            } else {
                let answer = call(daemon.callers, "GET", "/safe/a", &format!("o-{wave}"), 800);
                let status = answer.map(|answer| answer.status());
                record.line(&format!("machine {machine}: an ordinary request gets {status:?}"));
            }
        }
    }
    record.line(&format!("processes ended for their memory, by machine: {ends:?}"));
    ends.iter().all(|ends| *ends >= 3)
}

/// Plays one crowd, or the same clients with one small request each. Returns the most memory that
/// the process has used, as resident and unread bytes, and whether that exceeds the limit.
fn play(daemon: &Daemon, is_crowd: bool) -> ((u64, u64), bool) {
    let process = daemon.child.id();
    let callers = daemon.callers;
    let start = Arc::new(Barrier::new(CLIENTS + 1));
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (start, over) = (Arc::clone(&start), Arc::clone(&over));
            let work = move || {
                let stream = TcpStream::connect(callers);
                start.wait();
                let Ok(mut stream) = stream else { return };
                limit_send_buffer(&stream);
                let _ = stream.set_write_timeout(Some(WAVE));
                let len = if is_crowd { BODY_LEN } else { 300 };
                let field = format!("Content-Length: {len}\r\n");
                let id = format!("c-{client}");
                let mut message =
                    request_head("POST", "/unsafe/a", &id, 1000, &field).into_bytes();
                let is_whole = !is_crowd || client % WHOLE == 0;
                message.resize(message.len() + len - usize::from(!is_whole), b'x');
                let pause = Duration::from_secs_f64((CLIENTS * PIECE) as f64 / BYTES_PER_SECOND);
                let begin = Instant::now() + pause.mul_f64(client as f64 / CLIENTS as f64);
                for (number, piece) in message.chunks(PIECE).enumerate() {
                    let at = begin + pause * number as u32;
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    // The machine may refuse the request and close the connection.
                    if over.load(Ordering::Relaxed) || stream.write_all(piece).is_err() {
                        break;
                    }
                }
                // Stays open.
                let until = Instant::now() + WAVE;
                while Instant::now() < until && !over.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(50));
                }
            };
            thread::Builder::new().stack_size(128 << 10).spawn(work).unwrap_or_else(|error| {
                fail(&format!("no thread: {error}"));
            })
        })
        .collect();
    start.wait();
    let until = Instant::now() + WAVE;
    let mut peak = (0, 0);
    let mut is_over = false;
    while Instant::now() < until && !is_over {
        let now = (resident(process), unread(callers));
        if now.0 + now.1 > peak.0 + peak.1 {
            peak = now;
        }
        is_over = now.0 + now.1 > MEMORY;
        thread::sleep(Duration::from_millis(5));
    }
    over.store(true, Ordering::Relaxed);
    if is_over {
        // The platform ends the process; the clients' writes fail then.
        let _ = std::process::Command::new("kill").args(["-9", &process.to_string()]).status();
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    (peak, is_over)
}
