//! A stand-in for the store of the users' platform: tables of rows, conditional transactions and a
//! feed of changes.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;

use super::{read_request, write_response, Request};

/// How the store handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Requests are served.
    Up,
    /// Requests are refused with status 503 and have no effect.
    Down,
    /// Requests have no effect and get no response.
    Unresponsive,
    /// Requests take effect, but the connection is closed without a response.
    DropsResponses,
}

#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Row {
    #[serde(rename = "Table")]
    table: String,
    #[serde(rename = "part", default)]
    part: String,
    #[serde(rename = "Key")]
    key: String,
    #[serde_as(as = "Option<Base64>")]
    #[serde(rename = "Value", default, skip_serializing_if = "Option::is_none")]
    value: Option<Vec<u8>>,
    #[serde(rename = "Ver", default)]
    revision: u64,
    #[serde(rename = "Removed", default, skip_serializing_if = "std::ops::Not::not")]
    removed: bool,
}

#[derive(Debug, Deserialize)]
struct Transaction {
    #[serde(rename = "Expected", default)]
    expected: Vec<Row>,
    #[serde(rename = "Writes", default)]
    writes: Vec<Row>,
    #[serde(rename = "Remove", default)]
    remove: Vec<Row>,
}

/// A copy of the store's content, as of one moment.
#[derive(Debug, Clone)]
pub struct Copy {
    rows: BTreeMap<(String, String), Row>,
    log: Vec<Row>,
    revision: u64,
}

/// The header field with the number of times that the store has come back from a copy.
const ERA: &str = "store-era";

#[derive(Debug)]
struct State {
    started: Instant,
    era: u64,
    rows: BTreeMap<(String, String), Row>,
    log: Vec<Row>,
    revision: u64,
    compacted_revision: u64,
    mode: Mode,
    delay: Duration,
    /// The table whose next changes are lost on their way to a reader, and how often.
    lost_changes: Option<(String, usize)>,
    /// The share of all responses that are lost on their way.
    loss: f64,
    /// Rows of the list of upstreams as text, which need not be valid.
    odd_rows: Vec<String>,
    /// The most rows of a page, whatever a request asks for.
    max_page_len: usize,
    calls: u64,
    full_reads: Vec<String>,
}

impl State {
    fn write(&mut self, row: Row) {
        let row = Row { revision: self.revision, ..row };
        let key = (row.table.clone(), row.key.clone());
        match row.removed {
            true => self.rows.remove(&key),
            false => self.rows.insert(key, row.clone()),
        };
        self.log.push(row);
    }

    fn commit(&mut self, transaction: Transaction) -> Result<u64, ()> {
        let holds = |row: &Row| {
            let current = self.rows.get(&(row.table.clone(), row.key.clone()));
            current.map_or(0, |current| current.revision) == row.revision
        };
        if !transaction.expected.iter().all(holds) {
            return Err(());
        }
        self.revision += 1;
        transaction.writes.into_iter().for_each(|row| self.write(row));
        let removed = transaction.remove.into_iter().map(|row| Row { removed: true, ..row });
        removed.for_each(|row| self.write(row));
        Ok(self.revision)
    }

    fn page(&self, rows: Vec<&Row>, more: bool) -> Vec<u8> {
        let is_list = rows.first().is_some_and(|row| row.table == "servers");
        let odd = if is_list { &self.odd_rows[..] } else { &[] };
        let rows = rows.into_iter().map(|row| serde_json::to_string(row).expect("plain data"));
        let rows: Vec<String> = odd.iter().cloned().chain(rows).collect();
        let (rows, revision, now) = (rows.join(","), self.revision, self.clock());
        format!("{{\"Rows\":[{rows}],\"MorePages\":{more},\"Ver\":{revision},\"NowS\":{now}}}")
            .into_bytes()
    }

