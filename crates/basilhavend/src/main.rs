//! The daemon that runs on every entry host.
//!
//! `basilhavend gateway` takes its configuration and orders from the store of its users' platform;
//! without the subcommand, the daemon takes them from operators.

use std::process::ExitCode;

use basilhaven::{finding, gateway};

/// The subcommand that starts the gateway.
const GATEWAY: &str = "gateway";

fn main() -> ExitCode {
    let arguments: Vec<std::ffi::OsString> = std::env::args_os().skip(1).collect();
    let result = match arguments.split_first() {
        Some((first, rest)) if first == GATEWAY => run_gateway(rest),
        _ => basilhaven::daemon::run(basilhaven::settings::from_process()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(findings) => {
            eprintln!("{findings}");
            ExitCode::from(1)
        }
    }
}

fn run_gateway(arguments: &[std::ffi::OsString]) -> Result<(), finding::Findings> {
    let settings = gateway::settings::from_arguments(arguments);
    let store = basilhaven_platform::Client::new(settings.store);
    let endpoint = settings.usage.map(|usage| basilhaven_platform::Endpoint::new(usage.endpoint));
    gateway::run::run(settings, store, endpoint)
}
