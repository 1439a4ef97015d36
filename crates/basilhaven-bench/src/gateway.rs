//! Real gateways between the stand-ins of the users' platform, and what their callers see.

use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

use crate::process::{self, Process};
use crate::standin::users::store::Store;

/// How long a caller waits for anything.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// The service of all routes, unless said otherwise.
pub const SERVICE: &str = "catalogo";

/// Another service that the configuration names.
pub const OTHER_SERVICE: &str = "spedizioni";

/// What a caller gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Status line and header fields, in lower case.
    pub head: String,
    /// The body, as far as it came.
    pub body: String,
    /// Whether the body was whole.
    pub is_complete: bool,
}

/// A configuration with a route `/safe/` and a route `/unsafe/`, of one version.
pub fn config(version: u64, service: &str) -> String {
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
    let config = serde_json::json!({
        "Version": format!("{version:08x}"),
        "Services": [service(SERVICE), service(OTHER_SERVICE)],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000000, "HeaderTimeoutS": 3,
                   "IdleTimeoutS": 15},
        "VirtualHosts": [{"Host": "shop.example",
                          "Paths": [route("/safe/", "safe"), route("/unsafe/", "unsafe")]}],
    });
    config.to_string()
}

/// A running gateway.
pub struct Host {
    /// Its process.
    pub process: Process,
    /// Where it takes calls.
    pub callers: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready: SocketAddr,
    /// Where it serves the directory.
    pub directory: SocketAddr,
    /// Where it serves metrics.
    pub metrics: SocketAddr,
}

impl Host {
    /// Starts a gateway on an address of the loopback range, and waits until its sockets are open.
    pub async fn start(store: &Store, ip: Ipv4Addr, peer_port: u16, seeds: &str) -> Host {
        Host::start_with(store.address(), ip, peer_port, seeds, &[]).await
    }

    /// Starts a gateway with more settings.
    pub async fn start_with(
        store: SocketAddr,
        ip: Ipv4Addr,
        peer_port: u16,
        seeds: &str,
        more: &[(&str, &str)],
    ) -> Host {
        let any = format!("{ip}:0");
        let peer = format!("{ip}:{peer_port}");
        let store = store.to_string();
        let mut settings = vec![
            ("BASILHAVEN_NAME", "host"),
            ("BASILHAVEN_DATA_CENTRE", "a"),
            ("BASILHAVEN_LISTEN", &*any),
            ("BASILHAVEN_READY", &*any),
            ("BASILHAVEN_DIRECTORY", &*any),
            ("BASILHAVEN_METRICS", &*any),
            ("BASILHAVEN_PEER", &*peer),
            ("BASILHAVEN_STORE", &*store),
            ("BASILHAVEN_SEEDS", seeds),
            ("BASILHAVEN_GRACE_S", "4"),
        ];
        settings.extend_from_slice(more);
        let program = process::program("basilhavend");
        let arguments = ["gateway".to_owned()];
        let process = Process::start_until(&program, &arguments, &settings, "started").await;
        let lines = process.lines();
        let started = lines.iter().find(|line| line["event"] == "started").expect("a first line");
        let address = |field: &str| started[field].as_str().and_then(|a| a.parse().ok());
        let address = |field| address(field).unwrap_or_else(|| panic!("{field} is no address"));
        Host {
            callers: address("callers"),
            ready: address("ready"),
            directory: address("directory"),
            metrics: address("metrics"),
            process,
        }
    }

    /// Whether the platform would take it for ready.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/readyz").is_ok_and(|answer| answer.status == 200)
    }

    /// Whether it watches the store, rather than following another host.
    pub fn watches_store(&self) -> bool {
        let lines = self.process.lines();
        let mut roles = lines.iter().rev().filter_map(|line| line["event"].as_str());
        roles.find(|event| ["following", "watching_store"].contains(event))
            == Some("watching_store")
    }

    /// How many hosts it takes for live, itself among them; none when it does not answer.
    pub fn live_hosts(&self) -> Option<usize> {
        let page = get(self.metrics, "/metrics").ok()?.body;
        let value = page.lines().find_map(|line| line.strip_prefix("basilhaven_live_hosts "))?;
        value.parse::<f64>().ok().map(|count| count as usize)
    }

    /// The hosts that the directory names, none when it can't say.
    pub fn resolve(&self) -> Vec<SocketAddr> {
        let Ok(answer) = get(self.directory, "/resolve?Name=shop.example&Region=r&Zone=a") else {
            return Vec::new();
        };
        let named: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let named = named["Addresses"].as_array().cloned().unwrap_or_default();
        named.iter().filter_map(|address| address.as_str()?.parse().ok()).collect()
    }

    /// Makes a call; an id is to be used once.
    pub fn call(&self, method: &str, path: &str, id: &str) -> io::Result<Response> {
        let mut stream = self.open()?;
        send(&mut stream, method, path, id, 2000)?;
        receive(&mut stream)
    }

    /// Opens a connection as a caller.
    pub fn open(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.callers)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(stream)
    }
}

/// A port that is free for UDP and TCP on some addresses of the loopback range.
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

/// Sends a request of a caller.
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

/// Reads one answer with a body of known length.
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
