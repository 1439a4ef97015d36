//! Stand-ins for what surrounds the daemons, and experiments that measure them.
//!
//! Everything runs as processes of its own on loopback: upstreams, the platform and callers are
//! [`standin`]s, [`process`] starts and ends them together with real daemons, [`cluster`] puts a set of
//! them together, and each [`experiment`] prints one [`report`].

pub mod cluster;
pub mod demo;
pub mod experiment;
pub mod gateway;
pub mod process;
pub mod report;
pub mod scenario;
pub mod soak;
pub mod standin;
