//! Checks that invalid settings and ports in use are all reported at once, each with its flag.

use std::process::{Command, Output};

fn daemon(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basilhavend"));
    command.args(args).output().expect("the daemon was built")
}

#[test]
fn all_invalid_settings_are_reported() {
    let output = daemon(&[
        "--name",
        "Two Words",
        "--listen",
        "nowhere",
        "--upstream",
        "catalogo/u1@127.0.0.1,slots=0",
        "--entry-ttl-ms",
        "5",
        "--log",
        "loud",
    ]);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    for flag in ["--name:", "--listen:", "--upstream 1.address:", "--upstream 1.slots:"] {
        assert!(text.contains(flag), "{flag} is missing in\n{text}");
    }
    assert!(text.contains("--entry-ttl-ms:") && text.contains("--log:"), "{text}");
}

#[test]
fn hosts_with_seeds_need_a_peer_key() {
    let output = daemon(&["--seed", "127.0.0.1:9"]);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("--peer-key-file: hosts that know each other need a key"), "{text}");
}

#[test]
fn an_unknown_flag_exits_with_code_2() {
    assert_eq!(daemon(&["--no-such-flag"]).status.code(), Some(2));
}

#[test]
fn help_exits_with_code_0_and_shows_no_key() {
    let output = Command::new(env!("CARGO_BIN_EXE_basilhavend"))
        .arg("--help")
        .env("BASILHAVEN_PEER_KEY", "a secret that nobody may see")
        .output()
        .expect("the daemon was built");
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0));
    assert!(text.contains("--listen") && !text.contains("nobody may see"), "{text}");
}

#[test]
fn every_port_in_use_is_reported() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("a bound socket").to_string();
    let any = "127.0.0.1:0";
    let output = daemon(&["--listen", &address, "--admin", &address, "--peer", any]);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains(&format!("--listen {address}: ")), "{text}");
    assert!(text.contains(&format!("--admin {address}: ")), "{text}");
}
