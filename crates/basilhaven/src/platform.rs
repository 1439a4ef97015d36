//! The platform's table, object store and list of hosts, met over HTTP.
//!
//! The hosts together stay far below what the platform bears: each client knows how many hosts there
//! are, and takes its share only.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{self, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::budget;
use crate::http1::{self, client};

/// How long one exchange may take.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reads that all hosts together make in a second, at most.
pub const READS_PER_SECOND: f64 = 800.0;

/// Writes that all hosts together make in a second, at most.
pub const WRITES_PER_SECOND: f64 = 120.0;

/// Reads that all hosts together make in a second to poll rows.
pub const POLLS_PER_SECOND: f64 = 150.0;

/// The least mean time between two polls of one row.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Rows that each host polls.
const POLLED_ROWS: f64 = 3.0;

/// How many seconds' requests may be made at once.
const BURST_SECONDS: f64 = 2.0;

/// How long a request waits for its turn under the rate limit.
const TURN_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause between two looks whether it is a request's turn.
const TURN_STEP: Duration = Duration::from_millis(20);

/// Failed requests in a row after which the platform counts as down.
const DOWN_AFTER: u32 = 3;

/// Connections that are kept open between requests.
const MAX_IDLE: usize = 4;

/// The most bytes that an answer may have.
const MAX_BODY_LEN: usize = 4 * 1024 * 1024;

/// The mean time between two polls of one row, when there are so many hosts.
///
/// # Examples
///
/// ```
/// use basilhaven::platform;
///
/// assert_eq!(platform::poll_interval(13).as_millis(), 1_000);
/// assert_eq!(platform::poll_interval(104).as_millis(), 2_080);
/// ```
pub fn poll_interval(hosts: usize) -> Duration {
    let shared = Duration::from_secs_f64(hosts as f64 * POLLED_ROWS / POLLS_PER_SECOND);
    shared.max(MIN_POLL_INTERVAL)
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Rises with each write.
    pub revision: u64,
    /// What was written.
    pub value: serde_json::Value,
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The row.
    pub key: String,
    /// The revision that it must have; 0 when there must be none.
    pub expect: u64,
    /// What to write.
    pub value: serde_json::Value,
}

/// A condition on a row that a transaction does not write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row.
    pub key: String,
    /// The revision that it must have; 0 when there must be none.
    pub expect: u64,
}

/// A transaction: all of its writes take effect, or none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The writes.
    pub writes: Vec<Write>,
    /// What must hold besides.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub checks: Vec<Check>,
}

/// What became of a read.
#[derive(Debug, Clone, PartialEq)]
pub enum Read {
    /// The row is at the revision that the reader named.
    Unchanged,
    /// There is no such row.
    Absent,
    /// The row.
    Found(Row),
}

/// What became of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All writes took effect; the rows have this revision.
    Written(u64),
    /// A row had another revision; nothing was written.
    Conflict,
}

/// Why the platform gave no answer; what became of a write is then not known, unless the error says so.
#[derive(Debug, derive_more::Display)]
pub enum Error {
    /// No byte of the request was sent: the host's share of the rate limit is used up.
    #[display("rate limit")]
    RateLimit,
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(std::io::Error),
    /// The exchange failed.
    #[display("{_0}")]
    Exchange(http1::Error),
    /// The platform answered with an unexpected status.
    #[display("status {_0}")]
    Status(http::StatusCode),
    /// The platform's answer is not what its protocol says.
    #[display("malformed answer")]
    Malformed,
}

impl std::error::Error for Error {}

impl Error {
    /// Whether a write that ended so may have taken effect, or may yet.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Error::RateLimit | Error::NotSent(_) => false,
            Error::Status(status) => !status.is_client_error(),
            Error::Exchange(_) | Error::Malformed => true,
        }
    }

    /// What metrics call it.
    fn label(&self) -> &'static str {
        match self {
            Error::RateLimit => "rate-limit",
            Error::NotSent(_) => "not-sent",
            Error::Exchange(_) => "no-answer",
            Error::Status(_) => "status",
            Error::Malformed => "malformed",
        }
    }
}

#[derive(Debug, Clone, Copy, derive_more::Display)]
enum Kind {
    #[display("read")]
    Read,
    #[display("write")]
    Write,
}

/// Whether the platform answers, judged by this host's requests.
#[derive(Debug)]
struct Health {
    failures: Cell<u32>,
    down_since: Cell<Option<Instant>>,
}

impl Health {
    fn new() -> Health {
        metrics::gauge!("basilhaven_platform_up").set(1.0);
        Health { failures: Cell::default(), down_since: Cell::default() }
    }

