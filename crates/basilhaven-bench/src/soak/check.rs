//! What must hold, judged by what callers got and what upstreams ran.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::caller::{End, Record};
use super::system::{History, Run, Span, Upstream};

/// The route's time limit and attempts, as the configuration says.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ATTEMPTS: usize = 2;

/// How much later than its time limit a call may be answered (`CONFIG` of the users' rules).
const LIMIT_SLACK: Duration = Duration::from_millis(500);

/// Late calls from which on their share is judged, from the same rule.
const LATE_CALLS: usize = 8;

/// How long a configuration, an upstream's leaving and an evacuation may take to be in force on a calm host:
/// the users' bounds `ConfigApplyS`, `DrainS` and `EvacuateS`.
const CONFIG_TIME: Duration = Duration::from_secs(2);
const DRAIN_TIME: Duration = Duration::from_secs(2);
const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// How long a host counts as disturbed after it (`ContactS` of the users' bounds).
const CONTACT: Duration = Duration::from_secs(3);

/// How long a host may take to end after SIGTERM: the grace.
const GRACE: Duration = Duration::from_secs(4);

/// Something that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Violation {
    /// The property that did not hold.
    #[serde(rename = "promise")]
    pub property: &'static str,
    /// What was observed.
    #[serde(rename = "seen")]
    pub details: String,
}

/// A call as upstreams saw it.
struct Ran<'a> {
    upstream: &'a Upstream,
    number: usize,
    method: String,
    path: String,
    deadline_ms: Option<u64>,
    at: Instant,
}

/// Judges everything that happened.
pub fn verify(records: &[Record], upstreams: &[Upstream], history: &History) -> Vec<Violation> {
    let runs = runs(upstreams);
    let mut findings = Vec::new();
    let mut report = |property, details| findings.push(Violation { property, details });
    let by_id: IndexMap<&str, &Record> = records.iter().map(|r| (&*r.id, r)).collect();
    for record in records {
        let ran = runs.get(&*record.id).map_or(&[][..], |ran| &ran[..]);
        check_call(record, ran, history, &mut report);
    }
    for (id, ran) in &runs {
        match by_id.get(&**id) {
            Some(record) => check_runs(record, ran, history, &mut report),
            None => report("no call that nobody sent", format!("{id} ran")),
        }
    }
    check_limits(records, history, &mut report);
    history.runs.iter().for_each(|run| check_process(run, history, &mut report));
    findings
}

fn runs(upstreams: &[Upstream]) -> IndexMap<String, Vec<Ran<'_>>> {
    let mut runs: IndexMap<String, Vec<Ran<'_>>> = IndexMap::new();
    for (number, upstream) in upstreams.iter().enumerate() {
        for (id, request, at) in upstream.server.executions() {
            let deadline_ms = request.header("x-basilhaven-deadline-ms");
            let deadline_ms = deadline_ms.and_then(|value| value.parse().ok());
            let path = request.path().to_owned();
            let method = request.method.clone();
            runs.entry(id).or_default().push(Ran {
                upstream,
                number,
                method,
                path,
                deadline_ms,
                at,
            });
        }
    }
    runs
}

