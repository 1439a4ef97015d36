//! The request bodies that an upstream may have to hold.

use std::cell::Cell;

use super::SMALL_LEN;
use crate::gateway::notify;

/// Bytes that all hosts together may have in transit to one upstream under any configuration. With
/// less, an ordinary upload of 60 kB would wait for another one at each of some 100 hosts.
const MIN_TRANSIT_LEN: usize = 16 * 1024 * 1024;

/// Returns how many bytes of request bodies this host may have in transit to one upstream, if all
/// hosts together may have as much as the longest legal body: an upstream has to be able to hold
/// that.
pub fn max_transit_len(max_body_len: usize, budget_share: f64) -> usize {
    (max_body_len.max(MIN_TRANSIT_LEN) as f64 * budget_share) as usize
}

/// The request bodies that this host has in transit to one upstream.
///
/// Answers load of large bodies for one upstream, which ends if the requests that it holds exceed
/// its memory.
#[derive(Debug, Default)]
pub struct Transit {
    bytes: Cell<usize>,
    released: notify::Notifier,
}

impl Transit {
    /// Counts a body if there is room for it, which there always is for a single one. Small ones
    /// are not counted, so that an ordinary call does not wait for a large one.
    pub fn try_enter(&self, len: usize, max: usize) -> Option<InTransit<'_>> {
        let len = if len <= SMALL_LEN { 0 } else { len };
        let bytes = self.bytes.get();
        let is_free = len == 0 || bytes == 0 || bytes.saturating_add(len) <= max;
        is_free.then(|| {
            self.bytes.set(bytes + len);
            InTransit { transit: self, len }
        })
    }

    /// Counts a body once there is room for it.
    pub async fn enter(&self, len: usize, max: usize) -> InTransit<'_> {
        loop {
            let seen = self.released.count();
            match self.try_enter(len, max) {
                Some(entered) => return entered,
                None => self.released.wait(seen).await,
            }
        }
    }
}

/// A body that is counted as in transit until this is dropped.
#[derive(Debug)]
pub struct InTransit<'a> {
    transit: &'a Transit,
    len: usize,
}

impl Drop for InTransit<'_> {
    fn drop(&mut self) {
        self.transit.bytes.set(self.transit.bytes.get() - self.len);
        self.transit.released.notify();
    }
}
