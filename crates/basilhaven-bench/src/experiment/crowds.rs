//! `crowds`: ordinary callers of a host beside each kind of [crowd](crate::crowd), compared with the
//! same callers without one. At the end the host is told to stop while the crowd goes on.
//!
//! `long-crowd`: the memory of a host after ten minutes of a mixed crowd, compared with the first.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::crowd::{self, Crowd};
use crate::gateway::{self, Host};
use crate::monitor::Monitor;
use crate::process::{self, Signal};
use crate::report::Report;
use crate::soak::caller::{self, Callers, End, Record};
use crate::standin::caller::Latency;
use crate::standin::users::store::Store;
use crate::standin::users::upstream::{Behaviour, Upstream};

/// The limits of the host.
const MEMORY_BYTES: u64 = 160_000_000;
const MAX_FDS: u64 = 4_100;

/// Connections of a crowd: more than the host accepts.
const CONNECTIONS: usize = 3_000;

/// Ordinary callers: those that keep their connections, and one that opens a connection a call.
const CALLERS: usize = 16;
const NEW_CONNECTION_INTERVAL: Duration = Duration::from_millis(50);

const UPSTREAMS: usize = 4;
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// How long callers call before the crowd begins, and beside it.
const QUIET_TIME: Duration = Duration::from_secs(1);
const CROWD_TIME: Duration = Duration::from_secs(8);

/// How long the long crowd goes on, the time at its beginning and at its end that are compared, and
/// how often the memory is sampled.
const LONG_TIME: Duration = Duration::from_secs(600);
const COMPARED_TIME: Duration = Duration::from_secs(60);
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// The limit on the ratio of the resident memory at the end to that at the beginning.
const MAX_GROWTH: f64 = 1.1;

/// How long a host may take to stop: its grace time and a second.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// The least share of calls served beside a crowd.
const MIN_SERVED: f64 = 0.99;

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("crowds", seed);
    report.baseline("quiet", measure(seed, None).await);
    for profile in crowd::Profile::ALL {
        let name = profile.name();
        let outcome = measure(seed, Some(profile)).await;
        let served = outcome.kept.served.min(outcome.new.served);
        report.target(&format!("{name}: served"), MIN_SERVED, served >= MIN_SERVED);
        let wrong = outcome.kept.wrong + outcome.new.wrong;
        report.target(&format!("{name}: wrong"), 0, wrong == 0);
        let is_within = outcome.peak_bytes <= MEMORY_BYTES;
        report.target(&format!("{name}: peak_bytes"), MEMORY_BYTES, is_within);
        report.target(&format!("{name}: stopped"), true, outcome.stop_ms.is_some());
        report.figure(name, outcome);
    }
    report
}

/// What ordinary callers and the operating system saw of a host.
#[derive(Debug, Serialize)]
struct Outcome {
    /// Calls on connections that stay open.
    kept: Calls,
    /// Calls on a new connection each.
    new: Calls,
    /// The longest delay of a heartbeat of the host, in milliseconds.
    longest_delay_ms: Option<u64>,
    /// The most that the host has used, with what it had not read, in bytes.
    peak_bytes: u64,
    /// How long it took to stop, in milliseconds; `None` if it did not.
    stop_ms: Option<u64>,
    crowd: crowd::Summary,
}

/// The calls of one kind.
#[derive(Debug, Serialize)]
struct Calls {
    /// The share of calls that were served.
    served: f64,
    /// The calls that were refused or failed with a status.
    refused: usize,
    /// The calls whose connection could not be opened, or ended without a response.
    cut: usize,
    /// The calls that got no response in time.
    timed_out: usize,
    /// The responses that are another call's, or incomplete.
    wrong: usize,
    latency: Latency,
}

impl From<&[Record]> for Calls {
    fn from(records: &[Record]) -> Calls {
        let count = |is: fn(&Record) -> bool| records.iter().filter(|record| is(record)).count();
        let mut histogram = hdrhistogram::Histogram::<u64>::new(3).expect("three digits");
        for record in records.iter().filter(|record| record.status() == 200) {
            let took = record.ended.saturating_duration_since(record.sent);
            // The histogram grows with its values.
            let _ = histogram.record(took.as_micros() as u64);
        }
        let served = count(|record| record.status() == 200);
        Calls {
            served: (served as f64 / records.len().max(1) as f64 * 10_000.0).floor() / 10_000.0,
            refused: count(|record| !matches!(record.status(), 0 | 200)),
            cut: count(|record| record.end == End::Cut),
            timed_out: count(|record| record.end == End::TimedOut),
            wrong: count(is_wrong),
            latency: Latency::from(&histogram),
        }
    }
}

