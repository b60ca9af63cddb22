//! Messages with which entry hosts share the usage caps of client accounts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A host's demand for operations of one account, at one allocator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AccountDemand {
    /// Name of the account.
    pub account: String,
    /// Tokens of this allocator that the process has used since its start.
    pub used_total: u64,
    /// Tokens of this allocator that the host keeps. The host never uses the others
    /// that it was granted by earlier requests, so that they can be granted again.
    pub held: u64,
    /// Further tokens for operations that wait or are expected soon.
    pub needed: u64,
    /// Further tokens for operations that are not expected; granted only while most
    /// tokens are free.
    pub spare: u64,
}

/// A host's request for operations, for all its accounts with one allocator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AllotmentRequest {
    /// Random number of the requesting process.
    pub incarnation: u64,
    /// Number of the request; rises with each request of the process. The host
    /// ignores replies to all requests but its last one to the allocator.
    pub sequence: u64,
    /// Demands by account.
    pub demands: Vec<AccountDemand>,
}

/// Operations that an allocator grants for one account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AccountGrant {
    /// Name of the account.
    pub account: String,
    /// Granted tokens, in addition to those that the host holds.
    pub tokens: u64,
    /// Time until the allocator can meet the demands of all hosts, if it granted fewer
    /// tokens than the host needs.
    pub next_in: Option<Duration>,
}

/// An allocator's reply. Accounts of which it is not an allocator are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct AllotmentReply {
    /// Grants by account.
    pub grants: Vec<AccountGrant>,
}
