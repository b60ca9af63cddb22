//! Reads and writes the takeover rows in the platform's table. The row of a host
//! names the hosts that have claimed its connection shares.

use coordination::connection_shares::{takeover_key, TakeoverRow};
use serde::{Deserialize, Serialize};

use crate::services::{Result, TableRow, TableService, WriteAnswer};

/// Stands for the claimants of a row that cannot be parsed. No host has this
/// name, so the shares count as claimed by another host, which is safe.
const UNKNOWN_CLAIMANT: &str = "?";

/// Value of a takeover row.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct TakeoverValue {
    /// Hosts that use, or may use, connections of the row's host: its claimants.
    takers: Vec<String>,
}

/// Reads the row of `host`.
pub(super) async fn read<T: TableService>(table: &T, host: &str) -> Result<TakeoverRow> {
    Ok(parse(&table.read(&takeover_key(host)).await?))
}

/// Writes the claimants of `row` if the stored row still has the revision of
/// `row`. Returns the stored row, which after a conflict differs from `row`.
pub(super) async fn write<T: TableService>(
    table: &T,
    host: &str,
    row: TakeoverRow,
) -> Result<TakeoverRow> {
    match write_row(table, host, &row).await? {
        WriteAnswer::Written { revision } => Ok(TakeoverRow { revision, ..row }),
        WriteAnswer::Conflict { row } => Ok(parse(&row)),
    }
}

/// Adds `claimant` to the row of `host`. Writes the row even if it already names
/// the claimant, so that its revision rises. Returns whether the write took
/// effect.
pub(super) async fn claim<T: TableService>(table: &T, host: &str, claimant: &str) -> Result<bool> {
    let mut row = read(table, host).await?;
    if !row.claimants.iter().any(|known| known == claimant) {
        row.claimants.push(claimant.to_owned());
    }
    let answer = write_row(table, host, &row).await?;
    Ok(matches!(answer, WriteAnswer::Written { .. }))
}

async fn write_row<T: TableService>(
    table: &T,
    host: &str,
    row: &TakeoverRow,
) -> Result<WriteAnswer> {
    let value = TakeoverValue {
        takers: row.claimants.clone(),
    };
    let text = serde_json::to_string(&value).expect("a row of plain fields renders as JSON");
    table
        .write_if(&takeover_key(host), row.revision, &text)
        .await
}

fn parse(row: &TableRow) -> TakeoverRow {
    let value: Option<TakeoverValue> = match row.revision {
        0 => Some(TakeoverValue::default()),
        _ => serde_json::from_str(&row.value).ok(),
    };
    let unknown = || vec![UNKNOWN_CLAIMANT.to_owned()];
    TakeoverRow {
        revision: row.revision,
        claimants: value.map_or_else(unknown, |value| value.takers),
    }
}
