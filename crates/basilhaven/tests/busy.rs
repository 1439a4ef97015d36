//! Connections on which data keeps arriving leave time for everything else.

use std::cell::Cell;
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

// Guards against a process that hangs while bodies in very small chunks arrive on many connections:
// its timers did not fire, so that no time limit was kept and no health check was answered.
#[test]
fn timers_fire_while_many_bodies_in_very_small_chunks_arrive() {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    builder.enable_timer().build().unwrap().block_on(async {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let ended = Rc::new(Cell::new(0));
        for _ in 0..CONNECTIONS {
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(address).unwrap();
                let chunks = b"1\r\nx\r\n".repeat(1000);
                // The test may be over before everything is sent.
                let _ = (0..CHUNKS / 1000).try_for_each(|_| stream.write_all(&chunks));
            });
            let mut conn = Conn::new(listener.accept().await.unwrap().0).unwrap();
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
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    builder.enable_timer().build().unwrap().block_on(async {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            let requests = REQUEST.repeat(500);
            // The test may be over before everything is sent.
            let _ = (0..2000).try_for_each(|_| stream.write_all(&requests));
        });
        let mut conn = Conn::new(listener.accept().await.unwrap().0).unwrap();
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
