//! The upstreams that a call was sent to.

use std::rc::Rc;

/// The upstreams that a call was sent to, by this host or by others, as far as this host knows.
///
/// A request id names a call and not one sending of it. On a connection that has carried the call
/// before, a late copy of an earlier rejection can therefore not be told from the response.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::history;
///
/// let mut sends = history::Sends::default();
/// sends.record("i-1".into());
/// assert!(sends.may_include("i-1") && !sends.may_include("i-2"));
/// sends.record_unknown();
/// assert!(sends.may_include("i-2"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sends {
    upstreams: Vec<Rc<str>>,
    has_unknown: bool,
}

impl Sends {
    /// Records an upstream.
    pub fn record(&mut self, upstream: Rc<str>) {
        if !self.upstreams.contains(&upstream) {
            self.upstreams.push(upstream);
        }
    }

    /// Records that another host, which has not named them, may have sent the call to upstreams.
    pub fn record_unknown(&mut self) {
        self.has_unknown = true;
    }

    /// Adds the upstreams that another host has sent the call to.
    pub fn extend(&mut self, other: &Sends) {
        other.upstreams.iter().for_each(|upstream| self.record(Rc::clone(upstream)));
        self.has_unknown |= other.has_unknown;
    }

    /// Returns whether the call may have been sent to upstreams that this host does not know.
    pub fn has_unknown(&self) -> bool {
        self.has_unknown
    }

    /// Returns the known upstreams.
    pub fn upstreams(&self) -> &[Rc<str>] {
        &self.upstreams
    }

    /// Returns whether the call may have been sent to this upstream.
    pub fn may_include(&self, upstream: &str) -> bool {
        self.has_unknown || self.upstreams.iter().any(|id| **id == *upstream)
    }
}
