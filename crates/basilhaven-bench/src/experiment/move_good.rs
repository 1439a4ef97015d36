//! `move-good`: a good version receives all traffic by the deadline of the move. In one run,
//! nothing else happens and no call may fail; in the other, the coordinator is killed during the
//! move.

use std::time::{Duration, Instant};

use basilhaven::moves;
use basilhaven::{admin, config};
use indexmap::IndexMap;

use crate::cluster::{self, Daemon, Platform, Upstream};
use crate::process::{Process, Signal};
use crate::report::Report;
use crate::standin::caller;

/// The time from the start of a move to its deadline.
pub(super) const MOVE_DURATION: Duration = Duration::from_secs(25);

/// The duration of the load that is measured before the move.
const BEFORE_DURATION: Duration = Duration::from_secs(3);

/// The time from the start of the move until the coordinator is killed.
const KILL_AFTER: Duration = Duration::from_secs(8);

/// The limit on waiting until a host has the platform's list of upstreams.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

/// The time for which the load continues after the deadline.
const AFTER_DURATION: Duration = Duration::from_secs(3);

/// The traffic of the service: path, method and calls per second.
pub(super) const TRAFFIC: [(&str, &str, f64); 3] =
    [("/stock/17", "GET", 220.0), ("/prices/3", "GET", 120.0), ("/reserve", "POST", 60.0)];

/// The processes of one run: a service with upstreams of two versions, the hosts and the platform.
pub(super) struct Setup {
    pub(super) platform: Platform,
    pub(super) old: Vec<Upstream>,
    pub(super) new: Vec<Upstream>,
    pub(super) daemons: Vec<Daemon>,
}

impl Setup {
    /// Starts `hosts` daemons and 3 upstreams of each version. Upstreams of the new version are in
    /// the platform's list only if `lists_new` is set.
    pub(super) async fn start(seed: u64, hosts: usize, lists_new: bool) -> Setup {
        let data_centres = ["milano-a", "torino-b", "bergamo-c", "brescia-d"];
        let platform = Platform::start(&[]).await;
        let (mut old, mut new) = (Vec::new(), Vec::new());
        for (version, upstreams) in [("v1", &mut old), ("v2", &mut new)] {
            for i in 0..3 {
                let seed = (seed * 100 + i).to_string();
                let args = ["--service-us", "8000", "--slots", "4", "--seed", &seed];
                let name = format!("{version}-{i}");
                let at = data_centres[i as usize % data_centres.len()];
                let mut upstream = Upstream::start("catalogo", &name, at, &args).await;
                // Without a move, all upstreams are listed under one version.
                let version = if lists_new { version } else { "v1" };
                upstream.setting.push_str(&format!(",version={version}"));
                upstreams.push(upstream);
            }
        }
        let setup = Setup { platform, old, new, daemons: Vec::new() };
        let listed_new = if lists_new { &setup.new[..] } else { &[] };
        setup.list(setup.old.iter().chain(listed_new).collect()).await;
        let args = ["--platform", &setup.platform.address.to_string(), "--entry-ttl-ms", "500"];
        let args = args.map(str::to_owned);
        let daemons = Daemon::start_all(&data_centres[..hosts], &args).await;
        for daemon in &daemons {
            daemon.wait_for_upstreams(if lists_new { 6 } else { 3 }).await;
        }
        Setup { daemons, ..setup }
    }

    /// Replaces the platform's list of upstreams.
    pub(super) async fn list(&self, upstreams: Vec<&Upstream>) {
        let upstreams = upstreams.into_iter().map(Upstream::spec).collect();
        self.platform.put_hosts(&config::Hosts { upstreams, entries: Vec::new() }).await;
    }

