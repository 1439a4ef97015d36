//! The configuration: what operators order, checked as a whole before any of it is applied.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};
use sha2::Digest as _;

use crate::{finding, moves, name, order, profile};

/// The name of the profile that services run under when they name none.
pub const DEFAULT_PROFILE: &str = "default";

/// The most slots that an upstream may claim.
pub const MAX_SLOTS: u32 = 10_000;

/// Whether a caller pays.
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
    /// A caller of the free tier, or one with no credential.
    #[display("free")]
    Free,
}

/// A caller that a credential stands for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The lower-case hexadecimal SHA-256 of the credential; the credential itself is kept nowhere.
    pub credential_sha256: String,
    /// Whether it pays.
    pub class: Class,
}

impl Caller {
    /// The caller that a credential stands for.
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

/// The lower-case hexadecimal SHA-256 of a credential.
pub fn digest(credential: &str) -> String {
    format!("{:x}", sha2::Sha256::digest(credential.as_bytes()))
}

/// A service as operators order it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The profile that it runs under.
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

/// An upstream as the platform's host list or the settings give it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its name, unique over all services.
    pub name: name::Name,
    /// The service that it runs.
    pub service: name::Name,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: name::Name,
    /// Calls that it runs at once.
    pub slots: u32,
    /// The version that it runs.
    pub version: name::Name,
    /// Whether the host list says that it leaves.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

impl std::str::FromStr for Upstream {
    type Err = finding::Findings;

    /// Reads `SERVICE/NAME@ADDRESS[,slots=N][,dc=DATA-CENTRE][,version=VERSION]`.
    fn from_str(raw: &str) -> Result<Self, finding::Findings> {
        let mut findings = finding::Findings::default();
        let mut parts = raw.split(',');
        let head = parts.next().unwrap_or_default();
        let (path, address) = head.split_once('@').unwrap_or((head, ""));
        let (service, own) = path.split_once('/').unwrap_or((path, ""));
        let service = findings.ok_or_add("service", name::Name::try_from(service));
        let own = findings.ok_or_add("name", name::Name::try_from(own));
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
                _ => findings.add(part, "is none of slots=, dc=, version="),
            }
        }
        if !(1..=MAX_SLOTS).contains(&slots) {
            findings.add("slots", "must be 1 to 10000");
        }
        match (service, own, address, data_centre, version) {
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

/// The platform's list of hosts: it lags behind what is true.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hosts {
    /// The upstreams, of all services.
    pub upstreams: Vec<Upstream>,
    /// Peer addresses of entry hosts.
    pub entries: Vec<SocketAddr>,
}

/// What operators have taken out, until they bring it back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Out {
    /// Data centres that get no new work.
    pub data_centres: IndexSet<name::Name>,
    /// Entry hosts that the directory no longer names.
    pub hosts: IndexSet<name::Name>,
    /// Upstreams that get no new work.
    pub upstreams: IndexSet<name::Name>,
    /// What came back of late, for hosts that start during its return.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub returns: Vec<Return>,
}

/// The return of something that was out.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Return {
    /// What came back.
    pub target: order::Target,
    /// When, in milliseconds since the Unix epoch; hosts' clocks are kept in step by the operators.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "at_ms")]
    pub at: Duration,
}

impl Out {
    /// Notes that something is back since `at`. Returns that no ramp lasts for any more are forgotten.
    pub(crate) fn record_return(&mut self, target: order::Target, at: Duration) {
        self.remove_return(&target);
        self.returns.retain(|earlier| at.saturating_sub(earlier.at) <= profile::MAX_TIMEOUT);
        self.returns.push(Return { target, at });
    }

    /// Drops the note of a return.
    pub(crate) fn remove_return(&mut self, target: &order::Target) {
        self.returns.retain(|earlier| earlier.target != *target);
    }

    /// How long ago an upstream came back, if that was of late.
    pub(crate) fn time_since_return(&self, upstream: &Upstream) -> Option<Duration> {
        let is_its = |target: &order::Target| match target {
            order::Target::DataCentre(name) => *name == upstream.data_centre,
            order::Target::Upstream(name) => *name == upstream.name,
            order::Target::Host(_) => false,
        };
        let its = self.returns.iter().filter(|earlier| is_its(&earlier.target));
        its.map(|earlier| moves::since_epoch().saturating_sub(earlier.at)).min()
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
///     "services.catalogo.profile: no profile is named \"missing\""
/// );
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The profiles, by name; `default` is always there.
    pub profiles: IndexMap<name::Name, profile::Profile>,
    /// The services, by name.
    pub services: IndexMap<name::Name, Service>,
    /// The callers, by name.
    pub callers: IndexMap<name::Name, Caller>,
    /// What is out.
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
    /// Checks the document as a whole.
    ///
    /// # Errors
    ///
    /// Everything that is wrong, each with its place.
    pub fn check(&self) -> Result<(), finding::Findings> {
        let mut findings = finding::Findings::default();
        if !self.profiles.contains_key(DEFAULT_PROFILE) {
            findings.add("profiles", "a profile named \"default\" is needed");
        }
        for (own, profile) in &self.profiles {
            findings.nest(&format!("profiles.{own}"), profile.check());
        }
        for (own, service) in &self.services {
            if !self.profiles.contains_key(&service.profile) {
                let place = format!("services.{own}.profile");
                findings.add(place, format!("no profile is named {:?}", service.profile));
            }
        }
        for (own, caller) in &self.callers {
            let hex = &caller.credential_sha256;
            let lower_hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
            if hex.len() != 64 || !hex.bytes().all(lower_hex) {
                let place = format!("callers.{own}.credential_sha256");
                findings.add(place, "must be 64 lower-case hexadecimal digits");
            }
        }
        findings.into_result(())
    }

    /// The profile that a service runs under; the default one for a service that the document does
    /// not name.
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
                _ => findings.add(section, "is none of profiles, services, callers, out"),
            }
        }
        findings.into_result(())?;
        document.check()?;
        Ok(document)
    }
}

/// Reads a section of the document, entry by entry, so that each finding has its place.
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
    for (own, value) in raw {
        let place = format!("{section}.{own}");
        let own = findings.ok_or_add(&*place, name::Name::try_from(&*own));
        if let (Some(own), Some(entry)) = (own, parse_fields(findings, &place, value)) {
            entries.insert(own, entry);
        }
    }
    entries
}

/// Reads an object; where that fails, each of its fields alone, to find out which are wrong.
pub(crate) fn parse_fields<T>(
    findings: &mut finding::Findings,
    place: &str,
    value: serde_json::Value,
) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    let error = match serde_json::from_value(value.clone()) {
        Ok(read) => return Some(read),
        Err(error) => error,
    };
    let mut found = false;
    for (field, value) in value.as_object().into_iter().flatten() {
        let alone = serde_json::json!({ field: value });
        let Err(error) = serde_json::from_value::<T>(alone) else { continue };
        // That other fields are missing says nothing of this one.
        if !error.to_string().starts_with("missing field") {
            findings.add(format!("{place}.{field}"), error);
            found = true;
        }
    }
    if !found {
        findings.add(place, error);
    }
    None
}
