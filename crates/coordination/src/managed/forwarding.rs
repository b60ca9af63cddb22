//! Which holder a host passes a statement on to, and what a failure on the way means
//! for the retry of the statement.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use state::reading::LiveHost;

use crate::retry::{ErrorClass, SendProgress};

/// Holders that are tried for one statement.
pub const HOLDERS_TRIED_MAX: usize = 2;
/// Time after a failure for which a holder is tried only after the others. It bounds
/// the statements that wait for a dead holder to one round per second.
const AVOIDED_FOR: Duration = Duration::from_secs(1);
/// Time for which a host counts as one of an older build that does not forward.
const UNSUPPORTED_FOR: Duration = Duration::from_secs(5);
/// Time after a host stopped being a holder for which it still serves other hosts, which
/// may not know the newer list of live hosts yet.
pub const FORMER_HOLDER_GRACE: Duration = Duration::from_secs(3);

/// How an exchange over the RPC connection to a holder failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderFailure {
    /// The connection could not be opened, or the holder did not answer the greeting.
    Unreachable,
    /// The host does not know the forwarding messages.
    Unsupported,
    /// The request was sent and no reply came.
    ReplyLost,
}

/// The recent failures of the hosts that statements were passed on to.
#[derive(Clone, Debug, Default)]
pub struct HolderRecord {
    failures: BTreeMap<String, (HolderFailure, Instant)>,
}

impl HolderRecord {
    /// Records that a holder failed. Returns whether it had not failed before.
    pub fn record_failure(&mut self, holder: &str, failure: HolderFailure, now: Instant) -> bool {
        let former = self.failures.insert(holder.to_owned(), (failure, now));
        former.is_none()
    }

    /// Records that a holder replied. Returns whether it had failed before.
    pub fn record_reply(&mut self, holder: &str) -> bool {
        !self.failures.is_empty() && self.failures.remove(holder).is_some()
    }

    /// Returns the holders to try for a statement, in order: the first ones of
    /// `holders`, and those that failed recently after the others.
    pub fn order<'a>(&self, holders: &[&'a LiveHost], now: Instant) -> Vec<&'a LiveHost> {
        let (avoided, mut ordered): (Vec<&LiveHost>, Vec<&LiveHost>) = holders
            .iter()
            .partition(|holder| self.failed_within(&holder.name, AVOIDED_FOR, now));
        ordered.extend(avoided);
        ordered.truncate(HOLDERS_TRIED_MAX);
        ordered
    }

    /// Returns whether none of the holders knows the forwarding messages, so that the
    /// host has to use a connection of its own.
    pub fn is_unsupported(&self, holders: &[&LiveHost], now: Instant) -> bool {
        let unsupported = |holder: &&LiveHost| {
            let failure = self.failures.get(&holder.name);
            failure.is_some_and(|(failure, at)| {
                *failure == HolderFailure::Unsupported
                    && now.saturating_duration_since(*at) < UNSUPPORTED_FOR
            })
        };
        !holders.is_empty() && holders.iter().all(unsupported)
    }

    fn failed_within(&self, holder: &str, period: Duration, now: Instant) -> bool {
        let failure = self.failures.get(holder);
        failure.is_some_and(|(_, at)| now.saturating_duration_since(*at) < period)
    }
}

/// Returns whether a host serves other hosts' new statements: it is a holder, or it was
/// one until shortly before.
pub fn serves_others(holds: bool, held_until: Option<Instant>, now: Instant) -> bool {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < FORMER_HOLDER_GRACE;
    holds || held_until.is_some_and(is_recent)
}

/// Why a forwarded statement has no answer of the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardFailure {
    /// No holder ran it, and no byte reached the member.
    NotRun,
    /// The request was sent to a holder whose reply did not come.
    ReplyLost,
    /// The holder lost the member before it sent a byte of the statement.
    MemberLostBefore,
    /// The holder lost the member after it sent a byte of the statement.
    MemberLostAfter,
}

impl ForwardFailure {
    /// Returns what the failure means for a retry of the statement.
    pub const fn retry_class(self) -> (SendProgress, ErrorClass) {
        match self {
            Self::NotRun | Self::MemberLostBefore => {
                (SendProgress::NotSent, ErrorClass::ConnectFailed)
            }
            Self::ReplyLost | Self::MemberLostAfter => {
                (SendProgress::Sent, ErrorClass::ConnectionLost)
            }
        }
    }

    /// Returns whether the failure says something about the member. A failure of the
    /// holder does not.
    pub const fn is_of_member(self) -> bool {
        matches!(self, Self::MemberLostBefore | Self::MemberLostAfter)
    }
}
