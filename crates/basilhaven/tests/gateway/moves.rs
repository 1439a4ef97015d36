//! Moves between versions: shares of the calls, regressions, and the order of steps.

use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::gateway::moves::evidence::{find_regression, Combined, Count, Fault, Pair, Recent};
use basilhaven::gateway::moves::history::Findings;
use basilhaven::gateway::moves::{decide, Decision, Moves, Order, Stage, Step};
use basilhaven::gateway::store::Revision;
use basilhaven::gateway::upstream::Upstream;

use crate::upstream;

const SERVICE: &str = "catalogo";

fn order(revision: u64) -> Order {
    Order { to: "v2".into(), duration: Duration::from_secs(15), revision: Revision::from(revision) }
}

fn step(stage: Stage, revision: u64) -> Step {
    Step {
        service: SERVICE.into(),
        to: "v2".into(),
        order: Revision::from(1),
        stage,
        revision: Revision::from(revision),
        halted: false,
        order_age_ms: 0,
    }
}

fn count(responses: u32, failed: u32, mean: f32) -> Count {
    Count { responses, failed, seconds: mean * responses as f32 }
}

fn fault(new: Count, old: Count) -> Option<Fault> {
    fault_of(Pair { new, old, old_recent: Recent::default() })
}

fn fault_of(pair: Pair) -> Option<Fault> {
    let evidence: Combined = [("r".into(), pair)].into_iter().collect();
    find_regression(&evidence).map(|regression| regression.fault)
}

/// Returns the share of 4,000 choices that go to the new version.
fn share(moves: &Moves, now: Instant) -> f64 {
    let all = [upstream("new", "v2", "a", now), upstream("old", "v1", "a", now)];
    let eligible = || all.iter().collect::<Vec<&Rc<Upstream>>>();
    let is_new = || moves.choose_version(SERVICE, eligible(), now).iter().any(|u| &*u.id == "new");
    f64::from((0..4000).filter(|_| is_new()).count() as u32) / 4000.0
}

#[test]
fn a_new_version_gets_no_calls_before_the_first_step_and_its_share_after_it() {
    fastrand::seed(7);
    let (moves, now) = (Moves::default(), Instant::now());
    moves.apply_order(SERVICE.into(), Some(order(1)), now);
    assert_eq!(share(&moves, now), 0.0);
    moves.apply_step(step(Stage::Trial, 2), now);
    let trial = share(&moves, now);
    assert!((0.03..0.1).contains(&trial), "a trial's share is {trial}");
    moves.apply_step(step(Stage::Full, 3), now);
    assert_eq!(share(&moves, now), 1.0);
    moves.apply_step(step(Stage::RolledBack, 4), now);
    assert_eq!(share(&moves, now), 0.0);
}

#[test]
fn an_older_step_is_not_applied_and_a_halt_holds_until_the_next_step() {
    let (moves, now) = (Moves::default(), Instant::now());
    moves.apply_order(SERVICE.into(), Some(order(1)), now);
    moves.apply_step(step(Stage::RolledBack, 9), now);
    assert!(!moves.apply_step(step(Stage::Full, 8), now));
    assert_eq!(share(&moves, now), 0.0);
    let other = Moves::default();
    other.apply_order(SERVICE.into(), Some(order(1)), now);
    other.apply_step(step(Stage::Full, 5), now);
    other.apply_step(Step { halted: true, ..step(Stage::Full, 5) }, now);
    assert!(
        !other.apply_step(step(Stage::Full, 5), now),
        "a halt is not undone by the step that it halted"
    );
    assert_eq!(share(&other, now), 0.0);
}

#[test]
fn a_regression_is_found_by_failures_or_by_latency() {
    let old = count(400, 2, 0.1);
    assert_eq!(fault(count(12, 6, 0.1), old), Some(Fault::Failures));
    assert_eq!(
        fault(count(284, 12, 0.1), old),
        Some(Fault::Failures),
        "a few per cent, under load"
    );
    assert_eq!(fault(count(12, 0, 0.4), old), Some(Fault::Slow));
    assert_eq!(fault(count(300, 4, 0.13), old), None);
}

