//! The expected wait of a call after a pause of the process.

use std::time::{Duration, Instant};

use basilhaven::{admission, call, config, profile};

/// Number of calls still waiting at the end, and number of calls assigned after the pause.
const WAITERS: u32 = 9;
const ASSIGNED: u32 = 10;

/// How long the process is paused.
const PAUSE: Duration = Duration::from_millis(400);

fn call() -> call::Call {
    call::Call {
        id: call::Id::random(),
        class: config::Class::Paying,
        idempotency: profile::Idempotency::Idempotent,
        deadline: Instant::now() + Duration::from_secs(3600),
        depth: 0,
        retries_left: 0,
    }
}

#[test]
fn one_pause_of_the_process_does_not_raise_the_expected_wait() {
    let mut queue = admission::Queue::<u32>::default();
    let profile = profile::Profile::default();
    let calls = 1 + ASSIGNED + 1 + WAITERS;
    let tickets: Vec<_> = (0..calls).map(|_| queue.push(&call(), &[], &profile)).collect();
    let started_at = Instant::now();
    let hand_over = |queue: &mut admission::Queue<u32>| {
        let next = queue.next(0).expect("a waiting call");
        queue.hand_over(&next, 0);
    };
    hand_over(&mut queue);
    std::thread::sleep(PAUSE);
    for _ in 0..=ASSIGNED {
        hand_over(&mut queue);
    }
    let elapsed_without_pause = started_at.elapsed() - PAUSE;
    assert_eq!(queue.len() as u32, WAITERS);
    // The limit is computed from the measured rate of assignments without the pause, so that the
    // test holds on a slow machine too.
    let max_wait = elapsed_without_pause / ASSIGNED * WAITERS;
    let expected = queue.expected_wait();
    assert!(
        expected <= max_wait,
        "expected wait {expected:?}, at most {max_wait:?} without the pause"
    );
    drop(tickets);
}
