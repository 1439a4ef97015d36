//! Stand-ins for the platform, upstreams, callers and other parts of the environment; each of those
//! for the older daemon runs as a separate process.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http::header::HeaderMap;

use basilhaven::http1::{self, body, head};

pub mod caller;
pub mod coordinator;
pub mod platform;
pub mod relay;
pub mod upstream;
pub mod users;

/// Prints the line that reports a stand-in as ready, with its address.
pub fn print_ready(address: SocketAddr) {
    println!("{}", serde_json::json!({"event": "ready", "address": address}));
}

/// Exits this process when its standard input is closed, so that no stand-in outlives the process
/// that started it.
pub fn exit_on_stdin_eof() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(0);
    });
}

/// Runs a future on this thread, with monoio's legacy (epoll) driver.
///
/// # Panics
///
/// Panics if the operating system refuses an event queue.
pub fn block_on<F>(future: F) -> F::Output
where
    F: std::future::Future,
{
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    builder.enable_timer().build().expect("an event queue").block_on(future)
}

/// Writes a response with this body.
///
/// # Errors
///
/// Returns an error if the connection fails.
pub async fn write_response(
    conn: &mut http1::Conn,
    status: http::StatusCode,
    headers: &HeaderMap,
    content: &[u8],
) -> std::io::Result<()> {
    let framing = body::Framing::Length(content.len() as u64);
    let encoded = head::encode_response(status, headers, framing, true);
    let mut message = BytesMut::from(&encoded[..]);
    message.extend_from_slice(content);
    conn.write(message.freeze()).await
}

/// Returns the body that belongs to a request's tag: the tag, a line feed and letters derived from
/// the tag, `len` bytes in all. Callers compare the response with it to detect bodies that are
/// truncated, mixed up or another call's.
pub fn body_for(tag: &str, len: usize) -> Bytes {
    let seed = tag.bytes().fold(7u64, |sum, b| sum.wrapping_mul(31).wrapping_add(b.into()));
    let mut random = fastrand::Rng::with_seed(seed);
    let mut content = tag.as_bytes().to_vec();
    content.push(b'\n');
    content.resize_with(len.max(content.len()), || random.lowercase() as u8);
    Bytes::from(content)
}
