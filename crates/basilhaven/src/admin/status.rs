//! This host's view of the system, for operators.

use serde::{Deserialize, Serialize};

use super::Page;
use crate::{member, name, node, replica, service, upstream};

/// This host's view of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// This host.
    pub own: member::Host,
    /// The other hosts that are not considered dead.
    pub others: Vec<member::Host>,
    /// Those of them that did not answer a probe and can still refute the suspicion.
    #[serde(default)]
    pub suspect: Vec<name::Name>,
    /// Hosts that did not refute the suspicion in time.
    #[serde(default)]
    pub dead: Vec<name::Name>,
    /// Revisions of the rows that this host has applied.
    pub revisions: replica::Revisions,
    /// Services of this host.
    pub services: Vec<Service>,
}

/// A service as seen by this host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: name::Name,
    /// Number of calls that wait for an upstream.
    pub queued: usize,
    /// Upstreams of the service.
    pub upstreams: Vec<Upstream>,
}

/// An upstream as seen by this host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: name::Name,
    /// Data centre where it is located.
    pub data_centre: name::Name,
    /// Version that it runs.
    pub version: name::Name,
    /// `open` if it receives new calls, or else the reason why not.
    pub state: String,
    /// Number of this host's calls in flight to it.
    pub in_flight: u32,
    /// Latency observed by this host, in microseconds, if known.
    pub latency_us: Option<u64>,
}

/// Returns this host's view of the system.
pub(super) fn status(node: &node::Node) -> Page {
    let status = Status {
        own: node.members().own(),
        others: node.members().others(),
        suspect: names(node, member::Health::Suspect),
        dead: names(node, member::Health::Dead),
        revisions: node.rows().revisions,
        services: node.services().iter().map(|service| Service::from(&**service)).collect(),
    };
    Page::json(http::StatusCode::OK, &status)
}

fn names(node: &node::Node, health: member::Health) -> Vec<name::Name> {
    node.members().with_health(health).into_iter().map(|host| host.name).collect()
}

/// Returns the recent placement decisions on the service named by the query, newest first.
pub(super) fn decisions(node: &node::Node, query: &str) -> Page {
    let name = query.split('&').find_map(|pair| pair.strip_prefix("service="));
    match name.and_then(|name| node.service(name)) {
        Some(service) => Page::json(http::StatusCode::OK, &service.decisions().newest()),
        None => Page::text(http::StatusCode::NOT_FOUND, "unknown service\n"),
    }
}

impl From<&service::Service> for Service {
    fn from(service: &service::Service) -> Service {
        Service {
            name: service.name().clone(),
            queued: service.queued(),
            upstreams: service.upstreams().iter().map(|u| Upstream::from(&**u)).collect(),
        }
    }
}

impl From<&upstream::Upstream> for Upstream {
    fn from(upstream: &upstream::Upstream) -> Upstream {
        let spec = upstream.spec();
        Upstream {
            name: spec.name,
            data_centre: spec.data_centre,
            version: spec.version,
            state: upstream.state().to_string(),
            in_flight: upstream.in_flight(),
            latency_us: upstream.latency().map(|l| l.as_micros() as u64),
        }
    }
}
