//! The gateway process, from its start to its shutdown.

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
    balancer, cluster, coordinator, directory, forward, frontend, memory, probe, protocol, reach,
    registry, relay, retries, settings, shaper, store, updates, usage,
};
use crate::{daemon, finding, http1, log};

/// Length of the queue of connections that are not accepted yet.
const BACKLOG: i32 = 1024;

/// Upper bound on the setting for how long callers may use a directory response.
const MAX_ENTRY_TTL: Duration = Duration::from_secs(3);

/// Interval at which upstreams whose entries were removed are dropped, and the slots of the others
/// are counted.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);

/// How often a stopping host checks whether its calls have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Share of the grace period after which a stopping host closes idle connections, new ones
/// included.
const SERVE_SHARE: f64 = 0.7;

/// Share of the grace period after which a stopping host exits, even with calls in progress.
const EXIT_SHARE: f64 = 0.9;

/// How often a host checks whether it has to register in the store, or to read there which other
/// hosts have registered.
const REGISTRATION_INTERVAL: Duration = Duration::from_secs(2);

/// How often a host that knows no other watcher reads the list of hosts in the store.
const ISOLATED_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a gateway on this thread until SIGTERM or SIGINT. `endpoint` takes the usage reports, if the
/// settings ask for them.
///
/// # Errors
///
/// Returns findings if the gateway cannot start, for example because a port is in use; each names
/// its setting.
///
/// # Panics
///
/// Panics if the operating system refuses an event queue or a signal handler.
pub fn run<S, E>(
    settings: settings::Settings,
    store: S,
    endpoint: Option<E>,
) -> Result<(), finding::Findings>
where
    S: store::Store,
    E: usage::endpoint::Endpoint,
{
    let log = log::start(settings.log);
    // The default driver would choose io_uring where the kernel supports it.
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("an event queue");
    runtime.block_on(serve(settings, Rc::new(store), endpoint, log))
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

async fn serve<S, E>(
    settings: settings::Settings,
    store: Rc<S>,
    endpoint: Option<E>,
    log: log::Handle,
) -> Result<(), finding::Findings>
where
    S: store::Store,
    E: usage::endpoint::Endpoint,
{
    let sockets = bind(&settings)?;
    if settings.limits.memory.is_some() {
        http1::conn::limit_receive_buffer(&sockets.relay, memory::RECEIVE_LEN)
            .expect("a socket option of a listening socket");
    }
    let stop = signal_stream(&[signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT]);
    let reload = signal_stream(&[signal_hook::consts::SIGHUP]);
    // With port 0 the operating system has chosen the port.
    let bound = |address: io::Result<SocketAddr>| address.expect("a bound socket");
    let record = cluster::Record {
        peer: bound(sockets.peer.local_addr()),
        callers: bound(sockets.callers.local_addr()),
        data_centre: Rc::clone(&settings.data_centre),
    };
    tracing::info!(
        event = "started",
        host = &*settings.name,
        callers = %record.callers,
        peer = %record.peer,
        ready = %bound(sockets.ready.local_addr()),
        directory = %bound(sockets.directory.local_addr()),
        metrics = %bound(sockets.metrics.local_addr()),
    );
    let members = Rc::new(cluster::Members::new(&record, settings.capacity, Instant::now()));
    for seed in &settings.seeds {
        members.add_seed(SocketAddr::new(seed.ip(), record.peer.port()));
    }
    let replica = Rc::new(updates::Replica::new(Rc::clone(&members), settings.is_first_start));
    if settings.exposure_share.is_none() {
        tracing::info!(event = "feature_off", feature = "moves", setting = "--exposure-share");
    }
    if settings.limits.memory.is_none() {
        tracing::info!(event = "feature_off", feature = "memory", setting = "--memory-mb");
    }
    if settings.limits.max_fds.is_none() {
        tracing::info!(event = "feature_off", feature = "descriptors", setting = "--max-fds");
    }
    replica.moves.set_exposure(settings.exposure_share);
    if settings.usage.is_none() {
        tracing::info!(event = "feature_off", feature = "usage", setting = "--usage-endpoint");
    }
    let usage = settings
        .usage
        .map(|chosen| Rc::new(usage::task::Usage::new(chosen, &settings.name, record.peer)));
    replica.set_orders_within(settings.orders_within);
    replica.registry.set_heartbeat_interval(settings.heartbeat);
    let protocol = store.protocol();
    let members_of_prober = Rc::clone(&replica.members);
    let prober =
        Rc::new(probe::Prober::new(protocol.clone(), settings.probe_rate, members_of_prober));
    let services = Rc::new(reach::Services::default());
    let frontend = build_frontend(&settings, protocol, &replica, &prober, (&services, &usage));
    let peer = Rc::new(sockets.peer);
    monoio::spawn(datagram::receive(Rc::clone(&replica), usage.clone(), Rc::clone(&peer)));
    monoio::spawn(datagram::gossip(Rc::clone(&replica), Rc::clone(&peer)));
    monoio::spawn(updates::run(Rc::clone(&store), Rc::clone(&replica)));
    let for_hosts = Rc::clone(&frontend);
    let serve_calls = move |stream, sender| frontend::serve_host(&for_hosts, stream, sender);
    monoio::spawn(relay::serve(Rc::clone(&replica), sockets.relay, serve_calls));
    monoio::spawn(reach::run(Rc::clone(&replica), services, prober, Rc::clone(&peer)));
    monoio::spawn(register(Rc::clone(&store), record, Rc::clone(&replica)));
    monoio::spawn(coordinator::run(Rc::clone(&store), Rc::clone(&replica), Rc::clone(&peer)));
    if let (Some(usage), Some(endpoint)) = (&usage, endpoint) {
        spawn_usage(usage, &store, endpoint, &members, &peer);
    }
    monoio::spawn(tidy(Rc::clone(&replica.registry), Rc::clone(&replica.members)));
    monoio::spawn(become_ready(Rc::clone(&replica), Rc::clone(&peer)));
    monoio::spawn(log_reloads(reload));
    serve_pages(&settings, &frontend, sockets.ready, sockets.directory, sockets.metrics, log);
    monoio::spawn(frontend::accept(Rc::clone(&frontend), sockets.callers));
    shut_down(&settings, &frontend, &replica, &peer, stop).await;
    if let Some(usage) = &usage {
        usage::task::send_counts(usage, &members, &peer).await;
    }
    tracing::info!(
        event = "stopped",
        host = &*settings.name,
        connections = frontend.open_connections.get()
    );
    Ok(())
}

/// Starts the tasks that report usage.
fn spawn_usage<S, E>(
    usage: &Rc<usage::task::Usage>,
    store: &Rc<S>,
    endpoint: E,
    members: &Rc<cluster::Members>,
    peer: &Rc<UdpSocket>,
) where
    S: store::Store,
    E: usage::endpoint::Endpoint,
{
    let (store, members) = (Rc::clone(store), Rc::clone(members));
    monoio::spawn(usage::task::exchange(Rc::clone(usage), Rc::clone(&members), Rc::clone(peer)));
    monoio::spawn(usage::task::keep_lease(Rc::clone(usage), store, members));
    monoio::spawn(usage::task::post_reports(Rc::clone(usage), endpoint));
}

fn build_frontend(
    settings: &settings::Settings,
    protocol: protocol::Protocol,
    replica: &updates::Replica,
    prober: &Rc<probe::Prober>,
    (services, usage): (&Rc<reach::Services>, &Option<Rc<usage::task::Usage>>),
) -> Rc<frontend::Frontend> {
    let balancer = balancer::Balancer::new(
        Rc::clone(&settings.data_centre),
        Rc::clone(&replica.registry),
        Rc::clone(&replica.members),
        Rc::clone(&replica.moves),
        Rc::clone(prober),
        Rc::clone(services),
    );
    let memory = Rc::new(memory::Budget::new(settings.limits));
    let members = Rc::clone(&replica.members);
    let forwarder = forward::Forwarder::new(protocol.clone(), members, Rc::clone(&memory));
    Rc::new(frontend::Frontend {
        config: Rc::clone(&replica.config),
        balancer,
        forwarder,
        usage: usage.as_ref().map_or_else(Rc::default, |usage| Rc::clone(&usage.counter)),
        members: Rc::clone(&replica.members),
        memory,
        protocol,
        inbound: shaper::Shaper::new(settings.link_mbps),
        outbound: shaper::Shaper::new(settings.link_mbps),
        retries: retries::Allowance { ratio: settings.retry_ratio, slack: settings.retry_slack },
        open_connections: Cell::default(),
        active_calls: Cell::default(),
        close_idle: super::notify::Notifier::default(),
        exit_at: Cell::default(),
    })
}

/// Starts to serve the readiness check, the directory and the metrics.
fn serve_pages(
    settings: &settings::Settings,
    frontend: &Rc<frontend::Frontend>,
    ready: TcpListener,
    directory: TcpListener,
    metrics: TcpListener,
    log: log::Handle,
) {
    let ttl = settings.entry_ttl.min(MAX_ENTRY_TTL);
    let for_ready = Rc::clone(frontend);
    let respond_ready = move |parts: &http::request::Parts| {
        let is_ready = for_ready.members.state() == cluster::State::Ready;
        directory::Response::empty(match parts.uri.path() == for_ready.protocol.ready_path {
            true if is_ready => http::StatusCode::OK,
            true => http::StatusCode::SERVICE_UNAVAILABLE,
            false => http::StatusCode::NOT_FOUND,
        })
    };
    monoio::spawn(directory::serve(ready, Rc::new(respond_ready), None));
    let for_directory = Rc::clone(frontend);
    let respond_directory = move |parts: &http::request::Parts| {
        let Some(query) = (for_directory.protocol.parse_query)(&parts.uri) else {
            return directory::Response::empty(http::StatusCode::NOT_FOUND);
        };
        match directory::resolve(&for_directory.members, &query, Instant::now()) {
            Some(addresses) => directory::Response {
                status: http::StatusCode::OK,
                content_type: "application/json",
                body: (for_directory.protocol.encode_addresses)(&addresses, ttl),
            },
            None => directory::Response::empty(http::StatusCode::SERVICE_UNAVAILABLE),
        }
    };
    let memory = Rc::clone(&frontend.memory);
    monoio::spawn(directory::serve(directory, Rc::new(respond_directory), Some(memory)));
    let members = Rc::clone(&frontend.members);
    let memory = Rc::clone(&frontend.memory);
    let respond_metrics = move |_: &http::request::Parts| {
        for purpose in memory::Purpose::ALL {
            metrics::gauge!("basilhaven_held_bytes", "purpose" => purpose.to_string())
                .set(memory.held(purpose) as f64);
        }
        metrics::gauge!("basilhaven_live_hosts").set(members.live_count(Instant::now()) as f64);
        metrics::gauge!("basilhaven_homes").set(members.advertised_count(Instant::now()) as f64);
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
    monoio::spawn(directory::serve(metrics, Rc::new(respond_metrics), None));
}

/// Registers this host in the store while it is a watcher. A host that knows no other watcher reads
/// the list of registered hosts, to discover them.
async fn register<S>(store: Rc<S>, record: cluster::Record, replica: Rc<updates::Replica>)
where
    S: store::Store,
{
    let mut registered_in = None;
    loop {
        monoio::time::sleep(REGISTRATION_INTERVAL).await;
        let watchers = replica.members.watchers(Instant::now());
        let era = replica.era();
        // The row may be lost when the store comes back from a copy.
        if watchers.is_watcher && registered_in != Some(era) {
            match store.register(&record).await {
                Ok(()) => registered_in = Some(era),
                Err(error) => tracing::warn!(event = "registration_failed", %error),
            }
        }
        if watchers.others.is_empty() && replica.config.is_complete() {
            updates::load(&*store, store::Feed::Hosts, &replica).await;
            monoio::time::sleep(ISOLATED_INTERVAL).await;
        }
    }
}

async fn tidy(registry: Rc<registry::Registry>, members: Rc<cluster::Members>) {
    loop {
        monoio::time::sleep(TIDY_INTERVAL).await;
        registry.prune(Instant::now());
        members.set_upstream_slots(registry.total_slots(Instant::now()));
    }
}

/// Makes this host ready, so that callers are directed to it, once it can serve.
async fn become_ready(replica: Rc<updates::Replica>, peer: Rc<UdpSocket>) {
    loop {
        let seen = replica.config.changed.count();
        if replica.config.is_complete() {
            break;
        }
        replica.config.changed.wait(seen).await;
    }
    replica.members.set_upstream_slots(replica.registry.total_slots(Instant::now()));
    if replica.members.state() == cluster::State::Starting {
        replica.members.set_state(cluster::State::Ready);
        match replica.members.watchers(Instant::now()).is_watcher {
            // Starting hosts wait for a ready host, so watchers announce their readiness to all.
            true => datagram::broadcast(&replica, &peer).await,
            false => datagram::send_heartbeat(&replica, &peer).await,
        }
        tracing::info!(event = "ready", upstreams = replica.registry.len());
    }
}

/// Returns a stream that receives one byte for each of the signals.
fn signal_stream(signals: &[i32]) -> UnixStream {
    let (reader, writer) = StdUnixStream::pair().expect("a socket pair");
    for &signal in signals {
        let writer = writer.try_clone().expect("a descriptor");
        signal_hook::low_level::pipe::register(signal, writer).expect("a signal handler");
    }
    reader.set_nonblocking(true).expect("a socket option");
    UnixStream::from_std(reader).expect("a registered descriptor")
}

/// Logs SIGHUP. Settings are read only at the start; what may change at run time comes with the
/// configuration.
async fn log_reloads(mut reload: UnixStream) -> io::Result<()> {
    loop {
        let (result, _) = reload.read(vec![0; 1]).await;
        result?;
        tracing::info!(event = "reload", detail = "settings take effect at the next start");
    }
}

/// Waits for the signal to stop, then takes this host out of the directory, serves callers that
/// still come, and returns once all calls and connections have ended or the grace period is nearly
/// over.
async fn shut_down(
    settings: &settings::Settings,
    frontend: &frontend::Frontend,
    replica: &updates::Replica,
    peer: &UdpSocket,
    mut stop: UnixStream,
) {
    // On an error the signal can no longer be awaited, so the host stops as well.
    let _ = stop.read(vec![0; 1]).await;
    let stopped_at = Instant::now();
    let exit_at = stopped_at + settings.grace.mul_f64(EXIT_SHARE);
    frontend.exit_at.set(Some(exit_at));
    frontend.members.set_state(cluster::State::Leaving);
    tracing::info!(
        event = "leaving",
        host = &*settings.name,
        connections = frontend.open_connections.get()
    );
    datagram::broadcast(replica, peer).await;
    monoio::time::sleep(settings.grace.mul_f64(SERVE_SHARE)).await;
    frontend.close_idle.notify();
    while (frontend.active_calls.get() > 0 || frontend.open_connections.get() > 0)
        && Instant::now() < exit_at
    {
        monoio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
