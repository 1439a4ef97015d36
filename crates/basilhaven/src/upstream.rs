//! An upstream as this host sees it: its load, latency, health and idle connections.
//!
//! The baseline latency is the mean latency of all calls of the upstream's service
//! ([`load::Baseline`]).

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use local_sync::semaphore::Semaphore;

use crate::{call, config, http1, load, name, outlier, ramp, warmup};

/// Maximum time for which an idle connection is kept for reuse.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// Weight of one observation in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Time for which a load report counts as current, in multiples of the baseline latency.
const REPORT_LATENCIES: f64 = 2.0;

/// Time for which a cold upstream gets no calls after it reported calls of other hosts, in
/// multiples of the baseline latency.
const DRAIN_LATENCIES: f64 = 12.0;

/// Baseline latency that is assumed until a call has succeeded.
pub const ASSUMED_LATENCY: Duration = Duration::from_millis(10);

/// An upstream with this host's estimate of its load and health.
#[derive(Debug)]
pub struct Upstream {
    name: name::Name,
    spec: RefCell<config::Upstream>,
    state: Cell<State>,
    in_flight: Cell<u32>,
    /// Moving average of the latencies seen by this host.
    latency_secs: Cell<Option<f64>>,
    report: Cell<Option<Report>>,
    /// Calls in flight in the latest report, minus those of this host.
    reported_others: Cell<u32>,
    idle_conns: RefCell<VecDeque<Idle>>,
    share: Cell<Share>,
    estimator: load::Estimator,
    health: outlier::Health,
    warmup: warmup::Warmup,
    /// Whether the upstream is cold, but has answered calls of this host while it was warm.
    is_cold_again: Cell<bool>,
    /// Closed when the upstream turns cold, and then replaced by a new one.
    cold_signal: RefCell<Rc<Semaphore>>,
    /// The rise of the upstream's share of the calls after its return to service.
    ramp: ramp::Ramp,
}

/// This host's share of an upstream's capacity, where several hosts send calls to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Maximum number of calls that this host may have in flight to the upstream.
    pub in_flight: u32,
    /// Maximum number of calls that all hosts together may have in flight to the upstream.
    pub total_in_flight: u32,
    /// Maximum number of idle connections that this host keeps to the upstream.
    pub connections: usize,
    /// The time from which this host may send to the upstream while it is cold, if it is the
    /// upstream's cold-start owner: the only host that does.
    pub owner_since: Option<Instant>,
}

/// Whether an upstream gets new calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum State {
    /// The upstream gets new calls.
    #[display("open")]
    Open,
    /// The platform's list of hosts marks the upstream as leaving.
    #[display("leaving")]
    Leaving,
    /// An operator has taken the upstream or its data centre out of service.
    #[display("out")]
    Out,
}

/// An upstream's own report of its load, carried on a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Calls that were running or waiting at the upstream.
    pub in_flight: u32,
    /// Calls that the upstream runs concurrently.
    pub slots: u32,
    /// When this host received the report.
    pub at: Instant,
}

