//! The configuration set by operators, validated as a whole before any of it is applied.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};
use sha2::Digest as _;

use crate::{finding, moves, name, order, profile};

/// Name of the profile of services whose configuration names no profile.
pub const DEFAULT_PROFILE: &str = "default";

/// Maximum number of slots of an upstream.
pub const MAX_SLOTS: u32 = 10_000;

/// Priority class of a caller.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A paying caller.
    #[display("paying")]
    Paying,
    /// A caller of the free tier, or one without a known credential.
    #[display("free")]
    Free,
}

/// A caller, identified by its credential.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// SHA-256 of the credential in lower-case hexadecimal. The credential itself is not stored.
    pub credential_sha256: String,
    /// Priority class.
    pub class: Class,
}

impl Caller {
    /// Creates a caller with a credential, of which only the digest is kept.
    ///
    /// # Examples
    ///
    /// ```
    /// use basilhaven::config;
    ///
    /// let counter = config::Caller::new("a long secret", config::Class::Paying);
    /// assert_eq!(counter.credential_sha256, config::digest("a long secret"));
    /// ```
    pub fn new(credential: &str, class: Class) -> Caller {
        Caller { credential_sha256: digest(credential), class }
    }
}

/// Returns the SHA-256 of a credential in lower-case hexadecimal.
pub fn digest(credential: &str) -> String {
    format!("{:x}", sha2::Sha256::digest(credential.as_bytes()))
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service's profile.
    #[serde(default = "default_profile")]
    pub profile: name::Name,
}

fn default_profile() -> name::Name {
    name::Name::try_from(DEFAULT_PROFILE).expect("a constant name")
}

impl Default for Service {
    fn default() -> Self {
        Service { profile: default_profile() }
    }
}

/// An upstream, from the platform's host list or the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, unique across all services.
    pub name: name::Name,
    /// Service that the upstream runs.
    pub service: name::Name,
    /// Address at which the upstream accepts calls.
    pub address: SocketAddr,
    /// Data centre where it is located.
    pub data_centre: name::Name,
    /// Number of calls that the upstream can run concurrently.
    pub slots: u32,
    /// Version of the service that the upstream runs.
    pub version: name::Name,
    /// Whether the platform's host list marks the upstream as leaving: it receives no new calls.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

impl std::str::FromStr for Upstream {
    type Err = finding::Findings;

    /// Parses `SERVICE/NAME@ADDRESS[,slots=N][,dc=DATA-CENTRE][,version=VERSION]`.
    fn from_str(raw: &str) -> Result<Self, finding::Findings> {
        let mut findings = finding::Findings::default();
        let mut parts = raw.split(',');
        let head = parts.next().unwrap_or_default();
        let (path, address) = head.split_once('@').unwrap_or((head, ""));
        let (service, name) = path.split_once('/').unwrap_or((path, ""));
        let service = findings.ok_or_add("service", name::Name::try_from(service));
        let name = findings.ok_or_add("name", name::Name::try_from(name));
        let address = findings.ok_or_add("address", address.parse::<SocketAddr>());
        let mut slots = 4;
        let mut data_centre = name::Name::try_from("local").ok();
        let mut version = name::Name::try_from("v1").ok();
        for part in parts {
            match part.split_once('=') {
                Some(("slots", value)) => {
                    slots = findings.ok_or_add("slots", value.parse()).unwrap_or(slots);
                }
                Some(("dc", value)) => {
                    data_centre = findings.ok_or_add("dc", name::Name::try_from(value));
                }
                Some(("version", value)) => {
                    version = findings.ok_or_add("version", name::Name::try_from(value));
                }
                _ => findings.add(part, "must be one of slots=, dc=, version="),
            }
        }
        if !(1..=MAX_SLOTS).contains(&slots) {
            findings.add("slots", "must be 1 to 10000");
        }
        match (service, name, address, data_centre, version) {
            (Some(service), Some(name), Some(address), Some(data_centre), Some(version)) => {
                let leaving = false;
                let upstream =
                    Upstream { name, service, address, data_centre, slots, version, leaving };
                findings.into_result(upstream)
            }
            _ => Err(findings),
        }
    }
}

