//! Which function calls a text contains.
//!
//! A function that is not listed may write, so a statement that calls it is a
//! write. The check works on tokens and therefore covers every nested place.

use sqlparser::keywords::Keyword;
use sqlparser::tokenizer::Token;

/// What the calls of a text allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallSafety {
    /// Only functions that are known to read.
    Known,
    /// Some function that is not known.
    Unknown,
    /// A function that changes the state of the database session.
    Session,
}

/// Functions that read only. Sorted.
const READ_FUNCTIONS: &[&str] = &[
    "abs",
    "age",
    "array_agg",
    "array_append",
    "array_length",
    "array_position",
    "array_to_string",
    "avg",
    "bit_length",
    "bool_and",
    "bool_or",
    "btrim",
    "cardinality",
    "ceil",
    "ceiling",
    "char_length",
    "character_length",
    "chr",
    "clock_timestamp",
    "coalesce",
    "col_description",
    "concat",
    "concat_ws",
    "count",
    "cume_dist",
    "current_database",
    "current_schema",
    "current_setting",
    "current_user",
    "date",
    "date_part",
    "date_trunc",
    "decode",
    "dense_rank",
    "encode",
    "every",
    "exp",
    "extract",
    "first_value",
    "floor",
    "format",
    "format_type",
    "generate_series",
    "greatest",
    "has_schema_privilege",
    "has_table_privilege",
    "ifnull",
    "initcap",
    "json_agg",
    "json_array_elements",
    "json_array_length",
    "json_build_array",
    "json_build_object",
    "json_each",
    "json_object_agg",
    "jsonb_agg",
    "jsonb_array_elements",
    "jsonb_array_length",
    "jsonb_build_array",
    "jsonb_build_object",
    "jsonb_each",
    "jsonb_object_agg",
    "jsonb_path_exists",
    "jsonb_path_query",
    "lag",
    "last_value",
    "lead",
    "least",
    "left",
    "length",
    "ln",
    "localtimestamp",
    "log",
    "lower",
    "lpad",
    "ltrim",
    "make_date",
    "make_interval",
    "make_timestamp",
    "max",
    "md5",
    "min",
    "mod",
    "mode",
    "now",
    "nth_value",
    "ntile",
    "nullif",
    "obj_description",
    "octet_length",
    "overlay",
    "percent_rank",
    "percentile_cont",
    "percentile_disc",
    "pg_get_constraintdef",
    "pg_get_expr",
    "pg_get_indexdef",
    "pg_get_userbyid",
    "pg_get_viewdef",
    "pg_is_in_recovery",
    "pg_sleep",
    "pg_table_is_visible",
    "pg_typeof",
    "pi",
    "position",
    "power",
    "quote_ident",
    "quote_literal",
    "random",
    "rank",
    "regexp_match",
    "regexp_matches",
    "regexp_replace",
    "regexp_split_to_array",
    "repeat",
    "replace",
    "reverse",
    "right",
    "round",
    "row_number",
    "row_to_json",
    "rpad",
    "rtrim",
    "sign",
    "split_part",
    "sqrt",
    "starts_with",
    "statement_timestamp",
    "stddev",
    "string_agg",
    "string_to_array",
    "strpos",
    "substr",
    "substring",
    "sum",
    "to_char",
    "to_date",
    "to_json",
    "to_jsonb",
    "to_number",
    "to_timestamp",
    "to_tsquery",
    "to_tsvector",
    "translate",
    "trim",
    "trunc",
    "ts_rank",
    "unnest",
    "upper",
    "variance",
    "version",
];

/// Functions whose effect belongs to the database session.
const SESSION_FUNCTIONS: &[&str] = &["currval", "lastval", "pg_backend_pid", "set_config"];

/// Prefixes of the advisory lock functions.
const LOCK_PREFIXES: &[&str] = &["pg_advisory_", "pg_try_advisory_"];

/// Words that may stand before a parenthesis without being a function.
const PLAIN_WORDS: &[Keyword] = &[
    Keyword::ALL,
    Keyword::AND,
    Keyword::ANY,
    Keyword::ARRAY,
    Keyword::AS,
    Keyword::BETWEEN,
    Keyword::BIT,
    Keyword::BY,
    Keyword::CASE,
    Keyword::CAST,
    Keyword::CHAR,
    Keyword::CHARACTER,
    Keyword::DEC,
    Keyword::DECIMAL,
    Keyword::DISTINCT,
    Keyword::ELSE,
    Keyword::EXCEPT,
    Keyword::EXISTS,
    Keyword::FILTER,
    Keyword::FROM,
    Keyword::GROUP,
    Keyword::HAVING,
    Keyword::ILIKE,
    Keyword::IN,
    Keyword::INTERSECT,
    Keyword::INTERVAL,
    Keyword::JOIN,
    Keyword::LATERAL,
    Keyword::LIKE,
    Keyword::LIMIT,
    Keyword::MATERIALIZED,
    Keyword::NOT,
    Keyword::NUMERIC,
    Keyword::OFFSET,
    Keyword::ON,
    Keyword::ONLY,
    Keyword::OR,
    Keyword::OVER,
    Keyword::ROLLUP,
    Keyword::CUBE,
    Keyword::SETS,
    Keyword::ROW,
    Keyword::SELECT,
    Keyword::SOME,
    Keyword::THEN,
    Keyword::TIME,
    Keyword::TIMESTAMP,
    Keyword::TIMESTAMPTZ,
    Keyword::UNION,
    Keyword::USING,
    Keyword::VALUES,
    Keyword::VARCHAR,
    Keyword::VARYING,
    Keyword::WHEN,
    Keyword::WHERE,
    Keyword::WITHIN,
    Keyword::EXPLAIN,
];

/// Looks at every word that stands before a parenthesis.
pub(super) fn call_safety(tokens: &[Token]) -> CallSafety {
    let tokens: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_)))
        .collect();
    let mut safety = CallSafety::Known;
    for index in 1..tokens.len() {
        if *tokens[index] != Token::LParen {
            continue;
        }
        let qualifier = index.checked_sub(2).map(|before| tokens[before]);
        match call_kind(tokens[index - 1], qualifier) {
            CallSafety::Session => return CallSafety::Session,
            CallSafety::Unknown => safety = CallSafety::Unknown,
            CallSafety::Known => {}
        }
    }
    safety
}

fn call_kind(token: &Token, qualifier: Option<&Token>) -> CallSafety {
    let Token::Word(word) = token else {
        return CallSafety::Known;
    };
    let name = word.value.to_ascii_lowercase();
    let is_session = SESSION_FUNCTIONS.contains(&name.as_str())
        || LOCK_PREFIXES.iter().any(|prefix| name.starts_with(prefix));
    if is_session {
        return CallSafety::Session;
    }
    if word.quote_style.is_some() || qualifier == Some(&Token::Period) {
        // A quoted or qualified name may be a function of the user's own.
        return CallSafety::Unknown;
    }
    if PLAIN_WORDS.contains(&word.keyword) || READ_FUNCTIONS.binary_search(&name.as_str()).is_ok() {
        return CallSafety::Known;
    }
    CallSafety::Unknown
}
