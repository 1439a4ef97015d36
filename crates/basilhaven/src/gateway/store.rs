//! The edge to the users' store: what the product reads from it and writes to it.
//!
//! The embedding program implements [`Store`]; it translates names and formats, and decides nothing.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{cluster, moves, protocol, route, upstream};
use crate::finding;

/// A part of the store that can be read whole and followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Feed {
    /// What operators order.
    #[display("orders")]
    Orders,
    /// The list of upstreams.
    #[display("upstreams")]
    Upstreams,
    /// The steps of moves between versions.
    #[display("moves")]
    Moves,
    /// The hosts that have started.
    #[display("hosts")]
    Hosts,
}

/// One row that is there, or has changed; `None` in place of its content says that it is gone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Change {
    /// The configuration.
    Config(Rc<route::Table>),
    /// An order to move a service to another version.
    Move {
        /// The service.
        service: Rc<str>,
        /// The order.
        order: Option<moves::Order>,
    },
    /// An order to send nothing to a data centre.
    Evacuation {
        /// The data centre.
        data_centre: Rc<str>,
        /// Whether the order stands.
        ordered: bool,
    },
    /// An upstream.
    Upstream {
        /// Its id.
        id: Rc<str>,
        /// What it says of itself.
        entry: Option<upstream::Entry>,
    },
    /// A step of a move.
    Step(moves::Step),
    /// A host that has started.
    Host {
        /// The row's key.
        key: Rc<str>,
        /// What it wrote of itself.
        record: Option<cluster::Record>,
    },
    /// A row that could not be read; what it named before is not to be used.
    Unreadable {
        /// The row's key.
        key: Rc<str>,
        /// What is wrong with it.
        findings: finding::Findings,
    },
}

/// Rows, and the revision up to which they are known.
#[derive(Debug, Clone)]
pub struct Changes {
    /// The rows.
    pub items: Vec<Change>,
    /// The revision from which to go on.
    pub revision: u64,
}

/// Why the store did not do what it was asked.
#[derive(Debug, derive_more::Display)]
pub enum Error {
    /// It takes no more calls now; nothing was done.
    #[display("the store takes no more calls now")]
    Busy,
    /// It can't serve now; nothing was done.
    #[display("the store is unavailable")]
    Unavailable,
    /// A condition did not hold; nothing was done.
    #[display("a row has another revision than expected")]
    Conflict,
    /// It no longer holds the changes since the revision asked for.
    #[display("the store no longer holds the changes asked for")]
    HistoryGone,
    /// No answer came; a write may have been done, or may be done later.
    #[display("the store did not answer: {_0}")]
    Unanswered(std::io::Error),
    /// The answer could not be read, or was a refusal.
    #[display("unexpected answer of the store: {_0}")]
    Unexpected(String),
}

/// The users' store.
pub trait Store: 'static {
    /// The protocol that callers and upstreams speak.
    fn protocol(&self) -> protocol::Protocol;

    /// Reads a part whole.
    fn read(&self, feed: Feed) -> impl Future<Output = Result<Changes, Error>>;

    /// Waits up to `wait` for changes after a revision.
    fn long_poll(
        &self,
        feed: Feed,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Error>>;

    /// Writes what a host says of itself.
    fn register(&self, record: &cluster::Record) -> impl Future<Output = Result<(), Error>>;

    /// Writes a step of a move, and what operators are told of it, when the step's row still has the
    /// revision `expected`; 0 for none. Returns the row's new revision.
    fn write_step(
        &self,
        step: &moves::Step,
        expected: u64,
    ) -> impl Future<Output = Result<u64, Error>>;
}
