//! `config`: two operators change the configuration during platform outages, lost responses and the
//! replacement of a host. Measures the time from the acceptance of a change until it is in force on
//! every host. In the baseline, hosts are not connected to each other and only poll the platform.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use basilhaven::{admin, commit, order, profile};
use indexmap::IndexMap;

use crate::cluster::{Daemon, Platform};
use crate::process::Signal;
use crate::report::Report;
use crate::standin::platform::{Control, WriteRecord};

/// The number of hosts.
const HOSTS: usize = 13;

/// The number of accepted changes to reach.
const CHANGES: usize = 200;

/// The number of accepted changes to reach in the baseline.
const BASELINE_CHANGES: usize = 40;

/// The limit on the p99 of the time from acceptance until in force, in milliseconds.
const MAX_IN_FORCE_P99_MS: u64 = 5_000;

/// The limit on the time for which the operators send orders.
const OPERATORS_TIMEOUT: Duration = Duration::from_secs(25);

/// The limit on waiting until all hosts have applied the last change.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The mean interval between two reads of a host's configuration.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// The duration of the measurement without changes.
const IDLE_DURATION: Duration = Duration::from_secs(4);

/// The limit on the bytes of control traffic per host and second without changes.
const MAX_IDLE_BYTES_PER_SECOND: f64 = 6_000.0;

/// The operators. Each order of an operator sets `queue_len` of the profile that has the operator's
/// name to the next number.
const OPERATORS: [&str; 2] = ["anna", "bruno"];

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OrderResult {
    Accepted { revision: u64, at_us: u64 },
    Refused,
    Unknown,
}

/// The orders of one operator: the number that each one set, and its result.
type Orders = IndexMap<u64, OrderResult>;

/// Daemons, which can be replaced while other tasks use them.
type Daemons = RefCell<Vec<Rc<Daemon>>>;

/// The state that the tasks of a run share.
struct Run {
    platform: Platform,
    daemons: Daemons,
    args: Vec<String>,
    accepted: Cell<usize>,
    changes: usize,
    is_over: Cell<bool>,
    reverts: Cell<usize>,
}

/// The measurements of one run.
struct Outcome {
    in_force_ms: Vec<f64>,
    not_in_force: usize,
    reverts: usize,
    /// Responses to orders that contradict the recorded writes.
    contradicted: usize,
    accepted: usize,
    refused: usize,
    unknown: usize,
    elapsed: Duration,
    bytes_per_second: f64,
    idle_bytes_per_second: f64,
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("config", seed);
    fastrand::seed(seed);
    let connected = measure(true, CHANGES).await;
    let poll_only = measure(false, BASELINE_CHANGES).await;
    report.figure("accepted", connected.accepted);
    report.figure("refused", connected.refused);
    report.figure("unknown", connected.unknown);
    report.figure("in_force_p50_ms", percentile(&connected.in_force_ms, 0.5));
    report.figure("in_force_p99_ms", percentile(&connected.in_force_ms, 0.99));
    report.figure("in_force_max_ms", percentile(&connected.in_force_ms, 1.0));
    report.figure("not_in_force", connected.not_in_force);
    report.figure("reverts", connected.reverts);
    report.figure("untrue_answers", connected.contradicted);
    report.figure("control_bytes_per_host_and_second", connected.bytes_per_second);
    report.figure("idle_bytes_per_host_and_second", connected.idle_bytes_per_second);
    report.figure("seconds", connected.elapsed.as_secs_f64());
    report.baseline("poll_only_in_force_p50_ms", percentile(&poll_only.in_force_ms, 0.5));
    report.baseline("poll_only_in_force_p99_ms", percentile(&poll_only.in_force_ms, 0.99));
    report.baseline("poll_only_idle_bytes_per_host_and_second", poll_only.idle_bytes_per_second);
    report.baseline("poll_only_in_force_max_ms", percentile(&poll_only.in_force_ms, 1.0));
    let p99 = percentile(&connected.in_force_ms, 0.99);
    report.target("accepted", CHANGES, connected.accepted >= CHANGES);
    report.target("in_force_p99_ms", MAX_IN_FORCE_P99_MS, p99 <= MAX_IN_FORCE_P99_MS as f64);
    report.target(
        "idle_bytes",
        MAX_IDLE_BYTES_PER_SECOND,
        connected.idle_bytes_per_second <= MAX_IDLE_BYTES_PER_SECOND,
    );
    report.target("not_in_force", 0, connected.not_in_force == 0);
    report.target("reverts", 0, connected.reverts == 0 && poll_only.reverts == 0);
    report.target("untrue_answers", 0, connected.contradicted == 0 && poll_only.contradicted == 0);
    report
}

