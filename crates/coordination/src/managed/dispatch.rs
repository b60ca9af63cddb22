//! Chooses the member that runs a statement of a managed group.

use std::time::{Duration, Instant};

use state::keys::MemberKey;
use state::log::LogPosition;
use state::plan::ReadFreshness;

use crate::managed::group::{ManagedGroup, ManagedMember};
use crate::managed::session_commits::CommitBound;
use crate::managed::spread::{choose_spread, SelectionRule, SpreadCandidate};

/// Cost of a member in another data centre, added to its answer time: traffic
/// between data centres is charged for.
const DATA_CENTRE_COST: Duration = Duration::from_millis(10);
/// Cost of a member in another region, added to its answer time.
const REGION_COST: Duration = Duration::from_millis(20);
/// Cost of the primary for a read that a replica can serve, added to its answer
/// time: only the primary can serve writes.
const PRIMARY_COST: Duration = Duration::from_millis(10);
/// Time since the end of the last assurance during which statements are still
/// sent to the primary: a round of questions to the members normally renews the
/// assurance within this time.
const MAX_ASSURANCE_AGE: Duration = Duration::from_millis(800);

/// Expected time of a change of primary from its announcement. It consists of the
/// wait for the end of all assurances and of a promotion of some hundred
/// milliseconds. In an orderly change the two overlap, so that the longer one
/// counts.
pub const CHANGE_TIME: Duration = Duration::from_millis(1_700);

/// Location of an entry host.
#[derive(Clone, Copy, Debug)]
pub struct HostLocation<'a> {
    /// Data centre of the host.
    pub data_centre: &'a str,
    /// All data centres of the host's region.
    pub region: &'a [String],
}

/// A read for which a member is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct RequestedRead<'a> {
    /// Freshness that the route requires.
    pub freshness: ReadFreshness,
    /// Instant at which the read, or its transaction, began.
    pub began_at: Instant,
    /// What the read must see of the session's own commits in the group.
    pub own: CommitBound,
    /// Members that failed to serve this read.
    pub tried: &'a [MemberKey],
    /// How the member is chosen among those that qualify.
    pub rule: SelectionRule,
}

/// The member that a statement is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChoice {
    /// A replica. It checks that it has applied the log up to a position.
    Replica {
        /// Key of the replica.
        member: MemberKey,
        /// Position that the replica must have applied.
        since: LogPosition,
    },
    /// The primary. Its answer may be passed on once it is assured that it was
    /// the only primary at an instant.
    Primary {
        /// Key of the primary.
        member: MemberKey,
        /// That instant; `None` for writes, for which it is the instant of the
        /// answer.
        assured_at: Option<Instant>,
    },
    /// No member qualifies now.
    None(ChoiceFailure),
}

/// Why no member qualifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceFailure {
    /// No primary takes work.
    NoPrimary,
    /// The last assurance of the primary is too old.
    NotAssured,
    /// All members that qualify were tried already or do not answer.
    NoMember,
}

/// Chooses the primary for a write, a transaction that may write, or a read that
/// must be current. For reads, `assured_at` is the instant for which the primary
/// must be assured.
pub fn choose_primary(
    group: &ManagedGroup,
    assured_at: Option<Instant>,
    tried: &[MemberKey],
    now: Instant,
) -> MemberChoice {
    let Some(member) = group.primary() else {
        return MemberChoice::None(ChoiceFailure::NoPrimary);
    };
    if tried.contains(&member) {
        return MemberChoice::None(ChoiceFailure::NoMember);
    }
    // During a change, no read of the row renews the assurance.
    let max_age = match group.primary_view.is_changing() {
        true => Duration::ZERO,
        false => MAX_ASSURANCE_AGE,
    };
    if !group.primary_view.is_assured(now - max_age) {
        return MemberChoice::None(ChoiceFailure::NotAssured);
    }
    MemberChoice::Primary { member, assured_at }
}

/// Returns whether a primary may take work again before `deadline`. A change
/// normally ends within [`CHANGE_TIME`]; the end of one that takes longer cannot
/// be predicted, so that it is not waited for.
pub fn may_await_primary(group: &ManagedGroup, deadline: Instant, now: Instant) -> bool {
    let Some(since) = group.primary_view.no_primary_since() else {
        return true;
    };
    let expected_at = since + CHANGE_TIME;
    now <= expected_at && expected_at <= deadline
}

/// What a statement does after no member took it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueRefusals {
    /// Whether a queue refused the statement because its wait would exceed the
    /// deadline.
    refused: bool,
    /// Number of times that the statement has waited for a route since.
    waits: u32,
}

impl QueueRefusals {
    /// Records that a member's queue refused the statement.
    pub fn record(&mut self) {
        self.refused = true;
    }

    /// Returns whether the statement may wait for another route. Queues that cannot
    /// serve it by its deadline do not become shorter than that, so that it waits at
    /// most once more, for a replica that lags behind.
    pub fn may_wait(&mut self) -> bool {
        if !self.refused {
            return true;
        }
        self.waits += 1;
        self.waits <= 1
    }
}

