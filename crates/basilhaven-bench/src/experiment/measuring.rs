//! `measuring`: the cost to a host of control traffic, load reports among it, by the number of
//! upstreams; and the cost of a change of the list of upstreams.

use std::time::{Duration, Instant};

use basilhaven::config;
use basilhaven::http1::client;

use super::tail::DATA_CENTRES;
use crate::cluster::{self, Daemon, Platform, Upstream};
use crate::report::Report;

/// Sizes of the list of upstreams at which the cost without changes is measured.
const SIZES: [usize; 3] = [20, 100, 300];

/// Sizes of the list of upstreams at which changes are measured, up to the design size.
const CHANGED_SIZES: [usize; 3] = [20, 300, 970];

/// The number of changes, each of one upstream, made one after another.
const CHANGES: usize = 3;

/// How long the measurement continues after all hosts have applied a change.
const CHANGE_WINDOW: Duration = Duration::from_secs(1);

/// The limit on the time until every host has applied a change of the list.
const MAX_APPLY_TIME: Duration = Duration::from_secs(3);

/// The limit on waiting until all hosts have applied a list.
const APPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// The number of upstreams of one service.
const UPSTREAMS_PER_SERVICE: usize = 6;

/// The number of entry hosts.
const DAEMONS: usize = 13;

/// The duration of the measurement without calls, and again with calls.
const WINDOW: Duration = Duration::from_secs(3);

/// Calls per second over all hosts during the measurement with calls.
const RATE: f64 = 200.0;

/// The limit on the bytes of control traffic per host and second.
const MAX_BYTES_PER_SECOND: f64 = 6_000.0;

/// The limit on the CPU time of an idle host, as a percentage of a core.
const MAX_CORE_PERCENT: f64 = 5.0;

/// The limit on the resident memory of an idle host, in MB.
const MAX_RSS_MB: f64 = 32.0;

/// The resources that a host has used so far.
#[derive(Debug, Clone, Copy)]
struct Usage {
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
            let service = format!("service-{}", i / UPSTREAMS_PER_SERVICE);
            let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
            let spec = format!("{service}/u{i}@{}", upstream.address);
            args.extend(["--upstream".to_owned(), format!("{spec},slots=4,dc={data_centre}")]);
        }
        let data_centres: Vec<&str> =
            (0..DAEMONS).map(|i| DATA_CENTRES[i % DATA_CENTRES.len()]).collect();
        let daemons = Daemon::start_all(&data_centres, &args).await;
        let idle = measure(&daemons).await;
        let mut callers = start_callers(&daemons, seed).await;
        let busy = measure(&daemons).await;
        assert_eq!(
            callers.wait(WINDOW * 4).await,
            Some(true),
            "the callers did not exit successfully"
        );
        for (name, (bytes, percent, rss_mb)) in [("idle", idle), ("busy", busy)] {
            let figures = serde_json::json!({
                "bytes_per_second": bytes, "core_percent": percent, "rss_mb": rss_mb,
            });
            report.figure(&format!("{size}_upstreams_{name}"), figures);
        }
        let (bytes, percent, rss_mb) = idle;
        let limit = MAX_BYTES_PER_SECOND;
        report.target(&format!("{size}_bytes"), limit, bytes.max(busy.0) <= limit);
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

/// Returns a list of `size` upstreams, the first `leaving` of which are marked as leaving.
fn upstream_list(size: usize, leaving: usize) -> config::Hosts {
    let upstream = |i: usize| {
        let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
        let service = format!("service-{}", i / UPSTREAMS_PER_SERVICE);
        let spec = format!("{service}/{service}-u{i}@127.0.0.1:{}", 10_000 + i);
        let spec = format!("{spec},slots=4,dc={data_centre}");
        let mut upstream: config::Upstream = spec.parse().expect("an upstream");
        upstream.leaving = i < leaving;
        upstream
    };
    config::Hosts { upstreams: (0..size).map(upstream).collect(), entries: Vec::new() }
}

