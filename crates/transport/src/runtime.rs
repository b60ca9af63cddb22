//! Assembles a daemon from its settings.
//!
//! Nothing here is global, so that several daemons can run in one process.

mod groups;
mod peer_handler;
mod shutdown;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use protocol::peer::DaemonStatus;
use state::clock::SystemClock;
use state::settings::DaemonSettings;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::control_client::MemberClientFactory;
use crate::document_follower::{self, AdoptedDocument, FollowerHandle, FollowerSeams};
use crate::group_handle::GroupHandle;
use crate::host_watcher::watch_hosts;
use crate::membership_hub::MembershipHub;
use crate::metrics::{serve_metrics, DaemonMetrics};
use crate::monitor::{MonitorSeams, ProbeBudget};
use crate::peer::{serve_peers, OwnDigest, PeerChannelFactory, PeerHandler};
use crate::platform::PlatformClient;
use crate::rpc::ControlMeter;

use groups::GroupTable;
use peer_handler::DaemonPeer;

/// Result of starting a daemon.
pub type Result<T> = std::result::Result<T, StartError>;

/// Why a daemon cannot start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartError {
    /// Key of the settings.
    pub key: &'static str,
    /// Address that cannot be used.
    pub address: SocketAddr,
    /// What the system says.
    pub reason: String,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{}: cannot listen on {}: {}",
            self.key, self.address, self.reason
        )
    }
}

/// A running daemon. Dropping it ends the daemon at once.
#[derive(Debug)]
pub struct DaemonHandle {
    addresses: DaemonAddresses,
    follower: FollowerHandle,
    groups: GroupTable,
    peer: Arc<DaemonPeer>,
    metrics: Arc<DaemonMetrics>,
    shutdown: Arc<watch::Sender<bool>>,
    main: JoinHandle<()>,
}

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// Of the metrics.
    pub metrics: SocketAddr,
}

/// The listeners of a daemon. They can be bound before the document that names
/// the peer addresses is written.
#[derive(Debug)]
pub struct DaemonListeners {
    /// For callers.
    pub caller: TcpListener,
    /// For other daemons.
    pub peer: TcpListener,
    /// Of the metrics.
    pub metrics: TcpListener,
}

/// The parts that the tasks of a daemon share.
struct DaemonParts {
    settings: DaemonSettings,
    platform: PlatformClient,
    meter: ControlMeter,
    hub: MembershipHub,
    digest: OwnDigest,
    metrics: Arc<DaemonMetrics>,
    follower: FollowerHandle,
    groups: GroupTable,
    peer: Arc<DaemonPeer>,
}

/// Starts a daemon. It listens when this returns, and serves callers once it
/// has a document.
pub async fn start(settings: DaemonSettings) -> Result<DaemonHandle> {
    let listeners = DaemonListeners::bind(&settings).await?;
    Ok(start_on(settings, listeners))
}

/// Starts a daemon on listeners that are bound already.
pub fn start_on(settings: DaemonSettings, listeners: DaemonListeners) -> DaemonHandle {
    let addresses = listeners.addresses(&settings);
    log::info!(
        "host {} listens on {} for callers, {} for peers, {} for metrics",
        settings.host,
        addresses.caller,
        addresses.peer,
        addresses.metrics
    );
    let (follower, ports) = document_follower::channels();
    let parts = DaemonParts::new(settings, follower);
    let shutdown = Arc::new(watch::Sender::new(false));
    let mut tasks = JoinSet::new();
    parts.spawn_control(&mut tasks, ports, listeners.peer, listeners.metrics);
    let (peer, groups) = (parts.peer.clone(), parts.groups.clone());
    let (follower, metrics) = (parts.follower.clone(), parts.metrics.clone());
    let main = shutdown::run(parts, listeners.caller, tasks, shutdown.subscribe());
    DaemonHandle {
        addresses,
        follower,
        groups,
        peer,
        metrics,
        shutdown,
        main: tokio::spawn(main),
    }
}

async fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError {
            key,
            address,
            reason: error.to_string(),
        })
}

impl DaemonListeners {
    /// Binds the addresses of the settings.
    pub async fn bind(settings: &DaemonSettings) -> Result<Self> {
        Ok(Self {
            caller: listen("caller_address", settings.caller_address).await?,
            peer: listen("peer_address", settings.peer_address).await?,
            metrics: listen("metrics_address", settings.metrics_address).await?,
        })
    }

    /// Returns the real addresses; the settings may name port 0.
    fn addresses(&self, settings: &DaemonSettings) -> DaemonAddresses {
        let real = |listener: &TcpListener, set| listener.local_addr().unwrap_or(set);
        DaemonAddresses {
            caller: real(&self.caller, settings.caller_address),
            peer: real(&self.peer, settings.peer_address),
            metrics: real(&self.metrics, settings.metrics_address),
        }
    }
}

