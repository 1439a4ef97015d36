//! A host that steers: it holds the lease where it can, and writes the moves' row under it.

use std::net::SocketAddr;
use std::time::Duration;

use basilhaven::{commit, lease, name, platform};
use bpaf::Bpaf;

use super::{block_on, exit_on_stdin_eof, print_ready};

/// The pause after a step without the lease.
const IDLE: Duration = Duration::from_millis(50);

/// How the host steers.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The platform
    #[bpaf(long, argument("ADDR"))]
    pub platform: SocketAddr,
    /// Its name
    #[bpaf(long, argument("NAME"))]
    pub name: name::Name,
    /// How long a lease lasts, in milliseconds
    #[bpaf(long, argument("MS"), fallback(1_000))]
    pub duration_ms: u64,
    /// The time from a look at the lease to the write, in milliseconds
    #[bpaf(long, argument("MS"), fallback(100))]
    pub work_ms: u64,
    /// Baseline: writes are not conditional on the lease's revision
    #[bpaf(long)]
    pub unfenced: bool,
}

/// Steers until its standard input ends.
pub fn run(options: Options) {
    exit_on_stdin_eof();
    print_ready(options.platform);
    block_on(async move {
        let client = platform::Client::new(options.platform);
        let own = lease::Holder { name: options.name.clone(), incarnation: 1 };
        let lease = lease::Lease::new(own, Duration::from_millis(options.duration_ms));
        loop {
            match lease.acquire_or_renew(&client).await {
                Some(token) => step(&options, &client, token).await,
                None => monoio::time::sleep(IDLE).await,
            }
        }
    });
}

/// Thinks for a while, then writes.
async fn step(options: &Options, client: &platform::Client, token: lease::Token) {
    let mut expect = revision(client).await;
    monoio::time::sleep(Duration::from_millis(options.work_ms)).await;
    let mut checks = vec![token.check()];
    if options.unfenced {
        expect = revision(client).await;
        checks.clear();
    }
    let Some(expect) = expect else { return };
    let value = serde_json::json!({"change": 0, "moves": {}, "by": options.name});
    let write = platform::Write { key: commit::MOVES_KEY.to_owned(), expect, value };
    // What is refused or lost is made up for by the next step.
    let _ = client.transact(&platform::Transaction { writes: vec![write], checks }).await;
}

async fn revision(client: &platform::Client) -> Option<u64> {
    match client.read(commit::MOVES_KEY, 0).await {
        Ok(platform::Read::Found(row)) => Some(row.revision),
        Ok(platform::Read::Absent) => Some(0),
        _ => None,
    }
}
