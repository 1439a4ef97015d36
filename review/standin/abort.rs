//! The operator orders a service back to its old version while a move to a bad one has just begun.

use std::time::Duration;

use crate::record::Record;
use crate::rollout::{self, Exposure};
use crate::server::{self, Faults, Server};
use crate::store::Store;
use crate::system::Host;
use crate::traffic::{Paths, Traffic};
use crate::{config, system, Verdict};

const SERVICE: &str = "huvo11a";

/// Share of the requests that the bad version fails.
const BAD_SHARE: f64 = 0.5;

/// `RampDurationS` of the orders.
const DURATION: f64 = 16.0;

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

pub fn run(record: &Record, logs: &str, has_trouble: bool) -> Result<Verdict, String> {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("op", "config", &config(7, SERVICE, ""));
    let zones = ["milano-a", "torino-b", "bergamo-c"];
    let start = |n: usize, version: &str| {
        let (id, work) = (format!("i-{n:08x}"), Duration::from_millis(60));
        let server = Server::start(&id, SERVICE, zones[n % 3], work, record);
        server.map(|server| server.with_version(version)).map_err(|e| e.to_string())
    };
    let mut servers: Vec<Server> = (0..9).map(|n| start(n, "v1")).collect::<Result<_, _>>()?;
    server::beat(&servers, &store);
    let hosts = system::start(&zones, store.address, logs)?;
    record.say("the hosts are ready");
    pause(4.0);
    let fronts: Vec<_> = hosts.iter().map(Host::front).collect();
    let request = ("POST", Paths::One("/pufi791/2f"), 1000);
    let traffic = Traffic::start(&fronts, 4, Duration::from_millis(40), request, record);
    pause(3.0);
    let order = |to: &str| {
        let order =
            format!("{{\"Service\":\"{SERVICE}\",\"To\":\"{to}\",\"RampDurationS\":{DURATION}}}");
        store.put("op", &format!("rollout/{SERVICE}"), &order);
        record.say(&format!("the order to move to {to} is acknowledged"));
    };
    order("v2");
    let ordered = record.now();
    let new: Vec<Server> = (9..18).map(|n| start(n, "v2")).collect::<Result<_, _>>()?;
    let faults = Faults { fails: BAD_SHARE, ..Faults::default() };
    new.iter().for_each(|server| server.set_faults(faults));
    server::beat(&new, &store);
    servers.extend(new);
    if has_trouble {
        pause(1.0);
        order("v1");
    }
    rollout::watch_report(&store, SERVICE, DURATION + 4.0, record);
    let requests = traffic.finish();
    let exposure = Exposure { version: "v2", ordered, deadline: ordered + DURATION };
    Ok(exposure.judge(&servers, &requests, record))
}
