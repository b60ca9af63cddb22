//! Forms over the intent document: which fields there are, and how a posted
//! form changes a draft.
//!
//! A draft is a JSON value of the document's shape, because a half-edited
//! document need not be valid yet. Names of form fields are JSON pointers.

use serde_json::{json, Value};
use state::check::CheckProblem;
use state::document::IntentDocument;

/// Result of applying a form.
pub type Result<T> = std::result::Result<T, FormError>;

/// Why a posted form was not applied. Nothing of it was applied then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormError {
    /// A field names no key of the draft, for example since another window
    /// removed the entry.
    UnknownField(String),
    /// The text of a number field is not a number.
    NotANumber {
        /// JSON pointer of the field.
        field: String,
        /// Posted text.
        text: String,
    },
    /// The button names no list or no entry.
    UnknownAction(String),
}

impl std::fmt::Display for FormError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownField(field) => {
                write!(formatter, "{field}: the draft has no such key (any more)")
            }
            Self::NotANumber { field, text } => {
                write!(formatter, "{field}: {text:?} is not an unsigned number")
            }
            Self::UnknownAction(action) => write!(formatter, "unknown action {action:?}"),
        }
    }
}

/// A section of the document, edited on one page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormSection {
    /// Key in the document.
    pub key: &'static str,
    /// Title of the page.
    pub title: &'static str,
    /// What the section is for.
    pub help: &'static str,
}

/// All sections, in the order of the menu.
pub const SECTIONS: [FormSection; 10] = [
    FormSection {
        key: "region",
        title: "Regions",
        help: "Parts of the world; data centres of one region are close to each other.",
    },
    FormSection {
        key: "data_centre",
        title: "Data centres",
        help: "Sets of hosts that a network partition cuts off as a whole.",
    },
    FormSection {
        key: "entry_host",
        title: "Entry hosts",
        help: "Hosts that run a daemon.",
    },
    FormSection {
        key: "group",
        title: "Database groups",
        help: "Groups and their members, with slots and connection limits.",
    },
    FormSection {
        key: "customer",
        title: "Customers",
        help: "Customers, their users and the groups that they may use.",
    },
    FormSection {
        key: "read_class",
        title: "Read classes",
        help: "Kinds of reads and the staleness that each tolerates. The first is the default.",
    },
    FormSection {
        key: "never_repeat",
        title: "Never repeat",
        help: "Writes that must run at most once, by table or by user.",
    },
    FormSection {
        key: "deadlines",
        title: "Deadlines",
        help: "Deadlines of statements, confirmations and shutdown.",
    },
    FormSection {
        key: "limits",
        title: "Limits",
        help: "Queue lengths, retry budget, retention of request ids.",
    },
    FormSection {
        key: "failover",
        title: "Failover",
        help: "Failure detection and failover timing.",
    },
];

/// Finds a section by its key.
pub fn find_section(key: &str) -> Option<FormSection> {
    SECTIONS.into_iter().find(|section| section.key == key)
}

/// Returns the unit or allowed values of a key, shown beside its input.
pub fn field_hint(key: &str) -> &'static str {
    match key {
        "statement_ms" | "confirm_ms" => "10 to 600000 ms",
        "replica_wait_ms" => "0 to 10000 ms",
        "drain_ms" => "0 to 600000 ms",
        "queue_length" => "1 to 100000 statements",
        "retry_budget_percent" => "0 to 100 % of recent requests",
        "retry_floor_per_second" => "0 to 10000 per second",
        "request_retention_s" => "60 to 31536000 s",
        "takeover_after_s" => "1 to 3600 s",
        "probe_interval_ms" => "50 to 10000 ms",
        "suspect_after_ms" => "100 to 60000 ms, at least twice the probe interval",
        "control_timeout_ms" => "10 to 10000 ms",
        "lease_ms" => "100 to 60000 ms",
        "max_staleness_ms" => "0 (newest) or at least twice the probe interval, in ms",
        "priority" => "0 (first) to 9 (last)",
        "slots" => "1 to 1024 statements at the same time",
        "connection_limit" => "1 to 10000 connections, at least one for each entry host",
        "weight" => "1 to 1000",
        "name" => "a-z, 0-9, - and _; at most 63 characters",
        "address" | "control_address" | "peer_address" => "IP address:port",
        "user" | "group" => "names, separated by commas",
        "region" => "name of a region",
        "data_centre" => "name of a data centre",
        _ => "",
    }
}

