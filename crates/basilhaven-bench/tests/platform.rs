//! The platform is down, slow, or sends invalid responses: the configuration in force stays, and
//! the request rate stays within its limits.

use std::time::{Duration, Instant};

use basilhaven::http1::client;
use basilhaven::{admin, commit, config, gossip, member, order, platform, replica, wire};
use basilhaven_bench::cluster::{self, Daemon, Platform, Upstream};
use basilhaven_bench::standin::{block_on, platform::Control};

/// Limit on the time until a change is in force on every host.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Limit on every other wait of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

fn with_down(is_down: bool) -> Control {
    Control { down: Some(is_down), ..Control::default() }
}

fn platform_args(platform: &Platform) -> Vec<String> {
    vec!["--platform".to_owned(), platform.address.to_string()]
}

fn out_order(host: &str) -> order::Order {
    order::Order::Out(order::Target::Host(host.parse().unwrap()))
}

async fn force_order(daemon: &Daemon, order: &order::Order) -> u64 {
    // Orders that name unknown hosts are refused unless forced; the tests use them as markers.
    let response = daemon.force(order).await;
    assert_eq!(response.status, http::StatusCode::OK, "{:?}", response.body);
    let accepted: admin::orders::Accepted = serde_json::from_slice(&response.body).unwrap();
    accepted.revision
}

async fn config_of(daemon: &Daemon) -> admin::orders::Config {
    let response = daemon.call_admin(http::Method::GET, "/v1/config", Vec::new()).await;
    serde_json::from_slice(&response.body).unwrap()
}

async fn wait_for_revision(daemon: &Daemon, revision: u64, limit: Duration) {
    let until = Instant::now() + limit;
    while config_of(daemon).await.revision < revision {
        assert!(Instant::now() < until, "{} did not reach revision {revision}", daemon.name);
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn health(daemon: &Daemon) -> http::StatusCode {
    daemon.call_admin(http::Method::GET, "/healthz", Vec::new()).await.status
}

fn event_count(daemon: &Daemon, event: &str) -> usize {
    daemon.process.lines().iter().filter(|line| line["event"] == event).count()
}

async fn wait_for_event(daemon: &Daemon, event: &str) {
    let until = Instant::now() + STEP_TIMEOUT;
    while event_count(daemon, event) == 0 {
        assert!(Instant::now() < until, "{} did not log event {event}", daemon.name);
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Makes one call through a daemon to service `catalogo`.
async fn call(daemon: &Daemon) -> client::Response {
    let mut request = client::Request::new(http::Method::GET, "/", "").unwrap();
    let host = http::HeaderValue::from_static("catalogo");
    request.headers.insert(http::header::HOST, host);
    client::call(daemon.callers, &request, STEP_TIMEOUT, 1 << 20).await.unwrap()
}

#[test]
fn a_new_host_takes_no_calls_until_it_has_a_configuration() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let upstream = Upstream::start("catalogo", "u1", "milano-a", &[]).await;
        let hosts = config::Hosts { upstreams: vec![upstream.spec()], entries: Vec::new() };
        platform.put_hosts(&hosts).await;
        let mut args = platform_args(&platform);
        let first = Daemon::start("entry-1", "milano-a", &args).await;
        let revision = force_order(&first, &out_order("entry-9")).await;
        platform.control(&with_down(true)).await;

        let alone = Daemon::start("entry-2", "milano-a", &args).await;
        wait_for_event(&alone, "waiting_for_configuration").await;
        assert_eq!(health(&alone).await, http::StatusCode::SERVICE_UNAVAILABLE);
        let response = call(&alone).await;
        assert_eq!(response.status, http::StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(response.headers["basilhaven-outcome"], "not-run");
        assert_eq!(response.headers["basilhaven-reason"], "no-configuration");

        args.extend(["--seed".to_owned(), first.peer.to_string()]);
        let seeded = Daemon::start("entry-3", "milano-a", &args).await;
        wait_for_revision(&seeded, revision, IN_FORCE_TIMEOUT).await;
        wait_for_event(&seeded, "configured").await;
        assert_eq!(health(&seeded).await, http::StatusCode::OK);
        assert_eq!(call(&seeded).await.status, http::StatusCode::OK);

        platform.control(&with_down(false)).await;
        wait_for_event(&alone, "configured").await;
        assert_eq!(call(&alone).await.status, http::StatusCode::OK);
    });
}

#[test]
fn an_outage_is_logged_once_and_the_configuration_in_force_stays() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let daemon = Daemon::start("entry-1", "milano-a", &platform_args(&platform)).await;
        let revision = force_order(&daemon, &out_order("entry-9")).await;
        platform.control(&with_down(true)).await;
        wait_for_event(&daemon, "platform_unavailable").await;
        let order = daemon.force(&out_order("entry-8")).await;
        assert_eq!(order.status, http::StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(health(&daemon).await, http::StatusCode::OK);
        platform.control(&with_down(false)).await;
        wait_for_event(&daemon, "platform_available").await;
        assert_eq!(event_count(&daemon, "platform_unavailable"), 1);
        assert_eq!(config_of(&daemon).await.revision, revision);
    });
}

