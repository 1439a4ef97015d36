//! Follows the users' store, and puts in force what it says.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexSet;

use super::{cluster, moves, registry, route, signal, store};

/// How long the store may hold a read until something has changed.
const WAIT: Duration = Duration::from_secs(20);

/// Pause between two reads of orders: changes in between come in one answer.
const ORDERS_PAUSE: Duration = Duration::from_millis(150);

/// Pause between two reads of the list of upstreams, whose rows change all the time.
const UPSTREAMS_PAUSE: Duration = Duration::from_millis(700);

/// Pauses after a read that failed: the first, and the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// The configuration in force.
#[derive(Debug, Default)]
pub struct Book {
    table: RefCell<Option<Rc<route::Table>>>,
    upstreams_known: Cell<bool>,
    /// Notified when a part of the store has been read.
    pub changed: signal::Signal,
}

impl Book {
    /// The configuration in force, once there is one.
    pub fn table(&self) -> Option<Rc<route::Table>> {
        self.table.borrow().clone()
    }

    /// What callers may send.
    pub fn limits(&self) -> route::Limits {
        self.table.borrow().as_ref().map(|table| table.limits.clone()).unwrap_or_default()
    }

    /// Whether this host knows enough to serve.
    pub fn is_complete(&self) -> bool {
        self.table.borrow().is_some() && self.upstreams_known.get()
    }

    /// Puts a configuration in force, unless one with as high a version is.
    pub fn apply(&self, table: Rc<route::Table>) {
        let known = self.table.borrow().as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= table.version) {
            return;
        }
        tracing::info!(
            event = "config_applied",
            version = table.version,
            routes = table.hosts.values().map(Vec::len).sum::<usize>()
        );
        *self.table.borrow_mut() = Some(table);
        self.changed.notify();
    }

    /// Notes that the list of upstreams has been read.
    pub fn note_upstreams(&self) {
        self.upstreams_known.set(true);
        self.changed.notify();
    }
}

/// Where news go.
#[derive(Debug)]
pub struct Desk {
    /// The configuration.
    pub book: Rc<Book>,
    /// The upstreams.
    pub registry: Rc<registry::Registry>,
    /// Moves between versions.
    pub moves: Rc<moves::Moves>,
    /// The hosts.
    pub members: Rc<cluster::Members>,
}

impl Desk {
    /// Takes in rows that have changed.
    fn apply(&self, items: Vec<store::Change>, now: Instant) {
        for item in items {
            match item {
                store::Change::Config(table) => self.book.apply(table),
                store::Change::Move { service, order } => {
                    self.moves.apply_order(service, order, now);
                }
                store::Change::Evacuation { data_centre, ordered } => {
                    tracing::info!(event = "evacuation", data_centre = &*data_centre, ordered);
                    self.registry.evacuate(data_centre, ordered);
                }
                store::Change::Upstream { id, entry } => self.registry.apply(id, entry, now),
                store::Change::Step(step) => {
                    self.moves.apply_step(step, now);
                }
                store::Change::Host { record, .. } => {
                    record.into_iter().for_each(|r| self.members.add_contact(r.peer));
                }
                store::Change::Unreadable { key, findings } => {
                    tracing::warn!(event = "row_unreadable", key = &*key, %findings);
                }
            }
        }
    }

    /// Takes in all rows of a part: what is not among them is gone.
    fn replace(&self, source: store::Source, items: Vec<store::Change>, now: Instant) {
        match source {
            store::Source::Upstreams => {
                let entries = items.iter().filter_map(|item| match item {
                    store::Change::Upstream { id, entry } => Some((Rc::clone(id), entry.clone())),
                    _ => None,
                });
                self.registry.replace(entries.collect(), now);
                self.book.note_upstreams();
            }
            store::Source::Orders => {
                let ordered: IndexSet<Rc<str>> = items
                    .iter()
                    .filter_map(|item| match item {
                        store::Change::Evacuation { data_centre, .. } => Some(data_centre.clone()),
                        _ => None,
                    })
                    .collect();
                self.registry.evacuate_only(ordered);
                self.apply(items, now);
            }
            store::Source::Moves => {
                self.apply(items, now);
                self.moves.steps_known.set(true);
            }
            store::Source::Hosts => self.apply(items, now),
        }
    }
}

/// Reads a part of the store, and then takes in each change.
pub async fn follow<S>(store: Rc<S>, source: store::Source, desk: Rc<Desk>)
where
    S: store::Store,
{
    let pause = match source {
        store::Source::Upstreams => UPSTREAMS_PAUSE,
        _ => ORDERS_PAUSE,
    };
    let mut known = 0;
    loop {
        let all = read(&*store, source, &desk, known).await;
        known = all.revision;
        desk.replace(source, all.items, Instant::now());
        let mut backoff = FIRST_BACKOFF;
        loop {
            match store.follow(source, known, WAIT).await {
                Ok(changes) => {
                    backoff = FIRST_BACKOFF;
                    note_store(&desk, source, true);
                    known = changes.revision.max(known);
                    desk.apply(changes.items, Instant::now());
                    monoio::time::sleep(pause).await;
                }
                Err(store::Error::HistoryGone) => {
                    tracing::info!(event = "history_gone", %source, known);
                    break;
                }
                Err(error) => {
                    tracing::warn!(event = "store_read_failed", %source, %error);
                    note_store(&desk, source, false);
                    monoio::time::sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }
}

/// Reads a part of the store whole, and takes it in.
pub async fn read_once<S>(store: &S, source: store::Source, desk: &Desk)
where
    S: store::Store,
{
    let all = read(store, source, desk, 0).await;
    desk.replace(source, all.items, Instant::now());
}

/// Reads a part of the store whole, however long that takes; a part that is older than what is known
/// is read again.
async fn read<S>(store: &S, source: store::Source, desk: &Desk, known: u64) -> store::Changes
where
    S: store::Store,
{
    let mut backoff = FIRST_BACKOFF;
    loop {
        match store.read(source).await {
            Ok(all) if all.revision >= known => {
                note_store(desk, source, true);
                return all;
            }
            Ok(all) => {
                tracing::warn!(event = "store_read_stale", %source, known, read = all.revision);
            }
            Err(error) => {
                tracing::warn!(event = "store_read_failed", %source, %error);
                note_store(desk, source, false);
            }
        }
        monoio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

fn note_store(desk: &Desk, source: store::Source, reachable: bool) {
    if source == store::Source::Upstreams {
        desk.registry.note_store(reachable, Instant::now());
    }
}
