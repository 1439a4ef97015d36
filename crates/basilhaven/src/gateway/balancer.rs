//! Chooses an upstream for each call. A *search* probes the load of some upstreams and chooses the
//! cheapest; while none of them has capacity, the call waits in a queue and searches again.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::cluster::assignment;
use super::queue::{Queue, Ticket};
use super::{
    cluster, contact, limit, moves, pause, probe, reach, registry, room, route, selection, upstream,
};
use crate::profile;

/// Maximum number of upstreams that one search probes for their load.
const PROBES_PER_SEARCH: usize = 6;

/// Probes of a search that are kept for upstreams that name a rate, if any of them admits a call.
const PROBES_FOR_LIMITED: usize = 3;

/// Number of a service's usable upstreams from which a search chooses: the host's
/// [subset](selection::subset). With fewer, hosts that get more calls than others find all
/// upstreams of their subset full.
const SUBSET_SIZE: usize = 32;

/// Share of the searches in which one probe opens a connection to an upstream that this host has not
/// heard of for long.
const EXPLORED_SHARE: f64 = 0.1;

/// Recent failures from which an upstream gives up its place in the subset to another one. While
/// upstreams fail or shed, a fixed subset would consist of those that have failed, whose cost is too
/// high for any call.
const MAX_FAILURES_IN_SUBSET: f64 = 1.0;

/// Load reports up to this age are used for another call without a new probe.
const MAX_REUSED_REPORT_AGE: Duration = Duration::from_millis(3);

/// How long a search waits for the responses to its probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(25);

/// How long a call that found no upstream with capacity waits for a freed slot before it searches
/// again.
const SEARCH_INTERVAL: Duration = Duration::from_millis(8);

/// Waiting calls of one service that may search at the same time.
const MAX_CONCURRENT_SEARCHES: usize = 2;

/// Failed searches of a call after which it is checked again whether upstreams respond.
const SEARCHES_PER_REACH_CHECK: u32 = 4;

/// What a call requires of an upstream.
#[derive(Debug, Clone)]
pub struct Requirements<'a> {
    /// The service to call.
    pub service: &'a Rc<str>,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// The organisation of the caller, if known.
    pub organisation: Option<&'a Rc<str>>,
    /// Ids of the upstreams that earlier attempts of the call were sent to.
    pub tried_upstreams: &'a [Rc<str>],
    /// When the call stops waiting for an upstream, because an attempt that starts later could not
    /// be answered before the deadline.
    pub queue_until: Instant,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
    /// Time by which the call has to be answered to meet the route's latency target.
    pub target_at: Instant,
    /// When the call arrived at the first host.
    pub arrived_at: Instant,
    /// Time between the caller's first attempt and this one, if known.
    pub age: Option<Duration>,
    /// Baseline latency of the route's calls; see [`Queue::baseline`].
    pub baseline: Duration,
    /// Whether the call may be passed to another host.
    pub may_be_passed_on: bool,
    /// Whether the call may run more than once.
    pub idempotency: profile::Idempotency,
}

impl Requirements<'_> {
    /// Returns the latest time at which the call can start on an idle upstream and still meet the
    /// route's latency target.
    pub(super) fn latest_on_time_start(&self) -> Instant {
        self.target_at.checked_sub(self.baseline.mul_f64(BEST_COST)).unwrap_or(self.target_at)
    }

    /// Returns whether the call may be sent to an upstream by what is known of its room. The fewer
    /// free slots a report shows, the newer it has to be for an at-most-once call, which must not be
    /// sent again if the upstream turns out to be full.
    pub fn has_room(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        let Some(report) = upstream.report() else { return false };
        let free = upstream.slots().saturating_sub(upstream.occupancy());
        let max_age = match self.idempotency {
            profile::Idempotency::Idempotent => selection::MAX_REPORT_AGE,
            profile::Idempotency::AtMostOnce => selection::REPORT_AGE_PER_FREE_SLOT
                .saturating_mul(free)
                .min(selection::MAX_REPORT_AGE),
        };
        free > 0 && now.saturating_duration_since(report.received_at) <= max_age
    }

    /// Returns whether the call may run now on an upstream of this [cost](selection::cost).
    ///
    /// An upstream that would miss the latency target is accepted only once no other upstream could
    /// meet it, and one that would miss the caller's deadline is never accepted.
    pub fn accepts(&self, cost: f64, now: Instant) -> bool {
        let response_at = now + self.baseline.mul_f64(cost);
        let is_late = now > self.latest_on_time_start();
        response_at <= self.target_at || is_late && response_at <= self.deadline
    }
}

