//! Cases on the configuration: a lost answer of the store, and a store that comes back from a copy.

use std::time::Duration;

use crate::record::Record;
use crate::server::{self, Server};
use crate::store::Store;
use crate::system::Host;
use crate::traffic::{Paths, Request, Traffic};
use crate::{config, system, Verdict};

const OLD: &str = "huvo11a";
const NEW: &str = "wuno96b";

/// Bounds of the settings, in seconds.
const CONTACT: f64 = 3.0;
const CONFIG_APPLY: f64 = 2.0;
const MAX_STRETCH: f64 = 5.0;
const ROLLBACK_SLACK: f64 = 0.25;

const MORE_ROUTE: &str = ",{\"Name\":\"r-more\",\"Prefix\":\"/vate220/\",\"Kind\":\"safe\",\
    \"TimeoutS\":0.8,\"TargetLatencyS\":0.25,\"Priority\":2,\"Service\":\"huvo11a\",\"MaxAttempts\":2}";

struct System {
    store: Store,
    servers: Vec<Server>,
    hosts: Vec<Host>,
    traffic: Traffic,
}

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Starts 3 hosts, 10 backends and clients of the unsafe route, which leads to the old service.
fn start(record: &Record, logs: &str) -> Result<System, String> {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("op", "config", &config(7, OLD, ""));
    let zones = ["milano-a", "torino-b", "bergamo-c"];
    let servers = (0..10).map(|n| {
        let (id, service) = (format!("i-{n:08x}"), if n < 6 { OLD } else { NEW });
        let work = Duration::from_millis(60);
        Server::start(&id, service, zones[n % 3], work, record).map_err(|e| e.to_string())
    });
    let servers: Vec<Server> = servers.collect::<Result<_, _>>()?;
    server::beat(&servers, &store);
    let hosts = system::start(&zones, store.address, logs)?;
    record.say("the hosts are ready");
    pause(CONTACT + 1.0);
    let fronts: Vec<_> = hosts.iter().map(Host::front).collect();
    let request = ("POST", Paths::One("/pufi791/2f"), 1000);
    let traffic = Traffic::start(&fronts, 2, Duration::from_millis(40), request, record);
    Ok(System { store, servers, hosts, traffic })
}

/// Returns the requests sent later than `from` that the old service has run.
fn run_by_old(requests: &[Request], servers: &[Server], from: f64) -> Vec<Request> {
    let runs = server::runs_by_id(servers);
    let is_old = |request: &&Request| {
        request.sent > from
            && runs.get(&request.id).is_some_and(|runs| runs.iter().any(|run| run.service == OLD))
    };
    requests.iter().filter(is_old).cloned().collect()
}

fn report(record: &Record, hosts: &[Host], requests: &[Request], broken: &[Request], from: f64) {
    for (number, host) in hosts.iter().enumerate() {
        let of_host =
            |all: &[Request]| all.iter().filter(|r| r.host == number && r.sent > from).count();
        record.say(&format!(
            "{}: {} requests were sent after {from:.3}; {} of them were run by the old service",
            host.name,
            of_host(requests),
            of_host(broken)
        ));
    }
    for request in broken.iter().take(1).chain(broken.last()) {
        record.say(&format!(
            "{} was sent at {:.3} and run by the old service",
            request.id, request.sent
        ));
    }
}

/// One answer of the store with a change of the configuration is lost.
pub fn lost_answer(record: &Record, logs: &str, has_trouble: bool) -> Result<Verdict, String> {
    let System { store, servers, hosts, traffic } = start(record, logs)?;
    pause(2.0);
    store.put("op", "config", &config(8, OLD, MORE_ROUTE));
    record.say("version 8 is acknowledged: it adds a route");
    pause(2.0);
    if has_trouble {
        store.lose_answers(1);
    }
    store.put("op", "config", &config(9, NEW, MORE_ROUTE));
    let acknowledged = record.now();
    record.say("version 9 is acknowledged: it moves the unsafe route to another service");
    pause(0.2);
    let lost = store.stop_losing();
    record.say(&format!("answers of the store that were lost: {lost}"));
    if has_trouble && lost != 1 {
        return Err("no answer was lost".to_owned());
    }
    pause(24.0);
    let requests = traffic.finish();
    // Later than the bound, its longest stretch, and the time after which the store is stable.
    let from = acknowledged + CONTACT + CONFIG_APPLY + MAX_STRETCH;
    let broken = run_by_old(&requests, &servers, from);
    report(record, &hosts, &requests, &broken, from);
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// The store comes back from a copy, and the operator writes again what was lost, in order.
pub fn restored(record: &Record, logs: &str, has_trouble: bool) -> Result<Verdict, String> {
    let System { store, servers, hosts, traffic } = start(record, logs)?;
    pause(1.0);
    let copy = store.copy();
    record.say("the store is copied");
    pause(1.0);
    store.put("op", "config", &config(8, OLD, MORE_ROUTE));
    record.say("version 8 is acknowledged: it adds a route");
    pause(1.0);
    store.put("op", "config", &config(9, NEW, MORE_ROUTE));
    record.say("version 9 is acknowledged: it moves the unsafe route to another service");
    pause(3.0);
    let runs = server::runs_by_id(&servers);
    let first = runs.values().flatten().filter(|run| run.service == NEW).map(|run| run.at);
    let seen = first.fold(f64::INFINITY, f64::min);
    record.say(&format!("a backend has seen the effect of version 9 at {seen:.3}"));
    // By now each host has applied version 9.
    let from = record.now().max(seen + ROLLBACK_SLACK);
    if has_trouble {
        store.go_away();
        pause(0.5);
        store.restore(Some(copy));
        record.say("the store is back, from the copy");
        pause(CONTACT + 1.0);
        store.put("op", "config", &config(8, OLD, MORE_ROUTE));
        record.say("version 8 is written again");
        pause(1.0);
        store.put("op", "config", &config(9, NEW, MORE_ROUTE));
        record.say("version 9 is written again");
    }
    pause(4.0);
    let requests = traffic.finish();
    let broken = run_by_old(&requests, &servers, from);
    report(record, &hosts, &requests, &broken, from);
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken })
}