#[test]
fn a_slow_platform_delays_orders_only() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let daemons = Daemon::start_all(&["milano-a", "torino-b"], &platform_args(&platform)).await;
        platform.control(&Control { slow_ms: Some(500), ..Control::default() }).await;
        let revision = force_order(&daemons[0], &out_order("entry-9")).await;
        wait_for_revision(&daemons[1], revision, IN_FORCE_TIMEOUT).await;
        assert_eq!(event_count(&daemons[0], "platform_unavailable"), 0);
    });
}

#[test]
fn an_invalid_configuration_is_rejected_and_logged_once() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let daemon = Daemon::start("entry-1", "milano-a", &platform_args(&platform)).await;
        force_order(&daemon, &out_order("entry-9")).await;
        let before = config_of(&daemon).await;
        let wrong = serde_json::json!({
            "change": 7,
            "document": {"services": {"catalogo": {"profile": "missing"}}},
        });
        platform.put_row(commit::CONFIG_KEY, &wrong).await;
        wait_for_event(&daemon, "row_refused").await;
        let reads = platform.counts().await.reads;
        let until = Instant::now() + STEP_TIMEOUT;
        while platform.counts().await.reads < reads + 9 {
            assert!(Instant::now() < until, "the platform is no longer polled");
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(event_count(&daemon, "row_refused"), 1);
        let lines = daemon.process.lines();
        let refused = lines.iter().find(|line| line["event"] == "row_refused").unwrap();
        let findings = refused["findings"].as_str().unwrap();
        assert!(findings.contains("services.catalogo.profile"), "{findings}");
        platform.control(&Control { garbage: Some(true), ..Control::default() }).await;
        wait_for_event(&daemon, "platform_unavailable").await;
        assert_eq!(config_of(&daemon).await, before);
        let order = daemon.force(&out_order("entry-8")).await;
        assert_eq!(order.status, http::StatusCode::SERVICE_UNAVAILABLE);
    });
}

#[test]
fn a_large_document_is_stored_as_an_object_and_is_in_force_everywhere() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let daemons = Daemon::start_all(&["milano-a", "torino-b"], &platform_args(&platform)).await;
        let mut document = config::Document::default();
        for i in 0..1_000 {
            let caller = config::Caller {
                credential_sha256: format!("{i:064x}"),
                class: config::Class::Free,
            };
            document.callers.insert(format!("caller-{i}").parse().unwrap(), caller);
        }
        let order = order::Order::Replace(Box::new(document.clone()));
        let revision = force_order(&daemons[0], &order).await;
        wait_for_revision(&daemons[1], revision, IN_FORCE_TIMEOUT).await;
        let mut keys = Vec::new();
        for host in ["entry-7", "entry-8", "entry-9"] {
            let revision = force_order(&daemons[1], &out_order(host)).await;
            wait_for_revision(&daemons[0], revision, IN_FORCE_TIMEOUT).await;
        }
        for written in platform.writes().await {
            assert!(written.value.to_string().len() < commit::MAX_ROW_LEN);
            keys.push(written.value["object"]["key"].as_str().unwrap().to_owned());
        }
        let mut exists = Vec::new();
        for key in &keys {
            let path = format!("/objects/{key}");
            let request = client::Request::new(http::Method::GET, &path, "").unwrap();
            let response = client::call(platform.address, &request, STEP_TIMEOUT, 1 << 20).await;
            exists.push(response.unwrap().status.is_success());
        }
        assert_eq!(exists, [false, false, true, true], "the two most recent objects must be left");
        let fresh = Daemon::start("entry-3", "milano-a", &platform_args(&platform)).await;
        wait_for_revision(&fresh, revision, IN_FORCE_TIMEOUT).await;
        assert_eq!(config_of(&fresh).await.document.callers.len(), 1_000);
    });
}

