//! Unauthenticated and hostile clients: they get no access to the peer and admin ports, see no
//! secret in any output, and use no more of a host's resources than its limits allow.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use basilhaven::{call, config, order, replica, wire};
use basilhaven_bench::cluster::{ConfigFile, Daemon, Upstream, OPERATOR_KEY, PEER_KEY};
use basilhaven_bench::standin::block_on;

/// Limit on each wait of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// Limit on the memory that a host uses for bodies, beyond what it uses when idle.
const MAX_BODY_MEMORY_BYTES: u64 = 16 * 1024 * 1024;

/// A caller's credential, and its SHA-256 in hexadecimal.
const CREDENTIAL: &str = "a caller's secret for tests only";
const CREDENTIAL_SHA256: &str = "3d61557e531bf282153b57e12979e8fbf890f42eb4cc56af53b5b15da35ffab5";

async fn start(args: &[&str]) -> (Upstream, Daemon) {
    let upstream = Upstream::start("catalogo", "u1", "local", &[]).await;
    let mut daemon_args = vec!["--upstream".to_owned(), upstream.setting.clone()];
    daemon_args.extend(args.iter().map(|arg| (*arg).to_owned()));
    let daemon = Daemon::start("entry-1", "local", &daemon_args).await;
    (upstream, daemon)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a listening daemon");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a socket option");
    stream
}

/// Reads until the peer closes the connection.
///
/// # Panics
///
/// Panics if the peer does not close it within [`STEP_TIMEOUT`].
fn read_to_close(mut stream: TcpStream) -> Vec<u8> {
    let mut response = Vec::new();
    if let Err(error) = stream.read_to_end(&mut response) {
        // A reset after the response counts as a close.
        assert_eq!(
            error.kind(),
            std::io::ErrorKind::ConnectionReset,
            "the connection was not closed in time"
        );
    }
    response
}

/// Sends `bytes` unchanged, and reads until the peer closes the connection.
fn exchange_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    // The peer may respond and close before everything is sent.
    let _ = stream.write_all(bytes);
    String::from_utf8_lossy(&read_to_close(stream)).into_owned()
}

/// Returns the value of a series, given by its name and labels; 0 if it is absent.
async fn metric(daemon: &Daemon, series: &str) -> f64 {
    let body = daemon.call_admin(http::Method::GET, "/metrics", Vec::new()).await.body;
    let text = String::from_utf8_lossy(&body).into_owned();
    let value = text.lines().find_map(|line| line.strip_prefix(series)?.trim().parse().ok());
    value.unwrap_or_default()
}

#[test]
fn operator_endpoints_require_the_exact_key() {
    block_on(async {
        let (_upstream, daemon) = start(&[]).await;
        let endpoints = [
            "GET /v1/status",
            "GET /v1/config",
            "GET /v1/confirmed",
            "GET /v1/moves",
            "GET /v1/out",
            "GET /v1/why?service=catalogo",
            "POST /v1/orders",
            "POST /v1/moves/catalogo",
            "POST /v1/moves/catalogo/back",
            "DELETE /v1/anything",
        ];
        let headers = [
            String::new(),
            "authorization: Bearer \r\n".to_owned(),
            "authorization: Bearer another key of some length\r\n".to_owned(),
            format!("authorization: Bearer {}\r\n", &OPERATOR_KEY[1..]),
            format!("authorization: Bearer {OPERATOR_KEY}s\r\n"),
            format!("authorization: Bearer {PEER_KEY}\r\n"),
            format!("authorization: Basic {OPERATOR_KEY}\r\n"),
        ];
        for endpoint in endpoints {
            for header in &headers {
                let body = r#"{"out": {"host": "entry-1"}}"#;
                let length = body.len();
                let request = format!(
                    "{endpoint} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{header}\
                     content-length: {length}\r\n\r\n{body}"
                );
                let response = exchange_raw(daemon.admin, request.as_bytes());
                assert!(
                    response.starts_with("HTTP/1.1 401"),
                    "{endpoint} {header:?}: {response:?}"
                );
            }
        }
        assert_eq!(daemon.status().await.revisions, replica::Revisions::default());
    });
}

#[test]
fn an_unauthenticated_request_is_refused_before_its_body_arrives() {
    block_on(async {
        let (_upstream, daemon) = start(&[]).await;
        let request = b"POST /v1/orders HTTP/1.1\r\nhost: a\r\ncontent-length: 4000000\r\n\r\n";
        let response = exchange_raw(daemon.admin, request);
        assert!(response.starts_with("HTTP/1.1 401"), "{response:?}");
    });
}

