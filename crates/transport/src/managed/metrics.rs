//! Metrics of an entry host for managed groups.

use std::time::Duration;

use prometheus::{
    CounterVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry,
};

use crate::metrics::DaemonMetrics;
use crate::pool::ConnectionCounts;

/// Upper bounds of the latency buckets in seconds, densest around the latency
/// targets (0.4 to 0.8 s) and the statement timeouts (1 to 2 s).
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 2.0, 5.0];

/// The metrics of an entry host and their registry.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    base: DaemonMetrics,
    statement_seconds: HistogramVec,
    results: IntCounterVec,
    member_answers: IntCounterVec,
    plan_version: IntGauge,
    store_era: IntGauge,
    refused_writes: IntGaugeVec,
    store_calls: IntCounterVec,
    store_failures: IntCounterVec,
    status_questions: IntCounterVec,
    refused_keys: IntCounterVec,
    connections: ConnectionMetrics,
    allotments: IntCounterVec,
    dropped_lines: IntCounter,
    pub(crate) forward: ForwardMetrics,
}

/// Metrics of forwarded statements. Clones share the metrics. The side is `requested`
/// for statements that this host passed on and `served` for those of other hosts.
#[derive(Clone, Debug)]
pub(crate) struct ForwardMetrics {
    statements: IntCounterVec,
    seconds: HistogramVec,
}

impl ForwardMetrics {
    fn new() -> prometheus::Result<Self> {
        Ok(Self {
            statements: IntCounterVec::new(
                Opts::new(
                    "cassia_entry_forwarded_statements_total",
                    "Forwarded statements by side and outcome.",
                ),
                &["side", "outcome"],
            )?,
            seconds: HistogramVec::new(
                HistogramOpts::new(
                    "cassia_entry_forwarded_seconds",
                    "Time from a forwarded request to its reply.",
                )
                .buckets(LATENCY_BUCKETS.to_vec()),
                &["side"],
            )?,
        })
    }

    /// Counts a forwarded statement by its outcome.
    pub(crate) fn count(&self, side: &str, outcome: &str) {
        self.statements.with_label_values(&[side, outcome]).inc();
    }

    /// Records the time from a request to its reply.
    pub(crate) fn observe(&self, side: &str, elapsed: Duration) {
        self.seconds
            .with_label_values(&[side])
            .observe(elapsed.as_secs_f64());
    }
}

/// The metrics of the connections to members.
#[derive(Debug)]
struct ConnectionMetrics {
    events: IntCounterVec,
    wait_seconds: CounterVec,
}

impl ConnectionMetrics {
    fn new() -> prometheus::Result<Self> {
        Ok(Self {
            events: IntCounterVec::new(
                Opts::new(
                    "cassia_entry_member_connections_total",
                    "Connections to members that were opened, closed, turned away, had surplus bytes or mismatched answers.",
                ),
                &["member", "event"],
            )?,
            wait_seconds: CounterVec::new(
                Opts::new(
                    "cassia_entry_connection_wait_seconds_total",
                    "Time that requests waited for a connection to a member.",
                ),
                &["member"],
            )?,
        })
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::register().expect("names and labels of the metrics are valid and unique")
    }
}

impl EntryMetrics {
    fn register() -> prometheus::Result<Self> {
        let metrics = Self {
            base: DaemonMetrics::new(),
            statement_seconds: HistogramVec::new(
                HistogramOpts::new(
                    "cassia_entry_statement_seconds",
                    "Time from a statement's arrival to its answer.",
                )
                .buckets(LATENCY_BUCKETS.to_vec()),
                &["database", "freshness"],
            )?,
            results: counters("cassia_entry_results_total", "Statements by result code.", &["code"])?,
            member_answers: counters("cassia_entry_member_answers_total", "Answers of members.", &["member", "outcome"])?,
            plan_version: IntGauge::new("cassia_entry_plan_version", "Version of the plan.")?,
            store_era: IntGauge::new(
                "cassia_entry_store_era",
                "Newest known era of the store.",
            )?,
            refused_writes: IntGaugeVec::new(
                Opts::new(
                    "cassia_entry_refused_writes_in_a_row",
                    "Conditional writes of a row that were refused since the last that took effect.",
                ),
                &["key"],
            )?,
            store_calls: counters(
                "cassia_entry_store_calls_total",
                "Calls of the store by their reason.",
                &["call"],
            )?,
            status_questions: counters(
                "cassia_entry_status_questions_total",
                "Status questions to members by their reason.",
                &["reason"],
            )?,
            refused_keys: counters(
                "cassia_entry_refused_keys_total",
                "Greetings and statements that were refused because of their key.",
                &["reason"],
            )?,
            store_failures: counters(
                "cassia_entry_store_failures_total",
                "Failed calls of the store.",
                &["call"],
            )?,
            connections: ConnectionMetrics::new()?,
            allotments: counters(
                "cassia_entry_cap_operations_total",
                "Operations of accounts with a cap, by event.",
                &["event"],
            )?,
            dropped_lines: IntCounter::new(
                "cassia_log_lines_dropped_total",
                "Log lines that were dropped to bound the volume.",
            )?,
            forward: ForwardMetrics::new()?,
        };
        metrics.register_all(metrics.base.registry())?;
        Ok(metrics)
    }

