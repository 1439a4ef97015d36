//! Calls under an idempotency key run at most once, whichever hosts fail and whichever responses
//! and writes the platform loses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilhaven::call::field;
use basilhaven::http1::client;
use basilhaven::{config, profile};
use basilhaven_bench::cluster::{ConfigFile, Daemon, Platform, Upstream};
use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::{block_on, platform, upstream};
use http::HeaderValue;

/// Limit on each wait of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

async fn post(entry: SocketAddr, key: Option<&str>) -> client::Response {
    let mut request = client::Request::new(http::Method::POST, "/reserve", "pot").unwrap();
    request.headers.insert(http::header::HOST, HeaderValue::from_static("catalogo"));
    if let Some(key) = key {
        request.headers.insert(field::KEY, HeaderValue::from_str(key).unwrap());
    }
    client::call(entry, &request, STEP_TIMEOUT, 1 << 20).await.expect("a response")
}

/// Returns the status, outcome and reason of a response.
fn outcome_of(response: &client::Response) -> (u16, &str, &str) {
    let text = |name| response.headers.get(name).map_or("", |v: &HeaderValue| v.to_str().unwrap());
    (response.status.as_u16(), text(field::OUTCOME), text(field::REASON))
}

/// Hosts whose profile may require claims, their platform, and one upstream.
struct Fixture {
    platform: Platform,
    upstream: Upstream,
    daemons: Vec<Daemon>,
    args: Vec<String>,
    _config: ConfigFile,
}

impl Fixture {
    async fn start(data_centres: &[&str], claims: bool, flags: &[&str]) -> Fixture {
        let mut document = config::Document::default();
        let default = profile::Profile { claims, hedge_budget_percent: 0, ..Default::default() };
        document.profiles.insert("default".parse().unwrap(), default);
        let config = ConfigFile::new(&document);
        let platform = Platform::start(&[]).await;
        let upstream = Upstream::start("catalogo", "u1", "a", &["--slots", "32"]).await;
        let mut args = config.flag().to_vec();
        args.extend(["--platform".to_owned(), platform.address.to_string()]);
        args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
        args.extend(flags.iter().map(|flag| (*flag).to_owned()));
        let daemons = Daemon::start_all(data_centres, &args).await;
        Fixture { platform, upstream, daemons, args, _config: config }
    }

    /// Starts another host, with two of the running hosts as its seeds.
    async fn join(&self, name: &str, data_centre: &str) -> Daemon {
        let mut args = self.args.clone();
        for seed in self.daemons.iter().rev().take(2) {
            args.extend(["--seed".to_owned(), seed.peer.to_string()]);
        }
        Daemon::start(name, data_centre, &args).await
    }

    async fn control(&self, control: platform::Control) {
        self.platform.control(&control).await;
    }

    /// Returns the number of calls under idempotency keys that the upstream ran.
    async fn run_count(&self) -> usize {
        self.upstream.records().await.iter().filter(|record| record.key.is_some()).count()
    }
}

async fn start_three() -> Fixture {
    Fixture::start(&["a", "b", "c"], true, &[]).await
}

