//! Moves of a service's calls to another version: how far each has come, and the evidence for it.
//!
//! One host steers a move: it writes each step to the store under the condition that the row still
//! has the revision that it read, and the row's revision tells newer steps from older ones on all
//! hosts. Steps travel with the beats of [`cluster`](super::cluster); what hosts saw of the versions
//! travels to the host that steers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::upstream;

pub mod evidence;

/// An order to move a service's calls to another version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The version to move to.
    pub to: Rc<str>,
    /// The time in which the move is to be done.
    pub duration: Duration,
    /// The revision of the order's row, which tells it from earlier orders.
    pub revision: u64,
}

/// How far a move has come.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
pub enum Stage {
    /// A few calls go to the new version, for evidence.
    #[display("trial")]
    Trial,
    /// More calls go there, step by step.
    #[display("ramp-{_0}")]
    Ramp(u8),
    /// All calls go there.
    #[display("full")]
    Full,
    /// All calls go there for good: the old version may end.
    #[display("completed")]
    Completed,
    /// No calls go there any more.
    #[display("rolled-back")]
    RolledBack,
}

/// The part of the calls that goes to the new version in a trial, as a part of what an unproved version
/// may get: the later steps have theirs of that.
const TRIAL_SHARE: f64 = 0.6;

/// The parts at the steps after it; together with the trial they stay below what an unproved version may
/// get of all calls until its deadline.
const RAMP_SHARES: [f64; 3] = [1.0, 2.5, 5.0];

/// What an unproved version may get, unless the settings say otherwise.
const EXPOSURE: f64 = 0.1;

/// When the trial ends, as a part of the move's time: faults that come late have shown by then.
const TRIAL_END: f64 = 0.4;

/// The length of each later stage, as a part of the move's time.
const STAGE_LENGTH: f64 = 0.06;

/// The least time for which all calls go to the new version before the old one may end: calls that the
/// old one still runs end within it.
const FULL_TIME: Duration = Duration::from_millis(1300);

/// Answers of the new version without which a move does not go past its trial.
const LEAST_TRIED: u32 = 8;

impl Stage {
    /// The part of the calls that goes to the new version, where an unproved one may get `exposure` of
    /// them.
    pub fn share(self, exposure: f64) -> f64 {
        match self {
            Stage::Trial => TRIAL_SHARE * exposure,
            Stage::Ramp(step) => {
                let part = RAMP_SHARES[usize::from(step).min(RAMP_SHARES.len() - 1)];
                (part * exposure).min(1.0)
            }
            Stage::Full | Stage::Completed => 1.0,
            Stage::RolledBack => 0.0,
        }
    }

    /// Whether nothing follows.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Completed | Stage::RolledBack)
    }

    /// The stage that follows when nothing speaks against the new version.
    fn next(self) -> Stage {
        match self {
            Stage::Trial => Stage::Ramp(0),
            Stage::Ramp(step) if usize::from(step) + 1 < RAMP_SHARES.len() => Stage::Ramp(step + 1),
            Stage::Ramp(_) => Stage::Full,
            Stage::Full => Stage::Completed,
            last => last,
        }
    }
}

/// One step of a move, as all hosts know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The service.
    pub service: Rc<str>,
    /// The version to move to.
    pub to: Rc<str>,
    /// The revision of the order.
    pub order: u64,
    /// How far the move has come.
    pub stage: Stage,
    /// The revision of the step's row; 0 before it is written.
    pub revision: u64,
    /// Whether the new version is to get nothing though the store does not know yet.
    #[serde(rename = "braked")]
    pub halted: bool,
    /// How long ago the order was given when the step was told, in milliseconds: a host that starts
    /// during a move learns of it this way.
    pub order_age_ms: u32,
}

impl Step {
    /// The part of the calls that goes to the new version.
    fn share(&self, exposure: f64) -> f64 {
        match self.halted {
            true => 0.0,
            false => self.stage.share(exposure),
        }
    }
}

/// What to do next with a move.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Nothing yet.
    Wait,
    /// Go to this stage.
    Advance(Stage),
    /// Take the move back.
    RollBack(evidence::Regression),
}

