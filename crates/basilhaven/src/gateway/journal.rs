//! What this host knows of the store: up to which revision, how sure that is, and the latest changes.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{signal, store};

/// Batches of changes that are kept for hosts that follow this one; they come less than twice a second.
const MAX_BATCHES: usize = 32;

/// Changes that came together.
#[derive(Debug, Clone)]
pub struct Batch {
    /// The revision with them.
    pub revision: u64,
    /// The changes.
    pub items: Rc<Vec<store::Change>>,
}

/// What is known of one part of the store.
#[derive(Debug, Default)]
pub struct Journal {
    revision: Cell<u64>,
    confirmed: Cell<Option<Instant>>,
    batches: RefCell<VecDeque<Batch>>,
    /// The revision from which on all changes are among the batches.
    complete_since: Cell<u64>,
    /// Notified at each batch.
    pub changed: signal::Signal,
}

impl Journal {
    /// The revision up to which all is known; 0 before the part has been read.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// How long ago the store is known to have had nothing newer.
    pub fn staleness(&self, now: Instant) -> Duration {
        self.confirmed.get().map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Notes that the store had nothing newer at a moment.
    pub fn confirm(&self, at: Instant) {
        if self.confirmed.get().is_none_or(|known| known < at) {
            self.confirmed.set(Some(at));
        }
    }

    /// Notes that the part has been read whole.
    pub fn reset(&self, revision: u64) {
        self.batches.borrow_mut().clear();
        self.complete_since.set(revision);
        self.revision.set(revision);
        self.changed.notify();
    }

    /// Adds changes that came after what is known; there may be none up to a revision.
    pub fn append(&self, revision: u64, items: Vec<store::Change>) {
        self.revision.set(revision);
        if items.is_empty() {
            return;
        }
        let mut batches = self.batches.borrow_mut();
        if batches.len() == MAX_BATCHES {
            if let Some(dropped) = batches.pop_front() {
                self.complete_since.set(dropped.revision);
            }
        }
        batches.push_back(Batch { revision, items: Rc::new(items) });
        drop(batches);
        self.changed.notify();
    }

    /// The changes after a revision; `None` when they are no longer all known.
    pub fn since(&self, revision: u64) -> Option<Vec<Batch>> {
        if revision < self.complete_since.get() {
            return None;
        }
        let batches = self.batches.borrow();
        Some(batches.iter().filter(|batch| batch.revision > revision).cloned().collect())
    }
}
