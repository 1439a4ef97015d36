//! Wakes every task that waits for something to change.

use std::cell::{Cell, RefCell};
use std::future;
use std::task::{Poll, Waker};
use std::time::Duration;

/// A change that tasks of one thread can wait for.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::notify;
///
/// let changed = notify::Notifier::default();
/// let seen = changed.count();
/// changed.notify();
/// assert!(changed.count() > seen);
/// ```
#[derive(Debug, Default)]
pub struct Notifier {
    count: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl Notifier {
    /// How often it was notified.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Wakes all that wait.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        waiting.into_iter().for_each(Waker::wake);
    }

    /// Waits until it has been notified more often than `seen`.
    pub async fn wait(&self, seen: u64) {
        future::poll_fn(|context| {
            if self.count.get() > seen {
                return Poll::Ready(());
            }
            self.waiting.borrow_mut().push(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Waits until it has been notified more often than `seen`, or `limit` has passed.
    pub async fn wait_timeout(&self, seen: u64, limit: Duration) {
        // Both ends mean the same to those who wait: look again.
        let _ = monoio::time::timeout(limit, self.wait(seen)).await;
    }
}
