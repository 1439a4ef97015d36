//! Stand-ins of the users' platform, for the scripts of this review: a store, upstreams, and the
//! start of the daemon with the command and the settings of the deploy file. Standard library only.

use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "shop.example";
pub const SERVICE: &str = "catalogo";

// ---------------------------------------------------------------- JSON, Base64

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        value(text, &mut at)
    }
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(own, _)| own == name).map(|(_, v)| v),
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
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while *at < text.len() && text[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                match *text.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(text.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('?');
                        out.extend_from_slice(c.to_string().as_bytes());
                        *at += 4;
                    }
                    other => out.push(other),
                }
                *at += 1;
            }
            other => {
                out.push(other);
                *at += 1;
            }
        }
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        b'"' => string(text, at).map(Json::Text),
        open @ (b'{' | b'[') => {
            *at += 1;
            let (mut fields, mut list) = (Vec::new(), Vec::new());
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b'}' | b']' => {
                        *at += 1;
                        return Some(match open {
                            b'{' => Json::Table(fields),
                            _ => Json::List(list),
                        });
                    }
                    b',' => *at += 1,
                    _ if open == b'{' => {
                        let name = string(text, at)?;
                        skip(text, at);
                        *at += 1;
                        fields.push((name, value(text, at)?));
                    }
                    _ => list.push(value(text, at)?),
                }
            }
        }
        _ => {
            let start = *at;
            while *at < text.len() && !matches!(text[*at], b',' | b'}' | b']' | b' ' | b'\n') {
                *at += 1;
            }
            match std::str::from_utf8(&text[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" | "false" => Some(Json::Bool),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= chunk.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * place) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut word, mut bits, mut out) = (0u32, 0, Vec::new());
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|own| *own == byte) else { break };
        word = (word << 6 | digit as u32) & 0xffffff;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits & 255) as u8);
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(own, _)| own == name).map(|(_, value)| &**value)
    }
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("").split('?').next().unwrap_or("")
    }
    pub fn parameter(&self, name: &str) -> Option<String> {
        let target = self.line.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(own, _)| *own == name).map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() + 0 {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, ahead: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        Ok(Conn::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let len = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..len]);
        Ok(len)
    }

    /// Reads the next message; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.ahead.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return match self.ahead.is_empty() {
                    true => Ok(None),
                    false => Err(io::Error::other("a head cut short")),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers: Vec<(String, String)> =
            headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
        let mut message = Message { line, headers, body: Vec::new(), is_whole: true };
        if let Some(len) = message.header("content-length").and_then(|len| len.parse().ok()) {
            let len: usize = len;
            while self.ahead.len() < len {
                if self.fill()? == 0 {
                    message.is_whole = false;
                    break;
                }
            }
            message.body = self.ahead.drain(..len.min(self.ahead.len())).collect();
        }
        Ok(Some(message))
    }
}

pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

// ---------------------------------------------------------------- the store

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    /// The changes of the last `HISTORY`, with the time of each.
    log: VecDeque<(Instant, Row)>,
    revision: u64,
    /// The newest revision that is no longer in the log.
    forgotten: u64,
}

/// How long the store keeps its history (`HistoryS` of the site).
const HISTORY: Duration = Duration::from_secs(20);

impl Rows {
    fn forget(&mut self) {
        while self.log.front().is_some_and(|(at, _)| at.elapsed() > HISTORY) {
            if let Some((_, row)) = self.log.pop_front() {
                self.forgotten = row.revision;
            }
        }
    }

    fn write(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let row =
            Row { table: table.into(), key: key.into(), value, revision: self.revision };
        let place = (row.table.clone(), row.key.clone());
        match row.value.is_some() {
            true => self.rows.insert(place, row.clone()),
            false => self.rows.remove(&place),
        };
        self.log.push_back((Instant::now(), row));
    }
}

