//! Chooses the member that serves a read or a write.
//!
//! A member gets new work only if it is reachable and not leaving. The exception
//! is a leaving primary: it takes writes until a failover moves the primary
//! away, because no other member can take them.
//!
//! A decision scans the members of one group and does a binary search in the
//! group's watermarks. It does not allocate, and its cost does not depend on the
//! number of sessions or groups.
//!
//! For each member, the view must hold a report that was requested after the
//! connection in use was opened: a restarted member may show an older state than
//! before its restart.

use std::time::{Duration, Instant};

use state::keys::MemberKey;
use state::log::LogPosition;
use state::member::MemberRole;

use crate::view::{GroupView, MemberView};

/// Routing decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// Send the request to this member.
    Member(MemberKey),
    /// Decide again when the view changes, or at this instant at the latest.
    WaitUntil(Instant),
    /// Refuse the request. It was not run.
    Refuse(RefusalReason),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Until the deadline, no member was known to satisfy the session bound and
    /// the staleness.
    NoMemberSatisfies,
    /// Until the deadline, no primary or no majority was reachable.
    NoPrimary,
}

/// A read to be routed.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest<'a> {
    /// Session bound: the lowest position that the member must have applied.
    pub bound: LogPosition,
    /// Largest age of the data that the read class tolerates.
    pub max_staleness: Duration,
    /// Instant at which the read arrived.
    pub arrived_at: Instant,
    /// Instant at which the read is refused if no member can serve it.
    pub deadline: Instant,
    /// Longest wait for a replica before the primary is used.
    pub replica_wait: Duration,
    /// Data centre of this daemon.
    pub data_centre: &'a str,
    /// Region of this daemon.
    pub region: &'a str,
    /// The replica that confirmed the session's last write, if any. It can serve
    /// the read before its next report arrives. Must be `None` unless the
    /// connection in use was opened before the request for that confirmation was
    /// sent.
    pub confirming_replica: Option<ReplicaPosition>,
}

/// A position that a replica is known to have applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaPosition {
    /// The replica.
    pub member: MemberKey,
    /// Position that the replica has applied.
    pub position: LogPosition,
}

/// Distance from this daemon to a replica. The nearest replica is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReplicaDistance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

/// Chooses the member for a read.
///
/// The read waits up to `replica_wait` for a replica only if one may catch up in
/// time. A read that no member can serve waits for the next view until its
/// deadline, so that a failover delays the read instead of failing it.
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
    let replica_deadline = (request.arrived_at + request.replica_wait).min(request.deadline);
    if now < replica_deadline && has_replica_catching_up(view, primary) {
        return RouteChoice::WaitUntil(replica_deadline);
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
/// While no majority is reachable, a write could be sent but not confirmed. The
/// write therefore waits, and is refused as not run at its deadline.
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

/// Returns whether a read needs a newer watermark than the view has, so that a
/// watermark round should be started for it.
pub fn needs_watermark(view: &GroupView, request: &ReadRequest<'_>, now: Instant) -> bool {
    required_position(view, request, now).is_none()
}

/// Returns the lowest applied position that satisfies the session bound and the
/// staleness, or `None` if the view has no watermark that is recent enough.
///
/// A watermark is recent enough if it was requested within the staleness, or after
/// the read arrived. The second rule makes a staleness of zero possible: the read
/// then sees every write that was accepted before the read arrived.
fn required_position(
    view: &GroupView,
    request: &ReadRequest<'_>,
    now: Instant,
) -> Option<LogPosition> {
    let oldest_allowed = now
        .checked_sub(request.max_staleness)
        .map_or(request.arrived_at, |tolerated| {
            tolerated.min(request.arrived_at)
        });
    let index = view
        .watermarks
        .partition_point(|watermark| watermark.asked_at < oldest_allowed);
    view.watermarks
        .get(index)
        .map(|watermark| watermark.position.max(request.bound))
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
            .confirming_replica
            .is_some_and(|known| known.member == key && known.position.reaches(required));
        can_serve(member, required) || (confirmed && is_usable(member))
    };
    view.members
        .iter()
        .filter(|(key, member)| is_replica(*key, member, primary) && satisfies(*key, member))
        .min_by_key(|(key, member)| (distance(member, request), in_flight(*key)))
        .map(|(key, _)| key)
}

/// Returns whether a usable replica may reach a new position soon. A replica that
/// has not reached the second newest watermark lags by more than the distance
/// between two watermarks, which is at least 100 ms, so waiting for it is useless.
fn has_replica_catching_up(view: &GroupView, primary: Option<MemberKey>) -> bool {
    let second_newest = view.watermarks.iter().rev().nth(1);
    let position = second_newest.map_or(LogPosition::START, |watermark| watermark.position);
    view.members
        .iter()
        .any(|(key, member)| is_replica(key, member, primary) && can_serve(member, position))
}

/// Returns whether a member serves reads as a replica. A superseded primary does
/// not: its reads could return commits that are never accepted.
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
