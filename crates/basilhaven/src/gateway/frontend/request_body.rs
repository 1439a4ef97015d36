//! Reads the bodies of requests, or skips those that are not needed.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{self, Either};
use http::header;

use super::{id_text, response, Frontend, Persistence, Source};
use crate::gateway::{memory, reply, route, shaper};
use crate::http1::{self, body, head};

/// How long a caller may take to send a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Length up to which a body that is not needed is skipped, so that its connection stays open for
/// the requests behind it.
const MAX_SKIPPED_LEN: u64 = 64 * 1024;

/// A request whose body has not been read.
pub(super) struct Unread {
    framing: body::Framing,
    /// Whether the caller sends the body only after an interim response.
    awaits_continue: bool,
}

impl Unread {
    pub(super) fn new(request: &head::Request) -> Unread {
        Unread { framing: request.framing, awaits_continue: awaits_continue(request) }
    }

    /// Delivers a reply that is known without the body.
    pub(super) async fn reply(
        self,
        frontend: &Frontend,
        conn: &mut http1::Conn,
        reply: reply::Reply,
        persistence: Persistence,
        source: Source,
    ) -> Result<Persistence, http1::Error> {
        let persistence = self.persistence(persistence);
        response::deliver(frontend, conn, reply, persistence, source).await?;
        self.skip(conn, persistence).await
    }

    /// Returns what happens to the connection: it can carry another request only if the body is
    /// short enough to be skipped.
    fn persistence(&self, persistence: Persistence) -> Persistence {
        match self.framing {
            body::Framing::Empty => persistence,
            body::Framing::Length(len) if len <= MAX_SKIPPED_LEN && !self.awaits_continue => {
                persistence
            }
            _ => Persistence::Close,
        }
    }

    /// Skips the body after the response if the connection stays open.
    async fn skip(
        self,
        conn: &mut http1::Conn,
        persistence: Persistence,
    ) -> Result<Persistence, http1::Error> {
        let mut reader = body::Reader::new(self.framing);
        if persistence != Persistence::Reuse || reader.is_done() {
            return Ok(persistence);
        }
        let skip = async {
            while reader.next(conn).await?.is_some() {}
            Ok(persistence)
        };
        // A caller that does not send the rest has its response.
        monoio::time::timeout(BODY_TIMEOUT, skip).await.unwrap_or(Ok(Persistence::Close))
    }
}

fn awaits_continue(request: &head::Request) -> bool {
    let expects = request.parts.headers.get(header::EXPECT);
    expects.is_some_and(|e| e.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// A request body, as far as it was read.
pub(super) enum Body {
    Whole(body::Held),
    /// It exceeds the configured limit.
    TooLarge,
    /// It was dropped in favour of others, or there is no memory for it.
    Dropped,
}

/// Reads the request body into memory that `share` counts. Until it is whole no call has begun, and
/// the connection, which `conn_share` counts, may be dropped.
pub(super) async fn read_body(
    frontend: &Frontend,
    conn: &mut http1::Conn,
    request: &head::Request,
    limits: &route::Limits,
    (share, conn_share): (&memory::Share, &memory::Share),
) -> Result<Body, http1::Error> {
    let mut reader = body::Reader::new(request.framing);
    if reader.is_done() {
        return Ok(Body::Whole(body::Held::default()));
    }
    if awaits_continue(request) {
        conn.write(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n")).await?;
    }
    let read_all = async {
        let mut collector = body::Collector::default();
        while let Some(mut piece) = reader.next(conn).await? {
            if collector.len() + piece.len() > limits.max_body_len {
                return Ok(Body::TooLarge);
            }
            let now = Instant::now();
            share.record_received(piece.len(), now);
            conn_share.record_received(piece.len(), now);
            if collector.len() > shaper::UNSHAPED_LEN && frontend.active_calls.get() > 1 {
                frontend.inbound.wait(piece.len()).await;
            }
            while !piece.is_empty() {
                if collector.is_full() {
                    let missing = reader.missing().map(|missing| missing + piece.len() as u64);
                    let len = collector.next_block_len(missing);
                    if share.acquire(len).await.is_err() {
                        return Ok(Body::Dropped);
                    }
                    collector.add_block(len);
                }
                collector.fill(&mut piece);
            }
        }
        Ok(Body::Whole(collector.finish()))
    };
    conn_share.set_phase(memory::Phase::Receiving);
    let result = {
        let read_all = std::pin::pin!(monoio::time::timeout(BODY_TIMEOUT, read_all));
        let body_dropped = std::pin::pin!(share.dropped());
        let conn_dropped = std::pin::pin!(conn_share.dropped());
        let dropped = future::select(body_dropped, conn_dropped);
        match future::select(read_all, dropped).await {
            // The connection that is accepted in favour of a dropped one does not wait for a call.
            Either::Left((Ok(Ok(Body::Whole(_))), _)) if conn_share.is_dropped() => {
                Ok(Body::Dropped)
            }
            Either::Left((Ok(result), _)) => result,
            Either::Left((Err(_), _)) => Err(http1::Error::cut_short("body took too long")),
            Either::Right(_) => Ok(Body::Dropped),
        }
    };
    conn_share.set_phase(memory::Phase::Serving);
    result
}

pub(super) fn log_too_long(
    frontend: &Frontend,
    request: &head::Request,
    route: &route::Route,
    limits: &route::Limits,
) {
    tracing::info!(
        event = "body_too_long",
        id = id_text(frontend, request),
        route = &*route.name,
        limit = limits.max_body_len,
    );
}
