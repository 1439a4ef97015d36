//! A stand-in for an upstream of the users' platform, with faults that can be switched on.

use std::io::{self, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::{read_request, response_head, write_response, Request};

/// The header field with the request id.
const REQUEST_ID: &str = "x-basilhaven-request-id";

/// The header field with the rate of calls that an upstream takes from all hosts together.
const LIMIT: &str = "server-limit";

/// The header field that marks all responses of an upstream that is leaving.
const LEAVING: &str = "server-leaving";

/// Marks the response to a call that was not executed.
const REJECTION: (&str, &str) = ("x-basilhaven-not-executed", "1");

/// Length in bytes of a body that fits into the send buffer of a connection, and of one that a host
/// does not buffer as a whole.
pub const MEDIUM_LEN: usize = 30_000;
const LONG_LEN: usize = 1024 * 1024;

/// How long after a response an upstream begins to send bytes on the idle connection.
const IDLE_TIME: Duration = Duration::from_millis(50);

/// The number of slots that an upstream registers in the store.
pub const SLOTS: u32 = 4;

/// How an upstream handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Executes calls and responds after this time.
    Serves(Duration),
    /// Executes calls and closes the connection without a response.
    DropsResponses,
    /// Executes calls and closes the connection in the middle of the body.
    TruncatesResponses,
    /// Executes calls and sends each response twice.
    RepeatsResponses,
    /// Executes calls, and sends each response a second time when the next request arrives.
    RepeatsResponsesLate,
    /// Executes calls, and responds to each health check a second time when the next request
    /// arrives.
    RepeatsHealthChecksLate,
    /// Executes calls and responds without the header field that marks an upstream's own responses.
    OmitsSignature,
    /// Executes calls and responds with status 500.
    Fails,
    /// Executes calls and responds with this status, and does not mark them as not executed.
    FailsWith(u16, Content),
    /// Executes calls and responds to every second one with status 500.
    FailsEverySecond,
    /// Rejects calls with status 503 and marks them as not executed.
    Sheds,
    /// Rejects the first call of a connection as [`Sheds`](Behaviour::Sheds) does. When it executes
    /// the second one, it sends the rejection again before the response.
    RepeatsRejections(Echo),
    /// Executes calls and closes the connection after so many bytes of the response's head.
    TruncatesHead(usize),
    /// Rejects calls with status 421, as an upstream other than the one addressed does.
    RejectsAsMisdirected,
    /// Executes calls and never responds.
    Hangs,
    /// Executes calls and sends a response that never ends.
    Endless(Endless),
}

/// Whether a rejection that is sent again carries the request id of the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Echo {
    /// It does.
    Id,
    /// It does not.
    Nothing,
}

/// The body of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// A few bytes.
    Short,
    /// [`MEDIUM_LEN`] bytes.
    Medium,
    /// More bytes than a host buffers.
    Long,
    /// Half of a long body; the connection is closed then.
    Truncated,
    /// Chunks without end.
    Endless,
}

/// The part of a response that never ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endless {
    /// Interim (1xx) responses.
    Interim,
    /// Header fields.
    Head,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailer fields after the last chunk.
    Trailer,
    /// A chunked body.
    Body,
    /// A large chunk of which one byte is sent every 50 ms.
    SlowBody,
    /// Bytes that are no response, from the first one on.
    Junk,
    /// Bytes after a complete response, on a connection that is idle by then.
    Idle,
    /// The body of a rejection.
    Rejection,
    /// The body of a response to another request.
    OtherResponse,
    /// The body of a health response; calls are served.
    Health,
}

impl Endless {
    /// Returns the bytes that are sent once, those that are sent repeatedly after them, and the
    /// interval between repetitions.
    fn bytes(self, id: &str) -> (String, Vec<u8>, Duration) {
        let chunked = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{REQUEST_ID}: {id}\r\n\
             x-basilhaven-server-signature: s.1\r\n\r\n"
        );
        let (start, repeated) = match self {
            Endless::Interim => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".repeat(400)),
            Endless::Head => ("HTTP/1.1 200 OK\r\n".to_owned(), "x: y\r\n".repeat(1000)),
            Endless::ChunkExtension => (format!("{chunked}5;"), "a=b;".repeat(1000)),
            Endless::Trailer => (format!("{chunked}0\r\n"), "x: y\r\n".repeat(1000)),
            Endless::Body => (chunked, endless_chunks()),
            Endless::SlowBody => (format!("{chunked}ffffff\r\n"), "x".to_owned()),
            Endless::Junk => (String::new(), "x".repeat(0x1000)),
            Endless::Idle | Endless::Health => {
                let complete = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{REQUEST_ID}: {id}\r\n\
                     x-basilhaven-server-signature: s.1\r\n\r\n"
                );
                (complete, "x".repeat(0x1000))
            }
            Endless::Rejection => {
                let (name, value) = REJECTION;
                let head = format!(
                    "HTTP/1.1 503 -\r\ntransfer-encoding: chunked\r\n{REQUEST_ID}: {id}\r\n\
                     {name}: {value}\r\n\r\n"
                );
                (head, endless_chunks())
            }
            Endless::OtherResponse => (chunked.replace(id, "other"), endless_chunks()),
        };
        let interval = match self {
            Endless::SlowBody => Duration::from_millis(50),
            _ => Duration::ZERO,
        };
        (start, repeated.into_bytes(), interval)
    }
}

