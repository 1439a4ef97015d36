//! Membership gossip between entry hosts: frames over UDP, and full exchanges over TCP, in which a
//! host announces itself to another and receives that host's view (its membership table without
//! dead hosts).

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::udp::UdpSocket;
use monoio::net::TcpStream;

use crate::{failure, gossip, member, node, pace, sync, wire};

/// The number of hosts to which an urgent update is sent at once.
const FANOUT: usize = 4;

/// The interval between frames that are sent only to carry pending updates.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);

/// The probability, in 256ths, that a frame with a diverging digest (see [`member::Digest`]) leads
/// to a full exchange. It is below 1 so that not all hosts request the view of one host at once.
const EXCHANGE_ODDS_IN_256: u8 = 64;

/// The maximum duration of a full exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// The size of the IPv4 and UDP headers around a frame, which count against the control budget too.
const HEADERS_LEN: usize = 28;

/// Sends pending updates to `FANOUT` random hosts whenever one is urgent, until the process ends.
pub async fn broadcast_urgent(node: Rc<node::Node>, socket: Rc<UdpSocket>) {
    loop {
        node.members().urgent_update().await;
        send_updates(&node, &socket, FANOUT).await;
    }
}

/// Sends pending updates to one random host per interval, until the process ends.
pub async fn gossip_pending(node: Rc<node::Node>, socket: Rc<UdpSocket>) {
    loop {
        monoio::time::sleep(GOSSIP_INTERVAL).await;
        if node.members().has_updates() {
            send_updates(&node, &socket, 1).await;
        }
    }
}

/// Sends pending updates to `fanout` hosts drawn at random.
async fn send_updates(node: &node::Node, socket: &UdpSocket, fanout: usize) {
    let mut targets = node.members().others();
    fastrand::shuffle(&mut targets);
    targets.truncate(fanout);
    for target in targets {
        send_membership(node, socket, wire::Purpose::Gossip, &target).await;
    }
}

/// Sends a membership frame to a host, with as many pending updates as fit.
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

/// Sends one frame, and charges its size to the budget for control traffic.
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
    // A send error is treated like a lost datagram: later frames carry the same state.
    let _ = socket.send_to(bytes, target).await;
}

/// Encodes a frame. A frame that is too large is a bug in this program; it is logged and not sent.
fn encode(node: &node::Node, frame: &wire::Frame) -> Option<Vec<u8>> {
    match frame.encode(&node.settings().peer_key) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            tracing::warn!(event = "frame_not_sent", %error);
            None
        }
    }
}

/// Receives and handles frames until the process ends.
///
/// # Errors
///
/// Never returns an error at present: the loop continues after errors of the socket.
pub async fn receive(node: Rc<node::Node>, socket: Rc<UdpSocket>) -> io::Result<()> {
    let mut buffer = vec![0; wire::MAX_FRAME_LEN + 1];
    let pace = pace::Pace::of_listener();
    loop {
        let (result, returned) = pace.step(socket.recv_from(buffer)).await;
        buffer = returned;
        // A datagram that was sent to a closed port causes an error here; the socket stays usable.
        let Ok((len, from)) = result else {
            monoio::time::sleep(Duration::from_millis(1)).await;
            continue;
        };
        match wire::Frame::decode(&buffer[..len], &node.settings().peer_key) {
            Ok(frame) => handle(&node, &socket, from, frame).await,
            Err(error) => {
                metrics::counter!("basilhaven_frames_dropped_total", "reason" => error.to_string())
                    .increment(1);
                tracing::debug!(event = "frame_dropped", %from, %error);
            }
        }
    }
}

/// Handles one frame that was authenticated by the shared key.
async fn handle(
    node: &Rc<node::Node>,
    socket: &Rc<UdpSocket>,
    from: SocketAddr,
    frame: wire::Frame,
) {
    match frame {
        wire::Frame::Membership(frame) => handle_membership(node, socket, from, frame),
        wire::Frame::Warmup { service, upstreams } => {
            let Some(service) = node.service(service.as_str()) else { return };
            for (upstream, generation) in upstreams {
                service.apply_warmup(&upstream, generation);
            }
        }
        wire::Frame::Evidence(digest) => node.coordinator().apply(node, digest),
        wire::Frame::Halt(halt) => node.halt_move(halt),
    }
}

