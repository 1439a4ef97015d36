//! The system under test: real hosts, connected through proxies to a store and upstreams.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::caller;
use super::links::Links;
use super::plan::{Registration, Size, Step, BUSY_TIME, DEFAULT_BEHAVIOUR, LIMIT};
use super::proxy::{Link, Proxy};
use crate::gateway::{self, Host};
use crate::process::Signal;
use crate::standin::users::store::{self, Mode, Store};
use crate::standin::users::upstream;

/// How long the platform takes to restart a process.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// The data centre that the soak evacuates.
pub(super) const EVACUATED: &str = "b";

/// One process of a host, from its start to its exit.
#[derive(Debug)]
pub struct Run {
    /// The index of the host.
    pub host: usize,
    /// When the process was started.
    pub started: Instant,
    /// When SIGTERM was first sent.
    pub terminated: Option<Instant>,
    /// When SIGKILL was first sent.
    pub killed: Option<Instant>,
    /// When it was seen to have exited, and whether with success.
    pub ended: Option<(Instant, bool)>,
    /// Its log, one JSON value per line. Beside a crowd it may have a line for each request.
    pub log: String,
}

/// A host that is running, or is restarted at a given time.
enum HostState {
    Running(Box<Host>, Run),
    Restarting(Instant),
}

/// A time span of a fault or an order.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// When it started.
    pub from: Instant,
    /// When it ended; `None` while it lasts.
    pub to: Option<Instant>,
}

impl Span {
    /// Returns whether it overlaps the span between two instants.
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

/// An upstream with its service and data centre.
pub struct Upstream {
    /// The stand-in.
    pub server: upstream::Upstream,
    /// Its service.
    pub service: &'static str,
    /// Its data centre.
    pub data_centre: &'static str,
    proxy: Proxy,
}

/// The events that the checks take into account. Hosts and upstreams are given by index.
#[derive(Debug, Default)]
pub struct History {
    /// The processes of hosts.
    pub runs: Vec<Run>,
    /// When hosts were paused.
    pub pauses: Vec<(usize, Span)>,
    /// When the store had a fault.
    pub store_faults: Vec<Span>,
    /// When the link between a host and the store had a fault.
    pub link_faults: Vec<(usize, Span)>,
    /// When a host was cut from all upstreams.
    pub cuts: Vec<(usize, Span)>,
    /// When upstreams said in their responses that they were leaving.
    pub said_leaving: Vec<(usize, Span)>,
    /// The services that the routes led to, each with the time when the store had its
    /// configuration.
    pub services: Vec<(Instant, &'static str)>,
    /// When upstreams were registered as draining or not at all.
    pub leaving: Vec<(usize, Span)>,
    /// When upstreams named a rate of calls.
    pub limits: Vec<(usize, Span)>,
    /// When the data centre [`EVACUATED`] was ordered to be evacuated.
    pub evacuations: Vec<Span>,
}

/// Settings that limit what a host uses.
pub type Limits = &'static [(&'static str, &'static str)];

/// The running system.
pub struct System {
    store: Store,
    /// The copy from which the store is to be restored.
    copy: Option<store::Copy>,
    /// The state in which each upstream has registered.
    registrations: Vec<Registration>,
    store_links: Vec<Proxy>,
    /// The links of each host process to all upstreams, and the state that each host should have.
    links: Links,
    host_links: Vec<Link>,
    /// The upstreams of all services.
    pub upstreams: Vec<Upstream>,
    hosts: Vec<HostState>,
    ips: Vec<Ipv4Addr>,
    peer_port: u16,
    seeds: String,
    limits: Limits,
    version: u64,
    /// The addresses at which hosts accept calls.
    pub callers: caller::Hosts,
    /// What has happened so far.
    pub history: History,
}

impl System {
    /// Returns how many calls all upstreams together execute at once.
    pub fn total_slots(&self) -> usize {
        upstream::SLOTS as usize * self.upstreams.len()
    }

