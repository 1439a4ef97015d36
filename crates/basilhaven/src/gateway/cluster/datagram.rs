//! The messages between hosts, each a datagram: what hosts have heard of each other, and of moves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::udp::UdpSocket;
use serde::{Deserialize, Serialize};

use crate::gateway::{cluster, moves, updates};

/// The time between two beats, among few hosts and among many.
const BEAT: Duration = Duration::from_millis(250);
const BEAT_AMONG_MANY: Duration = Duration::from_millis(350);

/// The time between two beats of a host that starts: until it has heard of another one, and until it has met one
/// that serves.
const BEAT_ALONE: Duration = Duration::from_millis(20);
const BEAT_MEETING: Duration = Duration::from_millis(60);

/// How late a beat has to be for the process to have stood still: a busy host is late by less.
const STANDSTILL: Duration = Duration::from_secs(1);

/// Bytes of a datagram.
const MAX_DATAGRAM_LEN: usize = 4096;

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// What the sender has heard of hosts, itself first, and of steps of moves.
    Heartbeats(Vec<cluster::Heartbeat>, Vec<moves::Step>),
    /// What the sender has seen of the versions of a move.
    Evidence(moves::evidence::Evidence),
}

/// Sends this host's view at each beat.
pub async fn gossip(replica: Rc<updates::Replica>, socket: Rc<UdpSocket>) {
    loop {
        send_heartbeat(&replica, &socket).await;
        replica.members.forget(Instant::now());
        let pause = match replica.members.are_many() {
            _ if replica.is_unsynced() && replica.members.live_count(Instant::now()) == 1 => {
                BEAT_ALONE
            }
            _ if replica.is_unsynced() => BEAT_MEETING,
            true => BEAT_AMONG_MANY,
            false => BEAT,
        };
        let before = Instant::now();
        monoio::time::sleep(pause).await;
        let late = before.elapsed().saturating_sub(pause);
        if late >= STANDSTILL {
            tracing::warn!(event = "stood_still", ms = late.as_millis() as u64);
            replica.members.record_pause(late);
        }
    }
}

/// Sends this host's view to some hosts now.
pub async fn send_heartbeat(replica: &updates::Replica, socket: &UdpSocket) {
    let (pulses, targets) = replica.members.next_heartbeat(Instant::now());
    let frame = Frame::Heartbeats(pulses, replica.moves.steps(Instant::now()));
    for target in targets {
        send(socket, &frame, target).await;
    }
}

/// Sends this host's view to all live hosts now.
pub async fn broadcast(replica: &updates::Replica, socket: &UdpSocket) {
    let now = Instant::now();
    let (pulses, _) = replica.members.next_heartbeat(now);
    let frame = Frame::Heartbeats(pulses, replica.moves.steps(Instant::now()));
    for target in replica.members.others(now) {
        send(socket, &frame, target).await;
    }
}

/// Sends a frame to a host.
pub async fn send(socket: &UdpSocket, frame: &Frame, target: SocketAddr) {
    let bytes = match postcard::to_stdvec(frame) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_LEN => bytes,
        Ok(bytes) => {
            tracing::warn!(event = "frame_too_long", len = bytes.len());
            return;
        }
        Err(error) => {
            tracing::warn!(event = "frame_not_encoded", %error);
            return;
        }
    };
    let (result, _) = socket.send_to(bytes, target).await;
    if let Err(error) = result {
        tracing::debug!(event = "datagram_not_sent", %target, %error);
    }
}

/// Takes in what other hosts send.
pub async fn receive(replica: Rc<updates::Replica>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    loop {
        let (result, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        let (len, from) = match result {
            Ok(received) => received,
            Err(error) => {
                tracing::warn!(event = "datagram_not_received", %error);
                monoio::time::sleep(BEAT).await;
                continue;
            }
        };
        match postcard::from_bytes::<Frame>(&buffer[..len]) {
            Ok(Frame::Heartbeats(pulses, steps)) => {
                let now = Instant::now();
                for step in steps {
                    replica.moves.apply_step(step, now);
                }
                let is_news = replica.members.merge(from, &pulses, now);
                if is_news {
                    let live = replica.members.live_count(now);
                    tracing::info!(event = "host_met", %from, live);
                }
                // A host that starts looks for one that serves.
                let starts =
                    pulses.first().is_some_and(|own| own.state == cluster::State::Starting);
                if is_news || starts && replica.members.state() == cluster::State::Ready {
                    reply(&replica, &socket, from).await;
                }
            }
            Ok(Frame::Evidence(evidence)) => replica.moves.record_remote_evidence(from, evidence),
            Err(error) => tracing::debug!(event = "datagram_unreadable", %from, %error),
        }
    }
}

/// Tells a host that brought news what this one knows, so that it need not wait for a beat.
async fn reply(replica: &updates::Replica, socket: &UdpSocket, target: SocketAddr) {
    let mut pulses = replica.members.live(Instant::now());
    pulses.truncate(cluster::MAX_PULSES);
    send(socket, &Frame::Heartbeats(pulses, replica.moves.steps(Instant::now())), target).await;
}
