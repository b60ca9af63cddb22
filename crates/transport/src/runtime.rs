//! Assembles and starts a daemon from its settings.
//!
//! A daemon has no global state, so that several daemons can run in one process.

mod callers;
mod cancel_forwarder;
mod groups;
mod peer_handler;
mod request_purge;
mod share_hub;
mod share_keeper;
mod shutdown;
mod takeover;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use protocol::peer::{CancelKey, DaemonStatus};
use state::clock::SystemClock;
use state::settings::DaemonSettings;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};

use crate::caller::metrics::CallerMetrics;
use crate::control_client::MemberClientFactory;
use crate::document_follower::{
    self, AdoptedDocument, FollowerChannels, FollowerHandle, FollowerServices,
};
use crate::group_handle::GroupHandle;
use crate::host_watcher::watch_hosts;
use crate::membership_hub::MembershipHub;
use crate::metrics::{serve_metrics, DaemonMetrics};
use crate::monitor::{MonitorServices, ProbeBudget};
use crate::peer::{serve_peers, OwnDigest, PeerChannelFactory, PeerHandler};
use crate::platform::PlatformClient;
use crate::rpc::ControlMeter;

use callers::CallerRuntime;
use cancel_forwarder::{forward_cancels, CANCEL_BUFFER};
use groups::{follow_groups, DocumentConsumers, GroupTable};
use peer_handler::DaemonPeer;
use request_purge::{purge_requests, PurgeContext};
use share_hub::ShareHub;
use share_keeper::{maintain_shares, MaintainerContext};

/// Result of starting a daemon.
pub type Result<T> = std::result::Result<T, StartError>;

/// Why a daemon cannot start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartError {
    /// Key of the address in the settings.
    pub key: &'static str,
    /// Address on which the daemon cannot listen.
    pub address: SocketAddr,
    /// Error text of the operating system.
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

/// A running daemon. Dropping the handle ends the daemon at once, without a
/// graceful shutdown.
#[derive(Debug)]
pub struct DaemonHandle {
    addresses: DaemonAddresses,
    follower: FollowerHandle,
    groups: GroupTable,
    peer: Arc<DaemonPeer>,
    metrics: Arc<DaemonMetrics>,
    ready: watch::Receiver<bool>,
    shutdown: Arc<watch::Sender<bool>>,
    main: JoinHandle<()>,
}

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
}

/// The listeners of a daemon. They can be bound before the peer addresses are
/// written to the document.
#[derive(Debug)]
pub struct DaemonListeners {
    /// Listener for callers.
    pub caller: TcpListener,
    /// Listener for other daemons.
    pub peer: TcpListener,
    /// Listener of the metrics endpoint.
    pub metrics: TcpListener,
}

/// The state and the clients that the tasks of a daemon share.
struct DaemonParts {
    settings: DaemonSettings,
    platform: PlatformClient,
    meter: ControlMeter,
    hub: MembershipHub,
    digest: OwnDigest,
    metrics: Arc<DaemonMetrics>,
    follower: FollowerHandle,
    groups: GroupTable,
    callers: CallerRuntime,
    shares: ShareHub,
    /// Becomes true once the first document has been applied.
    ready: watch::Receiver<bool>,
    peer: Arc<DaemonPeer>,
}

/// The channel ends that belong to one task each, as opposed to [`DaemonParts`].
struct TaskChannels {
    follower: FollowerChannels,
    cancels: mpsc::Receiver<CancelKey>,
    ready: watch::Sender<bool>,
}

/// Starts a daemon. The daemon listens on its addresses when this returns, and
/// serves callers once it has a document.
///
/// # Errors
///
/// Fails if the daemon cannot listen on one of its addresses.
pub async fn start(settings: DaemonSettings) -> Result<DaemonHandle> {
    let listeners = DaemonListeners::bind(&settings).await?;
    Ok(start_on(settings, listeners))
}

