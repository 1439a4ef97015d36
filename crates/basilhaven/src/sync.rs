//! Keeps this host's copies of the replicated rows ([`replica::Row`]) up to date by polling the
//! platform and by pulling newer revisions from peers.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use monoio::io::{AsyncReadRentExt as _, AsyncWriteRentExt as _};
use monoio::net::{TcpListener, TcpStream};

use crate::{commit, config, difference, finding, node, pace, peer, platform, replica, wire};

/// The maximum mean interval between polls of a row while the platform does not respond, unless
/// [`platform::poll_interval`] is longer.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(4);

/// The maximum duration of one request to or from a peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a peer that failed to deliver a newer row is not asked again.
const EXCLUSION_TIME: Duration = Duration::from_secs(2);

/// The number of peers to which a host announces the rows that it has just applied, and that a
/// starting host asks for rows per round.
const FANOUT: usize = 4;

/// The mean interval between rounds in which a host without a configuration asks its peers.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum number of connections from peers that are served at one time.
const MAX_INBOUND: usize = 64;

/// The maximum size of a request from a peer, in bytes.
const MAX_REQUEST_LEN: usize = 1024;

/// The size of the chunks in which memory is allocated for an incoming message, in bytes.
const READ_CHUNK_LEN: usize = 64 * 1024;

/// The peers that have newer rows, and which rows this host has received at all.
#[derive(Debug, Default)]
pub struct State {
    // The peers that announced newer revisions than this host's, with these revisions.
    sources: RefCell<IndexMap<SocketAddr, replica::Revisions>>,
    // The peers that failed to deliver a newer row, with the time of the failure.
    excluded_peers: RefCell<IndexMap<SocketAddr, Instant>>,
    is_pulling: Cell<bool>,
    knows_config: Cell<bool>,
    knows_hosts: Cell<bool>,
}

impl State {
    /// Returns whether this host has received the configuration and the list of hosts, or knows
    /// that they do not exist.
    pub fn is_complete(&self) -> bool {
        self.knows_config.get() && self.knows_hosts.get()
    }

    /// Records that this host has received a row, or knows that it does not exist.
    pub fn mark_known(&self, row: replica::Row) {
        match row {
            replica::Row::Config => self.knows_config.set(true),
            replica::Row::Hosts => self.knows_hosts.set(true),
            replica::Row::Moves => {}
        }
    }

    /// Returns whether this host need not request a row because it has received it or knows that
    /// the row does not exist. Always true for the moves, without which a host can start.
    fn is_known(&self, row: replica::Row) -> bool {
        match row {
            replica::Row::Config => self.knows_config.get(),
            replica::Row::Hosts => self.knows_hosts.get(),
            replica::Row::Moves => true,
        }
    }

    fn add_source(&self, peer: SocketAddr, theirs: replica::Revisions) {
        let mut excluded = self.excluded_peers.borrow_mut();
        excluded.retain(|_, since| since.elapsed() < EXCLUSION_TIME);
        if !excluded.contains_key(&peer) {
            self.sources.borrow_mut().insert(peer, theirs);
        }
    }

    fn exclude(&self, peer: SocketAddr) {
        self.sources.borrow_mut().swap_remove(&peer);
        self.excluded_peers.borrow_mut().insert(peer, Instant::now());
    }

    /// Chooses a row of which a peer has a newer revision than `ours`, and one of the peers with
    /// the newest revision; removes peers that have no newer row.
    fn next_source(&self, ours: replica::Revisions) -> Option<(SocketAddr, replica::Row)> {
        let mut sources = self.sources.borrow_mut();
        sources.retain(|_, theirs| theirs.is_ahead_of(ours));
        replica::Row::ALL.into_iter().find_map(|row| {
            let newest = sources.values().map(|theirs| theirs.of(row)).max()?;
            let holders = sources.iter().filter(|(_, theirs)| theirs.of(row) == newest);
            let peers: Vec<SocketAddr> = holders.map(|(peer, _)| *peer).collect();
            let peer = (newest > ours.of(row)).then(|| fastrand::choice(peers))??;
            Some((peer, row))
        })
    }
}

/// Polls the rows of the platform, each in a loop of its own, until the process ends.
pub async fn poll(node: Rc<node::Node>) {
    let rows = replica::Row::ALL.map(|row| poll_row(&node, row));
    futures_util::future::join_all(rows).await;
}

