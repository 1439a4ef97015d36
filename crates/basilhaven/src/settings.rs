//! Settings of the daemon, from command-line flags and environment variables.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;

use crate::{call, config, finding, name};

/// Settings as given, before validation.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    descr(
        "Entry host of basilhaven: accepts callers' requests and distributes them over upstreams."
    )
)]
pub struct Raw {
    /// This host's name, unique among the entry hosts
    #[bpaf(long, env("BASILHAVEN_NAME"), argument("NAME"), fallback("entry-1".to_owned()))]
    pub name: String,
    /// The data centre of this host
    #[bpaf(long, env("BASILHAVEN_DATA_CENTRE"), argument("NAME"), fallback("local".to_owned()))]
    pub data_centre: String,
    /// Address for callers; port 0 selects a free port
    #[bpaf(long, env("BASILHAVEN_LISTEN"), argument("ADDR"), fallback("127.0.0.1:8080".to_owned()))]
    pub listen: String,
    /// Address for operators
    #[bpaf(long, env("BASILHAVEN_ADMIN"), argument("ADDR"), fallback("127.0.0.1:8081".to_owned()))]
    pub admin: String,
    /// Address for other entry hosts, by UDP and TCP
    #[bpaf(long, env("BASILHAVEN_PEER"), argument("ADDR"), fallback("127.0.0.1:8082".to_owned()))]
    pub peer: String,
    /// Address advertised to other entry hosts, if it differs from the listening address
    #[bpaf(long, env("BASILHAVEN_ADVERTISE_PEER"), argument("ADDR"))]
    pub advertise_peer: Option<String>,
    /// Peer address of another entry host; may be given more than once [env:BASILHAVEN_SEEDS, separated by spaces]
    #[bpaf(long, argument("ADDR"))]
    pub seed: Vec<String>,
    /// The platform's address; without it, the daemon runs from its settings alone
    #[bpaf(long, env("BASILHAVEN_PLATFORM"), argument("ADDR"))]
    pub platform: Option<String>,
    /// File with the key shared by entry hosts [env:BASILHAVEN_PEER_KEY, the key itself]
    #[bpaf(long, env("BASILHAVEN_PEER_KEY_FILE"), argument("FILE"))]
    pub peer_key_file: Option<PathBuf>,
    /// File with the key that operators authenticate with [env:BASILHAVEN_OPERATOR_KEY, the key itself]
    #[bpaf(long, env("BASILHAVEN_OPERATOR_KEY_FILE"), argument("FILE"))]
    pub operator_key_file: Option<PathBuf>,
    /// File with the initial configuration; for use without a platform
    #[bpaf(long, env("BASILHAVEN_CONFIG"), argument("FILE"))]
    pub config: Option<PathBuf>,
    /// An upstream: SERVICE/NAME@ADDR[,slots=N][,dc=NAME][,version=NAME]; may be given more than once [env:BASILHAVEN_UPSTREAMS, separated by spaces]
    #[bpaf(long, argument("UPSTREAM"))]
    pub upstream: Vec<String>,
    /// How long callers may cache a response of the directory, in milliseconds
    #[bpaf(long, env("BASILHAVEN_ENTRY_TTL_MS"), argument("MS"), fallback("2000".to_owned()))]
    pub entry_ttl_ms: String,
    /// Maximum time that a stopping host waits for calls to end, in milliseconds
    #[bpaf(long, env("BASILHAVEN_DRAIN_MS"), argument("MS"), fallback("30000".to_owned()))]
    pub drain_ms: String,
    /// Maximum number of concurrent connections of callers
    #[bpaf(long, env("BASILHAVEN_MAX_CONNECTIONS"), argument("N"), fallback("20000".to_owned()))]
    pub max_connections: String,
    /// Log level: error, warn, info or debug; placement decisions are logged at info
    #[bpaf(long, env("BASILHAVEN_LOG"), argument("LEVEL"), fallback("info".to_owned()))]
    pub log: String,
}

