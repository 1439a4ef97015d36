//! One upstream: its entry in the store, what this host has measured of it, and its idle
//! connections.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::cluster::{self, assignment};
use super::{contact, limit, memory, notify, pause, probe, protocol, warmup};
use crate::{budget, finding, http1};

/// How long a connection is kept idle if the upstream gives no keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// How much earlier than the upstream this host closes an idle connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// The most idle connections to one upstream, for calls and probes.
const MAX_IDLE: usize = 4;

/// Time after a send within which a reset counts as that of an upstream that was full: a few round
/// trips between data centres, less than most calls take.
const FULL_RESET_TIME: Duration = Duration::from_millis(50);

/// Half-life of recorded failures.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Upper bound on recorded failures, so that a recovered upstream gets calls again soon.
const MAX_FAILURES: f64 = 8.0;

/// Reduction of the recorded failures by each success.
const SUCCESS_CREDIT: f64 = 0.5;

/// Difference up to which two reports of the remaining time of a cold start count as equal: the
/// time that a row takes from an upstream through the store to a host.
const COLD_TOLERANCE: Duration = Duration::from_millis(800);

/// How long after an upstream has given up on a write of its entry the store may still perform it:
/// writes without a response may be performed seconds later.
pub(super) const LATE_WRITE_TIME: Duration = Duration::from_secs(10);

/// The entry that an upstream writes to the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The service that the upstream runs.
    pub service: Rc<str>,
    /// The address at which the upstream takes calls.
    pub address: SocketAddr,
    /// The data centre of the upstream.
    pub data_centre: Rc<str>,
    /// The version of the upstream's software.
    pub version: Rc<str>,
    /// The number of calls that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is shutting down and takes no new calls.
    pub is_leaving: bool,
    /// The remaining time of the upstream's cold start, in which it can take few calls.
    pub cold_remaining: Duration,
    /// Start time in Unix milliseconds; distinguishes two starts under the same id.
    pub started_ms: u64,
    /// Sequence number of the entry since the start.
    pub sequence: u64,
}

/// The most slots of an upstream; sums over thousands of upstreams stay far from the types' limits.
pub const MAX_SLOTS: u32 = 100_000;

/// The largest number that all writers of JSON state exactly. An upstream with a larger start or
/// sequence number could not write a newer entry.
const MAX_EXACT_NUMBER: u64 = 1 << 53;

impl Entry {
    /// Checks the values of an entry; an entry with impossible ones names no upstream.
    ///
    /// # Errors
    ///
    /// Returns every impossible value with its field.
    pub fn check(self) -> Result<Entry, finding::Findings> {
        let mut findings = finding::Findings::default();
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            findings.add("slots", format!("is {}, 1 to {MAX_SLOTS} are possible", self.slots));
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            findings.add("address", format!("{} cannot be connected to", self.address));
        }
        for (field, number) in [("start", self.started_ms), ("sequence", self.sequence)] {
            if number > MAX_EXACT_NUMBER {
                findings.add(field, format!("is {number}, {MAX_EXACT_NUMBER} at most"));
            }
        }
        findings.into_result(self)
    }

    /// Returns whether an upstream with this entry is leaving once it has written `next`.
    fn keeps_leaving(&self, next: &Entry) -> bool {
        next.is_leaving || self.is_leaving && self.started_ms == next.started_ms
    }
}

/// Where a host has learned that an upstream is leaving, before the store said so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Source {
    /// A response to a call.
    #[display("call")]
    Call,
    /// A health response.
    #[display("probe")]
    Probe,
    /// A host that this one has passed a call to.
    #[display("host")]
    Host,
}

/// A load report, and when it was received.
#[derive(Debug, Clone, Copy)]
pub struct Report {
    /// The reported load.
    pub load: protocol::Load,
    /// When the report was received.
    pub received_at: Instant,
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    conn: http1::Conn,
    since: Instant,
    keep_alive: Duration,
}

/// An upstream as this host knows it.
#[derive(Debug)]
pub struct Upstream {
    /// The id of the upstream.
    pub id: Rc<str>,
    ring_point: u64,
    /// The place of this host at the upstream, and the epoch of the assignment that it is from.
    place: Cell<Option<(u64, assignment::Place)>>,
    entry: RefCell<Entry>,
    /// Calls of this host that have not ended.
    in_flight: Cell<u32>,
    report: Cell<Option<Report>>,
    /// Calls that this host has sent since the newest report and that have not ended.
    sent_since_report: Cell<u32>,
    pub(super) warmup: warmup::Warmup,
    pub(super) limit: limit::Limit,
    pub(super) pause: pause::Pause,
    /// The request bodies of this host that the upstream may hold.
    pub transit: memory::Transit,
    /// Whether the upstream responds to this host.
    pub contact: contact::Contact,
    idle: RefCell<Vec<Idle>>,
    pub(super) is_probe_pending: Cell<bool>,
    /// Probes that this host may send; see [`Prober`](probe::Prober).
    pub(super) probes: budget::Bucket,
    /// Notified when a probe has ended, with or without a response.
    pub probe_ended: notify::Notifier,
    unhealthy_since: Cell<Option<Instant>>,
    /// Decayed number of failures, as of a time.
    failures: Cell<(f64, Instant)>,
    removed_at: Cell<Option<Instant>>,
}

