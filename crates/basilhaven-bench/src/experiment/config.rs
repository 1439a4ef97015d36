//! `config`: changes of the configuration by two operators, through outages, lost answers and a host
//! that is replaced; from accepted to in force on every host.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use basilhaven::{admin, commit, order, profile};
use indexmap::IndexMap;

use crate::cluster::{Daemon, Platform};
use crate::process::Signal;
use crate::report::Report;
use crate::standin::platform::{Control, WriteRecord};

/// Hosts.
const HOSTS: usize = 13;

/// Changes that are to be accepted.
const CHANGES: usize = 200;

/// Changes that are to be accepted while hosts poll only.
const BASELINE_CHANGES: usize = 40;

/// What accepted to in force may take for 99 in 100, in milliseconds.
const MAX_IN_FORCE_P99_MS: u64 = 5_000;

/// The longest that the operators go on.
const WORK_LIMIT: Duration = Duration::from_secs(25);

/// How long hosts may take until they all have the last change.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);

/// The pause between two looks at a host.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// How long the hosts are looked at before anything changes.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Bytes that a host may spend for control in a second.
const MAX_IDLE_BYTES: f64 = 6_000.0;

/// The operators; each counts up in a profile of its own name.
const OPERATORS: [&str; 2] = ["anna", "bruno"];

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Accepted { revision: u64, at_us: u64 },
    Refused,
    Unknown,
}

/// One operator's orders: the count that each set, and its fate.
type Orders = IndexMap<u64, Fate>;

/// Daemons that may be replaced while others look at them.
type Daemons = RefCell<Vec<Rc<Daemon>>>;

/// What the run shares between its tasks.
struct Run {
    platform: Platform,
    daemons: Daemons,
    args: Vec<String>,
    accepted: Cell<usize>,
    changes: usize,
    over: Cell<bool>,
    reverts: Cell<usize>,
}

/// What was measured of one run.
struct Seen {
    in_force_ms: Vec<f64>,
    missing: usize,
    reverts: usize,
    untrue: usize,
    accepted: usize,
    refused: usize,
    unknown: usize,
    took: Duration,
    bytes: f64,
    idle_bytes: f64,
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("config", seed);
    fastrand::seed(seed);
    let spread = measure(true, CHANGES).await;
    let poll = measure(false, BASELINE_CHANGES).await;
    report.figure("accepted", spread.accepted);
    report.figure("refused", spread.refused);
    report.figure("unknown", spread.unknown);
    report.figure("in_force_p50_ms", percentile(&spread.in_force_ms, 0.5));
    report.figure("in_force_p99_ms", percentile(&spread.in_force_ms, 0.99));
    report.figure("in_force_max_ms", percentile(&spread.in_force_ms, 1.0));
    report.figure("not_in_force", spread.missing);
    report.figure("reverts", spread.reverts);
    report.figure("untrue_answers", spread.untrue);
    report.figure("control_bytes_per_host_and_second", spread.bytes);
    report.figure("idle_bytes_per_host_and_second", spread.idle_bytes);
    report.figure("seconds", spread.took.as_secs_f64());
    report.baseline("poll_only_in_force_p50_ms", percentile(&poll.in_force_ms, 0.5));
    report.baseline("poll_only_in_force_p99_ms", percentile(&poll.in_force_ms, 0.99));
    report.baseline("poll_only_idle_bytes_per_host_and_second", poll.idle_bytes);
    report.baseline("poll_only_in_force_max_ms", percentile(&poll.in_force_ms, 1.0));
    let p99 = percentile(&spread.in_force_ms, 0.99);
    report.target("accepted", CHANGES, spread.accepted >= CHANGES);
    report.target("in_force_p99_ms", MAX_IN_FORCE_P99_MS, p99 <= MAX_IN_FORCE_P99_MS as f64);
    report.target("idle_bytes", MAX_IDLE_BYTES, spread.idle_bytes <= MAX_IDLE_BYTES);
    report.target("not_in_force", 0, spread.missing == 0);
    report.target("reverts", 0, spread.reverts == 0 && poll.reverts == 0);
    report.target("untrue_answers", 0, spread.untrue == 0 && poll.untrue == 0);
    report
}

