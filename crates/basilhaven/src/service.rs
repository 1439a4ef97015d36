//! A service as this host sees it: its upstreams and the queue of calls that wait for them.
//!
//! A cold upstream, which has recently started and is still slow ([`crate::warmup`]), gets calls
//! from a single host, its cold-start owner. A move is the transfer of a service's calls from one
//! version of its upstreams to another ([`crate::moves`]).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::moves::{self, evidence};
use crate::{
    admission, assignment, call, config, decision, hedge, load, name, placement, profile, ramp,
    retry, split, upstream,
};

mod health;
mod warmup;

/// Delay before a host that replaces another one as the cold-start owner of an upstream sends calls
/// to it.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// Maximum number of waiting calls that are skipped because earlier attempts of them have tried
/// every upstream with room.
const MAX_SKIPPED: usize = 8;

/// A service with its upstreams and its queue.
#[derive(Debug)]
pub struct Service {
    name: name::Name,
    /// The data centre of this host.
    data_centre: name::Name,
    profile: RefCell<Rc<profile::Profile>>,
    upstreams: RefCell<IndexMap<name::Name, Rc<upstream::Upstream>>>,
    queue: RefCell<admission::Queue<Permit>>,
    reserve: admission::Reserve,
    /// Counter of round-robin selections.
    cursor: Cell<usize>,
    /// The split of calls between two versions, while a move runs.
    split: RefCell<Option<Rc<split::Split>>>,
    /// The version that gets the calls while no move runs.
    active_version: RefCell<Option<name::Name>>,
    decisions: decision::Recent,
    retry_budget: retry::Budget,
    hedging: hedge::Hedging,
    baseline: load::Baseline,
    assignment: RefCell<assignment::Assignment>,
    has_upstream_list: Cell<bool>,
    /// Whether a changed warm-up state has to be sent to the other hosts.
    has_warmup_update: Cell<bool>,
}

/// The right to run one call on one upstream. Dropping it frees the upstream's slot.
#[derive(Debug)]
pub struct Permit {
    service: Rc<Service>,
    choice: placement::Choice,
    class: config::Class,
    started: Instant,
    /// How the attempt ended; `None` if that was not reported.
    end: Option<call::End>,
}

impl Permit {
    /// Returns the selected upstream and the inputs of the selection.
    pub fn choice(&self) -> &placement::Choice {
        &self.choice
    }

    /// Returns the upstream.
    pub fn upstream(&self) -> &Rc<upstream::Upstream> {
        &self.choice.upstream
    }

    /// Reports how the attempt ended; upstream health and latency estimates are updated from it.
    pub fn finish(mut self, end: call::End) {
        self.end = Some(end);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let upstream = &self.choice.upstream;
        self.service.record_end(upstream, self.end.as_ref(), self.started.elapsed());
        upstream.end();
        self.service.reserve.end(self.class, Instant::now());
        self.service.assign();
    }
}

impl Service {
    /// Creates a service without upstreams, on a host in `data_centre`.
    pub fn new(
        name: name::Name,
        data_centre: name::Name,
        profile: Rc<profile::Profile>,
    ) -> Service {
        Service {
            name,
            data_centre,
            profile: RefCell::new(profile),
            upstreams: RefCell::default(),
            queue: RefCell::default(),
            reserve: admission::Reserve::default(),
            cursor: Cell::default(),
            split: RefCell::default(),
            active_version: RefCell::default(),
            decisions: decision::Recent::default(),
            retry_budget: retry::Budget::default(),
            hedging: hedge::Hedging::default(),
            baseline: load::Baseline::default(),
            assignment: RefCell::default(),
            has_upstream_list: Cell::default(),
            has_warmup_update: Cell::default(),
        }
    }

    /// Returns the name of the service.
    pub fn name(&self) -> &name::Name {
        &self.name
    }

    /// Returns the profile that is currently in force.
    pub fn profile(&self) -> Rc<profile::Profile> {
        Rc::clone(&self.profile.borrow())
    }

    /// Returns the budget from which this host's retries of the service's calls are spent.
    pub fn retry_budget(&self) -> &retry::Budget {
        &self.retry_budget
    }

    /// Returns the hedging state of the service on this host.
    pub fn hedging(&self) -> &hedge::Hedging {
        &self.hedging
    }

    /// Replaces the profile; waiting calls stay in the queue.
    pub fn set_profile(&self, profile: Rc<profile::Profile>) {
        *self.profile.borrow_mut() = profile;
        self.update_shares(Duration::ZERO);
    }

