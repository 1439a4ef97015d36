//! Hosts together: start, directory, news from each other, and the end of one.

use std::io::Read as _;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::{Mode, Store};
use basilhaven_bench::standin::users::upstream::{Behaviour, Upstream};

use crate::fixture::{
    config, free_peer_port, receive, send, wait_until, Fixture, Host, PROMPT, SERVICE,
};

/// Where the hosts of a test are: addresses of a loopback network of its own, and one port for peers.
struct Net {
    ips: Vec<Ipv4Addr>,
    port: u16,
    /// The first hosts, at a port that is not used.
    seeds: String,
}

impl Net {
    fn new(network: u8, hosts: u8) -> Net {
        let ips: Vec<Ipv4Addr> = (1..=hosts).map(|n| Ipv4Addr::new(127, 0, network, n)).collect();
        let seeds: Vec<String> = ips.iter().take(2).map(|ip| format!("{ip}:1")).collect();
        Net { port: free_peer_port(&ips), seeds: seeds.join(","), ips }
    }

    async fn start(&self, store: &Store, host: usize) -> Host {
        Host::start(store, self.ips[host], self.port, &self.seeds).await
    }

    /// Starts all hosts, one right after the other, and waits until all are ready.
    async fn start_all(&self, store: &Store, more: &[(&str, &str)]) -> Vec<Host> {
        let mut hosts = Vec::new();
        for ip in &self.ips {
            let host = Host::start_with(store.address(), *ip, self.port, &self.seeds, more);
            hosts.push(host.await);
        }
        wait_until("all are ready", || hosts.iter().all(Host::is_ready)).await;
        hosts
    }
}

async fn start_three(store: &Store, network: u8) -> Vec<Host> {
    let net = Net::new(network, 3);
    let mut hosts = Vec::new();
    for host in 0..3 {
        hosts.push(net.start(store, host).await);
    }
    for host in &hosts {
        wait_until("the host is ready", || host.is_ready()).await;
        wait_until("the directory names all hosts", || host.resolve().len() == 3).await;
    }
    hosts
}

#[test]
fn a_host_without_a_configuration_refuses_and_is_not_ready() {
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
fn hosts_find_each_other_and_drop_one_that_was_killed() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = start_three(&store, 11).await;
        let killed = Instant::now();
        hosts[2].process.signal(Signal::Kill);
        wait_until("the directory drops it", || hosts[0].resolve().len() == 2).await;
        let took = killed.elapsed();
        assert!(took < Duration::from_secs(6), "{took:?} until a dead host was dropped");
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
            hosts.iter().any(|host| host.process.lines_with("following") > 0)
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
fn followers_take_over_when_the_hosts_that_watch_the_store_are_killed() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = start_three(&store, 13).await;
        let is_split = || hosts.iter().filter(|host| host.is_watcher()).count() == 2;
        wait_until("two watch the store and one follows", is_split).await;
        let (watchers, followers): (Vec<_>, Vec<_>) =
            hosts.iter().partition(|host| host.is_watcher());
        watchers.iter().for_each(|host| host.process.signal(Signal::Kill));
        store.put("op", "config", &config(2, SERVICE));
        let has = |host: &Host| host.process.lines().iter().any(|line| line["version"] == 2);
        wait_until("the followers have version 2", || followers.iter().all(|h| has(h))).await;
    });
}

#[test]
fn a_host_that_joins_learns_from_the_others_and_not_from_the_store() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let net = Net::new(14, 4);
        let mut hosts = Vec::new();
        for number in 0..3 {
            let host = net.start(&store, number).await;
            wait_until("the host is ready", || host.is_ready()).await;
            hosts.push(host);
        }
        let knows_all = || hosts.iter().all(|host| host.resolve().len() == 3);
        wait_until("all know each other", knows_all).await;
        let before = store.whole_reads();
        let last = net.start(&store, 3).await;
        wait_until("the last host is ready", || last.is_ready()).await;
        assert_eq!(store.whole_reads(), before);
    });
}

#[test]
fn hosts_that_all_start_for_the_first_time_leave_the_store_to_those_that_watch_it() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let net = Net::new(15, 8);
        let _hosts = net.start_all(&store, &[("BASILHAVEN_FIRST_START", "true")]).await;
        // Two of them watch the store; one more may take itself for a watcher before it has met all.
        assert!(store.whole_reads_of("servers") <= 3, "{:?}", store.whole_reads());
    });
}

#[test]
fn the_steps_of_a_move_are_read_by_the_host_that_steers_it() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = start_three(&store, 17).await;
        // A host that has just started reads them in any case.
        monoio::time::sleep(Duration::from_millis(2_100)).await;
        let order = r#"{"Service": "catalogo", "To": "v2", "RampDurationS": 20}"#;
        store.put("op", "rollout/catalogo", order);
        let all_know = || hosts.iter().all(|host| host.process.lines_with("move_step") > 0);
        wait_until("all know the first step", all_know).await;
        assert_eq!(store.whole_reads_of("moves"), 1, "{:?}", store.whole_reads());
    });
}

#[test]
fn hosts_that_are_all_restarted_leave_the_store_to_the_first_of_them() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        // So long that all have started before one can serve.
        store.set_delay(Duration::from_millis(300));
        let net = Net::new(18, 12);
        let started = Instant::now();
        let _hosts = net.start_all(&store, &[]).await;
        let took = started.elapsed();
        assert!(took < Duration::from_secs(3), "{took:?} until all were ready");
        // Those that rank first among the hosts that they have met, as these become more.
        assert!(store.whole_reads_of("servers") <= 4, "{:?}", store.whole_reads());
    });
}

