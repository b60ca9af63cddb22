//! The service between daemons: client and server over `tarpc`.

mod client;
mod client_cache;
mod own_digest;
mod server;

pub use client::{PeerChannel, PeerChannelFactory, PeerClient, PeerFactory};
pub(crate) use client_cache::ClientCache;
pub use own_digest::OwnDigest;
pub use server::{serve_peers, PeerHandler};

/// Largest message between daemons: a document and its envelope. The document
/// of the target size (2,900 databases) takes about 1 MB.
const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;
