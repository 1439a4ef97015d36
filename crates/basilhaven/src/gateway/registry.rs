//! The upstreams that are known, and which of them may take a call.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::{notify, store, upstream};

/// How long after the store's return an upstream may be missing from the list: live ones are listed
/// again within two seconds.
const RELIST_TIME: Duration = Duration::from_millis(2200);

/// How long the store has to be away until entries of live upstreams may lapse: they are renewed at
/// every heartbeat, and lapse after three.
const LAPSE_TIME: Duration = Duration::from_secs(1);

/// Heartbeats after which the store drops the entry of an upstream that sends none.
const LAPSE_BEATS: u32 = 3;

/// How much later than the store a host knows that an entry was dropped: two reads of the list.
const READ_LAG: Duration = Duration::from_millis(1200);

/// The time between two heartbeats of an upstream, unless a setting says otherwise.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// A time in which entries of live upstreams may have lapsed.
#[derive(Debug, Clone, Copy)]
struct Outage {
    since: Instant,
    /// When those that live are listed again.
    until: Instant,
}

/// Entries of a list, as it changes.
#[derive(Debug)]
pub struct Registry {
    upstreams: RefCell<IndexMap<Rc<str>, Rc<upstream::Upstream>>>,
    evacuated: RefCell<IndexSet<Rc<str>>>,
    /// The last time for which the store was away.
    outage: Cell<Option<Outage>>,
    /// Since when the store can't be read.
    store_lost: Cell<Option<Instant>>,
    heartbeat: Cell<Duration>,
    /// Notified when upstreams come, go or change.
    pub changed: notify::Notifier,
}

impl Default for Registry {
    fn default() -> Registry {
        Registry {
            upstreams: RefCell::default(),
            evacuated: RefCell::default(),
            outage: Cell::default(),
            store_lost: Cell::default(),
            heartbeat: Cell::new(HEARTBEAT),
            changed: notify::Notifier::default(),
        }
    }
}

impl Registry {
    /// Sets how often upstreams write their entries.
    pub fn set_heartbeat_interval(&self, heartbeat: Duration) {
        self.heartbeat.set(heartbeat);
    }

    /// Takes in an entry of the list, or that there is none under this id.
    pub fn apply(&self, id: Rc<str>, entry: Option<upstream::Entry>, now: Instant) {
        let known = self.upstreams.borrow().get(&id).cloned();
        match (known, entry) {
            (Some(known), Some(entry)) => known.update(entry, now),
            (None, Some(entry)) => {
                tracing::info!(
                    event = "upstream_listed",
                    upstream = &*id,
                    service = &*entry.service,
                    version = &*entry.version,
                    cold_ms = entry.cold_remaining.as_millis() as u64,
                );
                let upstream = Rc::new(upstream::Upstream::new(Rc::clone(&id), entry, now));
                self.upstreams.borrow_mut().insert(id, upstream);
            }
            (Some(known), None) => {
                tracing::info!(event = "upstream_unlisted", upstream = &*id);
                known.mark_removed(now);
            }
            (None, None) => {}
        }
        self.changed.notify();
    }

    /// Whether an entry, or that there is none under this id, says more than is known.
    pub fn is_update(&self, id: &str, entry: Option<&upstream::Entry>, now: Instant) -> bool {
        match (self.upstreams.borrow().get(id), entry) {
            (Some(known), Some(entry)) => known.is_update(entry, now),
            (Some(known), None) => known.removed_at().is_none(),
            (None, entry) => entry.is_some(),
        }
    }

    /// Takes in an entry that says nothing new.
    pub fn renew(&self, id: &str, entry: &upstream::Entry, now: Instant) {
        if let Some(known) = self.upstreams.borrow().get(id) {
            known.renew(entry, now);
        }
    }

    /// Takes in the whole list: what is not in it is gone.
    pub fn replace(&self, entries: Vec<(Rc<str>, Option<upstream::Entry>)>, now: Instant) {
        let listed: IndexSet<Rc<str>> =
            entries.iter().filter(|(_, e)| e.is_some()).map(|(id, _)| Rc::clone(id)).collect();
        for (id, entry) in entries {
            self.apply(id, entry, now);
        }
        let missing: Vec<Rc<str>> = {
            let upstreams = self.upstreams.borrow();
            upstreams.keys().filter(|id| !listed.contains(*id)).cloned().collect()
        };
        missing.into_iter().for_each(|id| self.apply(id, None, now));
    }

    /// Notes whether the list can be read.
    pub fn set_store_reachable(&self, reachable: bool, now: Instant) {
        match (reachable, self.store_lost.get()) {
            (true, Some(_)) => {
                if let Some(since) = self.lapsing_since(now).filter(|_| self.is_store_lost(now)) {
                    self.outage.set(Some(Outage { since, until: now + RELIST_TIME }));
                }
                self.store_lost.set(None);
            }
            (false, None) => self.store_lost.set(Some(now)),
            (true, None) | (false, Some(_)) => {}
        }
    }

