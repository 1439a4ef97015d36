//! `at-most-once`: callers resend calls under the same idempotency key while hosts, upstreams,
//! connections and the platform fail. The baseline does not claim the keys.

use std::time::{Duration, Instant};

use basilhaven::{config, profile};
use indexmap::{IndexMap, IndexSet};

use crate::cluster::{self, ConfigFile, Daemon, Platform, Upstream};
use crate::process::{Process, Signal};
use crate::report::Report;
use crate::standin::{caller, platform, upstream};

/// The number of entry hosts, spread over three data centres.
const HOSTS: usize = 7;

/// The number of upstreams.
const UPSTREAMS: usize = 6;

/// Calls of each caller process while faults are injected.
const CALLS: usize = 1_400;

/// Calls per second of each caller process.
const RATE: usize = 150;

/// The number of caller processes.
const CALLERS: usize = 2;

/// The maximum number of times that a caller resends a call.
const RESENDS: usize = 3;

/// Calls made without faults, to measure the latency that claims add.
const CALLS_WITHOUT_FAULTS: usize = 1_000;

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("at-most-once", seed);
    let without_faults = measure_without_faults(true, seed).await;
    let without_faults_or_claims = measure_without_faults(false, seed).await;
    let with_claims = measure(true, seed).await;
    let without_claims = measure(false, seed).await;
    report.figure("calls", with_claims.calls);
    report.figure("answered", with_claims.answered);
    report.figure("failed", &with_claims.failed);
    report.figure("sent_again", with_claims.resent);
    report.figure("run_twice", with_claims.executed_twice);
    report.figure("refused_not_run", with_claims.refused_not_executed);
    report.figure("quiet_latency", without_faults.latency);
    report.baseline("answered", without_claims.answered);
    report.baseline("failed", &without_claims.failed);
    report.baseline("sent_again", without_claims.resent);
    report.baseline("run_twice", without_claims.executed_twice);
    report.baseline("quiet_latency", without_faults_or_claims.latency);
    report.target("run_twice", 0, with_claims.executed_twice == 0);
    report.target(
        "false_not_run",
        0,
        with_claims.wrongly_refused == 0 && with_claims.refused_not_executed > 0,
    );
    report.target("acknowledged_and_lost", 0, with_claims.lost == 0);
    report.target("wrong", 0, with_claims.wrong == 0);
    let is_complete = without_faults.answered == CALLS_WITHOUT_FAULTS;
    report.target("answered_while_quiet", CALLS_WITHOUT_FAULTS, is_complete);
    let is_baseline_affected = with_claims.resent > 0 && without_claims.executed_twice > 0;
    report.target("baseline_runs_some_twice", true, is_baseline_affected);
    report
}

/// The results of the calls of one run.
#[derive(Debug, Default)]
struct Outcome {
    calls: usize,
    answered: usize,
    wrong: usize,
    resent: usize,
    failed: IndexMap<String, usize>,
    /// Idempotency keys under which a call was executed more than once.
    executed_twice: usize,
    /// Calls refused as not executed.
    refused_not_executed: usize,
    /// Calls refused as not executed that an upstream had started to execute.
    wrongly_refused: usize,
    /// Calls with a response that no upstream executed to the end.
    lost: usize,
}

struct Setup {
    platform: Platform,
    upstreams: Vec<Upstream>,
    daemons: Vec<Daemon>,
    args: Vec<String>,
    _config: ConfigFile,
}

async fn start(claims: bool, service_us: &str) -> Setup {
    let mut document = config::Document::default();
    let default = profile::Profile {
        claims,
        timeout: Duration::from_secs(2),
        retry_budget_percent: 1,
        ..Default::default()
    };
    document.profiles.insert("default".parse().expect("a constant name"), default);
    let config = ConfigFile::new(&document);
    let platform = Platform::start(&[]).await;
    let mut args: Vec<String> = config.flag().to_vec();
    args.extend(["--platform".to_owned(), platform.address.to_string()]);
    let mut upstreams = Vec::new();
    for i in 0..UPSTREAMS {
        let name = format!("u{i}");
        let flags = ["--slots", "32", "--service-us", service_us];
        let upstream = Upstream::start("catalogo", &name, "milano-a", &flags).await;
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
        upstreams.push(upstream);
    }
    let data_centres = ["milano-a", "torino-b", "bergamo-c"];
    let data_centres: Vec<&str> = data_centres.into_iter().cycle().take(HOSTS).collect();
    let daemons = Daemon::start_all(&data_centres, &args).await;
    Setup { platform, upstreams, daemons, args, _config: config }
}

