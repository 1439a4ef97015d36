//! Which upstreams are cold, as this host and its peers have come to know.

use std::rc::Rc;

use super::Service;
use crate::{name, upstream};

impl Service {
    /// Takes upstreams that are back for cold, since they may have been started anew meanwhile; not
    /// when they are most of their version, for hosts that are not their keepers need the others.
    pub(super) fn mark_returned_cold(&self, returned: &[Rc<upstream::Upstream>]) {
        if self.profile().return_ramp.is_zero() {
            return;
        }
        for upstream in returned {
            let is_peer = |peer: &&Rc<upstream::Upstream>| peer.version() == upstream.version();
            let peers = self.open_peers(upstream).len();
            if returned.iter().filter(is_peer).count() <= peers / 2 {
                upstream.mark_cold();
                self.has_update.set(true);
            }
        }
    }

    /// Takes upstreams that fell back, or are on their way back, for warm where no warm one of their version
    /// is left: hosts that are not their keepers could send their calls nowhere. All hosts that know of
    /// the same cold ones release the same.
    pub(super) fn release_fully_cold_versions(&self) {
        let ramp = self.profile().return_ramp;
        let has_warm_peer = |upstream: &upstream::Upstream| {
            self.open_peers(upstream).iter().any(|peer| !peer.warmup().is_cold())
        };
        let was_warm = |upstream: &upstream::Upstream| {
            upstream.is_cold_again() || upstream.ramp().share(ramp) < 1.0
        };
        let mut last = self.open_upstreams();
        last.retain(|upstream| was_warm(upstream) && !has_warm_peer(upstream));
        for upstream in last {
            upstream.apply_warmup(upstream.warmup().generation() + 1);
            self.has_update.set(true);
        }
    }

    /// The upstreams that are cold, or were told to be warm again, with their generations.
    pub fn warmup_generations(&self) -> Vec<(name::Name, u64)> {
        let upstreams = self.upstreams.borrow();
        let told = upstreams.values().filter(|u| u.warmup().generation() > 0);
        told.map(|u| (u.name().clone(), u.warmup().generation())).collect()
    }

    /// Takes in the generation of an upstream's warmth that a peer tells.
    pub fn apply_warmup(self: &Rc<Self>, upstream: &name::Name, generation: u64) {
        let known = self.upstreams.borrow().get(upstream).cloned();
        let Some(known) = known else { return };
        if known.warmup().generation() > generation {
            // The peer missed a change.
            self.has_update.set(true);
        }
        if known.apply_warmup(generation) {
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

    /// Whether an upstream of it is cold.
    pub fn has_cold(&self) -> bool {
        self.upstreams.borrow().values().any(|upstream| upstream.warmup().is_cold())
    }

    /// Whether this host is the one that sends to a cold upstream of it.
    pub fn owns_cold(&self) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.values().any(|u| u.warmup().is_cold() && u.share().owner_since.is_some())
    }

    /// Whether peers are to be told of a change; asking settles it.
    pub fn take_update(&self) -> bool {
        self.has_update.replace(false)
    }
}
