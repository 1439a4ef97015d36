//! Moves of a service's traffic to another version: the progress of each move and the evidence on
//! its versions, which is the number, failures and latency of the calls to each of them.
//!
//! One host, the coordinator, advances a move. It writes each step to the store on the condition
//! that the service's row still has the revision that it read. Hosts order the steps of a service
//! by the revision of that row. Steps are sent along with the heartbeats of
//! [`cluster`](super::cluster); each host sends its evidence on the versions to the coordinator.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{store, upstream};

pub mod burst;
pub mod evidence;
pub mod history;
mod restore;
pub mod standing;

/// An operator's order to move a service's traffic to another version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The version to move to.
    pub to: Rc<str>,
    /// The time within which the move is to be completed.
    pub duration: Duration,
    /// The revision of the order's row, which distinguishes it from earlier orders.
    pub revision: store::Revision,
}

/// The stage that a move has reached.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
pub enum Stage {
    /// The new version gets a small share of the calls, to collect evidence.
    #[display("trial")]
    Trial,
    /// The new version gets a share that grows with each step.
    #[display("ramp-{_0}")]
    Ramp(u8),
    /// The new version gets all calls.
    #[display("full")]
    Full,
    /// The new version keeps all calls; the old version may be shut down.
    #[display("completed")]
    Completed,
    /// The new version gets no more calls.
    #[display("rolled-back")]
    RolledBack,
}

/// Share of the calls in the trial, as a multiple of the exposure: the share of the calls that an
/// unproven version may get.
const TRIAL_SHARE: f64 = 0.6;

/// Shares of the ramp's steps, as multiples of the exposure. Together with the trial they stay
/// below the exposure, averaged over the move's duration.
const RAMP_SHARES: [f64; 3] = [1.0, 2.5, 5.0];

/// Default exposure, unless the settings give another one.
const DEFAULT_EXPOSURE: f64 = 0.1;

/// End of the trial, as a share of the move's duration; faults that appear only after some time
/// have shown by then.
pub(crate) const TRIAL_END: f64 = 0.4;

/// Length of each later stage, and of a trial after the move was halted, as a share of the move's
/// duration.
pub(crate) const STAGE_LENGTH: f64 = 0.06;

/// How long after it was applied a step goes before all others in messages to other hosts.
const RECENT_STEP_TIME: Duration = Duration::from_secs(2);

/// Minimum time in stage `Full` before the old version may be shut down, so that the calls that it
/// still runs can end.
const MIN_FULL_TIME: Duration = Duration::from_millis(1300);

/// Minimum time for which a move stays suspended. The failures of the old version vary, and each
/// resumption is a write to the store.
const MIN_SUSPENSION: Duration = Duration::from_secs(1);

/// Responses of the new version that are required before a move leaves its trial.
const MIN_TRIAL_RESPONSES: u32 = 8;

impl Stage {
    /// Returns the share of the calls that goes to the new version, where an unproven version may
    /// get the share `exposure`.
    pub fn share(self, exposure: f64) -> f64 {
        match self {
            Stage::Trial => TRIAL_SHARE * exposure,
            Stage::Ramp(step) => {
                let multiple = RAMP_SHARES[usize::from(step).min(RAMP_SHARES.len() - 1)];
                (multiple * exposure).min(1.0)
            }
            Stage::Full | Stage::Completed => 1.0,
            Stage::RolledBack => 0.0,
        }
    }

    /// Returns whether no stage follows this one.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Completed | Stage::RolledBack)
    }

    /// Returns the stage that follows while no regression is found.
    fn next(self) -> Stage {
        match self {
            Stage::Trial => Stage::Ramp(0),
            Stage::Ramp(step) if usize::from(step) + 1 < RAMP_SHARES.len() => Stage::Ramp(step + 1),
            Stage::Ramp(_) => Stage::Full,
            Stage::Full => Stage::Completed,
            end => end,
        }
    }
}

