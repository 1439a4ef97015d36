//! Uncontrolled clients: crowds that make a gateway hold as many bytes and connections as it lets
//! them. The gateway must stay within the memory and the descriptors that its settings name, and
//! answer an ordinary request afterwards.
//!
//! The tests check no times and no share of served requests: a gateway may refuse a crowd, or close
//! its connections. They run one at a time, since each measures a process under load.

use std::collections::HashSet;
use std::future::Future;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Barrier, Mutex, PoisonError};
use std::time::Duration;

use basilhaven_bench::gateway::{config_with, receive, send, wait_until, Host, SERVICE};
use basilhaven_bench::monitor::{Monitor, Peak};
use basilhaven_bench::process;
use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::Store;
use basilhaven_bench::standin::users::upstream::{
    Behaviour, Content, Endless, Upstream, MEDIUM_LEN,
};
use socket2::{Domain, Socket, Type};

/// The memory of the gateway, in units of 1,000,000 bytes. The crowds would make it hold about three
/// times as much; at rest it uses about a sixth.
const MEMORY_MB: u64 = 64;

/// The descriptors of the gateway, of which [`RESERVED_FDS`] are not for connections. The crowd of
/// connections is three times as large as the rest.
const MAX_FDS: u64 = 400;
const RESERVED_FDS: u64 = 200;
const CONNECTIONS: usize = 600;

/// Limits of a gateway whose memory is filled by connections and not by their bodies, the clients
/// that connect to it, and the length of their bodies.
const MANY_FDS: u64 = 4100;
const MEMORY_MB_OF_MANY: u64 = 160;
const MANY_CLIENTS: usize = 2400;
const SHORT_BODY_LEN: usize = 128 * 1024;

/// Ordinary callers beside a crowd, each with a connection of its own.
const CALLERS: usize = 16;

/// Connections one after the other, each with one request.
const ENDED_CONNECTIONS: usize = 20_000;

/// Clients with large bodies, and how many of them send their whole body; the others stop just
/// short of its end.
const CLIENTS: usize = 48;
const COMPLETE_CLIENTS: usize = 6;

/// The longest body that the configuration allows in the tests with crowds.
const MAX_BODY_LEN: usize = 4 * 1024 * 1024;

/// The longest body that the configuration allows in the test of a single request: the share of the
/// memory that 64 MiB are of 160 MB.
const LARGEST_BODY_LEN: usize = 25 * 1024 * 1024;

/// Lengths of the pieces and chunks that clients send.
const PIECE_LEN: usize = 16 * 1024;
const LARGE_CHUNK_LEN: usize = 256 * 1024;
const SMALL_CHUNK_LEN: usize = 16;

/// How long a client that the gateway neither reads from nor closes waits before it gives up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// Serializes the tests.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs a test while no other one runs.
fn run_alone<F>(test: F)
where
    F: Future<Output = ()>,
{
    // A test that failed leaves the lock poisoned, which means nothing to the next one.
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(test);
}

/// A gateway with small limits, and an upstream.
struct Fixture {
    host: Host,
    _store: Store,
    upstream: Upstream,
    monitor: Monitor,
    memory_mb: u64,
    max_fds: u64,
}

impl Fixture {
    async fn start(max_body_len: usize) -> Fixture {
        Fixture::start_with(max_body_len, MEMORY_MB, MAX_FDS).await
    }

    async fn start_with(max_body_len: usize, memory_mb: u64, max_fds: u64) -> Fixture {
        let store = Store::start();
        let config = config_with(1, SERVICE, |config| {
            config["Limits"]["MaxBodyBytes"] = max_body_len.into();
        });
        store.put("op", "config", &config);
        let upstream = Upstream::start("i-0", Behaviour::Serves(Duration::ZERO));
        store.put("servers", &upstream.id, &upstream.entry(SERVICE, "v1", "ready"));
        let (memory, fds) = (memory_mb.to_string(), max_fds.to_string());
        let settings = [("BASILHAVEN_MEMORY_MB", &*memory), ("BASILHAVEN_MAX_FDS", &*fds)];
        let host = Host::start_with(store.address(), Ipv4Addr::LOCALHOST, 0, "", &settings).await;
        wait_until("the host is ready", || host.is_ready()).await;
        let monitor = Monitor::start(host.process.id(), &[host.callers.port()], &[]);
        Fixture { host, _store: store, upstream, monitor, memory_mb, max_fds }
    }

