//! The links between single hosts and all upstreams, which [proxies](super::proxy) before the
//! upstreams cut by the process that has opened a connection.

use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::IndexMap;

use super::proxy::Link;

/// Lookups of the owner of a connection: a list that changes while it is read may lack entries.
const LOOKUPS: usize = 4;

/// The state of the links of each host process. A process must be known before it opens connections
/// that are to be cut later.
#[derive(Debug, Clone, Default)]
pub struct Links {
    by_process: Arc<Mutex<IndexMap<u32, Link>>>,
}

impl Links {
    fn lock(&self) -> MutexGuard<'_, IndexMap<u32, Link>> {
        self.by_process.lock().expect("no thread panics while it holds the links")
    }

    /// Sets the state of the links between a process and all upstreams, for open connections too.
    pub fn set_link(&self, process: u32, link: Link) {
        self.lock().insert(process, link);
    }

    /// Forgets a process that has ended.
    pub fn remove(&self, process: u32) {
        self.lock().shift_remove(&process);
    }

    /// Returns the state of the links of a process.
    pub(super) fn link_of(&self, process: u32) -> Link {
        self.lock().get(&process).copied().unwrap_or(Link::Open)
    }

    /// Returns whether all links are open.
    pub(super) fn are_open(&self) -> bool {
        self.lock().values().all(|link| *link == Link::Open)
    }

    /// Returns the process that has opened the connection with this local address.
    pub(super) fn owner(&self, local: SocketAddr) -> Option<u32> {
        let processes: Vec<u32> = self.lock().keys().copied().collect();
        (0..LOOKUPS).find_map(|_| {
            let socket = format!("socket:[{}]", socket_inode(local)?);
            processes.iter().copied().find(|process| owns(*process, &socket))
        })
    }
}

/// Returns the inode of the TCP socket with this local address.
fn socket_inode(local: SocketAddr) -> Option<String> {
    let SocketAddr::V4(local) = local else { return None };
    let address = u32::from_le_bytes(local.ip().octets());
    let address = format!("{address:08X}:{:04X}", local.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let row = table.lines().find(|row| row.split_whitespace().nth(1) == Some(&*address))?;
    row.split_whitespace().nth(9).map(str::to_owned)
}

/// Returns whether a process has a file descriptor for this socket.
fn owns(process: u32, socket: &str) -> bool {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    let mut targets = descriptors.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    targets.any(|target| target.as_os_str() == socket)
}
