//! Which upstream gets a call, under upstreams that fail, lie, leave or start cold.

use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::{assignment, call, config, load, profile, service, upstream, warmup};
use futures_util::FutureExt as _;
use quickcheck::{Gen, QuickCheck};

const SLOTS: u32 = 4;

/// Sixty cases, the same in every run.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(30, 20_261_204)).tests(60)
}

/// Runs a test on a thread with timers, since leases wait with a deadline.
fn with_timers(test: impl FnOnce()) {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    builder.enable_timer().build().unwrap().block_on(async { test() });
}

fn spec(name: &str) -> config::Upstream {
    format!("catalogo/{name}@127.0.0.1:9,slots={SLOTS},dc=milano-a").parse().unwrap()
}

fn specs(count: usize) -> Vec<config::Upstream> {
    (0..count).map(|i| spec(&format!("u{i}"))).collect()
}

fn service_of(specs: &[config::Upstream]) -> Rc<service::Service> {
    let profile = Rc::new(profile::Profile::default());
    let name = "catalogo".parse().unwrap();
    let service = Rc::new(service::Service::new(name, "milano-a".parse().unwrap(), profile));
    service.set_upstreams(specs, &config::Out::default());
    service
}

/// The same service on hosts that share it.
fn homes_of(specs: &[config::Upstream], count: usize) -> Vec<Rc<service::Service>> {
    let hosts: Vec<_> = (0..count).map(|i| format!("entry-{i}").parse().unwrap()).collect();
    let share = |own: &basilhaven::name::Name| {
        let service = service_of(specs);
        service.set_assignment(assignment::Assignment {
            local_host: Some(own.clone()),
            hosts: hosts.clone(),
        });
        service
    };
    hosts.iter().map(share).collect()
}

fn call() -> call::Call {
    call::Call {
        id: call::Id::random(),
        class: config::Class::Paying,
        idempotency: profile::Idempotency::Idempotent,
        deadline: Instant::now() + Duration::from_secs(60),
        depth: 0,
        retries_left: 0,
    }
}

/// A lease if one is to be had at once.
fn try_acquire(service: &Rc<service::Service>) -> Option<service::Permit> {
    service.acquire(&call(), &[]).now_or_never()?.ok()
}

fn answered(ms: u64) -> call::End {
    call::End::Answered { status: http::StatusCode::OK, took: Duration::from_millis(ms) }
}

fn failed() -> call::End {
    let status = http::StatusCode::INTERNAL_SERVER_ERROR;
    call::End::Answered { status, took: Duration::from_micros(50) }
}

fn upstream(service: &service::Service, name: &str) -> Rc<upstream::Upstream> {
    service.upstreams().into_iter().find(|u| u.name().as_str() == name).unwrap()
}

#[test]
fn a_fast_failing_upstream_attracts_no_calls() {
    with_timers(|| {
        let service = service_of(&specs(5));
        let mut to_failing = 0;
        for _ in 0..500 {
            let permit = try_acquire(&service).unwrap();
            match permit.upstream().name().as_str() {
                "u0" => {
                    to_failing += 1;
                    permit.finish(failed());
                }
                _ => permit.finish(answered(8)),
            }
        }
        assert!(to_failing <= 10, "{to_failing} of 500 went to the upstream that fails at once");
    });
}

#[test]
fn failures_of_most_upstreams_leave_half_of_them_open() {
    with_timers(|| {
        let service = service_of(&specs(6));
        for _ in 0..2_000 {
            let Some(permit) = try_acquire(&service) else { break };
            permit.finish(failed());
        }
        let ejected = service.upstreams().iter().filter(|u| u.health().is_ejected()).count();
        assert_eq!(ejected, 3);
    });
}

#[test]
fn an_upstream_that_fails_now_is_ejected_in_place_of_one_that_failed_long_ago() {
    with_timers(|| {
        let service = service_of(&specs(6));
        for name in ["u0", "u1", "u2"] {
            // None of them is due for a trial while the test runs.
            upstream(&service, name).health().eject(Instant::now() + Duration::from_secs(600));
        }
        let mut held = Vec::new();
        let mut to_failing = 0;
        for _ in 0..100 {
            let Some(permit) = try_acquire(&service) else { break };
            match permit.upstream().name().as_str() {
                "u3" => {
                    to_failing += 1;
                    permit.finish(failed());
                }
                _ => held.push(permit),
            }
        }
        assert!(to_failing <= 10, "{to_failing} calls went to the upstream that fails at once");
        let ejected = service.upstreams().iter().filter(|u| u.health().is_ejected()).count();
        assert_eq!(ejected, 3);
    });
}

