//! The interface to the users' store: what a host reads from it and writes to it.
//!
//! The embedding program implements [`Store`]; the implementation translates names and formats and
//! makes no decisions.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{cluster, listing, moves, protocol, route, upstream, usage};
use crate::finding;

/// The number of times that the store has come back from a copy of its content.
///
/// Writes that the copy does not have are lost, and their revisions are given out again.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::From,
)]
pub struct Era(u64);

impl Era {
    /// The era of revisions from a store or a host that names none.
    pub const UNKNOWN: Era = Era(0);

    /// Returns the era as a number.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// A position in the history of the store.
///
/// It is serialized as its number alone, which is all that hosts without eras understand; what
/// needs the era sends it besides.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::store;
///
/// let lost = store::Revision { era: 1.into(), number: 36 };
/// let restored = store::Revision { era: 2.into(), number: 35 };
/// assert!(restored > lost);
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{era}.{number}")]
#[serde(from = "u64", into = "u64")]
pub struct Revision {
    /// The era, which orders revisions before their numbers do.
    pub era: Era,
    /// The number within the era; 0 stands for no revision.
    pub number: u64,
}

impl From<u64> for Revision {
    fn from(number: u64) -> Revision {
        Revision { era: Era::UNKNOWN, number }
    }
}

impl From<Revision> for u64 {
    fn from(revision: Revision) -> u64 {
        revision.number
    }
}

/// A set of rows in the store that can be read as a whole and polled for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Feed {
    /// Operators' orders, the configuration among them.
    #[display("orders")]
    Orders,
    /// The list of upstreams.
    #[display("upstreams")]
    Upstreams,
    /// The steps of moves of services to other versions.
    #[display("moves")]
    Moves,
    /// The hosts of the system that have registered.
    #[display("hosts")]
    Hosts,
}

/// A row that is present or has changed; `None` in place of the content stands for a removed row.
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
    /// An order to send no calls to a data centre.
    Evacuation {
        /// The data centre.
        data_centre: Rc<str>,
        /// Whether the order is in force.
        is_ordered: bool,
    },
    /// An upstream.
    Upstream {
        /// The id of the upstream.
        id: Rc<str>,
        /// The entry that the upstream has written.
        entry: Option<upstream::Entry>,
    },
    /// A step of a move.
    Step(moves::Step),
    /// A host that has registered.
    Host {
        /// The row's key.
        key: Rc<str>,
        /// The record that the host has written.
        record: Option<cluster::Record>,
    },
    /// A malformed row; the earlier content of the row is no longer valid.
    Unreadable {
        /// The row's key.
        key: Rc<str>,
        /// What is wrong with the row.
        findings: finding::Findings,
    },
}

impl Change {
    /// Returns this change, with an entry of an upstream that has impossible values, or an id that
    /// calls cannot name, as unreadable. Hosts of earlier builds relay such entries.
    pub fn checked(self) -> Change {
        match self {
            Change::Upstream { id, entry: Some(entry) } => match check_id(&id, entry.check()) {
                Ok(entry) => Change::Upstream { id, entry: Some(entry) },
                Err(findings) => Change::Unreadable { key: id, findings },
            },
            change => change,
        }
    }
}

/// Adds a finding if an id would not arrive as it is in a header field. Calls name the upstream that
/// they are for, since its address may have gone to another one.
fn check_id(
    id: &str,
    entry: Result<upstream::Entry, finding::Findings>,
) -> Result<upstream::Entry, finding::Findings> {
    if !id.is_empty() && id.trim() == id && http::HeaderValue::from_str(id).is_ok() {
        return entry;
    }
    let mut findings = entry.err().unwrap_or_default();
    findings.add("id", "cannot be sent in a header field");
    Err(findings)
}

/// Rows of a feed, and the revision up to which they are complete.
#[derive(Debug, Clone)]
pub struct Changes {
    /// The rows.
    pub items: Vec<Change>,
    /// The revision after which to poll for further changes.
    pub revision: Revision,
}

/// The key of a row, after which the next page of a feed begins. Keys are in ascending byte order.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    derive_more::Deref,
    derive_more::Display,
    derive_more::From,
)]
#[from(&str, Rc<str>)]
#[deref(forward)]
pub struct Cursor(Rc<str>);

/// Some rows of a feed.
#[derive(Debug, Clone)]
pub struct Page {
    /// The rows.
    pub items: Vec<Change>,
    /// The newest revision of the store when the page was read.
    pub revision: Revision,
    /// The last row; `None` if the page is empty.
    pub last: Option<Cursor>,
    /// Whether more rows follow.
    pub has_more: bool,
}

/// The row of a report on usage.
#[derive(Debug, Clone)]
pub struct UsageReport {
    /// The window.
    pub window: usage::counts::Window,
    /// The counts.
    pub counts: Rc<usage::counts::Counts>,
    /// The revision of the row.
    pub revision: Revision,
}

