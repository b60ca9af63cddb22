//! Configuration of a monitor, and the external services that it uses.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use state::document::{DatabaseGroup, FailoverTiming, IntentDocument};

use super::ProbeBudget;
use crate::metrics::DaemonMetrics;

/// The part of the intent document that concerns one group, with the backend
/// servers that the platform lists as leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MonitorConfig {
    /// Name of this daemon's host, which is part of the holder of the failover
    /// lease.
    pub host: String,
    /// The group with its members.
    pub group: DatabaseGroup,
    /// Region of each data centre, by the name of the data centre.
    pub regions: BTreeMap<String, String>,
    /// Timing of probes and failover.
    pub timing: FailoverTiming,
    /// Names of the members that are listed as leaving.
    pub leaving: BTreeSet<String>,
}

impl MonitorConfig {
    /// Extracts the configuration of `group` from a document. `leaving` may hold
    /// servers of other groups as well.
    pub fn new(
        host: &str,
        document: &IntentDocument,
        group: &DatabaseGroup,
        leaving: &BTreeSet<String>,
    ) -> Self {
        let regions = document
            .data_centre
            .iter()
            .map(|centre| (centre.name.clone(), centre.region.clone()))
            .collect();
        let is_member = |name: &&String| group.member.iter().any(|member| member.name == **name);
        Self {
            host: host.to_owned(),
            group: group.clone(),
            regions,
            timing: document.failover,
            leaving: leaving.iter().filter(is_member).cloned().collect(),
        }
    }
}

/// External services and shared state that a monitor uses.
#[derive(Clone, Debug)]
pub struct MonitorServices<F, T, C> {
    /// Creates the control handles of the members.
    pub factory: F,
    /// The platform's table service, for the failover lease.
    pub table: T,
    /// Monotonic clock for timers and ages.
    pub clock: C,
    /// Metrics, which count failovers.
    pub metrics: Arc<DaemonMetrics>,
    /// Budget that limits the probe traffic of all monitors together.
    pub budget: ProbeBudget,
}
