//! Execution of a single SQL statement on a SQLite connection.

use bytes::BytesMut;
use pgwire::api::Type;
use rusqlite::functions::FunctionFlags;
use rusqlite::{ffi, Connection};

use super::clock;
use super::sql::{render, SqlToken};
use super::store::bind_params;
use super::type_inference;
use super::value::{encode_field, SqlValue};

/// Result of an operation that may fail with an error for the caller.
pub type Result<T> = std::result::Result<T, StatementError>;

/// An error that is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementError {
    /// SQLSTATE.
    pub code: &'static str,
    /// Message text.
    pub message: String,
}

impl StatementError {
    /// Creates an error with a SQLSTATE and a message.
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
            rusqlite::Error::SqliteFailure(failure, _) => {
                constraint_sqlstate(failure.extended_code)
            }
            _ => None,
        };
        Self {
            code: code.unwrap_or_else(|| message_sqlstate(&message)),
            message,
        }
    }
}

/// Name and type of a result column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultColumn {
    /// Column name that the caller receives.
    pub name: String,
    /// PostgreSQL type.
    pub pg_type: Type,
}

/// One encoded row and its number of fields.
#[derive(Debug)]
pub struct EncodedRow {
    /// Fields as in the body of a DataRow message.
    pub data: BytesMut,
    /// Number of fields.
    pub fields: i16,
}

/// Result of a statement that succeeded.
#[derive(Debug, Default)]
pub struct StatementOutput {
    /// Result columns; empty when the statement returns no rows.
    pub columns: Vec<ResultColumn>,
    /// Encoded result rows.
    pub rows: Vec<EncodedRow>,
    /// Command tag of the CommandComplete message.
    pub tag: String,
}

/// Format codes of columns or parameters, as in a Bind message: none for text,
/// one for all, or one for each.
#[derive(Clone, Debug, Default)]
pub struct ResultFormats(pub Vec<i16>);

impl ResultFormats {
    /// Returns whether the column or parameter at `index` has the binary format.
    pub fn is_binary(&self, index: usize) -> bool {
        let code = match self.0.as_slice() {
            [] => 0,
            [code] => *code,
            codes => codes.get(index).copied().unwrap_or(0),
        };
        code == 1
    }
}

/// Runs a statement and encodes its result rows in the given formats.
pub fn run(
    connection: &Connection,
    tokens: &[SqlToken],
    params: &[SqlValue],
    param_types: &[Type],
    formats: &ResultFormats,
) -> Result<StatementOutput> {
    let sql = render(tokens);
    let columns = type_inference::result_columns(connection, tokens, param_types)?;
    let before = connection.total_changes();
    let mut statement = connection.prepare_cached(&sql)?;
    bind_params(&mut statement, params)?;
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

/// Returns whether a statement only reads.
pub fn is_readonly(connection: &Connection, tokens: &[SqlToken]) -> Result<bool> {
    Ok(connection.prepare_cached(&render(tokens))?.readonly())
}

/// Registers the SQL functions that SQLite does not have.
pub fn register_functions(connection: &Connection) -> rusqlite::Result<()> {
    // Does nothing: the session sleeps before it runs the statement, so that the
    // lock on the connection is not held meanwhile.
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
        encode_field(&value, &column.pg_type, formats.is_binary(index), &mut data)?;
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

/// Returns the SQLSTATE of a constraint violation, given SQLite's extended result
/// code.
fn constraint_sqlstate(code: i32) -> Option<&'static str> {
    match code {
        ffi::SQLITE_CONSTRAINT_UNIQUE | ffi::SQLITE_CONSTRAINT_PRIMARYKEY => Some("23505"),
        ffi::SQLITE_CONSTRAINT_ROWID => Some("23505"),
        ffi::SQLITE_CONSTRAINT_NOTNULL => Some("23502"),
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => Some("23503"),
        ffi::SQLITE_CONSTRAINT_CHECK => Some("23514"),
        _ => None,
    }
}

/// Returns the SQLSTATE for an error message of SQLite.
fn message_sqlstate(message: &str) -> &'static str {
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
