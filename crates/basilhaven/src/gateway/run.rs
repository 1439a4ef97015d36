//! One gateway process, from its settings to its end.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use monoio::io::AsyncReadRent as _;
use monoio::net::udp::UdpSocket;
use monoio::net::{TcpListener, UnixStream};

use super::cluster::datagram;
use super::{
    cluster, directory, frontend, place, probe, protocol, registry, relay, retries, settings,
    steer, store, updates,
};
use crate::{daemon, finding, log};

/// Connections that may wait for being accepted.
const BACKLOG: i32 = 1024;

/// How long callers may use an answer of the directory.
const ENTRY_TTL: Duration = Duration::from_secs(3);

/// Pause between two looks for upstreams that are gone for good.
const TIDY_PAUSE: Duration = Duration::from_secs(1);

/// How often a stopping host looks whether its calls have ended.
const DRAIN_STEP: Duration = Duration::from_millis(20);

/// The part of the grace after which a stopping host closes idle connections and takes no new ones.
const SERVE_SHARE: f64 = 0.7;

/// The part of the grace after which a stopping host ends, whatever still runs.
const END_SHARE: f64 = 0.9;

/// Pause between two looks whether this host has to tell the store of itself.
const REGISTER_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two looks of a host that meets no other one.
const LONELY_PAUSE: Duration = Duration::from_secs(5);

/// Runs a gateway on this thread until it is told to stop.
///
/// # Errors
///
/// What keeps it from starting, such as a port in use, each with its place.
///
/// # Panics
///
/// The operating system refuses an event queue or a signal handler.
pub fn run<S>(settings: settings::Settings, store: S) -> Result<(), finding::Findings>
where
    S: store::Store,
{
    let log = log::start(settings.log);
    // The driver is named: the default one would choose io_uring where the kernel has it.
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("an event queue");
    runtime.block_on(serve(settings, Rc::new(store), log))
}

struct Sockets {
    callers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    metrics: TcpListener,
    peer: UdpSocket,
    relay: TcpListener,
}

fn bind(settings: &settings::Settings) -> Result<Sockets, finding::Findings> {
    let mut findings = finding::Findings::default();
    let mut listen = |flag: &str, address: SocketAddr| {
        let options = monoio::net::ListenerOpts::new().reuse_port(false).backlog(BACKLOG);
        let bound = TcpListener::bind_with_config(address, &options);
        findings.ok_or_add(format!("{flag} {address}"), bound)
    };
    let callers = listen("--listen", settings.listen);
    let ready = listen("--ready", settings.ready);
    let directory = listen("--directory", settings.directory);
    let metrics = listen("--metrics", settings.metrics);
    let bound = daemon::bind_peer(settings.peer);
    let (peer, relay) = findings.ok_or_add(format!("--peer {}", settings.peer), bound).unzip();
    let sockets = (|| {
        Some(Sockets {
            callers: callers?,
            ready: ready?,
            directory: directory?,
            metrics: metrics?,
            peer: peer?,
            relay: relay?,
        })
    })();
    sockets.ok_or(findings)
}

