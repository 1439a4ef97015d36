//! JSON logging and metrics of the process.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

use crate::settings;

/// Number of log lines buffered for the writer; further lines are dropped and counted.
const MAX_BUFFERED_LINES: usize = 4 * 1024;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0];

/// Handle to logging and metrics; the log writer runs until it is dropped.
#[derive(Debug)]
pub struct Handle {
    _writer: WorkerGuard,
    dropped: ErrorCounter,
    prometheus: PrometheusHandle,
}

/// Starts logging to standard output and the collection of metrics, for the whole process.
///
/// Logging never blocks: lines are dropped and counted while the buffer is full.
///
/// # Panics
///
/// Panics if it is called more than once in a process.
pub fn start(level: settings::Level) -> Handle {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let max = match level {
        settings::Level::Error => tracing::Level::ERROR,
        settings::Level::Warn => tracing::Level::WARN,
        settings::Level::Info => tracing::Level::INFO,
        settings::Level::Debug => tracing::Level::DEBUG,
    };
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_max_level(max)
        .with_writer(writer)
        .init();
    let recorder = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS_SECONDS)
        .expect("the buckets are not empty")
        .build_recorder();
    let prometheus = recorder.handle();
    metrics::set_global_recorder(recorder).expect("logging is started once");
    Handle { _writer: guard, dropped, prometheus }
}

impl Handle {
    /// Returns the number of log lines dropped since the start.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        self.prometheus.render()
    }
}
