//! HTML pages of the web console. `maud` escapes all text.

use coordination::document_diff::{DocumentChange, MergeConflict};
use maud::{html, Markup, DOCTYPE};
use serde_json::Value;
use similar::TextDiff;
use state::check::CheckProblem;

use super::form::{field_hint, FormSection, SECTIONS};

/// Lines of context around each change in the TOML diff.
const DIFF_CONTEXT_LINES: usize = 3;

const STYLE: &str = "
:root { color-scheme: light dark; }
body { font: 16px/1.5 system-ui, sans-serif; max-width: 60rem; margin: 0 auto; padding: 0 1rem 3rem; }
nav ul { display: flex; flex-wrap: wrap; gap: .25rem 1rem; list-style: none; padding: 0; }
fieldset { border: 1px solid #8888; border-radius: .4rem; margin: 0 0 1rem; }
.field { display: grid; grid-template-columns: 12rem 1fr; gap: .25rem 1rem; margin: .4rem 0; }
.field small { grid-column: 2; opacity: .75; }
input, button { font: inherit; padding: .3rem .5rem; max-width: 100%; box-sizing: border-box; }
input[type=text], input[type=password] { width: 100%; }
pre { overflow-x: auto; padding: .75rem; border: 1px solid #8888; border-radius: .4rem; }
.problem { border-left: .3rem solid #c33; padding: .25rem .75rem; margin: .5rem 0; }
.notice { border-left: .3rem solid #37a; padding: .25rem .75rem; margin: .5rem 0; }
table { border-collapse: collapse; width: 100%; } th, td { text-align: left; padding: .25rem .5rem; border-bottom: 1px solid #8884; }
.skip { position: absolute; left: -99rem; } .skip:focus { position: static; }
:focus-visible { outline: 3px solid #37a; outline-offset: 2px; }
@media (max-width: 40rem) { .field { grid-template-columns: 1fr; } .field small { grid-column: 1; } }
";

/// Values that the layout of each page shows.
#[derive(Clone, Copy, Debug)]
pub struct PageLayout<'a> {
    /// Title and main heading of the page.
    pub title: &'a str,
    /// Name of the signed-in operator, if any.
    pub operator: Option<&'a str>,
    /// Form token of the operator's session.
    pub form_token: &'a str,
}

/// A row of the status table.
#[derive(Clone, Debug)]
pub struct StatusRow {
    /// Name of the host, or its address if the name is unknown.
    pub host: String,
    /// Document version in force, if the daemon's status is known.
    pub version: Option<u64>,
    /// Age of the daemon's status in milliseconds, if known.
    pub age_ms: Option<u64>,
    /// Note on the daemon's state, or why its status is missing.
    pub note: String,
}

/// Values that the review page shows.
#[derive(Clone, Copy, Debug)]
pub struct ReviewContent<'a> {
    /// Differences between the base and the draft.
    pub changes: &'a [DocumentChange],
    /// Differences between the base and the version in force.
    pub others: &'a [DocumentChange],
    /// Keys that both the draft and the version in force changed.
    pub conflicts: &'a [MergeConflict],
    /// Validation problems of the draft.
    pub problems: &'a [CheckProblem],
    /// TOML of the base.
    pub before: &'a str,
    /// TOML of the draft.
    pub after: &'a str,
    /// Version that the draft is based on.
    pub base_version: u64,
    /// Version in force.
    pub head_version: u64,
}

/// Renders a whole page with `content` below the menu and title.
pub fn render_page(layout: PageLayout<'_>, content: &Markup) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (layout.title) " - cassiatrestle" }
                style { (maud::PreEscaped(STYLE)) }
            }
            body {
                a class="skip" href="#main" { "Skip to content" }
                @if let Some(operator) = layout.operator { (menu(operator, layout.form_token)) }
                main id="main" { h1 { (layout.title) } (content) }
            }
        }
    }
}

fn menu(operator: &str, form_token: &str) -> Markup {
    html! {
        nav aria-label="Sections" {
            ul {
                li { a href="/" { "Overview" } }
                @for section in SECTIONS {
                    li { a href={ "/section/" (section.key) } { (section.title) } }
                }
                li { a href="/review" { "Review and accept" } }
                li { a href="/history" { "History" } }
                li { a href="/status" { "Status" } }
            }
        }
        form method="post" action="/sign-out" {
            (form_token_input(form_token))
            "Signed in as " strong { (operator) } " "
            button type="submit" { "Sign out" }
        }
    }
}

fn form_token_input(form_token: &str) -> Markup {
    html! { input type="hidden" name="form_token" value=(form_token); }
}

/// Renders the sign-in form, with an alert if an attempt has failed.
pub fn sign_in_form(failed: bool) -> Markup {
    html! {
        @if failed {
            p class="problem" role="alert" { "Name or password is wrong." }
        }
        form method="post" action="/sign-in" {
            div class="field" {
                label for="operator" { "Operator" }
                input id="operator" name="operator" type="text" autocomplete="username" required;
            }
            div class="field" {
                label for="password" { "Password" }
                input id="password" name="password" type="password"
                    autocomplete="current-password" required;
            }
            button type="submit" { "Sign in" }
        }
    }
}

/// Renders validation problems.
pub fn problem_list(problems: &[CheckProblem]) -> Markup {
    html! {
        @for problem in problems {
            p class="problem" role="alert" {
                code { (problem.path) } ": found " (problem.found) ", allowed: " (problem.allowed)
            }
        }
    }
}

/// Renders an informational message.
pub fn notice(text: &str) -> Markup {
    html! { p class="notice" role="status" { (text) } }
}

/// Renders an error message.
pub fn alert(text: &str) -> Markup {
    html! { p class="problem" role="alert" { (text) } }
}

/// Renders the overview, with the number of entries in each section.
pub fn overview(draft: &Value, base_version: u64, changes: usize) -> Markup {
    html! {
        p { "The draft starts from version " (base_version) " and has " (changes) " changes." }
        table {
            thead { tr { th { "Section" } th { "Entries" } th { "What it is for" } } }
            tbody {
                @for section in SECTIONS {
                    tr {
                        td { a href={ "/section/" (section.key) } { (section.title) } }
                        td { (entry_count(draft, section.key)) }
                        td { (section.help) }
                    }
                }
            }
        }
    }
}

fn entry_count(draft: &Value, key: &str) -> String {
    match draft.get(key) {
        Some(Value::Array(entries)) => entries.len().to_string(),
        _ => "-".to_owned(),
    }
}

/// Renders the form of one section.
pub fn section_form(
    section: FormSection,
    draft: &Value,
    form_token: &str,
    problems: &[CheckProblem],
) -> Markup {
    let pointer = format!("/{}", section.key);
    let value = draft.get(section.key).unwrap_or(&Value::Null);
    html! {
        p { (section.help) }
        (problem_list(problems))
        form method="post" action={ "/section/" (section.key) } {
            (form_token_input(form_token))
            // The Enter key activates the first button of a form, so saving
            // comes first.
            button type="submit" name="action" value="save" { "Save draft" }
            (value_fields(section.key, &pointer, value))
            button type="submit" name="action" value="save" { "Save draft" }
        }
    }
}

fn value_fields(key: &str, pointer: &str, value: &Value) -> Markup {
    match value {
        Value::Object(fields) => html! {
            @for (name, field) in fields {
                (value_fields(name, &format!("{pointer}/{name}"), field))
            }
        },
        Value::Array(entries) if is_entry_list(key, entries) => entry_list(key, pointer, entries),
        leaf => leaf_field(key, pointer, leaf),
    }
}

fn is_entry_list(key: &str, entries: &[Value]) -> bool {
    // An empty list does not show what it holds. A customer's `group` and
    // `user` are lists of names, all others are lists of entries.
    entries.iter().any(Value::is_object) || (entries.is_empty() && !matches!(key, "user" | "group"))
}

fn entry_list(key: &str, pointer: &str, entries: &[Value]) -> Markup {
    html! {
        @for (index, entry) in entries.iter().enumerate() {
            @let entry_pointer = format!("{pointer}/{index}");
            fieldset {
                legend { (entry_title(key, entry)) }
                (value_fields(key, &entry_pointer, entry))
                button type="submit" name="action" value={ "remove " (entry_pointer) } {
                    "Remove " (entry_title(key, entry))
                }
            }
        }
        p { @for kind in entry_kinds(key) {
            button type="submit" name="action" value={ "add " (pointer) " " (kind) } {
                "Add " (kind.replace('_', " "))
            }
            " "
        } }
    }
}

fn entry_title(key: &str, entry: &Value) -> String {
    let label = key.replace('_', " ");
    match entry.get("name").and_then(Value::as_str) {
        Some("") => format!("new {label}"),
        Some(name) => format!("{label} {name}"),
        None => label,
    }
}

fn entry_kinds(key: &str) -> Vec<&str> {
    if key == "never_repeat" {
        return vec!["never_repeat_table", "never_repeat_user"];
    }
    vec![key]
}

fn leaf_field(key: &str, pointer: &str, value: &Value) -> Markup {
    let hint_id = format!("hint{pointer}");
    html! {
        div class="field" {
            label for=(pointer) { (key.replace('_', " ")) }
            @if let Value::Bool(checked) = value {
                span {
                    input type="hidden" name=(pointer) value="false";
                    input type="checkbox" id=(pointer) name=(pointer) value="true" checked[*checked];
                }
            } @else {
                input type="text" id=(pointer) name=(pointer) value=(leaf_text(value))
                    inputmode=[value.is_number().then_some("numeric")]
                    aria-describedby=(hint_id);
            }
            small id=(hint_id) { (field_hint(key)) }
        }
    }
}

fn leaf_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(names) => {
            let names: Vec<&str> = names.iter().filter_map(Value::as_str).collect();
            names.join(", ")
        }
        other => other.to_string(),
    }
}

