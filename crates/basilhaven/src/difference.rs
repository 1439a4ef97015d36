//! Differences between revisions of the list of hosts (the platform's list of upstreams and entry
//! hosts), so that hosts need not send each other the whole list.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{config, name};

/// The maximum number of differences that a host keeps for hosts that missed some revisions.
const MAX_STEPS: usize = 16;

/// The maximum number of changed upstreams and entry hosts in all differences that a host keeps.
const MAX_CHANGES: usize = 2_000;

/// The changes between two revisions of the list of hosts.
///
/// # Examples
///
/// ```
/// use basilhaven::{config, difference};
///
/// let upstream = "catalogo/u1@127.0.0.1:8080".parse()?;
/// let old = config::Hosts::default();
/// let new = config::Hosts { upstreams: vec![upstream], entries: Vec::new() };
/// let difference = difference::Difference::between((1, &old), (2, &new));
/// assert_eq!(difference.apply(&old), Ok(new));
/// # Ok::<(), basilhaven::finding::Findings>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The revision that the difference starts from.
    pub from: u64,
    /// The revision that the difference leads to.
    pub to: u64,
    /// Upstreams that are new or have changed.
    changed: Vec<Upstream>,
    /// Names of the upstreams that were removed.
    removed: Vec<name::Name>,
    /// Peer addresses of entry hosts that are new.
    entries_added: Vec<SocketAddr>,
    /// Peer addresses of entry hosts that were removed.
    entries_removed: Vec<SocketAddr>,
    /// The digest of the list that the difference leads to.
    digest: u64,
}

/// An upstream that is serialised with all of its fields. [`config::Upstream`] skips some fields,
/// and a format that is not self-describing, such as that of frames and messages, cannot decode it
/// then.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Upstream {
    name: name::Name,
    service: name::Name,
    address: SocketAddr,
    data_centre: name::Name,
    slots: u32,
    version: name::Name,
    leaving: bool,
}

/// The reason why a difference cannot be applied. The whole list has to be requested instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The result does not have the digest of the list that the difference leads to.
    #[display("the list differs from the one that the difference leads to")]
    Digest,
}

impl From<&config::Upstream> for Upstream {
    fn from(upstream: &config::Upstream) -> Upstream {
        let config::Upstream { name, service, address, data_centre, slots, version, leaving } =
            upstream.clone();
        Upstream { name, service, address, data_centre, slots, version, leaving }
    }
}

impl From<Upstream> for config::Upstream {
    fn from(upstream: Upstream) -> config::Upstream {
        let Upstream { name, service, address, data_centre, slots, version, leaving } = upstream;
        config::Upstream { name, service, address, data_centre, slots, version, leaving }
    }
}

impl Difference {
    /// Computes the difference between two lists, each given with its revision.
    pub fn between(old: (u64, &config::Hosts), new: (u64, &config::Hosts)) -> Difference {
        let ((from, old), (to, new)) = (old, new);
        let before = by_name(old);
        let after = by_name(new);
        let changed = after.iter().filter(|(name, upstream)| before.get(*name) != Some(*upstream));
        let removed = before.keys().filter(|name| !after.contains_key(*name));
        Difference {
            from,
            to,
            changed: changed.map(|(_, upstream)| Upstream::from(*upstream)).collect(),
            removed: removed.map(|name| (*name).clone()).collect(),
            entries_added: without(&new.entries, &old.entries),
            entries_removed: without(&old.entries, &new.entries),
            digest: digest(new),
        }
    }

    /// Applies the difference to `old`, and returns the resulting list.
    ///
    /// # Errors
    ///
    /// Returns an error if the result differs from the list that the difference leads to, because
    /// `old` is not the list from which it was computed.
    pub fn apply(&self, old: &config::Hosts) -> Result<config::Hosts, Error> {
        let mut changed: IndexMap<&name::Name, &Upstream> =
            self.changed.iter().map(|upstream| (&upstream.name, upstream)).collect();
        let removed: IndexSet<&name::Name> = self.removed.iter().collect();
        let mut next = config::Hosts::default();
        for upstream in &old.upstreams {
            match changed.shift_remove(&upstream.name) {
                Some(changed) => next.upstreams.push(changed.clone().into()),
                None if removed.contains(&upstream.name) => {}
                None => next.upstreams.push(upstream.clone()),
            }
        }
        next.upstreams.extend(changed.into_values().map(|upstream| upstream.clone().into()));
        next.entries = without(&old.entries, &self.entries_removed);
        next.entries.extend(&self.entries_added);
        match digest(&next) == self.digest {
            true => Ok(next),
            false => Err(Error::Digest),
        }
    }

