//! Settings file of the operators' tool.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Deserialize;
use state::check::{parse_settings, CheckProblem, ProblemList};
use state::settings::{PlatformSettings, UserCredential};

/// Default port of the console.
const CONSOLE_PORT: u16 = 7600;

/// Result of parsing settings. The error lists all problems.
pub type Result<T> = std::result::Result<T, Vec<CheckProblem>>;

/// Contents of the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct OperatorSettings {
    /// Address of the platform's service and timing of the calls to it.
    pub platform: PlatformSettings,
    /// Peer address of any daemon, from which the status is requested.
    pub daemon: Option<SocketAddr>,
    /// Settings of the web console.
    #[serde(default)]
    pub console: ConsoleSettings,
}

/// Settings of the web console.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", default)]
pub struct ConsoleSettings {
    /// Address to listen on (default: loopback).
    pub address: SocketAddr,
    /// Operators that may sign in.
    pub operator: Vec<UserCredential>,
}

impl Default for ConsoleSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, CONSOLE_PORT)),
            operator: Vec::new(),
        }
    }
}

impl OperatorSettings {
    /// Parses and validates the text of a settings file.
    pub fn parse(text: &str) -> Result<Self> {
        let settings: Self = parse_settings(text)?;
        let mut problems = ProblemList::default();
        problems.require_range(
            "platform.timeout_ms",
            settings.platform.timeout_ms,
            10,
            60_000,
        );
        for (index, operator) in settings.console.operator.iter().enumerate() {
            if operator.user.is_empty() || operator.password.is_empty() {
                problems.push(
                    &format!("console.operator[{index}]"),
                    "an empty user or password",
                    "a user and a password",
                );
            }
        }
        problems.finish(settings)
    }
}
