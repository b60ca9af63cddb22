//! The operations that a pool needs of a connection to a backend server.

use std::fmt::Debug;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Instant;

/// Whether a connection that was returned to its pool can be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseState {
    /// The connection can be reused at once.
    Reusable,
    /// The connection has a transaction or session state to reset first.
    NeedsReset,
    /// The connection must be closed.
    Broken,
}

/// What the socket of an idle connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// The connection is open and has nothing to read.
    Alive,
    /// The connection was closed or failed.
    Closed,
    /// The server sent bytes that no request is waiting for.
    Surplus,
}

/// A connection that a pool can open, hand out and reset.
pub trait ServerConnection: Debug + Send + Sized + 'static {
    /// The user, the database and other data that opening a connection needs.
    type Identity: Clone + Debug + Send + Sync + 'static;
    /// On whose behalf a connection is opened. The connection is handed out only to
    /// requests of the same owner. The default is the host itself.
    type Owner: Clone + Debug + Default + Eq + Send + Sync + 'static;
    /// Why a connection cannot be opened.
    type Error: Clone + Debug + Send + 'static;
    /// Largest number of connections that are opened at the same time.
    const ATTEMPTS_MAX: usize;

    /// Opens a connection and logs in, at most until `deadline`.
    fn connect(
        address: SocketAddr,
        identity: &Self::Identity,
        owner: &Self::Owner,
        deadline: Instant,
    ) -> impl Future<Output = Result<Self, Self::Error>> + Send;
    /// Returns whether the server refused the connection because its connection
    /// limit is reached.
    fn is_limit_refusal(error: &Self::Error) -> bool;
    /// Returns whether the server answered with a refusal, which shows that it
    /// is alive.
    fn is_refusal(error: &Self::Error) -> bool;
    /// Returns what the socket of an idle connection shows. A connection that is not
    /// [`IdleState::Alive`] must not be used again.
    fn idle_state(&self) -> IdleState;
    /// Returns the time at which the last byte was received.
    fn received_at(&self) -> Instant;
    /// Ends the current use of the connection and returns whether it can be
    /// reused.
    fn release(&mut self) -> ReleaseState;
    /// Returns whether the connection broke because an answer may belong to another
    /// request than the one that waited for it.
    fn is_mismatched(&self) -> bool {
        false
    }
    /// Ends an open transaction and discards session state; returns whether the
    /// connection can be reused.
    fn reset(&mut self) -> impl Future<Output = bool> + Send;
}
