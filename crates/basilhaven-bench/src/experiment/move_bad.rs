//! `move-bad`: moves to versions that are bad in four ways are rolled back. The baseline replaces
//! the upstreams in fixed steps.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use basilhaven::moves;
use indexmap::IndexMap;

use super::move_good::{self, Setup};
use crate::cluster::Upstream;
use crate::process::Process;
use crate::report::Report;
use crate::standin::{platform, upstream};

/// The limit on the time after the first halt during which the new version may still receive calls.
const MAX_STOP_DELAY: Duration = Duration::from_secs(2);

/// The largest share of the traffic for a version that has not yet been found good.
const MAX_UNPROVEN_SHARE: f64 = 0.05;

/// The time from the start of a move to the start of a delayed fault.
const FAULT_DELAY: Duration = Duration::from_secs(10);

/// The limit on waiting until a host has stored the end of the move once the platform is available.
const WRITE_TIMEOUT: Duration = Duration::from_secs(8);

/// The number of hosts in one run.
const HOSTS: usize = 3;

/// A fault of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Half of its calls fail from the start of the move.
    Immediate,
    /// All of its calls fail from [`FAULT_DELAY`] on, while the platform is unavailable.
    DelayedWithoutPlatform,
    /// Its upstreams slow down while they have more than one call in flight.
    UnderLoad,
    /// Calls on one route take five times as long.
    OneRoute,
}

impl Fault {
    const ALL: [Fault; 4] =
        [Fault::Immediate, Fault::DelayedWithoutPlatform, Fault::UnderLoad, Fault::OneRoute];

