//! Cleaning of a connection before another session uses it.

use std::sync::Arc;

use super::{MemberPool, ServerConnection};

/// Cleans a connection in a task of its own and returns it to the pool.
pub(super) fn spawn<C: ServerConnection>(pool: Arc<MemberPool<C>>, mut connection: C) {
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        pool.check_in(None);
        return;
    };
    runtime.spawn(async move {
        let usable = connection.clean().await;
        pool.check_in(usable.then_some(connection));
    });
}
