//! Checks starts: what a host does for each entry of the list before it is ready, and that no entry
//! keeps it from getting ready.

use std::net::Ipv4Addr;
use std::time::Duration;

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

/// Keys of another writer, with characters that separate the parts of a target or may not stand in
/// one, and with the most bytes that a key may have.
fn odd_keys() -> Vec<String> {
    let characters =
        [" ", "&", "#", "%", "%41", "+", "?", "=", "/", "\\", "\"", "\u{7f}", "\n", "ø"];
    let keys = characters.iter().map(|characters| format!("a-{characters}"));
    keys.chain(["a".repeat(200), "ø".repeat(100), String::new()]).collect()
}

// Guards against a key of another writer that ends a page of the list and makes the request for the
// next one invalid, or one for the same page: hosts that started did not get ready.
#[test]
fn no_key_of_another_writer_keeps_a_host_from_reading_the_list() {
    block_on(async {
        let store = Store::start();
        store.set_max_page_len(1);
        store.put("op", "config", &config(1, SERVICE));
        odd_keys().iter().for_each(|key| store.put("op", key, "no order"));
        odd_keys().iter().for_each(|key| store.put("servers", key, "no entry"));
        let upstream = Upstream::start("i-0", PROMPT);
        store.put("servers", &upstream.id, &upstream.entry(SERVICE, "v1", "ready"));
        let host = Host::start(&store, Ipv4Addr::LOCALHOST, 0, "").await;
        wait_until("the host is ready", || host.is_ready()).await;
        assert_eq!(host.call("GET", "/safe/1", "a").expect("a response").status, 200);
        let pages = odd_keys().len() + 1;
        assert!(store.full_reads_of("servers") <= pages + 1, "pages are read again and again");
        // A running host reads the list as a whole once the history is gone.
        let later = Upstream::start("i-later", PROMPT);
        store.put("servers", &later.id, &later.entry(SERVICE, "v1", "ready"));
        store.drop_history();
        wait_until("the later upstream gets calls", || {
            let number = later.executed_ids().len() + upstream.executed_ids().len();
            host.call("GET", "/safe/1", &format!("b-{number}")).is_ok()
                && !later.executed_ids().is_empty()
        })
        .await;
    });
}

// Guards against a list that is read from its first page again because all of its pages together
// take longer than the store may take to confirm what a host knows.
#[test]
fn a_list_of_many_pages_is_read_from_a_slow_store() {
    block_on(async {
        let store = Store::start();
        store.set_max_page_len(1);
        store.put("op", "config", &config(1, SERVICE));
        (0..8).for_each(|n| store.put("servers", &format!("a-{n}"), "no entry"));
        let upstream = Upstream::start("i-0", PROMPT);
        store.put("servers", &upstream.id, &upstream.entry(SERVICE, "v1", "ready"));
        store.set_delay(Duration::from_millis(300));
        let host = Host::start(&store, Ipv4Addr::LOCALHOST, 0, "").await;
        wait_until("the host is ready", || host.is_ready()).await;
        assert_eq!(host.call("GET", "/safe/1", "a").expect("a response").status, 200);
    });
}
