//! The membership table: the entry hosts known to this host, and the merge rules for their status.
//!
//! Each host announces a status of itself with an incarnation number. A status of a higher
//! incarnation replaces those of lower ones, so a host raises its incarnation to refute a suspicion
//! or to supersede an older process of its name.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use local_sync::semaphore::Semaphore;
use serde::{Deserialize, Serialize};

use crate::{gossip, name, replica};

/// Time that a suspected host has to refute before it is considered dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which this host's digest must be unchanged before a different digest of another host
/// counts as divergence rather than as gossip that has not arrived yet.
const STABLE_AFTER: Duration = Duration::from_secs(1);

/// Time that a dead host stays in the table, where it is still probed at a low rate.
const DEAD_RETENTION: Duration = Duration::from_secs(3600);

/// Time that a dead host stays in the table if it had announced that it was leaving.
const LEFT_RETENTION: Duration = Duration::from_secs(60);

/// The description of a host, as the host announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host.
    pub name: name::Name,
    /// Orders the statuses of the host: higher for a later process, and raised to refute a
    /// suspicion.
    pub incarnation: u64,
    /// The data centre in which the host runs.
    pub data_centre: name::Name,
    /// The address at which it accepts calls.
    pub callers: SocketAddr,
    /// The address of its admin interface.
    pub admin: SocketAddr,
    /// The address at which it receives frames and messages of its peers.
    pub peer: SocketAddr,
    /// Whether the host is about to stop.
    pub leaving: bool,
    /// The revisions of the replicated rows (see [`replica::Row`]) that the host has applied.
    pub revisions: replica::Revisions,
}

/// Identifies a host in frames: a hash of its name, data centre and addresses, which are constant
/// for the lifetime of the process.
///
/// A host that restarts under the same name at other addresses gets another id, so that a status of
/// the old process is never applied to the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id([u8; 6]);

/// A hash of the hosts that are known and not dead, and of the revisions that they have applied.
/// Hosts compare their digests to detect that their tables differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u8; 4]);

/// The part of a host's description that changes at run time, as frames carry it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The id of the host.
    pub id: Id,
    /// The incarnation of the host that this status describes.
    pub incarnation: u64,
    /// Whether the host is about to stop.
    pub leaving: bool,
    /// Whether the host failed to answer a probe.
    pub suspect: bool,
    /// The revisions of the rows that the host has applied.
    pub revisions: replica::Revisions,
}

/// The health of a host as seen by the failure detector.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// The host answers probes.
    #[display("alive")]
    Alive,
    /// The host failed to answer a probe and may still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// The host did not refute the suspicion within [`SUSPICION_TIMEOUT`].
    #[display("dead")]
    Dead,
}

impl Host {
    /// Computes the id of the host.
    pub fn id(&self) -> Id {
        let Host { name, data_centre, callers, admin, peer, .. } = self;
        let text = format!("{name} {data_centre} {callers} {admin} {peer}");
        let hash = rapidhash::v3::rapidhash_v3(text.as_bytes()).to_le_bytes();
        Id([hash[0], hash[1], hash[2], hash[3], hash[4], hash[5]])
    }

    /// Returns the status of the host, given its health.
    pub fn status(&self, health: Health) -> Status {
        Status {
            id: self.id(),
            incarnation: self.incarnation,
            leaving: self.leaving,
            suspect: health >= Health::Suspect,
            revisions: self.revisions,
        }
    }
}

/// The effect of merging information about a host into the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Nothing changed: the information was known already or is outdated.
    Unchanged,
    /// Something changed that the next regular frames carry to other hosts.
    Deferred,
    /// Something changed that is broadcast to other hosts at once.
    Urgent,
    /// The host is not in the table; its description has to be fetched by a full exchange, which
    /// requests the whole table of another host.
    UnknownHost,
}

