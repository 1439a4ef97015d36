//! The state of this host: its settings, the rows it has applied, and its services.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;

use crate::moves::{coordinator, halt};
use crate::{
    assignment, budget, config, directory, failure, member, name, platform, replica, service,
    settings, sync,
};

/// The budget of a host for control traffic, in bytes per second.
pub const CONTROL_BYTES_PER_SECOND: f64 = 6_000.0;

/// The maximum burst of control traffic, in bytes.
const CONTROL_BURST_BYTES: f64 = 12_000.0;

/// The state that all tasks of one daemon share.
#[derive(Debug)]
pub struct Node {
    settings: settings::Settings,
    members: member::Table,
    probes: failure::Probes,
    platform: Option<platform::Client>,
    rows: RefCell<replica::Rows>,
    sync: sync::State,
    // Gets a permit for each row that is applied.
    applied_rows: local_sync::semaphore::Semaphore,
    control_budget: budget::Bucket,
    services: RefCell<IndexMap<name::Name, Rc<service::Service>>>,
    halts: halt::Halts,
    coordinator: coordinator::Coordinator,
    open_connections: Cell<usize>,
    // Never has a permit; it is closed to request that connections from callers are closed.
    close_request: local_sync::semaphore::Semaphore,
}

impl Node {
    /// Creates the state of a host that has applied only its settings.
    pub fn new(settings: settings::Settings, own: member::Host) -> Rc<Node> {
        let hosts = config::Hosts { upstreams: settings.upstreams.clone(), entries: Vec::new() };
        let rows = replica::Rows::new(settings.document.clone(), hosts);
        let node = Rc::new(Node {
            platform: settings.platform.map(platform::Client::new),
            settings,
            members: member::Table::new(own),
            probes: failure::Probes::default(),
            rows: RefCell::new(rows),
            sync: sync::State::default(),
            applied_rows: local_sync::semaphore::Semaphore::new(0),
            control_budget: budget::Bucket::new(CONTROL_BYTES_PER_SECOND, CONTROL_BURST_BYTES),
            services: RefCell::default(),
            halts: halt::Halts::default(),
            coordinator: coordinator::Coordinator::default(),
            open_connections: Cell::default(),
            close_request: local_sync::semaphore::Semaphore::new(0),
        });
        node.update_services();
        node
    }

    /// Returns the settings.
    pub fn settings(&self) -> &settings::Settings {
        &self.settings
    }

    /// Returns the table of entry hosts.
    pub fn members(&self) -> &member::Table {
        &self.members
    }

    /// Returns the probes of other hosts that await an acknowledgement.
    pub fn probes(&self) -> &failure::Probes {
        &self.probes
    }

    /// Returns the client of the platform, if one is configured.
    pub fn platform(&self) -> Option<&platform::Client> {
        self.platform.as_ref()
    }

    /// Returns the rows that this host has applied.
    pub fn rows(&self) -> replica::Rows {
        self.rows.borrow().clone()
    }

    /// Returns the budget for control traffic: frames and small messages to peers, and polls of the
    /// platform that find nothing new.
    pub fn control_budget(&self) -> &budget::Bucket {
        &self.control_budget
    }

    /// Returns the state of the synchronisation of rows with the platform and with peers.
    pub fn sync_state(&self) -> &sync::State {
        &self.sync
    }

    /// Returns whether this host has received a configuration, or takes it from its settings
    /// because no platform is set. Without a configuration it accepts no calls.
    pub fn is_configured(&self) -> bool {
        self.platform.is_none() || self.sync.is_complete()
    }

