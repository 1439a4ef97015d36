//! Calls: their identity, limits and outcomes.

use std::fmt;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hmac::Mac as _;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::config;
use crate::profile;

/// Maximum depth of a call in a chain of nested calls.
pub const MAX_DEPTH: u8 = 16;

/// Length in bytes of the message authentication code in a signed context.
const MAC_LEN: usize = 16;

/// Header fields of the protocol between callers, entry hosts and upstreams.
pub mod field {
    use http::header::HeaderName;

    /// On requests to upstreams: the call's id, which an upstream may echo on its response.
    pub const CALL: HeaderName = HeaderName::from_static("basilhaven-call");
    /// The signed [`Context`](super::Context) of the call; upstreams copy it to the calls they
    /// make.
    pub const CONTEXT: HeaderName = HeaderName::from_static("basilhaven-context");
    /// On requests: the time in milliseconds within which the sender waits for a response.
    pub const TIMEOUT: HeaderName = HeaderName::from_static("basilhaven-timeout-ms");
    /// On refusals: `not-run` or `unknown`. On an upstream's response: `not-run` if it shed the
    /// call.
    pub const OUTCOME: HeaderName = HeaderName::from_static("basilhaven-outcome");
    /// On refusals: the reason.
    pub const REASON: HeaderName = HeaderName::from_static("basilhaven-reason");
    /// On responses of upstreams: a load report, `IN-FLIGHT/SLOTS`.
    pub const LOAD: HeaderName = HeaderName::from_static("basilhaven-load");
    /// On requests of callers: the key under which the call runs at most once, however often it is
    /// sent.
    pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
    /// On responses to callers: the upstream that responded.
    pub const UPSTREAM: HeaderName = HeaderName::from_static("basilhaven-upstream");
}

/// Identifies a call, uniquely over all hosts.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Id(u64);

impl Id {
    /// Returns a new random id.
    pub fn random() -> Id {
        Id(fastrand::u64(..))
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A call as an entry host sees it.
#[derive(Debug, Clone)]
pub struct Call {
    /// The id of the call.
    pub id: Id,
    /// The class of the original caller.
    pub class: config::Class,
    /// Whether the call may be run more than once.
    pub idempotency: profile::Idempotency,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The number of calls above this one in the chain of nested calls; 0 for the original call.
    pub depth: u8,
    /// The number of retries left to the whole chain of nested calls.
    pub retries_left: u8,
}

impl Call {
    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the context for the calls that an upstream makes while it runs this one.
    pub fn context(&self) -> Context {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Context {
            class: self.class,
            depth: self.depth.saturating_add(1),
            deadline: now + self.remaining(),
            retries_left: self.retries_left,
        }
    }
}

/// The properties that a call passes on to its nested calls. The first entry host sets them, from
/// the caller's credential.
///
/// # Examples
///
/// ```
/// use basilhaven::{call, config};
///
/// let key = call::Key::from(*b"a key that all entry hosts share.");
/// let context = call::Context {
///     class: config::Class::Paying,
///     depth: 1,
///     deadline: std::time::Duration::from_millis(1_800_000_000_000),
///     retries_left: 2,
/// };
/// let text = context.sign(&key);
/// assert_eq!(call::Context::verify(&text, &key), Some(context));
/// assert_eq!(call::Context::verify(&text, &call::Key::from(*b"another")), None);
/// ```
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Context {
    /// The class of the original caller.
    pub class: config::Class,
    /// The number of calls above the nested call; 1 directly below the original call.
    pub depth: u8,
    /// When the original caller stops waiting, since the Unix epoch. Operators keep the hosts'
    /// clocks synchronised.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// The number of retries left to the whole chain of nested calls.
    pub retries_left: u8,
}

impl Context {
    /// Encodes the context as text, with an authentication code that only holders of the key can
    /// compute.
    pub fn sign(&self, key: &Key) -> String {
        let mut bytes = postcard::to_stdvec(self).expect("a context has a fixed shape");
        let mac = key.mac(&bytes);
        bytes.extend_from_slice(&mac[..MAC_LEN]);
        let mut text = String::with_capacity(bytes.len() * 2);
        for byte in bytes {
            for digit in [byte >> 4, byte & 15] {
                text.push(char::from_digit(digit.into(), 16).expect("a hexadecimal digit"));
            }
        }
        text
    }

    /// Decodes a signed context, or returns `None` if it is malformed or its authentication code is
    /// wrong.
    pub fn verify(text: &str, key: &Key) -> Option<Context> {
        let digits = text.as_bytes();
        if !digits.len().is_multiple_of(2) || digits.len() > 128 {
            return None;
        }
        let digit = |d: u8| char::from(d).to_digit(16).map(|d| d as u8);
        let pairs = digits.chunks(2).map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?));
        let bytes: Vec<u8> = pairs.collect::<Option<_>>()?;
        let split = bytes.len().checked_sub(MAC_LEN)?;
        let (body, mac) = bytes.split_at(split);
        if !key.verifies(body, mac) {
            return None;
        }
        postcard::from_bytes(body).ok()
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.deadline.saturating_sub(now)
    }
}

