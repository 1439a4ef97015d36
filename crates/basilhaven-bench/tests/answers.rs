//! Responses are complete and belong to their call, and refusals state the outcome correctly,
//! whatever upstreams and callers send.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use basilhaven_bench::cluster::Daemon;
use basilhaven_bench::standin::block_on;

/// Limit on each wait of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one connection to an upstream.
type Handler = fn(TcpStream);

/// Starts an upstream that handles each connection with the next handler; the last handler also
/// serves all connections that follow.
fn start_upstream(handlers: &'static [Handler]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    std::thread::spawn(move || {
        for (i, stream) in listener.incoming().enumerate() {
            let handler = handlers[i.min(handlers.len() - 1)];
            let stream = stream.expect("an accepted connection");
            stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a socket option");
            std::thread::spawn(move || handler(stream));
        }
    });
    address
}

async fn start_daemon(upstream: SocketAddr, profile: &str) -> Daemon {
    let setting = format!("catalogo/u1@{upstream},slots=4,dc=local");
    let file = write_config(&format!(r#"{{"profiles": {{"default": {profile}}}}}"#));
    let args = ["--upstream", &setting, "--config", &file].map(str::to_owned);
    let daemon = Daemon::start("entry-1", "local", &args).await;
    std::fs::remove_file(file).expect("a file that was written");
    daemon
}

fn write_config(content: &str) -> String {
    let name = format!("basilhaven-answers-{:016x}.json", fastrand::u64(..));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, content).expect("a temporary file");
    path.to_str().expect("a plain path").to_owned()
}

/// Reads the head of a request; returns less than a whole head if the peer closes.
fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// Sends `bytes` unchanged, and reads until the peer closes the connection.
fn exchange_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("a listening daemon");
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("a socket option");
    // The peer may respond and close before everything is sent.
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

fn get(address: SocketAddr) -> String {
    exchange_raw(address, b"GET /stock HTTP/1.1\r\nhost: catalogo\r\nconnection: close\r\n\r\n")
}

fn respond_ok(mut stream: TcpStream) {
    while !read_head(&mut stream).is_empty() {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    }
}

fn read_and_close(mut stream: TcpStream) {
    read_head(&mut stream);
}

fn shed(mut stream: TcpStream) {
    read_head(&mut stream);
    let _ = stream.write_all(
        b"HTTP/1.1 503 Busy\r\nbasilhaven-outcome: not-run\r\ncontent-length: 0\r\n\r\n",
    );
}

#[test]
fn a_retry_that_was_shed_does_not_hide_that_the_first_attempt_may_have_run() {
    block_on(async {
        let profile = r#"{"retry_budget_percent": 100}"#;
        let daemon = start_daemon(start_upstream(&[read_and_close, shed]), profile).await;
        let response = get(daemon.callers);
        assert!(response.contains("basilhaven-outcome: unknown"), "{response}");
    });
}

#[test]
fn a_call_that_was_only_shed_is_refused_as_not_run() {
    block_on(async {
        let daemon = start_daemon(start_upstream(&[shed]), "{}").await;
        let response = get(daemon.callers);
        assert!(response.contains("basilhaven-outcome: not-run"), "{response}");
    });
}

#[test]
fn a_refusal_copied_from_a_nested_call_is_not_taken_for_the_upstreams_own() {
    fn refuse_as_nested(mut stream: TcpStream) {
        read_head(&mut stream);
        let _ = stream.write_all(
            b"HTTP/1.1 503 Busy\r\nbasilhaven-outcome: not-run\r\nbasilhaven-reason: queue-full\r\n\
              content-length: 0\r\n\r\n",
        );
    }
    block_on(async {
        let daemon = start_daemon(start_upstream(&[refuse_as_nested]), "{}").await;
        let response = get(daemon.callers);
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(!response.contains("basilhaven-outcome"), "{response}");
    });
}

#[test]
fn a_response_sent_before_the_whole_request_is_forwarded() {
    fn refuse_early(mut stream: TcpStream) {
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 413 Too Large\r\ncontent-length: 5\r\n\r\nlarge");
        // Reads no more of the request, and keeps the connection open.
        std::thread::sleep(STEP_TIMEOUT);
    }
    block_on(async {
        let daemon = start_daemon(start_upstream(&[refuse_early]), "{}").await;
        let mut request =
            b"POST / HTTP/1.1\r\nhost: catalogo\r\ncontent-length: 33554432\r\n\r\n".to_vec();
        request.resize(request.len() + 33_554_432, b'x');
        let started = Instant::now();
        let response = exchange_raw(daemon.callers, &request);
        assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");
        assert!(response.ends_with("large"), "{response:?}");
        assert!(started.elapsed() < STEP_TIMEOUT / 2, "{:?}", started.elapsed());
    });
}

#[test]
fn a_call_whose_body_is_not_buffered_whole_is_not_retried_with_a_partial_body() {
    fn read_body(stream: &mut TcpStream) -> usize {
        read_head(stream);
        let mut body = Vec::new();
        let mut chunk = [0; 4096];
        while !body.ends_with(b"0\r\n\r\n") {
            match stream.read(&mut chunk) {
                Ok(len) if len > 0 => body.extend_from_slice(&chunk[..len]),
                _ => break,
            }
        }
        body.iter().filter(|byte| **byte == b'x').count()
    }
    fn shed_after_body(mut stream: TcpStream) {
        read_body(&mut stream);
        let _ = stream.write_all(
            b"HTTP/1.1 503 Busy\r\nbasilhaven-outcome: not-run\r\ncontent-length: 0\r\n\r\n",
        );
    }
    fn respond_with_count(mut stream: TcpStream) {
        let text = read_body(&mut stream).to_string();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
        let _ = stream.write_all((head + &text).as_bytes());
    }
    block_on(async {
        let profile = r#"{"retry_budget_percent": 100}"#;
        let daemon =
            start_daemon(start_upstream(&[shed_after_body, respond_with_count]), profile).await;
        let mut request = b"POST / HTTP/1.1\r\nhost: catalogo\r\nconnection: close\r\n\
            transfer-encoding: chunked\r\n\r\n"
            .to_vec();
        for _ in 0..40 {
            request.extend_from_slice(b"1000\r\n");
            request.resize(request.len() + 0x1000, b'x');
            request.extend_from_slice(b"\r\n");
        }
        request.extend_from_slice(b"0\r\n\r\n");
        let response = exchange_raw(daemon.callers, &request);
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
        assert!(response.contains("basilhaven-outcome: not-run"), "{response:?}");
    });
}

#[test]
fn a_call_whose_body_turns_out_malformed_after_forwarding_began_has_an_unknown_outcome() {
    fn discard(mut stream: TcpStream) {
        let _ = std::io::copy(&mut stream, &mut std::io::sink());
    }
    block_on(async {
        let daemon = start_daemon(start_upstream(&[discard]), "{}").await;
        let mut request =
            b"POST / HTTP/1.1\r\nhost: catalogo\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        for _ in 0..40 {
            request.extend_from_slice(b"1000\r\n");
            request.resize(request.len() + 0x1000, b'x');
            request.extend_from_slice(b"\r\n");
        }
        request.extend_from_slice(b"nonsense\r\n");
        let response = exchange_raw(daemon.callers, &request);
        assert!(response.starts_with("HTTP/1.1 400"), "{response:?}");
        assert!(response.contains("basilhaven-outcome: unknown"), "{response:?}");
    });
}

