//! Which changes made a row of the platform's table what it is.

use serde::{Deserialize, Serialize};

use crate::call;

/// Changes that a row remembers besides its own.
pub const MAX_PREDECESSORS: usize = 32;

/// An earlier change of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Predecessor {
    /// The change.
    pub change: call::Id,
    /// The revision that the row had by it.
    pub revision: u64,
}

/// Which changes made a row what it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The last change; no other has its id.
    pub change: call::Id,
    /// The changes before it, oldest first.
    #[serde(default, rename = "past")]
    pub predecessors: Vec<Predecessor>,
}

/// What a row says of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect at this revision.
    Written(u64),
    /// The row is as it was before the change; it may yet take effect.
    Pending,
    /// It did not take effect, and never will.
    NotWritten,
    /// The row has changed more often since than it remembers.
    Unknown,
}

impl Stamp {
    /// The stamp of a new change on a row, or on none.
    pub fn after(last: Option<(&Stamp, u64)>) -> Stamp {
        let mut predecessors = Vec::new();
        if let Some((stamp, revision)) = last {
            let kept = stamp.predecessors.len().saturating_sub(MAX_PREDECESSORS - 1);
            predecessors.extend_from_slice(&stamp.predecessors[kept..]);
            predecessors.push(Predecessor { change: stamp.change, revision });
        }
        Stamp { change: call::Id::random(), predecessors }
    }

    /// What a row at `revision` with this stamp says of a change that was to follow revision `before`.
    pub fn outcome(&self, revision: u64, change: call::Id, before: u64) -> Outcome {
        if self.change == change {
            return Outcome::Written(revision);
        }
        if let Some(past) = self.predecessors.iter().find(|past| past.change == change) {
            return Outcome::Written(past.revision);
        }
        if revision == before {
            return Outcome::Pending;
        }
        let oldest = self.predecessors.first().map_or(revision, |past| past.revision);
        let from_the_start = before == 0 && self.predecessors.len() < MAX_PREDECESSORS;
        match from_the_start || oldest <= before {
            true => Outcome::NotWritten,
            false => Outcome::Unknown,
        }
    }
}