    fn register_all(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.statement_seconds.clone()))?;
        registry.register(Box::new(self.results.clone()))?;
        registry.register(Box::new(self.member_answers.clone()))?;
        registry.register(Box::new(self.plan_version.clone()))?;
        registry.register(Box::new(self.store_era.clone()))?;
        registry.register(Box::new(self.refused_writes.clone()))?;
        registry.register(Box::new(self.store_calls.clone()))?;
        registry.register(Box::new(self.store_failures.clone()))?;
        registry.register(Box::new(self.allotments.clone()))?;
        registry.register(Box::new(self.status_questions.clone()))?;
        registry.register(Box::new(self.refused_keys.clone()))?;
        registry.register(Box::new(self.connections.events.clone()))?;
        registry.register(Box::new(self.connections.wait_seconds.clone()))?;
        registry.register(Box::new(self.dropped_lines.clone()))?;
        registry.register(Box::new(self.forward.statements.clone()))?;
        registry.register(Box::new(self.forward.seconds.clone()))
    }

    /// Renders all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let dropped = crate::logging::dropped_lines();
        self.dropped_lines
            .inc_by(dropped.saturating_sub(self.dropped_lines.get()));
        self.base.render()
    }

    /// Counts a statement by its result code, which is 0 for a success.
    pub(crate) fn count_statement(
        &self,
        database: &str,
        freshness: &str,
        code: u16,
        elapsed: Duration,
    ) {
        self.statement_seconds
            .with_label_values(&[database, freshness])
            .observe(elapsed.as_secs_f64());
        let code = code.to_string();
        self.results.with_label_values(&[code.as_str()]).inc();
    }

    /// Counts a member's answer by its outcome.
    pub(crate) fn count_member(&self, member: &str, outcome: &str) {
        self.member_answers
            .with_label_values(&[member, outcome])
            .inc();
    }

    /// Counts a call to the store by its reason.
    pub(crate) fn count_store_call(&self, call: &str) {
        self.store_calls.with_label_values(&[call]).inc();
    }

    /// Counts status questions to members by their reason.
    pub(crate) fn count_status_questions(&self, reason: &str, count: usize) {
        let counter = self.status_questions.with_label_values(&[reason]);
        counter.inc_by(count as u64);
    }

    /// Counts a greeting or statement that was refused because of its key.
    pub(crate) fn count_refused_key(&self, reason: &str) {
        self.refused_keys.with_label_values(&[reason]).inc();
    }

    /// Adds what the connections to a member did.
    pub(super) fn count_connections(&self, member: &str, counts: &ConnectionCounts) {
        let events = [
            ("opened", counts.opened),
            ("closed", counts.closed),
            ("turned_away", counts.turned_away),
            ("surplus", counts.surplus),
            ("mismatched", counts.mismatched),
        ];
        for (event, count) in events.into_iter().filter(|(_, count)| *count > 0) {
            let counter = self.connections.events.with_label_values(&[member, event]);
            counter.inc_by(count);
        }
        if !counts.waited.is_zero() {
            let counter = self.connections.wait_seconds.with_label_values(&[member]);
            counter.inc_by(counts.waited.as_secs_f64());
        }
    }

    /// Counts operations of accounts with a cap.
    pub(crate) fn count_cap_operations(&self, event: &str, count: u64) {
        self.allotments.with_label_values(&[event]).inc_by(count);
    }

    /// Counts a failed call to the store.
    pub(crate) fn count_store_failure(&self, call: &str) {
        self.store_failures.with_label_values(&[call]).inc();
    }

    /// Counts a conditional write of the row with this key that was refused. Returns
    /// the number of refusals since the last write that took effect.
    pub(crate) fn count_refused_write(&self, key: &str) -> i64 {
        let gauge = self.refused_writes.with_label_values(&[key]);
        gauge.inc();
        gauge.get()
    }

    /// Records that a conditional write of the row with this key took effect.
    pub(crate) fn reset_refused_writes(&self, key: &str) {
        self.refused_writes.with_label_values(&[key]).set(0);
    }

    /// Sets the gauge of the store's era.
    pub(crate) fn set_store_era(&self, era: u64) {
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Sets the gauge of the plan version in force.
    pub(crate) fn set_plan_version(&self, version: u64) {
        self.plan_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), labels)
}
