//! The journal of one feed of the store: the known revision, when the store last confirmed it, and
//! the latest changes.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{notify, store};

/// Batches of changes that are retained for followers, the hosts that receive updates from this
/// one; fewer than two batches a second arrive.
const MAX_BATCHES: usize = 32;

/// Changes that arrived together.
#[derive(Debug, Clone)]
pub struct Batch {
    /// The revision of the feed after these changes.
    pub revision: store::Revision,
    /// The changes.
    pub items: Rc<Vec<store::Change>>,
}

/// The known state of one feed, without its rows.
#[derive(Debug, Default)]
pub struct Journal {
    revision: Cell<store::Revision>,
    confirmed_at: Cell<Option<Instant>>,
    batches: RefCell<VecDeque<Batch>>,
    /// The batches hold all changes after this revision.
    complete_since: Cell<store::Revision>,
    /// Notified at each batch and at each snapshot.
    pub changed: notify::Notifier,
}

impl Journal {
    /// Returns the revision up to which the feed is known; its number is 0 before it has been read.
    pub fn revision(&self) -> store::Revision {
        self.revision.get()
    }

    /// Returns whether the feed has not been read yet.
    pub fn is_unread(&self) -> bool {
        self.revision.get().number == 0
    }

    /// Returns whether the store has come back from a copy between the known revision and this one.
    pub fn is_restored_by(&self, revision: store::Revision) -> bool {
        self.revision.get().era != store::Era::UNKNOWN && self.revision.get().era < revision.era
    }

    /// Returns the time since the store was last known to have nothing newer than the known
    /// revision; `Duration::MAX` if it never was.
    pub fn staleness(&self, now: Instant) -> Duration {
        self.confirmed_at.get().map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Records that the store had nothing newer than the known revision at the time `at`.
    pub fn confirm(&self, at: Instant) {
        if self.confirmed_at.get().is_none_or(|known| known < at) {
            self.confirmed_at.set(Some(at));
        }
    }

    /// Sets the known revision to that of a snapshot of the feed, and drops all batches.
    pub fn reset(&self, revision: store::Revision) {
        self.batches.borrow_mut().clear();
        self.complete_since.set(revision);
        self.revision.set(revision);
        self.changed.notify();
    }

    /// Appends changes that follow the known revision; `items` may be empty.
    pub fn append(&self, revision: store::Revision, items: Vec<store::Change>) {
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

    /// Returns the changes after a revision, or `None` if not all of them are retained.
    pub fn since(&self, revision: store::Revision) -> Option<Vec<Batch>> {
        if revision < self.complete_since.get() {
            return None;
        }
        let batches = self.batches.borrow();
        Some(batches.iter().filter(|batch| batch.revision > revision).cloned().collect())
    }
}
