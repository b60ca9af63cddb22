//! Splits PostgreSQL text into statements and translates them to SQLite's dialect.
//! It works on tokens and does not parse the statements.

/// Lexical class of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// Keyword or unquoted identifier.
    Word,
    /// Identifier in double quotes.
    QuotedName,
    /// Numeric literal.
    Number,
    /// String literal.
    Text,
    /// Parameter such as `$1`.
    Param,
    /// Operator or punctuation.
    Symbol,
}

/// A token. Comments and white space produce no tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlToken {
    /// Lexical class.
    pub kind: TokenKind,
    /// Text as in the statement; words keep their case.
    pub text: String,
    /// Type name of a `::` cast that follows the token. SQLite does not have this
    /// syntax, so the cast is used only to infer types.
    pub cast: Option<String>,
}

impl SqlToken {
    /// Returns whether the token is the given keyword or symbol, in any case.
    pub fn is(&self, text: &str) -> bool {
        matches!(self.kind, TokenKind::Word | TokenKind::Symbol)
            && self.text.eq_ignore_ascii_case(text)
    }

    /// Returns the identifier that a word or a quoted name denotes.
    pub fn name(&self) -> Option<String> {
        match self.kind {
            TokenKind::Word => Some(self.text.to_ascii_lowercase()),
            TokenKind::QuotedName => Some(self.text.trim_matches('"').to_owned()),
            _ => None,
        }
    }

    /// Returns the number of a `$n` parameter.
    pub fn param(&self) -> Option<usize> {
        if self.kind != TokenKind::Param {
            return None;
        }
        self.text[1..].parse().ok()
    }
}

/// Splits `text` into statements, each a list of tokens. Empty statements are
/// omitted.
pub fn split_statements(text: &str) -> Vec<Vec<SqlToken>> {
    tokenize(text)
        .split(|token| token.is(";"))
        .filter(|tokens| !tokens.is_empty())
        .map(<[SqlToken]>::to_vec)
        .collect()
}

/// Joins tokens to a statement text, without their casts.
pub fn render(tokens: &[SqlToken]) -> String {
    let texts: Vec<&str> = tokens.iter().map(|token| token.text.as_str()).collect();
    texts.join(" ")
}

/// Replaces PostgreSQL syntax that SQLite does not have. `process_id` is the value
/// of `pg_backend_pid()`.
pub fn translate(tokens: &[SqlToken], process_id: i32) -> Vec<SqlToken> {
    let is_create = tokens.first().is_some_and(|token| token.is("create"));
    let mut output: Vec<SqlToken> = Vec::with_capacity(tokens.len());
    let mut rest = tokens;
    while let Some(token) = rest.first() {
        let (translated, consumed) = match ignored_token_count(rest) {
            0 => replacement(rest, is_create, process_id).unwrap_or((token.clone(), 1)),
            count => {
                rest = &rest[count..];
                continue;
            }
        };
        output.push(translated);
        rest = &rest[consumed..];
    }
    output
}

/// Returns the number of leading tokens that the translation omits: the schema
/// `public.`, and a final `FOR UPDATE`, because a write takes the write lock
/// instead.
fn ignored_token_count(rest: &[SqlToken]) -> usize {
    let is_lock = rest.len() == 2 && rest[0].is("for") && rest[1].is("update");
    let is_schema = rest[0].is("public") && rest.get(1).is_some_and(|next| next.is("."));
    if is_lock || is_schema {
        2
    } else {
        0
    }
}

/// Returns the replacement for the leading tokens and the number of tokens that it
/// replaces. Returns `None` if the first token stays as it is.
fn replacement(rest: &[SqlToken], is_create: bool, process_id: i32) -> Option<(SqlToken, usize)> {
    let token = &rest[0];
    if token.kind != TokenKind::Word {
        return None;
    }
    let is_call = rest.len() >= 3 && rest[1].is("(") && rest[2].is(")");
    let word = |text: &str, consumed| Some((new_token(TokenKind::Word, text), consumed));
    match token.text.to_ascii_lowercase().as_str() {
        "now" | "clock_timestamp" if is_call => match subtracted_interval(&rest[3..]) {
            Some(text) => word(&time_minus(text), 6),
            None => word("CURRENT_TIMESTAMP", 3),
        },
        "current_timestamp" => {
            let text = subtracted_interval(&rest[1..])?;
            word(&time_minus(text), 4)
        }
        "pg_backend_pid" if is_call => {
            Some((new_token(TokenKind::Number, &process_id.to_string()), 3))
        }
        "serial" | "bigserial" if is_create => word("INTEGER", 1),
        "ilike" => word("LIKE", 1),
        "truncate" if rest.get(1).is_some_and(|next| next.name().is_some()) => {
            let has_table = rest[1].is("table");
            word("DELETE FROM", 1 + usize::from(has_table))
        }
        _ => None,
    }
}