/// Checks what a caller got against what ran.
fn check_call<F>(record: &Record, ran: &[Ran<'_>], history: &History, report: &mut F)
where
    F: FnMut(&'static str, String),
{
    let say = |what: &str| format!("{} on host {}: {what}, {record:?}", record.id, record.host);
    if !record.is_safe() && ran.len() > 1 {
        report("no call that may not be repeated runs twice", say(&format!("ran {}", ran.len())));
    }
    if ran.len() > MAX_ATTEMPTS {
        report("no more attempts than the route allows", say(&format!("ran {}", ran.len())));
    }
    if !record.is_safe() && matches!(record.status(), 408 | 421 | 429 | 503) && !ran.is_empty() {
        report("a refusal is true", say("refused, and has run"));
    }
    match &record.end {
        End::Answered(answer) if (200..300).contains(&answer.status) => {
            let is_own = |ran: &Ran<'_>| {
                answer.body == format!("{} by {}", record.id, ran.upstream.server.id)
            };
            let is_signed = answer.head.contains("x-basilhaven-server-signature");
            if !answer.is_complete || !is_signed || !ran.iter().any(is_own) {
                report("a success is the upstream's own whole answer", say("answered"));
            }
        }
        End::Answered(answer) if [400, 401, 403, 404].contains(&answer.status) => {
            report("no proper call is denied", say("denied"));
        }
        End::Cut if !ran.is_empty() && !may_cut(record, history) => {
            report("no call is cut by a host that lives", say("cut"));
        }
        End::Answered(_) | End::Cut | End::TimedOut => {}
    }
}

/// Checks what ran against what the caller sent and operators ordered.
fn check_runs<F>(record: &Record, runs: &[Ran<'_>], history: &History, report: &mut F)
where
    F: FnMut(&'static str, String),
{
    for ran in runs {
        let say =
            |what: &str| format!("{}: {what}, upstream {}, {record:?}", record.id, ran.number);
        if ran.method != record.method || ran.path != record.path {
            report("no call is changed", say(&format!("{} {}", ran.method, ran.path)));
        }
        let allowed_ms = record.deadline.as_millis() as u64;
        if ran.deadline_ms.is_none_or(|handed| handed > allowed_ms) {
            report(
                "no more time is handed on than is left",
                say(&format!("{:?}", ran.deadline_ms)),
            );
        }
        let service = ran.upstream.service;
        let is_allowed = services(history, record.sent, ran.at).any(|allowed| allowed == service);
        if !is_allowed && is_calm(record, CONFIG_TIME, history) {
            report("a configuration is in force in time", say(service));
        }
        let is_past = |span: &Span, bound: Duration| {
            span.from + bound < record.sent && span.to.is_none_or(|end| end > ran.at)
        };
        let mut leaving = history.leaving.iter().filter(|(own, _)| *own == ran.number);
        let has_left = leaving.any(|(_, span)| is_past(span, DRAIN_TIME));
        if has_left && is_calm(record, DRAIN_TIME, history) {
            report("an upstream that leaves gets nothing more", say("left"));
        }
        let is_out = ran.upstream.data_centre == super::system::EVACUATED
            && history.evacuated.iter().any(|span| is_past(span, EVACUATION_TIME));
        if is_out && is_calm(record, EVACUATION_TIME, history) {
            report("a data centre that is out gets nothing more", say("evacuated"));
        }
    }
}

/// The services to which a call may go: of the configurations that may be in force.
fn services(
    history: &History,
    sent: Instant,
    ran: Instant,
) -> impl Iterator<Item = &'static str> + '_ {
    let settled = sent.checked_sub(CONFIG_TIME);
    let oldest = settled.map_or(0, |settled| {
        history.services.iter().rposition(|(at, _)| *at <= settled).unwrap_or(0)
    });
    history.services[oldest..].iter().filter(move |(at, _)| *at <= ran).map(|(_, service)| *service)
}

/// Whether nothing was wrong with the store, a call's host and its way to the store for so long that
/// orders must have been in force on it.
fn is_calm(record: &Record, bound: Duration, history: &History) -> bool {
    let Some(from) = record.sent.checked_sub(bound + CONTACT) else { return false };
    let is_wrong = |span: &Span| span.overlaps(from, record.ended);
    let is_of_host = |(host, span): &(usize, Span)| *host == record.host && is_wrong(span);
    let was_up = |run: &Run| {
        run.host == record.host
            && run.started <= from
            && run.ended.is_none_or(|(at, _)| at >= record.ended)
    };
    !history.store.iter().any(is_wrong)
        && !history.links.iter().any(is_of_host)
        && !history.pauses.iter().any(is_of_host)
        && history.runs.iter().any(was_up)
}

/// Whether a call's connection may have ended through what was done to its host.
fn may_cut(record: &Record, history: &History) -> bool {
    history.runs.iter().filter(|run| run.host == record.host).any(|run| {
        // A process lives on for some milliseconds after the order to kill it.
        let was_killed = run.killed.is_some_and(|at| at <= record.ended);
        let lived = run.started <= record.sent && run.ended.is_none_or(|(at, _)| at >= record.sent);
        lived && was_killed
    }) || is_paused(record, history)
}

fn is_paused(record: &Record, history: &History) -> bool {
    let is_over = |span: &Span| span.overlaps(record.sent, record.ended);
    history.pauses.iter().any(|(host, span)| *host == record.host && is_over(span))
}

/// Checks that calls end at their time limits.
fn check_limits<F>(records: &[Record], history: &History, report: &mut F)
where
    F: FnMut(&'static str, String),
{
    let limit = |record: &Record| record.deadline.min(ROUTE_TIMEOUT);
    let reached: Vec<&Record> =
        records.iter().filter(|r| !is_paused(r, history) && r.ended - r.sent >= limit(r)).collect();
    let is_late = |r: &&&Record| r.ended - r.sent > limit(r) + LIMIT_SLACK;
    let late = reached.iter().filter(is_late).count();
    if late >= LATE_CALLS && late * 2 > reached.len() {
        let seen = format!("{late} of {} calls that reached their limit", reached.len());
        report("a call ends at its time limit", seen);
    }
}

/// Checks one process of a host.
fn check_process<F>(run: &Run, history: &History, report: &mut F)
where
    F: FnMut(&'static str, String),
{
    let versions = run.lines.iter().filter(|line| line["event"] == "config_applied");
    let versions: Vec<u64> = versions.filter_map(|line| line["version"].as_u64()).collect();
    if versions.windows(2).any(|pair| pair[0] >= pair[1]) {
        report("a configuration never goes back", format!("host {}: {versions:?}", run.host));
    }
    let Some((ended, success)) = run.ended else { return };
    if run.killed.is_some() {
        return;
    }
    let Some(terminated) = run.terminated else {
        report("no process ends by itself", format!("host {}", run.host));
        return;
    };
    let was_paused = history
        .pauses
        .iter()
        .any(|(host, span)| *host == run.host && span.overlaps(terminated, ended));
    let took = ended - terminated;
    if !success || took > GRACE && !was_paused {
        let seen = format!("host {}: success {success}, after {took:?}", run.host);
        report("a process that is told to stop ends well within the grace", seen);
    }
}
