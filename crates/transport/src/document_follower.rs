//! Follows the newest version of the intent document.
//!
//! One task learns of versions from the store, from pushes and from exchanges,
//! fetches their bodies and puts the newest in force. Its calls run as tasks of
//! their own, so that neither the store nor a peer holds up the others.

mod task;

use std::net::SocketAddr;
use std::sync::Arc;

use coordination::document_version::DocumentStamp;
use protocol::peer::PeerDigest;
use state::document::IntentDocument;
use tokio::sync::{mpsc, watch};

use crate::membership_hub::MembershipHub;
use crate::peer::OwnDigest;

pub use task::follow_documents;

/// Digests that may wait for the follower; more are dropped, since peers repeat
/// them.
const EVENT_BUFFER: usize = 256;

/// A document in force.
#[derive(Clone, Debug)]
pub struct AdoptedDocument {
    /// Version and digest.
    pub stamp: DocumentStamp,
    /// TOML text.
    pub text: String,
    /// The parsed document.
    pub document: IntentDocument,
}

/// What a follower works with.
#[derive(Clone, Debug)]
pub struct FollowerServices<T, O, P, C> {
    /// Holds the head row.
    pub table: T,
    /// Holds the bodies.
    pub objects: O,
    /// Creates the clients of peers.
    pub peers: P,
    /// Clock.
    pub clock: C,
    /// Learns the names of each document.
    pub hub: MembershipHub,
    /// The daemon's own digest.
    pub digest: OwnDigest,
    /// Daemons that are asked at the start, without this one.
    pub seeds: Vec<SocketAddr>,
}

/// An input from outside of the follower.
#[derive(Debug)]
pub enum FollowerEvent {
    /// A peer sent its digest.
    Heard(PeerDigest),
    /// Tell the peers that this daemon is leaving.
    AnnounceLeaving,
}

/// The ends through which a daemon uses its follower.
#[derive(Clone, Debug)]
pub struct FollowerHandle {
    /// The document in force.
    pub documents: watch::Receiver<Option<Arc<AdoptedDocument>>>,
    /// Whether callers may be served.
    pub serving: watch::Receiver<bool>,
    events: mpsc::Sender<FollowerEvent>,
}

/// The follower's own ends of the channels.
#[derive(Debug)]
pub struct FollowerPorts {
    documents: watch::Sender<Option<Arc<AdoptedDocument>>>,
    serving: watch::Sender<bool>,
    events: mpsc::Receiver<FollowerEvent>,
}

/// Builds the channels of a follower.
pub fn channels() -> (FollowerHandle, FollowerPorts) {
    let (documents, documents_out) = watch::channel(None);
    let (serving, serving_out) = watch::channel(false);
    let (events_in, events) = mpsc::channel(EVENT_BUFFER);
    let handle = FollowerHandle {
        documents: documents_out,
        serving: serving_out,
        events: events_in,
    };
    let ports = FollowerPorts {
        documents,
        serving,
        events,
    };
    (handle, ports)
}

impl FollowerHandle {
    /// Returns the document in force.
    pub fn current(&self) -> Option<Arc<AdoptedDocument>> {
        self.documents.borrow().clone()
    }

    /// Passes a peer's digest on.
    pub fn heard(&self, digest: PeerDigest) {
        let _ = self.events.try_send(FollowerEvent::Heard(digest));
    }

    /// Tells the peers that this daemon is leaving.
    pub fn announce_leaving(&self) {
        let _ = self.events.try_send(FollowerEvent::AnnounceLeaving);
    }
}
