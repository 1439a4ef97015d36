//! What the store says is in force, and never goes back.

use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::finding;
use basilhaven::gateway::registry::Registry;
use basilhaven::gateway::store::{Change, Feed};
use basilhaven::gateway::updates::Replica;
use basilhaven::gateway::{journal, route, upstream};

use crate::{entry, replica};

fn config(version: u64) -> Change {
    Change::Config(Rc::new(route::Table { version, ..route::Table::default() }))
}

fn listed(id: &str) -> Change {
    Change::Upstream { id: id.into(), entry: Some(entry("catalogo", "v1", "a")) }
}

fn open(registry: &Registry, now: Instant) -> usize {
    let all = registry.upstreams_of("catalogo");
    all.iter().filter(|upstream| registry.is_eligible(upstream, now)).count()
}

#[test]
fn a_configuration_never_goes_back_whichever_way_it_comes() {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(Feed::Orders, true, 5, vec![config(7)], now);
    replica.apply_update(Feed::Orders, false, 6, vec![config(6)], now);
    replica.apply_update(Feed::Orders, true, 7, vec![config(5)], now);
    // A reader that lags behind.
    replica.apply_update(Feed::Orders, true, 4, vec![config(9)], now);
    assert_eq!(replica.config.table().map(|table| table.version), Some(7));
}

#[test]
fn a_list_that_is_read_whole_drops_what_is_not_in_it() {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(Feed::Upstreams, true, 1, vec![listed("u1"), listed("u2")], now);
    assert_eq!(open(&replica.registry, now), 2);
    replica.apply_update(Feed::Upstreams, true, 2, vec![listed("u2")], now);
    assert_eq!(open(&replica.registry, now), 1);
}

#[test]
fn an_entry_that_cannot_be_read_names_no_upstream() {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(Feed::Upstreams, true, 1, vec![listed("u1"), listed("u2")], now);
    let mut findings = finding::Findings::default();
    findings.add("Slots", "is no number");
    let broken = Change::Unreadable { key: "u1".into(), findings };
    replica.apply_update(Feed::Upstreams, false, 2, vec![broken], now);
    assert_eq!(open(&replica.registry, now), 1);
}

#[test]
fn entries_that_lapse_while_the_store_is_away_count_until_shortly_after_its_return() {
    let (registry, start) = (Registry::default(), Instant::now());
    registry.apply("u1".into(), Some(entry("catalogo", "v1", "a")), start);
    let at = |ms| start + Duration::from_millis(ms);
    registry.set_store_reachable(false, at(0));
    registry.apply("u1".into(), None, at(4000));
    assert_eq!(open(&registry, at(4000)), 1);
    registry.set_store_reachable(true, at(5000));
    assert_eq!(open(&registry, at(7000)), 1);
    assert_eq!(open(&registry, at(7300)), 0);
}

#[test]
fn an_entry_that_is_removed_while_the_store_is_there_is_gone_at_once() {
    let (registry, now) = (Registry::default(), Instant::now());
    registry.apply("u1".into(), Some(entry("catalogo", "v1", "a")), now);
    registry.apply("u1".into(), None, now);
    assert_eq!(open(&registry, now), 0);
}

#[test]
fn an_upstream_that_says_that_it_leaves_gets_nothing_more() {
    let (registry, now) = (Registry::default(), Instant::now());
    registry.apply("u1".into(), Some(entry("catalogo", "v1", "a")), now);
    let leaving = upstream::Entry { is_leaving: true, ..entry("catalogo", "v1", "a") };
    registry.apply("u1".into(), Some(leaving), now);
    assert_eq!(open(&registry, now), 0);
}

#[test]
fn an_evacuated_data_centre_gets_nothing_until_it_is_taken_back() {
    let (registry, now) = (Registry::default(), Instant::now());
    registry.apply("u1".into(), Some(entry("catalogo", "v1", "a")), now);
    registry.set_evacuated("a".into(), true);
    assert_eq!(open(&registry, now), 0);
    registry.set_evacuated("a".into(), false);
    assert_eq!(open(&registry, now), 1);
}

#[test]
fn a_journal_gives_what_a_follower_lacks_or_says_that_it_cannot() {
    let journal = journal::Journal::default();
    journal.reset(10);
    (11..=14).for_each(|revision| journal.append(revision, vec![config(revision)]));
    let lacks = journal.since(12).expect("all is known since 10");
    assert_eq!(lacks.iter().map(|batch| batch.revision).collect::<Vec<_>>(), [13, 14]);
    assert!(journal.since(14).is_some_and(|batches| batches.is_empty()));
    assert!(journal.since(9).is_none(), "what came before 10 is not known");
}

