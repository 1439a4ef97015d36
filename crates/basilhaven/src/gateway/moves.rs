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

/// An order to move a service's calls to another version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The version to move to.
    pub to: Rc<str>,
    /// The time in which the move is to be done.
    pub time: Duration,
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

/// Answers of a version on one route from which it can be judged by its failures.
const LEAST_FAILURES: u32 = 4;

/// By how much failures have to exceed what the old version's share of failures leads to expect.
const FAILED_RATIO: f64 = 3.0;
const FAILED_EXCESS: f64 = 3.0;

/// Answers, and the share of failed ones, that are assumed of the old version before any was seen. They
/// weigh little: routes on which every call fails, whatever the version, get few calls.
const PRIOR_ANSWERS: f64 = 10.0;
const PRIOR_SHARE: f64 = 0.03;

/// Answers from which a version can be judged by its times, and the ratio of means that is too high.
const LEAST_TIMED: u32 = 6;
const SLOW_RATIO: f64 = 2.5;

/// Means below this are taken for equal, in seconds: round trips and probes weigh more.
const LEAST_SECONDS: f64 = 0.03;

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
    pub braked: bool,
    /// How long ago the order was given when the step was told, in milliseconds: a host that starts
    /// during a move learns of it this way.
    pub order_age_ms: u32,
}

impl Step {
    /// The part of the calls that goes to the new version.
    fn share(&self, exposure: f64) -> f64 {
        match self.braked {
            true => 0.0,
            false => self.stage.share(exposure),
        }
    }
}

/// What was seen of one version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// Answers, failed ones among them.
    pub answers: u32,
    /// Failed answers, and calls without an answer.
    pub failed: u32,
    /// Seconds that the answers took together, each divided by the cost of its upstream.
    pub seconds: f32,
}

impl Count {
    /// One answer that took some time at an upstream of some cost.
    ///
    /// What the cost foretells says nothing of the version: upstreams of a new one are idle, those of the old
    /// one full, and would hide that the new one is slow.
    pub fn of_one(failed: bool, cost: f64, took: Duration) -> Count {
        let seconds = (took.as_secs_f64() / cost.max(1.0)) as f32;
        Count { answers: 1, failed: u32::from(failed), seconds }
    }

    fn add(&mut self, other: &Count) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failed = self.failed.saturating_add(other.failed);
        self.seconds += other.seconds;
    }

    fn failed_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.answers.max(1))
    }

    fn mean(&self) -> f64 {
        f64::from(self.seconds) / f64::from(self.answers.max(1))
    }
}

/// What was seen of both versions on one route.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    /// The new version.
    pub new: Count,
    /// The old version.
    pub old: Count,
    /// The old version's last answers: faults that strike both versions may have begun after most of
    /// [`old`](Pair::old).
    pub old_of_late: Late,
}

/// Answers of late; each new one takes an eighth of the weight of those before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Late {
    /// The weight of all answers.
    pub answers: f32,
    /// The weight of those that failed.
    pub failed: f32,
}

/// What is left of the weight of answers at each new one.
const LATE_DECAY: f32 = 7.0 / 8.0;

impl Late {
    fn add(&mut self, count: &Count) {
        self.answers = self.answers * LATE_DECAY + count.answers as f32;
        self.failed = self.failed * LATE_DECAY + count.failed as f32;
    }
}

impl Pair {
    /// The share of failures that the old version leads to expect.
    fn expected_share(&self) -> f64 {
        let share = |answers: f64, failed: f64, prior: f64| {
            (failed + prior * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS)
        };
        let long = share(self.old.answers.into(), self.old.failed.into(), PRIOR_SHARE);
        let late = self.old_of_late;
        long.max(share(late.answers.into(), late.failed.into(), long))
    }
}

/// What one host has seen during a move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The service.
    pub service: Rc<str>,
    /// The revision of the order.
    pub order: u64,
    /// What was seen on each route.
    pub routes: IndexMap<Rc<str>, Pair>,
}

/// Why a version is taken for bad.
#[derive(Debug, Clone, PartialEq, derive_more::Display)]
#[display("{fault} on {route}: {new:.3} against {old:.3}")]
pub struct Verdict {
    /// What is wrong with it.
    pub fault: Fault,
    /// The route on which it shows.
    pub route: Rc<str>,
    /// The figure of the new version.
    pub new: f64,
    /// That of the old version.
    pub old: f64,
}

/// What may be wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Fault {
    /// Its answers fail.
    #[display("failures")]
    Failures,
    /// Its answers take too long.
    #[display("slow answers")]
    Slow,
}

/// Whether a version is bad by what all hosts have seen together.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::moves;
///
/// let good = moves::Count { answers: 200, failed: 2, seconds: 20.0 };
/// let bad = moves::Count { answers: 12, failed: 6, seconds: 1.2 };
/// let late = moves::Late::default();
/// let seen = [("prices".into(), moves::Pair { new: bad, old: good, old_of_late: late })];
/// assert!(moves::judge(seen.iter().map(|(r, p)| (r, p))).is_some());
/// let seen = [("prices".into(), moves::Pair { new: good, old: good, old_of_late: late })];
/// assert!(moves::judge(seen.iter().map(|(r, p)| (r, p))).is_none());
/// ```
pub fn judge<'a, I>(routes: I) -> Option<Verdict>
where
    I: Iterator<Item = (&'a Rc<str>, &'a Pair)>,
{
    routes.filter_map(|(route, pair)| judge_route(route, pair)).next()
}

