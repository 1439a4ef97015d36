//! Checks that keys decide which callers are served, that upstreams get the name of the caller's
//! organisation and never its key, and that changes of keys take effect on all hosts.

use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use basilhaven::gateway::config::Sighting;
use basilhaven::gateway::store::{Change, Era, Feed, Revision};
use basilhaven::gateway::{access, relay};
use basilhaven_bench::gateway::Response;
use basilhaven_bench::process::Signal;
use basilhaven_bench::soak::links::Links;
use basilhaven_bench::soak::proxy::{Link, Proxy};
use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::{Mode, Store};
use basilhaven_bench::standin::users::upstream::{Behaviour, Upstream};
use basilhaven_bench::standin::users::Request;
use basilhaven_platform::rows;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::fixture::{
    self, receive, send_heartbeats, wait_until, Fixture, Host, Network, NO_RETRIES, PROMPT, SERVICE,
};

/// The time within which a version must be in force on all hosts.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(2500);

/// The header field that names the organisation.
const ORGANISATION: &str = "x-basilhaven-tenant-id";

/// All keys in the tests begin with this text, which must not appear in logs.
const KEY_PREFIX: &str = "secret-";

/// Returns a configuration with organisations, and with the route `/open/`, which is public.
fn config_with(version: u64, organisations: Value) -> String {
    fixture::config_with(version, SERVICE, |config| {
        config["Tenants"] = organisations;
        let routes = config["VirtualHosts"][0]["Paths"].as_array_mut().expect("routes");
        let mut open = routes[0].clone();
        open["Name"] = json!("r-open");
        open["Prefix"] = json!("/open/");
        open["Public"] = json!(true);
        routes.push(open);
    })
}

fn two_organisations() -> Value {
    json!([
        {"Name": "kaje80", "ApiKeys": ["secret-1", "secret-2"]},
        {"Name": "vopu11", "ApiKeys": ["secret-3"]},
    ])
}

/// Sends a request without a body, with additional header fields.
fn send(stream: &mut TcpStream, method: &str, path: &str, id: &str, fields: &str) {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Basilhaven-Request-Id: {id}\r\n\
         X-Basilhaven-Deadline-Ms: 2000\r\n{fields}\r\n"
    );
    stream.write_all(request.as_bytes()).expect("a connection");
}

fn call(host: &Host, path: &str, id: &str, fields: &str) -> Response {
    let mut stream = host.open().expect("a connection");
    send(&mut stream, "GET", path, id, fields);
    receive(&mut stream).expect("a response")
}

fn key(key: &str) -> String {
    format!("Api-Key: {key}\r\n")
}

/// Returns the organisations that the upstream's request names; checks that it holds no key.
fn organisations(request: &Request) -> Vec<&str> {
    for (name, value) in &request.headers {
        assert_ne!(name, "api-key", "the upstream got a key");
        assert!(!value.contains(KEY_PREFIX), "the upstream got a key in {name}");
    }
    let named = request.headers.iter().filter(|(name, _)| name == ORGANISATION);
    named.map(|(_, value)| &**value).collect()
}

/// Returns what upstreams got of a call, over all its attempts.
fn attempts_of(upstreams: &[Upstream], id: &str) -> Vec<Request> {
    let executions = upstreams.iter().flat_map(Upstream::executions);
    executions.filter(|(own, ..)| own == id).map(|(_, request, _)| request).collect()
}

/// Checks that each of so many attempts of a call named exactly this organisation, or none.
fn check_attempts(upstreams: &[Upstream], id: &str, count: usize, expected: Option<&str>) {
    let attempts = attempts_of(upstreams, id);
    assert_eq!(attempts.len(), count, "attempts of {id}");
    for attempt in &attempts {
        let expected: Vec<&str> = expected.into_iter().collect();
        assert_eq!(organisations(attempt), expected, "{id}");
    }
}

fn check_log(host: &Host) {
    let lines = host.process.lines();
    let leak = lines.iter().find(|line| line.to_string().contains(KEY_PREFIX));
    assert!(leak.is_none(), "a key is in the log: {leak:?}");
}

