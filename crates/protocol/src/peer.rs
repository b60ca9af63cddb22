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
    /// Idle connections that may be borrowed, one count per member of
    /// `document` in order of name. Names would make the digest grow by about
    /// 14 bytes per member, which exceeds the control budget at 75 members.
    pub idle: Vec<u32>,
    /// Backend servers that the platform lists as leaving, as far as known.
    pub leaving_servers: Vec<String>,
}

impl PeerDigest {
    /// Returns how many connections may be borrowed at the member at `position`
    /// in order of name. The positions of another document than `document` are
    /// unknown.
    pub fn idle_at(&self, document: &DocumentVersion, position: usize) -> Option<u32> {
        if self.document != *document {
            return None;
        }
        self.idle.get(position).copied().filter(|count| *count > 0)
    }
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

/// Asks a peer whether the sender may use the connections whose heir the peer
/// is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GrantRequest {
    /// Name of the sender's host.
    pub host: String,
    /// Random number of the sender's process.
    pub incarnation: u64,
    /// Document version that the sender has in force.
    pub version: u64,
}

/// Answer to a [`GrantRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct GrantReply {
    /// Random number of the answering process.
    pub incarnation: u64,
    /// Whether the grant is given. Otherwise the peer still closes connections,
    /// or has no document yet.
    pub granted: bool,
    /// Whether no host outside of the peer's document can still hold a share.
    pub layout_settled: bool,
    /// Document version that the peer has in force.
    pub version: u64,
    /// Whether the peer has had the sender's version for so long that all
    /// hosts have adopted it.
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
    /// Connections wanted.
    pub count: u32,
}

/// Answer to a [`BorrowRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct BorrowReply {
    /// Random number of the lender's process.
    pub incarnation: u64,
    /// Connections lent.
    pub count: u32,
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
    /// Grants the use of connection shares.
    async fn grant_shares(request: GrantRequest) -> GrantReply;
    /// Lends idle connections for `LOAN_DURATION`.
    async fn borrow_connections(request: BorrowRequest) -> BorrowReply;
    /// Returns the daemon's state.
    async fn status() -> DaemonStatus;
}
