//! A relay of UDP and TCP on one port, which cuts what it is told to.
//!
//! It passes datagrams on in one direction only: hosts answer to each other's relays.

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

/// Ports of the operating system's choice that are tried.
const PORT_TRIES: usize = 16;

/// The largest datagram.
const MAX_DATAGRAM_LEN: usize = 2048;

/// How the relay runs.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Where it takes orders of the experiment
    #[bpaf(long, argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub control: SocketAddr,
}

/// What the relay does from now on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Control {
    /// Where it passes everything on to.
    pub target: Option<SocketAddr>,
    /// Senders whose datagrams it drops.
    pub cut: Vec<SocketAddr>,
    /// Whether it closes every connection at once.
    pub cut_tcp: bool,
}

/// Runs a relay until its standard input ends.
///
/// # Panics
///
/// It can't listen.
pub fn run(options: Options) {
    exit_on_stdin_eof();
    block_on(async move {
        let orders = basilhaven::entry::bind(options.control).expect("a free port");
        let (listener, socket) = bind();
        let address = listener.local_addr().expect("a bound socket");
        let control = orders.local_addr().expect("a bound socket");
        let ready = serde_json::json!({"event": "ready", "address": address, "control": control});
        println!("{ready}");
        let state = Rc::new(RefCell::new(Control::default()));
        monoio::spawn(take_orders(orders, Rc::clone(&state)));
        monoio::spawn(pass_connections(listener, Rc::clone(&state)));
        pass_datagrams(socket, &state).await;
    });
}

fn bind() -> (TcpListener, UdpSocket) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    for _ in 0..PORT_TRIES {
        let listener = basilhaven::entry::bind(any).expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        if let Ok(socket) = UdpSocket::bind(address) {
            return (listener, socket);
        }
    }
    panic!("no port is free for both");
}

async fn take_orders(listener: TcpListener, state: Rc<RefCell<Control>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let Ok(mut conn) = http1::Conn::new(stream) else { continue };
        // A failed order is seen by who gave it.
        let _ = take_order(&mut conn, &state).await;
    }
}

async fn take_order(conn: &mut http1::Conn, state: &RefCell<Control>) -> Result<(), http1::Error> {
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

async fn pass_datagrams(socket: UdpSocket, state: &RefCell<Control>) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    loop {
        let (result, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        let Ok((len, from)) = result else { continue };
        let target = state.borrow().target.filter(|_| !state.borrow().cut.contains(&from));
        if let Some(target) = target {
            // A lost datagram is what the hosts must bear.
            let _ = socket.send_to(buffer[..len].to_vec(), target).await;
        }
    }
}

async fn pass_connections(listener: TcpListener, state: Rc<RefCell<Control>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let target = state.borrow().target.filter(|_| !state.borrow().cut_tcp);
        if let Some(target) = target {
            monoio::spawn(pass_connection(stream, target, Rc::clone(&state)));
        }
    }
}

/// Passes a connection on until either side ends it, or it is cut.
async fn pass_connection(stream: TcpStream, target: SocketAddr, state: Rc<RefCell<Control>>) {
    let Ok(onward) = TcpStream::connect_addr(target).await else { return };
    let (mut caller_read, mut caller_write) = stream.into_split();
    let (mut target_read, mut target_write) = onward.into_split();
    let there = std::pin::pin!(monoio::io::copy(&mut caller_read, &mut target_write));
    let back = std::pin::pin!(monoio::io::copy(&mut target_read, &mut caller_write));
    let passing = futures_util::future::select(there, back);
    let cut = std::pin::pin!(async {
        while !state.borrow().cut_tcp {
            monoio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    });
    futures_util::future::select(passing, cut).await;
}