/// All rows on usage.
#[derive(Debug, Clone)]
pub struct UsageRows {
    /// The lease; `None` if there is no row or it cannot be read.
    pub lease: Option<usage::lease::Row>,
    /// The revision of the lease's row; its number is 0 if there is none.
    pub lease_revision: Revision,
    /// The rows of reports.
    pub reports: Vec<UsageReport>,
    /// Rows of reports that cannot be read.
    pub unreadable: Vec<(usage::counts::Window, Revision)>,
    /// The newest revision of the store.
    pub newest: Revision,
    /// The store's steady clock.
    pub clock: Duration,
}

impl UsageRows {
    /// Adds the rows of the next page, which may have been read at a later revision.
    ///
    /// Each write of rows on usage writes the lease as well, and requires that it has not changed.
    /// The lease is on an earlier page than the reports or on the same one, so that reports that
    /// were written between two pages cause no write.
    pub fn followed_by(mut self, next: UsageRows) -> UsageRows {
        if next.lease_revision.number != 0 {
            (self.lease, self.lease_revision) = (next.lease, next.lease_revision);
        }
        self.reports.extend(next.reports);
        self.unreadable.extend(next.unreadable);
        self
    }
}

/// Rows on usage to write together.
#[derive(Debug)]
pub struct UsageWrite<'a> {
    /// The lease.
    pub lease: &'a usage::lease::Row,
    /// The revision that the lease's row has to have; its number is 0 if there must be none.
    pub expected: Revision,
    /// Rows of reports that must not exist yet.
    pub create: &'a [(usage::counts::Window, Rc<usage::counts::Counts>)],
    /// Rows of reports to remove, with their revisions.
    pub remove: &'a [(usage::counts::Window, Revision)],
}

/// The result of a write of rows on usage.
#[derive(Debug, Clone, Copy)]
pub struct UsageWritten {
    /// The revision of all rows that were written.
    pub revision: Revision,
    /// The store's steady clock.
    pub clock: Duration,
}

/// Why a request to the store failed.
#[derive(Debug, derive_more::Display)]
pub enum Error {
    /// The store is over its rate limit; nothing was done.
    #[display("the store is over its rate limit")]
    Busy,
    /// The store is unavailable; nothing was done.
    #[display("the store is unavailable")]
    Unavailable,
    /// A precondition did not hold; nothing was done.
    #[display("the row does not have the expected revision")]
    Conflict,
    /// The store has come back from a copy since the revisions of the request were read.
    #[display("the store has been restored from a copy")]
    Restored,
    /// The store no longer holds the changes after the requested revision.
    #[display("the store no longer holds the requested changes")]
    HistoryGone,
    /// No response arrived; a write may have been done, or may be done later.
    #[display("the store did not answer: {_0}")]
    Unanswered(std::io::Error),
    /// A page of rows does not lead to the next one, after this key.
    #[display("the page after key {_0:?} does not lead to the next one")]
    Endless(Option<String>),
    /// The response is malformed or has an unexpected status.
    #[display("unexpected response of the store: {_0}")]
    Unexpected(String),
}

/// The users' store.
pub trait Store: 'static {
    /// Returns the protocol of the users' callers and upstreams.
    fn protocol(&self) -> protocol::Protocol;

    /// Reads a page of a feed; the response may take up to `response_timeout`.
    fn read_page(
        &self,
        feed: Feed,
        request: &listing::Request,
        response_timeout: Duration,
    ) -> impl Future<Output = Result<Page, Error>>;

    /// Waits up to `wait` for changes of a feed after a revision; the response may take up to
    /// `response_timeout` longer.
    fn long_poll(
        &self,
        feed: Feed,
        after: Revision,
        wait: Duration,
        response_timeout: Duration,
    ) -> impl Future<Output = Result<Changes, Error>>;

    /// Writes the record of a host.
    fn register(&self, record: &cluster::Record) -> impl Future<Output = Result<(), Error>>;

    /// Writes a step of a move and the report on it for operators, if the step's row still has the
    /// revision `expected`, whose number is 0 for no row. Returns the new revision of the row.
    fn write_step(
        &self,
        step: &moves::Step,
        expected: Revision,
    ) -> impl Future<Output = Result<Revision, Error>>;

    /// Reads the rows on usage within `limit`.
    fn read_usage(&self, limit: Duration) -> impl Future<Output = Result<UsageRows, Error>>;

    /// Writes rows on usage within `limit`, all or none of them.
    fn write_usage(
        &self,
        write: &UsageWrite<'_>,
        limit: Duration,
    ) -> impl Future<Output = Result<UsageWritten, Error>>;
}