    /// Combines this difference with the one that starts at the revision where this one ends.
    fn merged_with(&self, next: &Difference) -> Difference {
        let mut changed: IndexMap<&name::Name, &Upstream> = IndexMap::new();
        let mut removed: IndexSet<&name::Name> = IndexSet::new();
        let mut added_entries: IndexSet<SocketAddr> = IndexSet::new();
        let mut removed_entries: IndexSet<SocketAddr> = IndexSet::new();
        for step in [self, next] {
            for name in &step.removed {
                changed.shift_remove(name);
                removed.insert(name);
            }
            for upstream in &step.changed {
                removed.shift_remove(&upstream.name);
                changed.insert(&upstream.name, upstream);
            }
            for entry in &step.entries_removed {
                if !added_entries.shift_remove(entry) {
                    removed_entries.insert(*entry);
                }
            }
            for entry in &step.entries_added {
                if !removed_entries.shift_remove(entry) {
                    added_entries.insert(*entry);
                }
            }
        }
        Difference {
            from: self.from,
            to: next.to,
            changed: changed.into_values().cloned().collect(),
            removed: removed.into_iter().cloned().collect(),
            entries_added: added_entries.into_iter().collect(),
            entries_removed: removed_entries.into_iter().collect(),
            digest: next.digest,
        }
    }

    /// Returns the number of changed or removed upstreams and added or removed entry hosts.
    fn len(&self) -> usize {
        let upstreams = self.changed.len() + self.removed.len();
        upstreams + self.entries_added.len() + self.entries_removed.len()
    }
}

/// The latest differences between the lists that a host has applied, oldest first. Each starts at
/// the revision where the one before it ends.
#[derive(Debug, Clone, Default)]
pub struct History(VecDeque<Rc<Difference>>);

impl History {
    /// Adds the latest difference, and drops the oldest ones beyond the limits.
    pub fn push(&mut self, difference: Difference) {
        if self.0.back().is_some_and(|last| last.to != difference.from) {
            self.0.clear();
        }
        self.0.push_back(Rc::new(difference));
        while self.0.len() > MAX_STEPS || self.len() > MAX_CHANGES {
            self.0.pop_front();
        }
    }

    /// Returns the changes since a revision, or `None` if no difference that starts there is kept.
    pub fn since(&self, revision: u64) -> Option<Difference> {
        let first = self.0.iter().position(|step| step.from == revision)?;
        let mut steps = self.0.iter().skip(first);
        let first = Difference::clone(steps.next()?);
        Some(steps.fold(first, |sum, step| sum.merged_with(step)))
    }

    fn len(&self) -> usize {
        self.0.iter().map(|step| step.len()).sum()
    }
}

fn by_name(hosts: &config::Hosts) -> IndexMap<&name::Name, &config::Upstream> {
    hosts.upstreams.iter().map(|upstream| (&upstream.name, upstream)).collect()
}

/// Returns the addresses in `entries` that are not in `excluded`.
fn without(entries: &[SocketAddr], excluded: &[SocketAddr]) -> Vec<SocketAddr> {
    entries.iter().filter(|entry| !excluded.contains(entry)).copied().collect()
}

/// Computes a digest of a list that does not depend on the order of its entries.
fn digest(hosts: &config::Hosts) -> u64 {
    let upstreams = hosts.upstreams.iter().map(|u| postcard::to_stdvec(&Upstream::from(u)));
    let entries = hosts.entries.iter().map(postcard::to_stdvec);
    let hashes = upstreams.chain(entries).map(|bytes| {
        let bytes = bytes.unwrap_or_default();
        rapidhash::v3::rapidhash_v3(&bytes)
    });
    hashes.fold(0, u64::wrapping_add)
}
