//! Who may wait for an upstream, who goes first, and what is kept free for paying callers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use local_sync::oneshot;

use crate::{call, config, name, profile};

/// Times between two assignments that the wait to be expected is worked out from.
const MAX_INTERVALS: usize = 32;

/// Calls that wait for an upstream: paying ones first, within a class those whose deadline comes first.
///
/// A call that stops waiting, for whatever reason, leaves the queue at once: every place in it is held
/// by a caller that still waits.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: Rc<RefCell<Lanes<T>>>,
    next_number: u64,
    intervals: Intervals,
}

/// The order within a lane: by deadline, then by arrival.
type Key = (Instant, u64);

#[derive(Debug)]
struct Lanes<T> {
    paying: BTreeMap<Key, Entry<T>>,
    free: BTreeMap<Key, Entry<T>>,
}

/// What a call that waits asks of the upstream that it is given.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Whether the call may be run more than once.
    pub idempotency: profile::Idempotency,
    /// Upstreams that failed it before.
    pub tried: Vec<name::Name>,
}

/// A call in its place in the queue.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// Its class.
    pub class: config::Class,
    /// What it asks.
    pub requirements: Requirements,
    key: Key,
}

#[derive(Debug)]
struct Entry<T> {
    requirements: Requirements,
    sender: oneshot::Sender<T>,
}

impl<T> Lanes<T> {
    fn of(&mut self, class: config::Class) -> &mut BTreeMap<Key, Entry<T>> {
        match class {
            config::Class::Paying => &mut self.paying,
            config::Class::Free => &mut self.free,
        }
    }

    fn len(&self) -> usize {
        self.paying.len() + self.free.len()
    }
}

/// A place in the queue; resolves to what is handed to it, and gives the place up when dropped.
#[derive(Debug)]
pub struct Ticket<T> {
    receiver: oneshot::Receiver<T>,
    lanes: Rc<RefCell<Lanes<T>>>,
    class: config::Class,
    key: Key,
}

/// The place was given to a paying call.
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
        let left = self.lanes.borrow_mut().of(self.class).remove(&self.key);
        // Dropped only here, when the queue is no longer borrowed.
        drop(left);
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        let lanes = Lanes { paying: BTreeMap::new(), free: BTreeMap::new() };
        Queue {
            lanes: Rc::new(RefCell::new(lanes)),
            next_number: 0,
            intervals: Intervals::default(),
        }
    }
}

impl<T> Queue<T> {
    /// Calls that wait, of both classes.
    pub fn len(&self) -> usize {
        self.lanes.borrow().len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a call of this class would have to wait behind another.
    pub fn has_waiters_ahead_of(&self, class: config::Class) -> bool {
        match class {
            config::Class::Paying => !self.lanes.borrow().paying.is_empty(),
            config::Class::Free => !self.is_empty(),
        }
    }

    /// Lets a call wait.
    ///
    /// A paying call that finds the queue full takes the place of the free call that would go last;
    /// `tried` are the upstreams that failed it before.
    ///
    /// # Errors
    ///
    /// The room for its class is taken; or, for a free call, the wait to be expected is longer than the
    /// profile allows or than its caller waits.
    pub fn push(
        &mut self,
        call: &call::Call,
        tried: &[name::Name],
        profile: &profile::Profile,
    ) -> Result<Ticket<T>, call::Refusal> {
        let refusal = call::Refusal::not_run(call::Reason::QueueFull);
        self.remove_expired();
        let expected = self.expected_wait();
        let mut lanes = self.lanes.borrow_mut();
        let full = lanes.len() >= profile.queue_len;
        match call.class {
            config::Class::Free => {
                let free_len = profile.queue_len * usize::from(profile.free_queue_percent) / 100;
                let too_slow = expected > profile.free_wait.min(call.remaining());
                if full || lanes.free.len() >= free_len || too_slow {
                    return Err(refusal);
                }
            }
            config::Class::Paying if full && lanes.free.pop_last().is_none() => {
                return Err(refusal);
            }
            config::Class::Paying => {}
        }
        let (sender, receiver) = oneshot::channel();
        let key = (call.deadline, self.next_number);
        let requirements = Requirements { idempotency: call.idempotency, tried: tried.to_vec() };
        self.next_number += 1;
        lanes.of(call.class).insert(key, Entry { requirements, sender });
        drop(lanes);
        Ok(Ticket { receiver, lanes: Rc::clone(&self.lanes), class: call.class, key })
    }

    /// The call that goes next after `passed` others; those whose deadline has passed are let go on the
    /// way.
    pub fn next(&mut self, passed: usize) -> Option<Waiter> {
        self.remove_expired();
        let lanes = self.lanes.borrow();
        let of = |class, lane: &BTreeMap<Key, Entry<T>>, at| {
            let (key, entry) = lane.iter().nth(at)?;
            Some(Waiter { class, requirements: entry.requirements.clone(), key: *key })
        };
        match passed.checked_sub(lanes.paying.len()) {
            None => of(config::Class::Paying, &lanes.paying, passed),
            Some(passed) => of(config::Class::Free, &lanes.free, passed),
        }
    }

    /// Hands `value` to a call that waits; gives it back when that one waits no more.
    pub fn hand_over(&mut self, waiter: &Waiter, value: T) -> Option<T> {
        let entry = self.lanes.borrow_mut().of(waiter.class).remove(&waiter.key);
        let Some(entry) = entry else { return Some(value) };
        self.intervals.record_assignment(!self.is_empty());
        entry.sender.send(value).err()
    }

    /// The wait that a call at the queue's end has to expect.
    pub fn expected_wait(&self) -> Duration {
        self.intervals.mean().mul_f64(self.len() as f64)
    }

    /// Lets calls go whose caller no longer waits; by the order of the lanes they stand in front.
    fn remove_expired(&mut self) {
        let now = Instant::now();
        let mut lanes = self.lanes.borrow_mut();
        for class in [config::Class::Paying, config::Class::Free] {
            while let Some(first) = lanes.of(class).first_entry() {
                if first.key().0 > now {
                    break;
                }
                first.remove();
            }
        }
    }
}

/// The times between two assignments while calls wait.
#[derive(Debug, Default)]
struct Intervals {
    recent: VecDeque<Duration>,
    last: Option<Instant>,
}

impl Intervals {
    /// The mean of the last ones without the longest: a single pause of the host says nothing of how fast
    /// calls go. Zero until two were seen.
    fn mean(&self) -> Duration {
        let others = self.recent.len().saturating_sub(1) as u32;
        let longest = self.recent.iter().max().copied().unwrap_or_default();
        let sum = self.recent.iter().sum::<Duration>() - longest;
        sum.checked_div(others).unwrap_or_default()
    }

