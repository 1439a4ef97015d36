//! Attempts of one call: in turn, or two at once.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_util::future::{self, Either};

use super::forward::Upload;
use super::{exchange, Next};
use crate::http1::{self, head};
use crate::{call, decision, hedge, name, profile, service, split, upstream};

/// One call on its way: attempts until one is answered, or none more may be made.
pub(super) struct Delivery<'a> {
    pub(super) key: &'a call::Key,
    pub(super) service: &'a Rc<service::Service>,
    pub(super) call: &'a call::Call,
    pub(super) request: &'a head::Request,
}

impl Delivery<'_> {
    /// Delivers the call, and passes its answer on.
    pub(super) async fn run(
        &self,
        conn: &mut http1::Conn,
        upload: &mut Upload,
        next: Next,
    ) -> Result<Next, exchange::Failure> {
        let mut tried: Vec<name::Name> = Vec::new();
        let mut may_have_run = false;
        loop {
            let result = self.attempt(conn, upload, next, &mut tried).await;
            let failure = match result {
                Ok(Attempted::PassedOn(next)) => return Ok(next),
                Ok(Attempted::Rejected(status)) => {
                    may_have_run = true;
                    self.log_retry(&status);
                    continue;
                }
                // An earlier attempt may have run, whatever became of this one.
                Err(failure) if may_have_run => failure.after_unknown(),
                Err(failure) => failure,
            };
            let exchange::Failure::Refused(refusal) = failure else { return Err(failure) };
            if !self.may_retry(refusal, upload, tried.len()) {
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
        next: Next,
        tried: &mut Vec<name::Name>,
    ) -> Result<Attempted, exchange::Failure> {
        let permit = wait_for_permit(conn, self.service, self.call, tried).await?;
        let first = self.prepare(permit, tried);
        let (winner, result) = match self.hedge_delay(upload, tried.len()) {
            Some(delay) => self.race(conn, upload, first, delay, tried).await,
            None => {
                let result = self.exchange(&first).answer(conn, upload).await;
                (first, result)
            }
        };
        let answer = match result {
            Ok(answer) => answer,
            Err(failure) => {
                self.give_up(winner, &failure);
                return Err(failure);
            }
        };
        let answered = answer.end;
        if let Some(status) = self.rejects(&winner, answered, upload, tried.len()) {
            winner.finish(answered);
            return Ok(Attempted::Rejected(status));
        }
        let result = self.exchange(&winner).pass_on(conn, upload, answer, next).await;
        let end = match &result {
            Ok(_) | Err(exchange::Failure::CallerLost) => answered,
            Err(failure) => end_of(failure),
        };
        winner.finish(end);
        result.map(Attempted::PassedOn)
    }

    /// The status of an answer that is kept from the caller: the new version of a move answered with
    /// an error of its own, and the old one may still answer in its place.
    fn rejects(
        &self,
        started: &Started,
        end: call::End,
        upload: &Upload,
        attempts: usize,
    ) -> Option<http::StatusCode> {
        let call::End::Answered { status, .. } = end else { return None };
        let is_on_trial = started.observation.as_ref().is_some_and(split::Observation::is_new);
        let is_rejected = status.is_server_error()
            && is_on_trial
            && self.call.idempotency == profile::Idempotency::Idempotent
            && self.try_retry(upload, attempts);
        is_rejected.then_some(status)
    }

    /// Sends the call to a second upstream when the first has not answered after `delay`; the first
    /// answer wins, and the other attempt is cancelled.
    async fn race(
        &self,
        conn: &http1::Conn,
        upload: &Upload,
        first: Started,
        delay: Duration,
        tried: &mut Vec<name::Name>,
    ) -> (Started, Result<exchange::Answer, exchange::Failure>) {
        let exchange = self.exchange(&first);
        let mut answer = Box::pin(exchange.answer_whole(conn, upload));
        if let Ok(result) = monoio::time::timeout(delay, &mut answer).await {
            drop(answer);
            if let Ok(exchange::Answer { end: call::End::Answered { took, .. }, .. }) = &result {
                self.service.hedging().observe(*took);
            }
            return (first, result);
        }
        self.service.hedging().observe_late();
        let upstream = Rc::clone(first.permit.upstream());
        let second = match self.second(&mut answer, &upstream, tried).await {
            Either::Left(result) => {
                drop(answer);
                return (first, result);
            }
            Either::Right(second) => second,
        };
        let second_exchange = self.exchange(&second);
        let mut second_answer = Box::pin(second_exchange.answer_whole(conn, upload));
        match future::select(&mut answer, &mut second_answer).await {
            Either::Left((Err(failure), _)) if failure.is_refusal() => {
                let result = second_answer.await.map_err(|later| later.after(&failure));
                drop(answer);
                self.give_up(first, &failure);
                (second, result)
            }
            Either::Right((Err(failure), _)) if failure.is_refusal() => {
                let result = answer.await.map_err(|later| later.after(&failure));
                drop(second_answer);
                self.give_up(second, &failure);
                (first, result)
            }
            Either::Left((result, _)) => {
                drop((answer, second_answer));
                second.finish(call::End::Cancelled);
                (first, result)
            }
            Either::Right((result, _)) => {
                drop((answer, second_answer));
                first.finish(call::End::Cancelled);
                (second, result)
            }
        }
    }

    /// A second attempt beside the first: at once within the budget for hedges, or, out of the one for
    /// retries, when the first one's upstream turns cold; or else the answer to the first.
    async fn second<F>(
        &self,
        answer: &mut Pin<Box<F>>,
        upstream: &upstream::Upstream,
        tried: &mut Vec<name::Name>,
    ) -> Either<F::Output, Started>
    where
        F: Future,
    {
        if let Some(second) = self.hedge(tried) {
            return Either::Right(second);
        }
        let cold = std::pin::pin!(upstream.turned_cold());
        if let Either::Left((result, _)) = future::select(&mut *answer, cold).await {
            return Either::Left(result);
        }
        if self.call.retries_left == 0 || !self.service.retry_budget().try_spend() {
            return Either::Left(answer.await);
        }
        let known = tried.clone();
        let permit = std::pin::pin!(self.service.acquire(self.call, &known));
        match future::select(&mut *answer, permit).await {
            Either::Left((result, _)) => Either::Left(result),
            Either::Right((Ok(permit), _)) if !known.contains(permit.upstream().name()) => {
                Either::Right(self.move_off(permit, tried))
            }
            Either::Right(_) => Either::Left(answer.await),
        }
    }

    /// How long the first attempt of a call that may be hedged has alone.
    fn hedge_delay(&self, upload: &Upload, attempt: usize) -> Option<Duration> {
        let may_hedge = self.call.idempotency == profile::Idempotency::Idempotent
            && attempt == 1
            && upload.is_held_whole
            && self.service.profile().hedge_budget_percent > 0;
        if !may_hedge {
            return None;
        }
        // Until enough is known, the call goes the same way, to be observed.
        Some(self.service.hedging().delay().unwrap_or(self.call.remaining()))
    }

    /// A second upstream for the call, within the budget.
    fn hedge(&self, tried: &mut Vec<name::Name>) -> Option<Started> {
        let permit = hedge::try_acquire(self.service, self.call, tried)?;
        let service = self.service.name().to_string();
        metrics::counter!("basilhaven_hedges_total", "service" => service).increment(1);
        tracing::info!(event = "hedge", service = %self.service.name(), call = %self.call.id);
        Some(self.prepare(permit, tried))
    }

    /// Goes on with a call whose upstream turned cold at another one.
    fn move_off(&self, permit: service::Permit, tried: &mut Vec<name::Name>) -> Started {
        let service = self.service.name().to_string();
        metrics::counter!("basilhaven_moved_off_total", "service" => service).increment(1);
        tracing::info!(event = "moved_off", service = %self.service.name(), call = %self.call.id);
        self.prepare(permit, tried)
    }

    /// Logs where an attempt goes, before it does.
    fn prepare(&self, permit: service::Permit, tried: &mut Vec<name::Name>) -> Started {
        log_decision(self.service, self.call, &permit, tried.len());
        tried.push(permit.upstream().name().clone());
        let path = self.request.parts.uri.path();
        let observation = self.service.observe(permit.upstream(), self.call, path);
        let context = self.context(tried.len());
        Started { permit, observation, context }
    }

    fn exchange<'s>(&'s self, started: &'s Started) -> exchange::Attempt<'s> {
        exchange::Attempt {
            call: self.call,
            service: self.service,
            request: self.request,
            permit: &started.permit,
            context: started.context.clone(),
        }
    }

    fn give_up(&self, started: Started, failure: &exchange::Failure) {
        log_failure(self.service, self.call, &started.permit, failure);
        started.finish(end_of(failure));
    }

    /// The context for an attempt: calls below one that is a retry already are not retried again.
    fn context(&self, attempt: usize) -> http::HeaderValue {
        let mut context = self.call.context();
        if attempt > 1 {
            context.retries_left = 0;
        }
        super::forward::value(context.sign(self.key))
    }

    fn may_retry(&self, refusal: call::Refusal, upload: &Upload, attempts: usize) -> bool {
        let may_repeat = refusal.outcome == call::Outcome::NotRun
            || self.call.idempotency == profile::Idempotency::Idempotent;
        let was_tried = !matches!(
            refusal.reason,
            call::Reason::QueueFull | call::Reason::NoUpstream | call::Reason::Deadline
        );
        may_repeat && was_tried && self.try_retry(upload, attempts)
    }

    /// Spends one more attempt when the call can be sent again, in time and within the budgets.
    fn try_retry(&self, upload: &Upload, attempts: usize) -> bool {
        upload.is_held_whole
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

/// What came of an attempt that was answered.
enum Attempted {
    /// The caller has the answer.
    PassedOn(Next),
    /// The answer, of this status, is dropped, and the call is to be sent again.
    Rejected(http::StatusCode),
}

/// An attempt on its way.
struct Started {
    permit: service::Permit,
    observation: Option<split::Observation>,
    context: http::HeaderValue,
}

impl Started {
    /// Says how the attempt ended, to all who judge by it.
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

/// How an attempt ended, for those who judge its upstream.
fn end_of(failure: &exchange::Failure) -> call::End {
    match failure {
        exchange::Failure::Refused(refusal) => call::End::Failed(refusal.reason),
        exchange::Failure::Broken(reason) => call::End::Failed(*reason),
        exchange::Failure::CallerLost
        | exchange::Failure::Withdrawn
        | exchange::Failure::Malformed(_) => call::End::Cancelled,
    }
}

async fn wait_for_permit(
    conn: &http1::Conn,
    service: &Rc<service::Service>,
    call: &call::Call,
    tried: &[name::Name],
) -> Result<service::Permit, exchange::Failure> {
    let permit = std::pin::pin!(service.acquire(call, tried));
    let gone = std::pin::pin!(conn.closed());
    match future::select(permit, gone).await {
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
        cost_ms: (choice.cost * 1e3).round() / 1e3,
        in_flight: permit.upstream().in_flight(),
        queued: service.queued(),
    };
    decision.log(service.name());
    service.decisions().push(decision);
}
