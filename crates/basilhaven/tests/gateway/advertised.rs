//! Callers are sent to few hosts, and what all hosts may spend together is shared out by use.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::{Members, Record, State};
use quickcheck::QuickCheck;

/// The most that any budget uses of what it may: the rest is for hosts that disagree on who is live.
const MOST_USED: f64 = 0.85;

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

fn address(host: usize, port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host as u8 + 1), port).into()
}

fn host(number: usize, start: Instant) -> Members {
    let record = Record {
        peer: address(number, 7000),
        callers: address(number, 8000),
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
    };
    let members = Members::new(&record, 10, start);
    members.set_state(State::Ready);
    members
}

/// Hosts of three data centres that know each other, `slots` slots of upstreams, and how they are told of a
/// beat of some of them.
struct Fleet {
    hosts: Vec<Members>,
}

impl Fleet {
    fn new(count: usize, slots: usize, start: Instant) -> Fleet {
        let hosts: Vec<Members> = (0..count).map(|number| host(number, start)).collect();
        hosts.iter().for_each(|host| host.set_upstream_slots(slots));
        let fleet = Fleet { hosts };
        let all: Vec<usize> = (0..count).collect();
        fleet.beat(&all, &all, start);
        fleet
    }

    /// Has all `heard` hosts be heard by all `hearing` ones.
    fn beat(&self, heard: &[usize], hearing: &[usize], now: Instant) {
        for &from in heard {
            let pulse = self.hosts[from].next_heartbeat(now).0[0];
            for &to in hearing {
                self.hosts[to].merge(address(from, 7000), &[pulse], now);
            }
        }
    }

    fn named(&self, by: usize, near: &str, now: Instant) -> BTreeSet<SocketAddr> {
        self.hosts[by].advertised(near, now).expect("others are known").into_iter().collect()
    }
}

#[test]
fn all_hosts_name_the_same_few_hosts_of_several_data_centres() {
    let start = Instant::now();
    let fleet = Fleet::new(15, 90, start);
    let now = start + Duration::from_millis(500);
    let named = fleet.named(0, "a", now);
    assert_eq!(named.len(), 3, "ninety slots need three hosts");
    (1..15).for_each(|by| assert_eq!(fleet.named(by, "b", now), named));
    let near = |name: &str| {
        (0..15).filter(|&n| DATA_CENTRES[n % 3] == name).any(|n| named.contains(&address(n, 8000)))
    };
    assert!(DATA_CENTRES.iter().all(|name| near(name)), "one of each data centre: {named:?}");
}

#[test]
fn more_slots_need_more_hosts_and_callers_of_large_data_centres_get_near_ones() {
    let start = Instant::now();
    let fleet = Fleet::new(60, 32 * 30, start);
    let now = start + Duration::from_millis(500);
    assert_eq!(fleet.hosts[0].advertised_count(now), 30);
    for (number, near) in DATA_CENTRES.iter().enumerate() {
        let named = fleet.named(7, near, now);
        assert_eq!(named.len(), 10);
        let own = (0..60).filter(|n| n % 3 == number).map(|n| address(n, 8000));
        assert!(named.is_subset(&own.collect()));
    }
}

#[test]
fn a_host_that_leaves_or_dies_is_replaced_and_the_others_stay() {
    let start = Instant::now();
    let fleet = Fleet::new(15, 90, start);
    let first = fleet.named(0, "a", start);
    let left = (0..15).find(|&n| first.contains(&address(n, 8000))).expect("a home");
    fleet.hosts[left].set_state(State::Leaving);
    let others: Vec<usize> = (0..15).filter(|&n| n != left).collect();
    fleet.beat(&[left], &others, start);
    for &by in &others {
        let named = fleet.named(by, "a", start);
        assert_eq!(named.len(), 3);
        assert_eq!(named.intersection(&first).count(), 2);
        assert!(!named.contains(&address(left, 8000)));
    }
}

#[test]
fn shares_add_up_to_one_and_homes_get_most() {
    for (count, slots) in [(1, 90), (3, 90), (13, 116), (15, 90), (60, 960)] {
        let start = Instant::now();
        let fleet = Fleet::new(count, slots, start);
        let all: Vec<usize> = (0..count).collect();
        let now = start + Duration::from_secs(3);
        fleet.beat(&all, &all, now);
        let shares: Vec<f64> = fleet.hosts.iter().map(|host| host.budget_share(now)).collect();
        let total: f64 = shares.iter().sum();
        assert!((total - 1.0).abs() < 1e-9, "{total} of {count} hosts");
        let homes = fleet.hosts[0].advertised_count(now);
        let most = shares.iter().copied().fold(0.0, f64::max);
        assert!(most >= 0.8 / homes as f64, "{most} with {homes} homes");
    }
}

/// Hosts are killed, cut off and heard again at random; the shares of those that run, whether or not they
/// hear each other.
fn most_shared_out(count: usize, steps: &[(u8, u8)]) -> f64 {
    let start = Instant::now();
    let fleet = Fleet::new(count, 32 * 4, start);
    let mut cut: BTreeSet<usize> = BTreeSet::new();
    let mut most: f64 = 0.0;
    for tick in 1..=160_u64 {
        let now = start + Duration::from_millis(2000 + tick * 250);
        // One host more is cut off, or one comes back, every two seconds; a third may be away.
        if let Some((number, back)) = steps.get(tick as usize / 8).filter(|_| tick % 8 == 0) {
            let number = usize::from(*number) % count;
            match back % 2 == 0 {
                true if cut.len() < count.div_ceil(3) => cut.insert(number),
                _ => cut.remove(&number),
            };
        }
        let heard: Vec<usize> = (0..count).filter(|number| !cut.contains(number)).collect();
        fleet.beat(&heard, &heard, now);
        // Those that are cut off for a second still send; later their callers have gone elsewhere.
        let total: f64 = heard.iter().map(|&number| fleet.hosts[number].budget_share(now)).sum();
        most = most.max(total);
    }
    most
}

#[test]
fn hosts_that_come_and_go_never_share_out_more_than_there_is() {
    fn holds(count: u8, steps: Vec<(u8, u8)>) -> bool {
        most_shared_out(usize::from(count % 20) + 4, &steps) * MOST_USED <= 1.0
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(20, 9))
        .tests(60)
        .quickcheck(holds as fn(u8, Vec<(u8, u8)>) -> bool);
}

#[test]
fn a_host_that_stood_still_wakes_with_the_share_that_it_had() {
    let start = Instant::now();
    let fleet = Fleet::new(13, 116, start);
    let all: Vec<usize> = (0..13).collect();
    let before = start + Duration::from_secs(4);
    fleet.beat(&all, &all, before);
    let shares: Vec<f64> = fleet.hosts.iter().map(|host| host.budget_share(before)).collect();
    let still = Duration::from_secs(10);
    for (host, share) in fleet.hosts.iter().zip(shares) {
        host.record_pause(still);
        let now = before + still + Duration::from_millis(10);
        assert!(host.budget_share(now) <= share + 1e-9, "{} of {share}", host.budget_share(now));
    }
    // Who really died meanwhile is dropped as soon as at any other time.
    let now = before + still + Duration::from_millis(1900);
    fleet.beat(&all[..12], &all, now);
    assert_eq!(fleet.hosts[0].live_count(now), 12);
}
