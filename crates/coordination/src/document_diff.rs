//! Difference and three-way merge of intent documents.
//!
//! List entries are matched by `name`, so that a change still applies to the
//! same entry when another operator adds or removes an entry before it.

use std::collections::BTreeMap;

use serde_json::{Map, Value};
use state::check::{CheckProblem, ProblemList};
use state::document::{DatabaseGroup, GroupMember, IntentDocument};

/// One difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DocumentChange {
    /// Path of the key, with the names of list entries in brackets, such as
    /// `group[sightings-1].member`.
    pub path: String,
    /// Old value; `None` when the key or entry was added.
    pub before: Option<String>,
    /// New value; `None` when the key or entry was removed.
    pub after: Option<String>,
}

impl DocumentChange {
    /// Returns the change as text for operators.
    pub fn describe(&self) -> String {
        match (&self.before, &self.after) {
            (None, Some(after)) => format!("{}: added {after}", self.path),
            (Some(before), None) => format!("{}: removed {before}", self.path),
            (Some(before), Some(after)) => {
                format!("{}: changed from {before} to {after}", self.path)
            }
            (None, None) => format!("{}: unchanged", self.path),
        }
    }
}

/// A key that the draft and the version in force changed to different values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MergeConflict {
    /// Path of the key.
    pub path: String,
    /// Value of the draft; `None` if the draft lacks the key.
    pub ours: Option<String>,
    /// Value in force; `None` if the version in force lacks the key.
    pub theirs: Option<String>,
}

/// Error of a merge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeError {
    /// Both sides changed the same keys to different values.
    Conflicts(Vec<MergeConflict>),
    /// The merged JSON does not deserialize into a document.
    BadShape(String),
}

/// Result of a merge.
pub type Result<T> = std::result::Result<T, MergeError>;

/// Returns the differences from `before` to `after`, ordered by path.
pub fn difference(before: &IntentDocument, after: &IntentDocument) -> Vec<DocumentChange> {
    value_difference(&to_value(before), &to_value(after))
}

/// Like [`difference`], but for JSON values of the document's structure, such as
/// a draft that is not valid yet.
pub fn value_difference(before: &Value, after: &Value) -> Vec<DocumentChange> {
    let before = flatten(before);
    let after = flatten(after);
    let mut changes = Vec::new();
    for (path, old) in &before {
        let new = after.get(path);
        if new != Some(old) {
            changes.push(document_change(path, Some(old), new));
        }
    }
    for (path, new) in &after {
        if !before.contains_key(path) {
            changes.push(document_change(path, None, Some(new)));
        }
    }
    changes.sort();
    changes
}

/// Applies the changes from `base` to `ours` on top of `theirs`.
///
/// The result has the structure of a document but must be validated: two changes
/// that are valid alone can contradict each other.
///
/// # Errors
///
/// [`MergeError::Conflicts`] lists all keys that both sides changed to different
/// values; [`MergeError::BadShape`] means that the result is not a document.
pub fn merge(
    base: &IntentDocument,
    ours: &IntentDocument,
    theirs: &IntentDocument,
) -> Result<IntentDocument> {
    let mut conflicts = Vec::new();
    let merged = merge_documents(base, ours, theirs, &mut conflicts)?;
    if !conflicts.is_empty() {
        return Err(MergeError::Conflicts(conflicts));
    }
    Ok(merged)
}

/// Like [`merge`], but resolves conflicts with the value of `theirs`.
pub fn merge_preferring_theirs(
    base: &IntentDocument,
    ours: &IntentDocument,
    theirs: &IntentDocument,
) -> Result<IntentDocument> {
    merge_documents(base, ours, theirs, &mut Vec::new())
}

fn merge_documents(
    base: &IntentDocument,
    ours: &IntentDocument,
    theirs: &IntentDocument,
    conflicts: &mut Vec<MergeConflict>,
) -> Result<IntentDocument> {
    let merged = merge_value(
        "",
        Some(&to_value(base)),
        Some(&to_value(ours)),
        Some(&to_value(theirs)),
        conflicts,
    );
    serde_json::from_value(merged.unwrap_or_default())
        .map_err(|error| MergeError::BadShape(error.to_string()))
}

/// Returns a problem for each group of which a version changes more than one
/// member.
///
/// Daemons adopt a version at different instants. Majorities of two member sets
/// that differ by one member always share a member. Majorities of sets that
/// differ by more may share none, and a promotion could then lose an accepted
/// write.
pub fn check_member_changes(before: &IntentDocument, after: &IntentDocument) -> Vec<CheckProblem> {
    let mut problems = ProblemList::default();
    for (index, group) in after.group.iter().enumerate() {
        let Some(previous) = before.find_group(&group.name) else {
            continue;
        };
        let removed = previous
            .member
            .iter()
            .filter(|member| !contains_member(group, member));
        let added = group
            .member
            .iter()
            .filter(|member| !contains_member(previous, member));
        let (removed, added) = (removed.count(), added.count());
        if removed + added > 1 {
            problems.push(
                &format!("group[{index}].member"),
                &format!(
                    "{added} added and {removed} removed or moved in {}",
                    group.name
                ),
                "one member added or removed in each version",
            );
        }
    }
    problems.finish(()).err().unwrap_or_default()
}

