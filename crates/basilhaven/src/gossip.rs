//! The queue of membership updates about other hosts that are piggybacked on frames. Each update is
//! sent a bounded number of times, and those sent least often go first.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::member;

/// The maximum size of the updates in one frame, in bytes.
const MAX_LEN: usize = 900;

/// Transmissions of an update in addition to the log2(hosts) that it takes to reach all hosts if
/// each round doubles the number of those that have it.
const EXTRA_ROUNDS: u32 = 3;

/// A membership update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The description of a host that others may not know.
    Host(member::Host, member::Health),
    /// The status of a host whose description the receivers are expected to know.
    Status(member::Status),
}

/// The hosts whose updates are still to be sent; the content of an update is looked up when it is
/// sent.
#[derive(Debug, Default)]
pub struct Queue {
    pending: IndexMap<member::Id, Pending>,
}

#[derive(Debug)]
struct Pending {
    sent_count: u32,
    // Whether others may not know the host, so that its whole description is sent.
    is_new: bool,
}

impl Queue {
    /// Queues the description of a host that others may not know.
    pub fn add_host(&mut self, id: member::Id) {
        self.pending.insert(id, Pending { sent_count: 0, is_new: true });
    }

    /// Queues the changed status of a host, and restarts the count of its transmissions.
    pub fn add_change(&mut self, id: member::Id) {
        let pending = self.pending.entry(id).or_insert(Pending { sent_count: 0, is_new: false });
        pending.sent_count = 0;
    }

    /// Returns whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Removes all updates.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Returns the updates for the next frame, and drops those about hosts that are dead or no
    /// longer known.
    ///
    /// `host_count` is the number of other hosts, which determines how often each update is sent;
    /// `find` looks up the current state of a host.
    pub fn next_batch<F>(&mut self, host_count: usize, find: F) -> Vec<Update>
    where
        F: Fn(member::Id) -> Option<(member::Host, member::Health)>,
    {
        let rounds = usize::BITS - host_count.leading_zeros() + EXTRA_ROUNDS;
        self.pending.sort_by(|_, a, _, b| a.sent_count.cmp(&b.sent_count));
        let mut room = MAX_LEN;
        let mut updates = Vec::new();
        for (id, pending) in &mut self.pending {
            let Some((host, health)) = find(*id).filter(|(_, h)| *h < member::Health::Dead) else {
                pending.sent_count = rounds;
                continue;
            };
            let update = match pending.is_new {
                true => Update::Host(host, health),
                false => Update::Status(host.status(health)),
            };
            let len = postcard::to_stdvec(&update).map_or(MAX_LEN, |bytes| bytes.len());
            if len > room {
                break;
            }
            room -= len;
            pending.sent_count += 1;
            updates.push(update);
        }
        self.pending.retain(|_, pending| pending.sent_count < rounds);
        updates
    }
}