/// Runs the operators. If `has_peers` is set, hosts are connected to each other and faults are
/// injected; otherwise, hosts only poll the platform.
async fn measure(has_peers: bool, changes: usize) -> Outcome {
    let platform = Platform::start(&["--seed", &fastrand::u64(..1_000).to_string()]).await;
    let args = vec!["--platform".to_owned(), platform.address.to_string()];
    let daemons = match has_peers {
        true => Daemon::start_all(&["milano-a"; HOSTS], &args).await,
        false => start_unconnected(&args).await,
    };
    let run = Rc::new(Run {
        platform,
        daemons: RefCell::new(daemons.into_iter().map(Rc::new).collect()),
        args,
        accepted: Cell::new(0),
        changes,
        is_over: Cell::new(false),
        reverts: Cell::new(0),
    });
    let idle_bytes_per_second = idle_bytes_per_second(&run).await;
    let started = Instant::now();
    let samplers: Vec<_> =
        (0..HOSTS).map(|i| monoio::spawn(detect_reverts(Rc::clone(&run), i))).collect();
    let operators: Vec<_> =
        (0..OPERATORS.len()).map(|i| monoio::spawn(run_operator(Rc::clone(&run), i))).collect();
    let killed = if has_peers { Some(inject_faults(&run).await) } else { None };
    let orders: Vec<Orders> = futures_util::future::join_all(operators).await;
    wait_until_settled(&run, &orders).await;
    run.is_over.set(true);
    futures_util::future::join_all(samplers).await;
    let elapsed = started.elapsed();
    let writes = run.platform.writes().await;
    let mut outcome = evaluate(&run, &orders, &writes, killed);
    outcome.elapsed = elapsed;
    outcome.bytes_per_second = control_bytes(&run).await / elapsed.as_secs_f64() / HOSTS as f64;
    outcome.idle_bytes_per_second = idle_bytes_per_second;
    outcome
}

/// Starts daemons that are not connected to each other.
async fn start_unconnected(args: &[String]) -> Vec<Daemon> {
    let mut daemons = Vec::with_capacity(HOSTS);
    for i in 1..=HOSTS {
        daemons.push(Daemon::start(&format!("entry-{i}"), "milano-a", args).await);
    }
    daemons
}

/// Sends orders to hosts drawn at random until enough are accepted or the time limit is reached.
async fn run_operator(run: Rc<Run>, operator: usize) -> Orders {
    let mut orders = Orders::new();
    let until = Instant::now() + OPERATORS_TIMEOUT;
    for count in 1.. {
        if run.accepted.get() >= run.changes || Instant::now() >= until {
            break;
        }
        let daemon = {
            // The last host is excluded, as it is killed and replaced, which would break the
            // operator's connection.
            let daemons = run.daemons.borrow();
            Rc::clone(&daemons[fastrand::usize(..HOSTS - 1)])
        };
        let profile = profile::Profile { queue_len: count as usize, ..Default::default() };
        let name = OPERATORS[operator].parse().expect("a name");
        let response = daemon.order(&order::Order::SetProfile(name, profile)).await;
        let result = match response.status {
            http::StatusCode::OK => {
                run.accepted.set(run.accepted.get() + 1);
                let accepted: admin::orders::Accepted =
                    serde_json::from_slice(&response.body).expect("a response");
                OrderResult::Accepted { revision: accepted.revision, at_us: time_of_day_us() }
            }
            http::StatusCode::GATEWAY_TIMEOUT => OrderResult::Unknown,
            _ => OrderResult::Refused,
        };
        orders.insert(count, result);
        monoio::time::sleep(Duration::from_millis(fastrand::u64(40..160))).await;
    }
    orders
}

