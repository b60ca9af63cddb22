//! SQL values between the PostgreSQL formats and SQLite.

use bytes::{BufMut, BytesMut};
use pgwire::api::Type;
use rusqlite::types::{ToSqlOutput, Value, ValueRef};
use serde::{Deserialize, Serialize};

use super::statement::{Result, StatementError};

/// A value that is stored, bound or logged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SqlValue {
    /// NULL.
    Null,
    /// Integer or boolean.
    Integer(i64),
    /// Floating point number.
    Real(f64),
    /// Text.
    Text(String),
    /// Bytes.
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

/// Returns the type that a declared column type or a cast names.
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

/// Decodes a parameter of a Bind message.
pub fn decode_param(bytes: Option<&[u8]>, kind: &Type, binary: bool) -> Result<SqlValue> {
    let Some(bytes) = bytes else {
        return Ok(SqlValue::Null);
    };
    let value = if binary {
        decode_binary(bytes, kind)
    } else {
        decode_text(&String::from_utf8_lossy(bytes), kind)
    };
    value.ok_or_else(|| {
        StatementError::new(
            "22P03",
            &format!("incorrect parameter value for type {}", kind.name()),
        )
    })
}

fn decode_binary(bytes: &[u8], kind: &Type) -> Option<SqlValue> {
    Some(match *kind {
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

fn decode_text(text: &str, kind: &Type) -> Option<SqlValue> {
    Some(match *kind {
        Type::INT8 | Type::INT4 | Type::INT2 => SqlValue::Integer(text.trim().parse().ok()?),
        Type::BOOL => SqlValue::Integer(matches!(text, "t" | "true" | "1" | "on" | "yes").into()),
        Type::FLOAT8 | Type::FLOAT4 => SqlValue::Real(text.trim().parse().ok()?),
        _ => SqlValue::Text(text.to_owned()),
    })
}

/// Appends one field of a DataRow.
pub fn encode_field(
    value: &SqlValue,
    kind: &Type,
    binary: bool,
    buffer: &mut BytesMut,
) -> Result<()> {
    if *value == SqlValue::Null {
        buffer.put_i32(-1);
        return Ok(());
    }
    if !binary {
        let text = text_of(value, kind);
        put_bytes(buffer, text.as_bytes());
        return Ok(());
    }
    encode_binary(value, kind, buffer).ok_or_else(|| {
        StatementError::new(
            "42804",
            &format!("value {value:?} does not fit type {}", kind.name()),
        )
    })
}

fn encode_binary(value: &SqlValue, kind: &Type, buffer: &mut BytesMut) -> Option<()> {
    match *kind {
        Type::INT8 => put_bytes(buffer, &integer_of(value)?.to_be_bytes()),
        Type::INT4 => put_bytes(
            buffer,
            &i32::try_from(integer_of(value)?).ok()?.to_be_bytes(),
        ),
        Type::INT2 => put_bytes(
            buffer,
            &i16::try_from(integer_of(value)?).ok()?.to_be_bytes(),
        ),
        Type::BOOL => put_bytes(buffer, &[(integer_of(value)? != 0).into()]),
        Type::FLOAT8 => put_bytes(buffer, &real_of(value)?.to_be_bytes()),
        _ => match value {
            SqlValue::Blob(bytes) => put_bytes(buffer, bytes),
            _ => put_bytes(buffer, text_of(value, kind).as_bytes()),
        },
    }
    Some(())
}

fn put_bytes(buffer: &mut BytesMut, bytes: &[u8]) {
    buffer.put_i32(bytes.len() as i32);
    buffer.put_slice(bytes);
}

fn integer_of(value: &SqlValue) -> Option<i64> {
    match value {
        SqlValue::Integer(number) => Some(*number),
        SqlValue::Real(number) if number.fract() == 0.0 => Some(*number as i64),
        SqlValue::Text(text) => text.trim().parse().ok(),
        _ => None,
    }
}

fn real_of(value: &SqlValue) -> Option<f64> {
    match value {
        SqlValue::Integer(number) => Some(*number as f64),
        SqlValue::Real(number) => Some(*number),
        SqlValue::Text(text) => text.trim().parse().ok(),
        _ => None,
    }
}

fn text_of(value: &SqlValue, kind: &Type) -> String {
    match value {
        SqlValue::Integer(number) if *kind == Type::BOOL => {
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
