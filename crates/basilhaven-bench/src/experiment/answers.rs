//! `answers`: upstreams send late, truncated, crossed (another call's), duplicated and malformed
//! responses, reset connections and shed calls, under load.

use std::time::Duration;

use basilhaven::{config, profile};
use indexmap::{IndexMap, IndexSet};

use crate::cluster::{self, ConfigFile, Daemon, Upstream};
use crate::report::Report;
use crate::standin::{caller, upstream};

/// The faults of the responses, each on one upstream. Two more upstreams have no faults.
const FAULTS: [upstream::Fault; 7] = [
    upstream::Fault::Cut,
    upstream::Fault::Cross,
    upstream::Fault::Reset,
    upstream::Fault::Garbage,
    upstream::Fault::Double,
    upstream::Fault::Late,
    upstream::Fault::Shed,
];

/// The share of the responses of an upstream that are faulty.
const FAULT_SHARE: f64 = 0.2;

/// The number of upstreams.
const UPSTREAMS: usize = FAULTS.len() + 2;

/// The time-out of a call; late responses arrive after it.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Calls of each method.
const CALLS: usize = 3_000;

/// Calls per second of each method.
const RATE: usize = 300;

/// Calls made while every upstream sheds all calls, so that some calls are refused as not executed
/// in spite of retries.
const SHED_CALLS: usize = 100;

/// Calls made directly to the upstreams, for comparison.
const DIRECT_CALLS: usize = 1_000;

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("answers", seed);
    let (upstreams, daemons) = start().await;
    let entries: Vec<String> = daemons.iter().map(|d| d.callers.to_string()).collect();
    let reads = run_callers(&entries, "--entry", "GET", CALLS, seed);
    let writes = run_callers(&entries, "--entry", "POST", CALLS, seed + 1_000);
    let (reads, writes) = futures_util::future::join(reads, writes).await;
    set_drain(&upstreams, true).await;
    let shed = run_callers(&entries, "--entry", "POST", SHED_CALLS, seed + 3_000).await;
    set_drain(&upstreams, false).await;

    let mut executions: IndexMap<String, usize> = IndexMap::new();
    for upstream in &upstreams {
        for tag in upstream.records().await.into_iter().filter_map(|record| record.tag) {
            *executions.entry(tag).or_default() += 1;
        }
    }
    let outcomes = [&reads, &writes, &shed];
    let refused_not_executed: IndexSet<&String> =
        outcomes.iter().flat_map(|outcome| &outcome.not_run_tags).collect();
    let wrongly_refused =
        refused_not_executed.iter().filter(|tag| executions.contains_key(**tag)).count();
    let keys: IndexSet<String> = idempotency_keys(&upstreams).await;
    let executed_twice =
        keys.iter().filter(|key| executions.get(*key).is_some_and(|n| *n > 1)).count();
    let wrong = outcomes.iter().map(|outcome| outcome.wrong).sum::<usize>();

    let addresses: Vec<String> = upstreams.iter().map(|u| u.address.to_string()).collect();
    let direct = run_callers(&addresses, "--fixed", "GET", DIRECT_CALLS, seed + 2_000).await;

    report.figure("reads_answered", reads.answered);
    report.figure("reads_failed", &reads.failed);
    report.figure("writes_answered", writes.answered);
    report.figure("writes_failed", &writes.failed);
    report.figure("shed_failed", &shed.failed);
    report.figure("refused_not_run", refused_not_executed.len());
    report.figure("writes_run", keys.len());
    report.baseline("direct_wrong", direct.wrong);
    report.baseline("direct_answered", direct.answered);
    report.baseline("direct_failed", &direct.failed);
    report.target("wrong", 0, wrong == 0);
    let has_refused = !refused_not_executed.is_empty();
    report.target("false_not_run", 0, wrongly_refused == 0 && has_refused);
    report.target("writes_run_twice", 0, executed_twice == 0);
    let has_made_all = reads.calls == CALLS && writes.calls == CALLS;
    report.target("calls", 2 * CALLS, has_made_all);
    report
}

async fn set_drain(upstreams: &[Upstream], drain: bool) {
    let control = upstream::Control { drain: Some(drain), ..Default::default() };
    for upstream in upstreams {
        upstream.control(&control).await;
    }
}

async fn start() -> (Vec<Upstream>, Vec<Daemon>) {
    let default = profile::Profile { timeout: CALL_TIMEOUT, ..Default::default() };
    let mut document = config::Document::default();
    document.profiles.insert("default".parse().expect("a constant name"), default);
    let config = ConfigFile::new(&document);
    let mut args: Vec<String> = config.flag().to_vec();
    let mut upstreams = Vec::new();
    for i in 0..UPSTREAMS {
        let name = format!("u{i}");
        let flags = ["--slots", "16", "--service-us", "2000"];
        let upstream = Upstream::start("catalogo", &name, "milano-a", &flags).await;
        let spoil = FAULTS.get(i).copied();
        let spoil_share = Some(FAULT_SHARE);
        upstream.control(&upstream::Control { spoil, spoil_share, ..Default::default() }).await;
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
        upstreams.push(upstream);
    }
    let daemons = Daemon::start_all(&["milano-a", "torino-b", "bergamo-c"], &args).await;
    (upstreams, daemons)
}

async fn run_callers(
    targets: &[String],
    flag: &str,
    method: &str,
    calls: usize,
    seed: u64,
) -> caller::Summary {
    let mut args = Vec::new();
    for target in targets {
        args.extend([flag.to_owned(), target.clone()]);
    }
    args.extend(["--method".to_owned(), method.to_owned()]);
    args.extend(["--calls".to_owned(), calls.to_string()]);
    args.extend(["--rate".to_owned(), RATE.to_string()]);
    args.extend(["--seed".to_owned(), seed.to_string()]);
    cluster::run_callers(&args, Duration::from_secs(40)).await
}

async fn idempotency_keys(upstreams: &[Upstream]) -> IndexSet<String> {
    let mut keys = IndexSet::new();
    for upstream in upstreams {
        keys.extend(upstream.records().await.into_iter().filter_map(|record| record.key));
    }
    keys
}
