//! Watches one group: keeps its primary assured while the store is away, keeps
//! its watermark fresh, and starts a change of primary when one is needed.

use std::sync::Arc;
use std::time::Duration;

use coordination::managed::change::reason_to_change;
use coordination::managed::primary_view::RoundReply;
use futures::future::join_all;
use state::clock::MonotonicClock;
use state::keys::MemberKey;
use state::log::Term;
use state::member::MemberRole;
use tokio::time::sleep;

use super::change_driver::ChangeDriver;
use super::codec::StatementCodec;
use super::group_runtime::GroupRuntime;
use super::seam::HostPlatform;

/// Interval of the watch: a fraction of the time after which a primary counts
/// as lost.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which pools are tidied. After a loss of power members drop the
/// old connections within 3 s, and the share is to be used soon after.
const TIDY_INTERVAL: Duration = Duration::from_millis(500);
/// Time before the end of an assurance at which the members are asked.
const ASSURANCE_RESERVE: Duration = Duration::from_millis(200);
/// Age of the newest watermark at which the primary is asked for one. Routes
/// tolerate 1.5 s and more.
const WATERMARK_AGE: Duration = Duration::from_millis(600);
/// Time that a member gets to answer a round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(600);

/// Watches a group until the returned future is dropped.
pub(super) async fn watch_group<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    group: Arc<GroupRuntime<K, C>>,
    clock: C,
    driver: ChangeDriver<P, K, C>,
) {
    let mut tidied_at = clock.now();
    loop {
        sleep(WATCH_INTERVAL).await;
        let now = clock.now();
        if now.saturating_duration_since(tidied_at) >= TIDY_INTERVAL {
            tidied_at = now;
            group.tidy_pools();
        }
        group.adopt_successor();
        group.with(|group| group.primary_view.update_change_times(now));
        let needs_round = group.with(|group| {
            group.primary_view.row().is_some()
                && !group.primary_view.is_assured(now + ASSURANCE_RESERVE)
        });
        if needs_round {
            ask_round(&group, &clock).await;
        }
        probe_primary(&group, &clock).await;
        let reason = group.with(|group| reason_to_change(group, clock.now()));
        if let Some(reason) = reason {
            driver.run(&group, reason).await;
        }
    }
}

/// Asks all members but the primary whether one of them leads.
async fn ask_round<K: StatementCodec, C: MonotonicClock>(group: &GroupRuntime<K, C>, clock: &C) {
    let others: Vec<(MemberKey, String)> = group.with(|group| {
        let primary = group.primary_view.row().map(|row| row.primary.clone());
        let others = group.members.iter();
        others
            .filter(|(_, member)| Some(&member.server.id) != primary.as_ref())
            .map(|(key, member)| (key, member.server.id.clone()))
            .collect()
    });
    let asked_at = clock.now();
    let questions = others
        .iter()
        .map(|(key, _)| group.ask_status(*key, ROUND_TIMEOUT));
    let answers: Vec<Option<(MemberRole, Term)>> = join_all(questions)
        .await
        .into_iter()
        .map(|answer| answer.ok().map(|status| (status.role, status.term)))
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
}

/// Asks the primary for its status when traffic does not show its position, or
/// when it failed.
async fn probe_primary<K: StatementCodec, C: MonotonicClock>(
    group: &GroupRuntime<K, C>,
    clock: &C,
) {
    let now = clock.now();
    let primary = group.with(|group| {
        let key = group.primary()?;
        let newest = group.newest_watermark_at();
        let is_old = newest.is_none_or(|at| now.saturating_duration_since(at) > WATERMARK_AGE);
        let is_failing = group.members[key].contact.failures > 0;
        (is_old || is_failing).then_some(key)
    });
    if let Some(key) = primary {
        // Answers and failures are entered by the question itself.
        let _status = group.ask_status(key, ROUND_TIMEOUT).await;
    }
}
