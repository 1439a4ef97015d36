//! Settings of the gateway, from flags and environment variables.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;

use super::{memory, usage};
use crate::finding;

/// Units of capacity per core, so that hosts can state their capacity to a twentieth of a core.
const CAPACITY_PER_CORE: f64 = 20.0;

const BYTES_PER_MB: f64 = 1_000_000.0;

/// Values of optional settings that are absent or empty. A template renders a setting that a
/// deployment does not have as an empty text.
const DEFAULT_ENTRY_TTL_S: f64 = 5.0;
const DEFAULT_GRACE_S: f64 = 6.0;
const DEFAULT_RETRY_RATIO: f64 = 0.2;
const DEFAULT_RETRY_SLACK: f64 = 50.0;
const DEFAULT_ORDERS_WITHIN_S: f64 = 2.0;
const DEFAULT_PROBE_RATE: f64 = 60.0;
const DEFAULT_HEARTBEAT_S: f64 = 1.5;
const DEFAULT_CORES: f64 = 1.0;
const DEFAULT_USAGE_WINDOW_S: f64 = 5.0;
const DEFAULT_USAGE_LATE_S: f64 = 10.0;
const DEFAULT_LEASE_S: f64 = 3.0;
const DEFAULT_THAW_SLACK_S: f64 = 0.3;
const DEFAULT_USAGE_RATE: f64 = 50.0;

