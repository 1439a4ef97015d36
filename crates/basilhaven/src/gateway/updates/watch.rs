//! The tasks of a watcher: they read the store and put what has changed into the replica.

use std::time::{Duration, Instant};

use futures_util::future::{self, Either};

use super::{Replica, DISCOVERY_INTERVAL, MIN_BACKOFF};
use crate::gateway::{config, listing, relay, store};

/// The longest delay after a failed read.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// The longest that the store may take to respond after failed reads; responses take tens of times
/// longer than usual when the store is slow.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long reads of the store may fail before another host is followed instead.
const STORE_FAILURE_TIMEOUT: Duration = Duration::from_millis(800);

/// How often a watcher checks whether the store has stopped answering.
const STALENESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Unreadable rows of one page that are logged with their keys. Another writer may add any number of
/// rows, and a host reads all of them when it starts.
const MAX_UNREADABLE_LINES: usize = 16;

/// Watches the store until it fails or this host is no longer a watcher.
pub(super) async fn watch_store<S>(store: &S, replica: &Replica) -> Result<(), String>
where
    S: store::Store,
{
    tracing::info!(event = "watching_store");
    let watches = relay::FEEDS.map(|feed| Box::pin(watch_feed(store, feed, replica)));
    let stale = std::pin::pin!(wait_until_stale(replica));
    let result = match future::select(future::select_all(watches), stale).await {
        Either::Left(((result, _, _), _)) => result,
        Either::Right((feed, _)) => Err(format!("the store has stopped responding for {feed}")),
    };
    replica.members.set_store_reachable(result.is_ok(), Instant::now());
    if result.is_err() {
        replica.registry.set_store_reachable(false, Instant::now());
    }
    result
}

/// Waits until the store has confirmed a feed too long ago, and returns that feed. While all rows of
/// a feed are read, each page counts as a confirmation.
async fn wait_until_stale(replica: &Replica) -> store::Feed {
    let started = Instant::now();
    loop {
        monoio::time::sleep(STALENESS_CHECK_INTERVAL).await;
        let now = Instant::now();
        let is_stale = |feed: &store::Feed| {
            let staleness = replica.journal(*feed).staleness(now);
            let idle = replica.listings.borrow().get(feed).map(|listing| listing.idle_time(now));
            let since_page = idle.unwrap_or(Duration::MAX);
            let since_start = now.saturating_duration_since(started);
            staleness.min(since_page).min(since_start) > replica.max_staleness(*feed)
        };
        if let Some(feed) = relay::FEEDS.into_iter().find(is_stale) {
            return feed;
        }
    }
}

