//! Delivery of one call: its attempts, one after another (retries) or two at a time (hedging, and
//! rerouting of a call whose upstream turns cold).

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_util::future::{self, Either};

use super::forward::Upload;
use super::{exchange, Persistence};
use crate::http1::{self, head};
use crate::{call, decision, hedge, name, profile, service, split, upstream};

/// A call to deliver: attempts are made until one is answered or no more are allowed.
pub(super) struct Delivery<'a> {
    /// The key that signs the contexts of attempts.
    pub(super) signing_key: &'a call::Key,
    pub(super) service: &'a Rc<service::Service>,
    pub(super) call: &'a call::Call,
    pub(super) request: &'a head::Request,
}

impl Delivery<'_> {
    /// Delivers the call and forwards its response to the caller.
    pub(super) async fn run(
        &self,
        conn: &mut http1::Conn,
        upload: &mut Upload,
        persistence: Persistence,
    ) -> Result<Persistence, exchange::Failure> {
        let mut tried_upstreams: Vec<name::Name> = Vec::new();
        let mut may_have_run = false;
        loop {
            let result = self.attempt(conn, upload, persistence, &mut tried_upstreams).await;
            let failure = match result {
                Ok(Completion::Forwarded(persistence)) => return Ok(persistence),
                Ok(Completion::Discarded(status)) => {
                    may_have_run = true;
                    self.log_retry(&status);
                    continue;
                }
                // An earlier attempt may have run, whatever the result of this one.
                Err(failure) if may_have_run => failure.after_unknown(),
                Err(failure) => failure,
            };
            let exchange::Failure::Refused(refusal) = failure else { return Err(failure) };
            if !self.may_retry(refusal, upload, tried_upstreams.len()) {
                return Err(failure);
            }
            may_have_run |= refusal.outcome == call::Outcome::Unknown;
            self.log_retry(&refusal.reason);
        }
    }

    async fn attempt(
        &self,
        conn: &mut http1::Conn,
        upload: &mut Upload,
        persistence: Persistence,
        tried_upstreams: &mut Vec<name::Name>,
    ) -> Result<Completion, exchange::Failure> {
        let permit = wait_for_permit(conn, self.service, self.call, tried_upstreams).await?;
        let first = self.start(permit, tried_upstreams);
        let (winner, result) = match self.hedge_delay(upload, tried_upstreams.len()) {
            Some(delay) => self.race(conn, upload, first, delay, tried_upstreams).await,
            None => {
                let result = self.exchange(&first).send(conn, upload).await;
                (first, result)
            }
        };
        let response = match result {
            Ok(response) => response,
            Err(failure) => {
                self.finish_failed(winner, &failure);
                return Err(failure);
            }
        };
        let answered = response.end;
        if let Some(status) =
            self.status_to_discard(&winner, answered, upload, tried_upstreams.len())
        {
            winner.finish(answered);
            return Ok(Completion::Discarded(status));
        }
        let result = self.exchange(&winner).forward(conn, upload, response, persistence).await;
        let end = match &result {
            Ok(_) | Err(exchange::Failure::CallerLost) => answered,
            Err(failure) => end_of(failure),
        };
        winner.finish(end);
        result.map(Completion::Forwarded)
    }

    /// Returns the status of a response that is not forwarded to the caller: the new version of a
    /// move responded with a server error, and the old version may still run the call.
    fn status_to_discard(
        &self,
        in_flight: &InFlight,
        end: call::End,
        upload: &Upload,
        attempts: usize,
    ) -> Option<http::StatusCode> {
        let call::End::Answered { status, .. } = end else { return None };
        let is_new_version = in_flight.observation.as_ref().is_some_and(split::Observation::is_new);
        let is_discarded = status.is_server_error()
            && is_new_version
            && self.call.idempotency == profile::Idempotency::Idempotent
            && self.try_retry(upload, attempts);
        is_discarded.then_some(status)
    }

    /// Sends the call to a second upstream if the first has not answered after `delay`. The first
    /// response is used, and the other attempt is cancelled.
    async fn race(
        &self,
        conn: &http1::Conn,
        upload: &Upload,
        first: InFlight,
        delay: Duration,
        tried_upstreams: &mut Vec<name::Name>,
    ) -> (InFlight, Result<exchange::Response, exchange::Failure>) {
        let exchange = self.exchange(&first);
        let mut response = Box::pin(exchange.send_buffered(conn, upload));
        if let Ok(result) = monoio::time::timeout(delay, &mut response).await {
            drop(response);
            if let Ok(exchange::Response { end: call::End::Answered { took, .. }, .. }) = &result {
                self.service.hedging().observe(*took);
            }
            return (first, result);
        }
        self.service.hedging().observe_late();
        let upstream = Rc::clone(first.permit.upstream());
        let second = match self.second_attempt(&mut response, &upstream, tried_upstreams).await {
            Either::Left(result) => {
                drop(response);
                return (first, result);
            }
            Either::Right(second) => second,
        };
        let second_exchange = self.exchange(&second);
        let mut second_response = Box::pin(second_exchange.send_buffered(conn, upload));
        match future::select(&mut response, &mut second_response).await {
            Either::Left((Err(failure), _)) if failure.is_refusal() => {
                let result = second_response.await.map_err(|later| later.after(&failure));
                drop(response);
                self.finish_failed(first, &failure);
                (second, result)
            }
            Either::Right((Err(failure), _)) if failure.is_refusal() => {
                let result = response.await.map_err(|later| later.after(&failure));
                drop(second_response);
                self.finish_failed(second, &failure);
                (first, result)
            }
            Either::Left((result, _)) => {
                drop((response, second_response));
                second.finish(call::End::Cancelled);
                (first, result)
            }
            Either::Right((result, _)) => {
                drop((response, second_response));
                first.finish(call::End::Cancelled);
                (second, result)
            }
        }
    }

    /// Starts a second attempt beside the first one: immediately, as a hedge, if the hedge budget
    /// allows it; otherwise as a reroute out of the retry budget, once the first attempt's upstream
    /// (`upstream`) turns cold. Returns the first attempt's response if it arrives before a second
    /// attempt is started.
    async fn second_attempt<F>(
        &self,
        response: &mut Pin<Box<F>>,
        upstream: &upstream::Upstream,
        tried_upstreams: &mut Vec<name::Name>,
    ) -> Either<F::Output, InFlight>
    where
        F: Future,
    {
        if let Some(second) = self.hedge(tried_upstreams) {
            return Either::Right(second);
        }
        let cold = std::pin::pin!(upstream.turned_cold());
        if let Either::Left((result, _)) = future::select(&mut *response, cold).await {
            return Either::Left(result);
        }
        if self.call.retries_left == 0 || !self.service.retry_budget().try_spend() {
            return Either::Left(response.await);
        }
        let already_tried = tried_upstreams.clone();
        let permit = std::pin::pin!(self.service.acquire(self.call, &already_tried));
        match future::select(&mut *response, permit).await {
            Either::Left((result, _)) => Either::Left(result),
            Either::Right((Ok(permit), _)) if !already_tried.contains(permit.upstream().name()) => {
                Either::Right(self.reroute(permit, tried_upstreams))
            }
            Either::Right(_) => Either::Left(response.await),
        }
    }

    /// Returns how long the first attempt runs alone before the call is hedged, if it may be
    /// hedged.
    fn hedge_delay(&self, upload: &Upload, attempt: usize) -> Option<Duration> {
        let may_hedge = self.call.idempotency == profile::Idempotency::Idempotent
            && attempt == 1
            && upload.is_fully_buffered
            && self.service.profile().hedge_budget_percent > 0;
        if !may_hedge {
            return None;
        }
        // Until enough latencies have been observed for a delay, the attempt is not hedged, but
        // still goes through `race`, which observes its latency.
        Some(self.service.hedging().delay().unwrap_or(self.call.remaining()))
    }

    /// Starts a hedge at a second upstream, if the budget allows it.
    fn hedge(&self, tried_upstreams: &mut Vec<name::Name>) -> Option<InFlight> {
        let permit = hedge::try_acquire(self.service, self.call, tried_upstreams)?;
        let service = self.service.name().to_string();
        metrics::counter!("basilhaven_hedges_total", "service" => service).increment(1);
        tracing::info!(event = "hedge", service = %self.service.name(), call = %self.call.id);
        Some(self.start(permit, tried_upstreams))
    }

    /// Starts another attempt for a call whose upstream turned cold.
    fn reroute(&self, permit: service::Permit, tried_upstreams: &mut Vec<name::Name>) -> InFlight {
        let service = self.service.name().to_string();
        metrics::counter!("basilhaven_moved_off_total", "service" => service).increment(1);
        tracing::info!(event = "moved_off", service = %self.service.name(), call = %self.call.id);
        self.start(permit, tried_upstreams)
    }

    /// Logs the placement of an attempt and starts to observe it.
    fn start(&self, permit: service::Permit, tried_upstreams: &mut Vec<name::Name>) -> InFlight {
        log_decision(self.service, self.call, &permit, tried_upstreams.len());
        tried_upstreams.push(permit.upstream().name().clone());
        let path = self.request.parts.uri.path();
        let observation = self.service.observe(permit.upstream(), self.call, path);
        let context = self.context(tried_upstreams.len());
        InFlight { permit, observation, context }
    }

    fn exchange<'s>(&'s self, in_flight: &'s InFlight) -> exchange::Attempt<'s> {
        exchange::Attempt {
            call: self.call,
            service: self.service,
            request: self.request,
            permit: &in_flight.permit,
            context: in_flight.context.clone(),
        }
    }

    fn finish_failed(&self, in_flight: InFlight, failure: &exchange::Failure) {
        log_failure(self.service, self.call, &in_flight.permit, failure);
        in_flight.finish(end_of(failure));
    }

    /// Returns the signed context of an attempt, counted from 1. Only the first attempt leaves
    /// retries to the calls nested in it.
    fn context(&self, attempt: usize) -> http::HeaderValue {
        let mut context = self.call.context();
        if attempt > 1 {
            context.retries_left = 0;
        }
        super::forward::header_value(context.sign(self.signing_key))
    }

    /// Returns `true` if the refused call is to be sent again, and spends one retry for it. A call
    /// that got no permit for an upstream, or whose deadline has passed, is not sent again.
    fn may_retry(&self, refusal: call::Refusal, upload: &Upload, attempts: usize) -> bool {
        let may_repeat = refusal.outcome == call::Outcome::NotRun
            || self.call.idempotency == profile::Idempotency::Idempotent;
        let is_retryable = !matches!(
            refusal.reason,
            call::Reason::QueueFull | call::Reason::NoUpstream | call::Reason::Deadline
        );
        may_repeat && is_retryable && self.try_retry(upload, attempts)
    }

    /// Spends one retry if the call can be sent again, in time and within the budgets.
    fn try_retry(&self, upload: &Upload, attempts: usize) -> bool {
        upload.is_fully_buffered
            && attempts <= usize::from(self.call.retries_left)
            && self.call.deadline > Instant::now()
            && self.service.retry_budget().try_spend()
    }

    fn log_retry<R>(&self, reason: &R)
    where
        R: fmt::Display,
    {
        let service = self.service.name().to_string();
        metrics::counter!("basilhaven_retries_total", "service" => service).increment(1);
        tracing::info!(
            event = "retry",
            service = %self.service.name(),
            call = %self.call.id,
            %reason,
        );
    }
}

