//! Halts moves to bad versions, on all hosts and without the platform.
//!
//! A halt only ever sets a share to zero, so hosts need no agreement on it: each host keeps every
//! halt that it receives, and the order of arrival does not matter.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{detector, evidence};
use crate::{call, name};

/// Maximum number of halts kept; the oldest is evicted first.
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
        /// What is worse.
        kind: detector::Fault,
        /// The route on which it was seen.
        route: evidence::Route,
        /// The calls that show it.
        seen: evidence::Pair,
    },
    /// An operator ordered the move back.
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
    /// Host that halted it.
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
        let mut known = self.0.borrow_mut();
        if known.contains_key(&halt.id) {
            return false;
        }
        if known.len() >= MAX_HALTS {
            known.shift_remove_index(0);
        }
        known.insert(halt.id, Rc::new(halt));
        true
    }

    /// Returns the halt of a move, if there is one.
    pub fn get(&self, id: call::Id) -> Option<Rc<Halt>> {
        self.0.borrow().get(&id).cloned()
    }
}
