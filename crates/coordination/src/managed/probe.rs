//! Which questions about a group's primary fall to one entry host.
//!
//! A host that fetches readings from another one also gets what that host knows of
//! the groups' primaries, and asks the members itself only if this comes late. So
//! the number of status questions grows with the number of regions and not with that
//! of hosts.

use std::time::{Duration, Instant};

use state::keys::MemberKey;
use state::log::Term;

use crate::managed::group::ManagedGroup;

/// Time before the end of an assurance at which the members are asked to renew it.
const ASSURANCE_RESERVE: Duration = Duration::from_millis(200);
/// Time after the end of an assurance at which a host asks the members itself although
/// another host does so for it: two rounds of that host and their way.
const SERVED_ASSURANCE_GRACE: Duration = Duration::from_millis(400);
/// Age of the newest watermark from which on the primary is asked for its position.
/// Routes tolerate a staleness of 1.5 s and more.
const WATERMARK_AGE: Duration = Duration::from_millis(600);
/// The same age at a host that asks for others, which get its watermarks up to 600 ms
/// later.
const SHARED_WATERMARK_AGE: Duration = Duration::from_millis(400);
/// The same age at a host that gets watermarks from another one.
const SERVED_WATERMARK_AGE: Duration = Duration::from_millis(1_300);

/// Time for which a host leaves a lost row to the hosts that read the store. They write
/// it within a reading interval and the 1 s in which former assurances end.
const SERVED_RESTORE_DELAY: Duration = Duration::from_secs(3);

/// Interval at which replicas are asked whether they are paused. A request to pause that
/// was delayed may reach a replica after the promotion that ends all pauses.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Which part of the questions falls to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeDuty {
    /// The host has no other host to rely on.
    Alone,
    /// The host asks for others as well.
    ForOthers,
    /// Another host asks for this one.
    Served,
}

/// Returns whether this host may write a lost row of the store again. The hosts that read
/// the store come first, so that not all hosts try it at the same time.
pub fn may_restore(group: &ManagedGroup, duty: ProbeDuty, now: Instant) -> bool {
    let ahead_since = group.primary_view.ahead_since();
    let ahead_for = ahead_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
    duty != ProbeDuty::Served || ahead_for >= SERVED_RESTORE_DELAY
}

/// Returns whether the members have to be asked for their roles, so that the primary
/// stays assured without the store.
pub fn needs_round(group: &ManagedGroup, duty: ProbeDuty, now: Instant) -> bool {
    let view = &group.primary_view;
    let is_assured = match duty {
        ProbeDuty::Alone | ProbeDuty::ForOthers => view.is_assured(now + ASSURANCE_RESERVE),
        ProbeDuty::Served => view.is_assured(now - SERVED_ASSURANCE_GRACE),
    };
    view.row().is_some() && !is_assured
}

/// Returns the replicas that have to be asked whether they are paused without a change of
/// primary, and the term of the primary. A group without synchronous replicas pauses none.
pub fn replicas_to_resume(
    group: &ManagedGroup,
    duty: ProbeDuty,
    now: Instant,
) -> Option<(Vec<MemberKey>, Term)> {
    let view = &group.primary_view;
    let (primary, term) = view.primary().filter(|_| !view.is_changing())?;
    let is_recent = |at: Instant| now.saturating_duration_since(at) < PAUSE_CHECK_INTERVAL;
    if duty == ProbeDuty::Served
        || !group.has_sync_replicas()
        || group.pauses_checked_at.is_some_and(is_recent)
    {
        return None;
    }
    let replicas = group.members.iter();
    let replicas = replicas.filter(|(_, member)| member.server.id != primary);
    Some((replicas.map(|(key, _)| key).collect(), term))
}

/// Returns whether a replica is paused by a change that has ended: the primary of `term`
/// leads.
pub fn is_pause_outdated(paused_below: Term, term: Term) -> bool {
    paused_below > Term::default() && paused_below <= term
}

/// Returns the primary if it has to be asked for its status: neither traffic nor
/// another host showed its position recently, or its last answer failed.
pub fn primary_to_probe(group: &ManagedGroup, duty: ProbeDuty, now: Instant) -> Option<MemberKey> {
    let key = group.primary()?;
    let max_age = match duty {
        ProbeDuty::Alone => WATERMARK_AGE,
        ProbeDuty::ForOthers => SHARED_WATERMARK_AGE,
        ProbeDuty::Served => SERVED_WATERMARK_AGE,
    };
    let newest = group.newest_watermark_at();
    let is_old = newest.is_none_or(|at| now.saturating_duration_since(at) > max_age);
    let is_failing = group.members[key].contact.failures > 0;
    (is_old || is_failing).then_some(key)
}
