//! Reads the groups' rows, the entry hosts' rows and the list of backend servers,
//! and writes the rows that belong to this host.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coordination::managed::primary_view::{GroupRow, READ_INTERVAL};
use coordination::managed::reader::ReaderHost;
use serde::{Deserialize, Serialize};
use state::clock::MonotonicClock;
use state::member::MemberRole;
use state::server_list::ListedServer;
use tokio::time::sleep;

use super::codec::StatementCodec;
use super::context::HostContext;
use super::host_platform::{
    ControlTable, ControlWrite, HostPlatform, RejectedEntry, ServerListReading, TableReading,
};
use super::relay::ReadingKind;

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
/// Interval at which a host renews its own row and counts the live hosts.
const HOST_INTERVAL: Duration = Duration::from_secs(10);
/// Interval before the second renewal, so that hosts that start at the same time
/// soon know each other.
const FIRST_HOST_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time after which a host counts as dead if its row does not change. One renewal
/// may be lost without that.
const HOST_LIFETIME: Duration = Duration::from_secs(22);
/// Timeout of the status question that precedes the first row of a group.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Value of an entry host's row.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct HostRow {
    /// Number of renewals since the process started.
    renewals: u64,
    /// Data centre of the host.
    data_centre: String,
    /// Address at which the host passes readings on to other hosts.
    relay_address: SocketAddr,
}

/// Returns the key of a group's row.
pub(super) fn group_key(group: &str) -> String {
    format!("{GROUP_PREFIX}{group}")
}