#[test]
fn a_slow_version_on_idle_upstreams_is_found_against_a_good_one_on_busy_upstreams() {
    // Guards against latencies that are not divided by cost: the new version is several times
    // slower on one of four calls, but its upstreams are idle while those of the old version are
    // busy.
    let sum = |calls: &[(u64, f64)]| {
        let counts =
            calls.iter().map(|&(ms, cost)| Count::single(false, cost, Duration::from_millis(ms)));
        counts.fold(count(0, 0, 0.0), |sum, one| Count {
            responses: sum.responses + one.responses,
            failed: sum.failed + one.failed,
            seconds: sum.seconds + one.seconds,
        })
    };
    let new: Vec<(u64, f64)> =
        (0..60).map(|n| (if n % 4 == 0 { 1041 } else { 147 }, 1.13)).collect();
    let old: Vec<(u64, f64)> = (0..600).map(|_| (183, 1.54)).collect();
    assert_eq!(fault(sum(&new), sum(&old)), Some(Fault::Slow));
    let good: Vec<(u64, f64)> = (0..60).map(|_| (134, 1.13)).collect();
    assert_eq!(fault(sum(&good), sum(&old)), None);
    assert_eq!(
        fault(sum(&old), sum(&good)),
        None,
        "a good new version whose upstreams are busier than those of the old one"
    );
}

#[test]
fn faults_of_both_versions_are_no_regression() {
    // A route on which every call fails, whatever the version.
    assert_eq!(fault(count(5, 5, 0.1), count(4, 4, 0.1)), None);
    // A period of faults that affect all upstreams equally.
    assert_eq!(fault(count(60, 6, 0.1), count(600, 55, 0.1)), None);
    // A route with latencies of milliseconds, where the difference is due to round trips.
    assert_eq!(fault(count(20, 0, 0.014), count(200, 0, 0.004)), None);
}

#[test]
fn a_fault_that_has_just_begun_on_both_versions_is_no_regression() {
    let new = count(345, 12, 0.1);
    let old = count(1500, 4, 0.1);
    assert_eq!(fault(new, old), Some(Fault::Failures));
    let recent = Recent { responses: 100.0, failed: 2.5 };
    assert_eq!(fault_of(Pair { new, old, old_recent: recent }), None);
}

#[test]
fn a_move_passes_all_stages_and_completes_within_its_duration() {
    let pair =
        Pair { new: count(80, 0, 0.1), old: count(900, 4, 0.1), old_recent: Recent::default() };
    let evidence: Combined = [("r".into(), pair)].into_iter().collect();
    let findings = Findings::from(evidence);
    let (mut stage, mut since_step, mut stages) =
        (Stage::Trial, Duration::ZERO, vec![Stage::Trial]);
    let interval = Duration::from_millis(150);
    let mut age = Duration::ZERO;
    while stage != Stage::Completed {
        (age, since_step) = (age + interval, since_step + interval);
        let decision = decide(&order(1), &step(stage, 2), age, since_step, &findings);
        if let Decision::Advance(next) = decision {
            (stage, since_step) = (next, Duration::ZERO);
            stages.push(next);
        }
        assert!(age < Duration::from_secs(14), "not done in time: {stages:?}");
    }
    assert_eq!(stages.len(), 6);
}

#[test]
fn an_unproven_version_stays_within_its_exposure_even_if_its_fault_shows_last() {
    // Shares multiplied by time, up to the end of the last step before the new version gets all
    // calls.
    let time = 15.0;
    let parts = [(Stage::Trial, 0.4), (Stage::Ramp(0), 0.06), (Stage::Ramp(1), 0.06)];
    let parts = parts.into_iter().chain([(Stage::Ramp(2), 0.06)]);
    let exposed: f64 = parts.map(|(stage, part)| stage.share(0.1) * part * time).sum();
    assert!(exposed < 0.1 * time, "{exposed:.2} s of all calls");
}

#[test]
fn a_host_that_starts_during_a_move_gets_the_age_of_the_order_from_others() {
    let now = Instant::now();
    let (old, young) = (Moves::default(), Moves::default());
    let ordered = now.checked_sub(Duration::from_secs(9)).expect("a clock that has run");
    old.apply_order(SERVICE.into(), Some(order(1)), ordered);
    old.apply_step(step(Stage::Trial, 2), ordered);
    young.apply_order(SERVICE.into(), Some(order(1)), now);
    for step in old.steps(now) {
        young.apply_step(step, now);
    }
    assert!(young.orders(now)[0].age >= Duration::from_secs(8));
}

#[test]
fn a_completed_version_gets_all_calls_after_the_old_one_has_ended() {
    let (moves, now) = (Moves::default(), Instant::now());
    moves.apply_order(SERVICE.into(), Some(order(1)), now);
    moves.apply_step(step(Stage::Completed, 2), now);
    let only = [upstream("new", "v2", "a", now)];
    assert_eq!(moves.choose_version(SERVICE, only.iter().collect(), now).len(), 1);
}

/// The upstreams of a service whose move is simulated, and how calls at the new version fail.
struct Simulation {
    moves: Moves,
    upstreams: Vec<Rc<Upstream>>,
    /// Calls in progress: their end, upstream, start, and whether they fail.
    calls: Vec<(Instant, usize, Instant, bool)>,
}

