//! `measuring`: what load knowledge and control cost a host, by the number of upstreams, and what a
//! change of the list of upstreams does.

use std::time::{Duration, Instant};

use basilhaven::config;
use basilhaven::http1::client;

use super::tail::DATA_CENTRES;
use crate::cluster::{self, Daemon, Platform, Upstream};
use crate::report::Report;

/// Numbers of upstreams that are listed.
const SIZES: [usize; 3] = [20, 100, 300];

/// Numbers of upstreams of which one changes, up to the size designed for.
const CHANGED_SIZES: [usize; 3] = [20, 300, 970];

/// Changes of one upstream that are made one after the other.
const CHANGES: usize = 3;

/// How long hosts are watched after all have applied a change.
const CHANGE_WINDOW: Duration = Duration::from_secs(1);

/// How long a change of the list may take until every host has applied it.
const MAX_APPLIED: Duration = Duration::from_secs(3);

/// How long the hosts are waited for at most.
const APPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// Upstreams of one service.
const PER_SERVICE: usize = 6;

/// Entry hosts.
const DAEMONS: usize = 13;

/// How long a host is watched without calls, and then with.
const WINDOW: Duration = Duration::from_secs(3);

/// Calls a second over all hosts while there are calls.
const RATE: f64 = 200.0;

/// Bytes of control that a host may send in a second.
const MAX_BYTES_PER_SECOND: f64 = 6_000.0;

/// The share of a core that control may take, in per cent.
const MAX_CORE_PERCENT: f64 = 5.0;

/// The memory of a host for control, in MB.
const MAX_RSS_MB: f64 = 32.0;

/// What a host has spent so far.
#[derive(Debug, Clone, Copy)]
struct Spent {
    bytes: f64,
    cpu_seconds: f64,
    rss_mb: f64,
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("measuring", seed);
    for size in SIZES {
        let upstream = Upstream::start("tail", "u", "milano-a", &[]).await;
        let mut args = Vec::new();
        for i in 0..size {
            let service = format!("service-{}", i / PER_SERVICE);
            let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
            let place = format!("{service}/u{i}@{}", upstream.address);
            args.extend(["--upstream".to_owned(), format!("{place},slots=4,dc={data_centre}")]);
        }
        let data_centres: Vec<&str> =
            (0..DAEMONS).map(|i| DATA_CENTRES[i % DATA_CENTRES.len()]).collect();
        let daemons = Daemon::start_all(&data_centres, &args).await;
        let idle = watch(&daemons).await;
        let mut callers = start_callers(&daemons, seed).await;
        let busy = watch(&daemons).await;
        assert_eq!(callers.wait(WINDOW * 4).await, Some(true), "the callers failed");
        for (name, (bytes, percent, rss_mb)) in [("idle", idle), ("busy", busy)] {
            let figures = serde_json::json!({
                "bytes_per_second": bytes, "core_percent": percent, "rss_mb": rss_mb,
            });
            report.figure(&format!("{size}_upstreams_{name}"), figures);
        }
        let (bytes, percent, rss_mb) = idle;
        let most = MAX_BYTES_PER_SECOND;
        report.target(&format!("{size}_bytes"), most, bytes.max(busy.0) <= most);
        report.target(
            &format!("{size}_core_percent"),
            MAX_CORE_PERCENT,
            percent <= MAX_CORE_PERCENT,
        );
        report.target(&format!("{size}_rss_mb"), MAX_RSS_MB, rss_mb <= MAX_RSS_MB);
    }
    for size in CHANGED_SIZES {
        measure_change(size, &mut report).await;
    }
    report
}

/// A list of so many upstreams, of which `leaving` leave.
fn list(size: usize, leaving: usize) -> config::Hosts {
    let upstream = |i: usize| {
        let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
        let service = format!("service-{}", i / PER_SERVICE);
        let place = format!("{service}/{service}-u{i}@127.0.0.1:{}", 10_000 + i);
        let spec = format!("{place},slots=4,dc={data_centre}");
        let mut upstream: config::Upstream = spec.parse().expect("an upstream");
        upstream.leaving = i < leaving;
        upstream
    };
    config::Hosts { upstreams: (0..size).map(upstream).collect(), entries: Vec::new() }
}

