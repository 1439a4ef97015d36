//! Attempts a call at one upstream after another, and decides the reply to its caller.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::gateway::moves::evidence;
use crate::gateway::{attempt, balancer, forward, frontend, notify, route};
use crate::profile;

/// How soon the caller of a call that was not run may retry: if no upstream had capacity, and if
/// upstreams shed the call. Each upstream sheds calls independently of the others, so another one
/// may well accept the call.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(100);
const RETRY_AFTER_SHED: Duration = Duration::from_millis(5);

/// Minimum time that an attempt needs, as a share of the route's latency target: with less time
/// left until the deadline, a call no longer waits for an upstream.
const MIN_TIME_SHARE: f64 = 0.2;

/// Weights of failed attempts in an upstream's failure record; shedding a call weighs less.
const FAILURE_WEIGHT: f64 = 1.0;
const SHED_WEIGHT: f64 = 0.5;

/// The most hosts to which one call is passed on.
const MAX_HOSTS: u32 = 3;

/// The most upstreams to which one call cannot be sent because they cannot be connected to.
const MAX_FAILED_CONNECTS: u32 = 3;

/// The reply to the caller of a call.
#[derive(Debug)]
pub(super) enum Reply {
    /// The response of an upstream.
    Response(attempt::Response),
    /// The call did not run and will not run.
    NotRun {
        /// When the caller may retry.
        retry_after: Duration,
        /// The attempts that were made.
        sends: u32,
    },
    /// The call may have run, but no response can be forwarded.
    Unknown(http::StatusCode),
}

impl Reply {
    /// The reply to a call for which no upstream was looked for.
    pub(super) const REFUSED: Reply = Reply::NotRun { retry_after: RETRY_AFTER, sends: 0 };

    /// Returns how this reply tells another host that the call has ended.
    pub(super) fn ending(&self) -> forward::Ending {
        match self {
            Reply::Response(_) => forward::Ending::Answered,
            Reply::NotRun { sends, .. } => forward::Ending::NotRun { sends: *sends },
            Reply::Unknown(_) => forward::Ending::Unknown,
        }
    }
}

/// A call that is to be attempted.
#[derive(Debug)]
pub(super) struct Task<'a> {
    /// The route of the call.
    pub route: &'a route::Route,
    /// The call.
    pub call: &'a attempt::Call,
    /// The terms of a call that another host passes on; it is placed here or not at all.
    pub terms: Option<forward::Terms>,
}

impl Task<'_> {
    /// Returns the service that takes the call; `None` if the route does not lead to one.
    fn service(&self) -> Option<Rc<str>> {
        match &self.terms {
            None => self.route.choose_service().cloned(),
            Some(terms) => {
                let mut services = self.route.destinations.iter().map(|d| &d.service);
                services.find(|service| **service == terms.service).cloned()
            }
        }
    }

    /// Returns the number of upstreams that the call may be sent to.
    fn max_attempts(&self) -> u32 {
        let max = self.route.max_attempts.max(1);
        self.terms.as_ref().map_or(max, |terms| terms.attempts.min(max))
    }
}

/// What has been done for a call so far.
#[derive(Debug, Default)]
struct Progress {
    /// Attempts that have reached an upstream.
    sends: u32,
    failed_connects: u32,
    /// Hosts that the call was passed to.
    hosts: u32,
    tried_upstreams: Vec<Rc<str>>,
}

