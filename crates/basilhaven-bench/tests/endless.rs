//! Upstreams that send bytes without end, to many callers at once: the gateway must stay within the
//! memory that its settings name, close each such connection, and serve calls of other upstreams.
//!
//! The tests check no times and no share of served requests. They run one at a time, since each
//! measures a process under load.

use std::io::Read as _;
use std::net::{Ipv4Addr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use basilhaven_bench::gateway::{config_with, send, wait_until, Host, OTHER_SERVICE, SERVICE};
use basilhaven_bench::monitor::{self, Monitor};
use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::Store;
use basilhaven_bench::standin::users::upstream::{Behaviour, Endless, Upstream};

/// The memory of the gateway, in units of 1,000,000 bytes.
const MEMORY_MB: u64 = 64;
const MEMORY_BYTES: u64 = MEMORY_MB * 1_000_000;

/// The descriptors of the gateway.
const MAX_FDS: u64 = 800;

/// Upstreams that send without end, and calls at all of them together.
const UPSTREAMS: usize = 8;
const CALLS: usize = 240;

/// Descriptors of a gateway without calls: listeners, and connections to the store and upstreams.
const FDS_AT_REST: u64 = 80;

/// How long a call may take.
const DEADLINE_MS: u64 = 2000;

/// Bytes that a slow caller reads at once, and the pause after them.
const SLOW_READ_LEN: usize = 1024;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(20);

/// Serializes the tests.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Makes calls at upstreams that send `part` without end, and checks what the gateway uses until all
/// calls and connections to these upstreams have ended.
fn check(part: Endless) {
    // A test that failed leaves the lock poisoned, which means nothing to the next one.
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async {
        let store = Store::start();
        let to_other = |config: &mut serde_json::Value| {
            config["VirtualHosts"][0]["Paths"][1]["Service"] = OTHER_SERVICE.into();
        };
        store.put("op", "config", &config_with(1, SERVICE, to_other));
        let serves = Behaviour::Serves(Duration::ZERO);
        let faulty: Vec<Upstream> =
            (0..UPSTREAMS).map(|n| Upstream::start(&format!("i-{n}"), serves)).collect();
        for upstream in &faulty {
            upstream.set_load(&format!("0,0,{CALLS},100"));
            store.put("servers", &upstream.id, &upstream.entry(SERVICE, "v1", "ready"));
        }
        let other = Upstream::start("i-other", serves);
        store.put("servers", &other.id, &other.entry(OTHER_SERVICE, "v1", "ready"));
        let (memory, fds) = (MEMORY_MB.to_string(), MAX_FDS.to_string());
        let settings = [("BASILHAVEN_MEMORY_MB", &*memory), ("BASILHAVEN_MAX_FDS", &*fds)];
        let host = Host::start_with(store.address(), Ipv4Addr::LOCALHOST, 0, "", &settings).await;
        wait_until("the host is ready", || host.is_ready()).await;
        for number in 0..UPSTREAMS * 4 {
            // The gateway learns of the slots.
            host.call("GET", "/safe/1", &format!("first-{number}")).expect("a response");
        }
        faulty.iter().for_each(|upstream| upstream.set_behaviour(Behaviour::Endless(part)));
        let ports: Vec<u16> = faulty.iter().map(|upstream| upstream.address().port()).collect();
        let monitor = Monitor::start(host.process.id(), &[host.callers.port()], &ports);
        let are_over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let _end = End(&are_over);
            for number in 0..CALLS {
                let mut stream = host.open().expect("a listening gateway");
                let id = format!("crowd-{number}");
                send(&mut stream, "GET", "/safe/1", &id, DEADLINE_MS).expect("a gateway");
                let is_reader = number.is_multiple_of(2);
                let are_over = &are_over;
                scope.spawn(move || hold(stream, is_reader, are_over));
            }
            let response = host.call("POST", "/unsafe/1", "ordinary").expect("the host responds");
            assert_eq!(response.status, 200, "a call of the other service: {response:?}");
            // The calls end at their deadlines.
            std::thread::sleep(Duration::from_millis(DEADLINE_MS + 500));
        });
        let peak = monitor.finish();
        println!("{part:?}: {peak:?}, peak resident {}", host.process.peak_bytes());
        assert!(peak.bytes <= MEMORY_BYTES, "{part:?}: {} bytes resident and unread", peak.bytes);
        let resident = host.process.peak_bytes();
        assert!(resident <= MEMORY_BYTES, "{part:?}: {resident} bytes resident");
        assert!(peak.descriptors <= MAX_FDS, "{part:?}: {} descriptors", peak.descriptors);
        wait_until("the connections are closed", || {
            monitor::descriptors(host.process.id()) <= FDS_AT_REST
        })
        .await;
        assert_eq!(host.process.event_count("started"), 1);
    });
}

/// Sets a flag on drop: a scope joins its threads also after a panic, so they must end then too.
struct End<'a>(&'a AtomicBool);

impl Drop for End<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Reads slowly, or not at all, until the response ends or all calls are over.
fn hold(mut stream: TcpStream, is_reader: bool, are_over: &AtomicBool) {
    stream.set_nonblocking(true).expect("a socket option");
    let mut piece = [0; SLOW_READ_LEN];
    while !are_over.load(Ordering::Relaxed) {
        if is_reader && matches!(stream.read(&mut piece), Ok(0)) {
            return;
        }
        std::thread::sleep(SLOW_READ_INTERVAL);
    }
}

// Each test guards against a gateway that keeps what an upstream sends without end, and is ended for
// its memory together with the calls of all other callers.

#[test]
fn interim_responses_without_end_are_not_kept() {
    check(Endless::Interim);
}

#[test]
fn heads_without_end_are_not_kept() {
    check(Endless::Head);
}

#[test]
fn bytes_that_are_no_response_are_not_kept() {
    check(Endless::Junk);
}

#[test]
fn bodies_without_end_are_not_kept() {
    check(Endless::Body);
}

#[test]
fn chunk_extensions_and_trailers_without_end_are_not_kept() {
    check(Endless::ChunkExtension);
    check(Endless::Trailer);
}

#[test]
fn rejections_and_other_responses_without_end_are_not_kept() {
    check(Endless::Rejection);
    check(Endless::OtherResponse);
}

#[test]
fn bytes_on_idle_connections_are_not_kept() {
    check(Endless::Idle);
}

#[test]
fn health_responses_without_end_are_not_kept() {
    check(Endless::Health);
}
