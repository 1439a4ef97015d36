//! Small stand-ins for the users' platform: its store, its backends, its clients, and the machines
//! on which the system's processes run. They use the standard library only.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt as _;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What was sent, answered and run, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    pub fn say(&self, text: String) {
        let line = format!("{:9.3} s  {text}", self.started.elapsed().as_secs_f64());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &str) {
        let text = self.lines.lock().unwrap().join("\n");
        std::fs::write(path, text + "\n").expect("record.txt can be written");
    }
}

/// A JSON value, as far as the store needs it.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = Json::value(text, &mut at)?;
        Some(value)
    }

    fn skip(text: &[u8], at: &mut usize) {
        while *at < text.len() && text[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Json> {
        Json::skip(text, at);
        match *text.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Json::skip(text, at);
                    match *text.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Object(fields));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(name) = Json::value(text, at)? else { return None };
                            Json::skip(text, at);
                            if *text.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            fields.push((name, Json::value(text, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Json::skip(text, at);
                    match *text.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(items));
                        }
                        b',' => *at += 1,
                        _ => items.push(Json::value(text, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                loop {
                    match *text.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return String::from_utf8(out).ok().map(Json::Text);
                        }
                        b'\\' => {
                            let escaped = *text.get(*at + 1)?;
                            *at += 2;
                            match escaped {
                                b'n' => out.push(b'\n'),
                                b't' => out.push(b'\t'),
                                b'r' => out.push(b'\r'),
                                b'u' => {
                                    let digits = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                                    let code = u32::from_str_radix(digits, 16).ok()?;
                                    *at += 4;
                                    let mut bytes = [0; 4];
                                    let c = char::from_u32(code).unwrap_or('?');
                                    out.extend_from_slice(c.encode_utf8(&mut bytes).as_bytes());
                                }
                                other => out.push(other),
                            }
                        }
                        byte => {
                            out.push(byte);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while *at < text.len() && b"+-.eE0123456789".contains(&text[*at]) {
                    *at += 1;
                }
                std::str::from_utf8(&text[from..*at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(own, _)| own == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Writes a text as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out + "\""
}

const BASE64: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (chunk[0] as u32) << 16
            | (*chunk.get(1).unwrap_or(&0) as u32) << 8
            | *chunk.get(2).unwrap_or(&0) as u32;
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(BASE64[(n >> (18 - 6 * i) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let (mut bits, mut count, mut out) = (0u32, 0, Vec::new());
    for byte in text.bytes().filter(|b| *b != b'=') {
        let Some(value) = BASE64.iter().position(|b| *b == byte) else { continue };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// The fields, with their names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pair.filter(|(own, _)| *own == name).map(|(_, value)| value).next();
        percent_decoded(value.unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn percent_decoded(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with its read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Conn::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut block = [0; 16 * 1024];
        let len = self.stream.read(&mut block)?;
        self.buffer.extend_from_slice(&block[..len]);
        Ok(len)
    }

    /// Reads the next message, whose body has a length or none; `None` at the end.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::Error::other("cut within a head")),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message { line: lines.next().unwrap_or("").to_owned(), ..Message::default() };
        let fields = lines.filter_map(|line| line.split_once(':'));
        message.fields =
            fields.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
        if message.field("transfer-encoding").is_some() {
            return Err(io::Error::other("no stand-in reads chunks"));
        }
        let len = message.field("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        while self.buffer.len() < len {
            if self.fill()? == 0 {
                return Err(io::Error::other("cut within a body"));
            }
        }
        message.body = self.buffer.drain(..len).collect();
        Ok(Some(message))
    }

    pub fn respond(&mut self, status: u16, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
        fields.iter().for_each(|(name, value)| out.push_str(&format!("{name}: {value}\r\n")));
        let mut out = (out + "\r\n").into_bytes();
        out.extend_from_slice(body);
        self.stream.write_all(&out)
    }
}

#[derive(Debug, Clone)]
struct Row {
    table: String,
    part: String,
    key: String,
    /// `None` once the row is removed.
    value: Option<Vec<u8>>,
    version: u64,
}

impl Row {
    fn json(&self) -> String {
        let value = self.value.as_ref().map(|value| format!(",\"Value\":\"{}\"", base64(value)));
        let value = value.unwrap_or(",\"Removed\":true".to_owned());
        format!(
            "{{\"Table\":{},\"part\":{},\"Key\":{},\"Ver\":{}{value}}}",
            quoted(&self.table),
            quoted(&self.part),
            quoted(&self.key),
            self.version
        )
    }
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String, String), Row>,
    log: Vec<Row>,
    version: u64,
    /// Changes up to this version are no longer in the history.
    forgotten: u64,
    reads: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

/// The most rows and the most bytes of one answer.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Store {
            address: listener.local_addr().expect("a bound socket"),
            state: Arc::default(),
            started: Instant::now(),
        };
        store.state.0.lock().unwrap().version = 1;
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(request)) = conn.read() {
                        // `TxnS` and the time of an answer are of this order.
                        std::thread::sleep(Duration::from_millis(4));
                        let (status, body) = store.handle(&request);
                        if conn.respond(status, &[("Store-Era", "1")], body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Writes or removes a row, as operators and backends do.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let value = value.map(|value| value.as_bytes().to_vec());
        Store::write(&mut state, (table, "", key), value);
        self.state.1.notify_all();
    }

    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let row = state.rows.get(&(table.to_owned(), String::new(), key.to_owned()))?;
        row.value.clone().and_then(|value| String::from_utf8(value).ok())
    }

    /// Drops the history: a feed that goes on from before now gets 410.
    pub fn compact(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.log.clear();
        state.forgotten = state.version;
        self.state.1.notify_all();
    }

    /// How often a table was read.
    pub fn reads(&self) -> u64 {
        self.state.0.lock().unwrap().reads
    }

    fn write(state: &mut Rows, (table, part, key): (&str, &str, &str), value: Option<Vec<u8>>) {
        let (table, part, key) = (table.to_owned(), part.to_owned(), key.to_owned());
        let name = (table.clone(), part.clone(), key.clone());
        let row = Row { table, part, key, value, version: state.version };
        match row.value {
            Some(_) => state.rows.insert(name, row.clone()),
            None => state.rows.remove(&name),
        };
        state.log.push(row);
    }

    fn page(&self, state: &Rows, rows: &[Row], more: bool) -> String {
        let rows: Vec<String> = rows.iter().map(Row::json).collect();
        format!(
            "{{\"Rows\":[{}],\"MorePages\":{more},\"Ver\":{},\"NowS\":{}}}",
            rows.join(","),
            state.version,
            self.started.elapsed().as_secs_f64()
        )
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        match request.path() {
            "/rows-tx" => self.transact(&request.body),
            "/rows-get" => self.read(request),
            "/rows-feed" => self.feed(request),
            _ => (404, String::new()),
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, String::new()) };
        let mut state = self.state.0.lock().unwrap();
        let list = |name: &str| call.get(name).map(|v| v.list().to_vec()).unwrap_or_default();
        let name = |entry: &Json| {
            let text = |name: &str| entry.get(name).and_then(Json::text).unwrap_or("").to_owned();
            (text("Table"), text("part"), text("Key"))
        };
        let holds = |entry: &Json| {
            let known = state.rows.get(&name(entry)).map_or(0, |row| row.version);
            entry.get("Ver").and_then(Json::number).is_some_and(|ver| ver as u64 == known)
        };
        if !list("Expected").iter().all(holds) {
            return (412, self.page(&state, &[], false));
        }
        state.version += 1;
        for entry in list("Writes") {
            let value = entry.get("Value").and_then(Json::text).map(unbase64);
            let (table, part, key) = name(&entry);
            Store::write(&mut state, (&table, &part, &key), Some(value.unwrap_or_default()));
        }
        for entry in list("Remove") {
            let (table, part, key) = name(&entry);
            Store::write(&mut state, (&table, &part, &key), None);
        }
        self.state.1.notify_all();
        (200, self.page(&state, &[], false))
    }

    fn read(&self, request: &Message) -> (u16, String) {
        let (table, part) = (request.parameter("Table"), request.parameter("part"));
        let (from, to) = (request.parameter("From"), request.parameter("To"));
        let limit = request.parameter("Limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let mut state = self.state.0.lock().unwrap();
        state.reads += 1;
        let start = (table.clone(), part.clone(), from);
        let mut bytes = 0;
        let (mut rows, mut more) = (Vec::new(), false);
        for (name, row) in state.rows.range(start..) {
            if name.0 != table || name.1 != part || !to.is_empty() && name.2 >= to {
                break;
            }
            bytes += row.json().len();
            if rows.len() == limit || bytes > PAGE_BYTES && !rows.is_empty() {
                more = true;
                break;
            }
            rows.push(row.clone());
        }
        (200, self.page(&state, &rows, more))
    }

    fn feed(&self, request: &Message) -> (u16, String) {
        let number = |name: &str| request.parameter(name).parse::<u64>().unwrap_or(0);
        let (table, part, after) =
            (request.parameter("Table"), request.parameter("part"), number("after"));
        let until = Instant::now() + Duration::from_millis(number("WaitMs").min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            if after < state.forgotten || after > state.version {
                return (410, String::new());
            }
            let is_new = |r: &&Row| r.table == table && r.part == part && r.version > after;
            let changed: Vec<Row> = state.log.iter().filter(is_new).cloned().collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                return (200, self.page(&state, &changed, false));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// One run of a request at a backend.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

/// What a script changes of a backend.
pub struct Backend {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    /// The field `Server-Limit` of its answers; empty for none.
    pub limit: Mutex<String>,
    pub work: Mutex<Duration>,
    /// The status of its answers to requests that it has run and failed; 0 while it fails none.
    pub failure: Mutex<u16>,
    pub is_listed: AtomicBool,
    running: AtomicUsize,
    slots: usize,
    sequence: AtomicUsize,
    born: u128,
}

/// The time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1500);

impl Backend {
    pub fn start(id: &str, service: &str, work: Duration, store: &Store) -> Arc<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis();
        let backend = Arc::new(Backend {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("a bound socket"),
            runs: Mutex::default(),
            limit: Mutex::default(),
            work: Mutex::new(work),
            failure: Mutex::new(0),
            is_listed: AtomicBool::new(true),
            running: AtomicUsize::new(0),
            slots: 4,
            sequence: AtomicUsize::new(0),
            born,
        });
        let served = Arc::clone(&backend);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = Arc::clone(&served);
                std::thread::spawn(move || backend.serve(Conn::new(stream)));
            }
        });
        let (beating, store) = (Arc::clone(&backend), store.clone());
        beating.beat(&store);
        std::thread::spawn(move || loop {
            std::thread::sleep(HEARTBEAT);
            if beating.is_listed.load(Ordering::SeqCst) {
                beating.beat(&store);
            }
        });
        backend
    }

    fn beat(&self, store: &Store) {
        let entry = format!(
            "{{\"Service\":{},\"Address\":\"{}\",\"Zone\":\"milano-a\",\"Version\":\"v1\",\"Slots\":{},\
             \"State\":\"ready\",\"ColdRemainingS\":0,\"Seq\":{},\"born\":{}}}",
            quoted(&self.service),
            self.address,
            self.slots,
            self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            self.born
        );
        store.put("servers", &self.id, Some(&entry));
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read() {
            let limit = self.limit.lock().unwrap().clone();
            let load = format!("{},0,{},100", self.running.load(Ordering::SeqCst), self.slots);
            let mut fields = vec![("X-Basilhaven-Backend-Load", &*load)];
            if !limit.is_empty() {
                fields.push(("Server-Limit", &*limit));
            }
            if request.path() == "/healthz" {
                fields.push(("X-Basilhaven-Instance-Id", &*self.id));
                if conn.respond(200, &fields, b"").is_err() {
                    return;
                }
                continue;
            }
            let id = request.field("x-basilhaven-request-id").unwrap_or("").to_owned();
            fields.push(("X-Basilhaven-Request-Id", &*id));
            let meant = request.field("x-basilhaven-expected-instance");
            if meant.is_some_and(|meant| meant != self.id) {
                if conn.respond(421, &fields, b"").is_err() {
                    return;
                }
                continue;
            }
            if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
                self.running.fetch_sub(1, Ordering::SeqCst);
                fields.push(("X-Basilhaven-Not-Executed", "1"));
                if conn.respond(503, &fields, b"").is_err() {
                    return;
                }
                continue;
            }
            self.runs.lock().unwrap().push(Run { id: id.clone(), at: Instant::now() });
            let work = *self.work.lock().unwrap();
            std::thread::sleep(work);
            self.running.fetch_sub(1, Ordering::SeqCst);
            let signature = format!("{}.1", self.id);
            fields.push(("X-Basilhaven-Server-Signature", &*signature));
            let body = format!("{id} by {}", self.id);
            let failure = *self.failure.lock().unwrap();
            let status = if failure == 0 { 200 } else { failure };
            if conn.respond(status, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn arrivals(&self) -> usize {
        self.runs.lock().unwrap().len()
    }
}

/// A configuration with the routes `/safe/`, `/unsafe/` and `/upload/`, all to one service.
pub fn config(version: u64, service: &str) -> String {
    let route = |prefix: &str, kind: &str| {
        format!(
            "{{\"Name\":\"r-{kind}\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutS\":{},\
             \"TargetLatencyS\":0.3,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2}}",
            if kind == "upload" { 2.5 } else { 1.0 }
        )
    };
    format!(
        "{{\"Version\":\"{version:08x}\",\"Services\":[{{\"Name\":\"{service}\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":220,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":3.0,\"ColdPerS\":10.0}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":1000000,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}},\
         \"VirtualHosts\":[{{\"Host\":\"shop.example\",\"Paths\":[{},{},{}]}}]}}",
        route("/safe/", "safe"),
        route("/unsafe/", "unsafe"),
        route("/upload/", "upload")
    )
}

/// A machine of the system, with its process.
pub struct Machine {
    pub name: String,
    settings: Vec<(String, String)>,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: String,
    child: Mutex<Option<Child>>,
    /// How often the process was started, and the exits that nobody asked for.
    pub starts: AtomicUsize,
    pub own_ends: AtomicUsize,
    is_stopped: AtomicBool,
}

/// Returns a port that is free for TCP and UDP on all of these addresses.
fn free_port(ips: &[String]) -> u16 {
    loop {
        let probe = UdpSocket::bind((&*ips[0], 0)).expect("a free port");
        let port = probe.local_addr().expect("a bound socket").port();
        drop(probe);
        let is_free = |ip: &String| {
            UdpSocket::bind((&**ip, port)).is_ok() && TcpListener::bind((&**ip, port)).is_ok()
        };
        if ips.iter().all(is_free) {
            return port;
        }
    }
}

extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// Makes this process end when the thread that has started it ends.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const KILL: u64 = 9;
    // It takes numbers only, and changes nothing but what happens at the end of the parent.
    unsafe { prctl(PR_SET_PDEATHSIG, KILL, 0, 0, 0) };
    Ok(())
}

/// What the settings say of a machine.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub cpu_share: f64,
    pub memory_mb: u64,
    pub link_mbps: u64,
}

/// The machines of the site `cvf-gateway`, and most of those of `mpew-ladowanie-grown`.
pub const CVF: Class = Class { cpu_share: 0.2, memory_mb: 260, link_mbps: 1000 };
pub const MPEW: Class = Class { cpu_share: 0.1, memory_mb: 160, link_mbps: 10 };

/// Starts machines with the command of the deploy file, on addresses of their own.
pub fn machines(count: usize, store: SocketAddr, folder: &str, class: Class) -> Vec<Arc<Machine>> {
    let net = std::process::id() % 200 + 20;
    let ips: Vec<String> = (0..count).map(|n| format!("127.77.{net}.{}", n + 1)).collect();
    let ports: Vec<u16> = {
        let mut ports = Vec::new();
        while ports.len() < 5 {
            let port = free_port(&ips);
            if !ports.contains(&port) {
                ports.push(port);
            }
        }
        ports
    };
    // Seeds are addresses of the control port, of which the system uses the host only.
    let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:{}", ports[0])).collect();
    let all: Vec<Arc<Machine>> = ips
        .iter()
        .enumerate()
        .map(|(n, ip)| {
            let at = |port: usize| format!("{ip}:{}", ports[port]);
            let name = format!("front-milano-a-{}", n + 1);
            let settings = [
                ("NAME", name.clone()),
                ("DATA_CENTRE", "milano-a".to_owned()),
                ("LISTEN", at(1)),
                ("READY", at(2)),
                ("DIRECTORY", at(3)),
                ("PEER", at(0)),
                ("METRICS", at(4)),
                ("CORES", class.cpu_share.to_string()),
                ("STORE", store.to_string()),
                ("SEEDS", seeds.join(",")),
                ("FIRST_START", "false".to_owned()),
                ("ENTRY_TTL_S", "5".to_owned()),
                ("GRACE_S", "6".to_owned()),
                ("RETRY_RATIO", "0.2".to_owned()),
                ("RETRY_SLACK", "56".to_owned()),
                ("PROBE_RATE", "60".to_owned()),
                ("HEARTBEAT_S", "1.5".to_owned()),
                ("EXPOSURE_SHARE", "0.1".to_owned()),
                ("ORDERS_WITHIN_S", "2".to_owned()),
                ("MEMORY_MB", class.memory_mb.to_string()),
                ("MAX_FDS", "4100".to_owned()),
                ("LINK_MBPS", class.link_mbps.to_string()),
            ];
            Arc::new(Machine {
                settings: settings.iter().map(|(n, v)| (format!("BASILHAVEN_{n}"), v.clone())).collect(),
                front: at(1).parse().expect("an address"),
                ready: at(2).parse().expect("an address"),
                log: format!("{folder}/{name}.log"),
                name,
                child: Mutex::default(),
                starts: AtomicUsize::new(0),
                own_ends: AtomicUsize::new(0),
                is_stopped: AtomicBool::new(false),
            })
        })
        .collect();
    all.iter().for_each(|machine| machine.start());
    all
}

impl Machine {
    pub fn start(&self) {
        let open = || {
            let options = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
            Stdio::from(options.expect("a temporary file"))
        };
        // The command of deploy/system.toml.
        let mut command = Command::new("target/release/basilhavend");
        command.arg("gateway").env_clear().envs(self.settings.iter().cloned());
        command.stdin(Stdio::null()).stdout(open()).stderr(open());
        // SAFETY: the function allocates nothing and takes no lock.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn().expect("target/release/basilhavend is built");
        *self.child.lock().unwrap() = Some(child);
        self.starts.fetch_add(1, Ordering::SeqCst);
    }

    /// Starts the process again whenever it ends by itself, as the platform does.
    pub fn watch(self: &Arc<Machine>, record: &Record) {
        let (machine, record) = (Arc::clone(self), record.clone());
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(50));
            if machine.is_stopped.load(Ordering::SeqCst) {
                return;
            }
            let ended = match machine.child.lock().unwrap().as_mut() {
                Some(child) => child.try_wait().ok().flatten(),
                None => None,
            };
            if let Some(status) = ended {
                machine.own_ends.fetch_add(1, Ordering::SeqCst);
                record.say(format!("{}: the process has ended by itself, {status}", machine.name));
                std::thread::sleep(Duration::from_millis(500));
                machine.start();
            }
        });
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            let status = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
            assert!(status.is_ok_and(|s| s.success()), "signal {name} was sent");
        }
    }

    /// Ends the process for good.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for its process to end, for at most this long; returns whether it has ended.
    pub fn wait(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(child) = self.child.lock().unwrap().as_mut() {
                if child.try_wait().ok().flatten().is_some() {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn id(&self) -> u32 {
        self.child.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut conn = Conn::open(self.ready, Duration::from_secs(1))?;
            conn.stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n")?;
            Ok(conn.read()?.is_some_and(|response| response.status() == 200))
        };
        ask().unwrap_or(false)
    }
}

/// Waits until a condition holds; returns whether it did within `limit`.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Sends a request on a new connection, and returns the answer.
pub fn call(front: SocketAddr, method: &str, path: &str, id: &str, deadline_ms: u64) -> io::Result<Message> {
    let mut conn = Conn::open(front, Duration::from_secs(1))?;
    conn.stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1000)))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Basilhaven-Request-Id: {id}\r\n\
         X-Basilhaven-Deadline-Ms: {deadline_ms}\r\n\r\n"
    );
    conn.stream.write_all(head.as_bytes())?;
    conn.read()?.ok_or_else(|| io::Error::other("closed without an answer"))
}