/// The platform's store, by the page on its protocol; it is always up.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = Rows { revision: 1, ..Rows::default() };
        let store = Store {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            started: Instant::now(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        store
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_all(table, &[(key.to_owned(), value.as_bytes().to_vec())]);
    }

    /// Writes rows in one transaction.
    pub fn put_all(&self, table: &str, written: &[(String, Vec<u8>)]) {
        let mut rows = self.state.0.lock().unwrap();
        rows.revision += 1;
        for (key, value) in written {
            rows.write(table, key, Some(value.clone()));
        }
        self.state.1.notify_all();
    }

    fn page(&self, rows: &[Row], revision: u64, has_more: bool) -> String {
        let rows: Vec<String> = rows
            .iter()
            .map(|row| {
                let place = format!(
                    "\"Table\":\"{}\",\"part\":\"\",\"Key\":\"{}\",\"Ver\":{}",
                    row.table, row.key, row.revision
                );
                match &row.value {
                    Some(value) => format!("{{{place},\"Value\":\"{}\"}}", to_base64(value)),
                    None => format!("{{{place},\"Removed\":true}}"),
                }
            })
            .collect();
        let now = self.started.elapsed().as_secs_f64();
        format!(
            "{{\"Rows\":[{}],\"MorePages\":{has_more},\"Ver\":{revision},\"NowS\":{now}}}",
            rows.join(",")
        )
    }

    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(request) = conn.read()? {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            respond(&mut conn.stream, status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let table = request.parameter("Table").unwrap_or_default();
        let mut rows = self.state.0.lock().unwrap();
        match request.path() {
            "/rows-get" => {
                let from = request.parameter("From").unwrap_or_default();
                let to = request.parameter("To");
                let limit = request.parameter("Limit").and_then(|l| l.parse().ok()).unwrap_or(500);
                let found: Vec<Row> = rows
                    .rows
                    .values()
                    .filter(|row| row.table == table && row.key >= from)
                    .filter(|row| to.as_ref().is_none_or(|to| row.key < *to))
                    .cloned()
                    .collect();
                let len = found.len().min(limit).min(500);
                (200, self.page(&found[..len], rows.revision, found.len() > len))
            }
            "/rows-feed" => {
                let after: u64 =
                    request.parameter("after").and_then(|a| a.parse().ok()).unwrap_or(0);
                let wait: u64 =
                    request.parameter("WaitMs").and_then(|w| w.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                loop {
                    rows.forget();
                    if after < rows.forgotten {
                        return (410, "{}".into());
                    }
                    let new = |row: &&Row| row.table == table && row.revision > after;
                    let found: Vec<Row> =
                        rows.log.iter().map(|(_, row)| row).filter(new).cloned().collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        return (200, self.page(&found, rows.revision, false));
                    }
                    rows = self.state.1.wait_timeout(rows, left).unwrap().0;
                }
            }
            "/rows-tx" => {
                let Some(tx) = Json::parse(&request.body) else { return (400, "{}".into()) };
                let entries = |name: &str| tx.get(name).map(Json::list).unwrap_or(&[]).to_vec();
                let field = |row: &Json, name: &str| {
                    row.get(name).and_then(Json::text).unwrap_or("").to_owned()
                };
                for row in entries("Expected") {
                    let place = (field(&row, "Table"), field(&row, "Key"));
                    let known = rows.rows.get(&place).map_or(0, |row| row.revision);
                    if row.get("Ver").and_then(Json::number).unwrap_or(0.0) as u64 != known {
                        return (412, self.page(&[], rows.revision, false));
                    }
                }
                rows.revision += 1;
                for row in entries("Writes") {
                    let value = from_base64(&field(&row, "Value"));
                    rows.write(&field(&row, "Table"), &field(&row, "Key"), Some(value));
                }
                for row in entries("Remove") {
                    rows.write(&field(&row, "Table"), &field(&row, "Key"), None);
                }
                self.state.1.notify_all();
                (200, self.page(&[], rows.revision, false))
            }
            _ => (404, "{}".into()),
        }
    }
}

// ---------------------------------------------------------------- the daemon

/// A running daemon; killed on drop.
pub struct Daemon {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub log: std::path::PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        STARTED.lock().unwrap().retain(|process| *process != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.log);
    }
}

/// Returns a port that is free on all of these addresses, below those that the system gives to
/// outgoing connections.
pub fn free_port(ips: &[&str]) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Two cases that run side by side begin at different ports.
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.subsec_nanos());
    let first = ((nanos / 1000).wrapping_add(std::process::id().wrapping_mul(7919)) % 10_000) as u16;
    let is_free = |port: &u16| {
        let is_free = |ip: &&str| -> bool {
            TcpListener::bind((*ip, *port)).is_ok() && UdpSocket::bind((*ip, *port)).is_ok()
        };
        ips.iter().all(is_free)
    };
    let ports = (0..10_000).map(|_| 20_000 + (first + NEXT.fetch_add(1, Relaxed)) % 10_000);
    ports.into_iter().find(is_free).unwrap_or_else(|| fail("no free port"))
}

