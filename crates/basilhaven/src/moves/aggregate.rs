//! Evidence of all hosts on one move, kept by the hosts that may coordinate moves.
//!
//! Evidence means the counted calls, errors and slow calls of both versions on each route. Every
//! host sends its own evidence periodically in a digest ([`evidence::Digest`]).

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{detector, evidence, halt};
use crate::name;

/// How long a host's calls in flight are counted after the receipt of its last digest.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Weight of the newest digest in the moving average of calls in flight.
const IN_FLIGHT_WEIGHT: f64 = 0.3;

/// Contents of the last digest received from one host.
#[derive(Debug, Clone)]
struct Report {
    incarnation: u64,
    sequence: u64,
    /// Moving average of the host's calls in flight over its digests.
    in_flight: f64,
    received_at: Instant,
    evidence: evidence::Evidence,
}

/// Sum of the evidence of all hosts on one move, with the time spent at the current stage.
#[derive(Debug, Clone)]
pub struct Aggregate {
    hosts: IndexMap<name::Name, Report>,
    total: evidence::Evidence,
    detectors: IndexMap<evidence::Route, detector::Detector>,
    observed_at: Instant,
    stage: u8,
    stage_entered_at: Instant,
    /// Value of `total` at the start of the stage.
    total_before_stage: evidence::Evidence,
}

impl Aggregate {
    /// Creates an aggregate without evidence.
    pub fn new(now: Instant) -> Aggregate {
        Aggregate {
            hosts: IndexMap::new(),
            total: evidence::Evidence::default(),
            detectors: IndexMap::new(),
            observed_at: now,
            stage: 0,
            stage_entered_at: now,
            total_before_stage: evidence::Evidence::default(),
        }
    }

    /// Adds the evidence of a digest and returns the reason for a halt if the evidence of all hosts
    /// now shows that the new version is worse. Ignores a digest that is not newer than the last
    /// one of its host.
    pub fn apply(&mut self, digest: &evidence::Digest, now: Instant) -> Option<halt::Reason> {
        let last = self.hosts.get(&digest.host);
        let position = (digest.incarnation, digest.sequence);
        if last.is_some_and(|report| (report.incarnation, report.sequence) >= position) {
            return None;
        }
        let last = last.filter(|report| report.incarnation == digest.incarnation);
        let new_evidence = match last {
            Some(report) => digest.evidence.since(&report.evidence),
            None => digest.evidence.clone(),
        };
        let report = Report {
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            in_flight: moving_average(last, f64::from(digest.in_flight) / 100.0),
            received_at: now,
            evidence: digest.evidence.clone(),
        };
        self.hosts.insert(digest.host.clone(), report);
        self.total.add(&new_evidence);
        self.observe(&new_evidence, now)
    }

    fn observe(&mut self, new_evidence: &evidence::Evidence, now: Instant) -> Option<halt::Reason> {
        let seconds = now.saturating_duration_since(self.observed_at).as_secs_f64();
        self.observed_at = now;
        let mut reason = None;
        for (route, pair) in &new_evidence.0 {
            let detector = self.detectors.entry(route.clone()).or_default();
            if let Some(kind) = detector.observe(pair, seconds) {
                let seen = self.total.0.get(route).copied().unwrap_or_default();
                reason = Some(halt::Reason::Worse { kind, route: route.clone(), seen });
            }
        }
        reason
    }

    /// Records the current stage of the move. If the stage has changed, restarts `stage_elapsed`
    /// and `stage_evidence` from zero.
    pub fn enter_stage(&mut self, stage: u8, now: Instant) {
        if self.stage != stage {
            self.stage = stage;
            self.stage_entered_at = now;
            self.total_before_stage = self.total.clone();
        }
    }

    /// Returns the evidence since the move began.
    pub fn evidence(&self) -> &evidence::Evidence {
        &self.total
    }

    /// Returns the evidence since the move reached its current stage.
    pub fn stage_evidence(&self) -> evidence::Evidence {
        self.total.since(&self.total_before_stage)
    }

    /// Returns the time since the move reached its current stage, or since the creation of this
    /// aggregate if that was later.
    pub fn stage_elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.stage_entered_at)
    }

    /// Returns the number of the service's calls in flight on all hosts, averaged over a few
    /// digests.
    pub fn in_flight(&self, now: Instant) -> f64 {
        let recent = self.hosts.values().filter(|report| now - report.received_at < REPORT_TTL);
        recent.map(|report| report.in_flight).sum()
    }
}

/// Returns the exponential moving average of a host's calls in flight after a new sample.
fn moving_average(last: Option<&Report>, in_flight: f64) -> f64 {
    let average = last.map_or(in_flight, |report| report.in_flight);
    average + (in_flight - average) * IN_FLIGHT_WEIGHT
}
