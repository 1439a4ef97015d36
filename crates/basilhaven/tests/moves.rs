//! Tests of moves between versions: the split of calls, the detection of bad versions, halts, and
//! the schedule.

mod seeded;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::moves::{self, aggregate, detector, evidence, halt, monitor, schedule};
use basilhaven::{call, config, name, placement, profile, replica, split, upstream, wire};
use quickcheck::{Arbitrary, Gen};

fn name(text: &str) -> name::Name {
    text.parse().unwrap()
}

fn running() -> moves::Move {
    moves::Move::start(name("v1"), name("v2"), Duration::from_secs(2_000_000_000))
}

fn route(at_most_once: bool) -> evidence::Route {
    evidence::Route { path: "/stock".to_owned(), at_most_once }
}

/// Error rate and mean latency of a version.
#[derive(Debug, Clone, Copy)]
struct Behaviour {
    errors: f64,
    mean_ms: f64,
}

const GOOD: Behaviour = Behaviour { errors: 0.003, mean_ms: 8.0 };

/// One host's calls, of which `share` go to the new version. Both versions behave like `GOOD` for
/// the first `good_calls` calls. At random times the calls of a version take five times as long for
/// 150 ms.
#[derive(Debug, Clone, Copy)]
struct Traffic {
    calls: usize,
    good_calls: usize,
    share: f64,
    old: Behaviour,
    new: Behaviour,
}

/// Simulates the traffic and returns the fault that was detected, with the number of calls to the
/// new version since it stopped being good, or `None` if no fault was detected.
fn detect_fault(seed: u64, traffic: Traffic) -> Option<(detector::Fault, usize)> {
    let Traffic { calls, good_calls, share, old, new } = traffic;
    let mut random = fastrand::Rng::with_seed(seed);
    let watch = monitor::Monitor::default();
    let begin = Instant::now();
    let (mut at, mut ticked, mut to_new) = (Duration::ZERO, Duration::ZERO, 0);
    let mut stalls = [Duration::ZERO; 2];
    // The first 500 calls go to the old version only, and show its normal behaviour.
    for i in 0..calls + 500 {
        let (old, new) = if i < good_calls + 500 { (GOOD, GOOD) } else { (old, new) };
        at += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / 200.0);
        let is_new = i >= 500 && random.f64() < share;
        let (behaviour, stall) = match is_new {
            true => (new, &mut stalls[1]),
            false => (old, &mut stalls[0]),
        };
        if random.f64() < 0.001 {
            *stall = at + Duration::from_millis(150);
        }
        let slower = if *stall > at { 5.0 } else { 1.0 };
        let took_ms = -(1.0 - random.f64()).ln() * behaviour.mean_ms * slower;
        let status = match random.f64() < behaviour.errors {
            true => http::StatusCode::INTERNAL_SERVER_ERROR,
            false => http::StatusCode::OK,
        };
        let number = watch.start(route(false), is_new, begin + at);
        to_new += usize::from(is_new && i >= good_calls + 500);
        let end = call::End::Answered { status, took: Duration::from_secs_f64(took_ms / 1e3) };
        let mut verdict = watch.end(number, &end, begin + at);
        while ticked + Duration::from_millis(250) <= at {
            ticked += Duration::from_millis(250);
            verdict = verdict.or(watch.tick(share > 0.05, begin + ticked));
        }
        if let Some(halt::Reason::Worse { kind, .. }) = verdict {
            return Some((kind, to_new));
        }
    }
    None
}

#[test]
fn a_good_version_is_not_rolled_back_by_chance() {
    // 150 moves of 10,000 calls each at a small and at a large share.
    let alarms = |share| {
        let traffic = Traffic { calls: 10_000, good_calls: 10_000, share, old: GOOD, new: GOOD };
        (0..150).filter(|seed| detect_fault(*seed, traffic).is_some()).count()
    };
    let (small, large) = (alarms(0.05), alarms(0.5));
    assert!(small + large <= 1, "false alarms: {small} of 150 at 5%, {large} of 150 at 50%");
}

