//! A randomized soak test: real hosts as processes, under a series of overlapping faults.
//!
//! [`plan`] generates the faults from a seed, and [`system`] injects them from outside the hosts
//! (signals, proxies, stand-ins). [`caller`]s make calls throughout, and [`check`] compares what
//! they received with what the upstreams executed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::advertised;
use basilhaven::gateway::directory;
use bpaf::Bpaf;
use indexmap::IndexMap;
use serde::Serialize;

use crate::crowd::{self, Crowd};

pub mod caller;
pub mod check;
pub mod delay;
pub mod links;
pub mod plan;
pub mod proxy;
pub mod sockets;
pub mod system;

/// How often due steps, exited processes and readiness are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long the system may take to converge after the last fault (`RecoverS` of the users' bounds).
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Calls made through each host after recovery, all of which must succeed.
const FINAL_CALLS: usize = 10;

/// The connections of a crowd, to all hosts together, and the limits of a host beside it.
const CROWD_CONNECTIONS: usize = 200;
const LIMITS_BESIDE_CROWD: system::Limits =
    &[("BASILHAVEN_MEMORY_MB", "64"), ("BASILHAVEN_MAX_FDS", "800")];

/// The longest time that an upstream may still execute a call after the callers have stopped.
const DRAIN_DELAY: Duration = Duration::from_millis(1_500);

/// The third octet of the first loopback network that soaks use; the seed selects the network.
const FIRST_NET: u64 = 100;

/// The index of loopback networks to choose from.
const NET_COUNT: u64 = 100;

/// Command-line options of the soak.
#[derive(Debug, Clone, Copy, Bpaf)]
pub struct Options {
    /// Seed of the faults
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// How long faults are injected, in seconds
    #[bpaf(long, argument("S"), fallback(20))]
    pub seconds: u64,
    /// Number of hosts
    #[bpaf(long, argument("N"), fallback(5))]
    pub hosts: usize,
    /// Number of upstreams of each of the two services
    #[bpaf(long, argument("N"), fallback(4))]
    pub upstreams: usize,
    /// Number of callers
    #[bpaf(long, argument("N"), fallback(8))]
    pub callers: usize,
    /// What clients do that hold connections of the hosts all the time, beside the callers
    #[bpaf(long, argument("PROFILE"))]
    pub crowd: Option<crowd::Profile>,
}

impl Default for Options {
    fn default() -> Options {
        Options { seed: 1, seconds: 20, hosts: 5, upstreams: 4, callers: 8, crowd: None }
    }
}

/// The result of a soak.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// The seed of the faults.
    pub seed: u64,
    /// The index of steps in the plan.
    pub steps: usize,
    /// The index of host processes that were started.
    pub processes: usize,
    /// The index of calls by outcome: a status code, `cut` or `timed-out`.
    pub calls: IndexMap<String, usize>,
    /// What the crowd has met, if there was one.
    pub crowd: Option<crowd::Summary>,
    /// The properties that were violated.
    pub findings: Vec<check::Violation>,
    /// The longest delay of a thread of the soak itself, in milliseconds: what the machine did to
    /// all processes.
    pub own_delay_ms: u64,
    /// The longest delay of a heartbeat of each host process that ran to the end, in milliseconds.
    pub host_delays_ms: Vec<u64>,
    /// The directory with the hosts' logs, if a property was violated.
    pub logs: Option<std::path::PathBuf>,
}

