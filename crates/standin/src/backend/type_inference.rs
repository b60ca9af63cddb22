//! Inference of the PostgreSQL types of result columns and parameters.
//!
//! In SQLite values have types but expressions do not, while PostgreSQL clients
//! need the types before the statement runs. The rules here use neighbouring
//! tokens and declared column types. Where they do not suffice, a `::` cast in
//! the statement states the type.

use std::collections::HashMap;

use pgwire::api::Type;
use rusqlite::Connection;

use super::sql::{render, SqlToken, TokenKind};
use super::statement::{Result, ResultColumn};
use super::value::type_by_name;

/// Returns the names and types of the result columns of a statement.
pub fn result_columns(
    connection: &Connection,
    tokens: &[SqlToken],
    param_types: &[Type],
) -> Result<Vec<ResultColumn>> {
    let statement = connection.prepare_cached(&render(tokens))?;
    let names: Vec<(String, Option<Type>)> = statement
        .columns()
        .iter()
        .map(|column| {
            let declared = column.decl_type().map(type_by_name);
            (column.name().to_owned(), declared)
        })
        .collect();
    let items = result_items(tokens);
    let is_listed = items.len() == names.len() && !items.iter().any(|item| has_star(item));
    let mut columns = Vec::with_capacity(names.len());
    let mut declared_types: Option<DeclaredTypes> = None;
    for (index, (name, declared)) in names.into_iter().enumerate() {
        let item = if is_listed { items[index] } else { &[] };
        let cast = item.last().and_then(|token| token.cast.as_deref());
        let pg_type = match (cast.map(type_by_name), declared) {
            (Some(pg_type), _) | (None, Some(pg_type)) => pg_type,
            (None, None) => {
                let declared_types =
                    declared_types.get_or_insert_with(|| load_declared_types(connection, tokens));
                item_type(item, declared_types, param_types)
                    .or_else(|| declared_types.get(&name.to_ascii_lowercase()).cloned())
                    .unwrap_or(Type::TEXT)
            }
        };
        columns.push(ResultColumn {
            name: column_name(item, name),
            pg_type,
        });
    }
    Ok(columns)
}

/// Returns the types of the parameters. Types in `specified` take precedence
/// over inferred ones, except for [`Type::UNKNOWN`].
pub fn param_types(connection: &Connection, tokens: &[SqlToken], specified: &[Type]) -> Vec<Type> {
    let count = tokens.iter().filter_map(SqlToken::param).max().unwrap_or(0);
    let mut types = Vec::with_capacity(count);
    let mut declared_types: Option<DeclaredTypes> = None;
    for number in 1..=count {
        let specified_type = specified.get(number - 1);
        if let Some(pg_type) = specified_type.filter(|pg_type| **pg_type != Type::UNKNOWN) {
            types.push(pg_type.clone());
            continue;
        }
        let declared_types =
            declared_types.get_or_insert_with(|| load_declared_types(connection, tokens));
        types.push(param_type(tokens, number, declared_types).unwrap_or(Type::TEXT));
    }
    types
}

/// Returns the type of parameter `$number`, from a cast or from its context.
fn param_type(tokens: &[SqlToken], number: usize, declared_types: &DeclaredTypes) -> Option<Type> {
    let positions =
        || (0..tokens.len()).filter(|&position| tokens[position].param() == Some(number));
    if let Some(cast) = positions().find_map(|position| tokens[position].cast.as_deref()) {
        return Some(type_by_name(cast));
    }
    positions().find_map(|position| type_from_context(tokens, position, declared_types))
}

/// Returns the type of the parameter at `position`, from the tokens around it.
fn type_from_context(
    tokens: &[SqlToken],
    position: usize,
    declared_types: &DeclaredTypes,
) -> Option<Type> {
    let before = |steps: usize| position.checked_sub(steps).map(|index| &tokens[index]);
    let column = |token: Option<&SqlToken>| declared_types.get(&token?.name()?).cloned();
    if before(1).is_some_and(|token| token.is("limit") || token.is("offset")) {
        return Some(Type::INT8);
    }
    if before(2).is_some_and(|token| token.is("pg_sleep")) {
        return Some(Type::FLOAT8);
    }
    if before(1).is_some_and(is_operator) {
        if let Some(pg_type) = column(before(2)) {
            return Some(pg_type);
        }
    }
    if tokens.get(position + 1).is_some_and(is_operator) {
        if let Some(pg_type) = column(tokens.get(position + 2)) {
            return Some(pg_type);
        }
    }
    if before(1).is_some_and(|token| token.is("between")) {
        return column(before(2));
    }
    insert_value_type(tokens, position, declared_types)
        .or_else(|| in_list_type(tokens, position, declared_types))
}

