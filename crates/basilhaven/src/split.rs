//! The division of a service's calls between two versions while a move runs.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use indexmap::IndexMap;

use crate::moves::{self, evidence, halt, monitor};
use crate::{call, name, placement, profile, upstream};

/// Which share of the calls goes to the new version, and what they have shown of it.
#[derive(Debug)]
pub struct Split {
    id: call::Id,
    from: name::Name,
    to: name::Name,
    state: Cell<State>,
    idempotent: Credit,
    at_most_once: Credit,
    monitor: monitor::Monitor,
    verdict: RefCell<Option<halt::Reason>>,
}

/// How far the move is on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Calls are divided.
    Running,
    /// The new version gets all calls.
    Completed,
    /// It gets none.
    Halted,
}

/// Deals out calls evenly: of any first `n` calls, no more than the share of `n` go over.
#[derive(Debug, Default)]
struct Credit {
    share: Cell<u16>,
    balance: Cell<u16>,
}

impl Credit {
    fn is_due(&self) -> bool {
        self.balance.get() + self.share.get() >= moves::FULL_SHARE
    }

    /// Counts a call. One that was due and could not go over is made up for once, not by a burst.
    fn count(&self, went_over: bool) {
        let credit = self.balance.get() + self.share.get();
        let spent = if went_over { moves::FULL_SHARE } else { 0 };
        self.balance.set(credit.saturating_sub(spent).min(moves::FULL_SHARE));
    }
}

/// A call under way whose end is evidence.
#[derive(Debug)]
pub struct Observation {
    split: Rc<Split>,
    number: u64,
    is_new: bool,
}

impl Observation {
    /// Whether the new version runs the call.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// The call has ended.
    pub fn finish(self, end: &call::End) {
        self.split.record_end(self.number, end);
    }
}

impl Drop for Observation {
    fn drop(&mut self) {
        // After `finish`, the number is unknown and nothing happens.
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
            idempotent: Credit::default(),
            at_most_once: Credit::default(),
            monitor: monitor::Monitor::default(),
            verdict: RefCell::default(),
        };
        split.update(current);
        split
    }
}

impl Split {
    /// The move.
    pub fn id(&self) -> call::Id {
        self.id
    }

    /// How far the move is here.
    pub fn state(&self) -> State {
        self.state.get()
    }

    /// The shares of idempotent calls and of those that run at most once.
    pub fn shares(&self) -> (u16, u16) {
        match self.state.get() {
            State::Running => (self.idempotent.share.get(), self.at_most_once.share.get()),
            State::Completed => (moves::FULL_SHARE, moves::FULL_SHARE),
            State::Halted => (0, 0),
        }
    }

    /// What this host's calls have shown.
    pub fn monitor(&self) -> &monitor::Monitor {
        &self.monitor
    }

    /// Takes in what the row says now. A move that was stopped stays so, whatever the row says.
    pub fn update(&self, current: &moves::Move) {
        self.idempotent.share.set(current.share.min(moves::FULL_SHARE));
        self.at_most_once.share.set(current.once_share.min(moves::FULL_SHARE));
        if self.state.get() != State::Halted {
            self.state.set(match current.phase {
                moves::Phase::Running => State::Running,
                moves::Phase::Done => State::Completed,
                moves::Phase::RolledBack(_) => State::Halted,
            });
        }
    }

    /// Stops the move here.
    pub fn halt(&self) {
        self.state.set(State::Halted);
    }

    /// Chooses the version and the upstream of one call. Once an attempt has failed, the old version
    /// is tried.
    pub fn choose(
        &self,
        selector: &placement::Selector<'_>,
        upstreams: &[Rc<upstream::Upstream>],
        idempotency: profile::Idempotency,
        tried: &[name::Name],
    ) -> Option<placement::Choice> {
        let (new, others): (Vec<_>, Vec<_>) =
            upstreams.iter().cloned().partition(|upstream| upstream.version() == self.to);
        // A third version gets calls only where neither of the two is left.
        let (old, others): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|upstream| upstream.version() == self.from);
        let pick = |version: &[Rc<upstream::Upstream>]| pick(selector, version, tried);
        match self.state.get() {
            State::Completed if new.is_empty() => return pick(&others),
            State::Completed => return pick(&new),
            State::Halted if old.is_empty() => return pick(&others),
            State::Halted => return pick(&old),
            // Without the old version there is nothing to divide.
            State::Running if old.is_empty() => return pick(&new),
            State::Running if !tried.is_empty() => return pick(&old),
            State::Running => {}
        }
        let credit = match idempotency {
            profile::Idempotency::Idempotent => &self.idempotent,
            profile::Idempotency::AtMostOnce => &self.at_most_once,
        };
        let due = credit.is_due();
        let choice = if due { pick(&new).or_else(|| pick(&old)) } else { pick(&old) }?;
        credit.count(choice.upstream.version() == self.to);
        Some(choice)
    }

    /// Watches a call that goes to an upstream, while the move runs.
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

    /// Judges what shows with time only.
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

    /// Why this host has stopped the move, once.
    pub fn take_verdict(&self) -> Option<halt::Reason> {
        self.verdict.take()
    }
}

/// Chooses among upstreams of one version; those that were tried are passed over while others may get
/// calls from this host.
pub fn pick(
    selector: &placement::Selector<'_>,
    upstreams: &[Rc<upstream::Upstream>],
    tried: &[name::Name],
) -> Option<placement::Choice> {
    if tried.is_empty() {
        return selector.choose(upstreams);
    }
    let mut untried = upstreams.to_vec();
    untried.retain(|upstream| !tried.contains(upstream.name()) && selector.is_usable(upstream));
    selector.choose(if untried.is_empty() { upstreams } else { &untried })
}

/// The version that has a service's calls while no move says otherwise: the one that is `known` to, as
/// long as there are upstreams of it. A version that starts beside it waits for a move. A host that
/// meets several versions at once takes the one with the most slots, and of equals the first by name.
pub fn active_version(
    upstreams: &[Rc<upstream::Upstream>],
    known: Option<name::Name>,
) -> Option<name::Name> {
    let mut slots: IndexMap<name::Name, u32> = IndexMap::new();
    for upstream in upstreams {
        *slots.entry(upstream.version()).or_default() += upstream.slots();
    }
    slots.sort_keys();
    if let Some(known) = known.filter(|version| slots.contains_key(version)) {
        return Some(known);
    }
    let most = slots.values().copied().max()?;
    slots.into_iter().find(|(_, slots)| *slots == most).map(|(version, _)| version)
}
