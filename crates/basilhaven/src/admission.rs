//! Admission: the queue of calls that wait for an upstream, ordered by class and deadline, and the
//! capacity reserved for paying callers.
//!
//! A caller belongs to one of two classes, paying or free. A paying call is a call of a paying
//! caller, and a free call is a call of a free one.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use local_sync::oneshot;

use crate::{call, config, name, profile};

/// Maximum number of recent intervals between two assignments from which the expected wait is
/// estimated.
const MAX_INTERVALS: usize = 32;

/// Calls that wait for an upstream: paying calls first, then by deadline within a class.
///
/// A call that stops waiting for any reason is removed from the queue immediately, so every entry
/// belongs to a caller that is still waiting.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: Rc<RefCell<Lanes<T>>>,
    next_arrival: u64,
    intervals: Intervals,
}

/// The order within a lane: by deadline, then by arrival.
type Key = (Instant, u64);

#[derive(Debug)]
struct Lanes<T> {
    paying: BTreeMap<Key, Entry<T>>,
    free: BTreeMap<Key, Entry<T>>,
}

/// What a waiting call requires of the upstream that it is assigned to.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Whether the call may be run more than once.
    pub idempotency: profile::Idempotency,
    /// Upstreams that have been tried by earlier attempts of the call.
    pub tried_upstreams: Vec<name::Name>,
}

/// Identifies a call that waits in the queue, with what is needed to select an upstream for it.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// The class of the call.
    pub class: config::Class,
    /// What the call requires of an upstream.
    pub requirements: Requirements,
    key: Key,
}

#[derive(Debug)]
struct Entry<T> {
    requirements: Requirements,
    sender: oneshot::Sender<T>,
}

impl<T> Lanes<T> {
    fn lane(&mut self, class: config::Class) -> &mut BTreeMap<Key, Entry<T>> {
        match class {
            config::Class::Paying => &mut self.paying,
            config::Class::Free => &mut self.free,
        }
    }

    fn len(&self) -> usize {
        self.paying.len() + self.free.len()
    }
}

/// A waiting call's handle to its queue entry: a future that resolves to the value assigned
/// to the call. Dropping it removes the entry.
#[derive(Debug)]
pub struct Ticket<T> {
    receiver: oneshot::Receiver<T>,
    lanes: Rc<RefCell<Lanes<T>>>,
    class: config::Class,
    key: Key,
}

/// The waiting call was removed from the queue: a paying call took its position, or its deadline
/// passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("displaced by a paying call")]
pub struct Displaced;

impl<T> Future for Ticket<T> {
    type Output = Result<T, Displaced>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.receiver).poll(context).map_err(|_| Displaced)
    }
}

impl<T> Drop for Ticket<T> {
    fn drop(&mut self) {
        let entry = self.lanes.borrow_mut().lane(self.class).remove(&self.key);
        // The sender is dropped here, after the mutable borrow of the lanes has ended.
        drop(entry);
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        let lanes = Lanes { paying: BTreeMap::new(), free: BTreeMap::new() };
        Queue {
            lanes: Rc::new(RefCell::new(lanes)),
            next_arrival: 0,
            intervals: Intervals::default(),
        }
    }
}

impl<T> Queue<T> {
    /// Returns the number of waiting calls of both classes.
    pub fn len(&self) -> usize {
        self.lanes.borrow().len()
    }

    /// Returns `true` if no call waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns `true` if a call of this class would have to wait behind another call.
    pub fn has_waiters_ahead_of(&self, class: config::Class) -> bool {
        match class {
            config::Class::Paying => !self.lanes.borrow().paying.is_empty(),
            config::Class::Free => !self.is_empty(),
        }
    }

    /// Enqueues a call.
    ///
    /// If the queue is full, a paying call displaces the free call that is last in order. Earlier
    /// attempts of the call have tried the upstreams in `tried_upstreams`.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue has no room for the call's class, or, for a free call, if the
    /// expected wait is longer than the profile's limit or the call's remaining time.
    pub fn push(
        &mut self,
        call: &call::Call,
        tried_upstreams: &[name::Name],
        profile: &profile::Profile,
    ) -> Result<Ticket<T>, call::Refusal> {
        let refusal = call::Refusal::not_run(call::Reason::QueueFull);
        self.remove_expired();
        let expected = self.expected_wait();
        let mut lanes = self.lanes.borrow_mut();
        let is_full = lanes.len() >= profile.queue_len;
        match call.class {
            config::Class::Free => {
                let free_len = profile.queue_len * usize::from(profile.free_queue_percent) / 100;
                let is_too_slow = expected > profile.free_wait.min(call.remaining());
                if is_full || lanes.free.len() >= free_len || is_too_slow {
                    return Err(refusal);
                }
            }
            config::Class::Paying if is_full && lanes.free.pop_last().is_none() => {
                return Err(refusal);
            }
            config::Class::Paying => {}
        }
        let (sender, receiver) = oneshot::channel();
        let key = (call.deadline, self.next_arrival);
        let requirements = Requirements {
            idempotency: call.idempotency,
            tried_upstreams: tried_upstreams.to_vec(),
        };
        self.next_arrival += 1;
        lanes.lane(call.class).insert(key, Entry { requirements, sender });
        drop(lanes);
        Ok(Ticket { receiver, lanes: Rc::clone(&self.lanes), class: call.class, key })
    }

