//! Usage reports: how many calls of each organisation began to run at upstreams in each window of
//! time.
//!
//! Every host counts its own calls ([`counts`]) and sends the counts to the coordinator and to the
//! host that would replace it ([`message`]). The coordinator is the [`holder`] of a [`lease`], which
//! is a row of the users' store, and posts one report for each window ([`reports`]) to an
//! [`endpoint`]. [`task`] drives these types, which need no network themselves. [`clock`] tells the time.

pub mod clock;
pub mod counts;
pub mod endpoint;
pub mod holder;
pub mod lease;
pub mod message;
pub mod reports;
pub mod task;

pub use counts::Counter;

use std::net::SocketAddr;
use std::time::Duration;

/// The settings of usage reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// Length of a window.
    pub window: Duration,
    /// How long after its window's end a report is due.
    pub late: Duration,
    /// Length of the lease.
    pub lease: Duration,
    /// How long before the lease's end the holder stops to act on it.
    pub thaw_slack: Duration,
    /// Calls to the endpoint a second.
    pub rate: f64,
}
