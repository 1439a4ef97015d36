//! Life cycle of the daemon, from its settings to its shutdown.

use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use monoio::io::AsyncReadRent as _;
use monoio::net::udp::UdpSocket;
use monoio::net::{TcpListener, UnixStream};

use crate::moves::coordinator;
use crate::{
    admin, assignment, entry, failure, finding, log, member, node, peer, replica, settings, sync,
};

/// Interval at which a stopping host checks whether callers' connections have closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time allowed for every other host to learn that this one is leaving.
const LEAVE_MARGIN: Duration = Duration::from_secs(1);

/// Number of attempts at binding a port chosen by the operating system for both UDP and TCP.
const MAX_BIND_ATTEMPTS: usize = 16;

/// Runs the daemon on this thread until it is signalled to stop.
///
/// # Errors
///
/// Returns a finding for each problem that prevents the start, such as a port in use.
///
/// # Panics
///
/// Panics if the operating system provides no event queue or signal handler.
pub fn run(settings: settings::Settings) -> Result<(), finding::Findings> {
    let log = log::start(settings.log);
    // The driver is explicit, since the default one selects io_uring where the kernel supports it.
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("an event queue");
    runtime.block_on(serve(settings, log))
}

async fn serve(settings: settings::Settings, log: log::Handle) -> Result<(), finding::Findings> {
    let mut findings = finding::Findings::default();
    let local = |address: std::io::Result<SocketAddr>| address.expect("a bound socket");
    let place = |flag: &str, address: SocketAddr| format!("{flag} {address}");
    let caller_listener =
        findings.ok_or_add(place("--listen", settings.listen), entry::bind(settings.listen));
    let admin_listener =
        findings.ok_or_add(place("--admin", settings.admin), entry::bind(settings.admin));
    let peer_sockets = findings.ok_or_add(place("--peer", settings.peer), bind_peer(settings.peer));
    let (Some(caller_listener), Some(admin_listener), Some((peer_socket, peer_listener))) =
        (caller_listener, admin_listener, peer_sockets)
    else {
        return Err(findings);
    };
    let bound_peer = local(peer_socket.local_addr());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let own = member::Host {
        name: settings.name.clone(),
        incarnation: since_epoch.as_millis() as u64,
        data_centre: settings.data_centre.clone(),
        callers: local(caller_listener.local_addr()),
        admin: local(admin_listener.local_addr()),
        peer: settings.advertise_peer.unwrap_or(bound_peer),
        leaving: false,
        revisions: replica::Revisions::default(),
    };
    let stop = stop_signal();
    let node = node::Node::new(settings, own.clone());
    let peer_socket = Rc::new(peer_socket);
    monoio::spawn(assignment::run(Rc::clone(&node), Rc::clone(&peer_socket)));
    monoio::spawn(peer::receive(Rc::clone(&node), Rc::clone(&peer_socket)));
    monoio::spawn(coordinator::report(Rc::clone(&node), Rc::clone(&peer_socket)));
    monoio::spawn(coordinator::run(Rc::clone(&node)));
    monoio::spawn(sync::serve(Rc::clone(&node), peer_listener));
    monoio::spawn(peer::broadcast_urgent(Rc::clone(&node), Rc::clone(&peer_socket)));
    monoio::spawn(peer::gossip_pending(Rc::clone(&node), Rc::clone(&peer_socket)));
    monoio::spawn(failure::probe_all(Rc::clone(&node), Rc::clone(&peer_socket)));
    monoio::spawn(failure::join_and_reconnect(Rc::clone(&node), Rc::clone(&peer_socket)));
    monoio::spawn(failure::exchange_periodically(Rc::clone(&node)));
    monoio::spawn(sync::poll(Rc::clone(&node)));
    monoio::spawn(sync::bootstrap(Rc::clone(&node)));
    monoio::spawn(sync::announce_applied(Rc::clone(&node)));
    monoio::spawn(admin::accept(Rc::clone(&node), admin_listener, log));
    tracing::info!(
        event = "ready",
        host = %own.name,
        callers = %own.callers,
        admin = %own.admin,
        peer = %own.peer,
        %bound_peer,
    );
    {
        let accepting = std::pin::pin!(entry::accept(Rc::clone(&node), &caller_listener));
        let stopping = std::pin::pin!(shut_down(&node, stop));
        futures_util::future::select(accepting, stopping).await;
    }
    while entry::accept_backlog(&node, &caller_listener).await {
        drain(&node).await;
    }
    tracing::info!(event = "stopped", host = %own.name, connections = node.open_connections().get());
    Ok(())
}

/// Binds an address for both UDP and TCP. A port chosen by the operating system may be free for
/// only one of them; another one is tried then.
pub(crate) fn bind_peer(address: SocketAddr) -> std::io::Result<(UdpSocket, TcpListener)> {
    let mut attempts_left = if address.port() == 0 { MAX_BIND_ATTEMPTS } else { 1 };
    loop {
        attempts_left -= 1;
        let bound = entry::bind(address).and_then(|listener| {
            let socket = UdpSocket::bind(listener.local_addr()?)?;
            Ok((socket, listener))
        });
        if bound.is_ok() || attempts_left == 0 {
            return bound;
        }
    }
}

/// Returns a stream that receives a byte for each SIGTERM or SIGINT.
fn stop_signal() -> UnixStream {
    let (reader, writer) = StdUnixStream::pair().expect("a socket pair");
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let writer = writer.try_clone().expect("a descriptor");
        signal_hook::low_level::pipe::register(signal, writer).expect("a signal handler");
    }
    reader.set_nonblocking(true).expect("a socket option");
    UnixStream::from_std(reader).expect("a registered descriptor")
}

/// Waits for the signal to stop, then shuts down gracefully: leaves the directory, continues
/// serving until no caller holds a response of the directory with this host, and closes connections
/// as they become idle. A second signal ends the graceful shutdown.
async fn shut_down(node: &node::Node, mut stop: UnixStream) {
    let _ = stop.read(vec![0; 1]).await;
    node.members().leave();
    tracing::info!(event = "leaving", host = %node.settings().name);
    let graceful = async {
        monoio::time::sleep(node.settings().entry_ttl + LEAVE_MARGIN).await;
        tracing::info!(event = "closing", connections = node.open_connections().get());
        node.close_connections();
        drain(node).await;
    };
    let again = std::pin::pin!(stop.read(vec![0; 1]));
    futures_util::future::select(std::pin::pin!(graceful), again).await;
}

/// Waits until callers' connections have closed, at most for the configured drain time.
async fn drain(node: &node::Node) {
    let deadline = Instant::now() + node.settings().drain;
    while node.open_connections().get() > 0 && Instant::now() < deadline {
        monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
