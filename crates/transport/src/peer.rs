//! Client and server of the `tarpc` service between daemons.

mod client;
mod client_cache;
mod own_digest;
mod server;

pub use client::{PeerChannel, PeerChannelFactory, PeerClient, PeerFactory};
pub(crate) use client_cache::ClientCache;
pub use own_digest::OwnDigest;
pub use server::{serve_peers, PeerHandler};

/// Maximum size of a message between daemons. The largest message carries a
/// document; at the target size (2,900 databases) that takes about 1 MB.
const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;
