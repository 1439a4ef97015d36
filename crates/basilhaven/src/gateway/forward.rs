//! Passes calls that this host cannot place to another host, which places them.
//!
//! The other host receives the caller's request on a connection between hosts, with the [`Terms`]
//! in header fields of its own, and never passes it on. Its response tells in [`RESULT`] whether
//! the response is an upstream's, or whether the call has not run.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{self, Either};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use indexmap::IndexMap;

use super::{attempt, cluster, history, memory, notify, pause, protocol, relay, reply, shaper};
use crate::http1::{self, body, head};
use crate::profile;

/// On requests: the service that takes the call.
const SERVICE: HeaderName = HeaderName::from_static("basilhaven-service");

/// On requests: the version of the sender's configuration.
const VERSION: HeaderName = HeaderName::from_static("basilhaven-config-version");

/// On requests: attempts that are left.
const ATTEMPTS: HeaderName = HeaderName::from_static("basilhaven-attempts");

/// On requests: milliseconds since the call arrived at the sender.
const ELAPSED_MS: HeaderName = HeaderName::from_static("basilhaven-elapsed-ms");

/// On requests, and on responses to calls that have not run: ids of the upstreams that the call was
/// sent to, separated by spaces. Earlier builds leave it out if there are none, and on responses.
const TRIED: HeaderName = HeaderName::from_static("basilhaven-tried");

/// On responses: how the call has ended, see [`Ending`].
const RESULT: HeaderName = HeaderName::from_static("basilhaven-result");

/// On responses: the attempts that were made.
const SENDS: HeaderName = HeaderName::from_static("basilhaven-sends");

/// On responses: the id of the upstream, if it has said that it is leaving.
const LEAVING: HeaderName = HeaderName::from_static("basilhaven-leaving");

/// On requests: present if the sender has checked the caller's key. Believed only on connections of
/// builds that remove it from callers' requests; see [`relay::encode_calls`].
const CHECKED: HeaderName = HeaderName::from_static("basilhaven-key-checked");

const FIELDS: [HeaderName; 6] = [SERVICE, VERSION, ATTEMPTS, ELAPSED_MS, TRIED, CHECKED];

const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum idle time of a connection that is reused. A connection that has gone silent would cost a
/// call that may not be repeated.
const MAX_IDLE: Duration = Duration::from_secs(4);
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(500);

/// The most idle connections to one host.
const MAX_IDLE_CONNS: usize = 16;

/// How long a host that has not answered a call is chosen only if there is no other.
const AVOID_TIME: Duration = Duration::from_millis(500);

/// The calls in progress at a host that another host may have more before it is passed over for the
/// other one: for one in another data centre, and for one that is not advertised.
const REMOTE_PENALTY: u32 = 2;
const UNADVERTISED_PENALTY: u32 = 8;

/// What a host needs to know of a call that another host passes to it, besides the request.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use basilhaven::gateway::{forward, history};
///
/// let mut sends = history::Sends::default();
/// sends.record("i-1".into());
/// let terms = forward::Terms {
///     service: "catalogo".into(),
///     version: 7,
///     attempts: 2,
///     elapsed: Duration::from_millis(30),
///     sends,
///     is_key_checked: false,
/// };
/// let mut headers = http::HeaderMap::new();
/// terms.write(&mut headers);
/// assert_eq!(forward::Terms::try_from(&headers), Ok(terms));
/// assert!(forward::Terms::try_from(&http::HeaderMap::new()).is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// The service that takes the call.
    pub service: Rc<str>,
    /// The version of the configuration by which the service was chosen.
    pub version: u64,
    /// The attempts that are left.
    pub attempts: u32,
    /// The time since the call arrived at the first host.
    pub elapsed: Duration,
    /// The upstreams that the call was sent to.
    pub sends: history::Sends,
    /// Whether the sender has checked the caller's key. The header field that upstreams get then
    /// names the organisation, if there is one.
    pub is_key_checked: bool,
}

/// Why the terms of a call are invalid.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("header field {field} is missing or invalid")]
pub struct Error {
    field: HeaderName,
}

