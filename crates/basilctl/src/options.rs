//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use basilhaven::{config, finding, name, order};
use bpaf::Bpaf;

/// The least bytes that a key has.
const MIN_KEY_LEN: usize = 16;

/// What to do, and how to reach the hosts.
#[derive(Debug, Clone)]
pub struct Options {
    /// Operators' addresses of entry hosts, tried in turn.
    pub admins: Vec<SocketAddr>,
    /// The key that operators show; never printed.
    pub key: Option<String>,
    /// Whether to print JSON in place of tables.
    pub json: bool,
    /// How long to wait until an order is in force everywhere.
    pub wait: Duration,
    /// What to do.
    pub command: Command,
}

/// What the help text says of the exit codes.
const EXIT_CODES: &str = "Exit codes: 0 done; 1 refused or failed; 2 wrong use; 3 another operator \
    was first; 4 no host or no platform answers, and nothing was changed; 5 it is not known whether \
    the order took effect; 6 accepted, but not confirmed by every host in time.";

/// The command line as it was given.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    descr("Gives orders to the entry hosts of basilhaven, and tells what became of them."),
    footer(EXIT_CODES)
)]
struct Raw {
    /// Operators' address of an entry host; may be given more than once [env:BASILHAVEN_ADMINS, separated by spaces]
    #[bpaf(long, argument("ADDR"))]
    admin: Vec<String>,
    /// File with the key that operators show [env:BASILHAVEN_OPERATOR_KEY, the key itself]
    #[bpaf(long, env("BASILHAVEN_OPERATOR_KEY_FILE"), argument("FILE"))]
    operator_key_file: Option<PathBuf>,
    /// Print JSON in place of tables
    #[bpaf(long)]
    json: bool,
    /// How long to wait until an order is in force on every host, such as 5s; 0s does not wait
    #[bpaf(long, argument("TIME"), fallback("5s".to_owned()))]
    wait: String,
    #[bpaf(external)]
    command: Command,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Show hosts, services and upstreams as one host sees them
    ///
    /// Example: basilctl status
    #[bpaf(command)]
    Status,
    /// Show the entry hosts that callers are sent to
    ///
    /// Example: basilctl hosts --json
    #[bpaf(command)]
    Hosts,
    /// Show recent placement decisions of a service, and why they were made
    ///
    /// Example: basilctl why catalogo
    #[bpaf(command)]
    Why {
        /// The service
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
    /// Take a data centre, host or upstream out: it gets no new work
    ///
    /// Example: basilctl out data-centre milano-a
    #[bpaf(command)]
    Out {
        /// Take it out even if it is not known, or the last entry host or upstream of a service
        #[bpaf(long)]
        force: bool,
        #[bpaf(external)]
        target: Target,
    },
    /// Bring a data centre, host or upstream back, by a ramp
    ///
    /// Example: basilctl back data-centre milano-a
    #[bpaf(command)]
    Back(#[bpaf(external(target))] Target),
    /// Start, watch and take back moves between versions
    #[bpaf(command)]
    Move(#[bpaf(external(move_command))] Move),
}

/// Orders about the whole configuration.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(config_command))]
pub enum Config {
    /// Print the configuration in force
    ///
    /// Example: basilctl config get > config.json
    #[bpaf(command)]
    Get,
    /// Put a document in the place of the configuration in force
    ///
    /// Example: basilctl config replace --if-revision 17 config.json
    #[bpaf(command)]
    Replace {
        /// Only while the configuration is at this revision
        #[bpaf(long, argument("N"))]
        if_revision: Option<u64>,
        /// The document, as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Orders about profiles.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(profile_command))]
pub enum Profile {
    /// List the profiles
    #[bpaf(command)]
    List,
    /// Add a profile or put another in its place; fields not given have their defaults
    ///
    /// Example: basilctl profile set counter '{"policy": "cost", "timeout_ms": 2000}'
    #[bpaf(command)]
    Set {
        /// Its name
        #[bpaf(positional("NAME"))]
        name: name::Name,
        /// Its fields, as JSON
        #[bpaf(positional("JSON"))]
        profile: String,
    },
    /// Remove a profile that no service runs under
    #[bpaf(command)]
    Remove {
        /// Its name
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
}

/// Orders about services.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(service_command))]
pub enum Service {
    /// List the services
    #[bpaf(command)]
    List,
    /// Put a service under a profile
    ///
    /// Example: basilctl service set catalogo counter
    #[bpaf(command)]
    Set {
        /// The service
        #[bpaf(positional("NAME"))]
        name: name::Name,
        /// The profile
        #[bpaf(positional("PROFILE"))]
        profile: name::Name,
    },
    /// Remove a service's entry; it then runs under the default profile
    #[bpaf(command)]
    Remove {
        /// The service
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
}

/// Orders about callers.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(caller_command))]
pub enum Caller {
    /// List the callers
    #[bpaf(command)]
    List,
    /// Add a caller or change its class; its credential is read from standard input
    ///
    /// Example: basilctl caller set counter --paying < credential.txt
    #[bpaf(command)]
    Set {
        /// It pays; without this it is a free one
        #[bpaf(long)]
        paying: bool,
        /// Its name
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
    /// Remove a caller; its credential is then worth nothing
    #[bpaf(command)]
    Remove {
        /// Its name
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
}

/// What is taken out or brought back.
#[derive(Debug, Clone, Bpaf)]
pub enum Target {
    /// A data centre with all its upstreams and entry hosts
    #[bpaf(command)]
    DataCentre {
        /// Its name
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
    /// An entry host
    #[bpaf(command)]
    Host {
        /// Its name
        #[bpaf(positional("NAME"))]
        name: name::Name,
    },
    /// An upstream
    #[bpaf(command)]
    Upstream {
        /// Its name
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

/// Orders about moves.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(move_command))]
pub enum Move {
    /// Start to move a service's traffic to another version
    ///
    /// Example: basilctl move start bindery-portal --to v2 --in 30m
    #[bpaf(command)]
    Start {
        /// The version that is to get the traffic
        #[bpaf(long, argument("VERSION"))]
        to: name::Name,
        /// When all traffic is to have moved, from now, such as 30m
        #[bpaf(long("in"), argument("TIME"))]
        within: humantime::Duration,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: name::Name,
    },
    /// Show all moves
    #[bpaf(command)]
    Status,
    /// Show a service's move until it is done or taken back
    #[bpaf(command)]
    Watch {
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: name::Name,
    },
    /// Take a service's traffic back to the old version at once
    #[bpaf(command)]
    Back {
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: name::Name,
    },
}

/// Reads the command line of this process.
///
/// # Errors
///
/// The exit code, when it is wrong or only help was asked for; the reason has been printed then.
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
            findings
                .ok_or_add("--admin", text.parse().map_err(|_| format!("{text:?} is no IP:PORT")))
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
            findings.add("operator key", format!("a key has {MIN_KEY_LEN} bytes at least"));
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

/// The class of a caller that pays or does not.
pub fn class(paying: bool) -> config::Class {
    match paying {
        true => config::Class::Paying,
        false => config::Class::Free,
    }
}
