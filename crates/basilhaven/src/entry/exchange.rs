//! One attempt of a call: sends the request to one upstream and forwards the response.

use std::future::Future;
use std::io;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use futures_util::future::{self, Either};
use http::header::{HeaderMap, HeaderValue};

use super::forward::Upload;
use super::Persistence;
use crate::http1::{self, body, head};
use crate::{call, profile, service, upstream};

/// Maximum length of a response head in bytes.
const MAX_HEAD_LEN: usize = 64 * 1024;

/// Maximum number of bytes of a response that are collected before they are forwarded.
const MAX_COALESCED_LEN: usize = 64 * 1024;

/// How an attempt ended without a complete response.
#[derive(Debug)]
pub(super) enum Failure {
    /// Nothing of a response has been sent to the caller.
    Refused(call::Refusal),
    /// The start of a response has been sent to the caller, and the rest will not come.
    Truncated(call::Reason),
    /// The caller closed its connection.
    CallerLost,
    /// The caller closed its connection before anything was sent to an upstream.
    Withdrawn,
    /// The caller's body turned out to be malformed after its start had been forwarded.
    Malformed(http1::Error),
}

impl Failure {
    /// Returns `true` if the attempt failed on the upstream's side, with the caller still
    /// connected.
    pub(super) fn is_refusal(&self) -> bool {
        matches!(self, Failure::Refused(_))
    }

    /// Returns this failure for a call of which another attempt has failed with `other`: if that
    /// attempt may have run, the outcome of the call is unknown.
    pub(super) fn after(self, other: &Failure) -> Failure {
        match other.is_not_run() {
            true => self,
            false => self.after_unknown(),
        }
    }

    /// Returns `true` if no upstream has run any part of the call or will run it.
    pub(super) fn is_not_run(&self) -> bool {
        match self {
            Failure::Refused(refusal) => refusal.outcome == call::Outcome::NotRun,
            Failure::Withdrawn => true,
            Failure::Truncated(_) | Failure::CallerLost | Failure::Malformed(_) => false,
        }
    }

    /// Returns this failure for a call of which an earlier attempt may have run: the outcome of the
    /// call is unknown.
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

/// One attempt of a call.
#[derive(Debug)]
pub(super) struct Attempt<'a> {
    pub(super) call: &'a call::Call,
    pub(super) service: &'a service::Service,
    pub(super) request: &'a head::Request,
    pub(super) permit: &'a service::Permit,
    /// The signed context that is sent to the upstream.
    pub(super) context: HeaderValue,
}

/// A response whose head has arrived, and the connection that carries its body.
#[derive(Debug)]
pub(super) struct Response {
    conn: http1::Conn,
    response: head::Response,
    /// How the attempt ended, for the state of its upstream.
    pub(super) end: call::End,
}

