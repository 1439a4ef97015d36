//! Messages between hosts, one per datagram: heartbeats, steps of moves, evidence on versions, and
//! counts of calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::udp::UdpSocket;
use serde::{Deserialize, Serialize};

use crate::gateway::cluster::reach;
use crate::gateway::{cluster, moves, store, updates, usage};
use crate::pace;

/// Interval of heartbeats, in a small and in a large cluster.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
const HEARTBEAT_INTERVAL_IN_LARGE_CLUSTER: Duration = Duration::from_millis(350);

/// Interval of heartbeats of a host that is starting: until it knows another host, and until its
/// replica of the store is complete, which needs a host that is ready.
const INTERVAL_WHILE_ALONE: Duration = Duration::from_millis(20);
const INTERVAL_WHILE_UNSYNCED: Duration = Duration::from_millis(60);

/// Interval of heartbeats of a host that has just started, until it can be expected to know all
/// others: all hosts may have been restarted at once.
const INTERVAL_WHILE_YOUNG: Duration = Duration::from_millis(150);

/// Delay of a heartbeat at which the process counts as having been paused; a busy host delays
/// heartbeats by less.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// The longest datagram, in bytes. Earlier builds drop longer ones.
pub const MAX_DATAGRAM_LEN: usize = 4096;

/// The most bytes of a datagram that steps, and that evidence takes. The heartbeats in one datagram
/// take up to 1,700 bytes.
const MAX_STEPS_LEN: usize = 2000;
const MAX_EVIDENCE_LEN: usize = 3500;

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The heartbeats of the live hosts that the sender knows, its own first, and steps of moves.
    Heartbeats(Vec<cluster::Heartbeat>, Vec<moves::Step>),
    /// The sender's evidence on the versions of a move.
    Evidence(moves::evidence::Evidence),
    /// Counts of calls by organisation, or their acknowledgement.
    Usage(usage::message::Message),
}

impl Frame {
    /// Returns a frame with the first of these heartbeats and steps, as many as fit.
    ///
    /// Whether hosts hear of each other must not depend on how many services move.
    pub fn heartbeats(
        mut heartbeats: Vec<cluster::Heartbeat>,
        mut steps: Vec<moves::Step>,
    ) -> Frame {
        heartbeats.truncate(cluster::gossip::MAX_HEARTBEATS);
        let mut len = 0;
        steps.retain(|step| {
            let eras = (step.order.era, step.revision.era);
            let added = encoded_len(&(step, eras));
            let fits = len + added <= MAX_STEPS_LEN;
            len += if fits { added } else { 0 };
            fits
        });
        Frame::Heartbeats(heartbeats, steps)
    }

    /// Returns a frame with evidence on all routes together, and on some routes, as many as fit. Each
    /// frame has others of them, except that routes on which the new version fails go first.
    pub fn evidence(mut evidence: moves::evidence::Evidence) -> Frame {
        let mut routes: Vec<_> = std::mem::take(&mut evidence.routes).into_iter().collect();
        fastrand::shuffle(&mut routes);
        routes.sort_by_key(|(_, pair)| pair.new.failed == 0);
        let mut len = encoded_len(&evidence);
        for (route, pair) in routes {
            len += encoded_len(&(&route, &pair));
            if len > MAX_EVIDENCE_LEN {
                break;
            }
            evidence.routes.insert(route, pair);
        }
        Frame::Evidence(evidence)
    }
}

/// Returns the length of a value as it is encoded; a value that cannot be encoded fits nowhere.
fn encoded_len<T>(value: &T) -> usize
where
    T: Serialize,
{
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX / 4)
}

/// Sends this host's view, which is the heartbeats and the steps of moves that it knows, to some
/// hosts periodically.
pub async fn gossip(replica: Rc<updates::Replica>, socket: Rc<UdpSocket>) {
    let mut longest_delay = Duration::ZERO;
    loop {
        send_heartbeat(&replica, &socket).await;
        replica.members.remove_expired(Instant::now());
        let interval = interval(&replica.members, replica.is_unsynced(), Instant::now());
        let before = Instant::now();
        monoio::time::sleep(interval).await;
        let delay = before.elapsed().saturating_sub(interval);
        longest_delay = longest_delay.max(delay);
        metrics::gauge!("basilhaven_longest_delay_seconds").set(longest_delay.as_secs_f64());
        if delay >= PAUSE_THRESHOLD {
            tracing::warn!(event = "stood_still", ms = delay.as_millis() as u64);
            replica.members.record_pause(delay);
        }
    }
}

/// Returns the time until a host sends its next heartbeat; `is_unsynced` tells whether its replica
/// of the store is incomplete.
pub fn interval(members: &cluster::Members, is_unsynced: bool, now: Instant) -> Duration {
    match members.is_large_cluster() {
        _ if is_unsynced && members.live_count(now) == 1 => INTERVAL_WHILE_ALONE,
        _ if is_unsynced => INTERVAL_WHILE_UNSYNCED,
        _ if members.has_seeds() && members.is_young(now) => INTERVAL_WHILE_YOUNG,
        true => HEARTBEAT_INTERVAL_IN_LARGE_CLUSTER,
        false => HEARTBEAT_INTERVAL,
    }
}

/// Sends this host's view to some hosts now.
pub async fn send_heartbeat(replica: &updates::Replica, socket: &UdpSocket) {
    let (heartbeats, targets) = replica.members.next_heartbeat(Instant::now());
    let frame = Frame::heartbeats(heartbeats, replica.moves.steps(Instant::now()));
    for target in targets {
        send(socket, &frame, target).await;
    }
}

