//! Reads which entry hosts are live, and renews the row of this host's data centre.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coordination::managed::presence::PresenceRow;
use state::clock::MonotonicClock;
use state::reading::{LiveHost, TableReading};

use super::codec::StatementCodec;
use super::context::HostContext;
use super::host_platform::{ControlTable, ControlWrite, HostPlatform};
use super::store_follower::encode_row;
use crate::services::WriteAnswer;

/// Longest time between two looks at whether the row has to be renewed. The reader
/// may change at any time.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(1_000);

/// Reads the live hosts and renews the data centre's row, while no other host of the
/// data centre does, until the returned future is dropped.
pub(super) async fn follow_hosts<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    platform: P,
) {
    let hub = &context.relay;
    loop {
        let wait = hub.renewal_wait().unwrap_or(CHECK_INTERVAL);
        if !wait.is_zero() {
            hub.await_hosts(wait.min(CHECK_INTERVAL)).await;
            continue;
        }
        let asked_at = context.clock.now();
        context.metrics.count_store_call("presence");
        match platform.read_table(ControlTable::Presence).await {
            Ok(reading) => {
                if !context.admit_era(reading.revision) {
                    tokio::time::sleep(FAILURE_PAUSE).await;
                    continue;
                }
                hub.record_call(reading.revision.era, asked_at, reading.store_time);
                apply_presence(&context, &platform, &reading).await;
                hub.record_start();
            }
            Err(error) => {
                context.metrics.count_store_failure("presence");
                log::debug!(reason = error.to_string().as_str(); "live hosts cannot be read");
                hub.record_start();
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Applies a reading of the live hosts, and renews the row of the data centre unless
/// another live host of it does.
async fn apply_presence<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    platform: &P,
    reading: &TableReading,
) {
    let hub = &context.relay;
    let own = context.settings.data_centre.as_str();
    let mut rows = decode_rows(reading);
    context.apply_hosts(&live_hosts(&rows, reading.store_time));
    if hub.renewal_wait().is_none() {
        return;
    }
    hub.record_renewal();
    let known = rows.remove(own).unwrap_or_default();
    let (renewed, has_to_write) = hub.renewed_row(&known, reading.store_time);
    if !has_to_write {
        rows.insert(own.to_owned(), renewed);
        return context.apply_hosts(&live_hosts(&rows, reading.store_time));
    }
    let revision = reading
        .rows
        .iter()
        .find(|row| row.key == own)
        .map_or(0, |row| row.revision);
    context.metrics.count_store_call("presence_write");
    let value = encode_row(&renewed);
    let written = platform
        .write_row(&ControlWrite {
            table: ControlTable::Presence,
            key: own,
            expected_revision: revision,
            conditions: &[],
            value: &value,
            removed: &[],
        })
        .await;
    let row = match written {
        Ok(WriteAnswer::Written { .. }) => renewed,
        Ok(WriteAnswer::Conflict { row }) => {
            let current = decode_row(own, row.value.as_bytes()).unwrap_or_default();
            hub.renewed_row(&current, reading.store_time).0
        }
        Err(error) => {
            context.metrics.count_store_failure("presence_write");
            log::debug!(reason = error.to_string().as_str(); "live hosts not renewed");
            renewed
        }
    };
    rows.insert(own.to_owned(), row);
    context.apply_hosts(&live_hosts(&rows, reading.store_time));
}

/// Decodes the rows by data centre. A row that cannot be decoded counts as missing
/// and is written anew.
fn decode_rows(reading: &TableReading) -> BTreeMap<String, PresenceRow> {
    let rows = reading.rows.iter();
    rows.filter_map(|row| Some((row.key.clone(), decode_row(&row.key, &row.value)?)))
        .collect()
}

fn decode_row(key: &str, value: &[u8]) -> Option<PresenceRow> {
    match serde_json::from_slice(value) {
        Ok(row) => Some(row),
        Err(error) => {
            let reason = error.to_string();
            log::error!(key, reason = reason.as_str(); "cannot decode a row of live hosts");
            None
        }
    }
}

fn live_hosts(rows: &BTreeMap<String, PresenceRow>, store_time: Duration) -> Vec<LiveHost> {
    rows.iter()
        .flat_map(|(data_centre, row)| row.live_hosts(data_centre, store_time))
        .collect()
}