/// The table of entry hosts, including this host.
#[derive(Debug)]
pub struct Table {
    own: RefCell<Host>,
    id: Id,
    is_leaving: Cell<bool>,
    others: RefCell<IndexMap<Id, Entry>>,
    updates: RefCell<gossip::Queue>,
    // Gets a permit for each urgent change.
    urgent_changes: Semaphore,
    // The digest computed last, and the time at which it was first computed with this value.
    digest: Cell<(Digest, Instant)>,
}

#[derive(Debug)]
struct Entry {
    host: Host,
    health: Health,
    // The time of the last change of `health`; pauses of this process move it forward.
    health_since: Instant,
}

impl Entry {
    fn set_health(&mut self, health: Health) {
        if self.health == health {
            return;
        }
        tracing::info!(event = "member", host = %self.host.name, from = %self.health, to = %health);
        self.health = health;
        self.health_since = Instant::now();
    }

    /// Merges a status of the same host. The result does not depend on the order in which statuses
    /// arrive: a higher incarnation replaces a lower one; within one incarnation, `leaving` and
    /// `suspect` are never cleared and revisions never fall.
    fn merge(&mut self, theirs: &Status) -> Change {
        if theirs.incarnation < self.host.incarnation {
            return Change::Unchanged;
        }
        let health = if theirs.suspect { Health::Suspect } else { Health::Alive };
        let before = (self.host.incarnation, self.host.leaving, self.health, self.host.revisions);
        if theirs.incarnation > self.host.incarnation {
            self.host.incarnation = theirs.incarnation;
            self.host.leaving = theirs.leaving;
            self.host.revisions = theirs.revisions;
            self.set_health(health);
        } else {
            self.host.leaving |= theirs.leaving;
            self.host.revisions = self.host.revisions.max(&theirs.revisions);
            self.set_health(self.health.max(health));
        }
        let after = (self.host.incarnation, self.host.leaving, self.health, self.host.revisions);
        match before == after {
            true => Change::Unchanged,
            false if (before.1, before.2) == (after.1, after.2) => Change::Deferred,
            false => Change::Urgent,
        }
    }

    fn is_expired(&self) -> bool {
        let retention = if self.host.leaving { LEFT_RETENTION } else { DEAD_RETENTION };
        self.health == Health::Dead && self.health_since.elapsed() > retention
    }
}

impl Table {
    /// Creates a table that contains only this host.
    pub fn new(own: Host) -> Table {
        Table {
            id: own.id(),
            is_leaving: Cell::new(own.leaving),
            own: RefCell::new(own),
            others: RefCell::default(),
            updates: RefCell::default(),
            urgent_changes: Semaphore::new(0),
            digest: Cell::new((Digest::default(), Instant::now())),
        }
    }

    /// Returns the description of this host.
    pub fn own(&self) -> Host {
        self.own.borrow().clone()
    }

    /// Returns the status of this host.
    pub fn own_status(&self) -> Status {
        self.own.borrow().status(Health::Alive)
    }

    /// Returns whether this host is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Announces that this host is about to stop.
    pub fn leave(&self) {
        self.is_leaving.set(true);
        self.own.borrow_mut().leaving = true;
        self.enqueue(self.id, Change::Urgent);
    }

    /// Announces the revisions that this host has applied.
    pub fn set_revisions(&self, revisions: replica::Revisions) {
        self.own.borrow_mut().revisions = revisions;
        self.enqueue(self.id, Change::Urgent);
    }

    /// Raises this host's incarnation above `incarnation`, at which other hosts consider this host
    /// suspect, dead or an older process. Does nothing if it is higher already.
    pub fn refute(&self, incarnation: u64) {
        let mut own = self.own.borrow_mut();
        if incarnation < own.incarnation {
            return;
        }
        own.incarnation = incarnation + 1;
        tracing::info!(event = "refuted", incarnation = own.incarnation);
        drop(own);
        self.enqueue(self.id, Change::Urgent);
    }

