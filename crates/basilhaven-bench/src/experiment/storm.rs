//! `storm`: calls 8 deep whose leaf fails, and how many attempts reach it.

use std::time::Duration;

use basilhaven::{config, profile};

use crate::cluster::{self, ConfigFile, Daemon, Upstream};
use crate::report::Report;
use crate::standin::upstream;

/// Levels that a call goes through.
const DEPTH: usize = 8;

/// Calls made.
const CALLS: usize = 1_000;

/// Calls made when every level retries: each makes some hundred attempts at the leaf.
const NAIVE_CALLS: usize = 10;

/// Attempts at the leaf for each call, at most.
const MAX_ATTEMPTS: f64 = 1.1;

/// Who retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Retrying {
    /// The entry host at the failing level, within the budget.
    OneLevel,
    /// Every upstream and every entry host, once.
    EveryLevel,
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("storm", seed);
    let attempts = leg(Retrying::OneLevel, CALLS, seed).await;
    let naive = leg(Retrying::EveryLevel, NAIVE_CALLS, seed).await;
    let rounded = |attempts: f64| (attempts * 1e3).round() / 1e3;
    report.figure("calls", CALLS);
    report.figure("attempts_at_leaf_per_call", rounded(attempts));
    report.baseline("attempts_at_leaf_per_call", rounded(naive));
    let held = (1.0..=MAX_ATTEMPTS).contains(&attempts);
    report.target("attempts_at_leaf_per_call", MAX_ATTEMPTS, held);
    report
}

/// Attempts that reach the leaf, for each call.
async fn leg(retrying: Retrying, calls: usize, seed: u64) -> f64 {
    let is_naive = retrying == Retrying::EveryLevel;
    let mut document = config::Document::default();
    let default = profile::Profile {
        retries: if is_naive { 1 } else { 2 },
        retry_budget_percent: if is_naive { 100 } else { 10 },
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
            copies_context: !is_naive,
            attempts: if is_naive { 2 } else { 1 },
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
    let leaf = upstreams.last().expect("eight levels").records().await.len();
    leaf as f64 / summary.calls as f64
}
