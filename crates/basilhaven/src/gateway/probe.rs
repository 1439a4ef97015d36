//! Asks upstreams for their load right before a call is placed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue};

use super::{cluster, protocol, upstream};
use crate::http1::{self, body, client};

/// The longest that a probe may take; upstreams answer it at once, beside the round trip.
const TIMEOUT: Duration = Duration::from_millis(50);

/// The part of the probes allowed that hosts use together, since they count each other with a lag.
const USED_SHARE: f64 = 0.85;

/// Probes of one upstream that a host may save up.
const BURST: f64 = 5.0;

/// Bytes of a health response's head.
const MAX_HEAD_LEN: usize = 4 * 1024;

/// Bytes of a health response's body.
const MAX_BODY_LEN: usize = 4 * 1024;

/// A probe that fails weighs as much as this many failed calls.
const FAILURE_WEIGHT: f64 = 1.0;

/// How probes are made.
#[derive(Debug)]
pub struct Prober {
    protocol: protocol::Protocol,
    rate: f64,
    members: Rc<cluster::Members>,
}

impl Prober {
    /// A prober for this protocol; all hosts together make `rate` probes a second of an upstream at
    /// most.
    pub fn new(protocol: protocol::Protocol, rate: f64, members: Rc<cluster::Members>) -> Prober {
        Prober { protocol, rate, members }
    }

    /// Takes one probe of an upstream out of this host's share, when there is one left.
    fn try_take(&self, upstream: &upstream::Upstream) -> bool {
        let now = Instant::now();
        let (tokens, at) = upstream.probe_tokens.get();
        let rate = self.rate * USED_SHARE * self.members.budget_share(now);
        let passed = now.saturating_duration_since(at).as_secs_f64();
        let tokens = (tokens + passed * rate).min(BURST);
        let enough = tokens >= 1.0;
        upstream.probe_tokens.set((if enough { tokens - 1.0 } else { tokens }, now));
        enough
    }

    /// Starts a probe, unless one is under way or this host has used up its share; returns whether
    /// there will be an answer to wait for.
    pub fn start(self: &Rc<Self>, upstream: &Rc<upstream::Upstream>, path: &Rc<str>) -> bool {
        if upstream.is_probe_pending.get() {
            return true;
        }
        if !self.try_take(upstream) {
            return false;
        }
        upstream.is_probe_pending.set(true);
        let (prober, upstream, path) = (Rc::clone(self), Rc::clone(upstream), Rc::clone(path));
        monoio::spawn(async move {
            prober.probe(&upstream, &path).await;
            upstream.is_probe_pending.set(false);
            upstream.probe_ended.notify();
        });
        true
    }

    async fn probe(&self, upstream: &upstream::Upstream, path: &str) {
        let result = monoio::time::timeout(TIMEOUT, self.ask(upstream, path)).await;
        let now = Instant::now();
        metrics::counter!("basilhaven_probes_total").increment(1);
        match result {
            Ok(Ok(headers)) => self.take(upstream, &headers, now),
            Ok(Err(error)) => {
                tracing::debug!(event = "probe_failed", upstream = &*upstream.id, %error);
                upstream.record_failure(now, FAILURE_WEIGHT);
            }
            Err(_) => {
                tracing::debug!(event = "probe_timed_out", upstream = &*upstream.id);
                // Open connections may have gone silent for good while new ones work.
                upstream.close_all_idle();
                upstream.record_failure(now, FAILURE_WEIGHT);
            }
        }
    }

    /// The head of the answer.
    ///
    /// A call takes the connection right after it, which so is known to be open. One that was idle may have
    /// been closed meanwhile, which says nothing of the upstream: it is asked again on a new one.
    async fn ask(
        &self,
        upstream: &upstream::Upstream,
        path: &str,
    ) -> Result<(http::StatusCode, HeaderMap), http1::Error> {
        if let Some(conn) = upstream.take_conn(Instant::now(), Duration::MAX) {
            match self.exchange(conn, upstream, path).await {
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    tracing::debug!(event = "idle_lost", upstream = &*upstream.id, %error);
                }
            }
        }
        let address = upstream.entry().address;
        let conn = http1::Conn::open(address, TIMEOUT).await?;
        self.exchange(conn, upstream, path).await
    }

    /// Asks on a connection, which is kept when it may carry another request.
    async fn exchange(
        &self,
        mut conn: http1::Conn,
        upstream: &upstream::Upstream,
        path: &str,
    ) -> Result<(http::StatusCode, HeaderMap), http1::Error> {
        let address = upstream.entry().address;
        conn.write(request(path, address)).await?;
        let response = conn.read_response(&http::Method::GET, MAX_HEAD_LEN).await?;
        if response.parts.headers.contains_key(&self.protocol.headers.request_id) {
            return Err(http1::Error::malformed("late answer to a call"));
        }
        let mut reader = body::Reader::new(response.framing);
        client::read_all(&mut conn, &mut reader, MAX_BODY_LEN).await?;
        if response.allows_reuse() && !conn.has_buffered() {
            upstream.put_conn(conn, Instant::now(), response.keep_alive_timeout());
        }
        Ok((response.parts.status, response.parts.headers))
    }

    fn take(
        &self,
        upstream: &upstream::Upstream,
        (status, headers): &(http::StatusCode, HeaderMap),
        now: Instant,
    ) {
        let fields = &self.protocol.headers;
        let id = headers.get(&fields.upstream_id);
        if id.is_some_and(|id| id.as_bytes() != upstream.id.as_bytes()) {
            tracing::info!(event = "address_of_another_upstream", upstream = &*upstream.id);
            upstream.record_health(now, false);
            return;
        }
        let healthy = status.is_success();
        if healthy != upstream.unhealthy_since().is_none() {
            tracing::info!(event = "health_changed", upstream = &*upstream.id, healthy);
        }
        upstream.record_health(now, healthy);
        let cold = headers.get(&fields.cold_ms).and_then(number);
        upstream.warmup.set_remaining(now, Duration::from_millis(cold.unwrap_or(0)));
        if let Some(load) = (self.protocol.parse_load)(headers) {
            upstream.record_report(load, now);
        } else if healthy {
            let slots = upstream.entry().slots;
            let load = protocol::Load { running: 0, waiting: 0, slots, slowdown: 1.0 };
            upstream.record_report(load, now);
        }
    }
}

fn number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.trim().parse().ok()
}

fn request(path: &str, address: std::net::SocketAddr) -> Bytes {
    Bytes::from(format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n"))
}
