//! Shapes the transfer of large request bodies to a part of the link's bandwidth.
//!
//! Answers load in which many large bodies arrive over a slow link: without shaping, small calls and
//! probes queue behind them on the link for tens of milliseconds. Upstreams then appear silent, and
//! calls that take only a few packets are late.

use std::cell::Cell;
use std::io;
use std::time::{Duration, Instant};

use crate::http1::{self, body};

/// Share of the bandwidth that large bodies may use in each direction.
const BANDWIDTH_SHARE: f64 = 0.6;

/// Bytes of each body that are received without delay.
pub const UNSHAPED_LEN: usize = 8 * 1024;

/// Length in bytes of the pieces in which a large body is sent: 7 ms of a link of 10 Mbit/s.
pub const PIECE_LEN: usize = 8 * 1024;

/// The transfers of large bodies in one direction of the link.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use basilhaven::gateway::shaper;
///
/// let now = Instant::now();
/// let shaper = shaper::Shaper::new(Some(8.0));
/// assert_eq!(shaper.reserve(60_000, now), Duration::ZERO);
/// // Of a megabyte a second, large bodies use 0.6.
/// assert_eq!(shaper.reserve(60_000, now), Duration::from_millis(100));
/// assert_eq!(shaper::Shaper::new(None).reserve(60_000, now), Duration::ZERO);
/// ```
#[derive(Debug)]
pub struct Shaper {
    /// Bytes per second; `None` if the bandwidth is not known.
    rate: Option<f64>,
    /// When the pieces admitted so far have been transferred.
    free_at: Cell<Option<Instant>>,
}

impl Shaper {
    /// Creates a shaper for a link of this bandwidth, in megabits a second; without one, transfers
    /// are not delayed.
    pub fn new(link_mbps: Option<f64>) -> Shaper {
        let rate = link_mbps.filter(|mbps| *mbps > 0.0);
        let rate = rate.map(|mbps| mbps * 1e6 / 8.0 * BANDWIDTH_SHARE);
        Shaper { rate, free_at: Cell::default() }
    }

    /// Reserves the transfer of `len` bytes, and returns how long to wait before it.
    ///
    /// Pieces of several bodies are transferred in the order in which they are reserved, so that
    /// the bodies share the bandwidth.
    pub fn reserve(&self, len: usize, now: Instant) -> Duration {
        let Some(rate) = self.rate else { return Duration::ZERO };
        let start = self.free_at.get().map_or(now, |at| at.max(now));
        self.free_at.set(Some(start + Duration::from_secs_f64(len as f64 / rate)));
        start.saturating_duration_since(now)
    }

    /// Writes a message in pieces until the peer sends something.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails. It is then unknown how much was written.
    pub async fn send(&self, conn: &mut http1::Conn, unsent: &mut body::Unsent) -> io::Result<()> {
        while !unsent.is_empty() {
            let mut piece = unsent.split_to(PIECE_LEN);
            self.wait(piece.len()).await;
            if !conn.write_unsent_unless_answered(&mut piece).await? {
                unsent.prepend(piece);
                break;
            }
        }
        Ok(())
    }

    /// Waits for the turn of a piece of `len` bytes.
    pub async fn wait(&self, len: usize) {
        let delay = self.reserve(len, Instant::now());
        if !delay.is_zero() {
            monoio::time::sleep(delay).await;
        }
    }
}
