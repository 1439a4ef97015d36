//! Probes the load and health of upstreams right before one of them is chosen for a call.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};

use super::{cluster, protocol, round_trips, task, upstream};
use crate::http1::{self, body, client};

/// Timeout of a probe. Upstreams respond without delay, so it only has to cover the round trip.
const TIMEOUT: Duration = Duration::from_millis(50);

/// Share of the permitted probe rate that all hosts together use; the rest allows for the lag with
/// which hosts learn how many hosts there are.
const USED_SHARE: f64 = 0.85;

/// Maximum number of unused probes that a host may accumulate for one upstream.
pub(super) const BURST: f64 = 5.0;

/// The longest head of a health response, in bytes.
const MAX_HEAD_LEN: usize = 4 * 1024;

/// The longest body of a health response, in bytes.
const MAX_BODY_LEN: usize = 4 * 1024;

/// Number of failed calls that one failed probe counts as.
const FAILURE_WEIGHT: f64 = 1.0;

/// Sends probes, within this host's share of the permitted rate.
#[derive(Debug)]
pub struct Prober {
    protocol: protocol::Protocol,
    /// Probes per second that all hosts together may send to one upstream.
    rate: f64,
    members: Rc<cluster::Members>,
    /// The round trips that probes have taken.
    pub round_trips: round_trips::RoundTrips,
}

impl Prober {
    /// Creates a prober for this protocol. All hosts together send at most `rate` probes per second
    /// to one upstream.
    pub fn new(protocol: protocol::Protocol, rate: f64, members: Rc<cluster::Members>) -> Prober {
        Prober { protocol, rate, members, round_trips: round_trips::RoundTrips::default() }
    }

    /// Sets this host's share of the probes of an upstream.
    pub fn set_share(&self, upstream: &upstream::Upstream, share: f64) {
        upstream.probes.set_rate(self.rate * USED_SHARE * share);
    }

    /// Returns whether this host may probe an upstream now, by its [share](Prober::set_share) of
    /// the permitted rate.
    pub fn may_probe(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        upstream.is_probe_pending.get()
            || !upstream.pause.is_active(now) && upstream.probes.tokens(now) >= 1.0
    }

    /// Takes a token for a probe of an upstream from this host's share; returns whether one was
    /// left.
    fn try_take_token(&self, upstream: &upstream::Upstream) -> bool {
        let now = Instant::now();
        self.set_share(upstream, self.members.probe_share(now));
        upstream.probes.try_take(1.0)
    }

    /// Starts a probe unless one is pending, this host has used up its share, or the upstream wants
    /// nothing from it; returns whether a probe is pending now.
    pub fn start(self: &Rc<Self>, upstream: &Rc<upstream::Upstream>, path: &Rc<str>) -> bool {
        if upstream.is_probe_pending.get() {
            return true;
        }
        if upstream.pause.is_active(Instant::now()) || !self.try_take_token(upstream) {
            return false;
        }
        upstream.is_probe_pending.set(true);
        let (prober, upstream, path) = (Rc::clone(self), Rc::clone(upstream), Rc::clone(path));
        monoio::spawn(async move {
            task::contain("probe", prober.probe(&upstream, &path)).await;
            upstream.is_probe_pending.set(false);
            upstream.probe_ended.notify();
        });
        true
    }

    async fn probe(&self, upstream: &upstream::Upstream, path: &str) {
        let result = monoio::time::timeout(TIMEOUT, self.request(upstream, path)).await;
        let now = Instant::now();
        metrics::counter!("basilhaven_probes_total").increment(1);
        match result {
            Ok(Ok(head)) => {
                upstream.contact.record_response(now);
                self.record(upstream, &head, now);
            }
            Ok(Err(error)) => {
                tracing::debug!(event = "probe_failed", upstream = &*upstream.id, %error);
                upstream.record_error(&error, now);
                upstream.record_failure(now, FAILURE_WEIGHT);
            }
            Err(_) => {
                tracing::debug!(event = "probe_timed_out", upstream = &*upstream.id);
                // The idle connections may be dead although new ones work.
                upstream.close_all_idle();
                // An upstream that reports no load may respond only once a slot is free.
                if upstream.report().is_some() {
                    upstream.contact.record_silence(now);
                }
                upstream.record_failure(now, FAILURE_WEIGHT);
            }
        }
    }

