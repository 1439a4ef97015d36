//! What this host's own calls show of a move's two versions.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{detector, evidence, halt};
use crate::call;

/// The shortest time that is told apart.
const SHORTEST: Duration = Duration::from_micros(50);

/// The ratio of one bucket's times to the next one's.
const BUCKET_RATIO: f64 = 1.1;

/// Buckets; the last holds times of minutes.
const BUCKETS: usize = 160;

/// The mean age of the times that are remembered.
const MEMORY: Duration = Duration::from_secs(10);

/// Calls of the old version from which its times are known.
const MIN_CALLS: f64 = 20.0;

/// A call is slow beyond this many times what nine in ten of the old version's take,
const SLOW_RATIO: f64 = 1.25;

/// and this much more, which is what a new connection takes.
const SLOW_MARGIN: Duration = Duration::from_millis(1);

/// Reasons quote the calls of one to two times this long.
const QUOTED: Duration = Duration::from_secs(5);

/// Times of the old version's calls, the older the less they weigh.
#[derive(Debug, Clone)]
struct Times {
    buckets: Vec<f64>,
}

impl Times {
    fn add(&mut self, took: Duration) {
        let ratio = took.as_secs_f64() / SHORTEST.as_secs_f64();
        let bucket = ratio.max(1.0).log(BUCKET_RATIO) as usize;
        self.buckets[bucket.min(BUCKETS - 1)] += 1.0;
    }

    fn age(&mut self, passed: Duration) {
        let kept = (-passed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.buckets.iter_mut().for_each(|bucket| *bucket *= kept);
    }

    /// What nine in ten calls take at most.
    fn ninetieth(&self) -> Option<Duration> {
        let calls: f64 = self.buckets.iter().sum();
        if calls < MIN_CALLS {
            return None;
        }
        let mut below = 0.0;
        let found = self.buckets.iter().position(|bucket| {
            below += bucket;
            below >= calls * 0.9
        });
        Some(SHORTEST.mul_f64(BUCKET_RATIO.powi(found.unwrap_or(BUCKETS - 1) as i32 + 1)))
    }
}

/// What is known of one route.
#[derive(Debug, Clone)]
struct RouteState {
    pair: evidence::Pair,
    detector: detector::Detector,
    fed: Instant,
    /// The calls whose times have been judged.
    timed: evidence::Pair,
    times: Times,
    /// The slowest normal time, from before the new version was proven: later the old version has so
    /// few calls left that it is faster than it ever was.
    reference: Option<Duration>,
    limit: Option<Duration>,
    quoted: [evidence::Pair; 2],
}

impl RouteState {
    fn new(now: Instant) -> RouteState {
        RouteState {
            pair: evidence::Pair::default(),
            detector: detector::Detector::default(),
            fed: now,
            timed: evidence::Pair::default(),
            times: Times { buckets: vec![0.0; BUCKETS] },
            reference: None,
            limit: None,
            quoted: [evidence::Pair::default(); 2],
        }
    }

    fn count(&mut self, attempt: &Attempt, end: &call::End) -> evidence::Pair {
        let failed = match end {
            call::End::Answered { status, .. } => status.is_server_error(),
            // An upstream that sheds a call says so, and a caller that leaves says nothing.
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
        *tally = evidence::Tally { calls: 1, errors: u64::from(failed), ..*tally };
        own.add(tally);
        if let call::End::Answered { took, .. } = end {
            if !attempt.is_new && !failed {
                self.times.add(*took);
            }
            if let Some(limit) = self.limit.filter(|_| !failed && !attempt.counted_slow) {
                own.timed += 1;
                own.slow += u64::from(*took > limit);
            }
        }
        batch
    }

    fn observe(&mut self, batch: &evidence::Pair, now: Instant) -> Option<detector::Fault> {
        let seconds = now.saturating_duration_since(self.fed).as_secs_f64();
        self.fed = now;
        self.detector.observe(batch, seconds)
    }

    /// Judges the times of the calls since the last time; errors have been judged already.
    fn observe_latencies(&mut self, now: Instant) -> Option<detector::Fault> {
        let mut batch = self.pair.since(&self.timed);
        self.timed = self.pair;
        for tally in [&mut batch.old, &mut batch.new] {
            tally.calls = 0;
            tally.errors = 0;
        }
        self.observe(&batch, now)
    }

    fn set_limit(&mut self, is_proven: bool) {
        let Some(ninetieth) = self.times.ninetieth() else { return };
        let current = ninetieth.mul_f64(SLOW_RATIO) + SLOW_MARGIN;
        if !is_proven || self.reference.is_none() {
            self.reference = Some(current);
        }
        self.limit = self.reference.max(Some(current));
    }
}

/// A call under way.
#[derive(Debug, Clone)]
struct Attempt {
    route: evidence::Route,
    is_new: bool,
    started: Instant,
    counted_slow: bool,
}

/// All that this host's calls have shown of one move.
#[derive(Debug, Default)]
pub struct Monitor {
    routes: RefCell<IndexMap<evidence::Route, RouteState>>,
    attempts: RefCell<IndexMap<u64, Attempt>>,
    next_attempt: Cell<u64>,
    busy: Cell<Duration>,
    busy_until: Cell<Option<Instant>>,
    busy_taken: Cell<Option<Instant>>,
    ticked: Cell<Option<Instant>>,
    rotated: Cell<Option<Instant>>,
}

impl Monitor {
    /// A call of a route goes to an upstream; the number is for [`Monitor::end`].
    pub fn start(&self, route: evidence::Route, is_new: bool, now: Instant) -> u64 {
        let number = self.next_attempt.get();
        self.next_attempt.set(number + 1);
        let attempt = Attempt { route, is_new, started: now, counted_slow: false };
        self.count_busy(now);
        self.attempts.borrow_mut().insert(number, attempt);
        number
    }

