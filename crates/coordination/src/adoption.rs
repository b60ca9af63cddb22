//! The configuration version in force, which only ever rises, and what a
//! restarted daemon may do before it knows the newest version.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Wait for the store before the peers' versions count, when the store neither
/// answers nor fails.
pub const STORE_WAIT: Duration = Duration::from_secs(2);
/// Wait for peers that have not answered, before those that did suffice.
pub const PEER_WAIT: Duration = Duration::from_secs(1);

/// A document version with the digest of its body.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct DocumentStamp {
    /// Version number; versions rise by one and start at one.
    pub version: u64,
    /// Digest of the body, in lower-case hexadecimal.
    pub digest: String,
}

/// What to do with an offered version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferDecision {
    /// It is newer: fetch its body, validate it and call
    /// [`DocumentAdoption::adopt`].
    Fetch,
    /// It is in force already.
    InForce,
    /// It is older than the version in force; ignore it.
    Older,
    /// Same version, other digest: refuse it and report a fault. Two bodies
    /// under one version mean that the store lost a compare-and-set.
    DigestFault {
        /// The stamp in force, which stays.
        in_force: DocumentStamp,
    },
}

/// What the store said about the newest version since the daemon started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The head of the store.
    Head(DocumentStamp),
    /// The store answered that no document was ever published.
    NoDocument,
    /// The store did not answer.
    Failed,
}

/// Whether a daemon may serve callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingRight {
    /// Not yet: refuse callers as starting up.
    Wait,
    /// Yes.
    Serve,
}

/// Tracks the version in force of one daemon.
///
/// # Invariants
///
/// The version in force never falls. Once granted, the right to serve stays.
#[derive(Clone, Debug)]
pub struct DocumentAdoption {
    in_force: Option<DocumentStamp>,
    started_at: Instant,
    store_head: Option<u64>,
    store_failed: bool,
    peers_asked: usize,
    peers_answered: usize,
    peer_version: u64,
    serving: bool,
}

impl DocumentAdoption {
    /// Builds the state of a daemon that has just started and asks
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

    /// Returns the stamp in force.
    pub fn in_force(&self) -> Option<&DocumentStamp> {
        self.in_force.as_ref()
    }

    /// Returns the version in force, or 0.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |stamp| stamp.version)
    }

    /// Judges a version that a peer or the store offers.
    pub fn judge(&self, offered: &DocumentStamp) -> OfferDecision {
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

    /// Puts a version in force whose body was fetched and matches the digest.
    /// The body may arrive after a newer one; only [`OfferDecision::Fetch`]
    /// changes the version in force.
    pub fn adopt(&mut self, stamp: DocumentStamp) -> OfferDecision {
        assert!(stamp.version > 0, "versions start at one");
        let decision = self.judge(&stamp);
        if decision != OfferDecision::Fetch {
            return decision;
        }
        // INVARIANT: the version in force only rises.
        assert!(stamp.version > self.version(), "version in force fell");
        self.in_force = Some(stamp);
        decision
    }

    /// Notes an answer of the store.
    pub fn store_answered(&mut self, answer: &StoreAnswer) {
        match answer {
            StoreAnswer::Head(stamp) => {
                self.store_head = Some(self.store_head.unwrap_or(0).max(stamp.version));
            }
            // Nothing was published, so there is nothing to serve from.
            StoreAnswer::NoDocument => {}
            StoreAnswer::Failed => self.store_failed = true,
        }
    }

    /// Notes a peer's answer about its version during the start.
    pub fn peer_answered(&mut self, stamp: Option<&DocumentStamp>) {
        self.peers_answered += 1;
        let version = stamp.map_or(0, |stamp| stamp.version);
        self.peer_version = self.peer_version.max(version);
    }

    /// Tells whether the daemon may serve callers.
    ///
    /// With the store's answer it must hold the store's version. Without it,
    /// it must hold the highest version among the peers that answered, after
    /// all were heard or [`PEER_WAIT`] has passed. Alone it does not serve: an
    /// earlier incarnation may have acted on a newer document.
    pub fn serving_right(&mut self, now: Instant) -> ServingRight {
        self.serving = self.serving || self.has_newest_known(now);
        match self.serving {
            true => ServingRight::Serve,
            false => ServingRight::Wait,
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
        let store_silent = self.store_failed || waited >= STORE_WAIT;
        let peers_heard = self.peers_answered >= self.peers_asked || waited >= PEER_WAIT;
        store_silent && self.peers_answered > 0 && peers_heard
    }
}
