//! `move-bad`: versions that are bad in four ways are taken back, against a replacement in fixed steps.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use basilhaven::moves;
use indexmap::IndexMap;

use super::move_good::{self, Setup};
use crate::cluster::Upstream;
use crate::process::Process;
use crate::report::Report;
use crate::standin::{platform, upstream};

/// How long after the first host's evidence the new version may get work.
const MAX_STOP: Duration = Duration::from_secs(2);

/// The most of the traffic that a version gets until it is proven.
const MAX_UNPROVEN_SHARE: f64 = 0.05;

/// When a fault that comes later starts, after the move's start.
const LATER: Duration = Duration::from_secs(10);

/// How long a host may take to write the end down once the platform is back.
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

/// Hosts of one leg.
const HOSTS: usize = 3;

/// How a version is bad.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Half of its calls fail from the start.
    AtOnce,
    /// All of its calls fail later, and the platform is down by then.
    LaterWithoutPlatform,
    /// It slows down as soon as an upstream has more than one call.
    UnderLoad,
    /// Its calls take five times as long on one route.
    OneRoute,
}

impl Fault {
    const ALL: [Fault; 4] =
        [Fault::AtOnce, Fault::LaterWithoutPlatform, Fault::UnderLoad, Fault::OneRoute];

    fn name(self) -> &'static str {
        match self {
            Fault::AtOnce => "at_once",
            Fault::LaterWithoutPlatform => "later_without_platform",
            Fault::UnderLoad => "under_load",
            Fault::OneRoute => "one_route",
        }
    }

    fn delay(self) -> Duration {
        match self {
            Fault::LaterWithoutPlatform => LATER,
            Fault::AtOnce | Fault::UnderLoad | Fault::OneRoute => Duration::ZERO,
        }
    }

    fn control(self) -> upstream::Control {
        let none = upstream::Control::default();
        match self {
            Fault::AtOnce => upstream::Control { fail_share: Some(0.5), ..none },
            Fault::LaterWithoutPlatform => upstream::Control { fail_share: Some(1.0), ..none },
            Fault::UnderLoad => {
                upstream::Control { slow: Some(8.0), above_in_flight: Some(1), ..none }
            }
            Fault::OneRoute => {
                let only_prefix = Some("/prices".to_owned());
                upstream::Control { slow: Some(5.0), only_prefix, ..none }
            }
        }
    }
}

/// The time since the Unix epoch, in seconds.
fn now_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// When the calls of some upstreams began, in order, in seconds since the Unix epoch.
async fn begun(upstreams: &[Upstream]) -> Vec<f64> {
    let mut times = Vec::new();
    for upstream in upstreams {
        let started = now_seconds() - upstream.stats().await.now_us as f64 / 1e6;
        let records = upstream.records().await;
        times.extend(records.iter().map(|record| started + record.at_us as f64 / 1e6));
    }
    times.sort_by(f64::total_cmp);
    times
}

/// When a host first logged an event, in seconds since the Unix epoch.
fn logged(process: &Process, event: &str) -> Option<f64> {
    let line = process.lines().into_iter().find(|line| line["event"] == event)?;
    let stamp = line["timestamp"].as_str()?.to_owned();
    let clock = stamp.split_once('T')?.1.trim_end_matches('Z');
    let of_day = clock
        .split(':')
        .try_fold(0.0, |sum, part| part.parse::<f64>().ok().map(|value| sum * 60.0 + value))?;
    let now = now_seconds();
    let today = now - now % 86_400.0;
    // A line of before midnight may be read after it.
    Some(if today + of_day > now + 60.0 { today + of_day - 86_400.0 } else { today + of_day })
}

/// What became of one bad version.
#[derive(Debug)]
struct Outcome {
    taken_back: bool,
    /// Of all calls since the move's start, the largest share that had gone over at any time.
    largest_share: f64,
    /// The share of the calls of any half second until the brake.
    largest_recent_share: f64,
    /// From the first host's evidence to the last call that went over, in seconds.
    stopped_after: Option<f64>,
    /// From the fault's start to the last call that went over, in seconds.
    exposed: f64,
    /// Calls that went over while the version was bad.
    harmed: usize,
    failed: usize,
    failures: IndexMap<String, usize>,
    doubles: usize,
    reason: String,
}

