//! `data-centre`: a data centre is taken out of service and brought back under load, with its
//! upstreams cold. The return is by a ramp; in the baseline, it is in one step.

use std::time::{Duration, Instant};

use basilhaven::{admin, config, directory, order, profile};

use crate::cluster::{self, Daemon, Platform, Upstream};
use crate::process::Process;
use crate::report::Report;
use crate::standin::{caller, upstream};

/// The data centres; the first one is taken out of service.
const DATA_CENTRES: [&str; 3] = ["milano-a", "torino-b", "bergamo-c"];

/// The number of entry hosts in each data centre.
const HOSTS: usize = 2;

/// The number of upstreams in each data centre.
const UPSTREAMS: usize = 4;

/// Calls per second, about a twelfth of the capacity of all upstreams.
const RATE: f64 = 500.0;

/// Calls that a returned upstream executes until it is warm.
const COLD_CALLS: u32 = 200;

/// The limit on the time after an accepted order during which upstreams may still receive new
/// calls.
const MAX_NEW_CALLS_TIME: Duration = Duration::from_secs(3);

/// The duration of the load before the return in the baseline, in which hosts measure the latency
/// of the warm upstreams.
const PRELOAD_DURATION: Duration = Duration::from_secs(2);

/// The duration of the load during a return.
const RETURN_DURATION: Duration = Duration::from_secs(6);

/// The duration of the ramp of a return.
const RAMP_DURATION: Duration = Duration::from_secs(5);

/// The limit on calls in flight on a cold upstream.
const MAX_IN_FLIGHT_COLD: usize = 1;

/// The limit on waiting for any other step.
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
    let callers = setup.start_callers(Duration::from_secs(3)).await;
    let before = wait_for_callers(callers).await;
    report.figure("before", before.latency);

    set_ramp(&setup, RAMP_DURATION).await;
    let while_out = take_out(&setup, &mut report).await;
    report.figure("while_out", while_out.latency);
    let ramp = bring_back(&setup).await;
    report.figure("return_by_ramp", ramp.latency);
    report.figure("failed", &ramp.failed);
    let cold = setup.max_in_flight_cold().await;
    report.figure("in_flight_cold_by_ramp", cold);
    report.target("in_flight_cold_by_ramp", MAX_IN_FLIGHT_COLD, cold <= MAX_IN_FLIGHT_COLD);

    drop(setup);
    let step = return_by_step(seed, &mut report).await;

    let answered = before.answered + while_out.answered + ramp.answered;
    let calls = before.calls + while_out.calls + ramp.calls;
    report.target("answered", calls, answered == calls);
    report.target("wrong", 0, before.wrong + while_out.wrong + ramp.wrong == 0);
    let is_lower = ramp.latency.p999_us < step.latency.p999_us;
    report.target("p999_of_ramp_below_step", step.latency.p999_us, is_lower);
    report
}

