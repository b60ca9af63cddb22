//! A whole site in one process: a stand-in cluster with a daemon on each of
//! its entry hosts.

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

/// User that may use all groups.
pub const USER: &str = "app";
/// Password of [`USER`].
pub const PASSWORD: &str = "secret";
/// Timeout of platform requests.
const PLATFORM_TIMEOUT_MS: u64 = 500;
/// Interval at which daemons read the host list.
const HOST_LIST_INTERVAL_MS: u64 = 1_000;

/// Result of starting a site or connecting to it.
pub type Result<T> = std::result::Result<T, SiteError>;

/// Why a site does not start or an entry host cannot be used.
#[derive(Debug)]
pub enum SiteError {
    /// An address cannot be listened on.
    Listen(io::Error),
    /// The document was not accepted.
    Document(String),
    /// A check of the running site failed.
    Check(String),
    /// A PostgreSQL client reports an error.
    Client(tokio_postgres::Error),
}

impl fmt::Display for SiteError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(error) => write!(formatter, "cannot listen: {error}"),
            Self::Document(reason) => write!(formatter, "document not accepted: {reason}"),
            Self::Check(reason) => write!(formatter, "check failed: {reason}"),
            Self::Client(error) => write!(formatter, "client: {error}"),
        }
    }
}

impl From<io::Error> for SiteError {
    fn from(error: io::Error) -> Self {
        Self::Listen(error)
    }
}

impl From<tokio_postgres::Error> for SiteError {
    fn from(error: tokio_postgres::Error) -> Self {
        Self::Client(error)
    }
}

/// Shape of a site.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Shape of the cluster; its entry hosts are filled in by the site.
    pub cluster: ClusterSettings,
    /// Number of entry hosts.
    pub entry_hosts: usize,
    /// Port for callers at the first entry host; the others follow. Free ports
    /// are used if it is not set.
    pub first_port: Option<u16>,
    /// Largest number of caller connections of each daemon.
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

/// A running site. Dropping it stops everything.
#[derive(Debug)]
pub struct Site {
    /// Daemons by entry host; a stopped one is `None`.
    pub daemons: Vec<Option<DaemonHandle>>,
    /// The backend servers and the platform.
    pub cluster: Cluster,
    callers: Vec<SocketAddr>,
}

impl Site {
    /// Starts a site and waits until every daemon serves callers. `change` may
    /// change the document before it is accepted.
    pub async fn start(
        settings: SiteSettings,
        change: impl FnOnce(&mut IntentDocument),
    ) -> Result<Self> {
        let mut listeners = Vec::with_capacity(settings.entry_hosts);
        for index in 0..settings.entry_hosts {
            listeners.push(bind(settings.first_port, index).await?);
        }
        let peers = listeners.iter().map(|one| one.peer.local_addr());
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

    /// Returns the address for callers of an entry host.
    pub fn caller_address(&self, entry_host: usize) -> SocketAddr {
        self.callers[entry_host]
    }

    /// Returns the address of an entry host as a URL for callers.
    pub fn caller_url(&self, entry_host: usize, group: &str) -> String {
        let address = self.caller_address(entry_host);
        format!("postgres://{USER}:{PASSWORD}@{address}/{group}")
    }

    /// Stops a daemon at once, as if its host had died.
    pub fn stop_daemon(&mut self, entry_host: usize) {
        self.daemons[entry_host] = None;
    }

    /// Connects a client to an entry host, with a session token if one is given.
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

async fn bind(first_port: Option<u16>, index: usize) -> Result<DaemonListeners> {
    let port = first_port.map_or(0, |first| first + index as u16);
    let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    Ok(DaemonListeners {
        caller: TcpListener::bind(loopback(port)).await?,
        peer: TcpListener::bind(loopback(0)).await?,
        metrics: TcpListener::bind(loopback(0)).await?,
    })
}

/// Publishes the first document of a cluster.
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
