//! One attempt of a call: a request written to one upstream, its response passed on.

use std::future::Future;
use std::io;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures_util::future::{self, Either};
use http::header::{HeaderMap, HeaderValue};

use super::forward::Upload;
use super::Next;
use crate::http1::{self, body, head};
use crate::{call, profile, service, upstream};

/// The most bytes that a response's head may have.
const MAX_HEAD_LEN: usize = 64 * 1024;

/// Bytes of an answer that are held at most before they are sent on.
const MAX_HELD_LEN: usize = 64 * 1024;

/// How an attempt ended without a whole answer.
#[derive(Debug)]
pub(super) enum Failure {
    /// The caller has seen nothing of an answer yet.
    Refused(call::Refusal),
    /// The caller has seen the start of an answer that has no end.
    Broken(call::Reason),
    /// The caller has gone.
    CallerLost,
    /// The caller left before anything was sent to an upstream.
    Withdrawn,
    /// The caller's body turned out malformed after its start had been sent on.
    Malformed(http1::Error),
}

impl Failure {
    /// Whether the attempt failed on its upstream's side, with the caller still there.
    pub(super) fn is_refusal(&self) -> bool {
        matches!(self, Failure::Refused(_))
    }

    /// This failure of a call of which another attempt failed as `other`.
    pub(super) fn after(self, other: &Failure) -> Failure {
        match other.is_not_run() {
            true => self,
            false => self.after_unknown(),
        }
    }

    /// Whether no upstream ran any of the call, nor will.
    pub(super) fn is_not_run(&self) -> bool {
        match self {
            Failure::Refused(refusal) => refusal.outcome == call::Outcome::NotRun,
            Failure::Withdrawn => true,
            Failure::Broken(_) | Failure::CallerLost | Failure::Malformed(_) => false,
        }
    }

    /// The same failure of a call of which an earlier attempt may have run.
    pub(super) fn after_unknown(self) -> Failure {
        match self {
            Failure::Refused(refusal) => call::Refusal::unknown(refusal.reason).into(),
            failure => failure,
        }
    }
}

impl From<call::Refusal> for Failure {
    fn from(refusal: call::Refusal) -> Failure {
        Failure::Refused(refusal)
    }
}

/// One attempt.
#[derive(Debug)]
pub(super) struct Attempt<'a> {
    pub(super) call: &'a call::Call,
    pub(super) service: &'a service::Service,
    pub(super) request: &'a head::Request,
    pub(super) permit: &'a service::Permit,
    /// The context that the upstream is given.
    pub(super) context: HeaderValue,
}

/// A response whose head has come, and the connection that its body comes on.
#[derive(Debug)]
pub(super) struct Answer {
    conn: http1::Conn,
    response: head::Response,
    /// How the attempt ended, as far as its upstream is concerned.
    pub(super) end: call::End,
}

