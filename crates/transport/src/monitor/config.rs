//! What a monitor is told about its group, and the seams that it uses.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use state::document::{DatabaseGroup, FailoverTiming, IntentDocument};

use super::ProbeBudget;
use crate::metrics::DaemonMetrics;

/// The part of the intent document that concerns one group, with the backend
/// servers that the platform lists as leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MonitorConfig {
    /// Name of the daemon's host, which is part of the proposer ids.
    pub host: String,
    /// The group.
    pub group: DatabaseGroup,
    /// Region of each data centre.
    pub regions: BTreeMap<String, String>,
    /// Timing of probes and failover.
    pub timing: FailoverTiming,
    /// Backend servers that are listed as leaving.
    pub leaving: BTreeSet<String>,
}

impl MonitorConfig {
    /// Cuts the configuration of `group` out of a document.
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

/// The outside of a monitor.
#[derive(Clone, Debug)]
pub struct MonitorServices<F, T, C> {
    /// Creates the control of members.
    pub factory: F,
    /// The platform's table service, for the failover lease.
    pub table: T,
    /// Clock.
    pub clock: C,
    /// Counts failovers.
    pub metrics: Arc<DaemonMetrics>,
    /// Bounds the bytes of all monitors' probes together.
    pub budget: ProbeBudget,
}
