//! Membership: live hosts, watchers of the store, advertised hosts, and the cost of gossip.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::datagram::{self, Frame};
use basilhaven::gateway::cluster::{name_hash, Heartbeat, Members, Record, State};

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

/// Total upstream slots at which every host of these tests is advertised.
const SLOTS_FOR_ALL: usize = 100_000;

/// Returns the heartbeats that a host would send now.
fn heartbeats(member: &Members, now: Instant) -> Vec<Heartbeat> {
    member.next_heartbeat(now).0
}

#[test]
fn a_host_is_live_only_while_its_sequence_number_increases() {
    let start = Instant::now();
    let (own, other) = (member(1, "a", start), member(2, "a", start));
    let received = heartbeats(&other, start);
    own.merge(address(2, 7000), &received, start);
    let later = start + Duration::from_secs(1);
    assert_eq!(own.advertised("a", later).map(|advertised| advertised.len()), Some(2));
    // The same heartbeats, forwarded later by another host, do not show that their host is live.
    own.merge(address(3, 7000), &received, later);
    let dead = start + Duration::from_millis(2500);
    assert_eq!(own.advertised("a", dead).map(|advertised| advertised.len()), Some(1));
}

#[test]
fn a_restarted_host_is_live_at_once_although_its_sequence_starts_again() {
    let start = Instant::now();
    let (own, first) = (member(1, "a", start), member(2, "a", start));
    (0..9).for_each(|_| drop(heartbeats(&first, start)));
    own.merge(address(2, 7000), &heartbeats(&first, start), start);
    let again = member(2, "a", start);
    let later = start + Duration::from_secs(1);
    assert!(
        own.merge(address(2, 7000), &heartbeats(&again, later), later),
        "a new incarnation is reported"
    );
    let after = later + Duration::from_millis(1500);
    assert_eq!(own.advertised("a", after).map(|advertised| advertised.len()), Some(2));
}

#[test]
fn ready_hosts_are_advertised_the_local_ones_first() {
    let start = Instant::now();
    let own = member(1, "a", start);
    let (near, far, leaving) =
        (member(2, "b", start), member(3, "a", start), member(4, "a", start));
    leaving.set_state(State::Leaving);
    for (host, other) in [(2, &near), (3, &far), (4, &leaving)] {
        own.merge(address(host, 7000), &heartbeats(other, start), start);
    }
    let advertised = own.advertised("b", start).expect("others are known");
    assert_eq!(advertised.len(), 3);
    assert_eq!(advertised[0], address(2, 8000));
    assert!(!advertised.contains(&address(4, 8000)));
}

#[test]
fn a_host_that_has_just_started_alone_advertises_no_host() {
    let start = Instant::now();
    let own = member(1, "a", start);
    assert_eq!(own.advertised("a", start), None);
    assert_eq!(own.advertised("a", start + Duration::from_secs(2)), Some(vec![address(1, 8000)]));
}

#[test]
fn a_host_that_cannot_read_the_store_is_neither_watcher_nor_coordinator() {
    let start = Instant::now();
    let hosts: Vec<Members> = (1..=4).map(|n| member(n, "a", start)).collect();
    let view = |at: usize| {
        let received: Vec<Heartbeat> =
            hosts.iter().map(|host| heartbeats(host, start)[0]).collect();
        hosts[at].merge(address(9, 7000), &received, start);
        (hosts[at].watchers(start), hosts[at].remote_coordinator(start))
    };
    let (watchers, _) = view(0);
    assert_eq!(watchers.others.len() + usize::from(watchers.is_watcher), 2);
    let coordinator = (0..4).find(|&at| view(at).1.is_none()).expect("one host is the coordinator");
    hosts[coordinator].set_store_reachable(false, start);
    let later = start + Duration::from_millis(300);
    let received: Vec<Heartbeat> = hosts.iter().map(|host| heartbeats(host, later)[0]).collect();
    for host in &hosts {
        host.merge(address(9, 7000), &received, later);
        assert_ne!(host.remote_coordinator(later), Some(address(coordinator as u8 + 1, 7000)));
    }
    assert!(!hosts[coordinator].watchers(later).is_watcher);
    assert!(
        hosts[coordinator].remote_coordinator(later).is_some(),
        "another host is the coordinator"
    );
}

#[test]
fn the_view_of_a_hundred_hosts_fits_into_a_datagram() {
    let start = Instant::now();
    let own = member(1, "a", start);
    for host in 2..110 {
        own.merge(address(host, 7000), &heartbeats(&member(host, "a", start), start), start);
    }
    let (received, targets) = own.next_heartbeat(start);
    let bytes = postcard::to_stdvec(&Frame::Heartbeats(received, Vec::new())).expect("plain data");
    assert!(bytes.len() <= 1400, "{} bytes", bytes.len());
    assert!(targets.len() <= 3);
}

// Guards against hosts that divide the upstreams in different ways, so that some have no host.
#[test]
fn all_hosts_rank_each_other_in_the_same_order_for_an_upstream() {
    let now = Instant::now();
    let members: Vec<Members> = (1..=60).map(|host| member(host, "a", now)).collect();
    members.iter().for_each(|member| member.set_upstream_slots(SLOTS_FOR_ALL));
    for (i, own) in members.iter().enumerate() {
        for (j, other) in members.iter().enumerate().filter(|(j, _)| *j != i) {
            own.merge(address(j as u8 + 1, 7000), &heartbeats(other, now)[..1], now);
        }
    }
    for data_centre in ["a", "b"] {
        let data_centre = name_hash(data_centre);
        for upstream in 0..20 {
            let rank = |member: &Members| member.assignment(now).place(upstream, data_centre).rank;
            let mut ranks: Vec<u16> = members.iter().map(rank).collect();
            ranks.sort_unstable();
            assert_eq!(ranks, (0..60).collect::<Vec<u16>>());
        }
    }
}

