//! Follows the plan, which holds the operators' routes.

use std::sync::Arc;
use std::time::Duration;

use state::clock::MonotonicClock;
use tokio::time::sleep;

use super::codec::StatementCodec;
use super::context::HostContext;
use super::host_platform::{HostPlatform, PlanReading, Result, StoreRevision};
use super::relay::ReadingKind;
use super::store_follower::relayed_pause;

/// Longest wait of one long poll. If the connection fails without notice, a new
/// version is delayed by at most this wait plus the time that the client allows
/// on top. Operators expect a new version within 3 s.
const POLL_WAIT: Duration = Duration::from_millis(1_800);
/// Pause after a failed call. The calls for the other readings notice the store's
/// return, too.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Reads each new version of the plan until the returned future is dropped.
pub(super) async fn follow_plan<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    platform: P,
) {
    let mut known_revision = None;
    let mut failing = false;
    loop {
        if let Some(pause) = relayed_pause(&context, ReadingKind::Plan, POLL_WAIT) {
            known_revision = None;
            sleep(pause).await;
            continue;
        }
        let asked_at = context.clock.now();
        context.metrics.count_store_call("plan");
        match next_reading(&platform, known_revision).await {
            Ok(Some(reading)) => {
                if std::mem::take(&mut failing) {
                    let StoreRevision { era, number } = reading.revision;
                    log::info!(era = era.0, revision = number; "plan can be read again");
                }
                context.observe_era(reading.revision);
                let has_plan = reading.plan.is_some() || context.plan().is_some();
                known_revision = has_plan.then_some(reading.revision.number);
                context.relay.record_call(asked_at, reading.store_time);
                context.relay.offer_plan(&reading);
                context.observe_plan(reading.plan, asked_at);
                if !has_plan {
                    sleep(FAILURE_PAUSE).await;
                }
            }
            Ok(None) => {
                log::info!("the store dropped the changes after the known revision; reading the whole plan");
                known_revision = None;
            }
            Err(error) => {
                context.metrics.count_store_failure("plan");
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(reason = error.to_string().as_str(); "plan cannot be read");
                }
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

async fn next_reading<P: HostPlatform>(
    platform: &P,
    known_revision: Option<u64>,
) -> Result<Option<PlanReading>> {
    match known_revision {
        Some(revision) => platform.await_plan(revision, POLL_WAIT).await,
        None => platform.read_plan().await.map(Some),
    }
}
