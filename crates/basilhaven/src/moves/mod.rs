//! Moves of a service's traffic from one version to another.
//!
//! The row of moves in the platform's table holds the desired state: one [`Move`] per service.
//! Every host splits its own calls between the versions by this row ([`crate::split`]), compares
//! the new version with the old one on those calls ([`monitor`], [`detector`]), and sends no more
//! calls to the new version as soon as it finds a regression or another host reports one
//! ([`halt`]). One host at a time, the coordinator, sums up the evidence of all hosts, that is,
//! their counts of calls, errors and slow calls ([`evidence`], [`aggregate`]), and raises the new
//! version's share in stages ([`schedule`], [`coordinator`]).

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{call, name};

pub mod aggregate;
pub mod coordinator;
pub mod detector;
pub mod evidence;
pub mod halt;
pub mod monitor;
pub mod schedule;

/// The moves of all services, at most one per service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Moves(pub IndexMap<name::Name, Move>);

/// Phase of a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Traffic is moving to the new version.
    #[display("running")]
    Running,
    /// All traffic is on the new version.
    #[display("done")]
    Done,
    /// All traffic is back on the old version, for the given reason.
    #[display("taken back: {_0}")]
    #[serde(rename = "taken-back")]
    RolledBack(String),
}

/// A move of one service's traffic.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Unique identifier; a later move between the same versions has a different identifier.
    pub id: call::Id,
    /// The old version, which has the traffic at the start.
    pub from: name::Name,
    /// The new version, which receives the traffic.
    pub to: name::Name,
    /// Time by which all traffic should have moved, in milliseconds since the Unix epoch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "by_ms")]
    pub deadline: Duration,
    /// Current stage of the schedule, an index into [`schedule::STAGES`].
    pub stage: u8,
    /// The new version's share of the idempotent calls of all hosts, in hundredths of a per cent.
    pub share: u16,
    /// The new version's share of the at-most-once calls, in hundredths of a per cent; lags behind
    /// `share`.
    pub once_share: u16,
    /// Current phase.
    pub phase: Phase,
}

/// Share of the calls of a version that has all traffic, in hundredths of a per cent.
pub const FULL_SHARE: u16 = 10_000;

/// Maximum share of the calls of a new version on which there is not yet sufficient evidence, in
/// hundredths of a per cent.
pub const UNPROVEN_SHARE: u16 = 500;

impl Move {
    /// Creates a move at the schedule's first stage.
    pub fn start(from: name::Name, to: name::Name, deadline: Duration) -> Move {
        let (share, once_share) = schedule::STAGES[0];
        let id = call::Id::random();
        Move { id, from, to, deadline, stage: 0, share, once_share, phase: Phase::Running }
    }

    /// Rolls the move back for the given reason. Does nothing if the move is rolled back already.
    pub fn roll_back<R>(&mut self, reason: R)
    where
        R: Into<String>,
    {
        if !matches!(self.phase, Phase::RolledBack(_)) {
            self.share = 0;
            self.once_share = 0;
            self.phase = Phase::RolledBack(reason.into());
        }
    }
}

/// Returns the time since the Unix epoch.
pub fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
