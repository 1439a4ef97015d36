//! Follows the users' store, by itself or through other hosts, and puts in force what it says.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{self, Either};
use indexmap::{IndexMap, IndexSet};

use super::{cluster, journal, moves, registry, relay, route, signal, store};

/// How long the store may hold a read of orders until something has changed.
const ORDERS_WAIT: Duration = Duration::from_secs(20);

/// How long it may hold a read of the list of upstreams, which also shows that the store is there.
const UPSTREAMS_WAIT: Duration = Duration::from_millis(600);

/// Pause between two reads of orders: changes in between come in one answer.
const ORDERS_PAUSE: Duration = Duration::from_millis(150);

/// Pause between two reads of the list of upstreams, whose rows change all the time.
const UPSTREAMS_PAUSE: Duration = Duration::from_millis(600);

/// Pauses after a read that failed: the first, and the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// How long the store may fail until another host is followed instead.
const STORE_PATIENCE: Duration = Duration::from_millis(800);

/// How long a provider that failed is passed over: a host, and the store by hosts that watch it and by
/// the others, whose calls would be many.
const AVOID_TIME: Duration = Duration::from_secs(1);
const AVOID_STORE_TIME: Duration = Duration::from_millis(2500);

/// How long a host that starts waits for one that serves before it asks the store: a round trip between data
/// centres, and what a busy host takes to answer.
const MEETING_TIME: Duration = Duration::from_millis(60);

/// The same for one that has met others, none of which serves: all have been restarted, and those that are to
/// watch the store read it first.
const RESTART_TIME: Duration = Duration::from_millis(400);

/// The same when the whole system starts for the first time and all hosts have to meet: until those that are to
/// watch the store know each other, and until the others give up waiting for one of these.
const FIRST_RANKING_TIME: Duration = Duration::from_millis(700);
const FIRST_MEETING_TIME: Duration = Duration::from_secs(3);

/// Pause between two looks for a host that serves.
const MEETING_STEP: Duration = Duration::from_millis(20);

/// How often a host that watches the store looks whether that has fallen silent.
const SILENCE_STEP: Duration = Duration::from_millis(200);

/// The configuration in force.
#[derive(Debug, Default)]
pub struct Config {
    table: RefCell<Option<Rc<route::Table>>>,
    is_upstreams_loaded: Cell<bool>,
    /// Notified when a part of the store has been read.
    pub changed: signal::Signal,
}

impl Config {
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
        self.table.borrow().is_some() && self.is_upstreams_loaded.get()
    }

    /// Puts a configuration in force, unless one with as high a version is.
    pub fn apply(&self, table: Rc<route::Table>) {
        let known = self.table.borrow().as_ref().map(|known| known.version);
        if known.is_some_and(|known| known >= table.version) {
            return;
        }
        let routes: usize = table.hosts.values().map(Vec::len).sum();
        tracing::info!(event = "config_applied", version = table.version, routes);
        *self.table.borrow_mut() = Some(table);
        self.changed.notify();
    }

    /// Notes that the list of upstreams has been read.
    pub fn mark_upstreams_loaded(&self) {
        self.is_upstreams_loaded.set(true);
        self.changed.notify();
    }
}

/// Where news come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Provider {
    Store,
    Host(SocketAddr),
}

/// Where news go.
#[derive(Debug)]
pub struct Replica {
    /// The configuration.
    pub config: Rc<Config>,
    /// The upstreams.
    pub registry: Rc<registry::Registry>,
    /// Moves between versions.
    pub moves: Rc<moves::Moves>,
    /// The hosts.
    pub members: Rc<cluster::Members>,
    orders: journal::Journal,
    upstreams: journal::Journal,
    avoided: RefCell<IndexMap<Provider, Instant>>,
    is_first_start: bool,
}

impl Replica {
    /// Nothing known yet, but for the hosts; with `is_first_start` all of these start now.
    pub fn new(members: Rc<cluster::Members>, is_first_start: bool) -> Replica {
        Replica {
            is_first_start,
            config: Rc::default(),
            registry: Rc::default(),
            moves: Rc::default(),
            members,
            orders: journal::Journal::default(),
            upstreams: journal::Journal::default(),
            avoided: RefCell::default(),
        }
    }

