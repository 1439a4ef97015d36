//! Keeps this host's replica of the users' store up to date and puts its content in force.
//!
//! A few hosts, the watchers, poll the store; the others follow a watcher through [`relay`]. The
//! origin of a host is where it gets updates from: the store or another host.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future;
use indexmap::{IndexMap, IndexSet};

use super::{cluster, config, journal, listing, moves, registry, relay, store};

mod watch;

pub use watch::load;

/// Default time within which orders are to be in force, unless the settings give another one.
const DEFAULT_ORDERS_WITHIN: Duration = Duration::from_secs(2);

/// Timeout of a long poll for orders, which is how long the store may wait for a change, and how
/// much longer its response may take, as shares of the time within which orders are to be in force.
///
/// A lost response looks like a long poll without changes. The sum of both leaves time for another
/// read and for relaying its result.
const ORDERS_POLL_SHARE: f64 = 0.4;
const ORDERS_RESPONSE_SHARE: f64 = 0.2;

/// Staleness of orders above which a host looks for another source of updates, as a share of the
/// time within which they are to be in force.
const ORDERS_STALENESS_SHARE: f64 = 0.9;

/// Timeout of a long poll for the list of upstreams, whose responses also show that the store is
/// up.
const UPSTREAMS_POLL_TIMEOUT: Duration = Duration::from_millis(600);

/// How long the store may take to respond to a read of the list of upstreams, in addition to the
/// timeout of a long poll. With that it is less than [`relay::MAX_STALENESS`].
const UPSTREAMS_RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Delay between two reads of orders; changes made in between arrive in one response.
const ORDERS_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Delay between two reads of the list of upstreams, whose rows change with every heartbeat.
const UPSTREAMS_POLL_INTERVAL: Duration = Duration::from_millis(600);

/// The first delay after a failed read; later ones are longer.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// How long after its failure an origin is not tried again. Hosts that are not watchers wait longer
/// before they try the store again, since they are many and would overload it together.
const RETRY_DELAY: Duration = Duration::from_secs(1);
const FOLLOWER_STORE_RETRY_DELAY: Duration = Duration::from_millis(2500);

/// How long after a host was found to know no eras it is not followed again.
const OLD_BUILD_RETRY_DELAY: Duration = Duration::from_secs(10);

/// How long a starting host waits for a host that is ready before it reads the store: a round trip
/// between data centres, and the time that a busy host takes to respond.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(60);

/// [`DISCOVERY_TIMEOUT`] of a host that is not a watcher and has discovered other hosts, none of
/// them ready: all hosts have been restarted, and the watchers read the store first.
const RESTART_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(400);

/// [`DISCOVERY_TIMEOUT`] at the first start of the whole system, when all hosts have to discover
/// each other: how long watchers wait until they know each other, and how long the other hosts wait
/// for a watcher.
const FIRST_START_WATCHER_TIMEOUT: Duration = Duration::from_millis(700);
const FIRST_START_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay between two checks for a host that is ready.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(20);

/// An update of a feed that hosts relay to each other.
#[derive(Debug)]
pub struct Update {
    /// The feed.
    pub feed: store::Feed,
    /// Whether the items are the whole content of the feed, and not just changes.
    pub is_snapshot: bool,
    /// The revision of the feed with this update.
    pub revision: store::Revision,
    /// The rows.
    pub items: Vec<store::Change>,
    /// When the configuration among the rows was written.
    pub sighting: config::Sighting,
}

/// Where updates come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Origin {
    Store,
    Host(SocketAddr),
}