/// Returns a chunk of a body that never ends.
fn endless_chunks() -> String {
    format!("1000\r\n{}\r\n", "x".repeat(0x1000))
}

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    is_healthy: bool,
    load: String,
    limit: Option<String>,
    is_leaving: bool,
    /// The time to stay away that it names when it rejects a call.
    retry_after: Option<String>,
    started: u64,
    arrivals: Vec<Instant>,
    health_checks: Vec<Instant>,
    executions: Vec<(String, Request, Instant)>,
    cancelled: usize,
    sequence: u64,
    connections: usize,
}

/// A running upstream; its threads end with the process.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// The id of the upstream, its key in the store.
    pub id: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Upstream {
    /// Starts an upstream.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start(id: &str, behaviour: Behaviour) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            behaviour,
            is_healthy: true,
            load: "0,0,4,100".to_owned(),
            limit: None,
            is_leaving: false,
            retry_after: None,
            started: 1,
            health_checks: Vec::new(),
            arrivals: Vec::new(),
            executions: Vec::new(),
            cancelled: 0,
            sequence: 0,
            connections: 0,
        };
        let upstream = Upstream {
            id: id.to_owned(),
            address: listener.local_addr().expect("a bound socket"),
            state: Arc::new(Mutex::new(state)),
        };
        let served = upstream.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = served.clone();
                // After a failed connection the client opens a new one.
                std::thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// Returns its registration for the store, as JSON, in data centre `a` and with its own
    /// address.
    pub fn entry(&self, service: &str, version: &str, state: &str) -> String {
        self.entry_at(self.address, "a", service, version, state)
    }

    /// Returns its registration for the store, as JSON, in this data centre and with this address.
    pub fn entry_at(
        &self,
        address: SocketAddr,
        data_centre: &str,
        service: &str,
        version: &str,
        state: &str,
    ) -> String {
        let entry = serde_json::json!({
            "Service": service, "Address": address, "Zone": data_centre, "Version": version,
            "Slots": SLOTS, "State": state, "ColdRemainingS": 0, "Seq": self.next_sequence(),
            "born": self.lock().started,
        });
        entry.to_string()
    }

    /// Increments and returns the sequence number of its registrations.
    fn next_sequence(&self) -> u64 {
        let mut state = self.lock();
        state.sequence += 1;
        state.sequence
    }

    /// Sets how it handles calls.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Sets whether it passes its health check.
    pub fn set_healthy(&self, is_healthy: bool) {
        self.lock().is_healthy = is_healthy;
    }

    /// Sets the load that it reports: calls running, calls waiting, slots and percentage, separated
    /// by commas.
    pub fn set_load(&self, load: &str) {
        load.clone_into(&mut self.lock().load);
    }

    /// Sets the rate of calls that it names in its responses, in calls per second.
    pub fn set_limit(&self, per_second: Option<f64>) {
        self.lock().limit = per_second.map(|rate| rate.to_string());
    }

    /// Sets whether its responses say that it is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.lock().is_leaving = is_leaving;
    }

    /// Sets the time to stay away that it names when it rejects a call, in seconds.
    pub fn set_retry_after(&self, seconds: Option<&str>) {
        self.lock().retry_after = seconds.map(str::to_owned);
    }

    /// Starts it anew under the same id: from now on, it registers with a later start.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.started += 1;
        state.is_leaving = false;
    }

    /// Returns when each call arrived, including those that it has rejected.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Returns when each health check arrived.
    pub fn health_checks(&self) -> Vec<Instant> {
        self.lock().health_checks.clone()
    }

    /// Returns the request ids of the calls that it has executed.
    pub fn executed_ids(&self) -> Vec<String> {
        self.lock().executions.iter().map(|(id, ..)| id.clone()).collect()
    }

    /// Returns the requests that it has executed.
    pub fn requests(&self) -> Vec<Request> {
        self.lock().executions.iter().map(|(_, request, _)| request.clone()).collect()
    }

    /// Returns the calls that it has executed: request id, request and start of the execution.
    pub fn executions(&self) -> Vec<(String, Request, Instant)> {
        self.lock().executions.clone()
    }

    /// Returns the address at which it accepts calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections that it has accepted.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Returns the number of calls whose connection was closed during their execution.
    pub fn cancelled(&self) -> usize {
        self.lock().cancelled
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.lock().connections += 1;
        let mut repeats = Repeats::default();
        let mut rejected: Option<String> = None;
        while let Some(request) = read_request(&mut stream)? {
            let is_health_check = request.path() == "/healthz";
            repeats.send_due(&mut stream, &request, is_health_check, self.lock().behaviour)?;
            if is_health_check {
                let (status, load, limit) = {
                    let mut state = self.lock();
                    state.health_checks.push(Instant::now());
                    let status = if state.is_healthy { 200 } else { 503 };
                    (status, state.load.clone(), state.limit.clone())
                };
                let mut headers = vec![
                    ("x-basilhaven-instance-id", &*self.id),
                    ("x-basilhaven-backend-load", &*load),
                ];
                headers.extend(limit.as_deref().map(|limit| (LIMIT, limit)));
                headers.extend(self.lock().is_leaving.then_some((LEAVING, "1")));
                if self.lock().behaviour == Behaviour::Endless(Endless::Health) {
                    stream.write_all(response_head(status, "", &headers).as_bytes())?;
                    return send_without_end(&mut stream, &[b'x'; 0x1000], Duration::ZERO);
                }
                write_response(&mut stream, status, &headers, b"")?;
                continue;
            }
            let behaviour = self.lock().behaviour;
            if let Behaviour::RepeatsRejections(echo) = behaviour {
                self.reject_once(&mut stream, request, echo, &mut rejected)?;
            } else if !self.serve_call(&mut stream, request)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Rejects the first call of a connection, and executes the others after sending that rejection
    /// again.
    fn reject_once(
        &self,
        stream: &mut TcpStream,
        request: Request,
        echo: Echo,
        rejected: &mut Option<String>,
    ) -> io::Result<()> {
        let id = request.header(REQUEST_ID).unwrap_or_default().to_owned();
        self.lock().arrivals.push(Instant::now());
        let Some(earlier) = rejected.take() else {
            write_response(stream, 503, &[REJECTION, (REQUEST_ID, &*id)], b"")?;
            *rejected = Some(id);
            return Ok(());
        };
        self.lock().executions.push((id.clone(), request, Instant::now()));
        match echo {
            Echo::Id => write_response(stream, 503, &[REJECTION, (REQUEST_ID, &*earlier)], b"")?,
            Echo::Nothing => write_response(stream, 503, &[REJECTION], b"")?,
        }
        let signed = [(REQUEST_ID, &*id), ("x-basilhaven-server-signature", "s.1")];
        write_response(stream, 200, &signed, format!("{id} by {}", self.id).as_bytes())
    }

    /// Serves a call, and returns whether the connection stays open.
    fn serve_call(&self, stream: &mut TcpStream, request: Request) -> io::Result<bool> {
        let id = request.header(REQUEST_ID).unwrap_or_default().to_owned();
        let (behaviour, limit) = {
            let mut state = self.lock();
            state.arrivals.push(Instant::now());
            (state.behaviour, state.limit.clone())
        };
        let leaving = self.lock().is_leaving.then_some((LEAVING, "1"));
        let marks: Vec<(&str, &str)> =
            limit.as_deref().map(|limit| (LIMIT, limit)).into_iter().chain(leaving).collect();
        match behaviour {
            Behaviour::Sheds => {
                let mut headers = vec![REJECTION, (REQUEST_ID, &*id)];
                headers.extend(marks);
                let retry_after = self.lock().retry_after.clone();
                headers.extend(retry_after.as_deref().map(|seconds| ("retry-after", seconds)));
                write_response(stream, 503, &headers, b"")?;
                return Ok(true);
            }
            Behaviour::RejectsAsMisdirected => {
                write_response(stream, 421, &[(REQUEST_ID, &*id)], b"")?;
                return Ok(true);
            }
            _ => self.lock().executions.push((id.clone(), request, Instant::now())),
        }
        let mut signed = vec![(REQUEST_ID, &*id), ("x-basilhaven-server-signature", "s.1")];
        signed.extend(marks);
        let body = format!("{id} by {}", self.id).into_bytes();
        match behaviour {
            Behaviour::DropsResponses => return Ok(false),
            Behaviour::TruncatesResponses => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n{REQUEST_ID}: {id}\r\n\
                     x-basilhaven-server-signature: s.1\r\n\r\nhalf"
                );
                stream.write_all(head.as_bytes())?;
                return Ok(false);
            }
            Behaviour::TruncatesHead(len) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\n\
                     x-basilhaven-server-signature: s.1\r\ncontent-length: 4\r\n\r\n"
                );
                stream.write_all(&head.as_bytes()[..len.min(head.len() - 1)])?;
                return Ok(false);
            }
            Behaviour::RepeatsResponses => {
                write_response(stream, 200, &signed, &body)?;
                write_response(stream, 200, &signed, &body)?;
            }
            Behaviour::RepeatsResponsesLate | Behaviour::RepeatsHealthChecksLate => {
                write_response(stream, 200, &signed, &body)?;
            }
            Behaviour::OmitsSignature => {
                write_response(stream, 200, &[(REQUEST_ID, &*id)], &body)?;
            }
            Behaviour::Fails => write_response(stream, 500, &signed, b"failed")?,
            Behaviour::FailsWith(status, content) => {
                let retry_after = self.lock().retry_after.clone();
                signed.extend(retry_after.as_deref().map(|seconds| ("retry-after", seconds)));
                return write_content(stream, status, &signed, content);
            }
            Behaviour::FailsEverySecond => {
                let status = if self.lock().executions.len().is_multiple_of(2) { 500 } else { 200 };
                write_response(stream, status, &signed, &body)?;
            }
            Behaviour::Hangs => {
                self.await_close(stream)?;
                return Ok(false);
            }
            Behaviour::Endless(part) => {
                let (start, repeated, interval) = part.bytes(&id);
                stream.write_all(start.as_bytes())?;
                match part {
                    Endless::Health => return Ok(true),
                    Endless::Idle => std::thread::sleep(IDLE_TIME),
                    _ => {}
                }
                send_without_end(stream, &repeated, interval)?;
            }
            Behaviour::Serves(time) => {
                std::thread::sleep(time);
                write_response(stream, 200, &signed, &body)?;
            }
            Behaviour::Sheds
            | Behaviour::RepeatsRejections(_)
            | Behaviour::RejectsAsMisdirected => {}
        }
        Ok(true)
    }

    fn await_close(&self, stream: &mut TcpStream) -> io::Result<()> {
        use std::io::Read as _;
        let is_closed = matches!(stream.read(&mut [0]), Ok(0) | Err(_));
        self.lock().cancelled += usize::from(is_closed);
        stream.shutdown(Shutdown::Both)
    }
}

