//! The system that is soaked: real hosts behind proxies, between a store and upstreams.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::caller;
use super::plan::{Listing, Size, Step, USUAL};
use super::proxy::{Link, Proxy};
use crate::gateway::{self, Host};
use crate::process::Signal;
use crate::standin::users::store::{Mode, Store};
use crate::standin::users::upstream;

/// How long the platform takes to start a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

/// The data centre that is evacuated now and then.
pub(super) const EVACUATED: &str = "b";

/// One run of a host's process.
#[derive(Debug)]
pub struct Run {
    /// The host, by number.
    pub host: usize,
    /// When it was started.
    pub started: Instant,
    /// When it was told to stop.
    pub terminated: Option<Instant>,
    /// When it was killed.
    pub killed: Option<Instant>,
    /// When it had ended, and whether with success.
    pub ended: Option<(Instant, bool)>,
    /// The lines that it logged.
    pub lines: Vec<serde_json::Value>,
}

/// A host that is running, or is to be started again.
enum Slot {
    Running(Box<Host>, Run),
    Waiting(Instant),
}

/// A time in which something was wrong.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// Its start.
    pub from: Instant,
    /// Its end; `None` while it lasts.
    pub to: Option<Instant>,
}

impl Span {
    /// Whether it overlaps a time.
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

/// One upstream, its service and data centre.
pub struct Upstream {
    /// The upstream.
    pub server: upstream::Upstream,
    /// Its service.
    pub service: &'static str,
    /// Its data centre.
    pub data_centre: &'static str,
    proxy: Proxy,
}

/// What happened that the checks have to know.
#[derive(Debug, Default)]
pub struct History {
    /// Processes of hosts.
    pub runs: Vec<Run>,
    /// When hosts were paused, by number.
    pub pauses: Vec<(usize, Span)>,
    /// When the store was disturbed.
    pub store: Vec<Span>,
    /// When a host's way to the store was, by number.
    pub links: Vec<(usize, Span)>,
    /// Which service the routes went to, from when it was acknowledged.
    pub services: Vec<(Instant, &'static str)>,
    /// When an upstream had said that it leaves, by number.
    pub leaving: Vec<(usize, Span)>,
    /// When a data centre was to get nothing.
    pub evacuated: Vec<Span>,
}

/// The whole system.
pub struct System {
    store: Store,
    store_links: Vec<Proxy>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    slots: Vec<Slot>,
    ips: Vec<Ipv4Addr>,
    peer_port: u16,
    seeds: String,
    version: u64,
    /// Where hosts take calls.
    pub callers: caller::Hosts,
    /// What happened.
    pub history: History,
}

impl System {
    /// Calls that all upstreams together run at once.
    pub fn slots(&self) -> usize {
        upstream::SLOTS as usize * self.upstreams.len()
    }

    /// Starts everything; the hosts use addresses of one of the loopback networks `127.0.NET.`
    pub async fn start(size: Size, net: u8) -> System {
        let store = Store::start();
        let mut upstreams = Vec::new();
        for number in 0..2 * size.upstreams {
            let server = upstream::Upstream::start(&format!("i-{number}"), USUAL);
            let proxy = Proxy::start(server.address());
            let service = [gateway::SERVICE, gateway::OTHER_SERVICE][number % 2];
            let data_centre = ["a", EVACUATED][number / 2 % 2];
            upstreams.push(Upstream { server, service, data_centre, proxy });
        }
        let ips: Vec<Ipv4Addr> =
            (1..=size.hosts).map(|n| Ipv4Addr::new(127, 0, net, n as u8)).collect();
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:1")).collect();
        let mut system = System {
            store_links: ips.iter().map(|_| Proxy::start(store.address())).collect(),
            store,
            upstreams,
            slots: ips.iter().map(|_| Slot::Waiting(Instant::now())).collect(),
            peer_port: gateway::free_peer_port(&ips),
            seeds: seeds.join(","),
            callers: Arc::new(Mutex::new(vec![None; ips.len()])),
            ips,
            version: 0,
            history: History::default(),
        };
        (0..system.upstreams.len()).for_each(|number| system.list(number, Listing::Ready));
        system.configure();
        system.supervise().await;
        system
    }

    /// Starts hosts whose process has ended, as the platform does.
    pub async fn supervise(&mut self) {
        for number in 0..self.slots.len() {
            if let Slot::Running(host, run) = &mut self.slots[number] {
                let Some(success) = host.process.wait(Duration::ZERO).await else { continue };
                run.ended = Some((Instant::now(), success));
                run.lines = host.process.lines();
                self.set_caller_address(number, None);
                let waiting = Slot::Waiting(Instant::now() + RESTART_PAUSE);
                if let Slot::Running(_, run) = std::mem::replace(&mut self.slots[number], waiting) {
                    self.history.runs.push(run);
                }
            }
            if matches!(self.slots[number], Slot::Waiting(due) if due <= Instant::now()) {
                self.slots[number] = self.start_host(number).await;
            }
        }
    }

    async fn start_host(&self, number: usize) -> Slot {
        let store = self.store_links[number].address();
        let data_centre = ["a", EVACUATED][number % 2];
        let more = [("BASILHAVEN_DATA_CENTRE", data_centre)];
        let started = Instant::now();
        let host =
            Host::start_with(store, self.ips[number], self.peer_port, &self.seeds, &more).await;
        self.set_caller_address(number, Some(host.callers));
        let run = Run {
            host: number,
            started,
            terminated: None,
            killed: None,
            ended: None,
            lines: Vec::new(),
        };
        Slot::Running(Box::new(host), run)
    }

    fn set_caller_address(&self, number: usize, address: Option<std::net::SocketAddr>) {
        let mut callers = self.callers.lock().expect("no thread panics while it holds the list");
        callers[number] = address;
    }

