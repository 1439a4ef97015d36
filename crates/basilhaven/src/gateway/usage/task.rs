//! The tasks that exchange counts, keep the lease and post reports.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use monoio::net::udp::UdpSocket;

use super::clock::Boot;
use super::counts::{Counter, Gathering, Origin, Schedule};
use super::endpoint::{Answer, Endpoint, Report};
use super::holder::{Holder, Step};
use super::lease;
use super::message::{Message, Outbox, Part};
use super::Settings;
use crate::gateway::cluster::{self, datagram};
use crate::gateway::store;

/// Interval at which counts that were not acknowledged are sent. A killed host loses those of one
/// interval.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// How long after its last message a host is taken not to send its counts itself; hosts that have
/// them then pass them on.
const SILENT_AFTER: Duration = Duration::from_secs(3);

/// Interval at which the coordinator checks what to do about the lease and the reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Uptime before which a host does not take itself for the coordinator: it may not know the others
/// yet.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// How long after it has become the coordinator a host closes windows only if they are about to be
/// late: within this time the others find out and send it their counts, twice if need be.
const GATHERING_TIME: Duration = Duration::from_secs(2);

/// Timeout of a call to the store, as a share of the lease's length.
const STORE_TIMEOUT_SHARE: f64 = 0.3;

/// Calls that one holder makes in the time in which the endpoint takes this many; a former holder's
/// calls may still be on their way.
const RATE_SHARE: f64 = 0.5;

/// The windows ahead of this host's time for which counts are taken from hosts whose clocks are
/// ahead.
const MAX_WINDOWS_AHEAD: u64 = 1;

/// The state of usage reports in one process.
#[derive(Debug)]
pub struct Usage {
    name: Rc<str>,
    settings: Settings,
    schedule: Schedule,
    origin: Origin,
    /// The counts.
    pub counter: Rc<Counter>,
    outbox: RefCell<Outbox>,
    /// When each other host last sent its own counts.
    heard: RefCell<IndexMap<Origin, Instant>>,
    holder: RefCell<Holder>,
    /// Since when this host has been the coordinator; `None` if it is not.
    coordinator_since: Cell<Option<Instant>>,
}

impl Usage {
    /// Creates the state of a process. `name` is the host's name, `host` its address for other
    /// hosts.
    pub fn new(settings: Settings, name: &Rc<str>, host: SocketAddr) -> Usage {
        let schedule = Schedule { window: settings.window, late: settings.late };
        let origin = Origin { host, incarnation: fastrand::u64(..) };
        Usage {
            name: Rc::clone(name),
            settings,
            schedule,
            origin,
            counter: Rc::new(Counter::new(schedule, origin)),
            outbox: RefCell::default(),
            heard: RefCell::default(),
            holder: RefCell::new(Holder::new(&settings, name, origin.incarnation)),
            coordinator_since: Cell::default(),
        }
    }

    /// Applies a message of another host; returns the message to send back.
    pub fn apply(&self, from: SocketAddr, message: Message, now: Instant) -> Option<Message> {
        match message {
            Message::Counts(part) => {
                if part.origin.host == from {
                    self.heard.borrow_mut().insert(part.origin, now);
                }
                let wall = self.counter.clock.now();
                let last = self.schedule.window_at(wall).saturating_add(MAX_WINDOWS_AHEAD);
                let open = self.schedule.first_in_time(wall)..=last;
                let number = part.number;
                // Counts of this process that another host returns are not newer than its own.
                if open.contains(&part.window) && part.origin != self.origin {
                    self.outbox.borrow_mut().record_known(from, &part);
                    let Part { window, origin, counts, .. } = part;
                    self.counter.ledger.borrow_mut().merge(window, origin, counts);
                }
                Some(Message::Received(number))
            }
            Message::Received(number) => {
                self.outbox.borrow_mut().acknowledge(from, number);
                None
            }
        }
    }

    /// Returns the counts to send now, each part with its target.
    pub fn outgoing(&self, targets: &[cluster::Process], now: Instant) -> Vec<(SocketAddr, Part)> {
        let first = self.schedule.first_in_time(self.counter.clock.now());
        self.counter.ledger.borrow_mut().prune(first);
        let mut heard = self.heard.borrow_mut();
        heard.retain(|_, at| now.saturating_duration_since(*at) <= SILENT_AFTER);
        let ledger = self.counter.ledger.borrow();
        let mut outbox = self.outbox.borrow_mut();
        outbox.set_targets(targets, first);
        let mut all = Vec::new();
        for target in targets {
            let sends = |origin: Origin| {
                origin == self.origin || origin.host != target.host && !heard.contains_key(&origin)
            };
            let parts = outbox.parts(*target, &ledger, sends);
            all.extend(parts.into_iter().map(|part| (target.host, part)));
        }
        all
    }

    fn log(&self, event: Option<lease::Event>) {
        let holder = &*self.name;
        match event {
            Some(lease::Event::Acquired(token)) => {
                tracing::info!(event = "lease_acquired", holder, %token);
            }
            Some(lease::Event::Lost(token, reason)) => {
                tracing::warn!(event = "lease_lost", holder, %token, %reason);
            }
            None => {}
        }
    }