/// Has changes made; with `peers`, hosts know each other and faults happen, else they poll only.
async fn measure(peers: bool, changes: usize) -> Seen {
    let platform = Platform::start(&["--seed", &fastrand::u64(..1_000).to_string()]).await;
    let args = vec!["--platform".to_owned(), platform.address.to_string()];
    let daemons = match peers {
        true => Daemon::start_all(&["milano-a"; HOSTS], &args).await,
        false => start_apart(&args).await,
    };
    let run = Rc::new(Run {
        platform,
        daemons: RefCell::new(daemons.into_iter().map(Rc::new).collect()),
        args,
        accepted: Cell::new(0),
        changes,
        over: Cell::new(false),
        reverts: Cell::new(0),
    });
    let idle = idle_bytes(&run).await;
    let begun = Instant::now();
    let samplers: Vec<_> = (0..HOSTS).map(|i| monoio::spawn(sample(Rc::clone(&run), i))).collect();
    let operators: Vec<_> =
        (0..OPERATORS.len()).map(|i| monoio::spawn(operate(Rc::clone(&run), i))).collect();
    let killed = if peers { Some(disturb(&run).await) } else { None };
    let orders: Vec<Orders> = futures_util::future::join_all(operators).await;
    settle(&run, &orders).await;
    run.over.set(true);
    futures_util::future::join_all(samplers).await;
    let took = begun.elapsed();
    let writes = run.platform.writes().await;
    let mut seen = judge(&run, &orders, &writes, killed);
    seen.took = took;
    seen.bytes = control_bytes(&run).await / took.as_secs_f64() / HOSTS as f64;
    seen.idle_bytes = idle;
    seen
}

/// Daemons that do not know of each other.
async fn start_apart(args: &[String]) -> Vec<Daemon> {
    let mut daemons = Vec::with_capacity(HOSTS);
    for i in 1..=HOSTS {
        daemons.push(Daemon::start(&format!("entry-{i}"), "milano-a", args).await);
    }
    daemons
}

/// Gives orders through hosts drawn at random until enough are accepted.
async fn operate(run: Rc<Run>, operator: usize) -> Orders {
    let mut orders = Orders::new();
    let until = Instant::now() + WORK_LIMIT;
    for count in 1.. {
        if run.accepted.get() >= run.changes || Instant::now() >= until {
            break;
        }
        let daemon = {
            // The last host is the one that is replaced: an operator's connection would end with it.
            let daemons = run.daemons.borrow();
            Rc::clone(&daemons[fastrand::usize(..HOSTS - 1)])
        };
        let profile = profile::Profile { queue_len: count as usize, ..Default::default() };
        let name = OPERATORS[operator].parse().expect("a name");
        let response = daemon.order(&order::Order::SetProfile(name, profile)).await;
        let fate = match response.status {
            http::StatusCode::OK => {
                run.accepted.set(run.accepted.get() + 1);
                let accepted: admin::orders::Accepted =
                    serde_json::from_slice(&response.body).expect("an answer");
                Fate::Accepted { revision: accepted.revision, at_us: now_us() }
            }
            http::StatusCode::GATEWAY_TIMEOUT => Fate::Unknown,
            _ => Fate::Refused,
        };
        orders.insert(count, fate);
        monoio::time::sleep(Duration::from_millis(fastrand::u64(40..160))).await;
    }
    orders
}

/// Has the platform fail in turn, and one host replaced; the one that was killed.
async fn disturb(run: &Rc<Run>) -> Rc<Daemon> {
    let pause = |ms| monoio::time::sleep(Duration::from_millis(ms));
    pause(1_500).await;
    set(run, Control { down: Some(true), ..Control::default() }).await;
    pause(2_000).await;
    set(run, Control { down: Some(false), ..Control::default() }).await;
    pause(1_000).await;
    set(run, Control { slow_ms: Some(300), ..Control::default() }).await;
    pause(2_000).await;
    set(run, Control { slow_ms: Some(0), lose_answers: Some(0.3), ..Control::default() }).await;
    let old = run.daemons.borrow_mut().pop().expect("a host");
    old.process.signal(Signal::Kill);
    pause(1_500).await;
    set(run, Control { lose_writes: Some(0.3), ..Control::default() }).await;
    let mut args = run.args.clone();
    let seed = run.daemons.borrow()[0].peer;
    args.extend(["--seed".to_owned(), seed.to_string()]);
    let fresh = Daemon::start("entry-14", "milano-a", &args).await;
    run.daemons.borrow_mut().push(Rc::new(fresh));
    pause(1_500).await;
    let healed = Control { lose_answers: Some(0.0), lose_writes: Some(0.0), ..Control::default() };
    set(run, healed).await;
    old
}

async fn set(run: &Run, control: Control) {
    run.platform.control(&control).await;
}

