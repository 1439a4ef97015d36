//! The lease and the reports: what holders do when answers are lost, processes are paused or
//! replaced, and the store is restored from a copy.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use basilhaven::gateway::store::{
    self, Revision, UsageReport, UsageRows, UsageWrite, UsageWritten,
};
use basilhaven::gateway::usage::clock::{Boot, Wall};
use basilhaven::gateway::usage::counts::{Counts, Gathering, Ledger, Origin, Window};
use basilhaven::gateway::usage::endpoint::{Answer, Report};
use basilhaven::gateway::usage::holder::{Holder, Pending, Step};
use basilhaven::gateway::usage::lease::{self, Event, Token};
use basilhaven::gateway::usage::Settings;

/// True time at the start of each test: the start of a window.
const START_S: u64 = 1_767_225_600;

fn settings() -> Settings {
    Settings {
        endpoint: ([127, 0, 0, 1], 9).into(),
        window: Duration::from_secs(5),
        late: Duration::from_secs(10),
        lease: Duration::from_secs(3),
        thaw_slack: Duration::from_millis(300),
        rate: 50.0,
    }
}

fn boot(ms: u64) -> Boot {
    Duration::from_millis(1_000_000 + ms).into()
}

fn wall(ms: u64) -> Wall {
    (Duration::from_secs(START_S) + Duration::from_millis(ms)).into()
}

/// The window that begins this many windows after the start of the test.
fn window(number: u64) -> Window {
    START_S / 5 + number
}

fn unanswered() -> store::Error {
    store::Error::Unanswered(io::ErrorKind::TimedOut.into())
}

/// The rows of the store.
#[derive(Debug, Clone, Default)]
struct Rows {
    revision: u64,
    lease: Option<(lease::Row, u64)>,
    reports: BTreeMap<Window, (Rc<Counts>, u64)>,
}

/// The store: a write takes effect if its conditions hold, whatever era it was meant for.
#[derive(Debug)]
struct Store {
    era: u64,
    rows: Rows,
    /// By how much the store's clock is ahead of the tests' time.
    clock_ms: u64,
}

impl Store {
    fn new() -> Store {
        Store { era: 1, rows: Rows { revision: 40, ..Rows::default() }, clock_ms: 7_000 }
    }

    fn at(&self, number: u64) -> Revision {
        Revision { era: self.era.into(), number }
    }

    fn read(&self, now: u64) -> UsageRows {
        let report = |(window, (counts, number)): (&Window, &(Rc<Counts>, u64))| UsageReport {
            window: *window,
            counts: Rc::clone(counts),
            revision: self.at(*number),
        };
        UsageRows {
            lease: self.rows.lease.as_ref().map(|(row, _)| row.clone()),
            lease_revision: self.at(self.rows.lease.as_ref().map_or(0, |(_, number)| *number)),
            reports: self.rows.reports.iter().map(report).collect(),
            unreadable: Vec::new(),
            newest: self.at(self.rows.revision),
            clock: Duration::from_millis(now + self.clock_ms),
        }
    }

    fn write(&mut self, write: &UsageWrite<'_>, now: u64) -> Result<UsageWritten, store::Error> {
        let rows = &mut self.rows;
        let lease_number = rows.lease.as_ref().map_or(0, |(_, number)| *number);
        let is_free = write.create.iter().all(|(window, _)| !rows.reports.contains_key(window));
        if lease_number != write.expected.number || !is_free {
            return Err(store::Error::Conflict);
        }
        rows.revision += 1;
        rows.lease = Some((write.lease.clone(), rows.revision));
        for (window, counts) in write.create {
            rows.reports.insert(*window, (Rc::clone(counts), rows.revision));
        }
        write.remove.iter().for_each(|(window, _)| drop(rows.reports.remove(window)));
        let clock = Duration::from_millis(now + self.clock_ms);
        let revision = self.at(self.rows.revision);
        match revision.era == write.expected.era {
            true => Ok(UsageWritten { revision, clock }),
            // The client compares the eras once the response has arrived.
            false => Err(store::Error::Restored),
        }
    }

    fn restore(&mut self, copy: &Rows) {
        self.rows = copy.clone();
        self.era += 1;
    }
}