    /// Returns the store's steady clock, in seconds.
    fn clock(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// A running store; its threads end with the process.
#[derive(Debug, Clone)]
pub struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Panics
    ///
    /// Panics if no port is free.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            started: Instant::now(),
            era: 1,
            rows: BTreeMap::new(),
            log: Vec::new(),
            revision: 1,
            compacted_revision: 0,
            mode: Mode::Up,
            delay: Duration::ZERO,
            lost_changes: None,
            loss: 0.0,
            odd_rows: Vec::new(),
            max_page_len: 500,
            calls: 0,
            full_reads: Vec::new(),
        };
        let store = Store {
            address: listener.local_addr().expect("a bound socket"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                // After a failed connection the client opens a new one.
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Returns the address at which it accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics while it holds the state")
    }

    /// Writes a row unconditionally.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let row = Row {
            table: table.to_owned(),
            part: String::new(),
            key: key.to_owned(),
            value: Some(value.as_bytes().to_vec()),
            revision: 0,
            removed: false,
        };
        let mut state = self.lock();
        state.revision += 1;
        state.write(row);
        self.state.1.notify_all();
    }

    /// Removes a row unconditionally.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let row = Row {
            table: table.to_owned(),
            part: String::new(),
            key: key.to_owned(),
            value: None,
            revision: 0,
            removed: true,
        };
        state.write(row);
        self.state.1.notify_all();
    }

    /// Returns the value of a row; `None` if it does not exist or its value is not UTF-8.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        String::from_utf8(row.value.clone()?).ok()
    }

    /// Sets how it handles requests.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
        self.state.1.notify_all();
    }

    /// Sets the delay before each request is handled, in addition to the wait of a feed.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Adds a row, as text that need not be valid, to all pages with rows of the list of upstreams.
    pub fn put_odd_row(&self, row: &str) {
        self.lock().odd_rows.push(row.to_owned());
    }

    /// Sets the most rows of a page, whatever a request asks for.
    pub fn set_max_page_len(&self, rows: usize) {
        self.lock().max_page_len = rows;
    }

    /// Loses so many responses of the feed of a table that carry changes: their connections stay open
    /// and deliver nothing more.
    pub fn lose_changes(&self, table: &str, count: usize) {
        self.lock().lost_changes = Some((table.to_owned(), count));
    }

    /// Loses this share of all responses, as [`lose_changes`](Store::lose_changes) does.
    pub fn set_loss(&self, share: f64) {
        self.lock().loss = share;
    }

    /// Returns whether the response to this request is to be lost.
    fn takes_loss(&self, request: &Request) -> bool {
        let mut state = self.lock();
        if fastrand::f64() < state.loss {
            return true;
        }
        let table = request.parameter("Table").unwrap_or_default();
        let after = request.parameter("after").and_then(|n| n.parse().ok()).unwrap_or(0);
        let has_changes = request.path() == "/rows-feed"
            && state.log.iter().any(|row| row.table == table && row.revision > after);
        match &mut state.lost_changes {
            Some((of, count)) if *of == table && *count > 0 && has_changes => {
                *count -= 1;
                true
            }
            _ => false,
        }
    }

    /// Discards the history of changes, but not the rows; a feed from before now gets status 410.
    pub fn drop_history(&self) {
        let mut state = self.lock();
        state.log.clear();
        state.compacted_revision = state.revision;
    }

    /// Returns a copy of its content.
    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy { rows: state.rows.clone(), log: state.log.clone(), revision: state.revision }
    }

    /// Replaces its content by an earlier copy: writes since then are lost, and their revisions are
    /// given out again. A new era begins.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.lock();
        state.rows.clone_from(&copy.rows);
        state.log.clone_from(&copy.log);
        state.revision = copy.revision;
        state.compacted_revision = state.compacted_revision.min(copy.revision);
        state.era += 1;
        self.state.1.notify_all();
    }

    /// Returns the number of requests received so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the name of the table for each request that read a table, in order.
    pub fn full_reads(&self) -> Vec<String> {
        self.lock().full_reads.clone()
    }

    /// Returns how many requests read a table.
    pub fn full_reads_of(&self, table: &str) -> usize {
        self.lock().full_reads.iter().filter(|read| *read == table).count()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        while let Some(request) = read_request(&mut stream)? {
            let (mode, delay) = {
                let mut state = self.lock();
                state.calls += 1;
                (state.mode, state.delay)
            };
            std::thread::sleep(delay);
            match mode {
                Mode::Up => {
                    let (status, body) = self.handle(&request);
                    if self.takes_loss(&request) {
                        std::thread::sleep(Duration::from_secs(3600));
                    }
                    self.respond(&mut stream, status, &body)?;
                }
                Mode::Down => self.respond(&mut stream, 503, b"")?,
                Mode::Unresponsive => std::thread::sleep(Duration::from_secs(3600)),
                Mode::DropsResponses => {
                    self.handle(&request);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn respond(&self, stream: &mut TcpStream, status: u16, body: &[u8]) -> io::Result<()> {
        let era = self.lock().era.to_string();
        write_response(stream, status, &[(ERA, &era)], body)
    }

    fn handle(&self, request: &Request) -> (u16, Vec<u8>) {
        match request.path() {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => (200, self.read(request)),
            "/rows-feed" => self.feed(request),
            _ => (404, Vec::new()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Ok(transaction) = serde_json::from_slice(body) else { return (400, Vec::new()) };
        let (result, now) = {
            let mut state = self.lock();
            (state.commit(transaction), state.clock())
        };
        self.state.1.notify_all();
        match result {
            Ok(revision) => {
                (200, serde_json::json!({"Ver": revision, "NowS": now}).to_string().into())
            }
            Err(()) => (412, self.lock().page(Vec::new(), false)),
        }
    }

    fn read(&self, request: &Request) -> Vec<u8> {
        let table = request.parameter("Table").unwrap_or_default();
        let from = request.parameter("From").unwrap_or_default();
        let from: Vec<u8> = percent_encoding::percent_decode_str(from).collect();
        let limit = request.parameter("Limit").and_then(|l| l.parse().ok()).unwrap_or(500);
        let mut state = self.lock();
        let limit = state.max_page_len.min(limit);
        state.full_reads.push(table.to_owned());
        let rows =
            state.rows.values().filter(|row| row.table == table && row.key.as_bytes() >= &from[..]);
        let mut rows: Vec<&Row> = rows.take(limit + 1).collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        state.page(rows, more)
    }

    fn feed(&self, request: &Request) -> (u16, Vec<u8>) {
        let number = |name| request.parameter(name).and_then(|n: &str| n.parse().ok()).unwrap_or(0);
        let table = request.parameter("Table").unwrap_or_default();
        let (after, deadline) =
            (number("after"), Instant::now() + Duration::from_millis(number("WaitMs")));
        let mut state = self.lock();
        loop {
            if state.mode != Mode::Up {
                return (503, Vec::new());
            }
            if after < state.compacted_revision || after > state.revision {
                return (410, Vec::new());
            }
            let changed = state.log.iter().filter(|row| row.table == table && row.revision > after);
            let changed: Vec<&Row> = changed.collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || remaining.is_zero() {
                return (200, state.page(changed, false));
            }
            let result = self.state.1.wait_timeout(state, remaining);
            state = result.expect("no thread panics while it holds the state").0;
        }
    }
}