/// This host's replica of the store.
#[derive(Debug)]
pub struct Replica {
    /// The configuration in force.
    pub config: Rc<config::Config>,
    /// The known upstreams.
    pub registry: Rc<registry::Registry>,
    /// The moves of services to other versions.
    pub moves: Rc<moves::Moves>,
    /// The hosts of the system, as this host sees them.
    pub members: Rc<cluster::Members>,
    /// The journal of the feed `Orders`.
    orders: journal::Journal,
    /// The journal of the feed `Upstreams`.
    upstreams: journal::Journal,
    /// The read of all rows of each of [`relay::FEEDS`], as far as it has got.
    listings: RefCell<IndexMap<store::Feed, listing::Listing>>,
    /// Hosts of a build that knows no eras, and when each was last found to be one.
    hosts_without_eras: RefCell<IndexMap<SocketAddr, Instant>>,
    /// When each origin last failed.
    failures: RefCell<IndexMap<Origin, Instant>>,
    is_first_start: bool,
    /// The time within which orders are to be in force.
    orders_within: Cell<Duration>,
}

/// How long the reads of one feed may take.
#[derive(Debug, Clone, Copy)]
struct Timing {
    /// How long the store may wait for a change.
    poll: Duration,
    /// How much longer its response may take.
    response: Duration,
    /// Delay between two reads.
    interval: Duration,
}

impl Replica {
    /// Creates an empty replica. With `is_first_start`, the whole system starts now, for the first
    /// time.
    pub fn new(members: Rc<cluster::Members>, is_first_start: bool) -> Replica {
        Replica {
            is_first_start,
            config: Rc::default(),
            registry: Rc::default(),
            moves: Rc::default(),
            members,
            orders: journal::Journal::default(),
            upstreams: journal::Journal::default(),
            listings: RefCell::default(),
            hosts_without_eras: RefCell::default(),
            failures: RefCell::default(),
            orders_within: Cell::new(DEFAULT_ORDERS_WITHIN),
        }
    }

    /// Sets the time within which orders are to be in force after they were written.
    pub fn set_orders_within(&self, time: Duration) {
        self.orders_within.set(time);
    }

    /// Returns the staleness of a feed above which a host looks for another source of updates.
    pub fn max_staleness(&self, feed: store::Feed) -> Duration {
        match feed {
            store::Feed::Upstreams => relay::MAX_STALENESS,
            _ => self.orders_within.get().mul_f64(ORDERS_STALENESS_SHARE),
        }
    }

    fn timing(&self, feed: store::Feed) -> Timing {
        match feed {
            store::Feed::Upstreams => Timing {
                poll: UPSTREAMS_POLL_TIMEOUT,
                response: UPSTREAMS_RESPONSE_TIMEOUT,
                interval: UPSTREAMS_POLL_INTERVAL,
            },
            _ => Timing {
                poll: self.orders_within.get().mul_f64(ORDERS_POLL_SHARE),
                response: self.orders_within.get().mul_f64(ORDERS_RESPONSE_SHARE),
                interval: ORDERS_POLL_INTERVAL,
            },
        }
    }

    /// Returns the era of the store up to which the orders are known.
    pub fn era(&self) -> store::Era {
        self.orders.revision().era
    }

    /// Records that a host is of a build that knows no eras, so that its updates cannot be told
    /// from those of an earlier era.
    pub fn record_host_without_eras(&self, host: SocketAddr, now: Instant) {
        self.hosts_without_eras.borrow_mut().insert(host, now);
    }

    /// Returns whether a host was recently found to know no eras.
    fn is_without_eras(&self, host: &SocketAddr, now: Instant) -> bool {
        let found = self.hosts_without_eras.borrow().get(host).copied();
        found.is_some_and(|at| now.saturating_duration_since(at) < OLD_BUILD_RETRY_DELAY)
    }

    /// Returns the journal of a feed that hosts relay to each other.
    pub fn journal(&self, feed: store::Feed) -> &journal::Journal {
        match feed {
            store::Feed::Upstreams => &self.upstreams,
            _ => &self.orders,
        }
    }

    /// Returns how often orders and upstreams have changed.
    pub fn change_counts(&self) -> (u64, u64) {
        (self.orders.changed.count(), self.upstreams.changed.count())
    }

