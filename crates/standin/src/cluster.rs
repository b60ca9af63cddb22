//! A stand-in platform and database groups in one process, on loopback ports.
//!
//! ```no_run
//! # async fn example() -> std::io::Result<()> {
//! use standin::cluster::{Cluster, ClusterSettings, MemberAddress};
//!
//! let mut cluster = Cluster::start(ClusterSettings::default()).await?;
//! let text = cluster.document_text();
//! let primary = MemberAddress { group: 0, member: 0 };
//! cluster.stop_member(primary);
//! cluster.restart_member(primary).await?;
//! # Ok(())
//! # }
//! ```

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use state::document::{
    CustomerEntry, DataCentreEntry, DatabaseGroup, EntryHost, GroupMember, IntentDocument,
    ReadClass, RegionEntry,
};
use state::member::MemberRole;
use tokio::time::sleep;
use transport::services::{HostEntry, HostState};

use crate::backend::{BackendServer, BackendSettings, ReplicationRoutes};
use crate::platform::PlatformServer;
use crate::relay::TcpRelay;

/// Number of regions, each with one data centre. Members and entry hosts are
/// spread over them.
const REGION_COUNT: usize = 3;
/// Attempts to bind the port of a restarted member, 20 ms apart. The old
/// listener closes only when its aborted task has been dropped.
const BIND_ATTEMPTS: usize = 100;

/// Settings of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// Number of groups.
    pub groups: usize,
    /// Members of each group.
    pub members: usize,
    /// Settings of each member. The cluster sets the addresses, routes, data
    /// directory, `bootstrap_primary` and `follow`.
    pub member: BackendSettings,
    /// Whether a member keeps its log on disk and reads it when it restarts.
    pub keep_data: bool,
    /// Whether traffic to members passes through relays. The document then
    /// names the statement and control relays, and replicas pull through the
    /// replication relays, so that tests can cut each path separately.
    pub use_relays: bool,
    /// Peer addresses of the document's entry hosts.
    pub entry_hosts: Vec<SocketAddr>,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            groups: 1,
            members: 3,
            member: BackendSettings::default(),
            keep_data: true,
            use_relays: false,
            entry_hosts: Vec::new(),
        }
    }
}

/// Identifies a member by its indices in the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberAddress {
    /// Index of the group.
    pub group: usize,
    /// Index of the member in the group.
    pub member: usize,
}

/// The relays in front of a member.
#[derive(Debug)]
pub struct MemberRelays {
    /// Relay to the statement address.
    pub statements: TcpRelay,
    /// Relay to the control address that carries control calls only.
    pub control: TcpRelay,
    /// Relay to the control address that replicas use to pull from this member.
    pub replication: TcpRelay,
}

/// A running cluster. Dropping it stops the platform and all members, and
/// deletes their data.
#[derive(Debug)]
pub struct Cluster {
    settings: ClusterSettings,
    platform: PlatformServer,
    groups: Vec<Vec<ClusterMember>>,
    directory: DataDirectory,
}

#[derive(Debug)]
struct ClusterMember {
    address: SocketAddr,
    control_address: SocketAddr,
    relays: Option<MemberRelays>,
    server: Option<BackendServer>,
    settings: BackendSettings,
}

impl Cluster {
    /// Starts a platform and the groups. The first member of each group is its
    /// primary at term 1, and the host list names all backend servers as live.
    pub async fn start(settings: ClusterSettings) -> io::Result<Self> {
        let platform = PlatformServer::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
        let directory = DataDirectory::create()?;
        let mut groups = Vec::with_capacity(settings.groups);
        for group in 0..settings.groups {
            groups.push(start_group(&settings, group, &directory.path).await?);
        }
        let cluster = Self {
            settings,
            platform,
            groups,
            directory,
        };
        cluster.platform.set_hosts(cluster.host_list());
        Ok(cluster)
    }

    /// Returns the stand-in platform.
    pub fn platform(&self) -> &PlatformServer {
        &self.platform
    }

    /// Returns the name of a group, which is its database name.
    pub fn group_name(group: usize) -> String {
        format!("group-{group}")
    }

