//! Tests of the gateway's parts, without a network.

mod access;
mod advertised;
mod cluster;
mod connections;
mod datagram;
mod evidence;
mod forward;
mod history;
mod limits;
mod listing;
mod memory;
mod moves;
mod notify;
mod partition;
mod reach;
mod registry;
mod reply;
mod restore;
mod room;
mod selection;
mod settings;
mod shaper;
mod starts;
mod task;
mod updates;
mod usage_counts;
mod usage_holder;

use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::{Members, Record};
use basilhaven::gateway::updates::Replica;
use basilhaven::gateway::upstream::{Entry, Upstream};
use basilhaven::gateway::{balancer, protocol};
use basilhaven::profile::Idempotency;

/// Returns the entry of an upstream with four slots.
fn entry(service: &str, version: &str, data_centre: &str) -> Entry {
    Entry {
        service: service.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: data_centre.into(),
        version: version.into(),
        slots: 4,
        is_leaving: false,
        cold_remaining: Duration::ZERO,
        started_ms: 1,
        sequence: 1,
    }
}

/// Returns a warm upstream of the service `catalogo` with four slots.
fn upstream(id: &str, version: &str, data_centre: &str, now: Instant) -> Rc<Upstream> {
    Rc::new(Upstream::new(id.into(), entry("catalogo", version, data_centre), now))
}

/// Returns the replica of a host that has just started.
fn replica() -> Replica {
    let record = Record {
        peer: "10.0.0.1:1".parse().expect("an address"),
        callers: "10.0.0.1:2".parse().expect("an address"),
        data_centre: "a".into(),
    };
    Replica::new(Rc::new(Members::new(&record, 1, Instant::now())), false)
}

/// Returns the load report of an upstream with four slots.
fn load(running: u32, slowdown: f32) -> protocol::Load {
    protocol::Load { running, waiting: 0, slots: 4, slowdown }
}

/// Returns the requirements of an idempotent call that arrives now. `limits` are the times from now
/// until its latency target, the end of its wait, and its deadline, all in milliseconds.
fn requirements(
    service: &Rc<str>,
    now: Instant,
    limits: (u64, u64, u64),
    baseline_ms: u64,
) -> balancer::Requirements<'_> {
    let (target, queue, deadline) = limits;
    let after = |ms| now + Duration::from_millis(ms);
    balancer::Requirements {
        service,
        priority: 0,
        organisation: None,
        tried_upstreams: &[],
        queue_until: after(queue),
        deadline: after(deadline),
        target_at: after(target),
        arrived_at: now,
        age: None,
        baseline: Duration::from_millis(baseline_ms),
        may_be_passed_on: false,
        idempotency: Idempotency::Idempotent,
    }
}
