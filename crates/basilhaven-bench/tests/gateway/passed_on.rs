//! Checks calls that another host passes on, with the test in the place of that host.

use std::io::Write as _;
use std::net::TcpStream;
use std::time::Duration;

use basilhaven::gateway::relay;
use basilhaven_bench::gateway::Response;
use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::Store;
use basilhaven_bench::standin::users::upstream::{Behaviour, Content, Echo, Upstream};

use crate::fixture::{config, config_with, receive, Network, NO_RETRIES, SERVICE};

/// Connects to a host as another host does that passes calls on.
fn connect(network: &Network) -> TcpStream {
    let mut stream = TcpStream::connect((network.ips[0], network.port)).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.write_all(&relay::encode_calls().unwrap()).unwrap();
    stream
}

/// Passes a call that has so many attempts left to a host, with these additional header fields.
fn pass_on(stream: &mut TcpStream, id: &str, attempts: u32, extra_fields: &str) -> Response {
    let request = format!(
        "POST /unsafe/1 HTTP/1.1\r\nHost: shop.example\r\nX-Basilhaven-Request-Id: {id}\r\n\
         X-Basilhaven-Deadline-Ms: 2000\r\nbasilhaven-service: {SERVICE}\r\n\
         basilhaven-config-version: 1\r\nbasilhaven-attempts: {attempts}\r\n\
         basilhaven-elapsed-ms: 0\r\n{extra_fields}\r\n"
    );
    stream.write_all(request.as_bytes()).expect("a connection");
    receive(stream).expect("a response")
}

/// Passes a call twice to a host whose upstream sends a rejection again before the response, and
/// checks that the call is not refused although it ran.
fn check_second_time(number: u8, second_fields: fn(&Response) -> String) {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let upstream = Upstream::start("i-0", Behaviour::RepeatsRejections(Echo::Id));
        store.put("servers", &upstream.id, &upstream.entry(SERVICE, "v1", "ready"));
        let network = Network::new(number, 1);
        let _hosts = network.start_all(&store, &NO_RETRIES).await;
        let mut stream = connect(&network);
        let first = pass_on(&mut stream, "id-1", 2, "basilhaven-tried: \r\n");
        assert!(first.head.contains("basilhaven-sends: 1"), "{}", first.head);
        let second = pass_on(&mut stream, "id-1", 1, &second_fields(&first));
        let has_run = !upstream.executed_ids().is_empty();
        assert!(second.status != 503 || !has_run, "the call was refused and ran");
    });
}

// Guards against a late copy of a rejection that is taken for the response to a second sending.
#[test]
fn a_call_that_is_passed_on_twice_is_not_refused_and_run() {
    check_second_time(61, |first| {
        let mut fields = first.head.lines().filter(|line| line.starts_with("basilhaven-tried: "));
        fields.next().map(|field| format!("{field}\r\n")).unwrap_or_default()
    });
}

// Guards against the same mistake if a host of an earlier build passes the call on.
#[test]
fn a_call_that_an_earlier_build_passes_on_twice_is_not_refused_and_run() {
    check_second_time(62, |_| String::new());
}

// Guards against an upstream's own 503 that reaches a host of an earlier build, which sends it to
// its caller as a promise that the call has not run.
#[test]
fn a_call_that_ran_is_not_refused_to_the_host_that_passed_it_on() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let upstream = Upstream::start("i-0", Behaviour::FailsWith(503, Content::Short));
        store.put("servers", &upstream.id, &upstream.entry(SERVICE, "v1", "ready"));
        let network = Network::new(184, 1);
        let _hosts = network.start_all(&store, &NO_RETRIES).await;
        let response = pass_on(&mut connect(&network), "id-1", 2, "basilhaven-tried: \r\n");
        assert_eq!((response.status, upstream.executed_ids().len()), (502, 1), "{}", response.head);
        assert!(response.head.contains("basilhaven-result: answered"), "{}", response.head);
    });
}

// Guards against a 413 that does not say that the call has ended: the host that passed the call on
// took it for an unknown end, and its caller got a 502.
#[test]
fn a_body_that_is_too_long_ends_a_call_that_is_passed_on() {
    block_on(async {
        let store = Store::start();
        let config = config_with(1, SERVICE, |config| {
            config["Limits"]["MaxBodyBytes"] = 1000.into();
        });
        store.put("op", "config", &config);
        let network = Network::new(177, 1);
        let _hosts = network.start_all(&store, &NO_RETRIES).await;
        let announced = pass_on(&mut connect(&network), "id-1", 1, "Content-Length: 1001\r\n");
        // One chunk of 0x3e9 = 1001 bytes.
        let body = format!("Transfer-Encoding: chunked\r\n\r\n3e9\r\n{}", "x".repeat(1001));
        let sent = pass_on(&mut connect(&network), "id-2", 1, &body);
        for response in [announced, sent] {
            assert_eq!(response.status, 413);
            assert!(response.head.contains("basilhaven-result: answered"), "{}", response.head);
        }
    });
}
