//! Differences between revisions of the list of hosts lead to the same list as the whole, or are
//! refused.

mod seeded;

use std::rc::Rc;

use basilhaven::{call, config, difference, replica, wire};

/// Bytes of control that a host may send in a second.
const BUDGET: usize = 6_000;

/// Hosts that a host may give one change to, as it tells this many of it.
const FANOUT: usize = 4;

/// Upstreams of the size designed for.
const UPSTREAMS: usize = 970;

/// A list in which each byte stands for an upstream and its state; a later one of the same name wins.
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

/// A list in an order of its own, for lists are the same in whatever order they name their hosts.
fn sorted(mut hosts: config::Hosts) -> config::Hosts {
    hosts.upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    hosts.entries.sort();
    hosts
}

/// As many upstreams as the size designed for; `leaving` of them leave.
fn long_list(leaving: usize) -> config::Hosts {
    let upstream = |i: usize| {
        let place = format!("service-{}/service-{}-upstream-{i}", i / 6, i / 6);
        let spec = format!("{place}@127.0.0.1:{},slots=4,dc=milano-a", 10_000 + i);
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
    /// A host at any earlier revision comes to the same list by a difference, as long as it is
    /// remembered; at a revision that is not remembered there is none.
    fn differences_lead_to_the_list_in_force(lists: Vec<Vec<u8>>) -> bool {
        let newest = rows(&lists);
        (1..).zip(&lists).all(|(revision, bytes)| match newest.hosts_since(revision) {
            Some(difference) => {
                let led_to = difference.apply(&list(bytes)).map(sorted);
                difference.to == lists.len() as u64
                    && led_to == Ok(sorted((*newest.hosts).clone()))
            }
            None => revision == lists.len() as u64 || lists.len() as u64 - revision > 16,
        })
    }

    /// A difference that is applied to another list than it starts from leads to the same list, or is
    /// refused.
    fn a_difference_from_another_list_is_refused(old: Vec<u8>, new: Vec<u8>, held: Vec<u8>) -> bool {
        let (old, new) = (list(&old), list(&new));
        let difference = difference::Difference::between((1, &old), (2, &new));
        match difference.apply(&list(&held)) {
            Ok(led_to) => sorted(led_to) == sorted(new),
            Err(difference::Error::Digest) => true,
        }
    }

    /// Whatever a peer with a fault sends, it leads to the list that was meant, or is refused.
    fn a_changed_byte_is_refused_or_does_no_harm(
        old: Vec<u8>, new: Vec<u8>, at: usize, bit: u8,
    ) -> bool {
        let (old, new) = (list(&old), list(&new));
        let difference = difference::Difference::between((1, &old), (2, &new));
        let mut bytes = postcard(&difference);
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        let Some(read) = read(&bytes) else { return true };
        read.apply(&old).map_or(true, |led_to| sorted(led_to) == sorted(new))
    }

    fn hostile_bytes_do_no_harm(bytes: Vec<u8>, held: Vec<u8>) -> bool {
        let held = list(&held);
        let Some(difference) = read(&bytes) else { return true };
        let _ = difference.apply(&held);
        true
    }
}

/// A difference as a peer sends it, without the message's envelope.
fn postcard(difference: &difference::Difference) -> Vec<u8> {
    let message = wire::Message::Difference(difference.clone()).encode(&key()).unwrap();
    message[2..message.len() - CODE_LEN].to_vec()
}

/// Bytes of the authentication code at a message's end.
const CODE_LEN: usize = 16;

/// Reads a difference from bytes under the key that hosts share.
fn read(bytes: &[u8]) -> Option<difference::Difference> {
    let empty = config::Hosts::default();
    let any = difference::Difference::between((1, &empty), (2, &empty));
    let message = wire::Message::Difference(any).encode(&key()).unwrap();
    let mut whole = message[..2].to_vec();
    whole.extend_from_slice(bytes);
    let code = key().mac(&whole);
    whole.extend_from_slice(&code[..CODE_LEN]);
    match wire::Message::decode(&whole, &key()) {
        Ok(wire::Message::Difference(difference)) => Some(difference),
        _ => None,
    }
}

fn key() -> call::Key {
    call::Key::from("a key that hosts share")
}

#[test]
fn one_changed_upstream_of_970_can_be_given_to_all_that_are_told_within_the_budget() {
    let mut rows = replica::Rows::new(config::Document::default(), config::Hosts::default());
    rows.apply(1, replica::Content::Hosts(Rc::new(long_list(0))));
    rows.apply(2, replica::Content::Hosts(Rc::new(long_list(1))));
    let difference = rows.hosts_since(1).unwrap();
    let message = wire::Message::Difference(difference).encode(&key()).unwrap();
    assert!(message.len() * FANOUT <= BUDGET, "{} bytes", message.len());
}

#[test]
fn what_is_remembered_of_the_list_is_bounded() {
    let mut rows = replica::Rows::new(config::Document::default(), config::Hosts::default());
    for revision in 1..=10 {
        let leaving = if revision % 2 == 0 { UPSTREAMS } else { 0 };
        rows.apply(revision, replica::Content::Hosts(Rc::new(long_list(leaving))));
    }
    assert!(rows.hosts_since(9).is_some());
    // Two changes of all upstreams are all that there is room for.
    assert!(rows.hosts_since(8).is_some());
    assert_eq!(rows.hosts_since(7), None);
}

#[test]
fn nothing_starts_from_the_list_of_the_settings() {
    let mut rows = replica::Rows::new(config::Document::default(), long_list(0));
    rows.apply(1, replica::Content::Hosts(Rc::new(long_list(1))));
    assert_eq!(rows.hosts_since(0), None);
}
