//! Routes: the services that take a call, and the rules for its attempts, latency and priority.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::access;
use crate::{finding, profile};

/// Step between two choices of a traffic split: multiples of the golden ratio, modulo 1, are spread
/// evenly.
const SPLIT_STEP: f64 = 0.618_033_988_749_895;

/// A service that takes a share of a route's calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: Rc<str>,
    /// The weight of the service, whose share is the weight divided by the sum of the route's
    /// weights.
    pub weight: f64,
}

/// One route of a host name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: Rc<str>,
    /// The prefix of the request paths that the route matches.
    pub prefix: Rc<str>,
    /// Whether a call may be executed more than once.
    pub idempotency: profile::Idempotency,
    /// The most attempts for one request of a caller, each at one upstream.
    pub max_attempts: u32,
    /// The time after which a call fails.
    pub timeout: Duration,
    /// The latency that responses should not exceed.
    pub latency_target: Duration,
    /// The priority of the route's calls; 0 is the highest.
    pub priority: u32,
    /// The services that take the route's calls.
    pub destinations: Vec<Destination>,
    /// Whether calls need no key. Not serialized, since earlier builds read the serialized form;
    /// sent in an [`access::Appendix`].
    #[serde(skip)]
    pub is_public: bool,
    /// Position of the last choice in the traffic split, from 0 to 1; advances by `SPLIT_STEP`.
    #[serde(skip, default = "random_phase")]
    phase: Cell<f64>,
}

/// Returns a random start of the traffic split: hosts start at different phases, so that together
/// they keep to the weights even over few calls.
fn random_phase() -> Cell<f64> {
    Cell::new(fastrand::f64())
}

impl Route {
    /// Returns a route that sends all calls to one service, with defaults for all else.
    pub fn new(name: &str, prefix: &str, service: &str) -> Route {
        Route {
            name: name.into(),
            prefix: prefix.into(),
            idempotency: profile::Idempotency::AtMostOnce,
            max_attempts: 1,
            timeout: Duration::from_secs(10),
            latency_target: Duration::from_secs(1),
            priority: 0,
            destinations: vec![Destination { service: service.into(), weight: 1.0 }],
            is_public: false,
            phase: random_phase(),
        }
    }

    /// Chooses the service for the next call by weight; `None` if the route has no destination.
    pub fn choose_service(&self) -> Option<&Rc<str>> {
        let total: f64 = self.destinations.iter().map(|destination| destination.weight).sum();
        let phase = (self.phase.get() + SPLIT_STEP).fract();
        self.phase.set(phase);
        let mut rest = phase * total;
        for destination in &self.destinations {
            rest -= destination.weight;
            if rest < 0.0 {
                return Some(&destination.service);
            }
        }
        self.destinations.last().map(|destination| &destination.service)
    }
}

/// The configuration of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The path on which its upstreams report their health and load.
    pub health_path: Rc<str>,
    /// The most connections that an upstream accepts from all hosts together.
    pub max_connections: u32,
    /// Calls per second that an upstream can take during its cold start.
    pub cold_rate: f64,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The longest request head, in bytes.
    pub max_head_len: usize,
    /// The longest request body, in bytes.
    pub max_body_len: usize,
    /// The time within which a request head must arrive, from its first byte.
    pub head_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that hold before the first configuration is applied.
    fn default() -> Limits {
        Limits {
            max_head_len: 16 * 1024,
            max_body_len: 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Table {
    /// The number of the version; higher ones are newer.
    pub version: u64,
    /// The routes of each host name.
    pub hosts: IndexMap<Rc<str>, Vec<Rc<Route>>>,
    /// The services by name.
    pub services: IndexMap<Rc<str>, Rc<Service>>,
    /// Limits on callers.
    pub limits: Limits,
    /// The organisations and their keys. Not serialized, since earlier builds read the serialized
    /// form; sent in an [`access::Appendix`].
    #[serde(skip)]
    pub directory: access::Directory,
    /// What is wrong with the entries of the configuration that are not in force. Known only to
    /// hosts that read the configuration from the store.
    #[serde(skip)]
    pub skipped: finding::Findings,
}

impl Table {
    /// Returns the route of a call: the one of the host name whose prefix is the longest that
    /// matches the path.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::rc::Rc;
    /// use basilhaven::gateway::route;
    ///
    /// let mut table = route::Table::default();
    /// let all = Rc::new(route::Route::new("all", "/", "catalogo"));
    /// let prices = Rc::new(route::Route::new("prices", "/prices/", "catalogo"));
    /// table.hosts.insert("shop.example".into(), vec![all, prices]);
    /// assert_eq!(&*table.find("shop.example", "/prices/1").unwrap().name, "prices");
    /// assert_eq!(&*table.find("shop.example", "/prices").unwrap().name, "all");
    /// assert!(table.find("other.example", "/").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.hosts.get(host)?;
        let matching = routes.iter().filter(|route| path.starts_with(&*route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }
}