/// Attempts a call at one upstream after another until it succeeds or must not be retried.
///
/// A call whose service this host does not reach is passed to a host that does.
pub(super) async fn run(
    frontend: &frontend::Frontend,
    table: &route::Table,
    task: Task<'_>,
    caller_left: &notify::Notifier,
) -> Reply {
    let (route, call) = (task.route, task.call);
    let started = Instant::now();
    let found = task.service().and_then(|name| table.services.get_key_value(&name));
    let Some((name, service)) = found else {
        tracing::warn!(event = "no_service", route = &*route.name, version = table.version);
        return Reply::REFUSED;
    };
    let elapsed = task.terms.as_ref().map_or(Duration::ZERO, |terms| terms.elapsed);
    let queue = frontend.balancer.queue(name);
    if !task.terms.as_ref().is_some_and(forward::Terms::is_retry) {
        queue.retries.record_call(started);
    }
    let min_time = route.latency_target.mul_f64(MIN_TIME_SHARE);
    let mut progress = Progress::default();
    if let Some(terms) = &task.terms {
        progress.tried_upstreams.clone_from(&terms.tried);
    }
    let mut retry_after = RETRY_AFTER;
    let mut reply = None;
    while progress.sends < task.max_attempts() && progress.failed_connects < MAX_FAILED_CONNECTS {
        if progress.sends > 0
            && !queue.retries.try_spend(Instant::now(), frontend.retry_allowance())
        {
            break;
        }
        let may_pass_on = task.terms.is_none() && progress.hosts < MAX_HOSTS;
        let other_host = || match may_pass_on {
            true => frontend.forwarder.choose(name, Instant::now()),
            false => None,
        };
        let queue_until = call.deadline.checked_sub(min_time).unwrap_or(call.deadline);
        let requirements = balancer::Requirements {
            service: name,
            priority: route.priority,
            tried_upstreams: &progress.tried_upstreams,
            queue_until,
            deadline: call.deadline,
            target_at: started.checked_sub(elapsed).unwrap_or(started) + route.latency_target,
            baseline: queue.baseline(route),
            can_be_passed_on: other_host().is_some(),
        };
        let permit = match frontend.balancer.acquire(&requirements, service).await {
            Ok(permit) => permit,
            Err(refusal) => {
                let host = match refusal {
                    balancer::Refusal::Unreachable => other_host(),
                    _ => None,
                };
                if let (Some(host), 0) = (host, caller_left.count()) {
                    if progress.sends == 0 && progress.hosts == 0 {
                        queue.retries.withdraw_call(Instant::now());
                    }
                    let terms = forward::Terms {
                        service: Rc::clone(name),
                        version: table.version,
                        attempts: task.max_attempts() - progress.sends,
                        elapsed: started.elapsed(),
                        tried: match progress.sends {
                            0 => Vec::new(),
                            _ => progress.tried_upstreams.clone(),
                        },
                    };
                    progress.hosts += 1;
                    let sent_at = Instant::now();
                    let outcome = frontend.forwarder.send(call, &terms, host, caller_left).await;
                    log_passed_on(call, route, name, host, &outcome, sent_at.elapsed());
                    match outcome {
                        forward::Outcome::Answered(response) => {
                            if let Some(upstream) = &response.leaving {
                                frontend.balancer.mark_leaving(upstream);
                            }
                            reply = Some(Reply::Response(response));
                            break;
                        }
                        forward::Outcome::NotRun { retry_after: after, sends } => {
                            retry_after = after.unwrap_or(retry_after);
                            progress.sends += sends;
                            continue;
                        }
                        forward::Outcome::Unknown(status) => {
                            progress.sends += 1;
                            reply = reply.or(Some(Reply::Unknown(status)));
                            match call.idempotency {
                                profile::Idempotency::AtMostOnce => break,
                                profile::Idempotency::Idempotent => continue,
                            }
                        }
                    }
                }
                log_refusal(call, route, name, refusal, progress.sends, started);
                if let balancer::Refusal::RateLimited { retry_after: Some(time) }
                | balancer::Refusal::Paused { retry_after: time } = refusal
                {
                    retry_after = time;
                }
                break;
            }
        };
        if caller_left.count() > 0 {
            break;
        }
        let sent_at = Instant::now();
        let was_sent_before = progress.tried_upstreams.contains(&permit.upstream.id);
        let outcome =
            attempt::send(call, &permit.upstream, &frontend.protocol, was_sent_before).await;
        let waited = sent_at.saturating_duration_since(started);
        log_attempt(call, route, table, &permit, &outcome, (waited, sent_at.elapsed()));
        record_evidence(frontend, name, route, &permit, &outcome, sent_at.elapsed());
        progress.tried_upstreams.push(Rc::clone(&permit.upstream.id));
        let now = Instant::now();
        match outcome {
            attempt::Outcome::Answered(response) => {
                progress.sends += 1;
                let failed = response.status.is_server_error();
                match failed {
                    true => permit.upstream.record_failure(now, FAILURE_WEIGHT),
                    false => {
                        permit.upstream.record_success(now);
                        queue.record_latency(route, permit.cost, sent_at.elapsed());
                    }
                }
                reply = Some(Reply::Response(response));
                if !failed || call.idempotency == profile::Idempotency::AtMostOnce {
                    break;
                }
            }
            attempt::Outcome::NotRun(attempt::Cause::Connect) => {
                progress.failed_connects += 1;
                permit.upstream.record_failure(now, FAILURE_WEIGHT);
            }
            attempt::Outcome::NotRun(cause) => {
                progress.sends += 1;
                let weight = match cause {
                    attempt::Cause::Shed => SHED_WEIGHT,
                    _ => FAILURE_WEIGHT,
                };
                permit.upstream.record_failure(now, weight);
                retry_after = RETRY_AFTER_SHED;
            }
            attempt::Outcome::Unknown(_) => {
                progress.sends += 1;
                permit.upstream.record_failure(now, FAILURE_WEIGHT);
                reply = reply.or(Some(Reply::Unknown(http::StatusCode::BAD_GATEWAY)));
                if call.idempotency == profile::Idempotency::AtMostOnce {
                    break;
                }
            }
        }
    }
    match reply {
        Some(reply) => reply,
        None => Reply::NotRun { retry_after, sends: progress.sends },
    }
}

