//! Replication of the list of hosts: hosts send each other differences, and the whole list to hosts
//! that cannot apply a difference.

use std::time::{Duration, Instant};

use basilhaven::{call, config, difference, gossip, member, replica, wire};
use basilhaven_bench::cluster::{self, Daemon, Platform};
use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::block_on;

/// Limit on each wait of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Rate and burst of the bytes that a host may send for control.
const BYTES_PER_SECOND: f64 = 6_000.0;
const BURST_BYTES: f64 = 12_000.0;

/// Number of upstreams that the system is designed for.
const UPSTREAMS: usize = 970;

/// Returns a list of [`UPSTREAMS`] upstreams, the first `leaving` of which are marked as leaving.
fn list(leaving: usize) -> config::Hosts {
    let upstream = |i: usize| {
        let address = format!("service-{}/u{i}@127.0.0.1:{}", i / 6, 10_000 + i);
        let mut upstream: config::Upstream = format!("{address},dc=milano-a").parse().unwrap();
        upstream.leaving = i < leaving;
        upstream
    };
    config::Hosts { upstreams: (0..UPSTREAMS).map(upstream).collect(), entries: Vec::new() }
}

/// Starts one host that reads from the platform, and others that get updates from their peers only.
async fn start(others: usize, platform: &Platform) -> Vec<Daemon> {
    let args = ["--platform".to_owned(), platform.address.to_string()];
    let mut daemons = vec![Daemon::start("entry-0", "milano-a", &args).await];
    for i in 1..=others {
        daemons.push(start_other(&format!("entry-{i}"), &daemons[0]).await);
    }
    wait_for_list(&daemons, 1).await;
    daemons
}

async fn start_other(name: &str, seed: &Daemon) -> Daemon {
    Daemon::start(name, "torino-b", &["--seed".to_owned(), seed.peer.to_string()]).await
}

async fn wait_for_list(daemons: &[Daemon], revision: u64) {
    let until = Instant::now() + STEP_TIMEOUT;
    for daemon in daemons {
        while daemon.status().await.revisions.hosts < revision {
            assert!(
                Instant::now() < until,
                "{} did not receive revision {revision} of the list",
                daemon.name
            );
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Returns the sum of a metric over all series whose labels contain `label`.
async fn sum_metric(daemon: &Daemon, name: &str, label: &str) -> f64 {
    let response = daemon.call_admin(http::Method::GET, "/metrics", Vec::new()).await;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(name) && line.contains(label));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

async fn wait_for_metric(daemon: &Daemon, name: &str, label: &str) {
    let until = Instant::now() + STEP_TIMEOUT;
    while sum_metric(daemon, name, label).await == 0.0 {
        assert!(Instant::now() < until, "{}: {name} with label {label:?} is still 0", daemon.name);
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the bytes that each host has sent for control.
async fn control_bytes(daemons: &[Daemon]) -> Vec<f64> {
    let mut all = Vec::new();
    for daemon in daemons {
        all.push(sum_metric(daemon, "basilhaven_control_bytes_total", "").await);
    }
    all
}

/// Returns how many upstreams a host knows to be leaving.
async fn leaving_count(daemon: &Daemon) -> usize {
    let services = daemon.status().await.services;
    let upstreams = services.iter().flat_map(|service| &service.upstreams);
    upstreams.filter(|upstream| upstream.state == "leaving").count()
}

#[test]
fn a_changed_upstream_of_970_reaches_all_hosts_within_the_budget() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        platform.put_hosts(&list(0)).await;
        let daemons = start(5, &platform).await;
        let before = control_bytes(&daemons).await;
        let started = Instant::now();
        platform.put_hosts(&list(1)).await;
        wait_for_list(&daemons, 2).await;
        let after = control_bytes(&daemons).await;
        let max_bytes = BURST_BYTES + BYTES_PER_SECOND * started.elapsed().as_secs_f64();
        // The platform always returns the whole list, to the one host that reads from it.
        let mut whole_list_bytes = serde_json::to_vec(&list(1)).unwrap().len() as f64;
        for (daemon, (before, after)) in daemons.iter().zip(before.iter().zip(&after)) {
            let sent = after - before - whole_list_bytes;
            assert!(sent <= max_bytes, "{} sent {sent} bytes, {max_bytes} at most", daemon.name);
            assert_eq!(leaving_count(daemon).await, 1);
            whole_list_bytes = 0.0;
        }
    });
}

#[test]
fn a_host_that_missed_two_revisions_receives_the_difference() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        platform.put_hosts(&list(0)).await;
        let daemons = start(3, &platform).await;
        let (paused, rest) = daemons.split_last().unwrap();
        paused.process.signal(Signal::Stop);
        platform.put_hosts(&list(1)).await;
        wait_for_list(rest, 2).await;
        platform.put_hosts(&list(2)).await;
        wait_for_list(rest, 3).await;
        paused.process.signal(Signal::Continue);
        wait_for_list(&daemons, 3).await;
        assert_eq!(leaving_count(paused).await, 2);
        // Only the first list was received whole.
        let content = "content=\"whole\"";
        assert_eq!(sum_metric(paused, "basilhaven_pulls_total", content).await, 1.0);
    });
}

