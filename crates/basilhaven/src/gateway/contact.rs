//! Whether upstreams respond to this host: the evidence of one upstream, and what follows from that
//! of all upstreams of a service.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Number of silent upstreams without any response in between from which a service counts as lost;
/// all of them, if it has fewer.
const MIN_SILENT: usize = 3;

/// Minimum time since the last response of any upstream of a service that counts as lost: several
/// round trips between data centres.
const MIN_SILENCE: Duration = Duration::from_millis(50);

/// When an upstream last responded to this host, and since when it has not.
///
/// Every response counts, failures included: it shows that the upstream can be reached.
#[derive(Debug, Default)]
pub struct Contact {
    responded_at: Cell<Option<Instant>>,
    silent_since: Cell<Option<Instant>>,
}

impl Contact {
    /// Records that the upstream has responded.
    pub fn record_response(&self, now: Instant) {
        self.responded_at.set(Some(now));
        self.silent_since.set(None);
    }

    /// Records that the upstream could not be connected to, or that its connection ended or timed
    /// out without a response.
    pub fn record_silence(&self, now: Instant) {
        self.silent_since.set(Some(self.silent_since.get().unwrap_or(now)));
    }

    /// Returns when the upstream last responded.
    pub fn responded_at(&self) -> Option<Instant> {
        self.responded_at.get()
    }

    /// Returns whether the upstream has been silent since its last response.
    pub fn is_silent(&self) -> bool {
        self.silent_since.get().is_some()
    }
}

/// How far the upstreams of a service respond to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Coverage {
    /// Most upstreams respond, or have not been tried.
    #[display("full")]
    Full,
    /// Some upstreams respond, but most are silent.
    #[display("partial")]
    Partial,
    /// No upstream responds.
    #[display("lost")]
    Lost,
}

impl Coverage {
    /// Returns the coverage of a service with these upstreams.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use basilhaven::gateway::contact;
    ///
    /// let upstreams = [contact::Contact::default(), contact::Contact::default()];
    /// let now = Instant::now();
    /// assert_eq!(contact::Coverage::of(&upstreams, now), contact::Coverage::Full);
    /// upstreams.iter().for_each(|upstream| upstream.record_silence(now));
    /// assert_eq!(contact::Coverage::of(&upstreams, now), contact::Coverage::Lost);
    /// upstreams[0].record_response(now + Duration::from_millis(1));
    /// assert_eq!(contact::Coverage::of(&upstreams, now), contact::Coverage::Full);
    /// ```
    pub fn of<'a, I>(upstreams: I, now: Instant) -> Coverage
    where
        I: IntoIterator<Item = &'a Contact>,
    {
        let upstreams: Vec<&Contact> = upstreams.into_iter().collect();
        let last_response = upstreams.iter().filter_map(|u| u.responded_at.get()).max();
        let silent_since: Vec<Instant> =
            upstreams.iter().filter_map(|u| u.silent_since.get()).collect();
        let is_after_response = |since: &&Instant| last_response.is_none_or(|at| **since > at);
        let without_response = silent_since.iter().filter(is_after_response).count();
        let is_recent =
            last_response.is_some_and(|at| now.saturating_duration_since(at) < MIN_SILENCE);
        if !upstreams.is_empty()
            && !is_recent
            && without_response >= MIN_SILENT.min(upstreams.len())
        {
            Coverage::Lost
        } else if silent_since.len() * 2 > upstreams.len() {
            Coverage::Partial
        } else {
            Coverage::Full
        }
    }
}