impl Daemon {
    /// Starts `target/release/basilhavend gateway` with the settings of the deploy file, filled in as
    /// for a machine of the site cvf-gateway.
    pub fn start(ip: &str, store: &Store, seeds: &str, changed: &[(&str, &str)]) -> Daemon {
        let ports: Vec<u16> = (0..5).map(|_| free_port(&[ip])).collect();
        let at = |number: usize| format!("{ip}:{}", ports[number]);
        let settings = [
            ("BASILHAVEN_NAME", format!("front-{ip}")),
            ("BASILHAVEN_DATA_CENTRE", "milano-a".into()),
            ("BASILHAVEN_LISTEN", at(0)),
            ("BASILHAVEN_READY", at(1)),
            ("BASILHAVEN_DIRECTORY", at(2)),
            ("BASILHAVEN_PEER", at(3)),
            ("BASILHAVEN_METRICS", at(4)),
            ("BASILHAVEN_CORES", "0.2".into()),
            ("BASILHAVEN_STORE", store.address.to_string()),
            ("BASILHAVEN_SEEDS", seeds.into()),
            ("BASILHAVEN_FIRST_START", "true".into()),
            ("BASILHAVEN_ENTRY_TTL_S", "5".into()),
            ("BASILHAVEN_GRACE_S", "6".into()),
            ("BASILHAVEN_RETRY_RATIO", "0.2".into()),
            ("BASILHAVEN_RETRY_SLACK", "56".into()),
            ("BASILHAVEN_PROBE_RATE", "60".into()),
            ("BASILHAVEN_HEARTBEAT_S", "1.5".into()),
            ("BASILHAVEN_EXPOSURE_SHARE", "0.1".into()),
            ("BASILHAVEN_ORDERS_WITHIN_S", "2".into()),
            ("BASILHAVEN_MEMORY_MB", "260".into()),
            ("BASILHAVEN_MAX_FDS", "4100".into()),
            ("BASILHAVEN_LINK_MBPS", "1000".into()),
        ];
        let unique = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos());
        let log = std::env::temp_dir().join(format!("case-{}-{unique}.log", std::process::id()));
        let mut command = Command::new("target/release/basilhavend");
        command.arg("gateway").env_clear().envs(settings).envs(changed.iter().copied());
        command.stdin(Stdio::null()).stderr(Stdio::null());
        command.stdout(File::create(&log).expect("a temporary file"));
        let child = command.spawn().unwrap_or_else(|error| fail(&format!("no daemon: {error}")));
        STARTED.lock().unwrap().push(child.id());
        let address = |number: usize| at(number).parse().expect("an address");
        Daemon {
            child,
            callers: address(0),
            ready: address(1),
            log,
        }
    }

    pub fn is_ready(&self) -> bool {
        self.ready_within(Duration::from_secs(1)) == Some(200)
    }

    /// Returns the status of the readiness check; `None` if there is none within `limit`.
    pub fn ready_within(&self, limit: Duration) -> Option<u16> {
        let stream = TcpStream::connect_timeout(&self.ready, limit).ok()?;
        let mut conn = Conn::new(stream);
        conn.stream.set_read_timeout(Some(limit)).ok()?;
        conn.stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n").ok()?;
        conn.read().ok()?.map(|answer| answer.status())
    }

    pub fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > until {
                fail("the daemon is not ready in 20 s");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// The daemons that were started, by process id.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends a case that could not run, and the daemons that it has started.
pub fn fail(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    for process in STARTED.lock().map(|started| started.clone()).unwrap_or_default() {
        let _ = Command::new("kill").args(["-9", &process.to_string()]).status();
    }
    std::process::exit(2)
}

pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writes the record of a case.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|error| fail(&format!("{path}: {error}")));
        Record { file: Mutex::new(file), started: Instant::now() }
    }
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {text}\n");
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Returns a configuration with the routes `/safe/` and `/unsafe/`, with the limits of the site.
pub fn config(version: u64, timeout_s: f64) -> String {
    let route = |prefix: &str, kind: &str| {
        format!(
            "{{\"Name\":\"r-{kind}\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutS\":{timeout_s},\
             \"TargetLatencyS\":0.3,\"Priority\":1,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2}}"
        )
    };
    format!(
        "{{\"Version\":\"{version:08x}\",\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/healthz\",\
         \"MaxConns\":220,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":3.0,\"ColdPerS\":13.0}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\
         \"IdleTimeoutS\":15}},\"VirtualHosts\":[{{\"Host\":\"{HOST}\",\"Paths\":[{},{}]}}]}}",
        route("/safe/", "safe"),
        route("/unsafe/", "unsafe")
    )
}

