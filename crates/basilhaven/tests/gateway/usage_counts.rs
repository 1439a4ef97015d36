//! Counts of calls: windows, clocks, and their way to the coordinator.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::datagram::{decode, encode, Frame, MAX_DATAGRAM_LEN};
use basilhaven::gateway::cluster::{Members, Process, Record, State};
use basilhaven::gateway::usage::clock::{Clock, Reading, Wall};
use basilhaven::gateway::usage::counts::{
    Counter, Counts, Gathering, Ledger, Origin, Schedule, Window,
};
use basilhaven::gateway::usage::message::{Message, Outbox, Part};
use basilhaven::gateway::usage::{task::Usage, Settings};
use quickcheck::quickcheck;

const SCHEDULE: Schedule =
    Schedule { window: Duration::from_secs(5), late: Duration::from_secs(10) };

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 1).into()
}

fn origin(host: u8) -> Origin {
    Origin { host: address(host), incarnation: u64::from(host) << 50 }
}

fn target(host: u8) -> Process {
    Process { host: address(host), incarnation: 1 }
}

fn usage(host: u8) -> Usage {
    let settings = Settings {
        endpoint: address(200),
        window: Duration::from_secs(5),
        late: Duration::from_secs(10),
        lease: Duration::from_secs(3),
        thaw_slack: Duration::from_millis(300),
        rate: 50.0,
    };
    Usage::new(settings, &format!("host-{host}").into(), address(host))
}

/// Returns the counts of all windows together.
fn total(ledger: &Ledger) -> Counts {
    let mut windows: Vec<Window> = ledger.iter().map(|(window, _, _)| window).collect();
    windows.dedup();
    let mut total = Counts::new();
    for (name, count) in windows.iter().flat_map(|window| ledger.total(*window)) {
        *total.entry(name).or_default() += count;
    }
    total
}

/// Delivers messages to a host, and its acknowledgements back, except those for which `is_lost`
/// holds.
fn deliver<F>(from: &Usage, to: &Usage, of: (u8, u8), targets: &[Process], mut is_lost: F)
where
    F: FnMut() -> bool,
{
    let now = Instant::now();
    for (host, part) in from.outgoing(targets, now) {
        if host != address(of.1) || is_lost() {
            continue;
        }
        let reply = to.apply(address(of.0), Message::Counts(part), now).expect("a reply");
        if !is_lost() {
            assert_eq!(from.apply(address(of.1), reply, now), None);
        }
    }
}

#[test]
fn windows_begin_and_end_in_true_time() {
    let at = |seconds: f64| Wall::from(Duration::from_secs_f64(seconds));
    let window = 353_445_120;
    assert_eq!(SCHEDULE.window_at(at(1_767_225_600.0)), window);
    assert_eq!(SCHEDULE.window_at(at(1_767_225_604.999)), window);
    assert_eq!(SCHEDULE.end(window), at(1_767_225_605.0));
    let last_closed = |time, gathering| SCHEDULE.last_closed(at(time), gathering);
    assert_eq!(last_closed(1_767_225_608.4, Gathering::Done), Some(window - 1));
    assert_eq!(last_closed(1_767_225_608.6, Gathering::Done), Some(window));
    assert_eq!(last_closed(1_767_225_613.4, Gathering::Ongoing), Some(window - 1));
    assert_eq!(last_closed(1_767_225_613.6, Gathering::Ongoing), Some(window));
    assert!(!SCHEDULE.is_late(window, at(1_767_225_614.9)));
    assert!(SCHEDULE.is_late(window, at(1_767_225_615.0)));
    let now = at(1_767_225_615.0);
    assert!(SCHEDULE.is_late(SCHEDULE.first_in_time(now) - 1, now));
    assert!(!SCHEDULE.is_late(SCHEDULE.first_in_time(now), now));
}

// Guards against calls that are counted in wrong windows, or reports that seem late, because the
// time of day is set wrongly for some seconds.
#[test]
fn a_step_of_the_time_of_day_is_followed_only_once_it_has_lasted() {
    let clock = Clock::default();
    let seen = |boot: u64, day: u64| {
        let reading = Reading {
            boot: Duration::from_secs(boot).into(),
            day: Duration::from_secs(day).into(),
        };
        clock.observe(reading).since_epoch().as_secs()
    };
    assert_eq!(seen(10, 1_010), 1_010);
    // Stepped forward for 20 s, then back, then by another amount.
    assert_eq!(seen(11, 9_011), 1_011);
    assert_eq!(seen(31, 9_031), 1_031);
    assert_eq!(seen(32, 1_032), 1_032);
    assert_eq!(seen(33, 9_033), 1_033);
    assert_eq!(seen(45, 7_045), 1_045);
    assert_eq!(seen(62, 7_062), 1_062);
    // The second step has lasted for 30 s.
    assert_eq!(seen(75, 7_075), 7_075);
    assert_eq!(seen(76, 7_076), 7_076);
}

