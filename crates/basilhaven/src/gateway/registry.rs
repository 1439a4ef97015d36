//! The known upstreams, and which of them may take calls.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::{notify, store, upstream};

/// How long entries of live upstreams may be missing from the store's upstream list after the store
/// is reachable again; live upstreams write their entries again within two seconds.
const RELIST_TIME: Duration = Duration::from_millis(2200);

/// How long the store has to be unreachable before entries of live upstreams may expire: the
/// entries are renewed at every heartbeat, and expire after three missed ones.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// Missed heartbeats after which the store drops the entry of an upstream.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Longest lag until a host knows that the store has dropped an entry: two reads of the
/// upstream list.
const READ_LAG: Duration = Duration::from_millis(1200);

/// Default time between two heartbeats of an upstream.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// How long the last entries of removed upstreams are remembered. The store may come back from a
/// copy that still has them.
const REMOVAL_MEMORY: Duration = Duration::from_secs(60);

/// The most upstreams that one list may add or remove with a log line for each; one line summarizes
/// more. A host that starts on a tenth of a core reads hundreds of entries before it is ready.
const MAX_LINES_PER_LIST: usize = 8;

/// The last entry of an upstream that was removed.
#[derive(Debug, Clone, Copy)]
struct Removed {
    started_ms: u64,
    sequence: u64,
    is_leaving: bool,
    at: Instant,
}

/// A period in which entries of live upstreams may have expired because the store was unreachable.
#[derive(Debug, Clone, Copy)]
struct Outage {
    since: Instant,
    /// When all live upstreams are in the store's upstream list again.
    until: Instant,
}

/// The known upstreams by id, the evacuated data centres, and whether the store can be read.
#[derive(Debug)]
pub struct Registry {
    upstreams: RefCell<IndexMap<Rc<str>, Rc<upstream::Upstream>>>,
    removed: RefCell<IndexMap<Rc<str>, Removed>>,
    evacuated: RefCell<IndexSet<Rc<str>>>,
    /// The last outage of the store that has ended.
    outage: Cell<Option<Outage>>,
    /// Since when the store cannot be read; `None` while it can.
    store_unreachable_since: Cell<Option<Instant>>,
    /// Interval at which upstreams renew their entries.
    heartbeat_interval: Cell<Duration>,
    /// Notified when an upstream is added, removed or changed, and when evacuations change.
    pub changed: notify::Notifier,
}

impl Default for Registry {
    fn default() -> Registry {
        Registry {
            upstreams: RefCell::default(),
            removed: RefCell::default(),
            evacuated: RefCell::default(),
            outage: Cell::default(),
            store_unreachable_since: Cell::default(),
            heartbeat_interval: Cell::new(DEFAULT_HEARTBEAT_INTERVAL),
            changed: notify::Notifier::default(),
        }
    }
}

impl Registry {
    /// Sets the interval at which upstreams renew their entries.
    pub fn set_heartbeat_interval(&self, interval: Duration) {
        self.heartbeat_interval.set(interval);
    }

    /// Applies an entry of the store's upstream list, or the removal of the entry.
    pub fn apply(&self, id: Rc<str>, entry: Option<upstream::Entry>, now: Instant) {
        self.apply_entry(id, entry, true, now);
        self.changed.notify();
    }

    /// Applies an entry or its removal; with `is_logged`, an added or removed upstream is logged.
    fn apply_entry(
        &self,
        id: Rc<str>,
        entry: Option<upstream::Entry>,
        is_logged: bool,
        now: Instant,
    ) {
        let known = self.upstreams.borrow().get(&id).cloned();
        match (known, entry) {
            (Some(known), Some(entry)) => known.update(entry, now),
            (None, Some(entry)) if self.was_removed(&id, &entry) => {
                tracing::info!(event = "entry_outdated", upstream = &*id, beat = entry.sequence);
            }
            (None, Some(mut entry)) => {
                entry.is_leaving |= self.was_leaving(&id, &entry);
                if is_logged {
                    tracing::info!(
                        event = "upstream_listed",
                        upstream = &*id,
                        service = &*entry.service,
                        version = &*entry.version,
                        cold_ms = entry.cold_remaining.as_millis() as u64,
                    );
                }
                let upstream = Rc::new(upstream::Upstream::new(Rc::clone(&id), entry, now));
                self.upstreams.borrow_mut().insert(id, upstream);
            }
            (Some(known), None) => {
                if is_logged && known.removed_at().is_none() {
                    tracing::info!(event = "upstream_unlisted", upstream = &*id);
                }
                known.mark_removed(now);
            }
            (None, None) => {}
        }
    }

    /// Returns whether an entry, or its removal, changes what this host knows of an upstream.
    pub fn is_update(&self, id: &str, entry: Option<&upstream::Entry>, now: Instant) -> bool {
        match (self.upstreams.borrow().get(id), entry) {
            (Some(known), Some(entry)) => known.is_update(entry, now),
            (Some(known), None) => known.removed_at().is_none(),
            (None, entry) => entry.is_some_and(|entry| !self.was_removed(id, entry)),
        }
    }