/// The platform's list of hosts, which lags behind the hosts that actually run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hosts {
    /// Upstreams of all services.
    pub upstreams: Vec<Upstream>,
    /// Peer addresses of entry hosts.
    pub entries: Vec<SocketAddr>,
}

/// Targets that operators have taken out of service, until they bring them back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Out {
    /// Data centres that receive no new calls.
    pub data_centres: IndexSet<name::Name>,
    /// Entry hosts that the directory does not return to callers.
    pub hosts: IndexSet<name::Name>,
    /// Upstreams that receive no new calls.
    pub upstreams: IndexSet<name::Name>,
    /// Recent returns to service. An upstream that returns regains its share of the calls over a
    /// ramp; these times let an entry host that starts during a ramp continue it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub returns: Vec<Return>,
}

/// Record of a target that operators have brought back into service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Return {
    /// Target that returned.
    pub target: order::Target,
    /// Time of the return, in milliseconds since the Unix epoch. The operators keep the clocks of
    /// the hosts synchronised.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
}

impl Out {
    /// Records the return of a target at `at`, and removes returns longer ago than the
    /// longest ramp that a profile can set.
    pub(crate) fn record_return(&mut self, target: order::Target, at: Duration) {
        self.remove_return(&target);
        self.returns.retain(|earlier| at.saturating_sub(earlier.at) <= profile::MAX_TIMEOUT);
        self.returns.push(Return { target, at });
    }

    /// Removes the record of a target's return.
    pub(crate) fn remove_return(&mut self, target: &order::Target) {
        self.returns.retain(|earlier| earlier.target != *target);
    }

    /// Returns the time since the most recent recorded return to service of an upstream or of its
    /// data centre, or `None` if no return of either is recorded.
    pub(crate) fn time_since_return(&self, upstream: &Upstream) -> Option<Duration> {
        let includes_upstream = |target: &order::Target| match target {
            order::Target::DataCentre(name) => *name == upstream.data_centre,
            order::Target::Upstream(name) => *name == upstream.name,
            order::Target::Host(_) => false,
        };
        let returns = self.returns.iter().filter(|earlier| includes_upstream(&earlier.target));
        returns.map(|earlier| moves::since_epoch().saturating_sub(earlier.at)).min()
    }
}

/// The whole configuration.
///
/// # Examples
///
/// ```
/// use basilhaven::config;
///
/// let raw = r#"{"services": {"catalogo": {"profile": "missing"}}}"#;
/// let error = config::Document::try_from(raw).unwrap_err();
/// assert_eq!(
///     error.to_string(),
///     "services.catalogo.profile: profile \"missing\" does not exist"
/// );
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Profiles by name; always includes `default`.
    pub profiles: IndexMap<name::Name, profile::Profile>,
    /// Services by name.
    pub services: IndexMap<name::Name, Service>,
    /// Callers by name.
    pub callers: IndexMap<name::Name, Caller>,
    /// Targets that are out of service.
    pub out: Out,
}

impl Default for Document {
    fn default() -> Self {
        Document {
            profiles: IndexMap::from([(default_profile(), profile::Profile::default())]),
            services: IndexMap::new(),
            callers: IndexMap::new(),
            out: Out::default(),
        }
    }
}

