//! Limits that all hosts together keep: retries, calls to cold upstreams, and weights of splits.

use std::cell::Cell;
use std::time::{Duration, Instant};

use basilhaven::gateway::round_trips::RoundTrips;
use basilhaven::gateway::{limit, protocol, retries, route, selection, warmup};
use quickcheck::QuickCheck;

#[test]
fn retries_of_all_hosts_stay_within_the_budget() {
    fn holds(hosts: u8, calls: Vec<u8>) -> bool {
        let hosts = usize::from(hosts % 20) + 1;
        let allowed = retries::Allowance { ratio: 0.2, slack: 56.0 };
        let start = Instant::now();
        let budgets: Vec<_> =
            (0..hosts).map(|_| retries::Budget::new(Duration::from_secs(10))).collect();
        let (mut made, mut spent) = (0.0, 0.0);
        for (number, calls) in calls.iter().enumerate() {
            let budget = &budgets[number % hosts];
            let now = start + Duration::from_millis(number as u64);
            for _ in 0..*calls {
                budget.record_call(now);
                made += 1.0;
                while budget.try_spend(now, allowed.for_host(1.0 / hosts as f64), number % 4) {
                    spent += 1.0;
                }
            }
        }
        spent <= allowed.ratio * made + allowed.slack
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(60, 5))
        .tests(200)
        .quickcheck(holds as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn a_spent_retry_expires_after_the_window_and_not_before() {
    let start = Instant::now();
    let budget = retries::Budget::new(Duration::from_secs(10));
    let one = retries::Allowance { ratio: 0.0, slack: 1.0 };
    assert!(budget.try_spend(start, one, 0));
    assert!(!budget.try_spend(start + Duration::from_millis(9900), one, 0));
    assert!(budget.try_spend(start + Duration::from_millis(11_100), one, 0));
}

/// Plays a minute of calls of three ranks, 10, 5 and 10 a second, of which a share is shed; returns
/// the share of the retries that each rank got. `by_rank` tells the budget their rank.
fn granted(shed_share: f64, by_rank: bool) -> [f64; 3] {
    fastrand::seed(4);
    let start = Instant::now();
    let budget = retries::Budget::new(Duration::from_secs(10));
    let allowed = retries::Allowance { ratio: 0.2, slack: 160.0 }.for_host(1.0 / 24.0);
    let (mut requested, mut granted) = ([0.0; 3], [0.0; 3]);
    for ms in (0..60_000).step_by(20) {
        let now = start + Duration::from_millis(ms);
        for (rank, per_second) in [10.0, 5.0, 10.0].into_iter().enumerate() {
            if fastrand::f64() >= per_second / 50.0 {
                continue;
            }
            budget.record_call(now);
            if fastrand::f64() < shed_share {
                requested[rank] += 1.0;
                let rank_told = if by_rank { rank } else { 0 };
                granted[rank] += f64::from(budget.try_spend(now, allowed, rank_told));
            }
        }
    }
    std::array::from_fn(|rank| granted[rank] / requested[rank])
}

/// Guards against a budget that calls of low priority use up while upstreams shed 0.55 of all calls.
#[test]
fn a_short_retry_budget_goes_to_the_higher_ranks_first() {
    let (before, after) = (granted(0.55, false), granted(0.55, true));
    assert!(before[0] < 0.5, "the budget is not short: {before:?}");
    assert!(after[0] > 1.5 * before[0], "{before:?} {after:?}");
    assert!(after[0] > after[1] && after[1] > after[2], "{after:?}");
    let all = (2.0 * after[0] + after[1] + 2.0 * after[2]) / 5.0;
    assert!(after[2] > 0.25 * all, "the lowest rank gets too few: {after:?}");
}

/// Guards against a part that is kept for higher ranks although the budget is not short.
#[test]
fn a_sufficient_retry_budget_serves_all_ranks_alike() {
    assert_eq!(granted(0.05, true), [1.0; 3]);
}

#[test]
fn calls_of_all_hosts_to_a_cold_upstream_stay_within_its_rate_in_any_second() {
    fastrand::seed(11);
    // Number of hosts, calls per second that the upstream can take, and calls permitted in a second
    // beyond 1.5 times that rate.
    for (hosts, rate, slack) in [(1, 13.0_f64, 5.0_f64), (13, 13.0, 5.0), (108, 4.6, 8.0)] {
        let start = Instant::now();
        let warmups: Vec<warmup::Warmup> = (0..hosts).map(|_| warmup::Warmup::default()).collect();
        let mut sent = Vec::new();
        for ms in 0..6000_u64 {
            let now = start + Duration::from_millis(ms);
            for warmup in &warmups {
                warmup.set_remaining(now, Duration::from_secs(3));
                warmup.set_rate(rate, 1.0 / f64::from(hosts));
                if warmup.admits(now) {
                    warmup.record_call(now);
                    sent.push(ms);
                }
            }
        }
        let in_second = |at: u64| sent.iter().filter(|&&ms| (at..at + 1000).contains(&ms)).count();
        let most = (0..5000).map(in_second).max().unwrap_or(0) as f64;
        assert!(most <= rate * 1.5 + slack, "{most} in a second by {hosts} hosts");
        assert!(sent.len() as f64 >= rate * 6.0 * 0.4, "{} in 6 s by {hosts} hosts", sent.len());
    }
}

#[test]
fn a_traffic_split_keeps_its_weights_over_few_calls() {
    let part = |service: &str, weight| route::Destination { service: service.into(), weight };
    let mut route = route::Route::new("r", "/", "a");
    route.destinations = vec![part("a", 90.0), part("b", 10.0)];
    let few = Cell::new(0);
    (0..200)
        .filter(|_| route.choose_service().is_some_and(|s| &**s == "b"))
        .for_each(|_| few.set(few.get() + 1));
    assert!((18..=22).contains(&few.get()), "{} of 200 for a tenth", few.get());
}

/// Texts and numbers of the whole range that an upstream may write as a rate.
fn rate(text_number: f64, exponent: i8) -> Vec<String> {
    let scaled = 8.0 * 10f64.powi(i32::from(exponent) * 3);
    [text_number, scaled, -scaled].iter().map(f64::to_string).collect()
}

// Guards against a rate next to none, whose wait fitted a duration and overflowed an instant.
#[test]
fn no_rate_that_can_be_written_leads_to_a_wait_that_cannot_be() {
    fn holds(number: f64, exponent: i8, ahead: u32, hosts: u16, left_ms: u64) -> bool {
        let left = Duration::from_millis(left_ms);
        rate(number, exponent).iter().all(|text| {
            let now = Instant::now();
            let limit = limit::Limit::default();
            limit.record(text.parse().ok(), now);
            limit.set_share(1.0 / (f64::from(hosts) + 1.0), now);
            let Some(supply) = limit::Supply::of([&limit, &limit], now) else { return true };
            match supply.check(ahead as usize, left) {
                Ok(()) => supply.wait(ahead as usize).is_some_and(|wait| wait <= left),
                Err(Some(wait)) => now.checked_add(wait).is_some() && wait > left,
                Err(None) => true,
            }
        })
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, 8))
        .tests(20_000)
        .quickcheck(holds as fn(f64, i8, u32, u16, u64) -> bool);
}

// Guards against a load report from which a time or a sum is derived that cannot be.
#[test]
fn no_load_that_can_be_written_leads_to_a_time_that_cannot_be() {
    fn holds(running: u32, waiting: u32, slots: u32, slowdown: f32, target_ms: u32) -> bool {
        let now = Instant::now();
        let upstream = crate::upstream("u", "v1", "a", now);
        let load = protocol::Load { running, waiting, slots, slowdown: slowdown.abs() };
        upstream.record_report(load.bounded(), now);
        let baseline = Duration::from_millis(target_ms.into());
        let round_trips = RoundTrips::default();
        let context = selection::Context { data_centre: "a", baseline, round_trips: &round_trips };
        let cost = selection::cost(&upstream, &context, now);
        now.checked_add(baseline.mul_f64(cost)).is_some()
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(100, 9))
        .tests(20_000)
        .quickcheck(holds as fn(u32, u32, u32, f32, u32) -> bool);
}