/// A secret, such as the one that all hosts share to sign contexts. Its value is never printed.
#[derive(Clone)]
pub struct Key(hmac::Hmac<sha2::Sha256>);

impl Key {
    /// Returns the 32-byte authentication code of a message under this key.
    pub fn mac(&self, message: &[u8]) -> [u8; 32] {
        let mut hmac = self.0.clone();
        hmac.update(message);
        hmac.finalize().into_bytes().into()
    }

    /// Returns `true` if `mac` is a prefix of the message's authentication code, of at least 16
    /// bytes. Takes constant time.
    pub fn verifies(&self, message: &[u8], mac: &[u8]) -> bool {
        let mut hmac = self.0.clone();
        hmac.update(message);
        mac.len() >= MAC_LEN && hmac.verify_truncated_left(mac).is_ok()
    }
}

impl Key {
    /// Returns `true` if `presented` is this secret. Takes the same time for all values of
    /// `presented` that have the same length.
    pub fn matches(&self, presented: &str) -> bool {
        const MESSAGE: &[u8] = b"operator";
        Key::from(presented).verifies(MESSAGE, &self.mac(MESSAGE))
    }
}

impl<B> From<B> for Key
where
    B: AsRef<[u8]>,
{
    fn from(secret: B) -> Key {
        let hmac = hmac::Hmac::new_from_slice(secret.as_ref());
        Key(hmac.expect("a key of any length is taken"))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// What is known about a call that got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Outcome {
    /// No upstream has run any part of the call or will run it.
    #[display("not-run")]
    NotRun,
    /// An upstream may have run the call.
    #[display("unknown")]
    Unknown,
}

/// Why a call got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Reason {
    /// The queue has no room for the call's class.
    #[display("queue-full")]
    QueueFull,
    /// The deadline of the call has passed.
    #[display("deadline")]
    Deadline,
    /// No upstream of the service may get calls.
    #[display("no-upstream")]
    NoUpstream,
    /// No connection to the upstream could be opened.
    #[display("connect")]
    Connect,
    /// The upstream responded that it shed the call.
    #[display("shed")]
    Shed,
    /// The connection to the upstream failed after the request was written.
    #[display("connection-lost")]
    ConnectionLost,
    /// The upstream sent something that is not an HTTP/1.1 response.
    #[display("malformed-response")]
    MalformedResponse,
    /// The response belongs to another call.
    #[display("crossed-response")]
    CrossedResponse,
    /// The call is nested too deeply.
    #[display("too-deep")]
    TooDeep,
    /// This host has no configuration yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The idempotency key belongs to a call that was sent before.
    #[display("duplicate")]
    Duplicate,
    /// The platform could not confirm that the idempotency key has not been used before.
    #[display("no-claim")]
    NoClaim,
    /// This host has its maximum number of connections open.
    #[display("too-many-connections")]
    TooManyConnections,
}

/// How an attempt of a call ended, as input for the state of upstreams and for moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The upstream responded; its own errors (status 500 and above) count as responses.
    Answered {
        /// The status of the response.
        status: http::StatusCode,
        /// The time from the start of the attempt to the head of the response.
        took: Duration,
    },
    /// The upstream gave no usable response.
    Failed(Reason),
    /// The caller left, or another attempt of the call was answered, before this one ended.
    Cancelled,
}

/// A call that was refused, or that failed without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display("{outcome}: {reason}")]
pub struct Refusal {
    /// Whether the call may have run.
    pub outcome: Outcome,
    /// The reason.
    pub reason: Reason,
}

impl Refusal {
    /// Returns a refusal of a call that no upstream has run.
    pub const fn not_run(reason: Reason) -> Refusal {
        Refusal { outcome: Outcome::NotRun, reason }
    }

    /// Returns a refusal of a call that an upstream may have run.
    pub const fn unknown(reason: Reason) -> Refusal {
        Refusal { outcome: Outcome::Unknown, reason }
    }

    /// Returns the HTTP status of the response to the caller.
    pub fn status(&self) -> http::StatusCode {
        match (self.reason, self.outcome) {
            (Reason::Duplicate, _) => http::StatusCode::CONFLICT,
            (Reason::NoClaim, _) => http::StatusCode::SERVICE_UNAVAILABLE,
            (Reason::QueueFull, _) => http::StatusCode::TOO_MANY_REQUESTS,
            (Reason::TooDeep, _) => http::StatusCode::LOOP_DETECTED,
            (Reason::Deadline, _) => http::StatusCode::GATEWAY_TIMEOUT,
            (_, Outcome::NotRun) => http::StatusCode::SERVICE_UNAVAILABLE,
            (_, Outcome::Unknown) => http::StatusCode::BAD_GATEWAY,
        }
    }
}
