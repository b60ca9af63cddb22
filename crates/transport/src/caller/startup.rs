//! Start-up of a caller connection.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Instant;

use bytes::BytesMut;
use protocol::frame::{self, tag, ErrorSeverity, PROTOCOL_VIOLATION};
use protocol::login::read_startup;
use protocol::options::{parse_change, SessionVariable, VariableChange};
use protocol::peer::CancelKey;
use protocol::result_code::ResultCode;
use tokio::net::TcpStream;

use super::context::CallerContext;
use super::scram::{LoginRefused, ScramExchange};
use crate::session::io::CallerIo;
use crate::session::refusal::Refusal;
use crate::session::{CallerSession, SessionStart};

const CANCEL_REQUEST_CODE: i32 = 80_877_102;
const TLS_REQUEST_CODE: i32 = 80_877_103;
const GSS_REQUEST_CODE: i32 = 80_877_104;
/// Longest start-up packet, as in PostgreSQL.
const STARTUP_MAX_BYTES: usize = 10_000;
/// Maximum number of encryption requests before the start-up packet: one for TLS
/// and one for GSSAPI.
const ENCRYPTION_REQUESTS: u32 = 2;

/// Start-up parameters that are accepted and ignored, because they change no result
/// here. Drivers commonly send them.
const IGNORED_PARAMETERS: &[&str] = &[
    "user",
    "database",
    "options",
    "application_name",
    "fallback_application_name",
    "extra_float_digits",
    "datestyle",
    "timezone",
    "client_encoding",
];

/// Parameters that the proxy reports to callers: those of a PostgreSQL server with
/// default settings.
const ANNOUNCED_PARAMETERS: &[(&str, &str)] = &[
    ("server_version", "16.0 (cassiatrestle)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Result of a start-up.
pub(crate) enum StartOutcome {
    /// The caller is logged in.
    Session(Box<CallerSession>),
    /// The connection carried a cancel request, or was refused.
    Ended,
}

/// Start-up of one connection.
pub(crate) struct StartupExchange<'a> {
    io: CallerIo,
    context: &'a Arc<CallerContext>,
}

enum FirstPacket {
    Startup(BTreeMap<String, String>),
    Cancel(CancelKey),
}

impl<'a> StartupExchange<'a> {
    pub(crate) fn new(stream: TcpStream, context: &'a Arc<CallerContext>) -> Self {
        Self {
            io: CallerIo::new(stream),
            context,
        }
    }

    pub(crate) async fn run(mut self) -> io::Result<StartOutcome> {
        let first = match self.first_packet().await {
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                self.reject_malformed(&error).await?;
                return Err(error);
            }
            first => first?,
        };
        match first {
            FirstPacket::Cancel(key) => {
                self.cancel(key).await;
                Ok(StartOutcome::Ended)
            }
            FirstPacket::Startup(parameters) => match self.log_in(&parameters).await? {
                Ok(start) => self.announce(start).await,
                Err(refusal) => self.refuse(&refusal).await,
            },
        }
    }

    async fn first_packet(&mut self) -> io::Result<FirstPacket> {
        for _ in 0..=ENCRYPTION_REQUESTS {
            let packet = self.read_packet().await?;
            let code = packet.get(4..8).and_then(|code| code.try_into().ok());
            match code.map(i32::from_be_bytes) {
                Some(TLS_REQUEST_CODE | GSS_REQUEST_CODE) => {
                    self.io.output.extend_from_slice(b"N");
                    self.io.flush().await?;
                }
                Some(CANCEL_REQUEST_CODE) => return read_cancel(&packet).ok_or_else(malformed),
                _ => {
                    let parameters = read_startup(&packet).ok_or_else(malformed)?;
                    return Ok(FirstPacket::Startup(parameters));
                }
            }
        }
        Err(malformed())
    }

    /// Reads a packet that has no tag; the result includes the length field.
    async fn read_packet(&mut self) -> io::Result<BytesMut> {
        loop {
            if let Some(length) = self.io.input.first_chunk().copied() {
                let length = usize::try_from(i32::from_be_bytes(length)).unwrap_or(0);
                if !(8..=STARTUP_MAX_BYTES).contains(&length) {
                    return Err(malformed());
                }
                if self.io.input.len() >= length {
                    return Ok(self.io.input.split_to(length));
                }
            }
            if !self.io.receive().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    async fn log_in(
        &mut self,
        parameters: &BTreeMap<String, String>,
    ) -> io::Result<Result<SessionStart, Refusal>> {
        let user = parameters.get("user").cloned().unwrap_or_default();
        if !self.authenticate(&user).await? {
            let reason = format!("user {user:?}");
            return Ok(Err(Refusal::new(ResultCode::AuthenticationFailed, reason)));
        }
        let database = parameters.get("database").unwrap_or(&user);
        Ok(self.open_session(&user, database, parameters))
    }

    async fn authenticate(&mut self, user: &str) -> io::Result<bool> {
        let passwords = self.context.passwords.clone();
        let address = self.io.peer_address()?;
        let out = &mut self.io.output;
        let Ok(mut exchange) = ScramExchange::start(passwords, user, address, out).await else {
            return Ok(false);
        };
        loop {
            self.io.flush().await?;
            let Some(frame) = self.io.next_frame().await? else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            if frame.tag() != tag::PASSWORD {
                return Ok(false);
            }
            match exchange.answer(frame.body(), &mut self.io.output).await {
                Ok(true) => return Ok(true),
                Ok(false) => {}
                Err(LoginRefused::Malformed) => {
                    let error = io::Error::new(io::ErrorKind::InvalidData, "malformed log-in");
                    self.reject_malformed(&error).await?;
                    return Err(error);
                }
                Err(LoginRefused::Denied) => return Ok(false),
            }
        }
    }

    fn open_session(
        &self,
        user: &str,
        database: &str,
        parameters: &BTreeMap<String, String>,
    ) -> Result<SessionStart, Refusal> {
        let in_force = self.context.current_document();
        let customer = in_force.document.find_customer(user);
        let unknown = || Refusal::new(ResultCode::UnknownGroup, database.to_owned());
        let customer = customer.ok_or_else(unknown)?;
        if !customer.group.iter().any(|group| group == database) {
            return Err(unknown());
        }
        let group = self.context.find_group(database).ok_or_else(unknown)?;
        Ok(SessionStart {
            customer: customer.name.clone(),
            group,
            began_at: Instant::now(),
            changes: read_parameters(parameters)?,
        })
    }

    async fn announce(mut self, start: SessionStart) -> io::Result<StartOutcome> {
        let context = self.context.clone();
        let opened = CallerSession::open(context, start, self.io);
        let mut session = match opened {
            Ok(session) => session,
            Err(refused) => {
                let (io, refusal) = *refused;
                self.io = io;
                return self.refuse(&refusal).await;
            }
        };
        session.announce(ANNOUNCED_PARAMETERS).await?;
        Ok(StartOutcome::Session(session))
    }

    /// Tells the caller that its message violates the protocol.
    async fn reject_malformed(&mut self, error: &io::Error) -> io::Result<()> {
        let address = self.io.peer_address()?.to_string();
        let reason = error.to_string();
        log::info!(caller = address.as_str(), reason = reason.as_str(); "malformed message");
        let (severity, out) = (ErrorSeverity::Fatal, &mut self.io.output);
        frame::put_error(out, severity, PROTOCOL_VIOLATION, &reason, "");
        self.io.flush().await
    }

    async fn refuse(mut self, refusal: &Refusal) -> io::Result<StartOutcome> {
        self.context.metrics.count_refusal(refusal.code);
        let severity = ErrorSeverity::Fatal;
        frame::put_result(&mut self.io.output, severity, refusal.code, &refusal.reason);
        self.io.flush().await?;
        Ok(StartOutcome::Ended)
    }

    async fn cancel(&self, key: CancelKey) {
        if self.context.cancels.cancel(key).await {
            return;
        }
        if let Some(peer_cancels) = &self.context.peer_cancels {
            // The request is forwarded to the peers at most once, and is dropped
            // when the channel is full: PostgreSQL does not guarantee that a
            // cancel request has an effect.
            let _ = peer_cancels.try_send(key);
        }
    }
}

fn malformed() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "malformed start-up packet")
}