impl DaemonParts {
    fn new(settings: DaemonSettings, follower: FollowerHandle) -> Self {
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        let meter = ControlMeter::default();
        let hub = MembershipHub::new(&settings.host, &settings.data_centre);
        let digest = OwnDigest::new(&settings.host, hub.clone());
        let groups = GroupTable::default();
        Self {
            platform: PlatformClient::new(settings.platform.address, timeout),
            metrics: Arc::new(DaemonMetrics::with_meter(meter.clone())),
            peer: Arc::new(DaemonPeer {
                digest: digest.clone(),
                follower: follower.clone(),
                hub: hub.clone(),
                groups: groups.clone(),
            }),
            settings,
            meter,
            hub,
            digest,
            follower,
            groups,
        }
    }

    /// Spawns everything but the service of callers.
    fn spawn_control(
        &self,
        tasks: &mut JoinSet<()>,
        ports: document_follower::FollowerPorts,
        peer_listener: TcpListener,
        metrics_listener: TcpListener,
    ) {
        let interval = Duration::from_millis(self.settings.platform.host_list_interval_ms);
        let follower = document_follower::follow_documents(self.follower_seams(), ports);
        self.spawn(tasks, follower);
        let watcher = watch_hosts(
            self.platform.clone(),
            self.hub.clone(),
            interval,
            SystemClock,
        );
        self.spawn(tasks, watcher);
        let groups = groups::follow_groups(
            self.groups.clone(),
            self.settings.host.clone(),
            self.monitor_seams(),
            self.follower.documents.clone(),
            self.hub.leaving(),
        );
        self.spawn(tasks, groups);
        let peers = serve_peers(peer_listener, self.peer.clone(), self.meter.clone());
        self.spawn(tasks, peers);
        tasks.spawn(serve_metrics(metrics_listener, self.metrics.clone()));
    }

    /// Spawns a control task, whose run time is counted.
    fn spawn<F>(&self, tasks: &mut JoinSet<()>, task: F)
    where
        F: std::future::Future<Output = ()> + Send + 'static,
    {
        let meter = self.meter.clone();
        tasks.spawn(async move { meter.run(task).await });
    }

    fn follower_seams(
        &self,
    ) -> FollowerSeams<PlatformClient, PlatformClient, PeerChannelFactory, SystemClock> {
        let own = self.settings.peer_address;
        let seeds = self.settings.seed_peer.iter().copied();
        FollowerSeams {
            table: self.platform.clone(),
            objects: self.platform.clone(),
            peers: PeerChannelFactory::new(self.meter.clone()),
            clock: SystemClock,
            hub: self.hub.clone(),
            digest: self.digest.clone(),
            seeds: seeds.filter(|seed| *seed != own).collect(),
        }
    }

    fn monitor_seams(&self) -> MonitorSeams<MemberClientFactory, PlatformClient, SystemClock> {
        MonitorSeams {
            factory: MemberClientFactory::new(self.meter.clone()),
            table: self.platform.clone(),
            clock: SystemClock,
            metrics: self.metrics.clone(),
            budget: ProbeBudget::new(self.meter.clone()),
        }
    }
}

impl DaemonHandle {
    /// Returns the addresses on which the daemon listens.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Returns the document in force.
    pub fn document(&self) -> Option<Arc<AdoptedDocument>> {
        self.follower.current()
    }

    /// Returns the handle of a group.
    pub fn group(&self, name: &str) -> Option<GroupHandle> {
        self.groups.find(name)
    }

    /// Returns the daemon's state, as peers see it.
    pub fn status(&self) -> DaemonStatus {
        self.peer.status()
    }

    /// Returns the daemon's metrics.
    pub fn metrics(&self) -> &DaemonMetrics {
        &self.metrics
    }

    /// Waits until the daemon serves callers.
    pub async fn serving(&self) {
        let mut serving = self.follower.serving.clone();
        let _ = serving.wait_for(|serving| *serving).await;
    }

    /// Starts the graceful shutdown.
    pub fn begin_shutdown(&self) {
        self.shutdown.send_replace(true);
    }

    /// Waits until the daemon has ended, which it does after
    /// [`Self::begin_shutdown`] only.
    pub async fn wait(&mut self) {
        if let Err(error) = (&mut self.main).await {
            log::error!("the daemon has ended: {error}");
        }
    }
}

impl Drop for DaemonHandle {
    fn drop(&mut self) {
        self.main.abort();
    }
}
