//! Checks that resets of upstreams which were full, or nearly so, are told from other failures.

use std::time::Duration;

use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::upstream::Behaviour;

use crate::fixture::{wait_until, Fixture};

/// The metric of these resets.
const METRIC: &str = "basilhaven_full_resets_total";

// Guards against failures of full upstreams that operators cannot tell from those of broken ones.
#[test]
fn a_reset_counts_only_if_the_upstream_was_nearly_full() {
    block_on(async {
        let fixture = Fixture::start(&[Behaviour::DropsResponses]).await;
        let upstream = &fixture.upstreams[0];
        upstream.set_load("0,0,4,100");
        assert_eq!(fixture.host.call("POST", "/unsafe/1", "idle").unwrap().status, 502);
        assert_eq!(fixture.host.metric(METRIC), None);
        upstream.set_load("3,0,4,100");
        // The report with free slots, and the failure of the first call, become old.
        monoio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(fixture.host.call("POST", "/unsafe/1", "nearly-full").unwrap().status, 502);
        wait_until("the reset is counted", || fixture.host.metric(METRIC) == Some(1.0)).await;
        wait_until("the reset is logged", || fixture.host.process.event_count("full_reset") == 1)
            .await;
        assert_eq!(fixture.runs_of("nearly-full"), 1);
    });
}