impl Terms {
    /// Adds the header fields of these terms.
    pub fn write(&self, headers: &mut HeaderMap) {
        let text = |text: &str| HeaderValue::from_str(text).ok();
        if let Some(service) = text(&self.service) {
            headers.insert(SERVICE, service);
        }
        headers.insert(VERSION, HeaderValue::from(self.version));
        headers.insert(ATTEMPTS, HeaderValue::from(self.attempts));
        headers.insert(ELAPSED_MS, HeaderValue::from(self.elapsed.as_millis() as u64));
        write_sends(&self.sends, headers);
        match self.is_key_checked {
            true => headers.insert(CHECKED, HeaderValue::from_static("1")),
            false => headers.remove(CHECKED),
        };
    }

    /// Returns whether the call was sent to an upstream before.
    pub fn is_retry(&self) -> bool {
        !self.sends.upstreams().is_empty()
    }
}

impl TryFrom<&HeaderMap> for Terms {
    type Error = Error;

    fn try_from(headers: &HeaderMap) -> Result<Terms, Error> {
        let text = |field: HeaderName| {
            let value = headers.get(&field).and_then(|value| value.to_str().ok());
            value.ok_or(Error { field })
        };
        let number = |field: HeaderName| {
            text(field.clone())?.parse::<u64>().map_err(|_| Error { field: field.clone() })
        };
        let attempts = number(ATTEMPTS)?;
        Ok(Terms {
            service: text(SERVICE)?.into(),
            version: number(VERSION)?,
            attempts: u32::try_from(attempts).map_err(|_| Error { field: ATTEMPTS })?,
            elapsed: Duration::from_millis(number(ELAPSED_MS)?),
            sends: read_sends(headers),
            is_key_checked: headers.contains_key(CHECKED),
        })
    }
}

/// Adds the header field that names the upstreams that a call was sent to, unless the other host
/// would read other names in it.
fn write_sends(sends: &history::Sends, headers: &mut HeaderMap) {
    let is_one_word = |id: &Rc<str>| !id.is_empty() && !id.contains(char::is_whitespace);
    let is_known = !sends.has_unknown() && sends.upstreams().iter().all(is_one_word);
    match HeaderValue::from_str(&sends.upstreams().join(" ")) {
        Ok(tried) if is_known => headers.insert(TRIED, tried),
        _ => headers.remove(TRIED),
    };
}

/// Returns the upstreams that a call was sent to, as far as the header fields name them.
fn read_sends(headers: &HeaderMap) -> history::Sends {
    let mut sends = history::Sends::default();
    match headers.get(TRIED).and_then(|value| value.to_str().ok()) {
        Some(tried) => tried.split_whitespace().for_each(|id| sends.record(id.into())),
        None => sends.record_unknown(),
    }
    sends
}

/// Removes the header fields of terms from a request.
pub fn remove_terms(headers: &mut HeaderMap) {
    FIELDS.iter().for_each(|field| {
        headers.remove(field);
    });
}

/// How a call has ended at the host that it was passed to.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Ending {
    /// The response is an upstream's.
    #[display("answered")]
    Answered,
    /// The call has not run after so many attempts, and will not run.
    #[display("not-run")]
    NotRun {
        /// The attempts that were made.
        attempts: u32,
        /// The upstreams that the call was sent to.
        sends: history::Sends,
    },
    /// The call may have run.
    #[display("unknown")]
    Unknown,
}

impl Ending {
    /// Adds the header fields that tell this ending.
    pub fn write(&self, headers: &mut HeaderMap) {
        let result = HeaderValue::from_str(&self.to_string()).expect("letters and dashes");
        headers.insert(RESULT, result);
        if let Ending::NotRun { attempts, sends } = self {
            headers.insert(SENDS, HeaderValue::from(*attempts));
            write_sends(sends, headers);
        }
    }

    /// Returns the ending that a response tells, and removes its header fields. A response without
    /// them leaves it unknown whether the call has run.
    fn take(headers: &mut HeaderMap) -> Ending {
        let attempts = headers.remove(SENDS);
        let attempts = attempts.and_then(|value| value.to_str().ok()?.parse().ok());
        let result = headers.remove(RESULT);
        match (result.as_ref().map(HeaderValue::as_bytes), attempts) {
            (Some(b"answered"), _) => Ending::Answered,
            (Some(b"not-run"), Some(0)) => {
                Ending::NotRun { attempts: 0, sends: history::Sends::default() }
            }
            (Some(b"not-run"), Some(attempts)) => {
                Ending::NotRun { attempts, sends: read_sends(headers) }
            }
            _ => Ending::Unknown,
        }
    }
}

