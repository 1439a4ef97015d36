//! Decides whether a request is served, before an upstream is looked for.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderMap};

use super::request_body::log_too_long;
use super::{id_text, Frontend, Source};
use crate::gateway::{access, attempt, forward, protocol, relay, reply, route};
use crate::http1::{body, head};

/// Time that a stopping host reserves for delivering a response before it exits: several round
/// trips to a caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Decides from its head whether a request is served.
pub(super) fn check_head(
    frontend: &Frontend,
    request: &mut head::Request,
    limits: &route::Limits,
    source: Source,
    started: Instant,
) -> Result<Admission, Rejection> {
    let Some(table) = frontend.config.table() else {
        tracing::info!(event = "not_configured");
        return Err(Rejection::NotRun);
    };
    let terms = take_terms(&mut request.parts.headers, &table, source)?;
    let admission = admit(frontend, request, table, terms, started)?;
    if matches!(request.framing, body::Framing::Length(len) if len > limits.max_body_len as u64) {
        log_too_long(frontend, request, &admission.route, limits);
        return Err(Rejection::Status(http::StatusCode::PAYLOAD_TOO_LARGE));
    }
    check_exit(frontend, request, &admission)?;
    Ok(admission)
}

/// Decides again once the body has arrived: meanwhile the host may have begun to stop, and the route
/// or the key may have been removed.
pub(super) fn check_again(
    frontend: &Frontend,
    request: &head::Request,
    admission: Admission,
    started: Instant,
) -> Result<Admission, Rejection> {
    check_exit(frontend, request, &admission)?;
    match frontend.config.table() {
        Some(newer) if !Rc::ptr_eq(&newer, &admission.table) => {
            let deadline = admission.deadline;
            let newer = admit(frontend, request, newer, admission.terms, started)?;
            Ok(Admission { deadline, ..newer })
        }
        _ => Ok(admission),
    }
}

/// Takes the terms of a call that another host passes on from its request; a caller's request has
/// none. Returns an error if this host must not place the call, because it has an older
/// configuration.
fn take_terms(
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
    /// Another host may serve it; this one is about to exit.
    Exiting,
    /// No host with this configuration serves it.
    Status(http::StatusCode),
}

impl Rejection {
    /// Returns the reply to the caller.
    pub(super) fn reply(self) -> reply::Reply {
        match self {
            Rejection::NotRun | Rejection::Exiting => reply::Reply::refused(),
            Rejection::Status(status) => reply::Reply::Response(reply::Answer::rejection(status)),
        }
    }
}

/// A request that has a route and may be served.
pub(super) struct Admission {
    /// The configuration by which it was decided.
    pub table: Rc<route::Table>,
    /// The route.
    pub route: Rc<route::Route>,
    organisation: Option<access::Organisation>,
    /// Whether the header fields of keys and organisations have a meaning, and are removed.
    is_key_checked: bool,
    /// The terms of a call that another host passes on.
    pub terms: Option<forward::Terms>,
    /// When the call ends: at the caller's deadline, or after the route's timeout.
    deadline: Instant,
}

/// Finds the route of a request and checks its key. Returns an error if the request is not served.
fn admit(
    frontend: &Frontend,
    request: &head::Request,
    table: Rc<route::Table>,
    terms: Option<forward::Terms>,
    started: Instant,
) -> Result<Admission, Rejection> {
    let parts = &request.parts;
    let host = head::host(parts).unwrap_or_default();
    let Some(route) = table.find(host, parts.uri.path()).cloned() else {
        tracing::info!(event = "no_route", host, version = table.version);
        return Err(Rejection::Status(http::StatusCode::NOT_FOUND));
    };
    let is_key_checked = terms.as_ref().is_some_and(|terms| terms.is_key_checked);
    let organisation = match is_key_checked {
        true => stated_organisation(frontend, request, &table),
        false => check_key(frontend, request, &table, &route)?,
    };
    let timeout = parse_timeout(&parts.headers, &frontend.protocol.headers);
    let deadline = started + timeout.unwrap_or(route.timeout).min(route.timeout);
    let is_key_checked = is_key_checked || table.directory.is_on();
    Ok(Admission { table, route, organisation, is_key_checked, terms, deadline })
}

/// Returns the organisation that the host names which passes a request on, and has checked its key.
fn stated_organisation(
    frontend: &Frontend,
    request: &head::Request,
    table: &route::Table,
) -> Option<access::Organisation> {
    let name = request.parts.headers.get(&frontend.protocol.headers.organisation)?;
    let name = std::str::from_utf8(name.as_bytes()).ok()?;
    Some(access::Organisation { name: name.into(), priority: table.directory.priority_of(name) })
}

/// Checks the key of a request, and returns the organisation that it belongs to.
fn check_key(
    frontend: &Frontend,
    request: &head::Request,
    table: &route::Table,
    route: &route::Route,
) -> Result<Option<access::Organisation>, Rejection> {
    let (headers, name) = (&request.parts.headers, &frontend.protocol.headers.key);
    match table.directory.check(route, access::presented_key(headers, name)) {
        access::Decision::Allowed(organisation) => Ok(organisation),
        access::Decision::Denied => {
            metrics::counter!("basilhaven_keys_refused_total").increment(1);
            tracing::info!(
                event = "key_refused",
                id = id_text(frontend, request),
                route = &*route.name,
                version = table.version,
                has_key = headers.contains_key(name),
            );
            Err(Rejection::Status(http::StatusCode::UNAUTHORIZED))
        }
    }
}

/// Returns an error if this host exits before a call is sure to have ended.
fn check_exit(
    frontend: &Frontend,
    request: &head::Request,
    admission: &Admission,
) -> Result<(), Rejection> {
    let latest = admission.deadline + RESPONSE_MARGIN;
    if frontend.exit_at.get().is_none_or(|end| latest <= end) {
        return Ok(());
    }
    let id = id_text(frontend, request);
    tracing::info!(event = "stopping_too_soon", id, route = &*admission.route.name);
    Err(Rejection::Exiting)
}

/// Returns how long the caller of a request still waits, if the request says so.
pub(super) fn parse_timeout(headers: &HeaderMap, names: &protocol::Headers) -> Option<Duration> {
    let ms = headers.get(&names.deadline_ms)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

/// Builds the call of a request that is served.
pub(super) fn build_call(
    frontend: &Frontend,
    request: head::Request,
    body: body::Held,
    admission: &Admission,
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
        deadline: admission.deadline,
        organisation: organisation.map(|organisation| Rc::clone(&organisation.name)),
        priority: organisation.and_then(|known| known.priority).unwrap_or(route.priority),
    }
}
