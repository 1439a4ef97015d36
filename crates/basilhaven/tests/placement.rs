//! Placement of calls on upstreams that fail, report false loads, leave or start cold.

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

/// Runs a test on a runtime with timers, which waiting for a permit needs for its deadline.
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

/// Returns the same service on each of `count` hosts that share its upstreams.
fn services_on(specs: &[config::Upstream], count: usize) -> Vec<Rc<service::Service>> {
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

/// Returns a permit if one is available immediately.
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
        assert!(
            to_failing <= 10,
            "{to_failing} of 500 went to the upstream that fails immediately"
        );
    });
}

#[test]
fn at_most_half_of_the_upstreams_are_ejected() {
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
fn a_failing_upstream_is_ejected_in_place_of_the_one_ejected_longest() {
    with_timers(|| {
        let service = service_of(&specs(6));
        for name in ["u0", "u1", "u2"] {
            // No trial call is due while the test runs.
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
        assert!(to_failing <= 10, "{to_failing} calls went to the upstream that fails immediately");
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
fn the_only_upstream_is_not_marked_cold_for_being_slow() {
    with_timers(|| {
        let services = services_on(&specs(1), 2);
        let ok = |took| call::End::Answered { status: http::StatusCode::OK, took };
        for _ in 0..500 {
            try_acquire(&services[0]).unwrap().finish(ok(Duration::from_micros(50)));
        }
        let slow = Duration::from_millis(5);
        for _ in 0..60 {
            let Some(permit) = try_acquire(&services[0]) else { break };
            std::thread::sleep(slow);
            permit.finish(ok(slow));
        }
        assert!(
            !services[0].has_cold_upstream(),
            "calls on other hosts would wait until their deadline"
        );
    });
}

#[test]
fn a_false_report_attracts_no_calls() {
    let service = service_of(&specs(4));
    for upstream in service.upstreams() {
        let is_honest = upstream.name().as_str() != "u0";
        let in_flight = if is_honest { 2 } else { 0 };
        upstream.record_report(upstream::Report { in_flight, slots: SLOTS, at: Instant::now() });
    }
    let now = Instant::now();
    let baseline = Duration::from_millis(8);
    let others = |name: &str| upstream(&service, name).others_in_flight(now, baseline, 2.0);
    assert!(others("u0") >= others("u1"), "a report may only raise the estimate");
}

#[test]
fn an_old_report_loses_its_weight() {
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
fn the_in_flight_limit_holds_over_all_hosts_that_serve_the_service() {
    fn holds(hosts: u8, extra: u8) -> bool {
        let count = usize::from(hosts % 5) + 1;
        let profile = profile::Profile {
            extra_in_flight: u32::from(extra % 4) + 1,
            ..profile::Profile::default()
        };
        let limit = SLOTS + profile.extra_in_flight;
        let services = services_on(&specs(3), count);
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
fn a_call_without_room_waits_for_a_permit_to_be_dropped() {
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

/// Acquires all permits that are available immediately.
fn fill(service: &Rc<service::Service>) -> Vec<service::Permit> {
    std::iter::from_fn(|| try_acquire(service)).collect()
}

fn end_one(held: &mut Vec<service::Permit>, upstream: &str) {
    let at = held.iter().position(|permit| permit.upstream().name().as_str() == upstream);
    held.remove(at.unwrap()).finish(answered(8));
}

#[test]
fn a_waiting_retry_is_not_assigned_to_the_upstream_that_it_tried() {
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
        assert!(
            retried.as_mut().now_or_never().is_none(),
            "the call was assigned to the upstream that it has tried"
        );
        let to_fresh =
            fresh.as_mut().now_or_never().expect("a slot that only this call may use").unwrap();
        assert_eq!(to_fresh.upstream().name().as_str(), "u0");
        end_one(&mut held, "u1");
        let to_retried = retried.as_mut().now_or_never().expect("a slot").unwrap();
        assert_eq!(to_retried.upstream().name().as_str(), "u1");
    });
}

#[test]
fn a_retry_does_not_wait_for_an_upstream_that_this_host_does_not_use() {
    with_timers(|| {
        let specs = specs(2);
        let services = services_on(&specs, 2);
        // Only one of the two hosts, the cold-start owner, sends to a cold upstream; the call is
        // made on the other one.
        let is_owner =
            |service: &&Rc<service::Service>| upstream(service, "u1").share().owner_since.is_some();
        let service = services.iter().find(|service| !is_owner(service)).unwrap();
        service.apply_warmup(&"u1".parse().unwrap(), 1);
        let tried = ["u0".parse().unwrap()];
        let permit = service.acquire(&call(), &tried).now_or_never().expect("no wait").unwrap();
        assert_eq!(permit.upstream().name().as_str(), "u0");
    });
}

#[test]
fn a_waiting_call_is_assigned_once_an_ejection_backoff_ends() {
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
        // Calls that never end fill all other slots.
        let held = fill(&service);
        let waiting = call();
        let mut waiting = Box::pin(service.acquire(&waiting, &[]));
        assert!(waiting.as_mut().now_or_never().is_none());
        let until = Instant::now() + Duration::from_secs(10);
        let permit = loop {
            service.tick();
            if let Some(result) = waiting.as_mut().now_or_never() {
                break result.unwrap();
            }
            assert!(Instant::now() < until, "the available slot was not assigned");
            std::thread::yield_now();
        };
        assert_eq!(permit.upstream().name().as_str(), "u0", "with {} permits held", held.len());
    });
}

#[test]
fn ties_are_broken_at_random() {
    let mut first = std::collections::BTreeMap::new();
    for _ in 0..400 {
        let service = service_of(&specs(4));
        let chosen = try_acquire(&service).unwrap().upstream().name().clone();
        *first.entry(chosen).or_insert(0) += 1;
    }
    assert!(first.len() == 4 && first.values().all(|&n| n > 50), "{first:?}");
}

#[test]
fn upstreams_out_of_service_or_leaving_are_never_selected() {
    fn holds(conditions: Vec<u8>) -> bool {
        let mut all = specs(conditions.len().min(8));
        let mut out = config::Out::default();
        out.data_centres.insert("torino-b".parse().unwrap());
        let mut excluded = Vec::new();
        for (spec, condition) in all.iter_mut().zip(&conditions) {
            match condition % 4 {
                0 => continue,
                1 => spec.leaving = true,
                2 => assert!(out.upstreams.insert(spec.name.clone())),
                _ => spec.data_centre = "torino-b".parse().unwrap(),
            }
            excluded.push(spec.name.clone());
        }
        let service = service_of(&all);
        service.set_upstreams(&all, &out);
        let permits: Vec<_> = std::iter::from_fn(|| try_acquire(&service)).collect();
        let all_open = permits.iter().all(|permit| !excluded.contains(permit.upstream().name()));
        all_open && permits.is_empty() == (excluded.len() == all.len())
    }
    with_timers(|| seeded().quickcheck(holds as fn(Vec<u8>) -> bool));
}

#[test]
fn a_permit_frees_its_slot_however_it_ends() {
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
fn a_new_upstream_gets_one_call_from_one_host_until_it_is_warm() {
    with_timers(|| {
        let services = services_on(&specs(3), 3);
        for service in &services {
            service.set_upstreams(&specs(4), &config::Out::default());
        }
        let mut permits = Vec::new();
        for service in &services {
            permits.extend(std::iter::from_fn(|| try_acquire(service)));
        }
        let to_new = |permits: &[service::Permit]| {
            permits.iter().filter(|permit| permit.upstream().name().as_str() == "u3").count()
        };
        assert_eq!(to_new(&permits), 1, "one call in flight over all hosts together");
        drop(permits);
        let first = upstream(&services[0], "u0");
        assert!(!first.warmup().is_cold(), "upstreams on the first list are not marked cold");
    });
}

#[test]
fn upstreams_on_the_first_list_that_is_not_empty_are_not_cold() {
    with_timers(|| {
        let service = service_of(&[]);
        service.set_upstreams(&specs(2), &config::Out::default());
        assert!(!service.has_cold_upstream());
        service.set_upstreams(&specs(3), &config::Out::default());
        assert!(service.has_cold_upstream());
    });
}

#[test]
fn a_host_that_does_not_serve_the_service_sends_nothing_to_a_cold_upstream() {
    with_timers(|| {
        let service = service_of(&specs(1));
        let hosts = vec!["entry-1".parse().unwrap()];
        service.set_assignment(assignment::Assignment {
            local_host: Some("entry-9".parse().unwrap()),
            hosts,
        });
        service.set_upstreams(&specs(2), &config::Out::default());
        let permits: Vec<_> = std::iter::from_fn(|| try_acquire(&service)).collect();
        assert!(permits.iter().all(|permit| permit.upstream().name().as_str() == "u0"));
        assert_eq!(permits.len(), 1);
    });
}

#[test]
fn hosts_agree_on_the_warmup_state_in_any_order_of_messages() {
    fn holds(mut generations: Vec<u64>) -> bool {
        let warmup = |generations: &[u64]| {
            let warmup = warmup::Warmup::default();
            generations.iter().for_each(|generation| {
                warmup.merge(*generation);
            });
            (warmup.generation(), warmup.is_cold())
        };
        let one = warmup(&generations);
        generations.reverse();
        one == warmup(&generations)
    }
    seeded().tests(200).quickcheck(holds as fn(Vec<u64>) -> bool);
}

#[test]
fn responses_at_twice_the_baseline_latency_are_no_evidence_of_being_warm() {
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
fn a_slowdown_is_detected_and_decays() {
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
fn a_cold_restart_is_distinguished_from_a_transient_slowdown() {
    let baseline = Duration::from_millis(8);
    let detected_at = |slowness: u32| {
        let start = Instant::now();
        let estimator = load::Estimator::new(start);
        let mut now = start;
        // Calls are sent one at a time, so that few are in flight.
        (0..12).find(|_| {
            estimator.start(now, baseline);
            now += baseline * slowness;
            let is_detected = estimator.detects_cold_restart(now, baseline);
            estimator.record_success(now, baseline);
            is_detected
        })
    };
    assert_eq!(detected_at(5), None);
    assert!(detected_at(20).is_some());
}

#[test]
fn a_pause_of_this_host_or_of_an_upstream_is_not_detected_as_a_cold_restart() {
    let baseline = Duration::from_millis(2);
    let start = Instant::now();
    let estimator = load::Estimator::new(start);
    (0..SLOTS).for_each(|_| estimator.start(start, baseline));
    // This host was paused: the first check comes before the responses that have arrived are read.
    let resumed = start + Duration::from_secs(1);
    assert!(!estimator.detects_cold_restart(resumed, baseline));
    (0..SLOTS).for_each(|_| estimator.record_success(resumed, baseline));
    assert!(!estimator.detects_cold_restart(resumed, baseline));

    let start = resumed + Duration::from_secs(1);
    estimator.reset(start);
    (0..SLOTS).for_each(|_| estimator.start(start, baseline));
    // The upstream was paused, while this host was running.
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
fn a_silent_upstream_is_detected_as_a_cold_restart_within_100_ms() {
    let baseline = Duration::from_millis(2);
    let start = Instant::now();
    let estimator = load::Estimator::new(start);
    (0..SLOTS).for_each(|_| estimator.start(start, baseline));
    let found = (0..100)
        .find(|ms| estimator.detects_cold_restart(start + Duration::from_millis(*ms), baseline));
    assert!(found.is_some());
}

#[test]
fn hedged_calls_do_not_hide_a_cold_restart() {
    let baseline = Duration::from_millis(20);
    let start = Instant::now();
    let estimator = load::Estimator::new(start);
    let mut now = start;
    // No call returns: each is cancelled for another upstream's response after four baseline
    // latencies.
    let found = (0..20).find(|_| {
        estimator.start(now, baseline);
        now += baseline * 4;
        let is_detected = estimator.detects_cold_restart(now, baseline);
        estimator.record_cancelled(now, baseline, baseline * 4);
        is_detected
    });
    assert!(found.is_some());
}

#[test]
fn hosts_that_mark_different_upstreams_cold_keep_a_usable_one() {
    with_timers(|| {
        // With three hosts, at least one is the cold-start owner of neither of the two cold
        // upstreams.
        let services = services_on(&specs(2), 3);
        for service in &services {
            fill(service).into_iter().for_each(|permit| permit.finish(answered(8)));
        }
        let (u0, u1) = ("u0".parse().unwrap(), "u1".parse().unwrap());
        for (service, order) in services.iter().zip([[&u0, &u1], [&u1, &u0], [&u0, &u1]]) {
            order.into_iter().for_each(|name| service.apply_warmup(name, 1));
        }
        let generations = |service: &Rc<service::Service>| {
            service.upstreams().iter().map(|u| u.warmup().generation()).collect::<Vec<_>>()
        };
        assert_eq!(generations(&services[0]), generations(&services[1]));
        assert_eq!(generations(&services[0]), generations(&services[2]));
        for service in &services {
            assert!(service.upstreams().iter().any(|upstream| upstream.is_usable()));
            assert!(try_acquire(service).is_some());
        }
    });
}

#[test]
fn new_upstreams_stay_cold_even_if_no_warm_one_is_left() {
    with_timers(|| {
        let services = services_on(&specs(1), 2);
        let fresh: Vec<_> = ["f0", "f1"].map(spec).to_vec();
        for service in &services {
            fill(service).into_iter().for_each(|permit| permit.finish(answered(8)));
            service.set_upstreams(&fresh, &config::Out::default());
            assert!(service.upstreams().iter().all(|upstream| upstream.warmup().is_cold()));
            service.apply_warmup(&"f0".parse().unwrap(), 3);
            assert!(service.upstreams().iter().all(|upstream| upstream.warmup().is_cold()));
        }
    });
}
