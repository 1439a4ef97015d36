//! Moves on real processes: orders, a steering host that is paused, and brakes without the platform.

use std::time::{Duration, Instant};

use basilhaven::{admin, config, moves};
use basilhaven_bench::cluster::{self, Daemon, Platform, Upstream};
use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::{block_on, caller, platform, upstream};
use indexmap::IndexMap;

/// How long hosts may take to agree; the lease lasts half of it.
const LIMIT: Duration = Duration::from_secs(8);

struct Setup {
    platform: Platform,
    new: Upstream,
    old: Upstream,
    daemons: Vec<Daemon>,
}

async fn start(hosts: usize) -> Setup {
    let platform = Platform::start(&[]).await;
    let mut upstreams = Vec::new();
    for version in ["v1", "v2"] {
        let mut upstream = Upstream::start("catalogo", version, "milano-a", &[]).await;
        upstream.setting.push_str(&format!(",version={version}"));
        upstreams.push(upstream);
    }
    let listed = upstreams.iter().map(Upstream::spec).collect();
    platform.put_hosts(&config::Hosts { upstreams: listed, entries: Vec::new() }).await;
    let args = ["--platform".to_owned(), platform.address.to_string()];
    let data_centres = ["milano-a", "torino-b", "bergamo-c"];
    let daemons = Daemon::start_all(&data_centres[..hosts], &args).await;
    for daemon in &daemons {
        wait_until("the list is known", daemon, async |d| !d.status().await.services.is_empty())
            .await;
    }
    let new = upstreams.pop().expect("two upstreams");
    Setup { platform, new, old: upstreams.pop().expect("two upstreams"), daemons }
}