/// One step of a move, as written to the store and sent between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The service.
    pub service: Rc<str>,
    /// The version to move to.
    pub to: Rc<str>,
    /// The revision of the order.
    pub order: store::Revision,
    /// The stage that the move has reached.
    pub stage: Stage,
    /// The revision of the step's row; its number is 0 before the first write.
    pub revision: store::Revision,
    /// Whether the move is halted: the new version gets no calls, since the versions cannot be
    /// compared, or since the rollback is not yet written to the store.
    #[serde(rename = "braked")]
    pub halted: bool,
    /// Age of the order when the step was sent, in milliseconds; a host that starts during a move
    /// gets the age from other hosts this way.
    pub order_age_ms: u32,
}

impl Step {
    /// Returns the share of the calls that goes to the new version.
    fn share(&self, exposure: f64) -> f64 {
        match self.halted {
            true => 0.0,
            false => self.stage.share(exposure),
        }
    }
}

/// The decision on the next step of a move.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Stay in the present stage.
    Wait,
    /// Advance to this stage.
    Advance(Stage),
    /// Halt the move: both versions fail, and whether the new one is worse cannot be told.
    Suspend,
    /// Continue a halted move in its present stage.
    Resume,
    /// Roll the move back because of this regression.
    RollBack(evidence::Regression),
}

/// Decides what follows the newest step of a move, from the time since the order and since the step,
/// and from the evidence of all hosts.
pub fn decide(
    order: &Order,
    step: &Step,
    since_order: Duration,
    since_step: Duration,
    findings: &history::Findings,
) -> Decision {
    if step.stage.is_final() {
        return Decision::Wait;
    }
    if let Some(regression) = findings.regression() {
        return Decision::RollBack(regression);
    }
    let evidence = match findings.comparable() {
        Some(comparable) => comparable,
        None if findings.all.is_new_sound() => &findings.all,
        None if step.halted => return Decision::Wait,
        None => return Decision::Suspend,
    };
    if step.halted {
        let is_due = findings.is_settled && since_step >= MIN_SUSPENSION;
        return if is_due { Decision::Resume } else { Decision::Wait };
    }
    let responses = evidence.total().new.responses;
    let stage_length = order.duration.mul_f64(STAGE_LENGTH);
    let is_due = match step.stage {
        Stage::Trial => {
            since_order >= order.duration.mul_f64(TRIAL_END)
                && since_step >= stage_length
                && responses >= MIN_TRIAL_RESPONSES
        }
        Stage::Full => since_step >= stage_length.max(MIN_FULL_TIME),
        _ => since_step >= stage_length,
    };
    match is_due {
        true => Decision::Advance(step.stage.next()),
        false => Decision::Wait,
    }
}

/// An order, and when it was given as far as this host knows.
#[derive(Debug, Clone)]
struct KnownOrder {
    order: Order,
    given_at: Instant,
    /// The era of the store in which the order was written, as far as this host knows.
    written_in: store::Era,
}

/// An order, and the newest step of its move.
#[derive(Debug, Clone)]
pub struct Progress {
    /// The service.
    pub service: Rc<str>,
    /// The order.
    pub order: Order,
    /// The time since the order was given.
    pub age: Duration,
    /// The newest step, and the time since this host applied it.
    pub step: Option<(Step, Duration)>,
}

/// The moves known to this host, and the evidence on them.
#[derive(Debug)]
pub struct Moves {
    /// The share of a service's calls that an unproven version may get; `None` if services are not
    /// moved between versions.
    exposure: Cell<Option<f64>>,
    orders: RefCell<IndexMap<Rc<str>, KnownOrder>>,
    steps: RefCell<IndexMap<Rc<str>, (Step, Instant)>>,
    /// What versions have shown, by service.
    standing: RefCell<standing::Services>,
    /// The versions of which upstreams are listed, by service with an order.
    present: RefCell<IndexMap<Rc<str>, IndexSet<Rc<str>>>>,
    /// The evidence that this host has collected, by service.
    local: RefCell<IndexMap<Rc<str>, evidence::Evidence>>,
    /// The evidence received from other hosts, by service and sender.
    remote: RefCell<IndexMap<(Rc<str>, SocketAddr), evidence::Evidence>>,
    /// The evidence of all hosts over time, by service, if this host is the coordinator.
    histories: RefCell<IndexMap<Rc<str>, history::History>>,
    /// Whether this host has read the steps of moves from the store.
    pub has_read_steps: Cell<bool>,
    /// The era of the store in which this host has read the steps.
    era: Cell<store::Era>,
    /// Services whose newest step is not in the store, because that came back from a copy.
    lost_steps: RefCell<IndexSet<Rc<str>>>,
}

