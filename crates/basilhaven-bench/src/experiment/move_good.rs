//! `move-good`: a good version gets all traffic by the set time, and no call is harmed.

use std::time::{Duration, Instant};

use basilhaven::moves;
use basilhaven::{admin, config};
use indexmap::IndexMap;

use crate::cluster::{self, Daemon, Platform, Upstream};
use crate::process::{Process, Signal};
use crate::report::Report;
use crate::standin::caller;

/// The time that the move is given.
pub(super) const GIVEN: Duration = Duration::from_secs(25);

/// The time that the load runs before the move.
const BEFORE: Duration = Duration::from_secs(3);

/// When the steering host is killed, after the move's start.
const KILL_AFTER: Duration = Duration::from_secs(8);

/// How long a host may take to know the platform's list.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the load goes on after the time that is given.
const AFTER: Duration = Duration::from_secs(3);

/// The traffic of the service: path, method and calls a second.
pub(super) const TRAFFIC: [(&str, &str, f64); 3] =
    [("/stock/17", "GET", 220.0), ("/prices/3", "GET", 120.0), ("/reserve", "POST", 60.0)];

/// A service with upstreams of two versions, its hosts and its platform.
pub(super) struct Setup {
    pub(super) platform: Platform,
    pub(super) old: Vec<Upstream>,
    pub(super) new: Vec<Upstream>,
    pub(super) daemons: Vec<Daemon>,
}

impl Setup {
    /// Starts `hosts` daemons and 3 upstreams of each version; those of the new one are listed when
    /// `lists_new`.
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
                // Without a move, the versions are not told apart.
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

    /// Has the platform list these upstreams.
    pub(super) async fn list(&self, upstreams: Vec<&Upstream>) {
        let upstreams = upstreams.into_iter().map(Upstream::spec).collect();
        self.platform.put_hosts(&config::Hosts { upstreams, entries: Vec::new() }).await;
    }

