//! A cluster of separate processes: a platform, one group of three backend
//! servers with state on disk, and two daemons.

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use coordination::publish::PublishAction;
use state::document::{
    CustomerEntry, DataCentreEntry, DatabaseGroup, EntryHost, GroupMember, IntentDocument,
    ReadClass, RegionEntry,
};
use tokio_postgres::{Client, Config, NoTls};
use transport::document_store;
use transport::peer::{PeerChannelFactory, PeerClient, PeerFactory};
use transport::platform::PlatformClient;

pub const GROUP: &str = "sightings";
pub const MEMBERS: usize = 3;
pub const DAEMONS: usize = 2;
const STATEMENT_PORT: u16 = 5432;
const CONTROL_PORT: u16 = 7500;
const CALLER_PORT: u16 = 6432;
const PEER_PORT: u16 = 7400;
const PLATFORM_PORT: u16 = 8080;
const METRICS_PORT: u16 = 9100;

/// Number of the next cluster in this process; gives each cluster its own
/// addresses.
static NEXT_CLUSTER: AtomicU8 = AtomicU8::new(0);

/// A child process that is killed on drop.
pub struct ClusterProcess {
    child: Child,
}

impl ClusterProcess {
    /// Starts a program and waits for its first line of output, which it prints
    /// once it listens.
    fn start(command: &mut Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| {
                panic!("{command:?}: {error}; build the whole workspace first")
            });
        let mut reader = BufReader::new(child.stdout.take().expect("the output is piped"));
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .expect("the first line of output is readable");
        assert!(!line.is_empty(), "{command:?} exited without output");
        // Without a reader the pipe would fill up and block the program.
        std::thread::spawn(move || for _line in reader.lines() {});
        Self { child }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.expect("kill runs").success(), "kill {name} {id}");
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Waits until the process exits. Returns whether its exit code was 0.
    pub fn wait(&mut self) -> bool {
        self.child.wait().expect("the process ends").success()
    }
}

impl Drop for ClusterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running cluster. Its processes are killed and its folder deleted on drop.
pub struct ProcessCluster {
    pub platform: ClusterProcess,
    pub members: Vec<ClusterProcess>,
    pub daemons: Vec<ClusterProcess>,
    number: u8,
    folder: PathBuf,
}

