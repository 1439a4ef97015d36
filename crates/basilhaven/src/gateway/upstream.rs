//! One upstream: what it says of itself, what was seen of it, and its open connections.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{notify, protocol, warmup};
use crate::http1;

/// How long a connection is kept idle when the upstream does not say.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// How much earlier than the upstream this host closes an idle connection.
const KEEP_MARGIN: Duration = Duration::from_secs(1);

/// Idle connections kept to one upstream, for calls and probes.
const MAX_IDLE: usize = 4;

/// The time in which what was seen of failures halves.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// The most failures that are remembered, so that the way back stays short.
const MAX_FAILURES: f64 = 8.0;

/// What a good answer takes off the failures.
const SUCCESS_CREDIT: f64 = 0.5;

/// How far two reports of the rest of a cold start may differ that mean the same: the time that a row
/// takes from an upstream through the store to a host.
const COLD_TOLERANCE: Duration = Duration::from_millis(800);

/// How long an entry may reach the store after the upstream has given up on it: calls without an answer are
/// performed seconds later.
pub(super) const LATE_WRITE_TIME: Duration = Duration::from_secs(10);

/// What an upstream says of itself in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The service that it runs.
    pub service: Rc<str>,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: Rc<str>,
    /// The version of its software.
    pub version: Rc<str>,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// How much longer it is cold.
    pub cold_remaining: Duration,
    /// The Unix millisecond of its start; two starts under one id differ in it.
    pub started_ms: u64,
    /// What it has written of itself since its start, counted.
    pub sequence: u64,
}

/// A load report, and when it came.
#[derive(Debug, Clone, Copy)]
pub struct Report {
    /// The load.
    pub load: protocol::Load,
    /// When it came.
    pub received_at: Instant,
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    conn: http1::Conn,
    since: Instant,
    keep: Duration,
}

/// One upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its id.
    pub id: Rc<str>,
    point: u64,
    entry: RefCell<Entry>,
    in_flight: Cell<u32>,
    report: Cell<Option<Report>>,
    sent_since_report: Cell<u32>,
    pub(super) warmup: warmup::Warmup,
    idle: RefCell<Vec<Idle>>,
    pub(super) is_probe_pending: Cell<bool>,
    pub(super) probe_tokens: Cell<(f64, Instant)>,
    /// Notified when a probe has ended.
    pub probe_ended: notify::Notifier,
    refused_health: Cell<Option<Instant>>,
    failures: Cell<(f64, Instant)>,
    gone_since: Cell<Option<Instant>>,
}

impl Upstream {
    /// An upstream that has just become known.
    pub fn new(id: Rc<str>, entry: Entry, now: Instant) -> Upstream {
        let upstream = Upstream {
            point: rapidhash::v3::rapidhash_v3(id.as_bytes()),
            id,
            in_flight: Cell::default(),
            report: Cell::default(),
            sent_since_report: Cell::default(),
            warmup: warmup::Warmup::default(),
            idle: RefCell::default(),
            is_probe_pending: Cell::default(),
            probe_tokens: Cell::new((1.0, now)),
            probe_ended: notify::Notifier::default(),
            refused_health: Cell::default(),
            failures: Cell::new((0.0, now)),
            gone_since: Cell::default(),
            entry: RefCell::new(entry),
        };
        let left = upstream.entry().cold_remaining;
        upstream.warmup.set_remaining(now, left);
        upstream
    }