#[test]
fn an_order_that_empties_a_service_needs_force() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let upstream = "catalogo/u1@127.0.0.1:9,dc=milano-a".parse().unwrap();
        let hosts = config::Hosts { upstreams: vec![upstream], entries: Vec::new() };
        platform.put_hosts(&hosts).await;
        let daemon = Daemon::start("entry-1", "milano-a", &platform_args(&platform)).await;
        let until = Instant::now() + STEP_TIMEOUT;
        while daemon.status().await.services.is_empty() {
            assert!(Instant::now() < until, "the list of hosts did not arrive");
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        let order = order::Order::Out(order::Target::DataCentre("milano-a".parse().unwrap()));
        let response = daemon.order(&order).await;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert_eq!(response.status, http::StatusCode::UNPROCESSABLE_ENTITY, "{text}");
        assert!(text.contains("services.catalogo"), "{text}");
        let body = serde_json::to_vec(&order).unwrap();
        let forced = [("basilhaven-force", "1")];
        let response =
            daemon.call_admin_with(http::Method::POST, "/v1/orders", body, &forced).await;
        assert_eq!(response.status, http::StatusCode::OK, "{:?}", response.body);
    });
}

#[test]
fn hosts_that_have_not_confirmed_a_revision_are_listed() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let unreachable = "127.0.0.1:9".parse().unwrap();
        let hosts = config::Hosts { upstreams: Vec::new(), entries: vec![unreachable] };
        platform.put_hosts(&hosts).await;
        let daemons = Daemon::start_all(&["milano-a", "torino-b"], &platform_args(&platform)).await;
        let revision = force_order(&daemons[0], &out_order("entry-9")).await;
        let path = format!("/v1/confirmed?revision={revision}");
        let until = Instant::now() + IN_FORCE_TIMEOUT;
        let confirmed = loop {
            let response = daemons[0].call_admin(http::Method::GET, &path, Vec::new()).await;
            let confirmed: admin::orders::Confirmed =
                serde_json::from_slice(&response.body).unwrap();
            if confirmed.in_force.len() == 2 && confirmed.missing.len() == 1 {
                break confirmed;
            }
            assert!(Instant::now() < until, "{confirmed:?}");
            monoio::time::sleep(Duration::from_millis(10)).await;
        };
        assert_eq!(confirmed.in_force, ["entry-1", "entry-2"]);
        assert_eq!(confirmed.missing, ["127.0.0.1:9"]);
        let path = format!("/v1/confirmed?revision={}", revision + 1);
        let response = daemons[0].call_admin(http::Method::GET, &path, Vec::new()).await;
        let next: admin::orders::Confirmed = serde_json::from_slice(&response.body).unwrap();
        assert_eq!(next.missing, ["entry-1", "entry-2", "127.0.0.1:9"]);
    });
}

async fn confirmed(daemon: &Daemon, revision: u64) -> admin::orders::Confirmed {
    let path = format!("/v1/confirmed?revision={revision}");
    let response = daemon.call_admin(http::Method::GET, &path, Vec::new()).await;
    serde_json::from_slice(&response.body).unwrap()
}

