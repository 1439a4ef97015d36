//! The memory and the connections of this process: who may hold more, and who is dropped when
//! either is short.
//!
//! All that is held for callers is counted in one [`Budget`], as it is held and not as it is
//! announced, each holder by a [`Share`]. Connections are counted by the same shares.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::notify;
use crate::http1;

mod transit;
mod unread;

pub use transit::{max_transit_len, InTransit, Transit};

/// The part of the process's memory that callers' bytes may take. The rest is for the program, the
/// list of upstreams, the other hosts, connections by themselves, what the operating system has
/// received and nobody has read, and the allocator's losses. A body of 64 MiB has to fit on a host of
/// 160 MB, beside the reserve.
const MEMORY_SHARE: f64 = 0.5;

/// The part of the budget that holders of more than [`SMALL_LEN`] can't take: heads and the bodies
/// of ordinary calls have room while large bodies compete.
const RESERVED_SHARE: f64 = 0.125;

/// Bytes that a holder may take from the reserve. The largest kind of ordinary call sends 60 kB on
/// average.
pub const SMALL_LEN: usize = 64 * 1024;

/// The part of the budget that one response may take that its caller reads slowly.
const RESPONSE_SHARE: f64 = 0.125;

/// A holder that receives less than [`STALL_LEN`] within this time has stalled.
const STALL_TIME: Duration = Duration::from_secs(1);
const STALL_LEN: usize = 16 * 1024;

/// The longest receive buffer of a connection if the memory is limited. What the operating system
/// has received counts as memory of the process, and with its default it reaches many megabytes. A
/// 200 Mbit/s host fills its link with this at round trips of 5 ms.
pub const RECEIVE_LEN: usize = 128 * 1024;

/// The part of the process's memory that the operating system may fill with bytes that were received
/// on callers' connections and are not read yet.
const UNREAD_SHARE: f64 = 0.12;

/// The part of the process's memory that callers' connections may take by themselves, and what one
/// of them takes besides its bytes, mostly for its task.
const CONNECTIONS_SHARE: f64 = 0.15;
const CONNECTION_LEN: usize = 11 * 1024;

/// The least that the operating system may receive on a connection before it is read, and the part
/// of the budget that it receives of a response with a long body: a thousand connections may receive
/// as much as the budget again.
const MIN_RECEIVE_LEN: usize = 16 * 1024;
const RECEIVE_SHARE: f64 = 0.001;

/// Descriptors that are kept for files.
const RESERVED_FDS: usize = 200;

/// The part of the other descriptors that callers' connections may take. The rest is for upstreams,
/// other hosts, listeners and the store.
const CALLERS_SHARE: f64 = 0.75;

/// Callers' connections that are accepted under any limit on descriptors.
const MIN_CONNECTIONS: usize = 16;

/// Descriptors above the number that callers' connections may reach, for connections that a call
/// in progress opens.
const SPARE_FDS: usize = 32;

/// How long a new connection waits for another one, which was told to close, until it looks for
/// room again.
const ROOM_TIMEOUT: Duration = Duration::from_millis(100);

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Purpose {
    /// A connection: its read buffer, with the head of a request.
    #[display("connections")]
    Connection,
    /// The body of a request.
    #[display("bodies")]
    Body,
    /// A response that its caller has not read.
    #[display("responses")]
    Response,
}

impl Purpose {
    /// All purposes, in the order of their numbers.
    pub const ALL: [Purpose; 3] = [Purpose::Connection, Purpose::Body, Purpose::Response];
}

/// Whether a holder may be dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// A peer is still sending a request, or reads a response slowly. The holder may be dropped.
    Receiving,
    /// The bytes are in use.
    Serving,
}

/// Whether a holder may hold more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may, and the bytes are counted.
    Granted,
    /// Others have been told to release enough; ask again after a [release](Budget::released).
    Wait,
    /// It may not, and has to release what it holds.
    Denied,
}

/// A holder was denied room, or was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no memory")]
pub struct Denied;

