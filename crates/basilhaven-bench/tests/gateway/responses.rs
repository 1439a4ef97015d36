//! Each caller gets the right and whole answer, and a call that may not be repeated runs once.

use std::io::Read as _;
use std::time::{Duration, Instant};

use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::upstream::{Behaviour, Endless};

use crate::fixture::{receive, send, wait_until, Fixture, PROMPT};

#[test]
fn a_call_reaches_an_upstream_with_its_id_and_the_time_that_is_left() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let answer = fixture.host.call("GET", "/safe/1?x=2", "id-1").unwrap();
        assert_eq!((answer.status, &*answer.body), (200, "id-1 by i-0"));
        assert!(answer.head.contains("x-basilhaven-server-signature: s.1"));
        let request = &fixture.upstreams[0].requests()[0];
        assert_eq!(request.target, "/safe/1?x=2");
        assert_eq!(request.header("x-basilhaven-expected-instance"), Some("i-0"));
        let left: u64 = request.header("x-basilhaven-deadline-ms").unwrap().parse().unwrap();
        assert!(left <= 2000, "{left} ms were handed on of 2000");
    });
}

#[test]
fn a_path_without_a_route_is_not_found() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        assert_eq!(fixture.host.call("GET", "/elsewhere/1", "id-1").unwrap().status, 404);
        assert_eq!(fixture.runs_of("id-1"), 0);
    });
}

#[test]
fn a_call_that_may_not_be_repeated_is_not_sent_again_after_a_lost_answer() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::LosesAnswers, Behaviour::LosesAnswers]).await;
        for number in 0..5 {
            let id = format!("id-{number}");
            let answer = fixture.host.call("POST", "/unsafe/1", &id).unwrap();
            assert_eq!((answer.status, fixture.runs_of(&id)), (502, 1));
        }
    });
}

#[test]
fn a_safe_call_is_sent_again_after_a_lost_answer() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::LosesAnswers, PROMPT]).await;
        let answers =
            (0..4).map(|n| fixture.host.call("GET", "/safe/1", &format!("id-{n}")).unwrap());
        assert!(answers.map(|answer| answer.status).all(|status| status == 200));
    });
}

#[test]
fn a_safe_call_is_sent_to_no_more_upstreams_than_its_route_allows() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Fails; 3]).await;
        let answer = fixture.host.call("GET", "/safe/1", "id-1").unwrap();
        assert_eq!((answer.status, &*answer.body), (500, "failed"));
        assert_eq!(fixture.runs_of("id-1"), 2);
    });
}

#[test]
fn an_answer_that_is_cut_short_never_looks_whole() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::CutsAnswers]).await;
        let answer = fixture.host.call("POST", "/unsafe/1", "id-1").unwrap();
        assert_eq!((answer.status, fixture.runs_of("id-1")), (502, 1));
    });
}

#[test]
fn a_success_without_the_upstreams_mark_is_no_success() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::OmitsSignature]).await;
        let answer = fixture.host.call("POST", "/unsafe/1", "id-1").unwrap();
        assert_eq!(answer.status, 502);
    });
}

#[test]
fn a_second_answer_is_given_to_no_other_caller() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::AnswersTwice]).await;
        for number in 0..20 {
            let id = format!("id-{number}");
            let answer = fixture.host.call("GET", "/safe/1", &id).unwrap();
            assert_eq!((answer.status, answer.body), (200, format!("{id} by i-0")));
        }
    });
}

#[test]
fn a_refusal_says_that_the_call_did_not_run_and_when_to_come_back() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Sheds, Behaviour::IsAnother]).await;
        let answer = fixture.host.call("POST", "/unsafe/1", "id-1").unwrap();
        assert_eq!((answer.status, fixture.runs_of("id-1")), (503, 0));
        assert!(answer.head.contains("retry-after: 0."), "{}", answer.head);
    });
}

#[test]
fn a_call_that_another_upstream_shed_is_answered_by_the_next() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Sheds, PROMPT]).await;
        for number in 0..4 {
            let answer = fixture.host.call("POST", "/unsafe/1", &format!("id-{number}")).unwrap();
            assert_eq!(answer.status, 200);
        }
    });
}

#[test]
fn a_refusal_after_a_run_that_may_have_been_is_not_called_one() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::LosesAnswers, Behaviour::Sheds]).await;
        for number in 0..6 {
            let id = format!("id-{number}");
            let status = fixture.host.call("GET", "/safe/1", &id).unwrap().status;
            let ran = fixture.runs_of(&id) > 0;
            assert!(!(ran && status == 503), "503 for a call that ran");
        }
    });
}

#[test]
fn a_safe_call_ends_at_its_upstream_when_its_caller_leaves() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Hangs]).await;
        let mut caller = fixture.host.open().unwrap();
        send(&mut caller, "GET", "/safe/1", "id-1", 2000).unwrap();
        wait_until("the call runs", || fixture.runs_of("id-1") == 1).await;
        let left = Instant::now();
        drop(caller);
        wait_until("the call is cancelled", || fixture.upstreams[0].cancelled() == 1).await;
        assert!(left.elapsed() < Duration::from_millis(500));
    });
}

