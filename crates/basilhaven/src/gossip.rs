//! What frames tell of third hosts: each change a bounded number of times, the least sent first.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::member;

/// The most bytes of updates that one frame carries.
const MAX_LEN: usize = 900;

/// How many more times a change is sent than it takes to double through all hosts.
const EXTRA_ROUNDS: u32 = 3;

/// One update of updates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Who a host is.
    Host(member::Host, member::Health),
    /// What has changed of a host.
    Status(member::Status),
}

/// Changes that are still to be sent.
#[derive(Debug, Default)]
pub struct Queue {
    pending: IndexMap<member::Id, Pending>,
}

#[derive(Debug)]
struct Pending {
    sent: u32,
    is_new: bool,
}

impl Queue {
    /// A host has come that others may not know.
    pub fn add_host(&mut self, id: member::Id) {
        self.pending.insert(id, Pending { sent: 0, is_new: true });
    }

    /// Something of a host has changed.
    pub fn add_change(&mut self, id: member::Id) {
        let pending = self.pending.entry(id).or_insert(Pending { sent: 0, is_new: false });
        pending.sent = 0;
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Forgets all changes.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Takes what the next frame carries, for `len` other hosts; `find` looks up what is to be sent.
    pub fn next_batch<F>(&mut self, len: usize, find: F) -> Vec<Update>
    where
        F: Fn(member::Id) -> Option<(member::Host, member::Health)>,
    {
        let rounds = usize::BITS - len.leading_zeros() + EXTRA_ROUNDS;
        self.pending.sort_by(|_, a, _, b| a.sent.cmp(&b.sent));
        let mut room = MAX_LEN;
        let mut updates = Vec::new();
        for (id, pending) in &mut self.pending {
            let Some((host, health)) = find(*id).filter(|(_, h)| *h < member::Health::Dead) else {
                pending.sent = rounds;
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
            pending.sent += 1;
            updates.push(update);
        }
        self.pending.retain(|_, pending| pending.sent < rounds);
        updates
    }
}