    /// What is known of a part that hosts pass on to each other.
    pub fn journal(&self, feed: store::Feed) -> &journal::Journal {
        match feed {
            store::Feed::Upstreams => &self.upstreams,
            _ => &self.orders,
        }
    }

    /// How often something has become known.
    pub fn change_counts(&self) -> (u64, u64) {
        (self.orders.changed.count(), self.upstreams.changed.count())
    }

    /// Waits until something has become known beyond `seen`, or `limit` has passed.
    pub async fn wait_for_change(&self, seen: (u64, u64), limit: Duration) {
        let orders = std::pin::pin!(self.orders.changed.changed(seen.0));
        let upstreams = std::pin::pin!(self.upstreams.changed.changed(seen.1));
        // Both ends mean the same to those who wait: look again.
        let _ = monoio::time::timeout(limit, future::select(orders, upstreams)).await;
    }

    /// All of a part, as it is known.
    pub fn snapshot(&self, feed: store::Feed) -> Vec<store::Change> {
        match feed {
            store::Feed::Upstreams => self.registry.listed(Instant::now()),
            _ => {
                let config = self.config.table().map(store::Change::Config);
                let evacuations = self.registry.evacuations().into_iter();
                let evacuations = evacuations
                    .map(|data_centre| store::Change::Evacuation { data_centre, ordered: true });
                let moves = self.moves.orders(Instant::now()).into_iter().map(|known| {
                    store::Change::Move { service: known.service, order: Some(known.order) }
                });
                config.into_iter().chain(evacuations).chain(moves).collect()
            }
        }
    }

    /// Takes in news of a part that hosts pass on to each other.
    pub fn apply_update(
        &self,
        feed: store::Feed,
        is_snapshot: bool,
        revision: u64,
        items: Vec<store::Change>,
        now: Instant,
    ) {
        let journal = self.journal(feed);
        if revision < journal.revision() {
            return;
        }
        match is_snapshot {
            true => {
                self.apply_snapshot(feed, items, now);
                journal.reset(revision);
            }
            false => {
                let (items, renewals): (Vec<store::Change>, Vec<store::Change>) =
                    items.into_iter().partition(|item| self.is_news(item, now));
                for renewal in renewals {
                    if let store::Change::Upstream { id, entry: Some(entry) } = renewal {
                        self.registry.renew(&id, &entry, now);
                    }
                }
                self.apply_changes(items.clone(), now);
                journal.append(revision, items);
            }
        }
    }

    /// Whether a row says more than is known; most rows are heartbeats of upstreams, which do not.
    fn is_news(&self, item: &store::Change, now: Instant) -> bool {
        match item {
            store::Change::Upstream { id, entry } => self.registry.is_news(id, entry.as_ref(), now),
            _ => true,
        }
    }

