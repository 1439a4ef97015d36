//! A stand-in for a backend.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Head};
use crate::links::{self, Links};
use crate::record::Record;
use crate::store::Store;

const ID: &str = "X-Basilhaven-Request-Id";
const SIGNATURE: (&str, &str) = ("X-Basilhaven-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1");
const NOT_EXECUTED: (&str, &str) = ("X-Basilhaven-Not-Executed", "1");
const LOAD: &str = "X-Basilhaven-Backend-Load";

pub const SLOTS: usize = 4;
const QUEUE: usize = 8;

/// A request that a backend has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub service: String,
    pub version: String,
    /// Whether it was answered 500.
    pub is_bad: bool,
    pub at: f64,
}

/// What a backend does beside serving.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Share of the requests that are answered 500.
    pub fails: f64,
    /// Share of the requests that are turned away.
    pub sheds: f64,
    /// Share of the answers that are written once more, when the next request of the connection has
    /// arrived.
    pub late: f64,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    waiting: usize,
    answers: usize,
    faults: Faults,
    work: Duration,
    cold_until: Option<Instant>,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    version: Arc<Mutex<String>>,
    born: u128,
    state: Arc<(Mutex<State>, Condvar)>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        record: &Record,
    ) -> io::Result<Server> {
        Server::start_behind(&Links::default(), id, service, zone, work, record)
    }

    /// Starts a backend whose links to hosts may be cut.
    pub fn start_behind(
        links: &Links,
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        record: &Record,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { work, ..State::default() };
        let server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            version: Arc::new(Mutex::new("v1".to_owned())),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            runs: Arc::default(),
            record: record.clone(),
        };
        let (served, links) = (server.clone(), links.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, links) = (served.clone(), links.clone());
                std::thread::spawn(move || match links.is_cut(&stream) {
                    true => links::reset_on_close(&stream),
                    false => drop(server.serve(Conn::new(stream))),
                });
            }
        });
        Ok(server)
    }

    /// Sets the version that its entry names; to be called before it serves.
    pub fn with_version(self, version: &str) -> Server {
        *self.version.lock().unwrap() = version.to_owned();
        self
    }

    fn version(&self) -> String {
        self.version.lock().unwrap().clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Makes it cold for this time. It works at half its speed meanwhile.
    pub fn become_cold(&self, time: Duration) {
        self.lock().cold_until = Some(Instant::now() + time);
    }

    fn cold_remaining(&self) -> Duration {
        let until = self.lock().cold_until;
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn entry(&self, sequence: u64) -> String {
        let Server { service, address, zone, born, .. } = self;
        let version = self.version();
        let cold = self.cold_remaining().as_secs_f64();
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"{version}\",\"Slots\":{SLOTS},\"State\":\"ready\",\"ColdRemainingS\":{cold:.3},\
             \"Seq\":{sequence},\"born\":{born}}}"
        )
    }

    fn load(&self) -> String {
        let state = self.lock();
        format!("{},{},{SLOTS},100", state.running, state.waiting)
    }

    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        // The status and id of an answer that is to be written once more.
        let mut late: Option<(u16, String)> = None;
        while let Some(head) = conn.read_head()? {
            let body = conn.read_body(&head)?;
            if let Some((status, id)) = late.take() {
                self.record.line(&format!("{} writes its {status} for {id} once more", self.id));
                let mark = if status == 503 { NOT_EXECUTED } else { SIGNATURE };
                conn.respond(status, &[(ID, &id), mark], b"")?;
            }
            if head.path() == "/healthz" {
                let load = self.load();
                let cold = self.cold_remaining().as_millis().to_string();
                let mut fields = vec![("X-Basilhaven-Instance-Id", &*self.id), (LOAD, &*load)];
                if cold != "0" {
                    fields.push(("X-Basilhaven-Cold-Start-Ms", &*cold));
                }
                conn.respond(200, &fields, b"")?;
                continue;
            }
            let (status, id) = self.call(&mut conn, &head, body.len())?;
            let share = self.lock().faults.late;
            if self.draws(share, &id) {
                late = Some((status, id));
            }
        }
        Ok(())
    }

    /// Draws with this probability, anew for each answer.
    fn draws(&self, share: f64, id: &str) -> bool {
        let number = {
            let mut state = self.lock();
            state.answers += 1;
            state.answers
        };
        fraction(&format!("{number} {} {id}", self.id)) < share
    }

    /// Serves a request; returns the status of the answer and the id.
    fn call(&self, conn: &mut Conn, head: &Head, body_len: usize) -> io::Result<(u16, String)> {
        let id = head.field("x-basilhaven-request-id").unwrap_or_default().to_owned();
        let expected = head.field("x-basilhaven-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let fields = [(ID, &*id), ("X-Basilhaven-Instance-Id", &*self.id), NOT_EXECUTED];
            conn.respond(421, &fields, b"")?;
            return Ok((421, id));
        }
        let sheds = self.lock().faults.sheds;
        if self.draws(sheds, &id) {
            self.record.line(&format!("{} turns {id} away with 503", self.id));
            conn.respond(503, &[(ID, &id), NOT_EXECUTED], b"")?;
            return Ok((503, id));
        }
        let ms = head.field("x-basilhaven-deadline-ms").and_then(|ms| ms.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(ms.unwrap_or(10_000));
        let Some((work, faults)) = self.take_slot(deadline) else {
            self.record.line(&format!("{} is full: 503 for {id}", self.id));
            let load = self.load();
            conn.respond(503, &[(ID, &id), NOT_EXECUTED, (LOAD, &load)], b"")?;
            return Ok((503, id));
        };
        let version = self.version();
        let is_bad = fraction(&id) < faults.fails;
        let line = format!("{} ({} {version}) runs {id} {}", self.id, self.service, head.path());
        self.record.line(&line);
        let run = Run {
            id: id.clone(),
            service: self.service.clone(),
            version,
            is_bad,
            at: self.record.now(),
        };
        self.runs.lock().unwrap().push(run);
        let is_cold = !self.cold_remaining().is_zero();
        std::thread::sleep(if is_cold { work * 2 } else { work });
        {
            let mut state = self.lock();
            state.running -= 1;
            self.state.1.notify_one();
        }
        let load = self.load();
        let content = format!("{id} by {}, {body_len} bytes", self.id);
        let status = if is_bad { 500 } else { 200 };
        conn.respond(status, &[(ID, &id), SIGNATURE, (LOAD, &load)], content.as_bytes())?;
        Ok((status, id))
    }

    /// Waits for a slot; `None` if the queue is full, or the deadline passes first.
    fn take_slot(&self, deadline: Instant) -> Option<(Duration, Faults)> {
        let mut state = self.lock();
        if state.running >= SLOTS && state.waiting >= QUEUE {
            return None;
        }
        state.waiting += 1;
        while state.running >= SLOTS {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                state.waiting -= 1;
                return None;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        state.waiting -= 1;
        state.running += 1;
        Some((state.work, state.faults))
    }
}

/// Returns a number between 0 and 1 that follows from a request's id.
fn fraction(id: &str) -> f64 {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    ((hash >> 20) % 1000) as f64 / 1000.0
}

/// Writes the entries of backends to the store every 1.5 s.
pub fn beat(servers: &[Server], store: &Store) {
    let (servers, store) = (servers.to_vec(), store.clone());
    let write = move |sequence| {
        for server in &servers {
            store.put("servers", &server.id, &server.entry(sequence));
        }
    };
    write(1);
    std::thread::spawn(move || {
        for sequence in 2.. {
            std::thread::sleep(Duration::from_millis(1500));
            write(sequence);
        }
    });
}

/// Counts the runs of each request.
pub fn runs_by_id(servers: &[Server]) -> BTreeMap<String, Vec<Run>> {
    let mut all: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in servers.iter().flat_map(Server::runs) {
        all.entry(run.id.clone()).or_default().push(run);
    }
    all
}
