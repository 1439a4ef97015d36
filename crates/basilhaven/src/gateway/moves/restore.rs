//! What becomes of orders and steps when the store comes back from a copy: the copy may lack them,
//! have older ones, or have them under other revisions.

use std::rc::Rc;
use std::time::Instant;

use super::{Moves, Order, Step};
use crate::gateway::store;

impl Moves {
    /// Applies an order from a complete list of orders, unless it stems from a copy of the store
    /// that is older than the known order.
    pub fn apply_listed_order(&self, service: Rc<str>, order: Order, now: Instant) {
        if self.is_rewritten(&service, &order) {
            self.rebase_order(&service, order.revision);
            return;
        }
        let is_of_copy = self.orders.borrow().get(&service).is_some_and(|known| {
            known.order.revision.era < order.revision.era
                && known.order.revision.number > order.revision.number
        });
        if !is_of_copy {
            self.apply_order(service, Some(order), now);
        }
    }

    /// Returns whether an order is the known one, kept by the copy from which the store came back,
    /// or written again after that.
    pub(super) fn is_rewritten(&self, service: &str, order: &Order) -> bool {
        self.orders.borrow().get(service).is_some_and(|known| {
            known.written_in != store::Era::UNKNOWN
                && known.written_in < order.revision.era
                && (&known.order.to, known.order.duration) == (&order.to, order.duration)
        })
    }

    /// Gives the known order, its step and its evidence the revision under which the order was
    /// written again.
    pub(super) fn rebase_order(&self, service: &Rc<str>, revision: store::Revision) {
        let mut orders = self.orders.borrow_mut();
        let Some(known) = orders.get_mut(service) else { return };
        if known.order.revision >= revision {
            return;
        }
        let previous = std::mem::replace(&mut known.order.revision, revision);
        tracing::info!(event = "move_ordered_again", service = &**service, %previous, %revision);
        if let Some((step, _)) = self.steps.borrow_mut().get_mut(service) {
            if step.order == previous {
                step.order = revision;
                self.lost_steps.borrow_mut().insert(Rc::clone(service));
            }
        }
        if let Some(evidence) = self.local.borrow_mut().get_mut(service) {
            evidence.order = revision.number;
        }
    }

    /// Records that the store has come back from a copy, so that its rows have to be read again.
    pub fn record_restore(&self) {
        self.has_read_steps.set(false);
    }

    /// Applies the steps that the store holds in this era. A step that is known from an earlier era
    /// stays in force if the move had got further than its row says, and is written again.
    pub fn apply_stored_steps(&self, stored: Vec<Step>, era: store::Era, now: Instant) {
        self.era.set(era);
        self.has_read_steps.set(true);
        let mut lost = self.lost_steps.borrow_mut();
        for (service, (known, _)) in self.steps.borrow_mut().iter_mut() {
            if known.revision.era == era {
                continue;
            }
            let row = stored.iter().find(|row| row.service == *service);
            known.revision = row.map_or(store::Revision { era, number: 0 }, |row| row.revision);
            // The copy may have the step of an earlier order for the same version.
            let is_same_order =
                |row: &&Step| row.to == known.to && row.order.number == known.order.number;
            let stored = row.filter(is_same_order).map(|row| row.stage);
            known.stage = known.stage.max(stored.unwrap_or(known.stage));
            if stored != Some(known.stage) {
                tracing::warn!(event = "step_lost", service = &**service, stage = %known.stage);
                lost.insert(Rc::clone(service));
            }
        }
        drop(lost);
        for step in stored {
            if !self.is_step_lost(&step.service) {
                self.apply_step(step, now);
            }
        }
    }

    /// Returns whether the newest step of a service's move has to be written to the store again.
    pub fn is_step_lost(&self, service: &str) -> bool {
        self.lost_steps.borrow().contains(service)
    }

    /// Records that the newest step of a service's move is in the store.
    pub fn mark_step_saved(&self, service: &str) {
        self.lost_steps.borrow_mut().shift_remove(service);
    }

    /// Sets the eras of a step from a host that knows none: those of the known order, if the step
    /// belongs to it.
    pub fn complete_eras(&self, step: &mut Step) {
        let orders = self.orders.borrow();
        let Some(known) = orders.get(&step.service) else { return };
        let revision = known.order.revision;
        if known.order.to == step.to && revision.number == step.order.number {
            step.order.era = revision.era;
            step.revision.era = revision.era;
        }
    }
}
