//! Checks several hosts together: start, directory, updates between hosts, shutdown and crash.

use std::io::{Read as _, Write as _};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use basilhaven_bench::process::Signal;
use basilhaven_bench::soak::proxy::{Link, Proxy};
use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::{Mode, Store};
use basilhaven_bench::standin::users::upstream::{Behaviour, Upstream};

use crate::fixture::{
    config, know_each_other, receive, send, wait_until, Fixture, Host, Network, PROMPT, SERVICE,
};

async fn start_three(store: &Store, number: u8) -> Vec<Host> {
    let network = Network::new(number, 3);
    let mut hosts = Vec::new();
    for host in 0..3 {
        hosts.push(network.start(store, host).await);
    }
    for host in &hosts {
        wait_until("the host is ready", || host.is_ready()).await;
        wait_until("the directory names all hosts", || host.resolve().len() == 3).await;
    }
    hosts
}

#[test]
fn a_host_without_a_configuration_returns_503_and_is_not_ready() {
    block_on(async {
        let store = Store::start();
        store.set_mode(Mode::Down);
        let host = Host::start(&store, Ipv4Addr::LOCALHOST, 0, "").await;
        assert!(!host.is_ready());
        assert_eq!(host.call("GET", "/safe/1", "id-1").unwrap().status, 503);
        store.set_mode(Mode::Up);
        store.put("op", "config", &config(1, SERVICE));
        wait_until("the host is ready", || host.is_ready()).await;
    });
}

#[test]
fn hosts_discover_each_other_and_drop_a_killed_host() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = start_three(&store, 11).await;
        let killed = Instant::now();
        hosts[2].process.signal(Signal::Kill);
        wait_until("the directory drops it", || hosts[0].resolve().len() == 2).await;
        let took = killed.elapsed();
        assert!(took < Duration::from_secs(6), "{took:?} until a killed host was dropped");
        assert!(!hosts[0].resolve().contains(&hosts[2].callers));
    });
}

#[test]
fn a_new_configuration_reaches_hosts_that_do_not_watch_the_store() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = start_three(&store, 12).await;
        wait_until("one host follows another", || {
            hosts.iter().any(|host| host.process.event_count("following") > 0)
        })
        .await;
        let written = Instant::now();
        store.put("op", "config", &config(2, SERVICE));
        let has = |host: &Host| host.process.lines().iter().any(|line| line["version"] == 2);
        wait_until("all have version 2", || hosts.iter().all(has)).await;
        let took = written.elapsed();
        assert!(took < Duration::from_secs(2), "{took:?} until all hosts had the configuration");
    });
}

#[test]
fn followers_become_watchers_when_the_watchers_are_killed() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = start_three(&store, 13).await;
        let has_two_watchers = || hosts.iter().filter(|host| host.watches_store()).count() == 2;
        wait_until("two watch the store and one follows", has_two_watchers).await;
        let (watchers, followers): (Vec<_>, Vec<_>) =
            hosts.iter().partition(|host| host.watches_store());
        watchers.iter().for_each(|host| host.process.signal(Signal::Kill));
        store.put("op", "config", &config(2, SERVICE));
        let has = |host: &Host| host.process.lines().iter().any(|line| line["version"] == 2);
        wait_until("the followers have version 2", || followers.iter().all(|h| has(h))).await;
    });
}

#[test]
fn a_joining_host_syncs_from_other_hosts_and_not_from_the_store() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let network = Network::new(14, 4);
        let mut hosts = Vec::new();
        for number in 0..3 {
            let host = network.start(&store, number).await;
            wait_until("the host is ready", || host.is_ready()).await;
            hosts.push(host);
        }
        let knows_all = || hosts.iter().all(|host| host.resolve().len() == 3);
        wait_until("all hosts know each other", knows_all).await;
        let before = store.full_reads();
        let last = network.start(&store, 3).await;
        wait_until("the last host is ready", || last.is_ready()).await;
        assert_eq!(store.full_reads(), before);
    });
}

