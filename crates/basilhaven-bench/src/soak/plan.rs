//! What is done to a system, and when: drawn from a seed.

use std::time::Duration;

use super::proxy::Link;
use crate::standin::users::store;
use crate::standin::users::upstream::Behaviour;

/// The shortest and the longest time that a fault lasts, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 200..3_500;

/// The same of what operators and upstreams order: the longest bound on it is 5 s.
const ORDER_MS: std::ops::Range<u64> = 3_000..9_000;

/// The mean time between the starts of two faults, in milliseconds; they overlap.
const GAP_MS: u64 = 450;

/// How long an upstream answers usually.
pub const USUAL: Behaviour = Behaviour::Serves(Duration::from_millis(15));

/// One thing that is done, to the host or upstream of a number where it names one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// SIGKILL; the host is started again when it has ended.
    Kill(usize),
    /// SIGKILL to all hosts.
    KillAll,
    /// SIGTERM; likewise.
    Terminate(usize),
    /// SIGSTOP.
    Pause(usize),
    /// SIGCONT.
    Resume(usize),
    /// SIGHUP.
    Reload(usize),
    /// How the store meets calls from now on.
    Store(store::Mode),
    /// The store forgets its history.
    DropHistory,
    /// What becomes of a host's connections to the store.
    StoreLink(usize, Link),
    /// What becomes of all connections to an upstream.
    UpstreamLink(usize, Link),
    /// What an upstream does with calls.
    Upstream(usize, Behaviour),
    /// What an upstream's health check says.
    Healthy(usize, bool),
    /// What an upstream says of itself in the store.
    Listed(usize, Listing),
    /// A new configuration; routes go to another service.
    Configure,
    /// A data centre is to get nothing, or may again.
    Evacuate(bool),
}

/// What an upstream says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// It takes calls.
    Ready,
    /// It is leaving.
    Draining,
    /// Nothing.
    Gone,
}

/// A step, and when it is taken.
#[derive(Debug, Clone, Copy)]
pub struct Planned {
    /// The time since the start.
    pub at: Duration,
    /// The step.
    pub step: Step,
}

/// How large the system is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Hosts.
    pub hosts: usize,
    /// Upstreams of each of two services.
    pub upstreams: usize,
}

/// The steps of `time`, in order. All faults have ended by then.
pub fn draw(seed: u64, size: Size, time: Duration) -> Vec<Planned> {
    let mut random = fastrand::Rng::with_seed(seed);
    let end = time.as_millis() as u64;
    let mut steps = Vec::new();
    let mut at = random.u64(0..GAP_MS);
    while at < end {
        let fault_end = (at + random.u64(FAULT_MS)).min(end);
        let order_end = (at + random.u64(ORDER_MS)).min(end);
        fault(&mut random, size, |is_end, step| {
            let until = match step {
                Step::Listed(..) | Step::Evacuate(_) => order_end,
                _ => fault_end,
            };
            let at = Duration::from_millis(if is_end { until } else { at });
            steps.push(Planned { at, step });
        });
        at += random.u64(0..2 * GAP_MS);
    }
    steps.sort_by_key(|planned| planned.at);
    steps
}

/// One fault: its steps at its start and, where it has one, at its end.
fn fault<F>(random: &mut fastrand::Rng, size: Size, mut add: F)
where
    F: FnMut(bool, Step),
{
    let host = random.usize(0..size.hosts);
    let upstream = random.usize(0..2 * size.upstreams);
    match random.u8(0..34) {
        0..=2 => add(false, Step::Kill(host)),
        3 => add(false, Step::KillAll),
        4..=6 => add(false, Step::Terminate(host)),
        7..=9 => {
            add(false, Step::Pause(host));
            add(true, Step::Resume(host));
        }
        10 => add(false, Step::Reload(host)),
        11 | 12 => {
            let modes = [store::Mode::Down, store::Mode::Unresponsive, store::Mode::DropsResponses];
            add(false, Step::Store(modes[random.usize(0..modes.len())]));
            add(true, Step::Store(store::Mode::Up));
        }
        13 => add(false, Step::DropHistory),
        14..=16 => {
            add(false, Step::StoreLink(host, link(random)));
            add(true, Step::StoreLink(host, Link::Open));
        }
        17..=19 => {
            add(false, Step::UpstreamLink(upstream, link(random)));
            add(true, Step::UpstreamLink(upstream, Link::Open));
        }
        20..=24 => {
            add(false, Step::Upstream(upstream, behaviour(random)));
            add(true, Step::Upstream(upstream, USUAL));
        }
        25 => {
            add(false, Step::Healthy(upstream, false));
            add(true, Step::Healthy(upstream, true));
        }
        26..=28 => {
            let listing = if random.bool() { Listing::Draining } else { Listing::Gone };
            add(false, Step::Listed(upstream, listing));
            add(true, Step::Listed(upstream, Listing::Ready));
        }
        29..=31 => add(false, Step::Configure),
        _ => {
            add(false, Step::Evacuate(true));
            add(true, Step::Evacuate(false));
        }
    }
}

fn link(random: &mut fastrand::Rng) -> Link {
    let delay = Duration::from_millis(random.u64(5..150));
    let links = [Link::Delays(delay), Link::Silent, Link::DropsResponses, Link::Resets];
    links[random.usize(0..links.len())]
}

fn behaviour(random: &mut fastrand::Rng) -> Behaviour {
    let behaviours = [
        Behaviour::Serves(Duration::from_millis(random.u64(50..900))),
        Behaviour::DropsResponses,
        Behaviour::TruncatesResponses,
        Behaviour::RepeatsResponses,
        Behaviour::OmitsSignature,
        Behaviour::Fails,
        Behaviour::Sheds,
        Behaviour::RejectsAsMisdirected,
        Behaviour::Hangs,
    ];
    behaviours[random.usize(0..behaviours.len())]
}
