//! The interface to the endpoint that takes reports. The embedding program implements it.

use std::future::Future;
use std::rc::Rc;

use super::counts::{Counts, Window};
use super::lease::Token;

/// A report on one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The window.
    pub window: Window,
    /// The counts, which are the same each time that the window is reported.
    pub counts: Rc<Counts>,
    /// The name of the lease's holder.
    pub holder: Rc<str>,
    /// The fencing token of the lease.
    pub token: Token,
}

/// How the endpoint answered a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Answer {
    /// The report was taken.
    #[display("taken")]
    Taken,
    /// The endpoint has seen a higher token.
    #[display("outdated")]
    Outdated,
    /// The endpoint gets too many calls; the report was not taken.
    #[display("busy")]
    Busy,
    /// The lease had ended before the report could be sent.
    #[display("not sent")]
    NotSent,
    /// The endpoint failed or gave no usable response; the report may be taken, now or later.
    #[display("unknown")]
    Unknown,
}

/// The endpoint that takes reports.
pub trait Endpoint: 'static {
    /// Posts a report. `may_send` is checked directly before the request is written, after the
    /// connection was opened.
    fn post<F>(&self, report: &Report, may_send: F) -> impl Future<Output = Answer>
    where
        F: Fn() -> bool;
}