/// Runs a soak test.
pub async fn run(options: Options) -> Outcome {
    let size = plan::Size { hosts: options.hosts, upstreams: options.upstreams };
    let net = (FIRST_NET + options.seed % NET_COUNT) as u8;
    let delay = delay::Monitor::start();
    let limits = options.crowd.map_or(&[][..], |_| LIMITS_BESIDE_CROWD);
    let mut system = system::System::start(size, net, limits).await;
    let mut violations = Vec::new();
    if !converges(&mut system).await {
        violations.push(violation("the hosts start", "not converged at the start".to_owned()));
    }
    let steps = plan::generate(options.seed, size, Duration::from_secs(options.seconds));
    let callers = caller::Callers::start(options.callers, options.seed, &system.callers);
    let start_crowd = |profile| Crowd::start(&system.callers, profile, CROWD_CONNECTIONS);
    let crowd = options.crowd.map(start_crowd);
    let started = Instant::now();
    for event in &steps {
        while started.elapsed() < event.at {
            system.supervise().await;
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        system.apply(event.step);
    }
    system.end_faults();
    if !converges(&mut system).await {
        violations.push(violation(
            "the system recovers",
            format!("not converged after {RECOVERY_TIMEOUT:?}"),
        ));
    }
    let mut records = callers.finish();
    let crowd = crowd.map(Crowd::finish);
    monoio::time::sleep(DRAIN_DELAY).await;
    records.extend(final_calls(&system, options.seed, &mut violations));
    let delays = system.hosts().filter_map(|host| host.metric("basilhaven_longest_delay_seconds"));
    let host_delays_ms = delays.map(|seconds| (seconds * 1000.0) as u64).collect();
    system.collect_logs();
    let mut findings = check::verify(&records, &system.upstreams, &system.history);
    findings.extend(violations);
    let logs = (!findings.is_empty()).then(|| write_logs(options.seed, &system.history));
    Outcome {
        seed: options.seed,
        steps: steps.len(),
        processes: system.history.runs.len(),
        calls: count_by_outcome(&records),
        crowd,
        findings,
        own_delay_ms: delay.longest().as_millis() as u64,
        host_delays_ms,
        logs,
    }
}

fn violation(property: &'static str, details: String) -> check::Violation {
    check::Violation { property, details }
}

/// Waits until the system has converged: all hosts are ready, each counts all others as live, and
/// all directories return the same hosts, as many as the upstreams need. Returns whether it did in
/// time.
async fn converges(system: &mut system::System) -> bool {
    let until = Instant::now() + RECOVERY_TIMEOUT;
    while Instant::now() < until {
        system.supervise().await;
        let count = system.hosts().count();
        let expected_count = count
            .min(advertised::required_count(system.total_slots()))
            .min(directory::MAX_ADDRESSES);
        let advertised_hosts: BTreeSet<SocketAddr> = system
            .hosts()
            .next()
            .map(|host| host.resolve().into_iter().collect())
            .unwrap_or_default();
        let has_converged = |host: &crate::gateway::Host| {
            host.is_ready()
                && host.live_hosts() == Some(count)
                && host.resolve().into_iter().collect::<BTreeSet<_>>() == advertised_hosts
        };
        if system.has_all_hosts()
            && advertised_hosts.len() == expected_count
            && system.hosts().all(has_converged)
        {
            return true;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Makes [`FINAL_CALLS`] calls through each host, and reports each that does not succeed.
fn final_calls(
    system: &system::System,
    seed: u64,
    violations: &mut Vec<check::Violation>,
) -> Vec<caller::Record> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut records = Vec::new();
    for (index, host) in system.hosts().enumerate() {
        let Ok(mut stream) = host.open() else {
            violations.push(violation(
                "the system recovers",
                format!("host {index} accepts no connection"),
            ));
            continue;
        };
        for call in 0..FINAL_CALLS {
            let id = format!("last-{index}-{call}");
            let record = caller::call(&mut stream, index, id, &mut random);
            if record.status() != 200 {
                violations.push(violation("the system recovers", format!("{record:?}")));
            }
            records.push(record);
        }
    }
    records
}

fn count_by_outcome(records: &[caller::Record]) -> IndexMap<String, usize> {
    let mut calls: IndexMap<String, usize> = IndexMap::new();
    for record in records {
        let end = match &record.end {
            caller::End::Answered(response) => response.status.to_string(),
            caller::End::Cut => "cut".to_owned(),
            caller::End::TimedOut => "timed-out".to_owned(),
        };
        *calls.entry(end).or_default() += 1;
    }
    calls.sort_keys();
    calls
}

/// Writes the log of each host process to its own file, and returns their directory.
fn write_logs(seed: u64, history: &system::History) -> std::path::PathBuf {
    let directory = crate::process::temporary_file(&format!("soak-{seed}"));
    let written = std::fs::create_dir(&directory).and_then(|()| {
        for (index, run) in history.runs.iter().enumerate() {
            let file = directory.join(format!("host-{}-run-{index}.log", run.host));
            std::fs::write(file, &run.log)?;
        }
        Ok(())
    });
    if let Err(error) = written {
        eprintln!("cannot write the host logs of seed {seed}: {error}");
    }
    directory
}
