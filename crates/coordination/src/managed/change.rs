//! Decides when the primary of a managed group is replaced, and by which member.

use std::time::{Duration, Instant};

use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use state::server_list::ServerState;

use crate::managed::group::{ContactFailure, ManagedGroup};

/// Time without an answer after which a primary is replaced. It covers an answer
/// that waits for a slot and one lost packet.
const TIMEOUT_LIMIT: Duration = Duration::from_millis(1_200);
/// Time of refused connections after which a primary is replaced. A restarted
/// process takes longer than this to become primary again.
const REFUSAL_LIMIT: Duration = Duration::from_millis(250);
/// Time after which a primary is replaced that does not answer but still sends
/// heartbeats to the platform. Most likely it is unreachable only from this host,
/// and other hosts still use it.
const HEARTBEAT_LIMIT: Duration = Duration::from_millis(3_000);
/// Failures that must have occurred, in addition to the time that must have
/// passed.
const MIN_FAILURES: u32 = 2;

/// Why a primary is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeReason {
    /// The primary is about to stop.
    Draining,
    /// The member list no longer has the primary.
    Gone,
    /// The primary does not answer.
    Unreachable,
    /// A change was announced and not finished.
    Unfinished,
    /// The primary said that it does not lead, or members answered with a newer
    /// primary than the row names.
    Superseded,
    /// The store's row is behind the primary that this host knows.
    Restored,
}

impl ChangeReason {
    /// Returns the name that is written to logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Gone => "gone",
            Self::Unreachable => "unreachable",
            Self::Unfinished => "unfinished",
            Self::Superseded => "superseded",
            Self::Restored => "restored",
        }
    }
}

/// Returns the reason to change the primary or its row now, or `None` if both stay. A
/// primary without a ready successor stays, unless a change of it has begun.
pub fn reason_to_change(group: &ManagedGroup, now: Instant) -> Option<ChangeReason> {
    let is_restorable = || group.primary_view.is_ahead() && group.primary().is_some();
    reason_to_replace(group, now).or_else(|| is_restorable().then_some(ChangeReason::Restored))
}

fn reason_to_replace(group: &ManagedGroup, now: Instant) -> Option<ChangeReason> {
    let row = group.primary_view.row()?;
    if row.change.is_some() {
        return Some(ChangeReason::Unfinished);
    }
    if group.primary_view.primary().is_none() {
        return Some(ChangeReason::Superseded);
    }
    let key = group.find(&row.primary);
    let has_successor = group
        .members
        .iter()
        .any(|(other, member)| Some(other) != key && member.server.state == ServerState::Ready);
    if !has_successor {
        return None;
    }
    let Some(key) = key else {
        return group.is_primary_unlisted().then_some(ChangeReason::Gone);
    };
    let member = &group.members[key];
    if member.server.state == ServerState::Draining {
        return Some(ChangeReason::Draining);
    }
    let failing_since = member.contact.failing_since?;
    let is_turned_away = member.contact.failure == Some(ContactFailure::TurnedAway);
    if is_turned_away && (member.is_at_capacity(now) || !group.is_list_recent(now)) {
        // The member is full, or no heartbeat can be seen because the store is down.
        return None;
    }
    let sent_heartbeat = member.heartbeat_at > failing_since;
    let limit = match member.contact.failure {
        Some(
            ContactFailure::Refused | ContactFailure::WrongMember | ContactFailure::TurnedAway,
        ) => REFUSAL_LIMIT,
        _ if sent_heartbeat => HEARTBEAT_LIMIT,
        _ => TIMEOUT_LIMIT,
    };
    let failing_for = now.saturating_duration_since(failing_since);
    let is_unreachable = failing_for >= limit && member.contact.failures >= MIN_FAILURES;
    is_unreachable.then_some(ChangeReason::Unreachable)
}

/// The status of a member that was polled before a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CandidateStatus {
    /// Key of the member.
    pub member: MemberKey,
    /// Role that the member reported.
    pub role: MemberRole,
    /// Newest term that the member knows.
    pub term: Term,
    /// End of the log that the member received, applied or not.
    pub received: LogPosition,
}

/// The choice of a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorDecision {
    /// A member is already the primary of a later term; only the row has to be
    /// written.
    Leading {
        /// Key of that member.
        member: MemberKey,
        /// Term of that member.
        term: Term,
    },
    /// A member has to be promoted.
    Promote {
        /// Key of that member.
        member: MemberKey,
    },
    /// No member qualifies now.
    NoCandidate,
}

/// Chooses the next primary: a ready member before one that is about to stop,
/// one of a later term before one of an earlier term, and then the one that
/// received the most of the log. The term comes before the length of the log
/// because a member of an earlier term may hold commits that a promotion has
/// rolled back. `former` is the primary to be replaced.
pub fn choose_successor(
    group: &ManagedGroup,
    replies: &[CandidateStatus],
    former: Option<MemberKey>,
) -> SuccessorDecision {
    if let Some(leading) = find_leading(group, replies) {
        return leading;
    }
    let best = replies
        .iter()
        .filter(|reply| Some(reply.member) != former && group.members.contains_key(reply.member))
        .max_by_key(|reply| {
            let server = &group.members[reply.member].server;
            let is_ready = server.state == ServerState::Ready;
            let name = std::cmp::Reverse(&server.id);
            (is_ready, reply.term, reply.received, name)
        });
    match best {
        Some(reply) => SuccessorDecision::Promote {
            member: reply.member,
        },
        None => SuccessorDecision::NoCandidate,
    }
}

/// Returns the member that already is the primary of a later term, if there is one.
pub fn find_leading(
    group: &ManagedGroup,
    replies: &[CandidateStatus],
) -> Option<SuccessorDecision> {
    let term = group.primary_view.term();
    let leading = replies
        .iter()
        .filter(|reply| reply.role == MemberRole::Primary && reply.term > term)
        .max_by_key(|reply| reply.term)?;
    Some(SuccessorDecision::Leading {
        member: leading.member,
        term: leading.term,
    })
}

/// Returns the member that takes over out of those that hold every acknowledged commit, and
/// whether it is ready: a ready one before one that is about to stop.
pub fn choose_holder(group: &ManagedGroup, holders: &[MemberKey]) -> Option<(MemberKey, bool)> {
    let known = holders.iter().filter_map(|key| {
        let server = &group.members.get(*key)?.server;
        Some((server.state == ServerState::Ready, server, *key))
    });
    let best = known.max_by_key(|(is_ready, server, _)| (*is_ready, std::cmp::Reverse(&server.id)));
    best.map(|(is_ready, _, key)| (key, is_ready))
}
