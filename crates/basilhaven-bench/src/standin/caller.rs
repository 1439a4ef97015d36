//! Callers: load by service and class, with a check that every answer is whole and its own.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::call::field;
use basilhaven::directory;
use basilhaven::http1::{self, client};
use bpaf::Bpaf;
use http::header::{self, HeaderValue};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{block_on, body_for, exit_on_stdin_eof, upstream};

/// The most bytes that an answer may have.
const MAX_BODY_LEN: usize = 64 * 1024 * 1024;

/// The longest latency that is told from longer ones, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// What the callers do.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// An entry host to ask for the directory; may be given more than once
    #[bpaf(long, argument("ADDR"))]
    pub entry: Vec<SocketAddr>,
    /// An upstream to call directly, for comparison; may be given more than once
    #[bpaf(long, argument("ADDR"))]
    pub direct: Vec<SocketAddr>,
    /// An address to call in place of the directory's; may be given more than once
    #[bpaf(long, argument("ADDR"))]
    pub fixed: Vec<SocketAddr>,
    /// The service to call
    #[bpaf(long, argument("NAME"), fallback("catalogo".to_owned()))]
    pub service: String,
    /// Calls to make
    #[bpaf(long, argument("N"), fallback(1000))]
    pub calls: usize,
    /// Calls a second, arriving at random; without it, `workers` call one after another
    #[bpaf(long, argument("N"))]
    pub rate: Option<f64>,
    /// Callers that call one after another
    #[bpaf(long, argument("N"), fallback(4))]
    pub workers: usize,
    /// The credential to show
    #[bpaf(long, argument("TEXT"))]
    pub credential: Option<String>,
    /// Method of the calls
    #[bpaf(long, argument("METHOD"), fallback(http::Method::GET))]
    pub method: http::Method,
    /// Path of the calls
    #[bpaf(long, argument("PATH"), fallback("/stock".to_owned()))]
    pub path: String,
    /// Length of an answer, in bytes
    #[bpaf(long, argument("N"), fallback(512))]
    pub len: usize,
    /// How long a caller waits, in milliseconds
    #[bpaf(long, argument("MS"), fallback(10_000))]
    pub timeout_ms: u64,
    /// Times that a call is sent again under its key when its outcome is not known
    #[bpaf(long, argument("N"), fallback(0))]
    pub resends: usize,
    /// Seed of the arrivals
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
}

/// What became of the calls.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Calls made.
    pub calls: usize,
    /// Calls answered in whole, each with its own answer.
    pub answered: usize,
    /// Answers that were cut, crossed or mixed: never to be seen.
    pub wrong: usize,
    /// Refusals and failures, by kind.
    pub failed: IndexMap<String, usize>,
    /// Tags of the calls that were refused as not run.
    pub not_run_tags: Vec<String>,
    /// Tags of the answered calls that run at most once.
    pub answered_tags: Vec<String>,
    /// Times that calls were sent again.
    pub resent: usize,
    /// Latency of the answered calls.
    pub latency: Latency,
    /// Latency of the direct calls made between them.
    pub direct: Latency,
    /// Answered calls by upstream.
    pub by_upstream: IndexMap<String, usize>,
    /// Answered calls by the entry host's address.
    pub by_entry: IndexMap<String, usize>,
}

/// Percentiles, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Calls counted.
    pub count: u64,
    /// Half took at most this.
    pub p50_us: u64,
    /// 90 in 100 took at most this.
    pub p90_us: u64,
    /// 99 in 100 took at most this.
    pub p99_us: u64,
    /// 999 in 1000 took at most this.
    pub p999_us: u64,
    /// None took longer.
    pub max_us: u64,
}

