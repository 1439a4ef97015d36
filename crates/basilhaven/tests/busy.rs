//! Connections on which data keeps arriving leave time for everything else.

use std::cell::Cell;
use std::future::Future;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use basilhaven::http1::{body, Conn};
use monoio::net::TcpListener;

/// Connections, and the chunks of a byte that each carries.
const CONNECTIONS: usize = 16;
const CHUNKS: usize = 2_000_000;

/// Timers that have to fire one after the other while the bodies are read.
const TIMERS: usize = 10;

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    builder.enable_timer().build().unwrap().block_on(test);
}

/// Accepts a connection of a thread that sends `bytes` so many times behind each other.
async fn accept_sender(bytes: Vec<u8>, times: usize) -> Conn {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        // The test may be over before everything is sent.
        let _ = (0..times).try_for_each(|_| stream.write_all(&bytes));
    });
    Conn::new(listener.accept().await.unwrap().0).unwrap()
}

// Guards against a process that hangs while bodies in very small chunks arrive on many connections:
// its timers did not fire, so that no time limit was kept and no health check was answered.
#[test]
fn timers_fire_while_many_bodies_in_very_small_chunks_arrive() {
    run(async {
        let ended = Rc::new(Cell::new(0));
        for _ in 0..CONNECTIONS {
            let mut conn = accept_sender(b"1\r\nx\r\n".repeat(1000), CHUNKS / 1000).await;
            let ended = Rc::clone(&ended);
            monoio::spawn(async move {
                let mut reader = body::Reader::new(body::Framing::Chunked);
                while let Ok(Some(_)) = reader.next(&mut conn).await {}
                ended.set(ended.get() + 1);
            });
        }
        for number in 0..TIMERS {
            monoio::time::sleep(Duration::from_millis(5)).await;
            assert_eq!(ended.get(), 0, "bodies that ended before timer {number} fired");
        }
    });
}

/// A request of a client that pipelines.
const REQUEST: &[u8] = b"GET /gone HTTP/1.1\r\nhost: shop.example\r\n\r\n";

// Guards against a process that serves one client alone: its requests behind each other were
// read without a wait, so that no timer fired and nobody else was served.
#[test]
fn timers_fire_while_a_client_pipelines_requests() {
    run(async {
        let mut conn = accept_sender(REQUEST.repeat(500), 2000).await;
        let ended = Rc::new(Cell::new(false));
        let ends = Rc::clone(&ended);
        monoio::spawn(async move {
            while let Ok(Some(_)) = conn.read_request(4096).await {}
            ends.set(true);
        });
        for number in 0..TIMERS {
            monoio::time::sleep(Duration::from_millis(5)).await;
            assert!(!ended.get(), "all requests were served before timer {number} fired");
        }
    });
}
