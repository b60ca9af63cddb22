//! Types of result columns and parameters.
//!
//! SQLite types values, not expressions, while PostgreSQL clients need the
//! types before the statement runs. The rules here look at single tokens and
//! declared column types; a `::` cast states the type where they do not reach.

use std::collections::HashMap;

use pgwire::api::Type;
use rusqlite::Connection;

use super::sql::{render, SqlToken, TokenKind};
use super::statement::{Result, ResultColumn};
use super::value::type_by_name;

/// Returns the result columns of a statement.
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
    let mut known: Option<KnownColumns> = None;
    for (index, (name, declared)) in names.into_iter().enumerate() {
        let item = if is_listed { items[index] } else { &[] };
        let cast = item.last().and_then(|token| token.cast.as_deref());
        let kind = match (cast.map(type_by_name), declared) {
            (Some(kind), _) | (None, Some(kind)) => kind,
            (None, None) => {
                let known = known.get_or_insert_with(|| column_types(connection, tokens));
                item_type(item, known, param_types)
                    .or_else(|| known.get(&name.to_ascii_lowercase()).cloned())
                    .unwrap_or(Type::TEXT)
            }
        };
        columns.push(ResultColumn {
            name: column_name(item, name),
            kind,
        });
    }
    Ok(columns)
}

/// Returns the types of the parameters; `given` types win.
pub fn param_types(connection: &Connection, tokens: &[SqlToken], given: &[Type]) -> Vec<Type> {
    let count = tokens.iter().filter_map(SqlToken::param).max().unwrap_or(0);
    let mut types = Vec::with_capacity(count);
    let mut known: Option<KnownColumns> = None;
    for number in 1..=count {
        let stated = given.get(number - 1);
        if let Some(kind) = stated.filter(|kind| **kind != Type::UNKNOWN) {
            types.push(kind.clone());
            continue;
        }
        let known = known.get_or_insert_with(|| column_types(connection, tokens));
        types.push(param_type(tokens, number, known).unwrap_or(Type::TEXT));
    }
    types
}

fn param_type(tokens: &[SqlToken], number: usize, known: &KnownColumns) -> Option<Type> {
    let places = || (0..tokens.len()).filter(|&at| tokens[at].param() == Some(number));
    if let Some(cast) = places().find_map(|at| tokens[at].cast.as_deref()) {
        return Some(type_by_name(cast));
    }
    places().find_map(|at| type_from_place(tokens, at, known))
}

fn type_from_place(tokens: &[SqlToken], at: usize, known: &KnownColumns) -> Option<Type> {
    let before = |steps: usize| at.checked_sub(steps).map(|index| &tokens[index]);
    let column = |token: Option<&SqlToken>| known.get(&token?.name()?).cloned();
    if before(1).is_some_and(|token| token.is("limit") || token.is("offset")) {
        return Some(Type::INT8);
    }
    if before(2).is_some_and(|token| token.is("pg_sleep")) {
        return Some(Type::FLOAT8);
    }
    if before(1).is_some_and(is_operator) {
        if let Some(kind) = column(before(2)) {
            return Some(kind);
        }
    }
    if tokens.get(at + 1).is_some_and(is_operator) {
        if let Some(kind) = column(tokens.get(at + 2)) {
            return Some(kind);
        }
    }
    if before(1).is_some_and(|token| token.is("between")) {
        return column(before(2));
    }
    inserted_type(tokens, at, known).or_else(|| list_type(tokens, at, known))
}

/// Type of a parameter in `VALUES (...)`, from the column list of the INSERT.
fn inserted_type(tokens: &[SqlToken], at: usize, known: &KnownColumns) -> Option<Type> {
    let values = tokens.iter().position(|token| token.is("values"))?;
    let insert = tokens.iter().position(|token| token.is("into"))?;
    if at < values {
        return None;
    }
    let row = tokens[..at].iter().rposition(|token| token.is("("))?;
    let index = tokens[row..at].iter().filter(|token| token.is(",")).count();
    let Some(list) = tokens[insert..values].split(|token| token.is("(")).nth(1) else {
        // Without a column list the values are in the order of the table.
        let table = tokens[insert + 1..values].last()?.name()?;
        return known.by_table.get(&table)?.get(index).cloned();
    };
    let name = list.split(|token| token.is(",")).nth(index)?.first()?;
    known.get(&name.name()?).cloned()
}

