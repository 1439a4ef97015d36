//! A stand-in for the endpoint that takes usage reports.

use std::collections::BTreeMap;
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::Deserialize;

use super::{read_request, write_response, Request};

/// How the endpoint handles reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Reports are taken, unless their token is lower than an earlier one.
    Takes,
    /// Reports are refused with this status.
    Refuses(u16),
    /// Reports are taken, but the answer is no response.
    Garbage,
    /// Reports are taken, but not answered.
    Silent,
}

/// A report that the endpoint has taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The window.
    pub window: u64,
    /// The counts by organisation.
    pub counts: BTreeMap<String, u64>,
    /// The holder of the lease.
    pub holder: String,
    /// The fencing token.
    pub token: u64,
}

#[derive(Debug, Deserialize)]
struct Body {
    #[serde(rename = "Window")]
    window: u64,
    #[serde(rename = "Counts")]
    counts: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    reports: Vec<Report>,
    refused: usize,
    malformed: usize,
}

/// A running endpoint; its threads end with the process.
#[derive(Debug, Clone)]
pub struct Endpoint {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Endpoint {
    /// Starts an endpoint.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start() -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State { mode: Mode::Takes, reports: Vec::new(), refused: 0, malformed: 0 };
        let endpoint = Endpoint {
            address: listener.local_addr().expect("a bound socket"),
            state: Arc::new(Mutex::new(state)),
        };
        let served = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = served.clone();
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        endpoint
    }

    /// Returns the address at which it accepts reports.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Sets how it handles reports.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Returns the reports that it has taken, repeats included, in order.
    pub fn reports(&self) -> Vec<Report> {
        self.lock().reports.clone()
    }

    /// Returns how many reports it has refused.
    pub fn refused(&self) -> usize {
        self.lock().refused
    }

    /// Returns how many requests were no reports.
    pub fn malformed(&self) -> usize {
        self.lock().malformed
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        while let Some(request) = read_request(&mut stream)? {
            let mode = self.lock().mode;
            match mode {
                Mode::Takes => write_response(&mut stream, self.take(&request), &[], b"")?,
                Mode::Refuses(status) => {
                    self.lock().refused += 1;
                    write_response(&mut stream, status, &[], b"")?;
                }
                Mode::Garbage => {
                    self.take(&request);
                    return stream.write_all(b"\x00\x01 no response\r\n\r\n");
                }
                Mode::Silent => {
                    self.take(&request);
                    std::thread::sleep(Duration::from_secs(3600));
                }
            }
        }
        Ok(())
    }

    /// Takes a report; returns the status of the response.
    fn take(&self, request: &Request) -> u16 {
        let token = request.header("x-basilhaven-fencing-token").and_then(|text| text.parse().ok());
        let holder = request.header("x-basilhaven-lease-holder");
        let body = serde_json::from_slice::<Body>(&request.body).ok();
        let is_report = (&*request.method, request.path()) == ("POST", "/usage")
            && request.header("content-type") == Some("application/json");
        let mut state = self.lock();
        let (Some(token), Some(holder), Some(body), true) = (token, holder, body, is_report) else {
            state.malformed += 1;
            return 400;
        };
        if state.reports.iter().any(|report| report.token > token) {
            state.refused += 1;
            return 409;
        }
        let Body { window, counts } = body;
        state.reports.push(Report { window, counts, holder: holder.to_owned(), token });
        200
    }
}