#[test]
fn a_key_sent_again_after_its_host_was_killed_does_not_run_again() {
    block_on(async {
        let Fixture { upstream, mut daemons, platform: _platform, .. } = start_three().await;
        let late = upstream::Control { spoil: Some(upstream::Fault::Late), ..Default::default() };
        upstream.control(&late).await;
        let entry = daemons[0].callers;
        let first = monoio::spawn(async move {
            let mut request = client::Request::new(http::Method::POST, "/reserve", "pot").unwrap();
            request.headers.insert(http::header::HOST, HeaderValue::from_static("catalogo"));
            request.headers.insert(field::KEY, HeaderValue::from_static("order-7"));
            client::call(entry, &request, STEP_TIMEOUT, 1 << 20).await
        });
        let until = Instant::now() + STEP_TIMEOUT;
        while upstream.stats().await.begun == 0 {
            assert!(Instant::now() < until, "the call did not reach the upstream");
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
        daemons[0].process.signal(Signal::Kill);
        assert_eq!(daemons[0].process.wait(STEP_TIMEOUT).await, Some(false));
        assert!(first.await.is_err(), "the killed host responded");
        for daemon in &daemons[1..] {
            let repeated = post(daemon.callers, Some("order-7")).await;
            assert_eq!(outcome_of(&repeated), (409, "unknown", "duplicate"));
        }
        assert_eq!(upstream.records().await.len(), 1);
    });
}

#[test]
fn a_key_whose_call_was_not_run_may_be_sent_again() {
    block_on(async {
        let Fixture { upstream, daemons, platform: _platform, .. } = start_three().await;
        upstream.control(&upstream::Control { drain: Some(true), ..Default::default() }).await;
        let shed = post(daemons[0].callers, Some("order-8")).await;
        assert_eq!(outcome_of(&shed), (503, "not-run", "shed"));
        upstream.control(&upstream::Control { drain: Some(false), ..Default::default() }).await;
        let until = Instant::now() + STEP_TIMEOUT;
        // The claim's row may be removed only after the refusal has reached the caller.
        while post(daemons[1].callers, Some("order-8")).await.status != http::StatusCode::OK {
            assert!(Instant::now() < until, "the key is still claimed");
        }
        let repeated = post(daemons[2].callers, Some("order-8")).await;
        assert_eq!(outcome_of(&repeated), (409, "unknown", "duplicate"));
        assert_eq!(upstream.records().await.len(), 1);
    });
}

#[test]
fn a_host_that_has_just_started_refuses_keys_used_before_its_start() {
    block_on(async {
        let fixture = start_three().await;
        let first = post(fixture.daemons[0].callers, Some("order-9")).await;
        assert_eq!(first.status, http::StatusCode::OK);
        let new = fixture.join("entry-4", "a").await;
        wait_until_serving(&new).await;
        let repeated = post(new.callers, Some("order-9")).await;
        assert_eq!(outcome_of(&repeated), (409, "unknown", "duplicate"));
        assert_eq!(fixture.run_count().await, 1);
        assert_eq!(post(new.callers, None).await.status, http::StatusCode::OK);
    });
}

#[test]
fn a_host_without_the_platform_runs_no_call_under_a_key() {
    block_on(async {
        let fixture = start_three().await;
        let entry = fixture.daemons[0].callers;
        assert_eq!(post(entry, Some("order-9")).await.status, http::StatusCode::OK);
        fixture.control(platform::Control { down: Some(true), ..Default::default() }).await;
        let refused = post(entry, Some("order-10")).await;
        assert_eq!(outcome_of(&refused), (503, "unknown", "no-claim"));
        assert_eq!(fixture.run_count().await, 1);
        fixture.control(platform::Control { down: Some(false), ..Default::default() }).await;
        let until = Instant::now() + STEP_TIMEOUT;
        while post(entry, Some("order-11")).await.status != http::StatusCode::OK {
            assert!(Instant::now() < until, "keys are still refused after the outage");
        }
        assert_eq!(fixture.run_count().await, 2);
    });
}

#[test]
fn no_key_runs_twice_however_many_hosts_race_for_it_and_whatever_the_platform_loses() {
    block_on(async {
        let fixture = start_three().await;
        let control = platform::Control {
            lose_answers: Some(0.4),
            lose_writes: Some(0.2),
            ..Default::default()
        };
        fixture.control(control).await;
        let mut calls = Vec::new();
        for i in 0..40 {
            for daemon in &fixture.daemons {
                let (entry, key) = (daemon.callers, format!("order-{i}"));
                let call = async move { post(entry, Some(&key)).await.status };
                calls.push(monoio::spawn(call));
            }
        }
        let mut ok_count = 0;
        for call in calls {
            match call.await {
                http::StatusCode::OK => ok_count += 1,
                http::StatusCode::CONFLICT | http::StatusCode::SERVICE_UNAVAILABLE => {}
                status => panic!("unexpected status {status}"),
            }
        }
        assert!(ok_count > 0, "no call under a key succeeded");
        let mut keys = std::collections::HashSet::new();
        for record in fixture.upstream.records().await {
            let key = record.key.expect("a call under a key");
            assert!(keys.insert(key.clone()), "{key} ran twice");
        }
        assert_eq!(keys.len(), ok_count);
    });
}

#[test]
fn a_profile_that_asks_for_no_claims_writes_no_row() {
    block_on(async {
        let fixture = Fixture::start(&["a", "b"], false, &[]).await;
        let before = fixture.platform.writes().await.len();
        for daemon in &fixture.daemons {
            let response = post(daemon.callers, Some("order-1")).await;
            assert_eq!(response.status, http::StatusCode::OK);
        }
        assert_eq!(fixture.platform.writes().await.len(), before);
    });
}

/// Starts seven hosts with a short directory TTL, so that each stops within two seconds.
async fn start_seven() -> Fixture {
    let data_centres = ["a", "b", "c", "a", "b", "c", "a"];
    Fixture::start(&data_centres, true, &["--entry-ttl-ms", "100"]).await
}

/// Makes twenty calls under keys that begin with `name`, each through the next host in turn.
async fn call_keys(daemons: &[Daemon], name: &str) {
    for (i, daemon) in (0..20).zip(daemons.iter().cycle()) {
        let key = format!("{name}-{i}");
        let response = post(daemon.callers, Some(&key)).await;
        assert_eq!(response.status, http::StatusCode::OK, "{key}: {:?}", outcome_of(&response));
    }
}

/// Repeats the calls of [`call_keys`] through every host, and checks that none of them runs.
async fn repeat_keys(daemons: &[Daemon], name: &str) {
    for i in 0..20 {
        for daemon in daemons {
            let response = post(daemon.callers, Some(&format!("{name}-{i}"))).await;
            let outcome = outcome_of(&response);
            assert_eq!(outcome, (409, "unknown", "duplicate"), "{name}-{i} on {}", daemon.name);
        }
    }
}

async fn wait_for_exit(daemon: &mut Daemon) {
    assert_eq!(
        daemon.process.wait(2 * STEP_TIMEOUT).await,
        Some(true),
        "{} did not exit cleanly",
        daemon.name
    );
}

/// Waits until a host serves calls.
async fn wait_until_serving(daemon: &Daemon) {
    let until = Instant::now() + STEP_TIMEOUT;
    while post(daemon.callers, None).await.status != http::StatusCode::OK {
        assert!(Instant::now() < until, "{} does not serve calls", daemon.name);
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn keys_are_claimed_and_refused_again_while_hosts_are_replaced_one_by_one() {
    block_on(async {
        let mut fixture = start_seven().await;
        call_keys(&fixture.daemons, "before").await;
        for (i, data_centre) in ["a", "b", "c", "a"].into_iter().enumerate() {
            let new = fixture.join(&format!("new-{i}"), data_centre).await;
            wait_until_serving(&new).await;
            let mut old = fixture.daemons.remove(0);
            fixture.daemons.push(new);
            old.process.signal(Signal::Terminate);
            wait_for_exit(&mut old).await;
        }
        call_keys(&fixture.daemons, "after").await;
        repeat_keys(&fixture.daemons, "before").await;
        repeat_keys(&fixture.daemons, "after").await;
        assert_eq!(fixture.run_count().await, 40);
    });
}

#[test]
fn keys_are_claimed_and_refused_again_when_four_of_seven_hosts_leave_at_once() {
    block_on(async {
        let mut fixture = start_seven().await;
        call_keys(&fixture.daemons, "before").await;
        let remaining = fixture.daemons.split_off(4);
        for daemon in &fixture.daemons {
            daemon.process.signal(Signal::Terminate);
        }
        for daemon in &mut fixture.daemons {
            wait_for_exit(daemon).await;
        }
        call_keys(&remaining, "after").await;
        repeat_keys(&remaining, "before").await;
        repeat_keys(&remaining, "after").await;
        assert_eq!(fixture.run_count().await, 40);
    });
}

#[test]
fn invalid_keys_are_refused() {
    block_on(async {
        let fixture = Fixture::start(&["a"], true, &[]).await;
        let entry = fixture.daemons[0].callers;
        let long = "k".repeat(256);
        for key in [long.as_str(), "two words", ""] {
            let refused = post(entry, Some(key)).await;
            assert_eq!(refused.status, http::StatusCode::BAD_REQUEST, "{key:?}");
        }
        assert_eq!(fixture.run_count().await, 0);
        let longest = "k".repeat(255);
        assert_eq!(post(entry, Some(&longest)).await.status, http::StatusCode::OK);
    });
}
