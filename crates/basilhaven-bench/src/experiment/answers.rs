//! `answers`: upstreams that answer late, cut, crossed, twice, with resets and garbage, under load.

use std::time::Duration;

use basilhaven::{config, profile};
use indexmap::{IndexMap, IndexSet};

use crate::cluster::{self, ConfigFile, Daemon, Upstream};
use crate::report::Report;
use crate::standin::{caller, upstream};

/// How upstreams spoil their answers, one each; two more upstreams spoil none.
const SPOILS: [upstream::Fault; 7] = [
    upstream::Fault::Cut,
    upstream::Fault::Cross,
    upstream::Fault::Reset,
    upstream::Fault::Garbage,
    upstream::Fault::Double,
    upstream::Fault::Late,
    upstream::Fault::Shed,
];

/// The share of the answers that an upstream spoils.
const SPOIL_SHARE: f64 = 0.2;

/// Upstreams of the service.
const UPSTREAMS: usize = SPOILS.len() + 2;

/// The longest that a call may take; late answers come after it.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Calls of each kind.
const CALLS: usize = 3_000;

/// Calls a second of each kind.
const RATE: usize = 300;

/// Calls made while every upstream sheds all, so that some are refused as not run whatever is retried.
const SHED_CALLS: usize = 100;

/// Calls made directly, for comparison.
const DIRECT_CALLS: usize = 1_000;

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("answers", seed);
    let (upstreams, daemons) = start().await;
    let entries: Vec<String> = daemons.iter().map(|d| d.callers.to_string()).collect();
    let reads = calls(&entries, "--entry", "GET", CALLS, seed);
    let writes = calls(&entries, "--entry", "POST", CALLS, seed + 1_000);
    let (reads, writes) = futures_util::future::join(reads, writes).await;
    set_drain(&upstreams, true).await;
    let shed = calls(&entries, "--entry", "POST", SHED_CALLS, seed + 3_000).await;
    set_drain(&upstreams, false).await;

    let mut runs: IndexMap<String, usize> = IndexMap::new();
    for upstream in &upstreams {
        for tag in upstream.records().await.into_iter().filter_map(|record| record.tag) {
            *runs.entry(tag).or_default() += 1;
        }
    }
    let legs = [&reads, &writes, &shed];
    let not_run: IndexSet<&String> = legs.iter().flat_map(|leg| &leg.not_run_tags).collect();
    let false_not_run = not_run.iter().filter(|tag| runs.contains_key(**tag)).count();
    let keys: IndexSet<String> = keys_of(&upstreams).await;
    let doubles = keys.iter().filter(|key| runs.get(*key).is_some_and(|n| *n > 1)).count();
    let wrong = legs.iter().map(|leg| leg.wrong).sum::<usize>();

    let addresses: Vec<String> = upstreams.iter().map(|u| u.address.to_string()).collect();
    let direct = calls(&addresses, "--fixed", "GET", DIRECT_CALLS, seed + 2_000).await;

    report.figure("reads_answered", reads.answered);
    report.figure("reads_failed", &reads.failed);
    report.figure("writes_answered", writes.answered);
    report.figure("writes_failed", &writes.failed);
    report.figure("shed_failed", &shed.failed);
    report.figure("refused_not_run", not_run.len());
    report.figure("writes_run", keys.len());
    report.baseline("direct_wrong", direct.wrong);
    report.baseline("direct_answered", direct.answered);
    report.baseline("direct_failed", &direct.failed);
    report.target("wrong", 0, wrong == 0);
    let some_not_run = !not_run.is_empty();
    report.target("false_not_run", 0, false_not_run == 0 && some_not_run);
    report.target("writes_run_twice", 0, doubles == 0);
    let made = reads.calls == CALLS && writes.calls == CALLS;
    report.target("calls", 2 * CALLS, made);
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
        let spoil = SPOILS.get(i).copied();
        let spoil_share = Some(SPOIL_SHARE);
        upstream.control(&upstream::Control { spoil, spoil_share, ..Default::default() }).await;
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
        upstreams.push(upstream);
    }
    let daemons = Daemon::start_all(&["milano-a", "torino-b", "bergamo-c"], &args).await;
    (upstreams, daemons)
}

async fn calls(
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

async fn keys_of(upstreams: &[Upstream]) -> IndexSet<String> {
    let mut keys = IndexSet::new();
    for upstream in upstreams {
        keys.extend(upstream.records().await.into_iter().filter_map(|record| record.key));
    }
    keys
}