/// What becomes of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Answered,
    /// It is done, but the answer is lost.
    AnswerLost,
    /// It is not done yet, and has no answer.
    Delayed,
}

/// A process that may hold the lease.
struct Host {
    name: Rc<str>,
    incarnation: u64,
    holder: Holder,
    ledger: Ledger,
    gathering: Gathering,
}

impl Host {
    fn new(name: &str, incarnation: u64) -> Host {
        let name = name.into();
        let holder = Holder::new(&settings(), &name, incarnation);
        Host { name, incarnation, holder, ledger: Ledger::default(), gathering: Gathering::Done }
    }

    fn count(&mut self, window: Window, organisation: &str, calls: u64) {
        let host = ([10, 0, 0, 1], 1).into();
        let origin = Origin { host, incarnation: self.incarnation };
        self.ledger.merge(window, origin, [(organisation.into(), calls)]);
    }

    fn step(&self, now: u64) -> Step {
        self.holder.step(boot(now), wall(now), (&self.ledger, self.gathering))
    }

    /// Makes the next call to the store, if one is due; returns a write that is not done yet.
    fn advance(&mut self, store: &mut Store, now: u64, fate: Fate) -> Option<Box<Pending>> {
        match self.step(now) {
            Step::Wait => None,
            Step::Read if fate == Fate::Answered => {
                self.holder.apply_read(&store.read(now), boot(now), boot(now));
                None
            }
            Step::Read => {
                self.holder.apply_failure(&unanswered(), boot(now));
                None
            }
            Step::Write(pending) if fate == Fate::Delayed => {
                self.holder.apply_failure(&unanswered(), boot(now));
                Some(pending)
            }
            Step::Write(pending) => {
                let result = store.write(&pending.rows(), now);
                match result {
                    _ if fate == Fate::AnswerLost => {
                        self.holder.apply_failure(&unanswered(), boot(now))
                    }
                    Ok(written) => drop(self.holder.apply_written(*pending, written, boot(now))),
                    Err(error) => self.holder.apply_failure(&error, boot(now)),
                }
                None
            }
        }
    }

    /// Makes calls to the store each 100 ms.
    fn advance_over(&mut self, store: &mut Store, from: u64, to: u64) {
        for now in (from..=to).step_by(100) {
            self.advance(store, now, Fate::Answered);
        }
    }

    fn next_report(&self, now: u64) -> Option<Report> {
        self.holder.next_report(boot(now), wall(now))
    }

    fn token(&self, now: u64) -> Option<Token> {
        self.holder.token(boot(now))
    }
}

/// Returns a holder, the store and the time. The lease was acquired after the wait that a store
/// without a lease requires, and the window before the first one is reported.
fn holder() -> (Host, Store, u64) {
    let (mut host, mut store) = (Host::new("front-a-1", 1), Store::new());
    host.advance_over(&mut store, 0, 3_700);
    let report = host.next_report(3_700).expect("a report");
    assert_eq!(report.window, window(0) - 1);
    host.holder.apply_answer(&report, Answer::Taken, boot(3_700));
    host.advance_over(&mut store, 3_800, 4_700);
    assert!(host.holder.holds(boot(4_700)) && store.rows.reports.is_empty());
    (host, store, 4_700)
}

// Guards against a report whose counts a new holder could not know.
#[test]
fn a_report_is_posted_only_once_its_row_is_stored() {
    let (mut host, mut store, now) = holder();
    host.count(window(0), "kaje80", 412);
    host.advance_over(&mut store, now, 8_400);
    assert_eq!(host.next_report(8_400), None, "the counts are not closed yet");
    for now in (8_500..9_500).step_by(100) {
        assert_eq!(host.next_report(now), None);
        host.advance(&mut store, now, Fate::Delayed);
    }
    host.advance_over(&mut store, 9_500, 10_200);
    let report = host.next_report(10_200).expect("a report");
    assert_eq!((report.window, report.counts.get("kaje80")), (window(0), Some(&412)));
    assert_eq!(&store.rows.reports[&window(0)].0, &report.counts);
}

