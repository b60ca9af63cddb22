//! Cache of peer clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::PeerFactory;

/// Maximum number of cached clients. Gossip picks its peers at random among all
/// daemons, so an unbounded cache would hold a connection to each of them.
const CLIENT_LIMIT: usize = 32;

/// Bounded cache of clients by peer address. A full cache evicts the client with
/// the lowest address.
#[derive(Debug)]
pub(crate) struct ClientCache<P: PeerFactory> {
    factory: P,
    clients: BTreeMap<SocketAddr, P::Client>,
}

impl<P: PeerFactory> ClientCache<P> {
    pub(crate) fn new(factory: P) -> Self {
        Self {
            factory,
            clients: BTreeMap::new(),
        }
    }

    /// Returns the client of the peer at `address`, creating it if needed.
    pub(crate) fn client(&mut self, address: SocketAddr) -> P::Client {
        if let Some(client) = self.clients.get(&address) {
            return client.clone();
        }
        if self.clients.len() >= CLIENT_LIMIT {
            self.clients.pop_first();
        }
        let client = self.factory.client(address);
        self.clients.insert(address, client.clone());
        client
    }
}
