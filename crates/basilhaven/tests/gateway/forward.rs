//! What a host is told of a call that another host passes to it.

use std::time::Duration;

use basilhaven::gateway::{forward, history};
use http::HeaderMap;

// Guards against an upstream whose id has a space: the other host read two other names, took the
// connection that had carried the call, and could refuse a call that ran.
#[test]
fn a_host_never_believes_that_an_upstream_was_not_tried_which_was() {
    for tried in ["i-1", "i 1", "i-1 ", "\ti-1", "", "i-\u{f8}"] {
        let mut sends = history::Sends::default();
        sends.record("i-0".into());
        sends.record(tried.into());
        let terms = forward::Terms {
            service: "catalogo".into(),
            version: 1,
            attempts: 1,
            elapsed: Duration::ZERO,
            sends,
            is_key_checked: false,
        };
        let mut headers = HeaderMap::new();
        terms.write(&mut headers);
        let read = forward::Terms::try_from(&headers).expect("terms");
        assert!(read.sends.may_include("i-0") && read.sends.may_include(tried), "{tried:?}");
    }
}
