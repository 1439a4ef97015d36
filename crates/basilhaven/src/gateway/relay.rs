//! Passes news of the store from the hosts that watch it to the others.
//!
//! A host that does not watch the store keeps a connection to one that does. It tells up to where it
//! knows each part; from then on it is sent changes, and how sure the other one is to have all of them.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::{AsyncReadRent, AsyncReadRentExt as _, AsyncWriteRentExt as _};
use monoio::net::{TcpListener, TcpStream};
use serde::{Deserialize, Serialize};

use super::{store, updates};

/// How often a host tells how sure it is to have all news.
const TICK: Duration = Duration::from_millis(400);

/// Silence after which a connection to another host is given up: more than two ticks.
const SILENCE: Duration = Duration::from_millis(1000);

/// The longest that opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a host may have heard nothing of the store until others are asked instead: an upstream that
/// leaves has to be known within two seconds, and half of one is left for asking.
pub const MAX_STALENESS: Duration = Duration::from_millis(1400);

/// Bytes of a message; a configuration and a thousand upstreams take a tenth of it.
const MAX_MESSAGE_LEN: usize = 4 * 1024 * 1024;

/// Pause after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The parts of the store that are passed on.
pub const FEEDS: [store::Feed; 2] = [store::Feed::Orders, store::Feed::Upstreams];

/// What hosts send on such a connection.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// The revisions up to which the asking host knows the parts.
    Known([u64; FEEDS.len()]),
    /// Changes of a part, or all of it.
    News { feed: store::Feed, is_snapshot: bool, revision: u64, items: Vec<store::Change> },
    /// How long ago the store was known to have nothing newer, by part, in milliseconds.
    Tick([u32; FEEDS.len()]),
}

/// Serves hosts that follow this one.
pub async fn serve(replica: Rc<updates::Replica>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let replica = Rc::clone(&replica);
                monoio::spawn(async move {
                    if let Err(error) = pass_on(&replica, stream).await {
                        tracing::debug!(event = "follower_lost", %from, %error);
                    }
                });
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn pass_on(replica: &updates::Replica, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let first = within(SILENCE, read(&mut stream)).await?;
    let Message::Known(mut known) = first else {
        return Err(io::Error::other("a follower has to tell first what it knows"));
    };
    loop {
        let seen = replica.change_counts();
        for (feed, known) in FEEDS.into_iter().zip(&mut known) {
            if let Some(message) = news_since(replica, feed, known) {
                within(SILENCE, write(&mut stream, &message)).await?;
            }
        }
        let now = Instant::now();
        let age =
            |feed| replica.journal(feed).staleness(now).as_millis().min(u32::MAX.into()) as u32;
        within(SILENCE, write(&mut stream, &Message::Tick(FEEDS.map(age)))).await?;
        replica.wait_for_change(seen, TICK).await;
    }
}

/// What a follower lacks of a part, and that it has it from now on.
fn news_since(replica: &updates::Replica, feed: store::Feed, known: &mut u64) -> Option<Message> {
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
    Some(Message::News { feed, is_snapshot, revision, items })
}

/// Follows another host until it is lost, or has not heard of the store for too long, or `is_enough`.
pub async fn follow<F>(
    replica: &updates::Replica,
    provider: SocketAddr,
    is_enough: F,
) -> io::Result<()>
where
    F: Fn() -> bool,
{
    let mut stream = within(CONNECT_TIMEOUT, TcpStream::connect_addr(provider)).await?;
    stream.set_nodelay(true)?;
    let known = FEEDS.map(|feed| replica.journal(feed).revision());
    within(SILENCE, write(&mut stream, &Message::Known(known))).await?;
    tracing::info!(event = "following", %provider);
    loop {
        match within(SILENCE, read(&mut stream)).await? {
            Message::News { feed, is_snapshot, revision, items } => {
                replica.apply_update(feed, is_snapshot, revision, items, Instant::now());
            }
            Message::Tick(ages) => {
                let now = Instant::now();
                for (feed, age) in FEEDS.into_iter().zip(ages) {
                    let age = Duration::from_millis(age.into());
                    if let Some(at) = now.checked_sub(age) {
                        replica.journal(feed).confirm(at);
                    }
                }
                let age = replica.journal(store::Feed::Upstreams).staleness(now);
                replica.registry.note_store(age <= MAX_STALENESS, now);
                if age > MAX_STALENESS {
                    return Err(io::Error::other("the provider has lost the store"));
                }
                if is_enough() {
                    return Ok(());
                }
            }
            Message::Known(_) => return Err(io::Error::other("unexpected message")),
        }
    }
}

async fn within<F, T>(limit: Duration, work: F) -> io::Result<T>
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
        return Err(io::Error::other("a message is too long"));
    }
    let (result, body) = stream.read_exact(vec![0; len]).await;
    result?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}
