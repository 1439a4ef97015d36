//! `storm`: calls nested 8 levels deep whose last level (the leaf) fails, and the number of
//! attempts that reach it. In the baseline, every level retries.

use std::time::Duration;

use basilhaven::{config, profile};

use crate::cluster::{self, ConfigFile, Daemon, Upstream};
use crate::report::Report;
use crate::standin::upstream;

/// The number of levels of a call.
const DEPTH: usize = 8;

/// The number of calls.
const CALLS: usize = 1_000;

/// The number of calls in the baseline, each of which causes hundreds of attempts at the leaf.
const BASELINE_CALLS: usize = 10;

/// The limit on attempts at the leaf per call.
const MAX_ATTEMPTS_PER_CALL: f64 = 1.1;

/// Which processes retry a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Retries {
    /// The entry host at the failing level, within the retry budget.
    OneLevel,
    /// Every upstream and every entry host; each retries once.
    EveryLevel,
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("storm", seed);
    let attempts = measure(Retries::OneLevel, CALLS, seed).await;
    let baseline = measure(Retries::EveryLevel, BASELINE_CALLS, seed).await;
    let rounded = |attempts: f64| (attempts * 1e3).round() / 1e3;
    report.figure("calls", CALLS);
    report.figure("attempts_at_leaf_per_call", rounded(attempts));
    report.baseline("attempts_at_leaf_per_call", rounded(baseline));
    let is_within_limit = (1.0..=MAX_ATTEMPTS_PER_CALL).contains(&attempts);
    report.target("attempts_at_leaf_per_call", MAX_ATTEMPTS_PER_CALL, is_within_limit);
    report
}

/// Returns the number of attempts that reach the leaf per call.
async fn measure(retries: Retries, calls: usize, seed: u64) -> f64 {
    let is_baseline = retries == Retries::EveryLevel;
    let mut document = config::Document::default();
    let default = profile::Profile {
        retries: if is_baseline { 1 } else { 2 },
        retry_budget_percent: if is_baseline { 100 } else { 10 },
        hedge_budget_percent: 0,
        ..Default::default()
    };
    document.profiles.insert("default".parse().expect("a constant name"), default);
    let config = ConfigFile::new(&document);
    let mut args: Vec<String> = config.flag().to_vec();
    let mut upstreams = Vec::new();
    for level in 1..=DEPTH {
        let name = format!("u{level}");
        let service = format!("level-{level}");
        let upstream = Upstream::start(&service, &name, "milano-a", &["--slots", "512"]).await;
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
        upstreams.push(upstream);
    }
    let daemons = Daemon::start_all(&["milano-a", "torino-b", "bergamo-c"], &args).await;
    let entries: Vec<_> = daemons.iter().map(|daemon| daemon.callers).collect();
    for (i, upstream) in upstreams.iter().enumerate() {
        let nested = upstream::Nested {
            service: format!("level-{}", i + 2),
            entries: entries.clone(),
            copies_context: !is_baseline,
            attempts: if is_baseline { 2 } else { 1 },
        };
        let control = match i + 1 {
            DEPTH => {
                upstream::Control { spoil: Some(upstream::Fault::Reset), ..Default::default() }
            }
            _ => upstream::Control { nested: Some(nested), ..Default::default() },
        };
        upstream.control(&control).await;
    }
    let mut args = Vec::new();
    for entry in &entries {
        args.extend(["--entry".to_owned(), entry.to_string()]);
    }
    args.extend(["--service", "level-1"].map(str::to_owned));
    args.extend(["--calls".to_owned(), calls.to_string()]);
    args.extend(["--seed".to_owned(), seed.to_string()]);
    let summary = cluster::run_callers(&args, Duration::from_secs(40)).await;
    let leaf_attempts = upstreams.last().expect("eight levels").records().await.len();
    leaf_attempts as f64 / summary.calls as f64
}