/// The settings as given, before validation.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options("gateway"),
    generate(raw),
    descr("Entry host of basilhaven that takes its configuration from the users' store.")
)]
pub struct Raw {
    /// This host's name
    #[bpaf(long, env("BASILHAVEN_NAME"), argument("NAME"))]
    pub name: String,
    /// The data centre of this host
    #[bpaf(long, env("BASILHAVEN_DATA_CENTRE"), argument("NAME"))]
    pub data_centre: String,
    /// Address on which callers connect
    #[bpaf(long, env("BASILHAVEN_LISTEN"), argument("ADDR"))]
    pub listen: String,
    /// Address of the readiness check
    #[bpaf(long, env("BASILHAVEN_READY"), argument("ADDR"))]
    pub ready: String,
    /// Address of the directory, which tells callers which hosts to use
    #[bpaf(long, env("BASILHAVEN_DIRECTORY"), argument("ADDR"))]
    pub directory: String,
    /// Address on which other hosts connect, by UDP and TCP
    #[bpaf(long, env("BASILHAVEN_PEER"), argument("ADDR"))]
    pub peer: String,
    /// Address of the metrics
    #[bpaf(long, env("BASILHAVEN_METRICS"), argument("ADDR"))]
    pub metrics: String,
    /// Address of the store
    #[bpaf(long, env("BASILHAVEN_STORE"), argument("ADDR"))]
    pub store: String,
    /// Addresses of hosts to discover the others by, separated by commas; their ports are not used
    #[bpaf(long, env("BASILHAVEN_SEEDS"), argument("ADDRS"), fallback(String::new()))]
    pub seeds: String,
    /// Whether the whole system starts for the first time: true or false
    #[bpaf(long, env("BASILHAVEN_FIRST_START"), argument("BOOL"), fallback(String::new()))]
    pub first_start: String,
    /// Maximum time for which callers may use a directory response, in seconds
    #[bpaf(long, env("BASILHAVEN_ENTRY_TTL_S"), argument("S"), fallback(String::new()))]
    pub entry_ttl_s: String,
    /// Time between SIGTERM and SIGKILL, in seconds
    #[bpaf(long, env("BASILHAVEN_GRACE_S"), argument("S"), fallback(String::new()))]
    pub grace_s: String,
    /// Retries allowed for each call, over all hosts
    #[bpaf(long, env("BASILHAVEN_RETRY_RATIO"), argument("N"), fallback(String::new()))]
    pub retry_ratio: String,
    /// Additional retries allowed within the retry window, over all hosts
    #[bpaf(long, env("BASILHAVEN_RETRY_SLACK"), argument("N"), fallback(String::new()))]
    pub retry_slack: String,
    /// Share of a service's calls that a new version may get before it is proved good; moves of
    /// services between versions are off without it
    #[bpaf(long, env("BASILHAVEN_EXPOSURE_SHARE"), argument("N"), fallback(String::new()))]
    pub exposure_share: String,
    /// Time within which operators' orders are to be in force, in seconds
    #[bpaf(long, env("BASILHAVEN_ORDERS_WITHIN_S"), argument("S"), fallback(String::new()))]
    pub orders_within_s: String,
    /// Probes of each upstream a second, over all hosts
    #[bpaf(long, env("BASILHAVEN_PROBE_RATE"), argument("N"), fallback(String::new()))]
    pub probe_rate: String,
    /// Interval at which an upstream renews its entry in the store, in seconds
    #[bpaf(long, env("BASILHAVEN_HEARTBEAT_S"), argument("S"), fallback(String::new()))]
    pub heartbeat_s: String,
    /// Capacity of this host, in cores
    #[bpaf(long, env("BASILHAVEN_CORES"), argument("N"), fallback(String::new()))]
    pub cores: String,
    /// Memory of this process, in units of 1,000,000 bytes; without it only the limits of the
    /// configuration bound what is held for callers
    #[bpaf(long, env("BASILHAVEN_MEMORY_MB"), argument("N"), fallback(String::new()))]
    pub memory_mb: String,
    /// Descriptors of this process; without it connections are not limited
    #[bpaf(long, env("BASILHAVEN_MAX_FDS"), argument("N"), fallback(String::new()))]
    pub max_fds: String,
    /// Bandwidth of this host's link, in megabits a second; without it, the transfer of large bodies
    /// is not shaped
    #[bpaf(long, env("BASILHAVEN_LINK_MBPS"), argument("N"), fallback(String::new()))]
    pub link_mbps: String,
    /// Address of the endpoint that takes usage reports; usage is not reported without it
    #[bpaf(long, env("BASILHAVEN_USAGE_ENDPOINT"), argument("ADDR"), fallback(String::new()))]
    pub usage_endpoint: String,
    /// Length of the windows of usage reports, in seconds
    #[bpaf(long, env("BASILHAVEN_USAGE_WINDOW_S"), argument("S"), fallback(String::new()))]
    pub usage_window_s: String,
    /// Time after a window's end within which its report is due, in seconds
    #[bpaf(long, env("BASILHAVEN_USAGE_LATE_S"), argument("S"), fallback(String::new()))]
    pub usage_late_s: String,
    /// Length of the lease of the host that reports usage, in seconds
    #[bpaf(long, env("BASILHAVEN_LEASE_S"), argument("S"), fallback(String::new()))]
    pub lease_s: String,
    /// Time before the lease's end at which its holder stops to act on it, in seconds
    #[bpaf(long, env("BASILHAVEN_THAW_SLACK_S"), argument("S"), fallback(String::new()))]
    pub thaw_slack_s: String,
    /// Calls to the endpoint a second, over all hosts
    #[bpaf(long, env("BASILHAVEN_USAGE_RATE"), argument("N"), fallback(String::new()))]
    pub usage_rate: String,
    /// Log level: error, warn, info or debug; every attempt is logged at info
    #[bpaf(long, env("BASILHAVEN_LOG"), argument("LEVEL"), fallback(String::new()))]
    pub log: String,
}

/// The validated settings of the gateway.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's name.
    pub name: Rc<str>,
    /// The data centre of this host.
    pub data_centre: Rc<str>,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the directory.
    pub directory: SocketAddr,
    /// Address on which other hosts connect, by UDP and TCP.
    pub peer: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses of hosts to discover the others by.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Maximum time for which callers may use a directory response.
    pub entry_ttl: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Retries allowed for each call, over all hosts.
    pub retry_ratio: f64,
    /// Additional retries allowed within the retry window, over all hosts.
    pub retry_slack: f64,
    /// Share of a service's calls that a new version may get before it is proved good; `None` if
    /// services are not moved between versions.
    pub exposure_share: Option<f64>,
    /// Time within which operators' orders are to be in force.
    pub orders_within: Duration,
    /// Probes of each upstream a second, over all hosts.
    pub probe_rate: f64,
    /// Interval at which an upstream renews its entry in the store.
    pub heartbeat: Duration,
    /// Capacity of this host relative to other hosts, in twentieths of a core.
    pub capacity: u8,
    /// Limits on what is held for callers.
    pub limits: memory::Limits,
    /// Bandwidth of this host's link, in megabits a second; `None` if the transfer of large bodies is
    /// not shaped.
    pub link_mbps: Option<f64>,
    /// Settings of usage reports; `None` if usage is not reported.
    pub usage: Option<usage::Settings>,
    /// Log level.
    pub log: crate::settings::Level,
}

