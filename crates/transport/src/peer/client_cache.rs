//! Clients of recently used peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::PeerFactory;

/// Clients that are kept. Partners are chosen at random among all daemons, so
/// keeping all would open a connection to each of them.
const CLIENT_LIMIT: usize = 32;

/// A bounded set of clients.
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

    /// Returns the client of a peer.
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
