//! Moves between versions on real processes: orders, a paused coordinator, and halts during an
//! outage of the platform.

use std::time::{Duration, Instant};

use basilhaven::{admin, config, moves};
use basilhaven_bench::cluster::{self, Daemon, Platform, Upstream};
use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::{block_on, caller, platform, upstream};
use indexmap::IndexMap;

/// Limit on the time until all hosts agree; the lease lasts half as long.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(8);

struct Fixture {
    platform: Platform,
    new: Upstream,
    old: Upstream,
    daemons: Vec<Daemon>,
}

async fn start(hosts: usize) -> Fixture {
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
        wait_until("the list of hosts arrives", daemon, async |d| {
            !d.status().await.services.is_empty()
        })
        .await;
    }
    let new = upstreams.pop().expect("two upstreams");
    Fixture { platform, new, old: upstreams.pop().expect("two upstreams"), daemons }
}

async fn wait_until<F>(what: &str, daemon: &Daemon, condition: F)
where
    F: AsyncFn(&Daemon) -> bool,
{
    let until = Instant::now() + CONVERGENCE_TIMEOUT;
    while !condition(daemon).await {
        assert!(Instant::now() < until, "{}: timed out waiting until {what}", daemon.name);
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn move_status(daemon: &Daemon) -> Option<admin::moves::Status> {
    let response = daemon.call_admin(http::Method::GET, "/v1/moves", Vec::new()).await;
    let all: IndexMap<String, admin::moves::Status> =
        serde_json::from_slice(&response.body).ok()?;
    all.into_values().next()
}

async fn order_move(daemon: &Daemon, target: &str, to: &str) -> http::StatusCode {
    let by = moves::since_epoch() + Duration::from_secs(20);
    let start = admin::moves::Start { to: to.parse().expect("a name"), from: None, deadline: by };
    let body = serde_json::to_vec(&start).expect("plain data");
    daemon.call_admin(http::Method::POST, &format!("/v1/moves/{target}"), body).await.status
}

#[test]
fn invalid_orders_are_refused() {
    block_on(async {
        let fixture = start(1).await;
        let daemon = &fixture.daemons[0];
        assert_eq!(order_move(daemon, "unheard-of", "v2").await, http::StatusCode::NOT_FOUND);
        assert_eq!(
            order_move(daemon, "catalogo", "v9").await,
            http::StatusCode::UNPROCESSABLE_ENTITY
        );
        assert_eq!(order_move(daemon, "catalogo/back", "v2").await, http::StatusCode::CONFLICT);
        let down = platform::Control { down: Some(true), ..Default::default() };
        fixture.platform.control(&down).await;
        assert_eq!(
            order_move(daemon, "catalogo", "v2").await,
            http::StatusCode::SERVICE_UNAVAILABLE
        );
        let up = platform::Control { down: Some(false), ..Default::default() };
        fixture.platform.control(&up).await;
        assert_eq!(order_move(daemon, "catalogo", "v2").await, http::StatusCode::OK);
        assert_eq!(order_move(daemon, "catalogo", "v2").await, http::StatusCode::CONFLICT);
    });
}

#[test]
fn an_operators_rollback_is_in_force_everywhere_during_an_outage_and_stored_after_it() {
    block_on(async {
        let fixture = start(3).await;
        assert_eq!(order_move(&fixture.daemons[0], "catalogo", "v2").await, http::StatusCode::OK);
        for daemon in &fixture.daemons {
            wait_until("the move has started", daemon, async |d| move_status(d).await.is_some())
                .await;
        }
        let down = platform::Control { down: Some(true), ..Default::default() };
        fixture.platform.control(&down).await;
        let response = order_move(&fixture.daemons[0], "catalogo/back", "v2").await;
        assert_eq!(response, http::StatusCode::ACCEPTED);
        for daemon in &fixture.daemons {
            let is_halted = async |d: &Daemon| {
                move_status(d).await.is_some_and(|s| s.in_force == (0, 0) && s.halt.is_some())
            };
            wait_until("the move is halted", daemon, is_halted).await;
        }
        let up = platform::Control { down: Some(false), ..Default::default() };
        fixture.platform.control(&up).await;
        for daemon in &fixture.daemons {
            let is_rolled_back = async |d: &Daemon| {
                let phase = move_status(d).await.map(|s| s.current.phase);
                matches!(phase, Some(moves::Phase::RolledBack(_)))
            };
            wait_until("the move is rolled back", daemon, is_rolled_back).await;
        }
    });
}

#[test]
fn a_paused_coordinator_writes_no_step_after_it_resumes() {
    block_on(async {
        let fixture = start(2).await;
        assert_eq!(order_move(&fixture.daemons[0], "catalogo", "v2").await, http::StatusCode::OK);
        let is_coordinator =
            async |d: &Daemon| move_status(d).await.is_some_and(|s| s.is_coordinator);
        let until = Instant::now() + CONVERGENCE_TIMEOUT;
        let coordinator_index = loop {
            assert!(Instant::now() < until, "no host has become the coordinator");
            let mut coordinator = None;
            for (i, daemon) in fixture.daemons.iter().enumerate() {
                if is_coordinator(daemon).await {
                    coordinator = Some(i);
                }
            }
            if let Some(i) = coordinator {
                break i;
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        };
        let (paused, other) =
            (&fixture.daemons[coordinator_index], &fixture.daemons[1 - coordinator_index]);
        paused.process.signal(Signal::Stop);
        wait_until("the other host is the coordinator", other, is_coordinator).await;
        // The new version fails from now on, and the other host writes the last step, the rollback.
        let bad = upstream::Control { fail_share: Some(1.0), ..Default::default() };
        fixture.new.control(&bad).await;
        let rollback =
            other.call_admin(http::Method::POST, "/v1/moves/catalogo/back", Vec::new()).await;
        assert_eq!(rollback.status, http::StatusCode::OK);
        let before = paused.process.lines().len();
        paused.process.signal(Signal::Continue);
        let is_rolled_back = async |d: &Daemon| {
            let phase = move_status(d).await.map(|s| s.current.phase);
            matches!(phase, Some(moves::Phase::RolledBack(_)))
        };
        wait_until("the paused host has received the rollback", paused, is_rolled_back).await;
        let lines = paused.process.lines();
        let late = lines[before..]
            .iter()
            .find(|line| ["move_step", "move_done"].iter().any(|event| line["event"] == *event));
        assert!(late.is_none(), "the resumed host wrote a step: {late:?}");
        let last = move_status(other).await.expect("a move");
        assert!(matches!(last.current.phase, moves::Phase::RolledBack(_)), "{last:?}");
    });
}

/// Runs 1,500 calls through one host.
async fn run_calls(daemon: &Daemon) -> caller::Summary {
    let entry = daemon.callers.to_string();
    let args = ["--entry", &entry, "--calls", "1500", "--workers", "8"].map(str::to_owned);
    cluster::run_callers(&args, Duration::from_secs(20)).await
}

#[test]
fn evidence_of_one_host_halts_the_move_on_all_hosts() {
    block_on(async {
        let fixture = start(3).await;
        let bad = upstream::Control { fail_share: Some(1.0), ..Default::default() };
        fixture.new.control(&bad).await;
        assert_eq!(order_move(&fixture.daemons[0], "catalogo", "v2").await, http::StatusCode::OK);
        for daemon in &fixture.daemons {
            wait_until("the move has started", daemon, async |d| move_status(d).await.is_some())
                .await;
        }
        // Only one host gets enough calls to detect the fault: 1 in 100 goes to the new version.
        let summary = run_calls(&fixture.daemons[0]).await;
        assert_eq!(summary.wrong, 0);
        for daemon in &fixture.daemons {
            let is_halted =
                async |d: &Daemon| move_status(d).await.is_some_and(|s| s.in_force == (0, 0));
            wait_until("the move is halted", daemon, is_halted).await;
        }
        let run_count = fixture.new.records().await.len();
        assert!(run_count <= 30, "the bad version ran {run_count} calls");
    });
}

#[test]
fn calls_that_a_bad_version_fails_are_retried_at_the_old_version_and_counted_against_it() {
    block_on(async {
        let fixture = start(1).await;
        let daemon = &fixture.daemons[0];
        let bad = upstream::Control { fail_share: Some(1.0), ..Default::default() };
        fixture.new.control(&bad).await;
        assert_eq!(order_move(daemon, "catalogo", "v2").await, http::StatusCode::OK);
        wait_until("the move has started", daemon, async |d| move_status(d).await.is_some()).await;
        let summary = run_calls(&fixture.daemons[0]).await;
        assert_eq!(summary.answered, 1500, "{:?}", summary.failed);
        let is_halted =
            async |d: &Daemon| move_status(d).await.is_some_and(|s| s.in_force == (0, 0));
        wait_until("the move is halted", daemon, is_halted).await;
        assert!(!fixture.new.records().await.is_empty(), "no call went to the new version");
    });
}

#[test]
fn calls_that_run_at_most_once_are_not_retried_after_a_bad_version_failed_them() {
    block_on(async {
        let fixture = start(3).await;
        let bad = upstream::Control { fail_share: Some(1.0), ..Default::default() };
        fixture.new.control(&bad).await;
        assert_eq!(order_move(&fixture.daemons[0], "catalogo", "v2").await, http::StatusCode::OK);
        for daemon in &fixture.daemons {
            wait_until("the move has started", daemon, async |d| move_status(d).await.is_some())
                .await;
        }
        let entry = fixture.daemons[0].callers.to_string();
        // Calls that are not idempotent go to the new version only after the first stage.
        let until = Instant::now() + CONVERGENCE_TIMEOUT * 3;
        let mut failed = Default::default();
        for seed in 1.. {
            if !fixture.new.records().await.is_empty() {
                break;
            }
            assert!(
                Instant::now() < until,
                "no call went to the new version; failed calls: {failed:?}"
            );
            // The seed determines the idempotency keys, so each run needs another seed.
            let seed = format!("{seed}");
            let args = ["--entry", &entry, "--method", "POST", "--calls", "400", "--seed", &seed];
            let args = args.map(str::to_owned);
            failed = cluster::run_callers(&args, Duration::from_secs(20)).await.failed;
        }
        let old_keys: Vec<String> =
            fixture.old.records().await.into_iter().filter_map(|record| record.key).collect();
        for record in fixture.new.records().await {
            let key = record.key.expect("a call with an idempotency key");
            assert!(!old_keys.contains(&key), "{key} ran on both versions");
        }
    });
}
