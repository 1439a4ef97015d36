//! Writes to the platform's table, which are reported as accepted only once they are known to have
//! taken effect.
//!
//! A change is one write of a row, identified by a random id. Each row carries the id of the change
//! that wrote it and the ids of the changes before it. If no response to a write arrives, its
//! outcome is therefore found by reading the row, even if another operator has written it since.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::{call, config, finding, lease, member, moves, node, order, platform, replica, stamp};

/// The key of the row that holds the configuration.
pub const CONFIG_KEY: &str = "basilhaven-config";

/// The key of the row that holds the moves between versions.
pub const MOVES_KEY: &str = "basilhaven-moves";

/// The maximum size of a document that is stored in its row, in bytes; a larger one is stored in an
/// object.
pub const MAX_ROW_LEN: usize = 64 * 1024;

/// The maximum size of a document, in bytes.
pub const MAX_DOCUMENT_LEN: usize = 2 * 1024 * 1024;

/// Time for which a write without a response is repeated.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time from the start of a commit in which it may begin another request. The limit lets the result
/// reach operators before their requests time out.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(6);

/// The delay before the first retry of a request.
const MIN_BACKOFF: Duration = Duration::from_millis(40);

/// The maximum delay before a retry of a request, without jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// The maximum number of attempts for a request that precedes the write of the row. If all of them
/// fail, the commit fails with the row unchanged.
const MAX_ATTEMPTS: u32 = 2;

/// The content of the configuration's row.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ConfigRow {
    /// The changes that led to this content.
    #[serde(flatten)]
    pub stamp: stamp::Stamp,
    /// The document, or a reference to the object that holds it.
    #[serde(flatten)]
    pub body: Body,
    /// The key of the object that held the previous document; the next change deletes it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub old_object: Option<String>,
}

/// The document of a row, or a reference to the object that holds it.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// The document.
    Document(Box<config::Document>),
    /// The object that holds a document too large for a row.
    Object(Object),
}

/// A reference to an object in the platform's object store. An object is never changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The key of the object.
    pub key: String,
    /// The SHA-256 of the content in lower-case hexadecimal.
    pub sha256: String,
}

impl TryFrom<serde_json::Value> for ConfigRow {
    type Error = finding::Findings;

    fn try_from(mut value: serde_json::Value) -> Result<ConfigRow, finding::Findings> {
        #[derive(Deserialize)]
        struct OtherFields {
            #[serde(flatten)]
            stamp: stamp::Stamp,
            object: Option<Object>,
            old_object: Option<String>,
        }
        let mut findings = finding::Findings::default();
        let document = value.as_object_mut().and_then(|fields| fields.remove("document"));
        let fields: Option<OtherFields> = findings.ok_or_add("row", serde_json::from_value(value));
        let Some(OtherFields { stamp, object, old_object }) = fields else { return Err(findings) };
        let body = match (document, object) {
            (Some(document), _) => Body::Document(Box::new(config::Document::try_from(document)?)),
            (None, Some(object)) => Body::Object(object),
            (None, None) => {
                findings.add("row", "holds neither a document nor an object");
                return Err(findings);
            }
        };
        Ok(ConfigRow { stamp, body, old_object })
    }
}

impl ConfigRow {
    /// Returns the document, or `None` if the object that holds it cannot be read at present.
    ///
    /// # Errors
    ///
    /// Returns an error if the object does not have the expected hash or holds no valid document.
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
            findings.add(&object.key, "does not have the SHA-256 that its row states");
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

/// The content of the row of the moves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MovesRow {
    /// The changes that led to this content.
    #[serde(flatten)]
    pub stamp: stamp::Stamp,
    /// The moves.
    pub moves: moves::Moves,
}

