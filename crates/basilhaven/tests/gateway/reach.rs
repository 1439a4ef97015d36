//! Hosts that lose their links to upstreams: what they conclude, announce, and must not do.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::datagram::{self, Frame};
use basilhaven::gateway::cluster::reach::Reach;
use basilhaven::gateway::cluster::{Heartbeat, Members, Record, State};
use basilhaven::gateway::contact::{Contact, Coverage};
use basilhaven::gateway::reach::Services;
use quickcheck::QuickCheck;

use crate::upstream;

fn address(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], port))
}

/// Returns a ready host of the data centre `a` or `b`.
fn host(number: u8, now: Instant) -> Members {
    let record = Record {
        peer: address(number, 7000),
        callers: address(number, 8000),
        data_centre: ["a", "b"][usize::from(number % 2)].into(),
    };
    let members = Members::new(&record, 1, now);
    members.set_state(State::Ready);
    members
}

fn heartbeats(host: &Members, now: Instant) -> Vec<Heartbeat> {
    host.next_heartbeat(now).0
}

/// Returns six hosts that know each other, of which the first `stranded` reach nothing.
fn hosts(stranded: u8, now: Instant) -> Vec<Members> {
    let hosts: Vec<Members> = (1..=6).map(|number| host(number, now)).collect();
    for (number, own) in (1..).zip(&hosts) {
        own.set_upstream_slots(120);
        if number <= stranded {
            own.set_reach(Reach::Nothing);
        }
    }
    let own: Vec<Heartbeat> = hosts.iter().map(|host| heartbeats(host, now)[0]).collect();
    for to in &hosts {
        for from in &own {
            to.merge(from.peer_addr(), &[*from], now);
        }
    }
    hosts
}

/// Returns contacts of which the first `silent` have been silent since their response.
fn contacts(count: usize, silent: usize, start: Instant) -> Vec<Contact> {
    let contacts: Vec<Contact> = (0..count).map(|_| Contact::default()).collect();
    contacts.iter().for_each(|contact| contact.record_response(start));
    let later = start + Duration::from_millis(1);
    contacts[..silent].iter().for_each(|contact| contact.record_silence(later));
    contacts
}

#[test]
fn a_service_is_lost_only_while_none_of_its_upstreams_responds() {
    fn property(count: usize, silent: usize, responding: usize) -> bool {
        let (count, start) = (count % 30 + 1, Instant::now());
        let silent = silent % (count + 1);
        let contacts = contacts(count, silent, start);
        let later = start + Duration::from_millis(200);
        let expected = silent >= count.min(3);
        let is_lost = Coverage::of(&contacts, later) == Coverage::Lost;
        contacts[responding % count].record_response(later);
        is_lost == expected && Coverage::of(&contacts, later) != Coverage::Lost
    }
    QuickCheck::new().quickcheck(property as fn(usize, usize, usize) -> bool);
}

#[test]
fn a_service_is_not_lost_right_after_a_response() {
    let start = Instant::now();
    let contacts = contacts(8, 7, start);
    assert_ne!(Coverage::of(&contacts, start + Duration::from_millis(20)), Coverage::Lost);
}

#[test]
fn failures_of_upstreams_are_forgotten_when_their_host_reaches_the_service_again() {
    let now = Instant::now();
    let upstreams = ["u1", "u2", "u3"].map(|id| upstream(id, "v1", "a", now));
    let all: Vec<&Rc<_>> = upstreams.iter().collect();
    let (services, name) = (Services::default(), Rc::from("catalogo"));
    for upstream in &upstreams {
        (0..20).for_each(|_| upstream.record_failure(now, 1.0));
        upstream.contact.record_silence(now);
    }
    assert_eq!(services.update(&name, &all, now), Coverage::Lost);
    assert!(services.is_lost(&name));
    upstreams[1].contact.record_response(now);
    services.update(&name, &all, now);
    assert!(!services.is_lost(&name));
    assert!(upstreams.iter().all(|upstream| upstream.failures(now) == 0.0));
}

#[test]
fn stranded_hosts_are_not_advertised_while_enough_others_reach_the_services() {
    let now = Instant::now();
    let hosts = hosts(3, now);
    let stranded: Vec<SocketAddr> = (1..=3).map(|number| address(number, 8000)).collect();
    for host in &hosts {
        let advertised = host.advertised("a", now).expect("advertised hosts");
        assert_eq!(advertised.len(), 3, "{advertised:?}");
        assert!(advertised.iter().all(|host| !stranded.contains(host)), "{advertised:?}");
    }
}

