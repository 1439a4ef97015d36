//! What hosts tell each other of themselves.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::reach;

/// State of a host; only ready hosts are advertised to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The host has started and cannot serve yet.
    Starting,
    /// The host serves calls.
    Ready,
    /// The host is shutting down.
    Leaving,
}

/// Heartbeat of one host, as hosts send and forward it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// IPv4 address of the host.
    pub(super) address: [u8; 4],
    pub(super) peer_port: u16,
    pub(super) caller_port: u16,
    /// Hash of the data centre's name.
    pub(super) data_centre: u16,
    /// Distinguishes incarnations of the host's process.
    pub(super) incarnation: u16,
    pub(super) sequence: u32,
    pub(super) state: State,
    /// Whether the host can read the store.
    pub(super) can_read_store: bool,
    /// Capacity of the host, in twentieths of a core.
    pub(super) capacity: u8,
    /// The services that the host reaches; sent after the [frame](super::datagram::encode), which earlier
    /// builds ignore.
    #[serde(skip)]
    pub(super) reach: reach::Reach,
    /// What the host says of the hosts that it knows; sent after the frame.
    #[serde(skip)]
    pub(super) view: View,
    /// The time since the host itself sent this heartbeat, in milliseconds, as far as the hosts that
    /// have forwarded it know; sent after the frame. A host that has just started would otherwise
    /// take a host for live that has been dead for seconds, until it has been silent for as long
    /// again.
    #[serde(skip)]
    pub(super) age_ms: u32,
}

/// What the sender of a datagram says of the hosts that it knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number of live hosts that the sender knows, including itself; 0 if it has not said so, as
    /// hosts of earlier builds.
    pub(super) hosts: u16,
    /// Whether the sender has just started, and wants to be sent the heartbeats of more hosts.
    pub(super) is_young: bool,
}

impl Heartbeat {
    /// Returns a rank that is the same on all hosts and does not follow the order of addresses.
    pub(super) fn rank(&self) -> u64 {
        rapidhash::v3::rapidhash_v3(&self.address)
    }

    /// Returns a hash that distinguishes hosts, also those that share an address.
    pub(super) fn key(&self) -> u64 {
        self.rank() ^ u64::from(self.peer_port)
    }

    /// Returns whether the host reaches no service.
    pub(super) fn is_stranded(&self) -> bool {
        self.reach == reach::Reach::Nothing
    }

    /// Returns the time since the host itself sent this heartbeat, as far as it is known.
    pub(super) fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }

    /// Keeps what is known of the same process besides if this heartbeat was forwarded: hosts of an
    /// earlier build drop the reach, and the view is sent only by the host itself.
    pub(super) fn keep_known(&mut self, known: &Heartbeat) {
        if self.reach == reach::Reach::Unknown {
            self.reach = known.reach;
        }
        if self.view == View::default() {
            self.view = known.view;
        }
    }

    /// Returns the address for other hosts.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddrV4::new(Ipv4Addr::from(self.address), self.peer_port).into()
    }

    /// Returns the address for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        SocketAddrV4::new(Ipv4Addr::from(self.address), self.caller_port).into()
    }
}

/// Returns a short hash of a name, which is the same on all hosts.
pub fn name_hash(name: &str) -> u16 {
    rapidhash::v3::rapidhash_v3(name.as_bytes()) as u16
}
