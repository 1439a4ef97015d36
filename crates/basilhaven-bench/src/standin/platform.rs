//! A stand-in for the platform: a transactional table, an object store and an eventually consistent
//! list of hosts.
//!
//! | request | response |
//! |---|---|
//! | `GET /table/KEY` | `{"revision": N, "value": ...}` with `etag: "N"`; 304 if `if-none-match` has the same tag |
//! | `POST /table` with `{"writes": [{"key", "expect", "value"}], "checks": [{"key", "expect"}]}` | `{"revision": N}`, or 412 if a condition does not hold, and nothing is written |
//! | `GET`, `PUT`, `DELETE /objects/KEY` | the object's bytes |
//! | `GET /hosts` | the list that was last put, after the configured lag; `etag` as above |
//! | `PUT /stand-in/hosts`, `PUT /stand-in/table/KEY` | sets the list or a row without a condition, for experiments |
//! | `POST /stand-in/control`, `GET /stand-in/counts` | sets the faults; returns the number of requests |
//! | `GET /stand-in/writes` | returns each row written so far, in order |

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::http1::{self, body, client, head};
use bpaf::Bpaf;
use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderValue};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{block_on, exit_on_stdin_eof, print_ready, write_response};

/// The maximum length of a request body, in bytes.
const MAX_BODY_LEN: usize = 16 * 1024 * 1024;

/// Command-line options of the platform.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Address to listen on
    #[bpaf(long, argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub listen: SocketAddr,
    /// Delay until a new list of hosts is visible, in milliseconds
    #[bpaf(long, argument("MS"), fallback(0))]
    pub lag_ms: u64,
    /// Seed of the random faults
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
}

/// A change of the platform's faults; absent fields leave theirs unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Closes connections without a response, except for control requests.
    pub down: Option<bool>,
    /// The delay before each response, in milliseconds.
    pub slow_ms: Option<u64>,
    /// The share of writes that take effect, but whose response is lost.
    pub lose_answers: Option<f64>,
    /// The share of writes that are lost before they take effect, without a response.
    pub lose_writes: Option<f64>,
    /// Answers reads with truncated JSON.
    pub garbage: Option<bool>,
}

/// An entry of the log of writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WriteRecord {
    /// The revision that the write gave to the row.
    pub revision: u64,
    /// The key of the row.
    pub key: String,
    /// The revision that the writer expected the row to have.
    pub expect: u64,
    /// The value that was written.
    pub value: serde_json::Value,
}

/// The number of requests handled so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of rows, objects and the list of hosts.
    pub reads: u64,
    /// Writes of rows and objects.
    pub writes: u64,
}

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The table's revision when the row was written; it rises with each transaction.
    pub revision: u64,
    /// The value that was written.
    pub value: serde_json::Value,
}

/// A transaction: either all of its writes take effect or none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The rows to write.
    pub writes: Vec<Write>,
    /// Conditions on further rows.
    #[serde(default)]
    pub checks: Vec<Check>,
}

/// A condition on a row that is not written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The key of the row.
    pub key: String,
    /// The revision that the row must have; 0 if it must not exist.
    pub expect: u64,
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The revision that the row must have; 0 if it must not exist.
    pub expect: u64,
    /// The new value; `null` removes the row.
    pub value: serde_json::Value,
}

#[derive(Debug, Default)]
struct Hosts {
    revision: u64,
    published: Vec<(Instant, serde_json::Value)>,
}

#[derive(Debug)]
struct Platform {
    lag: Duration,
    control: RefCell<Control>,
    random: RefCell<fastrand::Rng>,
    revision: Cell<u64>,
    table: RefCell<IndexMap<String, Row>>,
    objects: RefCell<IndexMap<String, Bytes>>,
    hosts: RefCell<Hosts>,
    counts: Cell<Counts>,
    log: RefCell<Vec<WriteRecord>>,
}

/// A response (status, revision for the `etag`, body); `None` closes the connection instead.
type Response = Option<(http::StatusCode, Option<u64>, Vec<u8>)>;