fn is_wrong(record: &Record) -> bool {
    match &record.end {
        End::Answered(response) if response.status == 200 => {
            !response.is_complete || !response.body.starts_with(&format!("{} by ", record.id))
        }
        _ => false,
    }
}

/// Runs the experiment on a long crowd.
pub async fn run_long(seed: u64) -> Report {
    let mut report = Report::new("long-crowd", seed);
    let site = Site::start().await;
    let callers = Callers::start(CALLERS, seed, &site.callers);
    let crowd = Crowd::start(&site.callers, crowd::Profile::Mixed, CONNECTIONS);
    let mut samples = Vec::new();
    let began = Instant::now();
    while began.elapsed() < LONG_TIME {
        monoio::time::sleep(SAMPLE_INTERVAL).await;
        samples.push(site.host.process.resident_bytes());
    }
    let crowd = crowd.finish();
    let calls = Calls::from(&callers.finish()[..]);
    let compared = (COMPARED_TIME.as_secs_f64() / SAMPLE_INTERVAL.as_secs_f64()) as usize;
    let compared = compared.min(samples.len());
    let first = median(&samples[..compared]);
    let last = median(&samples[samples.len() - compared..]);
    let growth = last as f64 / first as f64;
    report.baseline("first_minute_bytes", first);
    report.figure("last_minute_bytes", last);
    report.figure("growth", (growth * 1000.0).round() / 1000.0);
    report.figure("peak_bytes", site.host.process.peak_bytes());
    report.figure("calls", &calls);
    report.figure("crowd", crowd);
    report.target("growth", MAX_GROWTH, growth <= MAX_GROWTH);
    report.target("wrong", 0, calls.wrong == 0);
    let starts = site.host.process.event_count("started");
    report.target("starts", 1, starts == 1);
    report
}

fn median(samples: &[u64]) -> u64 {
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    sorted[sorted.len() / 2]
}

/// A host with a store and upstreams.
struct Site {
    host: Host,
    callers: caller::Hosts,
    _store: Store,
}

impl Site {
    async fn start() -> Site {
        let store = Store::start();
        store.put("op", "config", &gateway::config(1, gateway::SERVICE));
        for number in 0..UPSTREAMS {
            let upstream = Upstream::start(&format!("i-{number}"), Behaviour::Serves(SERVICE_TIME));
            store.put("servers", &upstream.id, &upstream.entry(gateway::SERVICE, "v1", "ready"));
        }
        let (memory, fds) = ((MEMORY_BYTES / 1_000_000).to_string(), MAX_FDS.to_string());
        let settings = [("BASILHAVEN_MEMORY_MB", &*memory), ("BASILHAVEN_MAX_FDS", &*fds)];
        process::allow_descriptors(MAX_FDS);
        let host = Host::start_with(store.address(), Ipv4Addr::LOCALHOST, 0, "", &settings).await;
        gateway::wait_until("the host is ready", || host.is_ready()).await;
        let callers = Arc::new(Mutex::new(vec![Some(host.callers)]));
        Site { host, callers, _store: store }
    }
}

/// Runs a host beside a crowd, or without one.
async fn measure(seed: u64, profile: Option<crowd::Profile>) -> Outcome {
    let mut site = Site::start().await;
    let (process, address) = (site.host.process.id(), site.host.callers);
    let kept = Callers::start(CALLERS, seed, &site.callers);
    let new = Callers::start_reconnecting(&site.callers, seed, NEW_CONNECTION_INTERVAL);
    monoio::time::sleep(QUIET_TIME).await;
    let monitor = Monitor::start(process, &[address.port()], &[]);
    let began = Instant::now();
    let crowd = profile.map(|profile| Crowd::start(&site.callers, profile, CONNECTIONS));
    monoio::time::sleep(CROWD_TIME).await;
    let finish = |callers: Callers| -> Vec<Record> {
        callers.finish().into_iter().filter(|record| record.sent >= began).collect()
    };
    let (kept, new) = (finish(kept), finish(new));
    let delay = site.host.metric("basilhaven_longest_delay_seconds");
    let peak = monitor.finish();
    let told = Instant::now();
    site.host.process.signal(Signal::Terminate);
    let has_stopped = site.host.process.wait(STOP_TIMEOUT).await == Some(true);
    Outcome {
        kept: Calls::from(&kept[..]),
        new: Calls::from(&new[..]),
        longest_delay_ms: delay.map(|seconds| (seconds * 1000.0) as u64),
        peak_bytes: peak.bytes,
        stop_ms: has_stopped.then(|| told.elapsed().as_millis() as u64),
        crowd: crowd.map(Crowd::finish).unwrap_or_default(),
    }
}
