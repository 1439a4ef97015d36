//! Experiments. Each one starts the processes that it needs, takes measurements, stops the
//! processes and returns a report.

use crate::report;

mod added;
mod answers;
mod at_most_once;
mod cold_start;
mod config;
mod crowds;
pub(crate) mod data_centre;
mod hedge;
mod lease;
mod measuring;
pub(crate) mod membership;
pub(crate) mod move_bad;
pub(crate) mod move_good;
mod overload;
pub(crate) mod partition;
pub(crate) mod path;
pub(crate) mod shutdown;
mod storm;
mod tail;

/// An experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Experiment {
    /// The path of a call through entry hosts to upstreams and back, in a small setup.
    Path,
    /// The latency that an entry host adds to a call, and its throughput.
    Added,
    /// Tail latency by balancing policy, while upstreams slow down in turn.
    Tail,
    /// The cost of control traffic to a host, by number of upstreams.
    Measuring,
    /// Free callers that exceed the capacity, beside paying callers.
    Overload,
    /// Upstreams that start cold, or restart cold without notice, under load.
    ColdStart,
    /// Upstreams that send faulty responses under load.
    Answers,
    /// Calls that callers resend under the same idempotency key.
    AtMostOnce,
    /// Retries when calls are nested 8 levels deep and the last level fails.
    Storm,
    /// The time from accepting a change of the configuration until it is in force on all hosts.
    Config,
    /// The coordinator's lease, with its holder paused.
    Lease,
    /// Membership of the cluster: its traffic, and how fast changes are detected.
    Membership,
    /// A data centre that is taken out of service and brought back under load.
    DataCentre,
    /// Moves to a good version, which complete in time.
    MoveGood,
    /// Moves to bad versions, which are rolled back.
    MoveBad,
    /// Replacement of every host under load.
    Shutdown,
    /// A network partition between two groups of hosts.
    Partition,
    /// Upstreams that slow down suddenly.
    Hedge,
    /// Clients that hold connections without making calls, beside ordinary callers.
    Crowds,
    /// The memory of a host after ten minutes of such clients.
    LongCrowd,
}

impl Experiment {
    /// All experiments, in the order in which they are listed.
    pub const ALL: [Experiment; 20] = [
        Experiment::Path,
        Experiment::Added,
        Experiment::Tail,
        Experiment::Measuring,
        Experiment::Overload,
        Experiment::ColdStart,
        Experiment::Answers,
        Experiment::AtMostOnce,
        Experiment::Storm,
        Experiment::Config,
        Experiment::Lease,
        Experiment::Membership,
        Experiment::DataCentre,
        Experiment::MoveGood,
        Experiment::MoveBad,
        Experiment::Shutdown,
        Experiment::Partition,
        Experiment::Hedge,
        Experiment::Crowds,
        Experiment::LongCrowd,
    ];

    /// Returns the name of the experiment on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Experiment::Path => "path",
            Experiment::Added => "added",
            Experiment::Tail => "tail",
            Experiment::Measuring => "measuring",
            Experiment::Overload => "overload",
            Experiment::ColdStart => "cold-start",
            Experiment::Answers => "answers",
            Experiment::AtMostOnce => "at-most-once",
            Experiment::Storm => "storm",
            Experiment::Config => "config",
            Experiment::Lease => "lease",
            Experiment::Membership => "membership",
            Experiment::DataCentre => "data-centre",
            Experiment::MoveGood => "move-good",
            Experiment::MoveBad => "move-bad",
            Experiment::Shutdown => "shutdown",
            Experiment::Partition => "partition",
            Experiment::Hedge => "hedge",
            Experiment::Crowds => "crowds",
            Experiment::LongCrowd => "long-crowd",
        }
    }

    /// Returns a one-line description for the list of experiments.
    pub fn summary(self) -> &'static str {
        match self {
            Experiment::Path => "3 daemons, 6 upstreams, 2,000 calls: none lost, and the latency added",
            Experiment::Added => "p50 and p99 added to a call, and calls per second per core",
            Experiment::Tail => "20 upstreams that slow down in turn: p99 by balancing policy",
            Experiment::Measuring => "bytes, CPU time and memory for control traffic, by number of upstreams",
            Experiment::Overload => "free callers at 3x capacity beside paying ones at 50%",
            Experiment::ColdStart => "upstreams that start or restart cold under load: calls in flight to them",
            Experiment::Answers => "late, truncated, crossed, duplicated, reset and malformed responses",
            Experiment::AtMostOnce => "calls resent under the same idempotency key while hosts and the platform fail",
            Experiment::Storm => "attempts at a failing leaf 8 levels deep",
            Experiment::Config => "13 daemons, 200 changes, concurrent operators and faults: time until in force",
            Experiment::Lease => "coordinators paused until after their lease expires: no late write",
            Experiment::Membership => "13 to 104 daemons: bytes, propagation of changes, hosts killed, paused and short of CPU",
            Experiment::DataCentre => "6 daemons in 3 data centres: one is taken out and returns cold, by a ramp and in one step",
            Experiment::MoveGood => "a good version receives all traffic in time, even when the coordinator is killed",
            Experiment::MoveBad => "versions bad in four ways are rolled back, compared with fixed steps",
            Experiment::Shutdown => "6 daemons replaced one after another under load: no call is interrupted",
            Experiment::Partition => "6 daemons partitioned into two groups: behaviour meanwhile, and recovery",
            Experiment::Hedge => "tail latency while upstreams slow down suddenly, with and without hedging",
            Experiment::Crowds => "ordinary callers beside seven kinds of crowds: served share, p99, memory, stop",
            Experiment::LongCrowd => "the memory of a host after ten minutes of a mixed crowd",
        }
    }

    /// Runs the experiment.
    pub async fn run(self, seed: u64) -> report::Report {
        match self {
            Experiment::Path => path::run(seed).await,
            Experiment::Added => added::run(seed).await,
            Experiment::Tail => tail::run(seed).await,
            Experiment::Measuring => measuring::run(seed).await,
            Experiment::Overload => overload::run(seed).await,
            Experiment::ColdStart => cold_start::run(seed).await,
            Experiment::Answers => answers::run(seed).await,
            Experiment::AtMostOnce => at_most_once::run(seed).await,
            Experiment::Storm => storm::run(seed).await,
            Experiment::Config => config::run(seed).await,
            Experiment::Lease => lease::run(seed).await,
            Experiment::Membership => membership::run(seed).await,
            Experiment::DataCentre => data_centre::run(seed).await,
            Experiment::MoveGood => move_good::run(seed).await,
            Experiment::MoveBad => move_bad::run(seed).await,
            Experiment::Shutdown => shutdown::run(seed).await,
            Experiment::Partition => partition::run(seed).await,
            Experiment::Hedge => hedge::run(seed).await,
            Experiment::Crowds => crowds::run(seed).await,
            Experiment::LongCrowd => crowds::run_long(seed).await,
        }
    }
}

impl std::str::FromStr for Experiment {
    type Err = String;

    fn from_str(raw: &str) -> Result<Self, String> {
        let experiment = Experiment::ALL.into_iter().find(|e| e.name() == raw);
        experiment.ok_or_else(|| {
            format!("experiment {raw:?} does not exist; see `basilhaven-bench list`")
        })
    }
}
