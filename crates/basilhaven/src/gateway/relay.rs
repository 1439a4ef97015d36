//! Relays updates of the store from the hosts that watch it to the others.
//!
//! A host that does not watch the store, a follower, keeps a connection to a host that does. The
//! follower first sends the revision up to which it knows each feed; from then on it receives
//! changes, and for each feed the staleness: how long ago the sender last knew that it had all
//! changes.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::{AsyncReadRent, AsyncReadRentExt as _, AsyncWriteRentExt as _};
use monoio::net::{TcpListener, TcpStream};
use serde::{Deserialize, Serialize};

use super::{store, updates};

/// Maximum time between two staleness messages to a follower.
const STALENESS_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of one read or write on a connection between hosts: more than two staleness
/// intervals.
const IO_TIMEOUT: Duration = Duration::from_millis(1000);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Staleness of the list of upstreams above which a host looks for another source of updates. Hosts
/// have to learn within 2 s that an upstream is leaving; this leaves half a second for the switch.
pub const MAX_STALENESS: Duration = Duration::from_millis(1400);

/// Maximum length in bytes of a message; a configuration and a thousand upstreams take a tenth of
/// it.
const MAX_MESSAGE_LEN: usize = 4 * 1024 * 1024;

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The feeds of the store that hosts relay to each other.
pub const FEEDS: [store::Feed; 2] = [store::Feed::Orders, store::Feed::Upstreams];

/// A message between a host and its follower.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// The revision up to which the follower knows each feed; the follower's first message.
    Known([u64; FEEDS.len()]),
    /// Changes of a feed, or a snapshot of it.
    Update { feed: store::Feed, is_snapshot: bool, revision: u64, items: Vec<store::Change> },
    /// How long ago the store was last known to have nothing newer, by feed, in milliseconds.
    Staleness([u32; FEEDS.len()]),
}

/// Serves the hosts that follow this one.
pub async fn serve(replica: Rc<updates::Replica>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let replica = Rc::clone(&replica);
                monoio::spawn(async move {
                    if let Err(error) = stream_updates(&replica, stream).await {
                        tracing::debug!(event = "follower_lost", %from, %error);
                    }
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                monoio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn stream_updates(replica: &updates::Replica, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let first = with_timeout(IO_TIMEOUT, read(&mut stream)).await?;
    let Message::Known(mut known) = first else {
        return Err(io::Error::other("the first message of a follower is not its known revisions"));
    };
    loop {
        let seen = replica.change_counts();
        for (feed, known) in FEEDS.into_iter().zip(&mut known) {
            if let Some(message) = update_since(replica, feed, known) {
                with_timeout(IO_TIMEOUT, write(&mut stream, &message)).await?;
            }
        }
        let now = Instant::now();
        let staleness =
            |feed| replica.journal(feed).staleness(now).as_millis().min(u32::MAX.into()) as u32;
        with_timeout(IO_TIMEOUT, write(&mut stream, &Message::Staleness(FEEDS.map(staleness))))
            .await?;
        replica.wait_for_change(seen, STALENESS_INTERVAL).await;
    }
}

/// Returns the update that a follower lacks of a feed, if any, and advances its revision.
fn update_since(replica: &updates::Replica, feed: store::Feed, known: &mut u64) -> Option<Message> {
    let journal = replica.journal(feed);
    let revision = journal.revision();
    if revision <= *known {
        return None;
    }
    let since = journal.since(*known);
    *known = revision;
    let is_snapshot = since.is_none();
    let items = match since {
        Some(batches) => batches.iter().flat_map(|batch| batch.items.iter().cloned()).collect(),
        None => replica.snapshot(feed),
    };
    Some(Message::Update { feed, is_snapshot, revision, items })
}

/// Follows another host until `should_stop` returns true.
///
/// # Errors
///
/// Returns an error if the connection fails or the other host's list of upstreams is stale.
pub async fn follow<F>(
    replica: &updates::Replica,
    origin: SocketAddr,
    should_stop: F,
) -> io::Result<()>
where
    F: Fn() -> bool,
{
    let mut stream = with_timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(origin)).await?;
    stream.set_nodelay(true)?;
    let known = FEEDS.map(|feed| replica.journal(feed).revision());
    with_timeout(IO_TIMEOUT, write(&mut stream, &Message::Known(known))).await?;
    tracing::info!(event = "following", provider = %origin);
    loop {
        match with_timeout(IO_TIMEOUT, read(&mut stream)).await? {
            Message::Update { feed, is_snapshot, revision, items } => {
                replica.apply_update(feed, is_snapshot, revision, items, Instant::now());
            }
            Message::Staleness(ages) => {
                let now = Instant::now();
                for (feed, age) in FEEDS.into_iter().zip(ages) {
                    let age = Duration::from_millis(age.into());
                    if let Some(at) = now.checked_sub(age) {
                        replica.journal(feed).confirm(at);
                    }
                }
                let staleness = replica.journal(store::Feed::Upstreams).staleness(now);
                replica.registry.set_store_reachable(staleness <= MAX_STALENESS, now);
                if staleness > MAX_STALENESS {
                    return Err(io::Error::other("the followed host cannot reach the store"));
                }
                if should_stop() {
                    return Ok(());
                }
            }
            Message::Known(_) => return Err(io::Error::other("unexpected message")),
        }
    }
}

async fn with_timeout<F, T>(limit: Duration, work: F) -> io::Result<T>
where
    F: std::future::Future<Output = io::Result<T>>,
{
    match monoio::time::timeout(limit, work).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

async fn write(stream: &mut TcpStream, message: &Message) -> io::Result<()> {
    let body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    stream.write_all(bytes).await.0.map(|_| ())
}

async fn read<R>(stream: &mut R) -> io::Result<Message>
where
    R: AsyncReadRent,
{
    let (result, len) = stream.read_exact(vec![0; 4]).await;
    result?;
    let len = u32::from_le_bytes([len[0], len[1], len[2], len[3]]) as usize;
    if len > MAX_MESSAGE_LEN {
        return Err(io::Error::other("message exceeds the maximum length"));
    }
    let (result, body) = stream.read_exact(vec![0; len]).await;
    result?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}
