//! Leases on shares between pairs of hosts, and takeover of a dead host's share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{ReceivedGrant, TakeoverRow, SHARE_MARGIN};

/// Progress of this host's takeover of one peer's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeoverState {
    None,
    /// This attempt is writing the takeover row.
    Writing {
        attempt: u64,
    },
    /// The row was written. The share may be used from `usable_from` on.
    Written {
        usable_from: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
struct PeerLease {
    /// Whether this process has received a grant from the peer.
    has_granted: bool,
    /// Whether the peer had at least this host's document version when it
    /// granted.
    same_document: bool,
    /// Expiry of the peer's last grant. Until then this host may use those
    /// connections of its share whose successor is the peer.
    grant_expires_at: Option<Instant>,
    /// When this process last gave the peer a grant, or else when it started.
    last_granted_at: Instant,
    /// Whether this process has given the peer a grant.
    was_granted: bool,
    takeover: TakeoverState,
    incarnation: Option<u64>,
    /// When the peer's incarnation last changed.
    incarnation_changed_at: Option<Instant>,
}

/// Leases between this host and its peers.
///
/// # Invariants
///
/// A takeover is written only `takeover_after` after the last grant to the peer,
/// and used only half of `takeover_after` after it was written. The peer's lease
/// expires two margins earlier: a grant is valid for `takeover_after` less two
/// margins, and a read of the row for half of `takeover_after` less two margins.
#[derive(Clone, Debug)]
pub(super) struct LeaseTable {
    takeover_after: Duration,
    started_at: Instant,
    peers: BTreeMap<String, PeerLease>,
    /// This host's takeover row as last read, and the expiry of the lease that
    /// the read gives.
    own_row: Option<(TakeoverRow, Instant)>,
    attempts: u64,
}

impl LeaseTable {
    pub(super) fn new(takeover_after: Duration, now: Instant) -> Self {
        Self {
            // The document allows shorter times. They would leave no time
            // between two renewals.
            takeover_after: takeover_after.max(SHARE_MARGIN * 8),
            started_at: now,
            peers: BTreeMap::new(),
            own_row: None,
            attempts: 0,
        }
    }

    /// Returns the lease of a peer, created if needed. An earlier process of this
    /// host may have given the peer a grant, so the start counts as a grant.
    fn peer(&mut self, name: &str) -> &mut PeerLease {
        if !self.peers.contains_key(name) {
            let lease = PeerLease {
                has_granted: false,
                same_document: false,
                grant_expires_at: None,
                last_granted_at: self.started_at,
                was_granted: false,
                takeover: TakeoverState::None,
                incarnation: None,
                incarnation_changed_at: None,
            };
            self.peers.insert(name.to_owned(), lease);
        }
        self.peers.get_mut(name).expect("inserted above")
    }

    pub(super) fn record_grant(&mut self, grant: &ReceivedGrant<'_>) {
        let until = grant.sent_at + self.takeover_after - SHARE_MARGIN * 2;
        let lease = self.peer(grant.peer);
        lease.has_granted = true;
        lease.same_document |= grant.same_document;
        lease.grant_expires_at = lease.grant_expires_at.max(Some(until));
    }

    pub(super) fn record_own_row(&mut self, row: TakeoverRow, sent_at: Instant) {
        let until = sent_at + self.takeover_after / 2 - SHARE_MARGIN * 2;
        let known = self.own_row.as_ref();
        // Answers may arrive out of order.
        let newer = known.is_none_or(|(known, known_until)| {
            (known.revision, *known_until) < (row.revision, until)
        });
        if newer {
            self.own_row = Some((row, until));
        }
    }

    /// Returns this host's row without the claimants from which it holds a
    /// grant, or `None` if that changes nothing.
    pub(super) fn row_without_released_claims(&self, now: Instant) -> Option<TakeoverRow> {
        let (row, _) = self.own_row.as_ref()?;
        let mut claimants = row.claimants.clone();
        claimants.retain(|claimant| !self.holds_grant_from(claimant, now));
        let revision = row.revision;
        (claimants != row.claimants).then_some(TakeoverRow {
            revision,
            claimants,
        })
    }

    /// Returns until when this host may use the connections with this successor.
    pub(super) fn lease_expires_at(&self, successor: &str) -> Option<Instant> {
        let granted = self
            .peers
            .get(successor)
            .and_then(|lease| lease.grant_expires_at);
        let row = self.own_row.as_ref();
        let clear =
            row.filter(|(row, _)| row.claimants.iter().all(|claimant| claimant != successor));
        granted.max(clear.map(|(_, until)| *until))
    }

    /// Returns whether a grant from the peer is valid, independent of the row.
    pub(super) fn holds_grant_from(&self, peer: &str, now: Instant) -> bool {
        let lease = self.peers.get(peer);
        let until = lease.and_then(|lease| lease.grant_expires_at);
        until.is_some_and(|until| now < until)
    }

    pub(super) fn has_grant_from(&self, peer: &str) -> bool {
        self.peers.get(peer).is_some_and(|lease| lease.has_granted)
    }

    pub(super) fn has_same_document(&self, peer: &str) -> bool {
        self.peers
            .get(peer)
            .is_some_and(|lease| lease.same_document)
    }

    /// Returns whether a loan requested at `sent_at` comes from the peer's current
    /// process.
    ///
    /// Incarnations are not ordered, so a late message from an earlier process
    /// can make that process look current. But an earlier process cannot have
    /// answered a request that was sent after the first message of a later one.
    pub(super) fn is_from_current_process(&self, peer: &str, sent_at: Instant) -> bool {
        let incarnation_changed_at = self
            .peers
            .get(peer)
            .and_then(|lease| lease.incarnation_changed_at);
        incarnation_changed_at
            .is_none_or(|incarnation_changed_at| sent_at >= incarnation_changed_at)
    }

    /// Records a peer's request for a grant, which ends a takeover of its share.
    /// Returns whether the peer's incarnation differs from its last request.
    pub(super) fn record_request(&mut self, peer: &str, incarnation: u64, now: Instant) -> bool {
        let lease = self.peer(peer);
        lease.takeover = TakeoverState::None;
        let changed = lease.incarnation.replace(incarnation) != Some(incarnation);
        if changed {
            lease.incarnation_changed_at = Some(now);
        }
        changed
    }

    pub(super) fn record_granted_to(&mut self, peer: &str, now: Instant) {
        let lease = self.peer(peer);
        assert_eq!(lease.takeover, TakeoverState::None, "share was released");
        lease.last_granted_at = now;
        lease.was_granted = true;
    }

    /// Returns whether this process has given the peer a grant.
    pub(super) fn has_granted_to(&self, peer: &str) -> bool {
        self.peers.get(peer).is_some_and(|lease| lease.was_granted)
    }

    /// Starts the takeover of a peer's share if it is due, and returns the number
    /// of the attempt.
    pub(super) fn begin_takeover(&mut self, peer: &str, now: Instant) -> Option<u64> {
        let takeover_after = self.takeover_after;
        let attempt = self.attempts + 1;
        let lease = self.peer(peer);
        let due = now >= lease.last_granted_at + takeover_after;
        if !due || lease.takeover != TakeoverState::None {
            return None;
        }
        lease.takeover = TakeoverState::Writing { attempt };
        self.attempts = attempt;
        Some(attempt)
    }

    /// Records the end of an attempt. An attempt that was replaced by a request
    /// of the peer or by a later attempt is ignored, because its write may have
    /// been removed from the row since.
    pub(super) fn end_attempt(&mut self, peer: &str, attempt: u64, written: bool, now: Instant) {
        let usable_from = now + self.takeover_after / 2;
        let lease = self.peer(peer);
        if lease.takeover != (TakeoverState::Writing { attempt }) {
            return;
        }
        lease.takeover = match written {
            true => TakeoverState::Written { usable_from },
            false => TakeoverState::None,
        };
    }

    pub(super) fn has_taken_over(&self, peer: &str, now: Instant) -> bool {
        let lease = self.peers.get(peer);
        lease.is_some_and(|lease| match lease.takeover {
            TakeoverState::Written { usable_from } => now >= usable_from,
            TakeoverState::None | TakeoverState::Writing { .. } => false,
        })
    }
}