#[test]
fn the_only_upstream_is_not_ejected() {
    with_timers(|| {
        let service = service_of(&specs(1));
        for _ in 0..20 {
            try_acquire(&service).unwrap().finish(call::End::Failed(call::Reason::ConnectionLost));
        }
    });
}

#[test]
fn the_only_upstream_is_not_held_back_for_being_slow() {
    with_timers(|| {
        let homes = homes_of(&specs(1), 2);
        let ok = |took| call::End::Answered { status: http::StatusCode::OK, took };
        for _ in 0..500 {
            try_acquire(&homes[0]).unwrap().finish(ok(Duration::from_micros(50)));
        }
        let slow = Duration::from_millis(5);
        for _ in 0..60 {
            let Some(permit) = try_acquire(&homes[0]) else { break };
            std::thread::sleep(slow);
            permit.finish(ok(slow));
        }
        assert!(!homes[0].has_cold(), "calls at other hosts would wait for their deadline");
    });
}

#[test]
fn a_report_that_lies_attracts_no_calls() {
    let service = service_of(&specs(4));
    for upstream in service.upstreams() {
        let honest = upstream.name().as_str() != "u0";
        let in_flight = if honest { 2 } else { 0 };
        upstream.record_report(upstream::Report { in_flight, slots: SLOTS, at: Instant::now() });
    }
    let now = Instant::now();
    let baseline = Duration::from_millis(8);
    let others = |name: &str| upstream(&service, name).others_in_flight(now, baseline, 2.0);
    assert!(others("u0") >= others("u1"), "a report may add to what is expected only");
}

#[test]
fn an_old_report_is_forgotten() {
    let service = service_of(&specs(1));
    let busy = upstream(&service, "u0");
    let now = Instant::now();
    busy.record_report(upstream::Report { in_flight: 50, slots: SLOTS, at: now });
    let baseline = Duration::from_millis(8);
    let later = now + baseline * 40;
    assert!(busy.others_in_flight(now, baseline, 1.0) > 40.0);
    assert!(busy.others_in_flight(later, baseline, 1.0) < 1.1);
}

#[test]
fn the_limit_holds_over_all_homes_together() {
    fn holds(homes: u8, extra: u8) -> bool {
        let count = usize::from(homes % 5) + 1;
        let profile = profile::Profile {
            extra_in_flight: u32::from(extra % 4) + 1,
            ..profile::Profile::default()
        };
        let limit = SLOTS + profile.extra_in_flight;
        let services = homes_of(&specs(3), count);
        let mut permits = Vec::new();
        for service in &services {
            service.set_profile(Rc::new(profile.clone()));
            permits.extend(std::iter::from_fn(|| try_acquire(service)));
        }
        let in_flight =
            |i: usize| -> u32 { services.iter().map(|s| s.upstreams()[i].in_flight()).sum() };
        (0..3).all(|i| in_flight(i) == limit)
    }
    with_timers(|| seeded().quickcheck(holds as fn(u8, u8) -> bool));
}

#[test]
fn calls_that_find_no_room_wait_for_a_lease_that_ends() {
    let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build();
    runtime.unwrap().block_on(async {
        let service = service_of(&specs(1));
        let held: Vec<_> = std::iter::from_fn(|| try_acquire(&service)).collect();
        assert_eq!(held.len() as u32, SLOTS + 1);
        let waiting = call();
        let mut waiting = Box::pin(service.acquire(&waiting, &[]));
        assert!(futures_util::poll!(&mut waiting).is_pending());
        drop(held);
        assert!(waiting.await.is_ok());
    });
}

/// Every lease that is to be had at once, by the upstream's name.
fn fill(service: &Rc<service::Service>) -> Vec<service::Permit> {
    std::iter::from_fn(|| try_acquire(service)).collect()
}

fn end_one(held: &mut Vec<service::Permit>, upstream: &str) {
    let at = held.iter().position(|permit| permit.upstream().name().as_str() == upstream);
    held.remove(at.unwrap()).finish(answered(8));
}

