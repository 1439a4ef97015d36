//! One daemon, from its settings to its end.

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

/// How often a stopping host looks whether its callers have gone.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// How long it may take until every other host has heard that this one leaves.
const LEAVE_MARGIN: Duration = Duration::from_secs(1);

/// Ports from the operating system that are tried for peers.
const PORT_TRIES: usize = 16;

/// Runs a daemon on this thread until it is told to stop.
///
/// # Errors
///
/// What keeps it from starting, such as a port in use, each with its place.
///
/// # Panics
///
/// The operating system refuses an event queue or a signal handler.
pub fn run(settings: settings::Settings) -> Result<(), finding::Findings> {
    let log = log::start(settings.log);
    // The driver is named: the default one would choose io_uring where the kernel has it.
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("an event queue");
    runtime.block_on(serve(settings, log))
}

async fn serve(settings: settings::Settings, log: log::Handle) -> Result<(), finding::Findings> {
    let mut findings = finding::Findings::default();
    let local = |address: std::io::Result<SocketAddr>| address.expect("a bound socket");
    let in_use = |flag: &str, address: SocketAddr| format!("{flag} {address}");
    let callers =
        findings.ok_or_add(in_use("--listen", settings.listen), entry::bind(settings.listen));
    let admins = findings.ok_or_add(in_use("--admin", settings.admin), entry::bind(settings.admin));
    let peers = findings.ok_or_add(in_use("--peer", settings.peer), bind_peer(settings.peer));
    let (Some(callers), Some(admins), Some((peers, pulls))) = (callers, admins, peers) else {
        return Err(findings);
    };
    let bound_peer = local(peers.local_addr());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let own = member::Host {
        name: settings.name.clone(),
        incarnation: since_epoch.as_millis() as u64,
        data_centre: settings.data_centre.clone(),
        callers: local(callers.local_addr()),
        admin: local(admins.local_addr()),
        peer: settings.advertise_peer.unwrap_or(bound_peer),
        leaving: false,
        revisions: replica::Revisions::default(),
    };
    let stop = stop_signal();
    let node = node::Node::new(settings, own.clone());
    let peers = Rc::new(peers);
    monoio::spawn(assignment::run(Rc::clone(&node), Rc::clone(&peers)));
    monoio::spawn(peer::receive(Rc::clone(&node), Rc::clone(&peers)));
    monoio::spawn(coordinator::report(Rc::clone(&node), Rc::clone(&peers)));
    monoio::spawn(coordinator::run(Rc::clone(&node)));
    monoio::spawn(sync::serve(Rc::clone(&node), pulls));
    monoio::spawn(peer::broadcast_urgent(Rc::clone(&node), Rc::clone(&peers)));
    monoio::spawn(peer::gossip_pending(Rc::clone(&node), Rc::clone(&peers)));
    monoio::spawn(failure::probe_all(Rc::clone(&node), Rc::clone(&peers)));
    monoio::spawn(failure::join_and_reconnect(Rc::clone(&node), Rc::clone(&peers)));
    monoio::spawn(failure::exchange_periodically(Rc::clone(&node)));
    monoio::spawn(sync::poll(Rc::clone(&node)));
    monoio::spawn(sync::bootstrap(Rc::clone(&node)));
    monoio::spawn(sync::announce_applied(Rc::clone(&node)));
    monoio::spawn(admin::accept(Rc::clone(&node), admins, log));
    tracing::info!(
        event = "ready",
        host = %own.name,
        callers = %own.callers,
        admin = %own.admin,
        peer = %own.peer,
        %bound_peer,
    );
    {
        let accepting = std::pin::pin!(entry::accept(Rc::clone(&node), &callers));
        let stopping = std::pin::pin!(shut_down(&node, stop));
        futures_util::future::select(accepting, stopping).await;
    }
    while entry::accept_waiting(&node, &callers).await {
        drain(&node).await;
    }
    tracing::info!(event = "stopped", host = %own.name, connections = node.open_connections().get());
    Ok(())
}

/// Binds one address for UDP and TCP alike; a port from the operating system may be free for one of
/// them only, and another is then tried.
pub(crate) fn bind_peer(address: SocketAddr) -> std::io::Result<(UdpSocket, TcpListener)> {
    let mut tries = if address.port() == 0 { PORT_TRIES } else { 1 };
    loop {
        tries -= 1;
        let bound = entry::bind(address).and_then(|pulls| {
            let peers = UdpSocket::bind(pulls.local_addr()?)?;
            Ok((peers, pulls))
        });
        if bound.is_ok() || tries == 0 {
            return bound;
        }
    }
}

/// A stream that gets a byte when the process is told to stop.
fn stop_signal() -> UnixStream {
    let (reader, writer) = StdUnixStream::pair().expect("a socket pair");
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        let writer = writer.try_clone().expect("a descriptor");
        signal_hook::low_level::pipe::register(signal, writer).expect("a signal handler");
    }
    reader.set_nonblocking(true).expect("a socket option");
    UnixStream::from_std(reader).expect("a registered descriptor")
}

/// Waits for the signal to stop; then leaves the directory, goes on serving until no caller holds an
/// answer that names this host, and closes connections as they fall idle. A second signal ends it.
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

/// Waits until callers' connections have closed, or the time for it is over.
async fn drain(node: &node::Node) {
    let until = Instant::now() + node.settings().drain;
    while node.open_connections().get() > 0 && Instant::now() < until {
        monoio::time::sleep(DRAIN_STEP).await;
    }
}
