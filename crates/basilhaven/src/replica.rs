//! The replicated rows: every host holds a copy of each, with its revision. The platform is
//! authoritative for their content.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{config, difference, moves};

/// Identifies a replicated row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Row {
    /// The configuration.
    #[display("config")]
    Config,
    /// The platform's list of upstreams and entry hosts.
    #[display("hosts")]
    Hosts,
    /// The moves between versions.
    #[display("moves")]
    Moves,
}

impl Row {
    /// All rows.
    pub const ALL: [Row; 3] = [Row::Config, Row::Hosts, Row::Moves];
}

/// The revisions that a host has applied; 0 stands for the content of the host's settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// The revision of the configuration.
    pub config: u64,
    /// The revision of the list of hosts.
    pub hosts: u64,
    /// The revision of the moves.
    pub moves: u64,
}

impl Revisions {
    /// Returns the revision of one row.
    pub fn of(&self, row: Row) -> u64 {
        match row {
            Row::Config => self.config,
            Row::Hosts => self.hosts,
            Row::Moves => self.moves,
        }
    }

    /// Returns the higher revision of each row.
    pub fn max(&self, other: &Revisions) -> Revisions {
        Revisions {
            config: self.config.max(other.config),
            hosts: self.hosts.max(other.hosts),
            moves: self.moves.max(other.moves),
        }
    }

    /// Returns whether any row has a higher revision than in `other`.
    pub fn is_ahead_of(&self, other: Revisions) -> bool {
        Row::ALL.into_iter().any(|row| self.of(row) > other.of(row))
    }
}

/// The validated content of a row.
#[derive(Debug, Clone)]
pub enum Content {
    /// The configuration.
    Config(Rc<config::Document>),
    /// The list of hosts.
    Hosts(Rc<config::Hosts>),
    /// The moves.
    Moves(Rc<moves::Moves>),
}

impl Content {
    /// Returns the row that this is the content of.
    pub fn row(&self) -> Row {
        match self {
            Content::Config(_) => Row::Config,
            Content::Hosts(_) => Row::Hosts,
            Content::Moves(_) => Row::Moves,
        }
    }
}

/// A row as hosts send it to each other, with the content in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The row of which this is a snapshot.
    pub row: Row,
    /// The revision of the row.
    pub revision: u64,
    /// The content as JSON.
    pub json: Vec<u8>,
}

/// The rows that this host has applied. A row is replaced only by one of a higher revision, so that
/// it never reverts to an older content.
#[derive(Debug, Clone)]
pub struct Rows {
    /// The revisions of the rows below.
    pub revisions: Revisions,
    /// The configuration.
    pub config: Rc<config::Document>,
    /// The platform's list of upstreams and entry hosts.
    pub hosts: Rc<config::Hosts>,
    /// The moves.
    pub moves: Rc<moves::Moves>,
    // The latest changes of the list of hosts, for hosts that missed them.
    host_differences: Rc<difference::History>,
}

impl Rows {
    /// Creates the rows from the host's settings, at revision 0.
    pub fn new(config: config::Document, hosts: config::Hosts) -> Rows {
        Rows {
            revisions: Revisions::default(),
            config: Rc::new(config),
            hosts: Rc::new(hosts),
            moves: Rc::default(),
            host_differences: Rc::default(),
        }
    }

    /// Applies a row if it is newer than the current one, and returns whether it was.
    pub fn apply(&mut self, revision: u64, content: Content) -> bool {
        let row = content.row();
        if revision <= self.revisions.of(row) {
            return false;
        }
        match content {
            Content::Config(config) => self.config = config,
            Content::Hosts(hosts) => self.apply_hosts(revision, hosts),
            Content::Moves(moves) => self.moves = moves,
        }
        match row {
            Row::Config => self.revisions.config = revision,
            Row::Hosts => self.revisions.hosts = revision,
            Row::Moves => self.revisions.moves = revision,
        }
        true
    }

    fn apply_hosts(&mut self, revision: u64, hosts: Rc<config::Hosts>) {
        // Settings differ from host to host, so no difference can start from revision 0.
        if self.revisions.hosts > 0 {
            let old = (self.revisions.hosts, &*self.hosts);
            let difference = difference::Difference::between(old, (revision, &hosts));
            Rc::make_mut(&mut self.host_differences).push(difference);
        }
        self.hosts = hosts;
    }

    /// Returns the changes of the list of hosts since a revision, or `None` if this host does not
    /// keep them all.
    pub fn hosts_since(&self, revision: u64) -> Option<difference::Difference> {
        self.host_differences.since(revision)
    }

    /// Returns a snapshot of a row, for another host.
    pub fn snapshot(&self, row: Row) -> Snapshot {
        let json = match row {
            Row::Config => serde_json::to_vec(&*self.config),
            Row::Hosts => serde_json::to_vec(&*self.hosts),
            Row::Moves => serde_json::to_vec(&*self.moves),
        };
        let json = json.expect("rows are plain data");
        Snapshot { row, revision: self.revisions.of(row), json }
    }
}

impl TryFrom<&Snapshot> for Content {
    type Error = crate::finding::Findings;

    fn try_from(snapshot: &Snapshot) -> Result<Content, crate::finding::Findings> {
        let mut findings = crate::finding::Findings::default();
        let place = snapshot.row.to_string();
        let content = match snapshot.row {
            Row::Config => {
                let text = findings.ok_or_add(&*place, std::str::from_utf8(&snapshot.json));
                let document = config::Document::try_from(text.unwrap_or_default())?;
                Some(Content::Config(Rc::new(document)))
            }
            Row::Hosts => findings
                .ok_or_add(place, serde_json::from_slice(&snapshot.json))
                .map(|hosts| Content::Hosts(Rc::new(hosts))),
            Row::Moves => findings
                .ok_or_add(place, serde_json::from_slice(&snapshot.json))
                .map(|moves| Content::Moves(Rc::new(moves))),
        };
        match content {
            Some(content) => findings.into_result(content),
            None => Err(findings),
        }
    }
}
