//! Command-line options.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use basilhaven::{config, finding, name, order};
use bpaf::Bpaf;

/// Minimum length of a key, in bytes.
const MIN_KEY_LEN: usize = 16;

/// Validated options.
#[derive(Debug, Clone)]
pub struct Options {
    /// Admin addresses of entry hosts, tried in turn.
    pub admins: Vec<SocketAddr>,
    /// Operator key; never printed.
    pub key: Option<String>,
    /// Whether to print JSON instead of tables.
    pub json: bool,
    /// How long to wait until an order is in force on all hosts; zero means not to wait.
    pub wait: Duration,
    /// Command to run.
    pub command: Command,
}

/// Explanation of the exit codes in the help text.
const EXIT_CODES: &str = "Exit codes: 0 success; 1 refused or failed; 2 invalid usage; 3 conflict \
    with another operator's order; 4 no host or platform available, nothing was changed; 5 unknown \
    whether the order took effect; 6 accepted, but not confirmed by every host in time.";

/// Options as given, before validation.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    descr("Sends operators' orders to the entry hosts of basilhaven, and shows their status."),
    footer(EXIT_CODES)
)]
struct Raw {
    /// Admin address of an entry host; may be given more than once [env:BASILHAVEN_ADMINS, separated by spaces]
    #[bpaf(long, argument("ADDR"))]
    admin: Vec<String>,
    /// File with the operator key [env:BASILHAVEN_OPERATOR_KEY, the key itself]
    #[bpaf(long, env("BASILHAVEN_OPERATOR_KEY_FILE"), argument("FILE"))]
    operator_key_file: Option<PathBuf>,
    /// Print JSON instead of tables
    #[bpaf(long)]
    json: bool,
    /// How long to wait until an order is in force on all hosts, such as 5s; 0s means not to wait
    #[bpaf(long, argument("TIME"), fallback("5s".to_owned()))]
    wait: String,
    #[bpaf(external)]
    command: Command,
}