/// Injects one fault of the platform after another, and replaces a host. Returns the host that was
/// killed.
async fn inject_faults(run: &Rc<Run>) -> Rc<Daemon> {
    let sleep_ms = |ms| monoio::time::sleep(Duration::from_millis(ms));
    sleep_ms(1_500).await;
    control_platform(run, Control { down: Some(true), ..Control::default() }).await;
    sleep_ms(2_000).await;
    control_platform(run, Control { down: Some(false), ..Control::default() }).await;
    sleep_ms(1_000).await;
    control_platform(run, Control { slow_ms: Some(300), ..Control::default() }).await;
    sleep_ms(2_000).await;
    control_platform(
        run,
        Control { slow_ms: Some(0), lose_answers: Some(0.3), ..Control::default() },
    )
    .await;
    let old = run.daemons.borrow_mut().pop().expect("a host");
    old.process.signal(Signal::Kill);
    sleep_ms(1_500).await;
    control_platform(run, Control { lose_writes: Some(0.3), ..Control::default() }).await;
    let mut args = run.args.clone();
    let seed = run.daemons.borrow()[0].peer;
    args.extend(["--seed".to_owned(), seed.to_string()]);
    let replacement = Daemon::start("entry-14", "milano-a", &args).await;
    run.daemons.borrow_mut().push(Rc::new(replacement));
    sleep_ms(1_500).await;
    let no_faults =
        Control { lose_answers: Some(0.0), lose_writes: Some(0.0), ..Control::default() };
    control_platform(run, no_faults).await;
    old
}

async fn control_platform(run: &Run, control: Control) {
    run.platform.control(&control).await;
}

