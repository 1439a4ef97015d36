//! Stand-ins and experiments, by name.

use std::process::ExitCode;

use basilhaven_bench::standin::{block_on, caller, coordinator, platform, relay, upstream};
use basilhaven_bench::{demo, experiment, soak};
use bpaf::Bpaf;

/// What to run.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, descr("Experiments on basilhaven, and the stand-ins that they need."))]
enum Order {
    /// List the experiments
    #[bpaf(command)]
    List,
    /// Start upstreams and daemons, make calls, and print where they went
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
    /// Stand-in: a host that steers while it holds the lease
    #[bpaf(command("steerer"))]
    Coordinator(#[bpaf(external(coordinator::options))] coordinator::Options),
    /// Stand-in: a relay between hosts that cuts what it is told to
    #[bpaf(command)]
    Relay(#[bpaf(external(relay::options))] relay::Options),
    /// Stand-in: callers
    #[bpaf(command)]
    Caller(#[bpaf(external(caller::options))] caller::Options),
    /// Faults in series against real hosts, and what did not hold
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
    let success = match order().run() {
        Order::List => {
            for experiment in experiment::Experiment::ALL {
                println!("{:<14} {}", experiment.name(), experiment.summary());
            }
            true
        }
        Order::Demo { seed } => block_on(demo::run(seed)),
        Order::Upstream(options) => {
            upstream::run(options);
            true
        }
        Order::Platform(options) => {
            platform::run(options);
            true
        }
        Order::Coordinator(options) => {
            coordinator::run(options);
            true
        }
        Order::Relay(options) => {
            relay::run(options);
            true
        }
        Order::Caller(options) => {
            caller::run(options);
            true
        }
        Order::Soak(options) => {
            let outcome = block_on(soak::run(options));
            println!("{}", serde_json::to_string(&outcome).expect("plain data"));
            outcome.findings.is_empty()
        }
        Order::Run { seed, experiment } => {
            let report = block_on(experiment.run(seed));
            println!("{}", serde_json::to_string(&report).expect("plain data"));
            report.holds
        }
    };
    if success {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
