//! A stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};
use crate::json::{self, Json};

#[derive(Debug, Clone)]
struct Row {
    table: String,
    key: String,
    /// `None` once the row was removed.
    value: Option<Vec<u8>>,
    version: u64,
}

impl Row {
    fn json(&self) -> String {
        let content = match &self.value {
            Some(value) => format!("\"Value\":\"{}\"", json::encode_base64(value)),
            None => "\"Removed\":true".to_owned(),
        };
        let Row { table, key, version, .. } = self;
        format!(
            "{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",{content},\"Ver\":{version}}}"
        )
    }
}

/// The content of the store as of one moment.
#[derive(Debug, Clone, Default)]
pub struct Copy {
    rows: BTreeMap<(String, String), Row>,
    /// The newest change of each row, in the order of versions.
    log: Vec<Row>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    content: Copy,
    era: u64,
    /// Whether calls are turned away with 503.
    is_away: bool,
    /// Answers of the feed of `op` with a change that are still to be lost.
    to_lose: usize,
    lost: usize,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

enum Answer {
    Sent(u16, String),
    /// Nothing is delivered on the connection any more.
    Lost,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let mut state = State { era: 1, ..State::default() };
        state.content.version = 3_000_000;
        let store = Store {
            address: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            started: Instant::now(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) -> u64 {
        let mut state = self.lock();
        state.content.version += 1;
        apply(&mut state.content, table, key, value);
        self.state.1.notify_all();
        state.content.version
    }

    /// Writes a row; returning is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        self.write(table, key, Some(value.as_bytes().to_vec()))
    }

    /// Returns the value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let row = state.content.rows.get(&(table.to_owned(), key.to_owned()))?;
        String::from_utf8(row.value.clone()?).ok()
    }

    /// Loses the next `count` answers of the feed of `op` that carry a change.
    pub fn lose_answers(&self, count: usize) {
        self.lock().to_lose = count;
    }

    /// Ends the loss of answers, and returns how many were lost.
    pub fn stop_losing(&self) -> usize {
        let mut state = self.lock();
        state.to_lose = 0;
        std::mem::take(&mut state.lost)
    }

    pub fn copy(&self) -> Copy {
        self.lock().content.clone()
    }

    /// Turns all calls away until [`restore`](Store::restore).
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.state.1.notify_all();
    }

    /// Comes back, from a copy if there is one.
    pub fn restore(&self, copy: Option<Copy>) {
        let mut state = self.lock();
        if let Some(copy) = copy {
            state.content = copy;
            state.era += 1;
        }
        state.is_away = false;
        self.state.1.notify_all();
    }

    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(head) = conn.read_head()? {
            let body = conn.read_body(&head)?;
            // A transaction takes 5 ms.
            std::thread::sleep(Duration::from_millis(if head.line[0] == "POST" { 5 } else { 1 }));
            match self.handle(&head, &body) {
                Answer::Sent(status, body) => {
                    let era = self.lock().era.to_string();
                    let fields = [("Content-Type", "application/json"), ("Store-Era", &*era)];
                    conn.respond(status, &fields, body.as_bytes())?;
                }
                Answer::Lost => {
                    while conn.read_head()?.is_some() {}
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn handle(&self, head: &Head, body: &[u8]) -> Answer {
        if self.lock().is_away {
            return Answer::Sent(503, String::new());
        }
        match head.path() {
            "/rows-get" => Answer::Sent(200, self.read(head)),
            "/rows-feed" => self.feed(head),
            "/rows-tx" => self.transact(body),
            _ => Answer::Sent(404, String::new()),
        }
    }

    fn page(&self, state: &State, rows: &[&Row], more: bool) -> String {
        let rows: Vec<String> = rows.iter().map(|row| row.json()).collect();
        let now = self.started.elapsed().as_secs_f64();
        let version = state.content.version;
        let rows = rows.join(",");
        format!("{{\"Rows\":[{rows}],\"MorePages\":{more},\"Ver\":{version},\"NowS\":{now:.3}}}")
    }

    fn read(&self, head: &Head) -> String {
        let table = head.parameter("Table").unwrap_or_default();
        let from = head.parameter("From").unwrap_or_default().replace("%00", "\0");
        let limit = head.parameter("Limit").and_then(|l| l.parse().ok()).unwrap_or(500).min(500);
        let state = self.lock();
        let all = state.content.rows.values();
        let mut rows: Vec<&Row> =
            all.filter(|row| row.table == table && row.key >= from).take(limit + 1).collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        self.page(&state, &rows, more)
    }

    fn feed(&self, head: &Head) -> Answer {
        let number = |name| head.parameter(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let table = head.parameter("Table").unwrap_or_default();
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("WaitMs").min(30_000));
        let mut state = self.lock();
        loop {
            if state.is_away {
                return Answer::Sent(503, String::new());
            }
            if after > state.content.version {
                return Answer::Sent(410, String::new());
            }
            let is_changed = |row: &&Row| row.table == table && row.version > after;
            let rows: Vec<&Row> = state.content.log.iter().filter(is_changed).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                if !rows.is_empty() && table == "op" && state.to_lose > 0 {
                    state.to_lose -= 1;
                    state.lost += 1;
                    return Answer::Lost;
                }
                return Answer::Sent(200, self.page(&state, &rows, false));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> Answer {
        let parsed = std::str::from_utf8(body).ok().and_then(json::parse);
        let Some(transaction) = parsed else { return Answer::Sent(400, String::new()) };
        let rows = |name| transaction.get(name).map(Json::list).unwrap_or_default();
        let text =
            |row: &Json, name| row.get(name).and_then(Json::text).unwrap_or_default().to_owned();
        if rows("Writes").iter().any(|row| ["op", "servers"].contains(&&*text(row, "Table"))) {
            return Answer::Sent(403, String::new());
        }
        let mut state = self.lock();
        let holds = |row: &Json| {
            let known = state.content.rows.get(&(text(row, "Table"), text(row, "Key")));
            let expected = row.get("Ver").and_then(Json::number).unwrap_or(0.0);
            known.map_or(0, |known| known.version) == expected as u64
        };
        if !rows("Expected").iter().all(holds) {
            return Answer::Sent(412, self.page(&state, &[], false));
        }
        state.content.version += 1;
        for row in rows("Writes") {
            let value = json::decode_base64(&text(row, "Value")).unwrap_or_default();
            apply(&mut state.content, &text(row, "Table"), &text(row, "Key"), Some(value));
        }
        for row in rows("Remove") {
            apply(&mut state.content, &text(row, "Table"), &text(row, "Key"), None);
        }
        self.state.1.notify_all();
        Answer::Sent(200, format!("{{\"Ver\":{},\"NowS\":1.0}}", state.content.version))
    }
}

fn apply(content: &mut Copy, table: &str, key: &str, value: Option<Vec<u8>>) {
    let id = (table.to_owned(), key.to_owned());
    let version = content.version;
    let row = Row { table: table.to_owned(), key: key.to_owned(), value, version };
    match row.value.is_some() {
        true => content.rows.insert(id, row.clone()),
        false => content.rows.remove(&id),
    };
    content.log.retain(|old| (&*old.table, &*old.key) != (table, key));
    content.log.push(row);
}
