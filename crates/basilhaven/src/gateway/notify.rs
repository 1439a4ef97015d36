//! Notification of tasks that wait for a change, within one thread.

use std::cell::{Cell, RefCell};
use std::future;
use std::task::{Poll, Waker};
use std::time::Duration;

/// Counts notifications and wakes the tasks of one thread that wait for the next one.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::notify;
///
/// let notifier = notify::Notifier::default();
/// let seen = notifier.count();
/// notifier.notify();
/// assert!(notifier.count() > seen);
/// ```
#[derive(Debug, Default)]
pub struct Notifier {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notifier {
    /// Returns the number of notifications so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        let wakers = std::mem::take(&mut *self.wakers.borrow_mut());
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Waits until the number of notifications exceeds `seen`.
    pub async fn wait(&self, seen: u64) {
        future::poll_fn(|context| {
            if self.count.get() > seen {
                return Poll::Ready(());
            }
            self.wakers.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Waits until the number of notifications exceeds `seen`, or `timeout` has passed.
    pub async fn wait_timeout(&self, seen: u64, timeout: Duration) {
        // The callers check their condition again in both cases.
        let _ = monoio::time::timeout(timeout, self.wait(seen)).await;
    }
}
