//! The gateway as real processes, between stand-ins of the users' store, upstreams and callers.

mod fixture;
mod hosts;
mod malformed;
mod orders;
mod pipelining;
mod responses;
