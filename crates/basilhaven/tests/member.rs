//! Tests of the membership table: statuses merge to the same result in any order, and outdated or
//! replayed ones change nothing.

mod seeded;

use std::time::Duration;

use basilhaven::gossip::Update;
use basilhaven::member::{Health, Host, Status, Table, SUSPICION_TIMEOUT};
use basilhaven::replica::Revisions;

fn host(name: &str, incarnation: u64) -> Host {
    Host {
        name: name.parse().unwrap(),
        incarnation,
        data_centre: "milano-a".parse().unwrap(),
        callers: "127.0.0.1:1".parse().unwrap(),
        admin: "127.0.0.1:2".parse().unwrap(),
        peer: "127.0.0.1:3".parse().unwrap(),
        leaving: false,
        revisions: Revisions::default(),
    }
}

fn table() -> Table {
    let table = Table::new(host("entry-1", 100));
    table.discover(host("entry-2", 0), Health::Alive);
    table
}

/// A status of `entry-2`: incarnation, leaving, suspect and revision of the configuration.
type Report = (u8, bool, bool, u8);

fn status((incarnation, leaving, suspect, config): Report) -> Status {
    let revisions = Revisions { config: config.into(), ..Revisions::default() };
    let host = Host { leaving, revisions, ..host("entry-2", (incarnation % 4).into()) };
    host.status(if suspect { Health::Suspect } else { Health::Alive })
}

fn after(reports: &[Report]) -> (Host, Health) {
    let table = table();
    for report in reports {
        table.merge(&status(*report));
    }
    table.find(host("entry-2", 0).id()).unwrap()
}

seeded::seeded! {
    fn statuses_merge_to_the_same_result_in_any_order(reports: Vec<Report>, seed: u64) -> bool {
        let mut shuffled = reports.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        after(&reports) == after(&shuffled)
    }

    fn a_replayed_status_changes_nothing(reports: Vec<Report>, at: usize) -> bool {
        let mut replayed = reports.clone();
        if !reports.is_empty() {
            replayed.push(reports[at % reports.len()]);
        }
        after(&reports) == after(&replayed)
    }
}

#[test]
fn leaving_holds_within_an_incarnation() {
    let (host, _) = after(&[(1, true, false, 0), (1, false, false, 9)]);
    assert!(host.leaving);
    assert_eq!(host.revisions.config, 9);
}

#[test]
fn a_suspect_is_not_serving_until_it_refutes_with_a_higher_incarnation() {
    let table = table();
    let id = host("entry-2", 0).id();
    table.suspect(id, 0);
    assert_eq!(table.serving().len(), 1);
    assert_eq!(table.others().len(), 1, "a suspect is still a member");
    table.merge(&host("entry-2", 0).status(Health::Alive));
    assert_eq!(table.serving().len(), 1, "the same incarnation refutes nothing");
    table.merge(&host("entry-2", 1).status(Health::Alive));
    assert_eq!(table.serving().len(), 2);
    table.suspect(id, 0);
    assert_eq!(table.serving().len(), 2, "a probe sent before the refutation is ignored");
}

#[test]
fn a_suspect_that_does_not_refute_is_dead_unless_this_host_was_paused() {
    let table = table();
    let id = host("entry-2", 0).id();
    table.suspect(id, 0);
    table.expire(Duration::ZERO);
    assert_eq!(table.find(id).unwrap().1, Health::Suspect);
    std::thread::sleep(SUSPICION_TIMEOUT);
    table.expire(SUSPICION_TIMEOUT);
    assert_eq!(table.find(id).unwrap().1, Health::Suspect, "this host itself was paused");
    std::thread::sleep(SUSPICION_TIMEOUT);
    table.expire(Duration::ZERO);
    assert_eq!(table.find(id).unwrap().1, Health::Dead);
    assert!(table.others().is_empty());
    assert_eq!(table.incarnation_to_refute(&host("entry-2", 0).status(Health::Alive)), Some(0));
    table.merge(&host("entry-2", 0).status(Health::Alive));
    assert!(table.others().is_empty(), "a replayed frame revives no host");
    table.merge(&host("entry-2", 1).status(Health::Alive));
    assert_eq!(table.others().len(), 1);
}

#[test]
fn a_host_refutes_suspicions_and_higher_incarnations_of_itself() {
    let table = table();
    table.merge(&host("entry-1", 100).status(Health::Suspect));
    assert_eq!(table.own().incarnation, 101);
    table.merge(&host("entry-1", 100).status(Health::Suspect));
    assert_eq!(table.own().incarnation, 101, "an outdated suspicion changes nothing");
    table.refute(5_000);
    assert_eq!(table.own().incarnation, 5_001);
    table.merge(&host("entry-1", 9_000).status(Health::Alive));
    assert_eq!(
        table.own().incarnation,
        9_001,
        "exceeds the incarnation of an earlier process whose clock was ahead"
    );
}

#[test]
fn a_new_process_replaces_an_older_one_of_the_same_name() {
    let table = table();
    let new = Host { callers: "127.0.0.1:9".parse().unwrap(), ..host("entry-2", 7) };
    table.discover(new.clone(), Health::Alive);
    assert_eq!(table.others(), std::slice::from_ref(&new));
    table.discover(host("entry-2", 6), Health::Alive);
    assert_eq!(table.others(), [new], "the older process is ignored");
    let outdated = Host { callers: "127.0.0.1:8".parse().unwrap(), ..host("entry-2", 3) };
    assert_eq!(table.name_conflict(&outdated), Some(7));
}

#[test]
fn an_update_is_sent_a_bounded_number_of_times() {
    let table = table();
    let mut sent = 0;
    for _ in 0..100 {
        sent += table.next_updates().len();
    }
    assert!((1..=10).contains(&sent), "{sent}");
    table.merge(&status((1, true, false, 0)));
    assert!(matches!(table.next_updates()[..], [Update::Status(s)] if s.leaving));
}
