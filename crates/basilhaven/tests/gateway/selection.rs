//! The selection of an upstream for a call, and the subsets of upstreams that hosts use.

use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::assignment::Assignment;
use basilhaven::gateway::cluster::name_hash;
use basilhaven::gateway::round_trips::RoundTrips;
use basilhaven::gateway::selection::{Context, Effort};
use basilhaven::gateway::upstream::{Entry, Upstream};
use basilhaven::gateway::{balancer, selection};
use basilhaven::profile::Idempotency;

use crate::{entry, load, requirements, upstream};

/// Returns the context of a call with a baseline of 100 ms at a host in data centre `a`.
fn context(round_trips: &RoundTrips) -> Context<'_> {
    Context { data_centre: "a", baseline: Duration::from_millis(100), round_trips }
}

/// Returns the cheapest upstream for a host in data centre `a` that knows no round trips.
fn cheapest<'a>(candidates: &[&'a Rc<Upstream>], now: Instant) -> Option<(&'a Rc<Upstream>, f64)> {
    selection::cheapest(candidates, &context(&RoundTrips::default()), now)
}

#[test]
fn the_upstream_with_the_lowest_cost_is_chosen() {
    let now = Instant::now();
    let (slow, fast) = (upstream("slow", "v1", "a", now), upstream("fast", "v1", "a", now));
    slow.record_report(load(0, 4.0), now);
    fast.record_report(load(2, 1.0), now);
    let (chosen, _) = cheapest(&[&slow, &fast], now).expect("one has a free slot");
    assert_eq!(&*chosen.id, "fast");
}

#[test]
fn an_upstream_that_is_full_or_has_no_recent_report_is_never_chosen() {
    let now = Instant::now();
    let (full, silent) = (upstream("full", "v1", "a", now), upstream("silent", "v1", "a", now));
    full.record_report(load(4, 1.0), now);
    silent.record_report(load(0, 1.0), now);
    let later = now + selection::MAX_REPORT_AGE + Duration::from_millis(1);
    full.record_report(load(4, 1.0), later);
    assert!(cheapest(&[&full, &silent], later).is_none());
}

#[test]
fn the_local_of_two_equal_upstreams_is_chosen_unless_it_is_slow() {
    let now = Instant::now();
    let (local, remote) = (upstream("near", "v1", "a", now), upstream("far", "v1", "b", now));
    local.record_report(load(0, 1.0), now);
    remote.record_report(load(0, 1.0), now);
    assert_eq!(&*cheapest(&[&remote, &local], now).unwrap().0.id, "near");
    local.record_report(load(0, 4.0), now);
    assert_eq!(&*cheapest(&[&remote, &local], now).unwrap().0.id, "far");
}

// Guards against calls that crowd the upstreams of one data centre, at a constant price for the way to
// another one, while those are idle and a millisecond away; and against calls that go far when
// the way takes as long as they do.
#[test]
fn a_call_goes_to_another_data_centre_if_the_round_trip_is_less_than_what_it_gains() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let (local, remote) = (upstream("near", "v1", "a", now), upstream("far", "v1", "b", now));
    let chosen = |running: u32, round_trip: u64| {
        let trips = RoundTrips::default();
        for _ in 0..20 {
            trips.record(&"a".into(), ms(1));
            trips.record(&"b".into(), ms(round_trip));
        }
        local.record_report(load(running, 1.0), now);
        remote.record_report(load(0, 1.0), now);
        let found = selection::cheapest(&[&remote, &local], &context(&trips), now);
        found.expect("both have free slots").0.id.to_string()
    };
    assert_eq!(chosen(0, 1), "near", "of equal upstreams");
    assert_eq!(chosen(1, 2), "far", "7.5 ms sooner");
    assert_eq!(chosen(1, 12), "near");
    assert_eq!(chosen(3, 40), "far", "the local one has its last slot free and runs slower");
}