/// Looks at one host's configuration again and again; nothing in it may go back.
async fn sample(run: Rc<Run>, host: usize) {
    let mut last: Option<(String, u64, Vec<usize>)> = None;
    while !run.over.get() {
        monoio::time::sleep(SAMPLE_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        let daemon = run.daemons.borrow().get(host).cloned();
        let Some(daemon) = daemon else { continue };
        let Some(config) = daemon.try_config().await else { continue };
        let counts: Vec<usize> = OPERATORS
            .iter()
            .map(|name| config.document.profiles.get(*name).map_or(0, |p| p.queue_len))
            .collect();
        if let Some((name, revision, before)) = &last {
            let went_back = before.iter().zip(&counts).any(|(before, now)| now < before);
            if *name == daemon.name && (config.revision < *revision || went_back) {
                run.reverts.set(run.reverts.get() + 1);
            }
        }
        last = Some((daemon.name.clone(), config.revision, counts));
    }
}

/// Waits until every host has the last accepted change, or the time for it is over.
async fn settle(run: &Run, orders: &[Orders]) {
    let last = accepted(orders).map(|(revision, _)| revision).max().unwrap_or(0);
    let until = Instant::now() + SETTLE_LIMIT;
    let daemons = run.daemons.borrow().clone();
    for daemon in daemons {
        while daemon.status().await.revisions.config < last && Instant::now() < until {
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn accepted(orders: &[Orders]) -> impl Iterator<Item = (u64, u64)> + '_ {
    orders.iter().flat_map(|orders| orders.values()).filter_map(|fate| match fate {
        Fate::Accepted { revision, at_us } => Some((*revision, *at_us)),
        Fate::Refused | Fate::Unknown => None,
    })
}

fn judge(run: &Run, orders: &[Orders], writes: &[WriteRecord], killed: Option<Rc<Daemon>>) -> Seen {
    let mut seen = Seen {
        in_force_ms: Vec::new(),
        missing: 0,
        reverts: run.reverts.get(),
        untrue: orders.iter().enumerate().map(|(i, o)| untrue(OPERATORS[i], o, writes)).sum(),
        accepted: accepted(orders).count(),
        refused: 0,
        unknown: 0,
        took: Duration::ZERO,
        bytes: 0.0,
        idle_bytes: 0.0,
    };
    for fate in orders.iter().flat_map(|orders| orders.values()) {
        match fate {
            Fate::Accepted { .. } => {}
            Fate::Refused => seen.refused += 1,
            Fate::Unknown => seen.unknown += 1,
        }
    }
    for daemon in run.daemons.borrow().iter() {
        add_host(&mut seen, orders, daemon, true);
    }
    if let Some(killed) = killed {
        add_host(&mut seen, orders, &killed, false);
    }
    seen.in_force_ms.sort_by(f64::total_cmp);
    seen
}

/// Adds what one host's log says; changes that were accepted before it started, or that a host did not
/// live to apply, are passed over.
fn add_host(seen: &mut Seen, orders: &[Orders], daemon: &Daemon, is_alive: bool) {
    let lines = daemon.process.lines();
    let time = |line: &serde_json::Value| line["timestamp"].as_str().and_then(micros);
    let started = lines.iter().find(|line| line["event"] == "ready").and_then(time).unwrap_or(0);
    let applied: Vec<(u64, u64)> = lines
        .iter()
        .filter(|line| line["event"] == "rows_applied")
        .filter_map(|line| Some((line["config"].as_u64()?, time(line)?)))
        .collect();
    seen.reverts += applied.windows(2).filter(|pair| pair[1].0 < pair[0].0).count();
    for (revision, at_us) in accepted(orders).filter(|(_, at_us)| *at_us > started) {
        match applied.iter().find(|(config, _)| *config >= revision) {
            Some((_, t)) => seen.in_force_ms.push(t.saturating_sub(at_us) as f64 / 1_000.0),
            None if is_alive => seen.missing += 1,
            None => {}
        }
    }
}

/// Answers to one operator that the table's own record belies.
fn untrue(operator: &str, orders: &Orders, writes: &[WriteRecord]) -> usize {
    let mut set: IndexMap<u64, u64> = IndexMap::new();
    for written in writes.iter().filter(|written| written.key == commit::CONFIG_KEY) {
        let count = written.value["document"]["profiles"][operator]["queue_len"].as_u64();
        if let Some(count) = count {
            set.entry(count).or_insert(written.revision);
        }
    }
    let belied = orders.iter().filter(|(count, fate)| match fate {
        Fate::Accepted { revision, .. } => set.get(*count) != Some(revision),
        Fate::Refused => set.contains_key(*count),
        Fate::Unknown => false,
    });
    belied.count()
}

/// Bytes that a host sends and receives for control in a second while nothing changes.
async fn idle_bytes(run: &Run) -> f64 {
    let before = control_bytes(run).await;
    let begun = Instant::now();
    monoio::time::sleep(IDLE_TIME).await;
    (control_bytes(run).await - before) / begun.elapsed().as_secs_f64() / HOSTS as f64
}

/// Bytes that the hosts alive have sent and received for control.
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

/// Microseconds of the day.
fn now_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_micros() as u64 % DAY_US
}

/// Microseconds in a day.
const DAY_US: u64 = 24 * 3_600 * 1_000_000;

/// Microseconds of the day that a log line's time names.
fn micros(timestamp: &str) -> Option<u64> {
    let time = timestamp.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = time.split(':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 3_600 + minutes * 60) * 1_000_000 + (seconds * 1e6) as u64)
}
