//! Hosts as processes that join, fail, and are taken out of service.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilhaven::{admin, config, directory, order};
use basilhaven_bench::cluster::{self, Daemon, Platform, Upstream};
use basilhaven_bench::process::{self, Process, Signal};
use basilhaven_bench::standin::{block_on, relay};

/// Limit on the time for which a dead host is still advertised.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Limit on the time until all hosts have the same view.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

const DATA_CENTRES: [&str; 4] = ["milano-a", "torino-b", "bergamo-c", "brescia-d"];

async fn wait_for_advertised_hosts(daemons: &[Daemon], limit: Duration) {
    let mut expected: Vec<&str> = daemons.iter().map(|daemon| &*daemon.name).collect();
    expected.sort();
    let until = Instant::now() + limit;
    for daemon in daemons {
        loop {
            let hosts = daemon.advertised_hosts().await;
            let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
            if names == expected {
                break;
            }
            assert!(
                Instant::now() < until,
                "{} advertises {names:?}, not {expected:?}",
                daemon.name
            );
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn wait_for_services(daemon: &Daemon) {
    let until = Instant::now() + SETTLE_TIMEOUT;
    while daemon.status().await.services.is_empty() {
        assert!(Instant::now() < until, "{} has not received the list of hosts", daemon.name);
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn a_killed_host_is_not_advertised_until_it_is_restarted() {
    block_on(async {
        let mut daemons = Daemon::start_all(&DATA_CENTRES, &[]).await;
        let killed = daemons.remove(1);
        killed.process.signal(Signal::Kill);
        wait_for_advertised_hosts(&daemons, REMOVAL_TIMEOUT).await;
        let args = ["--seed", &daemons[0].peer.to_string()].map(str::to_owned);
        daemons.push(Daemon::start(&killed.name, "torino-b", &args).await);
        wait_for_advertised_hosts(&daemons, SETTLE_TIMEOUT).await;
    });
}

#[test]
fn a_host_paused_until_it_is_dead_returns_and_declares_no_other_dead() {
    block_on(async {
        let daemons = Daemon::start_all(&DATA_CENTRES, &[]).await;
        let paused = &daemons[2];
        paused.process.signal(Signal::Stop);
        let until = Instant::now() + SETTLE_TIMEOUT;
        while daemons[0].status().await.dead.is_empty() {
            assert!(Instant::now() < until, "{} is not considered dead", paused.name);
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        paused.process.signal(Signal::Continue);
        wait_for_advertised_hosts(&daemons, SETTLE_TIMEOUT).await;
        let lines = paused.process.lines();
        let deaths = lines.iter().filter(|line| line["event"] == "member" && line["to"] == "dead");
        assert_eq!(deaths.count(), 0);
    });
}

#[test]
fn hosts_that_join_while_others_are_killed_agree_on_the_remaining_hosts() {
    block_on(async {
        let mut daemons = Daemon::start_all(&DATA_CENTRES, &[]).await;
        for i in 0..6 {
            let seed = daemons[daemons.len() - 1].peer.to_string();
            let args = ["--seed", &seed].map(str::to_owned);
            daemons.push(Daemon::start(&format!("joined-{i}"), "milano-a", &args).await);
            if i % 2 == 0 {
                daemons.remove(0).process.signal(Signal::Kill);
            }
        }
        wait_for_advertised_hosts(&daemons, SETTLE_TIMEOUT).await;
    });
}

#[test]
fn a_data_centre_out_of_service_is_not_advertised_and_its_progress_is_reported() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let upstream = Upstream::start("catalogo", "u1", "milano-a", &[]).await;
        let other = Upstream::start("catalogo", "u2", "torino-b", &[]).await;
        let upstreams = vec![upstream.spec(), other.spec()];
        let hosts = config::Hosts { upstreams, entries: Vec::new() };
        platform.put_hosts(&hosts).await;
        let args = ["--platform".to_owned(), platform.address.to_string()];
        let daemons = Daemon::start_all(&DATA_CENTRES, &args).await;
        let target = order::Target::DataCentre("milano-a".parse().unwrap());
        for daemon in &daemons {
            wait_for_services(daemon).await;
        }
        let response = daemons[1].order(&order::Order::Out(target.clone())).await;
        assert!(response.status.is_success(), "{:?}", response.body);
        let until = Instant::now() + REMOVAL_TIMEOUT;
        loop {
            let response = daemons[1].call_admin(http::Method::GET, "/v1/out", Vec::new()).await;
            let progress: Vec<admin::out::Progress> =
                serde_json::from_slice(&response.body).unwrap();
            assert_eq!(progress[0].target, target);
            if progress[0].missing.is_empty() && progress[0].applied.len() == 4 {
                break;
            }
            assert!(Instant::now() < until, "{progress:?}");
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        for daemon in &daemons {
            let response: directory::Response =
                cluster::get_json(daemon.callers, "/v1/entries/catalogo").await;
            assert!(response.entries.iter().all(|entry| entry.data_centre.as_str() != "milano-a"));
            assert!(!response.entries.is_empty());
        }
        assert!(daemons[1].order(&order::Order::Back(target)).await.status.is_success());
    });
}

/// Starts a relay, and a daemon that peers reach only through this relay.
async fn start_behind_relay(name: &str, seeds: &[SocketAddr]) -> (Process, Daemon) {
    let program = process::program("basilhaven-bench");
    let relay = Process::start(&program, &["relay".to_owned()], &[]).await;
    let address: SocketAddr = relay.ready("address");
    let mut args = vec!["--advertise-peer".to_owned(), address.to_string()];
    for seed in seeds {
        args.extend(["--seed".to_owned(), seed.to_string()]);
    }
    let daemon = Daemon::start(name, "milano-a", &args).await;
    control_relay(&relay, &daemon, Vec::new()).await;
    (relay, daemon)
}

/// Makes a relay forward to `daemon`, and drop what comes from the addresses in `cut`.
async fn control_relay(relay: &Process, daemon: &Daemon, cut: Vec<SocketAddr>) {
    let target = Some(daemon.process.ready("bound_peer"));
    let control = relay::Control { target, cut, cut_tcp: false };
    let body = serde_json::to_vec(&control).unwrap();
    cluster::post(relay.ready("control"), "/", body).await;
}

#[test]
fn indirect_probes_prevent_suspicion_of_a_host_whose_direct_path_is_cut() {
    block_on(async {
        let mut relays: Vec<Process> = Vec::new();
        let mut daemons = Vec::new();
        for i in 0..4 {
            let seeds: Vec<SocketAddr> = relays.iter().map(|r| r.ready("address")).collect();
            let (relay, daemon) = start_behind_relay(&format!("entry-{i}"), &seeds).await;
            relays.push(relay);
            daemons.push(daemon);
        }
        wait_for_advertised_hosts(&daemons, SETTLE_TIMEOUT).await;
        let bound_peer_address = |i: usize| daemons[i].process.ready::<SocketAddr>("bound_peer");
        control_relay(&relays[0], &daemons[0], vec![bound_peer_address(1)]).await;
        control_relay(&relays[1], &daemons[1], vec![bound_peer_address(0)]).await;
        let before = suspicion_count(&daemons);
        // Each host is probed at least once a second by each of the others.
        monoio::time::sleep(REMOVAL_TIMEOUT).await;
        assert_eq!(suspicion_count(&daemons), before);
    });
}

/// Returns how many times any of the hosts suspected another.
fn suspicion_count(daemons: &[Daemon]) -> usize {
    let suspected = |line: &serde_json::Value| line["event"] == "member" && line["to"] == "suspect";
    let lines = daemons.iter().flat_map(|daemon| daemon.process.lines());
    lines.filter(suspected).count()
}
