//! Settings of an entry host in front of managed groups: groups whose members
//! register themselves with the platform, which also carries out promotions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check::{parse_settings, CheckProblem, ProblemList};

/// Result of parsing settings.
pub type Result<T> = std::result::Result<T, Vec<CheckProblem>>;

/// Shortest grace: a host leaves the platform's rotation within 2.5 s, but a
/// shorter one still lets statements in flight end.
const GRACE_MIN_S: f64 = 1.0;
/// Longest grace; a longer one is most likely a mistake of units.
const GRACE_MAX_S: f64 = 600.0;

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

/// Where the metadata store is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
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
        if !(GRACE_MIN_S..=GRACE_MAX_S).contains(&self.grace_s) {
            let allowed = format!("{GRACE_MIN_S} to {GRACE_MAX_S}");
            list.push("grace_s", &self.grace_s.to_string(), &allowed);
        }
        list.require_range("descriptor_limit", self.descriptor_limit, 64, 10_000_000);
        list.finish(())
    }

    /// Takes over from `read` what can change while a host runs; returns the keys
    /// whose other values wait for the next start.
    pub fn reload(&mut self, read: &Self) -> Vec<&'static str> {
        self.grace_s = read.grace_s;
        self.descriptor_limit = read.descriptor_limit;
        let same = [
            ("host", self.host == read.host),
            ("data_centre", self.data_centre == read.data_centre),
            ("regions", self.regions == read.regions),
            ("caller_address", self.caller_address == read.caller_address),
            (
                "readiness_address",
                self.readiness_address == read.readiness_address,
            ),
            (
                "metrics_address",
                self.metrics_address == read.metrics_address,
            ),
            ("relay_address", self.relay_address == read.relay_address),
            ("store", self.store == read.store),
            (
                "promotion_address",
                self.promotion_address == read.promotion_address,
            ),
        ];
        let waiting = same.iter().filter(|(_, is_same)| !is_same);
        waiting.map(|(key, _)| *key).collect()
    }

    /// Returns the region of a data centre; an unknown one is a region of its own.
    pub fn region_of<'a>(&'a self, data_centre: &'a str) -> &'a str {
        self.regions
            .get(data_centre)
            .map_or(data_centre, String::as_str)
    }
}
