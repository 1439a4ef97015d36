//! The frames (UDP) and messages (TCP) between entry hosts: versioned, of bounded size, and
//! authenticated with a shared key.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::moves::{evidence, halt};
use crate::{call, difference, gossip, member, name, replica};

/// The first byte of every frame and message; frames and messages of other versions are dropped.
pub const VERSION: u8 = 4;

/// The maximum size of a frame in bytes, which fits into one datagram on any network.
pub const MAX_FRAME_LEN: usize = 1200;

/// The maximum size of a message over TCP, in bytes.
pub const MAX_MESSAGE_LEN: usize = 4 * 1024 * 1024;

/// The length of the authentication code at the end of a frame or message, in bytes.
const MAC_LEN: usize = 16;

/// A datagram from one host to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Membership updates.
    Membership(Membership),
    /// Evidence on a move (counts of calls, errors and slow calls of both versions) that the sender
    /// has gathered, for the host that coordinates the move.
    Evidence(evidence::Digest),
    /// Announces a halt: the decision of a host that the new version of a move is bad, which sets
    /// the version's share of the traffic to zero on every host.
    Halt(halt::Halt),
    /// The warm-up state of the upstreams of a service.
    Warmup {
        /// The name of the service.
        service: name::Name,
        /// The upstreams, each with the generation of its warm-up state: a counter that is odd
        /// while the upstream is cold.
        upstreams: Vec<(name::Name, u64)>,
    },
}

/// A frame of the membership gossip and the failure detector.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The purpose for which the frame is sent.
    pub purpose: Purpose,
    /// The status that the sender announces of itself.
    pub sender: member::Status,
    /// The incarnation that the receiver has to exceed, because the sender has the receiver as
    /// suspect, as dead or with a higher incarnation than it announces.
    pub to_refute: Option<u64>,
    /// The digest of the hosts that the sender knows.
    pub digest: member::Digest,
    /// Updates about other hosts.
    pub updates: Vec<gossip::Update>,
}

/// The purpose of a [`Membership`] frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// The receiver is to acknowledge the frame with this number.
    Probe(u32),
    /// Acknowledges the probe with this number, for the sender itself or for a host that the sender
    /// probed on request.
    Ack(u32),
    /// The receiver is to probe this host, and to acknowledge with this number if that succeeds.
    ProbeRequest(u32, member::Id),
    /// The frame only carries updates.
    Gossip,
}

/// A message from one host to another over TCP, preceded by its length in four bytes (big endian).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a replicated row; the response is a [`Message::Snapshot`].
    GetRow(replica::Row),
    /// A whole row. It is also the response to [`Message::GetHostsSince`] if the host that is asked
    /// no longer keeps the changes since that revision.
    Snapshot(replica::Snapshot),
    /// Announces that the sender has just applied these revisions.
    Applied {
        /// The address at which the sender serves its peers.
        peer: SocketAddr,
        /// The revisions that the sender has applied.
        revisions: replica::Revisions,
    },
    /// Announces the sender, and requests the receiver's view of the hosts.
    Exchange(member::Host),
    /// The response to an exchange.
    View(View),
    /// Requests the changes of the platform's list of upstreams and entry hosts since this
    /// revision.
    GetHostsSince(u64),
    /// The changes of the list of hosts since the requested revision.
    Difference(difference::Difference),
}

/// The membership table of one host, without dead hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The hosts that are not dead, including the sender.
    pub hosts: Vec<(member::Host, member::Health)>,
    /// The status that the sender announces of itself.
    pub sender: member::Status,
    /// The incarnation that the receiver has to exceed, because the sender has the receiver as
    /// suspect or as dead, or knows its name with a higher or equal incarnation.
    pub to_refute: Option<u64>,
}

/// The reason why a frame or message is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The frame or message is too short or too long.
    #[display("length")]
    Length,
    /// The version is not [`VERSION`].
    #[display("version")]
    Version,
    /// The authentication code is wrong: the sender does not hold the key, or bytes were changed.
    #[display("code")]
    Mac,
    /// The body cannot be decoded.
    #[display("body")]
    Body,
}

impl Frame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame would be larger than [`MAX_FRAME_LEN`].
    pub fn encode(&self, key: &call::Key) -> Result<Vec<u8>, Error> {
        seal(self, key, MAX_FRAME_LEN)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a frame from a host that holds the key.
    pub fn decode(bytes: &[u8], key: &call::Key) -> Result<Frame, Error> {
        open(bytes, key, MAX_FRAME_LEN)
    }
}

impl Message {
    /// Encodes the message, without the length that precedes it on the wire.
    ///
    /// # Errors
    ///
    /// Returns an error if the message would be larger than [`MAX_MESSAGE_LEN`].
    pub fn encode(&self, key: &call::Key) -> Result<Vec<u8>, Error> {
        seal(self, key, MAX_MESSAGE_LEN)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a message from a host that holds the key.
    pub fn decode(bytes: &[u8], key: &call::Key) -> Result<Message, Error> {
        open(bytes, key, MAX_MESSAGE_LEN)
    }
}

/// Encodes a value as version, body and authentication code.
fn seal<T>(value: &T, key: &call::Key, max_len: usize) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let mut bytes = postcard::to_extend(value, vec![VERSION]).map_err(|_| Error::Body)?;
    let mac = key.mac(&bytes);
    bytes.extend_from_slice(&mac[..MAC_LEN]);
    if bytes.len() > max_len {
        return Err(Error::Length);
    }
    Ok(bytes)
}

/// Verifies the authentication code of bytes that [`seal`] encoded, and decodes the value.
fn open<T>(bytes: &[u8], key: &call::Key, max_len: usize) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    if bytes.len() <= MAC_LEN + 1 || bytes.len() > max_len {
        return Err(Error::Length);
    }
    if bytes[0] != VERSION {
        return Err(Error::Version);
    }
    let (body, mac) = bytes.split_at(bytes.len() - MAC_LEN);
    if !key.verifies(body, mac) {
        return Err(Error::Mac);
    }
    postcard::from_bytes(&body[1..]).map_err(|_| Error::Body)
}