impl Drop for ProcessCluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl ProcessCluster {
    /// Starts all processes and waits until both daemons serve callers.
    pub async fn start() -> Self {
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let name = format!("cassiad-site-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("the temporary folder is writable");
        let platform = ClusterProcess::start(
            program("standin-platform")
                .arg("--address")
                .arg(platform_address(number).to_string()),
        );
        let mut cluster = Self {
            platform,
            members: Vec::new(),
            daemons: Vec::new(),
            number,
            folder,
        };
        for member in 0..MEMBERS {
            let started = cluster.start_member(member);
            cluster.members.push(started);
        }
        cluster.publish(0, &cluster.document()).await;
        for daemon in 0..DAEMONS {
            let started = cluster.start_daemon(daemon);
            cluster.daemons.push(started);
        }
        for daemon in 0..DAEMONS {
            cluster.wait_until_serving(daemon).await;
        }
        cluster
    }

    /// Starts a member with the state that its data folder holds.
    pub fn start_member(&self, member: usize) -> ClusterProcess {
        let mut command = program("standin-backend");
        command
            .arg("--address")
            .arg(self.member_address(member, STATEMENT_PORT).to_string())
            .arg("--control-address")
            .arg(self.member_address(member, CONTROL_PORT).to_string())
            .arg("--data-dir")
            .arg(self.folder.join(format!("member-{member}")));
        if member == 0 {
            command.arg("--bootstrap-primary");
        } else {
            let primary = self.member_address(0, CONTROL_PORT).to_string();
            command.arg("--follow").arg(primary);
        }
        ClusterProcess::start(&mut command)
    }

    pub fn start_daemon(&self, daemon: usize) -> ClusterProcess {
        let file = self.folder.join(format!("daemon-{daemon}.toml"));
        std::fs::write(&file, self.daemon_settings(daemon)).expect("the folder is writable");
        let mut command = Command::new(env!("CARGO_BIN_EXE_cassiad"));
        ClusterProcess::start(command.arg("--settings").arg(file))
    }

    pub fn config(&self, daemon: usize) -> Config {
        let mut config = Config::new();
        config
            .host(self.daemon_address(daemon, CALLER_PORT).ip().to_string())
            .port(CALLER_PORT)
            .user("app")
            .password("secret")
            .dbname(GROUP)
            .connect_timeout(Duration::from_secs(2));
        config
    }

    async fn wait_until_serving(&self, daemon: usize) {
        for _ in 0..200 {
            if let Some(client) = connect(&self.config(daemon)).await {
                if client.batch_execute("SELECT 1").await.is_ok() {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("daemon {daemon} does not serve callers within 10 s");
    }

    /// Publishes a document as the version after `base`.
    pub async fn publish(&self, base: u64, document: &IntentDocument) {
        let address = platform_address(self.number);
        let client = PlatformClient::new(address, Duration::from_secs(2));
        document.validate().expect("the document is valid");
        let text = document.render();
        let action = document_store::publish(&client, &client, base, &text).await;
        assert!(matches!(action, PublishAction::Published(_)), "{action:?}");
    }

    /// Returns the document version in force at a daemon, or `None` if the
    /// daemon does not answer.
    pub async fn version_in_force(&self, daemon: usize) -> Option<u64> {
        let peer = self.daemon_address(daemon, PEER_PORT);
        let client = PeerChannelFactory::default().client(peer);
        let status = client.status().await.ok()?;
        Some(status.digest.document.version)
    }

    pub fn document(&self) -> IntentDocument {
        let centre = "centre-1".to_owned();
        let member = |index| GroupMember {
            name: format!("server-{index}"),
            data_centre: centre.clone(),
            address: self.member_address(index, STATEMENT_PORT),
            control_address: self.member_address(index, CONTROL_PORT),
            slots: 3,
            connection_limit: 20,
            leaving: false,
        };
        let host = |index| EntryHost {
            name: format!("entry-{index}"),
            data_centre: centre.clone(),
            peer_address: self.daemon_address(index, PEER_PORT),
        };
        IntentDocument {
            region: vec![RegionEntry {
                name: "region-1".to_owned(),
            }],
            data_centre: vec![DataCentreEntry {
                name: centre.clone(),
                region: "region-1".to_owned(),
            }],
            entry_host: (0..DAEMONS).map(host).collect(),
            group: vec![DatabaseGroup {
                name: GROUP.to_owned(),
                member: (0..MEMBERS).map(member).collect(),
            }],
            customer: vec![CustomerEntry {
                name: "birders".to_owned(),
                weight: 1,
                user: vec!["app".to_owned()],
                group: vec![GROUP.to_owned()],
            }],
            read_class: vec![ReadClass {
                name: "browse".to_owned(),
                max_staleness_ms: 5_000,
                priority: 5,
            }],
            ..IntentDocument::default()
        }
    }

    fn daemon_settings(&self, daemon: usize) -> String {
        let address = |port| self.daemon_address(daemon, port);
        let seeds: Vec<String> = (0..DAEMONS)
            .map(|index| format!("\"{}\"", self.daemon_address(index, PEER_PORT)))
            .collect();
        format!(
            "host = \"entry-{daemon}\"\ndata_centre = \"centre-1\"\n\
             caller_address = \"{}\"\npeer_address = \"{}\"\nmetrics_address = \"{}\"\n\
             seed_peer = [{}]\n\
             [platform]\naddress = \"{}\"\ntimeout_ms = 500\n\
             [[credential]]\nuser = \"app\"\npassword = \"secret\"\n",
            address(CALLER_PORT),
            address(PEER_PORT),
            address(METRICS_PORT),
            seeds.join(", "),
            platform_address(self.number),
        )
    }

    fn member_address(&self, member: usize, port: u16) -> SocketAddr {
        loopback(self.number, 10 + member as u8, port)
    }

    fn daemon_address(&self, daemon: usize, port: u16) -> SocketAddr {
        loopback(self.number, 20 + daemon as u8, port)
    }
}

/// Opens a connection. Returns `None` if it fails.
pub async fn connect(config: &Config) -> Option<Client> {
    let (client, connection) = config.connect(NoTls).await.ok()?;
    tokio::spawn(connection);
    Some(client)
}

fn platform_address(cluster: u8) -> SocketAddr {
    loopback(cluster, 1, PLATFORM_PORT)
}

/// Returns the loopback address of a host of a cluster. The process id and the
/// cluster number select the address range, so that test processes and clusters
/// that run at the same time can use the same fixed ports.
fn loopback(cluster: u8, host: u8, port: u16) -> SocketAddr {
    let process = std::process::id() as u16;
    let [high, low] = process.to_be_bytes();
    let second = 64 + (high & 0x7f);
    let address = Ipv4Addr::new(127, second, low, (cluster % 4) * 64 + host);
    SocketAddr::from((IpAddr::V4(address), port))
}

/// Returns a command for a program of the stand-in package, which Cargo builds
/// in the parent folder of this test binary.
fn program(name: &str) -> Command {
    let test = std::env::current_exe().expect("the test has a path");
    let folder = test.parent().and_then(std::path::Path::parent);
    Command::new(folder.expect("tests run in the target folder").join(name))
}
