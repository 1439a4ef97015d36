//! One service on this host: its upstreams and the calls that wait for them.

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

/// How long a host waits before it sends to cold upstreams that it takes over from another.
const TAKE_OVER: Duration = Duration::from_secs(1);

/// Calls that are passed over at most, for want of an upstream that they have not tried.
const MAX_PASSED: usize = 8;

/// A service, its upstreams and its queue.
#[derive(Debug)]
pub struct Service {
    name: name::Name,
    data_centre: name::Name,
    profile: RefCell<Rc<profile::Profile>>,
    upstreams: RefCell<IndexMap<name::Name, Rc<upstream::Upstream>>>,
    queue: RefCell<admission::Queue<Permit>>,
    reserve: admission::Reserve,
    cursor: Cell<usize>,
    split: RefCell<Option<Rc<split::Split>>>,
    active_version: RefCell<Option<name::Name>>,
    decisions: decision::Recent,
    retry_budget: retry::Budget,
    hedging: hedge::Hedging,
    baseline: load::Baseline,
    assignment: RefCell<assignment::Assignment>,
    has_list: Cell<bool>,
    has_update: Cell<bool>,
}

/// The right to send one call to one upstream; the upstream's slot is free again when it is dropped.
#[derive(Debug)]
pub struct Permit {
    service: Rc<Service>,
    choice: placement::Choice,
    class: config::Class,
    started: Instant,
    end: Option<call::End>,
}

impl Permit {
    /// The upstream and why it was chosen.
    pub fn choice(&self) -> &placement::Choice {
        &self.choice
    }

    /// The upstream.
    pub fn upstream(&self) -> &Rc<upstream::Upstream> {
        &self.choice.upstream
    }

