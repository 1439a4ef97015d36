//! The project's hosts, started with the command and the settings of `deploy/system.toml`.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Conn;

extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// Makes this process end when the thread that has started it ends.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    unsafe { prctl(PR_SET_PDEATHSIG, KILL, 0, 0, 0) };
    Ok(())
}

const KILL: u64 = 9;

/// Ports of a host, as offsets from the first one.
const FRONT: u16 = 0;
const READY: u16 = 1;
const DIRECTORY: u16 = 2;
const CONTROL: u16 = 3;
const INTERNAL: u16 = 4;
const METRICS: u16 = 5;

pub struct Host {
    pub name: String,
    ip: Ipv4Addr,
    process: Child,
    port: u16,
}

impl Host {
    pub fn front(&self) -> SocketAddr {
        (self.ip, self.port + FRONT).into()
    }

    /// Returns the id of its process.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    pub fn is_ready(&self) -> bool {
        get((self.ip, self.port + READY).into(), "/readyz").is_ok_and(|(status, _)| status == 200)
    }

    /// Returns how many hosts it takes for live, itself included.
    pub fn live_hosts(&self) -> String {
        let page = get((self.ip, self.port + METRICS).into(), "/metrics").unwrap_or_default().1;
        let line = page.lines().find_map(|line| line.strip_prefix("basilhaven_live_hosts "));
        line.unwrap_or("?").to_owned()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Sends one request without a body, and returns the status and body of the response.
pub fn get(address: SocketAddr, target: &str) -> io::Result<(u16, String)> {
    use std::io::Write as _;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes())?;
    let mut conn = Conn::new(stream);
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = conn.read_body(&head)?;
    Ok((head.line[1].parse().unwrap_or(0), String::from_utf8_lossy(&body).into_owned()))
}

/// Returns the first of a range of ports that is free on all of these addresses.
fn free_ports(ips: &[Ipv4Addr]) -> u16 {
    let is_free = |port: u16| {
        ips.iter().all(|ip| {
            (port..=port + METRICS)
                .all(|p| TcpListener::bind((*ip, p)).is_ok() && UdpSocket::bind((*ip, p)).is_ok())
        })
    };
    let offset = (std::process::id() % 300) as u16 * 20;
    (0..1000)
        .map(|n| 20_000 + (offset + n * 20) % 10_000)
        .find(|&p| is_free(p))
        .expect("free ports")
}

/// Starts one host in each of these zones, and waits until all are ready.
pub fn start(zones: &[&str], store: SocketAddr, folder: &str) -> Result<Vec<Host>, String> {
    let octet = (std::process::id() % 200 + 20) as u8;
    let ips: Vec<Ipv4Addr> =
        (1..=zones.len()).map(|n| Ipv4Addr::new(127, 9, octet, n as u8)).collect();
    let port = free_ports(&ips);
    let seeds: Vec<String> =
        ips.iter().take(3).map(|ip| format!("{ip}:{}", port + CONTROL)).collect();
    let mut hosts = Vec::new();
    for (number, (ip, zone)) in ips.iter().zip(zones).enumerate() {
        let name = format!("front-{zone}-{}", number + 1);
        let log = File::create(format!("{folder}/{name}.log")).map_err(|e| e.to_string())?;
        let address = |offset: u16| format!("{ip}:{}", port + offset);
        let mut command = Command::new("target/release/basilhavend");
        unsafe { command.pre_exec(end_with_parent) };
        let process = command
            .arg("gateway")
            .env("BASILHAVEN_NAME", &name)
            .env("BASILHAVEN_DATA_CENTRE", zone)
            .env("BASILHAVEN_LISTEN", address(FRONT))
            .env("BASILHAVEN_READY", address(READY))
            .env("BASILHAVEN_DIRECTORY", address(DIRECTORY))
            .env("BASILHAVEN_PEER", address(INTERNAL))
            .env("BASILHAVEN_METRICS", address(METRICS))
            .env("BASILHAVEN_CORES", "0.2")
            .env("BASILHAVEN_STORE", store.to_string())
            .env("BASILHAVEN_SEEDS", seeds.join(","))
            .env("BASILHAVEN_FIRST_START", "true")
            .env("BASILHAVEN_ENTRY_TTL_S", "5")
            .env("BASILHAVEN_GRACE_S", "6")
            .env("BASILHAVEN_RETRY_RATIO", "0.2")
            .env("BASILHAVEN_RETRY_SLACK", "56")
            .env("BASILHAVEN_PROBE_RATE", "60")
            .env("BASILHAVEN_HEARTBEAT_S", "1.5")
            .env("BASILHAVEN_EXPOSURE_SHARE", "0.1")
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|e| e.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|error| format!("target/release/basilhavend does not start: {error}"))?;
        hosts.push(Host { name, ip: *ip, process, port });
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > until {
            return Err("the hosts are not ready within 20 s".to_owned());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(hosts)
}
