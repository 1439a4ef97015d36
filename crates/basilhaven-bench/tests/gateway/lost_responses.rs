//! Checks that versions are in force in time although responses of the store are lost.

use std::time::{Duration, Instant};

use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::Store;

use crate::fixture::{config, wait_until, Host, Network, SERVICE};

/// The time within which a version has to be in force, the default of `--orders-within-s`.
const ORDERS_WITHIN: Duration = Duration::from_secs(2);

/// Versions that are written while responses are lost, and the interval between them.
const VERSIONS: u64 = 6;
const INTERVAL: Duration = Duration::from_millis(700);

/// The share of all responses that are lost.
const LOST_SHARE: f64 = 0.35;

// Guards against versions that stay unread for seconds after responses of the store were lost.
#[test]
fn the_last_version_is_in_force_soon_after_responses_of_the_store_were_lost() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = Network::new(66, 6).start_cluster(&store).await;
        for round in 0..3 {
            store.set_loss(LOST_SHARE);
            let newest = 1 + (round + 1) * VERSIONS;
            for version in newest - VERSIONS + 1..=newest {
                store.put("op", "config", &config(version, SERVICE));
                monoio::time::sleep(INTERVAL).await;
            }
            store.set_loss(0.0);
            let ended_at = Instant::now();
            let has_newest =
                |host: &Host| host.process.lines().iter().any(|line| line["version"] == newest);
            wait_until("the newest version is in force", || hosts.iter().all(has_newest)).await;
            let took = ended_at.elapsed();
            assert!(took < ORDERS_WITHIN, "round {round}: in force {took:?} after the losses");
        }
    });
}
