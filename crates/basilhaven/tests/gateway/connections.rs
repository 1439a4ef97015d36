//! Connections to upstreams: how many a host opens for its calls and probes.
//!
//! The load is that of a large deployment: few calls for each pair of a host and an upstream, a
//! budget of probes that is smaller than what searches ask for, and upstreams of which 0.3 run
//! four times slower at any moment, so that calls search several times.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::assignment::Assignment;
use basilhaven::gateway::cluster::name_hash;
use basilhaven::gateway::protocol::Load;
use basilhaven::gateway::round_trips::RoundTrips;
use basilhaven::gateway::selection;
use basilhaven::gateway::upstream::{Entry, Upstream};

use crate::{entry, requirements};

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const HOSTS: usize = 24;
const UPSTREAMS: usize = 236;
const SLOTS: usize = 3;
const CALLS_PER_S: u64 = 614;
const WORK_MS: u64 = 240;

/// Probes of one host per upstream and second: its share of 0.85 of 42.
const PROBES_PER_S: f64 = 42.0 * 0.85 * 0.8 / HOSTS as f64;

/// How long an idle connection is kept.
const KEEP_ALIVE_MS: u64 = 1500;

/// The upstreams that one search chooses from and probes.
const SUBSET: usize = 32;
const PROBED: usize = 6;

/// Returns the hash of the data centre of a host or an upstream.
fn data_centre(number: usize) -> u16 {
    name_hash(DATA_CENTRES[number % DATA_CENTRES.len()])
}

/// What a host has of one upstream besides the product's own state.
#[derive(Default, Clone)]
struct Link {
    tokens: f64,
    refilled_ms: u64,
    /// When each connection was last used, and until when it is in use, in ms.
    conns: Vec<(u64, u64)>,
}

impl Link {
    fn may_probe(&mut self, ms: u64) -> bool {
        self.tokens += (ms - self.refilled_ms) as f64 / 1e3 * PROBES_PER_S;
        self.tokens = self.tokens.min(5.0);
        self.refilled_ms = ms;
        self.tokens >= 1.0
    }

    fn has_idle(&self, ms: u64) -> bool {
        self.conns.iter().any(|&(last, busy)| busy <= ms && ms - last.max(busy) < KEEP_ALIVE_MS)
    }

    /// Uses a connection until a time; returns 1 if it is a new one.
    fn use_conn(&mut self, ms: u64, until: u64) -> usize {
        self.conns.retain(|&(last, busy)| busy > ms || ms - last.max(busy) < KEEP_ALIVE_MS);
        match self.conns.iter_mut().filter(|(_, busy)| *busy <= ms).max_by_key(|(last, _)| *last) {
            Some(conn) => {
                *conn = (ms, until);
                0
            }
            None => {
                self.conns.push((ms, until));
                1
            }
        }
    }
}

struct Host {
    number: usize,
    upstreams: Vec<Rc<Upstream>>,
    links: Vec<Link>,
    /// Arrival times of the waiting calls, in ms.
    waiting: VecDeque<u64>,
    assignment: Assignment,
}

