//! Settings that a deployment does not have: a template renders them as empty texts.

use basilhaven::finding;
use basilhaven::gateway::settings;

const REQUIRED: [(&str, &str); 8] = [
    ("--name", "host"),
    ("--data-centre", "a"),
    ("--listen", "127.0.0.1:0"),
    ("--ready", "127.0.0.1:0"),
    ("--directory", "127.0.0.1:0"),
    ("--peer", "127.0.0.1:0"),
    ("--metrics", "127.0.0.1:0"),
    ("--store", "127.0.0.1:0"),
];

const OPTIONAL: [&str; 15] = [
    "--seeds",
    "--first-start",
    "--entry-ttl-s",
    "--grace-s",
    "--retry-ratio",
    "--retry-slack",
    "--exposure-share",
    "--orders-within-s",
    "--probe-rate",
    "--heartbeat-s",
    "--cores",
    "--link-mbps",
    "--log",
    "--memory-mb",
    "--max-fds",
];

fn parse(settings: &[(&str, &str)]) -> Result<settings::Settings, finding::Findings> {
    let arguments: Vec<String> =
        settings.iter().map(|(flag, value)| format!("{flag}={value}")).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let raw = settings::raw().run_inner(&*arguments).expect("known flags");
    settings::Settings::try_from(raw)
}

/// No process started on a deployment without a setting for moves between versions.
#[test]
fn an_empty_setting_is_the_same_as_an_absent_one() {
    let absent = parse(&REQUIRED).expect("valid settings");
    for flag in OPTIONAL {
        let mut settings = REQUIRED.to_vec();
        settings.push((flag, ""));
        let empty = parse(&settings).unwrap_or_else(|findings| panic!("{flag}: {findings}"));
        assert_eq!(format!("{empty:?}"), format!("{absent:?}"), "{flag}");
    }
    assert_eq!(absent.exposure_share, None);
}

#[test]
fn a_required_setting_that_is_empty_is_reported_by_its_flag() {
    for (flag, _) in &REQUIRED[2..] {
        let settings = REQUIRED.map(|(name, value)| (name, if name == *flag { "" } else { value }));
        let findings = parse(&settings).expect_err("an invalid address");
        assert_eq!(findings.iter().map(|f| &*f.place).collect::<Vec<_>>(), [*flag]);
    }
}
