//! One call: who makes it, how long it may take, and what became of it.

use std::fmt;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hmac::Mac as _;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::config;
use crate::profile;

/// The deepest level that a call may stand on below the caller's own.
pub const MAX_DEPTH: u8 = 16;

/// Bytes of the authentication code that a context carries.
const MAC_LEN: usize = 16;

/// Header fields of the protocol between callers, entry hosts and upstreams.
pub mod field {
    use http::header::HeaderName;

    /// On requests to upstreams: the call's id; an upstream may echo it on its response.
    pub const CALL: HeaderName = HeaderName::from_static("basilhaven-call");
    /// The signed [`Context`](super::Context) of the call; upstreams copy it to the calls they make.
    pub const CONTEXT: HeaderName = HeaderName::from_static("basilhaven-context");
    /// Milliseconds that the call may still take.
    pub const TIMEOUT: HeaderName = HeaderName::from_static("basilhaven-timeout-ms");
    /// On refusals: `not-run` or `unknown`; on an upstream's response: `not-run` when it shed the call.
    pub const OUTCOME: HeaderName = HeaderName::from_static("basilhaven-outcome");
    /// On refusals: why.
    pub const REASON: HeaderName = HeaderName::from_static("basilhaven-reason");
    /// On responses of upstreams: `IN-FLIGHT/SLOTS`.
    pub const LOAD: HeaderName = HeaderName::from_static("basilhaven-load");
    /// On requests of callers: the key under which the call runs once, however often it is sent.
    pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");
    /// On responses to callers: the upstream that answered.
    pub const UPSTREAM: HeaderName = HeaderName::from_static("basilhaven-upstream");
}

/// Tells one call from every other, on all hosts.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Id(u64);

impl Id {
    /// A new id, drawn at random.
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

/// One call as an entry host sees it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Its id.
    pub id: Id,
    /// The class of the caller at the first level.
    pub class: config::Class,
    /// Whether it may be run more than once.
    pub idempotency: profile::Idempotency,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Levels between it and the first call; 0 for the first.
    pub depth: u8,
    /// Attempts beyond the first that all levels together may still make.
    pub retries_left: u8,
}

impl Call {
    /// What is left of the time that it may take.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The context for the calls that an upstream makes while it runs this one.
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

/// What travels with a call through all its levels: set once, by the first entry host, from the
/// caller's credential.
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
    /// The class of the caller at the first level.
    pub class: config::Class,
    /// Levels below the first call.
    pub depth: u8,
    /// When the first caller stops waiting, since the Unix epoch; hosts' clocks are kept in step by
    /// the operators.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// Attempts beyond the first that all levels together may still make.
    pub retries_left: u8,
}

impl Context {
    /// The context as text, with a code that only holders of the key can make.
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

    /// Reads a context whose code is right; anything else is `None`.
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

    /// What is left until the deadline.
    pub fn remaining(&self) -> Duration {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.deadline.saturating_sub(now)
    }
}

/// A secret that hosts share; it is never printed.
#[derive(Clone)]
pub struct Key(hmac::Hmac<sha2::Sha256>);

impl Key {
    /// The code of a message under this key, 32 bytes.
    pub fn mac(&self, message: &[u8]) -> [u8; 32] {
        let mut hmac = self.0.clone();
        hmac.update(message);
        hmac.finalize().into_bytes().into()
    }

    /// Whether `code` is the start of the message's code; takes the same time for every answer.
    pub fn verifies(&self, message: &[u8], mac: &[u8]) -> bool {
        let mut hmac = self.0.clone();
        hmac.update(message);
        mac.len() >= MAC_LEN && hmac.verify_truncated_left(mac).is_ok()
    }
}

impl Key {
    /// Whether `shown` is this secret; takes the same time for every secret of its length.
    pub fn matches(&self, shown: &str) -> bool {
        const MESSAGE: &[u8] = b"operator";
        Key::from(shown).verifies(MESSAGE, &self.mac(MESSAGE))
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

/// What is known of a call that got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Outcome {
    /// No upstream ran any of it, nor will.
    #[display("not-run")]
    NotRun,
    /// An upstream may have run it.
    #[display("unknown")]
    Unknown,
}

/// Why a call got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Reason {
    /// The queue for its class is full.
    #[display("queue-full")]
    QueueFull,
    /// Its deadline passed.
    #[display("deadline")]
    Deadline,
    /// No upstream of the service may take calls.
    #[display("no-upstream")]
    NoUpstream,
    /// No connection to the upstream could be opened.
    #[display("connect")]
    Connect,
    /// The upstream said that it shed the call.
    #[display("shed")]
    Shed,
    /// The connection to the upstream failed after the request was written.
    #[display("connection-lost")]
    ConnectionLost,
    /// What the upstream sent is no HTTP/1.1 response.
    #[display("malformed-response")]
    MalformedResponse,
    /// The response belongs to another call.
    #[display("crossed-response")]
    CrossedResponse,
    /// The call is too many levels deep.
    #[display("too-deep")]
    TooDeep,
    /// This host holds no configuration yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// Its idempotency key belongs to a call that was sent before.
    #[display("duplicate")]
    Duplicate,
    /// Too few hosts could tell whether its idempotency key was used before.
    #[display("no-claim")]
    NoClaim,
    /// This host has as many connections as it may.
    #[display("too-many-connections")]
    TooManyConnections,
}

/// How one attempt of a call ended, for those who judge upstreams and versions by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The upstream answered; errors of its own (status 500 and above) count as answers.
    Answered {
        /// The status of its answer.
        status: http::StatusCode,
        /// The time from the attempt's start to the answer's head.
        took: Duration,
    },
    /// The upstream gave no usable answer.
    Failed(Reason),
    /// The caller left first.
    Cancelled,
}

/// A call that is refused, or that failed without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display("{outcome}: {reason}")]
pub struct Refusal {
    /// What is known of it.
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
}

impl Refusal {
    /// A refusal of a call that no upstream ran.
    pub const fn not_run(reason: Reason) -> Refusal {
        Refusal { outcome: Outcome::NotRun, reason }
    }

    /// A refusal of a call that an upstream may have run.
    pub const fn unknown(reason: Reason) -> Refusal {
        Refusal { outcome: Outcome::Unknown, reason }
    }

    /// The status under which the caller is told.
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