impl Default for Moves {
    fn default() -> Moves {
        Moves {
            exposure: Cell::new(Some(DEFAULT_EXPOSURE)),
            orders: RefCell::default(),
            steps: RefCell::default(),
            standing: RefCell::default(),
            present: RefCell::default(),
            local: RefCell::default(),
            remote: RefCell::default(),
            histories: RefCell::default(),
            has_read_steps: Cell::default(),
            era: Cell::default(),
            lost_steps: RefCell::default(),
        }
    }
}

impl Moves {
    /// Sets the exposure: the share of a service's calls that an unproven version may get. Without
    /// one, services are not moved between versions, and orders to move one are ignored.
    pub fn set_exposure(&self, share: Option<f64>) {
        self.exposure.set(share);
    }

    /// Records the versions of which upstreams are listed when an order is applied next.
    pub fn record_versions(&self, service: &Rc<str>, versions: IndexSet<Rc<str>>) {
        self.present.borrow_mut().insert(Rc::clone(service), versions);
    }

    /// Returns whether the version that a service is ordered to move to is proven. It then takes all
    /// calls at once.
    pub fn is_proven(&self, service: &str, version: &str) -> bool {
        self.standing.borrow().get(service).is_some_and(|versions| versions.is_proven(version))
    }

    /// Records that an order is no longer in force.
    fn record_end(&self, service: &Rc<str>, order: &Order) {
        let stage = self.step_of(service, order).map(|(step, _)| step.stage);
        let is_completed = stage == Some(Stage::Completed);
        let mut standing = self.standing.borrow_mut();
        standing.entry(Rc::clone(service)).or_default().replace(&order.to, is_completed);
    }

    /// Applies an order, or its removal, unless a newer one is known.
    pub fn apply_order(&self, service: Rc<str>, order: Option<Order>, now: Instant) {
        let Some(order) = order else {
            let removed = self.orders.borrow_mut().shift_remove(&service);
            if let Some(known) = removed {
                self.record_end(&service, &known.order);
            }
            return;
        };
        if self.exposure.get().is_none() {
            tracing::warn!(event = "move_ignored", service = &*service, to = &*order.to);
            return;
        }
        if self.is_rewritten(&service, &order) {
            self.rebase_order(&service, order.revision);
            if let Some(known) = self.orders.borrow_mut().get_mut(&service) {
                known.written_in = order.revision.era;
            }
            return;
        }
        let mut orders = self.orders.borrow_mut();
        if orders.get(&service).is_some_and(|known| known.order.revision >= order.revision) {
            return;
        }
        if let Some(known) = orders.get(&service) {
            self.record_end(&service, &known.order);
        }
        let present = self.present.borrow_mut().shift_remove(&service).unwrap_or_default();
        let mut standing = self.standing.borrow_mut();
        let versions = standing.entry(Rc::clone(&service)).or_default();
        versions.begin(Rc::clone(&order.to), present);
        tracing::info!(
            event = "move_ordered",
            service = &*service,
            to = &*order.to,
            time_ms = order.duration.as_millis() as u64,
            is_proven = versions.is_proven(&order.to),
        );
        self.local.borrow_mut().shift_remove(&service);
        self.remote.borrow_mut().retain(|(of, _), _| *of != service);
        self.histories.borrow_mut().shift_remove(&service);
        let written_in = order.revision.era;
        orders.insert(service, KnownOrder { order, given_at: now, written_in });
    }

    /// Applies a step unless it is already known or outdated; returns whether it was applied.
    pub fn apply_step(&self, mut step: Step, now: Instant) -> bool {
        let is_rewritten = self.orders.borrow().get(&step.service).is_some_and(|known| {
            known.written_in != store::Era::UNKNOWN
                && known.written_in < step.order.era
                && known.order.to == step.to
        });
        if is_rewritten {
            self.rebase_order(&step.service, step.order);
        }
        self.update_age(&step, now);
        let mut steps = self.steps.borrow_mut();
        if let Some((known, _)) = steps.get(&step.service) {
            // Also a host that has taken the copy's row for the newest step.
            let is_of_copy =
                known.revision.era < step.revision.era || self.is_step_lost(&step.service);
            if is_of_copy && known.order == step.order && known.stage > step.stage {
                step.stage = known.stage;
                self.lost_steps.borrow_mut().insert(Rc::clone(&step.service));
            }
        }
        let is_newer = steps.get(&step.service).is_none_or(|(known, _)| {
            (step.order, step.revision, step.halted) > (known.order, known.revision, known.halted)
        });
        if is_newer {
            tracing::info!(
                event = "move_step",
                service = &*step.service,
                to = &*step.to,
                stage = %step.stage,
                revision = %step.revision,
                braked = step.halted,
            );
            steps.insert(Rc::clone(&step.service), (step, now));
        }
        is_newer
    }