/// Marks one upstream after another as leaving and measures the control traffic of the hosts,
/// including heartbeats, until [`CHANGE_WINDOW`] after all hosts have applied the change. Only one
/// host is connected to the platform, so that traffic between hosts can be separated from reads of
/// the list.
async fn measure_change(size: usize, report: &mut Report) {
    let platform = Platform::start(&[]).await;
    platform.put_hosts(&upstream_list(size, 0)).await;
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
    // The platform always responds with the whole list, to the one host that is connected to it.
    let list_len = serde_json::to_vec(&upstream_list(size, 1)).expect("plain data").len() as f64;
    let (mut mean, mut max) = (0.0_f64, 0.0_f64);
    for change in 1..=CHANGES {
        let before = all_usages(&daemons).await;
        let started = Instant::now();
        platform.put_hosts(&upstream_list(size, change)).await;
        wait_for_list(&daemons, 1 + change as u64).await;
        applied = applied.max(started.elapsed());
        monoio::time::sleep(CHANGE_WINDOW).await;
        let after = all_usages(&daemons).await;
        let seconds = started.elapsed().as_secs_f64();
        let sent = before.iter().zip(&after).map(|(before, after)| after.bytes - before.bytes);
        let mut sent: Vec<f64> = sent.collect();
        sent[0] -= list_len;
        let rates = sent.iter().map(|sent| sent / seconds);
        mean += rates.clone().sum::<f64>() / (DAEMONS * CHANGES) as f64;
        max = rates.fold(max, f64::max);
    }
    let figures = serde_json::json!({
        "applied_ms": applied.as_millis(), "read_from_platform_by_one": list_len,
        "bytes_per_second": mean.round(), "most_bytes_per_second": max.round(),
    });
    report.figure(&format!("{size}_upstreams_change"), figures);
    let limit = MAX_BYTES_PER_SECOND;
    report.target(&format!("{size}_change_bytes"), limit, max <= limit);
    let limit = MAX_APPLY_TIME.as_millis();
    report.target(&format!("{size}_change_applied_ms"), limit, applied <= MAX_APPLY_TIME);
}

async fn wait_for_list(daemons: &[Daemon], revision: u64) {
    let until = Instant::now() + APPLY_TIMEOUT;
    for daemon in daemons {
        while daemon.status().await.revisions.hosts < revision {
            assert!(
                Instant::now() < until,
                "{} has not applied revision {revision} of the list",
                daemon.name
            );
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

async fn all_usages(daemons: &[Daemon]) -> Vec<Usage> {
    let mut all = Vec::with_capacity(daemons.len());
    for daemon in daemons {
        all.push(usage(daemon).await);
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

/// Measures for [`WINDOW`] and returns the maximum over all hosts of each resource: bytes per
/// second, percentage of a core, and resident MB.
async fn measure(daemons: &[Daemon]) -> (f64, f64, f64) {
    let started = Instant::now();
    let before = all_usages(daemons).await;
    monoio::time::sleep(WINDOW).await;
    let seconds = started.elapsed().as_secs_f64();
    let mut max = (0.0_f64, 0.0_f64, 0.0_f64);
    for (daemon, before) in daemons.iter().zip(before) {
        let after = usage(daemon).await;
        max.0 = max.0.max((after.bytes - before.bytes) / seconds);
        max.1 = max.1.max((after.cpu_seconds - before.cpu_seconds) / seconds * 100.0);
        max.2 = max.2.max(after.rss_mb);
    }
    max
}

async fn usage(daemon: &Daemon) -> Usage {
    let request = client::Request::new(http::Method::GET, "/metrics", "").expect("a path");
    let limit = Duration::from_secs(5);
    let page = client::call(daemon.admin, &request, limit, 1 << 24).await.expect("a page");
    let page = String::from_utf8_lossy(&page.body).into_owned();
    let line = page.lines().filter(|l| l.starts_with("basilhaven_control_bytes_total"));
    let values = line.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    Usage {
        bytes: values.sum(),
        cpu_seconds: daemon.process.cpu_time().as_secs_f64(),
        rss_mb: daemon.process.resident_bytes() as f64 / f64::from(1 << 20),
    }
}
