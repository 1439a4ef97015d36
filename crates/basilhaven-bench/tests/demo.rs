//! The `demo` command of `basilhaven-bench`.

use std::process::Command;

#[test]
fn the_demo_ignores_daemon_settings_in_the_environment() {
    let output = Command::new(env!("CARGO_BIN_EXE_basilhaven-bench"))
        .arg("demo")
        .env("BASILHAVEN_OPERATOR_KEY_FILE", "/no/such/file")
        .env("BASILHAVEN_LISTEN", "nowhere")
        .output()
        .expect("the program was built");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
}
