//! The gateway as real processes, between stand-ins of the users' store, upstreams and callers.

mod answers;
mod hostile;
mod hosts;
mod orders;
mod pipelined;
mod world;
