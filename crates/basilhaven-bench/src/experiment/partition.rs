//! `partition`: a network partition between two groups of hosts, one of which also loses the
//! platform.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilhaven::order;

use crate::cluster::{self, Daemon, Platform, Upstream};
use crate::process::{self, Process};
use crate::report::Report;
use crate::standin::relay;

/// The number of hosts in each group.
const GROUP_SIZE: usize = 3;

/// The duration of the partition.
const PARTITION_DURATION: Duration = Duration::from_secs(8);

/// The limit on the time for which hosts of the other group are still advertised.
const MAX_ADVERTISED_TIME: Duration = Duration::from_secs(3);

/// The limit on the time after the end of the partition until the hosts' membership views and
/// revisions agree.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(10);

/// The limit on waiting for any other step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Calls per second to the hosts of one group.
const RATE: f64 = 100.0;

struct Relay {
    process: Process,
}

struct Setup {
    _upstreams: Vec<Upstream>,
    platform: Platform,
    platform_relay: Relay,
    relays: Vec<Relay>,
    daemons: Vec<Daemon>,
}

impl Relay {
    async fn start() -> Relay {
        let args = ["relay".to_owned()];
        Relay { process: Process::start(&process::program("basilhaven-bench"), &args, &[]).await }
    }

    fn address(&self) -> SocketAddr {
        self.process.ready("address")
    }

    async fn control(&self, control: &relay::Control) {
        let body = serde_json::to_vec(control).expect("plain data");
        cluster::post(self.process.ready("control"), "/", body).await;
    }
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("partition", seed);
    let setup = start().await;
    let (with_platform, without_platform) = setup.daemons.split_at(GROUP_SIZE);
    let first = send_accepted_order(&with_platform[0], "first").await;
    wait_for_revision(&setup.daemons, first, STEP_TIMEOUT).await;
    let callers =
        [start_callers(with_platform, seed).await, start_callers(without_platform, seed).await];

    setup.set_partitioned(true).await;
    let started = Instant::now();
    wait_for_views(with_platform, GROUP_SIZE).await;
    wait_for_views(without_platform, GROUP_SIZE).await;
    report.figure("other_side_out_ms", started.elapsed().as_millis());
    report.target(
        "other_side_out_ms",
        MAX_ADVERTISED_TIME.as_millis(),
        started.elapsed() <= MAX_ADVERTISED_TIME,
    );
    let second = send_accepted_order(&with_platform[0], "second").await;
    wait_for_revision(with_platform, second, STEP_TIMEOUT).await;
    let status = without_platform[0].force(&take_out("third")).await.status;
    report.target("order_without_platform", 503, status == http::StatusCode::SERVICE_UNAVAILABLE);
    let kept_revisions = revisions(without_platform).await;
    report.target("kept_without_platform", first, kept_revisions.iter().all(|r| *r == first));
    monoio::time::sleep(PARTITION_DURATION.saturating_sub(started.elapsed())).await;

    setup.set_partitioned(false).await;
    let ended = Instant::now();
    let reverts = wait_for_revision(&setup.daemons, second, STEP_TIMEOUT).await;
    report.figure("revision_everywhere_after_heal_ms", ended.elapsed().as_millis());
    wait_for_views(&setup.daemons, 2 * GROUP_SIZE).await;
    let recovery_time = ended.elapsed();
    report.figure("views_the_same_after_heal_ms", recovery_time.as_millis());
    report.target(
        "views_and_revisions_same_ms",
        MAX_RECOVERY_TIME.as_millis(),
        recovery_time <= MAX_RECOVERY_TIME,
    );
    report.target("reverted", 0, reverts == 0);
    for (group, mut process) in ["with_platform", "without_platform"].into_iter().zip(callers) {
        assert_eq!(
            process.wait(STEP_TIMEOUT).await,
            Some(true),
            "the callers did not exit successfully"
        );
        let summary = cluster::summary(&process);
        report.figure(&format!("failed_{group}"), &summary.failed);
        let name = format!("answered_{group}");
        report.target(&name, summary.calls, summary.answered == summary.calls);
    }
    drop(setup.platform);
    report
}

