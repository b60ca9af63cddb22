//! Follows the rows that entry hosts share, and the list of backend servers.

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
use super::relay::ReadingKind;
use super::seam::{
    ControlTable, ControlWrite, HostPlatform, RejectedEntry, ServerListReading, TableReading,
};

/// Prefix of the keys of the groups' rows.
const GROUP_PREFIX: &str = "group/";
/// Interval of the reads of the list of backend servers: a member that is about
/// to stop gets no new work after 2 s.
const LIST_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time without a reading of the list that counts as an outage of the store: a
/// lost reading and a slow one fit in.
const LIST_GAP: Duration = Duration::from_millis(3_500);
/// Interval at which a host that is served by another one checks that.
const RELAY_CHECK: Duration = Duration::from_millis(50);
/// Interval at which a host renews its own row and counts the others.
const HOST_INTERVAL: Duration = Duration::from_secs(10);
/// The same for the first renewal, so that hosts that start together soon know
/// each other.
const FIRST_HOST_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time after which a host whose row does not change counts as dead: one
/// renewal may be lost.
const HOST_LIFETIME: Duration = Duration::from_secs(22);
/// Time that a status question for the first row of a group may take.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Value of a host's row.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct HostRow {
    /// Number of renewals since the process started.
    renewals: u64,
    /// Data centre of the host.
    data_centre: String,
    /// Address at which it passes readings on.
    relay_address: SocketAddr,
}

/// Returns the key of a group's row.
pub(super) fn group_key(group: &str) -> String {
    format!("{GROUP_PREFIX}{group}")
}

/// Reads the groups' rows until the returned future is dropped.
pub(super) async fn follow_reigns<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    platform: P,
) {
    let mut failing = false;
    loop {
        if context.relay.is_served(ReadingKind::Reigns) {
            sleep(RELAY_CHECK).await;
            continue;
        }
        let asked_at = context.clock.now();
        match platform.read_table(ControlTable::Reigns).await {
            Ok(reading) => {
                if std::mem::take(&mut failing) {
                    log::info!(revision = reading.revision; "group rows can be read again");
                }
                context.relay.publish_reigns(&reading, asked_at);
                apply_reigns(&context, &reading, asked_at);
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

pub(super) fn apply_reigns<K: StatementCodec, C: MonotonicClock>(
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
                log::error!(key = row.key.as_str(), reason = reason.as_str(); "bad group row");
            }
        }
    }
}

/// Reads the list of backend servers until the returned future is dropped.
pub(super) async fn follow_list<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: Arc<HostContext<K, C>>,
    platform: P,
) {
    let mut failing = false;
    loop {
        if context.relay.is_served(ReadingKind::Listing) {
            sleep(RELAY_CHECK).await;
            continue;
        }
        match platform.list_servers().await {
            Ok(listing) => {
                if std::mem::take(&mut failing) {
                    log::info!("server list can be read again");
                }
                context.relay.publish_listing(&listing);
                apply_listing(&context, &listing);
                propose_first_rows(&context, &platform, &listing.servers).await;
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

/// Enters a reading of the list in the groups. The first one after a gap counts
/// as the store's return.
pub(super) fn apply_listing<K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    listing: &ServerListReading,
) {
    let now = context.clock.now();
    let returned_at = {
        let mut gaps = context.listings();
        gaps.log_rejected(listing);
        gaps.note_list(now)
    };
    let mut by_group: HashMap<&str, Vec<ListedServer>> = HashMap::new();
    for server in &listing.servers {
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

/// What is remembered between readings of the list.
#[derive(Debug, Default)]
pub(super) struct ListingMemory {
    listed_at: Option<Instant>,
    returned_at: Option<Instant>,
    /// Entries that were reported, with the reason.
    rejected: HashMap<String, String>,
}

impl ListingMemory {
    /// Enters a reading; returns when the store last came back.
    fn note_list(&mut self, now: Instant) -> Option<Instant> {
        let listed_at = self.listed_at.replace(now);
        if listed_at.is_some_and(|at| now.saturating_duration_since(at) > LIST_GAP) {
            self.returned_at = Some(now);
        }
        self.returned_at
    }

    /// Logs each entry that cannot be understood once.
    fn log_rejected(&mut self, listing: &ServerListReading) {
        let rejected = &listing.rejected;
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

/// Writes the row of each group that has none, from what its primary says.
async fn propose_first_rows<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
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
        let written = write_reign(platform, &group.name, 0, &row).await;
        if let Err(error) = written {
            let reason = error.to_string();
            log::warn!(group = group.name.as_str(), reason = reason.as_str(); "first row not written");
        }
    }
}

/// Writes a group's row under a condition.
pub(super) async fn write_reign<P: HostPlatform>(
    platform: &P,
    group: &str,
    expected_revision: u64,
    row: &GroupRow,
) -> super::seam::Result<crate::services::WriteAnswer> {
    let value = encode(row);
    platform
        .write_row(&ControlWrite {
            table: ControlTable::Reigns,
            key: &group_key(group),
            expected_revision,
            value: &value,
        })
        .await
}

/// Encodes the value of a row.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("a row of texts and numbers can be encoded")
}

/// Renews the host's own row and counts the live hosts until the returned
/// future is dropped.
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
                let near = live.into_iter().filter(|(row, _)| row.data_centre == own);
                context
                    .relay
                    .set_hosts(near.map(|(_, host)| host).collect());
                renewals += 1;
                renew(&context, &platform, &reading, renewals).await;
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
                log::error!(key = row.key.as_str(), reason = reason.as_str(); "bad host row");
            }
        }
    }
    live
}

async fn renew<P: HostPlatform, K: StatementCodec, C: MonotonicClock>(
    context: &HostContext<K, C>,
    platform: &P,
    reading: &TableReading,
    renewals: u64,
) {
    let host = &context.settings.host;
    let own = reading.rows.iter().find(|row| row.key == *host);
    let value = encode(&HostRow {
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
