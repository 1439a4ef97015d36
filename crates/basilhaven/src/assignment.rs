//! The hosts that serve a service: their shares, kept in line with those alive, and what they tell.

use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::udp::UdpSocket;

use crate::{directory, member, name, node, peer, profile, service, upstream, wire};

/// How often changes are looked for.
const STEP: Duration = Duration::from_millis(20);

/// How often peers are sent_at again by the host that sends to a cold upstream, or saw it change.
const REPEAT: Duration = Duration::from_millis(500);

/// How often peers are sent_at again by hosts that only heard of a cold upstream.
const HEARSAY_REPEAT: Duration = Duration::from_millis(2_500);

/// How long after the last change peers are sent_at again.
const REPEAT_FOR: Duration = Duration::from_secs(10);

/// Upstreams that one frame tells of at most.
const FRAME_LEN: usize = 12;

/// The hosts that serve a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Assignment {
    /// This host.
    pub local_host: Option<name::Name>,
    /// All of them; none while they are not known, and this host then stands for all.
    pub hosts: Vec<name::Name>,
}

impl Assignment {
    /// This host's part in an upstream; `takeover_delay` from now it may take it over from another.
    pub(crate) fn share_of(
        &self,
        upstream: &upstream::Upstream,
        profile: &profile::Profile,
        takeover_delay: Duration,
    ) -> upstream::Share {
        let all = upstream.slots() + profile.extra_in_flight;
        let hosts = self.hosts.len().max(1) as u32;
        let rank =
            self.local_host.as_ref().and_then(|local| self.hosts.iter().position(|h| h == local));
        let in_flight = match rank {
            None if self.hosts.is_empty() => all,
            // A caller with an old answer came to a host that is no home.
            None => 1,
            Some(rank) => {
                let turn = directory::weight(upstream.name(), upstream.name()) % u64::from(hosts);
                let is_early = (rank as u32 + turn as u32) % hosts < all % hosts;
                all / hosts + u32::from(is_early)
            }
        };
        let since = upstream.share().owner_since;
        let from = Instant::now() + takeover_delay;
        upstream::Share {
            in_flight: in_flight.max(1),
            total_in_flight: all,
            connections: (profile.connections / hosts).max(1) as usize,
            owner_since: self.is_owner(upstream).then(|| since.unwrap_or(from)),
        }
    }

    /// Whether this host is the only one that sends to the upstream while it is cold.
    fn is_owner(&self, upstream: &upstream::Upstream) -> bool {
        let owner = self.hosts.iter().max_by_key(|h| directory::weight(upstream.name(), h));
        owner.is_none() || owner == self.local_host.as_ref()
    }

    /// This host's part in the slots of all upstreams together.
    pub(crate) fn slots_of(&self, upstreams: &[Rc<upstream::Upstream>]) -> u32 {
        let slots: u32 = upstreams.iter().map(|upstream| upstream.slots()).sum();
        let hosts = self.hosts.len().max(1) as u32;
        match slots {
            0 => 0,
            slots => (slots / hosts).max(1),
        }
    }

    /// Calls that the other homes are expected to have in flight to one upstream: as many as this one.
    pub(crate) fn expected_others(&self, upstreams: &[Rc<upstream::Upstream>]) -> f64 {
        let own: u32 = upstreams.iter().map(|u| u.in_flight()).sum();
        let others = self.hosts.len().saturating_sub(1);
        f64::from(own) * others as f64 / upstreams.len().max(1) as f64
    }
}

/// Looks for changes until the process ends.
pub async fn run(node: Rc<node::Node>, socket: Rc<UdpSocket>) {
    let mut serving = Vec::new();
    let mut sent_at = Instant::now();
    let mut changed = None;
    loop {
        let now_serving = node.members().serving();
        if names(&now_serving) != names(&serving) {
            serving = now_serving;
            assign(&node, &serving);
        }
        let services = node.services();
        services.iter().for_each(|service| service.tick());
        // Counted, since every service is to be asked.
        let has_news = services.iter().filter(|s| s.take_update()).count() > 0;
        if has_news {
            changed = Some(Instant::now());
        }
        let is_recent = changed.is_some_and(|at: Instant| at.elapsed() < REPEAT_FOR);
        let pause = match is_recent || services.iter().any(|s| s.owns_cold()) {
            true => Some(REPEAT),
            false => services.iter().any(|s| s.has_cold()).then_some(HEARSAY_REPEAT),
        };
        // Repeats give way when the budget is spent; changes don't.
        let is_due = pause.is_some_and(|pause| sent_at.elapsed() >= pause);
        if has_news || (is_due && node.control_budget().try_take(0.0)) {
            sent_at = Instant::now();
            broadcast(&node, &socket, &services).await;
        }
        monoio::time::sleep(STEP).await;
    }
}

fn names(hosts: &[member::Host]) -> Vec<&name::Name> {
    hosts.iter().map(|host| &host.name).collect()
}

/// Tells each service which hosts serve it.
pub fn assign(node: &node::Node, serving: &[member::Host]) {
    let local_host = Some(node.settings().name.clone());
    for service in node.services() {
        let homes = directory::assigned_hosts(service.name(), serving, service.profile().homes);
        let hosts = homes.into_iter().map(|host| host.name.clone()).collect();
        service.set_assignment(Assignment { local_host: local_host.clone(), hosts });
    }
}

/// Tells every peer, since callers with old answers come to hosts that are no homes, too.
async fn broadcast(node: &node::Node, socket: &UdpSocket, services: &[Rc<service::Service>]) {
    let peers: Vec<_> = node.members().others().iter().map(|host| host.peer).collect();
    for service in services {
        for upstreams in service.warmup_generations().chunks(FRAME_LEN) {
            let service = service.name().clone();
            let frame = wire::Frame::Warmup { service, upstreams: upstreams.to_vec() };
            for peer in &peers {
                peer::send_frame(node, socket, &frame, *peer).await;
            }
        }
    }
}
