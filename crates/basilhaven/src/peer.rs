//! Frames between entry hosts, over UDP, and full exchanges of their views, over TCP.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::udp::UdpSocket;
use monoio::net::TcpStream;

use crate::{failure, gossip, member, node, sync, wire};

/// Hosts that are told at once when something urgent is learnt.
const FANOUT: usize = 4;

/// The time between two frames that are sent for the sake of news alone.
const TELL_INTERVAL: Duration = Duration::from_millis(100);

/// In how many of 256 frames a disagreement leads to an exchange, so that not all hosts turn to one.
const DISAGREEMENT_ODDS: u8 = 64;

/// How long one exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of the IP and UDP headers around a frame; they count against the budget too.
const HEADERS_LEN: usize = 28;

/// Tells a few hosts at once of what can't wait, until the process ends.
pub async fn broadcast_urgent(node: Rc<node::Node>, socket: Rc<UdpSocket>) {
    loop {
        node.members().urgent_update().await;
        tell(&node, &socket, FANOUT).await;
    }
}

/// Tells what can wait to one host after another as long as there is any, until the process ends.
pub async fn gossip_pending(node: Rc<node::Node>, socket: Rc<UdpSocket>) {
    loop {
        monoio::time::sleep(TELL_INTERVAL).await;
        if node.members().has_updates() {
            tell(&node, &socket, 1).await;
        }
    }
}

/// Tells the news to a few hosts, drawn at random.
async fn tell(node: &node::Node, socket: &UdpSocket, fanout: usize) {
    let mut targets = node.members().others();
    fastrand::shuffle(&mut targets);
    targets.truncate(fanout);
    for target in targets {
        send_membership(node, socket, wire::Purpose::Gossip, &target).await;
    }
}

/// Sends a host a frame for some purpose, with what news there is room for.
pub async fn send_membership(
    node: &node::Node,
    socket: &UdpSocket,
    purpose: wire::Purpose,
    target: &member::Host,
) {
    let to_refute = node.members().incarnation_to_refute(&target.status(member::Health::Alive));
    send_to(node, socket, purpose, to_refute, target.peer).await;
}

async fn send_to(
    node: &node::Node,
    socket: &UdpSocket,
    purpose: wire::Purpose,
    to_refute: Option<u64>,
    address: SocketAddr,
) {
    let members = node.members();
    let (sender, digest, updates) =
        (members.own_status(), members.digest(), members.next_updates());
    let frame =
        wire::Frame::Membership(wire::Membership { purpose, sender, to_refute, digest, updates });
    send_frame(node, socket, &frame, address).await;
}

/// Sends one frame, and counts its bytes against the budget of control traffic.
pub async fn send_frame(
    node: &node::Node,
    socket: &UdpSocket,
    frame: &wire::Frame,
    target: SocketAddr,
) {
    let Some(bytes) = encode(node, frame) else { return };
    let len = bytes.len() + HEADERS_LEN;
    node.control_budget().charge(len as f64);
    metrics::counter!("basilhaven_control_bytes_total").increment(len as u64);
    // A lost frame is made up for by a later one.
    let _ = socket.send_to(bytes, target).await;
}

/// A frame as bytes; one that is too large is a fault of this program, and is logged.
fn encode(node: &node::Node, frame: &wire::Frame) -> Option<Vec<u8>> {
    match frame.encode(&node.settings().peer_key) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            tracing::warn!(event = "frame_not_sent", %error);
            None
        }
    }
}

