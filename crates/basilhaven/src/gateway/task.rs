//! Tasks that serve one connection or make one request, whose failure must not end the process.

use std::any::Any;
use std::cell::Cell;
use std::future::Future;
use std::panic::AssertUnwindSafe;

use futures_util::FutureExt as _;

/// Runs a task to its end. A panic in it is logged with the task's name, and ends this task only.
///
/// What the task holds is dropped then, as at its normal end. State that several tasks share is
/// given back on drop; see [`Count`].
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::task;
/// use futures_util::FutureExt as _;
///
/// let task = task::contain("connection", async { panic!("a fault") });
/// assert_eq!(task.now_or_never(), Some(()));
/// ```
pub async fn contain<F>(name: &'static str, task: F)
where
    F: Future<Output = ()>,
{
    if let Err(payload) = AssertUnwindSafe(task).catch_unwind().await {
        metrics::counter!("basilhaven_task_panics_total", "task" => name).increment(1);
        tracing::error!(event = "task_panicked", task = name, message = message(&*payload));
    }
}

/// Returns the message of a panic, whose place the panic itself has written to standard error.
fn message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<&str>().copied();
    text.or_else(|| payload.downcast_ref::<String>().map(String::as_str)).unwrap_or_default()
}

/// Counts a task for as long as it exists, also if it panics.
///
/// # Examples
///
/// ```
/// use std::cell::Cell;
/// use basilhaven::gateway::task;
///
/// let tasks = Cell::new(0);
/// let count = task::Count::new(&tasks);
/// assert_eq!(tasks.get(), 1);
/// drop(count);
/// assert_eq!(tasks.get(), 0);
/// ```
#[derive(Debug)]
pub struct Count<'a>(&'a Cell<usize>);

impl<'a> Count<'a> {
    /// Adds one to a counter until this is dropped.
    pub fn new(counter: &'a Cell<usize>) -> Count<'a> {
        counter.set(counter.get() + 1);
        Count(counter)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
