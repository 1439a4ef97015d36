//! An HTTP client of the platform's table, object store and list of hosts.
//!
//! All hosts together stay far below the capacity of the platform: each client knows the number of
//! hosts and limits itself to its share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{self, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::budget;
use crate::http1::{self, client};

/// The maximum time to connect to the platform, and the maximum duration of one request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The maximum number of reads per second by all hosts together.
pub const READS_PER_SECOND: f64 = 800.0;

/// The maximum number of writes per second by all hosts together.
pub const WRITES_PER_SECOND: f64 = 120.0;

/// The maximum number of reads per second by which all hosts together poll rows.
pub const POLLS_PER_SECOND: f64 = 150.0;

/// The minimum mean interval between polls of one row by one host.
pub const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The number of rows that each host polls.
const POLLED_ROWS: f64 = 3.0;

/// The size of a burst of requests, in seconds: a burst may have as many requests as the rate limit
/// allows in this time.
const BURST_SECONDS: f64 = 2.0;

/// The maximum time for which a request waits for the rate limit.
const RATE_LIMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// The mean interval at which a waiting request checks the rate limit.
const RATE_LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The number of consecutive failed requests after which the platform is considered down.
const DOWN_AFTER: u32 = 3;

/// The maximum number of idle connections that are kept open.
const MAX_IDLE: usize = 4;

/// The maximum size of a response body in bytes.
const MAX_BODY_LEN: usize = 4 * 1024 * 1024;

/// Returns the mean interval between polls of one row by one host, given the number of hosts.
///
/// # Examples
///
/// ```
/// use basilhaven::platform;
///
/// assert_eq!(platform::poll_interval(13).as_millis(), 1_000);
/// assert_eq!(platform::poll_interval(104).as_millis(), 2_080);
/// ```
pub fn poll_interval(host_count: usize) -> Duration {
    let shared = Duration::from_secs_f64(host_count as f64 * POLLED_ROWS / POLLS_PER_SECOND);
    shared.max(MIN_POLL_INTERVAL)
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The revision, which rises with each write.
    pub revision: u64,
    /// The value that was written.
    pub value: serde_json::Value,
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The revision that the row must have; 0 if it must not exist.
    pub expect: u64,
    /// The value to write; null removes the row.
    pub value: serde_json::Value,
}

/// A condition on a row that a transaction does not write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The key of the row.
    pub key: String,
    /// The revision that the row must have; 0 if it must not exist.
    pub expect: u64,
}

/// A transaction: either all of its writes take effect, or none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The writes.
    pub writes: Vec<Write>,
    /// Conditions on rows that the transaction does not write.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub checks: Vec<Check>,
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq)]
pub enum Read {
    /// The row is still at the revision that the reader knows.
    Unchanged,
    /// The row does not exist.
    Absent,
    /// The row, at another revision than the reader knows.
    Found(Row),
}

/// The outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All writes took effect; the rows now have this revision.
    Written(u64),
    /// A row did not have the expected revision; nothing was written.
    Conflict,
}

/// The reason why a request to the platform failed. Whether a write took effect is then not known,
/// unless [`Error::may_have_taken_effect`] rules it out.
#[derive(Debug, derive_more::Display)]
pub enum Error {
    /// The request was not sent because the host's share of the rate limit is used up.
    #[display("rate limit")]
    RateLimit,
    /// The request was not sent because no connection could be opened.
    #[display("not sent: {_0}")]
    NotSent(std::io::Error),
    /// Sending the request or receiving the response failed or timed out.
    #[display("{_0}")]
    Exchange(http1::Error),
    /// The platform responded with an unexpected status.
    #[display("status {_0}")]
    Status(http::StatusCode),
    /// The request or the platform's response does not conform to the protocol.
    #[display("malformed answer")]
    Malformed,
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether a write that failed with this error may have taken effect or may yet do so.
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Error::RateLimit | Error::NotSent(_) => false,
            Error::Status(status) => !status.is_client_error(),
            Error::Exchange(_) | Error::Malformed => true,
        }
    }

    /// Returns the value of the error in metric labels.
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

/// Whether the platform is up, according to the results of this host's requests.
#[derive(Debug)]
struct Health {
    consecutive_failures: Cell<u32>,
    down_since: Cell<Option<Instant>>,
}

impl Health {
    fn new() -> Health {
        metrics::gauge!("basilhaven_platform_up").set(1.0);
        Health { consecutive_failures: Cell::default(), down_since: Cell::default() }
    }

    fn record_success(&self) {
        self.consecutive_failures.set(0);
        if let Some(since) = self.down_since.take() {
            metrics::gauge!("basilhaven_platform_up").set(1.0);
            tracing::info!(
                event = "platform_available",
                down_ms = since.elapsed().as_millis() as u64
            );
        }
    }

