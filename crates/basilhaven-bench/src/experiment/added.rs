//! `added`: the latency that one entry host adds to a call, and its throughput, while it logs every
//! placement decision.

use std::time::Duration;

use crate::cluster::{self, ConfigFile, Daemon, Upstream};
use crate::report::Report;
use crate::standin::caller;

/// The limit on the p99 latency that an entry host adds to a direct call, in microseconds.
const MAX_ADDED_P99_US: u64 = 450;

/// Calls per second on one host at the design size: 44,000 spread over 13 hosts.
const HOST_RATE: f64 = 3_400.0;

/// The number of upstreams.
const UPSTREAMS: usize = 6;

/// The duration of the load at a constant rate.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Caller processes that send as fast as they can, to measure the maximum throughput.
const MAX_RATE_CALLERS: usize = 4;

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

    let direct = run_constant_rate(&daemon, &upstreams, seed, true).await;
    let cpu_before = daemon.process.cpu_time();
    let through = run_constant_rate(&daemon, &upstreams, seed, false).await;
    let cpu_seconds = (daemon.process.cpu_time() - cpu_before).as_secs_f64();
    let added = |through: u64, direct: u64| through.saturating_sub(direct);
    let added_p99 = added(through.latency.p99_us, direct.latency.p99_us);
    report.figure("rate", HOST_RATE);
    report.figure("added_p50_us", added(through.latency.p50_us, direct.latency.p50_us));
    report.figure("added_p99_us", added_p99);
    report.figure("latency", through.latency);
    report.figure("cpu_us_per_call", cpu_seconds * 1e6 / through.answered as f64);
    report.baseline("direct", direct.latency);

    let (calls, elapsed, cpu_seconds) = run_max_rate(&daemon, seed).await;
    report.figure("most_calls_per_second", (calls as f64 / elapsed).round());
    report.figure("calls_per_second_per_core", (calls as f64 / cpu_seconds).round());
    let logged = daemon.process.event_count("placement");
    let expected = through.answered + calls;
    report.figure("decisions_logged", logged);
    report.target("answered", through.calls, through.answered == through.calls);
    report.target("wrong", 0, through.wrong + direct.wrong == 0);
    report.target("decisions_logged", expected, logged == expected);
    report.target("added_p99_us", MAX_ADDED_P99_US, added_p99 <= MAX_ADDED_P99_US);
    report
}

/// Runs an open-loop load at a constant rate, through the daemon or directly to the upstreams.
async fn run_constant_rate(
    daemon: &Daemon,
    upstreams: &[Upstream],
    seed: u64,
    is_direct: bool,
) -> caller::Summary {
    let calls = (HOST_RATE * LOAD_DURATION.as_secs_f64()) as usize;
    let mut args = vec!["--rate".to_owned(), HOST_RATE.to_string()];
    args.extend(["--calls".to_owned(), calls.to_string()]);
    args.extend(["--seed".to_owned(), seed.to_string()]);
    match is_direct {
        true => {
            for upstream in upstreams {
                args.extend(["--fixed".to_owned(), upstream.address.to_string()]);
            }
        }
        false => args.extend(["--entry".to_owned(), daemon.callers.to_string()]),
    }
    cluster::run_callers(&args, LOAD_DURATION * 3).await
}

/// Sends as many calls as the daemon can handle. Returns the number of calls, the elapsed seconds
/// and the CPU seconds of the daemon.
async fn run_max_rate(daemon: &Daemon, seed: u64) -> (usize, f64, f64) {
    let cpu_before = daemon.process.cpu_time();
    let started = std::time::Instant::now();
    let callers = (0..MAX_RATE_CALLERS).map(|i| {
        let mut args = vec!["--entry".to_owned(), daemon.callers.to_string()];
        args.extend(["--calls", "25000", "--workers", "8"].map(str::to_owned));
        args.extend(["--seed".to_owned(), (seed * 100 + i as u64).to_string()]);
        async move { cluster::run_callers(&args, LOAD_DURATION * 4).await.answered }
    });
    let answered = futures_util::future::join_all(callers).await;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu_seconds = (daemon.process.cpu_time() - cpu_before).as_secs_f64();
    (answered.iter().sum(), elapsed, cpu_seconds)
}
