//! Tests of the gateway as real processes, with stand-ins for the users' store, upstreams and
//! callers.

mod access;
mod bodies;
mod fixture;
mod full_resets;
mod hosts;
mod leaving;
mod limits;
mod lost_responses;
mod malformed;
mod orders;
mod passed_on;
mod pauses;
mod pipelining;
mod refusals;
mod responses;
mod restore;
mod room;
mod starts;
mod stranded;
mod usage;
