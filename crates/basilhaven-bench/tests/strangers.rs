//! What strangers and hostile callers get: nothing on the ports of peers and operators, no secret
//! anywhere, and no more of a host than its limits.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use basilhaven::{call, config, order, replica, wire};
use basilhaven_bench::cluster::{ConfigFile, Daemon, Upstream, OPERATOR_KEY, PEER_KEY};
use basilhaven_bench::standin::block_on;

/// How long anything may take.
const LIMIT: Duration = Duration::from_secs(60);

/// What memory a host may need for bodies beyond what it needs at rest, in bytes.
const BODIES_LEN: u64 = 16 * 1024 * 1024;

/// The secret of a caller, and its SHA-256.
const CREDENTIAL: &str = "a caller's secret for tests only";
const CREDENTIAL_SHA256: &str = "3d61557e531bf282153b57e12979e8fbf890f42eb4cc56af53b5b15da35ffab5";

async fn one_daemon(args: &[&str]) -> (Upstream, Daemon) {
    let upstream = Upstream::start("catalogo", "u1", "local", &[]).await;
    let mut all = vec!["--upstream".to_owned(), upstream.setting.clone()];
    all.extend(args.iter().map(|arg| (*arg).to_owned()));
    let daemon = Daemon::start("entry-1", "local", &all).await;
    (upstream, daemon)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a listening daemon");
    stream.set_read_timeout(Some(LIMIT)).expect("a socket option");
    stream
}

/// Reads until the other side closes.
///
/// # Panics
///
/// It does not close in time.
fn read_to_close(mut stream: TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    if let Err(error) = stream.read_to_end(&mut answer) {
        // A reset after the answer is as good as a close.
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset, "not closed");
    }
    answer
}

/// Sends bytes as they are, and reads until the other side closes.
fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    // The other side may answer and close before all is sent.
    let _ = stream.write_all(bytes);
    String::from_utf8_lossy(&read_to_close(stream)).into_owned()
}

/// The value of a line of the page of metrics.
async fn metric(daemon: &Daemon, line: &str) -> f64 {
    let page = daemon.call_admin(http::Method::GET, "/metrics", Vec::new()).await.body;
    let page = String::from_utf8_lossy(&page).into_owned();
    let value = page.lines().find_map(|l| l.strip_prefix(line)?.trim().parse().ok());
    value.unwrap_or_default()
}

#[test]
fn operators_pages_need_the_whole_key() {
    block_on(async {
        let (_upstream, daemon) = one_daemon(&[]).await;
        let pages = [
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
        let shown = [
            String::new(),
            "authorization: Bearer \r\n".to_owned(),
            "authorization: Bearer another key of some length\r\n".to_owned(),
            format!("authorization: Bearer {}\r\n", &OPERATOR_KEY[1..]),
            format!("authorization: Bearer {OPERATOR_KEY}s\r\n"),
            format!("authorization: Bearer {PEER_KEY}\r\n"),
            format!("authorization: Basic {OPERATOR_KEY}\r\n"),
        ];
        for page in pages {
            for field in &shown {
                let body = r#"{"out": {"host": "entry-1"}}"#;
                let length = body.len();
                let request = format!(
                    "{page} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{field}\
                     content-length: {length}\r\n\r\n{body}"
                );
                let answer = raw(daemon.admin, request.as_bytes());
                assert!(answer.starts_with("HTTP/1.1 401"), "{page} {field:?}: {answer:?}");
            }
        }
        assert_eq!(daemon.status().await.revisions, replica::Revisions::default());
    });
}

#[test]
fn a_strangers_body_is_not_waited_for() {
    block_on(async {
        let (_upstream, daemon) = one_daemon(&[]).await;
        let request = b"POST /v1/orders HTTP/1.1\r\nhost: a\r\ncontent-length: 4000000\r\n\r\n";
        let answer = raw(daemon.admin, request);
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer:?}");
    });
}

