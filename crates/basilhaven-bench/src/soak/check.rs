//! Checks the properties of the system against what callers received and upstreams executed.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::caller::{End, Record};
use super::plan::LIMIT;
use super::system::{History, Run, Span, Upstream};
use crate::process;

/// The routes' timeout in the configuration ([`gateway::config`](crate::gateway::config)).
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// The routes' limit on attempts in the same configuration.
const MAX_ATTEMPTS: usize = 2;

/// How long after its time limit a call may still be answered (`CONFIG` of the users' rules).
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// The index of late calls from which on their share is checked, from the same rule.
const MIN_LATE_CALLS: usize = 8;

/// How long a configuration may take to be in force on an undisturbed host (`ConfigApplyS` of the
/// users' bounds).
const CONFIG_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a draining upstream may still receive calls from such a host (`DrainS`).
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an evacuated data centre may still receive calls from such a host (`EvacuateS`).
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a host counts as disturbed after a fault has ended (`ContactS` of the users' bounds).
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The window over which the calls to a limited upstream are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// How long a host may take to exit after SIGTERM (`BASILHAVEN_GRACE_S`).
const GRACE_PERIOD: Duration = Duration::from_secs(4);

/// A property that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Violation {
    /// The property, in words.
    #[serde(rename = "promise")]
    pub property: &'static str,
    /// What was observed.
    #[serde(rename = "seen")]
    pub details: String,
}

/// One execution of a call on an upstream.
struct Execution<'a> {
    upstream: &'a Upstream,
    index: usize,
    method: String,
    path: String,
    deadline_ms: Option<u64>,
    at: Instant,
}

/// Checks all calls and processes, and returns the violated properties.
pub fn verify(records: &[Record], upstreams: &[Upstream], history: &History) -> Vec<Violation> {
    let executions = executions_by_id(upstreams);
    let mut violations = Vec::new();
    let mut report = |property, details| violations.push(Violation { property, details });
    let by_id: IndexMap<&str, &Record> = records.iter().map(|r| (&*r.id, r)).collect();
    for record in records {
        let of_call = executions.get(&*record.id).map_or(&[][..], |all| &all[..]);
        check_call(record, of_call, history, &mut report);
    }
    for (id, of_call) in &executions {
        match by_id.get(&**id) {
            Some(record) => check_executions(record, of_call, history, &mut report),
            None => {
                report("upstreams execute only calls that were sent", format!("{id} was executed"))
            }
        }
    }
    check_limits(records, history, &mut report);
    check_cuts(records, history, &mut report);
    check_leaving(&by_id, upstreams, history, &mut report);
    check_rates(&by_id, upstreams, history, &mut report);
    history.runs.iter().for_each(|run| check_process(run, history, &mut report));
    violations
}

fn executions_by_id(upstreams: &[Upstream]) -> IndexMap<String, Vec<Execution<'_>>> {
    let mut executions: IndexMap<String, Vec<Execution<'_>>> = IndexMap::new();
    for (index, upstream) in upstreams.iter().enumerate() {
        for (id, request, at) in upstream.server.executions() {
            let deadline_ms = request.header("x-basilhaven-deadline-ms");
            let deadline_ms = deadline_ms.and_then(|value| value.parse().ok());
            let path = request.path().to_owned();
            let method = request.method.clone();
            executions.entry(id).or_default().push(Execution {
                upstream,
                index,
                method,
                path,
                deadline_ms,
                at,
            });
        }
    }
    executions
}

