//! One upstream as this host knows it: counts, latency and connections.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::semaphore::Semaphore;

use crate::{call, config, http1, load, name, outlier, ramp, warmup};

/// The longest that an idle connection is kept for reuse.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// The weight of one observation in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// How long the load that an upstream reports is taken for its load, in usual latencies.
const REPORT_LATENCIES: f64 = 2.0;

/// How long a cold upstream gets no call after it reported calls of other hosts, in usual latencies.
const DRAIN_LATENCIES: f64 = 12.0;

/// The latency that is taken for usual before a call was answered.
pub const ASSUMED_LATENCY: Duration = Duration::from_millis(10);

/// An upstream and what this host knows of its load.
#[derive(Debug)]
pub struct Upstream {
    name: name::Name,
    spec: RefCell<config::Upstream>,
    state: Cell<State>,
    in_flight: Cell<u32>,
    latency: Cell<Option<f64>>,
    report: Cell<Option<Report>>,
    others: Cell<u32>,
    idle: RefCell<VecDeque<Idle>>,
    share: Cell<Share>,
    estimator: load::Estimator,
    health: outlier::Health,
    warmup: warmup::Warmup,
    is_cold_again: Cell<bool>,
    /// Closed, and replaced by another, when the upstream turns cold.
    cold_signal: RefCell<Rc<Semaphore>>,
    ramp: ramp::Ramp,
}

/// This host's part in an upstream, where several hosts send it calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Calls that this host may have in flight to it.
    pub in_flight: u32,
    /// Calls that all hosts together may have in flight to it.
    pub total_in_flight: u32,
    /// Connections that this host may keep to it.
    pub connections: usize,
    /// Since when this host is the only one that sends to it while it is cold.
    pub owner_since: Option<Instant>,
}

/// Whether an upstream gets new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum State {
    /// It does.
    #[display("open")]
    Open,
    /// The host list says that it leaves.
    #[display("leaving")]
    Leaving,
    /// Operators have taken it out, or its data centre.
    #[display("out")]
    Out,
}

/// An upstream's own word on its load, carried on a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Calls that it was running, or had waiting.
    pub in_flight: u32,
    /// Calls that it runs at once.
    pub slots: u32,
    /// When the report arrived here.
    pub at: Instant,
}

impl Report {
    /// Reads `IN-FLIGHT/SLOTS`; anything else is `None`.
    pub fn parse(text: &str, at: Instant) -> Option<Report> {
        let (in_flight, slots) = text.split_once('/')?;
        Some(Report { in_flight: in_flight.parse().ok()?, slots: slots.parse().ok()?, at })
    }
}

#[derive(Debug)]
struct Idle {
    conn: http1::Conn,
    since: Instant,
}

impl Upstream {
    /// An upstream that nothing is known of yet.
    pub fn new(spec: config::Upstream) -> Upstream {
        let slots = spec.slots;
        Upstream {
            name: spec.name.clone(),
            spec: RefCell::new(spec),
            state: Cell::new(State::Open),
            in_flight: Cell::new(0),
            latency: Cell::new(None),
            report: Cell::new(None),
            others: Cell::new(0),
            idle: RefCell::new(VecDeque::new()),
            share: Cell::new(Share {
                in_flight: slots,
                total_in_flight: slots,
                connections: 1,
                owner_since: None,
            }),
            estimator: load::Estimator::new(Instant::now()),
            health: outlier::Health::default(),
            warmup: warmup::Warmup::default(),
            is_cold_again: Cell::default(),
            cold_signal: RefCell::new(Rc::new(Semaphore::new(0))),
            ramp: ramp::Ramp::default(),
        }
    }

    /// Its name.
    pub fn name(&self) -> &name::Name {
        &self.name
    }

    /// What the host list or the settings say of it.
    pub fn spec(&self) -> config::Upstream {
        self.spec.borrow().clone()
    }

