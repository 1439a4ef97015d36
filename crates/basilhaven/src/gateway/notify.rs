//! Notification of tasks that wait for a change, within one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
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
    /// The wakers of waiting tasks, by the number of the wait.
    wakers: RefCell<BTreeMap<u64, Waker>>,
    next_number: Cell<u64>,
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
        wakers.into_values().for_each(Waker::wake);
    }

    /// Waits until the number of notifications exceeds `seen`.
    pub async fn wait(&self, seen: u64) {
        let wait = Wait { notifier: self, number: self.next_number.get() };
        self.next_number.set(wait.number + 1);
        future::poll_fn(|context| {
            if self.count.get() > seen {
                return Poll::Ready(());
            }
            wait.set_waker(context.waker());
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

/// The registration of a waiting task. Its waker is removed when it stops waiting: a waker keeps the
/// memory of its task, also after the task has ended.
struct Wait<'a> {
    notifier: &'a Notifier,
    number: u64,
}

impl Wait<'_> {
    fn set_waker(&self, waker: &Waker) {
        let mut wakers = self.notifier.wakers.borrow_mut();
        match wakers.get_mut(&self.number) {
            Some(known) => known.clone_from(waker),
            None => {
                wakers.insert(self.number, waker.clone());
            }
        }
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        // Dropped after the borrow: the last waker of a task may end it.
        let removed = self.notifier.wakers.borrow_mut().remove(&self.number);
        drop(removed);
    }
}
