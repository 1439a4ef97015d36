//! Advertised hosts: callers get few hosts, and most of the common budgets is divided among these.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::{Members, Record, State};
use quickcheck::QuickCheck;

/// Share of a common budget that all hosts together use, the same for retries and probes; the rest
/// allows for hosts that know different live hosts.
const MAX_USED_SHARE: f64 = 0.85;

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

fn address(host: usize, port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host as u8 + 1), port).into()
}

fn host(number: usize, capacity: u8, start: Instant) -> Members {
    let record = Record {
        peer: address(number, 7000),
        callers: address(number, 8000),
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
    };
    let members = Members::new(&record, capacity, start);
    members.set_state(State::Ready);
    members
}

/// Hosts of three data centres that know each other.
struct Fleet {
    hosts: Vec<Members>,
}

impl Fleet {
    fn new(count: usize, slots: usize, start: Instant) -> Fleet {
        Fleet::with_capacities(&vec![10; count], slots, start)
    }

    fn with_capacities(capacities: &[u8], slots: usize, start: Instant) -> Fleet {
        let count = capacities.len();
        let numbered = capacities.iter().enumerate();
        let hosts: Vec<Members> =
            numbered.map(|(number, capacity)| host(number, *capacity, start)).collect();
        hosts.iter().for_each(|host| host.set_upstream_slots(slots));
        let fleet = Fleet { hosts };
        let all: Vec<usize> = (0..count).collect();
        fleet.deliver_heartbeats(&all, &all, start);
        fleet
    }

    /// Delivers a heartbeat of each of the `senders` to all `receivers`.
    fn deliver_heartbeats(&self, senders: &[usize], receivers: &[usize], now: Instant) {
        for &from in senders {
            let heartbeat = self.hosts[from].next_heartbeat(now).0[0];
            for &to in receivers {
                self.hosts[to].merge(address(from, 7000), &[heartbeat], now);
            }
        }
    }

    fn advertised(&self, by: usize, data_centre: &str, now: Instant) -> BTreeSet<SocketAddr> {
        self.hosts[by].advertised(data_centre, now).expect("others are known").into_iter().collect()
    }
}

#[test]
fn all_hosts_advertise_the_same_few_hosts_of_several_data_centres() {
    let start = Instant::now();
    let fleet = Fleet::new(15, 90, start);
    let now = start + Duration::from_millis(500);
    let advertised = fleet.advertised(0, "a", now);
    assert_eq!(advertised.len(), 3, "ninety slots need three hosts");
    (1..15).for_each(|by| assert_eq!(fleet.advertised(by, "b", now), advertised));
    let has_host_of = |name: &str| {
        (0..15)
            .filter(|&n| DATA_CENTRES[n % 3] == name)
            .any(|n| advertised.contains(&address(n, 8000)))
    };
    assert!(
        DATA_CENTRES.iter().all(|name| has_host_of(name)),
        "one of each data centre: {advertised:?}"
    );
}

#[test]
fn more_slots_need_more_hosts_and_callers_of_large_data_centres_get_local_ones() {
    let start = Instant::now();
    let fleet = Fleet::new(60, 32 * 30, start);
    let now = start + Duration::from_millis(500);
    assert_eq!(fleet.hosts[0].advertised_count(now), 30);
    for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
        let advertised = fleet.advertised(7, data_centre, now);
        assert_eq!(advertised.len(), 10);
        let own = (0..60).filter(|n| n % 3 == number).map(|n| address(n, 8000));
        assert!(advertised.is_subset(&own.collect()));
    }
}

#[test]
fn a_host_that_leaves_is_replaced_and_the_others_stay() {
    let start = Instant::now();
    let fleet = Fleet::new(15, 90, start);
    let first = fleet.advertised(0, "a", start);
    let left = (0..15).find(|&n| first.contains(&address(n, 8000))).expect("an advertised host");
    fleet.hosts[left].set_state(State::Leaving);
    let others: Vec<usize> = (0..15).filter(|&n| n != left).collect();
    fleet.deliver_heartbeats(&[left], &others, start);
    for &by in &others {
        let advertised = fleet.advertised(by, "a", start);
        assert_eq!(advertised.len(), 3);
        assert_eq!(advertised.intersection(&first).count(), 2);
        assert!(!advertised.contains(&address(left, 8000)));
    }
}

#[test]
fn budget_shares_add_up_to_one_and_advertised_hosts_get_most() {
    for (count, slots) in [(1, 90), (3, 90), (13, 116), (15, 90), (60, 960)] {
        let start = Instant::now();
        let fleet = Fleet::new(count, slots, start);
        let all: Vec<usize> = (0..count).collect();
        let now = start + Duration::from_secs(3);
        fleet.deliver_heartbeats(&all, &all, now);
        let shares: Vec<f64> = fleet.hosts.iter().map(|host| host.budget_share(now)).collect();
        let total: f64 = shares.iter().sum();
        assert!((total - 1.0).abs() < 1e-9, "{total} of {count} hosts");
        let advertised = fleet.hosts[0].advertised_count(now);
        let most = shares.iter().copied().fold(0.0, f64::max);
        assert!(most >= 0.8 / advertised as f64, "{most} with {advertised} advertised hosts");
    }
}

