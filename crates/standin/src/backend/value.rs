//! Conversion of SQL values between SQLite and the formats of the PostgreSQL
//! protocol.

use bytes::{BufMut, BytesMut};
use pgwire::api::Type;
use rusqlite::types::{ToSqlOutput, Value, ValueRef};
use serde::{Deserialize, Serialize};

use super::statement::{Result, StatementError};

/// A value in SQLite's storage classes, for parameters, results and log entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SqlValue {
    /// SQL NULL.
    Null,
    /// Integer or boolean.
    Integer(i64),
    /// Floating point number.
    Real(f64),
    /// Character string.
    Text(String),
    /// Byte string.
    Blob(Vec<u8>),
}

impl SqlValue {
    /// Returns the approximate size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Null => 1,
            Self::Integer(_) | Self::Real(_) => 9,
            Self::Text(text) => 9 + text.len(),
            Self::Blob(bytes) => 9 + bytes.len(),
        }
    }
}

impl rusqlite::ToSql for SqlValue {
    fn to_sql(&self) -> rusqlite::Result<ToSqlOutput<'_>> {
        let value = match self {
            Self::Null => return Ok(ToSqlOutput::Owned(Value::Null)),
            Self::Integer(number) => ValueRef::Integer(*number),
            Self::Real(number) => ValueRef::Real(*number),
            Self::Text(text) => ValueRef::Text(text.as_bytes()),
            Self::Blob(bytes) => ValueRef::Blob(bytes),
        };
        Ok(ToSqlOutput::Borrowed(value))
    }
}

impl From<ValueRef<'_>> for SqlValue {
    fn from(value: ValueRef<'_>) -> Self {
        match value {
            ValueRef::Null => Self::Null,
            ValueRef::Integer(number) => Self::Integer(number),
            ValueRef::Real(number) => Self::Real(number),
            ValueRef::Text(text) => Self::Text(String::from_utf8_lossy(text).into_owned()),
            ValueRef::Blob(bytes) => Self::Blob(bytes.to_vec()),
        }
    }
}

/// Returns the PostgreSQL type for the type name in a column declaration or a
/// cast; `text` for unknown names.
pub fn type_by_name(name: &str) -> Type {
    let name = name.to_ascii_lowercase();
    let base = name.split('(').next().unwrap_or_default().trim();
    match base {
        "bigint" | "int8" | "bigserial" => Type::INT8,
        "integer" | "int" | "int4" | "serial" => Type::INT4,
        "smallint" | "int2" => Type::INT2,
        "boolean" | "bool" => Type::BOOL,
        "double precision" | "double" | "float8" | "float" | "real" => Type::FLOAT8,
        "bytea" | "blob" => Type::BYTEA,
        _ => Type::TEXT,
    }
}

/// Decodes a parameter of a Bind message; `None` is NULL. Fails with SQLSTATE
/// 22P03 if the bytes are no value of the type.
pub fn decode_param(bytes: Option<&[u8]>, pg_type: &Type, binary: bool) -> Result<SqlValue> {
    let Some(bytes) = bytes else {
        return Ok(SqlValue::Null);
    };
    let value = if binary {
        decode_binary(bytes, pg_type)
    } else {
        decode_text(&String::from_utf8_lossy(bytes), pg_type)
    };
    value.ok_or_else(|| {
        StatementError::new(
            "22P03",
            &format!("incorrect parameter value for type {}", pg_type.name()),
        )
    })
}

fn decode_binary(bytes: &[u8], pg_type: &Type) -> Option<SqlValue> {
    Some(match *pg_type {
        Type::INT8 => SqlValue::Integer(i64::from_be_bytes(bytes.try_into().ok()?)),
        Type::INT4 => SqlValue::Integer(i32::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::INT2 => SqlValue::Integer(i16::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::BOOL => SqlValue::Integer((*bytes.first()? != 0).into()),
        Type::FLOAT8 => SqlValue::Real(f64::from_be_bytes(bytes.try_into().ok()?)),
        Type::FLOAT4 => SqlValue::Real(f32::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::BYTEA => SqlValue::Blob(bytes.to_vec()),
        _ => SqlValue::Text(String::from_utf8(bytes.to_vec()).ok()?),
    })
}

fn decode_text(text: &str, pg_type: &Type) -> Option<SqlValue> {
    Some(match *pg_type {
        Type::INT8 | Type::INT4 | Type::INT2 => SqlValue::Integer(text.trim().parse().ok()?),
        Type::BOOL => SqlValue::Integer(matches!(text, "t" | "true" | "1" | "on" | "yes").into()),
        Type::FLOAT8 | Type::FLOAT4 => SqlValue::Real(text.trim().parse().ok()?),
        _ => SqlValue::Text(text.to_owned()),
    })
}

/// Appends a field of a DataRow message to `buffer`. Fails with SQLSTATE 42804 if
/// the value has no binary form in the type.
pub fn encode_field(
    value: &SqlValue,
    pg_type: &Type,
    binary: bool,
    buffer: &mut BytesMut,
) -> Result<()> {
    if *value == SqlValue::Null {
        buffer.put_i32(-1);
        return Ok(());
    }
    if !binary {
        let text = to_text(value, pg_type);
        put_field(buffer, text.as_bytes());
        return Ok(());
    }
    encode_binary(value, pg_type, buffer).ok_or_else(|| {
        StatementError::new(
            "42804",
            &format!("value {value:?} does not fit type {}", pg_type.name()),
        )
    })
}

fn encode_binary(value: &SqlValue, pg_type: &Type, buffer: &mut BytesMut) -> Option<()> {
    match *pg_type {
        Type::INT8 => put_field(buffer, &to_integer(value)?.to_be_bytes()),
        Type::INT4 => put_field(
            buffer,
            &i32::try_from(to_integer(value)?).ok()?.to_be_bytes(),
        ),
        Type::INT2 => put_field(
            buffer,
            &i16::try_from(to_integer(value)?).ok()?.to_be_bytes(),
        ),
        Type::BOOL => put_field(buffer, &[(to_integer(value)? != 0).into()]),
        Type::FLOAT8 => put_field(buffer, &to_real(value)?.to_be_bytes()),
        _ => match value {
            SqlValue::Blob(bytes) => put_field(buffer, bytes),
            _ => put_field(buffer, to_text(value, pg_type).as_bytes()),
        },
    }
    Some(())
}

fn put_field(buffer: &mut BytesMut, bytes: &[u8]) {
    buffer.put_i32(bytes.len() as i32);
    buffer.put_slice(bytes);
}

fn to_integer(value: &SqlValue) -> Option<i64> {
    match value {
        SqlValue::Integer(number) => Some(*number),
        SqlValue::Real(number) if number.fract() == 0.0 => Some(*number as i64),
        SqlValue::Text(text) => text.trim().parse().ok(),
        _ => None,
    }
}

fn to_real(value: &SqlValue) -> Option<f64> {
    match value {
        SqlValue::Integer(number) => Some(*number as f64),
        SqlValue::Real(number) => Some(*number),
        SqlValue::Text(text) => text.trim().parse().ok(),
        _ => None,
    }
}

fn to_text(value: &SqlValue, pg_type: &Type) -> String {
    match value {
        SqlValue::Integer(number) if *pg_type == Type::BOOL => {
            if *number != 0 { "t" } else { "f" }.to_owned()
        }
        SqlValue::Null => String::new(),
        SqlValue::Integer(number) => number.to_string(),
        SqlValue::Real(number) => number.to_string(),
        SqlValue::Text(text) => text.clone(),
        SqlValue::Blob(bytes) => {
            let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            format!("\\x{digits}")
        }
    }
}