    /// Waits until a row is applied; returns at once if one was applied since the last return.
    pub async fn row_applied(&self) {
        if let Ok(permit) = self.applied_rows.acquire().await {
            permit.forget();
        }
        while let Ok(permit) = self.applied_rows.try_acquire() {
            permit.forget();
        }
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<Rc<service::Service>> {
        self.services.borrow().get(name).cloned()
    }

    /// Returns all services.
    pub fn services(&self) -> Vec<Rc<service::Service>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Returns the number of open connections from callers.
    pub fn open_connections(&self) -> &Cell<usize> {
        &self.open_connections
    }

    /// Requests that every connection from callers is closed once it is idle.
    pub fn close_connections(&self) {
        self.close_request.close();
    }

    /// Waits until [`Node::close_connections`] has been called.
    pub async fn close_requested(&self) {
        // The semaphore never has a permit, so waiting ends only when it is closed.
        let _ = self.close_request.acquire().await;
    }

    /// Applies a row unless the same or a higher revision has been applied already.
    pub fn apply(&self, revision: u64, content: replica::Content) {
        let row = content.row();
        if !self.rows.borrow_mut().apply(revision, content) {
            return;
        }
        self.sync.mark_known(row);
        self.applied_rows.add_permits(1);
        let revisions = self.rows.borrow().revisions;
        self.members.set_revisions(revisions);
        tracing::info!(
            event = "rows_applied",
            config = revisions.config,
            hosts = revisions.hosts,
            moves = revisions.moves,
        );
        self.update_services();
    }

    /// Creates, updates and removes services so that they match the applied rows.
    fn update_services(&self) {
        let rows = self.rows();
        let mut names: Vec<name::Name> = rows.config.services.keys().cloned().collect();
        names.extend(rows.hosts.upstreams.iter().map(|u| u.service.clone()));
        names.sort();
        names.dedup();
        let mut services = IndexMap::with_capacity(names.len());
        for name in names {
            let profile = Rc::new(rows.config.profile_of(&name));
            let service = match self.service(name.as_str()) {
                Some(service) => {
                    service.set_profile(profile);
                    service
                }
                None => {
                    let data_centre = self.settings.data_centre.clone();
                    let service = service::Service::new(name.clone(), data_centre, profile);
                    if self.services.borrow().values().any(|s| s.has_upstream_list()) {
                        service.set_has_upstream_list();
                    }
                    Rc::new(service)
                }
            };
            let service_upstreams: Vec<config::Upstream> =
                rows.hosts.upstreams.iter().filter(|u| u.service == name).cloned().collect();
            service.set_upstreams(&service_upstreams, &rows.config.out);
            service.set_move(rows.moves.0.get(&name));
            self.reapply_halt(&service);
            services.insert(name, service);
        }
        *self.services.borrow_mut() = services;
        assignment::assign(self, &self.members.serving());
    }

    /// Returns the halts that this host has received or decided. A halt is a host's decision that
    /// the new version of a move is bad, which sets the version's share of the traffic to zero on
    /// every host.
    pub fn halts(&self) -> &halt::Halts {
        &self.halts
    }

    /// Returns the state for coordinating moves.
    pub fn coordinator(&self) -> &coordinator::Coordinator {
        &self.coordinator
    }

    /// Halts a move on this host, immediately and permanently.
    pub fn halt_move(&self, halt: halt::Halt) {
        if !self.halts.insert(halt.clone()) {
            return;
        }
        tracing::warn!(
            event = "move_braked",
            service = %halt.service,
            id = %halt.id,
            by = %halt.host,
            reason = %halt.reason,
        );
        metrics::counter!("basilhaven_moves_braked_total").increment(1);
        if let Some(service) = self.service(halt.service.as_str()) {
            self.reapply_halt(&service);
        }
    }

    /// Halts a service's move if this host has recorded a halt of that move.
    fn reapply_halt(&self, service: &service::Service) {
        let Some(split) = service.split() else { return };
        if self.halts.get(split.id()).is_some() {
            split.halt();
        }
    }

    /// Returns the class of a caller by its credential. A caller without a known credential has the
    /// class [`config::Class::Free`].
    pub fn class_of(&self, credential: Option<&str>) -> config::Class {
        let Some(credential) = credential else { return config::Class::Free };
        let rows = self.rows.borrow();
        if rows.config.callers.is_empty() {
            return config::Class::Free;
        }
        let digest = config::digest(credential);
        let known = rows.config.callers.values().find(|c| c.credential_sha256 == digest);
        known.map_or(config::Class::Free, |c| c.class)
    }

    /// Returns the hosts that the directory may return: those that are serving (alive and not
    /// leaving) and not out of service. If all are out of service, it returns all serving hosts,
    /// and if none is serving, this host, because callers need at least one entry host.
    fn eligible(&self) -> Vec<member::Host> {
        let serving = self.members.serving();
        if serving.is_empty() {
            return vec![self.members.own()];
        }
        let out = &self.rows.borrow().config.out;
        let is_out = |host: &member::Host| {
            out.hosts.contains(&host.name) || out.data_centres.contains(&host.data_centre)
        };
        let eligible: Vec<member::Host> = serving.iter().filter(|h| !is_out(h)).cloned().collect();
        if eligible.is_empty() {
            serving
        } else {
            eligible
        }
    }

    /// Returns the directory's response to a caller that asks for a service: the hosts to which the
    /// service is assigned, with those in the data centre `near` first.
    pub fn entries(&self, service: &service::Service, near: Option<&str>) -> directory::Response {
        let mut hosts = self.eligible();
        // A host that has not applied any row yet accepts no calls.
        let none_applied = replica::Revisions::default();
        if hosts.iter().any(|host| host.revisions != none_applied) {
            hosts.retain(|host| host.revisions != none_applied);
        }
        let assigned = directory::assigned_hosts(service.name(), &hosts, service.profile().homes);
        let mut entries: Vec<directory::Entry> =
            assigned.into_iter().map(directory::Entry::from).collect();
        entries.sort_by_key(|entry| Some(entry.data_centre.as_str()) != near);
        directory::Response {
            service: service.name().clone(),
            ttl: self.settings.entry_ttl,
            entries,
        }
    }
}