/// Returns the first line of a host's log with this event on this call.
fn line_of(host: &Host, event: &str, id: &str) -> Option<Value> {
    host.process.lines().into_iter().find(|line| line["event"] == event && line["id"] == id)
}

async fn apply(host: &Host, store: &Store, version: u64, config: &str) {
    store.put("op", "config", config);
    wait_until("the version is in force", || has_version(host, version)).await;
}

fn has_version(host: &Host, version: u64) -> bool {
    let lines = host.process.lines();
    lines.iter().any(|line| line["event"] == "config_applied" && line["version"] == version)
}

async fn start(behaviours: &[Behaviour], organisations: Value) -> Fixture {
    let fixture = Fixture::start(behaviours).await;
    apply(&fixture.host, &fixture.store, 2, &config_with(2, organisations)).await;
    fixture
}

// Guards against unknown callers that reach upstreams, and against refusals that wait for a body.
#[test]
fn a_call_without_a_known_key_gets_401_before_its_body_and_does_not_run() {
    block_on(async {
        let fixture = start(&[PROMPT], two_organisations()).await;
        let several = key("secret-1") + &key("secret-3");
        for (number, fields) in
            [String::new(), key("secret-9"), key(""), several].iter().enumerate()
        {
            let response = call(&fixture.host, "/safe/1", &format!("id-{number}"), fields);
            assert_eq!(response.status, 401, "{fields}");
        }
        // The body never comes.
        let mut stream = fixture.host.open().unwrap();
        let fields = "Content-Length: 100000\r\nExpect: 100-continue\r\n".to_owned();
        let started = Instant::now();
        send(&mut stream, "POST", "/unsafe/1", "id-body", &(fields + &key("secret-9")));
        let response = receive(&mut stream).unwrap();
        assert_eq!(response.status, 401, "{}", response.head);
        assert!(response.head.contains("connection: close"), "{}", response.head);
        assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
        assert_eq!(stream.read(&mut [0]).unwrap(), 0, "the connection is closed");
        // Without a body the connection stays open.
        let mut stream = fixture.host.open().unwrap();
        send(&mut stream, "GET", "/safe/1", "id-first", "");
        assert_eq!(receive(&mut stream).unwrap().status, 401);
        send(&mut stream, "GET", "/safe/1", "id-second", &key("secret-3"));
        assert_eq!(receive(&mut stream).unwrap().status, 200);
        check_attempts(&fixture.upstreams, "id-second", 1, Some("vopu11"));
        assert_eq!(fixture.upstreams[0].arrivals().len(), 1);
        assert_eq!(fixture.host.metric("basilhaven_keys_refused_total"), Some(6.0));
        wait_until("the calls are logged", || {
            let count = |event| fixture.host.process.event_count(event);
            (count("key_refused"), count("sent")) == (6, 1)
        })
        .await;
        let lines = fixture.host.process.lines();
        let refused = lines.iter().find(|line| line["event"] == "key_refused").unwrap();
        assert_eq!((&refused["route"], &refused["version"]), (&json!("r-safe"), &json!(2)));
        let sent = lines.iter().find(|line| line["event"] == "sent").unwrap();
        assert_eq!(sent["organisation"], "vopu11");
        check_log(&fixture.host);
    });
}