    /// Takes in what the host list and the operators now say of it; tells whether it is back just now.
    pub fn update(&self, spec: config::Upstream, out: &config::Out) -> bool {
        let is_out =
            out.upstreams.contains(&spec.name) || out.data_centres.contains(&spec.data_centre);
        let state = match (is_out, spec.leaving) {
            (true, _) => State::Out,
            (false, true) => State::Leaving,
            (false, false) => State::Open,
        };
        let before = self.state.replace(state);
        let is_back = before != State::Open && state == State::Open;
        if before != state {
            tracing::info!(event = "upstream", upstream = %self.name, from = %before, to = %state);
        }
        if is_back {
            self.ramp.start();
        } else if let Some(ago) = out.time_since_return(&spec) {
            self.ramp.resume(ago);
        }
        *self.spec.borrow_mut() = spec;
        is_back
    }

    /// Whether it gets new work.
    pub fn state(&self) -> State {
        self.state.get()
    }

    /// Where it takes calls.
    pub fn address(&self) -> SocketAddr {
        self.spec.borrow().address
    }

    /// Its return, after it was out.
    pub fn ramp(&self) -> &ramp::Ramp {
        &self.ramp
    }

    /// The version that it runs.
    pub fn version(&self) -> name::Name {
        self.spec.borrow().version.clone()
    }

    /// Calls that this host has sent it and that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Calls that it runs at once.
    pub fn slots(&self) -> u32 {
        self.spec.borrow().slots
    }

