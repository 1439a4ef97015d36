//! Updates of the store take effect, and older ones do not undo newer ones.

use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::finding;
use basilhaven::gateway::registry::Registry;
use basilhaven::gateway::store::{Change, Feed, Revision};
use basilhaven::gateway::updates::Replica;
use basilhaven::gateway::{journal, route, upstream};

use crate::{entry, replica};

fn config(version: u64) -> Change {
    Change::Config(Rc::new(route::Table { version, ..route::Table::default() }))
}

/// Returns an upstream's entry in the store's upstream list.
fn listed(id: &str) -> Change {
    Change::Upstream { id: id.into(), entry: Some(entry("catalogo", "v1", "a")) }
}

fn eligible_count(registry: &Registry, now: Instant) -> usize {
    let all = registry.upstreams_of("catalogo");
    all.iter().filter(|upstream| registry.is_eligible(upstream, now)).count()
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(Feed::Orders, true, Revision::from(5), vec![config(7)], now);
    replica.apply_update(Feed::Orders, false, Revision::from(6), vec![config(6)], now);
    replica.apply_update(Feed::Orders, true, Revision::from(7), vec![config(5)], now);
    // A read at an older revision.
    replica.apply_update(Feed::Orders, true, Revision::from(4), vec![config(9)], now);
    assert_eq!(replica.config.table().map(|table| table.version), Some(7));
}

#[test]
fn a_snapshot_of_upstreams_removes_those_not_in_it() {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(
        Feed::Upstreams,
        true,
        Revision::from(1),
        vec![listed("u1"), listed("u2")],
        now,
    );
    assert_eq!(eligible_count(&replica.registry, now), 2);
    replica.apply_update(Feed::Upstreams, true, Revision::from(2), vec![listed("u2")], now);
    assert_eq!(eligible_count(&replica.registry, now), 1);
}

#[test]
fn a_malformed_entry_removes_its_upstream() {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(
        Feed::Upstreams,
        true,
        Revision::from(1),
        vec![listed("u1"), listed("u2")],
        now,
    );
    let mut findings = finding::Findings::default();
    findings.add("Slots", "is no number");
    let broken = Change::Unreadable { key: "u1".into(), findings };
    replica.apply_update(Feed::Upstreams, false, Revision::from(2), vec![broken], now);
    assert_eq!(eligible_count(&replica.registry, now), 1);
}

#[test]
fn entries_that_expire_while_the_store_is_down_count_until_shortly_after_its_return() {
    let (registry, start) = (Registry::default(), Instant::now());
    registry.apply("u1".into(), Some(entry("catalogo", "v1", "a")), start);
    let at = |ms| start + Duration::from_millis(ms);
    registry.set_store_reachable(false, at(0));
    registry.apply("u1".into(), None, at(4000));
    assert_eq!(eligible_count(&registry, at(4000)), 1);
    registry.set_store_reachable(true, at(5000));
    assert_eq!(eligible_count(&registry, at(7000)), 1);
    assert_eq!(eligible_count(&registry, at(7300)), 0);
}

#[test]
fn an_entry_that_is_removed_while_the_store_is_up_is_dropped_at_once() {
    let (registry, now) = (Registry::default(), Instant::now());
    registry.apply("u1".into(), Some(entry("catalogo", "v1", "a")), now);
    registry.apply("u1".into(), None, now);
    assert_eq!(eligible_count(&registry, now), 0);
}

#[test]
fn a_leaving_upstream_gets_no_more_calls() {
    let (registry, now) = (Registry::default(), Instant::now());
    registry.apply("u1".into(), Some(entry("catalogo", "v1", "a")), now);
    let leaving = upstream::Entry { is_leaving: true, ..entry("catalogo", "v1", "a") };
    registry.apply("u1".into(), Some(leaving), now);
    assert_eq!(eligible_count(&registry, now), 0);
}

#[test]
fn an_evacuated_data_centre_gets_no_calls_until_the_order_is_revoked() {
    let (registry, now) = (Registry::default(), Instant::now());
    registry.apply("u1".into(), Some(entry("catalogo", "v1", "a")), now);
    registry.set_evacuated("a".into(), true);
    assert_eq!(eligible_count(&registry, now), 0);
    registry.set_evacuated("a".into(), false);
    assert_eq!(eligible_count(&registry, now), 1);
}

#[test]
fn a_journal_returns_the_changes_after_a_revision_while_it_has_them_all() {
    let journal = journal::Journal::default();
    journal.reset(Revision::from(10));
    (11..=14).for_each(|revision| journal.append(Revision::from(revision), vec![config(revision)]));
    let missing = journal.since(Revision::from(12)).expect("all changes since 10 are retained");
    assert_eq!(
        missing.iter().map(|batch| batch.revision).collect::<Vec<_>>(),
        [13, 14].map(Revision::from)
    );
    assert!(journal.since(Revision::from(14)).is_some_and(|batches| batches.is_empty()));
    assert!(journal.since(Revision::from(9)).is_none(), "changes before 10 are not retained");
}

fn cold(id: &str, cold_left: Duration) -> Change {
    let entry = upstream::Entry { cold_remaining: cold_left, ..entry("catalogo", "v1", "a") };
    Change::Upstream { id: id.into(), entry: Some(entry) }
}

