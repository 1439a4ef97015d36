//! Limits that all hosts together keep: retries, calls to cold upstreams, and weights of splits.

use std::cell::Cell;
use std::time::{Duration, Instant};

use basilhaven::gateway::{retries, route, warmup};
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
                while budget.try_spend(now, allowed.for_host(1.0 / hosts as f64)) {
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
    assert!(budget.try_spend(start, one));
    assert!(!budget.try_spend(start + Duration::from_millis(9900), one));
    assert!(budget.try_spend(start + Duration::from_millis(11_100), one));
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