    /// Notes that a data centre gets nothing more, or may get calls again.
    pub fn set_evacuated(&self, data_centre: Rc<str>, ordered: bool) {
        match ordered {
            true => self.evacuated.borrow_mut().insert(data_centre),
            false => self.evacuated.borrow_mut().shift_remove(&data_centre),
        };
        self.changed.notify();
    }

    /// Replaces the data centres that get nothing.
    pub fn replace_evacuations(&self, data_centres: IndexSet<Rc<str>>) {
        *self.evacuated.borrow_mut() = data_centres;
        self.changed.notify();
    }

    /// The data centres that get nothing.
    pub fn evacuations(&self) -> Vec<Rc<str>> {
        self.evacuated.borrow().iter().cloned().collect()
    }

    /// The list as it is known, without what is missing from it.
    pub fn snapshot(&self, now: Instant) -> Vec<store::Change> {
        let upstreams = self.upstreams.borrow();
        let listed = upstreams.values().filter(|u| u.removed_at().is_none());
        let change = |u: &Rc<upstream::Upstream>| store::Change::Upstream {
            id: Rc::clone(&u.id),
            entry: Some(upstream::Entry {
                cold_remaining: u.cold_remaining(now),
                ..u.entry().clone()
            }),
        };
        listed.map(change).collect()
    }

    /// Drops upstreams whose entries are missing for good and can't come late any more, and idle connections.
    pub fn prune(&self, now: Instant) {
        let mut upstreams = self.upstreams.borrow_mut();
        let is_recent = |u: &upstream::Upstream| {
            let since = u.removed_at();
            since.is_some_and(|at| now.saturating_duration_since(at) < upstream::LATE_WRITE_TIME)
        };
        upstreams.retain(|_, u| u.in_flight() > 0 || is_recent(u) || !self.is_gone(u, now));
        upstreams.values().for_each(|u| u.close_expired_idle(now));
    }

    /// All upstreams of a service, whether they may take calls or not.
    pub fn upstreams_of(&self, service: &str) -> Vec<Rc<upstream::Upstream>> {
        let upstreams = self.upstreams.borrow();
        upstreams.values().filter(|u| &*u.entry().service == service).cloned().collect()
    }

    /// Calls that all upstreams together run at once, whether these may take calls or not.
    pub fn total_slots(&self, now: Instant) -> usize {
        let upstreams = self.upstreams.borrow();
        let here = upstreams.values().filter(|u| !self.is_gone(u, now));
        here.map(|u| u.entry().slots as usize).sum()
    }

    /// How many upstreams are known.
    pub fn len(&self) -> usize {
        self.upstreams.borrow().len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.borrow().is_empty()
    }

    /// Whether an upstream may get calls.
    pub fn is_eligible(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        let entry = upstream.entry();
        !entry.is_leaving
            && !self.is_gone(upstream, now)
            && !self.evacuated.borrow().contains(&entry.data_centre)
    }

    /// Whether an upstream may be leaving, by its health check, though its entry does not say so.
    ///
    /// An upstream that leaves stops writing that it is ready: an entry that is still there once it would have
    /// lapsed was written after the check began to fail, and then failures decide. While the store is away, an
    /// upstream can't have told it of its leaving, and serves until it has.
    pub fn may_be_leaving(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        let Some(since) = upstream.unhealthy_since() else { return false };
        let memory = self.heartbeat.get() * LAPSE_BEATS + READ_LAG;
        let lost = self.store_lost.get().filter(|_| self.is_store_lost(now));
        now.saturating_duration_since(since) < memory && lost.is_none_or(|lost| since < lost)
    }

    /// Those that are not doubtful, or all where every one is: false health answers empty no service.
    pub fn prefer_healthy<'a>(
        &self,
        upstreams: Vec<&'a Rc<upstream::Upstream>>,
        now: Instant,
    ) -> Vec<&'a Rc<upstream::Upstream>> {
        let is_sure = |u: &&Rc<upstream::Upstream>| !self.may_be_leaving(u, now);
        match upstreams.iter().any(is_sure) {
            true => upstreams.into_iter().filter(is_sure).collect(),
            false => upstreams,
        }
    }

    /// Whether the store has been away for so long that entries of live upstreams may lapse.
    fn is_store_lost(&self, now: Instant) -> bool {
        let lost = self.store_lost.get();
        lost.is_some_and(|since| now.saturating_duration_since(since) >= LAPSE_TIME)
    }

    /// Since when missing entries may be those of live upstreams: while the store is away, and shortly after its
    /// return. `None` while an entry that is missing was removed.
    fn lapsing_since(&self, now: Instant) -> Option<Instant> {
        let lost = self.store_lost.get().filter(|_| self.is_store_lost(now));
        match (lost, self.outage.get()) {
            // Lost again before all were listed.
            (Some(lost), Some(outage)) if lost < outage.until => Some(outage.since),
            (Some(lost), _) => Some(lost),
            (None, Some(outage)) if now < outage.until => Some(outage.since),
            (None, _) => None,
        }
    }

    /// Whether an entry is missing for good. One that was removed before the store was lost stays so.
    fn is_gone(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        let lapsing = self.lapsing_since(now);
        let is_removed = |since| lapsing.is_none_or(|from| since < from);
        upstream.removed_at().is_some_and(is_removed)
    }
}
