//! Counts of calls by window and organisation: those of this host, and those received from others.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::clock::{Clock, Wall};

/// Time after a window's end, as a share of the time in which the report is due, at which its
/// counts are closed. Calls that began in the window have ended by then and their counts have
/// arrived; the rest is left for another host to take over the lease.
const CLOSE_SHARE: f64 = 0.35;

/// [`CLOSE_SHARE`] of a coordinator that may not have received the counts of all hosts yet. The rest
/// is left for the calls to the store and the endpoint.
const CLOSE_SHARE_WHILE_GATHERING: f64 = 0.85;

/// Organisations that are kept for one window and host; more are not counted.
const MAX_ORGANISATIONS: usize = 10_000;

/// Number of a window: how many windows have passed since the start of 1970.
pub type Window = u64;

/// The number of calls of each organisation.
pub type Counts = BTreeMap<Rc<str>, u64>;

/// Which counts the coordinator has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gathering {
    /// It has been the coordinator for so long that all hosts have sent it their counts.
    Done,
    /// Hosts may still be about to send it their counts.
    Ongoing,
}

impl Gathering {
    /// Returns the time after a window's end at which its counts are closed, as a share of the time
    /// in which the report is due.
    fn close_share(self) -> f64 {
        match self {
            Gathering::Done => CLOSE_SHARE,
            Gathering::Ongoing => CLOSE_SHARE_WHILE_GATHERING,
        }
    }
}

/// When windows begin, end, are closed and are late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Length of a window, which is not zero.
    pub window: Duration,
    /// How long after its window's end a report is due.
    pub late: Duration,
}

impl Schedule {
    /// Returns the window that contains a moment.
    pub fn window_at(&self, time: Wall) -> Window {
        let number = time.since_epoch().as_nanos() / self.window.as_nanos().max(1);
        Window::try_from(number).unwrap_or(Window::MAX)
    }

    /// Returns when a window ends.
    pub fn end(&self, window: Window) -> Wall {
        let nanos = self.window.as_nanos().saturating_mul(u128::from(window) + 1);
        Wall::from(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }

    /// Returns whether the report on a window is late.
    pub fn is_late(&self, window: Window, now: Wall) -> bool {
        self.end(window).since_epoch().saturating_add(self.late) <= now.since_epoch()
    }

    /// Returns the last window whose counts are closed; `None` if there is none.
    pub fn last_closed(&self, now: Wall, gathering: Gathering) -> Option<Window> {
        let at = now.before(self.late.mul_f64(gathering.close_share()));
        self.window_at(at).checked_sub(1)
    }

    /// Returns the first window that is not late.
    pub fn first_in_time(&self, now: Wall) -> Window {
        self.window_at(now.before(self.late))
    }
}

/// A run of a host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The host's address for other hosts.
    pub host: SocketAddr,
    /// Distinguishes the runs of the host's process.
    pub incarnation: u64,
}

/// The counts of all hosts, as this host knows them.
///
/// Counts of one origin and window only rise, so of two counts the larger one is newer: a message
/// that is repeated or overtaken does no harm.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::usage::counts::{Ledger, Origin};
///
/// let origin = Origin { host: "10.0.0.1:1".parse().unwrap(), incarnation: 1 };
/// let mut ledger = Ledger::default();
/// ledger.merge(7, origin, [("vopu11".into(), 3)]);
/// ledger.merge(7, origin, [("vopu11".into(), 2)]);
/// assert_eq!(ledger.total(7).get("vopu11"), Some(&3));
/// ```
#[derive(Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<Window, IndexMap<Origin, Counts>>,
}

impl Ledger {
    /// Adds a call to the counts of an origin.
    pub fn add(&mut self, window: Window, origin: Origin, organisation: &Rc<str>) {
        let counts = self.windows.entry(window).or_default().entry(origin).or_default();
        if let Some(count) = counts.get_mut(organisation) {
            *count += 1;
        } else if counts.len() < MAX_ORGANISATIONS {
            counts.insert(Rc::clone(organisation), 1);
        }
    }

    /// Merges counts of an origin.
    pub fn merge<I>(&mut self, window: Window, origin: Origin, counts: I)
    where
        I: IntoIterator<Item = (Rc<str>, u64)>,
    {
        let known = self.windows.entry(window).or_default().entry(origin).or_default();
        for (organisation, count) in counts {
            if known.len() >= MAX_ORGANISATIONS && !known.contains_key(&organisation) {
                continue;
            }
            let newest = known.entry(organisation).or_default();
            *newest = count.max(*newest);
        }
    }

    /// Returns the counts of all hosts together.
    pub fn total(&self, window: Window) -> Counts {
        let mut total = Counts::new();
        for counts in self.windows.get(&window).into_iter().flat_map(IndexMap::values) {
            for (organisation, count) in counts {
                let sum = total.entry(Rc::clone(organisation)).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        total
    }

    /// Returns the counts of each window and origin.
    pub fn iter(&self) -> impl Iterator<Item = (Window, Origin, &Counts)> {
        self.windows.iter().flat_map(|(window, origins)| {
            origins.iter().map(|(origin, counts)| (*window, *origin, counts))
        })
    }

    /// Drops the windows before this one.
    pub fn prune(&mut self, first: Window) {
        self.windows = self.windows.split_off(&first);
    }
}

/// What a host that counts calls needs.
#[derive(Debug)]
struct Active {
    schedule: Schedule,
    origin: Origin,
}

/// Counts the calls of this host, and keeps the counts received from others.
#[derive(Debug, Default)]
pub struct Counter {
    /// `None` if usage is not reported.
    active: Option<Active>,
    /// The clock by which calls are assigned to windows.
    pub clock: Clock,
    /// The counts of this host and of others.
    pub ledger: RefCell<Ledger>,
}

impl Counter {
    /// Creates the counter of a process.
    pub fn new(schedule: Schedule, origin: Origin) -> Counter {
        Counter { active: Some(Active { schedule, origin }), ..Counter::default() }
    }

    /// Returns the counter of a host that does not report usage; it counts nothing.
    pub fn off() -> Counter {
        Counter::default()
    }

    /// Counts a call that began to run at an upstream at this moment; nothing if it belongs to no
    /// organisation.
    pub fn record(&self, organisation: Option<&Rc<str>>, now: Instant) {
        let (Some(active), Some(organisation)) = (&self.active, organisation) else { return };
        let began = self.clock.now().before(now.elapsed());
        let window = active.schedule.window_at(began);
        self.ledger.borrow_mut().add(window, active.origin, organisation);
    }

    /// Returns a record of a call that is sent now. It is counted once the record is dropped, also
    /// if the task is cancelled meanwhile.
    pub fn begin<'a>(&'a self, organisation: Option<&'a Rc<str>>, now: Instant) -> Running<'a> {
        Running { counter: self, organisation, began: now }
    }
}

/// A call that may be running at an upstream.
#[derive(Debug)]
#[must_use]
pub struct Running<'a> {
    counter: &'a Counter,
    organisation: Option<&'a Rc<str>>,
    began: Instant,
}

impl Running<'_> {
    /// Records that the upstream has turned the call away, which is then not counted.
    pub fn turned_away(mut self) {
        self.organisation = None;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.counter.record(self.organisation, self.began);
    }
}
