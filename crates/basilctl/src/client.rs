//! Requests to the hosts' operators' pages.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use basilhaven::{commit, http1};
use bytes::Bytes;
use http::header::{HeaderName, HeaderValue};
use serde::de::DeserializeOwned;

use crate::options;

/// How long one request may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The most bytes that an answer may have.
const MAX_BODY_LEN: usize = 16 * 1024 * 1024;

/// Header field of an order that is to be taken whatever it leaves without an upstream.
const FORCE: HeaderName = HeaderName::from_static("basilhaven-force");

/// Why the tool could not do what it was asked for.
#[derive(Debug)]
pub enum Error {
    /// The host refused, and says why.
    Refused(String),
    /// Another operator was first.
    Conflict(String),
    /// Nothing was changed, for want of a host or the platform.
    Unavailable(String),
    /// It is not known whether the order took effect.
    Unknown(String),
    /// The order is accepted; not every host has confirmed it.
    NotConfirmed(String),
}

impl Error {
    /// The exit code that tells this kind of error.
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

/// What goes with an order.
#[derive(Debug, Clone, Copy, Default)]
pub struct Condition {
    /// Only while the configuration is at this revision.
    pub if_revision: Option<u64>,
    /// Whatever it leaves without an upstream.
    pub force: bool,
}

/// A client of the hosts.
#[derive(Debug)]
pub struct Client<'o> {
    options: &'o options::Options,
    /// The host that answered last, so that a following request sees what that host saw.
    current: Cell<usize>,
}

impl<'o> Client<'o> {
    /// A client of the hosts that the options name.
    pub fn new(options: &'o options::Options) -> Client<'o> {
        Client { options, current: Cell::new(0) }
    }

    /// Gets a page.
    ///
    /// # Errors
    ///
    /// No host answers, or one refuses.
    pub async fn get<T>(&self, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let mut last = Error::Unavailable("no host was named".to_owned());
        for _ in 0..self.options.admins.len() {
            match self.get_from(self.current(), path).await {
                Err(error @ (Error::Unavailable(_) | Error::Unknown(_))) => last = error,
                result => return result,
            }
            self.try_next();
        }
        Err(last)
    }

    /// Posts an order to the first host that can be connected to. An order that was sent is not sent
    /// again: it could take effect twice.
    ///
    /// # Errors
    ///
    /// The order was not accepted, or it is not known whether it was.
    pub async fn post<T>(&self, path: &str, body: Vec<u8>, condition: Condition) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let mut last = Error::Unavailable("no host was named".to_owned());
        for _ in 0..self.options.admins.len() {
            let request = http1::client::Request::new(http::Method::POST, path, body.clone());
            let mut request = request.map_err(|error| Error::Refused(error.to_string()))?;
            if let Some(revision) = condition.if_revision {
                let value = HeaderValue::from_str(&format!("\"{revision}\"")).expect("digits");
                request.headers.insert(http::header::IF_MATCH, value);
            }
            if condition.force {
                request.headers.insert(FORCE, HeaderValue::from_static("1"));
            }
            match self.send(self.current(), request).await {
                Ok(response) => return parse(&checked(response)?),
                Err(error @ Error::Unavailable(_)) => last = error,
                Err(error) => return Err(error),
            }
            self.try_next();
        }
        Err(last)
    }

    /// Gets a page from one host.
    ///
    /// # Errors
    ///
    /// The host does not answer, or refuses.
    pub async fn get_from<T>(&self, address: SocketAddr, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let request = http1::client::Request::new(http::Method::GET, path, Bytes::new());
        let request = request.map_err(|error| Error::Refused(error.to_string()))?;
        parse(&checked(self.send(address, request).await?)?)
    }

    fn current(&self) -> SocketAddr {
        self.options.admins[self.current.get()]
    }

    fn try_next(&self) {
        self.current.set((self.current.get() + 1) % self.options.admins.len());
    }

    /// One exchange with a host: unavailable when it can't be connected to, unknown when the
    /// connection fails later.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: http1::client::Request,
    ) -> Result<http1::client::Response, Error> {
        if let Some(key) = &self.options.key {
            let shown = HeaderValue::from_str(&format!("Bearer {key}"));
            let mut shown = shown.map_err(|_| Error::Refused("the key is no text".to_owned()))?;
            shown.set_sensitive(true);
            request.headers.insert(http::header::AUTHORIZATION, shown);
        }
        let opened = http1::Conn::open(address, TIMEOUT).await;
        let mut conn = opened.map_err(|error| Error::Unavailable(format!("{address}: {error}")))?;
        let exchange = http1::client::exchange(&mut conn, &request, MAX_BODY_LEN);
        match monoio::time::timeout(TIMEOUT, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(Error::Unknown(format!("{address}: {error}"))),
            Err(_) => Err(Error::Unknown(format!("{address}: no answer in time"))),
        }
    }
}

fn checked(response: http1::client::Response) -> Result<Bytes, Error> {
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
        .map_err(|error| Error::Refused(format!("the host's answer is not understood: {error}")))
}
