//! Runs a proxy in the test process, in front of a stand-in cluster.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use standin::cluster::{Cluster, ClusterSettings, MemberAddress};
use state::clock::SystemClock;
use state::document::IntentDocument;
use state::settings::{DaemonSettings, PlatformSettings, UserCredential};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};
use transport::caller::context::{CallerContext, DocumentInForce, GroupContext};
use transport::caller::metrics::CallerMetrics;
use transport::caller::serve_callers;
use transport::control_client::MemberClientFactory;
use transport::metrics::DaemonMetrics;
use transport::monitor::{self, MonitorConfig, MonitorServices, ProbeBudget};
use transport::platform::PlatformClient;
use transport::rpc::ControlMeter;

pub const GROUP: &str = "group-0";
pub const PRIMARY: MemberAddress = MemberAddress {
    group: 0,
    member: 0,
};
/// Limit on the time that tests wait for background work.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// A running proxy with its monitor and document.
pub struct TestProxy {
    pub context: Arc<CallerContext>,
    pub address: SocketAddr,
    pub task: JoinHandle<()>,
    shutdown: watch::Sender<bool>,
    _document: watch::Sender<Arc<DocumentInForce>>,
    _config: watch::Sender<MonitorConfig>,
}

/// Starts a cluster and a proxy in front of it.
pub async fn start(settings: ClusterSettings) -> (Cluster, TestProxy) {
    let cluster = Cluster::start(settings).await.unwrap();
    let proxy = TestProxy::start(&cluster, |_| ()).await;
    (cluster, proxy)
}

impl TestProxy {
    /// Starts a proxy in front of `cluster`, with the cluster's document as
    /// `change` leaves it.
    pub async fn start(cluster: &Cluster, change: impl FnOnce(&mut IntentDocument)) -> Self {
        let mut document = cluster.document();
        change(&mut document);
        let meter = ControlMeter::default();
        let leaving = Default::default();
        let config = MonitorConfig::new("entry-0", &document, &document.group[0], &leaving);
        let (config, receiver) = watch::channel(config);
        let services = MonitorServices {
            factory: MemberClientFactory::new(meter.clone()),
            table: PlatformClient::new(cluster.platform().address(), Duration::from_millis(500)),
            clock: SystemClock,
            metrics: Arc::new(DaemonMetrics::with_meter(meter.clone())),
            budget: ProbeBudget::new(meter),
        };
        let mut handle = monitor::spawn(services, receiver);
        while handle.view().primary().is_none() {
            handle.next_view().await.unwrap();
        }
        let group = GroupContext::new(GROUP, handle, &document);
        let in_force = DocumentInForce {
            version: 1,
            document,
        };
        let (document, documents) = watch::channel(Arc::new(in_force));
        let (shutdown, stopping) = watch::channel(false);
        let metrics = CallerMetrics::new(&prometheus::Registry::new()).unwrap();
        let context = CallerContext::new(settings(cluster), documents, stopping, metrics);
        let context = Arc::new(context);
        context.set_group(group);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        Self {
            task: tokio::spawn(serve_callers(listener, context.clone())),
            context,
            address,
            shutdown,
            _document: document,
            _config: config,
        }
    }

    pub fn config(&self) -> Config {
        let mut config = Config::new();
        config
            .host("127.0.0.1")
            .port(self.address.port())
            .user("app")
            .password("secret")
            .dbname(GROUP);
        config
    }

    pub async fn connect(&self) -> Client {
        connect(&self.config()).await
    }

    pub fn shut_down(&self) {
        self.shutdown.send_replace(true);
    }

    pub fn reads_at(&self, role: &str) -> u64 {
        self.context.metrics.reads.with_label_values(&[role]).get()
    }
}

fn settings(cluster: &Cluster) -> DaemonSettings {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    DaemonSettings {
        host: "entry-0".to_owned(),
        data_centre: "centre-0".to_owned(),
        caller_address: loopback,
        peer_address: loopback,
        metrics_address: loopback,
        seed_peer: Vec::new(),
        platform: PlatformSettings {
            address: cluster.platform().address(),
            timeout_ms: 500,
            host_list_interval_ms: 1_000,
        },
        credential: vec![UserCredential {
            user: "app".to_owned(),
            password: "secret".to_owned(),
        }],
        caller_limit: 1_000,
    }
}

pub async fn connect(config: &Config) -> Client {
    let (client, connection) = config.connect(NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}

/// Runs a simple query; returns the first column of its rows.
pub async fn rows(client: &Client, text: &str) -> Result<Vec<String>, tokio_postgres::Error> {
    let messages = client.simple_query(text).await?;
    let rows = messages.into_iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row.get(0).unwrap_or("NULL").to_owned()),
        _ => None,
    });
    Ok(rows.collect())
}

/// Returns the SQLSTATE and the detail of a server error.
pub fn error_of(error: &tokio_postgres::Error) -> (SqlState, String) {
    let database = error
        .as_db_error()
        .expect("the error is not from the server");
    let detail = database.detail().unwrap_or_default().to_owned();
    (database.code().clone(), detail)
}

/// Waits until `condition` holds; returns false if it does not hold within
/// [`WAIT_LIMIT`].
pub async fn wait_until(mut condition: impl FnMut() -> bool) -> bool {
    let deadline = std::time::Instant::now() + WAIT_LIMIT;
    while std::time::Instant::now() < deadline {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    false
}
