//! What this daemon tells its peers about itself.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use protocol::peer::{DocumentVersion, PeerDigest};

use crate::membership_hub::MembershipHub;

/// The parts of the digest; its clones share them.
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
    /// Builds the digest of a process that has just started.
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

    /// Returns the digest as of now.
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

    /// Returns the name of the host.
    pub fn host(&self) -> &str {
        &self.parts.host
    }

    /// Returns the random number of the process.
    pub fn incarnation(&self) -> u64 {
        self.parts.incarnation
    }

    /// Notes that the daemon is shutting down.
    pub fn set_leaving(&self) {
        self.parts.leaving.store(true, Ordering::Relaxed);
    }

    /// Notes the version in force.
    pub fn set_document(&self, version: DocumentVersion) {
        let mut document = self
            .parts
            .document
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *document = version;
    }

    /// Notes the idle connections that may be borrowed, by member in order of
    /// name. Counts of an earlier document may be sent for a moment; the lender
    /// checks each request, so they only cause a refused one.
    pub fn set_idle(&self, idle: Vec<u32>) {
        *self
            .parts
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = idle;
    }
}
