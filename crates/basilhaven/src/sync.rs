//! Keeps this host's rows up to date: by polls of the platform, and by pulls from peers.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use monoio::io::{AsyncReadRentExt as _, AsyncWriteRentExt as _};
use monoio::net::{TcpListener, TcpStream};

use crate::{commit, config, difference, finding, node, peer, platform, replica, wire};

/// The longest mean time between two polls of a row while the platform gives no answer.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(4);

/// How long one exchange with a peer may take.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a peer is passed over that failed to give a row.
const PASS_OVER: Duration = Duration::from_secs(2);

/// Peers that a host tells of rows that it has just applied.
const FANOUT: usize = 4;

/// The time between two rounds in which a host without a configuration asks its peers.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Exchanges that peers may have with this host at one time.
const MAX_INBOUND: usize = 64;

/// The most bytes of a message that a peer sends first.
const MAX_ASK_LEN: usize = 1024;

/// Bytes that are made room for before they arrive.
const READ_LEN: usize = 64 * 1024;

/// What a host knows of where its rows come from.
#[derive(Debug, Default)]
pub struct State {
    sources: RefCell<IndexMap<SocketAddr, replica::Revisions>>,
    passed_over: RefCell<IndexMap<SocketAddr, Instant>>,
    pulling: Cell<bool>,
    config_known: Cell<bool>,
    hosts_known: Cell<bool>,
}

impl State {
    /// Whether the configuration and the list of hosts are known, be it that there is none.
    pub fn is_complete(&self) -> bool {
        self.config_known.get() && self.hosts_known.get()
    }

    /// Takes in that a row is known.
    pub fn mark_known(&self, row: replica::Row) {
        match row {
            replica::Row::Config => self.config_known.set(true),
            replica::Row::Hosts => self.hosts_known.set(true),
            replica::Row::Moves => {}
        }
    }

    /// Whether a row is known.
    fn is_known(&self, row: replica::Row) -> bool {
        match row {
            replica::Row::Config => self.config_known.get(),
            replica::Row::Hosts => self.hosts_known.get(),
            replica::Row::Moves => true,
        }
    }

    fn add_source(&self, peer: SocketAddr, theirs: replica::Revisions) {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_, since| since.elapsed() < PASS_OVER);
        if !passed_over.contains_key(&peer) {
            self.sources.borrow_mut().insert(peer, theirs);
        }
    }

    fn pass_over(&self, peer: SocketAddr) {
        self.sources.borrow_mut().swap_remove(&peer);
        self.passed_over.borrow_mut().insert(peer, Instant::now());
    }

    /// A peer that has more of a row than `ours`, and the row; sources that have not are forgotten.
    fn next_source(&self, ours: replica::Revisions) -> Option<(SocketAddr, replica::Row)> {
        let mut sources = self.sources.borrow_mut();
        sources.retain(|_, theirs| theirs.is_ahead_of(ours));
        replica::Row::ALL.into_iter().find_map(|row| {
            let best = sources.values().map(|theirs| theirs.of(row)).max()?;
            let with_best = sources.iter().filter(|(_, theirs)| theirs.of(row) == best);
            let peers: Vec<SocketAddr> = with_best.map(|(peer, _)| *peer).collect();
            let peer = (best > ours.of(row)).then(|| fastrand::choice(peers))??;
            Some((peer, row))
        })
    }
}

/// Polls the platform until the process ends, each row in its own time.
pub async fn poll(node: Rc<node::Node>) {
    let rows = replica::Row::ALL.map(|row| poll_row(&node, row));
    futures_util::future::join_all(rows).await;
}

async fn poll_row(node: &node::Node, row: replica::Row) {
    let Some(platform) = node.platform() else { return };
    let mut failures = 0;
    let mut refused = 0;
    loop {
        let before = platform.bytes_transferred();
        let known = node.rows().revisions.of(row).max(refused);
        let read = match row {
            replica::Row::Config => platform.read(commit::CONFIG_KEY, known).await,
            replica::Row::Moves => platform.read(commit::MOVES_KEY, known).await,
            replica::Row::Hosts => platform.host_list(known).await,
        };
        let is_idle = matches!(read, Ok(platform::Read::Unchanged | platform::Read::Absent));
        failures = if read.is_ok() { 0 } else { failures + 1 };
        if let Ok(read) = read {
            if let Err(Refused { revision, findings }) = take(node, platform, row, read).await {
                refused = revision;
                refuse(row, "platform", &findings);
            }
        }
        if is_idle {
            node.control_budget().charge((platform.bytes_transferred() - before) as f64);
        }
        let hosts = node.members().others().len() + 1;
        platform.set_host_count(hosts.max(node.rows().hosts.entries.len()));
        let interval = platform::poll_interval(platform.host_count());
        let longest = MAX_POLL_INTERVAL.max(interval);
        let interval = interval.saturating_mul(1 << failures.min(8)).min(longest);
        // Jitter keeps the hosts from polling in step.
        monoio::time::sleep(interval.mul_f64(0.5 + fastrand::f64())).await;
    }
}