/// Decides on the next step of a move.
pub fn decide(
    order: &Order,
    stage: Stage,
    since_order: Duration,
    since_step: Duration,
    routes: &IndexMap<Rc<str>, evidence::Pair>,
) -> Decision {
    if stage.is_final() {
        return Decision::Wait;
    }
    if let Some(verdict) = evidence::find_regression(routes.iter()) {
        return Decision::RollBack(verdict);
    }
    let tried: u32 = routes.values().map(|pair| pair.new.responses).sum();
    let is_due = match stage {
        Stage::Trial => since_order >= order.duration.mul_f64(TRIAL_END) && tried >= LEAST_TRIED,
        Stage::Full => since_step >= order.duration.mul_f64(STAGE_LENGTH).max(FULL_TIME),
        _ => since_step >= order.duration.mul_f64(STAGE_LENGTH),
    };
    match is_due {
        true => Decision::Advance(stage.next()),
        false => Decision::Wait,
    }
}

/// An order, and when this host learned of it.
#[derive(Debug, Clone)]
struct Known {
    order: Order,
    since: Instant,
}

/// An order, and how far it has come.
#[derive(Debug, Clone)]
pub struct Progress {
    /// The service.
    pub service: Rc<str>,
    /// The order.
    pub order: Order,
    /// How long ago it was given.
    pub age: Duration,
    /// The newest step, and how long ago it was taken.
    pub step: Option<(Step, Duration)>,
}

/// The moves that this host knows.
#[derive(Debug)]
pub struct Moves {
    exposure: Cell<f64>,
    orders: RefCell<IndexMap<Rc<str>, Known>>,
    steps: RefCell<IndexMap<Rc<str>, (Step, Instant)>>,
    own: RefCell<IndexMap<Rc<str>, evidence::Evidence>>,
    heard: RefCell<IndexMap<(Rc<str>, SocketAddr), evidence::Evidence>>,
    /// Whether the steps in the store have been read.
    pub has_read_steps: Cell<bool>,
}

impl Default for Moves {
    fn default() -> Moves {
        Moves {
            exposure: Cell::new(EXPOSURE),
            orders: RefCell::default(),
            steps: RefCell::default(),
            own: RefCell::default(),
            heard: RefCell::default(),
            has_read_steps: Cell::default(),
        }
    }
}

impl Moves {
    /// Changes the part of a service's calls that an unproved version may get.
    pub fn set_exposure(&self, share: f64) {
        self.exposure.set(share);
    }

    /// Takes in an order, or that there is none.
    pub fn apply_order(&self, service: Rc<str>, order: Option<Order>, now: Instant) {
        let Some(order) = order else {
            self.orders.borrow_mut().shift_remove(&service);
            return;
        };
        let mut orders = self.orders.borrow_mut();
        if orders.get(&service).is_some_and(|known| known.order.revision >= order.revision) {
            return;
        }
        tracing::info!(
            event = "move_ordered",
            service = &*service,
            to = &*order.to,
            time_ms = order.duration.as_millis() as u64,
        );
        self.own.borrow_mut().shift_remove(&service);
        self.heard.borrow_mut().retain(|(of, _), _| *of != service);
        orders.insert(service, Known { order, since: now });
    }

    /// Takes in a step, unless a newer one is known; returns whether it was news.
    pub fn apply_step(&self, step: Step, now: Instant) -> bool {
        self.note_age(&step, now);
        let mut steps = self.steps.borrow_mut();
        let is_news = steps.get(&step.service).is_none_or(|(known, _)| {
            (step.order, step.revision, step.halted) > (known.order, known.revision, known.halted)
        });
        if is_news {
            tracing::info!(
                event = "move_step",
                service = &*step.service,
                to = &*step.to,
                stage = %step.stage,
                revision = step.revision,
                braked = step.halted,
            );
            steps.insert(Rc::clone(&step.service), (step, now));
        }
        is_news
    }

    /// Notes how old an order is, where another host knows it for longer.
    fn note_age(&self, step: &Step, now: Instant) {
        let mut orders = self.orders.borrow_mut();
        let Some(known) = orders.get_mut(&step.service) else { return };
        let since = now.checked_sub(Duration::from_millis(step.order_age_ms.into()));
        if known.order.revision == step.order {
            known.since = since.unwrap_or(known.since).min(known.since);
        }
    }

    /// All steps that are known, to be told to other hosts.
    pub fn steps(&self, now: Instant) -> Vec<Step> {
        let orders = self.orders.borrow();
        let steps = self.steps.borrow();
        let told = steps.values().map(|(step, _)| {
            let known = orders.get(&step.service);
            let age = known.filter(|known| known.order.revision == step.order);
            let age =
                age.map_or(Duration::ZERO, |known| now.saturating_duration_since(known.since));
            Step { order_age_ms: age.as_millis().min(u32::MAX.into()) as u32, ..step.clone() }
        });
        told.collect()
    }

