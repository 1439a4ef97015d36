//! Waiting for notifications.

use std::future::Future as _;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};

use basilhaven::gateway::notify::Notifier;

struct Task;

impl Wake for Task {
    fn wake(self: Arc<Task>) {}
}

/// Guards against a notifier that keeps tasks in memory which no longer wait, or a waker for each
/// time that one was polled. A notifier that is notified once, when a host stops, would keep every
/// connection that there was.
#[test]
fn a_notifier_keeps_no_task_that_does_not_wait() {
    let (notifier, task) = (Notifier::default(), Arc::new(Task));
    let waker = Waker::from(Arc::clone(&task));
    let mut context = Context::from_waker(&waker);
    {
        let mut waiting = pin!(notifier.wait(0));
        for _ in 0..100 {
            assert_eq!(waiting.as_mut().poll(&mut context), Poll::Pending);
        }
        assert!(Arc::strong_count(&task) <= 3, "{} references", Arc::strong_count(&task));
    }
    assert_eq!(Arc::strong_count(&task), 2, "references of a task that has stopped waiting");
}

/// Guards against a waiting task that is not woken because another one has stopped waiting.
#[test]
fn each_waiting_task_is_notified() {
    let notifier = Notifier::default();
    let mut context = Context::from_waker(Waker::noop());
    let (mut first, mut second) = (pin!(notifier.wait(0)), Box::pin(notifier.wait(0)));
    assert_eq!(first.as_mut().poll(&mut context), Poll::Pending);
    assert_eq!(second.as_mut().poll(&mut context), Poll::Pending);
    drop(second);
    notifier.notify();
    assert_eq!(first.as_mut().poll(&mut context), Poll::Ready(()));
    let mut later = pin!(notifier.wait(1));
    assert_eq!(later.as_mut().poll(&mut context), Poll::Pending);
}