#[test]
fn a_call_that_waits_again_is_not_given_to_the_upstream_that_shed_it() {
    with_timers(|| {
        let service = service_of(&specs(2));
        let mut held = fill(&service);
        let (retried, fresh) = (call(), call());
        let tried = ["u0".parse().unwrap()];
        let mut retried = Box::pin(service.acquire(&retried, &tried));
        assert!(retried.as_mut().now_or_never().is_none());
        let mut fresh = Box::pin(service.acquire(&fresh, &[]));
        assert!(fresh.as_mut().now_or_never().is_none());

        end_one(&mut held, "u0");
        assert!(retried.as_mut().now_or_never().is_none(), "it went back to where it came from");
        let to_fresh = fresh.as_mut().now_or_never().expect("a slot that only it may use").unwrap();
        assert_eq!(to_fresh.upstream().name().as_str(), "u0");
        end_one(&mut held, "u1");
        let to_retried = retried.as_mut().now_or_never().expect("a slot").unwrap();
        assert_eq!(to_retried.upstream().name().as_str(), "u1");
    });
}

#[test]
fn a_call_does_not_wait_for_an_upstream_that_gets_nothing_from_this_host() {
    with_timers(|| {
        let specs = specs(2);
        let homes = homes_of(&specs, 2);
        // Only one of two homes sends to a cold upstream; the other is asked.
        let is_owner =
            |home: &&Rc<service::Service>| upstream(home, "u1").share().owner_since.is_some();
        let service = homes.iter().find(|home| !is_owner(home)).unwrap();
        service.apply_warmup(&"u1".parse().unwrap(), 1);
        let tried = ["u0".parse().unwrap()];
        let permit = service.acquire(&call(), &tried).now_or_never().expect("no wait").unwrap();
        assert_eq!(permit.upstream().name().as_str(), "u0");
    });
}

#[test]
fn a_call_that_waits_gets_room_that_comes_with_time() {
    with_timers(|| {
        let service = service_of(&specs(2));
        let mut others = Vec::new();
        while !upstream(&service, "u0").health().is_ejected() {
            let permit = try_acquire(&service).unwrap();
            match permit.upstream().name().as_str() {
                "u0" => permit.finish(failed()),
                _ => others.push(permit),
            }
            if others.len() == 5 {
                others.clear();
            }
        }
        // All that is left is filled by calls that never end.
        let held = fill(&service);
        let waiting = call();
        let mut waiting = Box::pin(service.acquire(&waiting, &[]));
        assert!(waiting.as_mut().now_or_never().is_none());
        let until = Instant::now() + Duration::from_secs(10);
        let given = loop {
            service.tick();
            if let Some(given) = waiting.as_mut().now_or_never() {
                break given.unwrap();
            }
            assert!(Instant::now() < until, "nobody looked again");
            std::thread::yield_now();
        };
        assert_eq!(given.upstream().name().as_str(), "u0", "with {} held", held.len());
    });
}

#[test]
fn ties_do_not_herd() {
    let mut first = std::collections::BTreeMap::new();
    for _ in 0..400 {
        let service = service_of(&specs(4));
        let chosen = try_acquire(&service).unwrap().upstream().name().clone();
        *first.entry(chosen).or_insert(0) += 1;
    }
    assert!(first.len() == 4 && first.values().all(|&n| n > 50), "{first:?}");
}

#[test]
fn upstreams_out_or_leaving_are_never_chosen() {
    fn holds(fates: Vec<u8>) -> bool {
        let mut all = specs(fates.len().min(8));
        let mut out = config::Out::default();
        out.data_centres.insert("torino-b".parse().unwrap());
        let mut closed = Vec::new();
        for (spec, fate) in all.iter_mut().zip(&fates) {
            match fate % 4 {
                0 => continue,
                1 => spec.leaving = true,
                2 => assert!(out.upstreams.insert(spec.name.clone())),
                _ => spec.data_centre = "torino-b".parse().unwrap(),
            }
            closed.push(spec.name.clone());
        }
        let service = service_of(&all);
        service.set_upstreams(&all, &out);
        let permits: Vec<_> = std::iter::from_fn(|| try_acquire(&service)).collect();
        let served = permits.iter().all(|permit| !closed.contains(permit.upstream().name()));
        served && permits.is_empty() == (closed.len() == all.len())
    }
    with_timers(|| seeded().quickcheck(holds as fn(Vec<u8>) -> bool));
}