/// Returns the type of a parameter in `VALUES (...)`, from the column list of the
/// INSERT or, without one, from the declaration of the table.
fn insert_value_type(
    tokens: &[SqlToken],
    position: usize,
    declared_types: &DeclaredTypes,
) -> Option<Type> {
    let values = tokens.iter().position(|token| token.is("values"))?;
    let insert = tokens.iter().position(|token| token.is("into"))?;
    if position < values {
        return None;
    }
    let row = tokens[..position].iter().rposition(|token| token.is("("))?;
    let index = tokens[row..position]
        .iter()
        .filter(|token| token.is(","))
        .count();
    let Some(list) = tokens[insert..values].split(|token| token.is("(")).nth(1) else {
        // Without a column list, the values follow the column order of the table.
        let table = tokens[insert + 1..values].last()?.name()?;
        return declared_types.by_table.get(&table)?.get(index).cloned();
    };
    let name = list.split(|token| token.is(",")).nth(index)?.first()?;
    declared_types.get(&name.name()?).cloned()
}

/// Returns the type of a parameter in `column IN (...)`.
fn in_list_type(
    tokens: &[SqlToken],
    position: usize,
    declared_types: &DeclaredTypes,
) -> Option<Type> {
    let open = tokens[..position].iter().rposition(|token| token.is("("))?;
    let name = open.checked_sub(2).filter(|_| tokens[open - 1].is("in"))?;
    declared_types.get(&tokens[name].name()?).cloned()
}

/// Returns the type of an item in a result list.
fn item_type(
    item: &[SqlToken],
    declared_types: &DeclaredTypes,
    param_types: &[Type],
) -> Option<Type> {
    let first = item.first()?;
    let is_call = item.get(1).is_some_and(|token| token.is("("));
    if is_call {
        match first.text.to_ascii_lowercase().as_str() {
            "count" | "sum" | "total_changes" => return Some(Type::INT8),
            "exists" => return Some(Type::BOOL),
            "avg" => return Some(Type::FLOAT8),
            "length" => return Some(Type::INT4),
            "cast" => return cast_type(item),
            "max" | "min" | "coalesce" | "abs" => {
                return item_type(&item[2..], declared_types, param_types)
            }
            _ => return Some(Type::TEXT),
        }
    }
    if item.iter().any(is_comparison) || first.is("not") {
        return Some(Type::BOOL);
    }
    match first.kind {
        TokenKind::Number if first.text.contains('.') => Some(Type::FLOAT8),
        TokenKind::Number => Some(integer_literal_type(&first.text)),
        TokenKind::Param => param_types.get(first.param()?.checked_sub(1)?).cloned(),
        TokenKind::Word if first.is("true") || first.is("false") => Some(Type::BOOL),
        TokenKind::Word | TokenKind::QuotedName if item.get(1).is_some_and(|t| t.is(".")) => {
            declared_types.get(&item.get(2)?.name()?).cloned()
        }
        TokenKind::Word | TokenKind::QuotedName => declared_types.get(&first.name()?).cloned(),
        TokenKind::Symbol if first.is("-") || first.is("(") => {
            item_type(&item[1..], declared_types, param_types)
        }
        _ => Some(Type::TEXT),
    }
}

/// Returns the type of an integer literal.
fn integer_literal_type(text: &str) -> Type {
    if text.parse::<i32>().is_ok() {
        Type::INT4
    } else {
        Type::INT8
    }
}

