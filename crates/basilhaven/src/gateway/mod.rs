//! The gateway: matches calls to routes and places each on an upstream by load reports that it
//! requests for the call.
//!
//! [`run`] starts the process. A call passes through [`frontend`], [`place`] and [`attempt`];
//! [`registry`] holds the known upstreams. Configuration, operators' orders and the list of
//! upstreams arrive as [`updates`] from a [`store`], whose formats the embedding program
//! translates.

pub mod attempt;
pub mod choice;
pub mod cluster;
pub mod cold;
pub mod directory;
pub mod frontend;
pub mod journal;
pub mod moves;
pub mod place;
pub mod probe;
pub mod protocol;
pub mod registry;
pub mod relay;
pub mod retries;
pub mod route;
pub mod run;
pub mod settings;
pub mod signal;
pub mod steer;
pub mod store;
pub mod updates;
pub mod upstream;