/// Reads the groups' rows periodically until the returned future is dropped.
pub(super) async fn follow_group_rows<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    platform: P,
) {
    let mut failing = false;
    loop {
        if context.relay.has_recent_reading(ReadingKind::GroupRows) {
            sleep(RELAY_CHECK_INTERVAL).await;
            continue;
        }
        let asked_at = context.clock.now();
        match platform.read_table(ControlTable::Groups).await {
            Ok(reading) => {
                if std::mem::take(&mut failing) {
                    log::info!(revision = reading.revision; "group rows can be read again");
                }
                context.relay.publish_group_rows(&reading, asked_at);
                apply_group_rows(&context, &reading, asked_at);
            }
            Err(error) => {
                context.metrics.count_store_failure("reigns");
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
        sleep(intervals.min().unwrap_or(READ_INTERVAL)).await;
    }
}

pub(super) fn apply_group_rows<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    reading: &TableReading,
    asked_at: Instant,
) {
    for row in &reading.rows {
        let Some(name) = row.key.strip_prefix(GROUP_PREFIX) else {
            continue;
        };
        match serde_json::from_slice::<GroupRow>(&row.value) {
            Ok(value) => context
                .group(name)
                .observe_row(&value, row.revision, asked_at),
            Err(error) => {
                let reason = error.to_string();
                log::error!(
                    key = row.key.as_str(), reason = reason.as_str();
                    "cannot decode a group row"
                );
            }
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
        if context.relay.has_recent_reading(ReadingKind::ServerList) {
            sleep(RELAY_CHECK_INTERVAL).await;
            continue;
        }
        match platform.list_servers().await {
            Ok(reading) => {
                if std::mem::take(&mut failing) {
                    log::info!("server list can be read again");
                }
                context.relay.publish_server_list(&reading);
                apply_server_list(&context, &reading);
                create_missing_rows(&context, &platform, &reading.servers).await;
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

/// Applies a reading of the server list to all groups. The first reading after an
/// outage marks the store's return.
pub(super) fn apply_server_list<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    reading: &ServerListReading,
) {
    let now = context.clock.now();
    let returned_at = {
        let mut history = context.server_list_history();
        history.log_rejected(reading);
        history.record_reading(now)
    };
    let mut by_group: HashMap<&str, Vec<ListedServer>> = HashMap::new();
    for server in &reading.servers {
        let group = by_group.entry(&server.group).or_default();
        group.push(server.clone());
    }
    for name in by_group.keys() {
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
    /// Keys of the invalid entries that were logged, with the reason.
    rejected: HashMap<String, String>,
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

    /// Logs each invalid entry once for each reason.
    fn log_rejected(&mut self, reading: &ServerListReading) {
        let rejected = &reading.rejected;
        self.rejected
            .retain(|key, _| rejected.iter().any(|entry| entry.key == *key));
        for RejectedEntry { key, reason } in rejected {
            let known = self.rejected.insert(key.clone(), reason.clone());
            if known.as_ref() != Some(reason) {
                log::warn!(entry = key.as_str(), reason = reason.as_str(); "server entry ignored");
            }
        }
    }
}

/// Creates the row of each group that has none, from its primary's status.
async fn create_missing_rows<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    platform: &P,
    servers: &[ListedServer],
) {
    for server in servers.iter().filter(|one| one.role == MemberRole::Primary) {
        let group = context.group(&server.group);
        if group.with(|group| group.primary_view.row().is_some()) {
            continue;
        }
        let Some(key) = group.with(|group| group.find(&server.id)) else {
            continue;
        };
        let Ok(status) = group.ask_status(key, STATUS_TIMEOUT).await else {
            continue;
        };
        if status.role != MemberRole::Primary {
            continue;
        }
        let row = GroupRow {
            primary: server.id.clone(),
            term: status.term,
            change: None,
        };
        let written = write_group_row(platform, &group.name, 0, &row).await;
        if let Err(error) = written {
            let reason = error.to_string();
            log::warn!(
                group = group.name.as_str(), reason = reason.as_str();
                "cannot write the first row of a group"
            );
        }
    }
}

/// Writes a group's row if it has the expected revision.
pub(super) async fn write_group_row<P: HostPlatform>(
    platform: &P,
    group: &str,
    expected_revision: u64,
    row: &GroupRow,
) -> super::host_platform::Result<crate::services::WriteAnswer> {
    let value = encode_row(row);
    platform
        .write_row(&ControlWrite {
            table: ControlTable::Groups,
            key: &group_key(group),
            expected_revision,
            value: &value,
        })
        .await
}

/// Encodes the value of a row as JSON.
pub(super) fn encode_row<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("a row of texts and numbers can be encoded")
}

/// Renews the host's own row and counts the live hosts periodically until the
/// returned future is dropped.
pub(super) async fn follow_hosts<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    platform: P,
) {
    let mut renewals = 0;
    let mut seen: HashMap<String, (u64, Instant)> = HashMap::new();
    loop {
        match platform.read_table(ControlTable::Hosts).await {
            Ok(reading) => {
                let now = context.clock.now();
                let live = live_hosts(&reading, &mut seen, now);
                let count = u32::try_from(live.len()).unwrap_or(u32::MAX);
                for group in context.groups() {
                    group.set_host_count(count);
                }
                let own = context.settings.data_centre.as_str();
                let local_hosts = live.into_iter().filter(|(row, _)| row.data_centre == own);
                context
                    .relay
                    .set_hosts(local_hosts.map(|(_, host)| host).collect());
                renewals += 1;
                renew_host_row(&context, &platform, &reading, renewals).await;
            }
            Err(error) => {
                context.metrics.count_store_failure("hosts");
                log::debug!(reason = error.to_string().as_str(); "host rows cannot be read");
            }
        }
        sleep(match renewals {
            0 | 1 => FIRST_HOST_INTERVAL,
            _ => HOST_INTERVAL,
        })
        .await;
    }
}

fn live_hosts(
    reading: &TableReading,
    seen: &mut HashMap<String, (u64, Instant)>,
    now: Instant,
) -> Vec<(HostRow, ReaderHost<SocketAddr>)> {
    let mut live = Vec::new();
    for row in &reading.rows {
        let entry = seen.entry(row.key.clone()).or_insert((row.revision, now));
        if entry.0 != row.revision {
            *entry = (row.revision, now);
        }
        if now.saturating_duration_since(entry.1) >= HOST_LIFETIME {
            continue;
        }
        match serde_json::from_slice::<HostRow>(&row.value) {
            Ok(value) => {
                let host = ReaderHost {
                    name: row.key.clone(),
                    address: value.relay_address,
                };
                live.push((value, host));
            }
            Err(error) => {
                let reason = error.to_string();
                log::error!(
                    key = row.key.as_str(), reason = reason.as_str();
                    "cannot decode a host row"
                );
            }
        }
    }
    live
}

async fn renew_host_row<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    platform: &P,
    reading: &TableReading,
    renewals: u64,
) {
    let host = &context.settings.host;
    let own = reading.rows.iter().find(|row| row.key == *host);
    let value = encode_row(&HostRow {
        renewals,
        data_centre: context.settings.data_centre.clone(),
        relay_address: context.settings.relay_address,
    });
    let written = platform
        .write_row(&ControlWrite {
            table: ControlTable::Hosts,
            key: host,
            expected_revision: own.map_or(0, |row| row.revision),
            value: &value,
        })
        .await;
    if let Err(error) = written {
        context.metrics.count_store_failure("hosts");
        log::debug!(reason = error.to_string().as_str(); "own host row not renewed");
    }
}
