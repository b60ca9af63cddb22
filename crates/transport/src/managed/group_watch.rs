//! Watches one group: renews the assurance of its primary while the store cannot
//! be read, keeps its watermark recent, and starts a change of primary when one
//! is needed.

use std::sync::Arc;
use std::time::Duration;

use coordination::managed::change::{reason_to_change, ChangeReason};
use coordination::managed::primary_view::RoundReply;
use coordination::managed::probe::{self, ProbeDuty};
use futures::future::join_all;
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use state::log::Term;
use state::member::MemberRole;
use tokio::time::sleep;

use super::change_driver::ChangeDriver;
use super::codec::StatementCodec;
use super::context::HostContext;
use super::group_runtime::GroupRuntime;
use super::host_platform::HostPlatform;

/// Interval between checks of the group: a fraction of the time after which a
/// primary counts as lost.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which pools are maintained. After a loss of power, members close
/// the old connections within 3 s, and the freed share of connections should be
/// usable soon after that.
const POOL_MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a member has to answer a status question.
const ROUND_TIMEOUT: Duration = Duration::from_millis(600);

/// Watches a group until the returned future is dropped.
pub(super) async fn watch_group<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    group: Arc<GroupRuntime<K, C>>,
    driver: ChangeDriver<P, K, C>,
) {
    let clock = context.clock.clone();
    let mut maintained_at = clock.now();
    loop {
        sleep(WATCH_INTERVAL).await;
        let now = clock.now();
        if now.saturating_duration_since(maintained_at) >= POOL_MAINTENANCE_INTERVAL {
            maintained_at = now;
            context.settle_hosts();
            context.settle_sync_replicas(&group);
            group.maintain_pools(&context.metrics);
        }
        group.adopt_successor();
        group.with(|group| group.primary_view.update_change_times(now));
        let duty = probe_duty(&context);
        let needs_round = group.with(|group| probe::needs_round(group, duty, now));
        if needs_round {
            ask_round(&context, &group).await;
        }
        probe_primary(&context, &group, duty).await;
        resume_replicas(&context, &group, duty).await;
        let reason = group.with(|group| reason_to_change(group, clock.now()));
        let may_run = |reason: &ChangeReason| {
            let may_restore = || group.with(|group| probe::may_restore(group, duty, clock.now()));
            *reason != ChangeReason::Restored || may_restore()
        };
        if let Some(reason) = reason.filter(may_run) {
            driver.run(&group, reason).await;
        }
    }
}

/// Returns which part of the questions to members falls to this host.
fn probe_duty<K: StatementCodec, C: MonotonicClock>(context: &HostContext<K, C>) -> ProbeDuty {
    match (context.relay.is_served(), context.relay.is_asked()) {
        (true, _) => ProbeDuty::Served,
        (false, true) => ProbeDuty::ForOthers,
        (false, false) => ProbeDuty::Alone,
    }
}

/// Asks every member except the primary for its role and term, so that the
/// primary stays assured if none of them leads.
async fn ask_round<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    group: &GroupRuntime<K, C>,
) {
    let clock = &context.clock;
    let others: Vec<(MemberKey, String)> = group.with(|group| {
        let primary = group.primary_view.row().map(|row| row.primary.clone());
        let others = group.members.iter();
        others
            .filter(|(_, member)| Some(&member.server.id) != primary.as_ref())
            .map(|(key, member)| (key, member.server.id.clone()))
            .collect()
    });
    let asked_at = clock.now();
    let metrics = &context.metrics;
    metrics.count_status_questions("assurance", others.len());
    let questions = others
        .iter()
        .map(|(key, _)| group.ask_status(*key, ROUND_TIMEOUT));
    let answers: Vec<Option<(MemberRole, Term)>> = join_all(questions)
        .await
        .into_iter()
        .map(|answer| {
            answer
                .ok()
                .map(|status| (status.role, status.newest_term()))
        })
        .collect();
    let replies: Vec<RoundReply<'_>> = others
        .iter()
        .zip(answers)
        .map(|((_, member), answer)| RoundReply {
            member: member.as_str(),
            answer,
        })
        .collect();
    let now = clock.now();
    group.with(|group| group.primary_view.observe_round(&replies, asked_at, now));
    group.wake();
    context.relay.offer_digests();
}

/// Lets replicas receive again that a change of primary paused which has ended.
async fn resume_replicas<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    group: &GroupRuntime<K, C>,
    duty: ProbeDuty,
) {
    let now = context.clock.now();
    let due = group.with(|group| {
        let due = probe::replicas_to_resume(group, duty, now)?;
        group.pauses_checked_at = Some(now);
        Some(due)
    });
    let Some((replicas, term)) = due else {
        return;
    };
    context
        .metrics
        .count_status_questions("pause", replicas.len());
    // A request to step down below the primary's term changes no replica and takes no slot.
    let questions = replicas
        .iter()
        .map(|key| group.step_down(*key, term, ROUND_TIMEOUT));
    let answers = join_all(questions).await;
    for (key, answer) in replicas.iter().zip(answers) {
        // `step_down` records and logs a failure.
        let Ok(status) = answer else {
            continue;
        };
        if probe::is_pause_outdated(status.paused_below, term) {
            let is_resumed = group.resume(*key, ROUND_TIMEOUT).await.is_ok();
            log::warn!(
                group = group.name.as_str(), paused_below = status.paused_below.0,
                term = term.0, is_resumed;
                "replica was paused without a change of primary"
            );
        }
    }
}

/// Asks the primary for its status if recent traffic did not show its position,
/// or if its last answer failed.
async fn probe_primary<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    group: &GroupRuntime<K, C>,
    duty: ProbeDuty,
) {
    let now = context.clock.now();
    if let Some(key) = group.with(|group| probe::primary_to_probe(group, duty, now)) {
        context.metrics.count_status_questions("watermark", 1);
        // `probe_status` records the answer or the failure in the group.
        let _status = group.probe_status(key, ROUND_TIMEOUT).await;
    }
}