/// Returns the text of the literal if `rest` starts with `- interval '...'`.
fn subtracted_interval(rest: &[SqlToken]) -> Option<&str> {
    let is_interval = rest.len() >= 3 && rest[0].is("-") && rest[1].is("interval");
    let literal = rest.get(2).filter(|_| is_interval)?;
    literal.text.strip_prefix('\'')?.strip_suffix('\'')
}

/// Returns SQLite's expression for the current time minus an interval of one unit,
/// such as `7 days`, in the same text form as the current time.
fn time_minus(interval: &str) -> String {
    format!("strftime('%Y-%m-%d %H:%M:%f+00', substr(CURRENT_TIMESTAMP, 1, 23), '-{interval}')")
}

fn new_token(kind: TokenKind, text: &str) -> SqlToken {
    SqlToken {
        kind,
        text: text.to_owned(),
        cast: None,
    }
}

fn tokenize(text: &str) -> Vec<SqlToken> {
    let mut tokens: Vec<SqlToken> = Vec::new();
    let mut rest = text;
    while let Some(first) = rest.chars().next() {
        let skipped = skip_length(rest);
        if skipped > 0 {
            rest = &rest[skipped..];
            continue;
        }
        if let Some(cast) = rest.strip_prefix("::") {
            let (name, length) = cast_name(cast);
            if let Some(token) = tokens.last_mut() {
                token.cast = Some(name);
            }
            rest = &cast[length..];
            continue;
        }
        let (kind, length) = next_token(rest, first);
        tokens.push(new_token(kind, &rest[..length]));
        rest = &rest[length..];
    }
    tokens
}

/// Returns the length in bytes of the white space or comment at the start of
/// `text`, 0 if there is none.
fn skip_length(text: &str) -> usize {
    let blank = text.len() - text.trim_start().len();
    if blank > 0 {
        return blank;
    }
    if text.starts_with("--") {
        return text.find('\n').unwrap_or(text.len());
    }
    if text.starts_with("/*") {
        return comment_length(text);
    }
    0
}

/// Returns the length in bytes of the block comment at the start of `text`. Block
/// comments nest in PostgreSQL.
fn comment_length(text: &str) -> usize {
    let mut depth = 0;
    let mut index = 0;
    while index < text.len() {
        let rest = &text.as_bytes()[index..];
        if rest.starts_with(b"/*") {
            depth += 1;
            index += 2;
        } else if rest.starts_with(b"*/") {
            depth -= 1;
            index += 2;
        } else {
            index += 1;
        }
        if depth == 0 {
            return index;
        }
    }
    text.len()
}

/// Returns the class and the length in bytes of the token at the start of `text`.
fn next_token(text: &str, first: char) -> (TokenKind, usize) {
    match first {
        '\'' => (TokenKind::Text, quoted_length(text, '\'')),
        '"' => (TokenKind::QuotedName, quoted_length(text, '"')),
        '$' => (TokenKind::Param, 1 + digits_length(&text[1..])),
        '0'..='9' => (TokenKind::Number, number_length(text)),
        _ if is_word_char(first) => (TokenKind::Word, word_length(text)),
        _ => (TokenKind::Symbol, symbol_length(text, first)),
    }
}

fn quoted_length(text: &str, quote: char) -> usize {
    let mut index = 1;
    loop {
        let Some(end) = text[index..].find(quote) else {
            return text.len();
        };
        index += end + 1;
        // A doubled quote is an escaped quote.
        if !text[index..].starts_with(quote) {
            return index;
        }
        index += 1;
    }
}

fn digits_length(text: &str) -> usize {
    text.find(|digit: char| !digit.is_ascii_digit())
        .unwrap_or(text.len())
}

fn number_length(text: &str) -> usize {
    text.find(|digit: char| !(digit.is_ascii_alphanumeric() || digit == '.'))
        .unwrap_or(text.len())
}

fn is_word_char(letter: char) -> bool {
    letter.is_alphanumeric() || letter == '_'
}

fn word_length(text: &str) -> usize {
    text.find(|letter: char| !is_word_char(letter))
        .unwrap_or(text.len())
}

fn symbol_length(text: &str, first: char) -> usize {
    for symbol in ["<=", ">=", "<>", "!=", "||", "->"] {
        if text.starts_with(symbol) {
            return symbol.len();
        }
    }
    first.len_utf8()
}

/// Returns the type name at the start of `text`, which follows `::`, and the
/// number of bytes that it takes.
fn cast_name(text: &str) -> (String, usize) {
    let blank = text.len() - text.trim_start().len();
    let mut length = blank + word_length(&text[blank..]);
    let name = text[blank..length].to_ascii_lowercase();
    if name == "double" && text[length..].starts_with(" precision") {
        length += " precision".len();
    }
    (name, length)
}
