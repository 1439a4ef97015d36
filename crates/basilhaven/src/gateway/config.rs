//! The configuration in force, and which of two configurations is the newer one.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::mem;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{access, notify, route, store};

/// When a configuration was written, as far as a host knows. Sightings of a later era are greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Sighting {
    /// The era of the store.
    pub era: store::Era,
    /// Whether the configuration was written in this era. If not, it was read from a complete list
    /// of rows, and may stem from the copy from which the store came back.
    pub is_written: bool,
}

/// The configuration in force, and whether the list of upstreams has been read.
#[derive(Debug, Default)]
pub struct Config {
    table: RefCell<Option<Rc<route::Table>>>,
    sighting: Cell<Sighting>,
    has_upstream_list: Cell<bool>,
    /// Notified when a configuration is put in force and when the list of upstreams has been read.
    pub changed: notify::Notifier,
}

impl Config {
    /// Returns the configuration in force, or `None` before the first one.
    pub fn table(&self) -> Option<Rc<route::Table>> {
        self.table.borrow().clone()
    }

    /// Returns the limits on requests and connections of callers.
    pub fn limits(&self) -> route::Limits {
        self.table.borrow().as_ref().map(|table| table.limits.clone()).unwrap_or_default()
    }

    /// Returns whether this host can serve: it has a configuration and the list of upstreams.
    pub fn is_complete(&self) -> bool {
        self.table.borrow().is_some() && self.has_upstream_list.get()
    }

    /// Returns whether the configuration in force came from a host of an earlier build, which does
    /// not relay organisations.
    pub fn lacks_organisations(&self) -> bool {
        self.table.borrow().as_ref().is_some_and(|table| !table.directory.is_known())
    }

    /// Returns whether this host has organisations and would lose them by applying a configuration
    /// from a host of an earlier build.
    pub fn would_lose_organisations(&self, table: &route::Table) -> bool {
        let in_force = self.table.borrow();
        let has_organisations =
            |known: &Rc<route::Table>| known.directory.is_on() && known.version != table.version;
        !table.directory.is_known() && in_force.as_ref().is_some_and(has_organisations)
    }

    /// Returns when the configuration in force was written.
    pub fn sighting(&self) -> Sighting {
        self.sighting.get()
    }

    /// Puts a configuration in force, unless the current one is the same or newer.
    ///
    /// Within an era, the higher version is the newer. A configuration that was written in a later
    /// era is newer whatever its version; one that may stem from the store's copy is not.
    pub fn apply(&self, table: Rc<route::Table>, sighting: Sighting) {
        let in_force = self.table();
        let known = in_force.as_ref().map(|known| known.version);
        if known == Some(table.version) {
            self.sighting.set(self.sighting.get().max(sighting));
            // A host of an earlier build has relayed the version without its organisations.
            if self.lacks_organisations() && table.directory.is_known() {
                self.put_in_force(table, in_force);
            }
            return;
        }
        if known.is_some_and(|known| !self.is_newer(table.version, sighting, known)) {
            tracing::info!(
                event = "config_outdated",
                version = table.version,
                known,
                era = %sighting.era,
                known_era = %self.sighting.get().era,
            );
            return;
        }
        self.sighting.set(sighting);
        self.put_in_force(table, in_force);
    }

    fn put_in_force(&self, table: Rc<route::Table>, replaced: Option<Rc<route::Table>>) {
        let routes: usize = table.hosts.values().map(Vec::len).sum();
        tracing::info!(
            event = "config_applied",
            version = table.version,
            replaced = replaced.as_ref().map(|replaced| replaced.version),
            routes,
            organisations = table.directory.organisations(),
            era = %self.sighting.get().era,
        );
        for finding in table.skipped.iter() {
            metrics::counter!("basilhaven_config_entries_skipped_total").increment(1);
            tracing::warn!(event = "config_entry_skipped", version = table.version, %finding);
        }
        let state = mem::discriminant(&table.directory);
        let has_changed = |table: &route::Table| mem::discriminant(&table.directory) != state;
        if replaced.as_deref().is_none_or(has_changed) {
            let version = table.version;
            match table.directory {
                access::Directory::Off => {
                    tracing::info!(event = "feature_off", feature = "organisations", version);
                }
                access::Directory::Unknown => {
                    tracing::info!(event = "organisations_unknown", version);
                }
                access::Directory::On(_) => {}
            }
        }
        *self.table.borrow_mut() = Some(table);
        self.changed.notify();
    }

    /// Returns whether a configuration is newer than the one in force, which has the version `known`.
    fn is_newer(&self, version: u64, sighting: Sighting, known: u64) -> bool {
        let has_higher_version = version > known;
        let known = self.sighting.get();
        match sighting.era.cmp(&known.era) {
            Ordering::Greater => has_higher_version || sighting.is_written,
            Ordering::Equal => has_higher_version,
            Ordering::Less => has_higher_version && !known.is_written,
        }
    }

    /// Records that the list of upstreams has been read.
    pub fn mark_upstreams_loaded(&self) {
        self.has_upstream_list.set(true);
        self.changed.notify();
    }
}
