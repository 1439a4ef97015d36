//! The reports of the lease's holder: which windows are decided, stored, posted and late.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use super::clock::{Boot, Wall};
use super::counts::{Counts, Gathering, Ledger, Schedule, Window};
use super::endpoint::Answer;
use super::lease;
use crate::gateway::store;

/// Delay before a report is posted again: after a failure, and if the endpoint gets too many calls.
const RETRY_DELAY: Duration = Duration::from_millis(500);
const BUSY_DELAY: Duration = Duration::from_secs(1);

/// Reports that are written to the store at a time.
const MAX_ROWS: usize = 16;

#[derive(Debug)]
struct Entry {
    counts: Rc<Counts>,
    /// The row's revision when it was last written or read.
    revision: store::Revision,
    /// Whether the row is in the store, as of the last read.
    is_stored: bool,
    is_posted: bool,
    retry_at: Boot,
}

/// The reports on windows, oldest first.
///
/// The counts of a window are decided once, by the write of its row. Only what is in the row is
/// posted.
#[derive(Debug)]
pub struct Reports {
    schedule: Schedule,
    entries: BTreeMap<Window, Entry>,
    /// The last window that was decided on, by this host or an earlier holder.
    decided: Option<Window>,
    missed: Vec<RangeInclusive<Window>>,
}

/// The rows to write along with the lease.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Rows that must not exist yet.
    pub create: Vec<(Window, Rc<Counts>)>,
    /// Rows that are not needed any more.
    pub remove: Vec<(Window, store::Revision)>,
    /// The last window that is decided on with this write.
    pub decided: Option<Window>,
    /// Windows that were late before they were decided on.
    missed: Option<RangeInclusive<Window>>,
}

impl Reports {
    /// Creates the state of a process that has not read the rows yet.
    pub fn new(schedule: Schedule) -> Reports {
        Reports { schedule, entries: BTreeMap::new(), decided: None, missed: Vec::new() }
    }

    /// Applies the rows that were read.
    pub fn apply_read(&mut self, rows: &store::UsageRows) {
        let decided = rows.lease.as_ref().and_then(|lease| lease.decided);
        let unreadable = rows.unreadable.iter().map(|(window, _)| *window).max();
        self.decided = self.decided.max(decided).max(unreadable);
        let era = rows.newest.era;
        let is_kept = |window: &Window| rows.reports.iter().any(|stored| stored.window == *window);
        // A row that is gone was removed by another holder, or lost by a restore. In the latter
        // case the same counts are written again.
        self.entries
            .retain(|window, entry| is_kept(window) || entry.is_posted || entry.revision.era < era);
        self.entries.values_mut().for_each(|entry| entry.is_stored = false);
        for stored in &rows.reports {
            let entry = self.entries.entry(stored.window).or_insert_with(|| Entry {
                counts: Rc::clone(&stored.counts),
                revision: stored.revision,
                is_stored: true,
                is_posted: false,
                retry_at: Boot::default(),
            });
            entry.counts = Rc::clone(&stored.counts);
            entry.revision = stored.revision;
            entry.is_stored = true;
            self.decided = self.decided.max(Some(stored.window));
        }
        for (window, revision) in &rows.unreadable {
            let entry = Entry {
                counts: Rc::default(),
                revision: *revision,
                is_stored: true,
                is_posted: true,
                retry_at: Boot::default(),
            };
            self.entries.insert(*window, entry);
        }
    }

    /// Returns whether rows wait to be created.
    pub fn has_pending(&self, now: Wall, gathering: Gathering) -> bool {
        let last = self.schedule.last_closed(now, gathering);
        self.decided.is_some_and(|decided| last > Some(decided)) || self.lost(now).next().is_some()
    }

    /// Returns the reports whose rows a restore has lost.
    fn lost(&self, now: Wall) -> impl Iterator<Item = (Window, &Entry)> {
        let is_lost = move |window: Window, entry: &Entry| {
            !entry.is_stored && !entry.is_posted && !self.schedule.is_late(window, now)
        };
        let entries = self.entries.iter().map(|(window, entry)| (*window, entry));
        entries.filter(move |(window, entry)| is_lost(*window, entry))
    }

