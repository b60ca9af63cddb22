//! Settings of an entry host that serves managed groups. The members of a
//! managed group register themselves with the platform, which also promotes
//! them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check::{parse_settings, CheckProblem, ProblemList};

/// Result of parsing or validating settings; the error lists all problems.
pub type Result<T> = std::result::Result<T, Vec<CheckProblem>>;

/// Shortest grace period in seconds. The platform takes up to 2.5 s to remove a
/// host from its rotation; a shorter period is allowed because it still lets
/// statements in flight finish.
const GRACE_MIN_S: f64 = 1.0;
/// Longest grace period in seconds. A larger value is most likely in the wrong
/// unit.
const GRACE_MAX_S: f64 = 600.0;

/// Contents of an entry host's settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EntrySettings {
    /// Name of the host.
    pub host: String,
    /// Name of the host's data centre.
    pub data_centre: String,
    /// Name of the region of each data centre.
    pub regions: BTreeMap<String, String>,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Address of the readiness endpoint, where the platform asks whether the
    /// host accepts new callers.
    pub readiness_address: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// Address at which other hosts fetch this host's readings of the store.
    pub relay_address: SocketAddr,
    /// Location of the platform's metadata store.
    pub store: StoreSettings,
    /// Address of the platform's promotion service; `None` if the platform has
    /// no such service.
    pub promotion_address: Option<SocketAddr>,
    /// Time between the signal to stop and the kill of the process; 1 to 600 s.
    pub grace_s: f64,
    /// File descriptors that the process may use; 64 to 10,000,000.
    pub descriptor_limit: u64,
}

/// Location of the platform's metadata store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
}

impl EntrySettings {
    /// Parses and validates the text of a settings file.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = parse_settings(text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns all problems at once.
    pub fn validate(&self) -> Result<()> {
        let mut list = ProblemList::default();
        // Members receive the name as one field of a message.
        let is_separator = |symbol: char| symbol.is_whitespace() || symbol.is_control();
        if self.host.is_empty() || self.host.contains(is_separator) {
            let allowed = "a name without blanks and control characters";
            list.push("host", &format!("{:?}", self.host), allowed);
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

    /// Applies the values of `updated` that can change while the host runs.
    /// Returns the other changed keys, which take effect at the next start.
    pub fn reload(&mut self, updated: &Self) -> Vec<&'static str> {
        self.grace_s = updated.grace_s;
        self.descriptor_limit = updated.descriptor_limit;
        let same = [
            ("host", self.host == updated.host),
            ("data_centre", self.data_centre == updated.data_centre),
            ("regions", self.regions == updated.regions),
            (
                "caller_address",
                self.caller_address == updated.caller_address,
            ),
            (
                "readiness_address",
                self.readiness_address == updated.readiness_address,
            ),
            (
                "metrics_address",
                self.metrics_address == updated.metrics_address,
            ),
            ("relay_address", self.relay_address == updated.relay_address),
            ("store", self.store == updated.store),
            (
                "promotion_address",
                self.promotion_address == updated.promotion_address,
            ),
        ];
        let pending = same.iter().filter(|(_, is_same)| !is_same);
        pending.map(|(key, _)| *key).collect()
    }

    /// Returns the region of a data centre. A data centre that is not in
    /// `regions` counts as a separate region with the name of the data centre.
    pub fn region_of<'a>(&'a self, data_centre: &'a str) -> &'a str {
        self.regions
            .get(data_centre)
            .map_or(data_centre, String::as_str)
    }
}
