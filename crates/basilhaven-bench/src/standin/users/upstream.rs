//! An upstream of the users' platform, with faults that can be switched on.

use std::io::{self, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::{read_request, write_response, Request};

/// The header field that carries the id of a caller's attempt.
const REQUEST_ID: &str = "x-basilhaven-request-id";

/// Calls that it says it runs at once.
pub const SLOTS: u32 = 4;

/// What an upstream does with the calls that it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// It runs them and answers after a while.
    Serves(Duration),
    /// It runs them and closes the connection without an answer.
    DropsResponses,
    /// It runs them and breaks off in the middle of the body.
    TruncatesResponses,
    /// It runs them and sends each answer twice.
    RepeatsResponses,
    /// It runs them, and sends each answer a second time when the next request has come.
    RepeatsResponsesLate,
    /// It runs them, and answers each health check a second time when the next request has come.
    RepeatsHealthChecksLate,
    /// It runs them and answers without the mark of its answers.
    OmitsSignature,
    /// It runs them and fails.
    Fails,
    /// It refuses them and runs nothing.
    Sheds,
    /// It says that it is another upstream, and runs nothing.
    RejectsAsMisdirected,
    /// It runs them and never answers.
    Hangs,
    /// It runs them and sends bytes that have no end.
    Endless(Endless),
}

/// Where bytes come without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endless {
    /// Interim responses.
    Interim,
    /// Fields of a head.
    Head,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailing fields after the last chunk.
    Trailer,
    /// A body, in chunks.
    Body,
    /// A chunk that stays open with a byte now and then.
    SlowBody,
}

impl Endless {
    /// What is sent once, what again and again, and after which pause.
    fn bytes(self, id: &str) -> (String, Vec<u8>, Duration) {
        let chunked = format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n{REQUEST_ID}: {id}\r\n\
             x-basilhaven-server-signature: s.1\r\n\r\n"
        );
        let (start, again) = match self {
            Endless::Interim => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".repeat(400)),
            Endless::Head => ("HTTP/1.1 200 OK\r\n".to_owned(), "x: y\r\n".repeat(1000)),
            Endless::ChunkExtension => (format!("{chunked}5;"), "a=b;".repeat(1000)),
            Endless::Trailer => (format!("{chunked}0\r\n"), "x: y\r\n".repeat(1000)),
            Endless::Body => (chunked, format!("1000\r\n{}\r\n", "x".repeat(0x1000))),
            Endless::SlowBody => (format!("{chunked}ffffff\r\n"), "x".to_owned()),
        };
        let pause = match self {
            Endless::SlowBody => Duration::from_millis(50),
            _ => Duration::ZERO,
        };
        (start, again.into_bytes(), pause)
    }
}

#[derive(Debug)]
struct State {
    behaviour: Behaviour,
    healthy: bool,
    load: String,
    ran: Vec<(String, Request, Instant)>,
    cancelled: usize,
    beat: u64,
    connections: usize,
}