#[test]
fn a_reported_window_is_not_posted_again_and_its_row_is_removed() {
    let (mut host, mut store, now) = holder();
    host.advance_over(&mut store, now, 8_700);
    let report = host.next_report(8_700).expect("a report");
    host.holder.apply_answer(&report, Answer::Taken, boot(8_700));
    assert_eq!(host.next_report(9_500), None);
    host.advance_over(&mut store, 8_800, 10_500);
    assert!(store.rows.reports.is_empty(), "{:?}", store.rows.reports);
    assert!(host.holder.take_missed(wall(30_000)).is_empty());
}

// Guards against two reports with different counts: the new holder knows others.
#[test]
fn a_new_holder_posts_exactly_the_rows_that_it_finds() {
    let (mut killed, mut store, now) = holder();
    killed.count(window(0), "kaje80", 412);
    killed.advance_over(&mut store, now, 8_700);
    let first = killed.next_report(8_700).expect("a report");
    let mut next = Host::new("front-b-1", 2);
    next.count(window(0), "kaje80", 400);
    next.count(window(1), "kaje80", 17);
    next.advance_over(&mut store, 9_000, 11_400);
    assert_eq!(next.next_report(11_400), None, "the lease has not ended");
    next.advance_over(&mut store, 11_500, 12_500);
    let again = next.next_report(12_500).expect("a report");
    assert_eq!((again.window, &again.counts), (first.window, &first.counts));
    assert!(again.token > first.token);
    next.holder.apply_answer(&again, Answer::Taken, boot(12_500));
    next.advance_over(&mut store, 12_600, 13_700);
    let second = next.next_report(13_700).expect("a report");
    assert_eq!((second.window, second.counts.get("kaje80")), (window(1), Some(&17)));
}

// Guards against a second decision on a window whose row was removed after its report.
#[test]
fn a_new_holder_does_not_report_a_window_whose_row_is_gone() {
    let (mut killed, mut store, now) = holder();
    killed.count(window(0), "kaje80", 412);
    killed.advance_over(&mut store, now, 8_700);
    let first = killed.next_report(8_700).expect("a report");
    killed.holder.apply_answer(&first, Answer::Taken, boot(8_700));
    killed.advance_over(&mut store, 8_800, 10_000);
    assert!(store.rows.reports.is_empty());
    let mut next = Host::new("front-b-1", 2);
    next.advance_over(&mut store, 10_100, 14_500);
    assert_eq!(next.next_report(14_500).map(|report| report.window), Some(window(1)));
}

// Guards against a lost answer that makes a holder forget its lease, or take it for another's.
#[test]
fn a_lost_answer_to_an_acquisition_is_cleared_up_by_a_read() {
    let (mut host, mut store) = (Host::new("front-a-1", 1), Store::new());
    host.advance_over(&mut store, 0, 3_200);
    host.advance(&mut store, 3_300, Fate::AnswerLost);
    let token = store.rows.lease.as_ref().expect("the write was done").0.token;
    assert!(!host.holder.holds(boot(3_300)));
    host.advance_over(&mut store, 3_700, 3_700);
    assert_eq!(host.token(3_700), Some(token));
    // The lease lasts from the write, not from the read.
    assert_eq!(host.token(6_050), None);
}

#[test]
fn a_write_that_is_done_late_does_not_undo_another_holders_lease() {
    let (mut host, mut store, now) = holder();
    let late = host.advance(&mut store, now + 1_000, Fate::Delayed).expect("a renewal");
    let mut next = Host::new("front-b-1", 2);
    next.advance_over(&mut store, 5_800, 8_000);
    assert!(next.holder.holds(boot(8_000)));
    assert!(store.write(&late.rows(), 8_000).is_err());
    // The former holder finds out and waits.
    host.advance_over(&mut store, 8_000, 8_400);
    assert!(!host.holder.holds(boot(8_400)));
    assert_eq!(store.rows.lease.as_ref().expect("a lease").0.holder, next.name);
}

// Guards against a row whose counts are decided twice because the answer to its write was lost.
#[test]
fn after_a_lost_answer_to_a_row_its_counts_stay() {
    let (mut host, mut store, now) = holder();
    host.count(window(0), "kaje80", 400);
    host.advance_over(&mut store, now, 8_400);
    host.advance(&mut store, 8_500, Fate::AnswerLost);
    host.count(window(0), "kaje80", 412);
    host.advance_over(&mut store, 8_600, 9_500);
    let report = host.next_report(9_500).expect("a report");
    assert_eq!(report.counts.get("kaje80"), Some(&400));
}