// Guards against a caller that names an organisation itself, and against public calls without one.
#[test]
fn upstreams_get_the_organisation_of_the_key_whatever_the_caller_names() {
    block_on(async {
        let fixture = start(&[PROMPT], two_organisations()).await;
        let own_fields = [
            "",
            "X-Basilhaven-Tenant-Id: forged\r\n",
            "x-basilhaven-tenant-id: forged\r\nX-BASILHAVEN-TENANT-ID: vopu11\r\n",
            "X-Basilhaven-Tenant-Id: forged\r\nConnection: x-basilhaven-tenant-id, api-key\r\n",
            "X-Basilhaven-Tenant-Id: forged\r\nbasilhaven-key-checked: 1\r\n",
        ];
        for (number, fields) in own_fields.iter().enumerate() {
            let cases = [
                ("/safe/1", key("secret-2"), 200, Some("kaje80")),
                ("/open/1", key("secret-3"), 200, Some("vopu11")),
                ("/open/1", key("secret-9"), 200, None),
                ("/open/1", String::new(), 200, None),
                ("/safe/1", String::new(), 401, None),
            ];
            for (case, (path, key, status, expected)) in cases.iter().enumerate() {
                let id = format!("id-{number}-{case}");
                let response = call(&fixture.host, path, &id, &format!("{fields}{key}"));
                assert_eq!(response.status, *status, "{path} {fields} {key}");
                let attempts = usize::from(*status == 200);
                check_attempts(&fixture.upstreams, &id, attempts, *expected);
            }
        }
        check_log(&fixture.host);
    });
}

// Guards against an attempt after the first that is sent as the caller has sent the call.
#[test]
fn a_second_attempt_names_the_organisation_and_holds_no_key() {
    block_on(async {
        let fixture = start(&[Behaviour::Fails, Behaviour::Fails], two_organisations()).await;
        let fields = key("secret-1") + "X-Basilhaven-Tenant-Id: forged\r\n";
        assert_eq!(call(&fixture.host, "/safe/1", "id-1", &fields).status, 500);
        check_attempts(&fixture.upstreams, "id-1", 2, Some("kaje80"));
    });
}

