//! Implements the connection operations that a pool needs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use protocol::frame::tag;

use super::{BackendConnection, BackendError, BackendIdentity, Result, STATUS_IDLE};
use crate::pool::{IdleState, ReleaseState, ServerConnection};

/// Limit on the time to reset a connection. A connection whose reset takes
/// longer is closed.
const RESET_TIMEOUT: Duration = Duration::from_secs(2);

impl ServerConnection for BackendConnection {
    type Identity = BackendIdentity;
    type Owner = ();
    type Error = BackendError;
    /// A server has one host that opens connections, up to its share.
    const ATTEMPTS_MAX: usize = usize::MAX;

    async fn connect(
        address: SocketAddr,
        identity: &BackendIdentity,
        _owner: &(),
        deadline: Instant,
    ) -> Result<Self> {
        Self::connect(address, identity, deadline).await
    }

    fn is_limit_refusal(error: &BackendError) -> bool {
        error.is_limit_refusal()
    }

    fn is_refusal(error: &BackendError) -> bool {
        matches!(error, BackendError::Refused { .. })
    }

    fn idle_state(&self) -> IdleState {
        self.idle_state()
    }

    fn received_at(&self) -> Instant {
        self.received_at()
    }

    fn release(&mut self) -> ReleaseState {
        self.set_term(None);
        if self.is_reusable() {
            return ReleaseState::Reusable;
        }
        match self.is_quiescent() {
            true => ReleaseState::NeedsReset,
            false => ReleaseState::Broken,
        }
    }

    async fn reset(&mut self) -> bool {
        reset(self).await.is_ok() && self.is_reusable()
    }
}

/// Rolls back an open transaction and runs DISCARD ALL if it is required.
async fn reset(connection: &mut BackendConnection) -> Result<()> {
    let deadline = Instant::now() + RESET_TIMEOUT;
    if connection.status() != STATUS_IDLE {
        run_statement(connection, "ROLLBACK", deadline).await?;
    }
    if connection.needs_discard() && run_statement(connection, "DISCARD ALL", deadline).await? {
        connection.record_discard();
    }
    Ok(())
}

/// Runs a statement; returns whether it ran without an error.
async fn run_statement(
    connection: &mut BackendConnection,
    text: &str,
    deadline: Instant,
) -> Result<bool> {
    connection.compose_query(text);
    connection.send(deadline).await?;
    let mut succeeded = true;
    loop {
        match connection.next_frame(deadline).await?.tag() {
            tag::READY => return Ok(succeeded),
            tag::ERROR => succeeded = false,
            _ => {}
        }
    }
}