#[test]
fn an_error_rate_common_to_both_versions_is_not_a_fault() {
    for (errors, good_calls) in [(0.01, 0), (0.3, 0), (0.3, 2_000), (1.0, 2_000)] {
        let failing = Behaviour { errors, mean_ms: 8.0 };
        for share in [0.05, 0.5] {
            let traffic = Traffic { calls: 4_000, good_calls, share, old: failing, new: failing };
            let alarms = (0..100).filter(|seed| detect_fault(*seed, traffic).is_some()).count();
            assert!(alarms <= 1, "{alarms} of 100 at {errors} from call {good_calls} on, {share}");
        }
    }
}

/// Returns the number of calls to the new version until its fault is detected: the median and the
/// maximum of 40 seeds.
fn delays(new: Behaviour, good_calls: usize) -> (usize, usize) {
    let traffic = Traffic { calls: 100_000, good_calls, share: 0.05, old: GOOD, new };
    let mut delays: Vec<usize> =
        (0..40).map(|seed| detect_fault(seed, traffic).expect("a detected fault").1).collect();
    delays.sort();
    (delays[20], delays[39])
}

#[test]
fn a_bad_version_is_detected_within_few_calls() {
    let cases = [
        ("all fail", Behaviour { errors: 1.0, mean_ms: 8.0 }, 6),
        ("half fail", Behaviour { errors: 0.5, mean_ms: 8.0 }, 30),
        ("1 in 20 fails", Behaviour { errors: 0.05, mean_ms: 8.0 }, 1_000),
        ("twice as slow", Behaviour { errors: 0.0, mean_ms: 16.0 }, 600),
        ("ten times as slow", Behaviour { errors: 0.0, mean_ms: 80.0 }, 60),
    ];
    for (case, behaviour, max_calls) in cases {
        for good_calls in [0, 10_000] {
            let (median, worst) = delays(behaviour, good_calls);
            println!("{case} after {good_calls}: median {median}, worst {worst} calls");
            assert!(
                worst <= max_calls,
                "{case} after {good_calls}: median {median}, worst {worst}"
            );
        }
    }
}

#[test]
fn a_version_that_never_responds_is_detected_while_its_calls_are_in_flight() {
    let watch = monitor::Monitor::default();
    let begin = Instant::now();
    let ok =
        |ms| call::End::Answered { status: http::StatusCode::OK, took: Duration::from_millis(ms) };
    let old_calls = |now| {
        for i in 0..80 {
            let number = watch.start(route(false), false, now);
            assert_eq!(watch.end(number, &ok(5 + i % 5), now), None);
        }
    };
    old_calls(begin);
    assert_eq!(watch.tick(false, begin), None);
    let detected = (1..=40).find(|quarter| {
        let now = begin + Duration::from_millis(250) * *quarter;
        old_calls(now);
        for _ in 0..4 {
            watch.start(route(false), true, now);
        }
        watch.tick(false, now).is_some()
    });
    assert!(
        detected.is_some_and(|quarters| quarters <= 8),
        "detected after {detected:?} quarters of a second"
    );
}

fn upstreams(versions: &[&str]) -> Vec<Rc<upstream::Upstream>> {
    let spec = |(i, version): (usize, &&str)| {
        let text = format!("catalogo/u{i}@127.0.0.1:{},slots=1000,version={version}", i + 1);
        Rc::new(upstream::Upstream::new(text.parse::<config::Upstream>().unwrap()))
    };
    versions.iter().enumerate().map(spec).collect()
}

/// Chooses an upstream for one call and returns whether it runs the new version.
fn goes_to_new(
    split: &split::Split,
    upstreams: &[Rc<upstream::Upstream>],
    idempotency: profile::Idempotency,
    tried: &[name::Name],
) -> Option<bool> {
    let profile = profile::Profile::default();
    let (data_centre, cursor) = (name("local"), Cell::new(0));
    let selector = placement::Selector {
        data_centre: &data_centre,
        profile: &profile,
        cursor: &cursor,
        baseline: upstream::ASSUMED_LATENCY,
        expected_others_in_flight: 0.0,
        now: Instant::now(),
    };
    let choice = split.choose(&selector, upstreams, idempotency, tried)?;
    Some(choice.upstream.version() == name("v2"))
}