    /// Returns whether an entry is not newer than the last one of an upstream that was removed.
    fn was_removed(&self, id: &str, entry: &upstream::Entry) -> bool {
        self.removed.borrow().get(id).is_some_and(|removed| {
            (entry.started_ms, entry.sequence) <= (removed.started_ms, removed.sequence)
        })
    }

    /// Returns whether an upstream that was removed has said that it is leaving, and has not started
    /// anew since.
    fn was_leaving(&self, id: &str, entry: &upstream::Entry) -> bool {
        let removed = self.removed.borrow();
        removed.get(id).is_some_and(|last| last.is_leaving && last.started_ms == entry.started_ms)
    }

    /// Records that an upstream has said to another host that it is leaving.
    pub fn mark_leaving(&self, id: &str) {
        if let Some(upstream) = self.upstreams.borrow().get(id) {
            upstream.mark_leaving(upstream::Source::Host);
        }
    }

    /// Records the sequence number of an entry that an upstream has renewed without other changes.
    pub fn renew(&self, id: &str, entry: &upstream::Entry, now: Instant) {
        if let Some(known) = self.upstreams.borrow().get(id) {
            known.renew(entry, now);
        }
    }

    /// Applies the complete upstream list: entries that are not in it count as removed.
    pub fn replace(&self, entries: Vec<(Rc<str>, Option<upstream::Entry>)>, now: Instant) {
        let listed: IndexSet<Rc<str>> =
            entries.iter().filter(|(_, e)| e.is_some()).map(|(id, _)| Rc::clone(id)).collect();
        let (added, missing) = {
            let upstreams = self.upstreams.borrow();
            let added = listed.iter().filter(|id| !upstreams.contains_key(*id)).count();
            let present = upstreams.values().filter(|u| u.removed_at().is_none());
            let missing = present.filter(|u| !listed.contains(&u.id)).map(|u| Rc::clone(&u.id));
            (added, missing.collect::<Vec<Rc<str>>>())
        };
        let is_logged = added + missing.len() <= MAX_LINES_PER_LIST;
        if !is_logged {
            let (listed, missing) = (listed.len(), missing.len());
            tracing::info!(event = "upstreams_listed", listed, added, missing);
        }
        for (id, entry) in entries {
            self.apply_entry(id, entry, is_logged, now);
        }
        missing.into_iter().for_each(|id| self.apply_entry(id, None, is_logged, now));
        self.changed.notify();
    }

    /// Sets whether the store can be read.
    pub fn set_store_reachable(&self, is_reachable: bool, now: Instant) {
        match (is_reachable, self.store_unreachable_since.get()) {
            (true, Some(_)) => {
                if let Some(since) = self.expiring_since(now).filter(|_| self.has_store_outage(now))
                {
                    self.outage.set(Some(Outage { since, until: now + RELIST_TIME }));
                }
                self.store_unreachable_since.set(None);
            }
            (false, None) => self.store_unreachable_since.set(Some(now)),
            (true, None) | (false, Some(_)) => {}
        }
    }

    /// Records that the store has come back from a copy. Entries that the copy does not have are
    /// written again by live upstreams, as after an outage.
    pub fn record_restore(&self, now: Instant) {
        let since = self.expiring_since(now).unwrap_or(now);
        self.outage.set(Some(Outage { since, until: now + RELIST_TIME }));
    }

    /// Sets whether a data centre is evacuated, so that its upstreams get no more calls.
    pub fn set_evacuated(&self, data_centre: Rc<str>, is_evacuated: bool) {
        match is_evacuated {
            true => self.evacuated.borrow_mut().insert(data_centre),
            false => self.evacuated.borrow_mut().shift_remove(&data_centre),
        };
        self.changed.notify();
    }

    /// Replaces the set of evacuated data centres.
    pub fn replace_evacuations(&self, data_centres: IndexSet<Rc<str>>) {
        *self.evacuated.borrow_mut() = data_centres;
        self.changed.notify();
    }

    /// Returns the evacuated data centres.
    pub fn evacuations(&self) -> Vec<Rc<str>> {
        self.evacuated.borrow().iter().cloned().collect()
    }

    /// Returns the entries of all upstreams that are in the store's upstream list, as changes for
    /// another host.
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

    /// Removes upstreams whose entries were removed so long ago that no late write can bring them
    /// back, and closes connections that have been idle for too long.
    pub fn prune(&self, now: Instant) {
        let mut upstreams = self.upstreams.borrow_mut();
        let is_recent = |u: &upstream::Upstream| {
            let since = u.removed_at();
            since.is_some_and(|at| now.saturating_duration_since(at) < upstream::LATE_WRITE_TIME)
        };
        let mut removed = self.removed.borrow_mut();
        removed.retain(|_, last| now.saturating_duration_since(last.at) < REMOVAL_MEMORY);
        upstreams.retain(|id, u| {
            let is_kept = u.in_flight() > 0 || is_recent(u) || !self.is_removed(u, now);
            if !is_kept {
                let entry = u.entry();
                let last = Removed {
                    started_ms: entry.started_ms,
                    sequence: entry.sequence,
                    is_leaving: entry.is_leaving,
                    at: now,
                };
                removed.insert(Rc::clone(id), last);
            }
            is_kept
        });
        upstreams.values().for_each(|u| u.close_expired_idle(now));
    }