async fn wait_for_missing(daemon: &Daemon, revision: u64, in_force: usize, missing: &[&str]) {
    let until = Instant::now() + STEP_TIMEOUT;
    loop {
        let seen = confirmed(daemon, revision).await;
        if seen.in_force.len() == in_force && seen.missing == missing {
            return;
        }
        assert!(Instant::now() < until, "expected {missing:?} to be missing, got {seen:?}");
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn wait_until_dead(daemon: &Daemon, name: &str) {
    let until = Instant::now() + STEP_TIMEOUT;
    while !daemon.status().await.dead.iter().any(|dead| dead.as_str() == name) {
        assert!(Instant::now() < until, "{} does not consider {name} dead", daemon.name);
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn a_dead_host_that_may_return_is_listed_as_unconfirmed() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let mut args = platform_args(&platform);
        let data_centres = ["milano-a", "torino-b", "bergamo-c"];
        let mut daemons = Daemon::start_all(&data_centres, &args).await;
        let early = force_order(&daemons[0], &out_order("entry-8")).await;
        wait_for_missing(&daemons[0], early, 3, &[]).await;
        daemons.pop().unwrap().process.signal(basilhaven_bench::process::Signal::Kill);
        wait_until_dead(&daemons[0], "entry-3").await;
        let revision = force_order(&daemons[0], &out_order("entry-9")).await;
        wait_for_missing(&daemons[0], revision, 2, &["entry-3"]).await;
        // It had confirmed the earlier revision before it died.
        wait_for_missing(&daemons[0], early, 2, &[]).await;
        args.extend(["--seed".to_owned(), daemons[0].peer.to_string()]);
        daemons.push(Daemon::start("entry-3", "bergamo-c", &args).await);
        wait_for_missing(&daemons[0], revision, 3, &[]).await;
    });
}

#[test]
fn a_dead_host_is_listed_as_missing_until_it_leaves_the_list_of_hosts() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let data_centres = ["milano-a", "torino-b", "bergamo-c"];
        let mut daemons = Daemon::start_all(&data_centres, &platform_args(&platform)).await;
        let mut hosts = config::Hosts::default();
        hosts.entries.extend(daemons.iter().map(|daemon| daemon.peer));
        platform.put_hosts(&hosts).await;
        daemons.pop().unwrap().process.signal(basilhaven_bench::process::Signal::Kill);
        wait_until_dead(&daemons[0], "entry-3").await;
        let revision = force_order(&daemons[0], &out_order("entry-9")).await;
        wait_for_missing(&daemons[0], revision, 2, &["entry-3"]).await;
        hosts.entries.pop();
        platform.put_hosts(&hosts).await;
        wait_for_missing(&daemons[0], revision, 2, &[]).await;
    });
}

/// Announces a configuration revision that the platform never issued, and responds to the pull
/// for it with an invalid document.
async fn announce_invalid_config(daemon: &Daemon) -> std::io::Result<()> {
    use monoio::io::{AsyncReadRent as _, AsyncWriteRentExt as _};
    let key = basilhaven::call::Key::from(cluster::PEER_KEY);
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = basilhaven::entry::bind(any)?;
    let peer = listener.local_addr()?;
    let revisions = replica::Revisions { config: 1_000_000, ..Default::default() };
    let member = member::Host {
        name: "entry-99".parse().unwrap(),
        peer,
        revisions,
        ..own_member(daemon).await
    };
    let gossip_frame = wire::Frame::Membership(wire::Membership {
        purpose: wire::Purpose::Gossip,
        sender: member.status(member::Health::Alive),
        to_refute: None,
        digest: member::Digest::default(),
        updates: vec![gossip::Update::Host(member, member::Health::Alive)],
    });
    let frame = gossip_frame.encode(&key).unwrap();
    std::net::UdpSocket::bind(any)?.send_to(&frame, daemon.peer)?;
    let (mut stream, _) = listener.accept().await?;
    let _ = stream.read(vec![0; 1024]).await;
    let json = br#"{"services": {"catalogo": {"profile": "missing"}}}"#.to_vec();
    let snapshot = replica::Snapshot { row: replica::Row::Config, revision: 1_000_000, json };
    let bytes = wire::Message::Snapshot(snapshot).encode(&key).unwrap();
    let message = [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat();
    stream.write_all(message).await.0.map(|_| ())
}

async fn own_member(daemon: &Daemon) -> member::Host {
    daemon.status().await.own
}

#[test]
fn an_invalid_document_from_a_peer_is_rejected() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let source = Daemon::start("entry-1", "milano-a", &platform_args(&platform)).await;
        let first = force_order(&source, &out_order("entry-8")).await;
        // This host gets updates from peers only: the platform in its settings is down.
        let unreachable = Platform::start(&[]).await;
        unreachable.control(&with_down(true)).await;
        let mut args = platform_args(&unreachable);
        args.extend(["--seed".to_owned(), source.peer.to_string()]);
        let follower = Daemon::start("entry-2", "torino-b", &args).await;
        wait_for_revision(&follower, first, IN_FORCE_TIMEOUT).await;
        announce_invalid_config(&follower).await.unwrap();
        wait_for_event(&follower, "row_refused").await;
        assert_eq!(config_of(&follower).await.revision, first);
        let revision = force_order(&source, &out_order("entry-9")).await;
        wait_for_revision(&follower, revision, IN_FORCE_TIMEOUT).await;
        assert_eq!(config_of(&follower).await.revision, revision);
    });
}

