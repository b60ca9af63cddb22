//! Cleaning of a connection before another session uses it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use protocol::frame::tag;

use super::MemberPool;
use crate::backend::{BackendConnection, Result, STATUS_IDLE};

/// Longest time to clean a connection; after it the connection is closed.
const CLEAN_TIMEOUT: Duration = Duration::from_secs(2);

/// Cleans a connection in a task of its own and returns it to the pool.
pub(super) fn spawn(pool: Arc<MemberPool>, mut connection: BackendConnection) {
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        pool.check_in(None);
        return;
    };
    runtime.spawn(async move {
        let cleaned = clean(&mut connection).await.is_ok();
        let usable = cleaned && connection.is_clean();
        pool.check_in(usable.then_some(connection));
    });
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
