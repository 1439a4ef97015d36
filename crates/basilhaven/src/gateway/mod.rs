//! The gateway: calls by route, placed on upstreams that are asked for their load right before.
//!
//! Where to read on: [`run`] starts everything; a call goes through [`frontend`], [`attempt`] and
//! [`place`]; what the hosts know of upstreams stands in [`registry`]; orders arrive through
//! [`updates`] from a [`store`], whose formats the embedding program translates.

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
