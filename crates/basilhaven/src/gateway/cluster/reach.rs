//! The services whose upstreams respond to a host, as the host announces them to the others.

use serde::{Deserialize, Serialize};

/// The services that a host reaches.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::cluster::reach;
///
/// let reach = reach::Reach::except(["catalogo"]);
/// assert!(!reach.includes("catalogo"));
/// assert!(reach.includes("spedizioni"));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// The host has not said which, as hosts of earlier builds, and takes no calls of other hosts.
    #[default]
    Unknown,
    /// All services.
    All,
    /// All but those whose [bits](bit_of) are set, and some that share a bit with one of them.
    Except(u64),
    /// None; the host is stranded.
    Nothing,
}

impl Reach {
    /// Returns the reach of a host that has lost these services, but not all.
    pub fn except<'a, I>(lost: I) -> Reach
    where
        I: IntoIterator<Item = &'a str>,
    {
        match lost.into_iter().map(bit_of).fold(0, |bits, bit| bits | bit) {
            0 => Reach::All,
            bits => Reach::Except(bits),
        }
    }

    /// Returns whether the host reaches a service, as far as it has said so.
    pub fn includes(self, service: &str) -> bool {
        match self {
            Reach::Unknown | Reach::Nothing => false,
            Reach::All => true,
            Reach::Except(bits) => bits & bit_of(service) == 0,
        }
    }
}

/// Returns the bit of a service.
fn bit_of(service: &str) -> u64 {
    1 << (rapidhash::v3::rapidhash_v3(service.as_bytes()) % u64::from(u64::BITS))
}