/// Cuts hosts off and connects them again at random; returns the largest sum of the budget shares
/// of the connected hosts.
fn max_total_share(count: usize, steps: &[(u8, u8)]) -> f64 {
    let start = Instant::now();
    let fleet = Fleet::new(count, 32 * 4, start);
    let mut cut: BTreeSet<usize> = BTreeSet::new();
    let mut most: f64 = 0.0;
    for tick in 1..=160_u64 {
        let now = start + Duration::from_millis(2000 + tick * 250);
        // Every two seconds another host is cut off or connected again; at most a third are cut
        // off.
        if let Some((number, back)) = steps.get(tick as usize / 8).filter(|_| tick % 8 == 0) {
            let number = usize::from(*number) % count;
            match back % 2 == 0 {
                true if cut.len() < count.div_ceil(3) => cut.insert(number),
                _ => cut.remove(&number),
            };
        }
        let connected: Vec<usize> = (0..count).filter(|number| !cut.contains(number)).collect();
        fleet.deliver_heartbeats(&connected, &connected, now);
        // Only connected hosts count: callers of a host that is cut off soon use other hosts.
        let total: f64 =
            connected.iter().map(|&number| fleet.hosts[number].budget_share(now)).sum();
        most = most.max(total);
    }
    most
}

#[test]
fn hosts_that_come_and_go_never_claim_more_than_the_budget() {
    fn holds(count: u8, steps: Vec<(u8, u8)>) -> bool {
        max_total_share(usize::from(count % 20) + 4, &steps) * MAX_USED_SHARE <= 1.0
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(20, 9))
        .tests(60)
        .quickcheck(holds as fn(u8, Vec<(u8, u8)>) -> bool);
}

#[test]
fn a_host_keeps_its_budget_share_after_a_process_pause() {
    let start = Instant::now();
    let fleet = Fleet::new(13, 116, start);
    let all: Vec<usize> = (0..13).collect();
    let before = start + Duration::from_secs(4);
    fleet.deliver_heartbeats(&all, &all, before);
    let shares: Vec<f64> = fleet.hosts.iter().map(|host| host.budget_share(before)).collect();
    let pause = Duration::from_secs(10);
    for (host, share) in fleet.hosts.iter().zip(shares) {
        host.record_pause(pause);
        let now = before + pause + Duration::from_millis(10);
        assert!(host.budget_share(now) <= share + 1e-9, "{} of {share}", host.budget_share(now));
    }
    // A host that died during the pause is removed as soon as at any other time.
    let now = before + pause + Duration::from_millis(1900);
    fleet.deliver_heartbeats(&all[..12], &all, now);
    assert_eq!(fleet.hosts[0].live_count(now), 12);
}

// Guards against a host that is cut off from the others and claims the budgets for itself.
#[test]
fn a_host_that_receives_no_heartbeats_keeps_its_budget_share_for_a_while() {
    let start = Instant::now();
    let fleet = Fleet::new(13, 116, start);
    let all: Vec<usize> = (0..13).collect();
    let before = start + Duration::from_secs(4);
    fleet.deliver_heartbeats(&all, &all, before);
    let shares: Vec<f64> = fleet.hosts.iter().map(|host| host.budget_share(before)).collect();
    for (host, share) in fleet.hosts.iter().zip(shares) {
        for later in [2, 9, 20, 29] {
            let now = before + Duration::from_secs(later);
            assert!(host.budget_share(now) <= share + 1e-9, "after {later} s");
        }
        assert_eq!(host.budget_share(before + Duration::from_secs(31)), 1.0);
    }
}

/// Six hosts of half a core and many of a tenth; the directory advertises all large ones and some
/// small ones.
fn uneven_fleet(start: Instant) -> (Vec<u8>, Fleet) {
    let capacities: Vec<u8> = (0..48).map(|number| if number < 6 { 10 } else { 2 }).collect();
    let fleet = Fleet::with_capacities(&capacities, 24 * 32, start);
    (capacities, fleet)
}

/// Callers came to small hosts as often as to large ones, which saturated the small ones.
#[test]
fn callers_are_directed_to_hosts_by_capacity() {
    let start = Instant::now();
    let (capacities, fleet) = uneven_fleet(start);
    let now = start + Duration::from_secs(3);
    let all: Vec<usize> = (0..48).collect();
    fleet.deliver_heartbeats(&all, &all, now);
    let mut calls = vec![0.0; capacities.len()];
    for caller in 0..30_000 {
        let named = fleet.hosts[0].advertised(DATA_CENTRES[caller % 3], now).expect("hosts");
        assert!(named.len() >= 3, "{named:?}");
        let chosen = fastrand::choice(named).expect("a host");
        let number = (0..48).find(|&n| address(n, 8000) == chosen).expect("a known host");
        calls[number] += 1.0 / f64::from(capacities[number]);
    }
    let mean = |hosts: std::ops::Range<usize>| {
        let called: Vec<f64> = calls[hosts].iter().copied().filter(|&load| load > 0.0).collect();
        called.iter().sum::<f64>() / called.len() as f64
    };
    let (large, small) = (mean(0..6), mean(6..48));
    assert!(small < 2.0 * large, "load by capacity: {small} of small hosts, {large} of large ones");
}

/// A host that gets more calls than others needs more probes for them.
#[test]
fn budget_shares_follow_the_capacity_and_add_up_to_one() {
    let start = Instant::now();
    let (_, fleet) = uneven_fleet(start);
    let now = start + Duration::from_secs(3);
    let all: Vec<usize> = (0..48).collect();
    fleet.deliver_heartbeats(&all, &all, now);
    let shares: Vec<f64> = fleet.hosts.iter().map(|host| host.budget_share(now)).collect();
    let total: f64 = shares.iter().sum();
    assert!((total - 1.0).abs() < 1e-9, "{total}");
    let smallest_advertised =
        shares[6..].iter().copied().filter(|&share| share > 0.2 / 48.0 + 1e-9).reduce(f64::min);
    let ratio = shares[0] / smallest_advertised.expect("a small advertised host");
    assert!((2.0..5.0).contains(&ratio), "{ratio}");
}
