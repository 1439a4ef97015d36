//! The order in which a host uses the upstreams of a service, by rendezvous hashing.
//!
//! Each upstream ranks the hosts by a hash of both; a host uses those upstreams first that rank it
//! highest. When a host comes or goes, only the upstreams that ranked it high change hands, so the
//! other hosts keep their connections and what they know of the upstreams.

use super::Heartbeat;

/// The hosts among which the upstreams are divided, as seen by one of them.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::cluster::assignment;
///
/// // Two hosts, of one data centre.
/// let hosts = [(1, 7), (2, 7)];
/// let [first, second] = [1, 2].map(|own| assignment::Assignment::new(own, 7, hosts));
/// // Each upstream ranks one of them first.
/// assert_eq!(first.place(42, 7).rank + second.place(42, 7).rank, 1);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    own: u64,
    data_centre: u16,
    /// The hash and the data centre of each host, sorted.
    hosts: Vec<(u64, u16)>,
    epoch: u64,
}

/// The place of a host in the order of one upstream; lower places are used first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Number of hosts that the upstream ranks higher.
    pub rank: u16,
    /// Orders the upstreams that give the host the same rank.
    tie: u64,
}

impl Assignment {
    /// Creates the assignment of the host with the hash `own` in `data_centre`, which is one of
    /// `hosts`.
    pub fn new<I>(own: u64, data_centre: u16, hosts: I) -> Assignment
    where
        I: IntoIterator<Item = (u64, u16)>,
    {
        let mut hosts: Vec<(u64, u16)> = hosts.into_iter().collect();
        hosts.sort_unstable();
        let epoch = hosts.iter().fold(own, |epoch, (host, _)| combine(epoch, *host));
        Assignment { own, data_centre, hosts, epoch }
    }

    /// Creates the assignment of the host `own` among `hosts`.
    pub(super) fn among(own: &Heartbeat, hosts: &[Heartbeat]) -> Assignment {
        let hosts = hosts.iter().map(|host| (host.key(), host.data_centre));
        Assignment::new(own.key(), own.data_centre, hosts)
    }

    /// Returns a number that changes when a host comes or goes, and places may have changed.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the place of this host at the upstream with this hash, in the data centre with this
    /// hash. The hosts of the upstream's data centre and the others are ranked separately, so that
    /// both kinds use it.
    pub fn place(&self, upstream: u64, data_centre: u16) -> Place {
        let is_local = self.data_centre == data_centre;
        let own = combine(self.own, upstream);
        let peers = self.hosts.iter().filter(|(_, dc)| (*dc == data_centre) == is_local);
        let ahead = peers.filter(|(host, _)| combine(*host, upstream) > own).count();
        Place { rank: u16::try_from(ahead).unwrap_or(u16::MAX), tie: u64::MAX - own }
    }
}

fn combine(one: u64, other: u64) -> u64 {
    let bytes = (u128::from(one) << 64 | u128::from(other)).to_le_bytes();
    rapidhash::v3::rapidhash_v3(&bytes)
}
