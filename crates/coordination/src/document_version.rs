//! Tracks the configuration version in force and decides when a restarted daemon
//! may serve.
//!
//! The version in force never falls, and a restarted daemon serves only once it
//! holds the newest version that the store or its peers report.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Time after the start from which a store that neither answers nor fails counts
/// as unavailable, so that the peers' versions suffice.
pub const STORE_WAIT: Duration = Duration::from_secs(2);
/// Time after the start from which the peers that have answered suffice.
pub const PEER_WAIT: Duration = Duration::from_secs(1);

/// Identifies a published document by its version number and digest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DocumentStamp {
    /// Version number. Versions start at 1 and rise by 1.
    pub version: u64,
    /// Digest of the body, in lower-case hexadecimal.
    pub digest: String,
}

/// How to treat a version that a peer or the store offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferDecision {
    /// It is newer: fetch and validate its body, then call
    /// [`VersionTracker::adopt`].
    Fetch,
    /// It is already in force.
    InForce,
    /// It is older than the version in force and must be ignored.
    Older,
    /// It has the version in force but another digest: refuse it and report a
    /// fault. Two bodies under one version mean that the store lost a
    /// compare-and-set.
    DigestFault {
        /// The stamp that stays in force.
        in_force: DocumentStamp,
    },
}

/// Answer of the store to a query for the newest version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// Stamp of the newest published version, from the head row.
    Head(DocumentStamp),
    /// No document was ever published.
    NoDocument,
    /// The store did not answer.
    Failed,
}

/// Whether a daemon may serve callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingReadiness {
    /// The daemon is starting up and must refuse callers.
    NotReady,
    /// The daemon may serve callers.
    Ready,
}

/// Tracks the version in force of one daemon.
///
/// # Invariants
///
/// The version in force never falls. A daemon that is ready to serve stays ready.
#[derive(Clone, Debug)]
pub struct VersionTracker {
    in_force: Option<DocumentStamp>,
    started_at: Instant,
    store_head: Option<u64>,
    store_failed: bool,
    peers_asked: usize,
    peers_answered: usize,
    peer_version: u64,
    serving: bool,
}

impl VersionTracker {
    /// Creates the state of a daemon that has just started and has asked
    /// `peers_asked` peers for their version.
    pub fn new(peers_asked: usize, now: Instant) -> Self {
        Self {
            in_force: None,
            started_at: now,
            store_head: None,
            store_failed: false,
            peers_asked,
            peers_answered: 0,
            peer_version: 0,
            serving: false,
        }
    }

    /// Returns the stamp of the version in force, or `None` before the first one.
    pub fn in_force(&self) -> Option<&DocumentStamp> {
        self.in_force.as_ref()
    }

    /// Returns the number of the version in force, or 0 before the first one.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |stamp| stamp.version)
    }

    /// Compares a version that a peer or the store offers with the version in
    /// force.
    pub fn check_offer(&self, offered: &DocumentStamp) -> OfferDecision {
        let Some(in_force) = &self.in_force else {
            return OfferDecision::Fetch;
        };
        match offered.version.cmp(&in_force.version) {
            std::cmp::Ordering::Greater => OfferDecision::Fetch,
            std::cmp::Ordering::Less => OfferDecision::Older,
            std::cmp::Ordering::Equal if offered.digest == in_force.digest => {
                OfferDecision::InForce
            }
            std::cmp::Ordering::Equal => OfferDecision::DigestFault {
                in_force: in_force.clone(),
            },
        }
    }

    /// Puts a version in force. Its body must have been fetched and must match the
    /// digest. The body may arrive after the body of a newer version, so the
    /// version in force changes only if the result is [`OfferDecision::Fetch`].
    pub fn adopt(&mut self, stamp: DocumentStamp) -> OfferDecision {
        assert!(stamp.version > 0, "document versions start at 1");
        let decision = self.check_offer(&stamp);
        if decision != OfferDecision::Fetch {
            return decision;
        }
        // INVARIANT: the version in force never falls.
        assert!(
            stamp.version > self.version(),
            "the version in force must rise"
        );
        self.in_force = Some(stamp);
        decision
    }

    /// Records an answer of the store.
    pub fn record_store_answer(&mut self, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Head(stamp) => {
                self.store_head = Some(self.store_head.unwrap_or(0).max(stamp.version));
            }
            // Without a published document the daemon cannot serve.
            StoreAnswer::NoDocument => {}
            StoreAnswer::Failed => self.store_failed = true,
        }
    }

    /// Records the version that a peer reports during the start; `None` if the
    /// peer has no document.
    pub fn record_peer_answer(&mut self, stamp: Option<&DocumentStamp>) {
        self.peers_answered += 1;
        let version = stamp.map_or(0, |stamp| stamp.version);
        self.peer_version = self.peer_version.max(version);
    }

    /// Decides whether the daemon may serve callers.
    ///
    /// The daemon must hold the highest version that the store and the peers have
    /// reported. If the store is unavailable, all peers must have answered, or at
    /// least one after [`PEER_WAIT`]. Without any answer the daemon does not
    /// serve, because its previous process may have acted on a newer document.
    pub fn serving_readiness(&mut self, now: Instant) -> ServingReadiness {
        self.serving = self.serving || self.has_newest_known(now);
        match self.serving {
            true => ServingReadiness::Ready,
            false => ServingReadiness::NotReady,
        }
    }

    fn has_newest_known(&self, now: Instant) -> bool {
        if self.in_force.is_none() {
            return false;
        }
        let known = self.store_head.unwrap_or(0).max(self.peer_version);
        if self.version() < known {
            return false;
        }
        if self.store_head.is_some() {
            return true;
        }
        let waited = now.saturating_duration_since(self.started_at);
        let store_unavailable = self.store_failed || waited >= STORE_WAIT;
        let enough_peers_answered = self.peers_answered >= self.peers_asked || waited >= PEER_WAIT;
        store_unavailable && self.peers_answered > 0 && enough_peers_answered
    }
}
