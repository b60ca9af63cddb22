//! Reads the groups' rows and the list of backend servers, and creates missing rows.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::managed::era::{marked_era, marker_key, EraMarker, EraRow};
use coordination::managed::primary_view::{GroupRow, RowReading, READ_INTERVAL};
use coordination::managed::reader::ReadingSource;
use futures::future::join_all;
use serde::Serialize;
use state::clock::MonotonicClock;
use state::member::MemberRole;
use state::server_list::ListedServer;
use tokio::time::sleep;

use super::codec::StatementCodec;
use super::context::HostContext;
use super::host_platform::{
    ControlTable, ControlWrite, HostPlatform, RejectedEntry, RowCondition, ServerListReading,
    StoreRevision, StoredRow, TableReading,
};
use super::relay::ReadingKind;
use crate::services::WriteAnswer;

/// Prefix of the keys of group rows.
const GROUP_PREFIX: &str = "group/";
/// Interval between reads of the list of backend servers. It ensures that a member
/// that is about to stop gets no new statements after 2 s.
const LIST_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time between two readings of the list from which on the store counts as having
/// been out of service. One lost reading followed by a slow one takes less.
const LIST_OUTAGE_AGE: Duration = Duration::from_millis(3_500);
/// Interval at which a host checks whether another host still reads for it.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of log lines about invalid entries in one [`REJECTION_PERIOD`]. Lines
/// of level warn have no other limit, and an entry may change at every reading.
const REJECTION_LINES: usize = 20;
/// Period in which these lines are counted.
const REJECTION_PERIOD: Duration = Duration::from_secs(60);
/// Timeout of the status question that precedes the first row of a group.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest pause of a host that has no reading yet and leaves the store to others.
/// Callers wait for it, so that it looks for a reader or for its turn at the store more
/// often than a host whose last reading is late.
const FIRST_READING_PAUSE: Duration = Duration::from_millis(300);

/// Returns the key of a group's row.
pub(super) fn group_key(group: &str) -> String {
    format!("{GROUP_PREFIX}{group}")
}

/// Returns the time until the source of a reading is looked at again, or `None` if
/// this host has to read the store now. `interval` is that of the readings.
pub(super) fn relayed_pause<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    kind: ReadingKind,
    interval: Duration,
) -> Option<Duration> {
    match context.relay.source(kind) {
        ReadingSource::Store => None,
        ReadingSource::Reader => Some(RELAY_CHECK_INTERVAL),
        ReadingSource::Skip if context.relay.has_reading(kind) => Some(interval),
        ReadingSource::Skip => Some(interval.min(FIRST_READING_PAUSE)),
    }
}

/// Reads the groups' rows periodically until the returned future is dropped.
pub(super) async fn follow_group_rows<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    platform: P,
) {
    let mut failing = false;
    loop {
        if let Some(pause) = relayed_pause(&context, ReadingKind::GroupRows, READ_INTERVAL) {
            sleep(pause).await;
            continue;
        }
        let asked_at = context.clock.now();
        context.metrics.count_store_call("group_rows");
        match platform.read_table(ControlTable::Groups).await {
            Ok(reading) => {
                if std::mem::take(&mut failing) {
                    let StoreRevision { era, number } = reading.revision;
                    log::info!(era = era.0, revision = number; "group rows can be read again");
                }
                let era = reading.revision.era;
                if context.admit_era(reading.revision) {
                    let store_time = reading.store_time;
                    context.relay.record_call(era, asked_at, store_time);
                    context.relay.offer_group_rows(&reading);
                    apply_group_rows(&context, &reading, asked_at);
                    mark_era(&context, &platform, &reading).await;
                }
            }
            Err(error) => {
                context.metrics.count_store_failure("group_rows");
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(reason = error.to_string().as_str(); "group rows cannot be read");
                }
            }
        }
        let now = context.clock.now();
        let groups = context.groups();
        let intervals = groups
            .iter()
            .map(|group| group.with(|group| group.primary_view.read_interval(now)));
        // The interval runs from call to call, so that a slow store does not stretch it
        // beyond the assurances.
        let elapsed = now.saturating_duration_since(asked_at);
        let interval = intervals.min().unwrap_or(READ_INTERVAL);
        sleep(interval.saturating_sub(elapsed)).await;
    }
}

pub(super) fn apply_group_rows<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    reading: &TableReading,
    asked_at: Instant,
) {
    let era = reading.revision.era;
    let marker = find_marker(reading);
    if let Some(marker) = marker {
        context.relay.record_marker(marker);
        context.metrics.set_store_era(era.0);
    }
    let is_settled = marker.is_some_and(|marker| marker.is_settled());
    let mut stored = HashSet::new();
    for row in &reading.rows {
        let Some(name) = row.key.strip_prefix(GROUP_PREFIX) else {
            continue;
        };
        stored.insert(name);
        match serde_json::from_slice::<GroupRow>(&row.value) {
            Ok(value) => context.group(name).observe_row(&RowReading {
                row: &value,
                revision: StoreRevision::new(era, row.revision),
                asked_at,
                is_settled,
            }),
            Err(error) => {
                let reason = error.to_string();
                log::error!(
                    key = row.key.as_str(), reason = reason.as_str();
                    "cannot decode a group row"
                );
            }
        }
    }
    for group in context.groups() {
        if !stored.contains(group.name.as_str()) {
            group.with(|group| group.primary_view.observe_absence(era));
        }
    }
}

