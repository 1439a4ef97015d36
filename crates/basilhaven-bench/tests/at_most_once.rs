//! Calls under an idempotency key run at most once, whichever hosts fail and whatever the platform loses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilhaven::call::field;
use basilhaven::http1::client;
use basilhaven::{config, profile};
use basilhaven_bench::cluster::{ConfigFile, Daemon, Platform, Upstream};
use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::{block_on, platform, upstream};
use http::HeaderValue;

/// How long anything may take.
const LIMIT: Duration = Duration::from_secs(10);

async fn post(entry: SocketAddr, key: Option<&str>) -> client::Response {
    let mut request = client::Request::new(http::Method::POST, "/reserve", "pot").unwrap();
    request.headers.insert(http::header::HOST, HeaderValue::from_static("catalogo"));
    if let Some(key) = key {
        request.headers.insert(field::KEY, HeaderValue::from_str(key).unwrap());
    }
    client::call(entry, &request, LIMIT, 1 << 20).await.expect("an answer")
}

fn word(response: &client::Response) -> (u16, &str, &str) {
    let text = |name| response.headers.get(name).map_or("", |v: &HeaderValue| v.to_str().unwrap());
    (response.status.as_u16(), text(field::OUTCOME), text(field::REASON))
}

/// Hosts whose profile asks for claims, their platform, and an upstream.
struct World {
    platform: Platform,
    upstream: Upstream,
    daemons: Vec<Daemon>,
    args: Vec<String>,
    _config: ConfigFile,
}

impl World {
    async fn start(data_centres: &[&str], claims: bool, flags: &[&str]) -> World {
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
        World { platform, upstream, daemons, args, _config: config }
    }

    /// Starts another host, which knows two of the hosts that run.
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

    /// Calls under keys that the upstream ran.
    async fn runs(&self) -> usize {
        self.upstream.records().await.iter().filter(|record| record.key.is_some()).count()
    }
}

async fn three() -> World {
    World::start(&["a", "b", "c"], true, &[]).await
}

