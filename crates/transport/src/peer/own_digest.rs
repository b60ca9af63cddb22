//! Digest that this daemon sends to its peers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use protocol::peer::{DocumentVersion, PeerDigest};

use crate::membership_hub::MembershipHub;

/// Source of this daemon's digest. Clones share its content.
#[derive(Clone, Debug)]
pub struct OwnDigest {
    parts: Arc<DigestParts>,
}

#[derive(Debug)]
struct DigestParts {
    host: String,
    incarnation: u64,
    hub: MembershipHub,
    leaving: AtomicBool,
    document: Mutex<DocumentVersion>,
    idle: Mutex<Vec<u32>>,
}

impl OwnDigest {
    /// Returns the digest of a process that has just started, with a new random
    /// incarnation.
    pub fn new(host: &str, hub: MembershipHub) -> Self {
        Self {
            parts: Arc::new(DigestParts {
                host: host.to_owned(),
                incarnation: rand::random(),
                hub,
                leaving: AtomicBool::new(false),
                document: Mutex::default(),
                idle: Mutex::default(),
            }),
        }
    }

    /// Returns the current digest.
    pub fn current(&self) -> PeerDigest {
        let parts = &self.parts;
        PeerDigest {
            host: parts.host.clone(),
            incarnation: parts.incarnation,
            leaving: parts.leaving.load(Ordering::Relaxed),
            document: parts
                .document
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone(),
            idle: parts
                .idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone(),
            leaving_servers: parts.hub.listed_leaving(),
        }
    }

    /// Returns the name of this daemon's host.
    pub fn host(&self) -> &str {
        &self.parts.host
    }

    /// Returns the random number that identifies this process.
    pub fn incarnation(&self) -> u64 {
        self.parts.incarnation
    }

    /// Records that the daemon is shutting down.
    pub fn set_leaving(&self) {
        self.parts.leaving.store(true, Ordering::Relaxed);
    }

    /// Records the document version in force.
    pub fn set_document(&self, version: DocumentVersion) {
        let mut document = self
            .parts
            .document
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *document = version;
    }

    /// Records the number of idle connections that peers may borrow, one count
    /// per member in order of name. The digest may briefly hold the counts of an
    /// earlier document. These only cause a refused request, since the lender
    /// checks each one.
    pub fn set_idle(&self, idle: Vec<u32>) {
        *self
            .parts
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = idle;
    }
}