/// Reads a number of 0 or more. Returns `Some(None)` if the text is empty, and `None` after adding a
/// finding if it is invalid.
fn read_number(findings: &mut finding::Findings, flag: &str, text: &str) -> Option<Option<f64>> {
    if text.trim().is_empty() {
        return Some(None);
    }
    let read = findings.ok_or_add(flag, text.trim().parse::<f64>())?;
    let is_valid = read.is_finite() && read >= 0.0;
    if !is_valid {
        findings.add(flag, "must be a number of 0 or more");
    }
    is_valid.then_some(Some(read))
}

/// The longest time that a setting may give.
const MAX_TIME: Duration = Duration::from_secs(30 * 24 * 3600);

/// Reads a time in seconds as [`read_number`] reads a number. Returns `None` after adding a finding
/// if it is invalid or longer than [`MAX_TIME`].
fn read_time(
    findings: &mut finding::Findings,
    flag: &str,
    text: &str,
    default_s: f64,
) -> Option<Duration> {
    let seconds = read_number(findings, flag, text)?.unwrap_or(default_s);
    let time = Duration::try_from_secs_f64(seconds).ok().filter(|time| *time <= MAX_TIME);
    if time.is_none() {
        findings.add(flag, format!("must be at most {} s", MAX_TIME.as_secs()));
    }
    time
}

/// Reads the settings of usage reports. Returns `Some(None)` without an endpoint, and `None` after
/// adding findings if a setting is invalid.
fn read_usage(findings: &mut finding::Findings, raw: &Raw) -> Option<Option<usage::Settings>> {
    let endpoint = raw.usage_endpoint.trim();
    if endpoint.is_empty() {
        return Some(None);
    }
    let endpoint = findings.ok_or_add("--usage-endpoint", endpoint.parse::<SocketAddr>());
    let mut positive_time = |flag: &str, text: &str, default_s: f64| {
        let time = read_time(findings, flag, text, default_s)?;
        if time.is_zero() {
            findings.add(flag, "must be more than 0");
        }
        (!time.is_zero()).then_some(time)
    };
    let window = positive_time("--usage-window-s", &raw.usage_window_s, DEFAULT_USAGE_WINDOW_S);
    let late = positive_time("--usage-late-s", &raw.usage_late_s, DEFAULT_USAGE_LATE_S);
    let lease = positive_time("--lease-s", &raw.lease_s, DEFAULT_LEASE_S);
    let rate = read_number(findings, "--usage-rate", &raw.usage_rate)
        .map(|read| read.unwrap_or(DEFAULT_USAGE_RATE));
    if rate == Some(0.0) {
        findings.add("--usage-rate", "must be more than 0");
    }
    let slack = read_time(findings, "--thaw-slack-s", &raw.thaw_slack_s, DEFAULT_THAW_SLACK_S);
    let rate = rate.filter(|rate| *rate > 0.0);
    let (endpoint, window, late, lease, rate) = (endpoint?, window?, late?, lease?, rate?);
    let thaw_slack = slack?;
    // The holder renews the lease after a third of its length.
    if thaw_slack >= lease / 2 {
        findings.add("--thaw-slack-s", "must be less than half of --lease-s");
        return None;
    }
    Some(Some(usage::Settings { endpoint, window, late, lease, thaw_slack, rate }))
}

impl TryFrom<Raw> for Settings {
    type Error = finding::Findings;