/// The limits that the settings name; without one there is no bound of that kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limits {
    /// The memory of the process, in bytes.
    pub memory: Option<u64>,
    /// The descriptors of the process.
    pub max_fds: Option<usize>,
}

/// What one holder has received lately, and whether it may be dropped.
#[derive(Debug)]
struct Holder {
    /// Increases with each holder.
    number: u64,
    purpose: Purpose,
    phase: Cell<Phase>,
    bytes: Cell<usize>,
    since: Instant,
    /// When the present window of [`STALL_TIME`] began, and the bytes received in it and in the one
    /// before.
    window: Cell<(Instant, usize, usize)>,
    is_dropped: Cell<bool>,
    /// The length of a connection's receive buffer.
    unread: Cell<usize>,
    dropped: notify::Notifier,
}

impl Holder {
    fn is_droppable(&self) -> bool {
        self.phase.get() == Phase::Receiving && !self.is_dropped.get()
    }

    /// Returns whether the peer has sent next to nothing for a while.
    fn has_stalled(&self, now: Instant) -> bool {
        let (began, received, before) = self.window.get();
        let elapsed = now.saturating_duration_since(began);
        let recent = match elapsed {
            elapsed if elapsed < STALL_TIME => received + before,
            elapsed if elapsed < STALL_TIME * 2 => received,
            _ => 0,
        };
        now.saturating_duration_since(self.since) >= STALL_TIME && recent < STALL_LEN
    }

    fn drop_bytes(&self, budget: &Budget) {
        self.is_dropped.set(true);
        self.dropped.notify();
        // One that waits for room itself learns that it gets none.
        budget.released.notify();
    }
}

/// Decides who may hold bytes and connections.
///
/// Answers load of clients that nobody controls: many large bodies at once, most of which never
/// end, and many connections that send nothing. Of the holders that still receive, those that make
/// the least use of their bytes are dropped first: the stalled ones, then the largest. A sender
/// that is refused can come back; one that is served holds its bytes only until its call's deadline.
///
/// # Examples
///
/// ```
/// use std::rc::Rc;
/// use std::time::Instant;
/// use basilhaven::gateway::memory;
///
/// let limits = memory::Limits { memory: Some(1_000_000), max_fds: None };
/// let budget = Rc::new(memory::Budget::new(limits));
/// let now = Instant::now();
/// let share = budget.share(memory::Purpose::Body, memory::Phase::Receiving, now);
/// assert_eq!(share.grow(400_000, now), memory::Decision::Granted);
/// assert_eq!(share.grow(400_000, now), memory::Decision::Denied);
/// drop(share);
/// assert_eq!(budget.held(memory::Purpose::Body), 0);
/// ```
#[derive(Debug)]
pub struct Budget {
    /// The bytes that may be held; `None` without a limit.
    limit: Option<usize>,
    /// Callers' connections that may be open; `None` without a limit.
    max_connections: Option<usize>,
    /// The number from which on a descriptor is one too many.
    max_fd: Option<usize>,
    /// The holders by number.
    holders: RefCell<IndexMap<u64, Rc<Holder>>>,
    next_number: Cell<u64>,
    open_connections: Cell<usize>,
    held: [Cell<usize>; Purpose::ALL.len()],
    unread: unread::Buffers,
    /// Notified when bytes or connections are released, and when a holder is dropped.
    pub released: notify::Notifier,
}

impl Budget {
    /// Creates a budget from what the settings name.
    pub fn new(limits: Limits) -> Budget {
        let fds = limits.max_fds.map(|fds| fds.saturating_sub(RESERVED_FDS));
        let part = |share: f64| limits.memory.map(|bytes| (bytes as f64 * share) as usize);
        let of_fds = fds.map(|fds| (fds as f64 * CALLERS_SHARE) as usize);
        let of_memory = part(CONNECTIONS_SHARE).map(|bytes| bytes / CONNECTION_LEN);
        let max_connections =
            of_fds.map(|fds| of_memory.map_or(fds, |max| max.min(fds)).max(MIN_CONNECTIONS));
        Budget {
            limit: part(MEMORY_SHARE),
            unread: unread::Buffers::new(part(UNREAD_SHARE), max_connections),
            max_connections,
            max_fd: fds.map(|fds| fds.saturating_sub(SPARE_FDS).max(MIN_CONNECTIONS)),
            holders: RefCell::default(),
            next_number: Cell::default(),
            open_connections: Cell::default(),
            held: Default::default(),
            released: notify::Notifier::default(),
        }
    }