/// Commands
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Show hosts, services and upstreams as seen by one host
    ///
    /// Example: basilctl status
    #[bpaf(command)]
    Status,
    /// Show the entry hosts that the directory returns to callers
    ///
    /// Example: basilctl hosts --json
    #[bpaf(command)]
    Hosts,
    /// Show recent placement decisions of a service, and the data they are based on
    ///
    /// Example: basilctl why catalogo
    #[bpaf(command)]
    Why {
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: name::Name,
    },
    /// Show or replace the whole configuration
    #[bpaf(command)]
    Config(#[bpaf(external(config_command))] Config),
    /// Set, list or remove profiles
    #[bpaf(command)]
    Profile(#[bpaf(external(profile_command))] Profile),
    /// Set, list or remove services
    #[bpaf(command)]
    Service(#[bpaf(external(service_command))] Service),
    /// Set, list or remove callers
    #[bpaf(command)]
    Caller(#[bpaf(external(caller_command))] Caller),
    /// Take a data centre, host or upstream out of service: it receives no new calls
    ///
    /// Example: basilctl out data-centre milano-a
    #[bpaf(command)]
    Out {
        /// Take it out even if it is unknown, or the last entry host or upstream of a service
        #[bpaf(long)]
        force: bool,
        #[bpaf(external)]
        target: Target,
    },
    /// Bring a data centre, host or upstream back into service, with a gradual ramp of calls
    ///
    /// Example: basilctl back data-centre milano-a
    #[bpaf(command)]
    Back(#[bpaf(external(target))] Target),
    /// Start, watch and roll back moves between versions
    #[bpaf(command)]
    Move(#[bpaf(external(move_command))] Move),
}

/// Commands on the whole configuration
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(config_command))]
pub enum Config {
    /// Print the configuration in force
    ///
    /// Example: basilctl config get > config.json
    #[bpaf(command)]
    Get,
    /// Replace the configuration in force
    ///
    /// Example: basilctl config replace --if-revision 17 config.json
    #[bpaf(command)]
    Replace {
        /// Replace it only if it is at this revision
        #[bpaf(long, argument("N"))]
        if_revision: Option<u64>,
        /// The new configuration, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Commands on profiles
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(profile_command))]
pub enum Profile {
    /// List the profiles
    #[bpaf(command)]
    List,
    /// Add or replace a profile; omitted fields have their default values
    ///
    /// Example: basilctl profile set counter '{"policy": "cost", "timeout_ms": 2000}'
    #[bpaf(command)]
    Set {
        /// Name of the profile
        #[bpaf(positional("NAME"))]
        name: name::Name,
        /// Fields of the profile, as JSON
        #[bpaf(positional("JSON"))]
        profile: String,
    },
    /// Remove a profile that no service uses
    #[bpaf(command)]
    Remove {
        /// Name of the profile
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
}

/// Commands on services
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(service_command))]
pub enum Service {
    /// List the services
    #[bpaf(command)]
    List,
    /// Set the profile of a service
    ///
    /// Example: basilctl service set catalogo counter
    #[bpaf(command)]
    Set {
        /// Name of the service
        #[bpaf(positional("NAME"))]
        name: name::Name,
        /// Name of the profile
        #[bpaf(positional("PROFILE"))]
        profile: name::Name,
    },
    /// Remove a service's entry; the service then has the default profile
    #[bpaf(command)]
    Remove {
        /// Name of the service
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
}

/// Commands on callers
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(caller_command))]
pub enum Caller {
    /// List the callers
    #[bpaf(command)]
    List,
    /// Add or replace a caller; its credential is read from standard input
    ///
    /// Example: basilctl caller set counter --paying < credential.txt
    #[bpaf(command)]
    Set {
        /// Make it a paying caller instead of a free one
        #[bpaf(long)]
        paying: bool,
        /// Name of the caller
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
    /// Remove a caller; its credential is no longer valid
    #[bpaf(command)]
    Remove {
        /// Name of the caller
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
}

/// Targets
#[derive(Debug, Clone, Bpaf)]
pub enum Target {
    /// A data centre with all its upstreams and entry hosts
    #[bpaf(command)]
    DataCentre {
        /// Name of the data centre
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
    /// An entry host
    #[bpaf(command)]
    Host {
        /// Name of the entry host
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
    /// An upstream
    #[bpaf(command)]
    Upstream {
        /// Name of the upstream
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
}

impl From<&Target> for order::Target {
    fn from(target: &Target) -> order::Target {
        match target {
            Target::DataCentre { name } => order::Target::DataCentre(name.clone()),
            Target::Host { name } => order::Target::Host(name.clone()),
            Target::Upstream { name } => order::Target::Upstream(name.clone()),
        }
    }
}

/// Commands on moves
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(move_command))]
pub enum Move {
    /// Start moving a service's traffic to another version
    ///
    /// Example: basilctl move start bindery-portal --to v2 --in 30m
    #[bpaf(command)]
    Start {
        /// The new version, which receives the traffic
        #[bpaf(long, argument("VERSION"))]
        to: name::Name,
        /// Time until all traffic should have moved, such as 30m
        #[bpaf(long("in"), argument("TIME"))]
        within: humantime::Duration,
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: name::Name,
    },
    /// Show all moves
    #[bpaf(command)]
    Status,
    /// Show the progress of a service's move until it is done or rolled back
    #[bpaf(command)]
    Watch {
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: name::Name,
    },
    /// Roll a service's move back: all traffic returns to the old version at once
    #[bpaf(command)]
    Back {
        /// Name of the service
        #[bpaf(positional("SERVICE"))]
        service: name::Name,
    },
}

/// Parses the command line of this process.
///
/// # Errors
///
/// Returns the exit code if the command line is invalid or only help was requested. The reason or
/// the help has been printed then.
pub fn from_process() -> Result<Options, ExitCode> {
    let raw = raw().run_inner(bpaf::Args::current_args()).map_err(|failure| {
        let is_help = matches!(failure, bpaf::ParseFailure::Stdout(..));
        failure.print_message(100);
        ExitCode::from(if is_help { 0 } else { 2 })
    })?;
    Options::try_from(raw).map_err(|findings| {
        eprintln!("{findings}");
        ExitCode::from(2)
    })
}

impl TryFrom<Raw> for Options {
    type Error = finding::Findings;

    fn try_from(raw: Raw) -> Result<Options, finding::Findings> {
        let mut findings = finding::Findings::default();
        let listed = std::env::var("BASILHAVEN_ADMINS").unwrap_or_default();
        let given = raw.admin.iter().map(String::as_str).chain(listed.split_whitespace());
        let parsed = given.filter_map(|text| {
            findings.ok_or_add(
                "--admin",
                text.parse().map_err(|_| format!("{text:?} is not of the form IP:PORT")),
            )
        });
        let mut admins: Vec<SocketAddr> = parsed.collect();
        if admins.is_empty() {
            admins.push(SocketAddr::from(([127, 0, 0, 1], 8081)));
        }
        let wait = findings.ok_or_add("--wait", humantime::parse_duration(&raw.wait));
        let key = match raw.operator_key_file {
            Some(file) => {
                let read = std::fs::read_to_string(&file);
                let read = read.map_err(|error| format!("{}: {error}", file.display()));
                findings.ok_or_add("--operator-key-file", read)
            }
            None => std::env::var("BASILHAVEN_OPERATOR_KEY").ok(),
        };
        let key = key.map(|key| key.trim().to_owned());
        if key.as_ref().is_some_and(|key| key.len() < MIN_KEY_LEN) {
            findings.add("operator key", format!("a key must have at least {MIN_KEY_LEN} bytes"));
        }
        findings.into_result(Options {
            admins,
            key,
            json: raw.json,
            wait: wait.unwrap_or_default(),
            command: raw.command,
        })
    }
}

/// Returns the class of a paying or free caller.
pub fn class(paying: bool) -> config::Class {
    match paying {
        true => config::Class::Paying,
        false => config::Class::Free,
    }
}
