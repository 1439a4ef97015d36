//! What the operating system receives on callers' connections before it is read.

use std::cell::Cell;

use super::RECEIVE_LEN;

/// The part of all receive buffers that is divided equally among the connections that are admitted
/// at most; each connection gets another part of what is left of the rest.
const SHARE_OF_ALL: f64 = 0.25;
const SHARE_OF_ONE: f64 = 1.0 / 64.0;

/// The receive buffers of callers' connections.
///
/// Answers load of more connections than the memory has room for if each has as long a buffer as a
/// single one needs. A connection takes its length from the listener when it is established. The
/// operating system receives up to twice that length.
#[derive(Debug, Default)]
pub(super) struct Buffers {
    /// The length that each connection has at least.
    min_len: usize,
    /// What all connections together may have beyond that; `None` without a bound.
    spare: Option<Cell<usize>>,
    /// The length for connections that are established now.
    len: Cell<usize>,
}

impl Buffers {
    /// Divides what may be received in all among at most so many connections.
    pub(super) fn new(received: Option<usize>, max_connections: Option<usize>) -> Buffers {
        let Some(received) = received else { return Buffers::default() };
        let bytes = received / 2;
        let Some(max) = max_connections else {
            return Buffers { min_len: RECEIVE_LEN, ..Buffers::default() };
        };
        let min_len = ((bytes as f64 * SHARE_OF_ALL) as usize / max).min(RECEIVE_LEN);
        Buffers { min_len, spare: Some(Cell::new(bytes - min_len * max)), len: Cell::default() }
    }

    /// Returns the length for the connections that are established next if it has changed.
    pub(super) fn take_change(&self) -> Option<usize> {
        let spare = self.spare.as_ref().map_or(0, Cell::get) as f64;
        let len = (self.min_len + (spare * SHARE_OF_ONE) as usize).min(RECEIVE_LEN);
        (self.len.replace(len) != len).then_some(len)
    }

    /// Counts a connection that was established with the present length, which is returned.
    pub(super) fn grant(&self) -> usize {
        let len = self.len.get();
        if let Some(spare) = &self.spare {
            spare.set(spare.get().saturating_sub(len.saturating_sub(self.min_len)));
        }
        len
    }

    /// Gives back the length of a connection that has ended.
    pub(super) fn give_back(&self, len: usize) {
        if let Some(spare) = &self.spare {
            spare.set(spare.get() + len.saturating_sub(self.min_len));
        }
    }
}