#[test]
fn calls_that_begin_and_end_after_a_report_do_not_change_the_occupancy() {
    let now = Instant::now();
    let one = upstream("one", "v1", "a", now);
    one.record_report(load(0, 1.0), now);
    for _ in 0..10 {
        one.begin_call(now);
        assert_eq!(one.occupancy(), 1);
        one.end_call(now);
    }
    assert_eq!(one.occupancy(), 0);
    one.begin_call(now);
    one.record_report(load(3, 1.0), now + Duration::from_millis(5));
    one.end_call(now);
    assert_eq!(one.occupancy(), 3, "the report may have been made before the call ended");
}

#[test]
fn failures_raise_the_cost_and_decay_within_seconds() {
    let now = Instant::now();
    let (one, trips) = (upstream("one", "v1", "a", now), RoundTrips::default());
    one.record_report(load(0, 1.0), now);
    let before = selection::cost(&one, &context(&trips), now);
    (0..4).for_each(|_| one.record_failure(now, 1.0));
    assert!(selection::cost(&one, &context(&trips), now) > before + 3.0);
    assert!(one.failures(now + Duration::from_secs(30)) < 0.1);
}

#[test]
fn a_call_waits_for_a_fast_upstream_while_one_can_meet_its_target() {
    let now = Instant::now();
    let (service, ms) = ("catalogo".into(), Duration::from_millis);
    let requirements = requirements(&service, now, (250, 700, 800), 90);
    assert!(requirements.accepts(1.3, now));
    assert!(!requirements.accepts(4.0, now), "360 ms for a target of 250");
    assert!(
        requirements.accepts(4.0, now + ms(200)),
        "the call misses the target in any case, but not the deadline"
    );
    assert!(!requirements.accepts(8.0, now + ms(200)), "the call would miss the caller's deadline");
}

// Guards against at-most-once calls that are sent to an upstream which has become full, and resets
// their connections: they may not be sent again.
#[test]
fn an_at_most_once_call_needs_a_newer_report_that_shows_room() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let service = "catalogo".into();
    let requirements = |idempotency| balancer::Requirements {
        idempotency,
        ..requirements(&service, now, (250, 700, 800), 90)
    };
    let [safe, once] = [Idempotency::Idempotent, Idempotency::AtMostOnce].map(requirements);
    let one = upstream("one", "v1", "a", now);
    assert!(!once.has_room(&one, now), "nothing is known of it");
    one.record_report(load(2, 1.0), now);
    assert!(once.has_room(&one, now + ms(90)));
    assert!(!once.has_room(&one, now + ms(110)) && safe.has_room(&one, now + ms(110)));
    one.record_report(load(0, 1.0), now);
    assert!(!once.has_room(&one, now + selection::MAX_REPORT_AGE + ms(1)));
    one.record_report(load(3, 1.0), now);
    assert!(once.has_room(&one, now + ms(40)));
    assert!(!once.has_room(&one, now + ms(60)) && safe.has_room(&one, now + ms(60)));
    one.record_report(load(2, 1.0), now);
    [0, 1].iter().for_each(|_| one.begin_call(now));
    assert!(!once.has_room(&one, now + ms(10)), "two running and two sent since, of four slots");
}

// Guards against more calls to an upstream that has just reset one because it was full.
#[test]
fn an_upstream_that_resets_a_call_when_nearly_full_counts_as_full() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let [idle, slow, full] = ["idle", "slow", "full"].map(|id| upstream(id, "v1", "a", now));
    for (one, running) in [(&idle, 0), (&slow, 3), (&full, 3)] {
        one.record_report(load(running, 1.0), now);
        one.begin_call(now);
    }
    idle.record_reset(now, now + ms(2));
    slow.record_reset(now, now + ms(300));
    full.record_reset(now, now + ms(2));
    for one in [&idle, &slow, &full] {
        one.end_call(now);
    }
    let later = now + ms(10);
    let is_full = |one: &Upstream| selection::is_known_full(one, later);
    assert!(!is_full(&idle), "a reset of an upstream with free slots has another reason");
    assert!(!is_full(&slow), "the reset came long after the call was sent");
    assert!(is_full(&full));
}

