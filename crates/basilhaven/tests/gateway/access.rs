//! Keys decide by the configuration in force, and hosts of earlier builds take none away.

use std::rc::Rc;
use std::time::Instant;

use basilhaven::finding::Findings;
use basilhaven::gateway::access::{
    presented_key, Appendix, Decision, Directory, Entry, Key, Organisation,
};
use basilhaven::gateway::route::{Route, Table};
use basilhaven::gateway::store::{Change, Feed, Revision};
use basilhaven::gateway::updates::Replica;
use basilhaven::gateway::{forward, history};
use http::header::{HeaderMap, HeaderName, HeaderValue};

use crate::replica;

fn directory(owners: &[(&str, &[&str])]) -> Directory {
    let entry = |(name, keys): &(&str, &[&str])| Entry {
        place: (*name).to_owned(),
        organisation: Organisation { name: (*name).into(), priority: None },
        keys: keys
            .iter()
            .map(|key| Key { place: "key".to_owned(), text: (*key).to_owned() })
            .collect(),
    };
    let mut skipped = Findings::default();
    let directory = Directory::new(owners.iter().map(entry).collect(), &mut skipped);
    assert!(skipped.is_empty(), "{skipped}");
    directory
}

/// Returns a configuration with the routes `/open/`, which is public, and `/`.
fn table(version: u64, directory: Directory) -> Table {
    let mut open = Route::new("open", "/open/", "catalogo");
    open.is_public = true;
    let mut table = Table { version, directory, ..Table::default() };
    let routes = vec![Rc::new(Route::new("all", "/", "catalogo")), Rc::new(open)];
    table.hosts.insert("shop.example".into(), routes);
    table
}

fn check(table: &Table, path: &str, key: &str) -> Decision {
    let route = table.find("shop.example", path).expect("a route");
    table.directory.check(route, Some(key.as_bytes()))
}

fn allowed(name: &str) -> Decision {
    Decision::Allowed(Some(Organisation { name: name.into(), priority: None }))
}

fn apply(replica: &Replica, is_snapshot: bool, revision: u64, table: Table) {
    let items = vec![Change::Config(Rc::new(table))];
    let revision = Revision::from(revision);
    replica.apply_update(Feed::Orders, is_snapshot, revision, items, Instant::now());
}

fn in_force(replica: &Replica) -> Rc<Table> {
    replica.config.table().expect("a configuration")
}

#[test]
fn a_key_decides_on_public_and_other_routes() {
    let table = table(1, directory(&[("kaje80", &["k-1"]), ("vopu11", &["k-2"])]));
    for path in ["/", "/open/"] {
        assert_eq!(check(&table, path, "k-1"), allowed("kaje80"));
        assert_eq!(check(&table, path, "k-2"), allowed("vopu11"));
    }
    for unknown in ["k-3", "", "K-1", "k-1 "] {
        assert_eq!(check(&table, "/", unknown), Decision::Denied);
        assert_eq!(check(&table, "/open/", unknown), Decision::Allowed(None));
    }
}

/// Guards against a choice among several keys, of which another reader may take the other.
#[test]
fn several_fields_with_keys_hold_no_key() {
    let field = HeaderName::from_static("api-key");
    let mut headers = HeaderMap::new();
    assert_eq!(presented_key(&headers, &field), None);
    headers.append(field.clone(), HeaderValue::from_static("k-1"));
    assert_eq!(presented_key(&headers, &field), Some(&b"k-1"[..]));
    headers.append(field.clone(), HeaderValue::from_static("k-1"));
    assert_eq!(presented_key(&headers, &field), None);
}

#[test]
fn a_removed_key_works_again_only_in_a_later_version() {
    let replica = replica();
    apply(&replica, true, 1, table(1, directory(&[("kaje80", &["k-1", "k-2"])])));
    assert_eq!(check(&in_force(&replica), "/", "k-1"), allowed("kaje80"));
    apply(&replica, false, 2, table(2, directory(&[("kaje80", &["k-2"])])));
    assert_eq!(check(&in_force(&replica), "/", "k-1"), Decision::Denied);
    assert_eq!(check(&in_force(&replica), "/", "k-2"), allowed("kaje80"));
    // An earlier version read again, and the same version with other content.
    for (is_snapshot, revision, version) in [(false, 3, 1), (true, 4, 1), (false, 5, 2)] {
        let earlier = table(version, directory(&[("kaje80", &["k-1", "k-2"])]));
        apply(&replica, is_snapshot, revision, earlier);
        assert_eq!(check(&in_force(&replica), "/", "k-1"), Decision::Denied);
    }
    apply(&replica, false, 6, table(3, directory(&[("kaje80", &["k-1"])])));
    assert_eq!(check(&in_force(&replica), "/", "k-1"), allowed("kaje80"));
}

