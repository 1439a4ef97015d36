//! `at-most-once`: callers that send again under their key, while hosts, upstreams, connections and the
//! platform fail.

use std::time::{Duration, Instant};

use basilhaven::{config, profile};
use indexmap::{IndexMap, IndexSet};

use crate::cluster::{self, ConfigFile, Daemon, Platform, Upstream};
use crate::process::{Process, Signal};
use crate::report::Report;
use crate::standin::{caller, platform, upstream};

/// Entry hosts, spread over three data centres.
const HOSTS: usize = 7;

/// Upstreams of the service.
const UPSTREAMS: usize = 6;

/// Calls of each process of callers while things fail.
const CALLS: usize = 1_400;

/// Calls a second of each process of callers.
const RATE: usize = 150;

/// Processes of callers.
const CALLERS: usize = 2;

/// Times that a caller sends a call again, at most.
const RESENDS: usize = 3;

/// Calls made while nothing fails, to see what claims add.
const QUIET_CALLS: usize = 1_000;

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("at-most-once", seed);
    let quiet = quiet_leg(true, seed).await;
    let quiet_without = quiet_leg(false, seed).await;
    let with = leg(true, seed).await;
    let without = leg(false, seed).await;
    report.figure("calls", with.calls);
    report.figure("answered", with.answered);
    report.figure("failed", &with.failed);
    report.figure("sent_again", with.resent);
    report.figure("run_twice", with.doubles);
    report.figure("refused_not_run", with.not_run);
    report.figure("quiet_latency", quiet.latency);
    report.baseline("answered", without.answered);
    report.baseline("failed", &without.failed);
    report.baseline("sent_again", without.resent);
    report.baseline("run_twice", without.doubles);
    report.baseline("quiet_latency", quiet_without.latency);
    report.target("run_twice", 0, with.doubles == 0);
    report.target("false_not_run", 0, with.false_not_run == 0 && with.not_run > 0);
    report.target("acknowledged_and_lost", 0, with.lost == 0);
    report.target("wrong", 0, with.wrong == 0);
    let is_quiet_whole = quiet.answered == QUIET_CALLS;
    report.target("answered_while_quiet", QUIET_CALLS, is_quiet_whole);
    let is_sharp = with.resent > 0 && without.doubles > 0;
    report.target("baseline_runs_some_twice", true, is_sharp);
    report
}

/// What became of the calls of one leg.
#[derive(Debug, Default)]
struct Leg {
    calls: usize,
    answered: usize,
    wrong: usize,
    resent: usize,
    failed: IndexMap<String, usize>,
    /// Keys that ran more than once.
    doubles: usize,
    /// Calls refused as not run.
    not_run: usize,
    /// Of those, the ones that ran.
    false_not_run: usize,
    /// Calls answered that no upstream ran to its end.
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

async fn quiet_leg(claims: bool, seed: u64) -> caller::Summary {
    let setup = start(claims, "0").await;
    let mut args = caller_args(&setup.daemons, seed);
    args.extend(["--calls".to_owned(), QUIET_CALLS.to_string()]);
    args.extend(["--workers", "2"].map(str::to_owned));
    cluster::run_callers(&args, Duration::from_secs(20)).await
}

async fn leg(claims: bool, seed: u64) -> Leg {
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
    fail(&mut setup).await;
    let mut leg = Leg::default();
    let mut summaries = Vec::new();
    for callers in &mut callers {
        let ended = callers.wait(Duration::from_secs(30)).await;
        assert_eq!(ended, Some(true), "the callers did not end well");
        summaries.push(cluster::summary(callers));
    }
    judge(&mut leg, &summaries, &setup.upstreams).await;
    leg
}

/// Makes one thing fail after another while the callers call.
async fn fail(setup: &mut Setup) {
    let started = Instant::now();
    let at = |millis: u64| {
        let due = started + Duration::from_millis(millis);
        monoio::time::sleep(due.saturating_duration_since(Instant::now()))
    };
    at(1_500).await;
    setup.daemons[HOSTS - 1].process.signal(Signal::Kill);
    at(2_500).await;
    setup.upstreams[2].process.signal(Signal::Stop);
    let down = platform::Control { down: Some(true), ..Default::default() };
    setup.platform.control(&down).await;
    at(4_000).await;
    setup.upstreams[2].process.signal(Signal::Continue);
    setup.daemons[HOSTS - 2].process.signal(Signal::Kill);
    at(5_000).await;
    let losing =
        platform::Control { down: Some(false), lose_answers: Some(1.0), ..Default::default() };
    setup.platform.control(&losing).await;
    let mut args = setup.args.clone();
    args.extend(["--seed".to_owned(), setup.daemons[0].peer.to_string()]);
    let name = setup.daemons[HOSTS - 2].name.clone();
    let again = Daemon::start(&name, "bergamo-c", &args).await;
    at(6_500).await;
    setup.daemons[0].process.signal(Signal::Stop);
    at(7_500).await;
    setup.daemons[0].process.signal(Signal::Continue);
    setup.daemons.push(again);
}

async fn judge(leg: &mut Leg, summaries: &[caller::Summary], upstreams: &[Upstream]) {
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
    leg.doubles = begun.values().filter(|runs| **runs > 1).count();
    for summary in summaries {
        leg.calls += summary.calls;
        leg.answered += summary.answered;
        leg.wrong += summary.wrong;
        leg.resent += summary.resent;
        leg.not_run += summary.not_run_tags.len();
        for (kind, count) in &summary.failed {
            *leg.failed.entry(kind.clone()).or_default() += count;
        }
        let ran = |tag: &&String| begun.contains_key(*tag);
        leg.false_not_run += summary.not_run_tags.iter().filter(ran).count();
        leg.lost += summary.answered_tags.iter().filter(|tag| !done.contains(*tag)).count();
    }
    leg.failed.sort_keys();
}
