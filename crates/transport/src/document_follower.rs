//! Keeps the newest version of the intent document in force.
//!
//! One task discovers versions in the store and in the digests of peers, fetches
//! their bodies and puts the newest in force. Each call runs in a separate task,
//! so that a slow store or peer does not delay the other calls.

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

/// Capacity of the follower's event queue. Digests beyond it are dropped, since
/// peers send them again.
const EVENT_BUFFER: usize = 256;

/// Version of the intent document that is in force.
#[derive(Clone, Debug)]
pub struct AdoptedDocument {
    /// Version number and digest of the text.
    pub stamp: DocumentStamp,
    /// Text of the document in TOML.
    pub text: String,
    /// Parsed form of `text`.
    pub document: IntentDocument,
}

/// External services and shared state that a follower uses.
#[derive(Clone, Debug)]
pub struct FollowerServices<T, O, P, C> {
    /// Table service with the head row.
    pub table: T,
    /// Object store with the bodies.
    pub objects: O,
    /// Creates the clients of peers.
    pub peers: P,
    /// Monotonic clock for timers and ages.
    pub clock: C,
    /// Membership table, which receives the names of each adopted document.
    pub hub: MembershipHub,
    /// Digest that this daemon sends to its peers.
    pub digest: OwnDigest,
    /// Peer addresses to ask for the document at the start, without this
    /// daemon's own.
    pub seeds: Vec<SocketAddr>,
}

/// Event that the daemon sends to the follower.
#[derive(Debug)]
pub enum FollowerEvent {
    /// A peer sent its digest.
    Digest(PeerDigest),
    /// The daemon is leaving and announces it to its peers.
    AnnounceLeaving,
}

/// Handle through which a daemon uses its follower.
#[derive(Clone, Debug)]
pub struct FollowerHandle {
    /// The document in force, or `None` before the first one is adopted.
    pub documents: watch::Receiver<Option<Arc<AdoptedDocument>>>,
    /// Whether callers may be served; stays true once it is true.
    pub serving: watch::Receiver<bool>,
    events: mpsc::Sender<FollowerEvent>,
}

/// The follower's ends of the channels.
#[derive(Debug)]
pub struct FollowerChannels {
    documents: watch::Sender<Option<Arc<AdoptedDocument>>>,
    serving: watch::Sender<bool>,
    events: mpsc::Receiver<FollowerEvent>,
}

/// Creates the channels between a daemon and its follower.
pub fn channels() -> (FollowerHandle, FollowerChannels) {
    let (documents, documents_out) = watch::channel(None);
    let (serving, serving_out) = watch::channel(false);
    let (events_in, events) = mpsc::channel(EVENT_BUFFER);
    let handle = FollowerHandle {
        documents: documents_out,
        serving: serving_out,
        events: events_in,
    };
    let channels = FollowerChannels {
        documents,
        serving,
        events,
    };
    (handle, channels)
}

impl FollowerHandle {
    /// Returns the document in force.
    pub fn current(&self) -> Option<Arc<AdoptedDocument>> {
        self.documents.borrow().clone()
    }

    /// Submits a peer's digest; it is dropped if the queue is full.
    pub fn submit_digest(&self, digest: PeerDigest) {
        let _ = self.events.try_send(FollowerEvent::Digest(digest));
    }

    /// Makes the follower tell the peers that this daemon is leaving. The request
    /// is dropped if the queue is full.
    pub fn announce_leaving(&self) {
        let _ = self.events.try_send(FollowerEvent::AnnounceLeaving);
    }
}
