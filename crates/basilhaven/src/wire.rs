//! Frames between entry hosts: versioned, bounded, and authenticated by the key they share.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::moves::{evidence, halt};
use crate::{call, difference, gossip, member, name, replica};

/// The first byte of every frame; a host drops frames of other versions.
pub const VERSION: u8 = 4;

/// The largest frame, in bytes; it fits one datagram on any network.
pub const MAX_FRAME_LEN: usize = 1200;

/// The largest message over TCP, in bytes.
pub const MAX_MESSAGE_LEN: usize = 4 * 1024 * 1024;

/// Bytes of the authentication code at a frame's end.
const CODE_LEN: usize = 16;

/// What one host tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Who is there, and who is not.
    Membership(Membership),
    /// What the sender has seen of a move, for the host that steers it.
    Evidence(evidence::Digest),
    /// A move is stopped.
    Halt(halt::Halt),
    /// Which upstreams of a service are cold.
    Warmup {
        /// The service.
        service: name::Name,
        /// Upstreams with the generations of their warmth.
        upstreams: Vec<(name::Name, u64)>,
    },
}

/// What hosts tell each other of the hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// What it is sent for.
    pub purpose: Purpose,
    /// What its sender says of itself.
    pub sender: member::Status,
    /// The incarnation at which the sender thinks its receiver suspect, dead or an older run.
    pub to_refute: Option<u64>,
    /// Which hosts the sender knows.
    pub digest: member::Digest,
    /// What it tells of other hosts.
    pub updates: Vec<gossip::Update>,
}

/// What a [`Membership`] frame is sent for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Its receiver is to acknowledge it, with this number.
    Probe(u32),
    /// A probe of this number was answered, by its sender or by a host that it probed in turn.
    Ack(u32),
    /// Its receiver is to probe this host, and to acknowledge with this number when that succeeds.
    ProbeRequest(u32, member::Id),
    /// To tell the news.
    Gossip,
}

/// What one host sends another over TCP, behind its length in four bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a row.
    GetRow(replica::Row),
    /// A row.
    Snapshot(replica::Snapshot),
    /// The sender has applied these revisions, just now.
    Applied {
        /// Where it takes peers' frames.
        peer: SocketAddr,
        /// The revisions.
        revisions: replica::Revisions,
    },
    /// Says who the sender is, and asks for the hosts that the receiver knows.
    Exchange(member::Host),
    /// Answers an exchange.
    View(View),
    /// Asks for the list of hosts, for a host that has applied it at this revision.
    GetHostsSince(u64),
    /// What has changed of the list of hosts since the revision that was named.
    Difference(difference::Difference),
}

/// The hosts as one of them sees them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The hosts, the sender among them.
    pub hosts: Vec<(member::Host, member::Health)>,
    /// What the sender says of itself.
    pub sender: member::Status,
    /// The incarnation that the receiver has to outdo, under its own name.
    pub to_refute: Option<u64>,
}

/// Why a frame or message is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// It is too short or too long.
    #[display("length")]
    Length,
    /// It has another version.
    #[display("version")]
    Version,
    /// Its code is wrong: its sender does not hold the key.
    #[display("code")]
    Code,
    /// Its body is malformed.
    #[display("body")]
    Body,
}

impl Frame {
    /// The frame as bytes.
    ///
    /// # Errors
    ///
    /// The frame would be larger than [`MAX_FRAME_LEN`].
    pub fn encode(&self, key: &call::Key) -> Result<Vec<u8>, Error> {
        seal(self, key, MAX_FRAME_LEN)
    }

    /// Reads a frame.
    ///
    /// # Errors
    ///
    /// The bytes are no frame of a host that holds the key.
    pub fn decode(bytes: &[u8], key: &call::Key) -> Result<Frame, Error> {
        open(bytes, key, MAX_FRAME_LEN)
    }
}

impl Message {
    /// The message as bytes, without its length.
    ///
    /// # Errors
    ///
    /// The message would be larger than [`MAX_MESSAGE_LEN`].
    pub fn encode(&self, key: &call::Key) -> Result<Vec<u8>, Error> {
        seal(self, key, MAX_MESSAGE_LEN)
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// The bytes are no message of a host that holds the key.
    pub fn decode(bytes: &[u8], key: &call::Key) -> Result<Message, Error> {
        open(bytes, key, MAX_MESSAGE_LEN)
    }
}

/// Version, body and code.
fn seal<T>(value: &T, key: &call::Key, max_len: usize) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    let mut bytes = postcard::to_extend(value, vec![VERSION]).map_err(|_| Error::Body)?;
    let code = key.mac(&bytes);
    bytes.extend_from_slice(&code[..CODE_LEN]);
    if bytes.len() > max_len {
        return Err(Error::Length);
    }
    Ok(bytes)
}

fn open<T>(bytes: &[u8], key: &call::Key, max_len: usize) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    if bytes.len() <= CODE_LEN + 1 || bytes.len() > max_len {
        return Err(Error::Length);
    }
    if bytes[0] != VERSION {
        return Err(Error::Version);
    }
    let (body, code) = bytes.split_at(bytes.len() - CODE_LEN);
    if !key.verifies(body, code) {
        return Err(Error::Code);
    }
    postcard::from_bytes(&body[1..]).map_err(|_| Error::Body)
}
