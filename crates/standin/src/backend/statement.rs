//! Running one SQL statement on a SQLite connection.

use bytes::BytesMut;
use pgwire::api::Type;
use rusqlite::functions::FunctionFlags;
use rusqlite::{ffi, Connection};

use super::clock;
use super::infer;
use super::sql::{render, SqlToken};
use super::store::bind;
use super::value::{encode_field, SqlValue};

/// Result of running a statement.
pub type Result<T> = std::result::Result<T, StatementError>;

/// An error as callers see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementError {
    /// SQLSTATE.
    pub code: &'static str,
    /// Message.
    pub message: String,
}

impl StatementError {
    /// Builds an error.
    pub fn new(code: &'static str, message: &str) -> Self {
        Self {
            code,
            message: message.to_owned(),
        }
    }
}

impl From<rusqlite::Error> for StatementError {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        let code = match &error {
            rusqlite::Error::SqliteFailure(failure, _) => constraint_code(failure.extended_code),
            _ => None,
        };
        Self {
            code: code.unwrap_or_else(|| message_code(&message)),
            message,
        }
    }
}

/// A result column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultColumn {
    /// Name.
    pub name: String,
    /// Type.
    pub kind: Type,
}

/// One encoded row and its number of fields.
#[derive(Debug)]
pub struct EncodedRow {
    /// Fields in the format of a DataRow.
    pub data: BytesMut,
    /// Number of fields.
    pub fields: i16,
}

/// What a statement produced.
#[derive(Debug, Default)]
pub struct StatementOutput {
    /// Result columns; empty when the statement returns no rows.
    pub columns: Vec<ResultColumn>,
    /// Rows.
    pub rows: Vec<EncodedRow>,
    /// Tag of CommandComplete.
    pub tag: String,
}

/// Format codes of the result columns: none, one for all, or one for each.
#[derive(Clone, Debug, Default)]
pub struct ResultFormats(pub Vec<i16>);

impl ResultFormats {
    /// Tells whether a column is sent in the binary format.
    pub fn is_binary(&self, index: usize) -> bool {
        let code = match self.0.as_slice() {
            [] => 0,
            [code] => *code,
            codes => codes.get(index).copied().unwrap_or(0),
        };
        code == 1
    }
}

/// Runs a statement and returns its rows, encoded.
pub fn run(
    connection: &Connection,
    tokens: &[SqlToken],
    params: &[SqlValue],
    param_types: &[Type],
    formats: &ResultFormats,
) -> Result<StatementOutput> {
    let sql = render(tokens);
    let columns = infer::result_columns(connection, tokens, param_types)?;
    let before = connection.total_changes();
    let mut statement = connection.prepare_cached(&sql)?;
    bind(&mut statement, params)?;
    let mut output = StatementOutput {
        columns,
        ..StatementOutput::default()
    };
    let mut rows = statement.raw_query();
    while let Some(row) = rows.next()? {
        output.rows.push(encode_row(row, &output.columns, formats)?);
    }
    drop(rows);
    let changes = connection.total_changes() - before;
    output.tag = command_tag(tokens, output.rows.len(), changes);
    Ok(output)
}

/// Tells whether a statement only reads.
pub fn is_readonly(connection: &Connection, tokens: &[SqlToken]) -> Result<bool> {
    Ok(connection.prepare_cached(&render(tokens))?.readonly())
}

/// Registers the functions that statements may call besides SQLite's own.
pub fn register_functions(connection: &Connection) -> rusqlite::Result<()> {
    // The session sleeps before it runs the statement, so that no lock is held.
    connection.create_scalar_function("pg_sleep", 1, FunctionFlags::SQLITE_UTF8, |_| Ok(""))?;
    clock::register(connection)?;
    connection.create_scalar_function("version", 0, FunctionFlags::SQLITE_UTF8, |_| {
        Ok("PostgreSQL 16 (cassiatrestle stand-in)")
    })
}

fn encode_row(
    row: &rusqlite::Row<'_>,
    columns: &[ResultColumn],
    formats: &ResultFormats,
) -> Result<EncodedRow> {
    let mut data = BytesMut::new();
    for (index, column) in columns.iter().enumerate() {
        let value = SqlValue::from(row.get_ref(index)?);
        encode_field(&value, &column.kind, formats.is_binary(index), &mut data)?;
    }
    Ok(EncodedRow {
        data,
        fields: columns.len() as i16,
    })
}

fn command_tag(tokens: &[SqlToken], rows: usize, changes: u64) -> String {
    let word = |index: usize| {
        tokens
            .get(index)
            .map(|token| token.text.to_ascii_uppercase())
            .unwrap_or_default()
    };
    match word(0).as_str() {
        "INSERT" => format!("INSERT 0 {changes}"),
        verb @ ("UPDATE" | "DELETE") => format!("{verb} {changes}"),
        verb @ ("CREATE" | "DROP" | "ALTER") => format!("{verb} {}", word(1)),
        "SELECT" | "VALUES" | "WITH" => format!("SELECT {rows}"),
        verb => verb.to_owned(),
    }
}

fn constraint_code(code: i32) -> Option<&'static str> {
    match code {
        ffi::SQLITE_CONSTRAINT_UNIQUE | ffi::SQLITE_CONSTRAINT_PRIMARYKEY => Some("23505"),
        ffi::SQLITE_CONSTRAINT_ROWID => Some("23505"),
        ffi::SQLITE_CONSTRAINT_NOTNULL => Some("23502"),
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => Some("23503"),
        ffi::SQLITE_CONSTRAINT_CHECK => Some("23514"),
        _ => None,
    }
}

fn message_code(message: &str) -> &'static str {
    const CODES: [(&str, &str); 8] = [
        ("no such table", "42P01"),
        ("no such column", "42703"),
        ("has no column", "42703"),
        ("no such function", "42883"),
        ("already exists", "42P07"),
        ("syntax error", "42601"),
        ("incomplete input", "42601"),
        ("unrecognized token", "42601"),
    ];
    CODES
        .iter()
        .find(|(part, _)| message.contains(part))
        .map_or("XX000", |(_, code)| code)
}
