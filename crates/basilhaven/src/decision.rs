//! Recent placement decisions, kept for operators who ask why.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{call, config, name};

/// Decisions of one service that are kept.
const MAX_DECISIONS: usize = 64;

/// One decision: which upstream took an attempt of a call, and on what grounds.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// When it was made, in milliseconds since the Unix epoch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
    /// The call.
    pub call: call::Id,
    /// The class of its caller.
    pub class: config::Class,
    /// The attempt; 0 is the first.
    pub attempt: usize,
    /// The upstream that was chosen.
    pub upstream: name::Name,
    /// Upstreams that might have been chosen.
    pub candidates: usize,
    /// The cost by which it was chosen, in milliseconds.
    pub cost_ms: f64,
    /// Calls that this host had in flight to it, this one among them.
    pub in_flight: u32,
    /// Calls that waited for an upstream of the service.
    pub queued: usize,
}

impl Decision {
    /// Writes the decision's log line.
    pub fn log(&self, service: &name::Name) {
        tracing::info!(
            event = "placement",
            service = %service,
            call = %self.call,
            class = %self.class,
            attempt = self.attempt,
            upstream = %self.upstream,
            candidates = self.candidates,
            cost_ms = self.cost_ms,
            in_flight = self.in_flight,
            queued = self.queued,
        );
    }
}

/// The newest decisions of one service.
#[derive(Debug, Default)]
pub struct Recent(RefCell<VecDeque<Decision>>);

impl Recent {
    /// Keeps a decision; the oldest makes room for it.
    pub fn push(&self, decision: Decision) {
        let mut kept = self.0.borrow_mut();
        if kept.len() == MAX_DECISIONS {
            kept.pop_front();
        }
        kept.push_back(decision);
    }

    /// The decisions kept, the newest first.
    pub fn newest(&self) -> Vec<Decision> {
        self.0.borrow().iter().rev().cloned().collect()
    }
}
