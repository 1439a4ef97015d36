//! Checks that callers are served by hosts that have lost their links to the upstreams.

use std::future::Future;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use basilhaven_bench::process::Signal;
use basilhaven_bench::soak::caller;
use basilhaven_bench::soak::links::Links;
use basilhaven_bench::soak::proxy::{Link, Proxy};
use basilhaven_bench::soak::sockets;
use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::Store;
use basilhaven_bench::standin::users::upstream::{Behaviour, Upstream};

use crate::fixture::{config, wait_until, Host, Network, SERVICE};

/// How long a call runs.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// How long after a cut its callers have to be served again.
const GRACE: Duration = Duration::from_secs(3);

/// How long calls are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Callers, each of which makes about 20 calls per second.
const CALLERS: usize = 9;

/// The tests take turns, since each keeps three hosts and nine callers busy.
static TURN: Mutex<()> = Mutex::new(());

fn run_in_turn<F>(test: F)
where
    F: Future<Output = ()>,
{
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(test);
}

/// Three hosts with links of their own to the upstreams, and callers at all hosts.
struct System {
    _store: Store,
    upstreams: Vec<Upstream>,
    links: Links,
    hosts: Vec<Host>,
    callers: caller::Callers,
}

impl System {
    async fn start(network: u8) -> System {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let links = Links::default();
        let upstreams: Vec<Upstream> = (0..6)
            .map(|n| Upstream::start(&format!("i-{n}"), Behaviour::Serves(SERVICE_TIME)))
            .collect();
        for upstream in &upstreams {
            let proxy = Proxy::start_among(upstream.address(), &links);
            let entry = upstream.entry_at(proxy.address(), "a", SERVICE, "v1", "ready");
            store.put("servers", &upstream.id, &entry);
        }
        let hosts = Network::new(network, 3).start_all(&store, &[]).await;
        hosts.iter().for_each(|host| links.set_link(host.process.id(), Link::Open));
        let knows_all = |host: &Host| host.live_hosts() == Some(3);
        wait_until("the hosts know each other", || hosts.iter().all(knows_all)).await;
        let addresses = hosts.iter().map(|host| Some(host.callers)).collect();
        let callers = caller::Callers::start(CALLERS, 1, &Arc::new(Mutex::new(addresses)));
        monoio::time::sleep(Duration::from_secs(1)).await;
        System { _store: store, upstreams, links, hosts, callers }
    }

    /// Sets the links of some hosts to all upstreams.
    fn cut(&self, hosts: &[usize], link: Link) {
        for &host in hosts {
            self.links.set_link(self.hosts[host].process.id(), link);
        }
    }

    /// Returns how often each call that may not be repeated has run at most.
    fn most_runs(&self) -> usize {
        let mut ids: Vec<String> = self.upstreams.iter().flat_map(Upstream::executed_ids).collect();
        ids.sort();
        ids.chunk_by(|a, b| a == b).map(<[String]>::len).max().unwrap_or(0)
    }
}

/// The first tries of callers at some hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Tries {
    count: usize,
    served: usize,
}

impl Tries {
    fn of(records: &[caller::Record], hosts: &[usize], (from, to): (Instant, Instant)) -> Tries {
        let counted: Vec<_> = records
            .iter()
            .filter(|r| hosts.contains(&r.host) && r.sent >= from && r.sent < to)
            .collect();
        let served = counted.iter().filter(|record| record.status() == 200).count();
        Tries { count: counted.len(), served }
    }

    fn rate(&self) -> f64 {
        self.served as f64 / self.count.max(1) as f64
    }
}

/// Checks the first tries at hosts that were cut as the users' rule does.
fn check_served(records: &[caller::Record], cut: &[usize], span: (Instant, Instant)) {
    let others: Vec<usize> = (0..3).filter(|host| !cut.contains(host)).collect();
    let (at_cut, at_others) = (Tries::of(records, cut, span), Tries::of(records, &others, span));
    assert!(at_cut.count > 10 && at_others.count > 10, "{at_cut:?} {at_others:?}");
    let failed = at_cut.count - at_cut.served;
    let is_worse = at_cut.rate() < at_others.rate() * 2.0 / 3.0;
    let many_failed = failed > 10 + (at_cut.count + at_others.count) / 50;
    assert!(!(is_worse && many_failed), "served at hosts that were cut {at_cut:?}, {at_others:?}");
    // The other hosts have room for all calls.
    assert!(!many_failed, "failed at hosts that were cut: {at_cut:?}");
}

