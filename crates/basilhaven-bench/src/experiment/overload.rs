//! `overload`: free callers at three times the capacity beside paying callers at half of it. The
//! baseline gives all callers the paying class.

use std::time::Duration;

use basilhaven::config;
use indexmap::IndexSet;

use crate::cluster::{self, ConfigFile, Daemon, Upstream};
use crate::report::Report;
use crate::standin::caller;

/// The number of upstreams.
const UPSTREAMS: usize = 10;

/// Calls that one upstream executes concurrently.
const SLOTS: usize = 4;

/// The mean execution time of a call.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// The duration of the load of one run.
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// The number of free caller processes.
const FREE_PROCESSES: usize = 2;

/// The limit on the ratio of the p99 of paying callers beside free callers to their p99 alone.
const MAX_P99_RATIO: f64 = 1.25;

/// The credential of the paying callers.
const PAYING_CREDENTIAL: &str = "the counter staff's credential";

/// The credential that the additional callers use in the baseline; it has the paying class, too.
const BASELINE_CREDENTIAL: &str = "a credential without a class";

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("overload", seed);
    let capacity = (UPSTREAMS * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
    let alone = measure(seed, capacity, None).await;
    let beside_free = measure(seed, capacity, Some("a credential that is not configured")).await;
    let baseline = measure(seed, capacity, Some(BASELINE_CREDENTIAL)).await;

    let ratio = beside_free.paying.latency.p99_us as f64 / alone.paying.latency.p99_us as f64;
    let refused = beside_free.paying.calls - beside_free.paying.answered;
    report.figure("paying_alone", alone.paying.latency);
    report.figure("paying_beside_free", beside_free.paying.latency);
    report.figure("p99_rise", (ratio * 100.0).round() / 100.0);
    report.figure("paying_refused", refused);
    report.figure("paying_failed", &beside_free.paying.failed);
    report.figure("free_answered", beside_free.free_answered);
    report.figure("free_refused_not_run", beside_free.refused_not_executed);
    report.figure("false_not_run", beside_free.wrongly_refused);
    let capacity_share = (beside_free.paying.answered + beside_free.free_answered) as f64
        / (capacity * LOAD_DURATION.as_secs_f64());
    report.figure("capacity_used", (capacity_share * 100.0).round() / 100.0);
    report.baseline("paying_without_classes", baseline.paying.latency);
    report.baseline("paying_refused_without_classes", &baseline.paying.failed);
    report.target("p99_rise", MAX_P99_RATIO, ratio <= MAX_P99_RATIO);
    report.target("paying_refused", 0, refused == 0);
    report.target("false_not_run", 0, beside_free.wrongly_refused == 0);
    report.target("wrong", 0, alone.wrong + beside_free.wrong == 0);
    report
}

/// The measurements of one run.
struct Outcome {
    paying: caller::Summary,
    free_answered: usize,
    refused_not_executed: usize,
    wrongly_refused: usize,
    wrong: usize,
}

/// Runs paying callers at half the capacity and, if `others` is set, callers with that credential
/// at three times the capacity.
async fn measure(seed: u64, capacity: f64, others: Option<&str>) -> Outcome {
    let mut document = config::Document::default();
    for (name, credential) in [("counter", PAYING_CREDENTIAL), ("classless", BASELINE_CREDENTIAL)] {
        let caller = config::Caller::new(credential, config::Class::Paying);
        document.callers.insert(name.parse().expect("a name"), caller);
    }
    let file = ConfigFile::new(&document);
    let service_us = SERVICE_TIME.as_micros().to_string();
    let slots = SLOTS.to_string();
    let mut upstreams = Vec::new();
    let mut args = file.flag().to_vec();
    for i in 0..UPSTREAMS {
        let data_centre = ["milano-a", "torino-b"][i % 2];
        let upstream_args =
            ["--slots", &slots, "--service-us", &service_us, "--seed", &format!("{i}")];
        let upstream =
            Upstream::start("catalogo", &format!("u{i}"), data_centre, &upstream_args).await;
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
        upstreams.push(upstream);
    }
    let data_centres = ["milano-a", "torino-b", "milano-a", "torino-b"];
    let daemons = Daemon::start_all(&data_centres, &args).await;

    let paying = run_callers(&daemons, capacity * 0.5, Some(PAYING_CREDENTIAL), seed);
    let free = (0..FREE_PROCESSES as u64).map(|i| {
        let rate = capacity * 3.0 / FREE_PROCESSES as f64;
        run_callers(&daemons, rate, others, seed * 100 + i)
    });
    let free = futures_util::future::join_all(free.filter(|_| others.is_some()));
    let (paying, free) = futures_util::future::join(paying, free).await;

    let mut executed = IndexSet::new();
    for upstream in &upstreams {
        executed.extend(upstream.records().await.into_iter().filter_map(|record| record.tag));
    }
    let summaries = || free.iter().chain([&paying]);
    let tags = || summaries().flat_map(|summary| &summary.not_run_tags);
    Outcome {
        free_answered: free.iter().map(|summary| summary.answered).sum(),
        refused_not_executed: tags().count(),
        wrongly_refused: tags().filter(|tag| executed.contains(*tag)).count(),
        wrong: summaries().map(|summary| summary.wrong).sum(),
        paying,
    }
}

async fn run_callers(
    daemons: &[Daemon],
    rate: f64,
    credential: Option<&str>,
    seed: u64,
) -> caller::Summary {
    let calls = (rate * LOAD_DURATION.as_secs_f64()) as usize;
    let mut args = vec!["--rate".to_owned(), rate.to_string()];
    args.extend(["--calls".to_owned(), calls.to_string()]);
    args.extend(["--seed".to_owned(), seed.to_string()]);
    for daemon in daemons {
        args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
    }
    if let Some(credential) = credential {
        args.extend(["--credential".to_owned(), credential.to_owned()]);
    }
    cluster::run_callers(&args, LOAD_DURATION * 4).await
}
