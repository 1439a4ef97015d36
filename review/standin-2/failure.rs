//! A backend runs requests that may not be repeated, and answers that it failed at them.

use std::sync::Arc;
use std::time::Duration;

use crate::platform::{self, call, config, machines, wait_until, Backend, Record, Store};

const SERVICE: &str = "spedizioni";
const MACHINES: usize = 3;
const BACKENDS: usize = 3;
const REQUESTS: usize = 60;

/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(record: &Record, logs: &str, has_trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op", "config", Some(&config(1, SERVICE)));
    let backends: Vec<Arc<Backend>> = (0..BACKENDS)
        .map(|n| Backend::start(&format!("i-{n:04x}"), SERVICE, Duration::from_millis(30), &store))
        .collect();
    let all = machines(MACHINES, store.address, logs, platform::CVF);
    if !wait_until(Duration::from_secs(15), || all.iter().all(|m| m.is_ready())) {
        record.say("the machines did not get ready".to_owned());
        all.iter().for_each(|machine| machine.stop());
        return None;
    }
    // With the other failure, which the pages name, nothing is promised.
    let failure = if has_trouble { 503 } else { 500 };
    *backends[0].failure.lock().unwrap() = failure;
    record.say(format!("{} answers {failure} to what it has run", backends[0].id));
    let (mut false_promises, mut failed) = (0, 0);
    for number in 0..REQUESTS {
        let id = format!("b-{number}");
        let answer = call(all[number % all.len()].front, "PUT", "/unsafe/b", &id, 1000);
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let ran: Vec<&str> = backends
            .iter()
            .filter(|b| b.runs.lock().unwrap().iter().any(|run| run.id == id))
            .map(|b| &*b.id)
            .collect();
        failed += usize::from(status != 200);
        false_promises += usize::from(PROMISES.contains(&status) && !ran.is_empty());
        record.say(format!("PUT {id}: {status}, run by {ran:?}"));
        std::thread::sleep(Duration::from_millis(50));
    }
    all.iter().for_each(|machine| machine.stop());
    record.say(format!("sent {REQUESTS}, not 200 {failed}, refused and run {false_promises}"));
    if failed == 0 {
        return None;
    }
    Some(false_promises == 0)
}