impl From<&hdrhistogram::Histogram<u64>> for Latency {
    fn from(histogram: &hdrhistogram::Histogram<u64>) -> Latency {
        Latency {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

#[derive(Debug)]
struct Callers {
    options: Options,
    random: RefCell<fastrand::Rng>,
    entries: RefCell<Option<(Instant, directory::Response)>>,
    idle: RefCell<IndexMap<SocketAddr, Vec<http1::Conn>>>,
    made: Cell<usize>,
    pending: Cell<usize>,
    summary: RefCell<Summary>,
    latency: RefCell<hdrhistogram::Histogram<u64>>,
    direct: RefCell<hdrhistogram::Histogram<u64>>,
}

/// Makes the calls, and prints a [`Summary`] as the last line.
pub fn run(options: Options) {
    exit_on_stdin_eof();
    println!("{}", serde_json::json!({"event": "ready"}));
    let summary = block_on(make_calls(options));
    println!("{}", serde_json::to_string(&summary).expect("plain data"));
}

/// Makes the calls.
pub async fn make_calls(options: Options) -> Summary {
    let histogram = || hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
    let histogram = || histogram().expect("bounds in order");
    let callers = Rc::new(Callers {
        random: RefCell::new(fastrand::Rng::with_seed(options.seed)),
        entries: RefCell::default(),
        idle: RefCell::default(),
        made: Cell::new(0),
        pending: Cell::new(0),
        summary: RefCell::default(),
        latency: RefCell::new(histogram()),
        direct: RefCell::new(histogram()),
        options,
    });
    match callers.options.rate {
        Some(rate) => callers.arrive_at(rate).await,
        None => callers.call_in_turn().await,
    }
    let mut summary = callers.summary.borrow().clone();
    summary.latency = Latency::from(&*callers.latency.borrow());
    summary.direct = Latency::from(&*callers.direct.borrow());
    summary.by_upstream.sort_keys();
    summary.by_entry.sort_keys();
    summary
}

/// Whether a caller can't tell what became of its call, and has not been told that it was sent before.
fn may_resend<E>(result: &Result<Result<(SocketAddr, client::Response), String>, E>) -> bool {
    let Ok(Ok((_, response))) = result else { return true };
    let is = |name, text| response.headers.get(name).is_some_and(|value| value == text);
    is(field::OUTCOME, "unknown") && !is(field::REASON, "duplicate")
}

impl Callers {
    /// Open loop: calls arrive at random, whatever became of those before.
    async fn arrive_at(self: &Rc<Self>, rate: f64) {
        let started = Instant::now();
        let mut due = Duration::ZERO;
        for _ in 0..self.options.calls {
            let gap = -(1.0 - self.random.borrow_mut().f64()).ln() / rate;
            due += Duration::from_secs_f64(gap);
            let wait = (started + due).saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                monoio::time::sleep(wait).await;
            }
            let callers = Rc::clone(self);
            self.pending.set(self.pending.get() + 1);
            monoio::spawn(async move {
                callers.one_call(started + due).await;
                callers.pending.set(callers.pending.get() - 1);
            });
        }
        while self.pending.get() > 0 {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Closed loop: each worker makes its next call when its last has ended.
    async fn call_in_turn(self: &Rc<Self>) {
        let workers = (0..self.options.workers.max(1)).map(|_| {
            let callers = Rc::clone(self);
            monoio::spawn(async move {
                while callers.made.get() < callers.options.calls {
                    callers.made.set(callers.made.get() + 1);
                    callers.one_call(Instant::now()).await;
                    callers.one_direct_call().await;
                }
            })
        });
        futures_util::future::join_all(workers.collect::<Vec<_>>()).await;
    }

    /// Makes one call; its latency counts from when it was due, however late this process is.
    async fn one_call(&self, due: Instant) {
        let limit = Duration::from_millis(self.options.timeout_ms);
        let tag = format!("{:016x}", self.random.borrow_mut().u64(..));
        let mut result = monoio::time::timeout(limit, self.call_through(&tag)).await;
        for _ in 0..self.options.resends {
            if !may_resend(&result) {
                break;
            }
            self.summary.borrow_mut().resent += 1;
            result = monoio::time::timeout(limit, self.call_through(&tag)).await;
        }
        let took = due.elapsed().as_micros() as u64;
        let mut summary = self.summary.borrow_mut();
        summary.calls += 1;
        match result {
            Ok(Ok((address, response))) if response.status.is_success() => {
                if response.body != body_for(&tag, self.options.len) {
                    summary.wrong += 1;
                    return;
                }
                summary.answered += 1;
                if self.options.method != http::Method::GET {
                    summary.answered_tags.push(tag);
                }
                self.latency.borrow_mut().saturating_record(took);
                let by = response.headers.get(field::UPSTREAM).and_then(|v| v.to_str().ok());
                *summary.by_upstream.entry(by.unwrap_or("?").to_owned()).or_default() += 1;
                *summary.by_entry.entry(address.to_string()).or_default() += 1;
            }
            Ok(Ok((_, response))) => {
                let outcome = response.headers.get(field::OUTCOME).and_then(|v| v.to_str().ok());
                let reason = response.headers.get(field::REASON).and_then(|v| v.to_str().ok());
                if outcome == Some("not-run") {
                    summary.not_run_tags.push(tag);
                }
                let status = response.status.as_u16();
                let kind = format!("{status} {} {}", outcome.unwrap_or("-"), reason.unwrap_or("-"));
                *summary.failed.entry(kind).or_default() += 1;
            }
            Ok(Err(error)) => *summary.failed.entry(error).or_default() += 1,
            Err(_) => *summary.failed.entry("timeout".to_owned()).or_default() += 1,
        }
    }

    async fn call_through(&self, tag: &str) -> Result<(SocketAddr, client::Response), String> {
        let address = self.entry().await?;
        let response = self.exchange(address, tag).await.map_err(|e| format!("lost: {e}"))?;
        Ok((address, response))
    }

    async fn one_direct_call(&self) {
        let target = self.random.borrow_mut().choice(&self.options.direct).copied();
        let Some(address) = target else { return };
        let started = Instant::now();
        if self.exchange(address, "direct").await.is_ok() {
            self.direct.borrow_mut().saturating_record(started.elapsed().as_micros() as u64);
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        tag: &str,
    ) -> Result<client::Response, http1::Error> {
        let request = self.request(tag);
        let reused = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
        let mut conn = match reused.filter(http1::Conn::is_idle) {
            Some(conn) => conn,
            None => http1::Conn::open(address, Duration::from_secs(2)).await?,
        };
        let response = client::exchange(&mut conn, &request, MAX_BODY_LEN).await?;
        if response.is_reusable {
            self.idle.borrow_mut().entry(address).or_default().push(conn);
        }
        Ok(response)
    }

    fn request(&self, tag: &str) -> client::Request {
        let options = &self.options;
        let value = |text: &str| HeaderValue::from_str(text).expect("plain text");
        let mut request = client::Request::new(options.method.clone(), &options.path, "")
            .expect("a path that was checked");
        request.headers.insert(header::HOST, value(&options.service));
        request.headers.insert(upstream::TAG, value(tag));
        request.headers.insert(upstream::LEN, value(&options.len.to_string()));
        if let Some(credential) = &options.credential {
            let shown = value(&format!("Bearer {credential}"));
            request.headers.insert(header::AUTHORIZATION, shown);
        }
        if options.method != http::Method::GET {
            request.headers.insert(field::KEY, value(tag));
        }
        request
    }

    /// An entry host for the next call, by the directory's newest answer.
    async fn entry(&self) -> Result<SocketAddr, String> {
        if let Some(fixed) = self.random.borrow_mut().choice(&self.options.fixed) {
            return Ok(*fixed);
        }
        let known = self.entries.borrow().clone();
        let answer = match known {
            Some((at, answer)) if at.elapsed() < answer.ttl => answer,
            _ => self.ask().await?,
        };
        let chosen = self.random.borrow_mut().choice(&answer.entries).map(|e| e.address);
        chosen.ok_or_else(|| "no entry host".to_owned())
    }

    async fn ask(&self) -> Result<directory::Response, String> {
        let mut hosts = self.options.entry.clone();
        if let Some((_, answer)) = &*self.entries.borrow() {
            hosts = answer.entries.iter().map(|entry| entry.address).chain(hosts).collect();
            hosts.dedup();
        }
        self.random.borrow_mut().shuffle(&mut hosts);
        let path = format!("/v1/entries/{}", self.options.service);
        let request = client::Request::new(http::Method::GET, &path, "").expect("a path");
        for host in hosts {
            let asked = client::call(host, &request, Duration::from_secs(1), 64 * 1024).await;
            let answer = asked.ok().filter(|response| response.status.is_success());
            let answer = answer.and_then(|response| serde_json::from_slice(&response.body).ok());
            if let Some(answer) = answer {
                let answer: directory::Response = answer;
                *self.entries.borrow_mut() = Some((Instant::now(), answer.clone()));
                return Ok(answer);
            }
        }
        Err("no entry host answers".to_owned())
    }
}
