//! Splits PostgreSQL text into statements and rewrites the few spellings that
//! SQLite does not know. It is a tokenizer, not a parser.

/// Kind of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenKind {
    /// Keyword or identifier without quotes.
    Word,
    /// Identifier in double quotes.
    QuotedName,
    /// Number.
    Number,
    /// String literal.
    Text,
    /// Parameter such as `$1`.
    Param,
    /// Operator or punctuation.
    Sign,
}

/// One token. Comments and white space are dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlToken {
    /// Kind.
    pub kind: TokenKind,
    /// Text; words keep their case.
    pub text: String,
    /// Type name of a `::` cast behind the token. SQLite has no such casts, so
    /// they only serve as type hints.
    pub cast: Option<String>,
}

impl SqlToken {
    /// Tells whether the token is the given keyword or sign.
    pub fn is(&self, text: &str) -> bool {
        matches!(self.kind, TokenKind::Word | TokenKind::Sign)
            && self.text.eq_ignore_ascii_case(text)
    }

    /// Returns the name that a word or a quoted identifier stands for.
    pub fn name(&self) -> Option<String> {
        match self.kind {
            TokenKind::Word => Some(self.text.to_ascii_lowercase()),
            TokenKind::QuotedName => Some(self.text.trim_matches('"').to_owned()),
            _ => None,
        }
    }

    /// Returns the number of a parameter.
    pub fn param(&self) -> Option<usize> {
        if self.kind != TokenKind::Param {
            return None;
        }
        self.text[1..].parse().ok()
    }
}

/// Splits `text` into the token lists of its statements; empty statements are
/// dropped.
pub fn split_statements(text: &str) -> Vec<Vec<SqlToken>> {
    tokenize(text)
        .split(|token| token.is(";"))
        .filter(|tokens| !tokens.is_empty())
        .map(<[SqlToken]>::to_vec)
        .collect()
}

/// Renders tokens as text for SQLite.
pub fn render(tokens: &[SqlToken]) -> String {
    let texts: Vec<&str> = tokens.iter().map(|token| token.text.as_str()).collect();
    texts.join(" ")
}

/// Replaces spellings that SQLite does not know.
pub fn translate(tokens: &[SqlToken], process: i32) -> Vec<SqlToken> {
    let is_create = tokens.first().is_some_and(|token| token.is("create"));
    let mut output: Vec<SqlToken> = Vec::with_capacity(tokens.len());
    let mut rest = tokens;
    while let Some(token) = rest.first() {
        let (replacement, used) = match ignored_length(rest) {
            0 => replace(rest, is_create, process).unwrap_or((token.clone(), 1)),
            length => {
                rest = &rest[length..];
                continue;
            }
        };
        output.push(replacement);
        rest = &rest[used..];
    }
    output
}

/// Returns the number of tokens at the start that have no meaning here: the
/// schema `public.` and a final `FOR UPDATE`, which the write lock replaces.
fn ignored_length(rest: &[SqlToken]) -> usize {
    let is_lock = rest.len() == 2 && rest[0].is("for") && rest[1].is("update");
    let is_schema = rest[0].is("public") && rest.get(1).is_some_and(|next| next.is("."));
    if is_lock || is_schema {
        2
    } else {
        0
    }
}

/// Returns the replacement of the first tokens and how many it replaces.
fn replace(rest: &[SqlToken], is_create: bool, process: i32) -> Option<(SqlToken, usize)> {
    let token = &rest[0];
    if token.kind != TokenKind::Word {
        return None;
    }
    let is_call = rest.len() >= 3 && rest[1].is("(") && rest[2].is(")");
    let word = |text: &str, used| Some((new_token(TokenKind::Word, text), used));
    match token.text.to_ascii_lowercase().as_str() {
        "now" | "clock_timestamp" if is_call => match interval_behind(&rest[3..]) {
            Some(text) => word(&time_minus(text), 6),
            None => word("CURRENT_TIMESTAMP", 3),
        },
        "current_timestamp" => {
            let text = interval_behind(&rest[1..])?;
            word(&time_minus(text), 4)
        }
        "pg_backend_pid" if is_call => {
            Some((new_token(TokenKind::Number, &process.to_string()), 3))
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

/// Returns the literal of `- interval '...'` at the start of `rest`.
fn interval_behind(rest: &[SqlToken]) -> Option<&str> {
    let is_interval = rest.len() >= 3 && rest[0].is("-") && rest[1].is("interval");
    let literal = rest.get(2).filter(|_| is_interval)?;
    literal.text.strip_prefix('\'')?.strip_suffix('\'')
}

/// SQLite's expression for the current time minus an interval of one unit, such
/// as `7 days`, in the same text form as the current time.
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

/// Returns the length of the white space or comment at the start of `text`.
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

/// Returns the length of a block comment; PostgreSQL nests them.
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

fn next_token(text: &str, first: char) -> (TokenKind, usize) {
    match first {
        '\'' => (TokenKind::Text, quoted_length(text, '\'')),
        '"' => (TokenKind::QuotedName, quoted_length(text, '"')),
        '$' => (TokenKind::Param, 1 + digits_length(&text[1..])),
        '0'..='9' => (TokenKind::Number, number_length(text)),
        _ if is_word_char(first) => (TokenKind::Word, word_length(text)),
        _ => (TokenKind::Sign, sign_length(text, first)),
    }
}

fn quoted_length(text: &str, quote: char) -> usize {
    let mut index = 1;
    loop {
        let Some(end) = text[index..].find(quote) else {
            return text.len();
        };
        index += end + 1;
        // A doubled quote stands for the quote itself.
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

fn sign_length(text: &str, first: char) -> usize {
    for sign in ["<=", ">=", "<>", "!=", "||", "->"] {
        if text.starts_with(sign) {
            return sign.len();
        }
    }
    first.len_utf8()
}

/// Returns the type name behind `::` and its length.
fn cast_name(text: &str) -> (String, usize) {
    let blank = text.len() - text.trim_start().len();
    let mut length = blank + word_length(&text[blank..]);
    let name = text[blank..length].to_ascii_lowercase();
    if name == "double" && text[length..].starts_with(" precision") {
        length += " precision".len();
    }
    (name, length)
}
