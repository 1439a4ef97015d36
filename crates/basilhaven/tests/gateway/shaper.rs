//! Large bodies on a slow link leave room for small messages.

use std::time::{Duration, Instant};

use basilhaven::gateway::shaper;

/// A link of 10 Mbit/s in bytes a second.
const LINK_BYTES: f64 = 1.25e6;

/// The link's queue, first in first out: when what was passed to it so far has been transferred.
struct Link {
    free_at: Instant,
}

impl Link {
    fn push(&mut self, len: usize, now: Instant) {
        let transfer = Duration::from_secs_f64(len as f64 / LINK_BYTES);
        self.free_at = self.free_at.max(now) + transfer;
    }
}

/// Sends bodies in pieces, as the shaper allows; returns the longest that a packet which arrives at
/// any time waits on the link, and when the last body has been transferred.
fn transfer(shaper: &shaper::Shaper, bodies: &[usize]) -> (Duration, Duration) {
    let start = Instant::now();
    let mut link = Link { free_at: start };
    let mut unsent = bodies.to_vec();
    // The next piece of each body, by the time of its turn.
    let mut turns: Vec<(Instant, usize)> = Vec::new();
    for body in 0..bodies.len() {
        turns.push((start + shaper.reserve(shaper::PIECE_LEN, start), body));
    }
    let mut longest_wait = Duration::ZERO;
    while !turns.is_empty() {
        turns.sort();
        let (now, body) = turns.remove(0);
        let piece = unsent[body].min(shaper::PIECE_LEN);
        unsent[body] -= piece;
        link.push(piece, now);
        longest_wait = longest_wait.max(link.free_at - now);
        if unsent[body] > 0 {
            turns.push((now + shaper.reserve(shaper::PIECE_LEN, now), body));
        }
    }
    (longest_wait, link.free_at - start)
}

/// A burst of uploads to a host with a link of 10 Mbit/s: probes timed out after 50 ms behind the
/// bodies, and the host took its upstreams for silent.
#[test]
fn a_burst_of_large_bodies_does_not_delay_small_messages() {
    let bodies = [60_000, 360_000, 60_000, 20_000, 60_000, 120_000, 60_000, 60_000];
    let total: usize = bodies.iter().sum();
    let (unshaped, _) = transfer(&shaper::Shaper::new(None), &bodies);
    assert!(unshaped > Duration::from_millis(500), "the load fills the link: {unshaped:?}");
    let (wait, end) = transfer(&shaper::Shaper::new(Some(10.0)), &bodies);
    assert!(wait < Duration::from_millis(10), "a small message waits {wait:?}");
    let limit = Duration::from_secs_f64(total as f64 / LINK_BYTES) * 2;
    assert!(end < limit, "the bodies take {end:?} instead of {limit:?}");
}
