//! Waiting until an order is in force everywhere.

use std::time::{Duration, Instant};

use basilhaven::admin::{moves, orders, out, status};
use basilhaven::{name, order};
use indexmap::IndexMap;

use crate::client::{Client, Error};

/// The time between two looks.
const STEP: Duration = Duration::from_millis(100);

/// Waits until a revision is in force on every host, and tells of progress on standard error.
///
/// # Errors
///
/// Not every host has confirmed it when `limit` has passed; the hosts are named.
pub async fn until_in_force(
    client: &Client<'_>,
    revision: u64,
    limit: Duration,
) -> Result<orders::Confirmed, Error> {
    let until = Instant::now() + limit;
    let mut shown = None;
    loop {
        let confirmed: orders::Confirmed =
            client.get(&format!("/v1/confirmed?revision={revision}")).await?;
        let count = confirmed.in_force.len();
        if shown != Some(count) {
            let all = count + confirmed.missing.len();
            eprintln!("revision {revision}: in force on {count} of {all} hosts");
            shown = Some(count);
        }
        if confirmed.missing.is_empty() {
            return Ok(confirmed);
        }
        if Instant::now() >= until {
            let names = confirmed.missing.join(", ");
            let text = format!("revision {revision} accepted, not confirmed by {names}");
            return Err(Error::NotConfirmed(text));
        }
        monoio::time::sleep(STEP).await;
    }
}

/// Waits until no call is in flight to what was taken out, from any host, and tells of progress on
/// standard error.
///
/// # Errors
///
/// Calls are still in flight when `limit` has passed.
pub async fn until_idle(
    client: &Client<'_>,
    target: &order::Target,
    limit: Duration,
) -> Result<(), Error> {
    let until = Instant::now() + limit;
    let mut shown = None;
    loop {
        let in_flight = in_flight(client, target).await?;
        if shown != Some(in_flight) {
            eprintln!("{target}: {in_flight} calls in flight");
            shown = Some(in_flight);
        }
        if in_flight == 0 {
            return Ok(());
        }
        if Instant::now() >= until {
            let text = format!("{target} is out; {in_flight} calls are still in flight there");
            return Err(Error::NotConfirmed(text));
        }
        monoio::time::sleep(STEP).await;
    }
}

/// Calls in flight to what is out, from all hosts that answer; one that does not sends none.
async fn in_flight(client: &Client<'_>, target: &order::Target) -> Result<usize, Error> {
    let status: status::Status = client.get("/v1/status").await?;
    let mut in_flight = 0;
    for host in std::iter::once(&status.own).chain(&status.others) {
        let progress = client.get_from::<Vec<out::Progress>>(host.admin, "/v1/out").await;
        let of_target = progress.unwrap_or_default().into_iter().filter(|p| p.target == *target);
        in_flight += of_target.map(|progress| progress.in_flight).sum::<usize>();
    }
    Ok(in_flight)
}

/// The time between two looks at a move.
const MOVE_STEP: Duration = Duration::from_millis(500);

/// Waits until a service's move is done or taken back, and tells of progress on standard error.
///
/// # Errors
///
/// The move was taken back, or there is none.
pub async fn until_moved(client: &Client<'_>, service: &name::Name) -> Result<(), Error> {
    let mut shown = String::new();
    loop {
        let all: IndexMap<name::Name, moves::Status> = client.get("/v1/moves").await?;
        let Some(status) = all.get(service) else {
            return Err(Error::Refused(format!("no move of {service} is known")));
        };
        let progress = progress(status);
        if progress != shown {
            eprintln!("{service}: {progress}");
            shown = progress;
        }
        match &status.current.phase {
            basilhaven::moves::Phase::Running => {}
            basilhaven::moves::Phase::Done => return Ok(()),
            basilhaven::moves::Phase::RolledBack(reason) => {
                return Err(Error::Refused(format!("taken back: {reason}")));
            }
        }
        monoio::time::sleep(MOVE_STEP).await;
    }
}

/// How far a move is, in a line.
pub fn progress(status: &moves::Status) -> String {
    let percent = f64::from(status.in_force.0) / 100.0;
    let mut line = format!(
        "{} to {}, {}, {percent}% here",
        status.current.from, status.current.to, status.phase
    );
    if let Some(brake) = &status.braked {
        line.push_str(&format!(", stopped by {}: {}", brake.host, brake.reason));
    }
    if let Some(wait) = &status.wait {
        line.push_str(&format!(", waits: {wait}"));
    }
    if status.late {
        line.push_str(", late");
    }
    line
}
