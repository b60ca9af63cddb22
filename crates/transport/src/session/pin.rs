//! A connection that stays with a session.

use std::time::{Duration, Instant};

use protocol::frame::tag;
use state::keys::MemberKey;
use state::log::Term;
use state::request::RequestId;

use super::io::CallerIo;
use crate::backend::STATUS_IDLE;
use crate::pool::PooledConnection;

/// Longest time to read a notice whose first bytes have arrived.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to one member for a transaction, for the frames between two
/// Syncs, or for the rest of the session.
#[derive(Debug)]
pub(super) struct PinnedConnection {
    pub(super) connection: PooledConnection,
    pub(super) member: MemberKey,
    /// Term at which the connection was taken.
    pub(super) term: Term,
    /// Whether the session's state lives on the connection.
    pub(super) keeps_session: bool,
    /// Whether the transaction may have written.
    pub(super) wrote: bool,
    /// Whether a read-only transaction runs, perhaps on a replica.
    pub(super) read_only: bool,
    /// Whether frames were sent whose Sync is still to come.
    pub(super) in_batch: bool,
    /// Request id that the transaction has recorded.
    pub(super) recorded: Option<RequestId>,
}

impl PinnedConnection {
    /// Tells whether a transaction is open.
    pub(super) fn in_transaction(&self) -> bool {
        self.connection.status() != STATUS_IDLE
    }

    /// Tells whether ending the session would cut something off.
    pub(super) fn is_busy(&self) -> bool {
        self.in_transaction() || self.in_batch
    }

    /// Passes on what the server sent between statements; returns false when
    /// the connection is lost.
    pub(super) async fn relay_notices(&mut self, io: &mut CallerIo) -> bool {
        loop {
            while self.connection.has_frame() {
                let deadline = Instant::now() + NOTICE_TIMEOUT;
                let Ok(frame) = self.connection.next_frame(deadline).await else {
                    return false;
                };
                if matches!(
                    frame.tag(),
                    tag::NOTICE | tag::NOTIFICATION | tag::PARAMETER_STATUS
                ) {
                    io.output.extend_from_slice(frame.bytes());
                }
            }
            match self.connection.receive_ready() {
                Ok(true) => {}
                Ok(false) => return true,
                Err(_) => return false,
            }
        }
    }
}
