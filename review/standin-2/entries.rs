//! Another writer's entries fill more than one page of the list of backends; then all processes are
//! killed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::platform::{self, call, config, machines, wait_until, Backend, Record, Store};

const SERVICE: &str = "catalogo";
const MACHINES: usize = 3;
const BACKENDS: usize = 3;
const CLIENTS: usize = 4;

/// Entries that can't be read, and the length of each: less than `MaxRowBytes`.
const ENTRIES: usize = 20;
const ENTRY_LEN: usize = 60_000;

/// How long the processes are down, and `RecoverS`.
const DOWN: Duration = Duration::from_secs(1);
const RECOVER: Duration = Duration::from_secs(15);

/// How long requests are counted before the fault, and after the time to recover.
const COUNTED: Duration = Duration::from_secs(8);

/// A request: when it was sent, and whether it was served.
type Sent = (Instant, bool);

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
    if has_trouble {
        for n in 0..ENTRIES {
            let key = format!("backup {n:02}");
            store.put("servers", &key, Some(&"x".repeat(ENTRY_LEN)));
        }
        record.say(format!("another writer has written {ENTRIES} entries, `backup 00` and on"));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (is_over, sent, all) = (Arc::clone(&is_over), Arc::clone(&sent), all.clone());
            std::thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let (at, front) = (Instant::now(), all[(client + number) % all.len()].front);
                    let answer = call(front, "GET", "/safe/a", &format!("c{client}-{number}"), 1000);
                    let is_served = answer.is_ok_and(|answer| answer.status() == 200);
                    sent.lock().unwrap().push((at, is_served));
                    std::thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    let started = Instant::now();
    std::thread::sleep(COUNTED);
    record.say("all processes are killed".to_owned());
    let killed_at = Instant::now();
    all.iter().for_each(|machine| machine.stop());
    std::thread::sleep(DOWN);
    all.iter().for_each(|machine| machine.start());
    record.say("all processes are started again".to_owned());
    let back_at = Instant::now();
    std::thread::sleep(RECOVER + COUNTED);
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let ready: Vec<bool> = all.iter().map(|machine| machine.is_ready()).collect();
    all.iter().for_each(|machine| machine.stop());
    let share = |from: Instant, to: Instant| {
        let sent = sent.lock().unwrap();
        let counted: Vec<bool> =
            sent.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, served)| *served).collect();
        let served = counted.iter().filter(|served| **served).count();
        record.say(format!("sent {}, served {served}", counted.len()));
        served as f64 / counted.len().max(1) as f64
    };
    let before = share(started, killed_at);
    let after = share(back_at + RECOVER, back_at + RECOVER + COUNTED);
    record.say(format!("share served before {before:.2}, {RECOVER:?} after the start {after:.2}"));
    record.say(format!("ready at the end, by machine: {ready:?}; reads of tables: {}", store.reads()));
    if before < 0.25 {
        return None;
    }
    Some(after >= 0.25)
}