/// Approximate [cost](selection::cost) of an idle upstream that runs at its normal speed.
const BEST_COST: f64 = 1.3;

/// Why a call got no upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// No upstream of the service is eligible for calls.
    #[display("no-upstream")]
    NoUpstream,
    /// No upstream had capacity in time.
    #[display("no-room")]
    NoCapacity,
    /// Upstreams do not respond to this host: none of the service, or most of them if another host
    /// can place the call.
    #[display("unreachable")]
    Unreachable,
    /// All eligible upstreams want nothing from this host until after the call has to start.
    #[display("paused")]
    Paused {
        /// When the first of them takes calls again.
        retry_after: Duration,
    },
    /// All eligible upstreams name a rate of calls, and these rates do not admit the call in time.
    #[display("rate-limited")]
    RateLimited {
        /// When the rates admit another call; `None` if this host may not send any.
        retry_after: Option<Duration>,
    },
    /// The free slots were left to more urgent calls until the call had to start.
    #[display("reserved")]
    Reserved,
    /// Neither a timely answer nor idle room is to be expected before the caller's deadline.
    #[display("too-late")]
    TooLate {
        /// When the caller should retry.
        retry_after: Duration,
    },
}

/// The right to run one call on one upstream; frees the upstream's slot when dropped.
#[derive(Debug)]
pub struct Permit {
    /// The chosen upstream.
    pub upstream: Rc<upstream::Upstream>,
    /// The [cost](selection::cost) of the upstream when it was chosen.
    pub cost: f64,
    /// The time that the call is expected to take there.
    pub expected: Duration,
    /// Number of probed upstreams among which the cheapest was chosen.
    pub candidates: usize,
    /// Age of the upstream's load report when the upstream was chosen.
    pub report_age: Duration,
    acquired_at: Instant,
    queue: Rc<Queue>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.upstream.end_call(self.acquired_at);
        self.queue.room.record_end(Instant::now());
        self.queue.slot_freed.notify();
    }
}

/// Chooses upstreams for calls, with one queue per service.
#[derive(Debug)]
pub struct Balancer {
    data_centre: Rc<str>,
    registry: Rc<registry::Registry>,
    members: Rc<cluster::Members>,
    /// Moves of services between versions, which decide the version that takes a call.
    pub moves: Rc<moves::Moves>,
    prober: Rc<probe::Prober>,
    reach: Rc<reach::Services>,
    queues: RefCell<IndexMap<Rc<str>, Rc<Queue>>>,
}

impl Balancer {
    /// Creates a balancer for a host in `data_centre`.
    pub fn new(
        data_centre: Rc<str>,
        registry: Rc<registry::Registry>,
        members: Rc<cluster::Members>,
        moves: Rc<moves::Moves>,
        prober: Rc<probe::Prober>,
        reach: Rc<reach::Services>,
    ) -> Balancer {
        let queues = RefCell::default();
        Balancer { data_centre, registry, members, moves, prober, reach, queues }
    }

    /// Returns the queue of a service.
    pub fn queue(&self, service: &Rc<str>) -> Rc<Queue> {
        Rc::clone(self.queues.borrow_mut().entry(Rc::clone(service)).or_default())
    }

    /// Records that an upstream has said to another host that it is leaving.
    pub fn mark_leaving(&self, upstream: &str) {
        self.registry.mark_leaving(upstream);
    }