    /// Waits until an ordinary request is answered, and checks what the gateway has used until
    /// then. `crowd` is the crowd's connections, which stay open.
    async fn check(self, crowd: Vec<TcpStream>) {
        let number = AtomicU64::new(0);
        wait_until("an ordinary request is answered", || {
            let id = format!("ordinary-{}", number.fetch_add(1, Ordering::Relaxed));
            self.host.call("GET", "/safe/a", &id).is_ok_and(|response| response.status == 200)
        })
        .await;
        let peak = self.host.process.peak_bytes();
        let Peak { bytes: held, descriptors: fds } = self.monitor.finish();
        drop(crowd);
        println!("peak resident {peak}, peak with unread bytes {held}, peak descriptors {fds}");
        let memory = self.memory_mb * 1_000_000;
        assert!(peak <= memory, "{peak} bytes resident");
        assert!(held <= memory, "{held} bytes resident and unread");
        assert!(fds <= self.max_fds - RESERVED_FDS, "{fds} open descriptors");
    }
}

/// Plays a crowd: all clients connect, and then all send their messages at once, each until
/// everything is sent or its connection has ended. Returns the connections, still open.
fn play<F>(address: SocketAddr, clients: usize, messages: F) -> Vec<TcpStream>
where
    F: Fn(usize) -> Vec<Vec<u8>> + Sync,
{
    let connect = |_| {
        let stream = TcpStream::connect(address).expect("a listening gateway");
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).expect("a socket option");
        stream
    };
    let streams: Vec<TcpStream> = (0..clients).map(connect).collect();
    let start = Barrier::new(clients);
    std::thread::scope(|scope| {
        for (client, mut stream) in streams.iter().enumerate() {
            let (start, messages) = (&start, &messages);
            scope.spawn(move || {
                let messages = messages(client);
                start.wait();
                for message in messages {
                    // The gateway may refuse the request and close the connection.
                    if stream.write_all(&message).is_err() {
                        break;
                    }
                }
            });
        }
    });
    streams
}

/// Connects as a caller whose system receives little before it is read.
fn connect_with_small_window(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a socket option");
    socket.connect(&address.into()).expect("a listening gateway");
    socket.into()
}

/// Returns whether a response has begun to arrive. Nothing of it is read.
fn has_response(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket option");
    let has_begun = matches!(stream.peek(&mut [0]), Ok(1));
    stream.set_nonblocking(false).expect("a socket option");
    has_begun
}

/// Returns the head of a client's request with this field.
fn head(client: usize, field: &str) -> Vec<u8> {
    let head = format!(
        "POST /safe/a HTTP/1.1\r\nHost: shop.example\r\nX-Basilhaven-Request-Id: crowd-{client}\
         \r\nX-Basilhaven-Deadline-Ms: 2000\r\n{field}\r\n\r\n"
    );
    head.into_bytes()
}

/// Returns a client's request with a body of `len` bytes, of which it sends `sent_len`.
fn with_body(client: usize, len: usize, sent_len: usize) -> Vec<u8> {
    let mut message = head(client, &format!("Content-Length: {len}"));
    message.resize(message.len() + sent_len, b'x');
    message
}

/// Returns how much of a body of `len` bytes a client sends.
fn sent_len(client: usize, len: usize) -> usize {
    if client.is_multiple_of(CLIENTS / COMPLETE_CLIENTS) {
        len
    } else {
        len - 1
    }
}

/// Returns a body in chunks of `chunk_len` bytes. Clients that stop short leave out the last chunk,
/// which is empty.
fn chunked(client: usize, len: usize, chunk_len: usize) -> Vec<u8> {
    let mut chunk = format!("{chunk_len:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_len, b'x');
    chunk.extend_from_slice(b"\r\n");
    let mut body = chunk.repeat(len / chunk_len);
    if sent_len(client, len) == len {
        body.extend_from_slice(b"0\r\n\r\n");
    }
    body
}

fn in_pieces(head: Vec<u8>, body: &[u8]) -> Vec<Vec<u8>> {
    std::iter::once(head).chain(body.chunks(PIECE_LEN).map(<[u8]>::to_vec)).collect()
}

/// Guards against a gateway that holds every legal body for as long as its client likes.
#[test]
fn many_legal_bodies_at_once_are_held_within_the_memory() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        let crowd = play(fixture.host.callers, CLIENTS, |client| {
            vec![with_body(client, MAX_BODY_LEN, sent_len(client, MAX_BODY_LEN))]
        });
        fixture.check(crowd).await;
    });
}