// Guards against keys that go on working for callers that are connected, and against earlier
// versions that bring them back.
#[test]
fn a_removed_key_stops_working_for_connected_callers_until_a_later_version_adds_it() {
    block_on(async {
        let fixture = start(&[PROMPT], two_organisations()).await;
        let mut stream = fixture.host.open().unwrap();
        let mut number = 0;
        let mut status = |key_text: &str| {
            number += 1;
            send(&mut stream, "GET", "/safe/1", &format!("id-{number}"), &key(key_text));
            receive(&mut stream).unwrap().status
        };
        assert_eq!(status("secret-1"), 200);
        let removed = Instant::now();
        let rest = json!([{"Name": "kaje80", "ApiKeys": ["secret-2"]}]);
        fixture.store.put("op", "config", &config_with(3, rest.clone()));
        while status("secret-1") == 200 {
            assert!(removed.elapsed() < IN_FORCE_WITHIN, "the key still works");
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(status("secret-2"), 200);
        // An earlier version is written again, with both organisations.
        fixture.store.put("op", "config", &config_with(2, two_organisations()));
        let until = Instant::now() + IN_FORCE_WITHIN;
        while Instant::now() < until {
            assert_eq!((status("secret-1"), status("secret-3")), (401, 401));
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        fixture.store.put("op", "config", &config_with(4, two_organisations()));
        wait_until("the version is in force", || has_version(&fixture.host, 4)).await;
        assert_eq!((status("secret-1"), status("secret-3")), (200, 200));
        check_log(&fixture.host);
    });
}

// Guards against a key that is removed while the body of a call arrives.
#[test]
fn a_key_that_is_removed_before_the_body_has_arrived_is_refused() {
    block_on(async {
        let fixture = start(&[PROMPT], two_organisations()).await;
        let mut stream = fixture.host.open().unwrap();
        let fields = key("secret-1") + "Content-Length: 4\r\n";
        send(&mut stream, "POST", "/unsafe/1", "id-1", &fields);
        stream.write_all(b"ab").unwrap();
        // The head has been read once a later call is answered.
        assert_eq!(call(&fixture.host, "/safe/1", "id-2", &key("secret-1")).status, 200);
        apply(&fixture.host, &fixture.store, 3, &config_with(3, json!([]))).await;
        stream.write_all(b"cd").unwrap();
        assert_eq!(receive(&mut stream).unwrap().status, 401);
        assert_eq!(fixture.runs_of("id-1"), 0);
    });
}

// Guards against entries that take the rest of the configuration with them, or put keys into the log.
#[test]
fn odd_entries_cost_only_themselves_and_are_logged_without_keys() {
    block_on(async {
        let organisations = json!([
            "secret-0",
            {"Name": "none", "ApiKeys": []},
            {"Name": "kaje80", "ApiKeys": ["secret-1", "", 7]},
            {"Name": "text", "ApiKeys": "secret-4"},
            {"Name": "vopu11", "ApiKeys": ["secret-1", "secret-3"], "Priority": null},
        ]);
        let fixture = start(&[PROMPT], organisations).await;
        for (text, expected) in [("secret-1", "kaje80"), ("secret-3", "vopu11")] {
            assert_eq!(call(&fixture.host, "/safe/1", expected, &key(text)).status, 200);
            check_attempts(&fixture.upstreams, expected, 1, Some(expected));
        }
        for text in ["secret-0", "secret-4", "7", ""] {
            assert_eq!(call(&fixture.host, "/safe/1", "id", &key(text)).status, 401, "{text}");
        }
        wait_until("the entries are logged", || {
            fixture.host.process.event_count("config_entry_skipped") >= 6
        })
        .await;
        let lines = fixture.host.process.lines();
        let skipped = lines.iter().filter(|line| line["event"] == "config_entry_skipped");
        let skipped: Vec<&str> = skipped.filter_map(|line| line["finding"].as_str()).collect();
        let places = [
            "Tenants[0]:",
            "Tenants[1] (none):",
            "Tenants[2] (kaje80).ApiKeys[1]:",
            "Tenants[2] (kaje80).ApiKeys[2]:",
            "Tenants[3] (text):",
            "Tenants[4] (vopu11).ApiKeys[0]: is already a key of kaje80",
        ];
        assert_eq!(skipped.len(), places.len(), "{skipped:?}");
        for place in places {
            assert!(
                skipped.iter().any(|finding| finding.starts_with(place)),
                "{place} {skipped:?}"
            );
        }
        check_log(&fixture.host);
    });
}

// Guards against changes for deployments without organisations, whose callers and upstreams may use
// the same names of header fields.
#[test]
fn without_organisations_header_fields_pass_as_they_are() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let fields = "Api-Key: own-1\r\nX-Basilhaven-Tenant-Id: own-2\r\n";
        assert_eq!(call(&fixture.host, "/safe/1", "id-1", fields).status, 200);
        let attempts = attempts_of(&fixture.upstreams, "id-1");
        assert_eq!(attempts[0].header("api-key"), Some("own-1"));
        assert_eq!(attempts[0].header(ORGANISATION), Some("own-2"));
        let is_off =
            |line: &Value| line["event"] == "feature_off" && line["feature"] == "organisations";
        let count = || fixture.host.process.lines().iter().filter(|line| is_off(line)).count();
        wait_until("the host logs that organisations are off", || count() == 1).await;
    });
}

// Guards against retries whose rank follows the priority of the route, although the organisation has
// one of its own.
#[test]
fn the_rank_of_a_retry_follows_the_priority_of_the_organisation() {
    block_on(async {
        let store = Store::start();
        let organisations = json!([
            {"Name": "higher", "ApiKeys": ["secret-1"], "Priority": 2},
            {"Name": "lower", "ApiKeys": ["secret-2"], "Priority": 3},
        ]);
        store.put("op", "config", &config_with(2, organisations));
        let upstream = Upstream::start("i-0", Behaviour::Sheds);
        store.put("servers", &upstream.id, &upstream.entry(SERVICE, "v1", "ready"));
        let network = Network::new(176, 1);
        let hosts = network.start_all(&store, &NO_RETRIES).await;
        let denied = |rank: usize| {
            hosts[0].metric(&format!("basilhaven_retries_denied_total{{rank=\"{rank}\"}}"))
        };
        assert_eq!(call(&hosts[0], "/safe/1", "id-1", &key("secret-1")).status, 503);
        assert_eq!((denied(0), denied(1)), (Some(1.0), None));
        assert_eq!(call(&hosts[0], "/safe/1", "id-2", &key("secret-2")).status, 503);
        assert_eq!((denied(0), denied(1)), (Some(1.0), Some(1.0)));
    });
}

