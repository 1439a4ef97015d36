//! One client sends `safe` requests behind each other on one connection, without waiting for the
//! answers. Other clients go on as before.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// `TimeoutS` of the routes, and the half second that the rule adds.
const TIMEOUT: Duration = Duration::from_millis(1200);
const LATE: Duration = Duration::from_millis(1700);

const CLIENTS: usize = 8;
const DAY: Duration = Duration::from_secs(24);
const FLOOD: std::ops::Range<u64> = 5..15;

/// What became of an ordinary request: when it was sent, its status, and the time until that.
type End = (Duration, Option<u16>, Duration);

pub fn run(record: &Record) -> bool {
    let store = Store::start();
    store.put("op", "config", &config(7, TIMEOUT.as_secs_f64()));
    let _upstreams = start_upstreams(&store, 8, Duration::from_millis(50));
    // A machine of the site mpew-ladowanie-grown.
    let daemon = Daemon::start(
        "127.0.0.1",
        &store,
        "",
        &[
            ("BASILHAVEN_CORES", "0.5"),
            ("BASILHAVEN_MEMORY_MB", "512"),
            ("BASILHAVEN_MAX_FDS", "8192"),
            ("BASILHAVEN_LINK_MBPS", "200"),
            ("BASILHAVEN_RETRY_SLACK", "160"),
            ("BASILHAVEN_PROBE_RATE", "42"),
            ("BASILHAVEN_ORDERS_WITHIN_S", "2.5"),
        ],
    );
    daemon.wait_until_ready();
    record.line("the machine is ready");
    let started = Instant::now();
    let ends: Arc<Mutex<Vec<End>>> = Arc::default();
    let callers = daemon.callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let ends = Arc::clone(&ends);
            thread::spawn(move || ordinary(callers, client, started, &ends))
        })
        .collect();
    let (sent, received) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let stop = Arc::new(AtomicBool::new(false));
    let mut flood = None;
    let mut unready = 0;
    for second in 0..DAY.as_secs() {
        let next = started + Duration::from_secs(second + 1);
        if second == FLOOD.start {
            let (sent, received, stop) =
                (Arc::clone(&sent), Arc::clone(&received), Arc::clone(&stop));
            flood = Some(thread::spawn(move || match with_trouble() {
                true => pipeline(callers, &sent, &received, &stop),
                false => one_by_one(callers, &sent, &received, &stop),
            }));
            record.line("the one client begins");
        }
        if second == FLOOD.end {
            stop.store(true, Ordering::Relaxed);
            record.line("the one client stops");
        }
        // The platform's own check, once a second.
        let is_ready = daemon.ready_within(Duration::from_millis(900)) == Some(200);
        unready += u32::from(!is_ready);
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let (sent, received) = (sent.load(Ordering::Relaxed), received.load(Ordering::Relaxed));
        record.line(&format!(
            "/readyz {}; the one client has sent {} requests ({sent} bytes), got {received} bytes",
            if is_ready { "200" } else { "no answer" },
            sent / request("00000000").len() as u64,
        ));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    if let Some(flood) = flood {
        let _ = flood.join();
    }
    let ends = ends.lock().unwrap();
    for (at, status, took) in ends.iter().filter(|(_, _, took)| *took > TIMEOUT) {
        record.line(&format!("ordinary request sent at {at:.3?}: {status:?} after {took:.3?}"));
    }
    let unanswered = |limit| ends.iter().filter(|(_, _, took)| *took > limit).count();
    let (at_timeout, later) = (unanswered(TIMEOUT), unanswered(LATE));
    let served = ends.iter().filter(|(_, status, _)| *status == Some(200)).count();
    record.line(&format!(
        "ordinary requests: {} sent, {served} served, {at_timeout} unanswered after 1.2 s (TimeoutS), \
         {later} of them unanswered half a second later; readiness checks without 200: {unready}",
        ends.len()
    ));
    later >= 8 && later * 2 > at_timeout
}

/// Sends a request every quarter of a second, each once the one before has ended.
fn ordinary(callers: SocketAddr, client: usize, started: Instant, ends: &Mutex<Vec<End>>) {
    let mut kept: Option<Conn> = None;
    for number in 0.. {
        let at = started.elapsed();
        if at > DAY - Duration::from_secs(3) {
            return;
        }
        let sent = Instant::now();
        let head = request_head("GET", "/safe/a", &format!("o-{client}-{number}"), 2400, "");
        let answer = match kept.take().map_or_else(|| Conn::open(callers), Ok) {
            Ok(mut conn) => {
                let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(2400)));
                let answer = conn.stream.write_all(head.as_bytes()).and_then(|()| conn.read());
                answer.ok().flatten().map(|answer| (answer, conn))
            }
            Err(_) => None,
        };
        let took = sent.elapsed();
        let status = answer.as_ref().map(|(answer, _)| answer.status());
        ends.lock().unwrap().push((at, status, took));
        let closes = |answer: &Message| answer.header("connection") == Some("close");
        kept = answer.filter(|(answer, _)| !closes(answer)).map(|(_, conn)| conn);
        thread::sleep(Duration::from_millis(250).saturating_sub(sent.elapsed()));
    }
}

/// A request of the one client, for a path that no route matches.
fn request(id: &str) -> String {
    request_head("GET", "/gone/a", id, 2000, "")
}

/// Writes requests, each with an id of its own, and reads the answers on another thread.
fn pipeline(callers: SocketAddr, sent: &AtomicU64, received: &Arc<AtomicU64>, stop: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect(callers) else { return };
    let Ok(mut answers) = stream.try_clone() else { return };
    let counted = Arc::clone(received);
    let reader = thread::spawn(move || {
        let mut buffer = vec![0; 1 << 18];
        while let Ok(len @ 1..) = answers.read(&mut buffer) {
            counted.fetch_add(len as u64, Ordering::Relaxed);
        }
    });
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let requests: String = (number..number + 500).map(|n| request(&format!("{n:08}"))).collect();
        number += 500;
        if stream.write_all(requests.as_bytes()).is_err() {
            break;
        }
        sent.fetch_add(requests.len() as u64, Ordering::Relaxed);
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = reader.join();
}

/// The same client, each request once the one before is answered.
fn one_by_one(callers: SocketAddr, sent: &AtomicU64, received: &AtomicU64, stop: &AtomicBool) {
    let Ok(mut conn) = Conn::open(callers) else { return };
    for number in 0.. {
        let request = request(&format!("{number:08}"));
        if stop.load(Ordering::Relaxed) || conn.stream.write_all(request.as_bytes()).is_err() {
            return;
        }
        sent.fetch_add(request.len() as u64, Ordering::Relaxed);
        let Ok(Some(_)) = conn.read() else { return };
        received.fetch_add(1, Ordering::Relaxed);
    }
}