    /// The moving average of its latency on this host, once a call has ended.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.get().map(Duration::from_secs_f64)
    }

    /// The newest report.
    pub fn report(&self) -> Option<Report> {
        self.report.get()
    }

    /// This host's part in it.
    pub fn share(&self) -> Share {
        self.share.get()
    }

    /// Sets this host's part in it.
    pub(crate) fn set_share(&self, share: Share) {
        self.share.set(share);
    }

    /// Whether it is cold, and how far it has been ramped up.
    pub fn warmup(&self) -> &warmup::Warmup {
        &self.warmup
    }

    /// Whether it was ejected for failures.
    pub fn health(&self) -> &outlier::Health {
        &self.health
    }

    /// How many times slower than usual it is now.
    pub fn slowdown(&self, now: Instant, baseline: Duration) -> f64 {
        self.estimator.slowdown(now, baseline)
    }

    /// Whether it seems to have fallen back into a cold start.
    pub fn detects_cold_restart(&self, now: Instant, baseline: Duration) -> bool {
        self.estimator.detects_cold_restart(now, baseline)
    }

    /// Whether this host sends to it at all: it is neither ejected nor, while cold, another host's.
    pub fn is_usable(&self) -> bool {
        let is_sender = !self.warmup.is_cold() || self.share.get().owner_since.is_some();
        is_sender && !self.health.is_ejected()
    }

    /// Whether this host may send it one more call.
    ///
    /// While it is warm, a host has its own share, and may borrow from the others' as long as a fresh
    /// report says that they leave room. While it is cold, one host sends, and the others nothing.
    pub fn admits(&self, now: Instant, baseline: Duration) -> bool {
        let share = self.share.get();
        let room = match (self.warmup.is_cold(), share.owner_since) {
            (false, _) => share.in_flight.max(self.unused_by_others(now, baseline)),
            (true, Some(since)) if since <= now && !self.is_draining(now, baseline) => {
                self.warmup.max_in_flight()
            }
            (true, _) => 0,
        };
        self.in_flight.get() < room && self.health.admits(now, self.in_flight.get())
    }

    /// Whether, by its last report, calls of other hosts from before it was cold are still in flight.
    fn is_draining(&self, now: Instant, baseline: Duration) -> bool {
        let recent = baseline.mul_f64(DRAIN_LATENCIES);
        let report = self.report.get().filter(|r| now.saturating_duration_since(r.at) < recent);
        report.is_some() && self.others.get() > 0
    }

    /// What a fresh report says that other hosts leave of the limit over all.
    fn unused_by_others(&self, now: Instant, baseline: Duration) -> u32 {
        let fresh = baseline.mul_f64(REPORT_LATENCIES);
        let report = self.report.get().filter(|r| now.saturating_duration_since(r.at) < fresh);
        report.map_or(0, |_| self.share.get().total_in_flight.saturating_sub(self.others.get()))
    }

    /// Counts a call that is about to be sent.
    pub(crate) fn start(&self, now: Instant, baseline: Duration) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.estimator.start(now, baseline);
    }

    /// Counts a call that has ended, however it ended.
    pub(crate) fn end(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
    }

    /// Takes in how an attempt ended that began `took` ago.
    pub(crate) fn observe(&self, end: Option<&call::End>, took: Duration, baseline: Duration) {
        let now = Instant::now();
        match end {
            Some(call::End::Answered { status, took }) if !status.is_server_error() => {
                let took = took.as_secs_f64();
                let mean = self.latency.get().map_or(took, |m| m + (took - m) * LATENCY_WEIGHT);
                self.latency.set(Some(mean));
                self.estimator.record_success(now, baseline);
            }
            Some(call::End::Answered { .. } | call::End::Failed(_)) => {
                self.estimator.record_failure(now, baseline)
            }
            Some(call::End::Cancelled) | None => {
                self.estimator.record_cancelled(now, baseline, took)
            }
        }
    }

    /// Takes in the generation of its warmth that a peer tells; tells whether it was news.
    pub(crate) fn apply_warmup(&self, generation: u64) -> bool {
        let was_warm = !self.warmup.is_cold();
        let is_news = self.warmup.merge(generation);
        if is_news {
            self.on_warmup_change(was_warm);
        }
        is_news
    }

    /// It is cold from now on.
    pub(crate) fn mark_cold(&self) {
        let was_warm = !self.warmup.is_cold();
        self.warmup.mark_cold();
        self.on_warmup_change(was_warm);
    }

    fn on_warmup_change(&self, was_warm: bool) {
        self.reset_estimates();
        let is_cold = self.warmup.is_cold();
        let has_answered = was_warm && self.latency.get().is_some();
        self.is_cold_again.set(is_cold && (has_answered || self.is_cold_again.get()));
        if is_cold {
            self.signal_cold();
        }
    }

    /// Whether it is cold, and answered this host's calls while it was warm before.
    pub fn is_cold_again(&self) -> bool {
        self.is_cold_again.get()
    }

    /// Waits until it turns cold.
    pub async fn turned_cold(&self) {
        let signal = Rc::clone(&self.cold_signal.borrow());
        // The semaphore never has a permit: waiting ends when it is closed.
        let _ = signal.acquire().await;
    }

    fn signal_cold(&self) {
        self.cold_signal.replace(Rc::new(Semaphore::new(0))).close();
    }

    /// What was seen and reported before it turned cold or warm says nothing any more.
    fn reset_estimates(&self) {
        self.estimator.reset(Instant::now());
        self.report.set(None);
    }

    /// Takes in a report from a response.
    pub fn record_report(&self, report: Report) {
        self.report.set(Some(report));
        self.others.set(report.in_flight.saturating_sub(self.in_flight.get()));
    }

    /// Calls that other hosts have in flight to it, as far as is known, where `expected` are usual.
    ///
    /// A report fades with its age, and only ever adds to what is expected: one that lies or lags may
    /// drive calls away, but attracts none.
    pub fn others_in_flight(&self, now: Instant, baseline: Duration, expected: f64) -> f64 {
        let Some(report) = self.report.get() else { return expected };
        let age = now.saturating_duration_since(report.at).as_secs_f64();
        let trust =
            (-age / (REPORT_LATENCIES * baseline.as_secs_f64()).max(f64::MIN_POSITIVE)).exp();
        let reported = f64::from(self.others.get());
        expected + trust * (reported - expected).max(0.0)
    }

    /// A connection that an earlier call left behind and that is still open.
    pub(crate) fn take_idle(&self) -> Option<http1::Conn> {
        let mut idle = self.idle.borrow_mut();
        while let Some(Idle { conn, since }) = idle.pop_back() {
            if since.elapsed() < MAX_IDLE && conn.is_idle() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection whose exchange ended cleanly.
    pub(crate) fn keep_idle(&self, conn: http1::Conn) {
        let mut idle = self.idle.borrow_mut();
        while idle.front().is_some_and(|oldest| oldest.since.elapsed() >= MAX_IDLE) {
            idle.pop_front();
        }
        while idle.len() >= self.share.get().connections.max(1) {
            idle.pop_front();
        }
        idle.push_back(Idle { conn, since: Instant::now() });
    }
}