struct Simulation {
    start: Instant,
    hosts: Vec<Host>,
    /// When each running call ends, by upstream.
    running: Vec<Vec<u64>>,
    /// Ends of calls: time in ms, host, upstream, when it was sent.
    ends: Vec<(u64, usize, usize, u64)>,
    opened: usize,
    served: usize,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        fastrand::seed(seed);
        let start = Instant::now();
        let keys: Vec<(u64, u16)> =
            (0..HOSTS).map(|host| (host as u64 + 1, data_centre(host))).collect();
        let host = |number: usize| Host {
            number,
            upstreams: (0..UPSTREAMS)
                .map(|u| {
                    let data_centre = DATA_CENTRES[u % DATA_CENTRES.len()];
                    let entry =
                        Entry { slots: SLOTS as u32, ..entry("catalogo", "v1", data_centre) };
                    Rc::new(Upstream::new(format!("i-{u}").into(), entry, start))
                })
                .collect(),
            links: vec![Link { tokens: 1.0, ..Link::default() }; UPSTREAMS],
            waiting: VecDeque::new(),
            assignment: Assignment::new(keys[number].0, keys[number].1, keys.clone()),
        };
        Simulation {
            start,
            hosts: (0..HOSTS).map(host).collect(),
            running: vec![Vec::new(); UPSTREAMS],
            ends: Vec::new(),
            opened: 0,
            served: 0,
        }
    }

    fn slowdown(upstream: usize, ms: u64) -> u64 {
        let phase =
            (ms / 300).wrapping_mul(0x9E37_79B9).wrapping_add(upstream as u64 * 0x85EB_CA6B);
        if (phase ^ (phase >> 15)).wrapping_mul(0x2C1B_3C6D) % 1000 < 300 {
            4
        } else {
            1
        }
    }

    /// Lets the waiting calls of a host search, two at a time.
    fn search(&mut self, host: usize, ms: u64) {
        let now = self.start + Duration::from_millis(ms);
        let mut index = 0;
        for _ in 0..2 {
            let Some(&arrived) = self.hosts[host].waiting.get(index) else { return };
            if self.search_once(host, arrived, ms, now) {
                self.hosts[host].waiting.remove(index);
            } else {
                index += 1;
            }
        }
    }

    fn search_once(&mut self, host: usize, arrived: u64, ms: u64, now: Instant) -> bool {
        let Host { number, upstreams, links, assignment, .. } = &mut self.hosts[host];
        let own = DATA_CENTRES[*number % DATA_CENTRES.len()];
        let index = |u: &Upstream| u.id[2..].parse::<usize>().expect("a number");
        let links = std::cell::RefCell::new(links);
        let is_usable = |u: &Upstream| match selection::has_recent_report(u, now) {
            true => selection::has_free_slot(u),
            false => links.borrow_mut()[index(u)].may_probe(ms),
        };
        let effort = |u: &Upstream| {
            let link = &mut links.borrow_mut()[index(u)];
            let may_be_probed = link.may_probe(ms);
            let is_recent = selection::has_recent_report(u, now);
            selection::Effort::of(may_be_probed, link.has_idle(ms), is_recent)
        };
        let subset =
            selection::subset(upstreams.iter().collect(), assignment, own, SUBSET, is_usable, now);
        let probed = selection::sample(&subset, PROBED, effort, now);
        for upstream in &probed {
            let number = index(upstream);
            let link = &mut links.borrow_mut()[number];
            if link.may_probe(ms) {
                link.tokens -= 1.0;
                self.opened += link.use_conn(ms, ms);
                let running = self.running[number].len() as u32;
                let slowdown = Self::slowdown(number, ms) as f32;
                let load = Load { running, waiting: 0, slots: SLOTS as u32, slowdown };
                upstream.record_report(load, now);
            }
        }
        let context = selection::Context {
            data_centre: own,
            baseline: Duration::from_millis(WORK_MS),
            round_trips: &RoundTrips::default(),
        };
        let Some((chosen, cost)) = selection::cheapest(&probed, &context, now) else {
            return false;
        };
        let at = |after: u64| self.start + Duration::from_millis(arrived + after);
        let service = "catalogo".into();
        let requirements = requirements(&service, at(0), (600, 2000, 2200), WORK_MS);
        if !requirements.accepts(cost, now) {
            return false;
        }
        let number = index(chosen);
        chosen.begin_call(now);
        let work = WORK_MS * fastrand::u64(50..150) / 100;
        let end = ms + work * Self::slowdown(number, ms);
        self.opened += links.borrow_mut()[number].use_conn(ms, end);
        self.running[number].push(end);
        self.ends.push((end, host, number, ms));
        self.served += 1;
        true
    }

    fn step(&mut self, ms: u64) {
        for running in &mut self.running {
            running.retain(|&end| end > ms);
        }
        let (ended, rest): (Vec<_>, Vec<_>) = self.ends.drain(..).partition(|end| end.0 <= ms);
        self.ends = rest;
        for (_, host, upstream, sent) in ended {
            self.hosts[host].upstreams[upstream].end_call(self.start + Duration::from_millis(sent));
        }
        let arrivals = (0..CALLS_PER_S).filter(|_| fastrand::u64(0..1000) == 0).count();
        for _ in 0..arrivals {
            let host = fastrand::usize(0..HOSTS);
            self.hosts[host].waiting.push_back(ms);
            self.search(host, ms);
        }
        for host in 0..HOSTS {
            self.hosts[host].waiting.retain(|&arrived| ms < arrived + 2000);
            if (ms + host as u64).is_multiple_of(8) {
                self.search(host, ms);
            }
        }
    }
}

// Guards against connections that are opened again for nearly every call, because a host spreads its
// probes over so many upstreams that each is used less often than its connection is kept.
#[test]
fn most_calls_and_probes_use_kept_connections() {
    let mut simulation = Simulation::new(7);
    (0..3000).for_each(|ms| simulation.step(ms));
    let (opened, served) = (simulation.opened, simulation.served);
    (3000..13_000).for_each(|ms| simulation.step(ms));
    let (opened, served) = (simulation.opened - opened, simulation.served - served);
    assert!(opened * 5 <= served, "{opened} new connections for {served} calls");
}
