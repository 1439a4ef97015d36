//! Moves during faults of both versions, which say nothing of the new one.

use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::gateway::moves::evidence::{Combined, Count, Pair};
use basilhaven::gateway::moves::history::History;
use basilhaven::gateway::moves::{decide, Decision, Moves, Order, Stage, Step};
use basilhaven::gateway::store::Revision;

const SERVICE: &str = "catalogo";

/// The host that gets the calls.
const ENTRY: ([u8; 4], u16) = ([10, 0, 0, 1], 7400);

/// The duration of the moves, and the time for which they are simulated.
const DURATION_S: f64 = 16.0;
const SIMULATED_S: f64 = 30.0;

/// The latency of calls.
const LATENCY: Duration = Duration::from_millis(90);

/// Interval at which the coordinator checks a move.
const CHECK_INTERVAL_S: f64 = 0.15;

/// How the calls of a service end while it is moved.
#[derive(Clone)]
struct Load {
    calls_per_s: f64,
    /// The share of calls to both versions that fail, and when, in seconds since the order.
    fault: (f64, Vec<Range<f64>>),
    /// Whether the fault affects the new version as well.
    affects_new: bool,
    /// The share of calls to the new version that fail in addition, and since when.
    new_failures: (f64, f64),
    /// The share of routes on which every call fails, whatever the version.
    broken_routes: f64,
    /// The time that failed calls take.
    failure_time: Duration,
    /// The latency of the new version, as a multiple of that of the old one.
    new_slowdown: f64,
    /// When another host becomes the coordinator, which has looked at no evidence before.
    takeover: Option<f64>,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            calls_per_s: 160.0,
            fault: (0.55, vec![0.5..9.0]),
            affects_new: true,
            new_failures: (0.0, 0.0),
            broken_routes: 0.0,
            failure_time: LATENCY,
            new_slowdown: 1.0,
            takeover: None,
        }
    }
}

/// The course of a move.
#[derive(Debug, Default)]
struct Course {
    /// The last stage, and when it was reached.
    stage: Option<(Stage, f64)>,
    /// How often the move was suspended, since when it is, and the times for which it was.
    suspensions: u32,
    suspended_at: Option<f64>,
    suspended_for: Vec<f64>,
    /// Calls until the end of the move's duration: all of them, and those to the new version.
    calls: u32,
    new_calls: u32,
    /// Failed calls of the new version, and the calls that it got more than 5 s after the 50th.
    failures: u32,
    late_calls: u32,
}

impl Course {
    fn is(&self, stage: Stage) -> bool {
        self.stage.is_some_and(|(last, _)| last == stage)
    }

    /// Whether the new version got no more calls than an unproven version may get: a tenth and 50,
    /// and none later than 5 s after its 50th failure.
    fn is_within_exposure(&self) -> bool {
        f64::from(self.new_calls) <= 0.1 * f64::from(self.calls) + 50.0 && self.late_calls == 0
    }
}

fn order() -> Order {
    let duration = Duration::from_secs_f64(DURATION_S);
    Order { to: "v2".into(), duration, revision: Revision::from(1) }
}

fn first_step() -> Step {
    Step {
        service: SERVICE.into(),
        to: "v2".into(),
        order: Revision::from(1),
        stage: Stage::Trial,
        revision: Revision::from(2),
        halted: false,
        order_age_ms: 0,
    }
}

/// A host that knows a move at this step.
fn host(step: &Step, order_given_at: Instant, now: Instant) -> Moves {
    let moves = Moves::default();
    moves.apply_order(SERVICE.into(), Some(order()), order_given_at);
    moves.apply_step(step.clone(), now);
    moves
}

