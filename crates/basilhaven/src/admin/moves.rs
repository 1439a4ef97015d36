//! Operators' orders on moves (of a service's traffic to another version), and the status of moves.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use super::Page;
use crate::moves::{self, coordinator, evidence, halt, schedule};
use crate::{call, commit, name, node, platform, service, upstream};

/// Path prefix of the pages of single moves.
pub(super) const PREFIX: &str = "/v1/moves/";

/// Maximum number of attempts at writing an order to the row of moves; an attempt fails if another
/// host has written the row in the meantime.
const MAX_ATTEMPTS: usize = 5;

/// An order to move a service's traffic to another version.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// The new version, which receives the traffic.
    pub to: name::Name,
    /// The version that has the traffic; required if it cannot be determined otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<name::Name>,
    /// Time by which all traffic should have moved, in milliseconds since the Unix epoch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "by_ms")]
    pub deadline: Duration,
}

/// Reason for refusing an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The body is not a valid order.
    #[display("{_0}")]
    Malformed(String),
    /// There is no such service.
    #[display("service {_0:?} does not exist")]
    Service(String),
    /// No upstream of the service runs the version.
    #[display("no upstream of the service runs version {_0}")]
    Version(name::Name),
    /// The version that has the traffic cannot be determined.
    #[display("`from` is required: the version that has the traffic cannot be determined")]
    From,
    /// The deadline is too soon to evaluate the new version; the minimum time in milliseconds.
    #[display(
        "the deadline is too soon to evaluate the new version: at least {_0} ms are required"
    )]
    TooSoon(u64),
    /// A move of the service is running already.
    #[display("a move of this service is already running")]
    Running,
    /// No move of the service is running.
    #[display("no move of this service is running")]
    NotRunning,
    /// The order could not be written to the row of moves.
    #[display("{_0}")]
    Commit(commit::Error),
}

/// Response to an accepted order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Identifier of the move.
    pub id: call::Id,
    /// Revision of the row of moves that includes the order; `None` if the order is not written to
    /// the platform's table yet, but has been announced to the hosts.
    pub revision: Option<u64>,
}

/// Status of a move as seen by this host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The move as in the row of moves.
    pub current: moves::Move,
    /// Phase, as text.
    pub phase: String,
    /// Shares of idempotent and of at-most-once calls in force on this host, in hundredths of a per
    /// cent.
    pub in_force: (u16, u16),
    /// Halt of the move, if there is one; the row of moves records the rollback once the platform
    /// is available.
    #[serde(rename = "braked")]
    pub halt: Option<halt::Halt>,
    /// Whether the move is still running after its deadline.
    #[serde(rename = "late")]
    pub is_late: bool,
    /// Reason why the move stays at its current stage; `None` on all hosts but the coordinator.
    #[serde(rename = "wait")]
    pub hold: Option<String>,
    /// Hosts that may coordinate moves.
    pub candidates: Vec<name::Name>,
    /// Whether this host is the coordinator.
    #[serde(rename = "steers")]
    pub is_coordinator: bool,
    /// Whether `routes` counts the calls of all hosts. If false, `routes` counts only the calls of
    /// this host.
    #[serde(rename = "of_all_hosts")]
    pub covers_all_hosts: bool,
    /// Counts of calls to the old and to the new version, by route.
    pub routes: Vec<Route>,
}

/// Calls of one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route.
    pub route: evidence::Route,
    /// Counts of the calls of this route to the old and to the new version.
    pub calls: evidence::Pair,
}

/// Lists the status of all moves.
pub(super) fn list(node: &node::Node) -> Page {
    let rows = node.rows();
    let all: IndexMap<name::Name, Status> =
        rows.moves.0.iter().map(|(s, m)| (s.clone(), status(node, s, m))).collect();
    Page::json(http::StatusCode::OK, &all)
}

