//! Attempts a call at one upstream after another, and decides the reply to its caller.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::gateway::moves::evidence;
use crate::gateway::{
    attempt, balancer, forward, frontend, history, memory, notify, queue, reply, retries, route,
    upstream,
};
use crate::profile;

/// How soon the caller of a call may retry that upstreams shed. Each upstream sheds calls
/// independently of the others, so another one may well accept the call.
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
#[derive(Debug)]
struct Progress {
    /// Attempts that have reached an upstream.
    attempts: u32,
    failed_connects: u32,
    /// Hosts that the call was passed to.
    hosts: u32,
    /// The upstreams of these attempts, and those that could not be connected to.
    sends: history::Sends,
    /// The reply if no further attempt is made; `None` as long as the call has not run.
    reply: Option<reply::Reply>,
    /// When the caller may retry if the call does not run.
    retry_after: Duration,
}

/// Attempts a call at one upstream after another until it succeeds or must not be retried.
///
/// A call whose service this host does not reach is passed to a host that does.
pub(super) async fn run(
    frontend: &frontend::Frontend,
    table: &route::Table,
    task: Task<'_>,
    caller_left: &notify::Notifier,
) -> reply::Reply {
    let (route, call) = (task.route, task.call);
    let started = Instant::now();
    let found = task.service().and_then(|name| table.services.get_key_value(&name));
    let Some((name, service)) = found else {
        tracing::warn!(event = "no_service", route = &*route.name, version = table.version);
        return reply::Reply::refused();
    };
    let (elapsed, sends) = match &task.terms {
        Some(terms) => (terms.elapsed, terms.sends.clone()),
        None => (Duration::ZERO, history::Sends::default()),
    };
    let queue = frontend.balancer.queue(name);
    if !task.terms.as_ref().is_some_and(forward::Terms::is_retry) {
        queue.retries.record_call(started);
    }
    // The remaining time of a call that another host passes on is the host's.
    let remaining = frontend.remaining_time(call).filter(|_| task.terms.is_none());
    let remaining = remaining.map(|time| time.min(route.timeout));
    let age = remaining.and_then(|time| queue.record_deadline(route, time, started));
    let run = Run { frontend, table, task: &task, service: name, queue: &queue, started };
    let mut progress = Progress {
        attempts: 0,
        failed_connects: 0,
        hosts: 0,
        sends,
        reply: None,
        retry_after: reply::RETRY_AFTER,
    };
    let arrived_at = started.checked_sub(elapsed).unwrap_or(started);
    let min_time = route.latency_target.mul_f64(MIN_TIME_SHARE);
    while progress.attempts < task.max_attempts() && progress.failed_connects < MAX_FAILED_CONNECTS
    {
        if progress.attempts > 0 && !run.try_spend_retry() {
            break;
        }
        // A host of an earlier build would not know that the call may have been sent before.
        let may_be_passed_on =
            task.terms.is_none() && progress.hosts < MAX_HOSTS && !progress.sends.has_unknown();
        let requirements = balancer::Requirements {
            service: name,
            priority: call.priority,
            organisation: call.organisation.as_ref(),
            tried_upstreams: progress.sends.upstreams(),
            queue_until: call.deadline.checked_sub(min_time).unwrap_or(call.deadline),
            deadline: call.deadline,
            target_at: arrived_at + route.latency_target,
            arrived_at,
            age,
            baseline: queue.baseline(route),
            may_be_passed_on,
            idempotency: call.idempotency,
        };
        let acquired = frontend.balancer.acquire(&requirements, service).await;
        if caller_left.count() > 0 {
            break;
        }
        let flow = match acquired {
            Ok(permit) => run.attempt(permit, &mut progress).await,
            Err(refusal) => {
                let host = match refusal {
                    balancer::Refusal::Unreachable if may_be_passed_on => {
                        frontend.forwarder.choose(name, Instant::now())
                    }
                    _ => None,
                };
                match host {
                    Some(host) => run.pass_on(host, caller_left, &mut progress).await,
                    None => run.refuse(refusal, &mut progress),
                }
            }
        };
        if flow.is_break() {
            break;
        }
    }
    let Progress { reply, retry_after, attempts, sends, .. } = progress;
    reply.unwrap_or(reply::Reply::NotRun { retry_after, attempts, sends })
}

/// The attempts of one call. Each method makes one step, and returns whether another may follow.
struct Run<'a> {
    frontend: &'a frontend::Frontend,
    table: &'a route::Table,
    task: &'a Task<'a>,
    service: &'a Rc<str>,
    queue: &'a queue::Queue,
    started: Instant,
}

