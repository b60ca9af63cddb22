//! The takeover rows in the table service.

use coordination::shares::takeover_key;
use serde::{Deserialize, Serialize};

use crate::seam::{Result, TableRow, TableService, WriteAnswer};

/// Value of a takeover row.
#[derive(Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
struct TakeoverValue {
    /// Host that has taken the share over; empty after the row was cleared.
    holder: String,
}

/// The own takeover row as it was read.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnRow {
    /// Revision.
    pub(super) revision: u64,
    /// Whether the share is taken over.
    pub(super) taken: bool,
}

/// Reads the row of `host`.
pub(super) async fn read<T: TableService>(table: &T, host: &str) -> Result<OwnRow> {
    let row = table.read(&takeover_key(host)).await?;
    Ok(own_row(&row))
}

/// Clears the row of `host` if it still has the revision; returns the row as it
/// is then. The revision must be the one that the host knew when it decided to
/// clear: a host that is paused in between must not clear a later takeover.
pub(super) async fn clear<T: TableService>(table: &T, host: &str, revision: u64) -> Result<OwnRow> {
    match write(table, host, revision, "").await? {
        WriteAnswer::Written { revision } => Ok(OwnRow {
            revision,
            taken: false,
        }),
        WriteAnswer::Conflict { row } => Ok(own_row(&row)),
    }
}

/// Writes `holder` into the row of `host`, also when another one stands there,
/// so that the revision rises and a late clearing conflicts. Returns whether
/// the write took effect.
pub(super) async fn take<T: TableService>(table: &T, host: &str, holder: &str) -> Result<bool> {
    let row = table.read(&takeover_key(host)).await?;
    let answer = write(table, host, row.revision, holder).await?;
    Ok(matches!(answer, WriteAnswer::Written { .. }))
}

async fn write<T: TableService>(
    table: &T,
    host: &str,
    expected_revision: u64,
    holder: &str,
) -> Result<WriteAnswer> {
    let value = TakeoverValue {
        holder: holder.to_owned(),
    };
    let text = serde_json::to_string(&value).expect("a row of plain fields renders as JSON");
    let key = takeover_key(host);
    table.write_if(&key, expected_revision, &text).await
}

fn own_row(row: &TableRow) -> OwnRow {
    OwnRow {
        revision: row.revision,
        taken: has_holder(row),
    }
}

/// A row that cannot be understood counts as taken: it is the safe side.
fn has_holder(row: &TableRow) -> bool {
    if row.revision == 0 {
        return false;
    }
    let value: Option<TakeoverValue> = serde_json::from_str(&row.value).ok();
    value.is_none_or(|value| !value.holder.is_empty())
}