/// Returns the marker of a reading's era.
pub(super) fn find_marker(reading: &TableReading) -> Option<EraMarker> {
    let era = reading.revision.era;
    let key = marker_key(era);
    let row = reading.rows.iter().find(|row| row.key == key)?;
    match serde_json::from_slice(&row.value) {
        Ok(value) => Some(EraMarker::new(era, row.revision, value, reading.store_time)),
        Err(error) => {
            let reason = error.to_string();
            log::error!(key = key.as_str(), reason = reason.as_str(); "cannot decode the marker of an era");
            None
        }
    }
}

/// Creates the marker of a reading's era if there is none, in place of those of former
/// eras. Returns the marker, or `None` if another host was first or the write failed;
/// the next reading shows it then.
pub(super) async fn mark_era<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    platform: &P,
    reading: &TableReading,
) -> Option<EraMarker> {
    let era = reading.revision.era;
    let key = marker_key(era);
    if let Some(marker) = find_marker(reading) {
        return Some(marker);
    }
    let known = reading.rows.iter().find(|row| row.key == key);
    let former = reading
        .rows
        .iter()
        .filter(|row| marked_era(&row.key).is_some_and(|marked| marked != era));
    let former: Vec<&StoredRow> = former.collect();
    let conditions: Vec<RowCondition<'_>> = former
        .iter()
        .map(|row| RowCondition {
            key: &row.key,
            revision: row.revision,
        })
        .collect();
    let removed: Vec<&str> = former.iter().map(|row| row.key.as_str()).collect();
    let row = EraRow::new(reading.store_time);
    context.metrics.count_store_call("era_write");
    let written = platform
        .write_row(&ControlWrite {
            table: ControlTable::Groups,
            key: &key,
            expected_revision: known.map_or(0, |row| row.revision),
            conditions: &conditions,
            value: &encode_row(&row),
            removed: &removed,
        })
        .await;
    match written {
        Ok(WriteAnswer::Written { revision }) => {
            log::info!(era = era.0, revision, removed = removed.len(); "era marked");
            let marker = EraMarker::new(era, revision, row, reading.store_time);
            context.relay.record_marker(marker);
            Some(marker)
        }
        Ok(WriteAnswer::Conflict { .. }) => None,
        Err(error) => {
            context.metrics.count_store_failure("era_write");
            log::warn!(era = era.0, reason = error.to_string().as_str(); "cannot mark the era");
            None
        }
    }
}

/// Reads the list of backend servers periodically until the returned future is
/// dropped.
pub(super) async fn follow_server_list<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    platform: P,
) {
    let mut failing = false;
    loop {
        if let Some(pause) = relayed_pause(&context, ReadingKind::ServerList, LIST_INTERVAL) {
            sleep(pause).await;
            continue;
        }
        context.metrics.count_store_call("servers");
        match platform.list_servers().await {
            Ok(reading) => {
                if std::mem::take(&mut failing) {
                    log::info!(era = reading.era.0; "server list can be read again");
                }
                if context.admit_era(StoreRevision::new(reading.era, 0)) {
                    context.relay.offer_server_list(&reading);
                    apply_server_list(&context, &reading);
                    create_missing_rows(&context, &platform, &reading.servers).await;
                }
            }
            Err(error) => {
                context.metrics.count_store_failure("servers");
                if !std::mem::replace(&mut failing, true) {
                    log::warn!(reason = error.to_string().as_str(); "server list cannot be read");
                }
            }
        }
        sleep(LIST_INTERVAL).await;
    }
}

/// Applies a reading of the server list to all groups. Members of groups that the plan
/// does not name are ignored until the first reading after it does. The first reading
/// after an outage marks the store's return.
pub(super) fn apply_server_list<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    reading: &ServerListReading,
) {
    let now = context.clock.now();
    let returned_at = {
        let mut history = context.server_list_history();
        history.rejections.record(&reading.rejected, now);
        history.record_reading(now)
    };
    let mut by_group: HashMap<&str, Vec<ListedServer>> = HashMap::new();
    for server in &reading.servers {
        let group = by_group.entry(&server.group).or_default();
        group.push(server.clone());
    }
    for name in by_group.keys().filter(|name| context.may_serve(name)) {
        context.group(name);
    }
    for group in context.groups() {
        let servers = by_group.remove(group.name.as_str()).unwrap_or_default();
        group.apply_list(&servers, returned_at);
    }
}

