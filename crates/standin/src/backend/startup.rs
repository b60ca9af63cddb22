//! The start of a statement connection: encryption requests, start-up
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

/// Identifies a connection for cancel requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BackendKey {
    /// Process id.
    pub process: i32,
    /// Secret key.
    pub secret: i32,
}

/// What a new connection asks for.
#[derive(Debug)]
pub enum StartupRequest {
    /// A session.
    Session,
    /// The end of another session's statement.
    Cancel(BackendKey),
}

/// A socket with its unread and unsent bytes.
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

    /// Queues a message.
    pub fn push(&mut self, message: &PgWireBackendMessage) -> io::Result<()> {
        message.encode(&mut self.output).map_err(io::Error::other)
    }

    /// Sends the queued messages.
    pub async fn flush(&mut self) -> io::Result<()> {
        self.socket.write_all(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    /// Receives the next message; nothing at the end of the stream.
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

    /// Reads the start-up packet; refuses encryption.
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
                        process: request.pid,
                        secret: request.secret_key.as_i32().unwrap_or_default(),
                    };
                    return Ok(Some(StartupRequest::Cancel(key)));
                }
                _ => return Ok(None),
            };
            self.push(&refusal)?;
            self.flush().await?;
        }
    }

    /// Accepts the session.
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
        let key_data = BackendKeyData::new(key.process, SecretKey::I32(key.secret));
        self.push(&PgWireBackendMessage::BackendKeyData(key_data))?;
        self.push_ready(TransactionStatus::Idle)?;
        self.flush().await
    }

    /// Refuses the session.
    pub async fn refuse_session(&mut self, code: &str, message: &str) -> io::Result<()> {
        self.push_error("FATAL", code, message)?;
        self.flush().await
    }

    /// Queues an error.
    pub fn push_error(&mut self, severity: &str, code: &str, message: &str) -> io::Result<()> {
        let info = ErrorInfo::new(severity.to_owned(), code.to_owned(), message.to_owned());
        self.push(&PgWireBackendMessage::ErrorResponse(info.into()))
    }

    /// Queues ReadyForQuery.
    pub fn push_ready(&mut self, status: TransactionStatus) -> io::Result<()> {
        self.push(&PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(
            status,
        )))
    }
}
