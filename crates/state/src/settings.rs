//! Settings of one daemon: its host, its addresses, the platform's service and
//! the users that may connect.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::check::{parse_settings, CheckProblem, ProblemList};

/// Result of parsing or validating settings; the error lists all problems.
pub type Result<T> = std::result::Result<T, Vec<CheckProblem>>;

/// Contents of a daemon's settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DaemonSettings {
    /// Name of the host, as in the intent document.
    pub host: String,
    /// Name of the host's data centre.
    pub data_centre: String,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Address at which other daemons connect.
    pub peer_address: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// Addresses of other daemons that are asked for the intent document at
    /// start.
    #[serde(default)]
    pub seed_peer: Vec<SocketAddr>,
    /// Access to the platform's service.
    pub platform: PlatformSettings,
    /// Credentials of the users that may connect.
    #[serde(default)]
    pub credential: Vec<UserCredential>,
    /// Largest number of caller connections; 1 to 1,000,000.
    #[serde(default = "default_caller_limit")]
    pub caller_limit: u64,
}

fn default_caller_limit() -> u64 {
    10_000
}

/// Access to the platform's service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PlatformSettings {
    /// Address of the HTTP service.
    pub address: SocketAddr,
    /// Timeout of one request; 10 to 60,000 ms.
    #[serde(default = "default_platform_timeout")]
    pub timeout_ms: u64,
    /// Interval between reads of the list of hosts; 100 to 60,000 ms.
    #[serde(default = "default_host_list_interval")]
    pub host_list_interval_ms: u64,
}

fn default_platform_timeout() -> u64 {
    1_000
}

fn default_host_list_interval() -> u64 {
    1_000
}

/// A user that may connect, with its password for SCRAM-SHA-256.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct UserCredential {
    /// Name of the user.
    pub user: String,
    /// Password in plain text.
    pub password: String,
}

impl std::fmt::Debug for UserCredential {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Omits the password, so that it does not appear in logs.
        formatter
            .debug_struct("UserCredential")
            .field("user", &self.user)
            .finish_non_exhaustive()
    }
}

impl DaemonSettings {
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
        list.require_name("host", &self.host);
        list.require_name("data_centre", &self.data_centre);
        list.require_range("caller_limit", self.caller_limit, 1, 1_000_000);
        let platform = &self.platform;
        list.require_range("platform.timeout_ms", platform.timeout_ms, 10, 60_000);
        list.require_range(
            "platform.host_list_interval_ms",
            platform.host_list_interval_ms,
            100,
            60_000,
        );
        for (index, credential) in self.credential.iter().enumerate() {
            if credential.user.is_empty() || credential.password.is_empty() {
                list.push(
                    &format!("credential[{index}]"),
                    "an empty user or password",
                    "a user and a password",
                );
            }
        }
        list.finish(())
    }
}
