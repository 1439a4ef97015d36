//! Writes to the platform's table: accepted once they are known to have taken effect.
//!
//! Each row names the change that made it and the changes before it, so that a write whose answer was
//! lost is settled by reading the row, even when another operator has written over it since.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::{call, config, finding, lease, member, moves, node, order, platform, replica, stamp};

/// The row of the table that holds the configuration.
pub const CONFIG_KEY: &str = "basilhaven-config";

/// The row of the table that holds the moves between versions.
pub const MOVES_KEY: &str = "basilhaven-moves";

/// The most bytes of a document that are kept in its row.
pub const MAX_ROW_LEN: usize = 64 * 1024;

/// The most bytes that a document may have.
pub const MAX_DOCUMENT_LEN: usize = 2 * 1024 * 1024;

/// How long a write whose answer is lost is made again.
const WRITE_LIMIT: Duration = Duration::from_secs(3);

/// How long after its start a commit may begin another request; its answer so comes before operators
/// stop waiting.
const COMMIT_LIMIT: Duration = Duration::from_secs(6);

/// The first pause before a request is sent again.
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// The longest pause before a request is sent again.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// Requests tried before a commit is given up with nothing written.
const TRIES: u32 = 2;

/// The configuration's row.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Stored {
    /// The changes that made it.
    #[serde(flatten)]
    pub stamp: stamp::Stamp,
    /// The document, or where it is.
    #[serde(flatten)]
    pub body: Body,
    /// The object that the row before this one was in; the next change removes it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub old_object: Option<String>,
}

/// The document of a row, or where it is.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// The document.
    Document(Box<config::Document>),
    /// The object that holds a document too large for a row.
    Object(Object),
}

/// An object of the platform's store; it never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Its key.
    pub key: String,
    /// The lower-case hexadecimal SHA-256 of its content.
    pub sha256: String,
}

impl TryFrom<serde_json::Value> for Stored {
    type Error = finding::Findings;

    fn try_from(mut value: serde_json::Value) -> Result<Stored, finding::Findings> {
        #[derive(Deserialize)]
        struct Rest {
            #[serde(flatten)]
            stamp: stamp::Stamp,
            object: Option<Object>,
            old_object: Option<String>,
        }
        let mut findings = finding::Findings::default();
        let document = value.as_object_mut().and_then(|fields| fields.remove("document"));
        let rest: Option<Rest> = findings.ok_or_add("row", serde_json::from_value(value));
        let Some(Rest { stamp, object, old_object }) = rest else { return Err(findings) };
        let body = match (document, object) {
            (Some(document), _) => Body::Document(Box::new(config::Document::try_from(document)?)),
            (None, Some(object)) => Body::Object(object),
            (None, None) => {
                findings.add("row", "holds neither a document nor an object");
                return Err(findings);
            }
        };
        Ok(Stored { stamp, body, old_object })
    }
}

impl Stored {
    /// The document; `None` while the object that holds it is out of reach.
    ///
    /// # Errors
    ///
    /// The object is not what the row says, or holds no good document.
    pub async fn document(
        &self,
        platform: &platform::Client,
    ) -> Result<Option<config::Document>, finding::Findings> {
        let object = match &self.body {
            Body::Document(document) => return Ok(Some((**document).clone())),
            Body::Object(object) => object,
        };
        let Ok(Some(content)) = platform.get_object(&object.key).await else { return Ok(None) };
        let mut findings = finding::Findings::default();
        if sha256_of(&content) != object.sha256 {
            findings.add(&object.key, "has another SHA-256 than its row says");
            return Err(findings);
        }
        let text = findings.ok_or_add(&object.key, std::str::from_utf8(&content));
        let Some(text) = text else { return Err(findings) };
        config::Document::try_from(text).map(Some)
    }

    fn object_key(&self) -> Option<&str> {
        match &self.body {
            Body::Document(_) => None,
            Body::Object(object) => Some(&object.key),
        }
    }
}

fn sha256_of(content: &[u8]) -> String {
    format!("{:x}", sha2::Sha256::digest(content))
}

/// The row of the moves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredMoves {
    /// The changes that made it.
    #[serde(flatten)]
    pub stamp: stamp::Stamp,
    /// The moves.
    pub moves: moves::Moves,
}

