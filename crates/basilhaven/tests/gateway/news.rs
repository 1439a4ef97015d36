//! What the store says is in force, and never goes back.

use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::finding;
use basilhaven::gateway::cluster::{Members, Record};
use basilhaven::gateway::news::Desk;
use basilhaven::gateway::registry::Registry;
use basilhaven::gateway::store::{Change, Source};
use basilhaven::gateway::{journal, route, upstream};

use crate::entry;

fn desk() -> Desk {
    let record = Record {
        peer: "10.0.0.1:1".parse().expect("an address"),
        callers: "10.0.0.1:2".parse().expect("an address"),
        data_centre: "a".into(),
    };
    Desk::new(Rc::new(Members::new(&record, 1, Instant::now())))
}

fn config(version: u64) -> Change {
    Change::Config(Rc::new(route::Table { version, ..route::Table::default() }))
}

fn listed(id: &str) -> Change {
    Change::Upstream { id: id.into(), entry: Some(entry("catalogo", "v1", "a")) }
}

fn open(registry: &Registry, now: Instant) -> usize {
    let all = registry.of_service("catalogo");
    all.iter().filter(|upstream| registry.is_open(upstream, now)).count()
}

#[test]
fn a_configuration_never_goes_back_whichever_way_it_comes() {
    let (desk, now) = (desk(), Instant::now());
    desk.take(Source::Orders, true, 5, vec![config(7)], now);
    desk.take(Source::Orders, false, 6, vec![config(6)], now);
    desk.take(Source::Orders, true, 7, vec![config(5)], now);
    // A reader that lags behind.
    desk.take(Source::Orders, true, 4, vec![config(9)], now);
    assert_eq!(desk.book.table().map(|table| table.version), Some(7));
}

#[test]
fn a_list_that_is_read_whole_drops_what_is_not_in_it() {
    let (desk, now) = (desk(), Instant::now());
    desk.take(Source::Upstreams, true, 1, vec![listed("u1"), listed("u2")], now);
    assert_eq!(open(&desk.registry, now), 2);
    desk.take(Source::Upstreams, true, 2, vec![listed("u2")], now);
    assert_eq!(open(&desk.registry, now), 1);
}

#[test]
fn an_entry_that_cannot_be_read_names_no_upstream() {
    let (desk, now) = (desk(), Instant::now());
    desk.take(Source::Upstreams, true, 1, vec![listed("u1"), listed("u2")], now);
    let mut findings = finding::Findings::default();
    findings.add("Slots", "is no number");
    let broken = Change::Unreadable { key: "u1".into(), findings };
    desk.take(Source::Upstreams, false, 2, vec![broken], now);
    assert_eq!(open(&desk.registry, now), 1);
}

#[test]
fn entries_that_lapse_while_the_store_is_away_count_until_shortly_after_its_return() {
    let (registry, start) = (Registry::default(), Instant::now());
    registry.apply("u1".into(), Some(entry("catalogo", "v1", "a")), start);
    let at = |ms| start + Duration::from_millis(ms);
    registry.note_store(false, at(0));
    registry.apply("u1".into(), None, at(4000));
    assert_eq!(open(&registry, at(4000)), 1);
    registry.note_store(true, at(5000));
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
    let leaving = upstream::Entry { leaving: true, ..entry("catalogo", "v1", "a") };
    registry.apply("u1".into(), Some(leaving), now);
    assert_eq!(open(&registry, now), 0);
}

#[test]
fn an_evacuated_data_centre_gets_nothing_until_it_is_taken_back() {
    let (registry, now) = (Registry::default(), Instant::now());
    registry.apply("u1".into(), Some(entry("catalogo", "v1", "a")), now);
    registry.evacuate("a".into(), true);
    assert_eq!(open(&registry, now), 0);
    registry.evacuate("a".into(), false);
    assert_eq!(open(&registry, now), 1);
}

#[test]
fn a_journal_gives_what_a_follower_lacks_or_says_that_it_cannot() {
    let journal = journal::Journal::default();
    journal.restart(10);
    (11..=14).for_each(|revision| journal.add(revision, vec![config(revision)]));
    let lacks = journal.since(12).expect("all is known since 10");
    assert_eq!(lacks.iter().map(|batch| batch.revision).collect::<Vec<_>>(), [13, 14]);
    assert!(journal.since(14).is_some_and(|batches| batches.is_empty()));
    assert!(journal.since(9).is_none(), "what came before 10 is not known");
}
