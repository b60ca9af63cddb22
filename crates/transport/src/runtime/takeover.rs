//! The takeover rows in the table service.

use coordination::shares::{takeover_key, TakeoverRow};
use serde::{Deserialize, Serialize};

use crate::seam::{Result, SeamError, TableRow, TableService, WriteAnswer};

/// Value of a takeover row.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct TakeoverValue {
    /// Hosts that use, or may use, connections of the row's host.
    takers: Vec<String>,
}

/// Reads the row of `host`. A row that cannot be understood is an error, so
/// that nobody takes it as evidence of a free share.
pub(super) async fn read<T: TableService>(table: &T, host: &str) -> Result<TakeoverRow> {
    parse(&table.read(&takeover_key(host)).await?)
}

/// Writes the row of `host` if it still has its revision; returns the row as
/// it is then. The revision must be the one that the host knew when it decided
/// to write: a host that is paused in between must not undo a later takeover.
pub(super) async fn write<T: TableService>(
    table: &T,
    host: &str,
    row: TakeoverRow,
) -> Result<TakeoverRow> {
    let answer = write_if(table, host, row.revision, &row.takers).await?;
    match answer {
        WriteAnswer::Written { revision } => Ok(TakeoverRow {
            revision,
            takers: row.takers,
        }),
        WriteAnswer::Conflict { row } => parse(&row),
    }
}

/// Adds `taker` to the row of `host` and writes it, also when it is among the
/// takers already, so that the revision rises and a late write of the host
/// conflicts. Returns whether the write took effect.
pub(super) async fn take<T: TableService>(table: &T, host: &str, taker: &str) -> Result<bool> {
    let mut row = read(table, host).await?;
    if !row.takers.iter().any(|known| known == taker) {
        row.takers.push(taker.to_owned());
    }
    let answer = write_if(table, host, row.revision, &row.takers).await?;
    Ok(matches!(answer, WriteAnswer::Written { .. }))
}

async fn write_if<T: TableService>(
    table: &T,
    host: &str,
    expected_revision: u64,
    takers: &[String],
) -> Result<WriteAnswer> {
    let value = TakeoverValue {
        takers: takers.to_vec(),
    };
    let text = serde_json::to_string(&value).expect("a row of plain fields renders as JSON");
    let key = takeover_key(host);
    table.write_if(&key, expected_revision, &text).await
}

fn parse(row: &TableRow) -> Result<TakeoverRow> {
    if row.revision == 0 {
        return Ok(TakeoverRow::default());
    }
    let value: TakeoverValue = serde_json::from_str(&row.value)
        .map_err(|error| SeamError::BadAnswer(format!("takeover row: {error}")))?;
    Ok(TakeoverRow {
        revision: row.revision,
        takers: value.takers,
    })
}
