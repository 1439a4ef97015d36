//! Time for other tasks.
//!
//! All tasks of a process share one thread. A task whose input never runs dry does not wait for
//! anything and would keep the thread, so each loop that takes input counts its work with a
//! [`Pace`]: after a share of work it pauses, and whoever waits for input starts anew.

use std::cell::Cell;
use std::future::Future;
use std::time::Duration;

/// Units of work of a connection and of a listener between two pauses. A unit is a read, a request,
/// an accepted connection, or what takes as long.
const CONNECTION_SHARE: u32 = 16;
const LISTENER_SHARE: u32 = 64;

/// Length of a pause, the shortest that the timers have. A task that merely lets others run first is
/// not enough: the runtime looks at its timers only when no task can run.
const PAUSE: Duration = Duration::from_millis(1);

thread_local! {
    /// The connections of this thread that pause.
    static PAUSING: Cell<u32> = const { Cell::new(0) };
}

/// The work that a task has done since it last waited or paused.
///
/// # Examples
///
/// ```
/// use basilhaven::pace;
/// use futures_util::FutureExt as _;
///
/// let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
/// builder.enable_timer().build().unwrap().block_on(async {
///     let pace = pace::Pace::of_connection();
///     let steps = (0..100).take_while(|_| pace.step(async {}).now_or_never().is_some());
///     assert_eq!(steps.count(), 16);
/// });
/// ```
#[derive(Debug)]
pub struct Pace {
    work: Cell<u32>,
    kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Connection,
    Listener,
}

impl Pace {
    /// Creates the pace of a connection, of which there may be thousands: the more of them pause,
    /// the less each does between two pauses.
    pub fn of_connection() -> Pace {
        Pace { work: Cell::new(0), kind: Kind::Connection }
    }

    /// Creates the pace of a socket that serves all peers. Connections that never wait do not slow
    /// it down.
    pub fn of_listener() -> Pace {
        Pace { work: Cell::new(0), kind: Kind::Listener }
    }

    /// Counts units of work.
    pub fn add(&self, units: u32) {
        self.work.set(self.work.get().saturating_add(units));
    }

    /// Pauses first if a share of work is done, and then awaits the next input, which is one unit.
    pub async fn step<F>(&self, input: F) -> F::Output
    where
        F: Future,
    {
        self.pause_if_due().await;
        self.add(1);
        self.wait(input).await
    }

    /// Awaits a future that completes with input from outside. Others run if it has to wait.
    pub async fn wait<F>(&self, input: F) -> F::Output
    where
        F: Future,
    {
        let mut input = std::pin::pin!(input);
        std::future::poll_fn(|context| {
            let polled = input.as_mut().poll(context);
            if polled.is_pending() {
                self.work.set(0);
            }
            polled
        })
        .await
    }

    /// Pauses if a share of work is done.
    pub async fn pause_if_due(&self) {
        if self.work.get() < self.share() {
            return;
        }
        let _pausing = (self.kind == Kind::Connection).then(Pausing::new);
        monoio::time::sleep(PAUSE).await;
        self.work.set(0);
    }

    fn share(&self) -> u32 {
        match self.kind {
            Kind::Connection => (CONNECTION_SHARE / (1 + PAUSING.get())).max(1),
            Kind::Listener => LISTENER_SHARE,
        }
    }
}

/// Counts a connection as pausing until it is dropped.
struct Pausing;

impl Pausing {
    fn new() -> Pausing {
        PAUSING.set(PAUSING.get() + 1);
        Pausing
    }
}

impl Drop for Pausing {
    fn drop(&mut self) {
        PAUSING.set(PAUSING.get() - 1);
    }
}