    /// Validates all settings.
    ///
    /// # Errors
    ///
    /// Returns every invalid setting with its flag.
    fn try_from(raw: Raw) -> Result<Settings, finding::Findings> {
        let mut findings = finding::Findings::default();
        let mut address =
            |flag: &str, text: &str| findings.ok_or_add(flag, text.parse::<SocketAddr>());
        let listen = address("--listen", &raw.listen);
        let ready = address("--ready", &raw.ready);
        let directory = address("--directory", &raw.directory);
        let peer = address("--peer", &raw.peer);
        let metrics = address("--metrics", &raw.metrics);
        let store = address("--store", &raw.store);
        let seeds = raw.seeds.split(',').map(str::trim).filter(|seed| !seed.is_empty());
        let seeds: Vec<_> = seeds.filter_map(|seed| address("--seeds", seed)).collect();
        let first_start = match raw.first_start.trim() {
            "" => Some(false),
            text => findings.ok_or_add("--first-start", text.parse::<bool>()),
        };
        let mut time = |flag: &str, text: &str, default_s: f64| {
            read_time(&mut findings, flag, text, default_s)
        };
        let entry_ttl = time("--entry-ttl-s", &raw.entry_ttl_s, DEFAULT_ENTRY_TTL_S);
        let grace = time("--grace-s", &raw.grace_s, DEFAULT_GRACE_S);
        let orders_within =
            time("--orders-within-s", &raw.orders_within_s, DEFAULT_ORDERS_WITHIN_S);
        let heartbeat = time("--heartbeat-s", &raw.heartbeat_s, DEFAULT_HEARTBEAT_S);
        let mut number = |flag: &str, text: &str, default: f64| {
            read_number(&mut findings, flag, text).map(|read| read.unwrap_or(default))
        };
        let retry_ratio = number("--retry-ratio", &raw.retry_ratio, DEFAULT_RETRY_RATIO);
        let retry_slack = number("--retry-slack", &raw.retry_slack, DEFAULT_RETRY_SLACK);
        let probe_rate = number("--probe-rate", &raw.probe_rate, DEFAULT_PROBE_RATE);
        let cores = number("--cores", &raw.cores, DEFAULT_CORES);
        let exposure_share = read_number(&mut findings, "--exposure-share", &raw.exposure_share);
        let memory_mb = read_number(&mut findings, "--memory-mb", &raw.memory_mb);
        let max_fds = read_number(&mut findings, "--max-fds", &raw.max_fds);
        let link_mbps = read_number(&mut findings, "--link-mbps", &raw.link_mbps);
        let usage = read_usage(&mut findings, &raw);
        let log = match raw.log.trim() {
            "" => Some(crate::settings::Level::default()),
            text => findings.ok_or_add("--log", crate::settings::Level::try_from(text)),
        };
        let settings = (|| {
            Some(Settings {
                name: raw.name.as_str().into(),
                data_centre: raw.data_centre.as_str().into(),
                listen: listen?,
                ready: ready?,
                directory: directory?,
                peer: peer?,
                metrics: metrics?,
                store: store?,
                seeds,
                is_first_start: first_start?,
                entry_ttl: entry_ttl?,
                grace: grace?,
                retry_ratio: retry_ratio?,
                retry_slack: retry_slack?,
                exposure_share: exposure_share?,
                orders_within: orders_within?,
                probe_rate: probe_rate?,
                heartbeat: heartbeat?,
                capacity: (cores? * CAPACITY_PER_CORE).clamp(1.0, u8::MAX.into()) as u8,
                limits: memory::Limits {
                    memory: memory_mb?.map(|mb| (mb * BYTES_PER_MB) as u64),
                    max_fds: max_fds?.map(|fds| fds as usize),
                },
                link_mbps: link_mbps?,
                usage: usage?,
                log: log?,
            })
        })();
        match settings {
            Some(settings) => findings.into_result(settings),
            None => Err(findings),
        }
    }
}

/// Reads the settings from arguments and the environment. Ends the process if they are invalid or
/// if help was requested.
///
/// All invalid settings are printed to standard error, each with its flag; the exit code is 2.
pub fn from_arguments(arguments: &[std::ffi::OsString]) -> Settings {
    crate::settings::parse(raw(), arguments.into())
}
