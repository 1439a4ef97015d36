//! The gateway: matches calls to routes and sends each call to an upstream that it chooses by load
//! reports, which it requests from upstreams for the call.
//!
//! [`run`] starts the process. A call passes through [`frontend`], [`balancer`] and [`attempt`];
//! [`registry`] holds the known upstreams. Configuration, operators' orders and the list of
//! upstreams arrive as [`updates`] from a [`store`], whose formats the embedding program
//! translates.

pub mod access;
pub mod attempt;
pub mod balancer;
pub mod cluster;
pub mod config;
pub mod contact;
pub mod coordinator;
pub mod directory;
pub mod forward;
pub mod frontend;
pub mod history;
pub mod journal;
pub mod limit;
pub mod listing;
pub mod memory;
pub mod moves;
pub mod notify;
pub mod pause;
pub mod probe;
pub mod protocol;
pub mod queue;
pub mod reach;
pub mod registry;
pub mod relay;
pub mod reply;
pub mod retries;
pub mod room;
pub mod round_trips;
pub mod route;
pub mod run;
pub mod selection;
pub mod settings;
pub mod shaper;
pub mod shares;
pub mod store;
pub mod task;
pub mod updates;
pub mod upstream;
pub mod usage;
pub mod warmup;