async fn run_fault(seed: u64, fault: Fault) -> Outcome {
    let setup = Setup::start(seed, HOSTS, true).await;
    if fault.delay().is_zero() {
        break_new(&setup, fault).await;
    }
    let callers = setup.load(seed, move_good::GIVEN + Duration::from_secs(1)).await;
    // The load is to be under way before the first call goes over.
    monoio::time::sleep(Duration::from_millis(700)).await;
    let started = now_seconds();
    let by = setup.start_move().await;
    if !fault.delay().is_zero() {
        monoio::time::sleep(fault.delay()).await;
        let down = platform::Control { down: Some(true), ..Default::default() };
        setup.platform.control(&down).await;
        break_new(&setup, fault).await;
    }
    let broken = now_seconds().max(started);
    let broken = if fault.delay().is_zero() { started } else { broken };
    let first = wait_for_brake(&setup, by).await;
    if !fault.delay().is_zero() {
        // Long enough that work which went over after the brake would show.
        monoio::time::sleep(MAX_STOP * 2).await;
        let up = platform::Control { down: Some(false), ..Default::default() };
        setup.platform.control(&up).await;
    }
    let reason = wait_for_end(&setup).await;
    let load = move_good::finish(callers, move_good::GIVEN * 2).await;
    let (old, new) = (begun(&setup.old).await, begun(&setup.new).await);
    let last = new.last().copied().unwrap_or(started);
    Outcome {
        taken_back: reason.is_some(),
        largest_share: largest_share(&old, &new, started),
        largest_recent_share: largest_recent_share(&old, &new, started),
        stopped_after: first.map(|first| (last - first).max(0.0)),
        exposed: (last - broken).max(0.0),
        harmed: new.iter().filter(|at| **at >= broken).count(),
        failed: load.failed,
        failures: load.kinds,
        doubles: setup.double_runs().await,
        reason: reason.unwrap_or_default(),
    }
}

async fn break_new(setup: &Setup, fault: Fault) {
    for upstream in &setup.new {
        upstream.control(&fault.control()).await;
    }
}

/// Waits until a host has stopped the move; returns when the first one did.
async fn wait_for_brake(setup: &Setup, by: Duration) -> Option<f64> {
    while moves::since_epoch() < by {
        monoio::time::sleep(Duration::from_millis(100)).await;
        let logs = setup.daemons.iter().filter_map(|d| logged(&d.process, "move_braked"));
        if let Some(first) = logs.min_by(f64::total_cmp) {
            return Some(first);
        }
    }
    None
}

/// Waits until the row says that the move is taken back; returns why.
async fn wait_for_end(setup: &Setup) -> Option<String> {
    let until = moves::since_epoch() + WRITE_TIMEOUT;
    while moves::since_epoch() < until {
        let phase = move_good::status(&setup.daemons[0]).await.map(|s| s.current.phase);
        if let Some(moves::Phase::RolledBack(reason)) = phase {
            return Some(reason);
        }
        monoio::time::sleep(Duration::from_millis(100)).await;
    }
    None
}

/// Of all calls since `started`, the largest share that had gone over when any one did.
fn largest_share(old: &[f64], new: &[f64], started: f64) -> f64 {
    let before = old.partition_point(|at| *at < started);
    let share = |(i, at): (usize, &f64)| {
        let old = old.partition_point(|o| o <= at) - before;
        (i + 1) as f64 / (i + 1 + old) as f64
    };
    new.iter().enumerate().map(share).fold(0.0, f64::max)
}