// ---------------------------------------------------------------- upstreams

/// What an upstream does with a call; returns whether the connection stays open.
pub type Serve = dyn Fn(&Upstream, &Message, &mut Conn) -> io::Result<bool> + Send + Sync;

/// A server of the service; it says its load and answers its health check at once.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    /// The ids of the requests that it has run, in order.
    pub runs: Arc<Mutex<Vec<String>>>,
    running: Arc<Mutex<i64>>,
    serve_call: Arc<Serve>,
}

impl Upstream {
    pub fn start(id: &str, serve_call: Arc<Serve>) -> Upstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let upstream = Upstream {
            id: id.to_owned(),
            address: listener.local_addr().expect("bound"),
            runs: Arc::default(),
            running: Arc::default(),
            serve_call,
        };
        let served = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = served.clone();
                thread::spawn(move || upstream.serve(Conn::new(stream)));
            }
        });
        upstream
    }

    pub fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"Service\":\"{SERVICE}\",\"Address\":\"{}\",\"Zone\":\"milano-a\",\"Version\":\"v1\",\
             \"Slots\":4,\"State\":\"ready\",\"ColdRemainingS\":0,\"Seq\":{sequence},\"born\":1}}",
            self.address
        )
    }

    pub fn load(&self) -> String {
        format!("{},0,4,100", self.running.lock().unwrap())
    }

    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(request) = conn.read()? {
            if request.path() == "/healthz" {
                let load = self.load();
                let headers =
                    [("X-Basilhaven-Instance-Id", &*self.id), ("X-Basilhaven-Backend-Load", &*load)];
                respond(&mut conn.stream, 200, &headers, b"")?;
                continue;
            }
            *self.running.lock().unwrap() += 1;
            let result = (self.serve_call)(self, &request, &mut conn);
            *self.running.lock().unwrap() -= 1;
            if !result? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Records that it begins to run a request.
    pub fn run(&self, request: &Message) -> String {
        let id = request.header("x-basilhaven-request-id").unwrap_or("").to_owned();
        self.runs.lock().unwrap().push(id.clone());
        id
    }

    /// Sends a whole and signed answer.
    pub fn answer(&self, conn: &mut Conn, id: &str, status: u16, body: &[u8]) -> io::Result<()> {
        let load = self.load();
        let signature = format!("sig.{}.{id}", self.id);
        let headers = [
            ("X-Basilhaven-Request-Id", id),
            ("X-Basilhaven-Server-Signature", &*signature),
            ("X-Basilhaven-Backend-Load", &*load),
        ];
        respond(&mut conn.stream, status, &headers, body)
    }
}

/// Starts servers that serve each call in `work`, and keeps their entries in the store.
pub fn start_upstreams(store: &Store, count: usize, work: Duration) -> Vec<Upstream> {
    let serve = move |own: &Upstream, request: &Message, conn: &mut Conn| {
        let id = own.run(request);
        thread::sleep(work);
        own.answer(conn, &id, 200, format!("{id} by {}", own.id).as_bytes())?;
        Ok(true)
    };
    start_with(store, count, Arc::new(serve))
}

pub fn start_with(store: &Store, count: usize, serve: Arc<Serve>) -> Vec<Upstream> {
    let all: Vec<Upstream> =
        (0..count).map(|n| Upstream::start(&format!("i-{n}"), Arc::clone(&serve))).collect();
    let (store, kept) = (store.clone(), all.clone());
    for upstream in &all {
        store.put("servers", &upstream.id, &upstream.entry(1));
    }
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1500));
            for upstream in &kept {
                store.put("servers", &upstream.id, &upstream.entry(sequence));
            }
        }
    });
    all
}

/// Returns the head of a request.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, field: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Basilhaven-Request-Id: {id}\r\n\
         X-Basilhaven-Deadline-Ms: {deadline_ms}\r\n{field}\r\n"
    )
}

/// Sends one request on a new connection; returns the answer.
pub fn call(
    callers: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
) -> io::Result<Message> {
    let mut conn = Conn::open(callers)?;
    conn.stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 2000)))?;
    conn.stream.write_all(request_head(method, path, id, deadline_ms, "").as_bytes())?;
    conn.read()?.ok_or_else(|| io::Error::other("closed without an answer"))
}
