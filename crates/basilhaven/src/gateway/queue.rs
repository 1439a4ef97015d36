//! The waiting calls of one service, in the order in which they may search for an upstream.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{balancer, limit, notify, retries, room, route, shares};

/// The window over which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The waiting calls of one service, with its retry budget and the baseline latency of its routes.
#[derive(Debug)]
pub struct Queue {
    waiting: RefCell<Vec<Position>>,
    next_ticket: Cell<u64>,
    /// Notified when a call has ended at an upstream.
    pub(super) slot_freed: notify::Notifier,
    /// The calls that the rates of all eligible upstreams admit; `None` if one names no rate.
    pub(super) supply: Cell<Option<limit::Supply>>,
    /// When the first of the eligible upstreams wants calls again; `None` if one wants them now.
    pub(super) paused_until: Cell<Option<Instant>>,
    /// What is known of the room at the upstreams.
    pub room: room::Service,
    /// The organisations of the waiting calls.
    shares: shares::Shares,
    /// Budget for attempts beyond the first of each call.
    pub retries: retries::Budget,
    /// The times that callers of each route still wait, by route name.
    deadlines: RefCell<IndexMap<Rc<str>, room::Deadlines>>,
    /// Mean latency of each route's calls at an upstream of cost 1, in seconds, by route name.
    baselines: RefCell<IndexMap<Rc<str>, f64>>,
}

impl Queue {
    /// Returns the baseline of a route: the expected latency of its calls at an upstream of
    /// [cost](super::selection::cost) 1.
    pub fn baseline(&self, route: &route::Route) -> Duration {
        let known = self.baselines.borrow().get(&route.name).copied();
        let seconds = known.unwrap_or(route.latency_target.as_secs_f64() * INITIAL_BASELINE_SHARE);
        Duration::from_secs_f64(seconds)
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Records how long the caller of a route's call still waits; returns the time since its first
    /// attempt, if known.
    pub fn record_deadline(
        &self,
        route: &route::Route,
        remaining: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let mut deadlines = self.deadlines.borrow_mut();
        deadlines.entry(Rc::clone(&route.name)).or_default().record(remaining, now)
    }

    /// Updates a route's baseline with the latency of a call at an upstream of this cost.
    pub fn record_latency(&self, route: &route::Route, cost: f64, took: Duration) {
        let initial = route.latency_target.as_secs_f64() * INITIAL_BASELINE_SHARE;
        let mut baselines = self.baselines.borrow_mut();
        let mean = baselines.entry(Rc::clone(&route.name)).or_insert(initial);
        *mean += (took.as_secs_f64() / cost.max(1.0) - *mean) * BASELINE_WEIGHT;
    }
}

/// Baseline latency of a route before its first response, as a share of its latency target.
const INITIAL_BASELINE_SHARE: f64 = 0.3;

/// Weight of one call in the moving average of its route's baseline.
const BASELINE_WEIGHT: f64 = 0.03;

impl Default for Queue {
    fn default() -> Queue {
        Queue {
            waiting: RefCell::default(),
            next_ticket: Cell::default(),
            slot_freed: notify::Notifier::default(),
            supply: Cell::default(),
            paused_until: Cell::default(),
            room: room::Service::default(),
            shares: shares::Shares::default(),
            retries: retries::Budget::new(RETRY_WINDOW),
            deadlines: RefCell::default(),
            baselines: RefCell::default(),
        }
    }
}

/// Position of a waiting call in the queue.
#[derive(Debug, Clone)]
struct Position {
    priority: u32,
    account: Rc<shares::Account>,
    /// When the caller made its first attempt, as far as known.
    born: Instant,
    /// Increases in the order in which calls join the queue.
    number: u64,
    latest_on_time_start: Instant,
}

impl Position {
    /// Returns the sort key of the queue: calls that can still meet their target come first, since
    /// a late response is worth little and the slot that it takes makes the next call late as well.
    /// The calls of a starved priority come before all others. Within a priority the organisation
    /// that has used least comes first. A caller that returns after a refusal
    /// has the place that it would have if it had waited, however soon it returns.
    fn sort_key(&self, room: &room::Service, now: Instant) -> (bool, bool, u32, u64, Instant, u64) {
        let is_starved = room.is_starved(self.priority);
        let is_late = now > self.latest_on_time_start;
        let order = self.account.order();
        (!is_starved, is_late, self.priority, order, self.born, self.number)
    }
}

/// Keeps a waiting call in the queue; removes the call from the queue when dropped.
pub(super) struct Ticket<'a> {
    queue: &'a Queue,
    position: Position,
    is_placed: Cell<bool>,
}

