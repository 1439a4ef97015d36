//! The lease that allows one host to report usage: a row of the users' store.
//!
//! Two clocks are compared, and each side errs on the safe side. The row says at which time of the
//! store's clock the lease ends. The holder counts from the moment before it sent the write, on a
//! clock that also counts suspended time, and stops earlier by the slack. Others wait until a
//! response of the store, or the time since one, shows that the end has passed.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::clock::Boot;
use super::counts::Window;
use crate::gateway::store;

/// Bits of a token below the era. The store's revisions stay below this at 1,000 writes a second
/// for 30 years.
const REVISION_BITS: u32 = 40;

/// Share of the lease's length after which it is renewed.
const RENEWAL_SHARE: f64 = 1.0 / 3.0;

/// Delay after a call that the store refused or did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A fencing token: the era of the store, then the revision of the store that the holder knew when
/// it asked for the lease. An earlier acquisition within the era has raised the revision, so tokens
/// rise, also if a row is lost.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::From,
    derive_more::Into,
)]
#[serde(transparent)]
pub struct Token(u64);

impl Token {
    /// Returns the token for a lease that is acquired after a read at this revision.
    pub fn new(revision: store::Revision) -> Token {
        Token(revision.era.number() << REVISION_BITS | revision.number)
    }

    /// Returns whether the token was made in this era.
    pub fn is_of(self, era: store::Era) -> bool {
        self.0 >> REVISION_BITS == era.number()
    }
}

/// The content of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The name of the holder.
    pub holder: Rc<str>,
    /// Distinguishes the runs of the holder's process.
    pub incarnation: u64,
    /// The fencing token.
    pub token: Token,
    /// When the lease ends, by the store's clock.
    pub expires: Duration,
    /// The last window whose report has been decided on; `None` if none has.
    pub decided: Option<Window>,
}

/// What to do next about the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// Nothing for now.
    Wait,
    /// Read the rows.
    Read,
    /// Write this row if it still has the revision `expected`.
    Write(Box<Write>),
}

/// A conditional write of the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The row.
    pub row: Row,
    /// The revision that the row has to have; its number is 0 if there must be no row.
    pub expected: store::Revision,
    /// Whether the lease is acquired, and not renewed.
    pub is_acquisition: bool,
    /// Whether reports of earlier holders may be missing in the store, because there is no lease or
    /// it is from before a restore, and this host was not the holder.
    pub is_history_lost: bool,
}

/// A change of the lease, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// This host has become the holder, with this token.
    Acquired(Token),
    /// This host is no longer the holder.
    Lost(Token, Loss),
}

/// Why a lease was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Loss {
    /// Another host has it.
    #[display("taken by another host")]
    Taken,
    /// The endpoint has seen a higher token.
    #[display("the endpoint has seen a higher token")]
    Outdated,
    /// It has ended without a renewal.
    #[display("not renewed in time")]
    Expired,
}

/// What the store's row was when it was last read or written.
#[derive(Debug, Clone)]
struct Seen {
    /// The content; `None` if there is no row or it cannot be read.
    row: Option<Row>,
    /// The revision of the row, and the era.
    revision: store::Revision,
    /// The newest revision of the store.
    newest: store::Revision,
    /// The store's clock in the last response, and when the request was sent and answered.
    clock: Duration,
    sent_at: Boot,
    received_at: Boot,
    /// When the row was first seen with this revision.
    first_seen: Boot,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    token: Token,
    valid_until: Boot,
    renewed_at: Boot,
}

/// The lease as one process knows it.
#[derive(Debug)]
pub struct Lease {
    holder: Rc<str>,
    incarnation: u64,
    length: Duration,
    slack: Duration,
    seen: Option<Seen>,
    needs_read: bool,
    held: Option<Held>,
    /// The highest token that the endpoint has refused.
    refused: Option<Token>,
    retry_at: Boot,
}

impl Lease {
    /// Creates the state of a process that has not read the row yet.
    pub fn new(holder: Rc<str>, incarnation: u64, length: Duration, slack: Duration) -> Lease {
        Lease {
            holder,
            incarnation,
            length,
            slack,
            seen: None,
            needs_read: true,
            held: None,
            refused: None,
            retry_at: Boot::default(),
        }
    }

    /// Returns the token if this host may act on the lease now.
    pub fn token(&self, now: Boot) -> Option<Token> {
        self.held.filter(|held| now < held.valid_until).map(|held| held.token)
    }

    /// Returns the name under which this host holds the lease.
    pub fn holder(&self) -> &Rc<str> {
        &self.holder
    }

    /// Returns whether the row, as last seen, is this process's own and usable.
    fn is_own(&self, seen: &Seen) -> Option<Token> {
        let row = seen.row.as_ref()?;
        let is_own = row.holder == self.holder
            && row.incarnation == self.incarnation
            && row.token.is_of(seen.revision.era)
            && self.refused.is_none_or(|refused| row.token > refused);
        is_own.then_some(row.token)
    }

    /// Returns whether no other host can be acting on the lease.
    fn is_free(&self, seen: &Seen, now: Boot) -> bool {
        // Nobody acts for longer than this after its last write, whatever became of the row.
        if now >= seen.first_seen.after(self.length + self.slack) {
            return true;
        }
        match &seen.row {
            Some(row) if row.token.is_of(seen.revision.era) => {
                seen.clock + now.since(seen.received_at) >= row.expires
            }
            // The row is missing or from before a restore: only the holder knows that it is free.
            _ => self.token(now).is_some(),
        }
    }

