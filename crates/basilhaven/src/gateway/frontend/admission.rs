//! Decides whether a request is served, before an upstream is looked for.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderMap};

use super::{attempts, id_text, Frontend, Source};
use crate::gateway::{access, attempt, forward, protocol, relay, route};
use crate::http1::{body, head};

/// Time that a stopping host reserves for delivering a response before it exits: several round
/// trips to a caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Takes the terms of a call that another host passes on from its request; a caller's request has
/// none. Returns an error if this host must not place the call, because it has an older
/// configuration.
pub(super) fn take_terms(
    headers: &mut HeaderMap,
    table: &route::Table,
    source: Source,
) -> Result<Option<forward::Terms>, Rejection> {
    let Source::Host(sender) = source else { return Ok(None) };
    let terms = forward::Terms::try_from(&*headers);
    forward::remove_terms(headers);
    match terms {
        Ok(mut terms) if terms.version <= table.version => {
            terms.is_key_checked &= sender == relay::Sender::KnowsOrganisations;
            Ok(Some(terms))
        }
        Ok(terms) => {
            tracing::info!(event = "configuration_behind", version = table.version, terms.version);
            Err(Rejection::NotRun)
        }
        Err(error) => {
            tracing::warn!(event = "terms_unreadable", %error);
            Err(Rejection::NotRun)
        }
    }
}

/// Why a request is not served, before an upstream is looked for.
#[derive(Debug, Clone, Copy)]
pub(super) enum Rejection {
    /// Another host may serve it.
    NotRun,
    /// No host with this configuration serves it.
    Status(http::StatusCode),
}

impl Rejection {
    /// Returns the reply to the caller.
    pub(super) fn reply(self) -> attempts::Reply {
        match self {
            Rejection::NotRun => attempts::Reply::refused(),
            Rejection::Status(status) => attempts::Reply::rejected(status),
        }
    }
}

/// A request that has a route and may be served.
pub(super) struct Admission {
    /// The configuration by which it was decided.
    pub table: Rc<route::Table>,
    pub route: Rc<route::Route>,
    organisation: Option<access::Organisation>,
    /// Whether the header fields of keys and organisations have a meaning, and are removed.
    is_key_checked: bool,
}

/// Finds the route of a request and checks its key, unless the host that passes it on has done that.
/// Returns an error if the request is not served.
pub(super) fn admit(
    frontend: &Frontend,
    request: &head::Request,
    table: Rc<route::Table>,
    terms: Option<&forward::Terms>,
) -> Result<Admission, Rejection> {
    let (parts, names) = (&request.parts, &frontend.protocol.headers);
    let host = head::host(parts).unwrap_or_default();
    let Some(route) = table.find(host, parts.uri.path()).cloned() else {
        tracing::info!(event = "no_route", host, version = table.version);
        return Err(Rejection::Status(http::StatusCode::NOT_FOUND));
    };
    if terms.is_some_and(|terms| terms.is_key_checked) {
        let name = parts.headers.get(&names.organisation);
        let name = name.and_then(|name| std::str::from_utf8(name.as_bytes()).ok());
        let organisation = name.map(|name| access::Organisation {
            name: name.into(),
            priority: table.directory.priority_of(name),
        });
        return Ok(Admission { table, route, organisation, is_key_checked: true });
    }
    let key = access::presented_key(&parts.headers, &names.key);
    match table.directory.check(&route, key) {
        access::Decision::Allowed(organisation) => {
            let is_key_checked = table.directory.is_on();
            Ok(Admission { table, route, organisation, is_key_checked })
        }
        access::Decision::Denied => {
            metrics::counter!("basilhaven_keys_refused_total").increment(1);
            let id = parts.headers.get(&names.request_id).and_then(|id| id.to_str().ok());
            tracing::info!(
                event = "key_refused",
                id,
                route = &*route.name,
                version = table.version,
                has_key = parts.headers.contains_key(&names.key),
            );
            Err(Rejection::Status(http::StatusCode::UNAUTHORIZED))
        }
    }
}

/// Returns whether this host exits before a call with this deadline is sure to have ended, and logs
/// that.
pub(super) fn stops_before(
    frontend: &Frontend,
    deadline: Instant,
    request: &head::Request,
    route: &route::Route,
) -> bool {
    let is_too_late = frontend.exit_at.get().is_some_and(|end| deadline + RESPONSE_MARGIN > end);
    if is_too_late {
        let id = id_text(frontend, request);
        tracing::info!(event = "stopping_too_soon", id, route = &*route.name);
    }
    is_too_late
}

/// Returns how long the caller of a request still waits, if the request says so.
pub(super) fn parse_timeout(headers: &HeaderMap, names: &protocol::Headers) -> Option<Duration> {
    let ms = headers.get(&names.deadline_ms)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

/// Returns when the call ends: at the caller's deadline, or after the route's timeout.
pub(super) fn deadline(
    frontend: &Frontend,
    request: &head::Request,
    route: &route::Route,
    started: Instant,
) -> Instant {
    let timeout = parse_timeout(&request.parts.headers, &frontend.protocol.headers);
    started + timeout.unwrap_or(route.timeout).min(route.timeout)
}

pub(super) fn build_call(
    frontend: &Frontend,
    request: head::Request,
    body: body::Held,
    admission: &Admission,
    deadline: Instant,
) -> attempt::Call {
    let (route, organisation) = (&admission.route, admission.organisation.as_ref());
    let names = &frontend.protocol.headers;
    let mut parts = request.parts;
    head::remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(header::EXPECT);
    if admission.is_key_checked {
        parts.headers.remove(&names.key);
        parts.headers.remove(&names.organisation);
    }
    let id = parts.headers.get(&names.request_id).cloned();
    attempt::Call {
        parts,
        body,
        id,
        idempotency: route.idempotency,
        deadline,
        organisation: organisation.map(|organisation| Rc::clone(&organisation.name)),
        priority: organisation.and_then(|known| known.priority).unwrap_or(route.priority),
    }
}