/// What happened to an attempt that was answered.
enum Completion {
    /// The response was forwarded to the caller.
    Forwarded(Persistence),
    /// The response, which had this status, was discarded, and the call is to be sent again.
    Discarded(http::StatusCode),
}

/// An attempt in flight.
struct InFlight {
    permit: service::Permit,
    /// The attempt as evidence for or against the new version of a move, if one is running.
    observation: Option<split::Observation>,
    /// The signed context that is sent to the upstream.
    context: http::HeaderValue,
}

impl InFlight {
    /// Reports how the attempt ended to the running move, if any, and to the upstream's state.
    fn finish(self, end: call::End) {
        if let Some(observation) = self.observation {
            observation.finish(&end);
        }
        self.permit.finish(end);
    }
}

fn log_failure(
    service: &service::Service,
    call: &call::Call,
    permit: &service::Permit,
    failure: &exchange::Failure,
) {
    let exchange::Failure::Refused(refusal) = failure else { return };
    tracing::info!(
        event = "attempt_failed",
        service = %service.name(),
        call = %call.id,
        upstream = %permit.upstream().name(),
        outcome = %refusal.outcome,
        reason = %refusal.reason,
    );
}

/// Returns how an attempt with this failure counts for the state of its upstream.
fn end_of(failure: &exchange::Failure) -> call::End {
    match failure {
        exchange::Failure::Refused(refusal) => call::End::Failed(refusal.reason),
        exchange::Failure::Truncated(reason) => call::End::Failed(*reason),
        exchange::Failure::CallerLost
        | exchange::Failure::Withdrawn
        | exchange::Failure::Malformed(_) => call::End::Cancelled,
    }
}

/// Waits for a permit for an upstream. Returns `Withdrawn` if the caller closes its connection
/// meanwhile.
async fn wait_for_permit(
    conn: &http1::Conn,
    service: &Rc<service::Service>,
    call: &call::Call,
    tried_upstreams: &[name::Name],
) -> Result<service::Permit, exchange::Failure> {
    let permit = std::pin::pin!(service.acquire(call, tried_upstreams));
    let closed = std::pin::pin!(conn.closed());
    match future::select(permit, closed).await {
        Either::Left((permit, _)) => permit.map_err(exchange::Failure::Refused),
        Either::Right(_) => Err(exchange::Failure::Withdrawn),
    }
}

fn log_decision(
    service: &service::Service,
    call: &call::Call,
    permit: &service::Permit,
    attempt: usize,
) {
    let choice = permit.choice();
    let decision = decision::Decision {
        at: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        call: call.id,
        class: call.class,
        attempt,
        upstream: permit.upstream().name().clone(),
        candidates: choice.candidates,
        cost: (choice.cost * 1e3).round() / 1e3,
        in_flight: permit.upstream().in_flight(),
        queued: service.queued(),
    };
    decision.log(service.name());
    service.decisions().push(decision);
}
