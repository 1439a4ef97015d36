//! The wait that a call has to expect, after a pause of the host.

use std::time::{Duration, Instant};

use basilhaven::{admission, call, config, profile};

/// Calls that wait in the end, and those handed out behind the pause.
const WAITING: u32 = 9;
const HANDED: u32 = 10;

/// How long the host stands still.
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
fn one_pause_says_nothing_of_the_wait_to_be_expected() {
    let mut queue = admission::Queue::<u32>::default();
    let profile = profile::Profile::default();
    let calls = 1 + HANDED + 1 + WAITING;
    let tickets: Vec<_> = (0..calls).map(|_| queue.push(&call(), &[], &profile)).collect();
    let begun = Instant::now();
    let hand = |queue: &mut admission::Queue<u32>| {
        let next = queue.next(0).expect("a call that waits");
        queue.hand_over(&next, 0);
    };
    hand(&mut queue);
    std::thread::sleep(PAUSE);
    for _ in 0..=HANDED {
        hand(&mut queue);
    }
    let others = begun.elapsed() - PAUSE;
    assert_eq!(queue.len() as u32, WAITING);
    // Without the pause the calls went at this pace, however slow the machine is.
    let most = others / HANDED * WAITING;
    let expected = queue.expected_wait();
    assert!(expected <= most, "{expected:?} where {most:?} are at most to be expected");
    drop(tickets);
}