    /// Returns the current upstreams.
    pub fn upstreams(&self) -> Vec<Rc<upstream::Upstream>> {
        self.upstreams.borrow().values().cloned().collect()
    }

    /// Returns the recent placement decisions.
    pub fn decisions(&self) -> &decision::Recent {
        &self.decisions
    }

    /// Returns the number of calls that wait for an upstream.
    pub fn queued(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Replaces the list of upstreams. The state of upstreams that stay on the list is kept.
    ///
    /// An upstream whose address changed is treated as a new one. An upstream that joins the list
    /// after the first one has been started recently, and is marked cold.
    pub fn set_upstreams(
        self: &Rc<Self>,
        specs: &[config::Upstream],
        out_of_service: &config::Out,
    ) {
        let mut updated = IndexMap::with_capacity(specs.len());
        let mut returned_upstreams = Vec::new();
        {
            let current = self.upstreams.borrow();
            for spec in specs {
                let upstream = match current.get(&spec.name) {
                    Some(existing) if existing.address() == spec.address => Rc::clone(existing),
                    replaced => {
                        let upstream = upstream::Upstream::new(spec.clone());
                        // The upstream at the new address continues the warm-up generations of the
                        // one at the old address, so that hosts agree on its state.
                        if let Some(replaced) = replaced {
                            upstream.apply_warmup(replaced.warmup().generation());
                        }
                        if self.has_upstream_list.get() {
                            upstream.mark_cold();
                        }
                        Rc::new(upstream)
                    }
                };
                if upstream.update(spec.clone(), out_of_service) {
                    returned_upstreams.push(Rc::clone(&upstream));
                }
                updated.insert(spec.name.clone(), upstream);
            }
        }
        *self.upstreams.borrow_mut() = updated;
        let version = split::active_version(&self.upstreams(), self.active_version());
        *self.active_version.borrow_mut() = version;
        // The configuration may name a service before the first list of upstreams has arrived.
        self.has_upstream_list.set(self.has_upstream_list.get() || !specs.is_empty());
        self.mark_returned_cold(&returned_upstreams);
        self.release_fully_cold_versions();
        self.update_shares(Duration::ZERO);
        self.assign();
    }

    /// Returns `true` if a list of upstreams has been received.
    pub fn has_upstream_list(&self) -> bool {
        self.has_upstream_list.get()
    }

    /// Records that a list of upstreams has been received: upstreams that join the list from now on
    /// have been started recently, and are marked cold.
    pub fn set_has_upstream_list(&self) {
        self.has_upstream_list.set(true);
    }

    /// Replaces the set of hosts that serve the service.
    pub fn set_assignment(self: &Rc<Self>, assignment: assignment::Assignment) {
        if *self.assignment.borrow() == assignment {
            return;
        }
        *self.assignment.borrow_mut() = assignment;
        self.update_shares(TAKEOVER_DELAY);
        self.assign();
    }

    /// Returns the baseline latency of the service's calls, or an assumed one until a call has
    /// succeeded.
    pub fn baseline_latency(&self) -> Duration {
        self.baseline.latency().unwrap_or(upstream::ASSUMED_LATENCY)
    }

    /// Recomputes this host's share of each upstream's limits. `takeover_delay` passes before this
    /// host sends to cold upstreams whose cold-start owner it has just become.
    fn update_shares(&self, takeover_delay: Duration) {
        let profile = self.profile();
        let assignment = self.assignment.borrow();
        for upstream in self.upstreams.borrow().values() {
            upstream.set_share(assignment.share_of(upstream, &profile, takeover_delay));
        }
    }

    /// Sets or clears the move whose split of calls between two versions applies. Evidence gathered
    /// for a move is kept while the move runs.
    pub fn set_move(&self, current: Option<&moves::Move>) {
        let current_split = self.split();
        let next =
            current.map(|current| match current_split.filter(|split| split.id() == current.id) {
                Some(split) => {
                    split.update(current);
                    split
                }
                None => Rc::new(split::Split::from(current)),
            });
        *self.split.borrow_mut() = next;
    }

    /// Returns the version that gets the service's calls while no move runs.
    pub fn active_version(&self) -> Option<name::Name> {
        self.active_version.borrow().clone()
    }

    /// Returns how calls are split between two versions while a move runs.
    pub fn split(&self) -> Option<Rc<split::Split>> {
        self.split.borrow().clone()
    }

    /// Starts to observe a call that is sent to an upstream, as evidence for or against the new
    /// version of the running move. Returns `None` if no move runs.
    pub fn observe(
        &self,
        upstream: &upstream::Upstream,
        call: &call::Call,
        path: &str,
    ) -> Option<split::Observation> {
        let route = evidence::Route::of(&self.profile(), path, call.idempotency);
        self.split()?.observe(upstream, route)
    }

    /// Waits until the call's deadline for a permit for an upstream. Upstreams in `tried_upstreams`
    /// are skipped as long as another upstream may get calls from this host, even if that other
    /// one has no room yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the call may not wait, or if its deadline passes while it is waiting.
    /// No upstream has seen the call then.
    pub async fn acquire(
        self: &Rc<Self>,
        call: &call::Call,
        tried_upstreams: &[name::Name],
    ) -> Result<Permit, call::Refusal> {
        if call.deadline <= Instant::now() {
            return Err(call::Refusal::not_run(call::Reason::Deadline));
        }
        if self.open_upstreams().is_empty() {
            return Err(call::Refusal::not_run(call::Reason::NoUpstream));
        }
        if !self.queue.borrow().has_waiters_ahead_of(call.class) {
            if let Some(permit) = self.try_acquire(call.class, call.idempotency, tried_upstreams) {
                return Ok(permit);
            }
        }
        let receiver = self.queue.borrow_mut().push(call, tried_upstreams, &self.profile())?;
        match monoio::time::timeout(call.remaining(), receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(call::Refusal::not_run(call::Reason::QueueFull)),
            Err(_) => Err(call::Refusal::not_run(call::Reason::Deadline)),
        }
    }

    fn open_upstreams(&self) -> Vec<Rc<upstream::Upstream>> {
        let mut open = self.upstreams();
        open.retain(|upstream| upstream.state() == upstream::State::Open);
        open
    }

    /// Returns the open upstreams that run the same version as `upstream`, including `upstream`
    /// itself if it is open.
    fn open_peers(&self, upstream: &upstream::Upstream) -> Vec<Rc<upstream::Upstream>> {
        let version = upstream.version();
        let mut peers = self.open_upstreams();
        peers.retain(|peer| peer.version() == version);
        peers
    }

    /// Returns a permit for an upstream that has room now, if there is one. Upstreams in
    /// `tried_upstreams` are skipped as long as another upstream may get calls from this host.
    pub(crate) fn try_acquire(
        self: &Rc<Self>,
        class: config::Class,
        idempotency: profile::Idempotency,
        tried_upstreams: &[name::Name],
    ) -> Option<Permit> {
        let profile = self.profile();
        let (now, baseline) = (Instant::now(), self.baseline_latency());
        let mut all = self.open_upstreams();
        if class == config::Class::Free {
            let slots = self.assignment.borrow().share_of_slots(&all);
            if !self.reserve.admits_free_call(slots, now) {
                return None;
            }
        }
        for upstream in &all {
            self.check_cold_restart(upstream, now, baseline);
        }
        let held_back = ramp::hold_back(&mut all, profile.return_ramp);
        let selector = placement::Selector {
            data_centre: &self.data_centre,
            profile: &profile,
            cursor: &self.cursor,
            baseline,
            expected_others_in_flight: self.assignment.borrow().expected_others_in_flight(&all),
            now,
        };
        let choose = |all: &[Rc<upstream::Upstream>]| match self.split() {
            Some(split) => split.choose(&selector, all, idempotency, tried_upstreams),
            None => {
                let version = self.active_version();
                let (of_version, others): (Vec<_>, Vec<_>) =
                    all.iter().cloned().partition(|u| Some(u.version()) == version);
                split::pick(
                    &selector,
                    if of_version.is_empty() { &others } else { &of_version },
                    tried_upstreams,
                )
            }
        };
        let choice = choose(&all).or_else(|| choose(&held_back))?;
        choice.upstream.start(now, baseline);
        self.reserve.start(class, now);
        Some(Permit { service: Rc::clone(self), choice, class, started: now, end: None })
    }

    /// Assigns available slots to waiting calls until either runs out. Up to [`MAX_SKIPPED`] calls
    /// are skipped whose earlier attempts have tried all upstreams with available slots.
    fn assign(self: &Rc<Self>) {
        let mut skipped = 0;
        while skipped <= MAX_SKIPPED {
            let Some(next) = self.queue.borrow_mut().next(skipped) else { return };
            let admission::Requirements { idempotency, tried_upstreams } = &next.requirements;
            match self.try_acquire(next.class, *idempotency, tried_upstreams) {
                Some(permit) => {
                    let refused = self.queue.borrow_mut().hand_over(&next, permit);
                    // Dropped only here: dropping a permit calls `assign` again, which borrows the
                    // queue.
                    drop(refused);
                }
                None if tried_upstreams.is_empty() => return,
                None => skipped += 1,
            }
        }
    }
}