    /// Returns the name of a backend server.
    pub fn member_name(address: MemberAddress) -> String {
        format!("server-{}-{}", address.group, address.member)
    }

    /// Returns a document for this cluster: user `app` of customer
    /// `customer-0` may use all groups; the read classes are `fresh` (0 ms),
    /// `browse` (2 s) and `sync` (10 s).
    pub fn document(&self) -> IntentDocument {
        let mut document = IntentDocument {
            deadlines: Default::default(),
            limits: Default::default(),
            failover: Default::default(),
            region: Vec::new(),
            data_centre: Vec::new(),
            entry_host: self.entry_hosts(),
            group: Vec::new(),
            customer: Vec::new(),
            read_class: read_classes(),
            never_repeat: Vec::new(),
        };
        for index in 0..REGION_COUNT {
            document.region.push(RegionEntry {
                name: format!("region-{index}"),
            });
            document.data_centre.push(DataCentreEntry {
                name: data_centre_name(index),
                region: format!("region-{index}"),
            });
        }
        for index in 0..self.groups.len() {
            document.group.push(self.group_entry(index));
        }
        document.customer.push(CustomerEntry {
            name: "customer-0".to_owned(),
            weight: 1,
            user: vec!["app".to_owned()],
            group: (0..self.groups.len()).map(Self::group_name).collect(),
        });
        document
    }

    /// Returns the document as TOML.
    pub fn document_text(&self) -> String {
        self.document().render()
    }

    /// Returns a member's own statement address, which bypasses the relays.
    pub fn statement_address(&self, address: MemberAddress) -> SocketAddr {
        self.member(address).address
    }

    /// Returns a member's own control address, which bypasses the relays.
    pub fn control_address(&self, address: MemberAddress) -> SocketAddr {
        self.member(address).control_address
    }

    /// Returns the server of a member, or `None` while it is stopped.
    pub fn server(&self, address: MemberAddress) -> Option<&BackendServer> {
        self.member(address).server.as_ref()
    }

    /// Returns the relays of a member, or `None` if the cluster uses no relays.
    pub fn relays(&self, address: MemberAddress) -> Option<&MemberRelays> {
        self.member(address).relays.as_ref()
    }

    /// Returns the running primary of the highest promised term.
    pub fn primary(&self, group: usize) -> Option<MemberAddress> {
        let reports = self.groups[group].iter().enumerate();
        reports
            .filter_map(|(member, entry)| Some((member, entry.server.as_ref()?.report())))
            .filter(|(_, report)| report.role == MemberRole::Primary)
            .max_by_key(|(_, report)| report.promised_term)
            .map(|(member, _)| MemberAddress { group, member })
    }

    /// Stops a member immediately, as in a crash.
    pub fn stop_member(&mut self, address: MemberAddress) {
        self.member_mut(address).server = None;
    }