    /// Starts the system, with the hosts on addresses of the loopback network `127.0.NET.0/24`.
    pub async fn start(size: Size, net: u8, limits: Limits) -> System {
        let store = Store::start();
        let mut upstreams = Vec::new();
        let links = Links::default();
        for index in 0..2 * size.upstreams {
            let server = upstream::Upstream::start(&format!("i-{index}"), DEFAULT_BEHAVIOUR);
            let proxy = Proxy::start_among(server.address(), &links);
            let service = [gateway::SERVICE, gateway::OTHER_SERVICE][index % 2];
            let data_centre = ["a", EVACUATED][index / 2 % 2];
            upstreams.push(Upstream { server, service, data_centre, proxy });
        }
        let ips: Vec<Ipv4Addr> =
            (1..=size.hosts).map(|n| Ipv4Addr::new(127, 0, net, n as u8)).collect();
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:1")).collect();
        let mut system = System {
            store_links: ips.iter().map(|_| Proxy::start(store.address())).collect(),
            store,
            links,
            host_links: vec![Link::Open; ips.len()],
            copy: None,
            registrations: vec![Registration::Ready; upstreams.len()],
            upstreams,
            hosts: ips.iter().map(|_| HostState::Restarting(Instant::now())).collect(),
            peer_port: gateway::free_peer_port(&ips),
            seeds: seeds.join(","),
            limits,
            callers: Arc::new(Mutex::new(vec![None; ips.len()])),
            ips,
            version: 0,
            history: History::default(),
        };
        (0..system.upstreams.len()).for_each(|index| system.register(index, Registration::Ready));
        system.configure();
        system.supervise().await;
        system
    }

    /// Restarts hosts whose process has exited, as the platform does.
    pub async fn supervise(&mut self) {
        for index in 0..self.hosts.len() {
            if let HostState::Running(host, run) = &mut self.hosts[index] {
                let Some(success) = host.process.wait(Duration::ZERO).await else { continue };
                run.ended = Some((Instant::now(), success));
                run.log = host.process.output();
                self.links.remove(host.process.id());
                self.set_caller_address(index, None);
                let restarting = HostState::Restarting(Instant::now() + RESTART_DELAY);
                if let HostState::Running(_, run) =
                    std::mem::replace(&mut self.hosts[index], restarting)
                {
                    self.history.runs.push(run);
                }
            }
            if matches!(self.hosts[index], HostState::Restarting(due) if due <= Instant::now()) {
                self.hosts[index] = self.start_host(index).await;
            }
        }
    }

    async fn start_host(&self, index: usize) -> HostState {
        let store = self.store_links[index].address();
        let data_centre = ["a", EVACUATED][index % 2];
        let settings = [&[("BASILHAVEN_DATA_CENTRE", data_centre)], self.limits].concat();
        let started = Instant::now();
        let host =
            Host::start_with(store, self.ips[index], self.peer_port, &self.seeds, &settings).await;
        self.set_caller_address(index, Some(host.callers));
        self.links.set_link(host.process.id(), self.host_links[index]);
        let run = Run {
            host: index,
            started,
            terminated: None,
            killed: None,
            ended: None,
            log: String::new(),
        };
        HostState::Running(Box::new(host), run)
    }

    fn set_caller_address(&self, index: usize, address: Option<std::net::SocketAddr>) {
        let mut callers = self.callers.lock().expect("no thread panics while it holds the list");
        callers[index] = address;
    }