#[test]
fn the_new_version_never_exceeds_its_share_on_any_number_of_hosts() {
    let upstreams = upstreams(&["v1", "v1", "v2"]);
    let mut current = running();
    current.share = moves::UNPROVEN_SHARE;
    let hosts: Vec<split::Split> = (0..13).map(|_| split::Split::from(&current)).collect();
    let mut random = fastrand::Rng::with_seed(7);
    let mut to_new = 0;
    for calls in 1..=20_000 {
        let host = random.choice(&hosts).unwrap();
        let idempotent = profile::Idempotency::Idempotent;
        to_new += u32::from(goes_to_new(host, &upstreams, idempotent, &[]).unwrap());
        assert!(to_new * 20 <= calls, "{to_new} of {calls} calls");
    }
    assert!(to_new > 900, "{to_new} of 20000 calls");
}

#[test]
fn at_most_once_calls_have_their_own_share_and_retries_go_to_the_old_version() {
    let upstreams = upstreams(&["v1", "v2"]);
    let mut current = running();
    current.share = moves::FULL_SHARE;
    let split = split::Split::from(&current);
    let once = profile::Idempotency::AtMostOnce;
    let idempotent = profile::Idempotency::Idempotent;
    for _ in 0..100 {
        assert_eq!(goes_to_new(&split, &upstreams, once, &[]), Some(false));
        assert_eq!(goes_to_new(&split, &upstreams, idempotent, &[]), Some(true));
        assert_eq!(goes_to_new(&split, &upstreams, idempotent, &[name("u1")]), Some(false));
    }
}

/// An event of one move on a host; events can occur in any order.
#[derive(Debug, Clone)]
enum Event {
    Row(u8),
    Done,
    Halt,
    Call,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        match u8::arbitrary(g) % 8 {
            0..=3 => Event::Row(u8::arbitrary(g) % schedule::STAGES.len() as u8),
            4 => Event::Done,
            5 => Event::Halt,
            _ => Event::Call,
        }
    }
}