    fn succeeded(&self) {
        self.failures.set(0);
        if let Some(since) = self.down_since.take() {
            metrics::gauge!("basilhaven_platform_up").set(1.0);
            tracing::info!(
                event = "platform_available",
                down_ms = since.elapsed().as_millis() as u64
            );
        }
    }

    fn failed(&self, error: &Error) {
        self.failures.set(self.failures.get().saturating_add(1));
        if self.failures.get() >= DOWN_AFTER && self.down_since.get().is_none() {
            self.down_since.set(Some(Instant::now()));
            metrics::gauge!("basilhaven_platform_up").set(0.0);
            tracing::warn!(event = "platform_unavailable", %error);
        }
    }
}

/// A client of the platform.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: RefCell<Vec<http1::Conn>>,
    hosts: Cell<usize>,
    reads: budget::Bucket,
    writes: budget::Bucket,
    health: Health,
    bytes: Cell<u64>,
}

impl Client {
    /// A client of the platform at an address.
    pub fn new(address: SocketAddr) -> Client {
        let bucket = |rate: f64| budget::Bucket::new(rate, rate * BURST_SECONDS);
        Client {
            address,
            idle: RefCell::default(),
            hosts: Cell::new(1),
            reads: bucket(READS_PER_SECOND),
            writes: bucket(WRITES_PER_SECOND),
            health: Health::new(),
            bytes: Cell::default(),
        }
    }

    /// Takes in how many hosts share what the platform bears.
    pub fn set_host_count(&self, hosts: usize) {
        self.hosts.set(hosts.max(1));
    }

    /// How many hosts share what the platform bears.
    pub fn host_count(&self) -> usize {
        self.hosts.get()
    }

    /// Whether the platform answers.
    pub fn is_up(&self) -> bool {
        self.health.down_since.get().is_none()
    }

    /// Bytes sent and received so far.
    pub fn bytes_transferred(&self) -> u64 {
        self.bytes.get()
    }

    /// Reads a row of the table, unless it still is at revision `known`.
    ///
    /// # Errors
    ///
    /// The platform gave no answer.
    pub async fn read(&self, key: &str, known: u64) -> Result<Read, Error> {
        let result = self.get(&format!("/table/{key}"), known).await;
        self.observe(Kind::Read, result, |response| match response.status {
            http::StatusCode::NOT_MODIFIED => Ok(Read::Unchanged),
            http::StatusCode::NOT_FOUND => Ok(Read::Absent),
            http::StatusCode::OK => Ok(Read::Found(parse(&response.body)?)),
            status => Err(Error::Status(status)),
        })
    }

    /// Reads the list of hosts, unless it still is at revision `known`.
    ///
    /// # Errors
    ///
    /// The platform gave no answer.
    pub async fn host_list(&self, known: u64) -> Result<Read, Error> {
        let result = self.get("/hosts", known).await;
        self.observe(Kind::Read, result, |response| match response.status {
            http::StatusCode::NOT_MODIFIED => Ok(Read::Unchanged),
            http::StatusCode::OK => {
                let tag = response.headers.get(header::ETAG).and_then(|v| v.to_str().ok());
                let revision = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
                let revision = revision.ok_or(Error::Malformed)?;
                Ok(Read::Found(Row { revision, value: parse(&response.body)? }))
            }
            status => Err(Error::Status(status)),
        })
    }

