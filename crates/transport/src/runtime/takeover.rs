//! The takeover rows in the table service.

use coordination::connection_shares::{takeover_key, TakeoverRow};
use serde::{Deserialize, Serialize};

use crate::services::{Result, TableRow, TableService, WriteAnswer};

/// Taker of a row that cannot be understood. No host has this name, so the row
/// counts as taken, which is the safe side.
const UNKNOWN_TAKER: &str = "?";

/// Value of a takeover row.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct TakeoverValue {
    /// Hosts that use, or may use, connections of the row's host.
    takers: Vec<String>,
}

/// Reads the row of `host`.
pub(super) async fn read<T: TableService>(table: &T, host: &str) -> Result<TakeoverRow> {
    Ok(parse(&table.read(&takeover_key(host)).await?))
}

/// Writes the takers of a row if it still has the row's revision; returns the
/// row as it is then, which after a conflict is another one.
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

/// Adds `taker` to the row of `host`, also when it stands there already, so
/// that the revision rises. Returns whether the write took effect.
pub(super) async fn take<T: TableService>(table: &T, host: &str, taker: &str) -> Result<bool> {
    let mut row = read(table, host).await?;
    if !row.claimants.iter().any(|known| known == taker) {
        row.claimants.push(taker.to_owned());
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
    let unknown = || vec![UNKNOWN_TAKER.to_owned()];
    TakeoverRow {
        revision: row.revision,
        claimants: value.map_or_else(unknown, |value| value.takers),
    }
}
