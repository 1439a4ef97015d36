//! Checks that each caller receives its own complete response, and that an at-most-once call runs
//! at most once.

use std::io::{Read as _, Write as _};
use std::time::{Duration, Instant};

use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::upstream::{Behaviour, Echo, Endless};

use crate::fixture::{receive, send, wait_until, Fixture, PROMPT};

#[test]
fn a_call_reaches_an_upstream_with_its_id_and_remaining_time() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let response = fixture.host.call("GET", "/safe/1?x=2", "id-1").unwrap();
        assert_eq!((response.status, &*response.body), (200, "id-1 by i-0"));
        assert!(response.head.contains("x-basilhaven-server-signature: s.1"));
        let request = &fixture.upstreams[0].requests()[0];
        assert_eq!(request.target, "/safe/1?x=2");
        assert_eq!(request.header("x-basilhaven-expected-instance"), Some("i-0"));
        let remaining_ms: u64 =
            request.header("x-basilhaven-deadline-ms").unwrap().parse().unwrap();
        assert!(remaining_ms <= 2000, "{remaining_ms} ms were forwarded of 2000");
    });
}

// Guards against a copy of another call's rejection that is taken for the response to a call.
#[test]
fn a_call_without_an_id_is_not_refused_by_another_calls_rejection() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::RepeatsRejections(Echo::Nothing)]).await;
        let mut stream = fixture.host.open().unwrap();
        for number in 0..4 {
            let known = fixture.upstreams[0].executed_ids().len();
            let request = "POST /unsafe/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n";
            stream.write_all(request.as_bytes()).unwrap();
            let response = receive(&mut stream).unwrap();
            let has_run = fixture.upstreams[0].executed_ids().len() > known;
            assert!(response.status != 503 || !has_run, "call {number} was refused and ran");
        }
    });
}

#[test]
fn a_path_without_a_route_gets_404() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        assert_eq!(fixture.host.call("GET", "/elsewhere/1", "id-1").unwrap().status, 404);
        assert_eq!(fixture.runs_of("id-1"), 0);
    });
}

#[test]
fn an_at_most_once_call_is_not_retried_after_a_lost_response() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::DropsResponses, Behaviour::DropsResponses]).await;
        for number in 0..5 {
            let id = format!("id-{number}");
            let response = fixture.host.call("POST", "/unsafe/1", &id).unwrap();
            assert_eq!((response.status, fixture.runs_of(&id)), (502, 1));
        }
    });
}

#[test]
fn an_idempotent_call_is_retried_after_a_lost_response() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::DropsResponses, PROMPT]).await;
        let responses =
            (0..4).map(|n| fixture.host.call("GET", "/safe/1", &format!("id-{n}")).unwrap());
        assert!(responses.map(|response| response.status).all(|status| status == 200));
    });
}

#[test]
fn an_idempotent_call_has_no_more_attempts_than_its_route_allows() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Fails; 3]).await;
        let response = fixture.host.call("GET", "/safe/1", "id-1").unwrap();
        assert_eq!((response.status, &*response.body), (500, "failed"));
        assert_eq!(fixture.runs_of("id-1"), 2);
    });
}

#[test]
fn a_truncated_response_is_never_forwarded_as_complete() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::TruncatesResponses]).await;
        let response = fixture.host.call("POST", "/unsafe/1", "id-1").unwrap();
        assert_eq!((response.status, fixture.runs_of("id-1")), (502, 1));
    });
}

#[test]
fn a_success_without_the_upstreams_signature_is_an_error() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::OmitsSignature]).await;
        let response = fixture.host.call("POST", "/unsafe/1", "id-1").unwrap();
        assert_eq!(response.status, 502);
    });
}

#[test]
fn a_duplicate_response_reaches_no_other_caller() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::RepeatsResponses]).await;
        for number in 0..20 {
            let id = format!("id-{number}");
            let response = fixture.host.call("GET", "/safe/1", &id).unwrap();
            assert_eq!((response.status, response.body), (200, format!("{id} by i-0")));
        }
    });
}

