//! Moves of a service's traffic from one version to another.
//!
//! The row of moves says what is to be: [`Move`]. Every host divides its own calls by it
//! ([`crate::split`]), judges the new version by them ([`watch`], [`judge`]), and stops at once when
//! it finds it bad, or hears so ([`brake`]). One host at a time adds up what all have found
//! ([`evidence`]) and lets the share grow ([`schedule`], [`steering`]).

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

/// The moves of all services; a service has one at most.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Moves(pub IndexMap<name::Name, Move>);

/// How far a move is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Traffic is moving over.
    #[display("running")]
    Running,
    /// All traffic has moved over.
    #[display("done")]
    Done,
    /// All traffic is back on the old version.
    #[display("taken back: {_0}")]
    #[serde(rename = "taken-back")]
    RolledBack(String),
}

/// One move.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Tells this move from every other, also from a later one between the same versions.
    pub id: call::Id,
    /// The version that has the traffic.
    pub from: name::Name,
    /// The version that is to get it.
    pub to: name::Name,
    /// When all traffic is to have moved, in milliseconds since the Unix epoch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "by_ms")]
    pub deadline: Duration,
    /// The stage of the schedule that it has reached.
    pub stage: u8,
    /// The new version's share of the idempotent calls over all hosts together, in hundredths of a
    /// per cent.
    pub share: u16,
    /// Its share of the calls that run at most once; it follows behind.
    pub once_share: u16,
    /// How far it is.
    pub phase: Phase,
}

/// A share of all traffic.
pub const FULL_SHARE: u16 = 10_000;

/// The most that a version gets until it is proven.
pub const UNPROVEN_SHARE: u16 = 500;

impl Move {
    /// A move that starts now, at the schedule's first stage.
    pub fn start(from: name::Name, to: name::Name, deadline: Duration) -> Move {
        let (share, once_share) = schedule::STAGES[0];
        let id = call::Id::random();
        Move { id, from, to, deadline, stage: 0, share, once_share, phase: Phase::Running }
    }

    /// Takes the move back; the first reason stays.
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

/// The time since the Unix epoch.
pub fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
