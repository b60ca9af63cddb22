//! Metrics of the caller sessions.

use std::time::Duration;

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, Result,
};
use protocol::result_code::ResultCode;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    5.0, 10.0,
];

/// Metrics of the caller sessions.
#[derive(Clone, Debug)]
pub struct CallerMetrics {
    /// Statements by customer and read class; writes have the class `write`.
    pub statements: IntCounterVec,
    /// Time in seconds from a statement's arrival to its complete answer.
    pub latency: HistogramVec,
    /// Reads by the role of the member that served them.
    pub reads: IntCounterVec,
    /// Refusals and unknown outcomes by result code.
    pub refusals: IntCounterVec,
    /// Retries by kind: `read` or `write`.
    pub retries: IntCounterVec,
    /// Statements in the admission queue of each member.
    pub queued: IntGaugeVec,
    /// Number of connected callers.
    pub callers: IntGauge,
}

impl CallerMetrics {
    /// Creates the metrics and registers them. A name that is registered already is
    /// an error.
    pub fn new(registry: &Registry) -> Result<Self> {
        let by_class = &["customer", "class"];
        let counter = |name, help, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let metrics = Self {
            statements: counter(
                "cassia_statements_total",
                "Statements by customer and class",
                by_class,
            )?,
            latency: HistogramVec::new(
                HistogramOpts::new("cassia_statement_seconds", "Time to the complete answer")
                    .buckets(LATENCY_BUCKETS.to_vec()),
                by_class,
            )?,
            reads: counter("cassia_reads_total", "Reads by member role", &["role"])?,
            refusals: counter(
                "cassia_refusals_total",
                "Refusals by result code",
                &["code"],
            )?,
            retries: counter("cassia_retries_total", "Retries by kind", &["kind"])?,
            queued: IntGaugeVec::new(
                Opts::new("cassia_queued_statements", "Statements queued for a member"),
                &["member"],
            )?,
            callers: IntGauge::new("cassia_callers", "Connected callers")?,
        };
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.queued.clone()))?;
        registry.register(Box::new(metrics.callers.clone()))?;
        Ok(metrics)
    }

    pub(crate) fn count_statement(&self, customer: &str, class: &str, elapsed: Duration) {
        let labels = &[customer, class];
        self.statements.with_label_values(labels).inc();
        self.latency
            .with_label_values(labels)
            .observe(elapsed.as_secs_f64());
    }

    pub(crate) fn count_read(&self, at_primary: bool) {
        let role = if at_primary { "primary" } else { "replica" };
        self.reads.with_label_values(&[role]).inc();
    }

    pub(crate) fn count_refusal(&self, code: ResultCode) {
        self.refusals
            .with_label_values(&[code.number().to_string().as_str()])
            .inc();
    }
}
