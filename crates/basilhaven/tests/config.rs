//! Tests of the configuration: places of findings, writes whose responses are lost, and the lease.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::http1::{self, body, client, head};
use basilhaven::{
    commit, config, entry, finding, lease, member, moves, node, order, platform, replica, settings,
    stamp,
};
use indexmap::IndexMap;

fn places(findings: &finding::Findings) -> Vec<&str> {
    findings.iter().map(|finding| finding.place.as_str()).collect()
}

fn entry_host(name: &str, data_centre: &str) -> member::Host {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    member::Host {
        name: name.parse().unwrap(),
        incarnation: 1,
        data_centre: data_centre.parse().unwrap(),
        callers: any,
        admin: any,
        peer: any,
        leaving: false,
        revisions: replica::Revisions::default(),
    }
}

#[test]
fn every_invalid_field_is_reported_with_its_place() {
    let raw = r#"{
        "profiles": {
            "default": {"policy": "fastest", "retries": "two"},
            "Two Words": {},
            "fair": {"colour": 1}
        },
        "services": {"catalogo": {"profle": "default"}, "spedizioni": 7},
        "callers": {"studio": {"class": "paying"}, "joinery": {"class": "rich"}},
        "out": {"data_centres": 7},
        "extra": {}
    }"#;
    let findings = config::Document::try_from(raw).unwrap_err();
    let expected = [
        "callers.joinery.class",
        "callers.studio",
        "extra",
        "out.data_centres",
        "profiles.Two Words",
        "profiles.default.policy",
        "profiles.default.retries",
        "profiles.fair.colour",
        "services.catalogo.profle",
        "services.spedizioni",
    ];
    assert_eq!(places(&findings), expected, "{findings}");
}

#[test]
fn a_syntax_error_is_reported_with_line_and_column() {
    let findings = config::Document::try_from("{\"services\":\n  {\"cat").unwrap_err();
    assert_eq!(places(&findings), ["line 2 column 7"]);
}

