//! `membership`: control traffic by the number of hosts, the propagation of a change, and the
//! detection of hosts that are killed, paused or short of CPU.

use std::time::{Duration, Instant};

use basilhaven::{call, member, order, wire};

use crate::cluster::{Daemon, Platform, PEER_KEY};
use crate::process::Signal;
use crate::report::Report;

/// Numbers of hosts at which control traffic is measured, from the present to the design size.
const SIZES: [usize; 4] = [13, 26, 52, 104];

/// The duration of the measurement of control traffic at each size.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(3);

/// The environment variable that replaces [`MEASUREMENT_DURATION`] at the largest size, in seconds.
const DURATION_VARIABLE: &str = "BASILHAVEN_STEADY_SECONDS";

/// The limit on waiting until the membership views of all hosts agree.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The limit on the time for which a dead host is still advertised.
const MAX_ADVERTISED_TIME: Duration = Duration::from_secs(3);

/// The limit on the time until an accepted change is in force on every host.
const MAX_IN_FORCE_DELAY: Duration = Duration::from_secs(5);

/// The limit on the bytes of membership traffic per host and second.
const MAX_BYTES_PER_SECOND: f64 = 2_000.0;

/// The limit on the bytes of all control traffic per host and second.
const MAX_CONTROL_BYTES_PER_SECOND: f64 = 6_000.0;

/// Changes of the configuration per day.
const CHANGES_PER_DAY: f64 = 2_400.0;

/// The time for which all cores are kept busy.
const BUSY_DURATION: Duration = Duration::from_secs(3);

/// The duration of a process pause after which a host must not be declared dead.
const PAUSE_DURATION: Duration = Duration::from_millis(1_000);

/// The length of a frame's version and authentication code, in bytes.
const ENVELOPE_LEN: usize = 17;

/// The length of the IP and UDP headers, in bytes.
const HEADERS_LEN: usize = 28;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("membership", seed);
    let mut random = fastrand::Rng::with_seed(seed);
    let platform = Platform::start(&[]).await;
    let mut daemons = Vec::new();
    let mut max_bytes: f64 = 0.0;
    for size in SIZES {
        grow_cluster(&mut daemons, size, &platform).await;
        let join_time = wait_until_settled(&daemons).await;
        report.figure(&format!("join_ms_at_{size}"), join_time.as_millis());
        let duration = if Some(&size) == SIZES.last() {
            largest_size_duration()
        } else {
            MEASUREMENT_DURATION
        };
        let (mean, max) = bytes_per_second(&daemons, duration).await;
        report.figure(&format!("bytes_per_second_at_{size}"), mean.round());
        report.figure(&format!("most_bytes_per_second_at_{size}"), max.round());
        report.baseline(
            &format!("full_mesh_bytes_per_second_at_{size}"),
            full_mesh_bytes_per_second(&daemons[0], size),
        );
        max_bytes = max_bytes.max(mean);
    }
    report.target("bytes_per_second", MAX_BYTES_PER_SECOND, max_bytes <= MAX_BYTES_PER_SECOND);
    let rss = daemons.iter().map(|d| d.process.resident_bytes()).max().unwrap_or_default();
    report.figure("most_rss_kib", rss / 1024);
    measure_change(&daemons, &mut report, max_bytes).await;
    measure_faults(&mut daemons, &mut report, &mut random).await;
    report
}

fn largest_size_duration() -> Duration {
    let seconds = std::env::var(DURATION_VARIABLE).ok().and_then(|s| s.parse().ok());
    seconds.map_or(MEASUREMENT_DURATION, Duration::from_secs)
}

/// Starts more daemons until there are `size`. Only the first one is connected to the platform, so
/// that the others receive changes only from their peers.
async fn grow_cluster(daemons: &mut Vec<Daemon>, size: usize, platform: &Platform) {
    while daemons.len() < size {
        let i = daemons.len();
        let mut args = vec!["--entry-ttl-ms".to_owned(), "100".to_owned()];
        match i {
            0 => args.extend(["--platform".to_owned(), platform.address.to_string()]),
            _ => {
                for seed in daemons.iter().take(3) {
                    let seed: &Daemon = seed;
                    args.extend(["--seed".to_owned(), seed.peer.to_string()]);
                }
            }
        }
        let data_centre = format!("dc-{}", i % 8 + 1);
        daemons.push(Daemon::start(&format!("entry-{}", i + 1), &data_centre, &args).await);
    }
}

