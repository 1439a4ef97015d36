//! `lease`: the holder of the steering lease is paused past its end, and resumed after another has
//! taken over.

use std::time::{Duration, Instant};

use basilhaven::{commit, lease};

use crate::cluster::Platform;
use crate::process::{self, Process, Signal};
use crate::report::Report;
use crate::standin::platform::{Control, WriteRecord};

/// Holders paused in turn.
const ROUNDS: usize = 6;

/// How long a lease lasts here, in milliseconds.
const DURATION_MS: u64 = 1_000;

/// How long after the end of a paused holder's lease another is to have it, at most, in milliseconds.
const MAX_TAKEOVER_MS: u64 = DURATION_MS + 1_000;

/// How long anything may take that is waited for.
const WAIT_LIMIT: Duration = Duration::from_secs(8);

/// How long a resumed holder is given to write late.
const RESUMED: Duration = Duration::from_millis(400);

/// The share of writes whose answer is lost.
const LOST_ANSWERS: f64 = 0.1;

/// What was seen of one set of steerers.
struct Seen {
    writes: usize,
    late: usize,
    takeovers_ms: Vec<u64>,
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("lease", seed);
    let fenced = steer(seed, &[]).await;
    let unfenced = steer(seed, &["--unfenced"]).await;
    let slowest = fenced.takeovers_ms.iter().max().copied().unwrap_or(u64::MAX);
    report.figure("writes", fenced.writes);
    report.figure("late_writes", fenced.late);
    report.figure("takeovers_ms", &fenced.takeovers_ms);
    report.baseline("unfenced_writes", unfenced.writes);
    report.baseline("unfenced_late_writes", unfenced.late);
    report.target("late_writes", 0, fenced.late == 0);
    report.target("takeover_ms", MAX_TAKEOVER_MS, slowest <= MAX_TAKEOVER_MS);
    report.target("rounds", ROUNDS, fenced.takeovers_ms.len() == ROUNDS);
    report
}

async fn steer(seed: u64, extra: &[&str]) -> Seen {
    let mut random = fastrand::Rng::with_seed(seed);
    let platform = Platform::start(&["--seed", &seed.to_string()]).await;
    let control = Control { lose_answers: Some(LOST_ANSWERS), ..Control::default() };
    platform.control(&control).await;
    let mut steerers = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        steerers.push((name, start(name, &platform, extra).await));
    }
    let mut takeovers_ms = Vec::new();
    for _ in 0..ROUNDS {
        let Some(holder) = wait_for_holder(&platform, None).await else { break };
        monoio::time::sleep(Duration::from_millis(random.u64(100..300))).await;
        let paused = steerers.iter().find(|(name, _)| *name == holder);
        let (_, process) = paused.expect("a steerer holds the lease");
        process.signal(Signal::Stop);
        let begun = Instant::now();
        let next = wait_for_holder(&platform, Some(&holder)).await;
        let took = begun.elapsed().as_millis() as u64;
        // The next holder writes before the paused one is resumed.
        monoio::time::sleep(Duration::from_millis(random.u64(0..300))).await;
        process.signal(Signal::Continue);
        monoio::time::sleep(RESUMED).await;
        if next.is_some() {
            takeovers_ms.push(took);
        }
    }
    let writes = platform.writes().await;
    let moves = writes.iter().filter(|written| written.key == commit::MOVES_KEY);
    Seen { writes: moves.count(), late: late(&writes), takeovers_ms }
}

async fn start(name: &str, platform: &Platform, extra: &[&str]) -> Process {
    let address = platform.address.to_string();
    let duration = DURATION_MS.to_string();
    let mut args =
        vec!["steerer", "--platform", &*address, "--name", name, "--duration-ms", &*duration];
    args.extend_from_slice(extra);
    let args: Vec<String> = args.into_iter().map(str::to_owned).collect();
    Process::start(&process::program("basilhaven-bench"), &args, &[]).await
}

/// The holder that the lease's row names, once it is another than `other`.
async fn wait_for_holder(platform: &Platform, other: Option<&str>) -> Option<String> {
    let until = Instant::now() + WAIT_LIMIT;
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

/// Steering writes by another host than the lease's row named when they took effect.
fn late(writes: &[WriteRecord]) -> usize {
    let mut holder = None;
    let mut late = 0;
    for written in writes {
        if let Some(next) = holder_of(written) {
            holder = Some(next);
        } else if written.key == commit::MOVES_KEY
            && written.value["by"].as_str() != holder.as_deref()
        {
            late += 1;
        }
    }
    late
}