async fn check_cut(network: u8, cut: &[usize], link: Link) {
    let system = System::start(network).await;
    system.cut(cut, link);
    monoio::time::sleep(GRACE).await;
    let from = Instant::now();
    monoio::time::sleep(WINDOW).await;
    let to = Instant::now();
    system.cut(cut, Link::Open);
    // A host serves by itself again soon after its links are back.
    monoio::time::sleep(Duration::from_secs(2)).await;
    let sent_by_itself = |host: &Host, after: usize| {
        host.process.lines()[after..].iter().any(|line| line["event"] == "sent")
    };
    let known: Vec<usize> = cut.iter().map(|&h| system.hosts[h].process.lines().len()).collect();
    wait_until("hosts send calls by themselves", || {
        cut.iter().zip(&known).all(|(&h, &after)| sent_by_itself(&system.hosts[h], after))
    })
    .await;
    let most_runs = system.most_runs();
    let records = system.callers.finish();
    check_served(&records, cut, (from, to));
    assert!(most_runs <= 2, "a call ran {most_runs} times");
    let unsafe_twice = records.iter().filter(|r| !r.is_safe()).find(|record| {
        let runs = system.upstreams.iter().flat_map(Upstream::executed_ids);
        runs.filter(|id| *id == record.id).count() > 1
    });
    assert_eq!(unsafe_twice.map(|record| &record.id), None, "ran twice");
}

#[test]
fn callers_of_a_host_whose_links_to_all_upstreams_hang_are_served() {
    run_in_turn(check_cut(41, &[0], Link::Blackhole));
}

#[test]
fn callers_of_two_of_three_hosts_whose_links_to_all_upstreams_are_reset_are_served() {
    run_in_turn(check_cut(42, &[0, 2], Link::Resets));
}

#[test]
fn callers_of_a_host_that_gets_no_new_connection_to_any_upstream_are_served() {
    run_in_turn(check_cut(43, &[1], Link::ResetsNew));
}

#[test]
fn a_planned_stop_of_a_host_that_serves_calls_of_a_cut_one_cuts_no_call() {
    run_in_turn(async {
        let system = System::start(44).await;
        system.cut(&[0], Link::Blackhole);
        monoio::time::sleep(GRACE).await;
        let from = Instant::now();
        system.hosts[1].process.signal(Signal::Terminate);
        monoio::time::sleep(WINDOW).await;
        let records = system.callers.finish();
        let at_cut: Vec<_> = records.iter().filter(|r| r.host == 0 && r.sent >= from).collect();
        assert!(at_cut.len() > 50, "{} calls at the host that is cut", at_cut.len());
        let failed: Vec<_> = at_cut.iter().filter(|record| record.status() != 200).collect();
        assert!(failed.is_empty(), "{failed:?}");
        let lost = records.iter().find(|record| {
            let ran = |upstream: &Upstream| upstream.executed_ids().contains(&record.id);
            record.status() == 0 && system.upstreams.iter().any(ran)
        });
        assert!(lost.is_none(), "a call that ran was cut: {lost:?}");
    });
}

#[test]
fn a_call_that_is_passed_on_has_no_more_attempts_than_its_route_allows() {
    run_in_turn(async {
        let system = System::start(45).await;
        system.cut(&[0], Link::Resets);
        monoio::time::sleep(GRACE).await;
        let drops = Behaviour::DropsResponses;
        system.upstreams.iter().for_each(|upstream| upstream.set_behaviour(drops));
        monoio::time::sleep(WINDOW / 2).await;
        let most_runs = system.most_runs();
        system.callers.finish();
        assert_eq!(most_runs, 2, "a call ran {most_runs} times");
    });
}

// Guards against cuts that do not know the host of a connection beside thousands of others.
#[test]
fn the_socket_of_a_connection_is_found_among_thousands() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // Closed by the client first, so that thousands of sockets stay in the table.
    for _ in 0..2000 {
        drop(TcpStream::connect(address).unwrap());
        drop(listener.accept().unwrap());
    }
    let client = TcpStream::connect(address).unwrap();
    let inode = sockets::inode(client.local_addr().unwrap(), address).unwrap().unwrap();
    let target = std::fs::read_link(format!("/proc/self/fd/{}", client.as_raw_fd())).unwrap();
    assert_eq!(target.to_string_lossy(), format!("socket:[{inode}]"));
    let unused = "127.0.0.1:1".parse().unwrap();
    assert_eq!(sockets::inode(unused, address).unwrap(), None);
}
