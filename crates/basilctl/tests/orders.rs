//! Tests of `basilctl` against real daemons: its output and its exit codes.

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

use basilhaven::config;
use basilhaven_bench::cluster::{Daemon, Platform, Upstream, OPERATOR_KEY};
use basilhaven_bench::standin::{block_on, platform};

fn basilctl(daemons: &[&Daemon], args: &[&str]) -> Output {
    command(daemons, args).output().expect("the tool was built")
}

fn command(daemons: &[&Daemon], args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basilctl"));
    let admins: Vec<String> = daemons.iter().map(|d| d.admin.to_string()).collect();
    command.env("BASILHAVEN_ADMINS", admins.join(" "));
    command.env("BASILHAVEN_OPERATOR_KEY", OPERATOR_KEY);
    command.args(args);
    command
}

/// Returns standard output followed by standard error.
fn text(output: &Output) -> String {
    let streams = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&streams).into_owned()
}

/// Starts a platform that lists one upstream, and two daemons on it.
async fn two_daemons() -> (Platform, Upstream, Vec<Daemon>) {
    let platform = Platform::start(&[]).await;
    let upstream = Upstream::start("catalogo", "u1", "milano-a", &[]).await;
    let hosts = config::Hosts { upstreams: vec![upstream.spec()], entries: Vec::new() };
    platform.put_hosts(&hosts).await;
    let args = ["--platform".to_owned(), platform.address.to_string()];
    let daemons = Daemon::start_all(&["milano-a", "torino-b"], &args).await;
    (platform, upstream, daemons)
}

#[test]
fn an_accepted_order_is_reported_as_in_force_on_all_hosts() {
    block_on(async {
        let (_platform, _upstream, daemons) = two_daemons().await;
        let both = [&daemons[0], &daemons[1]];
        let output = basilctl(&both, &["profile", "set", "counter", r#"{"timeout_ms": 2000}"#]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output));
        assert!(text(&output).contains("is in force on all hosts"), "{}", text(&output));
        let output = basilctl(&both, &["service", "set", "catalogo", "counter"]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output));
        let output = basilctl(&[&daemons[1]], &["--json", "service", "list"]);
        let listed: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(listed["catalogo"]["profile"], "counter");
    });
}

#[test]
fn an_invalid_order_is_refused_with_all_findings() {
    block_on(async {
        let (_platform, _upstream, daemons) = two_daemons().await;
        let wrong = r#"{"timeout_ms": 0, "retries": 9}"#;
        let output = basilctl(&[&daemons[0]], &["profile", "set", "counter", wrong]);
        assert_eq!(output.status.code(), Some(1), "{}", text(&output));
        assert!(text(&output).contains("profiles.counter.timeout_ms"), "{}", text(&output));
        assert!(text(&output).contains("profiles.counter.retries"), "{}", text(&output));
    });
}

#[test]
fn the_last_upstream_is_taken_out_only_with_force() {
    block_on(async {
        let (_platform, _upstream, daemons) = two_daemons().await;
        let output = basilctl(&[&daemons[0]], &["out", "data-centre", "milano-a"]);
        assert_eq!(output.status.code(), Some(1), "{}", text(&output));
        assert!(text(&output).contains("catalogo"), "{}", text(&output));
        let output = basilctl(&[&daemons[0]], &["out", "--force", "data-centre", "milano-a"]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output));
        let output = basilctl(&[&daemons[0]], &["back", "data-centre", "milano-a"]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    });
}

#[test]
fn exit_codes_distinguish_the_outcomes_of_orders() {
    block_on(async {
        let (platform, _upstream, daemons) = two_daemons().await;
        let document = basilctl(&[&daemons[0]], &["config", "get"]).stdout;
        let file = std::env::temp_dir().join(format!("basilctl-{}.json", std::process::id()));
        std::fs::write(&file, document).unwrap();
        let path = file.display().to_string();
        let raced = ["config", "replace", "--if-revision", "77", &path];
        let output = basilctl(&[&daemons[0]], &raced);
        assert_eq!(output.status.code(), Some(3), "{}", text(&output));
        let _ = std::fs::remove_file(&file);

        platform.control(&platform::Control { down: Some(true), ..Default::default() }).await;
        let output = basilctl(&[&daemons[0]], &["back", "host", "entry-9"]);
        assert_eq!(output.status.code(), Some(4), "{}", text(&output));
        let output = basilctl(&[&daemons[0]], &["no-such-order"]);
        assert_eq!(output.status.code(), Some(2), "{}", text(&output));
    });
}

#[test]
fn an_unreachable_host_is_skipped() {
    block_on(async {
        let (_platform, _upstream, mut daemons) = two_daemons().await;
        let stopped = daemons.remove(0);
        let admin = stopped.admin.to_string();
        drop(stopped);
        let output = basilctl(&[&daemons[0]], &["--admin", &admin, "status"]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output));
        assert!(text(&output).contains("catalogo"), "{}", text(&output));
    });
}

#[test]
fn a_credential_is_read_from_standard_input_and_neither_shown_nor_logged() {
    block_on(async {
        let (_platform, _upstream, daemons) = two_daemons().await;
        let mut set = command(&[&daemons[0]], &["caller", "set", "--paying", "counter"]);
        let mut child = set.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().unwrap();
        child.stdin.take().unwrap().write_all(b"an unheard-of secret\n").unwrap();
        assert!(child.wait().unwrap().success());
        let output = basilctl(&[&daemons[0]], &["config", "get"]);
        let shown = text(&output);
        assert!(shown.contains(&config::digest("an unheard-of secret")), "{shown}");
        assert!(!shown.contains("unheard-of"), "{shown}");
        let logged = format!("{:?}", daemons[0].process.lines());
        assert!(!logged.contains("unheard-of"), "{logged}");
    });
}

#[test]
fn why_lists_recent_placement_decisions() {
    block_on(async {
        let (_platform, _upstream, daemons) = two_daemons().await;
        let entry = daemons[0].callers.to_string();
        let args = ["--fixed", &entry, "--calls", "5"].map(str::to_owned);
        let limit = std::time::Duration::from_secs(20);
        assert_eq!(basilhaven_bench::cluster::run_callers(&args, limit).await.answered, 5);
        let output = basilctl(&[&daemons[0]], &["--json", "why", "catalogo"]);
        let recent: Vec<serde_json::Value> = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(recent.len(), 5);
        assert_eq!(recent[0]["upstream"], "u1");
    });
}

#[test]
fn a_wrong_operator_key_is_refused() {
    block_on(async {
        let (_platform, _upstream, daemons) = two_daemons().await;
        let mut status = command(&[&daemons[0]], &["status"]);
        status.env("BASILHAVEN_OPERATOR_KEY", "a wrong operator key");
        let output = status.output().unwrap();
        assert_eq!(output.status.code(), Some(1), "{}", text(&output));
        assert!(output.stdout.is_empty());
    });
}