#[test]
fn a_report_without_an_answer_is_posted_again_with_the_same_counts_until_it_is_late() {
    let (mut host, mut store, now) = holder();
    host.count(window(0), "kaje80", 400);
    host.advance_over(&mut store, now, 8_700);
    let first = host.next_report(8_700).expect("a report");
    let mut posts = 0;
    for now in (8_700..15_000).step_by(100) {
        host.count(window(0), "kaje80", now);
        host.advance(&mut store, now, Fate::Answered);
        let Some(report) = host.next_report(now).filter(|r| r.window == window(0)) else {
            continue;
        };
        assert_eq!(report.counts, first.counts);
        let answer = [Answer::Unknown, Answer::Busy, Answer::NotSent][posts % 3];
        host.holder.apply_answer(&report, answer, boot(now));
        posts += 1;
    }
    assert!((7..=13).contains(&posts), "{posts}");
    assert!(host.next_report(15_000).is_none_or(|report| report.window > window(0)));
    assert_eq!(host.holder.take_missed(wall(15_000)), [window(0)..=window(0)]);
    assert!(host.holder.take_missed(wall(15_100)).is_empty(), "a window is missed once");
}

// Guards against a process that resumes after a pause and posts with a lease that has ended.
#[test]
fn a_paused_holder_does_not_act_after_its_lease_has_ended() {
    let (mut host, mut store, now) = holder();
    host.advance_over(&mut store, now, 8_700);
    let report = host.next_report(8_700).expect("a report");
    assert!(host.holder.may_send(report.token, boot(8_700)));
    // The last renewal was at 8.5 s at the latest; the holder stops 0.3 s before its end.
    assert!(!host.holder.may_send(report.token, boot(11_300)));
    assert_eq!(host.next_report(11_300), None);
    assert!(matches!(host.holder.expire(boot(11_300)), Some(Event::Lost(_, lease::Loss::Expired))));
    // Nobody has taken it meanwhile.
    host.advance_over(&mut store, 11_300, 11_500);
    assert_eq!(host.token(11_500), Some(report.token));
}

#[test]
fn after_a_conflict_a_holder_does_not_use_its_token_again_and_waits_for_the_end_of_its_lease() {
    let (mut host, mut store, now) = holder();
    host.advance_over(&mut store, now, 8_700);
    let report = host.next_report(8_700).expect("a report");
    let event = host.holder.apply_answer(&report, Answer::Outdated, boot(8_700));
    assert_eq!(event, Some(Event::Lost(report.token, lease::Loss::Outdated)));
    for now in (8_800..11_400).step_by(100) {
        host.advance(&mut store, now, Fate::Answered);
        assert!(!host.holder.holds(boot(now)), "{now}");
    }
    host.advance_over(&mut store, 11_400, 12_500);
    let again = host.next_report(12_500).expect("a report");
    assert_eq!((again.window, &again.counts), (report.window, &report.counts));
    assert!(again.token > report.token);
}

// Guards against a renewal that brings a refused token back into use, because it was on its way when
// the endpoint refused the token.
#[test]
fn a_renewal_that_is_answered_after_a_conflict_does_not_bring_the_token_back() {
    let (mut host, mut store, now) = holder();
    host.advance_over(&mut store, now, 8_700);
    let report = host.next_report(8_700).expect("a report");
    let Step::Write(renewal) = host.step(9_800) else { panic!("no renewal") };
    let written = store.write(&renewal.rows(), 9_800).expect("a renewal");
    host.holder.apply_answer(&report, Answer::Outdated, boot(9_850));
    host.holder.apply_written(*renewal, written, boot(9_900));
    for now in (9_900..12_700).step_by(100) {
        assert!(!host.holder.holds(boot(now)), "{now}");
        host.advance(&mut store, now, Fate::Answered);
    }
    host.advance_over(&mut store, 12_700, 13_200);
    assert!(host.token(13_200) > Some(report.token));
}

