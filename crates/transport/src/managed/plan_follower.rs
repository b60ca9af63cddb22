//! Follows the plan, which holds the operators' routes.

use std::sync::Arc;
use std::time::Duration;

use coordination::managed::plan_view::{PlanCursor, PlanRead};
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
    let mut cursor = PlanCursor::default();
    let mut failing = false;
    loop {
        if let Some(pause) = relayed_pause(&context, ReadingKind::Plan, POLL_WAIT) {
            cursor.reset();
            sleep(pause).await;
            continue;
        }
        let asked_at = context.clock.now();
        context.metrics.count_store_call("plan");
        let read = cursor.next_read(context.relay.era());
        match next_reading(&platform, read).await {
            Ok(Some(reading)) => {
                if std::mem::take(&mut failing) {
                    let StoreRevision { era, number } = reading.revision;
                    log::info!(era = era.0, revision = number; "plan can be read again");
                }
                let is_complete = cursor.record(read, reading.revision);
                if !context.admit_era(reading.revision) {
                    sleep(FAILURE_PAUSE).await;
                    continue;
                }
                if !is_complete {
                    log::info!("the changes were read in a new era; reading the whole plan");
                    continue;
                }
                let has_plan = reading.plan.is_some() || context.plan().is_some();
                let era = reading.revision.era;
                context.relay.record_call(era, asked_at, reading.store_time);
                context.observe_plan(&reading, asked_at);
                if !has_plan {
                    cursor.reset();
                    sleep(FAILURE_PAUSE).await;
                }
            }
            Ok(None) => {
                log::info!("the store dropped the changes after the known revision; reading the whole plan");
                cursor.reset();
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
    read: PlanRead,
) -> Result<Option<PlanReading>> {
    match read {
        PlanRead::After(revision) => platform.await_plan(revision.number, POLL_WAIT).await,
        PlanRead::Whole => platform.read_plan().await.map(Some),
    }
}
