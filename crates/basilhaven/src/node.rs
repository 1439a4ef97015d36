//! This host: its settings, the configuration it has applied, and its services.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;

use crate::moves::{coordinator, halt};
use crate::{
    assignment, budget, config, directory, failure, member, name, platform, replica, service,
    settings, sync,
};

/// Bytes that a host may send for control, in a second.
pub const CONTROL_BYTES_PER_SECOND: f64 = 6_000.0;

/// Bytes that a host may send for control at once.
const CONTROL_BURST_BYTES: f64 = 12_000.0;

/// Everything that the tasks of one daemon share.
#[derive(Debug)]
pub struct Node {
    settings: settings::Settings,
    members: member::Table,
    probes: failure::Probes,
    platform: Option<platform::Client>,
    rows: RefCell<replica::Rows>,
    sync: sync::State,
    applied: local_sync::semaphore::Semaphore,
    control_budget: budget::Bucket,
    services: RefCell<IndexMap<name::Name, Rc<service::Service>>>,
    brakes: halt::Halts,
    steering: coordinator::Coordinator,
    open_connections: Cell<usize>,
    closing: local_sync::semaphore::Semaphore,
}

impl Node {
    /// A host that has applied what its settings say.
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
            applied: local_sync::semaphore::Semaphore::new(0),
            control_budget: budget::Bucket::new(CONTROL_BYTES_PER_SECOND, CONTROL_BURST_BYTES),
            services: RefCell::default(),
            brakes: halt::Halts::default(),
            steering: coordinator::Coordinator::default(),
            open_connections: Cell::default(),
            closing: local_sync::semaphore::Semaphore::new(0),
        });
        node.refresh();
        node
    }

    /// The settings.
    pub fn settings(&self) -> &settings::Settings {
        &self.settings
    }

    /// The entry hosts.
    pub fn members(&self) -> &member::Table {
        &self.members
    }

    /// The probes of other hosts that wait for an answer.
    pub fn probes(&self) -> &failure::Probes {
        &self.probes
    }

    /// The platform, where there is one.
    pub fn platform(&self) -> Option<&platform::Client> {
        self.platform.as_ref()
    }

    /// The rows that this host has applied.
    pub fn rows(&self) -> replica::Rows {
        self.rows.borrow().clone()
    }

    /// The bytes that may still be sent to peers and in probes.
    pub fn control_budget(&self) -> &budget::Bucket {
        &self.control_budget
    }

    /// Where the rows come from.
    pub fn sync_state(&self) -> &sync::State {
        &self.sync
    }

    /// Whether this host holds a configuration; without one it takes no calls.
    pub fn is_configured(&self) -> bool {
        self.platform.is_none() || self.sync.is_complete()
    }

    /// Waits until a row has been applied that this was not told of yet.
    pub async fn row_applied(&self) {
        if let Ok(permit) = self.applied.acquire().await {
            permit.forget();
        }
        while let Ok(permit) = self.applied.try_acquire() {
            permit.forget();
        }
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<Rc<service::Service>> {
        self.services.borrow().get(name).cloned()
    }

    /// All services.
    pub fn services(&self) -> Vec<Rc<service::Service>> {
        self.services.borrow().values().cloned().collect()
    }

    /// Callers' connections that are open now.
    pub fn open_connections(&self) -> &Cell<usize> {
        &self.open_connections
    }

    /// Has every connection closed once it is idle.
    pub fn close_connections(&self) {
        self.closing.close();
    }

    /// Waits until connections are to be closed.
    pub async fn close_requested(&self) {
        // The semaphore never has a permit: waiting ends when it is closed.
        let _ = self.closing.acquire().await;
    }

    /// Puts a row in force, unless a revision as high is in force already.
    pub fn apply(&self, revision: u64, content: replica::Content) {
        let row = content.row();
        if !self.rows.borrow_mut().apply(revision, content) {
            return;
        }
        self.sync.mark_known(row);
        self.applied.add_permits(1);
        let revisions = self.rows.borrow().revisions;
        self.members.set_revisions(revisions);
        tracing::info!(
            event = "rows_applied",
            config = revisions.config,
            hosts = revisions.hosts,
            moves = revisions.moves,
        );
        self.refresh();
    }

    /// Brings the services in line with the rows.
    fn refresh(&self) {
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
                    if self.services.borrow().values().any(|s| s.has_list()) {
                        service.set_has_list();
                    }
                    Rc::new(service)
                }
            };
            let own: Vec<config::Upstream> =
                rows.hosts.upstreams.iter().filter(|u| u.service == name).cloned().collect();
            service.set_upstreams(&own, &rows.config.out);
            service.set_move(rows.moves.0.get(&name));
            self.keep_stopped(&service);
            services.insert(name, service);
        }
        *self.services.borrow_mut() = services;
        assignment::assign(self, &self.members.serving());
    }

    /// The brakes that this host knows of.
    pub fn halts(&self) -> &halt::Halts {
        &self.brakes
    }

    /// What this host knows for steering moves.
    pub fn coordinator(&self) -> &coordinator::Coordinator {
        &self.steering
    }

    /// Stops a move on this host, at once and for good.
    pub fn halt_move(&self, brake: halt::Halt) {
        if !self.brakes.insert(brake.clone()) {
            return;
        }
        tracing::warn!(
            event = "move_braked",
            service = %brake.service,
            id = %brake.id,
            by = %brake.host,
            reason = %brake.reason,
        );
        metrics::counter!("basilhaven_moves_braked_total").increment(1);
        if let Some(service) = self.service(brake.service.as_str()) {
            self.keep_stopped(&service);
        }
    }

    /// Stops a service's move when its brake is known already.
    fn keep_stopped(&self, service: &service::Service) {
        let Some(split) = service.split() else { return };
        if self.brakes.get(split.id()).is_some() {
            split.halt();
        }
    }

    /// The class of a caller, by the credential that it shows; without a known one it is free.
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

    /// The hosts that the directory may name: those that serve and are not out. When all are out, all
    /// are named, and without another this one, for callers have nowhere else to go.
    fn named(&self) -> Vec<member::Host> {
        let serving = self.members.serving();
        if serving.is_empty() {
            return vec![self.members.own()];
        }
        let out = &self.rows.borrow().config.out;
        let is_out = |host: &member::Host| {
            out.hosts.contains(&host.name) || out.data_centres.contains(&host.data_centre)
        };
        let named: Vec<member::Host> = serving.iter().filter(|h| !is_out(h)).cloned().collect();
        if named.is_empty() {
            serving
        } else {
            named
        }
    }

    /// What the directory tells a caller that asks for a service; hosts in `near` come first.
    pub fn entries(&self, service: &service::Service, near: Option<&str>) -> directory::Response {
        let mut hosts = self.named();
        // A host that holds no rows yet takes no calls.
        let bare = replica::Revisions::default();
        if hosts.iter().any(|host| host.revisions != bare) {
            hosts.retain(|host| host.revisions != bare);
        }
        let homes = directory::assigned_hosts(service.name(), &hosts, service.profile().homes);
        let mut entries: Vec<directory::Entry> =
            homes.into_iter().map(directory::Entry::from).collect();
        entries.sort_by_key(|entry| Some(entry.data_centre.as_str()) != near);
        directory::Response {
            service: service.name().clone(),
            ttl: self.settings.entry_ttl,
            entries,
        }
    }
}