    /// Returns the rows to write along with the lease.
    ///
    /// With a new lease no report is written. Windows that an earlier holder may have reported
    /// without a trace in the store are given up.
    pub fn batch(
        &self,
        write: &lease::Write,
        (ledger, gathering): (&Ledger, Gathering),
        now: Wall,
    ) -> Batch {
        let mut batch = Batch { decided: self.decided, ..Batch::default() };
        if write.is_acquisition {
            if write.is_history_lost || batch.decided.is_none() {
                // An earlier holder closes its windows as soon as one can.
                let last = self.schedule.last_closed(now, Gathering::Done);
                batch.decided = batch.decided.max(last);
            }
            return batch;
        }
        let last = self.schedule.last_closed(now, gathering);
        batch.create.extend(self.lost(now).map(|(window, e)| (window, Rc::clone(&e.counts))));
        if let (Some(decided), Some(last)) = (self.decided, last) {
            let first_in_time = self.schedule.first_in_time(now);
            if decided.saturating_add(1) < first_in_time {
                batch.missed = Some(decided + 1..=first_in_time - 1);
                batch.decided = Some(first_in_time - 1);
            }
            let open = decided.saturating_add(1).max(first_in_time)..=last;
            for window in open.take(MAX_ROWS) {
                batch.create.push((window, Rc::new(ledger.total(window))));
                batch.decided = Some(window);
            }
        }
        let is_done = |window: Window, entry: &Entry| {
            entry.is_stored && (entry.is_posted || self.schedule.is_late(window, now))
        };
        let done = self.entries.iter().filter(|(window, entry)| is_done(**window, entry));
        batch.remove = done.map(|(window, e)| (*window, e.revision)).take(MAX_ROWS).collect();
        batch
    }

    /// Applies a batch that was written.
    pub fn apply_written(&mut self, batch: Batch, revision: store::Revision) {
        self.decided = self.decided.max(batch.decided);
        self.missed.extend(batch.missed);
        for (window, counts) in batch.create {
            let entry = Entry {
                counts,
                revision,
                is_stored: true,
                is_posted: false,
                retry_at: Boot::default(),
            };
            self.entries.insert(window, entry);
        }
        for (window, _) in batch.remove {
            if let Some(entry) = self.entries.get_mut(&window) {
                entry.is_stored = false;
            }
        }
    }

    /// Drops reports that are late, and returns the windows that were not reported in time.
    pub fn take_missed(&mut self, now: Wall) -> Vec<RangeInclusive<Window>> {
        let schedule = self.schedule;
        let missed = &mut self.missed;
        self.entries.retain(|window, entry| {
            let is_late = schedule.is_late(*window, now);
            if is_late && !entry.is_posted {
                missed.push(*window..=*window);
                entry.is_posted = true;
            }
            !is_late || entry.is_stored
        });
        std::mem::take(missed)
    }

    /// Returns the next report to post.
    pub fn next(&self, now: Wall, boot: Boot) -> Option<(Window, Rc<Counts>)> {
        let mut entries = self.entries.iter();
        let found = entries.find(|(window, entry)| {
            entry.is_stored
                && !entry.is_posted
                && boot >= entry.retry_at
                && !self.schedule.is_late(**window, now)
        });
        found.map(|(window, entry)| (*window, Rc::clone(&entry.counts)))
    }

    /// Applies the answer to a report.
    pub fn apply_answer(&mut self, window: Window, answer: Answer, now: Boot) {
        let Some(entry) = self.entries.get_mut(&window) else { return };
        entry.is_posted |= answer == Answer::Taken;
        entry.retry_at = now.after(match answer {
            Answer::Busy => BUSY_DELAY,
            _ => RETRY_DELAY,
        });
    }
}