    /// Returns the hosts that are running.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter_map(|state| match state {
            HostState::Running(host, _) => Some(&**host),
            HostState::Restarting(_) => None,
        })
    }

    /// Returns whether all hosts are running.
    pub fn has_all_hosts(&self) -> bool {
        self.hosts().count() == self.hosts.len()
    }

    /// Applies one step.
    pub fn apply(&mut self, step: Step) {
        let now = Instant::now();
        match step {
            Step::Kill(host) => self.signal(host, Signal::Kill),
            Step::KillAll => (0..self.hosts.len()).for_each(|host| self.signal(host, Signal::Kill)),
            Step::Terminate(host) => self.signal(host, Signal::Terminate),
            Step::Reload(host) => self.signal(host, Signal::Reload),
            Step::Pause(host) => {
                self.history.pauses.push((host, Span { from: now, to: None }));
                self.signal(host, Signal::Stop);
            }
            Step::Resume(host) => {
                self.signal(host, Signal::Continue);
                end_spans(&mut self.history.pauses, host, now);
            }
            Step::Store(mode) => {
                self.store.set_mode(mode);
                self.record_store_mode(mode == Mode::Up, now);
            }
            Step::DropHistory => {
                self.store.drop_history();
                self.history.store_faults.push(Span { from: now, to: Some(now) });
            }
            Step::CopyStore => self.copy = self.copy.take().or_else(|| Some(self.store.copy())),
            Step::RestoreStore => self.restore_store(now),
            Step::Limit(upstream, is_limited) => {
                end_spans(&mut self.history.limits, upstream, now);
                if is_limited {
                    self.history.limits.push((upstream, Span { from: now, to: None }));
                }
                self.upstreams[upstream].server.set_limit(is_limited.then_some(LIMIT));
            }
            Step::HostLink(host, link) => {
                self.host_links[host] = link;
                if let HostState::Running(running, _) = &self.hosts[host] {
                    self.links.set_link(running.process.id(), link);
                }
                end_spans(&mut self.history.cuts, host, now);
                if link != Link::Open {
                    self.history.cuts.push((host, Span { from: now, to: None }));
                }
            }
            Step::Leave(upstream, true) => {
                self.upstreams[upstream].server.set_leaving(true);
                self.history.said_leaving.push((upstream, Span { from: now, to: None }));
            }
            Step::Leave(upstream, false) => {
                end_spans(&mut self.history.said_leaving, upstream, now);
                self.upstreams[upstream].server.restart();
                self.write_registration(upstream);
            }
            Step::Busy(upstream, is_busy) => {
                let server = &self.upstreams[upstream].server;
                server.set_retry_after(is_busy.then_some(BUSY_TIME));
                let busy = upstream::Behaviour::Sheds;
                server.set_behaviour(if is_busy { busy } else { DEFAULT_BEHAVIOUR });
            }
            Step::StoreLink(host, link) => {
                self.store_links[host].set_link(link);
                end_spans(&mut self.history.link_faults, host, now);
                if link != Link::Open {
                    self.history.link_faults.push((host, Span { from: now, to: None }));
                }
            }
            Step::UpstreamLink(upstream, link) => self.upstreams[upstream].proxy.set_link(link),
            Step::Upstream(upstream, behaviour) => {
                self.upstreams[upstream].server.set_behaviour(behaviour)
            }
            Step::Healthy(upstream, healthy) => {
                self.upstreams[upstream].server.set_healthy(healthy);
            }
            Step::Register(upstream, registration) => self.register(upstream, registration),
            Step::Configure => self.configure(),
            Step::Evacuate(true) => {
                self.store.put("op", &format!("evacuate/{EVACUATED}"), "{}");
                self.history.evacuations.push(Span { from: now, to: None });
            }
            Step::Evacuate(false) => {
                self.store.remove("op", &format!("evacuate/{EVACUATED}"));
                let lasting = self.history.evacuations.iter_mut().filter(|span| span.to.is_none());
                lasting.for_each(|span| span.to = Some(now));
            }
        }
    }

    /// Restores the store from the copy, and writes again what the copy lacks.
    fn restore_store(&mut self, now: Instant) {
        let Some(copy) = self.copy.take() else { return };
        self.store.restore(&copy);
        self.history.store_faults.push(Span { from: now, to: Some(now) });
        for index in 0..self.upstreams.len() {
            self.write_registration(index);
        }
        if let Some((_, service)) = self.history.services.last() {
            self.store.put("op", "config", &gateway::config(self.version, service));
        }
        let key = format!("evacuate/{EVACUATED}");
        match self.history.evacuations.iter().any(|span| span.to.is_none()) {
            true => self.store.put("op", &key, "{}"),
            false => self.store.remove("op", &key),
        }
    }

    /// Records that a fault of the store begins, or that one has ended; faults overlap, so that
    /// others may still last.
    fn record_store_mode(&mut self, is_up: bool, now: Instant) {
        match is_up {
            false => self.history.store_faults.push(Span { from: now, to: None }),
            true => {
                if let Some(span) =
                    self.history.store_faults.iter_mut().find(|span| span.to.is_none())
                {
                    span.to = Some(now);
                }
            }
        }
    }

    fn signal(&mut self, index: usize, signal: Signal) {
        let HostState::Running(host, run) = &mut self.hosts[index] else { return };
        let now = Instant::now();
        match signal {
            // A process that is killed twice ends by the first signal.
            Signal::Kill => run.killed = run.killed.or(Some(now)),
            Signal::Terminate => run.terminated = run.terminated.or(Some(now)),
            Signal::Stop | Signal::Continue | Signal::Reload => {}
        }
        host.process.signal(signal);
    }

    fn register(&mut self, index: usize, registration: Registration) {
        self.registrations[index] = registration;
        self.write_registration(index);
        let now = Instant::now();
        end_spans(&mut self.history.leaving, index, now);
        if registration != Registration::Ready {
            self.history.leaving.push((index, Span { from: now, to: None }));
        }
    }

    fn write_registration(&self, index: usize) {
        let registration = self.registrations[index];
        let upstream = &self.upstreams[index];
        let state = match registration {
            Registration::Ready => "ready",
            Registration::Draining | Registration::Absent => "draining",
        };
        let entry = upstream.server.entry_at(
            upstream.proxy.address(),
            upstream.data_centre,
            upstream.service,
            "v1",
            state,
        );
        match registration {
            Registration::Absent => self.store.remove("servers", &upstream.server.id),
            Registration::Ready | Registration::Draining => {
                self.store.put("servers", &upstream.server.id, &entry);
            }
        }
    }

    fn configure(&mut self) {
        self.version += 1 + self.version % 3;
        let service = [gateway::SERVICE, gateway::OTHER_SERVICE][self.history.services.len() % 2];
        self.store.put("op", "config", &gateway::config(self.version, service));
        self.history.services.push((Instant::now(), service));
    }

    /// Ends all faults and orders that still last.
    pub fn end_faults(&mut self) {
        let now = Instant::now();
        self.store.set_mode(Mode::Up);
        self.history.store_faults.iter_mut().for_each(|span| span.to = span.to.or(Some(now)));
        for index in 0..self.hosts.len() {
            self.apply(Step::Resume(index));
            self.apply(Step::StoreLink(index, Link::Open));
            self.apply(Step::HostLink(index, Link::Open));
        }
        for index in 0..self.upstreams.len() {
            self.apply(Step::UpstreamLink(index, Link::Open));
            self.apply(Step::Upstream(index, DEFAULT_BEHAVIOUR));
            self.apply(Step::Healthy(index, true));
            self.apply(Step::Limit(index, false));
            self.apply(Step::Busy(index, false));
            self.apply(Step::Leave(index, false));
            self.register(index, Registration::Ready);
        }
        self.apply(Step::Evacuate(false));
    }

    /// Stops the hosts that are still running, and adds their logs to the history.
    pub fn collect_logs(&mut self) {
        for state in &mut self.hosts {
            let restarting = HostState::Restarting(Instant::now());
            if let HostState::Running(host, mut run) = std::mem::replace(state, restarting) {
                run.log = host.process.output();
                self.history.runs.push(run);
            }
        }
    }
}

/// Ends the spans of one host or upstream that still last.
fn end_spans(spans: &mut [(usize, Span)], index: usize, now: Instant) {
    let lasting = spans.iter_mut().filter(|(own, span)| *own == index && span.to.is_none());
    lasting.for_each(|(_, span)| span.to = Some(now));
}