#[test]
fn an_invalid_order_is_reported_with_its_place() {
    let cases = [
        (r#"{"set-profile": ["fair", {"retries": "two", "x": 1}]}"#, "set-profile.fair.retries"),
        (r#"{"replace": {"services": {"a": {"b": 1}}}}"#, "replace.services.a.b"),
        (r#"{"out": {"planet": "x"}}"#, "out"),
        (r#"{"away": 1}"#, "away"),
        ("[]", "order"),
    ];
    for (raw, place) in cases {
        let findings = order::Order::try_from(raw.as_bytes()).unwrap_err();
        assert_eq!(places(&findings)[0], place, "{findings}");
    }
}

#[test]
fn services_that_lose_their_last_upstream_are_reported() {
    let upstream = |raw: &str| raw.parse::<config::Upstream>().unwrap();
    let hosts = config::Hosts {
        upstreams: vec![
            upstream("catalogo/u1@127.0.0.1:1,dc=milano-a"),
            upstream("catalogo/u2@127.0.0.1:2,dc=torino-b"),
            upstream("spedizioni/u3@127.0.0.1:3,dc=milano-a"),
        ],
        entries: Vec::new(),
    };
    let before = config::Document::default();
    let out = order::Order::Out(order::Target::DataCentre("milano-a".parse().unwrap()));
    let after = out.applied_to(&before).unwrap();
    assert_eq!(places(&order::emptied_services(&hosts, &before, &after)), ["services.spedizioni"]);
    assert!(order::emptied_services(&hosts, &after, &after).is_empty());
}

#[test]
fn an_order_for_the_last_entry_host_or_an_unknown_target_is_objected_to() {
    let upstream = |raw: &str| raw.parse::<config::Upstream>().unwrap();
    let upstreams = ["a/u1@127.0.0.1:1,dc=brescia-d", "a/u2@127.0.0.1:2,dc=bergamo-c"];
    let known = order::Inventory {
        hosts: Rc::new(config::Hosts {
            upstreams: upstreams.map(upstream).into(),
            entries: Vec::new(),
        }),
        serving: vec![entry_host("entry-1", "milano-a"), entry_host("entry-2", "torino-b")],
        others: vec![entry_host("entry-3", "como-e")],
    };
    let mut document = config::Document::default();
    let objections = |document: &config::Document, raw: &str| {
        let order = order::Order::try_from(format!(r#"{{"out": {raw}}}"#).as_bytes()).unwrap();
        let after = order.applied_to(document).unwrap();
        known.objections(&order, document, &after)
    };
    let cases = [
        (r#"{"host": "entry-1"}"#, vec![]),
        (r#"{"host": "entry-3"}"#, vec![]),
        (r#"{"host": "entry-9"}"#, vec!["out.hosts.entry-9"]),
        (r#"{"upstream": "u1"}"#, vec![]),
        (r#"{"upstream": "u9"}"#, vec!["out.upstreams.u9"]),
        (r#"{"data-centre": "brescia-d"}"#, vec![]),
        (r#"{"data-centre": "como-e"}"#, vec![]),
        (r#"{"data-centre": "roma-f"}"#, vec!["out.data_centres.roma-f"]),
    ];
    for (raw, expected) in cases {
        assert_eq!(places(&objections(&document, raw)), expected, "{raw}");
    }
    document.out.data_centres.insert("milano-a".parse().unwrap());
    for raw in [r#"{"host": "entry-2"}"#, r#"{"data-centre": "torino-b"}"#] {
        assert_eq!(places(&objections(&document, raw)), ["out"], "{raw}");
    }
    assert!(objections(&document, r#"{"host": "entry-1"}"#).is_empty());
}

/// Fault injected into a write.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// No fault: the write takes effect and is answered.
    None,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The write is lost before it takes effect.
    RequestLost,
    /// The response is lost, and the write takes effect after this delay, if its condition still
    /// holds.
    Delayed(Duration),
}

/// A platform in this process, with a script of faults for its writes.
#[derive(Debug, Default)]
struct Fake {
    revision: u64,
    rows: IndexMap<String, (u64, serde_json::Value)>,
    /// Value of the written row at each revision.
    history: IndexMap<u64, serde_json::Value>,
    /// Faults of the next writes; those after them have none.
    faults: VecDeque<Fault>,
    /// Number of changes by other operators right after the next write.
    overwrites: usize,
    /// Whether the platform stops responding after the next write.
    silent_after: bool,
    /// Whether the platform does not respond.
    silent: bool,
}

impl Fake {
    async fn start(fake: Rc<RefCell<Fake>>) -> SocketAddr {
        let listener = entry::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let address = listener.local_addr().unwrap();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let fake = Rc::clone(&fake);
                monoio::spawn(async move {
                    let _ = serve(fake, http1::Conn::new(stream)?).await;
                    std::io::Result::Ok(())
                });
            }
        });
        address
    }

    fn config(&self) -> Option<commit::ConfigRow> {
        let (_, value) = self.rows.get(commit::CONFIG_KEY)?;
        Some(commit::ConfigRow::try_from(value.clone()).unwrap())
    }

    /// Applies a transaction and returns its revision, or `None` if its condition does not hold.
    fn write(&mut self, transaction: &platform::Transaction) -> Option<u64> {
        let current = |key: &str| self.rows.get(key).map_or(0, |row| row.0);
        let writes_hold = transaction.writes.iter().all(|w| current(&w.key) == w.expect);
        if !writes_hold || transaction.checks.iter().any(|c| current(&c.key) != c.expect) {
            return None;
        }
        self.revision += 1;
        for write in &transaction.writes {
            self.rows.insert(write.key.clone(), (self.revision, write.value.clone()));
            self.history.insert(self.revision, write.value.clone());
        }
        Some(self.revision)
    }

    fn overwrite(&mut self) {
        for _ in 0..std::mem::take(&mut self.overwrites) {
            let revision = self.rows[commit::CONFIG_KEY].0;
            let mut stored = self.config().unwrap();
            stored.stamp = stamp::Stamp::after(Some((&stored.stamp, revision)));
            self.revision += 1;
            let value = serde_json::to_value(&stored).unwrap();
            self.rows.insert(commit::CONFIG_KEY.to_owned(), (self.revision, value));
        }
    }

    /// Handles a write according to its fault and returns the response, unless it is lost.
    fn handle_write(
        this: &Rc<RefCell<Fake>>,
        transaction: platform::Transaction,
    ) -> Option<(http::StatusCode, serde_json::Value)> {
        let mut fake = this.borrow_mut();
        let fault = fake.faults.pop_front().unwrap_or(Fault::None);
        let written = match fault {
            Fault::None | Fault::ResponseLost => fake.write(&transaction),
            Fault::RequestLost => None,
            Fault::Delayed(after) => {
                let this = Rc::clone(this);
                monoio::spawn(async move {
                    monoio::time::sleep(after).await;
                    this.borrow_mut().write(&transaction);
                });
                None
            }
        };
        fake.overwrite();
        fake.silent = fake.silent_after;
        match (fault, written) {
            (Fault::None, Some(revision)) => {
                Some((http::StatusCode::OK, serde_json::json!({ "revision": revision })))
            }
            (Fault::None, None) => {
                Some((http::StatusCode::PRECONDITION_FAILED, serde_json::Value::Null))
            }
            _ => None,
        }
    }
}

async fn serve(fake: Rc<RefCell<Fake>>, mut conn: http1::Conn) -> Result<(), http1::Error> {
    while let Some(request) = conn.read_request(1 << 16).await? {
        let mut reader = body::Reader::new(request.framing);
        let content = client::read_all(&mut conn, &mut reader, 1 << 24).await?;
        if fake.borrow().silent {
            return Ok(());
        }
        let path = request.parts.uri.path();
        let answer = match path.strip_prefix("/table/") {
            Some(key) => match fake.borrow().rows.get(key) {
                Some((revision, value)) => Some((
                    http::StatusCode::OK,
                    serde_json::json!({ "revision": revision, "value": value }),
                )),
                None => Some((http::StatusCode::NOT_FOUND, serde_json::Value::Null)),
            },
            None => Fake::handle_write(&fake, serde_json::from_slice(&content).unwrap()),
        };
        let Some((status, value)) = answer else { return Ok(()) };
        let content = serde_json::to_vec(&value).unwrap();
        let framing = body::Framing::Length(content.len() as u64);
        let headers = http::HeaderMap::new();
        let encoded = head::encode_response(status, &headers, framing, true);
        conn.write([&encoded[..], &content].concat().into()).await?;
    }
    Ok(())
}

fn node(platform: SocketAddr) -> Rc<node::Node> {
    let own = entry_host("entry-1", "milano-a");
    let raw = settings::raw().run_inner(&[] as &[&str]).unwrap();
    let mut settings = settings::Settings::try_from(raw).unwrap();
    settings.platform = Some(platform);
    node::Node::new(settings, own)
}

/// Condition for the orders of these tests, which name hosts that do not exist.
const FORCED: commit::Condition = commit::Condition { expect: None, force: true };

/// An order whose effect is recognised by the name `mark` in the configuration.
fn out(mark: &str) -> order::Order {
    order::Order::Out(order::Target::Host(mark.parse().unwrap()))
}

fn block_on<F>(future: F) -> F::Output
where
    F: std::future::Future,
{
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    builder.enable_timer().build().unwrap().block_on(future)
}

/// One write with a fault, after a write that created revision 1.
struct Case {
    fault: Fault,
    overwrites: usize,
    silent: bool,
    expected: Result<u64, commit::Error>,
    in_row: bool,
}

async fn run(case: Case) {
    let fake = Rc::new(RefCell::new(Fake::default()));
    let node = node(Fake::start(Rc::clone(&fake)).await);
    let condition = FORCED;
    assert_eq!(commit::commit(&node, &out("first"), condition).await, Ok(1));
    {
        let mut fake = fake.borrow_mut();
        fake.faults = VecDeque::from([case.fault]);
        fake.overwrites = case.overwrites;
        fake.silent_after = case.silent;
    }
    let result = commit::commit(&node, &out("second"), condition).await;
    let context = format!("{:?}, {} overwrites", case.fault, case.overwrites);
    assert_eq!(result, case.expected, "{context}");
    if let Fault::Delayed(after) = case.fault {
        monoio::time::sleep(after * 2).await;
    }
    let stored = fake.borrow().config().unwrap();
    let commit::Body::Document(document) = &stored.body else { panic!("a small document") };
    assert_eq!(document.out.hosts.contains("second"), case.in_row, "{context}");
    let revision = node.rows().revisions.config;
    assert_eq!(revision, result.unwrap_or(1), "{context}: only accepted changes are in force");
}

#[test]
fn the_outcome_of_a_write_with_a_lost_response_is_determined() {
    let beyond_history = stamp::MAX_PREDECESSORS + 1;
    let unknown = || Err(commit::Error::Unknown);
    let delayed = Fault::Delayed(Duration::from_millis(300));
    let case = |fault, overwrites, silent, expected, in_row| Case {
        fault,
        overwrites,
        silent,
        expected,
        in_row,
    };
    let cases = vec![
        case(Fault::None, 0, false, Ok(2), true),
        case(Fault::ResponseLost, 0, false, Ok(2), true),
        case(Fault::ResponseLost, 1, false, Ok(2), true),
        case(Fault::ResponseLost, stamp::MAX_PREDECESSORS, false, Ok(2), true),
        case(Fault::ResponseLost, beyond_history, false, unknown(), true),
        case(Fault::ResponseLost, 0, true, unknown(), true),
        case(Fault::ResponseLost, 1, true, unknown(), true),
        case(Fault::RequestLost, 0, false, Ok(2), true),
        case(Fault::RequestLost, 1, false, Err(commit::Error::Raced(2)), false),
        case(Fault::RequestLost, beyond_history, false, unknown(), false),
        case(Fault::RequestLost, 0, true, unknown(), false),
        case(delayed, 0, false, Ok(2), true),
        case(delayed, 1, false, Err(commit::Error::Raced(2)), false),
    ];
    block_on(futures_util::future::join_all(cases.into_iter().map(run)));
}

#[test]
fn a_change_is_confirmed_although_every_response_is_lost() {
    block_on(async {
        let fake = Rc::new(RefCell::new(Fake::default()));
        let node = node(Fake::start(Rc::clone(&fake)).await);
        fake.borrow_mut().faults = VecDeque::from([Fault::ResponseLost; 100]);
        let condition = FORCED;
        assert_eq!(commit::commit(&node, &out("first"), condition).await, Ok(1));
        assert_eq!(commit::commit(&node, &out("second"), condition).await, Ok(2));
    });
}

#[test]
fn a_conflict_is_reported_although_every_response_is_lost() {
    block_on(async {
        let fake = Rc::new(RefCell::new(Fake::default()));
        let address = Fake::start(Rc::clone(&fake)).await;
        let (one, other) = (node(address), node(address));
        fake.borrow_mut().faults = VecDeque::from([Fault::ResponseLost; 100]);
        let condition = FORCED;
        let (a, b) = (out("a"), out("b"));
        let both = futures_util::future::join(
            commit::commit(&one, &a, condition),
            commit::commit(&other, &b, condition),
        );
        let mut results: Vec<_> = <[_; 2]>::from(both.await).into();
        results.sort_by_key(Result::is_err);
        assert_eq!(results, [Ok(1), Err(commit::Error::Raced(1))]);
    });
}

/// Lets two hosts submit conflicting orders under random faults, and compares the results that they
/// returned with the history of the table.
async fn race(seed: u64) {
    const ORDERS: usize = 6;
    let mut random = fastrand::Rng::with_seed(seed);
    let faults = (0..ORDERS * 8).map(|_| match random.u8(..6) {
        0 | 1 => Fault::ResponseLost,
        2 => Fault::RequestLost,
        3 => Fault::Delayed(Duration::from_millis(random.u64(10..200))),
        _ => Fault::None,
    });
    let fake = Rc::new(RefCell::new(Fake { faults: faults.collect(), ..Fake::default() }));
    let address = Fake::start(Rc::clone(&fake)).await;
    let operate = |operator: usize| async move {
        let node = node(address);
        let mut results = Vec::new();
        for count in 0..ORDERS {
            let mark = format!("mark-{operator}-{count}");
            let before = node.rows().revisions.config;
            let result = commit::commit(&node, &out(&mark), FORCED).await;
            assert!(node.rows().revisions.config >= before, "seed {seed}: a revision decreased");
            results.push((mark, result));
        }
        results
    };
    let (mut results, others) = futures_util::future::join(operate(0), operate(1)).await;
    results.extend(others);
    // Waits until every delayed write has been applied.
    monoio::time::sleep(Duration::from_millis(250)).await;
    let history = fake.borrow().history.clone();
    let contains = |value: &serde_json::Value, mark: &str| {
        let hosts = value["document"]["out"]["hosts"].as_array().unwrap();
        hosts.iter().any(|host| host == mark)
    };
    for (mark, result) in results {
        let first = history.iter().find(|(_, value)| contains(value, &mark)).map(|(at, _)| *at);
        match result {
            Ok(revision) => assert_eq!(first, Some(revision), "seed {seed}: {mark}"),
            Err(commit::Error::Unknown) => {}
            Err(error) => assert_eq!(first, None, "seed {seed}: {mark}: {error}"),
        }
        let last = history.values().last().unwrap();
        assert_eq!(first.is_some(), contains(last, &mark), "seed {seed}: {mark} was lost again");
    }
}

#[test]
fn results_of_conflicting_orders_match_the_history() {
    block_on(futures_util::future::join_all((1..=40).map(race)));
}

#[test]
fn a_conflict_is_reported_with_the_current_revision() {
    block_on(async {
        let fake = Rc::new(RefCell::new(Fake::default()));
        let address = Fake::start(Rc::clone(&fake)).await;
        let (one, other) = (node(address), node(address));
        let condition = FORCED;
        assert_eq!(commit::commit(&one, &out("a"), condition).await, Ok(1));
        assert_eq!(commit::commit(&other, &out("b"), condition).await, Ok(2));
        let stale = commit::Condition { expect: Some(1), ..FORCED };
        let result = commit::commit(&one, &out("c"), stale).await;
        assert_eq!(result, Err(commit::Error::Raced(2)));
        let (a, b) = (out("d"), out("e"));
        let both = futures_util::future::join(
            commit::commit(&one, &a, condition),
            commit::commit(&other, &b, condition),
        );
        let mut results: Vec<_> = <[_; 2]>::from(both.await).into();
        results.sort_by_key(Result::is_err);
        assert_eq!(results, [Ok(3), Err(commit::Error::Raced(3))]);
    });
}

#[test]
fn the_coordinator_can_only_write_with_its_current_lease() {
    block_on(async {
        let fake = Rc::new(RefCell::new(Fake::default()));
        let node = node(Fake::start(Rc::clone(&fake)).await);
        let platform = node.platform().unwrap();
        let own = lease::Holder::from(&node.members().own());
        let lease = lease::Lease::new(own, Duration::from_secs(5));
        let token = lease.acquire_or_renew(platform).await.unwrap();
        assert_eq!(token, lease::Token { revision: 1, epoch: 1 });
        let moves = moves::Moves::default();
        assert_eq!(commit::commit_as_coordinator(&node, token, 0, &moves).await, Ok(2));
        assert_eq!(node.rows().revisions.moves, 2);
        let raced = commit::commit_as_coordinator(&node, token, 0, &moves).await;
        assert_eq!(raced, Err(commit::Error::Raced(2)));
        lease.release(platform).await;
        let late = commit::commit_as_coordinator(&node, token, 2, &moves).await;
        assert_eq!(late, Err(commit::Error::NoLease));
        // An operator's order or a halt needs no lease, and the loss of its response is handled as
        // well.
        fake.borrow_mut().faults = VecDeque::from([Fault::ResponseLost]);
        assert_eq!(commit::commit_moves(&node, 2, &moves).await, Ok(4));
    });
}

#[test]
fn a_lease_passes_to_another_host_only_after_its_duration_without_renewal() {
    block_on(async {
        let fake = Rc::new(RefCell::new(Fake::default()));
        let client = platform::Client::new(Fake::start(Rc::clone(&fake)).await);
        let duration = Duration::from_secs(1);
        let holder = |name: &str| lease::Holder { name: name.parse().unwrap(), incarnation: 1 };
        let one = lease::Lease::new(holder("entry-1"), duration);
        let other = lease::Lease::new(holder("entry-2"), duration);
        assert!(one.acquire_or_renew(&client).await.is_some());
        let renewing_until = Instant::now() + duration.mul_f64(1.5);
        while Instant::now() < renewing_until {
            assert_eq!(one.acquire_or_renew(&client).await.map(|token| token.epoch), Some(1));
            assert_eq!(other.acquire_or_renew(&client).await, None);
            monoio::time::sleep(duration / 20).await;
        }
        // Once renewals stop, the holder considers its lease expired before the other host acquires
        // it.
        let acquired = loop {
            if let Some(token) = other.acquire_or_renew(&client).await {
                break token;
            }
            monoio::time::sleep(duration / 20).await;
        };
        assert_eq!(acquired.epoch, 2);
        assert_eq!(one.token(), None);
        assert_eq!(one.acquire_or_renew(&client).await, None);
        other.release(&client).await;
        assert_eq!(one.acquire_or_renew(&client).await.map(|token| token.epoch), Some(3));
    });
}

#[test]
fn a_renewal_whose_response_was_lost_is_recognised_by_its_holder() {
    block_on(async {
        let fake = Rc::new(RefCell::new(Fake::default()));
        let client = platform::Client::new(Fake::start(Rc::clone(&fake)).await);
        let own = lease::Holder { name: "entry-1".parse().unwrap(), incarnation: 1 };
        let lease = lease::Lease::new(own.clone(), Duration::from_secs(5));
        fake.borrow_mut().faults = VecDeque::from([Fault::ResponseLost]);
        assert_eq!(
            lease.acquire_or_renew(&client).await,
            None,
            "a write without a response gives no lease"
        );
        let token = lease.acquire_or_renew(&client).await.unwrap();
        assert_eq!(token, lease::Token { revision: 2, epoch: 1 });
        // Another incarnation of the same host is another holder.
        let next =
            lease::Lease::new(lease::Holder { incarnation: 2, ..own }, Duration::from_secs(5));
        assert_eq!(next.acquire_or_renew(&client).await, None);
    });
}
