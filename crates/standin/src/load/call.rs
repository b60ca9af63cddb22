//! Connections of callers, and the classification of failed calls.

use std::net::SocketAddr;
use std::time::Duration;

use protocol::result_code::ResultCode;
use tokio::time::timeout;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

use crate::site::{PASSWORD, USER};

/// Longest wait for a new connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(3);
/// Longest wait for an answer. It exceeds the sum of the proxy's statement
/// deadline and its confirmation deadline.
const ANSWER_LIMIT: Duration = Duration::from_secs(16);
/// Text before the result code in the DETAIL of an error.
const CODE_KEY: &str = "cassia_code=";

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallFailure>;

/// Why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The proxy answered with a result code.
    Refused(ResultCode),
    /// A backend server answered with this SQLSTATE.
    Server(String),
    /// The connection was lost or could not be opened.
    Lost,
    /// No answer arrived within the limit.
    Unanswered,
}

impl CallFailure {
    /// Returns the label under which the report counts the failure.
    pub fn label(&self) -> String {
        match self {
            Self::Refused(code) => code.number().to_string(),
            Self::Server(state) => format!("server {state}"),
            Self::Lost => "connection lost".to_owned(),
            Self::Unanswered => "no answer".to_owned(),
        }
    }

    /// Returns whether the connection may be used again.
    pub fn keeps_connection(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::Server(_))
    }
}

impl From<tokio_postgres::Error> for CallFailure {
    fn from(error: tokio_postgres::Error) -> Self {
        let Some(database) = error.as_db_error() else {
            return Self::Lost;
        };
        match database.detail().and_then(parse_result_code) {
            Some(code) => Self::Refused(code),
            None => Self::Server(database.code().code().to_owned()),
        }
    }
}

fn parse_result_code(detail: &str) -> Option<ResultCode> {
    let (_, rest) = detail.split_once(CODE_KEY)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    let number: u16 = digits.parse().ok()?;
    ResultCode::ALL
        .into_iter()
        .find(|code| code.number() == number)
}

/// Opens a connection. `options` are `name=value` settings of the start-up
/// message.
pub async fn connect(address: SocketAddr, database: &str, options: &[String]) -> Result<Client> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(USER)
        .password(PASSWORD)
        .dbname(database);
    if !options.is_empty() {
        let options: Vec<String> = options
            .iter()
            .map(|option| format!("-c {option}"))
            .collect();
        config.options(options.join(" "));
    }
    let connecting = timeout(CONNECT_LIMIT, config.connect(NoTls));
    let (client, connection) = connecting.await.map_err(|_| CallFailure::Unanswered)??;
    tokio::spawn(connection);
    Ok(client)
}

/// Runs a simple query and returns the first column of its first row.
pub async fn query(client: &Client, sql: &str) -> Result<Option<String>> {
    let answer = timeout(ANSWER_LIMIT, client.simple_query(sql));
    let messages = answer.await.map_err(|_| CallFailure::Unanswered)??;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    Ok(row.and_then(|row| row.get(0)).map(str::to_owned))
}