// Guards against calls to the store beyond one renewal a second and one row for each window; they
// are charged for.
#[test]
fn a_holder_calls_the_store_about_once_a_second() {
    let (mut host, mut store, now) = holder();
    let mut calls = 0;
    for now in (now..now + 60_000).step_by(100) {
        calls += u32::from(!matches!(host.step(now), Step::Wait));
        host.advance(&mut store, now, Fate::Answered);
        if let Some(report) = host.next_report(now) {
            host.holder.apply_answer(&report, Answer::Taken, boot(now));
        }
    }
    assert!(calls <= 60 + 12, "{calls} calls in 60 s");
    assert!(store.rows.reports.len() <= 1, "{:?}", store.rows.reports);
}

#[test]
fn of_two_hosts_that_do_not_hear_each_other_one_holds_the_lease() {
    let (mut a, mut store, now) = holder();
    let mut b = Host::new("front-b-1", 2);
    for now in (now..40_000).step_by(100) {
        a.advance(&mut store, now, Fate::Answered);
        b.advance(&mut store, now, Fate::Answered);
        assert!(a.holder.holds(boot(now)) && !b.holder.holds(boot(now)), "{now}");
    }
}

// Guards against tokens and rows that are taken back with the store.
#[test]
fn after_a_restore_the_holder_goes_on_with_a_higher_token_and_the_same_counts() {
    let (mut host, mut store, now) = holder();
    host.count(window(0), "kaje80", 412);
    let copy = store.rows.clone();
    host.advance_over(&mut store, now, 8_700);
    let first = host.next_report(8_700).expect("a report");
    store.restore(&copy);
    host.count(window(0), "kaje80", 999);
    host.advance_over(&mut store, 8_800, 10_500);
    let again = host.next_report(10_500).expect("a report");
    assert_eq!((again.window, &again.counts), (first.window, &first.counts));
    assert!(again.token > first.token);
    assert_eq!(store.rows.reports[&window(0)].0, first.counts);
}

// Guards against a restore that takes back the only trace of a report: its holder was killed, and
// the next one has other counts.
#[test]
fn after_a_restore_a_new_holder_gives_up_windows_that_may_have_been_reported() {
    for gathering in [Gathering::Done, Gathering::Ongoing] {
        let (mut killed, mut store, now) = holder();
        let copy = store.rows.clone();
        killed.advance_over(&mut store, now, 8_700);
        assert!(killed.next_report(8_700).is_some());
        store.restore(&copy);
        let mut next = Host { gathering, ..Host::new("front-b-1", 2) };
        next.count(window(0), "kaje80", 3);
        let mut first = None;
        for now in (8_800..30_000).step_by(100) {
            next.advance(&mut store, now, Fate::Answered);
            first = first.or_else(|| next.next_report(now));
        }
        assert_eq!(first.map(|report| report.window), Some(window(1)), "{gathering:?}");
    }
}

// Guards against a former holder that still acts on its lease while another host has a higher token.
#[test]
fn after_a_restore_another_host_waits_for_the_end_of_the_former_holders_lease() {
    let (mut former, mut store, now) = holder();
    let copy = Rows { revision: 41, ..Rows::default() };
    former.advance_over(&mut store, now, 8_700);
    let token = former.token(8_700).expect("a lease");
    store.restore(&copy);
    let mut next = Host::new("front-b-1", 2);
    let mut acquired = None;
    for now in (8_800..15_000).step_by(100) {
        next.advance(&mut store, now, Fate::Answered);
        assert!(!(next.holder.holds(boot(now)) && former.holder.may_send(token, boot(now))));
        acquired = acquired.or(next.token(now));
    }
    assert!(acquired > Some(token));
}

// Guards against a report that lacks most counts because the coordinator and the host that was to
// replace it were killed together.
#[test]
fn a_new_coordinator_waits_for_the_counts_of_the_others_unless_the_window_is_nearly_late() {
    let (mut host, mut store, now) = holder();
    host.gathering = Gathering::Ongoing;
    host.advance_over(&mut store, now, 13_400);
    assert_eq!(host.next_report(13_400), None);
    host.count(window(0), "kaje80", 412);
    host.advance_over(&mut store, 13_500, 13_700);
    let report = host.next_report(13_700).expect("a report");
    assert_eq!((report.window, report.counts.get("kaje80")), (window(0), Some(&412)));
    host.gathering = Gathering::Done;
    host.advance_over(&mut store, 13_800, 13_900);
    assert!(store.rows.reports.contains_key(&window(1)));
}

