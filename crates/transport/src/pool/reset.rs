//! Resets connections before another session uses them.

use std::sync::Arc;

use super::{MemberPool, ServerConnection};

/// Resets a connection in a separate task and returns it to the pool; closes it
/// if the reset fails or no runtime is running.
pub(super) fn spawn<C: ServerConnection>(
    pool: Arc<MemberPool<C>>,
    owner: C::Owner,
    mut connection: C,
) {
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        pool.check_in(owner, None);
        return;
    };
    runtime.spawn(async move {
        let usable = connection.reset().await;
        if connection.is_mismatched() {
            pool.record_mismatch();
        }
        pool.check_in(owner, usable.then_some(connection));
    });
}
