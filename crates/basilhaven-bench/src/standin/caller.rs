//! Load generator: callers of one service that check every response body against its request.

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

/// The maximum length of a response body, in bytes.
const MAX_BODY_LEN: usize = 64 * 1024 * 1024;

/// The upper bound of the latency histograms, in microseconds; longer latencies count as this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Command-line options of the callers.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// An entry host to fetch the directory from; may be given more than once
    #[bpaf(long, argument("ADDR"))]
    pub entry: Vec<SocketAddr>,
    /// An upstream to call directly between the calls, for comparison; may be given more than once
    #[bpaf(long, argument("ADDR"))]
    pub direct: Vec<SocketAddr>,
    /// An address to call instead of those in the directory; may be given more than once
    #[bpaf(long, argument("ADDR"))]
    pub fixed: Vec<SocketAddr>,
    /// The service to call
    #[bpaf(long, argument("NAME"), fallback("catalogo".to_owned()))]
    pub service: String,
    /// Number of calls to make
    #[bpaf(long, argument("N"), fallback(1000))]
    pub calls: usize,
    /// Mean number of calls a second, with random arrivals; without it, each worker calls in
    /// sequence
    #[bpaf(long, argument("N"))]
    pub rate: Option<f64>,
    /// Number of workers, each of which makes one call at a time
    #[bpaf(long, argument("N"), fallback(4))]
    pub workers: usize,
    /// Credential to send as bearer token
    #[bpaf(long, argument("TEXT"))]
    pub credential: Option<String>,
    /// Method of the calls
    #[bpaf(long, argument("METHOD"), fallback(http::Method::GET))]
    pub method: http::Method,
    /// Path of the calls
    #[bpaf(long, argument("PATH"), fallback("/stock".to_owned()))]
    pub path: String,
    /// Length of the response body to request, in bytes
    #[bpaf(long, argument("N"), fallback(512))]
    pub len: usize,
    /// Timeout of each call, in milliseconds
    #[bpaf(long, argument("MS"), fallback(10_000))]
    pub timeout_ms: u64,
    /// How often a call is resent under the same idempotency key while its outcome is unknown
    #[bpaf(long, argument("N"), fallback(0))]
    pub resends: usize,
    /// Seed of the arrivals, the tags and the choice of hosts
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
}

/// The outcome of all calls.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Summary {
    /// The number of calls made.
    pub calls: usize,
    /// The number of calls that got a success with the body that belongs to them.
    pub answered: usize,
    /// The number of successes with a body that is truncated, mixed up or another call's; expected
    /// to be zero.
    pub wrong: usize,
    /// The number of refused and failed calls, by kind.
    pub failed: IndexMap<String, usize>,
    /// The tags of the calls that were refused with the outcome `not-run`.
    pub not_run_tags: Vec<String>,
    /// The tags of the answered calls whose method is not GET, and which run at most once.
    pub answered_tags: Vec<String>,
    /// The number of times that calls were resent.
    pub resent: usize,
    /// The latency of the answered calls.
    pub latency: Latency,
    /// The latency of the direct calls made between them.
    pub direct: Latency,
    /// The number of answered calls by upstream.
    pub by_upstream: IndexMap<String, usize>,
    /// The number of answered calls by address of the entry host.
    pub by_entry: IndexMap<String, usize>,
}

/// The percentiles of a latency distribution.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// The number of calls.
    pub count: u64,
    /// The median, in microseconds.
    pub p50_us: u64,
    /// The 90th percentile, in microseconds.
    pub p90_us: u64,
    /// The 99th percentile, in microseconds.
    pub p99_us: u64,
    /// The 99.9th percentile, in microseconds.
    pub p999_us: u64,
    /// The maximum, in microseconds.
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
    directory: RefCell<Option<(Instant, directory::Response)>>,
    idle: RefCell<IndexMap<SocketAddr, Vec<http1::Conn>>>,
    started: Cell<usize>,
    pending: Cell<usize>,
    summary: RefCell<Summary>,
    latency: RefCell<hdrhistogram::Histogram<u64>>,
    direct: RefCell<hdrhistogram::Histogram<u64>>,
}

/// Makes the calls, and prints the [`Summary`] as the last line of output.
pub fn run(options: Options) {
    exit_on_stdin_eof();
    println!("{}", serde_json::json!({"event": "ready"}));
    let summary = block_on(make_calls(options));
    println!("{}", serde_json::to_string(&summary).expect("serialization does not fail"));
}

/// Makes the calls, and returns their summary.
pub async fn make_calls(options: Options) -> Summary {
    let histogram = || hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
    let histogram = || histogram().expect("valid bounds");
    let callers = Rc::new(Callers {
        random: RefCell::new(fastrand::Rng::with_seed(options.seed)),
        directory: RefCell::default(),
        idle: RefCell::default(),
        started: Cell::new(0),
        pending: Cell::new(0),
        summary: RefCell::default(),
        latency: RefCell::new(histogram()),
        direct: RefCell::new(histogram()),
        options,
    });
    match callers.options.rate {
        Some(rate) => callers.run_open_loop(rate).await,
        None => callers.run_closed_loop().await,
    }
    let mut summary = callers.summary.borrow().clone();
    summary.latency = Latency::from(&*callers.latency.borrow());
    summary.direct = Latency::from(&*callers.direct.borrow());
    summary.by_upstream.sort_keys();
    summary.by_entry.sort_keys();
    summary
}

