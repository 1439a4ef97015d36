//! A stand-in for a coordinator of moves: it acquires the lease when it can, and writes the row of
//! moves while it holds the lease.

use std::net::SocketAddr;
use std::time::Duration;

use basilhaven::{commit, lease, name, platform};
use bpaf::Bpaf;

use super::{block_on, exit_on_stdin_eof, print_ready};

/// The interval between attempts to acquire the lease.
const ACQUIRE_INTERVAL: Duration = Duration::from_millis(50);

/// Command-line options of the coordinator.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Address of the platform
    #[bpaf(long, argument("ADDR"))]
    pub platform: SocketAddr,
    /// Name under which to hold the lease
    #[bpaf(long, argument("NAME"))]
    pub name: name::Name,
    /// Duration of the lease, in milliseconds
    #[bpaf(long, argument("MS"), fallback(1_000))]
    pub duration_ms: u64,
    /// Delay between the renewal of the lease and the write, in milliseconds
    #[bpaf(long, argument("MS"), fallback(100))]
    pub work_ms: u64,
    /// Write without the condition on the lease's revision, as a baseline
    #[bpaf(long)]
    pub unfenced: bool,
}

/// Runs the coordinator until its standard input is closed.
pub fn run(options: Options) {
    exit_on_stdin_eof();
    print_ready(options.platform);
    block_on(async move {
        let client = platform::Client::new(options.platform);
        let own = lease::Holder { name: options.name.clone(), incarnation: 1 };
        let lease = lease::Lease::new(own, Duration::from_millis(options.duration_ms));
        loop {
            match lease.acquire_or_renew(&client).await {
                Some(token) => write_moves(&options, &client, token).await,
                None => monoio::time::sleep(ACQUIRE_INTERVAL).await,
            }
        }
    });
}

/// Waits for [`Options::work_ms`], then writes the row of moves, fenced by the lease unless
/// [`Options::unfenced`] is set.
async fn write_moves(options: &Options, client: &platform::Client, token: lease::Token) {
    let mut expect = moves_revision(client).await;
    monoio::time::sleep(Duration::from_millis(options.work_ms)).await;
    let mut checks = vec![token.check()];
    if options.unfenced {
        expect = moves_revision(client).await;
        checks.clear();
    }
    let Some(expect) = expect else { return };
    let value = serde_json::json!({"change": 0, "moves": {}, "by": options.name});
    let write = platform::Write { key: commit::MOVES_KEY.to_owned(), expect, value };
    // A refused or lost write is not repeated; the next iteration writes again.
    let _ = client.transact(&platform::Transaction { writes: vec![write], checks }).await;
}

/// Returns the revision of the row of moves, or `None` if it can't be read.
async fn moves_revision(client: &platform::Client) -> Option<u64> {
    match client.read(commit::MOVES_KEY, 0).await {
        Ok(platform::Read::Found(row)) => Some(row.revision),
        Ok(platform::Read::Absent) => Some(0),
        _ => None,
    }
}
