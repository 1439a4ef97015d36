//! A server fails a part of the requests that it has run, with status 503 and without the header that
//! would say that it has not run them. Clients send unsafe requests, and retry as the pages say.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::common::*;

/// Servers, one of which fails: a share of 0.125, where the pages name up to 0.15.
const SERVERS: usize = 8;
/// The failing server fails two of five requests: a part of 0.4, where the pages name up to 0.45.
const FAILS: (u32, u32) = (2, 5);

const CLIENTS: usize = 4;
const ORDERS: usize = 300;

pub fn run(record: &Record) -> bool {
    let store = Store::start();
    store.put("op", "config", &config(7, 1.0));
    let trouble = with_trouble();
    let count = Arc::new(Mutex::new(0u32));
    let serve = move |own: &Upstream, request: &Message, conn: &mut Conn| -> io::Result<bool> {
        let id = own.run(request);
        thread::sleep(Duration::from_millis(60));
        let number = {
            let mut count = count.lock().unwrap();
            *count += u32::from(own.id == "i-0");
            *count
        };
        let fails = trouble && own.id == "i-0" && number % FAILS.1 < FAILS.0;
        let (status, body): (u16, &[u8]) = if fails { (503, b"failed") } else { (200, b"done") };
        own.answer(conn, &id, status, body)?;
        Ok(true)
    };
    let servers = start_with(&store, SERVERS, Arc::new(serve));
    let daemon = Daemon::start("127.0.0.1", &store, "", &[]);
    daemon.wait_until_ready();
    let callers = daemon.callers;
    let ends: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let ends = Arc::clone(&ends);
            thread::spawn(move || {
                for order in 0..ORDERS {
                    for attempt in 0..2 {
                        let id = format!("order-{client}-{order}-{attempt}");
                        let answer = call(callers, "POST", "/unsafe/a", &id, 1000);
                        let status = answer.as_ref().map_or(0, Message::status);
                        ends.lock().unwrap().push((id, status));
                        // Only a promise allows another attempt.
                        if !is_promise(status) {
                            break;
                        }
                        let after = answer.ok().and_then(|a| a.header("retry-after")?.parse().ok());
                        thread::sleep(Duration::from_secs_f64(f64::min(after.unwrap_or(0.0), 0.3)));
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for server in &servers {
        server.runs.lock().unwrap().iter().for_each(|id| *runs.entry(id.clone()).or_default() += 1);
    }
    let ends = ends.lock().unwrap();
    let (mut counts, mut broken) = (BTreeMap::new(), 0);
    for (id, status) in ends.iter() {
        let ran = runs.get(id).copied().unwrap_or(0);
        *counts.entry((*status, ran)).or_insert(0) += 1;
        if is_promise(*status) && ran > 0 {
            broken += 1;
            let retry = format!("{}1", &id[..id.len() - 1]);
            let again = runs.get(&retry).copied().unwrap_or(0);
            record.line(&format!(
                "{id}: the client got {status}, and it ran {ran} time; its retry ran {again} time"
            ));
        }
    }
    for ((status, ran), count) in counts {
        record.line(&format!("{count} attempts ended with {status} and ran {ran} times"));
    }
    record.line(&format!("unsafe requests that were promised not to run, and ran: {broken}"));
    broken > 0
}

fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
