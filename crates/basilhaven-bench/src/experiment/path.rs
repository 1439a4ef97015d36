//! `path`: calls go through an entry host to an upstream and back; none may be lost.

use std::time::Duration;

use crate::cluster::{self, ConfigFile, Daemon, Upstream};
use crate::report::Report;
use crate::standin::caller;

/// The number of calls.
const CALLS: usize = 2_000;

/// The limit on the p99 latency that an entry host adds to a direct call, in microseconds.
const MAX_ADDED_P99_US: u64 = 450;

/// The processes on the path of a call.
pub struct Setup {
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The entry hosts.
    pub daemons: Vec<Daemon>,
}

/// Starts 6 upstreams and 3 daemons.
pub async fn start() -> Setup {
    let mut upstreams = Vec::new();
    for i in 0..6 {
        let data_centre = ["milano-a", "torino-b", "bergamo-c"][i % 3];
        let name = format!("catalogo-{}", i + 1);
        upstreams.push(Upstream::start("catalogo", &name, data_centre, &[]).await);
    }
    let config = ConfigFile::without_hedging();
    let mut args = config.flag().to_vec();
    for upstream in &upstreams {
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
    }
    let daemons = Daemon::start_all(&["milano-a", "torino-b", "bergamo-c"], &args).await;
    Setup { upstreams, daemons }
}

/// Calls the service through the daemons. In between, calls the upstreams directly for comparison.
pub async fn call(setup: &Setup, calls: usize, seed: u64) -> caller::Summary {
    let mut args = Vec::new();
    for daemon in &setup.daemons {
        args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
    }
    for upstream in &setup.upstreams {
        args.extend(["--direct".to_owned(), upstream.address.to_string()]);
    }
    args.extend(["--calls".to_owned(), calls.to_string()]);
    args.extend(["--seed".to_owned(), seed.to_string()]);
    cluster::run_callers(&args, Duration::from_secs(30)).await
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("path", seed);
    let setup = start().await;
    let summary = call(&setup, CALLS, seed).await;
    let mut executed = 0;
    for upstream in &setup.upstreams {
        executed += upstream.records().await.iter().filter(|r| r.done && r.call.is_some()).count();
    }
    let added = |through: u64, direct: u64| through.saturating_sub(direct);
    let added_p99 = added(summary.latency.p99_us, summary.direct.p99_us);
    report.figure("answered", summary.answered);
    report.figure("run_by_upstreams", executed);
    report.figure("latency", summary.latency);
    report.figure("added_p50_us", added(summary.latency.p50_us, summary.direct.p50_us));
    report.figure("added_p99_us", added_p99);
    report.baseline("direct", summary.direct);
    report.target("answered", CALLS, summary.answered == CALLS);
    report.target("wrong", 0, summary.wrong == 0);
    report.target("run_by_upstreams", CALLS, executed == CALLS);
    report.target("added_p99_us", MAX_ADDED_P99_US, added_p99 <= MAX_ADDED_P99_US);
    report
}
