//! Short soak runs with fixed seeds; `basilhaven-bench soak` runs longer ones.

use std::time::{Duration, Instant};

use basilhaven_bench::gateway::Response;
use basilhaven_bench::soak::caller::{End, Record};
use basilhaven_bench::soak::system::{History, Run, Span};
use basilhaven_bench::soak::{self, check, Options};
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

/// Returns whether cut hosts are found to serve too little if one host is cut from second 10 to 15 and
/// then another one from 30 to 40. Each host gets ten calls a second, and serves those for which
/// `is_served` holds, given the host and the second.
fn is_found<F>(is_served: F) -> bool
where
    F: Fn(usize, u64) -> bool,
{
    let start = Instant::now();
    let second = |number| start + Duration::from_secs(number);
    let cut = |host, from, to| (host, Span { from: second(from), to: Some(second(to)) });
    let run = |host| Run {
        host,
        started: start,
        terminated: None,
        killed: None,
        ended: None,
        log: String::new(),
    };
    let call = |number: u64| {
        let (host, at) = ((number % 3) as usize, number / 30);
        let status = if is_served(host, at) { 200 } else { 502 };
        let (head, body) = (String::new(), String::new());
        Record {
            id: format!("id-{number}"),
            method: "GET",
            path: "/safe/1".to_owned(),
            host,
            deadline: Duration::from_secs(2),
            sent: second(at),
            ended: second(at),
            end: End::Answered(Response { status, head, body, is_complete: true }),
        }
    };
    let history = History {
        runs: (0..3).map(run).collect(),
        cuts: vec![cut(0, 10, 15), cut(1, 30, 40)],
        ..History::default()
    };
    let calls: Vec<Record> = (30 * 5..30 * 45).map(call).collect();
    let findings = check::verify(&calls, &[], &history);
    findings.iter().any(|one| one.property.contains("cut from all upstreams"))
}

/// Guards against a false finding: calls at a cut host while no upstream could serve anybody were
/// compared with calls at other hosts during other cuts.
#[test]
fn a_cut_host_is_compared_with_others_of_the_same_time() {
    let nobody_is_served_from_30_on = |_, second| second < 30;
    assert!(!is_found(nobody_is_served_from_30_on));
    assert!(is_found(|host, second| host != 1 || second < 30));
    // Too little over both cuts, though the second host is served as the others are.
    assert!(is_found(|host, second| host != 0 && second < 30));
    assert!(!is_found(|_, _| true));
}
