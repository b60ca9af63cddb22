//! Settings of a backend server.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Settings of one backend server.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Address for statements; port 0 picks a free port.
    pub address: SocketAddr,
    /// Address for member control; port 0 picks a free port.
    pub control_address: SocketAddr,
    /// Statements that execute at the same time.
    pub slots: usize,
    /// Connections that are accepted.
    pub connection_limit: usize,
    /// Time that opening a connection costs.
    pub connection_delay: Duration,
    /// Time that each statement holds its slot.
    pub service_time: Duration,
    /// See [`super::BackendServer::set_lag`].
    pub lag: Duration,
    /// See [`super::BackendServer::set_apply_lag`].
    pub apply_lag: Duration,
    /// Routes that replication takes instead of the primaries' control
    /// addresses.
    pub routes: ReplicationRoutes,
    /// Directory that keeps the promised term, the grant and the log.
    pub data_dir: Option<PathBuf>,
    /// Whether a member without saved state starts as primary at term 1.
    pub bootstrap_primary: bool,
    /// Control address of the primary of term 1 that a member without saved
    /// state follows.
    pub follow: Option<SocketAddr>,
}

impl Default for BackendSettings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            address: any_port,
            control_address: any_port,
            slots: 3,
            connection_limit: 20,
            connection_delay: Duration::from_millis(10),
            service_time: Duration::ZERO,
            lag: Duration::ZERO,
            apply_lag: Duration::ZERO,
            routes: ReplicationRoutes::default(),
            data_dir: None,
            bootstrap_primary: false,
            follow: None,
        }
    }
}

/// Maps control addresses to the addresses that replication connects to, so
/// that tests can cut replication apart from control. Clones share the map.
#[derive(Clone, Debug, Default)]
pub struct ReplicationRoutes {
    routes: Arc<Mutex<HashMap<SocketAddr, SocketAddr>>>,
}

impl ReplicationRoutes {
    /// Sets the route to a control address.
    pub fn set(&self, control_address: SocketAddr, route: SocketAddr) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes.insert(control_address, route);
    }

    /// Returns the route to a control address, by default the address itself.
    pub fn find(&self, control_address: SocketAddr) -> SocketAddr {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes
            .get(&control_address)
            .copied()
            .unwrap_or(control_address)
    }
}