/// Guards against memory that grows with the number of connections and is not counted: read buffers,
/// and what the operating system has received on each of them.
#[test]
fn many_connections_with_short_bodies_are_held_within_the_memory() {
    run_alone(async {
        process::allow_descriptors(MANY_FDS);
        let fixture = Fixture::start_with(MAX_BODY_LEN, MEMORY_MB_OF_MANY, MANY_FDS).await;
        let crowd = play(fixture.host.callers, MANY_CLIENTS, |client| {
            let head = head(client, &format!("Content-Length: {SHORT_BODY_LEN}"));
            in_pieces(head, &vec![b'x'; sent_len(client, SHORT_BODY_LEN)])
        });
        fixture.check(crowd).await;
    });
}

/// Guards against the same with bodies that grow slowly, so that none is large when it is admitted.
#[test]
fn many_legal_bodies_in_pieces_are_held_within_the_memory() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        let crowd = play(fixture.host.callers, CLIENTS, |client| {
            let head = head(client, &format!("Content-Length: {MAX_BODY_LEN}"));
            in_pieces(head, &vec![b'x'; sent_len(client, MAX_BODY_LEN)])
        });
        fixture.check(crowd).await;
    });
}

/// Guards against a gateway that trusts announced lengths, which chunked bodies do not have.
#[test]
fn many_bodies_in_large_chunks_are_held_within_the_memory() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        let crowd = play(fixture.host.callers, CLIENTS, |client| {
            let head = head(client, "Transfer-Encoding: chunked");
            in_pieces(head, &chunked(client, MAX_BODY_LEN, LARGE_CHUNK_LEN))
        });
        fixture.check(crowd).await;
    });
}

/// Guards against a gateway whose use of memory for a chunk is not that of its bytes.
#[test]
fn many_bodies_in_very_small_chunks_are_held_within_the_memory() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        let crowd = play(fixture.host.callers, CLIENTS, |client| {
            let head = head(client, "Transfer-Encoding: chunked");
            in_pieces(head, &chunked(client, MAX_BODY_LEN, SMALL_CHUNK_LEN))
        });
        fixture.check(crowd).await;
    });
}

/// Guards against a gateway that reads a body which it already knows to be too long. Most clients
/// stop just below the limit and stay open; the others send twice as much.
#[test]
fn announced_bodies_far_over_the_limit_are_not_held() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        let crowd = play(fixture.host.callers, CLIENTS, |client| {
            let head = head(client, &format!("Content-Length: {}", 256 * MAX_BODY_LEN));
            let is_short = sent_len(client, MAX_BODY_LEN) < MAX_BODY_LEN;
            let sent = if is_short { MAX_BODY_LEN - 1 } else { 2 * MAX_BODY_LEN };
            in_pieces(head, &vec![b'x'; sent])
        });
        fixture.check(crowd).await;
    });
}

/// Guards against a gateway that holds a body without an announced length beyond the limit.
#[test]
fn unannounced_bodies_far_over_the_limit_are_not_held() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        let crowd = play(fixture.host.callers, CLIENTS, |client| {
            let head = head(client, "Transfer-Encoding: chunked");
            in_pieces(head, &chunked(client, 2 * MAX_BODY_LEN, LARGE_CHUNK_LEN))
        });
        fixture.check(crowd).await;
    });
}

/// Guards against a gateway that accepts connections until it can open no descriptor.
#[test]
fn connections_with_unfinished_heads_are_kept_below_the_descriptors() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        let crowd = play(fixture.host.callers, CONNECTIONS, |client| {
            let mut message = head(client, &format!("X-Filler: {}", "x".repeat(15 * 1024)));
            message.truncate(message.len() - 1);
            vec![message]
        });
        fixture.check(crowd).await;
    });
}

