//! `overload`: free callers at three times the capacity beside paying callers at half of it.

use std::time::Duration;

use basilhaven::config;
use indexmap::IndexSet;

use crate::cluster::{self, ConfigFile, Daemon, Upstream};
use crate::report::Report;
use crate::standin::caller;

/// Upstreams of the service.
const UPSTREAMS: usize = 10;

/// Calls that an upstream runs at once.
const SLOTS: usize = 4;

/// Mean time that a call runs.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// How long one leg lasts.
const LEG: Duration = Duration::from_secs(8);

/// Processes of free callers.
const FREE_PROCESSES: usize = 2;

/// How much the p99 of paying callers may rise for the free ones.
const MAX_P99_RISE: f64 = 1.25;

/// The credential of the paying callers.
const PAYING: &str = "the counter staff's credential";

/// The credential of the callers that the baseline treats as paying ones too.
const CLASSLESS: &str = "a credential without a class";

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("overload", seed);
    let capacity = (UPSTREAMS * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
    let alone = leg(seed, capacity, None).await;
    let beside = leg(seed, capacity, Some("free callers show none")).await;
    let classless = leg(seed, capacity, Some(CLASSLESS)).await;

    let rise = beside.paying.latency.p99_us as f64 / alone.paying.latency.p99_us as f64;
    let refused = beside.paying.calls - beside.paying.answered;
    report.figure("paying_alone", alone.paying.latency);
    report.figure("paying_beside_free", beside.paying.latency);
    report.figure("p99_rise", (rise * 100.0).round() / 100.0);
    report.figure("paying_refused", refused);
    report.figure("paying_failed", &beside.paying.failed);
    report.figure("free_answered", beside.free_answered);
    report.figure("free_refused_not_run", beside.not_run);
    report.figure("false_not_run", beside.false_not_run);
    let used =
        (beside.paying.answered + beside.free_answered) as f64 / (capacity * LEG.as_secs_f64());
    report.figure("capacity_used", (used * 100.0).round() / 100.0);
    report.baseline("paying_without_classes", classless.paying.latency);
    report.baseline("paying_refused_without_classes", &classless.paying.failed);
    report.target("p99_rise", MAX_P99_RISE, rise <= MAX_P99_RISE);
    report.target("paying_refused", 0, refused == 0);
    report.target("false_not_run", 0, beside.false_not_run == 0);
    report.target("wrong", 0, alone.wrong + beside.wrong == 0);
    report
}

/// What one leg brought.
struct Leg {
    paying: caller::Summary,
    free_answered: usize,
    not_run: usize,
    false_not_run: usize,
    wrong: usize,
}

/// Paying callers at half the capacity; beside them, others at three times the capacity.
async fn leg(seed: u64, capacity: f64, others: Option<&str>) -> Leg {
    let mut document = config::Document::default();
    for (name, credential) in [("counter", PAYING), ("classless", CLASSLESS)] {
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
        let of = ["--slots", &slots, "--service-us", &service_us, "--seed", &format!("{i}")];
        let upstream = Upstream::start("catalogo", &format!("u{i}"), data_centre, &of).await;
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
        upstreams.push(upstream);
    }
    let centres = ["milano-a", "torino-b", "milano-a", "torino-b"];
    let daemons = Daemon::start_all(&centres, &args).await;

    let paying = load(&daemons, capacity * 0.5, Some(PAYING), seed);
    let free = (0..FREE_PROCESSES as u64).map(|i| {
        let rate = capacity * 3.0 / FREE_PROCESSES as f64;
        load(&daemons, rate, others, seed * 100 + i)
    });
    let free = futures_util::future::join_all(free.filter(|_| others.is_some()));
    let (paying, free) = futures_util::future::join(paying, free).await;

    let mut run = IndexSet::new();
    for upstream in &upstreams {
        run.extend(upstream.records().await.into_iter().filter_map(|record| record.tag));
    }
    let summaries = || free.iter().chain([&paying]);
    let tags = || summaries().flat_map(|summary| &summary.not_run_tags);
    Leg {
        free_answered: free.iter().map(|summary| summary.answered).sum(),
        not_run: tags().count(),
        false_not_run: tags().filter(|tag| run.contains(*tag)).count(),
        wrong: summaries().map(|summary| summary.wrong).sum(),
        paying,
    }
}

async fn load(
    daemons: &[Daemon],
    rate: f64,
    credential: Option<&str>,
    seed: u64,
) -> caller::Summary {
    let calls = (rate * LEG.as_secs_f64()) as usize;
    let mut args = vec!["--rate".to_owned(), rate.to_string()];
    args.extend(["--calls".to_owned(), calls.to_string()]);
    args.extend(["--seed".to_owned(), seed.to_string()]);
    for daemon in daemons {
        args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
    }
    if let Some(credential) = credential {
        args.extend(["--credential".to_owned(), credential.to_owned()]);
    }
    cluster::run_callers(&args, LEG * 4).await
}