#[test]
fn at_the_first_start_only_watchers_read_the_store() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let network = Network::new(15, 8);
        let _hosts = network.start_all(&store, &[("BASILHAVEN_FIRST_START", "true")]).await;
        // Two hosts watch the store; a third may consider itself a watcher before it has discovered
        // all hosts.
        assert!(store.full_reads_of("servers") <= 3, "{:?}", store.full_reads());
    });
}

#[test]
fn only_the_coordinator_reads_the_steps_of_a_move() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = start_three(&store, 17).await;
        // Hosts that have just started read the steps in any case.
        monoio::time::sleep(Duration::from_millis(2_100)).await;
        let order = r#"{"Service": "catalogo", "To": "v2", "RampDurationS": 20}"#;
        store.put("op", "rollout/catalogo", order);
        let all_know = || hosts.iter().all(|host| host.process.event_count("move_step") > 0);
        wait_until("all know the first step", all_know).await;
        assert_eq!(store.full_reads_of("moves"), 1, "{:?}", store.full_reads());
    });
}

#[test]
fn after_a_restart_of_all_hosts_few_of_them_read_the_store() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        // Long enough for all hosts to start before the first one is ready.
        store.set_delay(Duration::from_millis(300));
        let network = Network::new(18, 12);
        let started = Instant::now();
        let _hosts = network.start_all(&store, &[]).await;
        let took = started.elapsed();
        assert!(took < Duration::from_secs(3), "{took:?} until all were ready");
        // A host reads the store if it ranks among the first of the hosts that it has discovered so
        // far.
        assert!(store.full_reads_of("servers") <= 4, "{:?}", store.full_reads());
    });
}

#[test]
fn after_a_pause_a_host_still_counts_the_other_hosts_as_live() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = start_three(&store, 19).await;
        hosts[0].process.signal(Signal::Stop);
        // Longer than a silent host counts among those that may send calls (8 s).
        monoio::time::sleep(Duration::from_secs(9)).await;
        // With the others killed, the host has only its state from before the pause.
        hosts[1..].iter().for_each(|host| host.process.signal(Signal::Kill));
        hosts[0].process.signal(Signal::Continue);
        wait_until("the host detects the pause", || {
            hosts[0].process.event_count("stood_still") == 1
        })
        .await;
        assert_eq!(hosts[0].live_hosts(), Some(3));
        wait_until("the killed hosts are dropped", || hosts[0].live_hosts() == Some(1)).await;
    });
}

#[test]
fn hosts_that_are_all_restarted_do_not_wait_for_each_other() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let network = Network::new(16, 2);
        // One of the seeds is down.
        let network = Network { seeds: format!("{},127.0.16.3:1", network.seeds), ..network };
        let started = Instant::now();
        let hosts = [network.start(&store, 0).await, network.start(&store, 1).await];
        wait_until("both are ready", || hosts.iter().all(Host::is_ready)).await;
        let took = started.elapsed();
        assert!(took < Duration::from_secs(2), "{took:?} until both were ready");
    });
}

#[test]
fn a_stopping_host_aborts_no_call_and_first_leaves_the_directory() {
    block_on(async {
        let mut fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(800))]).await;
        let mut caller = fixture.host.open().unwrap();
        send(&mut caller, "POST", "/unsafe/1", "id-1", 2000).unwrap();
        wait_until("the call runs", || fixture.runs_of("id-1") == 1).await;
        fixture.host.process.signal(Signal::Terminate);
        wait_until("the host is not ready", || !fixture.host.is_ready()).await;
        let response = receive(&mut caller).unwrap();
        assert_eq!((response.status, response.is_complete), (200, true));
        assert!(response.head.contains("connection: close"), "{}", response.head);
        assert_eq!(caller.read(&mut [0]).unwrap(), 0);
        // Callers that still use an earlier response of the directory are served meanwhile.
        let late = fixture.host.call("POST", "/unsafe/1", "id-2").unwrap();
        assert_eq!(late.status, 200);
        let ended = fixture.host.process.wait(Duration::from_secs(4)).await;
        assert_eq!(ended, Some(true), "the host exits by itself within the grace period");
    });
}