/// Returns whether a call's outcome is unknown to its caller, and no response says that the call
/// was sent before.
fn may_resend<E>(result: &Result<Result<(SocketAddr, client::Response), String>, E>) -> bool {
    let Ok(Ok((_, response))) = result else { return true };
    let is = |name, text| response.headers.get(name).is_some_and(|value| value == text);
    is(field::OUTCOME, "unknown") && !is(field::REASON, "duplicate")
}

impl Callers {
    /// Makes calls in an open loop: they arrive as a Poisson process, independent of earlier calls.
    async fn run_open_loop(self: &Rc<Self>, rate: f64) {
        let started = Instant::now();
        let mut due = Duration::ZERO;
        for _ in 0..self.options.calls {
            let interval = -(1.0 - self.random.borrow_mut().f64()).ln() / rate;
            due += Duration::from_secs_f64(interval);
            let wait = (started + due).saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                monoio::time::sleep(wait).await;
            }
            let callers = Rc::clone(self);
            self.pending.set(self.pending.get() + 1);
            monoio::spawn(async move {
                callers.make_call(started + due).await;
                callers.pending.set(callers.pending.get() - 1);
            });
        }
        while self.pending.get() > 0 {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Makes calls in a closed loop: each worker starts its next call when its previous one has
    /// ended.
    async fn run_closed_loop(self: &Rc<Self>) {
        let workers = (0..self.options.workers.max(1)).map(|_| {
            let callers = Rc::clone(self);
            monoio::spawn(async move {
                while callers.started.get() < callers.options.calls {
                    callers.started.set(callers.started.get() + 1);
                    callers.make_call(Instant::now()).await;
                    callers.make_direct_call().await;
                }
            })
        });
        futures_util::future::join_all(workers.collect::<Vec<_>>()).await;
    }

    /// Makes one call and counts its outcome. The latency is measured from `due`, so that it
    /// includes any delay of this process.
    async fn make_call(&self, due: Instant) {
        let timeout = Duration::from_millis(self.options.timeout_ms);
        let tag = format!("{:016x}", self.random.borrow_mut().u64(..));
        let mut result = monoio::time::timeout(timeout, self.call_entry(&tag)).await;
        for _ in 0..self.options.resends {
            if !may_resend(&result) {
                break;
            }
            self.summary.borrow_mut().resent += 1;
            result = monoio::time::timeout(timeout, self.call_entry(&tag)).await;
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
                let upstream = response.headers.get(field::UPSTREAM).and_then(|v| v.to_str().ok());
                *summary.by_upstream.entry(upstream.unwrap_or("?").to_owned()).or_default() += 1;
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

    async fn call_entry(&self, tag: &str) -> Result<(SocketAddr, client::Response), String> {
        let address = self.choose_entry().await?;
        let response = self.exchange(address, tag).await.map_err(|e| format!("lost: {e}"))?;
        Ok((address, response))
    }

    async fn make_direct_call(&self) {
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
        let value = |text: &str| HeaderValue::from_str(text).expect("a valid header value");
        let mut request =
            client::Request::new(options.method.clone(), &options.path, "").expect("a valid path");
        request.headers.insert(header::HOST, value(&options.service));
        request.headers.insert(upstream::TAG, value(tag));
        request.headers.insert(upstream::LEN, value(&options.len.to_string()));
        if let Some(credential) = &options.credential {
            let token = value(&format!("Bearer {credential}"));
            request.headers.insert(header::AUTHORIZATION, token);
        }
        if options.method != http::Method::GET {
            request.headers.insert(field::KEY, value(tag));
        }
        request
    }

    /// Returns an entry host for the next call: a random one of the directory, which is fetched
    /// again when it has expired.
    async fn choose_entry(&self) -> Result<SocketAddr, String> {
        if let Some(fixed) = self.random.borrow_mut().choice(&self.options.fixed) {
            return Ok(*fixed);
        }
        let cached = self.directory.borrow().clone();
        let directory = match cached {
            Some((at, directory)) if at.elapsed() < directory.ttl => directory,
            _ => self.fetch_directory().await?,
        };
        let chosen = self.random.borrow_mut().choice(&directory.entries).map(|e| e.address);
        chosen.ok_or_else(|| "no entry host".to_owned())
    }

    async fn fetch_directory(&self) -> Result<directory::Response, String> {
        let mut hosts = self.options.entry.clone();
        if let Some((_, cached)) = &*self.directory.borrow() {
            hosts = cached.entries.iter().map(|entry| entry.address).chain(hosts).collect();
            hosts.dedup();
        }
        self.random.borrow_mut().shuffle(&mut hosts);
        let path = format!("/v1/entries/{}", self.options.service);
        let request = client::Request::new(http::Method::GET, &path, "").expect("a path");
        for host in hosts {
            let result = client::call(host, &request, Duration::from_secs(1), 64 * 1024).await;
            let response = result.ok().filter(|response| response.status.is_success());
            let fetched = response.and_then(|response| serde_json::from_slice(&response.body).ok());
            if let Some(fetched) = fetched {
                let fetched: directory::Response = fetched;
                *self.directory.borrow_mut() = Some((Instant::now(), fetched.clone()));
                return Ok(fetched);
            }
        }
        Err("no entry host answers".to_owned())
    }
}
