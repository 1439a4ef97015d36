//! Routes: which service takes a call, and what may be done with it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::profile;

/// The step between two draws of a split; multiples of the golden ratio spread evenly.
const SPLIT_STEP: f64 = 0.618_033_988_749_895;

/// A service that takes a part of a route's calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: Rc<str>,
    /// Its part, in proportion to the other weights of the route.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Rc<str>,
    /// The start of the paths that it takes.
    pub prefix: Rc<str>,
    /// Whether a call may run more than once.
    pub idempotency: profile::Idempotency,
    /// Upstreams to which one attempt of a caller may be sent.
    pub max_attempts: u32,
    /// The longest time that a call may take.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub latency_target: Duration,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// The services that take its calls.
    pub destinations: Vec<Destination>,
    /// Where the draws of the split stand.
    #[serde(skip, default = "random_turn")]
    turn: Cell<f64>,
}

/// Hosts begin at different places, so that together they keep the weights also over few calls.
fn random_turn() -> Cell<f64> {
    Cell::new(fastrand::f64())
}

impl Route {
    /// A route that sends all calls to one service, for callers to change.
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
            turn: random_turn(),
        }
    }

    /// The service for the next call, by the weights of the parts.
    pub fn choose_service(&self) -> Option<&Rc<str>> {
        let total: f64 = self.destinations.iter().map(|part| part.weight).sum();
        let turn = (self.turn.get() + SPLIT_STEP).fract();
        self.turn.set(turn);
        let mut left = turn * total;
        for part in &self.destinations {
            left -= part.weight;
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        self.destinations.last().map(|part| &part.service)
    }
}

/// A service as the configuration gives it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The path that tells its upstreams' health and load.
    pub health_path: Rc<str>,
    /// Connections that an upstream takes from all hosts together.
    pub max_connections: u32,
    /// Calls a second that a cold upstream bears.
    pub cold_rate: f64,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_head_len: usize,
    /// Bytes of a request's body.
    pub max_body_len: usize,
    /// Time for a request's head, from its first byte.
    pub head_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Limits for the time before a configuration is known.
    fn default() -> Limits {
        Limits {
            max_head_len: 16 * 1024,
            max_body_len: 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The whole configuration, in one version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Table {
    /// Its version; higher ones are newer.
    pub version: u64,
    /// The routes of each host name.
    pub hosts: IndexMap<Rc<str>, Vec<Rc<Route>>>,
    /// The services.
    pub services: IndexMap<Rc<str>, Rc<Service>>,
    /// What callers may send.
    pub limits: Limits,
}

impl Table {
    /// The route of a call: of those of the host, the one with the longest prefix that begins the path.
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
        let fitting = routes.iter().filter(|route| path.starts_with(&*route.prefix));
        fitting.max_by_key(|route| route.prefix.len())
    }
}
