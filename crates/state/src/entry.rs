//! Settings of an entry host in front of managed groups: groups whose members
//! register themselves with the platform, which also carries out promotions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check::{parse_settings, CheckProblem, ProblemList};

/// Result of parsing settings.
pub type Result<T> = std::result::Result<T, Vec<CheckProblem>>;

/// Settings file of an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EntrySettings {
    /// Name of the host.
    pub host: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Regions by data centre.
    pub regions: BTreeMap<String, String>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the platform asks whether the host takes new callers.
    pub readiness_address: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// Address at which other hosts get readings of the store.
    pub relay_address: SocketAddr,
    /// The platform's metadata store.
    pub store: StoreSettings,
    /// The platform's service that promotes members; absent where it has none.
    pub promotion_address: Option<SocketAddr>,
    /// Time from the signal to stop until the process is killed; 1 to 600 s.
    pub grace_s: f64,
    /// Descriptors that the process may use; 64 to 10,000,000.
    pub descriptor_limit: u64,
}

/// Where the metadata store is and how it is paced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Read calls that it takes from all hosts together; 1 to 1,000,000 a second.
    pub reads_per_s: f64,
    /// Write calls that it takes from all hosts together; 1 to 1,000,000 a second.
    pub writes_per_s: f64,
}

impl EntrySettings {
    /// Parses and validates settings.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = parse_settings(text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Reports all problems of the settings.
    pub fn validate(&self) -> Result<()> {
        let mut list = ProblemList::default();
        if self.host.is_empty() {
            list.push("host", "an empty name", "the name of the host");
        }
        if !self.regions.contains_key(&self.data_centre) {
            let found = format!("{:?} without a region", self.data_centre);
            list.push("data_centre", &found, "a data centre of [regions]");
        }
        require_number(&mut list, "grace_s", self.grace_s, 1.0, 600.0);
        let store = &self.store;
        require_number(&mut list, "store.reads_per_s", store.reads_per_s, 1.0, 1e6);
        require_number(
            &mut list,
            "store.writes_per_s",
            store.writes_per_s,
            1.0,
            1e6,
        );
        list.require_range("descriptor_limit", self.descriptor_limit, 64, 10_000_000);
        list.finish(())
    }

    /// Returns the region of a data centre; an unknown one is a region of its own.
    pub fn region_of<'a>(&'a self, data_centre: &'a str) -> &'a str {
        self.regions
            .get(data_centre)
            .map_or(data_centre, String::as_str)
    }
}

fn require_number(list: &mut ProblemList, path: &str, value: f64, low: f64, high: f64) {
    if !(low..=high).contains(&value) {
        list.push(path, &value.to_string(), &format!("{low} to {high}"));
    }
}