#[test]
fn a_restarted_host_receives_the_whole_list_and_then_differences() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        platform.put_hosts(&list(0)).await;
        let mut daemons = start(2, &platform).await;
        platform.put_hosts(&list(1)).await;
        wait_for_list(&daemons, 2).await;
        daemons.pop().unwrap().process.signal(Signal::Kill);
        let restarted = start_other("entry-2", &daemons[0]).await;
        daemons.push(restarted);
        wait_for_list(&daemons, 2).await;
        platform.put_hosts(&list(2)).await;
        wait_for_list(&daemons, 3).await;
        for (content, count) in [("whole", 1.0), ("difference", 1.0)] {
            let label = format!("content=\"{content}\"");
            assert_eq!(sum_metric(&daemons[2], "basilhaven_pulls_total", &label).await, count);
        }
        assert_eq!(leaving_count(&daemons[2]).await, 2);
    });
}

/// Acts as a peer that first sends a difference computed from a list that lacks one upstream, and
/// then the whole list when asked for it.
async fn respond_with_wrong_difference(
    daemon: &Daemon,
    list: &config::Hosts,
) -> std::io::Result<()> {
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = basilhaven::entry::bind(any)?;
    let peer = listener.local_addr()?;
    let revisions = replica::Revisions { hosts: 2, ..Default::default() };
    let name = "entry-99".parse().unwrap();
    let own = member::Host { name, peer, revisions, ..daemon.status().await.own };
    let gossip_frame = wire::Frame::Membership(wire::Membership {
        purpose: wire::Purpose::Gossip,
        sender: own.status(member::Health::Alive),
        to_refute: None,
        digest: member::Digest::default(),
        updates: vec![gossip::Update::Host(own, member::Health::Alive)],
    });
    let frame = gossip_frame.encode(&key()).unwrap();
    std::net::UdpSocket::bind(any)?.send_to(&frame, daemon.peer)?;
    let mut incomplete = list.clone();
    incomplete.upstreams.pop();
    let wrong = difference::Difference::between((1, &incomplete), (2, &incomplete));
    let mut rows = replica::Rows::new(config::Document::default(), config::Hosts::default());
    rows.apply(2, replica::Content::Hosts(std::rc::Rc::new(list.clone())));
    let whole = wire::Message::Snapshot(rows.snapshot(replica::Row::Hosts));
    for response in [wire::Message::Difference(wrong), whole] {
        respond_to_next_request(&listener, &response).await?;
    }
    Ok(())
}

async fn respond_to_next_request(
    listener: &monoio::net::TcpListener,
    response: &wire::Message,
) -> std::io::Result<()> {
    use monoio::io::{AsyncReadRent as _, AsyncWriteRentExt as _};
    let (mut stream, _) = listener.accept().await?;
    let _ = stream.read(vec![0; 1024]).await;
    let bytes = response.encode(&key()).unwrap();
    let message = [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat();
    stream.write_all(message).await.0.map(|_| ())
}

fn key() -> call::Key {
    call::Key::from(cluster::PEER_KEY)
}

#[test]
fn a_difference_that_does_not_apply_is_refused_and_the_whole_list_is_requested() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        platform.put_hosts(&list(0)).await;
        let daemons = start(1, &platform).await;
        let receiver = &daemons[1];
        let outcome =
            monoio::time::timeout(STEP_TIMEOUT, respond_with_wrong_difference(receiver, &list(3)))
                .await;
        outcome.expect("a request for the whole list").unwrap();
        wait_for_list(std::slice::from_ref(receiver), 2).await;
        wait_for_metric(receiver, "basilhaven_differences_refused_total", "").await;
        assert_eq!(leaving_count(receiver).await, 3);
    });
}
