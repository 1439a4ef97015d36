//! Monitoring of this host's own calls to the two versions of a move.
//!
//! Counts calls, errors and slow calls by version and route (the evidence, [`evidence`]), and
//! passes them to a [`detector`] per route. Calls to both versions count as slow by the same
//! latency limit, which is derived from the old version's latencies. The new version is called
//! proven once its share exceeds [`super::UNPROVEN_SHARE`], for which the schedule requires
//! sufficient evidence.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{detector, evidence, halt};
use crate::call;

/// Lower bound of the latency histogram's first bucket.
const MIN_LATENCY: Duration = Duration::from_micros(50);

/// Ratio between the bounds of neighbouring buckets of the histogram.
const BUCKET_RATIO: f64 = 1.1;

/// Number of buckets of the histogram; the last holds latencies of minutes.
const BUCKET_COUNT: usize = 160;

/// Time constant of the exponential decay of the histogram.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Minimum number of the old version's calls, after decay, for a percentile of their latency.
const MIN_CALLS: f64 = 20.0;

/// Factor on the old version's 90th percentile in the latency limit of slow calls.
const SLOW_RATIO: f64 = 1.25;

/// Time added to the latency limit of slow calls, which allows for opening a connection.
const SLOW_MARGIN: Duration = Duration::from_millis(1);

/// Interval between snapshots of the counts. The reason for a halt quotes the calls since the last
/// snapshot but one, that is, of the last one to two intervals.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5);

/// Latency histogram of the old version's calls, with exponential decay.
#[derive(Debug, Clone)]
struct Histogram {
    buckets: Vec<f64>,
}

impl Histogram {
    fn record(&mut self, latency: Duration) {
        let ratio = latency.as_secs_f64() / MIN_LATENCY.as_secs_f64();
        let bucket = ratio.max(1.0).log(BUCKET_RATIO) as usize;
        self.buckets[bucket.min(BUCKET_COUNT - 1)] += 1.0;
    }

    fn decay(&mut self, elapsed: Duration) {
        let factor = (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.buckets.iter_mut().for_each(|bucket| *bucket *= factor);
    }

    /// Returns the 90th percentile, or `None` if there are fewer than [`MIN_CALLS`] calls.
    fn p90(&self) -> Option<Duration> {
        let calls: f64 = self.buckets.iter().sum();
        if calls < MIN_CALLS {
            return None;
        }
        let mut below = 0.0;
        let found = self.buckets.iter().position(|bucket| {
            below += bucket;
            below >= calls * 0.9
        });
        Some(MIN_LATENCY.mul_f64(BUCKET_RATIO.powi(found.unwrap_or(BUCKET_COUNT - 1) as i32 + 1)))
    }
}

/// Counts, latencies and detector of one route.
#[derive(Debug, Clone)]
struct RouteState {
    pair: evidence::Pair,
    detector: detector::Detector,
    observed_at: Instant,
    /// Value of `pair` when latencies were last passed to the detector.
    observed_pair: evidence::Pair,
    latencies: Histogram,
    /// Latency limit as last computed before the new version was proven. From then on `slow_limit`
    /// does not fall below this value, since the old version becomes faster than normal as its
    /// share of the calls shrinks.
    min_slow_limit: Option<Duration>,
    /// Latency above which a call counts as slow.
    slow_limit: Option<Duration>,
    /// Values of `pair` at the last two snapshots, the older one first.
    snapshots: [evidence::Pair; 2],
}

impl RouteState {
    fn new(now: Instant) -> RouteState {
        RouteState {
            pair: evidence::Pair::default(),
            detector: detector::Detector::default(),
            observed_at: now,
            observed_pair: evidence::Pair::default(),
            latencies: Histogram { buckets: vec![0.0; BUCKET_COUNT] },
            min_slow_limit: None,
            slow_limit: None,
            snapshots: [evidence::Pair::default(); 2],
        }
    }

