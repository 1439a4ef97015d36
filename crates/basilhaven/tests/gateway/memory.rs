//! Who may hold bytes and connections when many clients that nobody controls compete for them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::gateway::memory::{
    max_transit_len, Budget, Decision, Limits, Phase, Purpose, Share, Transit,
};
use basilhaven::http1::body;
use bytes::Bytes;
use quickcheck::QuickCheck;

/// The smallest host of customer 1, and the longest body of its configuration.
const HOST_BYTES: u64 = 160_000_000;
const HOST_FDS: usize = 4100;
const MAX_BODY_LEN: usize = 67_108_864;

const BLOCK_LEN: usize = 256 * 1024;

fn budget() -> Rc<Budget> {
    Rc::new(Budget::new(Limits { memory: Some(HOST_BYTES), max_fds: Some(HOST_FDS) }))
}

fn receiving(budget: &Rc<Budget>, purpose: Purpose, now: Instant) -> Share {
    budget.share(purpose, Phase::Receiving, now)
}

/// Receives blocks until this many bytes are held. Returns `false` if the holder is denied more.
fn receive(share: &Share, len: usize, now: Instant) -> bool {
    while share.len() < len {
        if share.grow(BLOCK_LEN, now) != Decision::Granted {
            return false;
        }
        share.record_received(BLOCK_LEN, now);
    }
    true
}

/// Drops the shares that lost theirs, as their tasks do.
fn leave(shares: &mut Vec<Share>) {
    shares.retain(|share| !share.is_dropped());
}

/// Guards against bounds that refuse a request inside the limits of the configuration.
#[test]
fn the_largest_legal_body_fits_on_the_smallest_host_in_calm() {
    let (budget, now) = (budget(), Instant::now());
    assert!(receive(&receiving(&budget, Purpose::Body, now), MAX_BODY_LEN, now));
}

/// Load: 40 bodies of 10 MB arrive at once, block by block, four times what fits. Guards against a
/// shortage in which every body is dropped before its end, and against one without bound.
#[test]
fn some_of_many_large_bodies_are_received_to_their_end() {
    let (budget, now) = (budget(), Instant::now());
    let len = 40 * BLOCK_LEN;
    let mut shares: Vec<Share> = (0..40).map(|_| receiving(&budget, Purpose::Body, now)).collect();
    let mut served = 0;
    while !shares.is_empty() {
        shares.retain(|share| match share.grow(BLOCK_LEN, now) {
            Decision::Granted => true,
            Decision::Wait => !share.is_dropped(),
            Decision::Denied => false,
        });
        leave(&mut shares);
        assert!(budget.held(Purpose::Body) as u64 <= HOST_BYTES * 6 / 10);
        let before = shares.len();
        shares.retain(|share| share.len() < len);
        served += before - shares.len();
    }
    assert!(served >= 6, "{served} of 40 were received");
}

/// Load: a crowd that has stopped just short of the end of its bodies, and one client that sends.
/// Guards against slow senders that win admission.
#[test]
fn a_sender_takes_precedence_over_stalled_holders() {
    let (budget, start) = (budget(), Instant::now());
    let mut stalled: Vec<Share> =
        (0..70).map(|_| receiving(&budget, Purpose::Body, start)).collect();
    for share in &stalled {
        receive(share, 4 * BLOCK_LEN, start);
    }
    let later = start + Duration::from_secs(3);
    let sender = receiving(&budget, Purpose::Body, later);
    for _ in 0..16 {
        while sender.grow(BLOCK_LEN, later) == Decision::Wait {
            leave(&mut stalled);
        }
        sender.record_received(BLOCK_LEN, later);
    }
    assert_eq!(sender.len(), 16 * BLOCK_LEN, "the sender holds less than it asked for");
    assert!(stalled.len() > 50, "{} of 70 are left; more were dropped than needed", stalled.len());
}

/// Load: a sender of a few bytes now and then, among senders of the same size that go on. Guards
/// against clients that keep their place by a trickle.
#[test]
fn a_trickle_counts_as_stalled() {
    let (budget, start) = (budget(), Instant::now());
    let trickle = receiving(&budget, Purpose::Body, start);
    receive(&trickle, 120 * BLOCK_LEN, start);
    let mut now = start;
    for _ in 0..40 {
        now += Duration::from_millis(100);
        trickle.record_received(100, now);
    }
    let active = receiving(&budget, Purpose::Body, now);
    receive(&active, 160 * BLOCK_LEN, now);
    assert_eq!(active.grow(40 * BLOCK_LEN, now), Decision::Wait);
    assert!(trickle.is_dropped() && !active.is_dropped());
}