async fn start() -> Setup {
    let platform = Platform::start(&[]).await;
    let platform_relay = Relay::start().await;
    let target = Some(platform.address);
    platform_relay.control(&relay::Control { target, ..Default::default() }).await;
    let upstreams = vec![
        Upstream::start("catalogo", "u1", "milano-a", &[]).await,
        Upstream::start("catalogo", "u2", "torino-b", &[]).await,
    ];
    let specs = upstreams.iter().map(Upstream::spec).collect();
    platform.put_hosts(&basilhaven::config::Hosts { upstreams: specs, entries: Vec::new() }).await;
    let mut relays: Vec<Relay> = Vec::new();
    let mut daemons = Vec::new();
    for i in 0..2 * GROUP_SIZE {
        let relay = Relay::start().await;
        let platform_address =
            if i < GROUP_SIZE { platform.address } else { platform_relay.address() };
        let mut args = vec!["--platform".to_owned(), platform_address.to_string()];
        args.extend(["--advertise-peer".to_owned(), relay.address().to_string()]);
        args.extend(["--entry-ttl-ms".to_owned(), "500".to_owned()]);
        for seed in relays.iter().take(3) {
            args.extend(["--seed".to_owned(), seed.address().to_string()]);
        }
        let data_centre = if i < GROUP_SIZE { "milano-a" } else { "torino-b" };
        let daemon = Daemon::start(&format!("entry-{}", i + 1), data_centre, &args).await;
        let target = Some(daemon.process.ready("bound_peer"));
        relay.control(&relay::Control { target, ..Default::default() }).await;
        relays.push(relay);
        daemons.push(daemon);
    }
    let setup = Setup { _upstreams: upstreams, platform, platform_relay, relays, daemons };
    wait_for_views(&setup.daemons, 2 * GROUP_SIZE).await;
    let until = Instant::now() + STEP_TIMEOUT;
    for daemon in &setup.daemons {
        while daemon.status().await.services.is_empty() {
            assert!(
                Instant::now() < until,
                "{} has not received the list of upstreams",
                daemon.name
            );
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    setup
}

impl Setup {
    /// Starts or ends the partition between the groups, and disconnects the second group from the
    /// platform. The platform stays disconnected after the end of the partition, so that the second
    /// group can receive changes only from the first one.
    async fn set_partitioned(&self, is_partitioned: bool) {
        let peer_addresses: Vec<SocketAddr> =
            self.daemons.iter().map(|daemon| daemon.process.ready("bound_peer")).collect();
        for (i, relay) in self.relays.iter().enumerate() {
            let others = if i < GROUP_SIZE {
                &peer_addresses[GROUP_SIZE..]
            } else {
                &peer_addresses[..GROUP_SIZE]
            };
            let cut = if is_partitioned { others.to_vec() } else { Vec::new() };
            let target = Some(peer_addresses[i]);
            relay.control(&relay::Control { target, cut, cut_tcp: is_partitioned }).await;
        }
        let target = Some(self.platform.address);
        let control = relay::Control { target, cut: Vec::new(), cut_tcp: true };
        self.platform_relay.control(&control).await;
    }
}

fn take_out(name: &str) -> order::Order {
    order::Order::Out(order::Target::Host(name.parse().expect("a name")))
}

async fn send_accepted_order(daemon: &Daemon, name: &str) -> u64 {
    let response = daemon.force(&take_out(name)).await;
    assert!(response.status.is_success(), "{:?}", response.body);
    daemon.status().await.revisions.config
}

async fn start_callers(daemons: &[Daemon], seed: u64) -> Process {
    let mut args = Vec::new();
    for daemon in daemons {
        args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
    }
    let calls = (RATE * (PARTITION_DURATION.as_secs_f64() + 2.0)) as usize;
    args.extend(["--calls".to_owned(), calls.to_string()]);
    args.extend(["--rate".to_owned(), RATE.to_string()]);
    args.extend(["--seed".to_owned(), seed.to_string()]);
    cluster::start_callers(&args).await
}

async fn revisions(daemons: &[Daemon]) -> Vec<u64> {
    let mut revisions = Vec::new();
    for daemon in daemons {
        revisions.push(daemon.status().await.revisions.config);
    }
    revisions
}

/// Waits until every host has applied a revision. Returns how often a host changed to a lower
/// revision meanwhile.
async fn wait_for_revision(daemons: &[Daemon], revision: u64, limit: Duration) -> usize {
    let until = Instant::now() + limit;
    let mut reverts = 0;
    let mut before = revisions(daemons).await;
    while before.iter().any(|r| *r < revision) {
        assert!(Instant::now() < until, "revisions {before:?} did not reach {revision}");
        monoio::time::sleep(Duration::from_millis(10)).await;
        let now = revisions(daemons).await;
        reverts += now.iter().zip(&before).filter(|(now, before)| now < before).count();
        before = now;
    }
    reverts
}

async fn wait_for_views(daemons: &[Daemon], hosts: usize) {
    let until = Instant::now() + STEP_TIMEOUT;
    for daemon in daemons {
        while daemon.advertised_hosts().await.len() != hosts {
            assert!(Instant::now() < until, "{} does not advertise {hosts} hosts", daemon.name);
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}
