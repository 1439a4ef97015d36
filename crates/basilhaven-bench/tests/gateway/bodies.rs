//! Checks the order in which bodies are read and written: what is refused before its body is read,
//! what becomes of the connection, and upstreams and callers that don't read.

use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::Store;
use basilhaven_bench::standin::users::upstream::{Behaviour, Upstream};

use crate::fixture::{config_with, receive, wait_until, Fixture, Host, PROMPT, SERVICE};

/// The longest body that the configuration allows, which does not fit into the sockets' buffers.
const LONG_BODY_LEN: usize = 16_000_000;

/// Returns a request with this body.
fn request(path: &str, id: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Basilhaven-Request-Id: {id}\r\n\
         X-Basilhaven-Deadline-Ms: 2000\r\n{fields}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

fn length(len: usize) -> String {
    format!("Content-Length: {len}")
}

/// What an upstream that was written for a test does with a call, once it has read the head.
type Serve = fn(&Calls, &mut TcpStream, &str) -> io::Result<()>;

/// What such an upstream has seen.
#[derive(Debug, Default, Clone)]
struct Calls {
    /// The request ids of calls whose response was written to its end.
    written: Arc<Mutex<Vec<String>>>,
    /// The request ids of calls whose response the caller has received.
    answered: Arc<Mutex<Vec<String>>>,
    /// What followed the first head of each connection for calls.
    followed: Arc<Mutex<Vec<Vec<u8>>>>,
}

/// Starts an upstream that answers health checks and passes calls to `serve`.
fn start_upstream(serve: Serve) -> (SocketAddr, Calls) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let calls = Calls::default();
    let seen = calls.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let seen = seen.clone();
            // After a failed connection the gateway opens a new one.
            std::thread::spawn(move || loop {
                let head = read_head(&mut stream)?;
                if head.contains(" /healthz ") {
                    let load = "x-basilhaven-backend-load: 0,0,4,100";
                    let fields = format!("x-basilhaven-instance-id: i-0\r\n{load}");
                    let response =
                        format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{fields}\r\n\r\n");
                    stream.write_all(response.as_bytes())?;
                    continue;
                }
                return serve(&seen, &mut stream, &head);
            });
        }
    });
    (address, calls)
}

fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).to_lowercase())
}

/// Returns the value of the field with the request id.
fn id(head: &str) -> &str {
    let field = head.lines().find_map(|line| line.strip_prefix("x-basilhaven-request-id: "));
    field.unwrap_or_default()
}

/// Returns the head of the response to a call.
fn response_head(id: &str, len: usize) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {len}\r\nx-basilhaven-request-id: {id}\r\n\
         x-basilhaven-server-signature: s.1\r\n\r\n"
    )
}

/// Starts a host with one upstream at this address.
async fn start_host(address: SocketAddr, settings: &[(&str, &str)]) -> (Store, Host) {
    let store = Store::start();
    let config = config_with(1, SERVICE, |config| {
        config["Limits"]["MaxBodyBytes"] = LONG_BODY_LEN.into();
    });
    store.put("op", "config", &config);
    let upstream = Upstream::start("i-0", PROMPT);
    let entry = upstream.entry_at(address, "a", SERVICE, "v1", "ready");
    store.put("servers", "i-0", &entry);
    let host = Host::start_with(store.address(), Ipv4Addr::LOCALHOST, 0, "", settings).await;
    wait_until("the host is ready", || host.is_ready()).await;
    (store, host)
}

/// Guards against the body of a refused request being taken for the next request, and against a
/// refusal that ends the connection of a caller who pipelines.
#[test]
fn a_refusal_before_a_short_body_keeps_the_requests_behind_it() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let mut stream = fixture.host.open().unwrap();
        let body = b"GET /safe/hidden HTTP/1.1\r\nHost: shop.example\r\n\r\n";
        stream.write_all(&request("/nowhere", "a", &length(body.len()), body)).unwrap();
        stream.write_all(&request("/safe/b", "b", &length(3), b"abc")).unwrap();
        assert_eq!(receive(&mut stream).unwrap().status, 404);
        let second = receive(&mut stream).unwrap();
        assert_eq!((second.status, &*second.body), (200, "b by i-0"));
        assert_eq!(fixture.upstreams[0].executed_ids(), ["b"]);
    });
}

/// Guards against a body that is read although the request is refused whatever it holds.
#[test]
fn what_is_refused_without_the_body_is_refused_before_it() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        for (path, len, status) in [("/safe/a", 2_000_000, 413), ("/nowhere", 900_000, 404)] {
            let mut stream = fixture.host.open().unwrap();
            stream.write_all(&request(path, "a", &length(len), b"")).unwrap();
            let response = receive(&mut stream).unwrap();
            assert_eq!(response.status, status);
            assert!(response.head.contains("connection: close"), "{}", response.head);
        }
    });
}