fn status(node: &node::Node, service: &name::Name, current: &moves::Move) -> Status {
    let coordinator = node.coordinator();
    let split = node.service(service.as_str()).and_then(|service| service.split());
    let aggregated = coordinator.evidence(current.id);
    let covers_all_hosts = aggregated.is_some();
    let own_evidence = || split.as_ref().map(|split| split.monitor().evidence());
    let evidence = aggregated.or_else(own_evidence).unwrap_or_default();
    let is_running = current.phase == moves::Phase::Running;
    Status {
        current: current.clone(),
        phase: current.phase.to_string(),
        in_force: split.as_ref().map(|split| split.shares()).unwrap_or_default(),
        halt: node.halts().get(current.id).map(|halt| (*halt).clone()),
        is_late: is_running && moves::since_epoch() > current.deadline,
        hold: coordinator.hold(current.id).map(|hold| hold.to_string()),
        candidates: coordinator::candidates(node).into_iter().map(|host| host.name).collect(),
        is_coordinator: coordinator.is_active(),
        covers_all_hosts,
        routes: evidence.0.into_iter().map(|(route, calls)| Route { route, calls }).collect(),
    }
}

/// Handles an order on the move of one service; `target` is the part of the path after [`PREFIX`].
pub(super) async fn handle(node: &node::Node, target: &str, body: &[u8]) -> Page {
    let result = match target.split_once('/') {
        None => start(node, target, body).await,
        Some((service, "back")) => roll_back(node, service).await,
        Some(_) => return Page::text(http::StatusCode::NOT_FOUND, "no such page\n"),
    };
    tracing::info!(event = "move_order", target, ?result);
    match result {
        Ok(accepted) if accepted.revision.is_none() => {
            Page::json(http::StatusCode::ACCEPTED, &accepted)
        }
        Ok(accepted) => Page::json(http::StatusCode::OK, &accepted),
        Err(refusal) => Page::json(status_of(&refusal), &refusal),
    }
}

fn status_of(refusal: &Refusal) -> http::StatusCode {
    match refusal {
        Refusal::Malformed(_) => http::StatusCode::BAD_REQUEST,
        Refusal::Service(_) => http::StatusCode::NOT_FOUND,
        Refusal::Version(_) | Refusal::From | Refusal::TooSoon(_) => {
            http::StatusCode::UNPROCESSABLE_ENTITY
        }
        Refusal::Running | Refusal::NotRunning => http::StatusCode::CONFLICT,
        Refusal::Commit(error) => super::orders::status_of(error),
    }
}

fn service_of(node: &node::Node, raw: &str) -> Result<std::rc::Rc<service::Service>, Refusal> {
    node.service(raw).ok_or_else(|| Refusal::Service(raw.to_owned()))
}

async fn start(node: &node::Node, raw: &str, body: &[u8]) -> Result<Accepted, Refusal> {
    let parsed = serde_json::from_slice(body);
    let order: Start = parsed.map_err(|error| Refusal::Malformed(error.to_string()))?;
    let service = service_of(node, raw)?;
    let is_open = |u: &std::rc::Rc<upstream::Upstream>| {
        u.state() == upstream::State::Open && u.version() == order.to
    };
    if !service.upstreams().iter().any(is_open) {
        return Err(Refusal::Version(order.to));
    }
    if order.deadline < moves::since_epoch() + schedule::MIN_TIME {
        return Err(Refusal::TooSoon(schedule::MIN_TIME.as_millis() as u64));
    }
    for _ in 0..MAX_ATTEMPTS {
        let (revision, mut moves) = read(node).await.map_err(Refusal::Commit)?;
        let before = moves.0.get(service.name());
        if before.is_some_and(|m| m.phase == moves::Phase::Running) {
            return Err(Refusal::Running);
        }
        let from = version_in_use(&service, before, &order)?;
        let started = moves::Move::start(from, order.to.clone(), order.deadline);
        let id = started.id;
        tracing::info!(
            event = "move_started",
            service = %service.name(),
            %id,
            from = %started.from,
            to = %started.to,
            by_ms = started.deadline.as_millis() as u64,
        );
        moves.0.insert(service.name().clone(), started);
        match commit::commit_moves(node, revision, &moves).await {
            Err(commit::Error::Raced(_)) => {}
            Ok(revision) => return Ok(Accepted { id, revision: Some(revision) }),
            Err(error) => return Err(Refusal::Commit(error)),
        }
    }
    Err(Refusal::Commit(commit::Error::Raced(node.rows().revisions.moves)))
}