/// State that is kept between readings of the server list.
#[derive(Debug, Default)]
pub(super) struct ServerListHistory {
    listed_at: Option<Instant>,
    returned_at: Option<Instant>,
    rejections: RejectionLog,
}

/// Which invalid entries were logged.
#[derive(Debug, Default)]
struct RejectionLog {
    /// Invalid entries of the newest reading by key, with their reasons.
    known: HashMap<String, String>,
    /// Begin of the period in which the lines are counted.
    began_at: Option<Instant>,
    /// Lines of the period.
    lines: usize,
    /// New invalid entries and reasons of the period that were not logged.
    omitted: usize,
}

impl RejectionLog {
    /// Logs each invalid entry once for each reason, at most [`REJECTION_LINES`] in a
    /// period, and the number of those that were omitted after its end.
    fn record(&mut self, rejected: &[RejectedEntry], now: Instant) {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= REJECTION_PERIOD;
        if self.began_at.is_none_or(is_over) {
            if self.omitted > 0 {
                log::warn!(count = self.omitted; "server entries ignored");
            }
            (self.began_at, self.lines, self.omitted) = (Some(now), 0, 0);
        }
        let mut former = std::mem::take(&mut self.known);
        for RejectedEntry { key, reason } in rejected {
            if former.remove(key).as_ref() != Some(reason) {
                self.log(key, reason);
            }
            self.known.insert(key.clone(), reason.clone());
        }
    }

    fn log(&mut self, key: &str, reason: &str) {
        if self.lines >= REJECTION_LINES {
            self.omitted += 1;
            return;
        }
        self.lines += 1;
        log::warn!(entry = key, reason; "server entry ignored");
    }
}

impl ServerListHistory {
    /// Records a reading at `now`. Returns when the store last became readable again
    /// after an outage.
    fn record_reading(&mut self, now: Instant) -> Option<Instant> {
        let listed_at = self.listed_at.replace(now);
        if listed_at.is_some_and(|at| now.saturating_duration_since(at) > LIST_OUTAGE_AGE) {
            self.returned_at = Some(now);
        }
        self.returned_at
    }

    /// Records that the store returned from an older copy of the list.
    pub(super) fn record_return(&mut self, now: Instant) {
        self.returned_at = Some(now);
    }
}

/// Creates the row of each group that has none, from its primary's status. The members
/// are asked at the same time, so that those that do not answer delay the next reading
/// of the list by one timeout.
async fn create_missing_rows<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    platform: &P,
    servers: &[ListedServer],
) {
    let primaries = servers
        .iter()
        .filter(|one| one.role == MemberRole::Primary && context.may_serve(&one.group));
    join_all(primaries.map(|server| create_missing_row(context, platform, server))).await;
}

/// Creates the row of the group of `server` if there is none and the server leads.
async fn create_missing_row<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    platform: &P,
    server: &ListedServer,
) {
    let group = context.group(&server.group);
    if group.with(|group| group.primary_view.stored().is_some()) {
        return;
    }
    let Some(marker) = context.relay.marker() else {
        return;
    };
    let Some(key) = group.with(|group| group.find(&server.id)) else {
        return;
    };
    let Ok(status) = group.ask_status(key, STATUS_TIMEOUT).await else {
        return;
    };
    if status.role != MemberRole::Primary {
        return;
    }
    let row = GroupRow {
        primary: server.id.clone(),
        term: status.term,
        change: None,
    };
    let is_behind = |known: &GroupRow| known.progress() > row.progress();
    if group.with(|group| group.primary_view.row().is_some_and(is_behind)) {
        // The store lost the row; `ChangeReason::Restored` writes it again.
        return;
    }
    let written = write_group_row(platform, &group.name, 0, &marker, &row).await;
    if let Err(error) = written {
        let reason = error.to_string();
        log::warn!(
            group = group.name.as_str(), reason = reason.as_str();
            "cannot write the first row of a group"
        );
    }
}

/// Writes a group's row if it has the expected revision.
pub(super) async fn write_group_row<P: HostPlatform>(
    platform: &P,
    group: &str,
    expected_revision: u64,
    marker: &EraMarker,
    row: &GroupRow,
) -> super::host_platform::Result<WriteAnswer> {
    write_in_era(
        platform,
        &group_key(group),
        expected_revision,
        marker,
        &encode_row(row),
    )
    .await
}

/// Writes a row of the groups' table if it has the expected revision in the marked era.
pub(super) async fn write_in_era<P: HostPlatform>(
    platform: &P,
    key: &str,
    expected_revision: u64,
    marker: &EraMarker,
    value: &[u8],
) -> super::host_platform::Result<WriteAnswer> {
    let guard = RowCondition {
        key: &marker_key(marker.era),
        revision: marker.revision,
    };
    platform
        .write_row(&ControlWrite {
            table: ControlTable::Groups,
            key,
            expected_revision,
            conditions: &[guard],
            value,
            removed: &[],
        })
        .await
}

/// Encodes the value of a row as JSON.
pub(super) fn encode_row<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("a row of texts and numbers can be encoded")
}
