//! `lease`: the holder of the coordinator's lease is paused until after the lease expires, and
//! resumed after another coordinator has taken over. Its late writes have to be rejected. In the
//! baseline, writes do not depend on the lease.

use std::time::{Duration, Instant};

use basilhaven::{commit, lease};

use crate::cluster::Platform;
use crate::process::{self, Process, Signal};
use crate::report::Report;
use crate::standin::platform::{Control, WriteRecord};

/// The number of holders that are paused, one after another.
const ROUNDS: usize = 6;

/// The duration of a lease, in milliseconds.
const DURATION_MS: u64 = 1_000;

/// The limit on the time from pausing a holder until another one holds the lease, in milliseconds:
/// the duration of the lease, and one second more.
const MAX_TAKEOVER_MS: u64 = DURATION_MS + 1_000;

/// The limit on waiting for another holder.
const WAIT_TIMEOUT: Duration = Duration::from_secs(8);

/// The time for which a resumed holder can attempt late writes.
const RESUMED_DURATION: Duration = Duration::from_millis(400);

/// The share of writes whose response is lost.
const LOST_RESPONSES_SHARE: f64 = 0.1;

/// The measurements of one set of coordinators.
struct Outcome {
    writes: usize,
    late_writes: usize,
    takeovers_ms: Vec<u64>,
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("lease", seed);
    let fenced = measure(seed, &[]).await;
    let unfenced = measure(seed, &["--unfenced"]).await;
    let slowest = fenced.takeovers_ms.iter().max().copied().unwrap_or(u64::MAX);
    report.figure("writes", fenced.writes);
    report.figure("late_writes", fenced.late_writes);
    report.figure("takeovers_ms", &fenced.takeovers_ms);
    report.baseline("unfenced_writes", unfenced.writes);
    report.baseline("unfenced_late_writes", unfenced.late_writes);
    report.target("late_writes", 0, fenced.late_writes == 0);
    report.target("takeover_ms", MAX_TAKEOVER_MS, slowest <= MAX_TAKEOVER_MS);
    report.target("rounds", ROUNDS, fenced.takeovers_ms.len() == ROUNDS);
    report
}

async fn measure(seed: u64, extra_args: &[&str]) -> Outcome {
    let mut random = fastrand::Rng::with_seed(seed);
    let platform = Platform::start(&["--seed", &seed.to_string()]).await;
    let control = Control { lose_answers: Some(LOST_RESPONSES_SHARE), ..Control::default() };
    platform.control(&control).await;
    let mut coordinators = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        coordinators.push((name, start_coordinator(name, &platform, extra_args).await));
    }
    let mut takeovers_ms = Vec::new();
    for _ in 0..ROUNDS {
        let Some(holder) = wait_for_holder(&platform, None).await else { break };
        monoio::time::sleep(Duration::from_millis(random.u64(100..300))).await;
        let paused = coordinators.iter().find(|(name, _)| *name == holder);
        let (_, process) = paused.expect("a coordinator holds the lease");
        process.signal(Signal::Stop);
        let started = Instant::now();
        let next_holder = wait_for_holder(&platform, Some(&holder)).await;
        let takeover_ms = started.elapsed().as_millis() as u64;
        // Lets the next holder write before the paused one is resumed.
        monoio::time::sleep(Duration::from_millis(random.u64(0..300))).await;
        process.signal(Signal::Continue);
        monoio::time::sleep(RESUMED_DURATION).await;
        if next_holder.is_some() {
            takeovers_ms.push(takeover_ms);
        }
    }
    let writes = platform.writes().await;
    let move_writes = writes.iter().filter(|written| written.key == commit::MOVES_KEY);
    Outcome { writes: move_writes.count(), late_writes: count_late_writes(&writes), takeovers_ms }
}

async fn start_coordinator(name: &str, platform: &Platform, extra_args: &[&str]) -> Process {
    let address = platform.address.to_string();
    let duration = DURATION_MS.to_string();
    let mut args =
        vec!["steerer", "--platform", &*address, "--name", name, "--duration-ms", &*duration];
    args.extend_from_slice(extra_args);
    let args: Vec<String> = args.into_iter().map(str::to_owned).collect();
    Process::start(&process::program("basilhaven-bench"), &args, &[]).await
}

/// Waits until the row of the lease contains a holder other than `other`, and returns it; `None` on
/// time-out.
async fn wait_for_holder(platform: &Platform, other: Option<&str>) -> Option<String> {
    let until = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < until {
        let writes = platform.writes().await;
        let holder = writes.iter().rev().find_map(holder_of);
        if holder.is_some() && holder.as_deref() != other {
            return holder;
        }
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}

fn holder_of(written: &WriteRecord) -> Option<String> {
    if written.key != lease::KEY {
        return None;
    }
    let stored: lease::Row = serde_json::from_value(written.value.clone()).ok()?;
    stored.holder.map(|holder| holder.name.to_string())
}

/// Counts the writes to the moves by a host that was not the holder in the row of the lease when
/// the write took effect.
fn count_late_writes(writes: &[WriteRecord]) -> usize {
    let mut holder = None;
    let mut late_writes = 0;
    for written in writes {
        if let Some(next) = holder_of(written) {
            holder = Some(next);
        } else if written.key == commit::MOVES_KEY
            && written.value["by"].as_str() != holder.as_deref()
        {
            late_writes += 1;
        }
    }
    late_writes
}
