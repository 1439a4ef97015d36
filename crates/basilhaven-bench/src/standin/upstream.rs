//! A stand-in for an upstream: it executes calls in a fixed number of slots, with faults that can
//! be switched on.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::call::field;
use basilhaven::http1::{self, body, client, head};
use bpaf::Bpaf;
use futures_util::future::{self, Either};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use local_sync::semaphore::Semaphore;

use super::{block_on, body_for, exit_on_stdin_eof, print_ready, write_response};

mod message;

pub use message::{Control, Fault, Nested, Record, Reporting, Stats};

/// The header field with the tag that determines the response body.
pub const TAG: &str = "x-tag";

/// The header field with the length of the response body, in bytes.
pub const LEN: &str = "x-len";

/// Command-line options of the upstream.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Address to listen on
    #[bpaf(long, argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub listen: SocketAddr,
    /// Number of calls that are executed concurrently
    #[bpaf(long, argument("N"), fallback(4))]
    pub slots: usize,
    /// Mean execution time of a call, in microseconds; execution times are exponentially
    /// distributed
    #[bpaf(long, argument("US"), fallback(0))]
    pub service_us: u64,
    /// Number of calls that may wait for a slot; further ones are shed
    #[bpaf(long, argument("N"), fallback(1000))]
    pub waiting: usize,
    /// Number of calls for which it is cold after the start: slower, and much slower with more than
    /// one call in flight
    #[bpaf(long, argument("N"), fallback(0))]
    pub cold_calls: u32,
    /// Seed of the random execution times and faults
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
}

/// The time limit of a call whose caller sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3600);

/// The delay of a late response.
const LATE_RESPONSE_DELAY: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct Upstream {
    options: Options,
    started: Instant,
    slots: Semaphore,
    control: RefCell<Control>,
    records: RefCell<Vec<Record>>,
    random: RefCell<fastrand::Rng>,
    in_flight: Cell<usize>,
    lagging_load: Cell<(Option<Instant>, usize)>,
    cold_left: Cell<u32>,
    shed: Cell<usize>,
    cancelled: Cell<usize>,
    max_in_flight: Cell<usize>,
    max_in_flight_cold: Cell<usize>,
}

/// Runs the upstream until its standard input is closed.
///
/// # Panics
///
/// Panics if it can't listen.
pub fn run(options: Options) {
    exit_on_stdin_eof();
    block_on(async move {
        let listener = basilhaven::entry::bind(options.listen).expect("a free port");
        print_ready(listener.local_addr().expect("a bound socket"));
        let upstream = Rc::new(Upstream {
            started: Instant::now(),
            slots: Semaphore::new(options.slots),
            control: RefCell::default(),
            records: RefCell::default(),
            random: RefCell::new(fastrand::Rng::with_seed(options.seed)),
            in_flight: Cell::new(0),
            lagging_load: Cell::new((None, 0)),
            cold_left: Cell::new(options.cold_calls),
            shed: Cell::new(0),
            cancelled: Cell::new(0),
            max_in_flight: Cell::new(0),
            max_in_flight_cold: Cell::new(0),
            options,
        });
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            if let Ok(conn) = http1::Conn::new(stream) {
                let upstream = Rc::clone(&upstream);
                monoio::spawn(async move {
                    // A failed connection affects only its caller.
                    let _ = upstream.serve(conn).await;
                });
            }
        }
    });
}

/// How the execution of a call ended.
enum Completion {
    Done,
    Cancelled,
}