    /// Returns the next call in order after skipping `skipped` calls, and removes calls whose
    /// deadline has passed.
    pub fn next(&mut self, skipped: usize) -> Option<Waiter> {
        self.remove_expired();
        let lanes = self.lanes.borrow();
        let waiter_at = |class, lane: &BTreeMap<Key, Entry<T>>, index| {
            let (key, entry) = lane.iter().nth(index)?;
            Some(Waiter { class, requirements: entry.requirements.clone(), key: *key })
        };
        match skipped.checked_sub(lanes.paying.len()) {
            None => waiter_at(config::Class::Paying, &lanes.paying, skipped),
            Some(skipped) => waiter_at(config::Class::Free, &lanes.free, skipped),
        }
    }

    /// Hands `value` over to a waiting call, or returns it if that call no longer waits.
    pub fn hand_over(&mut self, waiter: &Waiter, value: T) -> Option<T> {
        let entry = self.lanes.borrow_mut().lane(waiter.class).remove(&waiter.key);
        let Some(entry) = entry else { return Some(value) };
        self.intervals.record_assignment(!self.is_empty());
        entry.sender.send(value).err()
    }

    /// Returns the expected wait of a call at the end of the queue.
    pub fn expected_wait(&self) -> Duration {
        self.intervals.mean().mul_f64(self.len() as f64)
    }

    /// Removes calls whose deadline has passed. Each lane is ordered by deadline, so they are at
    /// its front.
    fn remove_expired(&mut self) {
        let now = Instant::now();
        let mut lanes = self.lanes.borrow_mut();
        for class in [config::Class::Paying, config::Class::Free] {
            while let Some(first) = lanes.lane(class).first_entry() {
                if first.key().0 > now {
                    break;
                }
                first.remove();
            }
        }
    }
}

/// Recent intervals between two assignments of calls to upstreams, measured while calls were
/// waiting.
#[derive(Debug, Default)]
struct Intervals {
    recent: VecDeque<Duration>,
    /// The time of the last assignment, if other calls were still waiting after it.
    last_assignment: Option<Instant>,
}

impl Intervals {
    /// Returns the mean interval, leaving out the longest one: a single pause of the process says
    /// nothing about the rate of assignments. Returns zero until there are two intervals.
    fn mean(&self) -> Duration {
        let others = self.recent.len().saturating_sub(1) as u32;
        let longest = self.recent.iter().max().copied().unwrap_or_default();
        let sum = self.recent.iter().sum::<Duration>() - longest;
        sum.checked_div(others).unwrap_or_default()
    }

    /// Records that a call was assigned. The interval to the next assignment counts only if other
    /// calls are still waiting.
    fn record_assignment(&mut self, others_wait: bool) {
        let now = Instant::now();
        if let Some(last) = self.last_assignment {
            if self.recent.len() == MAX_INTERVALS {
                self.recent.pop_front();
            }
            self.recent.push_back(now.duration_since(last));
        }
        self.last_assignment = others_wait.then_some(now);
    }
}

/// Time constant of the exponential moving average of slots held by paying calls.
const PAYING_DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);

/// The part of a service's slots that is closed to free calls, so that an arriving paying call
/// finds an unoccupied slot.
///
/// Free calls may use every slot that paying calls do not need: the number of reserved slots is the
/// recent average of slots held by paying calls, minus the slots that they hold now.
///
/// # Examples
///
/// ```
/// use basilhaven::{admission, config};
/// use std::time::Instant;
///
/// let reserve = admission::Reserve::default();
/// let now = Instant::now();
/// // Without paying callers, free calls may use every slot.
/// assert!(reserve.admits_free_call(1, now));
/// reserve.start(config::Class::Free, now);
/// assert!(!reserve.admits_free_call(1, now));
/// ```
#[derive(Debug)]
pub struct Reserve {
    paying_in_flight: Cell<u32>,
    free_in_flight: Cell<u32>,
    /// Moving average of `paying_in_flight`.
    paying_demand: Cell<f64>,
    updated_at: Cell<Instant>,
}

impl Default for Reserve {
    fn default() -> Self {
        Reserve {
            paying_in_flight: Cell::new(0),
            free_in_flight: Cell::new(0),
            paying_demand: Cell::new(0.0),
            updated_at: Cell::new(Instant::now()),
        }
    }
}

impl Reserve {
    /// Counts a call that was sent to an upstream.
    pub fn start(&self, class: config::Class, now: Instant) {
        self.update(now);
        let count = self.count(class);
        count.set(count.get() + 1);
    }

    /// Counts a call that has ended.
    pub fn end(&self, class: config::Class, now: Instant) {
        self.update(now);
        let count = self.count(class);
        count.set(count.get().saturating_sub(1));
    }

    /// Returns `true` if a free call may start, where calls of both classes share `slots` slots.
    ///
    /// If a slot is unoccupied and no free call is in flight, a free call is always admitted: the
    /// end of that call is what causes the waiting free calls to be considered again.
    pub fn admits_free_call(&self, slots: u32, now: Instant) -> bool {
        self.update(now);
        let occupied = self.paying_in_flight.get() + self.free_in_flight.get();
        let reserved = match self.free_in_flight.get() {
            0 => 0,
            _ => (self.paying_demand.get().round() as u32)
                .saturating_sub(self.paying_in_flight.get()),
        };
        occupied + 1 + reserved <= slots
    }

    fn count(&self, class: config::Class) -> &Cell<u32> {
        match class {
            config::Class::Paying => &self.paying_in_flight,
            config::Class::Free => &self.free_in_flight,
        }
    }

    /// Updates the average of paying calls in flight. Must be called before the number of paying
    /// calls changes.
    fn update(&self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated_at.replace(now)).as_secs_f64();
        let decay = (-passed / PAYING_DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        let paying = f64::from(self.paying_in_flight.get());
        self.paying_demand.set(self.paying_demand.get() * decay + paying * (1.0 - decay));
    }
}