#[test]
fn a_call_that_a_stopping_host_has_no_time_for_is_refused_and_not_aborted() {
    block_on(async {
        // Long after the deadline of the call, also if the host runs late.
        let mut fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(1_500))]).await;
        fixture.host.process.signal(Signal::Terminate);
        // The grace period is 4 s, and the host exits after nine tenths of it.
        monoio::time::sleep(Duration::from_millis(2_600)).await;
        let mut short = fixture.host.open().unwrap();
        send(&mut short, "POST", "/unsafe/1", "id-short", 800).unwrap();
        monoio::time::sleep(Duration::from_millis(500)).await;
        let late = fixture.host.call("POST", "/unsafe/1", "id-late").expect("a response");
        assert_eq!(late.status, 503);
        assert!(late.head.contains("connection: close"), "{}", late.head);
        assert!(late.head.contains("retry-after"), "{}", late.head);
        // The call had time until its deadline, and the status says that it may have run.
        let short = receive(&mut short).expect("a response").status;
        assert!([502, 504].contains(&short), "{short}");
        assert_eq!(fixture.host.process.wait(Duration::from_secs(2)).await, Some(true));
        assert_eq!(fixture.runs_of("id-late"), 0);
    });
}

/// Guards against a call whose body arrives while the host begins to stop: it would be aborted when
/// the process exits.
#[test]
fn a_call_whose_body_ends_too_late_before_the_exit_is_refused() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(1_500))]).await;
        let slow = config(2, SERVICE).replace("\"TimeoutS\":2", "\"TimeoutS\":10");
        fixture.store.put("op", "config", &slow);
        wait_until("the configuration is in force", || {
            fixture.host.process.event_count("config_applied") == 2
        })
        .await;
        let mut caller = fixture.host.open().unwrap();
        let head = "POST /unsafe/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 2\r\n\
                    X-Basilhaven-Request-Id: id-1\r\nX-Basilhaven-Deadline-Ms: 9000\r\n\r\na";
        caller.write_all(head.as_bytes()).unwrap();
        monoio::time::sleep(Duration::from_millis(200)).await;
        fixture.host.process.signal(Signal::Terminate);
        // The grace period is 4 s, and the host exits after nine tenths of it.
        monoio::time::sleep(Duration::from_millis(2_600)).await;
        caller.write_all(b"b").unwrap();
        assert_eq!(receive(&mut caller).expect("a response").status, 503);
        assert_eq!(fixture.runs_of("id-1"), 0);
    });
}

#[test]
fn a_reload_aborts_no_call() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(300))]).await;
        let mut caller = fixture.host.open().unwrap();
        send(&mut caller, "GET", "/safe/1", "id-1", 2000).unwrap();
        wait_until("the call runs", || fixture.runs_of("id-1") == 1).await;
        fixture.host.process.signal(Signal::Reload);
        assert_eq!(receive(&mut caller).unwrap().status, 200);
        wait_until("the reload is logged", || fixture.host.process.event_count("reload") == 1)
            .await;
        assert!(fixture.host.is_ready());
    });
}

#[test]
fn a_killed_host_recovers_from_the_store() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        fixture.host.process.signal(Signal::Kill);
        let again = Host::start(&fixture.store, Ipv4Addr::LOCALHOST, 0, "").await;
        wait_until("the host is ready", || again.is_ready()).await;
        assert_eq!(again.call("GET", "/safe/1", "id-1").unwrap().status, 200);
    });
}

