//! What the versions of a service have shown, whatever order they were moved to by.

use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};

use crate::gateway::upstream;

/// The standing of a service's versions.
///
/// An order names a version to move to; what a version has shown stays with the version when another
/// order replaces the order. A version is proven if it served before the first of these orders, or if
/// a move to it was completed.
///
/// # Examples
///
/// ```
/// use basilhaven::gateway::moves::standing;
///
/// let mut versions = standing::Versions::default();
/// versions.begin("v2".into(), ["v1".into(), "v2".into()]);
/// // Before the move to v2 is completed, operators order the service back.
/// versions.replace("v2", false);
/// versions.begin("v1".into(), ["v1".into(), "v2".into()]);
/// assert!(versions.is_proven("v1") && versions.is_unproven("v2"));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Versions {
    proven: IndexSet<Rc<str>>,
    unproven: IndexSet<Rc<str>>,
}

impl Versions {
    /// Records an order to move to a version, while upstreams of the versions `present` are listed.
    pub fn begin<I>(&mut self, to: Rc<str>, present: I)
    where
        I: IntoIterator<Item = Rc<str>>,
    {
        self.unproven.shift_remove(&to);
        if self.proven.is_empty() {
            let served = |version: &Rc<str>| *version != to && !self.unproven.contains(version);
            self.proven.extend(present.into_iter().filter(served));
        }
    }

    /// Records that an order to move to a version is no longer in force.
    pub fn replace(&mut self, to: &str, is_completed: bool) {
        if is_completed {
            *self = Versions { proven: IndexSet::from([to.into()]), unproven: IndexSet::new() };
        } else if !self.is_proven(to) {
            self.unproven.insert(to.into());
        }
    }

    /// Returns whether a version has carried the calls of the service.
    pub fn is_proven(&self, version: &str) -> bool {
        self.proven.contains(version)
    }

    /// Returns these upstreams without those of unproven versions, if there are any of a proven one.
    pub fn without_unproven<'a>(
        &self,
        mut upstreams: Vec<&'a Rc<upstream::Upstream>>,
    ) -> Vec<&'a Rc<upstream::Upstream>> {
        if upstreams.iter().any(|u| self.is_proven(&u.entry().version)) {
            upstreams.retain(|u| !self.is_unproven(&u.entry().version));
        }
        upstreams
    }

    /// Returns whether a move to a version was ordered and not completed, and is no longer in force.
    pub fn is_unproven(&self, version: &str) -> bool {
        self.unproven.contains(version)
    }
}

/// The standing of the versions of all services for which a move was ordered.
pub type Services = IndexMap<Rc<str>, Versions>;