#[test]
fn a_call_is_counted_once_it_may_have_run_and_not_if_it_was_turned_away() {
    let counter = Counter::new(SCHEDULE, origin(1));
    let name: Rc<str> = "kaje80".into();
    let now = Instant::now();
    counter.begin(Some(&name), now).turned_away();
    assert!(counter.ledger.borrow().iter().next().is_none());
    drop(counter.begin(Some(&name), now));
    drop(counter.begin(None, now));
    assert_eq!(total(&counter.ledger.borrow()), Counts::from([(name, 1)]));
    let off = Counter::off();
    off.record(Some(&"kaje80".into()), now);
    assert!(off.ledger.borrow().iter().next().is_none());
}

// Guards against a call that ends after its window and is counted in the next one.
#[test]
fn a_call_is_counted_in_the_window_in_which_it_began() {
    let counter = Counter::new(SCHEDULE, origin(1));
    let began = Instant::now().checked_sub(Duration::from_secs(5)).expect("a host up for 5 s");
    let before = SCHEDULE.window_at(counter.clock.now());
    counter.record(Some(&"vopu11".into()), began);
    let counted: Vec<Window> = counter.ledger.borrow().iter().map(|(w, _, _)| w).collect();
    let after = SCHEDULE.window_at(counter.clock.now());
    assert!([before - 1, after - 1].contains(&counted[0]), "{counted:?} {before} {after}");
}

quickcheck! {
    // Guards against counts that depend on repeated, lost or overtaken messages.
    fn the_order_and_number_of_messages_do_not_matter(parts: Vec<(u8, u8, u8)>, seed: u64) -> bool {
        let mut random = fastrand::Rng::with_seed(seed);
        let messages = parts.iter().map(|(host, name, count)| {
            let counts = vec![(format!("organisation-{}", name % 4).into(), u64::from(*count))];
            Part { number: 0, origin: origin(host % 3), window: 7, counts }
        });
        let mut messages: Vec<Part> = messages.collect();
        let merged = |parts: &[Part]| {
            let mut ledger = Ledger::default();
            for part in parts {
                ledger.merge(part.window, part.origin, part.counts.iter().cloned());
            }
            ledger.total(7)
        };
        let expected = merged(&messages);
        messages.extend(messages.clone());
        random.shuffle(&mut messages);
        merged(&messages) == expected
    }

    // Guards against a host that is stopped by a message that no host of this build sends.
    fn hostile_messages_do_no_harm(bytes: Vec<u8>, windows: Vec<u64>) -> bool {
        let usage = usage(1);
        let now = Instant::now();
        let frame = [&[2, 0][..], &bytes].concat();
        if let Ok((Frame::Usage(message), _)) = decode(&frame) {
            usage.apply(address(2), message, now);
        }
        for window in windows {
            let window = SCHEDULE.window_at(usage.counter.clock.now()).wrapping_sub(window % 4);
            for host in [2, 3] {
                let counts = vec![("".into(), u64::MAX), ("kaje80".into(), u64::MAX)];
                let part = Part { number: window, origin: origin(host), window, counts };
                usage.apply(address(3), Message::Counts(part), now);
            }
            usage.apply(address(3), Message::Received(window), now);
            usage.outgoing(&[target(3)], now);
        }
        let ledger = usage.counter.ledger.borrow();
        let windows: Vec<Window> = ledger.iter().map(|(window, _, _)| window).collect();
        windows.iter().all(|window| !ledger.total(*window).is_empty())
    }

    // Guards against frames that are dropped because organisations have many or long names.
    fn parts_fit_into_frames_and_together_have_all_counts(names: u8, len: u8) -> bool {
        let mut ledger = Ledger::default();
        let len = usize::from(len).max(3);
        for number in 0..names {
            ledger.merge(u64::MAX - 1, origin(1), [(format!("{number:0len$}").into(), u64::MAX)]);
        }
        let parts = Outbox::default().parts(target(2), &ledger, |_| true);
        let sent: usize = parts.iter().map(|part| part.counts.len()).sum();
        let fits = |part: &Part| {
            let frame = Frame::Usage(Message::Counts(part.clone()));
            let bytes = encode(&frame).expect("plain data");
            bytes.len() <= MAX_DATAGRAM_LEN && decode(&bytes).expect("a frame").0 == frame
        };
        sent == usize::from(names) && parts.iter().all(fits)
    }
}