    /// Waits until one of the [`change_counts`](Replica::change_counts) exceeds that in `seen`, or
    /// `limit` has passed.
    pub async fn wait_for_change(&self, seen: (u64, u64), limit: Duration) {
        let orders = std::pin::pin!(self.orders.changed.wait(seen.0));
        let upstreams = std::pin::pin!(self.upstreams.changed.wait(seen.1));
        // The callers check for changes again in both cases.
        let _ = monoio::time::timeout(limit, future::select(orders, upstreams)).await;
    }

    /// Returns the whole content of a feed, as this host knows it.
    pub fn snapshot(&self, feed: store::Feed) -> Vec<store::Change> {
        match feed {
            store::Feed::Upstreams => self.registry.snapshot(Instant::now()),
            _ => {
                let config = self.config.table().map(store::Change::Config);
                let evacuations = self.registry.evacuations().into_iter();
                let evacuations = evacuations
                    .map(|data_centre| store::Change::Evacuation { data_centre, is_ordered: true });
                let moves = self.moves.orders(Instant::now()).into_iter().map(|known| {
                    store::Change::Move { service: known.service, order: Some(known.order) }
                });
                config.into_iter().chain(evacuations).chain(moves).collect()
            }
        }
    }

    /// Applies an update of a feed that hosts relay to each other, as read from the store, unless a
    /// newer revision is known.
    pub fn apply_update(
        &self,
        feed: store::Feed,
        is_snapshot: bool,
        revision: store::Revision,
        items: Vec<store::Change>,
        now: Instant,
    ) {
        let sighting = config::Sighting { era: revision.era, is_written: !is_snapshot };
        self.apply_relayed(Update { feed, is_snapshot, revision, items, sighting }, now);
    }

    /// Applies an update as [`apply_update`](Replica::apply_update) does, with another host's
    /// sighting of the configuration in it.
    pub fn apply_relayed(&self, update: Update, now: Instant) {
        let Update { feed, is_snapshot, revision, items, sighting } = update;
        let journal = self.journal(feed);
        if revision < journal.revision() {
            return;
        }
        let items: Vec<store::Change> = items.into_iter().map(store::Change::checked).collect();
        if let (true, Some(listing)) = (is_snapshot, self.listings.borrow_mut().get_mut(&feed)) {
            listing.restart();
        }
        match is_snapshot {
            true if journal.is_restored_by(revision) => {
                tracing::warn!(
                    event = "store_restored",
                    source = %feed,
                    known = %journal.revision(),
                    read = %revision,
                );
                self.apply_restored(feed, items, sighting, now);
                journal.reset(revision);
            }
            true => {
                self.apply_snapshot(feed, items, sighting, now);
                journal.reset(revision);
            }
            false => {
                let (items, renewals): (Vec<store::Change>, Vec<store::Change>) =
                    items.into_iter().partition(|item| self.adds_information(item, now));
                for renewal in renewals {
                    if let store::Change::Upstream { id, entry: Some(entry) } = renewal {
                        self.registry.renew(&id, &entry, now);
                    }
                }
                self.apply_changes(items.clone(), sighting, now);
                journal.append(revision, items);
            }
        }
    }

    /// Returns whether a row adds information; most rows are heartbeats of upstreams, which do not.
    fn adds_information(&self, item: &store::Change, now: Instant) -> bool {
        match item {
            store::Change::Upstream { id, entry } => {
                self.registry.is_update(id, entry.as_ref(), now)
            }
            _ => true,
        }
    }

