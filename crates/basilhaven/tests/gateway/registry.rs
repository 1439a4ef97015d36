//! What is believed of an upstream never goes back within one start of it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::gateway::registry::Registry;
use basilhaven::gateway::store::{Change, Feed};
use basilhaven::gateway::upstream::{Entry, Upstream};

use crate::{entry, replica};

fn written(started_ms: u64, beat: u64, leaving: bool) -> Change {
    let entry =
        Entry { started_ms, sequence: beat, is_leaving: leaving, ..entry("catalogo", "v1", "a") };
    Change::Upstream { id: "u1".into(), entry: Some(entry) }
}

const REMOVED: fn() -> Change = || Change::Upstream { id: "u1".into(), entry: None };

/// Whether `u1` may get calls after some rows, each read by itself.
fn is_open_after(rows: Vec<Change>) -> bool {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(Feed::Upstreams, true, 1, Vec::new(), now);
    for (revision, row) in (2..).zip(rows) {
        replica.apply_update(Feed::Upstreams, false, revision, vec![row], now);
    }
    is_open(&replica.registry, now)
}

fn is_open(registry: &Registry, now: Instant) -> bool {
    registry.upstreams_of("catalogo").iter().any(|upstream| registry.is_eligible(upstream, now))
}

#[test]
fn an_older_entry_that_comes_after_its_leaving_opens_nothing() {
    assert!(!is_open_after(vec![written(1, 4, false), written(1, 6, true), written(1, 5, false)]));
    assert!(!is_open_after(vec![written(1, 6, true), written(1, 5, false)]));
    assert!(!is_open_after(vec![written(1, 6, true), written(1, 7, false)]), "it left for good");
}

#[test]
fn a_heartbeat_that_says_nothing_new_still_counts_as_the_newest() {
    let rows = vec![written(1, 4, false), written(1, 7, false), REMOVED(), written(1, 6, false)];
    assert!(!is_open_after(rows), "written before the removal");
    let rows = vec![written(1, 4, false), written(1, 7, false), REMOVED(), written(1, 8, false)];
    assert!(is_open_after(rows), "it lives");
}

#[test]
fn an_entry_of_an_earlier_start_says_nothing_of_the_present_one() {
    assert!(is_open_after(vec![written(1, 9, true), written(2, 1, false), written(1, 8, true)]));
    assert!(!is_open_after(vec![written(2, 3, true), written(1, 9, false)]));
}

#[test]
fn a_new_start_under_the_same_id_is_taken_though_it_counts_anew() {
    assert!(is_open_after(vec![written(1, 9, true), written(2, 1, false)]));
    assert!(is_open_after(vec![written(1, 9, false), REMOVED(), written(2, 1, false)]));
}

#[test]
fn a_late_entry_is_told_from_a_new_one_for_seconds_after_the_upstream_was_dropped() {
    let (replica, start) = (replica(), Instant::now());
    let at = |s| start + Duration::from_secs(s);
    replica.apply_update(Feed::Upstreams, true, 1, vec![written(1, 6, true)], start);
    replica.apply_update(Feed::Upstreams, false, 2, vec![REMOVED()], at(1));
    replica.registry.prune(at(4));
    replica.apply_update(Feed::Upstreams, false, 3, vec![written(1, 5, false)], at(6));
    assert!(!is_open(&replica.registry, at(6)));
    replica.registry.prune(at(20));
    assert_eq!(replica.registry.len(), 0, "it is forgotten in the end");
}

#[test]
fn a_list_that_is_read_whole_or_comes_from_another_host_takes_nothing_back() {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(Feed::Upstreams, true, 1, vec![written(1, 6, true)], now);
    replica.apply_update(Feed::Upstreams, true, 9, vec![written(1, 5, false)], now);
    assert!(!is_open(&replica.registry, now));
    let follower = crate::replica();
    follower.apply_update(Feed::Upstreams, true, 9, replica.snapshot(Feed::Upstreams), now);
    follower.apply_update(Feed::Upstreams, false, 10, vec![written(1, 5, false)], now);
    assert!(!is_open(&follower.registry, now));
}

