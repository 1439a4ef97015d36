//! What the ends of calls, and calls that don't come back, say of upstreams.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::Service;
use crate::{call, profile, upstream};

impl Service {
    /// Looks at what changes with time only: calls that don't come back, and room for those that wait.
    pub fn tick(self: &Rc<Self>) {
        let (now, baseline) = (Instant::now(), self.baseline_latency());
        for upstream in self.upstreams.borrow().values().filter(|u| u.in_flight() > 0) {
            self.check_cold_restart(upstream, now, baseline);
        }
        self.assign();
    }

    /// Takes in how an attempt ended.
    pub(super) fn record_end(
        &self,
        upstream: &Rc<upstream::Upstream>,
        end: Option<&call::End>,
        took: Duration,
    ) {
        let baseline = self.baseline_latency();
        upstream.observe(end, took, baseline);
        match end {
            Some(call::End::Answered { status, took }) if !status.is_server_error() => {
                self.record_success(upstream, *took);
            }
            Some(end @ (call::End::Answered { .. } | call::End::Failed(_))) => {
                self.record_failure(upstream, end);
            }
            Some(call::End::Cancelled) | None => {}
        }
        self.check_cold_restart(upstream, Instant::now(), baseline);
    }

    /// Takes an upstream for cold once it is far slower than usual, be it that no call came back.
    pub(super) fn check_cold_restart(
        &self,
        upstream: &upstream::Upstream,
        now: Instant,
        baseline: Duration,
    ) {
        if self.baseline.reliable_latency().is_some()
            && upstream.detects_cold_restart(now, baseline)
        {
            self.handle_cold_restart(upstream, "latency");
        }
    }

    fn handle_cold_restart(&self, upstream: &upstream::Upstream, reason: &'static str) {
        if self.profile.borrow().policy != profile::Policy::Cost {
            return;
        }
        if upstream.warmup().is_cold() {
            // Too large a step of the ramp, or calls from before.
            if upstream.warmup().max_in_flight() > 1 {
                upstream.warmup().restart();
            }
            return;
        }
        // Hosts that are not its keeper could send their calls nowhere if no other were left.
        if !self.may_hold_back(upstream) {
            return;
        }
        upstream.mark_cold();
        self.has_update.set(true);
        metrics::counter!("basilhaven_relapses_total", "service" => self.name.to_string())
            .increment(1);
        tracing::warn!(
            event = "upstream_cold",
            service = %self.name,
            upstream = %upstream.name(),
            generation = upstream.warmup().generation(),
            reason,
        );
    }

    /// Whether this upstream may be held back: at most half of those of its version are at one time, the
    /// others carry the calls, however they fare.
    fn may_hold_back(&self, upstream: &upstream::Upstream) -> bool {
        let peers = self.open_peers(upstream);
        let is_held = |u: &upstream::Upstream| u.warmup().is_cold() || u.health().is_ejected();
        let held = peers.iter().filter(|u| u.name() != upstream.name() && is_held(u)).count();
        held < peers.len() / 2
    }

    /// Has the upstream that was ejected longest make room for one that fails now, where no more may be
    /// held back; tells whether there is room.
    fn make_ejection_room(&self, upstream: &upstream::Upstream) -> bool {
        if self.may_hold_back(upstream) {
            return true;
        }
        let mut peers = self.open_peers(upstream);
        peers.retain(|peer| !peer.warmup().is_cold() && peer.health().is_ejected());
        let Some(longest) = peers.iter().min_by_key(|peer| peer.health().ejected_since()) else {
            return false;
        };
        longest.health().readmit();
        self.may_hold_back(upstream)
    }

    fn record_success(&self, upstream: &upstream::Upstream, took: Duration) {
        upstream.health().record_success();
        let limit = upstream.share().total_in_flight;
        if !upstream.warmup().is_cold() {
            self.baseline.record(took);
        } else if upstream.warmup().record_success(took, self.baseline.reliable_latency(), limit) {
            tracing::info!(
                event = "upstream_warm",
                service = %self.name,
                upstream = %upstream.name(),
                generation = upstream.warmup().generation(),
            );
            self.has_update.set(true);
        }
    }

    fn record_failure(&self, upstream: &upstream::Upstream, end: &call::End) {
        if upstream.warmup().is_cold() {
            upstream.warmup().restart();
        }
        if upstream.health().record_failure(Instant::now()) && self.make_ejection_room(upstream) {
            upstream.health().eject(Instant::now());
            tracing::warn!(
                event = "upstream_ejected",
                service = %self.name,
                upstream = %upstream.name(),
                ?end,
            );
            // It may have been started anew: it comes back as a cold one.
            if matches!(
                end,
                call::End::Failed(call::Reason::Connect | call::Reason::ConnectionLost)
            ) {
                self.handle_cold_restart(upstream, "connections");
            }
        }
    }
}