/// Waits until every host advertises all hosts, and returns how long that took.
async fn wait_until_settled(daemons: &[Daemon]) -> Duration {
    let started = Instant::now();
    for daemon in daemons {
        while daemon.advertised_hosts().await.len() != daemons.len() {
            if started.elapsed() >= SETTLE_TIMEOUT {
                let status = daemon.status().await;
                let (dead, suspect) = (status.dead, status.suspect);
                let known = status.others.len() + 1;
                panic!("{} knows {known}, suspect {suspect:?}, dead {dead:?}", daemon.name);
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    started.elapsed()
}

/// Returns the mean and the maximum over all hosts.
async fn bytes_per_second(daemons: &[Daemon], duration: Duration) -> (f64, f64) {
    let before = control_bytes(daemons).await;
    let started = Instant::now();
    monoio::time::sleep(duration).await;
    let after = control_bytes(daemons).await;
    let seconds = started.elapsed().as_secs_f64();
    let rates: Vec<f64> = before.iter().zip(&after).map(|(b, a)| (a - b) / seconds).collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    (mean, rates.iter().copied().fold(0.0, f64::max))
}

async fn control_bytes(daemons: &[Daemon]) -> Vec<f64> {
    let mut bytes = Vec::with_capacity(daemons.len());
    for daemon in daemons {
        bytes.push(read_metric(daemon, "basilhaven_control_bytes_total").await);
    }
    bytes
}

/// Returns the value of a metric without labels, or 0 if it has never been set.
pub(crate) async fn read_metric(daemon: &Daemon, name: &str) -> f64 {
    let response = daemon.call_admin(http::Method::GET, "/metrics", Vec::new()).await;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or_default()
}

/// Returns the bytes per host and second that heartbeats in a full mesh would need: two heartbeats
/// a second to every other host, each with the records of four hosts. Computed from the encoded
/// length of a record.
fn full_mesh_bytes_per_second(daemon: &Daemon, size: usize) -> usize {
    let host = member::Host {
        name: daemon.name.parse().expect("a name"),
        incarnation: 1_700_000_000_000,
        data_centre: "dc-1".parse().expect("a name"),
        callers: daemon.callers,
        admin: daemon.admin,
        peer: daemon.peer,
        leaving: false,
        revisions: Default::default(),
    };
    let message = wire::Message::Exchange(host).encode(&call::Key::from(PEER_KEY));
    let record = message.expect("a short message").len() - ENVELOPE_LEN - 1;
    2 * (size - 1) * (4 * record + ENVELOPE_LEN + HEADERS_LEN)
}

/// Sends a change to the host that is connected to the platform, and measures its propagation.
async fn measure_change(daemons: &[Daemon], report: &mut Report, idle_bytes_per_second: f64) {
    let before = control_bytes(daemons).await;
    let started = Instant::now();
    let order =
        order::Order::Out(order::Target::Upstream("no-such-upstream".parse().expect("a name")));
    let response = daemons[0].force(&order).await;
    assert!(response.status.is_success(), "{:?}", response.body);
    for daemon in daemons {
        while own_revision(daemon).await == 0 && started.elapsed() < SETTLE_TIMEOUT {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let in_force = started.elapsed();
    let mut known_by_all = in_force;
    for daemon in daemons {
        while !knows_all_in_force(daemon, daemons.len()).await && started.elapsed() < SETTLE_TIMEOUT
        {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        known_by_all = started.elapsed();
    }
    monoio::time::sleep(MEASUREMENT_DURATION).await;
    let after = control_bytes(daemons).await;
    let sent: f64 = before.iter().zip(&after).map(|(b, a)| a - b).sum();
    let extra =
        sent / daemons.len() as f64 - idle_bytes_per_second * started.elapsed().as_secs_f64();
    let bytes_per_second_with_changes =
        idle_bytes_per_second + extra.max(0.0) * CHANGES_PER_DAY / SECONDS_PER_DAY;
    report.figure("in_force_on_all_ms", in_force.as_millis());
    report.figure("seen_in_force_by_all_ms", known_by_all.as_millis());
    report.figure("bytes_per_change", extra.max(0.0).round());
    report.figure("bytes_per_second_with_changes", bytes_per_second_with_changes.round());
    report.target(
        "in_force_on_all_ms",
        MAX_IN_FORCE_DELAY.as_millis(),
        in_force <= MAX_IN_FORCE_DELAY,
    );
    report.target(
        "seen_in_force_by_all_ms",
        MAX_IN_FORCE_DELAY.as_millis(),
        known_by_all <= MAX_IN_FORCE_DELAY,
    );
    let is_within_limit = bytes_per_second_with_changes <= MAX_CONTROL_BYTES_PER_SECOND;
    report.target("bytes_per_second_with_changes", MAX_CONTROL_BYTES_PER_SECOND, is_within_limit);
}

async fn own_revision(daemon: &Daemon) -> u64 {
    daemon.status().await.revisions.config
}

async fn knows_all_in_force(daemon: &Daemon, hosts: usize) -> bool {
    let status = daemon.status().await;
    status.others.iter().filter(|host| host.revisions.config > 0).count() + 1 == hosts
}

/// Keeps all cores busy, pauses hosts and kills one, and measures how the other hosts react.
async fn measure_faults(
    daemons: &mut Vec<Daemon>,
    report: &mut Report,
    random: &mut fastrand::Rng,
) {
    keep_cores_busy().await;
    let paused = random.usize(1..daemons.len());
    daemons[paused].process.signal(Signal::Stop);
    monoio::time::sleep(PAUSE_DURATION).await;
    daemons[paused].process.signal(Signal::Continue);
    let return_time = wait_until_settled(daemons).await;
    report.figure("back_in_answers_after_pause_ms", return_time.as_millis());
    let deaths = count_members(daemons, "dead", &[]);
    report.figure("false_suspicions", count_members(daemons, "suspect", &[&daemons[paused].name]));
    report.target("false_deaths", 0, deaths == 0);

    let stopped = daemons.remove(random.usize(1..daemons.len()));
    stopped.process.signal(Signal::Stop);
    let removal_time = wait_until_not_advertised(daemons, &stopped.name).await;
    report.figure("stopped_host_out_ms", removal_time.as_millis());
    report.target(
        "stopped_host_out_ms",
        MAX_ADVERTISED_TIME.as_millis(),
        removal_time <= MAX_ADVERTISED_TIME,
    );

    let killed = daemons.remove(random.usize(1..daemons.len()));
    killed.process.signal(Signal::Kill);
    let removal_time = wait_until_not_advertised(daemons, &killed.name).await;
    report.figure("killed_host_out_ms", removal_time.as_millis());
    report.target(
        "killed_host_out_ms",
        MAX_ADVERTISED_TIME.as_millis(),
        removal_time <= MAX_ADVERTISED_TIME,
    );

    let started = Instant::now();
    while count_members(daemons, "dead", &[]) < 2 * daemons.len()
        && started.elapsed() < SETTLE_TIMEOUT
    {
        monoio::time::sleep(Duration::from_millis(200)).await;
    }
    stopped.process.signal(Signal::Continue);
    daemons.push(stopped);
    let return_time = wait_until_settled(daemons).await;
    report.figure("dead_host_back_ms", return_time.as_millis());
    let faulty_hosts = [&*killed.name, &daemons[daemons.len() - 1].name];
    let others = &daemons[..daemons.len() - 1];
    let deaths = count_members(others, "dead", &faulty_hosts);
    report.target("false_deaths_after_faults", 0, deaths == 0);
}

/// Keeps all cores busy for [`BUSY_DURATION`].
async fn keep_cores_busy() {
    let until = Instant::now() + BUSY_DURATION;
    let cores = std::thread::available_parallelism().map_or(4, usize::from);
    let threads: Vec<_> = (0..cores)
        .map(|_| {
            std::thread::spawn(move || {
                let mut sum = 0u64;
                while Instant::now() < until {
                    sum = std::hint::black_box(sum.wrapping_add(1));
                }
            })
        })
        .collect();
    monoio::time::sleep(BUSY_DURATION).await;
    for thread in threads {
        thread.join().expect("a thread that does not panic");
    }
}

/// Waits until no host advertises the given one, and returns how long that took.
async fn wait_until_not_advertised(daemons: &[Daemon], name: &str) -> Duration {
    let started = Instant::now();
    for daemon in daemons {
        while daemon.advertised_hosts().await.iter().any(|host| host.name.as_str() == name) {
            assert!(started.elapsed() < SETTLE_TIMEOUT, "{} still advertises {name}", daemon.name);
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    started.elapsed()
}

/// Counts the logged changes of other hosts' health to `to`, except those of the hosts in
/// `excluded`.
pub(crate) fn count_members(daemons: &[Daemon], to: &str, excluded: &[&str]) -> usize {
    let mut count = 0;
    for daemon in daemons {
        let lines = daemon.process.lines();
        let changes = lines.iter().filter(|line| line["event"] == "member" && line["to"] == to);
        count += changes.filter(|line| !excluded.iter().any(|name| line["host"] == *name)).count();
    }
    count
}
