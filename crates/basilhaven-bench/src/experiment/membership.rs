//! `membership`: hosts that die or pause, hosts under load, and the bytes that it all takes.

use std::time::{Duration, Instant};

use basilhaven::{call, member, order, wire};

use crate::cluster::{Daemon, Platform, PEER_KEY};
use crate::process::Signal;
use crate::report::Report;

/// Hosts at which the bytes are measured, from today's to the most that are designed for.
const SIZES: [usize; 4] = [13, 26, 52, 104];

/// For how long the bytes are measured at each size.
const STEADY: Duration = Duration::from_secs(3);

/// Names the seconds for which the bytes are measured at the largest size, in place of [`STEADY`].
const STEADY_VARIABLE: &str = "BASILHAVEN_STEADY_SECONDS";

/// How long the views may take to settle after hosts have started.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a dead host may stay in answers.
const MAX_OUT: Duration = Duration::from_secs(3);

/// How long an accepted change may take to be in force on every host.
const MAX_IN_FORCE: Duration = Duration::from_secs(5);

/// Bytes that a host may spend on membership, in a second.
const MAX_BYTES_PER_SECOND: f64 = 2_000.0;

/// Bytes that a host may spend on all control, in a second.
const MAX_CONTROL_BYTES_PER_SECOND: f64 = 6_000.0;

/// Changes of the configuration in a day.
const CHANGES_PER_DAY: f64 = 2_400.0;

/// For how long all cores are kept busy.
const BURN: Duration = Duration::from_secs(3);

/// How long a host is paused so that it may not be taken for dead.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Bytes of a frame's version and code.
const ENVELOPE_LEN: usize = 17;

/// Bytes of the IP and UDP headers.
const HEADERS_LEN: usize = 28;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("membership", seed);
    let mut random = fastrand::Rng::with_seed(seed);
    let platform = Platform::start(&[]).await;
    let mut daemons = Vec::new();
    let mut most_bytes: f64 = 0.0;
    for size in SIZES {
        grow(&mut daemons, size, &platform).await;
        let joined = settle(&daemons).await;
        report.figure(&format!("join_ms_at_{size}"), joined.as_millis());
        let window = if Some(&size) == SIZES.last() { longest_window() } else { STEADY };
        let (mean, most) = bytes_per_second(&daemons, window).await;
        report.figure(&format!("bytes_per_second_at_{size}"), mean.round());
        report.figure(&format!("most_bytes_per_second_at_{size}"), most.round());
        report.baseline(
            &format!("full_mesh_bytes_per_second_at_{size}"),
            full_mesh(&daemons[0], size),
        );
        most_bytes = most_bytes.max(mean);
    }
    report.target("bytes_per_second", MAX_BYTES_PER_SECOND, most_bytes <= MAX_BYTES_PER_SECOND);
    let rss = daemons.iter().map(|d| d.process.resident_bytes()).max().unwrap_or_default();
    report.figure("most_rss_kib", rss / 1024);
    measure_change(&daemons, &mut report, most_bytes).await;
    measure_faults(&mut daemons, &mut report, &mut random).await;
    report
}

fn longest_window() -> Duration {
    let seconds = std::env::var(STEADY_VARIABLE).ok().and_then(|s| s.parse().ok());
    seconds.map_or(STEADY, Duration::from_secs)
}