/// The reason why an order was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Error {
    /// The order would make the configuration invalid, or it has objections (see
    /// [`order::Inventory::objections`]) and was not forced.
    #[display("{_0}")]
    Wrong(finding::Findings),
    /// The row has a newer revision, which is given: another change was written first. Nothing was
    /// changed.
    #[display("the row is at revision {_0} or later already; nothing was changed")]
    Raced(u64),
    /// The platform did not respond, and nothing was changed.
    #[display("the platform gives no answer; nothing was changed")]
    Unavailable,
    /// The platform did not respond after the write, which may have taken effect or may yet do so.
    #[display("the platform gives no answer after the write; whether it took effect is not known")]
    Unknown,
    /// The row in the table is malformed; nothing was changed.
    #[display("the row in the platform's table is malformed; nothing was changed")]
    Malformed,
    /// The lease's row no longer has the revision that the write depends on; nothing was changed.
    #[display("the lease is lost; nothing was changed")]
    NoLease,
    /// No platform is configured, and this host knows other hosts, with which it could not agree on
    /// an order.
    #[display("without a platform, a host takes orders only while it knows no other")]
    NoPlatform,
}

/// The conditions under which an order takes effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Condition {
    /// The revision that the configuration must have, if any.
    pub expect: Option<u64>,
    /// Whether the order takes effect regardless of [`order::Inventory::objections`].
    pub force: bool,
}

impl Condition {
    /// Applies an order to the document at `revision`, and returns the resulting document.
    fn applied(
        &self,
        order: &order::Order,
        document: &config::Document,
        revision: u64,
        inventory: &order::Inventory,
    ) -> Result<config::Document, Error> {
        if self.expect.is_some_and(|expect| expect != revision) {
            return Err(Error::Raced(revision));
        }
        let next = order.applied_to(document).map_err(Error::Wrong)?;
        if !self.force {
            let objections = inventory.objections(order, document, &next);
            objections.into_result(()).map_err(Error::Wrong)?;
        }
        Ok(next)
    }
}

/// Commits an order if the condition holds, and returns the revision at which it took effect.
///
/// # Errors
///
/// Returns an error if the order was not accepted or if its outcome is not known.
pub async fn commit(
    node: &node::Node,
    order: &order::Order,
    condition: Condition,
) -> Result<u64, Error> {
    let Some(platform) = node.platform() else { return commit_locally(node, order, condition) };
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    let (revision, last) = match read(platform, CONFIG_KEY).await? {
        Some(row) => {
            let stored = ConfigRow::try_from(row.value).map_err(|_| Error::Malformed)?;
            (row.revision, Some(stored))
        }
        None => (0, None),
    };
    let document = match &last {
        Some(stored) => stored.document(platform).await.map_err(|_| Error::Malformed)?,
        None => Some(node.settings().document.clone()),
    };
    let document = document.ok_or(Error::Unavailable)?;
    let next = condition.applied(order, &document, revision, &inventory(node))?;
    let stamp = stamp::Stamp::after(last.as_ref().map(|stored| (&stored.stamp, revision)));
    let change = stamp.change;
    let body = store_document(platform, change, &next).await?;
    let old_object = last.as_ref().and_then(ConfigRow::object_key).map(str::to_owned);
    let stored = ConfigRow { stamp, body, old_object };
    let write = conditional_write(CONFIG_KEY, revision, &stored);
    let result = write_confirmed(platform, write, Vec::new(), change, deadline).await;
    let unused_object = match result {
        Ok(_) => last.as_ref().and_then(|last| last.old_object.as_deref()),
        // The write may still take effect, and its object would then be needed.
        Err(Error::Unknown) => None,
        Err(_) => stored.object_key(),
    };
    if let Some(key) = unused_object {
        // If the deletion fails, the object only occupies space.
        let _ = platform.delete_object(key).await;
    }
    let written = result?;
    node.apply(written, replica::Content::Config(Rc::new(next)));
    Ok(written)
}

/// Returns what this host knows of the hosts and upstreams that an order may name.
fn inventory(node: &node::Node) -> order::Inventory {
    let serving = node.members().serving();
    let mut others = node.members().others();
    others.push(node.members().own());
    others.extend(node.members().with_health(member::Health::Dead));
    others.retain(|host| !serving.contains(host));
    order::Inventory { hosts: node.rows().hosts, serving, others }
}