    /// A call has ended; tells what is bad as soon as something is.
    pub fn end(&self, number: u64, end: &call::End, now: Instant) -> Option<halt::Reason> {
        self.count_busy(now);
        let attempt = self.attempts.borrow_mut().swap_remove(&number)?;
        let mut routes = self.routes.borrow_mut();
        let route = place(&routes, &attempt.route);
        let known = routes.entry(route.clone()).or_insert_with(|| RouteState::new(now));
        let batch = known.count(&attempt, end);
        let kind = known.observe(&batch, now)?;
        Some(halt::Reason::Worse { kind, route, seen: known.pair.since(&known.quoted[0]) })
    }

    /// Judges what shows with time only; to be called a few times a second.
    pub fn tick(&self, is_proven: bool, now: Instant) -> Option<halt::Reason> {
        self.count_overdue(now);
        let passed = now.saturating_duration_since(self.ticked.replace(Some(now)).unwrap_or(now));
        let rotates = self.rotated.get().is_none_or(|at| now.duration_since(at) >= QUOTED);
        if rotates {
            self.rotated.set(Some(now));
        }
        let mut verdict = None;
        for (route, known) in self.routes.borrow_mut().iter_mut() {
            known.times.age(passed);
            known.set_limit(is_proven);
            if let Some(kind) = known.observe_latencies(now) {
                let seen = known.pair.since(&known.quoted[0]);
                verdict = Some(halt::Reason::Worse { kind, route: route.clone(), seen });
            }
            if rotates {
                known.quoted = [known.quoted[1], known.pair];
            }
        }
        verdict
    }

    /// Counts calls to the new version as slow that have not ended and are over the limit already.
    fn count_overdue(&self, now: Instant) {
        let mut routes = self.routes.borrow_mut();
        for attempt in self.attempts.borrow_mut().values_mut() {
            if !attempt.is_new || attempt.counted_slow {
                continue;
            }
            let route = place(&routes, &attempt.route);
            let Some(known) = routes.get_mut(&route) else { continue };
            let waited = now.saturating_duration_since(attempt.started);
            if known.limit.is_some_and(|limit| waited > limit) {
                attempt.counted_slow = true;
                known.pair.new.timed += 1;
                known.pair.new.slow += 1;
            }
        }
    }

    /// All calls that have ended.
    pub fn evidence(&self) -> evidence::Evidence {
        let routes = self.routes.borrow();
        evidence::Evidence(routes.iter().map(|(r, known)| (r.clone(), known.pair)).collect())
    }

    /// Adds up the time of all calls under way.
    fn count_busy(&self, now: Instant) {
        let since = self.busy_until.replace(Some(now)).unwrap_or(now);
        let calls = self.attempts.borrow().len() as u32;
        self.busy.set(self.busy.get() + now.saturating_duration_since(since) * calls);
    }

    /// The calls that were under way on average since this was last asked.
    pub fn take_in_flight(&self, now: Instant) -> f64 {
        self.count_busy(now);
        let busy = self.busy.take();
        let since = self.busy_taken.replace(Some(now));
        let passed = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        match passed.is_zero() {
            true => 0.0,
            false => busy.as_secs_f64() / passed.as_secs_f64(),
        }
    }
}

/// The route itself, or the one that stands for the rest.
fn place(
    routes: &IndexMap<evidence::Route, RouteState>,
    route: &evidence::Route,
) -> evidence::Route {
    let full = routes.len() >= evidence::MAX_ROUTES && !routes.contains_key(route);
    if full {
        evidence::Route::other(route.at_most_once)
    } else {
        route.clone()
    }
}
