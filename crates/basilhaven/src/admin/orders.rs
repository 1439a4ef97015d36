//! Operators' orders, and the configuration that they lead to.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Page;
use crate::http1::head;
use crate::{commit, config, finding, member, node, order};

/// The header field by which an order takes effect although it names what is not known, or leaves a
/// service without an open upstream or callers without an entry host.
const FORCE: &str = "basilhaven-force";

/// The configuration with its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its revision.
    pub revision: u64,
    /// The document.
    pub document: config::Document,
}

/// What becomes of an order that is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision of the configuration that holds it.
    pub revision: u64,
}

/// The configuration in force on this host.
pub(super) fn config(node: &node::Node) -> Page {
    let rows = node.rows();
    let config =
        Config { revision: rows.revisions.config, document: config::Document::clone(&rows.config) };
    Page::json(http::StatusCode::OK, &config)
}

/// Takes an order; with an `if-match` field, only while the configuration is at that revision.
pub(super) async fn take(node: &node::Node, request: &head::Request, content: &[u8]) -> Page {
    let order = match order::Order::try_from(content) {
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

/// What the header fields say: `if-match` and `basilhaven-force`.
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
    match headers.get(FORCE).map(http::HeaderValue::as_bytes) {
        None | Some(b"0") => {}
        Some(b"1") => condition.force = true,
        Some(_) => findings.add(FORCE, "must be 0 or 1"),
    }
    findings.into_result(condition)
}

/// Which hosts have a revision of the configuration in force, as far as this host knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The revision that was asked for.
    pub revision: u64,
    /// The hosts that have it, or a higher one, in force.
    pub in_force: Vec<String>,
    /// The hosts that have not confirmed it; one that was never heard of is named by its peer
    /// address.
    pub missing: Vec<String>,
}

/// Which hosts have confirmed the revision that the query names, or the one in force here.
pub(super) fn confirmed(node: &node::Node, query: &str) -> Page {
    let rows = node.rows();
    let named = query.split('&').find_map(|pair| pair.strip_prefix("revision="));
    let revision = match named.map(str::parse) {
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
    missing.extend(silent(&rows.hosts.entries, &hosts, &dead));
    if rows.hosts.entries.is_empty() {
        missing.extend(unconfirmed(&dead, revision));
    }
    let in_force = in_force.iter().map(|host| host.name.to_string()).collect();
    Page::json(http::StatusCode::OK, &Confirmed { revision, in_force, missing })
}

/// The entry hosts on the platform's list of which nothing is heard, by name where it is known.
fn silent(entries: &[SocketAddr], heard: &[member::Host], dead: &[member::Host]) -> Vec<String> {
    let silent = entries.iter().filter(|entry| !heard.iter().any(|host| host.peer == **entry));
    let named = silent.map(|entry| match dead.iter().find(|host| host.peer == *entry) {
        Some(host) => host.name.to_string(),
        None => entry.to_string(),
    });
    named.collect()
}

/// The dead hosts that may come back without having seen a revision.
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
