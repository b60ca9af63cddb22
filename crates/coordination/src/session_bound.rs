//! The position that a session's reads must at least see.

use std::time::Instant;

use state::log::LogPosition;
use state::session::SessionToken;

use crate::view::GroupWatermark;

/// Bound of one session in one group.
///
/// The accepted part covers the writes accepted before the session began and
/// the session's own accepted writes. It comes from the caller's token, from
/// the session's confirmed writes, or from a watermark asked after the session
/// began. A confirmed write of the session suffices as well: every write that
/// was accepted earlier has a lower position, since the primary wrote it before
/// or a higher term would have prevented the confirmation.
///
/// The pending part covers commits that the session's reads may have seen
/// before they were confirmed. It orders the session's reads among themselves.
/// A failover may lose such a commit; any position of the next term then
/// compares as higher, so the bound stays reachable.
///
/// # Invariants
///
/// The bound never falls, and it is at or above each part.
#[derive(Clone, Copy, Debug)]
pub struct SessionBound {
    began_at: Instant,
    accepted: Option<LogPosition>,
    pending: LogPosition,
}

impl SessionBound {
    /// Starts a session without a token.
    pub fn begin(began_at: Instant) -> Self {
        Self {
            began_at,
            accepted: None,
            pending: LogPosition::START,
        }
    }

    /// Starts a session with the position of the caller's token.
    pub fn begin_with_token(began_at: Instant, position: LogPosition) -> Self {
        Self {
            accepted: Some(position),
            ..Self::begin(began_at)
        }
    }

    /// Returns the instant at which the session began. A watermark for it must
    /// be asked at this instant or later.
    pub fn began_at(&self) -> Instant {
        self.began_at
    }

    /// Tells whether reads must wait for a watermark.
    pub fn needs_watermark(&self) -> bool {
        self.accepted.is_none()
    }

    /// Returns the position that reads must reach, or `None` while it is not
    /// known.
    pub fn bound(&self) -> Option<LogPosition> {
        self.accepted.map(|accepted| accepted.max(self.pending))
    }

    /// Returns the bound without its pending part, for reads that tolerate
    /// stale data. They need the session's accepted writes, but not what an
    /// earlier read saw: under lag the pending part would tie the session to
    /// the primary after its first read there.
    pub fn accepted_bound(&self) -> Option<LogPosition> {
        self.accepted
    }

    /// Returns the token for the caller, or `None` while the bound is not
    /// known. It includes the pending part, so that reads stay ordered when
    /// the session moves to another proxy.
    pub fn token(&self, group: &str) -> Option<SessionToken> {
        self.bound().map(|position| SessionToken {
            group: group.to_owned(),
            position,
        })
    }

    /// Takes over a token that the caller sets during the session. A token
    /// lower than the bound has no effect.
    pub fn note_token(&mut self, position: LogPosition) {
        self.raise(position);
    }

    /// Enters a write of the session that was confirmed by a majority.
    pub fn note_confirmed_write(&mut self, position: LogPosition) {
        assert!(
            position > LogPosition::START,
            "a confirmed write has a position"
        );
        self.raise(position);
    }

    /// Enters a watermark. Returns false, without effect, when its round was
    /// asked before the session began: it need not cover writes that were
    /// accepted in between.
    #[must_use]
    pub fn note_watermark(&mut self, watermark: &GroupWatermark) -> bool {
        if watermark.asked_at < self.began_at {
            return false;
        }
        if self.needs_watermark() {
            self.raise(watermark.position);
        }
        true
    }

    /// Enters the primary's position taken behind a read.
    pub fn note_read(&mut self, position: LogPosition) {
        let before = self.bound();
        self.pending = self.pending.max(position);
        assert!(self.bound() >= before, "a session's bound never falls");
    }

    fn raise(&mut self, position: LogPosition) {
        let before = self.bound();
        self.accepted = Some(self.accepted.unwrap_or_default().max(position));
        assert!(self.bound() >= before, "a session's bound never falls");
        assert!(self.bound() >= Some(position));
    }
}