/// Validated settings of the daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's name.
    pub name: name::Name,
    /// The data centre of this host.
    pub data_centre: name::Name,
    /// Listening address for callers.
    pub listen: SocketAddr,
    /// Listening address for operators.
    pub admin: SocketAddr,
    /// Listening address for other entry hosts.
    pub peer: SocketAddr,
    /// Address advertised to other entry hosts, if it is not [`peer`](Settings::peer).
    pub advertise_peer: Option<SocketAddr>,
    /// Peer addresses of other entry hosts.
    pub seeds: Vec<SocketAddr>,
    /// The platform's address, if there is one.
    pub platform: Option<SocketAddr>,
    /// Key shared by entry hosts.
    pub peer_key: call::Key,
    /// Key that operators authenticate with; without it, only the public admin pages are served.
    pub operator_key: Option<call::Key>,
    /// Initial configuration.
    pub document: config::Document,
    /// Upstreams listed in the settings.
    pub upstreams: Vec<config::Upstream>,
    /// How long callers may cache a response of the directory.
    pub entry_ttl: Duration,
    /// Maximum time that a stopping host waits for calls to end.
    pub drain: Duration,
    /// Maximum number of concurrent connections of callers.
    pub max_connections: usize,
    /// Log level.
    pub log: Level,
}

/// A log level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Display)]
pub enum Level {
    /// Events that need an operator's attention.
    #[display("error")]
    Error,
    /// Events that may need an operator's attention.
    #[display("warn")]
    Warn,
    /// Decisions and changes of state.
    #[default]
    #[display("info")]
    Info,
    /// All events.
    #[display("debug")]
    Debug,
}

impl TryFrom<&str> for Level {
    type Error = &'static str;

    fn try_from(raw: &str) -> Result<Level, &'static str> {
        match raw {
            "error" => Ok(Level::Error),
            "warn" => Ok(Level::Warn),
            "info" => Ok(Level::Info),
            "debug" => Ok(Level::Debug),
            _ => Err("must be error, warn, info or debug"),
        }
    }
}

/// Parses the settings of this process, and exits if they are invalid or only help was requested.
///
/// All findings are printed to standard error, each with its place, and the exit code is 2.
pub fn from_process() -> Settings {
    parse(raw(), bpaf::Args::current_args())
}

