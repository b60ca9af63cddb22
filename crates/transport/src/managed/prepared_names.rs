//! Names of the prepared statements of one connection to a member.

use std::collections::HashMap;

use protocol::statement::PreparedShape;

/// Prepared statements that one connection keeps. It bounds the memory of host and member
/// and the search for the least recently used statement.
const NAMES_MAX: usize = 256;
/// Length in bytes of the shapes that one connection keeps: four messages of the longest
/// kind, 1 MiB. The host and the member hold each shape in memory.
const SHAPES_MAX_BYTES: usize = 4 << 20;

/// The prepared statements that a member acknowledged on a connection, and their names.
///
/// # Invariants
///
/// A name contains nothing of a shape, which is free text. `last_number` only grows, so
/// that no two statements of a connection have the same name, even after a reset.
/// `shape_bytes` is the length of all shapes in `entries`.
#[derive(Debug, Default)]
pub(super) struct PreparedNames {
    entries: HashMap<PreparedShape, NameEntry>,
    shape_bytes: usize,
    last_number: u64,
    uses: u64,
}

#[derive(Debug)]
struct NameEntry {
    name: String,
    /// Value of `uses` at the last use of the statement.
    used_at: u64,
}

impl PreparedNames {
    /// Returns whether the member acknowledged the statement.
    pub(super) fn contains(&self, shape: &PreparedShape) -> bool {
        self.entries.contains_key(shape)
    }

    /// Returns a name that no statement of the connection had.
    pub(super) fn assign(&mut self) -> String {
        self.last_number += 1;
        format!("p{}", self.last_number)
    }

    /// Adds a statement that the member acknowledged under an assigned name.
    pub(super) fn insert(&mut self, shape: &PreparedShape, name: String) {
        self.uses += 1;
        let used_at = self.uses;
        let former = self
            .entries
            .insert(shape.clone(), NameEntry { name, used_at });
        if former.is_none() {
            self.shape_bytes += shape.shape.len();
        }
    }

    /// Returns the name of a statement that is about to run; `None` if the member did not
    /// acknowledge it.
    pub(super) fn use_name(&mut self, shape: &PreparedShape) -> Option<&str> {
        let entry = self.entries.get_mut(shape)?;
        self.uses += 1;
        entry.used_at = self.uses;
        Some(&entry.name)
    }

    /// Removes a statement and returns its name.
    pub(super) fn remove(&mut self, shape: &PreparedShape) -> Option<String> {
        let entry = self.entries.remove(shape)?;
        self.shape_bytes -= shape.shape.len();
        Some(entry.name)
    }

    /// Removes the least recently used statements until there is room for another one.
    /// Returns their names.
    pub(super) fn make_room(&mut self, shape: &PreparedShape) -> Vec<String> {
        let mut removed = Vec::new();
        while self.entries.len() >= NAMES_MAX
            || self.shape_bytes + shape.shape.len() > SHAPES_MAX_BYTES
        {
            let entries = self.entries.iter();
            let Some((oldest, _)) = entries.min_by_key(|(_, entry)| entry.used_at) else {
                break;
            };
            let oldest = oldest.clone();
            removed.extend(self.remove(&oldest));
        }
        removed
    }

    /// Removes all statements, after a reset of the connection.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
        self.shape_bytes = 0;
    }
}