    fn name(self) -> &'static str {
        match self {
            Fault::Immediate => "at_once",
            Fault::DelayedWithoutPlatform => "later_without_platform",
            Fault::UnderLoad => "under_load",
            Fault::OneRoute => "one_route",
        }
    }

    fn delay(self) -> Duration {
        match self {
            Fault::DelayedWithoutPlatform => FAULT_DELAY,
            Fault::Immediate | Fault::UnderLoad | Fault::OneRoute => Duration::ZERO,
        }
    }

    fn control(self) -> upstream::Control {
        let none = upstream::Control::default();
        match self {
            Fault::Immediate => upstream::Control { fail_share: Some(0.5), ..none },
            Fault::DelayedWithoutPlatform => upstream::Control { fail_share: Some(1.0), ..none },
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

/// Returns the time since the Unix epoch, in seconds.
fn now_seconds() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// Returns the start times of the calls on some upstreams, sorted, in seconds since the Unix epoch.
async fn call_times(upstreams: &[Upstream]) -> Vec<f64> {
    let mut times = Vec::new();
    for upstream in upstreams {
        let started = now_seconds() - upstream.stats().await.now_us as f64 / 1e6;
        let records = upstream.records().await;
        times.extend(records.iter().map(|record| started + record.at_us as f64 / 1e6));
    }
    times.sort_by(f64::total_cmp);
    times
}

/// Returns the time at which a host first logged an event, in seconds since the Unix epoch.
fn first_logged(process: &Process, event: &str) -> Option<f64> {
    let line = process.lines().into_iter().find(|line| line["event"] == event)?;
    let stamp = line["timestamp"].as_str()?.to_owned();
    let clock = stamp.split_once('T')?.1.trim_end_matches('Z');
    let seconds_of_day = clock
        .split(':')
        .try_fold(0.0, |sum, part| part.parse::<f64>().ok().map(|value| sum * 60.0 + value))?;
    let now = now_seconds();
    let today = now - now % 86_400.0;
    // A log line written before midnight may be read after it. Only the time of day is parsed, so a
    // time more than a minute ahead belongs to the day before.
    Some(if today + seconds_of_day > now + 60.0 {
        today + seconds_of_day - 86_400.0
    } else {
        today + seconds_of_day
    })
}

/// The result of a move to one bad version.
#[derive(Debug)]
struct Outcome {
    is_rolled_back: bool,
    /// The largest cumulative share of the new version in the calls since the start of the move.
    largest_share: f64,
    /// The largest share of the new version in the calls of any half second.
    largest_recent_share: f64,
    /// Seconds from the first halt to the last call on the new version.
    stopped_after: Option<f64>,
    /// Seconds from the start of the fault to the last call on the new version.
    exposure: f64,
    /// Calls on the new version since the start of the fault.
    affected: usize,
    failed: usize,
    failures: IndexMap<String, usize>,
    repeated_executions: usize,
    reason: String,
}

async fn run_fault(seed: u64, fault: Fault) -> Outcome {
    let setup = Setup::start(seed, HOSTS, true).await;
    if fault.delay().is_zero() {
        inject_fault(&setup, fault).await;
    }
    let callers =
        setup.start_callers(seed, move_good::MOVE_DURATION + Duration::from_secs(1)).await;
    // The load has to be running before the first call reaches the new version.
    monoio::time::sleep(Duration::from_millis(700)).await;
    let started = now_seconds();
    let deadline = setup.start_move().await;
    if !fault.delay().is_zero() {
        monoio::time::sleep(fault.delay()).await;
        let down = platform::Control { down: Some(true), ..Default::default() };
        setup.platform.control(&down).await;
        inject_fault(&setup, fault).await;
    }
    let fault_start = now_seconds().max(started);
    let fault_start = if fault.delay().is_zero() { started } else { fault_start };
    let first_halt = wait_for_halt(&setup, deadline).await;
    if !fault.delay().is_zero() {
        // Long enough to observe calls that reach the new version after the halt.
        monoio::time::sleep(MAX_STOP_DELAY * 2).await;
        let up = platform::Control { down: Some(false), ..Default::default() };
        setup.platform.control(&up).await;
    }
    let reason = wait_for_rollback(&setup).await;
    let load = move_good::wait_for_callers(callers, move_good::MOVE_DURATION * 2).await;
    let (old, new) = (call_times(&setup.old).await, call_times(&setup.new).await);
    let last = new.last().copied().unwrap_or(started);
    Outcome {
        is_rolled_back: reason.is_some(),
        largest_share: largest_share(&old, &new, started),
        largest_recent_share: largest_recent_share(&old, &new, started),
        stopped_after: first_halt.map(|first_halt| (last - first_halt).max(0.0)),
        exposure: (last - fault_start).max(0.0),
        affected: new.iter().filter(|at| **at >= fault_start).count(),
        failed: load.failed,
        failures: load.failures,
        repeated_executions: setup.count_repeated_executions().await,
        reason: reason.unwrap_or_default(),
    }
}

async fn inject_fault(setup: &Setup, fault: Fault) {
    for upstream in &setup.new {
        upstream.control(&fault.control()).await;
    }
}

/// Waits until a host has halted the move. Returns the time of the first halt, or `None` if there
/// is none before the deadline.
async fn wait_for_halt(setup: &Setup, deadline: Duration) -> Option<f64> {
    while moves::since_epoch() < deadline {
        monoio::time::sleep(Duration::from_millis(100)).await;
        let logs = setup.daemons.iter().filter_map(|d| first_logged(&d.process, "move_braked"));
        if let Some(first_halt) = logs.min_by(f64::total_cmp) {
            return Some(first_halt);
        }
    }
    None
}

/// Waits until the stored move is rolled back. Returns the reason, or `None` on time-out.
async fn wait_for_rollback(setup: &Setup) -> Option<String> {
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

/// Returns the largest cumulative share of the new version in the calls since `started`, computed
/// at each call on the new version.
fn largest_share(old: &[f64], new: &[f64], started: f64) -> f64 {
    let before = old.partition_point(|at| *at < started);
    let share = |(i, at): (usize, &f64)| {
        let old = old.partition_point(|o| o <= at) - before;
        (i + 1) as f64 / (i + 1 + old) as f64
    };
    new.iter().enumerate().map(share).fold(0.0, f64::max)
}

/// Returns the largest share of the new version in any of the consecutive half seconds since
/// `started`.
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

/// Runs the baseline: upstreams are replaced one at a time at fixed times, even if calls fail.
/// Returns the number of calls on the new version since the start of the fault, and of failed
/// calls.
async fn run_baseline(seed: u64, fault: Fault) -> (usize, usize) {
    let setup = Setup::start(seed, HOSTS, false).await;
    if fault.delay().is_zero() {
        inject_fault(&setup, fault).await;
    }
    let callers =
        setup.start_callers(seed, move_good::MOVE_DURATION + Duration::from_secs(1)).await;
    let started = now_seconds();
    let steps = setup.new.len() as u32 + 1;
    let mut fault_start = None;
    for step in 1..steps {
        let next = started + (move_good::MOVE_DURATION * step / steps).as_secs_f64();
        while now_seconds() < next {
            if fault_start.is_none() && now_seconds() >= started + fault.delay().as_secs_f64() {
                fault_start = Some(now_seconds());
                inject_fault(&setup, fault).await;
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        let (old, new) = (&setup.old[step as usize..], &setup.new[..step as usize]);
        setup.list(old.iter().chain(new).collect()).await;
    }
    let load = move_good::wait_for_callers(callers, move_good::MOVE_DURATION * 2).await;
    let fault_start = fault_start.unwrap_or(started);
    let affected = call_times(&setup.new).await.into_iter().filter(|at| *at >= fault_start).count();
    (affected, load.failed)
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("move-bad", seed);
    let outcomes = Fault::ALL.map(|fault| run_fault(seed + 10 * fault as u64, fault));
    let baselines = Fault::ALL.map(|fault| run_baseline(seed + 10 * fault as u64, fault));
    let outcomes = futures_util::future::join_all(outcomes);
    let baselines = futures_util::future::join_all(baselines);
    let (outcomes, baselines) = futures_util::future::join(outcomes, baselines).await;
    for ((fault, outcome), (affected, failed)) in
        Fault::ALL.into_iter().zip(&outcomes).zip(&baselines)
    {
        report_outcome(&mut report, fault, outcome);
        let figures = IndexMap::from([("harmed", *affected), ("failed", *failed)]);
        report.baseline(fault.name(), figures);
        let is_fewer = outcome.affected < *affected;
        report.target(&format!("{}_harmed_less_than", fault.name()), affected, is_fewer);
    }
    report
}

fn report_outcome(report: &mut Report, fault: Fault, outcome: &Outcome) {
    let round = |value: f64| (value * 1e3).round() / 1e3;
    let figures = serde_json::json!({
        "largest_share": round(outcome.largest_share),
        "largest_recent_share": round(outcome.largest_recent_share),
        "stopped_after_s": outcome.stopped_after.map(round),
        "exposed_s": round(outcome.exposure),
        "harmed": outcome.affected,
        "failed": outcome.failed,
        "failures": outcome.failures,
        "reason": outcome.reason,
    });
    report.figure(fault.name(), figures);
    let target = |what: &str| format!("{}_{what}", fault.name());
    report.target(&target("taken_back"), true, outcome.is_rolled_back);
    let is_stopped = outcome.stopped_after.is_some_and(|s| s <= MAX_STOP_DELAY.as_secs_f64());
    report.target(&target("stopped_after_s"), MAX_STOP_DELAY.as_secs_f64(), is_stopped);
    report.target(&target("double_runs"), 0, outcome.repeated_executions == 0);
    if matches!(fault, Fault::Immediate | Fault::OneRoute) {
        let is_small = outcome.largest_share <= MAX_UNPROVEN_SHARE;
        report.target(&target("largest_share"), MAX_UNPROVEN_SHARE, is_small);
    }
}
