//! Recent placement decisions, kept so that operators can look up why an upstream was selected.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{call, config, name};

/// Number of decisions that are kept per service.
const MAX_DECISIONS: usize = 64;

/// A placement decision: the upstream selected for an attempt of a call, and its inputs.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The time of the decision, in milliseconds since the Unix epoch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
    /// The call.
    pub call: call::Id,
    /// The class of the caller.
    pub class: config::Class,
    /// The number of earlier attempts; 0 for the first attempt.
    pub attempt: usize,
    /// The selected upstream.
    pub upstream: name::Name,
    /// The number of upstreams that had room for the call.
    pub candidates: usize,
    /// The cost of the selected upstream: the expected duration of the attempt, in multiples of the
    /// service's baseline latency.
    #[serde(rename = "cost_ms")]
    pub cost: f64,
    /// The number of calls of this host in flight to the upstream, including this one.
    pub in_flight: u32,
    /// The number of calls that were waiting for an upstream of the service.
    pub queued: usize,
}

impl Decision {
    /// Writes the decision to the log.
    pub fn log(&self, service: &name::Name) {
        tracing::info!(
            event = "placement",
            service = %service,
            call = %self.call,
            class = %self.class,
            attempt = self.attempt,
            upstream = %self.upstream,
            candidates = self.candidates,
            cost_ms = self.cost,
            in_flight = self.in_flight,
            queued = self.queued,
        );
    }
}

/// The most recent decisions of one service.
#[derive(Debug, Default)]
pub struct Recent(RefCell<VecDeque<Decision>>);

impl Recent {
    /// Adds a decision, and drops the oldest one if there are too many.
    pub fn push(&self, decision: Decision) {
        let mut decisions = self.0.borrow_mut();
        if decisions.len() == MAX_DECISIONS {
            decisions.pop_front();
        }
        decisions.push_back(decision);
    }

    /// Returns the decisions, the newest first.
    pub fn newest(&self) -> Vec<Decision> {
        self.0.borrow().iter().rev().cloned().collect()
    }
}
