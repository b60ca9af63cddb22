//! A whole site in one process: a stand-in cluster and one daemon for each entry
//! host.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use coordination::publish::PublishAction;
use state::document::IntentDocument;
use state::settings::{DaemonSettings, PlatformSettings, UserCredential};
use tokio::net::TcpListener;
use tokio_postgres::{Client, Config, NoTls};
use transport::document_store;
use transport::platform::PlatformClient;
use transport::runtime::{self, DaemonHandle, DaemonListeners};

use crate::cluster::{Cluster, ClusterSettings};

/// Name of the user that may use all groups.
pub const USER: &str = "app";
/// Password of [`USER`].
pub const PASSWORD: &str = "secret";
/// Timeout of platform requests in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 500;
/// Interval in milliseconds at which daemons read the host list.
const HOST_LIST_INTERVAL_MS: u64 = 1_000;

/// Result of starting a site or connecting to it.
pub type Result<T> = std::result::Result<T, SiteError>;

/// Error of starting or using a site.
#[derive(Debug)]
pub enum SiteError {
    /// An I/O operation failed, usually listening on an address.
    Io(io::Error),
    /// The document is invalid or could not be published.
    Document(String),
    /// A check of the running site failed.
    Check(String),
    /// A PostgreSQL client reported an error.
    Client(tokio_postgres::Error),
}

impl fmt::Display for SiteError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "I/O error: {error}"),
            Self::Document(reason) => write!(formatter, "document not published: {reason}"),
            Self::Check(reason) => write!(formatter, "check failed: {reason}"),
            Self::Client(error) => write!(formatter, "PostgreSQL client: {error}"),
        }
    }
}

impl From<io::Error> for SiteError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<tokio_postgres::Error> for SiteError {
    fn from(error: tokio_postgres::Error) -> Self {
        Self::Client(error)
    }
}

/// Settings of a site.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Settings of the cluster. The site sets their `entry_hosts`.
    pub cluster: ClusterSettings,
    /// Number of entry hosts.
    pub entry_hosts: usize,
    /// Port for callers at the first entry host. The other entry hosts use the
    /// next higher ports. `None` selects free ports.
    pub first_port: Option<u16>,
    /// Largest number of caller connections that each daemon accepts.
    pub caller_limit: u64,
}

impl Default for SiteSettings {
    fn default() -> Self {
        Self {
            cluster: ClusterSettings::default(),
            entry_hosts: 4,
            first_port: None,
            caller_limit: 10_000,
        }
    }
}

/// A running site. Dropping it stops the daemons and the cluster.
#[derive(Debug)]
pub struct Site {
    /// Daemons by index of their entry host; a stopped daemon is `None`.
    pub daemons: Vec<Option<DaemonHandle>>,
    /// The backend servers and the platform.
    pub cluster: Cluster,
    callers: Vec<SocketAddr>,
}

impl Site {
    /// Starts a site and waits until every daemon serves callers. `change` can
    /// edit the document before it is published.
    pub async fn start(
        settings: SiteSettings,
        change: impl FnOnce(&mut IntentDocument),
    ) -> Result<Self> {
        let mut listeners = Vec::with_capacity(settings.entry_hosts);
        for index in 0..settings.entry_hosts {
            listeners.push(bind_listeners(settings.first_port, index).await?);
        }
        let peers = listeners.iter().map(|listener| listener.peer.local_addr());
        let peers: Vec<SocketAddr> = peers.collect::<io::Result<_>>()?;
        let cluster = Cluster::start(ClusterSettings {
            entry_hosts: peers.clone(),
            ..settings.cluster
        })
        .await?;
        let mut document = cluster.document();
        change(&mut document);
        publish(&cluster, &document).await?;
        let mut site = Self {
            daemons: Vec::new(),
            callers: Vec::new(),
            cluster,
        };
        for (index, listeners) in listeners.into_iter().enumerate() {
            let data_centre = &document.entry_host[index].data_centre;
            let host = &document.entry_host[index].name;
            let mut daemon = site.daemon_settings(host, data_centre, &peers, &listeners)?;
            daemon.caller_limit = settings.caller_limit;
            site.callers.push(daemon.caller_address);
            let daemon = runtime::start_on(daemon, listeners);
            site.daemons.push(Some(daemon));
        }
        for daemon in site.daemons.iter().flatten() {
            daemon.serving().await;
        }
        Ok(site)
    }

    /// Returns the address that callers of an entry host connect to.
    pub fn caller_address(&self, entry_host: usize) -> SocketAddr {
        self.callers[entry_host]
    }

    /// Returns the connection URL for callers of a group at an entry host.
    pub fn caller_url(&self, entry_host: usize, group: &str) -> String {
        let address = self.caller_address(entry_host);
        format!("postgres://{USER}:{PASSWORD}@{address}/{group}")
    }

    /// Stops a daemon immediately, as if its host had crashed.
    pub fn stop_daemon(&mut self, entry_host: usize) {
        self.daemons[entry_host] = None;
    }

    /// Connects a client to an entry host, with the session token if one is
    /// given.
    pub async fn connect(
        &self,
        entry_host: usize,
        group: &str,
        token: Option<&str>,
    ) -> Result<Client> {
        let address = self.caller_address(entry_host);
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(USER)
            .password(PASSWORD)
            .dbname(group);
        if let Some(token) = token {
            config.options(format!("-c cassia.session_token={token}"));
        }
        let (client, connection) = config.connect(NoTls).await?;
        tokio::spawn(connection);
        Ok(client)
    }

    fn daemon_settings(
        &self,
        host: &str,
        data_centre: &str,
        peers: &[SocketAddr],
        listeners: &DaemonListeners,
    ) -> Result<DaemonSettings> {
        Ok(DaemonSettings {
            host: host.to_owned(),
            data_centre: data_centre.to_owned(),
            caller_address: listeners.caller.local_addr()?,
            peer_address: listeners.peer.local_addr()?,
            metrics_address: listeners.metrics.local_addr()?,
            seed_peer: peers.to_vec(),
            platform: PlatformSettings {
                address: self.cluster.platform().address(),
                timeout_ms: PLATFORM_TIMEOUT_MS,
                host_list_interval_ms: HOST_LIST_INTERVAL_MS,
            },
            credential: vec![UserCredential {
                user: USER.to_owned(),
                password: PASSWORD.to_owned(),
            }],
            caller_limit: SiteSettings::default().caller_limit,
        })
    }
}

async fn bind_listeners(first_port: Option<u16>, index: usize) -> Result<DaemonListeners> {
    let port = first_port.map_or(0, |first| first + index as u16);
    let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    Ok(DaemonListeners {
        caller: TcpListener::bind(loopback(port)).await?,
        peer: TcpListener::bind(loopback(0)).await?,
        metrics: TcpListener::bind(loopback(0)).await?,
    })
}

/// Validates and publishes the first document of a cluster.
pub(crate) async fn publish(cluster: &Cluster, document: &IntentDocument) -> Result<()> {
    document
        .validate()
        .map_err(|problems| SiteError::Document(format!("{problems:?}")))?;
    let timeout = std::time::Duration::from_millis(PLATFORM_TIMEOUT_MS);
    let client = PlatformClient::new(cluster.platform().address(), timeout);
    match document_store::publish(&client, &client, 0, &document.render()).await {
        PublishAction::Published(_) => Ok(()),
        other => Err(SiteError::Document(format!("{other:?}"))),
    }
}
