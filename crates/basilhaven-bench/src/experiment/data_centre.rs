//! `data-centre`: a data centre goes out and comes back under load.

use std::time::{Duration, Instant};

use basilhaven::{admin, config, directory, order, profile};

use crate::cluster::{self, Daemon, Platform, Upstream};
use crate::process::Process;
use crate::report::Report;
use crate::standin::{caller, upstream};

/// The data centres; the first one goes out.
const DATA_CENTRES: [&str; 3] = ["milano-a", "torino-b", "bergamo-c"];

/// Entry hosts in each data centre.
const HOSTS: usize = 2;

/// Upstreams in each data centre.
const UPSTREAMS: usize = 4;

/// Calls a second, about a twelfth of what all upstreams bear.
const RATE: f64 = 500.0;

/// Calls that an upstream takes to warm up after its return.
const COLD_CALLS: u32 = 200;

/// How long after an accepted order new work may still come.
const MAX_NEW_WORK: Duration = Duration::from_secs(3);

/// How long the load runs before the baseline's return, so that hosts know the usual latency.
const WARM_UP: Duration = Duration::from_secs(2);

/// How long a return is watched.
const RETURN: Duration = Duration::from_secs(6);

/// How long the return takes by a ramp.
const RAMP: Duration = Duration::from_secs(5);

/// Calls in flight that a cold upstream bears.
const MAX_IN_FLIGHT_COLD: usize = 1;

/// How long anything else may take.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

struct Setup {
    _platform: Platform,
    upstreams: Vec<Upstream>,
    daemons: Vec<Daemon>,
    seed: u64,
}

/// Runs the experiment.
pub async fn run(seed: u64) -> Report {
    let mut report = Report::new("data-centre", seed);
    let setup = start(seed).await;
    let before = setup.load(Duration::from_secs(3)).await;
    let usual = finish(before).await;
    report.figure("before", usual.latency);

    set_ramp(&setup, RAMP).await;
    let out = take_out(&setup, &mut report).await;
    report.figure("while_out", out.latency);
    let ramp = bring_back(&setup).await;
    report.figure("return_by_ramp", ramp.latency);
    report.figure("failed", &ramp.failed);
    let cold = setup.max_in_flight_cold().await;
    report.figure("in_flight_cold_by_ramp", cold);
    report.target("in_flight_cold_by_ramp", MAX_IN_FLIGHT_COLD, cold <= MAX_IN_FLIGHT_COLD);

    drop(setup);
    let step = return_by_step(seed, &mut report).await;

    let answered = usual.answered + out.answered + ramp.answered;
    let calls = usual.calls + out.calls + ramp.calls;
    report.target("answered", calls, answered == calls);
    report.target("wrong", 0, usual.wrong + out.wrong + ramp.wrong == 0);
    let better = ramp.latency.p999_us < step.latency.p999_us;
    report.target("p999_of_ramp_below_step", step.latency.p999_us, better);
    report
}

/// The baseline, on hosts that have not seen the upstreams cold before.
async fn return_by_step(seed: u64, report: &mut Report) -> caller::Summary {
    let setup = start(seed).await;
    set_ramp(&setup, Duration::ZERO).await;
    finish(setup.load(WARM_UP).await).await;
    give(&setup.daemons[0], order::Order::Out(target())).await;
    let step = bring_back(&setup).await;
    report.baseline("return_by_step", step.latency);
    report.baseline("in_flight_cold_by_step", setup.max_in_flight_cold().await);
    report.baseline("failed", &step.failed);
    step
}

