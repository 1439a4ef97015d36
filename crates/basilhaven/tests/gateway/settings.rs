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

const OPTIONAL: [&str; 21] = [
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
    "--usage-endpoint",
    "--usage-window-s",
    "--usage-late-s",
    "--lease-s",
    "--thaw-slack-s",
    "--usage-rate",
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
    assert_eq!(absent.usage, None);
}

fn parse_with(more: &[(&str, &str)]) -> Result<settings::Settings, finding::Findings> {
    let settings: Vec<(&str, &str)> = REQUIRED.iter().chain(more).copied().collect();
    parse(&settings)
}

// Guards against a deployment with an endpoint that does not start because it has no other setting
// of usage reports.
#[test]
fn an_endpoint_alone_turns_on_usage_reports() {
    let endpoint = ("--usage-endpoint", "127.0.0.1:9");
    let usage = parse_with(&[endpoint]).expect("valid settings").usage.expect("usage reports");
    let seconds = |time: std::time::Duration| time.as_secs_f64();
    let times = [usage.window, usage.late, usage.lease, usage.thaw_slack].map(seconds);
    assert_eq!((times, usage.rate), ([5.0, 10.0, 3.0, 0.3], 50.0));
    let empty = ["--usage-window-s", "--usage-late-s", "--lease-s", "--thaw-slack-s"];
    for flag in empty {
        let with_empty = parse_with(&[endpoint, (flag, "")]).expect("valid settings");
        assert_eq!(with_empty.usage, Some(usage), "{flag}");
    }
}

// Guards against windows of no length, which no moment belongs to, and a lease that its holder may
// never act on.
#[test]
fn impossible_settings_of_usage_reports_are_reported_by_their_flags() {
    let endpoint = ("--usage-endpoint", "127.0.0.1:9");
    let invalid = [
        ("--usage-endpoint", "nowhere"),
        ("--usage-window-s", "0"),
        ("--usage-window-s", "1e300"),
        ("--usage-late-s", "-1"),
        ("--lease-s", "0"),
        ("--thaw-slack-s", "1.5"),
        ("--usage-rate", "0"),
    ];
    for (flag, value) in invalid {
        let given = match flag {
            "--usage-endpoint" => parse_with(&[(flag, value)]),
            _ => parse_with(&[endpoint, (flag, value)]),
        };
        let findings = given.expect_err(value);
        assert_eq!(findings.iter().map(|f| &*f.place).collect::<Vec<_>>(), [flag], "{value}");
    }
    // Without an endpoint they are not used.
    assert_eq!(parse_with(&[("--usage-rate", "0")]).expect("valid settings").usage, None);
}

// Guards against a time that a host cannot add to its clock: it ended when it was told to stop, or
// did not start and named no setting.
#[test]
fn a_time_that_is_too_long_is_reported_by_its_flag() {
    for flag in ["--entry-ttl-s", "--grace-s", "--orders-within-s", "--heartbeat-s"] {
        for value in ["1e300", "1e19", "1e10"] {
            let findings = parse_with(&[(flag, value)]).expect_err(value);
            assert_eq!(findings.iter().map(|f| &*f.place).collect::<Vec<_>>(), [flag], "{value}");
        }
    }
}

#[test]
fn a_required_setting_that_is_empty_is_reported_by_its_flag() {
    for (flag, _) in &REQUIRED[2..] {
        let settings = REQUIRED.map(|(name, value)| (name, if name == *flag { "" } else { value }));
        let findings = parse(&settings).expect_err("an invalid address");
        assert_eq!(findings.iter().map(|f| &*f.place).collect::<Vec<_>>(), [*flag]);
    }
}