    /// Applies changed rows.
    fn apply_changes(&self, items: Vec<store::Change>, sighting: config::Sighting, now: Instant) {
        for item in items {
            match item {
                store::Change::Config(table) => self.config.apply(table, sighting),
                store::Change::Move { service, order } => {
                    self.moves.record_versions(&service, self.registry.versions_of(&service));
                    self.moves.apply_order(service, order, now);
                }
                store::Change::Evacuation { data_centre, is_ordered } => {
                    tracing::info!(
                        event = "evacuation",
                        data_centre = &*data_centre,
                        ordered = is_ordered
                    );
                    self.registry.set_evacuated(data_centre, is_ordered);
                }
                store::Change::Upstream { id, entry } => self.registry.apply(id, entry, now),
                store::Change::Step(step) => {
                    self.moves.apply_step(step, now);
                }
                store::Change::Host { record, .. } => {
                    record.into_iter().for_each(|r| self.members.add_seed(r.peer));
                }
                store::Change::Unreadable { key, findings } => {
                    metrics::counter!("basilhaven_rows_unreadable_total").increment(1);
                    tracing::warn!(event = "row_unreadable", key = &*key, %findings);
                    // An upstream whose entry is malformed is treated as removed.
                    self.registry.apply(key, None, now);
                }
            }
        }
    }

    /// Applies a snapshot of a feed from a store that has come back from a copy.
    ///
    /// What the copy lacks may only be lost: upstreams have some time to write their entries again,
    /// and orders stay in force until operators write or remove them.
    fn apply_restored(
        &self,
        feed: store::Feed,
        items: Vec<store::Change>,
        sighting: config::Sighting,
        now: Instant,
    ) {
        match feed {
            store::Feed::Upstreams => {
                self.registry.record_restore(now);
                self.apply_snapshot(feed, items, sighting, now);
            }
            _ => {
                self.moves.record_restore();
                self.apply_listed(items, sighting, now);
            }
        }
    }

    /// Applies the rows of a complete list.
    fn apply_listed(&self, items: Vec<store::Change>, sighting: config::Sighting, now: Instant) {
        for item in items {
            match item {
                store::Change::Move { service, order: Some(order) } => {
                    self.moves.record_versions(&service, self.registry.versions_of(&service));
                    self.moves.apply_listed_order(service, order, now);
                }
                item => self.apply_changes(vec![item], sighting, now),
            }
        }
    }

    /// Applies a snapshot of a feed: orders and upstreams that are not in it are removed. Steps of
    /// moves and hosts that are not in it stay.
    fn apply_snapshot(
        &self,
        feed: store::Feed,
        items: Vec<store::Change>,
        sighting: config::Sighting,
        now: Instant,
    ) {
        match feed {
            store::Feed::Upstreams => {
                let (entries, others): (Vec<_>, Vec<_>) = items
                    .into_iter()
                    .partition(|item| matches!(item, store::Change::Upstream { .. }));
                let entries = entries.into_iter().filter_map(|item| match item {
                    store::Change::Upstream { id, entry } => Some((id, entry)),
                    _ => None,
                });
                self.registry.replace(entries.collect(), now);
                self.apply_changes(others, sighting, now);
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
                self.registry.replace_evacuations(evacuated);
                let ordered: IndexSet<Rc<str>> = items
                    .iter()
                    .filter_map(|item| match item {
                        store::Change::Move { service, .. } => Some(service.clone()),
                        _ => None,
                    })
                    .collect();
                self.moves.retain_orders(&ordered);
                self.apply_listed(items, sighting, now);
            }
            store::Feed::Moves => {
                let (steps, others): (Vec<_>, Vec<_>) =
                    items.into_iter().partition(|item| matches!(item, store::Change::Step(_)));
                let steps = steps.into_iter().filter_map(|item| match item {
                    store::Change::Step(step) => Some(step),
                    _ => None,
                });
                self.moves.apply_stored_steps(steps.collect(), sighting.era, now);
                self.apply_changes(others, sighting, now);
            }
            store::Feed::Hosts => self.apply_changes(items, sighting, now),
        }
    }

    fn record_failure(&self, origin: Origin, now: Instant) {
        self.failures.borrow_mut().insert(origin, now);
    }

    fn has_failed_recently(&self, origin: Origin, now: Instant) -> bool {
        let failures = self.failures.borrow();
        let time = match origin {
            Origin::Store if !self.members.watchers(now).is_watcher => FOLLOWER_STORE_RETRY_DELAY,
            _ => RETRY_DELAY,
        };
        failures.get(&origin).is_some_and(|&at| now.saturating_duration_since(at) < time)
    }

