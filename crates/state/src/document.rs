//! The intent document: the single statement of what operators want.
//!
//! A document is TOML. [`IntentDocument::parse`] refuses unknown keys and
//! reports every problem at once; the console, `cassiactl config check` and
//! the daemon all use it.

mod validate;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check::CheckProblem;

/// Result of parsing a document.
pub type Result<T> = std::result::Result<T, Vec<CheckProblem>>;

/// The whole document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct IntentDocument {
    /// Deadlines of statements and confirmations.
    #[serde(default)]
    pub deadlines: DeadlineLimits,
    /// Queue and request limits.
    #[serde(default)]
    pub limits: AdmissionLimits,
    /// Failure detection and failover timing.
    #[serde(default)]
    pub failover: FailoverTiming,
    /// Regions.
    #[serde(default)]
    pub region: Vec<RegionEntry>,
    /// Data centres.
    #[serde(default)]
    pub data_centre: Vec<DataCentreEntry>,
    /// Entry hosts, each with one daemon.
    #[serde(default)]
    pub entry_host: Vec<EntryHost>,
    /// Database groups.
    #[serde(default)]
    pub group: Vec<DatabaseGroup>,
    /// Customers.
    #[serde(default)]
    pub customer: Vec<CustomerEntry>,
    /// Read classes. The first is the default class.
    #[serde(default)]
    pub read_class: Vec<ReadClass>,
    /// Requests that must never repeat.
    #[serde(default)]
    pub never_repeat: Vec<NeverRepeat>,
}

/// Deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", default)]
pub struct DeadlineLimits {
    /// Deadline of a statement, queueing and retries included; 10 to 600,000 ms.
    pub statement_ms: u64,
    /// Longest wait for the confirmation of a commit; 10 to 600,000 ms.
    pub confirm_ms: u64,
    /// Longest wait of a read for a replica to reach its bound; 0 to 10,000 ms.
    pub replica_wait_ms: u64,
    /// Time that a graceful shutdown leaves to requests in flight; 0 to 600,000 ms.
    pub drain_ms: u64,
}

impl Default for DeadlineLimits {
    fn default() -> Self {
        Self {
            statement_ms: 10_000,
            confirm_ms: 5_000,
            replica_wait_ms: 20,
            drain_ms: 30_000,
        }
    }
}

/// Limits of admission and retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", default)]
pub struct AdmissionLimits {
    /// Queued statements per customer and class; 1 to 100,000.
    pub queue_length: u64,
    /// Retries allowed as a share of recent requests; 0 to 100 percent.
    pub retry_budget_percent: u64,
    /// Retries always allowed; 0 to 10,000 per second.
    pub retry_floor_per_second: u64,
    /// Age after which recorded request ids are deleted; 60 to 31,536,000 s.
    pub request_retention_s: u64,
    /// Wait before a dead host's connection share is taken over; 1 to 3,600 s.
    pub takeover_after_s: u64,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self {
            queue_length: 1_000,
            retry_budget_percent: 10,
            retry_floor_per_second: 10,
            request_retention_s: 604_800,
            takeover_after_s: 15,
        }
    }
}

/// Timing of failure detection and failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", default)]
pub struct FailoverTiming {
    /// Interval of probes of each member; 50 to 10,000 ms.
    pub probe_interval_ms: u64,
    /// Silence after which a primary is suspected; 100 to 60,000 ms, at least
    /// twice the probe interval.
    pub suspect_after_ms: u64,
    /// Timeout of one control call to a member; 10 to 10,000 ms.
    pub control_timeout_ms: u64,
    /// Duration of the failover lease in the table service; 100 to 60,000 ms.
    pub lease_ms: u64,
}

impl Default for FailoverTiming {
    fn default() -> Self {
        Self {
            probe_interval_ms: 250,
            suspect_after_ms: 600,
            control_timeout_ms: 300,
            lease_ms: 2_000,
        }
    }
}

/// A region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RegionEntry {
    /// Name of the region.
    pub name: String,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DataCentreEntry {
    /// Name of the data centre.
    pub name: String,
    /// Name of its region.
    pub region: String,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EntryHost {
    /// Name of the host.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address of its daemon for other daemons.
    pub peer_address: SocketAddr,
}

/// A database group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DatabaseGroup {
    /// Name of the group; callers give it as the database name.
    pub name: String,
    /// Members.
    pub member: Vec<GroupMember>,
}

/// A member of a group: one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GroupMember {
    /// Name of the backend server.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address for statements.
    pub address: SocketAddr,
    /// Address for member control.
    pub control_address: SocketAddr,
    /// Statements that it executes at the same time; 1 to 1,024.
    pub slots: u64,
    /// Connections that it accepts; 1 to 10,000.
    pub connection_limit: u64,
    /// Whether it is leaving and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct CustomerEntry {
    /// Name of the customer.
    pub name: String,
    /// Weight in the fair division of slots; 1 to 1,000.
    #[serde(default = "default_weight")]
    pub weight: u64,
    /// Users that connect for this customer.
    pub user: Vec<String>,
    /// Groups that it may use.
    pub group: Vec<String>,
}

fn default_weight() -> u64 {
    1
}

/// A read class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ReadClass {
    /// Name of the class.
    pub name: String,
    /// Age of data that reads of this class tolerate; 0 to 86,400,000 ms.
    pub max_staleness_ms: u64,
    /// Priority in the queues, 0 (first) to 9 (last). Writes have priority 0.
    pub priority: u64,
}

/// A rule that marks requests as not repeatable. A request that matches any
/// rule is marked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum NeverRepeat {
    /// All writes to this table.
    Table(String),
    /// All writes of this user.
    User(String),
}

impl IntentDocument {
    /// Parses and validates a document.
    pub fn parse(text: &str) -> Result<Self> {
        let document: Self = toml::from_str(text).map_err(|error| {
            vec![CheckProblem::new(
                &line_of(text, error.span()),
                error.message(),
                "a TOML document of the documented shape",
            )]
        })?;
        document.validate()?;
        Ok(document)
    }

    /// Reports all problems of a document.
    pub fn validate(&self) -> Result<()> {
        validate::validate(self)
    }

    /// Renders the document as TOML.
    pub fn render(&self) -> String {
        toml::to_string_pretty(self).expect("a document of plain fields renders as TOML")
    }

    /// Finds a group by name.
    pub fn find_group(&self, name: &str) -> Option<&DatabaseGroup> {
        self.group.iter().find(|group| group.name == name)
    }

    /// Finds the customer of a user.
    pub fn find_customer(&self, user: &str) -> Option<&CustomerEntry> {
        self.customer
            .iter()
            .find(|customer| customer.user.iter().any(|name| name == user))
    }

    /// Finds a read class by name.
    pub fn find_class(&self, name: &str) -> Option<&ReadClass> {
        self.read_class.iter().find(|class| class.name == name)
    }
}

fn line_of(text: &str, span: Option<std::ops::Range<usize>>) -> String {
    let Some(span) = span else {
        return "document".to_owned();
    };
    let line = text[..span.start.min(text.len())].matches('\n').count() + 1;
    format!("line {line}")
}