#[test]
fn a_lease_dropped_in_any_way_frees_its_slot() {
    fn holds(ends: Vec<u8>) -> bool {
        let service = service_of(&specs(2));
        for end in ends {
            let Some(permit) = try_acquire(&service) else { continue };
            match end % 5 {
                0 => permit.finish(answered(8)),
                1 => permit.finish(failed()),
                2 => permit.finish(call::End::Failed(call::Reason::Connect)),
                3 => permit.finish(call::End::Cancelled),
                _ => drop(permit),
            }
        }
        service.upstreams().iter().all(|u| u.in_flight() == 0)
    }
    with_timers(|| seeded().quickcheck(holds as fn(Vec<u8>) -> bool));
}

#[test]
fn a_new_upstream_gets_one_call_from_one_home_until_it_is_proved_warm() {
    with_timers(|| {
        let services = homes_of(&specs(3), 3);
        for service in &services {
            service.set_upstreams(&specs(4), &config::Out::default());
        }
        let mut permits = Vec::new();
        for service in &services {
            permits.extend(std::iter::from_fn(|| try_acquire(service)));
        }
        let to_new = |permits: &[service::Permit]| {
            permits.iter().filter(|l| l.upstream().name().as_str() == "u3").count()
        };
        assert_eq!(to_new(&permits), 1, "one call in flight over all homes together");
        drop(permits);
        let known = upstream(&services[0], "u0");
        assert!(!known.warmup().is_cold(), "those of the first list are not taken for new");
    });
}

#[test]
fn the_first_list_after_an_empty_one_is_not_taken_for_new() {
    with_timers(|| {
        let service = service_of(&[]);
        service.set_upstreams(&specs(2), &config::Out::default());
        assert!(!service.has_cold());
        service.set_upstreams(&specs(3), &config::Out::default());
        assert!(service.has_cold());
    });
}

#[test]
fn a_host_that_is_no_home_sends_nothing_to_a_cold_upstream() {
    with_timers(|| {
        let service = service_of(&specs(1));
        let hosts = vec!["entry-1".parse().unwrap()];
        service.set_assignment(assignment::Assignment {
            local_host: Some("entry-9".parse().unwrap()),
            hosts,
        });
        service.set_upstreams(&specs(2), &config::Out::default());
        let permits: Vec<_> = std::iter::from_fn(|| try_acquire(&service)).collect();
        assert!(permits.iter().all(|l| l.upstream().name().as_str() == "u0"));
        assert_eq!(permits.len(), 1);
    });
}

#[test]
fn hosts_agree_on_warmth_in_whatever_order_they_hear_of_it() {
    fn holds(mut told: Vec<u64>) -> bool {
        let warmup = |told: &[u64]| {
            let warmup = warmup::Warmup::default();
            told.iter().for_each(|generation| {
                warmup.merge(*generation);
            });
            (warmup.generation(), warmup.is_cold())
        };
        let one = warmup(&told);
        told.reverse();
        one == warmup(&told)
    }
    seeded().tests(200).quickcheck(holds as fn(Vec<u64>) -> bool);
}

#[test]
fn answers_at_half_the_usual_speed_are_no_evidence_of_warmth() {
    let baseline = Duration::from_millis(8);
    let mut random = fastrand::Rng::with_seed(7);
    let mut draw = |mean: f64| baseline.mul_f64(-mean * (1.0 - random.f64()).ln());
    let warmup = warmup::Warmup::default();
    warmup.mark_cold();
    for _ in 0..400 {
        warmup.record_success(draw(2.0), Some(baseline), SLOTS + 1);
    }
    assert_eq!(warmup.max_in_flight(), 1);
    let needed =
        (0..1_000).position(|_| warmup.record_success(draw(1.0), Some(baseline), SLOTS + 1));
    assert!(needed.is_some_and(|needed| needed < 400), "{needed:?}");
}

#[test]
fn a_slow_down_is_seen_and_forgotten() {
    let baseline = Duration::from_millis(8);
    let start = Instant::now();
    let estimator = load::Estimator::new(start);
    (0..3).for_each(|_| estimator.start(start, baseline));
    let slow = start + baseline * 12;
    assert!(estimator.slowdown(slow, baseline) > 4.0);
    (0..3).for_each(|_| estimator.record_success(slow, baseline));
    assert!(estimator.slowdown(slow + baseline * 72, baseline) < 1.8);
}

#[test]
fn a_relapse_is_told_from_a_passing_slow_down() {
    let baseline = Duration::from_millis(8);
    let relapsed_at = |slowness: u32| {
        let start = Instant::now();
        let estimator = load::Estimator::new(start);
        let mut now = start;
        // One call after another, so that little is in flight.
        (0..12).find(|_| {
            estimator.start(now, baseline);
            now += baseline * slowness;
            let has = estimator.detects_cold_restart(now, baseline);
            estimator.record_success(now, baseline);
            has
        })
    };
    assert_eq!(relapsed_at(5), None);
    assert!(relapsed_at(20).is_some());
}

