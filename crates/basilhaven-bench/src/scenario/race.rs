//! Orders that several operators send concurrently.

use std::time::Instant;

use basilhaven::{admin, commit, order};
use datadriven::TestCase;
use futures_util::future;

use super::{list_arg, Scenario, CALLS_TIMEOUT};
use crate::cluster::Daemon;

impl Scenario {
    /// Sends one order to each host, all concurrently; an order that loses a race is sent again.
    pub(super) async fn race(&mut self, step: &mut TestCase) -> String {
        let hosts = list_arg(step, "hosts");
        let orders: Vec<order::Order> = step
            .input
            .lines()
            .map(|line| serde_json::from_str(line).expect("an order on each line"))
            .collect();
        assert_eq!(hosts.len(), orders.len(), "one order for each host");
        let operators = hosts.iter().zip(&orders);
        let operators =
            operators.map(|(host, order)| submit_until_accepted(&self.daemons[host], order));
        let mut rejections = Vec::new();
        for result in future::join_all(operators).await {
            match result {
                Ok(accepted) => self.revision = self.revision.max(accepted.revision),
                Err(error) => rejections.push(error.to_string()),
            }
        }
        match rejections.is_empty() {
            true => format!("accepted {}", hosts.len()),
            false => rejections.join("\n"),
        }
    }

    /// Returns the number of writes of a row that took effect on the platform.
    pub(super) async fn writes(&self, step: &mut TestCase) -> String {
        let key: String = step.take_arg("key").expect("a row");
        let writes = self.platform.as_ref().expect("a platform").writes().await;
        writes.iter().filter(|written| written.key == key).count().to_string()
    }
}

/// Sends an order until it is accepted, or rejected for another reason than a race.
async fn submit_until_accepted(
    daemon: &Daemon,
    order: &order::Order,
) -> Result<admin::orders::Accepted, commit::Error> {
    let until = Instant::now() + CALLS_TIMEOUT;
    loop {
        let response = daemon.order(order).await;
        if response.status.is_success() {
            return Ok(serde_json::from_slice(&response.body).expect("a response"));
        }
        match serde_json::from_slice(&response.body).expect("a reason") {
            commit::Error::Raced(_) if Instant::now() < until => {}
            error => return Err(error),
        }
    }
}