impl Report {
    /// Parses `IN-FLIGHT/SLOTS`; returns `None` for anything else.
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
    /// Creates an upstream with no observations.
    pub fn new(spec: config::Upstream) -> Upstream {
        let slots = spec.slots;
        Upstream {
            name: spec.name.clone(),
            spec: RefCell::new(spec),
            state: Cell::new(State::Open),
            in_flight: Cell::new(0),
            latency_secs: Cell::new(None),
            report: Cell::new(None),
            reported_others: Cell::new(0),
            idle_conns: RefCell::new(VecDeque::new()),
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

    /// Returns the name of the upstream.
    pub fn name(&self) -> &name::Name {
        &self.name
    }

    /// Returns the upstream's entry in the platform's list of hosts or in the settings.
    pub fn spec(&self) -> config::Upstream {
        self.spec.borrow().clone()
    }

    /// Applies the upstream's current entry in the list of hosts, and what operators have taken out
    /// of service. Returns `true` if the upstream has just returned to service.
    pub fn update(&self, spec: config::Upstream, out_of_service: &config::Out) -> bool {
        let is_out = out_of_service.upstreams.contains(&spec.name)
            || out_of_service.data_centres.contains(&spec.data_centre);
        let state = match (is_out, spec.leaving) {
            (true, _) => State::Out,
            (false, true) => State::Leaving,
            (false, false) => State::Open,
        };
        let before = self.state.replace(state);
        let has_returned = before != State::Open && state == State::Open;
        if before != state {
            tracing::info!(event = "upstream", upstream = %self.name, from = %before, to = %state);
        }
        if has_returned {
            self.ramp.start();
        } else if let Some(ago) = out_of_service.time_since_return(&spec) {
            self.ramp.resume(ago);
        }
        *self.spec.borrow_mut() = spec;
        has_returned
    }

    /// Returns whether the upstream gets new calls.
    pub fn state(&self) -> State {
        self.state.get()
    }

    /// Returns the address at which the upstream accepts calls.
    pub fn address(&self) -> SocketAddr {
        self.spec.borrow().address
    }

    /// Returns the ramp of the upstream's return to service, during which its share of the calls
    /// rises.
    pub fn ramp(&self) -> &ramp::Ramp {
        &self.ramp
    }

    /// Returns the version that the upstream runs.
    pub fn version(&self) -> name::Name {
        self.spec.borrow().version.clone()
    }

    /// Returns the number of calls that this host has in flight to the upstream.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns the number of calls that the upstream runs concurrently.
    pub fn slots(&self) -> u32 {
        self.spec.borrow().slots
    }

    /// Returns the moving average of the latency seen by this host, once a call has succeeded.
    pub fn latency(&self) -> Option<Duration> {
        self.latency_secs.get().map(Duration::from_secs_f64)
    }

    /// Returns the most recent load report.
    pub fn report(&self) -> Option<Report> {
        self.report.get()
    }

    /// Returns this host's share of the upstream's capacity.
    pub fn share(&self) -> Share {
        self.share.get()
    }

    /// Sets this host's share of the upstream's capacity.
    pub(crate) fn set_share(&self, share: Share) {
        self.share.set(share);
    }

    /// Returns the warm-up state: whether the upstream is cold, and how many calls it may get then.
    pub fn warmup(&self) -> &warmup::Warmup {
        &self.warmup
    }

    /// Returns the passive health state: whether the upstream has been ejected for failures.
    pub fn health(&self) -> &outlier::Health {
        &self.health
    }

    /// Returns the factor by which the upstream is slower than the baseline.
    pub fn slowdown(&self, now: Instant, baseline: Duration) -> f64 {
        self.estimator.slowdown(now, baseline)
    }

    /// Returns `true` if the upstream appears to have restarted cold.
    pub fn detects_cold_restart(&self, now: Instant, baseline: Duration) -> bool {
        self.estimator.detects_cold_restart(now, baseline)
    }

    /// Returns `true` if this host sends calls to the upstream at all: the upstream is not ejected,
    /// and is either warm or has this host as its cold-start owner.
    pub fn is_usable(&self) -> bool {
        let is_warm_or_owned = !self.warmup.is_cold() || self.share.get().owner_since.is_some();
        is_warm_or_owned && !self.health.is_ejected()
    }

    /// Returns `true` if this host may send the upstream one more call.
    ///
    /// While the upstream is warm, a host may use its own share, and capacity that a current report
    /// shows to be unused by other hosts. While it is cold, only its cold-start owner sends to it.
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

    /// Returns `true` if the last report shows that calls that other hosts sent before the upstream
    /// was cold are still in flight.
    fn is_draining(&self, now: Instant, baseline: Duration) -> bool {
        let recent = baseline.mul_f64(DRAIN_LATENCIES);
        let report = self.report.get().filter(|r| now.saturating_duration_since(r.at) < recent);
        report.is_some() && self.reported_others.get() > 0
    }

    /// Returns how much of the limit of calls in flight over all hosts is not used by other hosts,
    /// or 0 without a current report.
    fn unused_by_others(&self, now: Instant, baseline: Duration) -> u32 {
        let fresh = baseline.mul_f64(REPORT_LATENCIES);
        let report = self.report.get().filter(|r| now.saturating_duration_since(r.at) < fresh);
        report.map_or(0, |_| {
            self.share.get().total_in_flight.saturating_sub(self.reported_others.get())
        })
    }

    /// Counts a call that is about to be sent.
    pub(crate) fn start(&self, now: Instant, baseline: Duration) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.estimator.start(now, baseline);
    }

    /// Counts a call that has ended, with any result.
    pub(crate) fn end(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
    }

    /// Records the result of an attempt that started `took` ago.
    pub(crate) fn record_end(&self, end: Option<&call::End>, took: Duration, baseline: Duration) {
        let now = Instant::now();
        match end {
            Some(call::End::Answered { status, took }) if !status.is_server_error() => {
                let took = took.as_secs_f64();
                let mean =
                    self.latency_secs.get().map_or(took, |m| m + (took - m) * LATENCY_WEIGHT);
                self.latency_secs.set(Some(mean));
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

    /// Merges the generation of the warm-up state received from another host. Returns `true` if the
    /// received generation was newer than this host's.
    pub(crate) fn apply_warmup(&self, generation: u64) -> bool {
        let was_warm = !self.warmup.is_cold();
        let is_newer = self.warmup.merge(generation);
        if is_newer {
            self.on_warmup_change(was_warm);
        }
        is_newer
    }

    /// Marks the upstream cold.
    pub(crate) fn mark_cold(&self) {
        let was_warm = !self.warmup.is_cold();
        self.warmup.mark_cold();
        self.on_warmup_change(was_warm);
    }

    fn on_warmup_change(&self, was_warm: bool) {
        self.reset_estimates();
        let is_cold = self.warmup.is_cold();
        let has_answered = was_warm && self.latency_secs.get().is_some();
        self.is_cold_again.set(is_cold && (has_answered || self.is_cold_again.get()));
        if is_cold {
            self.signal_cold();
        }
    }

    /// Returns `true` if the upstream is cold and answered calls of this host while it was warm
    /// before.
    pub fn is_cold_again(&self) -> bool {
        self.is_cold_again.get()
    }

    /// Waits until the upstream turns cold.
    pub async fn turned_cold(&self) {
        let signal = Rc::clone(&self.cold_signal.borrow());
        // The semaphore never has a permit: `acquire` returns when it is closed.
        let _ = signal.acquire().await;
    }

    fn signal_cold(&self) {
        self.cold_signal.replace(Rc::new(Semaphore::new(0))).close();
    }

    /// Discards observations and reports, which do not apply after a change between cold and warm.
    fn reset_estimates(&self) {
        self.estimator.reset(Instant::now());
        self.report.set(None);
    }

    /// Records a load report received on a response.
    pub fn record_report(&self, report: Report) {
        self.report.set(Some(report));
        self.reported_others.set(report.in_flight.saturating_sub(self.in_flight.get()));
    }

    /// Returns the estimated number of calls that other hosts have in flight to the upstream, where
    /// `expected` is the estimate without a report.
    ///
    /// A report loses weight with age, and can only raise the estimate: a false or delayed report
    /// may drive calls away, but cannot attract any.
    pub fn others_in_flight(&self, now: Instant, baseline: Duration, expected: f64) -> f64 {
        let Some(report) = self.report.get() else { return expected };
        let age = now.saturating_duration_since(report.at).as_secs_f64();
        let trust =
            (-age / (REPORT_LATENCIES * baseline.as_secs_f64()).max(f64::MIN_POSITIVE)).exp();
        let reported = f64::from(self.reported_others.get());
        expected + trust * (reported - expected).max(0.0)
    }

    /// Takes an idle connection that was kept after an earlier call and is still open.
    pub(crate) fn take_idle(&self) -> Option<http1::Conn> {
        let mut idle = self.idle_conns.borrow_mut();
        while let Some(Idle { conn, since }) = idle.pop_back() {
            if since.elapsed() < MAX_IDLE && conn.is_idle() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection for reuse after an exchange that left it in a clean state.
    pub(crate) fn keep_idle(&self, conn: http1::Conn) {
        let mut idle = self.idle_conns.borrow_mut();
        while idle.front().is_some_and(|oldest| oldest.since.elapsed() >= MAX_IDLE) {
            idle.pop_front();
        }
        while idle.len() >= self.share.get().connections.max(1) {
            idle.pop_front();
        }
        idle.push_back(Idle { conn, since: Instant::now() });
    }
}
