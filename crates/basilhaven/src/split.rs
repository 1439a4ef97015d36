//! The split of a service's calls between two versions while a move runs, which transfers the calls
//! from the old version to the new one ([`crate::moves`]).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use indexmap::IndexMap;

use crate::moves::{self, evidence, halt, monitor};
use crate::{call, name, placement, profile, upstream};

/// The shares of calls that go to the new version of a move, and the evidence from these calls.
#[derive(Debug)]
pub struct Split {
    id: call::Id,
    /// The old version.
    from: name::Name,
    /// The new version.
    to: name::Name,
    state: Cell<State>,
    idempotent_credit: Credit,
    at_most_once_credit: Credit,
    monitor: monitor::Monitor,
    /// Why this host has halted the move, until the reason is taken to notify other hosts.
    verdict: RefCell<Option<halt::Reason>>,
}

/// The state of a move on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Calls are split between the versions.
    Running,
    /// The new version gets all calls.
    Completed,
    /// The new version gets no calls.
    Halted,
}

/// Distributes calls evenly: of any first `n` calls, at most the configured share of `n` goes to
/// the new version.
#[derive(Debug, Default)]
struct Credit {
    /// The new version's share of the calls, in units of 1 / [`moves::FULL_SHARE`].
    share: Cell<u16>,
    /// The shares of earlier calls that the new version has not used up. Each call adds `share`,
    /// and each call that goes to the new version takes [`moves::FULL_SHARE`].
    balance: Cell<u16>,
}

impl Credit {
    /// Returns `true` if the next call should go to the new version.
    fn is_due(&self) -> bool {
        self.balance.get() + self.share.get() >= moves::FULL_SHARE
    }

    /// Counts a call. If the new version was due and could not get the call, one later call makes
    /// up for it; missed calls do not add up to a burst.
    fn count(&self, went_to_new: bool) {
        let credit = self.balance.get() + self.share.get();
        let spent = if went_to_new { moves::FULL_SHARE } else { 0 };
        self.balance.set(credit.saturating_sub(spent).min(moves::FULL_SHARE));
    }
}

/// A call in flight whose result becomes evidence for or against the new version.
#[derive(Debug)]
pub struct Observation {
    split: Rc<Split>,
    number: u64,
    is_new: bool,
}

impl Observation {
    /// Returns `true` if the new version runs the call.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Records the result of the call.
    pub fn finish(self, end: &call::End) {
        self.split.record_end(self.number, end);
    }
}

impl Drop for Observation {
    fn drop(&mut self) {
        // After `finish`, the monitor no longer knows the number, so this has no effect.
        self.split.record_end(self.number, &call::End::Cancelled);
    }
}

impl From<&moves::Move> for Split {
    fn from(current: &moves::Move) -> Split {
        let split = Split {
            id: current.id,
            from: current.from.clone(),
            to: current.to.clone(),
            state: Cell::new(State::Running),
            idempotent_credit: Credit::default(),
            at_most_once_credit: Credit::default(),
            monitor: monitor::Monitor::default(),
            verdict: RefCell::default(),
        };
        split.update(current);
        split
    }
}

impl Split {
    /// Returns the id of the move.
    pub fn id(&self) -> call::Id {
        self.id
    }

    /// Returns the state of the move on this host.
    pub fn state(&self) -> State {
        self.state.get()
    }

    /// Returns the new version's shares of idempotent calls and of at-most-once calls, in units of
    /// 1 / [`moves::FULL_SHARE`].
    pub fn shares(&self) -> (u16, u16) {
        match self.state.get() {
            State::Running => {
                (self.idempotent_credit.share.get(), self.at_most_once_credit.share.get())
            }
            State::Completed => (moves::FULL_SHARE, moves::FULL_SHARE),
            State::Halted => (0, 0),
        }
    }

    /// Returns the evidence from this host's calls.
    pub fn monitor(&self) -> &monitor::Monitor {
        &self.monitor
    }

    /// Applies the move's current entry in the store. A halted move stays halted on this host,
    /// whatever the entry says.
    pub fn update(&self, current: &moves::Move) {
        self.idempotent_credit.share.set(current.share.min(moves::FULL_SHARE));
        self.at_most_once_credit.share.set(current.once_share.min(moves::FULL_SHARE));
        if self.state.get() != State::Halted {
            self.state.set(match current.phase {
                moves::Phase::Running => State::Running,
                moves::Phase::Done => State::Completed,
                moves::Phase::RolledBack(_) => State::Halted,
            });
        }
    }

    /// Halts the move on this host.
    pub fn halt(&self) {
        self.state.set(State::Halted);
    }

