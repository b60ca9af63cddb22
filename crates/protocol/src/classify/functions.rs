//! Effect of the function calls in an SQL text.
//!
//! A function that is not listed here may write, so a statement that calls it is
//! a write. The check works on tokens and therefore covers calls at any nesting
//! depth.

use sqlparser::keywords::Keyword;
use sqlparser::tokenizer::Token;

/// Combined effect of all function calls in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEffect {
    /// All called functions are known to only read.
    ReadOnly,
    /// At least one called function is not known.
    Unknown,
    /// At least one called function uses or changes state of the database
    /// session.
    Session,
}

/// Functions that only read, sorted for binary search.
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

/// Functions that use or change state of the database session.
const SESSION_FUNCTIONS: &[&str] = &["currval", "lastval", "pg_backend_pid", "set_config"];

/// Name prefixes of the advisory lock functions.
const LOCK_PREFIXES: &[&str] = &["pg_advisory_", "pg_try_advisory_"];

/// Keywords that may precede a parenthesis without being a function call.
const NON_FUNCTION_WORDS: &[Keyword] = &[
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

/// Returns the combined effect of all calls. A word before a
/// parenthesis counts as a call unless it is one of `NON_FUNCTION_WORDS`.
pub(super) fn call_effect(tokens: &[Token]) -> CallEffect {
    let tokens: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_)))
        .collect();
    let mut effect = CallEffect::ReadOnly;
    for index in 1..tokens.len() {
        if *tokens[index] != Token::LParen {
            continue;
        }
        let qualifier = index.checked_sub(2).map(|before| tokens[before]);
        match effect_of_call(tokens[index - 1], qualifier) {
            CallEffect::Session => return CallEffect::Session,
            CallEffect::Unknown => effect = CallEffect::Unknown,
            CallEffect::ReadOnly => {}
        }
    }
    effect
}

fn effect_of_call(token: &Token, qualifier: Option<&Token>) -> CallEffect {
    let Token::Word(word) = token else {
        return CallEffect::ReadOnly;
    };
    let name = word.value.to_ascii_lowercase();
    let is_session = SESSION_FUNCTIONS.contains(&name.as_str())
        || LOCK_PREFIXES.iter().any(|prefix| name.starts_with(prefix));
    if is_session {
        return CallEffect::Session;
    }
    if word.quote_style.is_some() || qualifier == Some(&Token::Period) {
        // A quoted or qualified name may refer to a user-defined function.
        return CallEffect::Unknown;
    }
    if NON_FUNCTION_WORDS.contains(&word.keyword)
        || READ_FUNCTIONS.binary_search(&name.as_str()).is_ok()
    {
        return CallEffect::ReadOnly;
    }
    CallEffect::Unknown
}