/// Returns the body for a document; writes the document to a new object if it is too large for the
/// row.
async fn store_document(
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
    for attempt in 0..MAX_ATTEMPTS {
        if platform.put_object(&object.key, content.clone()).await.is_ok() {
            return Ok(Body::Object(object));
        }
        monoio::time::sleep(backoff(attempt)).await;
    }
    Err(Error::Unavailable)
}

/// Commits an order on a host that has no platform and knows no other host.
fn commit_locally(
    node: &node::Node,
    order: &order::Order,
    condition: Condition,
) -> Result<u64, Error> {
    if !node.members().others().is_empty() {
        return Err(Error::NoPlatform);
    }
    let rows = node.rows();
    let revision = rows.revisions.config;
    let next = condition.applied(order, &rows.config, revision, &inventory(node))?;
    node.apply(revision + 1, replica::Content::Config(Rc::new(next)));
    Ok(revision + 1)
}

/// Replaces the moves at revision `expect` (0 if there are none), and returns the revision at which
/// the new ones took effect. Serves operators' orders and halts, which any host may write.
///
/// # Errors
///
/// Returns an error if the moves were not accepted or if the outcome is not known.
pub async fn commit_moves(
    node: &node::Node,
    expect: u64,
    moves: &moves::Moves,
) -> Result<u64, Error> {
    write_moves(node, expect, moves, Vec::new()).await
}

/// Replaces the moves like [`commit_moves`], but only while the lease's row has the revision of
/// `token`, that is, until the lease is renewed or another host takes it. A holder that was paused
/// beyond the expiry of its lease therefore cannot overwrite the moves of the next holder.
///
/// # Errors
///
/// Returns an error if the moves were not accepted or if the outcome is not known.
pub async fn commit_as_coordinator(
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
    let Some(platform) = node.platform() else { return write_moves_locally(node, expect, moves) };
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    let (revision, last) = match read(platform, MOVES_KEY).await? {
        Some(row) => (row.revision, Some(parse::<MovesRow>(row.value)?)),
        None => (0, None),
    };
    if revision != expect {
        return Err(Error::Raced(revision));
    }
    let stamp = stamp::Stamp::after(last.as_ref().map(|stored| (&stored.stamp, revision)));
    let change = stamp.change;
    let stored = MovesRow { stamp, moves: moves.clone() };
    let write = conditional_write(MOVES_KEY, revision, &stored);
    let written = write_confirmed(platform, write, checks, change, deadline).await?;
    node.apply(written, replica::Content::Moves(Rc::new(stored.moves)));
    Ok(written)
}

/// Replaces the moves on a host that has no platform and knows no other host.
fn write_moves_locally(node: &node::Node, expect: u64, moves: &moves::Moves) -> Result<u64, Error> {
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

/// Creates a row that must not exist yet, and returns its revision. No other change may have the id
/// `change`.
///
/// # Errors
///
/// Returns [`Error::Raced`] if another change created the row, and another error if the row was not
/// written or the outcome is not known.
pub async fn create_row(
    platform: &platform::Client,
    key: &str,
    change: call::Id,
    deadline: Instant,
) -> Result<u64, Error> {
    let stamp = stamp::Stamp { change, predecessors: Vec::new() };
    write_confirmed(platform, conditional_write(key, 0, &stamp), Vec::new(), change, deadline).await
}

/// Removes a row if it is at revision `expect`; a row that has changed since is kept.
///
/// # Errors
///
/// Returns an error if the platform did not respond before `deadline`.
pub async fn remove_row(
    platform: &platform::Client,
    key: &str,
    expect: u64,
    deadline: Instant,
) -> Result<(), Error> {
    let write = platform::Write { key: key.to_owned(), expect, value: serde_json::Value::Null };
    let transaction = platform::Transaction { writes: vec![write], checks: Vec::new() };
    for attempt in 0.. {
        // A conflict counts as success: an earlier attempt has removed the row, or another call has
        // created it anew since.
        if platform.transact(&transaction).await.is_ok() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            break;
        }
        monoio::time::sleep(backoff(attempt)).await;
    }
    Err(Error::Unavailable)
}

fn conditional_write<T>(key: &str, expect: u64, value: &T) -> platform::Write
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

