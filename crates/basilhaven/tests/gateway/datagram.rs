//! The size of messages between hosts, and what becomes of moves that do not fit into one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::datagram::{decode, encode, Frame, MAX_DATAGRAM_LEN};
use basilhaven::gateway::cluster::{Heartbeat, Members, Record, State};
use basilhaven::gateway::moves::evidence::{Count, Evidence, Pair, Recent};
use basilhaven::gateway::moves::{Moves, Order, Stage, Step};
use basilhaven::gateway::store::Revision;
use indexmap::IndexMap;
use quickcheck::quickcheck;

fn revision(number: u64) -> Revision {
    Revision { era: 3.into(), number }
}

fn service(number: usize, len: usize) -> Rc<str> {
    format!("{number:0len$}").into()
}

/// Returns the moves of so many services, each with an order and a first step.
fn moves(services: usize, name_len: usize, now: Instant) -> Moves {
    let moves = Moves::default();
    for number in 0..services {
        let (service, order) = (service(number, name_len), revision(1_000_000 + number as u64));
        let (to, duration) = (Rc::<str>::from("v2"), Duration::from_secs(16));
        let known = Order { to: Rc::clone(&to), duration, revision: order };
        moves.apply_order(Rc::clone(&service), Some(known), now);
        let (stage, revision) = (Stage::Trial, revision(2_000_000 + number as u64));
        let step = Step { service, to, order, stage, revision, halted: false, order_age_ms: 9 };
        moves.apply_step(step, now);
    }
    moves
}

/// Returns the heartbeats of so many hosts.
fn heartbeats(hosts: u16, now: Instant) -> Vec<Heartbeat> {
    let member = |number: u16| {
        let [high, low] = number.to_be_bytes();
        let peer = SocketAddr::from(([10, 0, high, low], 65_000));
        let callers = SocketAddr::from(([10, 0, high, low], 65_001));
        let member = Members::new(&Record { peer, callers, data_centre: "a".into() }, 255, now);
        member.set_state(State::Ready);
        member
    };
    let own = member(0);
    for other in (1..hosts).map(member) {
        own.merge(other_addr(&other, now), &other.next_heartbeat(now).0, now);
    }
    own.next_heartbeat(now).0
}

fn other_addr(member: &Members, now: Instant) -> SocketAddr {
    member.next_heartbeat(now).0[0].peer_addr()
}

fn evidence(routes: usize, name_len: usize) -> Evidence {
    let counts = Count { responses: 1_000_000, failed: 1_000, seconds: 1e6 };
    let recent = Recent { responses: 7.5, failed: 1.5 };
    let pair = Pair { new: counts, old: counts, old_recent: recent };
    let total = Some(pair.clone());
    let routes = (0..routes).map(|n| (service(n, name_len), pair.clone()));
    Evidence { service: service(0, name_len), order: u64::MAX, routes: routes.collect(), total }
}

// Guards against heartbeats that are dropped because many services move.
#[test]
fn a_heartbeat_fits_into_a_datagram_however_many_services_move() {
    let now = Instant::now();
    for hosts in [8, 48, 472] {
        let steps = moves(170, "bindery-portal".len(), now).steps(now);
        let frame = Frame::heartbeats(heartbeats(hosts, now), steps);
        let bytes = encode(&frame).expect("plain data");
        assert!(bytes.len() <= MAX_DATAGRAM_LEN, "{hosts} hosts: {} bytes", bytes.len());
        let Frame::Heartbeats(sent, steps) = decode(&bytes).expect("a frame").0 else {
            panic!("not heartbeats");
        };
        assert!(sent.len() >= usize::from(hosts.min(48)) && !steps.is_empty());
    }
}

quickcheck! {
    fn frames_fit_whatever_the_numbers_and_names(services: u8, name_len: u8, hosts: u8) -> bool {
        let now = Instant::now();
        let name_len = usize::from(name_len).max(3);
        let steps = moves(services.into(), name_len, now).steps(now);
        let heartbeats = Frame::heartbeats(heartbeats(u16::from(hosts).max(1), now), steps);
        let evidence = Frame::evidence(evidence(services.into(), name_len));
        [heartbeats, evidence].iter().all(|f| encode(f).unwrap().len() <= MAX_DATAGRAM_LEN)
    }
}