async fn wait_until<F>(what: &str, daemon: &Daemon, holds: F)
where
    F: AsyncFn(&Daemon) -> bool,
{
    let until = Instant::now() + LIMIT;
    while !holds(daemon).await {
        assert!(Instant::now() < until, "{}: {what}", daemon.name);
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn status(daemon: &Daemon) -> Option<admin::moves::Status> {
    let response = daemon.call_admin(http::Method::GET, "/v1/moves", Vec::new()).await;
    let all: IndexMap<String, admin::moves::Status> =
        serde_json::from_slice(&response.body).ok()?;
    all.into_values().next()
}

async fn order(daemon: &Daemon, target: &str, to: &str) -> http::StatusCode {
    let by = moves::since_epoch() + Duration::from_secs(20);
    let start = admin::moves::Start { to: to.parse().expect("a name"), from: None, deadline: by };
    let body = serde_json::to_vec(&start).expect("plain data");
    daemon.call_admin(http::Method::POST, &format!("/v1/moves/{target}"), body).await.status
}

#[test]
fn wrong_orders_are_refused() {
    block_on(async {
        let setup = start(1).await;
        let daemon = &setup.daemons[0];
        assert_eq!(order(daemon, "unheard-of", "v2").await, http::StatusCode::NOT_FOUND);
        assert_eq!(order(daemon, "catalogo", "v9").await, http::StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(order(daemon, "catalogo/back", "v2").await, http::StatusCode::CONFLICT);
        let down = platform::Control { down: Some(true), ..Default::default() };
        setup.platform.control(&down).await;
        assert_eq!(order(daemon, "catalogo", "v2").await, http::StatusCode::SERVICE_UNAVAILABLE);
        let up = platform::Control { down: Some(false), ..Default::default() };
        setup.platform.control(&up).await;
        assert_eq!(order(daemon, "catalogo", "v2").await, http::StatusCode::OK);
        assert_eq!(order(daemon, "catalogo", "v2").await, http::StatusCode::CONFLICT);
    });
}

#[test]
fn an_operators_take_back_is_in_force_everywhere_without_the_platform_and_written_down_later() {
    block_on(async {
        let setup = start(3).await;
        assert_eq!(order(&setup.daemons[0], "catalogo", "v2").await, http::StatusCode::OK);
        for daemon in &setup.daemons {
            wait_until("the move runs", daemon, async |d| status(d).await.is_some()).await;
        }
        let down = platform::Control { down: Some(true), ..Default::default() };
        setup.platform.control(&down).await;
        let answer = order(&setup.daemons[0], "catalogo/back", "v2").await;
        assert_eq!(answer, http::StatusCode::ACCEPTED);
        for daemon in &setup.daemons {
            let stopped = async |d: &Daemon| {
                status(d).await.is_some_and(|s| s.in_force == (0, 0) && s.halt.is_some())
            };
            wait_until("the move is stopped", daemon, stopped).await;
        }
        let up = platform::Control { down: Some(false), ..Default::default() };
        setup.platform.control(&up).await;
        for daemon in &setup.daemons {
            let taken_back = async |d: &Daemon| {
                let phase = status(d).await.map(|s| s.current.phase);
                matches!(phase, Some(moves::Phase::RolledBack(_)))
            };
            wait_until("the move is taken back", daemon, taken_back).await;
        }
    });
}

#[test]
fn a_paused_steering_host_writes_no_step_late() {
    block_on(async {
        let setup = start(2).await;
        assert_eq!(order(&setup.daemons[0], "catalogo", "v2").await, http::StatusCode::OK);
        let steers = async |d: &Daemon| status(d).await.is_some_and(|s| s.is_coordinator);
        let until = Instant::now() + LIMIT;
        let first = loop {
            assert!(Instant::now() < until, "no host steers");
            let mut steering = None;
            for (i, daemon) in setup.daemons.iter().enumerate() {
                if steers(daemon).await {
                    steering = Some(i);
                }
            }
            if let Some(i) = steering {
                break i;
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        };
        let (paused, other) = (&setup.daemons[first], &setup.daemons[1 - first]);
        paused.process.signal(Signal::Stop);
        wait_until("the other steers", other, steers).await;
        // The new version fails now, so the other host is the last to write: it takes the move back.
        let bad = upstream::Control { fail_share: Some(1.0), ..Default::default() };
        setup.new.control(&bad).await;
        let stop =
            other.call_admin(http::Method::POST, "/v1/moves/catalogo/back", Vec::new()).await;
        assert_eq!(stop.status, http::StatusCode::OK);
        let before = paused.process.lines().len();
        paused.process.signal(Signal::Continue);
        let taken_back = async |d: &Daemon| {
            let phase = status(d).await.map(|s| s.current.phase);
            matches!(phase, Some(moves::Phase::RolledBack(_)))
        };
        wait_until("the paused host learns of it", paused, taken_back).await;
        let lines = paused.process.lines();
        let late = lines[before..]
            .iter()
            .find(|line| ["move_step", "move_done"].iter().any(|event| line["event"] == *event));
        assert!(late.is_none(), "{late:?}");
        let now = status(other).await.expect("a move");
        assert!(matches!(now.current.phase, moves::Phase::RolledBack(_)), "{now:?}");
    });
}

/// Makes 1,500 calls at one host.
async fn call(daemon: &Daemon) -> caller::Summary {
    let entry = daemon.callers.to_string();
    let args = ["--entry", &entry, "--calls", "1500", "--workers", "8"].map(str::to_owned);
    cluster::run_callers(&args, Duration::from_secs(20)).await
}

#[test]
fn one_hosts_evidence_stops_the_move_on_all_hosts() {
    block_on(async {
        let setup = start(3).await;
        let bad = upstream::Control { fail_share: Some(1.0), ..Default::default() };
        setup.new.control(&bad).await;
        assert_eq!(order(&setup.daemons[0], "catalogo", "v2").await, http::StatusCode::OK);
        for daemon in &setup.daemons {
            wait_until("the move runs", daemon, async |d| status(d).await.is_some()).await;
        }
        // One host alone gets enough calls to judge by: 1 in 100 goes over.
        let summary = call(&setup.daemons[0]).await;
        assert_eq!(summary.wrong, 0);
        for daemon in &setup.daemons {
            let stopped = async |d: &Daemon| status(d).await.is_some_and(|s| s.in_force == (0, 0));
            wait_until("the move is stopped", daemon, stopped).await;
        }
        let run = setup.new.records().await.len();
        assert!(run <= 30, "the bad version ran {run} calls");
    });
}

#[test]
fn what_a_bad_new_version_fails_is_answered_by_the_old_one_and_still_counts() {
    block_on(async {
        let setup = start(1).await;
        let daemon = &setup.daemons[0];
        let bad = upstream::Control { fail_share: Some(1.0), ..Default::default() };
        setup.new.control(&bad).await;
        assert_eq!(order(daemon, "catalogo", "v2").await, http::StatusCode::OK);
        wait_until("the move runs", daemon, async |d| status(d).await.is_some()).await;
        let summary = call(&setup.daemons[0]).await;
        assert_eq!(summary.answered, 1500, "{:?}", summary.failed);
        let stopped = async |d: &Daemon| status(d).await.is_some_and(|s| s.in_force == (0, 0));
        wait_until("the move is stopped", daemon, stopped).await;
        assert!(!setup.new.records().await.is_empty(), "no call went over");
    });
}

#[test]
fn what_a_bad_new_version_fails_is_not_made_again_when_it_runs_at_most_once() {
    block_on(async {
        let setup = start(3).await;
        let bad = upstream::Control { fail_share: Some(1.0), ..Default::default() };
        setup.new.control(&bad).await;
        assert_eq!(order(&setup.daemons[0], "catalogo", "v2").await, http::StatusCode::OK);
        for daemon in &setup.daemons {
            wait_until("the move runs", daemon, async |d| status(d).await.is_some()).await;
        }
        let entry = setup.daemons[0].callers.to_string();
        // Without idempotent calls, the others go over once the first stage is past.
        let until = Instant::now() + LIMIT * 3;
        let mut failed = Default::default();
        for seed in 1.. {
            if !setup.new.records().await.is_empty() {
                break;
            }
            assert!(Instant::now() < until, "no call went over: {failed:?}");
            // Keys are drawn by the seed.
            let seed = format!("{seed}");
            let args = ["--entry", &entry, "--method", "POST", "--calls", "400", "--seed", &seed];
            let args = args.map(str::to_owned);
            failed = cluster::run_callers(&args, Duration::from_secs(20)).await.failed;
        }
        let ran: Vec<String> =
            setup.old.records().await.into_iter().filter_map(|record| record.key).collect();
        for record in setup.new.records().await {
            let key = record.key.expect("such calls have keys");
            assert!(!ran.contains(&key), "{key} ran on both versions");
        }
    });
}
