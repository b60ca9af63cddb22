//! Classification of SQL texts.
//!
//! A statement counts as a read only when it is certain to be one. Everything
//! else, a text that cannot be parsed included, is a write.

use sqlparser::ast::{
    ContextModifier, Query, Set, SetExpr, Statement, TransactionAccessMode, TransactionMode,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::keywords::Keyword;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer, Whitespace, Word};

use crate::mark::{parse_change, MarkError, SessionVariable, StatementMark, VariableChange};

mod functions;

use functions::CallSafety;

/// What one statement does, as far as routing is concerned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Certainly reads only.
    Read,
    /// Writes, or is not certain to read only.
    Write,
    /// Begins a transaction.
    Begin {
        /// Whether it is declared read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Acts on the transaction only: savepoints, SET LOCAL, SET TRANSACTION.
    TransactionControl,
    /// Changes a variable of the proxy.
    SetVariable(VariableChange),
    /// Shows a variable of the proxy.
    ShowVariable(SessionVariable),
    /// Changes the state of the database session, which must then stay on its
    /// connection.
    SessionFeature,
    /// COPY FROM STDIN.
    CopyIn,
    /// COPY TO STDOUT.
    CopyOut,
    /// Contains a bad mark or a bad variable.
    Bad(MarkError),
}

/// Classification of one text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementClass {
    /// Kinds of the statements, in order. Empty for an empty text.
    pub kinds: Vec<StatementKind>,
    /// What the comment marks say.
    pub mark: StatementMark,
    /// Whether the text may change the state of the database session without
    /// that being visible here: it could not be parsed, or it runs a procedure.
    /// Its connection must be cleaned before reuse.
    pub opaque: bool,
}

impl StatementClass {
    /// Tells whether every statement is a read.
    pub fn is_read(&self) -> bool {
        self.kinds.iter().all(|kind| *kind == StatementKind::Read)
    }

    /// Tells whether the proxy answers some statement itself.
    pub fn has_variable(&self) -> bool {
        self.kinds.iter().any(|kind| {
            matches!(
                kind,
                StatementKind::SetVariable(_) | StatementKind::ShowVariable(_)
            )
        })
    }
}

/// Classifies a text with all its statements.
pub fn classify(text: &str) -> StatementClass {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize();
    let Ok(tokens) = tokens else {
        return unparsed(text);
    };
    let mark = match read_marks(&tokens) {
        Ok(mark) => mark,
        Err(error) => return bad(error),
    };
    let mut parts = PartKinds::default();
    if mentions_cassia(&tokens) {
        parts.add_parts(&tokens);
    } else {
        parts.add_tokens(tokens);
    }
    StatementClass {
        kinds: parts.kinds,
        mark,
        opaque: parts.opaque,
    }
}

/// Kinds collected so far.
#[derive(Default)]
struct PartKinds {
    kinds: Vec<StatementKind>,
    opaque: bool,
}

impl PartKinds {
    /// Classifies statement by statement, because variables of the proxy are
    /// recognised from their tokens.
    fn add_parts(&mut self, tokens: &[Token]) {
        for part in tokens.split(|token| *token == Token::SemiColon) {
            match variable_statement(part) {
                Some(kind) => self.kinds.push(kind),
                None => self.add_tokens(part.to_vec()),
            }
        }
    }

    fn add_tokens(&mut self, tokens: Vec<Token>) {
        if let Some(kind) = unparsable_kind(&tokens) {
            self.kinds.push(kind);
            return;
        }
        let safety = functions::call_safety(&tokens);
        let statements = Parser::new(&PostgreSqlDialect {})
            .with_tokens(tokens)
            .parse_statements();
        let Ok(statements) = statements else {
            self.opaque = true;
            self.kinds.push(StatementKind::Write);
            return;
        };
        for statement in &statements {
            self.opaque |= matches!(statement, Statement::Call(_));
            self.kinds.push(with_calls(kind_of(statement), safety));
        }
    }
}