async fn serve<S>(
    settings: settings::Settings,
    store: Rc<S>,
    log: log::Handle,
) -> Result<(), finding::Findings>
where
    S: store::Store,
{
    let sockets = bind(&settings)?;
    let stop = signal_stream(&[signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT]);
    let reload = signal_stream(&[signal_hook::consts::SIGHUP]);
    // Ports may have been left to the operating system.
    let local = |address: io::Result<SocketAddr>| address.expect("a bound socket");
    let record = cluster::Record {
        peer: local(sockets.peer.local_addr()),
        callers: local(sockets.callers.local_addr()),
        data_centre: Rc::clone(&settings.data_centre),
    };
    tracing::info!(
        event = "started",
        host = &*settings.name,
        callers = %record.callers,
        peer = %record.peer,
        ready = %local(sockets.ready.local_addr()),
        directory = %local(sockets.directory.local_addr()),
        metrics = %local(sockets.metrics.local_addr()),
    );
    let members = Rc::new(cluster::Members::new(&record, settings.capacity, Instant::now()));
    for seed in &settings.seeds {
        members.add_contact(SocketAddr::new(seed.ip(), record.peer.port()));
    }
    let replica = Rc::new(updates::Replica::new(Rc::clone(&members), settings.first_start));
    replica.moves.set_exposure(settings.exposure_share);
    replica.registry.set_heartbeat(settings.heartbeat);
    let frontend = frontend(&settings, store.protocol(), &replica);
    let peer = Rc::new(sockets.peer);
    monoio::spawn(datagram::receive(Rc::clone(&replica), Rc::clone(&peer)));
    monoio::spawn(datagram::spread(Rc::clone(&replica), Rc::clone(&peer)));
    monoio::spawn(updates::run(Rc::clone(&store), Rc::clone(&replica)));
    monoio::spawn(relay::serve(Rc::clone(&replica), sockets.relay));
    monoio::spawn(register(Rc::clone(&store), record, Rc::clone(&replica)));
    monoio::spawn(steer::watch(Rc::clone(&store), Rc::clone(&replica), Rc::clone(&peer)));
    monoio::spawn(tidy(Rc::clone(&replica.registry), Rc::clone(&replica.members)));
    monoio::spawn(become_ready(Rc::clone(&replica), Rc::clone(&peer)));
    monoio::spawn(note_reloads(reload));
    pages(&settings, &frontend, sockets.ready, sockets.directory, sockets.metrics, log);
    monoio::spawn(frontend::accept(Rc::clone(&frontend), sockets.callers));
    shut_down(&settings, &frontend, &replica, &peer, stop).await;
    tracing::info!(
        event = "stopped",
        host = &*settings.name,
        connections = frontend.open_connections.get()
    );
    Ok(())
}

fn frontend(
    settings: &settings::Settings,
    protocol: protocol::Protocol,
    replica: &updates::Replica,
) -> Rc<frontend::Frontend> {
    let placer = place::Placer::new(
        Rc::clone(&settings.data_centre),
        Rc::clone(&replica.registry),
        Rc::clone(&replica.members),
        Rc::clone(&replica.moves),
        Rc::new(probe::Prober::new(
            protocol.clone(),
            settings.probe_rate,
            Rc::clone(&replica.members),
        )),
    );
    Rc::new(frontend::Frontend {
        config: Rc::clone(&replica.config),
        placer,
        members: Rc::clone(&replica.members),
        protocol,
        retries: retries::Allowance { ratio: settings.retry_ratio, slack: settings.retry_slack },
        open_connections: Cell::default(),
        active_calls: Cell::default(),
        close_idle: super::signal::Signal::default(),
        exit_at: Cell::default(),
    })
}

/// Serves readiness, the directory and metrics.
fn pages(
    settings: &settings::Settings,
    frontend: &Rc<frontend::Frontend>,
    ready: TcpListener,
    directory: TcpListener,
    metrics: TcpListener,
    log: log::Handle,
) {
    let ttl = settings.entry_ttl.min(ENTRY_TTL);
    let for_ready = Rc::clone(frontend);
    let answer_ready = move |parts: &http::request::Parts| {
        let is_ready = for_ready.members.state() == cluster::State::Ready;
        directory::Response::empty(match parts.uri.path() == for_ready.protocol.ready_path {
            true if is_ready => http::StatusCode::OK,
            true => http::StatusCode::SERVICE_UNAVAILABLE,
            false => http::StatusCode::NOT_FOUND,
        })
    };
    monoio::spawn(directory::serve(ready, Rc::new(answer_ready)));
    let for_directory = Rc::clone(frontend);
    let answer_question = move |parts: &http::request::Parts| {
        let Some(question) = (for_directory.protocol.parse_query)(&parts.uri) else {
            return directory::Response::empty(http::StatusCode::NOT_FOUND);
        };
        match directory::resolve(&for_directory.members, &question, Instant::now()) {
            Some(named) => directory::Response {
                status: http::StatusCode::OK,
                content_type: "application/json",
                body: (for_directory.protocol.encode_addresses)(&named, ttl),
            },
            None => directory::Response::empty(http::StatusCode::SERVICE_UNAVAILABLE),
        }
    };
    monoio::spawn(directory::serve(directory, Rc::new(answer_question)));
    let members = Rc::clone(&frontend.members);
    let answer_metrics = move |_: &http::request::Parts| {
        metrics::gauge!("basilhaven_live_hosts").set(members.live_count(Instant::now()) as f64);
        metrics::gauge!("basilhaven_homes").set(members.home_count(Instant::now()) as f64);
        directory::Response {
            status: http::StatusCode::OK,
            content_type: "text/plain",
            body: Bytes::from(format!(
                "{}basilhaven_log_lines_dropped {}\n",
                log.render_metrics(),
                log.dropped_lines()
            )),
        }
    };
    monoio::spawn(directory::serve(metrics, Rc::new(answer_metrics)));
}