#[test]
fn a_key_sent_again_after_its_host_died_does_not_run_again() {
    block_on(async {
        let World { upstream, mut daemons, platform: _platform, .. } = three().await;
        let slow = upstream::Control { spoil: Some(upstream::Fault::Late), ..Default::default() };
        upstream.control(&slow).await;
        let entry = daemons[0].callers;
        let first = monoio::spawn(async move {
            let mut request = client::Request::new(http::Method::POST, "/reserve", "pot").unwrap();
            request.headers.insert(http::header::HOST, HeaderValue::from_static("catalogo"));
            request.headers.insert(field::KEY, HeaderValue::from_static("order-7"));
            client::call(entry, &request, LIMIT, 1 << 20).await
        });
        let until = Instant::now() + LIMIT;
        while upstream.stats().await.begun == 0 {
            assert!(Instant::now() < until, "the call never began");
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
        daemons[0].process.signal(Signal::Kill);
        assert_eq!(daemons[0].process.wait(LIMIT).await, Some(false));
        assert!(first.await.is_err(), "the host that was killed answered");
        for daemon in &daemons[1..] {
            let again = post(daemon.callers, Some("order-7")).await;
            assert_eq!(word(&again), (409, "unknown", "duplicate"));
        }
        assert_eq!(upstream.records().await.len(), 1);
    });
}

#[test]
fn a_key_whose_call_was_not_run_may_be_sent_again() {
    block_on(async {
        let World { upstream, daemons, platform: _platform, .. } = three().await;
        upstream.control(&upstream::Control { drain: Some(true), ..Default::default() }).await;
        let shed = post(daemons[0].callers, Some("order-8")).await;
        assert_eq!(word(&shed), (503, "not-run", "shed"));
        upstream.control(&upstream::Control { drain: Some(false), ..Default::default() }).await;
        let until = Instant::now() + LIMIT;
        // The row may be removed after the refusal reached its caller.
        while post(daemons[1].callers, Some("order-8")).await.status != http::StatusCode::OK {
            assert!(Instant::now() < until, "the key is still held");
        }
        let again = post(daemons[2].callers, Some("order-8")).await;
        assert_eq!(word(&again), (409, "unknown", "duplicate"));
        assert_eq!(upstream.records().await.len(), 1);
    });
}

#[test]
fn a_host_that_has_just_started_knows_the_keys_that_were_used_before() {
    block_on(async {
        let world = three().await;
        let first = post(world.daemons[0].callers, Some("order-9")).await;
        assert_eq!(first.status, http::StatusCode::OK);
        let new = world.join("entry-4", "a").await;
        wait_until_serving(&new).await;
        let again = post(new.callers, Some("order-9")).await;
        assert_eq!(word(&again), (409, "unknown", "duplicate"));
        assert_eq!(world.runs().await, 1);
        assert_eq!(post(new.callers, None).await.status, http::StatusCode::OK);
    });
}

#[test]
fn a_host_that_is_cut_off_from_the_platform_runs_no_key() {
    block_on(async {
        let world = three().await;
        let entry = world.daemons[0].callers;
        assert_eq!(post(entry, Some("order-9")).await.status, http::StatusCode::OK);
        world.control(platform::Control { down: Some(true), ..Default::default() }).await;
        let refused = post(entry, Some("order-10")).await;
        assert_eq!(word(&refused), (503, "unknown", "no-claim"));
        assert_eq!(world.runs().await, 1);
        world.control(platform::Control { down: Some(false), ..Default::default() }).await;
        let until = Instant::now() + LIMIT;
        while post(entry, Some("order-11")).await.status != http::StatusCode::OK {
            assert!(Instant::now() < until, "keys are still refused");
        }
        assert_eq!(world.runs().await, 2);
    });
}

#[test]
fn no_key_runs_twice_however_many_hosts_race_for_it_and_whatever_the_platform_loses() {
    block_on(async {
        let world = three().await;
        let losing = platform::Control {
            lose_answers: Some(0.4),
            lose_writes: Some(0.2),
            ..Default::default()
        };
        world.control(losing).await;
        let mut races = Vec::new();
        for i in 0..40 {
            for daemon in &world.daemons {
                let (entry, key) = (daemon.callers, format!("order-{i}"));
                let call = async move { post(entry, Some(&key)).await.status };
                races.push(monoio::spawn(call));
            }
        }
        let mut answered = 0;
        for race in races {
            match race.await {
                http::StatusCode::OK => answered += 1,
                http::StatusCode::CONFLICT | http::StatusCode::SERVICE_UNAVAILABLE => {}
                status => panic!("answered with {status}"),
            }
        }
        assert!(answered > 0, "no key was won at all");
        let mut keys = std::collections::HashSet::new();
        for record in world.upstream.records().await {
            let key = record.key.expect("a call under a key");
            assert!(keys.insert(key.clone()), "{key} ran twice");
        }
        assert_eq!(keys.len(), answered);
    });
}

#[test]
fn a_profile_that_asks_for_no_claims_writes_no_row() {
    block_on(async {
        let world = World::start(&["a", "b"], false, &[]).await;
        let before = world.platform.writes().await.len();
        for daemon in &world.daemons {
            let answer = post(daemon.callers, Some("order-1")).await;
            assert_eq!(answer.status, http::StatusCode::OK);
        }
        assert_eq!(world.platform.writes().await.len(), before);
    });
}

/// Seven hosts that may be stopped within a second or two.
async fn seven() -> World {
    let data_centres = ["a", "b", "c", "a", "b", "c", "a"];
    World::start(&data_centres, true, &["--entry-ttl-ms", "100"]).await
}

/// Runs twenty keys of a name, each through the next host in turn.
async fn run_keys(daemons: &[Daemon], name: &str) {
    for (i, daemon) in (0..20).zip(daemons.iter().cycle()) {
        let key = format!("{name}-{i}");
        let answer = post(daemon.callers, Some(&key)).await;
        assert_eq!(answer.status, http::StatusCode::OK, "{key}: {:?}", word(&answer));
    }
}

/// Sends the same keys again, through every host: none runs.
async fn resend_keys(daemons: &[Daemon], name: &str) {
    for i in 0..20 {
        for daemon in daemons {
            let answer = post(daemon.callers, Some(&format!("{name}-{i}"))).await;
            let refusal = word(&answer);
            assert_eq!(refusal, (409, "unknown", "duplicate"), "{name}-{i} on {}", daemon.name);
        }
    }
}

async fn wait_for_end(daemon: &mut Daemon) {
    assert_eq!(daemon.process.wait(2 * LIMIT).await, Some(true), "{} did not stop", daemon.name);
}

/// Waits until a host takes calls.
async fn wait_until_serving(daemon: &Daemon) {
    let until = Instant::now() + LIMIT;
    while post(daemon.callers, None).await.status != http::StatusCode::OK {
        assert!(Instant::now() < until, "{} takes no calls", daemon.name);
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn keys_are_won_and_remembered_while_hosts_are_replaced_one_after_another() {
    block_on(async {
        let mut world = seven().await;
        run_keys(&world.daemons, "before").await;
        for (i, place) in ["a", "b", "c", "a"].into_iter().enumerate() {
            let new = world.join(&format!("new-{i}"), place).await;
            wait_until_serving(&new).await;
            let mut old = world.daemons.remove(0);
            world.daemons.push(new);
            old.process.signal(Signal::Terminate);
            wait_for_end(&mut old).await;
        }
        run_keys(&world.daemons, "after").await;
        resend_keys(&world.daemons, "before").await;
        resend_keys(&world.daemons, "after").await;
        assert_eq!(world.runs().await, 40);
    });
}

#[test]
fn keys_are_won_and_remembered_when_four_of_seven_hosts_leave_at_the_same_time() {
    block_on(async {
        let mut world = seven().await;
        run_keys(&world.daemons, "before").await;
        let staying = world.daemons.split_off(4);
        for daemon in &world.daemons {
            daemon.process.signal(Signal::Terminate);
        }
        for daemon in &mut world.daemons {
            wait_for_end(daemon).await;
        }
        run_keys(&staying, "after").await;
        resend_keys(&staying, "before").await;
        resend_keys(&staying, "after").await;
        assert_eq!(world.runs().await, 40);
    });
}

#[test]
fn bad_keys_are_refused() {
    block_on(async {
        let world = World::start(&["a"], true, &[]).await;
        let entry = world.daemons[0].callers;
        let long = "k".repeat(256);
        for key in [long.as_str(), "two words", ""] {
            let refused = post(entry, Some(key)).await;
            assert_eq!(refused.status, http::StatusCode::BAD_REQUEST, "{key:?}");
        }
        assert_eq!(world.runs().await, 0);
        let longest = "k".repeat(255);
        assert_eq!(post(entry, Some(&longest)).await.status, http::StatusCode::OK);
    });
}
