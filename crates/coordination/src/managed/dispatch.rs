//! Chooses the member for a statement of a managed group.

use std::time::{Duration, Instant};

use state::keys::MemberKey;
use state::log::LogPosition;
use state::plan::ReadFreshness;

use crate::managed::group::{ManagedGroup, ManagedMember};

/// Cost of a member in another data centre, beside its answer time: bytes
/// between data centres are paid for.
const REMOTE_COST: Duration = Duration::from_millis(10);
/// Cost of a member in another region, beside its answer time.
const REGION_COST: Duration = Duration::from_millis(20);
/// Cost of the primary for a read that a replica can serve: writes have no
/// other place to go.
const PRIMARY_COST: Duration = Duration::from_millis(10);
/// Age of the last assurance up to which a statement is still sent to the
/// primary: a round of the members normally restores it within this time.
const ASSURANCE_PATIENCE: Duration = Duration::from_millis(800);

/// Time that a change of primary takes from its announcement: the end of all
/// assurances and a promotion of some hundred milliseconds, of which the longer
/// one counts in an orderly change.
pub const CHANGE_TIME: Duration = Duration::from_millis(1_700);

/// Where this host is.
#[derive(Clone, Copy, Debug)]
pub struct HostPlace<'a> {
    /// Its data centre.
    pub data_centre: &'a str,
    /// Data centres of its region.
    pub region: &'a [String],
}

/// A read to be placed.
#[derive(Clone, Copy, Debug)]
pub struct ReadNeed<'a> {
    /// Freshness that the route asks for.
    pub freshness: ReadFreshness,
    /// Instant at which the read, or its transaction, began.
    pub began_at: Instant,
    /// Position of the session's own last commit.
    pub own_position: Option<LogPosition>,
    /// Members that were tried without success.
    pub tried: &'a [MemberKey],
}

/// Where a statement goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceChoice {
    /// To a member whose log must hold a position, which the member checks.
    Replica {
        /// The member.
        member: MemberKey,
        /// The position.
        since: LogPosition,
    },
    /// To the primary. Its answer counts once the primary is assured for the
    /// instant.
    Primary {
        /// The member.
        member: MemberKey,
        /// The instant; nothing for writes, whose answer gives it.
        assured_at: Option<Instant>,
    },
    /// No member qualifies now.
    None(PlaceLack),
}

/// Why no member qualifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceLack {
    /// No primary takes work.
    NoPrimary,
    /// The primary cannot be assured.
    NotAssured,
    /// All members that qualify were tried or do not answer.
    NoMember,
}

/// Chooses the member for a write, a plain transaction or a read that must be
/// current. `assured_at` is the instant that reads need.
pub fn choose_primary(
    group: &ManagedGroup,
    assured_at: Option<Instant>,
    tried: &[MemberKey],
    now: Instant,
) -> PlaceChoice {
    let Some(member) = group.primary() else {
        return PlaceChoice::None(PlaceLack::NoPrimary);
    };
    if tried.contains(&member) {
        return PlaceChoice::None(PlaceLack::NoMember);
    }
    // No read of the row restores an assurance that a change has ended.
    let patience = match group.reign.is_changing() {
        true => Duration::ZERO,
        false => ASSURANCE_PATIENCE,
    };
    if !group.reign.is_assured(now - patience) {
        return PlaceChoice::None(PlaceLack::NotAssured);
    }
    PlaceChoice::Primary { member, assured_at }
}

/// Tells whether waiting for a primary until `deadline` is of use. A change
/// normally ends within [`CHANGE_TIME`]; one that takes longer has no known end.
pub fn may_await_primary(group: &ManagedGroup, deadline: Instant, now: Instant) -> bool {
    let Some(since) = group.reign.lacking_since() else {
        return true;
    };
    let expected_at = since + CHANGE_TIME;
    now <= expected_at && expected_at <= deadline
}

/// Chooses the member for a read.
pub fn choose_read(
    group: &ManagedGroup,
    need: &ReadNeed<'_>,
    place: &HostPlace<'_>,
    now: Instant,
) -> PlaceChoice {
    if need.freshness == ReadFreshness::Current {
        return choose_primary(group, Some(need.began_at), need.tried, now);
    }
    // Subtracting from an instant near the start of the clock saturates there.
    let covered = need
        .began_at
        .checked_sub(need.freshness.max_staleness())
        .unwrap_or(need.began_at);
    let replica = cheapest_replica(group, need, covered, place, now);
    let primary = usable_primary(group, need, covered, place, now);
    match (replica, primary) {
        (Some((cost, choice)), Some((other, _))) if cost <= other => choice,
        (_, Some((_, choice))) => choice,
        (Some((_, choice)), None) => choice,
        (None, None) if group.primary().is_none() => PlaceChoice::None(PlaceLack::NoPrimary),
        (None, None) => PlaceChoice::None(PlaceLack::NoMember),
    }
}

fn cheapest_replica(
    group: &ManagedGroup,
    need: &ReadNeed<'_>,
    covered: Instant,
    place: &HostPlace<'_>,
    now: Instant,
) -> Option<(Duration, PlaceChoice)> {
    let since = required_position(group, need, covered)?;
    let primary = group.primary();
    group
        .members
        .iter()
        .filter(|(key, member)| {
            Some(*key) != primary
                && !need.tried.contains(key)
                && member.takes_reads(now)
                && !member.lacks(since, now)
        })
        .map(|(key, member)| (cost(member, place), key))
        .min()
        .map(|(cost, member)| (cost, PlaceChoice::Replica { member, since }))
}

fn usable_primary(
    group: &ManagedGroup,
    need: &ReadNeed<'_>,
    covered: Instant,
    place: &HostPlace<'_>,
    now: Instant,
) -> Option<(Duration, PlaceChoice)> {
    let key = group.primary()?;
    let member = &group.members[key];
    if need.tried.contains(&key) || !member.takes_reads(now) || !group.reign.is_assured(covered) {
        return None;
    }
    let choice = PlaceChoice::Primary {
        member: key,
        assured_at: Some(covered),
    };
    Some((cost(member, place) + PRIMARY_COST, choice))
}

/// Returns the position that a replica must hold for the read.
///
/// A commit of the session at an earlier term may have been lost with its
/// primary. A position of the present reign covers all that was kept.
fn required_position(
    group: &ManagedGroup,
    need: &ReadNeed<'_>,
    covered: Instant,
) -> Option<LogPosition> {
    let watermark = group.position_at(covered)?;
    match (need.freshness, need.own_position) {
        (ReadFreshness::OwnWrites { .. }, Some(own)) if own.term >= group.reign.term() => {
            Some(watermark.max(own))
        }
        (ReadFreshness::OwnWrites { .. }, Some(_)) => {
            Some(watermark.max(group.first_position_of_reign()?))
        }
        _ => Some(watermark),
    }
}

/// Estimates how long a read takes at a member, plus what its distance costs.
fn cost(member: &ManagedMember, place: &HostPlace<'_>) -> Duration {
    let slots = f64::from(member.server.slots.max(1));
    let load = 1.0 + f64::from(member.in_flight) / slots;
    let distance = if member.server.data_centre == place.data_centre {
        Duration::ZERO
    } else if place.region.contains(&member.server.data_centre) {
        REMOTE_COST
    } else {
        REGION_COST
    };
    member.latency.mul_f64(load) + distance
}