/// Takes in frames until the socket fails.
///
/// # Errors
///
/// The socket failed.
pub async fn receive(node: Rc<node::Node>, socket: Rc<UdpSocket>) -> io::Result<()> {
    let mut buffer = vec![0; wire::MAX_FRAME_LEN + 1];
    loop {
        let (result, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        // A datagram to a closed port comes back as an error; the socket goes on.
        let Ok((len, from)) = result else {
            monoio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        match wire::Frame::decode(&buffer[..len], &node.settings().peer_key) {
            Ok(frame) => take(&node, &socket, from, frame).await,
            Err(error) => {
                metrics::counter!("basilhaven_frames_dropped_total", "reason" => error.to_string())
                    .increment(1);
                tracing::debug!(event = "frame_dropped", %from, %error);
            }
        }
    }
}

/// Takes in one frame of a host that holds the key.
async fn take(node: &Rc<node::Node>, socket: &Rc<UdpSocket>, from: SocketAddr, frame: wire::Frame) {
    match frame {
        wire::Frame::Membership(frame) => take_member(node, socket, from, frame),
        wire::Frame::Warmup { service, upstreams } => {
            let Some(service) = node.service(service.as_str()) else { return };
            for (upstream, generation) in upstreams {
                service.apply_warmup(&upstream, generation);
            }
        }
        wire::Frame::Evidence(digest) => node.coordinator().apply(node, digest),
        wire::Frame::Halt(brake) => node.halt_move(brake),
    }
}

fn take_member(
    node: &Rc<node::Node>,
    socket: &Rc<UdpSocket>,
    from: SocketAddr,
    frame: wire::Membership,
) {
    let members = node.members();
    let wire::Membership { purpose, sender, to_refute, digest, updates } = frame;
    if sender.id == members.own_status().id {
        return;
    }
    if let Some(to_refute) = to_refute {
        members.refute(to_refute);
    }
    let mut change = member::Change::Unchanged;
    for update in updates {
        change = change.max(match update {
            gossip::Update::Host(host, health) => members.discover(host, health),
            gossip::Update::Status(standing) => members.merge(&standing),
        });
    }
    change = change.max(members.merge(&sender));
    let known = members.find(sender.id).map(|(host, _)| host);
    let disagrees = members.diverges_from(digest) && fastrand::u8(..) < DISAGREEMENT_ODDS;
    if change == member::Change::UnknownHost || disagrees {
        exchange_soon(node, known.clone());
    }
    if let Some(host) = &known {
        sync::pull_if_behind(node, host.peer, sender.revisions);
    }
    match purpose {
        wire::Purpose::Probe(number) => {
            let address = known.map_or(from, |host| host.peer);
            let to_refute = members.incarnation_to_refute(&sender);
            let (node, socket) = (Rc::clone(node), Rc::clone(socket));
            monoio::spawn(async move {
                send_to(&node, &socket, wire::Purpose::Ack(number), to_refute, address).await;
            });
        }
        wire::Purpose::Ack(number) => node.probes().acknowledge(number),
        wire::Purpose::ProbeRequest(number, target) => {
            if let (Some(asker), Some((target, _))) = (known, members.find(target)) {
                monoio::spawn(failure::probe_on_behalf(
                    Rc::clone(node),
                    Rc::clone(socket),
                    asker,
                    target,
                    number,
                ));
            }
        }
        wire::Purpose::Gossip => {}
    }
}

/// Exchanges views with the host that spoke of one that is not known, or else with any.
fn exchange_soon(node: &Rc<node::Node>, speaker: Option<member::Host>) {
    let target = speaker.or_else(|| fastrand::choice(node.members().others()));
    let Some(target) = target else { return };
    if !node.probes().may_exchange() {
        return;
    }
    let node = Rc::clone(node);
    monoio::spawn(async move {
        // A failed exchange is made up for by the next word of an unknown host.
        let _ = exchange(&node, target.peer).await;
    });
}

/// Exchanges views with the host at an address.
///
/// # Errors
///
/// The host gave no answer in time.
pub async fn exchange(node: &Rc<node::Node>, address: SocketAddr) -> io::Result<()> {
    let whole = async {
        let mut stream = TcpStream::connect_addr(address).await?;
        let message = wire::Message::Exchange(node.members().own());
        sync::write_message(node, &mut stream, &message).await?;
        match sync::read_message(node, &mut stream, wire::MAX_MESSAGE_LEN).await? {
            wire::Message::View(view) => Ok(view),
            _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
        }
    };
    match monoio::time::timeout(EXCHANGE_TIMEOUT, whole).await {
        Ok(theirs) => {
            let theirs = theirs?;
            let revisions = theirs.sender.revisions;
            take_view(node, theirs);
            sync::pull_if_behind(node, address, revisions);
            Ok(())
        }
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
    }
}

/// Takes in that a host is there, and answers with this one's view.
pub fn respond_to_exchange(node: &node::Node, asker: member::Host) -> wire::Message {
    let members = node.members();
    let to_refute = members.name_conflict(&asker);
    let to_refute =
        to_refute.or_else(|| members.incarnation_to_refute(&asker.status(member::Health::Alive)));
    members.discover(asker, member::Health::Alive);
    let view = wire::View { hosts: members.view(), sender: members.own_status(), to_refute };
    wire::Message::View(view)
}

fn take_view(node: &node::Node, view: wire::View) {
    if let Some(to_refute) = view.to_refute {
        node.members().refute(to_refute);
    }
    node.members().merge_view(view.hosts);
}