    /// Chooses where to get updates from; `None` while every origin has failed recently.
    ///
    /// Only a few hosts watch the store and the others follow them, since the load on the store
    /// grows with each host that reads it.
    fn origin(&self, now: Instant) -> Option<Origin> {
        let store = (!self.has_failed_recently(Origin::Store, now)).then_some(Origin::Store);
        let watchers = self.members.watchers(now);
        if self.is_unsynced() {
            return self.initial_origin(store, &watchers, now);
        }
        if watchers.is_watcher {
            return store.or_else(|| self.pick_host(&watchers.others, now));
        }
        if !watchers.others.is_empty()
            && watchers.others.iter().all(|host| self.is_without_eras(host, now))
        {
            return store;
        }
        self.pick_host(&watchers.others, now).or_else(|| match watchers.is_reserve {
            true => store,
            false => self.pick_host(&watchers.reserves, now),
        })
    }

    /// Returns whether a feed that hosts relay to each other has not been read yet.
    pub(super) fn is_unsynced(&self) -> bool {
        relay::FEEDS.iter().any(|&feed| self.journal(feed).is_unread())
    }

    /// Chooses the origin of a starting host: any host that is ready, or else the store.
    fn initial_origin(
        &self,
        store: Option<Origin>,
        watchers: &cluster::Watchers,
        now: Instant,
    ) -> Option<Origin> {
        if let Some(host) = self.pick_host(&self.members.ready_peers(now), now) {
            return Some(host);
        }
        let is_alone = self.members.live_count(now) == 1;
        let wait = match (self.is_first_start, watchers.is_watcher) {
            (true, true) => FIRST_START_WATCHER_TIMEOUT,
            (true, false) => FIRST_START_TIMEOUT,
            (false, false) if !is_alone => RESTART_DISCOVERY_TIMEOUT,
            (false, _) => DISCOVERY_TIMEOUT,
        };
        if self.members.has_seeds() && self.members.uptime(now) < wait {
            return None;
        }
        store.or_else(|| self.pick_host(&watchers.others, now))
    }

    /// Returns whether this host should no longer follow `host`, because there is a better origin.
    fn should_leave(&self, host: SocketAddr, now: Instant) -> bool {
        let watchers = self.members.watchers(now);
        let is_watcher = watchers.others.contains(&host) || watchers.reserves.contains(&host);
        // A watcher that cannot read the store follows another one meanwhile.
        let can_watch = watchers.is_watcher && !self.has_failed_recently(Origin::Store, now);
        can_watch || !is_watcher
    }

    fn pick_host(&self, hosts: &[SocketAddr], now: Instant) -> Option<Origin> {
        let known = hosts.iter().filter(|host| !self.is_without_eras(host, now));
        let available: Vec<Origin> = known.map(|&host| Origin::Host(host)).collect();
        let available: Vec<Origin> =
            available.into_iter().filter(|&host| !self.has_failed_recently(host, now)).collect();
        fastrand::choice(available)
    }
}

/// Keeps the replica up to date for as long as the process runs.
pub async fn run<S>(store: Rc<S>, replica: Rc<Replica>)
where
    S: store::Store,
{
    loop {
        let Some(origin) = replica.origin(Instant::now()) else {
            let delay = if replica.is_unsynced() { DISCOVERY_INTERVAL } else { MIN_BACKOFF };
            monoio::time::sleep(delay).await;
            continue;
        };
        let result = match origin {
            Origin::Store => watch::watch_store(&*store, &replica).await,
            Origin::Host(host) => {
                let should_stop = || replica.should_leave(host, Instant::now());
                relay::follow(&replica, host, should_stop).await.map_err(|e| e.to_string())
            }
        };
        if let Err(error) = result {
            tracing::warn!(event = "provider_lost", provider = ?origin, error);
            replica.record_failure(origin, Instant::now());
        }
    }
}