fn read_cancel(packet: &[u8]) -> Option<FirstPacket> {
    let number = |from: usize| {
        let bytes = packet.get(from..from + 4)?.try_into().ok()?;
        Some(i32::from_be_bytes(bytes))
    };
    Some(FirstPacket::Cancel(CancelKey {
        process: number(8)?,
        secret: number(12)?,
    }))
}

/// Reads the proxy's variables from the start-up parameters. Other parameters that
/// are not ignored could change results, and the proxy does not pass them on to
/// servers; they are refused.
fn read_parameters(parameters: &BTreeMap<String, String>) -> Result<Vec<VariableChange>, Refusal> {
    let mut changes = Vec::new();
    for (name, value) in parameters {
        if let Some(variable) = SessionVariable::find(name) {
            changes.push(read_variable(variable, value)?);
        } else if !IGNORED_PARAMETERS.contains(&name.to_ascii_lowercase().as_str()) {
            let reason = format!("start-up parameter {name}");
            return Err(Refusal::new(ResultCode::Unsupported, reason));
        }
    }
    let options = parameters.get("options").map_or("", String::as_str);
    read_options(options, &mut changes)?;
    Ok(changes)
}

/// Reads the proxy's variables from the `options` parameter, written as
/// `-c name=value` or `--name=value`.
fn read_options(options: &str, changes: &mut Vec<VariableChange>) -> Result<(), Refusal> {
    let mut words = options.split_ascii_whitespace();
    while let Some(word) = words.next() {
        let setting = match word.strip_prefix("-c") {
            Some("") => words.next(),
            Some(setting) => Some(setting),
            None => word.strip_prefix("--"),
        };
        let pair = setting.and_then(|setting| setting.split_once('='));
        let found = pair.and_then(|(name, value)| Some((SessionVariable::find(name)?, value)));
        let Some((variable, value)) = found else {
            let reason = format!("start-up option {word}");
            return Err(Refusal::new(ResultCode::Unsupported, reason));
        };
        changes.push(read_variable(variable, value)?);
    }
    Ok(())
}

fn read_variable(variable: SessionVariable, value: &str) -> Result<VariableChange, Refusal> {
    parse_change(variable, Some(value)).map_err(Refusal::from)
}
