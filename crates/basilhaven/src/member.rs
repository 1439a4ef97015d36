//! The entry hosts that this host knows of, and the rules by which words on them are merged.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use local_sync::semaphore::Semaphore;
use serde::{Deserialize, Serialize};

use crate::{gossip, name, replica};

/// How long a suspected host has to refute before it is dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the known hosts must stay the same before another view is thought to lack some, or this
/// one.
const SETTLED_AFTER: Duration = Duration::from_secs(1);

/// How long a dead host is remembered, and probed at a low rate.
const DEAD_RETENTION: Duration = Duration::from_secs(3600);

/// How long a host that left and stopped is remembered.
const LEFT_RETENTION: Duration = Duration::from_secs(60);

/// What a host says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: name::Name,
    /// Tells one run of the host from the next; higher is newer.
    pub incarnation: u64,
    /// The data centre that it stands in.
    pub data_centre: name::Name,
    /// Where it takes calls.
    pub callers: SocketAddr,
    /// Where it takes operators' orders.
    pub admin: SocketAddr,
    /// Where it takes peers' frames.
    pub peer: SocketAddr,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The revisions of the rows that it has applied.
    pub revisions: replica::Revisions,
}

/// Stands for a host in frames: a hash of what does not change while it runs.
///
/// A host that comes back under the same name at other addresses has another id, so that what is said
/// of one run is never taken for the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id([u8; 6]);

/// Sums up which hosts are known and not dead, and what they have applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u8; 4]);

/// What may change of a host, as frames carry it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub id: Id,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it failed to answer a probe.
    pub suspect: bool,
    /// The revisions of the rows that it has applied.
    pub revisions: replica::Revisions,
}

/// What is thought of a host.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// It answers probes.
    #[display("alive")]
    Alive,
    /// It failed to answer one, and may yet refute.
    #[display("suspect")]
    Suspect,
    /// It did not refute in time.
    #[display("dead")]
    Dead,
}

impl Host {
    /// Its id.
    pub fn id(&self) -> Id {
        let Host { name, data_centre, callers, admin, peer, .. } = self;
        let text = format!("{name} {data_centre} {callers} {admin} {peer}");
        let hash = rapidhash::v3::rapidhash_v3(text.as_bytes()).to_le_bytes();
        Id([hash[0], hash[1], hash[2], hash[3], hash[4], hash[5]])
    }

    /// What may change of it.
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

/// What hearing of a host has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// Nothing: it was known, or is outdated.
    Unchanged,
    /// Something that others learn in time.
    Deferred,
    /// Something that others are to learn at once.
    Urgent,
    /// The host is not known; a full exchange tells who it is.
    UnknownHost,
}

/// The hosts, this one among them.
#[derive(Debug)]
pub struct Table {
    own: RefCell<Host>,
    id: Id,
    leaving: Cell<bool>,
    others: RefCell<IndexMap<Id, Known>>,
    updates: RefCell<gossip::Queue>,
    urgent: Semaphore,
    digest: Cell<(Digest, Instant)>,
}

#[derive(Debug)]
struct Known {
    host: Host,
    health: Health,
    since: Instant,
}

impl Known {
    fn set_health(&mut self, health: Health) {
        if self.health == health {
            return;
        }
        tracing::info!(event = "member", host = %self.host.name, from = %self.health, to = %health);
        self.health = health;
        self.since = Instant::now();
    }

    /// Merges a status of the same host. The result is the same in whatever order standings come:
    /// a higher incarnation takes the place of a lower one, and of equal ones the graver word holds.
    fn merge(&mut self, heard: &Status) -> Change {
        if heard.incarnation < self.host.incarnation {
            return Change::Unchanged;
        }
        let health = if heard.suspect { Health::Suspect } else { Health::Alive };
        let before = (self.host.incarnation, self.host.leaving, self.health, self.host.revisions);
        if heard.incarnation > self.host.incarnation {
            self.host.incarnation = heard.incarnation;
            self.host.leaving = heard.leaving;
            self.host.revisions = heard.revisions;
            self.set_health(health);
        } else {
            self.host.leaving |= heard.leaving;
            self.host.revisions = self.host.revisions.max(&heard.revisions);
            self.set_health(self.health.max(health));
        }
        let after = (self.host.incarnation, self.host.leaving, self.health, self.host.revisions);
        match before == after {
            true => Change::Unchanged,
            false if (before.1, before.2) == (after.1, after.2) => Change::Deferred,
            false => Change::Urgent,
        }
    }