/// Why an order was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Error {
    /// The order would make the configuration wrong.
    #[display("{_0}")]
    Wrong(finding::Findings),
    /// Another operator changed the row first; nothing was changed.
    #[display("the row is at revision {_0} or later already; nothing was changed")]
    Raced(u64),
    /// The platform gave no answer, and nothing was changed.
    #[display("the platform gives no answer; nothing was changed")]
    Unavailable,
    /// The platform gave no answer after the write; it may yet have taken effect.
    #[display("the platform gives no answer after the write; whether it took effect is not known")]
    Unknown,
    /// The row in the table is malformed; nothing was changed.
    #[display("the row in the platform's table is malformed; nothing was changed")]
    Malformed,
    /// The lease under which the write was to be made is lost; nothing was changed.
    #[display("the lease is lost; nothing was changed")]
    NoLease,
    /// Without a platform, orders are taken by a host that stands alone.
    #[display("without a platform, a host takes orders only while it knows no other")]
    NoPlatform,
}

/// Under what conditions an order is to take effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Condition {
    /// The revision that the configuration must have.
    pub expect: Option<u64>,
    /// Whether it takes effect whatever [`order::Inventory::objections`] says.
    pub force: bool,
}

impl Condition {
    /// The document as it is after an order.
    fn applied(
        &self,
        order: &order::Order,
        document: &config::Document,
        revision: u64,
        known: &order::Inventory,
    ) -> Result<config::Document, Error> {
        if self.expect.is_some_and(|expect| expect != revision) {
            return Err(Error::Raced(revision));
        }
        let next = order.applied_to(document).map_err(Error::Wrong)?;
        if !self.force {
            let objections = known.objections(order, document, &next);
            objections.into_result(()).map_err(Error::Wrong)?;
        }
        Ok(next)
    }
}

/// Has an order take effect under a condition; returns the revision under which it did.
///
/// # Errors
///
/// The order was not accepted, or it is not known whether it was.
pub async fn commit(
    node: &node::Node,
    order: &order::Order,
    condition: Condition,
) -> Result<u64, Error> {
    let Some(platform) = node.platform() else { return commit_alone(node, order, condition) };
    let until = Instant::now() + COMMIT_LIMIT;
    let (revision, last) = match read(platform, CONFIG_KEY).await? {
        Some(row) => {
            let stored = Stored::try_from(row.value).map_err(|_| Error::Malformed)?;
            (row.revision, Some(stored))
        }
        None => (0, None),
    };
    let document = match &last {
        Some(stored) => stored.document(platform).await.map_err(|_| Error::Malformed)?,
        None => Some(node.settings().document.clone()),
    };
    let document = document.ok_or(Error::Unavailable)?;
    let next = condition.applied(order, &document, revision, &known(node))?;
    let stamp = stamp::Stamp::after(last.as_ref().map(|stored| (&stored.stamp, revision)));
    let change = stamp.change;
    let body = store(platform, change, &next).await?;
    let old_object = last.as_ref().and_then(Stored::object_key).map(str::to_owned);
    let stored = Stored { stamp, body, old_object };
    let write = write_of(CONFIG_KEY, revision, &stored);
    let result = write_settled(platform, write, Vec::new(), change, until).await;
    let unused = match result {
        Ok(_) => last.as_ref().and_then(|last| last.old_object.as_deref()),
        // The write may yet take effect, and its object is then needed.
        Err(Error::Unknown) => None,
        Err(_) => stored.object_key(),
    };
    if let Some(key) = unused {
        // An object that stays behind takes room and does no other harm.
        let _ = platform.delete_object(key).await;
    }
    let written = result?;
    node.apply(written, replica::Content::Config(Rc::new(next)));
    Ok(written)
}

/// What this host knows of those that an order may name.
fn known(node: &node::Node) -> order::Inventory {
    let serving = node.members().serving();
    let mut others = node.members().others();
    others.push(node.members().own());
    others.extend(node.members().with_health(member::Health::Dead));
    others.retain(|host| !serving.contains(host));
    order::Inventory { hosts: node.rows().hosts, serving, others }
}

/// Puts a document that is too large for a row into an object of its own.
async fn store(
    platform: &platform::Client,
    change: call::Id,
    document: &config::Document,
) -> Result<Body, Error> {
    let content = serde_json::to_vec(document).expect("a document is plain data");
    if content.len() <= MAX_ROW_LEN {
        return Ok(Body::Document(Box::new(document.clone())));
    }
    if content.len() > MAX_DOCUMENT_LEN {
        let mut findings = finding::Findings::default();
        findings.add("document", format!("must have {MAX_DOCUMENT_LEN} bytes at most"));
        return Err(Error::Wrong(findings));
    }
    let object = Object { key: format!("{CONFIG_KEY}-{change}"), sha256: sha256_of(&content) };
    let content = bytes::Bytes::from(content);
    for attempt in 0..TRIES {
        if platform.put_object(&object.key, content.clone()).await.is_ok() {
            return Ok(Body::Object(object));
        }
        monoio::time::sleep(pause(attempt)).await;
    }
    Err(Error::Unavailable)
}

