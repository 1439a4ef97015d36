//! Decides whether a waiting call may search for an upstream now, has to leave the free slots to
//! others, or is refused.
//!
//! The load that this answers: for seconds at a time, calls of several priorities arrive at many
//! hosts at a higher rate than the upstreams of their service can run. Each host sees only its own
//! calls, so the decision rests on what all hosts have in common: the share of free slots that the
//! upstreams report.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Age up to which a load report counts towards the free share. A report counts less the older it
/// is, since calls last a few hundred milliseconds.
const MAX_REPORT_AGE: Duration = Duration::from_millis(300);

/// The least number of recent reports from which a free share is computed, unless the service has
/// fewer upstreams.
const MIN_REPORTS: usize = 4;

/// How often the free share is computed at most.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(5);

/// Age of the newest report from which new ones are requested while calls are held back.
const STALE_REPORT_AGE: Duration = Duration::from_millis(100);

/// Free share up to which late calls are held back. Hosts that search for the same slots leave some
/// of them free for short times even when all calls together exceed the capacity.
const LATE_RESERVE: f64 = 0.12;

/// How long room must have been scarce before a call is refused for it, so that a chance run of
/// busy reports refuses nobody.
const MIN_SCARCITY: Duration = Duration::from_millis(200);

/// How long a call that is held back waits before it is decided on again.
const HOLD_INTERVAL: Duration = Duration::from_millis(16);

/// Time constant of the rates at which calls end.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Reserves of timely calls by rank: the free share up to which they are held back for the more
/// urgent calls of all hosts. The highest priority among the recent calls of a service has rank 0.
const RANK_RESERVES: [f64; 3] = [0.0, 0.03, 0.06];

/// How long a priority is counted among those of a service after a call, and the time constant of
/// the counts of its calls.
const KIND_WINDOW: Duration = Duration::from_secs(5);

/// The least share of a priority's calls that is placed, as a part of the share of all calls. A
/// quarter is required; the rest allows for chance, as a host sees only a few calls.
const MIN_PLACED_PART: f64 = 0.35;

/// Calls of a priority within the window from which its share is computed.
const MIN_KIND_CALLS: f64 = 3.0;

/// Calls that must have ended within the window for their rate to be known.
const MIN_ENDED: f64 = 3.0;

/// Time constant of the counts of sends and sheds.
const SHED_WINDOW: Duration = Duration::from_secs(5);

/// Sends within the window from which the shed share is computed.
const MIN_SENDS: f64 = 10.0;

/// The part of a caller's remaining time up to which callers honour `Retry-After`.
const HONOURED_SHARE: u32 = 3;

/// The part of the time until a retry over which retries are spread.
const RETRY_SPREAD: f64 = 0.5;

/// The least time after which a refused caller is told to retry, before the spread. A caller that
/// has too little time for it is told a third of its time.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// What an upstream has reported, updated by the calls that this host has sent since.
#[derive(Debug, Clone, Copy)]
pub struct Report {
    /// The calls that the upstream can run at the same time.
    pub slots: u32,
    /// The calls that it runs or has queued.
    pub occupancy: u32,
    /// The time since the report was received.
    pub age: Duration,
}

/// A call that waits for an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// The latest time at which the call can start and still meet its latency target, counted from
    /// the caller's first attempt as far as that is known.
    pub latest_on_time_start: Instant,
    /// Priority of the call; 0 is the highest.
    pub priority: u32,
    /// When the call stops waiting, because an attempt that starts later could not be answered
    /// before the deadline.
    pub queue_until: Instant,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
    /// Calls of this host that are ahead of this one.
    pub ahead: usize,
    /// Whether hosts recognise a caller that returns after a refusal; see [`Deadlines`].
    pub is_age_known: bool,
}

/// What a waiting call does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may search for an upstream.
    Search,
    /// It leaves the free slots to more urgent calls of all hosts, and is decided on again after
    /// this time.
    Wait(Duration),
    /// Neither a timely answer nor idle room is to be expected before its deadline.
    Refuse {
        /// When the caller should retry.
        retry_after: Duration,
    },
}

/// Counts events with exponential decay.
#[derive(Debug)]
struct Decayed {
    time_constant: Duration,
    state: Cell<Option<(f64, Instant)>>,
}

impl Decayed {
    fn new(time_constant: Duration) -> Decayed {
        Decayed { time_constant, state: Cell::default() }
    }