    /// Merges a status of any host, received from that host or from another one.
    pub fn merge(&self, theirs: &Status) -> Change {
        if theirs.id == self.id {
            let is_undisputed =
                !theirs.suspect && theirs.incarnation <= self.own.borrow().incarnation;
            if !is_undisputed {
                self.refute(theirs.incarnation);
            }
            return Change::Unchanged;
        }
        let change = match self.others.borrow_mut().get_mut(&theirs.id) {
            Some(entry) => entry.merge(theirs),
            None => Change::UnknownHost,
        };
        self.enqueue(theirs.id, change);
        change
    }

    /// Adds a host, or merges its status if it is known; it replaces a host of the same name with a
    /// lower incarnation.
    pub fn discover(&self, host: Host, health: Health) -> Change {
        let id = host.id();
        if id == self.id || host.name == self.own.borrow().name {
            return self.merge_own_name(&host, health);
        }
        if self.others.borrow().contains_key(&id) {
            return self.merge(&host.status(health));
        }
        let mut others = self.others.borrow_mut();
        let same_name = others.values().find(|entry| entry.host.name == host.name);
        if let Some(entry) = same_name {
            if entry.host.incarnation >= host.incarnation {
                return Change::Unchanged;
            }
            let older = entry.host.id();
            others.shift_remove(&older);
        }
        tracing::info!(event = "member", host = %host.name, from = "unknown", to = %health);
        others.insert(id, Entry { host, health, health_since: Instant::now() });
        drop(others);
        self.updates.borrow_mut().add_host(id);
        Change::Deferred
    }

    /// Merges the view of another host. The first view, which this host receives when it joins, is
    /// not gossiped further: the other hosts know its content already.
    pub fn merge_view(&self, view: Vec<(Host, Health)>) {
        let is_first = self.others.borrow().is_empty();
        for (host, health) in view {
            self.discover(host, health);
        }
        if is_first {
            self.updates.borrow_mut().clear();
        }
    }

    /// Handles the description of a host with this host's name: this process, an older process of
    /// this host, or another host that was given the same name by mistake.
    fn merge_own_name(&self, host: &Host, health: Health) -> Change {
        if host.id() == self.id {
            return self.merge(&host.status(health));
        }
        if host.incarnation >= self.own.borrow().incarnation {
            tracing::warn!(event = "name_taken", host = %host.name, peer = %host.peer);
            self.refute(host.incarnation);
        }
        Change::Unchanged
    }

    /// Returns the incarnation that a host which announces `status` of itself has to exceed, or
    /// `None` unless this table has the host as suspect, as dead or with a higher incarnation.
    pub fn incarnation_to_refute(&self, status: &Status) -> Option<u64> {
        let others = self.others.borrow();
        let entry = others.get(&status.id)?;
        let is_disputed =
            entry.health > Health::Alive || entry.host.incarnation > status.incarnation;
        is_disputed.then_some(entry.host.incarnation)
    }

    /// Returns the incarnation of a different host under the name of `host` if it is not lower than
    /// that of `host`.
    pub fn name_conflict(&self, host: &Host) -> Option<u64> {
        let others = self.others.borrow();
        let id = host.id();
        let same_name =
            others.iter().find(|(other, entry)| **other != id && entry.host.name == host.name);
        let incarnation = same_name.map(|(_, entry)| entry.host.incarnation);
        incarnation.filter(|incarnation| *incarnation >= host.incarnation)
    }

    /// Marks a host as suspect after it failed to answer a probe; `incarnation` is its incarnation
    /// when the probe was sent.
    pub fn suspect(&self, id: Id, incarnation: u64) {
        let Some((host, _)) = self.find(id) else { return };
        let status = Status { incarnation, ..host.status(Health::Suspect) };
        self.merge(&status);
    }

    /// Marks suspects as dead after [`SUSPICION_TIMEOUT`], and removes dead hosts after their
    /// retention time.
    ///
    /// `pause` is the length of a process pause of this host. It extends the time of the suspects,
    /// whose refutations could not be received meanwhile.
    pub fn expire(&self, pause: Duration) {
        let mut others = self.others.borrow_mut();
        for entry in others.values_mut().filter(|entry| entry.health == Health::Suspect) {
            entry.health_since += pause;
            if entry.health_since.elapsed() >= SUSPICION_TIMEOUT {
                entry.set_health(Health::Dead);
            }
        }
        others.retain(|_, entry| !entry.is_expired());
    }