const DATA_CENTRES: [&str; 4] = ["a", "b", "c", "d"];

/// Returns `count` upstreams, spread over four data centres.
fn fleet(count: usize, now: Instant) -> Vec<Rc<Upstream>> {
    let one = |i: usize| upstream(&format!("i-{i}"), "v1", DATA_CENTRES[i % 4], now);
    (0..count).map(one).collect()
}

/// Returns the assignments of `count` hosts, spread over four data centres, and the data centre of
/// each.
fn assignments(count: u64) -> Vec<(Assignment, &'static str)> {
    let data_centre = |host: u64| DATA_CENTRES[(host * 7 % 4) as usize];
    let keys: Vec<(u64, u16)> =
        (0..count).map(|host| (host, name_hash(data_centre(host)))).collect();
    let one = |host: u64| {
        let own = data_centre(host);
        (Assignment::new(host, name_hash(own), keys.clone()), own)
    };
    (0..count).map(one).collect()
}

fn subset<'a>(
    fleet: Vec<&'a Rc<Upstream>>,
    (assignment, own): &(Assignment, &str),
    count: usize,
    now: Instant,
) -> Vec<&'a Rc<Upstream>> {
    selection::subset(fleet, assignment, own, count, |_| true, now)
}

#[test]
fn the_subsets_of_all_hosts_cover_the_upstreams_evenly() {
    let now = Instant::now();
    let count = 32;
    let mut users = vec![0; 268];
    for host in &assignments(108) {
        let fleet = fleet(268, now);
        let used = subset(fleet.iter().collect(), host, count, now);
        assert_eq!(used.len(), count);
        let local = used.iter().filter(|u| *u.entry().data_centre == *host.1).count();
        assert_eq!(local, count / 2);
        for upstream in used {
            let index = fleet.iter().position(|u| u.id == upstream.id);
            users[index.expect("one of the fleet")] += 1;
        }
    }
    // 108 hosts with 32 upstreams each, of 268: 12.9 hosts per upstream on average.
    let (least, most) = (users.iter().min(), users.iter().max());
    assert!(least >= Some(&6) && most <= Some(&21), "{least:?} to {most:?} hosts per upstream");
}

// Guards against all hosts changing their upstreams, and opening connections to others, when one of
// them is replaced.
#[test]
fn a_host_that_leaves_changes_few_upstreams_of_the_others() {
    let now = Instant::now();
    let (before, after) = (assignments(25), assignments(24));
    let mut kept = 0;
    for (before, after) in before.iter().zip(&after) {
        let fleet = fleet(236, now);
        let first = subset(fleet.iter().collect(), before, 32, now);
        let second = subset(fleet.iter().collect(), after, 32, now);
        kept += first.iter().filter(|u| second.iter().any(|v| v.id == u.id)).count();
    }
    // The upstreams of the host that left are 1 of 25.
    assert!(kept as f64 >= 0.9 * 24.0 * 32.0, "{kept} of {} upstreams kept", 24 * 32);
}

// Guards against places that are computed anew in every search, as live hosts are known in another
// order after each heartbeat.
#[test]
fn the_epoch_of_an_assignment_does_not_depend_on_the_order_of_hosts() {
    let epoch = |hosts: [u64; 3]| Assignment::new(1, 0, hosts.map(|host| (host, 0))).epoch();
    assert_eq!(epoch([1, 2, 3]), epoch([3, 1, 2]));
    assert_ne!(epoch([1, 2, 3]), epoch([1, 2, 4]));
}

