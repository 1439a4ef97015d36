//! A crowd of clients sends chunked bodies at once, all of which stop just short of their end and stay
//! open. Other clients open connections as before.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// `ContactS` of the site.
const CONTACT: Duration = Duration::from_secs(3);

/// Clients of the crowd; the daemon accepts 2,925 connections under `MaxFds` 4,100.
const CROWD: usize = 3000;
const CHUNKS: usize = 1024;
const CHUNK: &str = "10\r\nxxxxxxxxxxxxxxxx\r\n";

/// Ordinary clients, each of which opens a connection every quarter of a second.
const CLIENTS: usize = 8;
const DAY: Duration = Duration::from_secs(20);
const CROWD_AT: Duration = Duration::from_secs(5);

/// An attempt of an ordinary client: who, when, until when, and the status, if there was an answer.
type Attempt = (usize, Duration, Duration, Option<u16>);

pub fn run(record: &Record) -> bool {
    let store = Store::start();
    store.put("op", "config", &config(7, 1.0));
    let _upstreams = start_upstreams(&store, 8, Duration::from_millis(50));
    let daemon = Daemon::start("127.0.0.1", &store, "", &[]);
    daemon.wait_until_ready();
    record.line("the machine is ready");
    let (callers, started) = (daemon.callers, Instant::now());
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let attempts = Arc::clone(&attempts);
            thread::spawn(move || ordinary(callers, client, started, &attempts))
        })
        .collect();
    thread::sleep(CROWD_AT);
    let crowd = thread::spawn(move || crowd(callers, CHUNKS));
    // The platform's own check, once a second.
    let mut unready = Vec::new();
    while started.elapsed() < DAY {
        let at = started.elapsed();
        if !daemon.is_ready() {
            unready.push(at);
        }
        thread::sleep(Duration::from_secs(1));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let _ = crowd.join();
    let mut attempts = attempts.lock().unwrap().clone();
    attempts.sort_by_key(|(_, at, ..)| *at);
    for (client, at, until, status) in &attempts {
        if status.is_none() {
            record.line(&format!(
                "client {client}: connection opened at {at:.3?} ended at {until:.3?} without an answer"
            ));
        }
    }
    record.line(&format!("readiness checks without 200: {}, at {unready:.1?}", unready.len()));
    // The longest span between two connections that were taken.
    let mut taken: Vec<Duration> =
        attempts.iter().filter(|(_, _, _, status)| status.is_some()).map(|a| a.1).collect();
    taken.push(DAY);
    let spans = taken.windows(2).map(|pair| (pair[1] - pair[0], pair[0], pair[1]));
    let (span, from, to) = spans.max().unwrap_or((DAY, Duration::ZERO, DAY));
    let trying = attempts.iter().filter(|(_, at, until, _)| *at > from && *until < to);
    let mut who: Vec<usize> = trying.map(|attempt| attempt.0).collect();
    let tries = who.len();
    who.sort_unstable();
    who.dedup();
    record.line(&format!(
        "{} connections opened by ordinary clients; no connection was taken between {from:.3?} and \
         {to:.3?}, which is {span:.3?}, while {} clients tried {tries} times",
        attempts.len(),
        who.len()
    ));
    let was_ready = !unready.iter().any(|at| *at > from && *at < to);
    span >= CONTACT && who.len() >= 7 && was_ready
}

fn ordinary(callers: SocketAddr, client: usize, started: Instant, attempts: &Mutex<Vec<Attempt>>) {
    for number in 0.. {
        let at = started.elapsed();
        if at > DAY - Duration::from_secs(2) {
            return;
        }
        let answer = call(callers, "GET", "/safe/a", &format!("o-{client}-{number}"), 800);
        let status = answer.ok().map(|answer| answer.status());
        attempts.lock().unwrap().push((client, at, started.elapsed(), status));
        let next = at + Duration::from_millis(250);
        thread::sleep(next.saturating_sub(started.elapsed()));
    }
}

/// Opens the connections within 0.6 s, so that the queue of the listener takes them, and sends each body
/// without its last chunk, which is empty. A body has so many chunks.
pub fn crowd(callers: SocketAddr, chunks: usize) {
    let began = Instant::now();
    let clients: Vec<_> = (0..CROWD)
        .map(|client| {
            let work = move || {
                let at = began + Duration::from_micros(200) * client as u32;
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let Ok(mut stream) = TcpStream::connect(callers) else { return };
                let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
                if with_trouble() {
                    let field = "Transfer-Encoding: chunked\r\n";
                    let head = request_head("POST", "/unsafe/a", &format!("c-{client}"), 1000, field);
                    let _ = stream.write_all((head + &CHUNK.repeat(chunks)).as_bytes());
                    thread::sleep(Duration::from_secs(8));
                }
            };
            thread::Builder::new().stack_size(128 << 10).spawn(work).unwrap_or_else(|error| {
                fail(&format!("no thread: {error}"));
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
}