    /// Returns whether the memory is bounded.
    pub fn is_bounded(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns the bytes that one response may hold which its caller reads slowly.
    pub fn max_response_len(&self) -> Option<usize> {
        self.limit.map(|limit| (limit as f64 * RESPONSE_SHARE) as usize)
    }

    /// Returns the bytes that the operating system may receive on a connection with a long response
    /// before they are read; `None` without a limit.
    fn response_receive_len(&self) -> Option<usize> {
        let len = |limit| (limit as f64 * RECEIVE_SHARE) as usize;
        self.limit.map(|limit| len(limit).clamp(MIN_RECEIVE_LEN, RECEIVE_LEN))
    }

    /// Returns the bytes that are held for a purpose.
    pub fn held(&self, purpose: Purpose) -> usize {
        self.held[purpose as usize].get()
    }

    /// Registers a holder, which holds nothing yet.
    pub fn share(self: &Rc<Budget>, purpose: Purpose, phase: Phase, now: Instant) -> Share {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let holder = Rc::new(Holder {
            number,
            purpose,
            phase: Cell::new(phase),
            bytes: Cell::default(),
            since: now,
            window: Cell::new((now, 0, 0)),
            is_dropped: Cell::default(),
            unread: Cell::default(),
            dropped: notify::Notifier::default(),
        });
        // Without a limit no holder is ever looked for.
        if self.limit.is_some() || self.max_connections.is_some() {
            self.holders.borrow_mut().insert(number, Rc::clone(&holder));
        }
        if purpose == Purpose::Connection {
            self.open_connections.set(self.open_connections.get() + 1);
        }
        Share { budget: Rc::clone(self), holder }
    }

    /// Registers the holder of a response, which holds nothing yet.
    pub fn response_share(self: &Rc<Budget>) -> Share {
        self.share(Purpose::Response, Phase::Serving, Instant::now())
    }

    /// Accepts a connection, once there is room for it. Returns `None` if it is to be closed.
    pub async fn accept(self: &Rc<Budget>, stream: &impl AsRawFd) -> Option<Share> {
        let mut fd = usize::try_from(stream.as_raw_fd()).unwrap_or_default();
        loop {
            let seen = self.released.count();
            match self.admit_connection(fd, Instant::now()) {
                Decision::Granted => {
                    let share = self.share(Purpose::Connection, Phase::Receiving, Instant::now());
                    share.holder.unread.set(self.unread.grant());
                    return Some(share);
                }
                Decision::Wait => {
                    self.released.wait_timeout(seen, ROOM_TIMEOUT).await;
                    // One descriptor less is open than this one's number tells.
                    fd = fd.saturating_sub(1);
                }
                Decision::Denied => {
                    metrics::counter!("basilhaven_connections_refused_total").increment(1);
                    tracing::debug!(event = "connection_refused");
                    return None;
                }
            }
        }
    }

    /// Limits what the operating system receives on the connections that are accepted next, before
    /// it is read.
    pub fn limit_unread(&self, listener: &impl AsRawFd) {
        if let Some(len) = self.unread.take_change() {
            if let Err(error) = http1::conn::limit_receive_buffer(listener, len) {
                tracing::warn!(event = "receive_buffer_not_limited", %error);
            }
        }
    }

    /// Decides whether one more connection may be kept, whose descriptor has this number. One that
    /// waits for a request is closed in its favour, or else one whose head or body does not arrive,
    /// each time the one that has waited longest.
    ///
    /// A descriptor gets the lowest free number, so the number tells how many are open.
    pub fn admit_connection(&self, fd: usize, now: Instant) -> Decision {
        let (Some(max), Some(max_fd)) = (self.max_connections, self.max_fd) else {
            return Decision::Granted;
        };
        if self.open_connections.get() < max && fd < max_fd {
            return Decision::Granted;
        }
        let holders = self.holders.borrow();
        let connections = || holders.values().filter(|h| h.purpose == Purpose::Connection);
        if connections().any(|holder| holder.is_dropped.get()) {
            return Decision::Wait;
        }
        let rank = |holder: &&Rc<Holder>| {
            let waited = now.saturating_duration_since(holder.window.get().0);
            // The request of a connection that was just accepted may be on its way.
            let is_idle = holder.bytes.get() == 0 && waited >= STALL_TIME;
            (is_idle, waited, holder.number)
        };
        let droppable = connections().filter(|holder| holder.is_droppable());
        match droppable.max_by_key(rank) {
            Some(victim) => {
                metrics::counter!("basilhaven_connections_dropped_total").increment(1);
                victim.drop_bytes(self);
                Decision::Wait
            }
            None => Decision::Denied,
        }
    }

    /// Returns the bytes that may be held in total if a holder of this length grows.
    fn available(&self, len: usize) -> usize {
        match self.limit {
            None => usize::MAX,
            Some(limit) if len <= SMALL_LEN => limit,
            Some(limit) => limit - (limit as f64 * RESERVED_SHARE) as usize,
        }
    }

    fn total(&self) -> usize {
        self.held.iter().map(Cell::get).sum()
    }

    fn has_room(&self, holder: &Holder, more: usize) -> bool {
        let len = holder.bytes.get().saturating_add(more);
        self.total().saturating_add(more) <= self.available(len)
    }

    fn count(&self, holder: &Holder, more: usize) {
        holder.bytes.set(holder.bytes.get() + more);
        let own = &self.held[holder.purpose as usize];
        own.set(own.get() + more);
    }

    /// Decides whether a holder may hold so many bytes more.
    fn grow(&self, holder: &Rc<Holder>, more: usize, now: Instant) -> Decision {
        if holder.is_dropped.get() {
            return Decision::Denied;
        }
        if self.has_room(holder, more) {
            self.count(holder, more);
            return Decision::Granted;
        }
        let len = holder.bytes.get() + more;
        let available = self.available(len);
        if len > available {
            return Decision::Denied;
        }
        let held = self.total();
        let holders = self.holders.borrow();
        loop {
            let leaving = holders.values().filter(|holder| holder.is_dropped.get());
            let leaving: usize = leaving.map(|holder| holder.bytes.get()).sum();
            if held.saturating_sub(leaving) + more <= available {
                return Decision::Wait;
            }
            // The one that asks counts with what it asks for.
            let rank = |other: &&Rc<Holder>| {
                let is_own = Rc::ptr_eq(other, holder);
                let len = if is_own { len } else { other.bytes.get() };
                (other.has_stalled(now), len, Reverse(is_own), other.number)
            };
            let droppable = holders.values().filter(|other| other.is_droppable());
            let droppable =
                droppable.filter(|other| other.bytes.get() > 0 || Rc::ptr_eq(other, holder));
            match droppable.max_by_key(rank) {
                Some(victim) if !Rc::ptr_eq(victim, holder) => {
                    let purpose = victim.purpose.to_string();
                    metrics::counter!("basilhaven_holders_dropped_total", "purpose" => purpose)
                        .increment(1);
                    victim.drop_bytes(self);
                }
                _ => return Decision::Denied,
            }
        }
    }
}

/// What one holder holds; given back on drop.
#[derive(Debug)]
pub struct Share {
    budget: Rc<Budget>,
    holder: Rc<Holder>,
}

impl Share {
    /// Decides whether the holder may hold so many bytes more.
    pub fn grow(&self, more: usize, now: Instant) -> Decision {
        self.budget.grow(&self.holder, more, now)
    }