    /// Adds an attempt that has ended to the counts of the route. Returns its counts of calls and
    /// errors; its latency is passed to the detector by [`RouteState::observe_latencies`].
    fn count(&mut self, attempt: &Attempt, end: &call::End) -> evidence::Pair {
        let is_failure = match end {
            call::End::Answered { status, .. } => status.is_server_error(),
            // A shed call is not a failure, and a cancelled call shows nothing about the version.
            call::End::Failed(call::Reason::Shed) | call::End::Cancelled => {
                return evidence::Pair::default()
            }
            call::End::Failed(_) => true,
        };
        let mut batch = evidence::Pair::default();
        let (tally, own) = match attempt.is_new {
            true => (&mut batch.new, &mut self.pair.new),
            false => (&mut batch.old, &mut self.pair.old),
        };
        *tally = evidence::Tally { calls: 1, errors: u64::from(is_failure), ..*tally };
        own.add(tally);
        if let call::End::Answered { took, .. } = end {
            if !attempt.is_new && !is_failure {
                self.latencies.record(*took);
            }
            if let Some(limit) = self.slow_limit.filter(|_| !is_failure && !attempt.is_counted_slow)
            {
                own.timed += 1;
                own.slow += u64::from(*took > limit);
            }
        }
        batch
    }

    fn observe(&mut self, batch: &evidence::Pair, now: Instant) -> Option<detector::Fault> {
        let seconds = now.saturating_duration_since(self.observed_at).as_secs_f64();
        self.observed_at = now;
        self.detector.observe(batch, seconds)
    }

    /// Passes the counts of slow calls since the last invocation to the detector. Errors are passed
    /// to the detector as the calls end.
    fn observe_latencies(&mut self, now: Instant) -> Option<detector::Fault> {
        let mut batch = self.pair.since(&self.observed_pair);
        self.observed_pair = self.pair;
        for tally in [&mut batch.old, &mut batch.new] {
            tally.calls = 0;
            tally.errors = 0;
        }
        self.observe(&batch, now)
    }

    /// Updates `slow_limit` from the old version's latencies.
    fn update_slow_limit(&mut self, is_proven: bool) {
        let Some(p90) = self.latencies.p90() else { return };
        let current = p90.mul_f64(SLOW_RATIO) + SLOW_MARGIN;
        if !is_proven || self.min_slow_limit.is_none() {
            self.min_slow_limit = Some(current);
        }
        self.slow_limit = self.min_slow_limit.max(Some(current));
    }
}

/// An attempt in flight, to run a call on an upstream of either version.
#[derive(Debug, Clone)]
struct Attempt {
    route: evidence::Route,
    is_new: bool,
    started: Instant,
    is_counted_slow: bool,
}

/// Monitor of this host's calls during one move.
#[derive(Debug, Default)]
pub struct Monitor {
    routes: RefCell<IndexMap<evidence::Route, RouteState>>,
    attempts: RefCell<IndexMap<u64, Attempt>>,
    next_attempt: Cell<u64>,
    /// Time in flight since `busy_since`, summed over all attempts.
    busy_time: Cell<Duration>,
    busy_updated_at: Cell<Option<Instant>>,
    busy_since: Cell<Option<Instant>>,
    ticked_at: Cell<Option<Instant>>,
    snapshot_at: Cell<Option<Instant>>,
}

impl Monitor {
    /// Records the start of an attempt at an upstream and returns its number, for [`Monitor::end`].
    pub fn start(&self, route: evidence::Route, is_new: bool, now: Instant) -> u64 {
        let number = self.next_attempt.get();
        self.next_attempt.set(number + 1);
        let attempt = Attempt { route, is_new, started: now, is_counted_slow: false };
        self.count_busy(now);
        self.attempts.borrow_mut().insert(number, attempt);
        number
    }