    fn record_failure(&self, error: &Error) {
        self.consecutive_failures.set(self.consecutive_failures.get().saturating_add(1));
        if self.consecutive_failures.get() >= DOWN_AFTER && self.down_since.get().is_none() {
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
    host_count: Cell<usize>,
    reads: budget::Bucket,
    writes: budget::Bucket,
    health: Health,
    bytes_transferred: Cell<u64>,
}

impl Client {
    /// Creates a client of the platform at an address.
    pub fn new(address: SocketAddr) -> Client {
        let bucket = |rate: f64| budget::Bucket::new(rate, rate * BURST_SECONDS);
        Client {
            address,
            idle: RefCell::default(),
            host_count: Cell::new(1),
            reads: bucket(READS_PER_SECOND),
            writes: bucket(WRITES_PER_SECOND),
            health: Health::new(),
            bytes_transferred: Cell::default(),
        }
    }

    /// Sets the number of hosts that share the rate limits.
    pub fn set_host_count(&self, host_count: usize) {
        self.host_count.set(host_count.max(1));
    }

    /// Returns the number of hosts that share the rate limits.
    pub fn host_count(&self) -> usize {
        self.host_count.get()
    }

    /// Returns whether the platform is considered up.
    pub fn is_up(&self) -> bool {
        self.health.down_since.get().is_none()
    }

    /// Returns the approximate number of bytes sent and received so far.
    pub fn bytes_transferred(&self) -> u64 {
        self.bytes_transferred.get()
    }

    /// Reads a row of the table unless it is still at revision `known`; 0 always reads it.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gave no valid response.
    pub async fn read(&self, key: &str, known: u64) -> Result<Read, Error> {
        let result = self.get(&format!("/table/{key}"), known).await;
        self.record(Kind::Read, result, |response| match response.status {
            http::StatusCode::NOT_MODIFIED => Ok(Read::Unchanged),
            http::StatusCode::NOT_FOUND => Ok(Read::Absent),
            http::StatusCode::OK => Ok(Read::Found(parse(&response.body)?)),
            status => Err(Error::Status(status)),
        })
    }

    /// Reads the list of upstreams and entry hosts unless it is still at revision `known`; 0 always
    /// reads it.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gave no valid response.
    pub async fn host_list(&self, known: u64) -> Result<Read, Error> {
        let result = self.get("/hosts", known).await;
        self.record(Kind::Read, result, |response| match response.status {
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

    /// Writes rows, either all or none.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gave no valid response. Unless
    /// [`Error::may_have_taken_effect`] is false, the caller then has to read the rows to find out
    /// whether the writes took effect.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        #[derive(Deserialize)]
        struct Written {
            revision: u64,
        }
        let body = serde_json::to_vec(transaction).expect("writes are plain data");
        let request = client::Request::new(http::Method::POST, "/table", body);
        let result = self.exchange(Kind::Write, &request.expect("a constant path")).await;
        self.record(Kind::Write, result, |response| match response.status {
            http::StatusCode::OK => {
                Ok(Outcome::Written(parse::<Written>(&response.body)?.revision))
            }
            http::StatusCode::PRECONDITION_FAILED => Ok(Outcome::Conflict),
            status => Err(Error::Status(status)),
        })
    }

    /// Reads an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gave no valid response.
    pub async fn get_object(&self, key: &str) -> Result<Option<Bytes>, Error> {
        let result = self.get(&format!("/objects/{key}"), 0).await;
        self.record(Kind::Read, result, |response| match response.status {
            http::StatusCode::OK => Ok(Some(response.body.clone())),
            http::StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::Status(status)),
        })
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not confirm the write, which may be repeated.
    pub async fn put_object(&self, key: &str, content: Bytes) -> Result<(), Error> {
        self.change_object(http::Method::PUT, key, content).await
    }

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not confirm the deletion.
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
        self.record(Kind::Write, result, |response| match response.status {
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

    /// Interprets a response by `read`, and records the result of the request in the metrics and in
    /// the health of the platform.
    fn record<T, F>(
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
            Ok(_) => self.health.record_success(),
            Err(Error::RateLimit) => {}
            Err(error) => self.health.record_failure(error),
        }
        result
    }

    /// Waits until this host's share of the rate limit allows a request.
    async fn acquire(&self, kind: Kind) -> Result<(), Error> {
        let (bucket, rate) = match kind {
            Kind::Read => (&self.reads, READS_PER_SECOND),
            Kind::Write => (&self.writes, WRITES_PER_SECOND),
        };
        // The bucket has the rate of all hosts together. A request therefore costs one token for
        // each host, which leaves this host its share of the rate.
        let cost = (self.host_count.get() as f64).min(rate * BURST_SECONDS);
        let deadline = Instant::now() + RATE_LIMIT_TIMEOUT;
        while !bucket.try_take(cost) {
            if Instant::now() >= deadline {
                return Err(Error::RateLimit);
            }
            monoio::time::sleep(RATE_LIMIT_CHECK_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        }
        Ok(())
    }

    async fn exchange(
        &self,
        kind: Kind,
        request: &client::Request,
    ) -> Result<client::Response, Error> {
        self.acquire(kind).await?;
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
        self.bytes_transferred.set(self.bytes_transferred.get() + bytes as u64);
        metrics::counter!("basilhaven_control_bytes_total").increment(bytes as u64);
    }
}

/// The approximate size of a message's first line and common header fields without the path, in
/// bytes.
const FIXED_LEN: usize = 40;

/// Returns the approximate size of a message in bytes.
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
