//! Progress of taking upstreams, hosts and data centres out of service.

use serde::{Deserialize, Serialize};

use super::Page;
use crate::{member, name, node, order};

/// Progress of taking one target out of service, as seen by this host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Target that is out of service.
    pub target: order::Target,
    /// Number of this host's calls in flight to upstreams of the target, plus its callers'
    /// connections if the target includes this host itself.
    pub in_flight: usize,
    /// Hosts that have applied the configuration of this host, or a later one.
    pub applied: Vec<name::Name>,
    /// Hosts that have not, as far as this host knows.
    pub missing: Vec<name::Name>,
}

/// Lists the targets that are out of service.
pub(super) fn list(node: &node::Node) -> Page {
    let rows = node.rows();
    let out = &rows.config.out;
    let data_centres = out.data_centres.iter().cloned().map(order::Target::DataCentre);
    let hosts = out.hosts.iter().cloned().map(order::Target::Host);
    let upstreams = out.upstreams.iter().cloned().map(order::Target::Upstream);
    let targets = data_centres.chain(hosts).chain(upstreams);
    let progress: Vec<Progress> = targets.map(|target| progress(node, target)).collect();
    Page::json(http::StatusCode::OK, &progress)
}

fn progress(node: &node::Node, target: order::Target) -> Progress {
    let in_flight = calls(node, &target) + connections(node, &target);
    let revision = node.rows().revisions.config;
    let mut hosts = node.members().others();
    hosts.push(node.members().own());
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    let has_applied = |host: &member::Host| host.revisions.config >= revision;
    let (applied, missing): (Vec<_>, Vec<_>) = hosts.into_iter().partition(has_applied);
    let names = |hosts: Vec<member::Host>| hosts.into_iter().map(|host| host.name).collect();
    Progress { target, in_flight, applied: names(applied), missing: names(missing) }
}

fn calls(node: &node::Node, target: &order::Target) -> usize {
    let upstreams = node.services().into_iter().flat_map(|service| service.upstreams());
    let of_target = upstreams.filter(|upstream| match target {
        order::Target::DataCentre(name) => upstream.spec().data_centre == *name,
        order::Target::Upstream(name) => upstream.name() == name,
        order::Target::Host(_) => false,
    });
    of_target.map(|upstream| upstream.in_flight() as usize).sum()
}

fn connections(node: &node::Node, target: &order::Target) -> usize {
    let own = node.settings();
    let is_own = match target {
        order::Target::DataCentre(name) => own.data_centre == *name,
        order::Target::Host(name) => own.name == *name,
        order::Target::Upstream(_) => false,
    };
    if is_own {
        node.open_connections().get()
    } else {
        0
    }
}