seeded::seeded! {
    fn a_halted_move_stays_halted_whatever_events_follow(events: Vec<Event>) -> bool {
        let upstreams = upstreams(&["v1", "v2"]);
        let split = split::Split::from(&running());
        let mut is_halted = false;
        for event in events {
            let mut row = running();
            match event {
                Event::Row(stage) => {
                    (row.share, row.once_share) = schedule::STAGES[usize::from(stage)];
                    split.update(&row);
                }
                Event::Done => {
                    row.phase = moves::Phase::Done;
                    split.update(&row);
                }
                Event::Halt => {
                    split.halt();
                    is_halted = true;
                }
                Event::Call => {}
            }
            let idempotent = profile::Idempotency::Idempotent;
            let to_new = goes_to_new(&split, &upstreams, idempotent, &[]).unwrap();
            if is_halted && (to_new || split.shares() != (0, 0)) {
                return false;
            }
        }
        true
    }

    fn halts_received_in_any_order_halt_the_same_moves(ids: Vec<u8>, seed: u64) -> bool {
        let halt = |id: &u8| halt::Halt {
            service: name("catalogo"),
            id: serde_json::from_value(serde_json::json!(id)).unwrap(),
            host: name("entry-1"),
            reason: halt::Reason::Ordered,
        };
        let mut shuffled = ids.clone();
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let (one, other) = (halt::Halts::default(), halt::Halts::default());
        for id in &ids {
            one.insert(halt(id));
        }
        for id in shuffled.iter().chain(&ids) {
            other.insert(halt(id));
        }
        (0..=u8::MAX).all(|id| {
            let id = halt(&id).id;
            one.get(id).is_some() == other.get(id).is_some()
        })
    }

    fn the_share_never_exceeds_5_per_cent_without_sufficient_evidence(steps: Vec<Step>) -> bool {
        let begin = Instant::now();
        let (mut now, mut current) = (begin, running());
        let mut aggregate = aggregate::Aggregate::new(begin);
        let mut counted = evidence::Evidence::default();
        for (sequence, step) in steps.into_iter().enumerate() {
            now += Duration::from_millis(step.wait_ms.into());
            counted.add(&step.evidence());
            let is_bad = aggregate.apply(&digest(1, sequence as u64 + 1, &counted), now).is_some();
            aggregate.enter_stage(current.stage, now);
            let input = schedule::Input {
                evidence: aggregate.evidence(),
                stage_evidence: &aggregate.stage_evidence(),
                stage_elapsed: aggregate.stage_elapsed(now),
                remaining: Duration::from_millis(step.remaining_ms.into()),
                slots: step.slots.into(),
                in_flight: step.in_flight.into(),
            };
            if let schedule::Decision::Advance(next) = schedule::decide(&current, &input) {
                let grows = next.stage >= current.stage && next.share >= current.share;
                if !grows || !matches!(next.phase, moves::Phase::Running | moves::Phase::Done) {
                    return false;
                }
                current = next;
            }
            let new = counted.total().new;
            let unproven = new.calls < 60 || new.errors * 2 > new.calls;
            let max_share = current.share.max(current.once_share);
            if unproven && max_share > moves::UNPROVEN_SHARE {
                return false;
            }
            if is_bad {
                break;
            }
        }
        true
    }

    fn late_and_duplicate_digests_are_ignored(steps: Vec<Step>, order: Vec<u8>) -> bool {
        let begin = Instant::now();
        let mut counted = evidence::Evidence::default();
        let mut digests = Vec::new();
        for (sequence, step) in steps.into_iter().enumerate() {
            counted.add(&step.evidence());
            digests.push(digest(1, sequence as u64 + 1, &counted));
        }
        let Some(last) = digests.last().cloned() else { return true };
        let mut aggregate = aggregate::Aggregate::new(begin);
        for i in order {
            aggregate.apply(&digests[usize::from(i) % digests.len()], begin);
        }
        aggregate.apply(&last, begin);
        aggregate.apply(&digests[0], begin);
        aggregate.evidence().total() == counted.total()
    }

    fn the_row_of_moves_is_unchanged_by_serialisation(deadline_ms: u32, stage: u8, kind: u8) -> bool {
        let mut current = moves::Move::start(name("v1"), name("v2"), Duration::from_millis(deadline_ms.into()));
        current.stage = stage;
        match kind % 3 {
            0 => {}
            1 => current.phase = moves::Phase::Done,
            _ => current.roll_back("errors on /stock"),
        }
        let all = moves::Moves([(name("catalogo"), current)].into_iter().collect());
        let mut rows = replica::Rows::new(config::Document::default(), config::Hosts::default());
        rows.apply(3, replica::Content::Moves(Rc::new(all.clone())));
        match replica::Content::try_from(&rows.snapshot(replica::Row::Moves)) {
            Ok(replica::Content::Moves(read)) => *read == all,
            _ => false,
        }
    }
}

/// Calls that end between two decisions of the schedule, and the other input of the second one.
#[derive(Debug, Clone)]
struct Step {
    old: u8,
    new: u8,
    errors: u8,
    at_most_once: bool,
    wait_ms: u16,
    remaining_ms: u16,
    slots: u8,
    in_flight: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let new = u8::arbitrary(g) % 8;
        Step {
            old: u8::arbitrary(g),
            new,
            errors: if bool::arbitrary(g) { 0 } else { u8::arbitrary(g) % (new + 1) },
            at_most_once: bool::arbitrary(g),
            wait_ms: u16::arbitrary(g),
            remaining_ms: u16::arbitrary(g),
            slots: u8::arbitrary(g),
            in_flight: u8::arbitrary(g),
        }
    }
}

impl Step {
    fn evidence(&self) -> evidence::Evidence {
        let mut evidence = evidence::Evidence::default();
        let pair = evidence.entry(&route(self.at_most_once)).1;
        pair.old.calls = self.old.into();
        pair.new.calls = self.new.into();
        pair.new.errors = self.errors.into();
        evidence
    }
}

