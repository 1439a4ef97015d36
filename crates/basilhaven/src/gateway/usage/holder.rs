//! What the coordinator does as the holder of the lease: the lease and the reports together, without
//! a network.

use std::ops::RangeInclusive;
use std::rc::Rc;

use super::clock::{Boot, Wall};
use super::counts::{Gathering, Ledger, Schedule, Window};
use super::endpoint::{Answer, Report};
use super::lease::{self, Lease, Token};
use super::reports::{Batch, Reports};
use super::Settings;
use crate::gateway::store;

/// The next call to the store.
#[derive(Debug, Clone)]
pub enum Step {
    /// None for now.
    Wait,
    /// Read the rows.
    Read,
    /// Write the rows.
    Write(Box<Pending>),
}

/// A write that has not been answered yet.
#[derive(Debug, Clone)]
pub struct Pending {
    lease: lease::Write,
    batch: Batch,
    /// When the write was planned; the lease lasts from then on.
    started: Boot,
}

impl Pending {
    /// Returns the rows to write.
    pub fn rows(&self) -> store::UsageWrite<'_> {
        store::UsageWrite {
            lease: &self.lease.row,
            expected: self.lease.expected,
            create: &self.batch.create,
            remove: &self.batch.remove,
        }
    }
}

/// What a process knows of the lease and the reports.
#[derive(Debug)]
pub struct Holder {
    lease: Lease,
    reports: Reports,
}

impl Holder {
    /// Creates the state of a process that has read nothing yet.
    pub fn new(settings: &Settings, name: &Rc<str>, incarnation: u64) -> Holder {
        let schedule = Schedule { window: settings.window, late: settings.late };
        let lease = Lease::new(Rc::clone(name), incarnation, settings.lease, settings.thaw_slack);
        Holder { lease, reports: Reports::new(schedule) }
    }

    /// Decides on the next call to the store.
    pub fn step(&self, now: Boot, wall: Wall, (ledger, gathering): (&Ledger, Gathering)) -> Step {
        match self.lease.plan(now, self.reports.has_pending(wall, gathering)) {
            lease::Plan::Wait => Step::Wait,
            lease::Plan::Read => Step::Read,
            lease::Plan::Write(mut lease) => {
                let batch = self.reports.batch(&lease, (ledger, gathering), wall);
                lease.row.decided = batch.decided;
                Step::Write(Box::new(Pending { lease: *lease, batch, started: now }))
            }
        }
    }

    /// Applies the rows that were read; the request was sent at `sent_at`.
    pub fn apply_read(
        &mut self,
        rows: &store::UsageRows,
        sent_at: Boot,
        now: Boot,
    ) -> Option<lease::Event> {
        self.reports.apply_read(rows);
        self.lease.apply_read(rows, sent_at, now)
    }

    /// Applies a write that was done.
    pub fn apply_written(
        &mut self,
        pending: Pending,
        written: store::UsageWritten,
        now: Boot,
    ) -> Option<lease::Event> {
        let Pending { lease, batch, started } = pending;
        self.reports.apply_written(batch, written.revision);
        self.lease.apply_written(&lease, written, started, now)
    }

    /// Applies the failure of a call to the store.
    pub fn apply_failure(&mut self, error: &store::Error, now: Boot) {
        self.lease.apply_failure(error, now);
    }

    /// Returns the token if this host holds the lease.
    pub fn token(&self, now: Boot) -> Option<Token> {
        self.lease.token(now)
    }

    /// Returns whether this host holds the lease.
    pub fn holds(&self, now: Boot) -> bool {
        self.token(now).is_some()
    }

    /// Returns the next report to post, if this host holds the lease.
    pub fn next_report(&self, now: Boot, wall: Wall) -> Option<Report> {
        let token = self.lease.token(now)?;
        let (window, counts) = self.reports.next(wall, now)?;
        Some(Report { window, counts, holder: Rc::clone(self.lease.holder()), token })
    }

    /// Returns whether a report with this token may be sent now.
    pub fn may_send(&self, token: Token, now: Boot) -> bool {
        self.lease.token(now) == Some(token)
    }

    /// Applies the answer to a report.
    pub fn apply_answer(
        &mut self,
        report: &Report,
        answer: Answer,
        now: Boot,
    ) -> Option<lease::Event> {
        self.reports.apply_answer(report.window, answer, now);
        match answer {
            Answer::Outdated => self.lease.refuse(report.token),
            _ => None,
        }
    }

    /// Drops a lease that has ended.
    pub fn expire(&mut self, now: Boot) -> Option<lease::Event> {
        self.lease.expire(now)
    }

    /// Makes the next step a read, since this host was not the coordinator meanwhile.
    pub fn forget(&mut self) {
        self.lease.forget();
    }

    /// Returns windows that were not reported in time, each once.
    pub fn take_missed(&mut self, wall: Wall) -> Vec<RangeInclusive<Window>> {
        self.reports.take_missed(wall)
    }
}