/// Starts more daemons, until there are `size`. Only the first meets the platform, so that the others
/// learn of changes from their peers alone.
async fn grow(daemons: &mut Vec<Daemon>, size: usize, platform: &Platform) {
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

/// Waits until every host names all; how long that took.
async fn settle(daemons: &[Daemon]) -> Duration {
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

/// The mean and the most over all hosts.
async fn bytes_per_second(daemons: &[Daemon], window: Duration) -> (f64, f64) {
    let before = control_bytes(daemons).await;
    let started = Instant::now();
    monoio::time::sleep(window).await;
    let after = control_bytes(daemons).await;
    let seconds = started.elapsed().as_secs_f64();
    let rates: Vec<f64> = before.iter().zip(&after).map(|(b, a)| (a - b) / seconds).collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    (mean, rates.iter().copied().fold(0.0, f64::max))
}

async fn control_bytes(daemons: &[Daemon]) -> Vec<f64> {
    let mut bytes = Vec::with_capacity(daemons.len());
    for daemon in daemons {
        bytes.push(metric(daemon, "basilhaven_control_bytes_total").await);
    }
    bytes
}

/// The value of a metric without labels; 0 when it was never set.
pub(crate) async fn metric(daemon: &Daemon, name: &str) -> f64 {
    let response = daemon.call_admin(http::Method::GET, "/metrics", Vec::new()).await;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.trim().parse().ok()).unwrap_or_default()
}

/// What heartbeats of the full mesh would take: two a second to every other host, each with the
/// records of four hosts. Worked out from the length of a record.
fn full_mesh(daemon: &Daemon, size: usize) -> usize {
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

/// Has a change accepted on the one host that meets the platform, and follows it.
async fn measure_change(daemons: &[Daemon], report: &mut Report, steady: f64) {
    let before = control_bytes(daemons).await;
    let started = Instant::now();
    let out =
        order::Order::Out(order::Target::Upstream("no-such-upstream".parse().expect("a name")));
    let response = daemons[0].force(&out).await;
    assert!(response.status.is_success(), "{:?}", response.body);
    for daemon in daemons {
        while own_revision(daemon).await == 0 && started.elapsed() < SETTLE_TIMEOUT {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let in_force = started.elapsed();
    let mut seen = in_force;
    for daemon in daemons {
        while !sees_all_in_force(daemon, daemons.len()).await && started.elapsed() < SETTLE_TIMEOUT
        {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        seen = started.elapsed();
    }
    monoio::time::sleep(STEADY).await;
    let after = control_bytes(daemons).await;
    let sent: f64 = before.iter().zip(&after).map(|(b, a)| a - b).sum();
    let extra = sent / daemons.len() as f64 - steady * started.elapsed().as_secs_f64();
    let all = steady + extra.max(0.0) * CHANGES_PER_DAY / SECONDS_PER_DAY;
    report.figure("in_force_on_all_ms", in_force.as_millis());
    report.figure("seen_in_force_by_all_ms", seen.as_millis());
    report.figure("bytes_per_change", extra.max(0.0).round());
    report.figure("bytes_per_second_with_changes", all.round());
    report.target("in_force_on_all_ms", MAX_IN_FORCE.as_millis(), in_force <= MAX_IN_FORCE);
    report.target("seen_in_force_by_all_ms", MAX_IN_FORCE.as_millis(), seen <= MAX_IN_FORCE);
    let within = all <= MAX_CONTROL_BYTES_PER_SECOND;
    report.target("bytes_per_second_with_changes", MAX_CONTROL_BYTES_PER_SECOND, within);
}

async fn own_revision(daemon: &Daemon) -> u64 {
    daemon.status().await.revisions.config
}

async fn sees_all_in_force(daemon: &Daemon, hosts: usize) -> bool {
    let status = daemon.status().await;
    status.others.iter().filter(|host| host.revisions.config > 0).count() + 1 == hosts
}

/// Keeps all cores busy, pauses hosts and kills one.
async fn measure_faults(
    daemons: &mut Vec<Daemon>,
    report: &mut Report,
    random: &mut fastrand::Rng,
) {
    burn().await;
    let paused = random.usize(1..daemons.len());
    daemons[paused].process.signal(Signal::Stop);
    monoio::time::sleep(PAUSE).await;
    daemons[paused].process.signal(Signal::Continue);
    let returned = settle(daemons).await;
    report.figure("back_in_answers_after_pause_ms", returned.as_millis());
    let deaths = count_members(daemons, "dead", &[]);
    report.figure("false_suspicions", count_members(daemons, "suspect", &[&daemons[paused].name]));
    report.target("false_deaths", 0, deaths == 0);

    let stopped = daemons.remove(random.usize(1..daemons.len()));
    stopped.process.signal(Signal::Stop);
    let out = out_of_answers(daemons, &stopped.name).await;
    report.figure("stopped_host_out_ms", out.as_millis());
    report.target("stopped_host_out_ms", MAX_OUT.as_millis(), out <= MAX_OUT);

    let killed = daemons.remove(random.usize(1..daemons.len()));
    killed.process.signal(Signal::Kill);
    let out = out_of_answers(daemons, &killed.name).await;
    report.figure("killed_host_out_ms", out.as_millis());
    report.target("killed_host_out_ms", MAX_OUT.as_millis(), out <= MAX_OUT);

    let started = Instant::now();
    while count_members(daemons, "dead", &[]) < 2 * daemons.len()
        && started.elapsed() < SETTLE_TIMEOUT
    {
        monoio::time::sleep(Duration::from_millis(200)).await;
    }
    stopped.process.signal(Signal::Continue);
    daemons.push(stopped);
    let returned = settle(daemons).await;
    report.figure("dead_host_back_ms", returned.as_millis());
    let victims = [&*killed.name, &daemons[daemons.len() - 1].name];
    let others = &daemons[..daemons.len() - 1];
    let deaths = count_members(others, "dead", &victims);
    report.target("false_deaths_after_faults", 0, deaths == 0);
}

/// Keeps all cores busy for a while.
async fn burn() {
    let until = Instant::now() + BURN;
    let cores = std::thread::available_parallelism().map_or(4, usize::from);
    let burners: Vec<_> = (0..cores)
        .map(|_| {
            std::thread::spawn(move || {
                let mut sum = 0u64;
                while Instant::now() < until {
                    sum = std::hint::black_box(sum.wrapping_add(1));
                }
            })
        })
        .collect();
    monoio::time::sleep(BURN).await;
    for burner in burners {
        burner.join().expect("a loop");
    }
}

/// How long it takes until no host names this one.
async fn out_of_answers(daemons: &[Daemon], name: &str) -> Duration {
    let started = Instant::now();
    for daemon in daemons {
        while daemon.advertised_hosts().await.iter().any(|host| host.name.as_str() == name) {
            assert!(started.elapsed() < SETTLE_TIMEOUT, "{} still names {name}", daemon.name);
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    started.elapsed()
}

/// Changes of other hosts' health to `to` that the hosts have logged, but for those of some hosts.
pub(crate) fn count_members(daemons: &[Daemon], to: &str, but: &[&str]) -> usize {
    let mut count = 0;
    for daemon in daemons {
        let lines = daemon.process.lines();
        let changes = lines.iter().filter(|line| line["event"] == "member" && line["to"] == to);
        count += changes.filter(|line| !but.iter().any(|name| line["host"] == *name)).count();
    }
    count
}