    /// Writes rows, all or none.
    ///
    /// # Errors
    ///
    /// The platform gave no answer; whether the writes took effect is to be found out by reading.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        #[derive(Deserialize)]
        struct Written {
            revision: u64,
        }
        let body = serde_json::to_vec(transaction).expect("writes are plain data");
        let request = client::Request::new(http::Method::POST, "/table", body);
        let result = self.exchange(Kind::Write, &request.expect("a constant path")).await;
        self.observe(Kind::Write, result, |response| match response.status {
            http::StatusCode::OK => {
                Ok(Outcome::Written(parse::<Written>(&response.body)?.revision))
            }
            http::StatusCode::PRECONDITION_FAILED => Ok(Outcome::Conflict),
            status => Err(Error::Status(status)),
        })
    }

    /// Reads an object; `None` when there is none.
    ///
    /// # Errors
    ///
    /// The platform gave no answer.
    pub async fn get_object(&self, key: &str) -> Result<Option<Bytes>, Error> {
        let result = self.get(&format!("/objects/{key}"), 0).await;
        self.observe(Kind::Read, result, |response| match response.status {
            http::StatusCode::OK => Ok(Some(response.body.clone())),
            http::StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::Status(status)),
        })
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// The platform gave no answer; the same write may be made again.
    pub async fn put_object(&self, key: &str, content: Bytes) -> Result<(), Error> {
        self.change_object(http::Method::PUT, key, content).await
    }

    /// Removes an object.
    ///
    /// # Errors
    ///
    /// The platform gave no answer.
    pub async fn delete_object(&self, key: &str) -> Result<(), Error> {
        self.change_object(http::Method::DELETE, key, Bytes::new()).await
    }

    async fn change_object(
        &self,
        method: http::Method,
        key: &str,
        content: Bytes,
    ) -> Result<(), Error> {
        let request = client::Request::new(method, &format!("/objects/{key}"), content);
        let request = request.map_err(|_| Error::Malformed)?;
        let result = self.exchange(Kind::Write, &request).await;
        self.observe(Kind::Write, result, |response| match response.status {
            status if status.is_success() => Ok(()),
            status => Err(Error::Status(status)),
        })
    }

    async fn get(&self, path: &str, known: u64) -> Result<client::Response, Error> {
        let request = client::Request::new(http::Method::GET, path, Bytes::new());
        let mut request = request.map_err(|_| Error::Malformed)?;
        if known > 0 {
            let tag = HeaderValue::from_str(&format!("\"{known}\"")).expect("digits");
            request.headers.insert(header::IF_NONE_MATCH, tag);
        }
        self.exchange(Kind::Read, &request).await
    }

    /// Reads an answer, and counts the request.
    fn observe<T, F>(
        &self,
        kind: Kind,
        result: Result<client::Response, Error>,
        read: F,
    ) -> Result<T, Error>
    where
        F: FnOnce(&client::Response) -> Result<T, Error>,
    {
        let result = result.and_then(|response| read(&response));
        let label = match &result {
            Ok(_) => "ok",
            Err(error) => error.label(),
        };
        metrics::counter!(
            "basilhaven_platform_requests_total",
            "kind" => kind.to_string(),
            "result" => label
        )
        .increment(1);
        match &result {
            Ok(_) => self.health.succeeded(),
            Err(Error::RateLimit) => {}
            Err(error) => self.health.failed(error),
        }
        result
    }

    /// Waits until this host's share of the rate limit allows a request.
    async fn turn(&self, kind: Kind) -> Result<(), Error> {
        let (bucket, rate) = match kind {
            Kind::Read => (&self.reads, READS_PER_SECOND),
            Kind::Write => (&self.writes, WRITES_PER_SECOND),
        };
        // The bucket has the rate of all hosts together, so a request costs what each may make.
        let cost = (self.hosts.get() as f64).min(rate * BURST_SECONDS);
        let until = Instant::now() + TURN_TIMEOUT;
        while !bucket.try_take(cost) {
            if Instant::now() >= until {
                return Err(Error::RateLimit);
            }
            monoio::time::sleep(TURN_STEP.mul_f64(0.5 + fastrand::f64())).await;
        }
        Ok(())
    }

    async fn exchange(
        &self,
        kind: Kind,
        request: &client::Request,
    ) -> Result<client::Response, Error> {
        self.turn(kind).await?;
        let idle = self.idle.borrow_mut().pop().filter(http1::Conn::is_idle);
        let mut conn = match idle {
            Some(conn) => conn,
            None => {
                http1::Conn::open(self.address, REQUEST_TIMEOUT).await.map_err(Error::NotSent)?
            }
        };
        self.count(len_of(request.target.path().len(), &request.headers, &request.body));
        let exchange = client::exchange(&mut conn, request, MAX_BODY_LEN);
        let response = match monoio::time::timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(result) => result.map_err(Error::Exchange)?,
            Err(_) => {
                let timed_out = std::io::Error::from(std::io::ErrorKind::TimedOut);
                return Err(Error::Exchange(http1::Error::from(timed_out)));
            }
        };
        self.count(len_of(0, &response.headers, &response.body));
        if response.is_reusable && self.idle.borrow().len() < MAX_IDLE {
            self.idle.borrow_mut().push(conn);
        }
        Ok(response)
    }

    fn count(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes as u64);
        metrics::counter!("basilhaven_control_bytes_total").increment(bytes as u64);
    }
}

/// Bytes of a message's first line and of the fields that every message has, besides the path.
const FIXED_LEN: usize = 40;

/// The length of a message, nearly.
fn len_of(path_len: usize, headers: &header::HeaderMap, body: &[u8]) -> usize {
    let fields: usize = headers.iter().map(|(name, v)| name.as_str().len() + v.len() + 4).sum();
    FIXED_LEN + path_len + fields + body.len()
}

fn parse<T>(body: &[u8]) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|_| Error::Malformed)
}
