//! A bad version of a service whose requests are spread over many routes.

use std::time::{Duration, Instant};

use crate::record::Record;
use crate::server::{self, Faults, Links, Server};
use crate::store::Store;
use crate::system::Host;
use crate::traffic::{Paths, Traffic};
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

pub fn run(record: &Record, logs: &str, has_trouble: bool) -> Result<Verdict, String> {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("op", "config", &routes_config(7, SERVICE, ROUTES));
    let zones = ["milano-a", "torino-b", "bergamo-c"];
    let start = |n: usize, version: &str| {
        let (id, work) = (format!("i-{n:08x}"), Duration::from_millis(60));
        let server = Server::start(&id, SERVICE, zones[n % 3], work, &Links::default(), record);
        server.map(|server| server.with_version(version)).map_err(|e| e.to_string())
    };
    let mut servers: Vec<Server> = (0..9).map(|n| start(n, "v1")).collect::<Result<_, _>>()?;
    server::beat(&servers, &store);
    let hosts = system::start(&zones, store.address, logs)?;
    record.say("the hosts are ready");
    pause(4.0);
    let fronts: Vec<_> = hosts.iter().map(Host::front).collect();
    let paths = Paths::Spread(ROUTES);
    let traffic = Traffic::start(&fronts, 4, Duration::from_millis(90), ("POST", paths, 1000), record);
    pause(3.0);
    let new: Vec<Server> = (9..18).map(|n| start(n, "v2")).collect::<Result<_, _>>()?;
    if has_trouble {
        let faults = Faults { fails: BAD_SHARE, ..Faults::default() };
        new.iter().for_each(|server| server.set_faults(faults));
    }
    server::beat(&new, &store);
    servers.extend(new);
    pause(3.0);
    let order = format!("{{\"Service\":\"{SERVICE}\",\"To\":\"v2\",\"RampDurationS\":{DURATION}}}");
    store.put("op", &format!("rollout/{SERVICE}"), &order);
    let ordered = record.now();
    record.say("the order to move to v2 is acknowledged");
    let mut state = String::new();
    let until = Instant::now() + Duration::from_secs_f64(DURATION + 4.0);
    while Instant::now() < until {
        let report = store.get("status", &format!("rollout/{SERVICE}")).unwrap_or_default();
        if report != state {
            record.say(&format!("status/rollout/{SERVICE}: {report}"));
            state = report;
        }
        pause(0.05);
    }
    let requests = traffic.finish();
    let mut runs: Vec<_> = servers.iter().flat_map(Server::runs).collect();
    runs.sort_by(|a, b| a.at.total_cmp(&b.at));
    let during: Vec<_> = runs.iter().filter(|r| r.at >= ordered && r.at < ordered + DURATION).collect();
    let at_new = during.iter().filter(|run| run.version == "v2").count();
    let allowed = EXPOSURE_SHARE * during.len() as f64 + EXPOSURE_SLACK;
    record.say(&format!("{} requests reached the service until the deadline, {at_new} of them v2", during.len()));
    if !has_trouble {
        // A good version may get all requests.
        let failed = requests.iter().filter(|r| r.answer.status != 200).count();
        record.say(&format!("{failed} of {} requests were not answered 200", requests.len()));
        return Ok(Verdict::Held);
    }
    let bad = runs.iter().filter(|run| run.is_bad).nth(49).map(|run| run.at);
    let late = bad.map_or(0, |bad| {
        let sent_late = |run: &&server::Run| {
            let sent = requests.iter().find(|request| request.id == run.id).map(|r| r.sent);
            run.version == "v2" && sent.is_some_and(|sent| sent > bad + ROLLBACK)
        };
        runs.iter().filter(sent_late).count()
    });
    record.say(&format!("allowed were {allowed:.0} requests at v2"));
    record.say(&format!("the 50th bad answer: {bad:?}; v2 got {late} requests sent more than 5 s later"));
    Ok(if at_new as f64 > allowed || late > 0 { Verdict::Broken } else { Verdict::Held })
}