/// Sends a response with this kind of body, and returns whether the connection stays open.
fn write_content(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    content: Content,
) -> io::Result<bool> {
    let (framing, len) = match content {
        Content::Short => {
            write_response(stream, status, headers, b"failed")?;
            return Ok(true);
        }
        Content::Medium => (format!("content-length: {MEDIUM_LEN}\r\n"), MEDIUM_LEN),
        Content::Long => (format!("content-length: {LONG_LEN}\r\n"), LONG_LEN),
        Content::Truncated => (format!("content-length: {LONG_LEN}\r\n"), LONG_LEN / 2),
        Content::Endless => ("transfer-encoding: chunked\r\n".to_owned(), 0),
    };
    stream.write_all(response_head(status, &framing, headers).as_bytes())?;
    if content == Content::Endless {
        send_without_end(stream, endless_chunks().as_bytes(), Duration::ZERO)?;
    }
    stream.write_all(&vec![b'x'; len])?;
    Ok(content != Content::Truncated)
}

/// Sends bytes until the caller closes the connection, which ends in a write error.
fn send_without_end(stream: &mut TcpStream, bytes: &[u8], interval: Duration) -> io::Result<()> {
    loop {
        stream.write_all(bytes)?;
        std::thread::sleep(interval);
    }
}

/// The responses that are to be sent a second time on a connection when the next request arrives.
#[derive(Debug, Default)]
struct Repeats {
    request_id: Option<String>,
    is_health_check_due: bool,
}

impl Repeats {
    /// Sends the responses that are due, and records the one that becomes due with the next
    /// request.
    fn send_due(
        &mut self,
        stream: &mut TcpStream,
        request: &Request,
        is_health_check: bool,
        behaviour: Behaviour,
    ) -> io::Result<()> {
        if let Some(id) = self.request_id.take() {
            let signed = [(REQUEST_ID, &*id), ("x-basilhaven-server-signature", "s.1")];
            write_response(stream, 200, &signed, format!("{id} again").as_bytes())?;
        }
        if std::mem::take(&mut self.is_health_check_due) {
            write_response(stream, 503, &[("x-basilhaven-instance-id", "late")], b"")?;
        }
        match behaviour {
            Behaviour::RepeatsResponsesLate if !is_health_check => {
                self.request_id = request.header(REQUEST_ID).map(str::to_owned);
            }
            Behaviour::RepeatsHealthChecksLate => self.is_health_check_due = is_health_check,
            _ => {}
        }
        Ok(())
    }
}
