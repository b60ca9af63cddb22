//! When the primary of a managed group is replaced, and by which member.

use std::time::{Duration, Instant};

use state::keys::MemberKey;
use state::log::{LogPosition, Term};
use state::member::MemberRole;
use state::server_list::ServerState;

use crate::managed::group::{ManagedGroup, ReachFailure};

/// Time of silence after which a primary is given up. It covers an answer that
/// waits for a slot and one lost packet.
const SILENT_AFTER: Duration = Duration::from_millis(1_200);
/// Time of refused connections after which a primary is given up. A process
/// that was restarted takes longer than this to lead again.
const REFUSED_AFTER: Duration = Duration::from_millis(250);
/// Time after which a primary is given up that still sends heartbeats to the
/// platform: most likely only this host has lost it, and others use it.
const HEARD_AFTER: Duration = Duration::from_millis(3_000);
/// Failures that are needed besides the time.
const FAILURES_NEEDED: u32 = 2;

/// Why a primary is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeReason {
    /// It is about to stop.
    Draining,
    /// The list no longer has it.
    Gone,
    /// It does not answer.
    Unreachable,
    /// A change was announced and not finished.
    Unfinished,
    /// Members show a successor that the row lacks.
    Superseded,
}

impl ChangeReason {
    /// Returns the name that logs use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Gone => "gone",
            Self::Unreachable => "unreachable",
            Self::Unfinished => "unfinished",
            Self::Superseded => "superseded",
        }
    }
}

/// Tells whether the primary must be replaced.
pub fn reason_to_change(group: &ManagedGroup, now: Instant) -> Option<ChangeReason> {
    let row = group.reign.row()?;
    if row.change.is_some() {
        return Some(ChangeReason::Unfinished);
    }
    if group.reign.primary().is_none() {
        return Some(ChangeReason::Superseded);
    }
    let key = group.find(&row.primary);
    let has_successor = group
        .members
        .iter()
        .any(|(other, one)| Some(other) != key && one.server.state == ServerState::Ready);
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
    let failing_since = member.reach.failing_since?;
    let heard_since = member.heartbeat_at > failing_since;
    let patience = match member.reach.failure {
        Some(ReachFailure::Refused | ReachFailure::Replaced) => REFUSED_AFTER,
        _ if heard_since => HEARD_AFTER,
        _ => SILENT_AFTER,
    };
    let failing_for = now.saturating_duration_since(failing_since);
    let given_up = failing_for >= patience && member.reach.failures >= FAILURES_NEEDED;
    given_up.then_some(ChangeReason::Unreachable)
}

/// What a member answered to the survey before a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SurveyReply {
    /// The member.
    pub member: MemberKey,
    /// Its role.
    pub role: MemberRole,
    /// Newest term that it knows.
    pub term: Term,
    /// End of the log that it received.
    pub received: LogPosition,
}

/// What to do after a survey.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SurveyDecision {
    /// A member leads a later term already; only the row is to be written.
    Settle {
        /// The member.
        member: MemberKey,
        /// Its term.
        term: Term,
    },
    /// Promote the member.
    Promote {
        /// The member.
        member: MemberKey,
    },
    /// No member qualifies; survey again.
    Wait,
}

/// Decides who leads next: a ready member before one that is about to stop, one
/// of a later term before one of an earlier term, and then the one that received
/// most. A member of an earlier term may hold commits that a promotion has
/// rolled back. `former` is the primary to be replaced.
pub fn decide_survey(
    group: &ManagedGroup,
    replies: &[SurveyReply],
    former: Option<MemberKey>,
) -> SurveyDecision {
    let term = group.reign.term();
    let leading = replies
        .iter()
        .filter(|reply| reply.role == MemberRole::Primary && reply.term > term)
        .max_by_key(|reply| reply.term);
    if let Some(reply) = leading {
        return SurveyDecision::Settle {
            member: reply.member,
            term: reply.term,
        };
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
        Some(reply) => SurveyDecision::Promote {
            member: reply.member,
        },
        None => SurveyDecision::Wait,
    }
}
