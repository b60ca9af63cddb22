//! A connection while it is checked out of its pool.

use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::sleep_until;

use super::{
    reset, MemberPool, PoolError, ReleaseState, Result, ServerConnection, CONNECT_TIMEOUT,
};
use crate::backend::BackendConnection;

/// Pause before a connection is opened again that the server refused although another
/// one was closed for it.
const REPLACEMENT_PAUSE: Duration = Duration::from_millis(50);

/// A connection that was checked out of a pool.
///
/// Dropping it returns the connection. The pool resets a connection with an
/// open transaction or session state before it reuses it, and closes one with
/// an outstanding answer.
#[derive(Debug)]
pub struct PooledConnection<C: ServerConnection = BackendConnection> {
    pub(super) pool: Option<Arc<MemberPool<C>>>,
    pub(super) owner: C::Owner,
    /// Whether this is a permission to open a connection that is not used up.
    pub(super) is_attempt: bool,
    /// Whether an idle connection was closed to make room for this one.
    pub(super) is_replacement: bool,
    pub(super) connection: Option<C>,
}

impl<C: ServerConnection> PooledConnection<C> {
    /// Closes the connection instead of returning it.
    pub fn close(mut self) {
        self.connection = None;
    }

    /// Returns the pool of the connection.
    pub fn pool(&self) -> &Arc<MemberPool<C>> {
        self.pool.as_ref().expect("a pooled connection has a pool")
    }

    /// Opens the connection. The server may count a connection that was closed to make
    /// room for this one for a moment longer, so that its first refusal then says nothing
    /// about the share.
    pub(super) async fn open_or_replace(&mut self, deadline: Instant) -> Result<(), C::Error> {
        let retry_at = Instant::now() + REPLACEMENT_PAUSE;
        let opened = match self.open(deadline).await {
            Err(PoolError::Connect(error))
                if self.is_replacement && C::is_limit_refusal(&error) && retry_at < deadline =>
            {
                sleep_until(retry_at.into()).await;
                self.open(deadline).await
            }
            opened => opened,
        };
        if opened.is_ok() {
            self.is_attempt = false;
            self.pool().end_attempt(true);
        }
        opened
    }

    async fn open(&mut self, deadline: Instant) -> Result<(), C::Error> {
        let pool = self.pool().clone();
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connection = C::connect(pool.address, &pool.identity, &self.owner, deadline)
            .await
            .map_err(PoolError::Connect)?;
        self.connection = Some(connection);
        Ok(())
    }
}

impl<C: ServerConnection> Deref for PooledConnection<C> {
    type Target = C;

    fn deref(&self) -> &C {
        self.connection.as_ref().expect("connection is open")
    }
}

impl<C: ServerConnection> DerefMut for PooledConnection<C> {
    fn deref_mut(&mut self) -> &mut C {
        self.connection.as_mut().expect("connection is open")
    }
}

impl<C: ServerConnection> Drop for PooledConnection<C> {
    fn drop(&mut self) {
        let Some(pool) = self.pool.take() else {
            return;
        };
        let Some(mut connection) = self.connection.take() else {
            pool.check_in(self.owner.clone(), None);
            if self.is_attempt {
                pool.end_attempt(false);
            }
            return;
        };
        let released = connection.release();
        if connection.is_mismatched() {
            pool.record_mismatch();
        }
        match released {
            ReleaseState::Reusable => pool.check_in(self.owner.clone(), Some(connection)),
            ReleaseState::NeedsReset => reset::spawn(pool, self.owner.clone(), connection),
            ReleaseState::Broken => pool.check_in(self.owner.clone(), None),
        }
    }
}