/// Runs the platform until its standard input is closed.
///
/// # Panics
///
/// Panics if it can't listen.
pub fn run(options: Options) {
    exit_on_stdin_eof();
    block_on(async move {
        let listener = basilhaven::entry::bind(options.listen).expect("a free port");
        print_ready(listener.local_addr().expect("a bound socket"));
        let platform = Rc::new(Platform {
            lag: Duration::from_millis(options.lag_ms),
            control: RefCell::default(),
            random: RefCell::new(fastrand::Rng::with_seed(options.seed)),
            revision: Cell::new(0),
            table: RefCell::default(),
            objects: RefCell::default(),
            hosts: RefCell::default(),
            counts: Cell::default(),
            log: RefCell::default(),
        });
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            if let Ok(conn) = http1::Conn::new(stream) {
                let platform = Rc::clone(&platform);
                monoio::spawn(async move {
                    // A failed connection affects only its client.
                    let _ = platform.serve(conn).await;
                });
            }
        }
    });
}

impl Platform {
    async fn serve(&self, mut conn: http1::Conn) -> Result<(), http1::Error> {
        while let Some(request) = conn.read_request(64 * 1024).await? {
            let mut reader = body::Reader::new(request.framing);
            let content = client::read_all(&mut conn, &mut reader, MAX_BODY_LEN).await?;
            let is_control = request.parts.uri.path().starts_with("/stand-in/");
            let control = self.control.borrow().clone();
            if !is_control {
                if control.down == Some(true) {
                    return Ok(());
                }
                if let Some(slow) = control.slow_ms {
                    monoio::time::sleep(Duration::from_millis(slow)).await;
                }
            }
            let Some((status, revision, text)) = self.handle(&request, &content) else {
                return Ok(());
            };
            let mut headers = HeaderMap::new();
            if let Some(revision) = revision {
                let tag = HeaderValue::from_str(&format!("\"{revision}\""))
                    .expect("a valid header value");
                headers.insert(header::ETAG, tag);
            }
            write_response(&mut conn, status, &headers, &text).await?;
        }
        Ok(())
    }

    fn handle(&self, request: &head::Request, content: &Bytes) -> Response {
        let path = request.parts.uri.path();
        let if_none_match = request.parts.headers.get(header::IF_NONE_MATCH);
        let if_none_match =
            if_none_match.and_then(|v| v.to_str().ok()?.trim_matches('"').parse().ok());
        match (request.parts.method.as_str(), path) {
            ("POST", "/stand-in/control") => self.apply_control(content),
            ("PUT", "/stand-in/hosts") => self.put_hosts(content),
            ("GET", "/stand-in/counts") => {
                Some((http::StatusCode::OK, None, json(&self.counts.get())))
            }
            ("GET", "/stand-in/writes") => {
                Some((http::StatusCode::OK, None, json(&*self.log.borrow())))
            }
            ("PUT", _) if path.starts_with("/stand-in/table/") => {
                self.put_row(path.trim_start_matches("/stand-in/table/"), content)
            }
            ("GET", _) if self.control.borrow().garbage == Some(true) => {
                self.count_read();
                Some((http::StatusCode::OK, if_none_match, b"{\"revision\": 1, \"val".to_vec()))
            }
            ("GET", "/hosts") => self.get_hosts(if_none_match),
            ("POST", "/table") => self.transact(content),
            ("GET", _) if path.starts_with("/table/") => {
                self.get_row(path.trim_start_matches("/table/"), if_none_match)
            }
            (method, _) if path.starts_with("/objects/") => {
                self.object(method, path.trim_start_matches("/objects/"), content)
            }
            _ => Some((http::StatusCode::NOT_FOUND, None, Vec::new())),
        }
    }

    fn apply_control(&self, content: &[u8]) -> Response {
        let Ok(next) = serde_json::from_slice::<Control>(content) else {
            return Some((http::StatusCode::BAD_REQUEST, None, Vec::new()));
        };
        let mut control = self.control.borrow_mut();
        control.down = next.down.or(control.down);
        control.slow_ms = next.slow_ms.or(control.slow_ms);
        control.lose_answers = next.lose_answers.or(control.lose_answers);
        control.lose_writes = next.lose_writes.or(control.lose_writes);
        control.garbage = next.garbage.or(control.garbage);
        Some((http::StatusCode::OK, None, Vec::new()))
    }

    fn put_hosts(&self, content: &[u8]) -> Response {
        let Ok(value) = serde_json::from_slice(content) else {
            return Some((http::StatusCode::BAD_REQUEST, None, Vec::new()));
        };
        self.hosts.borrow_mut().published.push((Instant::now() + self.lag, value));
        Some((http::StatusCode::OK, None, Vec::new()))
    }

