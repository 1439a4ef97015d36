//! Relays updates of the store from the hosts that watch it to the others.
//!
//! A host that does not watch the store, a follower, keeps a connection to a host that does. The
//! follower first sends the revision up to which it knows each feed; from then on it receives
//! changes, and for each feed the staleness: how long ago the sender last knew that it had all
//! changes.
//!
//! The same port takes the connections on which hosts [pass on](super::forward) calls.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use monoio::io::{AsyncReadRent, AsyncReadRentExt as _, AsyncWriteRentExt as _};
use monoio::net::{TcpListener, TcpStream};
use serde::{Deserialize, Serialize};

use super::{access, config, route, store, task, updates};
use crate::pace;

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

/// The position of the feed `Orders` in [`FEEDS`].
const ORDERS: usize = 0;

/// A message between a host and its follower.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// The revision up to which the follower knows each feed; the follower's first message.
    Known([store::Revision; FEEDS.len()]),
    /// Changes of a feed, or a snapshot of it.
    Update {
        feed: store::Feed,
        is_snapshot: bool,
        revision: store::Revision,
        items: Vec<store::Change>,
    },
    /// How long ago the store was last known to have nothing newer, by feed, in milliseconds. Builds
    /// that keep the staleness of orders within a bound append eras to it, which are empty.
    Staleness([u32; FEEDS.len()]),
    /// The first message of a connection that carries calls; HTTP/1.1 requests follow.
    Calls,
}

/// The eras of a message, which are appended to it: builds without eras ignore what follows a
/// message.
#[derive(Debug, Serialize, Deserialize)]
struct Eras {
    /// The eras of the revisions in the message, in order.
    revisions: Vec<store::Era>,
    /// The eras of the orders of moves among the items of the message, in order.
    orders: Vec<store::Era>,
    /// The sender's sighting of the configuration in the message.
    config: config::Sighting,
}

impl Eras {
    fn of_known(known: &[store::Revision]) -> Eras {
        let revisions = known.iter().map(|revision| revision.era).collect();
        Eras { revisions, orders: Vec::new(), config: config::Sighting::default() }
    }

    fn of_update(
        revision: store::Revision,
        items: &[store::Change],
        config: config::Sighting,
    ) -> Eras {
        let orders = items.iter().filter_map(|item| match item {
            store::Change::Move { order: Some(order), .. } => Some(order.revision.era),
            _ => None,
        });
        Eras { revisions: vec![revision.era], orders: orders.collect(), config }
    }

    /// Sets the eras of the orders among the items of an update.
    fn complete(&self, items: &mut [store::Change]) {
        let orders = items.iter_mut().filter_map(|item| match item {
            store::Change::Move { order: Some(order), .. } => Some(order),
            _ => None,
        });
        for (order, era) in orders.zip(&self.orders) {
            order.revision.era = *era;
        }
    }
}

/// What follows the eras of an update and of [`Message::Calls`]: builds without organisations ignore
/// it. On a connection that carries calls, it says that the sender believes no caller that claims
/// that its key was checked.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Organisations {
    /// The parts that the configurations among the items of the message lack, in order.
    configs: Vec<access::Appendix>,
}

impl Organisations {
    fn of_items(items: &[store::Change]) -> Organisations {
        let tables = items.iter().filter_map(|item| match item {
            store::Change::Config(table) => Some(access::Appendix::of(table)),
            _ => None,
        });
        Organisations { configs: tables.collect() }
    }

    /// Completes the configurations among the items of an update.
    fn complete(self, items: &mut [store::Change]) {
        let tables = items.iter_mut().filter_map(|item| match item {
            store::Change::Config(table) => Some(table),
            _ => None,
        });
        for (table, appendix) in tables.zip(self.configs) {
            appendix.complete(Rc::make_mut(table));
        }
    }
}

/// What is appended to a message.
#[derive(Debug, Default)]
struct Appended {
    eras: Option<Eras>,
    organisations: Option<Organisations>,
}

impl From<Eras> for Appended {
    fn from(eras: Eras) -> Appended {
        Appended { eras: Some(eras), organisations: None }
    }
}

/// The build of a host that passes on calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// It knows organisations, and says of each call whether it has checked the key.
    KnowsOrganisations,
    /// It passes on header fields as callers have sent them.
    Earlier,
}