    /// Restarts a member on the addresses that it had. It has its log if the
    /// cluster keeps data, and is empty and follows no primary otherwise. Fails
    /// with `AddrInUse` if its port stays occupied for about 2 s.
    pub async fn restart_member(&mut self, address: MemberAddress) -> io::Result<()> {
        let member = self.member_mut(address);
        member.server = None;
        let settings = BackendSettings {
            address: member.address,
            control_address: member.control_address,
            bootstrap_primary: false,
            follow: None,
            ..member.settings.clone()
        };
        for _ in 0..BIND_ATTEMPTS {
            match BackendServer::start(settings.clone()).await {
                Ok(server) => {
                    member.server = Some(server);
                    return Ok(());
                }
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                    sleep(Duration::from_millis(20)).await;
                }
                Err(error) => return Err(error),
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns a host list that names all entry hosts and backend servers as
    /// live.
    pub fn host_list(&self) -> Vec<HostEntry> {
        let hosts = self.entry_hosts().into_iter().map(|host| host.name);
        let servers = self
            .groups
            .iter()
            .enumerate()
            .flat_map(|(group, members)| {
                (0..members.len()).map(move |member| MemberAddress { group, member })
            })
            .map(Self::member_name);
        hosts
            .chain(servers)
            .map(|name| HostEntry {
                name,
                state: HostState::Live,
            })
            .collect()
    }

    /// Returns the directory that holds the members' data.
    pub fn data_directory(&self) -> &Path {
        &self.directory.path
    }

    fn entry_hosts(&self) -> Vec<EntryHost> {
        let addresses = self.settings.entry_hosts.iter().enumerate();
        addresses
            .map(|(index, address)| EntryHost {
                name: format!("entry-{index}"),
                data_centre: data_centre_name(index),
                peer_address: *address,
            })
            .collect()
    }

    fn group_entry(&self, group: usize) -> DatabaseGroup {
        let members = self.groups[group].iter().enumerate();
        DatabaseGroup {
            name: Self::group_name(group),
            member: members
                .map(|(member, entry)| GroupMember {
                    name: Self::member_name(MemberAddress { group, member }),
                    data_centre: data_centre_name(member),
                    address: entry.public_address(),
                    control_address: entry.public_control_address(),
                    slots: entry.settings.slots as u64,
                    connection_limit: entry.settings.connection_limit as u64,
                    leaving: false,
                })
                .collect(),
        }
    }

    fn member(&self, address: MemberAddress) -> &ClusterMember {
        &self.groups[address.group][address.member]
    }

    fn member_mut(&mut self, address: MemberAddress) -> &mut ClusterMember {
        &mut self.groups[address.group][address.member]
    }
}

impl ClusterMember {
    async fn start(settings: BackendSettings, use_relays: bool) -> io::Result<Self> {
        let server = BackendServer::start(settings.clone()).await?;
        let relays = if use_relays {
            Some(MemberRelays {
                statements: TcpRelay::start(server.address()).await?,
                control: TcpRelay::start(server.control_address()).await?,
                replication: TcpRelay::start(server.control_address()).await?,
            })
        } else {
            None
        };
        Ok(Self {
            address: server.address(),
            control_address: server.control_address(),
            relays,
            server: Some(server),
            settings,
        })
    }

    fn public_address(&self) -> SocketAddr {
        match &self.relays {
            Some(relays) => relays.statements.address(),
            None => self.address,
        }
    }

    fn public_control_address(&self) -> SocketAddr {
        match &self.relays {
            Some(relays) => relays.control.address(),
            None => self.control_address,
        }
    }
}

async fn start_group(
    settings: &ClusterSettings,
    group: usize,
    directory: &Path,
) -> io::Result<Vec<ClusterMember>> {
    let replication_routes = ReplicationRoutes::default();
    let mut members: Vec<ClusterMember> = Vec::with_capacity(settings.members);
    for member in 0..settings.members {
        let name = Cluster::member_name(MemberAddress { group, member });
        let member_settings = BackendSettings {
            routes: replication_routes.clone(),
            data_dir: settings.keep_data.then(|| directory.join(name)),
            bootstrap_primary: member == 0,
            follow: members.first().map(ClusterMember::public_control_address),
            ..settings.member.clone()
        };
        let member = ClusterMember::start(member_settings, settings.use_relays).await?;
        if let Some(relays) = &member.relays {
            replication_routes.set(relays.control.address(), relays.replication.address());
        }
        members.push(member);
    }
    Ok(members)
}

fn data_centre_name(index: usize) -> String {
    format!("centre-{}", index % REGION_COUNT)
}

fn read_classes() -> Vec<ReadClass> {
    [("fresh", 0), ("browse", 2_000), ("sync", 10_000)]
        .into_iter()
        .enumerate()
        .map(|(index, (name, max_staleness_ms))| ReadClass {
            name: name.to_owned(),
            max_staleness_ms,
            priority: index as u64 + 1,
        })
        .collect()
}

/// A unique directory below the system's temporary directory, which is deleted
/// on drop.
#[derive(Debug)]
struct DataDirectory {
    path: PathBuf,
}

impl DataDirectory {
    fn create() -> io::Result<Self> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("cassiatrestle-standin-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }
}

impl Drop for DataDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
