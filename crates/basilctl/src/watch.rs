//! Waiting for orders to take effect, with progress on standard error.

use std::time::{Duration, Instant};

use basilhaven::admin::{moves, orders, out, status};
use basilhaven::{name, order};
use indexmap::IndexMap;

use crate::client::{Client, Error};

/// Interval at which hosts are polled about an order.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until a revision is in force on every host.
///
/// # Errors
///
/// Returns an error that lists the missing hosts if not every host has confirmed the revision
/// within `timeout`.
pub async fn until_in_force(
    client: &Client<'_>,
    revision: u64,
    timeout: Duration,
) -> Result<orders::Confirmed, Error> {
    let deadline = Instant::now() + timeout;
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
        if Instant::now() >= deadline {
            let names = confirmed.missing.join(", ");
            let text = format!("revision {revision} accepted, not confirmed by {names}");
            return Err(Error::NotConfirmed(text));
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until no host has a call in flight to a target that is out of service.
///
/// # Errors
///
/// Returns an error if calls are still in flight after `timeout`.
pub async fn until_idle(
    client: &Client<'_>,
    target: &order::Target,
    timeout: Duration,
) -> Result<(), Error> {
    let deadline = Instant::now() + timeout;
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
        if Instant::now() >= deadline {
            let text =
                format!("{target} is out of service; {in_flight} calls still in flight to it");
            return Err(Error::NotConfirmed(text));
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the number of calls in flight to a target from all hosts that respond. A host that does
/// not respond is assumed to send none.
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

/// Interval at which a host is polled about a move.
const MOVE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until a service's move is done or rolled back.
///
/// # Errors
///
/// Returns an error if the move was rolled back, or if there is none.
pub async fn until_moved(client: &Client<'_>, service: &name::Name) -> Result<(), Error> {
    let mut shown = String::new();
    loop {
        let all: IndexMap<name::Name, moves::Status> = client.get("/v1/moves").await?;
        let Some(status) = all.get(service) else {
            return Err(Error::Refused(format!("service {service} has no move")));
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
        monoio::time::sleep(MOVE_POLL_INTERVAL).await;
    }
}

/// Describes the status of a move in one line.
pub fn progress(status: &moves::Status) -> String {
    let percent = f64::from(status.in_force.0) / 100.0;
    let mut line = format!(
        "{} to {}, {}, {percent}% here",
        status.current.from, status.current.to, status.phase
    );
    if let Some(halt) = &status.halt {
        line.push_str(&format!(", halted by {}: {}", halt.host, halt.reason));
    }
    if let Some(hold) = &status.hold {
        line.push_str(&format!(", on hold: {hold}"));
    }
    if status.is_late {
        line.push_str(", late");
    }
    line
}
