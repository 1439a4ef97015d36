//! Finds an upstream for a call: asks some for their load, waits where none has room.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{cluster, moves, probe, registry, retries, route, selection, upstream};

/// Upstreams that are asked for their load for one call.
const PROBES: usize = 6;

/// Upstreams of a service to which a host sends its calls while one of them takes them; with fewer, hosts
/// that get more calls than others find their upstreams full.
const SUBSET: usize = 32;

/// Looks after which a call looks among all upstreams; each look doubles the number.
const MAX_DOUBLINGS: u32 = 8;

/// Load reports younger than this serve another call without a new probe.
const FRESH: Duration = Duration::from_millis(3);

/// How long the answers to probes are waited for.
const PROBE_WAIT: Duration = Duration::from_millis(25);

/// How long a call waits until it asks for loads again, when no upstream had room.
const RETRY_PAUSE: Duration = Duration::from_millis(8);

/// Waiting calls of one service that may look for an upstream at the same time.
const LOOKING: usize = 2;

/// The window over which repeated sends are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// What a call needs of an upstream.
#[derive(Debug, Clone)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a Rc<str>,
    /// The route's rank; 0 is the most urgent.
    pub priority: u32,
    /// Ids of upstreams that have been tried.
    pub tried: &'a [Rc<str>],
    /// When the call can no longer be served.
    pub queue_until: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// When its route's target passes.
    pub target_at: Instant,
    /// How long such a call takes at an upstream that is idle and as fast as usual.
    pub baseline: Duration,
}

impl Requirements<'_> {
    /// When the call can no longer be served within its route's target.
    fn on_time_until(&self) -> Instant {
        self.target_at.checked_sub(self.baseline.mul_f64(BEST_COST)).unwrap_or(self.target_at)
    }

    /// Whether an upstream of this cost is to be taken: one that makes the call late only when no other
    /// can make it early any more, and none that can't answer before the caller has left.
    pub fn accepts(&self, cost: f64, now: Instant) -> bool {
        let answer_at = now + self.baseline.mul_f64(cost);
        let is_late = now > self.on_time_until();
        answer_at <= self.target_at || is_late && answer_at <= self.deadline
    }
}

/// The cost of an upstream that is idle and as fast as usual, nearly.
const BEST_COST: f64 = 1.3;

/// Why no upstream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// None may take calls of this service.
    #[display("no-upstream")]
    NoUpstream,
    /// None had room in time.
    #[display("no-room")]
    NoCapacity,
}

/// A place at an upstream, given back when it is dropped.
#[derive(Debug)]
pub struct Permit {
    /// The upstream.
    pub upstream: Rc<upstream::Upstream>,
    /// The cost by which it was chosen.
    pub cost: f64,
    /// Upstreams that might have taken the call.
    pub candidates: usize,
    /// How old the load report was.
    pub report_age: Duration,
    placed: Instant,
    queue: Rc<Queue>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.upstream.end_call(self.placed);
        self.queue.freed.notify();
    }
}

/// Calls of one service that wait, and what was spent on sending calls again.
#[derive(Debug)]
pub struct Queue {
    waiting: RefCell<Vec<Position>>,
    next_ticket: Cell<u64>,
    freed: super::notify::Notifier,
    /// Sends beyond the first.
    pub retries: retries::Budget,
    /// How long calls of each route take at an upstream of cost 1, in seconds.
    usual: RefCell<IndexMap<Rc<str>, f64>>,
}

impl Queue {
    /// How long a call of a route takes at an upstream that is idle and as fast as usual.
    pub fn baseline(&self, route: &route::Route) -> Duration {
        let known = self.usual.borrow().get(&route.name).copied();
        let seconds = known.unwrap_or(route.latency_target.as_secs_f64() * FIRST_USUAL_SHARE);
        Duration::from_secs_f64(seconds)
    }

    /// Takes in how long a call took at an upstream of some cost.
    pub fn record_latency(&self, route: &route::Route, cost: f64, took: Duration) {
        let first = route.latency_target.as_secs_f64() * FIRST_USUAL_SHARE;
        let mut usual = self.usual.borrow_mut();
        let mean = usual.entry(Rc::clone(&route.name)).or_insert(first);
        *mean += (took.as_secs_f64() / cost.max(1.0) - *mean) * USUAL_WEIGHT;
    }
}

/// The part of a route's target that its calls are taken to need before any was answered.
const FIRST_USUAL_SHARE: f64 = 0.3;

/// The weight of one call in what is usual for its route.
const USUAL_WEIGHT: f64 = 0.03;

impl Default for Queue {
    fn default() -> Queue {
        Queue {
            waiting: RefCell::default(),
            next_ticket: Cell::default(),
            freed: super::notify::Notifier::default(),
            retries: retries::Budget::new(RETRY_WINDOW),
            usual: RefCell::default(),
        }
    }
}

/// Where a waiting call stands.
#[derive(Debug, Clone, Copy)]
struct Position {
    rank: u32,
    number: u64,
    on_time_until: Instant,
}

impl Position {
    /// The order in which calls are placed: those that can still be in time first, since a late answer
    /// is worth little and a slot that it takes makes the next one late as well.
    fn order(&self, now: Instant) -> (bool, u32, u64) {
        (now > self.on_time_until, self.rank, self.number)
    }
}

/// A waiting call's place among those that wait.
struct Ticket<'a> {
    queue: &'a Queue,
    place: Position,
}

