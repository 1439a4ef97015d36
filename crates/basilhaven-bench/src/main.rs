//! Command line of the stand-ins and experiments.

use std::process::ExitCode;

use basilhaven_bench::standin::{block_on, caller, coordinator, platform, relay, upstream};
use basilhaven_bench::{crowd, demo, experiment, soak};
use bpaf::Bpaf;

/// The command to run.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, descr("Experiments on basilhaven, and the stand-ins that they need."))]
enum Command {
    /// List the experiments
    #[bpaf(command)]
    List,
    /// Start upstreams and daemons, make calls, and print which upstreams and hosts served them
    #[bpaf(command)]
    Demo {
        /// Seed of the calls
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
    },
    /// Stand-in: an upstream
    #[bpaf(command)]
    Upstream(#[bpaf(external(upstream::options))] upstream::Options),
    /// Stand-in: the platform
    #[bpaf(command)]
    Platform(#[bpaf(external(platform::options))] platform::Options),
    /// Stand-in: a coordinator that writes the row of moves while it holds the lease
    #[bpaf(command("steerer"))]
    Coordinator(#[bpaf(external(coordinator::options))] coordinator::Options),
    /// Stand-in: a relay between hosts that can drop their traffic
    #[bpaf(command)]
    Relay(#[bpaf(external(relay::options))] relay::Options),
    /// Stand-in: callers
    #[bpaf(command)]
    Caller(#[bpaf(external(caller::options))] caller::Options),
    /// Play clients that hold connections of a host without making ordinary calls
    #[bpaf(command)]
    Crowd(#[bpaf(external(crowd::options))] crowd::Options),
    /// Run real hosts under random faults, and print which properties did not hold
    #[bpaf(command)]
    Soak(#[bpaf(external(soak::options))] soak::Options),
    Run {
        /// Seed of the experiment
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
        /// The experiment to run
        #[bpaf(positional("EXPERIMENT"))]
        experiment: experiment::Experiment,
    },
}

fn main() -> ExitCode {
    let success = match command().run() {
        Command::List => {
            for experiment in experiment::Experiment::ALL {
                println!("{:<14} {}", experiment.name(), experiment.summary());
            }
            true
        }
        Command::Demo { seed } => block_on(demo::run(seed)),
        Command::Upstream(options) => {
            upstream::run(options);
            true
        }
        Command::Platform(options) => {
            platform::run(options);
            true
        }
        Command::Coordinator(options) => {
            coordinator::run(options);
            true
        }
        Command::Relay(options) => {
            relay::run(options);
            true
        }
        Command::Caller(options) => {
            caller::run(options);
            true
        }
        Command::Crowd(options) => {
            let summary = crowd::run(options);
            println!("{}", serde_json::to_string(&summary).expect("serialization does not fail"));
            true
        }
        Command::Soak(options) => {
            let outcome = block_on(soak::run(options));
            println!("{}", serde_json::to_string(&outcome).expect("serialization does not fail"));
            outcome.findings.is_empty()
        }
        Command::Run { seed, experiment } => {
            let report = block_on(experiment.run(seed));
            println!("{}", serde_json::to_string(&report).expect("serialization does not fail"));
            report.holds
        }
    };
    if success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
