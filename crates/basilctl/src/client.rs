//! HTTP client of the entry hosts' admin pages.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use basilhaven::{commit, http1};
use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use serde::de::DeserializeOwned;

use crate::options;

/// Time limit of opening a connection, and of one exchange on it.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum length of a response body, in bytes.
const MAX_BODY_LEN: usize = 16 * 1024 * 1024;

/// Header field that lets an order take effect although it names an unknown target, or leaves a
/// service without an upstream or callers without an entry host.
const FORCE_HEADER: HeaderName = HeaderName::from_static("basilhaven-force");

/// Error of a command.
#[derive(Debug)]
pub enum Error {
    /// The request was refused, or its input is invalid.
    Refused(String),
    /// The request conflicts with the current state, for example with another operator's order.
    Conflict(String),
    /// No host or platform was available; nothing was changed.
    Unavailable(String),
    /// Whether the order took effect is unknown.
    Unknown(String),
    /// The order was accepted, but not confirmed in time.
    NotConfirmed(String),
}

impl Error {
    /// Returns the exit code of this kind of error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Refused(_) => 1,
            Error::Conflict(_) => 3,
            Error::Unavailable(_) => 4,
            Error::Unknown(_) => 5,
            Error::NotConfirmed(_) => 6,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(text)
            | Error::Conflict(text)
            | Error::Unavailable(text)
            | Error::Unknown(text)
            | Error::NotConfirmed(text) => f.write_str(text.trim_end()),
        }
    }
}

/// Conditions of an order.
#[derive(Debug, Clone, Copy, Default)]
pub struct Condition {
    /// The order takes effect only if the configuration is at this revision.
    pub if_revision: Option<u64>,
    /// The order takes effect even if it names an unknown target, or the last upstream of a service
    /// or the last entry host.
    pub force: bool,
}

/// A client of the entry hosts.
#[derive(Debug)]
pub struct Client<'o> {
    options: &'o options::Options,
    /// Index of the host that responded last, so that the next request sees the same state.
    current: Cell<usize>,
}

impl<'o> Client<'o> {
    /// Creates a client of the hosts in the options.
    pub fn new(options: &'o options::Options) -> Client<'o> {
        Client { options, current: Cell::new(0) }
    }

    /// Gets a page from the first host that responds.
    ///
    /// # Errors
    ///
    /// Returns an error if no host responds, or if one refuses the request.
    pub async fn get<T>(&self, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let mut last_error = Error::Unavailable("no host was given".to_owned());
        for _ in 0..self.options.admins.len() {
            match self.get_from(self.current(), path).await {
                Err(error @ (Error::Unavailable(_) | Error::Unknown(_))) => last_error = error,
                result => return result,
            }
            self.try_next();
        }
        Err(last_error)
    }

    /// Posts an order to the first host that accepts a connection. Once sent, an order is not sent
    /// again, since it could take effect twice.
    ///
    /// # Errors
    ///
    /// Returns an error if the order was not accepted, or if it is unknown whether it was.
    pub async fn post<T>(&self, path: &str, body: Vec<u8>, condition: Condition) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let mut last_error = Error::Unavailable("no host was given".to_owned());
        for _ in 0..self.options.admins.len() {
            let request = http1::client::Request::new(http::Method::POST, path, body.clone());
            let mut request = request.map_err(|error| Error::Refused(error.to_string()))?;
            if let Some(revision) = condition.if_revision {
                let value = HeaderValue::from_str(&format!("\"{revision}\"")).expect("digits");
                request.headers.insert(http::header::IF_MATCH, value);
            }
            if condition.force {
                request.headers.insert(FORCE_HEADER, HeaderValue::from_static("1"));
            }
            match self.send(self.current(), request).await {
                Ok(response) => return parse(&success_body(response)?),
                Err(error @ Error::Unavailable(_)) => last_error = error,
                Err(error) => return Err(error),
            }
            self.try_next();
        }
        Err(last_error)
    }

    /// Gets a page from one host.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not respond, or refuses the request.
    pub async fn get_from<T>(&self, address: SocketAddr, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let request = http1::client::Request::new(http::Method::GET, path, Bytes::new());
        let request = request.map_err(|error| Error::Refused(error.to_string()))?;
        parse(&success_body(self.send(address, request).await?)?)
    }

    fn current(&self) -> SocketAddr {
        self.options.admins[self.current.get()]
    }

    fn try_next(&self) {
        self.current.set((self.current.get() + 1) % self.options.admins.len());
    }

    /// Sends a request to a host and returns its response. Fails with [`Error::Unavailable`] if the
    /// connection cannot be opened, and with [`Error::Unknown`] if the exchange fails afterwards.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: http1::client::Request,
    ) -> Result<http1::client::Response, Error> {
        if let Some(key) = &self.options.key {
            let value = HeaderValue::from_str(&format!("Bearer {key}"));
            let mut value = value.map_err(|_| {
                Error::Refused("the operator key contains invalid characters".to_owned())
            })?;
            value.set_sensitive(true);
            request.headers.insert(http::header::AUTHORIZATION, value);
        }
        let conn = http1::Conn::open(address, TIMEOUT).await;
        let mut conn = conn.map_err(|error| Error::Unavailable(format!("{address}: {error}")))?;
        let exchange = http1::client::exchange(&mut conn, &request, MAX_BODY_LEN);
        match monoio::time::timeout(TIMEOUT, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(Error::Unknown(format!("{address}: {error}"))),
            Err(_) => Err(Error::Unknown(format!("{address}: no response within {TIMEOUT:?}"))),
        }
    }
}

/// Returns the body of a successful response, or the error that the response stands for.
fn success_body(response: http1::client::Response) -> Result<Bytes, Error> {
    if response.status.is_success() {
        return Ok(response.body);
    }
    let text = match serde_json::from_slice::<commit::Error>(&response.body) {
        Ok(error) => error.to_string(),
        Err(_) => String::from_utf8_lossy(&response.body).into_owned(),
    };
    let text = match text.trim().is_empty() {
        true => response.status.to_string(),
        false => text,
    };
    Err(match response.status {
        http::StatusCode::CONFLICT => Error::Conflict(text),
        http::StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable(text),
        http::StatusCode::GATEWAY_TIMEOUT => Error::Unknown(text),
        _ => Error::Refused(text),
    })
}

fn parse<T>(body: &[u8]) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body)
        .map_err(|error| Error::Refused(format!("invalid response of the host: {error}")))
}