    /// Starts callers that generate all of [`TRAFFIC`] for the given duration.
    pub(super) async fn start_callers(&self, seed: u64, duration: Duration) -> Vec<Process> {
        let mut callers = Vec::new();
        for (i, (path, method, rate)) in TRAFFIC.iter().enumerate() {
            let mut args = Vec::new();
            for daemon in &self.daemons {
                args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
            }
            let calls = (rate * duration.as_secs_f64()) as usize;
            for (flag, value) in [
                ("--calls", calls.to_string()),
                ("--rate", rate.to_string()),
                ("--path", (*path).to_owned()),
                ("--method", (*method).to_owned()),
                ("--seed", (seed * 10 + i as u64).to_string()),
            ] {
                args.extend([flag.to_owned(), value]);
            }
            callers.push(cluster::start_callers(&args).await);
        }
        callers
    }

    /// Starts a move to the new version and returns its deadline.
    pub(super) async fn start_move(&self) -> Duration {
        let move_deadline = moves::since_epoch() + MOVE_DURATION;
        let order = admin::moves::Start {
            to: "v2".parse().expect("a name"),
            from: None,
            deadline: move_deadline,
        };
        let body = serde_json::to_vec(&order).expect("plain data");
        let response =
            self.daemons[0].call_admin(http::Method::POST, "/v1/moves/catalogo", body).await;
        assert!(response.status.is_success(), "{:?}", response.body);
        move_deadline
    }

    /// Returns the number of repeated executions of calls that may be executed at most once.
    pub(super) async fn count_repeated_executions(&self) -> usize {
        let mut runs: IndexMap<String, usize> = IndexMap::new();
        for upstream in self.old.iter().chain(&self.new) {
            for key in upstream.records().await.into_iter().filter_map(|record| record.key) {
                *runs.entry(key).or_default() += 1;
            }
        }
        runs.values().map(|runs| runs - 1).sum()
    }
}

/// Returns the move's status from one host, or `None` if the host reports none.
pub(super) async fn status(daemon: &Daemon) -> Option<admin::moves::Status> {
    let response = daemon.call_admin(http::Method::GET, "/v1/moves", Vec::new()).await;
    let all: IndexMap<String, admin::moves::Status> =
        serde_json::from_slice(&response.body).ok()?;
    all.into_values().next()
}

/// The combined results of several processes of callers.
#[derive(Debug, Default)]
pub(super) struct Load {
    pub(super) calls: usize,
    pub(super) failed: usize,
    pub(super) failures: IndexMap<String, usize>,
    pub(super) wrong: usize,
    pub(super) p99_us: u64,
}

/// Waits for callers to exit and combines their summaries.
pub(super) async fn wait_for_callers(callers: Vec<Process>, limit: Duration) -> Load {
    let mut load = Load::default();
    for mut process in callers {
        assert_eq!(process.wait(limit).await, Some(true), "the callers did not exit successfully");
        let summary: caller::Summary = cluster::summary(&process);
        load.calls += summary.calls;
        load.failed += summary.failed.values().sum::<usize>();
        for (kind, count) in summary.failed {
            *load.failures.entry(kind).or_default() += count;
        }
        load.wrong += summary.wrong;
        load.p99_us = load.p99_us.max(summary.latency.p99_us);
    }
    load
}

/// The result of one move.
#[derive(Debug)]
struct Outcome {
    phase: Option<moves::Phase>,
    /// Time from completion to the deadline, in milliseconds; negative if completed late.
    ahead_ms: i64,
    before: Load,
    during: Load,
    repeated_executions: usize,
    /// Log lines of the coordinators: time, event, and share or reason.
    move_events: Vec<String>,
}

