//! Samples the memory and the descriptors that a process uses, from the operating system.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// The state of a listening socket in the table of sockets.
const LISTENING: &str = "0A";

/// The most that a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Peak {
    /// Resident bytes, and bytes received on its connections that it has not read.
    pub bytes: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// Samples what a process uses until it is finished.
#[derive(Debug)]
pub struct Monitor {
    is_finished: Arc<AtomicBool>,
    sampler: JoinHandle<Peak>,
}

impl Monitor {
    /// Starts to sample a process whose connections have one of these ports, on either side of the
    /// connection as seen from it: its own port for accepted connections, the peer's for opened ones.
    pub fn start(process: u32, own_ports: &[u16], peer_ports: &[u16]) -> Monitor {
        let is_finished = Arc::new(AtomicBool::new(false));
        let is_sampler_finished = Arc::clone(&is_finished);
        let [own_ports, peer_ports] = [own_ports, peer_ports].map(encode_ports);
        let sampler = std::thread::spawn(move || {
            let mut peak = Peak::default();
            while !is_sampler_finished.load(Ordering::Relaxed) {
                let bytes = resident_bytes(process) + unread_bytes(&own_ports, &peer_ports);
                peak.bytes = peak.bytes.max(bytes);
                peak.descriptors = peak.descriptors.max(descriptors(process));
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Monitor { is_finished, sampler }
    }

    /// Returns the most that the process has used.
    ///
    /// # Panics
    ///
    /// Panics if the sampler has panicked.
    pub fn finish(self) -> Peak {
        self.is_finished.store(true, Ordering::Relaxed);
        self.sampler.join().expect("the sampler does not panic")
    }
}

/// Returns ports as the ends of addresses in the table of sockets.
fn encode_ports(ports: &[u16]) -> Vec<String> {
    ports.iter().map(|port| format!(":{port:04X}")).collect()
}

/// Returns the number of open descriptors of a process; 0 if it has ended.
pub fn descriptors(process: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count) as u64
}

/// Returns the resident memory of a process; 0 if it has ended.
fn resident_bytes(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

/// Returns the bytes that the operating system has received on connections with these ports and that
/// the process has not read; they count as memory of the process.
fn unread_bytes(own_ports: &[String], peer_ports: &[String]) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (own, peer, state) = (fields.get(1)?, fields.get(2)?, fields.get(3)?);
        let is_own = own_ports.iter().any(|port| own.ends_with(port));
        let is_opened = peer_ports.iter().any(|port| peer.ends_with(port));
        let (_, unread) = fields.get(4)?.split_once(':')?;
        let unread = u64::from_str_radix(unread, 16).ok();
        unread.filter(|_| (is_own || is_opened) && *state != LISTENING)
    };
    table.lines().skip(1).filter_map(unread).sum()
}
