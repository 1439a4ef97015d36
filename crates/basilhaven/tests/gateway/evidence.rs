//! How soon a bad version is found, and how seldom a good one is taken for bad, however many routes
//! the calls are spread over.

use std::rc::Rc;
use std::time::Duration;

use basilhaven::gateway::moves::evidence::{find_regression, Combined, Count, Evidence};

const HOSTS: usize = 3;

/// Calls per second of the service, and how often the coordinator looks at the evidence.
const CALLS_PER_S: f64 = 75.0;
const LOOKS_PER_S: f64 = 6.7;

/// Ends of the stages of a move of 16 s, in seconds, and the shares of the new version in them.
const STAGES: [(f64, f64); 5] = [(6.4, 0.06), (7.36, 0.1), (8.32, 0.25), (9.28, 0.5), (10.6, 1.0)];

/// How the calls of a move end.
#[derive(Clone, Copy)]
struct Load {
    routes: usize,
    /// The share of routes on which every call fails, whatever the version.
    failing_routes: f64,
    /// The share of failures of both versions, and from when to when.
    fault: (f64, f64, f64),
    /// The share of failures of the new version, in addition.
    new_failures: f64,
    /// The number of routes on which the new version has more failures; the last ones.
    bad_routes: usize,
    /// The latency of the new version, as a multiple of that of the old one.
    new_slowdown: f64,
}

const GOOD: Load = Load {
    routes: 300,
    failing_routes: 0.0,
    fault: (0.0, 0.0, 16.0),
    new_failures: 0.0,
    bad_routes: usize::MAX,
    new_slowdown: 1.0,
};

/// Plays a move. Returns the calls of the new version, and how many of them had failed, when it was
/// found to be bad; `None` if it was not.
fn play(load: Load, seed: u64) -> Option<(u32, u32)> {
    let mut random = fastrand::Rng::with_seed(seed);
    let routes: Vec<Rc<str>> = (0..load.routes).map(|n| format!("route-{n}").into()).collect();
    let mut hosts = vec![Evidence::new("catalogo".into(), 1); HOSTS];
    let (mut now, mut look_at, mut calls, mut failures) = (0.0, 0.0, 0, 0);
    loop {
        now += -(1.0 - random.f64()).ln() / CALLS_PER_S;
        let (_, share) = *STAGES.iter().find(|(end, _)| now < *end)?;
        let is_new = random.f64() < share;
        let number = random.usize(..routes.len());
        let always_fails = (number as f64) < load.failing_routes * routes.len() as f64;
        let (fault_share, from, until) = load.fault;
        let is_hit = (from..until).contains(&now) && random.f64() < fault_share;
        let is_affected = routes.len() - number <= load.bad_routes;
        let is_bad = is_new && is_affected && random.f64() < load.new_failures;
        let has_failed = always_fails || is_hit || is_bad;
        let slowdown = if is_new { load.new_slowdown } else { 1.0 };
        // Routes differ in their work, and calls of a route by half.
        let mean = 0.05 + 0.2 * (number % 7) as f64 / 6.0;
        let took = Duration::from_secs_f64(mean * slowdown * (0.5 + random.f64()));
        let count = Count::single(has_failed, 1.0, took);
        hosts[random.usize(..HOSTS)].record(&routes[number], is_new, &count);
        calls += u32::from(is_new);
        failures += u32::from(is_new && has_failed);
        if now >= look_at {
            look_at = now + 1.0 / LOOKS_PER_S;
            let mut all = Combined::default();
            hosts.iter().for_each(|evidence| all.add(evidence));
            if find_regression(&all).is_some() {
                return Some((calls, failures));
            }
        }
    }
}

// Guards against a bad version that no route shows, as each has too few calls (review/10).
#[test]
fn a_version_that_fails_is_found_however_many_routes_its_calls_are_spread_over() {
    for routes in [1, 3, 30, 300, 3000] {
        for seed in 0..60 {
            let load = Load { routes, new_failures: 0.5, ..GOOD };
            let (_, failures) = play(load, seed).expect("it is found");
            assert!(failures < 50, "{routes} routes, seed {seed}: after {failures} failures");
        }
    }
}

#[test]
fn a_slow_version_is_found_however_many_routes_its_calls_are_spread_over() {
    for routes in [1, 3, 30, 300, 3000] {
        for seed in 0..60 {
            let load = Load { routes, new_slowdown: 4.0, ..GOOD };
            let found = play(load, seed);
            assert!(found.is_some(), "{routes} routes, seed {seed}");
        }
    }
}

// Guards against a good version that is taken for bad as some routes have few calls of the old one,
// and against a sum that is more sensitive than the judgement of a single route.
#[test]
fn a_good_version_is_taken_for_bad_no_more_often_with_many_routes() {
    let always = |share| (share, 0.0, 16.0);
    // Failures of both versions: all the time, from a moment on, for a while, in a crash.
    let faults = [
        always(0.0),
        always(0.01),
        always(0.05),
        always(0.4),
        (0.55, 3.5, 12.0),
        (0.2, 6.0, 16.0),
        (1.0, 5.0, 5.3),
        (1.0, 8.0, 8.3),
    ];
    for fault in faults {
        let [one, many] = [1, 300].map(|routes| {
            let load = Load { routes, fault, ..GOOD };
            (0..100).filter(|seed| play(load, *seed).is_some()).count()
        });
        assert!(many <= one + 1, "{fault:?}: {many} of 100 moves, {one} with a single route");
    }
    for failing_routes in [0.1, 0.3] {
        let load = Load { failing_routes, ..GOOD };
        let alarms = (0..100).filter(|seed| play(load, *seed).is_some()).count();
        assert!(alarms <= 1, "{failing_routes} of the routes fail: {alarms} of 100 moves");
    }
}

// The sum does not take the place of the judgement by route.
#[test]
fn a_version_that_is_bad_on_one_route_is_found_although_another_route_always_fails() {
    for failing_routes in [0.0, 0.34] {
        for seed in 0..60 {
            let load = Load { routes: 3, new_failures: 0.5, bad_routes: 1, failing_routes, ..GOOD };
            assert!(play(load, seed).is_some(), "seed {seed}, {failing_routes} of the routes");
        }
    }
}