fn handle_membership(
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
            gossip::Update::Status(status) => members.merge(&status),
        });
    }
    change = change.max(members.merge(&sender));
    let known_sender = members.find(sender.id).map(|(host, _)| host);
    let is_divergent = members.diverges_from(digest) && fastrand::u8(..) < EXCHANGE_ODDS_IN_256;
    if change == member::Change::UnknownHost || is_divergent {
        spawn_exchange(node, known_sender.clone());
    }
    if let Some(host) = &known_sender {
        sync::pull_if_behind(node, host.peer, sender.revisions);
    }
    match purpose {
        wire::Purpose::Probe(number) => {
            let address = known_sender.map_or(from, |host| host.peer);
            let to_refute = members.incarnation_to_refute(&sender);
            let (node, socket) = (Rc::clone(node), Rc::clone(socket));
            monoio::spawn(async move {
                send_to(&node, &socket, wire::Purpose::Ack(number), to_refute, address).await;
            });
        }
        wire::Purpose::Ack(number) => node.probes().acknowledge(number),
        wire::Purpose::ProbeRequest(number, target) => {
            if let (Some(requester), Some((target, _))) = (known_sender, members.find(target)) {
                monoio::spawn(failure::probe_on_behalf(
                    Rc::clone(node),
                    Rc::clone(socket),
                    requester,
                    target,
                    number,
                ));
            }
        }
        wire::Purpose::Gossip => {}
    }
}

/// Starts a full exchange with the sender of a frame, or with a random host if the sender is not
/// known, unless [`failure::Probes::may_exchange`] says that the last one was too recent.
fn spawn_exchange(node: &Rc<node::Node>, sender: Option<member::Host>) {
    let target = sender.or_else(|| fastrand::choice(node.members().others()));
    let Some(target) = target else { return };
    if !node.probes().may_exchange() {
        return;
    }
    let node = Rc::clone(node);
    monoio::spawn(async move {
        // If the exchange fails, the next frame about an unknown host starts another one.
        let _ = exchange(&node, target.peer).await;
    });
}

/// Announces this host to the host at an address, merges the view that it returns, and pulls rows
/// of which that host has newer revisions.
///
/// # Errors
///
/// Returns an error if the host cannot be reached, sends an invalid response or takes longer than
/// `EXCHANGE_TIMEOUT`.
pub async fn exchange(node: &Rc<node::Node>, address: SocketAddr) -> io::Result<()> {
    let views = async {
        let mut stream = TcpStream::connect_addr(address).await?;
        let message = wire::Message::Exchange(node.members().own());
        sync::write_message(node, &mut stream, &message).await?;
        match sync::read_message(node, &mut stream, wire::MAX_MESSAGE_LEN).await? {
            wire::Message::View(view) => Ok(view),
            _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
        }
    };
    match monoio::time::timeout(EXCHANGE_TIMEOUT, views).await {
        Ok(view) => {
            let view = view?;
            let revisions = view.sender.revisions;
            apply_view(node, view);
            sync::pull_if_behind(node, address, revisions);
            Ok(())
        }
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
    }
}

/// Adds the host that requested an exchange, and returns this host's view as the response.
pub fn respond_to_exchange(node: &node::Node, requester: member::Host) -> wire::Message {
    let members = node.members();
    let to_refute = members.name_conflict(&requester);
    let to_refute = to_refute
        .or_else(|| members.incarnation_to_refute(&requester.status(member::Health::Alive)));
    members.discover(requester, member::Health::Alive);
    let view = wire::View { hosts: members.view(), sender: members.own_status(), to_refute };
    wire::Message::View(view)
}

fn apply_view(node: &node::Node, view: wire::View) {
    if let Some(to_refute) = view.to_refute {
        node.members().refute(to_refute);
    }
    node.members().merge_view(view.hosts);
}
