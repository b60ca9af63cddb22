//! Decides which members must be ordered to follow the primary.

use std::time::Duration;

use state::keys::MemberKey;
use state::log::Term;
use state::member::{MemberReport, MemberRole};

/// Order to a member to replicate from a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowOrder {
    /// The member that must follow.
    pub member: MemberKey,
    /// Term of the primary.
    pub term: Term,
    /// The primary.
    pub primary: MemberKey,
}

/// Report of a member that answered within `suspect_after`.
#[derive(Clone, Copy, Debug)]
pub struct RecentReport {
    /// The member.
    pub member: MemberKey,
    /// Its report.
    pub report: MemberReport,
}

/// Returns the order for a member, or `None` if it needs none.
///
/// A member needs an order when it has promised a lower term, which includes a
/// superseded primary, or when it has received no heartbeat of its primary for
/// `suspect_after`. A member that promised a higher term refuses to follow;
/// only a promotion at a higher term lets it rejoin.
pub fn required_order(
    primary: &RecentReport,
    member: &RecentReport,
    suspect_after: Duration,
) -> Option<FollowOrder> {
    assert!(
        primary.report.role == MemberRole::Primary,
        "members can only follow a primary"
    );
    let term = primary.report.promised_term;
    if member.member == primary.member || member.report.promised_term > term {
        return None;
    }
    let has_heartbeat = member
        .report
        .primary_heartbeat_age
        .is_some_and(|age| age < suspect_after);
    if member.report.promised_term == term && has_heartbeat {
        return None;
    }
    Some(FollowOrder {
        member: member.member,
        term,
        primary: primary.member,
    })
}
