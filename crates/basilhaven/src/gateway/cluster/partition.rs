//! Division of a service's upstreams among the advertised hosts.
//!
//! An upstream that names a rate of calls gets them from one host, its owner. The shares of all
//! hosts in such a rate would be far below one call per second, and many hosts that each send a
//! whole call now and then exceed the rate at times.

/// This host's part in the division.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::cluster::partition;
///
/// let hosts = [0, 1].map(|index| partition::Partition::new(index, 2));
/// // The first two of four upstreams belong to the first host, the others to the second.
/// assert_eq!([0, 1, 2, 3].map(|rank| hosts[0].share(rank, 4)), [1.0, 1.0, 0.0, 0.0]);
/// assert_eq!([0, 1, 2, 3].map(|rank| hosts[1].share(rank, 4)), [0.0, 0.0, 1.0, 1.0]);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Partition {
    /// Position of this host among the advertised hosts; `None` if it is not advertised.
    index: Option<usize>,
    /// Number of advertised hosts.
    count: usize,
    /// This host's share in the rates of the upstreams that it owns.
    share: f64,
}

impl Partition {
    /// Returns the part of the host at position `index` of `count` advertised hosts.
    pub fn new(index: usize, count: usize) -> Partition {
        Partition { index: Some(index), count, share: 1.0 }
    }

    /// Returns the part of a host that owns nothing, because callers are not directed to it.
    pub fn none() -> Partition {
        Partition { index: None, count: 0, share: 0.0 }
    }

    /// Returns the part of a host that hears none of the other `others` hosts. It cannot tell
    /// whether they are down or do the same, so it takes an equal share of every upstream's rate.
    pub fn isolated(others: usize) -> Partition {
        Partition { share: 1.0 / (others + 1) as f64, ..Partition::new(0, 1) }
    }

    /// Returns this host's share in the rate of the upstream at position `rank` of the service's
    /// `total` upstreams.
    pub fn share(&self, rank: usize, total: usize) -> f64 {
        let owner = rank * self.count / total.max(1);
        match self.index == Some(owner) {
            true => self.share,
            false => 0.0,
        }
    }
}
