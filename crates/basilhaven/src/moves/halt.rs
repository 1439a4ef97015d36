//! Stops moves to bad versions, on all hosts and without the platform.
//!
//! A brake only ever takes a share away, so hosts need not agree: each keeps every brake it hears of,
//! and the order in which they come does not matter.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{detector, evidence};
use crate::{call, name};

/// Halts that are kept at most; the oldest goes first.
const MAX_HALTS: usize = 1024;

/// Why a move is stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Reason {
    /// The new version is worse than the old one.
    #[display(
        "{kind} on {route}: {} of {} calls failed and {} of {} were slow, against {} of {} and {} of {}",
        seen.new.errors, seen.new.calls, seen.new.slow, seen.new.timed,
        seen.old.errors, seen.old.calls, seen.old.slow, seen.old.timed
    )]
    Worse {
        /// In what.
        kind: detector::Fault,
        /// On which route.
        route: evidence::Route,
        /// By which calls.
        seen: evidence::Pair,
    },
    /// An operator ordered it.
    #[display("ordered by an operator")]
    Ordered,
}

/// One move that is stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halt {
    /// The service.
    pub service: name::Name,
    /// The move; a later one of the same service is not stopped.
    pub id: call::Id,
    /// The host that stopped it.
    pub host: name::Name,
    /// Why.
    pub reason: Reason,
}

/// All brakes that this host knows of.
#[derive(Debug, Default)]
pub struct Halts(RefCell<IndexMap<call::Id, Rc<Halt>>>);

impl Halts {
    /// Takes in a brake; tells whether it is news. The first that is heard of stays.
    pub fn set(&self, halt: Halt) -> bool {
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

    /// The brake of a move.
    pub fn get(&self, id: call::Id) -> Option<Rc<Halt>> {
        self.0.borrow().get(&id).cloned()
    }
}