/// Recognises single statements that the parser does not know.
fn unparsable_kind(tokens: &[Token]) -> Option<StatementKind> {
    let mut words = tokens.iter().filter_map(word_of);
    let first = words.next()?;
    let single = !tokens.contains(&Token::SemiColon);
    match first.keyword {
        Keyword::RESET if single => Some(StatementKind::SessionFeature),
        Keyword::ABORT if single => Some(StatementKind::Rollback),
        Keyword::COPY => words.find_map(|word| match word.keyword {
            Keyword::STDIN => Some(StatementKind::CopyIn),
            Keyword::STDOUT => Some(StatementKind::CopyOut),
            _ => None,
        }),
        _ => None,
    }
}

fn with_calls(kind: StatementKind, safety: CallSafety) -> StatementKind {
    match (kind, safety) {
        (StatementKind::Read, CallSafety::Unknown) => StatementKind::Write,
        (StatementKind::Read | StatementKind::Write, CallSafety::Session) => {
            StatementKind::SessionFeature
        }
        (kind, _) => kind,
    }
}

fn bad(error: MarkError) -> StatementClass {
    StatementClass {
        kinds: vec![StatementKind::Bad(error)],
        mark: StatementMark::default(),
        opaque: false,
    }
}

/// Classifies a text that has no token sequence. Marks are read from the text
/// itself, so that a request id is not lost: a comment inside a literal may
/// then count as a mark, which can only make the request stricter.
fn unparsed(text: &str) -> StatementClass {
    let mut mark = StatementMark::default();
    for part in text.split("/*").skip(1) {
        let comment = part.split("*/").next().unwrap_or_default();
        if let Err(error) = mark.read_comment(comment) {
            return bad(error);
        }
    }
    StatementClass {
        kinds: vec![StatementKind::Write],
        mark,
        opaque: true,
    }
}

fn read_marks(tokens: &[Token]) -> crate::mark::Result<StatementMark> {
    let mut mark = StatementMark::default();
    for token in tokens {
        if let Token::Whitespace(Whitespace::MultiLineComment(comment)) = token {
            mark.read_comment(comment)?;
        }
    }
    Ok(mark)
}

fn mentions_cassia(tokens: &[Token]) -> bool {
    tokens.iter().any(
        |token| matches!(token, Token::Word(word) if word.value.eq_ignore_ascii_case("cassia")),
    )
}

fn variable_statement(tokens: &[Token]) -> Option<StatementKind> {
    let words: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_)))
        .collect();
    let (first, rest) = words.split_first()?;
    let verb = word_of(first)?.keyword;
    let rest = skip_scope(rest);
    let [Token::Word(schema), Token::Period, Token::Word(name), tail @ ..] = rest else {
        return None;
    };
    if !schema.value.eq_ignore_ascii_case("cassia") {
        return None;
    }
    let variable = SessionVariable::find(&format!("cassia.{}", name.value));
    let kind = match (variable, verb) {
        (None, Keyword::SET | Keyword::SHOW | Keyword::RESET) => {
            StatementKind::Bad(MarkError::UnknownVariable(name.value.clone()))
        }
        (Some(variable), Keyword::SHOW) if tail.is_empty() => StatementKind::ShowVariable(variable),
        (Some(variable), Keyword::RESET) if tail.is_empty() => change(variable, None),
        (Some(variable), Keyword::SET) => match assigned_value(tail) {
            Some(value) => change(variable, Some(value).filter(|value| !value.is_empty())),
            None => StatementKind::Bad(MarkError::BadAssignment),
        },
        _ => return None,
    };
    Some(kind)
}

fn change(variable: SessionVariable, value: Option<String>) -> StatementKind {
    match parse_change(variable, value.as_deref()) {
        Ok(change) => StatementKind::SetVariable(change),
        Err(error) => StatementKind::Bad(error),
    }
}

/// Skips SESSION or LOCAL. Variables of the proxy belong to the session.
fn skip_scope<'a, 'b>(tokens: &'b [&'a Token]) -> &'b [&'a Token] {
    match tokens.split_first() {
        Some((Token::Word(word), rest))
            if matches!(word.keyword, Keyword::SESSION | Keyword::LOCAL) =>
        {
            rest
        }
        _ => tokens,
    }
}