/// Records the outcome of an attempt as evidence on the version of the upstream. Successes of cold
/// upstreams are left out, since these are slow whatever version they run.
fn record_evidence(
    frontend: &frontend::Frontend,
    service: &Rc<str>,
    route: &route::Route,
    permit: &balancer::Permit,
    outcome: &attempt::Outcome,
    took: Duration,
) {
    let failed = match outcome {
        attempt::Outcome::Answered(response) => response.status.is_server_error(),
        attempt::Outcome::NotRun(_) => return,
        // The links of this host are cut, which tells nothing of the version.
        attempt::Outcome::Unknown(_) if frontend.balancer.is_lost(service) => return,
        attempt::Outcome::Unknown(_) => true,
    };
    if !failed && permit.upstream.warmup.is_cold(Instant::now()) {
        return;
    }
    let count = evidence::Count::single(failed, permit.cost, took);
    let version = Rc::clone(&permit.upstream.entry().version);
    frontend.balancer.moves.record(service, &route.name, &version, count);
}

fn log_refusal(
    call: &attempt::Call,
    route: &route::Route,
    service: &str,
    refusal: balancer::Refusal,
    attempts: u32,
    started: Instant,
) {
    metrics::counter!("basilhaven_refusals_total", "reason" => refusal.to_string()).increment(1);
    tracing::info!(
        event = "not_placed",
        id = call.id_text(),
        route = &*route.name,
        service,
        reason = %refusal,
        sends = attempts,
        waited_ms = started.elapsed().as_millis() as u64,
    );
}

fn log_passed_on(
    call: &attempt::Call,
    route: &route::Route,
    service: &str,
    host: SocketAddr,
    outcome: &forward::Outcome,
    took: Duration,
) {
    let outcome = match outcome {
        forward::Outcome::Answered(response) => response.status.as_u16().to_string(),
        forward::Outcome::NotRun { .. } => "not-run".to_owned(),
        forward::Outcome::Unknown(_) => "unknown".to_owned(),
    };
    metrics::counter!("basilhaven_passed_on_total", "outcome" => outcome.clone()).increment(1);
    tracing::info!(
        event = "passed_on",
        id = call.id_text(),
        route = &*route.name,
        service,
        %host,
        took_ms = took.as_millis() as u64,
        outcome,
    );
}

fn log_attempt(
    call: &attempt::Call,
    route: &route::Route,
    table: &route::Table,
    permit: &balancer::Permit,
    outcome: &attempt::Outcome,
    (waited, took): (Duration, Duration),
) {
    let outcome = match outcome {
        attempt::Outcome::Answered(response) => response.status.as_u16().to_string(),
        attempt::Outcome::NotRun(cause) => format!("not-run: {cause}"),
        attempt::Outcome::Unknown(cause) => format!("unknown: {cause}"),
    };
    metrics::histogram!("basilhaven_send_seconds").record(took.as_secs_f64());
    tracing::info!(
        event = "sent",
        id = call.id_text(),
        route = &*route.name,
        version = table.version,
        upstream = &*permit.upstream.id,
        cost = permit.cost as f32,
        candidates = permit.candidates,
        report_age_ms = permit.report_age.as_millis() as u64,
        limit = permit.upstream.limit.rate().map(|rate| rate.per_second()),
        waited_ms = waited.as_millis() as u64,
        took_ms = took.as_millis() as u64,
        outcome,
    );
}
