//! The links between hosts and backends. A connection belongs to the host process that has opened
//! it, which the kernel's socket diagnostics tell.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const [i32; 2], len: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn send(fd: i32, data: *const u8, len: usize, flags: i32) -> isize;
    fn recv(fd: i32, data: *mut u8, len: usize, flags: i32) -> isize;
    fn close(fd: i32) -> i32;
}

/// Makes the close of a connection send a reset.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

#[derive(Debug, Default)]
struct State {
    /// The processes of all hosts.
    hosts: Vec<u32>,
    /// Those that are partitioned from all backends.
    cut: Vec<u32>,
    /// The connections of each.
    open: Vec<(u32, TcpStream)>,
}

/// Which hosts are partitioned from all backends.
#[derive(Debug, Clone, Default)]
pub struct Links(Arc<Mutex<State>>);

impl Links {
    pub fn set_hosts(&self, hosts: Vec<u32>) {
        self.0.lock().unwrap().hosts = hosts;
    }

    /// Returns whether a connection of each host is known.
    pub fn knows_all(&self) -> bool {
        let state = self.0.lock().unwrap();
        state.hosts.iter().all(|host| state.open.iter().any(|(owner, _)| owner == host))
    }

    /// Partitions a host from all backends: its open connections and all new ones are reset.
    pub fn cut(&self, host: u32) {
        let mut state = self.0.lock().unwrap();
        state.cut.push(host);
        let (cut, kept) = state.open.drain(..).partition(|(owner, _)| *owner == host);
        state.open = kept;
        let cut: Vec<(u32, TcpStream)> = cut;
        for (_, stream) in &cut {
            reset_on_close(stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.0.lock().unwrap().cut.clear();
    }

    /// Records a new connection; returns whether its host is partitioned.
    pub fn is_cut(&self, stream: &TcpStream) -> bool {
        let hosts = self.0.lock().unwrap().hosts.clone();
        let ends = stream.peer_addr().ok().zip(stream.local_addr().ok());
        let owner = ends.and_then(|(peer, own)| owner(peer, own, &hosts));
        let Some(owner) = owner else { return false };
        let mut state = self.0.lock().unwrap();
        if let Ok(copy) = stream.try_clone() {
            state.open.push((owner, copy));
        }
        state.cut.contains(&owner)
    }
}

/// Returns the process among `hosts` that has opened the connection from `peer`.
fn owner(peer: SocketAddr, own: SocketAddr, hosts: &[u32]) -> Option<u32> {
    if hosts.is_empty() {
        return None;
    }
    let inode = format!("socket:[{}]", inode(peer, own)?);
    hosts.iter().copied().find(|host| {
        let descriptors = std::fs::read_dir(format!("/proc/{host}/fd"));
        descriptors.into_iter().flatten().flatten().any(|entry| {
            std::fs::read_link(entry.path()).is_ok_and(|target| target.as_os_str() == &*inode)
        })
    })
}

/// Asks the kernel for the inode of the socket that is connected from `peer` to `own`.
fn inode(peer: SocketAddr, own: SocketAddr) -> Option<u32> {
    const AF_NETLINK: i32 = 16;
    const SOCK_RAW: i32 = 3;
    const NETLINK_SOCK_DIAG: i32 = 4;
    const SOCK_DIAG_BY_FAMILY: u16 = 20;
    const NLM_F_REQUEST: u16 = 1;
    const AF_INET: u8 = 2;
    const IPPROTO_TCP: u8 = 6;
    let (SocketAddr::V4(peer), SocketAddr::V4(own)) = (peer, own) else { return None };
    // `nlmsghdr`, then `inet_diag_req_v2`.
    let mut request = Vec::with_capacity(72);
    request.extend_from_slice(&72u32.to_ne_bytes());
    request.extend_from_slice(&SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend_from_slice(&NLM_F_REQUEST.to_ne_bytes());
    request.extend_from_slice(&[0; 8]);
    request.extend_from_slice(&[AF_INET, IPPROTO_TCP, 0, 0]);
    request.extend_from_slice(&u32::MAX.to_ne_bytes());
    request.extend_from_slice(&peer.port().to_be_bytes());
    request.extend_from_slice(&own.port().to_be_bytes());
    for ip in [peer.ip(), own.ip()] {
        request.extend_from_slice(&ip.octets());
        request.extend_from_slice(&[0; 12]);
    }
    request.extend_from_slice(&[0; 4]);
    request.extend_from_slice(&[0xff; 8]);
    let mut response = [0; 1024];
    let len = unsafe {
        let fd = socket(AF_NETLINK, SOCK_RAW, NETLINK_SOCK_DIAG);
        if fd < 0 {
            return None;
        }
        send(fd, request.as_ptr(), request.len(), 0);
        let len = recv(fd, response.as_mut_ptr(), response.len(), 0);
        close(fd);
        len
    };
    let kind = u16::from_ne_bytes([response[4], response[5]]);
    // `idiag_inode` is the last field of `inet_diag_msg`.
    let inode = response[84..88].try_into().map(u32::from_ne_bytes).ok()?;
    (len >= 88 && kind == SOCK_DIAG_BY_FAMILY).then_some(inode)
}
