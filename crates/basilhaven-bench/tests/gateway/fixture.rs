//! The test fixture: a store, upstreams, one host, and helpers.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::{datagram, Members, Record, State};
pub use basilhaven_bench::gateway::{
    config, config_with, free_peer_port, receive, send, wait_until, Host, SERVICE,
};
use basilhaven_bench::standin::users::store::Store;
use basilhaven_bench::standin::users::upstream::{Behaviour, Upstream};

/// An upstream that responds at once.
pub const PROMPT: Behaviour = Behaviour::Serves(Duration::ZERO);

/// Settings by which a host makes no second attempt of its own.
pub const NO_RETRIES: [(&str, &str); 2] =
    [("BASILHAVEN_RETRY_RATIO", "0"), ("BASILHAVEN_RETRY_SLACK", "0")];

/// A store with a configuration, upstreams that are listed in it, and one host that is ready.
pub struct Fixture {
    pub store: Store,
    pub upstreams: Vec<Upstream>,
    pub host: Host,
}

impl Fixture {
    /// Starts the fixture with one upstream for each behaviour.
    pub async fn start(behaviours: &[Behaviour]) -> Fixture {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let upstreams: Vec<Upstream> = behaviours
            .iter()
            .enumerate()
            .map(|(number, behaviour)| Upstream::start(&format!("i-{number}"), *behaviour))
            .collect();
        for upstream in &upstreams {
            store.put("servers", &upstream.id, &upstream.entry(SERVICE, "v1", "ready"));
        }
        let host = Host::start(&store, Ipv4Addr::LOCALHOST, 0, "").await;
        wait_until("the host is ready", || host.is_ready()).await;
        Fixture { store, upstreams, host }
    }

    /// Returns how often a call has run, over all upstreams.
    pub fn runs_of(&self, id: &str) -> usize {
        self.upstreams.iter().flat_map(Upstream::executed_ids).filter(|ran| ran == id).count()
    }
}

/// The addresses of a test's hosts: a loopback network of its own, and one peer port for all.
pub struct Network {
    pub ips: Vec<Ipv4Addr>,
    pub port: u16,
    /// The first hosts; the port in these addresses is ignored.
    pub seeds: String,
}

impl Network {
    pub fn new(number: u8, hosts: u8) -> Network {
        let ips: Vec<Ipv4Addr> = (1..=hosts).map(|n| Ipv4Addr::new(127, 0, number, n)).collect();
        let seeds: Vec<String> = ips.iter().take(2).map(|ip| format!("{ip}:1")).collect();
        Network { port: free_peer_port(&ips), seeds: seeds.join(","), ips }
    }

    pub async fn start(&self, store: &Store, host: usize) -> Host {
        Host::start(store, self.ips[host], self.port, &self.seeds).await
    }

    /// Starts all hosts, one directly after the other, and waits until all are ready.
    pub async fn start_all(&self, store: &Store, more: &[(&str, &str)]) -> Vec<Host> {
        let mut hosts = Vec::new();
        for ip in &self.ips {
            let host = Host::start_with(store.address(), *ip, self.port, &self.seeds, more);
            hosts.push(host.await);
        }
        wait_until("all are ready", || hosts.iter().all(Host::is_ready)).await;
        hosts
    }

    /// Starts all hosts as [`start_all`](Network::start_all) does, and waits until they know each
    /// other.
    pub async fn start_cluster(&self, store: &Store) -> Vec<Host> {
        let hosts = self.start_all(store, &[]).await;
        wait_until("the hosts know each other", || know_each_other(&hosts)).await;
        hosts
    }
}

/// Returns whether each of these hosts considers all of them live, and no others.
pub fn know_each_other(hosts: &[Host]) -> bool {
    hosts.iter().all(|host| host.live_hosts() == Some(hosts.len()))
}

/// Sends the heartbeats of a host that is ready to another host, until the process ends.
pub fn send_heartbeats(own: SocketAddr, other: SocketAddr) {
    std::thread::spawn(move || {
        let socket = UdpSocket::bind(own).expect("a free port");
        let record = Record { peer: own, callers: own, data_centre: "a".into() };
        let members = Members::new(&record, 1, Instant::now());
        members.set_state(State::Ready);
        loop {
            let (heartbeats, _) = members.next_heartbeat(Instant::now());
            let frame = datagram::Frame::Heartbeats(heartbeats, Vec::new());
            let bytes = datagram::encode(&frame).expect("plain data");
            // The other host listens only once it has started.
            let _ = socket.send_to(&bytes, other);
            std::thread::sleep(Duration::from_millis(50));
        }
    });
}
