//! Which entry hosts a service's callers are sent to.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::{member, name, profile};

/// What a caller is told.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The service that was asked for.
    pub service: name::Name,
    /// How long the answer may be used, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "ttl_ms")]
    pub ttl: Duration,
    /// Where to connect; those in the caller's data centre come first.
    pub entries: Vec<Entry>,
}

/// One entry host to connect to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The host's name.
    pub host: name::Name,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The data centre that it stands in.
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

/// The hosts that serve a service, best first.
///
/// Rendezvous hashing: each host has a weight drawn from its name and the service's, and the heaviest
/// serve. A host that comes or goes so moves only the services that it wins or held. Hosts of data
/// centres not yet chosen go first, so that the few are spread.
pub fn assigned_hosts<'h>(
    service: &name::Name,
    hosts: &'h [member::Host],
    homes: profile::HostCount,
) -> Vec<&'h member::Host> {
    let mut ranked: Vec<&member::Host> = hosts.iter().collect();
    ranked.sort_by_key(|host| std::cmp::Reverse(weight(service, &host.name)));
    let few = match homes {
        profile::HostCount::All => return ranked,
        profile::HostCount::Few(few) => usize::from(few),
    };
    let mut chosen: Vec<&member::Host> = Vec::with_capacity(few);
    while chosen.len() < few && !ranked.is_empty() {
        let mut seen = IndexSet::new();
        let mut later = Vec::new();
        for host in ranked {
            if chosen.len() < few && seen.insert(&host.data_centre) {
                chosen.push(host);
            } else {
                later.push(host);
            }
        }
        ranked = later;
    }
    chosen
}

/// The weight of a host for a service; the same on every host.
pub fn weight(service: &name::Name, host: &name::Name) -> u64 {
    let text = format!("{service}/{host}");
    rapidhash::v3::rapidhash_v3(text.as_bytes())
}