async fn poll_row(node: &node::Node, row: replica::Row) {
    let Some(platform) = node.platform() else { return };
    let mut failures = 0;
    let mut rejected_revision = 0;
    loop {
        let before = platform.bytes_transferred();
        let known = node.rows().revisions.of(row).max(rejected_revision);
        let read = match row {
            replica::Row::Config => platform.read(commit::CONFIG_KEY, known).await,
            replica::Row::Moves => platform.read(commit::MOVES_KEY, known).await,
            replica::Row::Hosts => platform.host_list(known).await,
        };
        let has_no_update = matches!(read, Ok(platform::Read::Unchanged | platform::Read::Absent));
        failures = if read.is_ok() { 0 } else { failures + 1 };
        if let Ok(read) = read {
            if let Err(Rejected { revision, findings }) =
                apply_read(node, platform, row, read).await
            {
                rejected_revision = revision;
                report_rejected(row, "platform", &findings);
            }
        }
        if has_no_update {
            node.control_budget().charge((platform.bytes_transferred() - before) as f64);
        }
        let hosts = node.members().others().len() + 1;
        platform.set_host_count(hosts.max(node.rows().hosts.entries.len()));
        let interval = platform::poll_interval(platform.host_count());
        let longest = MAX_POLL_INTERVAL.max(interval);
        let interval = interval.saturating_mul(1 << failures.min(8)).min(longest);
        // Jitter keeps the hosts from polling at the same time.
        monoio::time::sleep(interval.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// A row that is not applied because its content is invalid.
struct Rejected {
    revision: u64,
    findings: finding::Findings,
}

async fn apply_read(
    node: &node::Node,
    platform: &platform::Client,
    row: replica::Row,
    read: platform::Read,
) -> Result<(), Rejected> {
    let found = match read {
        platform::Read::Found(found) => found,
        platform::Read::Unchanged => return Ok(()),
        platform::Read::Absent => {
            node.sync_state().mark_known(row);
            return Ok(());
        }
    };
    let revision = found.revision;
    let content = parse_content(platform, row, found.value).await;
    match content {
        Ok(Some(content)) => {
            node.apply(revision, content);
            node.sync_state().mark_known(row);
            Ok(())
        }
        // The object that holds the document cannot be read at present: the next poll tries again.
        Ok(None) => Ok(()),
        Err(findings) => Err(Rejected { revision, findings }),
    }
}

/// Parses and validates the value of a row. Returns `None` if the value refers to an object that
/// cannot be read at present.
async fn parse_content(
    platform: &platform::Client,
    row: replica::Row,
    value: serde_json::Value,
) -> Result<Option<replica::Content>, finding::Findings> {
    let mut findings = finding::Findings::default();
    let place = row.to_string();
    match row {
        replica::Row::Config => {
            let stored = commit::ConfigRow::try_from(value)?;
            let document = stored.document(platform).await?;
            Ok(document.map(|document| replica::Content::Config(Rc::new(document))))
        }
        replica::Row::Moves => {
            let stored: Option<commit::MovesRow> =
                findings.ok_or_add(place, serde_json::from_value(value));
            let content = stored.map(|stored| replica::Content::Moves(Rc::new(stored.moves)));
            findings.into_result(content)
        }
        replica::Row::Hosts => {
            let hosts: Option<config::Hosts> =
                findings.ok_or_add(place, serde_json::from_value(value));
            findings.into_result(hosts.map(|hosts| replica::Content::Hosts(Rc::new(hosts))))
        }
    }
}

fn report_rejected(row: replica::Row, source: &str, findings: &finding::Findings) {
    metrics::counter!("basilhaven_rows_refused_total", "row" => row.to_string()).increment(1);
    tracing::error!(event = "row_refused", %row, source, %findings);
}

/// Records the revisions that a peer has applied if any is newer than this host's, and starts a
/// task that pulls newer rows unless such a task is running.
pub fn pull_if_behind(node: &Rc<node::Node>, peer: SocketAddr, theirs: replica::Revisions) {
    if !theirs.is_ahead_of(node.rows().revisions) {
        return;
    }
    node.sync_state().add_source(peer, theirs);
    if node.sync_state().is_pulling.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    monoio::spawn(async move {
        pull(&node).await;
        node.sync_state().is_pulling.set(false);
    });
}

/// Pulls rows until no recorded peer has a newer one. A peer that delivers nothing newer is
/// excluded for [`EXCLUSION_TIME`].
async fn pull(node: &node::Node) {
    while let Some((peer, row)) = node.sync_state().next_source(node.rows().revisions) {
        let before = node.rows().revisions.of(row);
        if let Err(error) = pull_row(node, peer, row).await {
            tracing::debug!(event = "pull_failed", %peer, %row, %error);
        }
        if node.rows().revisions.of(row) <= before {
            metrics::counter!("basilhaven_pulls_failed_total", "row" => row.to_string())
                .increment(1);
            node.sync_state().exclude(peer);
        }
    }
}

/// Counts a pulled row by what the peer sent: the whole row or a difference.
fn count_pull(row: replica::Row, content: &'static str) {
    metrics::counter!("basilhaven_pulls_total", "row" => row.to_string(), "content" => content)
        .increment(1);
}

/// Pulls a row from a peer: for the list of hosts a difference if possible, otherwise the whole
/// row.
async fn pull_row(node: &node::Node, peer: SocketAddr, row: replica::Row) -> io::Result<()> {
    let known = node.rows().revisions.hosts;
    if row != replica::Row::Hosts || known == 0 {
        return pull_snapshot(node, peer, row).await;
    }
    match request(node, peer, &wire::Message::GetHostsSince(known)).await {
        Ok(wire::Message::Snapshot(snapshot)) if snapshot.row == row => {
            apply_snapshot(node, peer, &snapshot);
            Ok(())
        }
        Ok(wire::Message::Difference(difference)) => match apply_difference(node, &difference) {
            Ok(()) => Ok(()),
            Err(error) => {
                metrics::counter!("basilhaven_differences_refused_total").increment(1);
                tracing::warn!(event = "difference_refused", %peer, %error);
                pull_snapshot(node, peer, row).await
            }
        },
        Ok(_) => Err(io::Error::from(io::ErrorKind::InvalidData)),
        // A host of an earlier release does not know this request, and closes the connection.
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
            pull_snapshot(node, peer, row).await
        }
        Err(error) => Err(error),
    }
}

async fn pull_snapshot(node: &node::Node, peer: SocketAddr, row: replica::Row) -> io::Result<()> {
    let snapshot = request_row(node, peer, row).await?;
    apply_snapshot(node, peer, &snapshot);
    Ok(())
}

/// Applies a difference to the list of hosts. A difference that does not start from this host's
/// revision is ignored: the list has changed since the difference was requested.
fn apply_difference(
    node: &node::Node,
    difference: &difference::Difference,
) -> Result<(), difference::Error> {
    let rows = node.rows();
    if difference.from != rows.revisions.hosts {
        return Ok(());
    }
    let hosts = difference.apply(&rows.hosts)?;
    node.apply(difference.to, replica::Content::Hosts(Rc::new(hosts)));
    count_pull(replica::Row::Hosts, "difference");
    Ok(())
}

fn apply_snapshot(node: &node::Node, peer: SocketAddr, snapshot: &replica::Snapshot) {
    match replica::Content::try_from(snapshot) {
        Ok(content) => {
            node.apply(snapshot.revision, content);
            node.sync_state().mark_known(snapshot.row);
            count_pull(snapshot.row, "whole");
        }
        Err(findings) => report_rejected(snapshot.row, &peer.to_string(), &findings),
    }
}

/// Requests from peers the rows that this host has not received yet, until it has received them.
pub async fn bootstrap(node: Rc<node::Node>) {
    let Some(platform) = node.platform() else { return };
    let mut has_warned = false;
    loop {
        monoio::time::sleep(BOOTSTRAP_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        if node.sync_state().is_complete() {
            tracing::info!(event = "configured", config = node.rows().revisions.config);
            return;
        }
        if !platform.is_up() && !std::mem::replace(&mut has_warned, true) {
            tracing::warn!(event = "waiting_for_configuration");
        }
        let members = node.members().others().into_iter().map(|host| host.peer);
        let mut peers: Vec<SocketAddr> = members.collect();
        peers.extend(&node.settings().seeds);
        fastrand::shuffle(&mut peers);
        peers.truncate(FANOUT);
        for peer in peers {
            request_missing(&node, peer).await;
        }
    }
}

async fn request_missing(node: &node::Node, peer: SocketAddr) {
    for row in replica::Row::ALL.into_iter().filter(|row| !node.sync_state().is_known(*row)) {
        match request_row(node, peer, row).await {
            Ok(snapshot) => apply_snapshot(node, peer, &snapshot),
            Err(error) => {
                tracing::debug!(event = "pull_failed", %peer, %row, %error);
                return;
            }
        }
    }
}

/// Announces each row that this host applies to a few peers that have not applied it, until the
/// process ends. These peers pull the row and announce it to others.
pub async fn announce_applied(node: Rc<node::Node>) {
    loop {
        node.row_applied().await;
        let own = node.members().own();
        let mut behind = node.members().others();
        behind.retain(|host| own.revisions.is_ahead_of(host.revisions));
        fastrand::shuffle(&mut behind);
        for host in behind.into_iter().take(FANOUT) {
            let node = Rc::clone(&node);
            let message = wire::Message::Applied { peer: own.peer, revisions: own.revisions };
            monoio::spawn(async move {
                // A peer that is not reached learns the revisions from the next membership frame.
                let _ = monoio::time::timeout(PULL_TIMEOUT, send(&node, host.peer, &message)).await;
            });
        }
    }
}

async fn send(node: &node::Node, peer: SocketAddr, message: &wire::Message) -> io::Result<()> {
    let mut stream = TcpStream::connect_addr(peer).await?;
    write_message(node, &mut stream, message).await
}

async fn request_row(
    node: &node::Node,
    peer: SocketAddr,
    row: replica::Row,
) -> io::Result<replica::Snapshot> {
    match request(node, peer, &wire::Message::GetRow(row)).await? {
        wire::Message::Snapshot(snapshot) if snapshot.row == row => Ok(snapshot),
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}

/// Sends a message to a peer and reads the response.
async fn request(
    node: &node::Node,
    peer: SocketAddr,
    message: &wire::Message,
) -> io::Result<wire::Message> {
    let exchange = async {
        let mut stream = TcpStream::connect_addr(peer).await?;
        write_message(node, &mut stream, message).await?;
        read_message(node, &mut stream, wire::MAX_MESSAGE_LEN).await
    };
    match monoio::time::timeout(PULL_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
    }
}

/// Serves peers until the process ends.
pub async fn serve(node: Rc<node::Node>, listener: TcpListener) {
    let open_count = Rc::new(Cell::new(0));
    let pace = pace::Pace::of_listener();
    loop {
        let Ok((mut stream, _)) = pace.step(listener.accept()).await else {
            monoio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if open_count.get() >= MAX_INBOUND {
            metrics::counter!("basilhaven_peers_refused_total").increment(1);
            continue;
        }
        open_count.set(open_count.get() + 1);
        let (node, open_count) = (Rc::clone(&node), Rc::clone(&open_count));
        monoio::spawn(async move {
            let response = respond(&node, &mut stream);
            if let Ok(Err(error)) = monoio::time::timeout(PULL_TIMEOUT, response).await {
                tracing::debug!(event = "peer_refused", %error);
            }
            open_count.set(open_count.get() - 1);
        });
    }
}

async fn respond(node: &Rc<node::Node>, stream: &mut TcpStream) -> io::Result<()> {
    match read_message(node, stream, MAX_REQUEST_LEN).await? {
        // A host that has not received the rows itself closes the connection without a response.
        wire::Message::GetRow(row) if node.is_configured() => {
            let snapshot = node.rows().snapshot(row);
            write_message(node, stream, &wire::Message::Snapshot(snapshot)).await
        }
        wire::Message::GetHostsSince(known) if node.is_configured() => {
            let rows = node.rows();
            let response = match rows.hosts_since(known) {
                Some(difference) => wire::Message::Difference(difference),
                None => wire::Message::Snapshot(rows.snapshot(replica::Row::Hosts)),
            };
            write_message(node, stream, &response).await
        }
        wire::Message::Applied { peer, revisions } => {
            pull_if_behind(node, peer, revisions);
            Ok(())
        }
        wire::Message::Exchange(requester) => {
            write_message(node, stream, &peer::respond_to_exchange(node, requester)).await
        }
        wire::Message::GetRow(_)
        | wire::Message::GetHostsSince(_)
        | wire::Message::Snapshot(_)
        | wire::Message::Difference(_)
        | wire::Message::View(_) => Ok(()),
    }
}

pub(crate) async fn write_message(
    node: &node::Node,
    stream: &mut TcpStream,
    message: &wire::Message,
) -> io::Result<()> {
    let bytes = message.encode(&node.settings().peer_key);
    let bytes = bytes.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    metrics::counter!("basilhaven_control_bytes_total").increment(bytes.len() as u64);
    if bytes.len() <= MAX_REQUEST_LEN || matches!(message, wire::Message::Difference(_)) {
        node.control_budget().charge(bytes.len() as f64);
    }
    let (result, _) = stream.write_all((bytes.len() as u32).to_be_bytes().to_vec()).await;
    result?;
    let (result, _) = stream.write_all(bytes).await;
    result.map(|_| ())
}

pub(crate) async fn read_message(
    node: &node::Node,
    stream: &mut TcpStream,
    max_len: usize,
) -> io::Result<wire::Message> {
    let (result, len) = stream.read_exact(vec![0; 4]).await;
    result?;
    let len = u32::from_be_bytes(len.try_into().expect("four bytes")) as usize;
    if len > max_len {
        return Err(io::Error::new(io::ErrorKind::InvalidData, wire::Error::Length));
    }
    let mut bytes = Vec::new();
    while bytes.len() < len {
        // Memory is allocated as bytes arrive: a large length alone makes this host allocate
        // little.
        let (result, chunk) =
            stream.read_exact(vec![0; READ_CHUNK_LEN.min(len - bytes.len())]).await;
        result?;
        bytes.extend_from_slice(&chunk);
    }
    let message = wire::Message::decode(&bytes, &node.settings().peer_key);
    message.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
