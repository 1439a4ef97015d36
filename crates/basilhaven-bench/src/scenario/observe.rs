//! Steps that observe the system without changing it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilhaven::{admin, directory, moves, name, replica};
use datadriven::TestCase;
use indexmap::{IndexMap, IndexSet};

use super::{list_arg, optional_arg, Scenario, IN_FORCE_TIMEOUT};
use crate::cluster::{self, Daemon};

/// How long a host that is no longer running may still be advertised.
const ADVERTISED_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a move may take until it is done or rolled back.
const MOVE_TIMEOUT: Duration = Duration::from_secs(60);

impl Scenario {
    pub(super) async fn entries(&self, step: &mut TestCase) -> String {
        let service: String = optional_arg(step, "service").expect("a service");
        let host: String = optional_arg(step, "at").expect("a host");
        let path = format!("/v1/entries/{service}");
        let directory: directory::Response =
            cluster::get_json(self.daemons[&host].callers, &path).await;
        let mut names: Vec<String> = directory.entries.iter().map(|e| e.host.to_string()).collect();
        names.sort();
        names.join(" ")
    }

    /// Waits until every host advertises exactly the running hosts, each with the address of its
    /// current process rather than that of an earlier one of the same name.
    pub(super) async fn named(&self) -> String {
        let mut running: Vec<SocketAddr> = self.daemons.values().map(|d| d.callers).collect();
        running.sort();
        let until = Instant::now() + ADVERTISED_TIMEOUT;
        for daemon in self.daemons.values() {
            loop {
                let advertised_hosts = daemon.advertised_hosts().await;
                let mut advertised: Vec<SocketAddr> =
                    advertised_hosts.iter().map(|host| host.callers).collect();
                advertised.sort();
                if advertised == running {
                    break;
                }
                if Instant::now() >= until {
                    return format!("{} names other hosts than those that run", daemon.name);
                }
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        "named by all".to_owned()
    }

    pub(super) async fn begun(&self, names: &[String]) -> usize {
        let mut begun = 0;
        for name in names {
            begun += self.upstreams[name].stats().await.begun;
        }
        begun
    }

    /// Returns the number of calls that upstreams have begun or, with `most`, whether it is at most
    /// that.
    pub(super) async fn begun_at_most(&self, step: &mut TestCase) -> String {
        let max: Option<usize> = step.try_take_arg("most").expect("a number");
        let begun = self.begun(&list_arg(step, "names")).await;
        match max {
            Some(max) if begun <= max => format!("{max} at most"),
            _ => begun.to_string(),
        }
    }

    pub(super) async fn quiet(&self, step: &mut TestCase) -> String {
        let names = list_arg(step, "names");
        let duration_ms: u64 = step.take_arg("for_ms").expect("a time");
        let within_ms: u64 = step.try_take_arg("within_ms").expect("a time").unwrap_or(3_000);
        let until = Instant::now() + Duration::from_millis(within_ms + duration_ms);
        let mut last_begun_at = Instant::now();
        let mut begun = self.begun(&names).await;
        while Instant::now() < until {
            monoio::time::sleep(Duration::from_millis(20)).await;
            let now = self.begun(&names).await;
            if now != begun {
                begun = now;
                last_begun_at = Instant::now();
            }
            if last_begun_at.elapsed() >= Duration::from_millis(duration_ms) {
                return "quiet".to_owned();
            }
        }
        "calls still begin".to_owned()
    }

    pub(super) async fn doubles(&self) -> usize {
        let mut executions: IndexMap<String, usize> = IndexMap::new();
        for upstream in self.upstreams.values() {
            for key in upstream.records().await.into_iter().filter_map(|record| record.key) {
                *executions.entry(key).or_default() += 1;
            }
        }
        executions.values().filter(|count| **count > 1).count()
    }

    pub(super) async fn false_not_run(&self) -> usize {
        let mut begun: IndexSet<String> = IndexSet::new();
        for upstream in self.upstreams.values() {
            begun.extend(upstream.records().await.into_iter().filter_map(|record| record.tag));
        }
        self.not_run_tags.iter().filter(|tag| begun.contains(*tag)).count()
    }

    pub(super) async fn reverts(&mut self) -> usize {
        for daemon in self.daemons.values() {
            let now = daemon.status().await.revisions;
            let before = self.last_revisions.insert(daemon.name.clone(), now).unwrap_or_default();
            self.reverts +=
                replica::Row::ALL.iter().filter(|row| now.of(**row) < before.of(**row)).count();
        }
        self.reverts
    }

    pub(super) async fn in_force(&self) -> String {
        let until = Instant::now() + IN_FORCE_TIMEOUT;
        for daemon in self.daemons.values() {
            while daemon.status().await.revisions.config < self.revision {
                if Instant::now() >= until {
                    return format!("not in force on {}", daemon.name);
                }
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        "in force on all".to_owned()
    }

    /// Returns the maximum number of calls that one of the upstreams had in flight while it was
    /// cold.
    pub(super) async fn cold_peak(&self, step: &mut TestCase) -> String {
        let mut peak = 0;
        for name in list_arg(step, "names") {
            peak = peak.max(self.upstreams[&name].stats().await.max_in_flight_cold);
        }
        peak.to_string()
    }

    /// Returns whether every host sends at most `most` bytes of control traffic a second.
    pub(super) async fn control_rate(&self, step: &mut TestCase) -> String {
        let max_rate: f64 = step.take_arg("most").expect("bytes a second");
        let duration_ms: u64 = step.take_arg("for_ms").expect("a time");
        let mut before = Vec::new();
        for daemon in self.daemons.values() {
            before.push((Instant::now(), control_bytes(daemon).await));
        }
        monoio::time::sleep(Duration::from_millis(duration_ms)).await;
        for (daemon, (at, bytes)) in self.daemons.values().zip(before) {
            let rate = (control_bytes(daemon).await - bytes) / at.elapsed().as_secs_f64();
            if rate > max_rate {
                return format!("{} sends {rate:.0} bytes a second", daemon.name);
            }
        }
        "within the budget".to_owned()
    }

    /// Waits until a move has ended, and returns how.
    pub(super) async fn await_move(&self, step: &mut TestCase) -> String {
        let service: String = optional_arg(step, "service").expect("a service");
        let until = Instant::now() + MOVE_TIMEOUT;
        let daemon = self.daemons.values().next().expect("a host");
        while Instant::now() < until {
            let response = daemon.call_admin(http::Method::GET, "/v1/moves", Vec::new()).await;
            let all: IndexMap<name::Name, admin::moves::Status> =
                serde_json::from_slice(&response.body).expect("moves");
            match all.get(service.as_str()).map(|status| &status.current.phase) {
                Some(moves::Phase::Done) => return "done".to_owned(),
                Some(moves::Phase::RolledBack(_)) => return "taken back".to_owned(),
                Some(moves::Phase::Running) | None => {}
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        "not ended".to_owned()
    }
}

async fn control_bytes(daemon: &Daemon) -> f64 {
    let page = daemon.call_admin(http::Method::GET, "/metrics", Vec::new()).await.body;
    let page = String::from_utf8_lossy(&page).into_owned();
    let line = page.lines().find_map(|l| l.strip_prefix("basilhaven_control_bytes_total "));
    line.and_then(|number| number.parse().ok()).unwrap_or_default()
}