/// Lets hosts exchange heartbeats for 40 s, with one datagram in a hundred lost. Returns how often
/// in a hundred thousand checks a live host counted as dead at another one, and the share of the
/// datagrams that crossed data centres.
fn gossip(data_centres: &[&str]) -> (f64, f64, f64) {
    fastrand::seed(7);
    let start = Instant::now();
    let hosts: Vec<Members> =
        data_centres.iter().zip(1..).map(|(dc, host)| member(host, dc, start)).collect();
    for (own, number) in hosts.iter().zip(1..) {
        own.set_upstream_slots(SLOTS_FOR_ALL);
        (1..=3).filter(|seed| *seed != number).for_each(|seed| own.add_seed(address(seed, 7000)));
    }
    let mut due: Vec<u64> = hosts.iter().map(|_| fastrand::u64(0..350)).collect();
    let (mut checks, mut missed, mut unnamed, mut sent, mut crossed) = (0, 0, 0, 0, 0);
    for ms in 0..40_000 {
        let now = start + Duration::from_millis(ms);
        for i in 0..hosts.len() {
            if due[i] > ms {
                continue;
            }
            due[i] = ms + 350;
            let (heartbeats, targets) = hosts[i].next_heartbeat(now);
            for target in targets {
                let SocketAddr::V4(target) = target else { continue };
                let j = usize::from(target.ip().octets()[3]) - 1;
                sent += 1;
                crossed += usize::from(data_centres[i] != data_centres[j]);
                if fastrand::u8(0..100) > 0 {
                    hosts[j].merge(address(i as u8 + 1, 7000), &heartbeats, now);
                }
            }
        }
        if ms > 10_000 && ms % 500 == 0 {
            for own in &hosts {
                checks += hosts.len();
                missed += hosts.len() - own.live_count(now);
                // A caller of an unknown data centre gets all advertised hosts.
                let named = own.advertised("", now).map_or(0, |advertised| advertised.len());
                unnamed += hosts.len() - named;
            }
        }
    }
    let in_100_000 = |count: usize| count as f64 * 1e5 / checks as f64;
    (in_100_000(missed), in_100_000(unnamed), crossed as f64 / f64::from(sent as u32))
}

#[test]
fn live_hosts_stay_known_in_a_large_cluster_and_few_datagrams_cross_data_centres() {
    let even: Vec<&str> = (0..108).map(|i| ["a", "b", "c", "d"][i % 4]).collect();
    let uneven: Vec<&str> = (0..108).map(|i| ["a", "a", "a", "a", "a", "b"][i % 6]).collect();
    let lone: Vec<&str> =
        (0..60).map(|i| if i < 57 { "a" } else { ["b", "c", "d"][i - 57] }).collect();
    for data_centres in [even, uneven, lone] {
        let (missed, unnamed, crossed) = gossip(&data_centres);
        assert!(missed <= 10.0, "{missed} in 100,000 live hosts counted as dead");
        assert!(unnamed <= 100.0, "{unnamed} in 100,000 live hosts not named to callers");
        // With a uniform choice, 0.75 of the datagrams would cross four data centres.
        assert!(crossed <= 0.4, "{crossed} of the datagrams crossed data centres");
    }
}

/// Guards against hosts that have just started and name a dead host to callers for seconds: they
/// took a heartbeat that another host had kept for a new one.
#[test]
fn a_starting_host_does_not_take_an_old_heartbeat_for_a_new_one() {
    let start = Instant::now();
    let (known, dead) = (member(1, "a", start), member(2, "a", start));
    known.merge(address(2, 7000), &heartbeats(&dead, start), start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let starting = member(3, "a", at(1500));
    let kept = datagram::encode(&Frame::heartbeats(heartbeats(&known, at(1500)), Vec::new()));
    let Ok((Frame::Heartbeats(kept, _), _)) = datagram::decode(&kept.expect("a frame")) else {
        panic!("not heartbeats");
    };
    starting.merge(address(1, 7000), &kept, at(1500));
    assert_eq!(starting.live_count(at(1600)), 3);
    starting.merge(address(1, 7000), &heartbeats(&known, at(2500)), at(2500));
    assert_eq!(starting.live_count(at(2500)), 2, "silent for 2.5 s");
}

/// Guards against callers that are directed to a host for more than 6 s after its end: in a large
/// cluster its last heartbeat is forwarded for two seconds, and it then counts as live for 4.5 s.
#[test]
fn a_host_that_has_ended_is_not_named_to_callers_although_it_may_be_live() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let own = member(1, "a", start);
    own.set_upstream_slots(SLOTS_FOR_ALL);
    let renew = |now: Instant| {
        for host in 2..=40 {
            own.merge(address(host, 7000), &heartbeats(&member(host, "a", start), now), now);
        }
    };
    renew(start);
    // The last heartbeat of one host arrives 1.5 s after its end, forwarded by another.
    let (ended, forwarding) = (member(41, "a", start), member(2, "a", start));
    own.merge(address(41, 7000), &heartbeats(&ended, start), start);
    forwarding.merge(address(41, 7000), &heartbeats(&ended, start), start);
    own.merge(address(2, 7000), &heartbeats(&forwarding, at(1500)), at(1500));
    renew(at(4000));
    assert_eq!(own.live_count(at(5500)), 41);
    let named = own.advertised("a", at(5500)).expect("hosts");
    assert_eq!(named.len(), 40);
    assert!(!named.contains(&address(41, 8000)));
}