/// Plays a move, in which one host gets all calls and another one coordinates.
fn play(load: &Load, seed: u64) -> Course {
    let mut random = fastrand::Rng::with_seed(seed);
    let routes: Vec<Rc<str>> = (0..10).map(|n| format!("route-{n}").into()).collect();
    let start = Instant::now();
    let mut step = first_step();
    let (entry, mut coordinator) = (host(&step, start, start), host(&step, start, start));
    let mut course = Course::default();
    let (mut now, mut check_at, mut fiftieth_at) = (0.0, 0.0, f64::MAX);
    let mut takeover = load.takeover;
    while now < SIMULATED_S {
        now += -(1.0 - random.f64()).ln() / load.calls_per_s;
        while check_at <= now {
            let at = start + Duration::from_secs_f64(check_at);
            if takeover.take_if(|time| *time <= check_at).is_some() {
                coordinator = host(&step, start, at);
            }
            for evidence in entry.local_evidence() {
                coordinator.record_remote_evidence(ENTRY.into(), evidence);
            }
            step = check(&coordinator, at, check_at, &mut course);
            entry.apply_step(step.clone(), at);
            check_at += CHECK_INTERVAL_S;
        }
        let share = if step.halted { 0.0 } else { step.stage.share(0.1) };
        let is_new = random.f64() < share;
        let number = random.usize(..routes.len());
        let (fault_share, times) = &load.fault;
        let is_hit = times.iter().any(|time| time.contains(&now))
            && (load.affects_new || !is_new)
            && random.f64() < *fault_share;
        let (new_share, since) = load.new_failures;
        let is_bad = is_new && now >= since && random.f64() < new_share;
        let is_broken = (number as f64) < load.broken_routes * routes.len() as f64;
        let has_failed = is_hit || is_bad || is_broken;
        let took = match has_failed {
            true => load.failure_time,
            false => LATENCY.mul_f64(if is_new { load.new_slowdown } else { 1.0 }),
        };
        let count = Count::single(has_failed, 1.0, took);
        entry.record(&SERVICE.into(), &routes[number], if is_new { "v2" } else { "v1" }, count);
        course.calls += u32::from(now < DURATION_S);
        course.new_calls += u32::from(is_new && now < DURATION_S);
        course.failures += u32::from(is_new && has_failed);
        course.late_calls += u32::from(is_new && now > fiftieth_at + 5.0);
        if course.failures >= 50 {
            fiftieth_at = fiftieth_at.min(now);
        }
    }
    course
}

/// Takes the coordinator's part; returns the step that is in force then.
fn check(coordinator: &Moves, at: Instant, now: f64, course: &mut Course) -> Step {
    let progress = coordinator.orders(at).remove(0);
    let (step, since_step) = progress.step.expect("a step");
    let findings = coordinator.findings(&SERVICE.into(), at);
    let (stage, halted) = match decide(&progress.order, &step, progress.age, since_step, &findings)
    {
        Decision::Wait => return step,
        Decision::Suspend => (step.stage, true),
        Decision::Resume => (step.stage, false),
        Decision::Advance(stage) => (stage, false),
        Decision::RollBack(_) => (Stage::RolledBack, false),
    };
    course.suspensions += u32::from(halted);
    let suspended_at = std::mem::replace(&mut course.suspended_at, halted.then_some(now));
    course.suspended_for.extend(suspended_at.map(|at| now - at));
    course.stage = Some((stage, now));
    let written = u64::from(!halted);
    let revision = Revision::from(step.revision.number + written);
    let next = Step { stage, revision, halted, ..step };
    coordinator.apply_step(next.clone(), at);
    next
}

// Guards against a bad version that is completed because the old one fails as well for a while, so
// that its own failures show nothing (review/9).
#[test]
fn a_bad_version_is_not_completed_while_the_old_one_fails_too() {
    let times = [vec![0.5..9.0], vec![-1.0..7.0], vec![5.0..13.0], vec![1.0..5.0, 7.0..11.0]];
    for share in [0.3, 0.55, 1.0] {
        for times in &times {
            for new_failures in [(0.36, 0.0), (0.5, 0.0), (0.5, 3.0), (1.0, 0.0)] {
                let fault = (share, times.clone());
                let load = Load { fault: fault.clone(), new_failures, ..Load::default() };
                for seed in 0..20 {
                    let course = play(&load, seed);
                    let case = format!("{fault:?}, {new_failures:?}, seed {seed}: {course:?}");
                    assert!(course.is(Stage::RolledBack), "{case}");
                    assert!(course.is_within_exposure(), "{case}");
                }
            }
        }
    }
}

// As above, where the calls are few, or the host that has followed the move has ended.
#[test]
fn a_bad_version_is_not_completed_with_few_calls_or_by_another_coordinator() {
    let new_failures = (0.5, 0.0);
    let few = Load { calls_per_s: 20.0, new_failures, ..Load::default() };
    let taken_over =
        [2.0, 8.9, 9.5].map(|at| Load { takeover: Some(at), new_failures, ..Load::default() });
    for load in taken_over.iter().chain([&few]) {
        for seed in 0..40 {
            let course = play(load, seed);
            let case = format!("{} calls/s, {:?}", load.calls_per_s, load.takeover);
            assert!(!course.is(Stage::Completed), "{case}, seed {seed}: {course:?}");
            assert!(course.is_within_exposure(), "{case}, seed {seed}: {course:?}");
        }
    }
}

#[test]
fn a_new_version_gets_few_calls_while_both_fail_for_good() {
    let load = Load { fault: (0.55, vec![-1.0..f64::MAX]), ..Load::default() };
    for seed in 0..40 {
        let course = play(&load, seed);
        assert!(!course.is(Stage::Completed), "seed {seed}: {course:?}");
        assert!(course.failures < 50, "seed {seed}: {course:?}");
    }
}