    /// Drops all orders but those of these services.
    pub fn retain_orders(&self, services: &IndexSet<Rc<str>>) {
        self.orders.borrow_mut().retain(|service, _| services.contains(service));
    }

    /// The orders, and how far each has come.
    pub fn orders(&self, now: Instant) -> Vec<Progress> {
        let orders = self.orders.borrow();
        let all = orders.iter().map(|(service, known)| {
            let step = self.step_of(service, &known.order);
            Progress {
                service: Rc::clone(service),
                order: known.order.clone(),
                age: now.saturating_duration_since(known.since),
                step: step.map(|(step, at)| (step, now.saturating_duration_since(at))),
            }
        });
        all.collect()
    }

    /// The revision of the row in which the steps of a service stand.
    pub fn step_revision(&self, service: &str) -> u64 {
        self.steps.borrow().get(service).map_or(0, |(step, _)| step.revision)
    }

    fn step_of(&self, service: &str, order: &Order) -> Option<(Step, Instant)> {
        let steps = self.steps.borrow();
        steps.get(service).filter(|(step, _)| step.order == order.revision).cloned()
    }

    /// The upstreams of the version that takes the next call of a service.
    pub fn choose_version<'a>(
        &self,
        service: &str,
        open: Vec<&'a Rc<upstream::Upstream>>,
        now: Instant,
    ) -> Vec<&'a Rc<upstream::Upstream>> {
        let orders = self.orders.borrow();
        let Some(known) = orders.get(service) else { return open };
        let to = &known.order.to;
        let (new, old): (Vec<_>, Vec<_>) = open.into_iter().partition(|u| u.entry().version == *to);
        let step = self.step_of(service, &known.order);
        let share = step.as_ref().map_or(0.0, |(step, _)| step.share(self.exposure.get()));
        let is_completed = step.is_some_and(|(step, _)| step.stage == Stage::Completed);
        // In a trial the new version takes only what it has room for.
        let can_take = is_completed || new.iter().any(|u| u.warmup.admits(now));
        if share >= 1.0 && !new.is_empty() {
            return new;
        }
        match share > 0.0 && can_take && fastrand::f64() < share {
            true if !new.is_empty() => new,
            _ => old,
        }
    }

    /// Takes in how a call ended that was sent to a version of a service.
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
        let mut own = self.own.borrow_mut();
        let evidence = own.entry(Rc::clone(service)).or_insert_with(|| evidence::Evidence {
            service: Rc::clone(service),
            order: known.order.revision,
            routes: IndexMap::new(),
        });
        let pair = evidence.routes.entry(Rc::clone(route)).or_default();
        pair.record(*known.order.to == *version, &count);
    }

    /// What this host has seen of moves that are under way.
    pub fn local_evidence(&self) -> Vec<evidence::Evidence> {
        self.own.borrow().values().cloned().collect()
    }

    /// Takes in what another host has seen.
    pub fn record_remote_evidence(&self, from: SocketAddr, evidence: evidence::Evidence) {
        let orders = self.orders.borrow();
        let known = orders.get(&evidence.service);
        if known.is_some_and(|known| known.order.revision == evidence.order) {
            self.heard.borrow_mut().insert((Rc::clone(&evidence.service), from), evidence);
        }
    }

    /// What all hosts have seen together.
    pub fn combined_evidence(&self, service: &str) -> IndexMap<Rc<str>, evidence::Pair> {
        let own = self.own.borrow();
        let heard = self.heard.borrow();
        let others = heard.iter().filter(|((of, _), _)| &**of == service).map(|(_, e)| e);
        let mut all: IndexMap<Rc<str>, evidence::Pair> = IndexMap::new();
        for evidence in own.get(service).into_iter().chain(others) {
            for (route, pair) in &evidence.routes {
                all.entry(Rc::clone(route)).or_default().merge(pair);
            }
        }
        all
    }

    /// Drops what was seen of moves that have ended.
    pub fn remove_finished_evidence(&self) {
        let orders = self.orders.borrow();
        let is_running = |service: &Rc<str>| {
            let known = orders.get(service);
            let step = known.and_then(|known| self.step_of(service, &known.order));
            step.is_some_and(|(step, _)| !step.stage.is_final())
        };
        self.own.borrow_mut().retain(|service, _| is_running(service));
        self.heard.borrow_mut().retain(|(service, _), _| is_running(service));
    }
}
