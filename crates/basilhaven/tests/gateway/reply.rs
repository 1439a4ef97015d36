//! Which statuses callers are told.

use basilhaven::gateway::{attempt, reply};
use basilhaven::profile::Idempotency;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};

fn response(status: StatusCode) -> attempt::Response {
    let (headers, body) = (HeaderMap::new(), Bytes::from_static(b"failed"));
    let leaving = Some("i-0".into());
    attempt::Response { status, headers, body, remainder: None, share: None, leaving }
}

fn statuses() -> impl Iterator<Item = StatusCode> {
    (100..1000).map(|code| StatusCode::from_u16(code).expect("a status"))
}

// Guards against a refusal of an at-most-once call that rests on an upstream's status alone.
#[test]
fn no_response_to_an_at_most_once_call_is_a_refusal() {
    for status in statuses() {
        let answer = reply::Answer::new(response(status), Idempotency::AtMostOnce);
        let is_refusal = [408, 421, 429, 503].contains(&status.as_u16());
        assert_eq!(answer.withheld(), is_refusal.then_some(status));
        let told = if is_refusal { StatusCode::BAD_GATEWAY } else { status };
        assert_eq!(answer.response().status, told);
        assert_eq!(answer.response().leaving.as_deref(), Some("i-0"));
        assert_eq!(answer.into_response().body.is_empty(), is_refusal);
    }
}

#[test]
fn the_response_to_an_idempotent_call_is_forwarded_as_it_is() {
    for status in statuses() {
        let answer = reply::Answer::new(response(status), Idempotency::Idempotent);
        assert_eq!((answer.withheld(), answer.response().status), (None, status));
    }
}

// Guards against another host's status that becomes a refusal although it does not say that the
// call has not run.
#[test]
fn no_failure_is_a_refusal() {
    for status in statuses() {
        assert!(!reply::is_refusal(reply::Failure::from(status).status()), "{status}");
    }
}
