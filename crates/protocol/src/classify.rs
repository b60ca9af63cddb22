//! Classification of SQL texts for routing.
//!
//! A statement is classified as a read only if it is certain to be one.
//! Everything else is a write, including a text that cannot be parsed.

use sqlparser::ast::{
    ContextModifier, Query, Set, SetExpr, Statement, TransactionAccessMode, TransactionMode,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::keywords::Keyword;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer, Whitespace, Word};

use crate::options::{
    parse_change, OptionError, SessionVariable, StatementOptions, VariableChange,
};

mod functions;

use functions::CallEffect;

/// Kind of one statement, as far as it affects routing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Certainly only reads.
    Read,
    /// Writes, or is not certain to only read.
    Write,
    /// Begins a transaction.
    Begin {
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Affects only the transaction: savepoints, SET LOCAL, SET TRANSACTION.
    TransactionControl,
    /// Changes a variable of the proxy.
    SetVariable(VariableChange),
    /// Shows a variable of the proxy.
    ShowVariable(SessionVariable),
    /// Uses or changes state of the database session, so the caller's session
    /// must stay on its connection.
    SessionFeature,
    /// COPY FROM STDIN.
    CopyIn,
    /// COPY TO STDOUT.
    CopyOut,
    /// Has an invalid comment mark, or sets, shows or resets a variable of the
    /// proxy in an invalid way.
    InvalidOption(OptionError),
}

/// Classification of one SQL text, which may contain several statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementClass {
    /// Kinds of the statements in order; empty for an empty text.
    pub kinds: Vec<StatementKind>,
    /// Options from the comment marks of the text.
    pub options: StatementOptions,
    /// Whether the text may change the state of the database session in a way
    /// that its statement kinds do not show, because it could not be parsed or
    /// calls a procedure. The connection must be reset before it is reused.
    pub opaque: bool,
}

impl StatementClass {
    /// Returns whether every statement is a read.
    pub fn is_read(&self) -> bool {
        self.kinds.iter().all(|kind| *kind == StatementKind::Read)
    }

    /// Returns whether the proxy itself answers at least one of the statements.
    pub fn has_variable(&self) -> bool {
        self.kinds.iter().any(|kind| {
            matches!(
                kind,
                StatementKind::SetVariable(_) | StatementKind::ShowVariable(_)
            )
        })
    }
}

/// Classifies all statements of a text.
pub fn classify(text: &str) -> StatementClass {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize();
    let Ok(tokens) = tokens else {
        return classify_untokenized(text);
    };
    let options = match read_comment_options(&tokens) {
        Ok(options) => options,
        Err(error) => return invalid_option(error),
    };
    let mut collector = KindCollector::default();
    if contains_variable_schema(&tokens) {
        collector.add_each_statement(&tokens);
    } else {
        collector.add_tokens(tokens);
    }
    StatementClass {
        kinds: collector.kinds,
        options,
        opaque: collector.opaque,
    }
}

/// Collects the kinds of the statements of a text.
#[derive(Default)]
struct KindCollector {
    kinds: Vec<StatementKind>,
    opaque: bool,
}

impl KindCollector {
    /// Classifies each statement separately, because statements on variables of
    /// the proxy are recognised by their tokens before parsing.
    fn add_each_statement(&mut self, tokens: &[Token]) {
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
        let effect = functions::call_effect(&tokens);
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
            self.kinds
                .push(adjust_for_calls(kind_of(statement), effect));
        }
    }
}

/// Returns the kind of a single statement that the parser does not support.
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

/// Adjusts the kind of a statement to the effect of the function calls in its
/// text.
fn adjust_for_calls(kind: StatementKind, effect: CallEffect) -> StatementKind {
    match (kind, effect) {
        (StatementKind::Read, CallEffect::Unknown) => StatementKind::Write,
        (StatementKind::Read | StatementKind::Write, CallEffect::Session) => {
            StatementKind::SessionFeature
        }
        (kind, _) => kind,
    }
}