#[test]
fn a_call_without_an_answer_ends_at_the_routes_time_limit() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Hangs]).await;
        let mut caller = fixture.host.open().unwrap();
        let sent = Instant::now();
        send(&mut caller, "POST", "/unsafe/1", "id-1", 60_000).unwrap();
        let answer = receive(&mut caller).unwrap();
        assert!(matches!(answer.status, 502 | 504), "status {}", answer.status);
        let took = sent.elapsed();
        assert!(took < Duration::from_millis(2500), "{took:?} for a limit of 2 s");
    });
}

#[test]
fn a_slow_upstream_is_passed_over() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        fixture.upstreams[0].set_load("0,0,4,400");
        for number in 0..20 {
            fixture.host.call("GET", "/safe/1", &format!("id-{number}")).unwrap();
        }
        assert_eq!(fixture.upstreams[0].ran().len(), 0);
    });
}

#[test]
fn a_full_upstream_gets_nothing_and_the_caller_is_refused() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        fixture.upstreams[0].set_load("4,2,4,100");
        let mut caller = fixture.host.open().unwrap();
        send(&mut caller, "POST", "/unsafe/1", "id-1", 400).unwrap();
        let answer = receive(&mut caller).unwrap();
        assert_eq!((answer.status, fixture.runs_of("id-1")), (503, 0));
    });
}

#[test]
fn a_second_copy_of_an_answer_that_comes_late_is_nobodys_answer() {
    block_on(async {
        for behaviour in [Behaviour::AnswersAgainLate, Behaviour::HealthAgainLate] {
            let fixture = Fixture::start(&[behaviour]).await;
            for number in 0..30 {
                let (method, path) = [("GET", "/safe/1"), ("POST", "/unsafe/1")][number % 2];
                let id = format!("id-{number}");
                let answer = fixture.host.call(method, path, &id).unwrap();
                assert_eq!((answer.status, &*answer.body), (200, &*format!("{id} by i-0")));
                assert_eq!(fixture.runs_of(&id), 1);
            }
        }
    });
}

#[test]
fn calls_use_the_connections_on_which_upstreams_were_asked_for_their_load() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        for number in 0..10 {
            // Longer apart than a connection may have been idle for a call that may not run twice.
            monoio::time::sleep(Duration::from_millis(600)).await;
            let answer = fixture.host.call("POST", "/unsafe/1", &format!("id-{number}")).unwrap();
            assert_eq!(answer.status, 200);
        }
        let opened: usize = fixture.upstreams.iter().map(|upstream| upstream.connections()).sum();
        assert!(opened <= 4, "{opened} connections to two upstreams for ten calls");
    });
}

/// What a caller saw of an answer until its connection ended, and how long that took.
fn watch_answer(fixture: &Fixture, method: &str, path: &str, id: &str) -> (Vec<u8>, Duration) {
    let mut stream = fixture.host.open().unwrap();
    let started = Instant::now();
    send(&mut stream, method, path, id, 1000).unwrap();
    let (mut seen, mut piece) = (Vec::new(), vec![0; 65536]);
    loop {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return (seen, started.elapsed()),
            Ok(len) => seen.extend_from_slice(&piece[..len.min(1 << 20)]),
        }
        // One whole answer without a body is enough.
        if seen.ends_with(b"content-length: 0\r\n\r\n") {
            return (seen, started.elapsed());
        }
        assert!(started.elapsed() < Duration::from_secs(10), "{} bytes so far", seen.len());
    }
}

#[test]
fn bytes_without_end_hold_a_call_no_longer_than_its_deadline_and_no_memory() {
    block_on(async {
        let places = [
            Endless::Interim,
            Endless::Head,
            Endless::ChunkExtension,
            Endless::Trailer,
            Endless::Body,
            Endless::SlowBody,
        ];
        for place in places {
            let fixture = Fixture::start(&[Behaviour::Endless(place)]).await;
            for (number, (method, path)) in
                [("GET", "/safe/1"), ("POST", "/unsafe/1")].into_iter().enumerate()
            {
                let id = format!("id-{number}");
                let (seen, took) = watch_answer(&fixture, method, path, &id);
                assert!(took < Duration::from_millis(2500), "{place:?}: {took:?}");
                let text = String::from_utf8_lossy(&seen[..seen.len().min(200)]).into_owned();
                // It may have run: nothing says that it has not, and no body looks whole.
                let is_failure =
                    text.starts_with("HTTP/1.1 502") || text.starts_with("HTTP/1.1 504");
                let is_cut = text.starts_with("HTTP/1.1 200") && !seen.ends_with(b"0\r\n\r\n");
                assert!(is_failure || is_cut, "{place:?}: {text}");
                // A safe call may be sent to the upstream once more.
                let most = if method == "GET" { 2 } else { 1 };
                assert!((1..=most).contains(&fixture.runs_of(&id)), "{place:?}");
            }
            // The host still serves at once, and pages too.
            assert!(fixture.host.is_ready());
            let most = fixture.host.process.peak_bytes();
            assert!(most < 64 << 20, "{place:?}: {most} bytes");
        }
    });
}

#[test]
fn a_host_serves_others_while_an_upstream_sends_without_end() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Endless(Endless::Interim), PROMPT]).await;
        for number in 0..20 {
            let started = Instant::now();
            let answer = fixture.host.call("GET", "/safe/1", &format!("id-{number}")).unwrap();
            assert_eq!(answer.status, 200);
            assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
        }
    });
}
