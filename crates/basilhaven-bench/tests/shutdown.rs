//! Graceful shutdown: calls that have begun or arrived get their responses, and idle connections
//! are closed.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use basilhaven::config;
use basilhaven_bench::cluster::{ConfigFile, Daemon, Upstream};
use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::block_on;

/// Limit on each wait of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Limit on the time until the process exits; shorter than the 10 s after which a request with an
/// unfinished body times out.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Length in bytes of the body that is being sent while the host stops.
const BODY_LEN: usize = 200_000;

const GET: &str = "GET / HTTP/1.1\r\nhost: catalogo\r\n\r\n";

fn connect(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a listening daemon");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a socket option");
    stream.write_all(request.as_bytes()).expect("an open connection");
    stream
}

/// Reads until the peer closes the connection.
fn read_to_close(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    stream.read_to_end(&mut text).expect("a clean close");
    String::from_utf8_lossy(&text).into_owned()
}

/// Reads the head of a response and a body of 64 bytes.
fn read_response(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a response");
        text.push(byte[0]);
    }
    stream.read_exact(&mut [0; 64]).expect("a body");
    String::from_utf8_lossy(&text).into_owned()
}

async fn wait_for_event(daemon: &Daemon, event: &str) {
    let until = Instant::now() + STEP_TIMEOUT;
    while !daemon.process.lines().iter().any(|line| line["event"] == event) {
        assert!(Instant::now() < until, "the daemon did not log event {event}");
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Starts a host whose queue keeps calls of the free class for long, because the tests queue calls.
async fn start(upstream: &[&str], drain_ms: &str) -> (Upstream, Daemon) {
    let upstream = Upstream::start("catalogo", "u1", "local", upstream).await;
    let mut document = config::Document::default();
    document.profiles[config::DEFAULT_PROFILE].free_wait = STEP_TIMEOUT / 2;
    let file = ConfigFile::new(&document);
    let args = ["--upstream", &upstream.setting, "--entry-ttl-ms", "100", "--drain-ms", drain_ms];
    let mut args = args.map(str::to_owned).to_vec();
    args.extend(file.flag());
    let daemon = Daemon::start("entry-1", "local", &args).await;
    (upstream, daemon)
}

#[test]
fn every_call_that_has_begun_gets_its_response() {
    block_on(async {
        let slow = ["--slots", "2", "--service-us", "300000"];
        let (_upstream, mut daemon) = start(&slow, "30000").await;
        let mut idle = connect(daemon.callers, GET);
        assert!(read_response(&mut idle).starts_with("HTTP/1.1 200"));
        let waiting: Vec<TcpStream> = (0..5).map(|_| connect(daemon.callers, GET)).collect();
        let until = Instant::now() + STEP_TIMEOUT;
        while daemon.status().await.services[0].queued == 0 {
            assert!(Instant::now() < until, "no call is queued");
            monoio::time::sleep(Duration::from_millis(2)).await;
        }
        let head =
            format!("POST / HTTP/1.1\r\nhost: catalogo\r\ncontent-length: {BODY_LEN}\r\n\r\n");
        let mut upload = connect(daemon.callers, &head);
        upload.write_all(&vec![b'x'; BODY_LEN / 2]).expect("an open connection");
        let mut reused = connect(daemon.callers, GET);
        assert!(read_response(&mut reused).starts_with("HTTP/1.1 200"));
        daemon.process.signal(Signal::Terminate);
        wait_for_event(&daemon, "leaving").await;
        reused.write_all(GET.as_bytes()).expect("an open connection");
        let response = read_to_close(reused);
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert!(response.contains("connection: close"), "{response:?}");
        wait_for_event(&daemon, "closing").await;
        upload.write_all(&vec![b'x'; BODY_LEN - BODY_LEN / 2]).expect("an open connection");
        assert!(read_to_close(upload).starts_with("HTTP/1.1 200"));
        for stream in waiting {
            let response = read_to_close(stream);
            assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        }
        assert_eq!(read_to_close(idle), "", "an idle connection must be closed without a response");
        assert_eq!(daemon.process.wait(STEP_TIMEOUT).await, Some(true));
    });
}

#[test]
fn a_caller_that_connects_just_before_the_listener_closes_gets_its_response() {
    block_on(async {
        let (_upstream, mut daemon) = start(&[], "30000").await;
        let unfinished = connect(daemon.callers, "GET / HTTP/1.1\r\n");
        daemon.process.signal(Signal::Terminate);
        wait_for_event(&daemon, "closing").await;
        daemon.process.signal(Signal::Stop);
        let mut late = connect(daemon.callers, "");
        daemon.process.signal(Signal::Continue);
        monoio::time::sleep(Duration::from_millis(50)).await;
        late.write_all(GET.as_bytes()).expect("an open connection");
        assert!(read_to_close(late).starts_with("HTTP/1.1 200"));
        drop(unfinished);
        assert_eq!(daemon.process.wait(STEP_TIMEOUT).await, Some(true));
    });
}

#[test]
fn the_drain_timeout_and_a_second_signal_end_the_shutdown() {
    block_on(async {
        let unfinished =
            format!("POST / HTTP/1.1\r\nhost: catalogo\r\ncontent-length: {BODY_LEN}\r\n\r\n");
        let (_upstream, mut daemon) = start(&[], "300").await;
        let _upload = connect(daemon.callers, &unfinished);
        daemon.process.signal(Signal::Terminate);
        assert_eq!(daemon.process.wait(EXIT_TIMEOUT).await, Some(true));

        let (_upstream, mut daemon) = start(&[], "600000").await;
        let _upload = connect(daemon.callers, &unfinished);
        daemon.process.signal(Signal::Terminate);
        wait_for_event(&daemon, "leaving").await;
        daemon.process.signal(Signal::Terminate);
        assert_eq!(daemon.process.wait(EXIT_TIMEOUT).await, Some(true));
    });
}