#[test]
fn stranded_hosts_are_advertised_if_no_better_host_is_left() {
    let now = Instant::now();
    assert_eq!(hosts(6, now)[0].advertised("a", now).map(|hosts| hosts.len()), Some(4));
    let mostly = hosts(5, now)[0].advertised("a", now).expect("advertised hosts");
    assert!(mostly.contains(&address(6, 8000)) && mostly.len() == 3, "{mostly:?}");
}

#[test]
fn stranded_hosts_own_no_upstream_and_hold_only_an_equal_part_of_the_budgets() {
    let start = Instant::now();
    let now = start + Duration::from_secs(3);
    let hosts = hosts(3, now);
    let shares: Vec<f64> = hosts
        .iter()
        .map(|host| {
            host.set_upstream_slots(120);
            host.budget_share(now)
        })
        .collect();
    assert!(shares.iter().sum::<f64>() <= 1.0 + 1e-9, "{shares:?}");
    for host in &hosts[..3] {
        let partition = host.partition(now);
        assert!((0..20).all(|rank| partition.share(rank, 20) == 0.0));
    }
}

#[test]
fn a_stranded_host_is_not_the_coordinator() {
    let now = Instant::now();
    let all = hosts(0, now);
    let first = (1..=6)
        .find(|&number| all[usize::from(number) - 1].remote_coordinator(now).is_none())
        .expect("a coordinator");
    let index = usize::from(first) - 1;
    all[index].set_reach(Reach::Nothing);
    let beat = heartbeats(&all[index], now)[0];
    for host in &all {
        host.merge(beat.peer_addr(), &[beat], now);
    }
    assert!(all.iter().all(|host| host.remote_coordinator(now) != Some(address(first, 7000))));
    assert!(all[index].remote_coordinator(now).is_some());
}

#[test]
fn calls_are_passed_only_to_ready_hosts_that_reach_the_service() {
    let now = Instant::now();
    let hosts = hosts(4, now);
    let reaching = |host: &Members, service: &str| {
        let mut found: Vec<SocketAddr> =
            host.hosts_reaching(service, now).iter().map(|candidate| candidate.peer).collect();
        found.sort();
        found
    };
    assert_eq!(reaching(&hosts[0], "catalogo"), [address(5, 7000), address(6, 7000)]);
    hosts[4].set_reach(Reach::except(["catalogo"]));
    hosts[5].set_state(State::Leaving);
    for changed in &hosts[4..] {
        let beat = heartbeats(changed, now)[0];
        hosts[0].merge(beat.peer_addr(), &[beat], now);
    }
    assert_eq!(reaching(&hosts[0], "catalogo"), []);
    assert_eq!(reaching(&hosts[0], "spedizioni"), [address(5, 7000)]);
}

/// Returns heartbeats as a build without reach forwards them.
fn forwarded_by_earlier_build(frame: &[u8]) -> Vec<Heartbeat> {
    let (frame, rest) = postcard::take_from_bytes::<Frame>(frame).expect("a frame");
    let eras: Vec<(u64, u64)> = postcard::from_bytes(rest).expect("eras of steps");
    assert!(eras.is_empty());
    let forwarded = postcard::to_stdvec(&frame).expect("a frame");
    match datagram::decode(&forwarded).expect("a frame").0 {
        Frame::Heartbeats(heartbeats, _) => heartbeats,
        frame => panic!("not heartbeats: {frame:?}"),
    }
}

#[test]
fn an_earlier_build_reads_heartbeats_with_reach_and_does_not_erase_it_by_forwarding() {
    let now = Instant::now();
    let (own, other) = (host(1, now), host(2, now));
    let frame = |host: &Members| {
        datagram::encode(&Frame::Heartbeats(heartbeats(host, now), Vec::new())).expect("a frame")
    };
    let (direct, _) = datagram::decode(&frame(&other)).expect("a frame");
    let Frame::Heartbeats(direct, _) = direct else { panic!("not heartbeats") };
    own.merge(address(2, 7000), &direct, now);
    assert_eq!(own.hosts_reaching("catalogo", now).len(), 1);
    own.merge(address(3, 7000), &forwarded_by_earlier_build(&frame(&other)), now);
    assert_eq!(own.hosts_reaching("catalogo", now).len(), 1);
}

#[test]
fn no_call_is_passed_to_a_host_of_an_earlier_build() {
    let now = Instant::now();
    let (own, other) = (host(1, now), host(2, now));
    let frame = Frame::Heartbeats(heartbeats(&other, now), Vec::new());
    let bytes = postcard::to_stdvec(&frame).expect("a frame");
    let Frame::Heartbeats(received, _) = datagram::decode(&bytes).expect("a frame").0 else {
        panic!("not heartbeats")
    };
    own.merge(address(2, 7000), &received, now);
    assert_eq!(own.hosts_reaching("catalogo", now), []);
}