impl Run<'_> {
    /// Takes a retry from this host's share of the budget; returns whether one was left for a call of
    /// this rank. A call that has missed its latency target has the lowest rank.
    fn try_spend_retry(&self) -> bool {
        let now = Instant::now();
        let rank = match self.started.elapsed() < self.task.route.latency_target {
            true => self.queue.room.rank(self.task.call.priority, now),
            false => retries::LOWEST_RANK,
        };
        let is_allowed = self.queue.retries.try_spend(now, self.frontend.retry_allowance(), rank);
        if !is_allowed {
            metrics::counter!("basilhaven_retries_denied_total", "rank" => rank.to_string())
                .increment(1);
        }
        is_allowed
    }

    /// Sends the call to an upstream.
    async fn attempt(&self, permit: balancer::Permit, progress: &mut Progress) -> ControlFlow<()> {
        let (frontend, table) = (self.frontend, self.table);
        let (route, call) = (self.task.route, self.task.call);
        let entered = self.enter_transit(&permit.upstream).await;
        let sent_at = Instant::now();
        // A call is counted once, when it first may have run.
        let counted = call.organisation.as_ref().filter(|_| progress.reply.is_none());
        let running = frontend.usage.begin(counted, sent_at);
        let outcome = match entered {
            Ok(_entered) => {
                let (protocol, sends) = (&frontend.protocol, &progress.sends);
                let outbound = frontend.outbound_shaper();
                let share = frontend.memory.response_share();
                attempt::send(call, &permit.upstream, protocol, sends, outbound, share).await
            }
            Err(cause) => attempt::Outcome::NotRun(cause),
        };
        match outcome {
            attempt::Outcome::NotRun(_) => running.turned_away(),
            attempt::Outcome::Answered(_) | attempt::Outcome::Unknown(_) => drop(running),
        }
        let waited = sent_at.saturating_duration_since(self.started);
        log_attempt(call, route, table, &permit, &outcome, (waited, sent_at.elapsed()));
        record_evidence(frontend, self.service, route, &permit, &outcome, sent_at.elapsed());
        progress.sends.record(Rc::clone(&permit.upstream.id));
        let now = Instant::now();
        let is_repeatable = call.idempotency == profile::Idempotency::Idempotent;
        let mut may_continue = true;
        let mut weight = FAILURE_WEIGHT;
        if !matches!(outcome, attempt::Outcome::NotRun(attempt::Cause::Connect)) {
            let is_shed = matches!(outcome, attempt::Outcome::NotRun(attempt::Cause::Shed));
            self.queue.room.record_send(is_shed, now);
        }
        match outcome {
            attempt::Outcome::Answered(response) => {
                progress.attempts += 1;
                let has_failed = response.is_failure();
                if !has_failed {
                    permit.upstream.record_success(now);
                    self.queue.record_latency(route, permit.cost, sent_at.elapsed());
                    weight = 0.0;
                }
                may_continue = has_failed && is_repeatable;
                progress.reply = Some(self.answer(response));
            }
            // The call has not reached the upstream.
            attempt::Outcome::NotRun(attempt::Cause::Connect) => progress.failed_connects += 1,
            attempt::Outcome::NotRun(cause) => {
                progress.attempts += 1;
                progress.retry_after = RETRY_AFTER_SHED;
                if cause == attempt::Cause::Shed {
                    // Where all upstreams shed a share of their calls, a shed tells less of the one.
                    weight = SHED_WEIGHT * (1.0 - self.queue.room.shed_share(now));
                }
            }
            attempt::Outcome::Unknown(_) => {
                progress.attempts += 1;
                may_continue = is_repeatable;
                progress.reply.get_or_insert(reply::Reply::Unknown(reply::Failure::BadGateway));
            }
        }
        if weight > 0.0 {
            permit.upstream.record_failure(now, weight);
        }
        flow(may_continue)
    }

    /// Waits until the upstream can hold the body of the call.
    async fn enter_transit<'a>(
        &self,
        upstream: &'a upstream::Upstream,
    ) -> Result<memory::InTransit<'a>, attempt::Cause> {
        let (frontend, call) = (self.frontend, self.task.call);
        // The bound is not computed for small bodies, which are not counted.
        let max = match frontend.memory.is_bounded() && call.body.len() > memory::SMALL_LEN {
            true => memory::max_transit_len(
                frontend.config.limits().max_body_len,
                frontend.members.budget_share(Instant::now()),
            ),
            false => usize::MAX,
        };
        let entered = upstream.transit.enter(call.body.len(), max);
        attempt::timeout_at(call.deadline, entered).await.map_err(|_| attempt::Cause::Timeout)
    }

    /// Passes the call to another host.
    async fn pass_on(
        &self,
        host: SocketAddr,
        caller_left: &notify::Notifier,
        progress: &mut Progress,
    ) -> ControlFlow<()> {
        let (route, call) = (self.task.route, self.task.call);
        if progress.attempts == 0 && progress.hosts == 0 {
            self.queue.retries.withdraw_call(Instant::now());
        }
        let terms = forward::Terms {
            service: Rc::clone(self.service),
            version: self.table.version,
            attempts: self.task.max_attempts() - progress.attempts,
            elapsed: self.started.elapsed(),
            sends: match progress.attempts {
                0 => history::Sends::default(),
                _ => progress.sends.clone(),
            },
            is_key_checked: self.table.directory.is_on(),
        };
        progress.hosts += 1;
        let sent_at = Instant::now();
        let outcome = {
            let outbound = self.frontend.outbound_shaper();
            self.frontend.forwarder.send(call, &terms, host, caller_left, outbound).await
        };
        log_passed_on(call, route, self.service, host, &outcome, sent_at.elapsed());
        match outcome {
            forward::Outcome::Answered(response) => {
                if let Some(upstream) = &response.leaving {
                    self.frontend.balancer.mark_leaving(upstream);
                }
                progress.reply = Some(self.answer(response));
                flow(false)
            }
            forward::Outcome::NotRun { retry_after, attempts, sends } => {
                progress.retry_after = retry_after.unwrap_or(progress.retry_after);
                progress.attempts += attempts;
                progress.sends.extend(&sends);
                flow(true)
            }
            // The other host may have made all attempts that were left.
            forward::Outcome::Unknown(failure) => {
                progress.reply.get_or_insert(reply::Reply::Unknown(failure));
                flow(false)
            }
        }
    }

    /// Returns the reply with the response of an upstream.
    fn answer(&self, response: attempt::Response) -> reply::Reply {
        let call = self.task.call;
        let answer = reply::Answer::new(response, call.idempotency);
        if let Some(upstream_status) = answer.withheld() {
            let status = upstream_status.as_u16();
            metrics::counter!("basilhaven_refusals_withheld_total", "status" => status.to_string())
                .increment(1);
            tracing::info!(
                event = "refusal_withheld",
                id = call.id_text(),
                organisation = call.organisation.as_deref(),
                route = &*self.task.route.name,
                service = &**self.service,
                upstream_status = status,
                status = answer.response().status.as_u16(),
            );
        }
        reply::Reply::Response(answer)
    }

    /// Gives up on the call because of a refusal.
    fn refuse(&self, refusal: balancer::Refusal, progress: &mut Progress) -> ControlFlow<()> {
        match refusal {
            balancer::Refusal::RateLimited { retry_after: Some(time) }
            | balancer::Refusal::Paused { retry_after: time }
            | balancer::Refusal::TooLate { retry_after: time } => progress.retry_after = time,
            balancer::Refusal::NoCapacity | balancer::Refusal::Reserved => {
                let now = Instant::now();
                let left = self.task.call.deadline.saturating_duration_since(now);
                progress.retry_after = self.queue.room.retry_after(self.queue.len(), left, now);
            }
            balancer::Refusal::NoUpstream
            | balancer::Refusal::Unreachable
            | balancer::Refusal::RateLimited { retry_after: None } => {}
        }
        self.log_refusal(refusal, progress);
        flow(false)
    }

    fn log_refusal(&self, refusal: balancer::Refusal, progress: &Progress) {
        metrics::counter!("basilhaven_refusals_total", "reason" => refusal.to_string())
            .increment(1);
        tracing::info!(
            event = "not_placed",
            id = self.task.call.id_text(),
            organisation = self.task.call.organisation.as_deref(),
            route = &*self.task.route.name,
            service = &**self.service,
            reason = %refusal,
            sends = progress.attempts,
            waited_ms = self.started.elapsed().as_millis() as u64,
            waiting = self.queue.len(),
            free_share = self.queue.room.free_share(Instant::now()).map(|share| share as f32),
            retry_after_ms = progress.retry_after.as_millis() as u64,
        );
    }
}

fn flow(may_continue: bool) -> ControlFlow<()> {
    match may_continue {
        true => ControlFlow::Continue(()),
        false => ControlFlow::Break(()),
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
        attempt::Outcome::Answered(response) => response.is_failure(),
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
        organisation = call.organisation.as_deref(),
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
        organisation = call.organisation.as_deref(),
        route = &*route.name,
        version = table.version,
        upstream = &*permit.upstream.id,
        cost = permit.cost as f32,
        expected_ms = permit.expected.as_millis() as u64,
        candidates = permit.candidates,
        report_age_ms = permit.report_age.as_millis() as u64,
        limit = permit.upstream.limit.rate().map(|rate| rate.per_second()),
        waited_ms = waited.as_millis() as u64,
        took_ms = took.as_millis() as u64,
        outcome,
    );
}
