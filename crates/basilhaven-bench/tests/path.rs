//! The path of a call through callers, daemons and upstreams in separate processes.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use basilhaven_bench::cluster::{self, ConfigFile, Daemon, Upstream};
use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::block_on;

/// Limit on the time until a process exits or responds.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn start() -> (Upstream, Daemon) {
    let upstream = Upstream::start("catalogo", "u1", "local", &[]).await;
    let args = ["--upstream", &upstream.setting, "--entry-ttl-ms", "100"].map(str::to_owned);
    let daemon = Daemon::start("entry-1", "local", &args).await;
    (upstream, daemon)
}

/// Sends `bytes` unchanged, and reads until the peer closes the connection.
fn exchange_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("a listening daemon");
    stream.set_read_timeout(Some(EXIT_TIMEOUT)).expect("a socket option");
    stream.write_all(bytes).expect("an open connection");
    let mut response = Vec::new();
    // A reset after the response counts as a close.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

#[test]
fn calls_reach_upstreams_through_every_daemon() {
    block_on(async {
        let config = ConfigFile::without_hedging();
        let mut args = config.flag().to_vec();
        let mut upstreams = Vec::new();
        for i in 1..=3 {
            let name = format!("u{i}");
            let upstream = Upstream::start("catalogo", &name, "milano-a", &[]).await;
            args.extend(["--upstream".to_owned(), upstream.setting.clone()]);
            upstreams.push(upstream);
        }
        let daemons = Daemon::start_all(&["milano-a", "torino-b", "bergamo-c"], &args).await;
        let mut args = vec!["--calls".to_owned(), "300".to_owned()];
        for daemon in &daemons {
            args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
        }
        let summary = cluster::run_callers(&args, EXIT_TIMEOUT).await;
        assert_eq!((summary.answered, summary.wrong), (300, 0), "{:?}", summary.failed);
        assert_eq!(summary.by_entry.len(), 3);
        let mut run_count = 0;
        for upstream in &upstreams {
            run_count += upstream.records().await.len();
        }
        assert_eq!(run_count, 300);
        let placement_count = |d: &Daemon| {
            d.process.lines().iter().filter(|line| line["event"] == "placement").count()
        };
        let logged_count = || daemons.iter().map(placement_count).sum::<usize>();
        let until = Instant::now() + EXIT_TIMEOUT;
        // A daemon sends a response without waiting for its log to be written.
        while logged_count() < 300 && Instant::now() < until {
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(logged_count(), 300, "each placement decision must be logged once");
    });
}

#[test]
fn no_io_uring_descriptor_is_opened() {
    block_on(async {
        let (_upstream, daemon) = start().await;
        let entry = daemon.callers.to_string();
        let args = ["--entry", &entry, "--calls", "20"].map(str::to_owned);
        assert_eq!(cluster::run_callers(&args, EXIT_TIMEOUT).await.answered, 20);
        let dir = format!("/proc/{}/fd", daemon.process.id());
        let targets: Vec<String> = std::fs::read_dir(dir)
            .expect("a running process")
            .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
            .map(|target| target.to_string_lossy().into_owned())
            .collect();
        assert!(targets.iter().any(|t| t.contains("eventpoll")), "{targets:?}");
        assert!(!targets.iter().any(|t| t.contains("io_uring")), "{targets:?}");
    });
}

#[test]
fn invalid_requests_are_refused_and_crash_no_daemon() {
    block_on(async {
        let (_upstream, daemon) = start().await;
        let long = format!("GET / HTTP/1.1\r\nhost: catalogo\r\nx: {}\r\n\r\n", "y".repeat(70_000));
        let cases: [(&[u8], &str); 8] = [
            (b"no http\r\n\r\n", "400"),
            (b"GET / HTTP/1.1\r\n\r\n", "400"),
            (b"GET / HTTP/1.1\nhost: catalogo\n\n", "400"),
            (b"POST / HTTP/1.1\r\nhost: catalogo\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n", "400"),
            (b"POST / HTTP/1.1\r\nhost: catalogo\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\n", "400"),
            (b"POST / HTTP/1.1\r\nhost: catalogo\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n", "400"),
            (long.as_bytes(), "431"),
            (b"GET / HTTP/1.1\r\nhost: unheard-of\r\nconnection: close\r\n\r\n", "404"),
        ];
        for (bytes, status) in cases {
            let response = exchange_raw(daemon.callers, bytes);
            let shown = String::from_utf8_lossy(&bytes[..bytes.len().min(80)]);
            assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{shown:?}: {response:?}");
        }
        let entry = daemon.callers.to_string();
        let args = ["--entry", &entry, "--calls", "20"].map(str::to_owned);
        assert_eq!(cluster::run_callers(&args, EXIT_TIMEOUT).await.answered, 20);
    });
}

#[test]
fn large_bodies_are_streamed_whole() {
    block_on(async {
        let (_upstream, daemon) = start().await;
        let entry = daemon.callers.to_string();
        let args = ["--entry", &entry, "--calls", "8", "--len", "3000000"].map(str::to_owned);
        let summary = cluster::run_callers(&args, EXIT_TIMEOUT).await;
        assert_eq!((summary.answered, summary.wrong), (8, 0), "{:?}", summary.failed);
    });
}

#[test]
fn a_graceful_shutdown_interrupts_no_call() {
    block_on(async {
        let slow = ["--service-us", "800000", "--slots", "64"];
        let upstream = Upstream::start("catalogo", "u1", "local", &slow).await;
        let args = ["--upstream", &upstream.setting, "--entry-ttl-ms", "100"].map(str::to_owned);
        let mut daemon = Daemon::start("entry-1", "local", &args).await;
        let entry = daemon.callers.to_string();
        let args = ["--entry", &entry, "--calls", "32", "--workers", "32"].map(str::to_owned);
        let mut callers = cluster::start_callers(&args).await;
        while upstream.stats().await.begun < 16 {
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
        daemon.process.signal(Signal::Terminate);
        assert_eq!(daemon.process.wait(EXIT_TIMEOUT).await, Some(true));
        assert_eq!(callers.wait(EXIT_TIMEOUT).await, Some(true));
        let summary = cluster::summary(&callers);
        assert_eq!(summary.answered, 32, "{:?}", summary.failed);
    });
}