/// Tells the store of this host while it is a watcher; a host that meets no other one learns there
/// of the watchers.
async fn register<S>(store: Rc<S>, record: cluster::Record, replica: Rc<updates::Replica>)
where
    S: store::Store,
{
    let mut is_told = false;
    loop {
        monoio::time::sleep(REGISTER_PAUSE).await;
        let watchers = replica.members.watchers(Instant::now());
        if watchers.is_own && !is_told {
            match store.register(&record).await {
                Ok(()) => is_told = true,
                Err(error) => tracing::warn!(event = "registration_failed", %error),
            }
        }
        if watchers.others.is_empty() && replica.config.is_complete() {
            updates::load(&*store, store::Feed::Hosts, &replica).await;
            monoio::time::sleep(LONELY_PAUSE).await;
        }
    }
}

async fn tidy(registry: Rc<registry::Registry>, members: Rc<cluster::Members>) {
    loop {
        monoio::time::sleep(TIDY_PAUSE).await;
        registry.tidy(Instant::now());
        members.set_slots(registry.slots(Instant::now()));
    }
}

/// Has callers sent to this host once it can serve.
async fn become_ready(replica: Rc<updates::Replica>, peer: Rc<UdpSocket>) {
    loop {
        let seen = replica.config.changed.count();
        if replica.config.is_complete() {
            break;
        }
        replica.config.changed.changed(seen).await;
    }
    replica.members.set_slots(replica.registry.slots(Instant::now()));
    if replica.members.state() == cluster::State::Starting {
        replica.members.set_state(cluster::State::Ready);
        match replica.members.watchers(Instant::now()).is_own {
            // Hosts that start wait for one that serves.
            true => datagram::send_to_all(&replica, &peer).await,
            false => datagram::send_beat(&replica, &peer).await,
        }
        tracing::info!(event = "ready", upstreams = replica.registry.len());
    }
}

/// A stream that gets a byte at each of the signals.
fn signal_stream(signals: &[i32]) -> UnixStream {
    let (reader, writer) = StdUnixStream::pair().expect("a socket pair");
    for &signal in signals {
        let writer = writer.try_clone().expect("a descriptor");
        signal_hook::low_level::pipe::register(signal, writer).expect("a signal handler");
    }
    reader.set_nonblocking(true).expect("a socket option");
    UnixStream::from_std(reader).expect("a registered descriptor")
}

/// Settings are read at the start only: those that may change come with the configuration.
async fn note_reloads(mut reload: UnixStream) -> io::Result<()> {
    loop {
        let (result, _) = reload.read(vec![0; 1]).await;
        result?;
        tracing::info!(event = "reload", detail = "settings take effect at the next start");
    }
}

/// Waits for the signal to stop; then leaves the directory, goes on serving while callers may still
/// come, and ends once all calls have.
async fn shut_down(
    settings: &settings::Settings,
    frontend: &frontend::Frontend,
    replica: &updates::Replica,
    peer: &UdpSocket,
    mut stop: UnixStream,
) {
    // An error has the same meaning: there is no more waiting for the signal.
    let _ = stop.read(vec![0; 1]).await;
    let told = Instant::now();
    let end = told + settings.grace.mul_f64(END_SHARE);
    frontend.exit_at.set(Some(end));
    frontend.members.set_state(cluster::State::Leaving);
    tracing::info!(
        event = "leaving",
        host = &*settings.name,
        connections = frontend.open_connections.get()
    );
    datagram::send_to_all(replica, peer).await;
    monoio::time::sleep(settings.grace.mul_f64(SERVE_SHARE)).await;
    frontend.close_idle.notify();
    while (frontend.active_calls.get() > 0 || frontend.open_connections.get() > 0)
        && Instant::now() < end
    {
        monoio::time::sleep(DRAIN_STEP).await;
    }
}
