//! Checks pipelining: a caller sends further idempotent calls before the first response.

use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use basilhaven_bench::gateway::RESOLVE_PATH;
use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::upstream::Behaviour;

use crate::fixture::{receive, send, wait_until, Fixture, PROMPT};

const IDS: [&str; 4] = ["id-0", "id-1", "id-2", "id-3"];

/// Sends all calls before it reads a response.
fn send_all(fixture: &Fixture) -> TcpStream {
    let mut stream = fixture.host.open().unwrap();
    for (number, id) in IDS.into_iter().enumerate() {
        send(&mut stream, "GET", &format!("/safe/{number}"), id, 2000).unwrap();
    }
    stream
}

#[test]
fn responses_arrive_in_the_order_of_the_calls_even_if_the_first_is_slow() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(300))]).await;
        let mut stream = send_all(&fixture);
        wait_until("the first call runs", || fixture.runs_of(IDS[0]) == 1).await;
        fixture.upstreams[0].set_behaviour(PROMPT);
        for id in IDS {
            let response = receive(&mut stream).unwrap();
            assert_eq!((response.status, &*response.body), (200, &*format!("{id} by i-0")));
            assert_eq!(fixture.runs_of(id), 1);
        }
    });
}

#[test]
fn a_failed_call_gets_no_response_of_the_calls_behind_it() {
    block_on(async {
        for behaviour in
            [Behaviour::Fails, Behaviour::DropsResponses, Behaviour::TruncatesResponses]
        {
            let fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(300))]).await;
            let mut stream = send_all(&fixture);
            wait_until("the first call runs", || fixture.runs_of(IDS[0]) == 1).await;
            fixture.upstreams[0].set_behaviour(behaviour);
            assert_eq!(receive(&mut stream).unwrap().status, 200);
            let second = receive(&mut stream).unwrap();
            assert!([500, 502].contains(&second.status), "{behaviour:?}: {second:?}");
            fixture.upstreams[0].set_behaviour(PROMPT);
            // The third call may have begun before the upstream recovered.
            for id in &IDS[2..] {
                let response = receive(&mut stream).unwrap();
                let is_own = response.body == format!("{id} by i-0") && response.status == 200;
                assert!(
                    is_own || [500, 502].contains(&response.status),
                    "{behaviour:?}: {response:?}"
                );
            }
        }
    });
}

#[test]
fn calls_behind_a_response_that_closes_the_connection_do_not_run() {
    block_on(async {
        let mut fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(400))]).await;
        let mut stream = send_all(&fixture);
        wait_until("the first call runs", || fixture.runs_of(IDS[0]) == 1).await;
        fixture.host.process.signal(Signal::Terminate);
        wait_until("the host is stopping", || fixture.host.process.event_count("leaving") == 1)
            .await;
        let response = receive(&mut stream).unwrap();
        assert_eq!((response.status, &*response.body), (200, "id-0 by i-0"));
        assert!(response.head.contains("connection: close"), "{}", response.head);
        assert!(receive(&mut stream).is_err(), "no response follows");
        assert_eq!(fixture.host.process.wait(Duration::from_secs(6)).await, Some(true));
        IDS[1..].iter().for_each(|id| {
            assert_eq!(
                fixture.runs_of(id),
                0,
                "{id} ran though the connection was closed before it"
            )
        });
    });
}

/// How long a client pipelines, and how long an ordinary call may take meanwhile.
const FLOOD_TIME: Duration = Duration::from_millis(1500);
const MAX_TIME: Duration = Duration::from_millis(500);

/// Sends requests behind each other until the flood is over, and reads the responses beside.
fn flood(address: SocketAddr, path: &str) -> std::thread::JoinHandle<()> {
    let requests = format!("GET {path} HTTP/1.1\r\nHost: shop.example\r\n\r\n").repeat(200);
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_write_timeout(Some(FLOOD_TIME)).unwrap();
        let mut responses = stream.try_clone().unwrap();
        std::thread::spawn(move || std::io::copy(&mut responses, &mut std::io::sink()));
        let until = Instant::now() + FLOOD_TIME;
        while Instant::now() < until && stream.write_all(requests.as_bytes()).is_ok() {}
        // The reader holds the connection open otherwise.
        let _ = stream.shutdown(Shutdown::Both);
    })
}

// Guards against a host that answers nobody but the client that sends requests behind each other
// which need no upstream.
#[test]
fn a_client_that_pipelines_keeps_nobody_waiting() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let host = &fixture.host;
        let floods = [
            (host.callers, "/gone/1"),
            (host.directory, RESOLVE_PATH),
            (host.ready, "/readyz"),
            (host.metrics, "/metrics"),
        ];
        for (number, (address, path)) in floods.into_iter().enumerate() {
            let flood = flood(address, path);
            while !flood.is_finished() {
                let started = Instant::now();
                let id = format!("id-{number}-{}", fixture.upstreams[0].arrivals().len());
                assert_eq!(host.call("POST", "/unsafe/1", &id).unwrap().status, 200);
                assert!(host.is_ready());
                let took = started.elapsed();
                assert!(took < MAX_TIME, "{took:?} beside requests for {path}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    });
}