    fn enqueue(&self, id: Id, change: Change) {
        if matches!(change, Change::Deferred | Change::Urgent) {
            self.updates.borrow_mut().add_change(id);
        }
        if change == Change::Urgent {
            self.urgent_changes.add_permits(1);
        }
    }

    /// Waits for a change that is to be broadcast at once.
    pub async fn urgent_update(&self) {
        if let Ok(permit) = self.urgent_changes.acquire().await {
            permit.forget();
        }
        while let Ok(permit) = self.urgent_changes.try_acquire() {
            permit.forget();
        }
    }

    /// Returns whether changes are queued for gossip.
    pub fn has_updates(&self) -> bool {
        !self.updates.borrow().is_empty()
    }

    /// Returns the updates for the next frame, those sent least often first.
    pub fn next_updates(&self) -> Vec<gossip::Update> {
        let host_count = self.others.borrow().len();
        self.updates.borrow_mut().next_batch(host_count, |id| self.find(id))
    }

    /// Finds a host by its id, whatever its health.
    pub fn find(&self, id: Id) -> Option<(Host, Health)> {
        if id == self.id {
            return Some((self.own(), Health::Alive));
        }
        self.others.borrow().get(&id).map(|entry| (entry.host.clone(), entry.health))
    }

    /// Returns the other hosts that have this health.
    pub fn with_health(&self, health: Health) -> Vec<Host> {
        let others = self.others.borrow();
        others
            .values()
            .filter(|entry| entry.health == health)
            .map(|entry| entry.host.clone())
            .collect()
    }

    /// Returns the other hosts that are not dead, including leaving and suspected ones.
    pub fn others(&self) -> Vec<Host> {
        let others = self.others.borrow();
        others
            .values()
            .filter(|entry| entry.health < Health::Dead)
            .map(|entry| entry.host.clone())
            .collect()
    }

    /// Returns all hosts that are not dead, including this one, for a full exchange.
    pub fn view(&self) -> Vec<(Host, Health)> {
        let others = self.others.borrow();
        let alive = others.values().filter(|entry| entry.health < Health::Dead);
        let mut view: Vec<_> = alive.map(|entry| (entry.host.clone(), entry.health)).collect();
        view.push((self.own(), Health::Alive));
        view
    }

    /// Computes the digest of the hosts that are known and not dead, and of their revisions.
    pub fn digest(&self) -> Digest {
        let others = self.others.borrow();
        let own = self.own.borrow();
        let alive = others.iter().filter(|(_, entry)| entry.health < Health::Dead);
        let alive = alive.map(|(id, entry)| (id, &entry.host.revisions));
        let mut sum = 0;
        for (id, revisions) in alive.chain([(&self.id, &own.revisions)]) {
            let bytes = postcard::to_stdvec(&(id, revisions)).unwrap_or_default();
            sum ^= rapidhash::v3::rapidhash_v3(&bytes) as u32;
        }
        let digest = Digest(sum.to_le_bytes());
        if digest != self.digest.get().0 {
            self.digest.set((digest, Instant::now()));
        }
        digest
    }

    /// Returns whether the digest of another host differs from this host's digest, and the latter
    /// has not changed for `STABLE_AFTER`.
    pub fn diverges_from(&self, theirs: Digest) -> bool {
        self.digest() != theirs && self.digest.get().1.elapsed() > STABLE_AFTER
    }

    /// Returns the hosts that may serve callers: those alive and not leaving, sorted by name.
    pub fn serving(&self) -> Vec<Host> {
        let mut hosts = self.with_health(Health::Alive);
        hosts.push(self.own());
        hosts.retain(|host| !host.leaving);
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts
    }
}