#[test]
fn a_good_version_is_completed_in_time_after_a_fault_of_both() {
    for times in [vec![0.5..9.0], vec![-1.0..7.0], vec![3.0..5.0]] {
        let load = Load { fault: (0.55, times.clone()), ..Load::default() };
        let courses: Vec<Course> = (0..100).map(|seed| play(&load, seed)).collect();
        let is_done = |course: &&Course| {
            course.stage.is_some_and(|(stage, at)| stage == Stage::Completed && at < DURATION_S)
        };
        let done = courses.iter().filter(is_done).count();
        assert!(done >= 95, "{times:?}: {done} of 100 moves");
    }
}

// An operator may move to a version that mends the old one.
#[test]
fn a_version_without_failures_is_completed_although_the_old_one_fails() {
    let fault = (0.55, vec![-1.0..f64::MAX]);
    let load = Load { fault, affects_new: false, ..Load::default() };
    for seed in 0..40 {
        let course = play(&load, seed);
        assert!(course.is(Stage::Completed) && course.suspensions == 0, "seed {seed}: {course:?}");
    }
}

#[test]
fn routes_that_fail_whatever_the_version_do_not_hold_a_move_up() {
    for broken_routes in [0.1, 0.3] {
        let load = Load { fault: (0.0, Vec::new()), broken_routes, ..Load::default() };
        for seed in 0..40 {
            let course = play(&load, seed);
            let case = format!("{broken_routes} of the routes, seed {seed}: {course:?}");
            assert!(course.is(Stage::Completed) && course.suspensions == 0, "{case}");
        }
    }
}

// Guards against a good version that counts as slow, as the failed calls of the old one are fast, and
// against a slow one that does not, as they take long.
#[test]
fn the_time_that_failed_calls_take_says_nothing_of_the_latency_of_a_version() {
    let fault = (0.55, vec![-1.0..f64::MAX]);
    let failure_time = Duration::from_millis(4);
    let good = Load { fault, affects_new: false, failure_time, ..Load::default() };
    let fault = (0.55, vec![0.5..9.0]);
    let failure_time = Duration::from_millis(1000);
    let slow = Load { fault, failure_time, new_slowdown: 4.0, ..Load::default() };
    for seed in 0..40 {
        let course = play(&good, seed);
        assert!(course.is(Stage::Completed), "seed {seed}: {course:?}");
        let course = play(&slow, seed);
        assert!(course.is(Stage::RolledBack), "seed {seed}: {course:?}");
    }
}

#[test]
fn a_move_does_not_alternate_while_the_failures_of_the_old_version_vary() {
    for share in [0.12, 0.16, 0.2] {
        let load = Load { fault: (share, vec![0.5..12.0]), ..Load::default() };
        for seed in 0..40 {
            let course = play(&load, seed);
            let is_long = |time: &f64| *time >= 1.0;
            assert!(course.suspended_for.iter().all(is_long), "{share}, seed {seed}: {course:?}");
        }
    }
}

/// All evidence at a moment, if the old version has had these responses.
fn old_version(responses: u32, failed: u32) -> Combined {
    let old = Count { responses, failed, seconds: 0.0 };
    [("r".into(), Pair { old, ..Pair::default() })].into_iter().collect()
}

// Guards against a window in which too few calls of a small service end to tell.
#[test]
fn the_old_version_of_a_service_with_few_calls_is_seen_to_fail() {
    let (mut history, start) = (History::default(), Instant::now());
    let mut is_failing = false;
    // Two calls a second, one of which fails.
    for second in 0..16 {
        for part in 0..4 {
            let at = start + Duration::from_millis(second * 1000 + part * 250);
            let responses = 2 * second as u32;
            is_failing = history.look(old_version(responses, responses / 2), at).is_old_failing;
        }
        assert_eq!(is_failing, second >= 4, "second {second}");
    }
}

// Guards against a coordinator that resumes a move that another one has halted, before the evidence
// of the other hosts has arrived.
#[test]
fn a_host_that_has_just_become_the_coordinator_does_not_resume_a_halted_move() {
    let (mut history, start) = (History::default(), Instant::now());
    let halted = Step { halted: true, ..first_step() };
    let since = Duration::from_secs(5);
    let mut decide_at = |ms: u64| {
        let findings = history.look(old_version(100, 0), start + Duration::from_millis(ms));
        decide(&order(), &halted, since, since, &findings)
    };
    for ms in (0..1000).step_by(150) {
        assert_eq!(decide_at(ms), Decision::Wait, "{ms} ms after the first check");
    }
    assert_eq!(decide_at(1050), Decision::Resume);
    // It was another host's turn in between.
    assert_eq!(decide_at(4000), Decision::Wait);
}
