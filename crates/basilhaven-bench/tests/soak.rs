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

/// Guards against a false finding: a killed host dies some milliseconds after the kill is requested
/// and a call that it accepted until then was counted as cut by a live host.
#[test]
fn seed_3_with_a_call_accepted_by_a_host_being_killed() {
    check_run(3, 10, 4);
}

/// Guards against a false finding: when a host is killed twice within some milliseconds, a call cut
/// by the first kill was attributed to the second.
#[test]
fn seed_410_with_a_host_killed_twice() {
    check_run(410, 10, 5);
}