/// Guards against serialized fields that builds without organisations cannot read.
#[test]
fn the_serialized_configuration_is_the_same_with_and_without_organisations() {
    let mut without = table(1, Directory::Off);
    let open = Route::new("open", "/open/", "catalogo");
    without.hosts["shop.example"][1] = Rc::new(open);
    let with = table(1, directory(&[("kaje80", &["k-1"])]));
    let serialized = postcard::to_stdvec(&with).expect("plain data");
    assert_eq!(serialized, postcard::to_stdvec(&without).expect("plain data"));
    let text = String::from_utf8_lossy(&serialized).into_owned();
    assert!(!text.contains("k-1") && !format!("{with:?}").contains("k-1"));

    let appendix = postcard::to_stdvec(&Appendix::of(&with)).expect("plain data");
    assert!(!String::from_utf8_lossy(&appendix).contains("k-1"));
    let appendix: Appendix = postcard::from_bytes(&appendix).expect("an appendix");
    let mut received: Table = postcard::from_bytes(&serialized).expect("a configuration");
    assert!(!received.directory.is_known());
    assert_eq!(check(&received, "/", "k-9"), Decision::Allowed(None));
    appendix.clone().complete(&mut received);
    assert_eq!(check(&received, "/", "k-1"), allowed("kaje80"));
    assert_eq!(check(&received, "/", "k-9"), Decision::Denied);
    assert_eq!(check(&received, "/open/", "k-9"), Decision::Allowed(None));
    // Positions of routes that the configuration does not have.
    appendix.complete(&mut Table::default());
}

/// Guards against a host that serves everybody until the next version, because the first host that
/// it followed was of an earlier build.
#[test]
fn organisations_are_added_to_a_version_that_came_without_them() {
    let replica = replica();
    apply(&replica, true, 1, table(1, Directory::Unknown));
    assert!(replica.config.lacks_organisations());
    assert_eq!(check(&in_force(&replica), "/", "k-9"), Decision::Allowed(None));
    apply(&replica, true, 1, table(1, directory(&[("kaje80", &["k-1"])])));
    assert!(!replica.config.lacks_organisations());
    assert_eq!(check(&in_force(&replica), "/", "k-9"), Decision::Denied);
}

/// Guards against a host of an earlier build that opens the routes of a later version.
#[test]
fn a_host_with_organisations_takes_no_other_version_without_them() {
    let replica = replica();
    let loses =
        |version, directory| replica.config.would_lose_organisations(&table(version, directory));
    assert!(!loses(1, Directory::Unknown));
    apply(&replica, true, 1, table(1, directory(&[("kaje80", &["k-1"])])));
    assert!(loses(2, Directory::Unknown));
    assert!(!loses(1, Directory::Unknown), "the version in force stays as it is");
    assert!(!loses(2, Directory::Off));
    assert!(!loses(2, directory(&[("kaje80", &["k-1"])])));
}

/// Guards against a caller that claims that its key was checked.
#[test]
fn a_claim_of_a_caller_is_not_passed_on() {
    let mut headers = HeaderMap::new();
    headers.insert("basilhaven-key-checked", HeaderValue::from_static("1"));
    let mut terms = forward::Terms {
        service: "catalogo".into(),
        version: 1,
        attempts: 1,
        elapsed: std::time::Duration::ZERO,
        sends: history::Sends::default(),
        is_key_checked: false,
    };
    terms.write(&mut headers);
    assert_eq!(forward::Terms::try_from(&headers), Ok(terms.clone()));
    terms.is_key_checked = true;
    terms.write(&mut headers);
    assert_eq!(forward::Terms::try_from(&headers), Ok(terms));
    forward::remove_terms(&mut headers);
    assert!(headers.is_empty());
}
