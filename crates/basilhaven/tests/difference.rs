//! Tests of differences between revisions of the list of hosts: applying one leads to the same list
//! as a snapshot, or is refused.

mod seeded;

use std::rc::Rc;

use basilhaven::{call, config, difference, replica, wire};

/// The budget of a host for control traffic, in bytes per second.
const BUDGET: usize = 6_000;

/// The number of hosts to which a host announces one change, each of which may request it.
const FANOUT: usize = 4;

/// The number of upstreams that the system is designed for.
const UPSTREAMS: usize = 970;

/// Builds a list in which each byte stands for an upstream and its state. A later byte for the same
/// upstream replaces an earlier one.
fn list(bytes: &[u8]) -> config::Hosts {
    let mut hosts = config::Hosts::default();
    for byte in bytes {
        let (number, state) = (byte % 23, byte / 23);
        let spec = format!("catalogo/u{number}@127.0.0.1:80,slots={},dc=milano-a", 1 + state / 2);
        let mut upstream: config::Upstream = spec.parse().unwrap();
        upstream.leaving = state % 2 == 1;
        hosts.upstreams.retain(|known| known.name != upstream.name);
        hosts.upstreams.push(upstream);
        let entry = format!("127.0.0.1:{}", 1 + u16::from(byte % 7)).parse().unwrap();
        if !hosts.entries.contains(&entry) {
            hosts.entries.push(entry);
        }
    }
    hosts
}

/// Sorts a list, because the order of its entries has no meaning.
fn sorted(mut hosts: config::Hosts) -> config::Hosts {
    hosts.upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    hosts.entries.sort();
    hosts
}

/// Builds a list of [`UPSTREAMS`] upstreams, the first `leaving` of which are leaving.
fn long_list(leaving: usize) -> config::Hosts {
    let upstream = |i: usize| {
        let prefix = format!("service-{}/service-{}-upstream-{i}", i / 6, i / 6);
        let spec = format!("{prefix}@127.0.0.1:{},slots=4,dc=milano-a", 10_000 + i);
        let mut upstream: config::Upstream = spec.parse().unwrap();
        upstream.leaving = i < leaving;
        upstream
    };
    config::Hosts { upstreams: (0..UPSTREAMS).map(upstream).collect(), entries: Vec::new() }
}

fn rows(lists: &[Vec<u8>]) -> replica::Rows {
    let mut rows = replica::Rows::new(config::Document::default(), config::Hosts::default());
    for (revision, bytes) in (1..).zip(lists) {
        rows.apply(revision, replica::Content::Hosts(Rc::new(list(bytes))));
    }
    rows
}

seeded::seeded! {
    /// A host at any earlier revision gets to the current list by a difference if the history
    /// covers the revision; otherwise there is no difference.
    fn differences_lead_to_the_list_in_force(lists: Vec<Vec<u8>>) -> bool {
        let newest = rows(&lists);
        (1..).zip(&lists).all(|(revision, bytes)| match newest.hosts_since(revision) {
            Some(difference) => {
                let result = difference.apply(&list(bytes)).map(sorted);
                difference.to == lists.len() as u64
                    && result == Ok(sorted((*newest.hosts).clone()))
            }
            None => revision == lists.len() as u64 || lists.len() as u64 - revision > 16,
        })
    }

    /// A difference that is applied to a list other than the one it starts from leads to the
    /// intended list, or is refused.
    fn a_difference_from_another_list_is_refused(old: Vec<u8>, new: Vec<u8>, current: Vec<u8>) -> bool {
        let (old, new) = (list(&old), list(&new));
        let difference = difference::Difference::between((1, &old), (2, &new));
        match difference.apply(&list(&current)) {
            Ok(result) => sorted(result) == sorted(new),
            Err(difference::Error::Digest) => true,
        }
    }

    /// A difference with a changed bit, as from a faulty peer, leads to the intended list, or is
    /// refused.
    fn a_changed_bit_is_refused_or_has_no_effect(
        old: Vec<u8>, new: Vec<u8>, at: usize, bit: u8,
    ) -> bool {
        let (old, new) = (list(&old), list(&new));
        let difference = difference::Difference::between((1, &old), (2, &new));
        let mut bytes = postcard(&difference);
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        let Some(read) = read(&bytes) else { return true };
        read.apply(&old).map_or(true, |result| sorted(result) == sorted(new))
    }

    fn arbitrary_bytes_never_panic(bytes: Vec<u8>, current: Vec<u8>) -> bool {
        let current = list(&current);
        let Some(difference) = read(&bytes) else { return true };
        let _ = difference.apply(&current);
        true
    }
}

/// Encodes a difference as a peer sends it, without the envelope of the message.
fn postcard(difference: &difference::Difference) -> Vec<u8> {
    let message = wire::Message::Difference(difference.clone()).encode(&key()).unwrap();
    message[2..message.len() - MAC_LEN].to_vec()
}

/// The length of the authentication code at the end of a message, in bytes.
const MAC_LEN: usize = 16;

/// Decodes a difference from bytes, after adding the envelope with a valid authentication code.
fn read(bytes: &[u8]) -> Option<difference::Difference> {
    let empty = config::Hosts::default();
    let any = difference::Difference::between((1, &empty), (2, &empty));
    let message = wire::Message::Difference(any).encode(&key()).unwrap();
    let mut message = message[..2].to_vec();
    message.extend_from_slice(bytes);
    let mac = key().mac(&message);
    message.extend_from_slice(&mac[..MAC_LEN]);
    match wire::Message::decode(&message, &key()) {
        Ok(wire::Message::Difference(difference)) => Some(difference),
        _ => None,
    }
}

fn key() -> call::Key {
    call::Key::from("a key that hosts share")
}

#[test]
fn one_changed_upstream_of_970_reaches_all_notified_hosts_within_the_budget() {
    let mut rows = replica::Rows::new(config::Document::default(), config::Hosts::default());
    rows.apply(1, replica::Content::Hosts(Rc::new(long_list(0))));
    rows.apply(2, replica::Content::Hosts(Rc::new(long_list(1))));
    let difference = rows.hosts_since(1).unwrap();
    let message = wire::Message::Difference(difference).encode(&key()).unwrap();
    assert!(message.len() * FANOUT <= BUDGET, "{} bytes", message.len());
}

#[test]
fn the_history_of_differences_is_bounded() {
    let mut rows = replica::Rows::new(config::Document::default(), config::Hosts::default());
    for revision in 1..=10 {
        let leaving = if revision % 2 == 0 { UPSTREAMS } else { 0 };
        rows.apply(revision, replica::Content::Hosts(Rc::new(long_list(leaving))));
    }
    assert!(rows.hosts_since(9).is_some());
    // The limit of 2,000 changes holds two changes of all 970 upstreams.
    assert!(rows.hosts_since(8).is_some());
    assert_eq!(rows.hosts_since(7), None);
}

#[test]
fn no_difference_starts_from_the_list_in_the_settings() {
    let mut rows = replica::Rows::new(config::Document::default(), long_list(0));
    rows.apply(1, replica::Content::Hosts(Rc::new(long_list(1))));
    assert_eq!(rows.hosts_since(0), None);
}
