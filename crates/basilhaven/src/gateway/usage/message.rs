//! Messages that carry counts to the coordinator and its replacement, and their acknowledgements.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::counts::{Counts, Ledger, Origin, Window};
use crate::gateway::cluster;

/// The most bytes that a part's counts take; a frame is at most 4,096 bytes.
const MAX_COUNTS_LEN: usize = 3500;

/// Parts that are sent to one host at a time. Further ones are sent the next time.
const MAX_PARTS: usize = 64;

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Counts, which the receiver merges and acknowledges.
    Counts(Part),
    /// Acknowledges the part with this number.
    Received(u64),
}

/// Counts of one origin and window, as many as fit into a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The number of the part, which the acknowledgement repeats.
    pub number: u64,
    /// Whose counts these are.
    pub origin: Origin,
    /// The window.
    pub window: Window,
    /// The counts.
    pub counts: Vec<(Rc<str>, u64)>,
}

/// What one target is known to have.
#[derive(Debug, Default)]
struct Progress {
    acknowledged: BTreeMap<(Window, Origin), Counts>,
    /// Parts that were sent last and are not acknowledged yet.
    sent: IndexMap<u64, Part>,
}

impl Progress {
    fn record(&mut self, part: &Part) {
        let known = self.acknowledged.entry((part.window, part.origin)).or_default();
        for (organisation, count) in &part.counts {
            let newest = known.entry(Rc::clone(organisation)).or_default();
            *newest = (*newest).max(*count);
        }
    }
}

/// The counts that other hosts do not have yet, as far as this host knows.
#[derive(Debug, Default)]
pub struct Outbox {
    targets: IndexMap<cluster::Process, Progress>,
    last_number: u64,
}

impl Outbox {
    /// Sets the targets, and drops what concerns others and windows before `first`.
    pub fn set_targets(&mut self, targets: &[cluster::Process], first: Window) {
        self.targets.retain(|target, _| targets.contains(target));
        for target in targets {
            let progress = self.targets.entry(*target).or_default();
            progress.acknowledged.retain(|(window, _), _| *window >= first);
        }
    }

    /// Returns the counts that a target has not acknowledged, of the origins for which `sends`
    /// holds.
    pub fn parts<F>(&mut self, target: cluster::Process, ledger: &Ledger, sends: F) -> Vec<Part>
    where
        F: Fn(Origin) -> bool,
    {
        let progress = self.targets.entry(target).or_default();
        let mut parts: Vec<Part> = Vec::new();
        for (window, origin, counts) in ledger.iter().filter(|(_, origin, _)| sends(*origin)) {
            let known = progress.acknowledged.get(&(window, origin));
            let is_new = |organisation: &Rc<str>, count: u64| {
                known.and_then(|known| known.get(organisation)).is_none_or(|known| count > *known)
            };
            let mut len = usize::MAX;
            for (organisation, count) in counts.iter().filter(|(name, count)| is_new(name, **count))
            {
                // A name, its length and a number take no more.
                let added = organisation.len() + 20;
                if len.saturating_add(added) > MAX_COUNTS_LEN {
                    self.last_number += 1;
                    let number = self.last_number;
                    parts.push(Part { number, origin, window, counts: Vec::new() });
                    len = 0;
                }
                len += added;
                let part = parts.last_mut().expect("the first count begins a part");
                part.counts.push((Rc::clone(organisation), *count));
            }
        }
        parts.truncate(MAX_PARTS);
        progress.sent = parts.iter().map(|part| (part.number, part.clone())).collect();
        parts
    }

    /// Records that a host has acknowledged a part.
    pub fn acknowledge(&mut self, from: SocketAddr, number: u64) {
        let of_host = self.targets.iter_mut().filter(|(target, _)| target.host == from);
        for (_, progress) in of_host {
            if let Some(part) = progress.sent.swap_remove(&number) {
                progress.record(&part);
            }
        }
    }

    /// Records that a host has these counts, because it has sent them.
    pub fn record_known(&mut self, from: SocketAddr, part: &Part) {
        let of_host = self.targets.iter_mut().filter(|(target, _)| target.host == from);
        of_host.for_each(|(_, progress)| progress.record(part));
    }
}