impl<'a> Ticket<'a> {
    pub(super) fn new(queue: &'a Queue, requirements: &balancer::Requirements<'_>) -> Ticket<'a> {
        let number = queue.next_ticket.get();
        queue.next_ticket.set(number + 1);
        let latest_on_time_start = requirements.latest_on_time_start();
        let age = requirements.age.unwrap_or_default();
        let latest_on_time_start =
            latest_on_time_start.checked_sub(age).unwrap_or(latest_on_time_start);
        let now = Instant::now();
        let born = requirements.arrived_at.checked_sub(age).unwrap_or(requirements.arrived_at);
        let priority = requirements.priority;
        let account = queue.shares.join(priority, requirements.organisation.cloned());
        let position = Position { priority, account, born, number, latest_on_time_start };
        queue.waiting.borrow_mut().push(position.clone());
        queue.room.record_arrival(priority, now);
        metrics::gauge!("basilhaven_waiting_calls").increment(1.0);
        Ticket { queue, position, is_placed: Cell::new(false) }
    }

    /// Records that the call was placed at an upstream, where it takes about `work`.
    pub(super) fn mark_placed(&self, work: Duration) {
        self.position.account.charge(work);
        self.is_placed.set(true);
    }

    /// Returns the number of calls that are ahead of this one in the queue.
    pub(super) fn ahead(&self, now: Instant) -> usize {
        let room = &self.queue.room;
        let own = self.position.sort_key(room, now);
        let waiting = self.queue.waiting.borrow();
        waiting.iter().filter(|position| position.sort_key(room, now) < own).count()
    }

    /// Decides what the call does next, by what is known of the room at the upstreams, with `ahead`
    /// calls ahead of it.
    pub(super) fn decide(
        &self,
        requirements: &balancer::Requirements<'_>,
        ahead: usize,
        now: Instant,
    ) -> room::Decision {
        let call = room::Call {
            priority: self.position.priority,
            latest_on_time_start: self.position.latest_on_time_start,
            queue_until: requirements.queue_until,
            deadline: requirements.deadline,
            ahead,
            is_age_known: requirements.age.is_some(),
        };
        self.queue.room.decide(&call, now)
    }

    /// Returns an error if no upstream wants calls of this host until `queue_until`.
    pub(super) fn check_pauses(
        &self,
        queue_until: Instant,
        now: Instant,
    ) -> Result<(), balancer::Refusal> {
        match self.queue.paused_until.get() {
            Some(end) if end > queue_until => {
                Err(balancer::Refusal::Paused { retry_after: end.saturating_duration_since(now) })
            }
            _ => Ok(()),
        }
    }

    /// Returns an error if the rates of the upstreams do not admit this call until `queue_until`.
    pub(super) fn check_supply(
        &self,
        queue_until: Instant,
        now: Instant,
    ) -> Result<(), balancer::Refusal> {
        let Some(supply) = self.queue.supply.get() else { return Ok(()) };
        let left = queue_until.saturating_duration_since(now);
        supply
            .check(self.ahead(now), left)
            .map_err(|retry_after| balancer::Refusal::RateLimited { retry_after })
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        metrics::gauge!("basilhaven_waiting_calls").decrement(1.0);
        let Position { number, priority, .. } = self.position;
        self.queue.room.record_departure(priority, self.is_placed.get(), Instant::now());
        self.queue.shares.leave(&self.position.account);
        self.queue.waiting.borrow_mut().retain(|position| position.number != number);
    }
}