    /// Updates the age of an order if another host has known it for longer.
    fn update_age(&self, step: &Step, now: Instant) {
        let mut orders = self.orders.borrow_mut();
        let Some(known) = orders.get_mut(&step.service) else { return };
        let given_at = now.checked_sub(Duration::from_millis(step.order_age_ms.into()));
        if known.order.revision == step.order {
            known.given_at = given_at.unwrap_or(known.given_at).min(known.given_at);
        }
    }

    /// Returns the steps of all orders, to be sent to other hosts: those applied last come first, and
    /// the others in a new order each time, since not all may fit into one message.
    pub fn steps(&self, now: Instant) -> Vec<Step> {
        let orders = self.orders.borrow();
        let steps = self.steps.borrow();
        let ordered = steps.values().filter_map(|(step, at)| {
            let known = orders.get(&step.service)?;
            let age = match known.order.revision == step.order {
                true => now.saturating_duration_since(known.given_at),
                false => Duration::ZERO,
            };
            let order_age_ms = age.as_millis().min(u32::MAX.into()) as u32;
            Some((now.saturating_duration_since(*at), Step { order_age_ms, ..step.clone() }))
        });
        let mut all: Vec<(Duration, Step)> = ordered.collect();
        fastrand::shuffle(&mut all);
        all.sort_by_key(|(age, _)| (*age).min(RECENT_STEP_TIME));
        all.into_iter().map(|(_, step)| step).collect()
    }

    /// Removes the orders of all services but these.
    pub fn retain_orders(&self, services: &IndexSet<Rc<str>>) {
        let mut removed = Vec::new();
        self.orders.borrow_mut().retain(|service, known| {
            let is_kept = services.contains(service);
            if !is_kept {
                removed.push((Rc::clone(service), known.order.clone()));
            }
            is_kept
        });
        removed.iter().for_each(|(service, order)| self.record_end(service, order));
    }

    /// Returns the progress of each ordered move.
    pub fn orders(&self, now: Instant) -> Vec<Progress> {
        let orders = self.orders.borrow();
        let all = orders.iter().map(|(service, known)| {
            let step = self.step_of(service, &known.order);
            Progress {
                service: Rc::clone(service),
                order: known.order.clone(),
                age: now.saturating_duration_since(known.given_at),
                step: step.map(|(step, at)| (step, now.saturating_duration_since(at))),
            }
        });
        all.collect()
    }

    /// Returns the revision of the row that holds the steps of a service's move; its number is 0
    /// while no step is known.
    pub fn step_revision(&self, service: &str) -> store::Revision {
        let none = store::Revision { era: self.era.get(), number: 0 };
        self.steps.borrow().get(service).map_or(none, |(step, _)| step.revision)
    }

    fn step_of(&self, service: &str, order: &Order) -> Option<(Step, Instant)> {
        let steps = self.steps.borrow();
        steps.get(service).filter(|(step, _)| step.order == order.revision).cloned()
    }