// The figures of customer 3, with names of 200 bytes.
#[test]
fn counts_of_85_organisations_are_split_over_frames() {
    let mut ledger = Ledger::default();
    for number in 0..85 {
        ledger.merge(353_445_120, origin(1), [(format!("{number:0200}").into(), 412)]);
    }
    let parts = Outbox::default().parts(target(2), &ledger, |_| true);
    assert!(parts.len() > 1, "{}", parts.len());
    assert_eq!(parts.iter().map(|part| part.counts.len()).sum::<usize>(), 85);
}

// Guards against an endless stream of counts that are known, and against lost counts.
#[test]
fn counts_are_repeated_until_they_are_acknowledged_and_then_only_if_they_rise() {
    fastrand::seed(3);
    let (sender, coordinator) = (usage(1), usage(2));
    let targets = [target(2)];
    let name: Rc<str> = "kaje80".into();
    for call in 1..=200 {
        sender.counter.record(Some(&name), Instant::now());
        deliver(&sender, &coordinator, (1, 2), &targets, || fastrand::f64() < 0.6);
        let known = total(&coordinator.counter.ledger.borrow());
        assert!(known.get(&name).is_none_or(|count| *count <= call));
    }
    deliver(&sender, &coordinator, (1, 2), &targets, || false);
    assert_eq!(total(&coordinator.counter.ledger.borrow()), Counts::from([(name, 200)]));
    assert!(sender.outgoing(&targets, Instant::now()).is_empty());
}

// Guards against a coordinator that has started again under its address and never gets the counts
// that its predecessor had acknowledged.
#[test]
fn a_coordinator_that_starts_again_gets_all_counts() {
    let sender = usage(1);
    sender.counter.record(Some(&"kaje80".into()), Instant::now());
    deliver(&sender, &usage(2), (1, 2), &[target(2)], || false);
    let (again, targets) = (usage(2), [Process { incarnation: 2, ..target(2) }]);
    deliver(&sender, &again, (1, 2), &targets, || false);
    assert_eq!(total(&again.counter.ledger.borrow()).get("kaje80"), Some(&1));
}

// Guards against counts that are lost when a host is killed and the coordinator is replaced by a
// host that had not received them.
#[test]
fn counts_of_a_silent_host_are_passed_on() {
    let (killed, second, coordinator) = (usage(1), usage(2), usage(3));
    killed.counter.record(Some(&"kaje80".into()), Instant::now());
    deliver(&killed, &second, (1, 2), &[target(2)], || false);
    // While the host sends its counts itself, they are not passed on.
    assert!(second.outgoing(&[target(3)], Instant::now()).is_empty());
    let later = Instant::now() + Duration::from_secs(4);
    assert!(coordinator.outgoing(&[target(2)], later).is_empty());
    let parts = second.outgoing(&[target(3)], later);
    assert_eq!(parts.len(), 1);
    for (_, part) in parts {
        coordinator.apply(address(2), Message::Counts(part), later);
    }
    assert_eq!(total(&coordinator.counter.ledger.borrow()).get("kaje80"), Some(&1));
    // They are not sent back to the host from which they came.
    assert!(coordinator.outgoing(&[target(2)], later).is_empty());
}

// Guards against memory that grows with messages for windows far away.
#[test]
fn counts_for_windows_far_away_are_not_kept() {
    let usage = usage(1);
    let now = SCHEDULE.window_at(usage.counter.clock.now());
    for window in [0, now - 4, now + 3, u64::MAX] {
        let counts = vec![("kaje80".into(), 1)];
        let part = Part { number: 9, origin: origin(2), window, counts };
        let reply = usage.apply(address(2), Message::Counts(part), Instant::now());
        assert_eq!(reply, Some(Message::Received(9)));
    }
    assert!(usage.counter.ledger.borrow().iter().next().is_none());
}

// Guards against counts that go to a host that would not take the coordinator's place.
#[test]
fn counts_go_to_the_coordinator_and_to_the_host_that_replaces_it() {
    let now = Instant::now();
    let member = |number: u8| {
        let record = Record {
            peer: address(number),
            callers: ([10, 0, 0, number], 2).into(),
            data_centre: "a".into(),
        };
        let member = Members::new(&record, number, now);
        member.set_state(State::Ready);
        member
    };
    let members: Vec<Members> = (1..=4).map(member).collect();
    let own = &members[0];
    for (number, other) in (2..).zip(&members[1..]) {
        own.merge(address(number), &other.next_heartbeat(now).0, now);
    }
    let hosts: Vec<SocketAddr> =
        own.remote_coordinators(now).iter().map(|target| target.host).collect();
    // Larger hosts come first.
    assert_eq!(hosts, [address(4), address(3)]);
    assert_eq!(own.remote_coordinator(now), Some(hosts[0]));
    members[3].set_state(State::Leaving);
    own.merge(address(4), &members[3].next_heartbeat(now).0, now);
    assert_eq!(own.remote_coordinator(now), Some(hosts[1]));
}
