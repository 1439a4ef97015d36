//! A short soak of fixed seeds; `basilhaven-bench soak` runs longer ones.

use basilhaven_bench::soak::{self, Options};
use basilhaven_bench::standin::block_on;

fn holds(seed: u64, seconds: u64, hosts: usize) {
    let outcome = block_on(soak::run(Options { seed, seconds, hosts, ..Options::default() }));
    let answered = outcome.calls.get("200").copied().unwrap_or_default();
    assert!(outcome.findings.is_empty(), "{outcome:#?}");
    assert!(answered > 100, "too few calls to judge: {outcome:?}");
}

#[test]
fn promises_hold_while_faults_come_in_series() {
    holds(41, 8, 4);
}

/// A host was killed some milliseconds after the order to kill it; the check took that for a cut by a host
/// that lives.
#[test]
fn seed_3_with_a_call_that_a_dying_host_took() {
    holds(3, 10, 4);
}

/// A host was killed twice within some milliseconds; the check took the second order for the one that cut a
/// call.
#[test]
fn seed_410_with_a_host_that_is_killed_twice() {
    holds(410, 10, 5);
}
