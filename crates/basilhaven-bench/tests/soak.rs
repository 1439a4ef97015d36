//! A short soak of fixed seeds; `basilhaven-bench soak` runs longer ones.

use basilhaven_bench::soak::{self, Options};
use basilhaven_bench::standin::block_on;

fn holds(seed: u64, seconds: u64) {
    let outcome = block_on(soak::run(Options { seed, seconds, hosts: 4, ..Options::default() }));
    let answered = outcome.calls.get("200").copied().unwrap_or_default();
    assert!(outcome.findings.is_empty(), "{outcome:#?}");
    assert!(answered > 100, "too few calls to judge: {outcome:?}");
}

#[test]
fn promises_hold_while_faults_come_in_series() {
    holds(41, 8);
}

/// A host was killed some milliseconds after the order to kill it; the check took that for a cut by a host
/// that lives.
#[test]
fn seed_3_with_a_call_that_a_dying_host_took() {
    holds(3, 10);
}