impl<'a> Ticket<'a> {
    fn new(queue: &'a Queue, need: &Requirements<'_>) -> Ticket<'a> {
        let number = queue.next_ticket.get();
        queue.next_ticket.set(number + 1);
        let on_time_until = need.on_time_until();
        let place = Position { rank: need.priority, number, on_time_until };
        queue.waiting.borrow_mut().push(place);
        Ticket { queue, place }
    }

    /// Whether few enough calls come before this one.
    fn may_look(&self, now: Instant) -> bool {
        let own = self.place.order(now);
        let waiting = self.queue.waiting.borrow();
        waiting.iter().filter(|place| place.order(now) < own).count() < LOOKING
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        let number = self.place.number;
        self.queue.waiting.borrow_mut().retain(|place| place.number != number);
    }
}

/// Places calls.
#[derive(Debug)]
pub struct Balancer {
    data_centre: Rc<str>,
    registry: Rc<registry::Registry>,
    members: Rc<cluster::Members>,
    /// The moves between versions.
    pub moves: Rc<moves::Moves>,
    prober: Rc<probe::Prober>,
    queues: RefCell<IndexMap<Rc<str>, Rc<Queue>>>,
}

impl Balancer {
    /// A placer for a host of `data_centre`.
    pub fn new(
        data_centre: Rc<str>,
        registry: Rc<registry::Registry>,
        members: Rc<cluster::Members>,
        moves: Rc<moves::Moves>,
        prober: Rc<probe::Prober>,
    ) -> Balancer {
        let queues = RefCell::default();
        Balancer { data_centre, registry, members, moves, prober, queues }
    }

    /// The queue of a service.
    pub fn queue(&self, service: &Rc<str>) -> Rc<Queue> {
        Rc::clone(self.queues.borrow_mut().entry(Rc::clone(service)).or_default())
    }

    /// An upstream that takes the call now.
    ///
    /// # Errors
    ///
    /// There is none, or none has room before the call can no longer be served.
    pub async fn acquire(
        &self,
        need: &Requirements<'_>,
        service: &route::Service,
    ) -> Result<Permit, Refusal> {
        let queue = self.queue(need.service);
        let ticket = Ticket::new(&queue, need);
        let mut looks = 0;
        loop {
            let freed = queue.freed.count();
            if ticket.may_look(Instant::now()) {
                let among = SUBSET << looks.min(MAX_DOUBLINGS);
                looks += 1;
                match self.look(need, service, &queue, among).await {
                    Ok(lease) => return Ok(lease),
                    // Nothing is gained by waiting for an upstream that is not there.
                    Err(Refusal::NoUpstream) => return Err(Refusal::NoUpstream),
                    Err(Refusal::NoCapacity) => {}
                }
            }
            let now = Instant::now();
            if now >= need.queue_until {
                return Err(Refusal::NoCapacity);
            }
            let pause = RETRY_PAUSE.min(need.queue_until - now);
            queue.freed.wait_timeout(freed, pause).await;
        }
    }

    /// Asks some of `among` upstreams for their load and takes the best that has room.
    async fn look(
        &self,
        need: &Requirements<'_>,
        service: &route::Service,
        queue: &Rc<Queue>,
        among: usize,
    ) -> Result<Permit, Refusal> {
        let all = self.registry.upstreams_of(need.service);
        let now = Instant::now();
        let open: Vec<_> = all.iter().filter(|u| self.registry.is_eligible(u, now)).collect();
        let share = self.members.budget_share(now);
        open.iter().for_each(|u| u.warmup.set_rate(service.cold_rate, share));
        let open = self.moves.choose_version(need.service, open, now);
        let open = self.registry.prefer_healthy(open, now);
        if open.is_empty() {
            return Err(Refusal::NoUpstream);
        }
        let fresh: Vec<_> = open.iter().copied().filter(|u| !need.tried.contains(&u.id)).collect();
        let open = if fresh.is_empty() { open } else { fresh };
        let admitted: Vec<_> = open.into_iter().filter(|u| u.warmup.admits(now)).collect();
        let admitted = selection::subset(
            admitted,
            self.members.ring_point(now),
            &self.data_centre,
            among,
            now,
        );
        let asked = selection::sample(&admitted, PROBES, now);
        self.ask(&asked, service).await;
        let now = Instant::now();
        let able: Vec<_> = asked
            .into_iter()
            .filter(|u| u.warmup.admits(now) && self.registry.is_eligible(u, now))
            .collect();
        let able = self.registry.prefer_healthy(able, now);
        let candidates = able.len();
        let (chosen, cost) =
            selection::cheapest(&able, &self.data_centre, now).ok_or(Refusal::NoCapacity)?;
        if !need.accepts(cost, now) {
            return Err(Refusal::NoCapacity);
        }
        chosen.begin_call();
        chosen.warmup.record_call(now);
        Ok(Permit {
            upstream: Rc::clone(chosen),
            cost,
            candidates,
            placed: now,
            report_age: chosen.report().map_or(Duration::MAX, |r| now - r.received_at),
            queue: Rc::clone(queue),
        })
    }

    /// Asks upstreams for their load, where what is known is not fresh, and waits for the answers.
    async fn ask(&self, asked: &[&Rc<upstream::Upstream>], service: &route::Service) {
        let now = Instant::now();
        let is_fresh =
            |u: &upstream::Upstream| u.report().is_some_and(|r| now - r.received_at <= FRESH);
        let mut pending: Vec<(&Rc<upstream::Upstream>, u64)> = Vec::with_capacity(asked.len());
        for &upstream in asked.iter().filter(|u| !is_fresh(u)) {
            let seen = upstream.probe_ended.count();
            if self.prober.start(upstream, &service.health_path) {
                pending.push((upstream, seen));
            }
        }
        let answered = async {
            for (upstream, seen) in &pending {
                upstream.probe_ended.wait(*seen).await;
            }
        };
        // What has not answered by then is judged by what is known.
        let _ = monoio::time::timeout(PROBE_WAIT, answered).await;
    }
}
