//! Clients that nobody controls hold their uploads open just short of their end, and ordinary clients
//! try to connect.

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

/// Uploads that are held open at that machine, and the length of each.
const HELD: usize = 3100;
const UPLOAD_LEN: usize = 20_000;

/// `ContactS`, and the clients that have to try for as long.
const CONTACT: Duration = Duration::from_secs(3);
const MIN_CLIENTS: usize = 7;

const BEFORE: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(25);

/// What became of a try: when it began, and whether the machine took the connection, which is seen
/// by any answer.
#[derive(Debug, Clone, Copy)]
struct Try {
    client: usize,
    at: Instant,
    status: u16,
}

/// Sends an upload but for its last ten bytes.
fn hold(front: SocketAddr, number: usize) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_millis(500))?;
    let head = format!(
        "POST /unsafe/u HTTP/1.1\r\nHost: shop.example\r\nX-Basilhaven-Request-Id: h-{number}\r\n\
         X-Basilhaven-Deadline-Ms: 30000\r\nContent-Length: {UPLOAD_LEN}\r\n\r\n"
    );
    let mut message = head.into_bytes();
    message.resize(message.len() + UPLOAD_LEN - 10, b'u');
    stream.set_write_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(&message)?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}

/// Returns whether the machine has ended the connection or answered on it.
fn has_ended(stream: &mut TcpStream) -> bool {
    !matches!(stream.read(&mut [0; 512]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Keeps uploads open until `is_over`; returns how many were open at most.
fn hold_uploads(front: SocketAddr, is_over: &AtomicBool) -> usize {
    let (mut held, mut number, mut most): (Vec<TcpStream>, usize, usize) = (Vec::new(), 0, 0);
    while !is_over.load(Ordering::SeqCst) {
        held.retain_mut(|stream| !has_ended(stream));
        for _ in held.len()..HELD {
            number += 1;
            held.extend(hold(front, number));
        }
        most = most.max(held.len());
        std::thread::sleep(Duration::from_millis(100));
    }
    most
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
                    let answer = call(front, "GET", "/safe/a", &format!("c{client}-{number}"), 1000);
                    let status = answer.map_or(0, |answer| answer.status());
                    tries.lock().unwrap().push(Try { client, at, status });
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    std::thread::sleep(BEFORE);
    let begun = Instant::now();
    let holder = has_trouble.then(|| {
        record.say(format!("{HELD} uploads of {UPLOAD_LEN} bytes are held open at {}", all[0].name));
        let is_over = Arc::clone(&is_over);
        std::thread::spawn(move || hold_uploads(front, &is_over))
    });
    let (mut was_ready, mut was_always_ready) = (true, true);
    let until = begun + LENGTH;
    while Instant::now() < until {
        let is_ready = all[0].is_ready();
        if is_ready != was_ready {
            record.say(format!("{} is ready: {is_ready}", all[0].name));
        }
        was_ready = is_ready;
        was_always_ready &= is_ready;
        std::thread::sleep(Duration::from_millis(500));
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let most = holder.map_or(0, |holder| holder.join().expect("the holder"));
    all.iter().for_each(|machine| machine.stop());
    let mut tries = tries.lock().unwrap().clone();
    tries.sort_by_key(|one| one.at);
    let (mut longest, mut from, mut trying) = (Duration::ZERO, None, Vec::new());
    for one in &tries {
        let seconds = one.at.saturating_duration_since(begun).as_secs_f64();
        if one.status != 0 {
            (from, trying) = (None, Vec::new());
        } else {
            let start: Instant = *from.get_or_insert(one.at);
            trying.push(one.client);
            let mut distinct: Vec<usize> = trying.clone();
            distinct.sort_unstable();
            distinct.dedup();
            if distinct.len() >= MIN_CLIENTS {
                longest = longest.max(one.at - start);
            }
        }
        if one.at > begun {
            let status = if one.status == 0 { "no answer".to_owned() } else { one.status.to_string() };
            record.say(format!("sent {seconds:7.3} s after the start by client {}: {status}", one.client));
        }
    }
    let count = |is_before: bool, status: u16| {
        tries.iter().filter(|t| (t.at < begun) == is_before && t.status == status).count()
    };
    record.say(format!("held open at most {most}; always ready {was_always_ready}"));
    record.say(format!(
        "before: answered 200 {}, no answer {}; meanwhile: answered 200 {}, no answer {}",
        count(true, 200),
        count(true, 0),
        count(false, 200),
        count(false, 0)
    ));
    record.say(format!("longest time without a connection taken, {MIN_CLIENTS} clients trying: {longest:.1?}"));
    Some(longest < CONTACT || !was_always_ready)
}
