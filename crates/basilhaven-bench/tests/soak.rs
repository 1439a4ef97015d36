//! Short soak runs with fixed seeds; `basilhaven-bench soak` runs longer ones.

use basilhaven_bench::soak::{self, Options};
use basilhaven_bench::standin::block_on;

fn check_run(seed: u64, seconds: u64, hosts: usize) {
    let outcome = block_on(soak::run(Options { seed, seconds, hosts, ..Options::default() }));
    let answered = outcome.calls.get("200").copied().unwrap_or_default();
    assert!(outcome.findings.is_empty(), "{outcome:#?}");
    assert!(answered > 100, "too few calls were answered for a verdict: {outcome:?}");
}

#[test]
fn guarantees_hold_during_series_of_faults() {
    check_run(41, 8, 4);
}

/// Guards the check against attributing a cut call to a live host. A killed host dies some
/// milliseconds after the kill is requested, and accepts calls until then.
#[test]
fn seed_3_with_a_call_accepted_by_a_host_being_killed() {
    check_run(3, 10, 4);
}

/// Guards the check against attributing a cut call to the second of two kills of a host that follow
/// within some milliseconds.
#[test]
fn seed_410_with_a_host_killed_twice() {
    check_run(410, 10, 5);
}