#[test]
fn unauthenticated_connections_are_limited_on_the_admin_port() {
    block_on(async {
        let (_upstream, daemon) = start(&[]).await;
        let mut connections: Vec<TcpStream> = (0..300).map(|_| connect(daemon.admin)).collect();
        // The last connection is closed at once, while the first may still send its request.
        let last = connections.pop().expect("some connections");
        read_to_close(last);
        connections[0].set_nonblocking(true).expect("a socket option");
        let first = connections[0].peek(&mut [0]);
        let is_open = first.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(is_open, "the first connection is closed");
        drop(connections);
        let until = Instant::now() + STEP_TIMEOUT;
        loop {
            let response = exchange_raw(
                daemon.admin,
                b"GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            );
            if response.starts_with("HTTP/1.1 200") {
                break;
            }
            assert!(
                Instant::now() < until,
                "the admin port still refuses connections after the others were closed"
            );
        }
    });
}

#[test]
fn peers_without_the_key_get_no_response() {
    fn message(key: &str) -> Vec<u8> {
        let message = wire::Message::GetRow(replica::Row::Config);
        let bytes = message.encode(&call::Key::from(key)).expect("a short message");
        [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat()
    }
    fn request(daemon: &Daemon, bytes: &[u8]) -> Vec<u8> {
        let mut stream = connect(daemon.peer);
        stream.write_all(bytes).expect("an open connection");
        read_to_close(stream)
    }
    block_on(async {
        let (_upstream, daemon) = start(&[]).await;
        assert!(!request(&daemon, &message(PEER_KEY)).is_empty(), "a peer with the key got no row");
        let mut altered = message(PEER_KEY);
        *altered.last_mut().expect("an authentication code") ^= 1;
        let hostile: [&[u8]; 5] = [
            &message("another key of some length"),
            &altered,
            &[0xff; 64],
            b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
            // Nothing follows the length prefix: the connection is closed after a timeout.
            &[0, 0, 1, 0],
        ];
        for bytes in hostile {
            let response = request(&daemon, bytes);
            assert!(response.is_empty(), "{bytes:?}: {response:?}");
        }
    });
}

#[test]
fn frames_without_the_key_are_counted_and_dropped() {
    block_on(async {
        let (_upstream, daemon) = start(&[]).await;
        let service = "catalogo".parse().expect("a name");
        let frame = wire::Frame::Warmup { service, upstreams: Vec::new() };
        let wrong_key = call::Key::from("another key of some length");
        let sealed = frame.encode(&wrong_key).expect("a short frame");
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let until = Instant::now() + STEP_TIMEOUT;
        let hostile: [(&[u8], &str); 3] =
            [(&sealed, "code"), (&[0xff; 200], "version"), (b"", "length")];
        for (bytes, reason) in hostile {
            let series = format!("basilhaven_frames_dropped_total{{reason=\"{reason}\"}}");
            while metric(&daemon, &series).await < 1.0 {
                assert!(
                    Instant::now() < until,
                    "no dropped frame is counted for reason {reason:?}"
                );
                socket.send_to(bytes, daemon.peer).expect("a datagram");
            }
        }
    });
}

#[test]
fn no_log_endpoint_or_command_line_shows_a_secret() {
    block_on(async {
        let document = serde_json::json!({
            "callers": {"shop": {"class": "paying", "credential_sha256": CREDENTIAL_SHA256}}
        });
        let document = config::Document::try_from(&*document.to_string());
        let config = ConfigFile::new(&document.expect("a valid configuration"));
        let [flag, file] = config.flag();
        let (_upstream, daemon) = start(&["--log", "debug", &flag, &file]).await;
        let key = "idempotency-key-for-tests";
        for _ in 0..2 {
            let request = format!(
                "POST /reserve HTTP/1.1\r\nhost: catalogo\r\nauthorization: Bearer {CREDENTIAL}\r\n\
                 idempotency-key: {key}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            );
            exchange_raw(daemon.callers, request.as_bytes());
        }
        let order = order::Order::Out(order::Target::Host("entry-9".parse().expect("a name")));
        assert!(daemon.force(&order).await.status.is_success());
        // The response to an operator's malformed order names the error, and nothing else.
        daemon.call_admin(http::Method::POST, "/v1/orders", b"{".to_vec()).await;
        let until = Instant::now() + STEP_TIMEOUT;
        while daemon.process.event_count("order") == 0
            || daemon.process.event_count("placement") == 0
        {
            assert!(
                Instant::now() < until,
                "the daemon did not log its events \"order\" and \"placement\""
            );
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        let mut outputs: Vec<String> =
            daemon.process.lines().iter().map(ToString::to_string).collect();
        let command = std::fs::read(format!("/proc/{}/cmdline", daemon.process.id()));
        outputs.push(String::from_utf8_lossy(&command.expect("a running process")).into_owned());
        for path in
            ["/metrics", "/v1/status", "/v1/config", "/v1/hosts", "/v1/why?service=catalogo"]
        {
            let body = daemon.call_admin(http::Method::GET, path, Vec::new()).await.body;
            outputs.push(String::from_utf8_lossy(&body).into_owned());
        }
        for secret in [PEER_KEY, OPERATOR_KEY, CREDENTIAL, key] {
            let found = outputs.iter().find(|text| text.contains(secret));
            assert!(found.is_none(), "{secret:?} appears in {found:?}");
        }
    });
}

#[test]
fn a_request_smuggled_behind_a_malformed_one_never_reaches_an_upstream() {
    block_on(async {
        let (upstream, daemon) = start(&[]).await;
        let smuggled = "GET /hidden HTTP/1.1\r\nhost: catalogo\r\n\r\n";
        let length = smuggled.len();
        let head = "POST /open HTTP/1.1\r\nhost: catalogo\r\n";
        let malformed = [
            format!(
                "{head}content-length: {length}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
            ),
            format!("{head}transfer-encoding: chunked\r\ncontent-length: 0\r\n\r\n0\r\n\r\n"),
            format!("{head}content-length: 0\r\ncontent-length: {length}\r\n\r\n"),
            format!("{head}content-length: 0, {length}\r\n\r\n"),
            format!("{head}content-length: +0\r\n\r\n"),
            format!("{head}content-length : {length}\r\n\r\n"),
            format!("{head}transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n"),
            format!("{head}transfer-encoding: identity\r\n\r\n"),
            format!("{head}transfer-encoding:\u{b}chunked\r\n\r\n0\r\n\r\n"),
            format!("{head}x: 1\r\n transfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
            format!("{head}transfer-encoding: chunked\r\n\r\n0 \r\n\r\n"),
            format!("{head}transfer-encoding: chunked\r\n\r\n0\n\n"),
            format!("{head}transfer-encoding: chunked\r\n\r\n0x0\r\n\r\n"),
            format!("{head}transfer-encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n"),
            "POST /open HTTP/1.0\r\nhost: catalogo\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
                .to_owned(),
            "POST /open HTTP/1.1\nhost: catalogo\n\n".to_owned(),
        ];
        for request in malformed {
            let response = exchange_raw(daemon.callers, format!("{request}{smuggled}").as_bytes());
            assert!(response.starts_with("HTTP/1.1 400"), "{request:?}: {response:?}");
            assert_eq!(response.matches("HTTP/1.1").count(), 1, "{request:?}: {response:?}");
        }
        assert!(upstream.records().await.is_empty(), "{:?}", upstream.records().await);
        // A request behind a valid one is served.
        let valid = format!("{head}content-length: 3\r\n\r\nabc{smuggled}");
        let valid =
            valid.replace("/hidden HTTP/1.1\r\n", "/hidden HTTP/1.1\r\nconnection: close\r\n");
        assert_eq!(
            exchange_raw(daemon.callers, valid.as_bytes()).matches("HTTP/1.1 200").count(),
            2
        );
    });
}

#[test]
fn a_caller_that_never_finishes_its_head_is_disconnected() {
    block_on(async {
        let (_upstream, daemon) = start(&[]).await;
        let mut stream = connect(daemon.callers);
        stream.write_all(b"GET / HTTP/1.1\r\nhost: catalogo\r\nx: ").expect("an open connection");
        let until = Instant::now() + STEP_TIMEOUT;
        // One byte at a time, fewer in all than the length limit of a head.
        while stream.write_all(b"y").is_ok() {
            assert!(
                Instant::now() < until,
                "the connection with the unfinished head is still open"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    });
}

#[test]
fn a_caller_that_never_finishes_its_body_is_refused_at_its_deadline() {
    block_on(async {
        let (upstream, daemon) = start(&[]).await;
        let request = b"POST / HTTP/1.1\r\nhost: catalogo\r\nbasilhaven-timeout-ms: 300\r\n\
                        content-length: 1000\r\n\r\nsome";
        let response = exchange_raw(daemon.callers, request);
        assert!(response.starts_with("HTTP/1.1 504"), "{response:?}");
        assert!(response.contains("basilhaven-outcome: not-run"), "{response:?}");
        assert!(upstream.records().await.is_empty());
    });
}

#[test]
fn a_connection_above_the_limit_is_refused_as_not_run() {
    block_on(async {
        let (_upstream, daemon) = start(&["--max-connections", "4"]).await;
        let request = b"GET / HTTP/1.1\r\nhost: catalogo\r\n\r\n";
        let mut connections = Vec::new();
        for _ in 0..4 {
            let mut stream = connect(daemon.callers);
            stream.write_all(request).expect("an open connection");
            let mut start = [0; 12];
            stream.read_exact(&mut start).expect("a response");
            assert_eq!(&start, b"HTTP/1.1 200");
            connections.push(stream);
        }
        // The caller sends nothing before the refusal: unread data would turn the close into a
        // reset, which may discard the refusal before it is read.
        let response = read_to_close(connect(daemon.callers));
        let response = String::from_utf8_lossy(&response);
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
        assert!(response.contains("basilhaven-reason: too-many-connections"), "{response:?}");
        assert!(response.contains("basilhaven-outcome: not-run"), "{response:?}");
        drop(connections);
        let until = Instant::now() + STEP_TIMEOUT;
        while !exchange_raw(
            daemon.callers,
            b"GET / HTTP/1.1\r\nhost: catalogo\r\nconnection: close\r\n\r\n",
        )
        .starts_with("HTTP/1.1 200")
        {
            assert!(
                Instant::now() < until,
                "callers are still refused after the others disconnected"
            );
        }
    });
}

#[test]
fn idempotency_keys_have_a_bounded_length() {
    block_on(async {
        let (upstream, daemon) = start(&[]).await;
        let send = |headers: &str| {
            let request = format!(
                "POST /reserve HTTP/1.1\r\nhost: catalogo\r\nconnection: close\r\n{headers}\
                 content-length: 0\r\n\r\n"
            );
            exchange_raw(daemon.callers, request.as_bytes())
        };
        let longest = format!("idempotency-key: {}\r\n", "k".repeat(255));
        assert!(send(&longest).starts_with("HTTP/1.1 200"));
        for headers in [
            format!("idempotency-key: {}\r\n", "k".repeat(256)),
            "idempotency-key: \r\n".to_owned(),
            "idempotency-key: two words\r\n".to_owned(),
            "idempotency-key: a\r\nidempotency-key: a\r\n".to_owned(),
        ] {
            let response = send(&headers);
            assert!(response.starts_with("HTTP/1.1 400"), "{headers:?}: {response:?}");
        }
        assert_eq!(upstream.records().await.len(), 1);
    });
}

#[test]
fn bodies_that_the_upstream_does_not_read_are_not_buffered_in_memory() {
    const CALLERS: usize = 16;
    const BODY_LEN: usize = 8 * 1024 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    std::thread::spawn(move || {
        // Accepts connections, and never reads from them.
        let connections: Vec<_> = listener.incoming().collect();
        drop(connections);
    });
    block_on(async {
        let setting = format!("catalogo/u1@{address},slots=64,dc=local");
        let args = ["--upstream", &setting].map(str::to_owned);
        let daemon = Daemon::start("entry-1", "local", &args).await;
        let callers = daemon.callers;
        let initial_peak = daemon.process.peak_bytes();
        let uploads: Vec<_> = (0..CALLERS)
            .map(|_| {
                std::thread::spawn(move || {
                    let head = format!(
                        "POST / HTTP/1.1\r\nhost: catalogo\r\nbasilhaven-timeout-ms: 2000\r\n\
                         content-length: {BODY_LEN}\r\n\r\n"
                    );
                    let body = vec![b'x'; BODY_LEN];
                    exchange_raw(callers, &[head.as_bytes(), &body].concat());
                })
            })
            .collect();
        for upload in uploads {
            upload.join().expect("the caller thread to finish");
        }
        let growth = daemon.process.peak_bytes() - initial_peak;
        assert!(
            growth < MAX_BODY_MEMORY_BYTES,
            "memory grew by {growth} bytes while bodies were uploaded"
        );
    });
}