    /// Starts callers that make all of [`TRAFFIC`] for some time.
    pub(super) async fn load(&self, seed: u64, time: Duration) -> Vec<Process> {
        let mut callers = Vec::new();
        for (i, (path, method, rate)) in TRAFFIC.iter().enumerate() {
            let mut args = Vec::new();
            for daemon in &self.daemons {
                args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
            }
            let calls = (rate * time.as_secs_f64()) as usize;
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

    /// Orders a move to the new version, and returns when it is to be done.
    pub(super) async fn start_move(&self) -> Duration {
        let by = moves::since_epoch() + GIVEN;
        let order =
            admin::moves::Start { to: "v2".parse().expect("a name"), from: None, deadline: by };
        let body = serde_json::to_vec(&order).expect("plain data");
        let response =
            self.daemons[0].call_admin(http::Method::POST, "/v1/moves/catalogo", body).await;
        assert!(response.status.is_success(), "{:?}", response.body);
        by
    }

    /// Runs of calls that may run once only, beyond the first of each.
    pub(super) async fn double_runs(&self) -> usize {
        let mut runs: IndexMap<String, usize> = IndexMap::new();
        for upstream in self.old.iter().chain(&self.new) {
            for key in upstream.records().await.into_iter().filter_map(|record| record.key) {
                *runs.entry(key).or_default() += 1;
            }
        }
        runs.values().map(|runs| runs - 1).sum()
    }
}

/// The move as one host sees it.
pub(super) async fn status(daemon: &Daemon) -> Option<admin::moves::Status> {
    let response = daemon.call_admin(http::Method::GET, "/v1/moves", Vec::new()).await;
    let all: IndexMap<String, admin::moves::Status> =
        serde_json::from_slice(&response.body).ok()?;
    all.into_values().next()
}

/// The summaries of several callers.
#[derive(Debug, Default)]
pub(super) struct Load {
    pub(super) calls: usize,
    pub(super) failed: usize,
    pub(super) kinds: IndexMap<String, usize>,
    pub(super) wrong: usize,
    pub(super) p99_us: u64,
}

/// Waits for callers, and adds up what became of their calls.
pub(super) async fn finish(callers: Vec<Process>, limit: Duration) -> Load {
    let mut load = Load::default();
    for mut process in callers {
        assert_eq!(process.wait(limit).await, Some(true), "the callers did not end well");
        let summary: caller::Summary = cluster::summary(&process);
        load.calls += summary.calls;
        load.failed += summary.failed.values().sum::<usize>();
        for (kind, count) in summary.failed {
            *load.kinds.entry(kind).or_default() += count;
        }
        load.wrong += summary.wrong;
        load.p99_us = load.p99_us.max(summary.latency.p99_us);
    }
    load
}

/// What became of one move.
#[derive(Debug)]
struct Outcome {
    phase: Option<moves::Phase>,
    /// How long before the set time it was done, in milliseconds; negative when late.
    ahead_ms: i64,
    before: Load,
    during: Load,
    doubles: usize,
    /// What the steering hosts logged: time, event, and share or reason.
    steps: Vec<String>,
}

async fn run_move(seed: u64, kills: bool) -> Outcome {
    let mut setup = Setup::start(seed, 4, true).await;
    let before = finish(setup.load(seed, BEFORE).await, BEFORE * 5).await;
    let callers = setup.load(seed + 1, GIVEN + AFTER).await;
    let by = setup.start_move().await;
    let end = by + AFTER - Duration::from_millis(500);
    let (mut killed, mut done_at, mut phase) = (!kills, None, None);
    while moves::since_epoch() < end && done_at.is_none() {
        monoio::time::sleep(Duration::from_millis(100)).await;
        if !killed && moves::since_epoch() + GIVEN > by + KILL_AFTER {
            killed = true;
            if let Some(i) = steering(&setup.daemons).await {
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
    let during = finish(callers, GIVEN).await;
    let done_at = done_at.unwrap_or_else(moves::since_epoch);
    let ahead_ms = by.as_millis() as i64 - done_at.as_millis() as i64;
    let doubles = setup.double_runs().await;
    let steps = setup.daemons.iter().flat_map(steps).collect();
    Outcome { phase, ahead_ms, before, during, doubles, steps }
}

/// The steps and waits that a host has logged.
fn steps(daemon: &Daemon) -> Vec<String> {
    let lines = daemon.process.lines().into_iter();
    let lines = lines.filter(|line| {
        ["move_step", "move_held", "move_done", "moves_steering", "move_step_failed"]
            .iter()
            .any(|event| line["event"] == *event)
    });
    let text = |value: &serde_json::Value| value.as_str().unwrap_or_default().to_owned();
    let shown = |line: serde_json::Value| {
        let at = text(&line["timestamp"]);
        let what = [&line["share"], &line["reason"], &line["steers"], &line["error"]];
        let what = what.into_iter().find(|value| !value.is_null()).cloned().unwrap_or_default();
        format!("{} {} {what}", at.get(14..21).unwrap_or_default(), text(&line["event"]))
    };
    lines.map(shown).collect()
}

/// The host that steers, by its place.
async fn steering(daemons: &[Daemon]) -> Option<usize> {
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
    let (calm, killed) =
        futures_util::future::join(run_move(seed, false), run_move(seed + 50, true)).await;
    for (leg, outcome) in [("calm", &calm), ("steering_host_killed", &killed)] {
        report.figure(&format!("{leg}_phase"), format!("{:?}", outcome.phase));
        report.figure(&format!("{leg}_done_ahead_ms"), outcome.ahead_ms);
        report.figure(&format!("{leg}_calls"), outcome.during.calls);
        report.figure(&format!("{leg}_failed"), outcome.during.failed);
        report.figure(&format!("{leg}_failures"), &outcome.during.kinds);
        report.figure(&format!("{leg}_p99_us"), outcome.during.p99_us);
        report.figure(&format!("{leg}_steps"), &outcome.steps);
        report.baseline(&format!("{leg}_p99_us_before"), outcome.before.p99_us);
        let in_time = outcome.phase == Some(moves::Phase::Done) && outcome.ahead_ms >= 0;
        report.target(&format!("{leg}_done_in_time"), true, in_time);
        report.target(&format!("{leg}_wrong"), 0, outcome.during.wrong == 0);
        report.target(&format!("{leg}_double_runs"), 0, outcome.doubles == 0);
    }
    report.target("calm_failed", 0, calm.during.failed == 0);
    report
}

impl Daemon {
    /// Waits until this daemon knows so many upstreams.
    ///
    /// # Panics
    ///
    /// It does not get to know them in time.
    pub async fn wait_for_upstreams(&self, count: usize) {
        let until = Instant::now() + LIST_TIMEOUT;
        loop {
            let status = self.status().await;
            if status.services.iter().map(|s| s.upstreams.len()).sum::<usize>() >= count {
                return;
            }
            assert!(Instant::now() < until, "{} knows too few upstreams", self.name);
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