fn digest(incarnation: u64, sequence: u64, counted: &evidence::Evidence) -> evidence::Digest {
    evidence::Digest {
        host: name("entry-1"),
        incarnation,
        sequence,
        service: name("catalogo"),
        id: call::Id::random(),
        in_flight: 1,
        evidence: counted.clone(),
    }
}

#[test]
fn calls_of_a_restarted_host_are_added_to_its_earlier_calls() {
    let now = Instant::now();
    let mut counted = evidence::Evidence::default();
    counted.entry(&route(false)).1.new.calls = 10;
    let mut aggregate = aggregate::Aggregate::new(now);
    aggregate.apply(&digest(1, 9, &counted), now);
    aggregate.apply(&digest(2, 1, &counted), now);
    assert_eq!(aggregate.evidence().total().new.calls, 20);
}

#[test]
fn the_largest_digest_and_halt_fit_into_a_frame() {
    let mut counted = evidence::Evidence::default();
    for i in 0..100 {
        let path = format!("/{i:0>31}");
        let tally =
            evidence::Tally { calls: 1 << 40, errors: 1 << 40, timed: 1 << 40, slow: 1 << 40 };
        let route = evidence::Route { path, at_most_once: i % 2 == 0 };
        *counted.entry(&route).1 = evidence::Pair { old: tally, new: tally };
    }
    let long = name(&"x".repeat(64));
    let mut digest = digest(1 << 50, 1 << 40, &counted);
    digest.host = long.clone();
    digest.service = long.clone();
    let (route, seen) = counted.0.first().unwrap();
    let reason =
        halt::Reason::Worse { kind: detector::Fault::Slow, route: route.clone(), seen: *seen };
    let halt = halt::Halt { service: long.clone(), id: digest.id, host: long, reason };
    let key = call::Key::from(*b"a key that all entry hosts share.");
    for frame in [wire::Frame::Evidence(digest), wire::Frame::Halt(halt)] {
        let bytes = frame.encode(&key).unwrap();
        assert_eq!(wire::Frame::decode(&bytes, &key).unwrap(), frame);
    }
}

#[test]
fn the_share_is_limited_by_the_slots_of_the_new_version() {
    let mut counted = evidence::Evidence::default();
    let tally = evidence::Tally { calls: 1_000, ..Default::default() };
    *counted.entry(&route(false)).1 = evidence::Pair { old: tally, new: tally };
    let mut current = running();
    for _ in 0..100 {
        let input = schedule::Input {
            evidence: &counted,
            stage_evidence: &counted,
            stage_elapsed: Duration::from_secs(60),
            remaining: Duration::ZERO,
            slots: 4,
            in_flight: 12.0,
        };
        match schedule::decide(&current, &input) {
            schedule::Decision::Advance(next) => current = next,
            schedule::Decision::Hold(wait) => {
                assert_eq!(wait, schedule::Hold::Slots);
                assert!((2_000..=3_000).contains(&current.share), "{}", current.share);
                return;
            }
        }
        assert_eq!(current.phase, moves::Phase::Running);
    }
    panic!("the share has no limit: {current:?}");
}

#[test]
fn a_second_version_receives_no_calls_without_a_move() {
    let known = Some(name("v1"));
    assert_eq!(split::active_version(&upstreams(&["v2", "v2", "v1"]), known.clone()), known);
    assert_eq!(split::active_version(&upstreams(&["v2", "v2"]), known), Some(name("v2")));
    assert_eq!(split::active_version(&upstreams(&["v2", "v1"]), None), Some(name("v1")));
    let idempotent = profile::Idempotency::Idempotent;
    let mut current = running();
    let split = split::Split::from(&current);
    current.phase = moves::Phase::Done;
    split.update(&current);
    assert_eq!(goes_to_new(&split, &upstreams(&["v3", "v1", "v2"]), idempotent, &[]), Some(true));
}
