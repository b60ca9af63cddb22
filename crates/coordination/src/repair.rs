//! Decides which members are told to follow the primary.

use std::time::Duration;

use state::keys::MemberKey;
use state::log::Term;
use state::member::{MemberReport, MemberRole};

/// An order to follow a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowOrder {
    /// The member that is told to follow.
    pub member: MemberKey,
    /// Term of the primary.
    pub term: Term,
    /// The primary.
    pub primary: MemberKey,
}

/// A recent report of a reachable member.
#[derive(Clone, Copy, Debug)]
pub struct RecentReport {
    /// The member.
    pub member: MemberKey,
    /// Its report.
    pub report: MemberReport,
}

/// Returns the order for a member, or `None` if it needs none.
///
/// A member needs one when it has promised a lower term, which includes a
/// superseded primary, or when it has not heard its primary for
/// `suspect_after`. A member that promised a higher term cannot follow; only a
/// new promotion brings it back.
pub fn follow_order(
    primary: &RecentReport,
    member: &RecentReport,
    suspect_after: Duration,
) -> Option<FollowOrder> {
    assert!(
        primary.report.role == MemberRole::Primary,
        "members follow a primary only"
    );
    let term = primary.report.promised_term;
    if member.member == primary.member || member.report.promised_term > term {
        return None;
    }
    let heard = member
        .report
        .primary_heartbeat_age
        .is_some_and(|age| age < suspect_after);
    if member.report.promised_term == term && heard {
        return None;
    }
    Some(FollowOrder {
        member: member.member,
        term,
        primary: primary.member,
    })
}
