//! The intent document, in which operators declare the desired configuration of
//! all hosts, groups and customers.
//!
//! A document is written in TOML. [`IntentDocument::parse`] rejects unknown keys
//! and reports all validation problems at once. The console, the daemon and
//! `cassiactl config check` all use it.

mod validate;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check::CheckProblem;

/// Result of parsing or validating a document; the error lists all problems.
pub type Result<T> = std::result::Result<T, Vec<CheckProblem>>;

/// Contents of an intent document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct IntentDocument {
    /// Deadlines of statements and confirmations.
    #[serde(default)]
    pub deadlines: DeadlineLimits,
    /// Limits of queues, retries and request records.
    #[serde(default)]
    pub limits: AdmissionLimits,
    /// Timing of failure detection and failover.
    #[serde(default)]
    pub failover: FailoverTiming,
    /// Regions.
    #[serde(default)]
    pub region: Vec<RegionEntry>,
    /// Data centres.
    #[serde(default)]
    pub data_centre: Vec<DataCentreEntry>,
    /// Entry hosts; each runs one daemon.
    #[serde(default)]
    pub entry_host: Vec<EntryHost>,
    /// Database groups.
    #[serde(default)]
    pub group: Vec<DatabaseGroup>,
    /// Customers with their users and groups.
    #[serde(default)]
    pub customer: Vec<CustomerEntry>,
    /// Read classes. The first is the default class.
    #[serde(default)]
    pub read_class: Vec<ReadClass>,
    /// Rules for writes that must never be repeated.
    #[serde(default)]
    pub never_repeat: Vec<NeverRepeatRule>,
}

/// Deadlines of statements, confirmations, replica waits and shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", default)]
pub struct DeadlineLimits {
    /// Deadline of a statement, including queueing and retries; 10 to 600,000 ms.
    pub statement_ms: u64,
    /// Longest wait for the confirmation of a commit; 10 to 600,000 ms.
    pub confirm_ms: u64,
    /// Longest time that a read waits for a replica to reach its session bound;
    /// 0 to 10,000 ms.
    pub replica_wait_ms: u64,
    /// Time that a graceful shutdown gives requests in flight to finish; 0 to
    /// 600,000 ms.
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

/// Limits of queues, retries, request records and takeovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", default)]
pub struct AdmissionLimits {
    /// Maximum number of queued statements per customer and class; 1 to 100,000.
    pub queue_length: u64,
    /// Retry budget as a share of recent requests; 0 to 100 percent.
    pub retry_budget_percent: u64,
    /// Retries allowed regardless of the budget; 0 to 10,000 per second.
    pub retry_floor_per_second: u64,
    /// Age after which recorded request ids are deleted; 60 to 31,536,000 s.
    pub request_retention_s: u64,
    /// Time after which the connection share of a dead host is taken over; 1 to
    /// 3,600 s.
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
    /// Interval between probes of each member; 50 to 10,000 ms.
    pub probe_interval_ms: u64,
    /// Time without an answer after which a primary is suspected to have failed;
    /// 100 to 60,000 ms, at least twice the probe interval.
    pub suspect_after_ms: u64,
    /// Timeout of one control call to a member; 10 to 10,000 ms.
    pub control_timeout_ms: u64,
    /// Duration of the failover lease in the platform's table service; 100 to
    /// 60,000 ms.
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

/// A region, which groups data centres.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RegionEntry {
    /// Name of the region.
    pub name: String,
}

/// A data centre of a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DataCentreEntry {
    /// Name of the data centre.
    pub name: String,
    /// Name of the data centre's region.
    pub region: String,
}

/// An entry host, which runs one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct EntryHost {
    /// Name of the host.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address at which other daemons reach the host's daemon.
    pub peer_address: SocketAddr,
}

/// A database group: one primary and its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DatabaseGroup {
    /// Name of the group; callers connect to it as the database name.
    pub name: String,
    /// Members of the group; 1 to 9.
    pub member: Vec<GroupMember>,
}

/// A group member, which is one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GroupMember {
    /// Name of the backend server.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address to which statements are sent.
    pub address: SocketAddr,
    /// Address of the member control service.
    pub control_address: SocketAddr,
    /// Number of statements that the member executes at the same time; 1 to
    /// 1,024.
    pub slots: u64,
    /// Number of connections that the member accepts; 1 to 10,000, and at least
    /// one for each entry host.
    pub connection_limit: u64,
    /// Whether the member is leaving the group and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A customer with its users and groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct CustomerEntry {
    /// Name of the customer.
    pub name: String,
    /// Weight in the fair sharing of slots; 1 to 1,000.
    #[serde(default = "default_weight")]
    pub weight: u64,
    /// Names of the users that connect on behalf of the customer.
    pub user: Vec<String>,
    /// Names of the groups that the customer may use.
    pub group: Vec<String>,
}

fn default_weight() -> u64 {
    1
}

/// A read class: the tolerated staleness and the priority of reads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ReadClass {
    /// Name of the class.
    pub name: String,
    /// Longest staleness that reads of this class tolerate; 0 to 86,400,000 ms.
    pub max_staleness_ms: u64,
    /// Queue priority, 0 (highest) to 9 (lowest). Writes have priority 0.
    pub priority: u64,
}

/// A rule for writes that are never repeated after a failure. It suffices that a
/// write matches one rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum NeverRepeatRule {
    /// All writes to the table with this name.
    Table(String),
    /// All writes of the user with this name.
    User(String),
}

impl IntentDocument {
    /// Parses and validates the TOML text of a document.
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

    /// Checks the document.
    ///
    /// # Errors
    ///
    /// Returns all problems at once.
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

    /// Finds the customer that a user belongs to.
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