    /// Counts bytes that are held already. Others are dropped for them, but they stay even if that
    /// makes too little room: a response that is ready is delivered.
    pub fn add_held(&self, more: usize, now: Instant) {
        if self.grow(more, now) != Decision::Granted {
            self.budget.count(&self.holder, more);
        }
    }

    /// Counts bytes if there is room for them without dropping others. Returns whether there is.
    pub fn try_grow(&self, more: usize) -> bool {
        let is_free = self.budget.has_room(&self.holder, more);
        if is_free {
            self.budget.count(&self.holder, more);
        }
        is_free
    }

    /// Waits until the holder may hold so many bytes more.
    ///
    /// # Errors
    ///
    /// Returns an error if it may not; it then has to release what it holds.
    pub async fn acquire(&self, more: usize) -> Result<(), Denied> {
        loop {
            let seen = self.budget.released.count();
            match self.grow(more, Instant::now()) {
                Decision::Granted => return Ok(()),
                Decision::Denied => return Err(Denied),
                Decision::Wait => self.budget.released.wait(seen).await,
            }
        }
    }

    /// Acquires or releases bytes, so that the holder holds `len`.
    ///
    /// # Errors
    ///
    /// Returns an error if it may not hold more; it then has to release what it holds.
    pub async fn resize(&self, len: usize) -> Result<(), Denied> {
        match len.checked_sub(self.len()) {
            Some(0) => Ok(()),
            Some(more) => self.acquire(more).await,
            None => {
                self.release(self.len() - len);
                Ok(())
            }
        }
    }