/// Returns how many changes a follower at `revision` would be sent, or `None` for a snapshot.
fn relayed_count(replica: &Replica, revision: u64) -> Option<usize> {
    let batches = replica.journal(Feed::Upstreams).since(Revision::from(revision))?;
    Some(batches.iter().map(|batch| batch.items.len()).sum())
}

#[test]
fn a_heartbeat_that_changes_nothing_is_not_relayed() {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(
        Feed::Upstreams,
        true,
        Revision::from(1),
        vec![listed("u1"), listed("u2")],
        now,
    );
    for revision in 2..200 {
        replica.apply_update(
            Feed::Upstreams,
            false,
            Revision::from(revision),
            vec![listed("u1"), listed("u2")],
            now,
        );
    }
    assert_eq!(replica.journal(Feed::Upstreams).revision(), Revision::from(199));
    assert_eq!(relayed_count(&replica, 1), Some(0));
    assert_eq!(relayed_count(&replica, 0), None, "a follower without the list is sent a snapshot");
    let removed = Change::Upstream { id: "u1".into(), entry: None };
    replica.apply_update(
        Feed::Upstreams,
        false,
        Revision::from(200),
        vec![removed.clone(), listed("u2")],
        now,
    );
    replica.apply_update(Feed::Upstreams, false, Revision::from(201), vec![removed], now);
    assert_eq!(relayed_count(&replica, 1), Some(1));
    replica.apply_update(Feed::Upstreams, false, Revision::from(202), vec![listed("u1")], now);
    assert_eq!(relayed_count(&replica, 201), Some(0), "the entry was written before the removal");
    let listed_again = upstream::Entry { sequence: 2, ..entry("catalogo", "v1", "a") };
    let listed_again = Change::Upstream { id: "u1".into(), entry: Some(listed_again) };
    replica.apply_update(Feed::Upstreams, false, Revision::from(203), vec![listed_again], now);
    assert_eq!(relayed_count(&replica, 202), Some(1), "an entry that is listed again is relayed");
    assert_eq!(eligible_count(&replica.registry, now), 2);
}

#[test]
fn a_follower_gets_a_snapshot_once_changes_that_it_lacks_are_dropped() {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(Feed::Upstreams, true, Revision::from(1), vec![], now);
    for revision in 2..100 {
        replica.apply_update(
            Feed::Upstreams,
            false,
            Revision::from(revision),
            vec![listed(&revision.to_string())],
            now,
        );
    }
    assert_eq!(relayed_count(&replica, 90), Some(9));
    assert_eq!(relayed_count(&replica, 2), None);
}

#[test]
fn a_cold_restart_is_relayed_and_the_expected_warm_up_is_not() {
    let (replica, start) = (replica(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    let heartbeat = |revision, cold_ms, ms| {
        let change = cold("u1", Duration::from_millis(cold_ms));
        replica.apply_update(
            Feed::Upstreams,
            false,
            Revision::from(revision),
            vec![change],
            at(ms),
        );
    };
    replica.apply_update(
        Feed::Upstreams,
        true,
        Revision::from(1),
        vec![cold("u1", Duration::from_secs(3))],
        at(0),
    );
    heartbeat(2, 1_500, 1_480);
    assert_eq!(relayed_count(&replica, 1), Some(0));
    heartbeat(3, 0, 3_100);
    assert_eq!(relayed_count(&replica, 1), Some(0));
    heartbeat(4, 3_000, 6_000);
    assert_eq!(relayed_count(&replica, 1), Some(1));
    let upstream = replica.registry.upstreams_of("catalogo").remove(0);
    assert_eq!(upstream.cold_remaining(at(7_000)), Duration::from_secs(2));
}

#[test]
fn a_snapshot_states_the_remaining_cold_time_of_upstreams() {
    let (replica, start) = (replica(), Instant::now());
    replica.apply_update(
        Feed::Upstreams,
        true,
        Revision::from(1),
        vec![cold("u1", Duration::from_secs(3))],
        start,
    );
    let later = start + Duration::from_millis(2_000);
    let listed = replica.registry.snapshot(later);
    let [Change::Upstream { entry: Some(entry), .. }] = &listed[..] else {
        panic!("one entry: {listed:?}")
    };
    assert_eq!(entry.cold_remaining, Duration::from_secs(1));
}

// Guards against calls that do not name the upstream that they are for, since its id cannot stand
// in a header field: the address may have gone to an upstream of another service.
#[test]
fn an_id_that_no_header_field_can_carry_names_no_upstream() {
    let (replica, now) = (replica(), Instant::now());
    let ids = ["u1", "u 2", "", " ", "u3 ", "u\n4", "u\u{f8}5"];
    let items = ids.iter().map(|id| listed(id)).collect();
    replica.apply_update(Feed::Upstreams, true, Revision::from(1), items, now);
    let listed = replica.registry.upstreams_of("catalogo");
    let listed: Vec<&str> = listed.iter().map(|upstream| &*upstream.id).collect();
    assert_eq!(listed, ["u1", "u 2", "u\u{f8}5"]);
}