    fn get_hosts(&self, if_none_match: Option<u64>) -> Response {
        self.count_read();
        let mut hosts = self.hosts.borrow_mut();
        while hosts.published.get(hosts.revision as usize).is_some_and(|v| v.0 <= Instant::now()) {
            hosts.revision += 1;
        }
        let revision = hosts.revision;
        if if_none_match == Some(revision) {
            return Some((http::StatusCode::NOT_MODIFIED, Some(revision), Vec::new()));
        }
        let value = match revision {
            0 => serde_json::json!([]),
            _ => hosts.published[revision as usize - 1].1.clone(),
        };
        Some((http::StatusCode::OK, Some(revision), json(&value)))
    }

    fn get_row(&self, key: &str, if_none_match: Option<u64>) -> Response {
        self.count_read();
        let table = self.table.borrow();
        match table.get(key) {
            None => Some((http::StatusCode::NOT_FOUND, None, Vec::new())),
            Some(row) if if_none_match == Some(row.revision) => {
                Some((http::StatusCode::NOT_MODIFIED, if_none_match, Vec::new()))
            }
            Some(row) => Some((http::StatusCode::OK, Some(row.revision), json(row))),
        }
    }

    fn transact(&self, content: &[u8]) -> Response {
        self.count_write();
        let Ok(transaction) = serde_json::from_slice::<Transaction>(content) else {
            return Some((http::StatusCode::BAD_REQUEST, None, Vec::new()));
        };
        let lost_share = self.control.borrow().lose_writes.unwrap_or(0.0);
        if self.random.borrow_mut().f64() < lost_share {
            return None;
        }
        let table = self.table.borrow();
        let holds = |key: &str, expect| table.get(key).map_or(0, |r| r.revision) == expect;
        let writes_hold = transaction.writes.iter().all(|w| holds(&w.key, w.expect));
        if !writes_hold || !transaction.checks.iter().all(|c| holds(&c.key, c.expect)) {
            return self.respond_unless_lost((
                http::StatusCode::PRECONDITION_FAILED,
                None,
                Vec::new(),
            ));
        }
        drop(table);
        let revision = self.write(transaction.writes);
        let text = json(&serde_json::json!({"revision": revision}));
        self.respond_unless_lost((http::StatusCode::OK, Some(revision), text))
    }

    /// Writes rows unconditionally, and returns their new revision.
    fn write(&self, writes: Vec<Write>) -> u64 {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        for Write { key, expect, value } in writes {
            let record = WriteRecord { revision, key: key.clone(), expect, value: value.clone() };
            self.log.borrow_mut().push(record);
            match value {
                serde_json::Value::Null => {
                    self.table.borrow_mut().swap_remove(&key);
                }
                value => {
                    self.table.borrow_mut().insert(key, Row { revision, value });
                }
            }
        }
        revision
    }

    fn put_row(&self, key: &str, content: &[u8]) -> Response {
        let Ok(value) = serde_json::from_slice(content) else {
            return Some((http::StatusCode::BAD_REQUEST, None, Vec::new()));
        };
        let expect = self.table.borrow().get(key).map_or(0, |row| row.revision);
        let revision = self.write(vec![Write { key: key.to_owned(), expect, value }]);
        Some((http::StatusCode::OK, Some(revision), Vec::new()))
    }

    fn object(&self, method: &str, key: &str, content: &Bytes) -> Response {
        let mut objects = self.objects.borrow_mut();
        match method {
            "GET" => {
                self.count_read();
                match objects.get(key) {
                    Some(bytes) => Some((http::StatusCode::OK, None, bytes.to_vec())),
                    None => Some((http::StatusCode::NOT_FOUND, None, Vec::new())),
                }
            }
            "PUT" => {
                self.count_write();
                objects.insert(key.to_owned(), content.clone());
                self.respond_unless_lost((http::StatusCode::OK, None, Vec::new()))
            }
            "DELETE" => {
                self.count_write();
                objects.swap_remove(key);
                self.respond_unless_lost((http::StatusCode::OK, None, Vec::new()))
            }
            _ => Some((http::StatusCode::METHOD_NOT_ALLOWED, None, Vec::new())),
        }
    }

    fn respond_unless_lost(&self, response: (http::StatusCode, Option<u64>, Vec<u8>)) -> Response {
        let share = self.control.borrow().lose_answers.unwrap_or(0.0);
        (self.random.borrow_mut().f64() >= share).then_some(response)
    }

    fn count_read(&self) {
        let mut counts = self.counts.get();
        counts.reads += 1;
        self.counts.set(counts);
    }

    fn count_write(&self) {
        let mut counts = self.counts.get();
        counts.writes += 1;
        self.counts.set(counts);
    }
}

fn json<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    serde_json::to_vec(value).expect("serialization does not fail")
}
