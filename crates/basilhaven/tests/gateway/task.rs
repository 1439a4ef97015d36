//! A task that panics ends by itself.

use std::cell::Cell;

use basilhaven::gateway::task;
use futures_util::FutureExt as _;

// Guards against one request that ends the process, and the calls of all others with it.
#[test]
fn a_panic_ends_its_task_only_and_gives_back_what_it_counted() {
    let calls = Cell::new(1);
    for _ in 0..2 {
        let task = task::contain("call", async {
            let _count = task::Count::new(&calls);
            assert_eq!(calls.get(), 1, "this assertion fails");
        });
        assert_eq!(task.now_or_never(), Some(()));
        assert_eq!(calls.get(), 1);
    }
}
