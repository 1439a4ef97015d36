//! `added`: what one entry host adds to a call, and what it carries, with every decision logged.

use std::time::Duration;

use crate::cluster::{self, ConfigFile, Daemon, Upstream};
use crate::report::Report;
use crate::standin::caller;

/// What a call through an entry host may take more than a direct one, for 99 in 100, in microseconds.
const MAX_ADDED_P99_US: u64 = 450;

/// Calls a second that one host of 13 carries at the size designed for: 44,000 spread over them.
const HOST_RATE: f64 = 3_400.0;

/// Upstreams that the calls are spread over.
const UPSTREAMS: usize = 6;

/// How long the steady load lasts.
const LEG: Duration = Duration::from_secs(8);

/// Processes that call as fast as they can when the most calls a second are measured.
const FLOODERS: usize = 4;

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("added", seed);
    let config = ConfigFile::without_hedging();
    let mut upstreams = Vec::new();
    let mut args = config.flag().to_vec();
    for i in 0..UPSTREAMS {
        let name = format!("u{i}");
        let upstream = Upstream::start("catalogo", &name, "local", &["--slots", "64"]).await;
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
        upstreams.push(upstream);
    }
    let daemon = Daemon::start("entry-1", "local", &args).await;

    let direct = steady(&daemon, &upstreams, seed, true).await;
    let used = daemon.process.cpu_time();
    let through = steady(&daemon, &upstreams, seed, false).await;
    let busy = (daemon.process.cpu_time() - used).as_secs_f64();
    let added = |via: u64, direct: u64| via.saturating_sub(direct);
    let added_p99 = added(through.latency.p99_us, direct.latency.p99_us);
    report.figure("rate", HOST_RATE);
    report.figure("added_p50_us", added(through.latency.p50_us, direct.latency.p50_us));
    report.figure("added_p99_us", added_p99);
    report.figure("latency", through.latency);
    report.figure("cpu_us_per_call", busy * 1e6 / through.answered as f64);
    report.baseline("direct", direct.latency);

    let (calls, wall, busy) = flood(&daemon, seed).await;
    report.figure("most_calls_per_second", (calls as f64 / wall).round());
    report.figure("calls_per_second_per_core", (calls as f64 / busy).round());
    let logged = daemon.process.event_count("placement");
    let expected = through.answered + calls;
    report.figure("decisions_logged", logged);
    report.target("answered", through.calls, through.answered == through.calls);
    report.target("wrong", 0, through.wrong + direct.wrong == 0);
    report.target("decisions_logged", expected, logged == expected);
    report.target("added_p99_us", MAX_ADDED_P99_US, added_p99 <= MAX_ADDED_P99_US);
    report
}

/// A steady open-loop load, through the daemon or to the upstreams directly.
async fn steady(
    daemon: &Daemon,
    upstreams: &[Upstream],
    seed: u64,
    direct: bool,
) -> caller::Summary {
    let calls = (HOST_RATE * LEG.as_secs_f64()) as usize;
    let mut args = vec!["--rate".to_owned(), HOST_RATE.to_string()];
    args.extend(["--calls".to_owned(), calls.to_string()]);
    args.extend(["--seed".to_owned(), seed.to_string()]);
    match direct {
        true => {
            for upstream in upstreams {
                args.extend(["--fixed".to_owned(), upstream.address.to_string()]);
            }
        }
        false => args.extend(["--entry".to_owned(), daemon.callers.to_string()]),
    }
    cluster::run_callers(&args, LEG * 3).await
}

/// As many calls as the daemon takes; returns calls, seconds, and the daemon's processor seconds.
async fn flood(daemon: &Daemon, seed: u64) -> (usize, f64, f64) {
    let used = daemon.process.cpu_time();
    let started = std::time::Instant::now();
    let flooders = (0..FLOODERS).map(|i| {
        let mut args = vec!["--entry".to_owned(), daemon.callers.to_string()];
        args.extend(["--calls", "25000", "--workers", "8"].map(str::to_owned));
        args.extend(["--seed".to_owned(), (seed * 100 + i as u64).to_string()]);
        async move { cluster::run_callers(&args, LEG * 4).await.answered }
    });
    let answered = futures_util::future::join_all(flooders).await;
    let wall = started.elapsed().as_secs_f64();
    let busy = (daemon.process.cpu_time() - used).as_secs_f64();
    (answered.iter().sum(), wall, busy)
}
