//! Hedged attempts: a call at a slow upstream is hedged at another one, calls that run at most once
//! are never hedged, and hedges stay within their budget.

use std::time::{Duration, Instant};

use basilhaven::{config, profile};
use basilhaven_bench::cluster::{self, ConfigFile, Daemon, Upstream};
use basilhaven_bench::standin::{block_on, upstream};

/// Limit on each wait of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Factor by which an upstream is slowed down so that its calls take some seconds.
const SLOWDOWN: f64 = 1_500.0;

/// Factor by which upstreams are slowed down when the test waits for their calls; these still take
/// far longer than the delay of a hedge.
const SMALLER_SLOWDOWN: f64 = 100.0;

async fn start(hedge_budget_percent: u8) -> (Vec<Upstream>, Daemon) {
    let profile = profile::Profile {
        policy: profile::Policy::RoundRobin,
        hedge_budget_percent,
        retry_budget_percent: 0,
        ..Default::default()
    };
    start_with(profile, "64").await
}

async fn start_with(default: profile::Profile, slots: &str) -> (Vec<Upstream>, Daemon) {
    let mut document = config::Document::default();
    document.profiles.insert("default".parse().unwrap(), default);
    let config = ConfigFile::new(&document);
    let mut args: Vec<String> = config.flag().to_vec();
    let mut upstreams = Vec::new();
    for name in ["u1", "u2"] {
        let flags = ["--service-us", "2000", "--slots", slots];
        let upstream = Upstream::start("catalogo", name, "local", &flags).await;
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
        upstreams.push(upstream);
    }
    (upstreams, Daemon::start("entry-1", "local", &args).await)
}

async fn call(daemon: &Daemon, method: &str, calls: usize) -> usize {
    call_concurrently(daemon, "1", method, calls).await
}

async fn call_concurrently(daemon: &Daemon, workers: &str, method: &str, calls: usize) -> usize {
    let mut args = ["--workers", workers, "--method", method].map(str::to_owned).to_vec();
    args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
    args.extend(["--calls".to_owned(), calls.to_string()]);
    cluster::run_callers(&args, STEP_TIMEOUT).await.answered
}

async fn slow_down(upstream: &Upstream, factor: f64) {
    upstream.control(&upstream::Control { slow: Some(factor), ..Default::default() }).await;
}

#[test]
fn calls_at_a_slow_upstream_are_hedged_and_the_slow_attempts_cancelled() {
    block_on(async {
        let (upstreams, daemon) = start(100).await;
        assert_eq!(call(&daemon, "GET", 200).await, 200);
        slow_down(&upstreams[0], SLOWDOWN).await;
        let started = Instant::now();
        assert_eq!(call(&daemon, "GET", 8).await, 8);
        assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
        let until = Instant::now() + STEP_TIMEOUT;
        while upstreams[0].stats().await.cancelled == 0 {
            assert!(Instant::now() < until, "the slow attempts still run");
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

#[test]
fn calls_at_an_upstream_that_becomes_cold_continue_at_another() {
    block_on(async {
        let profile = profile::Profile {
            hedge_budget_percent: 1,
            retry_budget_percent: 100,
            ..Default::default()
        };
        let (upstreams, daemon) = start_with(profile, "4").await;
        // 95 calls are too few for the budget of 1% to allow a hedge.
        assert_eq!(call(&daemon, "GET", 60).await, 60);
        slow_down(&upstreams[0], SMALLER_SLOWDOWN * 2.0).await;
        // There are more callers than slots at the other upstream, so the slow one gets calls, too.
        assert_eq!(call_concurrently(&daemon, "12", "GET", 35).await, 35);
        let until = Instant::now() + STEP_TIMEOUT;
        while upstreams[0].stats().await.cancelled == 0 {
            assert!(Instant::now() < until, "{:?}", upstreams[0].stats().await);
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

#[test]
fn a_call_that_runs_at_most_once_is_never_hedged() {
    block_on(async {
        let (upstreams, daemon) = start(100).await;
        assert_eq!(call(&daemon, "GET", 200).await, 200);
        slow_down(&upstreams[0], SMALLER_SLOWDOWN).await;
        slow_down(&upstreams[1], SMALLER_SLOWDOWN).await;
        let before = upstreams[0].stats().await.begun + upstreams[1].stats().await.begun;
        call(&daemon, "POST", 2).await;
        let after = upstreams[0].stats().await.begun + upstreams[1].stats().await.begun;
        assert_eq!(after - before, 2);
    });
}

#[test]
fn hedges_stay_within_their_budget() {
    block_on(async {
        let (upstreams, daemon) = start(2).await;
        assert_eq!(call(&daemon, "GET", 1_000).await, 1_000);
        let mut begun = 0;
        for upstream in &upstreams {
            begun += upstream.stats().await.begun;
        }
        assert!((1_001..=1_020).contains(&begun), "{begun} attempts for 1000 calls");
    });
}