#[test]
fn connections_of_strangers_are_limited_on_the_admin_port() {
    block_on(async {
        let (_upstream, daemon) = one_daemon(&[]).await;
        let mut held: Vec<TcpStream> = (0..300).map(|_| connect(daemon.admin)).collect();
        // The last one is closed at once, while the first may still send its request.
        let last = held.pop().expect("some connections");
        read_to_close(last);
        held[0].set_nonblocking(true).expect("a socket option");
        let first = held[0].peek(&mut [0]);
        let is_open = first.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(is_open, "the first is closed");
        drop(held);
        let until = Instant::now() + LIMIT;
        loop {
            let answer =
                raw(daemon.admin, b"GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
            if answer.starts_with("HTTP/1.1 200") {
                break;
            }
            assert!(Instant::now() < until, "operators are kept out");
        }
    });
}

#[test]
fn peers_without_the_key_get_no_answer() {
    fn message(key: &str) -> Vec<u8> {
        let message = wire::Message::GetRow(replica::Row::Config);
        let bytes = message.encode(&call::Key::from(key)).expect("a short message");
        [&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat()
    }
    fn ask(daemon: &Daemon, bytes: &[u8]) -> Vec<u8> {
        let mut stream = connect(daemon.peer);
        stream.write_all(bytes).expect("an open connection");
        read_to_close(stream)
    }
    block_on(async {
        let (_upstream, daemon) = one_daemon(&[]).await;
        assert!(!ask(&daemon, &message(PEER_KEY)).is_empty(), "a peer gets the row");
        let mut altered = message(PEER_KEY);
        *altered.last_mut().expect("a code") ^= 1;
        let hostile: [&[u8]; 5] = [
            &message("another key of some length"),
            &altered,
            &[0xff; 64],
            b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
            // Nothing follows the length: the connection is closed after a while.
            &[0, 0, 1, 0],
        ];
        for bytes in hostile {
            let answer = ask(&daemon, bytes);
            assert!(answer.is_empty(), "{bytes:?}: {answer:?}");
        }
    });
}

#[test]
fn frames_without_the_key_are_counted_and_dropped() {
    block_on(async {
        let (_upstream, daemon) = one_daemon(&[]).await;
        let service = "catalogo".parse().expect("a name");
        let frame = wire::Frame::Warmup { service, upstreams: Vec::new() };
        let stranger = call::Key::from("another key of some length");
        let sealed = frame.encode(&stranger).expect("a short frame");
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let until = Instant::now() + LIMIT;
        let hostile: [(&[u8], &str); 3] =
            [(&sealed, "code"), (&[0xff; 200], "version"), (b"", "length")];
        for (bytes, reason) in hostile {
            let line = format!("basilhaven_frames_dropped_total{{reason=\"{reason}\"}}");
            while metric(&daemon, &line).await < 1.0 {
                assert!(Instant::now() < until, "no frame was dropped for its {reason}");
                socket.send_to(bytes, daemon.peer).expect("a datagram");
            }
        }
    });
}

#[test]
fn no_log_page_or_process_list_shows_a_secret() {
    block_on(async {
        let document = serde_json::json!({
            "callers": {"shop": {"class": "paying", "credential_sha256": CREDENTIAL_SHA256}}
        });
        let document = config::Document::try_from(&*document.to_string());
        let config = ConfigFile::new(&document.expect("a right configuration"));
        let [flag, file] = config.flag();
        let (_upstream, daemon) = one_daemon(&["--log", "debug", &flag, &file]).await;
        let key = "idempotency-key-for-tests";
        for _ in 0..2 {
            let request = format!(
                "POST /reserve HTTP/1.1\r\nhost: catalogo\r\nauthorization: Bearer {CREDENTIAL}\r\n\
                 idempotency-key: {key}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            );
            raw(daemon.callers, request.as_bytes());
        }
        let order = order::Order::Out(order::Target::Host("entry-9".parse().expect("a name")));
        assert!(daemon.force(&order).await.status.is_success());
        // A malformed order of an operator is answered with what is wrong, and with no more.
        daemon.call_admin(http::Method::POST, "/v1/orders", b"{".to_vec()).await;
        let until = Instant::now() + LIMIT;
        while daemon.process.event_count("order") == 0
            || daemon.process.event_count("placement") == 0
        {
            assert!(Instant::now() < until, "the log is not written");
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        let mut shown: Vec<String> =
            daemon.process.lines().iter().map(ToString::to_string).collect();
        let command = std::fs::read(format!("/proc/{}/cmdline", daemon.process.id()));
        shown.push(String::from_utf8_lossy(&command.expect("a running process")).into_owned());
        for page in
            ["/metrics", "/v1/status", "/v1/config", "/v1/hosts", "/v1/why?service=catalogo"]
        {
            let body = daemon.call_admin(http::Method::GET, page, Vec::new()).await.body;
            shown.push(String::from_utf8_lossy(&body).into_owned());
        }
        for secret in [PEER_KEY, OPERATOR_KEY, CREDENTIAL, key] {
            let found = shown.iter().find(|text| text.contains(secret));
            assert!(found.is_none(), "{secret:?} is shown in {found:?}");
        }
    });
}

#[test]
fn a_request_behind_a_hostile_one_never_reaches_an_upstream() {
    block_on(async {
        let (upstream, daemon) = one_daemon(&[]).await;
        let hidden = "GET /hidden HTTP/1.1\r\nhost: catalogo\r\n\r\n";
        let length = hidden.len();
        let head = "POST /open HTTP/1.1\r\nhost: catalogo\r\n";
        let hostile = [
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
        for start in hostile {
            let answer = raw(daemon.callers, format!("{start}{hidden}").as_bytes());
            assert!(answer.starts_with("HTTP/1.1 400"), "{start:?}: {answer:?}");
            assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{start:?}: {answer:?}");
        }
        assert!(upstream.records().await.is_empty(), "{:?}", upstream.records().await);
        // What is behind a right request is served.
        let right = format!("{head}content-length: 3\r\n\r\nabc{hidden}");
        let right =
            right.replace("/hidden HTTP/1.1\r\n", "/hidden HTTP/1.1\r\nconnection: close\r\n");
        assert_eq!(raw(daemon.callers, right.as_bytes()).matches("HTTP/1.1 200").count(), 2);
    });
}

#[test]
fn a_caller_that_never_ends_its_head_is_cut_off() {
    block_on(async {
        let (_upstream, daemon) = one_daemon(&[]).await;
        let mut stream = connect(daemon.callers);
        stream.write_all(b"GET / HTTP/1.1\r\nhost: catalogo\r\nx: ").expect("an open connection");
        let until = Instant::now() + LIMIT;
        // A byte now and then: fewer in all than a head may have.
        while stream.write_all(b"y").is_ok() {
            assert!(Instant::now() < until, "the head may go on for ever");
            std::thread::sleep(Duration::from_millis(50));
        }
    });
}

#[test]
fn a_caller_that_never_ends_its_body_is_refused_at_its_deadline() {
    block_on(async {
        let (upstream, daemon) = one_daemon(&[]).await;
        let request = b"POST / HTTP/1.1\r\nhost: catalogo\r\nbasilhaven-timeout-ms: 300\r\n\
                        content-length: 1000\r\n\r\nsome";
        let answer = raw(daemon.callers, request);
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer:?}");
        assert!(answer.contains("basilhaven-outcome: not-run"), "{answer:?}");
        assert!(upstream.records().await.is_empty());
    });
}

#[test]
fn a_connection_too_many_is_refused_as_not_run() {
    block_on(async {
        let (_upstream, daemon) = one_daemon(&["--max-connections", "4"]).await;
        let request = b"GET / HTTP/1.1\r\nhost: catalogo\r\n\r\n";
        let mut held = Vec::new();
        for _ in 0..4 {
            let mut stream = connect(daemon.callers);
            stream.write_all(request).expect("an open connection");
            let mut start = [0; 12];
            stream.read_exact(&mut start).expect("an answer");
            assert_eq!(&start, b"HTTP/1.1 200");
            held.push(stream);
        }
        // The caller sends nothing before the refusal, so that no reset overtakes it.
        let answer = read_to_close(connect(daemon.callers));
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
        assert!(answer.contains("basilhaven-reason: too-many-connections"), "{answer:?}");
        assert!(answer.contains("basilhaven-outcome: not-run"), "{answer:?}");
        drop(held);
        let until = Instant::now() + LIMIT;
        while !raw(daemon.callers, b"GET / HTTP/1.1\r\nhost: catalogo\r\nconnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200")
        {
            assert!(Instant::now() < until, "callers are kept out");
        }
    });
}

#[test]
fn idempotency_keys_have_a_bounded_length() {
    block_on(async {
        let (upstream, daemon) = one_daemon(&[]).await;
        let send = |fields: &str| {
            let request = format!(
                "POST /reserve HTTP/1.1\r\nhost: catalogo\r\nconnection: close\r\n{fields}\
                 content-length: 0\r\n\r\n"
            );
            raw(daemon.callers, request.as_bytes())
        };
        let longest = format!("idempotency-key: {}\r\n", "k".repeat(255));
        assert!(send(&longest).starts_with("HTTP/1.1 200"));
        for fields in [
            format!("idempotency-key: {}\r\n", "k".repeat(256)),
            "idempotency-key: \r\n".to_owned(),
            "idempotency-key: two words\r\n".to_owned(),
            "idempotency-key: a\r\nidempotency-key: a\r\n".to_owned(),
        ] {
            let answer = send(&fields);
            assert!(answer.starts_with("HTTP/1.1 400"), "{fields:?}: {answer:?}");
        }
        assert_eq!(upstream.records().await.len(), 1);
    });
}

#[test]
fn bodies_that_nobody_takes_are_not_held_in_memory() {
    const CALLERS: usize = 16;
    const BODY_LEN: usize = 8 * 1024 * 1024;
    let deaf = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = deaf.local_addr().expect("a bound socket");
    std::thread::spawn(move || {
        // Connections are taken, and nothing is ever read from them.
        let held: Vec<_> = deaf.incoming().collect();
        drop(held);
    });
    block_on(async {
        let setting = format!("catalogo/u1@{address},slots=64,dc=local");
        let args = ["--upstream", &setting].map(str::to_owned);
        let daemon = Daemon::start("entry-1", "local", &args).await;
        let callers = daemon.callers;
        let before = daemon.process.peak_bytes();
        let uploads: Vec<_> = (0..CALLERS)
            .map(|_| {
                std::thread::spawn(move || {
                    let head = format!(
                        "POST / HTTP/1.1\r\nhost: catalogo\r\nbasilhaven-timeout-ms: 2000\r\n\
                         content-length: {BODY_LEN}\r\n\r\n"
                    );
                    let body = vec![b'x'; BODY_LEN];
                    raw(callers, &[head.as_bytes(), &body].concat());
                })
            })
            .collect();
        for upload in uploads {
            upload.join().expect("a caller that is answered or closed");
        }
        let grown = daemon.process.peak_bytes() - before;
        assert!(grown < BODIES_LEN, "{grown} bytes for bodies");
    });
}