/// Reads one host's configuration periodically, and counts reverts: a lower revision, or a lower
/// number in an operator's profile, than in an earlier read of the same host.
async fn detect_reverts(run: Rc<Run>, host: usize) {
    let mut last: Option<(String, u64, Vec<usize>)> = None;
    while !run.is_over.get() {
        monoio::time::sleep(SAMPLE_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        let daemon = run.daemons.borrow().get(host).cloned();
        let Some(daemon) = daemon else { continue };
        let Some(config) = daemon.try_config().await else { continue };
        let counts: Vec<usize> = OPERATORS
            .iter()
            .map(|name| config.document.profiles.get(*name).map_or(0, |p| p.queue_len))
            .collect();
        if let Some((name, revision, before)) = &last {
            let is_lower = before.iter().zip(&counts).any(|(before, now)| now < before);
            if *name == daemon.name && (config.revision < *revision || is_lower) {
                run.reverts.set(run.reverts.get() + 1);
            }
        }
        last = Some((daemon.name.clone(), config.revision, counts));
    }
}

/// Waits until every host has applied the last accepted change, or until the time-out.
async fn wait_until_settled(run: &Run, orders: &[Orders]) {
    let last = accepted(orders).map(|(revision, _)| revision).max().unwrap_or(0);
    let until = Instant::now() + SETTLE_TIMEOUT;
    let daemons = run.daemons.borrow().clone();
    for daemon in daemons {
        while daemon.status().await.revisions.config < last && Instant::now() < until {
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn accepted(orders: &[Orders]) -> impl Iterator<Item = (u64, u64)> + '_ {
    orders.iter().flat_map(|orders| orders.values()).filter_map(|result| match result {
        OrderResult::Accepted { revision, at_us } => Some((*revision, *at_us)),
        OrderResult::Refused | OrderResult::Unknown => None,
    })
}

fn evaluate(
    run: &Run,
    orders: &[Orders],
    writes: &[WriteRecord],
    killed: Option<Rc<Daemon>>,
) -> Outcome {
    let mut outcome = Outcome {
        in_force_ms: Vec::new(),
        not_in_force: 0,
        reverts: run.reverts.get(),
        contradicted: orders
            .iter()
            .enumerate()
            .map(|(i, o)| contradicted(OPERATORS[i], o, writes))
            .sum(),
        accepted: accepted(orders).count(),
        refused: 0,
        unknown: 0,
        elapsed: Duration::ZERO,
        bytes_per_second: 0.0,
        idle_bytes_per_second: 0.0,
    };
    for result in orders.iter().flat_map(|orders| orders.values()) {
        match result {
            OrderResult::Accepted { .. } => {}
            OrderResult::Refused => outcome.refused += 1,
            OrderResult::Unknown => outcome.unknown += 1,
        }
    }
    for daemon in run.daemons.borrow().iter() {
        add_host(&mut outcome, orders, daemon, true);
    }
    if let Some(killed) = killed {
        add_host(&mut outcome, orders, &killed, false);
    }
    outcome.in_force_ms.sort_by(f64::total_cmp);
    outcome
}

/// Adds the times at which one host applied the accepted changes, from its log. Ignores changes
/// that were accepted before it started, and changes that a killed host did not apply.
fn add_host(outcome: &mut Outcome, orders: &[Orders], daemon: &Daemon, is_alive: bool) {
    let lines = daemon.process.lines();
    let time = |line: &serde_json::Value| line["timestamp"].as_str().and_then(parse_time_of_day);
    let started = lines.iter().find(|line| line["event"] == "ready").and_then(time).unwrap_or(0);
    let applied: Vec<(u64, u64)> = lines
        .iter()
        .filter(|line| line["event"] == "rows_applied")
        .filter_map(|line| Some((line["config"].as_u64()?, time(line)?)))
        .collect();
    outcome.reverts += applied.windows(2).filter(|pair| pair[1].0 < pair[0].0).count();
    for (revision, at_us) in accepted(orders).filter(|(_, at_us)| *at_us > started) {
        match applied.iter().find(|(config, _)| *config >= revision) {
            Some((_, t)) => outcome.in_force_ms.push(t.saturating_sub(at_us) as f64 / 1_000.0),
            None if is_alive => outcome.not_in_force += 1,
            None => {}
        }
    }
}

/// Counts the responses to one operator that contradict the writes recorded by the platform's
/// table: accepted orders that were not written under the revision in the response, and refused
/// ones that were written.
fn contradicted(operator: &str, orders: &Orders, writes: &[WriteRecord]) -> usize {
    let mut written_revisions: IndexMap<u64, u64> = IndexMap::new();
    for written in writes.iter().filter(|written| written.key == commit::CONFIG_KEY) {
        let count = written.value["document"]["profiles"][operator]["queue_len"].as_u64();
        if let Some(count) = count {
            written_revisions.entry(count).or_insert(written.revision);
        }
    }
    let contradictions = orders.iter().filter(|(count, result)| match result {
        OrderResult::Accepted { revision, .. } => written_revisions.get(*count) != Some(revision),
        OrderResult::Refused => written_revisions.contains_key(*count),
        OrderResult::Unknown => false,
    });
    contradictions.count()
}

/// Measures the bytes of control traffic per host and second while the configuration does not
/// change.
async fn idle_bytes_per_second(run: &Run) -> f64 {
    let before = control_bytes(run).await;
    let started = Instant::now();
    monoio::time::sleep(IDLE_DURATION).await;
    (control_bytes(run).await - before) / started.elapsed().as_secs_f64() / HOSTS as f64
}

/// Returns the bytes of control traffic so far, summed over the running hosts.
async fn control_bytes(run: &Run) -> f64 {
    let daemons = run.daemons.borrow().clone();
    let mut sum = 0.0;
    for daemon in daemons {
        let response = daemon.call_admin(http::Method::GET, "/metrics", Vec::new()).await;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let line = text.lines().find_map(|l| l.strip_prefix("basilhaven_control_bytes_total "));
        sum += line.and_then(|value| value.parse::<f64>().ok()).unwrap_or(0.0);
    }
    sum
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let index = ((sorted.len() as f64 * share).ceil() as usize).saturating_sub(1);
    sorted.get(index).copied().unwrap_or(f64::MAX)
}

/// Returns the time of day, in microseconds.
fn time_of_day_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_micros() as u64 % DAY_US
}

/// Microseconds in a day.
const DAY_US: u64 = 24 * 3_600 * 1_000_000;

/// Parses the time of day from the timestamp of a log line, in microseconds.
fn parse_time_of_day(timestamp: &str) -> Option<u64> {
    let time = timestamp.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 3_600 + minutes * 60) * 1_000_000 + (seconds * 1e6) as u64)
}
