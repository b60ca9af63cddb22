//! Backend servers as they register themselves with the platform.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::member::MemberRole;

/// Whether a listed backend server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Takes work.
    Ready,
    /// Is about to stop; gets no new work.
    Draining,
}

/// One entry of the platform's list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct ListedServer {
    /// Identity of the server; addresses may be used again by another one.
    pub id: String,
    /// Group that it belongs to.
    pub group: String,
    /// Address for statements.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// Whether it takes work.
    pub state: ServerState,
    /// Role as it sees itself.
    pub role: MemberRole,
    /// Statements that it executes at the same time.
    pub slots: u32,
    /// Time for which it stays slow after its start.
    pub warm_up_left: Duration,
    /// Start of its process in milliseconds of Unix time. A server that starts
    /// again under its old identity has another one.
    pub started_ms: u64,
    /// Number of its last heartbeat.
    pub heartbeat: u64,
}
