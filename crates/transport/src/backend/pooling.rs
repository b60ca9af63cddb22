//! How a pool opens, returns and cleans a connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use protocol::frame::tag;

use super::{BackendConnection, BackendError, BackendIdentity, Result, STATUS_IDLE};
use crate::pool::{ReleaseState, ServerConnection};

/// Longest time to clean a connection; after it the connection is closed.
const CLEAN_TIMEOUT: Duration = Duration::from_secs(2);

impl ServerConnection for BackendConnection {
    type Identity = BackendIdentity;
    type Error = BackendError;

    async fn connect(
        address: SocketAddr,
        identity: &BackendIdentity,
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

    fn is_alive(&self) -> bool {
        self.is_alive()
    }

    fn received_at(&self) -> Instant {
        self.received_at()
    }

    fn release(&mut self) -> ReleaseState {
        self.set_term(None);
        if self.is_clean() {
            return ReleaseState::Clean;
        }
        match self.is_settled() {
            true => ReleaseState::Unclean,
            false => ReleaseState::Broken,
        }
    }

    async fn clean(&mut self) -> bool {
        clean(self).await.is_ok() && self.is_clean()
    }
}

async fn clean(connection: &mut BackendConnection) -> Result<()> {
    let deadline = Instant::now() + CLEAN_TIMEOUT;
    if connection.status() != STATUS_IDLE {
        run(connection, "ROLLBACK", deadline).await?;
    }
    if connection.needs_discard() && run(connection, "DISCARD ALL", deadline).await? {
        connection.note_discarded();
    }
    Ok(())
}

/// Runs a statement; returns whether it succeeded.
async fn run(connection: &mut BackendConnection, text: &str, deadline: Instant) -> Result<bool> {
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
