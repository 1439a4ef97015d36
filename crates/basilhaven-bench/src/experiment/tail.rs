//! `tail`: tail latency by balancing policy while upstreams slow down in turn.

use std::time::Duration;

use basilhaven::{config, name};
use indexmap::IndexMap;

use crate::cluster::{self, ConfigFile, Daemon, Upstream};
use crate::report::Report;
use crate::standin::{caller, upstream};

/// The number of upstreams.
const UPSTREAMS: usize = 20;

/// Calls that one upstream executes concurrently.
const SLOTS: usize = 4;

/// The number of entry hosts.
const DAEMONS: usize = 13;

/// The mean execution time of a call.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// The duration of a slow-down, in mean service times (150 ms at a service time of 8 ms).
const SLOW_DOWN_DURATION_SERVICE_TIMES: f64 = 18.75;

/// The mean interval between the starts of two slow-downs, in mean service times.
const SLOW_DOWN_INTERVAL_SERVICE_TIMES: f64 = 12.5;

/// The factor by which a slow-down multiplies the execution time.
const SLOW_FACTOR: f64 = 5.0;

/// The duration of the measurement of one policy under one load.
const MEASUREMENT_DURATION: Duration = Duration::from_millis(2_700);

/// The loads, as a percentage of the capacity of all slots.
const LOADS_PERCENT: [u32; 2] = [60, 80];

/// The data centres.
pub(super) const DATA_CENTRES: [&str; 4] = ["milano-a", "torino-b", "bergamo-c", "brescia-d"];

/// The policies: the service that uses each one, and the profile of the service.
const POLICIES: [(&str, &str); 5] = [
    ("round-robin", r#"{"policy": "round-robin", "homes": "all"}"#),
    ("power-of-two", r#"{"policy": "power-of-two", "homes": "all"}"#),
    ("least-in-flight", r#"{"policy": "least-in-flight", "homes": "all"}"#),
    ("ours", r#"{"policy": "cost", "homes": 3}"#),
    ("one-host", r#"{"policy": "cost", "homes": 1}"#),
];

/// The credential of the callers. They are paying callers, as calls of free callers would be
/// refused while the expected wait is long.
pub(super) const PAYING: &str = "the counter staff's credential";

/// Returns a configuration in which each of the given services has its own profile.
pub(super) fn config(profiles: &[(&str, &str)]) -> ConfigFile {
    let mut document = config::Document::default();
    for (name, raw) in profiles {
        let name: name::Name = name.parse().expect("a name");
        document.profiles.insert(name.clone(), serde_json::from_str(raw).expect("a profile"));
        document.services.insert(name.clone(), config::Service { profile: name });
    }
    let caller = config::Caller::new(PAYING, config::Class::Paying);
    document.callers.insert("counter".parse().expect("a name"), caller);
    ConfigFile::new(&document)
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("tail", seed);
    let mut upstreams = Vec::with_capacity(UPSTREAMS);
    let mut args = Vec::new();
    for i in 0..UPSTREAMS {
        let upstream = start_upstream(i, seed).await;
        for (service, _) in POLICIES {
            let spec = format!("{service}/{service}-{i}@{}", upstream.address);
            let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
            args.push("--upstream".to_owned());
            args.push(format!("{spec},slots={SLOTS},dc={data_centre}"));
        }
        upstreams.push(upstream);
    }
    let config = config(&POLICIES);
    args.extend(config.flag());
    args.extend(["--entry-ttl-ms".to_owned(), "60000".to_owned()]);
    let data_centres: Vec<&str> =
        (0..DAEMONS).map(|i| DATA_CENTRES[i % DATA_CENTRES.len()]).collect();
    let daemons = Daemon::start_all(&data_centres, &args).await;
    for load in LOADS_PERCENT {
        let mut p99 = IndexMap::new();
        for (service, _) in POLICIES {
            let summary = measure(&upstreams, &daemons, service, load, seed).await;
            p99.insert(service, summary.latency.p99_us);
            let is_complete = summary.answered == summary.calls && summary.wrong == 0;
            report.target(&format!("{service}_{load}_all_answered"), true, is_complete);
            let name = format!("{service}_{load}");
            match service {
                "ours" => report.figure(&name, summary.latency),
                _ => report.baseline(&name, summary.latency),
            }
        }
        let limits = [p99["round-robin"] / 2, p99["power-of-two"] - 1, p99["one-host"] * 5 / 4];
        let names = ["half_of_round_robin", "below_power_of_two", "one_host_and_a_quarter"];
        for (name, limit) in names.into_iter().zip(limits) {
            report.target(&format!("{name}_{load}_p99_us"), limit, p99["ours"] <= limit);
        }
    }
    report
}

async fn start_upstream(i: usize, seed: u64) -> Upstream {
    let service_us = SERVICE_TIME.as_micros().to_string();
    let slots = SLOTS.to_string();
    let seed = (seed * 1_000 + i as u64).to_string();
    let args = ["--service-us", &service_us, "--slots", &slots, "--seed", &seed];
    Upstream::start("tail", &format!("u{i}"), "milano-a", &args).await
}

/// Measures one policy under one load. Every policy is measured under the same arrivals and
/// slow-downs.
async fn measure(
    upstreams: &[Upstream],
    daemons: &[Daemon],
    service: &str,
    load: u32,
    seed: u64,
) -> caller::Summary {
    let capacity = (UPSTREAMS * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
    let rate = capacity * f64::from(load) / 100.0;
    let calls = (rate * MEASUREMENT_DURATION.as_secs_f64()) as usize;
    let mut args: Vec<String> = Vec::new();
    for daemon in daemons {
        args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
    }
    args.extend(["--service".to_owned(), service.to_owned()]);
    args.extend(["--credential".to_owned(), PAYING.to_owned()]);
    args.extend(["--rate".to_owned(), rate.to_string()]);
    args.extend(["--calls".to_owned(), calls.to_string()]);
    args.extend(["--seed".to_owned(), seed.to_string()]);
    let mut process = cluster::start_callers(&args).await;
    slow_down_at_random(upstreams, seed).await;
    assert_eq!(
        process.wait(Duration::from_secs(20)).await,
        Some(true),
        "the callers did not exit successfully"
    );
    cluster::summary(&process)
}

/// Slows down upstreams drawn at random, at random times, for the duration of one measurement. The
/// slow-downs can overlap.
async fn slow_down_at_random(upstreams: &[Upstream], seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mean_interval = SERVICE_TIME.mul_f64(SLOW_DOWN_INTERVAL_SERVICE_TIMES);
    let mut slow_downs = Vec::new();
    let mut at = Duration::ZERO;
    while at < MEASUREMENT_DURATION {
        at += mean_interval.mul_f64(-(1.0 - random.f64()).ln());
        let upstream = &upstreams[random.usize(..upstreams.len())];
        slow_downs.push(slow_down_once(upstream, at));
    }
    futures_util::future::join_all(slow_downs).await;
}

async fn slow_down_once(upstream: &Upstream, delay: Duration) {
    monoio::time::sleep(delay).await;
    let slow = |slow| upstream::Control { slow: Some(slow), ..Default::default() };
    upstream.control(&slow(SLOW_FACTOR)).await;
    monoio::time::sleep(SERVICE_TIME.mul_f64(SLOW_DOWN_DURATION_SERVICE_TIMES)).await;
    upstream.control(&slow(1.0)).await;
}
