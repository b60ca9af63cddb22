//! The service between daemons, over `tarpc`.

use serde::{Deserialize, Serialize};

/// A document version with the digest of its body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DocumentVersion {
    /// Version number; accepted versions rise by one and start at one.
    pub version: u64,
    /// Digest of the body, in lower-case hexadecimal.
    pub digest: String,
}

/// Idle connections that a host can lend at one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct IdleShare {
    /// Name of the backend server.
    pub member: String,
    /// Number of idle connections of the share.
    pub count: u32,
}

/// What a daemon tells its peers about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerDigest {
    /// Name of the host.
    pub host: String,
    /// Random number of the process, which tells restarts apart.
    pub incarnation: u64,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
    /// Document version in force.
    pub document: DocumentVersion,
    /// Idle connections that may be borrowed.
    pub idle: Vec<IdleShare>,
    /// Backend servers that the platform lists as leaving, as far as known.
    pub leaving_servers: Vec<String>,
}

/// State of one group, as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GroupStatus {
    /// Name of the group.
    pub group: String,
    /// Highest known term.
    pub term: u64,
    /// Name of the primary, if known.
    pub primary: Option<String>,
    /// Number of reachable members.
    pub reachable: u32,
    /// Number of members.
    pub members: u32,
}

/// Answer of `status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DaemonStatus {
    /// The daemon's digest.
    pub digest: PeerDigest,
    /// Groups.
    pub groups: Vec<GroupStatus>,
    /// Peers with the age of their last digest.
    pub peers: Vec<PeerStatus>,
    /// Caller connections.
    pub callers: u64,
}

/// What a daemon knows of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerStatus {
    /// The peer's last digest.
    pub digest: PeerDigest,
    /// Age of the digest in milliseconds.
    pub age_ms: u64,
}

/// Identifies a caller session for a cancel request: process id and secret key
/// as sent in BackendKeyData.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct CancelKey {
    /// Process id.
    pub process: i32,
    /// Secret key.
    pub secret: i32,
}

/// A document as passed between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DocumentBody {
    /// Version and digest.
    pub version: DocumentVersion,
    /// TOML text.
    pub text: String,
}

/// Calls between daemons.
#[tarpc::service]
pub trait PeerService {
    /// Exchanges digests.
    async fn exchange(digest: PeerDigest) -> PeerDigest;
    /// Returns the document in force if its version is at least `version`.
    async fn fetch_document(version: u64) -> Option<DocumentBody>;
    /// Cancels the statement of a session; returns whether it was found here.
    async fn cancel(key: CancelKey) -> bool;
    /// Lends up to `count` idle connections at `member` for `LOAN_DURATION`;
    /// returns how many.
    async fn borrow_connections(member: String, count: u32) -> u32;
    /// Returns the daemon's state.
    async fn status() -> DaemonStatus;
}
