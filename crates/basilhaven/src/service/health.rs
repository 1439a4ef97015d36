//! Passive health checks: updates the state of upstreams from the results of calls and from calls
//! that have not returned.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::Service;
use crate::{call, profile, upstream};

impl Service {
    /// Re-evaluates what changes with time alone: calls that have not returned, and room for
    /// waiting calls.
    pub fn tick(self: &Rc<Self>) {
        let (now, baseline) = (Instant::now(), self.baseline_latency());
        for upstream in self.upstreams.borrow().values().filter(|u| u.in_flight() > 0) {
            self.check_cold_restart(upstream, now, baseline);
        }
        self.assign();
    }

    /// Updates an upstream's state from the end of an attempt.
    pub(super) fn record_end(
        &self,
        upstream: &Rc<upstream::Upstream>,
        end: Option<&call::End>,
        took: Duration,
    ) {
        let baseline = self.baseline_latency();
        upstream.record_end(end, took, baseline);
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

    /// Marks an upstream cold once it is far slower than the baseline, even if no call has
    /// returned.
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

    /// Marks an upstream cold, or restarts its warm-up if it is cold already.
    fn handle_cold_restart(&self, upstream: &upstream::Upstream, reason: &'static str) {
        if self.profile.borrow().policy != profile::Policy::Cost {
            return;
        }
        if upstream.warmup().is_cold() {
            // The last step of the warm-up was too large, or the slow or failed calls were sent
            // before the upstream was marked cold.
            if upstream.warmup().max_in_flight() > 1 {
                upstream.warmup().restart();
            }
            return;
        }
        // Only a single host, the cold-start owner, sends to a cold upstream. If no warm upstream
        // were left, the other hosts would have nowhere to send their calls.
        if !self.may_hold_back(upstream) {
            return;
        }
        upstream.mark_cold();
        self.has_warmup_update.set(true);
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

    /// Returns `true` if this upstream may be ejected or marked cold: at any time, at most half of
    /// the upstreams of a version may be either. The other upstreams get the calls, whatever
    /// their own state.
    fn may_hold_back(&self, upstream: &upstream::Upstream) -> bool {
        let peers = self.open_peers(upstream);
        let is_held_back = |u: &upstream::Upstream| u.warmup().is_cold() || u.health().is_ejected();
        let held_back =
            peers.iter().filter(|u| u.name() != upstream.name() && is_held_back(u)).count();
        held_back < peers.len() / 2
    }

    /// Readmits the upstream that has been ejected for longest if the limit on ejections leaves no
    /// room for one that fails now. Returns `true` if there is room.
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
            self.has_warmup_update.set(true);
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
            // The upstream's process may have been restarted, and is cold then.
            if matches!(
                end,
                call::End::Failed(call::Reason::Connect | call::Reason::ConnectionLost)
            ) {
                self.handle_cold_restart(upstream, "connections");
            }
        }
    }
}
