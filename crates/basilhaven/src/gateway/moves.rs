//! Moves of a service's calls to another version.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;

use super::upstream;

/// An order to move a service's calls to another version.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// The version to move to.
    pub to: Rc<str>,
    /// The time in which the move is to be done.
    pub time: Duration,
}

/// How far a move has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Progress {
    /// Calls are being moved.
    #[display("running")]
    Running,
    /// All calls go to the new version.
    #[display("completed")]
    Completed,
    /// All calls go to the old version again.
    #[display("rolled-back")]
    RolledBack,
}

/// What operators are told of a move.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The version to move to.
    pub to: Rc<str>,
    /// How far it has come.
    pub progress: Progress,
}

/// The moves that this host knows.
#[derive(Debug, Default)]
pub struct Moves {
    orders: RefCell<IndexMap<Rc<str>, Order>>,
    reports: RefCell<IndexMap<Rc<str>, (Report, u64)>>,
}

impl Moves {
    /// Takes in an order, or that there is none.
    pub fn apply_order(&self, service: Rc<str>, order: Option<Order>) {
        match order {
            Some(order) => self.orders.borrow_mut().insert(service, order),
            None => self.orders.borrow_mut().shift_remove(&service),
        };
    }

    /// Takes in what became of a move.
    pub fn apply_report(&self, service: Rc<str>, report: Option<Report>, revision: u64) {
        match report {
            Some(report) => self.reports.borrow_mut().insert(service, (report, revision)),
            None => self.reports.borrow_mut().shift_remove(&service),
        };
    }

    /// The upstreams of the version that takes the next call of a service.
    pub fn choose_version<'a>(
        &self,
        service: &str,
        open: Vec<&'a Rc<upstream::Upstream>>,
    ) -> Vec<&'a Rc<upstream::Upstream>> {
        let orders = self.orders.borrow();
        let Some(order) = orders.get(service) else { return open };
        let (_, old): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|u| u.entry().version == order.to);
        old
    }
}