    /// Returns whether no upstream of a service responds to this host.
    pub fn is_lost(&self, service: &str) -> bool {
        self.reach.is_lost(service)
    }

    /// Returns an error if a call that found no capacity should not wait for it on this host,
    /// because upstreams do not respond to it.
    fn check_reach(&self, requirements: &Requirements<'_>, now: Instant) -> Result<(), Refusal> {
        let upstreams = self.registry.upstreams_of(requirements.service);
        let eligible: Vec<_> =
            upstreams.iter().filter(|u| self.registry.is_eligible(u, now)).collect();
        match self.reach.update(requirements.service, &eligible, now) {
            contact::Coverage::Lost => Err(Refusal::Unreachable),
            contact::Coverage::Partial
                if requirements.may_be_passed_on
                    && !self.members.hosts_reaching(requirements.service, now).is_empty() =>
            {
                Err(Refusal::Unreachable)
            }
            contact::Coverage::Partial | contact::Coverage::Full => Ok(()),
        }
    }

    /// Waits for an upstream that can take the call, and reserves a slot on it.
    ///
    /// # Errors
    ///
    /// Returns an error if no upstream of the service is eligible or responds to this host, or none
    /// has capacity before [`queue_until`](Requirements::queue_until).
    pub async fn acquire(
        &self,
        requirements: &Requirements<'_>,
        service: &route::Service,
    ) -> Result<Permit, Refusal> {
        let queue = self.queue(requirements.service);
        let ticket = Ticket::new(&queue, requirements);
        let mut searches = 0;
        loop {
            let seen = queue.slot_freed.count();
            if self.reach.is_lost(requirements.service) {
                return Err(Refusal::Unreachable);
            }
            let now = Instant::now();
            self.observe_room(requirements.service, &queue, now);
            let mut delay = SEARCH_INTERVAL;
            let ahead = ticket.ahead(now);
            let decision = ticket.decide(requirements, ahead, now);
            let may_search = match decision {
                room::Decision::Search => ahead < MAX_CONCURRENT_SEARCHES,
                room::Decision::Wait(time) => {
                    delay = time;
                    self.refresh_room(requirements.service, service, &queue, now);
                    false
                }
                room::Decision::Refuse { retry_after } => {
                    return Err(Refusal::TooLate { retry_after });
                }
            };
            if may_search {
                searches += 1;
                match self.search(requirements, service, &queue).await {
                    Ok(permit) => {
                        ticket.mark_placed(requirements.baseline);
                        return Ok(permit);
                    }
                    Err(Refusal::NoCapacity) if searches % SEARCHES_PER_REACH_CHECK == 1 => {
                        self.check_reach(requirements, Instant::now())?;
                    }
                    Err(Refusal::NoCapacity) => {}
                    // Waiting does not help while no upstream is eligible.
                    Err(refusal) => return Err(refusal),
                }
            }
            let now = Instant::now();
            ticket.check_pauses(requirements.queue_until, now)?;
            ticket.check_supply(requirements.queue_until, now)?;
            if now >= requirements.queue_until {
                return Err(match decision {
                    room::Decision::Wait(_) => Refusal::Reserved,
                    _ => Refusal::NoCapacity,
                });
            }
            let delay = delay.min(requirements.queue_until - now);
            queue.slot_freed.wait_timeout(seen, delay).await;
        }
    }

    /// Updates what is known of the room at the upstreams of a service from their load reports.
    fn observe_room(&self, service: &Rc<str>, queue: &Queue, now: Instant) {
        if !queue.room.is_due(now) {
            return;
        }
        let upstreams = self.upstreams_taking_calls(service, now);
        let reports = upstreams.iter().filter_map(|upstream| {
            let age = now.saturating_duration_since(upstream.report()?.received_at);
            Some(room::Report { slots: upstream.slots(), occupancy: upstream.occupancy(), age })
        });
        queue.room.observe(reports, upstreams.len(), now);
    }

