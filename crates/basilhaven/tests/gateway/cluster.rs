//! Who lives, who watches the store, and whom callers are sent to.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::datagram::Frame;
use basilhaven::gateway::cluster::{Heartbeat, Members, Record, State};

fn address(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], port))
}

fn member(host: u8, data_centre: &str, now: Instant) -> Members {
    let record = Record {
        peer: address(host, 7000),
        callers: address(host, 8000),
        data_centre: data_centre.into(),
    };
    let member = Members::new(&record, 1, now);
    member.set_state(State::Ready);
    member
}

/// What a host would send now.
/// Slots with which callers are sent to every host of these tests.
const ALL_HOMES: usize = 100_000;

fn pulses(member: &Members, now: Instant) -> Vec<Heartbeat> {
    member.next_heartbeat(now).0
}

#[test]
fn a_host_is_live_while_its_count_rises_and_only_then() {
    let start = Instant::now();
    let (own, other) = (member(1, "a", start), member(2, "a", start));
    let told = pulses(&other, start);
    own.merge(address(2, 7000), &told, start);
    let later = start + Duration::from_secs(1);
    assert_eq!(own.advertised("a", later).map(|named| named.len()), Some(2));
    // The same pulses again, through another host, are no sign of life.
    own.merge(address(3, 7000), &told, later);
    let dead = start + Duration::from_millis(2500);
    assert_eq!(own.advertised("a", dead).map(|named| named.len()), Some(1));
}

#[test]
fn a_restarted_host_is_live_at_once_though_its_count_begins_anew() {
    let start = Instant::now();
    let (own, first) = (member(1, "a", start), member(2, "a", start));
    (0..9).for_each(|_| drop(pulses(&first, start)));
    own.merge(address(2, 7000), &pulses(&first, start), start);
    let again = member(2, "a", start);
    let later = start + Duration::from_secs(1);
    assert!(own.merge(address(2, 7000), &pulses(&again, later), later), "a new run is news");
    let after = later + Duration::from_millis(1500);
    assert_eq!(own.advertised("a", after).map(|named| named.len()), Some(2));
}

#[test]
fn callers_are_sent_to_ready_hosts_the_near_ones_first() {
    let start = Instant::now();
    let own = member(1, "a", start);
    let (near, far, leaving) =
        (member(2, "b", start), member(3, "a", start), member(4, "a", start));
    leaving.set_state(State::Leaving);
    for (host, other) in [(2, &near), (3, &far), (4, &leaving)] {
        own.merge(address(host, 7000), &pulses(other, start), start);
    }
    let named = own.advertised("b", start).expect("others are known");
    assert_eq!(named.len(), 3);
    assert_eq!(named[0], address(2, 8000));
    assert!(!named.contains(&address(4, 8000)));
}

#[test]
fn a_host_that_has_just_started_alone_names_nobody() {
    let start = Instant::now();
    let own = member(1, "a", start);
    assert_eq!(own.advertised("a", start), None);
    assert_eq!(own.advertised("a", start + Duration::from_secs(2)), Some(vec![address(1, 8000)]));
}

#[test]
fn a_host_that_lost_the_store_neither_watches_it_nor_steers() {
    let start = Instant::now();
    let hosts: Vec<Members> = (1..=4).map(|n| member(n, "a", start)).collect();
    let view = |at: usize| {
        let told: Vec<Heartbeat> = hosts.iter().map(|host| pulses(host, start)[0]).collect();
        hosts[at].merge(address(9, 7000), &told, start);
        (hosts[at].watchers(start), hosts[at].remote_coordinator(start))
    };
    let (watchers, _) = view(0);
    assert_eq!(watchers.others.len() + usize::from(watchers.is_watcher), 2);
    let leader = (0..4).find(|&at| view(at).1.is_none()).expect("one host steers");
    hosts[leader].set_store_reachable(false, start);
    let later = start + Duration::from_millis(300);
    let told: Vec<Heartbeat> = hosts.iter().map(|host| pulses(host, later)[0]).collect();
    for host in &hosts {
        host.merge(address(9, 7000), &told, later);
        assert_ne!(host.remote_coordinator(later), Some(address(leader as u8 + 1, 7000)));
    }
    assert!(!hosts[leader].watchers(later).is_watcher);
    assert!(hosts[leader].remote_coordinator(later).is_some(), "another host steers");
}