/// The upstream; its threads end with the process.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its id.
    pub id: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Upstream {
    /// Starts an upstream.
    ///
    /// # Panics
    ///
    /// No port is free.
    pub fn start(id: &str, behaviour: Behaviour) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            behaviour,
            healthy: true,
            load: "0,0,4,100".to_owned(),
            ran: Vec::new(),
            cancelled: 0,
            beat: 0,
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
                // A connection that fails has ended; its client opens another one.
                std::thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state")
    }

    /// What it writes of itself in the store, for a service, version and state.
    pub fn entry(&self, service: &str, version: &str, state: &str) -> String {
        self.entry_at(self.address, "a", service, version, state)
    }

    /// The same, for an upstream that stands in a data centre and is reached at an address.
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
            "Slots": SLOTS, "State": state, "ColdRemainingS": 0, "Seq": self.next_beat(), "born": 1,
        });
        entry.to_string()
    }

    /// Counts the entries that it writes.
    fn next_beat(&self) -> u64 {
        let mut state = self.lock();
        state.beat += 1;
        state.beat
    }

    /// Changes what it does with calls from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Changes what its health check says.
    pub fn set_healthy(&self, healthy: bool) {
        self.lock().healthy = healthy;
    }

    /// Changes the load that it tells: running, waiting, slots, percent.
    pub fn set_load(&self, load: &str) {
        load.clone_into(&mut self.lock().load);
    }

    /// The calls that it has run, by the ids of the callers' attempts.
    pub fn executed_ids(&self) -> Vec<String> {
        self.lock().ran.iter().map(|(id, ..)| id.clone()).collect()
    }

    /// The requests that it has run.
    pub fn requests(&self) -> Vec<Request> {
        self.lock().ran.iter().map(|(_, request, _)| request.clone()).collect()
    }

    /// The calls that it has run: id, request, and when it began.
    pub fn executions(&self) -> Vec<(String, Request, Instant)> {
        self.lock().ran.clone()
    }

    /// Where it takes calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that were opened to it.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Calls whose connections were closed while it worked on them.
    pub fn cancelled(&self) -> usize {
        self.lock().cancelled
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.lock().connections += 1;
        let mut late = Late::default();
        while let Some(request) = read_request(&mut stream)? {
            let is_check = request.path() == "/healthz";
            late.meet(&mut stream, &request, is_check, self.lock().behaviour)?;
            if is_check {
                let (status, load) = {
                    let state = self.lock();
                    (if state.healthy { 200 } else { 503 }, state.load.clone())
                };
                let headers = [
                    ("x-basilhaven-instance-id", &*self.id),
                    ("x-basilhaven-backend-load", &*load),
                ];
                write_response(&mut stream, status, &headers, b"")?;
            } else if !self.take(&mut stream, request)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Meets a call; tells whether the connection stays open.
    fn take(&self, stream: &mut TcpStream, request: Request) -> io::Result<bool> {
        let id = request.header(REQUEST_ID).unwrap_or_default().to_owned();
        let behaviour = self.lock().behaviour;
        match behaviour {
            Behaviour::Sheds => {
                let headers = [("x-basilhaven-not-executed", "1"), (REQUEST_ID, &*id)];
                write_response(stream, 503, &headers, b"")?;
                return Ok(true);
            }
            Behaviour::RejectsAsMisdirected => {
                write_response(stream, 421, &[(REQUEST_ID, &*id)], b"")?;
                return Ok(true);
            }
            _ => self.lock().ran.push((id.clone(), request, Instant::now())),
        }
        let signed = [(REQUEST_ID, &*id), ("x-basilhaven-server-signature", "s.1")];
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
            Behaviour::Hangs => {
                self.await_close(stream)?;
                return Ok(false);
            }
            Behaviour::Endless(place) => {
                let (start, again, pause) = place.bytes(&id);
                stream.write_all(start.as_bytes())?;
                // Until the caller closes, which is an error of the write.
                loop {
                    stream.write_all(&again)?;
                    std::thread::sleep(pause);
                }
            }
            Behaviour::Serves(time) => {
                std::thread::sleep(time);
                write_response(stream, 200, &signed, &body)?;
            }
            Behaviour::Sheds | Behaviour::RejectsAsMisdirected => {}
        }
        Ok(true)
    }

    fn await_close(&self, stream: &mut TcpStream) -> io::Result<()> {
        use std::io::Read as _;
        let ended = matches!(stream.read(&mut [0]), Ok(0) | Err(_));
        self.lock().cancelled += usize::from(ended);
        stream.shutdown(Shutdown::Both)
    }
}

/// What is sent a second time on a connection, once the next request has come.
#[derive(Debug, Default)]
struct Late {
    call: Option<String>,
    is_check_due: bool,
}

impl Late {
    fn meet(
        &mut self,
        stream: &mut TcpStream,
        request: &Request,
        is_check: bool,
        behaviour: Behaviour,
    ) -> io::Result<()> {
        if let Some(id) = self.call.take() {
            let signed = [(REQUEST_ID, &*id), ("x-basilhaven-server-signature", "s.1")];
            write_response(stream, 200, &signed, format!("{id} again").as_bytes())?;
        }
        if std::mem::take(&mut self.is_check_due) {
            write_response(stream, 503, &[("x-basilhaven-instance-id", "late")], b"")?;
        }
        match behaviour {
            Behaviour::RepeatsResponsesLate if !is_check => {
                self.call = request.header(REQUEST_ID).map(str::to_owned);
            }
            Behaviour::RepeatsHealthChecksLate => self.is_check_due = is_check,
            _ => {}
        }
        Ok(())
    }
}