/// Parses settings from arguments and the environment; exits the process as [`from_process`] does.
pub(crate) fn parse<R, S>(parser: bpaf::OptionParser<R>, arguments: bpaf::Args<'_>) -> S
where
    S: TryFrom<R, Error = finding::Findings>,
{
    let raw = match parser.run_inner(arguments) {
        Ok(raw) => raw,
        Err(failure) => {
            let is_help = matches!(failure, bpaf::ParseFailure::Stdout(..));
            failure.print_message(100);
            std::process::exit(if is_help { 0 } else { 2 });
        }
    };
    S::try_from(raw).unwrap_or_else(|findings| {
        eprintln!("{findings}");
        std::process::exit(2);
    })
}

impl TryFrom<Raw> for Settings {
    type Error = finding::Findings;

    fn try_from(raw: Raw) -> Result<Settings, finding::Findings> {
        let mut findings = finding::Findings::default();
        let placeholder = name::Name::try_from("unset").expect("a constant name");
        let placeholder_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let name = findings.ok_or_add("--name", name::Name::try_from(&*raw.name));
        let data_centre =
            findings.ok_or_add("--data-centre", name::Name::try_from(&*raw.data_centre));
        let listen = address(&mut findings, "--listen", &raw.listen);
        let admin = address(&mut findings, "--admin", &raw.admin);
        let peer = address(&mut findings, "--peer", &raw.peer);
        let platform =
            raw.platform.as_deref().and_then(|p| address(&mut findings, "--platform", p));
        let advertised = raw.advertise_peer.as_deref();
        let advertise_peer = advertised.and_then(|p| address(&mut findings, "--advertise-peer", p));
        let seeds = with_env(raw.seed, "BASILHAVEN_SEEDS");
        let seeds: Vec<SocketAddr> =
            seeds.iter().filter_map(|s| address(&mut findings, "--seed", s)).collect();
        let upstreams = upstreams(&mut findings, with_env(raw.upstream, "BASILHAVEN_UPSTREAMS"));
        let peer_key =
            key(&mut findings, "--peer-key-file", raw.peer_key_file, "BASILHAVEN_PEER_KEY");
        let operator_key = key(
            &mut findings,
            "--operator-key-file",
            raw.operator_key_file,
            "BASILHAVEN_OPERATOR_KEY",
        );
        let document = document(&mut findings, raw.config);
        let entry_ttl = millis(&mut findings, "--entry-ttl-ms", &raw.entry_ttl_ms, 100..=60_000);
        let drain = millis(&mut findings, "--drain-ms", &raw.drain_ms, 0..=600_000);
        let max_connections =
            number(&mut findings, "--max-connections", &raw.max_connections, 1..=1_000_000);
        let log = findings.ok_or_add("--log", Level::try_from(&*raw.log));
        if peer_key.is_none() && (!seeds.is_empty() || platform.is_some()) {
            findings.add("--peer-key-file", "hosts that know each other need a key to share");
        }
        // A host on its own shares its key with no one; a random key rejects all other senders.
        let peer_key = peer_key.unwrap_or_else(|| call::Key::from(random_secret()));
        findings.into_result(Settings {
            name: name.unwrap_or_else(|| placeholder.clone()),
            data_centre: data_centre.unwrap_or(placeholder),
            listen: listen.unwrap_or(placeholder_address),
            admin: admin.unwrap_or(placeholder_address),
            peer: peer.unwrap_or(placeholder_address),
            advertise_peer,
            seeds,
            platform,
            peer_key,
            operator_key,
            document,
            upstreams,
            entry_ttl,
            drain,
            max_connections: max_connections as usize,
            log: log.unwrap_or(Level::Info),
        })
    }
}

/// Appends the values listed in an environment variable to those of the flags.
fn with_env(mut flags: Vec<String>, variable: &str) -> Vec<String> {
    let listed = std::env::var(variable).unwrap_or_default();
    flags.extend(listed.split_whitespace().map(str::to_owned));
    flags
}

fn address(findings: &mut finding::Findings, place: &str, raw: &str) -> Option<SocketAddr> {
    let parsed = raw.parse::<SocketAddr>();
    findings.ok_or_add(place, parsed.map_err(|_| format!("{raw:?} is not of the form IP:PORT")))
}

fn number(
    findings: &mut finding::Findings,
    place: &str,
    raw: &str,
    range: std::ops::RangeInclusive<u64>,
) -> u64 {
    match raw.parse::<u64>() {
        Ok(number) if range.contains(&number) => number,
        _ => {
            let (min, max) = range.into_inner();
            findings.add(place, format!("{raw:?} is not a number from {min} to {max}"));
            min
        }
    }
}

fn millis(
    findings: &mut finding::Findings,
    place: &str,
    raw: &str,
    range: std::ops::RangeInclusive<u64>,
) -> Duration {
    Duration::from_millis(number(findings, place, raw, range))
}

fn upstreams(findings: &mut finding::Findings, raw: Vec<String>) -> Vec<config::Upstream> {
    let mut upstreams: Vec<config::Upstream> = Vec::with_capacity(raw.len());
    for (i, raw) in raw.iter().enumerate() {
        let place = format!("--upstream {}", i + 1);
        match raw.parse::<config::Upstream>() {
            Ok(upstream) if upstreams.iter().any(|known| known.name == upstream.name) => {
                findings.add(place, format!("name {:?} is not unique", upstream.name));
            }
            Ok(upstream) => upstreams.push(upstream),
            Err(inner) => findings.nest(&place, inner),
        }
    }
    upstreams
}

/// Minimum length of a key, in bytes.
const MIN_KEY_LEN: usize = 16;

fn key(
    findings: &mut finding::Findings,
    flag: &str,
    file: Option<PathBuf>,
    variable: &str,
) -> Option<call::Key> {
    let (place, secret) = match file {
        Some(file) => match std::fs::read_to_string(&file) {
            Ok(secret) => (flag, secret),
            Err(error) => {
                findings.add(flag, format!("{}: {error}", file.display()));
                return None;
            }
        },
        None => (variable, std::env::var(variable).ok()?),
    };
    if secret.trim().len() < MIN_KEY_LEN {
        findings.add(place, format!("a key must have at least {MIN_KEY_LEN} bytes"));
        return None;
    }
    Some(call::Key::from(secret.trim()))
}

fn random_secret() -> [u8; 32] {
    // Uses hashers with the standard library's random keys, since fastrand is not suitable for
    // secrets.
    use std::hash::{BuildHasher as _, RandomState};
    let mut secret = [0; 32];
    for (i, chunk) in secret.chunks_mut(8).enumerate() {
        chunk.copy_from_slice(&RandomState::new().hash_one(i).to_le_bytes());
    }
    secret
}

fn document(findings: &mut finding::Findings, file: Option<PathBuf>) -> config::Document {
    let Some(file) = file else { return config::Document::default() };
    let raw = match std::fs::read_to_string(&file) {
        Ok(raw) => raw,
        Err(error) => {
            findings.add("--config", format!("{}: {error}", file.display()));
            return config::Document::default();
        }
    };
    match config::Document::try_from(&*raw) {
        Ok(document) => document,
        Err(inner) => {
            findings.nest("--config", inner);
            config::Document::default()
        }
    }
}
