//! Deletes request ids that are older than the retention time.

use std::time::{Duration, Instant};

use coordination::request_record::purge_sql;

use super::recorded::run_queries;
use crate::caller::context::GroupContext;

/// Deletes one batch of old request ids at the primary; returns the number of
/// deleted rows.
///
/// Nothing is deleted when the primary is unknown, unreachable or without a spare
/// connection, or when the group has no table of request ids yet; the next batch
/// tries again. The batch needs no confirmation: rows that reappear after a
/// failover are deleted by a later batch.
pub(crate) async fn purge_batch(
    group: &GroupContext,
    retention: Duration,
    deadline: Instant,
) -> u64 {
    let view = group.handle.view();
    let Some(primary) = view.primary() else {
        return 0;
    };
    let pool = group.pool_of(primary, &view.members[primary]);
    if pool.spare() == 0 {
        return 0;
    }
    let Ok(mut connection) = pool.check_out(&(), deadline).await else {
        return 0;
    };
    connection.set_term(Some(group.handle.watch_term(view.highest_term())));
    let statement = purge_sql(retention);
    match run_queries(&mut connection, &[&statement], deadline).await {
        Ok(report) if report.error.is_none() => deleted_rows(&report.command_tag),
        Ok(_) => 0,
        Err(_) => {
            connection.close();
            0
        }
    }
}

/// Parses the number of rows from a command tag such as `DELETE 3`; returns 0 for
/// other tags.
fn deleted_rows(command_tag: &str) -> u64 {
    let count = command_tag.rsplit(' ').next();
    count.and_then(|text| text.parse().ok()).unwrap_or(0)
}