/// Guards against a shortage of large bodies in which ordinary calls are refused.
#[test]
fn small_holders_have_room_while_large_bodies_are_denied() {
    let (budget, now) = (budget(), Instant::now());
    let shares: Vec<Share> = (0..100)
        .map(|_| {
            let share = receiving(&budget, Purpose::Body, now);
            receive(&share, 4 * BLOCK_LEN, now);
            // Its call has begun, so it can't be dropped.
            share.set_phase(Phase::Serving);
            share
        })
        .collect();
    let large = receiving(&budget, Purpose::Body, now);
    assert_eq!(large.grow(BLOCK_LEN, now), Decision::Denied);
    for _ in 0..100 {
        let head = receiving(&budget, Purpose::Connection, now);
        assert_eq!(head.grow(16 * 1024, now), Decision::Granted);
        let small = receiving(&budget, Purpose::Body, now);
        assert_eq!(small.grow(60_000, now), Decision::Granted);
    }
    assert!(shares.iter().all(|share| !share.is_dropped()), "a call that has begun lost its body");
}

/// Guards against a body that is dropped once its call has begun: it might have run.
#[test]
fn a_body_in_use_is_not_dropped() {
    let (budget, now) = (budget(), Instant::now());
    let serving = receiving(&budget, Purpose::Body, now);
    receive(&serving, MAX_BODY_LEN, now);
    serving.set_phase(Phase::Serving);
    let later = now + Duration::from_secs(5);
    let other = receiving(&budget, Purpose::Body, later);
    assert!(!receive(&other, MAX_BODY_LEN, later));
    assert!(!serving.is_dropped());
}

/// Guards against bytes that stay counted after their holder has gone, or are counted twice.
#[test]
fn held_bytes_are_those_of_the_holders_and_never_exceed_the_limit() {
    fn property(steps: Vec<(u8, u32, bool)>) -> bool {
        let (budget, start) = (budget(), Instant::now());
        let mut shares: Vec<Share> = Vec::new();
        for (number, (kind, len, ends)) in steps.into_iter().enumerate() {
            let now = start + Duration::from_millis(number as u64 * 200);
            let purpose = Purpose::ALL[usize::from(kind) % Purpose::ALL.len()];
            let share = receiving(&budget, purpose, now);
            share.grow(len as usize % MAX_BODY_LEN, now);
            shares.push(share);
            if ends {
                shares.remove(0);
            }
            leave(&mut shares);
            let held: usize = Purpose::ALL.iter().map(|purpose| budget.held(*purpose)).sum();
            let expected: usize = shares.iter().map(Share::len).sum();
            if held != expected || held as u64 > HOST_BYTES * 6 / 10 {
                return false;
            }
        }
        drop(shares);
        Purpose::ALL.iter().all(|purpose| budget.held(*purpose) == 0)
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u8, u32, bool)>) -> bool);
}

/// Guards against a bound where the settings name none.
#[test]
fn without_limits_everything_is_granted() {
    let (budget, now) = (Rc::new(Budget::new(Limits::default())), Instant::now());
    let shares: Vec<Share> = (0..1000)
        .map(|_| {
            assert_eq!(budget.admit_connection(100_000, now), Decision::Granted);
            receiving(&budget, Purpose::Body, now)
        })
        .collect();
    assert!(shares.iter().all(|share| share.grow(MAX_BODY_LEN, now) == Decision::Granted));
}

/// Load: more connections than descriptors, most of them idle. Guards against a host that can open
/// no connection to an upstream, and against callers that lose a call in progress.
#[test]
fn idle_connections_are_closed_first_and_then_new_ones_refused() {
    let (budget, start) = (budget(), Instant::now());
    let mut connections: Vec<Share> = Vec::new();
    let mut now = start;
    while budget.admit_connection(100, now) == Decision::Granted {
        let connection = receiving(&budget, Purpose::Connection, now);
        match connections.len() {
            0..10 => connection.set_phase(Phase::Serving),
            // An unfinished head is worth more than a connection without a request.
            10 => assert_eq!(connection.grow(16 * 1024, now), Decision::Granted),
            _ => {}
        }
        connections.push(connection);
        now += Duration::from_millis(1);
    }
    assert!((2000..HOST_FDS - 200).contains(&connections.len()), "{}", connections.len());
    let dropped: Vec<usize> =
        (0..connections.len()).filter(|&number| connections[number].is_dropped()).collect();
    assert_eq!(dropped, [11], "the connection that has been idle for longest is closed");
    assert_eq!(budget.admit_connection(100, now), Decision::Wait, "one is closed at a time");
    connections.remove(11);
    assert_eq!(budget.admit_connection(100, now), Decision::Granted);
    connections.push(receiving(&budget, Purpose::Connection, now));
    connections.iter().for_each(|connection| connection.set_phase(Phase::Serving));
    assert_eq!(budget.admit_connection(100, now), Decision::Denied);
}

