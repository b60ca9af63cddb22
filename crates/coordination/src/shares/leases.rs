//! Pairwise leases on shares, and takeover of a dead host's share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{GrantNote, TakeoverRow, SHARE_MARGIN};

/// Progress of the takeover of one peer's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeoverState {
    None,
    /// The takeover row is being written by this attempt.
    Writing {
        attempt: u64,
    },
    /// The row was written; from the instant on the share may be used.
    Written {
        usable_from: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
struct PeerLease {
    /// Whether the peer has granted since this process started.
    granted: bool,
    /// Whether it did so with the document that this host started with.
    same_document: bool,
    /// Until when the peer's grant lets this host use units it is heir of.
    granted_until: Option<Instant>,
    /// When this host last granted the peer, or started.
    granted_at: Instant,
    /// Whether this process ever granted the peer.
    given: bool,
    takeover: TakeoverState,
    incarnation: Option<u64>,
    /// When the incarnation last differed from the one before.
    changed_at: Option<Instant>,
}

/// Leases between this host and its peers.
///
/// # Invariants
///
/// A takeover is written only `takeover_after` after the last grant to the peer,
/// and used only half of `takeover_after` after it was written. The peer's own
/// evidence ends two margins before: a grant two margins before
/// `takeover_after`, a read of the row two margins before half of it.
#[derive(Clone, Debug)]
pub(super) struct LeaseTable {
    takeover_after: Duration,
    started_at: Instant,
    peers: BTreeMap<String, PeerLease>,
    /// Own takeover row as last read, and until when that is evidence.
    own_row: Option<(TakeoverRow, Instant)>,
    attempts: u64,
}

impl LeaseTable {
    pub(super) fn new(takeover_after: Duration, now: Instant) -> Self {
        Self {
            // The document allows shorter times, which would leave no time
            // between two renewals.
            takeover_after: takeover_after.max(SHARE_MARGIN * 8),
            started_at: now,
            peers: BTreeMap::new(),
            own_row: None,
            attempts: 0,
        }
    }

    /// Returns the lease of a peer. A host that has just started may have
    /// granted the peer in its previous life, so it counts its start as a grant.
    fn peer(&mut self, name: &str) -> &mut PeerLease {
        if !self.peers.contains_key(name) {
            let lease = PeerLease {
                granted: false,
                same_document: false,
                granted_until: None,
                granted_at: self.started_at,
                given: false,
                takeover: TakeoverState::None,
                incarnation: None,
                changed_at: None,
            };
            self.peers.insert(name.to_owned(), lease);
        }
        self.peers.get_mut(name).expect("inserted above")
    }

    pub(super) fn note_grant(&mut self, grant: &GrantNote<'_>) {
        let until = grant.sent_at + self.takeover_after - SHARE_MARGIN * 2;
        let lease = self.peer(grant.peer);
        lease.granted = true;
        lease.same_document |= grant.same_document;
        lease.granted_until = lease.granted_until.max(Some(until));
    }

    pub(super) fn note_own_row(&mut self, row: TakeoverRow, sent_at: Instant) {
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

    /// Returns the own row without the takers whose grants hold, if any do.
    pub(super) fn released_row(&self, now: Instant) -> Option<TakeoverRow> {
        let (row, _) = self.own_row.as_ref()?;
        let mut takers = row.takers.clone();
        takers.retain(|taker| !self.is_granted(taker, now));
        let revision = row.revision;
        (takers != row.takers).then_some(TakeoverRow { revision, takers })
    }

    /// Returns until when this host may use units with this heir.
    pub(super) fn evidence_until(&self, heir: &str) -> Option<Instant> {
        let granted = self.peers.get(heir).and_then(|lease| lease.granted_until);
        let row = self.own_row.as_ref();
        let clear = row.filter(|(row, _)| row.takers.iter().all(|taker| taker != heir));
        granted.max(clear.map(|(_, until)| *until))
    }

    /// Tells whether a peer's own grant holds, whatever the row shows.
    pub(super) fn is_granted(&self, peer: &str, now: Instant) -> bool {
        let lease = self.peers.get(peer);
        let until = lease.and_then(|lease| lease.granted_until);
        until.is_some_and(|until| now < until)
    }

    pub(super) fn was_granted(&self, peer: &str) -> bool {
        self.peers.get(peer).is_some_and(|lease| lease.granted)
    }

    pub(super) fn has_same_document(&self, peer: &str) -> bool {
        self.peers
            .get(peer)
            .is_some_and(|lease| lease.same_document)
    }

    /// Tells whether a loan that was asked for at `sent_at` is from the peer's
    /// present process. Incarnations have no order, and a late message of an
    /// earlier process may make it look like the present one; but that process
    /// cannot have answered what was asked after a later one was first heard.
    pub(super) fn is_from_present(&self, peer: &str, sent_at: Instant) -> bool {
        let changed_at = self.peers.get(peer).and_then(|lease| lease.changed_at);
        changed_at.is_none_or(|changed_at| sent_at >= changed_at)
    }

    /// Notes a peer's request for a grant, which ends a takeover of its share.
    /// Returns whether it comes from another process than the last one.
    pub(super) fn note_request(&mut self, peer: &str, incarnation: u64, now: Instant) -> bool {
        let lease = self.peer(peer);
        lease.takeover = TakeoverState::None;
        let changed = lease.incarnation.replace(incarnation) != Some(incarnation);
        if changed {
            lease.changed_at = Some(now);
        }
        changed
    }

    pub(super) fn note_given(&mut self, peer: &str, now: Instant) {
        let lease = self.peer(peer);
        assert_eq!(lease.takeover, TakeoverState::None, "share was released");
        lease.granted_at = now;
        lease.given = true;
    }

    /// Tells whether this process ever granted a peer.
    pub(super) fn was_given(&self, peer: &str) -> bool {
        self.peers.get(peer).is_some_and(|lease| lease.given)
    }

    /// Starts the takeover of a peer's share if it is due; returns the attempt.
    pub(super) fn begin_takeover(&mut self, peer: &str, now: Instant) -> Option<u64> {
        let takeover_after = self.takeover_after;
        let attempt = self.attempts + 1;
        let lease = self.peer(peer);
        let due = now >= lease.granted_at + takeover_after;
        if !due || lease.takeover != TakeoverState::None {
            return None;
        }
        lease.takeover = TakeoverState::Writing { attempt };
        self.attempts = attempt;
        Some(attempt)
    }

    /// Notes the end of an attempt. One that the peer's request or a later
    /// attempt has replaced is ignored: its write may have been cleared since.
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

    pub(super) fn has_taken(&self, peer: &str, now: Instant) -> bool {
        let lease = self.peers.get(peer);
        lease.is_some_and(|lease| match lease.takeover {
            TakeoverState::Written { usable_from } => now >= usable_from,
            TakeoverState::None | TakeoverState::Writing { .. } => false,
        })
    }
}