#[test]
fn all_steps_reach_another_host_though_no_message_has_all() {
    fastrand::seed(7);
    let start = Instant::now();
    let (sender, receiver) = (moves(170, 14, start), Moves::default());
    let mut applied = 0;
    for interval in 0..40 {
        let now = start + Duration::from_millis(250) * interval;
        let Frame::Heartbeats(_, steps) = Frame::heartbeats(Vec::new(), sender.steps(now)) else {
            panic!("not heartbeats");
        };
        applied += steps.into_iter().filter(|step| receiver.apply_step(step.clone(), now)).count();
    }
    assert_eq!(applied, 170);
}

#[test]
fn a_step_that_was_just_applied_is_in_the_next_message() {
    let start = Instant::now();
    let moves = moves(170, 14, start);
    let now = start + Duration::from_secs(60);
    let newest = Step {
        stage: Stage::RolledBack,
        revision: revision(9_000_000),
        ..moves.steps(now).remove(99)
    };
    moves.apply_step(newest.clone(), now);
    assert_eq!(moves.steps(now)[0].service, newest.service);
}

#[test]
fn the_step_of_a_removed_order_is_not_sent() {
    let now = Instant::now();
    let moves = moves(2, 14, now);
    moves.apply_order(service(0, 14), None, now);
    let services: Vec<Rc<str>> = moves.steps(now).into_iter().map(|step| step.service).collect();
    assert_eq!(services, [service(1, 14)]);
}

// Guards against evidence that is never sent because a service has many routes.
#[test]
fn evidence_on_many_routes_reaches_the_coordinator_in_parts() {
    fastrand::seed(7);
    let now = Instant::now();
    let coordinator = moves(1, 14, now);
    let order = coordinator.orders(now)[0].order.revision.number;
    let all = Evidence { order, ..evidence(300, 14) };
    for _ in 0..60 {
        let Frame::Evidence(part) = Frame::evidence(all.clone()) else { panic!("not evidence") };
        coordinator.record_remote_evidence(([10, 0, 0, 1], 1).into(), part);
    }
    let known = coordinator.combined_evidence(&service(0, 14));
    assert_eq!(known.routes().len(), 300);
    let pairs: IndexMap<_, _> = all.routes.into_iter().collect();
    assert!(known.routes().iter().all(|(route, pair)| pairs.get(route) == Some(pair)));
}

// Guards against a sum over the routes that fitted into the messages so far, those with failures
// first.
#[test]
fn evidence_on_all_routes_is_in_each_message_and_ignored_by_earlier_builds() {
    let now = Instant::now();
    let coordinator = moves(1, 14, now);
    let order = coordinator.orders(now)[0].order.revision.number;
    let all = Evidence { order, ..evidence(300, 14) };
    let bytes = encode(&Frame::evidence(all.clone())).expect("plain data");
    let Frame::Evidence(part) = decode(&bytes).expect("a frame").0 else { panic!("not evidence") };
    assert!(part.routes.len() < 300);
    coordinator.record_remote_evidence(([10, 0, 0, 1], 1).into(), part.clone());
    assert_eq!(Some(coordinator.combined_evidence(&service(0, 14)).total()), all.total.as_ref());
    // Earlier builds read the frame and nothing after it, and send nothing after it.
    let (frame, rest) = postcard::take_from_bytes::<Frame>(&bytes).expect("a frame");
    let Frame::Evidence(earlier) = frame else { panic!("not evidence") };
    assert_eq!((&earlier.routes, &earlier.total), (&part.routes, &None));
    let (earlier, _) = decode(&bytes[..bytes.len() - rest.len()]).expect("a frame");
    let Frame::Evidence(earlier) = earlier else { panic!("not evidence") };
    let count = earlier.routes.len() as u32;
    coordinator.record_remote_evidence(([10, 0, 0, 2], 1).into(), earlier);
    let total = coordinator.combined_evidence(&service(0, 14)).total().clone();
    assert_eq!(total.new.responses, 1_000_000 * (1 + count));
}