/// Serves the hosts that follow this one, and hands connections that carry calls to `serve_calls`.
pub async fn serve<F>(replica: Rc<updates::Replica>, listener: TcpListener, serve_calls: F)
where
    F: Fn(TcpStream, Sender) + 'static,
{
    let serve_calls = Rc::new(serve_calls);
    let pace = pace::Pace::of_listener();
    loop {
        match pace.step(listener.accept()).await {
            Ok((stream, from)) => {
                let (replica, serve_calls) = (Rc::clone(&replica), Rc::clone(&serve_calls));
                monoio::spawn(task::contain("follower", async move {
                    if let Err(error) = serve_host(&replica, stream, &*serve_calls).await {
                        tracing::debug!(event = "follower_lost", %from, %error);
                    }
                }));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                monoio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_host<F>(
    replica: &updates::Replica,
    mut stream: TcpStream,
    serve_calls: &F,
) -> io::Result<()>
where
    F: Fn(TcpStream, Sender),
{
    stream.set_nodelay(true)?;
    match with_timeout(IO_TIMEOUT, read(&mut stream)).await? {
        (Message::Known(known), appended) => {
            stream_updates(replica, stream, known, appended.eras).await
        }
        (Message::Calls, appended) => {
            let sender = match appended.organisations {
                Some(_) => Sender::KnowsOrganisations,
                None => Sender::Earlier,
            };
            serve_calls(stream, sender);
            Ok(())
        }
        (Message::Update { .. } | Message::Staleness(_), _) => Err(io::Error::other(
            "the first message of a host is neither its revisions nor `Calls`",
        )),
    }
}

async fn stream_updates(
    replica: &updates::Replica,
    mut stream: TcpStream,
    mut known: [store::Revision; FEEDS.len()],
    eras: Option<Eras>,
) -> io::Result<()> {
    for (feed, (number, known)) in FEEDS.into_iter().zip(known.iter_mut().enumerate()) {
        // A follower that knows no eras is assumed to be in the present one.
        let own = replica.journal(feed).revision().era;
        known.era =
            eras.as_ref().map_or(own, |eras| eras.revisions.get(number).map_or(own, |e| *e));
    }
    // Whether the configuration was last sent without its organisations.
    let mut lacks_organisations = false;
    loop {
        let seen = replica.change_counts();
        if lacks_organisations && !replica.config.lacks_organisations() {
            known[ORDERS].number = 0;
        }
        lacks_organisations = replica.config.lacks_organisations();
        for (feed, known) in FEEDS.into_iter().zip(&mut known) {
            if let Some((message, appended)) = update_since(replica, feed, known) {
                with_timeout(IO_TIMEOUT, write(&mut stream, &message, &appended)).await?;
            }
        }
        let now = Instant::now();
        let staleness =
            |feed| replica.journal(feed).staleness(now).as_millis().min(u32::MAX.into()) as u32;
        let message = Message::Staleness(FEEDS.map(staleness));
        let bounded = Appended::from(Eras::of_known(&[]));
        with_timeout(IO_TIMEOUT, write(&mut stream, &message, &bounded)).await?;
        replica.wait_for_change(seen, STALENESS_INTERVAL).await;
    }
}

/// Returns the update that a follower lacks of a feed, if any, and advances its revision.
fn update_since(
    replica: &updates::Replica,
    feed: store::Feed,
    known: &mut store::Revision,
) -> Option<(Message, Appended)> {
    let journal = replica.journal(feed);
    let revision = journal.revision();
    if revision <= *known {
        return None;
    }
    let since = journal.since(*known);
    *known = revision;
    let is_snapshot = since.is_none();
    let config = match is_snapshot {
        true => replica.config.sighting(),
        false => config::Sighting { era: revision.era, is_written: true },
    };
    let items = match since {
        Some(batches) => batches.iter().flat_map(|batch| batch.items.iter().cloned()).collect(),
        None => replica.snapshot(feed),
    };
    let appended = Appended {
        eras: Some(Eras::of_update(revision, &items, config)),
        organisations: Some(Organisations::of_items(&items)),
    };
    Some((Message::Update { feed, is_snapshot, revision, items }, appended))
}

/// Follows another host until `should_stop` returns true.
///
/// # Errors
///
/// Returns an error if the connection fails, or if the other host's replica is stale.
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
    let mut known = FEEDS.map(|feed| replica.journal(feed).revision());
    if replica.config.lacks_organisations() {
        // The configuration is requested again with all other orders.
        known[ORDERS].number = 0;
    }
    let eras = Appended::from(Eras::of_known(&known));
    with_timeout(IO_TIMEOUT, write(&mut stream, &Message::Known(known), &eras)).await?;
    tracing::info!(event = "following", provider = %origin);
    let pace = pace::Pace::of_connection();
    loop {
        let (message, Appended { eras, organisations }) =
            pace.step(with_timeout(IO_TIMEOUT, read(&mut stream))).await?;
        match message {
            Message::Update { feed, is_snapshot, mut revision, mut items } => {
                let now = Instant::now();
                let mut sighting = config::Sighting::default();
                if let Some(eras) = eras {
                    revision.era = eras.revisions.first().copied().unwrap_or_default();
                    eras.complete(&mut items);
                    sighting = eras.config;
                } else if replica.era() != store::Era::UNKNOWN {
                    replica.record_host_without_eras(origin, now);
                    return Err(io::Error::other("the followed host knows no eras of the store"));
                }
                organisations.unwrap_or_default().complete(&mut items);
                let would_lose =
                    |table: &route::Table| replica.config.would_lose_organisations(table);
                if items
                    .iter()
                    .any(|item| matches!(item, store::Change::Config(table) if would_lose(table)))
                {
                    replica.record_host_without_eras(origin, now);
                    return Err(io::Error::other("the followed host relays no organisations"));
                }
                let update = updates::Update { feed, is_snapshot, revision, items, sighting };
                replica.apply_relayed(update, now);
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
                let stale = FEEDS.into_iter().find(|&feed| {
                    let is_bounded = feed == store::Feed::Upstreams || eras.is_some();
                    let staleness = replica.journal(feed).staleness(now);
                    is_bounded && staleness > replica.max_staleness(feed)
                });
                if let Some(feed) = stale {
                    return Err(io::Error::other(format!("the followed host is behind in {feed}")));
                }
                if should_stop() {
                    return Ok(());
                }
            }
            Message::Known(_) | Message::Calls => {
                return Err(io::Error::other("unexpected message"))
            }
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

/// Encodes the first message of a connection that carries calls. It says that this build removes
/// from callers' requests what only hosts may say.
///
/// # Errors
///
/// Returns an error if the message cannot be serialized.
pub fn encode_calls() -> io::Result<Bytes> {
    let appended =
        Appended { eras: Some(Eras::of_known(&[])), organisations: Some(Organisations::default()) };
    encode(&Message::Calls, &appended).map(Bytes::from)
}

async fn write(stream: &mut TcpStream, message: &Message, appended: &Appended) -> io::Result<()> {
    stream.write_all(encode(message, appended)?).await.0.map(|_| ())
}

fn encode(message: &Message, appended: &Appended) -> io::Result<Vec<u8>> {
    let mut body = postcard::to_stdvec(message).map_err(io::Error::other)?;
    if let Some(eras) = &appended.eras {
        body.extend(postcard::to_stdvec(eras).map_err(io::Error::other)?);
    }
    if let Some(organisations) = &appended.organisations {
        body.extend(postcard::to_stdvec(organisations).map_err(io::Error::other)?);
    }
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

async fn read<R>(stream: &mut R) -> io::Result<(Message, Appended)>
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
    let (message, rest) = postcard::take_from_bytes(&body).map_err(io::Error::other)?;
    let (eras, rest) = take_appended(rest)?;
    let (organisations, _) = take_appended(rest)?;
    Ok((message, Appended { eras, organisations }))
}

/// Takes a part that is appended to a message from the bytes that follow; `None` at their end.
fn take_appended<'a, T>(bytes: &'a [u8]) -> io::Result<(Option<T>, &'a [u8])>
where
    T: Deserialize<'a>,
{
    if bytes.is_empty() {
        return Ok((None, bytes));
    }
    let (part, rest) = postcard::take_from_bytes(bytes).map_err(io::Error::other)?;
    Ok((Some(part), rest))
}