#[test]
fn a_pause_of_this_host_or_of_an_upstream_is_not_taken_for_a_relapse() {
    let baseline = Duration::from_millis(2);
    let start = Instant::now();
    let estimator = load::Estimator::new(start);
    (0..SLOTS).for_each(|_| estimator.start(start, baseline));
    // This host was paused: the first look comes before the answers that wait for it.
    let resumed = start + Duration::from_secs(1);
    assert!(!estimator.detects_cold_restart(resumed, baseline));
    (0..SLOTS).for_each(|_| estimator.record_success(resumed, baseline));
    assert!(!estimator.detects_cold_restart(resumed, baseline));

    let start = resumed + Duration::from_secs(1);
    estimator.reset(start);
    (0..SLOTS).for_each(|_| estimator.start(start, baseline));
    // The upstream was paused, while this host looked on.
    let paused_for = 40;
    for ms in 0..paused_for {
        assert!(
            !estimator.detects_cold_restart(start + Duration::from_millis(ms), baseline),
            "after {ms} ms"
        );
    }
    let resumed = start + Duration::from_millis(paused_for);
    (0..SLOTS).for_each(|_| estimator.record_success(resumed, baseline));
    assert!(!estimator.detects_cold_restart(resumed + Duration::from_millis(200), baseline));
}

#[test]
fn a_silent_upstream_is_taken_for_relapsed_soon() {
    let baseline = Duration::from_millis(2);
    let start = Instant::now();
    let estimator = load::Estimator::new(start);
    (0..SLOTS).for_each(|_| estimator.start(start, baseline));
    let found = (0..100)
        .find(|ms| estimator.detects_cold_restart(start + Duration::from_millis(*ms), baseline));
    assert!(found.is_some());
}

#[test]
fn hedged_calls_do_not_hide_a_relapse() {
    let baseline = Duration::from_millis(20);
    let start = Instant::now();
    let estimator = load::Estimator::new(start);
    let mut now = start;
    // None comes back: each is given up for another upstream's answer after some usual latencies.
    let found = (0..20).find(|_| {
        estimator.start(now, baseline);
        now += baseline * 4;
        let has = estimator.detects_cold_restart(now, baseline);
        estimator.record_cancelled(now, baseline, baseline * 4);
        has
    });
    assert!(found.is_some());
}

#[test]
fn hosts_that_cool_different_upstreams_at_once_leave_calls_somewhere_to_go() {
    with_timers(|| {
        // One of three homes at least is the sender to neither of two cold upstreams.
        let homes = homes_of(&specs(2), 3);
        for home in &homes {
            fill(home).into_iter().for_each(|permit| permit.finish(answered(8)));
        }
        let (u0, u1) = ("u0".parse().unwrap(), "u1".parse().unwrap());
        for (home, order) in homes.iter().zip([[&u0, &u1], [&u1, &u0], [&u0, &u1]]) {
            order.into_iter().for_each(|name| home.apply_warmup(name, 1));
        }
        let generations = |home: &Rc<service::Service>| {
            home.upstreams().iter().map(|u| u.warmup().generation()).collect::<Vec<_>>()
        };
        assert_eq!(generations(&homes[0]), generations(&homes[1]));
        assert_eq!(generations(&homes[0]), generations(&homes[2]));
        for home in &homes {
            assert!(home.upstreams().iter().any(|upstream| upstream.is_usable()));
            assert!(try_acquire(home).is_some());
        }
    });
}

#[test]
fn fresh_upstreams_are_not_released_though_no_warm_one_is_left() {
    with_timers(|| {
        let homes = homes_of(&specs(1), 2);
        let fresh: Vec<_> = ["f0", "f1"].map(spec).to_vec();
        for home in &homes {
            fill(home).into_iter().for_each(|permit| permit.finish(answered(8)));
            home.set_upstreams(&fresh, &config::Out::default());
            assert!(home.upstreams().iter().all(|upstream| upstream.warmup().is_cold()));
            home.apply_warmup(&"f0".parse().unwrap(), 3);
            assert!(home.upstreams().iter().all(|upstream| upstream.warmup().is_cold()));
        }
    });
}