// Guards against an order by the routes' priority alone, by which the calls that arrive first would
// be served first.
#[test]
fn the_priority_of_an_organisation_precedes_that_of_the_route() {
    block_on(async {
        let organisations = json!([
            {"Name": "of-route", "ApiKeys": ["secret-1"]},
            {"Name": "high", "ApiKeys": ["secret-2"], "Priority": 0},
        ]);
        let fixture = start(&[PROMPT], organisations).await;
        let upstream = &fixture.upstreams[0];
        upstream.set_load("4,6,4,100");
        let mut callers = Vec::new();
        // A host searches for several calls at once; only those are the first to be served.
        for (name, key_text, count) in [("of-route", "secret-1", 12), ("high", "secret-2", 6)] {
            for number in 0..count {
                let mut stream = fixture.host.open().unwrap();
                send(&mut stream, "GET", "/safe/1", &format!("{name}-{number}"), &key(key_text));
                callers.push(stream);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        assert_eq!(upstream.arrivals().len(), 0, "the calls wait");
        upstream.set_load("3,0,4,100");
        for mut stream in callers {
            assert_eq!(receive(&mut stream).unwrap().status, 200);
        }
        let executed = upstream.executed_ids();
        assert!(executed[0].starts_with("high"), "{executed:?}");
    });
}

/// Hosts with links of their own to the upstreams, and organisations.
struct System {
    store: Store,
    upstreams: Vec<Upstream>,
    links: Links,
    network: Network,
    hosts: Vec<Host>,
}

impl System {
    async fn start(network: u8, hosts: u8) -> System {
        let store = Store::start();
        store.put("op", "config", &config_with(1, two_organisations()));
        let links = Links::default();
        let upstreams: Vec<Upstream> =
            (0..2).map(|n| Upstream::start(&format!("i-{n}"), PROMPT)).collect();
        for upstream in &upstreams {
            let proxy = Proxy::start_among(upstream.address(), &links);
            let entry = upstream.entry_at(proxy.address(), "a", SERVICE, "v1", "ready");
            store.put("servers", &upstream.id, &entry);
        }
        let network = Network::new(network, hosts);
        let hosts = network.start_cluster(&store).await;
        hosts.iter().for_each(|host| links.set_link(host.process.id(), Link::Open));
        System { store, upstreams, links, network, hosts }
    }
}

// Guards against a call that is passed to another host with its key, without its organisation, or
// with one that the caller names.
#[test]
fn a_call_that_is_passed_on_names_the_organisation_and_holds_no_key() {
    block_on(async {
        let system = System::start(171, 2).await;
        let host = &system.hosts[0];
        system.links.set_link(host.process.id(), Link::Resets);
        let has_passed_on = || {
            // Makes the host find out that it reaches no upstream.
            let _ = call(host, "/safe/1", "id-0", &key("secret-1"));
            host.process.event_count("passed_on") > 0
        };
        wait_until("the host passes calls on", has_passed_on).await;
        let forged = "X-Basilhaven-Tenant-Id: forged\r\nbasilhaven-key-checked: 1\r\n";
        let cases = [
            ("/safe/1", key("secret-3"), 200, Some("vopu11")),
            ("/safe/1", key("secret-9"), 401, None),
            ("/open/1", key("secret-1"), 200, Some("kaje80")),
            ("/open/1", key("secret-9"), 200, None),
            ("/open/1", String::new(), 200, None),
        ];
        for (number, (path, key, status, expected)) in cases.iter().enumerate() {
            let id = format!("id-passed-{number}");
            let response = call(host, path, &id, &format!("{forged}{key}"));
            assert_eq!(response.status, *status, "{path} {key}");
            let attempts = usize::from(*status == 200);
            check_attempts(&system.upstreams, &id, attempts, *expected);
            if attempts > 0 {
                let passed_on = || line_of(host, "passed_on", &id).is_some();
                wait_until("the call is logged as passed on", passed_on).await;
            }
        }
        let sent = || line_of(&system.hosts[1], "sent", "id-passed-0");
        wait_until("the other host logs the call", || sent().is_some()).await;
        assert_eq!(sent().expect("a line")["organisation"], "vopu11");
        system.hosts.iter().for_each(check_log);
    });
}

// Guards against trust in what a caller of an earlier build's host says: that host passes on all
// header fields that it does not know.
#[test]
fn a_call_from_a_host_of_an_earlier_build_needs_a_key() {
    block_on(async {
        let system = System::start(172, 1).await;
        let open = |first_message: &[u8]| {
            let mut stream =
                TcpStream::connect((system.network.ips[0], system.network.port)).unwrap();
            stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            stream.write_all(first_message).unwrap();
            stream
        };
        let terms = format!(
            "basilhaven-service: {SERVICE}\r\nbasilhaven-config-version: 1\r\n\
             basilhaven-attempts: 2\r\nbasilhaven-elapsed-ms: 0\r\nbasilhaven-tried: \r\n\
             basilhaven-key-checked: 1\r\nX-Basilhaven-Tenant-Id: vopu11\r\n"
        );
        // The length of the message, and the message as earlier builds send it.
        let mut earlier = open(&[1, 0, 0, 0, 3]);
        send(&mut earlier, "GET", "/safe/1", "id-1", &terms);
        let response = receive(&mut earlier).unwrap();
        assert_eq!(response.status, 401);
        // Without this field the other host would tell its caller that the call may have run.
        assert!(response.head.contains("basilhaven-result: answered"), "{}", response.head);
        send(&mut earlier, "GET", "/safe/1", "id-2", &(terms.clone() + &key("secret-1")));
        assert_eq!(receive(&mut earlier).unwrap().status, 200);
        check_attempts(&system.upstreams, "id-2", 1, Some("kaje80"));
        // A host of this build has checked the key, and is believed.
        let mut present = open(&relay::encode_calls().unwrap());
        send(&mut present, "GET", "/safe/1", "id-3", &terms);
        assert_eq!(receive(&mut present).unwrap().status, 200);
        check_attempts(&system.upstreams, "id-3", 1, Some("vopu11"));
    });
}

// Guards against hosts that do not watch the store and get a configuration without its keys.
#[test]
fn hosts_that_follow_others_get_the_keys_and_their_changes_in_time() {
    block_on(async {
        let mut system = System::start(173, 4).await;
        wait_until("some hosts follow others", || {
            system.hosts.iter().any(|host| !host.watches_store())
        })
        .await;
        let check = |host: usize, id: &str, text: &str, status: u16| {
            let id = format!("id-{id}-{host}-{}", text.replace(KEY_PREFIX, ""));
            let response = call(&system.hosts[host], "/safe/1", &id, &key(text));
            assert_eq!(response.status, status, "{id}");
            id
        };
        for host in 0..4 {
            let id = check(host, "first", "secret-1", 200);
            check_attempts(&system.upstreams, &id, 1, Some("kaje80"));
            check(host, "first", "secret-9", 401);
            let open = call(&system.hosts[host], "/open/1", &format!("id-open-{host}"), "");
            assert_eq!(open.status, 200);
        }
        let changed = json!([{"Name": "vopu11", "ApiKeys": ["secret-3", "secret-9"]}]);
        system.store.put("op", "config", &config_with(2, changed));
        monoio::time::sleep(IN_FORCE_WITHIN).await;
        for host in 0..4 {
            check(host, "second", "secret-1", 401);
            check(host, "second", "secret-2", 401);
            let id = check(host, "second", "secret-9", 200);
            check_attempts(&system.upstreams, &id, 1, Some("vopu11"));
        }
        // A host that starts gets them from the hosts that are ready, and not from the store.
        system.hosts[3].process.signal(Signal::Kill);
        system.hosts[3].process.wait(Duration::from_secs(10)).await;
        let started = system.network.start(&system.store, 3).await;
        wait_until("the host is ready", || started.is_ready()).await;
        assert_eq!(call(&started, "/safe/1", "id-s1", &key("secret-1")).status, 401);
        assert_eq!(call(&started, "/safe/1", "id-s2", &key("secret-3")).status, 200);
        system.hosts.iter().chain([&started]).for_each(check_log);
    });
}

/// A message between a host and its follower, as builds without organisations know it.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Known([Revision; 2]),
    Update { feed: Feed, is_snapshot: bool, revision: Revision, items: Vec<Change> },
    Staleness([u32; 2]),
    Calls,
}

/// Follows the first host of a network.
fn follow(network: &Network) -> TcpStream {
    let mut stream = TcpStream::connect((network.ips[0], network.port)).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("an open socket");
    let known = Message::Known(Default::default());
    write(&mut stream, &known, vec![Era::from(1); 2]).expect("a connection");
    stream
}

/// Returns the next update of orders that a followed host sends.
fn next_orders(stream: &mut TcpStream) -> Vec<u8> {
    loop {
        let mut len = [0; 4];
        stream.read_exact(&mut len).expect("a message");
        let mut message = vec![0; u32::from_le_bytes(len) as usize];
        stream.read_exact(&mut message).expect("a message");
        let decoded = postcard::from_bytes(&message).expect("a message");
        if matches!(decoded, Message::Update { feed: Feed::Orders, .. }) {
            return message;
        }
    }
}

/// Returns the organisations that are appended to an update: whether they are known, by
/// configuration.
fn appended(message: &[u8]) -> Vec<bool> {
    let (message, rest) = postcard::take_from_bytes::<Message>(message).expect("a message");
    let (_, rest) = postcard::take_from_bytes::<Eras>(rest).expect("eras");
    let parts: Vec<access::Appendix> = postcard::from_bytes(rest).expect("organisations");
    let Message::Update { items, .. } = message else { panic!("not an update") };
    let tables = items.into_iter().filter_map(|item| match item {
        Change::Config(table) => Some(table),
        _ => None,
    });
    let completed = tables.zip(parts).map(|(table, part)| {
        let mut table = (*table).clone();
        part.complete(&mut table);
        table.directory.is_known()
    });
    completed.collect()
}

// Guards against messages that followers of earlier builds cannot read.
#[test]
fn a_follower_of_an_earlier_build_gets_the_configuration_without_organisations() {
    block_on(async {
        let system = System::start(174, 1).await;
        let mut stream = follow(&system.network);
        let message = next_orders(&mut stream);
        assert!(!String::from_utf8_lossy(&message).contains(KEY_PREFIX));
        let Ok(Message::Update { items, .. }) = postcard::from_bytes(&message) else { panic!() };
        let [Change::Config(table)] = &items[..] else { panic!("{items:?}") };
        let route = table.find("shop.example", "/safe/1").expect("a route");
        assert_eq!(table.directory.check(route, None), access::Decision::Allowed(None));
    });
}

/// The eras that builds without organisations append to a message.
#[derive(Debug, Serialize, Deserialize)]
struct Eras {
    revisions: Vec<Era>,
    orders: Vec<Era>,
    config: Sighting,
}

/// A host of an earlier build, which says that it is ready and relays a configuration.
struct EarlierHost {
    /// The version of the configuration that it relays.
    version: Arc<AtomicU64>,
    /// The upstream that it relays.
    upstream: Upstream,
}

impl EarlierHost {
    /// Starts to serve followers, and to send heartbeats to another host.
    fn start(own: SocketAddr, other: SocketAddr, upstream: &Upstream) -> Arc<EarlierHost> {
        let version = Arc::new(AtomicU64::new(1));
        let host = Arc::new(EarlierHost { version, upstream: upstream.clone() });
        let listener = TcpListener::bind(own).expect("a free port");
        let served = Arc::clone(&host);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // The follower ends the connection.
                let _ = served.serve_follower(stream);
            }
        });
        send_heartbeats(own, other);
        host
    }

    fn serve_follower(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut len = [0; 4];
        stream.read_exact(&mut len)?;
        stream.read_exact(&mut vec![0; u32::from_le_bytes(len) as usize])?;
        let version = self.version.load(Ordering::SeqCst);
        let row = |key: &str, value: String| rows::Row {
            key: key.into(),
            value: Some(value.into_bytes()),
            revision: version,
            is_removed: false,
        };
        let config = row("config", config_with(version, two_organisations()));
        let entry = row(&self.upstream.id, self.upstream.entry(SERVICE, "v1", "ready"));
        for (feed, row) in [(Feed::Orders, config), (Feed::Upstreams, entry)] {
            let items = vec![rows::parse_change(feed, Ok(row), Era::from(1)).expect("a change")];
            // The store has this number for version 1.
            let revision = Revision { era: Era::from(1), number: version + 2 };
            let update = Message::Update { feed, is_snapshot: true, revision, items };
            write(&mut stream, &update, vec![Era::from(1)])?;
        }
        loop {
            write(&mut stream, &Message::Staleness([0; 2]), Vec::new())?;
            std::thread::sleep(Duration::from_millis(300));
        }
    }
}