fn judge_route(route: &Rc<str>, pair: &Pair) -> Option<Verdict> {
    let (new, old) = (pair.new.failed_share(), pair.old.failed_share());
    let verdict = |fault, new, old| Some(Verdict { fault, route: Rc::clone(route), new, old });
    let expected = pair.expected_share() * f64::from(pair.new.answers);
    let failed = f64::from(pair.new.failed);
    if pair.new.failed >= LEAST_FAILURES && failed > FAILED_RATIO * expected + FAILED_EXCESS {
        return verdict(Fault::Failures, new, old);
    }
    let (new, old) = (pair.new.mean(), pair.old.mean());
    let timed = pair.new.answers.min(pair.old.answers) >= LEAST_TIMED;
    if timed && new > SLOW_RATIO * old.max(LEAST_SECONDS) {
        return verdict(Fault::Slow, new, old);
    }
    None
}

/// What to do next with a move.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Nothing yet.
    Wait,
    /// Go to this stage.
    Go(Stage),
    /// Take the move back.
    Back(Verdict),
}

/// Decides on the next step of a move.
pub fn decide(
    order: &Order,
    stage: Stage,
    since_order: Duration,
    since_step: Duration,
    routes: &IndexMap<Rc<str>, Pair>,
) -> Decision {
    if stage.is_final() {
        return Decision::Wait;
    }
    if let Some(verdict) = judge(routes.iter()) {
        return Decision::Back(verdict);
    }
    let tried: u32 = routes.values().map(|pair| pair.new.answers).sum();
    let is_due = match stage {
        Stage::Trial => since_order >= order.time.mul_f64(TRIAL_END) && tried >= LEAST_TRIED,
        Stage::Full => since_step >= order.time.mul_f64(STAGE_LENGTH).max(FULL_TIME),
        _ => since_step >= order.time.mul_f64(STAGE_LENGTH),
    };
    match is_due {
        true => Decision::Go(stage.next()),
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
pub struct Status {
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
    own: RefCell<IndexMap<Rc<str>, Evidence>>,
    heard: RefCell<IndexMap<(Rc<str>, SocketAddr), Evidence>>,
    /// Whether the steps in the store have been read.
    pub steps_known: Cell<bool>,
}

impl Default for Moves {
    fn default() -> Moves {
        Moves {
            exposure: Cell::new(EXPOSURE),
            orders: RefCell::default(),
            steps: RefCell::default(),
            own: RefCell::default(),
            heard: RefCell::default(),
            steps_known: Cell::default(),
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
            time_ms = order.time.as_millis() as u64,
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
            (step.order, step.revision, step.braked) > (known.order, known.revision, known.braked)
        });
        if is_news {
            tracing::info!(
                event = "move_step",
                service = &*step.service,
                to = &*step.to,
                stage = %step.stage,
                revision = step.revision,
                braked = step.braked,
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
    pub fn keep_orders(&self, services: &IndexSet<Rc<str>>) {
        self.orders.borrow_mut().retain(|service, _| services.contains(service));
    }

    /// The orders, and how far each has come.
    pub fn orders(&self, now: Instant) -> Vec<Status> {
        let orders = self.orders.borrow();
        let all = orders.iter().map(|(service, known)| {
            let step = self.step_of(service, &known.order);
            Status {
                service: Rc::clone(service),
                order: known.order.clone(),
                age: now.saturating_duration_since(known.since),
                step: step.map(|(step, at)| (step, now.saturating_duration_since(at))),
            }
        });
        all.collect()
    }

    /// The revision of the row in which the steps of a service stand.
    pub fn row_revision(&self, service: &str) -> u64 {
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
    pub fn note(&self, service: &Rc<str>, route: &Rc<str>, version: &str, count: Count) {
        let orders = self.orders.borrow();
        let Some(known) = orders.get(service) else { return };
        if self.step_of(service, &known.order).is_none_or(|(step, _)| step.stage.is_final()) {
            return;
        }
        let mut own = self.own.borrow_mut();
        let evidence = own.entry(Rc::clone(service)).or_insert_with(|| Evidence {
            service: Rc::clone(service),
            order: known.order.revision,
            routes: IndexMap::new(),
        });
        let pair = evidence.routes.entry(Rc::clone(route)).or_default();
        match *known.order.to == *version {
            true => pair.new.add(&count),
            false => {
                pair.old.add(&count);
                pair.old_of_late.add(&count);
            }
        }
    }

    /// What this host has seen of moves that are under way.
    pub fn own_evidence(&self) -> Vec<Evidence> {
        self.own.borrow().values().cloned().collect()
    }

    /// Takes in what another host has seen.
    pub fn hear(&self, from: SocketAddr, evidence: Evidence) {
        let orders = self.orders.borrow();
        let known = orders.get(&evidence.service);
        if known.is_some_and(|known| known.order.revision == evidence.order) {
            self.heard.borrow_mut().insert((Rc::clone(&evidence.service), from), evidence);
        }
    }

    /// What all hosts have seen together.
    pub fn evidence(&self, service: &str) -> IndexMap<Rc<str>, Pair> {
        let own = self.own.borrow();
        let heard = self.heard.borrow();
        let others = heard.iter().filter(|((of, _), _)| &**of == service).map(|(_, e)| e);
        let mut all: IndexMap<Rc<str>, Pair> = IndexMap::new();
        for evidence in own.get(service).into_iter().chain(others) {
            for (route, pair) in &evidence.routes {
                let sum = all.entry(Rc::clone(route)).or_default();
                sum.new.add(&pair.new);
                sum.old.add(&pair.old);
                sum.old_of_late.answers += pair.old_of_late.answers;
                sum.old_of_late.failed += pair.old_of_late.failed;
            }
        }
        all
    }

    /// Drops what was seen of moves that have ended.
    pub fn forget_ended(&self) {
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