impl Attempt<'_> {
    /// Sends the request and waits for the head of the response.
    pub(super) async fn send(
        &self,
        caller: &mut http1::Conn,
        upload: &mut Upload,
    ) -> Result<Response, Failure> {
        match upload.is_fully_buffered {
            true => self.send_buffered(caller, upload).await,
            false => self.within_deadline(self.exchange_streamed(caller, upload)).await,
        }
    }

    /// Sends a fully buffered request and waits for the head of the response.
    pub(super) async fn send_buffered(
        &self,
        caller: &http1::Conn,
        upload: &Upload,
    ) -> Result<Response, Failure> {
        self.within_deadline(self.exchange_buffered(caller, upload)).await
    }

    async fn within_deadline<F>(&self, exchange: F) -> Result<Response, Failure>
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
        Ok(Response { conn, response, end })
    }

    /// Sends a fully buffered request, for an idempotent call first on an idle connection. If that
    /// connection turns out to be closed, which says nothing about the upstream, the request is
    /// sent again on a new one.
    async fn exchange_buffered(
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

    /// Sends a fully buffered request on a new connection.
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
        conn.write(message.freeze()).await.map_err(connection_lost)?;
        self.response_head(caller, conn).await
    }

    /// Sends a request whose body is read from the caller meanwhile, on a new connection.
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
            // The bytes cannot be a response, since no request has been sent.
            true => Err(call::Refusal::not_run(call::Reason::MalformedResponse).into()),
            false => Ok(conn),
        }
    }

    /// Reads the response head. If the caller closes its connection meanwhile, the call is
    /// cancelled, unless it is an at-most-once call.
    async fn response_head(
        &self,
        caller: &http1::Conn,
        conn: &mut http1::Conn,
    ) -> Result<head::Response, Failure> {
        let response = std::pin::pin!(conn.read_response(&self.request.parts.method, MAX_HEAD_LEN));
        let closed = std::pin::pin!(self.cancelled(caller));
        match future::select(response, closed).await {
            Either::Left((response, _)) => response.map_err(|error| refusal_of(&error).into()),
            Either::Right(_) => Err(Failure::CallerLost),
        }
    }

    /// Accepts a response head unless it belongs to another call or says that the call was shed.
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

    /// Waits until the caller closes its connection. Never completes for an at-most-once call,
    /// which is not cancelled.
    async fn cancelled(&self, caller: &http1::Conn) {
        match self.call.idempotency {
            profile::Idempotency::Idempotent => caller.closed().await,
            profile::Idempotency::AtMostOnce => future::pending().await,
        }
    }

    /// Encodes the start of the request: its head and the buffered part of its body.
    fn encode_start(&self, upload: &Upload) -> Result<BytesMut, Failure> {
        if self.call.deadline <= Instant::now() {
            // After a long process pause, the claim on the call's key may have been given to
            // another call.
            return Err(call::Refusal::not_run(call::Reason::Deadline).into());
        }
        let mut start = BytesMut::from(&self.encode_head(upload.framing)[..]);
        start.extend_from_slice(&body::encode_piece(upload.framing, upload.buffered.clone()));
        Ok(start)
    }

    /// Writes the request as it arrives, until its end or until the upstream starts to respond.
    async fn stream_request(
        &self,
        caller: &mut http1::Conn,
        conn: &mut http1::Conn,
        upload: &mut Upload,
    ) -> Result<(), Failure> {
        let start = self.encode_start(upload)?;
        if !conn.write_unless_answered(start.freeze()).await.map_err(connection_lost)? {
            return Ok(());
        }
        loop {
            let piece = {
                let piece = std::pin::pin!(upload.rest.next(caller));
                let answered = std::pin::pin!(conn.readable());
                match future::select(piece, answered).await {
                    Either::Left((piece, _)) => piece.map_err(body_failure)?,
                    Either::Right(_) => return Ok(()),
                }
            };
            let (bytes, is_last) = match piece {
                Some(piece) => (body::encode_piece(upload.framing, piece), false),
                None => (body::encode_end(upload.framing), true),
            };
            if !conn.write_unless_answered(bytes).await.map_err(connection_lost)? || is_last {
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

    /// Records the upstream's load report, if the response carries one.
    fn observe(&self, response: &head::Response) {
        let load = response.parts.headers.get(call::field::LOAD).and_then(|v| v.to_str().ok());
        let report = load.and_then(|text| upstream::Report::parse(text, Instant::now()));
        if let Some(report) = report {
            self.permit.upstream().record_report(report);
        }
    }

    /// Forwards a response to its end. A connection left in a clean state is kept for reuse.
    pub(super) async fn forward(
        &self,
        caller: &mut http1::Conn,
        upload: &Upload,
        response: Response,
        persistence: Persistence,
    ) -> Result<Persistence, Failure> {
        let Response { mut conn, response, .. } = response;
        let is_clean = upload.rest.is_done() && response.allows_reuse();
        let persistence = self.forward_pieces(caller, &mut conn, response, persistence).await?;
        if is_clean && !conn.has_buffered() {
            self.permit.upstream().keep_idle(conn);
        }
        Ok(persistence)
    }

    async fn forward_pieces(
        &self,
        caller: &mut http1::Conn,
        conn: &mut http1::Conn,
        mut response: head::Response,
        persistence: Persistence,
    ) -> Result<Persistence, Failure> {
        let is_http_1_0 = self.request.parts.version != http::Version::HTTP_11;
        let framing = match response.framing {
            body::Framing::Chunked | body::Framing::UntilClose if is_http_1_0 => {
                body::Framing::UntilClose
            }
            body::Framing::UntilClose => body::Framing::Chunked,
            framing => framing,
        };
        let persistence =
            if framing == body::Framing::UntilClose { Persistence::Close } else { persistence };
        self.rewrite(&mut response.parts.headers);
        let status = response.parts.status;
        let is_unsized = self.request.parts.method == http::Method::HEAD
            && !response.parts.headers.contains_key(http::header::CONTENT_LENGTH);
        // The response to `HEAD` has no body, and declares a length only if the upstream's does.
        let declared = if is_unsized { body::Framing::UntilClose } else { framing };
        let headers = &response.parts.headers;
        let encoded =
            head::encode_response(status, headers, declared, persistence == Persistence::Reuse);
        let mut message = BytesMut::from(&encoded[..]);
        let mut reader = body::Reader::new(response.framing);
        let mut started = false;
        loop {
            let piece = match self.next_piece(caller, conn, &mut reader, started).await? {
                Some(piece) => body::encode_piece(framing, piece),
                None => break,
            };
            message.extend_from_slice(&piece);
            if conn.has_buffered() && message.len() < MAX_COALESCED_LEN {
                continue;
            }
            started = true;
            self.write_back(caller, message.split()).await?;
        }
        message.extend_from_slice(&body::encode_end(framing));
        self.write_back(caller, message).await?;
        Ok(persistence)
    }

    /// Removes headers that the caller must not see, and adds the name of the upstream.
    fn rewrite(&self, headers: &mut HeaderMap) {
        head::remove_hop_by_hop(headers);
        // Towards the caller, these fields mark refusals by this host only.
        for name in [call::field::OUTCOME, call::field::REASON] {
            headers.remove(name);
        }
        headers.remove(call::field::CALL);
        headers.remove(call::field::LOAD);
        let name = HeaderValue::from_str(self.permit.upstream().name().as_str());
        headers.insert(call::field::UPSTREAM, name.expect("a name is valid in a header"));
    }

    /// Reads the next piece of the response body. If the caller closes its connection meanwhile, an
    /// idempotent call is cancelled.
    async fn next_piece(
        &self,
        caller: &http1::Conn,
        conn: &mut http1::Conn,
        reader: &mut body::Reader,
        started: bool,
    ) -> Result<Option<Bytes>, Failure> {
        if let Some(piece) = reader.buffered(conn) {
            return piece.map_err(|error| truncated(started, reason_of(&error)));
        }
        let piece = std::pin::pin!(reader.next(conn));
        let closed = std::pin::pin!(self.cancelled(caller));
        let either = future::select(piece, closed);
        match monoio::time::timeout(self.call.remaining(), either).await {
            Ok(Either::Left((piece, _))) => {
                piece.map_err(|error| truncated(started, reason_of(&error)))
            }
            Ok(Either::Right(_)) => Err(Failure::CallerLost),
            Err(_) => Err(truncated(started, call::Reason::Deadline)),
        }
    }

    /// Writes a part of the response to the caller. Fails if the caller has not read it by the
    /// call's deadline.
    async fn write_back(&self, caller: &mut http1::Conn, part: BytesMut) -> Result<(), Failure> {
        let written = caller.write_within(part.freeze(), self.call.remaining()).await;
        written.map_err(|_| Failure::CallerLost)
    }
}

/// Returns the failure for an incomplete response: a refusal if nothing of it has been forwarded
/// yet, otherwise a truncated response.
fn truncated(started: bool, reason: call::Reason) -> Failure {
    match started {
        true => Failure::Truncated(reason),
        false => call::Refusal::unknown(reason).into(),
    }
}

fn connection_lost(_: io::Error) -> Failure {
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

/// Returns the failure for an error in reading the rest of the caller's body, after the start of
/// the body has been forwarded.
fn body_failure(error: http1::Error) -> Failure {
    match error.category() {
        http1::Category::Malformed | http1::Category::HeadTooLarge => Failure::Malformed(error),
        http1::Category::CutShort | http1::Category::Io => Failure::CallerLost,
    }
}

/// Returns `true` if the upstream says that it ran no part of the call.
///
/// Refusals by entry hosts carry a reason. An upstream that forwards such a refusal of one of its
/// own calls does not thereby say that it ran nothing itself.
fn is_shed(response: &head::Response) -> bool {
    if response.parts.headers.contains_key(call::field::REASON) {
        return false;
    }
    let outcome = response.parts.headers.get(call::field::OUTCOME);
    let is_error = response.parts.status.is_server_error()
        || response.parts.status == http::StatusCode::TOO_MANY_REQUESTS;
    is_error && outcome.is_some_and(|outcome| outcome == "not-run")
}