async fn start(seed: u64) -> Setup {
    let platform = Platform::start(&["--lag-ms", "500"]).await;
    let mut upstreams = Vec::new();
    for i in 0..DATA_CENTRES.len() * UPSTREAMS {
        let data_centre = DATA_CENTRES[i % DATA_CENTRES.len()];
        let name = format!("catalogo-{}", i + 1);
        let args = ["--service-us", "8000", "--slots", "4"];
        upstreams.push(Upstream::start("catalogo", &name, data_centre, &args).await);
    }
    let specs = upstreams.iter().map(Upstream::spec).collect();
    platform.put_hosts(&config::Hosts { upstreams: specs, entries: Vec::new() }).await;
    let args = ["--platform", &platform.address.to_string(), "--entry-ttl-ms", "1000"];
    let places: Vec<&str> = DATA_CENTRES.iter().copied().cycle().take(HOSTS * 3).collect();
    let daemons = Daemon::start_all(&places, &args.map(str::to_owned)).await;
    let until = Instant::now() + STEP_TIMEOUT;
    for daemon in &daemons {
        while daemon.status().await.services.is_empty() {
            assert!(Instant::now() < until, "{} has no host list", daemon.name);
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Setup { _platform: platform, upstreams, daemons, seed }
}

impl Setup {
    async fn load(&self, span: Duration) -> Process {
        let mut args = Vec::new();
        for daemon in &self.daemons {
            args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
        }
        let calls = (RATE * span.as_secs_f64()) as usize;
        args.extend(["--calls".to_owned(), calls.to_string()]);
        args.extend(["--rate".to_owned(), RATE.to_string()]);
        args.extend(["--seed".to_owned(), self.seed.to_string()]);
        cluster::start_callers(&args).await
    }

    /// The upstreams of the data centre that goes out.
    fn leaving(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().step_by(DATA_CENTRES.len())
    }

    /// Has them start cold.
    async fn cool(&self) {
        let cold = upstream::Control { cold_calls: Some(COLD_CALLS), ..Default::default() };
        for upstream in self.leaving() {
            upstream.control(&cold).await;
        }
    }

    /// The most calls that one of them had in flight while cold, up to now.
    async fn max_in_flight_cold(&self) -> usize {
        let mut most = 0;
        for upstream in self.leaving() {
            most = most.max(upstream.stats().await.max_in_flight_cold);
        }
        most
    }

    async fn begun(&self) -> usize {
        let mut begun = 0;
        for upstream in self.leaving() {
            begun += upstream.stats().await.begun;
        }
        begun
    }
}

async fn finish(mut callers: Process) -> caller::Summary {
    assert_eq!(callers.wait(STEP_TIMEOUT).await, Some(true), "the callers did not end well");
    cluster::summary(&callers)
}

fn target() -> order::Target {
    order::Target::DataCentre(DATA_CENTRES[0].parse().expect("a name"))
}

async fn give(daemon: &Daemon, order: order::Order) {
    let response = daemon.order(&order).await;
    assert!(response.status.is_success(), "{:?}", response.body);
}

async fn set_ramp(setup: &Setup, return_ramp: Duration) {
    let name = config::DEFAULT_PROFILE.parse().expect("a name");
    let profile = profile::Profile { return_ramp, ..profile::Profile::default() };
    give(&setup.daemons[0], order::Order::SetProfile(name, profile)).await;
}

/// Takes the data centre out under load, and looks when its upstreams last got new work.
async fn take_out(setup: &Setup, report: &mut Report) -> caller::Summary {
    let callers = setup.load(Duration::from_secs(6)).await;
    monoio::time::sleep(Duration::from_secs(1)).await;
    let given = Instant::now();
    give(&setup.daemons[0], order::Order::Out(target())).await;
    report.figure("accepted_ms", given.elapsed().as_millis());
    monoio::time::sleep(MAX_NEW_WORK).await;
    let named = entries_in(&setup.daemons, DATA_CENTRES[0]).await;
    report.target("entries_named_there", 0, named == 0);
    let summary = finish(callers).await;
    let mut last = Duration::ZERO;
    for upstream in setup.leaving() {
        let stats = upstream.stats().await;
        let ago = Duration::from_micros(stats.now_us - stats.last_at_us);
        last = last.max(given.elapsed().saturating_sub(ago));
    }
    report.figure("last_new_work_ms", last.as_millis());
    report.target("last_new_work_ms", MAX_NEW_WORK.as_millis(), last <= MAX_NEW_WORK);
    let response = setup.daemons[1].call_admin(http::Method::GET, "/v1/out", Vec::new()).await;
    let progress: Vec<admin::out::Progress> =
        serde_json::from_slice(&response.body).expect("what is out");
    let hosts = progress.first().map_or(0, |progress| progress.applied.len());
    report.target("hosts_that_applied", setup.daemons.len(), hosts == setup.daemons.len());
    let in_flight: usize = progress.iter().map(|progress| progress.in_flight).sum();
    report.figure("in_flight_once_out", in_flight);
    summary
}

/// Entries in a data centre that any host names.
async fn entries_in(daemons: &[Daemon], data_centre: &str) -> usize {
    let mut count = 0;
    for daemon in daemons {
        let answer: directory::Response =
            cluster::get_json(daemon.callers, "/v1/entries/catalogo").await;
        let there = |entry: &&directory::Entry| entry.data_centre.as_str() == data_centre;
        count += answer.entries.iter().filter(there).count();
    }
    count
}

/// Brings the data centre back under load, its upstreams cold.
async fn bring_back(setup: &Setup) -> caller::Summary {
    let callers = setup.load(RETURN).await;
    setup.cool().await;
    let begun = setup.begun().await;
    give(&setup.daemons[0], order::Order::Back(target())).await;
    let summary = finish(callers).await;
    assert!(setup.begun().await > begun, "no work came back");
    summary
}
