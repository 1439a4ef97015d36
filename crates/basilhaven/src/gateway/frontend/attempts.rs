//! Sends a call to one upstream after another, and tells what may be told of it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::gateway::moves::evidence;
use crate::gateway::{attempt, balancer, frontend, route};
use crate::profile;

/// When a refused caller may come back: where no upstream had room, and where upstreams shed the
/// call, each by itself, so that the next one may well take it.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(100);
const RETRY_AFTER_SHED: Duration = Duration::from_millis(5);

/// A part of the route's target below which no call can be expected to be served.
const LEAST_TIME_SHARE: f64 = 0.2;

/// What a failed send weighs against an upstream; one that it shed weighs less.
const FAILURE_WEIGHT: f64 = 1.0;
const SHED_WEIGHT: f64 = 0.5;

/// What a caller is told of a call.
#[derive(Debug)]
pub(super) enum Reply {
    /// The answer of an upstream.
    Response(attempt::Response),
    /// The call did not run, nor will; it may come back after a while.
    NotRun(Duration),
    /// The call may have run; no answer came.
    Unknown(http::StatusCode),
}

/// Sends a call to one upstream after another until it is answered, or may not be sent again.
pub(super) async fn run(
    frontend: &frontend::Frontend,
    table: &route::Table,
    route: &route::Route,
    call: &attempt::Call,
    left: &Cell<bool>,
) -> Reply {
    let started = Instant::now();
    let found = route.choose_service().and_then(|name| table.services.get_key_value(name));
    let Some((name, service)) = found else {
        tracing::warn!(event = "no_service", route = &*route.name, version = table.version);
        return Reply::NotRun(RETRY_AFTER);
    };
    let queue = frontend.placer.queue(name);
    queue.retries.record_call(started);
    let least = route.latency_target.mul_f64(LEAST_TIME_SHARE);
    let mut tried: Vec<Rc<str>> = Vec::new();
    let mut reply = Reply::NotRun(RETRY_AFTER);
    let mut may_have_run = false;
    let mut sends = 0;
    while sends < route.max_attempts.max(1) {
        if sends > 0 && !queue.retries.try_spend(Instant::now(), frontend.retry_allowance()) {
            break;
        }
        let until = call.deadline.checked_sub(least).unwrap_or(call.deadline);
        let need = balancer::Requirements {
            service: name,
            priority: route.priority,
            tried: &tried,
            queue_until: until,
            deadline: call.deadline,
            target_at: started + route.latency_target,
            baseline: queue.baseline(route),
        };
        let lease = match frontend.placer.acquire(&need, service).await {
            Ok(lease) => lease,
            Err(refusal) => {
                log_refusal(call, route, name, refusal, sends, started);
                break;
            }
        };
        if left.get() {
            break;
        }
        sends += 1;
        let sent = Instant::now();
        let end = attempt::send(call, &lease.upstream, &frontend.protocol).await;
        let waited = sent.saturating_duration_since(started);
        log_send(call, route, table, &lease, &end, (waited, sent.elapsed()));
        note_version(frontend, name, route, &lease, &end, sent.elapsed());
        tried.push(Rc::clone(&lease.upstream.id));
        let now = Instant::now();
        match end {
            attempt::Outcome::Answered(response) => {
                let failed = response.status.is_server_error();
                match failed {
                    true => lease.upstream.record_failure(now, FAILURE_WEIGHT),
                    false => {
                        lease.upstream.record_success(now);
                        queue.record_latency(route, lease.cost, sent.elapsed());
                    }
                }
                reply = Reply::Response(response);
                if !failed || call.idempotency == profile::Idempotency::AtMostOnce {
                    break;
                }
                may_have_run = true;
            }
            attempt::Outcome::NotRun(cause) => {
                let weight = match cause {
                    attempt::Cause::Shed => SHED_WEIGHT,
                    _ => FAILURE_WEIGHT,
                };
                lease.upstream.record_failure(now, weight);
                if matches!(reply, Reply::NotRun(_)) {
                    reply = Reply::NotRun(RETRY_AFTER_SHED);
                }
            }
            attempt::Outcome::Unknown(_) => {
                lease.upstream.record_failure(now, FAILURE_WEIGHT);
                may_have_run = true;
                if matches!(reply, Reply::NotRun(_)) {
                    reply = Reply::Unknown(http::StatusCode::BAD_GATEWAY);
                }
                if call.idempotency == profile::Idempotency::AtMostOnce {
                    break;
                }
            }
        }
    }
    match reply {
        Reply::NotRun(_) if may_have_run => Reply::Unknown(http::StatusCode::GATEWAY_TIMEOUT),
        reply => reply,
    }
}

/// Keeps how a call ended as evidence on the version that ran it; cold upstreams are slow whatever
/// version they run.
fn note_version(
    frontend: &frontend::Frontend,
    service: &Rc<str>,
    route: &route::Route,
    lease: &balancer::Permit,
    end: &attempt::Outcome,
    took: Duration,
) {
    let failed = match end {
        attempt::Outcome::Answered(response) => response.status.is_server_error(),
        attempt::Outcome::NotRun(_) => return,
        attempt::Outcome::Unknown(_) => true,
    };
    if !failed && lease.upstream.warmup.is_cold(Instant::now()) {
        return;
    }
    let count = evidence::Count::single(failed, lease.cost, took);
    let version = Rc::clone(&lease.upstream.entry().version);
    frontend.placer.moves.record(service, &route.name, &version, count);
}

fn log_refusal(
    call: &attempt::Call,
    route: &route::Route,
    service: &str,
    refusal: balancer::Refusal,
    sends: u32,
    started: Instant,
) {
    metrics::counter!("basilhaven_refusals_total", "reason" => refusal.to_string()).increment(1);
    tracing::info!(
        event = "not_placed",
        id = call.id_text(),
        route = &*route.name,
        service,
        reason = %refusal,
        sends,
        waited_ms = started.elapsed().as_millis() as u64,
    );
}

fn log_send(
    call: &attempt::Call,
    route: &route::Route,
    table: &route::Table,
    lease: &balancer::Permit,
    end: &attempt::Outcome,
    (waited, took): (Duration, Duration),
) {
    let outcome = match end {
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
        upstream = &*lease.upstream.id,
        cost = lease.cost as f32,
        candidates = lease.candidates,
        report_age_ms = lease.report_age.as_millis() as u64,
        waited_ms = waited.as_millis() as u64,
        took_ms = took.as_millis() as u64,
        outcome,
    );
}
