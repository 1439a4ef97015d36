//! Advances the moves between versions if this host is the coordinator, which is the first of the
//! hosts that watch the store. Any other host sends its evidence on the versions to the
//! coordinator.

use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::udp::UdpSocket;

use super::cluster::datagram;
use super::{moves, store, updates};

/// Delay between two checks of the moves.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// How long a host that is not the coordinator waits for the first step of a move before it reads
/// the store; the coordinator broadcasts each step as soon as it is written.
const STEP_TIMEOUT: Duration = Duration::from_millis(500);

/// Uptime up to which a host reads the steps from the store without waiting, since the other hosts
/// may have started at the same time and know no steps either.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// Checks all moves periodically: advances them if this host is the coordinator, and sends its
/// evidence to the coordinator otherwise.
pub async fn run<S>(store: Rc<S>, replica: Rc<updates::Replica>, socket: Rc<UdpSocket>)
where
    S: store::Store,
{
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        let orders = replica.moves.orders(now);
        replica.moves.remove_finished_evidence();
        if orders.is_empty() {
            continue;
        }
        let coordinator = replica.members.remote_coordinator(now);
        if !replica.moves.has_read_steps.get()
            && needs_steps(&replica, &orders, coordinator.is_none(), now)
        {
            updates::load(&*store, store::Feed::Moves, &replica).await;
            continue;
        }
        let Some(coordinator) = coordinator else {
            coordinate(&*store, &replica, &socket).await;
            continue;
        };
        for evidence in replica.moves.local_evidence() {
            datagram::send(&socket, &datagram::Frame::evidence(evidence), coordinator).await;
        }
    }
}

/// Returns whether this host has to read the steps of moves from the store: as the coordinator, or
/// because no host has sent it the step of a move.
fn needs_steps(
    replica: &updates::Replica,
    orders: &[moves::Progress],
    is_coordinator: bool,
    now: Instant,
) -> bool {
    let timeout = match replica.members.uptime(now) < STARTUP_TIME {
        true => Duration::ZERO,
        false => STEP_TIMEOUT,
    };
    is_coordinator || orders.iter().any(|order| order.step.is_none() && order.age >= timeout)
}

/// Advances each move by one step or rolls it back, as the evidence of all hosts demands.
async fn coordinate<S>(store: &S, replica: &updates::Replica, socket: &UdpSocket)
where
    S: store::Store,
{
    for moves::Progress { service, order, age, step } in replica.moves.orders(Instant::now()) {
        let Some((step, step_age)) = step else {
            let stage = match replica.moves.is_proven(&service, &order.to) {
                true => moves::Stage::Full,
                false => moves::Stage::Trial,
            };
            write(store, replica, socket, first_step(&service, &order, stage)).await;
            continue;
        };
        if replica.moves.is_step_lost(&service) {
            write(store, replica, socket, step).await;
            continue;
        }
        // A proven version is not judged against an unproven one.
        let findings = match replica.moves.is_proven(&service, &order.to) {
            true => moves::evidence::Combined::default().into(),
            false => replica.moves.findings(&service, Instant::now()),
        };
        match moves::decide(&order, &step, age, step_age, &findings) {
            moves::Decision::Wait => {}
            moves::Decision::Advance(stage) => {
                write(store, replica, socket, moves::Step { stage, ..step }).await;
            }
            moves::Decision::Suspend => {
                let total = findings.all.total();
                tracing::warn!(
                    event = "move_suspended",
                    service = &*service,
                    to = &*step.to,
                    stage = %step.stage,
                    new_failed = total.new.failed,
                    new_responses = total.new.responses,
                    old_failed = total.old.failed,
                    old_responses = total.old.responses,
                );
                halt(replica, socket, &step).await;
            }
            moves::Decision::Resume => {
                tracing::info!(event = "move_resumed", service = &*service, to = &*step.to);
                write(store, replica, socket, step).await;
            }
            moves::Decision::RollBack(regression) => {
                tracing::info!(
                    event = "version_is_bad",
                    service = &*service,
                    to = &*step.to,
                    verdict = %regression,
                );
                if !step.halted {
                    halt(replica, socket, &step).await;
                }
                let stage = moves::Stage::RolledBack;
                write(store, replica, socket, moves::Step { stage, ..step }).await;
            }
        }
    }
}

/// Halts a move on all hosts, without a write to the store. The next step that is written ends it.
async fn halt(replica: &updates::Replica, socket: &UdpSocket, step: &moves::Step) {
    let halted = moves::Step { halted: true, ..step.clone() };
    replica.moves.apply_step(halted, Instant::now());
    datagram::broadcast(replica, socket).await;
}

fn first_step(service: &Rc<str>, order: &moves::Order, stage: moves::Stage) -> moves::Step {
    moves::Step {
        service: Rc::clone(service),
        to: Rc::clone(&order.to),
        order: order.revision,
        stage,
        revision: store::Revision::default(),
        halted: false,
        order_age_ms: 0,
    }
}

/// Writes a step on the condition that its row has not changed, and applies it once it is written.
async fn write<S>(store: &S, replica: &updates::Replica, socket: &UdpSocket, step: moves::Step)
where
    S: store::Store,
{
    let expected = replica.moves.step_revision(&step.service);
    match store.write_step(&step, expected).await {
        Ok(revision) => {
            replica.moves.mark_step_saved(&step.service);
            replica
                .moves
                .apply_step(moves::Step { revision, halted: false, ..step }, Instant::now());
            datagram::broadcast(replica, socket).await;
        }
        Err(error) => {
            tracing::warn!(event = "step_not_written", service = &*step.service, %error);
            // Another host may have written the row, or the write may have succeeded without a
            // response.
            if matches!(
                error,
                store::Error::Conflict | store::Error::Restored | store::Error::Unanswered(_)
            ) {
                replica.moves.has_read_steps.set(false);
            }
        }
    }
}
