//! Measures by how much the machine delays a thread that has to run.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the thread sleeps; what it oversleeps is the delay.
const INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct State {
    longest_us: AtomicU64,
    is_stopped: AtomicBool,
}

/// A thread that records its longest delay until the monitor is dropped.
#[derive(Debug)]
pub struct Monitor {
    state: Arc<State>,
}

impl Monitor {
    /// Starts the thread.
    pub fn start() -> Monitor {
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            while !shared.is_stopped.load(Ordering::Relaxed) {
                let before = Instant::now();
                std::thread::sleep(INTERVAL);
                let delay = before.elapsed().saturating_sub(INTERVAL);
                shared.longest_us.fetch_max(delay.as_micros() as u64, Ordering::Relaxed);
            }
        });
        Monitor { state }
    }

    /// Returns the longest delay so far.
    pub fn longest(&self) -> Duration {
        Duration::from_micros(self.state.longest_us.load(Ordering::Relaxed))
    }
}

impl Drop for Monitor {
    fn drop(&mut self) {
        self.state.is_stopped.store(true, Ordering::Relaxed);
    }
}