/// The largest share that went over in any whole half second since `started`.
fn largest_recent_share(old: &[f64], new: &[f64], started: f64) -> f64 {
    let Some(last) = new.last() else { return 0.0 };
    let window = 0.5;
    let count = |times: &[f64], from: f64| {
        let until = times.partition_point(|at| *at < from + window);
        until - times.partition_point(|at| *at < from)
    };
    let windows = ((last - started) / window) as usize + 1;
    let shares = (0..windows).map(|i| {
        let from = started + i as f64 * window;
        let (old, new) = (count(old, from), count(new, from));
        new as f64 / (old + new).max(1) as f64
    });
    shares.fold(0.0, f64::max)
}

/// The baseline: upstreams are replaced one at a time at fixed times, whatever becomes of the calls.
/// Returns the calls that went over while the version was bad, and those that failed.
async fn run_fixed(seed: u64, fault: Fault) -> (usize, usize) {
    let setup = Setup::start(seed, HOSTS, false).await;
    if fault.delay().is_zero() {
        break_new(&setup, fault).await;
    }
    let callers = setup.load(seed, move_good::GIVEN + Duration::from_secs(1)).await;
    let started = now_seconds();
    let steps = setup.new.len() as u32 + 1;
    let mut broken = None;
    for step in 1..steps {
        let next = started + (move_good::GIVEN * step / steps).as_secs_f64();
        while now_seconds() < next {
            if broken.is_none() && now_seconds() >= started + fault.delay().as_secs_f64() {
                broken = Some(now_seconds());
                break_new(&setup, fault).await;
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        let (old, new) = (&setup.old[step as usize..], &setup.new[..step as usize]);
        setup.list(old.iter().chain(new).collect()).await;
    }
    let load = move_good::finish(callers, move_good::GIVEN * 2).await;
    let broken = broken.unwrap_or(started);
    let harmed = begun(&setup.new).await.into_iter().filter(|at| *at >= broken).count();
    (harmed, load.failed)
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("move-bad", seed);
    let legs = Fault::ALL.map(|fault| run_fault(seed + 10 * fault as u64, fault));
    let fixed = Fault::ALL.map(|fault| run_fixed(seed + 10 * fault as u64, fault));
    let legs = futures_util::future::join_all(legs);
    let fixed = futures_util::future::join_all(fixed);
    let (legs, fixed) = futures_util::future::join(legs, fixed).await;
    for ((fault, outcome), (harmed, failed)) in Fault::ALL.into_iter().zip(&legs).zip(&fixed) {
        add(&mut report, fault, outcome);
        let figures = IndexMap::from([("harmed", *harmed), ("failed", *failed)]);
        report.baseline(fault.name(), figures);
        let fewer = outcome.harmed < *harmed;
        report.target(&format!("{}_harmed_less_than", fault.name()), harmed, fewer);
    }
    report
}

fn add(report: &mut Report, fault: Fault, outcome: &Outcome) {
    let round = |value: f64| (value * 1e3).round() / 1e3;
    let figures = serde_json::json!({
        "largest_share": round(outcome.largest_share),
        "largest_recent_share": round(outcome.largest_recent_share),
        "stopped_after_s": outcome.stopped_after.map(round),
        "exposed_s": round(outcome.exposed),
        "harmed": outcome.harmed,
        "failed": outcome.failed,
        "failures": outcome.failures,
        "reason": outcome.reason,
    });
    report.figure(fault.name(), figures);
    let target = |what: &str| format!("{}_{what}", fault.name());
    report.target(&target("taken_back"), true, outcome.taken_back);
    let stopped = outcome.stopped_after.is_some_and(|s| s <= MAX_STOP.as_secs_f64());
    report.target(&target("stopped_after_s"), MAX_STOP.as_secs_f64(), stopped);
    report.target(&target("double_runs"), 0, outcome.doubles == 0);
    if matches!(fault, Fault::AtOnce | Fault::OneRoute) {
        let small = outcome.largest_share <= MAX_UNPROVEN_SHARE;
        report.target(&target("largest_share"), MAX_UNPROVEN_SHARE, small);
    }
}