    /// Decides what to do next; `has_reports` says whether reports wait to be written along.
    pub fn plan(&self, now: Boot, has_reports: bool) -> Plan {
        if now < self.retry_at {
            return Plan::Wait;
        }
        let Some(seen) = self.seen.as_ref().filter(|_| !self.needs_read) else { return Plan::Read };
        let expires = seen.clock + now.since(seen.sent_at) + self.length;
        let write = |token: Token, is_acquisition: bool, is_history_lost: bool| {
            let decided = seen.row.as_ref().and_then(|row| row.decided);
            let (holder, incarnation) = (Rc::clone(&self.holder), self.incarnation);
            Plan::Write(Box::new(Write {
                row: Row { holder, incarnation, token, expires, decided },
                expected: seen.revision,
                is_acquisition,
                is_history_lost,
            }))
        };
        if let Some(token) = self.is_own(seen) {
            let renew_at = self
                .held
                .map_or(now, |held| held.renewed_at.after(self.length.mul_f64(RENEWAL_SHARE)));
            return match now >= renew_at || has_reports {
                true => write(token, false, false),
                false => Plan::Wait,
            };
        }
        if !self.is_free(seen, now) {
            return Plan::Wait;
        }
        let row = seen.row.as_ref();
        let after = row.map_or(Token::default(), |row| Token(row.token.0.saturating_add(1)));
        let is_history_lost =
            !row.is_some_and(|row| row.token.is_of(seen.revision.era)) && self.token(now).is_none();
        write(Token::new(seen.newest).max(after), true, is_history_lost)
    }

    /// Applies the rows that were read.
    pub fn apply_read(
        &mut self,
        rows: &store::UsageRows,
        sent_at: Boot,
        now: Boot,
    ) -> Option<Event> {
        let known = self.seen.as_ref().filter(|known| known.revision == rows.lease_revision);
        let seen = Seen {
            row: rows.lease.clone(),
            revision: rows.lease_revision,
            newest: rows.newest,
            clock: rows.clock,
            sent_at,
            received_at: now,
            first_seen: known.map_or(now, |known| known.first_seen),
        };
        self.needs_read = false;
        let held = self.held.take();
        let own = self.is_own(&seen);
        // Another host can only have acquired the lease in the era that the row is from.
        let is_taken = own.is_none()
            && seen.row.as_ref().is_some_and(|row| row.token.is_of(seen.revision.era));
        let event = match (own, held) {
            (Some(token), held) => {
                let left = seen.row.as_ref().map_or(Duration::ZERO, |row| row.expires);
                let left = left.saturating_sub(seen.clock);
                let valid_until = sent_at.after(left).before(self.slack);
                let is_valid = now < valid_until;
                // It is renewed at once: how long ago it was written is not known.
                let renewed_at = now.before(self.length);
                self.held = is_valid.then_some(Held { token, valid_until, renewed_at });
                let is_new = is_valid && held.is_none_or(|held| held.token != token);
                is_new.then_some(Event::Acquired(token))
            }
            (None, Some(held)) if is_taken => Some(Event::Lost(held.token, Loss::Taken)),
            (None, held) => {
                self.held = held;
                None
            }
        };
        self.seen = Some(seen);
        event
    }

    /// Applies a write that was done. `started` is the moment before its row was planned.
    pub fn apply_written(
        &mut self,
        write: &Write,
        written: store::UsageWritten,
        started: Boot,
        now: Boot,
    ) -> Option<Event> {
        let token = write.row.token;
        let known = self.held.map(|held| held.token);
        let valid_until = started.after(self.length).before(self.slack);
        // The endpoint may have refused the token while the write was on its way.
        let is_refused = self.refused.is_some_and(|refused| token <= refused);
        self.held = (!is_refused).then_some(Held { token, valid_until, renewed_at: started });
        self.seen = Some(Seen {
            row: Some(write.row.clone()),
            revision: written.revision,
            newest: written.revision,
            clock: written.clock,
            sent_at: started,
            received_at: now,
            first_seen: now,
        });
        (!is_refused && known != Some(token)).then_some(Event::Acquired(token))
    }

    /// Applies the failure of a call to the store.
    pub fn apply_failure(&mut self, error: &store::Error, now: Boot) {
        self.retry_at = now.after(RETRY_DELAY);
        match error {
            store::Error::Busy | store::Error::Unavailable => {}
            store::Error::Conflict => {
                self.needs_read = true;
                self.retry_at = now;
            }
            // A write may have been done, or the row may belong to another era.
            store::Error::Restored
            | store::Error::HistoryGone
            | store::Error::Unanswered(_)
            | store::Error::Endless(_)
            | store::Error::Unexpected(_) => self.needs_read = true,
        }
    }

    /// Gives up a lease whose token the endpoint has refused: nothing more is done with it.
    pub fn refuse(&mut self, token: Token) -> Option<Event> {
        self.refused = self.refused.max(Some(token));
        let held = self.held.filter(|held| held.token <= token)?;
        self.held = None;
        Some(Event::Lost(held.token, Loss::Outdated))
    }

    /// Drops a lease that has ended, so that its end is logged.
    pub fn expire(&mut self, now: Boot) -> Option<Event> {
        let held = self.held.filter(|held| now >= held.valid_until)?;
        self.held = None;
        Some(Event::Lost(held.token, Loss::Expired))
    }

    /// Forgets what was read, since this host has not been the coordinator for a while.
    pub fn forget(&mut self) {
        self.needs_read = true;
    }
}