    /// Probes some upstreams of a service whose waiting calls are held back, so that new room is
    /// seen.
    fn refresh_room(&self, name: &Rc<str>, service: &route::Service, queue: &Queue, now: Instant) {
        if queue.room.needs_reports() {
            let upstreams = self.upstreams_taking_calls(name, now);
            for upstream in fastrand::choose_multiple(upstreams, PROBES_PER_SEARCH) {
                self.prober.start(&upstream, &service.health_path);
            }
        }
    }

    /// Returns the upstreams of a service that may be sent a call now.
    fn upstreams_taking_calls(
        &self,
        service: &Rc<str>,
        now: Instant,
    ) -> Vec<Rc<upstream::Upstream>> {
        let mut upstreams = self.registry.upstreams_of(service);
        upstreams.retain(|u| self.registry.is_eligible(u, now) && u.admits(now));
        upstreams
    }

    /// Probes some upstreams of this host's subset, and reserves a slot on the cheapest of them if
    /// its cost is acceptable.
    async fn search(
        &self,
        requirements: &Requirements<'_>,
        service: &route::Service,
        queue: &Rc<Queue>,
    ) -> Result<Permit, Refusal> {
        let all = self.registry.upstreams_of(requirements.service);
        let now = Instant::now();
        let eligible: Vec<_> = all.iter().filter(|u| self.registry.is_eligible(u, now)).collect();
        let share = self.members.budget_share(now);
        let probe_share = self.members.probe_share(now);
        for upstream in &eligible {
            upstream.warmup.set_rate(service.cold_rate, share);
            // The share may have been lower when the upstream was last probed.
            self.prober.set_share(upstream, probe_share);
        }
        self.divide_limits(&eligible, now);
        let eligible = self.moves.choose_version(requirements.service, eligible, now);
        let eligible = self.registry.prefer_healthy(eligible, now);
        if eligible.is_empty() {
            return Err(Refusal::NoUpstream);
        }
        let untried: Vec<_> = eligible
            .iter()
            .copied()
            .filter(|u| !requirements.tried_upstreams.contains(&u.id))
            .collect();
        let eligible = if untried.is_empty() { eligible } else { untried };
        queue.paused_until.set(pause::Pause::first_end(eligible.iter().map(|u| &u.pause), now));
        let wanting = eligible.iter().filter(|u| !u.pause.is_active(now));
        let supply = match queue.paused_until.get() {
            Some(_) => None,
            None => limit::Supply::of(wanting.map(|u| &u.limit), now),
        };
        queue.supply.set(supply);
        let assignment = self.members.assignment(now);
        self.refresh_limit(&eligible, &assignment, service, now);
        let (limited, unlimited): (Vec<_>, Vec<_>) =
            eligible.into_iter().filter(|u| u.admits(now)).partition(|u| u.limit.rate().is_some());
        let is_usable = |u: &upstream::Upstream| {
            let may_have_room = match selection::has_recent_report(u, now) {
                true => selection::has_free_slot(u),
                false => self.prober.may_probe(u, now),
            };
            may_have_room && u.failures(now) < MAX_FAILURES_IN_SUBSET
        };
        let own = &self.data_centre;
        let unlimited = selection::subset(unlimited, &assignment, own, SUBSET_SIZE, is_usable, now);
        // No other host uses the admitted calls of limited upstreams.
        let limited_count =
            PROBES_FOR_LIMITED.max(PROBES_PER_SEARCH.saturating_sub(unlimited.len()));
        let effort = |u: &upstream::Upstream| {
            let may_be_probed = self.prober.may_probe(u, now);
            let is_recent = selection::has_recent_report(u, now);
            selection::Effort::of(may_be_probed, u.has_idle(now), is_recent)
        };
        let mut probed = selection::sample(&limited, limited_count, effort, now);
        let unlimited_count = PROBES_PER_SEARCH.saturating_sub(probed.len());
        probed.extend(selection::sample(&unlimited, unlimited_count, effort, now));
        if fastrand::f64() < EXPLORED_SHARE {
            let unheard = selection::least_heard(&unlimited, effort);
            if let Some(upstream) = unheard.filter(|u| !probed.iter().any(|p| Rc::ptr_eq(p, u))) {
                probed.truncate(PROBES_PER_SEARCH - 1);
                probed.push(upstream);
            }
        }
        self.refresh_reports(&probed, service).await;
        let now = Instant::now();
        let available: Vec<_> = probed
            .into_iter()
            .filter(|u| u.admits(now) && self.registry.is_eligible(u, now))
            .filter(|u| requirements.has_room(u, now))
            .collect();
        let available = self.registry.prefer_healthy(available, now);
        let candidates = available.len();
        let context = selection::Context {
            data_centre: &self.data_centre,
            baseline: requirements.baseline,
            round_trips: &self.prober.round_trips,
        };
        let (chosen, cost) =
            selection::cheapest(&available, &context, now).ok_or(Refusal::NoCapacity)?;
        if !requirements.accepts(cost, now) {
            return Err(Refusal::NoCapacity);
        }
        chosen.begin_call(now);
        Ok(Permit {
            upstream: Rc::clone(chosen),
            cost,
            expected: requirements.baseline.mul_f64(cost),
            candidates,
            acquired_at: now,
            report_age: chosen.report().map_or(Duration::MAX, |r| now - r.received_at),
            queue: Rc::clone(queue),
        })
    }

