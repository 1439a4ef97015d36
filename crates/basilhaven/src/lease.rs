//! The lease under which one host at a time coordinates moves: a row of the platform's table.
//!
//! No clocks are compared between hosts. The holder measures the duration of the lease, less a
//! margin, on its own clock from before it sent the write. Any other host measures the full
//! duration on its own clock from when it first read the row at its current revision. A holder that
//! is paused between checking the clock and writing is stopped by its [`Token`]: the write takes
//! effect only if the lease's row still has the revision that the token names.

use std::cell::Cell;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{member, name, platform};

/// The key of the row that holds the lease.
pub const KEY: &str = "basilhaven-lease";

/// The duration of a lease that is not renewed.
pub const DURATION: Duration = Duration::from_secs(6);

/// The fraction of the duration by which the lease ends for its holder before it ends for others.
const EXPIRY_MARGIN: f64 = 0.25;

/// The fraction of the duration after which the holder renews the lease.
const RENEW_AFTER: f64 = 0.3;

/// The maximum number of writes in one call of [`Lease::acquire_or_renew`].
const MAX_WRITES: usize = 2;

/// The holder of a lease: one process of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The name of the host.
    pub name: name::Name,
    /// Distinguishes process incarnations of the host.
    pub incarnation: u64,
}

impl From<&member::Host> for Holder {
    fn from(host: &member::Host) -> Holder {
        Holder { name: host.name.clone(), incarnation: host.incarnation }
    }
}

/// The content of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The holder of the lease; `None` after a release.
    pub holder: Option<Holder>,
    /// A number that rises with each new holder.
    pub epoch: u64,
}

/// The right to coordinate moves, in a form that the platform checks with each write (a fencing
/// token).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// The revision of the lease's row.
    pub revision: u64,
    /// A number that rises with each new holder.
    pub epoch: u64,
}

impl Token {
    /// Returns the condition for writes under the lease.
    pub fn check(&self) -> platform::Check {
        platform::Check { key: KEY.to_owned(), expect: self.revision }
    }
}

/// The lease as this host holds it, with times on this host's clock.
#[derive(Debug, Clone, Copy)]
struct Held {
    token: Token,
    renew_at: Instant,
    expires_at: Instant,
}

/// The revision of a lease's row with another holder, and when this host first read the row at it.
#[derive(Debug, Clone, Copy)]
struct Observation {
    revision: u64,
    since: Instant,
}

/// One host's side of the lease.
#[derive(Debug)]
pub struct Lease {
    own: Holder,
    duration: Duration,
    held: Cell<Option<Held>>,
    observed: Cell<Option<Observation>>,
}

impl Lease {
    /// Creates a lease that this host does not hold yet. All hosts must use the same duration.
    pub fn new(own: Holder, duration: Duration) -> Lease {
        Lease { own, duration, held: Cell::default(), observed: Cell::default() }
    }

    /// Returns the token if this host holds the lease according to its own clock.
    pub fn token(&self) -> Option<Token> {
        let held = self.held.get().filter(|held| Instant::now() < held.expires_at);
        held.map(|held| held.token)
    }

    /// Acquires or renews the lease if it is time to, and returns the token if this host holds the
    /// lease. Has to be called several times per duration.
    pub async fn acquire_or_renew(&self, platform: &platform::Client) -> Option<Token> {
        let not_yet_due = self.held.get().filter(|held| Instant::now() < held.renew_at);
        if not_yet_due.is_some() {
            return self.token();
        }
        for _ in 0..MAX_WRITES {
            let Ok(Some((expect, epoch))) = self.acquirable(platform).await else { break };
            match self.write(platform, expect, Some(self.own.clone()), epoch).await {
                Ok(true) => break,
                Ok(false) => self.held.set(None),
                Err(_) => {
                    // The write may have taken effect, so the next call has to read the row first.
                    self.held.set(None);
                    break;
                }
            }
        }
        self.token()
    }

    /// Releases the lease, so that another host need not wait for its expiry.
    pub async fn release(&self, platform: &platform::Client) {
        let Some(held) = self.held.take() else { return };
        // If the write fails, the lease expires at the end of its duration.
        let _ = self.write(platform, held.token.revision, None, held.token.epoch).await;
        self.held.set(None);
    }

    /// Returns the revision of the row to replace and the epoch to write if this host may acquire
    /// or renew the lease, and `None` if another host holds it.
    async fn acquirable(
        &self,
        platform: &platform::Client,
    ) -> Result<Option<(u64, u64)>, platform::Error> {
        if let Some(held) = self.held.get() {
            return Ok(Some((held.token.revision, held.token.epoch)));
        }
        let row = match platform.read(KEY, 0).await? {
            platform::Read::Found(row) => row,
            platform::Read::Absent => return Ok(Some((0, 1))),
            platform::Read::Unchanged => return Ok(None),
        };
        let stored: Option<Row> = serde_json::from_value(row.value).ok();
        let epoch = stored.as_ref().map_or(0, |stored| stored.epoch);
        match stored.and_then(|stored| stored.holder) {
            Some(holder) if holder == self.own => Ok(Some((row.revision, epoch))),
            Some(_) if !self.has_expired(row.revision) => Ok(None),
            _ => Ok(Some((row.revision, epoch + 1))),
        }
    }

    /// Returns whether the row of another holder's lease has stayed at this revision for longer
    /// than the duration.
    fn has_expired(&self, revision: u64) -> bool {
        let now = Instant::now();
        match self.observed.get().filter(|observation| observation.revision == revision) {
            Some(observation) => now.duration_since(observation.since) > self.duration,
            None => {
                self.observed.set(Some(Observation { revision, since: now }));
                false
            }
        }
    }

    /// Writes the row, and returns whether the write took effect.
    async fn write(
        &self,
        platform: &platform::Client,
        expect: u64,
        holder: Option<Holder>,
        epoch: u64,
    ) -> Result<bool, platform::Error> {
        let sent_at = Instant::now();
        let value = serde_json::to_value(Row { holder, epoch }).expect("plain data");
        let write = platform::Write { key: KEY.to_owned(), expect, value };
        let transaction = platform::Transaction { writes: vec![write], checks: Vec::new() };
        let platform::Outcome::Written(revision) = platform.transact(&transaction).await? else {
            return Ok(false);
        };
        self.held.set(Some(Held {
            token: Token { revision, epoch },
            renew_at: sent_at + self.duration.mul_f64(RENEW_AFTER),
            expires_at: sent_at + self.duration.mul_f64(1.0 - EXPIRY_MARGIN),
        }));
        Ok(true)
    }
}
