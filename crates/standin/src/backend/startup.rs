//! The start-up phase of a statement connection: encryption requests, start-up
//! parameters, trust authentication and cancel requests.

use std::io;

use bytes::BytesMut;
use pgwire::error::ErrorInfo;
use pgwire::messages::response::{GssEncResponse, ReadyForQuery, SslResponse, TransactionStatus};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Key with which a cancel request names a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BackendKey {
    /// Process id of the connection, as in `BackendKeyData`.
    pub process_id: i32,
    /// Random secret of the connection.
    pub secret_key: i32,
}

/// First request on a new connection.
#[derive(Debug)]
pub enum StartupRequest {
    /// Start of a session.
    Session,
    /// Cancellation of the statement that runs on another connection.
    Cancel(BackendKey),
}

/// A statement connection with its input and output buffers.
#[derive(Debug)]
pub struct MessageStream {
    socket: TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
}

impl MessageStream {
    /// Wraps a new connection.
    pub fn new(socket: TcpStream) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        context.awaiting_ssl = true;
        context.awaiting_startup = true;
        Ok(Self {
            socket,
            input: BytesMut::new(),
            output: BytesMut::new(),
            context,
        })
    }

    /// Appends a message to the output buffer.
    pub fn push(&mut self, message: &PgWireBackendMessage) -> io::Result<()> {
        message.encode(&mut self.output).map_err(io::Error::other)
    }

    /// Sends the buffered messages.
    pub async fn flush(&mut self) -> io::Result<()> {
        self.socket.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    /// Receives the next message. Returns `None` at the end of the stream.
    pub async fn receive(&mut self) -> io::Result<Option<PgWireFrontendMessage>> {
        loop {
            let message = PgWireFrontendMessage::decode(&mut self.input, &self.context)
                .map_err(io::Error::other)?;
            if message.is_some() {
                return Ok(message);
            }
            if self.socket.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Receives the start-up packet and refuses requests for encryption. Returns
    /// `None` if the stream ends or another message arrives.
    pub async fn receive_startup(&mut self) -> io::Result<Option<StartupRequest>> {
        loop {
            let refusal = match self.receive().await? {
                Some(PgWireFrontendMessage::SslRequest(_)) => {
                    PgWireBackendMessage::SslResponse(SslResponse::Refuse)
                }
                Some(PgWireFrontendMessage::GssEncRequest(_)) => {
                    PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse)
                }
                Some(PgWireFrontendMessage::Startup(_)) => {
                    self.context.awaiting_ssl = false;
                    self.context.awaiting_startup = false;
                    return Ok(Some(StartupRequest::Session));
                }
                Some(PgWireFrontendMessage::CancelRequest(request)) => {
                    let key = BackendKey {
                        process_id: request.pid,
                        secret_key: request.secret_key.as_i32().unwrap_or_default(),
                    };
                    return Ok(Some(StartupRequest::Cancel(key)));
                }
                _ => return Ok(None),
            };
            self.push(&refusal)?;
            self.flush().await?;
        }
    }

    /// Accepts the session: sends the start-up parameters, the cancel key and
    /// ReadyForQuery.
    pub async fn accept_session(&mut self, key: BackendKey) -> io::Result<()> {
        const PARAMETERS: [(&str, &str); 6] = [
            ("server_version", "16.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        self.push(&PgWireBackendMessage::Authentication(Authentication::Ok))?;
        for (name, value) in PARAMETERS {
            let status = ParameterStatus::new(name.to_owned(), value.to_owned());
            self.push(&PgWireBackendMessage::ParameterStatus(status))?;
        }
        let key_data = BackendKeyData::new(key.process_id, SecretKey::I32(key.secret_key));
        self.push(&PgWireBackendMessage::BackendKeyData(key_data))?;
        self.push_ready(TransactionStatus::Idle)?;
        self.flush().await
    }

    /// Refuses the session with a FATAL error; `code` is the SQLSTATE.
    pub async fn refuse_session(&mut self, code: &str, message: &str) -> io::Result<()> {
        self.push_error("FATAL", code, message)?;
        self.flush().await
    }

    /// Buffers an ErrorResponse; `code` is the SQLSTATE.
    pub fn push_error(&mut self, severity: &str, code: &str, message: &str) -> io::Result<()> {
        let info = ErrorInfo::new(severity.to_owned(), code.to_owned(), message.to_owned());
        self.push(&PgWireBackendMessage::ErrorResponse(info.into()))
    }

    /// Buffers a ReadyForQuery message.
    pub fn push_ready(&mut self, status: TransactionStatus) -> io::Result<()> {
        self.push(&PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(
            status,
        )))
    }
}