/// Returns the target type of `CAST(x AS t)`.
fn cast_type(item: &[SqlToken]) -> Option<Type> {
    let index = item.iter().rposition(|token| token.is("as"))?;
    let name = item.get(index + 1).filter(|token| !token.is(")"));
    // In `CAST(x AS t) AS name`, the last AS is outside the call.
    let inside = item[..index].iter().any(|token| token.is(")"));
    if inside {
        return cast_type(&item[..index]);
    }
    name.map(|token| type_by_name(&token.text))
}

fn is_operator(token: &SqlToken) -> bool {
    const OPERATORS: [&str; 10] = ["=", "<", ">", "<=", ">=", "<>", "!=", "+", "-", "like"];
    OPERATORS.iter().any(|symbol| token.is(symbol))
}

fn is_comparison(token: &SqlToken) -> bool {
    const COMPARISONS: [&str; 12] = [
        "=", "<", ">", "<=", ">=", "<>", "!=", "is", "in", "like", "and", "or",
    ];
    COMPARISONS.iter().any(|symbol| token.is(symbol))
}

fn has_star(item: &[SqlToken]) -> bool {
    // `*` and `t.*` expand to several columns; `count(*)` does not.
    item.last().is_some_and(|token| token.is("*"))
}

/// Returns the column name that PostgreSQL would give an item; `name` is the one
/// that SQLite gives it.
fn column_name(item: &[SqlToken], name: String) -> String {
    let is_plain = item.len() <= 1 && item.first().is_none_or(|token| token.name().is_some());
    let aliased = item.last().and_then(SqlToken::name).as_deref() == Some(name.as_str());
    if item.is_empty() || is_plain || aliased {
        return name;
    }
    match (item[0].kind, item.get(1)) {
        (TokenKind::Word, Some(next)) if next.is("(") => item[0].text.to_ascii_lowercase(),
        _ if item[0].name().is_some() => name,
        _ => "?column?".to_owned(),
    }
}

/// Returns the items of the result list: those between SELECT and FROM, or after
/// RETURNING.
fn result_items(tokens: &[SqlToken]) -> Vec<&[SqlToken]> {
    let returning = tokens.iter().position(|token| token.is("returning"));
    let start = match returning {
        Some(index) => index + 1,
        None if tokens.first().is_some_and(|token| token.is("select")) => 1,
        None => return Vec::new(),
    };
    let mut items = Vec::new();
    let mut depth = 0_usize;
    let mut begin = start;
    for (index, token) in tokens.iter().enumerate().skip(start) {
        if token.is("(") {
            depth += 1;
        } else if token.is(")") {
            depth = depth.saturating_sub(1);
        } else if depth == 0 && token.is(",") {
            items.push(&tokens[begin..index]);
            begin = index + 1;
        } else if depth == 0 && ends_result_list(token) {
            items.push(&tokens[begin..index]);
            return items;
        }
    }
    items.push(&tokens[begin..]);
    items
}

fn ends_result_list(token: &SqlToken) -> bool {
    const WORDS: [&str; 6] = ["from", "where", "union", "order", "limit", "group"];
    WORDS.iter().any(|word| token.is(word))
}

/// Declared column types of the tables that a statement names.
#[derive(Debug, Default)]
struct DeclaredTypes {
    by_name: HashMap<String, Type>,
    by_table: HashMap<String, Vec<Type>>,
}

impl DeclaredTypes {
    fn get(&self, name: &str) -> Option<&Type> {
        self.by_name.get(name)
    }
}

/// Reads the declared column types of the tables that `tokens` name.
fn load_declared_types(connection: &Connection, tokens: &[SqlToken]) -> DeclaredTypes {
    let mut declared_types = DeclaredTypes::default();
    for table in tokens.iter().filter_map(SqlToken::name) {
        let Ok(mut statement) =
            connection.prepare_cached("SELECT name, type FROM pragma_table_info(?1)")
        else {
            continue;
        };
        let rows = statement.query_map([&table], |row| {
            Ok((row.get::<_, String>(0)?, row.get::<_, String>(1)?))
        });
        let mut types = Vec::new();
        for (name, declared) in rows.into_iter().flatten().flatten() {
            let pg_type = type_by_name(&declared);
            declared_types
                .by_name
                .insert(name.to_ascii_lowercase(), pg_type.clone());
            types.push(pg_type);
        }
        declared_types.by_table.insert(table, types);
    }
    declared_types
}