#[test]
fn an_unrequested_protocol_switch_is_a_malformed_response() {
    fn switch_protocols(mut stream: TcpStream) {
        read_head(&mut stream);
        let _ = stream.write_all(
            b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n\
              HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
        );
    }
    block_on(async {
        let daemon = start_daemon(start_upstream(&[switch_protocols]), "{}").await;
        let response = get(daemon.callers);
        assert!(response.contains("basilhaven-reason: malformed-response"), "{response}");
    });
}

#[test]
fn a_second_response_behind_the_first_is_never_delivered_to_the_next_call() {
    fn respond_twice(mut stream: TcpStream) {
        read_head(&mut stream);
        let _ = stream.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok\
              HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
        );
        read_head(&mut stream);
    }
    block_on(async {
        let daemon = start_daemon(start_upstream(&[respond_twice]), "{}").await;
        for _ in 0..3 {
            let response = get(daemon.callers);
            assert!(response.ends_with("ok"), "{response}");
        }
    });
}

#[test]
fn a_reused_connection_that_the_upstream_just_closed_costs_no_retry() {
    fn respond_once(mut stream: TcpStream) {
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        read_head(&mut stream);
    }
    block_on(async {
        let daemon =
            start_daemon(start_upstream(&[respond_once, respond_ok]), r#"{"retries": 0}"#).await;
        for _ in 0..2 {
            let response = get(daemon.callers);
            assert!(response.ends_with("ok"), "{response}");
        }
    });
}

#[test]
fn a_path_with_dot_segments_never_matches_an_idempotent_route() {
    use std::sync::atomic::{AtomicUsize, Ordering};
    static CONNECTIONS: AtomicUsize = AtomicUsize::new(0);
    fn count_connection(stream: TcpStream) {
        CONNECTIONS.fetch_add(1, Ordering::SeqCst);
        read_and_close(stream);
    }
    block_on(async {
        let profile = r#"{"retry_budget_percent": 100, "routes":
            [{"prefix": "/lookup", "method": "POST", "idempotency": "idempotent"}]}"#;
        let daemon = start_daemon(start_upstream(&[count_connection]), profile).await;
        let paths = ["/lookup/../reserve", "/lookup/%2e%2E/reserve", "/lookup/..%2freserve"];
        for path in paths {
            let request =
                format!("POST {path} HTTP/1.1\r\nhost: catalogo\r\nconnection: close\r\n\r\n");
            let response = exchange_raw(daemon.callers, request.as_bytes());
            assert!(response.contains("basilhaven-outcome: unknown"), "{response}");
        }
        assert_eq!(CONNECTIONS.load(Ordering::SeqCst), paths.len());
    });
}