fn commit_alone(
    node: &node::Node,
    order: &order::Order,
    condition: Condition,
) -> Result<u64, Error> {
    if !node.members().others().is_empty() {
        return Err(Error::NoPlatform);
    }
    let rows = node.rows();
    let revision = rows.revisions.config;
    let next = condition.applied(order, &rows.config, revision, &known(node))?;
    node.apply(revision + 1, replica::Content::Config(Rc::new(next)));
    Ok(revision + 1)
}

/// Puts moves in the place of those at revision `expect` (0 when there are none); returns the revision
/// under which they took effect. For operators' orders and brakes, which any host may give.
///
/// # Errors
///
/// They were not accepted, or it is not known whether they were.
pub async fn commit_moves(
    node: &node::Node,
    expect: u64,
    moves: &moves::Moves,
) -> Result<u64, Error> {
    write_moves(node, expect, moves, Vec::new()).await
}

/// As [`commit_moves`], and only while the lease of `token` is neither renewed nor lost: a holder that
/// was paused past its lease so writes nothing late.
///
/// # Errors
///
/// They were not accepted, or it is not known whether they were.
pub async fn commit_moves_under_lease(
    node: &node::Node,
    token: lease::Token,
    expect: u64,
    moves: &moves::Moves,
) -> Result<u64, Error> {
    write_moves(node, expect, moves, vec![token.check()]).await
}

async fn write_moves(
    node: &node::Node,
    expect: u64,
    moves: &moves::Moves,
    checks: Vec<platform::Check>,
) -> Result<u64, Error> {
    let Some(platform) = node.platform() else { return write_moves_alone(node, expect, moves) };
    let until = Instant::now() + COMMIT_LIMIT;
    let (revision, last) = match read(platform, MOVES_KEY).await? {
        Some(row) => (row.revision, Some(parse::<StoredMoves>(row.value)?)),
        None => (0, None),
    };
    if revision != expect {
        return Err(Error::Raced(revision));
    }
    let stamp = stamp::Stamp::after(last.as_ref().map(|stored| (&stored.stamp, revision)));
    let change = stamp.change;
    let stored = StoredMoves { stamp, moves: moves.clone() };
    let write = write_of(MOVES_KEY, revision, &stored);
    let written = write_settled(platform, write, checks, change, until).await?;
    node.apply(written, replica::Content::Moves(Rc::new(stored.moves)));
    Ok(written)
}

fn write_moves_alone(node: &node::Node, expect: u64, moves: &moves::Moves) -> Result<u64, Error> {
    if !node.members().others().is_empty() {
        return Err(Error::NoPlatform);
    }
    let revision = node.rows().revisions.moves;
    if revision != expect {
        return Err(Error::Raced(revision));
    }
    node.apply(revision + 1, replica::Content::Moves(Rc::new(moves.clone())));
    Ok(revision + 1)
}

/// Writes a row that must not be there, for a change whose id no other change has; returns its revision.
///
/// # Errors
///
/// [`Error::Raced`]: another change made the row. Otherwise it is not known to be written.
pub async fn create_row(
    platform: &platform::Client,
    key: &str,
    change: call::Id,
    until: Instant,
) -> Result<u64, Error> {
    let stamp = stamp::Stamp { change, predecessors: Vec::new() };
    write_settled(platform, write_of(key, 0, &stamp), Vec::new(), change, until).await
}

/// Removes a row that is at revision `expect`; one that was changed since stays.
///
/// # Errors
///
/// The platform gave no answer until then.
pub async fn remove_row(
    platform: &platform::Client,
    key: &str,
    expect: u64,
    until: Instant,
) -> Result<(), Error> {
    let write = platform::Write { key: key.to_owned(), expect, value: serde_json::Value::Null };
    let transaction = platform::Transaction { writes: vec![write], checks: Vec::new() };
    for attempt in 0.. {
        // A row at another revision was removed by an earlier try, or is another call's.
        if platform.transact(&transaction).await.is_ok() {
            return Ok(());
        }
        if Instant::now() >= until {
            break;
        }
        monoio::time::sleep(pause(attempt)).await;
    }
    Err(Error::Unavailable)
}

