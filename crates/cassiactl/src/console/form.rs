//! Forms that edit the intent document: their sections and fields, and how a
//! posted form changes a draft.
//!
//! A draft is a JSON value with the structure of the document, because a partly
//! edited document may be invalid. Form fields are named by JSON pointers.

use serde_json::{json, Value};
use state::check::CheckProblem;
use state::document::IntentDocument;

/// Result of applying a form.
pub type Result<T> = std::result::Result<T, FormError>;

/// Why a posted form was rejected. None of its changes are applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormError {
    /// The draft has no such key, for example because the entry was removed in
    /// another browser window. Holds the name of the field.
    UnknownField(String),
    /// The text of a number field is not an unsigned number.
    NotANumber {
        /// JSON pointer of the field.
        field: String,
        /// Posted text.
        text: String,
    },
    /// The button's value is malformed, or names a list, entry or kind that
    /// does not exist. Holds the value.
    UnknownAction(String),
}

impl std::fmt::Display for FormError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownField(field) => {
                write!(
                    formatter,
                    "{field}: the draft has no such key; its entry may have been removed"
                )
            }
            Self::NotANumber { field, text } => {
                write!(formatter, "{field}: {text:?} is not an unsigned number")
            }
            Self::UnknownAction(action) => write!(formatter, "unknown action {action:?}"),
        }
    }
}

/// A top-level section of the document, edited on one page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormSection {
    /// Key in the document.
    pub key: &'static str,
    /// Title of the page.
    pub title: &'static str,
    /// Description of the section, shown on the page.
    pub help: &'static str,
}

/// All sections, in menu order.
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

/// Finds the section with this key in the document.
pub fn find_section(key: &str) -> Option<FormSection> {
    SECTIONS.into_iter().find(|section| section.key == key)
}

/// Returns the unit or allowed values of a key, shown next to its input.
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

/// Returns the initial value of a new list entry of this kind, or `None` if the
/// kind is unknown.
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

/// A field of a posted form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PostedField {
    /// JSON pointer of the key in the draft.
    pub pointer: String,
    /// Posted text.
    pub text: String,
}

/// Action of the button that posted the form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormAction {
    /// Saves the fields.
    Save,
    /// Saves the fields and appends an entry to a list.
    Add {
        /// JSON pointer of the list.
        list: String,
        /// Kind of the entry, as for [`entry_template`].
        kind: String,
    },
    /// Saves the fields and removes a list entry.
    Remove {
        /// JSON pointer of the entry.
        entry: String,
    },
}

impl FormAction {
    /// Parses the value of the button that posted the form.
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

/// Returns a copy of `draft` with the changes of a posted form. On an error no
/// change is applied.
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

/// Converts a draft to a valid document, or returns its problems: the first
/// error of structure, or else all errors of validation.
pub fn parse_draft(draft: &Value) -> std::result::Result<IntentDocument, Vec<CheckProblem>> {
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
    let unknown_field = || FormError::UnknownField(field.pointer.clone());
    let target = draft
        .pointer_mut(&field.pointer)
        .ok_or_else(unknown_field)?;
    let text = field.text.trim();
    *target = match target {
        Value::Number(_) => Value::from(parse_number(field, text)?),
        Value::Bool(_) => Value::from(text == "true"),
        Value::Array(_) => Value::from(split_names(text)),
        Value::String(_) => Value::from(text),
        Value::Object(_) | Value::Null => return Err(unknown_field()),
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
    let unknown_action = || FormError::UnknownAction(format!("add {list} {kind}"));
    let template = entry_template(kind).ok_or_else(unknown_action)?;
    let entries = draft
        .pointer_mut(list)
        .and_then(Value::as_array_mut)
        .ok_or_else(unknown_action)?;
    entries.push(template);
    Ok(())
}

fn remove_entry(draft: &mut Value, entry: &str) -> Result<()> {
    let unknown_action = || FormError::UnknownAction(format!("remove {entry}"));
    let (list, index) = entry.rsplit_once('/').ok_or_else(unknown_action)?;
    let index: usize = index.parse().map_err(|_| unknown_action())?;
    let entries = draft
        .pointer_mut(list)
        .and_then(Value::as_array_mut)
        .ok_or_else(unknown_action)?;
    if index >= entries.len() {
        return Err(unknown_action());
    }
    entries.remove(index);
    Ok(())
}
