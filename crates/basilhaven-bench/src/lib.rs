//! Stand-ins for the environment of the daemons, and experiments and tests that run against them.
//!
//! Upstreams, the platform and callers are [`standin`]s. They run as separate processes on
//! loopback, which [`process`] starts and stops together with real daemons. [`cluster`] starts
//! complete sets of them, and each [`experiment`] prints one [`report`]. [`gateway`] does the same
//! for the newer daemon, whose stand-ins run on threads, [`soak`] tests it under random faults, and a
//! [`crowd`] takes its connections and memory.
//! [`scenario`] is a small language for tests.

pub mod cluster;
pub mod crowd;
pub mod demo;
pub mod experiment;
pub mod gateway;
pub mod monitor;
pub mod process;
pub mod report;
pub mod scenario;
pub mod soak;
pub mod standin;