impl From<&reply::Reply> for Ending {
    fn from(reply: &reply::Reply) -> Ending {
        match reply {
            reply::Reply::Response(_) => Ending::Answered,
            reply::Reply::NotRun { attempts, sends, .. } => {
                Ending::NotRun { attempts: *attempts, sends: sends.clone() }
            }
            reply::Reply::Unknown(_) => Ending::Unknown,
        }
    }
}

/// Adds the header field that tells which upstream is leaving.
pub fn write_leaving(headers: &mut HeaderMap, upstream: &str) {
    if let Ok(id) = HeaderValue::from_str(upstream) {
        headers.insert(LEAVING, id);
    }
}

/// The result of passing on a call.
#[derive(Debug)]
pub enum Outcome {
    /// The response of an upstream.
    Answered(attempt::Response),
    /// The call has not run and will not run.
    NotRun {
        /// When the caller may retry, if the other host has told.
        retry_after: Option<Duration>,
        /// The attempts that the other host has made.
        attempts: u32,
        /// The upstreams that the call was sent to.
        sends: history::Sends,
    },
    /// The call may have run, or may still run.
    Unknown(reply::Failure),
}

/// A host to which calls are passed.
#[derive(Debug, Default)]
struct Peer {
    idle: RefCell<Vec<(http1::Conn, Instant)>>,
    /// Calls in progress there.
    in_progress: Cell<u32>,
    avoided_until: Cell<Option<Instant>>,
}

/// Counts a call as in progress at a host until it is dropped.
struct Progress(Rc<Peer>);

