//! Starts real gateways against the stand-ins of the users' platform, and calls them as callers do.

use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use crate::process::{self, Process};
use crate::standin::users::store::Store;

/// How long a caller waits for a response.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of [`wait_until`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The service to which all routes lead unless a test chooses another.
pub const SERVICE: &str = "catalogo";

/// The second service in the configuration.
pub const OTHER_SERVICE: &str = "spedizioni";

/// The request target at which a directory names the hosts to callers in data centre `a`.
pub const RESOLVE_PATH: &str = "/resolve?Name=shop.example&Region=r&Zone=a";

/// A response as a caller receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The status line and header fields, in lower case.
    pub head: String,
    /// The body, as far as it was received.
    pub body: String,
    /// Whether the whole body was received.
    pub is_complete: bool,
}

/// Returns a configuration of this version, with the routes `/safe/` and `/unsafe/` to a service.
pub fn config(version: u64, service: &str) -> String {
    config_with(version, service, |_| {})
}

/// Returns a [`config`] after a change.
pub fn config_with<F>(version: u64, service: &str, change: F) -> String
where
    F: FnOnce(&mut serde_json::Value),
{
    let route = |prefix: &str, kind: &str| {
        serde_json::json!({
            "Name": format!("r-{kind}"), "Prefix": prefix, "Kind": kind, "TimeoutS": 2,
            "TargetLatencyS": 0.5, "Priority": 1, "Service": service, "MaxAttempts": 2,
        })
    };
    let service = |name: &str| {
        serde_json::json!({
            "Name": name, "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1",
            "Tls": false, "ColdStartS": 3.0, "ColdPerS": 10.0,
        })
    };
    let mut config = serde_json::json!({
        "Version": format!("{version:08x}"),
        "Services": [service(SERVICE), service(OTHER_SERVICE)],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000000, "HeaderTimeoutS": 3,
                   "IdleTimeoutS": 15},
        "VirtualHosts": [{"Host": "shop.example",
                          "Paths": [route("/safe/", "safe"), route("/unsafe/", "unsafe")]}],
    });
    change(&mut config);
    config.to_string()
}

/// Waits until a condition holds; panics with `what` after [`WAIT_TIMEOUT`].
pub async fn wait_until<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "not in time: {what}");
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A running gateway.
pub struct Host {
    /// The process.
    pub process: Process,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address of the readiness check.
    pub ready: SocketAddr,
    /// The address of the directory.
    pub directory: SocketAddr,
    /// The address of the metrics.
    pub metrics: SocketAddr,
}

impl Host {
    /// Starts a gateway on an address of the loopback range, and waits until it listens on its
    /// sockets.
    pub async fn start(store: &Store, ip: Ipv4Addr, peer_port: u16, seeds: &str) -> Host {
        Host::start_with(store.address(), ip, peer_port, seeds, &[]).await
    }

    /// Starts a gateway as [`Host::start`] does, with additional settings.
    pub async fn start_with(
        store: SocketAddr,
        ip: Ipv4Addr,
        peer_port: u16,
        seeds: &str,
        extra_settings: &[(&str, &str)],
    ) -> Host {
        let any_port = format!("{ip}:0");
        let peer = format!("{ip}:{peer_port}");
        let store = store.to_string();
        let mut settings = vec![
            ("BASILHAVEN_NAME", "host"),
            ("BASILHAVEN_DATA_CENTRE", "a"),
            ("BASILHAVEN_LISTEN", &*any_port),
            ("BASILHAVEN_READY", &*any_port),
            ("BASILHAVEN_DIRECTORY", &*any_port),
            ("BASILHAVEN_METRICS", &*any_port),
            ("BASILHAVEN_PEER", &*peer),
            ("BASILHAVEN_STORE", &*store),
            ("BASILHAVEN_SEEDS", seeds),
            ("BASILHAVEN_GRACE_S", "4"),
            ("BASILHAVEN_EXPOSURE_SHARE", "0.1"),
        ];
        settings.extend_from_slice(extra_settings);
        let program = process::program("basilhavend");
        let arguments = ["gateway".to_owned()];
        let process = Process::start_until(&program, &arguments, &settings, "started").await;
        let lines = process.lines();
        let started =
            lines.iter().find(|line| line["event"] == "started").expect("a log line `started`");
        let address = |field: &str| started[field].as_str().and_then(|a| a.parse().ok());
        let address = |field| {
            address(field).unwrap_or_else(|| {
                panic!("the field {field} of the line `started` is not an address")
            })
        };
        Host {
            callers: address("callers"),
            ready: address("ready"),
            directory: address("directory"),
            metrics: address("metrics"),
            process,
        }
    }

    /// Returns whether its readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/readyz").is_ok_and(|response| response.status == 200)
    }

    /// Returns whether it reads updates from the store, rather than from another host.
    pub fn watches_store(&self) -> bool {
        let lines = self.process.lines();
        let mut roles = lines.iter().rev().filter_map(|line| line["event"].as_str());
        roles.find(|event| ["following", "watching_store"].contains(event))
            == Some("watching_store")
    }

    /// Returns how many hosts it considers live, including itself; `None` if it does not respond.
    pub fn live_hosts(&self) -> Option<usize> {
        self.metric("basilhaven_live_hosts").map(|count| count as usize)
    }

    /// Returns the value of one of its metrics; `None` if it does not respond or has no such metric.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let page = get(self.metrics, "/metrics").ok()?.body;
        let values = page.lines().filter_map(|line| line.split_once(' '));
        values.filter(|(own, _)| *own == name).find_map(|(_, value)| value.parse().ok())
    }

    /// Returns the hosts that its directory advertises; none if it does not respond.
    pub fn resolve(&self) -> Vec<SocketAddr> {
        let Ok(response) = get(self.directory, RESOLVE_PATH) else {
            return Vec::new();
        };
        let resolved: serde_json::Value = serde_json::from_str(&response.body).unwrap_or_default();
        let addresses = resolved["Addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|address| address.as_str()?.parse().ok()).collect()
    }

    /// Makes a call. Each request id may be used only once.
    pub fn call(&self, method: &str, path: &str, id: &str) -> io::Result<Response> {
        let mut stream = self.open()?;
        send(&mut stream, method, path, id, 2000)?;
        receive(&mut stream)
    }

    /// Opens a connection for calls.
    pub fn open(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.callers)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(stream)
    }
}

/// Returns a port that is free for UDP and TCP on all of these addresses.
pub fn free_peer_port(ips: &[Ipv4Addr]) -> u16 {
    loop {
        let probe = UdpSocket::bind((ips[0], 0)).expect("a free port");
        let port = probe.local_addr().expect("a bound socket").port();
        drop(probe);
        let is_free = |ip: &Ipv4Addr| {
            UdpSocket::bind((*ip, port)).is_ok() && TcpListener::bind((*ip, port)).is_ok()
        };
        if ips.iter().all(is_free) {
            return port;
        }
    }
}

/// Sends a request as a caller does.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
) -> io::Result<()> {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Basilhaven-Request-Id: {id}\r\n\
         X-Basilhaven-Deadline-Ms: {deadline_ms}\r\n\r\n"
    );
    stream.write_all(request.as_bytes())
}

/// Reads one response with `content-length`.
pub fn receive(stream: &mut TcpStream) -> io::Result<Response> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let len = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    let is_complete = stream.read_exact(&mut body).is_ok();
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Response { status: status.unwrap_or(0), head, body, is_complete })
}

fn get(address: SocketAddr, path: &str) -> io::Result<Response> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes())?;
    receive(&mut stream)
}
