//! The links between single hosts and all upstreams, which [proxies](super::proxy) before the
//! upstreams cut by the process that has opened a connection.

use std::fs;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use indexmap::IndexMap;

use super::proxy::Link;

/// The state of the links of each host process. A process must be known before it opens connections
/// that are to be cut later.
#[derive(Debug, Clone, Default)]
pub struct Links {
    by_process: Arc<Mutex<IndexMap<u32, Link>>>,
    owners: Arc<Mutex<Owners>>,
}

/// The processes that have opened the connections from each local port, as of a time.
#[derive(Debug, Default)]
struct Owners {
    read_at: Option<Instant>,
    by_port: IndexMap<u16, u32>,
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

    /// Returns the process that has opened a connection, which was accepted at `accepted_at` from
    /// this port; `None` if the connection is closed already.
    ///
    /// One reading of the system's tables serves all connections that were accepted before it.
    pub(super) fn owner(&self, port: u16, accepted_at: Instant) -> Option<u32> {
        let processes: Vec<u32> = self.lock().keys().copied().collect();
        let mut owners = self.owners.lock().expect("no thread panics while it holds the owners");
        if owners.read_at.is_none_or(|at| at < accepted_at) {
            owners.read_at = Some(Instant::now());
            owners.by_port = read_owners(&processes);
        }
        owners.by_port.get(&port).copied()
    }
}

/// Returns the owners of all established TCP connections, among these processes.
fn read_owners(processes: &[u32]) -> IndexMap<u16, u32> {
    let mut by_socket: IndexMap<String, u32> = IndexMap::new();
    for process in processes {
        let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else { continue };
        let targets = descriptors.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
        for target in targets {
            let target = target.to_string_lossy();
            if let Some(inode) = target.strip_prefix("socket:[") {
                by_socket.insert(inode.trim_end_matches(']').to_owned(), *process);
            }
        }
    }
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let owner = |row: &str| {
        let fields: Vec<&str> = row.split_whitespace().take(10).collect();
        let (local, inode) = (fields.get(1)?, fields.get(9)?);
        let port = u16::from_str_radix(local.split(':').nth(1)?, 16).ok()?;
        Some((port, *by_socket.get(*inode)?))
    };
    table.lines().filter_map(owner).collect()
}
