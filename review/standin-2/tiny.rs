//! Clients that nobody controls send uploads in very small chunks, and ordinary clients try to connect.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::platform::{self, call, config, machines, wait_until, Backend, Record, Store};

const SERVICE: &str = "catalogo";
const MACHINES: usize = 3;
const BACKENDS: usize = 3;

/// Ordinary clients that try one machine, each on a new connection a request.
const CLIENTS: usize = 8;
const PAUSE: Duration = Duration::from_millis(100);

/// Uploads that are sent at once to that machine, the length of each, and that of a chunk.
const UPLOADS: usize = 100;
const UPLOAD_LEN: usize = 1_000_000;
const CHUNK: &str = "1\r\nu\r\n";

/// Threads that send the uploads, and the most that one write passes on.
const SENDERS: usize = 4;
const PIECE_LEN: usize = 64 * 1024;

/// How long ordinary clients wait, `TimeoutS` of their route, and the time after it by which a request
/// that is still unanswered has to have an answer.
const DEADLINE_MS: u64 = 2000;
const TIMEOUT: Duration = Duration::from_secs(1);
const SLACK: Duration = Duration::from_millis(500);

const BEFORE: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(20);

/// What became of an ordinary request.
#[derive(Debug, Clone, Copy)]
struct Try {
    client: usize,
    at: Instant,
    /// 0 if there was no answer.
    status: u16,
    took: Duration,
}

/// An upload that is being sent.
struct Upload {
    stream: TcpStream,
    sent: usize,
}

fn open(front: SocketAddr, number: usize) -> io::Result<Upload> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_millis(500))?;
    let head = format!(
        "POST /unsafe/u HTTP/1.1\r\nHost: shop.example\r\nX-Basilhaven-Request-Id: t-{number}\r\n\
         X-Basilhaven-Deadline-Ms: 30000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.set_nonblocking(true)?;
    Ok(Upload { stream, sent: 0 })
}

/// Sends more of an upload; returns `false` once the machine has ended it.
fn send_more(upload: &mut Upload, body: &[u8]) -> bool {
    let is_open = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
    if !upload.stream.read(&mut [0; 512]).is_err_and(|error| is_open(&error)) {
        return false;
    }
    let piece = &body[upload.sent..body.len().min(upload.sent + PIECE_LEN)];
    if piece.is_empty() {
        return true;
    }
    match upload.stream.write(piece) {
        Ok(len) => {
            upload.sent += len;
            true
        }
        Err(error) => is_open(&error),
    }
}

/// Keeps uploads going until `is_over`; returns how many were begun and how many bytes were sent.
fn send_uploads(front: SocketAddr, is_over: &AtomicBool) -> (usize, usize) {
    // The last chunks are left out.
    let body = CHUNK.repeat(UPLOAD_LEN - 10).into_bytes();
    let (mut uploads, mut number, mut bytes): (Vec<Upload>, usize, usize) = (Vec::new(), 0, 0);
    while !is_over.load(Ordering::SeqCst) {
        let before: usize = uploads.iter().map(|upload| upload.sent).sum();
        let mut after = 0;
        uploads.retain_mut(|upload| {
            let is_open = send_more(upload, &body);
            after += upload.sent;
            is_open
        });
        bytes += after - before;
        for _ in uploads.len()..UPLOADS / SENDERS {
            number += 1;
            uploads.extend(open(front, number));
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    (number, bytes)
}

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(record: &Record, logs: &str, has_trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op", "config", Some(&config(1, SERVICE)));
    let _backends: Vec<Arc<Backend>> = (0..BACKENDS)
        .map(|n| Backend::start(&format!("i-{n:04x}"), SERVICE, Duration::from_millis(30), &store))
        .collect();
    let all = machines(MACHINES, store.address, logs, platform::CVF);
    if !wait_until(Duration::from_secs(15), || all.iter().all(|m| m.is_ready())) {
        record.say("the machines did not get ready".to_owned());
        all.iter().for_each(|machine| machine.stop());
        return None;
    }
    let front = all[0].front;
    let is_over = Arc::new(AtomicBool::new(false));
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (is_over, tries) = (Arc::clone(&is_over), Arc::clone(&tries));
            std::thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let at = Instant::now();
                    let answer = call(front, "GET", "/safe/a", &format!("c{client}-{number}"), DEADLINE_MS);
                    let status = answer.map_or(0, |answer| answer.status());
                    tries.lock().unwrap().push(Try { client, at, status, took: at.elapsed() });
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    std::thread::sleep(BEFORE);
    let begun = Instant::now();
    let senders: Vec<_> = (0..if has_trouble { SENDERS } else { 0 })
        .map(|_| {
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || send_uploads(front, &is_over))
        })
        .collect();
    if has_trouble {
        record.say(format!("{UPLOADS} uploads in chunks of a byte are sent to {}", all[0].name));
    }
    let mut was_ready = true;
    let until = begun + LENGTH;
    while Instant::now() < until {
        let is_ready = all[0].is_ready();
        if is_ready != was_ready {
            record.say(format!("{} is ready: {is_ready}", all[0].name));
        }
        was_ready = is_ready;
        std::thread::sleep(Duration::from_millis(500));
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let sent: Vec<(usize, usize)> =
        senders.into_iter().map(|sender| sender.join().expect("a sender")).collect();
    all.iter().for_each(|machine| machine.stop());
    let mut tries = tries.lock().unwrap().clone();
    tries.sort_by_key(|one| one.at);
    let (mut open_at_timeout, mut late) = (0, 0);
    for one in tries.iter().filter(|one| one.at > begun) {
        let seconds = (one.at - begun).as_secs_f64();
        let status = if one.status == 0 { "no answer".to_owned() } else { one.status.to_string() };
        let took = one.took.as_secs_f64();
        record.say(format!("sent {seconds:6.3} s after the start by client {}: {status} after {took:.3} s", one.client));
        let is_open_after = |time: Duration| one.status == 0 || one.took > time;
        open_at_timeout += usize::from(is_open_after(TIMEOUT));
        late += usize::from(is_open_after(TIMEOUT + SLACK));
    }
    let count = |is_before: bool, status: u16| {
        tries.iter().filter(|t| (t.at < begun) == is_before && t.status == status).count()
    };
    record.say(format!("uploads and bytes sent {sent:?}; ready at the end {was_ready}"));
    record.say(format!(
        "before: answered 200 {}, no answer {}; meanwhile: answered 200 {}, no answer {}",
        count(true, 200),
        count(true, 0),
        count(false, 200),
        count(false, 0)
    ));
    record.say(format!(
        "unanswered at `TimeoutS`: {open_at_timeout}, and half a second later: {late}"
    ));
    // CONFIG: of those unanswered at `TimeoutS`, more than half have no answer half a second later.
    Some(late * 2 <= open_at_timeout)
}
