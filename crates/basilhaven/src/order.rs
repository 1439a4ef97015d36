//! Operators' orders, each of which changes the configuration.

use std::rc::Rc;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::{config, finding, member, moves, name, profile};

/// An operator's order.
///
/// # Examples
///
/// ```
/// use basilhaven::{config, order};
///
/// let raw = r#"{"out": {"data-centre": "milano-a"}}"#;
/// let order: order::Order = serde_json::from_str(raw).unwrap();
/// let next = order.applied_to(&config::Document::default())?;
/// assert!(next.out.data_centres.contains("milano-a"));
/// # Ok::<(), basilhaven::finding::Findings>(())
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Adds a profile, or replaces the one of this name.
    SetProfile(name::Name, profile::Profile),
    /// Removes a profile that no service uses.
    RemoveProfile(name::Name),
    /// Sets the profile that a service uses.
    SetService(name::Name, config::Service),
    /// Removes the entry of a service, which then uses the default profile.
    RemoveService(name::Name),
    /// Adds a caller, or replaces the one of this name.
    SetCaller(name::Name, config::Caller),
    /// Removes a caller, whose credential is no longer recognised then.
    RemoveCaller(name::Name),
    /// Takes a target out of service.
    Out(Target),
    /// Brings a target back into service.
    Back(Target),
    /// Replaces the whole document.
    Replace(Box<config::Document>),
}

/// What can be taken out of service and brought back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// A data centre with all of its upstreams and entry hosts.
    #[display("data centre {_0}")]
    DataCentre(name::Name),
    /// An entry host.
    #[display("host {_0}")]
    Host(name::Name),
    /// An upstream.
    #[display("upstream {_0}")]
    Upstream(name::Name),
}

impl Target {
    /// Returns the name of the target.
    pub fn name(&self) -> &name::Name {
        match self {
            Target::DataCentre(name) | Target::Host(name) | Target::Upstream(name) => name,
        }
    }

    /// Returns the names of the targets of this target's kind that are out of service.
    fn names_in<'o>(&self, out: &'o mut config::Out) -> &'o mut IndexSet<name::Name> {
        match self {
            Target::DataCentre(_) => &mut out.data_centres,
            Target::Host(_) => &mut out.hosts,
            Target::Upstream(_) => &mut out.upstreams,
        }
    }
}

impl Order {
    /// Applies the order to a document, and returns the resulting document after validating it.
    ///
    /// # Errors
    ///
    /// Returns the findings, each with its place, if the resulting document would be invalid.
    pub fn applied_to(
        &self,
        document: &config::Document,
    ) -> Result<config::Document, finding::Findings> {
        let mut next = document.clone();
        match self {
            Order::SetProfile(name, profile) => {
                next.profiles.insert(name.clone(), profile.clone());
            }
            Order::RemoveProfile(name) => {
                next.profiles.shift_remove(name);
            }
            Order::SetService(name, service) => {
                next.services.insert(name.clone(), service.clone());
            }
            Order::RemoveService(name) => {
                next.services.shift_remove(name);
            }
            Order::SetCaller(name, caller) => {
                next.callers.insert(name.clone(), caller.clone());
            }
            Order::RemoveCaller(name) => {
                next.callers.shift_remove(name);
            }
            Order::Out(target) => {
                target.names_in(&mut next.out).insert(target.name().clone());
                next.out.remove_return(target);
            }
            Order::Back(target) => {
                if target.names_in(&mut next.out).shift_remove(target.name()) {
                    next.out.record_return(target.clone(), moves::since_epoch());
                }
            }
            Order::Replace(document) => next = (**document).clone(),
        }
        next.check()?;
        Ok(next)
    }
}

impl TryFrom<&[u8]> for Order {
    type Error = finding::Findings;

    fn try_from(raw: &[u8]) -> Result<Order, finding::Findings> {
        let mut findings = finding::Findings::default();
        let value: serde_json::Value = match serde_json::from_slice(raw) {
            Ok(value) => value,
            Err(error) => {
                findings.add(format!("line {} column {}", error.line(), error.column()), &error);
                return Err(findings);
            }
        };
        match serde_json::from_value(value.clone()) {
            Ok(order) => Ok(order),
            Err(error) => {
                find_invalid_fields(&mut findings, &value);
                if findings.is_empty() {
                    let kind = value.as_object().and_then(|object| object.keys().next());
                    findings.add(kind.map_or("order", String::as_str), error);
                }
                Err(findings)
            }
        }
    }
}

