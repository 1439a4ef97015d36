//! Checks the cost of a start: what a host does for each entry of the list before it is ready.

use std::net::Ipv4Addr;

use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::Store;
use basilhaven_bench::standin::users::upstream::Upstream;

use crate::fixture::{config, wait_until, Host, PROMPT, SERVICE};

/// Entries of the list, as on a deployment with hosts of a tenth of a core.
const ENTRIES: usize = 262;

// Guards against a log line for each entry of the list, written before the host is ready.
#[test]
fn a_list_is_logged_in_one_line_and_a_later_entry_in_its_own() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let upstream = Upstream::start("i-0", PROMPT);
        for number in 0..ENTRIES {
            store.put("servers", &format!("i-{number}"), &upstream.entry(SERVICE, "v1", "ready"));
        }
        let host = Host::start(&store, Ipv4Addr::LOCALHOST, 0, "").await;
        wait_until("the host is ready", || host.is_ready()).await;
        // The log is written by another thread.
        wait_until("the list is logged", || host.process.event_count("upstreams_listed") == 1)
            .await;
        let lines = host.process.lines();
        let listed = lines.iter().find(|line| line["event"] == "upstreams_listed");
        assert_eq!(listed.map(|line| line["listed"].clone()), Some(ENTRIES.into()));
        assert_eq!(host.process.event_count("upstream_listed"), 0);
        store.put("servers", "i-later", &upstream.entry(SERVICE, "v1", "ready"));
        wait_until("the later entry is logged", || {
            host.process.event_count("upstream_listed") == 1
        })
        .await;
    });
}