    /// Chooses the version that takes the next call of a service, by the share of the move's stage;
    /// returns the upstreams of that version.
    pub fn choose_version<'a>(
        &self,
        service: &str,
        eligible: Vec<&'a Rc<upstream::Upstream>>,
        now: Instant,
    ) -> Vec<&'a Rc<upstream::Upstream>> {
        let standing = self.standing.borrow();
        let versions = standing.get(service);
        let orders = self.orders.borrow();
        let known = orders.get(service);
        let eligible = match versions {
            Some(versions) => versions.without_unproven(eligible),
            None => eligible,
        };
        let Some(known) = known else { return eligible };
        let to = &known.order.to;
        let (new, old): (Vec<_>, Vec<_>) =
            eligible.into_iter().partition(|u| u.entry().version == *to);
        if versions.is_some_and(|versions| versions.is_proven(to)) && !new.is_empty() {
            return new;
        }
        let step = self.step_of(service, &known.order);
        let exposure = self.exposure.get().unwrap_or_default();
        let share = step.as_ref().map_or(0.0, |(step, _)| step.share(exposure));
        let stage = step.map(|(step, _)| step.stage);
        let is_completed = stage == Some(Stage::Completed);
        // Before the move is completed, and below a share of 1, the new version takes a call only
        // if one of its upstreams admits a call now.
        let can_take = is_completed || new.iter().any(|u| u.admits(now));
        if share >= 1.0 && !new.is_empty() {
            return new;
        }
        if share <= 0.0 || !can_take {
            return old;
        }
        let age = now.saturating_duration_since(known.given_at);
        let burst = stage.and_then(|stage| burst::Burst::of(stage, age, known.order.duration));
        match burst {
            Some(burst) if burst.is_active(age, share) => burst::fill(&new, now).unwrap_or(old),
            Some(_) => old,
            None if fastrand::f64() < share && !new.is_empty() => new,
            None => old,
        }
    }

    /// Records the result of a call that was sent to a version of a service.
    pub fn record(
        &self,
        service: &Rc<str>,
        route: &Rc<str>,
        version: &str,
        count: evidence::Count,
    ) {
        let orders = self.orders.borrow();
        let Some(known) = orders.get(service) else { return };
        if self.step_of(service, &known.order).is_none_or(|(step, _)| step.stage.is_final()) {
            return;
        }
        let mut local = self.local.borrow_mut();
        let number = known.order.revision.number;
        let evidence = local
            .entry(Rc::clone(service))
            .or_insert_with(|| evidence::Evidence::new(Rc::clone(service), number));
        evidence.record(route, *known.order.to == *version, &count);
    }

    /// Returns the evidence of this host on moves in progress.
    pub fn local_evidence(&self) -> Vec<evidence::Evidence> {
        self.local.borrow().values().cloned().collect()
    }

    /// Records the evidence of another host, in place of what that host sent before on the same
    /// routes.
    pub fn record_remote_evidence(&self, from: SocketAddr, evidence: evidence::Evidence) {
        let orders = self.orders.borrow();
        let known = orders.get(&evidence.service);
        if known.is_some_and(|known| known.order.revision.number == evidence.order) {
            let mut remote = self.remote.borrow_mut();
            match remote.get_mut(&(Rc::clone(&evidence.service), from)) {
                Some(known) if known.order == evidence.order => known.update(evidence),
                _ => drop(remote.insert((Rc::clone(&evidence.service), from), evidence)),
            }
        }
    }

    /// Returns the evidence of all hosts on a service.
    pub fn combined_evidence(&self, service: &str) -> evidence::Combined {
        let local = self.local.borrow();
        let remote = self.remote.borrow();
        let others = remote.iter().filter(|((of, _), _)| &**of == service).map(|(_, e)| e);
        let mut all = evidence::Combined::default();
        local.get(service).into_iter().chain(others).for_each(|evidence| all.add(evidence));
        all
    }

    /// Returns what the evidence of all hosts tells about a service now. The coordinator calls this
    /// at each check, as findings depend on the evidence over time.
    pub fn findings(&self, service: &Rc<str>, now: Instant) -> history::Findings {
        let evidence = self.combined_evidence(service);
        let mut histories = self.histories.borrow_mut();
        histories.entry(Rc::clone(service)).or_default().look(evidence, now)
    }

    /// Removes the evidence on moves that have ended.
    pub fn remove_finished_evidence(&self) {
        let orders = self.orders.borrow();
        let is_running = |service: &Rc<str>| {
            let known = orders.get(service);
            let step = known.and_then(|known| self.step_of(service, &known.order));
            step.is_some_and(|(step, _)| !step.stage.is_final())
        };
        self.local.borrow_mut().retain(|service, _| is_running(service));
        self.remote.borrow_mut().retain(|(service, _), _| is_running(service));
        self.histories.borrow_mut().retain(|service, _| is_running(service));
    }
}