#[test]
fn a_call_that_did_not_run_gets_503_with_retry_after() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Sheds, Behaviour::RejectsAsMisdirected]).await;
        let response = fixture.host.call("POST", "/unsafe/1", "id-1").unwrap();
        assert_eq!((response.status, fixture.runs_of("id-1")), (503, 0));
        assert!(response.head.contains("retry-after: 0."), "{}", response.head);
    });
}

#[test]
fn a_shed_call_is_retried_at_another_upstream() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Sheds, PROMPT]).await;
        for number in 0..4 {
            let response = fixture.host.call("POST", "/unsafe/1", &format!("id-{number}")).unwrap();
            assert_eq!(response.status, 200);
        }
    });
}

#[test]
fn a_call_that_may_have_run_never_gets_503() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::DropsResponses, Behaviour::Sheds]).await;
        for number in 0..6 {
            let id = format!("id-{number}");
            let status = fixture.host.call("GET", "/safe/1", &id).unwrap().status;
            let ran = fixture.runs_of(&id) > 0;
            assert!(!(ran && status == 503), "503 for a call that ran");
        }
    });
}

#[test]
fn an_idempotent_call_is_cancelled_when_its_caller_disconnects() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Hangs]).await;
        let mut caller = fixture.host.open().unwrap();
        send(&mut caller, "GET", "/safe/1", "id-1", 2000).unwrap();
        wait_until("the call runs", || fixture.runs_of("id-1") == 1).await;
        let left_at = Instant::now();
        drop(caller);
        wait_until("the call is cancelled", || fixture.upstreams[0].cancelled() == 1).await;
        assert!(left_at.elapsed() < Duration::from_millis(500));
    });
}

#[test]
fn a_call_without_a_response_ends_at_the_routes_timeout() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Hangs]).await;
        let mut caller = fixture.host.open().unwrap();
        let sent = Instant::now();
        send(&mut caller, "POST", "/unsafe/1", "id-1", 60_000).unwrap();
        let response = receive(&mut caller).unwrap();
        assert!(matches!(response.status, 502 | 504), "status {}", response.status);
        let took = sent.elapsed();
        assert!(took < Duration::from_millis(2500), "{took:?} with a timeout of 2 s");
    });
}

#[test]
fn a_slow_upstream_gets_no_calls() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        fixture.upstreams[0].set_load("0,0,4,400");
        for number in 0..20 {
            fixture.host.call("GET", "/safe/1", &format!("id-{number}")).unwrap();
        }
        assert_eq!(fixture.upstreams[0].executed_ids().len(), 0);
    });
}

#[test]
fn a_full_upstream_gets_no_calls_and_the_caller_gets_503() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        fixture.upstreams[0].set_load("4,2,4,100");
        let mut caller = fixture.host.open().unwrap();
        send(&mut caller, "POST", "/unsafe/1", "id-1", 400).unwrap();
        let response = receive(&mut caller).unwrap();
        assert_eq!((response.status, fixture.runs_of("id-1")), (503, 0));
    });
}

#[test]
fn a_late_duplicate_response_reaches_no_caller() {
    block_on(async {
        for behaviour in [Behaviour::RepeatsResponsesLate, Behaviour::RepeatsHealthChecksLate] {
            let fixture = Fixture::start(&[behaviour]).await;
            for number in 0..30 {
                let (method, path) = [("GET", "/safe/1"), ("POST", "/unsafe/1")][number % 2];
                let id = format!("id-{number}");
                let response = fixture.host.call(method, path, &id).unwrap();
                assert_eq!((response.status, &*response.body), (200, &*format!("{id} by i-0")));
                assert_eq!(fixture.runs_of(&id), 1);
            }
        }
    });
}

#[test]
fn calls_reuse_the_connections_of_load_probes() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        for number in 0..10 {
            // Longer than the maximum idle time of a connection for an at-most-once call.
            monoio::time::sleep(Duration::from_millis(600)).await;
            let response = fixture.host.call("POST", "/unsafe/1", &format!("id-{number}")).unwrap();
            assert_eq!(response.status, 200);
        }
        let opened: usize = fixture.upstreams.iter().map(|upstream| upstream.connections()).sum();
        assert!(opened <= 4, "{opened} connections to two upstreams for ten calls");
    });
}