#[test]
fn a_host_that_was_paused_does_not_take_itself_for_the_only_one() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = start_three(&store, 19).await;
        hosts[0].process.signal(Signal::Stop);
        // Longer than hosts count among those that may send (8 s).
        monoio::time::sleep(Duration::from_secs(9)).await;
        // With the others gone it has only what it held.
        hosts[1..].iter().for_each(|host| host.process.signal(Signal::Kill));
        hosts[0].process.signal(Signal::Continue);
        wait_until("it notices", || hosts[0].process.lines_with("stood_still") == 1).await;
        assert_eq!(hosts[0].live_hosts(), Some(3));
        wait_until("they are dropped", || hosts[0].live_hosts() == Some(1)).await;
    });
}

#[test]
fn hosts_that_are_all_restarted_do_not_wait_for_each_other() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let net = Net::new(16, 2);
        // One of the seeds is down.
        let net = Net { seeds: format!("{},127.0.16.3:1", net.seeds), ..net };
        let started = Instant::now();
        let hosts = [net.start(&store, 0).await, net.start(&store, 1).await];
        wait_until("both are ready", || hosts.iter().all(Host::is_ready)).await;
        let took = started.elapsed();
        assert!(took < Duration::from_secs(2), "{took:?} until both were ready");
    });
}

#[test]
fn a_stopping_host_cuts_no_call_and_leaves_the_directory_first() {
    block_on(async {
        let mut fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(800))]).await;
        let mut caller = fixture.host.open().unwrap();
        send(&mut caller, "POST", "/unsafe/1", "id-1", 2000).unwrap();
        wait_until("the call runs", || fixture.runs_of("id-1") == 1).await;
        fixture.host.process.signal(Signal::Terminate);
        wait_until("the host is not ready", || !fixture.host.is_ready()).await;
        let answer = receive(&mut caller).unwrap();
        assert_eq!((answer.status, answer.whole), (200, true));
        assert!(answer.head.contains("connection: close"), "{}", answer.head);
        assert_eq!(caller.read(&mut [0]).unwrap(), 0);
        // Callers that still hold an answer of the directory are served meanwhile.
        let late = fixture.host.call("POST", "/unsafe/1", "id-2").unwrap();
        assert_eq!(late.status, 200);
        let ended = fixture.host.process.wait(Duration::from_secs(4)).await;
        assert_eq!(ended, Some(true), "the host ends by itself within the grace");
    });
}

#[test]
fn a_call_that_a_stopping_host_has_no_time_for_is_refused_and_not_cut() {
    block_on(async {
        let mut fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(900))]).await;
        fixture.host.process.signal(Signal::Terminate);
        // The grace is 4 s, of which a tenth is left for the end.
        monoio::time::sleep(Duration::from_millis(2_600)).await;
        let mut short = fixture.host.open().unwrap();
        send(&mut short, "POST", "/unsafe/1", "id-short", 800).unwrap();
        monoio::time::sleep(Duration::from_millis(500)).await;
        let late = fixture.host.call("POST", "/unsafe/1", "id-late").expect("an answer");
        assert_eq!(late.status, 503);
        assert!(late.head.contains("connection: close"), "{}", late.head);
        assert!(late.head.contains("retry-after"), "{}", late.head);
        // It had until its deadline, and is told that it may have run.
        let short = receive(&mut short).expect("an answer").status;
        assert!([502, 504].contains(&short), "{short}");
        assert_eq!(fixture.host.process.wait(Duration::from_secs(2)).await, Some(true));
        assert_eq!(fixture.runs_of("id-late"), 0);
    });
}

#[test]
fn a_reload_cuts_nothing() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(300))]).await;
        let mut caller = fixture.host.open().unwrap();
        send(&mut caller, "GET", "/safe/1", "id-1", 2000).unwrap();
        wait_until("the call runs", || fixture.runs_of("id-1") == 1).await;
        fixture.host.process.signal(Signal::Reload);
        assert_eq!(receive(&mut caller).unwrap().status, 200);
        wait_until("the reload is logged", || fixture.host.process.lines_with("reload") == 1).await;
        assert!(fixture.host.is_ready());
    });
}

#[test]
fn a_killed_host_comes_back_from_the_store() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        fixture.host.process.signal(Signal::Kill);
        let again = Host::start(&fixture.store, Ipv4Addr::LOCALHOST, 0, "").await;
        wait_until("the host is ready", || again.is_ready()).await;
        assert_eq!(again.call("GET", "/safe/1", "id-1").unwrap().status, 200);
    });
}

#[test]
fn entries_that_lapsed_while_the_store_was_away_keep_their_upstreams_until_it_is_back_for_a_while()
{
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        fixture.store.set_mode(Mode::Down);
        monoio::time::sleep(Duration::from_millis(1500)).await;
        fixture.store.remove("servers", "i-0");
        fixture.store.set_mode(Mode::Up);
        wait_until("the removal is seen", || {
            fixture.host.process.lines_with("upstream_unlisted") == 1
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
fn settings_that_are_wrong_are_told_together_with_exit_code_2() {
    let program = basilhaven_bench::process::program("basilhavend");
    let flags = ["name=h", "data-centre=a", "listen=x", "ready=127.0.0.1:0", "store=y"];
    let flags = flags.iter().chain(&["directory=127.0.0.1:0", "peer=127.0.0.1:0"]);
    let flags = flags.chain(&["metrics=127.0.0.1:0", "retry-ratio=-1"]);
    let flags = flags.map(|flag| format!("--{flag}"));
    let run = std::process::Command::new(program).arg("gateway").args(flags).output().unwrap();
    let told = String::from_utf8_lossy(&run.stderr).into_owned();
    assert_eq!(run.status.code(), Some(2), "{told}");
    for flag in ["--listen", "--store", "--retry-ratio"] {
        assert!(told.contains(flag), "{flag} is not among: {told}");
    }
}