fn caller_args(daemons: &[Daemon], seed: u64) -> Vec<String> {
    let mut args = Vec::new();
    for daemon in daemons {
        args.extend(["--fixed".to_owned(), daemon.callers.to_string()]);
    }
    args.extend(["--method", "POST", "--timeout-ms", "3000"].map(str::to_owned));
    args.extend(["--seed".to_owned(), seed.to_string()]);
    args
}

async fn measure_without_faults(claims: bool, seed: u64) -> caller::Summary {
    let setup = start(claims, "0").await;
    let mut args = caller_args(&setup.daemons, seed);
    args.extend(["--calls".to_owned(), CALLS_WITHOUT_FAULTS.to_string()]);
    args.extend(["--workers", "2"].map(str::to_owned));
    cluster::run_callers(&args, Duration::from_secs(20)).await
}

async fn measure(claims: bool, seed: u64) -> Outcome {
    let mut setup = start(claims, "40000").await;
    for upstream in setup.upstreams.iter().take(2) {
        let spoil = Some(upstream::Fault::Reset);
        let control = upstream::Control { spoil, spoil_share: Some(0.1), ..Default::default() };
        upstream.control(&control).await;
    }
    let spoil = Some(upstream::Fault::Shed);
    let control = upstream::Control { spoil, spoil_share: Some(0.3), ..Default::default() };
    setup.upstreams[3].control(&control).await;
    let mut callers: Vec<Process> = Vec::new();
    for i in 0..CALLERS {
        let mut args = caller_args(&setup.daemons, seed * 10 + i as u64);
        args.extend(["--calls".to_owned(), CALLS.to_string()]);
        args.extend(["--rate".to_owned(), RATE.to_string()]);
        args.extend(["--resends".to_owned(), RESENDS.to_string()]);
        callers.push(cluster::start_callers(&args).await);
    }
    inject_faults(&mut setup).await;
    let mut outcome = Outcome::default();
    let mut summaries = Vec::new();
    for callers in &mut callers {
        let has_succeeded = callers.wait(Duration::from_secs(30)).await;
        assert_eq!(has_succeeded, Some(true), "the callers did not exit successfully");
        summaries.push(cluster::summary(callers));
    }
    evaluate(&mut outcome, &summaries, &setup.upstreams).await;
    outcome
}

/// Injects one fault after another while the callers make calls.
async fn inject_faults(setup: &mut Setup) {
    let started = Instant::now();
    let wait_until = |millis: u64| {
        let due = started + Duration::from_millis(millis);
        monoio::time::sleep(due.saturating_duration_since(Instant::now()))
    };
    wait_until(1_500).await;
    setup.daemons[HOSTS - 1].process.signal(Signal::Kill);
    wait_until(2_500).await;
    setup.upstreams[2].process.signal(Signal::Stop);
    let down = platform::Control { down: Some(true), ..Default::default() };
    setup.platform.control(&down).await;
    wait_until(4_000).await;
    setup.upstreams[2].process.signal(Signal::Continue);
    setup.daemons[HOSTS - 2].process.signal(Signal::Kill);
    wait_until(5_000).await;
    let losing =
        platform::Control { down: Some(false), lose_answers: Some(1.0), ..Default::default() };
    setup.platform.control(&losing).await;
    let mut args = setup.args.clone();
    args.extend(["--seed".to_owned(), setup.daemons[0].peer.to_string()]);
    let name = setup.daemons[HOSTS - 2].name.clone();
    let restarted = Daemon::start(&name, "bergamo-c", &args).await;
    wait_until(6_500).await;
    setup.daemons[0].process.signal(Signal::Stop);
    wait_until(7_500).await;
    setup.daemons[0].process.signal(Signal::Continue);
    setup.daemons.push(restarted);
}

async fn evaluate(outcome: &mut Outcome, summaries: &[caller::Summary], upstreams: &[Upstream]) {
    let mut begun: IndexMap<String, usize> = IndexMap::new();
    let mut done: IndexSet<String> = IndexSet::new();
    for upstream in upstreams {
        for record in upstream.records().await {
            let Some(key) = record.key else { continue };
            if record.done {
                done.insert(key.clone());
            }
            *begun.entry(key).or_default() += 1;
        }
    }
    outcome.executed_twice = begun.values().filter(|runs| **runs > 1).count();
    for summary in summaries {
        outcome.calls += summary.calls;
        outcome.answered += summary.answered;
        outcome.wrong += summary.wrong;
        outcome.resent += summary.resent;
        outcome.refused_not_executed += summary.not_run_tags.len();
        for (kind, count) in &summary.failed {
            *outcome.failed.entry(kind.clone()).or_default() += count;
        }
        let has_started = |tag: &&String| begun.contains_key(*tag);
        outcome.wrongly_refused += summary.not_run_tags.iter().filter(has_started).count();
        outcome.lost += summary.answered_tags.iter().filter(|tag| !done.contains(*tag)).count();
    }
    outcome.failed.sort_keys();
}