/// Lists to which an entry can be added below `pointer`, with its template.
pub fn entry_template(kind: &str) -> Option<Value> {
    let template = match kind {
        "region" => json!({"name": ""}),
        "data_centre" => json!({"name": "", "region": ""}),
        "entry_host" => json!({"name": "", "data_centre": "", "peer_address": "127.0.0.1:7400"}),
        "group" => json!({"name": "", "member": []}),
        "member" => json!({
            "name": "", "data_centre": "", "address": "127.0.0.1:5432",
            "control_address": "127.0.0.1:7500", "slots": 1, "connection_limit": 20,
            "leaving": false
        }),
        "customer" => json!({"name": "", "weight": 1, "user": [], "group": []}),
        "read_class" => json!({"name": "", "max_staleness_ms": 0, "priority": 5}),
        "never_repeat_table" => json!({"table": ""}),
        "never_repeat_user" => json!({"user": ""}),
        _ => return None,
    };
    Some(template)
}

/// One posted field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PostedField {
    /// JSON pointer of the key.
    pub pointer: String,
    /// Posted text.
    pub text: String,
}

/// The button that was pressed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormAction {
    /// Only saves the fields.
    Save,
    /// Adds an entry of a kind to the list at a pointer.
    Add {
        /// JSON pointer of the list.
        list: String,
        /// Kind of the template.
        kind: String,
    },
    /// Removes the entry at a pointer.
    Remove {
        /// JSON pointer of the entry.
        entry: String,
    },
}

impl FormAction {
    /// Parses the value of the pressed button.
    pub fn parse(text: &str) -> Result<Self> {
        let mut parts = text.splitn(3, ' ');
        match (parts.next(), parts.next(), parts.next()) {
            (Some("save"), None, None) => Ok(Self::Save),
            (Some("add"), Some(list), Some(kind)) => Ok(Self::Add {
                list: list.to_owned(),
                kind: kind.to_owned(),
            }),
            (Some("remove"), Some(entry), None) => Ok(Self::Remove {
                entry: entry.to_owned(),
            }),
            _ => Err(FormError::UnknownAction(text.to_owned())),
        }
    }
}

/// Applies a posted form to a copy of `draft` and returns the copy.
pub fn apply_form(draft: &Value, fields: &[PostedField], action: &FormAction) -> Result<Value> {
    let mut edited = draft.clone();
    for field in fields {
        set_field(&mut edited, field)?;
    }
    match action {
        FormAction::Save => {}
        FormAction::Add { list, kind } => add_entry(&mut edited, list, kind)?,
        FormAction::Remove { entry } => remove_entry(&mut edited, entry)?,
    }
    Ok(edited)
}

/// Reads a draft as a document, or reports all problems.
pub fn read_draft(draft: &Value) -> std::result::Result<IntentDocument, Vec<CheckProblem>> {
    let document: IntentDocument = serde_path_to_error::deserialize(draft).map_err(|error| {
        vec![CheckProblem::new(
            &error.path().to_string(),
            &error.inner().to_string(),
            "a value of the documented shape",
        )]
    })?;
    document.validate()?;
    Ok(document)
}

fn set_field(draft: &mut Value, field: &PostedField) -> Result<()> {
    let unknown = || FormError::UnknownField(field.pointer.clone());
    let target = draft.pointer_mut(&field.pointer).ok_or_else(unknown)?;
    let text = field.text.trim();
    *target = match target {
        Value::Number(_) => Value::from(parse_number(field, text)?),
        Value::Bool(_) => Value::from(text == "true"),
        Value::Array(_) => Value::from(split_names(text)),
        Value::String(_) => Value::from(text),
        Value::Object(_) | Value::Null => return Err(unknown()),
    };
    Ok(())
}

fn parse_number(field: &PostedField, text: &str) -> Result<u64> {
    text.parse().map_err(|_| FormError::NotANumber {
        field: field.pointer.clone(),
        text: text.to_owned(),
    })
}

fn split_names(text: &str) -> Vec<String> {
    text.split(',')
        .map(str::trim)
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect()
}

fn add_entry(draft: &mut Value, list: &str, kind: &str) -> Result<()> {
    let unknown = || FormError::UnknownAction(format!("add {list} {kind}"));
    let template = entry_template(kind).ok_or_else(unknown)?;
    let entries = draft
        .pointer_mut(list)
        .and_then(Value::as_array_mut)
        .ok_or_else(unknown)?;
    entries.push(template);
    Ok(())
}

fn remove_entry(draft: &mut Value, entry: &str) -> Result<()> {
    let unknown = || FormError::UnknownAction(format!("remove {entry}"));
    let (list, index) = entry.rsplit_once('/').ok_or_else(unknown)?;
    let index: usize = index.parse().map_err(|_| unknown())?;
    let entries = draft
        .pointer_mut(list)
        .and_then(Value::as_array_mut)
        .ok_or_else(unknown)?;
    if index >= entries.len() {
        return Err(unknown());
    }
    entries.remove(index);
    Ok(())
}
