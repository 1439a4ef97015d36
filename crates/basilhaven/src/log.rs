//! JSON log lines and metrics of one process.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

use crate::settings;

/// Lines that may wait for the writer; more are dropped and counted.
const BUFFERED_LINES: usize = 4 * 1024;

/// Bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0];

/// Keeps the log writer running, and renders the metrics.
#[derive(Debug)]
pub struct Handle {
    _writer: WorkerGuard,
    dropped: ErrorCounter,
    prometheus: PrometheusHandle,
}

/// Starts logging to standard output and counting, for the whole process.
///
/// The writer never blocks the caller: lines for which there is no room are dropped and counted.
///
/// # Panics
///
/// It was called before in this process.
pub fn start(level: settings::Level) -> Handle {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES)
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
        .set_buckets(&LATENCY_BUCKETS)
        .expect("the buckets are not empty")
        .build_recorder();
    let prometheus = recorder.handle();
    metrics::set_global_recorder(recorder).expect("logging is started once");
    Handle { _writer: guard, dropped, prometheus }
}

impl Handle {
    /// Log lines dropped since the start.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// All metrics in Prometheus's text format.
    pub fn render_metrics(&self) -> String {
        self.prometheus.render()
    }
}