/// Returns the bytes that a caller received until its connection ended, and how long that took.
fn read_until_closed(fixture: &Fixture, method: &str, path: &str, id: &str) -> (Vec<u8>, Duration) {
    let mut stream = fixture.host.open().unwrap();
    let started = Instant::now();
    send(&mut stream, method, path, id, 1000).unwrap();
    let (mut seen, mut piece) = (Vec::new(), vec![0; 65536]);
    loop {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return (seen, started.elapsed()),
            Ok(len) => seen.extend_from_slice(&piece[..len.min(1 << 20)]),
        }
        // A complete response without a body ends the wait too.
        if seen.ends_with(b"content-length: 0\r\n\r\n") {
            return (seen, started.elapsed());
        }
        assert!(started.elapsed() < Duration::from_secs(10), "{} bytes so far", seen.len());
    }
}

#[test]
fn endless_responses_neither_outlast_the_deadline_nor_fill_memory() {
    block_on(async {
        let positions = [
            Endless::Interim,
            Endless::Head,
            Endless::ChunkExtension,
            Endless::Trailer,
            Endless::Body,
            Endless::SlowBody,
        ];
        for position in positions {
            let fixture = Fixture::start(&[Behaviour::Endless(position)]).await;
            for (number, (method, path)) in
                [("GET", "/safe/1"), ("POST", "/unsafe/1")].into_iter().enumerate()
            {
                let id = format!("id-{number}");
                let (seen, took) = read_until_closed(&fixture, method, path, &id);
                assert!(took < Duration::from_millis(2500), "{position:?}: {took:?}");
                let text = String::from_utf8_lossy(&seen[..seen.len().min(200)]).into_owned();
                // The call may have run, so the response is neither a 503 nor complete.
                let is_failure =
                    text.starts_with("HTTP/1.1 502") || text.starts_with("HTTP/1.1 504");
                let is_cut = text.starts_with("HTTP/1.1 200") && !seen.ends_with(b"0\r\n\r\n");
                assert!(is_failure || is_cut, "{position:?}: {text}");
                // An idempotent call may have a second attempt.
                let max = if method == "GET" { 2 } else { 1 };
                assert!((1..=max).contains(&fixture.runs_of(&id)), "{position:?}");
            }
            // The host still serves its pages at once.
            assert!(fixture.host.is_ready());
            let max = fixture.host.process.peak_bytes();
            assert!(max < 64 << 20, "{position:?}: {max} bytes");
        }
    });
}

#[test]
fn other_upstreams_are_served_while_one_sends_endlessly() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Endless(Endless::Interim), PROMPT]).await;
        for number in 0..20 {
            let started = Instant::now();
            let response = fixture.host.call("GET", "/safe/1", &format!("id-{number}")).unwrap();
            assert_eq!(response.status, 200);
            assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
        }
    });
}

fn check_repeated_rejection(echo: Echo) {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::RepeatsRejections(echo)]).await;
        for number in 0..20 {
            let id = format!("call-{number}");
            let response = fixture.host.call("POST", &format!("/unsafe/{id}"), &id).unwrap();
            let runs = fixture.runs_of(&id);
            assert!(runs <= 1, "{id} ran {runs} times");
            let is_refused = matches!(response.status, 408 | 421 | 429 | 503);
            assert!(!is_refused || runs == 0, "{id} was refused and has run");
        }
    });
}

#[test]
fn a_rejection_that_is_sent_again_is_not_taken_for_that_of_the_same_call_at_the_same_upstream() {
    check_repeated_rejection(Echo::Id);
}

#[test]
fn a_rejection_without_a_request_id_does_not_show_that_a_call_has_not_run() {
    check_repeated_rejection(Echo::Nothing);
}

#[test]
fn a_response_whose_head_is_cut_is_never_forwarded_as_complete() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        for len in (0..100).step_by(3) {
            fixture.upstreams[0].set_behaviour(Behaviour::TruncatesHead(len));
            let id = format!("cut-{len}");
            let response = fixture.host.call("POST", &format!("/unsafe/{id}"), &id).unwrap();
            let expected = if fixture.runs_of(&id) == 0 { 503 } else { 502 };
            assert_eq!(response.status, expected, "{len} bytes of the head: {response:?}");
        }
    });
}
