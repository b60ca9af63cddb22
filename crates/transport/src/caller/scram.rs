//! SCRAM-SHA-256 authentication of callers, with the server side of `pgwire`.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_trait::async_trait;
use bytes::BytesMut;
use futures::Sink;
use pgwire::api::auth::scram::{gen_salted_password, SASLScramAuthStartupHandler};
use pgwire::api::auth::{
    AuthSource, DefaultServerParameterProvider, LoginInfo, Password, StartupHandler,
};
use pgwire::api::{ClientInfo, PgWireConnectionState, METADATA_USER};
use pgwire::error::{PgWireError, PgWireResult};
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::{Authentication, PasswordMessageFamily, SecretKey, Startup};
use pgwire::messages::{Message, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion};
use protocol::login::is_initial_response;
use rustls_pki_types::CertificateDer;
use state::settings::UserCredential;

/// Iterations of the key derivation; the default of PostgreSQL.
const ITERATIONS: usize = 4_096;
const SALT_BYTES: usize = 16;

/// Salted passwords of the users. They are derived once, because a derivation takes
/// about a millisecond.
pub(crate) struct PasswordTable {
    users: HashMap<String, Password>,
}

impl fmt::Debug for PasswordTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Passwords must not appear in logs.
        formatter
            .debug_struct("PasswordTable")
            .field("users", &self.users.len())
            .finish()
    }
}

impl PasswordTable {
    pub(crate) fn new(credentials: &[UserCredential]) -> Self {
        let salted = |credential: &UserCredential| {
            let password = salt_password(&credential.password);
            (credential.user.clone(), password)
        };
        Self {
            users: credentials.iter().map(salted).collect(),
        }
    }
}

fn salt_password(password: &str) -> Password {
    let salt: [u8; SALT_BYTES] = rand::random();
    let salted = gen_salted_password(password, &salt, ITERATIONS);
    Password::new(Some(salt.to_vec()), salted)
}

/// Gives the library access to the passwords.
#[derive(Debug)]
struct PasswordSource(Arc<PasswordTable>);

// The trait's signature elides the lifetime, so this one must elide it too.
#[allow(elided_lifetimes_in_paths)]
#[async_trait]
impl AuthSource for PasswordSource {
    async fn get_password(&self, login: &LoginInfo) -> PgWireResult<Password> {
        let known = login.user().and_then(|user| self.0.users.get(user));
        // An unknown user gets the same exchange with a random password, so that
        // the answers do not reveal which users exist.
        Ok(known.cloned().unwrap_or_else(|| {
            let salt: [u8; SALT_BYTES] = rand::random();
            let unknown: [u8; 32] = rand::random();
            Password::new(Some(salt.to_vec()), unknown.to_vec())
        }))
    }
}

/// The SCRAM exchange with one caller.
pub(crate) struct ScramExchange {
    handler: SASLScramAuthStartupHandler<PasswordSource, DefaultServerParameterProvider>,
    client: LoginClient,
    /// Whether the initial response has been received.
    has_begun: bool,
}

/// Why a caller is not logged in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoginRefused {
    /// A message violates the protocol.
    Malformed,
    /// The exchange failed, for example because the password is wrong.
    Denied,
}

impl ScramExchange {
    /// Starts the exchange and adds its first frames to `out`.
    pub(crate) async fn start(
        passwords: Arc<PasswordTable>,
        user: &str,
        address: SocketAddr,
        out: &mut BytesMut,
    ) -> Result<Self, LoginRefused> {
        let mut handler = SASLScramAuthStartupHandler::new(
            Arc::new(PasswordSource(passwords)),
            Arc::new(DefaultServerParameterProvider::default()),
        );
        handler.set_iterations(ITERATIONS);
        let mut exchange = Self {
            handler,
            client: LoginClient::new(address),
            has_begun: false,
        };
        let mut startup = Startup::new();
        startup
            .parameters
            .insert(METADATA_USER.to_owned(), user.to_owned());
        exchange
            .step(PgWireFrontendMessage::Startup(startup), out)
            .await?;
        Ok(exchange)
    }

    /// Processes the body of a password frame and adds the reply to `out`; returns
    /// whether the caller is now authenticated.
    pub(crate) async fn answer(
        &mut self,
        body: &[u8],
        out: &mut BytesMut,
    ) -> Result<bool, LoginRefused> {
        if !std::mem::replace(&mut self.has_begun, true) && !is_initial_response(body) {
            return Err(LoginRefused::Malformed);
        }
        let raw = PasswordMessageFamily::Raw(BytesMut::from(body));
        let message = PgWireFrontendMessage::PasswordMessageFamily(raw);
        self.step(message, out).await?;
        Ok(self.client.succeeded)
    }

    async fn step(
        &mut self,
        message: PgWireFrontendMessage,
        out: &mut BytesMut,
    ) -> Result<(), LoginRefused> {
        let answered = self.handler.on_startup(&mut self.client, message).await;
        answered.map_err(|_| LoginRefused::Denied)?;
        out.extend_from_slice(&self.client.output.split());
        Ok(())
    }
}

/// The caller as the library sees it. Only authentication frames are forwarded: the
/// proxy sends parameters and ReadyForQuery itself.
struct LoginClient {
    address: SocketAddr,
    metadata: HashMap<String, String>,
    state: PgWireConnectionState,
    version: ProtocolVersion,
    output: BytesMut,
    succeeded: bool,
}

impl LoginClient {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            metadata: HashMap::new(),
            state: PgWireConnectionState::AwaitingStartup,
            version: ProtocolVersion::PROTOCOL3_0,
            output: BytesMut::new(),
            succeeded: false,
        }
    }
}

impl ClientInfo for LoginClient {
    fn socket_addr(&self) -> SocketAddr {
        self.address
    }

    fn is_secure(&self) -> bool {
        false
    }

    fn protocol_version(&self) -> ProtocolVersion {
        self.version
    }

    fn set_protocol_version(&mut self, version: ProtocolVersion) {
        self.version = version;
    }

    fn pid_and_secret_key(&self) -> (i32, SecretKey) {
        (0, SecretKey::I32(0))
    }

    fn set_pid_and_secret_key(&mut self, _pid: i32, _secret_key: SecretKey) {}

    fn state(&self) -> PgWireConnectionState {
        self.state
    }

    fn set_state(&mut self, new_state: PgWireConnectionState) {
        self.state = new_state;
    }

    fn transaction_status(&self) -> TransactionStatus {
        TransactionStatus::Idle
    }

    fn set_transaction_status(&mut self, _new_status: TransactionStatus) {}

    fn metadata(&self) -> &HashMap<String, String> {
        &self.metadata
    }

    fn metadata_mut(&mut self) -> &mut HashMap<String, String> {
        &mut self.metadata
    }

    fn client_certificates<'a>(&self) -> Option<&[CertificateDer<'a>]> {
        None
    }
}

impl Sink<PgWireBackendMessage> for LoginClient {
    type Error = PgWireError;

    fn poll_ready(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<PgWireResult<()>> {
        Poll::Ready(Ok(()))
    }

    fn start_send(mut self: Pin<&mut Self>, message: PgWireBackendMessage) -> PgWireResult<()> {
        let PgWireBackendMessage::Authentication(authentication) = message else {
            return Ok(());
        };
        self.succeeded |= matches!(authentication, Authentication::Ok);
        authentication.encode(&mut self.output)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<PgWireResult<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<PgWireResult<()>> {
        Poll::Ready(Ok(()))
    }
}