async fn run_move(seed: u64, kills_coordinator: bool) -> Outcome {
    let mut setup = Setup::start(seed, 4, true).await;
    let before =
        wait_for_callers(setup.start_callers(seed, BEFORE_DURATION).await, BEFORE_DURATION * 5)
            .await;
    let callers = setup.start_callers(seed + 1, MOVE_DURATION + AFTER_DURATION).await;
    let deadline = setup.start_move().await;
    let end = deadline + AFTER_DURATION - Duration::from_millis(500);
    let (mut has_killed, mut done_at, mut phase) = (!kills_coordinator, None, None);
    while moves::since_epoch() < end && done_at.is_none() {
        monoio::time::sleep(Duration::from_millis(100)).await;
        if !has_killed && moves::since_epoch() + MOVE_DURATION > deadline + KILL_AFTER {
            has_killed = true;
            if let Some(i) = find_coordinator(&setup.daemons).await {
                setup.daemons[i].process.signal(Signal::Kill);
                setup.daemons.remove(i);
            }
        }
        let Some(status) = status(&setup.daemons[0]).await else { continue };
        if matches!(status.current.phase, moves::Phase::Done) {
            done_at = Some(moves::since_epoch());
        }
        phase = Some(status.current.phase);
    }
    let during = wait_for_callers(callers, MOVE_DURATION).await;
    let done_at = done_at.unwrap_or_else(moves::since_epoch);
    let ahead_ms = deadline.as_millis() as i64 - done_at.as_millis() as i64;
    let repeated_executions = setup.count_repeated_executions().await;
    let move_events = setup.daemons.iter().flat_map(move_events).collect();
    Outcome { phase, ahead_ms, before, during, repeated_executions, move_events }
}

/// Returns the steps and holds of moves that a host has logged.
fn move_events(daemon: &Daemon) -> Vec<String> {
    let lines = daemon.process.lines().into_iter();
    let lines = lines.filter(|line| {
        ["move_step", "move_held", "move_done", "moves_steering", "move_step_failed"]
            .iter()
            .any(|event| line["event"] == *event)
    });
    let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_owned();
    let describe = |line: serde_json::Value| {
        let at = text(&line["timestamp"]);
        let details = [&line["share"], &line["reason"], &line["steers"], &line["error"]];
        let details =
            details.into_iter().find(|value| !value.is_null()).cloned().unwrap_or_default();
        format!("{} {} {details}", at.get(14..21).unwrap_or_default(), text(&line["event"]))
    };
    lines.map(describe).collect()
}

/// Returns the index of the host that is the coordinator.
async fn find_coordinator(daemons: &[Daemon]) -> Option<usize> {
    for (i, daemon) in daemons.iter().enumerate() {
        if status(daemon).await.is_some_and(|status| status.is_coordinator) {
            return Some(i);
        }
    }
    None
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("move-good", seed);
    let (undisturbed, killed) =
        futures_util::future::join(run_move(seed, false), run_move(seed + 50, true)).await;
    for (name, outcome) in [("calm", &undisturbed), ("steering_host_killed", &killed)] {
        report.figure(&format!("{name}_phase"), format!("{:?}", outcome.phase));
        report.figure(&format!("{name}_done_ahead_ms"), outcome.ahead_ms);
        report.figure(&format!("{name}_calls"), outcome.during.calls);
        report.figure(&format!("{name}_failed"), outcome.during.failed);
        report.figure(&format!("{name}_failures"), &outcome.during.failures);
        report.figure(&format!("{name}_p99_us"), outcome.during.p99_us);
        report.figure(&format!("{name}_steps"), &outcome.move_events);
        report.baseline(&format!("{name}_p99_us_before"), outcome.before.p99_us);
        let in_time = outcome.phase == Some(moves::Phase::Done) && outcome.ahead_ms >= 0;
        report.target(&format!("{name}_done_in_time"), true, in_time);
        report.target(&format!("{name}_wrong"), 0, outcome.during.wrong == 0);
        report.target(&format!("{name}_double_runs"), 0, outcome.repeated_executions == 0);
    }
    report.target("calm_failed", 0, undisturbed.during.failed == 0);
    report
}

impl Daemon {
    /// Waits until this daemon knows at least `count` upstreams.
    ///
    /// # Panics
    ///
    /// Panics if it does not know them within 10 s.
    pub async fn wait_for_upstreams(&self, count: usize) {
        let until = Instant::now() + LIST_TIMEOUT;
        loop {
            let status = self.status().await;
            if status.services.iter().map(|s| s.upstreams.len()).sum::<usize>() >= count {
                return;
            }
            assert!(Instant::now() < until, "{} knows fewer than {count} upstreams", self.name);
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
