//! Checks usage reports of real hosts: which host reports, and what it reports when processes, the
//! store or the endpoint fail.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use basilhaven::gateway::cluster::datagram::{decode, encode, Frame};
use basilhaven::gateway::usage::counts::Origin;
use basilhaven::gateway::usage::message::{Message, Part};
use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::endpoint::{self, Endpoint, Report};
use basilhaven_bench::standin::users::store::{self, Store};
use basilhaven_bench::standin::users::upstream::Upstream;

use crate::fixture::{config, know_each_other, wait_until, Host, Network, PROMPT, SERVICE};

/// Starts so many hosts, named `front-0` and so on, with windows of a second.
async fn start(store: &Store, endpoint: &Endpoint, network: &Network) -> Vec<Host> {
    store.put("op", "config", &config(1, SERVICE));
    let address = endpoint.address().to_string();
    let mut hosts = Vec::new();
    for (number, ip) in network.ips.iter().enumerate() {
        let name = format!("front-{number}");
        let settings = [
            ("BASILHAVEN_NAME", &*name),
            ("BASILHAVEN_USAGE_ENDPOINT", &*address),
            ("BASILHAVEN_USAGE_WINDOW_S", "1"),
            ("BASILHAVEN_USAGE_LATE_S", "8"),
            ("BASILHAVEN_LEASE_S", "1.5"),
        ];
        let (port, seeds) = (network.port, &network.seeds);
        hosts.push(Host::start_with(store.address(), *ip, port, seeds, &settings).await);
    }
    wait_until("all are ready", || hosts.iter().all(Host::is_ready)).await;
    wait_until("the hosts know each other", || know_each_other(&hosts)).await;
    hosts
}

/// Returns the current window.
fn window() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_secs()
}

/// Sends counts for a window to all hosts, as another host does, until they acknowledge them.
fn send_counts(network: &Network, window: u64, counts: &[(&str, u64)]) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_read_timeout(Some(Duration::from_millis(300))).expect("a socket option");
    let origin = Origin { host: socket.local_addr().expect("a bound socket"), incarnation: 1 };
    let counts = counts.iter().map(|(name, count)| ((*name).into(), *count)).collect();
    let frame = Frame::Usage(Message::Counts(Part { number: 5, origin, window, counts }));
    let bytes = encode(&frame).expect("plain data");
    let mut buffer = [0; 4096];
    for ip in &network.ips {
        let host = SocketAddr::from((*ip, network.port));
        let is_acknowledged = |_| {
            socket.send_to(&bytes, host).expect("a sent datagram");
            let (len, from) = socket.recv_from(&mut buffer).unwrap_or((0, host));
            let reply = decode(&buffer[..len]).map(|(reply, _)| reply);
            from == host && reply == Ok(Frame::Usage(Message::Received(5)))
        };
        assert!((0..30).any(is_acknowledged), "{host} does not acknowledge counts");
    }
}

/// Checks what must hold of all reports: one content for each window, no window left out, one
/// holder for each token, and no token lower than one before.
fn check(endpoint: &Endpoint) {
    let reports = endpoint.reports();
    let mut known: BTreeMap<u64, &Report> = BTreeMap::new();
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    for report in &reports {
        let first = known.entry(report.window).or_insert(report);
        assert_eq!(first.counts, report.counts, "two reports of window {}", report.window);
        let holder = holders.entry(report.token).or_insert(&report.holder);
        assert_eq!(*holder, report.holder, "two holders of token {}", report.token);
    }
    assert!(reports.windows(2).all(|pair| pair[0].token <= pair[1].token), "a token fell");
    assert_eq!(endpoint.malformed(), 0);
}

/// Returns the windows without a report, between the first and the last that have one.
fn missing(endpoint: &Endpoint) -> Vec<u64> {
    let windows: BTreeSet<u64> = endpoint.reports().iter().map(|report| report.window).collect();
    let (Some(first), Some(last)) = (windows.first(), windows.last()) else { return Vec::new() };
    (*first..=*last).filter(|window| !windows.contains(window)).collect()
}

fn is_reported(endpoint: &Endpoint, window: u64) -> bool {
    endpoint.reports().iter().any(|report| report.window == window)
}

// Guards against windows that are not reported, or without the counts that a killed holder had
// received, when the coordinator is killed in the middle of a window.
#[test]
fn another_host_reports_when_the_holder_is_killed_in_the_middle_of_a_window() {
    block_on(async {
        let (store, endpoint) = (Store::start(), Endpoint::start());
        let network = Network::new(71, 3);
        let hosts = start(&store, &endpoint, &network).await;
        wait_until("three windows are reported", || endpoint.reports().len() >= 3).await;
        let holder = endpoint.reports()[0].holder.clone();
        let asked = |host: &&Host| host.process.event_count("lease_acquired") > 0;
        assert_eq!(hosts.iter().filter(asked).count(), 1, "only the coordinator takes the lease");
        let open = window();
        send_counts(&network, open, &[("kaje80", 412), ("vopu11", 7)]);
        let killed = (0..hosts.len()).find(|number| format!("front-{number}") == holder);
        hosts[killed.expect("one of the hosts")].process.signal(Signal::Kill);
        let after = open + 3;
        wait_until("another host reports", || is_reported(&endpoint, after)).await;
        let reports = endpoint.reports();
        let of_open = reports.iter().find(|r| r.window == open).expect("a report of the window");
        let expected = [("kaje80".to_owned(), 412), ("vopu11".to_owned(), 7)];
        assert_eq!(of_open.counts, BTreeMap::from(expected));
        assert_ne!(of_open.holder, holder);
        assert_eq!(missing(&endpoint), Vec::<u64>::new());
        check(&endpoint);
    });
}