/// Returns whether the group contains the member. A member whose control address
/// changes counts as a different member.
fn contains_member(group: &DatabaseGroup, member: &GroupMember) -> bool {
    group
        .member
        .iter()
        .any(|other| other.name == member.name && other.control_address == member.control_address)
}

fn to_value(document: &IntentDocument) -> Value {
    serde_json::to_value(document).expect("a document of plain fields converts to JSON")
}

fn document_change(path: &str, before: Option<&String>, after: Option<&String>) -> DocumentChange {
    DocumentChange {
        path: path.to_owned(),
        before: before.cloned(),
        after: after.cloned(),
    }
}

fn flatten(value: &Value) -> BTreeMap<String, String> {
    let mut leaves = BTreeMap::new();
    flatten_into("", value, &mut leaves);
    leaves
}

fn flatten_into(path: &str, value: &Value, leaves: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                flatten_into(&join(path, key), field, leaves);
            }
        }
        Value::Array(entries) if entries.iter().any(Value::is_object) => {
            for (key, entry) in keyed_entries(entries) {
                flatten_into(&format!("{path}[{key}]"), entry, leaves);
            }
        }
        leaf => {
            leaves.insert(path.to_owned(), leaf.to_string());
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

/// Returns the key of a list entry: its name, or its JSON text if it has no name,
/// as the rules of `never_repeat`.
fn entry_key(entry: &Value) -> String {
    match entry.get("name").and_then(Value::as_str) {
        Some(name) => name.to_owned(),
        None => entry.to_string(),
    }
}

fn keyed_entries(entries: &[Value]) -> impl Iterator<Item = (String, &Value)> {
    entries.iter().map(|entry| (entry_key(entry), entry))
}

fn merge_value(
    path: &str,
    base: Option<&Value>,
    ours: Option<&Value>,
    theirs: Option<&Value>,
    conflicts: &mut Vec<MergeConflict>,
) -> Option<Value> {
    if ours == theirs || theirs == base {
        return ours.cloned();
    }
    if ours == base {
        return theirs.cloned();
    }
    match (ours, theirs) {
        (Some(Value::Object(ours)), Some(Value::Object(theirs))) => {
            let base = base.and_then(Value::as_object);
            Some(merge_objects(path, base, ours, theirs, conflicts))
        }
        (Some(Value::Array(ours)), Some(Value::Array(theirs))) => {
            let base = base.and_then(Value::as_array);
            Some(merge_lists(path, base, ours, theirs, conflicts))
        }
        _ => {
            conflicts.push(MergeConflict {
                path: path.to_owned(),
                ours: ours.map(Value::to_string),
                theirs: theirs.map(Value::to_string),
            });
            theirs.cloned()
        }
    }
}

fn merge_objects(
    path: &str,
    base: Option<&Map<String, Value>>,
    ours: &Map<String, Value>,
    theirs: &Map<String, Value>,
    conflicts: &mut Vec<MergeConflict>,
) -> Value {
    let mut merged = Map::new();
    let added = ours.keys().filter(|key| !theirs.contains_key(*key));
    for key in theirs.keys().chain(added) {
        let value = merge_value(
            &join(path, key),
            base.and_then(|fields| fields.get(key)),
            ours.get(key),
            theirs.get(key),
            conflicts,
        );
        if let Some(value) = value {
            merged.insert(key.clone(), value);
        }
    }
    Value::Object(merged)
}

/// Merges lists entry by entry. The result has the entries of `theirs` in their
/// order, followed by the entries that only `ours` has.
fn merge_lists(
    path: &str,
    base: Option<&Vec<Value>>,
    ours: &[Value],
    theirs: &[Value],
    conflicts: &mut Vec<MergeConflict>,
) -> Value {
    let find = |entries: &'_ [Value], key: &str| -> Option<Value> {
        entries
            .iter()
            .find(|entry| entry_key(entry) == key)
            .cloned()
    };
    let mut keys: Vec<String> = theirs.iter().map(entry_key).collect();
    for entry in ours {
        let key = entry_key(entry);
        if !keys.contains(&key) {
            keys.push(key);
        }
    }
    let base = base.map(Vec::as_slice).unwrap_or_default();
    let merged = keys.iter().filter_map(|key| {
        merge_value(
            &format!("{path}[{key}]"),
            find(base, key).as_ref(),
            find(ours, key).as_ref(),
            find(theirs, key).as_ref(),
            conflicts,
        )
    });
    Value::Array(merged.collect())
}
