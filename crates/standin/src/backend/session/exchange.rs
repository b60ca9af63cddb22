//! The message loop of a session, for the simple and the extended query protocol.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;

use pgwire::api::Type;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
};
use pgwire::messages::response::{CommandComplete, EmptyQueryResponse};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};

use super::execute::{SessionState, StatementCall};
use super::{ConnectionGuard, StatementServer};
use crate::backend::sql::{split_statements, SqlToken};
use crate::backend::startup::MessageStream;
use crate::backend::statement::{
    Result, ResultColumn, ResultFormats, StatementError, StatementOutput,
};
use crate::backend::value::{decode_param, SqlValue};

/// Target type in Describe and Close for a prepared statement.
const TARGET_STATEMENT: u8 = b'S';

/// A session on a statement connection, with its prepared statements and portals.
#[derive(Debug)]
pub struct Session {
    stream: MessageStream,
    state: SessionState,
    statements: HashMap<String, PreparedStatement>,
    portals: HashMap<String, BoundPortal>,
    /// Whether messages are ignored: from an error in the extended protocol until
    /// the next Sync.
    skips_until_sync: bool,
}

#[derive(Clone, Debug)]
struct PreparedStatement {
    tokens: Vec<SqlToken>,
    param_types: Vec<Type>,
}

#[derive(Clone, Debug)]
struct BoundPortal {
    statement: PreparedStatement,
    params: Vec<SqlValue>,
    formats: ResultFormats,
}

impl Session {
    /// Creates a session on an accepted connection.
    pub(super) fn new(
        server: Arc<StatementServer>,
        stream: MessageStream,
        guard: &ConnectionGuard,
    ) -> Self {
        Self {
            stream,
            state: SessionState::new(server, guard),
            statements: HashMap::new(),
            portals: HashMap::new(),
            skips_until_sync: false,
        }
    }

    /// Handles messages until the caller ends the session or the connection fails.
    pub async fn run(mut self) -> io::Result<()> {
        while let Some(message) = self.stream.receive().await? {
            match message {
                PgWireFrontendMessage::Terminate(_) => return Ok(()),
                PgWireFrontendMessage::Query(query) => self.simple_query(&query.query).await?,
                PgWireFrontendMessage::Sync(_) => self.handle_sync().await?,
                PgWireFrontendMessage::Flush(_) => self.stream.flush().await?,
                message if !self.skips_until_sync => self.extended_message(message).await?,
                _ => {}
            }
        }
        Ok(())
    }

    async fn simple_query(&mut self, text: &str) -> io::Result<()> {
        let statements = split_statements(text);
        if statements.is_empty() {
            self.push(PgWireBackendMessage::EmptyQueryResponse(
                EmptyQueryResponse::new(),
            ))?;
        }
        for tokens in statements {
            let call = StatementCall {
                tokens: &tokens,
                params: &[],
                param_types: &[],
                formats: &ResultFormats::default(),
            };
            match self.state.execute(call).await {
                Ok(output) => {
                    self.drop_prepared_statements(&tokens);
                    if !output.columns.is_empty() {
                        self.push_columns(&output.columns, &ResultFormats::default())?;
                    }
                    self.push_output(output)?;
                }
                Err(error) => {
                    self.fail_transaction(&error)?;
                    break;
                }
            }
        }
        self.finish_exchange().await
    }

    async fn handle_sync(&mut self) -> io::Result<()> {
        self.skips_until_sync = false;
        self.finish_exchange().await
    }

    /// Commits an implicit transaction and sends the buffered answers. Fails, which
    /// closes the connection, if the transaction cannot be committed.
    async fn finish_exchange(&mut self) -> io::Result<()> {
        if let Err(error) = self.state.commit_implicit() {
            // The member was fenced, so the write did not commit. The buffered
            // answer to it must not reach the caller.
            return Err(io::Error::other(error.message));
        }
        self.stream.push_ready(self.state.status())?;
        self.stream.flush().await
    }

