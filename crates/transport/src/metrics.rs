//! The Prometheus metrics of a daemon and the HTTP endpoint that serves them.
//!
//! Each daemon has its own registry, so that several daemons can run in one
//! process.

mod endpoint;

use std::time::Duration;

use prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounter, IntGauge, Registry, TextEncoder,
};

use crate::rpc::ControlMeter;

pub use endpoint::serve_metrics;

/// Upper limits, in seconds, of the histogram buckets for failovers. They lie
/// around the targets of 2 s and 8 s.
const FAILOVER_BUCKETS: [f64; 9] = [0.25, 0.5, 1.0, 1.5, 2.0, 4.0, 8.0, 16.0, 60.0];

/// The metrics of a daemon, except those of its callers, which are added to the
/// same registry.
#[derive(Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    failover_seconds: HistogramVec,
    document_version: IntGauge,
    control_bytes: IntCounter,
    control_seconds: Gauge,
    panics: IntCounter,
    meter: ControlMeter,
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonMetrics {
    /// Creates the metrics of a daemon whose control work is not counted.
    pub fn new() -> Self {
        Self::with_meter(ControlMeter::default())
    }

    /// Creates the metrics of a daemon whose control work `meter` counts.
    pub fn with_meter(meter: ControlMeter) -> Self {
        Self::register(meter).expect("names and labels of the metrics are valid and unique")
    }

    fn register(meter: ControlMeter) -> prometheus::Result<Self> {
        let metrics = Self {
            registry: Registry::new(),
            failover_seconds: HistogramVec::new(
                HistogramOpts::new(
                    "cassia_failover_seconds",
                    "Time from the suspicion of a primary to the next primary.",
                )
                .buckets(FAILOVER_BUCKETS.to_vec()),
                &["group"],
            )?,
            document_version: IntGauge::new(
                "cassia_document_version",
                "Version of the intent document in force.",
            )?,
            control_bytes: IntCounter::new(
                "cassia_control_bytes_total",
                "Payload bytes of control connections, both directions.",
            )?,
            control_seconds: Gauge::new(
                "cassia_control_seconds_total",
                "Time that control tasks ran; an upper limit of their CPU time.",
            )?,
            panics: IntCounter::new(
                "cassia_panics_total",
                "Panics of tasks; each ends the session or call that it serves.",
            )?,
            meter,
        };
        metrics.register_all()?;
        Ok(metrics)
    }

    fn register_all(&self) -> prometheus::Result<()> {
        let registry = &self.registry;
        registry.register(Box::new(self.failover_seconds.clone()))?;
        registry.register(Box::new(self.document_version.clone()))?;
        registry.register(Box::new(self.control_bytes.clone()))?;
        registry.register(Box::new(self.control_seconds.clone()))?;
        registry.register(Box::new(self.panics.clone()))
    }

    /// Returns the registry, for the metrics of other parts of the daemon.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Records a failover that this daemon observed, with its duration.
    pub fn count_failover(&self, group: &str, duration: Duration) {
        self.failover_seconds
            .with_label_values(&[group])
            .observe(duration.as_secs_f64());
    }

    /// Sets the version of the document in force.
    pub fn set_document_version(&self, version: u64) {
        self.document_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Renders all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let bytes = self.meter.bytes().saturating_sub(self.control_bytes.get());
        self.control_bytes.inc_by(bytes);
        let panics = crate::logging::panics().saturating_sub(self.panics.get());
        self.panics.inc_by(panics);
        self.control_seconds.set(self.meter.busy().as_secs_f64());
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = encoded {
            log::error!("cannot render the metrics: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