    /// Takes in that a call was assigned; gaps count only while others go on waiting.
    fn record_assignment(&mut self, others_wait: bool) {
        let now = Instant::now();
        if let Some(last) = self.last {
            if self.recent.len() == MAX_INTERVALS {
                self.recent.pop_front();
            }
            self.recent.push_back(now.duration_since(last));
        }
        self.last = others_wait.then_some(now);
    }
}

/// The time over which the demand of paying callers is averaged.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);

/// What is kept free of a service's slots, so that a paying call finds one when it comes.
///
/// Free callers get every slot that paying ones do not need: the reserve is the number of slots that
/// paying callers held on average of late, less those that they hold now.
///
/// # Examples
///
/// ```
/// use basilhaven::{admission, config};
/// use std::time::Instant;
///
/// let reserve = admission::Reserve::default();
/// let now = Instant::now();
/// // Without paying callers, free ones may fill every slot.
/// assert!(reserve.admits_free(1, now));
/// reserve.start(config::Class::Free, now);
/// assert!(!reserve.admits_free(1, now));
/// ```
#[derive(Debug)]
pub struct Reserve {
    paying: Cell<u32>,
    free: Cell<u32>,
    demand: Cell<f64>,
    updated: Cell<Instant>,
}

impl Default for Reserve {
    fn default() -> Self {
        Reserve {
            paying: Cell::new(0),
            free: Cell::new(0),
            demand: Cell::new(0.0),
            updated: Cell::new(Instant::now()),
        }
    }
}

impl Reserve {
    /// Counts a call that is sent.
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

    /// Whether a free call may start on `slots` that both classes share.
    ///
    /// While a slot is free, one free call always may: when it ends, those that wait are looked at again.
    pub fn admits_free(&self, slots: u32, now: Instant) -> bool {
        self.update(now);
        let taken = self.paying.get() + self.free.get();
        let kept = match self.free.get() {
            0 => 0,
            _ => (self.demand.get().round() as u32).saturating_sub(self.paying.get()),
        };
        taken + 1 + kept <= slots
    }

    fn count(&self, class: config::Class) -> &Cell<u32> {
        match class {
            config::Class::Paying => &self.paying,
            config::Class::Free => &self.free,
        }
    }

    /// Averages the demand up to now, at which it may change.
    fn update(&self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated.replace(now)).as_secs_f64();
        let kept = (-passed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        let paying = f64::from(self.paying.get());
        self.demand.set(self.demand.get() * kept + paying * (1.0 - kept));
    }
}
