//! The `tarpc` service through which daemons call each other.

use serde::{Deserialize, Serialize};

/// Version of an intent document and the digest of its text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DocumentVersion {
    /// Version number; accepted versions start at one and rise by one.
    pub version: u64,
    /// Digest of the text in lower-case hexadecimal.
    pub digest: String,
}

/// State of a daemon that it sends to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerDigest {
    /// Name of the host.
    pub host: String,
    /// Random number of the process; it differs after a restart.
    pub incarnation: u64,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
    /// Version of the intent document in force.
    pub document: DocumentVersion,
    /// Number of idle connections that may be borrowed, for each member of
    /// `document`, sorted by member name. The names are left out because they
    /// would add about 14 bytes per member, which exceeds the budget for control
    /// traffic at 75 members.
    pub idle: Vec<u32>,
    /// Names of the backend servers that the platform lists as leaving, as far as
    /// this daemon knows.
    pub leaving_servers: Vec<String>,
}

impl PeerDigest {
    /// Returns how many connections may be borrowed at the member that has index
    /// `position` when the members of `document` are sorted by name. Returns
    /// `None` if there are none, or if the digest belongs to another document
    /// than `document`.
    pub fn idle_at(&self, document: &DocumentVersion, position: usize) -> Option<u32> {
        if self.document != *document {
            return None;
        }
        self.idle.get(position).copied().filter(|count| *count > 0)
    }
}

/// State of one group from the point of view of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GroupStatus {
    /// Name of the group.
    pub group: String,
    /// Highest term that the daemon knows.
    pub term: u64,
    /// Name of the primary; `None` if it is unknown.
    pub primary: Option<String>,
    /// Number of members that the daemon reaches.
    pub reachable: u32,
    /// Number of members.
    pub members: u32,
}

/// Answer of [`PeerService::status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DaemonStatus {
    /// The daemon's digest.
    pub digest: PeerDigest,
    /// State of each group.
    pub groups: Vec<GroupStatus>,
    /// Last digest of each peer.
    pub peers: Vec<PeerStatus>,
    /// Number of open caller connections.
    pub callers: u64,
}

/// Last known state of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct PeerStatus {
    /// The peer's last digest.
    pub digest: PeerDigest,
    /// Age of the digest in milliseconds.
    pub age_ms: u64,
}

/// Key that identifies a caller session in a cancel request. It holds the process
/// id and the secret key that the proxy sent in BackendKeyData.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct CancelKey {
    /// Process id from BackendKeyData.
    pub process: i32,
    /// Secret key from BackendKeyData.
    pub secret: i32,
}

/// An intent document as daemons send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DocumentBody {
    /// Version and digest of the document.
    pub version: DocumentVersion,
    /// Text of the document in TOML.
    pub text: String,
}

/// Asks a peer whether the sender may use those connections of its share whose
/// successor is the peer. The successor takes over such a connection if the sender
/// fails.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GrantRequest {
    /// Name of the sender's host.
    pub host: String,
    /// Random number of the sender's process.
    pub incarnation: u64,
    /// Version of the document that the sender has in force.
    pub version: u64,
}

/// Answer to a [`GrantRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GrantReply {
    /// Random number of the answering process.
    pub incarnation: u64,
    /// Whether the peer gives the grant. If not, the peer is still closing
    /// connections or has no document yet.
    pub granted: bool,
    /// Whether it is certain that no host outside the peer's document still holds
    /// a share.
    pub layout_settled: bool,
    /// Version of the document that the peer has in force.
    pub version: u64,
    /// Whether the peer has had the sender's document version in force for long
    /// enough that all hosts have adopted it.
    pub settled: bool,
}

/// Asks a peer to lend idle connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct BorrowRequest {
    /// Name of the borrower's host.
    pub host: String,
    /// Random number of the borrower's process.
    pub incarnation: u64,
    /// Number of the loan, unique among the borrower's loans.
    pub loan: u64,
    /// Name of the backend server.
    pub member: String,
    /// Number of connections that the borrower wants.
    pub count: u32,
}

/// Answer to a [`BorrowRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct BorrowReply {
    /// Random number of the lender's process.
    pub incarnation: u64,
    /// Number of connections that the lender lends.
    pub count: u32,
}

/// Calls from one daemon to another.
#[tarpc::service]
pub trait PeerService {
    /// Sends the calling daemon's digest and returns the called daemon's digest.
    async fn exchange(digest: PeerDigest) -> PeerDigest;
    /// Returns the document in force if its version is at least `version`.
    async fn fetch_document(version: u64) -> Option<DocumentBody>;
    /// Cancels the running statement of a session. Returns whether the called
    /// daemon has the session.
    async fn cancel(key: CancelKey) -> bool;
    /// Answers whether the calling daemon may use its connection shares.
    async fn grant_shares(request: GrantRequest) -> GrantReply;
    /// Lends idle connections for `LOAN_DURATION`.
    async fn borrow_connections(request: BorrowRequest) -> BorrowReply;
    /// Returns the state of the daemon, its groups and its peers.
    async fn status() -> DaemonStatus;
}
