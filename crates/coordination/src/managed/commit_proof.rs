//! Which members are shown to hold every acknowledged commit of a group whose primary
//! acknowledges a commit only once replicas have received it.
//!
//! # Why the proof holds
//!
//! With N synchronous replicas, N members other than the primary have received each
//! acknowledged commit. The logs of members that follow one primary are prefixes of its
//! log. So the member with the newest term and, within it, the longest log holds whatever
//! another member that answered holds, and an acknowledged commit that it lacks was received
//! only by copies that were not heard of. If fewer than N such copies exist, there is no
//! such commit. This requires that no commit is acknowledged after the answers: the former
//! primary has stepped down, or the members that answered have stopped receiving from it, so
//! that too few are left to acknowledge another one.
//!
//! A primary that stepped down holds all its acknowledged commits. A member that has
//! received its whole log holds them, too, whatever the other members answer.
//!
//! A member that left the list, or that started again without its data, may have held the
//! only copy of commits that were acknowledged before. A member whose log is shorter than it
//! has been counts as one that started without its data. Such a copy counts as not heard of,
//! unless the member with the longest log has received what the primary had committed by
//! then, or the copy was handed on to a new member at the same address.

use state::keys::MemberKey;
use state::log::{LogPosition, Term};

use crate::managed::change::CandidateStatus;
use crate::managed::group::ManagedGroup;

/// What is known of the logs of a group's members after the last acknowledgement of the
/// former primary.
#[derive(Clone, Copy, Debug)]
pub struct LogEvidence<'a> {
    /// Identity of the former primary.
    pub former: &'a str,
    /// Term of the former primary.
    pub former_term: Term,
    /// Status of the former primary after it stepped down; `None` if it did not confirm
    /// that.
    pub stepped_down: Option<CandidateStatus>,
    /// Newest answer of each other member that answered.
    pub replies: &'a [CandidateStatus],
}

/// Members that hold every acknowledged commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitHolders {
    /// Keys of the members, none of which is the former primary.
    pub members: Vec<MemberKey>,
    /// Whether they have received the whole log of the former primary, and not only what
    /// was acknowledged.
    pub is_whole_log: bool,
}

/// Copies of the log of which too little is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MissingCopies {
    /// Identities of listed members that did not answer.
    pub silent: Vec<String>,
    /// Identities of members that left or lost their data.
    pub lost: Vec<String>,
    /// Whether members may be missing from the list, because the store has just returned.
    pub is_list_incomplete: bool,
}

impl std::fmt::Display for MissingCopies {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (silent, lost) = (self.silent.join(" "), self.lost.join(" "));
        write!(formatter, "no answer of [{silent}], lost copies [{lost}]")?;
        match self.is_list_incomplete {
            true => formatter.write_str(", list incomplete"),
            false => Ok(()),
        }
    }
}

/// Result of looking for members that hold every acknowledged commit.
pub type Result<T> = std::result::Result<T, MissingCopies>;

/// Returns the members that are shown to hold every acknowledged commit. `required` is the
/// number of replicas that receive a commit before it is acknowledged, at least 1.
pub fn find_holders(
    group: &ManagedGroup,
    required: u32,
    evidence: &LogEvidence<'_>,
) -> Result<CommitHolders> {
    let former = group.find(evidence.former);
    let replies: Vec<CandidateStatus> = evidence
        .replies
        .iter()
        .copied()
        .filter(|reply| Some(reply.member) != former && has_its_log(group, reply))
        .collect();
    if let Some(end) = end_of_log(group, evidence, &replies) {
        let members: Vec<MemberKey> = replies
            .iter()
            .filter(|reply| reply.received >= end)
            .map(|reply| reply.member)
            .collect();
        if !members.is_empty() {
            return Ok(CommitHolders {
                members,
                is_whole_log: true,
            });
        }
    }
    let progress = |reply: &CandidateStatus| (reply.term, reply.received);
    let newest = replies.iter().map(progress).max();
    let answered = |key| replies.iter().any(|reply| reply.member == key);
    let listed = group.members.iter();
    let missing = MissingCopies {
        silent: listed
            .filter(|(key, _)| Some(*key) != former && !answered(*key))
            .map(|(_, member)| member.server.id.clone())
            .collect(),
        lost: group.uncovered_copies(
            evidence.former,
            newest.map(|(_, received)| received),
            |id| received_by(group, &replies, id),
        ),
        is_list_incomplete: group.is_list_incomplete(),
    };
    let missing_count = missing.silent.len() + missing.lost.len();
    let is_shown = missing_count < required as usize && !missing.is_list_incomplete;
    match newest {
        Some(newest) if is_shown => {
            let holders = replies.iter().filter(|reply| progress(reply) == newest);
            Ok(CommitHolders {
                members: holders.map(|reply| reply.member).collect(),
                is_whole_log: false,
            })
        }
        _ => Err(missing),
    }
}

fn received_by(group: &ManagedGroup, replies: &[CandidateStatus], id: &str) -> Option<LogPosition> {
    let key = group.find(id)?;
    let reply = replies.iter().find(|reply| reply.member == key)?;
    Some(reply.received)
}

/// Returns whether a member is listed and has not lost the log that it showed before. An
/// answer says nothing about a process whose entry the newest list lacks.
fn has_its_log(group: &ManagedGroup, reply: &CandidateStatus) -> bool {
    let member = group.members.get(reply.member);
    member.is_some_and(|member| member.missing_since.is_none() && reply.received >= member.position)
}

/// Returns whether the former primary has stepped down and still holds every acknowledged
/// commit.
pub fn former_holds_all(group: &ManagedGroup, evidence: &LogEvidence<'_>) -> bool {
    end_of_log(group, evidence, evidence.replies).is_some()
}

/// Returns the end of the log of the former primary if it stepped down and no answer shows a
/// primary of a later term, whose commits that log may lack. A former primary that has lost
/// its data does not reach the positions that it showed.
fn end_of_log(
    group: &ManagedGroup,
    evidence: &LogEvidence<'_>,
    replies: &[CandidateStatus],
) -> Option<LogPosition> {
    let stepped_down = evidence.stepped_down.as_ref()?;
    let mut terms = replies.iter().map(|reply| reply.term);
    let is_newest =
        stepped_down.term <= evidence.former_term && terms.all(|term| term <= evidence.former_term);
    let has_its_log = Some(stepped_down.received) >= group.newest_watermark();
    (is_newest && has_its_log).then_some(stepped_down.received)
}