/// Has one upstream after another leave, and counts what hosts send from then until a window after all
/// have applied it, heartbeats among it. Only one host meets the platform, so that what hosts send each
/// other is told apart from what one reads.
async fn measure_change(size: usize, report: &mut Report) {
    let platform = Platform::start(&[]).await;
    platform.put_hosts(&list(size, 0)).await;
    let args = ["--platform".to_owned(), platform.address.to_string()];
    let reader = Daemon::start("entry-0", DATA_CENTRES[0], &args).await;
    let seed = ["--seed".to_owned(), reader.peer.to_string()];
    let mut daemons = vec![reader];
    for i in 1..DAEMONS {
        let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
        daemons.push(Daemon::start(&format!("entry-{i}"), data_centre, &seed).await);
    }
    wait_for_list(&daemons, 1).await;
    let mut applied = Duration::ZERO;
    // The platform has no other answer than the whole list, for the one host that meets it.
    let whole = serde_json::to_vec(&list(size, 1)).expect("plain data").len() as f64;
    let (mut mean, mut most) = (0.0_f64, 0.0_f64);
    for change in 1..=CHANGES {
        let before = all_spent(&daemons).await;
        let started = Instant::now();
        platform.put_hosts(&list(size, change)).await;
        wait_for_list(&daemons, 1 + change as u64).await;
        applied = applied.max(started.elapsed());
        monoio::time::sleep(CHANGE_WINDOW).await;
        let after = all_spent(&daemons).await;
        let seconds = started.elapsed().as_secs_f64();
        let spent = before.iter().zip(&after).map(|(before, after)| after.bytes - before.bytes);
        let mut sent: Vec<f64> = spent.collect();
        sent[0] -= whole;
        let rates = sent.iter().map(|sent| sent / seconds);
        mean += rates.clone().sum::<f64>() / (DAEMONS * CHANGES) as f64;
        most = rates.fold(most, f64::max);
    }
    let figures = serde_json::json!({
        "applied_ms": applied.as_millis(), "read_from_platform_by_one": whole,
        "bytes_per_second": mean.round(), "most_bytes_per_second": most.round(),
    });
    report.figure(&format!("{size}_upstreams_change"), figures);
    let limit = MAX_BYTES_PER_SECOND;
    report.target(&format!("{size}_change_bytes"), limit, most <= limit);
    let limit = MAX_APPLIED.as_millis();
    report.target(&format!("{size}_change_applied_ms"), limit, applied <= MAX_APPLIED);
}

async fn wait_for_list(daemons: &[Daemon], revision: u64) {
    let until = Instant::now() + APPLY_TIMEOUT;
    for daemon in daemons {
        while daemon.status().await.revisions.hosts < revision {
            assert!(Instant::now() < until, "{} lacks list {revision}", daemon.name);
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn all_spent(daemons: &[Daemon]) -> Vec<Spent> {
    let mut all = Vec::with_capacity(daemons.len());
    for daemon in daemons {
        all.push(spent(daemon).await);
    }
    all
}

async fn start_callers(daemons: &[Daemon], seed: u64) -> crate::process::Process {
    let calls = (RATE * WINDOW.as_secs_f64()) as usize;
    let mut args: Vec<String> = Vec::new();
    for daemon in daemons {
        args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
    }
    args.extend(["--service", "service-0", "--rate"].map(str::to_owned));
    args.extend([RATE.to_string(), "--calls".to_owned(), calls.to_string()]);
    args.extend(["--seed".to_owned(), seed.to_string()]);
    cluster::start_callers(&args).await
}

/// The most that one host spends: bytes a second, per cent of a core, MB.
async fn watch(daemons: &[Daemon]) -> (f64, f64, f64) {
    let started = Instant::now();
    let before = all_spent(daemons).await;
    monoio::time::sleep(WINDOW).await;
    let seconds = started.elapsed().as_secs_f64();
    let mut most = (0.0_f64, 0.0_f64, 0.0_f64);
    for (daemon, before) in daemons.iter().zip(before) {
        let after = spent(daemon).await;
        most.0 = most.0.max((after.bytes - before.bytes) / seconds);
        most.1 = most.1.max((after.cpu_seconds - before.cpu_seconds) / seconds * 100.0);
        most.2 = most.2.max(after.rss_mb);
    }
    most
}

async fn spent(daemon: &Daemon) -> Spent {
    let request = client::Request::new(http::Method::GET, "/metrics", "").expect("a path");
    let limit = Duration::from_secs(5);
    let page = client::call(daemon.admin, &request, limit, 1 << 24).await.expect("a page");
    let page = String::from_utf8_lossy(&page.body).into_owned();
    let line = page.lines().filter(|l| l.starts_with("basilhaven_control_bytes_total"));
    let values = line.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    Spent {
        bytes: values.sum(),
        cpu_seconds: daemon.process.cpu_time().as_secs_f64(),
        rss_mb: daemon.process.resident_bytes() as f64 / f64::from(1 << 20),
    }
}