    fn expire(&self) {
        let event = self.holder.borrow_mut().expire(Boot::now());
        self.log(event);
    }

    fn log_missed(&self) {
        let missed = self.holder.borrow_mut().take_missed(self.counter.clock.now());
        for range in missed {
            let (from, to) = (*range.start(), *range.end());
            metrics::counter!("basilhaven_usage_missed_total").increment(to - from + 1);
            tracing::warn!(event = "usage_missed", from, to);
        }
    }

    /// Returns whether this host has the counts of all hosts.
    fn gathering(&self, now: Instant) -> Gathering {
        let since = self.coordinator_since.get();
        let is_long = |since| now.saturating_duration_since(since) >= GATHERING_TIME;
        match since.is_some_and(is_long) {
            true => Gathering::Done,
            false => Gathering::Ongoing,
        }
    }

    /// Makes the next call to the store, if one is due.
    async fn advance<S>(&self, store: &S)
    where
        S: store::Store,
    {
        let started = Boot::now();
        let step = {
            let ledger = self.counter.ledger.borrow();
            let counts = (&*ledger, self.gathering(Instant::now()));
            self.holder.borrow().step(started, self.counter.clock.now(), counts)
        };
        let limit = self.settings.lease.mul_f64(STORE_TIMEOUT_SHARE);
        let result = match step {
            Step::Wait => Ok(None),
            Step::Read => {
                let read = store.read_usage(limit).await;
                let mut holder = self.holder.borrow_mut();
                read.map(|rows| holder.apply_read(&rows, started, Boot::now()))
            }
            Step::Write(pending) => {
                let written = store.write_usage(&pending.rows(), limit).await;
                let mut holder = self.holder.borrow_mut();
                written.map(|written| holder.apply_written(*pending, written, Boot::now()))
            }
        };
        match result {
            Ok(event) => self.log(event),
            Err(error) => {
                tracing::warn!(event = "usage_not_stored", %error);
                self.holder.borrow_mut().apply_failure(&error, Boot::now());
            }
        }
    }

    /// Returns the next report to post, if this host holds the lease.
    fn next_report(&self) -> Option<Report> {
        let wall = self.counter.clock.now();
        self.holder.borrow().next_report(Boot::now(), wall)
    }

    async fn post<E>(&self, endpoint: &E, report: &Report)
    where
        E: Endpoint,
    {
        let may_send = || self.holder.borrow().may_send(report.token, Boot::now());
        let answer = endpoint.post(report, may_send).await;
        let (window, token) = (report.window, report.token);
        let event = self.holder.borrow_mut().apply_answer(report, answer, Boot::now());
        match answer {
            Answer::Taken => {
                metrics::counter!("basilhaven_usage_reported_total").increment(1);
                let organisations = report.counts.len();
                let calls: u64 = report.counts.values().fold(0, |sum, n| sum.saturating_add(*n));
                tracing::info!(event = "usage_reported", window, %token, organisations, calls);
            }
            _ => tracing::warn!(event = "usage_not_reported", window, %token, %answer),
        }
        self.log(event);
    }
}

/// Sends the counts that the coordinator and its replacement do not have, now.
pub async fn send_counts(usage: &Usage, members: &cluster::Members, socket: &UdpSocket) {
    let now = Instant::now();
    for (target, part) in usage.outgoing(&members.remote_coordinators(now), now) {
        datagram::send(socket, &datagram::Frame::Usage(Message::Counts(part)), target).await;
    }
}

/// Sends counts periodically.
pub async fn exchange(usage: Rc<Usage>, members: Rc<cluster::Members>, socket: Rc<UdpSocket>) {
    loop {
        // Hosts that have started together don't send together.
        monoio::time::sleep(EXCHANGE_INTERVAL.mul_f64(0.75 + 0.5 * fastrand::f64())).await;
        send_counts(&usage, &members, &socket).await;
    }
}

/// Acquires and renews the lease, and writes the reports' rows, while this host is the coordinator.
pub async fn keep_lease<S>(usage: Rc<Usage>, store: Rc<S>, members: Rc<cluster::Members>)
where
    S: store::Store,
{
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        usage.expire();
        let now = Instant::now();
        let is_coordinator = members.state() == cluster::State::Ready
            && members.uptime(now) >= DISCOVERY_TIME
            && members.remote_coordinator(now).is_none();
        if is_coordinator {
            usage.coordinator_since.set(usage.coordinator_since.get().or(Some(now)));
            usage.advance(&*store).await;
        } else {
            usage.coordinator_since.set(None);
            usage.holder.borrow_mut().forget();
        }
        if usage.holder.borrow().holds(Boot::now()) {
            usage.log_missed();
        }
    }
}

/// Posts reports while this host holds the lease.
pub async fn post_reports<E>(usage: Rc<Usage>, endpoint: E)
where
    E: Endpoint,
{
    let interval = Duration::try_from_secs_f64(1.0 / (usage.settings.rate * RATE_SHARE));
    let interval = interval.unwrap_or(Duration::MAX).clamp(CHECK_INTERVAL / 2, usage.settings.late);
    loop {
        monoio::time::sleep(interval).await;
        if let Some(report) = usage.next_report() {
            usage.post(&endpoint, &report).await;
        }
    }
}