    /// Counts what a connection holds that carries a long response: its read buffer, and what the
    /// operating system receives before it is read, which is limited. Returns how many bytes that is.
    pub fn add_connection(&self, conn: &http1::Conn, now: Instant) -> usize {
        let received = self.budget.response_receive_len().unwrap_or_default();
        if received > 0 {
            // Fails only if the connection has ended, which the next read tells.
            let _ = conn.limit_receive_buffer(received);
        }
        // The operating system allows for as much again.
        let len = conn.next_buffer_len() + 2 * received;
        self.add_held(len, now);
        len
    }

    /// Returns the bytes that the holder holds.
    pub fn len(&self) -> usize {
        self.holder.bytes.get()
    }

    /// Returns whether the holder holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Gives back so many bytes.
    pub fn release(&self, len: usize) {
        let len = len.min(self.len());
        if len > 0 {
            self.holder.bytes.set(self.len() - len);
            let own = &self.budget.held[self.holder.purpose as usize];
            own.set(own.get() - len);
            self.budget.released.notify();
        }
    }

    /// Sets whether the holder may be dropped.
    pub fn set_phase(&self, phase: Phase) {
        self.holder.phase.set(phase);
    }

    /// Records that the peer has sent so many bytes.
    pub fn record_received(&self, len: usize, now: Instant) {
        let (began, received, before) = self.holder.window.get();
        let elapsed = now.saturating_duration_since(began);
        self.holder.window.set(match elapsed {
            elapsed if elapsed < STALL_TIME => (began, received + len, before),
            elapsed if elapsed < STALL_TIME * 2 => (now, len, received),
            _ => (now, len, 0),
        });
    }

    /// Records that the holder begins to wait anew, as a connection does for its next request.
    pub fn restart(&self, now: Instant) {
        self.holder.window.set((now, 0, 0));
    }

    /// Returns whether the holder was dropped.
    pub fn is_dropped(&self) -> bool {
        self.holder.is_dropped.get()
    }

    /// Waits until the holder is dropped in favour of others.
    pub async fn dropped(&self) {
        self.holder.dropped.wait(0).await;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.release(self.len());
        self.budget.holders.borrow_mut().swap_remove(&self.holder.number);
        if self.holder.purpose == Purpose::Connection {
            self.budget.open_connections.set(self.budget.open_connections.get() - 1);
            self.budget.unread.give_back(self.holder.unread.get());
        }
        self.budget.released.notify();
    }
}