#[test]
fn the_view_of_a_hundred_hosts_fits_a_datagram() {
    let start = Instant::now();
    let own = member(1, "a", start);
    for host in 2..110 {
        own.merge(address(host, 7000), &pulses(&member(host, "a", start), start), start);
    }
    let (told, targets) = own.next_heartbeat(start);
    let bytes = postcard::to_stdvec(&Frame::Heartbeats(told, Vec::new())).expect("plain data");
    assert!(bytes.len() <= 1400, "{} bytes", bytes.len());
    assert!(targets.len() <= 3);
}

#[test]
fn the_points_of_hosts_are_spread_evenly_and_each_has_its_own() {
    let now = Instant::now();
    let members: Vec<Members> = (1..=60).map(|host| member(host, "a", now)).collect();
    members.iter().for_each(|member| member.set_upstream_slots(ALL_HOMES));
    for (i, own) in members.iter().enumerate() {
        for (j, other) in members.iter().enumerate().filter(|(j, _)| *j != i) {
            own.merge(address(j as u8 + 1, 7000), &pulses(other, now)[..1], now);
        }
    }
    let mut points: Vec<u64> = members.iter().map(|member| member.ring_point(now)).collect();
    points.sort_unstable();
    let step = u64::MAX / 60;
    assert!(points.iter().enumerate().all(|(i, point)| *point == i as u64 * step));
}

/// Has hosts beat for a while, with one datagram in a hundred lost; how many times in a hundred thousand a
/// live host was taken for dead by another one, and the part of datagrams that crossed data centres.
fn gossip(data_centres: &[&str]) -> (f64, f64) {
    fastrand::seed(7);
    let start = Instant::now();
    let hosts: Vec<Members> =
        data_centres.iter().zip(1..).map(|(dc, host)| member(host, dc, start)).collect();
    for (own, number) in hosts.iter().zip(1..) {
        own.set_upstream_slots(ALL_HOMES);
        (1..=3).filter(|seed| *seed != number).for_each(|seed| own.add_seed(address(seed, 7000)));
    }
    let mut due: Vec<u64> = hosts.iter().map(|_| fastrand::u64(0..350)).collect();
    let (mut looks, mut missed, mut sent, mut crossed) = (0, 0, 0, 0);
    for ms in 0..40_000 {
        let now = start + Duration::from_millis(ms);
        for i in 0..hosts.len() {
            if due[i] > ms {
                continue;
            }
            due[i] = ms + 350;
            let (pulses, targets) = hosts[i].next_heartbeat(now);
            for target in targets {
                let SocketAddr::V4(target) = target else { continue };
                let j = usize::from(target.ip().octets()[3]) - 1;
                sent += 1;
                crossed += usize::from(data_centres[i] != data_centres[j]);
                if fastrand::u8(0..100) > 0 {
                    hosts[j].merge(address(i as u8 + 1, 7000), &pulses, now);
                }
            }
        }
        if ms > 10_000 && ms % 500 == 0 {
            for own in &hosts {
                // Of no data centre, a caller is told of all homes.
                let known = own.advertised("", now).map_or(0, |named| named.len());
                looks += hosts.len();
                missed += hosts.len() - known;
            }
        }
    }
    (missed as f64 * 1e5 / f64::from(looks as u32), crossed as f64 / f64::from(sent as u32))
}

#[test]
fn live_hosts_stay_known_among_many_and_few_datagrams_cross_data_centres() {
    let even: Vec<&str> = (0..108).map(|i| ["a", "b", "c", "d"][i % 4]).collect();
    let uneven: Vec<&str> = (0..108).map(|i| ["a", "a", "a", "a", "a", "b"][i % 6]).collect();
    let lone: Vec<&str> =
        (0..60).map(|i| if i < 57 { "a" } else { ["b", "c", "d"][i - 57] }).collect();
    for data_centres in [even, uneven, lone] {
        let (missed, crossed) = gossip(&data_centres);
        assert!(missed <= 10.0, "{missed} in 100,000 live hosts were taken for dead");
        // Drawn from all alike, 0.75 of them would over four data centres.
        assert!(crossed <= 0.4, "{crossed} of the datagrams crossed data centres");
    }
}