    /// Says how the attempt ended, to all who judge the upstream or its version by it.
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
    /// A service without upstreams, on a host in `data_centre`.
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
            has_list: Cell::default(),
            has_update: Cell::default(),
        }
    }

    /// Its name.
    pub fn name(&self) -> &name::Name {
        &self.name
    }

    /// The profile that it runs under now.
    pub fn profile(&self) -> Rc<profile::Profile> {
        Rc::clone(&self.profile.borrow())
    }

    /// The attempts beyond the first that its calls may make on this host.
    pub fn retry_budget(&self) -> &retry::Budget {
        &self.retry_budget
    }

    /// When its calls are sent to a second upstream.
    pub fn hedging(&self) -> &hedge::Hedging {
        &self.hedging
    }

    /// Puts it under another profile; calls that wait go on waiting.
    pub fn set_profile(&self, profile: Rc<profile::Profile>) {
        *self.profile.borrow_mut() = profile;
        self.update_shares(Duration::ZERO);
    }

    /// The upstreams that it has now.
    pub fn upstreams(&self) -> Vec<Rc<upstream::Upstream>> {
        self.upstreams.borrow().values().cloned().collect()
    }

    /// Its recent placement decisions.
    pub fn decisions(&self) -> &decision::Recent {
        &self.decisions
    }

    /// Calls that wait for an upstream.
    pub fn queued(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Takes in which upstreams it has; what is known of those that stay is kept.
    ///
    /// An upstream whose address changed is another one: it starts with nothing known. One that was
    /// not on an earlier list has been started since, and is cold.
    pub fn set_upstreams(self: &Rc<Self>, specs: &[config::Upstream], out: &config::Out) {
        let mut next = IndexMap::with_capacity(specs.len());
        let mut returned = Vec::new();
        {
            let current = self.upstreams.borrow();
            for spec in specs {
                let upstream = match current.get(&spec.name) {
                    Some(known) if known.address() == spec.address => Rc::clone(known),
                    known => {
                        let upstream = upstream::Upstream::new(spec.clone());
                        // An upstream at a new address goes on from the generation of the old one.
                        if let Some(known) = known {
                            upstream.apply_warmup(known.warmup().generation());
                        }
                        if self.has_list.get() {
                            upstream.mark_cold();
                        }
                        Rc::new(upstream)
                    }
                };
                if upstream.update(spec.clone(), out) {
                    returned.push(Rc::clone(&upstream));
                }
                next.insert(spec.name.clone(), upstream);
            }
        }
        *self.upstreams.borrow_mut() = next;
        let version = split::active_version(&self.upstreams(), self.active_version());
        *self.active_version.borrow_mut() = version;
        // A service may be known from the configuration before the first list of hosts has come.
        self.has_list.set(self.has_list.get() || !specs.is_empty());
        self.mark_returned_cold(&returned);
        self.release_fully_cold_versions();
        self.update_shares(Duration::ZERO);
        self.assign();
    }

    /// Whether upstreams were listed before.
    pub fn is_listed(&self) -> bool {
        self.has_list.get()
    }

    /// Says that upstreams were listed before, so that all new ones have been started since.
    pub fn set_listed(&self) {
        self.has_list.set(true);
    }

    /// Takes in which hosts serve it.
    pub fn set_assignment(self: &Rc<Self>, assignment: assignment::Assignment) {
        if *self.assignment.borrow() == assignment {
            return;
        }
        *self.assignment.borrow_mut() = assignment;
        self.update_shares(TAKE_OVER);
        self.assign();
    }

    /// The usual latency of its calls.
    pub fn baseline_latency(&self) -> Duration {
        self.baseline.latency().unwrap_or(upstream::ASSUMED_LATENCY)
    }

    /// Divides the limits of its upstreams between the hosts that serve it.
    fn update_shares(&self, take_over: Duration) {
        let profile = self.profile();
        let assignment = self.assignment.borrow();
        for upstream in self.upstreams.borrow().values() {
            upstream.set_share(assignment.share_of(upstream, &profile, take_over));
        }
    }

    /// Divides its calls between two versions from now on, or no longer; what a move's calls have
    /// shown is kept while it runs.
    pub fn set_move(&self, current: Option<&moves::Move>) {
        let known = self.split();
        let next = current.map(|current| match known.filter(|split| split.id() == current.id) {
            Some(split) => {
                split.update(current);
                split
            }
            None => Rc::new(split::Split::from(current)),
        });
        *self.split.borrow_mut() = next;
    }

    /// The version that has its calls while no move says otherwise.
    pub fn active_version(&self) -> Option<name::Name> {
        self.active_version.borrow().clone()
    }

    /// How its calls are divided between two versions.
    pub fn split(&self) -> Option<Rc<split::Split>> {
        self.split.borrow().clone()
    }

    /// Watches a call that goes to an upstream, while a move runs.
    pub fn observe(
        &self,
        upstream: &upstream::Upstream,
        call: &call::Call,
        path: &str,
    ) -> Option<split::Observation> {
        let route = evidence::Route::of(&self.profile(), path, call.idempotency);
        self.split()?.observe(upstream, route)
    }

    /// Waits for an upstream for this call, until its deadline; `tried` are passed over while others
    /// may get calls from this host, be it that these have no room yet.
    ///
    /// # Errors
    ///
    /// The call may not wait, or waited in vain; no upstream has seen it.
    pub async fn acquire(
        self: &Rc<Self>,
        call: &call::Call,
        tried: &[name::Name],
    ) -> Result<Permit, call::Refusal> {
        if call.deadline <= Instant::now() {
            return Err(call::Refusal::not_run(call::Reason::Deadline));
        }
        if self.open_upstreams().is_empty() {
            return Err(call::Refusal::not_run(call::Reason::NoUpstream));
        }
        if !self.queue.borrow().has_waiters_ahead_of(call.class) {
            if let Some(permit) = self.try_acquire(call.class, call.idempotency, tried) {
                return Ok(permit);
            }
        }
        let receiver = self.queue.borrow_mut().push(call, tried, &self.profile())?;
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

    /// The open upstreams of the version that this one runs; itself among them while it is open.
    fn open_peers(&self, upstream: &upstream::Upstream) -> Vec<Rc<upstream::Upstream>> {
        let version = upstream.version();
        let mut peers = self.open_upstreams();
        peers.retain(|peer| peer.version() == version);
        peers
    }

    /// An upstream for this call that has room now; `tried` are passed over while there are others.
    pub(crate) fn try_acquire(
        self: &Rc<Self>,
        class: config::Class,
        idempotency: profile::Idempotency,
        tried: &[name::Name],
    ) -> Option<Permit> {
        let profile = self.profile();
        let (now, baseline) = (Instant::now(), self.baseline_latency());
        let mut all = self.open_upstreams();
        if class == config::Class::Free {
            let slots = self.assignment.borrow().slots_of(&all);
            if !self.reserve.admits_free(slots, now) {
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
            expected_others: self.assignment.borrow().expected_others(&all),
            now,
        };
        let choose = |all: &[Rc<upstream::Upstream>]| match self.split() {
            Some(split) => split.choose(&selector, all, idempotency, tried),
            None => {
                let version = self.active_version();
                let (in_use, others): (Vec<_>, Vec<_>) =
                    all.iter().cloned().partition(|u| Some(u.version()) == version);
                split::pick(&selector, if in_use.is_empty() { &others } else { &in_use }, tried)
            }
        };
        let choice = choose(&all).or_else(|| choose(&held_back))?;
        choice.upstream.start(now, baseline);
        self.reserve.start(class, now);
        Some(Permit { service: Rc::clone(self), choice, class, started: now, end: None })
    }

    /// Gives free slots to the calls that wait, until either runs out. A call that waits for an upstream
    /// that it has not tried lets a few others go ahead of it.
    fn assign(self: &Rc<Self>) {
        let mut passed = 0;
        while passed <= MAX_PASSED {
            let Some(next) = self.queue.borrow_mut().next(passed) else { return };
            let admission::Requirements { idempotency, tried } = &next.requirements;
            match self.try_acquire(next.class, *idempotency, tried) {
                Some(permit) => {
                    let refused = self.queue.borrow_mut().hand_over(&next, permit);
                    // Dropped only here, for dropping a lease comes back to the queue.
                    drop(refused);
                }
                None if tried.is_empty() => return,
                None => passed += 1,
            }
        }
    }
}