/// Sends a message as builds without organisations do.
fn write(stream: &mut TcpStream, message: &Message, revisions: Vec<Era>) -> io::Result<()> {
    let eras = Eras { revisions, orders: Vec::new(), config: Sighting::default() };
    let mut bytes = postcard::to_stdvec(message).expect("plain data");
    bytes.extend(postcard::to_stdvec(&eras).expect("plain data"));
    stream.write_all(&(bytes.len() as u32).to_le_bytes())?;
    stream.write_all(&bytes)
}

// Guards against a host that serves everybody until the next version because it has followed a host
// of an earlier build, and against one that loses its organisations in that way.
#[test]
fn a_host_that_follows_one_of_an_earlier_build_gets_and_keeps_the_organisations() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config_with(1, two_organisations()));
        let upstream = Upstream::start("i-0", PROMPT);
        store.put("servers", &upstream.id, &upstream.entry(SERVICE, "v1", "ready"));
        store.set_mode(Mode::Down);
        let network = Network::new(175, 2);
        let address = |ip: Ipv4Addr| SocketAddr::from((ip, network.port));
        let earlier =
            EarlierHost::start(address(network.ips[1]), address(network.ips[0]), &upstream);
        let host = network.start(&store, 0).await;
        wait_until("the host is ready", || host.is_ready()).await;
        wait_until("the host logs that it knows no organisations", || {
            host.process.event_count("organisations_unknown") == 1
        })
        .await;
        assert_eq!(call(&host, "/safe/1", "id-1", &key("secret-9")).status, 200);
        let mut follower = follow(&network);
        assert_eq!(appended(&next_orders(&mut follower)), [false]);

        store.set_mode(Mode::Up);
        wait_until("the host watches the store", || host.watches_store()).await;
        let is_refused = || call(&host, "/safe/1", "id-2", &key("secret-9")).status == 401;
        wait_until("the host has the organisations", is_refused).await;
        assert_eq!(call(&host, "/safe/1", "id-3", &key("secret-1")).status, 200);
        check_attempts(std::slice::from_ref(&upstream), "id-3", 1, Some("kaje80"));
        // The revision is the same as before.
        assert_eq!(appended(&next_orders(&mut follower)), [true]);

        earlier.version.store(2, Ordering::SeqCst);
        store.set_mode(Mode::Down);
        let is_rejected = |line: &Value| line.to_string().contains("relays no organisations");
        wait_until("the host does not take the later version", || {
            host.process.lines().iter().any(is_rejected)
        })
        .await;
        assert!(is_refused());
        assert!(!has_version(&host, 2));
        check_log(&host);
    });
}