    /// Sends a probe and returns the head of the response.
    ///
    /// The call that is then sent to the upstream uses the same connection, which is thus known to
    /// be open. An idle
    /// connection may have been closed by the upstream, which is not a failure: the probe is sent
    /// again on a new connection.
    async fn request(
        &self,
        upstream: &upstream::Upstream,
        path: &str,
    ) -> Result<(http::StatusCode, HeaderMap), http1::Error> {
        if let Some(conn) = upstream.take_conn(Instant::now(), Duration::MAX) {
            match self.exchange(conn, upstream, path).await {
                Ok(head) => return Ok(head),
                Err(error) => {
                    tracing::debug!(event = "idle_lost", upstream = &*upstream.id, %error);
                }
            }
        }
        let address = upstream.entry().address;
        let conn = http1::Conn::open(address, TIMEOUT).await?;
        self.exchange(conn, upstream, path).await
    }

    /// Sends a probe on a connection, and puts the connection back if it can carry another request.
    async fn exchange(
        &self,
        mut conn: http1::Conn,
        upstream: &upstream::Upstream,
        path: &str,
    ) -> Result<(http::StatusCode, HeaderMap), http1::Error> {
        let address = upstream.entry().address;
        let sent_at = Instant::now();
        conn.write(encode_request(path, address)).await?;
        let response = conn.read_response(&http::Method::GET, MAX_HEAD_LEN).await?;
        let data_centre = Rc::clone(&upstream.entry().data_centre);
        self.round_trips.record(&data_centre, sent_at.elapsed());
        if response.parts.headers.contains_key(&self.protocol.headers.request_id) {
            return Err(http1::Error::malformed("late response to an earlier call"));
        }
        let mut reader = body::Reader::new(response.framing);
        client::read_all(&mut conn, &mut reader, MAX_BODY_LEN).await?;
        if response.allows_reuse() && !conn.has_buffered() {
            upstream.put_conn(conn, Instant::now(), response.keep_alive_timeout());
        }
        Ok((response.parts.status, response.parts.headers))
    }

    /// Records the health, the remaining cold start and the load that a response reports.
    fn record(
        &self,
        upstream: &upstream::Upstream,
        (status, headers): &(http::StatusCode, HeaderMap),
        now: Instant,
    ) {
        let names = &self.protocol.headers;
        let id = headers.get(&names.upstream_id);
        if id.is_some_and(|id| id.as_bytes() != upstream.id.as_bytes()) {
            tracing::info!(event = "address_of_another_upstream", upstream = &*upstream.id);
            upstream.record_health(now, false);
            return;
        }
        let is_healthy = status.is_success();
        if is_healthy != upstream.unhealthy_since().is_none() {
            tracing::info!(
                event = "health_changed",
                upstream = &*upstream.id,
                healthy = is_healthy
            );
        }
        upstream.record_health(now, is_healthy);
        let cold_ms = headers.get(&names.cold_ms).and_then(parse_number);
        upstream.warmup.set_remaining(now, Duration::from_millis(cold_ms.unwrap_or(0)));
        upstream.record_limit((self.protocol.parse_limit)(headers), now);
        upstream.record_pause((self.protocol.parse_pause)(*status, headers), now);
        if (self.protocol.parse_leaving)(headers) {
            upstream.mark_leaving(upstream::Source::Probe);
        }
        if let Some(load) = (self.protocol.parse_load)(headers) {
            upstream.record_report(load, now);
        } else if is_healthy {
            let slots = upstream.entry().slots;
            let load = protocol::Load { running: 0, waiting: 0, slots, slowdown: 1.0 };
            upstream.record_report(load, now);
        }
    }
}

fn parse_number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.trim().parse().ok()
}

fn encode_request(path: &str, address: std::net::SocketAddr) -> Bytes {
    Bytes::from(format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n"))
}
