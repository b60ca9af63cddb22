//! Deletes recorded request ids that are older than the document's retention.

use std::time::{Duration, Instant};

use coordination::rendezvous;
use coordination::request_record::{pause_after_purge, purge_sql, PURGE_IDLE_PAUSE};
use protocol::frame::tag;

use super::callers::CallerSide;
use crate::backend::BackendConnection;
use crate::caller::context::GroupContext;
use crate::membership_hub::MembershipHub;

/// Longest time of one batch.
const PURGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait until the groups' primaries are known after the start.
const START_PAUSE: Duration = Duration::from_secs(1);

/// Purges until the returned future is dropped. One daemon purges a group: the
/// first live host in rendezvous order. Two that disagree about the live hosts
/// do each other no harm.
pub(super) async fn purge_requests(callers: CallerSide, hub: MembershipHub, own_host: String) {
    tokio::time::sleep(START_PAUSE).await;
    loop {
        let mut pause = PURGE_IDLE_PAUSE;
        let Some(context) = callers.context() else {
            tokio::time::sleep(START_PAUSE).await;
            continue;
        };
        let limits = context.current_document().document.limits;
        let retention = Duration::from_secs(limits.request_retention_s);
        for group in context.groups() {
            if !is_chosen(&hub, &own_host, &group.name) {
                continue;
            }
            let deleted = purge_batch(&group, retention).await.unwrap_or(0);
            pause = pause.min(pause_after_purge(deleted));
        }
        tokio::time::sleep(pause).await;
    }
}

fn is_chosen(hub: &MembershipHub, own_host: &str, group: &str) -> bool {
    let live = hub.live_peers(Instant::now());
    let others = live.others.iter().flat_map(|(_, hosts)| hosts);
    let hosts = live.own.iter().chain(others).map(String::as_str);
    let names = hosts.chain(std::iter::once(own_host));
    rendezvous::choose(&format!("purge/{group}"), names, 1) == [own_host]
}

/// Deletes one batch at the primary; returns the number of rows, or nothing
/// when that failed. A group without recorded ids has no table, which fails
/// too. The next batch tries again.
async fn purge_batch(group: &GroupContext, retention: Duration) -> Option<u64> {
    let deadline = Instant::now() + PURGE_TIMEOUT;
    let view = group.handle.view();
    let key = view.primary()?;
    let pool = group.pool_of(key, view.members.get(key)?);
    let mut connection = pool.check_out(deadline).await.ok()?;
    let deleted = delete(&mut connection, &purge_sql(retention), deadline).await;
    if let Some(rows) = deleted.filter(|rows| *rows > 0) {
        log::info!(group = group.name.as_str(); "deleted {rows} old request ids");
    }
    deleted
}

/// Runs a DELETE and reads its answer to the end, so that the connection can
/// go back to the pool.
async fn delete(connection: &mut BackendConnection, sql: &str, deadline: Instant) -> Option<u64> {
    connection.compose_query(sql);
    connection.send(deadline).await.ok()?;
    let mut deleted = None;
    loop {
        let frame = connection.next_frame(deadline).await.ok()?;
        match frame.tag() {
            tag::READY => return deleted,
            tag::COMMAND_COMPLETE => {
                let text = frame.reader().text().unwrap_or_default().to_owned();
                deleted = text
                    .strip_prefix("DELETE ")
                    .and_then(|rows| rows.parse().ok());
            }
            _ => {}
        }
    }
}