/// Runs the baseline, on new hosts that have not yet observed the upstreams cold.
async fn return_by_step(seed: u64, report: &mut Report) -> caller::Summary {
    let setup = start(seed).await;
    set_ramp(&setup, Duration::ZERO).await;
    wait_for_callers(setup.start_callers(PRELOAD_DURATION).await).await;
    send_order(&setup.daemons[0], order::Order::Out(target())).await;
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
    let data_centres: Vec<&str> = DATA_CENTRES.iter().copied().cycle().take(HOSTS * 3).collect();
    let daemons = Daemon::start_all(&data_centres, &args.map(str::to_owned)).await;
    let until = Instant::now() + STEP_TIMEOUT;
    for daemon in &daemons {
        while daemon.status().await.services.is_empty() {
            assert!(
                Instant::now() < until,
                "{} has not received the list of upstreams",
                daemon.name
            );
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Setup { _platform: platform, upstreams, daemons, seed }
}

impl Setup {
    async fn start_callers(&self, duration: Duration) -> Process {
        let mut args = Vec::new();
        for daemon in &self.daemons {
            args.extend(["--entry".to_owned(), daemon.callers.to_string()]);
        }
        let calls = (RATE * duration.as_secs_f64()) as usize;
        args.extend(["--calls".to_owned(), calls.to_string()]);
        args.extend(["--rate".to_owned(), RATE.to_string()]);
        args.extend(["--seed".to_owned(), self.seed.to_string()]);
        cluster::start_callers(&args).await
    }

    /// Returns the upstreams of the data centre that is taken out of service.
    fn leaving_upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.iter().step_by(DATA_CENTRES.len())
    }

    /// Makes these upstreams cold.
    async fn make_cold(&self) {
        let cold = upstream::Control { cold_calls: Some(COLD_CALLS), ..Default::default() };
        for upstream in self.leaving_upstreams() {
            upstream.control(&cold).await;
        }
    }

    /// Returns the maximum number of calls in flight on one of these upstreams while cold.
    async fn max_in_flight_cold(&self) -> usize {
        let mut most = 0;
        for upstream in self.leaving_upstreams() {
            most = most.max(upstream.stats().await.max_in_flight_cold);
        }
        most
    }

    async fn count_begun(&self) -> usize {
        let mut begun = 0;
        for upstream in self.leaving_upstreams() {
            begun += upstream.stats().await.begun;
        }
        begun
    }
}

async fn wait_for_callers(mut callers: Process) -> caller::Summary {
    assert_eq!(
        callers.wait(STEP_TIMEOUT).await,
        Some(true),
        "the callers did not exit successfully"
    );
    cluster::summary(&callers)
}

fn target() -> order::Target {
    order::Target::DataCentre(DATA_CENTRES[0].parse().expect("a name"))
}

async fn send_order(daemon: &Daemon, order: order::Order) {
    let response = daemon.order(&order).await;
    assert!(response.status.is_success(), "{:?}", response.body);
}

async fn set_ramp(setup: &Setup, return_ramp: Duration) {
    let name = config::DEFAULT_PROFILE.parse().expect("a name");
    let profile = profile::Profile { return_ramp, ..profile::Profile::default() };
    send_order(&setup.daemons[0], order::Order::SetProfile(name, profile)).await;
}

/// Takes the data centre out of service under load, and determines when its upstreams last received
/// a new call.
async fn take_out(setup: &Setup, report: &mut Report) -> caller::Summary {
    let callers = setup.start_callers(Duration::from_secs(6)).await;
    monoio::time::sleep(Duration::from_secs(1)).await;
    let sent = Instant::now();
    send_order(&setup.daemons[0], order::Order::Out(target())).await;
    report.figure("accepted_ms", sent.elapsed().as_millis());
    monoio::time::sleep(MAX_NEW_CALLS_TIME).await;
    let advertised = entries_in(&setup.daemons, DATA_CENTRES[0]).await;
    report.target("entries_named_there", 0, advertised == 0);
    let summary = wait_for_callers(callers).await;
    let mut last_call = Duration::ZERO;
    for upstream in setup.leaving_upstreams() {
        let stats = upstream.stats().await;
        let age = Duration::from_micros(stats.now_us - stats.last_at_us);
        last_call = last_call.max(sent.elapsed().saturating_sub(age));
    }
    report.figure("last_new_work_ms", last_call.as_millis());
    report.target(
        "last_new_work_ms",
        MAX_NEW_CALLS_TIME.as_millis(),
        last_call <= MAX_NEW_CALLS_TIME,
    );
    let response = setup.daemons[1].call_admin(http::Method::GET, "/v1/out", Vec::new()).await;
    let progress: Vec<admin::out::Progress> =
        serde_json::from_slice(&response.body).expect("a list of targets out of service");
    let hosts = progress.first().map_or(0, |progress| progress.applied.len());
    report.target("hosts_that_applied", setup.daemons.len(), hosts == setup.daemons.len());
    let in_flight: usize = progress.iter().map(|progress| progress.in_flight).sum();
    report.figure("in_flight_once_out", in_flight);
    summary
}

/// Counts the entries of a data centre in the directory responses of all hosts.
async fn entries_in(daemons: &[Daemon], data_centre: &str) -> usize {
    let mut count = 0;
    for daemon in daemons {
        let response: directory::Response =
            cluster::get_json(daemon.callers, "/v1/entries/catalogo").await;
        let is_in_data_centre =
            |entry: &&directory::Entry| entry.data_centre.as_str() == data_centre;
        count += response.entries.iter().filter(is_in_data_centre).count();
    }
    count
}

/// Brings the data centre back under load, with its upstreams cold.
async fn bring_back(setup: &Setup) -> caller::Summary {
    let callers = setup.start_callers(RETURN_DURATION).await;
    setup.make_cold().await;
    let begun = setup.count_begun().await;
    send_order(&setup.daemons[0], order::Order::Back(target())).await;
    let summary = wait_for_callers(callers).await;
    assert!(setup.count_begun().await > begun, "the returned upstreams received no calls");
    summary
}