    /// Takes in rows that have changed.
    fn apply_changes(&self, items: Vec<store::Change>, now: Instant) {
        for item in items {
            match item {
                store::Change::Config(table) => self.config.apply(table),
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
                    // An entry that can't be read names no upstream.
                    self.registry.apply(key, None, now);
                }
            }
        }
    }

    /// Takes in all rows of a part: what is not among them is gone.
    fn apply_snapshot(&self, feed: store::Feed, items: Vec<store::Change>, now: Instant) {
        match feed {
            store::Feed::Upstreams => {
                let entries = items.iter().filter_map(|item| match item {
                    store::Change::Upstream { id, entry } => Some((Rc::clone(id), entry.clone())),
                    _ => None,
                });
                self.registry.replace(entries.collect(), now);
                self.config.mark_upstreams_loaded();
            }
            store::Feed::Orders => {
                let evacuated: IndexSet<Rc<str>> = items
                    .iter()
                    .filter_map(|item| match item {
                        store::Change::Evacuation { data_centre, .. } => Some(data_centre.clone()),
                        _ => None,
                    })
                    .collect();
                self.registry.evacuate_only(evacuated);
                let ordered: IndexSet<Rc<str>> = items
                    .iter()
                    .filter_map(|item| match item {
                        store::Change::Move { service, .. } => Some(service.clone()),
                        _ => None,
                    })
                    .collect();
                self.moves.keep_orders(&ordered);
                self.apply_changes(items, now);
            }
            store::Feed::Moves => {
                self.apply_changes(items, now);
                self.moves.steps_known.set(true);
            }
            store::Feed::Hosts => self.apply_changes(items, now),
        }
    }

    fn avoid(&self, provider: Provider, now: Instant) {
        self.avoided.borrow_mut().insert(provider, now);
    }

    fn is_avoided(&self, provider: Provider, now: Instant) -> bool {
        let avoided = self.avoided.borrow();
        let time = match provider {
            Provider::Store if !self.members.watchers(now).is_own => AVOID_STORE_TIME,
            _ => AVOID_TIME,
        };
        avoided.get(&provider).is_some_and(|&at| now.saturating_duration_since(at) < time)
    }

    /// Where to get news from; `None` while everyone has just failed.
    ///
    /// Few hosts watch the store, and the others follow these: calls to the store cost the same for
    /// every host that makes them.
    fn provider(&self, now: Instant) -> Option<Provider> {
        let store = (!self.is_avoided(Provider::Store, now)).then_some(Provider::Store);
        let watchers = self.members.watchers(now);
        if self.is_unsynced() {
            return self.first_provider(store, &watchers, now);
        }
        if watchers.is_own {
            return store.or_else(|| self.host_among(&watchers.others, now));
        }
        self.host_among(&watchers.others, now).or_else(|| match watchers.is_reserve {
            true => store,
            false => self.host_among(&watchers.reserves, now),
        })
    }

    /// Whether this host has yet to learn a part of the store.
    pub(super) fn is_unsynced(&self) -> bool {
        relay::FEEDS.iter().any(|&feed| self.journal(feed).revision() == 0)
    }

    /// Where a host that starts gets what it has to know: any host that serves has it, and the store has
    /// when there is none.
    fn first_provider(
        &self,
        store: Option<Provider>,
        watchers: &cluster::Watchers,
        now: Instant,
    ) -> Option<Provider> {
        if let Some(host) = self.host_among(&self.members.ready(now), now) {
            return Some(host);
        }
        let is_alone = self.members.live_count(now) == 1;
        let wait = match (self.is_first_start, watchers.is_own) {
            (true, true) => FIRST_RANKING_TIME,
            (true, false) => FIRST_MEETING_TIME,
            (false, false) if !is_alone => RESTART_TIME,
            (false, _) => MEETING_TIME,
        };
        if self.members.has_contacts() && self.members.age(now) < wait {
            return None;
        }
        store.or_else(|| self.host_among(&watchers.others, now))
    }

    fn host_among(&self, hosts: &[SocketAddr], now: Instant) -> Option<Provider> {
        let able: Vec<Provider> = hosts.iter().map(|&host| Provider::Host(host)).collect();
        let able: Vec<Provider> =
            able.into_iter().filter(|&host| !self.is_avoided(host, now)).collect();
        fastrand::choice(able)
    }
}

/// Keeps this host up to date for as long as it runs.
pub async fn run<S>(store: Rc<S>, replica: Rc<Replica>)
where
    S: store::Store,
{
    loop {
        let Some(provider) = replica.provider(Instant::now()) else {
            let pause = if replica.is_unsynced() { MEETING_STEP } else { FIRST_BACKOFF };
            monoio::time::sleep(pause).await;
            continue;
        };
        let result = match provider {
            Provider::Store => watch(&*store, &replica).await,
            Provider::Host(host) => {
                let is_enough = || {
                    let watchers = replica.members.watchers(Instant::now());
                    let is_right =
                        watchers.others.contains(&host) || watchers.reserves.contains(&host);
                    watchers.is_own || !is_right
                };
                relay::follow(&replica, host, is_enough).await.map_err(|e| e.to_string())
            }
        };
        if let Err(error) = result {
            tracing::warn!(event = "provider_lost", ?provider, error);
            replica.avoid(provider, Instant::now());
        }
    }
}