/// Sends this host's view to all live hosts now.
pub async fn broadcast(replica: &updates::Replica, socket: &UdpSocket) {
    let now = Instant::now();
    let (heartbeats, _) = replica.members.next_heartbeat(now);
    let frame = Frame::heartbeats(heartbeats, replica.moves.steps(Instant::now()));
    for target in replica.members.live_peers(now) {
        send(socket, &frame, target).await;
    }
}

/// Sends a frame to a host. Frames made by [`Frame::heartbeats`], [`Frame::evidence`] and
/// [`Outbox::parts`](usage::message::Outbox::parts) are never too long.
pub async fn send(socket: &UdpSocket, frame: &Frame, target: SocketAddr) {
    let bytes = match encode(frame) {
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

/// Announces a change of this host: to all live hosts, or in a large cluster to some, which forward
/// it.
pub async fn announce(replica: &updates::Replica, socket: &UdpSocket) {
    match replica.members.is_large_cluster() {
        true => send_heartbeat(replica, socket).await,
        false => broadcast(replica, socket).await,
    }
}

/// Encodes a frame. Heartbeats are followed by the eras of the steps, the reach of the hosts, the
/// sender's view and the ages of the heartbeats, and evidence by that on all routes together: earlier
/// builds ignore what follows a frame.
///
/// # Errors
///
/// Returns an error if the frame cannot be serialized.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = postcard::to_stdvec(frame)?;
    if let Frame::Evidence(moves::evidence::Evidence { total: Some(total), .. }) = frame {
        bytes.extend(postcard::to_stdvec(total)?);
    }
    if let Frame::Heartbeats(heartbeats, steps) = frame {
        let eras: Vec<(store::Era, store::Era)> =
            steps.iter().map(|step| (step.order.era, step.revision.era)).collect();
        let reaches: Vec<reach::Reach> = heartbeats.iter().map(|h| h.reach).collect();
        bytes.extend(postcard::to_stdvec(&eras)?);
        bytes.extend(postcard::to_stdvec(&reaches)?);
        if let Some(own) = heartbeats.first() {
            bytes.extend(postcard::to_stdvec(&own.view)?);
            let ages: Vec<u32> = heartbeats.iter().map(|h| h.age_ms).collect();
            bytes.extend(postcard::to_stdvec(&ages)?);
        }
    }
    Ok(bytes)
}

/// Decodes a frame, and tells whether the eras of its steps are known.
///
/// # Errors
///
/// Returns an error if the bytes are not a frame.
pub fn decode(bytes: &[u8]) -> Result<(Frame, bool), postcard::Error> {
    let (mut frame, rest) = postcard::take_from_bytes::<Frame>(bytes)?;
    if let (Frame::Evidence(evidence), false) = (&mut frame, rest.is_empty()) {
        evidence.total = Some(postcard::take_from_bytes(rest)?.0);
    }
    let has_eras = !rest.is_empty();
    if let (Frame::Heartbeats(heartbeats, steps), true) = (&mut frame, has_eras) {
        let (eras, rest) = postcard::take_from_bytes::<Vec<(store::Era, store::Era)>>(rest)?;
        // The build that introduced eras appends nothing else.
        let (reaches, rest) = match rest {
            [] => (Vec::new(), rest),
            rest => postcard::take_from_bytes::<Vec<reach::Reach>>(rest)?,
        };
        if let (Some(own), false) = (heartbeats.first_mut(), rest.is_empty()) {
            let (view, rest) = postcard::take_from_bytes(rest)?;
            own.view = view;
            let ages: Vec<u32> = match rest {
                [] => Vec::new(),
                rest => postcard::from_bytes(rest)?,
            };
            for (heartbeat, age_ms) in heartbeats.iter_mut().zip(ages) {
                heartbeat.age_ms = age_ms;
            }
        }
        for (heartbeat, reach) in heartbeats.iter_mut().zip(reaches) {
            heartbeat.reach = reach;
        }
        for (step, (order, revision)) in steps.iter_mut().zip(eras) {
            step.order.era = order;
            step.revision.era = revision;
        }
    }
    Ok((frame, has_eras))
}

/// Receives and applies the messages of other hosts.
pub async fn receive(
    replica: Rc<updates::Replica>,
    usage: Option<Rc<usage::task::Usage>>,
    socket: Rc<UdpSocket>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    let pace = pace::Pace::of_listener();
    loop {
        let (result, filled) = pace.step(socket.recv_from(buffer)).await;
        buffer = filled;
        let (len, from) = match result {
            Ok(received) => received,
            Err(error) => {
                tracing::warn!(event = "datagram_not_received", %error);
                monoio::time::sleep(HEARTBEAT_INTERVAL).await;
                continue;
            }
        };
        match decode(&buffer[..len]) {
            Ok((Frame::Heartbeats(heartbeats, steps), has_eras)) => {
                let now = Instant::now();
                for mut step in steps {
                    if !has_eras {
                        replica.moves.complete_eras(&mut step);
                    }
                    replica.moves.apply_step(step, now);
                }
                let (is_new_host, responses) = replica.members.exchange(from, &heartbeats, now);
                if is_new_host {
                    let live = replica.members.live_count(now);
                    tracing::info!(event = "host_met", %from, live);
                }
                for heartbeats in responses {
                    let frame = Frame::heartbeats(heartbeats, replica.moves.steps(now));
                    send(&socket, &frame, from).await;
                }
            }
            Ok((Frame::Evidence(evidence), _)) => {
                replica.moves.record_remote_evidence(from, evidence)
            }
            Ok((Frame::Usage(message), _)) => {
                let reply = usage.as_ref().and_then(|u| u.apply(from, message, Instant::now()));
                if let Some(reply) = reply {
                    send(&socket, &Frame::Usage(reply), from).await;
                }
            }
            Err(error) => tracing::debug!(event = "datagram_unreadable", %from, %error),
        }
    }
}
