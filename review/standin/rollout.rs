//! A bad version of a service whose requests are spread over many routes, and the rule on bad
//! versions.

use std::time::{Duration, Instant};

use crate::record::Record;
use crate::server::{self, Faults, Server};
use crate::store::Store;
use crate::system::Host;
use crate::traffic::{Paths, Request, Traffic};
use crate::{routes_config, system, Verdict};

const SERVICE: &str = "huvo11a";

/// Routes of the configuration; a `big_config` of the site files adds up to 350.
const ROUTES: usize = 300;

/// Share of the requests that the bad version fails.
const BAD_SHARE: f64 = 0.5;

/// `RampDurationS` of the order.
const DURATION: f64 = 16.0;

/// Bounds of the settings.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK: f64 = 5.0;

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Writes each change of the report on a move to the record, for so many seconds.
pub fn watch_report(store: &Store, service: &str, seconds: f64, record: &Record) {
    let mut known = String::new();
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < until {
        let report = store.get("status", &format!("rollout/{service}")).unwrap_or_default();
        if report != known {
            record.say(&format!("status/rollout/{service}: {report}"));
            known = report;
        }
        pause(0.05);
    }
}

/// The order of a version, by which the rule on bad versions judges.
pub struct Exposure {
    pub version: &'static str,
    pub ordered: f64,
    pub deadline: f64,
}

impl Exposure {
    /// Judges what a version got as the rule does. A version without bad answers may get all.
    pub fn judge(&self, servers: &[Server], requests: &[Request], record: &Record) -> Verdict {
        let version = self.version;
        let mut runs: Vec<server::Run> = servers.iter().flat_map(Server::runs).collect();
        runs.sort_by(|a, b| a.at.total_cmp(&b.at));
        let is_during = |run: &&server::Run| run.at >= self.ordered && run.at < self.deadline;
        let all = runs.iter().filter(is_during).count();
        let got = runs.iter().filter(is_during).filter(|run| run.version == version).count();
        let allowed = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
        let bad: Vec<f64> = runs.iter().filter(|run| run.is_bad).map(|run| run.at).collect();
        record.say(&format!(
            "{version} got {got} of {all} requests until the deadline of its order, {allowed:.0} are \
             allowed; {} of its answers were bad",
            bad.len()
        ));
        let late = bad.get(49).map_or(0, |fiftieth| {
            let sent_late = |run: &&server::Run| {
                let request = requests.iter().find(|request| request.id == run.id);
                run.version == version && request.is_some_and(|r| r.sent > fiftieth + ROLLBACK)
            };
            runs.iter().filter(sent_late).count()
        });
        record.say(&format!("it got {late} requests sent more than 5 s after its 50th bad answer"));
        match !bad.is_empty() && (got as f64 > allowed || late > 0) {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    }
}

pub fn run(record: &Record, logs: &str, has_trouble: bool) -> Result<Verdict, String> {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("op", "config", &routes_config(7, SERVICE, ROUTES));
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
    let request = ("POST", Paths::Spread(ROUTES), 1000);
    let traffic = Traffic::start(&fronts, 4, Duration::from_millis(90), request, record);
    pause(3.0);
    let order = format!("{{\"Service\":\"{SERVICE}\",\"To\":\"v2\",\"RampDurationS\":{DURATION}}}");
    store.put("op", &format!("rollout/{SERVICE}"), &order);
    let ordered = record.now();
    record.say("the order to move to v2 is acknowledged");
    let new: Vec<Server> = (9..18).map(|n| start(n, "v2")).collect::<Result<_, _>>()?;
    if has_trouble {
        let faults = Faults { fails: BAD_SHARE, ..Faults::default() };
        new.iter().for_each(|server| server.set_faults(faults));
    }
    server::beat(&new, &store);
    servers.extend(new);
    watch_report(&store, SERVICE, DURATION + 4.0, record);
    let requests = traffic.finish();
    let exposure = Exposure { version: "v2", ordered, deadline: ordered + DURATION };
    Ok(exposure.judge(&servers, &requests, record))
}