#[test]
fn entries_that_expired_while_the_store_was_down_are_kept_until_shortly_after_its_return() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        fixture.store.set_mode(Mode::Down);
        monoio::time::sleep(Duration::from_millis(1500)).await;
        fixture.store.remove("servers", "i-0");
        fixture.store.set_mode(Mode::Up);
        wait_until("the removal is seen", || {
            fixture.host.process.event_count("upstream_unlisted") == 1
        })
        .await;
        assert_eq!(fixture.host.call("GET", "/safe/1", "id-1").unwrap().status, 200);
        let upstream: &Upstream = &fixture.upstreams[0];
        fixture.store.put("servers", "i-0", &upstream.entry(SERVICE, "v1", "ready"));
        monoio::time::sleep(Duration::from_millis(3000)).await;
        assert_eq!(fixture.host.call("GET", "/safe/1", "id-2").unwrap().status, 200);
    });
}

#[test]
fn all_invalid_settings_are_reported_together_with_exit_code_2() {
    let program = basilhaven_bench::process::program("basilhavend");
    let flags = ["name=h", "data-centre=a", "listen=x", "ready=127.0.0.1:0", "store=y"];
    let flags = flags.iter().chain(&["directory=127.0.0.1:0", "peer=127.0.0.1:0"]);
    let flags = flags.chain(&["metrics=127.0.0.1:0", "retry-ratio=-1"]);
    let flags = flags.map(|flag| format!("--{flag}"));
    let run = std::process::Command::new(program).arg("gateway").args(flags).output().unwrap();
    let stderr = String::from_utf8_lossy(&run.stderr).into_owned();
    assert_eq!(run.status.code(), Some(2), "{stderr}");
    for flag in ["--listen", "--store", "--retry-ratio"] {
        assert!(stderr.contains(flag), "{flag} is missing in: {stderr}");
    }
}

#[test]
fn a_watcher_that_cannot_read_the_store_does_not_reconnect_to_the_other_in_a_loop() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let network = Network::new(35, 2);
        let mut hosts = Vec::new();
        let mut links = Vec::new();
        for ip in &network.ips {
            let link = Proxy::start(store.address());
            let host =
                Host::start_with(link.address(), *ip, network.port, &network.seeds, &[]).await;
            links.push(link);
            hosts.push(host);
        }
        wait_until("all are ready", || hosts.iter().all(Host::is_ready)).await;
        wait_until("two hosts watch the store", || {
            hosts.iter().filter(|host| host.watches_store()).count() == 2
        })
        .await;
        links[0].set_link(Link::Resets);
        monoio::time::sleep(Duration::from_secs(3)).await;
        let lines = hosts[0].process.lines();
        let follows = lines.iter().filter(|line| line["event"] == "following").count();
        assert!((1..=20).contains(&follows), "followed {follows} times in 3 s");
    });
}

// Guards against heartbeats that are dropped because the steps of many moves go along with them.
#[test]
fn hosts_know_each_other_while_170_services_move() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = Network::new(64, 3).start_cluster(&store).await;
        for number in 0..170 {
            let service = format!("bindery-por{number:03}");
            let order = serde_json::json!({ "Service": service, "To": "v2", "RampDurationS": 16 });
            store.put("op", &format!("rollout/{service}"), &order.to_string());
        }
        let has_steps = |host: &Host| {
            let lines = host.process.lines();
            lines.iter().filter(|line| line["event"] == "move_step").count() >= 170
        };
        wait_until("all hosts know all steps", || hosts.iter().all(has_steps)).await;
        // Longer than a host without heartbeats counts as live.
        let until = Instant::now() + Duration::from_secs(4);
        while Instant::now() < until {
            assert!(
                know_each_other(&hosts),
                "{:?}",
                hosts.iter().map(Host::live_hosts).collect::<Vec<_>>()
            );
            monoio::time::sleep(Duration::from_millis(200)).await;
        }
        let too_long =
            |host: &Host| host.process.lines().iter().any(|line| line["event"] == "frame_too_long");
        assert!(!hosts.iter().any(too_long), "a frame was too long");
    });
}