    fn value(&self, now: Instant) -> f64 {
        let Some((count, at)) = self.state.get() else { return 0.0 };
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        count * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }

    fn increment(&self, now: Instant) {
        self.state.set(Some((self.value(now) + 1.0, now)));
    }
}

/// The recent calls of one priority on this host.
#[derive(Debug)]
struct Kind {
    arrived_at: Instant,
    placed: Decayed,
    /// Calls that have left the queue without an upstream.
    unplaced: Decayed,
}

impl Kind {
    fn new(now: Instant) -> Kind {
        let counter = || Decayed::new(KIND_WINDOW);
        Kind { arrived_at: now, placed: counter(), unplaced: counter() }
    }
}

/// Number of distinct remaining times that are counted for a route.
const DEADLINES_COUNTED: usize = 8;

/// Tolerance for callers that compute the time that is left from a clock.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(10);

/// How long a caller's return is remembered as a sign that callers of the route send the time that
/// they have left.
const RETURN_RETENTION: Duration = Duration::from_secs(60);

/// Tells the age of a route's calls from the time that their callers still wait.
///
/// Callers that return after a refusal look new to another host, but send a shorter remaining time
/// than with their first attempt. The usual time of a first attempt is the value that is received
/// most often, since the remaining times of later attempts differ; a few callers with a longer or
/// shorter time of their own do not change it.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use basilhaven::gateway::room;
///
/// let deadlines = room::Deadlines::default();
/// let (ms, now) = (Duration::from_millis, Instant::now());
/// (0..20).for_each(|_| assert_eq!(deadlines.record(ms(2000), now), None));
/// assert_eq!(deadlines.record(ms(1400), now), Some(ms(600)));
/// assert_eq!(deadlines.record(ms(2000), now), Some(ms(0)));
/// ```
#[derive(Debug, Default)]
pub struct Deadlines {
    /// Frequent values with their counts, by the algorithm of Misra and Gries.
    counts: RefCell<IndexMap<Duration, u32>>,
    returned_at: Cell<Option<Instant>>,
}

impl Deadlines {
    /// Records the time that a caller still waits; returns the time since its first attempt, or
    /// `None` if the route's callers do not show it.
    pub fn record(&self, remaining: Duration, now: Instant) -> Option<Duration> {
        let usual = {
            let mut counts = self.counts.borrow_mut();
            if counts.len() < DEADLINES_COUNTED || counts.contains_key(&remaining) {
                let count = counts.entry(remaining).or_insert(0);
                *count = count.saturating_add(1);
            } else {
                counts.retain(|_, count| {
                    *count -= 1;
                    *count > 0
                });
            }
            let most = counts.iter().max_by_key(|(_, count)| **count);
            most.map_or(remaining, |(usual, _)| *usual)
        };
        let age = usual.saturating_sub(remaining);
        if age > DEADLINE_TOLERANCE {
            self.returned_at.set(Some(now));
        }
        let returned_at = self.returned_at.get()?;
        (now.saturating_duration_since(returned_at) < RETURN_RETENTION).then_some(age)
    }
}

/// The free share as of a time.
#[derive(Debug, Clone, Copy)]
struct Observation {
    free_share: Option<f64>,
    newest_report_age: Duration,
    at: Instant,
}

/// What this host knows of the room at the upstreams of one service.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use basilhaven::gateway::room;
///
/// let service = room::Service::default();
/// let now = Instant::now();
/// let full = room::Report { slots: 3, occupancy: 3, age: Duration::ZERO };
/// let late = room::Call {
///     latest_on_time_start: now - Duration::from_millis(1),
///     priority: 0,
///     queue_until: now + Duration::from_millis(700),
///     deadline: now + Duration::from_millis(800),
///     ahead: 0,
///     is_age_known: true,
/// };
/// assert_eq!(service.decide(&late, now), room::Decision::Search, "nothing is known");
/// service.observe([full; 4], 10, now);
/// assert!(matches!(service.decide(&late, now), room::Decision::Wait(_)));
/// ```
#[derive(Debug)]
pub struct Service {
    observation: Cell<Option<Observation>>,
    /// Since when there has been no idle room; `None` if there is some or nothing is known.
    scarce_since: Cell<Option<Instant>>,
    /// Calls of this host that have ended.
    ended: Decayed,
    /// Recent sends of this host, and those that upstreams shed.
    sends: Decayed,
    sheds: Decayed,
    /// The recent calls by priority.
    kinds: RefCell<BTreeMap<u32, Kind>>,
    /// The starved priorities as of the last observation.
    starved: RefCell<Vec<u32>>,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            observation: Cell::default(),
            scarce_since: Cell::default(),
            ended: Decayed::new(RATE_WINDOW),
            sends: Decayed::new(SHED_WINDOW),
            sheds: Decayed::new(SHED_WINDOW),
            kinds: RefCell::default(),
            starved: RefCell::default(),
        }
    }
}