    /// Returns the versions of which upstreams of a service are listed.
    pub fn versions_of(&self, service: &str) -> IndexSet<Rc<str>> {
        let all = self.upstreams_of(service);
        all.iter().map(|upstream| Rc::clone(&upstream.entry().version)).collect()
    }

    /// Returns all upstreams of a service, including those that may not take calls.
    pub fn upstreams_of(&self, service: &str) -> Vec<Rc<upstream::Upstream>> {
        let upstreams = self.upstreams.borrow();
        upstreams.values().filter(|u| &*u.entry().service == service).cloned().collect()
    }

    /// Returns the upstreams that may take calls, by service.
    pub fn eligible_by_service(
        &self,
        now: Instant,
    ) -> IndexMap<Rc<str>, Vec<Rc<upstream::Upstream>>> {
        let mut by_service: IndexMap<Rc<str>, Vec<Rc<upstream::Upstream>>> = IndexMap::new();
        for upstream in self.upstreams.borrow().values() {
            if self.is_eligible(upstream, now) {
                let service = Rc::clone(&upstream.entry().service);
                by_service.entry(service).or_default().push(Rc::clone(upstream));
            }
        }
        by_service
    }

    /// Returns the total slots of the upstreams that are not removed, whether or not they may take
    /// calls.
    pub fn total_slots(&self, now: Instant) -> usize {
        let upstreams = self.upstreams.borrow();
        let present = upstreams.values().filter(|u| !self.is_removed(u, now));
        present.map(|u| u.entry().slots as usize).sum()
    }

    /// Returns the number of known upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.borrow().len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.borrow().is_empty()
    }

    /// Returns whether an upstream may take calls: its entry was not removed, it is not leaving,
    /// and its data centre is not evacuated.
    pub fn is_eligible(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        let entry = upstream.entry();
        !entry.is_leaving
            && !self.is_removed(upstream, now)
            && !self.evacuated.borrow().contains(&entry.data_centre)
    }

    /// Returns whether an upstream may be leaving although its entry does not say so: its health
    /// check has begun to fail.
    ///
    /// An upstream that leaves stops writing entries as ready. If an entry as ready still exists
    /// after the time in which it would have expired, the upstream wrote it after the check began
    /// to fail and is not leaving; from then on only its recorded failures count against it. While
    /// the store is unreachable, an upstream cannot announce that it is leaving, and goes on
    /// serving until it can.
    pub fn may_be_leaving(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        let Some(since) = upstream.unhealthy_since() else { return false };
        let expiry = self.heartbeat_interval.get() * MAX_MISSED_HEARTBEATS + READ_LAG;
        let lost = self.store_unreachable_since.get().filter(|_| self.has_store_outage(now));
        now.saturating_duration_since(since) < expiry && lost.is_none_or(|lost| since < lost)
    }

    /// Returns the upstreams that are not suspected of leaving, or all if every one is, so that
    /// false results of health checks cannot leave a service without upstreams.
    pub fn prefer_healthy<'a>(
        &self,
        upstreams: Vec<&'a Rc<upstream::Upstream>>,
        now: Instant,
    ) -> Vec<&'a Rc<upstream::Upstream>> {
        let is_staying = |u: &&Rc<upstream::Upstream>| !self.may_be_leaving(u, now);
        match upstreams.iter().any(is_staying) {
            true => upstreams.into_iter().filter(is_staying).collect(),
            false => upstreams,
        }
    }

    /// Returns whether the store has been unreachable for so long that entries of live upstreams
    /// may expire.
    fn has_store_outage(&self, now: Instant) -> bool {
        let lost = self.store_unreachable_since.get();
        lost.is_some_and(|since| now.saturating_duration_since(since) >= MIN_OUTAGE)
    }

    /// Returns since when entries that are missing from the upstream list may belong to live
    /// upstreams: during an outage of the store and shortly after it. Returns `None` if all missing
    /// entries were removed by their upstreams or expired with them.
    fn expiring_since(&self, now: Instant) -> Option<Instant> {
        let lost = self.store_unreachable_since.get().filter(|_| self.has_store_outage(now));
        match (lost, self.outage.get()) {
            // The store became unreachable again before all upstreams had renewed their entries.
            (Some(lost), Some(outage)) if lost < outage.until => Some(outage.since),
            (Some(lost), _) => Some(lost),
            (None, Some(outage)) if now < outage.until => Some(outage.since),
            (None, _) => None,
        }
    }

    /// Returns whether an upstream was removed, and not just unable to renew its entry. An upstream
    /// that was removed before the store became unreachable stays removed.
    fn is_removed(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        let expiring = self.expiring_since(now);
        let is_certain = |since| expiring.is_none_or(|from| since < from);
        upstream.removed_at().is_some_and(is_certain)
    }
}