fn cold(id: &str, cold_left: Duration) -> Change {
    let entry = upstream::Entry { cold_remaining: cold_left, ..entry("catalogo", "v1", "a") };
    Change::Upstream { id: id.into(), entry: Some(entry) }
}

/// How many changes a host that knows the list up to `revision` would be sent; `None` for all of
/// it.
fn sent(replica: &Replica, revision: u64) -> Option<usize> {
    let batches = replica.journal(Feed::Upstreams).since(revision)?;
    Some(batches.iter().map(|batch| batch.items.len()).sum())
}

#[test]
fn a_heartbeat_that_changes_nothing_is_not_passed_on() {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(Feed::Upstreams, true, 1, vec![listed("u1"), listed("u2")], now);
    for revision in 2..200 {
        replica.apply_update(
            Feed::Upstreams,
            false,
            revision,
            vec![listed("u1"), listed("u2")],
            now,
        );
    }
    assert_eq!(replica.journal(Feed::Upstreams).revision(), 199);
    assert_eq!(sent(&replica, 1), Some(0));
    assert_eq!(sent(&replica, 0), None, "a host that knows nothing is sent all of it");
    let gone = Change::Upstream { id: "u1".into(), entry: None };
    replica.apply_update(Feed::Upstreams, false, 200, vec![gone.clone(), listed("u2")], now);
    replica.apply_update(Feed::Upstreams, false, 201, vec![gone], now);
    assert_eq!(sent(&replica, 1), Some(1));
    replica.apply_update(Feed::Upstreams, false, 202, vec![listed("u1")], now);
    assert_eq!(sent(&replica, 201), Some(0), "it was written before the removal");
    let back = upstream::Entry { sequence: 2, ..entry("catalogo", "v1", "a") };
    let back = Change::Upstream { id: "u1".into(), entry: Some(back) };
    replica.apply_update(Feed::Upstreams, false, 203, vec![back], now);
    assert_eq!(sent(&replica, 202), Some(1), "an entry that is back is news");
    assert_eq!(open(&replica.registry, now), 2);
}

#[test]
fn a_host_is_sent_the_whole_list_once_the_changes_that_it_lacks_are_dropped() {
    let (replica, now) = (replica(), Instant::now());
    replica.apply_update(Feed::Upstreams, true, 1, vec![], now);
    for revision in 2..100 {
        replica.apply_update(
            Feed::Upstreams,
            false,
            revision,
            vec![listed(&revision.to_string())],
            now,
        );
    }
    assert_eq!(sent(&replica, 90), Some(9));
    assert_eq!(sent(&replica, 2), None);
}

#[test]
fn an_upstream_that_turns_cold_again_is_news_and_one_that_warms_up_as_expected_is_none() {
    let (replica, start) = (replica(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    let beat = |revision, left, ms| {
        let change = cold("u1", Duration::from_millis(left));
        replica.apply_update(Feed::Upstreams, false, revision, vec![change], at(ms));
    };
    replica.apply_update(Feed::Upstreams, true, 1, vec![cold("u1", Duration::from_secs(3))], at(0));
    beat(2, 1_500, 1_480);
    assert_eq!(sent(&replica, 1), Some(0));
    beat(3, 0, 3_100);
    assert_eq!(sent(&replica, 1), Some(0));
    beat(4, 3_000, 6_000);
    assert_eq!(sent(&replica, 1), Some(1));
    let upstream = replica.registry.upstreams_of("catalogo").remove(0);
    assert_eq!(upstream.cold_remaining(at(7_000)), Duration::from_secs(2));
}

#[test]
fn a_list_that_is_passed_on_says_how_long_upstreams_stay_cold_from_now_on() {
    let (replica, start) = (replica(), Instant::now());
    replica.apply_update(Feed::Upstreams, true, 1, vec![cold("u1", Duration::from_secs(3))], start);
    let later = start + Duration::from_millis(2_000);
    let listed = replica.registry.snapshot(later);
    let [Change::Upstream { entry: Some(entry), .. }] = &listed[..] else {
        panic!("one entry: {listed:?}")
    };
    assert_eq!(entry.cold_remaining, Duration::from_secs(1));
}
