//! Runs daemons in the test process, with a stand-in cluster.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use coordination::publish::PublishAction;
use standin::cluster::{Cluster, ClusterSettings};
use state::document::IntentDocument;
use state::settings::{DaemonSettings, PlatformSettings, UserCredential};
use tokio::net::TcpListener;
use transport::document_store;
use transport::platform::PlatformClient;
use transport::runtime::{self, DaemonHandle, DaemonListeners};

/// Timeout of platform requests in tests.
const PLATFORM_TIMEOUT_MS: u64 = 500;

/// A cluster, and the peer addresses of the entry hosts in its document.
pub struct TestBed {
    pub cluster: Cluster,
    pub entries: Vec<SocketAddr>,
    /// Peer listeners of the entry hosts whose daemon has not started yet. They
    /// are bound from the beginning, so that no other test takes their ports.
    reserved: Mutex<BTreeMap<usize, TcpListener>>,
}

impl TestBed {
    /// Starts a cluster and publishes its document.
    pub async fn start(entry_hosts: usize, settings: ClusterSettings) -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut reserved = BTreeMap::new();
        for index in 0..entry_hosts {
            reserved.insert(index, TcpListener::bind(loopback).await.unwrap());
        }
        let listeners = reserved.values();
        let entries: Vec<SocketAddr> = listeners.map(|one| one.local_addr().unwrap()).collect();
        let settings = ClusterSettings {
            entry_hosts: entries.clone(),
            ..settings
        };
        let cluster = Cluster::start(settings).await.unwrap();
        let bed = Self {
            cluster,
            entries,
            reserved: Mutex::new(reserved),
        };
        bed.publish(0, &bed.cluster.document()).await;
        bed
    }

    pub fn platform(&self) -> PlatformClient {
        let timeout = Duration::from_millis(PLATFORM_TIMEOUT_MS);
        PlatformClient::new(self.cluster.platform().address(), timeout)
    }

    pub async fn publish(&self, base: u64, document: &IntentDocument) {
        let platform = self.platform();
        let text = document.render();
        let action = document_store::publish(&platform, &platform, base, &text).await;
        assert!(matches!(action, PublishAction::Published(_)), "{action:?}");
    }

    pub fn settings(&self, index: usize) -> DaemonSettings {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let centres = self.cluster.document().data_centre;
        DaemonSettings {
            host: format!("entry-{index}"),
            data_centre: centres[index % centres.len()].name.clone(),
            caller_address: loopback,
            peer_address: self.entries[index],
            metrics_address: loopback,
            seed_peer: self.entries.clone(),
            platform: PlatformSettings {
                address: self.cluster.platform().address(),
                timeout_ms: PLATFORM_TIMEOUT_MS,
                host_list_interval_ms: 1_000,
            },
            credential: vec![UserCredential {
                user: "app".to_owned(),
                password: "secret".to_owned(),
            }],
            caller_limit: 100,
        }
    }

    pub async fn daemon(&self, index: usize) -> DaemonHandle {
        let settings = self.settings(index);
        let reserved = self.reserved.lock().unwrap().remove(&index);
        let Some(peer) = reserved else {
            return runtime::start(settings).await.unwrap();
        };
        let listeners = DaemonListeners {
            caller: TcpListener::bind(settings.caller_address).await.unwrap(),
            peer,
            metrics: TcpListener::bind(settings.metrics_address).await.unwrap(),
        };
        runtime::start_on(settings, listeners)
    }

    /// Starts a daemon for each entry host and waits until all serve callers.
    pub async fn daemons(&self) -> Vec<DaemonHandle> {
        let mut daemons = Vec::new();
        for index in 0..self.entries.len() {
            daemons.push(self.daemon(index).await);
        }
        for daemon in &daemons {
            daemon.serving().await;
        }
        daemons
    }
}

/// Waits until `condition` holds; returns how long that took, or `None` if it
/// does not hold within `limit`.
pub async fn wait_for(limit: Duration, condition: impl Fn() -> bool) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return Some(start.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    None
}