    /// Selects the version and the upstream for one call. After a failed attempt, the old version
    /// is used.
    pub fn choose(
        &self,
        selector: &placement::Selector<'_>,
        upstreams: &[Rc<upstream::Upstream>],
        idempotency: profile::Idempotency,
        tried_upstreams: &[name::Name],
    ) -> Option<placement::Choice> {
        let (new, others): (Vec<_>, Vec<_>) =
            upstreams.iter().cloned().partition(|upstream| upstream.version() == self.to);
        // A third version gets calls only if the move has completed or been halted, and the version
        // that should get them has no upstream.
        let (old, others): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|upstream| upstream.version() == self.from);
        let pick = |version: &[Rc<upstream::Upstream>]| pick(selector, version, tried_upstreams);
        match self.state.get() {
            State::Completed if new.is_empty() => return pick(&others),
            State::Completed => return pick(&new),
            State::Halted if old.is_empty() => return pick(&others),
            State::Halted => return pick(&old),
            // Without upstreams of the old version there is nothing to split.
            State::Running if old.is_empty() => return pick(&new),
            State::Running if !tried_upstreams.is_empty() => return pick(&old),
            State::Running => {}
        }
        let credit = match idempotency {
            profile::Idempotency::Idempotent => &self.idempotent_credit,
            profile::Idempotency::AtMostOnce => &self.at_most_once_credit,
        };
        let is_due = credit.is_due();
        let choice = if is_due { pick(&new).or_else(|| pick(&old)) } else { pick(&old) }?;
        credit.count(choice.upstream.version() == self.to);
        Some(choice)
    }

    /// Starts to observe a call that is sent to an upstream. Returns `None` unless the move runs.
    pub fn observe(
        self: &Rc<Self>,
        upstream: &upstream::Upstream,
        route: evidence::Route,
    ) -> Option<Observation> {
        if self.state.get() != State::Running {
            return None;
        }
        let is_new = upstream.version() == self.to;
        let number = self.monitor.start(route, is_new, Instant::now());
        Some(Observation { split: Rc::clone(self), number, is_new })
    }

    /// Evaluates the latencies, also of calls that have not returned yet, and halts the move if the
    /// new version proves worse by them. Must be called a few times a second.
    pub fn tick(&self) {
        if self.state.get() == State::Running {
            let (share, _) = self.shares();
            let is_proven = share > moves::UNPROVEN_SHARE;
            self.apply_verdict(self.monitor.tick(is_proven, Instant::now()));
        }
    }

    fn record_end(&self, number: u64, end: &call::End) {
        self.apply_verdict(self.monitor.end(number, end, Instant::now()));
    }

    fn apply_verdict(&self, verdict: Option<halt::Reason>) {
        if let Some(reason) = verdict.filter(|_| self.state.get() == State::Running) {
            self.halt();
            *self.verdict.borrow_mut() = Some(reason);
        }
    }

    /// Returns, once, the reason for which this host has halted the move.
    pub fn take_verdict(&self) -> Option<halt::Reason> {
        self.verdict.take()
    }
}

/// Selects one of the upstreams of a version. Upstreams in `tried_upstreams` are skipped as long as
/// another one may get calls from this host.
pub fn pick(
    selector: &placement::Selector<'_>,
    upstreams: &[Rc<upstream::Upstream>],
    tried_upstreams: &[name::Name],
) -> Option<placement::Choice> {
    if tried_upstreams.is_empty() {
        return selector.choose(upstreams);
    }
    let mut untried = upstreams.to_vec();
    untried.retain(|upstream| {
        !tried_upstreams.contains(upstream.name()) && selector.is_usable(upstream)
    });
    selector.choose(if untried.is_empty() { upstreams } else { &untried })
}

/// Returns the version that gets a service's calls while no move runs: the `current` one, as long
/// as it has upstreams. Any other version gets calls only by a move. Without a current version, the
/// one with the most slots is chosen; ties are broken by name.
pub fn active_version(
    upstreams: &[Rc<upstream::Upstream>],
    current: Option<name::Name>,
) -> Option<name::Name> {
    let mut slots: IndexMap<name::Name, u32> = IndexMap::new();
    for upstream in upstreams {
        *slots.entry(upstream.version()).or_default() += upstream.slots();
    }
    slots.sort_keys();
    if let Some(current) = current.filter(|version| slots.contains_key(version)) {
        return Some(current);
    }
    let most = slots.values().copied().max()?;
    slots.into_iter().find(|(_, slots)| *slots == most).map(|(version, _)| version)
}