    fn is_outdated(&self) -> bool {
        let retention = if self.host.leaving { LEFT_RETENTION } else { DEAD_RETENTION };
        self.health == Health::Dead && self.since.elapsed() > retention
    }
}

impl Table {
    /// A table that knows this host only.
    pub fn new(own: Host) -> Table {
        Table {
            id: own.id(),
            leaving: Cell::new(own.leaving),
            own: RefCell::new(own),
            others: RefCell::default(),
            updates: RefCell::default(),
            urgent: Semaphore::new(0),
            digest: Cell::new((Digest::default(), Instant::now())),
        }
    }

    /// What this host says of itself.
    pub fn own(&self) -> Host {
        self.own.borrow().clone()
    }

    /// What may change of this host.
    pub fn own_status(&self) -> Status {
        self.own.borrow().status(Health::Alive)
    }

    /// Whether this host is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Says from now on that this host is about to stop.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.own.borrow_mut().leaving = true;
        self.spread(self.id, Change::Urgent);
    }

    /// Says from now on that this host has applied these revisions.
    pub fn set_revisions(&self, revisions: replica::Revisions) {
        self.own.borrow_mut().revisions = revisions;
        self.spread(self.id, Change::Urgent);
    }

    /// Takes a higher incarnation than `held`, at which others think this host suspect, dead or an
    /// older run; an outdated word changes nothing.
    pub fn refute(&self, held: u64) {
        let mut own = self.own.borrow_mut();
        if held < own.incarnation {
            return;
        }
        own.incarnation = held + 1;
        tracing::info!(event = "refuted", incarnation = own.incarnation);
        drop(own);
        self.spread(self.id, Change::Urgent);
    }

    /// Takes in what is said of a host, by whomever.
    pub fn merge(&self, heard: &Status) -> Change {
        if heard.id == self.id {
            let is_ours = !heard.suspect && heard.incarnation <= self.own.borrow().incarnation;
            if !is_ours {
                self.refute(heard.incarnation);
            }
            return Change::Unchanged;
        }
        let change = match self.others.borrow_mut().get_mut(&heard.id) {
            Some(known) => known.merge(heard),
            None => Change::UnknownHost,
        };
        self.spread(heard.id, change);
        change
    }

    /// Takes in who a host is, and what is said of it; a host of the same name with a lower
    /// incarnation gives way to it.
    pub fn discover(&self, host: Host, health: Health) -> Change {
        let id = host.id();
        if id == self.id || host.name == self.own.borrow().name {
            return self.hear_of_own_name(&host, health);
        }
        if self.others.borrow().contains_key(&id) {
            return self.merge(&host.status(health));
        }
        let mut others = self.others.borrow_mut();
        let same_name = others.values().find(|known| known.host.name == host.name);
        if let Some(known) = same_name {
            if known.host.incarnation >= host.incarnation {
                return Change::Unchanged;
            }
            let older = known.host.id();
            others.shift_remove(&older);
        }
        tracing::info!(event = "member", host = %host.name, from = "unknown", to = %health);
        others.insert(id, Known { host, health, since: Instant::now() });
        drop(others);
        self.updates.borrow_mut().add_host(id);
        Change::Deferred
    }

    /// Takes in the view of another host. The first one holds no news for others: the host that joins
    /// is itself the news.
    pub fn merge_view(&self, view: Vec<(Host, Health)>) {
        let is_first = self.others.borrow().is_empty();
        for (host, health) in view {
            self.discover(host, health);
        }
        if is_first {
            self.updates.borrow_mut().clear();
        }
    }

    /// An older run of this host, or another host that was given its name by mistake.
    fn hear_of_own_name(&self, host: &Host, health: Health) -> Change {
        if host.id() == self.id {
            return self.merge(&host.status(health));
        }
        if host.incarnation >= self.own.borrow().incarnation {
            tracing::warn!(event = "name_taken", host = %host.name, peer = %host.peer);
            self.refute(host.incarnation);
        }
        Change::Unchanged
    }

    /// The incarnation at which a host that says this of itself must outdo what is held of it.
    pub fn incarnation_to_refute(&self, status: &Status) -> Option<u64> {
        let others = self.others.borrow();
        let known = others.get(&status.id)?;
        let is_held = known.health > Health::Alive || known.host.incarnation > status.incarnation;
        is_held.then_some(known.host.incarnation)
    }

    /// The incarnation of another run under the name of `host`, when it is no lower.
    pub fn name_conflict(&self, host: &Host) -> Option<u64> {
        let others = self.others.borrow();
        let id = host.id();
        let same_name = others.iter().find(|(other, k)| **other != id && k.host.name == host.name);
        let held = same_name.map(|(_, known)| known.host.incarnation);
        held.filter(|held| *held >= host.incarnation)
    }

    /// Notes that a host failed to answer a probe that was sent when it had this incarnation.
    pub fn suspect(&self, id: Id, incarnation: u64) {
        let Some((host, _)) = self.find(id) else { return };
        let status = Status { incarnation, ..host.status(Health::Suspect) };
        self.merge(&status);
    }

    /// Moves on hosts whose time is over: suspects to dead, and dead ones out of memory.
    ///
    /// `late` is for how long this host itself stood still: others could not refute then.
    pub fn expire(&self, late: Duration) {
        let mut others = self.others.borrow_mut();
        for known in others.values_mut().filter(|known| known.health == Health::Suspect) {
            known.since += late;
            if known.since.elapsed() >= SUSPICION_TIMEOUT {
                known.set_health(Health::Dead);
            }
        }
        others.retain(|_, known| !known.is_outdated());
    }

    fn spread(&self, id: Id, change: Change) {
        if matches!(change, Change::Deferred | Change::Urgent) {
            self.updates.borrow_mut().add_change(id);
        }
        if change == Change::Urgent {
            self.urgent.add_permits(1);
        }
    }

    /// Waits until there is something that others are to learn at once.
    pub async fn urgent_update(&self) {
        if let Ok(permit) = self.urgent.acquire().await {
            permit.forget();
        }
        while let Ok(permit) = self.urgent.try_acquire() {
            permit.forget();
        }
    }

    /// Whether there is anything left to tell.
    pub fn has_updates(&self) -> bool {
        !self.updates.borrow().is_empty()
    }

    /// What the next frame tells of other hosts, the least told first.
    pub fn next_updates(&self) -> Vec<gossip::Update> {
        let len = self.others.borrow().len();
        self.updates.borrow_mut().next_batch(len, |id| self.find(id))
    }

    /// A host by its id, alive or not.
    pub fn find(&self, id: Id) -> Option<(Host, Health)> {
        if id == self.id {
            return Some((self.own(), Health::Alive));
        }
        self.others.borrow().get(&id).map(|known| (known.host.clone(), known.health))
    }

    /// The other hosts that are thought of so.
    pub fn with_health(&self, health: Health) -> Vec<Host> {
        let others = self.others.borrow();
        others.values().filter(|k| k.health == health).map(|k| k.host.clone()).collect()
    }

    /// The other hosts that are not dead, leaving and suspected ones among them.
    pub fn others(&self) -> Vec<Host> {
        let others = self.others.borrow();
        others.values().filter(|k| k.health < Health::Dead).map(|k| k.host.clone()).collect()
    }

    /// All hosts that are not dead, this one among them, for a full exchange.
    pub fn view(&self) -> Vec<(Host, Health)> {
        let others = self.others.borrow();
        let alive = others.values().filter(|k| k.health < Health::Dead);
        let mut view: Vec<_> = alive.map(|k| (k.host.clone(), k.health)).collect();
        view.push((self.own(), Health::Alive));
        view
    }

    /// Which hosts are known and not dead, and what they have applied.
    pub fn digest(&self) -> Digest {
        let others = self.others.borrow();
        let own = self.own.borrow();
        let alive = others.iter().filter(|(_, known)| known.health < Health::Dead);
        let alive = alive.map(|(id, known)| (id, &known.host.revisions));
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

    /// Whether a host with this digest knows other things than this one, which has known the same for
    /// a while.
    pub fn diverges_from(&self, theirs: Digest) -> bool {
        self.digest() != theirs && self.digest.get().1.elapsed() > SETTLED_AFTER
    }

    /// The hosts that may be named to callers.
    pub fn serving(&self) -> Vec<Host> {
        let mut hosts = self.with_health(Health::Alive);
        hosts.push(self.own());
        hosts.retain(|host| !host.leaving);
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts
    }
}
