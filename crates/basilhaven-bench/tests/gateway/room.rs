//! Checks what callers get while the upstreams report that they have no room.

use std::time::{Duration, Instant};

use basilhaven_bench::standin::block_on;

use crate::fixture::{receive, send, Fixture, PROMPT};

/// Makes a call whose caller waits for this time; returns the status, `Retry-After` in seconds, and
/// how long the call took.
fn call(fixture: &Fixture, id: &str, deadline_ms: u64) -> (u16, Option<f64>, Duration) {
    let started = Instant::now();
    let mut stream = fixture.host.open().expect("a connection");
    send(&mut stream, "GET", &format!("/safe/{id}"), id, deadline_ms).expect("a sent request");
    let response = receive(&mut stream).expect("a response");
    let mut lines = response.head.lines();
    let retry_after = lines.find_map(|line| line.strip_prefix("retry-after: ")?.parse().ok());
    (response.status, retry_after, started.elapsed())
}

/// Guards against calls that wait to the end of their deadline for room that is not to be expected,
/// and against callers that are told to return before there is any.
#[test]
fn a_call_without_a_chance_is_refused_before_its_deadline() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        for number in 0..10 {
            assert_eq!(call(&fixture, &format!("first-{number}"), 2000).0, 200);
        }
        // Shows the host that callers send the time that they have left.
        assert_eq!(call(&fixture, "returned", 1400).0, 200);
        fixture.upstreams.iter().for_each(|upstream| upstream.set_load("4,2,4,100"));
        // The first calls have used up the host's probes; older reports count for another 150 ms.
        monoio::time::sleep(Duration::from_millis(300)).await;
        let (status, retry_after, took) = call(&fixture, "full", 2000);
        assert_eq!(status, 503);
        // The call could wait until 1.9 s. Its target can be met until some 0.3 s.
        assert!(
            (Duration::from_millis(300)..Duration::from_millis(1500)).contains(&took),
            "{took:?}"
        );
        let third = (2.0 - took.as_secs_f64()) / 3.0;
        assert!(
            retry_after.is_some_and(|time| (0.1..third + 0.05).contains(&time)),
            "{retry_after:?}"
        );
        assert_eq!(fixture.runs_of("full"), 0);
        fixture.upstreams.iter().for_each(|upstream| upstream.set_load("0,0,4,100"));
        let (status, _, took) = call(&fixture, "free", 2000);
        assert_eq!(status, 200, "there is room again");
        assert!(took < Duration::from_millis(500), "{took:?}");
    });
}
