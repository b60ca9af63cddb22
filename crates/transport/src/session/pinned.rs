//! A backend connection that is pinned to a session.

use std::time::{Duration, Instant};

use protocol::frame::tag;
use state::keys::MemberKey;
use state::log::Term;
use state::request::RequestId;

use super::io::CallerIo;
use crate::backend::STATUS_IDLE;
use crate::pool::PooledConnection;

/// Time limit for the rest of a frame whose first bytes have arrived.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to one member that a session keeps for a transaction, for a
/// pipeline until its Sync, or until the session ends.
#[derive(Debug)]
pub(super) struct PinnedConnection {
    pub(super) connection: PooledConnection,
    pub(super) member: MemberKey,
    /// Highest known term when the connection was acquired.
    pub(super) term: Term,
    /// Whether the database session holds state of the caller, such as settings, so
    /// that the connection stays pinned until the session ends.
    pub(super) holds_session_state: bool,
    /// Whether the transaction may have written.
    pub(super) may_have_written: bool,
    /// Whether the connection serves a read-only transaction, which may run on a
    /// replica.
    pub(super) read_only: bool,
    /// Whether frames were sent without their Sync.
    pub(super) in_batch: bool,
    /// Request id that the transaction has recorded.
    pub(super) recorded_id: Option<RequestId>,
}

impl PinnedConnection {
    /// Returns whether a transaction is open.
    pub(super) fn in_transaction(&self) -> bool {
        self.connection.status() != STATUS_IDLE
    }

    /// Returns whether a transaction or a pipeline is unfinished.
    pub(super) fn is_busy(&self) -> bool {
        self.in_transaction() || self.in_batch
    }

    /// Forwards notices, notifications and parameter changes that the server sent
    /// between statements; returns false when the connection is lost.
    pub(super) async fn forward_notices(&mut self, io: &mut CallerIo) -> bool {
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
