//! The backends of one service are in need and name a `Server-Limit` of next to nothing; those of
//! another one are well.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::platform::{self, call, config, machines, wait_until, Backend, Record, Store};

const SERVICE: &str = "catalogo";
const OTHER_SERVICE: &str = "spedizioni";
const MACHINES: usize = 3;
const BACKENDS: usize = 3;
const CLIENTS: usize = 6;

/// The limit that the backends name: a decimal number, as the page says.
const LIMIT: &str = "0.00000000000000000008";

/// How long the need lasts.
const HELD: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
}

/// A configuration with a second service, to which `/bulk/` leads.
fn config_with_other() -> String {
    let config = config(1, SERVICE);
    let service = format!(
        "\"Services\":[{{\"Name\":\"{OTHER_SERVICE}\",\"HealthPath\":\"/healthz\",\"MaxConns\":220,\
         \"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":3.0,\"ColdPerS\":10.0}},"
    );
    let route = format!(
        "\"Paths\":[{{\"Name\":\"r-bulk\",\"Prefix\":\"/bulk/\",\"Kind\":\"unsafe\",\"TimeoutS\":1.0,\
         \"TargetLatencyS\":0.3,\"Priority\":0,\"Service\":\"{OTHER_SERVICE}\",\"MaxAttempts\":2}},"
    );
    let config = config.replacen("\"Services\":[", &service, 1);
    config.replacen("\"Paths\":[", &route, 1)
}

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(record: &Record, logs: &str, has_trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op", "config", Some(&config_with_other()));
    let backends: Vec<Arc<Backend>> = (0..BACKENDS)
        .map(|n| Backend::start(&format!("i-{n:04x}"), SERVICE, Duration::from_millis(30), &store))
        .collect();
    let others: Vec<Arc<Backend>> = (0..BACKENDS)
        .map(|n| Backend::start(&format!("j-{n:04x}"), OTHER_SERVICE, Duration::from_millis(100), &store))
        .collect();
    let all = machines(MACHINES, store.address, logs, platform::CVF);
    if !wait_until(Duration::from_secs(15), || all.iter().all(|m| m.is_ready())) {
        record.say("the machines did not get ready".to_owned());
        all.iter().for_each(|machine| machine.stop());
        return None;
    }
    all.iter().for_each(|machine| machine.watch(record));
    let is_over = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (is_over, counts, unanswered) =
                (Arc::clone(&is_over), Arc::clone(&counts), Arc::clone(&unanswered));
            let (all, record) = (all.clone(), record.clone());
            std::thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("c{client}-{number}");
                    let front = all[(client + number) % all.len()].front;
                    let (method, path) =
                        [("GET", "/safe/a"), ("POST", "/unsafe/a"), ("PUT", "/bulk/a")][number / 3 % 3];
                    match call(front, method, path, &id, 1000) {
                        Ok(answer) if answer.status() == 200 => {
                            counts.answered.fetch_add(1, Ordering::SeqCst);
                        }
                        Ok(answer) if answer.status() == 503 => {
                            counts.refused.fetch_add(1, Ordering::SeqCst);
                        }
                        other => {
                            let text = other.map_or_else(|e| e.to_string(), |a| a.line);
                            counts.failed.fetch_add(1, Ordering::SeqCst);
                            record.say(format!("{method} {id} at {front}: {text}"));
                            unanswered.lock().unwrap().push(id);
                        }
                    }
                    std::thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.say(format!("all backends name Server-Limit: {LIMIT}"));
        backends.iter().for_each(|b| LIMIT.clone_into(&mut b.limit.lock().unwrap()));
    }
    std::thread::sleep(HELD);
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    all.iter().for_each(|machine| machine.stop());
    let ends: Vec<usize> = all.iter().map(|m| m.own_ends.load(Ordering::SeqCst)).collect();
    let runs: Vec<String> =
        backends.iter().chain(&others).flat_map(|b| b.runs.lock().unwrap().clone()).map(|run| run.id).collect();
    let unanswered = unanswered.lock().unwrap();
    let lost = unanswered.iter().filter(|id| runs.contains(id)).count();
    record.say(format!(
        "answered {}, refused {}, failed {} (of these {lost} had run), run {}",
        counts.answered.load(Ordering::SeqCst),
        counts.refused.load(Ordering::SeqCst),
        counts.failed.load(Ordering::SeqCst),
        runs.len()
    ));
    record.say(format!("processes that ended by themselves, by machine: {ends:?}"));
    // A fault: on a tenth of the machines, two at least, processes end by themselves three times.
    Some(ends.iter().filter(|ends| **ends >= 3).count() < 2)
}
