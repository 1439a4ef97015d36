//! The queue's rules on classes and deadlines, checked against a simple model, and the capacity
//! reserved for paying callers.

use std::collections::BTreeSet;
use std::future::Future as _;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use basilhaven::admission::{Displaced, Queue, Reserve, Ticket};
use basilhaven::{call, config, profile};
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn call(class: config::Class, deadline: Instant) -> call::Call {
    call::Call {
        id: call::Id::random(),
        class,
        idempotency: profile::Idempotency::Idempotent,
        deadline,
        depth: 0,
        retries_left: 0,
    }
}

fn poll(ticket: &mut Ticket<u32>) -> Poll<Result<u32, Displaced>> {
    pin!(ticket).poll(&mut Context::from_waker(Waker::noop()))
}

/// An event in the queue: a call arrives, a call gets a value, or a call stops waiting.
#[derive(Debug, Clone)]
enum Step {
    Push { is_paying: bool, deadline: u8 },
    HandOver,
    Leave { index: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 6 {
            0..=2 => Step::Push { is_paying: bool::arbitrary(g), deadline: u8::arbitrary(g) % 8 },
            3 | 4 => Step::HandOver,
            _ => Step::Leave { index: usize::arbitrary(g) },
        }
    }
}

/// A waiting call in the model: whether it is free, its deadline and its number in order of
/// arrival. Paying calls come first.
type Waiter = (bool, u8, u32);

const QUEUE_LEN: usize = 6;
const MAX_FREE_LEN: usize = 3;

fn matches_model(steps: Vec<Step>) -> bool {
    let profile = profile::Profile {
        queue_len: QUEUE_LEN,
        free_queue_percent: 50,
        free_wait: Duration::from_secs(500),
        timeout: Duration::from_secs(500),
        ..profile::Profile::default()
    };
    let start = Instant::now() + Duration::from_secs(100);
    let mut queue = Queue::<u32>::default();
    let mut model: BTreeSet<Waiter> = BTreeSet::new();
    let mut tickets: Vec<(Waiter, Ticket<u32>)> = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
        let number = number as u32;
        match step {
            Step::Push { is_paying, deadline } => {
                let class = if is_paying { config::Class::Paying } else { config::Class::Free };
                let free_len = model.iter().filter(|w| w.0).count();
                let is_full = model.len() >= QUEUE_LEN;
                let is_admitted = match is_paying {
                    true => !is_full || free_len > 0,
                    false => !is_full && free_len < MAX_FREE_LEN,
                };
                let at = start + Duration::from_secs(deadline.into());
                let pushed = queue.push(&call(class, at), &[], &profile);
                if pushed.is_ok() != is_admitted {
                    return false;
                }
                let Ok(ticket) = pushed else { continue };
                if is_paying && is_full {
                    let last = *model.iter().filter(|w| w.0).max().unwrap();
                    model.remove(&last);
                }
                let waiter = (!is_paying, deadline, number);
                model.insert(waiter);
                tickets.push((waiter, ticket));
            }
            Step::HandOver => {
                let expected = model.pop_first();
                let next = queue.next(0);
                let expected_class = expected.map(|(free, ..)| match free {
                    true => config::Class::Free,
                    false => config::Class::Paying,
                });
                if next.as_ref().map(|next| next.class) != expected_class {
                    return false;
                }
                let Some(next) = next else { continue };
                if queue.hand_over(&next, number).is_some() {
                    return false;
                }
                let expected = expected.unwrap();
                let index = tickets.iter().position(|(w, _)| *w == expected).unwrap();
                let (_, mut ticket) = tickets.swap_remove(index);
                if poll(&mut ticket) != Poll::Ready(Ok(number)) {
                    return false;
                }
            }
            Step::Leave { index } => {
                if tickets.is_empty() {
                    continue;
                }
                let index = index % tickets.len();
                let (waiter, _) = tickets.swap_remove(index);
                model.remove(&waiter);
            }
        }
        if queue.len() != model.len() {
            return false;
        }
        for (waiter, ticket) in &mut tickets {
            let expected = match model.contains(waiter) {
                true => Poll::Pending,
                false => Poll::Ready(Err(Displaced)),
            };
            if poll(ticket) != expected {
                return false;
            }
        }
        tickets.retain(|(waiter, _)| model.contains(waiter));
    }
    true
}

#[test]
fn the_queue_matches_its_model_for_any_sequence_of_events() {
    let seeded = Gen::from_size_and_seed(60, 20_261_204);
    QuickCheck::new().rng(seeded).tests(2_000).quickcheck(matches_model as fn(Vec<Step>) -> bool);
}

#[test]
fn an_expired_call_is_removed_and_frees_its_room() {
    let profile = profile::Profile { queue_len: 1, ..profile::Profile::default() };
    let mut queue = Queue::<u32>::default();
    let late = call(config::Class::Paying, Instant::now());
    let mut expired = queue.push(&late, &[], &profile).unwrap();
    let next = call(config::Class::Paying, Instant::now() + Duration::from_secs(100));
    let mut waiter = queue.push(&next, &[], &profile).expect("room freed by the expired call");
    assert_eq!(poll(&mut expired), Poll::Ready(Err(Displaced)));
    assert_eq!(poll(&mut waiter), Poll::Pending);
}

/// Starts free calls until no more are admitted, and returns their number.
fn fill(reserve: &Reserve, slots: u32, now: Instant) -> u32 {
    let mut started = 0;
    while reserve.admits_free_call(slots, now) {
        reserve.start(config::Class::Free, now);
        started += 1;
    }
    started
}

#[test]
fn free_calls_may_use_slots_that_paying_calls_do_not_need() {
    let start = Instant::now();
    assert_eq!(fill(&Reserve::default(), 80, start), 80, "all slots without paying calls");

    let reserve = Reserve::default();
    for _ in 0..40 {
        reserve.start(config::Class::Paying, start);
    }
    let later = start + Duration::from_secs(10);
    assert_eq!(fill(&reserve, 80, later), 40);
    for _ in 0..20 {
        reserve.end(config::Class::Paying, later);
    }
    assert_eq!(
        fill(&reserve, 80, later),
        0,
        "slots that paying calls have just freed stay reserved"
    );
    let much_later = later + Duration::from_secs(10);
    assert_eq!(
        fill(&reserve, 80, much_later),
        20,
        "and become available once the average demand has decreased"
    );
}

#[test]
fn one_free_call_is_always_admitted_to_an_unused_slot() {
    let reserve = Reserve::default();
    let start = Instant::now();
    for _ in 0..8 {
        reserve.start(config::Class::Paying, start);
    }
    let later = start + Duration::from_secs(10);
    assert!(
        !reserve.admits_free_call(8, later),
        "no slot is unused while paying calls hold all of them"
    );
    reserve.end(config::Class::Paying, later);
    assert_eq!(fill(&reserve, 8, later), 1);
}
