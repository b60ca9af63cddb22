//! What a pool needs to know of a connection to a backend server.

use std::fmt::Debug;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Instant;

/// Whether a connection that its user gives back can be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseState {
    /// At once.
    Clean,
    /// After it was cleaned.
    Unclean,
    /// Not at all.
    Broken,
}

/// A connection that a pool opens, lends and cleans.
pub trait ServerConnection: Debug + Send + Sized + 'static {
    /// What identifies the proxy and the server when a connection is opened.
    type Identity: Clone + Debug + Send + Sync + 'static;
    /// Why a connection cannot be opened.
    type Error: Clone + Debug + Send + 'static;

    /// Opens a connection.
    fn connect(
        address: SocketAddr,
        identity: &Self::Identity,
        deadline: Instant,
    ) -> impl Future<Output = Result<Self, Self::Error>> + Send;
    /// Tells whether the server refused because it has as many connections as
    /// it accepts.
    fn is_limit_refusal(error: &Self::Error) -> bool;
    /// Tells whether the server answered, though with a refusal.
    fn is_refusal(error: &Self::Error) -> bool;
    /// Tells whether an idle connection is open and has nothing to read.
    fn is_alive(&self) -> bool;
    /// Returns when the last byte was received.
    fn received_at(&self) -> Instant;
    /// Ends the use of the connection.
    fn release(&mut self) -> ReleaseState;
    /// Cleans the connection; returns whether it can be used again.
    fn clean(&mut self) -> impl Future<Output = bool> + Send;
}
