//! Operators' orders, and the resulting configuration.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Page;
use crate::http1::head;
use crate::{commit, config, finding, member, node, order};

/// Header field that lets an order take effect although it names an unknown target, or leaves a
/// service without an open upstream or callers without an entry host.
const FORCE_HEADER: &str = "basilhaven-force";

/// The configuration in force, with its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Revision of the configuration.
    pub revision: u64,
    /// The configuration itself.
    pub document: config::Document,
}

/// Response to an accepted order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision of the configuration that includes the order.
    pub revision: u64,
}

/// Returns the configuration in force on this host.
pub(super) fn config(node: &node::Node) -> Page {
    let rows = node.rows();
    let config =
        Config { revision: rows.revisions.config, document: config::Document::clone(&rows.config) };
    Page::json(http::StatusCode::OK, &config)
}

/// Handles an order. With an `if-match` field, the order takes effect only if the configuration is
/// at that revision.
pub(super) async fn handle(node: &node::Node, request: &head::Request, body: &[u8]) -> Page {
    let order = match order::Order::try_from(body) {
        Ok(order) => order,
        Err(findings) => {
            return Page::json(http::StatusCode::BAD_REQUEST, &commit::Error::Wrong(findings));
        }
    };
    let condition = match condition(&request.parts.headers) {
        Ok(condition) => condition,
        Err(findings) => {
            return Page::json(http::StatusCode::BAD_REQUEST, &commit::Error::Wrong(findings));
        }
    };
    let result = commit::commit(node, &order, condition).await;
    tracing::info!(event = "order", ?order, ?result);
    match result {
        Ok(revision) => Page::json(http::StatusCode::OK, &Accepted { revision }),
        Err(error) => Page::json(status_of(&error), &error),
    }
}

/// Parses the header fields `if-match` and `basilhaven-force`.
fn condition(headers: &http::HeaderMap) -> Result<commit::Condition, finding::Findings> {
    let mut findings = finding::Findings::default();
    let mut condition = commit::Condition::default();
    if let Some(value) = headers.get(http::header::IF_MATCH) {
        let revision = value.to_str().ok().and_then(|v| v.trim_matches('"').parse().ok());
        if revision.is_none() {
            findings.add("if-match", "must be a revision");
        }
        condition.expect = revision;
    }
    match headers.get(FORCE_HEADER).map(http::HeaderValue::as_bytes) {
        None | Some(b"0") => {}
        Some(b"1") => condition.force = true,
        Some(_) => findings.add(FORCE_HEADER, "must be 0 or 1"),
    }
    findings.into_result(condition)
}

/// Hosts on which a revision of the configuration is in force, as far as this host knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The requested revision.
    pub revision: u64,
    /// Hosts on which it, or a later revision, is in force.
    pub in_force: Vec<String>,
    /// Hosts that have not confirmed it; a host that this one has never been in contact with is
    /// listed by its peer address.
    pub missing: Vec<String>,
}

/// Returns the hosts that have confirmed the revision in the query, or else the one in force on
/// this host.
pub(super) fn confirmed(node: &node::Node, query: &str) -> Page {
    let rows = node.rows();
    let requested = query.split('&').find_map(|pair| pair.strip_prefix("revision="));
    let revision = match requested.map(str::parse) {
        None => rows.revisions.config,
        Some(Ok(revision)) => revision,
        Some(Err(_)) => {
            return Page::text(http::StatusCode::BAD_REQUEST, "revision: must be a number\n");
        }
    };
    let mut hosts = node.members().others();
    hosts.push(node.members().own());
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    let (in_force, behind): (Vec<&member::Host>, Vec<&member::Host>) =
        hosts.iter().partition(|host| host.revisions.config >= revision);
    let mut missing: Vec<String> = behind.iter().map(|host| host.name.to_string()).collect();
    let dead = node.members().with_health(member::Health::Dead);
    missing.extend(unreachable(&rows.hosts.entries, &hosts, &dead));
    if rows.hosts.entries.is_empty() {
        missing.extend(unconfirmed(&dead, revision));
    }
    let in_force = in_force.iter().map(|host| host.name.to_string()).collect();
    Page::json(http::StatusCode::OK, &Confirmed { revision, in_force, missing })
}

/// Returns the entry hosts on the platform's list that are not among the live hosts, by name if it
/// is known and by peer address otherwise.
fn unreachable(
    entries: &[SocketAddr],
    live: &[member::Host],
    dead: &[member::Host],
) -> Vec<String> {
    let missing = entries.iter().filter(|entry| !live.iter().any(|host| host.peer == **entry));
    let labels = missing.map(|entry| match dead.iter().find(|host| host.peer == *entry) {
        Some(host) => host.name.to_string(),
        None => entry.to_string(),
    });
    labels.collect()
}

/// Returns the dead hosts that may come back without having applied a revision.
fn unconfirmed(dead: &[member::Host], revision: u64) -> Vec<String> {
    let behind = dead.iter().filter(|host| !host.leaving && host.revisions.config < revision);
    behind.map(|host| host.name.to_string()).collect()
}

pub(super) fn status_of(error: &commit::Error) -> http::StatusCode {
    match error {
        commit::Error::Wrong(_) => http::StatusCode::UNPROCESSABLE_ENTITY,
        commit::Error::Raced(_) | commit::Error::NoPlatform | commit::Error::NoLease => {
            http::StatusCode::CONFLICT
        }
        commit::Error::Unavailable | commit::Error::Malformed => {
            http::StatusCode::SERVICE_UNAVAILABLE
        }
        commit::Error::Unknown => http::StatusCode::GATEWAY_TIMEOUT,
    }
}