impl Service {
    /// Returns whether the free share should be computed again.
    pub fn is_due(&self, now: Instant) -> bool {
        self.observation
            .get()
            .is_none_or(|seen| now.saturating_duration_since(seen.at) >= OBSERVATION_INTERVAL)
    }

    /// Computes the free share from the newest reports of the service's upstreams, of which there
    /// are `upstream_count`.
    pub fn observe(
        &self,
        reports: impl IntoIterator<Item = Report>,
        upstream_count: usize,
        now: Instant,
    ) {
        let (mut free, mut slots, mut count) = (0.0, 0.0, 0);
        let mut newest_report_age = Duration::MAX;
        for report in reports {
            newest_report_age = newest_report_age.min(report.age);
            if report.age >= MAX_REPORT_AGE {
                continue;
            }
            let weight = 1.0 - report.age.as_secs_f64() / MAX_REPORT_AGE.as_secs_f64();
            free += weight * f64::from(report.slots.saturating_sub(report.occupancy));
            slots += weight * f64::from(report.slots);
            count += 1;
        }
        let is_known = slots > 0.0 && count >= MIN_REPORTS.min(upstream_count);
        let free_share = is_known.then(|| free / slots);
        self.observation.set(Some(Observation { free_share, newest_report_age, at: now }));
        *self.starved.borrow_mut() = self.starved_priorities(now);
        let is_scarce = free_share.is_some_and(|share| share <= LATE_RESERVE);
        let since = self.scarce_since.get().unwrap_or(now);
        self.scarce_since.set(is_scarce.then_some(since));
    }

    /// Records that a call of this host has ended at an upstream.
    pub fn record_end(&self, now: Instant) {
        self.ended.increment(now);
    }

    /// Records that a call was sent, and whether the upstream shed it.
    pub fn record_send(&self, is_shed: bool, now: Instant) {
        self.sends.increment(now);
        if is_shed {
            self.sheds.increment(now);
        }
    }

    /// Returns the share of this host's sends that the upstreams shed; 0 if too few are known.
    pub fn shed_share(&self, now: Instant) -> f64 {
        let sends = self.sends.value(now);
        if sends >= MIN_SENDS {
            self.sheds.value(now) / sends
        } else {
            0.0
        }
    }

    /// Records that a call of this priority has begun to wait.
    pub fn record_arrival(&self, priority: u32, now: Instant) {
        let mut kinds = self.kinds.borrow_mut();
        kinds.retain(|_, kind| now.saturating_duration_since(kind.arrived_at) < KIND_WINDOW);
        kinds.entry(priority).or_insert_with(|| Kind::new(now)).arrived_at = now;
    }

    /// Records whether a call of this priority that has waited was placed at an upstream.
    pub fn record_departure(&self, priority: u32, is_placed: bool, now: Instant) {
        if let Some(kind) = self.kinds.borrow().get(&priority) {
            if is_placed { &kind.placed } else { &kind.unplaced }.increment(now);
        }
    }

    /// Returns whether the calls of a priority are placed so much less often than all calls that
    /// they go before the others.
    pub fn is_starved(&self, priority: u32) -> bool {
        self.starved.borrow().contains(&priority)
    }

    /// Returns the priorities whose calls are placed too seldom.
    fn starved_priorities(&self, now: Instant) -> Vec<u32> {
        let kinds = self.kinds.borrow();
        let counts: Vec<(u32, f64, f64)> = kinds
            .iter()
            .map(|(&priority, kind)| (priority, kind.placed.value(now), kind.unplaced.value(now)))
            .collect();
        let all_placed: f64 = counts.iter().map(|(_, placed, _)| placed).sum();
        let all: f64 = counts.iter().map(|(_, placed, unplaced)| placed + unplaced).sum();
        let is_starved = |&&(_, placed, unplaced): &&(u32, f64, f64)| {
            let own = placed + unplaced;
            own >= MIN_KIND_CALLS && placed / own < MIN_PLACED_PART * all_placed / all
        };
        counts.iter().filter(is_starved).map(|&(priority, ..)| priority).collect()
    }

