//! Start-up and authentication of a connection to a backend server.

use std::time::Instant;

use fallible_iterator::FallibleIterator;
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256, SCRAM_SHA_256};
use postgres_protocol::message::backend::Message;
use postgres_protocol::message::frontend;
use protocol::frame::{self, tag};

use super::{BackendCancelKey, BackendConnection, BackendError, Result};

/// The user and database with which the proxy logs in to a backend server.
#[derive(Clone, PartialEq, Eq)]
pub struct BackendIdentity {
    /// User name.
    pub user: String,
    /// Password, needed if the server asks for one.
    pub password: Option<String>,
    /// Database name.
    pub database: String,
}

impl std::fmt::Debug for BackendIdentity {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The password must not appear in logs.
        formatter
            .debug_struct("BackendIdentity")
            .field("user", &self.user)
            .field("database", &self.database)
            .finish_non_exhaustive()
    }
}

/// Logs in on a new connection.
pub(super) async fn log_in(
    connection: &mut BackendConnection,
    identity: &BackendIdentity,
    deadline: Instant,
) -> Result<()> {
    let parameters = [
        ("user", identity.user.as_str()),
        ("database", identity.database.as_str()),
        ("application_name", "cassiatrestle"),
        ("client_encoding", "UTF8"),
    ];
    let out = connection.compose(1);
    frontend::startup_message(parameters, out).map_err(protocol_error)?;
    connection.send(deadline).await?;
    let mut scram = None;
    loop {
        let frame = connection.next_frame(deadline).await?;
        match frame.tag() {
            tag::READY => return Ok(()),
            tag::ERROR => return Err(refusal(&frame)),
            tag::BACKEND_KEY => connection.cancel_key = Some(read_key(&frame)?),
            tag::AUTHENTICATION => {
                answer_authentication(connection, identity, &mut scram, frame.bytes(), deadline)
                    .await?;
            }
            _ => {}
        }
    }
}

fn read_key(frame: &frame::WireFrame) -> Result<BackendCancelKey> {
    let mut reader = frame.reader();
    let malformed = |error: frame::FrameError| BackendError::Protocol(error.to_string());
    Ok(BackendCancelKey {
        process: reader.long().map_err(malformed)?,
        secret: reader.long().map_err(malformed)?,
    })
}

fn refusal(frame: &frame::WireFrame) -> BackendError {
    let text = |field| {
        frame::error_field(frame, field)
            .unwrap_or_default()
            .to_owned()
    };
    BackendError::Refused {
        sqlstate: text(b'C'),
        message: text(b'M'),
    }
}

fn protocol_error(error: std::io::Error) -> BackendError {
    BackendError::Protocol(error.to_string())
}

/// Answers one authentication request of the server. `scram` holds the state of
/// the SCRAM exchange between the calls.
async fn answer_authentication(
    connection: &mut BackendConnection,
    identity: &BackendIdentity,
    scram: &mut Option<ScramSha256>,
    bytes: &[u8],
    deadline: Instant,
) -> Result<()> {
    let mut buffer = bytes.into();
    let message = Message::parse(&mut buffer).map_err(protocol_error)?;
    let password = identity.password.as_deref().unwrap_or_default().as_bytes();
    let out = connection.compose(0);
    match message {
        Some(Message::AuthenticationOk) => return Ok(()),
        Some(Message::AuthenticationCleartextPassword) => {
            frontend::password_message(password, out).map_err(protocol_error)?;
        }
        Some(Message::AuthenticationSasl(body)) => {
            let offered = body.mechanisms().any(|name| Ok(name == SCRAM_SHA_256));
            if !offered.map_err(protocol_error)? {
                return Err(BackendError::Protocol(
                    "the server does not offer SCRAM-SHA-256".to_owned(),
                ));
            }
            let state = ScramSha256::new(password, ChannelBinding::unsupported());
            frontend::sasl_initial_response(SCRAM_SHA_256, state.message(), out)
                .map_err(protocol_error)?;
            *scram = Some(state);
        }
        Some(Message::AuthenticationSaslContinue(body)) => {
            let state = scram.as_mut().ok_or_else(unexpected)?;
            state.update(body.data()).map_err(protocol_error)?;
            frontend::sasl_response(state.message(), out).map_err(protocol_error)?;
        }
        Some(Message::AuthenticationSaslFinal(body)) => {
            let state = scram.as_mut().ok_or_else(unexpected)?;
            return state.finish(body.data()).map_err(protocol_error);
        }
        _ => return Err(unexpected()),
    }
    connection.send(deadline).await
}

fn unexpected() -> BackendError {
    BackendError::Protocol("unexpected authentication request".to_owned())
}