/// Reads a row before anything is written, with retries.
async fn read(platform: &platform::Client, key: &str) -> Result<Option<platform::Row>, Error> {
    for attempt in 0..MAX_ATTEMPTS {
        match platform.read(key, 0).await {
            Ok(platform::Read::Found(row)) => return Ok(Some(row)),
            Ok(platform::Read::Absent) => return Ok(None),
            Ok(platform::Read::Unchanged) | Err(_) => monoio::time::sleep(backoff(attempt)).await,
        }
    }
    Err(Error::Unavailable)
}

/// Writes a row, and determines the outcome of the write if no response arrives. `change` is the id
/// in the stamp of the row to write.
///
/// The same write is repeated. Its condition lets it take effect at most once, and once it has been
/// refused, an earlier attempt that is still in transit cannot take effect either.
async fn write_confirmed(
    platform: &platform::Client,
    write: platform::Write,
    checks: Vec<platform::Check>,
    change: call::Id,
    deadline: Instant,
) -> Result<u64, Error> {
    if Instant::now() >= deadline {
        return Err(Error::Unavailable);
    }
    let deadline = deadline.min(Instant::now() + WRITE_TIMEOUT);
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
        // A change that the row names has taken effect. As long as the row has its old revision,
        // the write may still take effect.
        if may_have_taken_effect {
            match read_outcome(platform, &key, change, before).await {
                Some((_, stamp::Outcome::Written(revision))) => return Ok(revision),
                Some((revision, stamp::Outcome::NotWritten)) => return Err(Error::Raced(revision)),
                Some((_, stamp::Outcome::Pending | stamp::Outcome::Unknown)) | None => {}
            }
        }
        if Instant::now() >= deadline {
            return Err(if may_have_taken_effect { Error::Unknown } else { Error::Unavailable });
        }
        monoio::time::sleep(backoff(attempt)).await;
    }
    resolve_outcome(platform, &key, change, before, may_have_taken_effect, deadline).await
}

/// Reads the revision of a row and the outcome of a change according to the row's stamp. `before`
/// is the revision that the change was to replace.
async fn read_outcome(
    platform: &platform::Client,
    key: &str,
    change: call::Id,
    before: u64,
) -> Option<(u64, stamp::Outcome)> {
    let Ok(platform::Read::Found(row)) = platform.read(key, 0).await else { return None };
    let stamp: stamp::Stamp = serde_json::from_value(row.value).ok()?;
    Some((row.revision, stamp.outcome(row.revision, change, before)))
}

/// Determines the outcome of a change by reading the row, after a write of the change was refused.
/// `before` is the revision that the change was to replace.
async fn resolve_outcome(
    platform: &platform::Client,
    key: &str,
    change: call::Id,
    before: u64,
    may_have_taken_effect: bool,
    deadline: Instant,
) -> Result<u64, Error> {
    for attempt in 0.. {
        if let Ok(platform::Read::Found(row)) = platform.read(key, 0).await {
            let stamp: Result<stamp::Stamp, _> = serde_json::from_value(row.value);
            let outcome = stamp.map(|stamp| stamp.outcome(row.revision, change, before));
            return match outcome {
                Ok(stamp::Outcome::Written(revision)) => Ok(revision),
                // The row is unchanged, so the write was refused because of its check: the lease's
                // row has changed.
                Ok(stamp::Outcome::Pending) => Err(Error::NoLease),
                Ok(stamp::Outcome::NotWritten) => Err(Error::Raced(row.revision)),
                _ if may_have_taken_effect => Err(Error::Unknown),
                _ => Err(Error::Raced(row.revision)),
            };
        }
        if Instant::now() >= deadline {
            break;
        }
        monoio::time::sleep(backoff(attempt)).await;
    }
    match may_have_taken_effect {
        true => Err(Error::Unknown),
        false => Err(Error::Raced(before + 1)),
    }
}

/// Returns the delay before a retry. It doubles with each attempt, and jitter keeps hosts from
/// retrying at the same time.
fn backoff(attempt: u32) -> Duration {
    let doubled = MIN_BACKOFF.saturating_mul(1 << attempt.min(10));
    doubled.min(MAX_BACKOFF).mul_f64(0.5 + fastrand::f64())
}