impl Progress {
    fn new(peer: &Rc<Peer>) -> Progress {
        peer.in_progress.set(peer.in_progress.get() + 1);
        Progress(Rc::clone(peer))
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

/// Passes calls to other hosts.
#[derive(Debug)]
pub struct Forwarder {
    protocol: protocol::Protocol,
    members: Rc<cluster::Members>,
    memory: Rc<memory::Budget>,
    peers: RefCell<IndexMap<SocketAddr, Rc<Peer>>>,
}

impl Forwarder {
    /// Creates a forwarder to the hosts among `members`, whose responses are counted in `memory`.
    pub fn new(
        protocol: protocol::Protocol,
        members: Rc<cluster::Members>,
        memory: Rc<memory::Budget>,
    ) -> Forwarder {
        Forwarder { protocol, members, memory, peers: RefCell::default() }
    }

    /// Chooses the host that takes the next call of a service; `None` if no other host reaches the
    /// service.
    ///
    /// Answers load of which a large share arrives at hosts that cannot place it: each passes its
    /// calls to the host at which it has the fewest in progress, so that a host without room gets
    /// fewer. A host in the same data centre is preferred, because bytes between data centres are
    /// priced.
    pub fn choose(&self, service: &str, now: Instant) -> Option<SocketAddr> {
        let mut candidates = self.members.hosts_reaching(service, now);
        let peers = self.peers.borrow();
        let is_avoided = |peer: &Rc<Peer>| peer.avoided_until.get().is_some_and(|at| now < at);
        fastrand::shuffle(&mut candidates);
        let load = |candidate: &cluster::Candidate| {
            let in_progress = peers.get(&candidate.peer).map_or(0, |peer| peer.in_progress.get());
            let remote = if candidate.is_local { 0 } else { REMOTE_PENALTY };
            let unadvertised = if candidate.is_advertised { 0 } else { UNADVERTISED_PENALTY };
            let is_avoided = peers.get(&candidate.peer).is_some_and(is_avoided);
            (is_avoided, in_progress + remote + unadvertised)
        };
        candidates.iter().min_by_key(|candidate| load(candidate)).map(|candidate| candidate.peer)
    }

    /// Passes a call to a host, and waits for its response until the call's deadline or until
    /// `caller_left` is notified. The connection is then closed, which tells the other host.
    pub async fn send(
        &self,
        call: &attempt::Call,
        terms: &Terms,
        host: SocketAddr,
        caller_left: &notify::Notifier,
        outbound: Option<&shaper::Shaper>,
    ) -> Outcome {
        let peer = Rc::clone(self.peers.borrow_mut().entry(host).or_default());
        let _progress = Progress::new(&peer);
        let sent = {
            let exchange = std::pin::pin!(attempt::timeout_at(
                call.deadline,
                self.exchange(call, terms, host, &peer, outbound),
            ));
            let left = std::pin::pin!(caller_left.wait(0));
            match future::select(exchange, left).await {
                Either::Left((sent, _)) => sent,
                Either::Right(_) => return Outcome::Unknown(reply::Failure::BadGateway),
            }
        };
        let outcome = match sent {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => {
                tracing::info!(event = "host_not_answering", %host, %error);
                Outcome::Unknown(reply::Failure::BadGateway)
            }
            Err(_) => Outcome::Unknown(reply::Failure::GatewayTimeout),
        };
        if !matches!(outcome, Outcome::Answered(_)) {
            peer.avoided_until.set(Some(Instant::now() + AVOID_TIME));
        }
        outcome
    }

    async fn exchange(
        &self,
        call: &attempt::Call,
        terms: &Terms,
        host: SocketAddr,
        peer: &Peer,
        outbound: Option<&shaper::Shaper>,
    ) -> Result<Outcome, http1::Error> {
        let mut conn = match connect(call, host, peer).await {
            Ok(conn) => conn,
            Err(error) => {
                tracing::info!(event = "host_not_reached", %host, %error);
                let (attempts, sends) = (0, history::Sends::default());
                return Ok(Outcome::NotRun { retry_after: None, attempts, sends });
            }
        };
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        let mut headers = call.parts.headers.clone();
        let deadline = HeaderValue::from(remaining.as_millis() as u64);
        headers.insert(self.protocol.headers.deadline_ms.clone(), deadline);
        call.write_organisation(&self.protocol.headers, &mut headers);
        terms.write(&mut headers);
        let mut unsent = attempt::encode_request(call, &headers);
        conn.write(unsent.take_first()).await?;
        if let Some(outbound) = outbound {
            outbound.send(&mut conn, &mut unsent).await?;
        }
        let (method, max_len) = (&call.parts.method, attempt::MAX_HEAD_LEN);
        let mut response = conn.send_and_read_response(&mut unsent, method, max_len).await?;
        let mut reader = body::Reader::new(response.framing);
        let share = self.memory.response_share();
        let body = attempt::buffer_body(&mut conn, &mut reader, &share).await?;
        let ending = Ending::take(&mut response.parts.headers);
        let mut remainder = None;
        if !reader.is_done() {
            let (framing, deadline) = (response.framing, call.deadline);
            remainder = Some(Box::new(attempt::Remainder { conn, reader, framing, deadline }));
        } else if response.allows_reuse() && !conn.has_buffered() && unsent.is_empty() {
            peer.put_conn(conn, Instant::now());
        }
        let status = response.parts.status;
        Ok(match ending {
            Ending::Answered => {
                let mut headers = response.parts.headers;
                head::remove_hop_by_hop(&mut headers);
                let leaving = headers.remove(LEAVING);
                let leaving = leaving.and_then(|id| id.to_str().ok().map(Rc::from));
                let share = Some(share);
                Outcome::Answered(attempt::Response {
                    status,
                    headers,
                    body,
                    remainder,
                    share,
                    leaving,
                })
            }
            Ending::NotRun { attempts, sends } => {
                let retry_after = response.parts.headers.get(header::RETRY_AFTER);
                let time = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
                let retry_after = time.map(|time: pause::Time| time.duration());
                Outcome::NotRun { retry_after, attempts, sends }
            }
            Ending::Unknown => Outcome::Unknown(status.into()),
        })
    }
}

impl Peer {
    fn take_conn(&self, now: Instant, max_idle: Duration) -> Option<http1::Conn> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(_, since)| now.saturating_duration_since(*since) < MAX_IDLE);
        while let Some((conn, since)) = idle.pop() {
            if now.saturating_duration_since(since) > max_idle {
                idle.push((conn, since));
                return None;
            }
            if conn.is_idle() {
                return Some(conn);
            }
        }
        None
    }

    fn put_conn(&self, conn: http1::Conn, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_IDLE_CONNS {
            idle.remove(0);
        }
        idle.push((conn.without_buffer(), now));
    }
}

async fn connect(
    call: &attempt::Call,
    host: SocketAddr,
    peer: &Peer,
) -> std::io::Result<http1::Conn> {
    let max_idle = match call.idempotency {
        profile::Idempotency::Idempotent => MAX_IDLE,
        profile::Idempotency::AtMostOnce => MAX_IDLE_AT_MOST_ONCE,
    };
    if let Some(conn) = peer.take_conn(Instant::now(), max_idle) {
        return Ok(conn);
    }
    let mut conn = http1::Conn::open(host, CONNECT_TIMEOUT).await?;
    conn.write(relay::encode_calls()?).await?;
    Ok(conn)
}