/// Starts a daemon on listeners that are already bound.
pub fn start_on(settings: DaemonSettings, listeners: DaemonListeners) -> DaemonHandle {
    let addresses = listeners.addresses(&settings);
    log::info!(
        "host {} listens on {} for callers, {} for peers, {} for metrics",
        settings.host,
        addresses.caller,
        addresses.peer,
        addresses.metrics
    );
    let shutdown = Arc::new(watch::Sender::new(false));
    let (parts, channels) = DaemonParts::new(settings, shutdown.subscribe());
    let mut tasks = JoinSet::new();
    parts.spawn_control(&mut tasks, channels, listeners.peer, listeners.metrics);
    let (peer, groups) = (parts.peer.clone(), parts.groups.clone());
    let (follower, metrics) = (parts.follower.clone(), parts.metrics.clone());
    let ready = parts.ready.clone();
    let main = shutdown::run(parts, listeners.caller, tasks, shutdown.subscribe());
    DaemonHandle {
        addresses,
        follower,
        groups,
        peer,
        metrics,
        ready,
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
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot listen on one of the addresses.
    pub async fn bind(settings: &DaemonSettings) -> Result<Self> {
        Ok(Self {
            caller: listen("caller_address", settings.caller_address).await?,
            peer: listen("peer_address", settings.peer_address).await?,
            metrics: listen("metrics_address", settings.metrics_address).await?,
        })
    }

    /// Returns the bound addresses, which differ from the settings if these name
    /// port 0.
    fn addresses(&self, settings: &DaemonSettings) -> DaemonAddresses {
        let bound = |listener: &TcpListener, set| listener.local_addr().unwrap_or(set);
        DaemonAddresses {
            caller: bound(&self.caller, settings.caller_address),
            peer: bound(&self.peer, settings.peer_address),
            metrics: bound(&self.metrics, settings.metrics_address),
        }
    }
}

impl DaemonParts {
    fn new(settings: DaemonSettings, shutdown: watch::Receiver<bool>) -> (Self, TaskChannels) {
        let timeout = Duration::from_millis(settings.platform.timeout_ms);
        let meter = ControlMeter::default();
        let metrics = DaemonMetrics::with_meter(meter.clone());
        let caller_metrics = CallerMetrics::new(metrics.registry())
            .expect("names of the metrics differ from those of the control side");
        let (follower, follower_channels) = document_follower::channels();
        let (peer_cancels, cancels) = mpsc::channel(CANCEL_BUFFER);
        let (ready_sender, ready) = watch::channel(false);
        let callers = CallerRuntime::new(settings.clone(), caller_metrics, shutdown, peer_cancels);
        let hub = MembershipHub::new(&settings.host, &settings.data_centre);
        let digest = OwnDigest::new(&settings.host, hub.clone());
        let groups = GroupTable::default();
        let shares = ShareHub::new(digest.clone(), hub.clone());
        let peer = DaemonPeer {
            digest: digest.clone(),
            follower: follower.clone(),
            hub: hub.clone(),
            groups: groups.clone(),
            callers: callers.clone(),
            shares: shares.clone(),
        };
        let parts = Self {
            platform: PlatformClient::new(settings.platform.address, timeout),
            metrics: Arc::new(metrics),
            peer: Arc::new(peer),
            settings,
            meter,
            hub,
            digest,
            follower,
            groups,
            callers,
            shares,
            ready,
        };
        let channels = TaskChannels {
            follower: follower_channels,
            cancels,
            ready: ready_sender,
        };
        (parts, channels)
    }

    /// Spawns all control tasks, which are all tasks except those that serve
    /// callers.
    fn spawn_control(
        &self,
        tasks: &mut JoinSet<()>,
        channels: TaskChannels,
        peer_listener: TcpListener,
        metrics_listener: TcpListener,
    ) {
        let interval = Duration::from_millis(self.settings.platform.host_list_interval_ms);
        let follower =
            document_follower::follow_documents(self.follower_services(), channels.follower);
        self.spawn(tasks, follower);
        let watcher = watch_hosts(
            self.platform.clone(),
            self.hub.clone(),
            interval,
            SystemClock,
        );
        self.spawn(tasks, watcher);
        let consumers = DocumentConsumers {
            host: self.settings.host.clone(),
            monitors: self.groups.clone(),
            callers: self.callers.clone(),
            shares: self.shares.clone(),
            ready: channels.ready,
        };
        let documents = self.follower.documents.clone();
        let groups = follow_groups(
            consumers,
            self.monitor_services(),
            documents,
            self.hub.leaving(),
        );
        self.spawn(tasks, groups);
        let peers = serve_peers(peer_listener, self.peer.clone(), self.meter.clone());
        self.spawn(tasks, peers);
        let shares = maintain_shares(MaintainerContext {
            shares: self.shares.clone(),
            callers: self.callers.clone(),
            follower: self.follower.clone(),
            hub: self.hub.clone(),
            table: self.platform.clone(),
            peers: PeerChannelFactory::new(self.meter.clone()),
            digest: self.digest.clone(),
        });
        self.spawn(tasks, shares);
        let purge = purge_requests(PurgeContext {
            host: self.settings.host.clone(),
            callers: self.callers.clone(),
            follower: self.follower.clone(),
            hub: self.hub.clone(),
        });
        self.spawn(tasks, purge);
        let cancels = forward_cancels(
            channels.cancels,
            PeerChannelFactory::new(self.meter.clone()),
            self.follower.clone(),
            self.hub.clone(),
        );
        self.spawn(tasks, cancels);
        tasks.spawn(serve_metrics(metrics_listener, self.metrics.clone()));
    }

    /// Spawns a control task and counts its run time.
    fn spawn<F>(&self, tasks: &mut JoinSet<()>, task: F)
    where
        F: std::future::Future<Output = ()> + Send + 'static,
    {
        let meter = self.meter.clone();
        tasks.spawn(async move { meter.run(task).await });
    }

    fn follower_services(
        &self,
    ) -> FollowerServices<PlatformClient, PlatformClient, PeerChannelFactory, SystemClock> {
        let own = self.settings.peer_address;
        let seeds = self.settings.seed_peer.iter().copied();
        FollowerServices {
            table: self.platform.clone(),
            objects: self.platform.clone(),
            peers: PeerChannelFactory::new(self.meter.clone()),
            clock: SystemClock,
            hub: self.hub.clone(),
            digest: self.digest.clone(),
            seeds: seeds.filter(|seed| *seed != own).collect(),
        }
    }

    fn monitor_services(
        &self,
    ) -> MonitorServices<MemberClientFactory, PlatformClient, SystemClock> {
        MonitorServices {
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

    /// Returns the status that the daemon reports to its peers.
    pub fn status(&self) -> DaemonStatus {
        self.peer.status()
    }

    /// Returns how many connections to a backend server the daemon may have open
    /// now.
    pub fn connection_allowance(&self, member: &str) -> u32 {
        self.peer.shares.allowance(member, Instant::now())
    }

    /// Returns the daemon's metrics.
    pub fn metrics(&self) -> &DaemonMetrics {
        &self.metrics
    }

    /// Waits until the daemon serves callers and has applied its first document.
    pub async fn serving(&self) {
        let mut serving = self.follower.serving.clone();
        let _ = serving.wait_for(|serving| *serving).await;
        let mut ready = self.ready.clone();
        let _ = ready.wait_for(|ready| *ready).await;
    }

    /// Starts the graceful shutdown and returns without waiting for its end.
    pub fn begin_shutdown(&self) {
        self.shutdown.send_replace(true);
    }

    /// Waits until the daemon has ended. It ends after [`Self::begin_shutdown`],
    /// or when one of its control tasks ends unexpectedly.
    pub async fn wait(&mut self) {
        if let Err(error) = (&mut self.main).await {
            log::error!("the main task of the daemon failed: {error}");
        }
    }
}

impl Drop for DaemonHandle {
    fn drop(&mut self) {
        self.main.abort();
    }
}