/// Returns the revision and the contents of the row of moves: from the platform's table, or, if no
/// platform is configured, from this host's copy.
async fn read(node: &node::Node) -> Result<(u64, moves::Moves), commit::Error> {
    let Some(platform) = node.platform() else {
        let rows = node.rows();
        return Ok((rows.revisions.moves, (*rows.moves).clone()));
    };
    match platform.read(commit::MOVES_KEY, 0).await {
        Ok(platform::Read::Found(row)) => {
            let stored: Result<commit::MovesRow, _> = serde_json::from_value(row.value);
            stored.map(|s| (row.revision, s.moves)).map_err(|_| commit::Error::Malformed)
        }
        Ok(platform::Read::Absent | platform::Read::Unchanged) => Ok((0, moves::Moves::default())),
        Err(_) => Err(commit::Error::Unavailable),
    }
}

/// Returns the version that has the traffic: the one given in the order, or the result of the last
/// move, or the service's active version, or the only other version with upstreams.
fn version_in_use(
    service: &service::Service,
    before: Option<&moves::Move>,
    order: &Start,
) -> Result<name::Name, Refusal> {
    let last_result = before.map(|m| match m.phase {
        moves::Phase::Done => m.to.clone(),
        moves::Phase::Running | moves::Phase::RolledBack(_) => m.from.clone(),
    });
    let mut others: Vec<name::Name> = service.upstreams().iter().map(|u| u.version()).collect();
    others.retain(|version| *version != order.to);
    others.sort();
    others.dedup();
    let only_other = || <[name::Name; 1]>::try_from(others.clone()).ok().map(|[only]| only);
    let in_use = last_result.or_else(|| service.active_version()).filter(|v| others.contains(v));
    let from = order.from.clone().or(in_use).or_else(only_other);
    let from = from.ok_or(Refusal::From)?;
    if others.contains(&from) {
        Ok(from)
    } else {
        Err(Refusal::Version(from))
    }
}

/// Rolls a move back by an operator's order. The halt reaches all hosts at once, and the row is
/// written as soon as the platform is available.
async fn roll_back(node: &node::Node, raw: &str) -> Result<Accepted, Refusal> {
    let service = service_of(node, raw)?;
    let rows = node.rows();
    let current = rows.moves.0.get(service.name());
    let current = current.filter(|m| m.phase == moves::Phase::Running);
    let id = current.ok_or(Refusal::NotRunning)?.id;
    let host = node.settings().name.clone();
    let reason = halt::Reason::Ordered;
    node.halt_move(halt::Halt { service: service.name().clone(), id, host, reason });
    for _ in 0..MAX_ATTEMPTS {
        // If the platform is unavailable, the coordinator writes the row once the platform is back.
        let Ok((revision, mut moves)) = read(node).await else { break };
        let current = moves.0.get_mut(service.name()).filter(|m| m.id == id);
        let Some(current) = current else { break };
        if matches!(current.phase, moves::Phase::RolledBack(_)) {
            return Ok(Accepted { id, revision: Some(revision) });
        }
        current.roll_back(halt::Reason::Ordered.to_string());
        if let Ok(revision) = commit::commit_moves(node, revision, &moves).await {
            tracing::info!(event = "move_taken_back", service = %service.name(), %id, revision);
            return Ok(Accepted { id, revision: Some(revision) });
        }
    }
    Ok(Accepted { id, revision: None })
}