/// Guards against a gateway that refuses new connections while a crowd, whose bodies never end, has all
/// that it accepts.
#[test]
fn a_crowd_whose_bodies_never_end_keeps_nobody_out() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        let crowd =
            play(fixture.host.callers, CONNECTIONS, |client| vec![with_body(client, 4096, 4095)]);
        let mut callers: Vec<TcpStream> =
            (0..CALLERS).map(|_| fixture.host.open().expect("a listening gateway")).collect();
        for (number, stream) in callers.iter_mut().enumerate() {
            send(stream, "GET", "/safe/a", &format!("caller-{number}"), 2000).expect("a gateway");
        }
        for stream in &mut callers {
            assert_eq!(receive(stream).expect("a response").status, 200);
        }
        fixture.check(crowd).await;
    });
}

/// Guards against the same at the directory, whose address callers know too.
#[test]
fn connections_to_the_directory_are_kept_below_the_descriptors() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        let crowd = play(fixture.host.directory, CONNECTIONS, |_| {
            vec![b"GET /resolve HTTP/1.1\r\nHost: shop.example\r\n".to_vec()]
        });
        fixture.check(crowd).await;
    });
}

/// Guards against a gateway that keeps something of each connection that has ended.
#[test]
fn connections_that_have_ended_hold_no_memory() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        for _ in 0..ENDED_CONNECTIONS {
            let mut stream = fixture.host.open().expect("a listening gateway");
            stream.write_all(b"GET / HTTP/1.1\r\nHost: none.example\r\n\r\n").expect("a gateway");
            assert_eq!(receive(&mut stream).expect("a response").status, 404);
        }
        fixture.check(Vec::new()).await;
    });
}

/// Guards against a gateway that reads without bound ahead of callers that don't read.
#[test]
fn responses_that_are_not_read_are_held_within_the_memory() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        fixture.upstream.set_behaviour(Behaviour::Endless(Endless::Body));
        let crowd =
            play(fixture.host.callers, CLIENTS, |client| vec![head(client, "Content-Length: 0")]);
        wait_until("the upstream is called", || !fixture.upstream.arrivals().is_empty()).await;
        // The calls end at their deadlines, 2 s after they arrived.
        monoio::time::sleep(Duration::from_millis(2500)).await;
        fixture.upstream.set_behaviour(Behaviour::Serves(Duration::ZERO));
        fixture.check(crowd).await;
    });
}

/// Guards against a crowd that makes a gateway reset connections whose callers still read a response
/// that the gateway has written.
#[test]
fn a_response_that_is_read_slowly_arrives_whole_beside_a_crowd() {
    run_alone(async {
        let fixture = Fixture::start(MAX_BODY_LEN).await;
        fixture.upstream.set_behaviour(Behaviour::FailsWith(500, Content::Medium));
        let mut callers: Vec<TcpStream> =
            (0..8).map(|_| connect_with_small_window(fixture.host.callers)).collect();
        for (number, stream) in callers.iter_mut().enumerate() {
            send(stream, "GET", "/safe/a", &format!("slow-{number}"), 5000).expect("a gateway");
        }
        wait_until("the calls are answered", || callers.iter().all(has_response)).await;
        fixture.upstream.set_behaviour(Behaviour::Serves(Duration::ZERO));
        let crowd =
            play(fixture.host.callers, CONNECTIONS, |client| vec![with_body(client, 1000, 999)]);
        for stream in &mut callers {
            let response = receive(stream).expect("a response");
            assert_eq!((response.status, response.body.len()), (500, MEDIUM_LEN));
            assert!(response.is_complete, "the response was cut short");
        }
        fixture.check(crowd).await;
    });
}

/// Guards against bounds that refuse a request inside the limits of the configuration, and against
/// copies of a body.
#[test]
fn a_single_request_with_the_largest_legal_body_is_served() {
    run_alone(async {
        let fixture = Fixture::start(LARGEST_BODY_LEN).await;
        let mut stream = fixture.host.open().expect("a listening gateway");
        let message = with_body(0, LARGEST_BODY_LEN, LARGEST_BODY_LEN);
        stream.write_all(&message).expect("a gateway that reads the body");
        let response = receive(&mut stream).expect("a response");
        assert_eq!(response.status, 200, "{response:?}");
        let bodies: HashSet<usize> =
            fixture.upstream.requests().iter().map(|request| request.body.len()).collect();
        assert_eq!(bodies, HashSet::from([LARGEST_BODY_LEN]), "lengths of the bodies sent");
        fixture.check(vec![stream]).await;
    });
}
