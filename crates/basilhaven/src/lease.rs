//! The lease under which one host at a time steers: a row of the platform's table.
//!
//! No clock is shared. The holder counts the lease's duration on its own clock from before it asked,
//! less a margin; any other host counts it in full on its own clock, from when it first saw the row as
//! it still is. A holder that is paused between its last look at the clock and a write is kept out by
//! its [`Token`]: the write is made only while the lease's row has the revision that the token names.

use std::cell::Cell;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::{member, name, platform};

/// The row of the table that holds the lease.
pub const KEY: &str = "basilhaven-lease";

/// How long a lease lasts that is not renewed.
pub const DURATION: Duration = Duration::from_secs(6);

/// The share of the duration by which a holder thinks its lease over before others do.
const MARGIN: f64 = 0.25;

/// The share of the duration after which a holder renews.
const RENEW_AFTER: f64 = 0.3;

/// Writes tried in one step.
const WRITES: usize = 2;

/// Who holds a lease: one run of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The host's name.
    pub name: name::Name,
    /// Tells one run of the host from the next.
    pub incarnation: u64,
}

impl From<&member::Host> for Holder {
    fn from(host: &member::Host) -> Holder {
        Holder { name: host.name.clone(), incarnation: host.incarnation }
    }
}

/// The lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Who holds it; nobody once it is released.
    pub holder: Option<Holder>,
    /// Rises with each new holder.
    pub epoch: u64,
}

/// The right to steer, as the platform can check it with each write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// The revision of the lease's row.
    pub revision: u64,
    /// Rises with each new holder.
    pub epoch: u64,
}

impl Token {
    /// The condition that each write under the lease carries.
    pub fn check(&self) -> platform::Check {
        platform::Check { key: KEY.to_owned(), expect: self.revision }
    }
}

#[derive(Debug, Clone, Copy)]
struct Held {
    token: Token,
    renew_at: Instant,
    until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    revision: u64,
    since: Instant,
}

/// One host's part in the lease.
#[derive(Debug)]
pub struct Lease {
    own: Holder,
    duration: Duration,
    held: Cell<Option<Held>>,
    seen: Cell<Option<Seen>>,
}

impl Lease {
    /// A lease that this host does not hold; all hosts must give the same duration.
    pub fn new(own: Holder, duration: Duration) -> Lease {
        Lease { own, duration, held: Cell::default(), seen: Cell::default() }
    }

    /// The token, while this host holds the lease by its own clock.
    pub fn token(&self) -> Option<Token> {
        let held = self.held.get().filter(|held| Instant::now() < held.until);
        held.map(|held| held.token)
    }

    /// Acquires or renews the lease where it is time to; to be called a few times in its duration.
    /// Returns the token, while this host holds the lease.
    pub async fn acquire_or_renew(&self, platform: &platform::Client) -> Option<Token> {
        let fresh = self.held.get().filter(|held| Instant::now() < held.renew_at);
        if fresh.is_some() {
            return self.token();
        }
        for _ in 0..WRITES {
            let Ok(Some((expect, epoch))) = self.claim(platform).await else { break };
            match self.write(platform, expect, Some(self.own.clone()), epoch).await {
                Ok(true) => break,
                Ok(false) => self.held.set(None),
                Err(_) => {
                    // The write may have taken effect: the row is to be read before the next one.
                    self.held.set(None);
                    break;
                }
            }
        }
        self.token()
    }

    /// Gives the lease up, so that another host need not wait for its end.
    pub async fn release(&self, platform: &platform::Client) {
        let Some(held) = self.held.take() else { return };
        // Lost on the way, it lapses with time.
        let _ = self.write(platform, held.token.revision, None, held.token.epoch).await;
        self.held.set(None);
    }

    /// The revision to write over and the epoch to write, where this host may take the lease.
    async fn claim(
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
        let stored: Option<Stored> = serde_json::from_value(row.value).ok();
        let epoch = stored.as_ref().map_or(0, |stored| stored.epoch);
        match stored.and_then(|stored| stored.holder) {
            Some(holder) if holder == self.own => Ok(Some((row.revision, epoch))),
            Some(_) if !self.lapsed(row.revision) => Ok(None),
            _ => Ok(Some((row.revision, epoch + 1))),
        }
    }

    /// Whether another's lease has been seen unchanged for longer than it lasts.
    fn lapsed(&self, revision: u64) -> bool {
        let now = Instant::now();
        match self.seen.get().filter(|seen| seen.revision == revision) {
            Some(seen) => now.duration_since(seen.since) > self.duration,
            None => {
                self.seen.set(Some(Seen { revision, since: now }));
                false
            }
        }
    }

    /// Writes the row; tells whether it took effect.
    async fn write(
        &self,
        platform: &platform::Client,
        expect: u64,
        holder: Option<Holder>,
        epoch: u64,
    ) -> Result<bool, platform::Error> {
        let asked = Instant::now();
        let value = serde_json::to_value(Stored { holder, epoch }).expect("plain data");
        let write = platform::Write { key: KEY.to_owned(), expect, value };
        let transaction = platform::Transaction { writes: vec![write], checks: Vec::new() };
        let platform::Outcome::Written(revision) = platform.transact(&transaction).await? else {
            return Ok(false);
        };
        self.held.set(Some(Held {
            token: Token { revision, epoch },
            renew_at: asked + self.duration.mul_f64(RENEW_AFTER),
            until: asked + self.duration.mul_f64(1.0 - MARGIN),
        }));
        Ok(true)
    }
}