    /// What it says of itself.
    pub fn entry(&self) -> std::cell::Ref<'_, Entry> {
        self.entry.borrow()
    }

    /// Whether an entry says more than is known of it: not if it was written earlier, or only the rest of its
    /// cold start has become shorter with time.
    pub fn is_update(&self, entry: &Entry, now: Instant) -> bool {
        if self.is_outdated(entry, now) {
            return false;
        }
        let known = self.entry.borrow();
        let is_same = Entry {
            cold_remaining: known.cold_remaining,
            sequence: known.sequence,
            ..entry.clone()
        } == *known;
        let is_expected = entry.cold_remaining.abs_diff(self.cold_remaining(now)) <= COLD_TOLERANCE;
        !is_same
            || self.gone_since.get().is_some()
            || !entry.cold_remaining.is_zero() && !is_expected
    }

    /// Whether an entry was written before what is known, though it has come after it.
    ///
    /// An entry that was removed comes back with a higher beat if the upstream lives.
    pub fn is_outdated(&self, entry: &Entry, now: Instant) -> bool {
        let known = self.entry.borrow();
        let gone_since = self.gone_since.get();
        if gone_since.is_some_and(|at| now.saturating_duration_since(at) >= LATE_WRITE_TIME) {
            return false;
        }
        match entry.started_ms.cmp(&known.started_ms) {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal if gone_since.is_some() => entry.sequence <= known.sequence,
            Ordering::Equal => entry.sequence < known.sequence,
        }
    }

    /// Notes that it has written an entry that says nothing new.
    pub fn renew(&self, entry: &Entry, now: Instant) {
        if !self.is_outdated(entry, now) {
            self.entry.borrow_mut().sequence = entry.sequence;
        }
    }

    /// Its point on the ring by which hosts choose upstreams.
    pub fn ring_point(&self) -> u64 {
        self.point
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.warmup.is_cold(now)
    }

    /// How much longer it is cold.
    pub fn cold_remaining(&self, now: Instant) -> Duration {
        self.warmup.remaining(now)
    }

    /// Takes in what it newly says of itself, unless that was written earlier than what is known.
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
        let moved = {
            let known = self.entry.borrow();
            // Who leaves does not come back without a new start.
            entry.is_leaving |= known.is_leaving && known.started_ms == entry.started_ms;
            known.address != entry.address || known.started_ms != entry.started_ms
        };
        if moved {
            self.close_all_idle();
            self.report.set(None);
            self.failures.set((0.0, now));
            self.refused_health.set(None);
        }
        if moved || !entry.cold_remaining.is_zero() {
            self.warmup.set_remaining(now, entry.cold_remaining);
        }
        *self.entry.borrow_mut() = entry;
        self.gone_since.set(None);
    }

    /// Since when its entry is missing from the list.
    pub fn removed_at(&self) -> Option<Instant> {
        self.gone_since.get()
    }

    /// Notes that its entry is missing from the list.
    pub fn mark_removed(&self, now: Instant) {
        if self.gone_since.get().is_none() {
            self.gone_since.set(Some(now));
        }
    }

    /// Calls of this host that it works on.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// The newest load report.
    pub fn report(&self) -> Option<Report> {
        self.report.get()
    }

    /// Takes in a load report.
    pub fn record_report(&self, load: protocol::Load, now: Instant) {
        self.report.set(Some(Report { load, received_at: now }));
        self.sent_since_report.set(0);
    }

    /// Calls that it works on, as far as this host can know.
    pub fn occupancy(&self) -> u32 {
        let reported =
            self.report.get().map_or(0, |r| r.load.running.saturating_add(r.load.waiting));
        self.in_flight.get().max(reported.saturating_add(self.sent_since_report.get()))
    }

    /// Calls that it runs at once.
    pub fn slots(&self) -> u32 {
        let reported = self.report.get().map(|r| r.load.slots).filter(|&slots| slots > 0);
        reported.unwrap_or(self.entry().slots).max(1)
    }

    /// Counts a call that is sent to it; [`end_call`](Upstream::end_call) is to be told when that was.
    pub fn begin_call(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
        self.sent_since_report.set(self.sent_since_report.get() + 1);
    }

    /// Counts a call that was sent at `sent` as ended.
    ///
    /// One that was sent before the newest report still counts as reported: others of which this host
    /// does not know have begun meanwhile.
    pub fn end_call(&self, sent: Instant) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        if self.report.get().is_none_or(|report| report.received_at <= sent) {
            self.sent_since_report.set(self.sent_since_report.get().saturating_sub(1));
        }
    }

    /// Notes an answer that was good.
    pub fn record_success(&self, now: Instant) {
        self.failures.set(((self.failures(now) - SUCCESS_CREDIT).max(0.0), now));
    }

    /// Notes a failure that weighs as much as `weight` failed calls.
    pub fn record_failure(&self, now: Instant, weight: f64) {
        self.failures.set(((self.failures(now) + weight).min(MAX_FAILURES), now));
    }

    /// Failures of late; older ones count less.
    pub fn failures(&self, now: Instant) -> f64 {
        let (failures, at) = self.failures.get();
        let passed = now.saturating_duration_since(at).as_secs_f64();
        failures * (-passed / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Notes whether its health check passes; one that keeps failing has failed since the first time.
    pub fn record_health(&self, now: Instant, healthy: bool) {
        let since = self.refused_health.get().unwrap_or(now);
        self.refused_health.set((!healthy).then_some(since));
    }

    /// Since when its health check fails.
    pub fn unhealthy_since(&self) -> Option<Instant> {
        self.refused_health.get()
    }

    /// Takes the idle connection that was used last, if that was within `max_idle`.
    pub fn take_conn(&self, now: Instant, max_idle: Duration) -> Option<http1::Conn> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|one| now.saturating_duration_since(one.since) < one.keep);
        while let Some(last) = idle.pop() {
            if now.saturating_duration_since(last.since) > max_idle {
                // All others have been idle for longer; they still serve calls that may be repeated.
                idle.push(last);
                return None;
            }
            if last.conn.is_idle() {
                return Some(last.conn);
            }
        }
        None
    }

    /// Keeps a connection on which nothing is due.
    pub fn put_conn(&self, conn: http1::Conn, now: Instant, keep: Option<Duration>) {
        let keep = keep.map_or(DEFAULT_KEEP, |keep| keep.saturating_sub(KEEP_MARGIN));
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push(Idle { conn: conn.without_buffer(), since: now, keep });
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for long.
    pub fn close_expired_idle(&self, now: Instant) {
        self.idle.borrow_mut().retain(|one| now.saturating_duration_since(one.since) < one.keep);
    }
}
