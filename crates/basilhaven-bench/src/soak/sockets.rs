//! Asks the kernel for a single TCP socket, by its diagnostics over netlink (`sock_diag(7)`).
//!
//! Reading the system's table of sockets instead takes tens of milliseconds while tens of thousands of
//! connections are in `TIME_WAIT`.

use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;

use nix::sys::socket::{self, AddressFamily, MsgFlags, SockFlag, SockProtocol, SockType};
use nix::unistd;

/// The type of requests and responses about one socket.
const SOCK_DIAG_BY_FAMILY: u16 = 20;

const NLM_F_REQUEST: u16 = 1;

/// The lengths of the request, which is `nlmsghdr` and `inet_diag_req_v2`, and of the response up to
/// the inode, the last field of `inet_diag_msg`.
const REQUEST_LEN: usize = 72;
const RESPONSE_LEN: usize = 88;

/// Returns the inode of the socket that is connected from `local` to `remote`; `None` if there is no
/// such socket, or if the addresses are not IPv4.
///
/// # Errors
///
/// Returns an error if the kernel cannot be asked.
pub fn inode(local: SocketAddr, remote: SocketAddr) -> io::Result<Option<u32>> {
    let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else { return Ok(None) };
    let mut request = Vec::with_capacity(REQUEST_LEN);
    request.extend_from_slice(&(REQUEST_LEN as u32).to_ne_bytes());
    request.extend_from_slice(&SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend_from_slice(&NLM_F_REQUEST.to_ne_bytes());
    // Sequence number and port of the sender.
    request.extend_from_slice(&[0; 8]);
    request.extend_from_slice(&[AddressFamily::Inet as u8, nix::libc::IPPROTO_TCP as u8, 0, 0]);
    // All states.
    request.extend_from_slice(&u32::MAX.to_ne_bytes());
    request.extend_from_slice(&local.port().to_be_bytes());
    request.extend_from_slice(&remote.port().to_be_bytes());
    for ip in [local.ip(), remote.ip()] {
        request.extend_from_slice(&ip.octets());
        request.extend_from_slice(&[0; 12]);
    }
    // Any interface, and no cookie.
    request.extend_from_slice(&[0; 4]);
    request.extend_from_slice(&[0xff; 8]);
    let response = ask(&request)?;
    let kind = response.get(4..6).map(|kind| u16::from_ne_bytes([kind[0], kind[1]]));
    let inode = response.get(RESPONSE_LEN - 4..RESPONSE_LEN).and_then(|b| b.try_into().ok());
    let is_found = kind == Some(SOCK_DIAG_BY_FAMILY);
    Ok(inode.filter(|_| is_found).map(u32::from_ne_bytes))
}

/// Sends a request to the kernel, and returns its response.
fn ask(request: &[u8]) -> io::Result<Vec<u8>> {
    let descriptor: RawFd = socket::socket(
        AddressFamily::Netlink,
        SockType::Raw,
        SockFlag::SOCK_CLOEXEC,
        SockProtocol::NetlinkSockDiag,
    )?;
    let mut buffer = vec![0; 1024];
    let exchanged = socket::send(descriptor, request, MsgFlags::empty())
        .and_then(|_| socket::recv(descriptor, &mut buffer, MsgFlags::empty()));
    unistd::close(descriptor)?;
    buffer.truncate(exchanged?);
    Ok(buffer)
}
