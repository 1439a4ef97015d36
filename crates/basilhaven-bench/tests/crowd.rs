//! Clients that hold connections without making ordinary calls, beside hosts under faults.

use basilhaven_bench::crowd::Profile;
use basilhaven_bench::soak::{self, Options};
use basilhaven_bench::standin::block_on;

#[test]
fn guarantees_hold_beside_a_crowd_of_all_kinds() {
    let crowd = Some(Profile::Mixed);
    let options = Options { seed: 1601, seconds: 6, hosts: 4, crowd, ..Options::default() };
    let outcome = block_on(soak::run(options));
    let answered = outcome.calls.get("200").copied().unwrap_or_default();
    let opened = outcome.crowd.unwrap_or_default().opened;
    assert!(outcome.findings.is_empty(), "{outcome:#?}");
    assert!(answered > 100, "too few calls were answered for a verdict: {outcome:?}");
    assert!(opened >= 200, "the crowd opened too few connections for a verdict: {outcome:?}");
}

#[test]
fn profiles_have_the_names_that_they_are_parsed_from() {
    for profile in Profile::ALL {
        assert_eq!(profile.name().parse(), Ok(profile));
    }
    let error = "short".parse::<Profile>().expect_err("no such profile");
    assert!(error.contains("\"short\" does not exist") && error.contains("short-body"), "{error}");
}
