//! Clients that send requests to hosts all the time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::Client;
use crate::record::Record;

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    /// The host that it was sent to, by position.
    pub host: usize,
    pub sent: f64,
    /// The status of its answer; 0 for none.
    pub status: u16,
}

/// The paths of requests.
#[derive(Debug, Clone, Copy)]
pub enum Paths {
    One(&'static str),
    /// Each request goes to another one of so many routes.
    Spread(usize),
}

/// Clients with kept connections.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    requests: Arc<Mutex<Vec<Request>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts `clients` clients for each host, which pause for `gap` between two requests.
    pub fn start(
        hosts: &[SocketAddr],
        clients: usize,
        gap: Duration,
        (method, paths, ms): (&'static str, Paths, u64),
        record: &Record,
    ) -> Traffic {
        let mut traffic =
            Traffic { stop: Arc::default(), requests: Arc::default(), threads: Vec::new() };
        for (host, address) in hosts.iter().enumerate() {
            for client in 0..clients {
                let (stop, requests) = (traffic.stop.clone(), traffic.requests.clone());
                let (record, address) = (record.clone(), *address);
                traffic.threads.push(std::thread::spawn(move || {
                    let mut connection = Client::new(address);
                    let body: &[u8] = if method == "GET" { b"" } else { &[b'x'; 300] };
                    for number in 0.. {
                        if stop.load(Ordering::Relaxed) {
                            return;
                        }
                        let id = format!("{method}-{host}-{client}-{number}");
                        let sent = record.now();
                        let path = match paths {
                            Paths::One(path) => path.to_owned(),
                            Paths::Spread(count) => {
                                let position = number * 7919 + client * 104_729 + host * 1_299_709;
                                format!("/r{:05}/2f", position % count)
                            }
                        };
                        record.line(&format!("{id} is sent to host {host}"));
                        let answer = connection.call(method, &path, &id, ms, body);
                        record
                            .line(&format!("{id} is answered {} {}", answer.status, answer.error));
                        requests.lock().unwrap().push(Request {
                            id,
                            host,
                            sent,
                            status: answer.status,
                        });
                        std::thread::sleep(gap);
                    }
                }));
            }
        }
        traffic
    }

    /// Stops the clients, and returns all requests.
    pub fn finish(self) -> Vec<Request> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        std::mem::take(&mut *self.requests.lock().unwrap())
    }
}