#[test]
fn a_caller_that_reads_nothing_occupies_no_upstream_past_its_deadline() {
    fn respond_endlessly(mut stream: TcpStream) {
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n");
        while stream.write_all(&[b'x'; 65536]).is_ok() {}
    }
    block_on(async {
        let daemon = start_daemon(start_upstream(&[respond_endlessly]), "{}").await;
        let mut caller = TcpStream::connect(daemon.callers).expect("a listening daemon");
        let request = b"GET / HTTP/1.1\r\nhost: catalogo\r\nbasilhaven-timeout-ms: 500\r\n\r\n";
        caller.write_all(request).expect("an open connection");
        let in_flight = || async { daemon.status().await.services[0].upstreams[0].in_flight };
        let until = Instant::now() + STEP_TIMEOUT;
        while in_flight().await == 0 {
            assert!(Instant::now() < until, "the call did not reach the upstream");
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        while in_flight().await > 0 {
            assert!(
                Instant::now() < until,
                "the call still occupies the upstream after its deadline"
            );
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        drop(caller);
    });
}

#[test]
fn request_targets_that_name_another_service_or_none_are_resolved_or_refused() {
    block_on(async {
        let daemon = start_daemon(start_upstream(&[respond_ok]), "{}").await;
        let cases = [
            ("GET http://catalogo/stock HTTP/1.1\r\nhost: catalogo", "200"),
            ("GET http://other/stock HTTP/1.1\r\nhost: catalogo", "404"),
            ("CONNECT catalogo:80 HTTP/1.1\r\nhost: catalogo", "400"),
            ("GET * HTTP/1.1\r\nhost: catalogo", "400"),
            ("OPTIONS * HTTP/1.1\r\nhost: catalogo", "200"),
            ("GET /stock HTTP/1.1\r\nhost: catalogo\r\nx: a\r\n b", "400"),
            ("GET /stock HTTP/1.1\r\nhost: catalogo\r\nx : a", "400"),
        ];
        for (head, status) in cases {
            let request = format!("{head}\r\nconnection: close\r\n\r\n");
            let response = exchange_raw(daemon.callers, request.as_bytes());
            assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{head:?}: {response:?}");
        }
    });
}

#[test]
fn a_response_to_head_has_no_content_length_that_the_upstream_did_not_send() {
    fn respond_without_length(mut stream: TcpStream) {
        read_head(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    }
    block_on(async {
        let daemon = start_daemon(start_upstream(&[respond_without_length]), "{}").await;
        let response = exchange_raw(
            daemon.callers,
            b"HEAD /stock HTTP/1.1\r\nhost: catalogo\r\nconnection: close\r\n\r\n",
        );
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(!response.contains("content-length"), "{response}");
    });
}
