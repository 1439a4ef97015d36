//! Which services this host reaches: follows the [coverage](contact::Coverage) of each service and
//! announces those that are lost to the other hosts.
//!
//! A host whose links to the upstreams are cut sees the same as one whose upstreams are all down.
//! The other hosts' announcements tell the two apart: calls of a lost service are passed to a host
//! that reaches it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use monoio::net::udp::UdpSocket;

use super::cluster::{datagram, reach};
use super::{contact, probe, updates, upstream};

/// How long a service must have been lost, or reached again, before the other hosts are told.
/// Callers would follow each change of the directory, so a host returns later than it leaves.
const LOST_DELAY: Duration = Duration::from_millis(200);
const REGAINED_DELAY: Duration = Duration::from_millis(1500);

/// Interval at which the coverage of all services is computed.
const INTERVAL: Duration = Duration::from_millis(250);

/// The interval while a service is lost, at which some of its upstreams are also probed.
const INTERVAL_WHILE_LOST: Duration = Duration::from_millis(100);

/// Upstreams of a lost service that are probed at each interval.
const PROBES_WHILE_LOST: usize = 3;

/// Time without a response after which an upstream of a service that gets no calls is probed, so
/// that a host without calls also knows which services it reaches.
const IDLE_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What this host knows of one service.
#[derive(Debug, Clone, Copy)]
struct State {
    coverage: contact::Coverage,
    /// When the service was last lost or reached again.
    changed_at: Instant,
    is_announced: bool,
}

/// The services that this host has lost.
#[derive(Debug, Default)]
pub struct Services {
    states: RefCell<IndexMap<Rc<str>, State>>,
}

impl Services {
    /// Returns whether no upstream of a service responds to this host.
    pub fn is_lost(&self, service: &str) -> bool {
        let states = self.states.borrow();
        states.get(service).is_some_and(|state| state.coverage == contact::Coverage::Lost)
    }

    /// Computes the coverage of a service from its upstreams that may take calls.
    ///
    /// When the service is reached again, the failures that were recorded meanwhile are dropped:
    /// they say nothing about the upstreams.
    pub fn update(
        &self,
        service: &Rc<str>,
        upstreams: &[&Rc<upstream::Upstream>],
        now: Instant,
    ) -> contact::Coverage {
        let coverage = contact::Coverage::of(upstreams.iter().map(|u| &u.contact), now);
        let is_lost = coverage == contact::Coverage::Lost;
        let mut states = self.states.borrow_mut();
        let known = states.entry(Rc::clone(service)).or_insert(State {
            coverage: contact::Coverage::Full,
            changed_at: now,
            is_announced: false,
        });
        let was_lost = known.coverage == contact::Coverage::Lost;
        known.coverage = coverage;
        if is_lost != was_lost {
            known.changed_at = now;
            let silent = upstreams.iter().filter(|u| u.contact.is_silent()).count();
            let (service, upstreams) = (&**service, upstreams.len());
            match is_lost {
                true => tracing::info!(event = "service_lost", service, upstreams, silent),
                false => tracing::info!(event = "service_reached", service, upstreams, silent),
            }
        }
        if was_lost && !is_lost {
            upstreams.iter().for_each(|upstream| upstream.forget_failures(now));
        }
        coverage
    }

    /// Returns whether some service is lost.
    fn has_lost(&self) -> bool {
        let states = self.states.borrow();
        states.values().any(|state| state.coverage == contact::Coverage::Lost)
    }

    /// Returns what this host announces of its reach.
    fn announcement(&self, now: Instant) -> reach::Reach {
        let mut states = self.states.borrow_mut();
        for state in states.values_mut() {
            let is_lost = state.coverage == contact::Coverage::Lost;
            let delay = if is_lost { LOST_DELAY } else { REGAINED_DELAY };
            if now.saturating_duration_since(state.changed_at) >= delay {
                state.is_announced = is_lost;
            }
        }
        let is_announced = |state: &State| state.is_announced;
        match !states.is_empty() && states.values().all(is_announced) {
            true => reach::Reach::Nothing,
            false => {
                let lost = states.iter().filter(|(_, state)| is_announced(state));
                reach::Reach::except(lost.map(|(service, _)| &**service))
            }
        }
    }

    /// Removes services that have no upstreams any more.
    fn retain<F>(&self, is_known: F)
    where
        F: Fn(&Rc<str>) -> bool,
    {
        self.states.borrow_mut().retain(|service, _| is_known(service));
    }
}

/// Follows the reach of this host, and announces its changes.
pub async fn run(
    replica: Rc<updates::Replica>,
    services: Rc<Services>,
    prober: Rc<probe::Prober>,
    socket: Rc<UdpSocket>,
) {
    loop {
        let interval = if services.has_lost() { INTERVAL_WHILE_LOST } else { INTERVAL };
        monoio::time::sleep(interval).await;
        let now = Instant::now();
        let by_service = replica.registry.eligible_by_service(now);
        services.retain(|service| by_service.contains_key(service));
        for (service, upstreams) in &by_service {
            let upstreams: Vec<&Rc<upstream::Upstream>> = upstreams.iter().collect();
            let coverage = services.update(service, &upstreams, now);
            probe_some(&replica, &prober, service, &upstreams, coverage, now);
        }
        if replica.members.set_reach(services.announcement(now)) {
            tracing::info!(event = "reach_changed", reach = ?replica.members.reach());
            datagram::announce(&replica, &socket).await;
        }
    }
}

/// Probes some upstreams of a lost service, to learn when it is reached again, and one of a service
/// that gets no calls.
fn probe_some(
    replica: &updates::Replica,
    prober: &Rc<probe::Prober>,
    service: &Rc<str>,
    upstreams: &[&Rc<upstream::Upstream>],
    coverage: contact::Coverage,
    now: Instant,
) {
    let Some(table) = replica.config.table() else { return };
    let Some(settings) = table.services.get(service) else { return };
    let last_response = upstreams.iter().filter_map(|u| u.contact.responded_at()).max();
    let is_idle =
        last_response.is_none_or(|at| now.saturating_duration_since(at) >= IDLE_PROBE_INTERVAL);
    let probed = match coverage {
        contact::Coverage::Lost => fastrand::choose_multiple(upstreams.iter(), PROBES_WHILE_LOST),
        // The upstream that responded last has most likely kept its connection open.
        _ if is_idle => {
            let latest =
                |u: &&&Rc<upstream::Upstream>| (!u.contact.is_silent(), u.contact.responded_at());
            upstreams.iter().max_by_key(latest).into_iter().collect()
        }
        _ => Vec::new(),
    };
    for upstream in probed {
        prober.start(upstream, &settings.health_path);
    }
}
