//! Orders to move many services: the messages between hosts outgrow a datagram.

use std::time::Duration;

use crate::record::Record;
use crate::server::{self, Server};
use crate::store::Store;
use crate::system::Host;
use crate::traffic::{Paths, Traffic};
use crate::{services_config, system, Verdict};

const SERVICE: &str = "huvo11a";

/// Services of the size to design for.
const SERVICES: usize = 170;

/// Bounds of the settings, and the rate that a cold backend tolerates.
const COLD_PER_S: f64 = 13.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

pub fn run(record: &Record, logs: &str, has_trouble: bool) -> Result<Verdict, String> {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("op", "config", &services_config(7, SERVICE, SERVICES));
    let zones = ["milano-a", "torino-b", "bergamo-c", "brescia-d"].repeat(2);
    let servers = (0..4).map(|n| {
        let (id, work) = (format!("i-{n:08x}"), Duration::from_millis(30));
        Server::start(&id, SERVICE, zones[n], work, record).map_err(|e| e.to_string())
    });
    let servers: Vec<Server> = servers.collect::<Result<_, _>>()?;
    server::beat(&servers, &store);
    // The other services have a backend of each version, and get no requests.
    let others = (0..SERVICES).flat_map(|n| [(n, "v1"), (n, "v2")]).map(|(n, version)| {
        let (id, service) = (format!("i-{version}{n:06x}"), format!("bindery-por{n:03}"));
        let work = Duration::from_millis(30);
        let server = Server::start(&id, &service, zones[n % zones.len()], work, record);
        server.map(|server| server.with_version(version)).map_err(|e| e.to_string())
    });
    let others: Vec<Server> = others.collect::<Result<_, _>>()?;
    server::beat(&others, &store);
    let hosts = system::start(&zones, store.address, logs)?;
    record.say("the hosts are ready");
    pause(4.0);
    let fronts: Vec<_> = hosts.iter().map(Host::front).collect();
    let request = ("POST", Paths::One("/pufi791/2f"), 1000);
    let traffic = Traffic::start(&fronts, 4, Duration::from_millis(60), request, record);
    pause(2.0);
    let orders = if has_trouble { SERVICES } else { 10 };
    for n in 0..orders {
        let service = format!("bindery-por{n:03}");
        let order = format!("{{\"Service\":\"{service}\",\"To\":\"v2\",\"RampDurationS\":16}}");
        store.put("op", &format!("rollout/{service}"), &order);
        pause(0.06);
    }
    record.say(&format!("{orders} orders to move a service are acknowledged"));
    pause(20.0);
    for host in &hosts {
        record.say(&format!("{} knows {} live hosts", host.name, host.live_hosts()));
    }
    let mut worst = 0;
    for round in 0..3 {
        let cold = &servers[round];
        cold.become_cold(Duration::from_secs(3));
        let (from, to) = (record.now(), record.now() + 3.0);
        record.say(&format!("{} is cold for 3 s", cold.id));
        pause(5.0);
        let at: Vec<f64> =
            cold.runs().iter().map(|r| r.at).filter(|at| *at >= from + 0.1 && *at < to).collect();
        let most = at
            .iter()
            .map(|start| at.iter().filter(|at| **at >= *start && **at < start + 1.0).count())
            .max();
        let most = most.unwrap_or(0);
        record.say(&format!(
            "{} ran {} requests while it was cold, {most} of them within one second",
            cold.id,
            at.len()
        ));
        worst = worst.max(most);
    }
    traffic.finish();
    let allowed = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
    record.say(&format!("{worst} requests within one second at most; {allowed} are allowed"));
    Ok(if worst as f64 > allowed { Verdict::Broken } else { Verdict::Held })
}