async fn watch_feed<S>(store: &S, feed: store::Feed, replica: &Replica) -> Result<(), String>
where
    S: store::Store,
{
    let timing = replica.timing(feed);
    let mut response_timeout = timing.response;
    let journal = replica.journal(feed);
    let mut failing_since = None;
    let mut backoff = MIN_BACKOFF;
    let lacks_organisations = feed == store::Feed::Orders && replica.config.lacks_organisations();
    let mut is_snapshot = journal.is_unread() || lacks_organisations;
    loop {
        let requested_at = Instant::now();
        let known = journal.revision();
        let result = match is_snapshot {
            true => match read_page(store, feed, replica, response_timeout).await {
                Ok(None) => {
                    (failing_since, backoff) = (None, MIN_BACKOFF);
                    continue;
                }
                Ok(Some(all)) => Ok((all.changes, Some(all.began_at))),
                Err(error) => Err(error),
            },
            false => {
                let changes = store.long_poll(feed, known, timing.poll, response_timeout).await;
                changes.map(|changes| (changes, None))
            }
        };
        let now = Instant::now();
        match result {
            // Revisions are given out again, so these may not be all changes after the known one.
            Ok((changes, _)) if !is_snapshot && journal.is_restored_by(changes.revision) => {
                tracing::info!(event = "history_gone", source = %feed, %known);
                is_snapshot = true;
                continue;
            }
            Ok((changes, began_at)) if changes.revision >= known => {
                replica.apply_update(feed, is_snapshot, changes.revision, changes.items, now);
                // A snapshot may lack rows written after its first request was sent.
                journal.confirm(began_at.unwrap_or(now));
                replica.members.set_store_reachable(true, now);
                if feed == store::Feed::Upstreams {
                    replica.registry.set_store_reachable(true, now);
                }
                (failing_since, backoff, is_snapshot) = (None, MIN_BACKOFF, false);
                response_timeout = timing.response;
                if !replica.members.watchers(now).is_watcher && replica.config.is_complete() {
                    return Ok(());
                }
                // After a long read the next one is due earlier.
                let read_time = began_at.map_or(Duration::ZERO, |at| now - at);
                monoio::time::sleep(timing.interval.saturating_sub(read_time)).await;
                // A host that is not a watcher reads each feed once, and waits here until it has
                // read all feeds.
                while !replica.members.watchers(Instant::now()).is_watcher && replica.is_unsynced()
                {
                    monoio::time::sleep(DISCOVERY_INTERVAL).await;
                }
                continue;
            }
            Ok((changes, _)) => {
                let read = changes.revision;
                tracing::warn!(event = "store_read_stale", source = %feed, %known, %read);
            }
            Err(store::Error::HistoryGone | store::Error::Restored) => {
                tracing::info!(event = "history_gone", source = %feed, %known);
                is_snapshot = true;
                continue;
            }
            Err(error) => {
                tracing::warn!(event = "store_read_failed", source = %feed, %error);
                let since = *failing_since.get_or_insert(now);
                response_timeout = (response_timeout * 2).min(MAX_RESPONSE_TIMEOUT);
                if now.saturating_duration_since(since) >= STORE_FAILURE_TIMEOUT {
                    return Err(error.to_string());
                }
                if feed == store::Feed::Upstreams {
                    replica.registry.set_store_reachable(false, now);
                }
                // After a timeout no further delay is needed.
                if now.saturating_duration_since(requested_at) >= timing.poll {
                    continue;
                }
            }
        }
        monoio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Reads a feed as a whole and applies it, retrying until the store answers.
pub async fn load<S>(store: &S, feed: store::Feed, replica: &Replica)
where
    S: store::Store,
{
    let mut backoff = MIN_BACKOFF;
    loop {
        match read_page(store, feed, replica, MAX_RESPONSE_TIMEOUT).await {
            Ok(None) => {
                backoff = MIN_BACKOFF;
                continue;
            }
            Ok(Some(listing::Complete { changes: all, .. })) => {
                let sighting = config::Sighting { era: all.revision.era, is_written: false };
                return replica.apply_snapshot(feed, all.items, sighting, Instant::now());
            }
            Err(error) => tracing::warn!(event = "store_read_failed", source = %feed, %error),
        }
        monoio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Reads the next page of a feed; returns all rows after the last page.
async fn read_page<S>(
    store: &S,
    feed: store::Feed,
    replica: &Replica,
    response_timeout: Duration,
) -> Result<Option<listing::Complete>, store::Error>
where
    S: store::Store,
{
    let request = replica.listings.borrow_mut().entry(feed).or_default().request();
    let result = store.read_page(feed, &request, response_timeout).await;
    let mut listings = replica.listings.borrow_mut();
    let listing = listings.entry(feed).or_default();
    match result {
        Ok(mut page) => {
            drop_unreadable(feed, &mut page.items);
            listing.add(page, Instant::now())
        }
        Err(error) => {
            listing.record_failure();
            Err(error)
        }
    }
}

/// Removes unreadable rows from a page, and logs them. What is not in a snapshot is removed, so that
/// they need not be retained until the last page.
fn drop_unreadable(feed: store::Feed, items: &mut Vec<store::Change>) {
    let mut count = 0;
    items.retain(|item| {
        let store::Change::Unreadable { key, findings } = item else { return true };
        count += 1;
        if count <= MAX_UNREADABLE_LINES {
            tracing::warn!(event = "row_unreadable", source = %feed, key = &**key, %findings);
        }
        false
    });
    metrics::counter!("basilhaven_rows_unreadable_total").increment(count as u64);
    if count > MAX_UNREADABLE_LINES {
        tracing::warn!(event = "rows_unreadable", source = %feed, count);
    }
}