/// Checks a call's response against its executions.
fn check_call<F>(record: &Record, executions: &[Execution<'_>], history: &History, report: &mut F)
where
    F: FnMut(&'static str, String),
{
    let describe =
        |what: &str| format!("{} on host {}: {what}, {record:?}", record.id, record.host);
    if !record.is_safe() && executions.len() > 1 {
        report(
            "an unsafe call is executed at most once",
            describe(&format!("executed {} times", executions.len())),
        );
    }
    if executions.len() > MAX_ATTEMPTS {
        report(
            "a call is attempted no more often than its route allows",
            describe(&format!("executed {} times", executions.len())),
        );
    }
    if !record.is_safe()
        && matches!(record.status(), 408 | 421 | 429 | 503)
        && !executions.is_empty()
    {
        report("a refused call was not executed", describe("refused, but executed"));
    }
    match &record.end {
        End::Answered(response) if (200..300).contains(&response.status) => {
            let is_own = |execution: &Execution<'_>| {
                response.body == format!("{} by {}", record.id, execution.upstream.server.id)
            };
            let is_signed = response.head.contains("x-basilhaven-server-signature");
            if !response.is_complete || !is_signed || !executions.iter().any(is_own) {
                report(
                    "a success carries the complete response of an upstream",
                    describe("answered"),
                );
            }
        }
        End::Answered(response) if [400, 401, 403, 404].contains(&response.status) => {
            report("a valid call is not rejected", describe("rejected"));
        }
        End::Cut if !executions.is_empty() && !may_cut(record, history) => {
            report("a running host does not cut connections", describe("cut"));
        }
        End::Answered(_) | End::Cut | End::TimedOut => {}
    }
}

/// Checks a call's executions against the request, and against the orders in force at that time.
fn check_executions<F>(
    record: &Record,
    executions: &[Execution<'_>],
    history: &History,
    report: &mut F,
) where
    F: FnMut(&'static str, String),
{
    for execution in executions {
        let describe =
            |what: &str| format!("{}: {what}, upstream {}, {record:?}", record.id, execution.index);
        if execution.method != record.method || execution.path != record.path {
            report(
                "a call is forwarded unchanged",
                describe(&format!("{} {}", execution.method, execution.path)),
            );
        }
        let deadline_ms = record.deadline.as_millis() as u64;
        if execution.deadline_ms.is_none_or(|forwarded| forwarded > deadline_ms) {
            report(
                "a forwarded deadline is not later than the caller's",
                describe(&format!("{:?}", execution.deadline_ms)),
            );
        }
        let service = execution.upstream.service;
        let is_allowed =
            services_in_force(history, record.sent, execution.at).any(|allowed| allowed == service);
        if !is_allowed && is_undisturbed(record, CONFIG_TIMEOUT, history) {
            report("a configuration is in force in time", describe(service));
        }
        let is_past = |span: &Span, bound: Duration| {
            span.from + bound < record.sent && span.to.is_none_or(|end| end > execution.at)
        };
        let mut leaving = history.leaving.iter().filter(|(own, _)| *own == execution.index);
        let has_left = leaving.any(|(_, span)| is_past(span, DRAIN_TIMEOUT));
        if has_left && is_undisturbed(record, DRAIN_TIMEOUT, history) {
            report("a draining upstream receives no calls", describe("draining"));
        }
        let is_out = execution.upstream.data_centre == super::system::EVACUATED
            && history.evacuations.iter().any(|span| is_past(span, EVACUATION_TIMEOUT));
        if is_out && is_undisturbed(record, EVACUATION_TIMEOUT, history) {
            report("an evacuated data centre receives no calls", describe("evacuated"));
        }
    }
}

/// Returns the services that a call may be routed to: those of all configurations that may be in
/// force between `sent` and `executed`.
fn services_in_force(
    history: &History,
    sent: Instant,
    executed: Instant,
) -> impl Iterator<Item = &'static str> + '_ {
    let latest_settled = sent.checked_sub(CONFIG_TIMEOUT);
    let oldest = latest_settled.map_or(0, |latest_settled| {
        history.services.iter().rposition(|(at, _)| *at <= latest_settled).unwrap_or(0)
    });
    history.services[oldest..]
        .iter()
        .filter(move |(at, _)| *at <= executed)
        .map(|(_, service)| *service)
}

/// Returns whether the store, the call's host and the link between them had been free of faults for
/// so long (`bound` and the time to reconnect) that orders must have been in force on the host.
fn is_undisturbed(record: &Record, bound: Duration, history: &History) -> bool {
    let Some(from) = record.sent.checked_sub(bound + RECONNECT_TIMEOUT) else { return false };
    let overlaps = |span: &Span| span.overlaps(from, record.ended);
    let is_of_host = |(host, span): &(usize, Span)| *host == record.host && overlaps(span);
    !history.store_faults.iter().any(overlaps)
        && !history.link_faults.iter().any(is_of_host)
        && is_host_undisturbed(record, bound, history)
}

/// Returns whether the call's host has been running without a pause for `bound` and the time to
/// reconnect.
fn is_host_undisturbed(record: &Record, bound: Duration, history: &History) -> bool {
    let Some(from) = record.sent.checked_sub(bound + RECONNECT_TIMEOUT) else { return false };
    let overlaps = |span: &Span| span.overlaps(from, record.ended);
    let is_of_host = |(host, span): &(usize, Span)| *host == record.host && overlaps(span);
    let was_running = |run: &Run| {
        run.host == record.host
            && run.started <= from
            && run.ended.is_none_or(|(at, _)| at >= record.ended)
    };
    !history.pauses.iter().any(is_of_host) && history.runs.iter().any(was_running)
}

/// Returns whether a call's connection may have closed because its host was killed or paused.
fn may_cut(record: &Record, history: &History) -> bool {
    history.runs.iter().filter(|run| run.host == record.host).any(|run| {
        // A process runs on for some milliseconds after SIGKILL was sent.
        let was_killed = run.killed.is_some_and(|at| at <= record.ended);
        let was_running =
            run.started <= record.sent && run.ended.is_none_or(|(at, _)| at >= record.sent);
        was_running && was_killed
    }) || is_paused(record, history)
}

fn is_paused(record: &Record, history: &History) -> bool {
    let overlaps_call = |span: &Span| span.overlaps(record.sent, record.ended);
    history.pauses.iter().any(|(host, span)| *host == record.host && overlaps_call(span))
}

/// Checks that calls end at their time limits: when many are late, they must not be the majority of
/// those that reached their limit.
fn check_limits<F>(records: &[Record], history: &History, report: &mut F)
where
    F: FnMut(&'static str, String),
{
    let limit = |record: &Record| record.deadline.min(ROUTE_TIMEOUT);
    let reached: Vec<&Record> =
        records.iter().filter(|r| !is_paused(r, history) && r.ended - r.sent >= limit(r)).collect();
    let is_late = |r: &&&Record| r.ended - r.sent > limit(r) + TIMEOUT_SLACK;
    let late = reached.iter().filter(is_late).count();
    if late >= MIN_LATE_CALLS && late * 2 > reached.len() {
        let details = format!("{late} of {} calls that reached their limit", reached.len());
        report("a call ends at its time limit", details);
    }
}

/// Checks that first tries at hosts that are cut from all upstreams are served nearly as often as
/// those at the other hosts (`RECOVER` of the users' rules).
///
/// Each cut is compared with the other hosts' calls of the same time, from which on a cut host has to
/// serve: the upstreams may serve more, or fewer, at other times. A cut at a time without such calls
/// is compared with those of the other cuts.
fn check_cuts<F>(records: &[Record], history: &History, report: &mut F)
where
    F: FnMut(&'static str, String),
{
    let is_cut = |host: usize, from: Instant, to: Instant| {
        history.cuts.iter().any(|(own, span)| *own == host && span.overlaps(from, to))
    };
    let undisturbed: Vec<&Record> =
        records.iter().filter(|r| is_host_undisturbed(r, Duration::ZERO, history)).collect();
    let served_during = |host: usize, span: &Span| {
        let (mut cut, mut others) = (Served::default(), Served::default());
        for record in &undisturbed {
            let Some(from) = record.sent.checked_sub(RECONNECT_TIMEOUT) else { continue };
            if from <= span.from || span.to.is_some_and(|end| end <= record.sent) {
                continue;
            }
            if record.host == host {
                cut.add(record);
            } else if !is_cut(record.host, from, record.ended) {
                others.add(record);
            }
        }
        (cut, others)
    };
    let by_cut: Vec<(Served, Served)> =
        history.cuts.iter().map(|(host, span)| served_during(*host, span)).collect();
    let (mut cut, mut others) = (Served::default(), Served::default());
    for (of_cut, of_others) in &by_cut {
        cut.merge(of_cut);
        others.merge(of_others);
    }
    let expected_of = |(of_cut, of_others): &(Served, Served)| {
        let comparable = if of_others.all > 0 { of_others } else { &others };
        of_cut.all as f64 * comparable.share()
    };
    let expected: f64 = by_cut.iter().map(expected_of).sum();
    let failed = cut.all - cut.served;
    if (cut.served as f64) < expected * 2.0 / 3.0 && failed > 10 + (cut.all + others.all) / 50 {
        let details = format!(
            "{} of {} served, {expected:.0} expected; of others {} of {}",
            cut.served, cut.all, others.served, others.all
        );
        report("callers of hosts that are cut from all upstreams are served", details);
    }
}

/// How many of some calls were served.
#[derive(Debug, Default)]
struct Served {
    all: usize,
    served: usize,
}

impl Served {
    fn add(&mut self, record: &Record) {
        self.all += 1;
        self.served += usize::from(record.status() == 200);
    }

    fn merge(&mut self, other: &Served) {
        self.all += other.all;
        self.served += other.served;
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

/// Checks that an upstream that says in its responses that it leaves gets no calls through a host
/// that has passed on such a response long enough before.
fn check_leaving<F>(
    by_id: &IndexMap<&str, &Record>,
    upstreams: &[Upstream],
    history: &History,
    report: &mut F,
) where
    F: FnMut(&'static str, String),
{
    for (index, span) in &history.said_leaving {
        let mut informed: IndexMap<usize, Instant> = IndexMap::new();
        for (id, _, at) in upstreams[*index].server.executions() {
            let Some(record) = by_id.get(&*id) else { continue };
            if at < span.from || span.to.is_some_and(|end| at >= end) {
                continue;
            }
            // A call at a host that is cut is sent by another host.
            let is_own_call = !history
                .cuts
                .iter()
                .any(|(host, cut)| *host == record.host && cut.overlaps(span.from, record.ended));
            let is_running = is_host_undisturbed(record, DRAIN_TIMEOUT, history);
            if let (Some(since), true, true) = (informed.get(&record.host), is_own_call, is_running)
            {
                if record.sent > *since + DRAIN_TIMEOUT {
                    let details = format!("{id}: upstream {index}, {record:?}");
                    report("an upstream that says it leaves receives no calls", details);
                }
            }
            if is_own_call && record.status() == 200 {
                informed.entry(record.host).or_insert(record.ended);
            }
        }
    }
}

/// Checks that a limited upstream gets, in each window, no more calls than its rate allows from
/// hosts without a fault.
fn check_rates<F>(
    by_id: &IndexMap<&str, &Record>,
    upstreams: &[Upstream],
    history: &History,
    report: &mut F,
) where
    F: FnMut(&'static str, String),
{
    let max = (1.5 * LIMIT * RATE_WINDOW.as_secs_f64() + 5.0) as usize;
    for (index, span) in &history.limits {
        let from = span.from + RECONNECT_TIMEOUT;
        let is_counted = |at: &Instant| *at >= from && span.to.is_none_or(|end| *at < end);
        let mut calls: Vec<Instant> = Vec::new();
        for (id, _, at) in upstreams[*index].server.executions() {
            let record = by_id.get(&*id);
            let is_sound = |r: &&&Record| is_host_undisturbed(r, RATE_WINDOW, history);
            if is_counted(&at) && record.filter(is_sound).is_some() {
                calls.push(at);
            }
        }
        for at in &calls {
            let window = calls.iter().filter(|call| *call >= at && **call - *at < RATE_WINDOW);
            let count = window.count();
            if count > max {
                let details = format!("upstream {index}: {count} calls, {max} at most");
                report("a limited upstream gets no more calls than it allows", details);
                break;
            }
        }
    }
}

/// Checks the log and the exit of one process of a host.
fn check_process<F>(run: &Run, history: &History, report: &mut F)
where
    F: FnMut(&'static str, String),
{
    let lines = process::json_lines(&run.log);
    let versions = lines.filter(|line| line["event"] == "config_applied");
    let versions: Vec<u64> = versions.filter_map(|line| line["version"].as_u64()).collect();
    if versions.windows(2).any(|pair| pair[0] >= pair[1]) {
        report(
            "each configuration applied has a higher version",
            format!("host {}: {versions:?}", run.host),
        );
    }
    let Some((ended, success)) = run.ended else { return };
    if run.killed.is_some() {
        return;
    }
    let Some(terminated) = run.terminated else {
        report("a process exits only after a signal", format!("host {}", run.host));
        return;
    };
    let was_paused = history
        .pauses
        .iter()
        .any(|(host, span)| *host == run.host && span.overlaps(terminated, ended));
    let took = ended - terminated;
    if !success || took > GRACE_PERIOD && !was_paused {
        let details = format!("host {}: success {success}, after {took:?}", run.host);
        report("a process exits successfully within the grace period after SIGTERM", details);
    }
}
