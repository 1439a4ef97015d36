//! What all hosts together have seen of one move.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{detector, evidence, halt};
use crate::name;

/// How long a host's calls in flight count after its last digest.
const FRESH: Duration = Duration::from_secs(3);

/// The weight of the newest digest in the average of calls in flight.
const IN_FLIGHT_WEIGHT: f64 = 0.3;

/// The last that was heard of one host.
#[derive(Debug, Clone)]
struct Report {
    incarnation: u64,
    sequence: u64,
    in_flight: f64,
    at: Instant,
    evidence: evidence::Evidence,
}

/// The sum of all hosts' evidence on one move.
#[derive(Debug, Clone)]
pub struct Aggregate {
    hosts: IndexMap<name::Name, Report>,
    total: evidence::Evidence,
    detectors: IndexMap<evidence::Route, detector::Detector>,
    fed: Instant,
    stage: u8,
    stage_since: Instant,
    before_stage: evidence::Evidence,
}

impl Aggregate {
    /// A ledger that knows nothing yet.
    pub fn new(now: Instant) -> Aggregate {
        Aggregate {
            hosts: IndexMap::new(),
            total: evidence::Evidence::default(),
            detectors: IndexMap::new(),
            fed: now,
            stage: 0,
            stage_since: now,
            before_stage: evidence::Evidence::default(),
        }
    }

    /// Takes in a digest; one that is older than the last of its host is passed over.
    pub fn apply(&mut self, digest: &evidence::Digest, now: Instant) -> Option<halt::Reason> {
        let known = self.hosts.get(&digest.host);
        let order = (digest.incarnation, digest.sequence);
        if known.is_some_and(|report| (report.incarnation, report.sequence) >= order) {
            return None;
        }
        let known = known.filter(|report| report.incarnation == digest.incarnation);
        let fresh = match known {
            Some(report) => digest.evidence.since(&report.evidence),
            None => digest.evidence.clone(),
        };
        let report = Report {
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            in_flight: smoothed(known, f64::from(digest.in_flight) / 100.0),
            at: now,
            evidence: digest.evidence.clone(),
        };
        self.hosts.insert(digest.host.clone(), report);
        self.total.add(&fresh);
        self.observe(&fresh, now)
    }

    fn observe(&mut self, fresh: &evidence::Evidence, now: Instant) -> Option<halt::Reason> {
        let seconds = now.saturating_duration_since(self.fed).as_secs_f64();
        self.fed = now;
        let mut verdict = None;
        for (route, pair) in &fresh.0 {
            let detector = self.detectors.entry(route.clone()).or_default();
            if let Some(kind) = detector.observe(pair, seconds) {
                let seen = self.total.0.get(route).copied().unwrap_or_default();
                verdict = Some(halt::Reason::Worse { kind, route: route.clone(), seen });
            }
        }
        verdict
    }

    /// Notes the stage that the move has reached; a new one starts with no evidence.
    pub fn enter_stage(&mut self, stage: u8, now: Instant) {
        if self.stage != stage {
            self.stage = stage;
            self.stage_since = now;
            self.before_stage = self.total.clone();
        }
    }

    /// All calls since the move began.
    pub fn total(&self) -> &evidence::Evidence {
        &self.total
    }

    /// The calls since the move reached its present stage.
    pub fn stage_evidence(&self) -> evidence::Evidence {
        self.total.since(&self.before_stage)
    }

    /// The time since the move reached its present stage, or since this ledger was opened.
    pub fn stage_elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.stage_since)
    }

    /// The calls of the service in flight over all hosts, on average over a few digests.
    pub fn in_flight(&self, now: Instant) -> f64 {
        let fresh = self.hosts.values().filter(|report| now - report.at < FRESH);
        fresh.map(|report| report.in_flight).sum()
    }
}

fn smoothed(known: Option<&Report>, in_flight: f64) -> f64 {
    let before = known.map_or(in_flight, |report| report.in_flight);
    before + (in_flight - before) * IN_FLIGHT_WEIGHT
}
