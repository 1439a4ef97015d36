//! Halts: decisions of single hosts that no host may send calls to a move's new version any more.
//!
//! A host halts a move when its calls show that the new version is worse than the old one, or when
//! an operator orders it. Halts are broadcast from host to host, so they need no platform.
//!
//! A halt only ever sets the new version's share to zero, so hosts need no agreement on it: each
//! host keeps every halt that it receives, and the order of arrival does not matter.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{detector, evidence};
use crate::{call, name};

/// Maximum number of halts kept; beyond it, the halt received first is evicted.
const MAX_HALTS: usize = 1024;

/// Reason for halting a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Reason {
    /// The new version is worse than the old one.
    #[display(
        "{kind} on {route}: {} of {} calls failed and {} of {} were slow, against {} of {} and {} of {}",
        seen.new.errors, seen.new.calls, seen.new.slow, seen.new.timed,
        seen.old.errors, seen.old.calls, seen.old.slow, seen.old.timed
    )]
    Worse {
        /// Whether more calls to the new version fail or more are slow.
        kind: detector::Fault,
        /// The route whose calls show the fault.
        route: evidence::Route,
        /// Counts of the calls to both versions on this route.
        seen: evidence::Pair,
    },
    /// An operator ordered the move to be rolled back.
    #[display("ordered by an operator")]
    Ordered,
}

/// A host's decision to send no more calls to a move's new version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    /// Service whose move is halted.
    pub service: name::Name,
    /// Identifier of the move; a later move of the same service is not halted.
    pub id: call::Id,
    /// Host that decided on the halt.
    pub host: name::Name,
    /// Reason for the halt.
    pub reason: Reason,
}

/// All halts known to this host.
#[derive(Debug, Default)]
pub struct Halts(RefCell<IndexMap<call::Id, Rc<Halt>>>);

impl Halts {
    /// Records a halt and returns whether its move was not halted before. The first halt of a move
    /// is kept, later ones are ignored.
    pub fn insert(&self, halt: Halt) -> bool {
        let mut halts = self.0.borrow_mut();
        if halts.contains_key(&halt.id) {
            return false;
        }
        if halts.len() >= MAX_HALTS {
            halts.shift_remove_index(0);
        }
        halts.insert(halt.id, Rc::new(halt));
        true
    }

    /// Returns the halt of a move, if there is one.
    pub fn get(&self, id: call::Id) -> Option<Rc<Halt>> {
        self.0.borrow().get(&id).cloned()
    }
}
