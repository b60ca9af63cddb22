//! Backend servers that registered themselves with the platform.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::member::MemberRole;

/// Whether a registered backend server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server accepts new work.
    Ready,
    /// The server is about to stop and gets no new work.
    Draining,
}

/// One entry of the platform's list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ListedServer {
    /// Identity of the server. Its address does not identify it, since another
    /// server may use the address later.
    pub id: String,
    /// Name of the server's group.
    pub group: String,
    /// Address for statements.
    pub address: SocketAddr,
    /// Name of the server's data centre.
    pub data_centre: String,
    /// Whether the server accepts new work.
    pub state: ServerState,
    /// Role that the server reported.
    pub role: MemberRole,
    /// Number of statements that the server executes at the same time.
    pub slots: u32,
    /// Remaining time during which the server is slow after its start.
    pub warm_up_left: Duration,
    /// Start time of the server's process in milliseconds of Unix time. It
    /// differs after a restart of the server under the same identity.
    pub started_ms: u64,
    /// Number of the server's last heartbeat.
    pub heartbeat: u64,
}
