//! Checks that upstreams that say in their responses that they leave get no more calls.

use std::time::{Duration, Instant};

use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::Mode;
use basilhaven_bench::standin::users::upstream::{Behaviour, Upstream};

use crate::fixture::{Fixture, PROMPT, SERVICE};

/// How long after a response an upstream that is leaving may still get calls.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Makes calls for some time, and returns how many were not served.
async fn call_for(fixture: &Fixture, time: Duration, name: &str) -> usize {
    let until = Instant::now() + time;
    let mut failed = 0;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{name}-{number}");
        let (method, kind) = [("GET", "safe"), ("POST", "unsafe")][number % 2];
        let response = fixture.host.call(method, &format!("/{kind}/{id}"), &id);
        failed += usize::from(!response.is_ok_and(|response| response.status == 200));
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    failed
}

fn list(fixture: &Fixture, upstream: &Upstream) {
    fixture.store.put("servers", &upstream.id, &upstream.entry(SERVICE, "v1", "ready"));
}

#[test]
fn an_upstream_that_says_it_leaves_gets_no_calls_until_it_starts_anew() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        let leaving = &fixture.upstreams[0];
        assert_eq!(call_for(&fixture, Duration::from_millis(300), "before").await, 0);
        assert!(!leaving.arrivals().is_empty());
        leaving.set_leaving(true);
        assert_eq!(call_for(&fixture, DRAIN_TIMEOUT, "leaving").await, 0);
        let known = leaving.arrivals().len();
        // Its entry says that it is ready, also while the store is away and after it has returned.
        list(&fixture, leaving);
        assert_eq!(call_for(&fixture, Duration::from_secs(1), "listed").await, 0);
        fixture.store.set_mode(Mode::Down);
        assert_eq!(call_for(&fixture, Duration::from_secs(2), "away").await, 0);
        fixture.store.set_mode(Mode::Up);
        list(&fixture, leaving);
        assert_eq!(call_for(&fixture, Duration::from_secs(2), "back").await, 0);
        assert_eq!(leaving.arrivals().len(), known, "calls to an upstream that is leaving");
        leaving.restart();
        list(&fixture, leaving);
        assert_eq!(call_for(&fixture, Duration::from_secs(2), "anew").await, 0);
        assert!(leaving.arrivals().len() > known, "no call after its new start");
    });
}

#[test]
fn calls_are_refused_at_once_if_all_upstreams_say_that_they_leave() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        fixture.upstreams.iter().for_each(|upstream| upstream.set_leaving(true));
        call_for(&fixture, DRAIN_TIMEOUT, "leaving").await;
        let started = Instant::now();
        let response = fixture.host.call("POST", "/unsafe/last", "last").expect("a response");
        assert_eq!(response.status, 503);
        assert!(started.elapsed() < Duration::from_millis(200), "{:?}", started.elapsed());
        assert_eq!(fixture.runs_of("last"), 0);
    });
}

#[test]
fn a_leaving_upstreams_last_responses_reach_their_callers_without_the_mark() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::Serves(Duration::from_millis(300))]).await;
        fixture.upstreams[0].set_leaving(true);
        let response = fixture.host.call("GET", "/safe/last", "last").expect("a response");
        let expected = if fixture.runs_of("last") == 1 { 200 } else { 503 };
        assert_eq!(response.status, expected);
        assert!(!response.head.contains("server-leaving"), "{}", response.head);
    });
}
