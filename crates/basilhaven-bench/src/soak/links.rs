//! The links between single hosts and all upstreams, which [proxies](super::proxy) before the
//! upstreams cut by the process that has opened a connection.

use std::fs;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::IndexMap;

use super::proxy::Link;
use super::sockets;

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

    /// Returns the process that has opened the connection from `client` to `server`; `None` if the
    /// connection is closed already, or if the process is not known here.
    pub(super) fn owner(&self, client: SocketAddr, server: SocketAddr) -> Option<u32> {
        let processes: Vec<u32> = self.lock().keys().copied().collect();
        let target = format!("socket:[{}]", sockets::inode(client, server).ok()??);
        processes.into_iter().find(|process| has_descriptor(*process, &target))
    }
}

/// Returns whether a process has an open descriptor with this target.
fn has_descriptor(process: u32, target: &str) -> bool {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    let mut targets = descriptors.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    targets.any(|own| own.as_os_str() == target)
}