#[test]
fn a_new_host_learns_from_peers_that_there_is_no_configuration_yet() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let mut args = platform_args(&platform);
        let first = Daemon::start("entry-1", "milano-a", &args).await;
        wait_for_event(&first, "configured").await;
        platform.control(&with_down(true)).await;
        args.extend(["--seed".to_owned(), first.peer.to_string()]);
        let second = Daemon::start("entry-2", "torino-b", &args).await;
        wait_for_event(&second, "configured").await;
        assert_eq!(health(&second).await, http::StatusCode::OK);
    });
}

#[test]
fn a_peer_that_announces_an_oversized_message_is_disconnected() {
    use std::io::Write as _;
    block_on(async {
        let args = ["--log", "debug"].map(str::to_owned);
        let daemon = Daemon::start("entry-1", "milano-a", &args).await;
        let mut stream = std::net::TcpStream::connect(daemon.peer).unwrap();
        stream.write_all(&(1_u32 << 21).to_be_bytes()).unwrap();
        wait_for_event(&daemon, "peer_refused").await;
        let lines = daemon.process.lines();
        let refused = lines.iter().find(|line| line["event"] == "peer_refused").unwrap();
        assert_eq!(refused["error"], "length");
    });
}

#[test]
fn polls_and_requests_stay_below_the_capacity_of_the_platform() {
    for hosts in [1, 13, 104, 400] {
        let polls = 3.0 * hosts as f64 / platform::poll_interval(hosts).as_secs_f64();
        assert!(polls <= platform::POLLS_PER_SECOND * 1.001, "{hosts} hosts: {polls} reads/s");
    }
    // The platform's capacity is 2,000 reads and 300 writes a second; the hosts use less than half.
    for (limit, capacity) in
        [(platform::READS_PER_SECOND, 2_000.0), (platform::WRITES_PER_SECOND, 300.0)]
    {
        assert!(limit < capacity / 2.0, "{limit} of {capacity} requests a second");
    }
}

#[test]
fn hosts_together_keep_to_the_rate_limit() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let client = platform::Client::new(platform.address);
        client.set_host_count(104);
        let started = Instant::now();
        let window = Duration::from_secs(3);
        let mut refused = 0;
        while started.elapsed() < window {
            let reads = (0..16).map(|_| client.read("some-row", 0));
            let results = futures_util::future::join_all(reads).await;
            refused +=
                results.iter().filter(|r| matches!(r, Err(platform::Error::RateLimit))).count();
        }
        // The share of one of 104 hosts in the rate and in the burst.
        let share = platform::READS_PER_SECOND / 104.0;
        let max_reads = share * (started.elapsed().as_secs_f64() + 2.0) + 1.0;
        let reads = platform.counts().await.reads;
        assert!(reads as f64 <= max_reads, "{reads} reads, {max_reads} at most");
        assert!(reads > 10 && refused > 0, "{reads} reads, {refused} refused");
    });
}

#[test]
fn thirteen_idle_hosts_poll_at_the_documented_rate() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let data_centres = ["milano-a", "torino-b", "bergamo-c", "brescia-d"];
        let host_data_centres: Vec<&str> = data_centres.into_iter().cycle().take(13).collect();
        let daemons = Daemon::start_all(&host_data_centres, &platform_args(&platform)).await;
        let window = Duration::from_secs(4);
        let before = platform.counts().await;
        let started = Instant::now();
        monoio::time::sleep(window).await;
        let after = platform.counts().await;
        let per_second = (after.reads - before.reads) as f64 / started.elapsed().as_secs_f64();
        // Each of the 13 hosts polls 3 rows with a mean interval of 1 s: 39 reads a second, and 156
        // in the window, whose spread is small.
        assert!((25.0..=55.0).contains(&per_second), "{per_second} reads a second");
        assert_eq!(after.writes, before.writes);
        assert_eq!(daemons.len(), 13);
    });
}