fn write_of<T>(key: &str, expect: u64, value: &T) -> platform::Write
where
    T: Serialize,
{
    let value = serde_json::to_value(value).expect("a row is plain data");
    platform::Write { key: key.to_owned(), expect, value }
}

fn parse<T>(value: serde_json::Value) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_value(value).map_err(|_| Error::Malformed)
}

/// Reads a row before anything is written.
async fn read(platform: &platform::Client, key: &str) -> Result<Option<platform::Row>, Error> {
    for attempt in 0..TRIES {
        match platform.read(key, 0).await {
            Ok(platform::Read::Found(row)) => return Ok(Some(row)),
            Ok(platform::Read::Absent) => return Ok(None),
            Ok(platform::Read::Unchanged) | Err(_) => monoio::time::sleep(pause(attempt)).await,
        }
    }
    Err(Error::Unavailable)
}

/// Writes a row, and finds out what became of the write when no answer comes.
///
/// The same write is sent again: its condition lets it take effect once at most, and once it is
/// refused, neither can one that is still under way.
async fn write_settled(
    platform: &platform::Client,
    write: platform::Write,
    checks: Vec<platform::Check>,
    change: call::Id,
    until: Instant,
) -> Result<u64, Error> {
    if Instant::now() >= until {
        return Err(Error::Unavailable);
    }
    let until = until.min(Instant::now() + WRITE_LIMIT);
    let key = write.key.clone();
    let before = write.expect;
    let transaction = platform::Transaction { writes: vec![write], checks };
    let mut may_have_taken_effect = false;
    for attempt in 0.. {
        match platform.transact(&transaction).await {
            Ok(platform::Outcome::Written(revision)) => return Ok(revision),
            Ok(platform::Outcome::Conflict) => break,
            Err(error) => may_have_taken_effect |= error.may_have_taken_effect(),
        }
        // A change that is seen has taken effect; while the row is as it was, one that is not may yet do so.
        if may_have_taken_effect {
            match seen(platform, &key, change, before).await {
                Some((_, stamp::Outcome::Written(revision))) => return Ok(revision),
                Some((revision, stamp::Outcome::NotWritten)) => return Err(Error::Raced(revision)),
                Some((_, stamp::Outcome::Pending | stamp::Outcome::Unknown)) | None => {}
            }
        }
        if Instant::now() >= until {
            return Err(if may_have_taken_effect { Error::Unknown } else { Error::Unavailable });
        }
        monoio::time::sleep(pause(attempt)).await;
    }
    settle(platform, &key, change, before, may_have_taken_effect, until).await
}

/// A row's revision, and what the row says of a change.
async fn seen(
    platform: &platform::Client,
    key: &str,
    change: call::Id,
    before: u64,
) -> Option<(u64, stamp::Outcome)> {
    let Ok(platform::Read::Found(row)) = platform.read(key, 0).await else { return None };
    let stamp: stamp::Stamp = serde_json::from_value(row.value).ok()?;
    Some((row.revision, stamp.outcome(row.revision, change, before)))
}

/// Finds out by reading what became of a change after a write of it was refused.
async fn settle(
    platform: &platform::Client,
    key: &str,
    change: call::Id,
    before: u64,
    may_have_taken_effect: bool,
    until: Instant,
) -> Result<u64, Error> {
    for attempt in 0.. {
        if let Ok(platform::Read::Found(row)) = platform.read(key, 0).await {
            let stamp: Result<stamp::Stamp, _> = serde_json::from_value(row.value);
            let outcome = stamp.map(|stamp| stamp.outcome(row.revision, change, before));
            return match outcome {
                Ok(stamp::Outcome::Written(revision)) => Ok(revision),
                Ok(stamp::Outcome::Pending) => Err(Error::NoLease),
                Ok(stamp::Outcome::NotWritten) => Err(Error::Raced(row.revision)),
                _ if may_have_taken_effect => Err(Error::Unknown),
                _ => Err(Error::Raced(row.revision)),
            };
        }
        if Instant::now() >= until {
            break;
        }
        monoio::time::sleep(pause(attempt)).await;
    }
    match may_have_taken_effect {
        true => Err(Error::Unknown),
        false => Err(Error::Raced(before + 1)),
    }
}

/// The pause before a request is sent again: it doubles, and jitter keeps hosts out of step.
fn pause(attempt: u32) -> Duration {
    let doubled = FIRST_PAUSE.saturating_mul(1 << attempt.min(10));
    doubled.min(MAX_PAUSE).mul_f64(0.5 + fastrand::f64())
}