/// Adds findings for the invalid fields inside an order that cannot be parsed.
fn find_invalid_fields(findings: &mut finding::Findings, value: &serde_json::Value) {
    for (kind, content) in value.as_object().into_iter().flatten() {
        let entry_name = content.get(0).and_then(serde_json::Value::as_str).unwrap_or_default();
        let place = format!("{kind}.{entry_name}");
        let entry = content.get(1).cloned();
        match (kind.as_str(), entry) {
            ("replace", _) => {
                if let Err(inner) = config::Document::try_from(content.clone()) {
                    findings.nest(kind, inner);
                }
            }
            ("set-profile", Some(entry)) => {
                config::parse_fields::<profile::Profile>(findings, &place, entry);
            }
            ("set-service", Some(entry)) => {
                config::parse_fields::<config::Service>(findings, &place, entry);
            }
            ("set-caller", Some(entry)) => {
                config::parse_fields::<config::Caller>(findings, &place, entry);
            }
            _ => {}
        }
    }
}

/// Returns a finding for each service that has an open upstream under the document `before` and
/// none under `after`. An upstream is open if it is neither leaving nor out of service.
pub fn emptied_services(
    hosts: &config::Hosts,
    before: &config::Document,
    after: &config::Document,
) -> finding::Findings {
    let open = |document: &config::Document| -> IndexSet<name::Name> {
        let out = &document.out;
        let open = hosts.upstreams.iter().filter(|upstream| {
            !upstream.leaving
                && !out.data_centres.contains(&upstream.data_centre)
                && !out.upstreams.contains(&upstream.name)
        });
        open.map(|upstream| upstream.service.clone()).collect()
    };
    let still_open = open(after);
    let mut findings = finding::Findings::default();
    for service in open(before).iter().filter(|service| !still_open.contains(*service)) {
        findings.add(format!("services.{service}"), "no open upstream would be left");
    }
    findings
}

/// The hosts and upstreams that a host knows, against which it checks orders.
#[derive(Debug)]
pub struct Inventory {
    /// The platform's list of hosts.
    pub hosts: Rc<config::Hosts>,
    /// The entry hosts that are alive and not leaving, whether out of service or not.
    pub serving: Vec<member::Host>,
    /// The entry hosts that are leaving, suspect or dead.
    pub others: Vec<member::Host>,
}

impl Inventory {
    /// Returns the objections to an order that is not forced: it names a target that does not
    /// exist, or takes out the last open upstream of a service or the last entry host.
    pub fn objections(
        &self,
        order: &Order,
        before: &config::Document,
        after: &config::Document,
    ) -> finding::Findings {
        let mut findings = emptied_services(&self.hosts, before, after);
        if self.serving_count(before) > 0 && self.serving_count(after) == 0 {
            findings.add("out", "no entry host would be left to serve callers");
        }
        if let Order::Out(target) = order {
            if !self.contains(target) {
                findings.add(place(target), "is not known");
            }
        }
        findings
    }

    /// Returns the number of entry hosts in `serving` that are not out of service under a document.
    fn serving_count(&self, document: &config::Document) -> usize {
        let out = &document.out;
        let is_out = |host: &&member::Host| {
            out.hosts.contains(&host.name) || out.data_centres.contains(&host.data_centre)
        };
        self.serving.iter().filter(|host| !is_out(host)).count()
    }

    fn contains(&self, target: &Target) -> bool {
        let mut entries = self.serving.iter().chain(&self.others);
        let mut upstreams = self.hosts.upstreams.iter();
        match target {
            Target::DataCentre(name) => {
                entries.any(|host| host.data_centre == *name)
                    || upstreams.any(|upstream| upstream.data_centre == *name)
            }
            Target::Host(name) => entries.any(|host| host.name == *name),
            Target::Upstream(name) => upstreams.any(|upstream| upstream.name == *name),
        }
    }
}

/// Returns the path of an order's target in the document, as findings give it.
fn place(target: &Target) -> String {
    match target {
        Target::DataCentre(name) => format!("out.data_centres.{name}"),
        Target::Host(name) => format!("out.hosts.{name}"),
        Target::Upstream(name) => format!("out.upstreams.{name}"),
    }
}