impl Document {
    /// Validates the document as a whole.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with the path of the invalid field, if any part of the document
    /// is invalid.
    pub fn check(&self) -> Result<(), finding::Findings> {
        let mut findings = finding::Findings::default();
        if !self.profiles.contains_key(DEFAULT_PROFILE) {
            findings.add("profiles", "a profile named \"default\" is required");
        }
        for (name, profile) in &self.profiles {
            findings.nest(&format!("profiles.{name}"), profile.check());
        }
        for (name, service) in &self.services {
            if !self.profiles.contains_key(&service.profile) {
                let place = format!("services.{name}.profile");
                findings.add(place, format!("profile {:?} does not exist", service.profile));
            }
        }
        for (name, caller) in &self.callers {
            let hex = &caller.credential_sha256;
            let is_lower_hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
            if hex.len() != 64 || !hex.bytes().all(is_lower_hex) {
                let place = format!("callers.{name}.credential_sha256");
                findings.add(place, "must be 64 lower-case hexadecimal digits");
            }
        }
        findings.into_result(())
    }

    /// Returns the profile of a service; the default profile if the document does not list the
    /// service.
    pub fn profile_of(&self, service: &name::Name) -> profile::Profile {
        let named = self.services.get(service).and_then(|s| self.profiles.get(&s.profile));
        named.or_else(|| self.profiles.get(DEFAULT_PROFILE)).cloned().unwrap_or_default()
    }
}

impl TryFrom<&str> for Document {
    type Error = finding::Findings;

    fn try_from(raw: &str) -> Result<Self, finding::Findings> {
        let parsed: Result<serde_json::Value, serde_json::Error> = serde_json::from_str(raw);
        let value = parsed.map_err(|error| {
            let mut findings = finding::Findings::default();
            findings.add(format!("line {} column {}", error.line(), error.column()), &error);
            findings
        })?;
        Document::try_from(value)
    }
}

impl TryFrom<serde_json::Value> for Document {
    type Error = finding::Findings;

    fn try_from(value: serde_json::Value) -> Result<Self, finding::Findings> {
        let mut findings = finding::Findings::default();
        let mut document = Document::default();
        let serde_json::Value::Object(sections) = value else {
            findings.add("document", "must be an object");
            return Err(findings);
        };
        for (section, value) in sections {
            match section.as_str() {
                "profiles" => document.profiles = parse_entries(&mut findings, &section, value),
                "services" => document.services = parse_entries(&mut findings, &section, value),
                "callers" => document.callers = parse_entries(&mut findings, &section, value),
                "out" => {
                    document.out = parse_fields(&mut findings, &section, value).unwrap_or_default();
                }
                _ => findings.add(section, "must be one of profiles, services, callers, out"),
            }
        }
        findings.into_result(())?;
        document.check()?;
        Ok(document)
    }
}

/// Parses a section of the document entry by entry, so that each finding names the invalid entry.
fn parse_entries<T>(
    findings: &mut finding::Findings,
    section: &str,
    value: serde_json::Value,
) -> IndexMap<name::Name, T>
where
    T: serde::de::DeserializeOwned,
{
    let serde_json::Value::Object(raw) = value else {
        findings.add(section, "must be an object");
        return IndexMap::new();
    };
    let mut entries = IndexMap::with_capacity(raw.len());
    for (name, value) in raw {
        let place = format!("{section}.{name}");
        let name = findings.ok_or_add(&*place, name::Name::try_from(&*name));
        if let (Some(name), Some(entry)) = (name, parse_fields(findings, &place, value)) {
            entries.insert(name, entry);
        }
    }
    entries
}

/// Parses an object. If that fails, parses each of its fields alone, to find the invalid ones.
pub(crate) fn parse_fields<T>(
    findings: &mut finding::Findings,
    place: &str,
    value: serde_json::Value,
) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    let error = match serde_json::from_value(value.clone()) {
        Ok(parsed) => return Some(parsed),
        Err(error) => error,
    };
    let mut has_findings = false;
    for (field, value) in value.as_object().into_iter().flatten() {
        let alone = serde_json::json!({ field: value });
        let Err(error) = serde_json::from_value::<T>(alone) else { continue };
        // Only this field is present in `alone`, so an error about a missing field does not mean
        // that this field is invalid.
        if !error.to_string().starts_with("missing field") {
            findings.add(format!("{place}.{field}"), error);
            has_findings = true;
        }
    }
    if !has_findings {
        findings.add(place, error);
    }
    None
}
