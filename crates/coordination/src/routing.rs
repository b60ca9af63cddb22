//! Chooses the member that serves a read or a write.
//!
//! A member gets new work only if it is reachable and not leaving. One
//! exception: a leaving primary still takes writes until a failover moves the
//! primary away, because no other member can take them.
//!
//! A decision looks at the members of one group and at a binary search in its
//! anchors. It does not allocate, and its cost does not depend on the number of
//! sessions or groups.
//!
//! The caller of these functions must hold, for each member, a report that was
//! asked after the connection in use was opened: a restarted member may show
//! an older state than it did before.

use std::time::{Duration, Instant};

use state::keys::MemberKey;
use state::log::LogPosition;
use state::member::MemberRole;

use crate::view::{GroupView, MemberView};

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// Send it to this member.
    Member(MemberKey),
    /// Decide again at the next view, at this instant at the latest.
    WaitUntil(Instant),
    /// Refuse it; it was not run.
    Refuse(RefusalReason),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No member could be shown to satisfy bound and staleness by the deadline.
    NoMemberSatisfies,
    /// No reachable primary, or no reachable majority, by the deadline.
    NoPrimary,
}

/// A read to be routed.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest<'a> {
    /// Position that the read must see.
    pub bound: LogPosition,
    /// Age of data that the read's class tolerates.
    pub max_staleness: Duration,
    /// Arrival of the read.
    pub arrived_at: Instant,
    /// Instant at which it is refused if no member could be found.
    pub deadline: Instant,
    /// Longest wait for a replica before the primary is used.
    pub replica_wait: Duration,
    /// Data centre of this daemon.
    pub data_centre: &'a str,
    /// Region of this daemon.
    pub region: &'a str,
    /// The replica that confirmed the session's last write, if any. It can
    /// serve the read before its next report arrives. To be given only while
    /// the connection in use was opened before the confirming question was sent.
    pub confirmed_at: Option<ReplicaPosition>,
}

/// A position that a replica is known to have applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaPosition {
    /// The replica.
    pub member: MemberKey,
    /// The applied position.
    pub position: LogPosition,
}

/// Order of preference among replicas; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReplicaDistance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

/// Chooses the member for a read.
///
/// Waits up to `replica_wait` for a replica only if one may catch up in time.
/// Before the deadline a read that no member can serve waits for the next view,
/// so that a failover shows as a pause and not as an error.
pub fn choose_read(
    view: &GroupView,
    request: &ReadRequest<'_>,
    now: Instant,
    in_flight: impl Fn(MemberKey) -> u32,
) -> RouteChoice {
    let primary = view.primary();
    let required = required_position(view, request, now);
    if let Some(required) = required {
        if let Some(member) = choose_replica(view, primary, request, required, in_flight) {
            return RouteChoice::Member(member);
        }
    }
    let patience = (request.arrived_at + request.replica_wait).min(request.deadline);
    if now < patience && has_current_replica(view, primary) {
        return RouteChoice::WaitUntil(patience);
    }
    if let (Some(primary), Some(required)) = (primary, required) {
        if can_serve(&view.members[primary], required) {
            return RouteChoice::Member(primary);
        }
    }
    if now < request.deadline {
        return RouteChoice::WaitUntil(request.deadline);
    }
    RouteChoice::Refuse(RefusalReason::NoMemberSatisfies)
}

/// Chooses the member for a write: the primary of the highest known term.
///
/// While no majority is reachable, a write would be sent but not confirmed. It
/// waits instead, and is refused as not run at its deadline.
pub fn choose_write(view: &GroupView, deadline: Instant, now: Instant) -> RouteChoice {
    let primary = view.primary().filter(|key| view.members[*key].reachable);
    let reachable = view.members.values().filter(|member| member.reachable);
    let confirmable = reachable.count() >= view.majority();
    if let (Some(primary), true) = (primary, confirmable) {
        return RouteChoice::Member(primary);
    }
    if now < deadline {
        return RouteChoice::WaitUntil(deadline);
    }
    RouteChoice::Refuse(RefusalReason::NoPrimary)
}

/// Tells whether a read waits for a younger watermark than the view has, so
/// that a round should be started for it.
pub fn needs_watermark(view: &GroupView, request: &ReadRequest<'_>, now: Instant) -> bool {
    required_position(view, request, now).is_none()
}

/// Returns the lowest applied position that satisfies bound and staleness, or
/// `None` when the view has no anchor that is young enough.
///
/// An anchor is young enough when it was asked within the staleness, or after
/// the read arrived. The second rule makes a staleness of zero possible: the
/// read then sees every write that was accepted before it arrived.
fn required_position(
    view: &GroupView,
    request: &ReadRequest<'_>,
    now: Instant,
) -> Option<LogPosition> {
    let oldest = now
        .checked_sub(request.max_staleness)
        .map_or(request.arrived_at, |tolerated| {
            tolerated.min(request.arrived_at)
        });
    let index = view
        .watermarks
        .partition_point(|anchor| anchor.asked_at < oldest);
    view.watermarks
        .get(index)
        .map(|anchor| anchor.position.max(request.bound))
}

fn choose_replica(
    view: &GroupView,
    primary: Option<MemberKey>,
    request: &ReadRequest<'_>,
    required: LogPosition,
    in_flight: impl Fn(MemberKey) -> u32,
) -> Option<MemberKey> {
    let satisfies = |key: MemberKey, member: &MemberView| {
        let confirmed = request
            .confirmed_at
            .is_some_and(|known| known.member == key && known.position.reaches(required));
        can_serve(member, required) || (confirmed && is_usable(member))
    };
    view.members
        .iter()
        .filter(|(key, member)| is_replica(*key, member, primary) && satisfies(*key, member))
        .min_by_key(|(key, member)| (distance(member, request), in_flight(*key)))
        .map(|(key, _)| key)
}

/// Tells whether a usable replica may reach a new position soon. One that has
/// not even reached the second newest anchor lags by more than the distance of
/// two anchors, at least 100 ms, and the wait for it would be in vain.
fn has_current_replica(view: &GroupView, primary: Option<MemberKey>) -> bool {
    let second_newest = view.watermarks.iter().rev().nth(1);
    let position = second_newest.map_or(LogPosition::START, |anchor| anchor.position);
    view.members
        .iter()
        .any(|(key, member)| is_replica(key, member, primary) && can_serve(member, position))
}

/// A superseded primary is no replica: its reads would show commits that are
/// never accepted.
fn is_replica(key: MemberKey, member: &MemberView, primary: Option<MemberKey>) -> bool {
    Some(key) != primary
        && member
            .report
            .is_some_and(|report| report.role == MemberRole::Replica)
}

fn is_usable(member: &MemberView) -> bool {
    member.reachable && !member.leaving
}

fn can_serve(member: &MemberView, required: LogPosition) -> bool {
    is_usable(member)
        && member
            .report
            .is_some_and(|report| report.applied.reaches(required))
}

fn distance(member: &MemberView, request: &ReadRequest<'_>) -> ReplicaDistance {
    if member.data_centre == request.data_centre {
        return ReplicaDistance::SameDataCentre;
    }
    if member.region == request.region {
        return ReplicaDistance::SameRegion;
    }
    ReplicaDistance::OtherRegion
}