impl Upstream {
    async fn serve(&self, mut conn: http1::Conn) -> Result<(), http1::Error> {
        while let Some(request) = conn.read_request(64 * 1024).await? {
            let mut reader = body::Reader::new(request.framing);
            let content = client::read_all(&mut conn, &mut reader, 64 * 1024 * 1024).await?;
            match request.parts.uri.path() {
                "/stand-in/control" => self.apply_control(&mut conn, &content).await?,
                "/stand-in/records" => {
                    let text = serde_json::to_vec(&*self.records.borrow())
                        .expect("serialization does not fail");
                    write_response(&mut conn, http::StatusCode::OK, &HeaderMap::new(), &text)
                        .await?;
                }
                "/stand-in/stats" => {
                    let text =
                        serde_json::to_vec(&self.stats()).expect("serialization does not fail");
                    write_response(&mut conn, http::StatusCode::OK, &HeaderMap::new(), &text)
                        .await?;
                }
                _ => {
                    if !self.serve_call(&mut conn, &request, &content).await? {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    async fn apply_control(
        &self,
        conn: &mut http1::Conn,
        content: &[u8],
    ) -> Result<(), http1::Error> {
        let status = match serde_json::from_slice::<Control>(content) {
            Ok(next) => {
                let mut control = self.control.borrow_mut();
                control.slow = next.slow.or(control.slow);
                control.fail_share = next.fail_share.or(control.fail_share);
                control.only_prefix = next.only_prefix.or(control.only_prefix.take());
                control.above_in_flight = next.above_in_flight.or(control.above_in_flight);
                control.drain = next.drain.or(control.drain);
                control.report = next.report.or(control.report);
                control.spoil = next.spoil.or(control.spoil);
                control.spoil_share = next.spoil_share.or(control.spoil_share);
                control.nested = next.nested.or(control.nested.take());
                if let Some(calls) = next.cold_calls {
                    self.cold_left.set(calls);
                }
                http::StatusCode::OK
            }
            Err(_) => http::StatusCode::BAD_REQUEST,
        };
        write_response(conn, status, &HeaderMap::new(), b"").await?;
        Ok(())
    }

    fn stats(&self) -> Stats {
        let records = self.records.borrow();
        Stats {
            begun: records.len(),
            done: records.iter().filter(|r| r.done).count(),
            shed: self.shed.get(),
            cancelled: self.cancelled.get(),
            max_in_flight: self.max_in_flight.get(),
            max_in_flight_cold: self.max_in_flight_cold.get(),
            in_flight: self.in_flight.get(),
            cold_left: self.cold_left.get(),
            last_at_us: records.last().map_or(0, |r| r.at_us),
            now_us: self.started.elapsed().as_micros() as u64,
        }
    }

    /// Serves one call, and returns whether the connection may carry another.
    async fn serve_call(
        &self,
        conn: &mut http1::Conn,
        request: &head::Request,
        content: &[u8],
    ) -> Result<bool, http1::Error> {
        let control = self.control.borrow().clone();
        let is_full = self.in_flight.get() >= self.options.slots + self.options.waiting;
        let fault_share = control.spoil_share.unwrap_or(1.0);
        let is_faulty = fault_share >= 1.0 || self.random.borrow_mut().f64() < fault_share;
        let fault = control.spoil.filter(|_| is_faulty).unwrap_or(Fault::Nothing);
        if is_full || control.drain == Some(true) || fault == Fault::Shed {
            self.shed.set(self.shed.get() + 1);
            let mut headers = self.headers(request, &control);
            headers.insert(field::OUTCOME, HeaderValue::from_static("not-run"));
            let status = http::StatusCode::SERVICE_UNAVAILABLE;
            write_response(conn, status, &headers, b"shed\n").await?;
            return Ok(true);
        }
        let path = request.parts.uri.path();
        let is_affected = control.only_prefix.as_deref().is_none_or(|p| path.starts_with(p))
            && control.above_in_flight.is_none_or(|limit| self.in_flight.get() >= limit);
        let fails = is_affected
            && control.fail_share.is_some_and(|share| self.random.borrow_mut().f64() < share);
        let index = self.record_start(request);
        let slowdown = control.slow.filter(|_| is_affected).unwrap_or(1.0);
        let result = match fails {
            true => Completion::Done,
            false => self.execute(conn, request, slowdown).await,
        };
        let nested_failed = match &control.nested {
            Some(nested) if !fails => !self.call_nested(nested, request).await,
            _ => false,
        };
        let headers = self.headers(request, &control);
        self.in_flight.set(self.in_flight.get() - 1);
        match result {
            Completion::Cancelled => {
                self.cancelled.set(self.cancelled.get() + 1);
                return Ok(false);
            }
            Completion::Done => self.records.borrow_mut()[index].done = true,
        }
        self.cold_left.set(self.cold_left.get().saturating_sub(1));
        if fails || nested_failed {
            let status = http::StatusCode::INTERNAL_SERVER_ERROR;
            write_response(conn, status, &headers, b"failed\n").await?;
            return Ok(true);
        }
        let text = |name: &str| request.parts.headers.get(name).and_then(|v| v.to_str().ok());
        let len = text(LEN).and_then(|len| len.parse().ok()).unwrap_or(content.len().max(64));
        let response = body_for(text(TAG).unwrap_or("untagged"), len);
        respond(conn, headers, &response, fault).await
    }

    /// Makes a nested call, and returns whether it succeeded within its attempts.
    async fn call_nested(&self, nested: &Nested, outer: &head::Request) -> bool {
        let text = |name: &str| outer.parts.headers.get(name).and_then(|v| v.to_str().ok());
        let mut request = client::Request::new(http::Method::GET, outer.parts.uri.path(), "")
            .expect("a valid path");
        let service = HeaderValue::from_str(&nested.service).expect("a name");
        request.headers.insert(http::header::HOST, service);
        for name in [TAG, LEN] {
            if let Some(value) = outer.parts.headers.get(name) {
                request.headers.insert(HeaderName::from_static(name), value.clone());
            }
        }
        let context = outer.parts.headers.get(field::CONTEXT).filter(|_| nested.copies_context);
        if let Some(context) = context {
            request.headers.insert(field::CONTEXT, context.clone());
        }
        let limit = text(field::TIMEOUT.as_str()).and_then(|t| t.parse().ok());
        let limit = Duration::from_millis(limit.unwrap_or(10_000));
        for _ in 0..nested.attempts {
            let entry = self.random.borrow_mut().choice(&nested.entries).copied();
            let Some(entry) = entry else { return false };
            let response = client::call(entry, &request, limit, 1 << 20).await;
            if response.is_ok_and(|response| response.status.is_success()) {
                return true;
            }
        }
        false
    }

    fn record_start(&self, request: &head::Request) -> usize {
        self.in_flight.set(self.in_flight.get() + 1);
        self.max_in_flight.set(self.max_in_flight.get().max(self.in_flight.get()));
        if self.cold_left.get() > 0 {
            let max = self.max_in_flight_cold.get().max(self.in_flight.get());
            self.max_in_flight_cold.set(max);
        }
        let text = |name: &str| {
            request.parts.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
        };
        let mut records = self.records.borrow_mut();
        records.push(Record {
            call: text(field::CALL.as_str()),
            key: text(field::KEY.as_str()),
            tag: text(TAG),
            path: request.parts.uri.path().to_owned(),
            done: false,
            at_us: self.started.elapsed().as_micros() as u64,
        });
        records.len() - 1
    }

    /// Waits for a slot and for the execution time. The call is cancelled if its time limit ends or
    /// its caller closes the connection.
    async fn execute(
        &self,
        conn: &http1::Conn,
        request: &head::Request,
        slowdown: f64,
    ) -> Completion {
        let limit = request.parts.headers.get(field::TIMEOUT).and_then(|v| v.to_str().ok());
        let limit = limit.and_then(|t| t.parse().ok()).map(Duration::from_millis);
        let run = async {
            let _slot = self.slots.acquire().await;
            let time = self.service_time(slowdown);
            if !time.is_zero() {
                monoio::time::sleep(time).await;
            }
        };
        let run = std::pin::pin!(monoio::time::timeout(limit.unwrap_or(DEFAULT_TIMEOUT), run));
        match future::select(run, std::pin::pin!(conn.closed())).await {
            Either::Left((Ok(()), _)) => Completion::Done,
            Either::Left((Err(_), _)) | Either::Right(_) => Completion::Cancelled,
        }
    }

    fn service_time(&self, slowdown: f64) -> Duration {
        let is_overloaded = self.cold_left.get() > 0 && self.in_flight.get() > 1;
        let cold_factor = match (self.cold_left.get(), is_overloaded) {
            (0, _) => 1.0,
            (_, false) => 2.0,
            // A cold upstream slows down sharply under concurrent load.
            (_, true) => 20.0,
        };
        let mean = self.options.service_us as f64 * slowdown * cold_factor;
        let draw = -(1.0 - self.random.borrow_mut().f64()).ln();
        Duration::from_micros((mean * draw) as u64)
    }

    fn headers(&self, request: &head::Request, control: &Control) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(id) = request.parts.headers.get(field::CALL) {
            headers.insert(field::CALL, id.clone());
        }
        let load = match control.report.unwrap_or(Reporting::Honest) {
            Reporting::Honest => Some(self.in_flight.get()),
            Reporting::Lagging => Some(self.sample_lagging_load()),
            Reporting::Lying => Some(0),
            Reporting::Silent => None,
        };
        if let Some(load) = load {
            let text = format!("{load}/{}", self.options.slots);
            headers
                .insert(field::LOAD, HeaderValue::from_str(&text).expect("a valid header value"));
        }
        headers
    }

    fn sample_lagging_load(&self) -> usize {
        let (sampled, load) = self.lagging_load.get();
        if sampled.is_none_or(|at| at.elapsed() > Duration::from_millis(500)) {
            self.lagging_load.set((Some(Instant::now()), self.in_flight.get()));
        }
        load
    }
}

async fn respond(
    conn: &mut http1::Conn,
    mut headers: HeaderMap,
    content: &[u8],
    fault: Fault,
) -> Result<bool, http1::Error> {
    let status = http::StatusCode::OK;
    match fault {
        Fault::Nothing | Fault::Shed => write_response(conn, status, &headers, content).await?,
        Fault::Cut => {
            let framing = body::Framing::Length(content.len() as u64);
            conn.write(head::encode_response(status, &headers, framing, true)).await?;
            conn.write(content[..content.len() / 2].to_vec().into()).await?;
            return Ok(false);
        }
        Fault::Cross => {
            let other = basilhaven::call::Id::random().to_string();
            headers
                .insert(field::CALL, HeaderValue::from_str(&other).expect("a valid header value"));
            let crossed = body_for(&other, content.len());
            write_response(conn, status, &headers, &crossed).await?;
        }
        Fault::Reset => {
            conn.reset_on_close();
            return Ok(false);
        }
        Fault::Garbage => {
            conn.write(bytes::Bytes::from_static(b"no http at all\r\n\r\n")).await?;
            return Ok(false);
        }
        Fault::Late => {
            monoio::time::sleep(LATE_RESPONSE_DELAY).await;
            write_response(conn, status, &headers, content).await?;
        }
        Fault::Double => {
            write_response(conn, status, &headers, content).await?;
            write_response(conn, status, &headers, b"another").await?;
        }
    }
    Ok(true)
}