    /// The hosts that are running.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.slots.iter().filter_map(|slot| match slot {
            Slot::Running(host, _) => Some(&**host),
            Slot::Waiting(_) => None,
        })
    }

    /// Whether all hosts run.
    pub fn is_complete(&self) -> bool {
        self.hosts().count() == self.slots.len()
    }

    /// Takes one step.
    pub fn take(&mut self, step: Step) {
        let now = Instant::now();
        match step {
            Step::Kill(host) => self.signal(host, Signal::Kill),
            Step::KillAll => (0..self.slots.len()).for_each(|host| self.signal(host, Signal::Kill)),
            Step::Terminate(host) => self.signal(host, Signal::Terminate),
            Step::Reload(host) => self.signal(host, Signal::Reload),
            Step::Pause(host) => {
                self.history.pauses.push((host, Span { from: now, to: None }));
                self.signal(host, Signal::Stop);
            }
            Step::Resume(host) => {
                self.signal(host, Signal::Continue);
                end_of(&mut self.history.pauses, host, now);
            }
            Step::Store(mode) => {
                self.store.set_mode(mode);
                self.note_store(mode == Mode::Up, now);
            }
            Step::DropHistory => {
                self.store.drop_history();
                self.history.store.push(Span { from: now, to: Some(now) });
            }
            Step::StoreLink(host, link) => {
                self.store_links[host].set_link(link);
                end_of(&mut self.history.links, host, now);
                if link != Link::Open {
                    self.history.links.push((host, Span { from: now, to: None }));
                }
            }
            Step::UpstreamLink(upstream, link) => self.upstreams[upstream].proxy.set_link(link),
            Step::Upstream(upstream, behaviour) => {
                self.upstreams[upstream].server.set_behaviour(behaviour)
            }
            Step::Healthy(upstream, healthy) => {
                self.upstreams[upstream].server.set_healthy(healthy);
            }
            Step::Listed(upstream, listing) => self.list(upstream, listing),
            Step::Configure => self.configure(),
            Step::Evacuate(true) => {
                self.store.put("op", &format!("evacuate/{EVACUATED}"), "{}");
                self.history.evacuated.push(Span { from: now, to: None });
            }
            Step::Evacuate(false) => {
                self.store.remove("op", &format!("evacuate/{EVACUATED}"));
                let open = self.history.evacuated.iter_mut().filter(|span| span.to.is_none());
                open.for_each(|span| span.to = Some(now));
            }
        }
    }

    /// Notes that the store is disturbed, or that a disturbance has ended; others may still last.
    fn note_store(&mut self, is_well: bool, now: Instant) {
        match is_well {
            false => self.history.store.push(Span { from: now, to: None }),
            true => {
                if let Some(span) = self.history.store.iter_mut().find(|span| span.to.is_none()) {
                    span.to = Some(now);
                }
            }
        }
    }

    fn signal(&mut self, number: usize, signal: Signal) {
        let Slot::Running(host, run) = &mut self.slots[number] else { return };
        let now = Instant::now();
        match signal {
            // A process that is killed twice ended by the first order.
            Signal::Kill => run.killed = run.killed.or(Some(now)),
            Signal::Terminate => run.terminated = run.terminated.or(Some(now)),
            Signal::Stop | Signal::Continue | Signal::Reload => {}
        }
        host.process.signal(signal);
    }

    fn list(&mut self, number: usize, listing: Listing) {
        let one = &self.upstreams[number];
        let state = match listing {
            Listing::Ready => "ready",
            Listing::Draining | Listing::Gone => "draining",
        };
        let entry =
            one.server.entry_at(one.proxy.address(), one.data_centre, one.service, "v1", state);
        match listing {
            Listing::Gone => self.store.remove("servers", &one.server.id),
            Listing::Ready | Listing::Draining => {
                self.store.put("servers", &one.server.id, &entry);
            }
        }
        let now = Instant::now();
        end_of(&mut self.history.leaving, number, now);
        if listing != Listing::Ready {
            self.history.leaving.push((number, Span { from: now, to: None }));
        }
    }

    fn configure(&mut self) {
        self.version += 1 + self.version % 3;
        let service = [gateway::SERVICE, gateway::OTHER_SERVICE][self.history.services.len() % 2];
        self.store.put("op", "config", &gateway::config(self.version, service));
        self.history.services.push((Instant::now(), service));
    }

    /// Ends all faults, whichever still last.
    pub fn heal(&mut self) {
        let now = Instant::now();
        self.store.set_mode(Mode::Up);
        self.history.store.iter_mut().for_each(|span| span.to = span.to.or(Some(now)));
        for number in 0..self.slots.len() {
            self.take(Step::Resume(number));
            self.take(Step::StoreLink(number, Link::Open));
        }
        for number in 0..self.upstreams.len() {
            self.take(Step::UpstreamLink(number, Link::Open));
            self.take(Step::Upstream(number, USUAL));
            self.take(Step::Healthy(number, true));
            self.list(number, Listing::Ready);
        }
        self.take(Step::Evacuate(false));
    }

    /// Takes what hosts that still run have logged into the history.
    pub fn close(&mut self) {
        for slot in &mut self.slots {
            let waiting = Slot::Waiting(Instant::now());
            if let Slot::Running(host, mut run) = std::mem::replace(slot, waiting) {
                run.lines = host.process.lines();
                self.history.runs.push(run);
            }
        }
    }
}

/// Ends the spans of a number that still last.
fn end_of(spans: &mut [(usize, Span)], number: usize, now: Instant) {
    let open = spans.iter_mut().filter(|(own, span)| *own == number && span.to.is_none());
    open.for_each(|(_, span)| span.to = Some(now));
}
