//! A relay for UDP and TCP on one port that can drop traffic, to simulate network partitions.
//!
//! It forwards datagrams in one direction only, because hosts send replies to each other's relays.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use basilhaven::http1::{self, body, client};
use bpaf::Bpaf;
use http::header::HeaderMap;
use monoio::io::Splitable as _;
use monoio::net::udp::UdpSocket;
use monoio::net::{TcpListener, TcpStream};
use serde::{Deserialize, Serialize};

use super::{block_on, exit_on_stdin_eof, write_response};

/// How many ports are tried until one is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 16;

/// The maximum length of a datagram, in bytes.
const MAX_DATAGRAM_LEN: usize = 2048;

/// Command-line options of the relay.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Address to listen on for control requests
    #[bpaf(long, argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub control: SocketAddr,
}

/// The state of the relay; a control request replaces all of it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Control {
    /// The address to which all traffic is forwarded; without it, all is dropped.
    pub target: Option<SocketAddr>,
    /// Senders whose datagrams are dropped.
    pub cut: Vec<SocketAddr>,
    /// Whether TCP connections are closed, open ones and new ones.
    pub cut_tcp: bool,
}

/// Runs the relay until its standard input is closed.
///
/// # Panics
///
/// Panics if it can't listen.
pub fn run(options: Options) {
    exit_on_stdin_eof();
    block_on(async move {
        let control_listener = basilhaven::entry::bind(options.control).expect("a free port");
        let (listener, socket) = bind();
        let address = listener.local_addr().expect("a bound socket");
        let control = control_listener.local_addr().expect("a bound socket");
        let ready = serde_json::json!({"event": "ready", "address": address, "control": control});
        println!("{ready}");
        let state = Rc::new(RefCell::new(Control::default()));
        monoio::spawn(serve_control(control_listener, Rc::clone(&state)));
        monoio::spawn(forward_connections(listener, Rc::clone(&state)));
        forward_datagrams(socket, &state).await;
    });
}

fn bind() -> (TcpListener, UdpSocket) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    for _ in 0..MAX_PORT_ATTEMPTS {
        let listener = basilhaven::entry::bind(any).expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        if let Ok(socket) = UdpSocket::bind(address) {
            return (listener, socket);
        }
    }
    panic!("no port is free for both TCP and UDP after {MAX_PORT_ATTEMPTS} attempts");
}

async fn serve_control(listener: TcpListener, state: Rc<RefCell<Control>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let Ok(mut conn) = http1::Conn::new(stream) else { continue };
        // The client sees the failure of its request.
        let _ = handle_control(&mut conn, &state).await;
    }
}

async fn handle_control(
    conn: &mut http1::Conn,
    state: &RefCell<Control>,
) -> Result<(), http1::Error> {
    let Some(request) = conn.read_request(64 * 1024).await? else { return Ok(()) };
    let mut reader = body::Reader::new(request.framing);
    let content = client::read_all(conn, &mut reader, 64 * 1024).await?;
    let status = match serde_json::from_slice(&content) {
        Ok(next) => {
            *state.borrow_mut() = next;
            http::StatusCode::OK
        }
        Err(_) => http::StatusCode::BAD_REQUEST,
    };
    write_response(conn, status, &HeaderMap::new(), b"").await?;
    Ok(())
}

async fn forward_datagrams(socket: UdpSocket, state: &RefCell<Control>) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    loop {
        let (result, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        let Ok((len, from)) = result else { continue };
        let target = state.borrow().target.filter(|_| !state.borrow().cut.contains(&from));
        if let Some(target) = target {
            // Datagrams may be lost, which hosts have to tolerate.
            let _ = socket.send_to(buffer[..len].to_vec(), target).await;
        }
    }
}

async fn forward_connections(listener: TcpListener, state: Rc<RefCell<Control>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let target = state.borrow().target.filter(|_| !state.borrow().cut_tcp);
        if let Some(target) = target {
            monoio::spawn(forward_connection(stream, target, Rc::clone(&state)));
        }
    }
}

/// Forwards a connection until either side closes it or the relay cuts TCP.
async fn forward_connection(stream: TcpStream, target: SocketAddr, state: Rc<RefCell<Control>>) {
    let Ok(target_stream) = TcpStream::connect_addr(target).await else { return };
    let (mut caller_read, mut caller_write) = stream.into_split();
    let (mut target_read, mut target_write) = target_stream.into_split();
    let to_target = std::pin::pin!(monoio::io::copy(&mut caller_read, &mut target_write));
    let to_caller = std::pin::pin!(monoio::io::copy(&mut target_read, &mut caller_write));
    let forwarding = futures_util::future::select(to_target, to_caller);
    let cut = std::pin::pin!(async {
        while !state.borrow().cut_tcp {
            monoio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    });
    futures_util::future::select(forwarding, cut).await;
}