/// Watches the store until it fails, or others do it.
async fn watch<S>(store: &S, replica: &Replica) -> Result<(), String>
where
    S: store::Store,
{
    tracing::info!(event = "watching_store");
    let both = relay::FEEDS.map(|feed| Box::pin(watch_part(store, feed, replica)));
    let silence = std::pin::pin!(await_silence(replica));
    let result = match future::select(future::select_all(both), silence).await {
        Either::Left(((result, _, _), _)) => result,
        Either::Right(_) => Err("the store has fallen silent".to_owned()),
    };
    replica.members.set_sees_store(result.is_ok(), Instant::now());
    if result.is_err() {
        replica.registry.note_store(false, Instant::now());
    }
    result
}

/// Waits until nothing has been heard of the store for too long.
async fn await_silence(replica: &Replica) {
    let started = Instant::now();
    loop {
        monoio::time::sleep(SILENCE_STEP).await;
        let now = Instant::now();
        let age = replica.upstreams.staleness(now).min(now.saturating_duration_since(started));
        if age > relay::MAX_STALENESS {
            return;
        }
    }
}

async fn watch_part<S>(store: &S, feed: store::Feed, replica: &Replica) -> Result<(), String>
where
    S: store::Store,
{
    let (wait, pause) = match feed {
        store::Feed::Upstreams => (UPSTREAMS_WAIT, UPSTREAMS_PAUSE),
        _ => (ORDERS_WAIT, ORDERS_PAUSE),
    };
    let journal = replica.journal(feed);
    let mut failing_since = None;
    let mut backoff = FIRST_BACKOFF;
    let mut is_snapshot = journal.revision() == 0;
    loop {
        let asked = Instant::now();
        let known = journal.revision();
        let result = match is_snapshot {
            true => store.read(feed).await,
            false => store.long_poll(feed, known, wait).await,
        };
        let now = Instant::now();
        match result {
            Ok(changes) if changes.revision >= known => {
                replica.apply_update(feed, is_snapshot, changes.revision, changes.items, now);
                // What has changed since the question may not be among it.
                journal.confirm(if is_snapshot { asked } else { now });
                replica.members.set_sees_store(true, now);
                if feed == store::Feed::Upstreams {
                    replica.registry.note_store(true, now);
                }
                (failing_since, backoff, is_snapshot) = (None, FIRST_BACKOFF, false);
                if !replica.members.watchers(now).is_own && replica.config.is_complete() {
                    return Ok(());
                }
                monoio::time::sleep(pause).await;
                // Those that do not watch read each part once.
                while !replica.members.watchers(Instant::now()).is_own && replica.is_unsynced() {
                    monoio::time::sleep(MEETING_STEP).await;
                }
                continue;
            }
            Ok(changes) => {
                let read = changes.revision;
                tracing::warn!(event = "store_read_stale", source = %feed, known, read);
            }
            Err(store::Error::HistoryGone) => {
                tracing::info!(event = "history_gone", source = %feed, known);
                is_snapshot = true;
                continue;
            }
            Err(error) => {
                tracing::warn!(event = "store_read_failed", source = %feed, %error);
                let since = *failing_since.get_or_insert(now);
                if now.saturating_duration_since(since) >= STORE_PATIENCE {
                    return Err(error.to_string());
                }
                if feed == store::Feed::Upstreams {
                    replica.registry.note_store(false, now);
                }
            }
        }
        monoio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Reads a part of the store whole, however long that takes, and takes it in.
pub async fn load<S>(store: &S, feed: store::Feed, replica: &Replica)
where
    S: store::Store,
{
    let mut backoff = FIRST_BACKOFF;
    loop {
        match store.read(feed).await {
            Ok(all) => return replica.apply_snapshot(feed, all.items, Instant::now()),
            Err(error) => tracing::warn!(event = "store_read_failed", source = %feed, %error),
        }
        monoio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