impl Simulation {
    /// Simulates a move of 16 s at 29 calls per second of 63 ms to eight upstreams with four slots.
    /// With `fails_from`, half of the calls fail that run beside so many others at an upstream of the
    /// new version. Returns the last stage, and the calls that the new version got until the end.
    fn run(seed: u64, fails_from: Option<u32>) -> (Stage, u32) {
        fastrand::seed(seed);
        let start = Instant::now();
        let upstreams = (0..16)
            .map(|n| upstream(&format!("i-{n}"), if n < 8 { "v1" } else { "v2" }, "a", start));
        let mut simulation = Simulation {
            moves: Moves::default(),
            upstreams: upstreams.collect(),
            calls: Vec::new(),
        };
        let order = Order { duration: Duration::from_secs(16), ..order(1) };
        simulation.moves.apply_order(SERVICE.into(), Some(order), start);
        simulation.moves.apply_step(step(Stage::Trial, 2), start);
        let (mut now, mut new_calls, mut checked_at) = (start, 0, start);
        while now < start + Duration::from_secs(16) {
            now += Duration::from_secs_f64(-(1.0 - fastrand::f64()).ln() / 29.0);
            simulation.end_calls(now);
            if now > checked_at + Duration::from_millis(150) {
                checked_at = now;
                simulation.decide(now);
            }
            new_calls += u32::from(simulation.begin_call(now, fails_from));
        }
        let stage = simulation.moves.orders(now)[0].step.as_ref().map(|(step, _)| step.stage);
        (stage.expect("a step"), new_calls)
    }

    /// Begins a call, and returns whether the new version has it.
    fn begin_call(&mut self, now: Instant, fails_from: Option<u32>) -> bool {
        let eligible = self.upstreams.iter().collect();
        let candidates = self.moves.choose_version(SERVICE, eligible, now);
        let chosen = candidates.into_iter().min_by_key(|u| (u.occupancy(), fastrand::u32(..)));
        let chosen = Rc::clone(chosen.expect("an upstream"));
        chosen.begin_call(now);
        let is_new = &*chosen.entry().version == "v2";
        let is_loaded = fails_from.is_some_and(|others| chosen.in_flight() > others);
        let number = self.upstreams.iter().position(|u| u.id == chosen.id).expect("a known one");
        let ends = now + Duration::from_secs_f64(0.063 * (0.7 + 0.6 * fastrand::f64()));
        self.calls.push((ends, number, now, is_new && is_loaded && fastrand::bool()));
        is_new
    }

    fn end_calls(&mut self, now: Instant) {
        for (_, number, sent_at, failed) in self.calls.extract_if(.., |call| call.0 <= now) {
            let upstream = &self.upstreams[number];
            upstream.end_call(sent_at);
            let count = Count::single(failed, 1.0, Duration::from_millis(63));
            let version = Rc::clone(&upstream.entry().version);
            self.moves.record(&SERVICE.into(), &"r".into(), &version, count);
        }
    }

    /// Takes the coordinator's part.
    fn decide(&self, now: Instant) {
        let progress = self.moves.orders(now).remove(0);
        let Some((step, since)) = progress.step else { return };
        let findings = self.moves.findings(&SERVICE.into(), now);
        let stage = match decide(&progress.order, &step, progress.age, since, &findings) {
            Decision::Wait => return,
            Decision::Advance(stage) => stage,
            Decision::RollBack(_) => Stage::RolledBack,
            halt => panic!("only the new version fails: {halt:?}"),
        };
        let revision = Revision::from(step.revision.number + 1);
        self.moves.apply_step(Step { stage, revision, ..step }, now);
    }
}

// Guards against a version that is judged while it is nearly idle, and fails once it has all calls.
#[test]
fn a_version_that_fails_under_load_is_rolled_back_within_its_exposure() {
    for seed in 0..40 {
        let (stage, calls) = Simulation::run(seed, Some(1));
        assert_eq!(stage, Stage::RolledBack, "seed {seed}");
        // A tenth of 16 s at 29 calls per second, and 50 calls.
        assert!(calls <= 46 + 50, "seed {seed}: {calls} calls");
    }
}

#[test]
fn a_good_version_is_completed_and_gets_its_share_before() {
    for seed in 0..40 {
        let (stage, calls) = Simulation::run(seed, None);
        assert_eq!(stage, Stage::Completed, "seed {seed}");
        assert!(calls > 100, "seed {seed}: {calls} calls");
    }
}