    /// Returns the rank of a priority among those of the service's recent calls; 0 is the highest.
    pub fn rank(&self, priority: u32, now: Instant) -> usize {
        let is_recent = |kind: &Kind| now.saturating_duration_since(kind.arrived_at) < KIND_WINDOW;
        self.kinds.borrow().range(..priority).filter(|(_, kind)| is_recent(kind)).count()
    }

    /// Returns the free share up to which timely calls of a priority are held back.
    fn reserve(&self, priority: u32, now: Instant) -> f64 {
        RANK_RESERVES[self.rank(priority, now).min(RANK_RESERVES.len() - 1)]
    }

    /// Returns the share of the slots that are free, as recent load reports show it; `None` without
    /// enough recent reports.
    pub fn free_share(&self, now: Instant) -> Option<f64> {
        let seen = self.observation.get()?;
        let is_recent = now.saturating_duration_since(seen.at) < MAX_REPORT_AGE;
        seen.free_share.filter(|_| is_recent)
    }

    /// Returns whether load reports should be requested for calls that are held back and thus do not
    /// request any themselves.
    pub fn needs_reports(&self) -> bool {
        self.observation.get().is_none_or(|seen| seen.newest_report_age >= STALE_REPORT_AGE)
    }

    /// Returns how long this host needs to place `ahead` calls while no room is idle; `None` if that
    /// is unknown. A call that is shed is sent once more.
    fn backlog(&self, ahead: usize, now: Instant) -> Option<Duration> {
        let ended = self.ended.value(now);
        let per_call = RATE_WINDOW.as_secs_f64() / ended * (1.0 + self.shed_share(now));
        (ended >= MIN_ENDED).then(|| Duration::from_secs_f64(per_call * ahead as f64))
    }

    /// Returns how long room has been scarce; `None` if there is idle room or nothing is known.
    fn scarcity(&self, now: Instant) -> Option<Duration> {
        self.free_share(now)?;
        self.scarce_since.get().map(|since| now.saturating_duration_since(since))
    }

    /// Returns when the caller of a refused call with `ahead` calls ahead of it should retry, if it
    /// waits for another `left`.
    ///
    /// The time is that until there will probably be room: scarcity is expected to last as long
    /// again as it has lasted, and the calls ahead go first. It is no longer than callers honour,
    /// and spread, so that callers that are refused together do not return together.
    pub fn retry_after(&self, ahead: usize, left: Duration, now: Instant) -> Duration {
        let Some(scarcity) = self.scarcity(now) else { return MIN_RETRY_AFTER };
        let until_room = scarcity.max(self.backlog(ahead, now).unwrap_or_default());
        let longest = until_room.max(MIN_RETRY_AFTER).min(left / HONOURED_SHARE);
        longest.mul_f64(1.0 - RETRY_SPREAD * fastrand::f64())
    }

    /// Decides what a waiting call does next.
    ///
    /// A call that can still be in time searches in its turn while more slots are free than are
    /// reserved for higher priorities; one of a starved priority always does.
    ///
    /// One that cannot be in time takes a slot only while room is idle: a late response is worth
    /// little, and the slot would make a timely call of another host late. It is refused once there
    /// has been no idle room for as long as it could still wait, since none is to be expected before
    /// its deadline then. Where callers that return can't be told from new ones, it waits to the end
    /// instead: they would take the slots of calls that can still be in time.
    pub fn decide(&self, call: &Call, now: Instant) -> Decision {
        let Some(scarcity) = self.scarcity(now) else { return Decision::Search };
        if self.is_starved(call.priority) {
            return Decision::Search;
        }
        let backlog = self.backlog(call.ahead, now).unwrap_or_default();
        if now + backlog <= call.latest_on_time_start {
            let reserve = self.reserve(call.priority, now);
            let is_held = reserve > 0.0 && self.free_share(now).is_some_and(|free| free <= reserve);
            return if is_held { Decision::Wait(HOLD_INTERVAL) } else { Decision::Search };
        }
        let left = call.queue_until.saturating_duration_since(now);
        if !call.is_age_known || scarcity < left.max(MIN_SCARCITY) {
            return Decision::Wait(HOLD_INTERVAL.min(left));
        }
        let left = call.deadline.saturating_duration_since(now);
        let retry_after = self.retry_after(call.ahead, left, now);
        Decision::Refuse { retry_after }
    }
}