/// Chooses the member for a read.
pub fn choose_read(
    group: &ManagedGroup,
    read: &RequestedRead<'_>,
    location: &HostLocation<'_>,
    now: Instant,
) -> MemberChoice {
    if read.freshness == ReadFreshness::Current {
        return choose_primary(group, Some(read.began_at), read.tried, now);
    }
    let covered_until = covered_until(read);
    let replicas = usable_replicas(group, read, covered_until, now);
    let primary = usable_primary(group, read, covered_until, now);
    let chosen = match read.rule {
        SelectionRule::Least => replicas
            .chain(primary)
            .min_by_key(|usable| usable.cost(location)),
        SelectionRule::Spread { random } => {
            let usable: Vec<UsableMember<'_>> = replicas.chain(primary).collect();
            let candidates: Vec<SpreadCandidate> = usable
                .iter()
                .map(|usable| usable.candidate(location, now))
                .collect();
            choose_spread(&candidates, random).map(|index| usable[index])
        }
    };
    match chosen {
        Some(usable) => usable.choice,
        None if group.primary().is_none() => MemberChoice::None(ChoiceFailure::NoPrimary),
        None => MemberChoice::None(ChoiceFailure::NoMember),
    }
}

/// Returns the instant up to which the read must see all commits of the group.
fn covered_until(read: &RequestedRead<'_>) -> Instant {
    // Subtracting from an instant near the start of the clock saturates there.
    let tolerated = read
        .began_at
        .checked_sub(read.freshness.max_staleness())
        .unwrap_or(read.began_at);
    match read.freshness {
        ReadFreshness::OwnWrites { .. } => read
            .own
            .covered_until
            .map_or(tolerated, |own| tolerated.max(own)),
        ReadFreshness::Current | ReadFreshness::Bounded { .. } => tolerated,
    }
}

/// A member that qualifies for a read.
#[derive(Clone, Copy, Debug)]
struct UsableMember<'a> {
    member: &'a ManagedMember,
    choice: MemberChoice,
    /// Cost of the member's role.
    role_cost: Duration,
}

impl UsableMember<'_> {
    fn cost(&self, location: &HostLocation<'_>) -> Duration {
        answer_time(self.member) + self.extra_cost(location)
    }

    fn extra_cost(&self, location: &HostLocation<'_>) -> Duration {
        distance_cost(self.member, location) + self.role_cost
    }

    fn candidate(&self, location: &HostLocation<'_>, now: Instant) -> SpreadCandidate {
        let time_since = |instant: Option<&Instant>| {
            instant.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at))
        };
        SpreadCandidate {
            answer_time: answer_time(self.member),
            unanswered_for: time_since(self.member.unanswered.first()),
            answer_age: time_since(self.member.latency_at.as_ref()),
            extra_cost: self.extra_cost(location),
            serving_for: now.saturating_duration_since(self.member.serving_since),
        }
    }
}

/// Returns the replicas that qualify. Among equal costs the first one counts, as does a
/// replica before the primary.
fn usable_replicas<'a>(
    group: &'a ManagedGroup,
    read: &'a RequestedRead<'_>,
    covered_until: Instant,
    now: Instant,
) -> impl Iterator<Item = UsableMember<'a>> {
    let required = required_position(group, read, covered_until);
    let primary = group.primary();
    required.into_iter().flat_map(move |since| {
        let members = group.members.iter();
        let usable = members.filter(move |(key, member)| {
            Some(*key) != primary
                && !read.tried.contains(key)
                && member.takes_reads(now)
                && !member.lags_behind(since, now)
        });
        usable.map(move |(key, member)| UsableMember {
            member,
            choice: MemberChoice::Replica { member: key, since },
            role_cost: Duration::ZERO,
        })
    })
}

fn usable_primary<'a>(
    group: &'a ManagedGroup,
    read: &RequestedRead<'_>,
    covered_until: Instant,
    now: Instant,
) -> Option<UsableMember<'a>> {
    let key = group.primary()?;
    let member = &group.members[key];
    if read.tried.contains(&key)
        || !member.takes_reads(now)
        || !group.primary_view.is_assured(covered_until)
    {
        return None;
    }
    Some(UsableMember {
        member,
        choice: MemberChoice::Primary {
            member: key,
            assured_at: Some(covered_until),
        },
        role_cost: PRIMARY_COST,
    })
}

/// Returns the log position that a replica must have applied to serve the read.
///
/// A commit of the session in an earlier term may have been lost with that
/// term's primary, so its position cannot be required. The first position of the
/// current term is required instead: it covers every commit that survived.
fn required_position(
    group: &ManagedGroup,
    read: &RequestedRead<'_>,
    covered_until: Instant,
) -> Option<LogPosition> {
    let watermark = group.position_at(covered_until)?;
    match (read.freshness, read.own.position) {
        (ReadFreshness::OwnWrites { .. }, Some(own)) if own.term >= group.primary_view.term() => {
            Some(watermark.max(own))
        }
        (ReadFreshness::OwnWrites { .. }, Some(_)) => {
            Some(watermark.max(group.first_position_of_term()?))
        }
        _ => Some(watermark),
    }
}

/// Estimates the time of a read at a member, the wait in this host's queue included.
fn answer_time(member: &ManagedMember) -> Duration {
    let slots = f64::from(member.server.slots.max(1));
    let queue = f64::from(member.waiting) / f64::from(member.in_flight_limit.max(1));
    let load = 1.0 + f64::from(member.in_flight) / slots + queue;
    member.latency.mul_f64(load)
}

fn distance_cost(member: &ManagedMember, location: &HostLocation<'_>) -> Duration {
    if member.server.data_centre == location.data_centre {
        Duration::ZERO
    } else if location.region.contains(&member.server.data_centre) {
        DATA_CENTRE_COST
    } else {
        REGION_COST
    }
}
