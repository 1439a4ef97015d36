//! Writes responses to callers.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::future::{self, Either};
use http::header::{self, HeaderMap, HeaderValue};

use super::{Frontend, Persistence, Source};
use crate::gateway::{attempt, forward, memory, notify, reply};
use crate::http1::{self, body, head};

/// Timeout of one write to a caller that reads slowly.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Length up to which a response is written in one piece with its head, which costs a copy and saves
/// a packet.
const MAX_JOINED_LEN: usize = 16 * 1024;

/// Memory that a piece of a response takes besides its bytes.
const PIECE_OVERHEAD: usize = 64;

/// Sends the reply to a call.
pub(super) async fn deliver(
    frontend: &Frontend,
    conn: &mut http1::Conn,
    reply: reply::Reply,
    persistence: Persistence,
    source: Source,
) -> Result<Persistence, http1::Error> {
    let ending = forward::Ending::from(&reply);
    let leaving = match &reply {
        reply::Reply::Response(answer) => answer.response().leaving.clone(),
        reply::Reply::NotRun { .. } | reply::Reply::Unknown(_) => None,
    };
    let (status, mut headers, body, remainder, share) = match reply {
        reply::Reply::NotRun { retry_after, .. } => {
            let mut headers = HeaderMap::new();
            let after = format!("{:.3}", retry_after.as_secs_f64());
            headers.insert(header::RETRY_AFTER, HeaderValue::from_str(&after).expect("a number"));
            (http::StatusCode::SERVICE_UNAVAILABLE, headers, Bytes::new(), None, None)
        }
        reply::Reply::Unknown(failure) => {
            (failure.status(), HeaderMap::new(), Bytes::new(), None, None)
        }
        reply::Reply::Response(answer) => {
            let attempt::Response { status, headers, body, remainder, share, .. } =
                answer.into_response();
            (status, headers, body, remainder, share)
        }
    };
    if let Source::Host(_) = source {
        ending.write(&mut headers);
        if let Some(upstream) = leaving {
            forward::write_leaving(&mut headers, &upstream);
        }
    }
    let share = share.unwrap_or_else(|| frontend.memory.response_share());
    let head = (status, headers);
    match remainder {
        None => send_response(conn, head, body, persistence, &share).await,
        Some(remainder) => {
            let max_ahead = frontend.memory.max_response_len();
            stream_response(conn, head, body, (remainder, max_ahead), persistence, &share).await
        }
    }
}

/// Sends a response without a body.
pub(super) async fn respond_empty(
    conn: &mut http1::Conn,
    status: http::StatusCode,
    persistence: Persistence,
) -> Result<Persistence, http1::Error> {
    let keeps_open = persistence == Persistence::Reuse;
    let encoded =
        head::encode_response(status, &HeaderMap::new(), body::Framing::Empty, keeps_open);
    conn.write_within(encoded, WRITE_TIMEOUT).await?;
    Ok(persistence)
}

/// Sends a response whose whole body is in memory.
async fn send_response(
    conn: &mut http1::Conn,
    (status, headers): (http::StatusCode, HeaderMap),
    content: Bytes,
    persistence: Persistence,
    share: &memory::Share,
) -> Result<Persistence, http1::Error> {
    let framing = body::Framing::of_len(content.len());
    let encoded =
        head::encode_response(status, &headers, framing, persistence == Persistence::Reuse);
    if content.len() > MAX_JOINED_LEN {
        write(conn, encoded, share).await?;
        write(conn, content, share).await?;
        return Ok(persistence);
    }
    let mut message = BytesMut::with_capacity(encoded.len() + content.len());
    message.extend_from_slice(&encoded);
    message.extend_from_slice(&content);
    write(conn, message.freeze(), share).await?;
    Ok(persistence)
}

/// Writes a part of a response. A caller that reads slowly may lose it if memory is short.
async fn write(
    conn: &mut http1::Conn,
    bytes: Bytes,
    share: &memory::Share,
) -> Result<(), http1::Error> {
    let len = bytes.len();
    share.set_phase(memory::Phase::Receiving);
    let result = {
        let written = std::pin::pin!(conn.write_within(bytes, WRITE_TIMEOUT));
        match future::select(written, std::pin::pin!(share.dropped())).await {
            Either::Left((result, _)) => result.map_err(http1::Error::from),
            Either::Right(_) => Err(http1::Error::cut_short("no memory for an unread response")),
        }
    };
    share.set_phase(memory::Phase::Serving);
    share.record_received(len, Instant::now());
    result
}