/// Renders the review of a draft with the buttons to accept, merge or discard
/// it.
pub fn review(content: ReviewContent<'_>, form_token: &str) -> Markup {
    let stale = content.head_version != content.base_version;
    let acceptable = !stale && content.problems.is_empty() && !content.changes.is_empty();
    html! {
        (problem_list(content.problems))
        h2 { "Your changes to version " (content.base_version) }
        (change_list(content.changes))
        @if stale {
            h2 { "Accepted by others since, up to version " (content.head_version) }
            (change_list(content.others))
            @for conflict in content.conflicts { (conflict_alert(conflict)) }
            (action_form("/merge", "Merge these into the draft", form_token))
        }
        @if acceptable { (action_form("/accept", "Accept as a new version", form_token)) }
        (action_form("/discard", "Discard the draft", form_token))
        @if content.problems.is_empty() {
            h2 { "TOML diff" }
            pre { (toml_diff(content.before, content.after)) }
        }
    }
}

fn conflict_alert(conflict: &MergeConflict) -> Markup {
    let removed = || "removed".to_owned();
    alert(&format!(
        "{}: the draft has {}, the version in force has {}; merging keeps the value in force",
        conflict.path,
        conflict.ours.clone().unwrap_or_else(removed),
        conflict.theirs.clone().unwrap_or_else(removed),
    ))
}