/// Reads `= value` or `TO value`; `DEFAULT` reads as an empty value.
fn assigned_value(tokens: &[&Token]) -> Option<String> {
    let (first, rest) = tokens.split_first()?;
    let assigns = match first {
        Token::Eq => true,
        Token::Word(word) => word.keyword == Keyword::TO,
        _ => false,
    };
    if !assigns {
        return None;
    }
    match rest {
        [Token::SingleQuotedString(value)] => Some(value.clone()),
        [Token::Number(value, _)] => Some(value.clone()),
        [Token::Word(word)] if word.keyword == Keyword::DEFAULT => Some(String::new()),
        [Token::Word(word)] => Some(word.value.clone()),
        _ => None,
    }
}

fn word_of(token: &Token) -> Option<&Word> {
    match token {
        Token::Word(word) => Some(word),
        _ => None,
    }
}

fn kind_of(statement: &Statement) -> StatementKind {
    match statement {
        Statement::Query(query) => query_kind(query),
        Statement::StartTransaction { modes, .. } => StatementKind::Begin {
            read_only: modes.contains(&TransactionMode::AccessMode(
                TransactionAccessMode::ReadOnly,
            )),
        },
        Statement::Commit { .. } => StatementKind::Commit,
        Statement::Rollback {
            savepoint: None, ..
        } => StatementKind::Rollback,
        Statement::Rollback { .. }
        | Statement::Savepoint { .. }
        | Statement::ReleaseSavepoint { .. } => StatementKind::TransactionControl,
        Statement::Set(set) => set_kind(set),
        Statement::ShowVariable { .. } | Statement::ExplainTable { .. } => StatementKind::Read,
        Statement::Explain {
            analyze,
            statement,
            options,
            ..
        } => explain_kind(*analyze || options.is_some(), statement),
        Statement::CreateTable(table) if table.temporary => StatementKind::SessionFeature,
        Statement::CreateView {
            temporary: true, ..
        } => StatementKind::SessionFeature,
        Statement::CreateSequence {
            temporary: true, ..
        }
        | Statement::LISTEN { .. }
        | Statement::UNLISTEN { .. }
        | Statement::Prepare { .. }
        | Statement::Execute { .. }
        | Statement::Deallocate { .. }
        | Statement::Discard { .. }
        | Statement::Declare { .. } => StatementKind::SessionFeature,
        _ => StatementKind::Write,
    }
}

fn query_kind(query: &Query) -> StatementKind {
    if !query.locks.is_empty() || query.for_clause.is_some() {
        return StatementKind::Write;
    }
    let common = query.with.iter().flat_map(|with| &with.cte_tables);
    let mut kinds = common.map(|table| query_kind(&table.query));
    let all_read = kinds.all(|kind| kind == StatementKind::Read);
    if all_read && body_reads(&query.body) {
        StatementKind::Read
    } else {
        StatementKind::Write
    }
}

fn body_reads(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::Query(query) => query_kind(query) == StatementKind::Read,
        SetExpr::SetOperation { left, right, .. } => body_reads(left) && body_reads(right),
        SetExpr::Values(_) | SetExpr::Table(_) => true,
        _ => false,
    }
}

fn set_kind(set: &Set) -> StatementKind {
    let local = match set {
        Set::SingleAssignment { scope, .. } => *scope == Some(ContextModifier::Local),
        Set::SetTimeZone { local, .. } => *local,
        Set::SetRole {
            context_modifier, ..
        } => *context_modifier == Some(ContextModifier::Local),
        Set::SetTransaction { session, .. } => !session,
        _ => false,
    };
    if local {
        StatementKind::TransactionControl
    } else {
        StatementKind::SessionFeature
    }
}

/// Options may contain ANALYZE, so any option makes the statement a write.
fn explain_kind(may_run: bool, statement: &Statement) -> StatementKind {
    match kind_of(statement) {
        StatementKind::Read if !may_run => StatementKind::Read,
        _ => StatementKind::Write,
    }
}
