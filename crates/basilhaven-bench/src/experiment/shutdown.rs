//! `shutdown`: every host is replaced under load, one after another, with a graceful shutdown. In
//! the baseline, hosts are killed.

use std::time::{Duration, Instant};

use crate::cluster::{self, Daemon, Upstream};
use crate::process::{Process, Signal};
use crate::report::Report;
use crate::standin::caller;

/// The number of hosts that are replaced.
const HOSTS: usize = 6;

/// The number of hosts that are killed and replaced in the baseline.
const KILLED_HOSTS: usize = 2;

/// The limit on waiting until a host has stopped, or until a new host knows all others.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// The limit on waiting until callers exit.
const CALLERS_TIMEOUT: Duration = Duration::from_secs(60);

/// The arguments of the caller processes, and their calls per second.
const LOADS: [(&[&str], f64); 3] = [
    (&["--method", "GET"], 250.0),
    (&["--method", "POST", "--path", "/reservations"], 100.0),
    (&["--len", "2000000"], 4.0),
];

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("shutdown", seed);
    let upstreams = start_upstreams().await;
    let args = daemon_args(&upstreams);
    let data_centres = ["milano-a", "torino-b", "bergamo-c"];
    let data_centres: Vec<&str> = (0..HOSTS).map(|i| data_centres[i % 3]).collect();
    let mut daemons = Daemon::start_all(&data_centres, &args).await;

    let callers = start_callers(&daemons, Duration::from_secs(14), seed).await;
    let mut longest_stop = Duration::ZERO;
    for (i, data_centre) in data_centres.iter().enumerate() {
        let new = start_replacement(&daemons, &format!("new-{}", i + 1), data_centre, &args).await;
        let mut old = daemons.remove(0);
        daemons.push(new);
        old.process.signal(Signal::Terminate);
        let started = Instant::now();
        let has_succeeded = old.process.wait(STOP_TIMEOUT).await;
        longest_stop = longest_stop.max(started.elapsed());
        report.target(&format!("exit_of_{}", old.name), "success", has_succeeded == Some(true));
    }
    let (calls, answered, wrong, failed) = wait_for_callers(callers).await;
    report.figure("calls", calls);
    report.figure("failed", &failed);
    report.figure("longest_stop_ms", longest_stop.as_millis());
    report.target("answered", calls, answered == calls);
    report.target("wrong", 0, wrong == 0);

    let callers = start_callers(&daemons, Duration::from_secs(6), seed).await;
    for (i, data_centre) in data_centres.iter().take(KILLED_HOSTS).enumerate() {
        let old = daemons.remove(0);
        old.process.signal(Signal::Kill);
        let new =
            start_replacement(&daemons, &format!("newer-{}", i + 1), data_centre, &args).await;
        daemons.push(new);
        monoio::time::sleep(Duration::from_secs(1)).await;
    }
    let (calls, answered, _, failed) = wait_for_callers(callers).await;
    report.baseline("hosts_killed", KILLED_HOSTS);
    report.baseline("calls", calls);
    report.baseline("answered", answered);
    report.baseline("failed", failed);
    report
}

async fn start_upstreams() -> Vec<Upstream> {
    let mut upstreams = Vec::new();
    for i in 0..6 {
        let data_centre = ["milano-a", "torino-b", "bergamo-c"][i % 3];
        let args = ["--service-us", "8000"];
        let name = format!("catalogo-{}", i + 1);
        upstreams.push(Upstream::start("catalogo", &name, data_centre, &args).await);
    }
    upstreams
}

fn daemon_args(upstreams: &[Upstream]) -> Vec<String> {
    let mut args = ["--entry-ttl-ms", "300", "--log", "info"].map(str::to_owned).to_vec();
    for upstream in upstreams {
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
    }
    args
}

async fn start_callers(daemons: &[Daemon], duration: Duration, seed: u64) -> Vec<Process> {
    let mut callers = Vec::new();
    for (load, rate) in LOADS {
        let mut args: Vec<String> = load.iter().map(|a| (*a).to_owned()).collect();
        for daemon in daemons {
            args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
        }
        let calls = (rate * duration.as_secs_f64()) as usize;
        args.extend(["--calls".to_owned(), calls.to_string()]);
        args.extend(["--rate".to_owned(), rate.to_string()]);
        args.extend(["--seed".to_owned(), seed.to_string()]);
        callers.push(cluster::start_callers(&args).await);
    }
    callers
}

/// Starts a host with two of the present hosts as seeds, and waits until it knows all of them.
async fn start_replacement(
    daemons: &[Daemon],
    name: &str,
    data_centre: &str,
    args: &[String],
) -> Daemon {
    let mut args = args.to_vec();
    for peer in daemons.iter().rev().take(2) {
        args.extend(["--seed".to_owned(), peer.peer.to_string()]);
    }
    let daemon = Daemon::start(name, data_centre, &args).await;
    let until = Instant::now() + STOP_TIMEOUT;
    while daemon.advertised_hosts().await.len() < daemons.len() {
        assert!(Instant::now() < until, "{name} does not know all hosts");
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
    daemon
}

/// Waits for callers to exit. Returns the number of calls, of answered calls and of wrong
/// responses, and the failures by kind.
async fn wait_for_callers(
    callers: Vec<Process>,
) -> (usize, usize, usize, indexmap::IndexMap<String, usize>) {
    let (mut calls, mut answered, mut wrong) = (0, 0, 0);
    let mut failed = indexmap::IndexMap::new();
    for mut process in callers {
        assert_eq!(
            process.wait(CALLERS_TIMEOUT).await,
            Some(true),
            "the callers did not exit successfully"
        );
        let summary: caller::Summary = cluster::summary(&process);
        calls += summary.calls;
        answered += summary.answered;
        wrong += summary.wrong;
        for (kind, count) in summary.failed {
            *failed.entry(kind).or_default() += count;
        }
    }
    (calls, answered, wrong, failed)
}