/// A row that is kept out.
struct Refused {
    revision: u64,
    findings: finding::Findings,
}

async fn take(
    node: &node::Node,
    platform: &platform::Client,
    row: replica::Row,
    read: platform::Read,
) -> Result<(), Refused> {
    let found = match read {
        platform::Read::Found(found) => found,
        platform::Read::Unchanged => return Ok(()),
        platform::Read::Absent => {
            node.sync_state().mark_known(row);
            return Ok(());
        }
    };
    let revision = found.revision;
    let content = content_of(platform, row, found.value).await;
    match content {
        Ok(Some(content)) => {
            node.apply(revision, content);
            node.sync_state().mark_known(row);
            Ok(())
        }
        // The object is out of reach: the next poll tries again.
        Ok(None) => Ok(()),
        Err(findings) => Err(Refused { revision, findings }),
    }
}

async fn content_of(
    platform: &platform::Client,
    row: replica::Row,
    value: serde_json::Value,
) -> Result<Option<replica::Content>, finding::Findings> {
    let mut findings = finding::Findings::default();
    let place = row.to_string();
    match row {
        replica::Row::Config => {
            let stored = commit::Stored::try_from(value)?;
            let document = stored.document(platform).await?;
            Ok(document.map(|document| replica::Content::Config(Rc::new(document))))
        }
        replica::Row::Moves => {
            let stored: Option<commit::StoredMoves> =
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

fn refuse(row: replica::Row, source: &str, findings: &finding::Findings) {
    metrics::counter!("basilhaven_rows_refused_total", "row" => row.to_string()).increment(1);
    tracing::error!(event = "row_refused", %row, source, %findings);
}

/// Takes in that a peer has applied these revisions, and pulls what this host lacks, in a task of its
/// own.
pub fn pull_if_behind(node: &Rc<node::Node>, peer: SocketAddr, theirs: replica::Revisions) {
    if !theirs.is_ahead_of(node.rows().revisions) {
        return;
    }
    node.sync_state().add_source(peer, theirs);
    if node.sync_state().pulling.replace(true) {
        return;
    }
    let node = Rc::clone(node);
    monoio::spawn(async move {
        pull(&node).await;
        node.sync_state().pulling.set(false);
    });
}

/// Pulls rows until no peer is known that is ahead; one that gives nothing newer is passed over.
async fn pull(node: &node::Node) {
    while let Some((peer, row)) = node.sync_state().next_source(node.rows().revisions) {
        let before = node.rows().revisions.of(row);
        if let Err(error) = pull_row(node, peer, row).await {
            tracing::debug!(event = "pull_failed", %peer, %row, %error);
        }
        if node.rows().revisions.of(row) <= before {
            metrics::counter!("basilhaven_pulls_failed_total", "row" => row.to_string())
                .increment(1);
            node.sync_state().pass_over(peer);
        }
    }
}

/// Counts rows that were pulled, by what came.
fn count_pull(row: replica::Row, content: &'static str) {
    metrics::counter!("basilhaven_pulls_total", "row" => row.to_string(), "content" => content)
        .increment(1);
}

/// Pulls a row from a peer: what has changed of it where that is enough, else the whole.
async fn pull_row(node: &node::Node, peer: SocketAddr, row: replica::Row) -> io::Result<()> {
    let known = node.rows().revisions.hosts;
    if row != replica::Row::Hosts || known == 0 {
        return pull_whole(node, peer, row).await;
    }
    match request(node, peer, &wire::Message::GetHostsSince(known)).await {
        Ok(wire::Message::Snapshot(copy)) if copy.row == row => {
            take_copy(node, peer, &copy);
            Ok(())
        }
        Ok(wire::Message::Difference(difference)) => match take_difference(node, &difference) {
            Ok(()) => Ok(()),
            Err(error) => {
                metrics::counter!("basilhaven_differences_refused_total").increment(1);
                tracing::warn!(event = "difference_refused", %peer, %error);
                pull_whole(node, peer, row).await
            }
        },
        Ok(_) => Err(io::Error::from(io::ErrorKind::InvalidData)),
        // A host of an earlier release does not know the question, and closes the connection.
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
            pull_whole(node, peer, row).await
        }
        Err(error) => Err(error),
    }
}

async fn pull_whole(node: &node::Node, peer: SocketAddr, row: replica::Row) -> io::Result<()> {
    let copy = ask(node, peer, row).await?;
    take_copy(node, peer, &copy);
    Ok(())
}

/// Takes in what has changed of the list of hosts; a difference that starts from another revision than
/// this host's changes nothing, for the list has moved on meanwhile.
fn take_difference(
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

fn take_copy(node: &node::Node, peer: SocketAddr, copy: &replica::Snapshot) {
    match replica::Content::try_from(copy) {
        Ok(content) => {
            node.apply(copy.revision, content);
            node.sync_state().mark_known(copy.row);
            count_pull(copy.row, "whole");
        }
        Err(findings) => refuse(copy.row, &peer.to_string(), &findings),
    }
}

/// Asks peers for the rows that this host does not know, until it knows them.
pub async fn bootstrap(node: Rc<node::Node>) {
    let Some(platform) = node.platform() else { return };
    let mut said = false;
    loop {
        monoio::time::sleep(ASK_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        if node.sync_state().is_complete() {
            tracing::info!(event = "configured", config = node.rows().revisions.config);
            return;
        }
        if !platform.is_up() && !std::mem::replace(&mut said, true) {
            tracing::warn!(event = "waiting_for_configuration");
        }
        let members = node.members().others().into_iter().map(|host| host.peer);
        let mut peers: Vec<SocketAddr> = members.collect();
        peers.extend(&node.settings().seeds);
        fastrand::shuffle(&mut peers);
        peers.truncate(FANOUT);
        for peer in peers {
            ask_unknown(&node, peer).await;
        }
    }
}

async fn ask_unknown(node: &node::Node, peer: SocketAddr) {
    for row in replica::Row::ALL.into_iter().filter(|row| !node.sync_state().is_known(*row)) {
        match ask(node, peer, row).await {
            Ok(copy) => take_copy(node, peer, &copy),
            Err(error) => {
                tracing::debug!(event = "pull_failed", %peer, %row, %error);
                return;
            }
        }
    }
}

/// Tells a few peers of each row that this host applies, until the process ends; they pull it, and
/// tell others.
pub async fn announce_applied(node: Rc<node::Node>) {
    loop {
        node.row_applied().await;
        let own = node.members().own();
        let mut behind = node.members().others();
        behind.retain(|host| own.revisions.is_ahead_of(host.revisions));
        fastrand::shuffle(&mut behind);
        for host in behind.into_iter().take(FANOUT) {
            let node = Rc::clone(&node);
            let newer = wire::Message::Applied { peer: own.peer, revisions: own.revisions };
            monoio::spawn(async move {
                // A peer that is not reached hears of it by a heartbeat.
                let _ = monoio::time::timeout(PULL_TIMEOUT, tell(&node, host.peer, &newer)).await;
            });
        }
    }
}

async fn tell(node: &node::Node, peer: SocketAddr, message: &wire::Message) -> io::Result<()> {
    let mut stream = TcpStream::connect_addr(peer).await?;
    write_message(node, &mut stream, message).await
}

async fn ask(
    node: &node::Node,
    peer: SocketAddr,
    row: replica::Row,
) -> io::Result<replica::Snapshot> {
    match request(node, peer, &wire::Message::GetRow(row)).await? {
        wire::Message::Snapshot(copy) if copy.row == row => Ok(copy),
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}

/// Sends a peer a message, and reads its answer.
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

/// Answers peers until the process ends.
pub async fn serve(node: Rc<node::Node>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            monoio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if open.get() >= MAX_INBOUND {
            metrics::counter!("basilhaven_peers_refused_total").increment(1);
            continue;
        }
        open.set(open.get() + 1);
        let (node, open) = (Rc::clone(&node), Rc::clone(&open));
        monoio::spawn(async move {
            let answered = answer(&node, &mut stream);
            if let Ok(Err(error)) = monoio::time::timeout(PULL_TIMEOUT, answered).await {
                tracing::debug!(event = "peer_refused", %error);
            }
            open.set(open.get() - 1);
        });
    }
}

async fn answer(node: &Rc<node::Node>, stream: &mut TcpStream) -> io::Result<()> {
    match read_message(node, stream, MAX_ASK_LEN).await? {
        // A row that this host does not know itself is no answer: the connection is closed.
        wire::Message::GetRow(row) if node.is_configured() => {
            let copy = node.rows().snapshot(row);
            write_message(node, stream, &wire::Message::Snapshot(copy)).await
        }
        wire::Message::GetHostsSince(known) if node.is_configured() => {
            let rows = node.rows();
            let answer = match rows.hosts_since(known) {
                Some(difference) => wire::Message::Difference(difference),
                None => wire::Message::Snapshot(rows.snapshot(replica::Row::Hosts)),
            };
            write_message(node, stream, &answer).await
        }
        wire::Message::Applied { peer, revisions } => {
            pull_if_behind(node, peer, revisions);
            Ok(())
        }
        wire::Message::Exchange(asker) => {
            write_message(node, stream, &peer::respond_to_exchange(node, asker)).await
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
    if bytes.len() <= MAX_ASK_LEN || matches!(message, wire::Message::Difference(_)) {
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
        // Room is made as bytes arrive: a length alone makes this host hold nothing.
        let (result, piece) = stream.read_exact(vec![0; READ_LEN.min(len - bytes.len())]).await;
        result?;
        bytes.extend_from_slice(&piece);
    }
    let message = wire::Message::decode(&bytes, &node.settings().peer_key);
    message.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