// Guards against a search that stays with upstreams that are full or may not be probed, and against
// one that goes on to others while the first ones have room.
#[test]
fn a_subset_is_widened_by_the_upstreams_that_are_not_usable() {
    let now = Instant::now();
    let (fleet, host) = (fleet(236, now), &assignments(25)[3]);
    let first = subset(fleet.iter().collect(), host, 32, now);
    let ids = |of: &[&Rc<Upstream>]| of.iter().map(|u| Rc::clone(&u.id)).collect::<Vec<_>>();
    let full = ids(&first[..10]);
    let is_usable = |u: &Upstream| !full.contains(&u.id);
    let second = selection::subset(fleet.iter().collect(), &host.0, host.1, 32, is_usable, now);
    assert_eq!(second.len(), 32);
    assert!(second.iter().all(|u| !full.contains(&u.id)));
    let kept = ids(&second).into_iter().filter(|id| ids(&first).contains(id)).count();
    assert_eq!(kept, 22);
}

#[test]
fn a_subset_is_as_large_as_the_upstreams_permit() {
    let now = Instant::now();
    let fleet = fleet(21, now);
    let host = &assignments(25)[0];
    assert_eq!(subset(fleet.iter().collect(), host, 32, now).len(), 21);
    assert_eq!(subset(fleet.iter().collect(), &(host.0.clone(), "elsewhere"), 12, now).len(), 12);
    let local: Vec<_> = fleet.iter().filter(|u| *u.entry().data_centre == *"a").collect();
    assert_eq!(subset(local, host, 4, now).len(), 4);
    let none = selection::subset(fleet.iter().collect(), &host.0, "a", 12, |_| false, now);
    assert_eq!(none.len(), 12);
}

#[test]
fn cold_upstreams_are_in_every_subset() {
    let now = Instant::now();
    let mut fleet = fleet(100, now);
    let cold = Entry { cold_remaining: Duration::from_secs(3), ..entry("catalogo", "v1", "b") };
    fleet.push(Rc::new(Upstream::new("cold".into(), cold, now)));
    for host in &assignments(3) {
        let used = subset(fleet.iter().collect(), host, 32, now);
        assert_eq!(used.len(), 33);
        assert!(used.iter().any(|u| &*u.id == "cold"));
    }
}

#[test]
fn removing_an_upstream_changes_a_subset_by_one() {
    let now = Instant::now();
    let fleet = fleet(268, now);
    let host = &assignments(108)[7];
    let before = subset(fleet.iter().collect(), host, 32, now);
    let left = Rc::clone(before[3]);
    let rest = fleet.iter().filter(|u| u.id != left.id).collect();
    let after = subset(rest, host, 32, now);
    let kept = before.iter().filter(|u| after.iter().any(|v| v.id == u.id)).count();
    assert_eq!(kept, 31);
}

// Guards against probes that open connections while upstreams with an open one are as good.
#[test]
fn of_equal_upstreams_the_ones_that_take_the_least_effort_are_probed() {
    let now = Instant::now();
    let fleet = fleet(20, now);
    let connected = |u: &Upstream| Effort::of(true, u.id.ends_with('3'), false);
    let all: Vec<_> = fleet.iter().collect();
    let probed = selection::sample(&all, 2, connected, now);
    assert!(probed.iter().all(|u| u.id.ends_with('3')));
    fleet[3].begin_call(now);
    let probed = selection::sample(&all, 2, connected, now);
    assert!(probed.iter().all(|u| &*u.id != "i-3"), "fewer calls go first");
}

// Guards against upstreams that have joined and get no call, as samples prefer open connections.
#[test]
fn an_upstream_that_was_never_heard_of_is_probed_before_others_without_a_connection() {
    let now = Instant::now();
    let upstreams: Vec<_> =
        ["connected", "heard", "joined"].map(|id| upstream(id, "v1", "a", now)).into();
    upstreams[1].contact.record_response(now);
    let candidates: Vec<_> = upstreams.iter().collect();
    let effort =
        |u: &Upstream| selection::Effort::of(true, &*u.id == "connected", &*u.id == "connected");
    let least = selection::least_heard(&candidates, effort).expect("one is not connected");
    assert_eq!(&*least.id, "joined");
}
