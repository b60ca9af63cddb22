//! The service between daemons: client and server over `tarpc`.

mod client;
mod server;

pub use client::{PeerChannel, PeerChannelFactory, PeerClient, PeerFactory};
pub use server::{serve_peers, PeerHandler};

use std::time::Duration;

/// Largest message between daemons: a document and its envelope. The document
/// of the target size (2,900 databases) takes about 1 MB.
const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Time after which a call to a peer has failed. Peers answer from memory, and
/// the slowest path between regions takes tens of milliseconds.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(800);