    /// Records the end of an attempt and returns the reason for a halt if the calls so far show
    /// that the new version is worse. Does nothing for an attempt whose end was already recorded.
    pub fn end(&self, number: u64, end: &call::End, now: Instant) -> Option<halt::Reason> {
        self.count_busy(now);
        let attempt = self.attempts.borrow_mut().swap_remove(&number)?;
        let mut routes = self.routes.borrow_mut();
        let route = counted_route(&routes, &attempt.route);
        let state = routes.entry(route.clone()).or_insert_with(|| RouteState::new(now));
        let batch = state.count(&attempt, end);
        let kind = state.observe(&batch, now)?;
        Some(halt::Reason::Worse { kind, route, seen: state.pair.since(&state.snapshots[0]) })
    }

    /// Evaluates latencies, also of attempts still in flight, and returns the reason for a halt if
    /// they show that the new version is worse. Must be called a few times a second.
    pub fn tick(&self, is_proven: bool, now: Instant) -> Option<halt::Reason> {
        self.count_overdue(now);
        let elapsed =
            now.saturating_duration_since(self.ticked_at.replace(Some(now)).unwrap_or(now));
        let is_snapshot_due =
            self.snapshot_at.get().is_none_or(|at| now.duration_since(at) >= SNAPSHOT_INTERVAL);
        if is_snapshot_due {
            self.snapshot_at.set(Some(now));
        }
        let mut reason = None;
        for (route, state) in self.routes.borrow_mut().iter_mut() {
            state.latencies.decay(elapsed);
            state.update_slow_limit(is_proven);
            if let Some(kind) = state.observe_latencies(now) {
                let seen = state.pair.since(&state.snapshots[0]);
                reason = Some(halt::Reason::Worse { kind, route: route.clone(), seen });
            }
            if is_snapshot_due {
                state.snapshots = [state.snapshots[1], state.pair];
            }
        }
        reason
    }

    /// Counts attempts at the new version that are still in flight as slow once their time in
    /// flight exceeds the latency limit of their route.
    fn count_overdue(&self, now: Instant) {
        let mut routes = self.routes.borrow_mut();
        for attempt in self.attempts.borrow_mut().values_mut() {
            if !attempt.is_new || attempt.is_counted_slow {
                continue;
            }
            let route = counted_route(&routes, &attempt.route);
            let Some(state) = routes.get_mut(&route) else { continue };
            let elapsed = now.saturating_duration_since(attempt.started);
            if state.slow_limit.is_some_and(|limit| elapsed > limit) {
                attempt.is_counted_slow = true;
                state.pair.new.timed += 1;
                state.pair.new.slow += 1;
            }
        }
    }

    /// Returns the counts of all routes.
    pub fn evidence(&self) -> evidence::Evidence {
        let routes = self.routes.borrow();
        evidence::Evidence(routes.iter().map(|(r, state)| (r.clone(), state.pair)).collect())
    }

    /// Adds the time since the last invocation to `busy_time`, once for each attempt in flight.
    fn count_busy(&self, now: Instant) {
        let since = self.busy_updated_at.replace(Some(now)).unwrap_or(now);
        let attempts = self.attempts.borrow().len() as u32;
        self.busy_time.set(self.busy_time.get() + now.saturating_duration_since(since) * attempts);
    }

    /// Returns the average number of attempts in flight since the last invocation.
    pub fn take_in_flight(&self, now: Instant) -> f64 {
        self.count_busy(now);
        let busy = self.busy_time.take();
        let since = self.busy_since.replace(Some(now));
        let elapsed = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        match elapsed.is_zero() {
            true => 0.0,
            false => busy.as_secs_f64() / elapsed.as_secs_f64(),
        }
    }
}

/// Returns the route under which a call is counted: the call's own route, or
/// [`evidence::Route::other`] if the maximum number of routes is counted already.
fn counted_route(
    routes: &IndexMap<evidence::Route, RouteState>,
    route: &evidence::Route,
) -> evidence::Route {
    let is_full = routes.len() >= evidence::MAX_ROUTES && !routes.contains_key(route);
    if is_full {
        evidence::Route::other(route.at_most_once)
    } else {
        route.clone()
    }
}