#[test]
fn while_the_store_is_away_no_lease_is_renewed_and_afterwards_late_windows_are_missed() {
    let (mut host, mut store, now) = holder();
    for now in (now..30_000).step_by(100) {
        if let Step::Read | Step::Write(_) = host.step(now) {
            host.holder.apply_failure(&store::Error::Unavailable, boot(now));
        }
    }
    assert!(!host.holder.holds(boot(30_000)));
    host.count(window(4), "kaje80", 5);
    host.advance_over(&mut store, 30_000, 30_800);
    assert_eq!(host.holder.take_missed(wall(30_800)), [window(0)..=window(3)]);
    let report = host.next_report(30_800).expect("a report");
    assert_eq!((report.window, report.counts.get("kaje80")), (window(4), Some(&5)));
}

/// A call to the store that has not been answered yet.
enum Call {
    Read(u64),
    Write(Box<Pending>),
}

/// A simulated host, which may be paused and may wrongly take itself for the coordinator.
struct Simulated {
    host: Host,
    is_coordinator: bool,
    paused_until: u64,
    /// The call, when it is executed if at all, and when it is answered or times out.
    call: Option<(Call, Option<u64>, u64)>,
    /// What the store has answered so far.
    answer: Option<Result<Result<UsageWritten, UsageRows>, store::Error>>,
    /// The newest era that the host's client has seen.
    era: u64,
    /// A report that was sent and is not answered yet, and when it is answered.
    posted: Option<(Report, Answer, u64)>,
}

impl Simulated {
    fn new(name: &str, incarnation: u64) -> Simulated {
        Simulated {
            host: Host::new(name, incarnation),
            is_coordinator: false,
            paused_until: 0,
            call: None,
            answer: None,
            era: 0,
            posted: None,
        }
    }
}

/// What the hosts did, for the checks at the end.
#[derive(Default)]
struct Record {
    /// Reports in the order in which they were sent: when, by which host.
    sent: Vec<(u64, Report)>,
    /// The counts that the endpoint has got for each window, however late.
    taken: BTreeMap<Window, Rc<Counts>>,
    /// The highest token that the endpoint has seen.
    seen: Token,
    /// Tokens whose refusal has reached the holder.
    refused: BTreeSet<Token>,
}

/// Simulates three hosts, a store and an endpoint with faults for two minutes, then 40 s without
/// faults; checks what must hold at any time, and that reports go on afterwards.
struct Simulation {
    random: fastrand::Rng,
    seed: u64,
    store: Store,
    copies: Vec<Rows>,
    hosts: Vec<Simulated>,
    /// Writes that the store performs later, with the era for which each was meant.
    late_writes: Vec<(u64, Box<Pending>)>,
    /// Reports that the endpoint executes later.
    late_reports: Vec<(u64, Report)>,
    checks_tokens: bool,
    incarnations: u64,
    record: Record,
}