impl Attempt<'_> {
    /// Makes the request, and waits for the head of its answer.
    pub(super) async fn answer(
        &self,
        caller: &mut http1::Conn,
        upload: &mut Upload,
    ) -> Result<Answer, Failure> {
        match upload.is_held_whole {
            true => self.answer_whole(caller, upload).await,
            false => self.within_deadline(self.exchange_streamed(caller, upload)).await,
        }
    }

    /// Makes a request that is held whole, and waits for the head of its answer.
    pub(super) async fn answer_whole(
        &self,
        caller: &http1::Conn,
        upload: &Upload,
    ) -> Result<Answer, Failure> {
        self.within_deadline(self.exchange_whole(caller, upload)).await
    }

    async fn within_deadline<F>(&self, exchange: F) -> Result<Answer, Failure>
    where
        F: Future<Output = Result<(http1::Conn, head::Response), Failure>>,
    {
        let started = Instant::now();
        let (conn, response) = match monoio::time::timeout(self.call.remaining(), exchange).await {
            Ok(result) => result?,
            Err(_) => return Err(call::Refusal::unknown(call::Reason::Deadline).into()),
        };
        self.check(&response)?;
        let end = call::End::Answered { status: response.parts.status, took: started.elapsed() };
        Ok(Answer { conn, response, end })
    }

    /// An idempotent call first tries a connection that an earlier one left behind. When that one had
    /// ended meanwhile, which says nothing of the upstream, it goes out again on a fresh one.
    async fn exchange_whole(
        &self,
        caller: &http1::Conn,
        upload: &Upload,
    ) -> Result<(http1::Conn, head::Response), Failure> {
        let idle = match self.call.idempotency {
            profile::Idempotency::Idempotent => self.permit.upstream().take_idle(),
            profile::Idempotency::AtMostOnce => None,
        };
        let Some(mut conn) = idle else { return self.exchange_fresh(caller, upload).await };
        match self.exchange_on(&mut conn, caller, upload).await {
            Ok(response) => Ok((conn, response)),
            Err(Failure::Refused(refusal)) if refusal.reason == call::Reason::ConnectionLost => {
                let fresh = self.exchange_fresh(caller, upload).await;
                fresh.map_err(|failure| failure.after_unknown())
            }
            Err(failure) => Err(failure),
        }
    }

    async fn exchange_fresh(
        &self,
        caller: &http1::Conn,
        upload: &Upload,
    ) -> Result<(http1::Conn, head::Response), Failure> {
        let mut conn = self.connect().await?;
        let response = self.exchange_on(&mut conn, caller, upload).await?;
        Ok((conn, response))
    }

    async fn exchange_on(
        &self,
        conn: &mut http1::Conn,
        caller: &http1::Conn,
        upload: &Upload,
    ) -> Result<head::Response, Failure> {
        let mut message = self.encode_start(upload)?;
        message.extend_from_slice(&body::encode_end(upload.framing));
        conn.write(message.freeze()).await.map_err(lost)?;
        self.response_head(caller, conn).await
    }

    async fn exchange_streamed(
        &self,
        caller: &mut http1::Conn,
        upload: &mut Upload,
    ) -> Result<(http1::Conn, head::Response), Failure> {
        let mut conn = self.connect().await?;
        self.stream_request(caller, &mut conn, upload).await?;
        let response = self.response_head(caller, &mut conn).await?;
        Ok((conn, response))
    }

    async fn connect(&self) -> Result<http1::Conn, Failure> {
        let upstream = self.permit.upstream();
        let limit = self.service.profile().connect_timeout.min(self.call.remaining());
        let opened = http1::Conn::open(upstream.spec().address, limit).await;
        let conn = opened.map_err(|error| {
            tracing::debug!(event = "connect_failed", upstream = %upstream.name(), %error);
            Failure::from(call::Refusal::not_run(call::Reason::Connect))
        })?;
        match conn.has_input() {
            // Whatever it is, it answers no request of ours.
            true => Err(call::Refusal::not_run(call::Reason::MalformedResponse).into()),
            false => Ok(conn),
        }
    }

    /// Reads the response's head. A caller that leaves meanwhile cancels the call, unless it runs at
    /// most once.
    async fn response_head(
        &self,
        caller: &http1::Conn,
        conn: &mut http1::Conn,
    ) -> Result<head::Response, Failure> {
        let response = std::pin::pin!(conn.read_response(&self.request.parts.method, MAX_HEAD_LEN));
        let gone = std::pin::pin!(self.cancelled(caller));
        match future::select(response, gone).await {
            Either::Left((response, _)) => response.map_err(|error| refusal_of(&error).into()),
            Either::Right(_) => Err(Failure::CallerLost),
        }
    }

    /// Takes in a response's head, unless it belongs to another call or says that nothing was run.
    fn check(&self, response: &head::Response) -> Result<(), Failure> {
        let echoed = response.parts.headers.get(call::field::CALL);
        if echoed.is_some_and(|echoed| echoed != self.call.id.to_string().as_str()) {
            return Err(call::Refusal::unknown(call::Reason::CrossedResponse).into());
        }
        self.observe(response);
        if is_shed(response) {
            return Err(call::Refusal::not_run(call::Reason::Shed).into());
        }
        Ok(())
    }

    async fn cancelled(&self, caller: &http1::Conn) {
        match self.call.idempotency {
            profile::Idempotency::Idempotent => caller.closed().await,
            profile::Idempotency::AtMostOnce => future::pending().await,
        }
    }

    /// The start of the request: its head, and what has been read of its body.
    fn encode_start(&self, upload: &Upload) -> Result<BytesMut, Failure> {
        if self.call.deadline <= Instant::now() {
            // A host that was paused may wake up long after the call's key was given to another.
            return Err(call::Refusal::not_run(call::Reason::Deadline).into());
        }
        let mut start = BytesMut::from(&self.encode_head(upload.framing)[..]);
        start.extend_from_slice(&body::encode_piece(upload.framing, upload.retained.clone()));
        Ok(start)
    }

    /// Writes the request as it comes, or as much of it as the upstream waits for before it answers.
    async fn stream_request(
        &self,
        caller: &mut http1::Conn,
        conn: &mut http1::Conn,
        upload: &mut Upload,
    ) -> Result<(), Failure> {
        let start = self.encode_start(upload)?;
        if !conn.write_unless_answered(start.freeze()).await.map_err(lost)? {
            return Ok(());
        }
        loop {
            let piece = {
                let piece = std::pin::pin!(upload.rest.next(caller));
                let answered = std::pin::pin!(conn.readable());
                match future::select(piece, answered).await {
                    Either::Left((piece, _)) => piece.map_err(caller_fault)?,
                    Either::Right(_) => return Ok(()),
                }
            };
            let (bytes, is_last) = match piece {
                Some(piece) => (body::encode_piece(upload.framing, piece), false),
                None => (body::encode_end(upload.framing), true),
            };
            if !conn.write_unless_answered(bytes).await.map_err(lost)? || is_last {
                return Ok(());
            }
        }
    }

    fn encode_head(&self, framing: body::Framing) -> Bytes {
        let parts = &self.request.parts;
        let mut headers = parts.headers.clone();
        let remaining = self.call.remaining().as_millis().to_string();
        let remaining = HeaderValue::from_str(&remaining).expect("digits");
        headers.insert(call::field::TIMEOUT, remaining);
        headers.insert(call::field::CONTEXT, self.context.clone());
        head::encode_request(&parts.method, &parts.uri, &headers, framing)
    }

    fn observe(&self, response: &head::Response) {
        let load = response.parts.headers.get(call::field::LOAD).and_then(|v| v.to_str().ok());
        let report = load.and_then(|text| upstream::Report::parse(text, Instant::now()));
        if let Some(report) = report {
            self.permit.upstream().record_report(report);
        }
    }

    /// Passes an answer on to its end; a connection that is left clean is kept.
    pub(super) async fn pass_on(
        &self,
        caller: &mut http1::Conn,
        upload: &Upload,
        answer: Answer,
        next: Next,
    ) -> Result<Next, Failure> {
        let Answer { mut conn, response, .. } = answer;
        let is_clean = upload.rest.is_done() && response.allows_reuse();
        let next = self.pass_pieces_on(caller, &mut conn, response, next).await?;
        if is_clean && !conn.has_buffered() {
            self.permit.upstream().keep_idle(conn);
        }
        Ok(next)
    }

    async fn pass_pieces_on(
        &self,
        caller: &mut http1::Conn,
        conn: &mut http1::Conn,
        mut response: head::Response,
        next: Next,
    ) -> Result<Next, Failure> {
        let old_caller = self.request.parts.version != http::Version::HTTP_11;
        let framing = match response.framing {
            body::Framing::Chunked | body::Framing::UntilClose if old_caller => {
                body::Framing::UntilClose
            }
            body::Framing::UntilClose => body::Framing::Chunked,
            framing => framing,
        };
        let next = if framing == body::Framing::UntilClose { Next::Close } else { next };
        self.rewrite(&mut response.parts.headers);
        let status = response.parts.status;
        let is_unsized = self.request.parts.method == http::Method::HEAD
            && !response.parts.headers.contains_key(http::header::CONTENT_LENGTH);
        // The answer to `HEAD` has no body, and announces a length only when the upstream did.
        let announced = if is_unsized { body::Framing::UntilClose } else { framing };
        let headers = &response.parts.headers;
        let encoded = head::encode_response(status, headers, announced, next == Next::Request);
        let mut message = BytesMut::from(&encoded[..]);
        let mut reader = body::Reader::new(response.framing);
        let mut started = false;
        loop {
            let piece = match self.next_piece(caller, conn, &mut reader, started).await? {
                Some(piece) => body::encode_piece(framing, piece),
                None => break,
            };
            message.extend_from_slice(&piece);
            if conn.has_buffered() && message.len() < MAX_HELD_LEN {
                continue;
            }
            started = true;
            self.write_back(caller, message.split()).await?;
        }
        message.extend_from_slice(&body::encode_end(framing));
        self.write_back(caller, message).await?;
        Ok(next)
    }

    /// Leaves in the headers what the caller is to see.
    fn rewrite(&self, headers: &mut HeaderMap) {
        head::remove_hop_by_hop(headers);
        // Only this host's own refusals carry these.
        for name in [call::field::OUTCOME, call::field::REASON] {
            headers.remove(name);
        }
        headers.remove(call::field::CALL);
        headers.remove(call::field::LOAD);
        let name = HeaderValue::from_str(self.permit.upstream().name().as_str());
        headers.insert(call::field::UPSTREAM, name.expect("a name fits a field"));
    }

    /// The next piece of the answer's body; a caller that leaves meanwhile cancels an idempotent call.
    async fn next_piece(
        &self,
        caller: &http1::Conn,
        conn: &mut http1::Conn,
        reader: &mut body::Reader,
        started: bool,
    ) -> Result<Option<Bytes>, Failure> {
        if let Some(piece) = reader.buffered(conn) {
            return piece.map_err(|error| broken(started, reason_of(&error)));
        }
        let piece = std::pin::pin!(reader.next(conn));
        let gone = std::pin::pin!(self.cancelled(caller));
        let either = future::select(piece, gone);
        match monoio::time::timeout(self.call.remaining(), either).await {
            Ok(Either::Left((piece, _))) => {
                piece.map_err(|error| broken(started, reason_of(&error)))
            }
            Ok(Either::Right(_)) => Err(Failure::CallerLost),
            Err(_) => Err(broken(started, call::Reason::Deadline)),
        }
    }

    /// Writes a part of the answer; a caller that does not read is given up at the call's deadline.
    async fn write_back(&self, caller: &mut http1::Conn, part: BytesMut) -> Result<(), Failure> {
        let written = caller.write_within(part.freeze(), self.call.remaining()).await;
        written.map_err(|_| Failure::CallerLost)
    }
}