fn change_list(changes: &[DocumentChange]) -> Markup {
    html! {
        @if changes.is_empty() { p { "None." } }
        ul { @for change in changes { li { (change.describe()) } } }
    }
}

fn action_form(action: &str, label: &str, form_token: &str) -> Markup {
    html! {
        form method="post" action=(action) {
            (form_token_input(form_token))
            button type="submit" { (label) }
        }
    }
}

fn toml_diff(before: &str, after: &str) -> String {
    TextDiff::from_lines(before, after)
        .unified_diff()
        .context_radius(DIFF_CONTEXT_LINES)
        .to_string()
}

/// Renders a list of accepted versions.
pub fn history(versions: &[u64], form_token: &str) -> Markup {
    html! {
        p { "To restore an old version, use it as a draft and accept it as a new version." }
        ul { @for version in versions {
            li {
                a href={ "/history/" (version) } { "Version " (version) } " "
                (action_form(&format!("/restore/{version}"), "Use as draft", form_token))
            }
        } }
    }
}

/// Renders the stored text of an accepted version.
pub fn version_text(text: &str) -> Markup {
    html! { pre { (text) } }
}

/// Renders the table with the version in force on each daemon.
pub fn status_table(rows: &[StatusRow]) -> Markup {
    html! {
        table {
            thead { tr { th { "Host" } th { "Version in force" } th { "Age of the answer" } th { "Note" } } }
            tbody { @for row in rows {
                tr {
                    td { (row.host) }
                    td { (row.version.map_or("unknown".to_owned(), |version| version.to_string())) }
                    td { (row.age_ms.map_or("-".to_owned(), |age| format!("{age} ms"))) }
                    td { (row.note) }
                }
            } }
        }
    }
}