const CALM_AT: u64 = 120_000;
const END: u64 = 160_000;

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut random = fastrand::Rng::with_seed(seed);
        let checks_tokens = random.bool();
        let hosts = ["front-a-1", "front-b-1", "front-c-1"];
        Simulation {
            random,
            seed,
            store: Store::new(),
            copies: vec![Rows { revision: 40, ..Rows::default() }],
            hosts: (1..).zip(hosts).map(|(number, name)| Simulated::new(name, number)).collect(),
            late_writes: Vec::new(),
            late_reports: Vec::new(),
            checks_tokens,
            incarnations: 10,
            record: Record::default(),
        }
    }

    fn happens(&mut self, share: f64, now: u64) -> bool {
        self.random.f64() < share && now < CALM_AT
    }

    fn run(mut self) {
        for now in (0..END).step_by(50) {
            self.inject_faults(now);
            self.perform_late_calls(now);
            for index in 0..self.hosts.len() {
                // Hosts count on, each knowing other counts.
                let (open, calls) = (window(now / 5_000), self.random.u64(1..1_000_000));
                self.hosts[index].host.count(open.saturating_sub(1), "kaje80", calls);
                if now >= self.hosts[index].paused_until {
                    self.advance_store(index, now);
                    self.advance_reports(index, now);
                }
            }
        }
        self.check();
    }

    fn inject_faults(&mut self, now: u64) {
        if now >= CALM_AT {
            for (index, host) in self.hosts.iter_mut().enumerate() {
                host.is_coordinator = index == 0;
                host.host.gathering = Gathering::Done;
            }
            return;
        }
        if self.happens(0.02, now) {
            self.copies.push(self.store.rows.clone());
        }
        if self.happens(0.002, now) {
            let copy = self.copies.swap_remove(self.random.usize(..self.copies.len()));
            self.store.restore(&copy);
            self.store.clock_ms = self.random.u64(..20_000);
            self.copies = vec![copy];
        }
        for index in 0..self.hosts.len() {
            if self.happens(0.02, now) {
                let host = &mut self.hosts[index];
                host.is_coordinator = !host.is_coordinator;
                host.host.holder.forget();
            }
            if self.happens(0.02, now) {
                let gatherings = [Gathering::Done, Gathering::Ongoing];
                self.hosts[index].host.gathering = gatherings[self.random.usize(..2)];
            }
            if self.happens(0.004, now) {
                self.hosts[index].paused_until = now + self.random.u64(200..8_000);
            }
            if self.happens(0.002, now) {
                self.incarnations += 1;
                let name = Rc::clone(&self.hosts[index].host.name);
                self.hosts[index] = Simulated::new(&name, self.incarnations);
            }
        }
    }

    fn perform_late_calls(&mut self, now: u64) {
        let (due, later) =
            std::mem::take(&mut self.late_writes).into_iter().partition(|(at, _)| *at <= now);
        self.late_writes = later;
        let due: Vec<(u64, Box<Pending>)> = due;
        for (_, write) in due {
            // Nobody waits for the answer.
            let _ = self.store.write(&write.rows(), now);
        }
        let reports = std::mem::take(&mut self.late_reports);
        for (at, report) in reports {
            match at <= now {
                true => drop(self.take(&report)),
                false => self.late_reports.push((at, report)),
            }
        }
    }

    /// Executes a report at the endpoint.
    fn take(&mut self, report: &Report) -> Answer {
        if self.checks_tokens && report.token < self.record.seen {
            return Answer::Outdated;
        }
        self.record.seen = self.record.seen.max(report.token);
        let taken =
            self.record.taken.entry(report.window).or_insert_with(|| Rc::clone(&report.counts));
        assert_eq!(*taken, report.counts, "seed {}: window {}", self.seed, report.window);
        Answer::Taken
    }

    fn advance_store(&mut self, index: usize, now: u64) {
        if let Some((call, execute_at, answer_at)) = self.hosts[index].call.take() {
            if execute_at.is_some_and(|at| at <= now) {
                let answer = match &call {
                    Call::Read(_) => Ok(Err(self.store.read(now))),
                    Call::Write(write) => self.store.write(&write.rows(), now).map(Ok),
                };
                self.hosts[index].answer = Some(answer);
                self.hosts[index].call = Some((call, None, answer_at));
            } else if answer_at > now {
                self.hosts[index].call = Some((call, execute_at, answer_at));
            } else {
                self.answer(index, call, now);
            }
            return;
        }
        if !self.hosts[index].is_coordinator {
            return;
        }
        let simulated = &self.hosts[index];
        let call = match simulated.host.step(now) {
            Step::Wait => return,
            Step::Read => Call::Read(now),
            Step::Write(write) if write.rows().expected.era.number() < simulated.era => {
                let holder = &mut self.hosts[index].host.holder;
                return holder.apply_failure(&store::Error::Restored, boot(now));
            }
            Step::Write(write) => Call::Write(write),
        };
        let timeout = now + 900;
        let timing = match (&call, self.random.u8(..8)) {
            _ if now >= CALM_AT => (Some(now), now + 50),
            (Call::Write(write), 0) => {
                self.late_writes.push((now + self.random.u64(900..6_000), write.clone()));
                (None, timeout)
            }
            (_, 0 | 1) => (None, timeout),
            // Executed, but the answer comes too late.
            (_, 2) => (Some(now + self.random.u64(..800)), u64::MAX),
            _ => (Some(now + self.random.u64(..300)), now + self.random.u64(300..850)),
        };
        self.hosts[index].answer = None;
        self.hosts[index].call = Some((call, timing.0, timing.1.min(timeout)));
        if timing.1 == u64::MAX {
            // Execute now, and drop the answer.
            let (call, _, at) = self.hosts[index].call.take().expect("the call");
            if let Call::Write(write) = &call {
                let _ = self.store.write(&write.rows(), now);
            }
            self.hosts[index].call = Some((call, None, at));
        }
    }

    fn answer(&mut self, index: usize, call: Call, now: u64) {
        let simulated = &mut self.hosts[index];
        let answer = simulated.answer.take().unwrap_or_else(|| Err(unanswered()));
        let holder = &mut simulated.host.holder;
        match (call, answer) {
            (Call::Read(sent_at), Ok(Err(rows))) => {
                simulated.era = simulated.era.max(rows.newest.era.number());
                holder.apply_read(&rows, boot(sent_at), boot(now));
            }
            (Call::Write(write), Ok(Ok(written))) => {
                holder.apply_written(*write, written, boot(now));
            }
            (_, Ok(_)) => unreachable!("the answer to another call"),
            (_, Err(error)) => holder.apply_failure(&error, boot(now)),
        }
    }

    fn advance_reports(&mut self, index: usize, now: u64) {
        if let Some((report, answer, at)) = self.hosts[index].posted.take() {
            match at <= now {
                true => {
                    self.hosts[index].host.holder.apply_answer(&report, answer, boot(now));
                    if answer == Answer::Outdated {
                        self.record.refused.insert(report.token);
                    }
                }
                false => self.hosts[index].posted = Some((report, answer, at)),
            }
            return;
        }
        let Some(report) = self.hosts[index].host.next_report(now) else { return };
        let is_refused = self.record.refused.contains(&report.token);
        assert!(!is_refused, "seed {}: {now}: a refused token is used again", self.seed);
        self.record.sent.push((now, report.clone()));
        let (answer, at) = match self.random.u8(..6) {
            _ if now >= CALM_AT => (self.take(&report), now + 50),
            0 => {
                self.late_reports.push((now + self.random.u64(..5_000), report.clone()));
                (Answer::Unknown, now + 2_000)
            }
            1 => (Answer::Busy, now + 50),
            2 => (Answer::Unknown, now + 100),
            3 if self.random.u8(..4) == 0 => (Answer::Outdated, now + 100),
            _ => (self.take(&report), now + self.random.u64(..500)),
        };
        self.hosts[index].posted = Some((report, answer, at));
    }

    fn check(&self) {
        let (seed, sent) = (self.seed, &self.record.sent);
        let mut highest = Token::default();
        let mut holders: BTreeMap<Token, &Rc<str>> = BTreeMap::new();
        for (at, report) in sent {
            assert!(report.token >= highest, "seed {seed}: {at}: an earlier token");
            highest = report.token;
            let holder = holders.entry(report.token).or_insert(&report.holder);
            assert_eq!(**holder, report.holder, "seed {seed}: {at}: two holders of one token");
        }
        // A host that acts again after another one does so a whole lease after it acted last.
        for (number, (at, report)) in sent.iter().enumerate() {
            let before = sent[..number].iter().rev();
            let mut others = before.skip_while(|(_, r)| r.holder == report.holder).peekable();
            if others.peek().is_none() {
                continue;
            }
            let last = others.find(|(_, other)| other.holder == report.holder);
            let gap = last.map_or(u64::MAX, |(last, _)| at - last);
            assert!(gap >= 3_000, "seed {seed}: {at}: a former holder acted after {gap} ms");
        }
        // Of the windows after the faults, none is missing.
        let (first, last) = (window(CALM_AT / 5_000 + 2), window(END / 5_000 - 3));
        for number in first..=last {
            assert!(self.record.taken.contains_key(&number), "seed {seed}: {number} is missing");
        }
    }
}

// Guards against two reports of one window with different counts, two holders of one token, tokens
// that fall and holders that act in turns, whatever is lost, late, paused, restarted or restored.
#[test]
fn whatever_fails_reports_agree_and_tokens_rise() {
    (0..300).for_each(|seed| Simulation::new(seed).run());
}