/// Load: a crowd whose bodies never end. Guards against a host that refuses all new connections, and
/// against one that closes a connection before its request can arrive, or while its body does.
#[test]
fn connections_whose_bodies_have_stalled_are_closed_for_new_ones() {
    let start = Instant::now();
    let fill = |budget: &Rc<Budget>, max: usize| -> Vec<Share> {
        let admitted =
            (0..max).take_while(|_| budget.admit_connection(100, start) == Decision::Granted);
        admitted.map(|_| receiving(budget, Purpose::Connection, start)).collect()
    };
    // The connection after the last one makes another one be closed.
    let max = fill(&budget(), usize::MAX).len();
    assert!(max > 1000, "{max}");
    let budget = budget();
    let crowd = fill(&budget, max - 1);
    let later = start + Duration::from_millis(500);
    for share in &crowd {
        assert_eq!(share.grow(4 * 1024, later), Decision::Granted);
    }
    let now = start + Duration::from_millis(1500);
    crowd[0].record_received(16 * 1024, now);
    let accepted = receiving(&budget, Purpose::Connection, now);
    assert_eq!(budget.admit_connection(100, now), Decision::Wait);
    assert!(!accepted.is_dropped(), "a connection was closed before its request could arrive");
    let mut dropped: Vec<usize> =
        (0..crowd.len()).filter(|&number| crowd[number].is_dropped()).collect();
    assert_eq!(dropped.len(), 1);
    assert_ne!(dropped.pop(), Some(0), "the connection whose body arrives was closed");
}

/// Guards against connections to upstreams and other hosts that take the descriptors unseen.
#[test]
fn a_high_descriptor_closes_an_idle_connection() {
    let (budget, now) = (budget(), Instant::now());
    let idle = receiving(&budget, Purpose::Connection, now);
    assert_eq!(budget.admit_connection(HOST_FDS - 200, now), Decision::Wait);
    assert!(idle.is_dropped());
    drop(idle);
    assert_eq!(budget.admit_connection(HOST_FDS - 200, now), Decision::Denied);
}

/// Guards against bytes that are lost, repeated or moved between the blocks of a body, and against
/// blocks that take much more memory than the body.
#[test]
fn a_collected_body_is_the_one_that_was_sent() {
    fn property(pieces: Vec<Vec<u8>>, is_announced: bool) -> bool {
        let sent: Vec<u8> = pieces.concat();
        let mut collector = body::Collector::default();
        let mut taken = 0;
        for piece in pieces {
            let mut piece = Bytes::from(piece);
            while !piece.is_empty() {
                if collector.is_full() {
                    let missing = (sent.len() - collector.len()) as u64;
                    let len = collector.next_block_len(is_announced.then_some(missing));
                    taken += len;
                    collector.add_block(len);
                }
                collector.fill(&mut piece);
            }
        }
        let held = collector.finish();
        let is_small = match is_announced {
            true => taken == sent.len(),
            false => taken <= 2 * sent.len() + 4096,
        };
        held.blocks().concat() == sent && held.len() == sent.len() && is_small
    }
    QuickCheck::new().quickcheck(property as fn(Vec<Vec<u8>>, bool) -> bool);
    let large = vec![vec![7; 100_000]; 30];
    assert!(property(large.clone(), true) && property(large, false));
}

/// Load: large bodies for one upstream from a host with a small share. Guards against an upstream
/// that ends because the requests it holds exceed its memory, and against one that gets none.
#[test]
fn large_bodies_for_one_upstream_wait_for_each_other() {
    let max = max_transit_len(MAX_BODY_LEN, 1.0 / 24.0);
    let transit = Transit::default();
    let first = transit.try_enter(MAX_BODY_LEN, max);
    assert!(first.is_some(), "a single body is never held back");
    assert!(transit.try_enter(MAX_BODY_LEN, max).is_none());
    assert!(transit.try_enter(60_000, max).is_some(), "an ordinary call waits for a large one");
    drop(first);
    let entered: Vec<_> = (0..100).map_while(|_| transit.try_enter(360_000, max)).collect();
    // An upstream of customer 1 runs three calls at a time.
    assert!(entered.len() >= 3, "{} uploads at a time", entered.len());
    assert!(entered.len() * 360_000 <= max);
}

/// Load: callers that do not read their responses, and one that sends a body. Guards against slow
/// readers that keep memory from ordinary callers, and against a response that is dropped for more
/// of another response.
#[test]
fn unread_responses_are_dropped_once_they_have_stalled_and_memory_is_short() {
    let (budget, start) = (budget(), Instant::now());
    let responses: Vec<Share> = (0..400)
        .map(|_| {
            let share = budget.share(Purpose::Response, Phase::Serving, start);
            share.add_held(BLOCK_LEN, start);
            share
        })
        .collect();
    assert!(!responses[0].try_grow(BLOCK_LEN), "there is no room");
    assert!(responses.iter().all(|share| !share.is_dropped()), "dropped for a response");
    responses[1..].iter().for_each(|share| share.set_phase(Phase::Receiving));
    let later = start + Duration::from_secs(2);
    let body = receiving(&budget, Purpose::Body, later);
    assert_eq!(body.grow(BLOCK_LEN, later), Decision::Wait);
    assert!(!responses[0].is_dropped(), "its caller reads");
    assert!(responses[1..].iter().any(Share::is_dropped));
}
