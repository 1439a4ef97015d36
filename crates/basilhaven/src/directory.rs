//! The directory: which entry hosts the callers of a service connect to.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{member, name, profile};

/// A response of the directory.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The requested service.
    pub service: name::Name,
    /// How long the response may be used, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ttl_ms")]
    pub ttl: Duration,
    /// The hosts to connect to; those in the caller's data centre come first.
    pub entries: Vec<Entry>,
}

/// An entry host that callers of the service can connect to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The name of the host.
    pub host: name::Name,
    /// The address at which the host accepts calls.
    pub address: SocketAddr,
    /// The data centre of the host.
    pub data_centre: name::Name,
}

impl From<&member::Host> for Entry {
    fn from(host: &member::Host) -> Entry {
        Entry {
            host: host.name.clone(),
            address: host.callers,
            data_centre: host.data_centre.clone(),
        }
    }
}

/// Returns the hosts that are assigned to serve a service, in order of preference: `host_count` of
/// them, or all.
///
/// Uses rendezvous hashing: each host has a weight derived from its name and the service's, and the
/// hosts with the highest weights serve. When a host joins or leaves, only the services that it
/// gains or loses move. Hosts in data centres that are not yet represented are preferred, so that a
/// few hosts are spread over the data centres.
pub fn assigned_hosts<'h>(
    service: &name::Name,
    hosts: &'h [member::Host],
    host_count: profile::HostCount,
) -> Vec<&'h member::Host> {
    let mut ranked: Vec<&member::Host> = hosts.iter().collect();
    ranked.sort_by_key(|host| std::cmp::Reverse(weight(service, &host.name)));
    let count = match host_count {
        profile::HostCount::All => return ranked,
        profile::HostCount::Few(count) => usize::from(count),
    };
    let mut chosen: Vec<&member::Host> = Vec::with_capacity(count);
    while chosen.len() < count && !ranked.is_empty() {
        let mut seen_data_centres = IndexSet::new();
        let mut later = Vec::new();
        for host in ranked {
            if chosen.len() < count && seen_data_centres.insert(&host.data_centre) {
                chosen.push(host);
            } else {
                later.push(host);
            }
        }
        ranked = later;
    }
    chosen
}

/// Returns the weight of a host for a service. Every host computes the same weight.
pub fn weight(service: &name::Name, host: &name::Name) -> u64 {
    let text = format!("{service}/{host}");
    rapidhash::v3::rapidhash_v3(text.as_bytes())
}