/// Returns which versions take calls, of these that have an upstream each.
fn versions_taking_calls(moves: &Moves, versions: &[&str], now: Instant) -> Vec<String> {
    let all: Vec<Rc<Upstream>> = versions.iter().map(|v| upstream(v, v, "a", now)).collect();
    let choose = |_| moves.choose_version(SERVICE, all.iter().collect(), now);
    let chosen = (0..4000).flat_map(choose).map(|u| u.entry().version.to_string());
    chosen.collect::<std::collections::BTreeSet<String>>().into_iter().collect()
}

fn give_order(moves: &Moves, to: &str, revision: u64, present: &[&str], now: Instant) {
    let present = present.iter().map(|version| Rc::from(*version)).collect();
    moves.record_versions(&SERVICE.into(), present);
    let order = Order { to: to.into(), ..order(revision) };
    moves.apply_order(SERVICE.into(), Some(order), now);
}

// Guards against an order back to the old version that sends all calls to the unproven one.
#[test]
fn an_order_back_sends_all_calls_to_the_version_that_served_before() {
    let (moves, now) = (Moves::default(), Instant::now());
    give_order(&moves, "v2", 1, &["v1", "v2"], now);
    moves.apply_step(step(Stage::Trial, 2), now);
    assert_eq!(versions_taking_calls(&moves, &["v1", "v2"], now), ["v1", "v2"]);
    give_order(&moves, "v1", 3, &["v1", "v2"], now);
    assert!(moves.is_proven(SERVICE, "v1"));
    assert_eq!(versions_taking_calls(&moves, &["v1", "v2"], now), ["v1"]);
    // A coordinator of an earlier build tries the version as if it were new.
    let trial = Step { to: "v1".into(), order: Revision::from(3), ..step(Stage::Trial, 4) };
    moves.apply_step(trial, now);
    assert_eq!(versions_taking_calls(&moves, &["v1", "v2"], now), ["v1"]);
}

#[test]
fn a_version_that_was_rolled_back_gets_no_calls_while_a_third_one_is_tried() {
    let (moves, now) = (Moves::default(), Instant::now());
    give_order(&moves, "v2", 1, &["v1", "v2"], now);
    moves.apply_step(step(Stage::RolledBack, 2), now);
    give_order(&moves, "v3", 3, &["v1", "v2", "v3"], now);
    let trial = Step { to: "v3".into(), order: Revision::from(3), ..step(Stage::Trial, 4) };
    moves.apply_step(trial, now);
    assert_eq!(versions_taking_calls(&moves, &["v1", "v2", "v3"], now), ["v1", "v3"]);
    // Ordered again, it is tried again.
    give_order(&moves, "v2", 5, &["v1", "v2", "v3"], now);
    let again = Step { order: Revision::from(5), ..step(Stage::Trial, 6) };
    moves.apply_step(again, now);
    assert_eq!(versions_taking_calls(&moves, &["v1", "v2", "v3"], now), ["v1", "v2"]);
}

#[test]
fn a_version_whose_order_is_removed_half_way_gets_no_calls() {
    let (moves, now) = (Moves::default(), Instant::now());
    give_order(&moves, "v2", 1, &["v1", "v2"], now);
    moves.apply_step(step(Stage::Ramp(1), 2), now);
    moves.apply_order(SERVICE.into(), None, now);
    assert_eq!(versions_taking_calls(&moves, &["v1", "v2"], now), ["v1"]);
    // It serves if nothing else does.
    assert_eq!(versions_taking_calls(&moves, &["v2"], now), ["v2"]);
}

#[test]
fn after_a_completed_move_the_next_version_is_tried_against_the_completed_one() {
    let (moves, now) = (Moves::default(), Instant::now());
    give_order(&moves, "v2", 1, &["v1", "v2"], now);
    moves.apply_step(step(Stage::Completed, 2), now);
    give_order(&moves, "v3", 3, &["v2", "v3"], now);
    assert_eq!(versions_taking_calls(&moves, &["v2", "v3"], now), ["v2"]);
    let trial = Step { to: "v3".into(), order: Revision::from(3), ..step(Stage::Trial, 4) };
    moves.apply_step(trial, now);
    assert_eq!(versions_taking_calls(&moves, &["v2", "v3"], now), ["v2", "v3"]);
    // A host that has missed that the move was completed still uses what is left.
    for listed_at_first in [&["v1", "v2"][..], &[]] {
        let missed = Moves::default();
        give_order(&missed, "v2", 1, listed_at_first, now);
        give_order(&missed, "v3", 3, &["v2", "v3"], now);
        assert_eq!(versions_taking_calls(&missed, &["v2", "v3"], now), ["v2"]);
    }
}
