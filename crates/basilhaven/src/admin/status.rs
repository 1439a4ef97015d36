//! What this host knows, for operators.

use serde::{Deserialize, Serialize};

use super::Page;
use crate::{member, name, node, replica, service, upstream};

/// This host's view of the whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// This host.
    pub own: member::Host,
    /// The other hosts that it does not think dead.
    pub others: Vec<member::Host>,
    /// Those of them that failed to answer a probe, and may yet refute.
    #[serde(default)]
    pub suspect: Vec<name::Name>,
    /// Hosts that failed and did not refute in time.
    #[serde(default)]
    pub dead: Vec<name::Name>,
    /// The revisions that it has applied.
    pub revisions: replica::Revisions,
    /// Its services.
    pub services: Vec<Service>,
}

/// A service as this host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: name::Name,
    /// Calls that wait for an upstream.
    pub queued: usize,
    /// Its upstreams.
    pub upstreams: Vec<Upstream>,
}

/// An upstream as this host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: name::Name,
    /// The data centre that it stands in.
    pub data_centre: name::Name,
    /// The version that it runs.
    pub version: name::Name,
    /// Whether it gets new work, and if not, why.
    pub state: String,
    /// Calls that this host has in flight to it.
    pub in_flight: u32,
    /// Its latency on this host, in microseconds.
    pub latency_us: Option<u64>,
}

/// This host's view.
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

/// The recent placement decisions of the service that the query names, the newest first.
pub(super) fn why(node: &node::Node, query: &str) -> Page {
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