// Guards against reports that disagree, tokens that fall and a stop of all reports when answers of
// the store are lost and it comes back from an older copy.
#[test]
fn reports_go_on_when_the_store_loses_answers_and_is_restored_from_a_copy() {
    block_on(async {
        let (store, endpoint) = (Store::start(), Endpoint::start());
        let hosts = start(&store, &endpoint, &Network::new(72, 2)).await;
        wait_until("a window is reported", || !endpoint.reports().is_empty()).await;
        let copy = store.copy();
        store.set_mode(store::Mode::DropsResponses);
        monoio::time::sleep(Duration::from_millis(700)).await;
        store.set_mode(store::Mode::Up);
        let next = window();
        wait_until("reports go on after lost answers", || is_reported(&endpoint, next)).await;
        let before = endpoint.reports().last().expect("a report").token;
        store.restore(&copy);
        let next = window() + 1;
        wait_until("reports go on after the restore", || is_reported(&endpoint, next)).await;
        let after = endpoint.reports().last().expect("a report").token;
        assert!(after > before, "{after} after {before}");
        assert_eq!(missing(&endpoint), Vec::<u64>::new());
        check(&endpoint);
        // One or two calls a second: a renewal each half second, and what the faults cost.
        let failed: usize = hosts.iter().map(|h| h.process.event_count("usage_not_stored")).sum();
        assert!(failed <= 15, "{failed} calls to the store failed");
    });
}

// Guards against callers who wait, and reports that are given up, because the endpoint is in
// trouble.
#[test]
fn an_endpoint_in_trouble_costs_callers_nothing_and_gets_the_reports_later() {
    block_on(async {
        let (store, endpoint) = (Store::start(), Endpoint::start());
        let upstream = Upstream::start("i-0", PROMPT);
        store.put("servers", "i-0", &upstream.entry(SERVICE, "v1", "ready"));
        let hosts = start(&store, &endpoint, &Network::new(73, 1)).await;
        wait_until("a window is reported", || !endpoint.reports().is_empty()).await;
        let modes = [
            endpoint::Mode::Refuses(500),
            endpoint::Mode::Refuses(429),
            endpoint::Mode::Garbage,
            endpoint::Mode::Silent,
        ];
        for (number, mode) in modes.into_iter().enumerate() {
            endpoint.set_mode(mode);
            for call in 0..4 {
                monoio::time::sleep(Duration::from_millis(300)).await;
                let started = Instant::now();
                let id = format!("id-{number}-{call}");
                assert_eq!(hosts[0].call("GET", "/safe/1", &id).expect("a response").status, 200);
                let took = started.elapsed();
                assert!(took < Duration::from_secs(1), "{mode:?}: {took:?}");
            }
        }
        assert!(endpoint.refused() > 0);
        endpoint.set_mode(endpoint::Mode::Takes);
        let next = window();
        wait_until("reports go on", || is_reported(&endpoint, next)).await;
        assert_eq!(missing(&endpoint), Vec::<u64>::new());
        // After a refused token, a higher one is used.
        let before = endpoint.reports().last().expect("a report").token;
        endpoint.set_mode(endpoint::Mode::Refuses(409));
        let lost = || hosts[0].process.event_count("lease_lost") > 0;
        wait_until("the lease is given up", lost).await;
        endpoint.set_mode(endpoint::Mode::Takes);
        let next = window();
        wait_until("reports go on after a conflict", || is_reported(&endpoint, next)).await;
        assert!(endpoint.reports().last().expect("a report").token > before);
        check(&endpoint);
    });
}

// Guards against a holder that resumes after a pause and posts with a lease that another host has
// taken meanwhile.
#[test]
fn a_holder_that_was_paused_does_not_post_with_its_old_token() {
    block_on(async {
        let (store, endpoint) = (Store::start(), Endpoint::start());
        let hosts = start(&store, &endpoint, &Network::new(74, 2)).await;
        wait_until("two windows are reported", || endpoint.reports().len() >= 2).await;
        let first = endpoint.reports()[0].holder.clone();
        let paused = (0..hosts.len()).find(|number| format!("front-{number}") == first);
        let paused = &hosts[paused.expect("one of the hosts")];
        paused.process.signal(Signal::Stop);
        let is_taken = || endpoint.reports().last().is_some_and(|last| last.holder != first);
        wait_until("the other host reports", is_taken).await;
        paused.process.signal(Signal::Continue);
        let next = window() + 3;
        wait_until("reports go on after the pause", || is_reported(&endpoint, next)).await;
        assert!(paused.process.event_count("lease_lost") > 0);
        assert_eq!(endpoint.refused(), 0, "a report with a token lower than one before");
        assert_eq!(missing(&endpoint), Vec::<u64>::new());
        check(&endpoint);
    });
}

#[test]
fn without_an_endpoint_the_part_is_off_and_says_so() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let settings = [("BASILHAVEN_USAGE_ENDPOINT", ""), ("BASILHAVEN_USAGE_WINDOW_S", "")];
        let ip = Ipv4Addr::LOCALHOST;
        let host = Host::start_with(store.address(), ip, 0, "", &settings).await;
        wait_until("the host is ready", || host.is_ready()).await;
        let lines = host.process.lines();
        let is_off =
            |line: &serde_json::Value| line["event"] == "feature_off" && line["feature"] == "usage";
        assert_eq!(lines.iter().filter(|line| is_off(line)).count(), 1);
        assert_eq!(store.full_reads_of("usage"), 0);
    });
}
