//! Which heartbeats hosts send to each other, and what a host learns from them.

use std::net::SocketAddr;
use std::time::Instant;

use super::roles::STORE_FAILURE_TIME;
use super::{Heartbeat, Members, Peer, State, View};

/// Number of hosts to which a host sends each of its heartbeats, along with those that it forwards,
/// in a small and in a large cluster.
const FANOUT: usize = 3;
const FANOUT_IN_LARGE_CLUSTER: usize = 2;

/// Datagrams to other data centres in a large cluster, as a share of those that a uniform choice
/// among all hosts would send there. The total number of datagrams stays the same.
const REMOTE_SHARE: f64 = 0.5;

/// The most heartbeats in one datagram, which take 1,700 bytes at most.
pub(super) const MAX_HEARTBEATS: usize = 48;

impl Members {
    /// Merges heartbeats received from a host; returns whether they include a host or an
    /// incarnation that was not known.
    pub fn merge(&self, from: SocketAddr, heartbeats: &[Heartbeat], now: Instant) -> bool {
        let own = self.own.get().peer_addr();
        let dead_after = self.dead_after();
        let mut peers = self.peers.borrow_mut();
        let mut has_new = false;
        for &heartbeat in heartbeats.iter().filter(|heartbeat| heartbeat.peer_addr() != own) {
            let address = heartbeat.peer_addr();
            let known = peers.get(&address).copied();
            let same_process =
                known.filter(|known| known.heartbeat.incarnation == heartbeat.incarnation);
            let is_newer = match (same_process, known) {
                (Some(known), _) => heartbeat.sequence > known.heartbeat.sequence,
                // A new incarnation counts only if the host itself sent it, or the known one is
                // dead.
                (None, Some(known)) => {
                    address == from || now.saturating_duration_since(known.received_at) > dead_after
                }
                (None, None) => true,
            };
            if !is_newer {
                continue;
            }
            let mut heartbeat = heartbeat;
            if let Some(known) = same_process {
                heartbeat.keep_known(&known.heartbeat);
            }
            let sent_at = now.checked_sub(heartbeat.age()).unwrap_or(now);
            // A known host has been heard of with its earlier heartbeats.
            let received_at = if known.is_some() { now } else { sent_at };
            peers.insert(address, Peer { heartbeat, received_at, sent_at });
            if same_process.is_none() {
                has_new = true;
                self.last_met.set(now);
            }
            let has_same_state = same_process.is_some_and(|known| {
                known.heartbeat.state == heartbeat.state && known.heartbeat.reach == heartbeat.reach
            });
            if !has_same_state {
                self.advertised.borrow_mut().invalidate();
            }
        }
        has_new
    }

    /// Merges the heartbeats of a datagram as [`merge`](Members::merge) does, and returns whether
    /// they include a new host, and the heartbeats to respond with, one item a datagram.
    ///
    /// A young host that knows fewer hosts than this one gets the heartbeats of all. So hosts that
    /// were all restarted at once know each other within a few heartbeats, and the responses end
    /// once they do. A host that is new, or starting and looking for a host that is ready, gets one
    /// datagram.
    pub fn exchange(
        &self,
        from: SocketAddr,
        heartbeats: &[Heartbeat],
        now: Instant,
    ) -> (bool, Vec<Vec<Heartbeat>>) {
        let Some(sender) = heartbeats.first() else { return (false, Vec::new()) };
        let is_new_sender = {
            let peers = self.peers.borrow();
            let known = peers.get(&sender.peer_addr()).map(|peer| peer.heartbeat.incarnation);
            known != Some(sender.incarnation)
        };
        let has_new = self.merge(from, heartbeats, now);
        let view = sender.view;
        let is_waiting = sender.state == State::Starting && self.state() == State::Ready;
        // Hosts of earlier builds do not say what they know.
        let may_lack = is_new_sender || has_new && view == View::default();
        let responses = if view.is_young && usize::from(view.hosts) < self.live_count(now) {
            self.all_heartbeats(now)
        } else if may_lack || is_waiting {
            self.all_heartbeats(now).into_iter().take(1).collect()
        } else {
            Vec::new()
        };
        (has_new, responses)
    }

    /// Returns the heartbeats of all live hosts, one item a datagram. Each has this host's first,
    /// so that it counts as received from this host.
    fn all_heartbeats(&self, now: Instant) -> Vec<Vec<Heartbeat>> {
        // A response to a response is not wanted.
        let view = View { is_young: false, ..self.view(now) };
        let own = Heartbeat { view, ..self.own.get() };
        let others = self.live(now).split_off(1);
        match others.is_empty() {
            true => vec![vec![own]],
            false => {
                let parts = others.chunks(MAX_HEARTBEATS - 1);
                parts.map(|part| std::iter::once(&own).chain(part).copied().collect()).collect()
            }
        }
    }

    /// Returns what this host says of the hosts that it knows.
    fn view(&self, now: Instant) -> View {
        let hosts = u16::try_from(self.live_count(now)).unwrap_or(u16::MAX);
        View { hosts, is_young: self.is_young(now) }
    }

    /// Increments this host's sequence number; returns the heartbeats to send, and their targets.
    pub fn next_heartbeat(&self, now: Instant) -> (Vec<Heartbeat>, Vec<SocketAddr>) {
        let own = self.own.get();
        let failed_at = self.store_failed_at.get();
        let has_failed_recently = failed_at
            .is_some_and(|since| now.saturating_duration_since(since) < STORE_FAILURE_TIME);
        self.own.set(Heartbeat {
            sequence: own.sequence + 1,
            can_read_store: !has_failed_recently,
            view: self.view(now),
            ..own
        });
        let mut heartbeats = self.live(now);
        let mut targets = match self.is_large_cluster() {
            true => mostly_local_targets(&own, &heartbeats[1..]),
            false => sample(heartbeats[1..].iter().collect(), FANOUT),
        };
        let undiscovered: Vec<SocketAddr> = {
            let seeds = self.seeds.borrow();
            let is_known =
                |address: &SocketAddr| heartbeats.iter().any(|p| p.peer_addr() == *address);
            seeds.iter().filter(|address| !is_known(address)).copied().collect()
        };
        if targets.is_empty() {
            targets = undiscovered;
        } else if let Some(seed) = fastrand::choice(&undiscovered) {
            targets.push(*seed);
        }
        heartbeats.truncate(MAX_HEARTBEATS);
        (heartbeats, targets)
    }
}

/// Returns the targets of a heartbeat in a large cluster. Hosts of the same data centre are chosen
/// more often than uniformly, because datagrams between data centres are expensive.
fn mostly_local_targets(own: &Heartbeat, others: &[Heartbeat]) -> Vec<SocketAddr> {
    let (local, remote): (Vec<&Heartbeat>, Vec<&Heartbeat>) =
        others.iter().partition(|heartbeat| heartbeat.data_centre == own.data_centre);
    let remote_share = REMOTE_SHARE * remote.len() as f64 / others.len() as f64;
    let remote_count =
        (0..FANOUT_IN_LARGE_CLUSTER).filter(|_| fastrand::f64() < remote_share).count();
    let local_count = local.len().min(FANOUT_IN_LARGE_CLUSTER - remote_count);
    let mut targets = sample(local, local_count);
    targets.extend(sample(remote, FANOUT_IN_LARGE_CLUSTER - local_count));
    targets
}

/// Returns `count` hosts chosen at random.
fn sample(mut hosts: Vec<&Heartbeat>, count: usize) -> Vec<SocketAddr> {
    fastrand::shuffle(&mut hosts);
    hosts.into_iter().take(count).map(Heartbeat::peer_addr).collect()
}
