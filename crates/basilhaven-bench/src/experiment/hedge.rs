//! `hedge`: upstreams that slow down suddenly, with and without hedged attempts.

use std::time::{Duration, Instant};

use basilhaven::{config, name, profile};

use crate::cluster::{self, ConfigFile, Daemon, Upstream};
use crate::process::Process;
use crate::report::Report;
use crate::standin::upstream;

/// The number of upstreams.
const UPSTREAMS: usize = 8;

/// The number of calls to each service.
const CALLS: usize = 4_000;

/// Calls per second to each service.
const RATE: usize = 300;

/// The factor by which a slow-down multiplies the execution time.
const SLOW_DOWN_FACTOR: f64 = 20.0;

/// The duration of a slow-down, and of the interval until the next one.
const SLOW_DOWN_DURATION: Duration = Duration::from_millis(250);

/// Hedged attempts per 100 calls; the default of the profile.
const BUDGET_PERCENT: u8 = 2;

/// Runs the experiment: calls two services on the same upstreams at the same time, one with hedged
/// attempts.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("hedge", seed);
    let (upstreams, daemons) = start(seed).await;
    let mut hedged = start_callers(&daemons, "hedged", seed).await;
    let mut plain = start_callers(&daemons, "plain", seed + 1_000).await;
    slow_down_at_random(&upstreams, seed).await;
    for callers in [&mut hedged, &mut plain] {
        assert_eq!(callers.wait(Duration::from_secs(20)).await, Some(true));
    }
    let (hedged, plain) = (cluster::summary(&hedged), cluster::summary(&plain));
    let mut begun = 0;
    for upstream in &upstreams {
        begun += upstream.records().await.iter().filter(|r| r.path == "/hedged").count();
    }
    let attempts = begun as f64 / CALLS as f64;
    let limit = 1.0 + f64::from(BUDGET_PERCENT) / 100.0;
    report.figure("latency", hedged.latency);
    report.figure("attempts_per_call", attempts);
    report.figure("failed", &hedged.failed);
    report.baseline("latency", plain.latency);
    report.target("answered", CALLS, hedged.answered == CALLS && hedged.wrong == 0);
    report.target("attempts_per_call", limit, attempts <= limit);
    let is_faster = hedged.latency.p99_us < plain.latency.p99_us;
    report.target("p99_below_baseline", true, is_faster);
    report
}

async fn start(seed: u64) -> (Vec<Upstream>, Vec<Daemon>) {
    let mut document = config::Document::default();
    for (name, hedge_budget_percent) in [("hedged", BUDGET_PERCENT), ("plain", 0)] {
        let profile = profile::Profile { hedge_budget_percent, ..Default::default() };
        let name: name::Name = name.parse().expect("a constant name");
        document.profiles.insert(name.clone(), profile);
        document.services.insert(name.clone(), config::Service { profile: name });
    }
    let config = ConfigFile::new(&document);
    let mut args: Vec<String> = config.flag().to_vec();
    let mut upstreams = Vec::new();
    for i in 0..UPSTREAMS {
        let upstream_seed = (seed * 100 + i as u64).to_string();
        let flags = ["--service-us", "4000", "--slots", "8", "--seed", &upstream_seed];
        let upstream = Upstream::start("hedged", &format!("u{i}"), "milano-a", &flags).await;
        let plain_setting = upstream.setting.replace("hedged/u", "plain/p");
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
        args.extend(["--upstream".to_owned(), plain_setting]);
        upstreams.push(upstream);
    }
    let daemons = Daemon::start_all(&["milano-a", "torino-b", "bergamo-c"], &args).await;
    (upstreams, daemons)
}

async fn start_callers(daemons: &[Daemon], service: &str, seed: u64) -> Process {
    let mut args = Vec::new();
    for daemon in daemons {
        args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
    }
    args.extend(["--service".to_owned(), service.to_owned()]);
    args.extend(["--path".to_owned(), format!("/{service}")]);
    args.extend(["--calls".to_owned(), CALLS.to_string()]);
    args.extend(["--rate".to_owned(), RATE.to_string()]);
    args.extend(["--seed".to_owned(), seed.to_string()]);
    cluster::start_callers(&args).await
}

/// Slows down one upstream after another, drawn at random, for the duration of the calls.
async fn slow_down_at_random(upstreams: &[Upstream], seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let until = Instant::now() + Duration::from_secs_f64(CALLS as f64 / RATE as f64);
    while Instant::now() < until {
        let upstream = &upstreams[random.usize(..upstreams.len())];
        for slow in [SLOW_DOWN_FACTOR, 1.0] {
            let control = upstream::Control { slow: Some(slow), ..Default::default() };
            upstream.control(&control).await;
            monoio::time::sleep(SLOW_DOWN_DURATION).await;
        }
    }
}
