//! Changes of the list of hosts: hosts send each other what has changed, and the whole list to those
//! for whom that is not enough.

use std::time::{Duration, Instant};

use basilhaven::{call, config, difference, gossip, member, replica, wire};
use basilhaven_bench::cluster::{self, Daemon, Platform};
use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::block_on;

/// How long anything may take that is waited for.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Bytes of control that a host may send in a second, and how many at once.
const BYTES_PER_SECOND: f64 = 6_000.0;
const BURST_BYTES: f64 = 12_000.0;

/// Upstreams of the size designed for.
const UPSTREAMS: usize = 970;

/// A list of as many upstreams as the size designed for, of which `leaving` leave.
fn list(leaving: usize) -> config::Hosts {
    let upstream = |i: usize| {
        let place = format!("service-{}/u{i}@127.0.0.1:{}", i / 6, 10_000 + i);
        let mut upstream: config::Upstream = format!("{place},dc=milano-a").parse().unwrap();
        upstream.leaving = i < leaving;
        upstream
    };
    config::Hosts { upstreams: (0..UPSTREAMS).map(upstream).collect(), entries: Vec::new() }
}

/// One host that meets the platform, and others that learn from their peers only.
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
            assert!(Instant::now() < until, "{} lacks list {revision}", daemon.name);
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// The sum of a metric over all labels that hold `label`.
async fn metric(daemon: &Daemon, name: &str, label: &str) -> f64 {
    let response = daemon.call_admin(http::Method::GET, "/metrics", Vec::new()).await;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(name) && line.contains(label));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

async fn wait_for_metric(daemon: &Daemon, name: &str, label: &str) {
    let until = Instant::now() + STEP_TIMEOUT;
    while metric(daemon, name, label).await == 0.0 {
        assert!(Instant::now() < until, "{} counts no {name} {label}", daemon.name);
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn bytes(daemons: &[Daemon]) -> Vec<f64> {
    let mut all = Vec::new();
    for daemon in daemons {
        all.push(metric(daemon, "basilhaven_control_bytes_total", "").await);
    }
    all
}

/// The upstreams of a host that leave.
async fn leaving(daemon: &Daemon) -> usize {
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
        let before = bytes(&daemons).await;
        let started = Instant::now();
        platform.put_hosts(&list(1)).await;
        wait_for_list(&daemons, 2).await;
        let after = bytes(&daemons).await;
        let budget = BURST_BYTES + BYTES_PER_SECOND * started.elapsed().as_secs_f64();
        // The platform has no other answer than the whole list, for the one host that meets it.
        let mut read = serde_json::to_vec(&list(1)).unwrap().len() as f64;
        for (daemon, (before, after)) in daemons.iter().zip(before.iter().zip(&after)) {
            let sent = after - before - read;
            assert!(sent <= budget, "{} sent {sent} bytes, {budget} at most", daemon.name);
            assert_eq!(leaving(daemon).await, 1);
            read = 0.0;
        }
    });
}

#[test]
fn a_host_that_missed_two_revisions_takes_what_has_changed_since() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        platform.put_hosts(&list(0)).await;
        let daemons = start(3, &platform).await;
        let (late, rest) = daemons.split_last().unwrap();
        late.process.signal(Signal::Stop);
        platform.put_hosts(&list(1)).await;
        wait_for_list(rest, 2).await;
        platform.put_hosts(&list(2)).await;
        wait_for_list(rest, 3).await;
        late.process.signal(Signal::Continue);
        wait_for_list(&daemons, 3).await;
        assert_eq!(leaving(late).await, 2);
        // The first list came whole.
        let content = "content=\"whole\"";
        assert_eq!(metric(late, "basilhaven_pulls_total", content).await, 1.0);
    });
}

#[test]
fn a_restarted_host_takes_the_whole_list_and_then_what_changes() {
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
            assert_eq!(metric(&daemons[2], "basilhaven_pulls_total", &label).await, count);
        }
        assert_eq!(leaving(&daemons[2]).await, 2);
    });
}

/// A peer that has one upstream too few in the list that its difference starts from; asked for the
/// whole, it gives it.
async fn mislead(daemon: &Daemon, list: &config::Hosts) -> std::io::Result<()> {
    let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = basilhaven::entry::bind(any)?;
    let peer = listener.local_addr()?;
    let revisions = replica::Revisions { hosts: 2, ..Default::default() };
    let name = "entry-99".parse().unwrap();
    let own = member::Host { name, peer, revisions, ..daemon.status().await.own };
    let word = wire::Frame::Membership(wire::Membership {
        purpose: wire::Purpose::Gossip,
        sender: own.status(member::Health::Alive),
        to_refute: None,
        digest: member::Digest::default(),
        updates: vec![gossip::Update::Host(own, member::Health::Alive)],
    });
    let frame = word.encode(&key()).unwrap();
    std::net::UdpSocket::bind(any)?.send_to(&frame, daemon.peer)?;
    let mut short = list.clone();
    short.upstreams.pop();
    let wrong = difference::Difference::between((1, &short), (2, &short));
    let mut whole = replica::Rows::new(config::Document::default(), config::Hosts::default());
    whole.apply(2, replica::Content::Hosts(std::rc::Rc::new(list.clone())));
    let whole = wire::Message::Snapshot(whole.snapshot(replica::Row::Hosts));
    for answer in [wire::Message::Difference(wrong), whole] {
        answer_next(&listener, &answer).await?;
    }
    Ok(())
}

async fn answer_next(
    listener: &monoio::net::TcpListener,
    answer: &wire::Message,
) -> std::io::Result<()> {
    use monoio::io::{AsyncReadRent as _, AsyncWriteRentExt as _};
    let (mut stream, _) = listener.accept().await?;
    let _ = stream.read(vec![0; 1024]).await;
    let bytes = answer.encode(&key()).unwrap();
    let message = [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat();
    stream.write_all(message).await.0.map(|_| ())
}

fn key() -> call::Key {
    call::Key::from(cluster::PEER_KEY)
}

#[test]
fn a_difference_that_does_not_fit_is_refused_and_the_whole_is_asked_for() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        platform.put_hosts(&list(0)).await;
        let daemons = start(1, &platform).await;
        let learner = &daemons[1];
        let misled = monoio::time::timeout(STEP_TIMEOUT, mislead(learner, &list(3))).await;
        misled.expect("the whole list is asked for").unwrap();
        wait_for_list(std::slice::from_ref(learner), 2).await;
        wait_for_metric(learner, "basilhaven_differences_refused_total", "").await;
        assert_eq!(leaving(learner).await, 3);
    });
}