/// Guards against a caller that is told to send a body which is then refused.
#[test]
fn a_caller_that_asks_first_sends_its_body_only_if_it_is_taken() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let fields = format!("Expect: 100-continue\r\n{}", length(3));
        let mut stream = fixture.host.open().unwrap();
        stream.write_all(&request("/nowhere", "a", &fields, b"")).unwrap();
        assert_eq!(receive(&mut stream).unwrap().status, 404);
        let mut stream = fixture.host.open().unwrap();
        stream.write_all(&request("/safe/b", "b", &fields, b"")).unwrap();
        assert_eq!(receive(&mut stream).unwrap().status, 100);
        stream.write_all(b"abc").unwrap();
        assert_eq!(receive(&mut stream).unwrap().status, 200);
        assert_eq!(fixture.upstreams[0].requests()[0].body, b"abc");
    });
}

/// Guards against an attempt that sends what another one has left of the body.
#[test]
fn every_attempt_sends_the_whole_body() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::DropsResponses, Behaviour::DropsResponses]).await;
        let body: Vec<u8> = (0..500_000_u32).map(|n| (n % 251) as u8).collect();
        let mut stream = fixture.host.open().unwrap();
        stream.write_all(&request("/safe/a", "a", &length(body.len()), &body)).unwrap();
        assert_eq!(receive(&mut stream).unwrap().status, 502);
        for upstream in &fixture.upstreams {
            let requests = upstream.requests();
            assert_eq!(requests.len(), 1, "calls at {}", upstream.id);
            assert!(requests[0].body == body, "the body at {} is another one", upstream.id);
        }
    });
}

/// Guards against a next request that an upstream takes for the rest of a body which it has not
/// read.
#[test]
fn nothing_follows_a_body_that_an_upstream_has_not_read() {
    block_on(async {
        let (address, calls) = start_upstream(|calls, stream, head| {
            let response = format!("{}ok", response_head(id(head), 2));
            stream.write_all(response.as_bytes())?;
            // The gateway has the response before any of the body is read.
            while !calls.answered.lock().unwrap().iter().any(|answered| answered == id(head)) {
                std::thread::sleep(Duration::from_millis(5));
            }
            let mut rest = Vec::new();
            // Ends when the gateway closes the connection, with or without a reset.
            let _ = stream.read_to_end(&mut rest);
            calls.followed.lock().unwrap().push(rest);
            Ok(())
        });
        let (_store, host) = start_host(address, &[]).await;
        let body = vec![b'x'; LONG_BODY_LEN];
        for id in ["a", "b", "c"] {
            let mut stream = host.open().unwrap();
            stream.write_all(&request("/safe/a", id, &length(body.len()), &body)).unwrap();
            assert_eq!(receive(&mut stream).unwrap().status, 200);
            calls.answered.lock().unwrap().push(id.to_owned());
        }
        wait_until("the connections end", || calls.followed.lock().unwrap().len() == 3).await;
        for rest in &*calls.followed.lock().unwrap() {
            assert!(rest.iter().all(|byte| *byte == b'x'), "a request follows an unread body");
        }
    });
}

/// Length of a response that fits neither into the sockets' buffers nor into what a host without
/// limits reads ahead.
const LONG_RESPONSE_LEN: usize = 4_000_000;

/// Guards against an upstream that cuts off a response because its caller reads slowly.
#[test]
fn a_response_is_read_while_its_caller_does_not_read() {
    block_on(async {
        let (address, calls) = start_upstream(|calls, stream, head| {
            stream.write_all(response_head(id(head), LONG_RESPONSE_LEN).as_bytes())?;
            stream.write_all(&vec![b'x'; LONG_RESPONSE_LEN])?;
            calls.written.lock().unwrap().push(id(head).to_owned());
            // Keeps the connection open until the gateway has read everything.
            stream.read(&mut [0]).map(|_| ())
        });
        let (_store, host) = start_host(address, &[("BASILHAVEN_MEMORY_MB", "64")]).await;
        let mut stream = host.open().unwrap();
        stream.write_all(&request("/safe/a", "a", "Content-Length: 0", b"")).unwrap();
        let is_written = || !calls.written.lock().unwrap().is_empty();
        wait_until("the upstream has sent everything", is_written).await;
        // Past the call's deadline: what is ready is delivered.
        monoio::time::sleep(Duration::from_millis(2100)).await;
        let response = receive(&mut stream).unwrap();
        assert!(response.is_complete && response.body.len() == LONG_RESPONSE_LEN);
        wait_until("nothing is held", || {
            host.metric("basilhaven_held_bytes{purpose=\"responses\"}") == Some(0.0)
        })
        .await;
    });
}
