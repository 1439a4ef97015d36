//! Steers moves between versions, on the host whose turn it is.

use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::udp::UdpSocket;

use super::cluster::datagram;
use super::{moves, store, updates};

/// The pause between two looks at the moves.
const PAUSE: Duration = Duration::from_millis(150);

/// How long a host that does not steer waits to hear of a move's step before it reads the store: the host
/// that steers tells all others as soon as it has written one.
const STEP_PATIENCE: Duration = Duration::from_millis(500);

/// The time after its start in which a host does not wait: the others may have started with it.
const YOUNG_TIME: Duration = Duration::from_secs(2);

/// Looks at all moves again and again; steers them where it is this host's turn, and tells what it has
/// seen to the host whose turn it is where not.
pub async fn run<S>(store: Rc<S>, replica: Rc<updates::Replica>, socket: Rc<UdpSocket>)
where
    S: store::Store,
{
    loop {
        monoio::time::sleep(PAUSE).await;
        let now = Instant::now();
        let orders = replica.moves.orders(now);
        replica.moves.remove_finished_evidence();
        if orders.is_empty() {
            continue;
        }
        let leader = replica.members.remote_coordinator(now);
        if !replica.moves.has_read_steps.get()
            && needs_steps(&replica, &orders, leader.is_none(), now)
        {
            updates::load(&*store, store::Feed::Moves, &replica).await;
            continue;
        }
        let Some(leader) = leader else {
            steer(&*store, &replica, &socket).await;
            continue;
        };
        for evidence in replica.moves.local_evidence() {
            datagram::send(&socket, &datagram::Frame::Evidence(evidence), leader).await;
        }
    }
}

/// Whether this host has to read the steps of moves: to steer them, or since nobody tells it of one.
fn needs_steps(
    replica: &updates::Replica,
    orders: &[moves::Progress],
    is_leader: bool,
    now: Instant,
) -> bool {
    let patience = match replica.members.uptime(now) < YOUNG_TIME {
        true => Duration::ZERO,
        false => STEP_PATIENCE,
    };
    is_leader || orders.iter().any(|order| order.step.is_none() && order.age >= patience)
}

async fn steer<S>(store: &S, replica: &updates::Replica, socket: &UdpSocket)
where
    S: store::Store,
{
    for moves::Progress { service, order, age, step } in replica.moves.orders(Instant::now()) {
        let Some((step, step_age)) = step else {
            write(store, replica, socket, first_step(&service, &order)).await;
            continue;
        };
        let seen = replica.moves.combined_evidence(&service);
        match moves::decide(&order, step.stage, age, step_age, &seen) {
            moves::Decision::Wait => {}
            moves::Decision::Advance(_) if step.halted => {}
            moves::Decision::Advance(stage) => {
                write(store, replica, socket, moves::Step { stage, ..step }).await;
            }
            moves::Decision::RollBack(verdict) => {
                tracing::info!(event = "version_is_bad", service = &*service, to = &*step.to, %verdict);
                if !step.halted {
                    let braked = moves::Step { halted: true, ..step.clone() };
                    replica.moves.apply_step(braked, Instant::now());
                    datagram::broadcast(replica, socket).await;
                }
                let stage = moves::Stage::RolledBack;
                write(store, replica, socket, moves::Step { stage, ..step }).await;
            }
        }
    }
}

fn first_step(service: &Rc<str>, order: &moves::Order) -> moves::Step {
    moves::Step {
        service: Rc::clone(service),
        to: Rc::clone(&order.to),
        order: order.revision,
        stage: moves::Stage::Trial,
        revision: 0,
        halted: false,
        order_age_ms: 0,
    }
}

/// Writes a step under the condition that the row has not changed; it holds once that is done.
async fn write<S>(store: &S, replica: &updates::Replica, socket: &UdpSocket, step: moves::Step)
where
    S: store::Store,
{
    let expected = replica.moves.step_revision(&step.service);
    match store.write_step(&step, expected).await {
        Ok(revision) => {
            replica
                .moves
                .apply_step(moves::Step { revision, halted: false, ..step }, Instant::now());
            datagram::broadcast(replica, socket).await;
        }
        Err(error) => {
            tracing::warn!(event = "step_not_written", service = &*step.service, %error);
            // Another host may have written, or the write may have been done without an answer.
            if matches!(error, store::Error::Conflict | store::Error::Unanswered(_)) {
                replica.moves.has_read_steps.set(false);
            }
        }
    }
}
