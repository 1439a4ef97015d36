//! A randomized soak: real hosts as processes, with faults that come in series and overlap.
//!
//! [`plan`] draws the faults from a seed, [`system`] carries them out from outside the hosts (signals, proxies,
//! stand-ins), [`caller`]s call all the while, and [`check`] judges what they got and what upstreams ran.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::advertised;
use basilhaven::gateway::directory;
use bpaf::Bpaf;
use indexmap::IndexMap;
use serde::Serialize;

pub mod caller;
pub mod check;
pub mod plan;
pub mod proxy;
pub mod system;

/// How often it is looked whether a step is due or a process has ended.
const STEP: Duration = Duration::from_millis(10);

/// How long the system may take to be whole again after the last fault (`RecoverS` of the users' bounds).
const RECOVER: Duration = Duration::from_secs(15);

/// Calls through each host that have to be answered then.
const LAST_CALLS: usize = 10;

/// The most that an upstream may still be working on when the callers have ended.
const QUIET_TIME: Duration = Duration::from_millis(1_500);

/// The first of the loopback networks that runs use, by seed.
const FIRST_NET: u64 = 100;

/// Networks that runs use.
const NETS: u64 = 100;

/// How a soak runs.
#[derive(Debug, Clone, Copy, Bpaf)]
pub struct Options {
    /// Seed of the faults
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// How long faults come, in seconds
    #[bpaf(long, argument("S"), fallback(20))]
    pub seconds: u64,
    /// Hosts
    #[bpaf(long, argument("N"), fallback(5))]
    pub hosts: usize,
    /// Upstreams of each of two services
    #[bpaf(long, argument("N"), fallback(4))]
    pub upstreams: usize,
    /// Callers
    #[bpaf(long, argument("N"), fallback(8))]
    pub callers: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options { seed: 1, seconds: 20, hosts: 5, upstreams: 4, callers: 8 }
    }
}

/// What a soak came to.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Steps that were taken.
    pub steps: usize,
    /// Processes of hosts that ran.
    pub processes: usize,
    /// Calls by what became of them: a status, `cut` or `timed-out`.
    pub calls: IndexMap<String, usize>,
    /// What did not hold.
    pub findings: Vec<check::Violation>,
    /// Where the logs of the hosts are, if something did not hold.
    pub logs: Option<std::path::PathBuf>,
}

/// Runs a soak.
pub async fn run(options: Options) -> Outcome {
    let size = plan::Size { hosts: options.hosts, upstreams: options.upstreams };
    let net = (FIRST_NET + options.seed % NETS) as u8;
    let mut system = system::System::start(size, net).await;
    let mut late = Vec::new();
    if !becomes_whole(&mut system).await {
        late.push(finding("hosts come up", "not whole at the start".to_owned()));
    }
    let steps = plan::draw(options.seed, size, Duration::from_secs(options.seconds));
    let callers = caller::Callers::start(options.callers, options.seed, &system.callers);
    let started = Instant::now();
    for planned in &steps {
        while started.elapsed() < planned.at {
            system.supervise().await;
            monoio::time::sleep(STEP).await;
        }
        system.take(planned.step);
    }
    system.heal();
    if !becomes_whole(&mut system).await {
        late.push(finding("the system recovers", format!("not whole after {RECOVER:?}")));
    }
    let mut records = callers.finish();
    monoio::time::sleep(QUIET_TIME).await;
    records.extend(last_calls(&system, options.seed, &mut late));
    system.close();
    let mut findings = check::verify(&records, &system.upstreams, &system.history);
    findings.extend(late);
    let logs = (!findings.is_empty()).then(|| write_logs(options.seed, &system.history));
    Outcome {
        seed: options.seed,
        steps: steps.len(),
        processes: system.history.runs.len(),
        calls: count(&records),
        findings,
        logs,
    }
}

fn finding(property: &'static str, details: String) -> check::Violation {
    check::Violation { property, details }
}

/// Waits until all hosts are ready, each knows all others, and the directories name the same ones, as many as
/// the upstreams need.
async fn becomes_whole(system: &mut system::System) -> bool {
    let until = Instant::now() + RECOVER;
    while Instant::now() < until {
        system.supervise().await;
        let count = system.hosts().count();
        let named_count =
            count.min(advertised::required_count(system.slots())).min(directory::MAX_ADDRESSES);
        let named: BTreeSet<SocketAddr> = system
            .hosts()
            .next()
            .map(|host| host.resolve().into_iter().collect())
            .unwrap_or_default();
        let is_whole = |host: &crate::gateway::Host| {
            host.is_ready()
                && host.live_hosts() == Some(count)
                && host.resolve().into_iter().collect::<BTreeSet<_>>() == named
        };
        if system.is_complete() && named.len() == named_count && system.hosts().all(is_whole) {
            return true;
        }
        monoio::time::sleep(STEP).await;
    }
    false
}

/// Makes calls through each host; all of them have to be answered by an upstream.
fn last_calls(
    system: &system::System,
    seed: u64,
    late: &mut Vec<check::Violation>,
) -> Vec<caller::Record> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut records = Vec::new();
    for (number, host) in system.hosts().enumerate() {
        let Ok(mut stream) = host.open() else {
            late.push(finding("the system recovers", format!("host {number} takes no connection")));
            continue;
        };
        for call in 0..LAST_CALLS {
            let id = format!("last-{number}-{call}");
            let record = caller::call(&mut stream, number, id, &mut random);
            if record.status() != 200 {
                late.push(finding("the system recovers", format!("{record:?}")));
            }
            records.push(record);
        }
    }
    records
}

fn count(records: &[caller::Record]) -> IndexMap<String, usize> {
    let mut calls: IndexMap<String, usize> = IndexMap::new();
    for record in records {
        let end = match &record.end {
            caller::End::Answered(answer) => answer.status.to_string(),
            caller::End::Cut => "cut".to_owned(),
            caller::End::TimedOut => "timed-out".to_owned(),
        };
        *calls.entry(end).or_default() += 1;
    }
    calls.sort_keys();
    calls
}

/// Writes what each process logged to a file of its own.
fn write_logs(seed: u64, history: &system::History) -> std::path::PathBuf {
    let directory = crate::process::temporary_file(&format!("soak-{seed}"));
    let written = std::fs::create_dir(&directory).and_then(|()| {
        for (number, run) in history.runs.iter().enumerate() {
            let lines: Vec<String> = run.lines.iter().map(ToString::to_string).collect();
            let file = directory.join(format!("host-{}-run-{number}.log", run.host));
            std::fs::write(file, lines.join("\n"))?;
        }
        Ok(())
    });
    if let Err(error) = written {
        eprintln!("the logs of seed {seed} could not be written: {error}");
    }
    directory
}