impl Upstream {
    /// Creates an upstream from its first entry.
    pub fn new(id: Rc<str>, entry: Entry, now: Instant) -> Upstream {
        let upstream = Upstream {
            ring_point: rapidhash::v3::rapidhash_v3(id.as_bytes()),
            id,
            place: Cell::default(),
            in_flight: Cell::default(),
            report: Cell::default(),
            sent_since_report: Cell::default(),
            warmup: warmup::Warmup::default(),
            limit: limit::Limit::default(),
            pause: pause::Pause::default(),
            transit: memory::Transit::default(),
            contact: contact::Contact::default(),
            idle: RefCell::default(),
            is_probe_pending: Cell::default(),
            probes: budget::Bucket::new(0.0, probe::BURST),
            probe_ended: notify::Notifier::default(),
            unhealthy_since: Cell::default(),
            failures: Cell::new((0.0, now)),
            removed_at: Cell::default(),
            entry: RefCell::new(entry),
        };
        upstream.probes.set_tokens(1.0, now);
        let remaining = upstream.entry().cold_remaining;
        upstream.warmup.set_remaining(now, remaining);
        upstream
    }

    /// Returns the newest entry of the upstream.
    pub fn entry(&self) -> std::cell::Ref<'_, Entry> {
        self.entry.borrow()
    }

    /// Returns whether an entry changes what is known of the upstream: the entry is not outdated,
    /// and differs in more than the sequence number and the expected decrease of the remaining cold
    /// start.
    pub fn is_update(&self, entry: &Entry, now: Instant) -> bool {
        if self.is_outdated(entry, now) {
            return false;
        }
        let known = self.entry.borrow();
        let is_same = Entry {
            cold_remaining: known.cold_remaining,
            sequence: known.sequence,
            is_leaving: known.keeps_leaving(entry),
            ..entry.clone()
        } == *known;
        let is_expected = entry.cold_remaining.abs_diff(self.cold_remaining(now)) <= COLD_TOLERANCE;
        !is_same
            || self.removed_at.get().is_some()
            || !entry.cold_remaining.is_zero() && !is_expected
    }

    /// Returns whether an entry is older than the known one although it was received later.
    ///
    /// If the entry was removed and the upstream is alive, the next entry has a higher sequence
    /// number.
    pub fn is_outdated(&self, entry: &Entry, now: Instant) -> bool {
        let known = self.entry.borrow();
        let removed_at = self.removed_at.get();
        if removed_at.is_some_and(|at| now.saturating_duration_since(at) >= LATE_WRITE_TIME) {
            return false;
        }
        match entry.started_ms.cmp(&known.started_ms) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal if removed_at.is_some() => entry.sequence <= known.sequence,
            Ordering::Equal => entry.sequence < known.sequence,
        }
    }

    /// Records the sequence number of an entry that is otherwise unchanged.
    pub fn renew(&self, entry: &Entry, now: Instant) {
        if !self.is_outdated(entry, now) {
            self.entry.borrow_mut().sequence = entry.sequence;
        }
    }

    /// Returns a hash of the upstream's id, by which hosts divide the upstreams among each other.
    pub fn ring_point(&self) -> u64 {
        self.ring_point
    }

    /// Returns the place of this host at the upstream.
    pub fn place(&self, assignment: &assignment::Assignment) -> assignment::Place {
        match self.place.get() {
            Some((epoch, place)) if epoch == assignment.epoch() => place,
            _ => {
                let data_centre = cluster::name_hash(&self.entry().data_centre);
                let place = assignment.place(self.ring_point, data_centre);
                self.place.set(Some((assignment.epoch(), place)));
                place
            }
        }
    }

    /// Returns whether a connection is idle.
    pub fn has_idle(&self, now: Instant) -> bool {
        let idle = self.idle.borrow();
        idle.iter().any(|one| now.saturating_duration_since(one.since) < one.keep_alive)
    }

    /// Returns whether the upstream is in its cold start.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.warmup.is_cold(now)
    }

    /// Returns whether this host may send the upstream a call now, by its cold start, by the rate
    /// that it names and by the time for which it wants nothing.
    pub fn admits(&self, now: Instant) -> bool {
        !self.pause.is_active(now) && self.warmup.admits(now) && self.limit.admits(now)
    }

    /// Returns the remaining time of the upstream's cold start.
    pub fn cold_remaining(&self, now: Instant) -> Duration {
        self.warmup.remaining(now)
    }

    /// Applies a new entry unless it is outdated.
    pub fn update(&self, mut entry: Entry, now: Instant) {
        if self.is_outdated(&entry, now) {
            tracing::info!(
                event = "entry_outdated",
                upstream = &*self.id,
                started_ms = entry.started_ms,
                beat = entry.sequence,
                known_beat = self.entry().sequence,
            );
            return;
        }
        let has_restarted = {
            let known = self.entry.borrow();
            // An upstream that is leaving takes calls again only after a restart.
            entry.is_leaving = known.keeps_leaving(&entry);
            known.address != entry.address || known.started_ms != entry.started_ms
        };
        if has_restarted {
            self.close_all_idle();
            self.report.set(None);
            self.forget_failures(now);
            self.unhealthy_since.set(None);
            self.limit.record(None, now);
            self.pause.end();
        }
        if has_restarted || !entry.cold_remaining.is_zero() {
            self.warmup.set_remaining(now, entry.cold_remaining);
        }
        *self.entry.borrow_mut() = entry;
        self.removed_at.set(None);
    }

    /// Records that the upstream has said that it is leaving. It takes calls again only after a
    /// restart, whatever its entry says.
    pub fn mark_leaving(&self, source: Source) {
        if !std::mem::replace(&mut self.entry.borrow_mut().is_leaving, true) {
            tracing::info!(event = "upstream_leaving", upstream = &*self.id, %source);
            self.close_all_idle();
        }
    }

    /// Returns since when the entry of the upstream is missing from the store's upstream list.
    pub fn removed_at(&self) -> Option<Instant> {
        self.removed_at.get()
    }

    /// Records that the entry of the upstream is missing from the store's upstream list.
    pub fn mark_removed(&self, now: Instant) {
        if self.removed_at.get().is_none() {
            self.removed_at.set(Some(now));
        }
    }

    /// Returns the number of this host's calls in flight at the upstream.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Returns the newest load report.
    pub fn report(&self) -> Option<Report> {
        self.report.get()
    }

    /// Records a load report received now.
    pub fn record_report(&self, load: protocol::Load, now: Instant) {
        self.report.set(Some(Report { load, received_at: now }));
        self.sent_since_report.set(0);
    }

    /// Records the rate of calls that a response of the upstream names, if any. A rate that cannot
    /// be parsed leaves the known one in force.
    pub fn record_limit(&self, parsed: Result<Option<limit::Rate>, limit::Error>, now: Instant) {
        let rate = match parsed {
            Ok(rate) => rate,
            Err(error) => {
                tracing::debug!(event = "limit_unreadable", upstream = &*self.id, %error);
                return;
            }
        };
        if !self.limit.record(rate, now) {
            return;
        }
        match rate {
            Some(rate) => tracing::info!(
                event = "limit_named",
                upstream = &*self.id,
                per_second = rate.per_second(),
            ),
            None => tracing::info!(event = "limit_ended", upstream = &*self.id),
        }
    }

    /// Records the time for which the upstream wants nothing from this host, if a response that
    /// turns a call away names one. A time that cannot be parsed is ignored.
    pub fn record_pause(&self, parsed: Result<Option<pause::Time>, pause::Error>, now: Instant) {
        match parsed {
            Ok(None) => {}
            Ok(Some(time)) => {
                if self.pause.begin(time, now) {
                    let ms = time.duration().as_millis() as u64;
                    tracing::info!(event = "upstream_paused", upstream = &*self.id, ms);
                }
            }
            Err(error) => {
                metrics::counter!("basilhaven_pauses_unreadable_total").increment(1);
                tracing::info!(event = "pause_unreadable", upstream = &*self.id, %error);
            }
        }
    }

    /// Returns the number of calls that the upstream runs or has queued, as far as this host knows.
    pub fn occupancy(&self) -> u32 {
        let reported =
            self.report.get().map_or(0, |r| r.load.running.saturating_add(r.load.waiting));
        self.in_flight.get().max(reported.saturating_add(self.sent_since_report.get()))
    }

    /// Returns the number of calls that the upstream can run concurrently.
    pub fn slots(&self) -> u32 {
        let reported = self.report.get().map(|r| r.load.slots).filter(|&slots| slots > 0);
        reported.unwrap_or(self.entry().slots).max(1)
    }

    /// Counts a call that is sent to the upstream at `now`; pass this time to
    /// [`end_call`](Upstream::end_call) when the call ends.
    pub fn begin_call(&self, now: Instant) {
        self.warmup.record_call(now);
        self.limit.record_call(now);
        self.in_flight.set(self.in_flight.get() + 1);
        self.sent_since_report.set(self.sent_since_report.get() + 1);
    }

    /// Counts a call that was sent at `sent_at` as ended.
    ///
    /// A call that was sent before the newest report stays part of the reported load, since calls
    /// that this host does not know of have begun in the meantime.
    pub fn end_call(&self, sent_at: Instant) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        if self.report.get().is_none_or(|report| report.received_at <= sent_at) {
            self.sent_since_report.set(self.sent_since_report.get().saturating_sub(1));
        }
    }

    /// Records a successful response.
    pub fn record_success(&self, now: Instant) {
        self.failures.set(((self.failures(now) - SUCCESS_CREDIT).max(0.0), now));
    }

    /// Records a failure that counts as `weight` failed calls.
    pub fn record_failure(&self, now: Instant, weight: f64) {
        self.failures.set(((self.failures(now) + weight).min(MAX_FAILURES), now));
    }

    /// Records whether a failed exchange shows that the upstream can be reached.
    pub fn record_error(&self, error: &http1::Error, now: Instant) {
        match error.category() {
            http1::Category::Malformed | http1::Category::HeadTooLarge => {
                self.contact.record_response(now);
            }
            http1::Category::CutShort | http1::Category::Io => self.contact.record_silence(now),
        }
    }

    /// Records that the connection of a call that was sent at `sent_at` was reset. If that is what a
    /// full upstream does, it counts as full until it reports a free slot.
    pub fn record_reset(&self, sent_at: Instant, now: Instant) {
        let is_at_once = now.saturating_duration_since(sent_at) <= FULL_RESET_TIME;
        let Some(report) = self.report.get().filter(|_| is_at_once) else { return };
        // The call that was reset is among those that this host knows of.
        if self.occupancy() < self.slots() {
            return;
        }
        metrics::counter!("basilhaven_full_resets_total").increment(1);
        tracing::info!(
            event = "full_reset",
            upstream = &*self.id,
            running = report.load.running,
            waiting = report.load.waiting,
            slots = self.slots(),
            sent = self.sent_since_report.get(),
            report_age_ms =
                sent_at.saturating_duration_since(report.received_at).as_millis() as u64,
        );
        let load = protocol::Load { running: self.slots(), ..report.load };
        self.record_report(load, now);
    }

    /// Drops the recorded failures.
    pub fn forget_failures(&self, now: Instant) {
        self.failures.set((0.0, now));
    }

    /// Returns the number of recent failures, weighted by age.
    pub fn failures(&self, now: Instant) -> f64 {
        let (failures, at) = self.failures.get();
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        failures * (-elapsed / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Records the result of a health check; while it keeps failing, the time of the first failure
    /// is kept.
    pub fn record_health(&self, now: Instant, is_healthy: bool) {
        let since = self.unhealthy_since.get().unwrap_or(now);
        self.unhealthy_since.set((!is_healthy).then_some(since));
    }

    /// Returns since when the health check of the upstream has been failing; `None` if it succeeds.
    pub fn unhealthy_since(&self) -> Option<Instant> {
        self.unhealthy_since.get()
    }

    /// Takes the most recently used idle connection, if it has been idle for at most `max_idle`.
    pub fn take_conn(&self, now: Instant, max_idle: Duration) -> Option<http1::Conn> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|one| now.saturating_duration_since(one.since) < one.keep_alive);
        while let Some(last) = idle.pop() {
            if now.saturating_duration_since(last.since) > max_idle {
                // All other connections have been idle for longer. They are kept for calls that
                // may be retried.
                idle.push(last);
                return None;
            }
            if last.conn.is_idle() {
                return Some(last.conn);
            }
        }
        None
    }

    /// Puts back a connection on which no response is pending, for `keep_alive` as given by the
    /// upstream.
    pub fn put_conn(&self, conn: http1::Conn, now: Instant, keep_alive: Option<Duration>) {
        if self.entry().is_leaving {
            return;
        }
        let keep_alive =
            keep_alive.map_or(DEFAULT_KEEP_ALIVE, |time| time.saturating_sub(KEEP_ALIVE_MARGIN));
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push(Idle { conn: conn.without_buffer(), since: now, keep_alive });
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for longer than their keep-alive time.
    pub fn close_expired_idle(&self, now: Instant) {
        self.idle
            .borrow_mut()
            .retain(|one| now.saturating_duration_since(one.since) < one.keep_alive);
    }
}
