//! Settings of the daemon, from flags and environment variables.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;

use crate::{call, config, finding, name};

/// Settings as they were given, not yet checked.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    descr("Entry host of basilhaven: takes callers' requests and spreads them across upstreams.")
)]
pub struct Raw {
    /// This host's name, unique among the entry hosts
    #[bpaf(long, env("BASILHAVEN_NAME"), argument("NAME"), fallback("entry-1".to_owned()))]
    pub name: String,
    /// The data centre that this host stands in
    #[bpaf(long, env("BASILHAVEN_DATA_CENTRE"), argument("NAME"), fallback("local".to_owned()))]
    pub data_centre: String,
    /// Where callers connect; port 0 takes a free one
    #[bpaf(long, env("BASILHAVEN_LISTEN"), argument("ADDR"), fallback("127.0.0.1:8080".to_owned()))]
    pub listen: String,
    /// Where operators connect
    #[bpaf(long, env("BASILHAVEN_ADMIN"), argument("ADDR"), fallback("127.0.0.1:8081".to_owned()))]
    pub admin: String,
    /// Where other entry hosts connect, by UDP and TCP
    #[bpaf(long, env("BASILHAVEN_PEER"), argument("ADDR"), fallback("127.0.0.1:8082".to_owned()))]
    pub peer: String,
    /// Where other entry hosts are told to connect, when that is not where this one listens
    #[bpaf(long, env("BASILHAVEN_ADVERTISE_PEER"), argument("ADDR"))]
    pub advertise_peer: Option<String>,
    /// Peer address of another entry host; may be given more than once [env:BASILHAVEN_SEEDS, separated by spaces]
    #[bpaf(long, argument("ADDR"))]
    pub seed: Vec<String>,
    /// The platform's address; without it the daemon runs on its settings alone
    #[bpaf(long, env("BASILHAVEN_PLATFORM"), argument("ADDR"))]
    pub platform: Option<String>,
    /// File with the key that entry hosts share [env:BASILHAVEN_PEER_KEY, the key itself]
    #[bpaf(long, env("BASILHAVEN_PEER_KEY_FILE"), argument("FILE"))]
    pub peer_key_file: Option<PathBuf>,
    /// File with the key that operators show [env:BASILHAVEN_OPERATOR_KEY, the key itself]
    #[bpaf(long, env("BASILHAVEN_OPERATOR_KEY_FILE"), argument("FILE"))]
    pub operator_key_file: Option<PathBuf>,
    /// File with the configuration to start from; for use without a platform
    #[bpaf(long, env("BASILHAVEN_CONFIG"), argument("FILE"))]
    pub config: Option<PathBuf>,
    /// An upstream: SERVICE/NAME@ADDR[,slots=N][,dc=NAME][,version=NAME]; may be given more than once [env:BASILHAVEN_UPSTREAMS, separated by spaces]
    #[bpaf(long, argument("UPSTREAM"))]
    pub upstream: Vec<String>,
    /// How long callers may use an answer of the directory, in milliseconds
    #[bpaf(long, env("BASILHAVEN_ENTRY_TTL_MS"), argument("MS"), fallback("2000".to_owned()))]
    pub entry_ttl_ms: String,
    /// How long a stopping host waits for calls to end, in milliseconds
    #[bpaf(long, env("BASILHAVEN_DRAIN_MS"), argument("MS"), fallback("30000".to_owned()))]
    pub drain_ms: String,
    /// Callers' connections at one time, at most
    #[bpaf(long, env("BASILHAVEN_MAX_CONNECTIONS"), argument("N"), fallback("20000".to_owned()))]
    pub max_connections: String,
    /// What is logged: error, warn, info or debug; placement decisions are at info
    #[bpaf(long, env("BASILHAVEN_LOG"), argument("LEVEL"), fallback("info".to_owned()))]
    pub log: String,
}

/// Settings of the daemon, checked.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's name.
    pub name: name::Name,
    /// The data centre that this host stands in.
    pub data_centre: name::Name,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Where other entry hosts connect.
    pub peer: SocketAddr,
    /// Where other entry hosts are told to connect, when that is not [`peer`](Settings::peer).
    pub advertise_peer: Option<SocketAddr>,
    /// Peer addresses of other entry hosts.
    pub seeds: Vec<SocketAddr>,
    /// The platform's address.
    pub platform: Option<SocketAddr>,
    /// The key that entry hosts share.
    pub peer_key: call::Key,
    /// The key that operators show; without one only open pages are served.
    pub operator_key: Option<call::Key>,
    /// The configuration to start from.
    pub document: config::Document,
    /// Upstreams known from the settings.
    pub upstreams: Vec<config::Upstream>,
    /// How long callers may use an answer of the directory.
    pub entry_ttl: Duration,
    /// How long a stopping host waits for calls to end.
    pub drain: Duration,
    /// Callers' connections at one time, at most.
    pub max_connections: usize,
    /// What is logged.
    pub log: Level,
}

/// How much is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Level {
    /// What needs an operator.
    #[display("error")]
    Error,
    /// What may need one.
    #[display("warn")]
    Warn,
    /// Decisions and changes.
    #[display("info")]
    Info,
    /// Everything.
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

/// Reads the settings of this process, and ends it when they are wrong or only help was asked for.
///
/// Wrong settings are printed to standard error, all of them, each with its place; the exit code is 2.
pub fn from_process() -> Settings {
    parse(raw(), bpaf::Args::current_args())
}

/// Reads settings out of arguments and the environment; ends the process as [`from_process`] does.
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
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let own = findings.ok_or_add("--name", name::Name::try_from(&*raw.name));
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
        // A host alone needs no key to share: a random one keeps strangers out.
        let peer_key = peer_key.unwrap_or_else(|| call::Key::from(random_secret()));
        findings.into_result(Settings {
            name: own.unwrap_or_else(|| placeholder.clone()),
            data_centre: data_centre.unwrap_or(placeholder),
            listen: listen.unwrap_or(unset),
            admin: admin.unwrap_or(unset),
            peer: peer.unwrap_or(unset),
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

/// Adds what an environment variable lists to what the flags gave.
fn with_env(mut flags: Vec<String>, variable: &str) -> Vec<String> {
    let listed = std::env::var(variable).unwrap_or_default();
    flags.extend(listed.split_whitespace().map(str::to_owned));
    flags
}

fn address(findings: &mut finding::Findings, place: &str, raw: &str) -> Option<SocketAddr> {
    let parsed = raw.parse::<SocketAddr>();
    findings.ok_or_add(place, parsed.map_err(|_| format!("{raw:?} is no IP:PORT")))
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
            let (least, most) = range.into_inner();
            findings.add(place, format!("{raw:?} is no number from {least} to {most}"));
            least
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
                findings.add(place, format!("name {:?} stands twice", upstream.name));
            }
            Ok(upstream) => upstreams.push(upstream),
            Err(inner) => findings.nest(&place, inner),
        }
    }
    upstreams
}

/// The least bytes that a key must have.
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
        findings.add(place, format!("a key needs {MIN_KEY_LEN} bytes at least"));
        return None;
    }
    Some(call::Key::from(secret.trim()))
}

fn random_secret() -> [u8; 32] {
    // Two hashers with the standard library's random keys, since fastrand is not meant for secrets.
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