    /// Sets this host's share in the rates that the upstreams of a service name.
    ///
    /// Answers load that exceeds the rates of a part of the upstreams while the others have room:
    /// the rates are used by one host each, and the rest of the calls go to the others.
    fn divide_limits(&self, upstreams: &[&Rc<upstream::Upstream>], now: Instant) {
        if upstreams.iter().all(|u| u.limit.rate().is_none()) {
            return;
        }
        let mut ranked = upstreams.to_vec();
        ranked.sort_unstable_by_key(|u| u.ring_point());
        let partition = self.members.partition(now);
        for (rank, upstream) in ranked.iter().enumerate() {
            upstream.limit.set_share(partition.share(rank, ranked.len()), now);
        }
    }

    /// Probes one of the upstreams that this host uses first and that do not admit a call now, but
    /// may have ceased to name a rate.
    fn refresh_limit(
        &self,
        upstreams: &[&Rc<upstream::Upstream>],
        assignment: &assignment::Assignment,
        service: &route::Service,
        now: Instant,
    ) {
        let is_stale = |u: &&Rc<upstream::Upstream>| u.limit.is_stale(now) && !u.admits(now);
        let stale: Vec<_> = upstreams.iter().copied().filter(is_stale).collect();
        let own = &self.data_centre;
        let first = selection::subset(stale, assignment, own, SUBSET_SIZE, |_| true, now);
        if let Some(upstream) = fastrand::choice(first) {
            self.prober.start(upstream, &service.health_path);
        }
    }

    /// Probes those upstreams whose load report is not recent enough, and waits for the responses.
    async fn refresh_reports(
        &self,
        upstreams: &[&Rc<upstream::Upstream>],
        service: &route::Service,
    ) {
        let now = Instant::now();
        let is_fresh = |u: &upstream::Upstream| {
            u.report().is_some_and(|r| now - r.received_at <= MAX_REUSED_REPORT_AGE)
        };
        let mut pending: Vec<(&Rc<upstream::Upstream>, u64)> = Vec::with_capacity(upstreams.len());
        for &upstream in upstreams.iter().filter(|u| !is_fresh(u)) {
            let seen = upstream.probe_ended.count();
            if self.prober.start(upstream, &service.health_path) {
                pending.push((upstream, seen));
            }
        }
        let responded = async {
            for (upstream, seen) in &pending {
                upstream.probe_ended.wait(*seen).await;
            }
        };
        // After a timeout, the cost of an upstream is computed from its last report.
        let _ = monoio::time::timeout(PROBE_TIMEOUT, responded).await;
    }
}