fn list_two(registry: &Registry, now: Instant) -> Vec<Rc<Upstream>> {
    for id in ["u1", "u2"] {
        registry.apply(id.into(), Some(entry("catalogo", "v1", "a")), now);
    }
    registry.upstreams_of("catalogo")
}

#[test]
fn who_refuses_its_health_check_gets_nothing_while_another_can_take_the_call() {
    let (registry, start) = (Registry::default(), Instant::now());
    let all = list_two(&registry, start);
    let ids = |now| {
        let kept = registry.prefer_healthy(all.iter().collect(), now);
        kept.iter().map(|upstream| upstream.id.to_string()).collect::<Vec<_>>()
    };
    let at = |ms| start + Duration::from_millis(ms);
    // The store drops an entry after three heartbeats of silence; until then an upstream that leaves may
    // still be listed as ready.
    for ms in (0..4500).step_by(500) {
        all[0].record_health(at(ms), false);
        assert_eq!(ids(at(ms)), ["u2"], "after {ms} ms");
    }
    assert_eq!(ids(at(6000)), ["u1", "u2"], "it has written since that it is ready");
    all[0].record_health(at(6000), true);
    all[0].record_health(at(6100), false);
    assert_eq!(ids(at(6100)), ["u2"], "it fails anew");
}

#[test]
fn false_health_answers_of_all_upstreams_empty_no_service() {
    let (registry, now) = (Registry::default(), Instant::now());
    let all = list_two(&registry, now);
    all.iter().for_each(|upstream| upstream.record_health(now, false));
    assert_eq!(registry.prefer_healthy(all.iter().collect(), now).len(), 2);
}

#[test]
fn who_begins_to_leave_while_the_store_is_away_serves_until_it_can_say_so() {
    let (registry, start) = (Registry::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    let all = list_two(&registry, start);
    all[0].record_health(start, false);
    registry.set_store_reachable(false, at(500));
    all[1].record_health(at(2000), false);
    assert!(registry.may_be_leaving(&all[0], at(3000)), "it may have been heard");
    assert!(!registry.may_be_leaving(&all[1], at(3000)));
    registry.set_store_reachable(true, at(4000));
    assert!(registry.may_be_leaving(&all[1], at(4000)), "now it can tell the store");
}

#[test]
fn orders_of_a_read_that_lags_take_nothing_back() {
    let (replica, now) = (replica(), Instant::now());
    let evacuation = |ordered| Change::Evacuation { data_centre: "a".into(), ordered };
    replica.apply_update(Feed::Upstreams, true, 1, vec![written(1, 1, false)], now);
    replica.apply_update(Feed::Orders, true, 5, vec![evacuation(true)], now);
    replica.apply_update(Feed::Orders, true, 4, Vec::new(), now);
    replica.apply_update(Feed::Orders, false, 4, vec![evacuation(false)], now);
    assert!(!is_open(&replica.registry, now), "taken back by an older read");
    replica.apply_update(Feed::Orders, false, 6, vec![evacuation(false)], now);
    assert!(is_open(&replica.registry, now));
}

#[test]
fn who_was_removed_while_the_store_was_there_stays_removed_when_that_is_lost() {
    let (registry, start) = (Registry::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    list_two(&registry, start);
    registry.apply("u1".into(), None, at(1000));
    let open = |ms| {
        let all = registry.upstreams_of("catalogo");
        all.iter().filter(|upstream| registry.is_eligible(upstream, at(ms))).count()
    };
    registry.set_store_reachable(false, at(3000));
    assert_eq!(open(5000), 1, "while the store is away");
    // An entry that goes missing meanwhile may have lapsed.
    registry.apply("u2".into(), None, at(5500));
    registry.set_store_reachable(true, at(6000));
    assert_eq!(open(7000), 1, "shortly after its return");
    // Lost again before all were listed: it may still have lapsed in the first outage.
    registry.set_store_reachable(false, at(7500));
    assert_eq!(open(8600), 1, "away again");
    registry.set_store_reachable(true, at(9000));
    assert_eq!(open(10_000), 1);
    assert_eq!(open(11_300), 0);
}
