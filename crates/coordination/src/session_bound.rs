//! The lowest log position that a session's reads must see.

use std::time::Instant;

use state::log::LogPosition;
use state::session::SessionToken;

use crate::view::GroupWatermark;

/// Bound of one session in one group.
///
/// The accepted part covers the writes accepted before the session began and the
/// session's own accepted writes. It comes from the caller's token, from the
/// session's confirmed writes, or from a watermark requested after the session
/// began. A confirmed write of the session is sufficient: every write accepted
/// earlier has a lower position, because the primary wrote it first or a higher
/// term would have prevented the confirmation.
///
/// The pending part covers commits that the session's reads may have seen before
/// the commits were confirmed. It keeps the session's reads monotonic. A failover
/// may lose such a commit; any position of the next term then compares as higher,
/// so the bound stays reachable.
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
    /// Creates the bound of a session that starts without a token.
    pub fn begin(began_at: Instant) -> Self {
        Self {
            began_at,
            accepted: None,
            pending: LogPosition::START,
        }
    }

    /// Creates the bound of a session that starts with the position of the
    /// caller's token.
    pub fn begin_with_token(began_at: Instant, position: LogPosition) -> Self {
        Self {
            accepted: Some(position),
            ..Self::begin(began_at)
        }
    }

    /// Returns the instant at which the session began. A watermark for the session
    /// must be requested at this instant or later.
    pub fn began_at(&self) -> Instant {
        self.began_at
    }

    /// Returns whether reads must wait for a watermark because the accepted part
    /// is not known yet.
    pub fn needs_watermark(&self) -> bool {
        self.accepted.is_none()
    }

    /// Returns the position that a member must have applied to serve the session's
    /// reads, or `None` while the position is not known.
    pub fn bound(&self) -> Option<LogPosition> {
        self.accepted.map(|accepted| accepted.max(self.pending))
    }

    /// Returns the bound without its pending part, for reads that tolerate stale
    /// data. Such reads must see the session's accepted writes, but not the
    /// unconfirmed commits that an earlier read saw. With lagging replicas, the
    /// pending part would keep the session on the primary after its first read
    /// there.
    pub fn accepted_bound(&self) -> Option<LogPosition> {
        self.accepted
    }

    /// Returns the token for the caller, or `None` while the bound is not known.
    /// The token includes the pending part, so that reads stay monotonic when the
    /// session moves to another proxy.
    pub fn token(&self, group: &str) -> Option<SessionToken> {
        self.bound().map(|position| SessionToken {
            group: group.to_owned(),
            position,
        })
    }

    /// Raises the bound to a token that the caller sets during the session. A
    /// lower token has no effect.
    pub fn record_token(&mut self, position: LogPosition) {
        self.raise(position);
    }

    /// Records a write of the session that a majority has confirmed.
    pub fn record_confirmed_write(&mut self, position: LogPosition) {
        assert!(
            position > LogPosition::START,
            "a confirmed write has a position"
        );
        self.raise(position);
    }

    /// Records a watermark. Returns false without effect if its round was started
    /// before the session began, because the watermark may not cover writes that
    /// were accepted in between.
    #[must_use]
    pub fn record_watermark(&mut self, watermark: &GroupWatermark) -> bool {
        if watermark.asked_at < self.began_at {
            return false;
        }
        if self.needs_watermark() {
            self.raise(watermark.position);
        }
        true
    }

    /// Records the primary's position, taken after a read of the session there.
    pub fn record_read(&mut self, position: LogPosition) {
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
