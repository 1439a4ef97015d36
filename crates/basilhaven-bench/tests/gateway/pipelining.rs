//! Callers that send further safe calls before the first one is answered.

use std::net::TcpStream;
use std::time::Duration;

use basilhaven_bench::process::Signal;
use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::upstream::Behaviour;

use crate::fixture::{receive, send, wait_until, Fixture, PROMPT};

const IDS: [&str; 4] = ["id-0", "id-1", "id-2", "id-3"];

/// Sends all calls before any answer is read.
fn send_all(fixture: &Fixture) -> TcpStream {
    let mut stream = fixture.host.open().unwrap();
    for (number, id) in IDS.into_iter().enumerate() {
        send(&mut stream, "GET", &format!("/safe/{number}"), id, 2000).unwrap();
    }
    stream
}

#[test]
fn answers_come_in_the_order_of_the_calls_though_the_first_is_slow() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(300))]).await;
        let mut stream = send_all(&fixture);
        wait_until("the first call runs", || fixture.runs_of(IDS[0]) == 1).await;
        fixture.upstreams[0].set(PROMPT);
        for id in IDS {
            let answer = receive(&mut stream).unwrap();
            assert_eq!((answer.status, &*answer.body), (200, &*format!("{id} by i-0")));
            assert_eq!(fixture.runs_of(id), 1);
        }
    });
}

#[test]
fn a_call_that_fails_or_loses_its_upstream_takes_no_answer_of_those_behind_it() {
    block_on(async {
        for behaviour in [Behaviour::Fails, Behaviour::LosesAnswers, Behaviour::CutsAnswers] {
            let fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(300))]).await;
            let mut stream = send_all(&fixture);
            wait_until("the first call runs", || fixture.runs_of(IDS[0]) == 1).await;
            fixture.upstreams[0].set(behaviour);
            assert_eq!(receive(&mut stream).unwrap().status, 200);
            let second = receive(&mut stream).unwrap();
            assert!([500, 502].contains(&second.status), "{behaviour:?}: {second:?}");
            fixture.upstreams[0].set(PROMPT);
            // The third may have begun before the upstream was well again.
            for id in &IDS[2..] {
                let answer = receive(&mut stream).unwrap();
                let is_own = answer.body == format!("{id} by i-0") && answer.status == 200;
                assert!(is_own || [500, 502].contains(&answer.status), "{behaviour:?}: {answer:?}");
            }
        }
    });
}

#[test]
fn calls_behind_an_answer_that_closes_the_connection_do_not_run() {
    block_on(async {
        let mut fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(400))]).await;
        let mut stream = send_all(&fixture);
        wait_until("the first call runs", || fixture.runs_of(IDS[0]) == 1).await;
        fixture.host.process.signal(Signal::Terminate);
        wait_until("the host leaves", || fixture.host.process.lines_with("leaving") == 1).await;
        let answer = receive(&mut stream).unwrap();
        assert_eq!((answer.status, &*answer.body), (200, "id-0 by i-0"));
        assert!(answer.head.contains("connection: close"), "{}", answer.head);
        assert!(receive(&mut stream).is_err(), "nothing comes behind it");
        assert_eq!(fixture.host.process.wait(Duration::from_secs(6)).await, Some(true));
        IDS[1..]
            .iter()
            .for_each(|id| assert_eq!(fixture.runs_of(id), 0, "{id} counts as not read"));
    });
}