    async fn extended_message(&mut self, message: PgWireFrontendMessage) -> io::Result<()> {
        let result = match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse),
            PgWireFrontendMessage::Bind(bind) => self.bind(&bind),
            PgWireFrontendMessage::Describe(describe) => self.describe(&describe),
            PgWireFrontendMessage::Execute(execute) => self.execute(&execute).await,
            PgWireFrontendMessage::Close(close) => Ok(self.close(&close)),
            _ => Err(StatementError::new("0A000", "message is not supported")),
        };
        match result {
            Ok(messages) => messages
                .into_iter()
                .try_for_each(|message| self.push(message)),
            Err(error) => {
                self.skips_until_sync = true;
                self.fail_transaction(&error)
            }
        }
    }

    fn parse(&mut self, parse: Parse) -> Result<Vec<PgWireBackendMessage>> {
        let mut statements = split_statements(&parse.query);
        if statements.len() > 1 {
            return Err(StatementError::new(
                "42601",
                "cannot insert multiple commands into a prepared statement",
            ));
        }
        let tokens = statements.pop().unwrap_or_default();
        let specified: Vec<Type> = parse
            .type_oids
            .iter()
            .map(|oid| Type::from_oid(*oid).unwrap_or(Type::UNKNOWN))
            .collect();
        let param_types = self.state.check_prepared(&tokens, &specified)?;
        self.statements.insert(
            parse.name.unwrap_or_default(),
            PreparedStatement {
                tokens,
                param_types,
            },
        );
        Ok(vec![PgWireBackendMessage::ParseComplete(
            ParseComplete::new(),
        )])
    }

    fn bind(&mut self, bind: &Bind) -> Result<Vec<PgWireBackendMessage>> {
        let statement = self.find_statement(bind.statement_name.as_deref())?;
        let formats = ResultFormats(bind.parameter_format_codes.clone());
        let mut params = Vec::with_capacity(bind.parameters.len());
        for (index, bytes) in bind.parameters.iter().enumerate() {
            let pg_type = statement.param_types.get(index).unwrap_or(&Type::TEXT);
            params.push(decode_param(
                bytes.as_deref(),
                pg_type,
                formats.is_binary(index),
            )?);
        }
        let portal = BoundPortal {
            statement,
            params,
            formats: ResultFormats(bind.result_column_format_codes.clone()),
        };
        self.portals
            .insert(bind.portal_name.clone().unwrap_or_default(), portal);
        Ok(vec![
            PgWireBackendMessage::BindComplete(BindComplete::new()),
        ])
    }

    fn describe(&mut self, describe: &Describe) -> Result<Vec<PgWireBackendMessage>> {
        let mut messages = Vec::new();
        let (statement, formats) = if describe.target_type == TARGET_STATEMENT {
            let statement = self.find_statement(describe.name.as_deref())?;
            let oids = statement.param_types.iter().map(Type::oid).collect();
            messages.push(PgWireBackendMessage::ParameterDescription(
                ParameterDescription::new(oids),
            ));
            (statement, ResultFormats::default())
        } else {
            let portal = self.find_portal(describe.name.as_deref())?;
            (portal.statement, portal.formats)
        };
        let columns = self
            .state
            .columns(&statement.tokens, &statement.param_types)?;
        messages.push(if columns.is_empty() {
            PgWireBackendMessage::NoData(NoData::new())
        } else {
            row_description(&columns, &formats)
        });
        Ok(messages)
    }

    async fn execute(&mut self, execute: &Execute) -> Result<Vec<PgWireBackendMessage>> {
        let portal = self.find_portal(execute.name.as_deref())?;
        if portal.statement.tokens.is_empty() {
            return Ok(vec![PgWireBackendMessage::EmptyQueryResponse(
                EmptyQueryResponse::new(),
            )]);
        }
        let call = StatementCall {
            tokens: &portal.statement.tokens,
            params: &portal.params,
            param_types: &portal.statement.param_types,
            formats: &portal.formats,
        };
        let output = self.state.execute(call).await?;
        self.drop_prepared_statements(&portal.statement.tokens);
        self.push_output(output)
            .map_err(|error| StatementError::new("XX000", &error.to_string()))?;
        Ok(Vec::new())
    }

    fn close(&mut self, close: &Close) -> Vec<PgWireBackendMessage> {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == TARGET_STATEMENT {
            self.statements.remove(name);
        } else {
            self.portals.remove(name);
        }
        vec![PgWireBackendMessage::CloseComplete(CloseComplete::new())]
    }

    /// Drops prepared statements after DISCARD ALL and DEALLOCATE. A connection
    /// pool that uses such a statement afterwards gets an error, as it would from
    /// PostgreSQL.
    fn drop_prepared_statements(&mut self, tokens: &[SqlToken]) {
        if !tokens[0].is("discard") && !tokens[0].is("deallocate") {
            return;
        }
        let Some(name) = tokens.last().and_then(SqlToken::name) else {
            return;
        };
        if name == "all" {
            self.statements.clear();
        } else {
            self.statements.remove(&name);
        }
    }

    fn find_statement(&self, name: Option<&str>) -> Result<PreparedStatement> {
        let name = name.unwrap_or_default();
        self.statements.get(name).cloned().ok_or_else(|| {
            StatementError::new(
                "26000",
                &format!("prepared statement {name:?} does not exist"),
            )
        })
    }

    fn find_portal(&self, name: Option<&str>) -> Result<BoundPortal> {
        let name = name.unwrap_or_default();
        self.portals
            .get(name)
            .cloned()
            .ok_or_else(|| StatementError::new("34000", &format!("portal {name:?} does not exist")))
    }

    fn push_output(&mut self, output: StatementOutput) -> io::Result<()> {
        for row in output.rows {
            self.push(PgWireBackendMessage::DataRow(DataRow::new(
                row.data, row.fields,
            )))?;
        }
        self.push(PgWireBackendMessage::CommandComplete(CommandComplete::new(
            output.tag,
        )))
    }

    fn push_columns(
        &mut self,
        columns: &[ResultColumn],
        formats: &ResultFormats,
    ) -> io::Result<()> {
        self.push(row_description(columns, formats))
    }

    /// Marks the transaction as failed and buffers the error.
    fn fail_transaction(&mut self, error: &StatementError) -> io::Result<()> {
        self.state.mark_failed();
        self.stream.push_error("ERROR", error.code, &error.message)
    }

    fn push(&mut self, message: PgWireBackendMessage) -> io::Result<()> {
        self.stream.push(&message)
    }
}

fn row_description(columns: &[ResultColumn], formats: &ResultFormats) -> PgWireBackendMessage {
    let fields = columns
        .iter()
        .enumerate()
        .map(|(index, column)| {
            FieldDescription::new(
                column.name.clone(),
                0,
                0,
                column.pg_type.oid(),
                type_size(&column.pg_type),
                -1,
                formats.is_binary(index).into(),
            )
        })
        .collect();
    PgWireBackendMessage::RowDescription(RowDescription::new(fields))
}

fn type_size(pg_type: &Type) -> i16 {
    match *pg_type {
        Type::INT8 | Type::FLOAT8 => 8,
        Type::INT4 => 4,
        Type::INT2 => 2,
        Type::BOOL => 1,
        _ => -1,
    }
}