/// Type of a parameter in `column IN (...)`.
fn list_type(tokens: &[SqlToken], at: usize, known: &KnownColumns) -> Option<Type> {
    let open = tokens[..at].iter().rposition(|token| token.is("("))?;
    let name = open.checked_sub(2).filter(|_| tokens[open - 1].is("in"))?;
    known.get(&tokens[name].name()?).cloned()
}

fn item_type(item: &[SqlToken], known: &KnownColumns, param_types: &[Type]) -> Option<Type> {
    let first = item.first()?;
    let is_call = item.get(1).is_some_and(|token| token.is("("));
    if is_call {
        match first.text.to_ascii_lowercase().as_str() {
            "count" | "sum" | "total_changes" => return Some(Type::INT8),
            "exists" => return Some(Type::BOOL),
            "avg" => return Some(Type::FLOAT8),
            "length" => return Some(Type::INT4),
            "cast" => return cast_type(item),
            "max" | "min" | "coalesce" | "abs" => return item_type(&item[2..], known, param_types),
            _ => return Some(Type::TEXT),
        }
    }
    if item.iter().any(is_comparison) || first.is("not") {
        return Some(Type::BOOL);
    }
    match first.kind {
        TokenKind::Number if first.text.contains('.') => Some(Type::FLOAT8),
        TokenKind::Number => Some(number_type(&first.text)),
        TokenKind::Param => param_types.get(first.param()?.checked_sub(1)?).cloned(),
        TokenKind::Word if first.is("true") || first.is("false") => Some(Type::BOOL),
        TokenKind::Word | TokenKind::QuotedName if item.get(1).is_some_and(|t| t.is(".")) => {
            known.get(&item.get(2)?.name()?).cloned()
        }
        TokenKind::Word | TokenKind::QuotedName => known.get(&first.name()?).cloned(),
        TokenKind::Sign if first.is("-") || first.is("(") => {
            item_type(&item[1..], known, param_types)
        }
        _ => Some(Type::TEXT),
    }
}

fn number_type(text: &str) -> Type {
    if text.parse::<i32>().is_ok() {
        Type::INT4
    } else {
        Type::INT8
    }
}

fn cast_type(item: &[SqlToken]) -> Option<Type> {
    let index = item.iter().rposition(|token| token.is("as"))?;
    let name = item.get(index + 1).filter(|token| !token.is(")"));
    // `CAST(x AS t) AS name` has a second AS outside the call.
    let inside = item[..index].iter().any(|token| token.is(")"));
    if inside {
        return cast_type(&item[..index]);
    }
    name.map(|token| type_by_name(&token.text))
}

fn is_operator(token: &SqlToken) -> bool {
    const OPERATORS: [&str; 10] = ["=", "<", ">", "<=", ">=", "<>", "!=", "+", "-", "like"];
    OPERATORS.iter().any(|sign| token.is(sign))
}

fn is_comparison(token: &SqlToken) -> bool {
    const COMPARISONS: [&str; 12] = [
        "=", "<", ">", "<=", ">=", "<>", "!=", "is", "in", "like", "and", "or",
    ];
    COMPARISONS.iter().any(|sign| token.is(sign))
}

fn has_star(item: &[SqlToken]) -> bool {
    // `*` and `t.*` expand to several columns; `count(*)` does not.
    item.last().is_some_and(|token| token.is("*"))
}

/// Returns the name that PostgreSQL gives a column without an alias.
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

/// Returns the items between SELECT and FROM, or behind RETURNING.
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
        } else if depth == 0 && ends_items(token) {
            items.push(&tokens[begin..index]);
            return items;
        }
    }
    items.push(&tokens[begin..]);
    items
}

fn ends_items(token: &SqlToken) -> bool {
    const WORDS: [&str; 6] = ["from", "where", "union", "order", "limit", "group"];
    WORDS.iter().any(|word| token.is(word))
}

/// Declared types of the columns of all tables that a statement names.
#[derive(Debug, Default)]
struct KnownColumns {
    by_name: HashMap<String, Type>,
    by_table: HashMap<String, Vec<Type>>,
}

impl KnownColumns {
    fn get(&self, name: &str) -> Option<&Type> {
        self.by_name.get(name)
    }
}

fn column_types(connection: &Connection, tokens: &[SqlToken]) -> KnownColumns {
    let mut known = KnownColumns::default();
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
            let kind = type_by_name(&declared);
            known
                .by_name
                .insert(name.to_ascii_lowercase(), kind.clone());
            types.push(kind);
        }
        known.by_table.insert(table, types);
    }
    known
}