/// Classifies a text that has an invalid comment mark.
fn invalid_option(error: OptionError) -> StatementClass {
    StatementClass {
        kinds: vec![StatementKind::InvalidOption(error)],
        options: StatementOptions::default(),
        opaque: false,
    }
}

/// Classifies a text that could not be tokenised. Its comment marks are searched
/// for in the raw text, so that the request id is not lost. A comment inside a
/// literal may then count as a mark, which can only add restrictions to the
/// request.
fn classify_untokenized(text: &str) -> StatementClass {
    let mut options = StatementOptions::default();
    for part in text.split("/*").skip(1) {
        let comment = part.split("*/").next().unwrap_or_default();
        if let Err(error) = options.add_comment(comment) {
            return invalid_option(error);
        }
    }
    StatementClass {
        kinds: vec![StatementKind::Write],
        options,
        opaque: true,
    }
}

/// Reads the options from the comment marks of a text.
fn read_comment_options(tokens: &[Token]) -> crate::options::Result<StatementOptions> {
    let mut options = StatementOptions::default();
    for token in tokens {
        if let Token::Whitespace(Whitespace::MultiLineComment(comment)) = token {
            options.add_comment(comment)?;
        }
    }
    Ok(options)
}

/// Returns whether a text mentions `cassia`, the schema of the proxy's variables.
fn contains_variable_schema(tokens: &[Token]) -> bool {
    tokens.iter().any(
        |token| matches!(token, Token::Word(word) if word.value.eq_ignore_ascii_case("cassia")),
    )
}

/// Returns the kind of a SET, SHOW or RESET statement on a variable of the proxy;
/// `None` for any other statement.
fn variable_statement(tokens: &[Token]) -> Option<StatementKind> {
    let significant: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_)))
        .collect();
    let (first, rest) = significant.split_first()?;
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
            StatementKind::InvalidOption(OptionError::UnknownVariable(name.value.clone()))
        }
        (Some(variable), Keyword::SHOW) if tail.is_empty() => StatementKind::ShowVariable(variable),
        (Some(variable), Keyword::RESET) if tail.is_empty() => change_kind(variable, None),
        (Some(variable), Keyword::SET) => match assigned_value(tail) {
            Some(value) => change_kind(variable, Some(value).filter(|value| !value.is_empty())),
            None => StatementKind::InvalidOption(OptionError::BadAssignment),
        },
        _ => return None,
    };
    Some(kind)
}

fn change_kind(variable: SessionVariable, value: Option<String>) -> StatementKind {
    match parse_change(variable, value.as_deref()) {
        Ok(change) => StatementKind::SetVariable(change),
        Err(error) => StatementKind::InvalidOption(error),
    }
}

/// Skips SESSION or LOCAL, since variables of the proxy always belong to the
/// session.
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

/// Parses `= value` or `TO value`. `DEFAULT` yields an empty value, which resets
/// the variable.
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
    let ctes = query.with.iter().flat_map(|with| &with.cte_tables);
    let mut kinds = ctes.map(|cte| query_kind(&cte.query));
    let all_read = kinds.all(|kind| kind == StatementKind::Read);
    if all_read && is_read_body(&query.body) {
        StatementKind::Read
    } else {
        StatementKind::Write
    }
}

fn is_read_body(body: &SetExpr) -> bool {
    match body {
        SetExpr::Select(select) => select.into.is_none(),
        SetExpr::Query(query) => query_kind(query) == StatementKind::Read,
        SetExpr::SetOperation { left, right, .. } => is_read_body(left) && is_read_body(right),
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

/// Classifies an EXPLAIN. With ANALYZE the explained statement is executed. The
/// options may contain ANALYZE, so any option makes the EXPLAIN a write.
fn explain_kind(may_execute: bool, statement: &Statement) -> StatementKind {
    match kind_of(statement) {
        StatementKind::Read if !may_execute => StatementKind::Read,
        _ => StatementKind::Write,
    }
}