/// Streams a long response to the caller, and reads it from the upstream ahead of the caller by up
/// to `max_ahead` bytes: upstreams cut off a response that stays unread. If the upstream fails or
/// the deadline passes before its end, the connection is reset, so that the caller does not take
/// the response for complete.
async fn stream_response(
    conn: &mut http1::Conn,
    (status, headers): (http::StatusCode, HeaderMap),
    start: Bytes,
    (mut remainder, max_ahead): (Box<attempt::Remainder>, Option<usize>),
    persistence: Persistence,
    share: &memory::Share,
) -> Result<Persistence, http1::Error> {
    let framing = match remainder.framing {
        body::Framing::UntilClose => body::Framing::Chunked,
        framing => framing,
    };
    let pieces = Pieces::new(share, max_ahead.unwrap_or(0));
    let deliver = async {
        let encoded =
            head::encode_response(status, &headers, framing, persistence == Persistence::Reuse);
        write(conn, encoded, share).await?;
        let start_len = start.len();
        write(conn, body::encode_piece(framing, start), share).await?;
        share.release(start_len);
        while let Some(piece) = pieces.next().await {
            write(conn, body::encode_piece(framing, piece), share).await?;
        }
        if let Some(error) = pieces.error.take() {
            tracing::info!(event = "answer_cut_short", error);
            return Ok(Persistence::Abort);
        }
        write(conn, body::encode_end(framing), share).await?;
        Ok(persistence)
    };
    let deliver = std::pin::pin!(deliver);
    let read = std::pin::pin!(pieces.read(&mut remainder));
    match future::select(deliver, read).await {
        Either::Left((result, _)) => result,
        Either::Right(((), deliver)) => deliver.await,
    }
}

/// The pieces of a response that were read from the upstream and not yet written to the caller.
struct Pieces<'a> {
    pieces: RefCell<VecDeque<Bytes>>,
    /// How many bytes may be held before the caller has taken them; one piece always may.
    max_len: usize,
    share: &'a memory::Share,
    is_complete: Cell<bool>,
    /// Why the response is incomplete, once it is known to be.
    error: RefCell<Option<String>>,
    changed: notify::Notifier,
}

impl<'a> Pieces<'a> {
    fn new(share: &'a memory::Share, max_len: usize) -> Pieces<'a> {
        Pieces {
            pieces: RefCell::default(),
            max_len,
            share,
            is_complete: Cell::default(),
            error: RefCell::default(),
            changed: notify::Notifier::default(),
        }
    }

    /// Reads the remainder of a response to its end, as far ahead of the caller as memory allows.
    async fn read(&self, remainder: &mut attempt::Remainder) {
        loop {
            // A timeout fires only when a read has to wait, so the deadline is also checked here:
            // an upstream may send without a pause.
            let is_in_time = Instant::now() < remainder.deadline;
            let next = remainder.reader.next(&mut remainder.conn);
            let piece = match is_in_time {
                true => attempt::timeout_at(remainder.deadline, next).await.ok(),
                false => None,
            };
            match piece {
                Some(Ok(Some(piece))) => self.push(piece).await,
                Some(Ok(None)) => break,
                Some(Err(error)) => {
                    self.error.replace(Some(error.to_string()));
                    break;
                }
                None => {
                    self.error.replace(Some("the deadline has passed".to_owned()));
                    break;
                }
            }
        }
        self.is_complete.set(true);
        self.changed.notify();
    }

    /// Adds a piece once there is room for it.
    async fn push(&self, piece: Bytes) {
        loop {
            let seen = self.changed.count();
            let is_empty = self.pieces.borrow().is_empty();
            let has_room = self.share.len() + piece.len() <= self.max_len;
            if is_empty || has_room && self.share.try_grow(PIECE_OVERHEAD + piece.len()) {
                if is_empty {
                    self.share.add_held(PIECE_OVERHEAD + piece.len(), Instant::now());
                }
                // A slice of the read buffer would keep all of it.
                let is_held = self.max_len > 0;
                let piece = if is_held { Bytes::copy_from_slice(&piece) } else { piece };
                self.pieces.borrow_mut().push_back(piece);
                self.changed.notify();
                return;
            }
            self.changed.wait(seen).await;
        }
    }

    /// Takes the next piece; `None` at the end.
    async fn next(&self) -> Option<Bytes> {
        loop {
            let seen = self.changed.count();
            let piece = self.pieces.borrow_mut().pop_front();
            if let Some(piece) = piece {
                self.share.release(PIECE_OVERHEAD + piece.len());
                self.changed.notify();
                return Some(piece);
            }
            if self.is_complete.get() {
                return None;
            }
            self.changed.wait(seen).await;
        }
    }
}
