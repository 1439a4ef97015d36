//! Checks that a caller is told that its call has not run only if it has not: callers take the
//! statuses 408, 421, 429 and 503 for that, whoever sent them first.

use std::io::{self, Read as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::Store;
use basilhaven_bench::standin::users::upstream::{Behaviour, Content, Upstream};
use basilhaven_bench::standin::users::{read_request, write_response};

use crate::fixture::{config, send_heartbeats, wait_until, Fixture, Network, PROMPT, SERVICE};

/// The statuses with which an upstream may fail a call that it has run. A 421 with the id of the
/// call comes from an upstream that has not run it.
const UNPROVEN: [u16; 3] = [408, 429, 503];

const CONTENTS: [Content; 4] =
    [Content::Short, Content::Long, Content::Truncated, Content::Endless];

fn is_refusal(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Checks that a call, which an upstream with this behaviour ran, is not refused.
async fn check_call(behaviour: Behaviour, retry_after: Option<&str>) {
    let fixture = Fixture::start(&[behaviour]).await;
    fixture.upstreams[0].set_retry_after(retry_after);
    let response = fixture.host.call("POST", "/unsafe/1", "id-1").unwrap();
    assert_eq!(fixture.runs_of("id-1"), 1, "{behaviour:?}");
    assert!(!is_refusal(response.status), "{behaviour:?}: {}", response.head);
    // An upstream's signature on a status that the upstream did not send would be false.
    assert!(!response.head.contains("server-signature"), "{}", response.head);
}

// Guards against an upstream's own 408, 429 or 503 for a call that it ran, which told the caller of
// an at-most-once call that it had not run: callers sent it again, and it ran twice.
#[test]
fn a_call_that_ran_is_not_refused_by_its_upstreams_status() {
    block_on(async {
        for status in UNPROVEN {
            for content in CONTENTS {
                check_call(Behaviour::FailsWith(status, content), None).await;
            }
        }
        check_call(Behaviour::FailsWith(503, Content::Short), Some("1.5")).await;
    });
}

// Callers may send an idempotent call again whatever they are told, so they get the upstream's own
// status, which may name a time to stay away.
#[test]
fn an_idempotent_call_gets_its_upstreams_status() {
    block_on(async {
        for status in UNPROVEN {
            let fixture = Fixture::start(&[Behaviour::FailsWith(status, Content::Short)]).await;
            let response = fixture.host.call("GET", "/safe/1", "id-1").unwrap();
            assert_eq!((response.status, &*response.body), (status, "failed"));
            assert!(response.head.contains("server-signature"), "{}", response.head);
        }
    });
}

// Guards against an upstream that fails each call at once with 408 or 429, which counted as sound:
// it went on getting its share of the calls, and idempotent ones were not sent again.
#[test]
fn an_upstream_that_fails_with_a_refusal_is_avoided() {
    block_on(async {
        for status in UNPROVEN {
            let failing = Behaviour::FailsWith(status, Content::Short);
            let fixture = Fixture::start(&[failing, PROMPT, PROMPT]).await;
            let call = |method, path, id: &str| fixture.host.call(method, path, id).unwrap().status;
            for number in 0..20 {
                let served = call("GET", "/safe/1", &format!("s-{number}"));
                assert_eq!(served, 200, "{status}: idempotent call {number}");
            }
            let failed = (0..60)
                .filter(|number| call("POST", "/unsafe/1", &format!("u-{number}")) != 200)
                .count();
            assert!(failed <= 5, "{status}: {failed} of 60 calls failed");
        }
    });
}

/// Answers calls that are passed on as a host does whose upstream ran them and sent this status.
fn serve_calls(mut stream: TcpStream, status: u16, result: &str) -> io::Result<()> {
    let mut len = [0; 4];
    stream.read_exact(&mut len)?;
    stream.read_exact(&mut vec![0; u32::from_le_bytes(len) as usize])?;
    while let Some(request) = read_request(&mut stream)? {
        let id = request.header("x-basilhaven-request-id").unwrap_or_default();
        let headers = [
            ("x-basilhaven-request-id", id),
            ("x-basilhaven-server-signature", "s.1"),
            ("basilhaven-result", result),
        ];
        write_response(&mut stream, status, &headers, b"failed")?;
    }
    Ok(())
}

/// Checks that a host does not refuse a call to its caller that it has passed to a host of an
/// earlier build, which responds with this status and result.
async fn check_earlier_host(network: u8, status: u16, result: &'static str) {
    let store = Store::start();
    store.put("op", "config", &config(1, SERVICE));
    let network = Network::new(network, 2);
    let address = |ip: Ipv4Addr| SocketAddr::from((ip, network.port));
    let earlier = address(network.ips[1]);
    let listener = TcpListener::bind(earlier).expect("a free port");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // The other host ends the connection.
            std::thread::spawn(move || serve_calls(stream, status, result));
        }
    });
    send_heartbeats(earlier, address(network.ips[0]));
    let upstream = Upstream::start("i-0", PROMPT);
    // Nothing listens there.
    let closed = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    store.put("servers", "i-0", &upstream.entry_at(closed, "a", SERVICE, "v1", "ready"));
    let host = network.start(&store, 0).await;
    wait_until("the host is ready", || host.is_ready()).await;
    wait_until("the service is lost", || host.process.event_count("service_lost") == 1).await;
    let response = host.call("POST", "/unsafe/1", "id-1").unwrap();
    // The host's log arrives after its response.
    wait_until("the call is passed on", || host.process.event_count("passed_on") == 1).await;
    assert_eq!(response.status, 502, "{status} {result}: {}", response.head);
    assert!(!response.head.contains("server-signature"), "{}", response.head);
}

// Guards against an upstream's own status that comes from a host of an earlier build, which passes
// it on, and against a refusal by a host that does not say that the call has not run.
#[test]
fn a_call_that_another_host_answered_is_not_refused() {
    block_on(async {
        for (number, status) in (185..).zip([408, 421, 429, 503]) {
            check_earlier_host(number, status, "answered").await;
        }
        check_earlier_host(189, 503, "unknown").await;
    });
}
