//! The warm-up state of a service's upstreams, as agreed between hosts. While an upstream is cold,
//! a single host sends calls to it, its cold-start owner.

use std::rc::Rc;

use super::Service;
use crate::{name, upstream};

impl Service {
    /// Marks upstreams cold that have returned to service, since their processes may have been
    /// restarted while they were out of service. If more than half of the upstreams of a version
    /// return at once, they stay warm: hosts that are not their cold-start owners need somewhere to
    /// send calls.
    pub(super) fn mark_returned_cold(&self, returned: &[Rc<upstream::Upstream>]) {
        if self.profile().return_ramp.is_zero() {
            return;
        }
        for upstream in returned {
            let is_peer = |peer: &&Rc<upstream::Upstream>| peer.version() == upstream.version();
            let peers = self.open_peers(upstream).len();
            if returned.iter().filter(is_peer).count() <= peers / 2 {
                upstream.mark_cold();
                self.has_warmup_update.set(true);
            }
        }
    }

    /// Marks upstreams warm that were warm before, or whose return ramp is under way, if no warm
    /// upstream of their version is left: hosts that are not their cold-start owners would have
    /// nowhere to send calls. All hosts that know of the same cold upstreams mark the same ones.
    pub(super) fn release_fully_cold_versions(&self) {
        let ramp = self.profile().return_ramp;
        let has_warm_peer = |upstream: &upstream::Upstream| {
            self.open_peers(upstream).iter().any(|peer| !peer.warmup().is_cold())
        };
        let was_warm = |upstream: &upstream::Upstream| {
            upstream.is_cold_again() || upstream.ramp().share(ramp) < 1.0
        };
        let mut released = self.open_upstreams();
        released.retain(|upstream| was_warm(upstream) && !has_warm_peer(upstream));
        for upstream in released {
            upstream.apply_warmup(upstream.warmup().generation() + 1);
            self.has_warmup_update.set(true);
        }
    }

    /// Returns the generations of all upstreams that are or have been cold.
    pub fn warmup_generations(&self) -> Vec<(name::Name, u64)> {
        let upstreams = self.upstreams.borrow();
        let changed = upstreams.values().filter(|u| u.warmup().generation() > 0);
        changed.map(|u| (u.name().clone(), u.warmup().generation())).collect()
    }

    /// Merges the generation of an upstream's warm-up state received from another host.
    pub fn apply_warmup(self: &Rc<Self>, upstream: &name::Name, generation: u64) {
        let found = self.upstreams.borrow().get(upstream).cloned();
        let Some(found) = found else { return };
        if found.warmup().generation() > generation {
            // The other host has missed a change: send the state again.
            self.has_warmup_update.set(true);
        }
        if found.apply_warmup(generation) {
            tracing::info!(
                event = "upstream_warmth_heard",
                service = %self.name,
                upstream = %upstream,
                generation,
            );
            self.release_fully_cold_versions();
            self.assign();
        }
    }

    /// Returns `true` if any upstream is cold.
    pub fn has_cold_upstream(&self) -> bool {
        self.upstreams.borrow().values().any(|upstream| upstream.warmup().is_cold())
    }

    /// Returns `true` if this host is the cold-start owner of any cold upstream.
    pub fn owns_cold_upstream(&self) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.values().any(|u| u.warmup().is_cold() && u.share().owner_since.is_some())
    }

    /// Returns `true` if a changed warm-up state has to be sent to the other hosts, and clears the
    /// flag.
    pub fn take_warmup_update(&self) -> bool {
        self.has_warmup_update.replace(false)
    }
}
