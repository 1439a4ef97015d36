//! Hosts that are partitioned from all backends pass requests on, while backends turn requests away
//! and one of them writes a refusal once more on a kept connection.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::links::Links;
use crate::record::Record;
use crate::server::{self, Faults, Server};
use crate::store::Store;
use crate::system::Host;
use crate::traffic::{Paths, Traffic};
use crate::{config, system, Verdict};

const SERVICE: &str = "huvo11a";

/// Share of the requests that backends turn away, and for how long: `srv_grey` of the site file
/// (`shed all`) has 0.55 and 8.5 s.
const SHED_SHARE: f64 = 0.5;
const SHED_S: f64 = 8.0;

/// Share of the answers of half of the backends that are written once more: `garble` of the site
/// file (`extra late`) has 0.05 and 6.2 s, at 0.6 of the backends.
const LATE_SHARE: f64 = 0.05;
const LATE_S: f64 = 6.0;

/// How long the hosts of a zone are partitioned from all backends.
const CUT_S: f64 = 12.0;

const ROUNDS: usize = 4;

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Makes all backends turn requests away, and half of them repeat answers, too.
fn set_faults(servers: &[Server], has_trouble: bool, repeats: bool) {
    for (number, server) in servers.iter().enumerate().filter(|_| has_trouble) {
        let late = if repeats && number % 2 == 0 { LATE_SHARE } else { 0.0 };
        server.set_faults(Faults { sheds: SHED_SHARE, late, ..Faults::default() });
    }
}

pub fn run(record: &Record, logs: &str, has_trouble: bool) -> Result<Verdict, String> {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("op", "config", &config(7, SERVICE, ""));
    let links = Links::default();
    let zones = ["milano-a", "milano-a", "torino-b"];
    let servers = (0..4).map(|n| {
        let (id, zone) = (format!("i-{n:08x}"), zones[n % 3]);
        let server =
            Server::start_behind(&links, &id, SERVICE, zone, Duration::from_millis(20), record);
        server.map_err(|e| e.to_string())
    });
    let servers: Vec<Server> = servers.collect::<Result<_, _>>()?;
    server::beat(&servers, &store);
    let hosts = system::start(&zones, store.address, logs)?;
    links.set_hosts(hosts.iter().map(Host::id).collect());
    record.say("the hosts are ready");
    pause(3.0);
    let fronts: Vec<_> = hosts.iter().map(Host::front).collect();
    let request = ("POST", Paths::One("/pufi791/2f"), 1000);
    let traffic = Traffic::start(&fronts, 6, Duration::from_millis(15), request, record);
    pause(2.0);
    if !links.knows_all() {
        return Err("the host of a connection cannot be found".to_owned());
    }
    for _ in 0..ROUNDS {
        pause(10.0);
        if has_trouble {
            hosts.iter().take(2).for_each(|host| links.cut(host.id()));
            record.say("the hosts of milano-a are partitioned from all backends, which are busy");
        }
        set_faults(&servers, has_trouble, false);
        pause(SHED_S - LATE_S);
        set_faults(&servers, has_trouble, true);
        pause(LATE_S);
        servers.iter().for_each(|server| server.set_faults(Faults::default()));
        pause(CUT_S - SHED_S);
        links.heal();
    }
    let requests = traffic.finish();
    pause(1.0);
    let runs = server::runs_by_id(&servers);
    let mut by_status: BTreeMap<u16, usize> = BTreeMap::new();
    let (mut refused, mut twice) = (0, 0);
    for request in &requests {
        *by_status.entry(request.status).or_default() += 1;
        let times = runs.get(&request.id).map_or(0, Vec::len);
        if times > 0 && [408, 421, 429, 503].contains(&request.status) {
            refused += 1;
            record.say(&format!("{} was answered {} and has run", request.id, request.status));
        }
        if times > 1 {
            twice += 1;
            record.say(&format!("{} has run {times} times", request.id));
        }
    }
    record.say(&format!(
        "{} unsafe requests, by status {by_status:?}: {refused} were refused and have run, {twice} ran twice",
        requests.len()
    ));
    Ok(if refused + twice > 0 { Verdict::Broken } else { Verdict::Held })
}
