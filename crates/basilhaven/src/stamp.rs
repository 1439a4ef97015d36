//! The ids of the changes that led to the current content of a row in the platform's table.

use serde::{Deserialize, Serialize};

use crate::call;

/// The maximum number of earlier changes that a stamp holds besides the last one.
pub const MAX_PREDECESSORS: usize = 32;

/// An earlier change of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Predecessor {
    /// The id of the change.
    pub change: call::Id,
    /// The revision of the row that the change wrote.
    pub revision: u64,
}

/// The last changes of a row, stored in the row itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The id of the last change, which is unique among all changes.
    pub change: call::Id,
    /// The changes before the last one, oldest first.
    #[serde(default, rename = "past")]
    pub predecessors: Vec<Predecessor>,
}

/// The outcome of a change according to the stamp of its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The change took effect at this revision.
    Written(u64),
    /// The row is still at the revision before the change, which may yet take effect.
    Pending,
    /// The change did not take effect, and never will.
    NotWritten,
    /// Not known: since the change was tried, the row has had more changes than its stamp holds.
    Unknown,
}

impl Stamp {
    /// Creates the stamp of a new change with a random id. `last` is the current stamp and revision
    /// of the row, or `None` if the row does not exist.
    pub fn after(last: Option<(&Stamp, u64)>) -> Stamp {
        let mut predecessors = Vec::new();
        if let Some((stamp, revision)) = last {
            let first_kept = stamp.predecessors.len().saturating_sub(MAX_PREDECESSORS - 1);
            predecessors.extend_from_slice(&stamp.predecessors[first_kept..]);
            predecessors.push(Predecessor { change: stamp.change, revision });
        }
        Stamp { change: call::Id::random(), predecessors }
    }

    /// Returns the outcome of a change that was to replace revision `before` of the row (0 if the
    /// row did not exist), given that the row is now at `revision` with this stamp.
    pub fn outcome(&self, revision: u64, change: call::Id, before: u64) -> Outcome {
        if self.change == change {
            return Outcome::Written(revision);
        }
        if let Some(predecessor) =
            self.predecessors.iter().find(|predecessor| predecessor.change == change)
        {
            return Outcome::Written(predecessor.revision);
        }
        if revision == before {
            return Outcome::Pending;
        }
        let oldest = self.predecessors.first().map_or(revision, |predecessor| predecessor.revision);
        let has_all_changes = before == 0 && self.predecessors.len() < MAX_PREDECESSORS;
        match has_all_changes || oldest <= before {
            true => Outcome::NotWritten,
            false => Outcome::Unknown,
        }
    }
}