/// An answer cut short before the caller saw any of it is a refusal; after that, a broken answer.
fn broken(started: bool, reason: call::Reason) -> Failure {
    match started {
        true => Failure::Broken(reason),
        false => call::Refusal::unknown(reason).into(),
    }
}

fn lost(_: io::Error) -> Failure {
    call::Refusal::unknown(call::Reason::ConnectionLost).into()
}

fn refusal_of(error: &http1::Error) -> call::Refusal {
    call::Refusal::unknown(reason_of(error))
}

fn reason_of(error: &http1::Error) -> call::Reason {
    match error.category() {
        http1::Category::Malformed | http1::Category::HeadTooLarge => {
            call::Reason::MalformedResponse
        }
        http1::Category::CutShort | http1::Category::Io => call::Reason::ConnectionLost,
    }
}

/// What a fault of the caller's body means once its start has been sent on.
fn caller_fault(error: http1::Error) -> Failure {
    match error.category() {
        http1::Category::Malformed | http1::Category::HeadTooLarge => Failure::Malformed(error),
        http1::Category::CutShort | http1::Category::Io => Failure::CallerLost,
    }
}

/// Whether an upstream says that it ran nothing of the call.
///
/// Refusals of entry hosts give a reason: one that an upstream passes on from a call of its own says
/// nothing of what the upstream did.
fn is_shed(response: &head::Response) -> bool {
    if response.parts.headers.contains_key(call::field::REASON) {
        return false;
    }
    let outcome = response.parts.headers.get(call::field::OUTCOME);
    let is_error = response.parts.status.is_server_error()
        || response.parts.status == http::StatusCode::TOO_MANY_REQUESTS;
    is_error && outcome.is_some_and(|outcome| outcome == "not-run")
}
