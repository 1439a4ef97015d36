//! The hosts that serve a service: this host's shares of the upstreams' capacity, kept up to date
//! as hosts come and go, and the messages by which hosts agree on which upstreams are cold.
//!
//! A cold upstream ([`crate::warmup`]) gets calls from a single host, its cold-start owner, which
//! every host determines from the list of hosts that serve the service.

use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::udp::UdpSocket;

use crate::{directory, member, name, node, peer, profile, service, upstream, wire};

/// Interval at which hosts that joined or left and changed warm-up states are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the state of cold upstreams is repeated to other hosts by their cold-start
/// owner, and by hosts on which the state of any upstream has changed recently.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which other hosts that know of a cold upstream repeat its state.
const SLOW_REPEAT_INTERVAL: Duration = Duration::from_millis(2_500);

/// Time after the last change for which its state is repeated at the shorter interval.
const REPEAT_DURATION: Duration = Duration::from_secs(10);

/// Maximum number of upstreams in one frame.
const MAX_UPSTREAMS_PER_FRAME: usize = 12;

/// The hosts that serve a service, and which of them this host is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assignment {
    /// The name of this host.
    pub local_host: Option<name::Name>,
    /// All hosts that serve the service. Empty while they are not known; this host then takes the
    /// whole capacity.
    pub hosts: Vec<name::Name>,
}

impl Assignment {
    /// Returns this host's share of an upstream's capacity. If this host becomes the upstream's
    /// cold-start owner, it may send from `takeover_delay` from now.
    pub(crate) fn share_of(
        &self,
        upstream: &upstream::Upstream,
        profile: &profile::Profile,
        takeover_delay: Duration,
    ) -> upstream::Share {
        let total = upstream.slots() + profile.extra_in_flight;
        let hosts = self.hosts.len().max(1) as u32;
        let rank =
            self.local_host.as_ref().and_then(|local| self.hosts.iter().position(|h| h == local));
        let in_flight = match rank {
            None if self.hosts.is_empty() => total,
            // This host does not serve the service: the caller used an outdated directory response.
            None => 1,
            Some(rank) => {
                // The remainder of the division goes to different hosts for different upstreams.
                let offset = directory::weight(upstream.name(), upstream.name()) % u64::from(hosts);
                let gets_remainder = (rank as u32 + offset as u32) % hosts < total % hosts;
                total / hosts + u32::from(gets_remainder)
            }
        };
        let owner_since = upstream.share().owner_since;
        let takeover_at = Instant::now() + takeover_delay;
        upstream::Share {
            in_flight: in_flight.max(1),
            total_in_flight: total,
            connections: (profile.connections / hosts).max(1) as usize,
            owner_since: self.is_owner(upstream).then(|| owner_since.unwrap_or(takeover_at)),
        }
    }

    /// Returns `true` if this host is the upstream's cold-start owner: the only host that sends to
    /// the upstream while that is cold.
    fn is_owner(&self, upstream: &upstream::Upstream) -> bool {
        let owner = self.hosts.iter().max_by_key(|h| directory::weight(upstream.name(), h));
        owner.is_none() || owner == self.local_host.as_ref()
    }

    /// Returns this host's share of the slots of all upstreams together.
    pub(crate) fn share_of_slots(&self, upstreams: &[Rc<upstream::Upstream>]) -> u32 {
        let slots: u32 = upstreams.iter().map(|upstream| upstream.slots()).sum();
        let hosts = self.hosts.len().max(1) as u32;
        match slots {
            0 => 0,
            slots => (slots / hosts).max(1),
        }
    }

    /// Returns the number of calls that the other hosts that serve the service are expected to have
    /// in flight to one upstream, assuming that each of them has as many as this host.
    pub(crate) fn expected_others_in_flight(&self, upstreams: &[Rc<upstream::Upstream>]) -> f64 {
        let own: u32 = upstreams.iter().map(|u| u.in_flight()).sum();
        let others = self.hosts.len().saturating_sub(1);
        f64::from(own) * others as f64 / upstreams.len().max(1) as f64
    }
}

/// Keeps the assignments and the warm-up states up to date until the process ends: assigns hosts to
/// services when hosts join or leave, and sends warm-up states to other hosts.
pub async fn run(node: Rc<node::Node>, socket: Rc<UdpSocket>) {
    let mut serving = Vec::new();
    let mut sent_at = Instant::now();
    let mut changed_at = None;
    loop {
        let now_serving = node.members().serving();
        if host_names(&now_serving) != host_names(&serving) {
            serving = now_serving;
            assign(&node, &serving);
        }
        let services = node.services();
        services.iter().for_each(|service| service.tick());
        // `count` and not `any`, which stops at the first match: `take_warmup_update` has to clear
        // the flag of every service.
        let has_update = services.iter().filter(|s| s.take_warmup_update()).count() > 0;
        if has_update {
            changed_at = Some(Instant::now());
        }
        let is_recent = changed_at.is_some_and(|at: Instant| at.elapsed() < REPEAT_DURATION);
        let interval = match is_recent || services.iter().any(|s| s.owns_cold_upstream()) {
            true => Some(REPEAT_INTERVAL),
            false => services.iter().any(|s| s.has_cold_upstream()).then_some(SLOW_REPEAT_INTERVAL),
        };
        // Repetitions are skipped when the budget for control messages is spent; changes are always
        // sent.
        let is_due = interval.is_some_and(|interval| sent_at.elapsed() >= interval);
        if has_update || (is_due && node.control_budget().try_take(0.0)) {
            sent_at = Instant::now();
            broadcast(&node, &socket, &services).await;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

fn host_names(hosts: &[member::Host]) -> Vec<&name::Name> {
    hosts.iter().map(|host| &host.name).collect()
}

/// Assigns to each service the hosts that serve it.
pub fn assign(node: &node::Node, serving: &[member::Host]) {
    let local_host = Some(node.settings().name.clone());
    for service in node.services() {
        let assigned = directory::assigned_hosts(service.name(), serving, service.profile().homes);
        let hosts = assigned.into_iter().map(|host| host.name.clone()).collect();
        service.set_assignment(Assignment { local_host: local_host.clone(), hosts });
    }
}

/// Sends the warm-up states to all hosts, also those that do not serve the service, since callers
/// with outdated directory responses send calls to them too.
async fn broadcast(node: &node::Node, socket: &UdpSocket, services: &[Rc<service::Service>]) {
    let peers: Vec<_> = node.members().others().iter().map(|host| host.peer).collect();
    for service in services {
        for upstreams in service.warmup_generations().chunks(MAX_UPSTREAMS_PER_FRAME) {
            let service = service.name().clone();
            let frame = wire::Frame::Warmup { service, upstreams: upstreams.to_vec() };
            for peer in &peers {
                peer::send_frame(node, socket, &frame, *peer).await;
            }
        }
    }
}
