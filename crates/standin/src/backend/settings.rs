//! Settings of a backend server.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Settings of one backend server.
#[derive(Clone, Debug)]
pub struct BackendSettings {
    /// Statement address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Address for member control and replication; port 0 selects a free port.
    pub control_address: SocketAddr,
    /// Maximum number of statements that execute at the same time.
    pub slots: usize,
    /// Maximum number of open statement connections.
    pub connection_limit: usize,
    /// Delay before a new connection is accepted.
    pub connection_delay: Duration,
    /// Time for which each statement occupies its slot.
    pub service_time: Duration,
    /// See [`super::BackendServer::set_receive_lag`].
    pub receive_lag: Duration,
    /// See [`super::BackendServer::set_apply_lag`].
    pub apply_lag: Duration,
    /// Addresses that replication connects to instead of the primaries' control
    /// addresses.
    pub routes: ReplicationRoutes,
    /// Directory in which the promised term, the grant and the log are stored.
    /// Without one, they are lost when the server stops.
    pub data_dir: Option<PathBuf>,
    /// Whether a member without stored state starts as primary at term 1.
    pub bootstrap_primary: bool,
    /// Control address of the primary that a member without stored state follows
    /// at term 1.
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
            receive_lag: Duration::ZERO,
            apply_lag: Duration::ZERO,
            routes: ReplicationRoutes::default(),
            data_dir: None,
            bootstrap_primary: false,
            follow: None,
        }
    }
}

/// Maps control addresses to the addresses that replication connects to, so
/// that tests can interrupt replication without interrupting member control.
/// Clones share the map.
#[derive(Clone, Debug, Default)]
pub struct ReplicationRoutes {
    routes: Arc<Mutex<HashMap<SocketAddr, SocketAddr>>>,
}

impl ReplicationRoutes {
    /// Makes replication connect to `route` instead of `control_address`.
    pub fn set(&self, control_address: SocketAddr, route: SocketAddr) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes.insert(control_address, route);
    }

    /// Returns the address that replication connects to for `control_address`:
    /// its route if one is set, otherwise the address itself.
    pub fn resolve(&self, control_address: SocketAddr) -> SocketAddr {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes
            .get(&control_address)
            .copied()
            .unwrap_or(control_address)
    }
}
